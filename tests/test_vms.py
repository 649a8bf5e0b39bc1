"""Evidence from the platform's list of VMs that a silent worker has ended."""

import pytest
from mulberryslip.vms import WorkerAbsences

SILENT = {"w": "m"}
UP, OFF, REPLACED, MISSING = {"m": "w"}, {"m": ""}, {"m": "w2"}, {}


@pytest.mark.parametrize(
    ("listings", "has_ended"),
    [
        ([], False),
        ([OFF], False),
        ([OFF, OFF], True),
        ([REPLACED, REPLACED], True),
        ([OFF, REPLACED], True),
        ([OFF, UP, OFF], False),
        ([OFF, MISSING, OFF], False),
        ([MISSING, MISSING, MISSING], False),
        ([UP, UP], False),
    ],
)
def test_worker_has_ended_when_listings_agree(listings, has_ended):
    """Guards against a run that is started again because of one outdated or incomplete listing."""
    absences = WorkerAbsences()
    absences.set_silent(SILENT)
    for worker_by_vm in listings:
        absences.record_listing(absences.silent(), worker_by_vm)
    assert absences.has_ended("w") is has_ended


@pytest.mark.parametrize("heard", ["before the listing was requested", "afterwards"])
def test_worker_that_was_heard_again_has_not_ended(heard):
    """Guards against listings that judge a worker by the time before its last report."""
    absences = WorkerAbsences()
    absences.set_silent(SILENT)
    absences.record_listing(SILENT, OFF)
    absences.set_silent({})
    absences.set_silent(SILENT)
    absences.record_listing({} if heard == "afterwards" else SILENT, OFF)
    assert not absences.has_ended("w")

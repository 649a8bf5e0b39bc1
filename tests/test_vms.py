"""Evidence from the platform's list of VMs that a silent worker has ended."""

from datetime import timedelta

import pytest
from mulberryslip.vms import Silence, WorkerAbsences

SECOND = timedelta(seconds=1)

SILENCE = Silence("w", "m", SECOND)
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
    absences.set_silent([SILENCE])
    for worker_by_vm in listings:
        absences.record_listing(absences.silences(), worker_by_vm)
    assert absences.has_ended(SILENCE) is has_ended


@pytest.mark.parametrize("heard", ["before the listing was requested", "afterwards"])
def test_worker_that_was_heard_again_has_not_ended(heard):
    """Guards against listings that judge a worker by the time before its last report."""
    absences = WorkerAbsences()
    absences.set_silent([SILENCE])
    absences.record_listing([SILENCE], OFF)
    later = Silence("w", "m", 2 * SECOND)
    absences.set_silent([later])
    absences.record_listing([SILENCE if heard == "afterwards" else later], OFF)
    assert not absences.has_ended(SILENCE)
    assert not absences.has_ended(later)

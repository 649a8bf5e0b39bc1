"""Tests of the fleet: liveness, incarnations, data centres and quarantine."""

from datetime import timedelta

import pytest
from mulberryslip import ManualClock, Resources, TaskKey, WorkerDescription, WorkerLoad
from mulberryslip.fleets import LOST_AFTER, Fleet
from mulberryslip.quarantines import INITIAL_INTERVAL, MAX_INTERVAL

CAPACITY = Resources(64000, 250000, 2, 8)


class States:
    def __init__(self, revision, out=()):
        self.revision = revision
        self._out = out

    def data_centre_in(self, name):
        return name not in self._out


def description(number, incarnation="i1", data_centre="concord"):
    worker_id = f"w{number}"
    return WorkerDescription(
        worker_id, incarnation, data_centre, "r1", "127.0.0.1", 7000 + number, CAPACITY, ("check",)
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def fleet(clock):
    fleet = Fleet(clock)
    fleet.apply_config(States(1))
    for number in range(9):
        fleet.record_announcement(description(number), WorkerLoad())
    return fleet


def ids(views):
    return {view.description.worker_id for view in views}


def test_silent_worker_is_lost_once_and_returns_with_its_next_reply(fleet, clock):
    """Guards against placement on lost workers, and against reporting one loss repeatedly."""
    clock.advance(LOST_AFTER)
    for number in range(1, 9):
        fleet.record_reply(f"w{number}", "i1")
    clock.advance(timedelta(milliseconds=1))
    assert fleet.expire() == ["w0"]
    assert fleet.expire() == []
    assert "w0" not in ids(fleet.placement_views())
    assert fleet.is_lost("w0")
    assert fleet.record_reply("w0", "i1", WorkerLoad(in_flight=3))
    assert fleet.worker("w0").load.in_flight == 3
    assert not fleet.is_lost("w0")


def test_late_message_of_replaced_process_changes_nothing(fleet):
    """Guards against a replaced incarnation overwriting the address of its successor."""
    assert fleet.record_announcement(description(0, "i2"), WorkerLoad())
    assert not fleet.record_announcement(description(0, "i1"), WorkerLoad(in_flight=9))
    assert not fleet.record_reply("w0", "i1", WorkerLoad(in_flight=9))
    assert fleet.worker("w0").description.incarnation == "i2"
    assert fleet.worker("w0").load.in_flight == 0


def test_leaving_ends_only_with_a_new_incarnation(fleet):
    """Guards against a reply that arrives out of order and puts a leaving worker in service."""
    fleet.record_reply("w0", "i1", WorkerLoad(leaving=True))
    fleet.record_reply("w0", "i1", WorkerLoad(leaving=False))
    assert "w0" not in ids(fleet.placement_views()) | ids(fleet.routing_views("check"))
    fleet.record_announcement(description(0, "i2"), WorkerLoad())
    assert "w0" in ids(fleet.placement_views()) & ids(fleet.routing_views("check"))


def test_data_centre_states_never_go_back_to_an_older_revision(fleet):
    """Guards against a slow configuration read that puts a data centre back in service."""
    fleet.record_announcement(description(9, data_centre="harvard"), WorkerLoad())
    fleet.apply_config(States(3, out=("harvard",)))
    fleet.apply_config(States(2))
    assert "w9" not in ids(fleet.placement_views()) | ids(fleet.routing_views("check"))
    assert not fleet.worker("w9").data_centre_in


def test_nothing_is_placeable_before_a_configuration_is_known(clock):
    """Guards against starts in a data centre whose state is unknown after a restart."""
    fleet = Fleet(clock)
    fleet.record_announcement(description(0), WorkerLoad())
    assert fleet.placement_views() == []


def test_demand_is_compared_with_lost_workers_too(fleet, clock):
    """Guards against failing a job with `never_fits` while the only large worker is lost."""
    clock.advance(timedelta(hours=2))
    fleet.expire()
    assert fleet.workers() == []
    assert fleet.fits_any_worker(CAPACITY)
    assert not fleet.fits_any_worker(CAPACITY + Resources(accelerators=1))


def test_running_templates_are_kept_for_each_shard(fleet):
    """Guards against a report of one shard that replaces the tasks of another shard."""
    fleet.set_running("w0", 0, ("a", "a"))
    fleet.set_running("w0", 1, ("b",))
    fleet.set_running("w0", 0, ("a",))
    assert sorted(fleet.worker("w0").running) == ["a", "b"]
    fleet.clear_running(1)
    assert fleet.worker("w0").running == ("a",)


def fail(fleet, worker, *jobs):
    return [fleet.record_failure(worker, TaskKey(job, 0), "t") for job in jobs]


def finish(fleet, worker, job):
    fleet.record_progress(worker, TaskKey(job, 0), "t")


@pytest.mark.parametrize(
    ("steps", "quarantined"),
    [
        ("ok:w1:x bad:w0:a bad:w0:b bad:w0:c", {"w0"}),
        ("ok:w1:x bad:w0:a bad:w0:b", set()),
        ("ok:w1:x bad:w0:a bad:w0:a bad:w0:a bad:w0:a", set()),
        ("ok:w1:x bad:w0:a bad:w0:b ok:w0:y bad:w0:c", set()),
        ("bad:w0:a bad:w0:b bad:w0:c", set()),
        ("ok:w0:x bad:w0:a bad:w0:b bad:w0:c", set()),
        ("bad:w0:a bad:w0:b bad:w0:c ok:w1:a ok:w1:b ok:w1:c", {"w0"}),
        ("bad:w1:a bad:w1:b bad:w1:c bad:w0:a bad:w0:b bad:w0:c", set()),
        (
            "bad:w0:a bad:w0:b bad:w0:c bad:w1:a bad:w1:b bad:w1:c ok:w2:a ok:w2:b ok:w2:c",
            {"w0", "w1"},
        ),
        ("ok:w1:x bad:w0:a bad:w0:b bad:w0:c bad:w1:a", set()),
    ],
    ids=[
        "three jobs",
        "two jobs",
        "one job often",
        "success between",
        "no progress elsewhere",
        "progress only here",
        "progress elsewhere later",
        "bad jobs fail everywhere",
        "two unhealthy workers",
        "released when the job fails elsewhere",
    ],
)
def test_quarantine_needs_distinct_jobs_that_succeed_elsewhere(fleet, steps, quarantined):
    """Guards against quarantine caused by bad jobs, and against missing an unhealthy worker."""
    for step in steps.split():
        kind, worker, job = step.split(":")
        if kind == "ok":
            finish(fleet, worker, job)
        else:
            fail(fleet, worker, job)
    assert {v.description.worker_id for v in fleet.workers() if v.quarantined} == quarantined


def test_failures_in_quarantine_do_not_count_and_intervals_grow(fleet, clock):
    """Guards against jobs failed by an unhealthy worker, and against retrying it too often."""
    finish(fleet, "w1", "x")
    expected = INITIAL_INTERVAL
    for attempt in range(9):
        finish(fleet, "w1", "x")
        assert fail(fleet, "w0", f"a{attempt}", f"b{attempt}", f"c{attempt}") == [True] * 3
        assert fleet.worker("w0").quarantined
        assert fail(fleet, "w0", "d") == [False]
        assert f"c{attempt}" in fleet.quarantine_reason("w0")
        clock.advance(expected - timedelta(milliseconds=1))
        assert fleet.worker("w0").quarantined
        clock.advance(timedelta(milliseconds=1))
        fleet.expire()
        assert not fleet.worker("w0").quarantined
        expected = min(expected * 2, MAX_INTERVAL)
    assert expected == MAX_INTERVAL


def test_at_most_a_third_of_the_fleet_is_in_quarantine(fleet):
    """Guards against many bad jobs that put every worker in quarantine before a retry."""
    finish(fleet, "w8", "x")
    for number in range(8):
        fail(fleet, f"w{number}", f"a{number}", f"b{number}", f"c{number}")
    assert len([view for view in fleet.workers() if view.quarantined]) == 3


@pytest.mark.parametrize(("failing", "quarantined"), [(9, 0), (6, 0), (5, 3)])
def test_outage_of_a_common_dependency_puts_no_worker_in_quarantine(fleet, failing, quarantined):
    """Guards against failures of an outage that count against workers once it has ended."""
    for number in range(failing):
        fail(fleet, f"w{number}", f"a{number}", f"b{number}", f"c{number}")
    finish(fleet, "w0", "x")
    assert len([view for view in fleet.workers() if view.quarantined]) == quarantined

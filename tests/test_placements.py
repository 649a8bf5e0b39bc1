"""Tests of the placement of tasks."""

from datetime import timedelta

import pytest
from mulberryslip import (
    ManualClock,
    Priority,
    Resources,
    TaskClass,
    TaskKey,
    WorkerDescription,
    WorkerLoad,
)
from mulberryslip.models import WorkerView
from mulberryslip.placements import (
    LARGE_WAIT,
    RESERVATION_LIFETIME,
    SIZE_HEAD_START,
    Placement,
    PlacementItem,
)

CAPACITY = Resources(8000, 8000, 0, 8)
SMALL = Resources(1000, 1000, 0, 1)


def view(name, free=CAPACITY, data_centre="a", rack="r", **changes):
    description = WorkerDescription(name, "1", data_centre, rack, "127.0.0.1", 1, CAPACITY)
    fields = {"data_centre_in": True, "quarantined": False, "running": (), "leaving": False}
    fields.update(changes)
    load = WorkerLoad(free=free, leaving=fields.pop("leaving"))
    return WorkerView(description, load, **fields)


def item(index=0, size=SMALL, template="plan", **changes):
    fields = {
        "account": "acme",
        "task_class": TaskClass.BATCH,
        "priority": Priority.NORMAL,
        "avoid": frozenset(),
    }
    fields.update(changes)
    return PlacementItem(TaskKey("job", index), template, resources=size, **fields)


def ids(ranked):
    return [entry.worker_id for entry in ranked]


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"data_centre_in": False}, "data centre is out"),
        ({"quarantined": True}, "quarantined"),
        ({"leaving": True}, "leaving"),
        ({"free": Resources(999, 8000, 0, 8)}, "no room"),
        ({"free": Resources(8000, 8000, 0, 0)}, "no room"),
    ],
)
def test_unusable_workers_are_left_out_with_a_reason(changes, reason):
    """Guards against starts on a worker that has no capacity or must take no tasks."""
    placement = Placement(ManualClock())
    assert ids(placement.rank(item(), [view("w1", **changes), view("w2")])) == ["w2"]
    assert placement.rank(item(), [view("w1", **changes)]) == []
    assert reason in placement.explain(TaskKey("job", 0))


def test_worker_on_which_the_task_failed_is_avoided():
    """Guards against a task that fails repeatedly on one unhealthy worker."""
    placement = Placement(ManualClock())
    ranked = placement.rank(item(avoid=frozenset({"w1"})), [view("w1"), view("w2")])
    assert ids(ranked) == ["w2"]


@pytest.mark.parametrize("task_class", list(TaskClass))
@pytest.mark.parametrize("location", [{"rack": "r2"}, {"data_centre": "b"}])
def test_tasks_spread_over_racks_and_data_centres(task_class, location):
    """Guards against the loss of all tasks of a template with one rack or data centre."""
    placement = Placement(ManualClock())
    workers = [view("w1", running=("plan",) * 3), view("w2"), view("w3", **location)]
    assert ids(placement.rank(item(task_class=task_class), workers))[0] == "w3"


@pytest.mark.parametrize(
    ("usage", "expected"), [((200, 300), (200, 300)), ((3000, 4000), (3000, 4000))]
)
def test_learned_size_replaces_a_wrong_declared_size(usage, expected):
    """Guards against declared sizes that waste capacity or overload a worker."""
    placement = Placement(ManualClock())
    for _ in range(50):
        placement.observe("plan", Resources(*usage))
    size = placement.rank(item(), [view("w1")])[0].resources
    assert expected[0] <= size.cpu_millis <= expected[0] * 1.15
    assert expected[1] * 1.05 <= size.memory_mb <= expected[1] * 1.3
    assert size.slots == 1


def test_starts_are_subtracted_from_free_capacity_until_the_load_changes():
    """Guards against placing many tasks on one worker on the basis of one stale load report."""
    placement = Placement(ManualClock())
    small = Resources(1500, 1500, 0, 8)
    workers = [view("w1", free=small)]
    placement.record_start(item(0), "w1", small)
    assert placement.rank(item(1), workers) == []
    assert ids(placement.rank(item(1), [view("w1", free=CAPACITY)])) == ["w1"]


def test_urgent_tasks_are_placed_first():
    """Guards against urgent tasks that wait behind a long queue."""
    placement = Placement(ManualClock())
    ordered = placement.order([item(0), item(1, priority=Priority.URGENT), item(2)])
    assert [entry.key.index for entry in ordered] == [1, 0, 2]


def test_larger_tasks_have_a_bounded_head_start():
    """Guards against slots given to small tasks only, and against starvation of small tasks."""
    large = Resources(8000, 1000, 0, 1)
    items = [item(index, SMALL) for index in range(3)]
    items += [item(index, large) for index in range(3, 3 + 2 * SIZE_HEAD_START)]
    ordered = [entry.key.index for entry in Placement(ManualClock()).order(items)]
    assert ordered[0] == 3
    assert SIZE_HEAD_START * 0.7 <= ordered.index(0) <= SIZE_HEAD_START


@pytest.mark.parametrize("mechanism", [True, False])
def test_urgent_task_finds_capacity_in_a_full_fleet(mechanism, monkeypatch):
    """Guards against urgent tasks that wait for another to end; `mechanism` is the headroom."""
    if not mechanism:
        monkeypatch.setattr("mulberryslip.placements._keeps_headroom", lambda worker_id: False)
    placement = Placement(ManualClock())
    used = dict.fromkeys((f"w{number}" for number in range(20)), Resources())
    for index in range(300):
        workers = [view(name, CAPACITY - amount) for name, amount in used.items()]
        ranked = placement.rank(item(index), workers)
        if ranked:
            used[ranked[0].worker_id] += SMALL
    workers = [view(name, CAPACITY - amount) for name, amount in used.items()]
    assert placement.rank(item(301), workers) == []
    assert bool(placement.rank(item(302, priority=Priority.URGENT), workers)) is mechanism


def test_reserved_worker_is_kept_from_smaller_tasks():
    """Guards against starvation of a large task when small tasks take all freed capacity."""
    clock = ManualClock()
    placement = Placement(clock)
    large = item(9, Resources(7000, 1000, 0, 1))
    busy = [view("w1", Resources(5000, 8000, 0, 4)), view("w2", Resources(2000, 8000, 0, 4))]
    assert placement.rank(large, busy) == []
    clock.advance(LARGE_WAIT)
    assert placement.rank(large, busy) == []
    assert placement.reserved_worker() == "w1"
    assert ids(placement.rank(item(1), busy)) == ["w2"]
    assert "w1" in ids(placement.rank(item(2, priority=Priority.URGENT), busy))
    assert ids(placement.rank(large, [view("w1"), busy[1]])) == ["w1"]
    placement.record_start(large, "w1")
    assert "w1" in ids(placement.rank(item(1), busy))


@pytest.mark.parametrize("end", ["expires", "cancelled"])
def test_reservation_ends(end):
    """Guards against a worker left idle for a task that never fits or was cancelled."""
    clock = ManualClock()
    placement = Placement(clock)
    busy = [view("w1", Resources(5000, 8000, 0, 4))]
    large = item(9, Resources(7000, 1000, 0, 1))
    placement.rank(large, busy)
    clock.advance(LARGE_WAIT)
    placement.rank(large, busy)
    assert placement.rank(item(1), busy) == []
    if end == "cancelled":
        placement.forget_task(large.key)
    else:
        clock.advance(RESERVATION_LIFETIME + timedelta(seconds=1))
    assert ids(placement.rank(item(1), busy)) == ["w1"]


def test_task_finds_the_only_free_worker_in_a_large_fleet():
    """Guards against a sample of the fleet that misses the only worker with free capacity."""
    full = [view(f"w{number}", free=Resources()) for number in range(200)]
    ranked = Placement(ManualClock()).rank(item(), [*full, view("last")])
    assert ids(ranked) == ["last"]

"""Calls that were meant for a worker's earlier incarnation and reach the next one."""

from datetime import timedelta

import attrs
import pytest
from mulberryslip import ManualClock
from mulberryslip.steps import StepSpec
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.settlements import SettlementRecord, settlements_key
from pool_doubles import MAX_CALL_DELAY, MAX_LEASE_TIMES, MS, SECOND, TIMES, PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
ROUNDS_PER_SECOND = 5
RUN_MS = 60_000


def new_world():
    """Return a world whose owner is beside the last worker, and its first worker with a run."""
    world = PoolWorld(
        3,
        times=MAX_LEASE_TIMES,
        run_ms=lambda name: RUN_MS,
        max_lease=MAX_LEASE_TIMES.max_lease,
        max_call_delay=MAX_CALL_DELAY,
    )
    world.elect(world.workers[2])
    world.run(12 * ROUNDS_PER_SECOND)
    return world


def restart_with_late_renewal(world, worker):
    """Restart a worker; a renewal for its earlier incarnation reaches it first."""
    grant = world.agents[worker.id][0]._grant
    worker.restart()
    worker.extend_lease(worker.id, grant.fence, grant.lease_until_ms, 0, 0 * MS)


def start_after_late_renewals(world):
    """Restart all workers but the owner's, with late renewals, and start a task."""
    for worker in world.workers[:2]:
        restart_with_late_renewal(world, worker)
    world.submit("a", TASK)
    while not world.history.starts:
        world.round()


@pytest.mark.parametrize("rounds_until_cut", [0, 5, 10, 20])
def test_run_is_not_repeated_while_a_late_renewal_keeps_it_alive(rounds_until_cut):
    """Guards against a second run while the first has a lease that no owner granted."""
    world = new_world()
    start_after_late_renewals(world)
    world.run(rounds_until_cut)
    world.isolate(next(worker for worker in world.workers if worker.runs))
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


def test_run_is_not_repeated_by_the_next_owner_while_a_late_renewal_keeps_it_alive():
    """Guards against an owner that takes the lease its predecessor granted for the longest."""
    world = new_world()
    start_after_late_renewals(world)
    world.owner().resign("planned stop")
    world.isolate(next(worker for worker in world.workers if worker.runs))
    world.run_with_claims(25 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


@pytest.mark.parametrize("is_planned", [True, False])
def test_settled_incarnation_is_given_up_after_an_ordinary_lease_by_the_next_owner(is_planned):
    """Guards against services that wait for the longest lease after each change of the owner."""
    world = new_world()
    world.submit("a", attrs.evolve(TASK, lasting=True))
    while not world.history.starts:
        world.round()
    world.run(5 * ROUNDS_PER_SECOND)
    previous = world.owner()
    world.isolate(next(worker for worker in world.workers if worker.runs))
    if is_planned:
        previous.resign("planned stop")
    else:
        world.frozen.add(world.workers[2].id)
    waited = timedelta()
    while world.history.starts < 2:
        if world.owner() is None:
            world.claim_if_free()
        world.round()
        waited += 200 * MS
        assert waited <= 2 * TIMES.store_lease + TIMES.max_silence + 4 * SECOND / ROUNDS_PER_SECOND
    assert world.history.violations == []


@pytest.mark.parametrize(
    ("stored", "expected"),
    [
        (None, {}),
        (b"", {}),
        (b"[]", {}),
        (b"{}", {}),
        (b'{"incarnations":[]}', {}),
        (b'{"incarnations":{"w0":1}}', {}),
        (b'{"incarnations":{"w0":"2@w0"},"later":1}', {"w0": "2@w0"}),
    ],
)
def test_unreadable_settlements_count_as_none(stored, expected):
    """Guards against an owner that cannot claim its pool, or relies on what it cannot read."""
    store = FakeStore(ManualClock())
    if stored is not None:
        store.put(settlements_key(0), stored, 0)
    record = SettlementRecord(0, store)
    record.read()
    found = {name: "2@w0" for name in ("w0", "w1") if record.is_settled(name, "2@w0")}
    assert found == expected


def test_settlements_of_another_owner_are_replaced_only_after_they_were_read():
    """Guards against owners that lose what the others have recorded, or write all the time."""
    store = FakeStore(ManualClock())
    first, second = SettlementRecord(0, store), SettlementRecord(0, store)
    first.update({"w0": "1@w0"}, SECOND)
    second.update({"w1": "1@w1"}, SECOND)
    assert second.is_settled("w0", "1@w0")
    assert not second.is_check_due(SECOND)
    second.update({"w0": "1@w0", "w1": "1@w1"}, 2 * SECOND)
    first.read()
    assert first.is_settled("w1", "1@w1")
    assert not first.is_settled("w1", "2@w1")
    assert not first.is_settled("w1", "")
    version = store.get(settlements_key(0)).version
    first.update({"w0": "1@w0", "w1": "1@w1"}, 3 * SECOND)
    assert store.get(settlements_key(0)).version == version


@pytest.mark.parametrize("back_after_ms", [200, 1000, 3000, 5000])
def test_late_start_for_the_earlier_incarnation_is_not_repeated_elsewhere(back_after_ms):
    """Guards against a second run while the next incarnation may still execute the first start."""
    world = new_world()
    worker = world.submit_without_answer(TASK)
    world.crash_and_start_late(worker, back_after_ms * MS)
    world.run(8 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert len([worker for worker in world.workers if worker.runs]) == 1


@pytest.mark.parametrize("rounds_until_start", [1, 5, 20])
def test_late_start_of_a_worker_that_is_cut_off_is_not_repeated_elsewhere(rounds_until_start):
    """Guards against the same if the owner hears neither of the crash nor of the next incarnation.

    The worker must not be the owner's, whose agent would list its runs.
    """
    world = new_world()
    world.owner()._term.members["w2"].leaving = True
    worker = world.submit_without_answer(TASK)
    worker.outage = 200 * MS
    worker.crash()
    world.isolate(worker)
    world.run(rounds_until_start)
    worker.run_delayed_starts()
    assert worker.runs
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2

"""Calls that were meant for a worker's earlier incarnation and reach the next one."""

import pytest
from mulberryslip.steps import StepSpec
from pool_doubles import MAX_LEASE_TIMES, MS, PoolWorld

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
    )
    world.elect(world.workers[2])
    world.run(12 * ROUNDS_PER_SECOND)
    return world


def restart_with_late_renewal(world, worker):
    """Restart a worker; a renewal for its earlier incarnation reaches it first."""
    grant = world.agents[worker.id][0]._grant
    worker.restart()
    worker.extend_lease(worker.id, grant.fence, grant.lease_until_ms, 0, 0 * MS)


def isolate(world, worker):
    """Cut a worker and its agent off from all other VMs, and from the store."""
    world.cut |= {worker.id, world.address(worker)}
    world.store_cut.add(worker.id)


@pytest.mark.parametrize("rounds_until_cut", [0, 5, 10, 20])
def test_run_is_not_repeated_while_a_late_renewal_keeps_it_alive(rounds_until_cut):
    """Guards against a second run while the first has a lease that no owner granted."""
    world = new_world()
    for worker in world.workers[:2]:
        restart_with_late_renewal(world, worker)
    world.submit("a", TASK)
    while not world.history.starts:
        world.round()
    world.run(rounds_until_cut)
    isolate(world, next(worker for worker in world.workers if worker.runs))
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


def test_run_is_not_repeated_by_the_next_owner_while_a_late_renewal_keeps_it_alive():
    """Guards against an owner that takes the lease its predecessor granted for the longest."""
    world = new_world()
    for worker in world.workers[:2]:
        restart_with_late_renewal(world, worker)
    world.submit("a", TASK)
    while not world.history.starts:
        world.round()
    world.owner().resign("planned stop")
    isolate(world, next(worker for worker in world.workers if worker.runs))
    for _ in range(25 * ROUNDS_PER_SECOND):
        if world.owner() is None:
            world.claim_if_free()
        world.round()
    assert world.history.violations == []
    assert world.history.starts == 2

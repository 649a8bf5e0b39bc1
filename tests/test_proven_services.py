"""Tests of long-running tasks that have run well before their workers crash under them."""

import json

import attrs
import pytest
from mulberryslip.crashes import (
    FULL_PROOF,
    MAX_LOSSES,
    MAX_LOSSES_IN_SERIES,
    MAX_UNCLEARED_RUNS,
    PROVEN_AFTER_MS,
    Proof,
)
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Pool, RunCheckpointed, RunOutcome
from pool_doubles import PoolWorld
from test_crashes import ROUNDS_PER_SECOND, end, start
from test_workflows import workflow_accepted

SERVICE = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
CHECK = StepSpec(cpu_millis=500, memory_mb=100)
SERVICE_MS = 3_600_000
PROVEN_S = PROVEN_AFTER_MS // 1000 + 2
SURVIVED, LOST, LAPSED = "survived", RunOutcome.LOST, RunOutcome.LAPSED
IN_SERIES = (LAPSED,) * MAX_LOSSES_IN_SERIES


def make_world(workers=6):
    world = PoolWorld(workers, run_ms=lambda name: 1000 if "check" in name else SERVICE_MS)
    world.elect()
    world.run(3)
    return world


def host_of(world, task):
    return next((worker for worker in world.workers if task in worker.runs), None)


def keep_owner(world):
    pass


def change_owner(world):
    world.owner().resign("planned stop")
    world.elect()


def change_owner_after_snapshot(world):
    world.owner()._write_snapshot(world.owner()._term)
    change_owner(world)


def crash_host_soon(world, task):
    """Let the worker of a task crash as soon as it runs again; return the rounds that it took."""
    for turn in range(15 * ROUNDS_PER_SECOND):
        host = host_of(world, task)
        if host is not None:
            host.crash()
            return turn
        world.round()
    raise AssertionError(f"{task} does not run again")


@pytest.mark.parametrize("change", [keep_owner, change_owner, change_owner_after_snapshot])
@pytest.mark.parametrize("losses", [2, MAX_LOSSES_IN_SERIES])
def test_service_that_has_run_for_long_is_not_suspected_for_its_neighbours(losses, change):
    """Guards against trials and verdicts of services that others take along worker by worker."""
    world = make_world()
    world.submit("service", SERVICE)
    world.run(PROVEN_S * ROUNDS_PER_SECOND)
    change(world)
    for _ in range(losses):
        crash_host_soon(world, "service/0/0/0")
        world.run(2)
        assert not world.owner()._term.pool.task("service/0/0/0").is_suspected
    world.run(3 * ROUNDS_PER_SECOND)
    assert host_of(world, "service/0/0/0") is not None
    assert world.shown("service") == "running"
    assert world.history.violations == []


def test_proven_services_survive_checks_that_crash_worker_after_worker():
    """Guards against services that are given up, or wait for trials, beside deadly checks."""
    world = make_world(workers=8)
    for worker in world.workers:
        worker.crash_ms_of = lambda name: 10 if "deadly" in name else None
    for number in range(4):
        world.submit(f"service{number}", attrs.evolve(SERVICE, count=4))
    world.run(PROVEN_S * ROUNDS_PER_SECOND)
    suspected = set()
    for turn in range(30 * ROUNDS_PER_SECOND):
        if turn % 2 == 0:
            world.submit(f"check{turn}", CHECK)
        if turn % 3 == 0 and turn < 15 * ROUNDS_PER_SECOND:
            world.submit(f"check-deadly{turn}", CHECK)
        world.round()
        crashed = world.owner()._term.pool.crashed_tasks()
        suspected |= {task.name for task in crashed if task.is_suspected and task.spec.lasting}
    assert world.history.crashes > 15
    assert suspected == set()
    assert {world.shown(f"service{number}") for number in range(4)} == {"running"}
    assert world.history.violations == []


def test_service_that_becomes_deadly_is_given_up():
    """Guards against a task that ran well once and crashes worker after worker since."""
    world = make_world()
    world.submit("service", SERVICE)
    world.run(PROVEN_S * ROUNDS_PER_SECOND)
    for worker in world.workers:
        worker.crash_ms_of = lambda name: 100
    host_of(world, "service/0/0/0").crash()
    for _ in range(60 * ROUNDS_PER_SECOND):
        world.round()
    assert world.shown("service") == "failed"
    assert world.history.crashes <= MAX_LOSSES_IN_SERIES + MAX_UNCLEARED_RUNS


@pytest.mark.parametrize("lasting", [True, False])
@pytest.mark.parametrize(
    ("ends", "proof", "crashes"),
    [
        ((SURVIVED,), FULL_PROOF, 0),
        ((SURVIVED, LAPSED), Proof(MAX_LOSSES_IN_SERIES - 1, MAX_LOSSES - 1), 0),
        ((SURVIVED, LAPSED, SURVIVED), Proof(MAX_LOSSES_IN_SERIES, MAX_LOSSES - 1), 0),
        ((SURVIVED, LAPSED, SURVIVED, SURVIVED), FULL_PROOF, 0),
        ((SURVIVED, *IN_SERIES), Proof(0, MAX_LOSSES - MAX_LOSSES_IN_SERIES), 0),
        ((SURVIVED, *IN_SERIES, LOST), Proof(0, MAX_LOSSES - MAX_LOSSES_IN_SERIES), 1),
        ((SURVIVED, *IN_SERIES, LOST, SURVIVED, SURVIVED), FULL_PROOF, 0),
        ((SURVIVED, LAPSED) * MAX_LOSSES, Proof(0, 0), 0),
        ((*(SURVIVED, LAPSED) * MAX_LOSSES, SURVIVED), Proof(0, 0), 0),
        ((LOST, SURVIVED, LOST), None, 2),
        ((LOST, SURVIVED, SURVIVED), FULL_PROOF, 0),
        ((LOST, SURVIVED, SURVIVED, LOST), None, 1),
    ],
)
def test_runs_that_a_proven_task_may_lose(lasting, ends, proof, crashes):
    """Guards against a proof that never ends, or that a survived trial gives at once."""
    pool = Pool()
    pool.apply(workflow_accepted("a", attrs.evolve(SERVICE, lasting=lasting)))
    task = pool.task("a/0/0/0")
    for outcome in ends:
        if not task.has_active_run(task.run):
            start(pool, task)
        if outcome is SURVIVED:
            changed = pool.apply(RunCheckpointed(task.name, task.run, task.checkpoint))
            assert changed or not lasting
        else:
            end(pool, task, outcome)
    assert task.proof == (proof if lasting else None)
    if lasting:
        assert (task.crashes.count if task.crashes else 0) == crashes
    restored = Pool.from_snapshot(json.loads(json.dumps(pool.to_snapshot()))).task(task.name)
    assert restored.proof == task.proof
    assert restored.crashes == task.crashes


@pytest.mark.parametrize("key", ["proven", "late_crashes"])
def test_snapshot_of_a_build_without_proofs_is_read(key):
    """Guards against an upgrade after which no process can own the pool."""
    pool = Pool()
    pool.apply(workflow_accepted("a", SERVICE))
    task = pool.task("a/0/0/0")
    start(pool, task)
    pool.apply(RunCheckpointed(task.name, task.run, task.checkpoint))
    end(pool, task, LOST)
    state = json.loads(json.dumps(pool.to_snapshot()))
    assert state.pop(key)
    assert Pool.from_snapshot(state).task(task.name).crashes.count == 1

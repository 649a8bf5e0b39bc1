"""Tests of the division of a workflow's time."""

import attrs
import eliot
import pytest
from mulberryslip.events import Event
from mulberryslip.steps import StepSpec
from mulberryslip.wire.ttypes import Outcome
from pool_doubles import PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100, estimate_ms=500)
PARTS = ("waiting_ms", "working_ms", "slowed_ms", "repeated_ms", "unknown_ms")


@pytest.fixture
def world():
    world = PoolWorld()
    world.elect()
    world.run(3)
    return world


@pytest.fixture
def timed():
    """Collect the events by workflow."""
    messages = {}

    def collect(message):
        if message.get("event") == Event.WORKFLOW_TIMED.value:
            assert message["workflow"] not in messages
            messages[message["workflow"]] = message

    eliot.add_destinations(collect)
    yield messages
    eliot.remove_destination(collect)


def test_parts_add_up_to_the_time_of_a_workflow(world, timed):
    """Guards against a late workflow whose time cannot be divided."""
    assert world.submit("a", TASK, attrs.evolve(TASK, count=3, after=(0,))).outcome == Outcome.OK
    world.run(30)
    assert world.shown("a") == "completed"
    message = timed["a"]
    assert message["queue"] == "checks"
    assert sum(message[part] for part in PARTS) == message["took_ms"]
    assert message["unknown_ms"] == message["repeated_ms"] == message["earlier_ms"] == 0
    assert message["working_ms"] == 2 * TASK.estimate_ms
    assert message["slowed_ms"] > 0


def test_lost_runs_count_as_repeated(world, timed):
    """Guards against a lost run whose time looks like slow work."""
    for worker in world.workers:
        worker.run_ms = lambda name: 3000
    world.submit("a")
    world.run(8)
    (task,) = world.held_tasks("a")
    worker_id = world.owner()._term.pool.task(task).worker_id
    next(worker for worker in world.workers if worker.id == worker_id).crash()
    world.run(80)
    assert world.shown("a") == "completed"
    message = timed["a"]
    assert sum(message[part] for part in PARTS) == message["took_ms"]
    assert message["unknown_ms"] == 0
    assert message["repeated_ms"] >= 1000
    assert message["slowed_ms"] >= 3000


def test_refused_starts_count_once(world, timed):
    """Guards against a wait that counts again after each start that was refused."""
    for worker in world.workers:
        worker.is_unhealthy = True
    world.submit("a")
    world.run(10)
    for worker in world.workers:
        worker.is_unhealthy = False
    world.run(30)
    assert world.shown("a") == "completed"
    message = timed["a"]
    assert sum(message[part] for part in PARTS) == message["took_ms"]


def test_run_that_an_earlier_owner_assigned_is_unknown(world, timed):
    """Guards against a guess at the time of a run whose start this owner has not seen."""
    for worker in world.workers:
        worker.run_ms = lambda name: 20_000
    world.submit("a", attrs.evolve(TASK, checkpoints=True))
    world.run(8)
    assert world.held_tasks("a")
    world.owner().resign("test")
    for _ in range(200):
        if world.owner() is None:
            world.claim_if_free()
        world.round()
    assert world.shown("a") == "completed"
    message = timed["a"]
    assert sum(message[part] for part in PARTS) == message["took_ms"]
    assert message["unknown_ms"] >= 18_000
    assert 1000 <= message["earlier_ms"] < message["unknown_ms"]


def test_no_state_is_kept_of_ended_workflows(world, timed):
    """Guards against memory that grows with the number of workflows."""
    lasting = attrs.evolve(TASK, lasting=True)
    for name, steps in {"a": [TASK, attrs.evolve(TASK, after=(0,))], "b": [TASK] * 2}.items():
        world.submit(name, *steps)
    world.submit("s", lasting)
    world.run(4)
    world.call("cancel", "b")
    world.call("cancel", "s")
    world.run(40)
    assert timed.keys() == {"a", "b", "s"}
    breakdowns = world.owner()._term.breakdowns
    assert not breakdowns._tasks
    assert not breakdowns._step_ends

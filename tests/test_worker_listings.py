"""Tests of the log events against which the owner's book can be checked."""

import attrs
import pytest
from log_events import logged_messages
from mulberryslip.events import Event
from mulberryslip.models import Resources
from mulberryslip.runners import RunningRun
from mulberryslip.steps import StepSpec
from mulberryslipd.agents import LISTING_LOG_INTERVAL, MAX_LOGGED_TASKS
from pool_doubles import MS, SECOND, PoolWorld

CHECK = StepSpec(cpu_millis=1000, memory_mb=100)


@pytest.fixture
def world():
    world = PoolWorld(workers=1, run_ms=lambda name: 60_000)
    world.elect()
    world.run(10)
    return world


def list_runs(world, names):
    """Let the worker list runs of these tasks from now on."""
    (worker,) = world.workers
    extend_lease = type(worker).extend_lease
    running = tuple(RunningRun(name, 1, "", 0) for name in names)
    worker.extend_lease = lambda *args: attrs.evolve(extend_lease(worker, *args), running=running)


def events(messages, event=Event.WORKER_LISTING):
    return [message for message in messages if message["event"] == event.value]


def test_listing_is_logged_with_worker_and_capacity(world):
    """Guards against a log from which the owner's book cannot be checked."""
    list_runs(world, ["b/0/0/0", "a/0/0/0"])
    with logged_messages() as messages:
        world.run(6)
    (message,) = events(messages)
    assert (message["event"], message["worker"]) == (612, "w0")
    assert message["capacity"] == list(world.workers[0].capacity.amounts())
    assert (message["running"], message["total"]) == (["a/0/0/0", "b/0/0/0"], 2)


@pytest.mark.parametrize(
    ("listed", "logged"),
    [
        (0, 0),
        (1, 1),
        (MAX_LOGGED_TASKS, MAX_LOGGED_TASKS),
        (MAX_LOGGED_TASKS + 1, MAX_LOGGED_TASKS),
        (20 * MAX_LOGGED_TASKS, MAX_LOGGED_TASKS),
    ],
)
def test_listed_tasks_are_bounded_and_counted(world, listed, logged):
    """Guards against lines of any length, and against a cut that the line does not show."""
    list_runs(world, ["before"])
    world.run(6)
    list_runs(world, [f"t{number:05d}" for number in range(listed)])
    with logged_messages() as messages:
        world.run(6)
    (message,) = events(messages)
    assert message["running"] == [f"t{number:05d}" for number in range(logged)]
    assert message["total"] == listed


def test_same_listing_is_logged_once(world):
    """Guards against lines without news, which cost processor time on each of many workers."""
    list_runs(world, ["a", "b"])
    world.run(10)
    list_runs(world, ["b", "a"])
    with logged_messages() as messages:
        world.run(50)
    assert events(messages) == []


def change_runs(world):
    list_runs(world, ["a", "c"])


def change_run_beyond_the_bound(world):
    list_runs(world, [*(f"a{number:05d}" for number in range(MAX_LOGGED_TASKS)), "c"])


def change_capacity(world):
    worker = world.workers[0]
    worker.capacity = Resources(worker.capacity.cpu_millis - 1000, worker.capacity.memory_mb)


def restart_worker(world):
    worker = world.workers[0]
    worker.restart()
    worker.id = "w0-2"
    world.update_worker_id(worker)


@pytest.mark.parametrize(
    "change", [change_runs, change_run_beyond_the_bound, change_capacity, restart_worker]
)
def test_change_is_logged(world, change):
    """Guards against a change of the runs, the capacity or the worker that the log does not show.

    The runs beyond the bound change, and their number does not.
    """
    beyond = change is change_run_beyond_the_bound
    before = [f"a{number:05d}" for number in range(MAX_LOGGED_TASKS)] if beyond else ["a"]
    list_runs(world, [*before, "b"])
    world.run(10)
    change(world)
    with logged_messages() as messages:
        world.run(20)
    (message,) = events(messages)
    assert message["worker"] == world.workers[0].id
    assert message["capacity"] == list(world.workers[0].capacity.amounts())


def test_frequent_changes_are_logged_once_a_second(world):
    """Guards against a line for each listing of a worker whose runs end all the time.

    The state at the end of the changes is logged, too.
    """
    logged_at = []
    with logged_messages() as messages:
        for number in range(200):
            list_runs(world, [f"t{number}"])
            known = len(events(messages))
            at = world.clock.monotonic()
            world.round(50 * MS)
            logged_at += [at] * (len(events(messages)) - known)
        world.run(10)
    gaps = [later - earlier for earlier, later in zip(logged_at, logged_at[1:], strict=False)]
    assert LISTING_LOG_INTERVAL == SECOND
    assert gaps and min(gaps) >= LISTING_LOG_INTERVAL
    assert len(logged_at) >= 9
    assert events(messages)[-1]["running"] == ["t199"]


def test_capacity_of_a_late_announcement_is_logged_as_announced(world):
    """Guards against a line that shows no capacity because starts are refused for a while."""
    list_runs(world, ["a"])
    world.run(10)
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    with logged_messages() as messages:
        for _ in range(50):
            world.clock.advance(200 * MS)
            agent.renew_and_report(directory.owner())
    assert events(messages) == []


@pytest.mark.parametrize("lasting", [False, True])
def test_placed_run_is_logged_with_its_demand(world, lasting):
    """Guards against a log that does not show what a run takes up on its worker."""
    step = attrs.evolve(CHECK, lasting=lasting)
    with logged_messages() as messages:
        world.submit("a", step)
        world.run(5)
    message = events(messages, Event.RUN_PLACED)[0]
    assert message["demand"] == list(step.demand.amounts())
    assert message["lasting"] is lasting

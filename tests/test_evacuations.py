"""Tests of the evacuation of data centres and of the limit on their return."""

from datetime import timedelta

import attrs
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
from mulberryslip.actions import RunningTask
from mulberryslip.evacuations import (
    DELAY_SHARE,
    MOVING_SHARE,
    NOTICE,
    RETURN_RAMP,
    EvacuationPlanner,
)
from mulberryslip.models import WorkerView
from mulberryslip.placements import Placement, PlacementItem

CAPACITY = Resources(8000, 8000, 0, 8)
SECOND = timedelta(seconds=1)


def view(name, data_centre="a", is_in=True, used=0):
    description = WorkerDescription(name, "1", data_centre, "r", "127.0.0.1", 1, CAPACITY)
    free = CAPACITY - Resources(0, 0, 0, used)
    return WorkerView(description, WorkerLoad(free=free), data_centre_in=is_in)


def task(index, run_s=100, memory=500, template="plan", task_class=TaskClass.BATCH, worker="w0"):
    return RunningTask(
        TaskKey("job", index),
        template,
        task_class,
        worker,
        Resources(1000, memory, 0, 1),
        run_time=SECOND * run_s,
        time_since_checkpoint=SECOND * min(run_s, 60),
    )


def moves(policy, clock, workers, tasks, seconds, ends_s=10**9):
    """Run one round a second; remove moved tasks and those that reach the run time `ends_s`.

    :returns: index and second of each move.
    """
    remaining = list(tasks)
    done = []
    for second in range(seconds):
        for action in policy.decide(clock.monotonic(), workers, remaining):
            assert action.reason
            done.append((action.task.index, second))
            remaining = [entry for entry in remaining if entry.key != action.task]
        remaining = [attrs.evolve(entry, run_time=entry.run_time + SECOND) for entry in remaining]
        remaining = [entry for entry in remaining if entry.run_time < SECOND * ends_s]
        clock.advance(SECOND)
    return done


@pytest.mark.parametrize("count", [1, 20, 200])
def test_all_tasks_leave_in_time_and_at_an_even_rate(count):
    """Guards against tasks lost with the data centre, and against one burst of checkpoints."""
    clock = ManualClock()
    policy = EvacuationPlanner(clock)
    tasks = [task(index, worker=f"w{index // 8}") for index in range(count)]
    workers = [view(f"w{number}", is_in=False) for number in range(25)]
    done = moves(policy, clock, workers, tasks, int(NOTICE.total_seconds()))
    assert len(done) == count
    window = (NOTICE * (MOVING_SHARE - DELAY_SHARE)).total_seconds()
    assert done[-1][1] <= (NOTICE * MOVING_SHARE).total_seconds()
    for second in range(int(NOTICE.total_seconds())):
        assert sum(at == second for _, at in done) <= count / window + 1


def test_long_running_and_cheap_tasks_move_first():
    """Guards against moving watches or the tasks with the most work at risk last."""
    clock = ManualClock()
    tasks = [
        task(0, run_s=10),
        task(1, run_s=1000, memory=4000),
        task(2, run_s=1000, memory=200),
        task(3, run_s=5, task_class=TaskClass.WATCH),
    ]
    done = moves(EvacuationPlanner(clock), clock, [view("w0", is_in=False)], tasks, 60)
    assert [index for index, _ in done] == [3, 2, 1, 0]


@pytest.mark.parametrize(
    ("run_s", "task_class", "moved"),
    [
        (60, TaskClass.BATCH, False),
        (10, TaskClass.BATCH, True),
        (500, TaskClass.BATCH, True),
        (60, TaskClass.WATCH, True),
    ],
    ids=["almost done", "far from done", "longer than known", "watch"],
)
def test_batch_that_is_almost_done_may_finish(run_s, task_class, moved):
    """Guards against moving a task that would have finished before the data centre loses power."""
    clock = ManualClock()
    policy = EvacuationPlanner(clock)
    for _ in range(5):
        policy.durations.observe("plan", SECOND * 100)
    tasks = [task(0, run_s=run_s, task_class=task_class)]
    ends_s = run_s + 100 if run_s > 100 else 100
    assert bool(moves(policy, clock, [view("w0", is_in=False)], tasks, 60, ends_s)) is moved


def test_tasks_elsewhere_stay():
    """Guards against moving tasks of a data centre that is in service."""
    clock = ManualClock()
    workers = [view("w0", is_in=False), view("w1", "b")]
    assert moves(EvacuationPlanner(clock), clock, workers, [task(0, worker="w1")], 60) == []


@pytest.mark.parametrize("limited", [True, False])
def test_work_returns_at_a_limited_rate(limited):
    """Guards against a returned data centre that is filled at once; `limited` is the mechanism."""
    clock = ManualClock()
    policy = EvacuationPlanner(clock, return_time=RETURN_RAMP if limited else timedelta())
    policy.observe([view("w0", is_in=False)])
    clock.advance(timedelta(minutes=5))
    policy.observe([view("w0")])
    placement = Placement(clock, return_limit=policy)
    item = PlacementItem(
        TaskKey("job", 1), "plan", "a", TaskClass.BATCH, Priority.NORMAL, Resources(1, 1, 0, 1)
    )
    starts = []
    for second in range(60):
        policy.observe([view("w0")])
        while len(starts) < 8 and placement.rank(item, [view("w0", used=len(starts))]):
            starts.append(second)
        clock.advance(SECOND)
    assert len(starts) == 8
    assert (starts[3] >= RETURN_RAMP.total_seconds() / 3) is limited


def test_data_centre_that_was_never_out_is_not_limited():
    """Guards against limited starts in the whole fleet after a restart of the scheduler."""
    policy = EvacuationPlanner(ManualClock())
    policy.observe([view("w0")])
    assert policy.admits(view("w0", used=7))

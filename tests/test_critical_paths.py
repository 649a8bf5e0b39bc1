"""Tests of critical paths that follow from the progress of runs."""

import random
from datetime import timedelta

import pytest
from mulberryslip.critical_paths import REFRESH_INTERVAL_MS, CriticalPaths
from mulberryslip.dispatches import TIER_DELAY_MS, Dispatcher, estimated_run_time
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.queues import Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.work_estimates import WorkEstimates
from mulberryslip.workflows import Pool, RunAssigned, RunEnded, RunOutcome, accepted_event

SECOND = timedelta(seconds=1)
QUEUE = Queue("q", stretch_permille=2000, slack_ms=1000)


def workflow_of(*counts, estimate_ms=2000):
    """Return a pool with a workflow whose steps run one after the other, and the workflow."""
    steps = tuple(
        StepSpec(
            count=count,
            cpu_millis=1000,
            estimate_ms=estimate_ms,
            after=(number - 1,) if number else (),
            checkpoints=True,
            fills=True,
            image="b",
        )
        for number, count in enumerate(counts)
    )
    pool = Pool()
    pool.apply(accepted_event("w", QUEUE, WorkflowSpec("p", steps), 1))
    return pool, pool.workflows["w"]


def observe(estimates, task, work_s, until_s, speed=1.0, run=1, start_percent=0, restore_s=0.0):
    """Let listings show a run of a task of a certain work, every 0.4 s; return its progress."""
    at, percent = 0.0, start_percent
    while at <= until_s:
        done_s = max(0.0, at - restore_s) * speed
        percent = min(99, start_percent + int(100 * done_s / work_s))
        estimates.observe(task, run, percent, speed, 2 * SECOND, run * 100 * SECOND + at * SECOND)
        at += 0.4
    return percent


@pytest.mark.parametrize("speed", [1.0, 0.4])
@pytest.mark.parametrize("work_s", [1.0, 2.0, 4.0, 14.0])
def test_work_follows_from_progress(work_s, speed):
    """Guards against a straggler that counts as nearly done, or as hopeless when it is slowed."""
    estimates = WorkEstimates()
    observe(estimates, "t", work_s, 0.7 * work_s / speed, speed)
    total = estimates.total("t")
    assert (2 * SECOND if total is None else total).total_seconds() == pytest.approx(
        work_s, rel=0.3, abs=1.1 if work_s < 2 else 0
    )


def test_restored_run_is_no_straggler():
    """Guards against the time to restore a checkpoint, without progress, counting as work."""
    estimates = WorkEstimates()
    observe(estimates, "t", 2.0, 0.8)
    observe(estimates, "t", 2.0, 1.4, run=2, start_percent=40, restore_s=0.6)
    assert estimates.total("t") is None or estimates.total("t") < 3 * SECOND


def test_straggler_lengthens_the_path_and_the_objective():
    """Guards against a workflow that counts as late because its caller's estimate was too low."""
    _, workflow = workflow_of(20, 5)
    estimates = WorkEstimates()
    paths = CriticalPaths(estimated_run_time, estimates)
    assert paths.refresh(workflow, 0).total == 4 * SECOND
    observe(estimates, "w/0/0/7", 14.0, 3.2)
    assert paths.refresh(workflow, REFRESH_INTERVAL_MS - 1).total == 4 * SECOND
    path = paths.refresh(workflow, REFRESH_INTERVAL_MS)
    assert path.total.total_seconds() == pytest.approx(16, abs=2)
    assert path.remaining < path.total
    assert path.after[0] == 2 * SECOND
    paths.retain(())
    assert paths.path(workflow) is None
    assert not estimates.tasks()


def test_tasks_that_others_wait_for_get_headroom_first():
    """Guards against a straggler that shares headroom with tasks that have time."""
    pool, workflow = workflow_of(20, 5)
    dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
    dispatcher.set_wide(True, timedelta())
    straggler, other = workflow.steps[0][:2]
    next_step = workflow.steps[1][0]
    observe(dispatcher.estimates, straggler.name, 14.0, 3.2)
    starts = [dispatcher.latest_start_ms(task, 1000) for task in (straggler, other, next_step)]
    assert starts == sorted(starts)
    assert starts[0] < starts[1]


@pytest.mark.parametrize(("now_s", "tiers"), [(1, 0), (10, 1), (40, 2)])
def test_late_workflows_get_what_others_leave(now_s, tiers):
    """Guards against a late workflow that makes the next ones late, too."""
    _, workflow = workflow_of(4)
    dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
    dispatcher.set_wide(True, timedelta())
    start_ms = dispatcher.latest_start_ms(workflow.steps[0][0], now_s * 1000)
    assert start_ms // TIER_DELAY_MS == tiers


def test_narrow_pools_keep_the_deadline_of_the_caller():
    """Guards against a change for pools to which the decisions for wide steps do not apply."""
    _, workflow = workflow_of(20, 5)
    dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
    observe(dispatcher.estimates, "w/0/0/7", 14.0, 3.2)
    task = workflow.steps[0][0]
    assert dispatcher.latest_start_ms(task, 50_000) == dispatcher.due_ms(workflow) == 9001


def test_new_owner_learns_stragglers_from_its_own_listings():
    """Guards against work that an owner change makes unknown for the rest of a run."""
    estimates = WorkEstimates()
    observe(estimates, "t", 14.0, 3.2, start_percent=60)
    assert estimates.total("t").total_seconds() == pytest.approx(14, rel=0.3)


@pytest.mark.parametrize("seed", range(3))
def test_workflows_end_in_time_more_often_than_by_deadline(seed):
    """Replays wide steps with a tail of seven times the mean that need twice what there is.

    Guards against a change of the order that makes more workflows late. Each workflow has one step;
    the speed in each interval goes to runs in order. The baseline is the order by deadline.
    """

    def count_in_time(is_wide):
        rng = random.Random(seed)
        pool = Pool()
        dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
        dispatcher.set_wide(is_wide, timedelta())
        work, due = {}, {}
        for number in range(24):
            name, at_ms = f"w{number}", 1 + 700 * number
            spec = StepSpec(count=20, cpu_millis=1000, estimate_ms=2000, fills=True, image="b")
            pool.apply(accepted_event(name, QUEUE, WorkflowSpec("p", (spec,)), at_ms))
            for task in pool.workflows[name].tasks():
                mean = 2 * rng.uniform(0.5, 2) * (7 if rng.random() < 0.03 else 1)
                work[task.name] = (mean, at_ms)
                pool.apply(RunAssigned(task.name, 1, "v", "i", "m", 1))
            longest = max(work[task.name][0] for task in pool.workflows[name].tasks())
            due[name] = at_ms + 2000 * longest + 1000
        done = dict.fromkeys(work, 0.0)
        in_time = 0
        for now_ms in range(0, 60_000, 400):
            running = [
                task
                for workflow in pool.unended.values()
                for task in workflow.tasks()
                if task.has_active_run(1) and work[task.name][1] <= now_ms
            ]
            running.sort(key=lambda task: dispatcher.latest_start_ms(task, now_ms))
            for position, task in enumerate(running):
                speed = 1.0 if position < 40 else 0.0
                total, _ = work[task.name]
                done[task.name] += 0.4 * speed
                percent = int(100 * done[task.name] / total)
                dispatcher.observe_progress(
                    task, 1, min(99, percent), int(1000 * speed), now_ms * SECOND / 1000
                )
                if done[task.name] >= total:
                    pool.apply(RunEnded(task.name, 1, RunOutcome.DONE.value, now_ms))
                    workflow = task.workflow
                    in_time += workflow.is_ended and now_ms <= due[workflow.workflow_id]
        return in_time

    assert count_in_time(True) >= 1.25 * count_in_time(False)

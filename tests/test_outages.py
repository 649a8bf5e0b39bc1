"""Waits of harmless tasks after their workers have ended, and of tasks suspected of crashes."""

import random
import time

import attrs
import pytest
from mulberryslip.crashes import CrashRecord
from mulberryslip.models import Resources
from mulberryslip.outages import OUTAGE_TAIL, SETTLING_TIME, Survivor, WorkerCrashes
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Pool, WorkflowCancelled
from pool_doubles import MS, SECOND, PoolWorld
from test_workflows import workflow_accepted

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
SERVICE = attrs.evolve(TASK, lasting=True, count=6)
ROUNDS_PER_SECOND = 5
FINISH_S = 14
"""Time after the end of the load at which no task may wait that has room."""


def make_world(workers=11, run_ms=900):
    world = PoolWorld(
        workers=workers, run_ms=lambda name: 600_000 if name.startswith("service") else run_ms
    )
    for worker in world.workers:
        worker.capacity = Resources(64_000, 250_000)
    world.elect()
    world.run(3)
    return world


@pytest.mark.parametrize("gap_s", [3, 5])
def test_no_task_is_suspected_although_the_whole_fleet_ends_in_series(gap_s):
    """Guards against tasks that are blamed because they start late after each outage."""
    world = make_world()
    rng = random.Random(2)
    world.submit("service", attrs.evolve(SERVICE, count=30))
    names, suspected = [], set()
    for turn in range(6 * gap_s * ROUNDS_PER_SECOND):
        for _ in range(4):
            names.append(f"check{len(names)}")
            world.submit(names[-1], attrs.evolve(TASK, count=rng.randint(2, 10)))
        if turn and turn % (gap_s * ROUNDS_PER_SECOND) == 0:
            for worker in world.workers:
                if not worker.is_down:
                    worker.crash()
        world.round()
        crashed = world.owner()._term.pool.crashed_tasks()
        suspected |= {task.name for task in crashed if task.is_suspected}
    assert suspected == set()


def shown_counts(world, names):
    shown = [world.shown(name) for name in names]
    return {state: shown.count(state) for state in shown}


@pytest.mark.parametrize("crashes", [2, 6])
@pytest.mark.parametrize("gap_s", [3, 5, 8])
@pytest.mark.parametrize("share", [0.4, 1.0])
def test_harmless_work_goes_on_after_many_workers_crash_together(share, gap_s, crashes):
    """Guards against tasks that wait for trials, or are given up, after power cuts in series."""
    world = make_world()
    rng = random.Random(1)
    checks, services = [], []
    gap = gap_s * ROUNDS_PER_SECOND
    for turn in range((crashes + 1) * gap):
        for _ in range(2):
            checks.append(f"check{len(checks)}")
            steps = [attrs.evolve(TASK, count=rng.randint(2, 10)), attrs.evolve(TASK, after=(0,))]
            world.submit(checks[-1], *steps)
        if turn % 10 == 0:
            services.append(f"service{turn}")
            world.submit(services[-1], SERVICE)
        if turn and turn % gap == 0:
            for worker in rng.sample(world.workers, round(share * len(world.workers))):
                if not worker.is_down:
                    worker.crash()
        world.round()
    world.run(FINISH_S * ROUNDS_PER_SECOND)
    assert shown_counts(world, checks) == {"completed": len(checks)}
    assert shown_counts(world, services) == {"running": len(services)}
    running = [name for worker in world.workers for name in worker.runs]
    assert len(running) == len(services) * SERVICE.count
    assert world.history.violations == []


def crash_of(crashes, number, at, workflow="", is_trial=False, domains=frozenset()):
    """Record the crash of a worker that had just started a run of a workflow."""
    crash = crashes.record(f"w{number}", "1", f"m{number}", is_trial, "refused", at, domains)
    task = pool_task(workflow or f"a{number}")
    crash.lost_runs[task.name, 1] = task
    return crash


def survivors(count, at):
    """Return workers that have listed their runs at some time, by VM."""
    return {f"s{number}": Survivor(at) for number in range(count)}


def pool_task(workflow):
    pool = Pool()
    pool.apply(workflow_accepted(workflow))
    return pool.task(f"{workflow}/0/0/0")


@pytest.mark.parametrize(
    ("crashed", "fleet", "workflow", "running", "trials", "is_outage"),
    [
        (1, 11, "", (), 0, False),
        (2, 11, "", (), 0, False),
        (3, 11, "", (), 0, False),
        (4, 11, "", (), 0, True),
        (11, 11, "", (), 0, True),
        (2, 2, "", (), 0, False),
        (53, 160, "", (), 0, False),
        (54, 160, "", (), 0, True),
        (8, 11, "wide", (), 0, False),
        (8, 11, "wide", ("wide",), 0, True),
        (6, 11, "", (), 4, False),
        (4, 4, "", (), 3, True),
        (4, 4, "", (), 4, False),
        (11, 11, "", (), 8, True),
        (11, 11, "", (), 11, True),
        (8, 11, "", (), 8, False),
        (3, 5, "", (), 1, False),
        (160, 160, "", (), 120, True),
        (120, 160, "", (), 120, False),
    ],
)
def test_outage_is_told_from_crashes_by_tasks(crashed, fleet, workflow, running, trials, is_outage):
    """Guards against suspecting every run after a power cut, and none after real crashes."""
    crashes = WorkerCrashes()
    at = SECOND
    made = [
        crash_of(crashes, number, at, workflow, is_trial=number < trials)
        for number in range(crashed)
    ]
    now = at + SETTLING_TIME
    settled = crashes.settle(now, survivors(fleet - crashed, at), (), lambda: running)
    assert settled == made
    assert {crash.is_outage for crash in made} == {is_outage}


def test_crash_is_left_open_until_other_workers_have_reported():
    """Guards against judging the first crash of an outage as if it were a single one."""
    crashes = WorkerCrashes()
    first = crash_of(crashes, 0, SECOND)
    now = SECOND + SETTLING_TIME / 3
    assert crashes.settle(now, survivors(10, SECOND / 2), (), set) == []
    assert crashes.settle(now, survivors(10, now), (), set) == [first]
    assert not first.is_outage


def test_crash_is_left_open_until_a_new_owner_has_heard_the_other_workers():
    """Guards against judging the first end in an outage as if the fleet were a single worker."""
    crashes = WorkerCrashes()
    unheard = [f"m{number}" for number in range(1, 11)]
    first = crash_of(crashes, 0, SECOND)
    assert crashes.settle(SECOND, {}, unheard, set) == []
    for number in range(1, 11):
        crash_of(crashes, number, SECOND + SETTLING_TIME / 2)
    crashes.settle(SECOND + SETTLING_TIME / 2, {}, unheard, set)
    assert first.is_outage


def test_worker_that_has_restarted_is_no_survivor_of_its_outage():
    """Guards against counting a VM twice, as an ended worker and as its next incarnation."""
    crashes = WorkerCrashes()
    made = [crash_of(crashes, number, SECOND) for number in range(4)]
    back = {f"m{number}": Survivor(SECOND) for number in range(4)}
    crashes.settle(SECOND + SETTLING_TIME, survivors(8, SECOND) | back, (), set)
    assert {crash.is_outage for crash in made} == {True}


@pytest.mark.parametrize(
    ("crashed", "others", "survivors_there", "is_outage"),
    [(3, 0, 0, True), (3, 0, 1, False), (2, 0, 0, False), (3, 1, 0, False)],
)
def test_outage_of_a_rack_is_told_from_crashes_by_tasks(
    crashed, others, survivors_there, is_outage
):
    """Guards against suspecting the runs of a rack that has lost power."""
    crashes = WorkerCrashes()
    made = [
        crash_of(crashes, number, SECOND, domains=frozenset({"east", "rack1"}))
        for number in range(crashed)
    ]
    for number in range(crashed, crashed + others):
        crash_of(crashes, number, SECOND, domains=frozenset({"east", "rack2"}))
    sound = {f"t{number}": Survivor(SECOND, domains=frozenset({"east"})) for number in range(9)}
    for number in range(survivors_there):
        sound[f"s{number}"] = Survivor(SECOND, domains=frozenset({"east", "rack1"}))
    crashes.settle(SECOND + OUTAGE_TAIL, sound, (), set)
    assert {crash.is_outage for crash in made} == {is_outage}


def test_late_report_of_an_outage_belongs_to_it():
    """Guards against suspecting the runs of the worker whose end is noticed last."""
    crashes = WorkerCrashes()
    for number in range(8):
        crash_of(crashes, number, SECOND)
    crashes.settle(SECOND, survivors(3, SECOND), (), set)
    late = crash_of(crashes, 8, SECOND + OUTAGE_TAIL)
    crashes.settle(SECOND + OUTAGE_TAIL, survivors(2, SECOND + OUTAGE_TAIL), (), set)
    assert late.is_outage
    single = crash_of(crashes, 9, 3 * SECOND)
    crashes.settle(3 * SECOND, survivors(10, 3 * SECOND), (), set)
    assert single.is_settled and not single.is_outage


@pytest.mark.parametrize("leaves", [False, True])
def test_workers_that_end_as_announced_are_no_outage(leaves):
    """Guards against a crash that is not counted since other workers leave at the same time."""
    world = make_world(run_ms=600_000)
    world.submit("a", TASK)
    world.run(2)
    holder = next(worker for worker in world.workers if worker.runs)
    others = [worker for worker in world.workers if worker is not holder][:6]
    for worker in others:
        worker.leaving = leaves
    world.run(1)
    for worker in (holder, *others):
        worker.crash()
    world.run(2)
    (task,) = world.owner()._term.pool.workflows["a"].tasks()
    assert task.is_suspected is leaves


@pytest.mark.parametrize(
    ("workers", "deadly", "crash_ms"),
    [
        (11, 3, 10),
        (11, 3, 400),
        (11, 3, 800),
        (11, 4, 400),
        (11, 5, 400),
        (11, 8, 400),
        (40, 12, 400),
    ],
)
def test_unrelated_deadly_tasks_do_not_pass_for_an_outage(workers, deadly, crash_ms):
    """Guards against tasks that crash their workers at the same time and are excused each time."""
    world = make_world(workers)
    for worker in world.workers:
        worker.crash_ms_of = lambda name: crash_ms if name.startswith("deadly") else None
    names = [f"deadly{number}" for number in range(deadly)]
    for name in names:
        world.submit(name, TASK)
    world.run(40 * ROUNDS_PER_SECOND)
    assert shown_counts(world, names) == {"failed": deadly}
    assert world.history.violations == []


def test_workers_that_were_alive_after_another_ended_are_no_outage():
    """Guards against deadly tasks that start one after another and pass for an outage."""
    crashes = WorkerCrashes()
    made = [
        crashes.record(
            f"w{number}", "1", f"m{number}", False, "refused", at, alive_at=at - 100 * MS
        )
        for number, at in enumerate([SECOND, SECOND + 250 * MS, SECOND + 500 * MS])
    ]
    crashes.settle(SECOND + OUTAGE_TAIL + SETTLING_TIME, survivors(6, SECOND), (), set)
    assert {crash.is_outage for crash in made} == {False}


@pytest.mark.parametrize("is_suspected", [False, True])
def test_task_that_had_its_excuses_is_not_blamed_for_the_end_of_the_fleet(is_suspected):
    """Guards against giving up a harmless task after several outages of the whole fleet."""
    world = make_world(run_ms=600_000)
    world.submit("a", attrs.evolve(TASK, lasting=True))
    world.submit("b", attrs.evolve(TASK, lasting=True, count=10))
    world.run(3 * ROUNDS_PER_SECOND)
    pool = world.owner()._term.pool
    (task,) = pool.workflows["a"].tasks()
    task.excused_starts = 2
    task.crashes = CrashRecord(2, is_suspected, 2, ("m20", "m21"))
    pool._crashed[task.name] = task
    for worker in world.workers:
        worker.crash()
    world.run(2 * ROUNDS_PER_SECOND)
    assert task.crashes.count == 2


def test_known_crash_is_not_counted_again():
    """Guards against an agent that reports the same end again and again, as if in an outage."""
    crashes = WorkerCrashes()
    first = crash_of(crashes, 0, SECOND)
    crashes.settle(2 * SECOND, {}, (), set)
    crashes.forget({"w0": "1"}, 120 * SECOND)
    assert crash_of(crashes, 0, 120 * SECOND) is first
    first.lost_runs = {}
    crashes.forget({"w0": "2"}, 120 * SECOND)
    assert crash_of(crashes, 0, 120 * SECOND) is not first


@pytest.mark.parametrize(
    ("workers", "workflows", "count", "cpu_millis", "crash_ms"),
    [
        (4, 12, 1, 40_000, 10),
        (11, 2, 11, 30_000, 10),
        (11, 2, 11, 30_000, 400),
        (11, 11, 1, 40_000, 400),
        (40, 40, 1, 40_000, 10),
    ],
)
def test_deadly_tasks_that_end_the_whole_fleet_are_given_up(
    workers, workflows, count, cpu_millis, crash_ms
):
    """Guards against deadly tasks on each worker that pass for an outage again and again."""
    world = make_world(workers)
    for worker in world.workers:
        worker.crash_ms_of = lambda name: crash_ms
    names = [f"deadly{number}" for number in range(workflows)]
    for name in names:
        world.submit(name, attrs.evolve(TASK, cpu_millis=cpu_millis, count=count))
    world.run(50 * ROUNDS_PER_SECOND)
    assert shown_counts(world, names) == {"failed": workflows}
    assert world.history.violations == []


def test_run_of_a_workflow_that_has_ended_does_not_stop_the_verdicts():
    """Guards against crashes that are never settled because one of them raises an error."""
    crashes = WorkerCrashes()
    pools = []
    for number in range(4):
        pools.append(Pool())
        pools[-1].apply(workflow_accepted(f"a{number}"))
        task = pools[-1].task(f"a{number}/0/0/0")
        crash = crashes.record(f"w{number}", "1", f"m{number}", False, "refused", SECOND)
        crash.lost_runs[task.name, 1] = task
    pools[0].apply(WorkflowCancelled("a0", 5))
    assert len(crashes.settle(2 * SECOND, {}, (), set)) == 4


@pytest.mark.parametrize(("workers", "crashed"), [(200, 200), (800, 200)])
def test_verdict_on_many_crashes_does_not_delay_a_round(workers, crashed):
    """Guards against a round that compares all crashes with one another."""
    crashes = WorkerCrashes()
    for number in range(crashed):
        for run in range(18):
            crash = crashes.record(f"w{number}", "1", f"m{number}", False, "refused", SECOND)
            task = pool_task(f"a{number}x{run}")
            crash.lost_runs[task.name, 1] = task
    others = survivors(workers - crashed, SECOND / 2)
    began = time.process_time()
    crashes.settle(SECOND, others, (), set)
    assert time.process_time() - began < 0.2

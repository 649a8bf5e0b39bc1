"""Tests of the choice between VMs for tasks under which workers have crashed."""

import copy
import random

import pytest
from mulberryslip.crashes import CrashRecord
from mulberryslip.dispatches import (
    CRASHED_HERE_PENALTY,
    LAST_RESORT_WAIT_MS,
    PACKING_WEIGHT,
    START_DEADLINE_MS,
    Dispatcher,
    estimated_run_time,
)
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.health import EXCLUSION_PENALTY, UNSTARTED_PENALTY
from mulberryslip.models import Resources
from mulberryslip.steps import StepSpec
from pool_doubles import PoolWorld
from test_start_deadlines import NOW_MS, make_service, make_worker

SERVICE = StepSpec(cpu_millis=2000, memory_mb=1000, lasting=True, image="api", target_ms=50)
CHECK = StepSpec(cpu_millis=2000, memory_mb=1000)
BEST_EFFORT = StepSpec(cpu_millis=2000, memory_mb=1000, fills=True, image="batch")
FULL = {"free": Resources(1000, 100)}
PACKED = {"latency_critical_runs": {"api": 3}}
CRASHES = [("m0",), ("m0", "m0", "m0"), ("m9", "m0")]


def make_dispatcher():
    return Dispatcher(estimated_run_time, InterferenceModel())


def make_tasks(machines, step, wait_ms=0, suspected=False):
    """Return the tasks of one step, each with the VMs of the crashes under it."""
    tasks = make_service(count=len(machines), step=step, wait_ms=wait_ms)
    for task, crashed in zip(tasks, machines, strict=True):
        task.crashes = CrashRecord(len(crashed), suspected, len(crashed), tuple(crashed))
    return tasks


def chosen(decisions):
    return {decision.task.index: decision.worker.worker_id for decision in decisions}


@pytest.mark.parametrize("crashed", CRASHES, ids="-".join)
@pytest.mark.parametrize("step", [SERVICE, CHECK, BEST_EFFORT], ids=["service", "check", "batch"])
@pytest.mark.parametrize("wait_ms", [0, LAST_RESORT_WAIT_MS, START_DEADLINE_MS])
@pytest.mark.parametrize("suspected", [False, True])
def test_task_starts_on_another_vm(crashed, step, wait_ms, suspected):
    """Guards against a task that returns again and again to the VM that crashes.

    The worker there runs services of the same image, and the other one is half full.
    """
    tasks = make_tasks([crashed], step, wait_ms, suspected)
    workers = [make_worker(0, **PACKED), make_worker(1, free=Resources(32_000, 250_000))]
    assert chosen(make_dispatcher().schedule(tasks, workers, NOW_MS)) == {0: "w1"}


@pytest.mark.parametrize(
    ("others", "crashed"),
    [
        ([], ("m0",)),
        ([FULL], ("m0",)),
        ([{}], ("m1", "m0")),
        ([{"service": "other"}], ("m0",)),
        ([{"penalty": EXCLUSION_PENALTY}], ("m0",)),
    ],
)
@pytest.mark.parametrize("step", [SERVICE, CHECK, BEST_EFFORT], ids=["service", "check", "batch"])
@pytest.mark.parametrize("wait_ms", [0, LAST_RESORT_WAIT_MS, START_DEADLINE_MS])
def test_task_returns_to_its_vm_if_no_other_is_better(others, crashed, step, wait_ms):
    """Guards against a task that waits, since it has crashed a worker on the only VM with room."""
    tasks = make_tasks([crashed], step, wait_ms)
    workers = [
        make_worker(0, **(PACKED if step is SERVICE else {})),
        *(make_worker(number, **changes) for number, changes in enumerate(others, 1)),
    ]
    assert chosen(make_dispatcher().schedule(tasks, workers, NOW_MS)) == {0: "w0"}


@pytest.mark.parametrize(
    ("step", "has_lost_start", "expected"),
    [(CHECK, False, "w0"), (CHECK, True, "w0"), (SERVICE, False, "w1"), (SERVICE, True, "w0")],
)
def test_task_is_not_sent_again_to_a_worker_that_loses_starts(step, has_lost_start, expected):
    """Guards against a task that only the VM of its crash would start, and that others get.

    The worker there is half full, and the other one empty.
    """
    tasks = make_tasks([("m0",)], step)
    tasks[0].run, tasks[0].lost_run = 1, int(has_lost_start)
    workers = [
        make_worker(0, free=Resources(32_000, 250_000)),
        make_worker(1, penalty=UNSTARTED_PENALTY, has_lost_starts=True),
    ]
    assert chosen(make_dispatcher().schedule(tasks, workers, NOW_MS)) == {0: expected}


def test_tasks_of_a_step_avoid_each_its_own_vms():
    """Guards against tasks that share one order of the workers and so each other's VMs."""
    tasks = make_tasks([("m0",), ("m1",), ("m2",), ("m0", "m1")], CHECK)
    workers = [make_worker(number) for number in range(3)]
    machines = chosen(make_dispatcher().schedule(tasks, workers, NOW_MS))
    assert sorted(machines) == [0, 1, 2, 3]
    for task in tasks:
        assert machines[task.index].replace("w", "m") not in task.crashes.machines


@pytest.mark.parametrize("seed", range(30))
def test_choice_is_that_of_a_comparison_of_all_workers(seed):
    """Guards against an order of the workers that gets lost when some are passed over."""
    rng = random.Random(seed)
    step = rng.choice([SERVICE, CHECK, BEST_EFFORT])
    names = [f"m{number}" for number in range(8)]
    crashed = [rng.sample(names, rng.randrange(0, 6)) for _ in range(40)]
    tasks = make_tasks(crashed, step, rng.choice([0, 2000]))
    penalties = [0.0, 0.1, UNSTARTED_PENALTY, EXCLUSION_PENALTY]
    changes = [
        {
            "free": Resources(rng.randrange(0, 40_000), 250_000),
            "penalty": rng.choice(penalties),
            "latency_critical_runs": rng.choice([{}, {"api": 1}, {"web": 2}]),
        }
        for _ in range(12)
    ]

    def make_workers():
        return [make_worker(number, **copy.deepcopy(each)) for number, each in enumerate(changes)]

    decisions = make_dispatcher().schedule(tasks, make_workers(), NOW_MS)
    dispatcher, workers, expected = make_dispatcher(), make_workers(), []
    penalty = CRASHED_HERE_PENALTY + PACKING_WEIGHT * step.lasting
    for task in dispatcher.order(tasks, NOW_MS):
        best = None
        for worker in workers:
            score = dispatcher._score(task, worker, NOW_MS - task.waiting_since_ms)
            if score is None:
                continue
            score -= penalty * (worker.machine in task.crashes.machines)
            if best is None or score > best[0]:
                best = (score, worker)
        if best is not None:
            dispatcher._reserve(task, best[1])
            expected.append((task.name, best[1].worker_id))
    assert expected
    assert [(d.task.name, d.worker.worker_id) for d in decisions] == expected


def test_workers_are_compared_once_whatever_crashed(monkeypatch):
    """Guards against rounds that take tasks times workers after crashes of much of the fleet."""
    dispatcher = make_dispatcher()
    workers = [make_worker(number) for number in range(100)]
    tasks = make_tasks([(f"m{number % 100}",) for number in range(200)], CHECK)
    score, compared = dispatcher._score, []

    def count(*args, **options):
        compared.append(args)
        return score(*args, **options)

    monkeypatch.setattr(dispatcher, "_score", count)
    assert len(dispatcher.schedule(tasks, workers, NOW_MS)) == len(tasks)
    assert len(compared) <= len(workers) + len(tasks)


def test_service_restarts_on_another_vm_than_the_one_that_crashed():
    """Guards against a service that returns to the VM under it that is back first.

    The VM restarts at once. The service is no suspect, since another one has started there later.
    """
    world = PoolWorld(workers=3, run_ms=lambda name: 600_000)
    world.elect()
    world.run(3)
    lasting = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
    world.submit("a", lasting)
    world.run(10)
    world.submit("b", lasting)
    world.run(3)
    task = world.owner()._term.pool.task("a/0/0/0")
    machine = task.machine
    (worker,) = [worker for worker in world.workers if worker.machine == machine]
    assert {"a/0/0/0", "b/0/0/0"} <= worker.runs.keys()
    worker.restart()
    world.run(10)
    assert (task.crashes.count, task.is_suspected) == (1, False)
    assert world.held_tasks("a") == [task.name]
    assert task.machine != machine
    assert sum(task.name in worker.runs for worker in world.workers) == 1

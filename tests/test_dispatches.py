"""Scheduling policy: placement decisions, and simulated load compared with a naive policy."""

import itertools
import random
from collections import Counter
from datetime import timedelta

import attrs
import pytest
from mulberryslip.capacities import worker_capacity_of
from mulberryslip.crashes import CrashRecord
from mulberryslip.dispatches import (
    ANY_WORKER_WAIT_MS,
    LAST_RESORT_WAIT_MS,
    MAX_PENDING_STARTS,
    SHORT_TASK_RESERVE,
    Dispatcher,
    estimated_run_time,
    tasks_to_try,
)
from mulberryslip.headrooms import ImageInterference, InterferenceModel
from mulberryslip.health import EXCLUSION_PENALTY, UNSTARTED_PENALTY, WorkerHealth
from mulberryslip.models import Resources
from mulberryslip.queues import Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.workflows import Pool, RunAssigned, RunEnded, RunOutcome, accepted_event

CAPACITY = Resources(64_000, 250_000, 0)
CHECKS = Queue("checks", service="s", priority=0, stretch_permille=1500, slack_ms=300)
BATCH = Queue("batch", service="s", priority=2, stretch_permille=2000, slack_ms=1000)
WATCH = Queue("watch", service="s", priority=0, stretch_permille=2200, slack_ms=2500)


HIGH_INTERFERENCE = 40.0
"""Interference at which one run makes an idle service violate its latency objective."""


def dispatcher(pairs=()):
    model = InterferenceModel()
    model.accept_estimates(ImageInterference(*pair, HIGH_INTERFERENCE) for pair in pairs)
    return Dispatcher(estimated_run_time, model)


def make_workers(pool, count=3):
    return [
        worker_capacity_of(
            f"w{n}",
            f"1@w{n}",
            f"m{n}",
            "s",
            "east",
            ["a", f"r{n}"],
            CAPACITY,
            pool.active_tasks(f"w{n}"),
        )
        for n in range(count)
    ]


def add(pool, name, queue, *steps, at_ms=0):
    pool.apply(accepted_event(name, queue, WorkflowSpec("p", steps), at_ms))


def place(pool, scheduler, now_ms=0, count=3):
    placed = scheduler.schedule(pool.ready(), make_workers(pool, count), now_ms)
    for decision in placed:
        task = decision.task
        pool.apply(
            RunAssigned(task.name, task.run + 1, decision.worker.worker_id, "1", "m", now_ms)
        )
    return placed


@pytest.mark.parametrize(
    ("lasting", "wait_ms", "worker_id"),
    [
        (True, LAST_RESORT_WAIT_MS - 1, "w1"),
        (True, LAST_RESORT_WAIT_MS, "w0"),
        (False, LAST_RESORT_WAIT_MS, "w1"),
    ],
)
def test_service_that_waits_returns_to_the_worker_where_it_failed(lasting, wait_ms, worker_id):
    """Guards against a service that is sent to a worker without end that refuses its starts."""
    pool = Pool()
    queue = attrs.evolve(WATCH, max_attempts=2)
    add(pool, "a", queue, StepSpec(1, 1000, 1000, lasting=lasting))
    pool.apply(RunAssigned("a/0/0/0", 1, "w0", "1", "m", 0))
    pool.apply(RunEnded("a/0/0/0", 1, RunOutcome.FAILED.value, 0))
    failed_here, refuses = make_workers(pool, 2)
    refuses.penalty = UNSTARTED_PENALTY
    (decision,) = dispatcher().schedule(pool.ready(), [failed_here, refuses], wait_ms)
    assert decision.worker.worker_id == worker_id


def test_checks_come_before_batch_work():
    """Guards against short checks that wait behind batch work."""
    pool = Pool()
    add(pool, "b", BATCH, StepSpec(3, 64_000, 1000, estimate_ms=5000))
    add(pool, "c", CHECKS, StepSpec(3, 1000, 1000, estimate_ms=1600), at_ms=10)
    placed = place(pool, dispatcher(), 10)
    assert [decision.task.workflow.workflow_id for decision in placed] == ["c"] * 3


def test_long_running_tasks_leave_capacity_for_checks():
    """Guards against services that use every processor, so that checks wait for minutes."""
    pool = Pool()
    add(pool, "w", WATCH, StepSpec(40, 10_000, 1000, lasting=True))
    place(pool, dispatcher())
    add(pool, "c", CHECKS, StepSpec(6, 1000, 1000))
    assert len(place(pool, dispatcher())) == 6


def test_started_workflow_precedes_one_that_has_not_started():
    """Guards against many workflows that are all started while none completes."""
    pool = Pool()
    add(pool, "b1", BATCH, StepSpec(4, 50_000, 1000, estimate_ms=5000), at_ms=5)
    place(pool, dispatcher(), 5)
    add(pool, "b0", BATCH, StepSpec(4, 50_000, 1000, estimate_ms=5000), at_ms=0)
    order = dispatcher().order(pool.ready(), 10)
    assert order[0].workflow.workflow_id == "b1"


def test_checks_start_before_services_take_the_reserve():
    """Guards against checks that wait for minutes after an outage of all workers.

    The services have waited for longer than `LAST_RESORT_WAIT_MS` and fill the fleet.
    """
    pool = Pool()
    for number in range(4):
        add(pool, f"w{number}", WATCH, StepSpec(8, 8000, 1000, lasting=True))
    add(pool, "c", CHECKS, StepSpec(12, 1000, 1000))
    started = place(pool, dispatcher(), 2 * LAST_RESORT_WAIT_MS)
    assert sum(not decision.task.spec.lasting for decision in started) == 12


def test_short_tasks_beyond_the_reserve_do_not_hold_up_services():
    """Guards against a service that waits while short tasks take all room that becomes free."""
    pool = Pool()
    add(pool, "b", BATCH, StepSpec(40, 8000, 1000))
    assert len(place(pool, dispatcher())) == 24
    add(pool, "w", WATCH, StepSpec(4, 8000, 1000, lasting=True))
    now_ms = 2 * LAST_RESORT_WAIT_MS
    for task in pool.active_tasks("w0")[:4]:
        pool.apply(RunEnded(task.name, task.run, RunOutcome.DONE.value, now_ms))
    started = place(pool, dispatcher(), now_ms)
    assert [decision.task.spec.lasting for decision in started] == [True] * 4


def test_flood_of_short_tasks_does_not_keep_services_from_free_capacity():
    """Guards against a service beyond its share that waits while checks use up all starts."""
    pool = Pool()
    add(pool, "v", WATCH, StepSpec(3, 58_000, 1000, lasting=True))
    place(pool, dispatcher(), LAST_RESORT_WAIT_MS)
    add(pool, "w", WATCH, StepSpec(1, 4000, 1000, lasting=True))
    add(pool, "c", CHECKS, StepSpec(100, 10, 10))
    started = place(pool, dispatcher(), 2 * LAST_RESORT_WAIT_MS)
    assert "w" in {decision.task.workflow.workflow_id for decision in started}


@pytest.mark.parametrize("seed", range(20))
def test_reserve_keeps_no_service_waiting_beside_room(seed):
    """Guards against a reserve that is idle while a service waits, and against a busy one.

    Fleets, services and checks are drawn; labels and spread limits are among the requirements.
    """
    rng = random.Random(seed)
    pool = Pool()
    for number in range(rng.randrange(4, 16)):
        step = StepSpec(
            rng.randrange(1, 8),
            rng.randrange(4000, 20_000),
            rng.randrange(1000, 50_000),
            lasting=True,
            max_per_worker=rng.choice((0, 1)),
            required_label=rng.choice(("", "", "r1")),
        )
        add(pool, f"w{number}", WATCH, step)
    for number in range(rng.randrange(12)):
        add(pool, f"c{number}", CHECKS, StepSpec(rng.randrange(1, 12), 1000, 1900))
    now_ms = rng.choice((0, LAST_RESORT_WAIT_MS))
    count = rng.randrange(3, 8)
    service_millis = 0
    # A round leaves tasks waiting that would exceed `MAX_PENDING_STARTS`.
    while started := place(pool, dispatcher(), now_ms, count):
        tasks = [decision.task for decision in started]
        service_millis += sum(task.spec.cpu_millis for task in tasks if task.spec.lasting)
    waiting = pool.ready()
    workers = make_workers(pool, count)
    if service_millis > (1 - SHORT_TASK_RESERVE) * count * CAPACITY.cpu_millis:
        assert now_ms >= LAST_RESORT_WAIT_MS
        assert all(task.spec.lasting for task in waiting)
    if now_ms >= LAST_RESORT_WAIT_MS:
        assert not [task for task in waiting if any(worker.admits(task) for worker in workers)]


@pytest.mark.parametrize("is_owner_new", [False, True])
@pytest.mark.parametrize("counts", [(4,), (1, 1, 1, 1), (2, 2)])
def test_no_service_is_the_last_after_each_outage(counts, is_owner_new):
    """Guards against a service that never runs while others restart after each outage."""
    pool = Pool()
    for number, count in enumerate(counts):
        step = StepSpec(count, 40_000, lasting=True)
        add(pool, f"a{number}", WATCH, step, at_ms=number)
    now_ms = 0
    left_out = []
    for _ in range(6):
        now_ms += LAST_RESORT_WAIT_MS
        place(pool, dispatcher(), now_ms, count=3)
        left_out += [task.name for task in pool.ready()]
        now_ms += 3000
        if is_owner_new:
            pool = Pool.from_snapshot(pool.to_snapshot())
        for worker_id in pool.workers_with_runs():
            for task in pool.active_tasks(worker_id):
                pool.apply(RunEnded(task.name, task.run, RunOutcome.LAPSED.value, now_ms))
    assert len(left_out) == 6
    assert all(earlier != later for earlier, later in itertools.pairwise(left_out))


@pytest.mark.parametrize(
    ("step", "allowed"),
    [
        (StepSpec(required_label="r1"), {"w1"}),
        (StepSpec(cpu_millis=65_000), set()),
        (StepSpec(memory_mb=260_000), set()),
        (StepSpec(accelerators=1), set()),
        (StepSpec(rack="r2"), {"w2"}),
    ],
)
def test_step_requirements_restrict_workers(step, allowed):
    """Guards against a start on a worker where the task may not or cannot run."""
    pool = Pool()
    add(pool, "a", CHECKS, step)
    assert {decision.worker.worker_id for decision in place(pool, dispatcher())} == allowed


@pytest.mark.parametrize(
    ("lasting", "wait_ms", "starts"),
    [
        (False, LAST_RESORT_WAIT_MS, 0),
        (True, LAST_RESORT_WAIT_MS - 1, 0),
        (True, LAST_RESORT_WAIT_MS, 1),
    ],
)
def test_excluded_worker_is_the_last_resort_of_a_service(lasting, wait_ms, starts):
    """Guards against a long-running task that waits beside room on excluded workers."""
    pool = Pool()
    add(pool, "a", WATCH, StepSpec(1, 1000, lasting=lasting))
    workers = make_workers(pool, 2)
    for worker in workers:
        worker.penalty = EXCLUSION_PENALTY
    assert len(dispatcher().schedule(pool.ready(), workers, wait_ms)) == starts


@pytest.mark.parametrize(
    ("step", "change", "reason"),
    [
        (StepSpec(cpu_millis=65_000), {}, "no room"),
        (StepSpec(required_label="r9"), {}, "label missing"),
        (StepSpec(max_per_worker=1), {"steps": {"a/0": 1}}, "spread limit"),
        (StepSpec(), {"service": "other"}, "another service"),
        (StepSpec(), {"penalty": EXCLUSION_PENALTY}, "excluded"),
        (StepSpec(), {"pending_starts": MAX_PENDING_STARTS}, "too many starts at once"),
        (StepSpec(), {}, "not chosen"),
    ],
)
def test_reason_of_a_wait_is_known(step, change, reason):
    """Guards against a task that waits while no log tells why."""
    pool = Pool()
    add(pool, "a", CHECKS, step)
    workers = make_workers(pool, 2)
    for worker in workers:
        for name, value in change.items():
            setattr(worker, name, value)
    assert dispatcher().wait_reasons(pool.ready()[0], workers, 0) == {reason: 2}


@pytest.mark.parametrize(
    ("names", "idle_ms", "limit", "reasons"),
    [
        ("abc", {}, 2, {"workers on trial": 1}),
        ("abc", dict.fromkeys(("w0", "w1", "w2"), 0), 3, {"waits for an idle worker": 3}),
        ("aaa", {}, 3, {"trials of the workflow": 1}),
        ("abcdefghi", {}, 9, {"trials of a round": 1}),
    ],
)
def test_limit_that_keeps_a_suspected_task_waiting_is_known(names, idle_ms, limit, reasons):
    """Guards against waits for trials that do not tell which limit binds."""
    pool = Pool()
    for name in sorted(set(names)):
        add(pool, name, CHECKS, StepSpec(names.count(name), 1000))
    suspects = pool.ready()
    for task in suspects:
        task.crashes = CrashRecord(1, True)
    passed_over = {}
    workers = make_workers(pool, len(names))
    dispatcher().schedule_trials(suspects, workers, idle_ms, [], limit, 0, passed_over)
    assert Counter(passed_over.values()) == reasons


def test_reserve_that_keeps_a_service_waiting_is_known():
    """Guards against a service that waits beside room while no log tells why."""
    pool = Pool()
    add(pool, "a", WATCH, StepSpec(10, 32_000, lasting=True))
    passed_over = {}
    dispatcher().schedule(pool.ready(), make_workers(pool, 3), 0, passed_over)
    assert "reserved for short tasks" in passed_over.values()


def test_excluded_worker_gets_no_runs():
    """Guards against runs assigned to a worker that fails all of them."""
    pool = Pool()
    add(pool, "a", CHECKS, StepSpec(4, 1000))
    workers = make_workers(pool, 2)
    workers[0].penalty = EXCLUSION_PENALTY
    placed = dispatcher().schedule(pool.ready(), workers, 0)
    assert {decision.worker.worker_id for decision in placed} == {"w1"}


def test_best_effort_tasks_avoid_services_they_interfere_with():
    """Guards against batch work that makes a colocated service violate its objective."""
    pool = Pool()
    add(pool, "w", WATCH, StepSpec(1, 10_000, 1000, lasting=True, image="p", target_ms=50))
    place(pool, dispatcher(), count=1)
    add(pool, "b", BATCH, StepSpec(2, 7000, 1000, fills=True, image="x"))
    scheduler = dispatcher([("x", "p")])
    assert {
        d.worker.worker_id for d in scheduler.schedule(pool.ready(), make_workers(pool, 2), 0)
    } == {"w1"}
    assert scheduler.schedule(pool.ready(), make_workers(pool, 1), 0) == []
    assert scheduler.schedule(pool.ready(), make_workers(pool, 1), ANY_WORKER_WAIT_MS + 1)


def test_worker_without_headroom_gets_no_further_best_effort_run():
    """Guards against further interfering runs beside a service that is close to its objective."""
    pool = Pool()
    add(pool, "b", BATCH, StepSpec(2, 7000, 1000, fills=True, image="x"))
    workers = make_workers(pool, 2)
    workers[0].lowest_headrooms["p"] = 1.1
    placed = dispatcher().schedule(pool.ready(), workers, ANY_WORKER_WAIT_MS + 1)
    assert {decision.worker.worker_id for decision in placed} == {"w1"}


def test_runs_started_in_one_round_do_not_violate_an_objective_together():
    """Guards against a violation by several runs of one round that are harmless one by one."""
    pool = Pool()
    add(pool, "b", BATCH, StepSpec(6, 7000, 1000, fills=True, image="x"))
    model = InterferenceModel()
    model.accept_estimates([ImageInterference("x", "p", 8.0)])
    (worker,) = make_workers(pool, 1)
    worker.lowest_headrooms["p"] = 3.0
    placed = Dispatcher(estimated_run_time, model).schedule(pool.ready(), [worker], 0)
    assert len(placed) == 2


def test_workers_are_compared_once_for_equal_tasks(monkeypatch):
    """Guards against short checks that wait while the owner compares workers for batch work.

    The load is that of a busy second on 55 workers: ten steps of 30 best-effort tasks each.
    """
    pool = Pool()
    for number in range(10):
        step = StepSpec(30, 3500, 1000, fills=True, image=f"x{number}")
        add(pool, f"b{number}", BATCH, step)
    scheduler = dispatcher()
    calls = []
    compute_throughput = scheduler._throughput
    monkeypatch.setattr(
        scheduler, "_throughput", lambda *args: calls.append(args) or compute_throughput(*args)
    )
    placed = scheduler.schedule(pool.ready(), make_workers(pool, 55), 0)
    assert len(placed) == 300
    # One evaluation per step and worker, and again after the worker got a run. Without the cache
    # there would be 33,000.
    assert len(calls) <= 2 * 10 * 55 + 300 * (10 + 1)


@pytest.mark.parametrize(
    ("lasting", "longest_ms"), [(False, ANY_WORKER_WAIT_MS), (True, LAST_RESORT_WAIT_MS)]
)
def test_best_effort_task_eventually_starts_on_any_worker(lasting, longest_ms):
    """Guards against starvation of batch work when all services are busy all day.

    A long-running task has to run again within 9 s.
    """
    pool = Pool()
    add(pool, "b", BATCH, StepSpec(1, 7000, 1000, fills=True, image="x", lasting=lasting))
    (worker,) = make_workers(pool, 1)
    worker.lowest_headrooms["p"] = 1.1
    scheduler = dispatcher([("x", "p")])
    assert scheduler.schedule(pool.ready(), [worker], longest_ms - 1) == []
    assert len(scheduler.schedule(pool.ready(), [worker], longest_ms)) == 1


def test_best_effort_task_goes_to_the_fastest_worker():
    """Guards against batch work at a low duty cycle beside a service without headroom."""
    pool = Pool()
    add(pool, "w", WATCH, StepSpec(2, 10_000, 1000, lasting=True, image="p", max_per_worker=1))
    place(pool, dispatcher(), count=2)
    add(pool, "b", BATCH, StepSpec(1, 7000, 1000, fills=True, image="x"))
    model = InterferenceModel()
    model.accept_estimates([ImageInterference("x", "p", 6.0)])
    workers = make_workers(pool, 2)
    for capacity, headroom in zip(workers, (1.5, 3.0), strict=True):
        capacity.latency_critical_runs["p"] = 1
        capacity.baseline_headrooms["p"] = headroom
    (placed,) = Dispatcher(estimated_run_time, model).schedule(pool.ready(), workers, 0)
    assert placed.worker.worker_id == "w1"


def test_halted_best_effort_runs_leave_their_processors_to_others():
    """Guards against batch work that waits for processors of runs with a duty cycle of 0."""
    pool = Pool()
    add(pool, "w", WATCH, StepSpec(1, 10_000, 1000, lasting=True, image="p", target_ms=50))
    place(pool, dispatcher(), count=1)
    add(pool, "b", BATCH, StepSpec(8, 7000, 1000, fills=True, image="x"))
    scheduler = dispatcher([("x", "p")])
    place(pool, scheduler, ANY_WORKER_WAIT_MS + 1, count=1)
    add(pool, "c", BATCH, StepSpec(4, 7000, 1000, fills=True, image="y"))
    scheduler.model.accept_estimates([ImageInterference("y", "p", 0.0)])
    assert len(place(pool, scheduler, 0, count=1)) == 4


def test_services_with_the_same_image_share_workers():
    """Guards against services that leave no worker to the batch work that interferes with them.

    The load is that of the first second of a day: nine services of five images arrive at once.
    """
    pool = Pool()
    rng = random.Random(3)
    for number in range(9):
        step = StepSpec(6, 13_000, 26_000, lasting=True, image=f"i{number % 5}", target_ms=50)
        add(pool, f"w{number}", WATCH, step, at_ms=rng.randrange(100))
    place(pool, dispatcher(), count=16)
    used = [worker for worker in make_workers(pool, 16) if worker.latency_critical_runs]
    assert sum(sum(worker.latency_critical_runs.values()) for worker in used) == 54
    assert len(used) <= 15
    assert sum(len(worker.latency_critical_runs) for worker in used) <= 1.7 * len(used)


def test_services_leave_workers_to_batch_work():
    """Guards against a service on every worker, where most batch work could not run.

    Services reserve two thirds of the processors.
    """
    pool = Pool()
    for number in range(8):
        step = StepSpec(6, 10_000, 26_000, lasting=True, image=f"i{number % 5}", target_ms=50)
        add(pool, f"w{number}", WATCH, step)
    place(pool, dispatcher(), count=11)
    free = [worker for worker in make_workers(pool, 11) if not worker.latency_critical_runs]
    assert len(free) >= 3


@pytest.mark.parametrize(("speed", "moved"), [(0.1, 1), (0.9, 0)])
def test_runs_slowed_down_by_services_are_moved(speed, moved):
    """Guards against a step delayed by its last task on the busiest worker."""
    pool = Pool()
    add(pool, "w", WATCH, StepSpec(1, 10_000, 1000, lasting=True, image="p", target_ms=50))
    place(pool, dispatcher(), count=1)
    add(pool, "b", BATCH, StepSpec(1, 7000, 1000, fills=True, image="x"))
    place(pool, dispatcher(), count=1)
    best_effort = [(task, speed) for task in pool.active_tasks("w0") if task.spec.fills]
    scheduler = dispatcher([("x", "p")])
    assert len(scheduler.select_moves(best_effort, make_workers(pool, 2))) == moved
    # Without another worker, no run is moved.
    assert scheduler.select_moves(best_effort, make_workers(pool, 1)) == []


def naive(waiting, workers):
    """Place tasks in order of arrival on the first worker with enough capacity."""
    placed = []
    for task in waiting:
        worker = next((worker for worker in workers if worker.admits(task)), None)
        if worker is not None:
            worker.reserve(task)
            placed.append((task, worker.worker_id))
    return placed


@attrs.define
class Replay:
    """Simulation of a busy minute: steady arrivals of checks and a burst of batch work."""

    seed: int = 1
    seconds: int = 60
    step_ms: int = 100

    def arrivals(self):
        rng = random.Random(self.seed)
        rows = []
        for number in range(self.seconds * 3):
            at = rng.randrange(self.seconds * 1000)
            count = min(36, max(1, int(rng.expovariate(1 / 6))))
            rows.append((at, f"c{number}", CHECKS, StepSpec(count, 960, 1900, estimate_ms=1600)))
        for number in range(30):
            at = 5000 + rng.randrange(4000)
            step = StepSpec(8, 7000, 13_000, estimate_ms=5400)
            rows.append((at, f"b{number}", BATCH, step))
        return sorted(rows, key=lambda row: (row[0], row[1]))

    def run(self, schedule):
        """Return the durations of workflows in milliseconds, by queue."""
        pool = Pool()
        waiting = self.arrivals()
        ends, durations = {}, {"checks": [], "batch": []}
        rng = random.Random(self.seed + 1)
        for now in range(0, self.seconds * 3000, self.step_ms):
            while waiting and waiting[0][0] <= now:
                at, name, queue, step = waiting.pop(0)
                add(pool, name, queue, step, at_ms=at)
            for task_name in [name for name, end in ends.items() if end <= now]:
                del ends[task_name]
                task = pool.task(task_name)
                pool.apply(RunEnded(task_name, task.run, RunOutcome.DONE.value, now))
                if task.workflow.is_ended:
                    durations[task.workflow.queue.name].append(now - task.workflow.accepted_ms)
            for task, worker_id in schedule(pool, make_workers(pool, 4), now):
                pool.apply(RunAssigned(task.name, task.run + 1, worker_id, "1", "m", now))
                ends[task.name] = now + int(task.spec.estimate_ms * rng.uniform(0.7, 1.3))
        return durations


def test_checks_stay_fast_during_a_burst_of_batch_work():
    """Guards against short checks that wait behind a burst of batch work.

    The load is that of a day with a burst of reconciliations: 240 tasks of 7 cores at once on 4
    workers of 64 cores, and 3 checks per second.
    """
    scheduler = dispatcher()

    def schedule_by_dispatcher(pool, workers, now):
        placed = scheduler.schedule(pool.ready(), workers, now)
        return [(decision.task, decision.worker.worker_id) for decision in placed]

    scheduled = Replay().run(schedule_by_dispatcher)
    baseline = Replay().run(lambda pool, workers, now: naive(pool.ready(), workers))
    late = {
        name: sum(ms > 1600 * 1.5 + 300 for ms in result["checks"]) / len(result["checks"])
        for name, result in (("ours", scheduled), ("naive", baseline))
    }
    assert late["ours"] < late["naive"] / 2
    assert len(scheduled["batch"]) == len(baseline["batch"]) == 30
    assert max(scheduled["batch"]) < 1.2 * max(baseline["batch"])


def test_critical_path_counts_remaining_steps():
    """Guards against a workflow near its end that is ordered as if it had just started."""
    pool = Pool()
    steps = (StepSpec(1, estimate_ms=3000), StepSpec(1, estimate_ms=2000, after=(0,)))
    add(pool, "a", BATCH, *steps)
    scheduler = dispatcher()
    workflow = pool.workflows["a"]
    assert scheduler.critical_path(workflow, include_done=True) == timedelta(seconds=5)
    place(pool, scheduler)
    pool.apply(RunEnded("a/0/0/0", 1, RunOutcome.DONE.value, 10))
    assert scheduler.critical_path(workflow, include_done=False) == timedelta(seconds=2)


def test_task_is_not_given_up_for_one_bad_machine_beside_workers_that_lose_starts():
    """Guards against an innocent task given up after crashes on a single VM."""
    pool, health = Pool(), WorkerHealth()
    pool.apply(accepted_event("a", CHECKS, WorkflowSpec("p", (StepSpec(1, 1000, 1000),)), 0))
    task = pool.task("a/0/0/0")
    scheduler = dispatcher()
    others = [f"w{number}" for number in (1, 2)]
    for worker_id in others:
        health.record_unstarted(worker_id, timedelta())
    # Each crash of the worker on m0 is followed by a new worker there.
    crashes, now_ms = 0, 0

    def run(worker_id, machine):
        nonlocal crashes, now_ms
        number = task.run + 1
        pool.apply(RunAssigned(task.name, number, worker_id, "1", machine, now_ms))
        crashed = machine == "m0"
        now_ms += 300 if crashed else 1600
        outcome = RunOutcome.LOST if crashed else RunOutcome.UNSTARTED
        if crashed:
            crashes += 1
        else:
            health.record_unstarted(worker_id, timedelta(milliseconds=now_ms))
        pool.apply(RunEnded(task.name, number, outcome.value, now_ms))

    run("w0-0", "m0")
    while now_ms < 30_000 and not task.workflow.is_ended:
        now_ms += 200
        workers = [
            worker_capacity_of(
                worker_id,
                "1",
                machine,
                CHECKS.service,
                "east",
                [],
                CAPACITY,
                [],
            )
            for worker_id, machine in [(f"w0-{crashes}", "m0"), ("w1", "m1"), ("w2", "m2")]
        ]
        for worker in workers:
            worker.penalty = health.penalty(worker.worker_id, timedelta(milliseconds=now_ms))
        suspects = tasks_to_try(pool.ready(), pool.crashed_tasks(), now_ms)
        if suspects:
            decisions, _ = scheduler.schedule_trials(suspects, workers, {}, [], 2, now_ms)
        else:
            decisions = scheduler.schedule(pool.ready(), workers, now_ms)
        for decision in decisions:
            run(decision.worker.worker_id, decision.worker.machine)
    assert not task.workflow.is_ended, f"given up after {crashes} crashes on one VM"

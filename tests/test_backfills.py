"""Reservations for large tasks: replayed load, compared with scheduling without them."""

import random
import time
from datetime import timedelta

import attrs
import pytest
from mulberryslip.capacities import worker_capacity_of
from mulberryslip.dispatches import Reservations, estimated_run_time
from mulberryslip.models import Resources
from mulberryslip.run_times import RunTimes
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Pool, RunAssigned, RunEnded, RunOutcome
from pool_doubles import PoolWorld
from test_dispatches import BATCH, CHECKS, add, dispatcher

CORE = 1000
MS = timedelta(milliseconds=1)
CAPACITY = Resources(16 * CORE, 64_000)
SMALL = StepSpec(10, 2 * CORE, 500, estimate_ms=1600, image="small")
LARGE = StepSpec(1, 10 * CORE, 4000, estimate_ms=1600, image="large")
SMALL_FILLS = StepSpec(10, 10, 8000, estimate_ms=2800, image="small", fills=True)
LARGE_FILLS = StepSpec(1, 10, 40_000, estimate_ms=2800, image="large", fills=True)

MAX_SERVICE_WAIT_S = 5
"""The start deadline of 4 s, and a second for the report and the start command."""

SMALL_SHARE, LARGE_SHARE = 0.95, 0.05
"""Work that arrives, as shares of the fleet. More of large tasks would by itself take up what the
target allows the small ones to lose."""


def workers_of(pool, ids):
    return [
        worker_capacity_of(w, "1", w, "s", "e", [], CAPACITY, pool.active_tasks(w)) for w in ids
    ]


@attrs.define
class Replay:
    """Steady stream of small tasks that fill the fleet, and large tasks that fit into no gap.

    :param factor: run time relative to the caller's estimate.
    :param tail_share: share of the runs that take seven times as long.
    :param outage_s: when half of the workers are gone.
    """

    small: StepSpec = SMALL
    large: StepSpec = LARGE
    queue: object = CHECKS
    factor: float = 1.0
    tail_share: float = 0.0
    outage_s: range = range(0)
    workers: int = 8
    seconds: int = 60
    step_ms: int = 100
    max_held: int = 0

    def arrivals(self):
        rows = []
        streams = (("small", self.small, SMALL_SHARE), ("large", self.large, LARGE_SHARE))
        for name, step, share in streams:
            amounts = zip(step.demand.amounts(), CAPACITY.amounts(), strict=True)
            part = max(needed / total for needed, total in amounts if total) * step.count
            work_ms = part * step.estimate_ms * self.factor * (1 + 6 * self.tail_share)
            gap_ms = work_ms / (self.workers * share)
            count = int(self.seconds * 1000 / gap_ms)
            rows += [(int(n * gap_ms), f"{name}{n}", step) for n in range(1, count)]
        return sorted(rows, key=lambda row: row[:2])

    def run(self, reserves):
        """Return the mean wait of large tasks in seconds, and the number of small ones done."""
        pool, scheduler, rng = Pool(), dispatcher(), random.Random(1)
        scheduler.set_wide(True, timedelta())
        arrivals, ends, assigned, waits, done = self.arrivals(), {}, {}, {}, 0
        for now in range(0, self.seconds * 1000, self.step_ms):
            while arrivals and arrivals[0][0] <= now:
                at, name, step = arrivals.pop(0)
                add(pool, name, self.queue, step, at_ms=at)
                if name.startswith("large"):
                    waits[name] = self.seconds * 1000 - at
            count = self.workers // 2 if now // 1000 in self.outage_s else self.workers
            up = {f"w{n}" for n in range(count)}
            for name in [name for name in ends if ends[name] <= now]:
                del ends[name]
                task = pool.task(name)
                scheduler.observe_end(task, (now - assigned[name]) * MS)
                pool.apply(RunEnded(name, task.run, RunOutcome.DONE.value, now))
                done += name.startswith("small")
            for worker_id in set(pool.workers_with_runs()) - up:
                for task in pool.active_tasks(worker_id):
                    del ends[task.name]
                    pool.apply(RunEnded(task.name, task.run, RunOutcome.LAPSED.value, now))
            workers, waiting = workers_of(pool, sorted(up)), pool.ready()

            def active_runs(worker_id, now=now):
                return [(task, now - assigned[task.name]) for task in pool.active_tasks(worker_id)]

            if reserves:
                scheduler.reserve_capacity(waiting, workers, active_runs, Reservations(), now)
                self.max_held = max(self.max_held, sum(w.hold is not None for w in workers))
            for decision in scheduler.schedule(waiting, workers, now):
                task = decision.task
                worker_id, workflow = decision.worker.worker_id, task.workflow
                pool.apply(RunAssigned(task.name, task.run + 1, worker_id, "1", "m", now))
                if workflow.workflow_id in waits:
                    waits[workflow.workflow_id] = now - workflow.accepted_ms
                slowdown = 7 if rng.random() < self.tail_share else rng.uniform(0.9, 1.1)
                assigned[task.name] = now
                ends[task.name] = now + int(task.spec.estimate_ms * self.factor * slowdown)
        return sum(waits.values()) / len(waits) / 1000, done


FILLS = {"small": SMALL_FILLS, "large": LARGE_FILLS, "queue": BATCH}
OUTAGE = {"outage_s": range(12, 18)}


@pytest.mark.parametrize("kind", [{}, FILLS], ids=["checks", "best-effort"])
@pytest.mark.parametrize(
    "options", [{}, {"factor": 0.5}, {"factor": 2.0}, {"tail_share": 0.03}, OUTAGE]
)
def test_large_tasks_wait_half_as_long(kind, options):
    """Guards against small tasks that fill every gap, so that a large one waits without end."""
    wait_before, done_before = Replay(**kind, **options).run(False)
    replay = Replay(**kind, **options)
    wait, done = replay.run(True)
    print(f"{wait_before:.2f} s -> {wait:.2f} s, {done_before} -> {done}, {replay.max_held} held")
    assert replay.max_held == 1
    assert wait <= wait_before / 2
    assert done >= 0.9 * done_before


HOLDER = attrs.evolve(LARGE, cpu_millis=12 * CORE)
LONG_MS = 60_000
ROUNDS_PER_SECOND = 5


def make_round(waiting, count=4, running=12, running_spec=SMALL):
    """Return a scheduler, a pool and its worker ids; each worker runs tasks of one core."""
    pool, scheduler = Pool(), dispatcher()
    scheduler.set_wide(True, timedelta())
    add(pool, "run", CHECKS, attrs.evolve(running_spec, count=count * running, cpu_millis=CORE))
    for number, task in enumerate(pool.ready()):
        pool.apply(RunAssigned(task.name, 1, f"w{number % count}", "1", "m", 0))
    for number, spec in enumerate(waiting):
        add(pool, f"waiting{number}", BATCH if spec.fills else CHECKS, spec)
    return scheduler, pool, [f"w{n}" for n in range(count)]


def plan(state, now_ms, reservations=None, gone=(), age_ms=0, is_wide=True):
    """Return the changes of a round, and the holds by worker."""
    scheduler, pool, ids = state
    scheduler.set_wide(is_wide, timedelta())
    workers = workers_of(pool, [w for w in ids if w not in gone])
    changes = scheduler.reserve_capacity(
        [task for task in pool.ready() if not task.spec.lasting],
        workers,
        lambda worker_id: [(task, age_ms) for task in pool.active_tasks(worker_id)],
        reservations or Reservations(),
        now_ms,
    )
    holds = {worker.worker_id: worker.hold for worker in workers if worker.hold}
    return [(change.outcome, change.reservation.worker_id) for change in changes], holds


@pytest.mark.parametrize(
    ("now_ms", "kwargs", "expected"),
    [
        (999, {}, []),
        (1000, {}, [("reserved", "w0")]),
        (1000, {"reservations": Reservations({"w0"})}, [("reserved", "w1")]),
        (1000, {"reservations": Reservations(set(), {"w0"})}, [("reserved", "w1")]),
        (1000, {"gone": ["w0"]}, []),
        (1000, {"age_ms": 3200}, [("reserved", "w0")]),
        (1000, {"age_ms": 3201}, []),
        (1000, {"is_wide": False}, []),
    ],
    ids=["early", "waited", "service", "trial", "3 workers", "overrun", "long overrun", "narrow"],
)
def test_worker_is_reserved(now_ms, kwargs, expected):
    """Guards against reservations that take a service's worker or too large a part of the fleet."""
    assert plan(make_round([HOLDER, HOLDER]), now_ms, **kwargs)[0] == expected


@pytest.mark.parametrize(
    ("spec", "kwargs"),
    [
        (attrs.evolve(HOLDER, lasting=True), {}),
        (attrs.evolve(HOLDER, cpu_millis=4 * CORE), {}),
        (attrs.evolve(HOLDER, cpu_millis=17 * CORE), {}),
        (attrs.evolve(HOLDER, required_label="none"), {}),
        (HOLDER, {"running_spec": attrs.evolve(SMALL, estimate_ms=LONG_MS)}),
        (HOLDER, {"running_spec": attrs.evolve(SMALL, lasting=True)}),
        (attrs.evolve(SMALL, cpu_millis=CORE // 2), {"running": 16}),
    ],
    ids=["service", "fits", "too large", "label", "long runs", "services", "small"],
)
def test_nothing_is_reserved(spec, kwargs):
    """Guards against capacity withheld for tasks that cannot use it, or need no reservation."""
    assert plan(make_round([spec], **kwargs), 1000) == ([], {})


@pytest.mark.parametrize(
    ("holder", "other", "admitted"),
    [
        (HOLDER, attrs.evolve(SMALL, estimate_ms=800, cpu_millis=5 * CORE), True),
        (HOLDER, attrs.evolve(SMALL, estimate_ms=801, cpu_millis=5 * CORE), False),
        (HOLDER, attrs.evolve(SMALL, estimate_ms=LONG_MS, cpu_millis=4 * CORE), True),
        (HOLDER, attrs.evolve(SMALL, estimate_ms=LONG_MS, cpu_millis=4 * CORE + 1), False),
        (HOLDER, attrs.evolve(SMALL, lasting=True, cpu_millis=4 * CORE + 1), True),
        (LARGE_FILLS, attrs.evolve(SMALL, estimate_ms=LONG_MS, memory_mb=30_000), True),
        (LARGE_FILLS, attrs.evolve(SMALL_FILLS, estimate_ms=LONG_MS, memory_mb=30_000), False),
    ],
    ids=["ends", "late", "beside", "not beside", "service", "check before best-effort", "memory"],
)
def test_others_start_beside_a_reservation(holder, other, admitted):
    """Guards against a reserved task that others delay, and against services and checks kept."""
    memory_mb = 2500 if holder.fills else 500
    running = attrs.evolve(SMALL, memory_mb=memory_mb)
    state = make_round([holder], running_spec=running)
    _, holds = plan(state, 1000)
    add(state[1], "other", CHECKS, attrs.evolve(other, count=1), at_ms=1000)
    (task,) = (task for task in state[1].ready() if task.workflow.workflow_id == "other")
    assert holds["w0"].admits(task) is admitted
    if admitted and other.estimate_ms == LONG_MS and not other.lasting and not holder.fills:
        holds["w0"].record(task)
        assert not holds["w0"].admits(task)  # The room beside the reserved task is used up.


@pytest.mark.parametrize(
    ("age_ms", "gone", "now_ms", "expected"),
    [
        (1500, (), 1100, []),
        (3000, (), 1000 + 3199, []),
        (3000, (), 1000 + 3200, [("overdue", "w0")]),
        (3201, (), 2000, [("overdue", "w0")]),
        (100, ("w0",), 1100, [("worker unavailable", "w0")]),
    ],
    ids=["kept", "run overruns", "twice the time", "runs not awaited", "worker lost"],
)
def test_reservation_ends(age_ms, gone, now_ms, expected):
    """Guards against capacity that is withheld for good, since a run lasts or a worker is lost."""
    state = make_round([HOLDER])
    assert plan(state, 1000)[0] == [("reserved", "w0")]
    changes, holds = plan(state, now_ms, gone=gone, age_ms=age_ms)
    assert changes[:1] == expected
    if expected and expected[0][0] == "overdue":
        assert not holds
        assert plan(state, now_ms + 1999, age_ms=0)[0] == []
        assert plan(state, now_ms + 2250, age_ms=0)[0] == [("reserved", "w0")]


@pytest.mark.parametrize(
    ("ratios", "expected", "upper"),
    [
        ([], 1.0, 2.0),
        ([0.5] * 4, 1.0, 2.0),
        ([0.5] * 5, 0.5, 0.5),
        ([2.0] * 20, 2.0, 2.0),
        ([1.0] * 10 + [7.0], 1.3, 1.6),
    ],
)
def test_estimates_are_corrected(ratios, expected, upper):
    """Guards against estimates off by a factor of two, and one straggler that doubles them."""
    pool = Pool()
    add(pool, "a", CHECKS, SMALL)
    task, times = pool.ready()[0], RunTimes(estimated_run_time)
    for ratio in ratios:
        times.observe(task, ratio * estimated_run_time(task))
    assert times.expected(task) / estimated_run_time(task) == pytest.approx(expected)
    assert times.upper(task) / estimated_run_time(task) == pytest.approx(upper)


def test_corrections_are_bounded():
    """Guards against memory that grows with each image."""
    times = RunTimes(estimated_run_time, max_kinds=2)
    pool = Pool()
    for image in "abc":
        add(pool, image, CHECKS, attrs.evolve(SMALL, count=1, image=image))
    for task in pool.ready() * 9:
        times.observe(task, 2 * estimated_run_time(task))
    known = [times.expected(task) > estimated_run_time(task) for task in pool.ready()]
    assert sum(known) <= 2


def make_world():
    """Return a pool with wide steps whose workers are kept full by a stream of small checks."""
    world = PoolWorld(
        workers=4, wide_step_tasks=8, run_ms=lambda name: LONG_MS if name < "b" else 1600
    )
    world.elect()
    world.run(3)
    world.submit("active", attrs.evolve(SMALL_FILLS, count=20, memory_mb=10, estimate_ms=LONG_MS))
    return world


def run_checks(world, rounds, first, awaited="large/0/0/0"):
    """Run rounds with a stream of checks; return the first in which a task runs, or None."""
    for number in range(first, first + rounds):
        check = StepSpec(4, CORE, 100, estimate_ms=1600, image="small")
        world.submit(f"check{number}", check)
        world.round()
        if any(awaited in worker.runs for worker in world.workers):
            return number
    return None


def reservations_of(world):
    return world.owner()._scheduler._dispatcher.backfills._reservations


def run_until_reserved(world, turn):
    while not reservations_of(world):
        assert turn < 40 and run_checks(world, 1, turn) is None
        turn += 1
    return turn


def test_new_owner_reserves_anew():
    """Guards against a wait that begins again, or a stale reservation, after the owner changed."""
    world = make_world()
    assert run_checks(world, 20, 0) is None
    world.submit("large", StepSpec(1, 7 * CORE, 100, estimate_ms=1600, image="large"))
    turn = run_until_reserved(world, 20)
    old = world.owner()
    old.resign("no longer owner")
    world.elect(world.workers[1])
    assert world.owner() is not old and not reservations_of(world)
    assert run_checks(world, 40, turn) is not None
    assert not world.history.violations


def test_service_precedes_reservations():
    """Guards against a service that waits beyond its deadline while large checks hold workers."""
    world = make_world()
    for number in range(4):
        world.submit(f"large{number}", StepSpec(4, 8 * CORE, 100, estimate_ms=1600, image="large"))
    turn = run_until_reserved(world, 0)
    world.submit("service", StepSpec(1, 6 * CORE, 100, lasting=True))
    rounds = MAX_SERVICE_WAIT_S * ROUNDS_PER_SECOND
    assert run_checks(world, rounds, turn, "service/0/0/0") is not None


def test_round_takes_little_more_processor_time():
    """Guards against a comparison of all tasks with all workers in each round.

    74 workers, 2,000 waiting tasks. The least of many rounds counts, as others use the machine.
    """
    scheduler, pool, ids = make_round([attrs.evolve(HOLDER, count=5)] * 8, 74)
    for number in range(196):
        add(pool, f"more{number}", CHECKS, SMALL, at_ms=number)
    idle = workers_of(pool, ids)
    waiting = pool.ready()
    assert len(waiting) == 2000

    def round_time(reserves):
        workers = [worker.copy() for worker in idle]
        scheduler.backfills.clear()
        began = time.process_time()
        if reserves:
            scheduler.reserve_capacity(
                waiting,
                workers,
                lambda worker_id: [(task, 0) for task in pool.active_tasks(worker_id)],
                Reservations(),
                1000,
            )
            assert scheduler.backfills.count == 8
        scheduler.schedule(waiting, workers, 1000)
        return time.process_time() - began

    pairs = [(round_time(False), round_time(True)) for _ in range(40)]
    before, after = (min(column) for column in zip(*pairs, strict=True))
    print(f"{before * 1000:.1f} ms -> {after * 1000:.1f} ms")
    assert after <= 1.1 * before

"""Reservations for large tasks: replayed load, compared with scheduling without them."""

import random
from datetime import timedelta

import attrs
import pytest
from mulberryslip.capacities import worker_capacity_of
from mulberryslip.dispatches import Reservations
from mulberryslip.models import Resources
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Pool, RunAssigned, RunEnded, RunOutcome
from test_dispatches import BATCH, CHECKS, add, dispatcher

CORE = 1000
CAPACITY = Resources(16 * CORE, 64_000)
SMALL = StepSpec(10, 2 * CORE, 500, estimate_ms=1600, image="small")
LARGE = StepSpec(1, 10 * CORE, 4000, estimate_ms=1600, image="large")
SMALL_FILLS = StepSpec(10, 10, 8000, estimate_ms=2800, image="small", fills=True)
LARGE_FILLS = StepSpec(1, 10, 40_000, estimate_ms=2800, image="large", fills=True)

SMALL_SHARE, LARGE_SHARE = 0.95, 0.05
"""Work that arrives, as shares of the fleet. More of large tasks would by itself take up what the
target allows the small ones to lose."""


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
        for name, step, share in (
            ("small", self.small, SMALL_SHARE),
            ("large", self.large, LARGE_SHARE),
        ):
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
                scheduler.observe_end(task, (now - assigned[name]) * timedelta(milliseconds=1))
                pool.apply(RunEnded(name, task.run, RunOutcome.DONE.value, now))
                done += name.startswith("small")
            for worker_id in set(pool.workers_with_runs()) - up:
                for task in pool.active_tasks(worker_id):
                    del ends[task.name]
                    pool.apply(RunEnded(task.name, task.run, RunOutcome.LAPSED.value, now))
            workers = [
                worker_capacity_of(w, "1", w, "s", "e", [], CAPACITY, pool.active_tasks(w))
                for w in sorted(up)
            ]

            def active_runs(worker_id, now=now):
                return [
                    (task, (now - assigned[task.name]) * timedelta(milliseconds=1))
                    for task in pool.active_tasks(worker_id)
                ]

            waiting = pool.ready()
            if reserves:
                scheduler.reserve_capacity(waiting, workers, active_runs, Reservations(), now)
                self.max_held = max(self.max_held, sum(w.hold is not None for w in workers))
            for decision in scheduler.schedule(waiting, workers, now):
                task = decision.task
                pool.apply(
                    RunAssigned(task.name, task.run + 1, decision.worker.worker_id, "1", "m", now)
                )
                workflow = task.workflow
                if workflow.workflow_id in waits:
                    waits[workflow.workflow_id] = now - workflow.accepted_ms
                slowdown = 7 if rng.random() < self.tail_share else rng.uniform(0.9, 1.1)
                assigned[task.name] = now
                ends[task.name] = now + int(task.spec.estimate_ms * self.factor * slowdown)
        return sum(waits.values()) / len(waits) / 1000, done


FILLS = {"small": SMALL_FILLS, "large": LARGE_FILLS, "queue": BATCH}


@pytest.mark.parametrize(
    "options",
    [
        {},
        {"factor": 0.5},
        {"factor": 2.0},
        {"tail_share": 0.03},
        {"outage_s": range(12, 18)},
        FILLS,
        FILLS | {"factor": 0.5},
        FILLS | {"factor": 2.0},
        FILLS | {"tail_share": 0.03},
        FILLS | {"outage_s": range(12, 18)},
    ],
)
def test_large_tasks_wait_half_as_long(options):
    """Guards against small tasks that fill every gap, so that a large one waits without end."""
    wait_before, done_before = Replay(**options).run(False)
    replay = Replay(**options)
    wait, done = replay.run(True)
    print(f"{wait_before:.2f} s -> {wait:.2f} s, {done_before} -> {done}, {replay.max_held} held")
    assert replay.max_held == 1
    assert wait <= wait_before / 2
    assert done >= 0.9 * done_before

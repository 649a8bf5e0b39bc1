"""Packing of services: replays of two loads, against the rule without packing."""

import random
import statistics
import time

import attrs
import pytest
from mulberryslip.capacities import worker_capacity_of
from mulberryslip.dispatches import (
    FAILED_HERE_PENALTY,
    PACKING_WEIGHT,
    SERVICE_PACKING_WEIGHT,
    Dispatcher,
    estimated_run_time,
)
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.health import UNSTARTED_PENALTY
from mulberryslip.models import Resources
from mulberryslip.queues import Queue
from mulberryslip.service_packing import HARMLESS_SHARE, MAX_COST, placement_cost
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.workflows import (
    Phase,
    Pool,
    RunAssigned,
    RunEnded,
    RunOutcome,
    WorkflowCancelled,
    accepted_event,
)

WATCH = Queue("watch", service="s", priority=0, stretch_permille=2200, slack_ms=2500)
STEADY, UNEVEN = (0.85, 1.0, 1.15), (0.4, 0.7, 1.0, 1.4, 1.9)
ROUND_MS, ARRIVAL_MS = 200, 20_000


@attrs.frozen
class Load:
    """Workers, the processors that services reserve, the size of a task, and factors of it."""

    fleet: dict[Resources, int]
    reserved_millis: int
    size: Resources
    factors: tuple[float, ...] = STEADY


FIRST = Load(
    {Resources(64_000, 250_000): 36, Resources(96_000, 375_000): 18},
    2_860_000,
    Resources(13_000, 26_000),
)
SECOND = Load(
    {Resources(16_000, 62_000): 49, Resources(24_000, 94_000): 25},
    1_105_000,
    Resources(3300, 6600),
)
LOADS = {
    "first": FIRST,
    "second": SECOND,
    "first, uneven": attrs.evolve(FIRST, factors=UNEVEN),
    "second, uneven": attrs.evolve(SECOND, factors=UNEVEN),
}


class Replay:
    """Services arrive, end and lose all workers; `figures` has the means by phase."""

    def __init__(self, load, seed, packs):
        self.load, self.rng, self.pool = load, random.Random(seed), Pool()
        self.dispatcher = Dispatcher(estimated_run_time, InterferenceModel(), packs)
        self.capacities = [size for size, count in load.fleet.items() for _ in range(count)]
        self.rng.shuffle(self.capacities)
        self.now_ms, self.waits, self.figures = 0, {}, {}

    def workers(self):
        return [
            worker_capacity_of(
                f"w{n}", "1", f"m{n}", "s", "east", [], size, self.pool.active_tasks(f"w{n}")
            )
            for n, size in enumerate(self.capacities)
        ]

    def live(self):
        return [workflow for workflow in self.pool.workflows.values() if not workflow.is_ended]

    def reserved_millis(self):
        return sum(task.spec.cpu_millis for workflow in self.live() for task in workflow.tasks())

    def arrive(self):
        factor = self.rng.choice(self.load.factors)
        step = StepSpec(
            round(self.rng.triangular(8, 28, 8)),
            int(self.load.size.cpu_millis * factor),
            int(self.load.size.memory_mb * factor),
            lasting=True,
            target_ms=50,
            image=f"i{self.rng.randrange(10)}",
            max_per_worker=self.rng.choice((0, 0, 1, 2)),
        )
        name = f"s{len(self.pool.workflows):04d}"
        self.pool.apply(accepted_event(name, WATCH, WorkflowSpec("p", (step,)), self.now_ms))

    def cancel_one(self):
        workflow = self.rng.choice(self.live())
        tasks = list(workflow.tasks())
        self.pool.apply(WorkflowCancelled(workflow.workflow_id, self.now_ms))
        self.end(tasks, RunOutcome.STOPPED)

    def end(self, tasks, outcome):
        for task in tasks:
            if task.phase is Phase.HELD:
                self.pool.apply(RunEnded(task.name, task.run, outcome.value, self.now_ms))

    def play_rounds(self, phase, count):
        for _ in range(count):
            self.now_ms += ROUND_MS
            if ready := self.pool.ready():
                for item in self.dispatcher.schedule(ready, self.workers(), self.now_ms):
                    task, worker = item.task, item.worker
                    waits = self.waits.setdefault(phase, [])
                    waits.append(self.now_ms - task.waiting_since_ms)
                    run = RunAssigned(task.name, task.run + 1, worker.worker_id, "1", "m", 0)
                    self.pool.apply(run)
        images = [(len(w.latency_critical_runs), w.free.cpu_millis) for w in self.workers()]
        row = (
            sum(not count for count, _ in images),
            statistics.mean(count for count, _ in images if count),
            sum(millis * HARMLESS_SHARE**count for count, millis in images) / 1000,
        )
        self.figures.setdefault(phase, []).append(row)

    def run(self, arrivals=20):
        while self.reserved_millis() < self.load.reserved_millis - 8 * self.load.size.cpu_millis:
            self.arrive()
            self.play_rounds("filling", 1)
        self.play_rounds("filled", 20)
        for _ in range(arrivals):
            self.now_ms += ARRIVAL_MS - 20 * ROUND_MS
            while self.reserved_millis() > self.load.reserved_millis:
                self.cancel_one()
            self.arrive()
            self.play_rounds("later", 20)
        self.end([task for workflow in self.live() for task in workflow.tasks()], RunOutcome.LAPSED)
        self.play_rounds("restored", 20)
        self.waits = {
            phase: (sum(waits) / 1000, sum(wait > 1200 for wait in waits))
            for phase, waits in self.waits.items()
        }
        self.waits["left"] = len(self.pool.ready())
        del self.figures["filling"]
        self.figures = {
            phase: tuple(map(statistics.mean, zip(*rows, strict=True)))
            for phase, rows in self.figures.items()
        }
        return self

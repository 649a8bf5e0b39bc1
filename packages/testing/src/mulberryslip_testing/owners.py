"""Measures what a report and a run cost the owner of a pool, by the number of workers.

Run with `python -m mulberryslip_testing.owners`. The owner's code runs with simulated workers on a
manual clock, without a network. The load per worker is the same at all sizes: short checks, steps
of best-effort tasks and latency-critical services that fill half of the processors.
"""

import contextlib
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta

import attrs
from mulberryslip import ManualClock
from mulberryslip.dispatches import Dispatcher, estimated_run_time
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.metrics import Metrics
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire import ttypes as wire
from mulberryslipd.agents import COLOCATED_REPORT_INTERVAL, REPORT_INTERVAL
from mulberryslipd.directories import PoolOwnerDirectory
from mulberryslipd.ownerships import PoolLeaseTimes
from mulberryslipd.pools import PoolOwner
from mulberryslipd.sessions import Session
from mulberryslipd.terms import OwnerIdentity
from tabulate import tabulate

from .fakes import FakeStore

FLEET_SIZES = (11, 70, 160, 300)
SIMULATED_TIME = timedelta(seconds=12)
ROUND = timedelta(milliseconds=50)
LEASE = timedelta(seconds=3)
QUEUE = Queue("work", prefix="/batches/", service="ledger", max_attempts=3, slack_ms=500)
CAPACITY = wire.Resources(64_000, 256_000, 0, 8)
CHECK_MS = 1600
BATCH_MS = 4400
CHECKS_PER_WORKER_S = 0.043
BATCHES_PER_WORKER_S = 0.0106
SERVICES_PER_WORKER = 0.1
SERVICE_IMAGES = 16
BATCH_IMAGES = 30
_MS = timedelta(milliseconds=1)


class _StepClock(ManualClock):
    """Clock on which a wait runs a decision round, if one is allowed, instead of passing time."""

    def __init__(self) -> None:
        super().__init__()
        self.run_round: Callable[[], None] | None = None

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Run a decision round unless the event is set."""
        if not event.is_set() and self.run_round is not None:
            self.run_round()
        return event.is_set()


class _ManualSession(Session):
    """Session without a renewal thread."""

    def start(self) -> None:
        """Leave the renewal to the measurement."""


class _Source:
    """Configuration source with one fixed value."""

    def config(self) -> PoolConfig:
        return PoolConfig.from_queues(1, [QUEUE])

    def age(self) -> timedelta:
        return timedelta()

    def refresh(self) -> PoolConfig:
        return self.config()


@attrs.define
class _Run:
    start: wire.RunStart
    ends_at: timedelta


@attrs.define
class Usage:
    """What the owner did in one measurement.

    :param processor_s: processor time of the owner's code, in seconds.
    """

    reports: int = 0
    runs: int = 0
    processor_s: float = 0.0

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Add the processor time of a block."""
        started_ns = time.process_time_ns()
        yield
        self.processor_s += (time.process_time_ns() - started_ns) / 1e9


class SimulatedWorker:
    """A worker with its agent: reports ends at once, and all runs at a fixed interval."""

    def __init__(self, number: int, clock: ManualClock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._number = number
        self._runs: dict[str, _Run] = {}
        self._ended: list[wire.RunEnd] = []
        self._known_profiles: set[str] = set()
        self._reported_at = timedelta(milliseconds=-rng.randrange(700))
        self._next_number = 1
        self.worker_id = f"w{number}"
        self.incarnation = f"1@w{number}"

    def start(self, starts: Sequence[wire.RunStart]) -> None:
        """Start runs."""
        for start in starts:
            mean_ms = BATCH_MS if start.profile.fills else CHECK_MS
            duration = mean_ms * self._rng.uniform(0.7, 1.3) * _MS
            if start.profile.target_ms:
                duration = timedelta(hours=1)
            self._runs[start.task] = _Run(start, self._clock.monotonic() + duration)
            self._known_profiles.add(start.task)

    def report(self) -> wire.WorkerReport | None:
        """Return a report if one is due."""
        now = self._clock.monotonic()
        done = [run for run in self._runs.values() if run.ends_at <= now]
        for run in done:
            del self._runs[run.start.task]
            self._ended.append(
                wire.RunEnd(self._next_number, run.start.task, run.start.run, wire.EndKind.DONE, "")
            )
            self._next_number += 1
        profiles = [run.start.profile for run in self._runs.values()]
        is_colocated = any(p.fills for p in profiles) and any(p.target_ms for p in profiles)
        interval = COLOCATED_REPORT_INTERVAL if is_colocated else REPORT_INTERVAL
        if not done and now - self._reported_at < interval:
            return None
        self._reported_at = now
        return wire.WorkerReport(
            header=wire.Header("r", 1000, 1, "agent", "1"),
            agent="10.0.0.1:7000",
            epoch=1,
            worker=wire.PoolWorker(
                worker_id=self.worker_id,
                incarnation=self.incarnation,
                serves="ledger",
                data_centre=f"dc{self._number % 6}",
                labels=["a", f"rack-{self._number // 12}"],
                capacity=CAPACITY,
                leaving=False,
                remaining_ms=0,
                machine=f"m{self._number}",
            ),
            clock_ms=now // _MS + 1,
            running=[self._status(run, now) for run in self._runs.values()],
            ended=list(self._ended),
            refused=[],
            unreachable=False,
            listed=True,
            unprofiled=[],
        )

    def acknowledge(self, ended_through: int) -> None:
        """Forget acknowledged ends."""
        self._ended = [end for end in self._ended if end.number > ended_through]

    def _status(self, run: _Run, now: timedelta) -> wire.RunStatus:
        profile = run.start.profile
        gauge = profile.cpu_millis
        if profile.target_ms:
            gauge = self._rng.randint(10, 40)
        mean_ms = BATCH_MS if profile.fills else CHECK_MS
        percent = 100 - min(99, max(0, (run.ends_at - now) // _MS * 100 // mean_ms))
        return wire.RunStatus(run.start.task, run.start.run, f"c{percent // 25}", percent, gauge)


class OwnerMeasurement:
    """An owner with simulated workers and load.

    :param workers: number of workers.
    """

    def __init__(self, workers: int):
        self.clock = _StepClock()
        self.usage = Usage()
        self._rng = random.Random(workers)
        store = FakeStore(self.clock)
        self._sessions: list[Session] = []
        self.owner = PoolOwner(
            0,
            store,
            PoolOwnerDirectory(store, "pools/0/owner", self.clock, self._rng),
            _Source(),
            lambda: self._add_session(store),
            Dispatcher(estimated_run_time, InterferenceModel()),
            OwnerIdentity("a1", "1", "10.0.0.1", 7000),
            Metrics(),
            self.clock,
            self._rng,
            PoolLeaseTimes(),
        )
        self._workers = [
            SimulatedWorker(number, self.clock, self._rng) for number in range(workers)
        ]
        self._submitted = 0

    def run(self, duration: timedelta = SIMULATED_TIME) -> Usage:
        """Play the load and return the owner's usage."""
        self.owner.acquire()
        self._play_round()
        for _ in range(max(1, round(len(self._workers) * SERVICES_PER_WORKER))):
            image = f"service-{self._rng.randrange(SERVICE_IMAGES)}"
            self._submit(
                StepSpec(
                    count=24, cpu_millis=13_000, memory_mb=26_000, lasting=True, image=image,
                    target_ms=50,
                )
            )  # fmt: skip
        for _ in range(duration // ROUND):
            self._arrive(CHECKS_PER_WORKER_S, self._check_steps)
            self._arrive(BATCHES_PER_WORKER_S, self._batch_steps)
            self._play_round()
        return self.usage

    def _play_round(self) -> None:
        self.clock.advance(ROUND)
        for session in self._sessions:
            session.renew()
        self.owner.confirm_key()
        reports = [(worker, worker.report()) for worker in self._workers]
        due = [(worker, req) for worker, req in reports if req is not None]
        self.usage.reports += len(due)
        with self.usage.measure():
            replies = [(worker, self.owner.report(req)) for worker, req in due]
            self.owner.step()
        # Unlike an agent, a worker here gets the acknowledgement with its next report.
        for worker, reply in replies:
            worker.acknowledge(reply.ended_through)
        for worker in self._workers:
            req = wire.OrdersRequest(
                wire.Header("r", 1000, 1, "agent", "1"), worker.worker_id, worker.incarnation, 1, 0
            )
            reply = self.owner.orders(req)
            self.usage.runs += len(reply.starts)
            worker.start(reply.starts)

    def _arrive(self, per_worker_s: float, make_steps) -> None:
        expected = per_worker_s * len(self._workers) * ROUND.total_seconds()
        while self._rng.random() < expected:
            self._submit(*make_steps())
            expected -= 1

    def _check_steps(self) -> list[StepSpec]:
        step = StepSpec(count=9, cpu_millis=3_600, memory_mb=7_200, estimate_ms=CHECK_MS)
        return [step, attrs.evolve(step, after=(0,))][: self._rng.choice((1, 2))]

    def _batch_steps(self) -> list[StepSpec]:
        step = StepSpec(
            count=39, cpu_millis=7_000, memory_mb=13_000, estimate_ms=BATCH_MS, fills=True,
            checkpoints=True, image=f"batch-{self._rng.randrange(BATCH_IMAGES)}",
        )  # fmt: skip
        return [step, attrs.evolve(step, after=(0,))]

    def _submit(self, *steps: StepSpec) -> None:
        self._submitted += 1
        req = wire.WorkflowRequest(
            wire.Header("r", 1000, 1, "gateway", "1"),
            f"{self._submitted:016x}",
            QUEUE.name,
            WorkflowSpec("payload", tuple(steps)).to_json().encode(),
        )
        with self.usage.measure():
            self.clock.run_round = self.owner.step
            self.owner.submit(req)
            self.clock.run_round = None

    def _add_session(self, store: FakeStore) -> Session:
        session = _ManualSession(store, LEASE, self.clock, rng=self._rng)
        self._sessions.append(session)
        return session


def main() -> None:
    """Print processor time by number of workers."""
    rows = []
    for workers in FLEET_SIZES:
        usage = OwnerMeasurement(workers).run()
        seconds = SIMULATED_TIME.total_seconds()
        rows.append(
            [
                workers,
                round(usage.reports / seconds),
                round(usage.runs / seconds),
                round(usage.processor_s / usage.reports * 1e6),
                round(usage.processor_s / max(1, usage.runs) * 1e6),
                round(usage.processor_s / seconds * 100, 1),
            ]
        )
    headers = ["workers", "reports/s", "runs/s", "us a report", "us a run", "% of a core"]
    print(tabulate(rows, headers=headers))


if __name__ == "__main__":
    main()

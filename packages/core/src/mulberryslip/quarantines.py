"""Quarantine of workers that fail tasks which do well elsewhere."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs

from .clocks import Clock
from .events import Event, log
from .models import TaskKey

DISTINCT_JOBS = 3
"""Failing jobs in a row that put a worker in quarantine; one bad job never does."""

FIRST_INTERVAL = timedelta(seconds=30)
LONGEST_INTERVAL = timedelta(minutes=30)
EVIDENCE_AGE = timedelta(minutes=10)
"""How long progress of a template on one worker speaks against failures on another."""

MAX_STREAK = 32
MAX_TEMPLATES = 1024
MAX_TASKS = 4096
MAX_WORKERS_PER_TASK = 8
FLEET_SHARE = 3
"""At most one in this many workers is in quarantine, so that a wave of bad jobs which comes
faster than their retries cannot take the whole fleet out of service."""


@attrs.frozen
class _Failure:
    key: TaskKey
    template: str


@attrs.define
class _Standing:
    # The newest failure of each job since the last task that finished on the worker.
    streak: OrderedDict[str, _Failure] = attrs.field(factory=OrderedDict)
    until: timedelta | None = None
    intervals: int = 0


class Quarantine:
    """Standing of each worker. Not thread-safe; `Fleet` holds its lock around every call.

    A failure is evidence against a worker when the same task made progress on another worker,
    or when its template did and the task has failed on no other worker. A task that fails
    everywhere is thereby no evidence against anyone: if it fails elsewhere after a worker was
    put in quarantine for it, the worker is released.

    :param clock: source of monotonic time.
    :param fleet_size: returns the number of live workers.
    """

    def __init__(self, clock: Clock, fleet_size: Callable[[], int]):
        self._clock = clock
        self._fleet_size = fleet_size
        self._standings: dict[str, _Standing] = {}
        self._template_progress: OrderedDict[str, OrderedDict[str, timedelta]] = OrderedDict()
        self._task_progress: OrderedDict[TaskKey, set[str]] = OrderedDict()
        self._task_failures: OrderedDict[TaskKey, set[str]] = OrderedDict()

    def holds(self, worker_id: str) -> bool:
        """Return whether the worker is in quarantine now."""
        standing = self._standings.get(worker_id)
        if standing is None or standing.until is None:
            return False
        return self._clock.monotonic() < standing.until

    def reason(self, worker_id: str) -> str:
        """Return why the worker is in quarantine, or an empty string."""
        if not self.holds(worker_id):
            return ""
        jobs = ", ".join(self._evidence(worker_id)[-DISTINCT_JOBS:])
        return f"jobs failed here in a row and did well elsewhere: {jobs}"

    def record_failure(self, worker_id: str, key: TaskKey, template: str) -> bool:
        """Record a failed task; return whether it counts against the job."""
        if self.holds(worker_id):
            return False
        standing = self._standings.setdefault(worker_id, _Standing())
        standing.streak[key.job_id] = _Failure(key, template)
        standing.streak.move_to_end(key.job_id)
        _trim(standing.streak, MAX_STREAK)
        _remember(self._task_failures, key, worker_id)
        # A checkpoint is no sign of health on a worker where the task failed after it.
        self._task_progress.get(key, set()).discard(worker_id)
        self._refute(key)
        self._judge(worker_id)
        return True

    def record_progress(self, worker_id: str, key: TaskKey, template: str, finished: bool) -> None:
        """Record that a task finished or wrote a checkpoint on a worker."""
        now = self._clock.monotonic()
        workers = self._template_progress.setdefault(template, OrderedDict())
        workers[worker_id] = now
        workers.move_to_end(worker_id)
        _trim(workers, 2)
        self._template_progress.move_to_end(template)
        _trim(self._template_progress, MAX_TEMPLATES)
        _remember(self._task_progress, key, worker_id)
        if finished:
            self._clear(worker_id)
        for other in list(self._standings):
            if other != worker_id:
                self._judge(other)

    def release_due(self) -> None:
        """Release workers whose interval is over; they must fail anew to be held again."""
        now = self._clock.monotonic()
        for worker_id, standing in self._standings.items():
            if standing.until is not None and standing.until <= now:
                standing.until = None
                standing.streak.clear()
                log(Event.WORKER_RELEASED, worker=worker_id, reason="interval over")

    def forget(self, worker_id: str) -> None:
        """Drop the standing of a worker that no longer exists."""
        self._standings.pop(worker_id, None)

    def _clear(self, worker_id: str) -> None:
        standing = self._standings.pop(worker_id, None)
        if standing is not None and standing.until is not None:
            log(Event.WORKER_RELEASED, worker=worker_id, reason="a task finished")

    def _judge(self, worker_id: str) -> None:
        standing = self._standings[worker_id]
        if self.holds(worker_id) or len(standing.streak) < DISTINCT_JOBS:
            return
        evidence = self._evidence(worker_id)
        if len(evidence) < DISTINCT_JOBS or not self._room():
            return
        interval = min(FIRST_INTERVAL * 2**standing.intervals, LONGEST_INTERVAL)
        standing.intervals = min(standing.intervals + 1, 16)
        standing.until = self._clock.monotonic() + interval
        log(
            Event.WORKER_QUARANTINED,
            worker=worker_id,
            jobs=evidence,
            interval_s=interval.total_seconds(),
        )

    def _refute(self, key: TaskKey) -> None:
        for worker_id, standing in self._standings.items():
            failure = standing.streak.get(key.job_id)
            if failure is None or failure.key != key or not self.holds(worker_id):
                continue
            if len(self._evidence(worker_id)) < DISTINCT_JOBS:
                standing.until = None
                standing.intervals = max(0, standing.intervals - 1)
                log(Event.WORKER_RELEASED, worker=worker_id, reason="the jobs fail elsewhere too")

    def _evidence(self, worker_id: str) -> list[str]:
        standing = self._standings[worker_id]
        return [
            job_id
            for job_id, failure in standing.streak.items()
            if self._speaks_against(worker_id, failure)
        ]

    def _speaks_against(self, worker_id: str, failure: _Failure) -> bool:
        if self._task_progress.get(failure.key, set()) - {worker_id}:
            return True
        if self._task_failures.get(failure.key, set()) - {worker_id}:
            return False
        oldest = self._clock.monotonic() - EVIDENCE_AGE
        workers = self._template_progress.get(failure.template, {})
        return any(w != worker_id and seen >= oldest for w, seen in workers.items())

    def _room(self) -> bool:
        held = sum(self.holds(worker_id) for worker_id in self._standings)
        return held < max(1, self._fleet_size() // FLEET_SHARE)


def _remember(
    workers_by_task: OrderedDict[TaskKey, set[str]], key: TaskKey, worker_id: str
) -> None:
    workers = workers_by_task.setdefault(key, set())
    if len(workers) < MAX_WORKERS_PER_TASK:
        workers.add(worker_id)
    workers_by_task.move_to_end(key)
    _trim(workers_by_task, MAX_TASKS)


def _trim(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)

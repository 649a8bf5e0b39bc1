"""Quarantine of workers on which tasks fail that succeed on other workers."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs

from .clocks import Clock
from .events import Event, log
from .models import TaskKey

MIN_FAILED_JOBS = 3
"""Consecutive failing jobs that put a worker in quarantine, so that one bad job never does."""

INITIAL_INTERVAL = timedelta(seconds=30)
MAX_INTERVAL = timedelta(minutes=30)
EVIDENCE_TTL = timedelta(minutes=10)
"""Time for which progress of a template on one worker counts as evidence against another."""

MAX_FAILURES = 32
MAX_TEMPLATES = 1024
MAX_TASKS = 4096
MAX_WORKERS_PER_TASK = 8
FLEET_SHARE = 3
"""At most one in this many workers is in quarantine.

Bad jobs that arrive faster than they are retried could otherwise take the whole fleet out of
service.
"""


@attrs.frozen
class _Failure:
    key: TaskKey
    template: str


@attrs.define
class _FailureRecord:
    # Newest failure of each job since a task last finished on the worker, oldest first.
    failures: OrderedDict[str, _Failure] = attrs.field(factory=OrderedDict)
    quarantined_until: timedelta | None = None
    backoff_exponent: int = 0


class Quarantine:
    """Track failures per worker and decide on quarantine.

    Not thread-safe; `Fleet` makes every call with its lock acquired.

    A failure is evidence against a worker when the same task made progress on another worker,
    or when its template did and the task has failed on no other worker. A task that fails on
    every worker is therefore no evidence: if it fails on another worker after the quarantine of
    the first, the first is released.

    :param clock: source of monotonic time.
    :param fleet_size: returns the number of live workers.
    """

    def __init__(self, clock: Clock, fleet_size: Callable[[], int]):
        self._clock = clock
        self._fleet_size = fleet_size
        self._records: dict[str, _FailureRecord] = {}
        self._template_progress: OrderedDict[str, OrderedDict[str, timedelta]] = OrderedDict()
        self._task_progress: OrderedDict[TaskKey, set[str]] = OrderedDict()
        self._task_failures: OrderedDict[TaskKey, set[str]] = OrderedDict()

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether the worker is in quarantine."""
        record = self._records.get(worker_id)
        if record is None or record.quarantined_until is None:
            return False
        return self._clock.monotonic() < record.quarantined_until

    def reason(self, worker_id: str) -> str:
        """Return the reason why the worker is in quarantine, or an empty string."""
        if not self.is_quarantined(worker_id):
            return ""
        jobs = ", ".join(self._evidence_jobs(worker_id)[-MIN_FAILED_JOBS:])
        return f"jobs failed here in a row and did well elsewhere: {jobs}"

    def record_failure(self, worker_id: str, key: TaskKey, template: str) -> bool:
        """Record a failed task.

        :returns: whether the failure counts against the job.
        """
        if self.is_quarantined(worker_id):
            return False
        record = self._records.setdefault(worker_id, _FailureRecord())
        record.failures[key.job_id] = _Failure(key, template)
        record.failures.move_to_end(key.job_id)
        _drop_oldest(record.failures, MAX_FAILURES)
        _add_worker(self._task_failures, key, worker_id)
        # A checkpoint is no evidence of worker health once the task has failed on that worker.
        self._task_progress.get(key, set()).discard(worker_id)
        self._release_refuted(key)
        self._quarantine_if_due(worker_id)
        return True

    def record_progress(self, worker_id: str, key: TaskKey, template: str, finished: bool) -> None:
        """Record that a task finished or wrote a checkpoint on a worker.

        :param finished: False for a checkpoint.
        """
        now = self._clock.monotonic()
        if self._has_common_failure(worker_id):
            for other, record in self._records.items():
                if not self.is_quarantined(other):
                    record.failures.clear()
        workers = self._template_progress.setdefault(template, OrderedDict())
        workers[worker_id] = now
        workers.move_to_end(worker_id)
        _drop_oldest(workers, 2)
        self._template_progress.move_to_end(template)
        _drop_oldest(self._template_progress, MAX_TEMPLATES)
        _add_worker(self._task_progress, key, worker_id)
        if finished:
            self._clear_record(worker_id)
        for other in list(self._records):
            if other != worker_id:
                self._quarantine_if_due(other)

    def release_due(self) -> None:
        """Release workers whose interval is over; only new failures can quarantine them again."""
        now = self._clock.monotonic()
        for worker_id, record in self._records.items():
            if record.quarantined_until is not None and record.quarantined_until <= now:
                record.quarantined_until = None
                record.failures.clear()
                log(Event.WORKER_RELEASED, worker=worker_id, reason="interval over")

    def forget(self, worker_id: str) -> None:
        """Drop the state of a worker that no longer exists."""
        self._records.pop(worker_id, None)

    def _clear_record(self, worker_id: str) -> None:
        record = self._records.pop(worker_id, None)
        if record is not None and record.quarantined_until is not None:
            log(Event.WORKER_RELEASED, worker=worker_id, reason="a task finished")

    def _has_common_failure(self, worker_id: str) -> bool:
        """Return whether jobs fail in a row on a worker and on two thirds of the fleet.

        Progress there shows that a cause outside of the workers has ended.
        """
        failing = [
            other
            for other, record in self._records.items()
            if len(record.failures) >= MIN_FAILED_JOBS
        ]
        others = self._fleet_size() - len(failing)
        return worker_id in failing and others * FLEET_SHARE <= self._fleet_size()

    def _quarantine_if_due(self, worker_id: str) -> None:
        record = self._records[worker_id]
        if self.is_quarantined(worker_id) or len(record.failures) < MIN_FAILED_JOBS:
            return
        evidence = self._evidence_jobs(worker_id)
        if len(evidence) < MIN_FAILED_JOBS or not self._is_below_limit():
            return
        interval = min(INITIAL_INTERVAL * 2**record.backoff_exponent, MAX_INTERVAL)
        record.backoff_exponent = min(record.backoff_exponent + 1, 16)
        record.quarantined_until = self._clock.monotonic() + interval
        log(
            Event.WORKER_QUARANTINED,
            worker=worker_id,
            jobs=evidence,
            interval_s=interval.total_seconds(),
        )

    def _release_refuted(self, key: TaskKey) -> None:
        for worker_id, record in self._records.items():
            failure = record.failures.get(key.job_id)
            if failure is None or failure.key != key or not self.is_quarantined(worker_id):
                continue
            if len(self._evidence_jobs(worker_id)) < MIN_FAILED_JOBS:
                record.quarantined_until = None
                record.backoff_exponent = max(0, record.backoff_exponent - 1)
                log(Event.WORKER_RELEASED, worker=worker_id, reason="the jobs fail elsewhere too")

    def _evidence_jobs(self, worker_id: str) -> list[str]:
        record = self._records[worker_id]
        return [
            job_id
            for job_id, failure in record.failures.items()
            if self._is_evidence(worker_id, failure)
        ]

    def _is_evidence(self, worker_id: str, failure: _Failure) -> bool:
        if self._task_progress.get(failure.key, set()) - {worker_id}:
            return True
        if self._task_failures.get(failure.key, set()) - {worker_id}:
            return False
        oldest = self._clock.monotonic() - EVIDENCE_TTL
        workers = self._template_progress.get(failure.template, {})
        return any(other != worker_id and seen >= oldest for other, seen in workers.items())

    def _is_below_limit(self) -> bool:
        count = sum(self.is_quarantined(worker_id) for worker_id in self._records)
        return count < max(1, self._fleet_size() // FLEET_SHARE)


def _add_worker(
    workers_by_task: OrderedDict[TaskKey, set[str]], key: TaskKey, worker_id: str
) -> None:
    workers = workers_by_task.setdefault(key, set())
    if len(workers) < MAX_WORKERS_PER_TASK:
        workers.add(worker_id)
    workers_by_task.move_to_end(key)
    _drop_oldest(workers_by_task, MAX_TASKS)


def _drop_oldest(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)

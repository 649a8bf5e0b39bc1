"""State of one shard: its jobs and its claims on requests that must run at most once.

State changes only in `Shard.apply`, in journal order. Each event is checked against the state at
the time it is applied, not at the time it was decided, so an event that has become stale has no
effect.
"""

import json
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from . import records
from .configs import ConfigView, TaskParameters
from .exceptions import InvalidMessageError, JobConflictError, JobError, ShardFullError
from .models import Attempt, Priority, Resources, TaskClass, TaskKey
from .submissions import Submission, check_job_id, parse_result
from .tasks import HELD, Task, TaskPhase
from .transitions import (
    MAX_ID_CHARS,
    AttemptAssigned,
    AttemptCheckpointed,
    AttemptEvicted,
    AttemptFailed,
    AttemptFinished,
    AttemptLost,
    AttemptStarted,
    AttemptSuspended,
    AttemptUnstarted,
    ClaimReleased,
    JobCancelled,
    JobFailed,
    JobsExpired,
    JobSubmitted,
    RequestClaimed,
)

RETENTION = timedelta(days=7)
"""How long a job stays readable after it has ended."""

CLAIM_RETENTION = timedelta(minutes=10)
MAX_CLAIMS = 8192
MAX_EXPIRED_PER_EVENT = 500

_CLASSES = tuple(member.value for member in TaskClass)
_PRIORITIES = tuple(member.value for member in Priority)


@attrs.define
class Job:
    """A job: a set of tasks of one template that were submitted together.

    :param ended_ms: time at which the last task ended, in milliseconds since the epoch; 0 before.
    :param cancelled: whether at least one task ended by cancellation.
    """

    job_id: str = records.text("j", MAX_ID_CHARS)
    digest: str = records.text("d", 64)
    template: str = records.text("t", MAX_ID_CHARS)
    account: str = records.text("ac", MAX_ID_CHARS)
    task_class: str = records.choice("k", _CLASSES)
    priority: str = records.choice("p", _PRIORITIES)
    cpu_millis: int = records.number("cpu")
    memory_mb: int = records.number("mem")
    accelerators: int = records.number("acc")
    max_attempts: int = records.number("m")
    submitted_ms: int = records.number("at")
    ended_ms: int = records.number("end", 0)
    cancelled: bool = records.flag("x", False)
    tasks: list[Task] = attrs.field(factory=list)
    # Cached snapshot form of an ended job, which no longer changes. Most jobs in a snapshot have
    # ended, and encoding them again each time took most of the time of a snapshot.
    _encoded: dict[str, object] | None = attrs.field(default=None, init=False, eq=False)

    @property
    def is_terminal(self) -> bool:
        """Return whether all tasks have ended."""
        return all(task.is_terminal for task in self.tasks)

    @property
    def resources(self) -> Resources:
        """Return the resources of one task as declared when the job was submitted."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators, 1)

    @property
    def state(self) -> str:
        """Return the state as reported to callers."""
        phases = {task.phase for task in self.tasks}
        if not self.is_terminal:
            is_started = phases - {TaskPhase.QUEUED, TaskPhase.ASSIGNED}
            return "running" if is_started else "queued"
        if self.cancelled:
            return "cancelled"
        return "failed" if TaskPhase.FAILED in phases else "finished"

    @property
    def reason(self) -> str:
        """Return the reason of the first failed or cancelled task, or an empty string."""
        end_phase = {"failed": TaskPhase.FAILED, "cancelled": TaskPhase.CANCELLED}.get(self.state)
        if end_phase is None:
            return ""
        for task in self.tasks:
            if task.phase is end_phase:
                return f"task {task.index}: {task.reason}"
        return ""

    def task(self, index: int) -> Task | None:
        """Return the task at an index, or None when the index is out of range."""
        return self.tasks[index] if 0 <= index < len(self.tasks) else None

    def cancel(self, reason: str) -> bool:
        """Cancel the unfinished tasks; return whether there were any."""
        changed = [task.cancel(reason) for task in self.tasks]
        self.cancelled = self.cancelled or any(changed)
        return any(changed)

    def to_snapshot(self) -> dict[str, object]:
        """Return the job as JSON-serialisable values; the caller must not modify them."""
        if self._encoded is not None:
            return self._encoded
        tasks = [records.encode(task) for task in self.tasks]
        encoded = {**records.encode(self), "tasks": tasks}
        if self.ended_ms:
            self._encoded = encoded
        return encoded

    def summary(self) -> dict[str, object]:
        """Return the job's state without its tasks."""
        return {
            "job_id": self.job_id,
            "template": self.template,
            "account": self.account,
            "state": self.state,
            "reason": self.reason,
            "tasks": len(self.tasks),
            "finished": sum(task.phase is TaskPhase.FINISHED for task in self.tasks),
        }

    def status(self) -> dict[str, object]:
        """Return the state of the job and its tasks as reported to callers."""
        return {
            "job_id": self.job_id,
            "template": self.template,
            "account": self.account,
            "state": self.state,
            "reason": self.reason,
            "tasks": [_task_status(task) for task in self.tasks],
        }


@attrs.frozen
class Claim:
    """A claim on a request that must run at most once.

    :param worker_id: worker that the request is sent to.
    :param at_ms: time of the claim in milliseconds since the epoch.
    """

    claim_id: str = records.text("q", MAX_ID_CHARS)
    worker_id: str = records.text("w", MAX_ID_CHARS)
    at_ms: int = records.number("at")


class Shard:
    """Jobs and request claims of one shard. Not thread-safe; the owner serialises access by a lock.

    Methods that decide return events and leave the state unchanged; `apply` changes the state.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.claims: OrderedDict[str, Claim] = OrderedDict()
        # Indexes over the tasks, rebuilt by from_snapshot.
        self._queued: dict[TaskKey, Task] = {}
        self._tasks_by_worker: dict[str, dict[TaskKey, Task]] = {}
        # Jobs end in the order of the journal, so the oldest come first.
        self._ended: OrderedDict[str, None] = OrderedDict()

    # Queries

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None when it is unknown."""
        job = self.jobs.get(key.job_id)
        return job.task(key.index) if job else None

    def queued(self) -> Iterator[tuple[Job, Task]]:
        """Yield the tasks that wait for a worker, in queue order."""
        for key, task in self._queued.items():
            yield self.jobs[key.job_id], task

    def current_attempts(self, worker_id: str) -> list[tuple[Attempt, Task]]:
        """Return the current attempts on a worker and their tasks."""
        tasks_by_key = self._tasks_by_worker.get(worker_id, {})
        return [(Attempt(key, task.attempt), task) for key, task in tasks_by_key.items()]

    def workers_with_attempts(self) -> list[str]:
        """Return the ids of the workers that have current attempts."""
        return [
            worker_id for worker_id, tasks_by_key in self._tasks_by_worker.items() if tasks_by_key
        ]

    def is_current(self, attempt: Attempt) -> bool:
        """Return whether an attempt is the unfinished current attempt of its task."""
        task = self.task(attempt.key)
        return task is not None and task.is_current(attempt.number)

    # Decisions

    def submit(self, job_id: str, body: bytes, config: ConfigView, at_ms: int) -> list[Any]:
        """Validate a submission and return the event that records it.

        :param job_id: id chosen by the caller.
        :param body: JSON of the submission.
        :param config: the newest configuration.
        :param at_ms: current time in milliseconds since the epoch.
        :returns: one event, or none for a resubmission with an equal body.
        :raises JobConflictError: the id is in use for another body.
        :raises JobError: the submission is invalid.
        """
        check_job_id(job_id)
        submission = Submission.from_json(body)
        if job_id in self.jobs:
            self.check_digest(job_id, submission.digest)
            return []
        template = config.template(submission.template)
        if template is None:
            raise JobError(f"template {submission.template!r} is unknown")
        if not isinstance(template.parameters, TaskParameters):
            raise JobError(f"template {submission.template!r} is a service and takes no jobs")
        return [
            JobSubmitted(
                job_id=job_id,
                digest=submission.digest,
                template=template.name,
                account=template.account,
                task_class=template.task_class.value,
                priority=template.parameters.priority.value,
                cpu_millis=template.parameters.cpu_millis,
                memory_mb=template.parameters.memory_mb,
                accelerators=template.parameters.accelerators,
                max_attempts=template.parameters.max_attempts,
                inputs=submission.inputs,
                at_ms=at_ms,
            )
        ]

    def check_digest(self, job_id: str, digest: str) -> None:
        """Check that a job was submitted with a body of a given digest.

        :raises JobConflictError: it was submitted with another body.
        """
        if self.jobs[job_id].digest != digest:
            raise JobConflictError(f"job {job_id!r} exists with another body")

    def assign(self, key: TaskKey, worker_id: str) -> list[Any]:
        """Return the event that assigns a queued task to a worker; none when it is not queued."""
        task = self._queued.get(key)
        if task is None:
            return []
        return [
            AttemptAssigned(key.job_id, key.index, task.attempt + 1, worker_id, task.checkpoint)
        ]

    def cancel(self, job_id: str, reason: str, at_ms: int) -> list[Any]:
        """Return the event that cancels a job; none when it is unknown or has ended."""
        job = self.jobs.get(job_id)
        if job is None or job.is_terminal:
            return []
        return [JobCancelled(job_id, reason, at_ms)]

    def expire(self, at_ms: int) -> list[Any]:
        """Return the event that drops jobs past their retention; none when there are none."""
        cutoff_ms = at_ms - _millis(RETENTION)
        expired = []
        for job_id in self._ended:
            if self.jobs[job_id].ended_ms > cutoff_ms or len(expired) == MAX_EXPIRED_PER_EVENT:
                break
            expired.append(job_id)
        return [JobsExpired(tuple(expired))] if expired else []

    def oldest_ended(self, stored_bytes: int) -> tuple[str, ...]:
        """Return the oldest ended jobs that take up a given size of a snapshot, by an estimate.

        The estimate compresses each job alone, which takes more bytes than compressing all of them
        together, so the jobs may take up less than the given size.

        :param stored_bytes: bytes of the compressed snapshot.
        """
        selected = []
        for job_id in self._ended:
            if stored_bytes <= 0:
                break
            text = json.dumps(self.jobs[job_id].to_snapshot())
            stored_bytes -= len(zlib.compress(text.encode(), 1))
            selected.append(job_id)
        return tuple(selected)

    def claim(self, claim_id: str, worker_id: str, at_ms: int) -> list[Any]:
        """Return the event that claims a request; none when it is already claimed.

        :raises ShardFullError: there are too many claims.
        """
        existing = self.find_claim(claim_id, at_ms)
        if existing is not None:
            return []
        self._prune_claims(at_ms)
        if len(self.claims) >= MAX_CLAIMS:
            raise ShardFullError(f"{MAX_CLAIMS} requests were claimed in the last 10 minutes")
        return [RequestClaimed(claim_id, worker_id, at_ms)]

    def find_claim(self, claim_id: str, at_ms: int) -> Claim | None:
        """Return a claim that has not expired, or None."""
        claim = self.claims.get(claim_id)
        if claim is None or claim.at_ms <= at_ms - _millis(CLAIM_RETENTION):
            return None
        return claim

    # Event application

    @singledispatchmethod
    def apply(self, event: Any) -> bool:
        """Apply a committed event.

        :returns: whether it changed the state; a stale event does not.
        :raises InvalidMessageError: when the type of the event is unknown.
        """
        raise InvalidMessageError(f"{type(event).__name__} is not a journal event")

    @apply.register
    def _(self, event: JobSubmitted) -> bool:
        if event.job_id in self.jobs:
            return False
        fields = attrs.asdict(event, filter=attrs.filters.exclude("inputs", "at_ms"))
        job = Job(**fields, submitted_ms=event.at_ms)
        job.tasks = [Task(index, input=text) for index, text in enumerate(event.inputs)]
        self.jobs[job.job_id] = job
        for task in job.tasks:
            self._queued[task.key(job.job_id)] = task
        return True

    @apply.register
    def _(self, event: AttemptAssigned) -> bool:
        return self._update_task(event, lambda task: task.assign(event))

    @apply.register
    def _(self, event: AttemptUnstarted) -> bool:
        return self._update_task(
            event, lambda task: task.revert_assignment(event.attempt, event.reason)
        )

    @apply.register
    def _(self, event: AttemptStarted) -> bool:
        return self._update_task(event, lambda task: task.start(event.attempt, event.at_ms))

    @apply.register
    def _(self, event: AttemptCheckpointed) -> bool:
        return self._update_task(
            event, lambda task: task.record_checkpoint(event.attempt, event.checkpoint)
        )

    @apply.register
    def _(self, event: AttemptEvicted) -> bool:
        return self._update_task(
            event, lambda task: task.requeue(event.attempt, event.checkpoint, event.reason, True)
        )

    @apply.register
    def _(self, event: AttemptSuspended) -> bool:
        return self._update_task(
            event, lambda task: task.requeue(event.attempt, event.checkpoint, event.reason, False)
        )

    @apply.register
    def _(self, event: AttemptLost) -> bool:
        return self._update_task(
            event, lambda task: task.record_worker_loss(event.attempt, event.reason), event.at_ms
        )

    @apply.register
    def _(self, event: AttemptFinished) -> bool:
        return self._update_task(
            event, lambda task: task.finish(event.attempt, event.result), event.at_ms
        )

    @apply.register
    def _(self, event: AttemptFailed) -> bool:
        job = self.jobs.get(event.job_id)
        limit = job.max_attempts if job else 0
        return self._update_task(
            event,
            lambda task: task.fail(event.attempt, event.reason, event.counted, limit),
            event.at_ms,
        )

    @apply.register
    def _(self, event: JobFailed) -> bool:
        job = self.jobs.get(event.job_id)
        if job is None:
            return False
        changed = [task.fail_unschedulable(event.reason) for task in job.tasks]
        self._reindex(job, job.tasks, event.at_ms)
        return any(changed)

    @apply.register
    def _(self, event: JobCancelled) -> bool:
        job = self.jobs.get(event.job_id)
        if job is None or not job.cancel(event.reason):
            return False
        self._reindex(job, job.tasks, event.at_ms)
        return True

    @apply.register
    def _(self, event: JobsExpired) -> bool:
        expired = [job_id for job_id in event.job_ids if job_id in self._ended]
        for job_id in expired:
            del self.jobs[job_id]
            del self._ended[job_id]
        return bool(expired)

    @apply.register
    def _(self, event: RequestClaimed) -> bool:
        self._prune_claims(event.at_ms)
        if event.claim_id in self.claims or len(self.claims) >= MAX_CLAIMS:
            return False
        self.claims[event.claim_id] = Claim(event.claim_id, event.worker_id, event.at_ms)
        return True

    @apply.register
    def _(self, event: ClaimReleased) -> bool:
        return self.claims.pop(event.claim_id, None) is not None

    # Snapshots

    def to_snapshot(self, without: frozenset[str] = frozenset()) -> dict[str, object]:
        """Return the state as JSON-serialisable values.

        :param without: ended jobs to leave out.
        """
        return {
            "jobs": [job.to_snapshot() for job in self.jobs.values() if job.job_id not in without],
            "queued": [[key.job_id, key.index] for key in self._queued],
            "ended": [job_id for job_id in self._ended if job_id not in without],
            "claims": [records.encode(claim) for claim in self.claims.values()],
        }

    @classmethod
    def from_snapshot(cls, raw: object) -> "Shard":
        """Restore a shard from a snapshot.

        :raises InvalidMessageError: when it is damaged or of a newer version.
        """
        fields = {"jobs", "queued", "ended", "claims"}
        if not isinstance(raw, dict) or raw.keys() != fields:
            raise InvalidMessageError(f"a snapshot must have exactly the fields {sorted(fields)}")
        if not all(isinstance(value, list) for value in raw.values()):
            raise InvalidMessageError("every field of a snapshot must be a list")
        shard = cls()
        for item in raw["jobs"]:
            shard._restore_job(item)
        shard._restore_indexes(raw["queued"], raw["ended"])
        for item in raw["claims"]:
            claim = records.decode(Claim, item)
            shard.claims[claim.claim_id] = claim
        return shard

    def _restore_job(self, raw: object) -> None:
        if not isinstance(raw, dict) or not isinstance(raw.get("tasks"), list):
            raise InvalidMessageError("a job in a snapshot must be an object with a list of tasks")
        job = records.decode(Job, {key: raw[key] for key in raw if key != "tasks"})
        job.tasks = [records.decode(Task, item) for item in raw["tasks"]]
        if [task.index for task in job.tasks] != list(range(len(job.tasks))) or not job.tasks:
            raise InvalidMessageError(f"job {job.job_id!r}: the task indexes are incomplete")
        if job.job_id in self.jobs:
            raise InvalidMessageError(f"job {job.job_id!r} appears twice in the snapshot")
        self.jobs[job.job_id] = job
        for task in job.tasks:
            if task.phase in HELD:
                self._tasks_by_worker.setdefault(task.worker_id, {})[task.key(job.job_id)] = task

    def _restore_indexes(self, queued: list, ended: list) -> None:
        for item in queued:
            if not isinstance(item, list) or [type(part) for part in item] != [str, int]:
                raise InvalidMessageError("a queued task must be a job id and an index")
            key = TaskKey(*item)
            task = self.task(key)
            if task is None or task.phase is not TaskPhase.QUEUED:
                raise InvalidMessageError(f"{key} is listed as queued but is not")
            self._queued[key] = task
        for job_id in ended:
            job = self.jobs.get(job_id) if isinstance(job_id, str) else None
            if job is None or not job.is_terminal:
                raise InvalidMessageError("a job listed as ended is unknown or has not ended")
            self._ended[job_id] = None
        queued_count = sum(t.phase is TaskPhase.QUEUED for j in self.jobs.values() for t in j.tasks)
        ended_count = sum(job.is_terminal for job in self.jobs.values())
        if queued_count != len(self._queued) or ended_count != len(self._ended):
            raise InvalidMessageError("the snapshot omits queued tasks or ended jobs")

    # Indexes

    def _update_task(self, event: Any, transition: Any, at_ms: int = 0) -> bool:
        job = self.jobs.get(event.job_id)
        task = job.task(event.index) if job else None
        if task is None or not transition(task):
            return False
        self._reindex(job, [task], at_ms)
        return True

    def _reindex(self, job: Job, tasks: list[Task], at_ms: int) -> None:
        for task in tasks:
            key = task.key(job.job_id)
            if task.phase is TaskPhase.QUEUED:
                self._queued.setdefault(key, task)
            else:
                self._queued.pop(key, None)
            if task.phase in HELD:
                self._tasks_by_worker.setdefault(task.worker_id, {})[key] = task
            else:
                self._unindex_attempt(key, task.worker_id)
        if job.job_id not in self._ended and job.is_terminal:
            job.ended_ms = at_ms
            self._ended[job.job_id] = None

    def _unindex_attempt(self, key: TaskKey, worker_id: str) -> None:
        tasks_by_key = self._tasks_by_worker.get(worker_id)
        if tasks_by_key is not None:
            tasks_by_key.pop(key, None)
            if not tasks_by_key:
                del self._tasks_by_worker[worker_id]

    def _prune_claims(self, at_ms: int) -> None:
        cutoff_ms = at_ms - _millis(CLAIM_RETENTION)
        while self.claims and next(iter(self.claims.values())).at_ms <= cutoff_ms:
            self.claims.popitem(last=False)


def _millis(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)


def _task_status(task: Task) -> dict[str, object]:
    return {
        "index": task.index,
        "state": task.phase_name,
        "attempts": task.attempt,
        "worker": task.worker_id,
        "result": parse_result(task.result),
        "reason": task.reason,
    }

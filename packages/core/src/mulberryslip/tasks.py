"""One task of a job: its state and the transitions of its attempts."""

import enum

import attrs

from . import records
from .models import TaskKey
from .transitions import (
    MAX_CHECKPOINT_CHARS,
    MAX_ID_CHARS,
    MAX_INPUT_CHARS,
    MAX_REASON_CHARS,
    MAX_RESULT_CHARS,
    AttemptAssigned,
)

MAX_WORKER_LOSSES = 8
"""Workers that a task may lose in a row without a new checkpoint. VMs are lost through no fault of
the task, but a task that crashes its VM must not be retried forever."""

MAX_FAILED_WORKERS = 16


class TaskPhase(enum.Enum):
    """Phase of a task; the last three are terminal."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL = frozenset({TaskPhase.FINISHED, TaskPhase.FAILED, TaskPhase.CANCELLED})
HELD = frozenset({TaskPhase.ASSIGNED, TaskPhase.RUNNING})
_PHASES = tuple(phase.value for phase in TaskPhase)
_TERMINAL_NAMES = frozenset(phase.value for phase in TERMINAL)


@attrs.define
class Task:
    """State of a task. Each transition method returns whether it was applied.

    :param index: position in the job.
    :param phase_name: value of the phase.
    :param attempt: number of the newest attempt; 0 before the first.
    :param worker_id: worker of the newest attempt.
    :param checkpoint: checkpoint that the next attempt resumes from.
    :param newest: newest checkpoint of the current attempt.
    :param consumed: checkpoint that the current attempt resumed from.
    :param failures: failed attempts that count towards the limit.
    :param losses: workers lost since the last checkpoint.
    :param evictions: attempts stopped at the owner's request.
    :param failed_on: workers on which an attempt failed, most recent last.
    :param result: JSON text of the result.
    :param reason: why the task is in its phase.
    """

    index: int = records.number("i")
    phase_name: str = records.choice("s", _PHASES, "queued")
    attempt: int = records.number("a", 0)
    worker_id: str = records.text("w", MAX_ID_CHARS, "")
    checkpoint: str = records.text("c", MAX_CHECKPOINT_CHARS, "")
    newest: str = records.text("cn", MAX_CHECKPOINT_CHARS, "")
    consumed: str = records.text("cc", MAX_CHECKPOINT_CHARS, "")
    failures: int = records.number("f", 0)
    losses: int = records.number("l", 0)
    evictions: int = records.number("v", 0)
    failed_on: tuple[str, ...] = records.texts("fo", MAX_ID_CHARS, ())
    input: str = records.text("in", MAX_INPUT_CHARS, "")
    result: str = records.text("o", MAX_RESULT_CHARS, "")
    reason: str = records.text("r", MAX_REASON_CHARS, "")
    started_ms: int = records.number("st", 0)

    @property
    def phase(self) -> TaskPhase:
        """Return the current phase."""
        return TaskPhase(self.phase_name)

    @property
    def is_terminal(self) -> bool:
        """Return whether the task has ended."""
        return self.phase_name in _TERMINAL_NAMES

    def is_current(self, attempt: int) -> bool:
        """Return whether an attempt is the current one and has not ended."""
        return attempt == self.attempt and self.phase in HELD

    def assign(self, event: AttemptAssigned) -> bool:
        """Assign the next attempt to a worker; the attempt consumes the checkpoint."""
        is_next = event.attempt == self.attempt + 1 and event.checkpoint == self.checkpoint
        if self.phase is not TaskPhase.QUEUED or not is_next:
            return False
        self.attempt = event.attempt
        self.worker_id = event.worker_id
        self.consumed = self.checkpoint
        self.checkpoint = ""
        self.newest = ""
        self._set_phase(TaskPhase.ASSIGNED, "")
        return True

    def revert_assignment(self, attempt: int, reason: str) -> bool:
        """Requeue a task whose attempt never ran; its checkpoint can be used again."""
        if not self.is_current(attempt) or self.phase is not TaskPhase.ASSIGNED:
            return False
        self.checkpoint = self.consumed
        self.consumed = ""
        self._set_phase(TaskPhase.QUEUED, reason)
        return True

    def start(self, attempt: int, at_ms: int) -> bool:
        """Record that the attempt is running."""
        if not self.is_current(attempt) or self.phase is not TaskPhase.ASSIGNED:
            return False
        self.started_ms = at_ms
        self._set_phase(TaskPhase.RUNNING, "")
        return True

    def record_checkpoint(self, attempt: int, checkpoint: str) -> bool:
        """Record a new checkpoint of the current attempt."""
        if not self.is_current(attempt) or not self.is_new_checkpoint(checkpoint):
            return False
        self.newest = checkpoint
        self.losses = 0
        return True

    def is_new_checkpoint(self, checkpoint: str) -> bool:
        """Return whether a checkpoint is neither empty, nor consumed, nor already recorded."""
        return checkpoint not in ("", self.consumed, self.newest)

    def requeue(self, attempt: int, checkpoint: str, reason: str, evicted: bool) -> bool:
        """Requeue a task whose attempt was stopped, to resume from the newest checkpoint.

        :param evicted: whether the owner requested the stop.
        """
        if not self.is_current(attempt):
            return False
        self.record_checkpoint(attempt, checkpoint)
        self.evictions += evicted
        self._enqueue(reason)
        return True

    def record_worker_loss(self, attempt: int, reason: str) -> bool:
        """End an attempt whose worker was lost; too many losses in a row fail the task."""
        if not self.is_current(attempt):
            return False
        self.losses += 1
        if self.losses > MAX_WORKER_LOSSES:
            self._end(TaskPhase.FAILED, f"{self.losses} workers lost without progress: {reason}")
        else:
            self._enqueue(reason)
        return True

    def fail(self, attempt: int, reason: str, counted: bool, max_attempts: int) -> bool:
        """End an attempt that failed; the last permitted one fails the task.

        :param counted: whether the failure counts towards `max_attempts`.
        """
        if not self.is_current(attempt):
            return False
        self.failures += counted
        earlier = [worker for worker in self.failed_on if worker != self.worker_id]
        self.failed_on = (*earlier, self.worker_id)[-MAX_FAILED_WORKERS:]
        if self.failures >= max_attempts:
            self._end(TaskPhase.FAILED, f"failed {self.failures} times, last: {reason}")
        else:
            self._enqueue(reason)
        return True

    def finish(self, attempt: int, result: str) -> bool:
        """Finish the task with the result of its current attempt."""
        if not self.is_current(attempt):
            return False
        self.result = result
        self._end(TaskPhase.FINISHED, "")
        return True

    def fail_unschedulable(self, reason: str) -> bool:
        """Fail a queued task that can never run."""
        if self.phase is not TaskPhase.QUEUED:
            return False
        self._end(TaskPhase.FAILED, reason)
        return True

    def cancel(self, reason: str) -> bool:
        """Cancel an unfinished task; its current attempt, if any, is no longer current."""
        if self.is_terminal:
            return False
        self._end(TaskPhase.CANCELLED, reason)
        return True

    def key(self, job_id: str) -> TaskKey:
        """Return the task's key."""
        return TaskKey(job_id, self.index)

    def _enqueue(self, reason: str) -> None:
        self.checkpoint = self.newest
        self.newest = ""
        self.consumed = ""
        self._set_phase(TaskPhase.QUEUED, reason)

    def _end(self, phase: TaskPhase, reason: str) -> None:
        self.checkpoint = self.newest = self.consumed = self.input = ""
        self._set_phase(phase, reason)

    def _set_phase(self, phase: TaskPhase, reason: str) -> None:
        self.phase_name = phase.value
        self.reason = reason[:MAX_REASON_CHARS]

"""One task of a job: its state and the rules of its attempts."""

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

MAX_LOSSES = 8
"""Workers lost in a row without a checkpoint between. VMs are lost through no fault of the task,
but a task that brings its VM down must not do so for ever."""

MAX_FAILED_ON = 16


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
    """A task. Every method that changes it returns whether it applied.

    :param index: position in the job.
    :param phase_name: value of the phase.
    :param attempt: number of the newest attempt; 0 before the first.
    :param worker_id: worker of the newest attempt.
    :param checkpoint: checkpoint for the next attempt.
    :param newest: newest checkpoint of the current attempt.
    :param consumed: checkpoint from which the current attempt started.
    :param failures: failed attempts that count.
    :param losses: workers lost since the last checkpoint.
    :param evictions: requested stops.
    :param failed_on: workers on which an attempt failed.
    :param result: JSON text.
    :param reason: why it is in this phase.
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
        """Return the phase."""
        return TaskPhase(self.phase_name)

    @property
    def is_terminal(self) -> bool:
        """Return whether the task has ended."""
        return self.phase_name in _TERMINAL_NAMES

    def is_current(self, attempt: int) -> bool:
        """Return whether an attempt is the current one and has not ended."""
        return attempt == self.attempt and self.phase in HELD

    def assign(self, event: AttemptAssigned) -> bool:
        """Begin the next attempt, which consumes the checkpoint."""
        follows = event.attempt == self.attempt + 1 and event.checkpoint == self.checkpoint
        if self.phase is not TaskPhase.QUEUED or not follows:
            return False
        self.attempt = event.attempt
        self.worker_id = event.worker_id
        self.consumed = self.checkpoint
        self.checkpoint = ""
        self.newest = ""
        self._enter(TaskPhase.ASSIGNED, "")
        return True

    def unstart(self, attempt: int, reason: str) -> bool:
        """End an attempt that never ran: its checkpoint is still unused."""
        if not self.is_current(attempt) or self.phase is not TaskPhase.ASSIGNED:
            return False
        self.checkpoint = self.consumed
        self.consumed = ""
        self._enter(TaskPhase.QUEUED, reason)
        return True

    def start(self, attempt: int, at_ms: int) -> bool:
        """Note that the attempt runs."""
        if not self.is_current(attempt) or self.phase is not TaskPhase.ASSIGNED:
            return False
        self.started_ms = at_ms
        self._enter(TaskPhase.RUNNING, "")
        return True

    def take_checkpoint(self, attempt: int, checkpoint: str) -> bool:
        """Keep the newest checkpoint of the running attempt."""
        if not self.is_current(attempt) or not self.is_new_checkpoint(checkpoint):
            return False
        self.newest = checkpoint
        self.losses = 0
        return True

    def is_new_checkpoint(self, checkpoint: str) -> bool:
        """Return whether a checkpoint is neither empty, consumed, nor known already."""
        return checkpoint not in ("", self.consumed, self.newest)

    def requeue(self, attempt: int, checkpoint: str, reason: str, evicted: bool) -> bool:
        """End an attempt that was stopped; the next one resumes from its newest checkpoint."""
        if not self.is_current(attempt):
            return False
        self.take_checkpoint(attempt, checkpoint)
        self.evictions += evicted
        self._queue(reason)
        return True

    def lose(self, attempt: int, reason: str) -> bool:
        """End an attempt whose worker is gone."""
        if not self.is_current(attempt):
            return False
        self.losses += 1
        if self.losses > MAX_LOSSES:
            self._end(TaskPhase.FAILED, f"{self.losses} workers lost without progress: {reason}")
        else:
            self._queue(reason)
        return True

    def fail(self, attempt: int, reason: str, counted: bool, max_attempts: int) -> bool:
        """End an attempt that failed; the last permitted one ends the task."""
        if not self.is_current(attempt):
            return False
        self.failures += counted
        others = [worker for worker in self.failed_on if worker != self.worker_id]
        self.failed_on = (*others, self.worker_id)[-MAX_FAILED_ON:]
        if self.failures >= max_attempts:
            self._end(TaskPhase.FAILED, f"failed {self.failures} times, last: {reason}")
        else:
            self._queue(reason)
        return True

    def finish(self, attempt: int, result: str) -> bool:
        """End the task with the result of its current attempt."""
        if not self.is_current(attempt):
            return False
        self.result = result
        self._end(TaskPhase.FINISHED, "")
        return True

    def give_up(self, reason: str) -> bool:
        """End a queued task that can never run."""
        if self.phase is not TaskPhase.QUEUED:
            return False
        self._end(TaskPhase.FAILED, reason)
        return True

    def cancel(self, reason: str) -> bool:
        """End an unfinished task; a held attempt no longer counts."""
        if self.is_terminal:
            return False
        self._end(TaskPhase.CANCELLED, reason)
        return True

    def key(self, job_id: str) -> TaskKey:
        """Return the task's identity."""
        return TaskKey(job_id, self.index)

    def _queue(self, reason: str) -> None:
        self.checkpoint = self.newest
        self.newest = ""
        self.consumed = ""
        self._enter(TaskPhase.QUEUED, reason)

    def _end(self, phase: TaskPhase, reason: str) -> None:
        self.checkpoint = self.newest = self.consumed = self.input = ""
        self._enter(phase, reason)

    def _enter(self, phase: TaskPhase, reason: str) -> None:
        self.phase_name = phase.value
        self.reason = reason[:MAX_REASON_CHARS]

"""How much a pool may accept so that its state can be handed over. This module performs no I/O.

The whole state is only compressed when a snapshot is written or measured. Between these, what is
accepted counts with the length of its JSON text, since a submission may be incompressible.
"""

import json
from datetime import timedelta

from . import records
from .journals import SnapshotSize
from .steps import WorkflowSpec
from .workflows import Phase, Pool, Workflow, WorkflowAccepted

ADMISSION_SHARE = 5 / 6
"""Share of a snapshot's limits up to which workflows are accepted. The rest is left for the growth
that cannot be refused: longer checkpoints, crash counts, interference and ended workflows."""

TASK_RESERVE_BYTES = 40
"""Stored bytes kept for the growth of a task without a run."""

CHECKPOINT_RESERVE_BYTES = 64
"""Stored bytes kept for the checkpoint of a task that writes checkpoints."""

PROOF_RESERVE_BYTES = 24
PROOF_TEXT_BYTES = 60
"""Stored bytes and length in bytes of JSON text kept for the record that a long-running task has
proven itself, and in which run, without its name, which is written twice at most."""

BASE_RESERVE_BYTES = 2048
"""Stored bytes kept for the parts of a snapshot that belong to no workflow and for the variation of
the compression."""

TASK_TEXT_BYTES = 200
"""Length of a task's row with short names, in bytes of JSON text."""

MAX_STATE_TEXT_BYTES = 7_200_000
"""Limit of the JSON text of a pool's state. A new owner must restore it well before the workers'
leases end."""

MEASUREMENT_SHARE = 0.5
"""Share of the limit above which the state is measured before a snapshot is due."""

MIN_GROWTH_SHARE = 0.01
"""Share of the limit that must have been added before the state is measured again."""

MIN_MEASUREMENT_PAUSE = timedelta(seconds=1)
MEASUREMENT_PAUSE_FACTOR = 20
"""Measurements take up at most this fraction of the owner's time."""

FIRST_RETRY_PAUSE = timedelta(milliseconds=500)
MAX_RETRY_PAUSE = timedelta(seconds=3)


class SnapshotBudget:
    """Estimates the size of the next snapshot, never below the true one. Not thread-safe.

    :param limit: largest snapshot that can be written, and read in time.
    """

    def __init__(self, limit: SnapshotSize):
        self._limit = limit
        self._used = SnapshotSize(0, 0)
        self._added = SnapshotSize(0, 0)
        self._next_measurement_at: timedelta | None = None
        self._was_refused = False

    @property
    def used(self) -> SnapshotSize:
        """Return the estimated size with the reserve for growth."""
        return self._used

    @property
    def limit(self) -> SnapshotSize:
        """Return the size up to which workflows are accepted."""
        return SnapshotSize(
            int(self._limit.stored_bytes * ADMISSION_SHARE),
            int(self._limit.text_bytes * ADMISSION_SHARE),
        )

    @property
    def used_share(self) -> float:
        """Return the share of the limit that is used, of stored bytes or of text."""
        return _share(self._used, self.limit)

    def needs_measurement(self, now: timedelta) -> bool:
        """Return whether the estimate should be replaced by a measurement.

        :param now: monotonic time.
        """
        if self._next_measurement_at is None:
            return True
        if now < self._next_measurement_at:
            return False
        has_grown = _share(self._added, self.limit) > MIN_GROWTH_SHARE
        return self._was_refused or (has_grown and self.used_share > MEASUREMENT_SHARE)

    def record_measurement(
        self, size: SnapshotSize, reserve: SnapshotSize, now: timedelta, took: timedelta
    ) -> None:
        """Replace the estimate.

        :param size: size of a snapshot of the current state.
        :param reserve: room for the growth of what is accepted, see `growth_reserve`.
        :param now: monotonic time.
        :param took: how long the measurement took.
        """
        self._used = size + reserve
        self._added = SnapshotSize(0, 0)
        self._was_refused = False
        pause = max(MIN_MEASUREMENT_PAUSE, took * MEASUREMENT_PAUSE_FACTOR)
        self._next_measurement_at = now + pause

    def admit(self, cost: SnapshotSize) -> bool:
        """Return whether a workflow may be accepted; if so, add its cost to the estimate.

        :param cost: see `acceptance_cost`.
        """
        used = self._used + cost
        if _share(used, self.limit) > 1:
            self._was_refused = True
            return False
        self._used = used
        self._added += cost
        return True


class RetryPauses:
    """Growing pauses between the attempts to write a snapshot. Not thread-safe."""

    def __init__(self) -> None:
        self._pause = FIRST_RETRY_PAUSE
        self._retry_at: timedelta | None = None

    def is_due(self, now: timedelta) -> bool:
        """Return whether the next attempt may be made."""
        return self._retry_at is None or now >= self._retry_at

    def record_success(self) -> None:
        """End the pauses."""
        self._pause, self._retry_at = FIRST_RETRY_PAUSE, None

    def record_failure(self, now: timedelta) -> timedelta:
        """Begin a pause and return its length."""
        pause, self._retry_at = self._pause, now + self._pause
        self._pause = min(self._pause * 2, MAX_RETRY_PAUSE)
        return pause


def _share(size: SnapshotSize, limit: SnapshotSize) -> float:
    return max(size.stored_bytes / limit.stored_bytes, size.text_bytes / limit.text_bytes)


def acceptance_cost(event: WorkflowAccepted, spec: WorkflowSpec) -> SnapshotSize:
    """Return an upper bound of what a workflow adds to a snapshot, with its reserve.

    :param spec: the decoded submission of the event.
    """
    text_bytes = len(json.dumps(records.encode(event), separators=(",", ":")))
    total = SnapshotSize(text_bytes, text_bytes)
    for step in spec.steps:
        total += _reserve(step.count, step.count if step.checkpoints else 0)
        if step.lasting:
            total += _proof_reserve(step.count, len(event.workflow_id))
    return total


def growth_reserve(pool: Pool) -> SnapshotSize:
    """Return the room for the growth of accepted workflows that snapshots do not show yet."""
    total = SnapshotSize(BASE_RESERVE_BYTES, BASE_RESERVE_BYTES)
    for workflow in pool.workflows.values():
        total += _workflow_reserve(workflow)
    return total


def _workflow_reserve(workflow: Workflow) -> SnapshotSize:
    unstarted = unsaved = unproven = 0
    for task in workflow.tasks():
        if task.phase in (Phase.WAITING, Phase.HELD):
            unstarted += task.run == 0
            unsaved += task.spec.checkpoints and not task.checkpoint
            unproven += task.spec.lasting and task.outlived_run != task.run
    return _reserve(unstarted, unsaved) + _proof_reserve(unproven, len(workflow.workflow_id))


def _proof_reserve(unproven: int, id_chars: int) -> SnapshotSize:
    """Return the reserve for long-running tasks whose latest run is not recorded to have lasted.

    :param id_chars: length of the workflow's id.
    """
    text_bytes = PROOF_TEXT_BYTES + 2 * id_chars
    return SnapshotSize(unproven * PROOF_RESERVE_BYTES, unproven * text_bytes)


def _reserve(unstarted: int, unsaved: int) -> SnapshotSize:
    """Return the reserve for tasks without a run, and for tasks without a checkpoint."""
    checkpoint_bytes = unsaved * CHECKPOINT_RESERVE_BYTES
    return SnapshotSize(
        unstarted * TASK_RESERVE_BYTES + checkpoint_bytes,
        unstarted * TASK_TEXT_BYTES + checkpoint_bytes,
    )

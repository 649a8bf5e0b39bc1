"""Divides the time of workflows into waits, runs and repeated runs. This module performs no I/O.

The tasks of a step run at the same time, so the sum over all tasks does not explain when a workflow
ended. Its time is divided along the chain of tasks that determined its end: the last task of the
last step, the last task of the step which that step waited for, and so on.
"""

from typing import Any

import attrs

from .workflows import Pool, RunAssigned, RunEnded, RunOutcome, StepTask, Workflow


@attrs.frozen
class TimeShares:
    """Parts of the time of a task or workflow, in milliseconds.

    :param waiting: waited for a worker.
    :param working: time that the caller estimated for the runs that finished.
    :param slowed: time of these runs beyond the estimate: duty cycles, slow workers, starts, and
        ends that were noted late.
    :param repeated: runs that did not finish.
    """

    waiting: int = 0
    working: int = 0
    slowed: int = 0
    repeated: int = 0

    def __add__(self, other: "TimeShares") -> "TimeShares":
        return TimeShares(
            self.waiting + other.waiting,
            self.working + other.working,
            self.slowed + other.slowed,
            self.repeated + other.repeated,
        )

    @property
    def total(self) -> int:
        """Return the sum of the parts."""
        return self.waiting + self.working + self.slowed + self.repeated


@attrs.define
class _TaskTimes:
    task: StepTask
    assigned_ms: int
    shares: TimeShares
    ended_ms: int = 0


@attrs.frozen
class _StepEnd:
    at_ms: int
    shares: TimeShares


class TimeBreakdowns:
    """Divides the time of the workflows of one pool, as far as one owner has seen it.

    Not thread-safe. State is kept in memory only and grows with the tasks that have not ended.
    """

    def __init__(self) -> None:
        self._tasks: dict[str, dict[str, _TaskTimes]] = {}
        self._step_ends: dict[str, dict[int, _StepEnd]] = {}

    def record(self, event: Any, pool: Pool, now_ms: int) -> None:
        """Record an event that the pool has applied and not yet published.

        :param now_ms: current time, in milliseconds since 1970.
        """
        if isinstance(event, RunAssigned):
            self._record_assigned(event, pool, now_ms)
        elif isinstance(event, RunEnded):
            self._record_run_ended(event, pool)

    def take(self, workflow: Workflow) -> TimeShares:
        """Return the shares of a workflow that has ended, and discard its state.

        Their sum is less than the workflow's time if an earlier owner assigned runs of the chain.
        """
        self._tasks.pop(workflow.workflow_id, None)
        ends = self._step_ends.pop(workflow.workflow_id, {})
        shares = TimeShares()
        steps = set(ends)
        while steps:
            last = max(steps, key=lambda number: ends[number].at_ms)
            shares += ends[last].shares
            steps = ends.keys() & workflow.spec.steps[last].after
        return shares

    def _record_assigned(self, event: RunAssigned, pool: Pool, now_ms: int) -> None:
        task = pool.task(event.task)
        if task is None or task.spec.lasting or task.workflow.is_ended:
            return
        times = self._tasks.setdefault(task.workflow.workflow_id, {})
        known = times.setdefault(task.name, _TaskTimes(task, now_ms, TimeShares()))
        known.assigned_ms = now_ms
        # A run that was not started does not end the wait, and counts as repeated.
        since_ms = max(task.waiting_since_ms, known.ended_ms)
        known.shares += TimeShares(waiting=max(0, now_ms - since_ms))

    def _record_run_ended(self, event: RunEnded, pool: Pool) -> None:
        workflow_id, _, step, _ = event.task.rsplit("/", 3)
        workflow = pool.workflows.get(workflow_id)
        if workflow is None or workflow.spec.steps[int(step)].lasting:
            return
        if workflow.is_ended and workflow.shown == workflow.state:
            # The end was published in an earlier round, so the workflow's shares are taken.
            return
        known = self._tasks.get(workflow_id, {}).get(event.task)
        is_done = event.outcome == RunOutcome.DONE.value
        shares = TimeShares()
        if known is not None:
            took = max(0, event.at_ms - known.assigned_ms)
            working = min(took, known.task.spec.estimate_ms)
            known.shares += (
                TimeShares(working=working, slowed=took - working)
                if is_done
                else TimeShares(repeated=took)
            )
            shares = known.shares
            known.ended_ms = event.at_ms
        if is_done or workflow.is_ended:
            self._step_ends.setdefault(workflow_id, {})[int(step)] = _StepEnd(event.at_ms, shares)
            self._tasks.get(workflow_id, {}).pop(event.task, None)

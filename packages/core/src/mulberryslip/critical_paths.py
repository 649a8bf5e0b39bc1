"""Critical paths of workflows whose tasks differ in their work. This module performs no I/O.

Load pattern: wide steps with stragglers. The tasks that decide when a workflow ends are few, and
the others can wait for as long as these take without making the workflow later.
"""

from collections.abc import Callable, Container
from datetime import timedelta

import attrs

from .work_estimates import WorkEstimates
from .workflows import Phase, StepTask, Workflow

REFRESH_INTERVAL_MS = 400
"""Age from which a path is computed again. Agents list their runs about as often."""


@attrs.frozen
class CriticalPath:
    """Expected run times along the critical path of a workflow, at full speed.

    :param total: whole path, with the steps that are done.
    :param remaining: path from now on.
    :param after: remaining path after the end of each step, by the number of the step.
    :param computed_ms: when it was computed, in milliseconds since 1970.
    """

    total: timedelta
    remaining: timedelta
    after: tuple[timedelta, ...]
    computed_ms: int


class CriticalPaths:
    """Computes the critical paths of workflows from what their runs have shown.

    :param run_time: returns the run time of a task whose runs have shown nothing.
    :param estimates: work of the other tasks.
    """

    def __init__(self, run_time: Callable[[StepTask], timedelta], estimates: WorkEstimates):
        self._run_time = run_time
        self._estimates = estimates
        self._paths: dict[str, CriticalPath] = {}

    def refresh(self, workflow: Workflow, now_ms: int) -> CriticalPath:
        """Return the critical path of a workflow that has not ended, computed again if it is old.

        :param now_ms: current time, in milliseconds since 1970.
        """
        known = self._paths.get(workflow.workflow_id)
        if known is None or now_ms - known.computed_ms >= REFRESH_INTERVAL_MS:
            known = self._paths[workflow.workflow_id] = self._compute(workflow, now_ms)
        return known

    def path(self, workflow: Workflow) -> CriticalPath | None:
        """Return the critical path as last computed; None if it never was."""
        return self._paths.get(workflow.workflow_id)

    def work(self, task: StepTask) -> timedelta:
        """Return the expected run time of a task at full speed."""
        return self._estimates.total(task.name) or self._run_time(task)

    def retain(self, workflow_ids: Container[str]) -> None:
        """Discard the state of all workflows but the given ones."""
        self._paths = {key: path for key, path in self._paths.items() if key in workflow_ids}
        for task in list(self._estimates.tasks()):
            if task.split("/", 1)[0] not in workflow_ids:
                self._estimates.forget(task)

    def _compute(self, workflow: Workflow, now_ms: int) -> CriticalPath:
        totals = [max(map(self.work, tasks), default=timedelta()) for tasks in workflow.steps]
        remaining = [
            max(map(self._remaining, tasks), default=timedelta()) for tasks in workflow.steps
        ]
        after = [timedelta()] * len(remaining)
        for number in reversed(range(len(remaining))):
            for earlier in workflow.spec.steps[number].after:
                after[earlier] = max(after[earlier], remaining[number] + after[number])
        return CriticalPath(
            _longest(workflow, totals), _longest(workflow, remaining), tuple(after), now_ms
        )

    def _remaining(self, task: StepTask) -> timedelta:
        if task.phase is Phase.DONE:
            return timedelta()
        return self.work(task) * self._estimates.remaining_share(task.name)


def _longest(workflow: Workflow, run_times: list[timedelta]) -> timedelta:
    """Return the longest path through the steps of a workflow.

    :param run_times: run time of each step; empty for a workflow that has ended.
    """
    ends: list[timedelta] = []
    for step, own in zip(workflow.spec.steps, run_times, strict=False):
        ends.append(max((ends[earlier] for earlier in step.after), default=timedelta()) + own)
    return max(ends, default=timedelta())

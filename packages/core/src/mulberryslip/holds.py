"""What a reservation for a waiting task leaves to others. This module performs no I/O."""

from datetime import timedelta

import attrs

from .models import Resources
from .run_times import RunTimes
from .workflows import StepTask


@attrs.define(eq=False)
class Hold:
    """Capacity of a worker that is reserved for one task, during a placement round.

    :param task: the task.
    :param until_start: time until the task is expected to fit.
    :param beside: capacity that is free now and that the task does not need once it fits; lower
        than 0 where runs that have to end first take it up.
    """

    task: StepTask
    until_start: timedelta
    beside: Resources
    run_times: RunTimes

    def admits(self, task: StepTask) -> bool:
        """Return whether a run does not delay the reserved task, or precedes it.

        Long-running tasks precede, and so do checks if the reserved task is a best-effort one.
        """
        if task is self.task or self._precedes(task):
            return True
        return task.spec.demand.fits(self.beside) or self._ends_in_time(task)

    def record(self, task: StepTask) -> bool:
        """Take account of a run that starts on the worker.

        :returns: whether the hold remains, that is whether the run is not the reserved task's.
        """
        if task is not self.task and not self._ends_in_time(task):
            self.beside -= task.spec.demand
        return task is not self.task

    def _precedes(self, task: StepTask) -> bool:
        return task.spec.lasting or (self.task.spec.fills and not task.spec.fills)

    def _ends_in_time(self, task: StepTask) -> bool:
        return not task.spec.lasting and self.run_times.upper(task) <= self.until_start

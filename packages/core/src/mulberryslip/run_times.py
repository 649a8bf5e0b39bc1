"""Learned corrections of callers' run time estimates. This module performs no I/O.

Load pattern: callers' estimates are off by up to a factor of two, alike for the tasks of one image.
The correction of an image is a moving average over its finished runs. State is kept in memory only:
a new owner uses the estimates as they are, with `UNKNOWN_FACTOR` as the upper bound, until it has
seen `MIN_RUNS` runs of an image end.
"""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs

from .workflows import StepTask

MAX_KINDS = 512
"""Maximum number of corrections, which take up less than 1 MB with names of 256 characters."""

MIN_RUNS = 5
"""Runs of a kind from which on the correction applies."""

UNKNOWN_FACTOR = 2.0
"""Upper bound of a run time relative to its estimate while there is no correction: callers'
estimates are off by up to a factor of two."""

MAX_RATIO = 4.0
"""Ratios are limited to this and its inverse. One straggler of seven times the mean would otherwise
double the correction of its image."""

WEIGHT = 0.1
"""Weight of the newest run in the moving averages."""


@attrs.define
class _Correction:
    """Moving averages of the ratio of run time and estimate, and of its absolute deviation."""

    runs: int = 0
    mean: float = 1.0
    deviation: float = 0.0

    def observe(self, ratio: float) -> None:
        self.runs += 1
        weight = max(WEIGHT, 1 / self.runs)
        self.deviation += weight * (abs(ratio - self.mean) * (self.runs > 1) - self.deviation)
        self.mean += weight * (ratio - self.mean)


class RunTimes:
    """Expected run times, from the assignment of a run until the owner knows of its end.

    Not thread-safe. The least recently observed kind is discarded above `max_kinds`.

    :param estimate: returns the run time that a task's caller estimates.
    :param max_kinds: maximum number of corrections.
    """

    def __init__(self, estimate: Callable[[StepTask], timedelta], max_kinds: int = MAX_KINDS):
        self._estimate = estimate
        self._max_kinds = max_kinds
        self._corrections: OrderedDict[tuple[str, str], _Correction] = OrderedDict()

    def observe(self, task: StepTask, run_time: timedelta) -> None:
        """Learn from a run that has finished without having resumed from a checkpoint."""
        ratio = run_time / max(self._estimate(task), timedelta(milliseconds=1))
        kind = _kind(task)
        correction = self._corrections.setdefault(kind, _Correction())
        self._corrections.move_to_end(kind)
        correction.observe(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))
        if len(self._corrections) > self._max_kinds:
            self._corrections.popitem(last=False)

    def expected(self, task: StepTask) -> timedelta:
        """Return the expected run time of a task."""
        correction = self._known(task)
        return self._estimate(task) * (correction.mean if correction else 1.0)

    def upper(self, task: StepTask) -> timedelta:
        """Return a run time that few runs like a task's exceed."""
        correction = self._known(task)
        factor = correction.mean + correction.deviation if correction else UNKNOWN_FACTOR
        return self._estimate(task) * factor

    def _known(self, task: StepTask) -> _Correction | None:
        correction = self._corrections.get(_kind(task))
        return correction if correction is not None and correction.runs >= MIN_RUNS else None


def _kind(task: StepTask) -> tuple[str, str]:
    """Return the queue and the image of a task."""
    return (task.workflow.queue.name, task.spec.image)

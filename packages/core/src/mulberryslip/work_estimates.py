"""Estimates the work of tasks from the progress of their runs. This module performs no I/O.

Load pattern: callers' estimates are off by a factor of two, and a few tasks of a wide step take
several times as long as the others. A workflow ends with the slowest task of each step, so its
critical path is known only once its runs have made progress.

A worker lists the progress of a run in whole percent and the processors that it used over the last
half second. Together they bound the work of the task: a run that has worked for w seconds at full
speed while it progressed from a to b percent takes between 100 w / (b - a + 1) and
100 w / (b - a - 1) seconds in all. The caller's estimate counts as long as it is within the bounds.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

MAX_LISTING_GAP = timedelta(seconds=2)
"""Longest time between two listings of a run over which its use of processors is interpolated."""

MIN_GAINED_PERCENT = 4
"""Progress from which on the upper bound counts; over fewer percent it is too coarse."""

DONE_PERCENT = 100


@attrs.define
class _ObservedRun:
    """What the listings of a run have shown.

    :param first_percent: progress from which on `worked_s` counts; None before the run made any.
    :param speed: processors in use at the last listing, as a share of what the run can use.
    :param worked_s: work since `first_percent`, in seconds at full speed.
    """

    run: int
    percent: int
    at: timedelta
    speed: float
    first_percent: int | None = None
    worked_s: float = 0.0


class WorkEstimates:
    """Estimated work of tasks by name, as run time at full speed.

    Not thread-safe. State is kept in memory only: a new owner learns it from the listings.
    """

    def __init__(self) -> None:
        self._runs: dict[str, _ObservedRun] = {}
        self._totals: dict[str, timedelta] = {}

    def observe(
        self, task: str, run: int, percent: int, speed: float, estimate: timedelta, at: timedelta
    ) -> None:
        """Update the estimate of a task from a listing of its run.

        :param percent: progress of the run.
        :param speed: processors in use, as a share of what the run can use.
        :param estimate: run time that is assumed until the run shows more.
        :param at: monotonic time of the listing.
        """
        known = self._runs.get(task)
        if known is None or known.run != run or at - known.at > MAX_LISTING_GAP:
            self._runs[task] = _ObservedRun(run, percent, at, speed)
            return
        elapsed_s = max(0.0, (at - known.at).total_seconds())
        worked_s = elapsed_s * min(1.0, (known.speed + speed) / 2)
        has_gained = percent > known.percent
        known.at, known.speed, known.percent = at, speed, percent
        if known.first_percent is None:
            # Restoring a checkpoint uses processors, but makes no progress.
            known.first_percent = percent if has_gained else None
            return
        known.worked_s += worked_s
        gained = percent - known.first_percent
        total_s = self._totals.get(task, estimate).total_seconds()
        total_s = max(total_s, known.worked_s * DONE_PERCENT / (gained + 1))
        if gained >= MIN_GAINED_PERCENT:
            total_s = min(total_s, known.worked_s * DONE_PERCENT / (gained - 1))
        self._totals[task] = timedelta(seconds=total_s)

    def total(self, task: str) -> timedelta | None:
        """Return the work of a task; None if its runs have not shown it."""
        return self._totals.get(task)

    def remaining_share(self, task: str) -> float:
        """Return the part of a task's work that is not done, as far as its runs have shown."""
        known = self._runs.get(task)
        return 1.0 if known is None else 1 - min(DONE_PERCENT, known.percent) / DONE_PERCENT

    def tasks(self) -> Collection[str]:
        """Return the tasks with state."""
        return self._runs.keys()

    def forget(self, task: str) -> None:
        """Discard the state of a task."""
        self._runs.pop(task, None)
        self._totals.pop(task, None)

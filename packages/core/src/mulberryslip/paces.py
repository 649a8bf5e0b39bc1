"""Decides how fast filling runs work beside serving ones. Nothing here reads or writes.

Load pattern that this answers: batch work fills the processors that services leave, and disturbs
them by amounts that change within seconds. A service above its target for a few seconds harms its
users, so the filling runs of that worker slow down at once and speed up again in small steps.
"""

from collections.abc import Mapping, Sequence

import attrs

from .runners import RunningRun, RunProfile

FULL_PERCENT = 100
CUT_AT = 0.85
"""Share of its target that a serving run's tail reaches when filling runs are slowed down; the
tail is a figure of the last half second and rises further within a second."""

RAISE_BELOW = 0.6
"""Share of its target below which filling runs may work faster again."""

CUT_FACTOR = 0.4
RAISE_STEP = 15
"""Percent by which filling runs speed up each time; full speed is back after about 4 s."""

CUT_INTERVAL_MS = 500
"""Time in which a slower pace shows in the tail, which is a figure of the last half second."""

RAISE_INTERVAL_MS = 600

STOP_BELOW = 10
"""Paces below this many percent are taken as none."""


@attrs.frozen
class PaceChange:
    """A new pace for a run."""

    task: str
    run: int
    percent: int


class PaceControl:
    """Pace of the filling runs of one worker."""

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._moved_at_ms: int | None = None
        self._set: dict[tuple[str, int], int] = {}

    def update(
        self, running: Sequence[RunningRun], profiles: Mapping[str, RunProfile], now_ms: int
    ) -> list[PaceChange]:
        """Take in what runs.

        :param running: all runs of the worker.
        :param profiles: profiles by task; runs without one are left alone.
        :param now_ms: the worker's clock.
        :returns: the changes to make.
        """
        known = [(row, profiles[row.task]) for row in running if row.task in profiles]
        strain = max(
            (row.gauge / profile.target_ms for row, profile in known if profile.target_ms),
            default=0.0,
        )
        self._move(strain, now_ms)
        fills = {(row.task, row.run) for row, profile in known if profile.fills}
        self._set = {key: percent for key, percent in self._set.items() if key in fills}
        changes = []
        for key in sorted(fills):
            if self._set.get(key, FULL_PERCENT) != self.percent:
                self._set[key] = self.percent
                changes.append(PaceChange(*key, self.percent))
        return changes

    def forget(self, change: PaceChange) -> None:
        """Note that a change was not carried out, so that it is decided again."""
        self._set.pop((change.task, change.run), None)

    def _move(self, strain: float, now_ms: int) -> None:
        since = CUT_INTERVAL_MS if self._moved_at_ms is None else now_ms - self._moved_at_ms
        percent = self.percent
        if strain >= CUT_AT and since >= CUT_INTERVAL_MS:
            percent = int(percent * CUT_FACTOR)
            percent = 0 if percent < STOP_BELOW else percent
        elif strain < RAISE_BELOW and since >= RAISE_INTERVAL_MS:
            percent = min(FULL_PERCENT, percent + RAISE_STEP)
        if percent != self.percent:
            self.percent = percent
            self._moved_at_ms = now_ms

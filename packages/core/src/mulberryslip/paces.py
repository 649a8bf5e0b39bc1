"""Decides how fast filling runs work beside serving ones. Nothing here reads or writes.

Load pattern that this answers: batch work fills the processors that services leave, and disturbs
them by amounts that change within seconds. A service above its target for a few seconds harms its
users, so the filling runs that disturb it are halted at once and speed up again in small steps.
"""

from collections.abc import Sequence

import attrs

from .conflicts import ConflictModel, Neighbour, Relation

FULL_PERCENT = 100
CUT_AT = 0.9
"""Share of its target that a serving run's tail reaches when filling runs are slowed down; the
tail is a figure of the last half second and rises further within a second."""

RAISE_BELOW = 0.65
CONFLICT_RAISE_BELOW = 0.6
"""Shares of its target below which filling runs may work faster again: a service comes near 0.8 by
its own load, and what is known to disturb it waits for a calm time."""

CUT_FACTOR = 0.4
RAISE_STEP = 20
"""Percent by which filling runs speed up each time; full speed is back after about 3 s."""

CUT_INTERVAL_MS = 500
"""Time in which a slower pace shows in the tail, which is a figure of the last half second."""

RAISE_INTERVAL_MS = 600
CONFLICT_RAISE_INTERVAL_MS = 2000
"""Runs in conflict with a service beside them are tried again more rarely."""

HALT_AFTER_MS = 1000
"""Time over its target after which all filling runs beside a service are halted, whichever of them
disturbs it. With the time until it is seen and shows, that stays below half of the 4 s that a
service may be over its target."""

STOP_BELOW = 10
"""Paces below this many percent are taken as none."""


@attrs.frozen
class PaceChange:
    """A new pace for a run."""

    task: str
    run: int
    percent: int


@attrs.define
class _Pace:
    percent: int = FULL_PERCENT
    moved_at_ms: int | None = None

    def since(self, now_ms: int) -> int:
        return CONFLICT_RAISE_INTERVAL_MS if self.moved_at_ms is None else now_ms - self.moved_at_ms

    def move(self, percent: int, now_ms: int) -> None:
        if percent != self.percent:
            self.percent = percent
            self.moved_at_ms = now_ms


class PaceControl:
    """Pace of the filling runs of one worker, by image.

    :param conflicts: which images disturb which.
    """

    def __init__(self, conflicts: ConflictModel):
        self._conflicts = conflicts
        self._paces: dict[str, _Pace] = {}
        self._set: dict[tuple[str, int], int] = {}
        self._over_since: dict[str, int] = {}

    def update(self, neighbours: Sequence[Neighbour], now_ms: int) -> list[PaceChange]:
        """Take in what runs.

        :param neighbours: the runs of the worker whose profiles are known.
        :param now_ms: the worker's clock.
        :returns: the changes to make.
        """
        fills = [neighbour for neighbour in neighbours if neighbour.profile.fills]
        serving = [neighbour for neighbour in neighbours if neighbour.profile.target_ms]
        images = {neighbour.profile.image for neighbour in fills}
        self._paces = {image: self._paces.get(image, _Pace()) for image in images}
        if self._is_over_for_long(serving, now_ms):
            for pace in self._paces.values():
                pace.move(0, now_ms)
            return self._changes(fills)
        for image, pace in self._paces.items():
            self._move(image, pace, images, serving, now_ms)
        return self._changes(fills)

    def forget(self, change: PaceChange) -> None:
        """Note that a change was not carried out, so that it is decided again."""
        self._set.pop((change.task, change.run), None)

    def _is_over_for_long(self, serving: Sequence[Neighbour], now_ms: int) -> bool:
        over = {
            neighbour.row.task
            for neighbour in serving
            if neighbour.row.gauge >= neighbour.profile.target_ms
        }
        self._over_since = {task: self._over_since.get(task, now_ms) for task in over}
        return any(now_ms - since >= HALT_AFTER_MS for since in self._over_since.values())

    def _move(
        self,
        image: str,
        pace: _Pace,
        images: set[str],
        serving: Sequence[Neighbour],
        now_ms: int,
    ) -> None:
        strain = 0.0
        is_conflict = False
        for neighbour in serving:
            relation = self._conflicts.relation(image, neighbour.profile.image)
            if relation is Relation.HARMLESS:
                continue
            is_conflict = is_conflict or relation is Relation.CONFLICT
            # Where a known conflict explains the strain, the others go on.
            if relation is Relation.CONFLICT or not any(
                self._conflicts.is_conflict(other, neighbour.profile.image) for other in images
            ):
                strain = max(strain, neighbour.row.gauge / neighbour.profile.target_ms)
        since = pace.since(now_ms)
        interval = CONFLICT_RAISE_INTERVAL_MS if is_conflict else RAISE_INTERVAL_MS
        raise_below = CONFLICT_RAISE_BELOW if is_conflict else RAISE_BELOW
        if strain >= CUT_AT and since >= CUT_INTERVAL_MS:
            percent = 0 if is_conflict else int(pace.percent * CUT_FACTOR)
            pace.move(0 if percent < STOP_BELOW else percent, now_ms)
        elif strain < raise_below and since >= interval:
            pace.move(min(FULL_PERCENT, pace.percent + RAISE_STEP), now_ms)

    def _changes(self, fills: Sequence[Neighbour]) -> list[PaceChange]:
        wanted = {
            (fill.row.task, fill.row.run): self._paces[fill.profile.image].percent for fill in fills
        }
        self._set = {key: percent for key, percent in self._set.items() if key in wanted}
        changes = [
            PaceChange(*key, percent)
            for key, percent in wanted.items()
            if self._set.get(key, FULL_PERCENT) != percent
        ]
        self._set.update({(change.task, change.run): change.percent for change in changes})
        return changes

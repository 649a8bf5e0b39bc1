"""Decides how fast filling runs work beside serving ones. Nothing here reads or writes.

Load pattern that this answers: batch work fills the processors that services leave, and presses on
them by amounts that differ by pair of images, while the load of the services swings within seconds.
A service above its target for a few seconds harms its users, so filling runs get just as many
processors as the headroom of the services beside them allows at the moment.

More of them may wait for headroom than can be in time. Shared alike, all would be late, so the runs
of the workflow that is due first get theirs first, on each worker in the same order.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from .headrooms import (
    LIGHT,
    Budget,
    Demand,
    Neighbour,
    PressureModel,
    ShownShares,
    allot,
    used_shares,
)
from .runners import RunProfile

FULL_PERCENT = 100
UNKNOWN_PERCENT = -1
"""Pace of a run that an earlier process may have set, or whose last call had no answer."""

KEPT_HEADROOM = 1.25
"""Headroom that filling runs leave to a service. Its own load takes up to 0.4 of headroom in a
second, and a change of pace is decided and shows in the tail within about 0.6 s."""

RAISE_STEP = 20
"""Percent by which filling runs speed up each time at most; a wrong pressure shows before that."""

CHANGE_STEP = 10
"""Percent of the smallest change that is worth a call, and below which a pace is taken as none."""

OVER_FACTOR = 0.5
"""Share of the present pressure that is left at most beside a service over its target. The tail
grows with the time over it then, and no longer tells how much too much the pressure is."""

OPENING_MS = 2000
"""Time for which the pace of a run is remembered before the run is listed: longer than a start may
be on its way."""

HALT_AFTER_MS = 1000
HALT_ALL_AFTER_MS = 2000
"""Time over its target after which the filling runs that are known to press on a service, and all
of them, are halted. With the time until it is seen and shows, that stays below the 4 s that a
service may be over its target."""


RunKey = tuple[str, int]
"""Task and number of a run."""


@attrs.frozen
class PaceChange:
    """A new pace for a run."""

    task: str
    run: int
    percent: int


class PaceControl:
    """Pace of the filling runs of one worker.

    :param model: how much images press on each other.
    """

    def __init__(self, model: PressureModel):
        self._model = model
        self._paces: dict[RunKey, int] = {}
        self._set: dict[RunKey, int] = {}
        self._opened: dict[RunKey, int] = {}
        self._left: list[Budget] = []
        self._shown = ShownShares()
        self._now_ms = 0
        self._over_since: dict[str, int] = {}

    def update(
        self, neighbours: Sequence[Neighbour], cpu_millis: int, now_ms: int
    ) -> list[PaceChange]:
        """Take in what runs.

        :param neighbours: the runs of the worker whose profiles are known.
        :param cpu_millis: the worker's processors, in thousandths of a core.
        :param now_ms: the worker's clock.
        :returns: the changes to make.
        """
        fills = [neighbour for neighbour in neighbours if neighbour.profile.fills]
        fills.sort(key=lambda fill: (fill.profile.due_ms, fill.row.task))
        serving = [neighbour for neighbour in neighbours if neighbour.headroom is not None]
        self._now_ms = now_ms
        allowed = self._allowed(fills, serving, cpu_millis)
        halted = self._halted({fill.profile.image for fill in fills}, serving, now_ms)
        self._paces = {
            key: _moved(self._before(key), 0 if image in halted else percent)
            for key, image, percent in allowed
        }
        return self._changes()

    def open(self, profile: RunProfile, run: int, cpu_millis: int) -> int:
        """Return the pace for a run that starts now; without one it would begin at full speed.

        :param profile: the run's profile.
        :param cpu_millis: the worker's processors, in thousandths of a core.
        """
        if not profile.fills:
            return FULL_PERCENT
        demand = _demand(profile, cpu_millis)
        (share,), _ = allot([demand], self._left, self._model)
        percent = _rounded(share, demand.share)
        self._set[profile.task, run] = percent
        self._opened[profile.task, run] = self._now_ms
        return percent

    def forget(self, change: PaceChange) -> None:
        """Note that a change was not carried out, so that it is decided again."""
        self._set[change.task, change.run] = UNKNOWN_PERCENT

    def _before(self, key: RunKey) -> int:
        """Return the pace from which a run goes on."""
        percent = self._paces.get(key, self._set.get(key, UNKNOWN_PERCENT))
        return FULL_PERCENT if percent == UNKNOWN_PERCENT else percent

    def _halted(
        self, images: Collection[str], serving: Sequence[Neighbour], now_ms: int
    ) -> set[str]:
        """Return the images that are halted, since a service is over its target for too long."""
        over = {n.row.task: n.profile.image for n in serving if n.headroom <= 1}
        self._over_since = {task: self._over_since.get(task, now_ms) for task in over}
        halted = set()
        for task, since in self._over_since.items():
            if now_ms - since >= HALT_ALL_AFTER_MS:
                halted.update(images)
            elif now_ms - since >= HALT_AFTER_MS:
                halted.update(
                    image for image in images if self._model.pressure(image, over[task]) > LIGHT
                )
        return halted

    def _allowed(
        self, fills: Sequence[Neighbour], serving: Sequence[Neighbour], cpu_millis: int
    ) -> list[tuple[RunKey, str, int]]:
        """Return run, image and the percent at which it may work, the most urgent runs first."""
        used = used_shares(fills, cpu_millis)
        shares = self._shown.update(used, self._now_ms * timedelta(milliseconds=1))
        demands = [_demand(fill.profile, cpu_millis) for fill in fills]
        budgets = [(n.profile.image, self._budget(n, shares)) for n in serving]
        allowed, self._left = allot(demands, budgets, self._model)
        return [
            ((fill.row.task, fill.row.run), demand.image, _rounded(share, demand.share))
            for fill, demand, share in zip(fills, demands, allowed, strict=True)
        ]

    def _budget(self, neighbour: Neighbour, shares: Mapping[str, float]) -> float:
        """Return how far filling runs may take the headroom of a serving run down in sum."""
        pressing = self._model.press(shares, neighbour.profile.image)
        budget = neighbour.headroom + pressing - KEPT_HEADROOM
        if neighbour.headroom <= 1:
            return min(budget, OVER_FACTOR * pressing)
        return budget

    def _changes(self) -> list[PaceChange]:
        wanted = self._paces
        self._opened = {
            key: at
            for key, at in self._opened.items()
            if key not in wanted and self._now_ms - at < OPENING_MS
        }
        self._set = {
            key: percent
            for key, percent in self._set.items()
            if key in wanted or key in self._opened
        }
        changes = [
            PaceChange(*key, percent)
            for key, percent in wanted.items()
            if self._set.get(key, UNKNOWN_PERCENT) != percent
        ]
        self._set.update({(change.task, change.run): change.percent for change in changes})
        return changes


def _demand(profile: RunProfile, cpu_millis: int) -> Demand:
    """Return what a run could use of a worker with some processors."""
    return Demand(profile.image, profile.cpu_millis / max(1, cpu_millis))


def _rounded(share: float, wanted: float) -> int:
    """Return a share as a percentage of the wanted one; 0 for one that is not worth a call."""
    percent = int(FULL_PERCENT * share / wanted) if wanted > 0 else FULL_PERCENT
    return percent if percent >= CHANGE_STEP else 0


def _moved(percent: int, allowed: int) -> int:
    """Return the next pace on the way to an allowed one."""
    if allowed == 0 or allowed <= percent - CHANGE_STEP:
        return allowed
    if allowed >= percent + CHANGE_STEP or allowed == FULL_PERCENT:
        return min(allowed, percent + RAISE_STEP)
    return percent

"""How much filling images press on the services beside them, learned from tail latencies.

The headroom of a service is its target divided by its tail latency; below 1 it is over its target.
A tail grows with 1 / (1 - load), so the headroom falls in a straight line with the processors that
filling runs use beside the service. The pressure of a pair of images is that fall for filling runs
that use the whole worker. About half of the pairs press by 3 to 10, the others hardly at all.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta

import attrs

from .runners import RunningRun, RunProfile

PRIOR = 3.5
PRIOR_DEVIATION = 3.5
"""Mean and standard deviation of a pair of which nothing is known."""

SWING = 1.2
"""Factor by which pressures are taken higher than their means: what an image does to a service
swings within seconds, and the swings upward do harm."""

CAUTION = 0.5
"""Standard deviations by which pressures are taken higher still while little is known of them."""

FADING = 0.01
"""Variance that a pressure gains each second, since what images do changes with their load."""

TAIL_NOISE = 0.12
"""Relative noise of a tail, which is a rough figure of the last half second."""

LOAD_DRIFT = 0.4
"""Change of the headroom in one second by the load of the service itself."""

MAX_STEP = timedelta(seconds=1)
"""Longest time between two listings that are compared."""

MIN_CHANGE = 0.01
"""Change of the used share of a worker below which two listings tell nothing."""

SATURATED = 0.5
"""Headroom below which a queue grows from moment to moment, so that the line no longer holds; such
listings can only raise pressures."""

LIGHT = 1.0
"""Pressure below which a pair gets along at any speed: a third of the least that others press."""

LEVEL_TIME = timedelta(seconds=8)
"""Time over which the usual headroom of a service is averaged: about half a wave of its load."""

KNOWN_VARIANCE = 6.0
"""Variance below which a pair counts as known; it is half of the prior's."""

TAIL_TIME = timedelta(milliseconds=450)
"""Time in which tails follow what filling runs use, found by comparing listings of all pairs."""


@attrs.frozen
class Neighbour:
    """A run with its profile."""

    row: RunningRun
    profile: RunProfile

    @property
    def headroom(self) -> float | None:
        """Return the headroom of a serving run, None before its first tail is known."""
        if not self.profile.target_ms or self.row.gauge <= 0:
            return None
        return self.profile.target_ms / self.row.gauge


@attrs.frozen
class Pressure:
    """What is known of a filling and a serving image.

    :param value: fall of the serving image's headroom for a whole worker, with caution.
    """

    filling: str
    serving: str
    value: float


@attrs.frozen
class PressureEstimate:
    """What is known of a pair, for another process that goes on learning.

    :param mean: fall of the serving image's headroom for a whole worker.
    :param deviation: standard deviation of the mean.
    """

    filling: str
    serving: str
    mean: float
    deviation: float


@attrs.define
class _Estimate:
    mean: float = PRIOR
    variance: float = PRIOR_DEVIATION**2
    updated: timedelta = timedelta()

    def fade(self, now: timedelta) -> None:
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(PRIOR_DEVIATION**2, self.variance + FADING * age)
        self.updated = max(now, self.updated)

    def careful(self) -> float:
        return SWING * self.mean + CAUTION * self.variance**0.5


class ShownShares:
    """Shares of a worker's processors that filling images use, as far as they show in the tails."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._at: timedelta | None = None

    def update(self, used: Mapping[str, float], at: timedelta) -> dict[str, float]:
        """Take in the used shares at a time; return the shares that show."""
        age = timedelta.max if self._at is None else max(timedelta(), at - self._at)
        weight = 1 - math.exp(-(age / TAIL_TIME))
        self._at = at
        shown = {
            image: (before := self._shares.get(image, 0.0))
            + weight * (used.get(image, 0.0) - before)
            for image in self._shares.keys() | used.keys()
        }
        self._shares = {
            image: share for image, share in shown.items() if image in used or share >= MIN_CHANGE
        }
        return self._shares


@attrs.define
class _Listing:
    at: timedelta
    shares: dict[str, float]
    headrooms: dict[str, float]
    lows: dict[str, float]


class PressureModel:
    """Learns the pressures of pairs, and the usual headrooms of services. Not thread-safe."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Estimate] = {}
        self._given: dict[tuple[str, str], float] = {}
        self._seen: dict[str, _Listing] = {}
        self._shown: dict[str, ShownShares] = {}
        self._levels: dict[tuple[str, str], tuple[float, timedelta]] = {}

    def observe(
        self, worker_id: str, now: timedelta, neighbours: Sequence[Neighbour], cpu_millis: int
    ) -> None:
        """Learn from one listing of a worker.

        :param now: monotonic time of the listing.
        :param neighbours: its serving and filling runs.
        :param cpu_millis: its processors, in thousandths of a core.
        """
        shown = self._shown.setdefault(worker_id, ShownShares())
        shares = shown.update(used_shares(neighbours, cpu_millis), now)
        serving = [n for n in neighbours if n.headroom is not None]
        lows: dict[str, float] = {}
        for neighbour in serving:
            image = neighbour.profile.image
            lows[image] = min(neighbour.headroom, lows.get(image, neighbour.headroom))
        listing = _Listing(now, shares, {n.row.task: n.headroom for n in serving}, lows)
        before = self._seen.get(worker_id)
        self._seen[worker_id] = listing
        if before is not None and timedelta() < now - before.at <= MAX_STEP:
            for neighbour in serving:
                if neighbour.row.task in before.headrooms:
                    self._learn(before, listing, neighbour)
        for image, low in lows.items():
            self._note_level(worker_id, image, low, shares, now)

    def give(self, pressures: Iterable[Pressure]) -> None:
        """Take over what another process has learned of some pairs."""
        self._given.update(((p.filling, p.serving), p.value) for p in pressures)

    def pressure(self, filling: str, serving: str) -> float:
        """Return the pressure of a pair, with caution; what another process knows goes first."""
        given = self._given.get((filling, serving))
        if given is not None:
            return given
        return self._pairs.get((filling, serving), _Estimate()).careful()

    def press(self, shares: Mapping[str, float], serving: str) -> float:
        """Return how far filling runs take the headroom of a serving image down.

        :param shares: what they use of the worker's processors, by image.
        """
        return sum(self.pressure(filling, serving) * share for filling, share in shares.items())

    def known(self, filling: Collection[str], serving: Collection[str]) -> list[Pressure]:
        """Return the pairs of some filling and serving images of which enough is known."""
        return [
            Pressure(*pair, round(estimate.careful(), 2))
            for pair, estimate in self._pairs.items()
            if estimate.variance < KNOWN_VARIANCE and pair[0] in filling and pair[1] in serving
        ]

    def estimates(self) -> list[PressureEstimate]:
        """Return the pairs of which enough is known, to be restored elsewhere."""
        return [
            PressureEstimate(*pair, estimate.mean, estimate.variance**0.5)
            for pair, estimate in self._pairs.items()
            if estimate.variance < KNOWN_VARIANCE
        ]

    def restore(self, estimates: Iterable[PressureEstimate], now: timedelta) -> None:
        """Go on from what another process has learned."""
        for known in estimates:
            self._pairs[known.filling, known.serving] = _Estimate(
                known.mean, min(PRIOR_DEVIATION, known.deviation) ** 2, now
            )

    def level(self, worker_id: str, image: str) -> float | None:
        """Return the usual headroom of an image on a worker without filling runs; None at first."""
        known = self._levels.get((worker_id, image))
        return known[0] if known is not None else None

    def lows(self, worker_id: str) -> dict[str, float]:
        """Return the lowest headroom of each image in the last listing of a worker."""
        listing = self._seen.get(worker_id)
        return dict(listing.lows) if listing is not None else {}

    def forget(self, worker_id: str) -> None:
        """Drop what is kept of a worker."""
        self._seen.pop(worker_id, None)
        self._shown.pop(worker_id, None)
        for key in [key for key in self._levels if key[0] == worker_id]:
            del self._levels[key]

    def _learn(self, before: _Listing, listing: _Listing, neighbour: Neighbour) -> None:
        """Correct the pressures on one service by how its headroom followed the filling runs."""
        serving = neighbour.profile.image
        earlier, later = before.headrooms[neighbour.row.task], neighbour.headroom
        changes = {
            image: listing.shares.get(image, 0.0) - before.shares.get(image, 0.0)
            for image in listing.shares.keys() | before.shares.keys()
        }
        changes = {image: x for image, x in changes.items() if abs(x) >= MIN_CHANGE}
        if not changes:
            return
        pairs = {image: self._estimate(image, serving, listing.at) for image in changes}
        seconds = (listing.at - before.at).total_seconds()
        noise = TAIL_NOISE**2 * (earlier**2 + later**2) + (LOAD_DRIFT * seconds) ** 2
        error = earlier - later - sum(pairs[image].mean * x for image, x in changes.items())
        spread = noise + sum(pairs[image].variance * x * x for image, x in changes.items())
        is_saturated = min(earlier, later) < SATURATED
        for image, x in changes.items():
            estimate = pairs[image]
            gain = estimate.variance * x / spread
            if is_saturated and gain * error <= 0:
                continue
            estimate.mean = max(0.0, estimate.mean + gain * error)
            estimate.variance *= 1 - gain * x

    def _note_level(
        self, worker_id: str, image: str, headroom: float, shares: dict[str, float], now: timedelta
    ) -> None:
        undisturbed = headroom + sum(
            self._mean(filling, image) * share for filling, share in shares.items()
        )
        known = self._levels.get((worker_id, image))
        if known is None:
            self._levels[worker_id, image] = (undisturbed, now)
            return
        level, at = known
        weight = min(1.0, max(timedelta(), now - at) / LEVEL_TIME)
        self._levels[worker_id, image] = (level + weight * (undisturbed - level), now)

    def _mean(self, filling: str, serving: str) -> float:
        return self._pairs.get((filling, serving), _Estimate()).mean

    def _estimate(self, filling: str, serving: str, now: timedelta) -> _Estimate:
        estimate = self._pairs.setdefault((filling, serving), _Estimate(updated=now))
        estimate.fade(now)
        return estimate


def used_shares(neighbours: Iterable[Neighbour], cpu_millis: int) -> dict[str, float]:
    """Return the share of a worker's processors that filling runs use, by image."""
    shares: dict[str, float] = {}
    for neighbour in neighbours:
        if neighbour.profile.fills:
            image = neighbour.profile.image
            used = neighbour.row.gauge / max(1, cpu_millis)
            shares[image] = shares.get(image, 0.0) + used
    return shares


@attrs.frozen
class Demand:
    """What a filling image or run could use.

    :param share: of the worker's processors.
    """

    image: str
    share: float


Budget = tuple[str, float]
"""A serving image, and the fall of its headroom that is allowed."""


def allot(
    demands: Iterable[Demand], budgets: Sequence[Budget], model: PressureModel
) -> tuple[list[float], list[Budget]]:
    """Share the headroom of services among filling images or runs, the first ones first.

    :returns: the share of the worker's processors for each demand, and what is left of the budgets.
    """
    left = [max(0.0, budget) for _, budget in budgets]
    shares = []
    for demand in demands:
        pressures = [model.pressure(demand.image, serving) for serving, _ in budgets]
        share = demand.share
        for pressure, budget in zip(pressures, left, strict=True):
            if pressure > LIGHT:
                share = min(share, budget / pressure)
        shares.append(share)
        left = [
            max(0.0, budget - pressure * share)
            for budget, pressure in zip(left, pressures, strict=True)
        ]
    return shares, [(serving, rest) for (serving, _), rest in zip(budgets, left, strict=True)]


def press_cost(image: str, budgets: Sequence[Budget], model: PressureModel) -> float:
    """Return the largest part of a budget that an image takes for the use of a whole worker."""
    return max(
        (model.pressure(image, serving) / max(0.01, budget) for serving, budget in budgets),
        default=0.0,
    )

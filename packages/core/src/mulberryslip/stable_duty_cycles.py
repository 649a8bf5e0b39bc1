"""Computes duty cycles of best-effort runs from filtered headrooms. This module performs no I/O.

Load pattern: services whose load swings by half within some ten seconds, beside best-effort runs of
a few seconds that keep arriving. Duty cycles that are computed anew from each noisy listing
oscillate there between 0 and nearly full speed. Here a filter per service predicts its headroom,
and a duty cycle changes only when the prediction leaves a dead band.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import attrs

from .headroom_filters import HeadroomFilter
from .headrooms import (
    NEGLIGIBLE_INTERFERENCE,
    Budget,
    ColocatedRun,
    Demand,
    InterferenceModel,
    LaggedShares,
    used_shares,
)
from .runners import RunProfile

FULL_PERCENT = 100

HARMLESS_SLACK = 0.2
"""Headroom that images with negligible interference may use beyond the budgets. Without a limit,
they took a service at 0.9 of its objective over it for up to 3.7 s in simulations; with 0.1, runs
beside such a service hardly worked."""

REACTION_TIME = timedelta(milliseconds=600)
"""Time after which a change of duty cycles shows in the tail latency: the call, most of the lag of
the tail latency, and a part of the time until the next listing."""

MARGIN_DEVIATIONS = 0.65
"""Standard deviations of the predicted headroom that are left to a service above its objective. In
simulations with 0.45, services were over their objective for as long as with the fixed margin of
0.25 that unfiltered listings need; 0.8 cost 3 % of the duty cycle."""

MIN_MARGIN = 0.1
"""Least headroom left to a service above its objective. A filter that has seen a steady load for
long does not foresee a burst, which takes up to 0.4 of headroom per second."""

DEAD_BAND = 0.1
"""Headroom above the margin from which duty cycles increase; without it, each listing would change
some duty cycle."""

MAX_STEP_TIME = timedelta(milliseconds=400)
"""Time between two listings after which increases may use all of the unallocated headroom. Listings
in shorter succession have not seen the effect of the previous increase."""

MIN_INCREASE_PERCENT = 15
MIN_DECREASE_PERCENT = 5
"""Smallest changes of a duty cycle that justify a call, in percentage points. A smaller limit for
decreases keeps services over their objective for less time, for few more calls."""

MIN_PERCENT = 5
"""Lower duty cycles are rounded to 0."""

MAX_CUT_FACTOR = 0.2
MIN_CUT_PERCENT = 20
"""Share of its duty cycle that a run of at least `MIN_CUT_PERCENT` keeps while no service violates
its objective. A halt is a response to a violation, not to a prediction."""

USE_WINDOW = timedelta(milliseconds=500)
"""Time over which a worker measures the processor use of a run."""

USE_WEIGHT = 0.5
"""Weight of a listing in the processor use of a run at full speed."""

MIN_USE_PERCENT = 20
"""Lowest duty cycle from which the use at full speed is inferred."""

MIN_USE_FACTOR, MAX_USE_FACTOR = 0.5, 2.0
"""Limits of the use at full speed as factors of the declared one, which is off by up to two. A run
that is starting or resuming uses nothing yet."""

VIOLATION_BACKOFF = 0.5
"""Maximum share of the current interference that is kept while a service violates its objective.
The tail latency then grows with the duration of the violation and no longer indicates by how much
to reduce the interference."""

CERTAIN_VIOLATION_HEADROOM = 0.85
VIOLATION_CONFIRMED_AFTER = timedelta(milliseconds=300)
"""Headroom below which, or time after which, a listed violation is not noise of one listing."""


RunKey = tuple[str, int]
"""Task name and run number."""


@attrs.define
class _Service:
    headroom_filter: HeadroomFilter = attrs.Factory(HeadroomFilter)
    violated_since: timedelta | None = None


@attrs.define
class _BestEffortRun:
    percent: int
    changed_at: timedelta
    highest_percent: int
    full_use: float

    def set_percent(self, percent: int, now: timedelta) -> None:
        if percent != self.percent:
            self.highest_percent = max(percent, self.percent)
            self.percent, self.changed_at = percent, now
        elif now - self.changed_at >= USE_WINDOW:
            self.highest_percent = percent

    def update_full_use(self, used: int, declared: int, now: timedelta) -> None:
        """Update the use at full speed from the use over the last `USE_WINDOW`.

        After a change of the duty cycle, the window covers both. The use is then at least that at
        the higher one, which only proves that a smaller estimate is wrong.
        """
        if self.highest_percent < MIN_USE_PERCENT:
            return
        use = min(used * FULL_PERCENT / self.highest_percent, MAX_USE_FACTOR * declared)
        if use > self.full_use:
            self.full_use = use
        elif now - self.changed_at >= USE_WINDOW:
            use = max(use, MIN_USE_FACTOR * declared)
            self.full_use += USE_WEIGHT * (use - self.full_use)


class StableDutyCycles:
    """Computes duty cycles of the best-effort runs of one worker from its listings.

    :param model: model of the interference between images.
    """

    def __init__(self, model: InterferenceModel):
        self._model = model
        self._lagged_shares = LaggedShares()
        self._services: dict[RunKey, _Service] = {}
        self._runs: dict[RunKey, _BestEffortRun] = {}
        self._updated_at: timedelta | None = None
        self._remaining_budgets: list[Budget] = []

    def update(
        self,
        best_effort: Sequence[ColocatedRun],
        latency_critical: Sequence[ColocatedRun],
        percents: Sequence[int],
        cpu_millis: int,
        now: timedelta,
    ) -> list[int]:
        """Return the duty cycle of each best-effort run, in percent.

        :param best_effort: runs in the order in which headroom is allocated.
        :param latency_critical: runs with a listed tail latency.
        :param percents: current duty cycles of `best_effort`.
        :param cpu_millis: processors of the worker, in thousandths of a core.
        :param now: time of the listing on the worker's clock.
        """
        demands = self._update_demands(best_effort, percents, cpu_millis, now)
        shares = [
            demand.share * percent / FULL_PERCENT
            for demand, percent in zip(demands, percents, strict=True)
        ]
        lagged = self._lagged_shares.update(used_shares(best_effort, cpu_millis), now)
        limits = self._update_budgets(latency_critical, lagged, _by_image(demands, shares), now)
        targets = [(image, budget - DEAD_BAND) for image, budget in limits]
        is_violated = any(service.headroom <= 1 for service in latency_critical)
        decreased = self._decreased(demands, shares, limits, targets, is_violated)
        increased = self._increased(demands, decreased, targets, now)
        self._updated_at = now
        result = [
            _next_percent(percent, _percent_of(share, demand))
            for percent, share, demand in zip(percents, increased, demands, strict=True)
        ]
        shares = [
            demand.share * percent / FULL_PERCENT
            for demand, percent in zip(demands, result, strict=True)
        ]
        self._remaining_budgets = self._unallocated(targets, demands, shares)
        return result

    def initial_percent(self, profile: RunProfile, cpu_millis: int) -> int:
        """Return the initial duty cycle of a run, in percent, and allocate its headroom.

        Several runs that start between two listings share the headroom that was left.
        """
        demand = demand_of(profile, cpu_millis)
        (share,), self._remaining_budgets = self._allocate([demand], self._remaining_budgets)
        return _percent_of(share, demand)

    def _update_demands(
        self,
        best_effort: Sequence[ColocatedRun],
        percents: Sequence[int],
        cpu_millis: int,
        now: timedelta,
    ) -> list[Demand]:
        """Return the processor demand of each run at full speed, according to its listed use."""
        runs = {}
        demands = []
        for item, percent in zip(best_effort, percents, strict=True):
            key = (item.listed_run.task, item.listed_run.run)
            declared = item.profile.cpu_millis
            run = self._runs.get(key, _BestEffortRun(percent, now, percent, float(declared)))
            run.set_percent(percent, now)
            run.update_full_use(item.listed_run.gauge, declared, now)
            runs[key] = run
            demands.append(Demand(item.profile.image, run.full_use / max(1, cpu_millis)))
        self._runs = runs
        return demands

    def _update_budgets(
        self,
        latency_critical: Sequence[ColocatedRun],
        lagged: Mapping[str, float],
        current: Mapping[str, float],
        now: timedelta,
    ) -> list[Budget]:
        """Return by how much best-effort runs together may decrease the headroom of each service.

        :param lagged: share of the worker's processors that the tail latencies reflect, by image.
        :param current: share according to the current duty cycles, by image.
        """
        services = {}
        budgets = []
        for item in latency_critical:
            key = (item.listed_run.task, item.listed_run.run)
            image = item.profile.image
            service = services[key] = self._services.get(key) or _Service()
            interference = self._model.total_interference(lagged, image)
            service.headroom_filter.update(item.headroom, interference, item.listed_run.gauge, now)
            predicted = service.headroom_filter.predict(
                REACTION_TIME, self._model.total_interference(current, image)
            )
            margin = max(MIN_MARGIN, MARGIN_DEVIATIONS * predicted.deviation)
            budget = (predicted.isolated - 1 - margin) / predicted.scale
            if _is_certain_violation(service, item.headroom, now):
                budget = min(budget, VIOLATION_BACKOFF * interference)
            budgets.append((image, budget))
        self._services = services
        return budgets

    def _decreased(
        self,
        demands: Sequence[Demand],
        shares: Sequence[float],
        limits: Sequence[Budget],
        targets: Sequence[Budget],
        is_violated: bool,
    ) -> list[float]:
        """Return the shares after the decreases that the limits require.

        A share is decreased to its target, so that the next listing does not decrease it again.
        """
        highest, _ = self._allocate(demands, limits)
        wanted, _ = self._allocate(demands, targets)
        decreased = []
        for demand, share, limit, target in zip(demands, shares, highest, wanted, strict=True):
            if share - limit < demand.share * MIN_DECREASE_PERCENT / FULL_PERCENT:
                decreased.append(share)
                continue
            is_halted_at_once = is_violated or share * FULL_PERCENT < MIN_CUT_PERCENT * demand.share
            least = 0.0 if is_halted_at_once else MAX_CUT_FACTOR * share
            decreased.append(max(min(share, target), least))
        return decreased

    def _increased(
        self,
        demands: Sequence[Demand],
        shares: Sequence[float],
        targets: Sequence[Budget],
        now: timedelta,
    ) -> list[float]:
        """Return the shares after the increases that the unallocated headroom permits."""
        wanted, _ = self._allocate(demands, targets)
        increases = [
            Demand(demand.image, max(0.0, target - share))
            for demand, share, target in zip(demands, shares, wanted, strict=True)
        ]
        interval = MAX_STEP_TIME if self._updated_at is None else now - self._updated_at
        fraction = min(1.0, max(0.0, interval / MAX_STEP_TIME))
        steps = [
            (image, min(budget, fraction * budget))
            for image, budget in self._unallocated(targets, demands, shares)
        ]
        granted, _ = self._allocate(increases, steps)
        return [share + increase for share, increase in zip(shares, granted, strict=True)]

    def _allocate(
        self, demands: Sequence[Demand], budgets: Sequence[Budget]
    ) -> tuple[list[float], list[Budget]]:
        """Allocate headroom like `allocate_headroom`, and limit harmless images, too.

        They may use `HARMLESS_SLACK` more than the budgets.
        """
        remaining = list(budgets)
        shares = []
        for demand in demands:
            interferences = [self._model.interference(demand.image, image) for image, _ in budgets]
            share = demand.share
            for interference, (_, budget) in zip(interferences, remaining, strict=True):
                slack = HARMLESS_SLACK if interference <= NEGLIGIBLE_INTERFERENCE else 0.0
                if interference > 0:
                    share = min(share, max(0.0, budget + slack) / interference)
            shares.append(share)
            remaining = [
                (image, budget - interference * share)
                for interference, (image, budget) in zip(interferences, remaining, strict=True)
            ]
        return shares, remaining

    def _unallocated(
        self, budgets: Sequence[Budget], demands: Sequence[Demand], shares: Sequence[float]
    ) -> list[Budget]:
        """Return what the given shares leave of the budgets."""
        by_image = _by_image(demands, shares)
        return [
            (image, budget - self._model.total_interference(by_image, image))
            for image, budget in budgets
        ]


def demand_of(profile: RunProfile, cpu_millis: int) -> Demand:
    """Return the declared processor demand of a run on a worker.

    :param cpu_millis: processors of the worker, in thousandths of a core.
    """
    return Demand(profile.image, profile.cpu_millis / max(1, cpu_millis))


def _is_certain_violation(service: _Service, headroom: float, now: timedelta) -> bool:
    """Return whether a service violates its objective, and not only by the noise of one listing."""
    if headroom > 1:
        service.violated_since = None
        return False
    if service.violated_since is None:
        service.violated_since = now
    return (
        headroom < CERTAIN_VIOLATION_HEADROOM
        or now - service.violated_since >= VIOLATION_CONFIRMED_AFTER
    )


def _by_image(demands: Sequence[Demand], shares: Sequence[float]) -> dict[str, float]:
    """Return the sum of the shares of each image."""
    by_image: dict[str, float] = {}
    for demand, share in zip(demands, shares, strict=True):
        by_image[demand.image] = by_image.get(demand.image, 0.0) + share
    return by_image


def _percent_of(share: float, demand: Demand) -> int:
    """Return a share as a percentage of the demand, with small values rounded to 0."""
    if demand.share <= 0:
        return FULL_PERCENT
    percent = round(FULL_PERCENT * share / demand.share)
    return percent if percent >= MIN_PERCENT else 0


def _next_percent(percent: int, wanted: int) -> int:
    """Return the wanted duty cycle, or the current one if the change does not justify a call."""
    smallest = MIN_INCREASE_PERCENT if wanted > percent else MIN_DECREASE_PERCENT
    is_limit = wanted in (0, FULL_PERCENT)
    return wanted if is_limit or abs(wanted - percent) >= smallest else percent

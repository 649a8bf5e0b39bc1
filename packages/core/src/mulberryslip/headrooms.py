"""Estimates the interference of best-effort images with colocated services from tail latencies.

The headroom of a service is its latency objective divided by its tail latency; below 1 the service
violates its objective. Tail latency grows with 1 / (1 - load), so the headroom decreases linearly
with the processors that best-effort runs use on the same worker. The interference of a pair of
images is the decrease caused by best-effort runs that use the whole worker. It is 3 to 10 for about
half of the pairs and close to 0 for the others.
"""

import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta

import attrs

from .pair_estimates import HeadroomChange, IndependentEstimates, PairEstimates
from .runners import RunningRun, RunProfile

MAX_LISTING_INTERVAL = timedelta(seconds=1)
"""Maximum time between two run listings that are compared."""

MIN_SHARE_CHANGE = 0.01
"""Minimum change of the used share of a worker's processors from which interference is inferred."""

SATURATED_HEADROOM = 0.5
"""Headroom below which the request queue of a service keeps growing and the linear model no longer
holds. Such listings can only increase interference estimates."""

NEGLIGIBLE_INTERFERENCE = 1.0
"""Interference below which a best-effort image is not slowed down for a service. It is a third of
the smallest interference of the pairs that do interfere."""

BASELINE_TIME_CONSTANT = timedelta(seconds=8)
"""Averaging time of a service's baseline headroom: about half a cycle of its load."""

TAIL_TIME_CONSTANT = timedelta(milliseconds=450)
"""Time constant with which tail latencies follow the processor use of best-effort runs, determined
by comparing listings of all pairs."""


@attrs.frozen
class ColocatedRun:
    """A run and its profile.

    :param listed_run: the run as its worker lists it.
    :param profile: resource needs and objectives of the run.
    """

    listed_run: RunningRun
    profile: RunProfile

    @property
    def headroom(self) -> float | None:
        """Return the headroom of a latency-critical run, or None without a tail latency yet."""
        if not self.profile.target_ms or self.listed_run.gauge <= 0:
            return None
        return self.profile.target_ms / self.listed_run.gauge


@attrs.frozen
class ImageInterference:
    """Interference of a best-effort image with a latency-critical image.

    :param best_effort_image: best-effort image.
    :param latency_critical_image: latency-critical image.
    :param value: conservative estimate of the decrease of the headroom when the best-effort image
        uses a whole worker.
    """

    best_effort_image: str
    latency_critical_image: str
    value: float


@attrs.frozen
class InterferenceEstimate:
    """State of an interference estimate, from which another process can continue estimating.

    :param best_effort_image: best-effort image.
    :param latency_critical_image: latency-critical image.
    :param mean: decrease of the headroom when the best-effort image uses a whole worker.
    :param deviation: standard deviation of the mean.
    """

    best_effort_image: str
    latency_critical_image: str
    mean: float
    deviation: float


class LaggedShares:
    """Processor use of best-effort images with the lag at which tail latencies reflect it.

    An exponential moving average with time constant `TAIL_TIME_CONSTANT`.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._at: timedelta | None = None

    def update(self, used: Mapping[str, float], at: timedelta) -> dict[str, float]:
        """Add a sample and return the lagged shares.

        :param used: share of the worker's processors in use, by image.
        :param at: time of the sample.
        """
        age = timedelta.max if self._at is None else max(timedelta(), at - self._at)
        weight = 1 - math.exp(-(age / TAIL_TIME_CONSTANT))
        self._at = at
        lagged = {
            image: (before := self._shares.get(image, 0.0))
            + weight * (used.get(image, 0.0) - before)
            for image in self._shares.keys() | used.keys()
        }
        self._shares = {
            image: share
            for image, share in lagged.items()
            if image in used or share >= MIN_SHARE_CHANGE
        }
        return self._shares


@attrs.define
class _Listing:
    at: timedelta
    shares: dict[str, float]
    headrooms: dict[str, float]
    lowest_by_image: dict[str, float]


class InterferenceModel:
    """Estimates the interference of image pairs and the baseline headroom of services.

    Not thread-safe.

    """

    def __init__(self) -> None:
        self._pairs: PairEstimates = IndependentEstimates()
        self._received: dict[tuple[str, str], float] = {}
        self._last_listings: dict[str, _Listing] = {}
        self._lagged_shares: dict[str, LaggedShares] = {}
        self._baselines: dict[tuple[str, str], tuple[float, timedelta]] = {}

    def observe(
        self,
        worker_id: str,
        now: timedelta,
        colocated_runs: Sequence[ColocatedRun],
        cpu_millis: int,
    ) -> None:
        """Update the estimates from one run listing of a worker.

        :param now: monotonic time of the listing.
        :param colocated_runs: latency-critical and best-effort runs of the worker.
        :param cpu_millis: processors of the worker, in thousandths of a core.
        """
        lagged_shares = self._lagged_shares.setdefault(worker_id, LaggedShares())
        shares = lagged_shares.update(used_shares(colocated_runs, cpu_millis), now)
        latency_critical = [item for item in colocated_runs if item.headroom is not None]
        lowest_by_image: dict[str, float] = {}
        for colocated_run in latency_critical:
            image = colocated_run.profile.image
            lowest_by_image[image] = min(
                colocated_run.headroom, lowest_by_image.get(image, colocated_run.headroom)
            )
        listing = _Listing(
            now,
            shares,
            {item.listed_run.task: item.headroom for item in latency_critical},
            lowest_by_image,
        )
        before = self._last_listings.get(worker_id)
        self._last_listings[worker_id] = listing
        if before is not None and timedelta() < now - before.at <= MAX_LISTING_INTERVAL:
            self._pairs.observe(_changes_between(before, listing, latency_critical))
        for image, low in lowest_by_image.items():
            self._update_baseline(worker_id, image, low, shares, now)

    def use(self, estimates: PairEstimates, now: timedelta) -> None:
        """Estimate pairs by another rule from now on, starting from what is known."""
        known, self._pairs = self.estimates(), estimates
        self.restore(known, now)

    def accept_estimates(self, interferences: Iterable[ImageInterference]) -> None:
        """Accept estimates of another process; they take precedence over own estimates."""
        self._received.update(
            ((item.best_effort_image, item.latency_critical_image), item.value)
            for item in interferences
        )

    def interference(self, best_effort: str, latency_critical: str) -> float:
        """Return a conservative estimate of the interference of a pair.

        An estimate received from another process takes precedence.
        """
        received = self._received.get((best_effort, latency_critical))
        if received is not None:
            return received
        return self._pairs.conservative((best_effort, latency_critical))

    def total_interference(self, shares: Mapping[str, float], latency_critical: str) -> float:
        """Return by how much best-effort runs decrease the headroom of a latency-critical image.

        :param shares: share of the worker's processors that the runs use, by image.
        """
        return sum(
            self.interference(best_effort, latency_critical) * share
            for best_effort, share in shares.items()
        )

    def known_interferences(
        self, best_effort: Collection[str], latency_critical: Collection[str]
    ) -> list[ImageInterference]:
        """Return the sufficiently certain estimates for pairs of the given images."""
        return [
            ImageInterference(*pair, round(self._pairs.conservative(pair), 2))
            for pair in itertools.product(best_effort, latency_critical)
            if self._pairs.is_known(pair)
        ]

    def estimates(self) -> list[InterferenceEstimate]:
        """Return the sufficiently certain estimates, for `restore` in another process."""
        return [
            InterferenceEstimate(*pair, mean, deviation)
            for pair, (mean, deviation) in self._pairs.known().items()
        ]

    def restore(self, estimates: Iterable[InterferenceEstimate], now: timedelta) -> None:
        """Continue from the estimates of another process."""
        for known in estimates:
            self._pairs.restore(
                (known.best_effort_image, known.latency_critical_image),
                known.mean,
                known.deviation,
                now,
            )

    def baseline_headroom(self, worker_id: str, image: str) -> float | None:
        """Return the average headroom of an image on a worker as if no best-effort runs were there.

        None before the first listing.
        """
        baseline = self._baselines.get((worker_id, image))
        return baseline[0] if baseline is not None else None

    def lowest_headrooms(self, worker_id: str) -> dict[str, float]:
        """Return the lowest headroom of each image in the latest listing of a worker."""
        listing = self._last_listings.get(worker_id)
        return dict(listing.lowest_by_image) if listing is not None else {}

    def forget(self, worker_id: str) -> None:
        """Discard all state of a worker."""
        self._last_listings.pop(worker_id, None)
        self._lagged_shares.pop(worker_id, None)
        for key in [key for key in self._baselines if key[0] == worker_id]:
            del self._baselines[key]

    def _update_baseline(
        self, worker_id: str, image: str, headroom: float, shares: dict[str, float], now: timedelta
    ) -> None:
        isolated = headroom + sum(
            self._pairs.mean((best_effort, image)) * share for best_effort, share in shares.items()
        )
        known = self._baselines.get((worker_id, image))
        if known is None:
            self._baselines[worker_id, image] = (isolated, now)
            return
        baseline, at = known
        weight = min(1.0, max(timedelta(), now - at) / BASELINE_TIME_CONSTANT)
        self._baselines[worker_id, image] = (baseline + weight * (isolated - baseline), now)


def _changes_between(
    before: _Listing, listing: _Listing, latency_critical: Iterable[ColocatedRun]
) -> list[HeadroomChange]:
    """Return the changes of the headrooms of the runs that are in both listings of a worker.

    Empty unless the use of processors by a best-effort image has changed.
    """
    shares = {
        image: listing.shares.get(image, 0.0) - before.shares.get(image, 0.0)
        for image in listing.shares.keys() | before.shares.keys()
    }
    shares = {image: x for image, x in shares.items() if abs(x) >= MIN_SHARE_CHANGE}
    if not shares:
        return []
    headrooms = [
        (item.profile.image, before.headrooms[item.listed_run.task], item.headroom)
        for item in latency_critical
        if item.listed_run.task in before.headrooms
    ]
    return [
        HeadroomChange(
            image,
            earlier,
            later,
            shares,
            (listing.at - before.at).total_seconds(),
            min(earlier, later) < SATURATED_HEADROOM,
            listing.at,
        )
        for image, earlier, later in headrooms
    ]


def used_shares(colocated_runs: Iterable[ColocatedRun], cpu_millis: int) -> dict[str, float]:
    """Return the share of a worker's processors that best-effort runs use, by image."""
    shares: dict[str, float] = {}
    for colocated_run in colocated_runs:
        if colocated_run.profile.fills:
            image = colocated_run.profile.image
            used = colocated_run.listed_run.gauge / max(1, cpu_millis)
            shares[image] = shares.get(image, 0.0) + used
    return shares


@attrs.frozen
class Demand:
    """Processor demand of a best-effort image or run.

    :param share: share of the worker's processors that it could use.
    """

    image: str
    share: float


Budget = tuple[str, float]
"""A latency-critical image and the allowed decrease of its headroom."""


def allocate_headroom(
    demands: Iterable[Demand], budgets: Sequence[Budget], model: InterferenceModel
) -> tuple[list[float], list[Budget]]:
    """Allocate the headroom of services to best-effort images or runs, in the given order.

    :param demands: demands in order of precedence.
    :param budgets: headroom to allocate.
    :param model: model of the interference between images.
    :returns: the share of the worker's processors for each demand, and the remaining budgets.
    """
    remaining = [max(0.0, budget) for _, budget in budgets]
    shares = []
    for demand in demands:
        interferences = [
            model.interference(demand.image, latency_critical) for latency_critical, _ in budgets
        ]
        share = demand.share
        for interference, budget in zip(interferences, remaining, strict=True):
            if interference > NEGLIGIBLE_INTERFERENCE:
                share = min(share, budget / interference)
        shares.append(share)
        remaining = [
            max(0.0, budget - interference * share)
            for budget, interference in zip(remaining, interferences, strict=True)
        ]
    return shares, [
        (latency_critical, rest)
        for (latency_critical, _), rest in zip(budgets, remaining, strict=True)
    ]


def max_budget_fraction(image: str, budgets: Sequence[Budget], model: InterferenceModel) -> float:
    """Return the largest fraction of any budget that an image would use up on a whole worker."""
    return max(
        (
            model.interference(image, latency_critical) / max(0.01, budget)
            for latency_critical, budget in budgets
        ),
        default=0.0,
    )

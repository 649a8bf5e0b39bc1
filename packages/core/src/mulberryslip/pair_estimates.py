"""Estimates of the interference of pairs of images. This module performs no I/O.

The interference of a best-effort image with a latency-critical one is the decrease of the latter's
headroom when the former uses a whole worker. Both classes learn it from changes of a headroom
between two run listings.
"""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Protocol

import attrs

PRIOR_MEAN = 3.5
PRIOR_DEVIATION = 3.5
"""Mean and standard deviation of the interference of a pair without observations."""

PEAK_FACTOR = 1.2
"""Factor applied to the mean of an interference estimate. Interference fluctuates within seconds,
and its peaks harm the service."""

UNCERTAINTY_DEVIATIONS = 0.5
"""Standard deviations added to an interference estimate to allow for its uncertainty."""

VARIANCE_PER_S = 0.01
"""Variance added to an interference estimate per second, because interference changes with load."""

MAX_KNOWN_VARIANCE = 6.0
"""Variance below which an interference estimate is shared; half of the prior's variance."""

TAIL_NOISE = 0.12
"""Relative noise of a tail latency, which is a rough measurement over the last half second."""

HEADROOM_DRIFT_PER_S = 0.4
"""Change of a service's headroom per second due to its own load."""

JOINT_TAIL_NOISE = 0.06
JOINT_DRIFT_PER_S = 0.2
"""The same for joint estimates, in which the effects of other images do not count as noise."""

JOINT_PEAK_FACTOR = 1.3
JOINT_UNCERTAINTY_DEVIATIONS = 1.0
"""`PEAK_FACTOR` and `UNCERTAINTY_DEVIATIONS` for joint estimates. They are certain enough to keep
disturbing runs away from services, instead of slowing them down beside these."""

JOINT_VARIANCE_PER_S = 0.02

NEGLIGIBLE_MEAN = 0.5
NEGLIGIBLE_DEVIATION = 0.5
STRONG_MEAN = 9.0
STRONG_DEVIATION = 4.0
STRONG_SHARE = 0.25
"""Distributions of the interference of the two groups of pairs, from 0.3 to 1.5 and from 5 to 16,
and share of the second group."""

MAX_NEGLIGIBLE_MEAN = 0.95
"""Bound of the estimate of a pair of the first group, below `headrooms.NEGLIGIBLE_INTERFERENCE`, so
that its runs are not slowed down for a service that is within its objective."""

MIN_OBSERVED_PRECISION = 0.02
"""Precision below which observations do not tell the group of a pair."""

UNSEEN_MEAN = STRONG_SHARE * STRONG_MEAN + (1 - STRONG_SHARE) * NEGLIGIBLE_MEAN
"""Interference assumed for a pair without observations, its expected value: two or three listings
of runs beside the service show the group of the pair."""

MAX_STRONG_PROBABILITY = 0.1
"""Probability up to which a pair counts as one of the first group. A service over its objective
costs its users more than a slow best-effort run costs its caller."""

MAX_ERROR_DEVIATIONS = 3.0
"""Standard deviations to which the error of an observation is bounded: a burst of a service's own
load looks like interference."""

MAX_JOINT_IMAGES = 32
"""Most best-effort images for which the covariances with one latency-critical image are kept. An
update takes time with the square of their number."""

Pair = tuple[str, str]
"""A best-effort and a latency-critical image."""


@attrs.frozen
class HeadroomChange:
    """Change of the headroom of a latency-critical image on a worker between two listings.

    :param shares: changes of the shares of the worker's processors that best-effort images use; not
        empty, and none is 0.
    :param is_saturated: whether the change can only show that the images interfere.
    :param at: monotonic time of the later listing.
    """

    latency_critical: str
    earlier: float
    later: float
    shares: Mapping[str, float]
    seconds: float
    is_saturated: bool
    at: timedelta

    def variance(self, tail_noise: float, drift_per_s: float) -> float:
        """Return the variance of the change that no interference explains.

        :param tail_noise: relative noise of a tail latency.
        :param drift_per_s: change per second due to the service's own load.
        """
        noise = tail_noise**2 * (self.earlier**2 + self.later**2)
        return noise + (drift_per_s * self.seconds) ** 2


class PairEstimates(Protocol):
    """Estimates of the interference of all pairs."""

    def observe(self, changes: Iterable[HeadroomChange]) -> None:
        """Update the estimates from the changes on one worker between two listings."""

    def mean(self, pair: Pair) -> float:
        """Return the expected interference of a pair."""

    def conservative(self, pair: Pair) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""

    def is_known(self, pair: Pair) -> bool:
        """Return whether the estimate of a pair is certain enough for other processes."""

    def known(self) -> dict[Pair, tuple[float, float]]:
        """Return mean and standard deviation of all known estimates."""

    def restore(self, pair: Pair, mean: float, deviation: float, now: timedelta) -> None:
        """Continue from the estimate of another process."""


@attrs.define
class _Estimate:
    mean: float = PRIOR_MEAN
    variance: float = PRIOR_DEVIATION**2
    updated: timedelta = timedelta()

    def add_uncertainty(self, now: timedelta) -> None:
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(PRIOR_DEVIATION**2, self.variance + VARIANCE_PER_S * age)
        self.updated = max(now, self.updated)


class IndependentEstimates:
    """Estimates each pair for itself: a Kalman filter without covariances."""

    def __init__(self) -> None:
        self._pairs: dict[Pair, _Estimate] = {}

    def observe(self, changes: Iterable[HeadroomChange]) -> None:
        """Update the estimates from the changes on one worker between two listings."""
        for change in changes:
            self._observe(change)

    def _observe(self, change: HeadroomChange) -> None:
        pairs = {
            image: self._pairs.setdefault(
                (image, change.latency_critical), _Estimate(updated=change.at)
            )
            for image in change.shares
        }
        for estimate in pairs.values():
            estimate.add_uncertainty(change.at)
        noise = change.variance(TAIL_NOISE, HEADROOM_DRIFT_PER_S)
        error = (
            change.earlier
            - change.later
            - sum(pairs[image].mean * x for image, x in change.shares.items())
        )
        spread = noise + sum(pairs[image].variance * x * x for image, x in change.shares.items())
        for image, x in change.shares.items():
            estimate = pairs[image]
            gain = estimate.variance * x / spread
            if change.is_saturated and gain * error <= 0:
                continue
            estimate.mean = max(0.0, estimate.mean + gain * error)
            estimate.variance *= 1 - gain * x

    def mean(self, pair: Pair) -> float:
        """Return the expected interference of a pair."""
        return self._pairs.get(pair, _Estimate()).mean

    def conservative(self, pair: Pair) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""
        estimate = self._pairs.get(pair, _Estimate())
        return PEAK_FACTOR * estimate.mean + UNCERTAINTY_DEVIATIONS * estimate.variance**0.5

    def is_known(self, pair: Pair) -> bool:
        """Return whether the estimate of a pair is certain enough for other processes."""
        estimate = self._pairs.get(pair)
        return estimate is not None and estimate.variance < MAX_KNOWN_VARIANCE

    def known(self) -> dict[Pair, tuple[float, float]]:
        """Return mean and standard deviation of all known estimates."""
        return {
            pair: (estimate.mean, estimate.variance**0.5)
            for pair, estimate in self._pairs.items()
            if self.is_known(pair)
        }

    def restore(self, pair: Pair, mean: float, deviation: float, now: timedelta) -> None:
        """Continue from the estimate of another process."""
        self._pairs[pair] = _Estimate(mean, min(PRIOR_DEVIATION, deviation) ** 2, now)


class _JointFilter:
    """Kalman filter for the interference of all best-effort images with one latency-critical image.

    :ivar means: expected interference by best-effort image, in the order of the last change.
    """

    def __init__(self, now: timedelta) -> None:
        self.means: dict[str, float] = {}
        self._covariances: dict[str, dict[str, float]] = {}
        self._at = now

    def variance(self, image: str) -> float:
        """Return the variance of an image's interference."""
        return self._covariances[image][image]

    def set(self, image: str, mean: float, variance: float) -> None:
        """Set the estimate of an image, independent of the others."""
        if image not in self.means and len(self.means) >= MAX_JOINT_IMAGES:
            self._drop(next(iter(self.means)))
        self.means.pop(image, None)
        self.means[image] = mean
        for other in self.means:
            self._covariances.setdefault(image, {})[other] = 0.0
            self._covariances[other][image] = 0.0
        self._covariances[image][image] = variance

    def update(
        self, shares: Mapping[str, float], decrease: float, noise: float, only_increase: bool
    ) -> None:
        """Update the estimates from one change of the headroom.

        :param shares: changes of the shares of the images.
        :param noise: variance of `decrease` that no interference explains.
        """
        for image in shares:
            if image not in self.means:
                self.set(image, PRIOR_MEAN, PRIOR_DEVIATION**2)
        if len(shares) > MAX_JOINT_IMAGES:
            return
        projected = {
            image: sum(row[other] * x for other, x in shares.items())
            for image, row in self._covariances.items()
        }
        spread = noise + sum(projected[image] * x for image, x in shares.items())
        error = decrease - sum(self.means[image] * x for image, x in shares.items())
        bound = MAX_ERROR_DEVIATIONS * spread**0.5
        error = max(-bound, min(bound, error))
        if only_increase and error * sum(shares.values()) <= 0:
            return
        for image, value in projected.items():
            gain = value / spread
            if not gain:
                continue
            self.means[image] += gain * error
            row = self._covariances[image]
            for other, other_value in projected.items():
                row[other] -= gain * other_value

    def add_uncertainty(self, now: timedelta) -> None:
        """Add the uncertainty that has grown since the last update."""
        age = max(0.0, (now - self._at).total_seconds())
        self._at = max(now, self._at)
        for image, row in self._covariances.items():
            row[image] = min(PRIOR_DEVIATION**2, row[image] + JOINT_VARIANCE_PER_S * age)

    def _drop(self, image: str) -> None:
        del self.means[image], self._covariances[image]
        for row in self._covariances.values():
            del row[image]


class JointEstimates:
    """Estimates the interference of all best-effort images with a latency-critical one together.

    Load pattern: best-effort tasks of many images arrive in wide steps, and each worker hosts
    services of several images. When runs of several images start, stop or are throttled together,
    independent estimates share the effect of one image out to all, so that harmless images are
    throttled and disturbing ones are not.
    """

    def __init__(self) -> None:
        self._filters: dict[str, _JointFilter] = {}
        # By latency-critical and best-effort image, until the next observation of the former:
        # a placement round asks for each pair hundreds of times.
        self._conservative: dict[str, dict[str, float]] = {}

    def observe(self, changes: Iterable[HeadroomChange]) -> None:
        """Update the estimates from the changes on one worker between two listings."""
        by_image: dict[str, list[HeadroomChange]] = {}
        for change in changes:
            by_image.setdefault(change.latency_critical, []).append(change)
        for image, same in by_image.items():
            joint = self._filter(image, same[0].at)
            joint.add_uncertainty(same[0].at)
            # The tasks of an image on a worker are disturbed alike: their mean has less noise.
            joint.update(
                same[0].shares,
                sum(change.earlier - change.later for change in same) / len(same),
                sum(change.variance(JOINT_TAIL_NOISE, JOINT_DRIFT_PER_S) for change in same)
                / len(same) ** 2,
                any(change.is_saturated for change in same),
            )

    def mean(self, pair: Pair) -> float:
        """Return the expected interference of a pair."""
        return max(0.0, self._estimate(pair)[0])

    def conservative(self, pair: Pair) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""
        best_effort, latency_critical = pair
        cached = self._conservative.setdefault(latency_critical, {})
        if best_effort not in cached:
            mean, deviation, is_strong = _classified(*self._estimate(pair))
            cached[best_effort] = (
                JOINT_PEAK_FACTOR * mean + JOINT_UNCERTAINTY_DEVIATIONS * deviation
                if is_strong
                else min(mean, MAX_NEGLIGIBLE_MEAN)
            )
        return cached[best_effort]

    def is_known(self, pair: Pair) -> bool:
        """Return whether the estimate of a pair is certain enough for other processes."""
        # Agents would otherwise assume more for a pair than the owner does.
        return True

    def known(self) -> dict[Pair, tuple[float, float]]:
        """Return mean and standard deviation of all known estimates."""
        return {
            (best_effort, latency_critical): (max(0.0, mean), deviation)
            for latency_critical, joint in self._filters.items()
            for best_effort in joint.means
            for mean, deviation in [self._estimate((best_effort, latency_critical))]
            if deviation**2 < MAX_KNOWN_VARIANCE
        }

    def restore(self, pair: Pair, mean: float, deviation: float, now: timedelta) -> None:
        """Continue from the estimate of another process."""
        self._filter(pair[1], now).set(pair[0], mean, min(PRIOR_DEVIATION, deviation) ** 2)

    def _filter(self, latency_critical: str, now: timedelta) -> _JointFilter:
        """Return the filter of an image that is about to change."""
        self._conservative.pop(latency_critical, None)
        return self._filters.setdefault(latency_critical, _JointFilter(now))

    def _estimate(self, pair: Pair) -> tuple[float, float]:
        best_effort, latency_critical = pair
        joint = self._filters.get(latency_critical)
        if joint is None or best_effort not in joint.means:
            return PRIOR_MEAN, PRIOR_DEVIATION
        return joint.means[best_effort], max(0.0, joint.variance(best_effort)) ** 0.5


def _classified(mean: float, deviation: float) -> tuple[float, float, bool]:
    """Return mean and standard deviation of an estimate, given that pairs form two groups.

    Also tells whether the pair counts as one of the group that interferes strongly. The estimate is
    split into the prior of the filter and what the observations say.
    """
    precision = 1 / max(0.01, deviation) ** 2
    observed_precision = precision - 1 / PRIOR_DEVIATION**2
    if observed_precision < MIN_OBSERVED_PRECISION:
        return UNSEEN_MEAN, 0.0, True
    observed = (mean * precision - PRIOR_MEAN / PRIOR_DEVIATION**2) / observed_precision
    variance = 1 / observed_precision
    strong = STRONG_SHARE * _density(observed - STRONG_MEAN, STRONG_DEVIATION**2 + variance)
    negligible = (1 - STRONG_SHARE) * _density(
        observed - NEGLIGIBLE_MEAN, NEGLIGIBLE_DEVIATION**2 + variance
    )
    is_strong = strong > MAX_STRONG_PROBABILITY * (strong + negligible)
    group_mean, group_deviation = (
        (STRONG_MEAN, STRONG_DEVIATION) if is_strong else (NEGLIGIBLE_MEAN, NEGLIGIBLE_DEVIATION)
    )
    group_precision = 1 / group_deviation**2
    total = group_precision + observed_precision
    combined = (group_mean * group_precision + observed * observed_precision) / total
    return max(0.0, combined), total**-0.5, is_strong


def _density(error: float, variance: float) -> float:
    """Return the density of a normal distribution, up to a constant."""
    return math.exp(-0.5 * error * error / variance) / variance**0.5

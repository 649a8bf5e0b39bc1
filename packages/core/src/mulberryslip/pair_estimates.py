"""Estimates of the interference of one pair of images. This module performs no I/O.

The interference of a best-effort image with a latency-critical one is the decrease of the latter's
headroom when the former uses a whole worker. Both rules update an estimate from the change of a
headroom between two run listings.
"""

import math
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

NEGLIGIBLE_MEAN = 0.5
NEGLIGIBLE_DEVIATION = 0.5
"""Interference of pairs that hardly interfere: 0.3 to 1.5 in listings of 14 workers."""

MAX_NEGLIGIBLE_MEAN = 0.95
"""Bound of the estimate for such a pair, below `headrooms.NEGLIGIBLE_INTERFERENCE`."""

STRONG_MEAN = 9.0
STRONG_DEVIATION = 4.0
"""Interference of the other pairs: 5 to 16 in the same listings."""

MIN_STRONG_MEAN = 3.0

STRONG_PRIOR = 0.3
"""Probability that a pair without observations interferes strongly."""

MAX_LOG_ODDS = 6.0
"""Bound of the log odds, so that a pair whose interference changes is soon classified again."""

MAX_LOG_ODDS_STEP = 2.0
"""Bound of the change by one observation: a change of the service's own load within one interval
can look like interference."""

STRONG_PROBABILITY = 0.1
"""Probability above which a pair counts as strong. A service over its objective costs its users
more than a best-effort run that is slowed down for a few seconds costs its caller."""

STRONG_VARIANCE_PER_S = 0.05
"""Variance added per second to the estimate of a strong pair."""

SEPARATED_TAIL_NOISE = 0.06
SEPARATED_DRIFT_PER_S = 0.2
"""Noise and drift assumed while pairs are classified. The residuals of a fit of 27,000 pairs of
listings were half of `TAIL_NOISE` and `HEADROOM_DRIFT_PER_S`."""


class PairEstimate(Protocol):
    """Estimate of the interference of one pair of images.

    :param mean: expected interference.
    :param variance: variance of the interference.
    """

    mean: float
    variance: float

    @classmethod
    def restored(cls, mean: float, deviation: float, now: timedelta) -> "PairEstimate":
        """Continue from the estimate of another process."""

    @staticmethod
    def noise(earlier: float, later: float, seconds: float) -> float:
        """Return the variance of the change between two headrooms without interference."""

    def add_uncertainty(self, now: timedelta) -> None:
        """Add the uncertainty that has grown since the last update."""

    def observe(self, decrease: float, share: float, noise: float, only_increase: bool) -> None:
        """Update the estimate.

        :param decrease: decrease of the headroom that other images do not explain.
        :param share: change of the image's share of the worker's processors; not 0.
        :param noise: variance of `decrease` that this pair does not explain.
        :param only_increase: whether the observation can only raise the estimate.
        """

    def conservative(self) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""

    @property
    def is_known(self) -> bool:
        """Return whether the estimate is certain enough for other processes."""


def headroom_variance(
    tail_noise: float, drift_per_s: float, earlier: float, later: float, seconds: float
) -> float:
    """Return the variance of the change between two headrooms without interference."""
    return tail_noise**2 * (earlier**2 + later**2) + (drift_per_s * seconds) ** 2


@attrs.define
class NormalEstimate:
    """One normal distribution for all pairs: a Kalman filter without covariances."""

    mean: float = PRIOR_MEAN
    variance: float = PRIOR_DEVIATION**2
    updated: timedelta = timedelta()

    @classmethod
    def restored(cls, mean: float, deviation: float, now: timedelta) -> "NormalEstimate":
        """Continue from the estimate of another process."""
        return cls(mean, min(PRIOR_DEVIATION, deviation) ** 2, now)

    @staticmethod
    def noise(earlier: float, later: float, seconds: float) -> float:
        """Return the variance of the change between two headrooms without interference."""
        return headroom_variance(TAIL_NOISE, HEADROOM_DRIFT_PER_S, earlier, later, seconds)

    def add_uncertainty(self, now: timedelta) -> None:
        """Add the uncertainty that has grown since the last update."""
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(PRIOR_DEVIATION**2, self.variance + VARIANCE_PER_S * age)
        self.updated = max(now, self.updated)

    def observe(self, decrease: float, share: float, noise: float, only_increase: bool) -> None:
        """Update the estimate, see `PairEstimate`."""
        gain = self.variance * share / (noise + self.variance * share * share)
        error = decrease - self.mean * share
        if only_increase and gain * error <= 0:
            return
        self.mean = max(0.0, self.mean + gain * error)
        self.variance *= 1 - gain * share

    def conservative(self) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""
        return PEAK_FACTOR * self.mean + UNCERTAINTY_DEVIATIONS * self.variance**0.5

    @property
    def is_known(self) -> bool:
        """Return whether the estimate is certain enough for other processes."""
        return self.variance < MAX_KNOWN_VARIANCE


@attrs.define
class SeparatedEstimate:
    """Classifies a pair as interfering strongly or hardly: a mixture of two normal distributions.

    Load pattern: best-effort tasks of many images arrive in wide steps, and each worker hosts
    services of several images. Most pairs of images hardly interfere, and the others take up a
    service's whole headroom with a tenth of a worker. One distribution for all puts a harmless pair
    in between, so that its runs are slowed down for no reason.

    :param log_odds: logarithm of the odds that the pair interferes strongly.
    :param strong_mean: interference if it does.
    :param strong_variance: variance of `strong_mean`.
    :param negligible_mean: interference if it does not.
    :param negligible_variance: variance of `negligible_mean`.
    """

    log_odds: float = math.log(STRONG_PRIOR / (1 - STRONG_PRIOR))
    strong_mean: float = STRONG_MEAN
    strong_variance: float = STRONG_DEVIATION**2
    negligible_mean: float = NEGLIGIBLE_MEAN
    negligible_variance: float = NEGLIGIBLE_DEVIATION**2
    updated: timedelta = timedelta()

    @classmethod
    def restored(cls, mean: float, deviation: float, now: timedelta) -> "SeparatedEstimate":
        """Continue from the estimate of another process."""
        estimate = cls(updated=now)
        probability = (mean - NEGLIGIBLE_MEAN) / (STRONG_MEAN - NEGLIGIBLE_MEAN)
        if probability > 0.5:
            estimate.strong_mean = max(MIN_STRONG_MEAN, mean)
            estimate.strong_variance = min(STRONG_DEVIATION, deviation) ** 2
        estimate.log_odds = _bounded(
            math.log(max(probability, 1e-3) / max(1 - probability, 1e-3)), MAX_LOG_ODDS
        )
        return estimate

    @staticmethod
    def noise(earlier: float, later: float, seconds: float) -> float:
        """Return the variance of the change between two headrooms without interference."""
        return headroom_variance(
            SEPARATED_TAIL_NOISE, SEPARATED_DRIFT_PER_S, earlier, later, seconds
        )

    @property
    def strong_probability(self) -> float:
        """Return the probability that the pair interferes strongly."""
        return 1 / (1 + math.exp(-self.log_odds))

    @property
    def mean(self) -> float:
        """Return the expected interference."""
        probability = self.strong_probability
        return probability * self.strong_mean + (1 - probability) * self.negligible_mean

    @property
    def variance(self) -> float:
        """Return the variance of the interference."""
        probability = self.strong_probability
        second_moment = probability * (self.strong_variance + self.strong_mean**2)
        second_moment += (1 - probability) * (self.negligible_variance + self.negligible_mean**2)
        return max(0.0, second_moment - self.mean**2)

    def add_uncertainty(self, now: timedelta) -> None:
        """Add the uncertainty that has grown since the last update."""
        age = max(0.0, (now - self.updated).total_seconds())
        self.strong_variance = min(
            STRONG_DEVIATION**2, self.strong_variance + STRONG_VARIANCE_PER_S * age
        )
        self.updated = max(now, self.updated)

    def observe(self, decrease: float, share: float, noise: float, only_increase: bool) -> None:
        """Update the estimate, see `PairEstimate`."""
        strong = _Component(self.strong_mean, self.strong_variance, share, noise)
        negligible = _Component(self.negligible_mean, self.negligible_variance, share, noise)
        step = strong.log_likelihood(decrease) - negligible.log_likelihood(decrease)
        if only_increase and step <= 0:
            return
        self.log_odds = _bounded(self.log_odds + _bounded(step, MAX_LOG_ODDS_STEP), MAX_LOG_ODDS)
        probability = self.strong_probability
        self.strong_mean, self.strong_variance = strong.updated(decrease, probability)
        self.strong_mean = max(MIN_STRONG_MEAN, self.strong_mean)
        self.negligible_mean, self.negligible_variance = negligible.updated(
            decrease, 1 - probability
        )
        self.negligible_mean = min(MAX_NEGLIGIBLE_MEAN, max(0.0, self.negligible_mean))

    def conservative(self) -> float:
        """Return an estimate that allows for fluctuations and uncertainty."""
        if self.strong_probability <= STRONG_PROBABILITY:
            return self.negligible_mean
        return PEAK_FACTOR * self.strong_mean + UNCERTAINTY_DEVIATIONS * self.strong_variance**0.5

    @property
    def is_known(self) -> bool:
        """Return whether the estimate is certain enough for other processes."""
        return True


@attrs.frozen
class _Component:
    """One of the two normal distributions of a `SeparatedEstimate`, and an observation."""

    mean: float
    variance: float
    share: float
    noise: float

    def log_likelihood(self, decrease: float) -> float:
        """Return the logarithm of the observation's likelihood, up to a constant."""
        error = decrease - self.mean * self.share
        return -0.5 * (math.log(self._spread) + error * error / self._spread)

    def updated(self, decrease: float, weight: float) -> tuple[float, float]:
        """Return mean and variance after the observation, which belongs here with a probability."""
        gain = weight * self.variance * self.share / self._spread
        error = decrease - self.mean * self.share
        return self.mean + gain * error, self.variance * (1 - gain * self.share)

    @property
    def _spread(self) -> float:
        return self.noise + self.variance * self.share * self.share


def _bounded(value: float, bound: float) -> float:
    return max(-bound, min(bound, value))

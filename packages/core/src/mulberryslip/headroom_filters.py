"""Filters listed headrooms and predicts the headroom of a service. This module performs no I/O.

A listing shows the headroom of a service with noise, and the interference of best-effort runs is
known only as an estimate. A Kalman filter over the listings tracks the headroom that the service
would have without best-effort runs, the trend of it, and the ratio of the actual interference to
the estimated one. The standard deviation of its prediction is the margin that lag and drift
require.
"""

from datetime import timedelta

import attrs

TAIL_NOISE = 0.06
"""Relative noise of a listed tail latency, according to listings of a data centre."""

TAIL_WINDOW = timedelta(milliseconds=500)
"""Time over which a worker measures a tail latency. Listings in shorter succession measure the same
requests again, so that each counts for less."""

INITIAL_LEVEL_DEVIATION = 1.0
"""Standard deviation of the headroom without best-effort runs before the first listing; these
headrooms lie between 1.6 and 3.9."""

INITIAL_TREND_DEVIATION = 0.3
"""Standard deviation of the trend per second before the second listing; the load changes the
headroom by up to 0.4 per second."""

MAX_TREND_PER_S = 0.6
"""Limit of the trend. Faster changes are misjudged interference or a queue that builds up or
drains, neither of which continues."""

TREND_VARIANCE_PER_S = 0.1
"""Variance added to the trend per second. A load that swings by half within 14 s changes the trend
by up to 0.18 per second for about a quarter of that time."""

TREND_TIME_CONSTANT_S = 5.0
"""Time constant in seconds with which a trend decays; about a third of the period of the load."""

SCALE_DEVIATION = 0.4
"""Initial standard deviation of the ratio of the actual interference to the estimated one."""

SCALE_VARIANCE_PER_S = 0.01
"""Variance added to this ratio per second, as runs of other images follow."""

MIN_SCALE, MAX_SCALE = 0.5, 2.0
"""Limits of this ratio. Interference estimates are off by up to a factor of two; the ratio of the
runs of one moment must not let runs of another image use far more than their estimate allows."""

MAX_UPDATE_INTERVAL = timedelta(seconds=5)
"""Time without a listing after which earlier ones say nothing about the current load."""

_LEVEL, _TREND, _SCALE = range(3)


@attrs.frozen
class Prediction:
    """Predicted headroom of a service.

    :param isolated: headroom without best-effort runs.
    :param scale: ratio of the actual interference to the estimated one.
    :param deviation: standard deviation of the headroom at the planned interference.
    """

    isolated: float
    scale: float
    deviation: float


class HeadroomFilter:
    """Tracks the headroom that one run of a service would have without best-effort runs."""

    def __init__(self) -> None:
        self._at: timedelta | None = None
        self._reset()

    def update(self, headroom: float, interference: float, tail_ms: int, at: timedelta) -> None:
        """Add a listing. One that is not newer than the latest is ignored.

        :param headroom: listed headroom, which is the latency objective divided by `tail_ms`.
        :param interference: estimated decrease of the headroom by best-effort runs.
        :param tail_ms: tail latency in milliseconds.
        :param at: time of the listing.
        """
        if self._at is not None and at <= self._at:
            return
        interval = TAIL_WINDOW
        if self._at is None or at - self._at > MAX_UPDATE_INTERVAL:
            self._reset()
            self._state[_LEVEL] = headroom + interference
        else:
            interval = at - self._at
            self._state, self._covariance = self._extrapolated(interval.total_seconds())
        self._at = at
        noise = _noise_variance(headroom, tail_ms) * max(1.0, TAIL_WINDOW / interval)
        model = (1.0, 0.0, -interference)
        products = [_dot(row, model) for row in self._covariance]
        spread = noise + _dot(products, model)
        gains = [product / spread for product in products]
        error = headroom - _dot(self._state, model)
        level, trend, scale = (
            value + gain * error for value, gain in zip(self._state, gains, strict=True)
        )
        self._state = [
            level,
            min(MAX_TREND_PER_S, max(-MAX_TREND_PER_S, trend)),
            min(MAX_SCALE, max(MIN_SCALE, scale)),
        ]
        self._covariance = [
            [value - gain * product for value, product in zip(row, products, strict=True)]
            for row, gain in zip(self._covariance, gains, strict=True)
        ]

    def predict(self, horizon: timedelta, interference: float) -> Prediction:
        """Return the headroom some time after the latest listing.

        :param horizon: that time.
        :param interference: planned decrease of the headroom by best-effort runs, as estimated.
        """
        state, covariance = self._extrapolated(horizon.total_seconds())
        model = (1.0, 0.0, -interference)
        variance = _dot([_dot(row, model) for row in covariance], model)
        return Prediction(state[_LEVEL], state[_SCALE], max(0.0, variance) ** 0.5)

    def _reset(self) -> None:
        self._state = [0.0, 0.0, 1.0]
        self._covariance = [
            [INITIAL_LEVEL_DEVIATION**2, 0.0, 0.0],
            [0.0, INITIAL_TREND_DEVIATION**2, 0.0],
            [0.0, 0.0, SCALE_DEVIATION**2],
        ]

    def _extrapolated(self, seconds: float) -> tuple[list[float], list[list[float]]]:
        """Return the state and its covariance matrix after a time."""
        level, trend, scale = self._state
        level_row, trend_row, scale_row = self._covariance
        # The trend decays while it changes the level: the mean of its first and last value.
        decay = max(0.0, 1 - seconds / TREND_TIME_CONSTANT_S)
        gain = seconds * (1 + decay) / 2
        added = TREND_VARIANCE_PER_S * seconds
        level_level = (
            level_row[_LEVEL]
            + 2 * gain * level_row[_TREND]
            + gain**2 * trend_row[_TREND]
            + added * seconds**2 / 3
        )
        level_trend = decay * (level_row[_TREND] + gain * trend_row[_TREND]) + added * seconds / 2
        level_scale = level_row[_SCALE] + gain * trend_row[_SCALE]
        trend_trend = decay**2 * trend_row[_TREND] + added
        trend_scale = decay * trend_row[_SCALE]
        scale_scale = scale_row[_SCALE] + SCALE_VARIANCE_PER_S * seconds
        return [level + gain * trend, decay * trend, scale], [
            [level_level, level_trend, level_scale],
            [level_trend, trend_trend, trend_scale],
            [level_scale, trend_scale, scale_scale],
        ]


def _dot(left: list[float], right: tuple[float, ...]) -> float:
    return sum(x * y for x, y in zip(left, right, strict=True))


def _noise_variance(headroom: float, tail_ms: int) -> float:
    """Return the variance of a listed headroom; tail latencies are listed in milliseconds."""
    rounding_variance = 1 / (12 * tail_ms**2)
    return headroom**2 * (TAIL_NOISE**2 + rounding_variance)

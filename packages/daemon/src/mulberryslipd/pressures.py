"""Pressure of a worker's target, and throttling of batch tasks in response to it."""

import threading
from collections.abc import Callable
from datetime import timedelta

from hdrh.histogram import HdrHistogram
from mulberryslip.clocks import Clock

WINDOW = timedelta(seconds=10)
WINDOW_PARTS = 5
# Every reply contains the pressure, and merging one template's histograms takes 0.4 ms.
PRESSURE_CACHE_TTL = timedelta(milliseconds=250)
MIN_SAMPLES = 20
TAIL_PERCENTILE = 99.0
MAX_SERVICE_TIME_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)
FULL_PERMILLE = 1000
# The tail latency shows the effect of a step only after part of the window has passed.
STEP_DOWN_INTERVAL = timedelta(seconds=2)
STEP_UP_INTERVAL = timedelta(seconds=5)
# Lower than the throttling threshold (hysteresis), so that a small change of the tail latency does
# not throttle and release tasks in turn.
RELEASE_PRESSURE_PERMILLE = 800
THROTTLE_STEPS_PERMILLE = (1000, 750, 500, 250)


class _LatencyWindow:
    """Response times of one template in a sliding window, one histogram for each part."""

    def __init__(self):
        self._parts: dict[int, HdrHistogram] = {}

    def record(self, part: int, value_us: int) -> None:
        if part not in self._parts:
            self._parts[part] = HdrHistogram(1, MAX_SERVICE_TIME_US, SIGNIFICANT_DIGITS)
        self._parts[part].record_value(max(1, min(value_us, MAX_SERVICE_TIME_US)))

    def tail_us(self, part: int) -> int | None:
        """Return the tail latency of the window up to a part; None with too few samples."""
        self._parts = {key: h for key, h in self._parts.items() if key > part - WINDOW_PARTS}
        total = HdrHistogram(1, MAX_SERVICE_TIME_US, SIGNIFICANT_DIGITS)
        for histogram in self._parts.values():
            total.add(histogram)
        if total.get_total_count() < MIN_SAMPLES:
            return None
        return int(total.get_value_at_percentile(TAIL_PERCENTILE))


class PressureGauge:
    """Measures the target's tail latency relative to the templates' latency objectives.

    :param objective: returns a template's latency objective, or None when it has none.
    :param clock: source of time.
    """

    def __init__(self, objective: Callable[[str], timedelta | None], clock: Clock):
        self._objective = objective
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[str, _LatencyWindow] = {}
        self._cached_permille = 0
        self._cached_until = clock.monotonic()

    def record(self, template: str, duration: timedelta) -> None:
        """Record one response time; for a missed deadline, the time waited."""
        with self._lock:
            window = self._windows.setdefault(template, _LatencyWindow())
            window.record(self._part(), duration // MICROSECOND)

    def permille(self) -> int:
        """Return the highest ratio of tail latency to objective, in permille, over all templates.

        At 1000 the tail latency equals the objective.
        """
        with self._lock:
            now = self._clock.monotonic()
            if now >= self._cached_until:
                ratios = [self._ratio(name, window) for name, window in self._windows.items()]
                self._cached_permille = max(ratios, default=0)
                self._cached_until = now + PRESSURE_CACHE_TTL
            return self._cached_permille

    def _ratio(self, template: str, window: _LatencyWindow) -> int:
        objective = self._objective(template)
        tail_us = window.tail_us(self._part())
        if objective is None or tail_us is None:
            return 0
        return round(tail_us * FULL_PERMILLE / (objective / MICROSECOND))

    def _part(self) -> int:
        return int(self._clock.monotonic() // (WINDOW / WINDOW_PARTS))


class ThrottleController:
    """Controls the processor time of batch tasks in steps with hysteresis."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._step = 0
        self._changed_at = clock.monotonic() - STEP_UP_INTERVAL

    def update(self, pressure_permille: int) -> int:
        """Update the step from the current pressure.

        :returns: processor time, in permille, to which batch tasks are limited; 1000 is no limit.
        """
        now = self._clock.monotonic()
        elapsed = now - self._changed_at
        last_step = len(THROTTLE_STEPS_PERMILLE) - 1
        if pressure_permille > FULL_PERMILLE:
            if self._step < last_step and elapsed >= STEP_DOWN_INTERVAL:
                self._change_step(1, now)
        elif (
            pressure_permille < RELEASE_PRESSURE_PERMILLE
            and self._step
            and elapsed >= STEP_UP_INTERVAL
        ):
            self._change_step(-1, now)
        return THROTTLE_STEPS_PERMILLE[self._step]

    def _change_step(self, steps: int, now: timedelta) -> None:
        self._step += steps
        self._changed_at = now

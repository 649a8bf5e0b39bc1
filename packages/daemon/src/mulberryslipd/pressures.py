"""Pressure on a worker's target, and the throttling of batch tasks that it causes."""

import threading
from collections.abc import Callable
from datetime import timedelta

from hdrh.histogram import HdrHistogram
from mulberryslip.clocks import Clock

WINDOW = timedelta(seconds=10)
WINDOW_PARTS = 5
# Every reply carries the pressure, and merging one template's histograms takes 0.4 ms.
CACHE_TIME = timedelta(milliseconds=250)
MIN_SAMPLES = 20
TAIL_PERCENTILE = 99.0
MAX_SERVICE_TIME_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)
FULL_PERMILLE = 1000
# A step takes effect in the tail only after part of the window has passed.
STEP_DOWN_INTERVAL = timedelta(seconds=2)
STEP_UP_INTERVAL = timedelta(seconds=5)
# Hysteresis keeps tasks from being throttled and released at every small change of the tail.
RELEASE_PERMILLE = 800
THROTTLE_STEPS = (1000, 750, 500, 250)


class _Window:
    """Answer times of one template in parts of the sliding window."""

    def __init__(self):
        self._parts: dict[int, HdrHistogram] = {}

    def record(self, part: int, value_us: int) -> None:
        if part not in self._parts:
            self._parts[part] = HdrHistogram(1, MAX_SERVICE_TIME_US, SIGNIFICANT_DIGITS)
        self._parts[part].record_value(max(1, min(value_us, MAX_SERVICE_TIME_US)))

    def tail_us(self, part: int) -> int | None:
        """Return the tail of the window that ends with a part; None with too few samples."""
        self._parts = {key: h for key, h in self._parts.items() if key > part - WINDOW_PARTS}
        total = HdrHistogram(1, MAX_SERVICE_TIME_US, SIGNIFICANT_DIGITS)
        for histogram in self._parts.values():
            total.add(histogram)
        if total.get_total_count() < MIN_SAMPLES:
            return None
        return int(total.get_value_at_percentile(TAIL_PERCENTILE))


class PressureGauge:
    """Tail latency of the target's answers against the templates' objectives.

    :param objective: returns a template's objective, or None when it has none.
    :param clock: source of time.
    """

    def __init__(self, objective: Callable[[str], timedelta | None], clock: Clock):
        self._objective = objective
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[str, _Window] = {}
        self._cached = 0
        self._cached_until = clock.monotonic()

    def record(self, template: str, duration: timedelta) -> None:
        """Record one answer time; a missed deadline counts with the time waited."""
        with self._lock:
            window = self._windows.setdefault(template, _Window())
            window.record(self._part(), duration // MICROSECOND)

    def permille(self) -> int:
        """Return the highest ratio of tail to objective over all templates; 1000 meets it."""
        with self._lock:
            now = self._clock.monotonic()
            if now >= self._cached_until:
                ratios = [self._ratio(name, window) for name, window in self._windows.items()]
                self._cached = max(ratios, default=0)
                self._cached_until = now + CACHE_TIME
            return self._cached

    def _ratio(self, template: str, window: _Window) -> int:
        objective = self._objective(template)
        tail_us = window.tail_us(self._part())
        if objective is None or tail_us is None:
            return 0
        return round(tail_us * FULL_PERMILLE / (objective / MICROSECOND))

    def _part(self) -> int:
        return int(self._clock.monotonic() // (WINDOW / WINDOW_PARTS))


class ThrottleControl:
    """Share of processor time that batch tasks keep, in steps with hysteresis."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._step = 0
        self._changed = clock.monotonic() - STEP_UP_INTERVAL

    def update(self, pressure_permille: int) -> int:
        """Take in the pressure.

        :returns: permille that batch tasks keep; 1000 is not throttled.
        """
        now = self._clock.monotonic()
        since = now - self._changed
        last = len(THROTTLE_STEPS) - 1
        if pressure_permille > FULL_PERMILLE:
            if self._step < last and since >= STEP_DOWN_INTERVAL:
                self._move(1, now)
        elif pressure_permille < RELEASE_PERMILLE and self._step and since >= STEP_UP_INTERVAL:
            self._move(-1, now)
        return THROTTLE_STEPS[self._step]

    def _move(self, steps: int, now: timedelta) -> None:
        self._step += steps
        self._changed = now

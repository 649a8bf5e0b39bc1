"""Tests of the system clock."""

import time
from datetime import UTC, timedelta

from mulberryslip import SystemClock


def test_monotonic_time_includes_suspension(monkeypatch):
    """Guards against treating an expired lease as valid after the machine was suspended."""
    now = [100.0]
    monkeypatch.setattr(time, "clock_gettime", lambda clock: now[0])
    clock = SystemClock()
    before = clock.monotonic()
    now[0] += 8
    assert clock.monotonic() - before == timedelta(seconds=8)


def test_wall_clock_time_is_in_utc():
    """Guards against a wall-clock time without a time zone."""
    assert SystemClock().now().tzinfo is UTC

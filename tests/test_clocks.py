"""The system's clock."""

import time
from datetime import UTC, timedelta

from mulberryslip import SystemClock


def test_monotonic_time_counts_suspension(monkeypatch):
    """Guards against a lease that a process takes for valid after its machine was suspended."""
    now = [100.0]
    monkeypatch.setattr(time, "clock_gettime", lambda clock: now[0])
    clock = SystemClock()
    before = clock.monotonic()
    now[0] += 8
    assert clock.monotonic() - before == timedelta(seconds=8)


def test_times_have_standard_types():
    """Guards against a wall-clock time without its zone."""
    assert SystemClock().now().tzinfo is UTC

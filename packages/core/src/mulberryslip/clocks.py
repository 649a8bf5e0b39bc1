"""Clocks, injected wherever code reads the time or waits."""

import threading
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time. Durations are `timedelta`; points in time are aware UTC `datetime`."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed point; it never decreases."""

    def sleep(self, duration: timedelta) -> None:
        """Suspend the calling thread for a duration."""

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait until an event is set or the timeout passes.

        :param event: event to wait for.
        :param timeout: longest time to wait.
        :returns: whether the event is set.
        """


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the system's monotonic time, which also advances while the machine is suspended.

        Leases are measured with it: on a clock that stops during suspension, a process would
        still consider a lease valid that has already expired for others.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def sleep(self, duration: timedelta) -> None:
        """Suspend the calling thread; return at once when the duration is negative."""
        time.sleep(max(0.0, duration.total_seconds()))

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait for an event; a negative timeout only checks it."""
        return event.wait(max(0.0, timeout.total_seconds()))


class ManualClock:
    """Clock for tests that moves only when it is advanced."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus the total time advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the total time advanced."""
        return self._elapsed

    def sleep(self, duration: timedelta) -> None:
        """Advance the clock."""
        self.advance(duration)

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Advance the clock by the timeout unless the event is set."""
        if not event.is_set():
            self.advance(timeout)
        return event.is_set()

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward.

        :param duration: non-negative duration.
        """
        self._elapsed += duration

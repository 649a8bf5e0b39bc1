"""Limits of repeated work: the retry budget, backoff and deadlines."""

import random
import threading
from datetime import timedelta

from .clocks import Clock

RETRY_SHARE = 0.1
"""Retries and hedges together stay under this share of the requests."""

MAX_SAVED = 64.0
"""Retries saved up in quiet times; one worker holds up to 64 connections when it fails."""

INITIAL_SAVED = 10.0
"""Lets the first requests of a new process be retried."""

BACKOFF_BASE = timedelta(milliseconds=10)
BACKOFF_LIMIT = timedelta(seconds=1)

_MILLISECOND = timedelta(milliseconds=1)


class RetryBudget:
    """Bounds retries and hedges to a share of the requests; safe for use by several threads.

    :param share: retries earned by one request.
    :param max_saved: most retries that can be saved up.
    :param initial: retries available at the start.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        max_saved: float = MAX_SAVED,
        initial: float = INITIAL_SAVED,
    ):
        self._share = share
        self._max_saved = max_saved
        self._saved = min(initial, max_saved)
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Count one request."""
        with self._lock:
            self._saved = min(self._saved + self._share, self._max_saved)

    def take(self) -> bool:
        """Take one retry.

        :returns: False when the budget is used up; the retry must not be made.
        """
        with self._lock:
            # Sums of 0.1 end slightly below the whole number.
            if self._saved < 1.0 - 1e-9:
                return False
            self._saved -= 1.0
            return True

    def give_back(self) -> None:
        """Return a retry that was taken but not made."""
        with self._lock:
            self._saved = min(self._saved + 1.0, self._max_saved)

    def available(self) -> float:
        """Return how many retries are saved up."""
        with self._lock:
            return self._saved


def backoff(
    attempt: int,
    rng: random.Random,
    base: timedelta = BACKOFF_BASE,
    limit: timedelta = BACKOFF_LIMIT,
) -> timedelta:
    """Return a wait with full jitter: uniform from zero to an exponentially growing bound.

    :param attempt: number of failed attempts, from 1.
    :param rng: source of jitter.
    :param base: bound after the first failure.
    :param limit: largest bound.
    """
    # The exponent is capped before the power, which would overflow after many failures.
    bound = min(base * 2 ** min(attempt - 1, 30), limit)
    return bound * rng.random()


class Deadline:
    """A moment on the monotonic clock by which a call must have ended.

    :param clock: source of monotonic time.
    :param remaining: time left now.
    """

    def __init__(self, clock: Clock, remaining: timedelta):
        self._clock = clock
        self._expires = clock.monotonic() + remaining

    def remaining(self) -> timedelta:
        """Return the time left, at least zero."""
        return max(self._expires - self._clock.monotonic(), timedelta())

    def remaining_ms(self) -> int:
        """Return the time left in whole milliseconds, rounded down, as sent on the wire."""
        return self.remaining() // _MILLISECOND

    def expired(self) -> bool:
        """Return whether less than a millisecond is left, the resolution on the wire."""
        return self.remaining() < _MILLISECOND

    def sooner(self, limit: timedelta) -> timedelta:
        """Return the time left, or a limit when that is shorter."""
        return min(self.remaining(), limit)

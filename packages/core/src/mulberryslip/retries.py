"""Retry budget, exponential backoff and deadlines."""

import random
import threading
from datetime import timedelta

from .clocks import Clock

RETRY_RATIO = 0.1
"""Long-term limit of retries and hedges together, as a fraction of the requests."""

MAX_TOKENS = 64.0
"""Retries that can accumulate; up to 64 connections of one worker fail together with it."""

INITIAL_TOKENS = 10.0
"""Retries available at the start, so that the first requests of a new process can be retried."""

BACKOFF_BASE = timedelta(milliseconds=10)
BACKOFF_LIMIT = timedelta(seconds=1)

_MILLISECOND = timedelta(milliseconds=1)


class RetryBudget:
    """Thread-safe token bucket that limits retries and hedges to a fraction of the requests.

    :param ratio: tokens that each request adds; a retry takes one token.
    :param max_tokens: capacity of the bucket.
    :param initial: tokens in the bucket at the start.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        max_tokens: float = MAX_TOKENS,
        initial: float = INITIAL_TOKENS,
    ):
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = min(initial, max_tokens)
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Add the tokens of one request."""
        with self._lock:
            self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def take(self) -> bool:
        """Take a token for one retry.

        :returns: False when the budget is exhausted; the retry must not be made.
        """
        with self._lock:
            # Ten times 0.1 sums up to slightly less than 1.
            if self._tokens < 1.0 - 1e-9:
                return False
            self._tokens -= 1.0
            return True

    def give_back(self) -> None:
        """Return the token of a retry that was not made."""
        with self._lock:
            self._tokens = min(self._tokens + 1.0, self._max_tokens)

    def available(self) -> float:
        """Return the number of tokens in the bucket."""
        with self._lock:
            return self._tokens


def backoff(
    attempt: int,
    rng: random.Random,
    base: timedelta = BACKOFF_BASE,
    limit: timedelta = BACKOFF_LIMIT,
) -> timedelta:
    """Return a delay with full jitter: uniform from zero to an exponentially growing bound.

    :param attempt: number of failed attempts, from 1.
    :param rng: random source of the jitter.
    :param base: bound after the first failure.
    :param limit: largest bound.
    """
    # The exponent is capped, because the power would overflow after many failures.
    bound = min(base * 2 ** min(attempt - 1, 30), limit)
    return bound * rng.random()


class Deadline:
    """Point on the monotonic clock by which a call must have ended.

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
        """Return the time left in milliseconds, rounded down, as sent on the wire."""
        return self.remaining() // _MILLISECOND

    def expired(self) -> bool:
        """Return whether less than one millisecond, the resolution on the wire, is left."""
        return self.remaining() < _MILLISECOND

    def sooner(self, limit: timedelta) -> timedelta:
        """Return the shorter of the time left and a limit."""
        return min(self.remaining(), limit)

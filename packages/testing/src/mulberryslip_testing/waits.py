"""Polling helper for tests that wait for other threads or processes."""

import time
from collections.abc import Callable
from datetime import timedelta

_POLL_INTERVAL_S = 0.01


def wait_until(condition: Callable[[], object], timeout: timedelta = timedelta(seconds=5)) -> bool:
    """Poll a condition until it is true.

    :param condition: callable that is polled every 10 ms.
    :param timeout: maximum wait.
    :returns: whether the condition became true before the timeout.
    """
    deadline = time.monotonic() + timeout.total_seconds()
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(_POLL_INTERVAL_S)
    return True

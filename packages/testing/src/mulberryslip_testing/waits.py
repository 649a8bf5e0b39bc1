"""Waiting in tests for what other threads or processes do."""

import time
from collections.abc import Callable
from datetime import timedelta

_INTERVAL_S = 0.01


def wait_until(condition: Callable[[], object], timeout: timedelta = timedelta(seconds=5)) -> bool:
    """Poll a condition.

    :param condition: called every 10 ms.
    :param timeout: longest wait.
    :returns: whether the condition came true in time.
    """
    deadline = time.monotonic() + timeout.total_seconds()
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(_INTERVAL_S)
    return True

"""Tests of the retry budget, backoff and deadlines."""

import random
import threading
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import ManualClock
from mulberryslip.retries import BACKOFF_LIMIT, Deadline, RetryBudget, backoff

MS = timedelta(milliseconds=1)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.booleans(), max_size=600))
def test_retries_never_exceed_their_ratio(steps):
    """Guards against a budget that lets retries multiply the load on slow workers."""
    budget = RetryBudget(ratio=0.1, max_tokens=5, initial=2)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.earn()
            requests += 1
        elif budget.take():
            retries += 1
        assert retries <= 2 + 0.1 * requests + 1e-6
        assert budget.available() <= 5


def test_ten_requests_earn_one_retry():
    """Guards against rounding: ten times 0.1 sums up to less than 1, but must allow one retry."""
    budget = RetryBudget(ratio=0.1, initial=0)
    for _ in range(9):
        budget.earn()
    assert not budget.take()
    budget.earn()
    assert budget.take()
    assert not budget.take()


def test_tokens_are_bounded():
    """Guards against a burst of retries after a long time without failures."""
    budget = RetryBudget(ratio=0.1, max_tokens=3, initial=0)
    for _ in range(1000):
        budget.earn()
    assert [budget.take() for _ in range(5)] == [True, True, True, False, False]


def test_budget_is_thread_safe():
    """Guards against a race between threads that allows more retries than there are tokens."""
    budget = RetryBudget(ratio=1.0, max_tokens=1000, initial=500)
    taken = []

    def take_many():
        taken.append(sum(budget.take() for _ in range(200)))

    threads = [threading.Thread(target=take_many) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(taken) == 500


@pytest.mark.parametrize(
    ("attempt", "bound"),
    [(1, 10 * MS), (2, 20 * MS), (5, 160 * MS), (9, BACKOFF_LIMIT), (10**6, BACKOFF_LIMIT)],
)
def test_backoff_has_full_jitter_below_an_exponential_bound(attempt, bound):
    """Guards against synchronized retries of many callers."""
    rng = random.Random(3)
    delays = [backoff(attempt, rng) for _ in range(500)]
    assert all(timedelta() <= delay < bound for delay in delays)
    assert min(delays) < 0.1 * bound
    assert max(delays) > 0.9 * bound


@pytest.mark.parametrize(
    ("timeout_ms", "elapsed_ms", "remaining_ms", "expired"),
    [(100, 30, 70, False), (100, 100, 0, True), (100, 500, 0, True), (1.9, 1, 0, True)],
)
def test_deadline_counts_down(timeout_ms, elapsed_ms, remaining_ms, expired):
    """Guards against a deadline that restarts at each hop or becomes negative."""
    clock = ManualClock()
    deadline = Deadline(clock, timeout_ms * MS)
    clock.advance(elapsed_ms * MS)
    assert deadline.remaining_ms() == remaining_ms
    assert deadline.expired() is expired
    assert deadline.sooner(5 * MS) == min(5 * MS, deadline.remaining())

"""When an owner asks a peer to take its pool over, and when it releases the pool itself."""

import itertools
from datetime import timedelta

import pytest
from mulberryslip.handovers import (
    MAX_AGENT_SILENCE,
    RELEASE_PAUSE,
    REQUEST_INTERVAL,
    HandoverPolicy,
    IsolationPolicy,
)

MS = timedelta(milliseconds=1)
START = timedelta(seconds=5)


@pytest.mark.parametrize(
    ("renewals_failing_ms", "commit_failing_ms", "expected"),
    [
        (None, None, False),
        (None, 900, False),
        (200, 900, False),
        (400, 500, False),
        (400, 700, True),
        (1000, None, False),
        (1300, None, True),
    ],
    ids=[
        "well",
        "lost responses of writes",
        "one lost renewal",
        "short outage",
        "cut off while work waits",
        "short outage without work",
        "cut off without work",
    ],
)
def test_hand_over_is_requested_when_the_store_is_lost(
    renewals_failing_ms, commit_failing_ms, expected
):
    """Guards against an owner that is replaced for a lost response, or keeps a pool in vain."""
    policy = HandoverPolicy()
    if commit_failing_ms is not None:
        policy.record_commit_failure(START - commit_failing_ms * MS)
        policy.record_commit_failure(START)
    failing_since = None
    if renewals_failing_ms is not None:
        failing_since = START - renewals_failing_ms * MS
    assert policy.take_request(START, failing_since) is expected


def test_requests_are_spread_and_end_with_the_outage():
    """Guards against all agents that race for the store, and a request that comes too late."""
    policy = HandoverPolicy()
    policy.record_commit_failure(START)
    times = [START + 2000 * MS + step * REQUEST_INTERVAL / 4 for step in range(8)]
    assert sum(policy.take_request(at, START) for at in times) == 2
    policy.record_commit()
    assert not policy.take_request(START + 4000 * MS, None)


@pytest.mark.parametrize(
    ("knows_others", "is_store_reached", "interval_ms", "expected"),
    [
        (True, True, 200, True),
        (False, True, 200, False),
        (True, False, 200, False),
        (True, True, 5000, False),
    ],
    ids=["isolated", "only process", "store outage", "paused process"],
)
def test_pool_is_released_only_when_other_agents_are_silent(
    knows_others, is_store_reached, interval_ms, expected
):
    """Guards against an isolated owner that keeps the pool, or a sound one that releases it."""
    policy = IsolationPolicy()
    if knows_others:
        policy.record_owner()
    policy.record_claim(START)
    now = START
    isolated = []
    while now < START + MAX_AGENT_SILENCE + 1000 * MS:
        now += interval_ms * MS
        isolated.append(policy.is_isolated(now, is_store_reached))
    assert isolated[-1] is expected
    assert not any(isolated[: MAX_AGENT_SILENCE // (interval_ms * MS)])


def test_call_of_another_agent_ends_the_isolation():
    """Guards against an owner that releases its pool although an agent calls."""
    policy = IsolationPolicy()
    policy.record_claim(START)
    for number in range(100):
        if number % 15 == 0:
            policy.record_contact()
        assert not policy.is_isolated(START + number * 200 * MS, True)


def test_releases_become_rare_when_nobody_else_claims():
    """Guards against a pool without an owner again and again after all other VMs are lost."""
    policy = IsolationPolicy()
    policy.record_owner()
    policy.record_claim(START)
    releases = []
    for number in range(5 * 600):
        now = START + number * 200 * MS
        if policy.may_claim(now) and policy.is_isolated(now, True):
            policy.record_release(now)
            policy.record_claim(now + RELEASE_PAUSE)
            releases.append(now)
    pauses = [later - earlier for earlier, later in itertools.pairwise(releases)]
    assert len(releases) <= 8
    assert all(later >= 1.5 * earlier for earlier, later in itertools.pairwise(pauses))

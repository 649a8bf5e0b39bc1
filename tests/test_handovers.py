"""When an owner asks a peer to take its pool over."""

from datetime import timedelta

import pytest
from mulberryslip.handovers import REQUEST_INTERVAL, HandoverPolicy

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

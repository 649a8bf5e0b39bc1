"""Decides when a pool's owner asks another process to take the pool over. Performs no I/O.

It is designed for this load pattern: the store turns away single VMs, among them the owner's, and
serves all others, while work keeps arriving. Until the owner's store lease expires, nothing can be
accepted or started. Other VMs of the pool still report to the owner, so one of them can delete the
owner key and claim the pool at once. When the store fails for all VMs, nobody can, and the owner
continues with its lease once the store is back. An owner that still reaches the store but that no
other agent reaches cannot ask anyone, so it releases the pool itself.
"""

from datetime import timedelta

MIN_RENEWAL_OUTAGE = timedelta(milliseconds=300)
"""Time for which renewals of the store lease must have failed. Together with
`MIN_COMMIT_OUTAGE` it rules out single lost responses, which fail for up to a second."""

MIN_COMMIT_OUTAGE = timedelta(milliseconds=600)
"""Time for which a journal record must have been waiting."""

MIN_IDLE_OUTAGE = timedelta(milliseconds=1200)
"""Time for which renewals must have failed while no journal record is waiting."""

REQUEST_INTERVAL = timedelta(milliseconds=200)
"""Time between two requests. The process that was asked may not reach the store either."""

MAX_AGENT_SILENCE = timedelta(seconds=4)
"""Time without a call from another agent after which the owner releases the pool. By then the list
of VMs has shown whether the silent workers have ended, and leases of workers last longer."""

MAX_OBSERVED_INTERVAL = timedelta(milliseconds=500)
"""Longest time between two observations that counts as silence. In a longer one the process was
paused, or waited for the store, and may not have handled the calls that arrived."""

RELEASE_PAUSE = timedelta(seconds=2)
"""Time after a release in which the process leaves the pool to others."""

MAX_RELEASES_COUNTED = 8
"""Releases in a row that each double the allowed silence; it grows to about 17 minutes."""


class HandoverPolicy:
    """Tells when to ask for a hand-over. Not thread-safe."""

    def __init__(self) -> None:
        self._commit_failing_since: timedelta | None = None
        self._next_request_at = timedelta()

    def record_commit_failure(self, started_at: timedelta) -> None:
        """Record that a journal record could not be written.

        :param started_at: when the first attempt to write it began.
        """
        if self._commit_failing_since is None:
            self._commit_failing_since = started_at

    def record_commit(self) -> None:
        """Record that a journal record was written."""
        self._commit_failing_since = None

    def is_store_lost(self, now: timedelta, renewals_failing_since: timedelta | None) -> bool:
        """Return whether the owner has lost the store.

        :param renewals_failing_since: when the first renewal of the store lease failed since the
            last one that succeeded; None if the last one succeeded.
        """
        if renewals_failing_since is None:
            return False
        renewal_outage = now - renewals_failing_since
        if self._commit_failing_since is None:
            return renewal_outage >= MIN_IDLE_OUTAGE
        return (
            renewal_outage >= MIN_RENEWAL_OUTAGE
            and now - self._commit_failing_since >= MIN_COMMIT_OUTAGE
        )

    def take_request(self, now: timedelta, renewals_failing_since: timedelta | None) -> bool:
        """Return whether to ask the next process that reports to take the pool over."""
        if now < self._next_request_at or not self.is_store_lost(now, renewals_failing_since):
            return False
        self._next_request_at = now + REQUEST_INTERVAL
        return True


class IsolationPolicy:
    """Tells when to release the pool because no other agent reaches the owner. Not thread-safe.

    It outlives single ownership terms. A process that has never heard of another one does not
    release the pool. If others were there once and are gone, the process owns the pool again after
    `RELEASE_PAUSE`; since the allowed silence doubles, this becomes rare.
    """

    def __init__(self) -> None:
        self._knows_others = False
        self._silence = timedelta()
        self._observed_at = timedelta()
        self._releases = 0
        self._claim_from = timedelta()

    def record_owner(self) -> None:
        """Record that another process owns the pool."""
        self._knows_others = True

    def record_claim(self, now: timedelta) -> None:
        """Record that this process has claimed the pool."""
        self._silence = timedelta()
        self._observed_at = now

    def record_contact(self) -> None:
        """Record a call from another agent."""
        self._knows_others = True
        self._silence = timedelta()
        self._releases = 0

    def record_release(self, now: timedelta) -> None:
        """Record that this process has released the pool because it is isolated."""
        self._releases = min(self._releases + 1, MAX_RELEASES_COUNTED)
        self._claim_from = now + RELEASE_PAUSE

    def is_isolated(self, now: timedelta, is_store_reached: bool) -> bool:
        """Return whether to release the pool; the owner asks in each decision round.

        :param is_store_reached: whether the store answers; otherwise the key cannot be deleted.
        """
        self._silence += min(now - self._observed_at, MAX_OBSERVED_INTERVAL)
        self._observed_at = now
        allowed = MAX_AGENT_SILENCE * 2**self._releases
        return self._knows_others and is_store_reached and self._silence > allowed

    def may_claim(self, now: timedelta) -> bool:
        """Return whether this process may claim the pool."""
        return now >= self._claim_from

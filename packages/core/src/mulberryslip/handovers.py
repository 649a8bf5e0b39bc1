"""Decides when a pool's owner asks another process to take the pool over. Performs no I/O.

It is designed for this load pattern: the store turns away single VMs, among them the owner's, and
serves all others, while work keeps arriving. Until the owner's store lease expires, nothing can be
accepted or started. Other VMs of the pool still report to the owner, so one of them can delete the
owner key and claim the pool at once. When the store fails for all VMs, nobody can, and the owner
continues with its lease once the store is back.
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

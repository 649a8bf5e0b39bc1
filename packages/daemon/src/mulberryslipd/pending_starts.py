"""Starts that a later incarnation of a worker may still execute. Performs no I/O.

It is designed for this load pattern: a worker's process ends while starts are on their way to it,
and the worker is back under its id within seconds. Until it knows the fencing token of its new
incarnation, it executes starts that were meant for the earlier one; their deadlines are far ahead
on its clock, which starts anew. If these tasks were started elsewhere at once, they would run
twice.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs
from mulberryslip.workflows import StepTask

from .members import Member, newest_members

LATE_CALL_TIMEOUT = timedelta(seconds=6)
"""Time after a worker's last listing after which its next incarnation is taken not to get a start
that was meant for this one. The platform states no limit, and services must run again 9 s after
their last run."""


@attrs.frozen
class PendingStart:
    """A start without an answer whose worker has ended.

    :param run: number of the run, which counts as ended.
    :param last_listed_at: when the incarnation that it was meant for last listed its runs.
    """

    task: StepTask
    run: int
    worker_id: str
    incarnation: str
    machine: str
    last_listed_at: timedelta


class PendingStarts:
    """The pending starts of one ownership term, by task. Not thread-safe.

    :param max_lease_time: time after a worker's last listing after which its runs have ended,
        whichever call has extended its lease.
    """

    def __init__(self, max_lease_time: timedelta) -> None:
        self._max_lease_time = max_lease_time
        self._starts: dict[str, PendingStart] = {}

    def record(self, task: StepTask, member: Member, since: timedelta) -> None:
        """Record the start of an active run whose worker has ended, if it may be pending.

        :param since: the latest time of the worker's last listing if this owner knows none.
        """
        if not is_in_flight(task, member):
            return
        last_listed_at = member.last_alive_at(task.incarnation)
        self._starts[task.name] = PendingStart(
            task,
            task.run,
            task.worker_id,
            task.incarnation,
            task.machine,
            max(since, member.received_at) if last_listed_at is None else last_listed_at,
        )

    def update(self, members: Mapping[str, Member], now: timedelta) -> frozenset[str]:
        """Drop the starts that can no longer be executed; return the tasks of the others."""
        if self._starts:
            newest = newest_members(members.values())
            self._starts = {
                name: start
                for name, start in self._starts.items()
                if start.task.awaits_run_after(start.run)
                and self._is_pending(start, members.get(start.worker_id), newest, now)
            }
        return frozenset(self._starts)

    def _is_pending(
        self,
        start: PendingStart,
        member: Member | None,
        newest: Mapping[str, Member],
        now: timedelta,
    ) -> bool:
        if member is not None and member.incarnation > start.incarnation:
            status = member.running.get(start.task.name)
            if status is not None and status.run == start.run:
                # The next incarnation has executed it, and is told to stop it.
                return now - member.received_at <= self._max_lease_time
            if member.reconciled_incarnation > start.incarnation:
                return False
        latest = newest.get(start.machine)
        if (
            latest is not None
            and latest.worker_id != start.worker_id
            and latest.incarnation > start.incarnation
        ):
            # It refuses calls that name another worker.
            return False
        return now - start.last_listed_at <= LATE_CALL_TIMEOUT


def is_in_flight(task: StepTask, member: Member) -> bool:
    """Return whether a later incarnation of a worker may execute the start of an active run."""
    key = (task.name, task.run)
    if task.delivered_run != task.run or key in member.first_listed_at:
        return False
    knows_starts = member.is_absent and member.starts_in_flight is not None
    if knows_starts and member.incarnation == task.incarnation:
        return key in member.starts_in_flight
    return True

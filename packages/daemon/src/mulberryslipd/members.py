"""Workers of a pool as its owner knows them in one ownership term."""

import threading
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

import attrs
from mulberryslip.capacities import WorkerCapacity
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError
from mulberryslip.models import Resources
from mulberryslip.runners import MAX_TIME_MS, EndedRun, EndKind, RunningRun
from mulberryslip.steps import MAX_AMOUNT, MAX_CHECKPOINT_CHARS, MAX_NAME_CHARS
from mulberryslip.wire import ttypes as wire
from mulberryslip.workflows import StepTask

from .workers import resources_from_wire

FENCES_PER_EPOCH = 1024
"""Fencing tokens in one epoch. Each incarnation of a worker has its own, so that it refuses a
delayed start command for an earlier incarnation."""

CAPACITY_SHRANK = "the worker's capacity shrank before the start was sent"
PROCESS_ENDED = "the worker's process ended before the start was sent"

_END_KINDS = {
    wire.EndKind.DONE: EndKind.DONE,
    wire.EndKind.FAILED: EndKind.FAILED,
    wire.EndKind.STOPPED: EndKind.STOPPED,
    wire.EndKind.LAPSED: EndKind.LAPSED,
    wire.EndKind.BROKEN: EndKind.BROKEN,
    wire.EndKind.ALONE: EndKind.ALONE,
}
END_CODES = {kind: code for code, kind in _END_KINDS.items()}


@attrs.define(eq=False)
class Member:
    """A worker that has reported to the owner.

    :param incarnation: current incarnation; later ones sort after earlier ones as text, as named by
        the agent (`incarnations`).
    :param clock_ms: the worker's clock when it last listed its runs.
    :param requested_ms: a value that its clock had reached when that listing was requested: that of
        the listing before, or 0.
    :param received_at: when that listing arrived, on the owner's clock; before the first listing,
        until when the previous owner may have extended the worker's lease.
    :param listed_at: when the current incarnation last listed its runs; None before the first time.
    :param previous_listed_at: the same for the incarnation before it.
    :param has_listed: whether any incarnation has listed its runs to this owner.
    :param fenced_at: when this owner got the first listing that was requested with its own fencing
        token for the current incarnation; None before. From then on, the worker does nothing for
        calls that were meant for an earlier incarnation.
    :param running: the worker's active runs by task.
    :param first_listed_at: when each active run was listed first, by task and run.
    :param first_listed_ms: the same on the worker's clock, in milliseconds.
    :param reconciled_through: number of the last run end that was reconciled.
    :param ended_through: number of the last run end that is committed.
    :param incarnations: number of incarnations seen in this ownership term.
    :param left: the last incarnation that announced that it leaves.
    :param is_absent: whether the worker's process has ended.
    :param starts_in_flight: runs of which the agent did not know whether they had started, by task
        and run, when it reported that; None if it does not know of all starts.
    :param fetched_by: incarnation of the agent's process that has fetched start commands last.
    :param reconciled_incarnation: the last incarnation of which a listing that was requested with
        this owner's fencing token has been reconciled.
    :param starts: start commands that the agent has not fetched yet.
    :param stops: stop commands that the agent has not fetched yet.
    :param withdrawn: why start commands were withdrawn before the agent fetched them, by task and
        run, until their runs are reconciled.
    :param stop_sent_at: when the last stop command was queued, by task and run.
    :param stop_reasons: why to stop runs whose tasks continue elsewhere, by task and run.
    :param has_commands: set while commands wait for the agent.
    :param sent_latest_starts: latest start of best-effort runs that the agent was told last, by
        task, in milliseconds since 1970.
    :param resent_at: when it was told all of them last.
    :param unassigned: tasks of listed runs that are not active; None for an unknown task.
    :param unassigned_version: what `unassigned` was computed from.
    :param allocation: capacity of the worker without the assigned runs; None before it is computed.
    :param allocation_version: what `allocation` was computed from.
    """

    worker_id: str
    incarnation: str = ""
    service: str = ""
    data_centre: str = ""
    machine: str = ""
    labels: frozenset[str] = frozenset()
    capacity: Resources = Resources()
    leaving: bool = False
    remaining: timedelta = timedelta()
    agent: str = ""
    clock_ms: int = 0
    requested_ms: int = 0
    received_at: timedelta = timedelta()
    listed_at: timedelta | None = None
    previous_listed_at: timedelta | None = None
    has_listed: bool = False
    fenced_at: timedelta | None = None
    running: dict[str, RunningRun] = attrs.field(factory=dict)
    first_listed_at: dict[tuple[str, int], timedelta] = attrs.field(factory=dict)
    first_listed_ms: dict[tuple[str, int], int] = attrs.field(factory=dict)
    reconciled_through: int = 0
    ended_through: int = 0
    incarnations: int = 0
    left: str = ""
    is_absent: bool = False
    starts_in_flight: frozenset[tuple[str, int]] | None = frozenset()
    fetched_by: str = ""
    reconciled_incarnation: str = ""
    starts: deque = attrs.field(factory=deque)
    stops: deque = attrs.field(factory=deque)
    withdrawn: dict[tuple[str, int], str] = attrs.field(factory=dict)
    stop_sent_at: dict[tuple[str, int], timedelta] = attrs.field(factory=dict)
    stop_reasons: dict[tuple[str, int], str] = attrs.field(factory=dict)
    has_commands: threading.Event = attrs.field(factory=threading.Event)
    sent_latest_starts: dict[str, int] = attrs.field(factory=dict)
    resent_at: timedelta = timedelta()
    unassigned: tuple[StepTask | None, ...] = ()
    unassigned_version: tuple = ()
    allocation: WorkerCapacity | None = None
    allocation_version: tuple = ()

    def observe(self, report: wire.WorkerReport, now: timedelta, epoch: int) -> bool:
        """Update this worker from a report.

        :param epoch: epoch of the owner.
        :returns: False for a report without a list of runs, or older than the last one.
        """
        worker = report.worker
        if worker.incarnation < self.incarnation:
            return False
        if worker.incarnation > self.incarnation:
            self._begin_incarnation(worker.incarnation)
        elif report.listed and report.clock_ms < self.clock_ms:
            return False
        self.service = worker.serves
        self.data_centre = worker.data_centre
        self.machine = worker.machine
        self.labels = frozenset(worker.labels)
        if report.listed or not self.clock_ms:
            # Only listings are ordered; a report without one may be older than the last listing.
            self._set_capacity(resources_from_wire(worker.capacity))
        # An incarnation that leaves does not return: a later 'ready' is a delayed announcement.
        self.leaving = self.leaving or worker.leaving
        if self.leaving:
            self.left = self.incarnation
        self.remaining = timedelta(milliseconds=worker.remaining_ms)
        self.agent = report.agent
        if not report.listed and not report.unreachable:
            return False
        self.is_absent = report.unreachable
        self.received_at = now
        if report.unreachable:
            self.running = {}
            self.starts_in_flight = None
            if report.header.incarnation == self.fetched_by:
                self.starts_in_flight = frozenset(
                    (row.task, row.run) for row in report.refused if not row.certain
                )
            self._withdraw_starts(PROCESS_ENDED)
            return True
        if report.clock_ms > self.clock_ms:
            # An agent requests a listing after it has got the one before.
            self.requested_ms, self.clock_ms = self.clock_ms, report.clock_ms
        self.listed_at = now
        self.has_listed = True
        if self.fenced_at is None and report.epoch == epoch:
            self.fenced_at = now
        self.running = {row.task: running_of(row) for row in report.running}
        self.first_listed_at = {
            (row.task, row.run): self.first_listed_at.get((row.task, row.run), now)
            for row in report.running
        }
        self.first_listed_ms = {
            key: self.first_listed_ms.get(key, report.clock_ms) for key in self.first_listed_at
        }
        return True

    def clock_at(self, now: timedelta) -> int:
        """Return the lowest value that the worker's clock can show now, in milliseconds."""
        return self.clock_ms + (now - self.received_at) // timedelta(milliseconds=1)

    def lists(self, task: StepTask) -> bool:
        """Return whether the worker's last listing has the latest run of a task."""
        status = self.running.get(task.name)
        return status is not None and status.run == task.run

    def last_alive_at(self, incarnation: str) -> timedelta | None:
        """Return when an incarnation last listed its runs; None if that is not known."""
        return self.listed_at if incarnation == self.incarnation else self.previous_listed_at

    def fence(self, epoch: int) -> int:
        """Return the fencing token for calls to this incarnation of the worker."""
        # Further incarnations share the last token: the worker would refuse a lower one for good.
        return epoch * FENCES_PER_EPOCH + min(self.incarnations, FENCES_PER_EPOCH - 1)

    def _set_capacity(self, capacity: Resources) -> None:
        if not self.capacity.fits(capacity):
            # The starts were placed by the higher capacity.
            self._withdraw_starts(CAPACITY_SHRANK)
        self.capacity = capacity

    def _begin_incarnation(self, incarnation: str) -> None:
        self.previous_listed_at, self.listed_at = self.listed_at, None
        self.fenced_at = None
        self.incarnation = incarnation
        self.incarnations += 1
        self.leaving = False
        self.clock_ms = self.requested_ms = 0
        self.reconciled_through = self.ended_through = 0
        self.running = {}
        self.first_listed_at, self.first_listed_ms = {}, {}
        self._withdraw_starts(PROCESS_ENDED)
        self.stops.clear()
        self.stop_sent_at.clear()
        self.stop_reasons.clear()

    def _withdraw_starts(self, reason: str) -> None:
        self.withdrawn |= {(start.task, start.run): reason for start in self.starts}
        self.starts.clear()


def newest_members(members: Iterable[Member]) -> dict[str, Member]:
    """Return the newest worker by VM; a VM runs one worker at a time.

    A worker counts once it has listed its runs. Until then only its announcement says that it is
    there, and that may come from another writer.
    """
    newest: dict[str, Member] = {}
    for member in members:
        if member.machine and member.listed_at is not None:
            known = newest.get(member.machine)
            if known is None or member.incarnation > known.incarnation:
                newest[member.machine] = member
    return newest


def check_report(report: wire.WorkerReport) -> None:
    """Check the values of a report before anything is derived from them.

    :raises InvalidMessageError: when a value is out of its range.
    """
    worker = report.worker
    for name in ("worker_id", "incarnation", "machine"):
        if len(getattr(worker, name)) > MAX_NAME_CHARS:
            raise InvalidMessageError(f"{name} of more than {MAX_NAME_CHARS} characters")
    if not worker.worker_id or not worker.incarnation:
        raise InvalidMessageError("the worker has no id or no incarnation")
    if not 0 <= report.clock_ms <= MAX_TIME_MS:
        raise InvalidMessageError(f"clock_ms {report.clock_ms} is not from 0 to {MAX_TIME_MS}")
    numbers = [worker.remaining_ms, *resources_from_wire(worker.capacity).amounts()]
    numbers += [number for row in report.running for number in (row.run, row.progress_percent)]
    numbers += [number for row in report.ended for number in (row.number, row.run)]
    numbers += [row.gauge for row in report.running]
    if min(numbers) < 0 or max(numbers) > MAX_AMOUNT:
        raise InvalidMessageError(f"a number is not from 0 to {MAX_AMOUNT}")
    unknown = [row.kind for row in report.ended if row.kind not in _END_KINDS]
    if unknown:
        raise InvalidMessageError(f"a run ended in an unknown way: {unknown[0]}")


def running_of(row: wire.RunStatus) -> RunningRun:
    """Convert the wire form of an active run."""
    checkpoint = _storable_checkpoint(row)
    return RunningRun(row.task, row.run, checkpoint, row.progress_percent, row.gauge)


def ended_of(row: wire.RunEnd) -> EndedRun:
    """Convert the wire form of an ended run."""
    checkpoint = _storable_checkpoint(row)
    return EndedRun(row.number, row.task, row.run, _END_KINDS[row.kind], checkpoint)


def _storable_checkpoint(row: wire.RunStatus | wire.RunEnd) -> str:
    """Return a run's checkpoint; empty when the journal cannot hold it."""
    if len(row.checkpoint) <= MAX_CHECKPOINT_CHARS:
        return row.checkpoint
    reason = f"a checkpoint of {len(row.checkpoint)} characters is not kept"
    log(Event.MESSAGE_INVALID, what=row.task, reason=reason)
    return ""

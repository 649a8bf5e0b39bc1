"""Workers of a pool as its owner knows them in one period of ownership."""

import threading
from collections import deque
from datetime import timedelta

import attrs
from mulberryslip.models import Resources
from mulberryslip.runners import EndedRun, EndKind, RunningRun
from mulberryslip.wire import ttypes as wire

from .workers import resources_from_wire

FENCE_LIVES = 1024
"""Fencing tokens of one epoch: one for each life of a worker, so that a start that is carried out
late in a later life is refused there."""

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
    """A worker that has reported.

    :param incarnation: its life; texts of later lives sort after those of earlier ones.
    :param clock_ms: its clock when it last listed its runs.
    :param received_at: when that listing arrived, on the owner's clock.
    :param running: its runs by task.
    :param listed_since: when each of them was listed first, by task and run.
    :param listed_through: ends up to this number have been looked at.
    :param ended_through: ends up to this number are committed.
    :param lives: lives seen in this period of ownership.
    :param is_absent: whether its process has ended.
    :param starts: orders that the agent has not fetched yet.
    :param unwanted: why to stop runs whose tasks go on, by task and run.
    :param stopped_at: when stops were last ordered, by task and run.
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
    received_at: timedelta = timedelta()
    running: dict[str, RunningRun] = attrs.field(factory=dict)
    listed_since: dict[tuple[str, int], timedelta] = attrs.field(factory=dict)
    listed_through: int = 0
    ended_through: int = 0
    lives: int = 0
    is_absent: bool = False
    starts: deque = attrs.field(factory=deque)
    stops: deque = attrs.field(factory=deque)
    stopped_at: dict[tuple[str, int], timedelta] = attrs.field(factory=dict)
    unwanted: dict[tuple[str, int], str] = attrs.field(factory=dict)
    has_orders: threading.Event = attrs.field(factory=threading.Event)

    def observe(self, report: wire.WorkerReport, now: timedelta) -> bool:
        """Take over a report.

        :returns: False for one without a listing, or older than what is known.
        """
        worker = report.worker
        if worker.incarnation < self.incarnation:
            return False
        if worker.incarnation > self.incarnation:
            self._begin_life(worker.incarnation)
        elif report.listed and report.clock_ms < self.clock_ms:
            return False
        self.service = worker.serves
        self.data_centre = worker.data_centre
        self.machine = worker.machine
        self.labels = frozenset(worker.labels)
        self.capacity = resources_from_wire(worker.capacity)
        self.leaving = worker.leaving
        self.remaining = timedelta(milliseconds=worker.remaining_ms)
        self.agent = report.agent
        if not report.listed and not report.unreachable:
            return False
        self.is_absent = report.unreachable
        self.received_at = now
        if report.unreachable:
            self.running = {}
            return True
        self.clock_ms = report.clock_ms
        self.running = {row.task: running_of(row) for row in report.running}
        self.listed_since = {
            (row.task, row.run): self.listed_since.get((row.task, row.run), now)
            for row in report.running
        }
        return True

    def clock_at(self, now: timedelta) -> int:
        """Return the least that the worker's clock can show now."""
        return self.clock_ms + (now - self.received_at) // timedelta(milliseconds=1)

    def fence(self, epoch: int) -> int:
        """Return the fencing token for calls to this life of the worker."""
        return epoch * FENCE_LIVES + self.lives % FENCE_LIVES

    def _begin_life(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.lives += 1
        self.clock_ms = 0
        self.listed_through = self.ended_through = 0
        self.running = {}
        self.starts.clear()
        self.stops.clear()
        self.stopped_at.clear()
        self.unwanted.clear()


def running_of(row: wire.RunStatus) -> RunningRun:
    """Return a run at work from its wire form."""
    return RunningRun(row.task, row.run, row.checkpoint, row.progress_percent, row.gauge)


def ended_of(row: wire.RunEnd) -> EndedRun:
    """Return an ended run from its wire form."""
    return EndedRun(row.number, row.task, row.run, _END_KINDS[row.kind], row.checkpoint)

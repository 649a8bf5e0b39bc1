"""The agent beside a worker: holds its lease, reports its runs and carries out orders."""

import queue
import threading
import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import WireError
from mulberryslip.headrooms import Neighbour, Pressure, PressureModel
from mulberryslip.paces import FULL_PERCENT, PaceChange, PaceControl
from mulberryslip.runners import (
    RunListing,
    Runner,
    RunnerAbsentError,
    RunnerError,
    RunnerFencedError,
    RunOrder,
    RunProfile,
    StartRefusal,
    WorkerAnnouncement,
)
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome

from .directories import KnownOwner, PoolDirectory
from .members import END_CODES
from .workers import resources_to_wire

REPORT_INTERVAL = timedelta(milliseconds=700)
"""Time between reports when nothing ends. A lease of 6 s survives several lost ones."""

MIXED_INTERVAL = timedelta(milliseconds=400)
"""Time between reports while batch work fills beside a service, which it can disturb any time."""

ORDERS_WAIT = timedelta(seconds=2)
CALL_TIMEOUT = timedelta(seconds=1)
REPORT_TIMEOUT = timedelta(milliseconds=2500)
"""A report with ends is answered after a commit, for which the owner waits up to 2 s."""

OWNER_WAIT = timedelta(milliseconds=500)
RETRY_PAUSE = timedelta(milliseconds=100)
ORDER_THREADS = 4


class Owner(Protocol):
    """The part of `pools.PoolOwner` that serves other processes."""

    def report(self, req: wire.WorkerReport) -> wire.WorkerReportReply:
        """Take in a report."""

    def orders(self, req: wire.OrdersRequest) -> wire.OrdersReply:
        """Return orders."""

    def submit(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Accept a workflow."""

    def status(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return a state."""

    def cancel(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Cancel a workflow."""

    def waiting(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Count waiting workflows."""


class PoolService:
    """Handlers of the thrift service `PoolService`."""

    def __init__(self, owner: Owner):
        self._owner = owner

    def __getattr__(self, method: str) -> Callable[[Any], Any]:
        """Return the owner's handler of a method."""
        return getattr(self._owner, method)

    def ping(self, token: int) -> int:
        """Return the token."""
        return token


@attrs.define(eq=False)
class Grant:
    """What the owner allows for the present life of the worker.

    :param lease_until_ms: on the worker's clock.
    """

    incarnation: str = ""
    epoch: int = 0
    fence: int = 0
    lease_until_ms: int = 0
    ended_through: int = 0


class Agent:
    """Holds one worker on behalf of the owner of the pool.

    :param runner: the worker.
    :param address: thrift address of this process.
    """

    def __init__(
        self,
        runner: Runner,
        directory: PoolDirectory,
        channels: ChannelPool,
        address: Address,
        name: str,
        clock: Clock,
    ):
        self._runner = runner
        self._directory = directory
        self._channels = channels
        self._address = address
        self._name = name
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._announcement: WorkerAnnouncement | None = None
        self._announced = threading.Event()
        self._grant = Grant()
        self._is_sure = False
        self._refused: list[wire.RunRefusal] = []
        self._orders: queue.SimpleQueue = queue.SimpleQueue()
        self._pressures = PressureModel()
        self._pace = PaceControl(self._pressures)
        self._pace_lock = threading.Lock()
        self._profiles: dict[str, RunProfile] = {}
        self._starting: set[str] = set()

    # Calls of the worker

    def announce(self, announcement: WorkerAnnouncement) -> None:
        """Take over what the worker says about itself; a late call changes nothing."""
        with self._lock:
            known = self._announcement
            if known is not None and _is_older(announcement, known):
                return
            self._announcement = announcement
            is_new = known is None or known.incarnation != announcement.incarnation
            is_leaving = announcement.leaving and (is_new or not known.leaving)
        self._announced.set()
        if is_new:
            log(
                Event.WORKER_ANNOUNCED,
                worker=announcement.worker_id,
                incarnation=announcement.incarnation,
            )
        if is_leaving:
            # Starts are refused here from now on; the owner learns it with the next report.
            log(Event.WORKER_LEAVING, worker=announcement.worker_id)

    def depart(self, worker_id: str) -> None:
        """Note that the worker says it ends now."""
        with self._lock:
            known = self._announcement
            if known is None or known.worker_id != worker_id or known.leaving:
                return
            self._announcement = attrs.evolve(known, leaving=True)

    # Threads

    def start(self, stop: threading.Event) -> None:
        """Start all threads."""
        loops: list[tuple[str, Callable[[threading.Event], None]]] = [
            ("holder", self._run_holder),
            ("orders", self._run_orders),
        ]
        loops += [(f"order-{number}", self._run_order) for number in range(ORDER_THREADS)]
        for name, loop in loops:
            threading.Thread(target=self._guard, args=(loop, stop), name=name, daemon=True).start()

    def _guard(self, loop: Callable[[threading.Event], None], stop: threading.Event) -> None:
        while not stop.is_set():
            try:
                loop(stop)
            except Exception as exc:
                # Without this thread the worker's lease would run out.
                log(Event.INTERNAL_ERROR, what=loop.__name__, reason=repr(exc))
                self._clock.wait(stop, RETRY_PAUSE)

    def _run_holder(self, stop: threading.Event) -> None:
        while not stop.is_set():
            if not self._clock.wait(self._announced, REPORT_INTERVAL):
                continue
            owner = self._directory.wait_for_owner(OWNER_WAIT)
            if not self.hold(owner):
                self._clock.wait(stop, RETRY_PAUSE)

    def hold(self, owner: KnownOwner | None) -> bool:
        """Extend the lease, list the runs and report them.

        :returns: whether the owner took the report.
        """
        worker = self._announcement
        grant = self._grant
        if grant.incarnation != worker.incarnation:
            # Without the token of this life an order for an earlier one could be carried out.
            return owner is not None and self._report(owner, worker, None)
        # A worker that broke a call off may have started anew under its id. What the owner knows of
        # the ends of its earlier life would make it forget those of the new one.
        is_sure = self._is_sure
        try:
            listing = self._runner.hold(
                worker.worker_id,
                grant.fence,
                grant.lease_until_ms if is_sure else 0,
                grant.ended_through if is_sure else 0,
                MIXED_INTERVAL if self._is_mixed() else REPORT_INTERVAL,
            )
        except RunnerAbsentError as exc:
            self._is_sure = False
            log(Event.RUNTIME_UNAVAILABLE, call="hold", reason=str(exc), absent=True)
            return owner is not None and self._report(owner, worker, None, unreachable=True)
        except RunnerError as exc:
            self._is_sure = False
            log(Event.RUNTIME_UNAVAILABLE, call="hold", reason=str(exc))
            if isinstance(exc, RunnerFencedError):
                self._grant = Grant(epoch=grant.epoch)
            return False
        self._is_sure = listing.incarnation == worker.incarnation
        if not self._is_sure:
            # The worker has started anew and will announce itself.
            self._grant = Grant(epoch=grant.epoch)
            return False
        self._adjust_pace(worker, listing)
        return owner is not None and self._report(owner, worker, listing)

    def _is_mixed(self) -> bool:
        with self._lock:
            profiles = self._profiles.values()
            return any(p.fills for p in profiles) and any(p.target_ms for p in profiles)

    def _adjust_pace(self, worker: WorkerAnnouncement, listing: RunListing) -> None:
        listed = {row.task for row in listing.running}
        with self._lock:
            # A profile comes with the order, before its run is listed.
            dropped = [task for task in self._profiles if task not in listed]
            for task in dropped:
                if task not in self._starting:
                    del self._profiles[task]
            profiles = dict(self._profiles)
        neighbours = [
            Neighbour(row, profiles[row.task]) for row in listing.running if row.task in profiles
        ]
        with self._pace_lock:
            changes = self._pace.update(neighbours, worker.capacity.cpu_millis, listing.clock_ms)
        for change in changes:
            try:
                self._runner.pace(
                    worker.worker_id, change.task, change.run, change.percent, self._grant.fence
                )
            except RunnerError as exc:
                log(Event.RUNTIME_UNAVAILABLE, call="pace", task=change.task, reason=str(exc))
                with self._pace_lock:
                    self._pace.forget(change)
        if changes:
            log(
                Event.RUNS_PACED,
                paces=[[change.task, change.percent] for change in changes],
                clock_ms=listing.clock_ms,
                tails=[
                    [neighbour.profile.image, neighbour.row.gauge, neighbour.profile.target_ms]
                    for neighbour in neighbours
                    if neighbour.profile.target_ms
                ],
            )

    def _report(
        self,
        owner: KnownOwner,
        worker: WorkerAnnouncement,
        listing: RunListing | None,
        unreachable: bool = False,
    ) -> bool:
        """Report to the owner.

        :param listing: what runs; None to get a fencing token, or when the worker has ended.
        :returns: whether the owner took the report.
        """
        with self._lock:
            refused, self._refused = self._refused, []
        req = self._report_request(worker, listing, refused, unreachable)
        try:
            reply = self._channels.call(owner.address, "report", req, REPORT_TIMEOUT)
        except WireError as exc:
            log(Event.CONNECTION_DROPPED, peer=str(owner.address), reason=f"report: {exc}")
            self._directory.suspect(owner.epoch)
            with self._lock:
                self._refused = refused + self._refused
            return False
        if reply.outcome != Outcome.OK:
            self._directory.suspect(owner.epoch)
            return False
        self._take_grant(worker, reply)
        return True

    def _take_grant(self, worker: WorkerAnnouncement, reply: wire.WorkerReportReply) -> None:
        with self._lock:
            self._profiles.update((row.task, _profile_of(row)) for row in reply.profiles)
            self._pressures.give(
                Pressure(row.filling, row.serving, row.value) for row in reply.pressures
            )
            grant = self._grant
            if reply.epoch < grant.epoch:
                return
            same_life = grant.incarnation == worker.incarnation
            self._grant = Grant(
                worker.incarnation,
                reply.epoch,
                max(reply.fence, grant.fence),
                max(reply.lease_until_ms, grant.lease_until_ms if same_life else 0),
                max(reply.ended_through, grant.ended_through if same_life else 0),
            )

    def _report_request(
        self,
        worker: WorkerAnnouncement,
        listing: RunListing | None,
        refused: list[wire.RunRefusal],
        unreachable: bool,
    ) -> wire.WorkerReport:
        return wire.WorkerReport(
            header=self._header(REPORT_TIMEOUT),
            agent=str(self._address),
            epoch=self._grant.epoch,
            worker=_worker_to_wire(worker),
            clock_ms=listing.clock_ms if listing else 0,
            running=[
                wire.RunStatus(row.task, row.run, row.checkpoint, row.progress_percent, row.gauge)
                for row in (listing.running if listing else ())
            ],
            ended=[
                wire.RunEnd(row.number, row.task, row.run, END_CODES[row.kind], row.checkpoint)
                for row in (listing.ended if listing else ())
            ],
            refused=refused,
            unreachable=unreachable,
            listed=listing is not None,
            unprofiled=[
                row.task
                for row in (listing.running if listing else ())
                if row.task not in self._profiles
            ],
        )

    # Orders

    def _run_orders(self, stop: threading.Event) -> None:
        while not stop.is_set():
            owner = self._directory.wait_for_owner(OWNER_WAIT)
            grant = self._grant
            if owner is None or grant.epoch < owner.epoch or not grant.incarnation:
                # The owner knows the worker only after a report.
                self._clock.wait(stop, RETRY_PAUSE)
                continue
            if not self.fetch(owner):
                self._clock.wait(stop, RETRY_PAUSE)

    def fetch(self, owner: KnownOwner) -> bool:
        """Fetch orders from the owner and queue them.

        :returns: whether the owner answered.
        """
        worker, grant = self._announcement, self._grant
        timeout = ORDERS_WAIT + CALL_TIMEOUT
        req = wire.OrdersRequest(
            self._header(timeout),
            worker.worker_id,
            grant.incarnation,
            grant.epoch,
            ORDERS_WAIT // timedelta(milliseconds=1),
        )
        try:
            reply = self._channels.call(owner.address, "orders", req, timeout)
        except WireError as exc:
            log(Event.CONNECTION_DROPPED, peer=str(owner.address), reason=f"orders: {exc}")
            self._directory.suspect(owner.epoch)
            return False
        if reply.outcome != Outcome.OK or reply.epoch < self._grant.epoch:
            return False
        with self._lock:
            self._starting.update(start.task for start in reply.starts)
            self._profiles.update(
                (start.task, _profile_of(start.profile)) for start in reply.starts
            )
        for start in reply.starts:
            self._orders.put((worker, start, reply.fence))
        for stop in reply.stops:
            self._orders.put((worker, stop, reply.fence))
        return True

    def carry_out(self) -> None:
        """Carry out the next order, waiting for one when there is none."""
        worker, order, fence = self._orders.get()
        if isinstance(order, wire.RunStart):
            self._start_run(worker, order, fence)
            with self._lock:
                self._starting.discard(order.task)
        else:
            self._stop_run(worker, order, fence)

    def has_orders(self) -> bool:
        """Return whether orders wait to be carried out."""
        return not self._orders.empty()

    def _run_order(self, stop: threading.Event) -> None:
        while not stop.is_set():
            self.carry_out()

    def _start_run(self, worker: WorkerAnnouncement, order: wire.RunStart, fence: int) -> None:
        newest = self._announcement
        if newest.incarnation != worker.incarnation or newest.leaving:
            self._refuse(order, "the worker is leaving or has started anew")
            return
        if not self._is_sure:
            self._refuse(order, "the worker may have started anew")
            return
        run = RunOrder(order.task, order.run, order.payload, order.checkpoint, order.start_by_ms)
        try:
            refusal = self._runner.start(worker.worker_id, run, fence)
        except RunnerError as exc:
            # The owner learns from the listings whether it runs.
            log(Event.RUN_REFUSED, task=order.task, run=order.run, reason=str(exc), certain=False)
            return
        if refusal is None:
            self._open_run(worker, order, fence)
        else:
            self._refuse(order, refusal.value)

    def _open_run(self, worker: WorkerAnnouncement, order: wire.RunStart, fence: int) -> None:
        """Slow a run down that has just started, if the services beside it need that."""
        with self._pace_lock:
            percent = self._pace.open(
                _profile_of(order.profile), order.run, worker.capacity.cpu_millis
            )
        if percent == FULL_PERCENT:
            return
        try:
            self._runner.pace(worker.worker_id, order.task, order.run, percent, fence)
        except RunnerError as exc:
            log(Event.RUNTIME_UNAVAILABLE, call="pace", task=order.task, reason=str(exc))
            with self._pace_lock:
                self._pace.forget(PaceChange(order.task, order.run, percent))

    def _refuse(self, order: wire.RunStart, reason: str) -> None:
        log(Event.RUN_REFUSED, task=order.task, run=order.run, reason=reason, certain=True)
        # A superseded run may be one that was started before, whose answer was lost.
        certain = reason != StartRefusal.SUPERSEDED.value
        with self._lock:
            self._refused.append(wire.RunRefusal(order.task, order.run, reason, certain))

    def _stop_run(self, worker: WorkerAnnouncement, order: wire.RunStop, fence: int) -> None:
        try:
            self._runner.stop(worker.worker_id, order.task, order.run, fence)
        except RunnerError as exc:
            # The owner repeats the order while the run is listed.
            log(Event.RUNTIME_UNAVAILABLE, call="stop", task=order.task, reason=str(exc))

    def _header(self, timeout: timedelta) -> wire.Header:
        return wire.Header(
            request_id=uuid.uuid4().hex,
            deadline_ms=timeout // timedelta(milliseconds=1),
            config_revision=0,
            sender=f"agent/{self._name}",
            incarnation=self._incarnation,
        )


def _is_older(announcement: WorkerAnnouncement, known: WorkerAnnouncement) -> bool:
    if announcement.incarnation != known.incarnation:
        return announcement.incarnation < known.incarnation
    return announcement.sequence < known.sequence


def _worker_to_wire(worker: WorkerAnnouncement) -> wire.PoolWorker:
    return wire.PoolWorker(
        worker_id=worker.worker_id,
        incarnation=worker.incarnation,
        serves=worker.service,
        data_centre=worker.data_centre,
        labels=list(worker.labels),
        capacity=resources_to_wire(worker.capacity),
        leaving=worker.leaving,
        remaining_ms=worker.remaining // timedelta(milliseconds=1),
        machine=worker.machine,
    )


def _profile_of(row: wire.RunProfile) -> RunProfile:
    return RunProfile(row.task, row.image, row.fills, row.cpu_millis, row.target_ms, row.due_ms)

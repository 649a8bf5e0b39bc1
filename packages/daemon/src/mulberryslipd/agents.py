"""The agent beside a worker: renews its lease, reports its runs and executes commands."""

import queue
import threading
import uuid
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.duty_cycles import FULL_PERCENT, DutyCycleChange, DutyCycleController
from mulberryslip.events import Event, log
from mulberryslip.exceptions import WireError
from mulberryslip.headrooms import ColocatedRun, ImageInterference, InterferenceModel
from mulberryslip.incarnations import IncarnationNames
from mulberryslip.intervals import ReportInterval
from mulberryslip.models import Resources
from mulberryslip.runners import (
    RunListing,
    Runner,
    RunnerDisconnectedError,
    RunnerError,
    RunnerExitedError,
    RunnerFencedError,
    RunnerNotConnectedError,
    RunnerReplacedError,
    RunProfile,
    StartCommand,
    StartRefusal,
    WorkerAnnouncement,
)
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome

from .directories import KnownOwner, PoolOwnerDirectory
from .members import END_CODES
from .workers import resources_to_wire

REPORT_INTERVAL = timedelta(milliseconds=700)
"""Time between listings, and so shortest time between reports, while no run ends. A lease of 6 s
outlasts several lost reports."""

COLOCATED_REPORT_INTERVAL = timedelta(milliseconds=400)
"""The same while best-effort and latency-critical runs share the worker.

Shorter than `REPORT_INTERVAL`, since interference can arise at any time.
"""

MAX_ANNOUNCEMENT_AGE = timedelta(seconds=3)
"""Age from which an announcement does not count for starts. The worker may have announced a lower
capacity since, and workers must not be filled beyond that 3 s later."""

COMMANDS_WAIT = timedelta(seconds=2)
CALL_TIMEOUT = timedelta(seconds=1)
REPORT_TIMEOUT = timedelta(milliseconds=2500)
"""The owner replies to a report with ended runs after a commit, which may take up to 2 s."""

LISTING_LOG_INTERVAL = timedelta(seconds=1)
"""Shortest time between two log lines of an agent with its worker's listing. Each line costs
processor time, and a design size of 810 workers has as many agents."""

MAX_LOGGED_TASKS = 64
"""Maximum number of running tasks that such a log line names."""

MAX_SUCCESSORS = 4
"""Maximum number of announced workers that an agent keeps until it knows which of them replies. A
worker repeats its announcement, so one that was dropped is announced again."""

OWNER_WAIT_TIMEOUT = timedelta(milliseconds=500)
RETRY_PAUSE = timedelta(milliseconds=100)
COMMAND_THREADS = 4


class Owner(Protocol):
    """Calls that `pools.PoolOwner` serves to other processes."""

    def report(self, req: wire.WorkerReport) -> wire.WorkerReportReply:
        """Process a report."""

    def orders(self, req: wire.OrdersRequest) -> wire.OrdersReply:
        """Return the commands for a worker."""

    def submit(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Accept a workflow."""

    def status(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return the state of a workflow."""

    def cancel(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Cancel a workflow."""

    def waiting(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Count the workflows that have not begun."""


class PoolService:
    """Handlers of the Thrift service `PoolService`."""

    def __init__(self, owner: Owner):
        self._owner = owner

    def __getattr__(self, method: str) -> Callable[[Any], Any]:
        """Return the owner's handler for a method."""
        return getattr(self._owner, method)

    def ping(self, token: int) -> int:
        """Echo the token."""
        return token


@attrs.define(eq=False)
class Grant:
    """What the owner allows for the current incarnation of the worker.

    :param fence: fencing token for calls to the worker.
    :param lease_until_ms: end of the lease, on the worker's clock.
    :param ended_through: the owner has committed the ends up to this number.
    """

    incarnation: str = ""
    epoch: int = 0
    fence: int = 0
    lease_until_ms: int = 0
    ended_through: int = 0


@attrs.frozen
class _UnansweredStart:
    """A start command that the worker may still execute.

    :param run: number of the run.
    :param incarnation: incarnation of the worker that got it.
    :param start_by_ms: latest start on the worker's clock, in milliseconds.
    :param is_in_flight: whether a later incarnation may get it.
    """

    run: int
    incarnation: str
    start_by_ms: int
    is_in_flight: bool


@attrs.frozen
class _LoggedListing:
    """What the last log line of a listing said.

    :param tasks: the running tasks, also those that the line did not name.
    :param at: when it was logged.
    """

    worker_id: str
    capacity: Resources
    tasks: list[str]
    at: timedelta


class Agent:
    """Controls one worker on behalf of the owner of the pool.

    :param runner: the worker.
    :param address: Thrift address of this process.
    :param take_over: called with the epoch of an owner that asks this process to take its pool
        over; returns at once.
    :param observe: called when the owner asks this process to watch its confirmations; returns at
        once.
    """

    def __init__(
        self,
        runner: Runner,
        directory: PoolOwnerDirectory,
        channels: ChannelPool,
        address: Address,
        name: str,
        clock: Clock,
        take_over: Callable[[int], None],
        observe: Callable[[], None],
    ):
        self._take_over = take_over
        self._observe = observe
        self._runner = runner
        self._directory = directory
        self._channels = channels
        self._address = address
        self._name = name
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        # Incarnations in announcements, grants, reports and commands have the names of this table.
        self._names = IncarnationNames()
        self._announcement: WorkerAnnouncement | None = None
        # Announcements of other workers by id, the newest last. Each may come from another writer.
        self._successors: dict[str, WorkerAnnouncement] = {}
        self._announced = threading.Event()
        self._grant = Grant()
        self._is_incarnation_confirmed = False
        self._pending_refusals: list[wire.RunRefusal] = []
        self._commands: queue.SimpleQueue = queue.SimpleQueue()
        self._interferences = InterferenceModel()
        self._duty_cycles = DutyCycleController(self._interferences)
        self._duty_cycles_lock = threading.Lock()
        self._profiles: dict[str, RunProfile] = {}
        # Runs whose start commands are queued or on their way, by task.
        self._starting_runs: dict[str, int] = {}
        self._unanswered_starts: dict[str, _UnansweredStart] = {}
        self._report_interval = ReportInterval()
        self._reported_at: timedelta | None = None
        self._reported_leaving = False
        self._reported_absence = ("", 0)
        self._absent_incarnation = ""
        # Highest capacity by which the owner may place runs on this incarnation of the worker.
        self._owner_capacity: Resources | None = None
        # The worker's clock when it last listed its runs, and when that listing arrived.
        self._listed = (0, clock.monotonic())
        self._listed_incarnation = ""
        self._has_listed_ends = False
        # Whether an unanswered start is past its deadline, but the last listing may be older.
        self._is_start_overdue = False
        self._logged_listing: _LoggedListing | None = None

    # Calls from the worker

    def announce(self, announcement: WorkerAnnouncement) -> None:
        """Store a worker's announcement, unless it is older than the known one.

        Anyone may send an announcement, so one under another id does not replace the known worker
        before a worker has replied under that id.
        """
        with self._lock:
            announcement = attrs.evolve(
                announcement, incarnation=self._names.name_of(announcement.incarnation)
            )
            known = self._announcement
            if known is not None and known.worker_id != announcement.worker_id:
                self._add_successor(announcement)
                return
            if known is not None and _is_older(announcement, known):
                return
            self._use_announcement(announcement)

    def _add_successor(self, announcement: WorkerAnnouncement) -> None:
        """Keep the announcement of another worker, unless it is older than the known one."""
        earlier = self._successors.get(announcement.worker_id)
        if earlier is not None and _is_older(announcement, earlier):
            return
        self._successors.pop(announcement.worker_id, None)
        while len(self._successors) >= MAX_SUCCESSORS:
            del self._successors[next(iter(self._successors))]
        self._successors[announcement.worker_id] = announcement

    def _use_announcement(self, announcement: WorkerAnnouncement) -> None:
        """Replace the known announcement; the caller holds the lock."""
        known = self._announcement
        self._announcement = announcement
        is_new = known is None or known.incarnation != announcement.incarnation
        if is_new:
            self._owner_capacity = None
            log(
                Event.WORKER_ANNOUNCED,
                worker=announcement.worker_id,
                incarnation=announcement.incarnation,
                earlier="" if known is None else known.incarnation,
            )
        if announcement.leaving and (is_new or not known.leaving):
            # Starts are refused from now on; the next report tells the owner.
            log(Event.WORKER_LEAVING, worker=announcement.worker_id)
        self._announced.set()

    def mark_leaving(self, worker_id: str) -> None:
        """Mark the worker as leaving, since it said that it is exiting."""
        with self._lock:
            self._successors.pop(worker_id, None)
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
        loops += [(f"order-{number}", self._run_order) for number in range(COMMAND_THREADS)]
        for name, loop in loops:
            threading.Thread(
                target=self._run_guarded, args=(loop, stop), name=name, daemon=True
            ).start()

    def _run_guarded(self, loop: Callable[[threading.Event], None], stop: threading.Event) -> None:
        while not stop.is_set():
            try:
                loop(stop)
            except Exception as exc:
                # If this thread ended, the worker's lease would expire.
                log(Event.INTERNAL_ERROR, what=loop.__name__, reason=repr(exc))
                self._clock.wait(stop, RETRY_PAUSE)

    def _run_holder(self, stop: threading.Event) -> None:
        while not stop.is_set():
            if not self._clock.wait(self._announced, REPORT_INTERVAL):
                continue
            owner = self._directory.wait_for_owner(OWNER_WAIT_TIMEOUT)
            if not self.renew_and_report(owner, self._directory.owner):
                self._clock.wait(stop, RETRY_PAUSE)

    def renew_and_report(
        self,
        owner: KnownOwner | None,
        owner_after_listing: Callable[[], KnownOwner | None] | None = None,
    ) -> bool:
        """Renew the lease, list the runs and report them to the owner if a report is due.

        :param owner_after_listing: returns the owner once the runs are listed; it may have changed
            since, and a lost one would keep this thread until the report times out. `owner` if
            None.
        :returns: whether to continue at once; False when the worker or the owner could not be
            reached.
        """
        if not self._is_incarnation_confirmed:
            self._find_successor()
        worker = self._announcement
        grant = self._grant
        if grant.incarnation != worker.incarnation:
            # Without the fencing token of this incarnation the worker could execute a command
            # meant for an earlier one.
            return owner is not None and self._report(owner, worker, None)
        # After a failed call the worker may have restarted under the same id. Then the number of
        # acknowledged ends of its earlier incarnation would make it drop ends of the new one.
        is_confirmed = self._is_incarnation_confirmed
        with self._lock:
            newest = self._names.newest(worker.worker_id, worker.incarnation)
            requested_ms = self._listed_ms_of(worker)
            started_profiles = {
                task: profile
                for task, profile in self._profiles.items()
                if task not in self._starting_runs and not self._may_start(task, requested_ms)
            }
        lease_until_ms = grant.lease_until_ms if is_confirmed else 0
        # If the next incarnation executes the call, it drops its own ends up to this number.
        ended_through = grant.ended_through if is_confirmed and self._has_listed_ends else 0
        sent = {
            "fence": grant.fence,
            "lease_until_ms": lease_until_ms,
            "ended_through": ended_through,
        }
        try:
            listing = self._runner.extend_lease(
                worker.worker_id,
                grant.fence,
                lease_until_ms,
                ended_through,
                self._listing_interval(),
            )
        except RunnerExitedError as exc:
            self._is_incarnation_confirmed = False
            if self._absent_incarnation != worker.incarnation:
                self._absent_incarnation = worker.incarnation
                log(Event.RUNTIME_UNAVAILABLE, call="hold", reason=str(exc), absent=True)
            if owner is not None and self._is_absence_report_due(owner, worker):
                self._reported_absence = (worker.incarnation, owner.epoch)
                self._report(owner, worker, None, unreachable=True)
            return False
        except RunnerError as exc:
            self._is_incarnation_confirmed = False
            log(
                Event.RUNTIME_UNAVAILABLE,
                call="hold",
                reason=str(exc),
                incarnation=worker.incarnation,
                **sent,
            )
            if isinstance(exc, RunnerFencedError):
                self._grant = Grant(epoch=grant.epoch)
            elif owner is not None and owner.epoch == grant.epoch:
                self._report_refusals(owner, worker)
            return False
        self._is_incarnation_confirmed = (
            self._confirmed_incarnation(listing, newest) == worker.incarnation
        )
        if not self._is_incarnation_confirmed:
            # The worker has restarted and will announce its new incarnation, or that has got
            # another name under which the owner does not know it yet.
            log(
                Event.INCARNATION_CHANGED,
                worker=worker.worker_id,
                expected=worker.incarnation,
                reported=listing.incarnation,
                clock_ms=listing.clock_ms,
                **sent,
            )
            self._grant = Grant(epoch=grant.epoch)
            return False
        self._listed = (listing.clock_ms, self._clock.monotonic())
        self._has_listed_ends = bool(listing.ended)
        self._listed_incarnation = worker.incarnation
        worker = self._newest_announcement(worker)
        self._log_listing(worker, listing)
        was_start_overdue = self._is_start_overdue
        self._drop_profiles(worker, listing, requested_ms, started_profiles)
        self._adjust_duty_cycles(worker, listing)
        if self._is_outdated(worker):
            # Without capacity, the worker keeps its runs and gets no new ones.
            worker = attrs.evolve(worker, capacity=Resources())
        if owner_after_listing is not None:
            owner = owner_after_listing()
        if owner is None:
            return False
        is_due = was_start_overdue or self._is_report_due(owner, worker, listing)
        return not is_due or self._report(owner, worker, listing)

    def _find_successor(self) -> None:
        """Use the announcement of another worker if a worker replies under its id.

        The call has no effect: its fencing token is the lowest, and it extends no lease.
        """
        with self._lock:
            successors = list(self._successors.values())
        for successor in reversed(successors):
            reported = successor.incarnation
            try:
                listing = self._runner.extend_lease(successor.worker_id, 0, 0, 0, timedelta())
                reported = listing.incarnation
            except RunnerFencedError:
                # It has replied under that id, and another agent has called it before.
                pass
            except RunnerReplacedError as exc:
                self._drop_successor(successor, str(exc))
                continue
            except RunnerError:
                # No worker replies now, under whichever id.
                return
            if reported != successor.incarnation:
                self._drop_successor(successor, f"the worker that replies is {reported}")
                continue
            with self._lock:
                # It may have announced meanwhile that it leaves, or have left.
                newest = self._successors.get(successor.worker_id)
                if newest is not None and newest.incarnation == reported:
                    # Its name must sort last, also if the VM's clock was set back.
                    name = self._names.confirm(reported, self._announcement.incarnation)
                    self._successors.clear()
                    self._use_announcement(attrs.evolve(newest, incarnation=name))
            return

    def _drop_successor(self, successor: WorkerAnnouncement, reason: str) -> None:
        log(
            Event.ANNOUNCEMENT_REFUSED,
            worker=successor.worker_id,
            incarnation=successor.incarnation,
            service=successor.service,
            reason=reason,
        )
        with self._lock:
            if self._successors.get(successor.worker_id) is successor:
                del self._successors[successor.worker_id]

    def _confirmed_incarnation(self, listing: RunListing, newest: str) -> str:
        """Return the name of the incarnation that has listed its runs.

        :param newest: newest incarnation that was known before the listing was requested.
        """
        with self._lock:
            before = self._names.name_of(listing.incarnation)
            name = self._names.confirm(listing.incarnation, newest)
            is_renamed = name != before and self._announcement.incarnation == before
            if is_renamed:
                self._announcement = attrs.evolve(self._announcement, incarnation=name)
                self._owner_capacity = None
        if name != before:
            log(Event.INCARNATION_RENAMED, reported=listing.incarnation, name=name, earlier=newest)
        return name

    def _newest_announcement(self, worker: WorkerAnnouncement) -> WorkerAnnouncement:
        """Return the newest announcement of the incarnation that made the given one."""
        newest = self._announcement
        return newest if newest.incarnation == worker.incarnation else worker

    def _log_listing(self, worker: WorkerAnnouncement, listing: RunListing) -> None:
        """Log a listing, unless the last line is recent or said the same.

        A change that comes too soon after the last line is logged with a later listing.
        """
        now = self._clock.monotonic()
        last = self._logged_listing
        if last is not None and now - last.at < LISTING_LOG_INTERVAL:
            return
        tasks = sorted(row.task for row in listing.running)
        current = _LoggedListing(worker.worker_id, worker.capacity, tasks, now)
        if last is not None and current == attrs.evolve(last, at=now):
            return
        self._logged_listing = current
        log(
            Event.WORKER_LISTING,
            worker=worker.worker_id,
            capacity=list(worker.capacity.amounts()),
            running=tasks[:MAX_LOGGED_TASKS],
            total=len(tasks),
        )

    def _listed_ms_of(self, worker: WorkerAnnouncement) -> int:
        """Return the worker's clock in the last listing of this incarnation; 0 before the first."""
        return self._listed[0] if self._listed_incarnation == worker.incarnation else 0

    def _may_start(self, task: str, requested_ms: int) -> bool:
        """Return whether an unanswered start of a task may take place after a listing.

        The worker may have read its clock after it made the lists, so a start in time can be
        missing in a listing of a later time. It is listed if the listing was requested after its
        deadline.

        :param requested_ms: a value that the worker's clock had reached when the listing was
            requested.
        """
        start = self._unanswered_starts.get(task)
        return start is not None and requested_ms <= start.start_by_ms

    def _is_outdated(self, worker: WorkerAnnouncement) -> bool:
        """Return whether an announcement of the listed incarnation is too old for starts.

        Its age is measured on the worker's clock, since an announcement can arrive late.
        """
        listed_ms, listed_at = self._listed
        age = timedelta(milliseconds=listed_ms - worker.clock_ms)
        age += self._clock.monotonic() - listed_at
        return worker.clock_ms > 0 and age > MAX_ANNOUNCEMENT_AGE

    def _is_report_due(
        self, owner: KnownOwner, worker: WorkerAnnouncement, listing: RunListing
    ) -> bool:
        """Return whether a listing says something new or the last report is old enough."""
        if listing.ended or self._pending_refusals or self._reported_at is None:
            return True
        if self._is_start_overdue:
            return True
        if owner.epoch != self._grant.epoch or worker.leaving != self._reported_leaving:
            return True
        if worker.capacity != self._owner_capacity or self._unprofiled(listing):
            return True
        return self._clock.monotonic() - self._reported_at >= self._report_interval.interval()

    def _unprofiled(self, listing: RunListing) -> list[str]:
        """Return the tasks with a listed run that is not paced, since its profile is not known."""
        with self._lock:
            return [row.task for row in listing.running if row.task not in self._profiles]

    def _is_absence_report_due(self, owner: KnownOwner, worker: WorkerAnnouncement) -> bool:
        """Return whether the owner has to hear, or hear again, that the worker has ended."""
        if self._reported_at is None or self._pending_refusals:
            return True
        if self._reported_absence != (worker.incarnation, owner.epoch):
            return True
        return self._clock.monotonic() - self._reported_at >= REPORT_INTERVAL

    def _listing_interval(self) -> timedelta:
        if self._is_start_overdue:
            # The owner relies on a listing requested after the deadline, and the task waits for it.
            return timedelta()
        return COLOCATED_REPORT_INTERVAL if self._is_colocated() else REPORT_INTERVAL

    def _is_colocated(self) -> bool:
        with self._lock:
            profiles = self._profiles.values()
            return any(p.fills for p in profiles) and any(p.target_ms for p in profiles)

    def _drop_profiles(
        self,
        worker: WorkerAnnouncement,
        listing: RunListing,
        requested_ms: int,
        started_profiles: Mapping[str, RunProfile],
    ) -> None:
        """Drop the profiles of runs that have ended, and the unanswered starts that are settled.

        :param requested_ms: a value that the worker's clock had reached when the listing was
            requested.
        :param started_profiles: profiles whose starts were answered or settled when the listing was
            requested. An older listing may lack a run that has started since.
        """
        listed = {row.task for row in listing.running}
        with self._lock:
            for task, profile in started_profiles.items():
                # The next run of a task comes with a profile of its own.
                if task not in listed and self._profiles.get(task) is profile:
                    del self._profiles[task]
            self._unanswered_starts = {
                task: start
                for task, start in self._unanswered_starts.items()
                if start.incarnation == worker.incarnation and self._may_start(task, requested_ms)
            }
            self._is_start_overdue = any(
                task not in listed and listing.clock_ms > start.start_by_ms
                for task, start in self._unanswered_starts.items()
            )

    def _adjust_duty_cycles(self, worker: WorkerAnnouncement, listing: RunListing) -> None:
        with self._lock:
            profiles = dict(self._profiles)
        colocated_runs = [
            ColocatedRun(row, profiles[row.task]) for row in listing.running if row.task in profiles
        ]
        with self._duty_cycles_lock:
            changes = self._duty_cycles.update(
                colocated_runs, worker.capacity.cpu_millis, listing.clock_ms
            )
        for change in changes:
            self._set_duty_cycle(worker, change, self._grant.fence)
        if changes:
            log(
                Event.RUNS_PACED,
                paces=[[change.task, change.percent] for change in changes],
                clock_ms=listing.clock_ms,
                tails=[
                    [
                        colocated_run.profile.image,
                        colocated_run.listed_run.gauge,
                        colocated_run.profile.target_ms,
                    ]
                    for colocated_run in colocated_runs
                    if colocated_run.profile.target_ms
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

        :param listing: the worker's runs; None to get a fencing token, or when the worker has ended
            or does not reply.
        :param unreachable: whether the worker refused the connection.
        :returns: whether the owner accepted the report.
        """
        with self._lock:
            refused, self._pending_refusals = self._pending_refusals, []
            if listing is not None and self._owner_capacity is not None:
                # The owner may accept a report whose reply is lost.
                self._owner_capacity = _highest(self._owner_capacity, worker.capacity)
            rows = refused + self._starts_in_flight(worker) if unreachable else refused
        req = self._report_request(worker, listing, rows, unreachable)
        self._reported_at = self._clock.monotonic()
        try:
            reply = self._channels.call(owner.address, "report", req, REPORT_TIMEOUT)
        except WireError as exc:
            self._reported_at = None
            log(Event.CONNECTION_DROPPED, peer=str(owner.address), reason=f"report: {exc}")
            self._directory.report_failure(owner.epoch)
            with self._lock:
                self._pending_refusals = refused + self._pending_refusals
            return False
        if reply.outcome != Outcome.OK:
            self._reported_at = None
            self._directory.report_failure(owner.epoch)
            return False
        self._reported_leaving = worker.leaving
        with self._lock:
            if listing is not None and worker.incarnation == self._announcement.incarnation:
                self._owner_capacity = worker.capacity
        if not req.ended:
            # The reply to a report with ended runs waits for the commit.
            self._report_interval.observe(self._clock.monotonic() - self._reported_at)
        self._update_grant(worker, reply)
        if reply.epoch >= self._grant.epoch:
            with self._duty_cycles_lock:
                self._duty_cycles.use_filters(bool(reply.stable_duty_cycles))
        if reply.newest_incarnation:
            with self._lock:
                self._names.record_known(worker.worker_id, reply.newest_incarnation)
        if reply.take_over:
            self._take_over(reply.epoch)
        if reply.observes_confirmations:
            self._observe()
        return True

    def _report_refusals(self, owner: KnownOwner, worker: WorkerAnnouncement) -> None:
        """Report the refused starts of a worker that does not reply.

        Such starts must not wait for its next listing, since their tasks can run elsewhere.
        """
        with self._lock:
            is_due = any(refusal.certain for refusal in self._pending_refusals)
        if is_due:
            self._report(owner, worker, None)
            # The next listing is due at once, as it renews the lease.
            self._reported_at = None

    def _starts_in_flight(self, worker: WorkerAnnouncement) -> list[wire.RunRefusal]:
        """Return the starts that a later incarnation of a worker may execute.

        The caller holds the lock.
        """
        runs = set(self._starting_runs.items())
        runs |= {
            (task, start.run)
            for task, start in self._unanswered_starts.items()
            if start.incarnation == worker.incarnation and start.is_in_flight
        }
        return [
            wire.RunRefusal(task, run, "no answer yet", certain=False) for task, run in sorted(runs)
        ]

    def _update_grant(self, worker: WorkerAnnouncement, reply: wire.WorkerReportReply) -> None:
        with self._lock:
            self._profiles.update((row.task, _profile_from_wire(row)) for row in reply.profiles)
            self._interferences.accept_estimates(
                ImageInterference(row.filling, row.serving, row.value) for row in reply.pressures
            )
            grant = self._grant
            if reply.epoch < grant.epoch:
                return
            is_same_incarnation = grant.incarnation == worker.incarnation
            self._grant = Grant(
                worker.incarnation,
                reply.epoch,
                # A worker under a new id has seen no token; that of its predecessor can be higher.
                max(reply.fence, grant.fence if is_same_incarnation else 0),
                max(reply.lease_until_ms, grant.lease_until_ms if is_same_incarnation else 0),
                max(reply.ended_through, grant.ended_through if is_same_incarnation else 0),
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
            unprofiled=self._unprofiled(listing) if listing else [],
            complete=listing is not None and listing.is_complete,
        )

    # Orders

    def _run_orders(self, stop: threading.Event) -> None:
        while not stop.is_set():
            owner = self._directory.wait_for_owner(OWNER_WAIT_TIMEOUT)
            grant = self._grant
            if owner is None or grant.epoch < owner.epoch or not grant.incarnation:
                # The owner knows the worker only after its first report.
                self._clock.wait(stop, RETRY_PAUSE)
                continue
            if not self.fetch_commands(owner):
                self._clock.wait(stop, RETRY_PAUSE)

    def fetch_commands(self, owner: KnownOwner) -> bool:
        """Fetch commands from the owner and queue them.

        :returns: whether the owner replied with commands of its current epoch.
        """
        with self._lock:
            worker, grant, capacity = self._announcement, self._grant, self._owner_capacity
        if capacity is None:
            # The owner may know a higher capacity from an agent that ran here before.
            return False
        worker = attrs.evolve(worker, capacity=capacity)
        timeout = COMMANDS_WAIT + CALL_TIMEOUT
        req = wire.OrdersRequest(
            self._header(timeout),
            worker.worker_id,
            grant.incarnation,
            grant.epoch,
            COMMANDS_WAIT // timedelta(milliseconds=1),
        )
        try:
            reply = self._channels.call(owner.address, "orders", req, timeout)
        except WireError as exc:
            log(Event.CONNECTION_DROPPED, peer=str(owner.address), reason=f"orders: {exc}")
            self._directory.report_failure(owner.epoch)
            return False
        if reply.outcome != Outcome.OK or reply.epoch < self._grant.epoch:
            return False
        with self._lock:
            self._starting_runs.update((start.task, start.run) for start in reply.starts)
            self._profiles.update(
                (start.task, _profile_from_wire(start.profile)) for start in reply.starts
            )
        for start in reply.starts:
            self._commands.put((worker, start, reply.fence))
        for stop in reply.stops:
            self._commands.put((worker, stop, reply.fence))
        return True

    def execute_next_command(self) -> None:
        """Execute the next command, waiting for one if the queue is empty."""
        worker, command, fence = self._commands.get()
        if isinstance(command, wire.RunStart):
            self._start_run(worker, command, fence)
            with self._lock:
                if self._starting_runs.get(command.task) == command.run:
                    del self._starting_runs[command.task]
        else:
            self._stop_run(worker, command, fence)

    def has_pending_commands(self) -> bool:
        """Return whether commands are queued."""
        return not self._commands.empty()

    def _run_order(self, stop: threading.Event) -> None:
        while not stop.is_set():
            self.execute_next_command()

    def _start_run(self, worker: WorkerAnnouncement, command: wire.RunStart, fence: int) -> None:
        """Start a run, unless it was meant for a worker in another state.

        :param worker: the worker as the owner may have known it when it placed the run.
        """
        newest = self._announcement
        if newest.incarnation != worker.incarnation or newest.leaving:
            self._refuse(command, "the worker is leaving or has started anew")
            return
        if not self._is_incarnation_confirmed:
            self._refuse(command, "the worker may have started anew")
            return
        if self._is_outdated(newest):
            self._refuse(command, "the worker has not announced itself recently")
            return
        if not worker.capacity.fits(newest.capacity):
            self._refuse(command, "the worker's capacity has shrunk")
            return
        run = StartCommand(
            command.task, command.run, command.payload, command.checkpoint, command.start_by_ms
        )
        try:
            refusal = self._runner.start(worker.worker_id, run, fence)
        except RunnerNotConnectedError as exc:
            self._refuse(command, str(exc))
            return
        except RunnerError as exc:
            # The owner learns from the next listings whether the run was started.
            with self._lock:
                self._unanswered_starts[command.task] = _UnansweredStart(
                    command.run,
                    worker.incarnation,
                    command.start_by_ms,
                    not isinstance(exc, RunnerDisconnectedError),
                )
            log(
                Event.RUN_REFUSED,
                task=command.task,
                run=command.run,
                reason=str(exc),
                certain=False,
                fence=fence,
                start_by_ms=command.start_by_ms,
                listed_ms=self._listed[0],
            )
            return
        if refusal is None:
            self._set_initial_duty_cycle(newest, command, fence)
        else:
            self._refuse(command, refusal.value)

    def _set_initial_duty_cycle(
        self, worker: WorkerAnnouncement, command: wire.RunStart, fence: int
    ) -> None:
        """Limit the duty cycle of a run that has just started, if the colocated runs need that."""
        with self._duty_cycles_lock:
            percent = self._duty_cycles.initial_percent(
                _profile_from_wire(command.profile), command.run, worker.capacity.cpu_millis
            )
        if percent != FULL_PERCENT:
            change = DutyCycleChange(command.task, command.run, percent)
            self._set_duty_cycle(worker, change, fence)

    def _set_duty_cycle(
        self, worker: WorkerAnnouncement, change: DutyCycleChange, fence: int
    ) -> None:
        try:
            self._runner.set_duty_cycle(
                worker.worker_id, change.task, change.run, change.percent, fence
            )
        except RunnerError as exc:
            log(Event.RUNTIME_UNAVAILABLE, call="pace", task=change.task, reason=str(exc))
            with self._duty_cycles_lock:
                self._duty_cycles.mark_not_applied(change)
            return
        with self._duty_cycles_lock:
            self._duty_cycles.mark_applied(change)

    def _refuse(self, command: wire.RunStart, reason: str) -> None:
        log(Event.RUN_REFUSED, task=command.task, run=command.run, reason=reason, certain=True)
        # A superseded run may have been started by an earlier call whose reply was lost.
        certain = reason != StartRefusal.SUPERSEDED.value
        with self._lock:
            self._pending_refusals.append(
                wire.RunRefusal(command.task, command.run, reason, certain)
            )

    def _stop_run(self, worker: WorkerAnnouncement, command: wire.RunStop, fence: int) -> None:
        try:
            self._runner.stop(worker.worker_id, command.task, command.run, fence)
        except RunnerError as exc:
            # The owner repeats the command while the run is listed.
            log(Event.RUNTIME_UNAVAILABLE, call="stop", task=command.task, reason=str(exc))

    def _header(self, timeout: timedelta) -> wire.Header:
        return wire.Header(
            request_id=uuid.uuid4().hex,
            deadline_ms=timeout // timedelta(milliseconds=1),
            config_revision=0,
            sender=f"agent/{self._name}",
            incarnation=self._incarnation,
        )


def _highest(first: Resources, second: Resources) -> Resources:
    return Resources(*map(max, first.amounts(), second.amounts()))


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


def _profile_from_wire(row: wire.RunProfile) -> RunProfile:
    return RunProfile(row.task, row.image, row.fills, row.cpu_millis, row.target_ms, row.due_ms)

"""An ownership term of a pool: its state, its journal and the calls that wait for a decision."""

import threading
from collections import deque
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.breakdowns import TimeBreakdowns
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InventoryError, StoreError, StoreUnavailableError
from mulberryslip.handovers import HandoverPolicy
from mulberryslip.journals import Journal, SnapshotSize
from mulberryslip.outages import WorkerCrashes
from mulberryslip.snapshots import MAX_STATE_TEXT_BYTES, RetryPauses, SnapshotBudget
from mulberryslip.vms import Silence, VMInventory, WorkerAbsences
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import Pool, StepTask

from .claims import OwnerClaim
from .confirmations import ConfirmationRecord
from .members import Member
from .peaks import PeakControl
from .pending_starts import PendingStarts
from .service_waits import ServiceWaits
from .sessions import Session
from .settlements import SettlementRecord
from .silences import SilenceRecord
from .sources import OutageLog

CLOCK_RATE_FACTOR = 1.03
"""Factor that covers a worker's clock being up to 2 % slow."""

LEASE_MARGIN = timedelta(milliseconds=200)

MAX_FORGOTTEN_WORKERS = 10_000
"""Maximum number of removed workers whose fencing tokens are remembered."""

HORIZON_EXCESS = timedelta(milliseconds=1200)
"""Time from a confirmation within which workers get leases of full length. It covers the time
between two confirmations."""

CONFIRMATIONS_PER_LEASE = 6
"""Confirmations of the owner key per store lease; several in a row may fail."""

CONFIRMATION_RETRY_PAUSE = timedelta(milliseconds=100)
"""Time after a failed confirmation until the next one. Leases of workers are not extended in the
meantime."""

RETRY_AFTER = timedelta(seconds=1)
"""Delay after which callers should retry. A new owner takes over within the store lease of 3 s,
most of which has passed when the owner is missed; a newer configuration arrives within a second."""

MAX_CONFIRMATION_WAIT = timedelta(milliseconds=500)
"""Maximum wait for a read of the owner key by another call; gateways wait up to 1 s for a reply."""

VM_CHECK_INTERVAL = timedelta(milliseconds=500)
"""Time between listings of VMs while workers with runs are silent. The first one is requested as
soon as a worker is."""


@attrs.frozen
class PoolLeaseTimes:
    """Lease times that decide when a task may be started on another worker.

    :param lease: lease of a worker, measured on its own clock.
    :param store_lease: store lease of the owner.
    :param max_lease: longest lease that a worker accepts, if that is longer.
    """

    lease: timedelta = timedelta(seconds=6)
    store_lease: timedelta = timedelta(seconds=3)
    max_lease: timedelta = timedelta()

    @property
    def max_silence(self) -> timedelta:
        """Return how long a worker can be silent before all its runs have certainly ended."""
        return self.lease * CLOCK_RATE_FACTOR + LEASE_MARGIN

    @property
    def horizon(self) -> timedelta:
        """Return how long after a confirmation a lease that an owner grants can end."""
        return self.lease + HORIZON_EXCESS

    @property
    def unfenced_excess(self) -> timedelta:
        """Return how much longer a lease can be than `lease` before the worker knows its token.

        Until then, it executes calls that were meant for its earlier incarnation. The time in such
        a call is on an earlier clock, so it can be far ahead, and the worker takes the longest
        lease that it accepts.
        """
        return max(timedelta(), self.max_lease - self.lease) * CLOCK_RATE_FACTOR


@attrs.frozen
class ConfirmedLeases:
    """What the record of earlier owners' confirmations tells about the leases of workers.

    :param ended_at: when all leases that an earlier owner can have granted have certainly ended;
        None if the record tells nothing.
    :param listed: long-running tasks with a run, by number, that had been listed by a worker. No
        start of such a run is on its way.
    """

    ended_at: timedelta | None = None
    listed: frozenset[tuple[str, int]] = frozenset()

    @classmethod
    def after(
        cls, seen_at: timedelta, horizon: timedelta, listed: frozenset[tuple[str, int]]
    ) -> "ConfirmedLeases":
        """Return what follows from the last confirmation of an earlier owner.

        :param seen_at: when this process knew that it was stored.
        :param horizon: see `PoolLeaseTimes.horizon`, as its owner granted leases.
        """
        return cls(seen_at + horizon * CLOCK_RATE_FACTOR + LEASE_MARGIN, listed)


@attrs.define(eq=False)
class QueuedCall:
    """A call that waits for the decision thread.

    :param decide: returns the call's events; the decision thread calls it with the lock held.
    :param size: size of the request, in bytes.
    :param done: set once the outcome is known.
    :param is_dequeued: whether a round has removed it from the inbox.
    :param retry_after: delay after which the caller should retry a call that was not run.
    """

    decide: Callable[[], list[Any]]
    size: int = 0
    done: threading.Event = attrs.field(factory=threading.Event)
    is_dequeued: bool = False
    outcome: int = Outcome.OUTCOME_UNKNOWN
    reason: str = ""
    retry_after: timedelta = RETRY_AFTER


class PoolTerm:
    """State of one ownership term.

    :param epoch: version of the store key that names this owner.
    :param pool: the state recovered from the journal.
    :param journal: receives the events of this term.
    :param session: store lease that the owner key is bound to.
    :param claim: the owner key.
    :param claimed_at: time before the owner key was written, on the process's clock.
    :param times: lease times of workers and of the owner.
    :param silences: tells the next owner which workers are silent.
    :param settlements: tells the next owner which workers hold no lease of an unknown length.
    :param granted_until: by worker, when any earlier owner can have granted a lease last, as far as
        that is known to be earlier than `previous_owner_granted_until`.
    :param confirmations: tells the next owner when the last leases of this one can end.
    :param confirmed_leases: what the record of earlier owners told.
    :param peaks: admission control at peak load.
    """

    def __init__(
        self,
        epoch: int,
        pool: Pool,
        journal: Journal,
        session: Session,
        claim: OwnerClaim,
        claimed_at: timedelta,
        clock: Clock,
        times: PoolLeaseTimes,
        silences: SilenceRecord,
        settlements: SettlementRecord,
        granted_until: dict[str, timedelta],
        confirmations: ConfirmationRecord,
        confirmed_leases: ConfirmedLeases,
        peaks: PeakControl,
    ):
        self.confirmations = confirmations
        self.confirmed_leases = confirmed_leases
        self.peaks = peaks
        self.silences = silences
        self.settlements = settlements
        self._granted_until = granted_until
        self.epoch = epoch
        self.pool = pool
        self.journal = journal
        self.session = session
        self.claim = claim
        self.handover = HandoverPolicy()
        self.has_asked_for_takeover = False
        self.budget = SnapshotBudget(SnapshotSize(journal.max_snapshot_bytes, MAX_STATE_TEXT_BYTES))
        self.snapshot_retries = RetryPauses()
        self.is_full = False
        self.lock = threading.Lock()
        self._clock = clock
        self._times = times
        self._confirmed_until = claimed_at + times.store_lease
        self._named_at = claimed_at
        # The store may delete the owner key before the store lease expires. The previous owner
        # then grants leases to workers until it notices, at the latest one store lease after it has
        # last confirmed its key.
        self.previous_owner_granted_until = clock.monotonic() + times.store_lease
        self.started_at = clock.monotonic()
        self.claimed_ms = int(clock.now().timestamp() * 1000)
        self.absences = WorkerAbsences()
        self._has_silences = threading.Event()
        self.crashes = WorkerCrashes()
        self.breakdowns = TimeBreakdowns()
        self.members: dict[str, Member] = {}
        self._forgotten: dict[str, int] = {}
        self.pending_starts = PendingStarts(times.max_silence + times.unfenced_excess)
        self.service_waits = ServiceWaits(self.started_at)
        self.unchecked_workers: set[str] = set()
        """Workers that have listed their runs since it was last checked which runs to stop."""
        self.inbox: deque[QueuedCall] = deque()
        self.wake = threading.Event()
        self.is_confirmation_due = threading.Event()
        self.ended = threading.Event()
        self._session_id = session.session_id
        self.note_unlisted_services()
        self._confirm_lock = threading.Lock()

    def earlier_grants_until(self, worker_id: str) -> timedelta:
        """Return when any earlier owner can have granted a worker a lease last."""
        return self._granted_until.get(worker_id, self.previous_owner_granted_until)

    def has_recorded_grant(self, worker_id: str) -> bool:
        """Return whether an earlier owner has recorded when the worker's lease began."""
        return worker_id in self._granted_until

    def add_member(self, worker_id: str) -> Member:
        """Add a worker that reports for the first time, or again after it was removed.

        Its fencing tokens go on from those that it had before.
        """
        member = Member(
            worker_id,
            received_at=self.earlier_grants_until(worker_id),
            incarnations=self._forgotten.pop(worker_id, 0),
        )
        self.members[worker_id] = member
        return member

    def remove_member(self, worker_id: str) -> None:
        """Remove a worker that has not reported for long."""
        self._forgotten[worker_id] = self.members.pop(worker_id).incarnations
        if len(self._forgotten) > MAX_FORGOTTEN_WORKERS:
            del self._forgotten[next(iter(self._forgotten))]

    def is_live(self) -> bool:
        """Return whether this process may act as the owner now."""
        return self.remaining() > timedelta()

    def remaining(self) -> timedelta:
        """Return how long this process may act as the owner if the store does not answer."""
        if self.ended.is_set() or not self.is_claimed():
            return timedelta()
        until_unconfirmed = self._confirmed_until - self._clock.monotonic()
        return max(timedelta(), min(self.session.remaining(), until_unconfirmed))

    def lease_time(self, at: timedelta) -> timedelta:
        """Return how long a lease can be that begins at a time and is granted now; 0 for none."""
        confirmed_at = self._confirmed_until - self._times.store_lease
        return max(timedelta(), min(self._times.lease, confirmed_at + self._times.horizon - at))

    def note_unlisted_services(self) -> None:
        """Note the long-running tasks whose runs no worker is known to have listed.

        The next confirmations state them. The caller holds the lock, and all events that were
        applied to the state are committed.
        """
        unlisted = frozenset(
            (task.name, task.run)
            for worker_id in self.pool.workers_with_runs()
            for task in self.pool.active_tasks(worker_id)
            if task.spec.lasting and not self.is_listed(task)
        )
        self._unlisted_services = (self.journal.seq, unlisted)

    def is_listed(self, task: StepTask) -> bool:
        """Return whether a worker is known to have listed the active run of a task."""
        key = (task.name, task.run)
        member = self.members.get(task.worker_id)
        return key in self.confirmed_leases.listed or (
            member is not None and key in member.first_listed_at
        )

    def confirm_key(self) -> None:
        """Confirm that the owner key still names this process; end the term if it does not.

        The key can be gone although the store lease is renewed. The record comes first: if the next
        owner has claimed the pool before it was stored, the key shows that.

        :raises StoreError: the store did not answer; the last confirmation expires after a store
            lease.
        """
        sent_at = self._clock.monotonic()
        seq, unlisted = self._unlisted_services
        is_recorded = self.confirmations.write(
            self.journal.epoch, self.epoch, self._times.horizon, seq, unlisted
        )
        if not self._check_key():
            return
        if not is_recorded:
            raise StoreUnavailableError("the record of confirmations was not written")
        # A call that was sent later may have been answered first.
        self._confirmed_until = max(self._confirmed_until, sent_at + self._times.store_lease)

    def _check_key(self) -> bool:
        """Return whether the owner key names this process; end the term if it does not.

        :raises StoreError: the store did not answer.
        """
        sent_at = self._clock.monotonic()
        if self.claim.is_current():
            # A call that was sent later may have been answered first.
            self._named_at = max(self._named_at, sent_at)
            return True
        self.ended.set()
        self.wake.set()
        return False

    def resume(self) -> None:
        """Renew the store lease and confirm the key, now that the store answers again.

        Otherwise this process would refuse calls until the next renewal and the next confirmation,
        which may still wait for replies to calls that were sent during the outage.
        """
        try:
            self.session.extend()
            self.confirm_key()
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="resume ownership", reason=str(exc))

    def confirm_since(self, at: timedelta) -> bool:
        """Return whether no other process can have owned the pool up to a time.

        The owner key is read again unless it was read after that time.

        :param at: a time in the past.
        """
        if not self._confirm_lock.acquire(timeout=MAX_CONFIRMATION_WAIT.total_seconds()):
            return False
        try:
            if self._named_at < at:
                if self.session.failing_since is not None:
                    # The store is unlikely to respond in time.
                    return False
                # No lease depends on it, so the record need not be written.
                self._check_key()
        except StoreError:
            return False
        finally:
            self._confirm_lock.release()
        return self.is_live()

    def run_confirmations(self) -> None:
        """Confirm the owner key several times in each store lease, until the term ends."""
        outage = OutageLog("confirm owner key")
        interval = self._times.store_lease / CONFIRMATIONS_PER_LEASE
        pause = interval
        while True:
            self._clock.wait(self.is_confirmation_due, pause)
            if self.ended.is_set():
                return
            self.is_confirmation_due.clear()
            try:
                self.confirm_key()
                outage.record_success()
                pause = interval
            except Exception as exc:
                # Without confirmations the term would end although the key is there.
                if not isinstance(exc, StoreError):
                    log(Event.INTERNAL_ERROR, what="confirm owner key", reason=repr(exc))
                outage.record_failure(exc)
                pause = CONFIRMATION_RETRY_PAUSE

    def set_silences(self, silences: Collection[Silence]) -> None:
        """Set which workers with runs are silent, so that their VMs are looked up."""
        self.absences.set_silent(silences)
        if silences:
            self._has_silences.set()
        else:
            self._has_silences.clear()

    def check_vms(self, inventory: VMInventory) -> None:
        """Look up whether the VMs of silent workers still run them.

        :raises InventoryError: the platform did not answer.
        """
        with self.lock:
            asked = self.absences.silences()
        if not asked:
            return
        worker_by_vm = inventory.workers_by_vm()
        with self.lock:
            self.absences.record_listing(asked, worker_by_vm)
        self.wake.set()

    def run_vm_checks(self, inventory: VMInventory) -> None:
        """Look up the VMs of silent workers repeatedly, until the term ends."""
        outage = OutageLog("list VMs")
        while not self.ended.is_set():
            if not self._clock.wait(self._has_silences, VM_CHECK_INTERVAL):
                continue
            try:
                self.check_vms(inventory)
                outage.record_success()
            except Exception as exc:
                # Without this thread, tasks of lost VMs would wait until all leases have ended.
                if not isinstance(exc, InventoryError):
                    log(Event.INTERNAL_ERROR, what="list VMs", reason=repr(exc))
                outage.record_failure(exc)
            self._clock.wait(self.ended, VM_CHECK_INTERVAL)

    def is_claimed(self) -> bool:
        """Return whether this process may still hold the ownership.

        After an outage the store may have kept the lease, so the ownership can continue.
        """
        return self.session.session_id == self._session_id

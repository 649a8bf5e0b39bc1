"""The owner of a pool: accepts workflows, places their tasks and tracks the runs until they end.

A single thread makes all decisions. Calls from agents and gateways are queued in its inbox and wait
until the resulting events are committed to the journal in the platform's store.
"""

import random
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip import records
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.dispatches import Dispatcher
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    FencedError,
    InvalidMessageError,
    JobError,
    JournalError,
    PoolFullError,
    PoolOverloadedError,
    SnapshotTooLargeError,
    StoreError,
)
from mulberryslip.handovers import IsolationPolicy
from mulberryslip.journals import Journal, Recovery, SnapshotSize
from mulberryslip.metrics import Metrics
from mulberryslip.snapshots import acceptance_cost, growth_reserve
from mulberryslip.steps import WorkflowSpec
from mulberryslip.stores import Store
from mulberryslip.vms import VMInventory
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import (
    Pool,
    RunAssigned,
    RunEnded,
    RunOutcome,
    StepTask,
    Workflow,
    WorkflowCancelled,
    accepted_event,
    decode_event,
    encode_event,
)

from .claims import OwnerClaim
from .confirmations import ConfirmationRecord, ConfirmationWatch, ObserverChoice
from .directories import KnownOwner, PoolOwnerDirectory, owner_key
from .members import Member, check_report
from .ownerships import RETRY_AFTER, ConfirmedLeases, PoolLeaseTimes, PoolTerm, QueuedCall
from .peaks import PeakControl
from .schedulers import ConfigSource, PoolScheduler
from .sessions import Session
from .settlements import SettlementRecord
from .silences import SilenceRecord
from .terms import OwnerIdentity

ROUND_INTERVAL = timedelta(milliseconds=25)
"""Shortest time between two journal records; the store accepts 400 writes/s from all clients."""

IDLE_INTERVAL = timedelta(milliseconds=200)
"""Longest time between two decision rounds; each of them checks leases and deadlines."""

CLAIM_JITTER = timedelta(milliseconds=300)
"""Agents that see the ownership end spread their claims randomly over this time."""

OBSERVER_CLAIM_JITTER = timedelta(milliseconds=50)
OBSERVER_HEAD_START = timedelta(milliseconds=100)
"""The few agents that have watched the previous owner's confirmations claim within the first, all
others after the second time. A claim takes four calls to the store."""

CLAIM_PAUSE = timedelta(milliseconds=500)
MAX_CLAIM_CONFIRMATIONS = 3
COMMIT_TIMEOUT = timedelta(seconds=2)

REPORT_CHECK_INTERVAL = timedelta(milliseconds=100)
"""While a report waits for its commit, time between two checks whether the owner can still reply
later. A reply after its permission has ended extends no lease."""

MIN_REPLY_TIME = timedelta(milliseconds=500)
"""Remaining time of the owner's permission in which a report is answered without its commit."""

MAX_COMMANDS_WAIT = timedelta(seconds=4)

MAX_ROUND_BYTES = 256 * 1024
"""Size of the requests that one round handles. Their events fit into one journal record of 900 KB,
also when their text takes up to three times the space there."""

RETRY_PAUSE = timedelta(milliseconds=50)
MAX_RETRY_PAUSE = timedelta(milliseconds=400)
JOURNAL_SLOTS = 256
MIN_FREE_SLOTS = JOURNAL_SLOTS // 4
"""Free records below which the owner records no silent workers, see `SilenceRecord`."""

SNAPSHOT_PARTS = 4
"""Maximum number of values of a snapshot. Four take four calls more to write and to read."""

FULL_RETRY_AFTER = timedelta(seconds=5)
"""Delay after which callers should retry when the pool holds as much as can be handed over."""

FULL_UNTIL_SHARE = 0.95
"""Share of the limit below which a full pool counts as having room again."""

STORE_SILENT = "the store does not answer"
JOURNAL_FULL = "the journal is full until a snapshot can be written"


class PoolOwner:
    """Claims the pool whenever it has no owner, and serves calls while it owns the pool.

    :param number: number of the pool.
    :param directory: tells which process owns the pool.
    :param source: the operators' configuration.
    :param make_session: creates a session without a store lease yet.
    :param dispatcher: chooses workers for tasks.
    :param identity: what the owner key says about this process.
    :param times: lease times of workers and of the owner.
    :param inventory: the platform's list of VMs; None if there is none.
    :param wide_steps: tells whether the decisions for wide best-effort steps apply; None for never.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        directory: PoolOwnerDirectory,
        source: ConfigSource,
        make_session: Callable[[], Session],
        dispatcher: Dispatcher,
        identity: OwnerIdentity,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        times: PoolLeaseTimes | None = None,
        inventory: VMInventory | None = None,
        wide_steps: WideStepGate | None = None,
    ):
        self._watch = ConfirmationWatch(number, store, clock)
        self._observers = ObserverChoice(Address(identity.host, identity.port))
        self._number = number
        self._key = owner_key(number)
        self._store = store
        self._directory = directory
        self._source = source
        self._make_session = make_session
        self._dispatcher = dispatcher
        self._identity = identity
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._times = times or PoolLeaseTimes()
        self._inventory = inventory
        self._wide_steps = wide_steps or WideStepGate()
        self._scheduler = PoolScheduler(
            source, dispatcher, self._times, metrics, clock, self._wide_steps
        )
        self._term: PoolTerm | None = None
        self._takeover_epoch = 0
        self._isolation = IsolationPolicy()

    def is_owner(self) -> bool:
        """Return whether this process owns the pool now."""
        return self._live_term() is not None

    # Calls from agents

    def report(self, req: wire.WorkerReport) -> wire.WorkerReportReply:
        """Process a worker's report; if it lists ended runs, reply once these are committed."""
        # Before waiting for the lock: the report's age decides how long its worker gets new runs.
        received_at = self._clock.monotonic()
        term = self._live_term()
        if term is None:
            return wire.WorkerReportReply(Outcome.NOT_OWNER, 0, 0, 0, 0, [], [])
        try:
            check_report(req)
        except InvalidMessageError as exc:
            log(Event.MESSAGE_INVALID, what=f"report of {req.agent}", reason=str(exc))
            return wire.WorkerReportReply(Outcome.INVALID, 0, 0, 0, 0, [], [])
        with term.lock:
            self._record_contact(req.agent)
            member = term.members.get(req.worker.worker_id)
            if member is None:
                member = term.add_member(req.worker.worker_id)
                log(Event.WORKER_ANNOUNCED, worker=req.worker.worker_id, agent=req.agent)
            is_new = member.observe(req, received_at, term.epoch)
            # A later report may be observed before this one is reconciled.
            requested_ms = member.requested_ms
            queued = QueuedCall(
                lambda: (
                    self._scheduler.reconcile(term, member, req, requested_ms)
                    if is_new
                    else self._scheduler.end_refused_runs(term, member, req)
                )
            )
            term.inbox.append(queued)
            gets_no_lease = term.silences.lists(member.worker_id)
            if gets_no_lease:
                term.silences.request_check()
        term.wake.set()
        if req.ended or gets_no_lease:
            self._wait_for_commit(term, queued)
        return self._report_reply(term, member, req, received_at)

    def orders(self, req: wire.OrdersRequest) -> wire.OrdersReply:
        """Return the queued commands for a worker, waiting for the first if there are none."""
        term = self._live_term()
        if term is None:
            return wire.OrdersReply(Outcome.NOT_OWNER, 0, 0, [], [])
        with term.lock:
            member = term.members.get(req.worker_id)
            if member is not None:
                # Agents whose worker does not answer send no reports.
                self._record_contact(member.agent)
        if member is None or member.incarnation != req.incarnation:
            return wire.OrdersReply(Outcome.NOT_FOUND, term.epoch, 0, [], [])
        requested_wait = max(0, req.wait_ms) * timedelta(milliseconds=1)
        self._clock.wait(member.has_commands, min(requested_wait, MAX_COMMANDS_WAIT))
        with term.lock:
            member.has_commands.clear()
            starts, stops = list(member.starts), list(member.stops)
            if starts:
                member.fetched_by = req.header.incarnation
            member.starts.clear()
            member.stops.clear()
            fence = member.fence(term.epoch)
            is_same = member.incarnation == req.incarnation
        if not is_same or not term.is_live():
            return wire.OrdersReply(Outcome.NOT_OWNER, term.epoch, fence, [], [])
        with term.lock:
            for start in starts:
                term.pool.record_delivery(start.task, start.run)
        return wire.OrdersReply(Outcome.OK, term.epoch, fence, starts, stops)

    # Calls from gateways

    def submit(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Accept a workflow; submitting a known workflow again is idempotent."""
        term = self._live_term()
        if term is None:
            return self._not_owner()
        with term.lock:
            known = term.pool.workflows.get(req.workflow_id)
            if known is not None and known.shown:
                return _reply(Outcome.OK, shown=known.shown)
        config = self._source.config()
        queue = config.queues.get(req.queue) if config else None
        if queue is None:
            # The gateway may have read a newer configuration than this process.
            return _reply(
                Outcome.NOT_RUN,
                f"queue {req.queue!r} is unknown",
                retry_after_ms=RETRY_AFTER // timedelta(milliseconds=1),
            )
        try:
            spec = WorkflowSpec.from_json(req.body)
            records.check(accepted_event(req.workflow_id, queue, spec, self._now_ms()))
        except (JobError, InvalidMessageError) as exc:
            return _reply(Outcome.INVALID, str(exc))
        reason = spec.unsupported_reason() or queue.unsupported_reason
        if reason:
            return _reply(Outcome.INVALID, reason)

        def decide() -> list[Any]:
            if req.workflow_id in term.pool.workflows:
                return []
            accepted = accepted_event(req.workflow_id, queue, spec, self._now_ms())
            term.peaks.check(accepted)
            if not term.budget.admit(acceptance_cost(accepted, spec)):
                raise PoolFullError(f"pool {self._number} is full")
            return [accepted]

        reply = self._decide_and_commit(
            term,
            QueuedCall(decide, len(req.body)),
            "queued",
            lambda: req.workflow_id in term.pool.workflows,
        )
        self._metrics.count(f"submissions_{Outcome._VALUES_TO_NAMES[reply.outcome].lower()}")
        if reply.outcome == Outcome.OK:
            log(
                Event.WORKFLOW_ACCEPTED,
                request_id=req.header.request_id,
                workflow=req.workflow_id,
                pool=self._number,
                queue=queue.name,
                config=config.revision,
                steps=len(spec.steps),
                tasks=sum(step.count for step in spec.steps),
            )
        return reply

    def status(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return the committed state of a workflow."""
        asked_at = self._clock.monotonic()
        term = self._live_term()
        if term is None:
            return self._not_owner()
        with term.lock:
            workflow = term.pool.workflows.get(req.workflow_id)
            shown = workflow.shown if workflow is not None else ""
        if not shown:
            return self._absent(term, asked_at)
        return _reply(Outcome.OK, shown=shown)

    def cancel(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Cancel a workflow; tasks that have ended keep their state."""
        asked_at = self._clock.monotonic()
        term = self._live_term()
        if term is None:
            return self._not_owner()
        with term.lock:
            workflow = term.pool.workflows.get(req.workflow_id)
            if workflow is not None and workflow.is_ended and workflow.shown == workflow.state:
                return _reply(Outcome.OK, shown=workflow.shown)
        if workflow is None:
            return self._absent(term, asked_at)

        def decide() -> list[Any]:
            if workflow.is_ended:
                return []
            return [WorkflowCancelled(req.workflow_id, self._now_ms())]

        reply = self._decide_and_commit(
            term, QueuedCall(decide), "cancelled", lambda: workflow.is_ended
        )
        if reply.outcome == Outcome.OK:
            log(
                Event.WORKFLOW_CANCELLED,
                request_id=req.header.request_id,
                workflow=req.workflow_id,
            )
        return reply

    def waiting(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return how many workflows of a queue have not started yet."""
        asked_at = self._clock.monotonic()
        term = self._live_term()
        if term is None:
            return self._not_owner()
        if term.has_asked_for_takeover and not term.confirm_since(asked_at):
            # A successor may have accepted workflows already.
            return self._not_owner()
        with term.lock:
            count = term.pool.waiting(req.queue)
        return _reply(Outcome.OK, waiting=count)

    # Ownership

    def run(self, stop: threading.Event) -> None:
        """Own the pool whenever it has no other owner, until stopped."""
        while not stop.is_set():
            self.release_for_takeover()
            known = self._directory.owner()
            if known is not None and known.address != self._address():
                self._isolation.record_owner()
                self._clock.wait(stop, RETRY_PAUSE)
                continue
            try:
                self._directory.refresh()
                if self._directory.owner() is not None:
                    # Others have watched the process that has ended, and should be next.
                    self._delete_stale_key()
                self._clock.wait(stop, self._claim_delay())
                if stop.is_set():
                    break
                if self.acquire():
                    self._run_rounds(stop)
            except InvalidMessageError as exc:
                log(Event.MESSAGE_INVALID, what=f"pool {self._number}", reason=str(exc))
            except (StoreError, JournalError) as exc:
                log(Event.STORE_UNAVAILABLE, call="own pool", reason=str(exc))
            except Exception as exc:
                # A single fault must not leave the pool without an owner.
                log(Event.INTERNAL_ERROR, what="own pool", reason=repr(exc))
            finally:
                self.resign("planned stop" if stop.is_set() else "no longer owner")
            self._clock.wait(stop, CLAIM_PAUSE)

    def _claim_delay(self) -> timedelta:
        """Return how long to wait before a claim.

        Processes that have watched the previous owner's confirmations come first, since they know
        when its leases end.
        """
        if self._watch.is_requested():
            return OBSERVER_CLAIM_JITTER * self._rng.random()
        return OBSERVER_HEAD_START + CLAIM_JITTER * self._rng.random()

    def acquire(self) -> bool:
        """Try once to claim the pool and recover its state from the journal.

        :returns: whether this process now owns the pool.
        :raises StoreError: the store did not answer.
        :raises JournalError: the journal cannot be read or was claimed by another process.
        :raises InvalidMessageError: the journal is damaged or of a newer version.
        """
        if not self._isolation.may_claim(self._clock.monotonic()):
            return False
        self._directory.refresh()
        if self._directory.owner() is not None and not self._delete_stale_key():
            return False
        session = self._make_session()
        session.renew()
        claim = OwnerClaim(self._key, self._store, session, self._identity)
        claimed_at = self._clock.monotonic()
        if not session.valid() or not claim.create_key():
            session.stop()
            return False
        session.start()
        journal = Journal(self._store, self._number, JOURNAL_SLOTS, "pools", SNAPSHOT_PARTS)
        try:
            pool, recovery = _recover(journal, self._number)
            ages = {}
            silences = SilenceRecord(self._number, self._store, self._times.unfenced_excess)
            settlements = SettlementRecord(self._number, self._store)
            settlements.read()
            confirmations = ConfirmationRecord(self._number, self._store)
            confirmed_leases = self._confirmed_leases(confirmations, pool, journal, recovery)
            if journal.free_slots < MIN_FREE_SLOTS:
                silences.close()
            if journal.free_slots > 0:
                ages = silences.take_over(journal.epoch, journal.claim())
            read_at = self._clock.monotonic()
            self._source.refresh()
            term = PoolTerm(
                claim.version,
                pool,
                journal,
                session,
                claim,
                claimed_at,
                self._clock,
                self._times,
                silences,
                settlements,
                {worker_id: read_at - age for worker_id, age in ages.items()},
                confirmations,
                confirmed_leases,
                PeakControl(
                    self._wide_steps, pool, self._dispatcher, self._metrics, self._clock, self._rng
                ),
            )
            self._confirm_claim(term)
        except Exception:
            claim.release()
            session.stop()
            raise
        self._scheduler.restore_interference(term)
        self._isolation.record_claim(self._clock.monotonic())
        self._term = term
        self._directory.update(KnownOwner(self._address(), claim.version))
        log(
            Event.POOL_CLAIMED,
            pool=self._number,
            epoch=term.epoch,
            workflows=len(pool.workflows),
            record=journal.seq,
            free_records=journal.free_slots,
            **self._evidence(confirmed_leases),
        )
        return True

    def _confirm_claim(self, term: PoolTerm) -> None:
        """Confirm a new claim: no lease may be granted before the next owner can tell its end.

        It is tried again, since a claim of the journal without a record keeps the next owner from
        relying on the records before.

        :raises StoreError: the store did not answer.
        """
        for _ in range(MAX_CLAIM_CONFIRMATIONS - 1):
            try:
                term.confirm_key()
                return
            except StoreError as exc:
                log(Event.STORE_UNAVAILABLE, call="confirm claim", reason=str(exc))
        term.confirm_key()

    def _confirmed_leases(
        self, record: ConfirmationRecord, pool: Pool, journal: Journal, recovery: Recovery
    ) -> ConfirmedLeases:
        """Return what the record of earlier owners' confirmations tells about leases.

        It tells nothing if an owner in between may not have written it: then the epoch of the
        journal differs, or the ring was so full that this owner may not have claimed it.

        :raises StoreError: the store did not answer.
        """
        last, version = record.read()
        # As it was read: this process may have written a snapshot since.
        free_slots = JOURNAL_SLOTS - (recovery.seq - recovery.snapshot_seq)
        if last is None or last.epoch != journal.epoch or free_slots < MIN_FREE_SLOTS:
            return ConfirmedLeases()
        seen_at = self._watch.seen_at(version)
        if seen_at is None:
            seen_at = self._clock.monotonic()
        events = recovery.events_after(last.seq)
        if events is None:
            return ConfirmedLeases()
        assigned = {
            (event.task, event.run)
            for event in map(decode_event, events)
            if isinstance(event, RunAssigned)
        }
        listed = {
            (task.name, task.run)
            for worker_id in pool.workers_with_runs()
            for task in pool.active_tasks(worker_id)
            if task.spec.lasting
        }
        return ConfirmedLeases.after(
            seen_at, last.horizon, frozenset(listed - assigned - last.unlisted)
        )

    def _evidence(self, leases: ConfirmedLeases) -> dict[str, Any]:
        """Return the log fields on when the leases of earlier owners have ended."""
        if leases.ended_at is None:
            return {}
        ends_in = leases.ended_at - self._clock.monotonic()
        return {
            "leases_end_in_ms": ends_in // timedelta(milliseconds=1),
            "listed_services": len(leases.listed),
        }

    def request_observation(self) -> None:
        """Watch the confirmations of the pool's owner, since it has asked for it."""
        self._watch.request()

    def run_observation(self, stop: threading.Event) -> None:
        """Watch the owner's confirmations whenever it asks for it, until stopped."""
        self._watch.run(stop)

    def observe(self) -> None:
        """Read the owner's confirmations once, if it has asked for it.

        :raises StoreError: the store did not answer.
        """
        if self._watch.is_requested():
            self._watch.observe()

    def confirm_key(self) -> None:
        """Confirm the owner key once, if this process owns the pool.

        :raises StoreError: the store did not answer.
        """
        term = self._term
        if term is not None:
            term.confirm_key()

    def check_vms(self) -> None:
        """Look up once whether the VMs of silent workers still run them, if this process owns.

        :raises InventoryError: the platform did not answer.
        """
        term = self._term
        if term is not None and self._inventory is not None:
            term.check_vms(self._inventory)

    def request_takeover(self, epoch: int) -> None:
        """Ask this process to take the pool over from an owner that has lost the store.

        :param epoch: epoch of that owner.
        """
        self._takeover_epoch = epoch

    def release_for_takeover(self) -> None:
        """Delete the key of an owner that has asked for it, so that the pool can be claimed.

        That owner may still act as the owner until its store lease expires: its records and
        commands are refused, and `previous_owner_granted_until` covers the leases it grants.
        """
        epoch, self._takeover_epoch = self._takeover_epoch, 0
        known = self._directory.owner()
        if not epoch or known is None or known.epoch != epoch:
            return
        try:
            # Reading first tells whether this process reaches the store. A write that fails in an
            # outage for all VMs could take effect afterwards, when the owner is well again.
            stored = self._store.get(self._key)
            if stored is None or stored.version != epoch:
                return
            outcome = self._store.delete(self._key, epoch)
            self._directory.refresh()
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="delete owner key", reason=str(exc))
            return
        except Exception as exc:
            # This thread must survive, or the process could never own the pool again.
            log(Event.INTERNAL_ERROR, what="delete owner key", reason=repr(exc))
            return
        log(
            Event.OWNER_KEY_DELETED,
            pool=self._number,
            owner=str(known.address),
            epoch=epoch,
            outcome=type(outcome).__name__.lower(),
        )

    def _delete_stale_key(self) -> bool:
        """Delete the owner key of an earlier process at this address, which has certainly ended.

        :returns: whether the pool has no owner now.
        :raises StoreError: the store did not answer.
        """
        known = self._directory.owner()
        if known.address != self._address():
            return False
        self._store.delete(self._key, known.epoch)
        self._directory.refresh()
        return self._directory.owner() is None

    def resign(self, reason: str) -> None:
        """End the ownership term and release the pool for other processes."""
        term, self._term = self._term, None
        if term is None:
            return
        term.ended.set()
        term.is_confirmation_due.set()
        with term.lock:
            queued_calls = list(term.inbox)
            term.inbox.clear()
            for member in term.members.values():
                member.has_commands.set()
        for queued in queued_calls:
            self._reject(queued)
        if term.session.valid():
            self._record_last_grants(term)
            term.claim.release()
        term.session.stop()
        log(Event.POOL_LOST, pool=self._number, epoch=term.epoch, reason=reason)

    def _run_rounds(self, stop: threading.Event) -> None:
        term = self._term
        threading.Thread(
            target=self._source.run, args=(term.ended,), name="pool-config", daemon=True
        ).start()
        threading.Thread(target=term.run_confirmations, name="owner-key", daemon=True).start()
        if self._inventory is not None:
            threading.Thread(
                target=term.run_vm_checks, args=(self._inventory,), name="vms", daemon=True
            ).start()
        while term.is_claimed() and not term.ended.is_set() and not stop.is_set():
            self._clock.wait(term.wake, IDLE_INTERVAL)
            # Calls that arrive during the pause are handled in the same round.
            self._clock.sleep(ROUND_INTERVAL)
            term.wake.clear()
            try:
                self.step()
            except FencedError as exc:
                log(Event.JOURNAL_FENCED, pool=self._number, epoch=term.epoch, reason=str(exc))
                return

    # Decision rounds

    def step(self) -> None:
        """Run one decision round: handle queued calls, commit events, send starts and stops.

        :raises FencedError: another process owns the pool.
        """
        term = self._term
        if self._is_isolated(term):
            self.resign("no other agent calls")
            return
        self._record_silences(term)
        self._record_settlements(term)
        if not self._can_append(term):
            self._reject_queued(term, JOURNAL_FULL)
            return
        if term.budget.needs_measurement(self._clock.monotonic()):
            self._measure(term)
        with term.lock:
            self._run_part(self._scheduler.note_unlisted_services, term)
            queued_calls = self._take_calls(term)
            events: list[Any] = []
            for queued in queued_calls:
                events += self._apply(term, self._decide(term, queued))
            for part in (
                self._scheduler.lost_runs,
                self._scheduler.crashed_runs,
                self._scheduler.expire,
                self._scheduler.new_checkpoints,
                self._scheduler.survived_probations,
                self._scheduler.proven_runs,
                self._scheduler.learned_interference,
            ):
                events += self._apply(term, self._run_part(part, term))
            self._run_part(self._observe_peak, term)
            decided_at = self._clock.monotonic()
            placed = self._run_part(self._scheduler.place, term)
            self._run_part(self._scheduler.move_runs, term)
            events += self._apply(
                term,
                [self._scheduler.assignment(term, placement, decided_at) for placement in placed],
            )
        try:
            if events:
                self._commit(term, events)
        except FencedError:
            for queued in queued_calls:
                queued.done.set()
            raise
        with term.lock:
            now_ms = self._now_ms()
            for event in events:
                term.breakdowns.record(event, term.pool, now_ms)
            self._record_ended(term, term.pool.publish())
            self._record_crashes(events, term.pool.take_newly_suspected())
            for member in term.members.values():
                member.ended_through = member.reconciled_through
            self._scheduler.queue_start_commands(term, placed)
            self._scheduler.queue_stop_commands(term)
        for queued in queued_calls:
            if queued.outcome == Outcome.OUTCOME_UNKNOWN:
                queued.outcome = Outcome.OK
            queued.done.set()

    def _record_contact(self, agent: str) -> None:
        if agent != str(self._address()):
            self._isolation.record_contact()

    def _is_isolated(self, term: PoolTerm) -> bool:
        """Return whether no other agent reaches this owner, so that another process should own."""
        now = self._clock.monotonic()
        with term.lock:
            is_isolated = self._isolation.is_isolated(now, term.session.failing_since is None)
            if is_isolated:
                self._isolation.record_release(now)
        return is_isolated

    def _take_calls(self, term: PoolTerm) -> list[QueuedCall]:
        """Remove the calls from the inbox that this round handles."""
        taken: list[QueuedCall] = []
        size = 0
        while term.inbox and (not taken or size + term.inbox[0].size <= MAX_ROUND_BYTES):
            queued = term.inbox.popleft()
            queued.is_dequeued = True
            size += queued.size
            taken.append(queued)
        if term.inbox:
            term.wake.set()
        return taken

    def _decide(self, term: PoolTerm, queued: QueuedCall) -> list[Any]:
        """Return the events of a call; reject the call if it cannot be decided."""
        try:
            return queued.decide()
        except PoolFullError as exc:
            self._record_fullness(term, True)
            queued.outcome, queued.reason = Outcome.NOT_RUN, str(exc)
            queued.retry_after = FULL_RETRY_AFTER
            return []
        except PoolOverloadedError as exc:
            queued.outcome, queued.reason = Outcome.NOT_RUN, str(exc)
            queued.retry_after = exc.retry_after
            return []
        except Exception as exc:
            # One call that cannot be decided must not end the ownership: its caller would repeat
            # it to each next owner.
            log(Event.INTERNAL_ERROR, what="decide", reason=repr(exc))
            queued.outcome, queued.reason = Outcome.NOT_RUN, "internal error"
            return []

    def _observe_peak(self, term: PoolTerm) -> None:
        term.peaks.observe(lambda: self._scheduler.cores_up(term))

    def _run_part(self, part: Callable[[PoolTerm], Any], term: PoolTerm) -> Any:
        """Return the result of a part of a round; if it fails, the round continues without it."""
        try:
            return part(term) or []
        except Exception as exc:
            # The error would repeat under each next owner, and renewals of leases must continue.
            log(Event.INTERNAL_ERROR, what=part.__name__, reason=repr(exc))
            return []

    def _apply(self, term: PoolTerm, events: list[Any]) -> list[Any]:
        """Apply events to the state and return those that changed it."""
        applied = []
        for event in filter(_is_storable, events):
            # Before the event, since the tasks of a workflow are dropped with its last one.
            term.peaks.record(event)
            if term.pool.apply(event):
                applied.append(event)
        return applied

    def _commit(self, term: PoolTerm, events: list[Any]) -> None:
        """Append events to the journal, retrying until the outcome is known.

        :raises FencedError: another owner has taken over; the events may or may not be committed.
        """
        raw = [encode_event(event) for event in events]
        started_at = self._clock.monotonic()
        pause = RETRY_PAUSE
        failed = False
        while True:
            try:
                term.journal.append(raw)
                break
            except FencedError:
                raise
            except JournalError as exc:
                if not failed:
                    log(Event.STORE_UNAVAILABLE, call="append", reason=str(exc))
                failed = True
                with term.lock:
                    term.handover.record_commit_failure(started_at)
                if not term.is_claimed():
                    raise FencedError("the store lease has ended", unresolved=True) from exc
                # Calls that are not part of this record cannot be committed in time.
                self._reject_queued(term)
                self._clock.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_PAUSE)
        if failed:
            with term.lock:
                term.handover.record_commit()
            log(Event.STORE_RECOVERED, call="append")
            term.resume()
        if term.journal.snapshot_due and term.snapshot_retries.is_due(self._clock.monotonic()):
            self._write_snapshot(term)

    def _can_append(self, term: PoolTerm) -> bool:
        """Return whether the journal takes another record; before, write a snapshot if it is full.

        All applied events are committed between two rounds, so the state matches the last record.

        :raises FencedError: another owner has taken over.
        """
        journal = term.journal
        if journal.free_slots <= 1 and not term.silences.is_empty:
            # The record must be empty before the ring is full, see `SilenceRecord`.
            return False
        if journal.free_slots <= 0 and term.snapshot_retries.is_due(self._clock.monotonic()):
            self._write_snapshot(term)
        if journal.free_slots <= 0:
            return False
        if not journal.is_claimed:
            try:
                journal.claim()
            except FencedError:
                raise
            except JournalError as exc:
                log(Event.STORE_UNAVAILABLE, call="claim journal", reason=str(exc))
        return journal.is_claimed

    def _record_silences(self, term: PoolTerm) -> None:
        """Write which workers are silent, so that the next owner counts on from there."""
        if term.journal.free_slots < MIN_FREE_SLOTS or not term.journal.is_claimed:
            term.silences.close()
        now = self._clock.monotonic()
        if term.session.failing_since is not None or not term.silences.is_check_due(now):
            return
        with term.lock:
            ages = dict(self._run_part(self._scheduler.silent_workers, term))
            planned = term.silences.plan(ages, now)
        if planned is not None:
            term.silences.write(planned, now)

    def _record_settlements(self, term: PoolTerm) -> None:
        """Write which incarnations are settled, so that the next owner does not wait for them."""
        now = self._clock.monotonic()
        if not term.settlements.is_check_due(now):
            return
        if term.session.failing_since is not None:
            return
        with term.lock:
            settled = dict(self._run_part(self._scheduler.settled_incarnations, term))
        term.settlements.update(settled, now)

    def _record_last_grants(self, term: PoolTerm) -> None:
        """Write how long ago each worker can have got its last lease, after the term has ended.

        A reply that grants a lease was found live before the end, so its report is known by now.
        """
        has_room = term.journal.free_slots >= MIN_FREE_SLOTS and term.journal.is_claimed
        if not has_room or term.session.failing_since is not None:
            return
        with term.lock:
            silent = dict(self._run_part(self._scheduler.silent_workers, term))
            ages = dict(self._run_part(self._scheduler.grant_ages, term))
        term.silences.finish(silent, ages)

    def _write_snapshot(self, term: PoolTerm) -> None:
        started_at = self._clock.monotonic()
        with term.lock:
            state, reserve = term.pool.to_snapshot(), growth_reserve(term.pool)
        try:
            term.journal.write_snapshot(state)
            term.snapshot_retries.record_success()
        except FencedError:
            raise
        except JournalError as exc:
            # Appends still work until all journal slots are used.
            pause = term.snapshot_retries.record_failure(self._clock.monotonic())
            _log_snapshot_failure(self._number, term.journal, exc, pause)
        # The record of confirmations must be newer than the snapshot, see `Recovery.events_after`.
        with term.lock:
            term.note_unlisted_services()
        term.is_confirmation_due.set()
        self._record_measurement(term, reserve, started_at)

    def _measure(self, term: PoolTerm) -> None:
        started_at = self._clock.monotonic()
        with term.lock:
            state, reserve = term.pool.to_snapshot(), growth_reserve(term.pool)
        term.journal.measure(state)
        self._record_measurement(term, reserve, started_at)

    def _record_measurement(
        self, term: PoolTerm, reserve: SnapshotSize, started_at: timedelta
    ) -> None:
        now = self._clock.monotonic()
        term.budget.record_measurement(term.journal.measured, reserve, now, now - started_at)
        used, limit = term.budget.used, term.budget.limit
        self._metrics.set_gauge("pool_state_bytes", used.stored_bytes)
        self._metrics.set_gauge("pool_state_limit_bytes", limit.stored_bytes)
        self._metrics.set_gauge("pool_state_text_bytes", used.text_bytes)
        self._metrics.set_gauge("pool_state_text_limit_bytes", limit.text_bytes)
        if term.budget.used_share <= FULL_UNTIL_SHARE:
            self._record_fullness(term, False)

    def _record_fullness(self, term: PoolTerm, is_full: bool) -> None:
        """Log when the pool begins to refuse workflows, and when it has room again."""
        if term.is_full is is_full:
            return
        term.is_full = is_full
        log(
            Event.POOL_FULL if is_full else Event.POOL_HAS_ROOM,
            pool=self._number,
            size=term.budget.used.stored_bytes,
            limit=term.budget.limit.stored_bytes,
            text=term.budget.used.text_bytes,
            text_limit=term.budget.limit.text_bytes,
        )

    def _reject_queued(self, term: PoolTerm, reason: str = STORE_SILENT) -> None:
        with term.lock:
            queued_calls = list(term.inbox)
            term.inbox.clear()
        for queued in queued_calls:
            self._reject(queued, reason)

    def _reject(self, queued: QueuedCall, reason: str = STORE_SILENT) -> None:
        queued.outcome = Outcome.NOT_RUN
        queued.reason = reason
        queued.done.set()

    def _record_ended(self, term: PoolTerm, changed: list[Workflow]) -> None:
        for workflow in changed:
            if not workflow.is_ended:
                continue
            took_ms = max(0, workflow.ended_ms - workflow.accepted_ms)
            queue = workflow.queue.name
            took = timedelta(milliseconds=took_ms)
            self._metrics.record("", f"workflow_{workflow.shown}", queue, took)
            log(
                Event.WORKFLOW_ENDED,
                workflow=workflow.workflow_id,
                queue=queue,
                shown=workflow.shown,
                took_ms=took_ms,
            )
            self._record_time_shares(term, workflow, took_ms)
            if workflow.given_up is not None:
                self._metrics.count("tasks_given_up")
                log(
                    Event.TASK_GIVEN_UP,
                    task=workflow.given_up.name,
                    run=workflow.given_up.run,
                    crashes=workflow.given_up.crashes.count,
                    machines=workflow.given_up.crashes.machines,
                )

    def _record_time_shares(self, term: PoolTerm, workflow: Workflow, took_ms: int) -> None:
        shares = term.breakdowns.take(workflow)
        parts = attrs.asdict(shares)
        parts["unknown"] = max(0, took_ms - shares.total)
        for part, part_ms in parts.items():
            self._metrics.count(f"workflow_{part}_ms", part_ms)
        log(
            Event.WORKFLOW_TIMED,
            workflow=workflow.workflow_id,
            queue=workflow.queue.name,
            took_ms=took_ms,
            earlier_ms=min(took_ms, max(0, term.claimed_ms - workflow.accepted_ms)),
            **{f"{part}_ms": part_ms for part, part_ms in parts.items()},
        )

    def _record_crashes(self, events: list[Any], suspected: list[StepTask]) -> None:
        lost = sum(
            isinstance(event, RunEnded) and event.outcome == RunOutcome.LOST.value
            for event in events
        )
        if lost:
            self._metrics.count("runs_lost_with_worker", lost)
        for task in suspected:
            # A task of an ended workflow does not start again.
            if task.crashes is not None and not task.workflow.is_ended:
                self._metrics.count("tasks_suspected")
                log(
                    Event.TASK_SUSPECTED,
                    task=task.name,
                    run=task.run,
                    crashes=task.crashes.count,
                    machines=task.crashes.machines,
                )

    # Replies

    def _live_term(self) -> PoolTerm | None:
        term = self._term
        return term if term is not None and term.is_live() else None

    def _report_reply(
        self, term: PoolTerm, member: Member, req: wire.WorkerReport, received_at: timedelta
    ) -> wire.WorkerReportReply:
        with term.lock:
            observes = self._observers.includes(
                req.agent, req.worker.data_centre, self._clock.monotonic()
            )
            tasks = [term.pool.task(name) for name in req.unprofiled]
            profiles = [self._scheduler.profile(task) for task in tasks if task is not None]
            if member.incarnation == req.worker.incarnation:
                profiles += self._scheduler.changed_profiles(term, member)
            interference = self._interference(term, member)
            is_current = member.incarnation == req.worker.incarnation
            ended_through = member.ended_through if is_current else 0
            fence = member.fence(term.epoch)
            newest_incarnation = _newer_incarnation(term, member, req.worker)
            gets_no_lease = term.silences.lists(member.worker_id)
            take_over = req.agent != str(self._address()) and term.handover.take_request(
                self._clock.monotonic(), term.session.failing_since
            )
            term.has_asked_for_takeover |= take_over
        if not term.is_live():
            return wire.WorkerReportReply(Outcome.NOT_OWNER, 0, 0, 0, 0, [], [])
        if take_over:
            log(Event.TAKEOVER_REQUESTED, pool=self._number, epoch=term.epoch, agent=req.agent)
        # The worker has read its clock before the report arrived.
        lease_ms = term.lease_time(received_at) // timedelta(milliseconds=1)
        gets_lease = is_current and req.listed and not gets_no_lease and lease_ms
        return wire.WorkerReportReply(
            Outcome.OK,
            term.epoch,
            req.clock_ms + lease_ms if gets_lease else 0,
            fence,
            ended_through,
            profiles,
            interference,
            take_over,
            newest_incarnation,
            self._dispatcher.is_wide,
            observes,
        )

    def _wait_for_commit(self, term: PoolTerm, queued: QueuedCall) -> None:
        """Wait for the commit of a report while the owner can still extend the lease afterwards."""
        for _ in range(COMMIT_TIMEOUT // REPORT_CHECK_INTERVAL):
            # The wait comes first: the agent reports again at once while ends are uncommitted.
            if self._clock.wait(queued.done, REPORT_CHECK_INTERVAL):
                return
            if self._is_store_lost(term) or term.remaining() < MIN_REPLY_TIME:
                return

    def _is_store_lost(self, term: PoolTerm) -> bool:
        with term.lock:
            return term.handover.is_store_lost(self._clock.monotonic(), term.session.failing_since)

    def _interference(self, term: PoolTerm, member: Member) -> list[wire.ImagePressure]:
        """Return the known interference between the images that run on a worker."""
        specs = [task.spec for name in member.running if (task := term.pool.task(name)) is not None]
        best_effort = {spec.image for spec in specs if spec.fills}
        latency_critical = {spec.image for spec in specs if spec.target_ms}
        return [
            wire.ImagePressure(known.best_effort_image, known.latency_critical_image, known.value)
            for known in self._dispatcher.model.known_interferences(best_effort, latency_critical)
        ]

    def _decide_and_commit(
        self, term: PoolTerm, queued: QueuedCall, shown: str, is_applied: Callable[[], bool]
    ) -> wire.WorkflowReply:
        """Queue a call for the decision thread and wait until its events are committed.

        :param is_applied: whether the call has changed the state. If so although it was rejected,
            an earlier send of it is in a record that may still be written.
        """
        with term.lock:
            term.inbox.append(queued)
        term.wake.set()
        self._clock.wait(queued.done, COMMIT_TIMEOUT)
        with term.lock:
            if not queued.done.is_set() and not queued.is_dequeued and queued in term.inbox:
                term.inbox.remove(queued)
                self._reject(queued)
            if queued.outcome == Outcome.NOT_RUN and is_applied():
                return _reply(Outcome.OUTCOME_UNKNOWN, queued.reason)
        retry_after = 0
        if queued.outcome == Outcome.NOT_RUN:
            retry_after = queued.retry_after // timedelta(milliseconds=1)
        return _reply(queued.outcome, queued.reason, shown=shown, retry_after_ms=retry_after)

    def _absent(self, term: PoolTerm, asked_at: timedelta) -> wire.WorkflowReply:
        """Return the reply about a workflow that this owner does not know.

        A successor may have accepted it: the owner key can be gone long before this process
        notices. So the key must have named this process after the call has arrived.
        """
        if not term.confirm_since(asked_at):
            return self._not_owner()
        return _reply(Outcome.NOT_FOUND, "no such workflow")

    def _not_owner(self) -> wire.WorkflowReply:
        return _reply(Outcome.NOT_OWNER, "this process does not own the pool")

    def _address(self) -> Address:
        return Address(self._identity.host, self._identity.port)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _newer_incarnation(term: PoolTerm, member: Member, worker: wire.PoolWorker) -> str | None:
    """Return the newest known incarnation of a worker; None if it is the one that reports.

    An earlier owner or agent may have known a later one; then it has assigned runs to it.
    """
    names = [
        task.incarnation
        for task in term.pool.active_tasks(worker.worker_id)
        if task.machine == worker.machine
    ]
    if member.machine == worker.machine:
        names.append(member.incarnation)
    newest = max(names, default="")
    # A worker under the same id on another VM tells nothing about this one.
    return newest if worker.machine and newest > worker.incarnation else None


def _is_storable(event: Any) -> bool:
    """Return whether the next owner could read an event from the journal."""
    try:
        records.check(event)
    except InvalidMessageError as exc:
        log(Event.MESSAGE_INVALID, what="journal event", reason=str(exc))
        return False
    return True


def _recover(journal: Journal, number: int) -> tuple[Pool, Recovery]:
    """Read a pool's state, and write the snapshot that is due; return both it and the journal.

    The claim goes on without that snapshot while the ring has room, and if it is too large: then
    no claimant can write it.

    :raises JournalError: the journal cannot be read, or the ring is full and the store does not
        answer.
    """
    recovery = journal.open()
    pool = Pool() if recovery.state is None else Pool.from_snapshot(recovery.state)
    for raw in recovery.events:
        pool.apply(decode_event(raw))
    pool.publish()
    pool.take_newly_suspected()
    if journal.snapshot_due:
        try:
            journal.write_snapshot(pool.to_snapshot())
        except FencedError:
            raise
        except JournalError as exc:
            if journal.free_slots <= 0 and not isinstance(exc, SnapshotTooLargeError):
                raise
            _log_snapshot_failure(number, journal, exc, timedelta())
    return pool, recovery


def _log_snapshot_failure(
    number: int, journal: Journal, exc: JournalError, pause: timedelta
) -> None:
    log(
        Event.SNAPSHOT_FAILED,
        pool=number,
        reason=str(exc),
        size=journal.measured.stored_bytes,
        limit=journal.max_snapshot_bytes,
        free_records=journal.free_slots,
        retry_ms=pause // timedelta(milliseconds=1),
    )


def _reply(
    outcome: int,
    reason: str = "",
    shown: str = "",
    waiting: int = 0,
    retry_after_ms: int = 0,
) -> wire.WorkflowReply:
    return wire.WorkflowReply(outcome, reason, shown, waiting, retry_after_ms)

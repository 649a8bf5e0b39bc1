"""The owner of a pool: accepts workflows, places their tasks and follows the runs to their end.

One thread decides. Calls of agents and gateways add to its inbox and wait until what they caused
is committed to the journal in the platform's store.
"""

import random
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.dispatches import Dispatcher
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    FencedError,
    InvalidMessageError,
    JobError,
    JournalError,
    StoreError,
)
from mulberryslip.journals import Journal
from mulberryslip.metrics import Metrics
from mulberryslip.steps import WorkflowSpec
from mulberryslip.stores import Store
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import (
    Pool,
    Workflow,
    WorkflowCancelled,
    accepted_event,
    decode_event,
    encode_event,
)

from .claims import OwnerClaim
from .directories import KnownOwner, PoolDirectory
from .members import Member
from .ownerships import Item, PoolTenure, PoolTimes
from .rounds import ConfigSource, Rounds
from .sessions import Session
from .tenures import Identity

ROUND_INTERVAL = timedelta(milliseconds=25)
"""Shortest time between two journal records; the store takes 400 writes/s from everybody."""

IDLE_INTERVAL = timedelta(milliseconds=200)
"""Longest time between two rounds; leases and deadlines are checked in each."""

CLAIM_JITTER = timedelta(milliseconds=300)
"""Agents that see the ownership end spread their claims over this time."""

CLAIM_PAUSE = timedelta(milliseconds=500)
COMMIT_WAIT = timedelta(seconds=2)
RETRY_PAUSE = timedelta(milliseconds=50)
MAX_RETRY_PAUSE = timedelta(milliseconds=400)
JOURNAL_SLOTS = 256
RETRY_AFTER = timedelta(seconds=1)
"""A new owner takes over within the store lease of 3 s, most of which has passed when it is missed;
a newer configuration arrives within a second."""


class PoolOwner:
    """Owns the pool whenever no other process does.

    :param number: number of the pool.
    :param directory: tells when there is no owner.
    :param source: the operators' configuration.
    :param make_session: makes a store lease that is not yet held.
    :param dispatcher: chooses workers.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        directory: PoolDirectory,
        source: ConfigSource,
        make_session: Callable[[], Session],
        dispatcher: Dispatcher,
        identity: Identity,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        times: PoolTimes | None = None,
    ):
        self._number = number
        self._key = f"pools/{number}/owner"
        self._store = store
        self._directory = directory
        self._source = source
        self._make_session = make_session
        self._dispatcher = dispatcher
        self._identity = identity
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._times = times or PoolTimes()
        self._rounds = Rounds(source, dispatcher, self._times, clock)
        self._tenure: PoolTenure | None = None

    def is_owner(self) -> bool:
        """Return whether this process owns the pool now."""
        return self._live() is not None

    # Calls of agents

    def report(self, req: wire.WorkerReport) -> wire.WorkerReportReply:
        """Take in what a worker runs and has ended; answer when its ends are committed."""
        tenure = self._live()
        if tenure is None:
            return wire.WorkerReportReply(Outcome.NOT_OWNER, 0, 0, 0, 0, [], [])
        with tenure.lock:
            member = tenure.members.get(req.worker.worker_id)
            if member is None:
                # An earlier owner may have extended its lease until the claim.
                member = Member(req.worker.worker_id, received_at=tenure.claimed_at)
                tenure.members[req.worker.worker_id] = member
                log(Event.WORKER_ANNOUNCED, worker=req.worker.worker_id, agent=req.agent)
            is_new = member.observe(req, self._clock.monotonic())
            item = Item(lambda: self._rounds.reconcile(tenure, member, req) if is_new else [])
            tenure.inbox.append(item)
        tenure.wake.set()
        if req.ended:
            self._clock.wait(item.done, COMMIT_WAIT)
        return self._grant(tenure, member, req)

    def orders(self, req: wire.OrdersRequest) -> wire.OrdersReply:
        """Return the orders for a worker, waiting for some when there are none."""
        tenure = self._live()
        if tenure is None:
            return wire.OrdersReply(Outcome.NOT_OWNER, 0, 0, [], [])
        with tenure.lock:
            member = tenure.members.get(req.worker_id)
        if member is None or member.incarnation != req.incarnation:
            return wire.OrdersReply(Outcome.NOT_FOUND, tenure.epoch, 0, [], [])
        self._clock.wait(member.has_orders, timedelta(milliseconds=req.wait_ms))
        with tenure.lock:
            member.has_orders.clear()
            starts, stops = list(member.starts), list(member.stops)
            member.starts.clear()
            member.stops.clear()
            fence = member.fence(tenure.epoch)
            is_same = member.incarnation == req.incarnation
        if not is_same or not tenure.is_live():
            return wire.OrdersReply(Outcome.NOT_OWNER, tenure.epoch, fence, [], [])
        return wire.OrdersReply(Outcome.OK, tenure.epoch, fence, starts, stops)

    # Calls of gateways

    def submit(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Accept a workflow; one that is known already is accepted again."""
        tenure = self._live()
        if tenure is None:
            return self._not_owner()
        with tenure.lock:
            known = tenure.pool.workflows.get(req.workflow_id)
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
        except JobError as exc:
            return _reply(Outcome.INVALID, str(exc))
        reason = spec.unsupported() or ("advice is not supported" if queue.is_advised else "")
        if reason:
            return _reply(Outcome.INVALID, reason)

        def decide() -> list[Any]:
            if req.workflow_id in tenure.pool.workflows:
                return []
            return [accepted_event(req.workflow_id, queue, spec, self._now_ms())]

        reply = self._carry_out(tenure, decide, "queued")
        self._metrics.count(f"submissions_{Outcome._VALUES_TO_NAMES[reply.outcome].lower()}")
        if reply.outcome == Outcome.OK:
            log(
                Event.WORKFLOW_ACCEPTED,
                request_id=req.header.request_id,
                workflow=req.workflow_id,
                queue=queue.name,
                config=config.revision,
                steps=len(spec.steps),
                tasks=sum(step.count for step in spec.steps),
            )
        return reply

    def status(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return the committed state of a workflow."""
        tenure = self._live()
        if tenure is None:
            return self._not_owner()
        with tenure.lock:
            workflow = tenure.pool.workflows.get(req.workflow_id)
            shown = workflow.shown if workflow is not None else ""
        if not shown:
            return _reply(Outcome.NOT_FOUND, "no such workflow")
        return _reply(Outcome.OK, shown=shown)

    def cancel(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Cancel a workflow; what has ended stays as it is."""
        tenure = self._live()
        if tenure is None:
            return self._not_owner()
        with tenure.lock:
            workflow = tenure.pool.workflows.get(req.workflow_id)
            if workflow is None:
                return _reply(Outcome.NOT_FOUND, "no such workflow")
            if workflow.is_over and workflow.shown == workflow.state:
                return _reply(Outcome.OK, shown=workflow.shown)

        def decide() -> list[Any]:
            if workflow.is_over:
                return []
            return [WorkflowCancelled(req.workflow_id, self._now_ms())]

        reply = self._carry_out(tenure, decide, "cancelled")
        if reply.outcome == Outcome.OK:
            log(
                Event.WORKFLOW_CANCELLED,
                request_id=req.header.request_id,
                workflow=req.workflow_id,
            )
        return reply

    def waiting(self, req: wire.WorkflowRequest) -> wire.WorkflowReply:
        """Return how many workflows of a queue have not begun."""
        tenure = self._live()
        if tenure is None:
            return self._not_owner()
        with tenure.lock:
            count = tenure.pool.waiting(req.queue)
        return _reply(Outcome.OK, waiting=count)

    # Ownership

    def run(self, stop: threading.Event) -> None:
        """Own the pool whenever possible, until stopped."""
        while not stop.is_set():
            known = self._directory.owner()
            if known is not None and known.address != self._address():
                self._clock.wait(stop, RETRY_PAUSE)
                continue
            if known is None:
                self._clock.wait(stop, CLAIM_JITTER * self._rng.random())
            if stop.is_set():
                break
            try:
                if self.acquire():
                    self._serve(stop)
            except InvalidMessageError as exc:
                log(Event.MESSAGE_INVALID, what=f"pool {self._number}", reason=str(exc))
            except (StoreError, JournalError) as exc:
                log(Event.STORE_UNAVAILABLE, call="own pool", reason=str(exc))
            except Exception as exc:
                # The pool must not stay without an owner because of one fault.
                log(Event.INTERNAL_ERROR, what="own pool", reason=repr(exc))
            finally:
                self.resign("planned stop" if stop.is_set() else "no longer owner")
            self._clock.wait(stop, CLAIM_PAUSE)

    def acquire(self) -> bool:
        """Claim the pool and read its journal, once.

        :returns: whether this process now owns the pool.
        :raises StoreError: the store did not answer.
        :raises JournalError: the journal cannot be read or was claimed by another process.
        :raises InvalidMessageError: the journal is damaged or of a newer version.
        """
        self._directory.refresh()
        if self._directory.owner() is not None and not self._drop_predecessor():
            return False
        session = self._make_session()
        session.renew()
        claim = OwnerClaim(self._key, self._store, session, self._identity)
        if not session.valid() or not claim.take():
            session.stop()
            return False
        session.start()
        journal = Journal(self._store, self._number, JOURNAL_SLOTS, "pools")
        try:
            pool = _recover(journal)
            journal.claim()
            self._source.refresh()
        except Exception:
            claim.release()
            session.stop()
            raise
        tenure = PoolTenure(claim.version, pool, journal, session, claim, self._clock)
        self._rounds.begin(tenure)
        self._tenure = tenure
        self._directory.offer(KnownOwner(self._address(), claim.version))
        log(
            Event.POOL_CLAIMED,
            pool=self._number,
            epoch=tenure.epoch,
            workflows=len(pool.workflows),
            record=journal.seq,
        )
        return True

    def _drop_predecessor(self) -> bool:
        """Delete the key of an earlier process at this address, which has certainly ended.

        :returns: whether the pool has no owner any more.
        :raises StoreError: the store did not answer.
        """
        known = self._directory.owner()
        if known.address != self._address():
            return False
        self._store.delete(self._key, known.epoch)
        self._directory.refresh()
        return self._directory.owner() is None

    def resign(self, reason: str) -> None:
        """Stop acting as the owner and free the pool for others."""
        tenure, self._tenure = self._tenure, None
        if tenure is None:
            return
        tenure.ended.set()
        with tenure.lock:
            items = list(tenure.inbox)
            tenure.inbox.clear()
            for member in tenure.members.values():
                member.has_orders.set()
        for item in items:
            self._reject(item)
        if tenure.session.valid():
            tenure.claim.release()
        tenure.session.stop()
        log(Event.POOL_LOST, pool=self._number, epoch=tenure.epoch, reason=reason)

    def _serve(self, stop: threading.Event) -> None:
        tenure = self._tenure
        threading.Thread(
            target=self._source.run, args=(tenure.ended,), name="pool-config", daemon=True
        ).start()
        while tenure.is_claimed() and not stop.is_set():
            self._clock.wait(tenure.wake, IDLE_INTERVAL)
            # Others join the round during the pause.
            self._clock.sleep(ROUND_INTERVAL)
            tenure.wake.clear()
            try:
                self.step()
            except FencedError as exc:
                log(Event.JOURNAL_FENCED, pool=self._number, epoch=tenure.epoch, reason=str(exc))
                return

    # One round of decisions

    def step(self) -> None:
        """Do one round of decisions: take in what came, commit it, order starts and stops.

        :raises FencedError: another process owns the pool.
        """
        tenure = self._tenure
        with tenure.lock:
            items = list(tenure.inbox)
            tenure.inbox.clear()
            events: list[Any] = []
            for item in items:
                item.is_taken = True
                events += self._apply(tenure, item.decide())
            events += self._apply(tenure, self._rounds.lost(tenure))
            events += self._apply(tenure, self._rounds.expired(tenure))
            events += self._apply(tenure, self._rounds.saved(tenure))
            events += self._apply(tenure, self._rounds.learned(tenure))
            placed = self._rounds.place(tenure)
            self._rounds.move_runs(tenure)
            events += self._apply(tenure, [self._rounds.assignment(tenure, p) for p in placed])
        try:
            if events:
                self._commit(tenure, events)
        except FencedError:
            for item in items:
                item.done.set()
            raise
        with tenure.lock:
            self._note_ended(tenure.pool.publish())
            for member in tenure.members.values():
                member.ended_through = member.listed_through
            self._rounds.order_starts(tenure, placed)
            self._rounds.order_stops(tenure)
        for item in items:
            item.outcome = Outcome.OK
            item.done.set()

    def _apply(self, tenure: PoolTenure, events: list[Any]) -> list[Any]:
        """Apply events to the state and return those that changed it."""
        return [event for event in events if tenure.pool.apply(event)]

    def _commit(self, tenure: PoolTenure, events: list[Any]) -> None:
        """Append events to the journal, trying again until it is decided.

        :raises FencedError: another owner has taken over; the events may or may not be committed.
        """
        raw = [encode_event(event) for event in events]
        pause = RETRY_PAUSE
        failed = False
        while True:
            try:
                tenure.journal.append(raw)
                break
            except FencedError:
                raise
            except JournalError as exc:
                if not failed:
                    log(Event.STORE_UNAVAILABLE, call="append", reason=str(exc))
                failed = True
                if not tenure.is_claimed():
                    raise FencedError("the store lease has ended", unresolved=True) from exc
                # Nothing that has not been taken into this record can be accepted in time.
                self._reject_waiting(tenure)
                self._clock.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_PAUSE)
        if failed:
            log(Event.STORE_RECOVERED, call="append")
        if tenure.journal.snapshot_due:
            self._write_snapshot(tenure)

    def _write_snapshot(self, tenure: PoolTenure) -> None:
        with tenure.lock:
            state = tenure.pool.to_snapshot()
        try:
            tenure.journal.write_snapshot(state)
        except FencedError:
            raise
        except JournalError as exc:
            # Appending goes on until the ring is full; the next round tries again.
            log(Event.STORE_UNAVAILABLE, call="write snapshot", reason=str(exc))

    def _reject_waiting(self, tenure: PoolTenure) -> None:
        with tenure.lock:
            items = list(tenure.inbox)
            tenure.inbox.clear()
        for item in items:
            self._reject(item)

    def _reject(self, item: Item) -> None:
        item.outcome = Outcome.NOT_RUN
        item.reason = "the store does not answer"
        item.done.set()

    def _note_ended(self, changed: list[Workflow]) -> None:
        for workflow in changed:
            if not workflow.is_over:
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

    # Answers

    def _live(self) -> PoolTenure | None:
        tenure = self._tenure
        return tenure if tenure is not None and tenure.is_live() else None

    def _grant(
        self, tenure: PoolTenure, member: Member, req: wire.WorkerReport
    ) -> wire.WorkerReportReply:
        with tenure.lock:
            tasks = [tenure.pool.task(name) for name in req.unprofiled]
            profiles = [self._rounds.profile(task) for task in tasks if task is not None]
            pressures = self._pressures(tenure, member)
            is_current = member.incarnation == req.worker.incarnation
            ended_through = member.ended_through if is_current else 0
            fence = member.fence(tenure.epoch)
        if not tenure.is_live():
            return wire.WorkerReportReply(Outcome.NOT_OWNER, 0, 0, 0, 0, [], [])
        is_current = is_current and req.listed
        lease_until = req.clock_ms + self._times.lease // timedelta(milliseconds=1)
        return wire.WorkerReportReply(
            Outcome.OK,
            tenure.epoch,
            lease_until if is_current else 0,
            fence,
            ended_through,
            profiles,
            pressures,
        )

    def _pressures(self, tenure: PoolTenure, member: Member) -> list[wire.ImagePressure]:
        """Return what is known of the images that run on a worker."""
        specs = [
            task.spec for name in member.running if (task := tenure.pool.task(name)) is not None
        ]
        filling = {spec.image for spec in specs if spec.fills}
        serving = {spec.image for spec in specs if spec.target_ms}
        return [
            wire.ImagePressure(known.filling, known.serving, known.value)
            for known in self._dispatcher.model.known(filling, serving)
        ]

    def _carry_out(
        self, tenure: PoolTenure, decide: Callable[[], list[Any]], shown: str
    ) -> wire.WorkflowReply:
        """Let the deciding thread decide, and wait for the commit."""
        item = Item(decide)
        with tenure.lock:
            tenure.inbox.append(item)
        tenure.wake.set()
        self._clock.wait(item.done, COMMIT_WAIT)
        with tenure.lock:
            if not item.done.is_set() and not item.is_taken and item in tenure.inbox:
                tenure.inbox.remove(item)
                self._reject(item)
        retry_after = 0
        if item.outcome == Outcome.NOT_RUN:
            retry_after = RETRY_AFTER // timedelta(milliseconds=1)
        return _reply(item.outcome, item.reason, shown=shown, retry_after_ms=retry_after)

    def _not_owner(self) -> wire.WorkflowReply:
        return _reply(Outcome.NOT_OWNER, "this process does not own the pool")

    def _address(self) -> Address:
        return Address(self._identity.host, self._identity.port)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _recover(journal: Journal) -> Pool:
    recovery = journal.open()
    pool = Pool() if recovery.state is None else Pool.from_snapshot(recovery.state)
    for raw in recovery.events:
        pool.apply(decode_event(raw))
    pool.publish()
    if journal.snapshot_due:
        journal.write_snapshot(pool.to_snapshot())
    return pool


def _reply(
    outcome: int,
    reason: str = "",
    shown: str = "",
    waiting: int = 0,
    retry_after_ms: int = 0,
) -> wire.WorkflowReply:
    return wire.WorkflowReply(outcome, reason, shown, waiting, retry_after_ms)

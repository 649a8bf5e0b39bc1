"""The owner of a pool: accepts workflows, places their tasks and follows the runs to their end.

One thread decides. Calls of agents and gateways add to its inbox and wait until what they caused
is committed to the journal in the platform's store.
"""

import random
import threading
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.conflicts import Neighbour
from mulberryslip.dispatches import Dispatcher, Placed
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
from mulberryslip.queues import PoolConfig
from mulberryslip.rooms import WorkerRoom, room_of, step_key
from mulberryslip.soundness import Progress, Soundness
from mulberryslip.steps import WorkflowSpec
from mulberryslip.stores import Store
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import (
    OUTCOMES,
    Pool,
    RunAssigned,
    RunOutcome,
    RunOver,
    RunSaved,
    StepTask,
    Workflow,
    WorkflowCancelled,
    WorkflowsExpired,
    accepted_event,
    decode_event,
    encode_event,
    profile_of,
)

from .claims import OwnerClaim
from .directories import KnownOwner, PoolDirectory
from .members import RELATION_CODES, Member, ended_of
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
START_WINDOW = timedelta(milliseconds=1500)
"""Time in which a start must reach the worker. It bounds how long a start without an answer can
still take effect, so a short one frees the task sooner."""

FRESH_FOR = timedelta(milliseconds=2200)
"""Age of a report up to which a worker gets new runs; agents report at least each 0.7 s."""

CONFIG_MAX_AGE = timedelta(milliseconds=2500)
"""Age of the configuration up to which runs are started. Together with `START_WINDOW` it stays
below the 5 s in which a data centre that is taken out must get nothing more."""

CLOCK_RATE = 1.03
"""A worker's clock may be 2 % slow."""

LEASE_MARGIN = timedelta(milliseconds=200)
STOP_REPEAT = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=50)
MAX_RETRY_PAUSE = timedelta(milliseconds=400)
JOURNAL_SLOTS = 256
EXPIRY_INTERVAL = timedelta(seconds=10)
SAVE_INTERVAL = timedelta(seconds=1)
"""Workers save about once a second; more records would hold the same checkpoints."""

MOVE_INTERVAL = timedelta(milliseconds=500)
MOVE_BELOW_PERCENT = 80
"""A filling run that is almost done ends sooner than it is moved."""

RETRY_AFTER_OWNER_CHANGE = timedelta(seconds=1)
"""A new owner takes over within the store lease of 3 s, most of which has passed by then."""


class ConfigSource(Protocol):
    """The part of `intents.PoolConfigSource` that the owner needs."""

    def config(self) -> PoolConfig | None:
        """Return the newest configuration."""

    def age(self) -> timedelta:
        """Return how long ago the configuration was certainly the newest."""

    def refresh(self) -> PoolConfig | None:
        """Read the configuration."""

    def run_reads(self, stop: threading.Event) -> None:
        """Read periodically."""

    def run_watch(self, stop: threading.Event) -> None:
        """Watch for changes."""


@attrs.frozen
class PoolTimes:
    """Times that decide when a task may run elsewhere.

    :param lease: lease of a worker, on its own clock.
    :param store_lease: store lease of the owner.
    """

    lease: timedelta = timedelta(seconds=6)
    store_lease: timedelta = timedelta(seconds=3)

    @property
    def silence(self) -> timedelta:
        """Return after which silence all runs of a worker have certainly ended."""
        return self.lease * CLOCK_RATE + LEASE_MARGIN


@attrs.define(eq=False)
class _Item:
    """Something that a call has brought.

    :param decide: returns the events; called by the deciding thread with the lock held.
    """

    decide: Callable[[], list[Any]]
    done: threading.Event = attrs.field(factory=threading.Event)
    is_taken: bool = False
    outcome: int = Outcome.OUTCOME_UNKNOWN
    reason: str = ""


class PoolTenure:
    """One period of ownership.

    :param epoch: version of the store key that names this owner.
    :param pool: the recovered state.
    """

    def __init__(
        self,
        epoch: int,
        pool: Pool,
        journal: Journal,
        session: Session,
        claim: OwnerClaim,
        clock: Clock,
    ):
        self.epoch = epoch
        self.pool = pool
        self.journal = journal
        self.session = session
        self.claim = claim
        self.lock = threading.Lock()
        self.claimed_at = clock.monotonic()
        self.members: dict[str, Member] = {}
        self.inbox: deque[_Item] = deque()
        self.wake = threading.Event()
        self.ended = threading.Event()
        self._session_id = session.session_id

    def is_live(self) -> bool:
        """Return whether this process may act as the owner now."""
        return not self.ended.is_set() and self.is_claimed() and self.session.valid()

    def is_claimed(self) -> bool:
        """Return whether the ownership may still exist.

        A store that was away may have kept the lease, so the ownership can continue.
        """
        return self.session.session_id == self._session_id


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
        self._tenure: PoolTenure | None = None
        self._next_expiry = clock.monotonic()
        self._next_moves = clock.monotonic()
        self._next_save = clock.monotonic()
        self._soundness = Soundness()
        self._conflicts: set[tuple[str, str]] = set()

    def is_owner(self) -> bool:
        """Return whether this process owns the pool now."""
        return self._live() is not None

    # Calls of agents

    def report(self, req: wire.WorkerReport) -> wire.WorkerReportReply:
        """Take in what a worker runs and has ended; answer when its ends are committed."""
        tenure = self._live()
        if tenure is None:
            return wire.WorkerReportReply(Outcome.NOT_OWNER, self._hint(), 0, 0, 0, 0, [], [])
        with tenure.lock:
            member = tenure.members.get(req.worker.worker_id)
            if member is None:
                # An earlier owner may have extended its lease until the claim.
                member = Member(req.worker.worker_id, received_at=tenure.claimed_at)
                tenure.members[req.worker.worker_id] = member
                log(Event.WORKER_ANNOUNCED, worker=req.worker.worker_id, agent=req.agent)
            is_new = member.observe(req, self._clock.monotonic())
            item = _Item(lambda: self._reconcile(tenure, member, req) if is_new else [])
            tenure.inbox.append(item)
        tenure.wake.set()
        if req.ended:
            self._clock.wait(item.done, COMMIT_WAIT)
        return self._grant(tenure, member, req)

    def orders(self, req: wire.OrdersRequest) -> wire.OrdersReply:
        """Return the orders for a worker, waiting for some when there are none."""
        tenure = self._live()
        if tenure is None:
            return wire.OrdersReply(Outcome.NOT_OWNER, self._hint(), 0, 0, [], [])
        with tenure.lock:
            member = tenure.members.get(req.worker_id)
        if member is None or member.incarnation != req.incarnation:
            return wire.OrdersReply(Outcome.NOT_FOUND, "", tenure.epoch, 0, [], [])
        self._clock.wait(member.has_orders, timedelta(milliseconds=req.wait_ms))
        with tenure.lock:
            member.has_orders.clear()
            starts, stops = list(member.starts), list(member.stops)
            member.starts.clear()
            member.stops.clear()
            fence = member.fence(tenure.epoch)
            is_same = member.incarnation == req.incarnation
        if not is_same or not tenure.is_live():
            return wire.OrdersReply(Outcome.NOT_OWNER, "", tenure.epoch, fence, [], [])
        return wire.OrdersReply(Outcome.OK, "", tenure.epoch, fence, starts, stops)

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
            return _reply(Outcome.NOT_FOUND, f"queue {req.queue!r} is unknown")
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
        for name, loop in (
            ("pool-config-reads", self._source.run_reads),
            ("pool-config-watch", self._source.run_watch),
        ):
            threading.Thread(target=loop, args=(tenure.ended,), name=name, daemon=True).start()
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
            events += self._apply(tenure, self._lost(tenure))
            events += self._apply(tenure, self._expired(tenure))
            events += self._apply(tenure, self._saved(tenure))
            placed = self._place(tenure)
            self._move_runs(tenure)
            events += self._apply(tenure, [_assigned(p, self._start_by(tenure, p)) for p in placed])
        try:
            if events:
                self._commit(tenure, events)
        except FencedError:
            for item in items:
                item.done.set()
            raise
        with tenure.lock:
            _log_ended(tenure.pool.publish())
            for member in tenure.members.values():
                member.ended_through = member.listed_through
            self._order_starts(tenure, placed)
            self._order_stops(tenure)
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

    def _reject(self, item: _Item) -> None:
        item.outcome = Outcome.NOT_RUN
        item.reason = "the store does not answer"
        item.done.set()

    # Runs that have ended

    def _reconcile(
        self, tenure: PoolTenure, member: Member, report: wire.WorkerReport
    ) -> list[Any]:
        """Return the ends that follow from a report."""
        if report.worker.incarnation != member.incarnation:
            return []
        now_ms = self._now_ms()
        events: list[Any] = []
        ended = {(row.task, row.run): ended_of(row) for row in report.ended}
        refused = {(row.task, row.run): row.reason for row in report.refused if row.certain}
        running = {(row.task, row.run): row for row in report.running}
        for task in tenure.pool.held(member.worker_id):
            name = (task.name, task.run)
            if task.incarnation != member.incarnation or report.unreachable:
                reason = "the worker has started anew"
                events.append(self._over(tenure, task, RunOutcome.LOST, now_ms, reason))
            elif name in ended:
                end = ended[name]
                events.append(
                    self._over(tenure, task, OUTCOMES[end.kind], now_ms, "", end.checkpoint)
                )
            elif name in refused:
                reason = refused[name]
                events.append(self._over(tenure, task, RunOutcome.UNSTARTED, now_ms, reason))
            elif name not in running and report.clock_ms > task.start_by_ms:
                reason = "the worker did not start it in time"
                events.append(self._over(tenure, task, RunOutcome.UNSTARTED, now_ms, reason))
        self._learn(tenure, member)
        if report.ended:
            member.listed_through = max(row.number for row in report.ended)
        return events

    def _learn(self, tenure: PoolTenure, member: Member) -> None:
        neighbours = []
        for name, row in member.running.items():
            task = tenure.pool.task(name)
            if task is not None and (task.spec.fills or task.spec.target_ms):
                profile = profile_of(task)
                neighbours.append(Neighbour(row, profile))
        at = member.clock_ms * timedelta(milliseconds=1)
        conflicts = self._dispatcher.conflicts
        conflicts.observe(member.worker_id, at, neighbours)
        pairs = conflicts.conflicts()
        if set(pairs) != self._conflicts:
            self._conflicts = set(pairs)
            risks = [[*pair, round(conflicts.risk(*pair), 2)] for pair in sorted(pairs)]
            log(Event.CONFLICTS_CHANGED, pairs=risks)
        progress = [
            Progress(name, row.run, step_key(task), row.progress_percent)
            for name, row in member.running.items()
            if (task := tenure.pool.task(name)) is not None
            and not task.spec.fills
            and not task.spec.lasting
        ]
        self._soundness.observe(member.worker_id, progress, self._clock.monotonic())

    def _lost(self, tenure: PoolTenure) -> list[Any]:
        """Return the ends of runs on workers whose leases have certainly run out."""
        now = self._clock.monotonic()
        newest = _newest_on_machines(tenure.members.values())
        events: list[Any] = []
        for worker_id in tenure.pool.holders():
            member = tenure.members.get(worker_id)
            heard_at = tenure.claimed_at if member is None else member.received_at
            held = tenure.pool.held(worker_id)
            if now - heard_at > self._times.silence:
                reason = f"the worker was silent for {now - heard_at}"
            else:
                held = [task for task in held if newest.get(task.machine, "") > task.incarnation]
                reason = "another worker has started on its machine"
            if not held:
                continue
            now_ms = self._now_ms()
            events += [self._over(tenure, task, RunOutcome.LOST, now_ms, reason) for task in held]
            log(Event.WORKER_LOST, worker=worker_id, reason=reason)
        return events

    def _over(
        self,
        tenure: PoolTenure,
        task: StepTask,
        outcome: RunOutcome,
        now_ms: int,
        reason: str,
        checkpoint: str = "",
    ) -> RunOver:
        member = tenure.members.get(task.worker_id)
        row = member.running.get(task.name) if member else None
        if not checkpoint and row is not None and row.run == task.run:
            checkpoint = row.checkpoint
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED) and not task.spec.lasting:
            is_done = outcome is RunOutcome.DONE
            if self._soundness.ended(task.worker_id, is_done, self._clock.monotonic()):
                log(Event.WORKER_SUSPECTED, worker=task.worker_id, reason="runs fail in a row")
        log(
            Event.RUN_ENDED,
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            outcome=outcome.value,
            reason=reason,
        )
        return RunOver(task.name, task.run, outcome.value, now_ms, checkpoint)

    def _expired(self, tenure: PoolTenure) -> list[Any]:
        now = self._clock.monotonic()
        if now < self._next_expiry:
            return []
        self._next_expiry = now + EXPIRY_INTERVAL
        expired = tenure.pool.expired(self._now_ms())
        return [WorkflowsExpired(expired)] if expired else []

    def _saved(self, tenure: PoolTenure) -> list[Any]:
        """Return the newer checkpoints of runs at work, from time to time.

        Without them, work goes back to its beginning when the owner and the worker are lost at
        the same time.
        """
        now = self._clock.monotonic()
        if now < self._next_save:
            return []
        self._next_save = now + SAVE_INTERVAL
        return [
            RunSaved(name, row.run, row.checkpoint)
            for member in tenure.members.values()
            for name, row in member.running.items()
            if row.checkpoint
            and (task := tenure.pool.task(name)) is not None
            and task.is_held(row.run)
            and task.checkpoint != row.checkpoint
        ]

    # Starts and stops

    def _place(self, tenure: PoolTenure) -> list[Placed]:
        waiting = tenure.pool.ready()
        config = self._source.config()
        if not waiting or config is None or self._source.age() > CONFIG_MAX_AGE:
            return []
        if not tenure.is_live():
            return []
        rooms = self._rooms(tenure, config)
        return self._dispatcher.choose(waiting, rooms, self._now_ms()) if rooms else []

    def _move_runs(self, tenure: PoolTenure) -> None:
        """Order stops for runs that are better off on another worker."""
        now = self._clock.monotonic()
        config = self._source.config()
        if now < self._next_moves or config is None or not tenure.is_live():
            return
        self._next_moves = now + MOVE_INTERVAL
        filling = [
            task
            for member in tenure.members.values()
            for name, row in member.running.items()
            if (task := tenure.pool.task(name)) is not None
            and task.spec.fills
            and task.is_held(row.run)
            and row.progress_percent < MOVE_BELOW_PERCENT
        ]
        stalled = [
            task
            for member in tenure.members.values()
            for name, run in self._soundness.stalled(member.worker_id, now)
            if (task := tenure.pool.task(name)) is not None and task.is_held(run)
        ]
        if not filling and not stalled:
            return
        rooms = self._rooms(tenure, config)
        moved = [
            (task, "disturbs a service") for task in self._dispatcher.misplaced(filling, rooms)
        ]
        moved += [(task, "stands still") for task in self._dispatcher.stranded(stalled, rooms)]
        for task, reason in moved:
            tenure.members[task.worker_id].unwanted[task.name, task.run] = reason

    def _rooms(self, tenure: PoolTenure, config: PoolConfig) -> list[WorkerRoom]:
        now = self._clock.monotonic()
        services = config.services()
        newest = _newest_on_machines(tenure.members.values())
        rooms = [
            room_of(
                member.worker_id,
                member.incarnation,
                member.machine,
                member.service,
                member.data_centre,
                member.labels,
                member.capacity,
                tenure.pool.held(member.worker_id),
            )
            for member in tenure.members.values()
            if member.clock_ms
            and not member.leaving
            and not member.is_absent
            and newest.get(member.machine, "") <= member.incarnation
            and member.service in services
            and member.data_centre not in config.data_centres_out
            and now - member.received_at <= FRESH_FOR
        ]
        for room in rooms:
            room.penalty = self._soundness.penalty(room.worker_id, now)
            room.strains = _strains(tenure.pool, tenure.members[room.worker_id])
        return rooms

    def _start_by(self, tenure: PoolTenure, placed: Placed) -> int:
        member = tenure.members[placed.room.worker_id]
        clock_ms = member.clock_at(self._clock.monotonic())
        return clock_ms + START_WINDOW // timedelta(milliseconds=1)

    def _order_starts(self, tenure: PoolTenure, placed: list[Placed]) -> None:
        if not tenure.is_live():
            # The runs count as not started once their time has passed on the workers.
            return
        now = self._clock.monotonic()
        for decision in placed:
            task = decision.task
            member = tenure.members[task.worker_id]
            if member.incarnation != task.incarnation or not task.is_held(task.run):
                continue
            member.starts.append(
                wire.RunStart(
                    task.name,
                    task.run,
                    task.workflow.spec.payload,
                    task.checkpoint,
                    task.start_by_ms,
                    _profile(task),
                )
            )
            member.has_orders.set()
            log(
                Event.RUN_PLACED,
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
                start_by_ms=task.start_by_ms,
                resumed=bool(task.checkpoint),
            )

    def _order_stops(self, tenure: PoolTenure) -> None:
        now = self._clock.monotonic()
        for member in tenure.members.values():
            for task_name, row in member.running.items():
                task = tenure.pool.task(task_name)
                key = (task_name, row.run)
                is_wanted = task is not None and task.is_held(row.run)
                if is_wanted and not task.workflow.is_over and key not in member.unwanted:
                    continue
                sent_at = member.stopped_at.get(key)
                if sent_at is None or now - sent_at >= STOP_REPEAT:
                    member.stopped_at[key] = now
                    reason = member.unwanted.get(key, "not wanted")
                    member.stops.append(wire.RunStop(task_name, row.run, reason))
                    member.has_orders.set()
                    log(
                        Event.RUN_STOPPED,
                        task=task_name,
                        run=row.run,
                        worker=member.worker_id,
                        reason=reason,
                        report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
                    )
            for key in [key for key in member.stopped_at if key[0] not in member.running]:
                del member.stopped_at[key]
                member.unwanted.pop(key, None)

    # Answers

    def _live(self) -> PoolTenure | None:
        tenure = self._tenure
        return tenure if tenure is not None and tenure.is_live() else None

    def _grant(
        self, tenure: PoolTenure, member: Member, req: wire.WorkerReport
    ) -> wire.WorkerReportReply:
        with tenure.lock:
            tasks = [tenure.pool.task(name) for name in req.unprofiled]
            profiles = [_profile(task) for task in tasks if task is not None]
            relations = self._relations(tenure, member)
            is_current = member.incarnation == req.worker.incarnation
            ended_through = member.ended_through if is_current else 0
            fence = member.fence(tenure.epoch)
        if not tenure.is_live():
            return wire.WorkerReportReply(Outcome.NOT_OWNER, self._hint(), 0, 0, 0, 0, [], [])
        is_current = is_current and req.listed
        lease_until = req.clock_ms + self._times.lease // timedelta(milliseconds=1)
        return wire.WorkerReportReply(
            Outcome.OK,
            "",
            tenure.epoch,
            lease_until if is_current else 0,
            fence,
            ended_through,
            profiles,
            relations,
        )

    def _relations(self, tenure: PoolTenure, member: Member) -> list[wire.ImageRelation]:
        """Return what is known of the images that run on a worker."""
        specs = [
            task.spec for name in member.running if (task := tenure.pool.task(name)) is not None
        ]
        filling = {spec.image for spec in specs if spec.fills}
        serving = {spec.image for spec in specs if spec.target_ms}
        return [
            wire.ImageRelation(*pair, RELATION_CODES[relation])
            for *pair, relation in self._dispatcher.conflicts.relations(filling, serving)
        ]

    def _carry_out(
        self, tenure: PoolTenure, decide: Callable[[], list[Any]], shown: str
    ) -> wire.WorkflowReply:
        """Let the deciding thread decide, and wait for the commit."""
        item = _Item(decide)
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
            retry_after = RETRY_AFTER_OWNER_CHANGE // timedelta(milliseconds=1)
        return _reply(item.outcome, item.reason, shown=shown, retry_after_ms=retry_after)

    def _not_owner(self) -> wire.WorkflowReply:
        reply = _reply(Outcome.NOT_OWNER, "this process does not own the pool")
        reply.owner = self._hint()
        return reply

    def _hint(self) -> str:
        known = self._directory.owner()
        if known is None or known.address == self._address():
            return ""
        return str(known.address)

    def _address(self) -> Address:
        return Address(self._identity.host, self._identity.port)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _assigned(placed: Placed, start_by_ms: int) -> RunAssigned:
    task = placed.task
    room = placed.room
    return RunAssigned(
        task.name, task.run + 1, room.worker_id, room.incarnation, room.machine, start_by_ms
    )


def _profile(task: StepTask) -> wire.RunProfile:
    profile = profile_of(task)
    return wire.RunProfile(
        profile.task, profile.image, profile.fills, profile.cpu_millis, profile.target_ms
    )


def _log_ended(changed: list[Workflow]) -> None:
    for workflow in changed:
        if workflow.is_over:
            log(
                Event.WORKFLOW_ENDED,
                workflow=workflow.workflow_id,
                queue=workflow.queue.name,
                shown=workflow.shown,
                took_ms=workflow.ended_ms - workflow.accepted_ms,
            )


def _strains(pool: Pool, member: Member) -> dict[str, float]:
    """Return the highest tail of a worker's serving runs by image, as a share of its target."""
    strains: dict[str, float] = {}
    for name, row in member.running.items():
        task = pool.task(name)
        if task is not None and task.spec.target_ms:
            image = task.spec.image
            strains[image] = max(strains.get(image, 0.0), row.gauge / task.spec.target_ms)
    return strains


def _newest_on_machines(members: Iterable[Member]) -> dict[str, str]:
    """Return the newest life by VM; a VM runs one worker at a time."""
    newest: dict[str, str] = {}
    for member in members:
        if member.machine:
            newest[member.machine] = max(newest.get(member.machine, ""), member.incarnation)
    return newest


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
    return wire.WorkflowReply(outcome, reason, "", shown, waiting, retry_after_ms)

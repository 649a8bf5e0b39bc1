"""Lease renewals: one call per worker and second that renews the lease and returns its tasks."""

from concurrent.futures import Future
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import JournalError, NotSentError, WireError
from mulberryslip.fleets import Fleet
from mulberryslip.models import Attempt
from mulberryslip.tasks import Task, TaskPhase
from mulberryslip.transitions import AttemptLost, AttemptUnstarted
from mulberryslip.wire.ttypes import Outcome, RenewRequest, TaskRef, Throttle

from .attempts import AttemptTracker
from .peers import WorkerExecutor
from .requests import load_from_wire
from .starters import ConfigProvider
from .terms import Channels, LeaseTimes, ShardTerm, address_of, ref_of

RENEW_INTERVAL = timedelta(seconds=1)
IDLE_RENEW_INTERVALS = 5
"""Renewal intervals between calls to a worker without tasks of the shard. Such workers are called
because they may still hold a task that was cancelled while the shard had no owner."""

MAX_UNANSWERED_TIME = timedelta(seconds=5)
"""Time without a reply after which a worker is only pinged, so that its leases expire. Otherwise a
worker that receives renewals but whose replies are lost would keep its tasks for ever."""

MAX_ACKNOWLEDGED = 500


@attrs.define
class RenewalState:
    """State of the renewal calls to one worker.

    :param due: when the next renewal is due.
    :param latest_grant_at: latest time at which the worker may have received a lease or a start.
    :param replied_at: when the worker last replied to a renewal.
    :param revision: configuration revision in the worker's last reply.
    :param clock_ms: the worker's clock in milliseconds in its last reply; 0 before the first.
    :param acknowledged: attempts whose reports the worker may delete.
    :param call: the renewal call that was submitted last.
    """

    due: timedelta
    latest_grant_at: timedelta
    replied_at: timedelta
    incarnation: str = ""
    revision: int = 0
    clock_ms: int = 0
    acknowledged: dict[Attempt, None] = attrs.field(factory=dict)
    call: Future | None = None


class LeaseRenewer:
    """Renew leases and reconcile the shard with the tasks that the workers hold.

    :param times: lifetimes of leases and reservations.
    """

    def __init__(
        self,
        term: ShardTerm,
        fleet: Fleet,
        source: ConfigProvider,
        channels: Channels,
        executor: WorkerExecutor,
        attempts: AttemptTracker,
        clock: Clock,
        times: LeaseTimes,
        interval: timedelta = RENEW_INTERVAL,
    ):
        self._term = term
        self._fleet = fleet
        self._source = source
        self._channels = channels
        self._executor = executor
        self._attempt_tracker = attempts
        self._clock = clock
        self._times = times
        self._interval = interval
        self._states: dict[str, RenewalState] = {}

    def renew_due(self) -> None:
        """Send the renewals that are due and give up the tasks of unreachable workers."""
        now = self._clock.monotonic()
        with self._term.lock:
            holders = set(self._term.shard.workers_with_attempts())
        known = {view.description.worker_id for view in self._fleet.workers()}
        for worker_id in known | holders:
            state = self._state(worker_id)
            if now >= state.due and (state.call is None or state.call.done()):
                has_work = worker_id in holders or state.acknowledged
                state.due = now + (
                    self._interval if has_work else self._interval * IDLE_RENEW_INTERVALS
                )
                state.call = self._executor.submit(worker_id, lambda w=worker_id: self.renew(w))
        for worker_id in holders:
            self._give_up_if_unreachable(worker_id)
        self._drop_unused_states(known | holders)

    def record_possible_grant(self, worker_id: str) -> None:
        """Record that a worker may just have received a lease or a start."""
        with self._term.lock:
            self._state(worker_id).latest_grant_at = self._clock.monotonic()

    def acknowledge(self, worker_id: str, attempts: list[Attempt]) -> None:
        """Tell a worker with its next renewal that its reports are committed."""
        with self._term.lock:
            state = self._state(worker_id)
            state.acknowledged.update(dict.fromkeys(attempts))
            if attempts:
                state.due = min(state.due, self._clock.monotonic() + self._interval)

    def renew(self, worker_id: str) -> None:
        """Renew the leases of one worker and process the tasks in its reply."""
        state = self._state(worker_id)
        sent_at = self._clock.monotonic()
        if sent_at - state.replied_at > MAX_UNANSWERED_TIME and not self._replies_to_ping(
            worker_id
        ):
            return
        try:
            reply = self._send_renewal(worker_id, state)
            if reply.outcome == Outcome.OK and reply.clock_ms and not state.clock_ms:
                # The first renewal only reads the worker's clock; a lease starts at a time on it.
                state.clock_ms = reply.clock_ms
                reply = self._send_renewal(worker_id, state)
        except NotSentError:
            return
        except WireError as exc:
            self.record_possible_grant(worker_id)
            log(Event.CONNECTION_DROPPED, peer=worker_id, reason=str(exc))
            return
        self.record_possible_grant(worker_id)
        if reply.epoch > self._term.epoch:
            self._term.commit_log.fence(f"{worker_id} knows epoch {reply.epoch}")
            return
        self._fleet.record_reply(worker_id, reply.incarnation, load_from_wire(reply.load))
        if reply.outcome != Outcome.OK:
            return
        state.replied_at = self._clock.monotonic()
        state.revision = reply.config_revision
        state.clock_ms = reply.clock_ms
        self._reconcile(worker_id, reply, sent_at)

    def _state(self, worker_id: str) -> RenewalState:
        with self._term.lock:
            state = self._states.get(worker_id)
            if state is None:
                now = self._clock.monotonic()
                # An earlier owner may have renewed leases until this one claimed the shard.
                state = self._states[worker_id] = RenewalState(now, self._term.claimed_at, now)
            return state

    def _drop_unused_states(self, needed: set[str]) -> None:
        with self._term.lock:
            for worker_id in self._states.keys() - needed:
                if not self._states[worker_id].acknowledged:
                    del self._states[worker_id]

    def _replies_to_ping(self, worker_id: str) -> bool:
        """Return whether the worker replies to a ping, which grants no lease."""
        try:
            timeout = self._term.timeout()
            self._channels.call(address_of(self._fleet, worker_id), "ping", 1, timeout)
        except WireError:
            return False
        return True

    def _send_renewal(self, worker_id: str, state: RenewalState) -> Any:
        timeout = self._term.timeout()
        with self._term.lock:
            acknowledged = list(state.acknowledged)[:MAX_ACKNOWLEDGED]
        view = self._source.view()
        is_newer = view is not None and view.revision > state.revision
        req = RenewRequest(
            header=self._term.header(timeout),
            shard=self._term.number,
            epoch=self._term.epoch,
            lease_ms=int(self._times.task_lease.total_seconds() * 1000),
            acknowledged=[ref_of(attempt) for attempt in acknowledged],
            config=view.to_json() if is_newer else b"",
            owner_host=self._term.identity.host,
            owner_port=self._term.identity.port,
            throttles=self._throttles(worker_id),
            clock_ms=state.clock_ms,
        )
        reply = self._channels.call(address_of(self._fleet, worker_id), "renew", req, timeout)
        if reply.outcome == Outcome.OK:
            with self._term.lock:
                for attempt in acknowledged:
                    state.acknowledged.pop(attempt, None)
        return reply

    def _throttles(self, worker_id: str) -> list[Throttle]:
        """Return the requested throttles that the worker has not reported as applied yet."""
        with self._term.lock:
            attempt_infos = [
                (attempt, self._term.info(attempt))
                for attempt, _ in self._term.shard.current_attempts(worker_id)
            ]
            return [
                Throttle(ref_of(attempt), info.requested_permille)
                for attempt, info in attempt_infos
                if info.requested_permille not in (None, info.throttle_permille)
            ]

    def _reconcile(self, worker_id: str, reply: Any, sent_at: timedelta) -> None:
        try:
            acknowledged = self._attempt_tracker.commit_reports(worker_id, reply.tasks)
            self._give_up_missing(worker_id, reply.tasks, sent_at)
        except JournalError as exc:
            # The worker sends its reports again with the next renewal.
            log(Event.STORE_UNAVAILABLE, call="commit reports", reason=str(exc))
            return
        self.acknowledge(worker_id, acknowledged)

    def _give_up_missing(self, worker_id: str, reports: list[Any], sent_at: timedelta) -> None:
        """Give up attempts that are assigned to a worker but missing from its reports."""
        present = {_ref_tuple(report.task) for report in reports}
        events = []
        with self._term.lock:
            assigned_attempts = self._term.shard.current_attempts(worker_id)
            self._fleet.set_running(
                worker_id,
                self._term.number,
                tuple(self._term.shard.jobs[a.key.job_id].template for a, _ in assigned_attempts),
            )
            for attempt, task in assigned_attempts:
                if _ref_tuple(ref_of(attempt)) not in present:
                    events += self._missing_attempt_events(worker_id, attempt, task, sent_at)
        self._term.commit(events)

    def _missing_attempt_events(
        self, worker_id: str, attempt: Attempt, task: Task, sent_at: timedelta
    ) -> list[Any]:
        info = self._term.info(attempt)
        key = attempt.key
        # Without a recorded time, the confirmation happened before this ownership term.
        confirmed_at = info.confirmed_at or self._term.claimed_at
        if task.phase is TaskPhase.RUNNING or info.confirmed_at is not None:
            if confirmed_at >= sent_at:
                return []
            reason = f"{worker_id} no longer holds the task"
            return [AttemptLost(key.job_id, key.index, attempt.number, reason, self._now_ms())]
        if sent_at - info.assigned_at < self._times.start_wait:
            return []
        reason = f"{worker_id} did not start the task"
        return [AttemptUnstarted(key.job_id, key.index, attempt.number, reason)]

    def _give_up_if_unreachable(self, worker_id: str) -> None:
        """Give up the tasks of a worker once all its leases are certain to have expired."""
        now = self._clock.monotonic()
        with self._term.lock:
            latest_grant_at = self._state(worker_id).latest_grant_at
            if now - latest_grant_at <= self._times.unreachable_wait:
                return
            assigned_attempts = [
                (attempt, task)
                for attempt, task in self._term.shard.current_attempts(worker_id)
                if now - self._latest_lease(attempt) > self._times.unreachable_wait
            ]
        reason = f"{worker_id} was unreachable for {self._times.unreachable_wait}"
        events = [
            AttemptLost(a.key.job_id, a.key.index, a.number, reason, self._now_ms())
            for a, _ in assigned_attempts
        ]
        if not events:
            return
        try:
            changed = self._term.commit(events)
        except JournalError as exc:
            log(Event.STORE_UNAVAILABLE, call="commit lost tasks", reason=str(exc))
            return
        log(Event.WORKER_LOST, worker=worker_id, shard=self._term.number, tasks=sum(changed))

    def _latest_lease(self, attempt: Attempt) -> timedelta:
        """Return the latest time at which a start may have granted the attempt a lease.

        A start may be in transit to a worker that has just become reachable again and whose last
        renewal is older than the wait for unreachable workers.
        """
        info = self._term.info(attempt)
        if info.confirmed_at is not None:
            return info.confirmed_at
        return info.assigned_at + self._times.start_wait

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _ref_tuple(ref: TaskRef) -> tuple[str, int, int]:
    return (ref.job_id, ref.index, ref.attempt)

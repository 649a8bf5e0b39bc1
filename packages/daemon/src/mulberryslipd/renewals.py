"""Renewals: one call per worker and second that carries the lease and brings back its tasks."""

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

from .attempts import Attempts
from .peers import Peers
from .requests import load_from_wire
from .starters import Source
from .tenures import Channels, LeaseTimes, Tenure, address_of, ref_of

RENEW_INTERVAL = timedelta(seconds=1)
IDLE_INTERVALS = 5
"""Renew intervals between calls to workers without tasks of the shard; they may still hold a task
that was cancelled while the shard had no owner."""

UNANSWERED_LIMIT = timedelta(seconds=5)
"""A worker that receives renewals but cannot answer would keep its tasks for ever. After this time
without an answer it is only pinged, so that its leases expire."""

MAX_ACKNOWLEDGED = 500


@attrs.define
class Line:
    """What is known about the calls to one worker.

    :param due: when the next renewal is due.
    :param lease_base: latest time at which the worker may have received a lease or a start.
    :param answered_at: when it last answered a renewal.
    :param clock_ms: the worker's clock in its last reply; 0 before the first.
    :param acknowledged: reports that it may forget.
    """

    due: timedelta
    lease_base: timedelta
    answered_at: timedelta
    incarnation: str = ""
    revision: int = 0
    clock_ms: int = 0
    acknowledged: dict[Attempt, None] = attrs.field(factory=dict)
    running: Future | None = None


class Renewals:
    """Renews leases and reconciles the shard with what the workers hold.

    :param times: lifetimes of leases and reservations.
    """

    def __init__(
        self,
        tenure: Tenure,
        fleet: Fleet,
        source: Source,
        channels: Channels,
        peers: Peers,
        attempts: Attempts,
        clock: Clock,
        times: LeaseTimes,
        interval: timedelta = RENEW_INTERVAL,
    ):
        self._tenure = tenure
        self._fleet = fleet
        self._source = source
        self._channels = channels
        self._peers = peers
        self._attempts = attempts
        self._clock = clock
        self._times = times
        self._interval = interval
        self._lines: dict[str, Line] = {}

    def scan(self) -> None:
        """Send the renewals that are due and give up tasks of workers that are gone."""
        now = self._clock.monotonic()
        with self._tenure.lock:
            holders = set(self._tenure.shard.holders())
        known = {view.description.worker_id for view in self._fleet.workers()}
        for worker_id in known | holders:
            line = self._line(worker_id)
            if now >= line.due and (line.running is None or line.running.done()):
                busy = worker_id in holders or line.acknowledged
                line.due = now + (self._interval if busy else self._interval * IDLE_INTERVALS)
                line.running = self._peers.submit(worker_id, lambda w=worker_id: self.renew(w))
        for worker_id in holders:
            self._lose_if_unreachable(worker_id)
        self._drop_lines(known | holders)

    def touch(self, worker_id: str) -> None:
        """Note that a worker may have received a lease or a start until now."""
        with self._tenure.lock:
            self._line(worker_id).lease_base = self._clock.monotonic()

    def acknowledge(self, worker_id: str, attempts: list[Attempt]) -> None:
        """Let the next renewal tell a worker that its reports are committed."""
        with self._tenure.lock:
            line = self._line(worker_id)
            line.acknowledged.update(dict.fromkeys(attempts))
            if attempts:
                line.due = min(line.due, self._clock.monotonic() + self._interval)

    def renew(self, worker_id: str) -> None:
        """Renew the leases of one worker and take in what it holds."""
        line = self._line(worker_id)
        sent_at = self._clock.monotonic()
        if sent_at - line.answered_at > UNANSWERED_LIMIT and not self._answers(worker_id):
            return
        try:
            reply = self._call(worker_id, line)
            if reply.outcome == Outcome.OK and reply.clock_ms and not line.clock_ms:
                # The first renewal only learns the worker's clock, from which leases count.
                line.clock_ms = reply.clock_ms
                reply = self._call(worker_id, line)
        except NotSentError:
            return
        except WireError as exc:
            self.touch(worker_id)
            log(Event.CONNECTION_DROPPED, peer=worker_id, reason=str(exc))
            return
        self.touch(worker_id)
        if reply.epoch > self._tenure.epoch:
            self._tenure.log.fence(f"{worker_id} knows epoch {reply.epoch}")
            return
        self._fleet.observe(worker_id, reply.incarnation, load_from_wire(reply.load))
        if reply.outcome != Outcome.OK:
            return
        line.answered_at = self._clock.monotonic()
        line.revision = reply.config_revision
        line.clock_ms = reply.clock_ms
        self._reconcile(worker_id, reply, sent_at)

    def _line(self, worker_id: str) -> Line:
        with self._tenure.lock:
            line = self._lines.get(worker_id)
            if line is None:
                now = self._clock.monotonic()
                # An earlier owner may have renewed until this one claimed the shard.
                line = self._lines[worker_id] = Line(now, self._tenure.claimed_at, now)
            return line

    def _drop_lines(self, wanted: set[str]) -> None:
        with self._tenure.lock:
            for worker_id in self._lines.keys() - wanted:
                if not self._lines[worker_id].acknowledged:
                    del self._lines[worker_id]

    def _answers(self, worker_id: str) -> bool:
        """Return whether the worker answers a ping, which grants no lease."""
        try:
            timeout = self._tenure.timeout()
            self._channels.call(address_of(self._fleet, worker_id), "ping", 1, timeout)
        except WireError:
            return False
        return True

    def _call(self, worker_id: str, line: Line) -> Any:
        timeout = self._tenure.timeout()
        with self._tenure.lock:
            acknowledged = list(line.acknowledged)[:MAX_ACKNOWLEDGED]
        view = self._source.view()
        is_newer = view is not None and view.revision > line.revision
        req = RenewRequest(
            header=self._tenure.header(timeout),
            shard=self._tenure.number,
            epoch=self._tenure.epoch,
            lease_ms=int(self._times.task_lease.total_seconds() * 1000),
            acknowledged=[ref_of(attempt) for attempt in acknowledged],
            config=view.to_json() if is_newer else b"",
            owner_host=self._tenure.identity.host,
            owner_port=self._tenure.identity.port,
            throttles=self._throttles(worker_id),
            clock_ms=line.clock_ms,
        )
        reply = self._channels.call(address_of(self._fleet, worker_id), "renew", req, timeout)
        if reply.outcome == Outcome.OK:
            with self._tenure.lock:
                for attempt in acknowledged:
                    line.acknowledged.pop(attempt, None)
        return reply

    def _throttles(self, worker_id: str) -> list[Throttle]:
        """Return the shares of speed that the worker has not reported yet."""
        with self._tenure.lock:
            infos = [
                (attempt, self._tenure.info(attempt))
                for attempt, _ in self._tenure.shard.held(worker_id)
            ]
            return [
                Throttle(ref_of(attempt), info.wanted_permille)
                for attempt, info in infos
                if info.wanted_permille not in (None, info.throttle_permille)
            ]

    def _reconcile(self, worker_id: str, reply: Any, sent_at: timedelta) -> None:
        try:
            acknowledged = self._attempts.take(worker_id, reply.tasks)
            self._give_up_missing(worker_id, reply.tasks, sent_at)
        except JournalError as exc:
            # The worker repeats its reports with the next renewal.
            log(Event.STORE_UNAVAILABLE, call="commit reports", reason=str(exc))
            return
        self.acknowledge(worker_id, acknowledged)

    def _give_up_missing(self, worker_id: str, reports: list[Any], sent_at: timedelta) -> None:
        """Queue again what the shard has on a worker and the worker does not have."""
        present = {_identity(report.task) for report in reports}
        events = []
        with self._tenure.lock:
            held = self._tenure.shard.held(worker_id)
            self._fleet.set_running(
                worker_id,
                self._tenure.number,
                tuple(self._tenure.shard.jobs[a.key.job_id].template for a, _ in held),
            )
            for attempt, task in held:
                if _identity(ref_of(attempt)) not in present:
                    events += self._missing(worker_id, attempt, task, sent_at)
        self._tenure.commit(events)

    def _missing(
        self, worker_id: str, attempt: Attempt, task: Task, sent_at: timedelta
    ) -> list[Any]:
        info = self._tenure.info(attempt)
        key = attempt.key
        # Without a record of the confirmation it happened before this tenure.
        confirmed_at = info.confirmed_at or self._tenure.claimed_at
        if task.phase is TaskPhase.RUNNING or info.confirmed_at is not None:
            if confirmed_at >= sent_at:
                return []
            reason = f"{worker_id} no longer holds the task"
            return [AttemptLost(key.job_id, key.index, attempt.number, reason, self._now_ms())]
        if sent_at - info.assigned_at < self._times.start_wait:
            return []
        reason = f"{worker_id} did not start the task"
        return [AttemptUnstarted(key.job_id, key.index, attempt.number, reason)]

    def _lose_if_unreachable(self, worker_id: str) -> None:
        """Give up the tasks of a worker once all its leases have certainly expired."""
        now = self._clock.monotonic()
        with self._tenure.lock:
            lease_base = self._line(worker_id).lease_base
            if now - lease_base <= self._times.unreachable_wait:
                return
            held = [
                (attempt, task)
                for attempt, task in self._tenure.shard.held(worker_id)
                if now - self._latest_lease(attempt) > self._times.unreachable_wait
            ]
        reason = f"{worker_id} was unreachable for {self._times.unreachable_wait}"
        events = [
            AttemptLost(a.key.job_id, a.key.index, a.number, reason, self._now_ms())
            for a, _ in held
        ]
        if not events:
            return
        try:
            changed = self._tenure.commit(events)
        except JournalError as exc:
            log(Event.STORE_UNAVAILABLE, call="commit lost tasks", reason=str(exc))
            return
        log(Event.WORKER_LOST, worker=worker_id, shard=self._tenure.number, tasks=sum(changed))

    def _latest_lease(self, attempt: Attempt) -> timedelta:
        """Return the latest time at which a start may have given the attempt a lease.

        A start on a worker that was unreachable until now may be on its way while the worker's
        last renewal is already too old.
        """
        info = self._tenure.info(attempt)
        if info.confirmed_at is not None:
            return info.confirmed_at
        return info.assigned_at + self._times.start_wait

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _identity(ref: TaskRef) -> tuple[str, int, int]:
    return (ref.job_id, ref.index, ref.attempt)

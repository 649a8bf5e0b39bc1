"""The gateway: takes workflows from callers and passes them to the owner of the pool."""

import random
import uuid
from dataclasses import dataclass, replace
from datetime import timedelta

from mulberryslip.channels import ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import NotSentError, StoreError, WireError
from mulberryslip.metrics import Metrics
from mulberryslip.queues import Queue
from mulberryslip.retries import Deadline
from mulberryslip.steps import WorkflowSpec
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome

from .directories import PoolDirectory
from .intents import PoolConfigSource

CALL_TIMEOUT = timedelta(milliseconds=1000)
"""The owner answers after its commit, within 100 ms unless the store is slow. A longer wait would
leave no time to ask the next owner when this one is frozen or cut off."""

LAST_ANSWER = timedelta(milliseconds=200)
"""Time before a caller's deadline at which it gets its last answer, so that this still arrives."""

OWNER_PATIENCE = timedelta(milliseconds=60)
"""Longest wait for an owner before a submission is turned away: callers are better off with an
early refusal and a time to come back than with a late one."""

READ_PATIENCE = timedelta(milliseconds=1000)
"""Longest wait for an owner before a read or a cancellation is turned away."""

RETRY_PAUSE = timedelta(milliseconds=30)
RETRY_AFTER = timedelta(seconds=1)
"""Time after which a caller finds an owner again in most cases."""

MAX_RETRY_AFTER = timedelta(seconds=3)
"""Longest time to come back: store leases run out within 3 s, so that another owner is there."""

SPREAD = 0.5
"""Random part by which a time to come back is longer, so that callers do not return together."""

UNKNOWN_QUEUE_AGE = timedelta(milliseconds=300)
"""Age of the configuration from which on it is read again before a queue is said not to exist."""

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True)
class Accepted:
    """The workflow is stored."""

    shown: str


@dataclass(frozen=True)
class Shown:
    """The state of a workflow, or the number of a queue's workflows that have not begun."""

    shown: str = ""
    waiting: int = 0


@dataclass(frozen=True)
class Rejected:
    """The call was not carried out.

    :param retry_after: when to come back; None when that is of no use.
    """

    reason: str
    retry_after: timedelta | None = RETRY_AFTER


@dataclass(frozen=True)
class Unknown:
    """The call may have been carried out; sending it again is safe."""

    reason: str


@dataclass(frozen=True)
class Missing:
    """There is no such queue or workflow."""

    reason: str


GatewayOutcome = Accepted | Shown | Rejected | Unknown | Missing


class Gateway:
    """Calls of callers about workflows.

    :param directory: knows the owner of the pool.
    :param channels: connections to agents.
    :param source: the operators' configuration.
    """

    def __init__(
        self,
        name: str,
        directory: PoolDirectory,
        channels: ChannelPool,
        source: PoolConfigSource,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ):
        self._name = name
        self._rng = rng
        self._refused_since: timedelta | None = None
        self._incarnation = uuid.uuid4().hex
        self._directory = directory
        self._channels = channels
        self._source = source
        self._metrics = metrics
        self._clock = clock

    def is_ready(self) -> bool:
        """Return whether calls can be served."""
        return self._source.config() is not None

    def find_queue(self, host: str, path: str) -> Queue | Rejected | Missing:
        """Return the queue that a host and a path lead to."""
        config = self._source.config()
        queue = config.match(host, path) if config else None
        if queue is None and self._source.age() > UNKNOWN_QUEUE_AGE:
            try:
                config = self._source.refresh()
            except StoreError as exc:
                # A newer configuration may have the queue, so "no such queue" could be false.
                log(Event.STORE_UNAVAILABLE, call="refresh pool config", reason=str(exc))
                return Rejected("the newest configuration is not known")
            queue = config.match(host, path) if config else None
        if config is None:
            return Rejected("the configuration is not known yet")
        return queue or Missing(f"no queue for this path in revision {config.revision}")

    def submit(
        self, queue: Queue, workflow_id: str, spec: WorkflowSpec, deadline: Deadline
    ) -> GatewayOutcome:
        """Hand a workflow in."""
        started = self._clock.monotonic()
        outcome = self._call(
            "submit", queue, workflow_id, deadline, OWNER_PATIENCE, spec.to_json().encode()
        )
        outcome = self._with_return(outcome)
        self._metrics.record("", "submit", queue.name, self._clock.monotonic() - started)
        self._metrics.count(f"submit_{type(outcome).__name__.lower()}")
        return outcome

    def status(self, queue: Queue, workflow_id: str, deadline: Deadline) -> GatewayOutcome:
        """Return the state of a workflow."""
        return self._call("status", queue, workflow_id, deadline, READ_PATIENCE)

    def cancel(self, queue: Queue, workflow_id: str, deadline: Deadline) -> GatewayOutcome:
        """Cancel a workflow."""
        return self._call("cancel", queue, workflow_id, deadline, READ_PATIENCE)

    def waiting(self, queue: Queue, deadline: Deadline) -> GatewayOutcome:
        """Return how many workflows of a queue have not begun."""
        return self._call("waiting", queue, "", deadline, READ_PATIENCE)

    def _with_return(self, outcome: GatewayOutcome) -> GatewayOutcome:
        """Set when a refused caller is to come back.

        An outage that has lasted for some time is likely to last as long again. Callers come back
        a few times only; with a fixed short time they would use these up before it ends.
        """
        now = self._clock.monotonic()
        if not isinstance(outcome, Rejected):
            self._refused_since = None
            return outcome
        if outcome.retry_after is None:
            return outcome
        if self._refused_since is None:
            self._refused_since = now
        age = now - self._refused_since
        wait = max(outcome.retry_after, min(age, MAX_RETRY_AFTER))
        spread = 1 + SPREAD * self._rng.random() if age > outcome.retry_after else 1.0
        return replace(outcome, retry_after=wait * spread)

    def _call(
        self,
        method: str,
        queue: Queue,
        workflow_id: str,
        deadline: Deadline,
        patience: timedelta,
        body: bytes = b"",
    ) -> GatewayOutcome:
        """Call the owner, another one if it changes, until there is an answer.

        A call that may have been carried out is repeated until it is known: all calls may be, and
        neither a refusal nor an early end would tell the caller the truth.
        """
        request_id = uuid.uuid4().hex
        last = Deadline(self._clock, max(timedelta(), deadline.remaining() - LAST_ANSWER))
        waits = Deadline(self._clock, last.sooner(patience))
        lost = ""
        reason = "the pool has no owner"
        while not last.expired():
            owner = self._directory.wait_for_owner(waits.remaining())
            if owner is not None:
                try:
                    timeout = last.sooner(CALL_TIMEOUT)
                    req = wire.WorkflowRequest(
                        self._header(request_id, timeout), workflow_id, queue.name, body
                    )
                    reply = self._channels.call(owner.address, method, req, timeout)
                    if reply.outcome not in (Outcome.NOT_OWNER, Outcome.OUTCOME_UNKNOWN):
                        return self._outcome(method, workflow_id, request_id, reply, lost)
                    reason = reply.reason
                    if reply.outcome == Outcome.OUTCOME_UNKNOWN:
                        lost = reason or "the owner did not decide in time"
                        waits = last
                except NotSentError as exc:
                    reason = str(exc)
                except WireError as exc:
                    reason = lost = str(exc)
                    waits = last
                self._directory.suspect(owner.epoch)
            if waits.expired():
                break
            self._clock.sleep(waits.sooner(RETRY_PAUSE))
        return self._given_up(method, workflow_id, request_id, lost, reason)

    def _outcome(
        self, method: str, workflow_id: str, request_id: str, reply: wire.WorkflowReply, lost: str
    ) -> GatewayOutcome:
        if reply.outcome == Outcome.OK:
            return Accepted(reply.shown) if method == "submit" else _shown(reply)
        if reply.outcome == Outcome.NOT_FOUND:
            return Missing(reply.reason)
        if lost:
            # An earlier send of this call may have been carried out.
            return self._given_up(method, workflow_id, request_id, lost, reply.reason)
        retry_after = reply.retry_after_ms * _MS if reply.retry_after_ms else None
        log(
            Event.WORKFLOW_REJECTED,
            request_id=request_id,
            method=method,
            workflow=workflow_id,
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
        )
        return Rejected(reply.reason, retry_after)

    def _given_up(
        self, method: str, workflow_id: str, request_id: str, lost: str, reason: str
    ) -> GatewayOutcome:
        event = Event.REQUEST_OUTCOME_UNKNOWN if lost else Event.WORKFLOW_REJECTED
        log(
            event,
            request_id=request_id,
            method=method,
            workflow=workflow_id,
            reason=lost or reason,
        )
        return Unknown(lost) if lost else Rejected(reason)

    def _header(self, request_id: str, timeout: timedelta) -> wire.Header:
        config = self._source.config()
        return wire.Header(
            request_id=request_id,
            deadline_ms=max(1, timeout // _MS),
            config_revision=config.revision if config else 0,
            sender=f"gateway/{self._name}",
            incarnation=self._incarnation,
        )


def _shown(reply: wire.WorkflowReply) -> Shown:
    return Shown(reply.shown, reply.waiting)

"""The gateway: forwards calls about workflows from callers to the owner of their pool."""

import random
import threading
import uuid
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from mulberryslip.channels import ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import NotSentError, StoreError, WireError
from mulberryslip.metrics import Metrics
from mulberryslip.partitions import partition_of
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.retries import Deadline
from mulberryslip.steps import WorkflowSpec
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome

from .directories import PoolOwnerDirectory
from .intents import PoolConfigSource

CALL_TIMEOUT = timedelta(milliseconds=1000)
"""Limit for one call to the owner, which replies after its commit, within 100 ms unless the store
is slow. A longer limit would leave no time to call the next owner when this one is frozen or
unreachable."""

FINAL_RESPONSE_MARGIN = timedelta(milliseconds=200)
"""Time reserved before a caller's deadline, so that the final response still arrives in time."""

SUBMIT_OWNER_TIMEOUT = timedelta(milliseconds=60)
"""Maximum wait for an owner before a submission is rejected: an early rejection with a retry time
serves callers better than a late one."""

READ_OWNER_TIMEOUT = timedelta(milliseconds=1000)
"""Maximum wait for an owner before a read or a cancellation is rejected."""

RETRY_PAUSE = timedelta(milliseconds=30)
RETRY_AFTER = timedelta(seconds=1)
"""Default retry time of rejected callers; in most cases there is an owner again by then."""

MAX_RETRY_AFTER = timedelta(seconds=3)
"""Maximum retry time: store leases expire within 3 s, after which another owner takes over."""

RETRY_AFTER_JITTER = 0.5
"""Maximum random extension of a retry time, as a fraction; it spreads the callers' retries."""

UNKNOWN_QUEUE_MAX_CONFIG_AGE = timedelta(milliseconds=300)
"""Age above which the configuration is read again before a queue is reported as missing."""

MATCH_HISTORY = timedelta(seconds=3)
"""Time for which matches are remembered. Few callers wait longer, and a request that was delayed
for longer counts as overtaken."""

MAX_REMEMBERED_MATCHES = 4096
"""Maximum number of remembered matches; it bounds the time of a comparison with all of them."""

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True)
class Accepted:
    """The workflow is stored."""

    shown: str


@dataclass(frozen=True)
class Shown:
    """The state of a workflow, or how many workflows of a queue have not begun.

    :param shown: state in the form shown to callers.
    :param waiting: number of workflows that have not begun.
    """

    shown: str = ""
    waiting: int = 0


@dataclass(frozen=True)
class Rejected:
    """The call was not executed.

    :param retry_after: time until a retry is useful; None if it never is.
    """

    reason: str
    retry_after: timedelta | None = RETRY_AFTER


@dataclass(frozen=True)
class Unknown:
    """The call may have been executed; sending it again is safe."""

    reason: str


@dataclass(frozen=True)
class Missing:
    """The queue or workflow does not exist."""

    reason: str


GatewayOutcome = Accepted | Shown | Rejected | Unknown | Missing


@dataclass(frozen=True)
class _Match:
    """How a request was matched.

    :param arrived_at: when the request arrived.
    :param queue: the result; None if the request was told that there is no queue.
    """

    arrived_at: timedelta
    config: PoolConfig
    host: str
    path: str
    queue: Queue | None

    def is_result_of(self, config: PoolConfig) -> bool:
        """Return whether another configuration gives the same result."""
        return config.match(self.host, self.path) == self.queue


class QueueMatcher:
    """Matches requests with queues; no result is older than that of a request that arrived before.

    A request can be matched late because it waited for a thread or for the newest configuration.
    Later requests do not wait for it: while the store does not respond, they are still served. If
    one of them had a result that the newest configuration does not give any more, a request that
    arrived before gets none that the configuration then in force did not give.

    :param source: the operators' configuration.
    """

    def __init__(self, source: PoolConfigSource, clock: Clock):
        self._source = source
        self._clock = clock
        self._lock = threading.Lock()
        self._matches: deque[_Match] = deque()
        self._forgotten_until = timedelta.min
        self._newest: PoolConfig | None = None
        self._changed_at = timedelta.min

    def find(self, host: str, path: str, queue_time: timedelta) -> Queue | Rejected | Missing:
        """Return the queue that matches a host and a path.

        :param queue_time: time since the request has arrived.
        """
        arrived_at = self._clock.monotonic() - queue_time
        with self._lock:
            # The age first: a configuration that is read after it is at least as recent.
            is_recent = self._source.age() <= UNKNOWN_QUEUE_MAX_CONFIG_AGE
            config = self._source.config()
            if config and (is_recent or config.match(host, path)):
                return self._result(config, host, path, arrived_at)
        try:
            self._source.refresh()
        except StoreError as exc:
            # A newer configuration may contain the queue: do not report it as missing.
            log(Event.STORE_UNAVAILABLE, call="refresh pool config", reason=str(exc))
            return Rejected("the newest configuration is not known")
        with self._lock:
            config = self._source.config()
            if config is None:
                return Rejected("the configuration is not known yet")
            return self._result(config, host, path, arrived_at)

    def _result(
        self, config: PoolConfig, host: str, path: str, arrived_at: timedelta
    ) -> Queue | Rejected | Missing:
        """Return the result of a match and remember it.

        The caller must hold the lock from before it reads the configuration.
        """
        now = self._clock.monotonic()
        if config is not self._newest:
            self._newest, self._changed_at = config, now
        match = _Match(arrived_at, config, host, path, config.match(host, path))
        if arrived_at < self._changed_at and self._is_overtaken(match):
            return Rejected("the configuration has changed while the request waited")
        self._matches.append(match)
        self._forget_old_matches(now)
        return match.queue or Missing(f"no queue for this path in revision {config.revision}")

    def _forget_old_matches(self, now: timedelta) -> None:
        matches = self._matches
        while len(matches) > MAX_REMEMBERED_MATCHES or (
            matches and now - matches[0].arrived_at > MATCH_HISTORY
        ):
            self._forgotten_until = max(self._forgotten_until, matches.popleft().arrived_at)

    def _is_overtaken(self, match: _Match) -> bool:
        """Return whether a later request had an older result than this match."""
        if match.arrived_at < self._forgotten_until:
            return True
        return any(
            later.arrived_at > match.arrived_at
            and later.config is not match.config
            and not later.is_result_of(match.config)
            and not match.is_result_of(later.config)
            for later in self._matches
        )


class Gateway:
    """Serves callers' requests about workflows by calling the owner of their pool.

    :param directories: track the owners of the pools, by the number of the pool.
    :param channels: connections to agents.
    :param source: the operators' configuration.
    """

    def __init__(
        self,
        name: str,
        directories: Sequence[PoolOwnerDirectory],
        channels: ChannelPool,
        source: PoolConfigSource,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ):
        self._name = name
        self._rng = rng
        self._rejecting_since: dict[int, timedelta] = {}
        self._incarnation = uuid.uuid4().hex
        self._directories = directories
        self._channels = channels
        self._source = source
        self._matcher = QueueMatcher(source, clock)
        self._metrics = metrics
        self._clock = clock

    def is_ready(self) -> bool:
        """Return whether calls can be served."""
        return self._source.config() is not None

    def find_queue(
        self, host: str, path: str, queue_time: timedelta = timedelta()
    ) -> Queue | Rejected | Missing:
        """Return the queue that matches a host and a path.

        :param queue_time: time since the request has arrived.
        """
        return self._matcher.find(host, path, queue_time)

    def submit(
        self, queue: Queue, workflow_id: str, spec: WorkflowSpec, deadline: Deadline
    ) -> GatewayOutcome:
        """Submit a workflow."""
        started = self._clock.monotonic()
        pool = self._pool_of(workflow_id)
        body = spec.to_json().encode()
        outcome = self._call(
            "submit", pool, queue, workflow_id, deadline, SUBMIT_OWNER_TIMEOUT, body
        )
        outcome = self._with_retry_after(outcome, pool)
        self._metrics.record("", "submit", queue.name, self._clock.monotonic() - started)
        self._metrics.count(f"submit_{type(outcome).__name__.lower()}")
        return outcome

    def status(self, queue: Queue, workflow_id: str, deadline: Deadline) -> GatewayOutcome:
        """Return the state of a workflow."""
        pool = self._pool_of(workflow_id)
        return self._call("status", pool, queue, workflow_id, deadline, READ_OWNER_TIMEOUT)

    def cancel(self, queue: Queue, workflow_id: str, deadline: Deadline) -> GatewayOutcome:
        """Cancel a workflow."""
        pool = self._pool_of(workflow_id)
        return self._call("cancel", pool, queue, workflow_id, deadline, READ_OWNER_TIMEOUT)

    def waiting(self, queue: Queue, deadline: Deadline) -> GatewayOutcome:
        """Return how many workflows of a queue have not begun, in all pools."""
        total = 0
        for pool in range(len(self._directories)):
            outcome = self._call("waiting", pool, queue, "", deadline, READ_OWNER_TIMEOUT)
            if not isinstance(outcome, Shown):
                # A sum without one of the pools would be too low.
                return outcome
            total += outcome.waiting
        return replace(outcome, waiting=total)

    def _pool_of(self, workflow_id: str) -> int:
        return partition_of(workflow_id, len(self._directories))

    def _with_retry_after(self, outcome: GatewayOutcome, pool: int) -> GatewayOutcome:
        """Set the retry time of a rejected call.

        An outage that has lasted for some time is likely to last as long again. Callers retry only
        a few times; with a fixed short retry time they would give up before the outage ends.
        """
        now = self._clock.monotonic()
        if not isinstance(outcome, Rejected):
            self._rejecting_since.pop(pool, None)
            return outcome
        if outcome.retry_after is None:
            return outcome
        age = now - self._rejecting_since.setdefault(pool, now)
        wait = max(outcome.retry_after, min(age, MAX_RETRY_AFTER))
        jitter = 1 + RETRY_AFTER_JITTER * self._rng.random() if age > outcome.retry_after else 1.0
        return replace(outcome, retry_after=wait * jitter)

    def _call(
        self,
        method: str,
        pool: int,
        queue: Queue,
        workflow_id: str,
        deadline: Deadline,
        owner_timeout: timedelta,
        body: bytes = b"",
    ) -> GatewayOutcome:
        """Call a pool's owner, or its successor if it changes, until there is a definite reply.

        A call that may have been executed is repeated until its outcome is known. All calls are
        safe to repeat, and neither a rejection nor giving up early would be a correct response.

        :param owner_timeout: maximum wait for an owner while the call is certainly not executed.
        """
        request_id = uuid.uuid4().hex
        directory = self._directories[pool]
        response_deadline = Deadline(
            self._clock, max(timedelta(), deadline.remaining() - FINAL_RESPONSE_MARGIN)
        )
        owner_deadline = Deadline(self._clock, response_deadline.cap(owner_timeout))
        unknown_reason = ""
        reason = f"pool {pool} has no owner"
        while not response_deadline.expired():
            owner = directory.wait_for_owner(owner_deadline.remaining())
            if owner is not None:
                try:
                    timeout = response_deadline.cap(CALL_TIMEOUT)
                    req = wire.WorkflowRequest(
                        self._header(request_id, timeout), workflow_id, queue.name, body
                    )
                    reply = self._channels.call(owner.address, method, req, timeout)
                    if reply.outcome not in (Outcome.NOT_OWNER, Outcome.OUTCOME_UNKNOWN):
                        return self._outcome_from_reply(
                            method, workflow_id, request_id, reply, unknown_reason
                        )
                    reason = reply.reason
                    if reply.outcome == Outcome.OUTCOME_UNKNOWN:
                        unknown_reason = reason or "the owner did not decide in time"
                        owner_deadline = response_deadline
                except NotSentError as exc:
                    reason = str(exc)
                except WireError as exc:
                    reason = unknown_reason = str(exc)
                    owner_deadline = response_deadline
                directory.report_failure(owner.epoch)
            if owner_deadline.expired():
                break
            self._clock.sleep(owner_deadline.cap(RETRY_PAUSE))
        return self._build_failure(method, workflow_id, request_id, unknown_reason, reason)

    def _outcome_from_reply(
        self,
        method: str,
        workflow_id: str,
        request_id: str,
        reply: wire.WorkflowReply,
        unknown_reason: str,
    ) -> GatewayOutcome:
        if reply.outcome == Outcome.OK:
            return Accepted(reply.shown) if method == "submit" else _shown_from_reply(reply)
        if reply.outcome == Outcome.NOT_FOUND:
            return Missing(reply.reason)
        if unknown_reason:
            # An earlier send of this call may have been executed.
            return self._build_failure(
                method, workflow_id, request_id, unknown_reason, reply.reason
            )
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

    def _build_failure(
        self, method: str, workflow_id: str, request_id: str, unknown_reason: str, reason: str
    ) -> GatewayOutcome:
        event = Event.REQUEST_OUTCOME_UNKNOWN if unknown_reason else Event.WORKFLOW_REJECTED
        log(
            event,
            request_id=request_id,
            method=method,
            workflow=workflow_id,
            reason=unknown_reason or reason,
        )
        return Unknown(unknown_reason) if unknown_reason else Rejected(reason)

    def _header(self, request_id: str, timeout: timedelta) -> wire.Header:
        config = self._source.config()
        return wire.Header(
            request_id=request_id,
            deadline_ms=max(1, timeout // _MS),
            config_revision=config.revision if config else 0,
            sender=f"gateway/{self._name}",
            incarnation=self._incarnation,
        )


def _shown_from_reply(reply: wire.WorkflowReply) -> Shown:
    return Shown(reply.shown, reply.waiting)

"""Forwarding of callers' requests to workers: routing, claims, retries, hedging."""

import random
import threading
import zlib
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from typing import Protocol

import attrs
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.configs import Template
from mulberryslip.events import Event, log
from mulberryslip.exceptions import NotSentError, WireError
from mulberryslip.fleets import Fleet
from mulberryslip.metrics import Metrics
from mulberryslip.models import Resources, WorkerLoad, WorkerView
from mulberryslip.outcomes import Answered, NotClaimed, NotRun, OutcomeUnknown, RequestOutcome
from mulberryslip.retries import Deadline, RetryBudget, backoff
from mulberryslip.routings import RouteChoice, Router
from mulberryslip.wire.ttypes import (
    ClaimReply,
    ForwardReply,
    ForwardRequest,
    Header,
    Load,
    Outcome,
)
from mulberryslip.wire.ttypes import Resources as WireResources

from .peers import run_call

MAX_ATTEMPTS = 4
MAX_PER_SERVICE = 48
DEADLINE_MARGIN = timedelta(milliseconds=10)
"""A worker is given this much less time than the entry waits, at most a tenth of it, so that its
own answer about a missed deadline arrives first. Otherwise the entry closes the connection."""

VIEWS_KEPT = timedelta(milliseconds=200)
"""Making the views takes 6 ms with 800 workers; a worker that leaves may get requests for
this much longer."""

HEDGE_THREADS = 32
"""Threads for idempotent requests with hedging; beyond them requests are sent without hedging."""


_MS = timedelta(milliseconds=1)


class Channels(Protocol):
    """The part of `channels.ChannelPool` that forwarding needs."""

    def call(self, address: Address, method: str, request: object, deadline: timedelta) -> object:
        """Call a peer."""


class Claims(Protocol):
    """Claims of caller-chosen request ids in the shards' journals."""

    def claim(self, claim_id: str, worker_id: str, deadline: Deadline) -> ClaimReply:
        """Claim an id for a worker, or release it with an empty worker id."""


@attrs.frozen
class Identity:
    """Who sends a message.

    :param entry_id: name of the entry from its settings.
    :param incarnation: changes with each start of the process.
    :param data_centre: where the entry runs.
    """

    entry_id: str
    incarnation: str
    data_centre: str


@dataclass(frozen=True)
class ServiceRequest:
    """One request of a caller.

    :param template: the service, of class `service`.
    :param path: path and query below the service's path, percent-encoded.
    :param request_id: the caller's id, or one made by the entry.
    :param caller_chosen: whether the caller may resend under this id.
    :param deadline: when the caller stops waiting.
    """

    template: Template
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    caller_chosen: bool
    deadline: Deadline


@dataclass
class _Trail:
    """What was tried for one request.

    :param tried: workers that must not get it again.
    :param attempts: times that it was sent.
    :param unknown: why an earlier attempt may have run, or empty.
    :param retriable: whether another worker could make a difference.
    :param claimed: whether this entry has claimed the request id.
    """

    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    unknown: str = ""
    retriable: bool = True
    claimed: bool = False

    def final(self, outcome: RequestOutcome) -> RequestOutcome:
        """Return the outcome of the request, given that of its last attempt."""
        if isinstance(outcome, NotRun) and self.unknown:
            return OutcomeUnknown(f"{self.unknown}; then: {outcome.reason}")
        return outcome


@attrs.frozen
class _KnownViews:
    """Workers that answer a service, read from the fleet at one moment."""

    read_at: timedelta
    views: tuple[WorkerView, ...]


class RequestService:
    """Forwards requests to workers and returns tagged outcomes.

    :param fleet: known workers.
    :param router: choice of the worker.
    :param channels: connections to workers.
    :param claims: claims of request ids.
    :param revision: returns the configuration revision for message headers.
    :param max_per_service: requests of one service at a time; more are refused, so that a service
        whose targets are slow cannot take all threads of the entry.
    """

    def __init__(
        self,
        identity: Identity,
        fleet: Fleet,
        router: Router,
        channels: Channels,
        claims: Claims,
        metrics: Metrics,
        budget: RetryBudget,
        revision: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        hedge_threads: int = HEDGE_THREADS,
        max_per_service: int = MAX_PER_SERVICE,
    ):
        self._identity = identity
        self._fleet = fleet
        self._router = router
        self._channels = channels
        self._claims = claims
        self._metrics = metrics
        self._budget = budget
        self._revision = revision
        self._clock = clock
        self._rng = rng
        self._max_per_service = max_per_service
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._known_views: dict[str, _KnownViews] = {}
        self._threads = threading.BoundedSemaphore(hedge_threads)

    def run(self, req: ServiceRequest) -> RequestOutcome:
        """Forward one request.

        :returns: `NotRun` only if no target received it.
        """
        name = req.template.name
        begun = self._clock.monotonic()
        if not self._enter(name):
            reason = f"{self._max_per_service} requests of {name} are in flight at this entry"
            outcome = _refusal(req, reason)
        else:
            try:
                self._budget.earn()
                outcome = self._run(req)
            finally:
                self._leave(name)
        self._record(req, outcome, self._clock.monotonic() - begun)
        return outcome

    def _enter(self, service: str) -> bool:
        with self._lock:
            if self._in_flight[service] >= self._max_per_service:
                return False
            self._in_flight[service] += 1
            return True

    def _leave(self, service: str) -> None:
        with self._lock:
            self._in_flight[service] -= 1
            if not self._in_flight[service]:
                del self._in_flight[service]

    def _run(self, req: ServiceRequest) -> RequestOutcome:
        trail = _Trail()
        while True:
            choice = self._choose(req, trail)
            if not choice.worker_id:
                return trail.final(_refusal(req, choice.reason, trail.claimed))
            outcome = self._attempt(req, choice, trail)
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, OutcomeUnknown):
                if not req.template.parameters.idempotent:
                    return outcome
                trail.unknown = trail.unknown or outcome.reason
            refusal = self._refuse_retry(req, trail)
            if refusal:
                return trail.final(replace(outcome, reason=f"{outcome.reason}; {refusal}"))
            self._pause(req, trail)

    def _choose(self, req: ServiceRequest, trail: _Trail) -> RouteChoice:
        return self._router.choose(
            req.template,
            self._identity.data_centre,
            self._views(req.template.name),
            req.deadline.remaining(),
            frozenset(trail.tried),
        )

    def _views(self, service: str) -> tuple[WorkerView, ...]:
        now = self._clock.monotonic()
        known = self._known_views.get(service)
        if known is None or now - known.read_at > VIEWS_KEPT:
            known = _KnownViews(now, tuple(self._fleet.routing_views(service)))
            self._known_views[service] = known
        return known.views

    def _refuse_retry(self, req: ServiceRequest, trail: _Trail) -> str:
        """Return why the request is not sent again, or an empty string when it is."""
        if not trail.retriable:
            return "another worker would make no difference"
        if trail.attempts >= MAX_ATTEMPTS:
            return f"{trail.attempts} workers were tried"
        if req.deadline.expired():
            return "the deadline has passed"
        if not self._budget.take():
            self._metrics.count("retries_over_budget")
            return "the retry budget is used up"
        self._metrics.count("requests_retried")
        log(Event.REQUEST_RETRIED, request_id=req.request_id, attempt=trail.attempts + 1)
        return ""

    def _pause(self, req: ServiceRequest, trail: _Trail) -> None:
        # A second worker is tried at once, since a refusal says nothing about it.
        if trail.attempts > 1:
            self._clock.sleep(req.deadline.sooner(backoff(trail.attempts - 1, self._rng)))

    def _attempt(self, req: ServiceRequest, choice: RouteChoice, trail: _Trail) -> RequestOutcome:
        trail.attempts += 1
        trail.tried.add(choice.worker_id)
        if not _needs_claim(req):
            return self._send_hedged(req, choice, trail)
        refused = self._claim(req, choice.worker_id)
        trail.claimed = refused is None
        if refused is not None:
            trail.retriable = False
            return refused
        outcome = self._send(req, choice.worker_id)
        if isinstance(outcome, NotRun):
            self._release(req)
        return outcome

    def _claim(self, req: ServiceRequest, worker_id: str) -> RequestOutcome | None:
        """Claim the request id; None when the request may be sent to the worker."""
        reply = self._claims.claim(req.request_id, worker_id, req.deadline)
        if reply.outcome == Outcome.OK:
            return None
        if reply.outcome == Outcome.CONFLICT:
            return self._ask_again(req, reply.worker_id)
        return NotClaimed(f"the request id could not be claimed: {reply.reason}")

    def _ask_again(self, req: ServiceRequest, worker_id: str) -> RequestOutcome:
        """Fetch the answer that a worker remembers for a request that was sent before."""
        outcome = self._send(req, worker_id, resent=True)
        if isinstance(outcome, Answered):
            return outcome
        return OutcomeUnknown(f"sent to {worker_id} before under this id: {outcome.reason}")

    def _release(self, req: ServiceRequest) -> None:
        """Release the claim, which is this entry's own.

        It is sent once: a second release could remove the claim of another entry that received the
        caller's resend meanwhile.
        """
        reply = self._claims.claim(req.request_id, "", req.deadline)
        if reply.outcome != Outcome.OK:
            self._metrics.count("claims_not_released")

    def _send_hedged(
        self, req: ServiceRequest, choice: RouteChoice, trail: _Trail
    ) -> RequestOutcome:
        first = None
        if choice.hedge_after is not None:
            first = self._start_send(req, choice.worker_id)
        if first is None:
            return self._send(req, choice.worker_id)
        done, _ = wait([first], choice.hedge_after.total_seconds())
        second = None if done else self._start_hedge(req, trail)
        if second is None:
            return first.result()
        return _first_answer(first, second)

    def _start_hedge(self, req: ServiceRequest, trail: _Trail) -> Future[RequestOutcome] | None:
        choice = self._choose(req, trail)
        if not choice.worker_id or not self._budget.take():
            return None
        second = self._start_send(req, choice.worker_id)
        if second is None:
            self._budget.give_back()
            return None
        trail.attempts += 1
        trail.tried.add(choice.worker_id)
        self._metrics.count("requests_hedged")
        log(Event.REQUEST_HEDGED, request_id=req.request_id, worker=choice.worker_id)
        return second

    def _start_send(self, req: ServiceRequest, worker_id: str) -> Future[RequestOutcome] | None:
        """Send in another thread; None when all of them are busy."""
        if not self._threads.acquire(blocking=False):
            return None
        fut: Future[RequestOutcome] = Future()
        fut.add_done_callback(lambda _: self._threads.release())
        # Threads of an executor would keep the process from ending while they wait for a worker.
        target = partial(run_call, fut, partial(self._send, req, worker_id))
        thread = threading.Thread(target=target, name="hedge", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            fut.cancel()
            return None
        return fut

    def _send(self, req: ServiceRequest, worker_id: str, resent: bool = False) -> RequestOutcome:
        view = self._fleet.worker(worker_id)
        if view is None:
            return NotRun(f"worker {worker_id} is not known")
        self._router.sent(worker_id)
        begun = self._clock.monotonic()
        try:
            reply = self._call(req, view, resent)
        except NotSentError as exc:
            self._router.failed(worker_id)
            return NotRun(f"{worker_id}: {exc}")
        except WireError as exc:
            self._router.failed(worker_id)
            return OutcomeUnknown(f"{worker_id}: {exc}")
        return self._outcome(req, view, reply, self._clock.monotonic() - begun)

    def _call(self, req: ServiceRequest, view: WorkerView, resent: bool) -> ForwardReply:
        address = Address(view.description.host, view.description.port)
        message = self._message(req, resent)
        return self._channels.call(address, "forward", message, req.deadline.remaining())

    def _message(self, req: ServiceRequest, resent: bool) -> ForwardRequest:
        remaining = req.deadline.remaining()
        header = Header(
            request_id=req.request_id,
            deadline_ms=(remaining - min(DEADLINE_MARGIN, remaining / 10)) // _MS,
            config_revision=self._revision(),
            sender=self._identity.entry_id,
            incarnation=self._identity.incarnation,
        )
        return ForwardRequest(
            header=header,
            template_name=req.template.name,
            method=req.method,
            path=req.path,
            headers=dict(req.headers),
            body=req.body,
            idempotent=req.template.parameters.idempotent,
            resent=resent,
        )

    def _outcome(
        self, req: ServiceRequest, view: WorkerView, reply: ForwardReply, latency: timedelta
    ) -> RequestOutcome:
        worker_id = view.description.worker_id
        if reply.request_id != req.request_id:
            self._router.failed(worker_id)
            return OutcomeUnknown(f"{worker_id} sent the reply to another request")
        if reply.outcome == Outcome.OK and zlib.crc32(reply.body) != reply.body_crc32:
            self._router.failed(worker_id)
            return OutcomeUnknown(f"{worker_id} sent a damaged body")
        load = load_from_wire(reply.load)
        self._fleet.observe(worker_id, "", load)
        if reply.outcome == Outcome.OK:
            self._router.answered(worker_id, req.template.name, latency, load)
            return Answered(reply.status, dict(reply.headers), reply.body, worker_id)
        self._router.failed(worker_id, load)
        if reply.outcome == Outcome.NOT_RUN:
            return NotRun(f"{worker_id}: {reply.reason}")
        return OutcomeUnknown(f"{worker_id}: {reply.reason}")

    def _record(self, req: ServiceRequest, outcome: RequestOutcome, latency: timedelta) -> None:
        name, account = req.template.name, req.template.account
        if isinstance(outcome, NotRun | NotClaimed):
            # Refusals are fast; among the latencies they would hide slow answers.
            self._metrics.count(f"requests_not_run.{name}")
            log(Event.REQUEST_NOT_RUN, request_id=req.request_id, reason=outcome.reason)
            return
        self._metrics.record(account, req.template.task_class.value, name, latency)
        if isinstance(outcome, OutcomeUnknown):
            self._metrics.count(f"requests_outcome_unknown.{name}")
            log(Event.REQUEST_OUTCOME_UNKNOWN, request_id=req.request_id, reason=outcome.reason)
        else:
            self._metrics.count(f"requests_answered.{name}")


def load_from_wire(load: Load) -> WorkerLoad:
    """Return a load as the model has it."""
    return WorkerLoad(
        in_flight=load.in_flight,
        queued=load.queued,
        service_time_us=load.service_time_us,
        free=resources_from_wire(load.free),
        leaving=load.leaving,
        pressure_permille=load.pressure_permille,
    )


def resources_from_wire(res: WireResources) -> Resources:
    """Return resources as the model has them."""
    return Resources(res.cpu_millis, res.memory_mb, res.accelerators, res.slots)


def _first_answer(first: Future[RequestOutcome], second: Future[RequestOutcome]) -> RequestOutcome:
    """Return the first answer of two; without one, what is known of both."""
    done, running = wait([first, second], return_when=FIRST_COMPLETED)
    outcomes = [fut.result() for fut in done]
    if not any(isinstance(outcome, Answered) for outcome in outcomes):
        outcomes += [fut.result() for fut in running]
    return min(outcomes, key=_preference)


def _preference(outcome: RequestOutcome) -> int:
    # If either attempt may have run, the request may have run.
    return (Answered, OutcomeUnknown, NotRun).index(type(outcome))


def _needs_claim(req: ServiceRequest) -> bool:
    return req.caller_chosen and not req.template.parameters.idempotent


def _refusal(req: ServiceRequest, reason: str, claimed: bool = False) -> RequestOutcome:
    """Return the outcome of a request that was sent to no worker.

    Without the claim, an earlier send under the same id may have run through another entry.
    """
    return NotClaimed(reason) if _needs_claim(req) and not claimed else NotRun(reason)

"""Forwarding of requests: retries, claims, hedging and reported outcomes."""

import random
import threading
import time
import zlib
from datetime import timedelta

import pytest
from mulberryslip import (
    Answered,
    ManualClock,
    NotClaimed,
    NotRun,
    OutcomeUnknown,
    Resources,
    SystemClock,
)
from mulberryslip.configs import parse_template
from mulberryslip.exceptions import NotSentError, ReplyLostError
from mulberryslip.fleets import Fleet
from mulberryslip.metrics import Metrics
from mulberryslip.models import WorkerDescription, WorkerLoad
from mulberryslip.retries import Deadline, RetryBudget
from mulberryslip.routings import LinkDelays, Router
from mulberryslip.wire.ttypes import ClaimReply, ForwardReply, Load, Outcome
from mulberryslip.wire.ttypes import Resources as WireResources
from mulberryslipd.requests import RequestService, SenderIdentity, ServiceRequest

MS = timedelta(milliseconds=1)
WORKERS = 3


def reply(req, outcome=Outcome.OK, body=b"answer", **changed):
    fields = {
        "request_id": req.header.request_id, "outcome": outcome, "reason": "queue full",
        "status": 200, "headers": {}, "body": body, "body_crc32": zlib.crc32(body),
        "load": Load(0, 0, 1000, WireResources(0, 0, 0, 0), False, 0),
    }  # fmt: skip
    return ForwardReply(**{**fields, **changed})


def ok(req):
    return reply(req)


def not_run(req):
    return reply(req, Outcome.NOT_RUN)


def unknown(req):
    return reply(req, Outcome.OUTCOME_UNKNOWN)


def refused_connect(req):
    raise NotSentError("connection refused")


def lost(req):
    raise ReplyLostError("connection cut")


def other_id(req):
    return reply(req, request_id="another")


def damaged(req):
    return reply(req, body_crc32=1)


class Channels:
    """Fake channels; each call follows the next scripted behaviour, then the last one."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    def call(self, address, method, request, deadline):
        self.calls.append((address.port, request))
        behaviour = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return behaviour(request)


class Claims:
    """Fake claims in a dictionary; every call returns `outcome` if it is set."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.held = {}
        self.releases = 0

    def claim(self, claim_id, worker_id, deadline):
        if self.outcome is not None:
            return ClaimReply(self.outcome, "the store does not answer", "")
        if not worker_id:
            self.releases += 1
            del self.held[claim_id]
            return ClaimReply(Outcome.OK, "", "")
        if claim_id in self.held:
            return ClaimReply(Outcome.CONFLICT, "", self.held[claim_id])
        self.held[claim_id] = worker_id
        return ClaimReply(Outcome.OK, "", "")


class AlwaysRetryingService(RequestService):
    """Test double that retries after every outcome, as a proxy unaware of `NotRun` does."""

    def _attempt(self, req, choice, state):
        outcome = super()._attempt(req, choice, state)
        return NotRun(outcome.reason) if isinstance(outcome, OutcomeUnknown) else outcome


class UnclaimedService(RequestService):
    """Test double that sends without claiming the request id."""

    def _claim(self, req, worker_id):
        return None

    def _release(self, req):
        """Do nothing."""


class UnlimitedBudget(RetryBudget):
    """Test double of a budget without a limit."""

    def withdraw(self):
        return True


class AllInServiceConfig:
    revision = 1

    def data_centre_in(self, name):
        return True


def make_service(
    channels, claims=None, kind=RequestService, budget=None, clock=None, max_per_service=8,
    workers=WORKERS,
):  # fmt: skip
    clock = clock or ManualClock()
    fleet = Fleet(clock)
    fleet.apply_config(AllInServiceConfig())
    for number in range(1, workers + 1):
        description = WorkerDescription(
            f"w{number}", "1", "concord", "r", "127.0.0.1", number, Resources(), ("check",)
        )
        fleet.record_announcement(description, WorkerLoad(service_time_us=1000))
    rng = random.Random(1)
    return kind(
        SenderIdentity("entry-1", "1", "concord"), fleet, Router(clock, rng, LinkDelays({})),
        channels,
        claims or Claims(), Metrics(), budget or RetryBudget(), lambda: 7, clock, rng,
        max_per_service=max_per_service,
    )  # fmt: skip


def make_request(clock=None, idempotent=False, chosen=False, deadline=500 * MS, hedge_ms=0):
    parameters = {"idempotent": idempotent, "hedge_after_ms": hedge_ms}
    raw = {"class": "service", "account": "a", "parameters": parameters}
    return ServiceRequest(
        template=parse_template("check", raw), method="POST", path="/x", headers={}, body=b"b",
        request_id="r-1", caller_chosen=chosen, deadline=Deadline(clock or ManualClock(), deadline),
    )  # fmt: skip


@pytest.mark.parametrize(
    ("script", "idempotent", "outcome", "calls"),
    [
        ([ok], False, Answered, 1),
        ([not_run, ok], False, Answered, 2),
        ([refused_connect, ok], False, Answered, 2),
        ([lost, ok], False, OutcomeUnknown, 1),
        ([unknown, ok], False, OutcomeUnknown, 1),
        ([other_id, ok], False, OutcomeUnknown, 1),
        ([damaged, ok], False, OutcomeUnknown, 1),
        ([not_run, lost, ok], False, OutcomeUnknown, 2),
        ([not_run], False, NotRun, WORKERS),
        ([lost, ok], True, Answered, 2),
        ([lost, not_run], True, OutcomeUnknown, WORKERS),
        ([not_run, lost, ok], True, Answered, 3),
        ([lost], True, OutcomeUnknown, WORKERS),
    ],
)
def test_outcome_and_retries(script, idempotent, outcome, calls):
    """Guards against a retry of a request that may have run, and a false `NotRun`."""
    channels = Channels(*script)
    result = make_service(channels).run(make_request(idempotent=idempotent))
    assert isinstance(result, outcome)
    assert len(channels.calls) == calls
    assert len({port for port, _ in channels.calls}) == calls


def test_request_is_not_retried_after_it_was_sent():
    """Guards against a second run: a service that retries after a lost reply sends it twice."""
    channels = Channels(lost, ok)
    assert isinstance(
        make_service(channels, kind=AlwaysRetryingService).run(make_request()), Answered
    )
    assert len(channels.calls) == 2
    channels = Channels(lost, ok)
    assert isinstance(make_service(channels).run(make_request()), OutcomeUnknown)
    assert len(channels.calls) == 1


@pytest.mark.parametrize(
    ("budget", "share"), [(RetryBudget(initial=0), 0.1), (UnlimitedBudget(), 2.0)]
)
def test_retries_stay_within_the_budget_while_every_worker_fails(budget, share):
    """Guards against a retry storm: without a budget, failing workers get three times the load."""
    clock = ManualClock()
    channels = Channels(not_run)
    service = make_service(channels, budget=budget, clock=clock)
    for _ in range(500):
        service.run(make_request(clock))
        clock.advance(timedelta(milliseconds=1))
    retries = len(channels.calls) - 500
    assert share * 0.9 * 500 <= retries <= share * 500


def test_no_retry_after_the_deadline():
    """Guards against a retry for a caller that no longer waits."""
    clock = ManualClock()

    def slow(req):
        clock.advance(600 * MS)
        return not_run(req)

    channels = Channels(slow)
    result = make_service(channels, clock=clock).run(make_request(clock))
    assert isinstance(result, NotRun)
    assert "deadline" in result.reason
    assert len(channels.calls) == 1


def test_remaining_deadline_is_propagated():
    """Guards against a retry whose deadline is later than the caller's.

    The worker's deadline is 10 ms earlier, so that its reply about the deadline arrives in time.
    """
    clock = ManualClock()

    def slow(req):
        clock.advance(200 * MS)
        return not_run(req)

    channels = Channels(slow, ok)
    make_service(channels, clock=clock).run(make_request(clock))
    assert [req.header.deadline_ms for _, req in channels.calls] == [490, 290]


def test_resend_gets_the_cached_response_and_is_not_run_again():
    """Guards against a second run when a caller resends its request through another entry."""
    claims = Claims()
    first, second = Channels(lost), Channels(ok)
    request = make_request(chosen=True)
    assert isinstance(make_service(first, claims).run(request), OutcomeUnknown)
    assert isinstance(make_service(second, claims).run(request), Answered)
    (port, _), (resent_port, resent) = first.calls[0], second.calls[0]
    assert resent_port == port
    assert resent.resent is True
    assert first.calls[0][1].resent is False


def test_resend_runs_twice_without_claims():
    """Shows that claims are needed: without them the second entry sends the request again."""
    claims = Claims()
    first, second = Channels(lost), Channels(ok)
    request = make_request(chosen=True)
    make_service(first, claims, UnclaimedService).run(request)
    make_service(second, claims, UnclaimedService).run(request)
    assert [req.resent for _, req in first.calls + second.calls] == [False, False]


@pytest.mark.parametrize("behaviour", [not_run, unknown, lost, refused_connect])
def test_resend_without_a_cached_response_is_unknown(behaviour):
    """Guards against `NotRun` for a resent request whose original may have run."""
    claims = Claims()
    claims.held["r-1"] = "w2"
    channels = Channels(behaviour)
    result = make_service(channels, claims).run(make_request(chosen=True))
    assert isinstance(result, OutcomeUnknown)
    assert len(channels.calls) == 1


def test_claim_moves_with_the_request():
    """Guards against a claim for a worker that refused the request."""
    claims = Claims()
    channels = Channels(not_run, ok)
    result = make_service(channels, claims).run(make_request(chosen=True))
    assert claims.held == {"r-1": result.worker_id}
    assert claims.releases == 1


@pytest.mark.parametrize(
    ("chosen", "idempotent", "outcome"),
    [(True, False, NotClaimed), (False, False, Answered), (True, True, Answered)],
)
def test_store_outage_refuses_only_requests_that_need_a_claim(chosen, idempotent, outcome):
    """Guards against a store outage that blocks all requests, or lets one run twice."""
    channels = Channels(ok)
    service = make_service(channels, Claims(Outcome.NOT_RUN))
    result = service.run(make_request(chosen=chosen, idempotent=idempotent))
    assert isinstance(result, outcome)
    assert len(channels.calls) == (0 if outcome is NotClaimed else 1)


def test_slow_idempotent_request_is_hedged():
    """Guards against a tail latency that is determined by one slow worker."""
    release = threading.Event()

    def slow(req):
        release.wait(5)
        return reply(req, body=b"late")

    clock = SystemClock()
    channels = Channels(slow, ok)
    service = make_service(channels, clock=clock)
    started = time.monotonic()
    result = service.run(
        make_request(clock, idempotent=True, deadline=timedelta(seconds=4), hedge_ms=30)
    )
    duration = time.monotonic() - started
    release.set()
    assert (result.body, len(channels.calls)) == (b"answer", 2)
    assert 0.03 <= duration < 2


def test_hedges_draw_from_the_retry_budget():
    """Guards against hedging that doubles the load when every worker is slow."""

    def slow(req):
        time.sleep(0.02)
        return ok(req)

    clock = SystemClock()
    channels = Channels(slow)
    service = make_service(channels, clock=clock, budget=RetryBudget(initial=1))
    for _ in range(15):
        service.run(make_request(clock, idempotent=True, hedge_ms=1))
    assert len(channels.calls) == 15 + 2


def test_slow_service_cannot_occupy_every_thread():
    """Guards against a slow service that blocks the health check and all other services."""
    entered, release = threading.Semaphore(0), threading.Event()

    def slow(req):
        entered.release()
        release.wait(5)
        return ok(req)

    clock = SystemClock()
    service = make_service(Channels(slow), clock=clock, max_per_service=2)
    request = make_request(clock, deadline=timedelta(seconds=5))
    threads = [threading.Thread(target=service.run, args=(request,)) for _ in range(2)]
    for thread in threads:
        thread.start()
        entered.acquire(timeout=5)
    assert "2 requests of check are in flight" in service.run(request).reason
    release.set()
    for thread in threads:
        thread.join()
    assert isinstance(service.run(request), Answered)


@pytest.mark.parametrize(
    ("chosen", "idempotent", "outcome"),
    [(True, False, NotClaimed), (False, False, NotRun), (True, True, NotRun)],
)
def test_refusal_without_a_claim_does_not_say_not_run(chosen, idempotent, outcome):
    """Guards against `NotRun` for a resend whose original ran through another entry."""
    service = make_service(Channels(ok), Claims(), workers=0)
    result = service.run(make_request(chosen=chosen, idempotent=idempotent))
    assert isinstance(result, outcome)

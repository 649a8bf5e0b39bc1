"""The gateway: which owner it calls, how long it tries, and what it tells callers."""

import random
from datetime import timedelta

import pytest
from mulberryslip import ManualClock
from mulberryslip.channels import Address
from mulberryslip.exceptions import NotSentError, ReplyLostError, StoreUnavailableError
from mulberryslip.metrics import Metrics
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.retries import Deadline
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire.ttypes import Outcome, WorkflowReply
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.directories import KnownOwner, PoolDirectory
from mulberryslipd.gateways import Accepted, Gateway, Missing, Rejected, Shown, Unknown
from mulberryslipd.intents import PoolConfigSource

QUEUE = Queue("q", prefix="/q/", service="s")
SPEC = WorkflowSpec("p", (StepSpec(),))
OWNER = Address("10.0.0.1", 7000)


class ScriptedChannels:
    """Answers calls one after the other; the last answer is repeated."""

    def __init__(self, clock, *answers):
        self._clock = clock
        self._answers = list(answers)
        self.calls = []

    def call(self, address, method, req, timeout):
        self.calls.append((address, method, timeout))
        self._clock.advance(timedelta(milliseconds=10))
        answer = self._answers[0] if len(self._answers) == 1 else self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class WaitingClock(ManualClock):
    """Clock on which waits of conditions pass at once."""


def reply(outcome, shown="", reason="", retry_after_ms=0):
    return WorkflowReply(outcome, reason, shown, 0, retry_after_ms)


def make(*answers, owner=True):
    clock = WaitingClock()
    store = FakeStore(clock)
    directory = PoolDirectory(store, "pools/0/owner", clock, random.Random(1))
    if owner:
        directory.offer(KnownOwner(OWNER, 5))
    source = PoolConfigSource(
        store, "op/", lambda documents: PoolConfig.of(3, [QUEUE]), clock, random.Random(1)
    )
    channels = ScriptedChannels(clock, *answers)
    gateway = Gateway("g", directory, channels, source, Metrics(), clock, random.Random(1))
    return gateway, channels, clock, source


OK = reply(Outcome.OK, "queued")
LOST = ReplyLostError("no answer")
NOT_SENT = NotSentError("refused")
NOT_OWNER = reply(Outcome.NOT_OWNER)


@pytest.mark.parametrize(
    ("answers", "kind"),
    [
        ([OK], Accepted),
        ([NOT_SENT, OK], Accepted),
        ([NOT_OWNER, OK], Accepted),
        ([LOST, OK], Accepted),
        ([reply(Outcome.OUTCOME_UNKNOWN), OK], Accepted),
        ([NOT_SENT], Rejected),
        ([NOT_OWNER], Rejected),
        ([LOST], Unknown),
        ([LOST, NOT_OWNER, NOT_OWNER, NOT_OWNER, NOT_OWNER, OK], Accepted),
        ([LOST, NOT_SENT], Unknown),
        ([LOST, reply(Outcome.NOT_RUN)], Unknown),
        ([reply(Outcome.NOT_RUN, retry_after_ms=1000)], Rejected),
        ([reply(Outcome.INVALID)], Rejected),
        ([reply(Outcome.NOT_FOUND)], Missing),
    ],
)
def test_outcome_of_a_submission(answers, kind):
    """Guards against "not run" for a submission that may have been stored by an earlier send."""
    gateway, _, clock, _ = make(*answers)
    outcome = gateway.submit(QUEUE, "a" * 16, SPEC, Deadline(clock, timedelta(seconds=3)))
    assert isinstance(outcome, kind)


@pytest.mark.parametrize(
    ("method", "limit_ms"), [("submit", 100), ("status", 1100), ("cancel", 1100)]
)
def test_call_without_an_owner_ends_early(method, limit_ms):
    """Guards against callers that are kept waiting for an answer that can only be a refusal."""
    gateway, _, clock, _ = make(NOT_OWNER)
    deadline = Deadline(clock, timedelta(seconds=3))
    args = (QUEUE, "a" * 16, SPEC, deadline) if method == "submit" else (QUEUE, "a" * 16, deadline)
    began = clock.monotonic()
    outcome = getattr(gateway, method)(*args)
    assert isinstance(outcome, Rejected)
    assert outcome.retry_after is not None
    assert clock.monotonic() - began <= timedelta(milliseconds=limit_ms)


def test_unknown_outcome_is_told_before_the_deadline():
    """Guards against a caller that has left when it is told that the outcome is unknown."""
    gateway, _, clock, _ = make(LOST)
    deadline = Deadline(clock, timedelta(seconds=3))
    assert isinstance(gateway.submit(QUEUE, "a" * 16, SPEC, deadline), Unknown)
    assert deadline.remaining() > timedelta(milliseconds=100)


OUTAGE = timedelta(seconds=5)
"""A store that is away for 4.5 s and an owner that takes over after it."""


def served_share(is_fixed):
    """Return the share of callers that are served although they come during an outage.

    Callers arrive over the whole outage and come back up to four times, when they are told to.
    """
    gateway, channels, clock, _ = make(reply(Outcome.NOT_RUN, retry_after_ms=1000))
    channels._clock = ManualClock()
    began = clock.monotonic()
    waiting = [(began + OUTAGE * n / 50, n, 4) for n in range(50)]
    served = 0
    while waiting:
        waiting.sort()
        at, caller, left = waiting.pop(0)
        clock.advance(max(timedelta(), at - clock.monotonic()))
        if clock.monotonic() - began > OUTAGE:
            channels._answers = [OK]
        deadline = Deadline(clock, timedelta(seconds=3))
        outcome = gateway.submit(QUEUE, f"{caller:016x}", SPEC, deadline)
        if isinstance(outcome, Accepted):
            served += 1
        elif left:
            wait = timedelta(seconds=1) if is_fixed else outcome.retry_after
            waiting.append((clock.monotonic() + wait, caller, left - 1))
    return served / 50


def test_callers_get_through_an_outage():
    """Guards against callers that come back too often and give up before an outage ends."""
    assert served_share(is_fixed=False) == 1.0
    assert served_share(is_fixed=True) < 0.9


def test_states_are_passed_on():
    """Guards against a state that is changed on its way."""
    gateway, _, clock, _ = make(reply(Outcome.OK, "running"))
    deadline = Deadline(clock, timedelta(seconds=3))
    assert gateway.status(QUEUE, "a" * 16, deadline) == Shown("running", 0)
    assert gateway.waiting(QUEUE, deadline) == Shown("running", 0)


def test_unknown_path_is_missing_only_by_a_recent_configuration():
    """Guards against 404 for a queue that was added a moment ago."""
    gateway, _, clock, source = make(OK)
    assert gateway.find_queue("h", "/q/1") == QUEUE
    assert isinstance(gateway.find_queue("h", "/x/1"), Missing)
    clock.advance(timedelta(seconds=5))
    assert isinstance(gateway.find_queue("h", "/x/1"), Missing)
    assert source.age() < timedelta(seconds=1)


def test_gateway_without_a_configuration_refuses(monkeypatch):
    """Guards against 404 from a gateway that has not read the configuration yet."""
    gateway, _, _, source = make(OK)

    def fail(prefix):
        raise StoreUnavailableError("down")

    monkeypatch.setattr(source._store, "list", fail)
    assert isinstance(gateway.find_queue("h", "/q/1"), Rejected)
    assert not gateway.is_ready()


def test_unknown_path_during_an_outage_is_refused_with_a_time(monkeypatch):
    """Guards against 404 for a queue of a configuration that could not be read."""
    gateway, _, clock, source = make(OK)
    gateway.find_queue("h", "/q/1")
    clock.advance(timedelta(seconds=5))

    def fail(*args):
        raise StoreUnavailableError("the answer took too long")

    monkeypatch.setattr(source._store, "list", fail)
    monkeypatch.setattr(source._store, "watch", fail)
    found = gateway.find_queue("h", "/x/1")
    assert isinstance(found, Rejected)
    assert found.retry_after is not None
    assert gateway.find_queue("h", "/q/1") == QUEUE

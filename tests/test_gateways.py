"""Tests of the gateway: the owner that it calls, its retries and its responses to callers."""

import random
import threading
from datetime import timedelta

import pytest
from mulberryslip import ManualClock
from mulberryslip.channels import Address
from mulberryslip.exceptions import NotSentError, ReplyLostError, StoreUnavailableError
from mulberryslip.metrics import Metrics
from mulberryslip.partitions import partition_of
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.retries import Deadline
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire.ttypes import Outcome, WorkflowReply
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.directories import KnownOwner, PoolOwnerDirectory, owner_key
from mulberryslipd.gateways import Accepted, Gateway, Missing, Rejected, Shown, Unknown
from mulberryslipd.intents import PoolConfigSource

QUEUE = Queue("q", prefix="/q/", service="s")
SPEC = WorkflowSpec("p", (StepSpec(),))
OWNER = Address("10.0.0.1", 7000)


class ScriptedChannels:
    """Channels that give scripted replies in order; the last reply is repeated."""

    def __init__(self, clock, *replies):
        self._clock = clock
        self._replies = list(replies)
        self.calls = []

    def call(self, address, method, req, timeout):
        self.calls.append((address, method, timeout))
        self._clock.advance(timedelta(milliseconds=10))
        scripted_reply = self._replies[0] if len(self._replies) == 1 else self._replies.pop(0)
        if isinstance(scripted_reply, Exception):
            raise scripted_reply
        return scripted_reply


class WaitingClock(ManualClock):
    """Clock on which waits for conditions return at once."""


def reply(outcome, shown="", reason="", retry_after_ms=0):
    return WorkflowReply(outcome, reason, shown, 0, retry_after_ms)


def make(*replies, owner=True):
    clock = WaitingClock()
    store = FakeStore(clock)
    directory = PoolOwnerDirectory(store, "pools/0/owner", clock, random.Random(1))
    if owner:
        directory.update(KnownOwner(OWNER, 5))
    source = PoolConfigSource(
        store, "op/", lambda documents: PoolConfig.from_queues(3, [QUEUE]), clock, random.Random(1)
    )
    channels = ScriptedChannels(clock, *replies)
    gateway = Gateway("g", [directory], channels, source, Metrics(), clock, random.Random(1))
    return gateway, channels, clock, source


OK = reply(Outcome.OK, "queued")
LOST = ReplyLostError("no reply")
NOT_SENT = NotSentError("refused")
NOT_OWNER = reply(Outcome.NOT_OWNER)


@pytest.mark.parametrize(
    ("replies", "kind"),
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
def test_outcome_of_a_submission(replies, kind):
    """Guards against "not run" for a submission that an earlier send may have stored."""
    gateway, _, clock, _ = make(*replies)
    outcome = gateway.submit(QUEUE, "a" * 16, SPEC, Deadline(clock, timedelta(seconds=3)))
    assert isinstance(outcome, kind)


def test_retry_time_of_an_overloaded_pool_reaches_the_caller_unchanged():
    """Guards against longer retry times while the owner accepts other workflows."""
    overloaded = reply(Outcome.NOT_RUN, retry_after_ms=1700)
    gateway, _, clock, _ = make(overloaded, OK, overloaded)
    outcomes = []
    for _ in range(3):
        deadline = Deadline(clock, timedelta(seconds=3))
        outcomes.append(gateway.submit(QUEUE, "a" * 16, SPEC, deadline))
        clock.advance(timedelta(seconds=5))
    assert [type(outcome) for outcome in outcomes] == [Rejected, Accepted, Rejected]
    assert {outcomes[0].retry_after, outcomes[2].retry_after} == {timedelta(milliseconds=1700)}


@pytest.mark.parametrize(
    ("method", "limit_ms"), [("submit", 100), ("status", 1100), ("cancel", 1100)]
)
def test_call_without_an_owner_ends_early(method, limit_ms):
    """Guards against callers that wait long for a response that can only be a rejection."""
    gateway, _, clock, _ = make(NOT_OWNER)
    deadline = Deadline(clock, timedelta(seconds=3))
    args = (QUEUE, "a" * 16, SPEC, deadline) if method == "submit" else (QUEUE, "a" * 16, deadline)
    began = clock.monotonic()
    outcome = getattr(gateway, method)(*args)
    assert isinstance(outcome, Rejected)
    assert outcome.retry_after is not None
    assert clock.monotonic() - began <= timedelta(milliseconds=limit_ms)


def test_unknown_outcome_is_reported_before_the_deadline():
    """Guards against an "outcome unknown" response after the caller's deadline."""
    gateway, _, clock, _ = make(LOST)
    deadline = Deadline(clock, timedelta(seconds=3))
    assert isinstance(gateway.submit(QUEUE, "a" * 16, SPEC, deadline), Unknown)
    assert deadline.remaining() > timedelta(milliseconds=100)


OUTAGE = timedelta(seconds=5)
"""Time without an owner: a store outage of 4.5 s and the takeover by an owner after it."""


def served_fraction(is_fixed):
    """Return the fraction of callers that are served although they arrive during an outage.

    Callers arrive over the whole outage and retry up to four times, after the retry time given.

    :param is_fixed: whether callers retry after 1 s instead.
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
            channels._replies = [OK]
        deadline = Deadline(clock, timedelta(seconds=3))
        outcome = gateway.submit(QUEUE, f"{caller:016x}", SPEC, deadline)
        if isinstance(outcome, Accepted):
            served += 1
        elif left:
            wait = timedelta(seconds=1) if is_fixed else outcome.retry_after
            waiting.append((clock.monotonic() + wait, caller, left - 1))
    return served / 50


def test_callers_are_served_after_an_outage():
    """Guards against callers that use up their retries before an outage ends."""
    assert served_fraction(is_fixed=False) == 1.0
    assert served_fraction(is_fixed=True) < 0.9


class PoolChannels:
    """Channels to the owners of several pools, which hold their workflows in memory."""

    def __init__(self):
        self.workflows = {}
        self.without_reply = set()

    def call(self, address, method, req, timeout):
        if address in self.without_reply:
            raise NotSentError("refused")
        held = self.workflows.setdefault(address, set())
        if method == "submit":
            held.add(req.workflow_id)
        elif method == "waiting":
            return WorkflowReply(Outcome.OK, "", "", len(held), 0)
        elif req.workflow_id not in held:
            return reply(Outcome.NOT_FOUND)
        return OK


OWNERS = [Address("10.0.0.1", 7000 + pool) for pool in range(4)]


def make_gateways(count):
    """Return gateways of one deployment with four pools, and their channels and clock."""
    clock = WaitingClock()
    store = FakeStore(clock)
    channels = PoolChannels()
    gateways = []
    for number in range(count):
        directories = [
            PoolOwnerDirectory(store, owner_key(pool), clock, random.Random(1)) for pool in range(4)
        ]
        for address, directory in zip(OWNERS, directories, strict=True):
            directory.update(KnownOwner(address, 5))
        source = PoolConfigSource(store, "op/", lambda documents: None, clock, random.Random(1))
        gateways.append(
            Gateway(f"g{number}", directories, channels, source, Metrics(), clock, random.Random(1))
        )
    return gateways, channels, clock


IDS = [f"{number:016x}" for number in range(40)]


def test_all_gateways_call_the_same_pool_about_a_workflow():
    """Guards against a workflow in two pools, and against 410 for one that another pool has."""
    gateways, channels, clock = make_gateways(3)
    deadline = Deadline(clock, timedelta(seconds=3))
    for workflow_id in IDS:
        for gateway in gateways:
            assert isinstance(gateway.submit(QUEUE, workflow_id, SPEC, deadline), Accepted)
            assert isinstance(gateway.status(QUEUE, workflow_id, deadline), Shown)
            assert isinstance(gateway.cancel(QUEUE, workflow_id, deadline), Shown)
    assert sorted(set.union(*channels.workflows.values())) == IDS
    assert sum(map(len, channels.workflows.values())) == len(IDS)
    assert len(channels.workflows) == len(OWNERS)


def test_waiting_workflows_of_all_pools_are_counted():
    """Guards against a number of waiting workflows that leaves out a pool."""
    (gateway,), channels, clock = make_gateways(1)
    deadline = Deadline(clock, timedelta(seconds=3))
    for workflow_id in IDS:
        gateway.submit(QUEUE, workflow_id, SPEC, deadline)
    assert gateway.waiting(QUEUE, deadline) == Shown("", len(IDS))
    channels.without_reply.add(OWNERS[2])
    assert isinstance(gateway.waiting(QUEUE, deadline), Rejected)


def test_pool_without_an_owner_delays_only_its_own_callers():
    """Guards against one pool's outage that lengthens the retry times of all callers."""
    (gateway,), channels, clock = make_gateways(1)
    channels.without_reply.add(OWNERS[partition_of(IDS[0], 4)])
    deadline = Deadline(clock, timedelta(seconds=60))
    outcomes = {}
    for _ in range(20):
        clock.advance(timedelta(milliseconds=200))
        for workflow_id in IDS:
            outcomes[workflow_id] = gateway.submit(QUEUE, workflow_id, SPEC, deadline)
    assert outcomes[IDS[0]].retry_after > timedelta(seconds=2)
    for workflow_id, outcome in outcomes.items():
        is_same_pool = partition_of(workflow_id, 4) == partition_of(IDS[0], 4)
        assert isinstance(outcome, Rejected if is_same_pool else Accepted)


def test_states_are_returned_unchanged():
    """Guards against a state that the gateway changes."""
    gateway, _, clock, _ = make(reply(Outcome.OK, "running"))
    deadline = Deadline(clock, timedelta(seconds=3))
    assert gateway.status(QUEUE, "a" * 16, deadline) == Shown("running", 0)
    assert gateway.waiting(QUEUE, deadline) == Shown("running", 0)


def test_unknown_path_is_missing_only_if_the_configuration_is_recent():
    """Guards against 404 for a queue that was added recently."""
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


def test_unknown_path_during_an_outage_is_rejected_with_a_retry_time(monkeypatch):
    """Guards against 404 for a queue of a newer configuration that could not be read."""
    gateway, _, clock, source = make(OK)
    gateway.find_queue("h", "/q/1")
    clock.advance(timedelta(seconds=5))

    def fail(*args):
        raise StoreUnavailableError("the response took too long")

    monkeypatch.setattr(source._store, "list", fail)
    monkeypatch.setattr(source._store, "watch", fail)
    found = gateway.find_queue("h", "/x/1")
    assert isinstance(found, Rejected)
    assert found.retry_after is not None
    assert gateway.find_queue("h", "/q/1") == QUEUE


MOVED = Queue("moved", prefix="/q/", service="other")
ADDED = Queue("added", prefix="/added/", service="s")


class ChangingSource:
    """A source whose read returns a new configuration after other requests have arrived.

    :param old: queues in force at first.
    :param new: queues in force when the read returns.
    """

    def __init__(self, old, new):
        self.current = PoolConfig.from_queues(3, old)
        self.is_stale = True
        self.during_read = []
        self._new = PoolConfig.from_queues(7, new)

    def config(self):
        return self.current

    def age(self):
        return timedelta(seconds=1) if self.is_stale else timedelta()

    def refresh(self):
        arrivals, self.during_read = self.during_read, []
        for arrive in arrivals:
            arrive()
        self.current = self._new
        return self.current


def find_overtaken(old, new, *paths):
    """Return what is found for `/added/1`, and for paths that arrive while it waits."""
    source = ChangingSource(old, new)
    clock = WaitingClock()
    gateway = Gateway("g", [], None, source, Metrics(), clock, random.Random(1))
    found = []

    def arrive(path):
        # A watch has confirmed the old configuration meanwhile.
        source.is_stale = False
        clock.advance(timedelta(milliseconds=300))
        found.append(gateway.find_queue("h", path))

    source.during_read = [lambda path=path: arrive(path) for path in paths]
    waited = gateway.find_queue("h", "/added/1")
    return waited, found


@pytest.mark.parametrize(
    ("new", "path", "match"),
    [
        ([ADDED], "/q/1", QUEUE),
        ([ADDED, MOVED], "/q/1", QUEUE),
        ([ADDED, QUEUE, Queue("r", prefix="/q/r/", service="s")], "/q/r/1", QUEUE),
        ([ADDED, QUEUE], "/added/2", Missing),
    ],
)
def test_request_is_not_served_by_a_configuration_newer_than_a_later_request(new, path, match):
    """Guards against a machine that shows a new configuration, and then an older one.

    A request that found no queue waited for the newest configuration and was served by it; one
    that arrived meanwhile was matched with the configuration before.
    """
    waited, found = find_overtaken([QUEUE], new, path)
    assert found[0] == match if isinstance(match, Queue) else isinstance(found[0], match)
    assert isinstance(waited, Rejected)
    assert waited.retry_after is not None


def test_request_that_waited_is_served_if_no_other_used_what_has_changed():
    """Guards against rejections for requests that no change concerns."""
    assert find_overtaken([QUEUE], [QUEUE, ADDED]) == (ADDED, [])
    assert find_overtaken([QUEUE], [QUEUE, ADDED], "/q/1") == (ADDED, [QUEUE])
    waited, found = find_overtaken([QUEUE], [QUEUE, ADDED], "/x/1")
    assert waited == ADDED
    assert isinstance(found[0], Missing)


def test_request_that_waited_for_a_thread_is_not_served_by_a_newer_configuration():
    """Guards against a new configuration shown to a request that arrived before another.

    The other request was matched with the configuration before, since it got a thread earlier.
    """
    source = ChangingSource([QUEUE], [ADDED])
    source.is_stale = False
    clock = WaitingClock()
    gateway = Gateway("g", [], None, source, Metrics(), clock, random.Random(1))
    assert gateway.find_queue("h", "/q/1") == QUEUE
    clock.advance(timedelta(milliseconds=100))
    source.refresh()
    assert isinstance(gateway.find_queue("h", "/added/1", timedelta(milliseconds=200)), Rejected)
    # The route was removed, which the configuration before does not allow either.
    assert isinstance(gateway.find_queue("h", "/q/1", timedelta(milliseconds=200)), Rejected)
    assert gateway.find_queue("h", "/added/1", timedelta(milliseconds=50)) == ADDED
    assert isinstance(gateway.find_queue("h", "/q/1"), Missing)
    # Earlier matches are forgotten after a while.
    clock.advance(timedelta(seconds=4))
    assert gateway.find_queue("h", "/added/1") == ADDED
    assert isinstance(gateway.find_queue("h", "/added/1", timedelta(seconds=5)), Rejected)


class WaitingStore(FakeStore):
    """A store whose reads of changes wait until they are released."""

    def __init__(self, clock):
        super().__init__(clock)
        self.is_waiting = threading.Event()
        self.released = threading.Event()

    def watch(self, prefix, after, wait):
        self.is_waiting.set()
        assert self.released.wait(10)
        return super().watch(prefix, after, wait)


def test_threads_see_configurations_in_the_order_of_their_requests():
    """Guards against a request that is served with an older configuration than one before it.

    The first waits for the store, and the configuration is changed before the store responds.
    """
    clock = WaitingClock()
    store = WaitingStore(clock)
    configs = {1: PoolConfig.from_queues(1, [QUEUE]), 2: PoolConfig.from_queues(2, [ADDED])}
    version = store.put("op/config", b"1", 0).version
    source = PoolConfigSource(
        store,
        "op/",
        lambda documents: configs[int(documents["op/config"].value)],
        clock,
        random.Random(1),
    )
    source.refresh()
    clock.advance(timedelta(milliseconds=400))
    gateway = Gateway("g", [], None, source, Metrics(), clock, random.Random(1))
    first = []
    thread = threading.Thread(target=lambda: first.append(gateway.find_queue("h", "/added/1")))
    thread.start()
    assert store.is_waiting.wait(10)
    clock.advance(timedelta(milliseconds=300))
    store.put("op/config", b"2", version)
    second = gateway.find_queue("h", "/q/1")
    store.released.set()
    thread.join(10)
    assert second == QUEUE
    assert isinstance(first[0], Rejected)
    assert gateway.find_queue("h", "/added/1") == ADDED
    assert isinstance(gateway.find_queue("h", "/q/1"), Missing)

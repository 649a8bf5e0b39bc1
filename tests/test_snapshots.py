"""Tests of pools that grow up to and over what a snapshot may hold."""

import random
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from log_events import logged_events
from mulberryslip import ManualClock, journals
from mulberryslip.exceptions import SnapshotTooLargeError
from mulberryslip.journals import Journal, SnapshotSize
from mulberryslip.queues import Queue
from mulberryslip.snapshots import (
    MAX_RETRY_PAUSE,
    MAX_STATE_TEXT_BYTES,
    RetryPauses,
    SnapshotBudget,
    acceptance_cost,
    growth_reserve,
)
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import (
    Pool,
    RunAssigned,
    RunCheckpointed,
    RunEnded,
    WorkflowCancelled,
    WorkflowsExpired,
    accepted_event,
)
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd import pools
from pool_doubles import SECOND, PoolWorld

QUEUE = Queue("checks", prefix="/checks/", service="ledger", max_attempts=2, slack_ms=300)
LASTING = StepSpec(cpu_millis=100, memory_mb=10, lasting=True)
LIMIT = 24_000
SLOTS = 16


def text(rng, length):
    """Return a text that compresses as little as the JSON text of a submission can."""
    return "".join(rng.choices(string.ascii_letters + string.digits + "+/", k=length))


def claimed_journal(max_parts=1):
    journal = Journal(FakeStore(ManualClock()), 0, 64, "pools", max_parts)
    journal.open()
    journal.claim()
    return journal


# The estimate


class GrowingPool:
    """A pool whose snapshot is estimated as its owner does."""

    def __init__(self, seed, max_parts=1):
        self.rng = random.Random(seed)
        self.pool = Pool()
        self.journal = claimed_journal(max_parts)
        limit = SnapshotSize(self.journal.max_snapshot_bytes, MAX_STATE_TEXT_BYTES)
        self.budget = SnapshotBudget(limit)
        self.now = 0 * SECOND
        self.accepted = 0

    def true_size(self):
        return self.journal.measure(self.pool.to_snapshot())

    def measure(self):
        self.now += SECOND
        reserve = growth_reserve(self.pool)
        self.budget.record_measurement(self.true_size(), reserve, self.now, 0 * SECOND)

    def accept(self, chars, tasks, compressible):
        payload = "a" * chars if compressible else text(self.rng, chars)
        step = StepSpec(tasks, 1000, 100, estimate_ms=500, checkpoints=tasks % 2 == 0)
        spec = WorkflowSpec(payload, (step,))
        name = f"{self.rng.getrandbits(64):016x}"
        event = accepted_event(name, QUEUE, spec, 1_733_420_000_000 + self.accepted * 137)
        if self.budget.admit(acceptance_cost(event, spec)):
            self.pool.apply(event)
            self.accepted += 1

    def start_all(self, share):
        for task in self.pool.ready():
            if self.rng.random() < share:
                number = self.rng.randrange(400)
                worker = f"worker-{number}"
                incarnation = f"{1_733_420_000 + number * 7919}-{number * 104729:08x}@{worker}"
                start_by = self.rng.randrange(10**7)
                run = task.run + 1
                event = RunAssigned(task.name, run, worker, incarnation, f"vm-{number}", start_by)
                self.pool.apply(event)

    def save_and_end(self, share):
        for worker in self.pool.workers_with_runs():
            for task in self.pool.active_tasks(worker):
                if task.spec.checkpoints:
                    self.pool.apply(RunCheckpointed(task.name, task.run, text(self.rng, 40)))
                if self.rng.random() < share:
                    outcome = self.rng.choice(["done", "failed", "lost", "stopped"])
                    self.pool.apply(RunEnded(task.name, task.run, outcome, 1_733_420_100_000))

    def cancel(self, share):
        for name in list(self.pool.workflows):
            if self.rng.random() < share:
                self.pool.apply(WorkflowCancelled(name, 1_733_420_200_000))
        if self.rng.random() < 0.3:
            self.pool.apply(WorkflowsExpired(self.pool.expired(2_000_000_000_000)))


OPERATIONS = st.one_of(
    st.tuples(st.just("accept"), st.integers(0, 4000), st.integers(1, 40), st.booleans()),
    st.tuples(st.just("measure")),
    st.tuples(st.just("start_all"), st.floats(0.1, 1.0)),
    st.tuples(st.just("save_and_end"), st.floats(0.0, 1.0)),
    st.tuples(st.just("cancel"), st.floats(0.0, 0.5)),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), operations=st.lists(OPERATIONS, max_size=40))
def test_estimate_is_never_below_the_size(seed, operations):
    """Guards against accepting more than the next owner can read."""
    growing = GrowingPool(seed)
    growing.measure()
    for name, *args in operations:
        for _ in range(10 if name == "accept" else 1):
            getattr(growing, name)(*args)
        assert growing.true_size().stored_bytes <= growing.budget.used.stored_bytes


@pytest.mark.parametrize(("chars", "tasks"), [(4000, 6), (60_000, 1), (0, 1), (20, 30), (0, 4000)])
@pytest.mark.parametrize("compressible", [False, True])
@pytest.mark.parametrize("max_parts", [1, 4])
def test_full_pool_fits_into_its_snapshot_in_every_later_state(
    chars, tasks, compressible, max_parts
):
    """Guards against a pool that outgrows its snapshot after the last workflow was accepted."""
    growing = GrowingPool(1, max_parts)
    growing.measure()
    refused = 0
    while refused < 5 and growing.accepted < 4000:
        before = growing.accepted
        growing.accept(chars, tasks, compressible)
        if growing.accepted == before:
            growing.measure()
            refused += 1
    assert growing.accepted >= 1
    limit = SnapshotSize(growing.journal.max_snapshot_bytes, MAX_STATE_TEXT_BYTES)
    for _ in range(3):
        growing.start_all(1.0)
        growing.save_and_end(0.3)
        size = growing.true_size()
        assert size.stored_bytes <= limit.stored_bytes
        assert size.text_bytes <= limit.text_bytes


def test_long_text_is_refused_and_measured_too():
    """Guards against a state that a new owner does not restore before leases end."""
    budget = SnapshotBudget(SnapshotSize(900_000, 7_200_000))
    nothing = SnapshotSize(0, 0)
    budget.record_measurement(nothing, nothing, 0 * SECOND, 0 * SECOND)
    assert budget.admit(SnapshotSize(1000, 5_900_000))
    assert budget.used_share > 0.9
    assert budget.needs_measurement(SECOND)
    assert not budget.admit(SnapshotSize(1000, 200_000))


def test_state_is_measured_at_bounded_cost():
    """Guards against rounds that compress the whole state for each submission of a full pool."""
    budget = SnapshotBudget(SnapshotSize(900_000, 7_200_000))
    assert budget.needs_measurement(0 * SECOND)
    full = SnapshotSize(budget.limit.stored_bytes, 1000)
    nothing = SnapshotSize(0, 0)
    budget.record_measurement(full, nothing, 10 * SECOND, SECOND / 2)
    assert not budget.admit(SnapshotSize(1, 1))
    assert not budget.needs_measurement(19 * SECOND)
    assert budget.needs_measurement(20 * SECOND)
    budget.record_measurement(full, nothing, 20 * SECOND, 0 * SECOND)
    assert not budget.needs_measurement(1000 * SECOND)


def test_pauses_between_attempts_grow():
    """Guards against an owner that compresses a snapshot each round that it cannot write."""
    pauses, now, attempts = RetryPauses(), 0 * SECOND, []
    while now < 30 * SECOND:
        if pauses.is_due(now):
            attempts.append(now)
            pauses.record_failure(now)
        now += SECOND / 40
    waits = [after - before for before, after in zip(attempts, attempts[1:], strict=False)]
    assert waits == sorted(waits)
    assert waits[0] < waits[-1] == MAX_RETRY_PAUSE
    pauses.record_success()
    assert pauses.is_due(now)


# The journal


@pytest.mark.parametrize(
    ("limit", "state"),
    [
        ("MAX_SNAPSHOT_BYTES", {"n": text(random.Random(1), 4000)}),
        ("MAX_SNAPSHOT_TEXT_BYTES", {"n": "a" * 4000}),
    ],
)
def test_snapshot_that_cannot_be_read_again_is_not_written(monkeypatch, limit, state):
    """Guards against a snapshot that no new owner can read."""
    journal = claimed_journal()
    journal.write_snapshot({"n": ""})
    monkeypatch.setattr(journals, limit, 2000)
    with pytest.raises(SnapshotTooLargeError):
        journal.write_snapshot(state)
    assert journal.measured.text_bytes > 2000
    store = journal._store
    assert Journal(store, 0, 64, "pools").open().state == {"n": ""}


# Owners


@pytest.fixture(params=[1, 4])
def small(monkeypatch, request):
    """Lower the limits, so that a pool outgrows its snapshot after a few workflows."""
    lower_limits(monkeypatch, request.param)
    return monkeypatch


def lower_limits(monkeypatch, max_parts):
    monkeypatch.setattr(pools, "SNAPSHOT_PARTS", max_parts)
    monkeypatch.setattr(pools, "JOURNAL_SLOTS", SLOTS)
    set_limit(monkeypatch, LIMIT)


def set_limit(monkeypatch, limit):
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", limit // pools.SNAPSHOT_PARTS)


def make_world(seed=0):
    world = PoolWorld(seed=seed)
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.elect()
    world.run(3)
    return world


def submit(world, name, chars, *steps):
    """Submit a workflow with an incompressible payload."""
    spec = WorkflowSpec(text(world.rng, chars), steps or (LASTING,))
    world.history.specs[name] = spec
    return world.call("submit", name, spec.to_json().encode())


def fill(world, chars=1000):
    """Submit workflows until one is refused; return the accepted ones and the refusal."""
    accepted = []
    for number in range(200):
        reply = submit(world, f"a{number}", chars)
        if reply.outcome != Outcome.OK:
            return accepted, reply
        accepted.append(f"a{number}")
    raise AssertionError("nothing was refused")


def hand_over(world):
    world.owner().resign("test")
    world.elect(world.workers[1])
    world.run(3)


def test_full_pool_refuses_workflows_and_goes_on_otherwise(small):
    """Guards against accepted workflows that no later owner can read (LOST)."""
    world = make_world()
    with logged_events() as numbers:
        accepted, refusal = fill(world)
    assert 316 in numbers
    assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, "pool 0 is full")
    assert refusal.retry_after_ms > 0
    assert len(accepted) > 10
    world.run(3 * SLOTS)
    stored = world.store.state.get("pools/0/snapshot")
    assert (stored.value[0] == journals.FORMAT_IN_PARTS) is (pools.SNAPSHOT_PARTS > 1)
    hand_over(world)
    assert {world.shown(name) for name in accepted} == {"running"}
    assert world.call("status", f"a{len(accepted)}").outcome == Outcome.NOT_FOUND
    with logged_events() as numbers:
        for name in accepted[:10]:
            assert world.call("cancel", name).outcome == Outcome.OK
        world.run(20)
    assert 317 in numbers or 316 not in numbers
    assert submit(world, "later", 1000).outcome == Outcome.OK
    assert world.history.violations == []


def test_size_of_the_state_is_a_gauge(small):
    """Guards against a pool that fills up unseen."""
    world = make_world()
    world.submit("a")
    before = world.owner()._metrics.snapshot().gauges
    fill(world)
    world.run(10)
    lines = world.owner()._metrics.to_text()
    after = world.owner()._metrics.snapshot().gauges
    assert before["pool_state_bytes"] < after["pool_state_bytes"]
    assert after["pool_state_limit_bytes"] < LIMIT
    assert f'gauge{{name="pool_state_bytes"}} {after["pool_state_bytes"]}' in lines


def test_snapshot_that_cannot_be_written_does_not_stop_commits(small):
    """Guards against an owner that stops although its journal has room."""
    world = make_world()
    accepted, _ = fill(world)
    world.run(5)
    hand_over(world)
    set_limit(small, LIMIT // 4)
    term = world.owner()._term
    with logged_events() as numbers:
        while term.journal.free_slots > 2:
            assert world.call("cancel", accepted.pop()).outcome == Outcome.OK
    assert 315 in numbers
    assert numbers.count(315) < SLOTS // 2
    hand_over(world)
    assert world.owner() is not None
    assert {world.shown(name) for name in accepted} == {"running"}


def test_pool_whose_snapshot_does_not_fit_is_claimed_and_read(small):
    """Guards against a pool that no process can own, so that all its runs lapse (LOST)."""
    world = make_world()
    accepted, _ = fill(world)
    world.run(5)
    set_limit(small, LIMIT // 4)
    while world.owner()._term.journal.free_slots > 0 and accepted:
        world.call("cancel", accepted.pop())
    assert world.owner()._term.journal.free_slots <= 0
    for worker in world.workers[:2]:
        world.owner().resign("test")
        world.elect(worker)
        starts = world.history.starts
        world.run(60)
        # Which workflows have started is learned by rounds, which need room in the journal.
        assert {world.shown(name) for name in accepted} <= {"queued", "running"}
        for reply in (world.call("cancel", accepted[0]), submit(world, "new", 10)):
            assert reply.outcome == Outcome.NOT_RUN
            assert reply.reason == pools.JOURNAL_FULL
            assert reply.retry_after_ms > 0
        assert world.history.starts == starts
        assert sum(len(worker.runs) for worker in world.workers) >= len(accepted)
    set_limit(small, LIMIT)
    world.run(MAX_RETRY_PAUSE // (SECOND / 5) + 3)
    assert world.call("cancel", accepted[0]).outcome == Outcome.OK
    assert world.history.violations == []


class Killed(BaseException):
    """The process ended in the middle of a call of the store."""


class DeadlyStore(FakeStore):
    """Store whose callers are killed at a given write, before or after it takes effect."""

    def __init__(self, clock):
        super().__init__(clock)
        self.writes_left = None
        self.takes_effect = False

    def put(self, key, value, expected_version, lease_id=""):
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left < 0:
                self.writes_left = None
                if self.takes_effect:
                    super().put(key, value, expected_version, lease_id)
                raise Killed
        return super().put(key, value, expected_version, lease_id)

    def delete(self, key, expected_version):
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left < 0:
                self.writes_left = None
                raise Killed
        return super().delete(key, expected_version)


STEPS = st.one_of(
    st.tuples(st.just("submit"), st.integers(0, 3000)),
    st.tuples(st.just("submit"), st.integers(0, 3000)),
    st.tuples(st.just("cancel"), st.integers(0, 100)),
    st.tuples(st.just("rounds"), st.integers(1, 4)),
    st.tuples(st.just("kill"), st.integers(0, 6), st.booleans()),
)


class Growth:
    """A pool that grows up to its limit while its owners are killed at writes."""

    def __init__(self, seed):
        self.world = PoolWorld(seed=seed)
        self.world.store = DeadlyStore(self.world.clock)
        for worker in self.world.workers:
            worker.run_ms = lambda name: 600_000
        self.world.elect()
        self.world.run(3)
        self.shown = {}
        self.refused = set()
        self.unknown = set()

    def run(self, call):
        """Run a call; if the owner is killed, let another process claim the pool."""
        try:
            return call()
        except Killed:
            self.take_over()
            return None

    def take_over(self):
        owner = next(worker for worker in self.world.workers if self.owned(worker))
        self.world.start_process(owner)
        while True:
            try:
                self.world.elect(owner)
                break
            except Killed:
                self.world.start_process(owner)
        self.check()

    def owned(self, worker):
        return self.world.owners[worker.id]._term is not None

    def submit(self, chars):
        name = f"a{len(self.shown) + len(self.refused) + len(self.unknown)}"
        self.unknown.add(name)
        reply = self.run(lambda: submit(self.world, name, chars))
        if reply is None:
            return
        assert reply.outcome in (Outcome.OK, Outcome.NOT_RUN), reply
        self.unknown.discard(name)
        if reply.outcome == Outcome.OK:
            self.shown[name] = ("queued", "running")
        else:
            assert reply.retry_after_ms > 0
            self.refused.add(name)

    def cancel(self, number):
        if not self.shown:
            return
        name = sorted(self.shown)[number % len(self.shown)]
        before = self.shown[name]
        self.shown[name] = ("queued", "running", "cancelled")
        reply = self.run(lambda: self.world.call("cancel", name))
        if reply is not None:
            assert reply.outcome == Outcome.OK, reply
            self.shown[name] = ("cancelled",)
        elif before == ("cancelled",):
            self.shown[name] = before

    def rounds(self, count):
        self.run(lambda: self.world.run(count))

    def kill(self, writes, takes_effect):
        self.world.store.writes_left = writes
        self.world.store.takes_effect = takes_effect

    def check(self):
        """Check what is known against the state that the owner has read."""
        for name, states in self.shown.items():
            assert self.world.shown(name) in states, name
        for name in self.refused:
            assert self.world.call("status", name).outcome == Outcome.NOT_FOUND, name


@pytest.mark.parametrize("max_parts", [1, 4])
@settings(derandomize=True, max_examples=40, deadline=None)
@given(seed=st.integers(0, 2**32), steps=st.lists(STEPS, min_size=10, max_size=60))
def test_growth_with_kills_at_writes(max_parts, seed, steps):
    """Guards against lost or half accepted workflows, and against claims that never succeed."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        lower_limits(monkeypatch, max_parts)
        growth = Growth(seed)
        for name, *args in steps:
            getattr(growth, name)(*args)
            assert growth.world.owner()._term.journal.free_slots > 0
        growth.world.store.writes_left = None
        growth.world.owner().resign("test")
        growth.world.elect(growth.world.workers[2])
        growth.check()
        assert growth.world.history.violations == []

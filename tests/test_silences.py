"""The record of silent workers, by which the next owner counts on."""

import threading
from datetime import timedelta

import attrs
import pytest
from mulberryslip.exceptions import StoreError
from mulberryslip.outcomes import Unknown
from mulberryslip.steps import StepSpec
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd import pools
from mulberryslipd.silences import SilenceRecord, silences_key
from pool_doubles import MS, SECOND, PoolWorld

LASTING = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
ROUNDS_PER_SECOND = 5
OWNER_KEY = "pools/0/owner"


class NoRecord:
    """Stands in for a build without the record."""

    is_empty = True

    def lists(self, worker_id):
        return False

    def close(self):
        pass

    def take_over(self, previous_epoch, epoch):
        return {}

    def is_check_due(self, now):
        return False

    def finish(self, silent, ages):
        pass


class BuildBefore(SilenceRecord):
    """Stands in for the build before, which knows only the listed workers."""

    def finish(self, silent, ages):
        pass

    def _decode(self, stored):
        return attrs.evolve(super()._decode(stored), ended={})


class DroppedPromise(SilenceRecord):
    """A record whose owner grants leases to listed workers, to show that the plays notice."""

    def lists(self, worker_id):
        return False


@pytest.fixture
def store():
    return FakeStore()


def record_of(store, epoch, ages=None):
    """Return the record of an owner with a journal epoch, which lists workers."""
    record = SilenceRecord(0, store)
    record.take_over(epoch - 1, epoch)
    if ages is not None:
        write(record, ages)
    return record


def write(record, ages, now=10 * SECOND):
    record.write(record.plan(ages, now), now)


def new_world(workers=4, seed=0, tasks=None):
    """Return a world in which the first workers have a run of a service each."""
    world = PoolWorld(workers, seed)
    world.elect()
    world.run(3)
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.submit("a", attrs.evolve(LASTING, count=tasks or workers, max_per_worker=1))
    world.run(2 * ROUNDS_PER_SECOND)
    return world


def cut(world, worker):
    """Cut a worker and its agent off from the owner; the VM and the store path stay."""
    world.cut |= {worker.id, world.address(worker)}


def test_next_owner_reads_how_long_workers_were_silent(store):
    """Guards against waits that begin anew with each owner."""
    record_of(store, 5, {"w1": 4200 * MS, "w2": 10 * MS})
    third = SilenceRecord(0, store)
    assert third.take_over(5, 6) == {"w1": 4200 * MS, "w2": 10 * MS}
    assert third.lists("w1")


@pytest.mark.parametrize("previous_epoch", [4, 6])
def test_record_of_another_owner_than_the_previous_one_is_not_used(store, previous_epoch):
    """Guards against leases of an owner that did not know the record."""
    record_of(store, 5, {"w1": 4200 * MS})
    record = SilenceRecord(0, store)
    assert record.take_over(previous_epoch, 7) == {}
    assert record.is_empty


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"epoch":5,"silent_ms":{"w1":-1}}', b'{"epoch":5,"silent_ms":["w1"]}'],
)
def test_invalid_record_is_not_used(store, value):
    """Guards against a pool without an owner because of a damaged record."""
    store.put(silences_key(0), value, 0)
    assert SilenceRecord(0, store).take_over(5, 6) == {}


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"epoch":5,"silent_ms":{"w1":100000000000000000}}',
        b'{"epoch":5,"silent_ms":{"w1":1e400}}',
        b'{"epoch":5,"silent_ms":{"w1":true}}',
        b'{"epoch":5,"silent_ms":{"w1":NaN}}',
        b'{"epoch":5,"silent_ms":{"w1":100000000000000}}',
    ],
)
def test_damaged_record_does_not_keep_a_process_from_owning(store, value):
    """Guards against a pool without an owner because of a damaged record."""
    store.put(silences_key(0), value, 0)
    SilenceRecord(0, store).take_over(5, 6)


def test_fields_of_a_later_build_are_ignored(store):
    """Guards against a record that an earlier build cannot read."""
    store.put(silences_key(0), b'{"epoch":5,"silent_ms":{"w1":9},"more":1}', 0)
    assert SilenceRecord(0, store).take_over(5, 6) == {"w1": 9 * MS}


def test_replaced_owner_cannot_rewrite_the_record(store):
    """Guards against leases of an owner whose successor has counted them out."""
    first = record_of(store, 5, {"w1": 4 * SECOND})
    second = record_of(store, 6)
    write(first, {})
    assert first.lists("w1")
    write(first, {}, 20 * SECOND)
    assert first.lists("w1")
    assert second.lists("w1")


def test_next_owner_counts_on_for_all_workers_after_a_planned_end(store):
    """Guards against waits that begin anew with each planned change of the owner."""
    record = record_of(store, 5, {"w1": 4 * SECOND})
    record.finish({"w1": 5 * SECOND}, {"w1": 5 * SECOND, "w2": 90 * MS})
    second = SilenceRecord(0, store)
    assert second.take_over(5, 6) == {"w1": 5 * SECOND, "w2": 90 * MS}
    assert second.lists("w1")
    # The next owner may grant this worker leases at once, so its successor must not use the time.
    assert not second.lists("w2")
    assert SilenceRecord(0, store).take_over(6, 7) == {"w1": 5 * SECOND}


def test_planned_end_counts_for_one_owner_only(store):
    """Guards against a time that is used although an owner has granted leases since."""
    record_of(store, 5).finish({}, {"w2": 90 * MS})
    assert SilenceRecord(0, store).take_over(5, 6) == {"w2": 90 * MS}
    assert SilenceRecord(0, store).take_over(6, 7) == {}
    assert SilenceRecord(0, store).take_over(7, 8) == {}


def test_closed_record_states_nothing_at_a_planned_end(store):
    """Guards against times of an epoch that an owner without a claim of the journal shares."""
    record = record_of(store, 5)
    record.close()
    record.finish({}, {"w2": 90 * MS})
    assert SilenceRecord(0, store).take_over(5, 6) == {}


def test_build_before_reads_the_listed_workers_after_a_planned_end(store):
    """Guards against a record that the build before cannot use, and against its leases."""
    record_of(store, 5, {"w1": 4 * SECOND}).finish(
        {"w1": 5 * SECOND}, {"w1": 5 * SECOND, "w2": 90 * MS}
    )
    before = BuildBefore(0, store)
    assert before.take_over(5, 6) == {"w1": 5 * SECOND}
    assert SilenceRecord(0, store).take_over(6, 7) == {"w1": 5 * SECOND}


@pytest.mark.parametrize("interval", [1, 2, 3, 4, 5])
def test_cut_worker_is_given_up_although_the_owner_changes_as_planned(interval):
    """Guards against waits for a silent worker that begin anew with each planned change."""
    world = new_world(tasks=1)
    worker = next(worker for worker in world.workers if worker.runs)
    owners = [other for other in world.workers if other is not worker]
    world.owner().resign("test")
    world.elect(owners[0])
    world.run(2 * ROUNDS_PER_SECOND)
    cut(world, worker)
    world.frozen.add(worker.id)
    waited = 0
    while world.history.starts < 2 and waited < 30 * ROUNDS_PER_SECOND:
        world.round()
        waited += 1
        if waited % (interval * ROUNDS_PER_SECOND) == 0:
            world.owner().resign("planned stop")
            world.elect(owners[waited // (interval * ROUNDS_PER_SECOND) % len(owners)])
    assert world.history.violations == []
    assert waited <= 9 * ROUNDS_PER_SECOND, waited / ROUNDS_PER_SECOND


@pytest.mark.parametrize("is_recorded_first", [False, True])
def test_report_during_a_planned_end_gets_no_lease_that_the_next_owner_does_not_count(
    is_recorded_first, monkeypatch
):
    """Guards against a lease that is granted after the last record was written."""
    world = new_world(tasks=3)
    worker = next(worker for worker in world.workers[1:] if worker.runs)
    owner, put, check = world.owner(), world.store.put, pools.check_report
    cut(world, worker)
    world.run(1 * ROUNDS_PER_SECOND)
    leases = []
    has_arrived, may_go_on = threading.Event(), threading.Event()

    def pause(req):
        has_arrived.set()
        assert may_go_on.wait(10)
        check(req)

    def go_on(key, *args):
        if key != silences_key(0):
            return put(key, *args)
        outcome = put(key, *args) if is_recorded_first else None
        may_go_on.set()
        report.join(10)
        leases.append(worker.lease_until)
        return outcome or put(key, *args)

    lease_until = worker.lease_until
    world.cut.clear()
    report = threading.Thread(target=world.run_agent, args=(worker,))
    with monkeypatch.context() as patch:
        patch.setattr(pools, "check_report", pause)
        patch.setattr(world.store, "put", go_on)
        report.start()
        assert has_arrived.wait(10)
        owner.resign("planned stop")
    cut(world, worker)
    assert leases == [lease_until]
    world.elect(world.workers[0])
    world.run(8 * ROUNDS_PER_SECOND)
    assert world.history.starts == 4
    assert world.history.violations == []


def test_times_of_a_planned_end_that_are_too_long_would_end_in_a_second_run(monkeypatch):
    """Guards against tests that would not notice a lease that the last record leaves out."""
    finish = SilenceRecord.finish

    def overstate(record, silent, ages):
        finish(record, silent, {name: age + 3 * SECOND for name, age in ages.items()})

    monkeypatch.setattr(SilenceRecord, "finish", overstate)
    world = new_world(tasks=3)
    worker = next(worker for worker in world.workers[1:] if worker.runs)
    cut(world, worker)
    world.run(1)
    world.owner().resign("planned stop")
    world.elect(world.workers[0])
    world.run(8 * ROUNDS_PER_SECOND)
    assert world.history.violations != []


@pytest.mark.parametrize(
    ("min_free_slots", "stated"), [(64, {"w0", "w1", "w2", "w3"}), (257, set())]
)
def test_planned_end_states_times_only_with_room_in_the_ring(min_free_slots, stated, monkeypatch):
    """Guards against times of an epoch that an owner without a claim of the journal shares."""
    world = new_world()
    epoch = world.owner()._term.journal.epoch
    monkeypatch.setattr(pools, "MIN_FREE_SLOTS", min_free_slots)
    world.owner().resign("planned stop")
    assert SilenceRecord(0, world.store).take_over(epoch, epoch + 1).keys() == stated


@pytest.mark.parametrize("fault", ["refused", "broken"])
def test_planned_end_releases_the_pool_although_the_record_fails(fault, monkeypatch):
    """Guards against a pool that waits for a store lease because of the record."""
    world = new_world()
    put = world.store.put

    def fail(key, *args):
        if key == silences_key(0):
            raise StoreError("refused by the test") if fault == "refused" else ValueError(fault)
        return put(key, *args)

    monkeypatch.setattr(world.store, "put", fail)
    world.owner().resign("planned stop")
    assert world.store.state.get(OWNER_KEY) is None


@pytest.mark.parametrize("fault", ["lose_writes", "lose_responses"])
def test_worker_counts_as_listed_until_a_record_without_it_is_stored(store, fault):
    """Guards against a lease granted on a write whose outcome is unknown."""
    record = record_of(store, 5)
    getattr(store, fault)()
    write(record, {"w1": 4 * SECOND})
    assert record.lists("w1")
    store.lose_writes()
    write(record, {}, 11 * SECOND)
    assert record.lists("w1")
    write(record, {}, 12 * SECOND)
    assert record.is_empty
    assert SilenceRecord(0, store).take_over(5, 6) == {}


@pytest.mark.parametrize("fault", ["lose_writes", "lose_responses"])
def test_take_over_with_an_unknown_outcome_grants_no_lease(store, fault):
    """Guards against leases that the successor of this owner has counted out."""
    record_of(store, 5, {"w1": 4 * SECOND})
    getattr(store, fault)()
    second = SilenceRecord(0, store)
    second.take_over(5, 6)
    assert second.lists("w1")


def test_closed_record_lists_nobody_any_more(store):
    """Guards against a record that outlives an owner without a claim of the full journal."""
    record = record_of(store, 5, {"w1": 4 * SECOND})
    record.close()
    write(record, {"w1": 5 * SECOND}, 11 * SECOND)
    assert record.is_empty
    assert record.plan({"w1": 9 * SECOND}, 20 * SECOND) is None
    assert SilenceRecord(0, store).take_over(5, 6) == {}


def test_record_is_emptied_before_the_ring_is_full(monkeypatch):
    """Guards against a full ring, which the next owner does not claim, beside a record in use."""
    monkeypatch.setattr(pools, "JOURNAL_SLOTS", 16)
    monkeypatch.setattr(pools, "MIN_FREE_SLOTS", 4)
    world = new_world()
    term = world.owner()._term
    cut(world, world.workers[1])
    world.run(5 * ROUNDS_PER_SECOND)
    assert term.silences.lists("w1")
    monkeypatch.setattr(world.owner(), "_write_snapshot", lambda term: None)
    put = term.silences._store.put
    is_refused = True

    def refuse(key, *args):
        if is_refused and key == silences_key(0):
            raise StoreError("refused by the test")
        return put(key, *args)

    monkeypatch.setattr(world.store, "put", refuse)
    for number in range(40):
        world.submit(f"s{number}", LASTING)
        world.step_owners()
        world.clock.advance(20 * MS)
    assert term.journal.free_slots == 1
    is_refused = False
    world.clock.advance(SECOND)
    world.submit("t", LASTING)
    world.step_owners()
    assert term.silences.is_empty
    assert term.journal.free_slots == 0


@pytest.mark.parametrize("changes_owner", [False, True])
@pytest.mark.parametrize("silence_ms", [2000, 3400, 4400, 5400, 5600])
def test_worker_that_is_back_within_its_lease_keeps_its_runs(silence_ms, changes_owner):
    """Guards against a worker that was only silent for a while and loses its runs."""
    world = new_world()
    worker = world.workers[1]
    cut(world, worker)
    world.run(silence_ms // 200 - 1)
    if changes_owner:
        world.owner().resign("planned stop")
        world.elect(world.workers[2])
    world.run(1)
    world.cut.clear()
    world.run(12 * ROUNDS_PER_SECOND)
    worker.end_due_runs()
    assert len(worker.runs) == 1
    assert world.history.starts == 4
    assert world.history.violations == []


def test_listed_worker_gets_no_lease_and_no_start_while_the_record_cannot_be_rewritten(
    monkeypatch,
):
    """Guards against a lease that the next owner does not know of."""
    world = new_world()
    worker = world.workers[1]
    cut(world, worker)
    world.run(5 * ROUNDS_PER_SECOND)
    lease_until = worker.lease_until
    put = world.store.put

    def refuse(key, *args):
        if key == silences_key(0):
            raise StoreError("refused by the test")
        return put(key, *args)

    with monkeypatch.context() as patch:
        patch.setattr(world.store, "put", refuse)
        world.cut.clear()
        world.submit("b", attrs.evolve(LASTING, required_label="rack-w1"))
        world.run(3)
        assert worker.lease_until == lease_until
    world.run(4)
    assert worker.lease_until > lease_until
    world.run(5)
    assert world.shown("b") == "running"
    assert world.history.violations == []


def test_owner_that_resumes_after_a_pause_gives_no_lease_and_no_commands():
    """Guards against a process that acts on a permission that ran out while it was paused."""
    world = new_world(tasks=3)
    paused = world.owner()
    agent, directory = world.agents["w1"]
    known = directory.owner()
    world.submit("b", attrs.evolve(LASTING, required_label="rack-w1"))
    # A start command is queued when the process is paused.
    paused.step()
    assert any(member.starts for member in paused._term.members.values())
    world.frozen.add("w0")
    while world.store.state.get(OWNER_KEY) is not None:
        world.clock.advance(200 * MS)
    world.elect(world.workers[2])
    granted_until_ms = agent._grant.lease_until_ms
    assert not agent.renew_and_report(known)
    assert not agent.fetch_commands(known)
    assert not agent.has_pending_commands()
    assert agent._grant.lease_until_ms == granted_until_ms


def play(seed, record_of_build, monkeypatch, ring=256):
    """Change the owner often while workers are cut off; return the number of takeovers of records.

    :param record_of_build: returns the class of the record that the next owner has.
    """
    taken_over = []

    def new_record(pool, store, excess):
        kind = record_of_build()
        record = kind(pool, store, excess) if issubclass(kind, SilenceRecord) else kind()
        take_over = record.take_over

        def count(*epochs):
            ages = take_over(*epochs)
            taken_over.extend([1] if ages else [])
            return ages

        monkeypatch.setattr(record, "take_over", count, raising=False)
        return record

    monkeypatch.setattr(pools, "JOURNAL_SLOTS", ring)
    monkeypatch.setattr(pools, "MIN_FREE_SLOTS", ring // 4)
    world = new_world(5, seed)
    monkeypatch.setattr(pools, "SilenceRecord", new_record)
    rng = world.rng
    cut_until = {}
    store_cut_until = timedelta()

    def go_on():
        if world.clock.monotonic() > store_cut_until:
            world.store_cut = set()
        world.renew_sessions()

    # The owner's records wait for the store.
    world.clock.on_sleep = go_on
    refused_until = timedelta()
    put = world.store.put

    def refuse(key, *args):
        if key == silences_key(0) and world.clock.monotonic() < refused_until:
            raise StoreError("refused by the test")
        return put(key, *args)

    monkeypatch.setattr(world.store, "put", refuse)
    for number in range(60 * ROUNDS_PER_SECOND):
        now = world.clock.monotonic()
        if rng.random() < 0.06:
            worker = rng.choice(world.workers)
            cut_until[worker.id] = now + rng.randint(1000, 9000) * MS
        cut_until = {name: until for name, until in cut_until.items() if until > now}
        world.cut = set()
        for worker in world.workers:
            if worker.id in cut_until:
                cut(world, worker)
        owner = next((w for w in world.workers if world.owners[w.id].is_owner()), None)
        if owner is not None and rng.random() < 0.05:
            fault = rng.choice(["planned", "key", "store"])
            if fault == "planned":
                world.owners[owner.id].resign("planned stop")
            elif fault == "key":
                # The owner goes on until it reads its key.
                world.store.delete(OWNER_KEY, world.owners[owner.id]._term.epoch)
            else:
                world.store_cut = {owner.id}
                store_cut_until = now + rng.randint(500, 5000) * MS
        go_on()
        if rng.random() < 0.04:
            refused_until = now + rng.randint(500, 4000) * MS
        if rng.random() < 0.03:
            rng.choice([world.store.lose_writes, world.store.lose_responses])()
        if world.owner() is not None and number % 7 == 0:
            world.submit(f"s{number}", attrs.evolve(LASTING, lasting=False))
        world.round()
        world.run_takeovers()
        if world.store.state.get(OWNER_KEY) is None:
            names = [w.id for w in world.workers if not world.owners[w.id].is_owner()]
            rng.shuffle(names)
            for name in names:
                try:
                    if world.owners[name].acquire():
                        break
                except (StoreError, pools.JournalError):
                    continue
    return world.history.violations, len(taken_over)


@pytest.mark.parametrize("ring", [256, 12])
@pytest.mark.parametrize(
    "builds",
    [
        [SilenceRecord],
        [SilenceRecord, NoRecord],
        [SilenceRecord, BuildBefore],
        [SilenceRecord, SilenceRecord, BuildBefore, NoRecord],
    ],
)
@pytest.mark.parametrize("seed", range(8))
def test_no_run_is_started_twice_while_owners_change(seed, builds, ring, monkeypatch):
    """Guards against runs that are given up before their worker's lease has ended."""
    number = iter(range(10_000))
    violations, _ = play(seed, lambda: builds[next(number) % len(builds)], monkeypatch, ring)
    assert violations == []


@pytest.mark.parametrize("is_promise_kept", [True, False])
def test_lease_of_a_listed_worker_would_end_in_a_second_run(is_promise_kept, monkeypatch):
    """Guards against tests that would not notice a lease against the record."""
    if not is_promise_kept:
        monkeypatch.setattr(pools, "SilenceRecord", DroppedPromise)
    world = new_world(tasks=3)
    worker = next(worker for worker in world.workers[1:] if worker.runs)
    cut(world, worker)
    world.run(5 * ROUNDS_PER_SECOND)
    put = world.store.put

    def refuse(key, *args):
        if key == silences_key(0):
            raise StoreError("refused by the test")
        return put(key, *args)

    with monkeypatch.context() as patch:
        patch.setattr(world.store, "put", refuse)
        world.cut.clear()
        world.run(3)
        cut(world, worker)
        # Its last record would state the lease that was granted against the one before.
        world.owner().resign("planned stop")
    world.elect(world.workers[0])
    world.run(8 * ROUNDS_PER_SECOND)
    assert bool(world.history.violations) is not is_promise_kept


def test_plays_take_records_over(monkeypatch):
    """Guards against plays in which the record is of no effect."""
    taken_over = 0
    for seed in range(3):
        with monkeypatch.context() as patch:
            taken_over += play(seed, lambda: SilenceRecord, patch)[1]
    assert taken_over > 0


class LateStore(FakeStore):
    """A store that can carry out a write after its caller has given it up."""

    def __init__(self):
        super().__init__()
        self.is_late = False
        self.late_writes = []

    def put(self, key, value, expected_version, lease_id=""):
        if not self.is_late:
            return super().put(key, value, expected_version, lease_id)
        self.is_late = False
        self.late_writes.append((key, value, expected_version, lease_id))
        return Unknown("no answer in time")

    def carry_out_late_writes(self):
        for write in self.late_writes:
            super().put(*write)


def test_late_write_does_not_list_a_worker_that_gets_leases_again():
    """Guards against a run that is given up before the lease of its worker has ended."""
    store = LateStore()
    record = SilenceRecord(0, store)
    record.take_over(4, 5)
    # A first silence that has ended: the record of this epoch is empty.
    record.write(record.plan({"w1": 4 * SECOND}, 10 * SECOND), 10 * SECOND)
    record.write(record.plan({}, 11 * SECOND), 11 * SECOND)
    assert record.is_empty
    # A second one, whose record is late.
    store.is_late = True
    record.write(record.plan({"w1": 4 * SECOND}, 20 * SECOND), 20 * SECOND)
    assert record.lists("w1")
    # The worker reports; the record without it is lost.
    store.lose_writes()
    record.write(record.plan({}, 21 * SECOND), 21 * SECOND)
    gets_leases = not record.lists("w1")
    store.carry_out_late_writes()
    taken_over = SilenceRecord(0, store).take_over(5, 6)
    assert not (gets_leases and "w1" in taken_over)


@pytest.mark.parametrize("is_carried_out", [False, True])
def test_worker_of_a_late_record_runs_nothing_twice(is_carried_out, monkeypatch):
    """Guards against the same fault in a whole world, with a second start of a service."""
    world = PoolWorld(4, 0)
    world.elect()
    world.run(3)
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.submit(
        "a",
        StepSpec(cpu_millis=1000, memory_mb=100, lasting=True, count=3, max_per_worker=1),
    )
    world.run(10)
    worker = next(worker for worker in world.workers[1:] if worker.runs)
    put = world.store.put
    late = []
    is_slow = False

    def answer_late(key, *args):
        if is_slow and key == silences_key(0):
            late.append((key, *args))
            return Unknown("no answer in time")
        return put(key, *args)

    monkeypatch.setattr(world.store, "put", answer_late)

    def cut():
        world.cut |= {worker.id, world.address(worker)}

    silences = world.owner()._term.silences
    # A first silence leaves an empty record of this epoch.
    cut()
    world.run(20)
    assert silences.lists(worker.id)
    world.cut.clear()
    world.run(10)
    assert silences.is_empty
    # The writes of a second one are slow, until the worker is back.
    cut()
    world.run(10)
    is_slow = True
    while not silences.lists(worker.id):
        world.run(1)
    world.cut.clear()
    world.run(5)
    was_listed = silences.lists(worker.id)
    if is_carried_out:
        put(*late[0])
    is_slow = False
    world.run(100)
    assert not was_listed or silences.is_empty
    # Twenty seconds later the worker is cut off and the owner changes.
    cut()
    world.owner().resign("planned stop")
    world.elect(world.workers[0])
    world.run(60)
    assert world.history.violations == []

"""Rules of the shard journal: order, fencing, lost answers, damaged values, group commit."""

import itertools
import json
import random
import zlib
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import ManualClock, SystemClock
from mulberryslip.exceptions import FencedError, InvalidMessageError, JournalError
from mulberryslip.journals import (
    FORMAT,
    GroupCommitter,
    GroupLimits,
    Journal,
    Record,
    Snapshot,
    decode_record,
    decode_snapshot,
    encode,
)
from mulberryslip.outcomes import Conflict
from mulberryslip.stores import HTTPStore, StoredValue
from mulberryslip_testing.fakes import FakeStore, RacingStore
from mulberryslip_testing.stores import Faults, StoreServer

SLOTS = 8


@pytest.fixture
def store():
    return FakeStore(ManualClock())


def opened(store, slots=SLOTS):
    journal = Journal(store, 0, slots)
    journal.open()
    journal.claim()
    return journal


def event(number):
    return {"n": number}


def numbers(store):
    """Return what a new owner recovers, with a state that is the list of all event numbers."""
    recovery = Journal(store, 0, SLOTS).open()
    return [*(recovery.state or {"n": []})["n"], *(e["n"] for e in recovery.events)]


class BlindStore(FakeStore):
    """A store without compare-and-swap, to show that the fencing tests depend on it."""

    def put(self, key, value, expected_version, lease_id=""):
        outcome = super().put(key, value, expected_version, lease_id)
        if isinstance(outcome, Conflict):
            return super().put(key, value, outcome.version, lease_id)
        return outcome


class AssumingJournal(Journal):
    """A journal that takes a write without an answer for written."""

    def _read_back(self, pending):
        return -1


class RepeatingJournal(Journal):
    """A journal that appends again after a write without an answer."""

    def _read_back(self, pending):
        raise self._failed(pending, "not read back")

    def append(self, events):
        try:
            return super().append(events)
        except JournalError as exc:
            if not exc.unresolved:
                raise
        self.open()
        self.claim()
        return super().append(events)


def test_new_owner_recovers_snapshot_and_events_in_order(store):
    """Guards against records lost or reordered across laps of the ring and restarts."""
    journal = opened(store)
    for number in range(30):
        if journal.snapshot_due:
            journal.write_snapshot({"n": list(range(number))})
        journal.append([event(number)])
    assert numbers(store) == list(range(30))


def test_append_refuses_to_overwrite_records_without_a_snapshot(store):
    """Guards against a ring that laps itself and loses records."""
    journal = opened(store)
    for number in range(SLOTS - 1):
        journal.append([event(number)])
    with pytest.raises(JournalError, match="snapshot is due") as caught:
        journal.append([event(99)])
    assert not caught.value.unresolved
    assert numbers(store) == list(range(SLOTS - 1))


def test_new_owner_of_a_full_ring_can_go_on(store):
    """Guards against a shard that nobody can claim after its owner died before a snapshot."""
    journal = opened(store)
    for number in range(SLOTS - 1):
        journal.append([event(number)])
    successor = Journal(store, 0, SLOTS)
    recovery = successor.open()
    assert successor.snapshot_due
    successor.write_snapshot({"n": [e["n"] for e in recovery.events]})
    assert successor.claim() == 2
    successor.append([event(SLOTS - 1)])
    assert numbers(store) == list(range(SLOTS))


def resume_after_a_lap(store):
    """Let an owner resume after a successor has written one whole lap; return what is recovered."""
    paused = opened(store)
    paused.append([event(0)])
    successor = opened(store)
    for number in range(1, SLOTS):
        if successor.snapshot_due:
            successor.write_snapshot({"n": list(range(number))})
        successor.append([event(number)])
    with pytest.raises(FencedError) as caught:
        paused.append([event(-1)])
    assert not caught.value.unresolved
    with pytest.raises(FencedError):
        paused.append([event(-1)])
    return numbers(store)


def test_owner_that_resumes_after_a_whole_lap_is_fenced(store):
    """Guards against a paused owner that finds its slot at the same place of the ring."""
    assert resume_after_a_lap(store) == list(range(SLOTS))


def test_fencing_needs_compare_and_swap():
    """Shows that the test above detects a store or journal without compare-and-swap."""
    with pytest.raises(pytest.fail.Exception):
        resume_after_a_lap(BlindStore(ManualClock()))


def append_with_lost_writes(journal_class, store, lose, count):
    """Append three batches while writes are lost; return what is recovered."""
    journal = journal_class(store, 0, SLOTS)
    journal.open()
    journal.claim()
    getattr(store, lose)(count)
    for number in range(3):
        for _ in range(3):
            try:
                journal.append([event(number)])
                break
            except JournalError as exc:
                assert exc.unresolved
    return numbers(store)


@pytest.mark.parametrize("lose", ["lose_answers", "lose_calls"])
@pytest.mark.parametrize("count", [1, 2, 3, 7])
def test_lost_answer_neither_doubles_nor_loses_a_batch(store, lose, count):
    """Guards against a batch that is appended twice or dropped after a lost answer."""
    assert append_with_lost_writes(Journal, store, lose, count) == [0, 1, 2]


@pytest.mark.parametrize(
    ("journal_class", "lose"),
    [(AssumingJournal, "lose_calls"), (RepeatingJournal, "lose_answers")],
)
def test_lost_answer_needs_reading_back(store, journal_class, lose):
    """Shows that the test above detects a journal that does not read back."""
    try:
        found = append_with_lost_writes(journal_class, store, lose, 1)
    except JournalError:
        return
    assert found != [0, 1, 2]


def test_unresolved_batch_comes_before_any_other(store):
    """Guards against a later batch that takes the place of one which may have taken effect."""
    journal = opened(store)
    store.set_faults(outage="drop")
    with pytest.raises(JournalError) as caught:
        journal.append([event(0)])
    assert caught.value.unresolved
    store.set_faults(outage="")
    with pytest.raises(JournalError, match="unresolved"):
        journal.append([event(1)])
    assert journal.resolve().events == [event(0)]
    assert journal.resolve() is None
    journal.append([event(1)])
    assert numbers(store) == [0, 1]


def test_refused_write_is_not_unresolved(store):
    """Guards against answering 'outcome unknown' for work that was certainly not committed."""
    journal = opened(store)
    store.set_faults(outage="refuse")
    with pytest.raises(JournalError) as caught:
        journal.append([event(0)])
    assert not caught.value.unresolved
    store.set_faults(outage="")
    journal.append([event(1)])
    assert numbers(store) == [1]


def test_only_one_of_two_claimants_wins(store):
    """Guards against two owners of one epoch."""
    first, second = Journal(store, 0, SLOTS), Journal(store, 0, SLOTS)
    first.open()
    second.open()
    assert second.claim() == 1
    with pytest.raises(FencedError):
        first.claim()
    first.open()
    assert first.claim() == 2


def test_late_snapshot_of_a_previous_owner_does_not_stop_its_successor(store):
    """Guards against a snapshot that goes back, or an owner that loses its shard to it."""
    paused = opened(store)
    paused.append([event(0)])
    successor = opened(store)
    successor.append([event(1)])
    paused.write_snapshot({"n": [0]})
    successor.write_snapshot({"n": [0, 1]})
    assert numbers(store) == [0, 1]
    with pytest.raises(FencedError):
        paused.write_snapshot({"n": [0]})
    assert numbers(store) == [0, 1]


class Race:
    """Owners in a random interleaving, checked against the plain list of events in the log."""

    STEPS = 60
    MAX_NESTED = 2

    def __init__(self, seed, journal_class=Journal, compare_and_swap=True):
        self.rng = random.Random(seed)
        self.store = RacingStore(ManualClock(), self.rng, compare_and_swap)
        self.store.others = self.step
        self.owners = [Owner(self, journal_class) for _ in range(3)]
        self.numbers = itertools.count()
        self.nested = 0
        self.committed = []
        self.refused = set()
        self.unresolved = 0

    def run(self):
        for _ in range(self.STEPS):
            self.step()
        self.store.others = lambda: None
        return self

    def step(self):
        idle = [owner for owner in self.owners if not owner.busy]
        if not idle or self.nested > self.MAX_NESTED:
            return
        self.nested += 1
        self.rng.choice(idle).step()
        self.nested -= 1

    def check(self):
        """Compare the log with every state that an owner derived from a commit."""
        found = numbers(self.store)
        assert len(found) == len(set(found))
        assert not self.refused & set(found)
        for state in self.committed:
            assert found[: len(state)] == state


class Owner:
    """One of several owners in a race; after a fencing it starts anew."""

    def __init__(self, race, journal_class):
        self.race = race
        self.journal = journal_class(race.store, 0, SLOTS)
        self.restart()

    def restart(self):
        self.state = None
        self.batch = None
        self.busy = False

    def step(self):
        self.busy = True
        try:
            if self.state is None:
                self.start()
            elif self.race.rng.random() < 0.1:
                self.restart()
            else:
                self.append()
        except FencedError as exc:
            self.note(exc)
            self.restart()
        except JournalError as exc:
            self.note(exc)
        self.busy = False

    def start(self):
        recovery = self.journal.open()
        state = [*(recovery.state or {"n": []})["n"], *(e["n"] for e in recovery.events)]
        if self.journal.snapshot_due:
            self.journal.write_snapshot({"n": state})
        self.journal.claim()
        self.state = state

    def append(self):
        if self.batch is None and self.journal.snapshot_due:
            self.journal.write_snapshot({"n": self.state})
        if self.batch is None:
            self.batch = next(self.race.numbers)
        self.journal.append([event(self.batch)])
        self.state.append(self.batch)
        self.race.committed.append(list(self.state))
        self.batch = None

    def note(self, exc):
        self.race.unresolved += exc.unresolved
        if self.batch is not None and not exc.unresolved:
            self.race.refused.add(self.batch)
            self.batch = None


@pytest.mark.parametrize("seed", range(150))
def test_racing_owners_agree_with_a_list(seed):
    """Guards against lost, doubled, reordered or wrongly refused events under any interleaving."""
    race = Race(seed).run()
    race.check()
    assert len(race.committed) > 3


@pytest.mark.parametrize(
    ("journal_class", "compare_and_swap"),
    [(AssumingJournal, True), (RepeatingJournal, True), (Journal, False)],
)
def test_race_detects_a_missing_mechanism(journal_class, compare_and_swap):
    """Shows that the race fails without reading back or without compare-and-swap."""
    failures = 0
    for seed in range(20):
        try:
            Race(seed, journal_class, compare_and_swap).run().check()
        except (AssertionError, JournalError):
            failures += 1
    assert failures >= 15


VALUES = [
    (decode_record, Record(3, 1, SLOTS, "b", [event(1)])),
    (decode_snapshot, Snapshot(3, 1, SLOTS, "s", {"n": [1, 2]})),
]


@pytest.mark.parametrize(("decode", "message"), VALUES)
def test_decoders_refuse_damaged_and_newer_values(decode, message):
    """Guards against starting from a damaged value, and against an error that names no key."""
    good = encode(message)
    assert decode(StoredValue("k", good, 1)) == message
    bad = [b"", bytes([FORMAT + 1]) + good[1:], good[:-1], good + b"x"]
    bad += [good[:i] + bytes([good[i] ^ 16]) + good[i + 1 :] for i in range(len(good))]
    for value in bad:
        try:
            assert decode(StoredValue("the/key", value, 1)) == message
        except InvalidMessageError as exc:
            assert "the/key" in str(exc)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.binary(max_size=200), packed=st.booleans())
def test_decoders_raise_only_their_error(data, packed):
    """Guards against a damaged value that ends the owner's thread with another exception."""
    value = bytes([FORMAT]) + (zlib.compress(data) if packed else data)
    for decode, _ in VALUES:
        with pytest.raises(InvalidMessageError):
            decode(StoredValue("k", value, 1))


RECORD_FIELDS = sorted(attrs.fields_dict(Record))
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(fields=st.dictionaries(st.sampled_from(RECORD_FIELDS), JSON))
def test_record_decoder_checks_each_field(fields):
    """Guards against a record of valid JSON with a field of the wrong type."""
    body = {**attrs.asdict(VALUES[0][1]), **fields}
    value = bytes([FORMAT]) + zlib.compress(json.dumps(body).encode())
    try:
        record = decode_record(StoredValue("k", value, 1))
    except InvalidMessageError:
        return
    assert type(record.seq) is int and record.seq > 0
    assert type(record.epoch) is int and isinstance(record.batch_id, str)
    assert all(isinstance(item, dict) for item in record.events)


class Committing:
    """A started committer with a state that is the list of all event numbers."""

    def __init__(self, store, limits=None, slots=SLOTS):
        self.state = []
        self.records = []
        self.lost = []
        self.committer = GroupCommitter(
            opened(store, slots),
            SystemClock(),
            self.apply,
            self.lost.append,
            lambda: {"n": list(self.state)},
            limits or GroupLimits(min_interval=timedelta(milliseconds=2)),
        )
        self.committer.start()

    def apply(self, seq, events):
        self.records.append(len(events))
        self.state.extend(e["n"] for e in events)

    def commit(self, number, timeout_s=5.0):
        """Return the outcome of one commit in a word."""
        try:
            self.committer.commit([event(number)], timedelta(seconds=timeout_s))
        except FencedError:
            return "fenced"
        except JournalError as exc:
            return "unresolved" if exc.unresolved else "refused"
        return "committed"

    def commit_many(self, count, timeout_s=5.0, threads=50):
        with ThreadPoolExecutor(threads) as pool:
            return list(pool.map(lambda n: self.commit(n, timeout_s), range(count)))


class FaultyCommitting(Committing):
    """A committer whose owner cannot apply events."""

    def apply(self, seq, events):
        raise ZeroDivisionError


@pytest.fixture
def live_store():
    return FakeStore(SystemClock())


def test_group_commit_shares_writes_and_keeps_order(live_store):
    """Guards against one write per event, and against callers released before the apply."""
    group = Committing(live_store)
    writes = live_store.call_counts()["write"]
    assert set(group.commit_many(2000)) == {"committed"}
    group.committer.stop()
    assert sorted(group.state) == list(range(2000))
    assert numbers(live_store) == group.state
    assert live_store.call_counts()["write"] - writes < 500


@pytest.mark.parametrize(
    ("limits", "late"),
    [(GroupLimits(), False), (GroupLimits(max_events=1, min_interval=timedelta()), True)],
)
def test_group_commit_stays_within_the_rate_of_the_store(live_store, limits, late):
    """Guards against a shard that uses up the store's writes; the second case has no groups.

    Each refusal must be true: the log holds what was committed and nothing that was refused.
    """
    live_store.set_faults(writes_per_s=100)
    group = Committing(live_store, limits)
    outcomes = group.commit_many(300, timeout_s=0.3, threads=300)
    group.committer.stop()
    assert (set(outcomes) == {"committed"}) is not late
    found = numbers(live_store)
    assert found == group.state
    assert len(found) == len(set(found))
    assert {n for n, outcome in enumerate(outcomes) if outcome == "committed"} <= set(found)
    assert not {n for n, outcome in enumerate(outcomes) if outcome == "refused"} & set(found)


@pytest.mark.parametrize(
    ("outage", "first", "timeouts", "found"),
    [("drop", "unresolved", (0.2, 0.05), [0, 2]), ("refuse", "refused", (5, 5), [2])],
)
def test_group_in_an_outage_has_the_fate_that_its_callers_were_told(
    live_store, outage, first, timeouts, found
):
    """Guards against a group that is lost, doubled, overtaken, or committed after 'not run'."""
    group = Committing(live_store)
    live_store.set_faults(outage=outage)
    assert group.commit(0, timeouts[0]) == first
    assert group.commit(1, timeouts[1]) == "refused"
    live_store.set_faults(outage="")
    assert group.commit(2) == "committed"
    group.committer.stop()
    assert group.state == found
    assert numbers(live_store) == found


def test_group_commit_over_http_with_lost_calls_and_answers():
    """Guards against an adapter that blurs 'not written' and 'unknown' under load."""
    with StoreServer() as server:
        store = HTTPStore(server.base_url)
        group = Committing(store)
        faults = Faults(lost_answer_probability=0.15, lost_call_probability=0.15)
        server.application.injector.set(faults)
        outcomes = group.commit_many(300)
        group.committer.stop()
        server.application.injector.set(Faults())
        assert set(outcomes) == {"committed"}
        assert sorted(group.state) == list(range(300))
        assert numbers(store) == group.state
        store.close()


def test_fenced_committer_refuses_everyone_and_reports_it(live_store):
    """Guards against callers that wait forever at an owner which lost its shard."""
    group = Committing(live_store)
    opened(live_store)
    assert group.commit(0) == "fenced"
    assert group.commit(1) == "fenced"
    group.committer.stop()
    assert len(group.lost) == 1
    assert numbers(live_store) == []


def test_fault_in_the_apply_ends_the_committer(live_store):
    """Guards against serving from a state that misses a committed record."""
    group = FaultyCommitting(live_store)
    assert group.commit(0) == "unresolved"
    assert group.commit(1) == "fenced"
    assert isinstance(group.lost[0], ZeroDivisionError)


def test_group_limits(live_store):
    """Guards against records over the store's size, and an unbounded queue in an outage."""
    limits = GroupLimits(
        max_events=3, max_bytes=200, max_waiting=8, min_interval=timedelta(milliseconds=100)
    )
    group = Committing(live_store, limits)
    futures = [group.committer.submit([event(0)])]
    futures[0].result(5)
    sizes = [1, 1, 1, 1, 5, 1, 1, 1]
    futures = [group.committer.submit([event(0)] * size) for size in sizes]
    with pytest.raises(JournalError, match="waiting already"):
        group.committer.submit([event(0)])
    futures[0].cancel()
    futures.append(group.committer.submit([{"n": 1, "text": "x" * 300}]))
    with pytest.raises(JournalError, match="not serialisable"):
        group.committer.submit([{"n": object()}])
    group.committer.stop()
    assert group.records == [1, 3, 5, 3, 1]
    with pytest.raises(JournalError, match="stopped"):
        group.committer.submit([event(0)])

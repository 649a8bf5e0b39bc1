"""Tests of the shard journal: order, fencing, lost replies and damaged values."""

import itertools
import json
import random
import zlib

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import ManualClock, journals
from mulberryslip.exceptions import FencedError, InvalidMessageError, JournalError
from mulberryslip.journals import (
    FORMAT,
    FORMAT_IN_PARTS,
    Journal,
    Record,
    Snapshot,
    decode_record,
    decode_snapshot,
    encode,
)
from mulberryslip.outcomes import Conflict
from mulberryslip.stores import StoredValue
from mulberryslip_testing.fakes import FakeStore, RacingStore

SLOTS = 8


@pytest.fixture
def store():
    return FakeStore(ManualClock())


def claimed_journal(store, slots=SLOTS):
    journal = Journal(store, 0, slots)
    journal.open()
    journal.claim()
    return journal


def event(number):
    return {"n": number}


def recovered_numbers(store):
    """Return the numbers of all events that a new owner recovers from snapshot and ring."""
    recovery = Journal(store, 0, SLOTS).open()
    return [*(recovery.state or {"n": []})["n"], *(e["n"] for e in recovery.events)]


class OverwritingStore(FakeStore):
    """Store that ignores version conflicts, to show that the fencing tests detect this."""

    def put(self, key, value, expected_version, lease_id=""):
        outcome = super().put(key, value, expected_version, lease_id)
        if isinstance(outcome, Conflict):
            return super().put(key, value, outcome.version, lease_id)
        return outcome


class OptimisticJournal(Journal):
    """Journal that assumes that a write without a reply was committed."""

    def _read_back(self, pending):
        return -1


class BlindRetryJournal(Journal):
    """Journal that appends a batch again when a write got no reply, without reading it back."""

    def _read_back(self, pending):
        raise self._write_error(pending, "not read back")

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
    """Guards against losing or reordering records when the ring wraps around or owners change."""
    journal = claimed_journal(store)
    for number in range(30):
        if journal.snapshot_due:
            journal.write_snapshot({"n": list(range(number))})
        journal.append([event(number)])
    assert recovered_numbers(store) == list(range(30))


def test_append_refuses_to_overwrite_records_without_a_snapshot(store):
    """Guards against overwriting records that no snapshot includes when the ring wraps around."""
    journal = claimed_journal(store)
    for number in range(SLOTS - 1):
        journal.append([event(number)])
    with pytest.raises(JournalError, match="snapshot is due") as caught:
        journal.append([event(99)])
    assert not caught.value.unresolved
    assert recovered_numbers(store) == list(range(SLOTS - 1))


def test_new_owner_of_a_full_ring_can_continue(store):
    """Guards against a shard that cannot be claimed once its owner crashed before a snapshot.

    The ring is then full, so the new owner must write a snapshot before its claim.
    """
    journal = claimed_journal(store)
    for number in range(SLOTS - 1):
        journal.append([event(number)])
    successor = Journal(store, 0, SLOTS)
    recovery = successor.open()
    assert successor.snapshot_due
    successor.write_snapshot({"n": [e["n"] for e in recovery.events]})
    assert successor.claim() == 2
    successor.append([event(SLOTS - 1)])
    assert recovered_numbers(store) == list(range(SLOTS))


def resume_after_wraparound(store):
    """Resume an owner after its successor wrapped around the ring; return what is recovered."""
    paused = claimed_journal(store)
    paused.append([event(0)])
    successor = claimed_journal(store)
    for number in range(1, SLOTS):
        if successor.snapshot_due:
            successor.write_snapshot({"n": list(range(number))})
        successor.append([event(number)])
    with pytest.raises(FencedError) as caught:
        paused.append([event(-1)])
    assert not caught.value.unresolved
    with pytest.raises(FencedError):
        paused.append([event(-1)])
    return recovered_numbers(store)


def test_owner_that_resumes_after_a_wraparound_is_fenced(store):
    """Guards against a paused owner that overwrites a newer record once the ring wrapped around."""
    assert resume_after_wraparound(store) == list(range(SLOTS))


def test_fencing_needs_compare_and_swap():
    """Checks that the test above fails with a store that lacks compare-and-swap."""
    with pytest.raises(pytest.fail.Exception):
        resume_after_wraparound(OverwritingStore(ManualClock()))


def append_with_lost_writes(journal_class, store, lose, count):
    """Append three batches while writes or replies are lost; return what is recovered."""
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
    return recovered_numbers(store)


@pytest.mark.parametrize("lose", ["lose_responses", "lose_writes"])
@pytest.mark.parametrize("count", [1, 2, 3, 7])
def test_lost_reply_neither_duplicates_nor_loses_a_batch(store, lose, count):
    """Guards against a batch that is appended twice or dropped after a lost reply."""
    assert append_with_lost_writes(Journal, store, lose, count) == [0, 1, 2]


@pytest.mark.parametrize(
    ("journal_class", "lose"),
    [(OptimisticJournal, "lose_writes"), (BlindRetryJournal, "lose_responses")],
)
def test_lost_reply_requires_reading_back(store, journal_class, lose):
    """Checks that the test above detects a journal that does not read back its writes."""
    try:
        found = append_with_lost_writes(journal_class, store, lose, 1)
    except JournalError:
        return
    assert found != [0, 1, 2]


def test_unresolved_batch_comes_before_any_other(store):
    """Guards against a later batch that replaces one which may have taken effect."""
    journal = claimed_journal(store)
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
    assert recovered_numbers(store) == [0, 1]


def test_refused_write_is_not_unresolved(store):
    """Guards against reporting 'outcome unknown' for a batch that was certainly not committed."""
    journal = claimed_journal(store)
    store.set_faults(outage="refuse")
    with pytest.raises(JournalError) as caught:
        journal.append([event(0)])
    assert not caught.value.unresolved
    store.set_faults(outage="")
    journal.append([event(1)])
    assert recovered_numbers(store) == [1]


def test_only_one_of_two_claimants_wins(store):
    """Guards against two owners in the same epoch."""
    first, second = Journal(store, 0, SLOTS), Journal(store, 0, SLOTS)
    first.open()
    second.open()
    assert second.claim() == 1
    with pytest.raises(FencedError):
        first.claim()
    first.open()
    assert first.claim() == 2


def test_late_snapshot_of_a_previous_owner_does_not_stop_its_successor(store):
    """Guards against an older snapshot replacing a newer one or fencing off the current owner."""
    paused = claimed_journal(store)
    paused.append([event(0)])
    successor = claimed_journal(store)
    successor.append([event(1)])
    paused.write_snapshot({"n": [0]})
    successor.write_snapshot({"n": [0, 1]})
    assert recovered_numbers(store) == [0, 1]
    with pytest.raises(FencedError):
        paused.write_snapshot({"n": [0]})
    assert recovered_numbers(store) == [0, 1]


class Race:
    """Random interleaving of several owners, checked against a list of the committed events."""

    STEPS = 60
    MAX_NESTED_STEPS = 2

    def __init__(self, seed, journal_class=Journal, compare_and_swap=True, max_parts=1):
        self.rng = random.Random(seed)
        self.max_parts = max_parts
        self.store = RacingStore(ManualClock(), self.rng, compare_and_swap)
        self.store.run_concurrent_writers = self.step
        self.owners = [Owner(self, journal_class) for _ in range(3)]
        self.numbers = itertools.count()
        self.nested_steps = 0
        self.committed = []
        self.refused = set()
        self.unresolved = 0

    def run(self):
        for _ in range(self.STEPS):
            self.step()
        self.store.run_concurrent_writers = lambda: None
        return self

    def step(self):
        idle = [owner for owner in self.owners if not owner.busy]
        if not idle or self.nested_steps > self.MAX_NESTED_STEPS:
            return
        self.nested_steps += 1
        self.rng.choice(idle).step()
        self.nested_steps -= 1

    def check(self):
        """Check that every state that an owner saw after a commit is a prefix of the log."""
        found = recovered_numbers(self.store)
        assert len(found) == len(set(found))
        assert not self.refused & set(found)
        for state in self.committed:
            assert found[: len(state)] == state


class Owner:
    """One of several owners in a race; it starts over when it is fenced."""

    def __init__(self, race, journal_class):
        self.race = race
        self.journal = journal_class(race.store, 0, SLOTS, max_parts=race.max_parts)
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
            self.record_error(exc)
            self.restart()
        except JournalError as exc:
            self.record_error(exc)
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

    def record_error(self, exc):
        self.race.unresolved += exc.unresolved
        if self.batch is not None and not exc.unresolved:
            self.race.refused.add(self.batch)
            self.batch = None


@pytest.mark.parametrize("seed", range(150))
def test_racing_owners_agree_with_a_list(seed):
    """Guards against lost, duplicated, reordered or wrongly refused events when owners race."""
    race = Race(seed).run()
    race.check()
    assert len(race.committed) > 3


@pytest.mark.parametrize("seed", range(150))
def test_racing_owners_agree_about_snapshots_in_parts(seed, monkeypatch):
    """Guards against a snapshot whose parts another owner has deleted or replaced."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 120)
    race = Race(seed, max_parts=50).run()
    race.check()
    assert len(race.committed) > 3


def test_races_write_snapshots_in_parts(monkeypatch):
    """Guards against a race that has no snapshot in parts to disturb."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 120)
    heads = set()
    for seed in range(20):
        stored = Race(seed, max_parts=50).run().store.state.get("shards/0/snapshot")
        heads.add(stored.value[0] if stored else None)
    assert FORMAT_IN_PARTS in heads


class EagerJournal(Journal):
    """Journal that deletes all parts but its own, also those of later owners."""

    def _delete_earlier_parts(self, stored_set):
        for stored in self._store.list(self._parts_prefix).values:
            if not stored.key.startswith(f"{self._parts_prefix}{stored_set}/"):
                self._store.delete(stored.key, stored.version)

    def _delete_parts(self, stored_set):
        self._is_cleaned = False
        super()._delete_parts(stored_set)


def test_races_find_a_journal_that_deletes_parts_of_others(monkeypatch):
    """Guards against a race that does not notice when parts are deleted too early."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 120)
    faults = 0
    for seed in range(150):
        try:
            Race(seed, EagerJournal, max_parts=50).run().check()
        except (AssertionError, JournalError):
            faults += 1
    assert faults > 0


def part_keys(store):
    return [stored.key for stored in store.list("shards/0/parts/").values]


@pytest.mark.parametrize("faults", [{}, {"lose_responses": 3}, {"lose_writes": 1}])
def test_snapshot_in_parts_is_read_and_replaced(store, monkeypatch, faults):
    """Guards against state that outgrows one value, and against parts that are never deleted."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 100)
    journal = Journal(store, 0, SLOTS, max_parts=50)
    journal.open()
    journal.claim()
    numbers = list(range(1000))
    sets = []
    for turn in range(3):
        journal.append([event(turn)])
        for fault, count in faults.items():
            getattr(store, fault)(count)
        journal.write_snapshot({"n": numbers})
        sets.append(part_keys(store))
        reader = Journal(store, 0, SLOTS, max_parts=50)
        assert reader.open().state == {"n": numbers}
        assert reader.snapshot_bytes == journal.snapshot_bytes > 1000
    assert len(sets[0]) == len(sets[2]) > 10
    assert not set(sets[0]) & set(sets[2])
    journal.write_snapshot({"n": []})
    assert part_keys(store) == []
    assert store.get("shards/0/snapshot").value[0] == FORMAT


def test_parts_without_a_head_are_deleted_by_the_next_owner(store, monkeypatch):
    """Guards against parts that fill the store when owners are killed between the writes."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 100)
    journal = Journal(store, 0, SLOTS, max_parts=50)
    journal.open()
    journal.claim()
    monkeypatch.setattr(Journal, "_put_snapshot", lambda *args: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        journal.write_snapshot({"n": list(range(1000))})
    monkeypatch.undo()
    assert part_keys(store)
    following = claimed_journal(store)
    following.write_snapshot({"n": [1]})
    assert part_keys(store) == []
    assert Journal(store, 0, SLOTS).open().state == {"n": [1]}


def test_snapshot_that_fits_into_one_value_is_written_as_before(store):
    """Guards against a build before that cannot take over from this one."""
    journal = Journal(store, 0, SLOTS, max_parts=50)
    journal.open()
    journal.claim()
    journal.write_snapshot({"n": list(range(1000))})
    stored = store.get("shards/0/snapshot")
    assert decode_snapshot(stored).state == {"n": list(range(1000))}
    assert part_keys(store) == []


@pytest.mark.parametrize("damage", ["missing", "cut", "head"])
def test_damaged_parts_are_refused(store, monkeypatch, damage):
    """Guards against a state that is read in part."""
    monkeypatch.setattr(journals, "MAX_SNAPSHOT_BYTES", 100)
    journal = Journal(store, 0, SLOTS, max_parts=50)
    journal.open()
    journal.claim()
    journal.write_snapshot({"n": list(range(1000))})
    key = "shards/0/snapshot" if damage == "head" else part_keys(store)[3]
    stored = store.get(key)
    if damage == "missing":
        store.delete(key, stored.version)
    else:
        store.put(key, stored.value[:-1], stored.version)
    with pytest.raises((JournalError, InvalidMessageError)):
        Journal(store, 0, SLOTS).open()


@pytest.mark.parametrize(
    ("journal_class", "compare_and_swap"),
    [(OptimisticJournal, True), (BlindRetryJournal, True), (Journal, False)],
)
def test_race_detects_a_missing_mechanism(journal_class, compare_and_swap):
    """Checks that the race test detects a missing read-back or a missing compare-and-swap."""
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
    """Guards against starting from a damaged value, and against an error without the key."""
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
    """Guards against a damaged value that ends the owner's thread with an unexpected exception."""
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
    """Guards against a record that is valid JSON but has a field of the wrong type."""
    body = {**attrs.asdict(VALUES[0][1]), **fields}
    value = bytes([FORMAT]) + zlib.compress(json.dumps(body).encode())
    try:
        record = decode_record(StoredValue("k", value, 1))
    except InvalidMessageError:
        return
    assert type(record.seq) is int and record.seq > 0
    assert type(record.epoch) is int and isinstance(record.batch_id, str)
    assert all(isinstance(item, dict) for item in record.events)

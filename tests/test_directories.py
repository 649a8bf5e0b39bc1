"""Tests of owner discovery and of the operators' pool configuration."""

import json
import random
import threading
from datetime import timedelta

import pytest
from mulberryslip import ManualClock
from mulberryslip.channels import Address
from mulberryslip.exceptions import ConfigError, StoreError, StoreUnavailableError
from mulberryslip.queues import PoolConfig
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.directories import MIN_READ_INTERVAL, KnownOwner, PoolOwnerDirectory
from mulberryslipd.intents import PoolConfigSource

KEY = "pools/0/owner"
SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


@pytest.fixture
def directory(store, clock):
    return PoolOwnerDirectory(store, KEY, clock, random.Random(1))


def record(port):
    return json.dumps({"host": "10.0.0.1", "port": port}).encode()


def owner(epoch, port=7000):
    return KnownOwner(Address("10.0.0.1", port), epoch)


def test_owner_follows_the_key(store, directory):
    """Guards against calls to an owner that no longer exists."""
    directory.refresh()
    assert directory.owner() is None
    version = store.put(KEY, record(7001), 0).version
    directory.refresh()
    assert directory.owner() == owner(version, 7001)
    store.delete(KEY, version)
    directory.refresh()
    assert directory.owner() is None


@pytest.mark.parametrize(
    ("offers", "expected"),
    [
        ([owner(3), owner(5, 7001)], owner(5, 7001)),
        ([owner(5, 7001), owner(3)], owner(5, 7001)),
        ([owner(5, 7001), owner(5, 7001)], owner(5, 7001)),
    ],
)
def test_epoch_never_goes_back(directory, offers, expected):
    """Guards against a delayed hint that leads to an owner that was replaced."""
    for known in offers:
        directory.update(known)
    assert directory.owner() == expected


def test_late_hint_of_a_former_owner_is_ignored(store, directory):
    """Guards against a hint of another process that restores an owner whose key is gone."""
    version = store.put(KEY, record(7001), 0).version
    store.delete(KEY, version)
    directory.refresh()
    directory.update(owner(version, 7001))
    assert directory.owner() is None


def test_listing_older_than_a_known_owner_does_not_drop_it(store, directory):
    """Guards against dropping an owner after a read that began before it was elected."""
    store.put("other", b"x", 0)
    directory.update(owner(9))
    directory.refresh()
    assert directory.owner() == owner(9)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"host": "x"}', b'{"host": "x", "port": "y"}'])
def test_malformed_record_is_ignored(store, directory, value):
    """Guards against a process that exits because of one malformed value."""
    store.put(KEY, value, 0)
    directory.refresh()
    assert directory.owner() is None


class SteppingClock(ManualClock):
    """Clock on which a wait for an event that is not set takes its whole time."""

    def __init__(self, stop, duration):
        super().__init__()
        self._stop = stop
        self._ends_at = self.monotonic() + duration

    def wait(self, event, timeout):
        if not event.is_set():
            self.advance(timeout)
        if self.monotonic() >= self._ends_at:
            self._stop.set()
        return event.is_set()


def test_reads_of_a_cut_machine_become_rarer(store, monkeypatch):
    """Guards against a cut machine that asks the store as often as one that is served."""
    stop = threading.Event()
    directory = PoolOwnerDirectory(store, KEY, SteppingClock(stop, 30 * SECOND), random.Random(1))
    directory.update(owner(5))
    reads = []

    def fail(prefix):
        reads.append(prefix)
        directory.report_failure(5)
        raise StoreUnavailableError("cut off")

    monkeypatch.setattr(store, "list", fail)
    directory.report_failure(5)
    directory._run_reads(stop)
    assert len(reads) < 30 * SECOND / (2 * MIN_READ_INTERVAL)


class Documents:
    """The operators' documents: a configuration revision and excluded data centres."""

    def __init__(self, store):
        self._store = store

    def write(self, key, value):
        found = self._store.get(key)
        self._store.put(key, value, found.version if found else 0)

    def remove(self, key):
        self._store.delete(key, self._store.get(key).version)


def decode(documents):
    if "op/config" not in documents:
        raise ConfigError("missing")
    out = [key.removeprefix("op/out/") for key in documents if key.startswith("op/out/")]
    return PoolConfig.from_queues(int(documents["op/config"].value), [], out)


@pytest.fixture
def source(store, clock):
    return PoolConfigSource(store, "op/", decode, clock, random.Random(1))


def test_configuration_is_read_with_its_age(store, clock, source):
    """Guards against starts under a configuration of unknown age."""
    assert source.config() is None
    assert source.age() > timedelta(days=1)
    Documents(store).write("op/config", b"3")
    Documents(store).write("op/out/east", b"{}")
    assert source.refresh() == PoolConfig.from_queues(3, [], ["east"])
    clock.advance(2 * SECOND)
    assert source.age() == 2 * SECOND
    store.set_faults(outage="refuse")
    with pytest.raises(StoreUnavailableError):
        source.refresh()
    assert source.age() == 2 * SECOND
    assert source.config().revision == 3


def test_data_centre_is_used_again_after_its_document_is_removed(store, source):
    """Guards against a data centre that stays excluded after its document was removed."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    documents.write("op/out/east", b"{}")
    source.refresh()
    documents.remove("op/out/east")
    assert source.refresh().data_centres_out == frozenset()


@pytest.mark.parametrize("value", [b"2", b"damaged"])
def test_older_or_malformed_configuration_is_ignored(store, source, monkeypatch, value):
    """Guards against a configuration that goes back to an earlier revision."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    source.refresh()
    documents.write("op/config", value)
    if value == b"damaged":
        monkeypatch.setattr(source, "_decode", fail_to_decode)
    source.refresh()
    assert source.config().revision == 3


def fail_to_decode(documents):
    raise ConfigError("damaged")


def test_watch_and_read_agree_in_either_order(store, source):
    """Guards against a read that undoes a change which a watch has already returned."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    early = store.list("op/")
    source.refresh()
    documents.write("op/config", b"4")
    source._merge(store.watch("op/", early.revision, SECOND))
    assert source.config().revision == 4
    source._replace(early)
    assert source.config().revision == 4


def test_all_documents_are_read_only_once(store, source):
    """Guards against reading a large configuration again and again over a slow link."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    source.refresh()
    reads = store.call_counts()["read"]
    documents.write("op/config", b"4")
    written = store.call_counts()["read"] - reads
    assert source.refresh().revision == 4
    source.refresh()
    assert store.call_counts()["read"] - reads == written


def test_documents_are_read_again_after_history_is_dropped(store, clock, source, monkeypatch):
    """Guards against changes that are missed because the store no longer has their history."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    source.refresh()
    documents.write("op/config", b"4")

    def gone(*args):
        raise StoreError("unexpected status 410")

    monkeypatch.setattr(store, "watch", gone)
    assert source.refresh().revision == 4
    assert source.age() == timedelta()


def test_store_outage_does_not_cause_a_full_read(store, source):
    """Guards against all processes reading all documents when the store is available again."""
    Documents(store).write("op/config", b"3")
    source.refresh()
    store.set_faults(outage="refuse")
    with pytest.raises(StoreUnavailableError):
        source.refresh()
    store.set_faults(outage="")
    reads = store.call_counts()["read"]
    source.refresh()
    assert store.call_counts()["read"] == reads


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_responses_of_two_threads_in_either_order(store, source, order):
    """Guards against a data centre that an outdated response puts back into use."""
    documents = Documents(store)
    documents.write("op/config", b"3")
    source.refresh()
    start = store.list("op/").revision
    documents.write("op/out/east", b"{}")
    early = store.watch("op/", start, SECOND)
    documents.remove("op/out/east")
    documents.write("op/out/east", b"{}")
    responses = [early, store.watch("op/", start, SECOND)]
    for index in order:
        source._merge(responses[index])
    assert source.config().data_centres_out == {"east"}


def test_documents_read_before_the_configuration_are_kept(store, source):
    """Guards against losing an evacuation that was read before there was a configuration."""
    documents = Documents(store)
    documents.write("op/out/east", b"{}")
    assert source.refresh() is None
    documents.write("op/config", b"3")
    assert source.refresh().data_centres_out == {"east"}

"""Rules of the store interface, on the fake and on the HTTP adapter with the stand-in server."""

from datetime import timedelta

import pytest
from mulberryslip import Committed, Conflict, ManualClock, Unknown
from mulberryslip.exceptions import LeaseExpiredError, StoreUnavailableError, ValueTooLargeError
from mulberryslip.stores import MAX_VALUE_BYTES, HTTPStore, StoredValue
from mulberryslip_testing.fakes import FakeStore
from mulberryslip_testing.stores import StoreServer

TTL = timedelta(seconds=3)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def server(clock):
    server = StoreServer(clock=clock, threads=4)
    server.start()
    yield server
    server.stop()


@pytest.fixture(params=["fake", "http"])
def store(request, clock):
    if request.param == "fake":
        yield FakeStore(clock)
        return
    store = HTTPStore(request.getfixturevalue("server").base_url)
    yield store
    store.close()


def test_put_takes_effect_only_with_the_expected_version(store):
    """Guards against lost updates: of two writers with one version, one must be refused."""
    assert store.put("a", b"1", 0) == Committed(1)
    assert store.put("a", b"2", 0) == Conflict(1)
    assert store.put("b", b"3", 7) == Conflict(0)
    assert store.get("a") == StoredValue("a", b"1", 1)
    assert store.put("a", b"2", 1) == Committed(2)


def test_version_never_repeats_after_a_delete(store):
    """Guards against a writer that was paused across delete and re-creation of its key."""
    store.put("a", b"1", 0)
    assert store.delete("a", 9) == Conflict(1)
    assert isinstance(store.delete("a", 1), Committed)
    assert store.get("a") is None
    assert store.put("a", b"2", 0) == Committed(3)
    assert store.put("a", b"3", 1) == Conflict(3)


def test_expired_lease_deletes_its_keys_and_refuses_writes(store, clock):
    """Guards against registrations that outlive their process."""
    lease = store.grant_lease(TTL)
    store.put("entries/1", b"x", 0, lease)
    clock.advance(TTL / 2)
    assert store.renew_lease(lease)
    clock.advance(TTL * 0.9)
    assert store.get("entries/1") is not None
    clock.advance(TTL * 0.1)
    assert store.get("entries/1") is None
    assert not store.renew_lease(lease)
    with pytest.raises(LeaseExpiredError):
        store.put("entries/1", b"x", 0, lease)


def test_watch_reports_changes_and_deletions_once(store):
    """Guards against a watcher that misses the deletion of a key or sees a change twice."""
    store.put("p/a", b"1", 0)
    store.put("p/b", b"2", 0)
    store.put("q/c", b"3", 0)
    revision = store.list("p/").revision
    store.delete("p/a", 1)
    listing = store.watch("p/", revision, timedelta(seconds=1))
    assert listing.values == (StoredValue("p/a", b"", 0),)
    assert store.watch("p/", listing.revision, timedelta(milliseconds=20)).values == ()


def test_value_over_the_limit_is_refused(store):
    """Guards against a snapshot that the real store would refuse."""
    assert store.put("a", b"x" * MAX_VALUE_BYTES, 0) == Committed(1)
    with pytest.raises(ValueTooLargeError):
        store.put("a", b"x" * (MAX_VALUE_BYTES + 1), 1)


def test_fake_write_faults():
    """Guards against a fake that cannot produce the outcomes which callers must tell apart."""
    store = FakeStore(ManualClock())
    store.lose_answers()
    assert isinstance(store.put("a", b"1", 0), Unknown)
    assert store.get("a").value == b"1"
    store.lose_calls()
    assert isinstance(store.put("a", b"2", 1), Unknown)
    assert store.get("a").value == b"1"
    store.set_faults(outage="refuse")
    with pytest.raises(StoreUnavailableError):
        store.put("a", b"2", 1)
    with pytest.raises(StoreUnavailableError):
        store.get("a")
    store.set_faults(outage="drop")
    assert isinstance(store.put("a", b"2", 1), Unknown)

"""Tests of the store interface, on the fake store and on the HTTP clients with test servers."""

import contextlib
import json
import socketserver
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import Committed, Conflict, ManualClock, SystemClock, Unknown
from mulberryslip.exceptions import (
    InvalidMessageError,
    LeaseExpiredError,
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
)
from mulberryslip.stores import (
    MAX_VALUE_BYTES,
    HTTPStore,
    Listing,
    StoredValue,
    listing_from_json,
    listing_to_json,
)
from mulberryslip.transports import HTTPTransport
from mulberryslip_platform import PlatformStore
from mulberryslip_testing.fakes import FakeStore
from mulberryslip_testing.proxies import Direction, Proxy
from mulberryslip_testing.stores import StoreServer
from mulberryslip_testing.waits import wait_until
from platform_doubles import PlatformStoreServer

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


@pytest.fixture(params=["fake", "http", "platform"])
def store(request, clock):
    if request.param == "fake":
        yield FakeStore(clock)
        return
    if request.param == "platform":
        platform_server = PlatformStoreServer(clock)
        store = PlatformStore(platform_server.url)
        yield store
        store.close()
        platform_server.stop()
        return
    store = HTTPStore(request.getfixturevalue("server").base_url)
    yield store
    store.close()


def test_put_requires_the_expected_version(store):
    """Guards against lost updates: of two writes with the same version, one must be refused."""
    assert store.put("a", b"1", 0) == Committed(1)
    assert store.put("a", b"2", 0) == Conflict(1)
    assert store.put("b", b"3", 7) == Conflict(0)
    assert store.get("a") == StoredValue("a", b"1", 1)
    assert store.put("a", b"2", 1) == Committed(2)


def test_version_is_not_reused_after_a_delete(store):
    """Guards against a stale write after its key was deleted and created again."""
    store.put("a", b"1", 0)
    assert store.delete("a", 9) == Conflict(1)
    assert isinstance(store.delete("a", 1), Committed)
    assert store.get("a") is None
    assert store.put("a", b"2", 0) == Committed(3)
    assert store.put("a", b"3", 1) == Conflict(3)


def test_expired_lease_deletes_its_keys_and_refuses_writes(store, clock):
    """Guards against registrations that remain after their process has ended."""
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
    """Guards against a watch that misses the deletion of a key or reports a change twice."""
    store.put("p/a", b"1", 0)
    store.put("p/b", b"2", 0)
    store.put("q/c", b"3", 0)
    revision = store.list("p/").revision
    store.delete("p/a", 1)
    listing = store.watch("p/", revision, timedelta(seconds=1))
    assert listing.values == (StoredValue("p/a", b"", 0),)
    assert store.watch("p/", listing.revision, timedelta(milliseconds=20)).values == ()


def test_value_over_the_limit_is_refused(store):
    """Guards against a snapshot that exceeds the limit of the real store."""
    assert store.put("a", b"x" * MAX_VALUE_BYTES, 0) == Committed(1)
    with pytest.raises(ValueTooLargeError):
        store.put("a", b"x" * (MAX_VALUE_BYTES + 1), 1)


def test_fake_write_faults():
    """Guards against a fake that cannot produce every outcome that callers must handle."""
    store = FakeStore(ManualClock())
    store.lose_responses()
    assert isinstance(store.put("a", b"1", 0), Unknown)
    assert store.get("a").value == b"1"
    store.lose_writes()
    assert isinstance(store.put("a", b"2", 1), Unknown)
    assert store.get("a").value == b"1"
    store.set_faults(outage="refuse")
    with pytest.raises(StoreUnavailableError):
        store.put("a", b"2", 1)
    with pytest.raises(StoreUnavailableError):
        store.get("a")
    store.set_faults(outage="drop")
    assert isinstance(store.put("a", b"2", 1), Unknown)


@pytest.fixture
def live_server():
    server = StoreServer(threads=8)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def proxy(live_server):
    # Four connections of a client, and four that replace them.
    proxy = Proxy("127.0.0.1", live_server.port, expected_connections=8)
    yield proxy
    proxy.stop()


@pytest.fixture
def http_store(proxy):
    store = HTTPStore(f"http://127.0.0.1:{proxy.port}", timeout=timedelta(milliseconds=200))
    yield store
    store.close()


def set_faults(server, **faults):
    """Set faults over the HTTP interface of the server."""
    url = f"{server.base_url}/admin/faults"
    resp = urllib3.request("PUT", url, body=json.dumps(faults).encode())
    assert resp.status == 200, resp.data


def write(store, key="a", value=b"2", version=1):
    """Write a key and return the name of the outcome."""
    try:
        return type(store.put(key, value, version)).__name__
    except StoreUnavailableError:
        return "unavailable"


@pytest.mark.parametrize(
    ("faults", "outcome", "value"),
    [
        ({"outage": "refuse"}, "unavailable", b"1"),
        ({"outage": "drop"}, "Unknown", b"1"),
        ({"writes_per_s": 0.001}, "unavailable", b"1"),
        ({"lost_answer_probability": 1}, "Unknown", b"2"),
        ({"lost_call_probability": 1}, "Unknown", b"1"),
        ({"delay_ms": 400}, "Unknown", b"2"),
    ],
)
def test_server_faults_map_to_the_correct_outcomes(live_server, http_store, faults, outcome, value):
    """Guards against a committed write reported as unavailable, and against hidden retries."""
    assert http_store.put("a", b"1", 0) == Committed(1)
    set_faults(live_server, **faults)
    if "writes_per_s" in faults:
        http_store.put("b", b"", 0)
    before = http_store.call_counts()["write"]
    assert write(http_store) == outcome
    assert http_store.call_counts()["write"] == before + 1
    assert wait_until(lambda: live_server.application.state.get("a").value == value)


def test_write_that_was_not_sent_is_not_unknown(proxy, http_store):
    """Guards against an unknown outcome after a refused connection."""
    proxy.disconnect()
    assert write(http_store) == "unavailable"


@pytest.mark.parametrize("count", [0, 10, 60, 130])
def test_truncated_response_leaves_a_write_unknown(proxy, http_store, count):
    """Guards against reading a version from a truncated response."""
    proxy.truncate(Direction.TO_CLIENT, count)
    assert write(http_store, version=0) == "Unknown"
    with pytest.raises(StoreUnavailableError):
        http_store.list("")


def test_trickling_response_ends_at_the_timeout(proxy, http_store):
    """Guards against a thread, such as the session's, blocked for minutes by one response."""
    http_store.put("a", b"x" * 5000, 0)
    proxy.throttle(2000)
    started = time.monotonic()
    with pytest.raises(StoreUnavailableError):
        http_store.get("a")
    assert time.monotonic() - started < 1.0
    proxy.restore()
    assert http_store.get("a") is not None


@pytest.mark.parametrize(("is_replaced", "timeouts"), [(True, 1), (False, 4)])
def test_unresponsive_connections_are_replaced_after_one_timeout(
    proxy, monkeypatch, is_replaced, timeouts
):
    """Guards against unresponsive connections in a pool that cost one timeout each.

    The second case shows that each costs a timeout when the pool is not replaced.
    """
    if not is_replaced:
        monkeypatch.setattr(HTTPTransport, "_replace_pool", lambda *_: None)
    url = f"http://127.0.0.1:{proxy.port}"
    store = HTTPStore(url, timeout=timedelta(milliseconds=200), max_connections=4)
    proxy.delay(timedelta(milliseconds=20))
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(store.get, "abcd" * 5))
        assert proxy.accepted == 4
        proxy.blackhole_open_connections()
        failures = int(is_unavailable(store, "a"))
        failures += sum(pool.map(is_unavailable, [store] * 16, "abcd" * 4))
    assert failures == timeouts
    store.close()


def is_unavailable(store, key):
    """Return whether a read raises `StoreUnavailableError`."""
    try:
        store.get(key)
    except StoreUnavailableError:
        return True
    return False


def test_connections_are_bounded(live_server, proxy):
    """Guards against one connection per thread while the store is slow."""
    store = HTTPStore(f"http://127.0.0.1:{proxy.port}", max_connections=2)
    set_faults(live_server, delay_ms=20)
    with ThreadPoolExecutor(16) as pool:
        assert list(pool.map(store.get, "abcdefghijklmnop")) == [None] * 16
    assert proxy.accepted == 2
    store.close()


def test_server_counts_calls(live_server, http_store):
    """Guards against call counters that miss some calls."""
    http_store.put("a b/\u00e4?", b"1", 0)
    assert http_store.get("a b/\u00e4?").value == b"1"
    http_store.list("a")
    http_store.grant_lease(TTL)
    http_store.watch("a", 0, TTL)
    resp = urllib3.request("GET", f"{live_server.base_url}/v1/counters")
    assert resp.json()["calls"] == {"read": 2, "write": 1, "lease": 1, "watch": 1}
    assert resp.json()["calls"] == http_store.call_counts()


def test_server_refuses_unknown_faults_and_paths(live_server):
    """Guards against a test that passes because the name of a fault is misspelled."""
    for path, body, status in [
        ("/admin/faults", b'{"outtage": "drop"}', 400),
        ("/admin/faults", b'{"outage": "maybe"}', 400),
        ("/v1/kv/a", b"", 400),
        ("/v1/nothing", b"", 404),
    ]:
        assert urllib3.request("PUT", live_server.base_url + path, body=body).status == status


def overwrite(position, data):
    """Return an encoded listing with some bytes replaced."""
    valid = listing_to_json(Listing((StoredValue("a", b"xyz", 3),), 4))
    return valid[:position] + data + valid[position + len(data) :]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    body=st.binary(max_size=60) | st.builds(overwrite, st.integers(0, 200), st.binary(max_size=3))
)
def test_listing_decoder_raises_only_invalid_message_error(body):
    """Guards against another exception from a malformed listing, which would end a watch thread."""
    try:
        listing = listing_from_json(body)
    except InvalidMessageError:
        return
    assert all(isinstance(value.value, bytes) for value in listing.values)


def test_waiting_watch_fails_during_an_outage():
    """Guards against a waiting watch that still reports expired leases during an outage."""
    store = FakeStore(SystemClock())
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(store.watch, "p/", 0, timedelta(milliseconds=300))
        assert wait_until(lambda: store.call_counts()["watch"])
        store.set_faults(outage="refuse")
        with pytest.raises(StoreUnavailableError):
            fut.result(5)


class RawHandler(socketserver.StreamRequestHandler):
    """Sends the bytes `server.response` on each connection."""

    def handle(self):
        self.request.recv(65536)
        self.request.sendall(self.server.response)


RESPONSES = st.binary(max_size=60) | st.builds(
    lambda status, name, value, body: (
        b"HTTP/1.1 %d X\r\n%s: %s\r\n\r\n%s" % (status, name, value, body)
    ),
    st.sampled_from([100, 200, 204, 301, 404, 409, 418, 429, 500]),
    st.sampled_from([b"Version", b"Content-Length", b"Transfer-Encoding", b"Content-Encoding"]),
    st.sampled_from([b"1", b"-1", b"x", b"12", b"chunked", b"gzip", b"\xff"]),
    st.sampled_from(
        [b"", b"{}", b"[]", b'{"version": "1"}', b'{"version": 1}', b"\xff", b"x" * 99]
    ),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(response=RESPONSES)
def test_malformed_responses_raise_only_store_errors(response):
    """Guards against another exception from a malformed response, which would end a thread."""
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), RawHandler) as server:
        server.response = response
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        url = f"http://127.0.0.1:{server.server_address[1]}"
        store = HTTPStore(url, timeout=timedelta(milliseconds=200))
        with contextlib.suppress(StoreUnavailableError, LeaseExpiredError):
            assert isinstance(store.put("a", b"1", 0), Committed | Conflict | Unknown)
        for call in (
            lambda: store.get("a"),
            lambda: store.list("a"),
            lambda: store.renew_lease("a"),
        ):
            with contextlib.suppress(StoreError):
                call()
        server.shutdown()


def test_process_serves_and_stops_on_sigterm():
    """Guards against a test server that cannot be started as a process."""
    command = [sys.executable, "-m", "mulberryslip_testing.stores", "--port=0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        url = process.stdout.readline().split()[-1]
        store = HTTPStore(url, timeout=timedelta(seconds=5))
        assert store.put("a", b"1", 0) == Committed(1)
        store.close()
        process.terminate()
        assert process.wait(10) == 0

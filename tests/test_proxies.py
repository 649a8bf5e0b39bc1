"""Tests of the TCP proxy that simulates a faulty network."""

import contextlib
import selectors
import socket
import threading
import time
from datetime import timedelta

import pytest
from mulberryslip_testing.proxies import Direction, Proxy

BOTH = tuple(Direction)


class EchoServer:
    """Echo server that counts the received bytes.

    One thread serves all connections, since the start of another may take longer than the tests
    wait for an answer.
    """

    def __init__(self):
        self.received = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, self._accept)
        self._stopped = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopped = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _serve(self):
        while not self._stopped:
            for key, _ in self._selector.select(0.01):
                key.data(key.fileobj)

    def _accept(self, listener):
        sock, _ = listener.accept()
        self._selector.register(sock, selectors.EVENT_READ, self._answer)

    def _answer(self, sock):
        with contextlib.suppress(OSError):
            if data := sock.recv(65536):
                self.received += len(data)
                sock.sendall(data)
                return
        self._selector.unregister(sock)
        sock.close()


@pytest.fixture
def echo():
    server = EchoServer()
    yield server
    server.stop()


@pytest.fixture
def proxy(echo):
    proxy = Proxy("127.0.0.1", echo.port)
    yield proxy
    proxy.stop()


def connect(proxy):
    sock = socket.create_connection((proxy.host, proxy.port), 5)
    sock.settimeout(0.3)
    return sock


def exchange(sock, data=b"ping"):
    """Send bytes and return the echoed bytes, fewer if the connection closes.

    :raises TimeoutError: if the bytes do not arrive within the timeout of the socket.
    """
    sock.sendall(data)
    return receive(sock, len(data))


def receive(sock, count):
    received = b""
    while len(received) < count:
        chunk = sock.recv(65536)
        if not chunk:
            break
        received += chunk
    return received


def test_forwards_large_messages_unchanged(proxy):
    """Guards against a proxy that corrupts traffic while no fault is set."""
    data = bytes(range(256)) * 8000
    with connect(proxy) as sock:
        sock.settimeout(5)
        sender = threading.Thread(target=sock.sendall, args=(data,))
        sender.start()
        assert receive(sock, len(data)) == data
        sender.join()


def test_delay_applies_in_each_direction(proxy):
    """Guards against tests of distant data centres that run without the delay."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.delay(timedelta(milliseconds=30), timedelta(milliseconds=10))
        started = time.monotonic()
        assert exchange(sock) == b"ping"
        assert 0.06 <= time.monotonic() - started < 0.3


@pytest.mark.parametrize(
    ("directions", "received"),
    [((Direction.TO_SERVER,), 4), ((Direction.TO_CLIENT,), 8), (BOTH, 4), ((), 4)],
)
def test_silence_keeps_the_connection_open(proxy, echo, directions, received):
    """Guards against a silenced connection that fails visibly, and against its reuse afterwards."""
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"
        proxy.blackhole(*directions)
        with pytest.raises(TimeoutError):
            exchange(sock)
        assert echo.received == received
        proxy.restore()
        with pytest.raises(ConnectionError):
            exchange(sock)
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"


def test_silence_open_does_not_affect_new_connections(proxy):
    """Guards against silencing new connections along with the open ones."""
    with connect(proxy) as old, connect(proxy) as new:
        assert exchange(old) == b"ping"
        assert exchange(new) == b"ping"
        proxy.blackhole_open_connections()
        with pytest.raises(TimeoutError):
            exchange(old)
        with connect(proxy) as fresh:
            assert exchange(fresh) == b"ping"


def test_drop_resets_open_connections_only(proxy):
    """Guards against a reset that the peer takes for a regular end of the stream."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.reset_connections()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"


def test_cut_refuses_until_restored(proxy):
    """Guards against a partition that accepts new connections."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.disconnect()
        assert sock.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        connect(proxy)
    port = proxy.port
    proxy.restore()
    assert proxy.port == port
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"


@pytest.mark.parametrize("count", [0, 1, 3])
def test_truncate_closes_after_the_byte_count(proxy, count):
    """Guards against tests of truncated responses that receive complete ones."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.truncate(Direction.TO_CLIENT, count)
        assert exchange(sock) == b"ping"[:count]
        assert sock.recv(1) == b""
    proxy.restore()
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"


def test_new_connections_wait_for_no_thread_to_start(proxy, monkeypatch):
    """Guards against delays of new connections on a busy machine, where new threads run late."""
    start = threading.Thread.start

    def start_late(thread):
        time.sleep(2)
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_late)
    with connect(proxy) as first, connect(proxy) as second:
        assert exchange(first) == b"ping"
        assert exchange(second) == b"ping"

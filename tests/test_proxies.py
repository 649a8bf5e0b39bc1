"""Tests of the TCP proxy that simulates a faulty network."""

import contextlib
import socket
import socketserver
import threading
import time
from datetime import timedelta

import pytest
from mulberryslip_testing.proxies import Direction, Proxy

BOTH = tuple(Direction)


class Echo(socketserver.BaseRequestHandler):
    """Echo handler that counts the received bytes on the server object."""

    def handle(self):
        with contextlib.suppress(OSError):
            while data := self.request.recv(65536):
                self.server.received += len(data)
                self.request.sendall(data)


@pytest.fixture
def echo():
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Echo)
    server.daemon_threads = True
    server.received = 0
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def proxy(echo):
    proxy = Proxy("127.0.0.1", echo.server_address[1])
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
        proxy.silence(*directions)
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
        proxy.silence_open()
        with pytest.raises(TimeoutError):
            exchange(old)
        with connect(proxy) as fresh:
            assert exchange(fresh) == b"ping"


def test_drop_resets_open_connections_only(proxy):
    """Guards against a reset that the peer takes for a regular end of the stream."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.drop()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    with connect(proxy) as sock:
        assert exchange(sock) == b"ping"


def test_cut_refuses_until_restored(proxy):
    """Guards against a partition that accepts new connections."""
    with connect(proxy) as sock:
        exchange(sock)
        proxy.cut()
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

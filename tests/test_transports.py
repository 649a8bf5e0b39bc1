"""Tests of HTTP calls over slow links."""

import socket
import threading
from datetime import timedelta

import pytest
import urllib3
from mulberryslip.transports import CONNECT_ATTEMPTS, MIN_BYTES_PER_S, HTTPTransport

TIMEOUT = timedelta(milliseconds=200)


def serve_slowly(sock, size, rate):
    """Send one HTTP response slowly.

    :param sock: listening socket.
    :param size: length of the body in bytes.
    :param rate: transfer rate in bytes per second.
    """
    conn, _ = sock.accept()
    with conn:
        conn.recv(65536)
        conn.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        pause = threading.Event()
        chunk_size = max(1, rate // 20)
        try:
            for start in range(0, size, chunk_size):
                conn.sendall(b"x" * min(chunk_size, size - start))
                pause.wait(0.05)
        except OSError:
            # The client has closed the connection.
            return


@pytest.fixture
def server():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


def call(sock, size, rate):
    thread = threading.Thread(target=serve_slowly, args=(sock, size, rate), daemon=True)
    thread.start()
    transport = HTTPTransport(f"http://127.0.0.1:{sock.getsockname()[1]}", TIMEOUT)
    try:
        return transport.send("GET", "/x", {}, None)
    finally:
        transport.close()
        thread.join(5)


def test_large_response_arrives_over_a_slow_link(server):
    """Guards against a timeout that a large configuration always exceeds on a slow link."""
    assert len(call(server, 6 * MIN_BYTES_PER_S, 6 * MIN_BYTES_PER_S).body) == 6 * MIN_BYTES_PER_S


def test_trickling_response_is_aborted(server):
    """Guards against a thread that is blocked for minutes by a response that trickles in."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(server, MIN_BYTES_PER_S, MIN_BYTES_PER_S // 10)


CONNECT_TIMEOUT = urllib3.exceptions.ConnectTimeoutError("timed out")
READ_TIMEOUT = urllib3.exceptions.ReadTimeoutError(None, "/x", "timed out")
REFUSED = urllib3.exceptions.NewConnectionError(None, "refused")


@pytest.mark.parametrize(
    ("errors", "is_sent"),
    [
        ([CONNECT_TIMEOUT], True),
        ([CONNECT_TIMEOUT] * (CONNECT_ATTEMPTS - 1), True),
        ([CONNECT_TIMEOUT] * CONNECT_ATTEMPTS, False),
        ([REFUSED], False),
        ([READ_TIMEOUT], False),
    ],
    ids=["one lost packet", "several", "unreachable", "refused", "request lost"],
)
def test_only_lost_connection_attempts_are_repeated(server, monkeypatch, errors, is_sent):
    """Guards against a call that fails for one lost packet, and against a request sent twice.

    Load: all processes of a fleet restart and connect to the store at the same moment.
    """
    errors = list(errors)
    transport = HTTPTransport(f"http://127.0.0.1:{server.getsockname()[1]}", TIMEOUT)
    pool = transport._pools[False]
    urlopen = pool.urlopen
    connect_timeouts = []

    def fail_first(*args, timeout, **kwargs):
        connect_timeouts.append(timeout.connect_timeout)
        if errors:
            raise errors.pop(0)
        return urlopen(*args, timeout=timeout, **kwargs)

    monkeypatch.setattr(pool, "urlopen", fail_first)
    if is_sent:
        serving = threading.Thread(
            target=serve_slowly, args=(server, 10, MIN_BYTES_PER_S), daemon=True
        )
        serving.start()
        assert transport.send("POST", "/x", {}, b"").body == b"x" * 10
        serving.join(5)
    else:
        with pytest.raises(urllib3.exceptions.HTTPError):
            transport.send("POST", "/x", {}, b"")
    transport.close()
    assert errors == []
    assert sum(connect_timeouts) <= TIMEOUT.total_seconds() + 1e-9

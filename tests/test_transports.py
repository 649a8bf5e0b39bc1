"""HTTP calls over slow links."""

import socket
import threading
from datetime import timedelta

import pytest
import urllib3
from mulberryslip.transports import MIN_BYTES_PER_S, HTTPTransport

TIMEOUT = timedelta(milliseconds=200)


def serve_slowly(sock, size, rate):
    """Answer one call with a body of some bytes at a rate in bytes a second."""
    conn, _ = sock.accept()
    with conn:
        conn.recv(65536)
        conn.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        pause = threading.Event()
        part = max(1, rate // 20)
        try:
            for start in range(0, size, part):
                conn.sendall(b"x" * min(part, size - start))
                pause.wait(0.05)
        except OSError:
            # The caller has given up.
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


def test_large_answer_over_a_small_link_arrives(server):
    """Guards against a configuration that no process on a small link ever reads."""
    assert len(call(server, 6 * MIN_BYTES_PER_S, 6 * MIN_BYTES_PER_S).body) == 6 * MIN_BYTES_PER_S


def test_trickling_answer_is_cut(server):
    """Guards against a thread that is held for minutes by an answer that hardly moves."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(server, MIN_BYTES_PER_S, MIN_BYTES_PER_S // 10)

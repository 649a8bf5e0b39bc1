"""HTTP server on top of cheroot that reads a request before it gets a thread.

cheroot waits for the first bytes of a request with a selector, and then a thread reads the rest
with blocking calls. Here, the selector's thread also receives the rest and sends what a client does
not read at once, without blocking, so that slow clients occupy no thread. cheroot parses requests,
calls the application and writes responses.

Each connection is used by one thread at a time: by the selector's thread while it waits for the
client, and by a thread of the pool while its request is served.
"""

import contextlib
import enum
import io
import queue
import selectors
import socket
import threading
import time
from datetime import timedelta
from typing import Any

from cheroot import connections, server, wsgi
from mulberryslip.events import Event, log

from .chunked_bodies import BodyTooLargeError, ChunkedBody, MalformedChunkError
from .client_limits import (
    SERVED_COPIES,
    ClientLimits,
    Clients,
    ConnectionCounts,
    ConnectionMemory,
    largest_transfer,
    replaceable,
)
from .responses import (
    CONNECTION_CLOSE,
    MAX_BODY_BYTES,
    MEMORY_KEY,
    QUEUE_TIME_KEY,
    RETRY_AFTER_S,
    Application,
)

MAX_HEADER_BYTES = 32 * 1024
MAX_HEADER_LINES = 200
"""Limit on header fields. 32 KiB hold 8,000 short ones, which take 1.6 MB when they are parsed."""

FIELD_BYTES = 200
"""Memory of a parsed header field beside its text: two objects and an entry of a dictionary."""

IDLE_TIMEOUT = timedelta(seconds=30)
IDLE_WHILE_STOPPING = timedelta(milliseconds=200)
LISTEN_BACKLOG = 128
MAX_QUEUED_REQUESTS = 128
QUEUE_TIMEOUT = timedelta(milliseconds=10)
RECEIVE_BYTES = 64 * 1024

SEND_BUFFER_BYTES = 128 * 1024
"""Size of the kernel's buffer for responses; by default it grows to several megabytes."""

_END_OF_HEAD = b"\r\n\r\n"
_CLOSE_HEADER = next(iter(CONNECTION_CLOSE.items()))
_OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
    b"Retry-After: %d\r\n\r\n" % RETRY_AFTER_S
)


class _Progress(enum.Enum):
    """State of a connection after all that is possible without waiting has been done."""

    WAITING = enum.auto()
    COMPLETE = enum.auto()
    FINISHED = enum.auto()


class _Gateway(wsgi.Gateway_10):
    """Passes what the listener knows to the application, and closes connections on its behalf."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        conn = self.req.conn
        environ[QUEUE_TIME_KEY] = timedelta(seconds=time.monotonic() - conn.ready_at)
        environ[MEMORY_KEY] = conn.memory
        return environ

    def start_response(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None):
        # cheroot sends this header but does not close the connection.
        if _CLOSE_HEADER in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Request(server.HTTPRequest):
    """Request whose head is parsed once, before its body has arrived."""

    def parse_request(self) -> None:
        if not self.ready:
            super().parse_request()


class _ReceivedFile(io.BytesIO):
    """Part of a request that has arrived, as the file that cheroot reads from."""


class _ResponseFile:
    """File that cheroot writes responses to; keeps what the client does not read at once."""

    def __init__(self, sock: socket.socket):
        self.unsent = bytearray()
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Send data, or keep it until `flush`."""
        sent = 0 if self.unsent else self._send(data)
        self.unsent += memoryview(data)[sent:]
        return len(data)

    def flush(self) -> None:
        """Send what the client has room for."""
        if self.unsent:
            del self.unsent[: self._send(self.unsent)]

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> _ReceivedFile | _ResponseFile:
    return _ReceivedFile() if "r" in mode else _ResponseFile(sock)


class _Connection(server.HTTPConnection):
    """Connection that receives a whole request before it is served.

    :param ready_at: monotonic time in seconds at which the request was complete.
    """

    def __init__(self, http_server: "_Server", sock: socket.socket, makefile: Any = None):
        super().__init__(http_server, sock, _make_file)
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.ready_at = 0.0
        self.is_new = True
        self.is_counted = False
        self.memory = ConnectionMemory(
            http_server.clients.memory, http_server.clients.limits.max_marks
        )
        self._received = bytearray()
        self._searched = 0
        self._request: _Request | None = None
        self._head_bytes = 0
        self._chunks: ChunkedBody | None = None
        self._is_finishing = False
        self._transfer_began: float | None = None
        self._idle_since = time.monotonic()

    def RequestHandlerClass(self, http_server: "_Server", conn: Any) -> _Request:  # noqa: N802
        """Return the request that has arrived; cheroot calls this as a class."""
        return self._request

    def communicate(self) -> bool:
        """Serve the request that has arrived.

        :returns: whether the connection is still needed.
        """
        is_kept = super().communicate()
        self._request = None
        # Otherwise, a connection would hold the body of its last request.
        self.rfile = _ReceivedFile()
        self._is_finishing = not is_kept
        self.memory.release_serving()
        return is_kept or bool(self.wfile.unsent)

    def wait(self) -> int:
        """Prepare to wait for the client; return the selector's event."""
        self._idle_since = time.monotonic()
        if self._transfer_began is None and (self.wfile.unsent or self._received):
            self._transfer_began = self._idle_since
        self.memory.take_transfer(self._held_bytes())
        # A pipelined request that has arrived is served at once, as a connection can be written to.
        is_writing = self.wfile.unsent or self._is_finishing or self._may_be_complete()
        return selectors.EVENT_WRITE if is_writing else selectors.EVENT_READ

    def waiting_since(self) -> float:
        """Return the monotonic time in seconds at which its transfer or its idle time began."""
        return self._idle_since if self._transfer_began is None else self._transfer_began

    def expiry_reason(self, now: float, idle_timeout: float) -> str | None:
        """Return why the connection is to be closed: empty when it is idle, None when it is not.

        :param now: monotonic time in seconds.
        :param idle_timeout: in seconds.
        """
        if self._transfer_began is None:
            return "" if now - self._idle_since > idle_timeout else None
        timeout = self.server.clients.limits.transfer_timeout.total_seconds()
        if now - self._transfer_began <= timeout:
            return None
        return "unread_response" if self.wfile.unsent else "slow_request"

    def advance(self) -> _Progress:
        """Send and receive what is possible without waiting.

        The next request is received only once the last response has been sent.

        :raises OSError: the connection is broken.
        """
        if self.wfile.unsent:
            self.wfile.flush()
            if self.wfile.unsent:
                return _Progress.WAITING
            self._transfer_began = None
        if self._is_finishing:
            return _Progress.FINISHED
        if self._received and self._may_be_complete() and self._is_complete():
            return self._complete()
        if not self._is_finishing:
            self._receive()
        if not self._is_finishing and self._received and self._is_complete():
            return self._complete()
        if self._is_finishing and not self.wfile.unsent:
            return _Progress.FINISHED
        return _Progress.WAITING

    def reject(self, response: bytes) -> None:
        """Respond if no response has begun, and drop what has arrived.

        The connection is shut down, so that the selector reports it and it is closed.
        """
        if not self.wfile.unsent:
            with contextlib.suppress(OSError):
                self.wfile.write(response)
        self._is_finishing = True
        self._received.clear()
        self._drop_request()
        self.wfile.unsent.clear()
        self.memory.take_transfer(0)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket, and release what the connection holds.

        cheroot's connections are parts of reference cycles, so the buffers are released here.
        """
        self._received = bytearray()
        self._drop_request()
        self.wfile.unsent = bytearray()
        self.memory.take_transfer(0)
        self.memory.release_serving()
        self.server.forget(self)
        super().close()

    def _receive(self) -> None:
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        if data:
            if self._transfer_began is None:
                self._transfer_began = time.monotonic()
            self._received += data
            if not self.server.make_room(self, self._held_bytes()):
                self._received.clear()
                self._refuse(_OVERLOADED)
        elif self._request is not None:
            self._fail("400 Bad Request", "The connection ended before the body was complete")
        elif self._received:
            self._parse_head(len(self._received))
            self._is_finishing = True
        else:
            self._is_finishing = True

    def _held_bytes(self) -> int:
        chunked = len(self._chunks.body) if self._chunks else 0
        return len(self._received) + self._head_bytes + chunked + len(self.wfile.unsent)

    def _may_be_complete(self) -> bool:
        """Return whether received bytes have not been searched for the end of a request."""
        return self._request is None and len(self._received) > self._searched

    def _is_complete(self) -> bool:
        """Return whether a whole request has arrived; parse its head as soon as that has."""
        if self._request is None:
            start = max(0, self._searched - len(_END_OF_HEAD) + 1)
            end = self._received.find(_END_OF_HEAD, start)
            self._searched = len(self._received)
            if end >= 0:
                self._parse_head(end + len(_END_OF_HEAD))
            elif len(self._received) > MAX_HEADER_BYTES or self._has_bare_line_feed(start):
                # cheroot answers with the error.
                self._parse_head(len(self._received))
                self._is_finishing = True
        if self._is_finishing or self._request is None:
            return False
        if self._chunks is not None:
            return self._are_chunks_complete()
        return len(self._received) >= self._body_bytes()

    def _has_bare_line_feed(self, start: int) -> bool:
        received = self._received
        return received.count(b"\n", start) > received.count(b"\r\n", max(0, start - 1))

    def _parse_head(self, size: int) -> None:
        head = bytes(self._received[:size])
        del self._received[:size]
        self._searched = 0
        req = self._request = _Request(self.server, self)
        self._head_bytes = size + head.count(b"\n") * FIELD_BYTES
        self.rfile = _ReceivedFile(head)
        if head.count(b"\n") > MAX_HEADER_LINES:
            self._fail("431 Request Header Fields Too Large", "Too many header fields")
            return
        try:
            req.parse_request()
        except Exception as exc:
            self.server.error_log(repr(exc), traceback=True)
            self._fail("500 Internal Server Error")
            return
        if not req.ready:
            self._is_finishing = True
        elif req.chunked_read:
            self._chunks = ChunkedBody(self.server.max_request_body_size)

    def _body_bytes(self) -> int:
        # An invalid length is rejected by the application.
        return max(0, int(self._request.inheaders.get(b"Content-Length", 0)))

    def _are_chunks_complete(self) -> bool:
        try:
            return self._chunks.feed(self._received)
        except BodyTooLargeError as exc:
            self._fail("413 Request Entity Too Large", str(exc))
        except MalformedChunkError as exc:
            self._fail("400 Bad Request", str(exc))
        return False

    def _complete(self) -> _Progress:
        """Pass the body to cheroot's request; a chunked one as if it had come with its length."""
        req = self._request
        if self._chunks is not None:
            body = bytes(self._chunks.body)
            self._chunks = None
            req.chunked_read = False
            del req.inheaders[b"Transfer-Encoding"]
            req.inheaders[b"Content-Length"] = str(len(body)).encode()
        else:
            size = self._body_bytes()
            body = bytes(self._received[:size])
            del self._received[:size]
        self.rfile = _ReceivedFile(body)
        self._transfer_began = None
        self.ready_at = time.monotonic()
        served_bytes = SERVED_COPIES * len(body) + self._head_bytes
        self._head_bytes = 0
        self.memory.take_transfer(len(self._received))
        if self.memory.reserve_serving(served_bytes):
            return _Progress.COMPLETE
        self.server.record_rejection(self, "memory")
        self._refuse(_OVERLOADED)
        return _Progress.FINISHED

    def _drop_request(self) -> None:
        self._request = self._chunks = None
        self._head_bytes = 0

    def _refuse(self, response: bytes) -> None:
        self._drop_request()
        self._is_finishing = True
        self.wfile.write(response)

    def _fail(self, status: str, message: str = "") -> None:
        self._request.simple_response(status, message)
        self._drop_request()
        self._received.clear()
        self._is_finishing = True


class _Connections(connections.ConnectionManager):
    """Waits for clients; cheroot's waits only for the next request."""

    def put(self, conn: _Connection) -> None:
        """Wait until the client sends or has read more."""
        self._selector.register(conn.socket.fileno(), conn.wait(), data=conn)

    def waiting(self) -> list[_Connection]:
        """Return the connections that wait; call it in the selector's thread."""
        return [conn for _, conn in self._selector.connections if conn is not self.server]

    def _expire(self, threshold: float) -> None:
        """Close idle connections, and those whose transfer takes too long."""
        now = time.monotonic()
        for conn in self.waiting():
            reason = conn.expiry_reason(now, self.server.timeout)
            if reason is None:
                continue
            self._selector.unregister(conn.socket.fileno())
            if reason:
                self.server.record_rejection(conn, reason)
                conn.reject(b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
            conn.close()
        self.server.clients.rejections.flush()


class _Server(wsgi.Server):
    """Server that hands a connection to a thread once a whole request has arrived."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = None
    clients: Clients
    limits: ClientLimits
    counts: ConnectionCounts

    def prepare(self) -> None:
        """Open the socket and start the threads, with another manager of connections."""
        super().prepare()
        self._connections._selector.close()
        self._connections = _Connections(self)

    def process_conn(self, conn: _Connection) -> None:
        """Continue with a connection that is new, or that the selector reports."""
        if conn.is_new and not self._admit(conn):
            return
        try:
            progress = conn.advance()
        except OSError:
            progress = _Progress.FINISHED
        except Exception as exc:
            # The connection is no longer in the selector, so nothing else would close it.
            self.error_log(repr(exc))
            progress = _Progress.FINISHED
        if progress is _Progress.FINISHED:
            conn.close()
        elif progress is _Progress.WAITING:
            self.put_conn(conn)
        else:
            try:
                self.requests.put(conn)
            except queue.Full:
                self.record_rejection(conn, "queue")
                conn.reject(_OVERLOADED)
                conn.close()

    def make_room(self, conn: _Connection, size: int) -> bool:
        """Let a connection hold a number of bytes of a request, if need be in place of another."""
        while not conn.memory.reserve_transfer(size):
            largest = largest_transfer(self._connections.waiting(), size)
            if largest is None:
                self.record_rejection(conn, "memory")
                return False
            self.record_rejection(largest, "memory")
            largest.reject(_OVERLOADED)
        return True

    def record_rejection(self, conn: _Connection, reason: str) -> None:
        """Count a connection that is closed because of a limit."""
        self.clients.rejections.record(reason, conn.remote_addr)

    def forget(self, conn: _Connection) -> None:
        """Stop counting a connection."""
        if conn.is_counted:
            conn.is_counted = False
            self.counts.remove(conn.remote_addr)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Write cheroot's messages to the event log."""
        log(Event.CONNECTION_DROPPED, peer="", reason=str(msg), level=level)

    def _admit(self, conn: _Connection) -> bool:
        """Count a new connection; one over a limit replaces one that waits, if there is any."""
        conn.is_new = False
        conn.is_counted = True
        self.counts.add(conn.remote_addr)
        exceeds_address = self.counts.exceeds_address(conn.remote_addr)
        if not exceeds_address and not self.counts.exceeds_total():
            return True
        address = conn.remote_addr if exceeds_address else ""
        replaced = replaceable(self._connections.waiting(), address)
        self.record_rejection(replaced or conn, "connections")
        if replaced is None:
            conn.close()
            return False
        replaced.reject(b"")
        self.forget(replaced)
        return True


class HTTPListener:
    """One cheroot server in a background thread.

    :param host: IP address to listen on.
    :param port: TCP port; 0 selects a free one, see the attribute `port`.
    :param threads: number of requests that are served concurrently.
    :param clients: limits, memory and rejections of the clients of this process.
    :param connections: limit on connections of this port, if lower than that of the process.
    :param max_body_bytes: limit on the body of a request.
    :raises OSError: when the address is in use.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        threads: int,
        clients: Clients | None = None,
        connections: int | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self._server = _Server(
            (host, port),
            application,
            numthreads=threads,
            server_name="mulberryslip",
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT.total_seconds(),
            shutdown_timeout=1,
            accepted_queue_size=MAX_QUEUED_REQUESTS,
            accepted_queue_timeout=QUEUE_TIMEOUT.total_seconds(),
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes + 1
        self._server.clients = clients or Clients()
        limits = self._server.clients.limits
        self._server.limits = limits.restricted(connections) if connections else limits
        self._server.counts = ConnectionCounts(self._server.limits)
        self._prepare()
        self.port: int = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, name=f"http-{self.port}")
        self._thread.daemon = True

    def _prepare(self) -> None:
        """Open the socket and start the threads.

        Runs in a daemon thread because cheroot's threads inherit the daemon flag. Otherwise they
        would keep the process from exiting while one of them waits for a worker.
        """
        failures: list[BaseException] = []

        def prepare() -> None:
            try:
                self._server.prepare()
            except BaseException as exc:
                failures.append(exc)

        thread = threading.Thread(target=prepare, name="http-prepare", daemon=True)
        thread.start()
        thread.join()
        if failures:
            raise failures[0]

    def start(self) -> None:
        """Serve in a background thread."""
        self._thread.start()

    def expire_idle(self) -> None:
        """Close connections that are idle, now and from now on.

        The thread that reads requests closes them, so a request that has arrived is still served.
        It takes up to a second.
        """
        self._server.timeout = IDLE_WHILE_STOPPING.total_seconds()

    def close(self) -> None:
        """Stop accepting connections; open ones are still served.

        cheroot's own stop leaves up to 0.5 s between the last accept and the close of the socket;
        connections made in that time are reset together with their requests.
        """
        listening, self._server.socket = self._server.socket, None
        listening.close()

    def stop(self) -> None:
        """Close idle connections and end the threads; call `close` first."""
        self._server.stop()
        self._thread.join(1)

"""Thrift server for calls between mulberryslip processes."""

import contextlib
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from thrift.Thrift import TApplicationException, TMessageType, TProcessor
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer, TTransportException

from .channels import (
    DECODE_ERRORS,
    MAX_FRAME_BYTES,
    DeadlineSocket,
    FrameReader,
    MessageProtocol,
    validate,
)
from .clocks import Clock, SystemClock
from .events import Event, log
from .exceptions import InvalidMessageError

# Longer than the client's `IDLE_BEFORE_CLOSE`, so that normally the client closes first.
SERVER_IDLE_TIMEOUT = timedelta(seconds=60)
SERVER_TRANSFER_TIMEOUT = timedelta(seconds=5)
STOP_IDLE_TIME = timedelta(milliseconds=200)
STOP_POLL_INTERVAL = timedelta(milliseconds=20)
LISTEN_BACKLOG = 128


class _ApplicationError(TTransportException):
    """Ends a call with a Thrift application exception as its reply.

    Generated processors re-raise transport exceptions and log all others to the root logger, so
    this class derives from `TTransportException`.
    """

    def __init__(self, kind: int, message: str):
        super().__init__(message=message)
        self.error = TApplicationException(kind, message)


class _ValidatingHandler:
    """Wraps a handler to validate its arguments and to log and report its exceptions."""

    def __init__(self, handler: Any):
        self._handler = handler

    def __getattr__(self, method: str) -> Callable[[Any], Any]:
        function = getattr(self._handler, method)

        def run(req: Any) -> Any:
            try:
                validate(req, method)
            except InvalidMessageError as exc:
                raise _ApplicationError(TApplicationException.PROTOCOL_ERROR, str(exc)) from exc
            try:
                return function(req)
            except Exception as exc:
                log(Event.INTERNAL_ERROR, method=method, error=repr(exc))
                message = f"internal error: {type(exc).__name__}"
                raise _ApplicationError(TApplicationException.INTERNAL_ERROR, message) from exc

        return run


class _ServerConnection:
    """Accepted connection, served by a thread of its own."""

    def __init__(self, server: "Server", handle: socket.socket, peer: str):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server = server
        self._handle = handle
        self._socket = DeadlineSocket(handle, server.clock)
        self._reader = FrameReader(self._socket)
        self._peer = peer
        self._lock = threading.Lock()
        self._busy = False
        self._last_used = server.clock.monotonic()

    def run(self) -> None:
        """Serve calls until the peer disconnects, a timeout passes or the server stops."""
        try:
            while self._wait_for_frame():
                self._serve_call()
        except (TTransportException, EOFError, OSError) as exc:
            log(Event.CONNECTION_DROPPED, peer=self._peer, reason=str(exc))
        finally:
            self._socket.close()
            self._server.remove(self)

    def idle_time(self) -> timedelta:
        """Return the time since the last call ended, or zero while one is running."""
        with self._lock:
            if self._busy:
                return timedelta()
            return self._server.clock.monotonic() - self._last_used

    def shutdown_read(self) -> None:
        """Shut down the receiving side, so that the waiting thread reads an end of stream."""
        with contextlib.suppress(OSError):
            self._handle.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Shut down both directions, also during a call."""
        with contextlib.suppress(OSError):
            self._handle.shutdown(socket.SHUT_RDWR)

    def _wait_for_frame(self) -> bool:
        self._handle.settimeout(self._server.idle_timeout.total_seconds())
        try:
            has_data = bool(self._handle.recv(1, socket.MSG_PEEK))
        except TimeoutError:
            return False
        with self._lock:
            self._busy = has_data
        return has_data

    def _serve_call(self) -> None:
        self._socket.set_deadline(self._server.transfer_timeout)
        iprot = MessageProtocol(self._reader.read())
        # After a suspension the socket buffers may hold calls whose callers have given up.
        if self._socket.is_closed_by_peer():
            raise TTransportException(
                TTransportException.END_OF_FILE, "the caller closed the connection"
            )
        oprot = MessageProtocol(TMemoryBuffer())
        self._process(iprot, oprot)
        self._socket.set_deadline(self._server.transfer_timeout)
        self._write_frame(oprot.trans.getvalue())
        with self._lock:
            self._busy = False
            self._last_used = self._server.clock.monotonic()

    def _process(self, iprot: MessageProtocol, oprot: MessageProtocol) -> None:
        try:
            self._server.processor.process(iprot, oprot)
        except _ApplicationError as exc:
            error = exc.error
        except (*DECODE_ERRORS, TTransportException) as exc:
            error = TApplicationException(
                TApplicationException.PROTOCOL_ERROR, f"damaged message: {exc or type(exc)}"
            )
        else:
            return
        if error.type == TApplicationException.PROTOCOL_ERROR:
            log(Event.MESSAGE_INVALID, peer=self._peer, reason=error.message)
        # Discard the part of a reply that was written before its encoding failed.
        oprot.trans = TMemoryBuffer()
        oprot.writeMessageBegin(iprot.method, TMessageType.EXCEPTION, iprot.sequence)
        error.write(oprot)
        oprot.writeMessageEnd()

    def _write_frame(self, data: bytes) -> None:
        framed = TFramedTransport(self._socket, MAX_FRAME_BYTES)
        framed.write(data)
        framed.flush()


class Server:
    """Thrift server with one thread per connection.

    :param processor: generated Thrift processor; its handler is wrapped to validate arguments.
    :param host: IP address to listen on.
    :param port: TCP port; with 0 the system picks a free one, see the attribute `port`.
    :param max_connections: a connection over this limit is closed at once.
    :param clock: source of time.
    :param idle_timeout: a connection without calls for this time is closed.
    :param transfer_timeout: time limit for reading one request, and for writing one reply.
    """

    def __init__(
        self,
        processor: TProcessor,
        host: str,
        port: int,
        max_connections: int = 256,
        clock: Clock | None = None,
        idle_timeout: timedelta = SERVER_IDLE_TIMEOUT,
        transfer_timeout: timedelta = SERVER_TRANSFER_TIMEOUT,
    ):
        # Generated processors have no other hook to check arguments before they call the handler.
        processor._handler = _ValidatingHandler(processor._handler)
        self.processor = processor
        self.clock = clock or SystemClock()
        self.idle_timeout = idle_timeout
        self.transfer_timeout = transfer_timeout
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._connections: set[_ServerConnection] = set()
        self._stopping = False
        self._listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.port: int = self._listener.getsockname()[1]
        self._acceptor = threading.Thread(target=self._accept, name="accept", daemon=True)

    def start(self) -> None:
        """Accept connections in a background thread."""
        self._acceptor.start()

    def stop(self, grace: timedelta) -> None:
        """Stop accepting connections, let running calls end, then close all connections.

        A connection is closed once it has been idle for 200 ms, so that a call that was in
        transit when the stop began still gets its reply.

        :param grace: time after which the remaining connections are aborted.
        """
        self._close_listener()
        expires = self.clock.monotonic() + grace
        while self.clock.monotonic() < expires:
            connections = self._snapshot()
            if not connections:
                break
            for conn in connections:
                if conn.idle_time() >= STOP_IDLE_TIME:
                    conn.shutdown_read()
            self.clock.sleep(STOP_POLL_INTERVAL)
        for conn in self._snapshot():
            conn.abort()

    def remove(self, conn: _ServerConnection) -> None:
        """Remove a closed connection from the set of open ones."""
        with self._lock:
            self._connections.discard(conn)

    def _close_listener(self) -> None:
        with self._lock:
            self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _snapshot(self) -> list[_ServerConnection]:
        with self._lock:
            return list(self._connections)

    def _accept(self) -> None:
        while not self._stopping:
            try:
                handle, peer = self._listener.accept()
            except OSError as exc:
                if not self._stopping:
                    log(Event.CONNECTION_DROPPED, peer="", reason=f"accept: {exc}")
                    self.clock.sleep(STOP_POLL_INTERVAL)
                continue
            name = f"{peer[0]}:{peer[1]}"
            try:
                self._serve(handle, name)
            except Exception as exc:
                # Without this thread the process would serve no new connections.
                handle.close()
                log(Event.CONNECTION_DROPPED, peer=name, reason=f"accept: {exc!r}")

    def _serve(self, handle: socket.socket, peer: str) -> None:
        conn = _ServerConnection(self, handle, peer)
        with self._lock:
            accepted = not self._stopping and len(self._connections) < self._max_connections
            if accepted:
                self._connections.add(conn)
        if not accepted:
            handle.close()
            log(Event.CONNECTION_DROPPED, peer=peer, reason="over the connection limit")
            return
        try:
            threading.Thread(target=conn.run, name=f"conn-{peer}", daemon=True).start()
        except RuntimeError as exc:
            self.remove(conn)
            handle.close()
            log(Event.CONNECTION_DROPPED, peer=peer, reason=f"cannot start a thread: {exc}")

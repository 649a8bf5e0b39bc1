"""Fault-injecting TCP proxy on loopback: delay, throttle, discard, truncate, reset and refuse."""

import enum
import queue
import random
import socket
import struct
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs
from mulberryslip.clocks import Clock, SystemClock

# The delay applies per chunk, so large chunks keep it from accumulating over one message.
_CHUNK_BYTES = 1024 * 1024
_CONNECT_TIMEOUT_S = 5.0

# A throttled connection sends the bytes for this interval at a time.
_THROTTLE_INTERVAL = timedelta(milliseconds=20)
_BACKLOG = 128

# SO_LINGER with a timeout of 0 s makes close() send a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


_THREADS_PER_CONNECTION = 2


class Direction(enum.Enum):
    """Direction of the bytes on a connection."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


@attrs.frozen
class LinkFaults:
    """Faults that the proxy currently applies to the bytes of all connections.

    :param delay: time by which each chunk is delayed.
    :param jitter: upper bound of the random time added to the delay.
    :param bytes_per_s: rate limit of each connection and direction; 0 means unlimited.
    :param silent: directions in which bytes are discarded while the connections stay open.
    """

    delay: timedelta = timedelta()
    jitter: timedelta = timedelta()
    bytes_per_s: int = 0
    silent: frozenset[Direction] = frozenset()


class _Connection:
    """A client connection and the matching connection of the proxy to the server."""

    def __init__(self, client: socket.socket, server: socket.socket):
        self._sockets = (client, server)
        self._lock = threading.Lock()
        self._closed = False
        self._remaining_bytes: dict[Direction, int] = {}
        self.silent = False
        self.lost_bytes = False
        self.endpoints = {
            Direction.TO_SERVER: (client, server),
            Direction.TO_CLIENT: (server, client),
        }

    def close(self, reset: bool = False) -> None:
        """Close both sides; a reset discards bytes in transit."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
        for sock in self._sockets:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            _close_socket(sock)

    def truncate(self, direction: Direction, count: int) -> None:
        """Close after a number of further bytes has passed in a direction."""
        with self._lock:
            self._remaining_bytes[direction] = count

    def clear_faults(self) -> bool:
        """Clear the faults; return whether the connection is usable, that is, has lost no bytes."""
        with self._lock:
            self._remaining_bytes.clear()
            self.silent = False
            return not self.lost_bytes

    def truncate_chunk(self, direction: Direction, chunk: bytes) -> tuple[bytes, bool]:
        """Return the part of a chunk to forward and whether to close the connection after it."""
        with self._lock:
            if direction not in self._remaining_bytes:
                return chunk, False
            part = chunk[: self._remaining_bytes[direction]]
            self._remaining_bytes[direction] -= len(part)
            return part, self._remaining_bytes[direction] == 0


def _close_socket(sock: socket.socket) -> None:
    """Close a socket and wake a thread that is blocked in a read on it."""
    linger = (
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(_LINGER_RESET)) == _LINGER_RESET
    )
    try:
        # Shutting down the write side before a reset would still send a regular FIN to the peer.
        sock.shutdown(socket.SHUT_RD if linger else socket.SHUT_RDWR)
    except OSError:
        pass
    finally:
        sock.close()


class _WaitingThreads:
    """Threads that run calls, a number of which are started before they are needed.

    On a busy machine, a new thread may wait some tenths of a second until it first runs, which
    would be a delay that no fault of the proxy accounts for.

    :param count: number of threads that wait for calls.
    """

    def __init__(self, count: int):
        self._count = count
        self._calls: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._idle = 0
        self._stopped = False
        self._taken = threading.Semaphore(0)
        for _ in range(count):
            self._start(self._run)
        self._start(self._replace_taken)

    def run(self, target: Callable[..., None], *args: object) -> None:
        """Run a call in a waiting thread, or in a new one as soon as it has started."""
        self._calls.put((target, args))

    def stop(self) -> None:
        """End the threads that wait for calls."""
        with self._lock:
            self._stopped = True
        self._taken.release()
        self._calls.put(None)

    def _start(self, target: Callable[[], None]) -> None:
        threading.Thread(target=target, name="proxy", daemon=True).start()

    def _run(self) -> None:
        while self._wait_again():
            call = self._calls.get()
            with self._lock:
                self._idle -= 1
            if call is None:
                self._calls.put(None)  # Ends the next thread.
                return
            self._taken.release()
            target, args = call
            target(*args)

    def _wait_again(self) -> bool:
        with self._lock:
            if self._stopped or self._idle >= self._count:
                return False
            self._idle += 1
            return True

    def _replace_taken(self) -> None:
        while self._taken.acquire():
            with self._lock:
                if self._stopped:
                    return
                is_lacking = self._idle < self._count
            if is_lacking:
                self._start(self._run)


class Proxy:
    """Proxy that forwards TCP connections, with two threads for each.

    :param host: IP address of the server.
    :param port: TCP port of the server.
    :param clock: clock for delays.
    :param seed: seed of the random jitter.
    :param listen_port: TCP port of the proxy; 0 selects a free port.
    :param listen_host: loopback address of the proxy.
    :param expected_connections: connections that may open at the same time without a delay for the
        start of their threads.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        seed: int = 1,
        listen_port: int = 0,
        listen_host: str = "127.0.0.1",
        expected_connections: int = 2,
    ):
        self._server = (host, port)
        self._clock = clock or SystemClock()
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._faults = LinkFaults()
        self._cut = False
        self._truncate: tuple[Direction, int] | None = None
        self._connections: set[_Connection] = set()
        self._accepted = 0
        self._listener: socket.socket | None = None
        self._address = (listen_host, listen_port)
        # One more thread accepts the connections.
        self._threads = _WaitingThreads(expected_connections * _THREADS_PER_CONNECTION + 1)
        self._listen()

    @property
    def host(self) -> str:
        """IP address to connect to."""
        return self._address[0]

    @property
    def port(self) -> int:
        """TCP port to connect to; `cut` and `restore` do not change it."""
        return self._address[1]

    @property
    def accepted(self) -> int:
        """Number of connections forwarded so far."""
        return self._accepted

    def delay(self, delay: timedelta, jitter: timedelta = timedelta()) -> None:
        """Delay each chunk, in both directions and on all connections."""
        self._change(delay=delay, jitter=jitter)

    def throttle(self, bytes_per_s: int) -> None:
        """Limit the rate of each connection and direction, as on a link with high packet loss."""
        self._change(bytes_per_s=bytes_per_s)

    def blackhole(self, *directions: Direction) -> None:
        """Discard bytes in the given directions (default: both); connections stay open."""
        self._change(silent=frozenset(directions or Direction))

    def blackhole_open_connections(self) -> None:
        """Discard bytes of the currently open connections in both directions; new ones work."""
        with self._lock:
            for conn in self._connections:
                conn.silent = True

    def truncate(self, direction: Direction, count: int) -> None:
        """Close each open and new connection after a number of further bytes.

        :param direction: direction in which the bytes are counted.
        :param count: number of bytes to forward before closing.
        """
        with self._lock:
            self._truncate = (direction, count)
            for conn in self._connections:
                conn.truncate(direction, count)

    def reset_connections(self) -> None:
        """Reset all open connections; new connections work."""
        self._close_connections(reset=True)

    def disconnect(self) -> None:
        """Close all connections and refuse new ones."""
        with self._lock:
            self._cut = True
            listener, self._listener = self._listener, None
        if listener is not None:
            _close_socket(listener)
        self._close_connections(reset=False)

    def restore(self) -> None:
        """Clear all faults; reset connections that lost bytes."""
        with self._lock:
            self._faults = LinkFaults()
            self._truncate = None
            damaged = [conn for conn in self._connections if not conn.clear_faults()]
        for conn in damaged:
            conn.close(reset=True)
        if self._cut:
            self._listen()

    def stop(self) -> None:
        """Close all connections and stop listening, for good."""
        self.disconnect()
        self._threads.stop()

    def _change(self, **fields: object) -> None:
        with self._lock:
            self._faults = attrs.evolve(self._faults, **fields)

    def _listen(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(_BACKLOG)
        with self._lock:
            self._address = listener.getsockname()
            self._listener = listener
            self._cut = False
        self._threads.run(self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            self._threads.run(self._connect, client)

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._server, _CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        conn = _Connection(client, server)
        if not self._register(conn):
            conn.close()
            return
        self._threads.run(self._forward, conn, Direction.TO_CLIENT)
        self._forward(conn, Direction.TO_SERVER)

    def _register(self, conn: _Connection) -> bool:
        with self._lock:
            if self._cut:
                return False
            self._accepted += 1
            self._connections.add(conn)
            if self._truncate is not None:
                conn.truncate(*self._truncate)
            return True

    def _forward(self, conn: _Connection, direction: Direction) -> None:
        """Copy bytes until either side closes or a fault closes the connection."""
        source, destination = conn.endpoints[direction]
        try:
            while chunk := source.recv(_CHUNK_BYTES):
                if not self._forward_chunk(conn, direction, chunk, destination):
                    break
        except OSError:
            pass
        finally:
            conn.close()
            with self._lock:
                self._connections.discard(conn)

    def _forward_chunk(
        self, conn: _Connection, direction: Direction, chunk: bytes, destination: socket.socket
    ) -> bool:
        with self._lock:
            faults = self._faults
            # A fault set during the delay applies from the next chunk on.
            delay_time = faults.delay + faults.jitter * self._random.random()
        if delay_time > timedelta():
            self._clock.sleep(delay_time)
        if conn.silent or direction in faults.silent:
            conn.lost_bytes = True
            return True
        part, is_last = conn.truncate_chunk(direction, chunk)
        self._send(destination, part, faults.bytes_per_s)
        return not is_last

    def _send(self, destination: socket.socket, data: bytes, bytes_per_s: int) -> None:
        size = (
            max(1, int(bytes_per_s * _THROTTLE_INTERVAL.total_seconds()))
            if bytes_per_s
            else len(data)
        )
        for start in range(0, len(data), size or 1):
            destination.sendall(data[start : start + size])
            if bytes_per_s:
                self._clock.sleep(timedelta(seconds=size / bytes_per_s))

    def _close_connections(self, reset: bool) -> None:
        with self._lock:
            open_now = list(self._connections)
        for conn in open_now:
            conn.close(reset)

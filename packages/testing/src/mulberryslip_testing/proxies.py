"""TCP proxy on 127.0.0.1 that delays, drops, cuts, truncates and silences connections."""

import enum
import random
import socket
import struct
import threading
from datetime import timedelta

import attrs
from mulberryslip.clocks import Clock, SystemClock

# Large chunks keep a delay from adding up over one message.
_CHUNK_BYTES = 1024 * 1024
_CONNECT_TIMEOUT_S = 5.0

# A throttled connection sends this much of its rate at a time.
_SLICE = timedelta(milliseconds=20)
_BACKLOG = 128

# Linger of zero seconds makes close() send a reset.
_RESET = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Directions of the bytes on a connection."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


@attrs.frozen
class LinkFaults:
    """What the proxy does to the bytes at present.

    :param delay: time by which each chunk is held back.
    :param jitter: upper bound of a random addition to the delay.
    :param bytes_per_s: rate of each connection and direction; 0 means unlimited.
    :param silent: directions in which bytes vanish while the connections stay open.
    """

    delay: timedelta = timedelta()
    jitter: timedelta = timedelta()
    bytes_per_s: int = 0
    silent: frozenset[Direction] = frozenset()


class _Connection:
    """A client's connection and the proxy's connection to the server."""

    def __init__(self, client: socket.socket, server: socket.socket):
        self._sockets = (client, server)
        self._lock = threading.Lock()
        self._closed = False
        self._left: dict[Direction, int] = {}
        self.silent = False
        self.lost_bytes = False
        self.ends = {
            Direction.TO_SERVER: (client, server),
            Direction.TO_CLIENT: (server, client),
        }

    def close(self, reset: bool = False) -> None:
        """Close both sides; a reset discards what is on the way."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
        for sock in self._sockets:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            _end(sock)

    def truncate(self, direction: Direction, count: int) -> None:
        """Let a number of further bytes pass in a direction and then close."""
        with self._lock:
            self._left[direction] = count

    def heal(self) -> bool:
        """End the faults; return False when bytes were lost, so that it cannot go on."""
        with self._lock:
            self._left.clear()
            self.silent = False
            return not self.lost_bytes

    def admit(self, direction: Direction, chunk: bytes) -> tuple[bytes, bool]:
        """Return the part of a chunk that may pass, and whether the connection ends after it."""
        with self._lock:
            if direction not in self._left:
                return chunk, False
            part = chunk[: self._left[direction]]
            self._left[direction] -= len(part)
            return part, self._left[direction] == 0


def _end(sock: socket.socket) -> None:
    """Close a socket and wake a thread that is reading from it."""
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(_RESET)) == _RESET
    try:
        # A shutdown before a close with reset would still send a regular end to the peer.
        sock.shutdown(socket.SHUT_RD if linger else socket.SHUT_RDWR)
    except OSError:
        pass
    finally:
        sock.close()


class Proxy:
    """Forwards TCP connections, with two threads for each.

    :param host: IP address of the server.
    :param port: TCP port of the server.
    :param clock: used for delays.
    :param seed: start of the random numbers for jitter.
    :param listen_port: TCP port of the proxy; 0 chooses a free one.
    :param listen_host: loopback address of the proxy.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        seed: int = 1,
        listen_port: int = 0,
        listen_host: str = "127.0.0.1",
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
        self._listen()

    @property
    def host(self) -> str:
        """IP address to connect to."""
        return self._address[0]

    @property
    def port(self) -> int:
        """TCP port to connect to; it stays the same over `cut` and `restore`."""
        return self._address[1]

    @property
    def accepted(self) -> int:
        """Number of connections accepted so far."""
        return self._accepted

    def delay(self, delay: timedelta, jitter: timedelta = timedelta()) -> None:
        """Hold back each chunk, in both directions and on all connections."""
        self._change(delay=delay, jitter=jitter)

    def throttle(self, bytes_per_s: int) -> None:
        """Let bytes trickle, as over a link that loses many packets."""
        self._change(bytes_per_s=bytes_per_s)

    def silence(self, *directions: Direction) -> None:
        """Let bytes vanish in the given directions, or in both; connections stay open."""
        self._change(silent=frozenset(directions or Direction))

    def silence_open(self) -> None:
        """Silence the connections that are open now, in both directions; new ones work."""
        with self._lock:
            for conn in self._connections:
                conn.silent = True

    def truncate(self, direction: Direction, count: int) -> None:
        """Let further bytes pass on each open and new connection, then close it.

        :param direction: direction in which the bytes are counted.
        :param count: number of bytes.
        """
        with self._lock:
            self._truncate = (direction, count)
            for conn in self._connections:
                conn.truncate(direction, count)

    def drop(self) -> None:
        """Reset all open connections; new ones work."""
        self._close_connections(reset=True)

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        with self._lock:
            self._cut = True
            listener, self._listener = self._listener, None
        if listener is not None:
            _end(listener)
        self._close_connections(reset=False)

    def restore(self) -> None:
        """End all faults; connections that lost bytes are closed."""
        with self._lock:
            self._faults = LinkFaults()
            self._truncate = None
            damaged = [conn for conn in self._connections if not conn.heal()]
        for conn in damaged:
            conn.close(reset=True)
        if self._cut:
            self._listen()

    def stop(self) -> None:
        """Close everything."""
        self.cut()

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
        self._spawn(self._accept, listener)

    def _spawn(self, target: object, *args: object) -> None:
        threading.Thread(target=target, args=args, name="proxy", daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            self._spawn(self._connect, client)

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
        self._spawn(self._forward, conn, Direction.TO_CLIENT)
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
        """Copy bytes until an end closes or a fault ends the connection."""
        source, target = conn.ends[direction]
        try:
            while chunk := source.recv(_CHUNK_BYTES):
                if not self._pass(conn, direction, chunk, target):
                    break
        except OSError:
            pass
        finally:
            conn.close()
            with self._lock:
                self._connections.discard(conn)

    def _pass(
        self, conn: _Connection, direction: Direction, chunk: bytes, target: socket.socket
    ) -> bool:
        with self._lock:
            faults = self._faults
            # A fault set during the delay applies from the next chunk on.
            wait = faults.delay + faults.jitter * self._random.random()
        if wait > timedelta():
            self._clock.sleep(wait)
        if conn.silent or direction in faults.silent:
            conn.lost_bytes = True
            return True
        part, ends = conn.admit(direction, chunk)
        self._send(target, part, faults.bytes_per_s)
        return not ends

    def _send(self, target: socket.socket, data: bytes, bytes_per_s: int) -> None:
        size = max(1, int(bytes_per_s * _SLICE.total_seconds())) if bytes_per_s else len(data)
        for start in range(0, len(data), size or 1):
            target.sendall(data[start : start + size])
            if bytes_per_s:
                self._clock.sleep(timedelta(seconds=size / bytes_per_s))

    def _close_connections(self, reset: bool) -> None:
        with self._lock:
            open_now = list(self._connections)
        for conn in open_now:
            conn.close(reset)

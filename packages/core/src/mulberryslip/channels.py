"""Thrift connections between mulberryslip processes: messages, sockets and the client pool."""

import contextlib
import ipaddress
import itertools
import random
import socket
import struct
import threading
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import attrs
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer, TTransportException

from .clocks import Clock, SystemClock
from .exceptions import InvalidMessageError, NotSentError, ReplyLostError
from .wire.ttypes import Outcome, TaskState

MAX_PORT = 65535
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_CONTAINER_ITEMS = 65_536
# Limits each read, because the receive buffer is allocated before the peer has sent the bytes
# that its frame header declares.
MAX_RECEIVE_BYTES = 64 * 1024
# Thrift's reader substitutes it for invalid UTF-8, which could make different ids equal.
REPLACEMENT_CHARACTER = "\ufffd"
MAX_SEQUENCE = 2**31 - 1
IDLE_BEFORE_PING = timedelta(seconds=2)
IDLE_BEFORE_CLOSE = timedelta(seconds=30)
PING_TIMEOUT = timedelta(seconds=1)
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=3)

# Texts of callers, targets and workers, which may contain that character and are never compared
# with ids.
_FREE_TEXT_FIELDS = frozenset(
    ("payload", "input", "checkpoint", "result", "reason", "image", "filling", "serving")
)
_ENUM_FIELDS = {"outcome": Outcome, "state": TaskState}
DECODE_ERRORS = (
    TProtocolException,
    EOFError,
    UnicodeDecodeError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    RecursionError,
)


@attrs.frozen(order=True)
class Address:
    """TCP address of a mulberryslip process.

    :param host: IP address.
    :param port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form `host:port`.

        :raises ValueError: the text is not of this form, or the port is not a port number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"address {text!r:.60} is not host:port")
        address = cls(host, int(port))
        if not 1 <= address.port <= MAX_PORT:
            raise ValueError(f"port {address.port} is not allowed; allowed: 1 to {MAX_PORT}")
        return address

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "Address":
        """Decode the fields `host` and `port` of a record that another process wrote.

        :raises InvalidMessageError: the host is not an IP address, or the port not a port number.
        """
        host, port = record.get("host"), record.get("port")
        if not isinstance(host, str) or not _is_ip(host):
            raise InvalidMessageError(f"host {host!r:.60} is not an IP address")
        if type(port) is not int or not 1 <= port <= MAX_PORT:
            raise InvalidMessageError(f"port {port!r:.60} is not an integer from 1 to {MAX_PORT}")
        return cls(host, port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return text.isascii()


def validate(value: Any, path: str = "message") -> None:
    """Check a decoded message for missing fields and unknown enum values.

    Thrift's generated readers leave a missing required field as None, and their `validate`
    does not check nested structs.

    :param value: decoded struct, container or scalar.
    :param path: path of the value in the message, for the error text.
    :raises InvalidMessageError: a required field is missing, a string other than a free text is
        not valid UTF-8, or an enum value is unknown.
    """
    if value is None:
        raise InvalidMessageError(f"{path} is missing")
    if isinstance(value, str) and REPLACEMENT_CHARACTER in value:
        raise InvalidMessageError(f"{path} is not valid UTF-8")
    if isinstance(value, list):
        for position, item in enumerate(value):
            validate(item, f"{path}[{position}]")
        return
    if isinstance(value, dict):
        for key, item in value.items():
            validate(key, f"{path} key")
            validate(item, f"{path}[{key!r}]")
        return
    if not hasattr(value, "thrift_spec"):
        return
    try:
        value.validate()
    except TProtocolException as exc:
        raise InvalidMessageError(f"{path}: {exc.message}") from exc
    for field in filter(None, value.thrift_spec):
        name = field[2]
        item = getattr(value, name)
        if item is None or name in _FREE_TEXT_FIELDS:
            continue
        validate(item, f"{path}.{name}")
        values = _ENUM_FIELDS.get(name)
        if values is not None and item not in values._VALUES_TO_NAMES:
            raise InvalidMessageError(f"{path}.{name} has the unknown value {item}")


class DeadlineSocket(TSocket):
    """Connected socket whose reads and writes share one deadline."""

    def __init__(self, handle: socket.socket, clock: Clock):
        super().__init__()
        self.setHandle(handle)
        self._clock = clock
        self._deadline = timedelta()

    def set_deadline(self, remaining: timedelta) -> None:
        """Set the deadline of all further reads and writes.

        :param remaining: time left from now.
        """
        self._deadline = self._clock.monotonic() + remaining

    def read(self, size: int) -> bytes:
        """Read at most `size` bytes.

        :raises TTransportException: timeout, end of stream, or another socket error.
        """
        self._apply_deadline()
        return super().read(min(size, MAX_RECEIVE_BYTES))

    def write(self, data: bytes) -> None:
        """Write all bytes.

        :raises TTransportException: timeout or another socket error.
        """
        self._apply_deadline()
        try:
            self.handle.sendall(data)
        except TimeoutError as exc:
            raise TTransportException(TTransportException.TIMED_OUT, "write timeout") from exc
        except OSError as exc:
            raise TTransportException(TTransportException.UNKNOWN, str(exc)) from exc

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        try:
            self.handle.settimeout(0)
            self.handle.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection."""
        try:
            self.handle.settimeout(0)
            return not self.handle.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def abort(self) -> None:
        """Reset the connection and discard the bytes that the kernel has not delivered yet.

        After a normal close the kernel keeps retransmitting for minutes, so the peer could
        receive the call long after its deadline.
        """
        if self.handle is not None:
            linger = struct.pack("ii", 1, 0)
            with contextlib.suppress(OSError):
                self.handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def _apply_deadline(self) -> None:
        if self.handle is None:
            raise TTransportException(TTransportException.NOT_OPEN, "connection is closed")
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= timedelta():
            raise TTransportException(TTransportException.TIMED_OUT, "deadline passed")
        self.handle.settimeout(remaining.total_seconds())


class MessageProtocol(TBinaryProtocolAccelerated):
    """Binary protocol with size limits that records or checks a message's sequence number."""

    def __init__(self, transport: Any):
        super().__init__(
            transport,
            strictRead=True,
            string_length_limit=MAX_FRAME_BYTES,
            container_length_limit=MAX_CONTAINER_ITEMS,
        )
        self.method = ""
        self.sequence = 0
        self.expected: tuple[str, int] | None = None

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802 - Thrift's name
        """Return the name, type and sequence number of the message.

        :raises TProtocolException: the message is not the expected reply.
        """
        name, kind, sequence = super().readMessageBegin()
        self.method = name
        self.sequence = sequence
        # The generated client ignores the sequence number, so it would return a late or
        # duplicated reply as the reply to the next call.
        if self.expected is not None and (name, sequence) != self.expected:
            message = f"reply {name}/{sequence} does not belong to call {self.expected}"
            raise TProtocolException(TProtocolException.INVALID_DATA, message)
        return name, kind, sequence


class FrameReader:
    """Reads one frame at a time, so that a truncated message cannot consume the next frame."""

    def __init__(self, transport: DeadlineSocket):
        self._framed = TFramedTransport(transport, MAX_FRAME_BYTES)

    def read(self) -> TMemoryBuffer:
        """Return the next frame.

        :raises TTransportException: timeout, end of stream, or a frame over `MAX_FRAME_BYTES`.
        """
        self._framed.readFrame()
        return TMemoryBuffer(self._framed.cstringio_buf.getvalue())


class _ReplyProtocol(MessageProtocol):
    """Client-side protocol that reads the reply's frame when the message begins."""

    def __init__(self, reader: FrameReader):
        super().__init__(TMemoryBuffer(b""))
        self._reader = reader

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802 - Thrift's name
        self.trans = self._reader.read()
        return super().readMessageBegin()


class _Connection:
    """Client connection that carries one call at a time."""

    def __init__(self, client_class: type, address: Address, clock: Clock, timeout: timedelta):
        handle = socket.create_connection((address.host, address.port), timeout.total_seconds())
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The kernel enforces this timeout also while this process is suspended and cannot abort
        # an overdue call itself.
        user_timeout = UNACKNOWLEDGED_TIMEOUT // timedelta(milliseconds=1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout)
        self._socket = DeadlineSocket(handle, clock)
        self._reply = _ReplyProtocol(FrameReader(self._socket))
        self._client = client_class(
            self._reply, MessageProtocol(TFramedTransport(self._socket, MAX_FRAME_BYTES))
        )
        # Starts at a random number so that a reply that belongs to another connection to the same
        # peer does not match.
        self._sequence = itertools.count(random.randrange(MAX_SEQUENCE // 2))
        self._clock = clock
        self.last_used = clock.monotonic()

    def call(self, method: str, request: Any, timeout: timedelta) -> Any:
        """Send a call and return its validated reply."""
        self._socket.set_deadline(timeout)
        sequence = next(self._sequence) % MAX_SEQUENCE
        self._client._seqid = sequence
        self._reply.expected = (method, sequence)
        reply = getattr(self._client, method)(request)
        validate(reply, "reply")
        self.last_used = self._clock.monotonic()
        return reply

    def ping(self, timeout: timedelta) -> bool:
        """Return whether the peer replies to a ping in time."""
        token = random.randrange(MAX_SEQUENCE)
        try:
            return self.call("ping", token, timeout) == token
        except (*DECODE_ERRORS, TException, InvalidMessageError):
            return False

    def is_reusable(self) -> bool:
        return self._socket.is_reusable()

    def close(self) -> None:
        self._socket.close()

    def abort(self) -> None:
        self._socket.abort()


def _is_leaving(reply: Any) -> bool:
    """Return whether the reply says that the peer is shutting down and takes no new work."""
    return bool(getattr(getattr(reply, "load", None), "leaving", False))


class ChannelPool:
    """Pool of client connections to any number of peers, with liveness checks.

    A connection carries one call at a time and is closed after a missed deadline or a reply
    that does not belong to the call. A new connection is pinged before its first call,
    because connecting also succeeds to a server that is suspended or over its connection limit,
    and no call must be sent to such a server.

    :param service_client_class: generated Thrift client class of a service that has `ping`.
    :param clock: source of time.
    :param max_connections: limit per peer; a call over it raises `NotSentError` at once.
    :param idle_before_ping: idle time after which a connection is pinged before use.
    :param idle_before_close: idle time after which a connection is closed.
    """

    def __init__(
        self,
        service_client_class: type,
        clock: Clock | None = None,
        max_connections: int = 128,
        idle_before_ping: timedelta = IDLE_BEFORE_PING,
        idle_before_close: timedelta = IDLE_BEFORE_CLOSE,
    ):
        self._client_class = service_client_class
        self._clock = clock or SystemClock()
        self._max_connections = max_connections
        self._idle_before_ping = idle_before_ping
        self._idle_before_close = idle_before_close
        self._lock = threading.Lock()
        self._idle: dict[Address, list[_Connection]] = {}
        self._open_counts: dict[Address, int] = {}
        self._closed = False

    def call(self, address: Address, method: str, request: Any, deadline: timedelta) -> Any:
        """Call a method of a peer.

        :param address: address of the peer.
        :param method: name of the Thrift method.
        :param request: the method's only argument.
        :param deadline: time left for the whole call.
        :returns: the validated reply.
        :raises NotSentError: the peer cannot have received the call.
        :raises ReplyLostError: the peer may have received the call, but no complete, valid reply
            arrived in time.
        """
        expires = self._clock.monotonic() + deadline
        conn = self._acquire(address, expires)
        try:
            remaining = expires - self._clock.monotonic()
            if remaining <= timedelta():
                self._release(address, conn)
                conn = None
                raise NotSentError(f"{method} to {address}: deadline passed before sending")
            reply = conn.call(method, request, remaining)
        except TApplicationException as exc:
            # The peer rejected the message with a complete reply, so the connection can be reused.
            self._release(address, conn)
            raise ReplyLostError(f"{method} to {address} failed there: {exc.message}") from exc
        except (*DECODE_ERRORS, TException, InvalidMessageError) as exc:
            conn.abort()
            self._discard(address, conn)
            if getattr(exc, "type", None) == TTransportException.TIMED_OUT:
                self._discard_idle(address)
            raise ReplyLostError(f"{method} to {address}: {exc}") from exc
        except NotSentError:
            raise
        except BaseException:
            self._discard(address, conn)
            raise
        if _is_leaving(reply):
            # The server is about to close, which could interrupt another call on this connection.
            self._discard(address, conn)
        else:
            self._release(address, conn)
        return reply

    def close(self) -> None:
        """Close idle connections; a connection in use is closed when its call ends."""
        with self._lock:
            self._closed = True
            addresses = list(self._idle)
        for address in addresses:
            self._discard_idle(address)

    def _acquire(self, address: Address, expires: timedelta) -> _Connection:
        while (conn := self._pop_idle(address)) is not None:
            if self._is_usable(conn, expires):
                return conn
            self._discard(address, conn)
            # The other idle connections have probably failed too, and checking each of them would
            # use up the deadline.
            self._discard_idle(address)
        return self._connect(address, expires)

    def _pop_idle(self, address: Address) -> _Connection | None:
        oldest = self._clock.monotonic() - self._idle_before_close
        with self._lock:
            idle = self._idle.get(address)
            if not idle:
                return None
            conn = idle.pop()
            expired = [other for other in idle if other.last_used < oldest]
            self._idle[address] = [other for other in idle if other.last_used >= oldest]
        for other in expired:
            self._discard(address, other)
        return conn

    def _is_usable(self, conn: _Connection, expires: timedelta) -> bool:
        if not conn.is_reusable():
            return False
        now = self._clock.monotonic()
        if now - conn.last_used <= self._idle_before_ping:
            return True
        # Use at most half of the time left, so that the call can still be sent on a new connection.
        return conn.ping(min(PING_TIMEOUT, (expires - now) / 2))

    def _connect(self, address: Address, expires: timedelta) -> _Connection:
        remaining = expires - self._clock.monotonic()
        if remaining <= timedelta():
            raise NotSentError(f"{address}: deadline passed before connecting")
        self._add_open_connection(address)
        try:
            conn = _Connection(self._client_class, address, self._clock, remaining)
        except (OSError, ValueError, OverflowError) as exc:
            # Not only OSError: some hosts and ports cannot be passed to the operating system.
            self._remove_open_connection(address)
            raise NotSentError(f"connecting to {address}: {exc}") from exc
        if not conn.ping(expires - self._clock.monotonic()):
            self._discard(address, conn)
            raise NotSentError(f"{address} accepted a connection but answers no ping on it")
        return conn

    def _add_open_connection(self, address: Address) -> None:
        with self._lock:
            if self._closed:
                raise NotSentError("the connection pool is closed")
            count = self._open_counts.get(address, 0)
            if count >= self._max_connections:
                raise NotSentError(f"{address}: over the limit of {count} connections")
            self._open_counts[address] = count + 1

    def _remove_open_connection(self, address: Address) -> None:
        with self._lock:
            self._open_counts[address] -= 1
            if not self._open_counts[address]:
                del self._open_counts[address]

    def _release(self, address: Address, conn: _Connection) -> None:
        with self._lock:
            keep = not self._closed
            if keep:
                self._idle.setdefault(address, []).append(conn)
        if not keep:
            self._discard(address, conn)
        self._close_expired()

    def _close_expired(self) -> None:
        oldest = self._clock.monotonic() - self._idle_before_close
        expired = []
        with self._lock:
            for address, idle in list(self._idle.items()):
                # Idle connections are ordered by time of last use.
                while idle and idle[0].last_used < oldest:
                    expired.append((address, idle.pop(0)))
                if not idle:
                    del self._idle[address]
        for address, conn in expired:
            self._discard(address, conn)

    def _discard(self, address: Address, conn: _Connection) -> None:
        conn.close()
        self._remove_open_connection(address)

    def _discard_idle(self, address: Address) -> None:
        # When one connection to a peer stops responding, the other idle ones often have too.
        with self._lock:
            idle = self._idle.pop(address, [])
        for conn in idle:
            self._discard(address, conn)

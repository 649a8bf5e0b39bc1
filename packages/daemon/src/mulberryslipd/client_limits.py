"""Decides what the clients of a process's HTTP ports may hold. Performs no I/O.

It is designed for this load pattern: a few clients open many connections, send large bodies and
stall before the end, send documents of very many short values, or do not read responses, while
many ordinary clients send short requests, possibly all of them through one load balancer.

Memory is divided in two halves. One is for transfers: requests that have not arrived completely and
responses that are not read yet. The other is for requests that are served. So stalled transfers
never keep a complete request from being served. A transfer that does not fit replaces the one that
holds most; a connection that does not fit replaces one of the address with the most connections.
"""

import re
import threading
from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

import attrs
from mulberryslip.clocks import Clock, SystemClock
from mulberryslip.events import Event, log
from mulberryslip.metrics import Metrics

FREE_BYTES = 8192
"""Bytes that a connection may hold outside the budget. Ordinary short requests stay below it, so
they neither wait for the budget's lock nor are rejected when it is exhausted."""

SERVED_COPIES = 2
"""Copies of a body while it is served: the received one, and one in a message to a process."""

BYTES_PER_MARK = 128
"""Memory for each bracket, comma and colon of a JSON text. An empty object takes 72 bytes and has
two of them, an object with one short field 290 bytes and has three."""

MAX_BYTES_PER_CHARACTER = 4
"""Python stores a text with one character outside the Basic Multilingual Plane in four bytes per
character."""

UNREFINED_MARKS = 10_000
"""A document with at most this many marks, inside and outside of texts, is not searched for texts,
which takes 0.4 us for each. Ordinary submissions have a few hundred."""

LOG_INTERVAL = timedelta(seconds=1)

MARKS = b"[{,:"
# Possessive, as a backtracking match takes 140 bytes for each character of the text. It matches a
# text without an end, too; otherwise the search would begin anew at each of its escaped quotes.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_NOT_MARKS = bytes(byte for byte in range(256) if byte not in MARKS)

_BYTES_PER_MB = 1024 * 1024


@attrs.frozen
class ClientLimits:
    """Limits for the clients of one process.

    :param memory_mb: budget for requests and responses of all ports.
    :param max_marks: largest number of brackets, commas and colons of a JSON document.
    :param transfer_timeout: longest time in which a request arrives or a response is read.
    :param connections: limit on the connections of a port.
    :param connections_per_address: limit on the connections of a port from one IP address.
    """

    memory_mb: int = 64
    max_marks: int = 20_000
    transfer_timeout: timedelta = timedelta(seconds=20)
    connections: int = 2048
    connections_per_address: int = 1536

    def restricted(self, connections: int) -> "ClientLimits":
        """Return the limits of a port that needs fewer connections."""
        share = self.connections_per_address / self.connections
        total = min(connections, self.connections)
        return attrs.evolve(
            self, connections=total, connections_per_address=max(1, int(total * share))
        )


class MemoryBudget:
    """Number of bytes that may be held at a time. Thread-safe.

    :param limit: limit in bytes.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._lock = threading.Lock()
        self._held = 0

    def reserve(self, amount: int) -> bool:
        """Hold an amount in bytes, unless the limit would be exceeded; negative releases it."""
        with self._lock:
            if amount > 0 and self._held + amount > self._limit:
                return False
            self._held += amount
            return True

    def take(self, amount: int) -> None:
        """Hold an amount in bytes regardless of the limit."""
        with self._lock:
            self._held += amount


class ClientMemory:
    """Memory budget of one process, for the clients of all its ports.

    :param limit: limit in bytes.
    """

    def __init__(self, limit: int):
        self.transfers = MemoryBudget(limit // 2)
        self.serving = MemoryBudget(limit // 2)


class ConnectionMemory:
    """What one connection holds of the budget. Used by one thread at a time.

    :param max_marks: largest number of marks of a JSON document; see `ClientLimits`.
    """

    def __init__(self, memory: ClientMemory, max_marks: int):
        self.max_marks = max_marks
        self.transferring = 0
        self._memory = memory
        self._serving = 0

    def reserve_transfer(self, size: int) -> bool:
        """Change the size of what has arrived; return False when it does not fit."""
        amount = max(0, size - FREE_BYTES)
        if amount != self.transferring:
            if not self._memory.transfers.reserve(amount - self.transferring):
                return False
            self.transferring = amount
        return True

    def take_transfer(self, size: int) -> None:
        """Change the size of what has arrived and of the unsent response, which exists anyway."""
        amount = max(0, size - FREE_BYTES)
        if amount != self.transferring:
            self._memory.transfers.take(amount - self.transferring)
            self.transferring = amount

    def reserve_serving(self, size: int) -> bool:
        """Hold memory until the request has been served; return False when it does not fit."""
        amount = max(0, size - FREE_BYTES)
        if amount and not self._memory.serving.reserve(amount):
            return False
        self._serving += amount
        return True

    def release_serving(self) -> None:
        """Release what was held for the request."""
        if self._serving:
            self._memory.serving.take(-self._serving)
            self._serving = 0


def count_marks(document: bytes, limit: int) -> int:
    """Return the number of brackets, commas and colons of a JSON text, or an upper bound.

    Each value of a document needs at least one of them, so the count bounds the number of objects
    that parsing creates, before it creates any. Texts are left out, as they may contain any number.

    :param limit: counting ends once this is exceeded.
    """
    bound = sum(document.count(mark) for mark in MARKS)
    if bound <= UNREFINED_MARKS:
        return bound
    marks = position = 0
    for texts, text in enumerate(_STRING.finditer(document), start=1):
        marks += _marks_between(document, position, text.start())
        position = text.end()
        # A valid document has at most one text more than it has marks.
        if marks > limit or texts > limit + 1:
            return limit + 1
    return marks + _marks_between(document, position, len(document))


def _marks_between(document: bytes, start: int, end: int) -> int:
    return len(document[start:end].translate(None, delete=_NOT_MARKS))


def parsed_size(document: bytes, marks: int) -> int:
    """Return an upper bound of the memory of a parsed JSON text in bytes.

    The decoded text and its parts exist at the same time.
    """
    width = 1 if document.isascii() else MAX_BYTES_PER_CHARACTER
    return 2 * width * len(document) + BYTES_PER_MARK * marks


class WaitingConnection(Protocol):
    """A connection that waits for its client."""

    remote_addr: str
    memory: ConnectionMemory

    def waiting_since(self) -> float:
        """Return the monotonic time in seconds at which its transfer or its idle time began."""


_C = TypeVar("_C", bound=WaitingConnection)


def largest_transfer(waiting: Iterable[_C], at_least: int) -> _C | None:
    """Return the connection whose transfer holds most, to be replaced by another.

    :param at_least: bytes that the other one needs; a smaller transfer is not replaced.
    """
    largest = max(waiting, key=lambda conn: conn.memory.transferring, default=None)
    return largest if largest is not None and largest.memory.transferring > at_least else None


def replaceable(waiting: Sequence[_C], address: str) -> _C | None:
    """Return the connection to be closed for a new one, or None.

    :param waiting: connections that no thread serves.
    :param address: IP address of the new connection if it has reached its limit, otherwise empty.
    """
    counts = Counter(conn.remote_addr for conn in waiting)
    if not counts:
        return None
    crowded = address or counts.most_common(1)[0][0]
    candidates = [conn for conn in waiting if conn.remote_addr == crowded]
    return min(candidates, key=lambda conn: conn.waiting_since(), default=None)


class ConnectionCounts:
    """Number of connections of one port by IP address. Thread-safe."""

    def __init__(self, limits: ClientLimits):
        self._limits = limits
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._total = 0

    def add(self, address: str) -> None:
        """Count a connection."""
        with self._lock:
            self._counts[address] += 1
            self._total += 1

    def remove(self, address: str) -> None:
        """Stop counting a connection."""
        with self._lock:
            self._total -= 1
            self._counts[address] -= 1
            if not self._counts[address]:
                del self._counts[address]

    def exceeds_total(self) -> bool:
        """Return whether there are more connections than allowed."""
        return self._total > self._limits.connections

    def exceeds_address(self, address: str) -> bool:
        """Return whether there are more connections from an address than allowed."""
        return self._counts[address] > self._limits.connections_per_address


class RejectionLog:
    """Counts connections that were closed because of a limit, and logs them once a second.

    :param metrics: receives the counters `clients_rejected_<reason>`.
    """

    def __init__(self, metrics: Metrics, clock: Clock):
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._peer = ""
        self._logged_at = clock.monotonic() - LOG_INTERVAL

    def record(self, reason: str, peer: str) -> None:
        """Count a connection.

        :param reason: limit that was exceeded, as part of a name of a counter.
        :param peer: IP address of the client.
        """
        self._metrics.count(f"clients_rejected_{reason}")
        with self._lock:
            self._counts[reason] += 1
            self._peer = peer
        self.flush()

    def flush(self) -> None:
        """Log what was counted, unless the last line is too recent."""
        with self._lock:
            now = self._clock.monotonic()
            if not self._counts or now - self._logged_at < LOG_INTERVAL:
                return
            counts, self._counts = dict(self._counts), Counter()
            self._logged_at = now
        log(Event.CLIENTS_REJECTED, counts=counts, last_peer=self._peer)


class Clients:
    """Limits, memory and rejections of all clients of one process."""

    def __init__(
        self,
        limits: ClientLimits | None = None,
        metrics: Metrics | None = None,
        clock: Clock | None = None,
    ):
        self.limits = limits or ClientLimits()
        self.memory = ClientMemory(self.limits.memory_mb * _BYTES_PER_MB)
        self.rejections = RejectionLog(metrics or Metrics(), clock or SystemClock())

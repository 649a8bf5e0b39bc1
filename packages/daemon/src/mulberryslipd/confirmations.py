"""The record of an owner's confirmations, which tells the next owner when leases end at the latest.

It is designed for this load pattern: the owner of a pool is lost together with a worker, and
nothing shows what became of them. The store lease of the owner key has to end, and then the next
owner would wait for the longest lease that its predecessor can have granted until the end of its
permission, counted from its own claim.

An owner confirms its ownership several times in each store lease: it writes this record, and then
reads its key. It grants no lease that ends later than `PoolLeaseTimes.horizon` after the beginning
of the last write after which the key still named it. Some agents, chosen by the owner, watch the
record. The next owner is usually one of them, and knows for how long the record has not changed.
So the time in which the store lease ends counts towards the wait. No clock is compared with
another.

A write that takes effect after the next owner has read the record is never counted by its writer,
since the key does not name it any more.
"""

import itertools
import json
import threading
from collections import Counter
from collections.abc import Collection
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip import records
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.outcomes import Committed
from mulberryslip.stores import Store, StoredValue

from .sources import OutageLog

MAX_OBSERVERS = 3
"""Number of agents that watch the record. Each write ends their calls, and the store's rate does
not grow with the fleet."""

OBSERVER_EXPIRY = timedelta(seconds=3)
"""Time without a report after which an agent does not count as an observer any more."""

OBSERVATION_TIME = timedelta(seconds=10)
"""Time for which an agent watches the record after its owner has last asked it to; longer than the
store lease of an owner, and than common outages."""

WATCH_TIMEOUT = timedelta(seconds=10)
RETRY_PAUSE = timedelta(milliseconds=200)

MAX_HORIZON_MS = 3600 * 1000
"""Longest horizon that a valid record states."""

MS = timedelta(milliseconds=1)


def confirmations_key(pool: int) -> str:
    """Return the store key of a pool's record of confirmations."""
    return f"pools/{pool}/confirmed"


@attrs.frozen
class Confirmation:
    """Content of a stored record.

    :param epoch: epoch of the journal under the owner that wrote it.
    :param owner: epoch of that owner.
    :param count: number of its writes so far, so that no two records are equal.
    :param horizon: no lease ends later than this after the beginning of the write.
    :param seq: last record of the journal that `unlisted` takes into account.
    :param unlisted: long-running tasks with a run, by number, that no worker is known to have
        listed.
    """

    epoch: int
    owner: int
    count: int
    horizon: timedelta
    seq: int
    unlisted: frozenset[tuple[str, int]] = frozenset()

    def encode(self) -> bytes:
        """Return the value of the record."""
        raw = {
            "epoch": self.epoch,
            "owner": self.owner,
            "count": self.count,
            "horizon_ms": self.horizon // MS,
            "seq": self.seq,
            "unlisted": sorted(map(list, self.unlisted)),
        }
        return json.dumps(raw, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, stored: StoredValue) -> "Confirmation":
        """Return the content of a record; a later build may add fields.

        :raises InvalidMessageError: a field is missing or invalid.
        """
        raw = records.parse_object(stored.value)
        names = ("epoch", "owner", "count", "horizon_ms", "seq")
        numbers = [raw.get(name) for name in names]
        if not all(records.is_number(number) for number in numbers):
            raise InvalidMessageError("a number is missing or invalid")
        epoch, owner, count, horizon_ms, seq = numbers
        if horizon_ms > MAX_HORIZON_MS:
            raise InvalidMessageError("the horizon is too long")
        return cls(epoch, owner, count, MS * horizon_ms, seq, _runs(raw.get("unlisted")))


class ConfirmationRecord:
    """The record as one owner reads and writes it.

    Several threads may write it at once, since a write that gets no reply must not delay others.

    :param pool: number of the pool.
    """

    def __init__(self, pool: int, store: Store):
        self._key = confirmations_key(pool)
        self._store = store
        self._version = 0
        self._counter = itertools.count(1)

    def read(self) -> tuple[Confirmation | None, int]:
        """Read what the previous owner wrote; this process must have claimed its key before.

        :returns: the content, None if there is none that can be read, and its version.
        :raises StoreError: the store did not answer.
        """
        stored = self._store.get(self._key)
        self._version = 0 if stored is None else stored.version
        if stored is None:
            return None, 0
        try:
            return Confirmation.decode(stored), stored.version
        except InvalidMessageError as exc:
            log(Event.MESSAGE_INVALID, what=self._key, reason=str(exc))
            return None, stored.version

    def write(
        self,
        epoch: int,
        owner: int,
        horizon: timedelta,
        seq: int,
        unlisted: Collection[tuple[str, int]],
    ) -> bool:
        """Write the record; see `Confirmation` for the parameters.

        :returns: whether it is certainly stored. If not, another owner may have written it.
        :raises StoreError: the store did not answer.
        """
        count = next(self._counter)
        content = Confirmation(epoch, owner, count, horizon, seq, frozenset(unlisted))
        value = content.encode()
        outcome = self._store.put(self._key, value, self._version)
        if isinstance(outcome, Committed):
            self._version = outcome.version
            return True
        # Another write of this owner, or one of the previous owner, may have taken effect.
        stored = self._store.get(self._key)
        self._version = 0 if stored is None else stored.version
        return stored is not None and stored.value == value


class ConfirmationWatch:
    """Watches the record while an owner asks for it, and remembers when it has changed.

    :param pool: number of the pool.
    """

    def __init__(self, pool: int, store: Store, clock: Clock):
        self._key = confirmations_key(pool)
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._requested = threading.Event()
        self._watch_until = clock.monotonic()
        self._version = 0
        self._seen_at = clock.monotonic()

    def request(self) -> None:
        """Watch the record for some time from now on."""
        self._watch_until = self._clock.monotonic() + OBSERVATION_TIME
        self._requested.set()

    def is_requested(self) -> bool:
        """Return whether an owner has asked for it recently."""
        return self._clock.monotonic() < self._watch_until

    def seen_at(self, version: int) -> timedelta | None:
        """Return when this process first knew that a version of the record was stored.

        :returns: None for a version that it has not seen.
        """
        with self._lock:
            return self._seen_at if version and version == self._version else None

    def run(self, stop: threading.Event) -> None:
        """Watch the record whenever an owner asks for it, until stopped."""
        outage = OutageLog("watch confirmations")
        revision = 0
        while not stop.is_set():
            if not self.is_requested():
                revision = 0
                self._requested.clear()
                self._clock.wait(self._requested, WATCH_TIMEOUT)
                continue
            try:
                revision = self.observe(revision)
                outage.record_success()
            except Exception as exc:
                # Without this thread the next owner would wait for longer than necessary.
                if not isinstance(exc, StoreError):
                    log(Event.INTERNAL_ERROR, what="watch confirmations", reason=repr(exc))
                outage.record_failure(exc)
                revision = 0
                self._clock.wait(stop, RETRY_PAUSE)

    def observe(self, revision: int = 0) -> int:
        """Wait for a change of the record, or read it.

        :param revision: revision of the store up to which changes are known; 0 to read.
        :returns: the revision up to which they are known now.
        :raises StoreError: the store did not answer.
        """
        if revision:
            listing = self._store.watch(self._key, revision, WATCH_TIMEOUT)
        else:
            listing = self._store.list(self._key)
        versions = [stored.version for stored in listing.values if stored.key == self._key]
        newest = max(versions, default=0)
        with self._lock:
            if newest > self._version:
                self._version, self._seen_at = newest, self._clock.monotonic()
        return listing.revision


class ObserverChoice:
    """Chooses the agents that watch the record of confirmations. Not thread-safe.

    They are spread over data centres, so that one of them is left to own the pool next.

    :param own: address of the owner, whose agent cannot be the next one if it is lost.
    """

    def __init__(self, own: Address):
        self._own = str(own)
        self._data_centres: dict[str, str] = {}
        self._reported_at: dict[str, timedelta] = {}

    def includes(self, agent: str, data_centre: str, now: timedelta) -> bool:
        """Return whether an agent that reports is to watch the record."""
        if agent == self._own:
            return False
        for silent in [a for a, at in self._reported_at.items() if now - at > OBSERVER_EXPIRY]:
            del self._reported_at[silent], self._data_centres[silent]
        if agent not in self._reported_at and len(self._reported_at) >= MAX_OBSERVERS:
            replaced = self._replaceable(data_centre)
            if replaced is None:
                return False
            del self._reported_at[replaced], self._data_centres[replaced]
        self._reported_at[agent] = now
        self._data_centres[agent] = data_centre
        return True

    def _replaceable(self, data_centre: str) -> str | None:
        """Return an observer that shares its data centre with others, if this one has none yet."""
        counts = Counter(self._data_centres.values())
        if data_centre in counts:
            return None
        return next((a for a, place in self._data_centres.items() if counts[place] > 1), None)


def _runs(raw: Any) -> frozenset[tuple[str, int]]:
    if not isinstance(raw, list) or not all(_is_run(row) for row in raw):
        raise InvalidMessageError("the runs are missing or invalid")
    return frozenset((task, run) for task, run in raw)


def _is_run(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 2
        and isinstance(row[0], str)
        and records.is_number(row[1])
    )

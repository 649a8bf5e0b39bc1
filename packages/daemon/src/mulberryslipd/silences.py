"""The record of silent workers, which tells the next owner that their leases are ending.

It is designed for this load pattern: a worker is cut off, and the pool changes its owner before the
worker's lease has certainly ended. The next owner has not heard the worker, and would wait for the
longest lease that the previous one can have granted until the end of its permission.

An owner that lists a worker grants it no lease until it has written the record without it. So the
time since the last grant that the record states is a lower bound for the next owner, too.

An owner that ends its term as planned grants nothing afterwards, to any worker. So it states the
time for all workers with runs, and the next owner counts on without listing them.
"""

import json
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip import records
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.outcomes import Committed
from mulberryslip.stores import Store, StoredValue

RECORD_INTERVAL = timedelta(seconds=1)
"""Time between two records while workers are silent; the next owner counts from the last one."""

CHECK_INTERVAL = timedelta(milliseconds=100)
RETRY_PAUSE = timedelta(milliseconds=200)

MAX_AGE_MS = 366 * 24 * 3600 * 1000
"""Longest time of silence that a valid record states."""

MS = timedelta(milliseconds=1)


def silences_key(pool: int) -> str:
    """Return the store key of a pool's record of silent workers."""
    return f"pools/{pool}/silences"


@attrs.frozen
class _Content:
    """Content of a stored record.

    :param epoch: epoch of the journal under the owner that wrote it.
    :param silent: by listed worker, the time since its last lease.
    :param ended: the same for all workers with runs, if the writer had ended its term before.
    :param excess: by how much the writer took leases to be longer than it grants them.
    """

    epoch: int = 0
    silent: dict[str, timedelta] = attrs.field(factory=dict)
    ended: dict[str, timedelta] = attrs.field(factory=dict)
    excess: timedelta = timedelta()


class SilenceRecord:
    """The record as one owner reads and writes it. The decision thread makes all changes.

    Owners are told apart by the epoch of the journal, which each owner claims. But an owner that
    finds the ring of the journal full grants leases without a claim, and a build without this
    record does not rewrite it. So an owner lists nobody from the time when its ring has little room
    left, and does not fill the ring before the record is empty. Whoever finds the ring full then
    finds a record of that epoch that stays empty.

    :param pool: number of the pool.
    :param excess: see `PoolLeaseTimes.unfenced_excess`. Times that were recorded with a shorter one
        are shortened by the difference.
    """

    def __init__(self, pool: int, store: Store, excess: timedelta = timedelta()):
        self._key = silences_key(pool)
        self._excess = excess
        self._store = store
        self._epoch = 0
        self._version = 0
        self._listed: frozenset[str] = frozenset()
        self._is_closed = False
        self._is_check_requested = False
        self._check_at = timedelta()
        self._retry_at = timedelta()
        self._write_at = timedelta()

    def lists(self, worker_id: str) -> bool:
        """Return whether the stored record may list a worker; then it must not get a lease."""
        return worker_id in self._listed

    @property
    def is_empty(self) -> bool:
        """Whether the stored record certainly lists no worker."""
        return not self._listed

    def close(self) -> None:
        """List no worker from now on."""
        self._is_closed = True

    def take_over(self, previous_epoch: int, epoch: int) -> dict[str, timedelta]:
        """Take the record over from the previous owner, which cannot change it any more.

        :param previous_epoch: epoch of the journal before this owner claimed it.
        :param epoch: epoch of the journal now.
        :returns: by worker, the time since the last lease that any owner can have granted; empty if
            that is not certain.
        """
        self._epoch = epoch
        try:
            stored = self._store.get(self._key)
            self._version = 0 if stored is None else stored.version
            found = self._decode(stored)
            if self._is_closed or found.epoch != previous_epoch:
                return {}
            silent, ended = self._counted(found.silent, found), self._counted(found.ended, found)
            is_taken_over = bool(silent) and self._write(silent)
            return silent | ended if is_taken_over else ended
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="take over silent workers", reason=str(exc))
            return {}

    def _counted(self, ages: Mapping[str, timedelta], found: _Content) -> dict[str, timedelta]:
        lacking = max(timedelta(), self._excess - found.excess)
        return {name: age - lacking for name, age in ages.items() if age >= lacking}

    def request_check(self) -> None:
        """Check at once, since a listed worker has reported."""
        self._is_check_requested = True

    def is_check_due(self, now: timedelta) -> bool:
        """Return whether to call `plan`, which compares all workers."""
        return now >= self._retry_at and (self._is_check_requested or now >= self._check_at)

    def plan(self, ages: Mapping[str, timedelta], now: timedelta) -> dict[str, timedelta] | None:
        """Return what to write now, or None if nothing is due.

        The caller holds the lock of the term, so that no planned worker gets a lease any more.

        :param ages: by silent worker, the time since the last lease that any owner can have
            granted.
        """
        self._check_at = now + CHECK_INTERVAL
        self._is_check_requested = False
        planned = {} if self._is_closed else dict(ages)
        # Workers that have reported wait for their leases.
        is_urgent = not self._listed <= planned.keys()
        if not is_urgent and (not planned or now < self._write_at):
            return None
        self._listed |= planned.keys()
        return planned

    def write(self, planned: Mapping[str, timedelta], now: timedelta) -> None:
        """Write a planned record; if that fails, the next plan contains it again."""
        self._write_at, self._retry_at = now + RECORD_INTERVAL, now
        try:
            is_written = self._write(planned)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="record silent workers", reason=str(exc))
            is_written = False
        if not is_written:
            self._write_at = self._retry_at = now + RETRY_PAUSE

    def finish(self, silent: Mapping[str, timedelta], ages: Mapping[str, timedelta]) -> None:
        """Write the last record of an owner, which must have ceased to grant leases before.

        A write that takes effect late does no harm: only the owner that follows this one uses it.

        :param silent: what `plan` gets.
        :param ages: the same for all workers with runs.
        """
        if self._is_closed or not ages:
            return
        try:
            self._store.put(self._key, self._encode(silent, ages), self._version)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="record last leases", reason=str(exc))
        except Exception as exc:
            # The caller has yet to release the pool.
            log(Event.INTERNAL_ERROR, what="record last leases", reason=repr(exc))

    def _write(self, ages: Mapping[str, timedelta]) -> bool:
        """Write the record; return whether it is certainly stored.

        An earlier write whose outcome is unknown cannot take effect any more once this one has.
        """
        value = self._encode(ages)
        self._listed |= ages.keys()
        outcome = self._store.put(self._key, value, self._version)
        if isinstance(outcome, Committed):
            self._version, is_written = outcome.version, True
        else:
            stored = self._store.get(self._key)
            # An empty record equals the one before it, but for the version.
            is_written = (
                stored is not None and stored.value == value and stored.version != self._version
            )
            if self._decode(stored).epoch <= self._epoch:
                # The record of a later owner must not be replaced.
                self._version = 0 if stored is None else stored.version
        if is_written:
            self._listed = frozenset(ages)
        return is_written

    def _encode(
        self, silent: Mapping[str, timedelta], ended: Mapping[str, timedelta] | None = None
    ) -> bytes:
        raw: dict[str, Any] = {"epoch": self._epoch, "silent_ms": _to_ms(silent)}
        if self._excess:
            raw["excess_ms"] = self._excess // MS
        if ended:
            raw["ended_ms"] = _to_ms(ended)
        return json.dumps(raw, separators=(",", ":")).encode()

    def _decode(self, stored: StoredValue | None) -> _Content:
        """Return the content of a record; a later build may add fields."""
        if stored is None:
            return _Content()
        try:
            raw = records.parse_object(stored.value)
            epoch = raw.get("epoch")
            if not records.is_number(epoch):
                raise InvalidMessageError("the epoch is missing or invalid")
            # Builds before write no `ended_ms` or no `excess_ms`.
            return _Content(
                epoch,
                _from_ms(raw.get("silent_ms")),
                _from_ms(raw.get("ended_ms", {})),
                _time_from_ms(raw.get("excess_ms", 0)),
            )
        except InvalidMessageError as exc:
            log(Event.MESSAGE_INVALID, what=self._key, reason=str(exc))
            return _Content()


def _to_ms(ages: Mapping[str, timedelta]) -> dict[str, int]:
    return {name: age // MS for name, age in ages.items()}


def _from_ms(raw: Any) -> dict[str, timedelta]:
    if not isinstance(raw, dict):
        raise InvalidMessageError("a field is missing or invalid")
    return {name: _time_from_ms(age) for name, age in raw.items()}


def _time_from_ms(raw: Any) -> timedelta:
    if not records.is_number(raw) or raw > MAX_AGE_MS:
        raise InvalidMessageError("a time is invalid")
    return MS * raw

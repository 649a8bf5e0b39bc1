"""The record of settled incarnations, which tells the next owner whose leases it knows.

It is designed for this load pattern: a worker is cut off, and the pool changes its owner, which has
not heard the worker. A call that was meant for an earlier incarnation of the worker may have given
it a longer lease than its owner has, see `PoolLeaseTimes.unfenced_excess`.

An incarnation is settled once no lease from such a call can end later than one that an owner grants
from then on. That stays true. So a record that is old, or written late by an earlier owner, can
only lack incarnations, and the next owner then waits for the longest lease.
"""

import json
from collections.abc import Mapping
from datetime import timedelta

from mulberryslip import records
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.outcomes import Committed
from mulberryslip.stores import Store

RECORD_INTERVAL = timedelta(seconds=1)
"""Shortest time between two writes; workers that restart together settle at about the same
time."""


def settlements_key(pool: int) -> str:
    """Return the store key of a pool's record of settled incarnations."""
    return f"pools/{pool}/settled"


class SettlementRecord:
    """The record as one owner reads and writes it. Not thread-safe.

    :param pool: number of the pool.
    """

    def __init__(self, pool: int, store: Store):
        self._key = settlements_key(pool)
        self._store = store
        self._version = 0
        self._incarnations: dict[str, str] = {}
        self._next_at = timedelta()

    def read(self) -> None:
        """Read what earlier owners have recorded; nothing if the store does not answer."""
        try:
            stored = self._store.get(self._key)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="read settled incarnations", reason=str(exc))
            return
        if stored is None:
            self._version, self._incarnations = 0, {}
            return
        self._version = stored.version
        try:
            self._incarnations = _decode(stored.value)
        except InvalidMessageError as exc:
            log(Event.MESSAGE_INVALID, what=self._key, reason=str(exc))

    def is_settled(self, worker_id: str, incarnation: str) -> bool:
        """Return whether an incarnation is recorded."""
        return bool(incarnation) and incarnation == self._incarnations.get(worker_id)

    def incarnations(self) -> dict[str, str]:
        """Return the recorded incarnation of each worker."""
        return dict(self._incarnations)

    def is_check_due(self, now: timedelta) -> bool:
        """Return whether to call `update`, whose argument compares all workers."""
        return now >= self._next_at

    def update(self, incarnations: Mapping[str, str], now: timedelta) -> None:
        """Write the record if it has changed.

        :param incarnations: the settled incarnation of each worker.
        """
        self._next_at = now + RECORD_INTERVAL
        if incarnations == self._incarnations:
            return
        value = json.dumps({"incarnations": dict(incarnations)}, separators=(",", ":")).encode()
        try:
            outcome = self._store.put(self._key, value, self._version)
            if isinstance(outcome, Committed):
                self._version, self._incarnations = outcome.version, dict(incarnations)
            else:
                # Another owner, or an earlier write of this one, has changed it.
                self.read()
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="record settled incarnations", reason=str(exc))


def _decode(value: bytes) -> dict[str, str]:
    incarnations = records.parse_object(value).get("incarnations")
    if not isinstance(incarnations, dict) or not all(
        isinstance(name, str) and name for name in incarnations.values()
    ):
        raise InvalidMessageError("the incarnations are missing or invalid")
    return incarnations

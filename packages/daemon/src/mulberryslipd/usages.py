"""Exchange of per-account usage between entries, through the platform's store."""

import json
import threading
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

import attrs
from mulberryslip import records
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.models import Resources
from mulberryslip.outcomes import Committed
from mulberryslip.quotas import REPORT_LIFETIME, AccountUsage, Quotas
from mulberryslip.stores import Store, StoredValue

from .sources import InvalidValueLog

USAGES_PREFIX = "usages/"
EXCHANGE_INTERVAL = timedelta(seconds=2)
"""Interval between exchanges. Quotas may be exceeded by the tasks that other entries start within
this time."""

AMOUNT_COUNT = len(Resources().amounts())


@attrs.frozen
class _SeenVersion:
    version: int
    since: timedelta


class UsageExchange:
    """Write the usage of the owned shards to the store and read that of the other shards.

    Each shard has one key, `usages/<n>`. An exchange makes one list call and one write per owned
    shard. A shard whose key no longer changes is ignored after a while, because its owner is gone.

    :param quotas: quotas of this process, which receive the usage of the other shards.
    :param owned: returns the shards that this process owns now.
    """

    def __init__(
        self,
        store: Store,
        quotas: Quotas,
        owned: Callable[[], Iterable[int]],
        clock: Clock,
        interval: timedelta = EXCHANGE_INTERVAL,
    ):
        self._store = store
        self._quotas = quotas
        self._owned = owned
        self._clock = clock
        self._interval = interval
        self._seen: dict[str, _SeenVersion] = {}
        self._invalid_values = InvalidValueLog()

    def run(self, stop: threading.Event) -> None:
        """Exchange usage periodically, until stopped."""
        while not self._clock.wait(stop, self._interval):
            try:
                self.exchange()
            except StoreError as exc:
                log(Event.STORE_UNAVAILABLE, call="exchange usage", reason=str(exc))

    def exchange(self) -> None:
        """Read the usage of all shards, then write that of the owned ones.

        :raises StoreError: the store did not answer.
        """
        stored = {value.key: value for value in self._store.list(USAGES_PREFIX).values}
        owned = {f"{USAGES_PREFIX}{shard}": f"shard-{shard}" for shard in self._owned()}
        for key, value in stored.items():
            if key not in owned:
                self._report_stored_usage(value)
        for key, source in owned.items():
            version = stored[key].version if key in stored else 0
            body = encode(self._quotas.usage_of(source))
            outcome = self._store.put(key, body, version)
            if not isinstance(outcome, Committed):
                # Usage is only a report, so the write is not retried; the next exchange reads the
                # key again.
                self._seen.pop(key, None)

    def _report_stored_usage(self, value: StoredValue) -> None:
        now = self._clock.monotonic()
        seen = self._seen.get(value.key)
        if seen is None or seen.version != value.version:
            seen = self._seen[value.key] = _SeenVersion(value.version, now)
        if now - seen.since > REPORT_LIFETIME:
            return
        try:
            usages = decode(value.value)
        except InvalidMessageError as exc:
            self._invalid_values.record(value, exc)
            return
        self._quotas.report(f"shard-{value.key.removeprefix(USAGES_PREFIX)}", usages)


def encode(usages: Mapping[str, AccountUsage]) -> bytes:
    """Return usage by account as JSON: used and waiting amounts for each account."""
    document = {
        name: [usage.used.amounts(), usage.waiting.amounts()] for name, usage in usages.items()
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(body: bytes) -> dict[str, AccountUsage]:
    """Return usage by account.

    :raises InvalidMessageError: the value is malformed.
    """
    document = records.parse_object(body)
    try:
        return {name: AccountUsage(*map(_resources, pair)) for name, pair in document.items()}
    except (ValueError, TypeError) as exc:
        raise InvalidMessageError(f"malformed usage report: {exc}") from exc


def _resources(amounts: object) -> Resources:
    valid = isinstance(amounts, list) and len(amounts) == AMOUNT_COUNT
    if not valid or not all(map(records.is_number, amounts)):
        raise ValueError(f"{amounts!r:.60} is not a list of {AMOUNT_COUNT} amounts")
    return Resources(*amounts)

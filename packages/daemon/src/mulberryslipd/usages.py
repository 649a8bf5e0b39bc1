"""Exchange of the accounts' usage between entries, through the platform's store."""

import json
import threading
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.models import Resources
from mulberryslip.outcomes import Committed
from mulberryslip.quotas import REPORT_LIFETIME, AccountUse, Quotas
from mulberryslip.stores import Store, StoredValue

USAGES_PREFIX = "usages/"
INTERVAL = timedelta(seconds=2)
"""Quotas may be overdrawn by what the other entries start within this time."""

AMOUNTS = len(Resources().amounts())


@attrs.frozen
class _Seen:
    version: int
    since: timedelta


class UsageExchange:
    """Writes the usage of the shards owned here and reads that of the others.

    One key for each shard, `usages/<n>`; one write for each owned shard and one listing each
    interval. A shard whose key does not change any more is left out after a while, since its
    owner has died.

    :param quotas: quotas of this process, fed with the other shards' usage.
    :param owned: returns the shards that this process owns now.
    """

    def __init__(
        self,
        store: Store,
        quotas: Quotas,
        owned: Callable[[], Iterable[int]],
        clock: Clock,
        interval: timedelta = INTERVAL,
    ):
        self._store = store
        self._quotas = quotas
        self._owned = owned
        self._clock = clock
        self._interval = interval
        self._seen: dict[str, _Seen] = {}

    def run(self, stop: threading.Event) -> None:
        """Exchange until stopped."""
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
                self._take(value)
        for key, source in owned.items():
            version = stored[key].version if key in stored else 0
            body = encode(self._quotas.uses_of(source))
            outcome = self._store.put(key, body, version)
            if not isinstance(outcome, Committed):
                # The next round reads the key anew; usage is only a report.
                self._seen.pop(key, None)

    def _take(self, value: StoredValue) -> None:
        now = self._clock.monotonic()
        seen = self._seen.get(value.key)
        if seen is None or seen.version != value.version:
            seen = self._seen[value.key] = _Seen(value.version, now)
        if now - seen.since > REPORT_LIFETIME:
            return
        try:
            uses = decode(value.value)
        except InvalidMessageError as exc:
            log(Event.MESSAGE_INVALID, what=value.key, reason=str(exc))
            return
        self._quotas.report(f"shard-{value.key.removeprefix(USAGES_PREFIX)}", uses)


def encode(uses: Mapping[str, AccountUse]) -> bytes:
    """Return usage by account as JSON: used and waiting amounts for each account."""
    document = {name: [use.used.amounts(), use.waiting.amounts()] for name, use in uses.items()}
    return json.dumps(document, separators=(",", ":")).encode()


def decode(body: bytes) -> dict[str, AccountUse]:
    """Return usage by account.

    :raises InvalidMessageError: the value is damaged.
    """
    try:
        document = json.loads(body)
        return {name: AccountUse(*map(_resources, pair)) for name, pair in document.items()}
    except (ValueError, TypeError, AttributeError) as exc:
        raise InvalidMessageError(f"usage is damaged: {exc}") from exc


def _resources(amounts: object) -> Resources:
    valid = isinstance(amounts, list) and len(amounts) == AMOUNTS
    if not valid or not all(type(amount) is int and amount >= 0 for amount in amounts):
        raise ValueError(f"amounts {amounts!r} are not {AMOUNTS} non-negative integers")
    return Resources(*amounts)

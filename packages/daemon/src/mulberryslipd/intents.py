"""The operators' configuration for pools, as the store holds it."""

import random
import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import ConfigError, StoreError, StoreUnavailableError
from mulberryslip.queues import PoolConfig
from mulberryslip.retries import backoff
from mulberryslip.stores import Listing, Store, StoredValue

from .sources import Outage

CONFIRM_INTERVAL = timedelta(milliseconds=800)
"""Longest wait of one watch. Its answer confirms the configuration from the moment of the call on,
so the known age stays below 2 s, and a connection that went silent is noticed in time."""

RETRY_BASE = timedelta(milliseconds=100)

Decode = Callable[[Mapping[str, StoredValue]], PoolConfig]
"""Turns the operators' documents, by key, into a configuration; raises `ConfigError`."""


class PoolConfigSource:
    """The newest configuration that this process has seen; its revision never goes back.

    The documents are read whole once. After that watches bring only what changes, since a large
    configuration takes most of a second on the smallest links.

    :param prefix: start of the operators' keys.
    :param decode: reads the documents.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        decode: Decode,
        clock: Clock,
        rng: random.Random,
        confirm_interval: timedelta = CONFIRM_INTERVAL,
    ):
        self._store = store
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._rng = rng
        self._confirm_interval = confirm_interval
        self._lock = threading.Lock()
        self._documents: dict[str, StoredValue] = {}
        self._removed: dict[str, int] = {}
        self._revision = 0
        self._config: PoolConfig | None = None
        self._confirmed_at: timedelta | None = None

    def config(self) -> PoolConfig | None:
        """Return the newest configuration, or None before the first read."""
        with self._lock:
            return self._config

    def age(self) -> timedelta:
        """Return how long ago the configuration was certainly the newest."""
        with self._lock:
            if self._confirmed_at is None:
                return timedelta.max
            return self._clock.monotonic() - self._confirmed_at

    def refresh(self) -> PoolConfig | None:
        """Take in all changes up to now.

        :raises StoreError: the store did not answer; the configuration is left as it is.
        """
        self._advance(timedelta())
        return self.config()

    def run(self, stop: threading.Event) -> None:
        """Follow the store until stopped."""
        outage = Outage("watch pool config")
        while not stop.is_set():
            try:
                self._advance(self._confirm_interval)
                outage.end()
            except StoreError as exc:
                outage.note(exc)
                self._clock.wait(stop, backoff(outage.failures, self._rng, RETRY_BASE))

    def _advance(self, wait: timedelta) -> None:
        """Read what has changed since the last call, waiting for a change."""
        sent_at = self._clock.monotonic()
        with self._lock:
            revision = self._revision
        listing = self._changes(revision, wait) if revision else None
        if listing is None:
            listing = self._store.list(self._prefix)
            self._replace(listing)
        else:
            self._merge(listing)
        with self._lock:
            self._revision = max(self._revision, listing.revision)
            self._confirmed_at = max(sent_at, self._confirmed_at or sent_at)

    def _changes(self, revision: int, wait: timedelta) -> Listing | None:
        """Return what changed after a revision; None when the store no longer has that history."""
        try:
            return self._store.watch(self._prefix, revision, wait)
        except StoreUnavailableError:
            raise
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="watch pool config", reason=str(exc))
            return None

    def _replace(self, listing: Listing) -> None:
        listed = {stored.key: stored for stored in listing.values}
        with self._lock:
            merged = {
                key: stored
                for key, stored in self._documents.items()
                # A document that came by the watch after this listing was read.
                if key not in listed and stored.version > listing.revision
            }
            for key, stored in listed.items():
                known = self._documents.get(key)
                is_newer = known is None or stored.version >= known.version
                if stored.version > self._removed.get(key, 0):
                    merged[key] = stored if is_newer else known
            self._apply(merged)

    def _merge(self, listing: Listing) -> None:
        if not listing.values:
            return
        with self._lock:
            merged = dict(self._documents)
            for stored in listing.values:
                # Two threads may take in their answers in either order.
                known = merged.get(stored.key)
                if stored.version == 0:
                    if known is None or known.version <= listing.revision:
                        merged.pop(stored.key, None)
                        self._removed[stored.key] = listing.revision
                elif stored.version > self._removed.get(stored.key, 0) and (
                    known is None or stored.version > known.version
                ):
                    merged[stored.key] = stored
            self._apply(merged)

    def _apply(self, documents: dict[str, StoredValue]) -> None:
        """Take over documents; the lock must be held."""
        if _versions(documents) == _versions(self._documents) and self._config is not None:
            return
        # Documents are kept even if they cannot be decoded: they are not sent again.
        self._documents = documents
        try:
            config = self._decode(documents)
        except ConfigError as exc:
            log(Event.CONFIG_REFUSED, reason=str(exc))
            return
        if self._config is not None and config.revision < self._config.revision:
            log(Event.CONFIG_REFUSED, reason="older", revision=config.revision)
            return
        self._config = config
        log(
            Event.CONFIG_APPLIED,
            revision=config.revision,
            queues=len(config.queues),
            out=sorted(config.data_centres_out),
        )


def _versions(documents: Mapping[str, StoredValue]) -> dict[str, int]:
    return {key: stored.version for key, stored in documents.items()}

"""The operators' pool configuration, read from the store."""

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

from .sources import OutageLog

CONFIRM_INTERVAL = timedelta(milliseconds=800)
"""Maximum wait of one watch.

Its response confirms that the configuration was current when the call was sent. This keeps the
known age below 2 s and detects a silent connection in time.
"""

RETRY_BASE = timedelta(milliseconds=100)

Decode = Callable[[Mapping[str, StoredValue]], PoolConfig]
"""Decodes the operators' documents, by key, into a configuration; raises `ConfigError`."""


class PoolConfigSource:
    """Keeps the newest configuration seen by this process; its revision never decreases.

    All documents are read once. After that, watches transfer only the changes, since a large
    configuration takes most of a second on the slowest links.

    :param prefix: prefix of the operators' keys.
    :param decode: decodes the documents.
    :param confirm_interval: maximum wait of one watch.
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
        self._removal_revisions: dict[str, int] = {}
        self._revision = 0
        self._config: PoolConfig | None = None
        self._confirmed_at: timedelta | None = None

    def config(self) -> PoolConfig | None:
        """Return the newest configuration, or None before the first read."""
        with self._lock:
            return self._config

    def age(self) -> timedelta:
        """Return the time since the configuration was last confirmed to be the newest."""
        with self._lock:
            if self._confirmed_at is None:
                return timedelta.max
            return self._clock.monotonic() - self._confirmed_at

    def refresh(self) -> PoolConfig | None:
        """Apply all changes made so far.

        :raises StoreError: the store did not respond; the configuration is unchanged.
        """
        self._apply_changes(timedelta())
        return self.config()

    def run(self, stop: threading.Event) -> None:
        """Watch the store until stopped."""
        outage = OutageLog("watch pool config")
        while not stop.is_set():
            try:
                self._apply_changes(self._confirm_interval)
                outage.record_success()
            except Exception as exc:
                # Without this thread the configuration would never change again.
                if not isinstance(exc, StoreError):
                    log(Event.INTERNAL_ERROR, what="watch pool config", reason=repr(exc))
                outage.record_failure(exc)
                self._clock.wait(stop, backoff(outage.failures, self._rng, RETRY_BASE))

    def _apply_changes(self, wait: timedelta) -> None:
        """Apply the changes since the last call, waiting up to `wait` for one."""
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
        """Return the changes after a revision; None if the store no longer has that history."""
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
                # Keep documents that a watch returned after this listing was read.
                if key not in listed and stored.version > listing.revision
            }
            for key, stored in listed.items():
                known = self._documents.get(key)
                is_newer = known is None or stored.version >= known.version
                if stored.version > self._removal_revisions.get(key, 0):
                    merged[key] = stored if is_newer else known
            self._apply(merged)

    def _merge(self, listing: Listing) -> None:
        if not listing.values:
            return
        with self._lock:
            merged = dict(self._documents)
            for stored in listing.values:
                # Two threads may apply their responses in either order.
                known = merged.get(stored.key)
                if stored.version == 0:
                    if known is None or known.version <= listing.revision:
                        merged.pop(stored.key, None)
                        self._removal_revisions[stored.key] = listing.revision
                elif stored.version > self._removal_revisions.get(stored.key, 0) and (
                    known is None or stored.version > known.version
                ):
                    merged[stored.key] = stored
            self._apply(merged)

    def _apply(self, documents: dict[str, StoredValue]) -> None:
        """Replace the documents and decode them; the caller must hold the lock."""
        if _versions(documents) == _versions(self._documents) and self._config is not None:
            return
        # Documents are kept even if decoding fails, since watches do not send them again.
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

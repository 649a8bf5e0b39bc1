"""Discovery of the pool's owner, from the store, from peers and from replies."""

import random
import threading
from datetime import timedelta

import attrs
from mulberryslip import records
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.retries import backoff
from mulberryslip.stores import Listing, Store

from .sources import InvalidValueLog, OutageLog

WATCH_TIMEOUT = timedelta(seconds=10)
RETRY_BASE = timedelta(milliseconds=100)
MIN_READ_INTERVAL = timedelta(milliseconds=200)
"""Minimum time between reads of the owner key while the known owner does not reply."""


def owner_key(pool: int) -> str:
    """Return the store key that names the owner of a pool."""
    return f"pools/{pool}/owner"


@attrs.frozen
class KnownOwner:
    """The owner of the pool.

    :param address: Thrift address of its process.
    :param epoch: version of the store key that names it; increases with each owner.
    """

    address: Address
    epoch: int


class PoolOwnerDirectory:
    """Watches the store key that names the owner. The known epoch never decreases.

    :param key: the store key.
    """

    def __init__(self, store: Store, key: str, clock: Clock, rng: random.Random):
        self._store = store
        self._key = key
        self._clock = clock
        self._rng = rng
        self._cond = threading.Condition()
        self._owner: KnownOwner | None = None
        self._newest_epoch = 0
        self._absent_revision = 0
        self._read_requested = threading.Event()
        self._read_at: timedelta | None = None
        self._invalid_values = InvalidValueLog()

    def owner(self) -> KnownOwner | None:
        """Return the owner, or None if none is known."""
        with self._cond:
            return self._owner

    def wait_for_owner(self, timeout: timedelta) -> KnownOwner | None:
        """Return the owner, waiting for one if none is known; None after the timeout."""
        expires = self._clock.monotonic() + timeout
        with self._cond:
            while self._owner is None:
                left = expires - self._clock.monotonic()
                if left <= timedelta():
                    return None
                self._cond.wait(left.total_seconds())
            return self._owner

    def update(self, owner: KnownOwner) -> None:
        """Record an owner, unless a newer one is known or the key has been absent since."""
        with self._cond:
            if owner.epoch < self._newest_epoch or owner.epoch <= self._absent_revision:
                return
            if self._owner is not None and owner.epoch == self._newest_epoch:
                return
            self._newest_epoch = owner.epoch
            self._owner = owner
            self._cond.notify_all()
        log(Event.OWNER_FOUND, key=self._key, owner=str(owner.address), epoch=owner.epoch)

    def report_failure(self, epoch: int) -> None:
        """Request a new read of the key, since the owner of this epoch failed to serve a call."""
        with self._cond:
            is_current = self._owner is not None and self._owner.epoch == epoch
        if is_current:
            self._read_requested.set()

    def run(self, stop: threading.Event) -> None:
        """Watch the key until stopped."""
        threading.Thread(
            target=self._run_reads, args=(stop,), name="owner-reads", daemon=True
        ).start()
        outage = OutageLog("watch owner")
        revision = 0
        while not stop.is_set():
            try:
                revision = self._watch_once(revision)
                outage.record_success()
            except Exception as exc:
                # Without this thread the process would never hear of another owner.
                if not isinstance(exc, StoreError):
                    log(Event.INTERNAL_ERROR, what="watch owner", reason=repr(exc))
                outage.record_failure(exc)
                revision = 0
                self._clock.wait(stop, backoff(outage.failures, self._rng, RETRY_BASE))

    def refresh(self) -> None:
        """Read the key once.

        :raises StoreError: the store did not respond.
        """
        self._apply_listing(self._store.list(self._key))

    def _run_reads(self, stop: threading.Event) -> None:
        outage = OutageLog("read owner")
        while not stop.is_set():
            if not self._clock.wait(self._read_requested, WATCH_TIMEOUT):
                continue
            self._read_requested.clear()
            try:
                self.refresh()
                outage.record_success()
            except Exception as exc:
                if not isinstance(exc, StoreError):
                    log(Event.INTERNAL_ERROR, what="read owner", reason=repr(exc))
                outage.record_failure(exc)
            pause = backoff(outage.failures, self._rng, 2 * MIN_READ_INTERVAL)
            self._clock.wait(stop, max(MIN_READ_INTERVAL, pause))

    def _watch_once(self, revision: int) -> int:
        if revision == 0:
            listing = self._store.list(self._key)
            self._apply_listing(listing)
            return listing.revision
        listing = self._store.watch(self._key, revision, WATCH_TIMEOUT)
        if any(stored.key == self._key for stored in listing.values):
            self._apply_listing(listing)
        return listing.revision

    def _apply_listing(self, listing: Listing) -> None:
        stored = next((value for value in listing.values if value.key == self._key), None)
        if stored is None or stored.version == 0:
            self._record_absence(listing.revision)
            return
        try:
            address = Address.from_record(records.parse_object(stored.value))
        except InvalidMessageError as exc:
            self._invalid_values.record(stored, exc)
            return
        self.update(KnownOwner(address, stored.version))

    def _record_absence(self, revision: int) -> None:
        """Record that the key was absent at a revision of the store."""
        with self._cond:
            self._absent_revision = max(self._absent_revision, revision)
            lost = self._owner
            if lost is None or lost.epoch > revision:
                return
            self._owner = None
            self._cond.notify_all()
        log(Event.OWNER_LOST, key=self._key, owner=str(lost.address), epoch=lost.epoch)

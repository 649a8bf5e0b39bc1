"""The process's lease in the platform's store."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import StoreError
from mulberryslip.stores import Store

# Two renewals can fail before the lease expires.
_RENEWALS_PER_TTL = 3

# Renewals of many processes that started together drift apart.
_RENEWAL_JITTER = 0.1

_FIRST_BACKOFF = timedelta(milliseconds=50)


def _ignore(_: str) -> None:
    """Do nothing with a session id."""


class Session:
    """Store lease of this process, renewed by a thread of its own.

    The validity counts from the moment at which the last successful renewal was *sent*, on the
    process's own monotonic clock, so it ends before the store deletes the lease's keys even when
    the answer was slow or the process was paused.

    A renewal that succeeds after the validity has run out continues the same session: the store has
    kept the lease, so its keys were never deleted.

    :param store: the platform's store.
    :param ttl: time to live of the lease.
    :param clock: measures the validity.
    :param on_new: called with the id of each new session, from the renewing thread; it must return
        within a fraction of the TTL.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        store: Store,
        ttl: timedelta,
        clock: Clock,
        on_new: Callable[[str], None] = _ignore,
        rng: random.Random | None = None,
    ):
        self._store = store
        self._ttl = ttl
        self._clock = clock
        self._on_new = on_new
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._session_id = ""
        self._valid_until = clock.monotonic()
        self._failures = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="session", daemon=True)

    @property
    def session_id(self) -> str:
        """Id of the store lease; empty before the first one and after a known expiry."""
        with self._lock:
            return self._session_id

    def valid(self) -> bool:
        """Return whether the lease certainly still exists."""
        return self.remaining() > timedelta()

    def remaining(self) -> timedelta:
        """Return how long the lease certainly still exists; zero when it may have expired."""
        with self._lock:
            return max(timedelta(), self._valid_until - self._clock.monotonic())

    def start(self) -> None:
        """Start the renewing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing and end the lease, which deletes its keys.

        When the store is unavailable, the lease expires by itself.
        """
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        lease_id = self._forget()
        if not lease_id:
            return
        try:
            self._store.revoke_lease(lease_id)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="revoke_lease", reason=str(exc))

    def renew(self) -> timedelta:
        """Renew the lease or open a new one, once.

        :returns: time to wait before the next renewal.
        """
        try:
            self._renew_or_grant()
        except StoreError as exc:
            return self._failed(exc)
        if self._failures:
            log(Event.STORE_RECOVERED, call="renew_lease", failures=self._failures)
        self._failures = 0
        return self._ttl / _RENEWALS_PER_TTL * (1 - _RENEWAL_JITTER * self._rng.random())

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                pause = self.renew()
            except Exception as exc:
                # The thread must outlive a fault in the callback, or the process would lose its
                # lease for good.
                log(Event.INTERNAL_ERROR, where="session", reason=repr(exc))
                pause = self._backoff()
            self._clock.wait(self._stopping, pause)

    def _renew_or_grant(self) -> None:
        lease_id = self.session_id
        sent = self._clock.monotonic()
        if lease_id and self._store.renew_lease(lease_id):
            self._extend(lease_id, sent)
            return
        if lease_id:
            self._forget()
            log(Event.SESSION_EXPIRED, session=lease_id)
        sent = self._clock.monotonic()
        granted = self._store.grant_lease(self._ttl)
        self._extend(granted, sent)
        self._on_new(granted)

    def _extend(self, lease_id: str, sent: timedelta) -> None:
        with self._lock:
            self._session_id = lease_id
            self._valid_until = sent + self._ttl

    def _forget(self) -> str:
        with self._lock:
            lease_id = self._session_id
            self._session_id = ""
            self._valid_until = self._clock.monotonic()
            return lease_id

    def _failed(self, exc: StoreError) -> timedelta:
        self._failures += 1
        if self._failures == 1:
            log(Event.STORE_UNAVAILABLE, call="renew_lease", reason=str(exc))
        return self._backoff()

    def _backoff(self) -> timedelta:
        """Return a random pause up to a bound that doubles with each failure."""
        longest = self._ttl / _RENEWALS_PER_TTL
        bound = min(longest, _FIRST_BACKOFF * 2 ** min(self._failures, 10))
        return bound * (0.5 + 0.5 * self._rng.random())

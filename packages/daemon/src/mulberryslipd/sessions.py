"""The process's lease in the platform's store."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import StoreError
from mulberryslip.stores import Store

# Two consecutive renewals can fail before the lease expires.
_RENEWALS_PER_TTL = 3

# Spreads the renewals of processes that were started at the same time.
_RENEWAL_JITTER = 0.1

_FIRST_BACKOFF = timedelta(milliseconds=50)


def _do_nothing(_: str) -> None:
    """Ignore a new session id."""


class Session:
    """Store lease of this process, renewed by a background thread.

    The validity is counted from the time at which the last successful renewal was *sent*, on the
    process's own monotonic clock. It thus ends before the store deletes the lease's keys, even if
    the response was slow or the process was paused.

    A renewal that succeeds after the validity has ended continues the same session: the store has
    kept the lease, so its keys were never deleted.

    :param store: the platform's store.
    :param ttl: time to live of the lease.
    :param clock: clock that measures the validity.
    :param on_new: called with the id of each new session, from the renewal thread; it must return
        within a fraction of the TTL.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        store: Store,
        ttl: timedelta,
        clock: Clock,
        on_new: Callable[[str], None] = _do_nothing,
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
        self._answered_at = clock.monotonic()
        self._failures = 0
        self._failing_since: timedelta | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="session", daemon=True)

    @property
    def session_id(self) -> str:
        """Id of the store lease; empty before the first one and after a known expiry."""
        with self._lock:
            return self._session_id

    def valid(self) -> bool:
        """Return whether the lease is certain to exist still."""
        return self.remaining() > timedelta()

    def remaining(self) -> timedelta:
        """Return how long the lease is certain to exist; zero when it may have expired."""
        with self._lock:
            return max(timedelta(), self._valid_until - self._clock.monotonic())

    @property
    def failing_since(self) -> timedelta | None:
        """When the first renewal was sent that failed since the last successful one, if any."""
        with self._lock:
            return self._failing_since

    def start(self) -> None:
        """Start the renewal thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the renewal and revoke the lease, which deletes its keys.

        If the store is unavailable, the lease expires on its own.
        """
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        lease_id = self._invalidate()
        if not lease_id:
            return
        try:
            self._store.revoke_lease(lease_id)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="revoke_lease", reason=str(exc))
        except Exception as exc:
            # The calling thread claims the ownership again; the lease expires on its own.
            log(Event.INTERNAL_ERROR, what="revoke_lease", reason=repr(exc))

    def renew(self) -> timedelta:
        """Renew the lease once, or request a new one.

        :returns: time to wait before the next renewal.
        """
        sent = self._clock.monotonic()
        try:
            self._renew_or_grant()
        except StoreError as exc:
            with self._lock:
                # An extension that was sent later may have succeeded meanwhile.
                if sent >= self._answered_at:
                    self._failing_since = self._failing_since or sent
            return self._handle_failure(exc)
        with self._lock:
            self._failing_since = None
        if self._failures:
            log(Event.STORE_RECOVERED, call="renew_lease", failures=self._failures)
        self._failures = 0
        return self._ttl / _RENEWALS_PER_TTL * (1 - _RENEWAL_JITTER * self._rng.random())

    def extend(self) -> None:
        """Renew the lease now, beside the scheduled renewals; never request a new one.

        :raises StoreError: the store did not answer.
        """
        lease_id = self.session_id
        sent = self._clock.monotonic()
        if not lease_id or not self._store.renew_lease(lease_id):
            return
        with self._lock:
            if self._session_id != lease_id:
                return
            self._valid_until = max(self._valid_until, sent + self._ttl)
            self._answered_at = max(self._answered_at, sent)
            self._failing_since = None

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                pause = self.renew()
            except Exception as exc:
                # The thread must survive an exception in the callback; otherwise the process would
                # lose its lease permanently.
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
            self._invalidate()
            log(Event.SESSION_EXPIRED, session=lease_id)
        sent = self._clock.monotonic()
        granted = self._store.grant_lease(self._ttl)
        self._extend(granted, sent)
        self._on_new(granted)

    def _extend(self, lease_id: str, sent: timedelta) -> None:
        with self._lock:
            self._session_id = lease_id
            self._valid_until = sent + self._ttl

    def _invalidate(self) -> str:
        with self._lock:
            lease_id = self._session_id
            self._session_id = ""
            self._valid_until = self._clock.monotonic()
            return lease_id

    def _handle_failure(self, exc: StoreError) -> timedelta:
        self._failures += 1
        if self._failures == 1:
            log(Event.STORE_UNAVAILABLE, call="renew_lease", reason=str(exc))
        return self._backoff()

    def _backoff(self) -> timedelta:
        """Return a random pause below a bound that doubles with each failure."""
        max_pause = self._ttl / _RENEWALS_PER_TTL
        bound = min(max_pause, _FIRST_BACKOFF * 2 ** min(self._failures, 10))
        return bound * (0.5 + 0.5 * self._rng.random())

"""Reads the operators' configuration from the store and writes changes to it."""

import random
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from mulberryslip.changes import (
    Accepted,
    AlreadyAccepted,
    Change,
    Stale,
    decide,
    describe_subject,
    latest_view,
)
from mulberryslip.clocks import Clock
from mulberryslip.configs import CONFIG_KEY, ConfigView
from mulberryslip.events import Event, log
from mulberryslip.exceptions import ConfigError, StoreError, StoreUnavailableError
from mulberryslip.outcomes import Committed, Unknown
from mulberryslip.retries import Deadline, backoff
from mulberryslip.stores import Store, StoredValue

READ_INTERVAL = timedelta(seconds=2)
WATCH_TIMEOUT = timedelta(seconds=10)
WRITE_TIMEOUT = timedelta(seconds=5)
MAX_WRITE_ATTEMPTS = 20
MAX_INVALID_KEYS = 1000


class ConfigSource:
    """Holds the newest configuration that this process has seen; its revision never decreases.

    :param store: the platform's store.
    :param clock: source of time for the waits.
    :param read_interval: time between periodic reads, needed in case the watch stalls.
    """

    def __init__(self, store: Store, clock: Clock, read_interval: timedelta = READ_INTERVAL):
        self._store = store
        self._clock = clock
        self._read_interval = read_interval
        self._lock = threading.Lock()
        self._view: ConfigView | None = None
        self._applied_version = -1
        self._subscribers: list[Callable[[ConfigView], None]] = []
        self._rng = random.Random()

    def view(self) -> ConfigView | None:
        """Return the newest view, or None before the first read."""
        with self._lock:
            return self._view

    def revision(self) -> int:
        """Return the newest revision; 0 before the first read."""
        view = self.view()
        return 0 if view is None else view.revision

    def subscribe(self, subscriber: Callable[[ConfigView], None]) -> None:
        """Call a function with each newer view; it must not block."""
        with self._lock:
            self._subscribers.append(subscriber)
            view = self._view
        if view is not None:
            subscriber(view)

    def apply_if_newer(self, view: ConfigView) -> ConfigView:
        """Replace the view if the given one is newer.

        :returns: the newest view.
        """
        with self._lock:
            newest_view = latest_view(self._view, view)
            changed = newest_view is not self._view
            self._view = newest_view
            subscribers = list(self._subscribers) if changed else []
        for subscriber in subscribers:
            subscriber(newest_view)
        if changed:
            log(Event.CONFIG_APPLIED, revision=newest_view.revision)
        return newest_view

    def refresh(self) -> ConfigView:
        """Read the store and return the newest view.

        :raises StoreUnavailableError: when the store does not respond; the view is unchanged.
        :raises ConfigError: when the stored document is invalid; the view is unchanged.
        """
        return self.apply_stored(self._store.get(CONFIG_KEY))

    def apply_stored(self, stored: StoredValue | None) -> ConfigView:
        """Apply the stored document and return the newest view.

        Each scheduling round that starts tasks reads the document, and parsing 160 KB takes 20 ms,
        so it is parsed only once for each version of the key.

        :raises ConfigError: when the document is invalid; the view is unchanged.
        """
        version = 0 if stored is None else stored.version
        with self._lock:
            if self._view is not None and version == self._applied_version:
                return self._view
        view = self.apply_if_newer(parse_stored_config(stored))
        with self._lock:
            self._applied_version = version
        return view

    def run_reads(self, stop: threading.Event) -> None:
        """Read the store periodically until stopped."""
        outage = OutageLog("read config")
        while not stop.is_set():
            try:
                self.refresh()
                outage.record_success()
            except (StoreError, ConfigError) as exc:
                outage.record_failure(exc)
            self._clock.wait(stop, self._read_interval)

    def run_watch(self, stop: threading.Event) -> None:
        """Watch the store until stopped."""
        outage = OutageLog("watch config")
        revision = 0
        while not stop.is_set():
            try:
                revision = self._watch_once(revision)
                outage.record_success()
            except (StoreError, ConfigError) as exc:
                outage.record_failure(exc)
                # The store may have reset its revisions; a new listing returns the current one.
                revision = 0
                pause = backoff(outage.failures, self._rng, timedelta(milliseconds=100))
                self._clock.wait(stop, pause)

    def _watch_once(self, revision: int) -> int:
        if revision == 0:
            listing = self._store.list(CONFIG_KEY)
        else:
            listing = self._store.watch(CONFIG_KEY, revision, WATCH_TIMEOUT)
        for stored in listing.values:
            if stored.key == CONFIG_KEY and stored.version > 0:
                self.apply_stored(stored)
        return listing.revision


class OutageLog:
    """Logs the first of several consecutive failures of a store call, and the recovery."""

    def __init__(self, call: str):
        self._call = call
        self.failures = 0

    def record_failure(self, exc: Exception) -> None:
        """Count a failure."""
        self.failures += 1
        if self.failures == 1:
            log(Event.STORE_UNAVAILABLE, call=self._call, reason=str(exc))

    def record_success(self) -> None:
        """Record that a call has succeeded."""
        if self.failures:
            log(Event.STORE_RECOVERED, call=self._call, failures=self.failures)
        self.failures = 0


class InvalidValueLog:
    """Logs each invalid value of the store once, however often it is read."""

    def __init__(self):
        self._versions: dict[str, int] = {}

    def record(self, stored: StoredValue, exc: Exception) -> None:
        """Log why a value is invalid, unless this version of its key was logged last."""
        if self._versions.get(stored.key) == stored.version:
            return
        if len(self._versions) >= MAX_INVALID_KEYS:
            self._versions.clear()
        self._versions[stored.key] = stored.version
        log(Event.MESSAGE_INVALID, what=stored.key, reason=str(exc))


@dataclass(frozen=True)
class ChangeAccepted:
    """A change took effect.

    :param revision: revision that the change produced.
    :param resent: whether an earlier request had already made the change.
    """

    revision: int
    resent: bool = False


@dataclass(frozen=True)
class ChangeUnavailable:
    """A change was not made because the store does not respond."""

    reason: str


@dataclass(frozen=True)
class ChangeUnknown:
    """A change may have been made; resending it with the same `Change-Id` is safe."""

    reason: str


ChangeOutcome = ChangeAccepted | Stale | ChangeUnavailable | ChangeUnknown


class ConfigWriter:
    """Writes operators' changes by compare-and-swap.

    :param store: the platform's store.
    :param source: receives each accepted document, so that this process applies it at once.
    """

    def __init__(
        self,
        store: Store,
        source: ConfigSource,
        clock: Clock,
        rng: random.Random,
        timeout: timedelta = WRITE_TIMEOUT,
    ):
        self._store = store
        self._source = source
        self._clock = clock
        self._rng = rng
        self._timeout = timeout

    def write(
        self, change: Change, based_on: int, change_id: str = "", operator: str = ""
    ) -> ChangeOutcome:
        """Make one change.

        :param based_on: revision on which the operator based the change.
        :param change_id: the operator's id of the change, or empty.
        :raises ConfigError: when the change makes the document invalid.
        :raises StoreError: the document cannot be read or written; the change was not made.
        """
        # Every record needs an id, by which a write whose response was lost is found again.
        record_id = change_id or f"entry-{uuid.uuid4().hex}"
        deadline = Deadline(self._clock, self._timeout)
        unknown_reason = ""
        for attempt in range(1, MAX_WRITE_ATTEMPTS + 1):
            try:
                outcome = self._try_write(change, based_on, record_id, operator)
            except StoreError as exc:
                if unknown_reason:
                    # Whether the earlier write took effect is still not known.
                    outcome = Unknown(str(exc))
                elif isinstance(exc, StoreUnavailableError):
                    return ChangeUnavailable(str(exc))
                else:
                    raise
            if isinstance(outcome, AlreadyAccepted):
                return ChangeAccepted(outcome.revision, resent=not unknown_reason)
            if isinstance(outcome, ChangeAccepted | Stale):
                self._log_change(outcome, change, operator)
                return outcome
            if isinstance(outcome, Unknown):
                unknown_reason = outcome.reason
            if deadline.expired():
                break
            self._clock.sleep(deadline.cap(backoff(attempt, self._rng)))
        if unknown_reason:
            return ChangeUnknown(unknown_reason)
        return ChangeUnavailable("the configuration is being changed too often; try again")

    def _try_write(
        self, change: Change, based_on: int, change_id: str, operator: str
    ) -> ChangeAccepted | AlreadyAccepted | Stale | Unknown | None:
        """Try once; return None when the document was changed meanwhile."""
        stored = self._store.get(CONFIG_KEY)
        try:
            current = self._source.apply_stored(stored)
        except ConfigError as exc:
            # Nothing is wrong with the change; an earlier write of it may have taken effect.
            raise StoreError(f"the stored document: {exc}") from exc
        decision = decide(current, change, based_on, change_id, operator)
        if not isinstance(decision, Accepted):
            return decision
        version = 0 if stored is None else stored.version
        outcome = self._store.put(CONFIG_KEY, decision.view.to_json(), version)
        if isinstance(outcome, Unknown):
            return outcome
        if not isinstance(outcome, Committed):
            return None
        self._source.apply_if_newer(decision.view)
        return ChangeAccepted(decision.view.revision)

    def _log_change(self, outcome: ChangeAccepted | Stale, change: Change, operator: str) -> None:
        accepted = isinstance(outcome, ChangeAccepted)
        log(
            Event.CONFIG_ACCEPTED if accepted else Event.CONFIG_REFUSED,
            revision=outcome.revision,
            operator=operator,
            subject=describe_subject(change),
        )


def parse_stored_config(stored: StoredValue | None) -> ConfigView:
    """Return the view of a stored document; revision 0 when there is no document.

    :raises ConfigError: when it is invalid.
    """
    if stored is None:
        return ConfigView()
    return ConfigView.from_json(stored.value)

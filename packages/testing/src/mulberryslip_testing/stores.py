"""Stand-in for the platform's store: state, faults and HTTP server."""

import enum
import heapq
import random
import threading
from datetime import timedelta

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.exceptions import LeaseExpiredError, ValueTooLargeError
from mulberryslip.outcomes import Committed, Conflict, WriteOutcome
from mulberryslip.stores import MAX_VALUE_BYTES, CallKind, Listing, StoredValue


@attrs.define
class _Lease:
    ttl: timedelta
    expires: timedelta
    keys: set[str] = attrs.Factory(set)


class StoreState:
    """Keys, leases and waiting watches of the store, without faults or limits.

    :param clock: measures the leases and the waits.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.RLock()
        self._revision = 0
        self._values: dict[str, StoredValue] = {}
        self._deleted: dict[str, int] = {}
        self._leases: dict[str, _Lease] = {}
        self._key_lease: dict[str, str] = {}
        self._lease_count = 0
        self._waiting: set[threading.Event] = set()

    def get(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        with self._lock:
            self._expire()
            return self._values.get(key)

    def list(self, prefix: str) -> Listing:
        """Return all values under a prefix."""
        with self._lock:
            self._expire()
            keys = sorted(key for key in self._values if key.startswith(prefix))
            return Listing(tuple(self._values[key] for key in keys), self._revision)

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key by compare-and-swap."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
        with self._lock:
            self._expire()
            if lease_id and lease_id not in self._leases:
                raise LeaseExpiredError(f"lease {lease_id} has expired")
            found = self._version(key)
            if found != expected_version:
                return Conflict(found)
            self._detach(key)
            if lease_id:
                self._key_lease[key] = lease_id
                self._leases[lease_id].keys.add(key)
            self._deleted.pop(key, None)
            self._revision += 1
            self._values[key] = StoredValue(key, value, self._revision)
            self._notify()
            return Committed(self._revision)

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key by compare-and-swap."""
        with self._lock:
            self._expire()
            found = self._version(key)
            if found != expected_version or found == 0:
                return Conflict(found)
            self._remove(key)
            return Committed(self._revision)

    def grant_lease(self, ttl: timedelta) -> str:
        """Open a lease and return its id."""
        with self._lock:
            self._expire()
            self._lease_count += 1
            lease_id = f"lease-{self._lease_count}"
            self._leases[lease_id] = _Lease(ttl, self._clock.monotonic() + ttl)
            return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; return False when it has expired."""
        with self._lock:
            self._expire()
            lease = self._leases.get(lease_id)
            if lease is None:
                return False
            lease.expires = self._clock.monotonic() + lease.ttl
            return True

    def revoke_lease(self, lease_id: str) -> bool:
        """End a lease and delete its keys; return False when it had expired."""
        with self._lock:
            self._expire()
            return self._end_lease(lease_id)

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change; return an empty listing when none came."""
        deadline = self._clock.monotonic() + timeout
        changed = threading.Event()
        with self._lock:
            self._waiting.add(changed)
        try:
            while True:
                with self._lock:
                    self._expire()
                    listing = self._changes(prefix, after_revision)
                    now = self._clock.monotonic()
                    if listing.values or now >= deadline:
                        return listing
                    changed.clear()
                    wake = min([deadline, *(lease.expires for lease in self._leases.values())])
                self._clock.wait(changed, wake - now)
        finally:
            with self._lock:
                self._waiting.discard(changed)

    def _changes(self, prefix: str, after_revision: int) -> Listing:
        present = (
            value
            for key, value in self._values.items()
            if value.version > after_revision and key.startswith(prefix)
        )
        absent = (
            StoredValue(key, b"", 0)
            for key, revision in self._deleted.items()
            if revision > after_revision and key.startswith(prefix)
        )
        values = heapq.merge(
            sorted(present, key=lambda v: v.key),
            sorted(absent, key=lambda v: v.key),
            key=lambda v: v.key,
        )
        return Listing(tuple(values), self._revision)

    def _version(self, key: str) -> int:
        return self._values[key].version if key in self._values else 0

    def _remove(self, key: str) -> None:
        self._detach(key)
        del self._values[key]
        self._revision += 1
        self._deleted[key] = self._revision
        self._notify()

    def _detach(self, key: str) -> None:
        lease_id = self._key_lease.pop(key, "")
        if lease_id in self._leases:
            self._leases[lease_id].keys.discard(key)

    def _end_lease(self, lease_id: str) -> bool:
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self._remove(key)
        del self._leases[lease_id]
        return True

    def _expire(self) -> None:
        now = self._clock.monotonic()
        expired = [name for name, lease in self._leases.items() if lease.expires <= now]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _notify(self) -> None:
        for event in self._waiting:
            event.set()


class RateLimit:
    """Token bucket.

    :param per_second: calls per second; 0 means unlimited.
    :param clock: measures the time.
    """

    BURST = timedelta(milliseconds=250)

    def __init__(self, per_second: float, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self.set(per_second)

    def set(self, per_second: float) -> None:
        """Change the rate and refill the bucket."""
        with self._lock:
            self._rate = per_second
            self._burst = max(1.0, per_second * self.BURST.total_seconds())
            self._tokens = self._burst
            self._last = self._clock.monotonic()

    def take(self) -> bool:
        """Return whether one more call is within the rate."""
        with self._lock:
            if self._rate == 0:
                return True
            now = self._clock.monotonic()
            gained = (now - self._last).total_seconds() * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
            self._last = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


@attrs.frozen
class Faults:
    """Faults and limits of the stand-in; they can be changed while it runs.

    :param outage: empty, `refuse` (each call answered 503) or `drop` (connections closed).
    :param delay_ms: delay of each call in milliseconds.
    :param delay_jitter_ms: upper bound of a random addition to it.
    :param lost_answer_probability: share of writes and lease calls that take effect and whose
        answer is lost.
    :param lost_call_probability: share of writes and lease calls that are lost without effect.
    :param writes_per_s: rate limit of writes and lease calls; 0 means unlimited.
    :param reads_per_s: rate limit of reads and watches; 0 means unlimited.
    :param seed: start of the random numbers; setting any fault restarts them.
    """

    outage: str = attrs.field(default="", validator=attrs.validators.in_(("", "refuse", "drop")))
    delay_ms: float = attrs.field(default=0.0, converter=float)
    delay_jitter_ms: float = attrs.field(default=0.0, converter=float)
    lost_answer_probability: float = attrs.field(default=0.0, converter=float)
    lost_call_probability: float = attrs.field(default=0.0, converter=float)
    writes_per_s: float = attrs.field(default=400.0, converter=float)
    reads_per_s: float = attrs.field(default=2000.0, converter=float)
    seed: int = attrs.field(default=1, converter=int)


class Fate(enum.Enum):
    """What happens to one call."""

    NORMAL = "normal"
    REFUSED = "refused"
    OVER_RATE = "over rate"
    CALL_LOST = "call lost"
    ANSWER_LOST = "answer lost"


class FaultInjector:
    """Decides the fate of each call from the current faults.

    :param clock: used for delays and rates.
    :param faults: faults at the start.
    """

    def __init__(self, clock: Clock, faults: Faults):
        self._clock = clock
        self._lock = threading.Lock()
        self._writes = RateLimit(faults.writes_per_s, clock)
        self._reads = RateLimit(faults.reads_per_s, clock)
        self.set(faults)

    @property
    def faults(self) -> Faults:
        """The current faults."""
        return self._faults

    def set(self, faults: Faults) -> None:
        """Replace the faults and restart the random numbers."""
        with self._lock:
            self._faults = faults
            self._random = random.Random(faults.seed)
            self._writes.set(faults.writes_per_s)
            self._reads.set(faults.reads_per_s)

    def fate(self, kind: CallKind) -> Fate:
        """Wait for the delay of one call and decide its fate."""
        faults = self._faults
        with self._lock:
            delay_ms = faults.delay_ms + faults.delay_jitter_ms * self._random.random()
            draw = self._random.random()
        if delay_ms > 0:
            self._clock.sleep(timedelta(milliseconds=delay_ms))
        if faults.outage:
            return Fate.REFUSED if faults.outage == "refuse" else Fate.CALL_LOST
        changing = kind in (CallKind.WRITE, CallKind.LEASE)
        if not (self._writes if changing else self._reads).take():
            return Fate.OVER_RATE
        if changing and draw < faults.lost_answer_probability:
            return Fate.ANSWER_LOST
        if changing and draw < faults.lost_answer_probability + faults.lost_call_probability:
            return Fate.CALL_LOST
        return Fate.NORMAL

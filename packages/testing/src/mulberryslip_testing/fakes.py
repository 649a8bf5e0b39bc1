"""In-memory fakes of the platform's interfaces, with fault switches."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.clocks import Clock, SystemClock
from mulberryslip.exceptions import StoreUnavailableError
from mulberryslip.outcomes import Unknown, WriteOutcome
from mulberryslip.stores import CallCounter, CallKind, Listing, StoredValue

from .stores import Fate, FaultInjector, Faults, StoreState


class FakeStore:
    """`Store` in memory; several users may share one to act as separate processes.

    Faults: `set_faults(outage="refuse", ...)` with the fields of `Faults`, and `lose_answers(n)` or
    `lose_calls(n)` for the next writes. There is no rate limit unless one is set.

    :param clock: measures leases, waits and delays.
    """

    def __init__(self, clock: Clock | None = None):
        clock = clock or SystemClock()
        self.state = StoreState(clock)
        self._injector = FaultInjector(clock, Faults(writes_per_s=0, reads_per_s=0))
        self._calls = CallCounter()
        self._lock = threading.Lock()
        self._scripted: list[Fate] = []

    def set_faults(self, **faults: object) -> None:
        """Change the named faults and keep the others; see `Faults`."""
        self._injector.set(attrs.evolve(self._injector.faults, **faults))

    def lose_answers(self, count: int = 1) -> None:
        """Let the next writes take effect and lose their answers."""
        self._script(Fate.ANSWER_LOST, count)

    def lose_calls(self, count: int = 1) -> None:
        """Lose the next writes without effect; the caller cannot tell."""
        self._script(Fate.CALL_LOST, count)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by kind (`read`, `write`, `lease`, `watch`)."""
        return self._calls.counts()

    def get(self, key: str) -> StoredValue | None:
        """Read one key."""
        return self._answer(CallKind.READ, lambda: self.state.get(key))

    def list(self, prefix: str) -> Listing:
        """Read all keys under a prefix."""
        return self._answer(CallKind.READ, lambda: self.state.list(prefix))

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key by compare-and-swap."""
        return self._write(lambda: self.state.put(key, value, expected_version, lease_id))

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key by compare-and-swap."""
        return self._write(lambda: self.state.delete(key, expected_version))

    def grant_lease(self, ttl: timedelta) -> str:
        """Open a lease."""
        return self._answer(CallKind.LEASE, lambda: self.state.grant_lease(ttl))

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; False when it has expired."""
        return self._answer(CallKind.LEASE, lambda: self.state.renew_lease(lease_id))

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._answer(CallKind.LEASE, lambda: self.state.revoke_lease(lease_id))

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change under a prefix."""
        return self._answer(
            CallKind.WATCH, lambda: self.state.watch(prefix, after_revision, timeout)
        )

    def _script(self, fate: Fate, count: int) -> None:
        with self._lock:
            self._scripted.extend([fate] * count)

    def _fate(self, kind: CallKind) -> Fate:
        self._calls.add(kind)
        fate = self._injector.fate(kind)
        if kind is CallKind.WRITE and fate is Fate.NORMAL:
            with self._lock:
                return self._scripted.pop(0) if self._scripted else fate
        return fate

    def _answer(self, kind: CallKind, call: Callable[[], Any]) -> Any:
        fate = self._fate(kind)
        answer = call() if fate in (Fate.NORMAL, Fate.ANSWER_LOST) else None
        if fate is Fate.NORMAL and kind is CallKind.WATCH:
            fate = self._injector.outage_fate()
        if fate is not Fate.NORMAL:
            raise StoreUnavailableError(f"store call failed: {fate.value}")
        return answer

    def _write(self, call: Callable[[], WriteOutcome]) -> WriteOutcome:
        fate = self._fate(CallKind.WRITE)
        if fate in (Fate.REFUSED, Fate.OVER_RATE):
            raise StoreUnavailableError(f"store write failed: {fate.value}")
        if fate is Fate.CALL_LOST:
            return Unknown(fate.value)
        outcome = call()
        return Unknown(fate.value) if fate is Fate.ANSWER_LOST else outcome

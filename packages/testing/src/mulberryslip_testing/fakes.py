"""In-memory fakes of the platform's interfaces, with fault switches."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.clocks import Clock, SystemClock
from mulberryslip.exceptions import StoreUnavailableError
from mulberryslip.outcomes import Conflict, Unknown, WriteOutcome
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


class RacingStore(FakeStore):
    """A store on which others act between any two calls, and lost writes may take effect late.

    :param clock: as for `FakeStore`.
    :param rng: decides which calls are interrupted or lost.
    :param compare_and_swap: whether versions are compared; without it, tests of fencing must fail.
    """

    INTERRUPTED = 0.3
    DELAYED = 0.1
    ANSWER_LOST = 0.1
    CALL_LOST = 0.05

    def __init__(self, clock: Clock, rng: random.Random, compare_and_swap: bool = True):
        super().__init__(clock)
        self.others: Callable[[], None] = lambda: None
        self._rng = rng
        self._compare_and_swap = compare_and_swap
        self._delayed: list[tuple[str, bytes, int, str]] = []

    def get(self, key: str) -> StoredValue | None:
        """Let others act, then read one key."""
        self._interrupt()
        return super().get(key)

    def list(self, prefix: str) -> Listing:
        """Let others act, then read all keys under a prefix."""
        self._interrupt()
        return super().list(prefix)

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Let others act, then write a key, lose the answer, lose the call or delay it."""
        self._interrupt()
        draw = self._rng.random()
        if draw < self.DELAYED:
            self._delayed.append((key, value, expected_version, lease_id))
            return Unknown("delayed")
        if draw < self.DELAYED + self.ANSWER_LOST:
            self.lose_answers()
        elif draw < self.DELAYED + self.ANSWER_LOST + self.CALL_LOST:
            self.lose_calls()
        outcome = super().put(key, value, expected_version, lease_id)
        if isinstance(outcome, Conflict) and not self._compare_and_swap:
            return self.state.put(key, value, outcome.version, lease_id)
        return outcome

    def _interrupt(self) -> None:
        while self._delayed and self._rng.random() < self.INTERRUPTED:
            self.state.put(*self._delayed.pop())
        if self._rng.random() < self.INTERRUPTED:
            self.others()

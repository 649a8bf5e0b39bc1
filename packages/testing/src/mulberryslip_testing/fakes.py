"""In-memory fakes of the platform's interfaces with fault injection."""

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
    """In-memory `Store`; several users can share one to act as separate processes.

    Inject faults with `set_faults(outage="refuse", ...)`, which takes the fields of `Faults`, and
    with `lose_answers(n)` or `lose_calls(n)` for the next writes. The rate is unlimited by default.

    :param clock: clock for leases, watches and delays.
    """

    def __init__(self, clock: Clock | None = None):
        clock = clock or SystemClock()
        self.state = StoreState(clock)
        self._injector = FaultInjector(clock, Faults(writes_per_s=0, reads_per_s=0))
        self._calls = CallCounter()
        self._lock = threading.Lock()
        self._scripted_fates: list[Fate] = []

    def set_faults(self, **faults: object) -> None:
        """Update the given fields of `Faults` and keep the others."""
        self._injector.set(attrs.evolve(self._injector.faults, **faults))

    def lose_answers(self, count: int = 1) -> None:
        """Apply the next writes, but lose their replies.

        :param count: number of writes.
        """
        self._script_fates(Fate.ANSWER_LOST, count)

    def lose_calls(self, count: int = 1) -> None:
        """Lose the next writes without effect; their outcome is unknown to the caller.

        :param count: number of writes.
        """
        self._script_fates(Fate.CALL_LOST, count)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by kind (`read`, `write`, `lease`, `watch`)."""
        return self._calls.counts()

    def get(self, key: str) -> StoredValue | None:
        """Read one key."""
        return self._execute(CallKind.READ, lambda: self.state.get(key))

    def list(self, prefix: str) -> Listing:
        """Read all keys under a prefix."""
        return self._execute(CallKind.READ, lambda: self.state.list(prefix))

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key by compare-and-swap."""
        return self._write(lambda: self.state.put(key, value, expected_version, lease_id))

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key by compare-and-swap."""
        return self._write(lambda: self.state.delete(key, expected_version))

    def grant_lease(self, ttl: timedelta) -> str:
        """Grant a lease."""
        return self._execute(CallKind.LEASE, lambda: self.state.grant_lease(ttl))

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; return False if it has expired."""
        return self._execute(CallKind.LEASE, lambda: self.state.renew_lease(lease_id))

    def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys."""
        self._execute(CallKind.LEASE, lambda: self.state.revoke_lease(lease_id))

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change under a prefix."""
        return self._execute(
            CallKind.WATCH, lambda: self.state.watch(prefix, after_revision, timeout)
        )

    def _script_fates(self, fate: Fate, count: int) -> None:
        with self._lock:
            self._scripted_fates.extend([fate] * count)

    def _next_fate(self, kind: CallKind) -> Fate:
        self._calls.add(kind)
        fate = self._injector.fate(kind)
        if kind is CallKind.WRITE and fate is Fate.NORMAL:
            with self._lock:
                return self._scripted_fates.pop(0) if self._scripted_fates else fate
        return fate

    def _execute(self, kind: CallKind, call: Callable[[], Any]) -> Any:
        fate = self._next_fate(kind)
        reply = call() if fate in (Fate.NORMAL, Fate.ANSWER_LOST) else None
        if fate is Fate.NORMAL and kind is CallKind.WATCH:
            fate = self._injector.outage_fate()
        if fate is not Fate.NORMAL:
            raise StoreUnavailableError(f"store call failed: {fate.value}")
        return reply

    def _write(self, call: Callable[[], WriteOutcome]) -> WriteOutcome:
        fate = self._next_fate(CallKind.WRITE)
        if fate in (Fate.REFUSED, Fate.OVER_RATE):
            raise StoreUnavailableError(f"store write failed: {fate.value}")
        if fate is Fate.CALL_LOST:
            return Unknown(fate.value)
        outcome = call()
        return Unknown(fate.value) if fate is Fate.ANSWER_LOST else outcome


class RacingStore(FakeStore):
    """A store with concurrent writers between any two calls, and with lost and delayed writes.

    A delayed write is reported as unknown and may take effect later.

    :param clock: clock for leases, watches and delays.
    :param rng: decides which calls are interrupted, delayed or lost.
    :param compare_and_swap: whether versions are compared; without it, tests of fencing must fail.
    """

    INTERRUPT_PROBABILITY = 0.3
    DELAY_PROBABILITY = 0.1
    LOST_REPLY_PROBABILITY = 0.1
    LOST_WRITE_PROBABILITY = 0.05

    def __init__(self, clock: Clock, rng: random.Random, compare_and_swap: bool = True):
        super().__init__(clock)
        self.others: Callable[[], None] = lambda: None
        self._rng = rng
        self._compare_and_swap = compare_and_swap
        self._delayed: list[tuple[str, bytes, int, str]] = []

    def get(self, key: str) -> StoredValue | None:
        """Run concurrent writers, then read one key."""
        self._interrupt()
        return super().get(key)

    def list(self, prefix: str) -> Listing:
        """Run concurrent writers, then read all keys under a prefix."""
        self._interrupt()
        return super().list(prefix)

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Run concurrent writers, then write a key, lose the reply, lose the write or delay it."""
        self._interrupt()
        draw = self._rng.random()
        if draw < self.DELAY_PROBABILITY:
            self._delayed.append((key, value, expected_version, lease_id))
            return Unknown("delayed")
        if draw < self.DELAY_PROBABILITY + self.LOST_REPLY_PROBABILITY:
            self.lose_answers()
        elif (
            draw
            < self.DELAY_PROBABILITY + self.LOST_REPLY_PROBABILITY + self.LOST_WRITE_PROBABILITY
        ):
            self.lose_calls()
        outcome = super().put(key, value, expected_version, lease_id)
        if isinstance(outcome, Conflict) and not self._compare_and_swap:
            return self.state.put(key, value, outcome.version, lease_id)
        return outcome

    def _interrupt(self) -> None:
        while self._delayed and self._rng.random() < self.INTERRUPT_PROBABILITY:
            self.state.put(*self._delayed.pop())
        if self._rng.random() < self.INTERRUPT_PROBABILITY:
            self.others()

"""Group commit of shard events: one journal record holds the events of several threads."""

import json
import threading
import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import FencedError, InvalidMessageError, JournalError
from mulberryslip.transitions import JobsExpired, decode_event, encode_event

MAX_GROUP_EVENTS = 2000
MAX_GROUP_CHARS = 700_000
"""Estimated size of the events in one record. A record must be smaller than 900 KB; the rest is for
its framing."""

MIN_INTERVAL = timedelta(milliseconds=20)
"""Shortest time between two records. The store accepts several hundred writes/s from all shards
together."""

SNAPSHOT_TARGET_BYTES = 850_000
"""Largest compressed state in a snapshot. The journal refuses snapshots over 900 KB, framing
included."""

MIN_DROPPED_BYTES = 50_000
"""Least number of bytes to drop per round, to limit the rounds of compression, each of which takes
about 0.1 s."""

EVENT_OVERHEAD_CHARS = 200
"""Estimated size of an event without its inputs and its result."""


class EventJournal(Protocol):
    """The part of `journals.Journal` that `CommitLog` needs."""

    snapshot_due: bool
    snapshot_bytes: int

    def append(self, events: list[dict]) -> int:
        """Append one record."""

    def resolve(self) -> Any:
        """Retry an unresolved batch and return its record, or None."""

    def write_snapshot(self, state: dict) -> None:
        """Write a snapshot of the committed state."""


@attrs.define
class _Batch:
    events: list[Any]
    changed: list[bool] | None = None
    error: Exception | None = None

    @property
    def is_done(self) -> bool:
        return self.changed is not None or self.error is not None


class CommitLog:
    """Commit events and apply them in the order of the journal.

    A thread that finds no write in progress writes the batches of all waiting threads; the others
    wait for it. `apply` is called by one thread at a time, in the order of the records.

    :param journal: the claimed journal.
    :param apply: applies one event and returns whether it changed the state.
    :param snapshot: returns the state for a snapshot, without the jobs of the given ids.
    :param oldest_ended: returns the ids of ended jobs, oldest first, whose stored size is about the
        given number of bytes.
    :param min_interval: shortest time between two records.
    """

    def __init__(
        self,
        journal: EventJournal,
        apply: Callable[[Any], bool],
        snapshot: Callable[[tuple[str, ...]], dict],
        oldest_ended: Callable[[int], tuple[str, ...]],
        clock: Clock,
        min_interval: timedelta = MIN_INTERVAL,
    ):
        self._clock = clock
        self._min_interval = min_interval
        self._next_append = clock.monotonic()
        self._journal = journal
        self._apply = apply
        self._snapshot = snapshot
        self._oldest_ended = oldest_ended
        self._cond = threading.Condition()
        self._waiting: list[_Batch] = []
        self._deferred: list[Any] = []
        self._writing = False
        self._unresolved = False
        self._fenced: FencedError | None = None
        self._chars_since_snapshot = 0

    @property
    def is_fenced(self) -> bool:
        """Return whether another owner has claimed the shard."""
        return self._fenced is not None

    def commit(self, events: list[Any]) -> list[bool]:
        """Commit events and apply them.

        :param events: journal events; all of them go into the same record. See `split_events` for
            more than a record can hold.
        :returns: for each event whether it changed the state.
        :raises FencedError: another owner claimed the shard.
        :raises JournalError: the store did not answer; `unresolved` tells whether the events may
            have been committed. They are applied later if they were.
        """
        if not events:
            return []
        batch = _Batch(events)
        with self._cond:
            self._waiting.append(batch)
            while self._writing and not batch.is_done:
                self._cond.wait()
            if not batch.is_done:
                self._writing = True
        if not batch.is_done:
            self._write_until_done(batch)
        if batch.error is not None:
            raise batch.error
        return batch.changed

    def commit_later(self, events: list[Any]) -> None:
        """Add events to the next record without waiting; they may be lost."""
        with self._cond:
            self._deferred.extend(events)

    def flush(self) -> None:
        """Commit the events added by `commit_later`; raises the same exceptions as `commit`."""
        with self._cond:
            events, self._deferred = self._deferred, []
        self.commit(events)

    def fence(self, reason: str) -> None:
        """Refuse all further commits because a newer owner exists."""
        with self._cond:
            self._fenced = self._fenced or FencedError(reason)

    def _write_until_done(self, own_batch: _Batch) -> None:
        try:
            while not own_batch.is_done:
                # Other threads add their batches to the group during the pause.
                pause = self._next_append - self._clock.monotonic()
                if pause > timedelta():
                    self._clock.sleep(pause)
                self._next_append = self._clock.monotonic() + self._min_interval
                self._write_group(self._take_group())
        finally:
            with self._cond:
                self._writing = False
                self._cond.notify_all()

    def _take_group(self) -> list[_Batch]:
        with self._cond:
            group = []
            chars = count = 0
            while self._waiting:
                batch = self._waiting[0]
                chars += sum(_estimate_chars(event) for event in batch.events)
                count += len(batch.events)
                if group and (chars > MAX_GROUP_CHARS or count > MAX_GROUP_EVENTS):
                    break
                group.append(self._waiting.pop(0))
            if self._deferred and chars < MAX_GROUP_CHARS:
                group.append(_Batch(self._deferred[:MAX_GROUP_EVENTS]))
                del self._deferred[:MAX_GROUP_EVENTS]
            return group

    def _write_group(self, group: list[_Batch]) -> None:
        try:
            self._commit_group(group)
        except Exception as exc:
            if isinstance(exc, FencedError):
                self._fenced = exc
            if isinstance(exc, InvalidMessageError):
                # The journal is damaged; the next entry that opens it reports the details.
                self._fenced = FencedError(str(exc), unresolved=True)
            for batch in group:
                batch.error = batch.error or exc
            if not isinstance(exc, JournalError | InvalidMessageError):
                log(Event.INTERNAL_ERROR, method="commit", error=repr(exc))

    def _commit_group(self, group: list[_Batch]) -> None:
        if self._fenced is not None:
            raise self._fenced
        self._resolve_earlier_record()
        events = [event for batch in group for event in batch.events]
        try:
            self._journal.append([encode_event(event) for event in events])
        except JournalError as exc:
            self._unresolved = exc.unresolved
            raise
        for batch in group:
            batch.changed = [self._apply(event) for event in batch.events]
        self._chars_since_snapshot += sum(_estimate_chars(event) for event in events)
        self._write_snapshot()

    def _resolve_earlier_record(self) -> None:
        """Resolve the outcome of an earlier record, and apply the record if it was committed."""
        if self._unresolved:
            try:
                record = self._journal.resolve()
            except FencedError:
                raise
            except JournalError as exc:
                self._unresolved = exc.unresolved
                # This batch was not sent, whatever the outcome of the earlier record.
                raise JournalError(f"an earlier record is unresolved: {exc}") from exc
            self._unresolved = False
            if record is not None:
                for raw in record.events:
                    self._apply(decode_event(raw))
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        if not self._journal.snapshot_due:
            return
        state, dropped = self._trimmed_state()
        try:
            self._journal.write_snapshot(state)
        except FencedError as exc:
            self._fenced = exc
            return
        except JournalError as exc:
            # The next commit tries again; events can be appended until the journal is full.
            log(Event.STORE_UNAVAILABLE, call="write snapshot", reason=str(exc))
            return
        self._chars_since_snapshot = 0
        if dropped:
            # Applied only after the snapshot was written: until then, recovery from an older
            # snapshot would restore these jobs, so they must remain in memory too.
            self._apply(JobsExpired(dropped))

    def _trimmed_state(self) -> tuple[dict, tuple[str, ...]]:
        """Return a state that fits into a snapshot, if necessary without the oldest ended jobs.

        Without a snapshot the journal fills up and the shard can commit nothing more. Results that
        are not dropped here are kept for 7 days.

        :returns: the state and the ids of the jobs left out.
        """
        dropped: tuple[str, ...] = ()
        state = self._snapshot(dropped)
        if self._journal.snapshot_bytes + self._chars_since_snapshot <= SNAPSHOT_TARGET_BYTES:
            return state, dropped
        bytes_to_drop = 0
        while (excess := _stored_bytes(state) - SNAPSHOT_TARGET_BYTES) > 0:
            bytes_to_drop += max(excess, MIN_DROPPED_BYTES)
            job_ids = self._oldest_ended(bytes_to_drop)
            if len(job_ids) == len(dropped):
                break
            dropped = job_ids
            state = self._snapshot(dropped)
        return state, dropped


def split_events(events: list[Any]) -> list[list[Any]]:
    """Divide events that do not depend on each other into parts that fit into one record each."""
    parts: list[list[Any]] = []
    chars = 0
    for event in events:
        event_chars = _estimate_chars(event)
        if not parts or chars + event_chars > MAX_GROUP_CHARS or len(parts[-1]) == MAX_GROUP_EVENTS:
            parts.append([])
            chars = 0
        parts[-1].append(event)
        chars += event_chars
    return parts


def _stored_bytes(state: dict) -> int:
    return len(zlib.compress(json.dumps(state, separators=(",", ":")).encode(), 1))


def _estimate_chars(event: Any) -> int:
    inputs = getattr(event, "inputs", ())
    result = getattr(event, "result", "")
    return EVENT_OVERHEAD_CHARS + len(json.dumps(inputs)) + len(json.dumps(result))

"""The log of one shard in the platform's store.

A journal is a ring buffer of store keys. Record `seq` is stored in slot `seq % slots` and written
by compare-and-swap on the version that the writer read from the slot. Versions never repeat, so a
writer that lost ownership is refused even when the ring has wrapped around in the meantime.

Stored values are one format byte followed by zlib-compressed JSON:

- record `shards/<n>/log/<slot>`: `{"seq", "epoch", "slots", "batch_id", "events"}`
- snapshot `shards/<n>/snapshot`: `{"seq", "epoch", "slots", "snapshot_id", "state"}`

A snapshot that is too large for one value is cut into parts
`shards/<n>/parts/<epoch>-<snapshot_id>/<i>`,
which are written first. Then the value of `shards/<n>/snapshot` commits them: it has format 2 and
`{"seq", "epoch", "slots", "snapshot_id", "parts"}`. Parts are created once and never changed.
"""

import json
import uuid
import zlib

import attrs

from .events import Event, log
from .exceptions import (
    FencedError,
    InvalidMessageError,
    JournalError,
    SnapshotTooLargeError,
    StoreError,
)
from .outcomes import Committed, Conflict
from .stores import Store, StoredValue

FORMAT = 1
FORMAT_IN_PARTS = 2

# Below the store's limit, so that a shard at its maximum size can still be read and written.
MAX_SNAPSHOT_BYTES = 900_000
MAX_RECORD_BYTES = 900_000

# A reader refuses more. It is more than writers use, so that a later build may write more.
MAX_PARTS = 64

# Bounds the memory that decompressing a damaged value can take.
_MAX_JSON_BYTES = 64 * 1024 * 1024

# A snapshot that decompresses to more could be written, but not read.
MAX_SNAPSHOT_TEXT_BYTES = _MAX_JSON_BYTES

# A fast writer can overwrite slots between the reads of the snapshot and of the ring.
_READ_ATTEMPTS = 5

# A write whose reply was lost is repeated at once while the store still replies to reads.
_WRITE_ATTEMPTS = 3

_COMPRESSION_LEVEL = 1


@attrs.frozen
class Record:
    """One entry of the journal.

    :param seq: sequence number, counted from 1 without gaps.
    :param epoch: epoch of the owner that wrote it.
    :param slots: number of slots of the ring.
    :param batch_id: unique per append, so that a writer recognises its own record.
    :param events: JSON-serialisable events, applied in order.
    """

    seq: int
    epoch: int
    slots: int
    batch_id: str
    events: list[dict]


@attrs.frozen
class Snapshot:
    """State of the shard after a record.

    :param seq: last record that the state includes.
    :param epoch: epoch of the owner that wrote it.
    :param slots: number of slots of the ring.
    :param snapshot_id: unique per write.
    :param state: JSON-serialisable state.
    """

    seq: int
    epoch: int
    slots: int
    snapshot_id: str
    state: dict


@attrs.frozen
class SnapshotHead:
    """The value that commits a snapshot in parts.

    :param seq: last record that the state includes.
    :param epoch: epoch of the owner that wrote it.
    :param slots: number of slots of the ring.
    :param snapshot_id: unique per write.
    :param parts: number of the parts; joined, they are the encoded `Snapshot`.
    """

    seq: int
    epoch: int
    slots: int
    snapshot_id: str
    parts: int

    @property
    def part_set(self) -> str:
        """Return the part of the keys that all parts of the snapshot have in common."""
        return _part_set(self.epoch, self.snapshot_id)


@attrs.frozen
class SnapshotSize:
    """Size of a snapshot.

    :param stored_bytes: compressed, as it is stored.
    :param text_bytes: as JSON text.
    """

    stored_bytes: int
    text_bytes: int

    def __add__(self, other: "SnapshotSize") -> "SnapshotSize":
        """Return the size of both together."""
        return SnapshotSize(
            self.stored_bytes + other.stored_bytes, self.text_bytes + other.text_bytes
        )


@attrs.frozen
class Recovery:
    """Contents of a journal, as read by a new owner.

    :param state: state of the snapshot; None when there is no snapshot.
    :param events: events after the snapshot, in order.
    :param seq: sequence number of the last record.
    :param epoch: highest epoch in the journal.
    :param snapshot_seq: last record that the state includes.
    :param event_seqs: sequence number of the record of each event.
    """

    state: dict | None
    events: list[dict]
    seq: int
    epoch: int
    snapshot_seq: int = 0
    event_seqs: list[int] = attrs.field(factory=list)

    def events_after(self, seq: int) -> list[dict] | None:
        """Return the events of the records after a record; None if the state includes some."""
        if self.snapshot_seq > seq:
            return None
        rows = zip(self.event_seqs, self.events, strict=True)
        return [event for event_seq, event in rows if event_seq > seq]


def encode(message: Record | Snapshot | SnapshotHead) -> bytes:
    """Encode a record, a snapshot or the head of one as a stored value."""
    value_format = FORMAT_IN_PARTS if isinstance(message, SnapshotHead) else FORMAT
    return _compress(_to_text(message), value_format)


def _to_text(message: Record | Snapshot | SnapshotHead) -> bytes:
    return json.dumps(attrs.asdict(message, recurse=False), separators=(",", ":")).encode()


def _compress(text: bytes, value_format: int = FORMAT) -> bytes:
    return bytes([value_format]) + zlib.compress(text, _COMPRESSION_LEVEL)


def decode_record(stored: StoredValue) -> Record:
    """Decode a record.

    :raises InvalidMessageError: the value is damaged or from a newer version; the message names
        the key.
    """
    body = _decode(stored, attrs.fields_dict(Record).keys())
    events = body["events"]
    is_valid = _is_valid_header(body) and body["seq"] > 0 and isinstance(body["batch_id"], str)
    if not is_valid or not isinstance(events, list) or not all(isinstance(e, dict) for e in events):
        raise InvalidMessageError(f"{stored.key}: a field of the record is invalid")
    return Record(**body)


def decode_snapshot(stored: StoredValue) -> Snapshot:
    """Decode a snapshot.

    :raises InvalidMessageError: the value is damaged or from a newer version; the message names
        the key.
    """
    body = _decode(stored, attrs.fields_dict(Snapshot).keys())
    is_valid = _is_valid_header(body) and isinstance(body["snapshot_id"], str)
    if not is_valid or not isinstance(body["state"], dict):
        raise InvalidMessageError(f"{stored.key}: a field of the snapshot is invalid")
    return Snapshot(**body)


def decode_head(stored: StoredValue) -> Snapshot | SnapshotHead:
    """Decode the value under a journal's snapshot key: a snapshot, or the head of its parts.

    :raises InvalidMessageError: the value is damaged or from a newer version; the message names
        the key.
    """
    if stored.value[:1] != bytes([FORMAT_IN_PARTS]):
        return decode_snapshot(stored)
    body = _decode(stored, attrs.fields_dict(SnapshotHead).keys(), FORMAT_IN_PARTS)
    is_valid = _is_valid_header(body) and isinstance(body["snapshot_id"], str)
    if not is_valid or type(body["parts"]) is not int or not 0 < body["parts"] <= MAX_PARTS:
        raise InvalidMessageError(f"{stored.key}: a field of the snapshot is invalid")
    return SnapshotHead(**body)


def _part_set(epoch: int, snapshot_id: str) -> str:
    return f"{epoch}-{snapshot_id}"


def _epoch_of(part_set: str) -> int | None:
    """Return the epoch in the name of a set of parts; None when it has none."""
    epoch = part_set.partition("-")[0]
    return int(epoch) if epoch.isdecimal() else None


def _decode(stored: StoredValue, names: set[str], expected_format: int = FORMAT) -> dict:
    if not stored.value:
        raise InvalidMessageError(f"{stored.key}: the value is empty")
    if stored.value[0] != expected_format:
        raise InvalidMessageError(
            f"{stored.key}: format {stored.value[0]} is not {expected_format}"
        )
    try:
        body = json.loads(_decompress(stored.value[1:]))
    except (ValueError, zlib.error, RecursionError) as exc:
        raise InvalidMessageError(f"{stored.key}: {exc}") from exc
    if not isinstance(body, dict) or body.keys() != names:
        raise InvalidMessageError(f"{stored.key}: the fields differ from {sorted(names)}")
    return body


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(data, _MAX_JSON_BYTES)
    if not stream.eof or stream.unused_data:
        raise ValueError("the compressed data is incomplete, too long or followed by other data")
    return text


def _is_valid_header(body: dict) -> bool:
    return all(type(body[name]) is int and body[name] >= 0 for name in ("seq", "epoch", "slots"))


@attrs.define
class _PendingWrite:
    """A record whose write is not known to be committed.

    :param record: the record.
    :param value: the encoded record.
    :param key: store key of its slot.
    :param expected_version: version of the slot before the write.
    :param maybe_written: whether an earlier write may have taken effect or may still do so.
    """

    record: Record
    value: bytes
    key: str
    expected_version: int
    maybe_written: bool = False


class Journal:
    """Writer and reader of one shard's log. Not thread-safe.

    Call `open`, apply what it returns, write a snapshot if one is due, then `claim`, then `append`
    and `write_snapshot`. After a `FencedError`, start over with `open`.

    :param store: the platform's store.
    :param shard: number of the shard.
    :param slots: number of slots of the ring; fixed for the lifetime of the shard's data.
    :param root: first part of the keys; each kind of state has its own.
    :param max_parts: maximum number of values that a snapshot takes up.
    """

    def __init__(
        self,
        store: Store,
        shard: int,
        slots: int = 64,
        root: str = "shards",
        max_parts: int = 1,
    ):
        if slots < 2:
            raise JournalError(f"a ring of {slots} slots is too small")
        self._store = store
        self._shard = shard
        self._slots = slots
        self._prefix = f"{root}/{shard}/log/"
        self._snapshot_key = f"{root}/{shard}/snapshot"
        self._parts_prefix = f"{root}/{shard}/parts/"
        self._max_parts = max_parts
        # Versions by key; 0 while the version is unknown.
        self._own_parts: dict[str, dict[str, int]] = {}
        self._is_cleaned = False
        self._versions = [0] * slots
        self._snapshot_version = 0
        self._snapshot_seq = 0
        self._snapshot_bytes = 0
        self._measured = SnapshotSize(0, 0)
        self._seq = 0
        self._epoch = 0
        self._pending: _PendingWrite | None = None
        self._opened = False
        self._claimed = False
        self._fenced = False

    @property
    def seq(self) -> int:
        """Sequence number of the last record known to be committed."""
        return self._seq

    @property
    def epoch(self) -> int:
        """Epoch of this owner after `claim`; before, the highest epoch read."""
        return self._epoch

    @property
    def snapshot_bytes(self) -> int:
        """Size of the last snapshot read or written, in stored bytes."""
        return self._snapshot_bytes

    @property
    def measured(self) -> SnapshotSize:
        """Size of the last snapshot that was encoded, written or not."""
        return self._measured

    @property
    def max_snapshot_bytes(self) -> int:
        """Largest snapshot that can be written, in stored bytes."""
        return MAX_SNAPSHOT_BYTES * self._max_parts

    @property
    def is_claimed(self) -> bool:
        """Whether `claim` has succeeded since `open`."""
        return self._claimed

    @property
    def free_slots(self) -> int:
        """Number of records that fit into the ring before the next snapshot."""
        return self._slots - (self._seq - self._snapshot_seq)

    @property
    def snapshot_due(self) -> bool:
        """Whether at least half of the ring was written since the last snapshot."""
        return self._seq - self._snapshot_seq >= self._slots // 2

    def open(self) -> Recovery:
        """Read the snapshot and the ring.

        :returns: state of the snapshot and the events after it.
        :raises JournalError: the store is unavailable, or the ring does not match the snapshot.
        :raises InvalidMessageError: a stored value is damaged or from a newer version.
        """
        self._opened = False
        self._claimed = False
        self._fenced = False
        self._pending = None
        self._own_parts = {}
        self._is_cleaned = False
        for _ in range(_READ_ATTEMPTS):
            recovery = self._read()
            if recovery is not None:
                self._opened = True
                return recovery
        message = "the ring has a gap after the snapshot, or parts of the snapshot are missing"
        raise JournalError(f"shard {self._shard}: {message}")

    def claim(self) -> int:
        """Append an empty record of the next epoch, which fences off the previous owner.

        :returns: the new epoch.
        :raises FencedError: another owner wrote to the ring since `open`.
        :raises JournalError: as for `append`; call `claim` again when the error is unresolved.
        """
        self._require_open()
        if self._claimed:
            raise JournalError(f"shard {self._shard}: already claimed")
        if self._pending is None:
            self._pending = self._prepare_write([], self._epoch + 1)
        self._commit()
        self._claimed = True
        return self._epoch

    def append(self, events: list[dict]) -> int:
        """Append one record.

        After an unresolved error, the batch may have taken effect: append the same batch again, or
        call `resolve`, before any other batch. Any other error means that the batch was not written
        and never will be.

        :param events: JSON-serialisable events.
        :returns: sequence number of the record.
        :raises FencedError: another owner claimed the shard; `unresolved` says whether the batch
            may have been committed before that.
        :raises JournalError: the store is unavailable, a snapshot is overdue, or the batch is too
            large.
        """
        self._require_claim()
        if self._pending is None:
            self._pending = self._prepare_write(list(events), self._epoch)
        elif self._pending.record.events != events:
            message = f"{self._pending.key}: another batch is unresolved and comes first"
            raise JournalError(message)
        return self._commit()

    def resolve(self) -> Record | None:
        """Retry the unresolved batch, if any.

        :returns: its record, or None when no batch is unresolved.
        :raises JournalError: as for `append`.
        """
        self._require_claim()
        if self._pending is None:
            return None
        record = self._pending.record
        self._commit()
        return record

    def write_snapshot(self, state: dict, seq: int | None = None) -> None:
        """Write a snapshot, which frees the slots up to it.

        It needs no claim: a snapshot of committed records is correct whoever writes it, and a new
        owner that finds the ring full cannot claim before it has written one.

        :param state: JSON-serialisable state.
        :param seq: last record that the state includes; by default the last committed one.
        :raises FencedError: another owner wrote a snapshot.
        :raises SnapshotTooLargeError: the snapshot exceeds `max_snapshot_bytes` or
            `MAX_SNAPSHOT_TEXT_BYTES`; nothing was written.
        :raises JournalError: the store is unavailable (call it again with a current state).
        """
        self._require_open()
        seq = self._seq if seq is None else seq
        if not self._snapshot_seq <= seq <= self._seq:
            raise JournalError(f"{self._snapshot_key}: cannot write a snapshot of record {seq}")
        snapshot = Snapshot(seq, self._epoch, self._slots, uuid.uuid4().hex, state)
        value = self._encode_snapshot(snapshot)
        try:
            head = self._put_parts(snapshot, value)
            stored_set = self._put_snapshot(snapshot, head, len(value))
        except StoreError as exc:
            raise JournalError(f"{self._snapshot_key}: {exc}") from exc
        self._delete_parts(stored_set)
        log(Event.SNAPSHOT_WRITTEN, shard=self._shard, seq=seq, size=len(value))

    def measure(self, state: dict) -> SnapshotSize:
        """Return the size of a snapshot of a state without writing it.

        :param state: JSON-serialisable state.
        """
        self._encode(Snapshot(self._seq, self._epoch, self._slots, uuid.uuid4().hex, state))
        return self._measured

    def _encode_snapshot(self, snapshot: Snapshot) -> bytes:
        value = self._encode(snapshot)
        size = self._measured
        if size.stored_bytes > self.max_snapshot_bytes:
            message = f"{self._snapshot_key}: {size.stored_bytes} bytes exceed the limit"
            raise SnapshotTooLargeError(message)
        if size.text_bytes > MAX_SNAPSHOT_TEXT_BYTES:
            message = f"{self._snapshot_key}: {size.text_bytes} bytes of text exceed the limit"
            raise SnapshotTooLargeError(message)
        return value

    def _encode(self, snapshot: Snapshot) -> bytes:
        text = _to_text(snapshot)
        value = _compress(text)
        self._measured = SnapshotSize(len(value), len(text))
        return value

    def _put_parts(self, snapshot: Snapshot, value: bytes) -> bytes:
        """Write the parts of a snapshot that is too large for one value.

        :returns: the value that commits the snapshot.
        """
        if len(value) <= MAX_SNAPSHOT_BYTES:
            return value
        parts = [
            value[begin : begin + MAX_SNAPSHOT_BYTES]
            for begin in range(0, len(value), MAX_SNAPSHOT_BYTES)
        ]
        head = SnapshotHead(
            snapshot.seq, snapshot.epoch, snapshot.slots, snapshot.snapshot_id, len(parts)
        )
        versions = self._own_parts.setdefault(head.part_set, {})
        for number, part in enumerate(parts):
            key = self._part_key(head, number)
            versions[key] = 0
            versions[key] = self._create(key, part)
        return encode(head)

    def _create(self, key: str, value: bytes) -> int:
        """Create a key that no other process writes; return its version."""
        for _ in range(_WRITE_ATTEMPTS):
            outcome = self._store.put(key, value, 0)
            if isinstance(outcome, Committed):
                return outcome.version
            stored = self._store.get(key)
            if stored is not None:
                return stored.version
        raise JournalError(f"{key}: the write has not taken effect")

    def _put_snapshot(self, snapshot: Snapshot, value: bytes, size: int) -> str:
        """Write the value that commits a snapshot.

        :param size: size of the whole snapshot, in stored bytes.
        :returns: the set of parts of the snapshot that is stored now.
        """
        for _ in range(_WRITE_ATTEMPTS):
            outcome = self._store.put(self._snapshot_key, value, self._snapshot_version)
            if isinstance(outcome, Committed):
                self._on_snapshot_written(snapshot.seq, outcome.version, size)
                return _part_set(snapshot.epoch, snapshot.snapshot_id)
            stored = self._store.get(self._snapshot_key)
            found = None if stored is None else decode_head(stored)
            if found is not None and self._supersedes(found, snapshot):
                self._on_snapshot_written(snapshot.seq, stored.version, size)
                return _part_set(found.epoch, found.snapshot_id)
            self._snapshot_version = stored.version if stored else 0
        raise JournalError(f"{self._snapshot_key}: the write has not taken effect")

    def _supersedes(self, stored: Snapshot | SnapshotHead, ours: Snapshot) -> bool:
        """Return whether the stored snapshot makes ours unnecessary.

        A previous owner's late snapshot has a lower sequence number and is replaced.

        :raises FencedError: an owner of a later epoch wrote the stored snapshot.
        """
        if stored.epoch > ours.epoch:
            self._fenced = True
            raise FencedError(f"{self._snapshot_key}: written in epoch {stored.epoch}")
        return stored.seq >= ours.seq

    def _delete_parts(self, stored_set: str) -> None:
        """Delete the parts of earlier snapshots, as far as the store answers.

        Only after the claim: a head of an earlier epoch is then refused, so nothing can name the
        parts again. Parts of a later epoch, and others' parts of this one, are left alone.

        :param stored_set: the set of parts that the stored snapshot consists of.
        """
        if not self._claimed:
            return
        try:
            for part_set in [name for name in self._own_parts if name != stored_set]:
                self._delete_set(self._own_parts[part_set])
                del self._own_parts[part_set]
            if not self._is_cleaned:
                self._delete_earlier_parts(stored_set)
                self._is_cleaned = True
        except StoreError as exc:
            # They only take up room; the next snapshot tries again.
            log(Event.STORE_UNAVAILABLE, call="delete parts of a snapshot", reason=str(exc))

    def _delete_set(self, versions: dict[str, int]) -> None:
        for key, version in versions.items():
            if not version:
                stored = self._store.get(key)
                version = stored.version if stored else 0
            if version:
                self._store.delete(key, version)

    def _delete_earlier_parts(self, stored_set: str) -> None:
        for stored in self._store.list(self._parts_prefix).values:
            part_set = stored.key.removeprefix(self._parts_prefix).partition("/")[0]
            epoch = _epoch_of(part_set)
            if part_set != stored_set and epoch is not None and epoch < self._epoch:
                self._store.delete(stored.key, stored.version)

    def _part_key(self, head: SnapshotHead, number: int) -> str:
        return f"{self._parts_prefix}{head.part_set}/{number}"

    def _on_snapshot_written(self, seq: int, version: int, size: int) -> None:
        self._snapshot_seq = seq
        self._snapshot_version = version
        self._snapshot_bytes = size

    # Reading

    def _read(self) -> Recovery | None:
        """Read once; return None when a writer overwrote slots during the read."""
        try:
            stored = self._store.get(self._snapshot_key)
            value = self._read_value(stored)
            if value is None and stored is not None:
                return None
            listing = self._store.list(self._prefix)
        except StoreError as exc:
            raise JournalError(f"shard {self._shard}: {exc}") from exc
        snapshot = self._decode_snapshot(value)
        ring = self._decode_ring(listing.values)
        recent = [ring[seq] for seq in sorted(ring) if seq > snapshot.seq]
        if [record.seq for record in recent] != [
            snapshot.seq + position + 1 for position in range(len(recent))
        ]:
            return None
        if not recent and max(ring, default=0) < snapshot.seq:
            raise JournalError(f"shard {self._shard}: the ring ends before the snapshot")
        epochs = [snapshot.epoch, *(record.epoch for record in recent)]
        if epochs != sorted(epochs):
            raise JournalError(f"shard {self._shard}: epochs decrease along the ring")
        self._cache_versions(value, snapshot, listing.values)
        self._seq = snapshot.seq + len(recent)
        self._epoch = epochs[-1]
        events = [event for record in recent for event in record.events]
        event_seqs = [record.seq for record in recent for _ in record.events]
        state = snapshot.state if stored else None
        return Recovery(state, events, self._seq, self._epoch, snapshot.seq, event_seqs)

    def _read_value(self, stored: StoredValue | None) -> StoredValue | None:
        """Return the stored snapshot with its parts joined; None when a part is gone.

        A writer deletes the parts of a snapshot that it has replaced.
        """
        if stored is None:
            return None
        head = decode_head(stored) if stored.value[:1] == bytes([FORMAT_IN_PARTS]) else None
        if head is None:
            return stored
        parts = [self._store.get(self._part_key(head, number)) for number in range(head.parts)]
        if any(part is None for part in parts):
            return None
        return attrs.evolve(stored, value=b"".join(part.value for part in parts))

    def _decode_snapshot(self, stored: StoredValue | None) -> Snapshot:
        if stored is None:
            return Snapshot(0, 0, self._slots, "", {})
        snapshot = decode_snapshot(stored)
        self._require_slots(stored.key, snapshot.slots)
        return snapshot

    def _decode_ring(self, values: tuple[StoredValue, ...]) -> dict[int, Record]:
        ring = {}
        for stored in values:
            record = decode_record(stored)
            self._require_slots(stored.key, record.slots)
            if stored.key != self._slot_key(record.seq):
                raise InvalidMessageError(
                    f"{stored.key}: contains record {record.seq} of another slot"
                )
            ring[record.seq] = record
        return ring

    def _require_slots(self, key: str, slots: int) -> None:
        if slots != self._slots:
            raise JournalError(f"{key}: written for {slots} slots, not {self._slots}")

    def _cache_versions(
        self, stored: StoredValue | None, snapshot: Snapshot, values: tuple[StoredValue, ...]
    ) -> None:
        self._versions = [0] * self._slots
        for value in values:
            self._versions[int(value.key.rpartition("/")[2])] = value.version
        self._snapshot_version = stored.version if stored else 0
        self._snapshot_bytes = len(stored.value) if stored else 0
        self._snapshot_seq = snapshot.seq

    def _slot_key(self, seq: int) -> str:
        return f"{self._prefix}{seq % self._slots}"

    # Appending

    def _require_open(self) -> None:
        if self._fenced:
            raise FencedError(f"shard {self._shard}: fenced")
        if not self._opened:
            raise JournalError(f"shard {self._shard}: not open")

    def _require_claim(self) -> None:
        self._require_open()
        if not self._claimed:
            raise JournalError(f"shard {self._shard}: not claimed")

    def _prepare_write(self, events: list[dict], epoch: int) -> _PendingWrite:
        seq = self._seq + 1
        if self.free_slots <= 0:
            raise JournalError(f"shard {self._shard}: a snapshot is due before record {seq}")
        record = Record(seq, epoch, self._slots, uuid.uuid4().hex, events)
        value = encode(record)
        if len(value) > MAX_RECORD_BYTES:
            raise JournalError(f"{self._slot_key(seq)}: {len(value)} bytes exceed the limit")
        return _PendingWrite(record, value, self._slot_key(seq), self._versions[seq % self._slots])

    def _commit(self) -> int:
        """Write the pending record, and retry until its outcome is known."""
        pending = self._pending
        for _ in range(_WRITE_ATTEMPTS):
            version = self._write(pending)
            if version:
                return self._on_committed(pending, version)
        raise self._write_error(pending, "the write has not taken effect")

    def _write(self, pending: _PendingWrite) -> int:
        """Write the pending record once.

        :returns: version of the slot that holds our record; 0 when the write has not taken effect
            yet.
        """
        try:
            outcome = self._store.put(pending.key, pending.value, pending.expected_version)
        except StoreError as exc:
            raise self._write_error(pending, exc) from exc
        if isinstance(outcome, Committed):
            return outcome.version
        if isinstance(outcome, Conflict) and not pending.maybe_written:
            raise self._fenced_error(pending, unresolved=False)
        pending.maybe_written = True
        return self._read_back(pending)

    def _read_back(self, pending: _PendingWrite) -> int:
        try:
            stored = self._store.get(pending.key)
        except StoreError as exc:
            raise self._write_error(pending, exc) from exc
        version = stored.version if stored else 0
        log(Event.JOURNAL_READ_BACK, shard=self._shard, seq=pending.record.seq, version=version)
        if version == pending.expected_version:
            return 0
        if stored is None:
            raise InvalidMessageError(f"{pending.key}: the slot was deleted")
        found = decode_record(stored)
        if found.batch_id == pending.record.batch_id:
            return version
        # Each sequence number is written only once, so a different record with the same number
        # proves that ours was not written. A record with a later number may have replaced ours.
        raise self._fenced_error(pending, unresolved=found.seq != pending.record.seq)

    def _on_committed(self, pending: _PendingWrite, version: int) -> int:
        self._pending = None
        self._seq = pending.record.seq
        self._epoch = pending.record.epoch
        self._versions[self._seq % self._slots] = version
        return self._seq

    def _write_error(self, pending: _PendingWrite, reason: object) -> JournalError:
        """Return the error of a failed write; drop the batch unless it may have been written."""
        if not pending.maybe_written:
            self._pending = None
        message = f"{pending.key}: record {pending.record.seq}: {reason}"
        return JournalError(message, unresolved=pending.maybe_written)

    def _fenced_error(self, pending: _PendingWrite, unresolved: bool) -> FencedError:
        """Mark the journal as fenced and return the error."""
        self._fenced = True
        log(Event.JOURNAL_FENCED, shard=self._shard, seq=pending.record.seq, epoch=self._epoch)
        message = f"{pending.key}: another owner wrote record {pending.record.seq} or a later one"
        return FencedError(message, unresolved)

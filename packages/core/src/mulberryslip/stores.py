"""The platform's key-value store: interface and HTTP adapter.

HTTP form, all paths below the base URL:

- `GET /v1/kv/{key}`: 200 with the value as body and its version in the header `Version`; 404
- `GET /v1/list?prefix=`: `{"revision", "values": [{"key", "value", "version"}]}`, values in base64
- `PUT /v1/kv/{key}?version=N&lease=ID`: 200 `{"version"}`; 409 `{"version"}`; 404 for an expired
  lease; 413 over 1 MB
- `DELETE /v1/kv/{key}?version=N`: 200 `{"version"}`; 409 `{"version"}`
- `POST /v1/leases` `{"ttl_ms"}`: 200 `{"lease_id"}`
- `PUT /v1/leases/{id}`: 200; 404 for an expired lease
- `DELETE /v1/leases/{id}`: 200; 404
- `GET /v1/watch?prefix=&after=&timeout_ms=`: as a listing

Any call may be answered 429 (over the rate) or 503 (out of service); both mean that it had no
effect. After any other 5xx or a broken connection the effect of a write is unknown.
"""

import base64
import binascii
import collections
import enum
import json
import threading
from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol
from urllib.parse import quote

import attrs
import urllib3

from .clocks import Clock
from .exceptions import (
    InvalidMessageError,
    LeaseExpiredError,
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
)
from .outcomes import Committed, Conflict, Unknown, WriteOutcome
from .transports import NOT_SENT, HTTPAnswer, HTTPTransport

MAX_VALUE_BYTES = 1_000_000

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY = 429
_OUT_OF_SERVICE = 503


@attrs.frozen
class StoredValue:
    """One key of the store.

    :param key: name of the key.
    :param value: the stored bytes, at most `MAX_VALUE_BYTES`.
    :param version: global revision of the write; 0 when the key is absent.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Listing:
    """Values under a prefix, read at one moment.

    :param values: ordered by key; after a watch only the changed ones, with version 0 for a
        deleted key.
    :param revision: global revision at that moment; a watch continues from it.
    """

    values: tuple[StoredValue, ...]
    revision: int


class Store(Protocol):
    """The platform's key-value store.

    Every method raises `StoreUnavailableError` when the call had no effect or, for reads and lease
    calls, no answer came. A write whose answer was lost returns `Unknown` instead. `StoreError` is
    raised for an answer that the protocol does not allow.
    """

    def get(self, key: str) -> StoredValue | None:
        """Read one key.

        :returns: the value, or None when the key is absent.
        """

    def list(self, prefix: str) -> Listing:
        """Read all keys that start with a prefix, at one moment."""

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key if it still has the expected version.

        :param key: name of the key.
        :param value: at most `MAX_VALUE_BYTES`.
        :param expected_version: version read before; 0 when the key must be absent.
        :param lease_id: lease whose expiry deletes the key; empty for none.
        :raises LeaseExpiredError: the lease has expired; nothing was written.
        :raises ValueTooLargeError: nothing was written.
        """

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key if it still has the expected version."""

    def grant_lease(self, ttl: timedelta) -> str:
        """Open a lease.

        :param ttl: time after which it expires unless renewed, in whole milliseconds.
        :returns: id of the lease.
        """

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its TTL.

        :returns: False when it has expired.
        """

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys; an expired lease is no error."""

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change under a prefix after a revision.

        :param prefix: start of the keys.
        :param after_revision: revision of the last listing.
        :param timeout: longest wait, in whole milliseconds.
        :returns: the changed values, a deleted one with version 0; empty when the wait expired.
        """


class CallKind(enum.Enum):
    """Kinds of store calls, counted separately because the store limits them separately."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class CallCounter:
    """Counts store calls by kind; safe for use by several threads."""

    def __init__(self):
        self._counts: collections.Counter[CallKind] = collections.Counter()
        self._lock = threading.Lock()

    def add(self, kind: CallKind) -> None:
        """Count one call."""
        with self._lock:
            self._counts[kind] += 1

    def counts(self) -> dict[str, int]:
        """Return the number of calls by the name of the kind."""
        with self._lock:
            return {kind.value: self._counts[kind] for kind in CallKind}


def listing_to_json(listing: Listing) -> bytes:
    """Encode a listing as the HTTP body."""
    values = [
        {"key": v.key, "value": base64.b64encode(v.value).decode(), "version": v.version}
        for v in listing.values
    ]
    return json.dumps({"revision": listing.revision, "values": values}).encode()


def listing_from_json(body: bytes) -> Listing:
    """Decode the HTTP body of a listing.

    :raises InvalidMessageError: the body is damaged.
    """
    try:
        document = json.loads(body)
        values = tuple(_value_from_json(item) for item in document["values"])
        return Listing(values, _whole_number(document["revision"]))
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise InvalidMessageError(f"invalid listing: {exc!r}") from exc


def _value_from_json(item: Mapping) -> StoredValue:
    if not isinstance(item["key"], str):
        raise TypeError("a key must be a string")
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error as exc:
        raise ValueError(f"value of {item['key']}: {exc}") from exc
    return StoredValue(item["key"], value, _whole_number(item["version"]))


def _whole_number(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


class HTTPStore:
    """Adapter for the platform's store over HTTP.

    It never retries by itself: a repeated write could take effect twice, and repeats during an
    outage would use up the store's rate. Connections are bounded; a call that finds none free
    within the timeout fails as unavailable.

    :param base_url: `http://host:port`, optionally with a path.
    :param timeout: limit for connecting, for the head and for the whole body of an answer; a call
        takes at most three times as long.
    :param max_connections: connections for calls that are answered at once.
    :param max_watches: further connections for waiting watches.
    :param clock: measures the time of an answer.
    """

    def __init__(
        self,
        base_url: str,
        timeout: timedelta = timedelta(seconds=1),
        max_connections: int = 8,
        max_watches: int = 4,
        clock: Clock | None = None,
    ):
        self._calls = CallCounter()
        self._transport = HTTPTransport(base_url, timeout, max_connections, max_watches, clock)

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls made so far by kind (`read`, `write`, `lease`, `watch`)."""
        return self._calls.counts()

    def close(self) -> None:
        """Close the idle connections."""
        self._transport.close()

    def get(self, key: str) -> StoredValue | None:
        """Read one key; see `Store.get`."""
        resp = self._read(CallKind.READ, f"/v1/kv/{quote(key)}", {})
        if resp.status == _NOT_FOUND:
            return None
        _require_ok(resp)
        version = resp.headers.get("Version", "")
        if not (version.isascii() and version.isdigit()):
            raise StoreError(f"answer for {key} has no valid version: {version!r}")
        return StoredValue(key, resp.body, int(version))

    def list(self, prefix: str) -> Listing:
        """Read all keys under a prefix; see `Store.list`."""
        resp = self._read(CallKind.READ, "/v1/list", {"prefix": prefix})
        return _listing(resp)

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key by compare-and-swap; see `Store.put`."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
        fields = {"version": str(expected_version)}
        if lease_id:
            fields["lease"] = lease_id
        return self._write("PUT", key, fields, value)

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key by compare-and-swap; see `Store.delete`."""
        return self._write("DELETE", key, {"version": str(expected_version)}, None)

    def grant_lease(self, ttl: timedelta) -> str:
        """Open a lease; see `Store.grant_lease`."""
        body = json.dumps({"ttl_ms": ttl // timedelta(milliseconds=1)}).encode()
        resp = self._read(CallKind.LEASE, "/v1/leases", {}, "POST", body)
        _require_ok(resp)
        lease_id = _field(resp, "lease_id", str)
        if not lease_id:
            raise StoreError("the store granted a lease without an id")
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; see `Store.renew_lease`."""
        resp = self._read(CallKind.LEASE, f"/v1/leases/{quote(lease_id)}", {}, "PUT")
        if resp.status == _NOT_FOUND:
            return False
        _require_ok(resp)
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease; see `Store.revoke_lease`."""
        resp = self._read(CallKind.LEASE, f"/v1/leases/{quote(lease_id)}", {}, "DELETE")
        if resp.status != _NOT_FOUND:
            _require_ok(resp)

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change; see `Store.watch`."""
        timeout_ms = timeout // timedelta(milliseconds=1)
        fields = {"prefix": prefix, "after": str(after_revision), "timeout_ms": str(timeout_ms)}
        resp = self._read(CallKind.WATCH, "/v1/watch", fields, extra=timeout)
        return _listing(resp)

    def _read(
        self,
        kind: CallKind,
        path: str,
        fields: Mapping[str, str],
        method: str = "GET",
        body: bytes | None = None,
        extra: timedelta = timedelta(),
    ) -> HTTPAnswer:
        self._calls.add(kind)
        return read_answer(self._transport, method, path, fields, body, extra)

    def _write(
        self, method: str, key: str, fields: Mapping[str, str], body: bytes | None
    ) -> WriteOutcome:
        self._calls.add(CallKind.WRITE)
        sent = write_answer(self._transport, method, f"/v1/kv/{quote(key)}", fields, body)
        return sent if isinstance(sent, Unknown) else _write_outcome(f"{method} {key}", sent)


def read_answer(
    transport: HTTPTransport,
    method: str,
    path: str,
    fields: Mapping[str, str],
    body: bytes | None = None,
    extra: timedelta = timedelta(),
) -> HTTPAnswer:
    """Make a store call that may be repeated: a read, a watch or a call on a lease.

    :param extra: time that the store may wait before it answers.
    :raises StoreUnavailableError: no answer came, or the store is out of service or over its rate.
    """
    try:
        resp = transport.send(method, path, fields, body, extra)
    except urllib3.exceptions.HTTPError as exc:
        raise StoreUnavailableError(f"{method} {path}: {exc}") from exc
    if resp.status == _TOO_MANY or resp.status >= 500:
        raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
    return resp


def write_answer(
    transport: HTTPTransport,
    method: str,
    path: str,
    fields: Mapping[str, str],
    body: bytes | None,
) -> HTTPAnswer | Unknown:
    """Make a store call that changes a key.

    :returns: the answer, or `Unknown` when it was lost.
    :raises StoreUnavailableError: the call had no effect.
    """
    try:
        resp = transport.send(method, path, fields, body)
    except NOT_SENT as exc:
        raise StoreUnavailableError(f"{method} {path}: {exc}") from exc
    except urllib3.exceptions.HTTPError as exc:
        return Unknown(f"{method} {path}: {exc}")
    if resp.status in (_TOO_MANY, _OUT_OF_SERVICE):
        raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
    return resp


def _write_outcome(call: str, resp: HTTPAnswer) -> WriteOutcome:
    """Translate the answer to a write.

    An answer that the protocol does not allow leaves the effect unknown.
    """
    if resp.status == _NOT_FOUND:
        raise LeaseExpiredError(f"{call}: the lease has expired")
    if resp.status == _TOO_LARGE:
        raise ValueTooLargeError(f"{call}: the store refused the size")
    if resp.status not in (_OK, _CONFLICT):
        return Unknown(f"{call}: status {resp.status}")
    try:
        version = _field(resp, "version", int)
    except StoreError as exc:
        return Unknown(f"{call}: {exc}")
    return Committed(version) if resp.status == _OK else Conflict(version)


def _require_ok(resp: HTTPAnswer) -> None:
    if resp.status != _OK:
        raise StoreError(f"unexpected status {resp.status}: {resp.body[:200]!r}")


def _listing(resp: HTTPAnswer) -> Listing:
    _require_ok(resp)
    try:
        return listing_from_json(resp.body)
    except InvalidMessageError as exc:
        raise StoreError(str(exc)) from exc


def _field(resp: HTTPAnswer, name: str, kind: type) -> object:
    try:
        value = json.loads(resp.body)[name]
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise StoreError(f"answer without {name}: {resp.body[:200]!r}") from exc
    if type(value) is not kind:
        raise StoreError(f"answer with invalid {name}: {value!r}")
    return value

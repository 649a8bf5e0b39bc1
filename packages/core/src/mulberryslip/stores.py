"""The platform's key-value store: interface and HTTP adapter.

HTTP interface, with all paths relative to the base URL:

- `GET /v1/kv/{key}`: 200 with the value as body and its version in the header `Version`; 404
- `GET /v1/list?prefix=`: `{"revision", "values": [{"key", "value", "version"}]}`, values in base64
- `PUT /v1/kv/{key}?version=N&lease=ID`: 200 `{"version"}`; 409 `{"version"}`; 404 for an expired
  lease; 413 over 1 MB
- `DELETE /v1/kv/{key}?version=N`: 200 `{"version"}`; 409 `{"version"}`
- `POST /v1/leases` `{"ttl_ms"}`: 200 `{"lease_id"}`
- `PUT /v1/leases/{id}`: 200; 404 for an expired lease
- `DELETE /v1/leases/{id}`: 200; 404
- `GET /v1/watch?prefix=&after=&timeout_ms=`: as a listing

Any call may get the status 429 (over the rate limit) or 503 (out of service); both mean that it had
no effect. After any other 5xx or a broken connection the effect of a write is unknown.
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
from .transports import NOT_SENT, HTTPResponse, HTTPTransport

MAX_VALUE_BYTES = 1_000_000

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503


@attrs.frozen
class StoredValue:
    """Key of the store with its value.

    :param key: name of the key.
    :param value: the stored bytes, at most `MAX_VALUE_BYTES`.
    :param version: global revision of the last write; 0 when the key is absent.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Listing:
    """Consistent snapshot of the values under a prefix.

    :param values: ordered by key; from a watch only the changed ones, with version 0 for a
        deleted key.
    :param revision: global revision of the snapshot; a watch continues from it.
    """

    values: tuple[StoredValue, ...]
    revision: int


class Store(Protocol):
    """The platform's key-value store.

    Every method raises `StoreUnavailableError` when the call had no effect or, for reads and lease
    calls, no response arrived. A write whose response was lost returns `Unknown` instead.
    `StoreError` is raised for a response that violates the protocol.
    """

    def get(self, key: str) -> StoredValue | None:
        """Read one key.

        :returns: the value, or None when the key is absent.
        """

    def list(self, prefix: str) -> Listing:
        """Read a consistent snapshot of all keys that start with a prefix."""

    def put(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> WriteOutcome:
        """Write a key if it still has the expected version.

        :param key: name of the key.
        :param value: at most `MAX_VALUE_BYTES`.
        :param expected_version: version read earlier; 0 when the key must be absent.
        :param lease_id: lease whose expiry deletes the key; empty for none.
        :raises LeaseExpiredError: the lease has expired; nothing was written.
        :raises ValueTooLargeError: nothing was written.
        """

    def delete(self, key: str, expected_version: int) -> WriteOutcome:
        """Delete a key if it still has the expected version."""

    def grant_lease(self, ttl: timedelta) -> str:
        """Create a lease.

        :param ttl: time after which it expires unless renewed, rounded down to milliseconds.
        :returns: id of the lease.
        """

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its TTL.

        :returns: False when it has expired.
        """

    def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys; an expired lease is not an error."""

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change under a prefix after a revision.

        :param prefix: prefix of the keys.
        :param after_revision: revision of the last listing.
        :param timeout: longest wait, rounded down to milliseconds.
        :returns: the changed values, a deleted one with version 0; empty after the timeout.
        """


class CallKind(enum.Enum):
    """Kinds of store calls, counted separately because the store rate-limits them separately."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class CallCounter:
    """Thread-safe counter of store calls by kind."""

    def __init__(self):
        self._counts: collections.Counter[CallKind] = collections.Counter()
        self._lock = threading.Lock()

    def add(self, kind: CallKind) -> None:
        """Count one call."""
        with self._lock:
            self._counts[kind] += 1

    def counts(self) -> dict[str, int]:
        """Return the number of calls of each kind, by the value of `CallKind`."""
        with self._lock:
            return {kind.value: self._counts[kind] for kind in CallKind}


def listing_to_json(listing: Listing) -> bytes:
    """Encode a listing as an HTTP body."""
    values = [
        {"key": v.key, "value": base64.b64encode(v.value).decode(), "version": v.version}
        for v in listing.values
    ]
    return json.dumps({"revision": listing.revision, "values": values}).encode()


def listing_from_json(body: bytes) -> Listing:
    """Decode the HTTP body of a listing.

    :raises InvalidMessageError: the body is not a valid listing.
    """
    try:
        document = json.loads(body)
        values = tuple(_value_from_json(item) for item in document["values"])
        return Listing(values, _non_negative_int(document["revision"]))
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise InvalidMessageError(f"invalid listing: {exc!r}") from exc


def _value_from_json(item: Mapping) -> StoredValue:
    if not isinstance(item["key"], str):
        raise TypeError("a key must be a string")
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error as exc:
        raise ValueError(f"value of {item['key']}: {exc}") from exc
    return StoredValue(item["key"], value, _non_negative_int(item["version"]))


def _non_negative_int(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a non-negative integer")
    return value


class HTTPStore:
    """Client of the platform's store over HTTP.

    It never retries on its own: a repeated write could take effect twice, and retries during an
    outage would use up the store's rate limit. The number of connections is bounded; a call that
    gets none within the timeout raises `StoreUnavailableError`.

    :param base_url: `http://host:port`, optionally with a path.
    :param timeout: limit for connecting, for the headers and for the body of a response; a call
        with a small body takes at most about three times as long, see `HTTPTransport`.
    :param max_connections: connections for calls that the store answers at once.
    :param max_watches: further connections for watches, which are long polls.
    :param clock: measures how long a response takes.
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
        return _listing_from_response(resp)

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
        """Create a lease; see `Store.grant_lease`."""
        body = json.dumps({"ttl_ms": ttl // timedelta(milliseconds=1)}).encode()
        resp = self._read(CallKind.LEASE, "/v1/leases", {}, "POST", body)
        _require_ok(resp)
        lease_id = _json_field(resp, "lease_id", str)
        if not lease_id:
            raise StoreError("response to a lease grant has an empty lease_id")
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; see `Store.renew_lease`."""
        resp = self._read(CallKind.LEASE, f"/v1/leases/{quote(lease_id)}", {}, "PUT")
        if resp.status == _NOT_FOUND:
            return False
        _require_ok(resp)
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease; see `Store.revoke_lease`."""
        resp = self._read(CallKind.LEASE, f"/v1/leases/{quote(lease_id)}", {}, "DELETE")
        if resp.status != _NOT_FOUND:
            _require_ok(resp)

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for a change; see `Store.watch`."""
        timeout_ms = timeout // timedelta(milliseconds=1)
        fields = {"prefix": prefix, "after": str(after_revision), "timeout_ms": str(timeout_ms)}
        resp = self._read(CallKind.WATCH, "/v1/watch", fields, server_wait=timeout)
        return _listing_from_response(resp)

    def _read(
        self,
        kind: CallKind,
        path: str,
        fields: Mapping[str, str],
        method: str = "GET",
        body: bytes | None = None,
        server_wait: timedelta = timedelta(),
    ) -> HTTPResponse:
        self._calls.add(kind)
        return send_read(self._transport, method, path, fields, body, server_wait)

    def _write(
        self, method: str, key: str, fields: Mapping[str, str], body: bytes | None
    ) -> WriteOutcome:
        self._calls.add(CallKind.WRITE)
        resp = send_write(self._transport, method, f"/v1/kv/{quote(key)}", fields, body)
        return resp if isinstance(resp, Unknown) else _write_outcome(f"{method} {key}", resp)


def send_read(
    transport: HTTPTransport,
    method: str,
    path: str,
    fields: Mapping[str, str],
    body: bytes | None = None,
    server_wait: timedelta = timedelta(),
) -> HTTPResponse:
    """Send a store call that may be repeated: a read, a watch or a lease call.

    :param transport: connection to the store.
    :param method: HTTP method.
    :param path: path below the base URL.
    :param fields: query parameters.
    :param body: request body, or None.
    :param server_wait: time that the store may wait before it responds.
    :raises StoreUnavailableError: no response arrived, the call was over the rate limit, or the
        store failed with a status of 500 or more.
    """
    try:
        resp = transport.send(method, path, fields, body, server_wait)
    except urllib3.exceptions.HTTPError as exc:
        raise StoreUnavailableError(f"{method} {path}: {exc}") from exc
    if resp.status == _TOO_MANY_REQUESTS or resp.status >= 500:
        raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
    return resp


def send_write(
    transport: HTTPTransport,
    method: str,
    path: str,
    fields: Mapping[str, str],
    body: bytes | None,
) -> HTTPResponse | Unknown:
    """Send a store call that changes a key.

    :param transport: connection to the store.
    :param method: HTTP method.
    :param path: path below the base URL.
    :param fields: query parameters.
    :param body: request body, or None.
    :returns: the response, or `Unknown` when it was lost.
    :raises StoreUnavailableError: the call had no effect.
    """
    try:
        resp = transport.send(method, path, fields, body)
    except NOT_SENT as exc:
        raise StoreUnavailableError(f"{method} {path}: {exc}") from exc
    except urllib3.exceptions.HTTPError as exc:
        return Unknown(f"{method} {path}: {exc}")
    if resp.status in (_TOO_MANY_REQUESTS, _SERVICE_UNAVAILABLE):
        raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
    return resp


def _write_outcome(call: str, resp: HTTPResponse) -> WriteOutcome:
    """Translate the response to a write into its outcome.

    After a response that violates the protocol, the effect of the write is unknown.
    """
    if resp.status == _NOT_FOUND:
        raise LeaseExpiredError(f"{call}: the lease has expired")
    if resp.status == _TOO_LARGE:
        raise ValueTooLargeError(f"{call}: the store refused the size")
    if resp.status not in (_OK, _CONFLICT):
        return Unknown(f"{call}: status {resp.status}")
    try:
        version = _json_field(resp, "version", int)
    except StoreError as exc:
        return Unknown(f"{call}: {exc}")
    return Committed(version) if resp.status == _OK else Conflict(version)


def _require_ok(resp: HTTPResponse) -> None:
    if resp.status != _OK:
        raise StoreError(f"unexpected status {resp.status}: {resp.body[:200]!r}")


def _listing_from_response(resp: HTTPResponse) -> Listing:
    _require_ok(resp)
    try:
        return listing_from_json(resp.body)
    except InvalidMessageError as exc:
        raise StoreError(str(exc)) from exc


def _json_field(resp: HTTPResponse, name: str, kind: type) -> object:
    try:
        value = json.loads(resp.body)[name]
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise StoreError(f"answer without {name}: {resp.body[:200]!r}") from exc
    if type(value) is not kind:
        raise StoreError(f"answer with invalid {name}: {value!r}")
    return value

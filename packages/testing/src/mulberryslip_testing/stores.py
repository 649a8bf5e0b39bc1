"""Stand-in for the platform's store: in-memory state, injected faults and an HTTP server.

`python -m mulberryslip_testing.stores --port N` serves the protocol of `mulberryslip.stores`, and:

- `GET /v1/counters`: number of calls by kind and by injected fault
- `GET /admin/faults`, `PUT /admin/faults`: JSON with the fields of `Faults`; fields left out of a
  change keep their values
"""

import collections
import enum
import errno
import heapq
import json
import random
import signal
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from urllib.parse import parse_qs

import attrs
from absl import app, flags
from cheroot import wsgi
from mulberryslip.clocks import Clock, SystemClock
from mulberryslip.exceptions import LeaseExpiredError, ValueTooLargeError
from mulberryslip.outcomes import Committed, Conflict, WriteOutcome
from mulberryslip.signals import SignalQueue
from mulberryslip.stores import (
    MAX_VALUE_BYTES,
    CallCounter,
    CallKind,
    Listing,
    StoredValue,
    listing_to_json,
)


@attrs.define
class _Lease:
    ttl: timedelta
    expires: timedelta
    keys: set[str] = attrs.Factory(set)


class StoreState:
    """Keys, leases and watchers of the store, without faults or rate limits.

    :param clock: measures lease and watch timeouts.
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
        self._watchers: set[threading.Event] = set()

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None when the key is absent."""
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
            current = self._current_version(key)
            if current != expected_version:
                return Conflict(current)
            self._detach_lease(key)
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
            current = self._current_version(key)
            if current != expected_version or current == 0:
                return Conflict(current)
            self._remove(key)
            return Committed(self._revision)

    def grant_lease(self, ttl: timedelta) -> str:
        """Grant a lease and return its id."""
        with self._lock:
            self._expire()
            self._lease_count += 1
            lease_id = f"lease-{self._lease_count}"
            self._leases[lease_id] = _Lease(ttl, self._clock.monotonic() + ttl)
            return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; return False when it has expired."""
        with self._lock:
            self._expire()
            lease = self._leases.get(lease_id)
            if lease is None:
                return False
            lease.expires = self._clock.monotonic() + lease.ttl
            return True

    def revoke_lease(self, lease_id: str) -> bool:
        """Revoke a lease and delete its keys; return False when it had expired."""
        with self._lock:
            self._expire()
            return self._end_lease(lease_id)

    def lease_ids(self) -> set[str]:
        """Return the leases that have not expired."""
        with self._lock:
            self._expire()
            return set(self._leases)

    def watch(self, prefix: str, after_revision: int, timeout: timedelta) -> Listing:
        """Wait for changes under a prefix; return an empty listing after the timeout."""
        deadline = self._clock.monotonic() + timeout
        changed = threading.Event()
        with self._lock:
            self._watchers.add(changed)
        try:
            while True:
                with self._lock:
                    self._expire()
                    listing = self._changes(prefix, after_revision)
                    now = self._clock.monotonic()
                    if listing.values or now >= deadline:
                        return listing
                    changed.clear()
                    wake_at = min([deadline, *(lease.expires for lease in self._leases.values())])
                self._clock.wait(changed, wake_at - now)
        finally:
            with self._lock:
                self._watchers.discard(changed)

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

    def _current_version(self, key: str) -> int:
        return self._values[key].version if key in self._values else 0

    def _remove(self, key: str) -> None:
        self._detach_lease(key)
        del self._values[key]
        self._revision += 1
        self._deleted[key] = self._revision
        self._notify()

    def _detach_lease(self, key: str) -> None:
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
        for event in self._watchers:
            event.set()


class TokenBucket:
    """Token bucket that limits the rate of calls.

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
            self._refilled_at = self._clock.monotonic()

    def take(self) -> bool:
        """Return whether one more call is within the rate."""
        with self._lock:
            if self._rate == 0:
                return True
            now = self._clock.monotonic()
            refill = (now - self._refilled_at).total_seconds() * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


@attrs.frozen
class Faults:
    """Injected faults and rate limits; they can be changed while the server runs.

    :param outage: empty, `refuse` (each call gets status 503) or `drop` (connections closed).
    :param delay_ms: delay of each call in milliseconds.
    :param delay_jitter_ms: upper bound of a random addition to it.
    :param lost_answer_probability: share of writes and lease calls that take effect but whose
        response is lost.
    :param lost_call_probability: share of writes and lease calls that are lost without effect.
    :param writes_per_s: rate limit of writes and lease calls; 0 means unlimited.
    :param reads_per_s: rate limit of reads and watches; 0 means unlimited.
    :param seed: seed of the random numbers; setting any fault restarts the sequence.
    """

    outage: str = attrs.field(default="", validator=attrs.validators.in_(("", "refuse", "drop")))
    delay_ms: float = attrs.field(default=0.0, converter=float)
    delay_jitter_ms: float = attrs.field(default=0.0, converter=float)
    lost_answer_probability: float = attrs.field(default=0.0, converter=float)
    lost_call_probability: float = attrs.field(default=0.0, converter=float)
    writes_per_s: float = attrs.field(default=400.0, converter=float)
    reads_per_s: float = attrs.field(default=2000.0, converter=float)
    seed: int = attrs.field(default=1, converter=int)


class InjectedFault(enum.Enum):
    """Fault injected into one call; `NORMAL` means none."""

    NORMAL = "normal"
    REFUSED = "refused"
    OVER_RATE = "over rate"
    CALL_LOST = "call lost"
    ANSWER_LOST = "answer lost"


class FaultInjector:
    """Chooses the fault of each call from the current settings.

    :param clock: used for delays and rates.
    :param faults: faults at the start.
    """

    def __init__(self, clock: Clock, faults: Faults):
        self._clock = clock
        self._lock = threading.Lock()
        self._writes = TokenBucket(faults.writes_per_s, clock)
        self._reads = TokenBucket(faults.reads_per_s, clock)
        self.set(faults)

    @property
    def faults(self) -> Faults:
        """The current faults."""
        return self._faults

    def set(self, faults: Faults) -> None:
        """Replace the faults and restart the sequence of random numbers."""
        with self._lock:
            self._faults = faults
            self._random = random.Random(faults.seed)
            self._writes.set(faults.writes_per_s)
            self._reads.set(faults.reads_per_s)

    def outage_fault(self) -> InjectedFault:
        """Return the fault of a waiting call in an outage; `NORMAL` without an outage."""
        fault_by_outage = {
            "": InjectedFault.NORMAL,
            "refuse": InjectedFault.REFUSED,
            "drop": InjectedFault.CALL_LOST,
        }
        return fault_by_outage[self._faults.outage]

    def next_fault(self, kind: CallKind) -> InjectedFault:
        """Sleep for the delay of one call and return its fault."""
        faults = self._faults
        with self._lock:
            delay_ms = faults.delay_ms + faults.delay_jitter_ms * self._random.random()
            draw = self._random.random()
        if delay_ms > 0:
            self._clock.sleep(timedelta(milliseconds=delay_ms))
        if faults.outage:
            return self.outage_fault()
        is_mutation = kind in (CallKind.WRITE, CallKind.LEASE)
        if not (self._writes if is_mutation else self._reads).take():
            return InjectedFault.OVER_RATE
        if is_mutation and draw < faults.lost_answer_probability:
            return InjectedFault.ANSWER_LOST
        if is_mutation and draw < faults.lost_answer_probability + faults.lost_call_probability:
            return InjectedFault.CALL_LOST
        return InjectedFault.NORMAL


@attrs.frozen
class _Request:
    """One HTTP request."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes

    def int_field(self, name: str) -> int:
        """Return a query field as an integer."""
        return int(self.fields[name])


@attrs.frozen
class _Response:
    """One HTTP response."""

    status: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def _json_response(status: str, document: object) -> _Response:
    body = json.dumps(document).encode()
    return _Response(status, body, (("Content-Type", "application/json"),))


_NOT_FOUND = _json_response("404 Not Found", {"error": "not found"})
_BODY_LIMIT_BYTES = MAX_VALUE_BYTES + 1


class StoreApplication:
    """WSGI application of the stand-in.

    :param clock: measures leases, waits, delays and rates.
    :param faults: faults and limits at the start.
    """

    def __init__(self, clock: Clock, faults: Faults):
        self.state = StoreState(clock)
        self.injector = FaultInjector(clock, faults)
        self._calls = CallCounter()
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request.

        :raises ConnectionResetError: closes the connection without a response.
        """
        req = _read_request(environ)
        try:
            response = self._handle(req)
        except (ValueError, KeyError, TypeError) as exc:
            response = _json_response("400 Bad Request", {"error": repr(exc)})
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(response.status, headers)
        return [response.body]

    def _handle(self, req: _Request) -> _Response:
        if req.path == "/admin/faults":
            return self._handle_faults(req)
        if req.path == "/v1/counters":
            return self._handle_counters()
        kind = _call_kind(req)
        if kind is None:
            return _NOT_FOUND
        self._calls.add(kind)
        fault = self.injector.next_fault(kind)
        with self._lock:
            self._fault_counts[fault.value] += 1
        if fault not in (InjectedFault.NORMAL, InjectedFault.ANSWER_LOST):
            return _fault_response(fault)
        response = self._execute(req)
        if fault is InjectedFault.NORMAL and kind is CallKind.WATCH:
            fault = self.injector.outage_fault()
        return response if fault is InjectedFault.NORMAL else _fault_response(fault)

    def _handle_faults(self, req: _Request) -> _Response:
        if req.method == "PUT":
            change = json.loads(req.body)
            self.injector.set(attrs.evolve(self.injector.faults, **change))
        return _json_response("200 OK", attrs.asdict(self.injector.faults))

    def _handle_counters(self) -> _Response:
        with self._lock:
            fault_counts = dict(self._fault_counts)
        return _json_response("200 OK", {"calls": self._calls.counts(), "fates": fault_counts})

    def _execute(self, req: _Request) -> _Response:
        if req.path.startswith("/v1/kv/"):
            return self._key_call(req, req.path.removeprefix("/v1/kv/"))
        if req.path.startswith("/v1/leases"):
            return self._lease_call(req, req.path.removeprefix("/v1/leases").lstrip("/"))
        if req.path == "/v1/list":
            return _Response("200 OK", listing_to_json(self.state.list(req.fields["prefix"])))
        timeout = timedelta(milliseconds=req.int_field("timeout_ms"))
        listing = self.state.watch(req.fields["prefix"], req.int_field("after"), timeout)
        return _Response("200 OK", listing_to_json(listing))

    def _key_call(self, req: _Request, key: str) -> _Response:
        if req.method == "GET":
            current = self.state.get(key)
            if current is None:
                return _NOT_FOUND
            return _Response("200 OK", current.value, (("Version", str(current.version)),))
        try:
            outcome = self._write(req, key)
        except LeaseExpiredError as exc:
            return _json_response("404 Not Found", {"error": str(exc)})
        except ValueTooLargeError as exc:
            return _json_response("413 Content Too Large", {"error": str(exc)})
        status = "200 OK" if isinstance(outcome, Committed) else "409 Conflict"
        return _json_response(status, {"version": outcome.version})

    def _write(self, req: _Request, key: str) -> WriteOutcome:
        if req.method == "DELETE":
            return self.state.delete(key, req.int_field("version"))
        return self.state.put(key, req.body, req.int_field("version"), req.fields.get("lease", ""))

    def _lease_call(self, req: _Request, lease_id: str) -> _Response:
        if req.method == "POST":
            ttl = timedelta(milliseconds=json.loads(req.body)["ttl_ms"])
            return _json_response("200 OK", {"lease_id": self.state.grant_lease(ttl)})
        exists = self._change_lease(req.method, lease_id)
        return _json_response("200 OK", {}) if exists else _NOT_FOUND

    def _change_lease(self, method: str, lease_id: str) -> bool:
        if method == "PUT":
            return self.state.renew_lease(lease_id)
        return self.state.revoke_lease(lease_id)


def _fault_response(fault: InjectedFault) -> _Response:
    if fault is InjectedFault.REFUSED:
        return _json_response("503 Service Unavailable", {"error": fault.value})
    if fault is InjectedFault.OVER_RATE:
        return _json_response("429 Too Many Requests", {"error": fault.value})
    raise ConnectionResetError(errno.ECONNRESET, fault.value)


def _read_request(environ: dict) -> _Request:
    length = min(int(environ.get("CONTENT_LENGTH") or 0), _BODY_LIMIT_BYTES)
    fields = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return _Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"].encode("latin-1").decode(errors="replace"),
        {name: values[-1] for name, values in fields.items()},
        environ["wsgi.input"].read(length) if length else b"",
    )


def _call_kind(req: _Request) -> CallKind | None:
    """Return the kind of a store call, or None for a path or method that does not exist."""
    if req.path.startswith("/v1/kv/"):
        kinds = {"GET": CallKind.READ, "PUT": CallKind.WRITE, "DELETE": CallKind.WRITE}
        return kinds.get(req.method)
    if req.path == "/v1/leases":
        return CallKind.LEASE if req.method == "POST" else None
    if req.path.startswith("/v1/leases/"):
        return CallKind.LEASE if req.method in ("PUT", "DELETE") else None
    kinds = {"/v1/list": CallKind.READ, "/v1/watch": CallKind.WATCH}
    return kinds.get(req.path) if req.method == "GET" else None


class StoreServer:
    """HTTP server of the stand-in, on 127.0.0.1.

    :param port: TCP port; 0 chooses a free one.
    :param faults: faults and limits at the start.
    :param clock: measures leases, waits, delays and rates.
    :param threads: calls served concurrently; each waiting watch occupies one thread.
    """

    KEEP_ALIVE_CONNECTIONS = 1000
    IDLE_TIMEOUT_S = 30
    STOP_TIMEOUT_S = 1
    # `stop` takes up to one interval; the default of 0.5 s dominates short tests.
    EXPIRATION_INTERVAL_S = 0.1

    def __init__(
        self,
        port: int = 0,
        faults: Faults | None = None,
        clock: Clock | None = None,
        threads: int = 64,
    ):
        self.application = StoreApplication(clock or SystemClock(), faults or Faults())
        self._server = wsgi.Server(
            ("127.0.0.1", port),
            self.application,
            numthreads=threads,
            request_queue_size=128,
            timeout=self.IDLE_TIMEOUT_S,
            shutdown_timeout=self.STOP_TIMEOUT_S,
        )
        self._server.keep_alive_conn_limit = self.KEEP_ALIVE_CONNECTIONS
        self._server.expiration_interval = self.EXPIRATION_INTERVAL_S
        self._thread = threading.Thread(target=self._server.serve, name="store", daemon=True)

    @property
    def port(self) -> int:
        """TCP port, known after `start`."""
        return self._server.bind_addr[1]

    @property
    def base_url(self) -> str:
        """URL for `HTTPStore`."""
        return f"http://127.0.0.1:{self.port}"

    def start(self) -> None:
        """Bind the port and serve in the background."""
        self._server.prepare()
        self._thread.start()

    def __enter__(self) -> "StoreServer":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop()
        self._thread.join()


def _main(_: list[str]) -> None:
    faults = Faults(
        writes_per_s=flags.FLAGS.writes_per_s,
        reads_per_s=flags.FLAGS.reads_per_s,
        seed=flags.FLAGS.seed,
    )
    server = StoreServer(flags.FLAGS.port, faults, threads=flags.FLAGS.threads)
    signals = SignalQueue(signal.SIGTERM, signal.SIGINT)
    server.start()
    print(f"store listening on {server.base_url}", flush=True)
    signals.get()
    server.stop()


def _define_flags() -> None:
    flags.DEFINE_integer("port", 0, "TCP port; 0 chooses a free one", lower_bound=0)
    flags.DEFINE_float("writes_per_s", Faults().writes_per_s, "limit of writes; 0 for none")
    flags.DEFINE_float("reads_per_s", Faults().reads_per_s, "limit of reads; 0 for none")
    flags.DEFINE_integer("seed", 1, "seed of the random faults")
    flags.DEFINE_integer("threads", 64, "calls served concurrently", lower_bound=1)


if __name__ == "__main__":
    _define_flags()
    app.run(_main)

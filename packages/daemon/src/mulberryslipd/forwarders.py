"""Forwards requests to the worker's local target over HTTP."""

import threading
import zlib
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs
import urllib3
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.outcomes import Answered, NotRun, OutcomeUnknown, RequestOutcome
from mulberryslip.wire.ttypes import ForwardRequest

from .pressures import PressureGauge

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
# A thrift reply is limited to 4 MiB, headers included.
MAX_BODY_BYTES = 3 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
MAX_CACHED_IDS = 20_000
MAX_CACHED_BYTES = 8 * 1024 * 1024
# Weight of a new sample in the moving average of the service time.
NEW_SAMPLE_WEIGHT = 0.1
# Hop-by-hop headers, and headers that are set for each request to the target.
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "request-id",
        "request-deadline-ms",
    }
)


@attrs.define
class _RequestRecord:
    """State of a request id; `outcome` is None while the request runs."""

    fingerprint: int
    outcome: RequestOutcome | None = None
    size: int = 0


class OutcomeCache:
    """Caches outcomes of non-idempotent requests by request id, bounded in number and bytes.

    An id is kept longer than its response, so that a request whose response was evicted is not
    run again.
    """

    def __init__(self, max_ids: int = MAX_CACHED_IDS, max_bytes: int = MAX_CACHED_BYTES):
        self._max_ids = max_ids
        self._max_bytes = max_bytes
        self._lock = threading.Condition()
        self._records: OrderedDict[str, _RequestRecord] = OrderedDict()
        self._bytes = 0

    def begin(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        """Record a request id before the request runs.

        :returns: None when the id is new, otherwise its outcome so far.
        """
        with self._lock:
            known = self._lookup(request_id, fingerprint)
            if known is None:
                self._records[request_id] = _RequestRecord(fingerprint)
                self._trim()
            return known

    def find(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        """Return the outcome of an id so far, or None when the id is not cached."""
        with self._lock:
            return self._lookup(request_id, fingerprint)

    def wait(self, request_id: str, timeout: timedelta) -> None:
        """Wait until a running request has an outcome."""
        with self._lock:
            self._lock.wait_for(
                lambda: not self._is_running(request_id), max(0.0, timeout.total_seconds())
            )

    def end(self, request_id: str, outcome: RequestOutcome) -> None:
        """Record the outcome of a request; an id with `NotRun` is removed."""
        with self._lock:
            record = self._records.get(request_id)
            if record is None:
                return
            self._lock.notify_all()
            if isinstance(outcome, NotRun):
                del self._records[request_id]
                return
            record.outcome = outcome
            record.size = len(outcome.body) if isinstance(outcome, Answered) else 0
            self._bytes += record.size
            self._trim()

    def _is_running(self, request_id: str) -> bool:
        record = self._records.get(request_id)
        return record is not None and record.outcome is None

    def _lookup(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        record = self._records.get(request_id)
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            return OutcomeUnknown("the request id was used for another request")
        return record.outcome or OutcomeUnknown("the request is still running")

    def _trim(self) -> None:
        while len(self._records) > self._max_ids:
            _, record = self._records.popitem(last=False)
            self._bytes -= record.size
        if self._bytes <= self._max_bytes:
            return
        for record in self._records.values():
            if record.size:
                self._bytes -= record.size
                record.size = 0
                record.outcome = OutcomeUnknown("the request ran; its answer is no longer kept")
            if self._bytes <= self._max_bytes:
                return


class Forwarder:
    """Forwards requests to the local target within limits and refuses excess requests early.

    A request that is refused before it is sent to the target is `NotRun`; a request that was sent
    but has no complete response is `OutcomeUnknown`.

    :param target_url: base URL of the target.
    :param services: templates that the target serves.
    :param max_connections: maximum number of connections to the target.
    :param max_queue: maximum number of requests that wait for a connection.
    :param max_in_flight: returns the limit of a template's concurrent requests, or None.
    :param gauge: records the response times.
    """

    def __init__(
        self,
        target_url: str,
        services: tuple[str, ...],
        max_connections: int,
        max_queue: int,
        max_in_flight: Callable[[str], int | None],
        gauge: PressureGauge,
        clock: Clock,
    ):
        self._target_url = target_url.rstrip("/")
        self._services = frozenset(services)
        self._max_connections = max_connections
        self._max_queue = max_queue
        self._max_in_flight = max_in_flight
        self._gauge = gauge
        self._clock = clock
        self._outcome_cache = OutcomeCache()
        self._capacity_changed = threading.Condition()
        self._in_flight = 0
        self._in_flight_of: dict[str, int] = {}
        self._queued = 0
        self._mean_service_time = timedelta()
        self._is_leaving = False
        self._http = urllib3.PoolManager(
            num_pools=1, maxsize=max_connections, block=False, retries=False
        )

    @property
    def in_flight(self) -> int:
        """Number of requests in flight at the target."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Number of requests waiting for a connection."""
        return self._queued

    @property
    def service_time(self) -> timedelta:
        """Moving average of the target's response time."""
        return self._mean_service_time

    def leave(self) -> None:
        """Refuse new requests from now on; queued ones are still forwarded."""
        with self._capacity_changed:
            self._is_leaving = True

    def wait_idle(self, timeout: timedelta) -> bool:
        """Wait until no request is queued or in flight; return False on a timeout."""
        with self._capacity_changed:
            return self._capacity_changed.wait_for(
                lambda: not self._in_flight and not self._queued, timeout.total_seconds()
            )

    def forward(self, req: ForwardRequest) -> RequestOutcome:
        """Forward one request; a resent one gets its cached outcome and is not forwarded again."""
        expires = self._clock.monotonic() + req.header.deadline_ms * MILLISECOND
        request_id = req.header.request_id
        fingerprint = _fingerprint(req)
        if req.resent:
            # The original request may still be running; its caller gave up earlier.
            self._outcome_cache.wait(request_id, expires - self._clock.monotonic())
            known = self._outcome_cache.find(request_id, fingerprint)
            return known or OutcomeUnknown("this process does not remember the request")
        if req.idempotent:
            return self._run(req, expires)
        known = self._outcome_cache.begin(request_id, fingerprint)
        if known is not None:
            return known
        outcome: RequestOutcome = OutcomeUnknown("the worker failed while the request ran")
        try:
            outcome = self._run(req, expires)
        finally:
            self._outcome_cache.end(request_id, outcome)
        return outcome

    def _run(self, req: ForwardRequest, expires: timedelta) -> RequestOutcome:
        refusal = self._acquire_connection(req.template_name, expires)
        if refusal is not None:
            return refusal
        started = self._clock.monotonic()
        try:
            # The process may have been suspended while the request was queued.
            if expires <= started:
                return NotRun("the deadline passed before the hand-over")
            outcome = self._send_to_target(req, expires)
        finally:
            self._release_connection(req.template_name)
        if not isinstance(outcome, NotRun):
            self._record_service_time(req.template_name, self._clock.monotonic() - started)
        return outcome

    def _acquire_connection(self, template: str, expires: timedelta) -> NotRun | None:
        """Wait for a connection to the target; return `NotRun` when none is free in time."""
        with self._capacity_changed:
            refusal = self._refusal_reason(template, expires)
            if refusal:
                return NotRun(refusal)
            self._queued += 1
            try:
                max_wait = expires - self._mean_service_time - self._clock.monotonic()
                is_acquired = self._capacity_changed.wait_for(
                    lambda: self._has_capacity(template), max(0.0, max_wait.total_seconds())
                )
            finally:
                self._queued -= 1
            if not is_acquired:
                self._capacity_changed.notify_all()
                return NotRun("no connection to the target became free in time")
            self._in_flight += 1
            self._in_flight_of[template] = self._in_flight_of.get(template, 0) + 1
        return None

    def _refusal_reason(self, template: str, expires: timedelta) -> str:
        if self._is_leaving:
            return "the worker is leaving"
        if template not in self._services:
            return f"the target does not answer {template}"
        has_capacity = self._has_capacity(template)
        if not has_capacity and self._queued >= self._max_queue:
            return f"the queue of {self._queued} requests is full"
        # An idle target gets the request whatever the average is; without new samples a high
        # average would never fall, and all further requests would be refused.
        needed = self._mean_service_time if self._in_flight else timedelta()
        if not has_capacity:
            needed += self._mean_service_time * (self._queued / self._max_connections)
        if self._clock.monotonic() + needed >= expires:
            return "the deadline is too close"
        return ""

    def _has_capacity(self, template: str) -> bool:
        if self._in_flight >= self._max_connections:
            return False
        limit = self._max_in_flight(template)
        return limit is None or self._in_flight_of.get(template, 0) < limit

    def _release_connection(self, template: str) -> None:
        with self._capacity_changed:
            self._in_flight -= 1
            self._in_flight_of[template] -= 1
            if not self._in_flight_of[template]:
                del self._in_flight_of[template]
            self._capacity_changed.notify_all()

    def _record_service_time(self, template: str, duration: timedelta) -> None:
        self._gauge.record(template, duration)
        with self._capacity_changed:
            if self._mean_service_time:
                self._mean_service_time += (duration - self._mean_service_time) * NEW_SAMPLE_WEIGHT
            else:
                self._mean_service_time = duration

    def _send_to_target(self, req: ForwardRequest, expires: timedelta) -> RequestOutcome:
        remaining = expires - self._clock.monotonic()
        try:
            resp = self._http.request(
                req.method,
                f"{self._target_url}/{req.path.lstrip('/')}",
                body=req.body or None,
                headers=_request_headers(req, remaining),
                timeout=urllib3.Timeout(total=max(0.001, remaining.total_seconds())),
                preload_content=False,
                # The body is forwarded unchanged, with its Content-Encoding header.
                decode_content=False,
                redirect=False,
            )
            return self._read_response(resp, expires)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            # Without a connection the target has received nothing.
            return NotRun("the target refuses connections")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            log(
                Event.REQUEST_OUTCOME_UNKNOWN,
                request_id=req.header.request_id,
                reason=str(exc),
            )
            return OutcomeUnknown(f"the target gave no whole answer: {exc}")

    def _read_response(self, resp: urllib3.BaseHTTPResponse, expires: timedelta) -> RequestOutcome:
        try:
            body = bytearray()
            while chunk := resp.read1(READ_CHUNK_BYTES):
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    return OutcomeUnknown(f"the answer is larger than {MAX_BODY_BYTES} bytes")
                if self._clock.monotonic() >= expires:
                    return OutcomeUnknown("the answer was not complete by the deadline")
            headers = {
                k: v for k, v in resp.headers.items() if k.lower() not in UNFORWARDED_HEADERS
            }
            response = Answered(resp.status, headers, bytes(body))
            resp.release_conn()
            return response
        finally:
            # After a complete response the connection is in the pool and stays open.
            if resp.connection is not None:
                resp.close()


def _request_headers(req: ForwardRequest, remaining: timedelta) -> dict[str, str]:
    headers = {k: v for k, v in req.headers.items() if k.lower() not in UNFORWARDED_HEADERS}
    headers["Request-Id"] = req.header.request_id
    headers["Request-Deadline-Ms"] = str(remaining // MILLISECOND)
    return headers


def _fingerprint(req: ForwardRequest) -> int:
    """Return a checksum that distinguishes different requests with the same id."""
    text = "\0".join((req.template_name, req.method, req.path))
    return zlib.crc32(req.body, zlib.crc32(text.encode()))

"""Forwarding of requests to the worker's local target over HTTP."""

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
# The reply's frame is limited to 4 MiB, headers included.
MAX_BODY_BYTES = 3 * 1024 * 1024
READ_BYTES = 64 * 1024
MAX_REMEMBERED_IDS = 20_000
MAX_REMEMBERED_BYTES = 8 * 1024 * 1024
AVERAGE_WEIGHT = 0.1
# Headers of one connection or computed anew; never passed on.
HOP_HEADERS = frozenset(
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
class _Remembered:
    """What is known of a request id; `outcome` is None while the request runs."""

    fingerprint: int
    outcome: RequestOutcome | None = None
    size: int = 0


class AnswerMemory:
    """Recent ids of non-idempotent requests and their answers, bounded in number and bytes.

    An id outlives its answer, so that a request whose answer was dropped is not run again.
    """

    def __init__(self, max_ids: int = MAX_REMEMBERED_IDS, max_bytes: int = MAX_REMEMBERED_BYTES):
        self._max_ids = max_ids
        self._max_bytes = max_bytes
        self._lock = threading.Condition()
        self._entries: OrderedDict[str, _Remembered] = OrderedDict()
        self._bytes = 0

    def begin(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        """Record an id that is about to run.

        :returns: None when it is new, otherwise what is known of it.
        """
        with self._lock:
            known = self._lookup(request_id, fingerprint)
            if known is None:
                self._entries[request_id] = _Remembered(fingerprint)
                self._trim()
            return known

    def find(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        """Return what is known of an id; None when it is not remembered."""
        with self._lock:
            return self._lookup(request_id, fingerprint)

    def wait(self, request_id: str, timeout: timedelta) -> None:
        """Wait until a request that runs now has its outcome."""
        with self._lock:
            self._lock.wait_for(
                lambda: not self._is_running(request_id), max(0.0, timeout.total_seconds())
            )

    def end(self, request_id: str, outcome: RequestOutcome) -> None:
        """Record the outcome; an id that was not run is forgotten."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                return
            self._lock.notify_all()
            if isinstance(outcome, NotRun):
                del self._entries[request_id]
                return
            entry.outcome = outcome
            entry.size = len(outcome.body) if isinstance(outcome, Answered) else 0
            self._bytes += entry.size
            self._trim()

    def _is_running(self, request_id: str) -> bool:
        entry = self._entries.get(request_id)
        return entry is not None and entry.outcome is None

    def _lookup(self, request_id: str, fingerprint: int) -> RequestOutcome | None:
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return OutcomeUnknown("the request id was used for another request")
        return entry.outcome or OutcomeUnknown("the request is still running")

    def _trim(self) -> None:
        while len(self._entries) > self._max_ids:
            _, entry = self._entries.popitem(last=False)
            self._bytes -= entry.size
        if self._bytes <= self._max_bytes:
            return
        for entry in self._entries.values():
            if entry.size:
                self._bytes -= entry.size
                entry.size = 0
                entry.outcome = OutcomeUnknown("the request ran; its answer is no longer kept")
            if self._bytes <= self._max_bytes:
                return


class Forwarder:
    """Passes requests to the local target within limits, and refuses early.

    Before the hand-over to the target every refusal is `NotRun`; after it, a request without a
    whole answer is `OutcomeUnknown`.

    :param target_url: base URL of the target.
    :param services: templates that the target answers.
    :param max_connections: connections to the target.
    :param max_queue: requests that may wait for a connection.
    :param max_in_flight: returns a template's limit at the target, or None.
    :param gauge: receives the answer times.
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
        self._memory = AnswerMemory()
        self._changed = threading.Condition()
        self._in_flight = 0
        self._in_flight_of: dict[str, int] = {}
        self._queued = 0
        self._average = timedelta()
        self._is_leaving = False
        self._http = urllib3.PoolManager(
            num_pools=1, maxsize=max_connections, block=False, retries=False
        )

    @property
    def in_flight(self) -> int:
        """Requests at the target."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests waiting for a connection."""
        return self._queued

    @property
    def service_time(self) -> timedelta:
        """Moving average of the target's answer time."""
        return self._average

    def leave(self) -> None:
        """Refuse new requests from now on; queued ones are still run."""
        with self._changed:
            self._is_leaving = True

    def wait_idle(self, timeout: timedelta) -> bool:
        """Wait until no request is queued or at the target."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._in_flight and not self._queued, timeout.total_seconds()
            )

    def forward(self, req: ForwardRequest) -> RequestOutcome:
        """Run one request, or answer a resent one from memory."""
        expires = self._clock.monotonic() + req.header.deadline_ms * MILLISECOND
        request_id = req.header.request_id
        fingerprint = _fingerprint(req)
        if req.resent:
            # The first sending may still be running; its caller gave up earlier.
            self._memory.wait(request_id, expires - self._clock.monotonic())
            known = self._memory.find(request_id, fingerprint)
            return known or OutcomeUnknown("this process does not remember the request")
        if req.idempotent:
            return self._run(req, expires)
        known = self._memory.begin(request_id, fingerprint)
        if known is not None:
            return known
        outcome: RequestOutcome = OutcomeUnknown("the worker failed while the request ran")
        try:
            outcome = self._run(req, expires)
        finally:
            self._memory.end(request_id, outcome)
        return outcome

    def _run(self, req: ForwardRequest, expires: timedelta) -> RequestOutcome:
        refusal = self._enter(req.template_name, expires)
        if refusal is not None:
            return refusal
        started = self._clock.monotonic()
        try:
            # The process may have been suspended while the request waited.
            if expires <= started:
                return NotRun("the deadline passed before the hand-over")
            outcome = self._hand_over(req, expires)
        finally:
            self._exit(req.template_name)
        if not isinstance(outcome, NotRun):
            self._record(req.template_name, self._clock.monotonic() - started)
        return outcome

    def _enter(self, template: str, expires: timedelta) -> NotRun | None:
        """Wait for a connection to the target; return the reason when there is none in time."""
        with self._changed:
            refusal = self._refusal(template, expires)
            if refusal:
                return NotRun(refusal)
            self._queued += 1
            try:
                latest = expires - self._average - self._clock.monotonic()
                free = self._changed.wait_for(
                    lambda: self._has_room(template), max(0.0, latest.total_seconds())
                )
            finally:
                self._queued -= 1
            if not free:
                self._changed.notify_all()
                return NotRun("no connection to the target became free in time")
            self._in_flight += 1
            self._in_flight_of[template] = self._in_flight_of.get(template, 0) + 1
        return None

    def _refusal(self, template: str, expires: timedelta) -> str:
        if self._is_leaving:
            return "the worker is leaving"
        if template not in self._services:
            return f"the target does not answer {template}"
        has_room = self._has_room(template)
        if not has_room and self._queued >= self._max_queue:
            return f"the queue of {self._queued} requests is full"
        # An idle target gets a request even after slow ones; without new samples the average
        # would stay high and refuse everything from then on.
        needed = self._average if self._in_flight else timedelta()
        if not has_room:
            needed += self._average * (self._queued / self._max_connections)
        if self._clock.monotonic() + needed >= expires:
            return "the deadline is too close"
        return ""

    def _has_room(self, template: str) -> bool:
        if self._in_flight >= self._max_connections:
            return False
        limit = self._max_in_flight(template)
        return limit is None or self._in_flight_of.get(template, 0) < limit

    def _exit(self, template: str) -> None:
        with self._changed:
            self._in_flight -= 1
            self._in_flight_of[template] -= 1
            if not self._in_flight_of[template]:
                del self._in_flight_of[template]
            self._changed.notify_all()

    def _record(self, template: str, duration: timedelta) -> None:
        self._gauge.record(template, duration)
        with self._changed:
            if self._average:
                self._average += (duration - self._average) * AVERAGE_WEIGHT
            else:
                self._average = duration

    def _hand_over(self, req: ForwardRequest, expires: timedelta) -> RequestOutcome:
        remaining = expires - self._clock.monotonic()
        try:
            resp = self._http.request(
                req.method,
                f"{self._target_url}/{req.path.lstrip('/')}",
                body=req.body or None,
                headers=_request_headers(req, remaining),
                timeout=urllib3.Timeout(total=max(0.001, remaining.total_seconds())),
                preload_content=False,
                # The body passes as it is, with its Content-Encoding header.
                decode_content=False,
                redirect=False,
            )
            return self._read(resp, expires)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            # No connection means that the target received nothing.
            return NotRun("the target refuses connections")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            log(
                Event.REQUEST_OUTCOME_UNKNOWN,
                request_id=req.header.request_id,
                reason=str(exc),
            )
            return OutcomeUnknown(f"the target gave no whole answer: {exc}")

    def _read(self, resp: urllib3.BaseHTTPResponse, expires: timedelta) -> RequestOutcome:
        try:
            body = bytearray()
            while chunk := resp.read1(READ_BYTES):
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    return OutcomeUnknown(f"the answer is larger than {MAX_BODY_BYTES} bytes")
                if self._clock.monotonic() >= expires:
                    return OutcomeUnknown("the answer was not complete by the deadline")
            headers = {k: v for k, v in resp.headers.items() if k.lower() not in HOP_HEADERS}
            answer = Answered(resp.status, headers, bytes(body))
            resp.release_conn()
            return answer
        finally:
            # After a whole answer this leaves the pooled connection open.
            if resp.connection is not None:
                resp.close()


def _request_headers(req: ForwardRequest, remaining: timedelta) -> dict[str, str]:
    headers = {k: v for k, v in req.headers.items() if k.lower() not in HOP_HEADERS}
    headers["Request-Id"] = req.header.request_id
    headers["Request-Deadline-Ms"] = str(remaining // MILLISECOND)
    return headers


def _fingerprint(req: ForwardRequest) -> int:
    """Return a checksum that tells requests with the same id apart."""
    text = "\0".join((req.template_name, req.method, req.path))
    return zlib.crc32(req.body, zlib.crc32(text.encode()))

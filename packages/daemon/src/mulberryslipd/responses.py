"""HTTP requests, responses, errors and draining, shared by the HTTP interfaces."""

import http
import json
import re
import threading
import uuid
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.configs import parse_json
from mulberryslip.events import Event, log
from mulberryslip.exceptions import ConfigError
from mulberryslip.wire.ttypes import Outcome

from .client_limits import count_marks, parsed_size

MAX_BODY_BYTES = 900_000
"""A job's body must fit into the shard's snapshot, and a request's body into a frame of 4 MB."""

MAX_LENGTH_DIGITS = 10

ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
ID_FORMAT = "1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'"

_SAFE_METHODS = ("GET", "HEAD")
CONNECTION_CLOSE = {"Connection": "close"}
"""Header that closes the connection after the response."""

QUEUE_TIME_KEY = "mulberryslip.waited"
"""Key of the WSGI environment for the time that a request waited for a thread."""

MEMORY_KEY = "mulberryslip.memory"
"""Key of the WSGI environment for the `ConnectionMemory` of the request."""

RETRY_AFTER_S = 2
"""When an overloaded process is to be asked again: stalled transfers give way sooner than that."""

_POLL_INTERVAL = timedelta(milliseconds=20)
_HOP_BY_HOP = frozenset(
    (
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade", "proxy-connection",
    )
)  # fmt: skip

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class HTTPError(Exception):
    """Error that is sent as the response to a request.

    :param status: HTTP status.
    :param code: machine-readable code.
    :param message: description of the error, with field, value and allowed values.
    :param details: additional fields of the JSON body.
    :param headers: additional headers.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        details: Mapping[str, object] | None = None,
        headers: Mapping[str, str] | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.details = dict(details or {})
        self.headers = dict(headers or {})


@attrs.frozen
class Response:
    """One HTTP response."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HTTPRequest:
    """One HTTP request.

    :param method: HTTP method in upper case.
    :param path: percent-encoded path without the query.
    :param query: percent-encoded query without `?`.
    :param request_id: value of the header `Request-Id`, or a generated id.
    :param caller_chosen: whether the caller sent the id.
    :param body: complete body.
    :param queue_time: time that the request waited for a thread.
    """

    method: str
    path: str
    query: str
    environ: Mapping[str, Any]
    request_id: str
    caller_chosen: bool
    body: bytes = b""
    queue_time: timedelta = timedelta()

    def header(self, name: str) -> str | None:
        """Return a request header, or None when it is absent."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key)
        return self.environ.get(f"HTTP_{key}")

    def json_object(self) -> object:
        """Parse the body as JSON.

        :raises HTTPError: 400 when it is not JSON.
        """
        self.check_document()
        try:
            return parse_json("body", self.body)
        except ConfigError as exc:
            raise HTTPError(400, "invalid", str(exc)) from exc

    def check_document(self) -> None:
        """Reserve memory for parsing the body as JSON; it is released after the response.

        :raises HTTPError: 400 when it has too many values, 503 when the memory is exhausted.
        """
        reason = document_rejection(self.environ, self.body)
        if reason:
            headers = {"Retry-After": str(RETRY_AFTER_S)}
            raise rejection_error(self.method, self.caller_chosen, reason, headers)

    def forwarded_headers(self) -> dict[str, str]:
        """Return the request headers that are forwarded to the target."""
        headers = {
            key[5:].replace("_", "-").title(): value
            for key, value in self.environ.items()
            if key.startswith("HTTP_")
        }
        content_type = self.environ.get("CONTENT_TYPE")
        if content_type is not None:
            headers["Content-Type"] = content_type
        return end_to_end(headers)


class Drain:
    """Counts requests in flight, and rejects new ones while the process stops."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight = 0
        self.leaving = False
        self.closed = False

    def enter(self) -> bool:
        """Count a new request; return False when it must be rejected."""
        with self._lock:
            if self.closed:
                return False
            self._in_flight += 1
            return True

    def exit(self) -> None:
        """Count the end of a request."""
        with self._lock:
            self._in_flight -= 1

    def leave(self) -> None:
        """Fail health checks, and close each connection after its next response."""
        self.leaving = True

    def close(self) -> None:
        """Reject new requests."""
        with self._lock:
            self.leaving = True
            self.closed = True

    def wait(self, timeout: timedelta) -> bool:
        """Wait until no request is in flight.

        :returns: False on a timeout.
        """
        expires = self._clock.monotonic() + timeout
        while self._clock.monotonic() < expires:
            with self._lock:
                if self._in_flight == 0:
                    return True
            self._clock.sleep(_POLL_INTERVAL)
        return False


class Application:
    """WSGI application that handles requests and converts exceptions to error responses.

    :param handle: serves one request; raises `HTTPError`.
    :param drain: counts requests in flight during a planned stop.
    """

    def __init__(self, handle: Callable[[HTTPRequest], Response], drain: Drain):
        self._handle = handle
        self._drain = drain

    def __call__(self, environ: Mapping[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one WSGI request."""
        response = self._respond(environ)
        headers = list(response.headers.items())
        if self._drain.leaving and CONNECTION_CLOSE.items().isdisjoint(headers):
            headers.extend(CONNECTION_CLOSE.items())
        is_head = environ["REQUEST_METHOD"] == "HEAD"
        has_no_body = response.status in (204, 304)
        if not has_no_body and not (is_head and "Content-Length" in response.headers):
            headers = [pair for pair in headers if pair[0] != "Content-Length"]
            headers.append(("Content-Length", str(len(response.body))))
        start(_status_line(response.status), headers)
        return [] if is_head or has_no_body or not response.body else [response.body]

    def _respond(self, environ: Mapping[str, Any]) -> Response:
        request_id = environ.get("HTTP_REQUEST_ID", "")
        if not self._drain.enter():
            message = "this process is stopping; nothing was done"
            error = rejection_error(
                environ["REQUEST_METHOD"], bool(request_id), message, CONNECTION_CLOSE
            )
            return error_response(error, request_id)
        try:
            http_request = _parse_request(environ)
            request_id = http_request.request_id
            return self._handle(http_request)
        except HTTPError as exc:
            return error_response(exc, request_id)
        except Exception as exc:
            log(Event.INTERNAL_ERROR, path=environ.get("PATH_INFO", ""), error=repr(exc))
            error = HTTPError(500, "internal", f"internal error: {type(exc).__name__}")
            return error_response(error, request_id)
        finally:
            self._drain.exit()


def json_response(
    document: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(document).encode()
    return Response(status, body, {"Content-Type": "application/json", **(headers or {})})


def error_response(error: HTTPError, request_id: str) -> Response:
    """Return an error response with the JSON error body of section 4 of the design."""
    valid_id = request_id if ID_PATTERN.fullmatch(request_id) else ""
    document = {
        "error": {"code": error.code, "message": str(error), "request_id": valid_id},
        **error.details,
    }
    return json_response(document, error.status, error.headers)


def invalid(what: str, value: object, allowed: str) -> HTTPError:
    """Return a 400 error that names a field, its value and the allowed values."""
    return HTTPError(
        400, "invalid", f"{what}: {_truncated_repr(value)} is not allowed; allowed: {allowed}"
    )


def not_found(what: str) -> HTTPError:
    """Return a 404 error."""
    return HTTPError(404, "not_found", what)


def not_allowed(method: str, allowed: str) -> HTTPError:
    """Return a 405 error.

    :param allowed: the allowed methods, separated by commas.
    """
    message = f"method {_truncated_repr(method)} is not allowed; allowed: {allowed}"
    return HTTPError(405, "method_not_allowed", message, headers={"Allow": allowed})


def too_large() -> HTTPError:
    """Return a 413 error."""
    message = f"body: allowed: at most {MAX_BODY_BYTES} bytes"
    return HTTPError(413, "too_large", message, headers=CONNECTION_CLOSE)


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers without hop-by-hop and invalid ones."""
    connection_options = headers.get("Connection", "").lower().replace(" ", "").split(",")
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in connection_options
        and _is_valid_header(name, value)
    }


def outcome_error(outcome: int, reason: str) -> HTTPError:
    """Return the error for a thrift outcome other than OK."""
    status, code = {
        Outcome.NOT_RUN: (503, "not_run"),
        Outcome.NOT_OWNER: (503, "not_run"),
        Outcome.INVALID: (400, "invalid"),
        Outcome.NOT_FOUND: (404, "not_found"),
        Outcome.CONFLICT: (409, "conflict"),
    }.get(outcome, (504, "outcome_unknown"))
    return HTTPError(status, code, reason)


def rejection_error(
    method: str, caller_chosen: bool, message: str, headers: Mapping[str, str] | None = None
) -> HTTPError:
    """Return the 503 error for a request that is rejected before it is processed.

    A request with an id chosen by the caller may be a resend of one that ran through another entry,
    so the response must not say that the request has not run.

    :param caller_chosen: whether the caller sent the request id.
    """
    may_be_resend = caller_chosen and method not in _SAFE_METHODS
    return HTTPError(503, "not_claimed" if may_be_resend else "not_run", message, headers=headers)


def document_rejection(environ: Mapping[str, Any], body: bytes) -> str:
    """Reserve memory for parsing a body as JSON; return why there is none, or an empty string.

    :raises HTTPError: 400 when the body has too many values.
    """
    memory = environ.get(MEMORY_KEY)
    if memory is None:
        return ""
    marks = count_marks(body, memory.max_marks)
    if marks > memory.max_marks:
        message = f"body: allowed: at most {memory.max_marks} brackets, commas and colons"
        raise HTTPError(400, "invalid", message)
    is_reserved = memory.reserve_serving(parsed_size(body, marks))
    return "" if is_reserved else "the memory for requests is exhausted; nothing was done"


def _parse_request(environ: Mapping[str, Any]) -> HTTPRequest:
    body = _read_body(environ)
    request_id = environ.get("HTTP_REQUEST_ID")
    if request_id is not None and not ID_PATTERN.fullmatch(request_id):
        raise invalid("Request-Id", request_id, ID_FORMAT)
    path, _, query = environ.get("REQUEST_URI", environ["PATH_INFO"]).partition("?")
    return HTTPRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        query=query,
        environ=environ,
        request_id=request_id or uuid.uuid4().hex,
        caller_chosen=request_id is not None,
        body=body,
        queue_time=environ.get(QUEUE_TIME_KEY, timedelta()),
    )


def _read_body(environ: Mapping[str, Any]) -> bytes:
    """Read the complete body; unread bytes would be parsed as the next request.

    :raises HTTPError: 413 for a body over the limit, 400 for an incomplete or malformed one; both
        close the connection.
    """
    length = environ.get("CONTENT_LENGTH", "")
    if not length:
        return b""
    if not (length.isascii() and length.isdigit()):
        raise _invalid_body(f"Content-Length: {_truncated_repr(length)} is not a whole number")
    # The number of digits is checked first, as Python refuses to convert a very long number.
    if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise too_large()
    body = environ["wsgi.input"].read(int(length))
    if len(body) < int(length):
        raise _invalid_body(f"the body ended after {len(body)} of {length} bytes")
    return body


def _invalid_body(message: str) -> HTTPError:
    return HTTPError(400, "invalid", message, headers=CONNECTION_CLOSE)


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _is_valid_header(name: str, value: str) -> bool:
    return (
        re.fullmatch(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+", name) is not None
        and re.search(r"[\x00-\x08\x0a-\x1f\x7f]", value) is None
        and all(ord(character) < 256 for character in value)
    )


def _truncated_repr(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."

"""HTTP interface for callers: paths, headers, limits and error bodies."""

import contextlib
import http.client
import json
import socket
import threading
import time
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import Answered, NotClaimed, NotRun, OutcomeUnknown, SystemClock
from mulberryslip.configs import ConfigView
from mulberryslip.wire.ttypes import JobReply, Outcome
from mulberryslip_testing.applications import call_application
from mulberryslip_testing.waits import wait_until
from mulberryslipd.callers import CallerInterface
from mulberryslipd.daemons import GatewayDaemon
from mulberryslipd.listeners import HTTPListener
from mulberryslipd.responses import MAX_BODY_BYTES, Application, Drain, Response

ACCOUNT = {"cpu_millis": 1, "memory_mb": 1}
CONFIG = ConfigView.from_json(
    json.dumps(
        {
            "revision": 1,
            "accounts": {"a": ACCOUNT},
            "templates": {
                "check": {"class": "service", "account": "a", "parameters": {"deadline_ms": 700}},
                "plans": {"class": "batch", "account": "a"},
            },
        }
    ).encode()
)


class FakeRequests:
    """Fake that records requests and returns `outcome`; by default it echoes the body."""

    def __init__(self):
        self.seen = []
        self.outcome = None

    def run(self, req):
        self.seen.append(req)
        return self.outcome or Answered(200, {}, req.body, "w1")


class FakeJobs:
    def __init__(self):
        self.seen = []
        self.reply = JobReply(Outcome.OK, "", b'{"job_id": "j"}')

    def call_job_owner(self, method, job_id, body, request_id, deadline):
        self.seen.append((method, job_id, body))
        return self.reply


class InterfaceHarness:
    def __init__(self, config=CONFIG):
        self.requests = FakeRequests()
        self.jobs = FakeJobs()
        self.drain = Drain(SystemClock())
        callers = CallerInterface(
            self.requests, self.jobs, lambda: config, self.drain, SystemClock()
        )
        self.application = callers.application()

    def call(self, method, uri, body=None, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return call_application(self.application, method, uri, body, named)


@pytest.fixture
def interface():
    return InterfaceHarness()


def test_request_is_forwarded_unchanged(interface):
    """Guards against a path, query, header or body that is altered when forwarded."""
    result = interface.call(
        "POST", "/v1/services/check/a%2Fb/c?x=1&y=%20", b"body",
        Request_Id="r-1", Request_Deadline_Ms="250", X_Colour="red", Connection="keep-alive, X-Hop",
        X_Hop="1", Content_Type="text/plain",
    )  # fmt: skip
    assert (result.status, result.body, result.headers["Request-Id"]) == (200, b"body", "r-1")
    req = interface.requests.seen[0]
    assert (req.method, req.path, req.body) == ("POST", "/a%2Fb/c?x=1&y=%20", b"body")
    assert (req.request_id, req.caller_chosen) == ("r-1", True)
    assert 200 <= req.deadline.remaining_ms() <= 250
    assert req.headers["X-Colour"] == "red"
    assert req.headers["Content-Type"] == "text/plain"
    assert "X-Hop" not in req.headers
    assert "Connection" not in req.headers


def test_id_and_deadline_have_defaults(interface):
    """Guards against requests without an id, and the claim of a generated id."""
    interface.call("GET", "/v1/services/check/")
    req = interface.requests.seen[0]
    assert req.request_id
    assert not req.caller_chosen
    assert 600 <= req.deadline.remaining_ms() <= 700


POST_CHUNKED = (
    b"POST /v1/services/check/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BAD_INPUT = [
    ("GET", "/", {}, 404, "not_found"),
    ("GET", "/v1/services", {}, 404, "not_found"),
    ("GET", "/v1/services/unknown/x", {}, 404, "not_found"),
    ("GET", "/v1/services/plans/x", {}, 404, "not_found"),
    ("GET", "/v1/services/%00/x", {}, 404, "not_found"),
    ("GET", "/v1/jobs", {}, 404, "not_found"),
    ("GET", "/v1/jobs/", {}, 400, "invalid"),
    ("GET", "/v1/jobs/a%20b", {}, 400, "invalid"),
    ("GET", "/v1/jobs/" + "j" * 129, {}, 400, "invalid"),
    ("GET", "/v1/jobs/a%2Fb", {}, 400, "invalid"),
    ("POST", "/v1/jobs/j", {}, 405, "method_not_allowed"),
    ("POST", "/v1/health", {}, 405, "method_not_allowed"),
    ("GET", "/v1/services/check/x", {"Request-Id": ""}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Id": "a b"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Id": "r-1, r-2"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Id": "r" * 129}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "0"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "-1"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "1.5"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "600001"}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "9" * 5000}, 400, "invalid"),
    ("GET", "/v1/services/check/x", {"Request-Deadline-Ms": "\u0665"}, 400, "invalid"),
    ("POST", "/v1/services/check/x", {"Content-Length": "x"}, 400, "invalid"),
    ("POST", "/v1/services/check/x", {"Content-Length": "-1"}, 400, "invalid"),
    ("POST", "/v1/services/check/x", {"Content-Length": "9"}, 400, "invalid"),
    ("POST", "/v1/services/check/x", {"Content-Length": "900001"}, 413, "too_large"),
    ("POST", "/v1/services/check/x", {"Content-Length": "9" * 5000}, 413, "too_large"),
    ("PUT", "/v1/jobs/j", {"Content-Length": "900001"}, 413, "too_large"),
]


@pytest.mark.parametrize(("method", "uri", "headers", "status", "code"), BAD_INPUT)
def test_bad_input_is_refused(interface, method, uri, headers, status, code):
    """Guards against invalid input that reaches a target, or causes an internal error."""
    result = call_application(interface.application, method, uri, b"", headers)
    error = result.json()["error"]
    assert (result.status, error["code"]) == (status, code)
    assert error["message"]
    assert len(error["message"]) < 400
    assert interface.requests.seen == []
    assert interface.jobs.seen == []


@pytest.mark.parametrize(
    ("outcome", "status", "code"),
    [
        (NotRun("queue full"), 503, "not_run"),
        (NotClaimed("no owner"), 503, "not_claimed"),
        (OutcomeUnknown("cut"), 504, "outcome_unknown"),
        (Answered(99, {}, b"", "w1"), 504, "outcome_unknown"),
        (Answered(999, {}, b"", "w1"), 504, "outcome_unknown"),
    ],
)
def test_outcomes_have_their_own_status(interface, outcome, status, code):
    """Guards against a response that does not show whether the request may be sent again."""
    interface.requests.outcome = outcome
    result = interface.call("POST", "/v1/services/check/x", b"", Request_Id="r-9")
    assert result.status == status
    assert result.json()["error"]["code"] == code
    assert result.json()["error"]["request_id"] == "r-9"


def test_target_headers_cannot_break_the_response(interface):
    """Guards against a target whose headers inject lines or control the connection."""
    headers = {"X-Ok": "1", "Bad\r\nSet": "1", "X-Bad": "a\r\nb", "Transfer-Encoding": "chunked",
               "content-length": "999", "Connection": "close"}  # fmt: skip
    interface.requests.outcome = Answered(201, headers, b"four", "w1")
    result = interface.call("POST", "/v1/services/check/x", b"")
    assert result.status == 201
    assert {*result.headers} == {"X-Ok", "Content-Length", "Request-Id"}
    assert result.headers["Content-Length"] == "4"


@pytest.mark.parametrize(
    ("outcome", "status", "code"),
    [
        (Outcome.NOT_RUN, 503, "not_run"),
        (Outcome.NOT_OWNER, 503, "not_run"),
        (Outcome.OUTCOME_UNKNOWN, 504, "outcome_unknown"),
        (Outcome.INVALID, 400, "invalid"),
        (Outcome.NOT_FOUND, 404, "not_found"),
        (Outcome.CONFLICT, 409, "conflict"),
    ],
)
def test_job_outcomes_have_their_own_status(interface, outcome, status, code):
    """Guards against a refused submission that is reported as accepted or unknown."""
    interface.jobs.reply = JobReply(outcome, "why", b"")
    result = interface.call("PUT", "/v1/jobs/j", b"{}")
    assert (result.status, result.json()["error"]["code"]) == (status, code)


@pytest.mark.parametrize(
    ("method", "call"),
    [
        ("PUT", ("submit", "j:1", b"{}")),
        ("GET", ("job_status", "j:1", b"")),
        ("DELETE", ("cancel", "j:1", b"")),
    ],
)
def test_job_calls(interface, method, call):
    """Guards against a method that calls the wrong operation."""
    assert interface.call(method, "/v1/jobs/j%3A1", b"{}").json() == {"job_id": "j"}
    assert interface.jobs.seen == [call]


def test_stopping_entry_rejects_requests_as_not_run(interface):
    """Guards against requests that start while the process stops."""
    interface.drain.leave()
    assert interface.call("GET", "/v1/health").status == 503
    assert interface.call("GET", "/v1/services/check/x").headers["Connection"] == "close"
    interface.drain.close()
    result = interface.call("GET", "/v1/services/check/x")
    assert (result.status, result.json()["error"]["code"]) == (503, "not_run")
    assert result.headers["Connection"] == "close"
    resent = interface.call("POST", "/v1/services/check/x", Request_Id="r-1")
    assert (resent.status, resent.json()["error"]["code"]) == (503, "not_claimed")
    assert len(interface.requests.seen) == 1


def test_entry_without_configuration_is_not_healthy():
    """Guards against a load balancer that routes callers to an entry without configuration."""
    interface = InterfaceHarness(None)
    assert interface.call("GET", "/v1/health").status == 503
    result = interface.call("GET", "/v1/services/check/x")
    assert (result.status, result.json()["error"]["code"]) == (503, "not_run")


def test_exception_in_a_handler_is_a_500_without_details(interface):
    """Guards against a stack trace that reaches the caller, or a missing response."""
    interface.requests.run = lambda req: 1 / 0
    result = interface.call("GET", "/v1/services/check/x")
    assert result.json()["error"]["code"] == "internal"
    assert interface.drain.wait(timedelta(seconds=1))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.sampled_from(["GET", "PUT", "DELETE", "POST", "HEAD", "\x00"]),
    st.text(st.characters(max_codepoint=255), max_size=40),
    st.dictionaries(
        st.sampled_from(["Request-Id", "Request-Deadline-Ms", "Content-Length", "X"]),
        st.text(st.characters(max_codepoint=255), max_size=12),
    ),
    st.binary(max_size=30),
)
def test_any_input_gets_a_well_formed_response(method, path, headers, body):
    """Guards against input that causes an internal error."""
    interface = InterfaceHarness()
    for prefix in ("/", "/v1/services/check/", "/v1/jobs/"):
        result = call_application(interface.application, method, prefix + path, body, headers)
        assert result.status in (200, 400, 404, 405, 413)


@pytest.fixture
def listener(interface):
    listener = HTTPListener("127.0.0.1", 0, interface.application, 4)
    listener.start()
    yield listener
    listener.close()
    listener.stop()


def send_raw(port, data):
    """Send raw bytes; return what is received, and whether the server closed the connection."""
    with socket.create_connection(("127.0.0.1", port), 5) as conn:
        conn.sendall(data)
        conn.settimeout(0.5)
        received = b""
        try:
            while chunk := conn.recv(65536):
                received += chunk
        except TimeoutError:
            return received, False
        return received, True


def test_chunked_body_is_not_parsed_as_a_request(interface, listener):
    """Guards against request smuggling in the body of a refused request."""
    inner = b"GET /v1/services/check/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
    data = b"POST /no-such-path HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)
    received, _ = send_raw(listener.port, data)
    assert received.startswith(b"HTTP/1.1 404")
    assert received.count(b"HTTP/1.1 ") == 1
    assert interface.requests.seen == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/9.9\r\n\r\n", b"505"),
        (POST_CHUNKED + b"zz\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000 + b"\r\n\r\n", b"413"),
    ],
)
def test_malformed_http_closes_the_connection(listener, data, status):
    """Guards against parsing the rest of malformed data as the next request."""
    received, closed = send_raw(listener.port, data)
    assert received.split()[1] == status
    assert closed


def test_chunked_body_over_the_limit_is_refused(interface, listener):
    """Guards against a body without a length that exhausts the memory."""
    conn = http.client.HTTPConnection("127.0.0.1", listener.port, timeout=5)
    chunk = b"x" * 100_000
    try:
        conn.request(
            "POST", "/v1/services/check/x", (chunk for _ in range(MAX_BODY_BYTES // 100_000 + 2)),
            encode_chunked=True, headers={"Transfer-Encoding": "chunked"},
        )  # fmt: skip
        assert conn.getresponse().status == 413
    except (ConnectionError, http.client.HTTPException):
        # The server may close the connection while the rest of the body is being sent.
        pass
    finally:
        conn.close()
    assert interface.requests.seen == []


def test_leaving_entry_closes_connections_after_their_response(interface, listener):
    """Guards against keep-alive connections that are still open when the process ends."""
    request = b"GET /v1/services/check/x HTTP/1.1\r\nHost: x\r\n\r\n"
    assert send_raw(listener.port, request)[1] is False
    interface.drain.leave()
    received, closed = send_raw(listener.port, request)
    assert received.startswith(b"HTTP/1.1 200")
    assert closed


def test_idle_connections_do_not_occupy_threads(interface, listener):
    """Guards against clients that connect, send nothing and block the entry for all others."""
    idle = [socket.create_connection(("127.0.0.1", listener.port), 5) for _ in range(12)]
    received, _ = send_raw(listener.port, b"GET /v1/services/check/x HTTP/1.1\r\nHost: x\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 200")
    idle[0].sendall(b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert idle[0].recv(4096).startswith(b"HTTP/1.1 200")
    for conn in idle:
        conn.close()


def test_deadline_includes_the_time_spent_waiting_for_a_thread(interface, listener):
    """Guards against a deadline that starts only after the request has waited in the queue."""
    release = threading.Event()
    interface.requests.run = lambda req: release.wait(5) and Answered(200)
    occupying = [socket.create_connection(("127.0.0.1", listener.port), 5) for _ in range(4)]
    request = b"GET /v1/services/check/x HTTP/1.1\r\nHost: x\r\n\r\n"
    for conn in occupying:
        conn.sendall(request)
    time.sleep(0.2)
    seen = []
    with socket.create_connection(("127.0.0.1", listener.port), 5) as waiting:
        waiting.sendall(request)
        # The time counts from when the server has received the request.
        assert wait_until(lambda: listener._server.requests.qsize > 0, timedelta(seconds=5))
        time.sleep(0.3)
        record = seen.append
        interface.requests.run = lambda req: record(req.deadline.remaining_ms()) or Answered(200)
        release.set()
        assert waiting.recv(4096).startswith(b"HTTP/1.1 200")
    assert 0 < seen[0] <= 400
    for conn in occupying:
        conn.close()


@pytest.mark.parametrize("sent_ms", [0, 200, 350, 450, 600, 900])
def test_gateway_answers_what_it_reads_on_an_open_connection_while_it_stops(sent_ms):
    """Guards against a request that is begun shortly before the process ends, and cut off."""
    begun, finished = [], []

    def handle(request):
        begun.append(request)
        time.sleep(0.7)
        finished.append(request)
        return Response(200, b"{}")

    drain = Drain(SystemClock())
    listeners = [HTTPListener("127.0.0.1", 0, Application(handle, drain), 4) for _ in range(3)]
    daemon = GatewayDaemon(
        "g", (), IdleSource(), NoChannels(), drain, *listeners, SystemClock(), timedelta()
    )
    daemon.start()
    with socket.create_connection(("127.0.0.1", listeners[0].port), 5) as conn:
        stopping = threading.Thread(target=daemon.stop)
        stopping.start()
        time.sleep(sent_ms / 1000)
        with contextlib.suppress(ConnectionError):
            conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        stopping.join()
        assert len(finished) == len(begun)
    for listener in listeners[1:]:
        listener.close()
        listener.stop()


class IdleSource:
    """Configuration source without updates."""

    def run(self, stop):
        stop.wait()


class NoChannels:
    """Connections to agents, none of which is open."""

    def close(self):
        pass

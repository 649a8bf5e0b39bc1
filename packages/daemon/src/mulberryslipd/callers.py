"""HTTP interface for callers: service requests and jobs."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol
from urllib.parse import unquote

from mulberryslip.clocks import Clock
from mulberryslip.configs import ConfigView, Template
from mulberryslip.models import TaskClass
from mulberryslip.outcomes import Answered, NotClaimed, NotRun, RequestOutcome
from mulberryslip.retries import Deadline
from mulberryslip.wire.ttypes import JobReply, Outcome

from .requests import ServiceRequest
from .responses import (
    ID_FORMAT,
    ID_PATTERN,
    Application,
    Drain,
    HTTPError,
    HTTPRequest,
    Response,
    end_to_end,
    invalid,
    json_response,
    not_allowed,
    not_found,
    outcome_error,
    rejection_error,
)

MAX_DEADLINE_MS = 600_000
JOB_DEADLINE = timedelta(seconds=5)

_MS = timedelta(milliseconds=1)
_JOB_METHOD_OF_HTTP_METHOD = {"PUT": "submit", "GET": "job_status", "DELETE": "cancel"}


class RequestForwarder(Protocol):
    """Methods of `requests.RequestService` that the interface calls."""

    def run(self, req: ServiceRequest) -> RequestOutcome:
        """Forward one request."""


class JobClient(Protocol):
    """Methods of `services.ShardClient` that the interface calls."""

    def call_job_owner(
        self, method: str, job_id: str, body: bytes, request_id: str, deadline: Deadline
    ) -> JobReply:
        """Call the owner of a job."""


class CallerInterface:
    """Serves the HTTP paths for callers.

    :param requests: forwards requests to services.
    :param jobs: calls the owners of jobs.
    :param config: returns the newest configuration, or None before the first read.
    """

    def __init__(
        self,
        requests: RequestForwarder,
        jobs: JobClient,
        config: Callable[[], ConfigView | None],
        drain: Drain,
        clock: Clock,
    ):
        self._requests = requests
        self._jobs = jobs
        self._config = config
        self._drain = drain
        self._clock = clock

    def application(self) -> Application:
        """Return the WSGI application."""
        return Application(self.handle, self._drain)

    def handle(self, http_request: HTTPRequest) -> Response:
        """Serve one HTTP request.

        :raises HTTPError: for every error response.
        """
        parts = http_request.path.split("/")
        if parts[:3] == ["", "v1", "services"] and len(parts) >= 4:
            return self._forward_request(http_request, parts[3], "/" + "/".join(parts[4:]))
        if parts[:3] == ["", "v1", "jobs"] and len(parts) == 4:
            return self._call_job_owner(http_request, unquote(parts[3]))
        if http_request.path == "/v1/health":
            return self._health(http_request)
        raise not_found(f"no such path: {http_request.path[:200]}")

    def _health(self, http_request: HTTPRequest) -> Response:
        if http_request.method not in ("GET", "HEAD"):
            raise not_allowed(http_request.method, "GET, HEAD")
        if self._drain.leaving:
            raise HTTPError(503, "stopping", "this entry is stopping")
        if self._config() is None:
            raise HTTPError(503, "starting", "this entry has not read the configuration yet")
        return json_response({"status": "ok"})

    def _forward_request(self, http_request: HTTPRequest, name: str, path: str) -> Response:
        template = self._find_service(unquote(name), http_request)
        deadline = self._parse_deadline(http_request, template)
        outcome = self._requests.run(
            ServiceRequest(
                template=template,
                method=http_request.method,
                path=path + (f"?{http_request.query}" if http_request.query else ""),
                headers=http_request.forwarded_headers(),
                body=http_request.body,
                request_id=http_request.request_id,
                caller_chosen=http_request.caller_chosen,
                deadline=deadline,
            )
        )
        return _outcome_response(outcome, http_request.request_id)

    def _find_service(self, name: str, http_request: HTTPRequest) -> Template:
        view = self._config()
        if view is None:
            message = "this entry has not read the configuration yet; nothing was done"
            raise rejection_error(http_request.method, http_request.caller_chosen, message)
        template = view.template(name)
        if template is None or template.task_class is not TaskClass.SERVICE:
            raise not_found(f"no service is named {name[:80]!r}")
        return template

    def _parse_deadline(self, http_request: HTTPRequest, template: Template) -> Deadline:
        text = http_request.header("Request-Deadline-Ms")
        if text is None:
            return Deadline(
                self._clock, template.parameters.deadline_ms * _MS - http_request.queue_time
            )
        # The length is checked first, as converting a long number is slow.
        valid = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_DEADLINE_MS))
        if not valid or not 1 <= int(text) <= MAX_DEADLINE_MS:
            allowed = f"a whole number from 1 to {MAX_DEADLINE_MS}"
            raise invalid("Request-Deadline-Ms", text, allowed)
        return Deadline(self._clock, int(text) * _MS - http_request.queue_time)

    def _call_job_owner(self, http_request: HTTPRequest, job_id: str) -> Response:
        method = _JOB_METHOD_OF_HTTP_METHOD.get(http_request.method)
        if method is None:
            raise not_allowed(http_request.method, ", ".join(_JOB_METHOD_OF_HTTP_METHOD))
        if not ID_PATTERN.fullmatch(job_id):
            raise invalid("job id", job_id, ID_FORMAT)
        body = http_request.body if http_request.method == "PUT" else b""
        if body:
            http_request.check_document()
        deadline = Deadline(self._clock, JOB_DEADLINE)
        reply = self._jobs.call_job_owner(method, job_id, body, http_request.request_id, deadline)
        if reply.outcome != Outcome.OK:
            raise outcome_error(reply.outcome, reply.reason)
        return Response(200, reply.body, {"Content-Type": "application/json"})


def _outcome_response(outcome: RequestOutcome, request_id: str) -> Response:
    if isinstance(outcome, NotRun):
        raise HTTPError(503, "not_run", outcome.reason)
    if isinstance(outcome, NotClaimed):
        raise HTTPError(503, "not_claimed", outcome.reason)
    if not isinstance(outcome, Answered):
        raise HTTPError(504, "outcome_unknown", outcome.reason)
    if not 200 <= outcome.status <= 599:
        reason = f"{outcome.worker_id}: the target answered with status {outcome.status}"
        raise HTTPError(504, "outcome_unknown", reason)
    headers = {name.title(): value for name, value in end_to_end(outcome.headers).items()}
    headers["Request-Id"] = request_id
    return Response(outcome.status, outcome.body, headers)

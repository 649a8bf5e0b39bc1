"""HTTP interface for operators: configuration and system state."""

from collections.abc import Callable, Mapping
from typing import Protocol
from urllib.parse import unquote

from mulberryslip.changes import (
    Change,
    DeleteTemplate,
    ReusedChangeIdError,
    SetAccount,
    SetDataCentre,
    SetTemplate,
    Stale,
    UnknownNameError,
)
from mulberryslip.configs import (
    ConfigView,
    check_name,
    parse_account,
    parse_data_centre,
    parse_template,
)
from mulberryslip.exceptions import ConfigError, StoreError, StoreUnavailableError

from .responses import (
    ID_FORMAT,
    ID_PATTERN,
    Application,
    Call,
    Drain,
    HTTPError,
    Response,
    invalid,
    json_response,
    not_allowed,
    not_found,
)
from .sources import ChangeAccepted, ChangeOutcome, ChangeUnavailable

MAX_REVISION_DIGITS = 18
MAX_OPERATOR_CHARACTERS = 128


class ConfigReader(Protocol):
    """Methods of `sources.ConfigSource` that the interface calls."""

    def refresh(self) -> ConfigView:
        """Read the store and return the newest view."""


class ChangeWriter(Protocol):
    """Methods of `sources.ConfigWriter` that the interface calls."""

    def write(self, change: Change, based_on: int, change_id: str, operator: str) -> ChangeOutcome:
        """Make one change."""


class StatusReports(Protocol):
    """State of the system for operators; all methods return JSON-serialisable values."""

    def workers(self) -> list[dict[str, object]]:
        """Return the known workers."""

    def jobs(self) -> list[dict[str, object]]:
        """Return the jobs of all shards; raises `HTTPError` when a shard is unreachable."""

    def job(self, job_id: str, request_id: str) -> Response:
        """Return the state of one job; raises `HTTPError`."""

    def shards(self) -> list[dict[str, object]]:
        """Return the shards and their owners."""

    def metrics(self) -> dict[str, object]:
        """Return histograms and counters."""

    def explain_job(self, job_id: str, request_id: str) -> list[str]:
        """Return why the tasks of a job wait, run or were moved; raises `HTTPError`."""

    def explain_worker(self, worker_id: str) -> list[str]:
        """Return why a worker receives work or not; raises `HTTPError`."""

    def explain_service(self, name: str) -> list[str]:
        """Return why the latest requests of a service were routed to their workers."""


def _set_template(name: str, call: Call) -> Change:
    return SetTemplate(parse_template(name, call.json_object()))


def _set_account(name: str, call: Call) -> Change:
    return SetAccount(name, parse_account(name, call.json_object()))


def _set_data_centre(name: str, call: Call) -> Change:
    return SetDataCentre(name, parse_data_centre(name, call.json_object()))


def _delete_template(name: str, call: Call) -> Change:
    return DeleteTemplate(check_name("template", name))


_CHANGE_PARSERS: Mapping[str, Mapping[str, Callable[[str, Call], Change]]] = {
    "templates": {"PUT": _set_template, "DELETE": _delete_template},
    "accounts": {"PUT": _set_account},
    "data-centres": {"PUT": _set_data_centre},
}


class Operators:
    """Serves the HTTP paths for operators.

    :param config: reads the configuration.
    :param writer: writes configuration changes.
    :param reports: provides the state of the system.
    """

    def __init__(
        self, config: ConfigReader, writer: ChangeWriter, reports: StatusReports, drain: Drain
    ):
        self._config = config
        self._writer = writer
        self._reports = reports
        self._drain = drain
        self._routes: Mapping[str, Callable[[Call], Response]] = {
            "/v1/config": self._get_config,
            "/v1/workers": lambda call: json_response({"workers": reports.workers()}),
            "/v1/jobs": lambda call: json_response({"jobs": reports.jobs()}),
            "/v1/shards": lambda call: json_response({"shards": reports.shards()}),
            "/v1/metrics": lambda call: json_response(reports.metrics()),
            "/v1/health": lambda call: json_response({"status": "ok"}),
        }

    def application(self) -> Application:
        """Return the WSGI application."""
        return Application(self.handle, self._drain)

    def handle(self, call: Call) -> Response:
        """Serve one HTTP request.

        :raises HTTPError: for every error response.
        """
        parts = [unquote(part) for part in call.path.split("/")]
        if len(parts) == 4 and parts[:2] == ["", "v1"] and parts[2] in _CHANGE_PARSERS:
            return self._change(call, _CHANGE_PARSERS[parts[2]], parts[3])
        route = self._find_route(call, parts)
        if route is None:
            raise not_found(f"no such path: {call.path[:200]}")
        if call.method not in ("GET", "HEAD"):
            raise not_allowed(call.method, "GET, HEAD")
        return route(call)

    def _find_route(self, call: Call, parts: list[str]) -> Callable[[Call], Response] | None:
        if parts[:3] == ["", "v1", "jobs"] and len(parts) == 4:
            return lambda _: self._reports.job(_parse_id("job id", parts[3]), call.request_id)
        if parts[:3] == ["", "v1", "explain"] and len(parts) == 5:
            return self._find_explanation(parts[3], parts[4])
        return self._routes.get(call.path)

    def _find_explanation(self, kind: str, name: str) -> Callable[[Call], Response] | None:
        if kind == "job":
            return lambda call: json_response(
                {"reasons": self._reports.explain_job(_parse_id("job id", name), call.request_id)}
            )
        if kind == "worker":
            return lambda call: json_response({"reasons": self._reports.explain_worker(name)})
        if kind == "service":
            return lambda call: json_response({"reasons": self._reports.explain_service(name)})
        return None

    def _get_config(self, call: Call) -> Response:
        """Return the document read from the store, so that no entry returns an older revision."""
        try:
            view = self._config.refresh()
        except StoreUnavailableError as exc:
            raise HTTPError(503, "unavailable", f"the store does not answer: {exc}") from exc
        except (StoreError, ConfigError) as exc:
            raise HTTPError(500, "internal", f"the stored document: {exc}") from exc
        etag = {"ETag": f'"{view.revision}"'}
        if call.header("If-None-Match") == etag["ETag"]:
            return Response(304, b"", etag)
        return Response(200, view.to_json(), {"Content-Type": "application/json", **etag})

    def _change(
        self, call: Call, parsers: Mapping[str, Callable[[str, Call], Change]], name: str
    ) -> Response:
        parse = parsers.get(call.method)
        if parse is None:
            raise not_allowed(call.method, ", ".join(parsers))
        based_on = _parse_revision(call)
        change_id = _parse_change_id(call)
        operator = _parse_operator(call)
        try:
            change = parse(name, call)
            outcome = self._writer.write(change, based_on, change_id, operator)
        except UnknownNameError as exc:
            raise HTTPError(404, "not_found", str(exc)) from exc
        except ReusedChangeIdError as exc:
            raise HTTPError(409, "conflict", str(exc)) from exc
        except ConfigError as exc:
            raise HTTPError(400, "invalid", str(exc)) from exc
        except StoreError as exc:
            raise HTTPError(503, "unavailable", f"the change was not made: {exc}") from exc
        return _change_response(outcome, based_on)


def _change_response(outcome: ChangeOutcome, based_on: int) -> Response:
    if isinstance(outcome, ChangeAccepted):
        document = {"revision": outcome.revision, "resent": outcome.resent}
        return json_response(document, 200, {"ETag": f'"{outcome.revision}"'})
    if isinstance(outcome, Stale):
        message = (
            f"the change was not made: it is based on revision {based_on}, and the configuration "
            f"is at revision {outcome.revision}: " + "; ".join(outcome.changed)
        )
        details = {"revision": outcome.revision, "changed": list(outcome.changed)}
        raise HTTPError(409, "conflict", message, details)
    if isinstance(outcome, ChangeUnavailable):
        message = f"the change was not made: the store does not answer: {outcome.reason}"
        raise HTTPError(503, "unavailable", message)
    message = (
        f"the change may have been made: {outcome.reason}; it is safe to send it again with the "
        "same Change-Id"
    )
    raise HTTPError(504, "outcome_unknown", message)


def _parse_revision(call: Call) -> int:
    text = call.header("If-Revision")
    allowed = "the revision that the change is based on, as in the ETag of /v1/config"
    if text is None:
        raise HTTPError(428, "revision_required", f"If-Revision is missing; allowed: {allowed}")
    digits = text[1:-1] if len(text) > 2 and text[0] == text[-1] == '"' else text
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_REVISION_DIGITS):
        raise invalid("If-Revision", text, allowed)
    return int(digits)


def _parse_change_id(call: Call) -> str:
    text = call.header("Change-Id")
    if text is None:
        return ""
    return _parse_id("Change-Id", text)


def _parse_operator(call: Call) -> str:
    text = call.header("Operator") or ""
    if len(text) > MAX_OPERATOR_CHARACTERS or not text.isprintable():
        allowed = f"at most {MAX_OPERATOR_CHARACTERS} printable characters"
        raise invalid("Operator", text, allowed)
    return text


def _parse_id(what: str, text: str) -> str:
    if not ID_PATTERN.fullmatch(text):
        raise invalid(what, text, ID_FORMAT)
    return text

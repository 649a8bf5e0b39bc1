"""The platform's worker runtime: interface and HTTP adapter.

HTTP/JSON interface with one base URL per VM; durations are in milliseconds:

- `POST {base}/sessions` `{"ttl_ms"}` returns `201 {"session_id"}`.
- `PUT {base}/sessions/{id}` returns 200, or 410 when the session has expired.
- `POST {base}/tasks` `{"session_id", "task_id", "account", "template", "input", "checkpoint",
  "resources", "lease_ttl_ms"}` returns 201; 410 `session_expired`; 409 `task_known` or
  `checkpoint_consumed`; 400 `invalid`.
- `PUT {base}/leases` `{"session_id", "task_ids", "ttl_ms"}` returns 200; 410 `session_expired`.
- `GET {base}/tasks` returns `{"tasks": [{"task_id", "state", "account", "template", "checkpoint",
  "result", "reason", "usage", "resources", "throttle_permille"}]}`.
- `POST {base}/tasks/{id}/checkpoint` returns `{"checkpoint"}`; 409 `not_running`.
- `POST {base}/tasks/{id}/throttle` `{"permille"}` and `POST {base}/tasks/{id}/stop` return 200.
- `DELETE {base}/tasks/{id}` returns 200; 409 `running`.

Task ids are percent-encoded in paths. Errors are `{"error": {"code", "message"}}`.
"""

import enum
import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol
from urllib.parse import quote

import attrs
import urllib3

from . import records
from .events import Event, log
from .exceptions import InvalidMessageError, RuntimeAdapterError, RuntimeRefusedError
from .models import Resources
from .steps import MAX_AMOUNT
from .transitions import MAX_CHECKPOINT_CHARS, MAX_REASON_CHARS

CALL_TIMEOUT = timedelta(seconds=1)
MAX_CONNECTIONS = 4
MILLISECOND = timedelta(milliseconds=1)

_RESOURCE_NAMES = attrs.fields_dict(Resources).keys()


class RuntimeState(enum.Enum):
    """State of a task in the runtime; `LAPSED` means stopped because its lease expired."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class RuntimeSpec:
    """Parameters with which the runtime starts a task.

    :param task_id: `job_id/index/attempt`.
    :param account: client account.
    :param template: template name.
    :param input: JSON text.
    :param checkpoint: handle of the checkpoint to resume from, or empty.
    :param resources: resources allocated to the task.
    :param lease_ttl: the runtime stops the task unless its lease is renewed within this time.
    """

    task_id: str
    account: str
    template: str
    input: str
    checkpoint: str
    resources: Resources
    lease_ttl: timedelta


@attrs.frozen
class RuntimeTask:
    """Task as listed by the runtime.

    :param task_id: `job_id/index/attempt`.
    :param state: state in the runtime.
    :param checkpoint: handle of the newest checkpoint, or empty.
    :param result: JSON text of a finished task, or empty.
    :param reason: why it failed or was stopped, or empty.
    :param usage: measured resource usage, which lags behind the actual usage.
    :param throttle_permille: fraction of its processor time that the task may use, in permille;
        1000 is not throttled.
    :param template: template name given at the start.
    :param resources: resources allocated at the start.
    """

    task_id: str
    state: RuntimeState
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    usage: Resources = Resources()
    throttle_permille: int = 1000
    template: str = ""
    resources: Resources = Resources()


class Runtime(Protocol):
    """Worker runtime of one VM.

    Every method raises `RuntimeAdapterError` when no valid response arrived.
    """

    def open_session(self, ttl: timedelta) -> str:
        """Open a session, which starts and lease renewals require.

        :param ttl: time after which it expires unless renewed.
        :returns: id of the session.
        """

    def renew_session(self, session_id: str) -> bool:
        """Extend a session by its TTL.

        :returns: False when it has expired; a new one must be opened.
        """

    def start(self, session_id: str, spec: RuntimeSpec) -> None:
        """Start a task.

        :raises RuntimeRefusedError: the session has expired, the task id is already known, the
            checkpoint was already consumed, or the spec is invalid.
        """

    def renew(self, session_id: str, task_ids: list[str], ttl: timedelta) -> None:
        """Renew the leases of running tasks; ended and unknown tasks are ignored.

        :param ttl: time after which the leases expire unless renewed.
        :raises RuntimeRefusedError: the session has expired.
        """

    def tasks(self) -> list[RuntimeTask]:
        """Return all tasks of the VM, including ended ones until `forget` is called."""

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress.

        :returns: opaque handle of at most 256 bytes.
        :raises RuntimeRefusedError: the task is not running.
        """

    def throttle(self, task_id: str, permille: int) -> None:
        """Limit the processor time of a task.

        :param permille: fraction of its processor time in permille; 1000 lifts the limit.
        """

    def stop(self, task_id: str) -> None:
        """Stop a task; no-op when it has already ended."""

    def forget(self, task_id: str) -> None:
        """Delete the record of an ended task; an unknown task is not an error."""


class HTTPRuntime:
    """Client of the runtime's HTTP interface.

    :param base_url: base URL of this VM's runtime.
    :param timeout: time limit for each call.
    """

    def __init__(self, base_url: str, timeout: timedelta = CALL_TIMEOUT):
        self._base = base_url.rstrip("/")
        self._http = urllib3.PoolManager(
            num_pools=1,
            maxsize=MAX_CONNECTIONS,
            block=True,
            retries=False,
            timeout=urllib3.Timeout(total=timeout.total_seconds()),
        )
        self._faults: list[str] = []

    def open_session(self, ttl: timedelta) -> str:
        """Open a session."""
        document = self._call("POST", "/sessions", {"ttl_ms": ttl // MILLISECOND})
        return _required_string(document, "session_id")

    def renew_session(self, session_id: str) -> bool:
        """Renew a session, or return False when it has expired."""
        try:
            self._call("PUT", f"/sessions/{quote(session_id, safe='')}", {})
        except RuntimeRefusedError as exc:
            if exc.code == "session_expired":
                return False
            raise
        return True

    def start(self, session_id: str, spec: RuntimeSpec) -> None:
        """Start a task within a session."""
        body = {
            "session_id": session_id,
            "task_id": spec.task_id,
            "account": spec.account,
            "template": spec.template,
            "input": spec.input,
            "checkpoint": spec.checkpoint,
            "resources": attrs.asdict(spec.resources),
            "lease_ttl_ms": spec.lease_ttl // MILLISECOND,
        }
        self._call("POST", "/tasks", body)

    def renew(self, session_id: str, task_ids: list[str], ttl: timedelta) -> None:
        """Renew task leases within a session."""
        body = {"session_id": session_id, "task_ids": task_ids, "ttl_ms": ttl // MILLISECOND}
        self._call("PUT", "/leases", body)

    def tasks(self) -> list[RuntimeTask]:
        """Return all tasks of the VM.

        Invalid values of a task are replaced by their defaults.
        """
        document = self._call("GET", "/tasks")
        faults: list[str] = []
        try:
            tasks = [_task_from_json(item, faults) for item in document["tasks"]]
        except (KeyError, TypeError, ValueError) as exc:
            raise RuntimeAdapterError(f"invalid task list from the runtime: {exc!r}") from exc
        self._log_faults(faults)
        return [task for task in tasks if task is not None]

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress."""
        path = f"{_task_path(task_id)}/checkpoint"
        handle = _required_string(self._call("POST", path, {}), "checkpoint")
        if not _is_handle(handle):
            raise RuntimeAdapterError(f"{path}: a handle of {len(handle)} characters")
        return handle

    def throttle(self, task_id: str, permille: int) -> None:
        """Limit a task's processor time."""
        self._call("POST", f"{_task_path(task_id)}/throttle", {"permille": permille})

    def stop(self, task_id: str) -> None:
        """Stop a task."""
        self._call("POST", f"{_task_path(task_id)}/stop", {})

    def forget(self, task_id: str) -> None:
        """Delete the record of an ended task."""
        self._call("DELETE", _task_path(task_id))

    def _log_faults(self, faults: list[str]) -> None:
        """Log the faults of a task list that the last one did not have."""
        for fault in faults:
            if fault not in self._faults:
                log(Event.MESSAGE_INVALID, what="task list of the runtime", reason=fault)
        self._faults = faults

    def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        try:
            resp = self._http.request(method, self._base + path, body=data, headers=headers)
            document = records.parse_object(resp.data)
        except (urllib3.exceptions.HTTPError, InvalidMessageError) as exc:
            raise RuntimeAdapterError(f"{method} {path}: {exc}") from exc
        if resp.status < 300:
            return document
        raise _error_from_response(f"{method} {path}", resp.status, document)


def _error_from_response(call: str, status: int, document: dict[str, Any]) -> RuntimeAdapterError:
    error = document.get("error")
    if status >= 500 or not isinstance(error, dict):
        return RuntimeAdapterError(f"{call}: status {status}")
    message = f"{call}: {error.get('message', '')}"
    return RuntimeRefusedError(str(error.get("code", "")), message)


def _task_path(task_id: str) -> str:
    return f"/tasks/{quote(task_id, safe='')}"


def _required_string(document: dict[str, Any], key: str) -> str:
    value = document.get(key)
    if not _is_text(value) or not value:
        raise RuntimeAdapterError(f"response from the runtime has no {key}")
    return value


def _task_from_json(item: Any, faults: list[str]) -> RuntimeTask | None:
    """Decode a row of the task list; None if it names no task.

    An unknown state of a task makes the list invalid, since the task may be running.

    :param faults: receives what is wrong in the row.
    """
    task_id = item.get("task_id") if isinstance(item, dict) else None
    if not _is_text(task_id):
        faults.append(f"{item!r:.100} names no task")
        return None

    def value(name: str, is_valid: Callable[[Any], bool], default: Any) -> Any:
        if is_valid(item.get(name)):
            return item[name]
        faults.append(f"{task_id}: {name} {item.get(name)!r:.60} is not allowed")
        return default

    return RuntimeTask(
        task_id=task_id,
        state=RuntimeState(item["state"]),
        checkpoint=value("checkpoint", _is_handle, ""),
        result=value("result", _is_text, ""),
        reason=value("reason", _is_text, "")[:MAX_REASON_CHARS],
        usage=Resources(**value("usage", _is_resources, {})),
        throttle_permille=value("throttle_permille", _is_amount, 1000),
        template=value("template", _is_text, ""),
        resources=Resources(**value("resources", _is_resources, {})),
    )


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and records.is_unicode(value)


def _is_handle(value: Any) -> bool:
    return _is_text(value) and len(value) <= MAX_CHECKPOINT_CHARS


def _is_amount(value: Any) -> bool:
    return records.is_number(value) and value <= MAX_AMOUNT


def _is_resources(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() <= _RESOURCE_NAMES
        and all(map(_is_amount, value.values()))
    )

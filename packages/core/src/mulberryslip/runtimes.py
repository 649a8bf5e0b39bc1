"""The platform's worker runtime: interface and HTTP adapter.

HTTP/JSON form, one base URL for each VM; durations are in milliseconds:

- `POST {base}/sessions` `{"ttl_ms"}` answers `201 {"session_id"}`.
- `PUT {base}/sessions/{id}` answers 200, or 410 when the session has expired.
- `POST {base}/tasks` `{"session_id", "task_id", "account", "template", "input", "checkpoint",
  "resources", "lease_ttl_ms"}` answers 201; 410 `session_expired`; 409 `task_known` or
  `checkpoint_consumed`; 400 `invalid`.
- `PUT {base}/leases` `{"session_id", "task_ids", "ttl_ms"}` answers 200; 410 `session_expired`.
- `GET {base}/tasks` answers `{"tasks": [{"task_id", "state", "account", "template", "checkpoint",
  "result", "reason", "usage", "resources", "throttle_permille"}]}`.
- `POST {base}/tasks/{id}/checkpoint` answers `{"checkpoint"}`; 409 `not_running`.
- `POST {base}/tasks/{id}/throttle` `{"permille"}` and `POST {base}/tasks/{id}/stop` answer 200.
- `DELETE {base}/tasks/{id}` answers 200; 409 `running`.

Task ids are percent-encoded in paths. Errors are `{"error": {"code", "message"}}`.
"""

import enum
import json
from datetime import timedelta
from typing import Any, Protocol
from urllib.parse import quote

import attrs
import urllib3

from .exceptions import RuntimeAdapterError, RuntimeRefusedError
from .models import Resources

CALL_TIMEOUT = timedelta(seconds=1)
MAX_CONNECTIONS = 4
MILLISECOND = timedelta(milliseconds=1)


class RuntimeState(enum.Enum):
    """State of a task in the runtime; `LAPSED` is stopped because its lease expired."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class RuntimeSpec:
    """What the runtime needs to start a task.

    :param task_id: `job_id/index/attempt`.
    :param account: client account.
    :param template: template name.
    :param input: JSON text.
    :param checkpoint: handle to resume from, or empty.
    :param resources: resources granted.
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
    """A task as the runtime lists it.

    :param task_id: `job_id/index/attempt`.
    :param state: state in the runtime.
    :param checkpoint: newest checkpoint handle, or empty.
    :param result: JSON text of a finished task, or empty.
    :param reason: why it failed or was stopped, or empty.
    :param usage: resources used, with a lag.
    :param throttle_permille: share of its processor time; 1000 is not throttled.
    :param template: template name from the start.
    :param resources: resources granted at the start.
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
    """Worker runtime of one VM. Every method raises `RuntimeAdapterError` when no answer came."""

    def open_session(self, ttl: timedelta) -> str:
        """Open a session; starts and lease renewals need a live one."""

    def renew_session(self, session_id: str) -> bool:
        """Renew a session for its time to live.

        :returns: False when it has expired; a new one must be opened.
        """

    def start(self, session_id: str, spec: RuntimeSpec) -> None:
        """Start a task.

        :raises RuntimeRefusedError: session expired, task id known, or checkpoint consumed.
        """

    def renew(self, session_id: str, task_ids: list[str], ttl: timedelta) -> None:
        """Renew the leases of running tasks; ended and unknown ones are passed over.

        :raises RuntimeRefusedError: the session has expired.
        """

    def tasks(self) -> list[RuntimeTask]:
        """Return all tasks of the VM, ended ones included until they are forgotten."""

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress.

        :returns: opaque handle of at most 256 bytes.
        :raises RuntimeRefusedError: the task is not running.
        """

    def throttle(self, task_id: str, permille: int) -> None:
        """Limit a task to a share of its processor time; 1000 lifts the limit."""

    def stop(self, task_id: str) -> None:
        """Stop a task; nothing changes when it has ended already."""

    def forget(self, task_id: str) -> None:
        """Drop the record of an ended task; an unknown one is accepted."""


class HTTPRuntime:
    """Adapter for the runtime's HTTP interface.

    :param base_url: base URL of this VM.
    :param timeout: limit for each call.
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

    def open_session(self, ttl: timedelta) -> str:
        """Open a session."""
        answer = self._call("POST", "/sessions", {"ttl_ms": ttl // MILLISECOND})
        return _text(answer, "session_id")

    def renew_session(self, session_id: str) -> bool:
        """Renew a session; False when it has expired."""
        try:
            self._call("PUT", f"/sessions/{quote(session_id, safe='')}", {})
        except RuntimeRefusedError as exc:
            if exc.code == "session_expired":
                return False
            raise
        return True

    def start(self, session_id: str, spec: RuntimeSpec) -> None:
        """Start a task under a session."""
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
        """Renew task leases under a session."""
        body = {"session_id": session_id, "task_ids": task_ids, "ttl_ms": ttl // MILLISECOND}
        self._call("PUT", "/leases", body)

    def tasks(self) -> list[RuntimeTask]:
        """Return all tasks of the VM."""
        answer = self._call("GET", "/tasks")
        try:
            return [_runtime_task(item) for item in answer["tasks"]]
        except (KeyError, TypeError, ValueError) as exc:
            raise RuntimeAdapterError(f"the runtime's task list is damaged: {exc!r}") from exc

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress."""
        return _text(self._call("POST", f"{_path(task_id)}/checkpoint", {}), "checkpoint")

    def throttle(self, task_id: str, permille: int) -> None:
        """Limit a task's processor time."""
        self._call("POST", f"{_path(task_id)}/throttle", {"permille": permille})

    def stop(self, task_id: str) -> None:
        """Stop a task."""
        self._call("POST", f"{_path(task_id)}/stop", {})

    def forget(self, task_id: str) -> None:
        """Drop the record of an ended task."""
        self._call("DELETE", _path(task_id))

    def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        try:
            resp = self._http.request(method, self._base + path, body=data, headers=headers)
            answer = json.loads(resp.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise RuntimeAdapterError(f"{method} {path}: {exc}") from exc
        if not isinstance(answer, dict):
            raise RuntimeAdapterError(f"{method} {path}: the answer is not a JSON object")
        if resp.status < 300:
            return answer
        raise _error(f"{method} {path}", resp.status, answer)


def _error(call: str, status: int, answer: dict[str, Any]) -> RuntimeAdapterError:
    error = answer.get("error")
    if status >= 500 or not isinstance(error, dict):
        return RuntimeAdapterError(f"{call}: status {status}")
    message = f"{call}: {error.get('message', '')}"
    return RuntimeRefusedError(str(error.get("code", "")), message)


def _path(task_id: str) -> str:
    return f"/tasks/{quote(task_id, safe='')}"


def _text(answer: dict[str, Any], key: str) -> str:
    value = answer.get(key)
    if not isinstance(value, str) or not value:
        raise RuntimeAdapterError(f"the runtime's answer has no {key}")
    return value


def _runtime_task(item: dict[str, Any]) -> RuntimeTask:
    return RuntimeTask(
        task_id=item["task_id"],
        state=RuntimeState(item["state"]),
        checkpoint=item["checkpoint"],
        result=item["result"],
        reason=item["reason"],
        usage=Resources(**item["usage"]),
        throttle_permille=item["throttle_permille"],
        template=item["template"],
        resources=Resources(**item["resources"]),
    )

"""In-memory fake of the platform's worker runtime.

Serves all VMs of a test under `/workers/{worker_id}` with the paths described in
`mulberryslip.runtimes`, and for tests:

- `GET /history?after=N` returns `{"entries": [...]}`: every event with its number, its time in
  seconds, worker, task id, checkpoint, items done and resources.
- `POST /admin/workers/{worker_id}/kill` discards the VM with its tasks and sessions; its calls
  then get the status 503 until `POST /admin/workers/{worker_id}/restore`.

A task's progress is computed from the elapsed time; it has no thread of its own. The input is
`{"items": [{"id", "amount"}], "item_ms", "usage", "fail_after_items", "fail_on_workers",
"never_finishes"}`, and the result is `{"items", "total", "ids_crc32"}`.

Run it with `python -m mulberryslip_testing.runtimes --port N`.
"""

import json
import threading
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import attrs
from absl import app, flags
from cheroot import wsgi

DEFAULT_USAGE_LAG_S = 0.5
DEFAULT_ITEM_MS = 10
FULL_PERMILLE = 1000
SWEEP_INTERVAL_S = 0.05
SERVER_THREADS = 32
STATUS_TEXTS = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    503: "503 Service Unavailable",
}


class _ErrorResponse(Exception):  # noqa: N818 - an HTTP response, not a failure of the fake
    def __init__(self, status: int, code: str, message: str = ""):
        super().__init__(message or code)
        self.status = status
        self.code = code


@attrs.define
class _Task:
    """A simulated task; `items_done` is its progress as of `updated_at`."""

    task_id: str
    account: str
    template: str
    input: dict[str, Any]
    resources: dict[str, int]
    started: float
    updated_at: float
    items_done: float
    lease_expires_at: float
    state: str = "running"
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    throttle_permille: int = FULL_PERMILLE

    @property
    def items(self) -> list[dict[str, Any]]:
        return self.input.get("items", [])

    def items_per_second(self) -> float:
        item_s = max(self.input.get("item_ms", DEFAULT_ITEM_MS), 0.001) / 1000
        return self.throttle_permille / FULL_PERMILLE / item_s


@attrs.define
class _Worker:
    """Sessions and tasks of one VM."""

    sessions: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    tasks: dict[str, _Task] = attrs.field(factory=dict)
    killed: bool = False


class RuntimeStandIn:
    """State of all simulated VMs.

    :param usage_lag_s: time from the start of a task until its usage is reported, in seconds.
    :param now: clock that returns seconds.
    """

    def __init__(
        self, usage_lag_s: float = DEFAULT_USAGE_LAG_S, now: Callable[[], float] = time.time
    ):
        self._usage_lag_s = usage_lag_s
        self._now = now
        self._lock = threading.Lock()
        self._workers: dict[str, _Worker] = {}
        self._checkpoints: dict[str, tuple[str, int]] = {}
        self._consumed_checkpoints: set[str] = set()
        self._history: list[dict[str, Any]] = []
        self._id_counter = 0

    def handle(self, method: str, path: str, query: str, body: bytes) -> tuple[int, Any]:
        """Answer one HTTP request.

        :returns: status and JSON value.
        """
        parts = [unquote(part) for part in path.strip("/").split("/")]
        try:
            data = json.loads(body) if body else {}
            with self._lock:
                self._advance_all()
                return self._dispatch(method, parts, query, data)
        except _ErrorResponse as exc:
            return exc.status, {"error": {"code": exc.code, "message": str(exc)}}
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return 400, {"error": {"code": "invalid", "message": repr(exc)}}

    def sweep(self) -> None:
        """Record the tasks that have ended by now."""
        with self._lock:
            self._advance_all()

    def history(self, after: int = 0) -> list[dict[str, Any]]:
        """Return the events whose number is above `after`."""
        self.sweep()
        with self._lock:
            return self._history[after:]

    def _dispatch(self, method: str, parts: list[str], query: str, data: Any) -> tuple[int, Any]:
        match (method, *parts):
            case ("GET", "history"):
                after = int(parse_qs(query).get("after", ["0"])[0])
                return 200, {"entries": self._history[after:]}
            case ("POST", "admin", "workers", worker_id, "kill"):
                return self._kill_vm(worker_id)
            case ("POST", "admin", "workers", worker_id, "restore"):
                self._workers[worker_id] = _Worker()
                return 200, {}
            case (_, "workers", worker_id, *rest):
                worker = self._workers.setdefault(worker_id, _Worker())
                if worker.killed:
                    raise _ErrorResponse(503, "killed")
                return self._dispatch_worker(method, worker_id, worker, rest, data)
        raise _ErrorResponse(404, "not_found")

    def _dispatch_worker(
        self, method: str, worker_id: str, worker: _Worker, parts: list[str], data: Any
    ) -> tuple[int, Any]:
        match (method, *parts):
            case ("POST", "sessions"):
                return self._open_session(worker, data)
            case ("PUT", "sessions", session_id):
                return self._renew_session(worker, session_id)
            case ("POST", "tasks"):
                return self._start_task(worker_id, worker, data)
            case ("PUT", "leases"):
                return self._renew_leases(worker, data)
            case ("GET", "tasks"):
                return 200, {"tasks": [self._task_to_json(task) for task in worker.tasks.values()]}
            case ("POST", "tasks", task_id, "checkpoint"):
                return self._checkpoint_task(worker_id, _find_task(worker, task_id))
            case ("POST", "tasks", task_id, "throttle"):
                return self._throttle_task(worker_id, _find_task(worker, task_id), data)
            case ("POST", "tasks", task_id, "stop"):
                return self._stop_task(worker_id, _find_task(worker, task_id))
            case ("DELETE", "tasks", task_id):
                return self._delete_task(worker, task_id)
        raise _ErrorResponse(404, "not_found")

    def _open_session(self, worker: _Worker, data: Any) -> tuple[int, Any]:
        ttl_s = data["ttl_ms"] / 1000
        session_id = self._next_id("s")
        worker.sessions[session_id] = (self._now() + ttl_s, ttl_s)
        return 201, {"session_id": session_id}

    def _renew_session(self, worker: _Worker, session_id: str) -> tuple[int, Any]:
        self._check_session(worker, session_id)
        ttl_s = worker.sessions[session_id][1]
        worker.sessions[session_id] = (self._now() + ttl_s, ttl_s)
        return 200, {}

    def _check_session(self, worker: _Worker, session_id: str) -> None:
        expires, _ = worker.sessions.get(session_id, (0.0, 0.0))
        if expires <= self._now():
            worker.sessions.pop(session_id, None)
            raise _ErrorResponse(410, "session_expired")

    def _start_task(self, worker_id: str, worker: _Worker, data: Any) -> tuple[int, Any]:
        self._check_session(worker, data["session_id"])
        task_id = data["task_id"]
        if task_id in worker.tasks:
            raise _ErrorResponse(409, "task_known")
        task_input = json.loads(data["input"])
        if not isinstance(task_input, dict):
            raise _ErrorResponse(400, "invalid", "the input is not a JSON object")
        items_done = self._consume_checkpoint(data["checkpoint"], task_id)
        now = self._now()
        task = _Task(
            task_id=task_id,
            account=data["account"],
            template=data["template"],
            input=task_input,
            resources=data["resources"],
            started=now,
            updated_at=now,
            items_done=items_done,
            lease_expires_at=now + data["lease_ttl_ms"] / 1000,
        )
        worker.tasks[task_id] = task
        self._record_event("start", worker_id, task, data["checkpoint"], now)
        return 201, {}

    def _consume_checkpoint(self, handle: str, task_id: str) -> int:
        if not handle:
            return 0
        if handle in self._consumed_checkpoints:
            raise _ErrorResponse(409, "checkpoint_consumed")
        checkpoint_task_id, items_done = self._checkpoints.get(handle, ("", 0))
        if checkpoint_task_id.split("/")[:2] != task_id.split("/")[:2]:
            raise _ErrorResponse(409, "checkpoint_unknown")
        self._consumed_checkpoints.add(handle)
        return items_done

    def _renew_leases(self, worker: _Worker, data: Any) -> tuple[int, Any]:
        self._check_session(worker, data["session_id"])
        expires_at = self._now() + data["ttl_ms"] / 1000
        for task_id in data["task_ids"]:
            task = worker.tasks.get(task_id)
            if task is not None and task.state == "running":
                task.lease_expires_at = expires_at
        return 200, {}

    def _checkpoint_task(self, worker_id: str, task: _Task) -> tuple[int, Any]:
        if task.state != "running":
            raise _ErrorResponse(409, "not_running")
        handle = self._next_id("c")
        self._checkpoints[handle] = (task.task_id, int(task.items_done))
        task.checkpoint = handle
        self._record_event("checkpoint", worker_id, task, handle, self._now())
        return 200, {"checkpoint": handle}

    def _throttle_task(self, worker_id: str, task: _Task, data: Any) -> tuple[int, Any]:
        task.throttle_permille = max(0, min(FULL_PERMILLE, int(data["permille"])))
        self._record_event("throttle", worker_id, task, "", self._now())
        return 200, {}

    def _stop_task(self, worker_id: str, task: _Task) -> tuple[int, Any]:
        if task.state == "running":
            self._end_task(worker_id, task, "stopped", "stopped", self._now())
        return 200, {}

    def _delete_task(self, worker: _Worker, task_id: str) -> tuple[int, Any]:
        task = worker.tasks.get(task_id)
        if task is not None and task.state == "running":
            raise _ErrorResponse(409, "running")
        worker.tasks.pop(task_id, None)
        return 200, {}

    def _kill_vm(self, worker_id: str) -> tuple[int, Any]:
        worker = self._workers.setdefault(worker_id, _Worker())
        for task in worker.tasks.values():
            if task.state == "running":
                self._end_task(worker_id, task, "stopped", "VM killed", self._now())
        self._workers[worker_id] = _Worker(killed=True)
        return 200, {}

    def _advance_all(self) -> None:
        now = self._now()
        for worker_id, worker in self._workers.items():
            for task in worker.tasks.values():
                if task.state == "running":
                    self._advance_task(worker_id, task, now)

    def _advance_task(self, worker_id: str, task: _Task, now: float) -> None:
        """Advance a running task to the current time, or to its end if that came first."""
        items_per_s = task.items_per_second()
        item_limit, state, reason = _end_condition(worker_id, task)
        due_at = (
            task.updated_at + max(0.0, item_limit - task.items_done) / items_per_s
            if items_per_s
            else float("inf")
        )
        advanced_to = min(now, task.lease_expires_at, due_at)
        task.items_done = min(
            item_limit, task.items_done + max(0.0, advanced_to - task.updated_at) * items_per_s
        )
        task.updated_at = max(task.updated_at, advanced_to)
        if state and due_at <= min(now, task.lease_expires_at):
            task.items_done = item_limit
            self._end_task(worker_id, task, state, reason, due_at)
        elif task.lease_expires_at <= now:
            self._end_task(worker_id, task, "lapsed", "lease lapsed", task.lease_expires_at)

    def _end_task(self, worker_id: str, task: _Task, state: str, reason: str, at_s: float) -> None:
        task.state = state
        task.reason = "" if state == "finished" else reason
        task.result = _result(task) if state == "finished" else ""
        self._record_event(state, worker_id, task, task.checkpoint, at_s)

    def _record_event(
        self, event: str, worker_id: str, task: _Task, handle: str, at_s: float
    ) -> None:
        self._history.append(
            {
                "number": len(self._history) + 1,
                "at": at_s,
                "event": event,
                "worker": worker_id,
                "task_id": task.task_id,
                "checkpoint": handle,
                "items_done": int(task.items_done),
                "resources": task.resources,
                "permille": task.throttle_permille,
            }
        )

    def _task_to_json(self, task: _Task) -> dict[str, Any]:
        return {
            "task_id": task.task_id,
            "state": task.state,
            "account": task.account,
            "template": task.template,
            "checkpoint": task.checkpoint,
            "result": task.result,
            "reason": task.reason,
            "usage": self._usage(task),
            "resources": task.resources,
            "throttle_permille": task.throttle_permille,
        }

    def _usage(self, task: _Task) -> dict[str, int]:
        is_reported = self._now() - task.started >= self._usage_lag_s
        if not is_reported or task.state != "running":
            return {}
        return task.resources | task.input.get("usage", {})

    def _next_id(self, prefix: str) -> str:
        self._id_counter += 1
        return f"{prefix}-{self._id_counter}"


def _find_task(worker: _Worker, task_id: str) -> _Task:
    task = worker.tasks.get(task_id)
    if task is None:
        raise _ErrorResponse(404, "task_unknown")
    return task


def _end_condition(worker_id: str, task: _Task) -> tuple[float, str, str]:
    """Return the item count at which a task ends, its final state and the reason.

    An empty state means that the task never ends.
    """
    count = len(task.items)
    if worker_id in task.input.get("fail_on_workers", []):
        return task.items_done, "failed", "fails on this worker"
    fail_after = task.input.get("fail_after_items")
    if fail_after is not None and fail_after <= count:
        return float(fail_after), "failed", f"fails after {fail_after} items"
    if task.input.get("never_finishes"):
        return float(count), "", ""
    return float(count), "finished", ""


def _result(task: _Task) -> str:
    ids = ",".join(item["id"] for item in task.items)
    total = sum(item["amount"] for item in task.items)
    result = {"items": len(task.items), "total": total, "ids_crc32": zlib.crc32(ids.encode())}
    return json.dumps(result)


class RuntimeServer:
    """HTTP server around a `RuntimeStandIn`.

    :param port: TCP port on the loopback address; 0 chooses a free one, see `port`.
    :param usage_lag_s: see `RuntimeStandIn`.
    """

    def __init__(self, port: int = 0, usage_lag_s: float = DEFAULT_USAGE_LAG_S):
        self.stand_in = RuntimeStandIn(usage_lag_s)
        self._server = wsgi.Server(
            ("127.0.0.1", port), self._application, numthreads=SERVER_THREADS
        )
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]
        self._stopped = threading.Event()

    def start(self) -> None:
        """Serve in background threads."""
        threading.Thread(target=self._server.serve, name="runtime", daemon=True).start()
        threading.Thread(target=self._sweep, name="runtime-sweep", daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._stopped.set()
        self._server.stop()

    def run(self) -> None:
        """Serve in the calling thread."""
        threading.Thread(target=self._sweep, name="runtime-sweep", daemon=True).start()
        self._server.serve()

    def base_url(self, worker_id: str) -> str:
        """Return the base URL of one VM."""
        return f"http://127.0.0.1:{self.port}/workers/{worker_id}"

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_INTERVAL_S):
            self.stand_in.sweep()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        # The raw path keeps percent-encoded slashes in task ids distinct from path separators.
        path = environ["REQUEST_URI"].partition("?")[0]
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(size) if size else b""
        status, value = self.stand_in.handle(
            environ["REQUEST_METHOD"], path, environ.get("QUERY_STRING", ""), body
        )
        data = json.dumps(value).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        start_response(STATUS_TEXTS[status], headers)
        return [data]


def _main(_: list[str]) -> None:
    server = RuntimeServer(FLAGS.port, FLAGS.usage_lag_ms / 1000)
    try:
        server.run()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    FLAGS = flags.FLAGS
    flags.DEFINE_integer("port", None, "TCP port on the loopback address.", required=True)
    flags.DEFINE_integer("usage_lag_ms", 500, "Lag of reported usage in milliseconds.")
    app.run(_main)

"""Fake target: an HTTP server that responds to a worker's requests.

Every response identifies its request: JSON with the target's name, a sequence number, method,
path, request id and the checksum of the body. For tests:

- `PUT /admin/faults` `{"delay_ms", "jitter_ms", "status", "hang", "truncate", "count"}` sets what
  happens to the next `count` requests (all when it is missing); `{}` clears the faults.
- `GET /admin/requests` returns `{"requests": [...]}`: every request that it ran, with times.

Run it with `python -m mulberryslip_testing.targets --port N`.
"""

import json
import random
import threading
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from absl import app, flags
from cheroot import wsgi

HANG_LIMIT_S = 60.0
SERVER_THREADS = 80
# A truncated response is this many bytes shorter than its Content-Length.
TRUNCATED_BYTES = 10


@attrs.frozen
class Faults:
    """Faults injected into the responses of the target.

    :param delay_ms: delay before the response, in milliseconds.
    :param jitter_ms: upper bound of a further random delay, uniform from 0, in milliseconds.
    :param status: HTTP status of the response.
    :param hang: whether the response is withheld until the faults change, for at most 60 s.
    :param truncate: whether the connection closes before the end of the body.
    :param count: number of requests affected; None affects all.
    """

    delay_ms: float = 0
    jitter_ms: float = 0
    status: int = 200
    hang: bool = False
    truncate: bool = False
    count: int | None = None


class TargetServer:
    """HTTP server of a fake target.

    :param port: TCP port on the loopback address; 0 chooses a free one, see `port`.
    :param name: name included in the responses.
    """

    def __init__(self, port: int = 0, name: str = "target"):
        self._name = name
        self._lock = threading.Lock()
        self._faults = Faults()
        self._faults_changed = threading.Event()
        self._requests: list[dict[str, Any]] = []
        self._server = wsgi.Server(
            ("127.0.0.1", port), self._application, numthreads=SERVER_THREADS
        )
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]

    def start(self) -> None:
        """Serve in background threads."""
        threading.Thread(target=self._server.serve, name="target", daemon=True).start()

    def run(self) -> None:
        """Serve in the calling thread."""
        self._server.serve()

    def stop(self) -> None:
        """Stop serving."""
        self.set_faults(Faults())
        self._server.stop()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and release the requests that hang."""
        with self._lock:
            self._faults = faults
            self._faults_changed.set()
            self._faults_changed = threading.Event()

    def requests(self) -> list[dict[str, Any]]:
        """Return a record of every request that was run."""
        with self._lock:
            return [dict(record) for record in self._requests]

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(size) if size else b""
        method = environ["REQUEST_METHOD"]
        path = environ["REQUEST_URI"]
        if path == "/admin/faults" and method == "PUT":
            self.set_faults(Faults(**json.loads(body)))
            return _respond(start_response, 200, b"{}")
        if path == "/admin/requests":
            data = json.dumps({"requests": self.requests()}).encode()
            return _respond(start_response, 200, data)
        return self._run_request(environ, method, path, body, start_response)

    def _run_request(
        self,
        environ: dict[str, Any],
        method: str,
        path: str,
        body: bytes,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        faults, faults_changed = self._take_faults()
        record = self._record_request(method, path, environ.get("HTTP_REQUEST_ID", ""), body)
        data = json.dumps(record).encode()
        time.sleep((faults.delay_ms + random.random() * faults.jitter_ms) / 1000)
        if faults.hang:
            faults_changed.wait(HANG_LIMIT_S)
        with self._lock:
            record["ended"] = time.time()
        return _respond(start_response, faults.status, data, faults.truncate)

    def _take_faults(self) -> tuple[Faults, threading.Event]:
        with self._lock:
            faults = self._faults
            if faults.count is not None:
                remaining = faults.count - 1
                self._faults = attrs.evolve(faults, count=remaining) if remaining > 0 else Faults()
            return faults, self._faults_changed

    def _record_request(
        self, method: str, path: str, request_id: str, body: bytes
    ) -> dict[str, Any]:
        with self._lock:
            record = {
                "target": self._name,
                "number": len(self._requests) + 1,
                "method": method,
                "path": path,
                "request_id": request_id,
                "body_crc32": zlib.crc32(body),
                "started": time.time(),
            }
            self._requests.append(record)
            return record


def _respond(
    start_response: Callable[..., Any], status: int, data: bytes, truncate: bool = False
) -> Iterable[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    if truncate:
        headers.append(("Connection", "close"))
        data = data[:-TRUNCATED_BYTES]
    start_response(f"{status} Status", headers)
    return [data]


def _main(_: list[str]) -> None:
    server = TargetServer(FLAGS.port, FLAGS.name)
    try:
        server.run()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    FLAGS = flags.FLAGS
    flags.DEFINE_integer("port", None, "TCP port on the loopback address.", required=True)
    flags.DEFINE_string("name", "target", "Name included in the responses.")
    app.run(_main)

"""Test doubles of the platform's store and workers, which follow its published HTTP protocol."""

import base64
import json
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

from mulberryslip import SystemClock
from mulberryslip.exceptions import LeaseExpiredError
from mulberryslip.outcomes import Conflict
from mulberryslip.runners import StartCommand
from mulberryslip_testing.stores import StoreState
from pool_doubles import MS, History, SimWorker


class DisconnectTolerantServer(ThreadingHTTPServer):
    """Server that ignores clients which disconnect before the response."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class HTTPDouble:
    """An HTTP server in a thread; `respond` maps a request to a status and a JSON document."""

    def __init__(self):
        handler = self._handler()
        self._server = DisconnectTolerantServer(("127.0.0.1", 0), handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def respond(self, method, path, query, body):
        raise NotImplementedError

    def is_addressed(self, headers):
        """Return whether a request is meant for this server."""
        return True

    def _handler(self):
        double = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def serve(self):
                parts = urlsplit(self.path)
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                query = dict(parse_qsl(parts.query))
                status, document = 421, {}
                if double.is_addressed(self.headers):
                    status, document = double.respond(self.command, parts.path, query, body)
                data = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = serve  # noqa: N815 - names of the library

            def log_message(self, *args):
                pass

        return Handler


class PlatformStoreServer(HTTPDouble):
    """The metadata store.

    :param page: maximum number of items on a page of a listing.
    """

    def __init__(self, clock=None, page=3):
        self.clock = clock or SystemClock()
        self.state = StoreState(self.clock)
        self.page = page
        self.history_is_lost = False
        super().__init__()

    def respond(self, method, path, query, body):
        name = path.removeprefix("/-/kv-").split("/")[0]
        return getattr(self, f"_{name.replace('-', '_')}")(query, body, path.rpartition("/")[2])

    def operate(self, key, document):
        """Write a key as an operator does."""
        found = self.state.get(key)
        version = found.version if found else 0
        self.state.put(key, json.dumps(document).encode(), version)

    def _key(self, query, body, _):
        found = self.state.get(query["Key"])
        return (200, self._item(found)) if found else (404, {})

    def _range(self, query, body, _):
        listing = self.state.list(query["Prefix"])
        values = [value for value in listing.values if value.key > query.get("After", "")]
        shown = [self._item(value) for value in values[: self.page]]
        truncated = len(values) > self.page
        return 200, {"items": shown, "Truncated": truncated, "AsOf": listing.revision}

    def _watch(self, query, body, _):
        if self.history_is_lost:
            return 410, {}
        wait = int(query["WaitMs"]) * MS
        listing = self.state.watch(query["Prefix"], int(query["After"]), wait)
        events = [
            self._item(value) if value.version else {"Key": value.key, "Rev": 1, "Removed": True}
            for value in listing.values
        ]
        return 200, {"events": events, "AsOf": listing.revision}

    def _txn(self, query, body, _):
        row = body["Expected"][0]
        try:
            if body["Puts"]:
                put = body["Puts"][0]
                lease = f"lease-{put['Lease']}" if put.get("Lease") else ""
                value = base64.b64decode(put["Value"], validate=True)
                outcome = self.state.put(put["Key"], value, row["Rev"], lease)
            else:
                outcome = self.state.delete(body["Remove"][0], row["Rev"])
        except LeaseExpiredError:
            return 404, {}
        if isinstance(outcome, Conflict):
            found = self.state.get(row["Key"])
            return 412, {"items": [self._item(found)] if found else []}
        return 200, {"Rev": outcome.version}

    def _lease(self, query, body, _):
        lease = self.state.grant_lease(body["TtlMs"] * MS)
        return 200, {"Lease": int(lease.removeprefix("lease-")), "TtlMs": body["TtlMs"]}

    def _keep(self, query, body, lease):
        return (200, {"TtlMs": 1}) if self.state.renew_lease(f"lease-{lease}") else (404, {})

    def _lease_end(self, query, body, lease):
        return (200, {}) if self.state.revoke_lease(f"lease-{lease}") else (404, {})

    def _item(self, value):
        encoded = base64.b64encode(value.value).decode()
        return {"Key": value.key, "Value": encoded, "Rev": value.version, "Lease": 0}


REASONS = {"fenced": "fence", "superseded": "old", "late": "late", "no_room": "room"}


class PlatformWorkerServer(HTTPDouble):
    """One worker, which behaves like `SimWorker`."""

    def __init__(self, number, history=None, clock=None, **options):
        self.clock = clock or SystemClock()
        self.history = history or History()
        self.worker = SimWorker(number, self.clock, self.history, **options)
        self.history.workers.append(self.worker)
        self.duty_cycles = []
        self.lock = threading.Lock()
        super().__init__()

    def is_addressed(self, headers):
        return headers.get("X-Expect-Instance", self.worker.id) == self.worker.id

    def respond(self, method, path, query, body):
        with self.lock:
            status, document = getattr(self, path.removeprefix("/-/").replace("-", "_"))(body)
        return status, {"ClockMs": self.worker.clock_ms(), **document}

    def run_start(self, body):
        command = StartCommand(
            body["Task"].replace(".", "/"),
            body["Run"],
            body["Spec"],
            body.get("Saved", ""),
            body["DeadlineMs"],
        )
        refusal = self.worker.start(self.worker.id, command, body["Fence"])
        return (409, {"Reason": REASONS[refusal.value]}) if refusal else (200, {})

    def run_stop(self, body):
        self.worker.stop("", body["Task"].replace(".", "/"), body["Run"], body["Fence"])
        return 200, {}

    def pace(self, body):
        self.duty_cycles.append((body["Task"], body["Percent"]))
        return 200, {}

    def hold(self, body):
        if body["Fence"] < self.worker.fence:
            return 409, {"Reason": "fence"}
        listing = self.worker.extend_lease(
            self.worker.id, body["Fence"], body.get("DeadlineMs", 0), body["LastSeen"], 0 * MS
        )
        running = [[r.task.replace("/", "."), r.run, "", 50, 7] for r in listing.running]
        ended = [
            [e.number, e.task.replace("/", "."), e.run, e.kind.value, ""] for e in listing.ended
        ]
        return 200, {"Running": running, "Ended": ended, "born": self.worker.incarnation_number}

    def beat(self):
        """Return the next announcement of the worker."""
        worker = self.worker
        worker.begin_announcement()
        cpu_millis, memory_mb, accelerators, _ = worker.capacity.amounts()
        return {
            "Service": "ledger",
            "Address": self.url.removeprefix("http://"),
            "Zone": worker.data_centre,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if worker.leaving else "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": cpu_millis, "MemMb": memory_mb, "Gpu": accelerators},
            "Labels": ["a", "r1"],
            "ClockMs": worker.clock_ms(),
            "Seq": worker.sequence,
            "Machine": worker.machine,
            "born": worker.incarnation_number,
        }

"""Stand-in of a worker: runs tasks under one lease and one fence number."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field

from .http_servers import JSONServer

MAX_ENDS = 500
TICK_S = 0.01


@dataclass
class Run:
    """A run in progress."""

    task: str
    number: int
    spec: str
    started_s: float
    ends_s: float
    stops_s: float = float("inf")


@dataclass
class Worker:
    """One life of a worker, which guards nothing but its fence number, lease and run numbers.

    :param name: id of the worker.
    :param zone: its zone.
    :param service: the service that it announces.
    :param capacity: `Cpu`, `MemMb` and `Gpu`.
    :param seconds_of: maps a task's name to the length of its work; infinite for tasks that last.
    :param history: receives what happens, see `History`.
    :param is_unhealthy: whether it answers starts with 503 and does nothing for them.
    """

    name: str
    zone: str
    service: str
    capacity: dict
    seconds_of: object
    history: object
    hold_max_s: float = 6.0
    labels: tuple = ("a", "r1")
    is_unhealthy: bool = False
    stop_s: float = 0.05
    beat_s: float = 1.5
    sequence: int = 0
    fence: int = 0
    lease_until_s: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    next_end: int = 1
    highest_ended: dict = field(default_factory=dict)

    def __post_init__(self):
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._has_lease = False
        self._changed = threading.Condition()
        self._stop = threading.Event()
        self._server = JSONServer(self._respond)
        self.address = self._server.address
        threading.Thread(target=self._tick, daemon=True).start()

    def announce_to(self, address):
        """Report to the agent at an address until closed."""
        threading.Thread(target=self._announce, args=(address,), daemon=True).start()

    def close(self):
        """Stop serving."""
        self._stop.set()
        self._server.close()

    def clock_ms(self):
        """Return the worker's steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    def _announce(self, address):
        while True:
            self.sequence += 1
            body = {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": self.capacity,
                "Labels": list(self.labels),
                "ClockMs": self.clock_ms(),
                "Seq": self.sequence,
                "Machine": f"vm-{self.name}",
                "born": self._born_ms,
            }
            try:
                conn = http.client.HTTPConnection(address, timeout=1)
                headers = {"Content-Type": "application/json"}
                conn.request("PUT", f"/-/instances/{self.name}", json.dumps(body), headers)
                is_heard = conn.getresponse().status == 200
                conn.close()
            except OSError:
                is_heard = False
            if self._stop.wait(self.beat_s if is_heard else 0.3):
                return

    def _respond(self, method, path, query, body, headers):
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, {}
        with self._changed:
            if body.get("Fence", 0) < self.fence:
                return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
            self.fence = max(self.fence, body.get("Fence", 0))
            name = path.removeprefix("/-/").replace("-", "_")
            status, document = getattr(self, f"_{name}")(body)
            return status, {"ClockMs": self.clock_ms(), **document}

    def _run_start(self, body):
        task, number = body["Task"], body["Run"]
        if self.is_unhealthy:
            self.history.add("turned away", self.name, task, number, status=503)
            return 503, {}
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if body["DeadlineMs"] < self.clock_ms():
            return 409, {"Reason": "late"}
        self._extend_lease(body["DeadlineMs"])
        highest = max(self.highest_ended.get(task, 0), known.number if known else 0)
        if number <= highest:
            return 409, {"Reason": "old"}
        now = time.monotonic()
        run = Run(task, number, body["Spec"], now, now + self.seconds_of(task))
        self.running[task] = run
        self.history.add("start", self.name, task, number, spec=run.spec)
        return 200, {}

    def _run_stop(self, body):
        run = self.running.get(body["Task"])
        if run is not None and run.number <= body["Run"]:
            run.stops_s = min(run.stops_s, time.monotonic() + self.stop_s)
        else:
            highest = self.highest_ended.get(body["Task"], 0)
            self.highest_ended[body["Task"]] = max(highest, body["Run"])
        return 200, {}

    def _pace(self, body):
        return 200, {}

    def _hold(self, body):
        if body.get("DeadlineMs"):
            self._extend_lease(body["DeadlineMs"])
        last_seen = body.get("LastSeen", 0)
        for row in [row for row in self.ended if row[0] <= last_seen]:
            self.history.add("noted", self.name, row[1], row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > last_seen]
        expires = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ended and (left := expires - time.monotonic()) > 0:
            self._changed.wait(left)
        now = time.monotonic()
        running = [[run.task, run.number, "", _percent(run, now), 5] for run in self._runs()]
        return 200, {"Running": running, "Ended": self.ended[:MAX_ENDS], "born": self._born_ms}

    def _runs(self):
        return list(self.running.values())

    def _extend_lease(self, deadline_ms):
        until_s = min(self._born_s + deadline_ms / 1000, time.monotonic() + self.hold_max_s)
        self.lease_until_s = max(self.lease_until_s, until_s)
        self._has_lease = True

    def _tick(self):
        while not self._stop.wait(TICK_S):
            now = time.monotonic()
            with self._changed:
                if self._has_lease and now >= self.lease_until_s:
                    self._has_lease = False
                    self.history.add("lease lapsed", self.name)
                for run in self._runs():
                    if now >= self.lease_until_s:
                        self._end(run, "lapsed")
                    elif now >= run.ends_s:
                        self._end(run, "done")
                    elif now >= run.stops_s:
                        self._end(run, "stopped")

    def _end(self, run, how):
        del self.running[run.task]
        self.highest_ended[run.task] = run.number
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.history.add("end", self.name, run.task, run.number, how=how)
        self._changed.notify_all()


def _percent(run, now):
    length_s = run.ends_s - run.started_s
    if length_s == float("inf"):
        return 100
    return min(99, int(100 * (now - run.started_s) / length_s))

"""The worker role against stand-ins of the runtime, the target and the entries."""

import json
import time
from datetime import timedelta

import attrs
import pytest
from mulberryslip import Resources, SystemClock
from mulberryslip.channels import Address, ChannelPool, Server
from mulberryslip.runtimes import HTTPRuntime
from mulberryslip.wire import EntryService
from mulberryslip.wire import WorkerService as WireWorkerService
from mulberryslip.wire import ttypes as wire
from mulberryslip_testing.runtimes import RuntimeServer
from mulberryslip_testing.targets import TargetServer
from mulberryslipd.workers import WorkerDaemon, WorkerOptions

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
CAPACITY = Resources(8000, 16000, 0, 8)
ONE = wire.Resources(1000, 512, 0, 1)
LEASE = 400 * MS


def document(revision=1, state="in"):
    account = {"cpu_millis": 1000, "memory_mb": 1000, "accelerators": 0, "weight": 1}
    config = {
        "revision": revision,
        "changes": [],
        "data_centres": {"concord": {"state": state}},
        "accounts": {"acct": account},
        "templates": {
            "check": {
                "class": "service",
                "account": "acct",
                "parameters": {"deadline_ms": 500, "objective_ms": 50, "max_in_flight": 4},
            },
            "recon": {
                "class": "batch",
                "account": "acct",
                "parameters": {"checkpoint_s": 1},
            },
        },
    }
    return json.dumps(config).encode()


def task_input(count, item_ms=10, **more):
    items = [{"id": f"r-{n}", "amount": n} for n in range(count)]
    return json.dumps({"items": items, "item_ms": item_ms, **more})


def eventually(check, timeout_s=4.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if result := check():
            return result
        time.sleep(0.01)
    raise AssertionError("the condition was not met in time")


class Entry:
    """Entry double: records announcements and reports, and calls the worker as an owner."""

    def __init__(self):
        self.announced = []
        self.reports = []
        self.acknowledges = True
        self.config = document()
        self.names = []
        self.epoch = 1
        self.server = Server(EntryService.Processor(self), "127.0.0.1", 0)
        self.address = Address("127.0.0.1", self.server.port)
        self.server.start()
        self.pool = ChannelPool(WireWorkerService.Client)

    def ping(self, token):
        return token

    def announce(self, req):
        self.announced.append(req)
        return wire.AnnounceReply(wire.Outcome.OK, 1, self.config, self.names)

    def report(self, req):
        self.reports.append(req)
        tasks = [report.task for report in req.tasks] if self.acknowledges else []
        return wire.ReportReply(wire.Outcome.OK, tasks)

    def call(self, port, method, req, deadline=2 * SECOND):
        return self.pool.call(Address("127.0.0.1", port), method, req, deadline)

    def renew(self, port, lease=20 * SECOND, acknowledged=(), epoch=None, config=b""):
        req = wire.RenewRequest(
            header(),
            0,
            epoch or self.epoch,
            lease // MS,
            list(acknowledged),
            config,
            self.address.host,
            self.address.port,
        )
        return self.call(port, "renew", req)

    def reserve(self, port, ref, epoch=None):
        item = wire.ReserveItem(ref, ONE, "recon", "batch")
        req = wire.ReserveRequest(header(), 0, epoch or self.epoch, [item])
        return self.call(port, "reserve", req)

    def start(self, port, ref, reservation_id, text, checkpoint="", epoch=None):
        item = wire.StartItem(ref, reservation_id, "acct", text, checkpoint)
        req = wire.StartRequest(header(), 0, epoch or self.epoch, [item])
        return self.call(port, "start", req)

    def run(self, port, ref, text, checkpoint=""):
        """Reserve and start; return the result of the start."""
        reservation = self.reserve(port, ref).reservations[0]
        assert reservation.granted, reservation.reason
        reply = self.start(port, ref, reservation.reservation_id, text, checkpoint)
        return reply.results[0]

    def stop(self, port, ref, checkpoint=True):
        req = wire.StopRequest(header(), 0, self.epoch, [ref], checkpoint, "moved")
        return self.call(port, "stop", req).tasks[0]

    def forward(self, port, request_id, deadline_ms=1000, resent=False, idempotent=False):
        req = wire.ForwardRequest(
            header(request_id, deadline_ms),
            "check",
            "POST",
            f"/check/{request_id}",
            {"X-Test": "1"},
            request_id.encode(),
            idempotent,
            resent,
        )
        return self.call(port, "forward", req, deadline_ms * MS + SECOND)

    def reported(self, state):
        return [t for req in list(self.reports) for t in req.tasks if t.state == state]


def header(request_id="r", deadline_ms=1000):
    return wire.Header(request_id, deadline_ms, 1, "entry-1", "e-1")


class Site:
    """Runtime, target, entry and any number of worker daemons in this process."""

    def __init__(self):
        self.runtime = RuntimeServer()
        self.target = TargetServer()
        self.runtime.start()
        self.target.start()
        self.entry = Entry()
        self.daemons = []

    def options(self, **changes):
        options = WorkerOptions(
            worker_id="w-1",
            data_centre="concord",
            rack="r-1",
            host="127.0.0.1",
            port=0,
            target_url=f"http://127.0.0.1:{self.target.port}",
            services=("check",),
            entries=(self.entry.address,),
            capacity=CAPACITY,
            shards=1,
            runtime_lease=LEASE,
            announce_interval=100 * MS,
            stop_grace=100 * MS,
            stop_timeout=4 * SECOND,
        )
        return attrs.evolve(options, **changes)

    def worker(self, **changes):
        runtime = HTTPRuntime(self.runtime.base_url("w-1"))
        daemon = WorkerDaemon(self.options(**changes), runtime, SystemClock())
        daemon.start()
        self.daemons.append(daemon)
        eventually(lambda: daemon.config.view.revision)
        return daemon

    def abandon(self, daemon):
        """End a daemon as a crash does: no report, no suspension."""
        daemon._stopping.set()
        daemon._server.stop(timedelta())
        self.daemons.remove(daemon)

    def history(self, event):
        return [h for h in self.runtime.stand_in.history() if h["event"] == event]

    def close(self):
        for daemon in self.daemons:
            daemon._stopping.set()
            daemon._server.stop(timedelta())
        self.entry.server.stop(timedelta())
        self.target.stop()
        self.runtime.stop()


@pytest.fixture
def site():
    site = Site()
    yield site
    site.close()


REF = wire.TaskRef("job", 0, 1)


def test_task_runs_and_its_finish_is_reported_until_acknowledged(site):
    """Guards against a finish that is lost because one report of it failed."""
    site.entry.acknowledges = False
    worker = site.worker()
    site.entry.renew(worker.port)
    assert site.entry.run(worker.port, REF, task_input(10)).outcome == wire.Outcome.OK
    eventually(lambda: len(site.entry.reported(wire.TaskState.FINISHED)) >= 2)
    listed = site.entry.renew(worker.port).tasks
    assert [t.state for t in listed] == [wire.TaskState.FINISHED]
    assert json.loads(listed[0].result)["total"] == 45
    site.entry.acknowledges = True
    eventually(lambda: not site.entry.renew(worker.port).tasks)
    eventually(lambda: not HTTPRuntime(site.runtime.base_url("w-1")).tasks())
    assert worker.admission.free() == CAPACITY


def test_request_is_answered_with_checksum_and_load(site):
    """Guards against an answer without what the caller needs to check it."""
    worker = site.worker()
    reply = site.entry.forward(worker.port, "q-1")
    assert (reply.outcome, reply.status, reply.request_id) == (wire.Outcome.OK, 200, "q-1")
    assert json.loads(reply.body)["request_id"] == "q-1"
    assert reply.load.service_time_us > 0


def test_start_without_renewal_runs_only_for_a_short_lease(site):
    """Guards against a task that runs on without a lease of its owner."""
    worker = site.worker()
    site.entry.run(worker.port, REF, task_input(10, never_finishes=True))
    stopped = eventually(lambda: site.history("stopped") or site.history("lapsed"))
    started = site.history("start")[0]
    assert stopped[0]["at"] - started["at"] < 4 * LEASE.total_seconds()

"""The whole entry over loopback: HTTP in, thrift to a worker, the store in memory."""

import json
import random
import threading
import time
import zlib
from datetime import timedelta

import attrs
import pytest
import urllib3
from mulberryslip import SystemClock
from mulberryslip.channels import Server
from mulberryslip.configs import CONFIG_KEY, ConfigView
from mulberryslip.fleets import Fleet
from mulberryslip.models import Resources, WorkerDescription, WorkerLoad
from mulberryslip.wire import WorkerService as WorkerWire
from mulberryslip.wire.ttypes import ClaimReply, ForwardReply, JobReply, Load, Outcome
from mulberryslip.wire.ttypes import Resources as WireResources
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.entries import EntryDaemon, EntryOptions
from mulberryslipd.sessions import Session
from mulberryslipd.sources import ConfigSource

SHARDS = 4
HTTP = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(10), maxsize=16)


class WireWorker:
    """Thrift worker that answers each request with its body, and counts what it ran."""

    def __init__(self):
        self.ran = []
        self.delay_s = 0.0
        self.refusing = False
        self.server = Server(WorkerWire.Processor(self), "127.0.0.1", 0)
        self.server.start()

    def ping(self, token):
        return token

    def forward(self, req):
        if self.refusing:
            return self._reply(req, Outcome.NOT_RUN, "queue full")
        self.ran.append(req.header.request_id)
        time.sleep(self.delay_s)
        return self._reply(req, Outcome.OK, "")

    def _reply(self, req, outcome, reason):
        return ForwardReply(
            request_id=req.header.request_id,
            outcome=outcome,
            reason=reason,
            status=200,
            headers={"Content-Type": "text/plain"},
            body=req.body,
            body_crc32=zlib.crc32(req.body),
            load=Load(0, 0, 1000, WireResources(1000, 1000, 0, 8), False, 0),
        )


class MemoryOwner:
    """Owner of a shard without a journal: jobs and claims in dictionaries."""

    def __init__(self, owned=True):
        self.owned = owned
        self.jobs = {}
        self.claims = {}

    def is_owner(self):
        return self.owned

    def run(self, stop):
        stop.wait()

    def release(self):
        self.owned = False

    def submit(self, req):
        if self.jobs.setdefault(req.job_id, req.body) != req.body:
            return JobReply(Outcome.CONFLICT, "another body", b"")
        return self.status(req)

    def status(self, req):
        if req.job_id not in self.jobs:
            return JobReply(Outcome.NOT_FOUND, "no such job", b"")
        return JobReply(Outcome.OK, "", json.dumps({"job_id": req.job_id}).encode())

    def cancel(self, req):
        return self.status(req)

    def list_jobs(self, req):
        return JobReply(Outcome.OK, "", json.dumps([{"job_id": j} for j in self.jobs]).encode())

    def explain(self, req):
        return JobReply(Outcome.OK, "", b'["waits"]')

    def claim_request(self, req):
        if not req.worker_id:
            self.claims.pop(req.claim_id, None)
            return ClaimReply(Outcome.OK, "", "")
        worker = self.claims.setdefault(req.claim_id, req.worker_id)
        if worker != req.worker_id or req.claim_id in getattr(self, "seen", ()):
            return ClaimReply(Outcome.CONFLICT, "", worker)
        return ClaimReply(Outcome.OK, "", worker)


def seed_config(store):
    service = {"class": "service", "account": "granite-hollow"}
    view = ConfigView.from_json(
        json.dumps(
            {
                "revision": 1,
                "data_centres": {"concord": {"state": "in"}},
                "accounts": {"granite-hollow": {"cpu_millis": 1, "memory_mb": 1}},
                "templates": {
                    "check": {**service, "parameters": {"deadline_ms": 2000}},
                    "lookup": {
                        **service,
                        "parameters": {"deadline_ms": 2000, "idempotent": True},
                    },
                },
            }
        ).encode()
    )
    store.put(CONFIG_KEY, view.to_json(), 0)


def wait_until(condition, timeout_s=5):
    expires = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < expires, "condition not met in time"
        time.sleep(0.01)


@attrs.define
class Running:
    daemon: EntryDaemon
    fleet: Fleet
    owners: dict
    source: ConfigSource

    def caller(self, method, path, **kwargs):
        return HTTP.request(method, f"http://127.0.0.1:{self.daemon.callers_port}{path}", **kwargs)

    def operator(self, method, path, **kwargs):
        url = f"http://127.0.0.1:{self.daemon.operators_port}{path}"
        return HTTP.request(method, url, **kwargs)


def start_entry(store, entry_id="entry-1", owned=True, **options):
    clock = SystemClock()
    source = ConfigSource(store, clock, timedelta(milliseconds=200))
    fleet = Fleet(clock)
    owners = {shard: MemoryOwner(owned) for shard in range(SHARDS)}
    daemon = EntryDaemon(
        EntryOptions(
            entry_id=entry_id, incarnation="1", data_centre="concord", host="127.0.0.1",
            listen_host="127.0.0.1", wire_port=0, callers_port=0, operators_port=0,
            stop_grace=timedelta(milliseconds=200), **options,
        ),
        store, Session(store, timedelta(seconds=3), clock), fleet, source, owners, clock,
        random.Random(1),
    )  # fmt: skip
    daemon.start()
    running = Running(daemon, fleet, owners, source)
    wait_until(lambda: running.caller("GET", "/v1/health").status == 200)
    return running


def add_worker(running, worker, worker_id="worker-1"):
    description = WorkerDescription(
        worker_id, "1", "concord", "rack-0", "127.0.0.1", worker.server.port,
        Resources(1000, 1000, 0, 8), ("check", "lookup"),
    )  # fmt: skip
    running.fleet.announce(description, WorkerLoad())


@pytest.fixture
def store():
    store = FakeStore()
    seed_config(store)
    return store


@pytest.fixture
def entry(store):
    running = start_entry(store)
    yield running
    running.daemon.stop()


def test_request_reaches_a_worker_and_its_answer_returns(entry):
    """Guards against a break anywhere between the caller's port and the worker."""
    worker = WireWorker()
    add_worker(entry, worker)
    resp = entry.caller("POST", "/v1/services/check/a%20b?x=1", body=b"hello")
    assert (resp.status, resp.data) == (200, b"hello")
    assert resp.headers["Request-Id"] == worker.ran[0]
    histograms = entry.operator("GET", "/v1/metrics").json()["histograms"]
    assert [(row["template"], row["count"]) for row in histograms] == [("check", 1)]


def test_stop_cuts_off_no_request_and_deletes_the_registration(store):
    """Guards against a planned stop that loses requests or leaves the entry registered."""
    entry = start_entry(store)
    worker = WireWorker()
    worker.delay_s = 0.5
    add_worker(entry, worker)
    wait_until(lambda: store.get("entries/entry-1") is not None)
    statuses = []
    thread = threading.Thread(
        target=lambda: statuses.append(entry.caller("POST", "/v1/services/check/x").status)
    )
    thread.start()
    wait_until(lambda: worker.ran)
    stopping = threading.Thread(target=entry.daemon.stop)
    stopping.start()
    wait_until(lambda: entry.daemon.drain.leaving)
    assert entry.caller("GET", "/v1/health").status == 503
    thread.join(5)
    stopping.join(10)
    assert not stopping.is_alive()
    assert statuses == [200]
    assert store.get("entries/entry-1") is None

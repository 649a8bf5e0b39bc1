"""Tests of a whole entry over loopback: HTTP requests, a thrift worker, an in-memory store."""

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
from mulberryslip.clocks import ManualClock
from mulberryslip.configs import CONFIG_KEY, ConfigView
from mulberryslip.exceptions import NotSentError, ReplyLostError
from mulberryslip.fleets import Fleet
from mulberryslip.models import Resources, WorkerDescription, WorkerLoad
from mulberryslip.retries import Deadline
from mulberryslip.servers import Server
from mulberryslip.wire import WorkerService as WorkerWire
from mulberryslip.wire.ttypes import ClaimReply, ForwardReply, JobReply, Load, Outcome
from mulberryslip.wire.ttypes import Resources as WireResources
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.entries import EntryDaemon, EntryOptions
from mulberryslipd.requests import SenderIdentity
from mulberryslipd.services import OwnerDirectory, ShardClient
from mulberryslipd.sessions import Session
from mulberryslipd.sources import ConfigSource

SHARDS = 4
HTTP = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(10), maxsize=16)


class ThriftWorker:
    """Thrift worker that echoes the body of each request and records the requests that it ran."""

    def __init__(self):
        self.ran = []
        self.delay_s = 0.0
        self.resent = []
        self.server = Server(WorkerWire.Processor(self), "127.0.0.1", 0)
        self.server.start()

    def ping(self, token):
        return token

    def forward(self, req):
        self.resent.append(req.resent)
        if not req.resent:
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


class InMemoryOwner:
    """Shard owner without a journal; keeps jobs and claims in dictionaries."""

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
        if req.claim_id in self.claims:
            return ClaimReply(Outcome.CONFLICT, "", self.claims[req.claim_id])
        self.claims[req.claim_id] = req.worker_id
        return ClaimReply(Outcome.OK, "", req.worker_id)


def store_initial_config(store):
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
    owners = {shard: InMemoryOwner(owned) for shard in range(SHARDS)}
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
    running.fleet.record_announcement(description, WorkerLoad())


@pytest.fixture
def store():
    store = FakeStore()
    store_initial_config(store)
    return store


@pytest.fixture
def entry(store):
    running = start_entry(store)
    yield running
    running.daemon.stop()


def test_request_reaches_a_worker_and_its_response_returns(entry):
    """Guards against any failure between the caller's port and the worker."""
    worker = ThriftWorker()
    add_worker(entry, worker)
    resp = entry.caller("POST", "/v1/services/check/a%20b?x=1", body=b"hello")
    assert (resp.status, resp.data) == (200, b"hello")
    assert resp.headers["Request-Id"] == worker.ran[0]
    histograms = entry.operator("GET", "/v1/metrics").json()["histograms"]
    assert [(row["template"], row["count"]) for row in histograms] == [("check", 1)]


def test_stop_cuts_off_no_request_and_deletes_the_registration(store):
    """Guards against a planned stop that loses requests or leaves the entry registered."""
    entry = start_entry(store)
    worker = ThriftWorker()
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


def test_stop_ends_in_time_despite_a_long_request(store):
    """Guards against a process that cannot exit because a thread is waiting for a worker."""
    before = {thread for thread in threading.enumerate() if not thread.daemon}
    entry = start_entry(store, stop_timeout=timedelta(seconds=4))
    worker = ThriftWorker()
    worker.delay_s = 8
    add_worker(entry, worker)
    headers = {"Request-Deadline-Ms": "9000"}

    def call(service):
        entry.caller("POST", f"/v1/services/{service}/x", headers=headers)

    for service in ("check", "lookup"):
        threading.Thread(target=call, args=(service,), daemon=True).start()
    wait_until(lambda: len(worker.ran) >= 2)
    others = {thread for thread in threading.enumerate() if not thread.daemon}
    started_at = time.monotonic()
    entry.daemon.stop()
    assert time.monotonic() - started_at < 4.5
    assert store.get("entries/entry-1") is None
    assert others == before


def record_owner_of_all_shards(store, entry, entry_id):
    """Record an entry in the store as the owner of every shard."""
    address = entry.daemon.wire_address()
    record = {"entry_id": entry_id, "host": address.host, "port": address.port, "incarnation": "1"}
    for shard in range(SHARDS):
        key = f"shards/{shard}/owner"
        stored = store.get(key)
        store.put(key, json.dumps(record).encode(), 0 if stored is None else stored.version)


@pytest.fixture
def pair(store):
    """Two entries; the second owns all shards."""
    first, second = start_entry(store, "entry-1", owned=False), start_entry(store, "entry-2")
    record_owner_of_all_shards(store, second, "entry-2")
    yield first, second
    first.daemon.stop()
    second.daemon.stop()


def test_any_entry_serves_any_job_call(pair):
    """Guards against a call that works only at the entry that owns the shard."""
    first, second = pair
    body = b'{"template": "plans"}'
    for number in range(6):
        assert first.caller("PUT", f"/v1/jobs/j-{number}", body=body).status == 200
    assert first.caller("PUT", "/v1/jobs/j-1", body=body).status == 200
    assert first.caller("PUT", "/v1/jobs/j-1", body=b"{}").status == 409
    assert first.caller("GET", "/v1/jobs/j-9").status == 404
    assert first.caller("DELETE", "/v1/jobs/j-2").status == 200
    listed = first.operator("GET", "/v1/jobs").json()["jobs"]
    assert [row["job_id"] for row in listed] == [f"j-{number}" for number in range(6)]
    assert first.operator("GET", "/v1/explain/job/j-1").json() == {"reasons": ["waits"]}
    assert {row["owner"] for row in first.operator("GET", "/v1/shards").json()["shards"]} == {
        "entry-2"
    }
    assert all(not owner.jobs for owner in first.owners.values())
    assert sum(len(owner.jobs) for owner in second.owners.values()) == 6


def test_call_finds_the_new_owner(pair, store):
    """Guards against calls that fail while the cached owner record is outdated by up to 1 s."""
    first, second = pair
    assert first.caller("PUT", "/v1/jobs/j-1", body=b"{}").status == 200
    for shard in range(SHARDS):
        first.owners[shard].owned, second.owners[shard].owned = True, False
    record_owner_of_all_shards(store, first, "entry-1")
    assert second.caller("PUT", "/v1/jobs/j-2", body=b"{}").status == 200
    assert first.caller("GET", "/v1/jobs/j-2").status == 200


def test_entries_with_outdated_owner_records_do_not_loop(pair, store):
    """Guards against a call that two entries forward to each other until its deadline."""
    first, second = pair
    for owner in second.owners.values():
        owner.owned = False
    started_at = time.monotonic()
    resp = first.caller("PUT", "/v1/jobs/j-1", body=b"{}")
    assert (resp.status, resp.json()["error"]["code"]) == (503, "not_run")
    assert time.monotonic() - started_at < 4.5


class ScriptedChannels:
    """Channels that give each call the next reply or error; the last one stays."""

    def __init__(self, *replies):
        self.replies = list(replies)

    def call(self, address, method, req, deadline):
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply


LOST = ReplyLostError("no reply")
NOT_SENT = NotSentError("refused")


def job_reply(outcome):
    return JobReply(outcome, "a reason", b"")


@pytest.mark.parametrize("method", ["submit", "cancel"])
@pytest.mark.parametrize(
    ("replies", "outcome"),
    [
        ([LOST], Outcome.OUTCOME_UNKNOWN),
        ([LOST, job_reply(Outcome.OK)], Outcome.OK),
        ([LOST, NOT_SENT, job_reply(Outcome.OK)], Outcome.OK),
        ([LOST, NOT_SENT], Outcome.OUTCOME_UNKNOWN),
        ([LOST, job_reply(Outcome.NOT_OWNER)], Outcome.OUTCOME_UNKNOWN),
        ([LOST, job_reply(Outcome.NOT_RUN)], Outcome.OUTCOME_UNKNOWN),
        ([job_reply(Outcome.OUTCOME_UNKNOWN), NOT_SENT], Outcome.OUTCOME_UNKNOWN),
        ([LOST, job_reply(Outcome.CONFLICT)], Outcome.CONFLICT),
        ([NOT_SENT], Outcome.NOT_OWNER),
        ([NOT_SENT, job_reply(Outcome.NOT_RUN)], Outcome.NOT_RUN),
    ],
)
def test_outcome_of_a_job_call(store, method, replies, outcome):
    """Guards against "not run" for a job call that an earlier send may have carried out."""
    clock = ManualClock()
    record = {"entry_id": "entry-2", "host": "127.0.0.1", "port": 1, "incarnation": "1"}
    store.put("shards/0/owner", json.dumps(record).encode(), 0)
    client = ShardClient(
        SenderIdentity("entry-1", "1", "concord"),
        {0: InMemoryOwner(owned=False)},
        OwnerDirectory(store, clock),
        ScriptedChannels(*replies),
        lambda: 1,
        clock,
        random.Random(1),
    )
    deadline = Deadline(clock, timedelta(seconds=5))
    assert client.call_job_owner(method, "j-1", b"{}", "r-1", deadline).outcome == outcome


def test_resend_through_another_entry_is_not_run_again(pair):
    """Guards against running a request twice when its caller resends it to another entry."""
    first, second = pair
    worker = ThriftWorker()
    add_worker(first, worker)
    add_worker(second, worker)
    for entry in (first, second):
        resp = entry.caller("POST", "/v1/services/check/x", headers={"Request-Id": "r-1"})
        assert resp.status == 200
    assert worker.resent == [False, True]
    assert worker.ran == ["r-1"]


def test_change_is_in_force_at_every_entry(pair):
    """Guards against a change that is applied only by the entry that accepted it."""
    first, second = pair
    worker = ThriftWorker()
    add_worker(second, worker)
    assert second.caller("POST", "/v1/services/check/x").status == 200
    resp = first.operator(
        "PUT", "/v1/data-centres/concord", body=b'{"state": "out"}', headers={"If-Revision": "1"}
    )
    assert resp.status == 200
    wait_until(lambda: second.caller("POST", "/v1/services/check/x").status == 503, 4)


def test_store_outage_stops_jobs_but_not_requests(entry, store):
    """Guards against a store outage that makes the services unavailable."""
    add_worker(entry, ThriftWorker())
    for owner in entry.owners.values():
        owner.owned = False
    store.set_faults(outage="refuse")
    assert entry.caller("POST", "/v1/services/check/x").status == 200
    assert entry.caller("GET", "/v1/health").status == 200
    resp = entry.caller("PUT", "/v1/jobs/j-1", body=b"{}")
    assert (resp.status, resp.json()["error"]["code"]) == (503, "not_run")
    store.set_faults(outage="")


def view_with_revision(revision):
    return ConfigView(revision=revision)


class UnorderedSource(ConfigSource):
    """Configuration source that accepts any view it is offered, whatever its revision."""

    def apply_if_newer(self, view):
        self._view = view
        return view


@pytest.mark.parametrize(
    ("source_class", "goes_back"), [(ConfigSource, False), (UnorderedSource, True)]
)
def test_revision_never_goes_back(source_class, goes_back):
    """Guards against applying an old document that one of several threads read late."""
    source = source_class(FakeStore(), SystemClock())
    applied = []
    source.subscribe(lambda view: applied.append(view.revision))
    revisions = []
    for revision in (3, 1, 5, 4, 2):
        source.apply_if_newer(view_with_revision(revision))
        revisions.append(source.revision())
    assert (revisions != sorted(revisions)) is goes_back
    if not goes_back:
        assert applied == [3, 5]


def test_revision_never_goes_back_whichever_entry_is_asked(store):
    """Guards against a change that is visible at one entry and then missing at another."""
    sources = [ConfigSource(store, SystemClock()) for _ in range(3)]
    rng = random.Random(4)
    shown = 0
    for _ in range(200):
        if rng.random() < 0.3:
            stored = store.get(CONFIG_KEY)
            view = attrs.evolve(
                ConfigView.from_json(stored.value), revision=sources[0].refresh().revision + 1
            )
            store.put(CONFIG_KEY, view.to_json(), stored.version)
        revision = rng.choice(sources).refresh().revision
        assert revision >= shown
        shown = revision


@pytest.mark.parametrize("malformed", [b"", b"{", b'{"revision": -1}'])
def test_malformed_document_leaves_the_last_one_in_force(store, malformed):
    """Guards against a malformed value in the store that stops all services."""
    source = ConfigSource(store, SystemClock(), timedelta(milliseconds=20))
    source.refresh()
    store.put(CONFIG_KEY, malformed, store.get(CONFIG_KEY).version)
    stop = threading.Event()
    thread = threading.Thread(target=source.run_reads, args=(stop,))
    thread.start()
    time.sleep(0.1)
    stop.set()
    thread.join()
    assert source.revision() == 1


def test_watch_brings_a_change_before_the_next_read(store):
    """Guards against changes that are applied only with the next periodic read."""
    source = ConfigSource(store, SystemClock(), timedelta(minutes=5))
    stop = threading.Event()
    thread = threading.Thread(target=source.run_watch, args=(stop,), daemon=True)
    thread.start()
    wait_until(lambda: source.revision() == 1)
    store.put(CONFIG_KEY, view_with_revision(2).to_json(), store.get(CONFIG_KEY).version)
    wait_until(lambda: source.revision() == 2, 1)
    stop.set()


def test_document_is_parsed_once_for_each_version(store, monkeypatch):
    """Guards against parsing an unchanged document repeatedly, and against missing a change."""
    parsed = []
    parse = ConfigView.from_json
    monkeypatch.setattr(ConfigView, "from_json", lambda body: parsed.append(body) or parse(body))
    source = ConfigSource(store, SystemClock())
    for revision in (2, 3):
        for _ in range(5):
            source.refresh()
        store.put(CONFIG_KEY, view_with_revision(revision).to_json(), store.get(CONFIG_KEY).version)
    assert source.refresh().revision == 3
    assert len(parsed) == 3

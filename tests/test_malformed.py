"""Tests with generated input of callers, peers, settings files and the journal."""

import contextlib
import functools
import io
import json
import random
import socket
import struct
import tomllib
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from json_strategies import JSON, with_other_value
from log_events import logged_events
from mulberryslip import ManualClock
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.events import Event
from mulberryslip.exceptions import InvalidMessageError, ReplyLostError, SettingsError
from mulberryslip.fleets import Fleet
from mulberryslip.servers import Server
from mulberryslip.settings import parse
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire import PoolService as PoolWire
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import (
    Pool,
    RunAssigned,
    RunEnded,
    WorkflowCancelled,
    accepted_event,
    decode_event,
    encode_event,
)
from mulberryslip_platform.callers import callers_application
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.directories import PoolOwnerDirectory
from mulberryslipd.entries import EntryOptions, EntryRegistration
from mulberryslipd.gateways import Accepted
from mulberryslipd.responses import Drain
from mulberryslipd.services import EntryService, OwnerDirectory
from pool_doubles import QUEUE

ROOT = Path(__file__).parent.parent
CLOCK = ManualClock()


# Callers

STEP = {
    "Count": 2,
    "Cpu": 500,
    "MemMb": 256,
    "EstimateMs": 900,
    "After": [],
    "Checkpoints": True,
    "RequiredLabel": "a",
    "Affinity": "r1",
    "Image": "i",
    "TargetMs": 5,
    "MaxPerServer": 1,
}
SUBMISSION = {"Spec": "text", "Steps": [STEP], "Times": 0}


class AcceptingGateway:
    """A gateway that accepts all workflows, which must survive their encoding for the owner."""

    def find_queue(self, host, path, queue_time):
        return QUEUE

    def submit(self, queue, workflow_id, spec, deadline):
        assert WorkflowSpec.from_json(spec.to_json().encode()) == spec
        return Accepted("queued")


@settings(max_examples=300)
@given(
    (
        with_other_value(SUBMISSION)
        | with_other_value(STEP).map(lambda step: {**SUBMISSION, "Steps": [step]})
        | JSON
    ).map(lambda document: json.dumps(document).encode())
    | st.binary(max_size=30),
    st.text(max_size=8),
)
def test_any_submission_gets_a_response(body, deadline):
    """Guards against a submission that is answered by an internal error, or that no owner reads."""
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/checks/" + "0" * 16,
        "REQUEST_URI": "/checks/" + "0" * 16,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        "HTTP_X_DEADLINE_MS": deadline,
    }
    statuses = []
    application = callers_application(AcceptingGateway(), Drain(CLOCK), CLOCK)
    b"".join(application(environ, lambda status, head: statuses.append(int(status.split()[0]))))
    assert statuses in ([200], [400])


# Peers


class EchoOwner:
    """Handlers of the pool's Thrift service that only echo."""

    def ping(self, token):
        return token

    def status(self, req):
        return wire.WorkflowReply(Outcome.OK, "", req.workflow_id, 0, 0)

    text = ""

    def orders(self, req):
        text = EchoOwner.text
        profile = wire.RunProfile("a/0/0/0", text, False, 500, 0, 0)
        start = wire.RunStart("a/0/0/0", 1, text, text, 10**9, profile)
        return wire.OrdersReply(Outcome.OK, 1, 1, [start], [])

    def report(self, req):
        pressure = wire.ImagePressure(req.running[0].checkpoint, req.ended[0].checkpoint, 1.0)
        return wire.WorkerReportReply(Outcome.OK, 1, 5, 1, 0, [], [pressure])


@pytest.fixture(scope="module")
def server():
    server = Server(PoolWire.Processor(EchoOwner()), "127.0.0.1", 0)
    server.start()
    yield server
    server.stop(timedelta())


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.binary(max_size=80), st.booleans())
def test_any_bytes_of_a_peer_leave_the_server_serving(server, data, is_framed):
    """Guards against one malformed message that ends the server or one of its threads."""
    address = Address("127.0.0.1", server.port)
    # The server closes a connection with unread bytes, which resets it, at any time.
    with (
        contextlib.suppress(OSError),
        socket.create_connection((address.host, address.port), 5) as conn,
    ):
        conn.sendall(struct.pack(">I", len(data)) + data if is_framed else data)
        conn.shutdown(socket.SHUT_WR)
        while conn.recv(4096):
            pass
    channels = ChannelPool(PoolWire.Client)
    req = wire.WorkflowRequest(wire.Header("r1", 1000, 1, "test", "t"), "a", "checks", b"")
    reply = channels.call(address, "status", req, timedelta(seconds=5))
    channels.close()
    assert reply.shown == "a"


HEADER = wire.Header("r1", 1000, 1, "test", "t")


@pytest.fixture
def channels(server):
    channels = ChannelPool(PoolWire.Client)
    yield functools.partial(channels.call, Address("127.0.0.1", server.port))
    channels.close()


@pytest.mark.parametrize("text", ["", "text", "\ufffd", "a\U0001f600\ufffdb"])
def test_texts_of_callers_and_workers_are_passed_on(channels, monkeypatch, text):
    """Guards against one text with U+FFFD that makes all commands or reports unreadable."""
    capacity = wire.Resources(1, 1, 0, 0)
    worker = wire.PoolWorker("w0", "1@w0", "s", "east", [], capacity, False, 0, "m0")
    report = wire.WorkerReport(
        HEADER, "10.0.0.1:7000", 1, worker, 5,
        [wire.RunStatus("a/0/0/0", 1, text, 5, 0)],
        [wire.RunEnd(1, "a/0/0/1", 1, wire.EndKind.DONE, text)],
        [wire.RunRefusal("a/0/0/2", 1, text, True)], False,
        unprofiled=[], listed=True,
    )  # fmt: skip
    reply = channels("report", report, timedelta(seconds=5))
    assert (reply.pressures[0].filling, reply.pressures[0].serving) == (text, text)
    req = wire.OrdersRequest(HEADER, "w0", "1@w0", 1, 0)
    monkeypatch.setattr(EchoOwner, "text", text)
    start = channels("orders", req, timedelta(seconds=5)).starts[0]
    assert (start.payload, start.checkpoint, start.profile.image) == (text, text, text)


@pytest.mark.parametrize("field", ["worker_id", "incarnation"])
def test_id_with_a_replacement_character_is_rejected(channels, field):
    """Guards against ids that become equal because their bytes cannot be read."""
    req = wire.OrdersRequest(HEADER, "w0", "1@w0", 1, 0)
    setattr(req, field, "\ufffd")
    with pytest.raises(ReplyLostError, match="not valid UTF-8"):
        channels("orders", req, timedelta(seconds=5))


WORKER = {
    "worker_id": "w0",
    "incarnation": "1",
    "data_centre": "east",
    "rack": "r1",
    "host": "10.0.0.1",
    "port": 7000,
    "capacity": wire.Resources(1000, 1000, 0, 8),
    "services": ["check"],
}
IDLE = wire.Load(0, 0, 0, WORKER["capacity"], False, 0)


class UnknownConfig:
    """The configuration before its first reading."""

    def view(self):
        return None

    def revision(self):
        return 0


def announce(fleet, load=IDLE, **change):
    service = EntryService(fleet, UnknownConfig(), None, list)
    worker = wire.WorkerDescription(**{**WORKER, **change})
    return service.announce(wire.AnnounceRequest(HEADER, worker, load)).outcome


@pytest.mark.parametrize(
    "change",
    [
        {"host": ""},
        {"host": "a\0b"},
        {"host": "a" * 100},
        {"port": 0},
        {"port": 65536},
        {"incarnation": ""},
        {"incarnation": "1" * 10_000},
        {"services": [""]},
        {"services": ["check", "a" * 10_000]},
        {"capacity": wire.Resources(1, 1, -1, 1)},
    ],
)
def test_odd_announcement_of_a_worker_leaves_the_last_one_in_force(change):
    """Guards against a worker that nothing can be sent to, in place of one that serves."""
    fleet = Fleet(CLOCK)
    assert announce(fleet) == Outcome.OK
    known = fleet.workers()
    assert announce(fleet, **change) == Outcome.INVALID
    assert fleet.workers() == known


@pytest.mark.parametrize("field", ["in_flight", "queued", "service_time_us", "pressure_permille"])
def test_negative_load_is_no_load(field):
    """Guards against a worker that gets all requests because of one odd number."""
    fleet = Fleet(CLOCK)
    load = wire.Load(0, 0, 0, WORKER["capacity"], False, 0)
    setattr(load, field, -(2**31))
    assert announce(fleet, load) == Outcome.OK
    assert getattr(fleet.workers()[0].load, field) == 0


# Addresses in the store

OWNER = {"entry_id": "e", "host": "10.0.0.1", "port": 7000, "incarnation": "1"}
ODD_ADDRESSES = [
    b"\xff",
    b"[" * 100_000,
    b'{"host": "10.0.0.1", "port": ' + b"9" * 5000 + b"}",
    *(
        json.dumps({**OWNER, **change}).encode()
        for change in (
            {"port": float("inf")},
            {"port": 0},
            {"port": 65536},
            {"port": True},
            {"port": "7000"},
            {"host": ""},
            {"host": "\ud800"},
            {"host": "\ufffd"},
            {"host": ["10.0.0.1"]},
            {"host": "10.0.0.1\n"},
        )
    ),
]


@pytest.mark.parametrize("value", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_odd_registration_leaves_the_other_entries_listed(value):
    """Guards against one record that ends the reading of the list or that workers cannot read."""
    store = FakeStore(CLOCK)
    store.put("entries/odd", value, 0)
    store.put("entries/e", json.dumps(OWNER).encode(), 0)
    options = EntryOptions("own", "1", "east", "10.0.0.9", "10.0.0.9", 7009, 0, 0)
    registration = EntryRegistration(store, None, options, lambda: Address("10.0.0.9", 7009), CLOCK)
    with logged_events() as events:
        registration.refresh()
        registration.refresh()
    assert registration.addresses() == ["10.0.0.1:7000", "10.0.0.9:7009"]
    assert events == [Event.MESSAGE_INVALID.value]


@pytest.mark.parametrize("value", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_odd_owner_of_a_shard_is_no_owner(value):
    """Guards against a record that fails the calls for a shard after its owner has changed."""
    clock = ManualClock()
    store = FakeStore(clock)
    directory = OwnerDirectory(store, clock)
    version = store.put("shards/0/owner", value, 0).version
    with logged_events() as events:
        assert directory.find(0) is None
        assert directory.find(0, fresh=True) is None
    assert events == [Event.MESSAGE_INVALID.value]
    store.put("shards/0/owner", json.dumps(OWNER).encode(), version)
    assert directory.find(0, fresh=True).address == Address("10.0.0.1", 7000)


@pytest.mark.parametrize("value", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_odd_owner_of_a_pool_is_no_owner(value):
    """Guards against a record that sends all calls for a pool to an address that nothing has."""
    store = FakeStore(CLOCK)
    directory = PoolOwnerDirectory(store, "pools/0/owner", CLOCK, random.Random(1))
    version = store.put("pools/0/owner", value, 0).version
    with logged_events() as events:
        directory.refresh()
        directory.refresh()
    assert directory.owner() is None
    assert events == [Event.MESSAGE_INVALID.value]
    store.put("pools/0/owner", json.dumps(OWNER).encode(), version)
    directory.refresh()
    assert directory.owner().address == Address("10.0.0.1", 7000)


# Settings

EXAMPLES = sorted((ROOT / "examples").glob("*/*-1.toml")) + sorted(
    (ROOT / "examples").glob("*/*-01.toml")
)


@pytest.mark.parametrize("example", EXAMPLES, ids=lambda path: f"{path.parent.name}/{path.name}")
@settings(max_examples=150)
@given(data=st.data())
def test_any_value_in_settings_is_taken_or_named(example, data):
    """Guards against settings that stop a process with a traceback instead of a clear error."""
    document = tomllib.loads(example.read_text())
    table = data.draw(st.sampled_from(sorted(document)))
    document[table] = data.draw(JSON | with_other_value(document[table]))
    try:
        parse(document)
    except SettingsError as exc:
        assert all(fault.startswith(table) for fault in exc.faults), exc.faults


# Journal records and snapshots

SPEC = WorkflowSpec("p", (StepSpec(count=2), StepSpec(after=(0,))))
EVENTS = [
    accepted_event("a", QUEUE, SPEC, 5),
    RunAssigned("a/0/0/0", 1, "w0", "1@w0", "m0", 5),
    RunEnded("a/0/0/0", 1, "done", 9, "c"),
    WorkflowCancelled("a", 12),
]


def make_pool():
    pool = Pool()
    for event in EVENTS:
        pool.apply(event)
    return pool


@settings(max_examples=300)
@given(
    st.sampled_from([encode_event(event) for event in EVENTS]).flatmap(with_other_value)
    | st.dictionaries(st.text(max_size=3), JSON)
)
def test_any_journal_record_is_decoded_or_invalid(raw):
    """Guards against a damaged record that is reported as an internal error of the owner."""
    try:
        event = decode_event(raw)
    except InvalidMessageError:
        return
    pool = Pool()
    pool.apply(EVENTS[0])
    pool.apply(event)


@settings(max_examples=300)
@given(st.data())
def test_any_snapshot_is_restored_or_invalid(data):
    """Guards against a damaged snapshot that is reported as an internal error of the owner."""
    raw = json.loads(json.dumps(make_pool().to_snapshot()))
    part = data.draw(st.sampled_from(sorted(raw)))
    if raw[part] and data.draw(st.booleans()):
        row = data.draw(st.integers(0, len(raw[part][0]) - 1))
        raw[part][0][row] = data.draw(JSON)
    else:
        raw[part] = data.draw(JSON)
    try:
        Pool.from_snapshot(raw)
    except InvalidMessageError:
        return

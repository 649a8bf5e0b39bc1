"""Tests that no malformed message and no unexpected error stops a process or one of its threads."""

import io
import json
import operator
import random
import threading
import types
from datetime import timedelta
from urllib.parse import urlencode

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from json_strategies import JSON, with_other_value
from log_events import logged_events
from mulberryslip import ManualClock, Resources, TaskClass, records
from mulberryslip.channels import validate
from mulberryslip.events import Event
from mulberryslip.exceptions import (
    ConfigError,
    InvalidMessageError,
    InventoryError,
    RuntimeAdapterError,
    StoreError,
)
from mulberryslip.outcomes import Committed, Conflict, Unknown
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.runners import EndKind, RunListing, RunnerError, StartCommand, StartRefusal
from mulberryslip.runtimes import HTTPRuntime
from mulberryslip.steps import MAX_AMOUNT, MAX_CHECKPOINT_CHARS, MAX_NAME_CHARS, StepSpec
from mulberryslip.stores import Listing, StoredValue
from mulberryslip.transports import HTTPResponse
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import MAX_SPEC_CHARS, RunAssigned
from mulberryslip_platform.documents import decode_config
from mulberryslip_platform.stores import PlatformStore
from mulberryslip_platform.vms import PlatformInventory
from mulberryslip_platform.workers import PlatformRunner, announcements_application
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.agents import COMMANDS_WAIT
from mulberryslipd.directories import PoolOwnerDirectory
from mulberryslipd.executions import AttemptReport, HeldAttempt, parse_runtime_id
from mulberryslipd.intents import PoolConfigSource
from mulberryslipd.members import check_report
from mulberryslipd.peers import WorkerThreadPool
from mulberryslipd.pools import MAX_ROUND_BYTES
from mulberryslipd.workers import report_to_wire
from pool_doubles import MS, PoolWorld
from thrift.TSerialization import deserialize, serialize

TASK = StepSpec(cpu_millis=1000, memory_mb=100)

BEAT = {
    "Service": "ledger",
    "Address": "10.0.0.9:8080",
    "Zone": "east",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1"],
    "Seq": 4,
    "born": 17,
    "Machine": "m1",
    "RemainingMs": 5,
}
LISTING = {"ClockMs": 5, "born": 17, "Running": [], "Ended": []}
ITEM = {"Key": "a", "Value": "eA==", "Rev": 3, "Created": 2, "Lease": 0}
HEADER = wire.Header("r1", 1000, 1, "test", "t")
ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "Prefix": "/a/",
    "Service": "ledger",
    "Priority": 1,
    "Attempts": 2,
    "Stretch": 1.5,
    "SloMs": 300,
}


class FixedTransport:
    """A transport whose server returns one body to every call."""

    def __init__(self, body, status=200):
        self._body = body
        self._status = status

    def send(self, *args, **kwargs):
        return HTTPResponse(self._status, {}, self._body)


# Malformed input at the boundary to the platform


@settings(max_examples=150)
@given(
    st.binary(max_size=20) | (with_other_value(BEAT) | JSON).map(lambda d: json.dumps(d).encode())
)
def test_any_announcement_gets_a_response(body):
    """Guards against an announcement of another writer that ends the thread that reads it."""
    taken, statuses = [], []
    application = announcements_application(taken.append, taken.append)
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": "/-/instances/w0",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    application(environ, lambda status, head: statuses.append(status))
    assert statuses == [["400 Bad Request"], ["200 OK"]][len(taken)]


@pytest.mark.parametrize("length", ["x", "-1", str(2**40)])
def test_announcement_of_unusable_length_is_refused(length):
    """Guards against an announcement that fills the memory, or that is never answered."""
    statuses = []
    application = announcements_application(None, None)
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": "/-/instances/w0",
        "CONTENT_LENGTH": length,
        "wsgi.input": io.BytesIO(b"{}"),
    }
    application(environ, lambda status, head: statuses.append(status))
    assert statuses == ["400 Bad Request"]


def test_announcement_under_an_overlong_id_is_refused():
    """Guards against a worker id that no journal record can hold."""
    statuses = []
    body = json.dumps(BEAT).encode()
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": "/-/instances/" + "w" * 300,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    announcements_application(None, None)(environ, lambda status, head: statuses.append(status))
    assert statuses == ["400 Bad Request"]


def wire_form(announcement, listing=None):
    """Return the agent's report as its owner decodes it."""
    agent, _ = PoolWorld(workers=1).agents["w0"]
    req = agent._report_request(announcement, listing, [], False)
    decoded = deserialize(wire.WorkerReport(), serialize(req))
    validate(decoded)
    check_report(decoded)
    return decoded


def announce(document, worker_id="w0"):
    """Return the announcements that are taken from a call, and the status of its response."""
    taken, statuses = [], []
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": f"/-/instances/{worker_id}",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    application = announcements_application(taken.append, None)
    application(environ, lambda status, head: statuses.append(status))
    return taken, statuses[0]


@settings(max_examples=150, deadline=None)
@given(
    with_other_value(BEAT)
    | with_other_value(BEAT["Capacity"]).map(lambda capacity: {**BEAT, "Capacity": capacity})
    | st.integers().map(lambda number: {**BEAT, "RemainingMs": number, "born": number})
)
def test_any_announcement_that_is_taken_can_be_reported(document):
    """Guards against an announcement with which each report to the owner fails."""
    for announcement in announce(document)[0]:
        assert wire_form(announcement).worker.worker_id == "w0"


@pytest.mark.parametrize(
    "change",
    [
        {"Capacity": {"Cpu": 2**31, "MemMb": 1}},
        {"Capacity": {"Cpu": 1, "MemMb": 1e300}},
        {"Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 2**31}},
        {"RemainingMs": 2**31},
        {"Seq": 2**70},
        {"Seq": float("nan")},
        {"born": 2**70},
        {"born": 10**15},
        {"Labels": ["a"] * 70_000},
        {"Labels": ["\ufffd"]},
        {"Zone": "\ufffd"},
        {"Service": "\ufffd"},
        {"Machine": "\ufffd"},
    ],
)
def test_announcement_that_cannot_be_reported_is_refused(change):
    """Guards against one odd number or text that makes the worker's lease expire."""
    assert announce({**BEAT, **change}) == ([], "400 Bad Request")


def test_announcement_without_an_id_is_refused():
    """Guards against a worker that nobody can address."""
    assert announce(BEAT, "") == ([], "400 Bad Request")


ROWS = st.lists(st.lists(JSON, max_size=6) | JSON, max_size=2)


@settings(max_examples=150)
@given(
    with_other_value(LISTING)
    | st.tuples(st.sampled_from(["Running", "Ended"]), ROWS).map(
        lambda rows: {**LISTING, rows[0]: rows[1]}
    )
)
def test_any_listing_is_decoded_or_a_runner_error(document):
    """Guards against a worker's response that ends the thread that renews its lease."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    runner._transport = FixedTransport(json.dumps(document).encode())
    try:
        listing = runner.extend_lease("w0", 1, 0, 0, 0 * MS)
    except RunnerError:
        return
    assert isinstance(listing, RunListing)


RUNNING = ["a.0.0.0", 1, "", 41, 7]
ENDED = [1, "a.0.0.1", 1, "done", "c"]


def list_runs(runner, **rows):
    runner._transport = FixedTransport(json.dumps({**LISTING, **rows}).encode())
    return runner.extend_lease("w0", 1, 0, 0, 0 * MS)


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        ("a.0.0.9", None),
        ([], None),
        ([["a.0.0.9"], 1, "", 0], None),
        (["\ufffd", 1, "", 0], None),
        (["a.0.0.9", 1, 5, 41], ("", 41, 0)),
        (["a.0.0.9", 1, "\ud800", 41], ("", 41, 0)),
        (["a.0.0.9", 1, "c"], ("c", 0, 0)),
        (["a.0.0.9", 1, "c", -1], ("c", 0, 0)),
        (["a.0.0.9", 1, "c", float("inf")], ("c", 0, 0)),
        (["a.0.0.9", 1, "c", 41, 2**31], ("c", 41, 0)),
        (["a.0.0.9", 1, "c", 41, "fast"], ("c", 41, 0)),
    ],
)
def test_odd_row_of_a_run_leaves_the_others_listed(row, expected):
    """Guards against one odd value with which no later listing of the worker is read."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    with logged_events() as events:
        listing = [list_runs(runner, Running=[RUNNING, row], Ended=[ENDED]) for _ in range(3)][-1]
    decoded = wire_form(announce(BEAT)[0][0], listing)
    assert decoded.running[0] == wire.RunStatus("a/0/0/0", 1, "", 41, 7)
    assert decoded.ended == [wire.RunEnd(1, "a/0/0/1", 1, wire.EndKind.DONE, "c")]
    odd = [(run.checkpoint, run.progress_percent, run.gauge) for run in decoded.running[1:]]
    assert odd == ([expected] if expected else [])
    assert events == [Event.MESSAGE_INVALID.value]


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (5, None),
        ([2], None),
        ([2**31, "a.0.0.9", 1, "done", "c"], None),
        ([-1, "a.0.0.9", 1, "done", "c"], None),
        ([2, "a.0.0.9", 2**31, "done", "c"], None),
        ([2, "a.0.0.9", 1, "vanished", "c"], (EndKind.LAPSED, "c")),
        ([2, "a.0.0.9", 1, ["done"], "c"], (EndKind.LAPSED, "c")),
        ([2, "a.0.0.9", 1, "done", 7], (EndKind.DONE, "")),
        ([2, "a.0.0.9", 1, "done"], (EndKind.DONE, "")),
    ],
)
def test_odd_row_of_an_end_leaves_the_others_listed(row, expected):
    """Guards against one odd value with which no later listing of the worker is read."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    with logged_events() as events:
        listing = [list_runs(runner, Running=[RUNNING], Ended=[ENDED, row]) for _ in range(3)][-1]
    assert wire_form(announce(BEAT)[0][0], listing).running[0].task == "a/0/0/0"
    assert listing.ended[0].kind is EndKind.DONE
    odd = [(end.kind, end.checkpoint) for end in listing.ended[1:]]
    assert odd == ([expected] if expected else [])
    assert events == [Event.MESSAGE_INVALID.value]


@pytest.mark.parametrize("run", ["1", -1, 2**31, None])
def test_listing_with_an_unreadable_run_number_is_invalid(run):
    """Guards against a second start of a task whose active run is passed over."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    with pytest.raises(RunnerError):
        list_runs(runner, Running=[RUNNING, ["a.0.0.9", run, "", 0]])


@pytest.mark.parametrize("number", [2**63, 1e300, 10**15, -1])
def test_listing_with_an_unusable_clock_is_invalid(number):
    """Guards against a clock that no message can hold, or that makes later listings look older."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    with pytest.raises(RunnerError):
        list_runs(runner, ClockMs=number)


@pytest.mark.parametrize("reason", [["fence"], {}, 5, None])
def test_odd_reason_of_a_refusal_is_a_refusal(reason):
    """Guards against a start whose refusal its owner never learns."""
    runner = PlatformRunner("http://127.0.0.1:9", ManualClock())
    runner._transport = FixedTransport(json.dumps({"Reason": reason}).encode(), 409)
    command = StartCommand("a/0/0/0", 1, "p", "", 5)
    assert runner.start("w0", command, 1) is StartRefusal.INVALID


AMOUNTS = {"cpu_millis": 1, "memory_mb": 2, "accelerators": 0, "slots": 1}
RUNTIME_TASK = {
    "task_id": "job/0/1",
    "state": "running",
    "checkpoint": "c",
    "result": "",
    "reason": "",
    "usage": AMOUNTS,
    "throttle_permille": 1000,
    "template": "t",
    "resources": AMOUNTS,
}


def make_report(task):
    """Return the worker's report of a task that the runtime lists."""
    held = HeldAttempt(
        attempt=parse_runtime_id(task.task_id),
        shard=0,
        template=task.template,
        task_class=TaskClass.BATCH,
        resources=task.resources,
        started=timedelta(),
        checkpoint=task.checkpoint,
        result=task.result,
        reason=task.reason,
        usage=task.usage,
        throttle_permille=task.throttle_permille,
    )
    return AttemptReport(held, 1)


def runtime_with(body):
    runtime = HTTPRuntime("http://127.0.0.1:9")
    runtime._http = types.SimpleNamespace(
        request=lambda *args, **kwargs: types.SimpleNamespace(status=200, data=body)
    )
    return runtime


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"task_id": 5}, None),
        ({"task_id": "\ud800/1/1"}, None),
        ({"checkpoint": None}, {"checkpoint": ""}),
        ({"result": "\ud800"}, {"result": ""}),
        ({"reason": {}}, {"reason": ""}),
        ({"template": 5}, {"template": ""}),
        ({"throttle_permille": "all"}, {"throttle_permille": 1000}),
        ({"throttle_permille": 2**31}, {"throttle_permille": 1000}),
        ({"usage": None}, {"usage": Resources()}),
        ({"usage": {**AMOUNTS, "cpu_millis": 2**31}}, {"usage": Resources()}),
        ({"usage": {**AMOUNTS, "cpu_millis": -1}}, {"usage": Resources()}),
        ({"usage": {**AMOUNTS, "watts": 1}}, {"usage": Resources()}),
        ({"resources": {**AMOUNTS, "slots": 1.5}}, {"resources": Resources()}),
    ],
)
def test_odd_task_of_the_runtime_leaves_the_others_listed(change, expected):
    """Guards against one odd value with which the worker learns of no end of a task."""
    rows = [RUNTIME_TASK, {**RUNTIME_TASK, "task_id": "job/1/1", **change}]
    runtime = runtime_with(json.dumps({"tasks": rows}).encode())
    with logged_events() as events:
        tasks = [runtime.tasks() for _ in range(3)][-1]
    for task in tasks:
        report = report_to_wire(make_report(task))
        validate(deserialize(wire.TaskReport(), serialize(report)))
    assert tasks[0].task_id == "job/0/1"
    odd = [{name: getattr(task, name) for name in expected} for task in tasks[1:]]
    assert odd == ([expected] if expected else [])
    assert events == [Event.MESSAGE_INVALID.value]


@pytest.mark.parametrize("change", [{"state": "paused"}, {"state": ["running"]}])
def test_list_with_an_unreadable_state_of_a_task_is_invalid(change):
    """Guards against a second start of a task that runs although its row is passed over."""
    body = json.dumps({"tasks": [{**RUNTIME_TASK, **change}]}).encode()
    with pytest.raises(RuntimeAdapterError):
        runtime_with(body).tasks()


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"[" * 100_000, b"9" * 5000])
def test_unreadable_response_of_the_runtime_is_an_adapter_error(body):
    """Guards against a response that ends the thread that renews the leases."""
    with pytest.raises(RuntimeAdapterError):
        runtime_with(body).tasks()


@pytest.mark.parametrize(
    "task_id",
    ["job", "job/x/1", "\ufffd/0/1", f"job/{2**31}/1", f"job/0/{2**31}", "job/0/" + "9" * 5000],
)
def test_odd_id_of_a_task_names_no_attempt(task_id):
    """Guards against an attempt that no report can hold."""
    assert parse_runtime_id(task_id) is None


class PagedTransport:
    """A store that returns each page once, and the first one again without `After`."""

    def __init__(self, *pages):
        self._pages = pages
        self.calls = 0

    def send(self, method, path, fields, *args, **kwargs):
        self.calls += 1
        page = 1 if path == "/-/kv-range" and "After" in fields else 0
        body = {**self._pages[page], "AsOf": 9, "Truncated": page + 1 < len(self._pages)}
        return HTTPResponse(200, {}, json.dumps(body).encode())


@pytest.mark.parametrize(
    "row",
    [
        5,
        None,
        {},
        {**ITEM, "Key": None},
        {**ITEM, "Key": ["a"]},
        {**ITEM, "Key": "\ud800"},
        {**ITEM, "Value": "="},
        {**ITEM, "Rev": -1},
        {**ITEM, "Rev": 2**70},
    ],
)
def test_odd_item_of_the_store_leaves_the_others_listed(row):
    """Guards against one item that ends the reading of a list, or that hides its next page."""
    store = PlatformStore("http://127.0.0.1:9")
    last = {**ITEM, "Key": "b"}
    pages = {"items": [ITEM, row], "events": [ITEM, row]}, {"items": [last]}
    store._transport = PagedTransport(*pages)
    with logged_events() as events:
        for _ in range(3):
            assert [stored.key for stored in store.list("").values] == ["a", "b"]
        assert store._transport.calls == 6
        store._transport = PagedTransport(pages[0])
        assert [stored.key for stored in store.watch("", 1, 0 * MS).values] == ["a"]
    assert events == [Event.MESSAGE_INVALID.value]


def test_page_without_a_readable_key_is_an_error():
    """Guards against reading the same page a thousand times."""
    store = PlatformStore("http://127.0.0.1:9")
    store._transport = PagedTransport({"items": [{**ITEM, "Key": None}]}, {"items": [ITEM]})
    with pytest.raises(StoreError):
        store.list("")
    assert store._transport.calls == 1


@settings(max_examples=150)
@given(
    st.sampled_from(["items", "events"]),
    st.lists(with_other_value(ITEM) | JSON, max_size=2) | JSON,
    st.just(4) | JSON,
)
def test_any_store_response_is_decoded_or_a_store_error(name, rows, as_of):
    """Guards against a store response that ends the thread that watches the store."""
    store = PlatformStore("http://127.0.0.1:9")
    body = json.dumps({name: rows, "AsOf": as_of, "Rev": as_of, **ITEM}).encode()
    store._transport = FixedTransport(body)
    for read in (lambda: store.list("a"), lambda: store.watch("a", 1, MS)):
        try:
            values = read().values
        except StoreError:
            continue
        for value in values:
            assert (type(value.key), type(value.value), type(value.version)) == (str, bytes, int)
    assert isinstance(store.put("a", b"x", 0), Committed | Conflict | Unknown)


@settings(max_examples=150)
@given(
    JSON
    | with_other_value({"Version": 7, "Routes": [ROUTE]})
    | with_other_value(ROUTE).map(lambda route: {"Version": 7, "Routes": [route]})
)
def test_any_configuration_is_decoded_or_a_config_error(document):
    """Guards against a configuration that ends its thread, or that no journal record can hold."""
    stored = StoredValue("op/config", json.dumps(document).encode(), 1)
    try:
        config = decode_config({"op/config": stored})
    except ConfigError:
        return
    for queue in config.queues.values():
        assert records.decode(Queue, records.encode(queue)) == queue


@pytest.mark.parametrize(
    "document",
    [
        {"Version": 2**63, "Routes": [ROUTE]},
        {"Version": 1e300, "Routes": [ROUTE]},
        {"Version": -1, "Routes": [ROUTE]},
        {"Version": True, "Routes": [ROUTE]},
        {"Version": "7", "Routes": [ROUTE]},
        {"Version": 2, "Routes": {}},
        {"Version": 2, "Routes": "x"},
    ],
)
def test_odd_configuration_leaves_the_last_one_in_force(document):
    """Guards against a version after which no other counts, and against losing all routes."""
    clock = ManualClock()
    store = FakeStore(clock)
    source = PoolConfigSource(store, "op/", decode_config, clock, random.Random(1))
    written = store.put("op/config", json.dumps({"Version": 1, "Routes": [ROUTE]}).encode(), 0)
    known = source.refresh()
    written = store.put("op/config", json.dumps(document).encode(), written.version)
    with logged_events() as events:
        source.refresh()
        source.refresh()
    assert source.config() == known
    assert events == [Event.CONFIG_REFUSED.value]
    store.put("op/config", json.dumps({"Version": 3, "Routes": []}).encode(), written.version)
    assert source.refresh().revision == 3


@pytest.mark.parametrize("value", ['{"host": "x", "port": 1e999}', '{"host": "x", "port": -1}'])
def test_owner_key_of_another_writer_is_ignored(value):
    """Guards against an owner key that ends the thread that watches it."""
    world = PoolWorld(workers=1)
    world.store.put("pools/0/owner", value.encode(), 0)
    agent, directory = world.agents["w0"]
    directory.refresh()
    assert directory.owner() is None


# Unexpected errors in threads


class FailingStore:
    """A store whose first calls fail in a way that its callers do not expect.

    :param stop: set once a later call has returned.
    """

    def __init__(self, stop, failures=3):
        self._stop = stop
        self._failures = failures

    def _call(self, *args):
        if self._failures:
            self._failures -= 1
            raise AttributeError("unexpected")
        self._stop.set()
        return Listing((), 1)

    list = watch = _call


def make_directory(store):
    return PoolOwnerDirectory(store, "k", ManualClock(), random.Random(1))


def make_source(store):
    return PoolConfigSource(
        store, "op/", lambda documents: PoolConfig(), ManualClock(), random.Random(1)
    )


@pytest.mark.parametrize("make", [make_directory, make_source])
def test_watching_thread_survives_unexpected_errors(make):
    """Guards against a process that never again hears of a new owner or configuration."""
    stop = threading.Event()
    make(FailingStore(stop)).run(stop)
    assert stop.is_set()


def test_unexpected_error_in_a_takeover_does_not_end_the_owner_thread(monkeypatch):
    """Guards against a process that can never own the pool again."""
    world = PoolWorld(workers=2)
    epoch = world.elect()._term.epoch
    _, directory = world.agents["w1"]
    directory.refresh()
    monkeypatch.setattr(directory, "refresh", lambda: 1 / 0)
    world.owners["w1"].request_takeover(epoch)
    world.owners["w1"].release_for_takeover()
    assert world.store.state.get("pools/0/owner") is None


@pytest.mark.parametrize("method", ["delete", "revoke_lease"])
def test_unexpected_error_at_the_end_of_an_ownership_does_not_end_the_owner_thread(
    monkeypatch, method
):
    """Guards against a process that can never own the pool again."""
    world = PoolWorld(workers=2)
    owner = world.elect()
    monkeypatch.setattr(world.store, method, lambda *_: 1 / 0)
    owner.resign("no longer owner")
    monkeypatch.undo()
    world.clock.advance(timedelta(seconds=10))
    assert world.elect() is owner


@pytest.mark.parametrize("threads_before", [0, 1])
def test_thread_that_cannot_start_leaves_calls_to_workers_possible(monkeypatch, threads_before):
    """Guards against an owner that calls its workers no more since a thread could not start."""
    pool = WorkerThreadPool("test", max_threads=2)
    for number in range(threads_before):
        assert pool.submit(f"earlier-{number}", lambda: "done").result(timeout=5) == "done"

    def fail(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", fail)
    worker_ids = ["w1", "w2", "w3"]
    try:
        futures = [pool.submit(worker_id, lambda: "done") for worker_id in worker_ids]
        failures = [type(fut.exception(timeout=5)) for fut in futures]
        assert failures == [RuntimeError if not threads_before else type(None)] * 3
        monkeypatch.undo()
        futures = [pool.submit(worker_id, lambda: "done") for worker_id in worker_ids]
        assert [fut.result(timeout=5) for fut in futures] == ["done"] * 3
    finally:
        pool.stop()


# Malformed messages to the owner of the pool


@pytest.fixture
def world():
    world = PoolWorld()
    world.elect()
    world.run(3)
    return world


def report_of(world, **changes):
    """Return the report of the first worker, with some fields changed."""
    agent, _ = world.agents["w0"]
    listing = world.workers[0].extend_lease("w0", agent._grant.fence, 0, 0, 0 * MS)
    req = agent._report_request(agent._announcement, listing, [], False)
    for name, value in changes.items():
        setattr(req, name, value)
    return req


def assert_serves(world, workflow_id="z"):
    """Check that a task still runs to its end under the same owner."""
    epoch = world.owner()._term.epoch
    assert world.submit(workflow_id).outcome == Outcome.OK
    world.run(12)
    assert world.shown(workflow_id) == "completed"
    assert world.owner()._term.epoch == epoch
    assert world.history.violations == []


END = wire.RunEnd(1, "a/0/0/0", 1, wire.EndKind.DONE, "")


@pytest.mark.parametrize(
    "changes",
    [
        {"ended": [wire.RunEnd(1, "a/0/0/0", 1, 99, "")]},
        {"ended": [wire.RunEnd(-1, "a/0/0/0", 1, wire.EndKind.DONE, "")]},
        {"ended": [END, wire.RunEnd(2, "", -5, wire.EndKind.DONE, "")]},
        {"running": [wire.RunStatus("a/0/0/0", -1, "", 900, -7)]},
        {"clock_ms": -1},
        {"worker": "w" * 300},
    ],
)
def test_malformed_report_is_rejected_alone(world, changes):
    """Guards against a report that ends the ownership, and then that of each successor."""
    req = report_of(world)
    worker_id = changes.pop("worker", None)
    for name, value in changes.items():
        setattr(req, name, value)
    if worker_id:
        req.worker.worker_id = worker_id
    assert world.owner().report(req).outcome == Outcome.INVALID
    world.step_owners()
    assert_serves(world)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("clock_ms", 2**63 - 1),
        ("clock_ms", 2**62),
        ("worker.capacity.accelerators", -1),
        ("worker.capacity.slots", -1),
        ("ended", [wire.RunEnd(2**62, "a/0/0/0", 1, wire.EndKind.DONE, "")]),
        ("worker.worker_id", ""),
        ("worker.incarnation", ""),
    ],
)
def test_report_with_an_extreme_value_changes_nothing(world, path, value):
    """Guards against one value after which no later report of the worker counts."""
    req = report_of(world)
    target, _, name = path.rpartition(".")
    setattr(operator.attrgetter(target)(req) if target else req, name, value)
    reply = world.owner().report(req)
    serialize(reply)
    assert reply.outcome == Outcome.INVALID
    world.step_owners()
    assert_serves(world)


@pytest.mark.parametrize("wait_ms", [2**31 - 1, -(2**31)])
def test_wait_for_commands_has_a_limit(world, monkeypatch, wait_ms):
    """Guards against calls that keep all connections of the owner for days."""
    worker = world.agents["w0"][0]._announcement
    req = wire.OrdersRequest(HEADER, "w0", worker.incarnation, 1, wait_ms)
    waits = []
    monkeypatch.setattr(world.clock, "wait", lambda event, timeout: waits.append(timeout))
    world.owner().orders(req)
    assert [0 * MS <= timeout <= 2 * COMMANDS_WAIT for timeout in waits] == [True]


def test_unexpected_error_in_one_call_does_not_end_the_ownership(world, monkeypatch):
    """Guards against one call that the owner cannot decide and that ends its term."""
    scheduler = world.owner()._scheduler
    reconcile = scheduler.reconcile

    def fail_once(*args):
        monkeypatch.setattr(scheduler, "reconcile", reconcile)
        raise KeyError("unexpected")

    monkeypatch.setattr(scheduler, "reconcile", fail_once)
    assert_serves(world)


@pytest.mark.parametrize("part", ["lost_runs", "new_checkpoints", "learned_interference"])
def test_unexpected_error_in_one_part_of_a_round_does_not_end_the_ownership(
    world, monkeypatch, part
):
    """Guards against a decision that fails in every round and leaves the pool without an owner."""

    def fail(*args):
        raise ZeroDivisionError

    monkeypatch.setattr(world.owner()._scheduler, part, fail)
    assert_serves(world)


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (attrs.evolve(TASK, estimate_ms=MAX_AMOUNT), Outcome.OK),
        (attrs.evolve(TASK, estimate_ms=records.MAX_NUMBER), Outcome.OK),
        (attrs.evolve(TASK, fills=True, cpu_millis=MAX_AMOUNT), Outcome.OK),
        (attrs.evolve(TASK, fills=True, cpu_millis=MAX_AMOUNT + 1), Outcome.INVALID),
        (attrs.evolve(TASK, lasting=True, target_ms=MAX_AMOUNT + 1), Outcome.INVALID),
    ],
)
def test_extreme_amounts_do_not_end_the_ownership(world, step, outcome):
    """Guards against an accepted workflow that no owner can schedule."""
    assert world.submit("a", step).outcome == outcome
    world.run(3)
    assert_serves(world)


@pytest.mark.parametrize(
    ("workflow_id", "payload"), [("w" * (MAX_NAME_CHARS + 1), ""), ("a", "x" * (MAX_SPEC_CHARS))]
)
def test_submission_that_no_record_can_hold_is_refused(world, workflow_id, payload):
    """Guards against a submission that is accepted but neither stored nor run."""
    body = json.dumps({"payload": payload, "steps": [{"count": 1}]}).encode()
    assert world.call("submit", workflow_id, body).outcome == Outcome.INVALID
    assert_serves(world)


def test_extreme_parameters_of_a_queue_do_not_end_the_ownership(world):
    """Guards against a configuration with which no owner can schedule."""
    extreme = Queue(
        "extreme",
        prefix="/x/",
        service="ledger",
        stretch_permille=records.MAX_NUMBER,
        slack_ms=records.MAX_NUMBER,
    )
    for source in world.sources.values():
        source.value = PoolConfig.from_queues(2, [*source.value.queues.values(), extreme])
    world.submit("a", attrs.evolve(TASK, estimate_ms=60_000), queue="extreme")
    world.run(3)
    assert_serves(world)


def test_overlong_checkpoint_does_not_damage_the_journal(world):
    """Guards against a journal record that the next owner cannot read."""
    step = attrs.evolve(TASK, checkpoints=True)
    checkpoint = "c" * (MAX_CHECKPOINT_CHARS + 1)
    world.workers[0]._checkpoint = world.workers[1]._checkpoint = lambda run: checkpoint
    world.workers[2]._checkpoint = lambda run: checkpoint
    for worker in world.workers:
        worker.run_ms = lambda name: 3000
    world.submit("a", step)
    world.run(10)
    world.owner().resign("test")
    world.elect(world.workers[1])
    world.run(20)
    assert world.shown("a") == "completed"


def test_large_submissions_are_divided_among_records(world):
    """Guards against a record over the store's limit, which the owner would repeat for ever."""
    rng = random.Random(1)
    payload = "".join(chr(rng.randrange(0x4E00, 0x9FFF)) for _ in range(20_000))
    owner = world.owner()
    bodies = [
        json.dumps({"payload": payload + str(number), "steps": [{"count": 1}]}).encode()
        for number in range(20)
    ]
    assert sum(map(len, bodies)) > 4 * MAX_ROUND_BYTES
    term = owner._term
    outcomes = []

    def submit(number):
        header = wire.Header("r1", 1000, 1, "test", "t")
        req = wire.WorkflowRequest(header, f"a{number}", "checks", bodies[number])
        outcomes.append(owner.submit(req).outcome)

    world.clock.on_wait = lambda: threading.Event().wait(0.005)
    threads = [threading.Thread(target=submit, args=(number,)) for number in range(20)]
    with term.lock:
        for thread in threads:
            thread.start()
    while any(thread.is_alive() for thread in threads):
        owner.step()
    assert len(outcomes) == 20


def test_event_that_no_record_can_hold_is_refused():
    """Guards against a journal that no later owner can read."""
    with pytest.raises(InvalidMessageError):
        records.check(RunAssigned("a/0/0/0", 1, "w" * 300, "1@w0", "m0", 5))


# The platform's list of VMs


class ListingTransport:
    """Transport that returns the pages of a list."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)

    def send(self, method, path, query, body):
        urlencode(query)
        return HTTPResponse(200, {}, self._bodies.pop(0))


@pytest.mark.parametrize(
    "page",
    [
        b"",
        b"[" * 100_000,
        b'{"Machines": [{"Machine": ' + b"9" * 5000 + b"}]}",
        b"[]",
        b'{"Machines": [], "NextToken": "\\ud800"}',
    ],
    ids=["empty", "nested", "digits", "list", "surrogate"],
)
def test_unreadable_list_of_vms_is_an_inventory_error(page):
    """Guards against a damaged list that is reported as an internal error of the owner."""
    inventory = PlatformInventory("http://127.0.0.1:1", 1000 * MS, ManualClock())
    inventory._transport = ListingTransport(page, b'{"Machines": []}')
    with pytest.raises(InventoryError):
        inventory.workers_by_vm()

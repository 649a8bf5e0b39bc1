"""HTTP interface for operators: concurrent changes, resends, lost responses and outages."""

import json
import random
import threading
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import SystemClock
from mulberryslip.changes import Stale
from mulberryslip.configs import CONFIG_KEY, ConfigView
from mulberryslip.exceptions import StoreError
from mulberryslip_testing.applications import call_application
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.operators import OperatorInterface
from mulberryslipd.responses import Drain, not_found
from mulberryslipd.sources import ConfigSource, ConfigWriter

ACCOUNT = {"cpu_millis": 1000, "memory_mb": 1000}
TEMPLATE = {"class": "service", "account": "granite-hollow", "parameters": {"deadline_ms": 500}}


class FakeStatusReports:
    """Fake without jobs, shards or metrics."""

    def workers(self):
        return [{"worker_id": "w1"}]

    def jobs(self):
        return []

    def job(self, job_id, request_id):
        raise not_found(f"job {job_id!r} is unknown")

    def shards(self):
        return []

    def metrics(self):
        return {"counters": {}, "histograms": []}

    def explain_job(self, job_id, request_id):
        return ["waits"]

    def explain_worker(self, worker_id):
        raise not_found("no such worker")


class UncheckedRevisionWriter(ConfigWriter):
    """Test double that treats every change as based on the current revision."""

    def _try_write(self, change, based_on, change_id, operator):
        outcome = super()._try_write(change, based_on, change_id, operator)
        # Another writer may change the document between any two reads.
        while isinstance(outcome, Stale):
            outcome = super()._try_write(change, outcome.revision, change_id, operator)
        return outcome


class NoChangeIdWriter(ConfigWriter):
    """Test double that ignores the change id."""

    def write(self, change, based_on, change_id="", operator=""):
        return super().write(change, self._source.refresh().revision, "", operator)


class Entry:
    """Operator interface of one entry."""

    def __init__(self, store, writer=ConfigWriter, timeout=timedelta(milliseconds=500)):
        clock = SystemClock()
        self.source = ConfigSource(store, clock)
        drain = Drain(clock)
        config_writer = writer(store, self.source, clock, random.Random(1), timeout)
        self.application = OperatorInterface(
            self.source, config_writer, FakeStatusReports(), drain
        ).application()

    def call(self, method, uri, document=None, **headers):
        body = b"" if document is None else json.dumps(document).encode()
        named = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        return call_application(self.application, method, uri, body, named)

    def set_data_centre(self, name, state, revision, **headers):
        uri = f"/v1/data-centres/{name}"
        return self.call("PUT", uri, {"state": state}, If_Revision=revision, **headers)

    def config(self):
        return self.call("GET", "/v1/config").json()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def entry(store):
    entry = Entry(store)
    assert entry.set_data_centre("concord", "in", 0).json()["revision"] == 1
    return entry


def test_change_is_accepted_and_shown_by_every_entry(store, entry):
    """Guards against an accepted change that another entry does not return at once."""
    assert entry.call("PUT", "/v1/accounts/granite-hollow", ACCOUNT, If_Revision=1).status == 200
    result = entry.call("PUT", "/v1/templates/check", TEMPLATE, If_Revision='"2"', Operator="ann")
    assert (result.status, result.json()["revision"], result.headers["ETag"]) == (200, 3, '"3"')
    other = Entry(store).call("GET", "/v1/config")
    assert other.headers["ETag"] == '"3"'
    assert other.json()["templates"]["check"]["parameters"]["deadline_ms"] == 500
    assert other.json()["changes"][-1]["operator"] == "ann"
    unchanged = Entry(store).call("GET", "/v1/config", If_None_Match='"3"')
    assert (unchanged.status, unchanged.body) == (304, b"")
    assert entry.call("DELETE", "/v1/templates/check", {}, If_Revision=3).status == 200
    assert entry.config()["templates"] == {}


def test_conflicting_change_is_refused_with_what_changed(store, entry):
    """Guards against a lost update between operators who use different entries."""
    other = Entry(store)
    entry.set_data_centre("salem", "in", 1, Operator="ann")
    result = other.set_data_centre("concord", "out", 1, Operator="bob")
    assert result.status == 409
    assert result.json()["error"]["code"] == "conflict"
    assert result.json()["revision"] == 2
    assert result.json()["changed"] == ["revision 2 by ann: data centre salem added: state in"]
    assert "salem" in result.json()["error"]["message"]
    assert entry.config()["data_centres"]["concord"]["state"] == "in"


def run_race(store, writer):
    """Make 8 changes at each of two entries at once; each refused one is retried."""
    entries = [Entry(store, writer, timedelta(seconds=5)) for _ in range(2)]
    barrier = threading.Barrier(2)
    accepted = []

    def work(number, entry):
        for step in range(8):
            revision = entry.config()["revision"]
            barrier.wait()
            while True:
                account = {**ACCOUNT, "weight": step + 1}
                uri = f"/v1/accounts/a{number}-{step}"
                result = entry.call("PUT", uri, account, If_Revision=revision)
                if result.status == 200:
                    accepted.append(result.json()["revision"])
                    break
                revision = result.json()["revision"]
                refused.append(result.json()["changed"])

    refused = []
    threads = [threading.Thread(target=work, args=pair) for pair in enumerate(entries)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return accepted, refused, entries[0].config()


def test_concurrent_changes_are_not_lost():
    """Guards against a lost update when two operators write to the same document at once."""
    accepted, refused, config = run_race(FakeStore(), ConfigWriter)
    assert sorted(accepted) == list(range(1, 17))
    assert len(config["accounts"]) == 16
    assert len(refused) >= 8
    assert all(lines for lines in refused)


def test_concurrent_changes_are_not_refused_without_the_revision_check():
    """Shows that the check is needed: without it no conflicting change is refused."""
    _, refused, _ = run_race(FakeStore(), UncheckedRevisionWriter)
    assert refused == []


class HookStore(FakeStore):
    """Store that calls a function before one of its calls."""

    def __init__(self):
        super().__init__()
        self.hook_by_call = {}
        self.calls = 0

    def get(self, key):
        self._run_hook()
        return super().get(key)

    def put(self, key, *args):
        self._run_hook()
        return super().put(key, *args)

    def _run_hook(self):
        self.calls += 1
        self.hook_by_call.pop(self.calls, lambda: None)()


@pytest.mark.parametrize("call", [1, 2])
def test_writer_without_the_revision_check_refuses_no_change_made_meanwhile(call):
    """Guards against the test above failing because of a change between two calls of the store."""
    store = HookStore()
    entry, other = Entry(store, UncheckedRevisionWriter), Entry(store)
    other.set_data_centre("concord", "in", 0)
    store.calls = 0
    store.hook_by_call[call] = lambda: other.set_data_centre("salem", "in", 1)
    assert entry.set_data_centre("ipswich", "in", 1).status == 200
    assert set(entry.config()["data_centres"]) == {"concord", "salem", "ipswich"}


@pytest.mark.parametrize("lose", ["lose_responses", "lose_writes"])
def test_write_with_a_lost_store_response_is_read_back(store, entry, lose):
    """Guards against a change that is made twice, or made but reported as failed."""
    getattr(store, lose)(1)
    result = entry.set_data_centre("concord", "out", 1)
    assert (result.status, result.json()["revision"]) == (200, 2)
    assert len(entry.config()["changes"]) == 2


def test_resent_change_returns_the_first_revision(store, entry):
    """Guards against a resend that is refused as a conflict or applied again."""
    first = entry.set_data_centre("concord", "out", 1, Change_Id="c-1")
    entry.set_data_centre("salem", "in", 2)
    resent = Entry(store).set_data_centre("concord", "out", 1, Change_Id="c-1")
    assert first.json() == {"revision": 2, "resent": False}
    assert resent.json() == {"revision": 2, "resent": True}
    assert entry.config()["revision"] == 3
    other = entry.set_data_centre("salem", "out", 3, Change_Id="c-1")
    assert (other.status, other.json()["error"]["code"]) == (409, "conflict")


def test_resend_is_applied_again_without_change_ids(store):
    """Shows that change ids are needed: without them a resent change is made twice."""
    entry = Entry(store, NoChangeIdWriter)
    for _ in range(2):
        entry.set_data_centre("concord", "in", 0, Change_Id="c-1")
    assert entry.config()["revision"] == 2


@pytest.mark.parametrize(
    ("method", "uri", "status"),
    [
        ("GET", "/v1/config", 503),
        ("PUT", "/v1/data-centres/concord", 503),
        ("GET", "/v1/workers", 200),
        ("GET", "/v1/metrics", 200),
    ],
)
def test_store_outage(store, entry, method, uri, status):
    """Guards against a hanging or unclear response in an outage, and an outdated configuration."""
    store.set_faults(outage="refuse")
    result = entry.call(method, uri, {"state": "out"}, If_Revision=1)
    assert result.status == status
    if status == 503:
        assert result.json()["error"]["code"] == "unavailable"
        assert "store does not answer" in result.json()["error"]["message"]
    store.set_faults(outage="")
    assert entry.config()["revision"] == 1


def test_outage_after_a_lost_store_response_is_outcome_unknown(store, entry):
    """Guards against an `unavailable` error for a change made just before the store failed."""
    put = store.put

    def put_and_fail(*args):
        store.lose_responses(1)
        outcome = put(*args)
        store.set_faults(outage="refuse")
        return outcome

    store.put = put_and_fail
    result = entry.set_data_centre("concord", "out", 1, Change_Id="c-1")
    assert (result.status, result.json()["error"]["code"]) == (504, "outcome_unknown")
    assert "same Change-Id" in result.json()["error"]["message"]
    store.put = put
    store.set_faults(outage="")
    resent = entry.set_data_centre("concord", "out", 1, Change_Id="c-1")
    assert resent.json() == {"revision": 2, "resent": True}


@pytest.mark.parametrize("lose", ["lose_responses", "lose_writes"])
@pytest.mark.parametrize("unreadable", ["answer", "document"])
def test_unreadable_answer_after_a_lost_store_response_is_outcome_unknown(
    store, entry, lose, unreadable
):
    """Guards against "not made" or "invalid" for a change whose write may have taken effect."""
    get, put = store.get, store.put

    def get_unreadable(key):
        if unreadable == "answer":
            raise StoreError("the answer has no valid version")
        return attrs.evolve(get(key), value=b"{", version=99)

    def put_and_fail(*args):
        getattr(store, lose)(1)
        store.get = get_unreadable
        return put(*args)

    store.put = put_and_fail
    result = entry.set_data_centre("concord", "out", 1, Change_Id="c-1")
    assert (result.status, result.json()["error"]["code"]) == (504, "outcome_unknown")
    store.get, store.put = get, put
    resent = entry.set_data_centre("concord", "out", 1, Change_Id="c-1")
    assert (resent.status, resent.json()["revision"]) == (200, 2)


PUT_CONCORD = ("PUT", "/v1/data-centres/concord")
BAD_INPUT = [
    (*PUT_CONCORD, b'{"state": "out"}', {}, 428, "revision_required"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": ""}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "*"}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "-1"}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "9" * 5000}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "2"}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "1", "Change-Id": "a b"}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "out"}', {"If-Revision": "1", "Operator": "\x07"}, 400, "invalid"),
    (*PUT_CONCORD, b'{"state": "off"}', {"If-Revision": "1"}, 400, "invalid"),
    (*PUT_CONCORD, b"", {"If-Revision": "1"}, 400, "invalid"),
    (*PUT_CONCORD, b"[1]", {"If-Revision": "1"}, 400, "invalid"),
    (*PUT_CONCORD, b"\xff", {"If-Revision": "1"}, 400, "invalid"),
    (
        "PUT",
        "/v1/data-centres/concrod",
        b'{"state": "out"}',
        {"If-Revision": "1"},
        404,
        "not_found",
    ),
    ("PUT", "/v1/data-centres/A%2F..", b'{"state": "in"}', {"If-Revision": "1"}, 400, "invalid"),
    ("PUT", "/v1/accounts/a", b'{"cpu_millis": 1}', {"If-Revision": "1"}, 400, "invalid"),
    ("DELETE", "/v1/templates/x", b"", {"If-Revision": "1"}, 404, "not_found"),
    ("DELETE", "/v1/accounts/x", b"", {"If-Revision": "1"}, 405, "method_not_allowed"),
    ("POST", "/v1/config", b"", {}, 405, "method_not_allowed"),
    ("GET", "/v1/templates/x", b"", {}, 405, "method_not_allowed"),
    ("GET", "/v1/nothing", b"", {}, 404, "not_found"),
    ("GET", "/v1/explain/rack/x", b"", {}, 404, "not_found"),
    ("GET", "/v1/explain/worker/x", b"", {}, 404, "not_found"),
    ("GET", "/v1/jobs/a%20b", b"", {}, 400, "invalid"),
    ("GET", "/v1/jobs/j", b"", {}, 404, "not_found"),
]


@pytest.mark.parametrize(("method", "uri", "body", "headers", "status", "code"), BAD_INPUT)
def test_bad_input_is_refused(entry, method, uri, body, headers, status, code):
    """Guards against a malformed change that is accepted, or refused without a reason."""
    result = call_application(entry.application, method, uri, body, headers)
    assert (result.status, result.json()["error"]["code"]) == (status, code)
    assert result.json()["error"]["message"]
    assert entry.config()["revision"] == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.sampled_from(["templates", "accounts", "data-centres", "explain/job", "x"]),
    st.text(st.characters(max_codepoint=255), max_size=20),
    st.binary(max_size=30) | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["class", "account", "state", "parameters"]), inner),
        max_leaves=6,
    ).map(lambda document: json.dumps(document).encode()),
)  # fmt: skip
def test_any_change_gets_a_well_formed_response(kind, name, body):
    """Guards against input that causes an internal error or an invalid document."""
    store = FakeStore()
    entry = Entry(store)
    headers = {"If-Revision": "0"}
    result = call_application(entry.application, "PUT", f"/v1/{kind}/{name}", body, headers)
    assert result.status in (200, 400, 404, 405)
    stored = store.get(CONFIG_KEY)
    assert stored is None or ConfigView.from_json(stored.value).revision == 1

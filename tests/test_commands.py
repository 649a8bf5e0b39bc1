"""Tests of the command-line client against scripted entries."""

import io
import json
import threading
from types import SimpleNamespace

import pytest
from cheroot import wsgi
from mulberryslip_cli.main import main
from platform_doubles import PlatformStoreServer

CONFIG = {
    "revision": 7,
    "data_centres": {"concord": {"state": "in"}},
    "accounts": {"granite-hollow": {"cpu_millis": 1000, "weight": 1}},
    "templates": {
        "recon": {"class": "batch", "account": "granite-hollow", "parameters": {"cpu_millis": 5}}
    },
}


class ScriptedEntry:
    """HTTP server that returns the configuration, and a scripted response to each change."""

    def __init__(self):
        self.changes = []
        self.responses = []
        self.documents = {}
        self.read_status = 200
        self._server = wsgi.Server(("127.0.0.1", 0), self._application, numthreads=2)
        self._server.prepare()
        self.address = f"127.0.0.1:{self._server.bind_addr[1]}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        self._server.stop()

    def _application(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "GET":
            document = self.documents.get(environ["PATH_INFO"], CONFIG)
            return self._respond(start_response, self.read_status, document)
        body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        self.changes.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], environ, body))
        status, document = self.responses.pop(0)
        return self._respond(start_response, status, document)

    @staticmethod
    def _respond(start_response, status, document):
        data = json.dumps(document).encode()
        start_response(f"{status} X", [("Content-Length", str(len(data)))])
        return [data]


@pytest.fixture(scope="module")
def servers():
    started = [ScriptedEntry(), ScriptedEntry()]
    yield started
    for entry in started:
        entry.stop()


@pytest.fixture
def entries(servers):
    for entry in servers:
        entry.changes.clear()
        entry.responses.clear()
        entry.documents = {}
        entry.read_status = 200
    return servers


def run(entries, *words):
    return main(["mulberryslip", "--entries=" + ",".join(e.address for e in entries), *words])


def error(message):
    return {"error": {"code": "x", "message": message}}


@pytest.mark.parametrize(
    ("status", "document", "exit_code", "expected_text"),
    [
        (200, {"revision": 8}, 0, "accepted as revision 8"),
        (400, error("cpu_millis = -1: must be positive"), 1, "must be positive"),
        (409, error("revision 8: ann took concord out"), 3, "ann took concord out"),
    ],
)
def test_change_reports_the_response_of_the_entry(
    entries, capsys, status, document, exit_code, expected_text
):
    """Guards against a rejected change reported as accepted, and a conflict without its reason."""
    entries[0].responses.append((status, document))
    assert run(entries, "data-centre", "out", "concord") == exit_code
    captured = capsys.readouterr()
    assert expected_text in captured.out + captured.err


def test_template_set_keeps_other_parameters_and_sends_the_revision(entries):
    """Guards against a change of one parameter that drops the others or sends no revision."""
    entries[0].responses.append((200, {"revision": 8}))
    assert run(entries, "template", "set", "recon", "memory_mb=512") == 0
    method, path, environ, body = entries[0].changes[0]
    assert (method, path, environ["HTTP_IF_REVISION"]) == ("PUT", "/v1/templates/recon", "7")
    assert json.loads(body)["parameters"] == {"cpu_millis": 5, "memory_mb": 512}


def test_second_entry_gets_the_same_change_id(entries):
    """Guards against a change that is applied twice after its response was lost."""
    entries[0].responses.append((504, error("outcome unknown")))
    entries[1].responses.append((200, {"revision": 8}))
    assert run(entries, "data-centre", "in", "concord") == 0
    ids = [entry.changes[0][2]["HTTP_CHANGE_ID"] for entry in entries]
    assert ids[0] == ids[1]


@pytest.mark.parametrize(
    ("statuses", "exit_code"), [((503, 503), 4), ((504, 503), 5), ((503, 504), 5)]
)
def test_unavailable_and_unknown_outcome_have_different_exit_codes(entries, statuses, exit_code):
    """Guards against "nothing was changed" when a change may have been accepted."""
    for entry, status in zip(entries, statuses, strict=True):
        entry.responses.append((status, error("store down")))
    assert run(entries, "data-centre", "out", "concord") == exit_code


@pytest.mark.parametrize(
    "words",
    [
        ("data-centre", "out"),
        ("template", "set", "recon"),
        ("template", "set", "recon", "no-equals-sign"),
        ("job", "place"),
        ("--if_revision=x", "config", "show"),
    ],
)
def test_invalid_usage_changes_nothing(entries, words):
    """Guards against invalid command lines that change the configuration."""
    assert run(entries, *words) == 2
    assert not entries[0].changes


def test_json_output_is_the_whole_document(entries, capsys):
    """Guards against `--json` output that scripts cannot parse or that is incomplete."""
    assert run(entries, "--json", "config", "show") == 0
    assert json.loads(capsys.readouterr().out) == CONFIG


# config check

ACCOUNT = {"cpu_millis": 1000, "memory_mb": 1000, "accelerators": 0, "weight": 1}
VALID = {
    "revision": 7,
    "data_centres": {"concord": {"state": "in"}},
    "accounts": {"gh": ACCOUNT},
    "templates": {"recon": {"class": "batch", "account": "gh", "parameters": {"cpu_millis": 5}}},
}
CAPACITY = {"cpu_millis": 1000, "memory_mb": 1000, "accelerators": 0, "slots": 1}
WORKERS = {"workers": [{"data_centre": "concord", "capacity": CAPACITY, "services": []}]}
LARGE = {**VALID, "templates": {"recon": {"class": "batch", "account": "gh", "parameters": {}}}}
LARGE["templates"]["recon"]["parameters"] = {"memory_mb": 2000, "priority": "urgent"}
ROUTE = {"Name": "a", "Prefix": "/a/", "Service": "ledger"}
POOLS = {"Version": 7, "Routes": [ROUTE], "Services": [{"Name": "ledger"}]}
ADAPTER = "--adapter=mulberryslip_platform"


def run_check(monkeypatch, capsys, entries, document, *words):
    """Check a document on standard input; return the exit code and the JSON report."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    monkeypatch.setattr("sys.stdin", SimpleNamespace(buffer=io.BytesIO(body)))
    code = run(entries, "config", "check", "-", "--json", *words)
    return code, json.loads(capsys.readouterr().out)


@pytest.mark.parametrize(
    ("document", "words", "exit_code", "errors", "warnings"),
    [
        (VALID, (), 0, 0, 0),
        (VALID, ("--against", "current", "--strict"), 0, 0, 0),
        (LARGE, ("--strict",), 0, 0, 0),
        (LARGE, ("--against", "current"), 0, 0, 1),
        (LARGE, ("--against", "current", "--strict"), 1, 0, 1),
        ({**VALID, "accounts": {}}, ("--strict",), 2, 1, 0),
        (b"\xff", (), 2, 1, 0),
        (POOLS, (ADAPTER, "--strict"), 0, 0, 0),
        ({**POOLS, "Routes": [ROUTE, ROUTE]}, (ADAPTER,), 0, 0, 1),
        ({**POOLS, "Routes": [ROUTE, ROUTE]}, (ADAPTER, "--strict"), 1, 0, 1),
        ({**POOLS, "Routes": [{}]}, (ADAPTER, "--strict"), 2, 2, 1),
    ],
)
def test_check_exits_with_the_severity_of_its_findings(
    monkeypatch, capsys, entries, document, words, exit_code, errors, warnings
):
    """Guards against a script that submits a document which the check has found invalid."""
    entries[0].documents = {"/v1/config": VALID, "/v1/workers": WORKERS}
    code, report = run_check(monkeypatch, capsys, entries, document, *words)
    assert code == exit_code
    assert (len(report["errors"]), len(report["warnings"])) == (errors, warnings)
    assert (report["differences"] is not None) == ("current" in words)
    assert not entries[0].changes


@pytest.mark.parametrize(
    ("config", "workers", "status"),
    [
        ({"error": {"message": "the store does not answer"}}, WORKERS, 503),
        (CONFIG, WORKERS, 200),
        ([], WORKERS, 200),
        (VALID, {}, 200),
        (VALID, {"workers": [{"capacity": {"cores": 1}, "data_centre": "x"}]}, 200),
    ],
)
def test_comparison_that_cannot_be_made_is_an_error(
    monkeypatch, capsys, entries, config, workers, status
):
    """Guards against exit code 0 for a comparison that was not made, as in a store outage."""
    for entry in entries:
        entry.documents = {"/v1/config": config, "/v1/workers": workers}
        entry.read_status = status
    code, report = run_check(monkeypatch, capsys, entries, VALID, "--against=current")
    assert code == 2
    assert [finding["place"] for finding in report["errors"]] == ["configuration in force"]
    assert report["differences"] is None


def test_workers_of_an_earlier_build_are_not_judged_by(monkeypatch, capsys, entries):
    """Guards against warnings about a fleet whose sizes an entry does not state yet."""
    workers = {"workers": [{"data_centre": "concord", "running": 0}]}
    entries[0].documents = {"/v1/config": VALID, "/v1/workers": workers}
    code, report = run_check(monkeypatch, capsys, entries, LARGE, "--against=current", "--strict")
    assert (code, len(report["differences"]), len(report["not_judged"])) == (0, 1, 1)


@pytest.mark.parametrize(
    ("stored", "exit_code", "differences", "message"),
    [
        (POOLS, 0, 0, None),
        ({**POOLS, "Version": 6, "Routes": []}, 0, 1, None),
        ({**POOLS, "Version": 8}, 2, 0, "never replaces"),
        ({"Version": "x"}, 1, 1, "holds no valid one"),
        (None, 1, 1, "holds no valid one"),
    ],
)
def test_pool_document_is_compared_with_the_store(
    monkeypatch, capsys, entries, stored, exit_code, differences, message
):
    """Guards against a repair of a damaged document that the check does not let pass."""
    server = PlatformStoreServer()
    try:
        if stored is not None:
            server.operate("op/config", stored)
        words = (ADAPTER, "--against=current", f"--store={server.url}", "--strict")
        code, report = run_check(monkeypatch, capsys, entries, POOLS, *words)
    finally:
        server.stop()
    assert (code, len(report["differences"])) == (exit_code, differences)
    found = [finding["reason"] for finding in report["errors"] + report["warnings"]]
    assert len(found) == (message is not None)
    assert all(message in reason for reason in found)


def test_store_that_does_not_answer_is_an_error(monkeypatch, capsys, entries):
    """Guards against a store outage that is taken for a store without a document."""
    words = (ADAPTER, "--against=current", "--store=http://127.0.0.1:9")
    code, report = run_check(monkeypatch, capsys, entries, POOLS, *words)
    assert (code, report["differences"]) == (2, None)
    assert "cannot be read" in report["errors"][0]["reason"]


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("a", "b"),
        ("a", "--against=yesterday"),
        ("a", "--adapter=no_such_module"),
        ("a", "--adapter=json"),
        ("a", ADAPTER, "--against=current"),
        ("a", ADAPTER, "--against=current", "--store=store.example"),
        ("/no/such/file",),
        ("/",),
    ],
)
def test_check_of_nothing_readable_is_invalid_usage(entries, capsys, words):
    """Guards against a traceback for a wrong flag, or exit code 0 without a check."""
    assert run(entries, "config", "check", *words) == 2
    captured = capsys.readouterr()
    assert len((captured.out + captured.err).splitlines()) in (1, 2)

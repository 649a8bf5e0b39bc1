"""Tests of the command-line client against scripted entries."""

import json
import threading

import pytest
from cheroot import wsgi
from mulberryslip_cli.main import main

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
        self._server = wsgi.Server(("127.0.0.1", 0), self._application, numthreads=2)
        self._server.prepare()
        self.address = f"127.0.0.1:{self._server.bind_addr[1]}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        self._server.stop()

    def _application(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "GET":
            return self._respond(start_response, 200, CONFIG)
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

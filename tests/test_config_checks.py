"""Tests of the check of configuration documents, against the sources that the daemon reads with."""

import json
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from json_strategies import JSON, with_other_value
from mulberryslip import ManualClock, Resources
from mulberryslip.changes import changes_between, decide
from mulberryslip.config_checks import (
    MAX_FINDINGS,
    MAX_INPUT_BYTES,
    FleetWorker,
    PathIndex,
    Severity,
    check_document,
    check_pool_document,
)
from mulberryslip.configs import CONFIG_KEY, MAX_FAULTS, ConfigView
from mulberryslip.exceptions import ConfigError
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip_platform import decode_config, decode_document, encode_document
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.intents import PoolConfigSource
from mulberryslipd.sources import ConfigSource

ACCOUNT = {"cpu_millis": 64000, "memory_mb": 200000}
SERVICE = {"class": "service", "account": "gh", "parameters": {"idempotent": True}}
BATCH = {"class": "batch", "account": "gh", "parameters": {}}
DOCUMENT = {
    "revision": 3,
    "data_centres": {"concord": {"state": "in"}},
    "accounts": {"gh": ACCOUNT},
    "templates": {"balance": SERVICE, "recon": BATCH},
}
WORKER = FleetWorker("concord", Resources(64000, 200000, 0, 8), frozenset(["balance"]))
ROUTE = {"Name": "a", "Prefix": "/a/", "Service": "ledger", "SloMs": 300}
POOL = {"Version": 7, "Routes": [ROUTE], "Services": [{"Name": "ledger"}]}


def check(document, **kwargs):
    return check_document(json.dumps(document).encode(), **kwargs)


def check_pool(document, **kwargs):
    return check_pool_document(json.dumps(document).encode(), decode_document, **kwargs)


def batch(**parameters):
    return {**DOCUMENT, "templates": {"balance": SERVICE, "recon": BATCH | parameters}}


def pool_config(document):
    return decode_document(json.dumps(document).encode()).config()


def view(document):
    return ConfigView.from_json(json.dumps(document).encode())


def places(report, severity):
    return [finding.place for finding in report.of(severity)]


BAD_INPUTS = [
    (b"", "not valid JSON"),
    (b"[" * 100_000, "not valid JSON"),
    (b'{"a":' * 5_000, "not valid JSON"),
    (b'{"Version": "\xff"}', "not valid JSON"),
    (b'{"Version": ' + b"9" * 5_000 + b"}", "not valid JSON"),
    (b'"' + b'\\"' * 400_000, "not valid JSON"),
    (b"1e999", "is not a"),
    (b" " * (MAX_INPUT_BYTES + 1), f"larger than {MAX_INPUT_BYTES} bytes"),
]


@pytest.mark.parametrize(("body", "reason"), BAD_INPUTS)
def test_bad_input_is_one_error_of_the_document(body, reason):
    """Guards against a traceback or a long wait on input that is damaged or too large."""
    for report in (check_document(body), check_pool_document(body, decode_document)):
        assert report.exit_code(strict=False) == 2
        (finding,) = report.findings
        assert finding.place == "document"
        assert reason in finding.reason or "not allowed" in finding.reason
        assert len(finding.reason) < 400


@pytest.mark.parametrize(
    ("document", "errors", "warnings"),
    [
        (DOCUMENT, [], []),
        ({**DOCUMENT, "revision": -1, "accounts": {"gh": {}}}, ["revision", "account gh"], []),
        ({**DOCUMENT, "data_centres": {"concord": {"state": "out"}}}, [], ["data_centres"]),
        (batch(parameters={"checkpoint_s": 3600}), [], ["recon.parameters.checkpoint_s"]),
        (batch(parameters={"memory_mb": 200001}), [], ["recon.parameters.memory_mb"]),
        (batch(parameters={"memory_mb": 200001, "priority": "urgent"}), [], []),
        (
            batch(**{"class": "service", "parameters": {"idempotent": True, "deadline_ms": 50}}),
            [],
            ["recon.parameters.hedge_after_ms"],
        ),
    ],
)
def test_document_is_judged_without_a_fleet(document, errors, warnings):
    """Guards against limits that contradict each other without a warning."""
    report = check(document)
    for severity, expected in ((Severity.ERROR, errors), (Severity.WARNING, warnings)):
        found = places(report, severity)
        assert len(found) == len(expected)
        assert all(place in text for place, text in zip(expected, found, strict=True))
    assert report.exit_code(strict=False) == (2 if errors else 0)
    assert report.exit_code(strict=True) == (2 if errors else 1 if warnings else 0)
    assert len(report.not_judged) == 2


@pytest.mark.parametrize(
    ("document", "workers", "expected"),
    [
        (DOCUMENT, [WORKER], []),
        (DOCUMENT, [FleetWorker("concord", WORKER.capacity)], ["template balance"]),
        (
            batch(parameters={"cpu_millis": 64001, "priority": "urgent"}),
            [WORKER],
            ["template reco"],
        ),
        (
            DOCUMENT,
            [WORKER, FleetWorker("keene", WORKER.capacity, frozenset(["balance"]))],
            ["data_centres"],
        ),
        (
            {**DOCUMENT, "data_centres": {**DOCUMENT["data_centres"], "keene": {"state": "in"}}},
            [WORKER],
            ["data centre keene"],
        ),
        (
            {**DOCUMENT, "accounts": {"gh": ACCOUNT, "b": {"cpu_millis": 1, "memory_mb": 0}}},
            [WORKER],
            ["accounts"],
        ),
    ],
)
def test_document_is_judged_by_the_fleet(document, workers, expected):
    """Guards against a service or a size that no worker has, found only when work waits."""
    report = check(document, workers=workers)
    found = places(report, Severity.WARNING)
    assert len(found) == len(expected)
    assert all(place in text for place, text in zip(expected, found, strict=True))


@pytest.mark.parametrize(
    ("document", "differences", "errors", "warnings"),
    [
        (DOCUMENT, [], [], []),
        ({**DOCUMENT, "revision": 2}, [], [], ["revision"]),
        ({**DOCUMENT, "revision": 4}, [], ["revision"], []),
        (
            batch(parameters={"max_attempts": 2}),
            [("template recon: max_attempts from 4 to 2", ("gh",))],
            [],
            [],
        ),
        (batch(**{"class": "watch"}), [("template recon: class", ("gh",))], ["template recon"], []),
        (
            {**DOCUMENT, "data_centres": {"concord": {"state": "in"}, "keene": {"state": "out"}}},
            [("data centre keene added", ("gh",))],
            ["data centre"],
            ["data centre keene"],
        ),
        (
            {**DOCUMENT, "accounts": {"b": ACCOUNT}, "templates": {}},
            [
                ("account b added", ("b",)),
                ("account gh removed", ("gh",)),
                ("template balance removed", ("gh",)),
                ("template recon removed", ("gh",)),
            ],
            [],
            ["account gh"],
        ),
    ],
)
def test_document_is_compared_with_the_one_in_force(document, differences, errors, warnings):
    """Guards against a change that the daemon refuses, or whose accounts nobody is told of."""
    report = check(document, current=view(DOCUMENT), workers=[WORKER])
    assert len(report.differences) == len(differences)
    for difference, (text, affected) in zip(report.differences, differences, strict=True):
        assert difference.text.startswith(text)
        assert difference.affected == affected
    assert [place.split(".")[0] for place in places(report, Severity.ERROR)] == errors
    assert places(report, Severity.WARNING) == warnings


@pytest.mark.parametrize(
    ("routes", "expected"),
    [
        ([{}], []),
        ([{}, {}], [(0, "same name")]),
        ([{}, {"Name": "b"}], [(1, "any host")]),
        ([{"Host": "x"}, {"Name": "b", "Host": "x"}], [(1, "the same host")]),
        ([{"Host": "x"}, {"Name": "b", "Host": "y"}, {"Name": "c"}], []),
        ([{"Prefix": ""}], [(0, "begin with '/'")]),
        ([{"Prefix": "/a"}], [(0, "separator")]),
        ([{"Service": ""}], [(0, "names no service")]),
        ([{"Service": "billing"}], [(0, "billing is not listed")]),
        ([{"Hint": 1}], [(0, "advice is not supported")]),
        ([{"Stretch": 0.5, "SloMs": 0}], [(0, "critical path")]),
        ([{"Stretch": 1001, "SloMs": 2**60}], [(0, "stretch"), (0, "slack")]),
        ([], [(None, "no queue")]),
    ],
)
def test_queues_that_cannot_be_of_use_are_reported(routes, expected):
    """Guards against a queue that never matches, or whose tasks no worker runs."""
    report = check_pool({**POOL, "Routes": [ROUTE | route for route in routes]})
    assert not report.of(Severity.ERROR)
    warnings = report.of(Severity.WARNING)
    assert len(warnings) == len(expected)
    for finding, (number, reason) in zip(warnings, expected, strict=True):
        assert finding.place == ("document" if number is None else f"Routes[{number}]")
        assert reason in finding.reason


@pytest.mark.parametrize(
    ("version", "routes", "texts", "affected", "exit_code"),
    [
        (7, [ROUTE], [], [], 0),
        (6, [ROUTE], [], [], 2),
        (7, [ROUTE | {"SloMs": 5}], ["queue a: slack_ms from 300 to 5"], [("a",)], 1),
        (8, [ROUTE | {"SloMs": 5}], ["queue a: slack_ms from 300 to 5"], [("a",)], 0),
        (8, [], ["queue a removed; no queue takes"], [("a",)], 1),
        (
            8,
            [ROUTE, ROUTE | {"Name": "b", "Prefix": "/a/b/"}],
            ["queue b added"],
            [("a", "b")],
            0,
        ),
        (
            8,
            [ROUTE | {"Name": "b", "Prefix": "/"}],
            ["queue a removed; its requests go to queue b", "queue b added"],
            [("a", "b"), ("b",)],
            0,
        ),
    ],
)
def test_pool_document_is_compared_with_the_one_in_force(
    version, routes, texts, affected, exit_code
):
    """Guards against a document that never comes into force, or takes requests unnoticed."""
    document = {**POOL, "Version": version, "Routes": routes}
    report = check_pool(document, current=pool_config(POOL))
    assert [difference.affected for difference in report.differences] == affected
    for difference, text in zip(report.differences, texts, strict=True):
        assert difference.text.startswith(text)
    assert report.exit_code(strict=True) == exit_code


def test_repeated_names_are_reported():
    """Guards against a second list of routes that silently replaces the first."""
    body = json.dumps(POOL).encode().removesuffix(b"}") + b', "Routes": [], "Version": 7}'
    warnings = check_pool_document(body, decode_document).of(Severity.WARNING)
    assert [finding.place for finding in warnings] == ["document", "document"]
    assert "Routes, Version" in warnings[1].reason


def test_report_is_bounded_and_safe_to_print():
    """Guards against a report that floods the terminal, or that a document writes itself."""
    routes = [ROUTE | {"Name": f"\x1b[2J{i}", "Service": ""} for i in range(MAX_FINDINGS + 10)]
    report = check_pool({**POOL, "Routes": [*routes, {}]}, current=PoolConfig())
    text, document = report.to_text(), report.to_document()
    assert "\x1b" not in text
    assert len(text.splitlines()) < 2 * MAX_FINDINGS + 20
    assert len(document["differences"]) == MAX_FINDINGS
    assert document["counts"]["differences"] == MAX_FINDINGS + 10
    assert document["errors"][0]["place"] == f"Routes[{MAX_FINDINGS + 10}].Name"


# Agreement with the daemon


def config_source(store):
    return ConfigSource(store, ManualClock())


@settings(max_examples=300, deadline=None)
@given(
    JSON
    | with_other_value(DOCUMENT)
    | with_other_value(BATCH).map(lambda template: batch(**template))
    | with_other_value(ACCOUNT).map(lambda account: {**DOCUMENT, "accounts": {"gh": account}})
)
def test_check_accepts_what_an_entry_accepts(document):
    """Guards against a check that passes a document that entries refuse, or the reverse."""
    body = json.dumps(document).encode()
    store = FakeStore(ManualClock())
    store.put(CONFIG_KEY, body, 0)
    try:
        config_source(store).refresh()
        is_accepted = True
    except ConfigError:
        is_accepted = False
    assert (check_document(body).exit_code(strict=False) == 0) == is_accepted


@settings(max_examples=300, deadline=None)
@given(
    JSON
    | with_other_value(POOL)
    | st.lists(
        with_other_value(ROUTE | {"Attempts": 2, "Stretch": 1.5, "Hint": 0}), max_size=4
    ).map(lambda routes: {**POOL, "Routes": _with_distinct_names(routes)})
)
def test_check_accepts_what_gateways_put_into_force(document):
    """Guards against a check that passes a route that gateways leave out, or the reverse."""
    body = json.dumps(document).encode()
    clock = ManualClock()
    store = FakeStore(clock)
    store.put("op/config", body, 0)
    source = PoolConfigSource(store, "op/", decode_config, clock, random.Random(1))
    config = source.refresh()
    report = check_pool_document(body, decode_document)
    is_in_force = config is not None and {route["Name"] for route in _routes(document)} == set(
        config.queues
    )
    assert (report.exit_code(strict=False) == 0) == is_in_force


NAMED_PARTS = {
    "data_centres": st.sampled_from([{"state": "in"}, {"state": "out"}]),
    "accounts": st.sampled_from([ACCOUNT, {**ACCOUNT, "weight": 2}]),
    "templates": st.builds(
        lambda kind, account: {"class": kind, "account": account},
        st.sampled_from(["batch", "watch", "service"]),
        st.sampled_from("ab"),
    ),
}
DOCUMENTS = st.fixed_dictionaries(
    {section: st.dictionaries(st.sampled_from("ab"), part) for section, part in NAMED_PARTS.items()}
)


@settings(max_examples=300, deadline=None)
@given(DOCUMENTS, DOCUMENTS)
def test_compared_document_is_accepted_if_entries_accept_its_changes(old, new):
    """Guards against a valid document that entries refuse to change to, or the reverse."""
    new["accounts"] |= {"a": ACCOUNT, "b": ACCOUNT}
    old["accounts"] |= {"a": ACCOUNT, "b": ACCOUNT}
    current, wanted = view(old), view(new)
    changed = current
    try:
        for change in changes_between(current, wanted):
            changed = decide(changed, change, changed.revision).view
    except ConfigError:
        changed = None
    report = check(new, current=current)
    assert (report.exit_code(strict=False) == 0) == (changed is not None)
    if changed is not None:
        assert changed.templates == wanted.templates
        assert changed.data_centres == {**current.data_centres, **wanted.data_centres}
        assert bool(report.differences) == (old != new)


def _with_distinct_names(routes):
    return [
        {**route, "Name": f"{number}{route['Name']}"} if isinstance(route["Name"], str) else route
        for number, route in enumerate(routes)
    ]


def _routes(document):
    """Return the routes of a document, one that has no usable name under a name of its own."""
    return [
        route if isinstance(route, dict) and isinstance(route.get("Name"), str) else {"Name": None}
        for route in document["Routes"]
    ]


QUEUES = st.lists(
    st.builds(
        Queue,
        name=st.sampled_from("abcdef"),
        host=st.sampled_from(["", "x", "y"]),
        prefix=st.sampled_from(["", "/", "/a", "/a/", "/a/b/", "/c/"]),
    ),
    max_size=8,
)


@settings(max_examples=300, deadline=None)
@given(QUEUES, st.sampled_from(["x", "z"]), st.sampled_from(["/", "/a/", "/a/b/1", "c", ""]))
def test_hidden_queues_and_index_agree_with_the_match_of_gateways(queues, host, path):
    """Guards against a queue reported as hidden that serves requests, or the reverse."""
    config = PoolConfig.from_queues(1, queues)
    assert PathIndex(config).match(host, path) == config.match(host, path)
    for queue in config.queues.values():
        matched = config.match(queue.host or "unlisted.example", queue.prefix)
        assert (matched != queue) == (queue.name in config.hidden_queues())


@settings(max_examples=100, deadline=None)
@given(QUEUES, st.integers(0, 2**40), st.integers(0, 2**40), st.booleans())
def test_encoded_queues_are_decoded_again(queues, stretch, slack, ticket):
    """Guards against a bench that measures a document with other queues than it means."""
    queues = [attrs.evolve(queue, stretch_permille=stretch, slack_ms=slack) for queue in queues]
    queues += [attrs.evolve(queue, requires_ticket=ticket) for queue in queues[:1]]
    document = decode_document(encode_document(3, queues))
    assert [entry.queue for entry in document.entries] == queues
    assert (document.revision, document.faults) == (3, ())


def test_faults_are_bounded_and_valid_routes_are_kept():
    """Guards against a document of faults that fills memory or takes valid queues out of force."""
    routes = [*[5] * (2 * MAX_FAULTS), ROUTE]
    document = decode_document(json.dumps({**POOL, "Routes": routes}).encode())
    assert len(document.faults) == MAX_FAULTS
    assert [entry.queue.name for entry in document.entries] == ["a"]
    templates = {f"t{i}": 5 for i in range(2 * MAX_FAULTS)}
    assert len(check({**DOCUMENT, "templates": templates}).findings) == MAX_FAULTS

"""Tests of the configuration document, of changes to it and of revisions."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import TaskClass
from mulberryslip.changes import (
    Accepted,
    AlreadyAccepted,
    DeleteTemplate,
    ReusedChangeIdError,
    SetAccount,
    SetDataCentre,
    SetTemplate,
    Stale,
    UnknownNameError,
    apply,
    decide,
    differences,
)
from mulberryslip.configs import (
    MAX_CHANGES_KEPT,
    ClientAccount,
    ConfigView,
    DataCentre,
    DataCentreState,
    inspect_document,
    parse_json,
    parse_template,
)
from mulberryslip.exceptions import ConfigError

IN = DataCentre(DataCentreState.IN)
OUT = DataCentre(DataCentreState.OUT)

DOCUMENT = {
    "revision": 3,
    "changes": [{"id": "c-1", "revision": 2, "operator": "ann", "what": "data centre concord out"}],
    "data_centres": {"concord": {"state": "in"}},
    "accounts": {
        "granite-hollow": {
            "cpu_millis": 64000,
            "memory_mb": 200000,
            "accelerators": 0,
            "weight": 1,
        }
    },
    "templates": {
        "balance-check": {
            "class": "service",
            "account": "granite-hollow",
            "parameters": {"deadline_ms": 500, "objective_ms": 50, "idempotent": True},
        },
        "reconciliation": {"class": "batch", "account": "granite-hollow", "parameters": {}},
    },
}


def document(**changed):
    return json.dumps({**DOCUMENT, **changed}).encode()


def template_document(**changed):
    template = {**DOCUMENT["templates"]["balance-check"], **changed}
    return document(templates={"balance-check": template})


def initial_view():
    return ConfigView.from_json(document())


def batch(name="plans", **parameters):
    raw = {"class": "batch", "account": "granite-hollow", "parameters": parameters}
    return SetTemplate(parse_template(name, raw))


def test_document_is_unchanged_by_a_round_trip():
    """Guards against a field that is lost or altered when an entry rewrites the document."""
    view = initial_view()
    assert ConfigView.from_json(view.to_json()) == view
    assert view.template("reconciliation").task_class is TaskClass.BATCH
    assert view.template("balance-check").parameters.idempotent is True
    assert view.account("granite-hollow").memory_mb == 200000


@pytest.mark.parametrize(("name", "is_in"), [("concord", True), ("concrod", False), ("", False)])
def test_only_a_listed_data_centre_is_in(name, is_in):
    """Guards against placing work in a data centre that is not listed."""
    assert initial_view().data_centre_in(name) is is_in


@pytest.mark.parametrize(
    ("body", "fragments"),
    [
        (b"", ["document is not valid JSON"]),
        (b"\xff{}", ["document is not valid JSON"]),
        (b"[" * 100_000, ["document is not valid JSON"]),
        (b'{"revision": 1, "revision": 2}', ["repeated"]),
        (b"[]", ["document", "revision, changes"]),
        (document(revision=-1), ["revision", "-1", "0 to"]),
        (document(revision=True), ["revision", "True", "whole number"]),
        (document(revision=1.5), ["revision", "1.5"]),
        (document(regions={}), ["'regions'", "data_centres"]),
        (document(changes={}), ["changes", "list"]),
        (document(changes=[{"id": "x"}]), ["changes[0].revision is missing"]),
        (
            document(data_centres={"concord": {"state": "off"}}),
            ["concord.state", "'off'", "in, out"],
        ),
        (document(data_centres={"concord": {}}), ["concord.state is missing"]),
        (document(data_centres={"Concord": {"state": "in"}}), ["'Concord'", "lower-case"]),
        (document(data_centres={"../x": {"state": "in"}}), ["'../x'"]),
        (document(accounts={"granite-hollow": {"cpu_millis": 1}}), ["memory_mb is missing"]),
        (document(accounts={}), ["account", "'granite-hollow'", "none yet"]),
        (template_document(**{"class": "cron"}), ["class", "'cron'", "service, batch, watch"]),
        (template_document(account=None), ["account", "None"]),
        (template_document(parameters={"cpu_millis": 5}), ["'cpu_millis'", "deadline_ms"]),
        (template_document(parameters={"deadline_ms": 0}), ["deadline_ms", "0", "1 to 600000"]),
        (template_document(parameters={"deadline_ms": "5"}), ["deadline_ms", "'5'"]),
        (template_document(parameters={"idempotent": 1}), ["idempotent", "true or false"]),
        (
            template_document(parameters={"deadline_ms": 20, "objective_ms": 30}),
            ["objective_ms", "30", "at most deadline_ms, which is 20"],
        ),
        (template_document(parameters={"deadline_ms": float("nan")}), ["NaN"]),
    ],
)
def test_invalid_document_names_field_value_and_allowed(body, fragments):
    """Guards against accepting a damaged document, and against an error that does not say why."""
    with pytest.raises(ConfigError) as caught:
        ConfigView.from_json(body)
    for fragment in fragments:
        assert fragment in str(caught.value)


@pytest.mark.parametrize(
    ("changed", "places"),
    [
        ({}, []),
        ({"revision": -1, "changes": {}}, ["revision", "changes"]),
        (
            {"accounts": {"granite-hollow": {}, "b": {"cpu_millis": 1, "memory_mb": -1}}},
            ["account granite-hollow.cpu_millis", "account b.memory_mb"],
        ),
        ({"accounts": []}, ["accounts"]),
        (
            {"templates": {"a": {"class": "cron"}, "b": {"class": "batch", "account": "none"}}},
            ["template a.class", "template b.account"],
        ),
    ],
)
def test_every_invalid_part_is_reported_with_its_place(changed, places):
    """Guards against an operator who learns of one fault at a time, or of faults that follow."""
    inspected = inspect_document({**DOCUMENT, **changed})
    assert [fault.place for fault in inspected.faults] == places
    for fault in inspected.faults:
        assert fault.reason
        assert str(fault) in (f"{fault.place}: {fault.reason}", f"{fault.place} {fault.reason}")


@pytest.mark.parametrize(
    ("body", "is_too_deep"),
    [
        (b"[" * 64 + b"]" * 64, False),
        (b"[" * 65 + b"]" * 65, True),
        (b'{"a":' * 65, True),
        (b'["' + b"[" * 500 + b'"]', False),
        (b'["\\"' + b"[" * 500 + b'"]', False),
        (b"[],{}," * 500, False),
        (b'"' + b"[" * 65, True),
        (b'"\\"' + b"[" * 65, True),
        # Takes hours where each quote of a string without an end is tried as its beginning.
        (b'"' + b'\\"' * 400_000, False),
        (b'"' + b'\\"' * 400_000 + b"\\", False),
    ],
)
def test_deeply_nested_text_is_refused_before_it_is_parsed(body, is_too_deep):
    """Guards against text that fills the stack, where an object's finalizer fails too."""
    try:
        parse_json("document", body)
    except ConfigError as exc:
        assert ("nested deeper" in str(exc)) is is_too_deep
    else:
        assert not is_too_deep


@pytest.mark.parametrize(
    ("change", "error", "fragments"),
    [
        (SetDataCentre("concrod", OUT), UnknownNameError, ["concrod", "concord"]),
        (DeleteTemplate("plans"), UnknownNameError, ["plans", "balance-check, reconciliation"]),
        (batch("balance-check"), ConfigError, ["class", "service"]),
        (
            SetTemplate(parse_template("x", {"class": "watch", "account": "tavlolie"})),
            ConfigError,
            ["tavlolie", "granite-hollow"],
        ),
        (object(), ConfigError, ["object is not a change"]),
    ],
)
def test_change_that_breaks_a_rule_is_refused(change, error, fragments):
    """Guards against applying a change with an effect that the operator did not intend."""
    with pytest.raises(error) as caught:
        apply(change, initial_view())
    for fragment in fragments:
        assert fragment in str(caught.value)


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (SetDataCentre("concord", OUT), "data centre concord: state from in to out"),
        (SetDataCentre("lexing", IN), "data centre lexing added: state in"),
        (DeleteTemplate("reconciliation"), "template reconciliation removed"),
        (
            batch("reconciliation", max_attempts=2),
            "template reconciliation: max_attempts from 4 to 2",
        ),
        (
            SetAccount("granite-hollow", ClientAccount(64000, 1, 0, 5)),
            "account granite-hollow: memory_mb from 200000 to 1, weight from 1 to 5",
        ),
    ],
)
def test_change_is_described_by_field_and_value(change, line):
    """Guards against a conflict message that omits what the other operator changed."""
    view = initial_view()
    assert differences(view, apply(change, view)) == (line,)
    accepted = decide(view, change, 3, "c-9", "bob")
    assert accepted.view.revision == 4
    assert accepted.view.changes[-1].what == line


def test_stale_change_is_refused_with_the_changes_since():
    """Guards against a lost update by a change that is based on an older revision."""
    view = decide(initial_view(), SetDataCentre("concord", OUT), 3, "", "ann").view
    outcome = decide(view, batch("plans"), 3, "", "bob")
    assert outcome == Stale(4, ("revision 4 by ann: data centre concord: state from in to out",))


def test_resend_returns_the_first_revision():
    """Guards against a resent change that is applied twice or conflicts with itself."""
    change = batch("plans")
    view = decide(initial_view(), change, 3, "c-2").view
    view = decide(view, SetDataCentre("concord", OUT), 4).view
    assert decide(view, change, 3, "c-2") == AlreadyAccepted(4)
    with pytest.raises(ReusedChangeIdError, match="c-2"):
        decide(view, batch("plans", max_attempts=1), 3, "c-2")


def test_revision_above_the_current_one_is_refused():
    """Guards against a mistyped If-Revision that would bypass the check for lost updates."""
    with pytest.raises(ConfigError, match="current revision 3"):
        decide(initial_view(), batch(), 7)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from([1, 2, 3]), st.integers(0, 2))))
def test_revisions_increase_by_one_and_history_is_bounded(steps):
    """Guards against a skipped or reused revision when current and stale changes interleave."""
    view = initial_view()
    for number, attempts, revisions_behind in steps * 4:
        based_on = view.revision - revisions_behind
        outcome = decide(view, batch(f"t{number}", max_attempts=attempts), based_on)
        if revisions_behind:
            assert isinstance(outcome, Stale)
            assert len(outcome.changed) >= 1
            continue
        assert isinstance(outcome, Accepted)
        assert outcome.view.revision == view.revision + 1
        assert len(outcome.view.changes) <= MAX_CHANGES_KEPT
        view = ConfigView.from_json(outcome.view.to_json())


def test_document_over_the_store_limit_is_refused():
    """Guards against accepting a change that makes the document too large for the store."""
    accounts = {f"account-{i:06}": ClientAccount(1, 1) for i in range(20_000)}
    with pytest.raises(ConfigError, match="at most 900000 bytes"):
        ConfigView(accounts=accounts).to_json()


def test_stale_change_reports_changes_no_longer_kept():
    """Guards against a conflict message that looks complete although older changes are dropped."""
    view = initial_view()
    for number in range(MAX_CHANGES_KEPT + 2):
        view = decide(view, batch("plans", max_attempts=number % 9 + 1), view.revision).view
    outcome = decide(view, batch("other"), 3)
    assert "2 earlier changes after revision 3" in outcome.changed[0]
    assert len(outcome.changed) == MAX_CHANGES_KEPT + 1

"""Tests of the validation of the settings file."""

import copy
from pathlib import Path

import pytest
from mulberryslip import settings
from mulberryslip.exceptions import SettingsError

ENTRY = {
    "process": {"role": "entry", "id": "entry-1", "data_centre": "concord", "host": "127.0.0.1"},
    "store": {"url": "http://127.0.0.1:9000"},
    "entry": {"wire_port": 7001, "callers_port": 7002, "operators_port": 7003},
}
WORKER = {
    "process": {"role": "worker", "id": "worker-1", "data_centre": "concord", "host": "127.0.0.1"},
    "worker": {
        "wire_port": 7101,
        "target_url": "http://127.0.0.1:8001",
        "runtime_url": "http://127.0.0.1:8002/workers/worker-1",
        "entries": ["127.0.0.1:7001"],
        "cpu_millis": 64000,
        "memory_mb": 250000,
    },
}
AGENT = {
    "process": {"role": "agent", "id": "agent-1", "data_centre": "concord", "host": "127.0.0.1"},
    "store": {"url": "http://127.0.0.1:9000"},
    "agent": {
        "wire": "127.0.0.1:7201",
        "announcements": "127.0.0.1:7202",
        "metrics": "127.0.0.1:7203",
        "worker_url": "http://127.0.0.1:8001",
    },
    "adapter": {"module": "adapter"},
}


def changed(document, table, key, value):
    document = copy.deepcopy(document)
    document.setdefault(table, {})[key] = value
    return document


@pytest.mark.parametrize("document", [ENTRY, WORKER, AGENT])
def test_minimal_settings_are_accepted(document):
    """Guards against a default value that fails its own validation."""
    assert settings.parse(document).process["id"] == document["process"]["id"]


@pytest.mark.parametrize(
    ("document", "table", "key", "value", "error"),
    [
        (
            ENTRY,
            "process",
            "role",
            "leader",
            "process.role = 'leader': must be one of entry, worker",
        ),
        (
            ENTRY,
            "process",
            "host",
            "localhost",
            "process.host = 'localhost': must be an IP address",
        ),
        (ENTRY, "cluster", "shards", 0, "cluster.shards = 0: must be an integer from 1 to 1024"),
        (ENTRY, "cluster", "shards", True, "cluster.shards = True: must be an integer"),
        (ENTRY, "entry", "wire_port", 7002, "must differ"),
        (ENTRY, "entry", "colour", "red", "entry.colour = 'red': unknown key; allowed: wire_port"),
        (ENTRY, "worker", "slots", 8, "worker = {'slots': 8}: unknown table"),
        (ENTRY, "entry", "links", {"concord": 4}, "DATA-CENTRE/DATA-CENTRE"),
        (ENTRY, "timing", "renew_interval_ms", 10_000, "at most a third"),
        (ENTRY, "http", "connections", 1000, "must be at most http.connections (1000)"),
        (ENTRY, "http", "memory_mb", 1, "http.memory_mb = 1: must be an integer from 16 to 65536"),
        (WORKER, "http", "connections", 1000, "unknown table"),
        (WORKER, "worker", "entries", [], "worker.entries = []: must be a list"),
        (WORKER, "worker", "service_cpu_millis", 64000, "must be less than worker.cpu_millis"),
        (AGENT, "pool", "wide_step_tasks", -1, "pool.wide_step_tasks = -1: must be an integer"),
        (AGENT, "pool", "wide_step_tasks", 4097, "an integer from 0 to 4096"),
        (ENTRY, "store", "url", "https://store", "store.url = 'https://store': must be"),
        (
            WORKER,
            "store",
            "url",
            "http://127.0.0.1:1",
            "unknown table; allowed: cluster, process, timing",
        ),
    ],
)
def test_error_names_key_value_and_what_is_allowed(document, table, key, value, error):
    """Guards against an invalid setting that is ignored or reported without its key."""
    with pytest.raises(SettingsError) as info:
        settings.parse(changed(document, table, key, value))
    assert error in str(info.value)


def test_all_errors_are_reported_at_once():
    """Guards against validation that stops at the first error."""
    document = changed(changed(ENTRY, "cluster", "shards", 0), "store", "timeout_ms", "slow")
    del document["process"]["id"]
    with pytest.raises(SettingsError) as info:
        settings.parse(document)
    assert len(info.value.faults) == 3


def test_scheduling_for_wide_steps_is_off_by_default():
    """Guards against existing deployments whose scheduling changes with an upgrade."""
    assert settings.parse(AGENT).pool["wide_step_tasks"] == 0


@pytest.mark.parametrize("content", [b"role = ", b"\xff\xfe", None])
def test_unreadable_file_is_a_settings_error(tmp_path, content):
    """Guards against a traceback instead of a message for a broken file."""
    path = tmp_path / "settings.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError):
        settings.load(path)


EXAMPLES = sorted((Path(__file__).parent.parent / "examples").glob("*/*.toml"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: f"{path.parent.name}/{path.stem}")
def test_shipped_example_is_accepted(path):
    """Guards against examples that lag behind the settings."""
    assert settings.load(path).process["id"] == path.stem


def test_examples_cover_both_deployments():
    """Guards against a deployment with missing workers or data centres."""
    loaded = [(path.parent.name, settings.load(path)) for path in EXAMPLES]
    for name, data_centres in (("token-ledger", 4), ("dispatch-service", 3)):
        workers = [cfg for dep, cfg in loaded if dep == name and cfg.process["role"] == "worker"]
        assert len(workers) == 11
        assert {cfg.role["slots"] for cfg in workers} == {8}
        assert {cfg.role["connections"] for cfg in workers} == {64}
        assert len({cfg.process["data_centre"] for cfg in workers}) == data_centres

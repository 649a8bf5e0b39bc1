"""Settings of one process, read from a TOML file and validated as a whole."""

import ipaddress
import re
import tomllib
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

import attrs

from .exceptions import SettingsError
from .models import Resources
from .partitions import MAX_POOLS, pool_count
from .steps import MAX_STEP_TASKS

ROLES = ("entry", "worker", "gateway", "agent")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAX_PORT = 65535
MAX_THREADS = 256


@attrs.frozen
class Key:
    """One key of the settings file.

    :param value_type: type or types of the TOML value.
    :param allowed: description of the allowed values for error messages.
    :param check: predicate that tells whether a value of the right type is allowed.
    :param default: value when the key is absent, or `REQUIRED`.
    """

    value_type: type | tuple[type, ...]
    allowed: str
    check: Any
    default: Any


REQUIRED = object()


def _integer(low: int, high: int, default: Any = REQUIRED) -> Key:
    return Key(int, f"an integer from {low} to {high}", lambda v: low <= v <= high, default)


def _number(low: float, high: float, default: Any = REQUIRED) -> Key:
    return Key((int, float), f"a number from {low} to {high}", lambda v: low <= v <= high, default)


def _boolean(default: Any = REQUIRED) -> Key:
    return Key(bool, "true or false", lambda v: True, default)


def _name(default: Any = REQUIRED) -> Key:
    return Key(
        str,
        "1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit",
        lambda v: NAME_PATTERN.fullmatch(v) is not None,
        default,
    )


def _names() -> Key:
    return Key(
        list,
        "a list of template names",
        lambda v: all(isinstance(n, str) and NAME_PATTERN.fullmatch(n) for n in v),
        [],
    )


def _ip() -> Key:
    return Key(str, "an IP address", _is_ip, REQUIRED)


def _url(default: Any = REQUIRED) -> Key:
    return Key(str, "an address of the form http://IP:PORT[/PATH]", _is_url, default)


def _port(default: Any = REQUIRED) -> Key:
    return _integer(1, MAX_PORT, default)


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_ip_or_empty(text: str) -> bool:
    return not text or _is_ip(text)


def _is_url(text: str) -> bool:
    match = re.fullmatch(r"http://([0-9.]+):(\d{1,5})(/[^\s]*)?", text)
    return match is not None and _is_ip(match[1]) and 0 < int(match[2]) <= MAX_PORT


def _is_address(text: Any) -> bool:
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    return _is_ip(host) and port.isdigit() and 0 < int(port) <= MAX_PORT


def _address() -> Key:
    return Key(str, 'an address "IP:PORT"', _is_address, REQUIRED)


def _is_link_name(text: str) -> bool:
    names = text.split("/")
    return len(names) == 2 and all(NAME_PATTERN.fullmatch(name) for name in names)


ADDRESS_LIST = Key(
    list,
    'a list of "IP:PORT" strings',
    lambda v: bool(v) and all(_is_address(item) for item in v),
    REQUIRED,
)
LINK_TABLE = Key(
    dict,
    'a table of "DATA-CENTRE/DATA-CENTRE" = one-way milliseconds from 0 to 10000',
    lambda v: all(
        _is_link_name(k)
        and isinstance(ms, int | float)
        and not isinstance(ms, bool)
        and 0 <= ms <= 10_000
        for k, ms in v.items()
    ),
    {},
)

PROCESS_KEYS = {
    "role": Key(str, "one of " + ", ".join(ROLES), lambda v: v in ROLES, REQUIRED),
    "id": _name(),
    "data_centre": _name(),
    "rack": _name("rack-0"),
    "host": _ip(),
    "listen_host": Key(str, "an IP address, or empty for process.host", _is_ip_or_empty, ""),
}
STORE_KEYS = {
    "url": _url(),
    "timeout_ms": _integer(50, 60_000, 1000),
    "lease_ttl_ms": _integer(300, 60_000, 3000),
    "writes_per_s": _number(0, 1e9, 0),
}
CLUSTER_KEYS = {"shards": _integer(1, 1024, 4)}
TIMING_KEYS = {
    "reservation_ms": _integer(100, 60_000, 3000),
    "task_lease_ms": _integer(500, 3_600_000, 20_000),
    "renew_interval_ms": _integer(50, 60_000, 1000),
    "runtime_lease_ms": _integer(200, 60_000, 2000),
    "config_read_interval_ms": _integer(100, 60_000, 2000),
    "announce_interval_ms": _integer(50, 60_000, 1000),
    "worker_silence_ms": _integer(300, 600_000, 5000),
    "stop_timeout_ms": _integer(500, 600_000, 10_000),
    "stop_grace_ms": _integer(0, 60_000, 1000),
}
ENTRY_KEYS = {
    "wire_port": _port(),
    "callers_port": _port(),
    "operators_port": _port(),
    "journal_slots": _integer(8, 4096, 64),
    "commit_interval_ms": _integer(0, 1000, 20),
    "threads": _integer(1, MAX_THREADS, 64),
    "wire_connections": _integer(1, 4096, 512),
    "links": LINK_TABLE,
}
WORKER_KEYS = {
    "wire_port": _port(),
    "target_url": _url(),
    "runtime_url": _url(),
    "services": _names(),
    "entries": ADDRESS_LIST,
    "connections": _integer(1, 4096, 64),
    "queue": _integer(0, 4096, 64),
    "cpu_millis": _integer(1, 10_000_000),
    "memory_mb": _integer(1, 100_000_000),
    "accelerators": _integer(0, 1024, 0),
    "slots": _integer(1, 1024, 8),
    "service_cpu_millis": _integer(0, 10_000_000, 0),
    "service_memory_mb": _integer(0, 100_000_000, 0),
}
GATEWAY_KEYS = {
    "callers": _address(),
    "health": _address(),
    "metrics": _address(),
    "threads": _integer(1, MAX_THREADS, 24),
}
AGENT_KEYS = {
    "wire": _address(),
    "announcements": _address(),
    "metrics": _address(),
    "worker_url": _url(),
}
POOL_KEYS = {
    "count": _integer(0, MAX_POOLS, 0),
    "lease_ms": _integer(500, 600_000, 6000),
    "max_worker_lease_ms": _number(0, 600_000, 0),
    "wide_step_tasks": _integer(0, MAX_STEP_TASKS, 0),
    "reserve_for_large_tasks": _boolean(False),
}


def _http_keys(memory_mb: int, max_marks: int) -> dict[str, Key]:
    """Return the limits for clients of HTTP ports; `docs/CAPACITY.md` derives the defaults."""
    return {
        "memory_mb": _integer(16, 65_536, memory_mb),
        "max_marks": _integer(10_000, 1_000_000, max_marks),
        "transfer_timeout_ms": _integer(1000, 600_000, 20_000),
        "connections": _integer(16, 65_536, 2048),
        "connections_per_address": _integer(8, 65_536, 1536),
    }


VMS_KEYS = {"url": _url("")}
ADAPTER_KEYS = {"module": Key(str, "a Python module name", str.isidentifier, REQUIRED)}
TABLES = {"process": PROCESS_KEYS, "cluster": CLUSTER_KEYS, "timing": TIMING_KEYS}
ROLE_TABLES = {
    "entry": {
        "store": STORE_KEYS,
        "entry": ENTRY_KEYS,
        "http": _http_keys(memory_mb=192, max_marks=900_000),
    },
    "worker": {"worker": WORKER_KEYS},
    "gateway": {
        "store": STORE_KEYS,
        "gateway": GATEWAY_KEYS,
        "http": _http_keys(memory_mb=64, max_marks=20_000),
        "pool": POOL_KEYS,
        "adapter": ADAPTER_KEYS,
    },
    "agent": {
        "store": STORE_KEYS,
        "agent": AGENT_KEYS,
        "http": _http_keys(memory_mb=64, max_marks=100_000),
        "pool": POOL_KEYS,
        "vms": VMS_KEYS,
        "adapter": ADAPTER_KEYS,
    },
}


@attrs.frozen
class Settings:
    """Validated settings of one process.

    :param process: role, id, data centre, rack and IP address.
    :param store: address, timeout and lease of the platform's store; empty for a worker.
    :param cluster: number of shards; must be equal on all processes.
    :param timing: intervals and leases in milliseconds; must be equal on all processes.
    :param role: keys of the role's own table, such as `[entry]` or `[worker]`.
    :param pool: number of pools, lease of workers, and width of steps of a wide pool; empty for
        roles without pools.
    :param adapter: module of the platform's adapter; empty for roles without one.
    :param vms: address of the platform's list of VMs; empty for roles that do not read it.
    :param http: limits for clients of HTTP ports; empty for roles without such ports.
    """

    process: Mapping[str, Any]
    store: Mapping[str, Any]
    cluster: Mapping[str, Any]
    timing: Mapping[str, Any]
    role: Mapping[str, Any]
    pool: Mapping[str, Any] = attrs.field(factory=dict)
    adapter: Mapping[str, Any] = attrs.field(factory=dict)
    vms: Mapping[str, Any] = attrs.field(factory=dict)
    http: Mapping[str, Any] = attrs.field(factory=dict)

    def listen_host(self) -> str:
        """Return the IP address to listen on; `process.host` is the address announced to peers."""
        return self.process["listen_host"] or self.process["host"]

    def duration(self, key: str) -> timedelta:
        """Return a duration from `[timing]`.

        :param key: name without the `_ms` suffix.
        """
        return timedelta(milliseconds=self.timing[f"{key}_ms"])

    def store_timeout(self) -> timedelta:
        """Return the timeout of one store call of an entry."""
        return timedelta(milliseconds=self.store["timeout_ms"])

    def store_lease_ttl(self) -> timedelta:
        """Return the time to live of an entry's store lease."""
        return timedelta(milliseconds=self.store["lease_ttl_ms"])

    def pools(self) -> int:
        """Return the number of pools that the workers are divided into."""
        return self.pool["count"] or pool_count(self.store["writes_per_s"])

    def capacity(self) -> Resources:
        """Return a worker's total capacity."""
        return Resources(
            self.role["cpu_millis"],
            self.role["memory_mb"],
            self.role["accelerators"],
            self.role["slots"],
        )

    def target_resources(self) -> Resources:
        """Return the part of a worker's capacity that is reserved for its target."""
        return Resources(self.role["service_cpu_millis"], self.role["service_memory_mb"])


def load(path: str | Path) -> Settings:
    """Read and validate a settings file.

    :param path: TOML file.
    :returns: the settings, with defaults filled in.
    :raises SettingsError: with one line for each error found.
    """
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError([f"{path}: cannot be read: {exc.strerror}"]) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path}: not a TOML file: {exc}"]) from exc
    return parse(document)


def parse(document: Mapping[str, Any]) -> Settings:
    """Validate a decoded settings document.

    :param document: tables of the TOML file.
    :returns: the settings, with defaults filled in.
    :raises SettingsError: with one line for each error found.
    """
    errors: list[str] = []
    role = _find_role(document)
    tables = {**TABLES, **ROLE_TABLES.get(role, {})}
    known = set(tables) if role else set(TABLES).union(*ROLE_TABLES.values())
    errors += [
        f"{name} = {document[name]!r}: unknown table; allowed: {', '.join(sorted(known))}"
        for name in sorted(set(document) - known)
    ]
    values = {name: _check_table(name, keys, document, errors) for name, keys in tables.items()}
    if not errors:
        errors += _check_consistency(role, values)
    if errors:
        raise SettingsError(errors)
    return Settings(
        values["process"],
        values.get("store", {}),
        values["cluster"],
        values["timing"],
        values[role],
        values.get("pool", {}),
        values.get("adapter", {}),
        values.get("vms", {}),
        values.get("http", {}),
    )


def _find_role(document: Mapping[str, Any]) -> str:
    process = document.get("process")
    role = process.get("role") if isinstance(process, dict) else None
    return role if role in ROLES else ""


def _check_table(
    name: str, keys: Mapping[str, Key], document: Mapping[str, Any], errors: list[str]
) -> dict[str, Any]:
    table = document.get(name, {})
    if not isinstance(table, dict):
        errors.append(f"{name} = {table!r}: must be a table")
        return {}
    errors += [
        f"{name}.{key} = {table[key]!r}: unknown key; allowed: {', '.join(keys)}"
        for key in sorted(set(table) - set(keys))
    ]
    return {
        key: _check_value(f"{name}.{key}", spec, table.get(key), errors)
        for key, spec in keys.items()
    }


def _check_value(path: str, spec: Key, value: Any, errors: list[str]) -> Any:
    if value is None:
        if spec.default is REQUIRED:
            errors.append(f"{path}: missing; must be {spec.allowed}")
            return None
        return spec.default
    has_type = isinstance(value, spec.value_type) and not (
        spec.value_type is not bool and isinstance(value, bool)
    )
    if not has_type or not spec.check(value):
        errors.append(f"{path} = {value!r}: must be {spec.allowed}")
    return value


def _check_consistency(role: str, values: Mapping[str, Mapping[str, Any]]) -> list[str]:
    errors = []
    timing = values["timing"]
    if timing["renew_interval_ms"] * 3 > timing["task_lease_ms"]:
        errors.append(
            f"timing.renew_interval_ms = {timing['renew_interval_ms']}: must be at most a third of"
            f" timing.task_lease_ms ({timing['task_lease_ms']}), so that two renewals may be lost"
        )
    if timing["stop_grace_ms"] >= timing["stop_timeout_ms"]:
        errors.append(
            f"timing.stop_grace_ms = {timing['stop_grace_ms']}: must be less than"
            f" timing.stop_timeout_ms ({timing['stop_timeout_ms']})"
        )
    return errors + _check_http_limits(values) + _check_role_consistency(role, values[role])


def _check_http_limits(values: Mapping[str, Mapping[str, Any]]) -> list[str]:
    http = values.get("http")
    if http is None or http["connections_per_address"] <= http["connections"]:
        return []
    return [
        f"http.connections_per_address = {http['connections_per_address']}: must be at most"
        f" http.connections ({http['connections']})"
    ]


def _check_role_consistency(role: str, table: Mapping[str, Any]) -> list[str]:
    if role == "entry":
        ports = [table["wire_port"], table["callers_port"], table["operators_port"]]
        if len(set(ports)) < len(ports):
            return [f"entry: wire_port, callers_port and operators_port must differ, got {ports}"]
        return []
    if role != "worker":
        return []
    return [
        f"worker.service_{name} = {table[f'service_{name}']}:"
        f" must be less than worker.{name} ({table[name]})"
        for name in ("cpu_millis", "memory_mb")
        if table[f"service_{name}"] >= table[name]
    ]

"""Input and output of `config check`: the file, the configuration in force and the adapter.

The judgement is made in `mulberryslip.config_checks`. A comparison that was asked for and cannot be
made is an error: without it, a script would submit a document that nobody has compared.
"""

import importlib
import sys
from datetime import timedelta
from pathlib import Path
from types import ModuleType
from typing import Any

from mulberryslip.config_checks import (
    DOCUMENT,
    MAX_INPUT_BYTES,
    CheckReport,
    FleetWorker,
    check_document,
    check_pool_document,
)
from mulberryslip.configs import parse_document
from mulberryslip.exceptions import ConfigError, StoreError
from mulberryslip.models import Resources
from mulberryslip.queues import PoolConfig
from mulberryslip.settings import STORE_KEYS
from mulberryslip.stores import Store

from .clients import OperatorClient
from .exceptions import CommandError, UsageError

ADAPTER_NAMES = ("OPERATOR_PREFIX", "PlatformStore", "decode_config", "decode_document")

STANDARD_INPUT = "-"

IN_FORCE = "configuration in force"
"""Place of findings about what a document is compared with."""


def check_file(path: str, client: OperatorClient | None) -> CheckReport:
    """Check a file with the operators' document.

    :param path: path of the file, or `-` for standard input.
    :param client: reads the configuration in force and the workers from the entries, which read
        the configuration from the store at that time; None for no comparison.
    """
    try:
        body = read_input(path)
    except OSError as exc:
        return _unreadable(path, exc)
    if client is None:
        return check_document(body)
    try:
        current = parse_document(client.config().document)
        workers = _parse_workers(client.get("/v1/workers"))
    except CommandError as exc:
        return check_document(body).with_error(IN_FORCE, f"it cannot be read: {exc}")
    except (ConfigError, LookupError, TypeError, ValueError) as exc:
        reason = f"an entry's response is malformed: {exc!r:.200}"
        return check_document(body).with_error(IN_FORCE, reason)
    return check_document(body, current, workers)


def check_pool_file(path: str, adapter: Any, store: Store | None) -> CheckReport:
    """Check a file with the operators' document for pools.

    :param path: path of the file, or `-` for standard input.
    :param adapter: module of the platform's adapter.
    :param store: the store that holds the configuration in force; None for no comparison.
    """
    try:
        body = read_input(path)
    except OSError as exc:
        return _unreadable(path, exc)
    if store is None:
        return check_pool_document(body, adapter.decode_document)
    try:
        listing = store.list(adapter.OPERATOR_PREFIX)
    except StoreError as exc:
        report = check_pool_document(body, adapter.decode_document)
        return report.with_error(IN_FORCE, f"it cannot be read: {exc}")
    try:
        current = adapter.decode_config({stored.key: stored for stored in listing.values})
    except ConfigError as exc:
        # Processes keep the last valid configuration, which the store no longer holds. This is no
        # error, since the checked document may be the repair.
        report = check_pool_document(body, adapter.decode_document, PoolConfig())
        return report.with_warning(IN_FORCE, f"the store holds no valid one: {exc}")
    return check_pool_document(body, adapter.decode_document, current)


def load_adapter(module: str) -> ModuleType:
    """Import the platform's adapter.

    :raises UsageError: there is no such adapter.
    """
    try:
        adapter = importlib.import_module(module)
    except (ImportError, ValueError) as exc:
        raise UsageError(f"--adapter={module}: {exc}") from exc
    missing = [name for name in ADAPTER_NAMES if not hasattr(adapter, name)]
    if missing:
        raise UsageError(f"--adapter={module}: the module has no {', '.join(missing)}")
    return adapter


def open_store(adapter: Any, url: str, timeout: timedelta) -> Store:
    """Return the store that holds the pools' document.

    :param timeout: longest wait for one call.
    :raises UsageError: the URL is invalid.
    """
    rule = STORE_KEYS["url"]
    if not rule.check(url):
        raise UsageError(f"--store={url}: must be {rule.allowed}")
    return adapter.PlatformStore(url, timeout)


def read_input(path: str) -> bytes:
    """Read a file or standard input, at most one byte more than `MAX_INPUT_BYTES`.

    :raises OSError: the file cannot be read.
    """
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read(MAX_INPUT_BYTES + 1)
    with Path(path).open("rb") as file:
        return file.read(MAX_INPUT_BYTES + 1)


def _unreadable(path: str, exc: OSError) -> CheckReport:
    return CheckReport().with_error(DOCUMENT, f"{path} cannot be read: {exc.strerror}")


def _parse_workers(document: dict[str, Any]) -> list[FleetWorker]:
    """Decode an entry's list of workers; empty if an earlier build does not state their size."""
    rows = document["workers"]
    if not all("capacity" in row for row in rows):
        return []
    return [
        FleetWorker(row["data_centre"], Resources(**row["capacity"]), frozenset(row["services"]))
        for row in rows
    ]

"""Measures the processor time of checks of large configuration documents; part of `make bench`."""

import importlib
import time
from collections.abc import Callable
from typing import Any

import attrs
from absl import app, flags
from mulberryslip import Resources
from mulberryslip.config_checks import CheckReport, FleetWorker, check_document, check_pool_document
from mulberryslip.configs import (
    ClientAccount,
    ConfigView,
    DataCentre,
    DataCentreState,
    TaskParameters,
    Template,
)
from mulberryslip.models import TaskClass
from mulberryslip.queues import PoolConfig, Queue
from tabulate import tabulate

_ADAPTER = flags.DEFINE_string("adapter", None, "Module of the platform's adapter.", required=True)

ENTRIES = 1400
WORKERS = 810
ROUNDS = 5

LIMIT_MS = 1000.0
"""An operator waits for the check before each change."""


def queues(slack_ms: int) -> list[Queue]:
    """Return queues of many hosts, prefixes and services.

    :param slack_ms: fixed part of the objective, by which two documents differ.
    """
    return [
        Queue(
            f"queue-{number}",
            f"host-{number % 7}.example",
            f"/area-{number % 90}/queue-{number}/",
            f"service-{number % 40}",
            number % 4,
            3,
            2000,
            slack_ms,
        )
        for number in range(ENTRIES)
    ]


def view(max_attempts: int) -> ConfigView:
    """Return a document with many templates.

    :param max_attempts: parameter of all templates, by which two documents differ.
    """
    accounts = {f"account-{number}": ClientAccount(64_000, 250_000) for number in range(40)}
    templates = {
        f"template-{number}": Template(
            f"template-{number}",
            TaskClass.BATCH,
            f"account-{number % 40}",
            # Half of the templates are larger than any worker.
            TaskParameters(cpu_millis=1 + number * 92, max_attempts=max_attempts),
        )
        for number in range(ENTRIES)
    }
    centres = {name: DataCentre(DataCentreState.IN) for name in ("concord", "keene")}
    return ConfigView(1, (), centres, accounts, templates)


def pool_check(adapter: Any) -> Callable[[], CheckReport]:
    """Return a check of a document for pools in which each queue differs from that in force."""
    body = adapter.encode_document(2, queues(slack_ms=300))
    # Other prefixes are the slowest difference: it looks up who takes the requests.
    in_force = [attrs.evolve(queue, prefix=f"/old{queue.prefix}") for queue in queues(slack_ms=5)]
    current = PoolConfig.from_queues(1, in_force)
    return lambda: check_pool_document(body, adapter.decode_document, current)


def document_check() -> Callable[[], CheckReport]:
    """Return a check of a document in which each template differs from that in force."""
    body = view(max_attempts=2).to_json()
    current = view(max_attempts=4)
    workers = [FleetWorker("keene", Resources(64_000, 250_000, 0, 8)) for _ in range(WORKERS)]
    return lambda: check_document(body, current, workers)


def cpu_ms(check: Callable[[], CheckReport]) -> float:
    """Return the longest processor time of several runs in milliseconds."""
    longest_ns = 0
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        report = check()
        report.to_text()
        longest_ns = max(longest_ns, time.process_time_ns() - started_ns)
    return longest_ns / 1e6


def rows(adapter: Any) -> list[tuple[str, int, float, str]]:
    """Measure each check; return its name, entries, milliseconds and whether it is in time."""
    result = []
    for name, check in (
        ("pools' document", pool_check(adapter)),
        ("operators' document", document_check()),
    ):
        took_ms = cpu_ms(check)
        result.append((name, ENTRIES, round(took_ms, 1), "yes" if took_ms <= LIMIT_MS else "NO"))
    return result


def main(argv: list[str]) -> None:
    """Print the measurements."""
    del argv
    headers = ["config check", "entries", "cpu ms", f"<= {LIMIT_MS:g} ms"]
    print("\n" + tabulate(rows(importlib.import_module(_ADAPTER.value)), headers))


if __name__ == "__main__":
    app.run(main)

"""Demo of the main use on loopback: configuration, a balance check, a batch, operator commands."""

import json
import random
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags
from mulberryslip_cli.main import main as operator_command

from .clusters import Cluster, ClusterError, Layout

_REDEMPTIONS = flags.DEFINE_integer("redemptions", 1000, "Redemptions to reconcile.", 1)
_TASKS = flags.DEFINE_integer("tasks", 5, "Tasks of the nightly batch, one for each franchisee.", 1)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the generated redemptions.")

JOB_ID = "reconciliation-2026-12-04"
ITEM_MS = 2
MAX_AMOUNT_CENTS = 900
BATCH_TIMEOUT_S = 60.0


def redemptions(seed: int, count: int, tasks: int) -> list[list[dict]]:
    """Generate redemptions, grouped by franchisee.

    :param seed: seed of the random amounts.
    :param count: number of redemptions.
    :param tasks: number of franchisees.
    :returns: one list of `{"id", "amount"}` for each franchisee; amounts in cents.
    """
    rng = random.Random(seed)
    items = [
        {"id": f"r-{number}", "amount": rng.randint(1, MAX_AMOUNT_CENTS)} for number in range(count)
    ]
    return [items[index::tasks] for index in range(tasks)]


def run_operator_command(cluster: Cluster, *words: str, expected_code: int = 0) -> None:
    """Run one operator command, and print the command and its output.

    :param words: command words and arguments.
    :raises ClusterError: if the command ends with another exit code than expected.
    """
    addresses = ",".join(cluster.operators_address(name) for name in cluster.entry_names())
    print(f"\n$ mulberryslip {' '.join(words)}")
    code = operator_command(["mulberryslip", f"--entries={addresses}", *words])
    if code != expected_code:
        raise ClusterError(f"mulberryslip {' '.join(words)}: exit code {code}")


def configure(cluster: Cluster) -> None:
    """Configure the cluster for the demo with operator commands."""
    for name in cluster.layout.data_centres:
        run_operator_command(cluster, "data-centre", "in", name)
    run_operator_command(
        cluster, "account", "set", "granite-hollow", "cpu_millis=16000", "memory_mb=32000"
    )
    run_operator_command(
        cluster, "template", "set", "balance-check", "class=service", "account=granite-hollow",
        "deadline_ms=500", "objective_ms=50", "idempotent=true",
    )  # fmt: skip
    run_operator_command(
        cluster, "template", "set", "reconciliation", "class=batch", "account=granite-hollow",
        "cpu_millis=1000", "memory_mb=256",
    )  # fmt: skip


def check_configurations(cluster: Cluster, directory: Path) -> None:
    """Check documents before they are submitted: a valid one, a doubtful one and an invalid one.

    :param directory: directory for the documents.
    """
    _, current = cluster.call_operator_api("GET", "/v1/config")
    template = current["templates"]["reconciliation"]
    parameters = template["parameters"]
    for name, changed, expected_code in (
        ("next", {"max_attempts": 2}, 0),
        ("too-large", {"memory_mb": 10_000_000}, 1),
        ("invalid", {"max_run_s": "1h"}, 2),
    ):
        templates = {"reconciliation": {**template, "parameters": {**parameters, **changed}}}
        document = {**current, "templates": {**current["templates"], **templates}}
        path = directory / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        words = ("config", "check", str(path), "--against", "current", "--strict")
        run_operator_command(cluster, *words, expected_code=expected_code)


def check_balance(cluster: Cluster) -> None:
    """Send a balance check through an entry, as a caller would."""
    started = time.monotonic()
    status, body = cluster.call("entry-1", "GET", "/v1/services/balance-check/tokens/t-42")
    elapsed_ms = (time.monotonic() - started) * 1000
    print(f"\nbalance check of token t-42: HTTP {status} in {elapsed_ms:.1f} ms: {body}")
    if status != 200:
        raise ClusterError("the balance check failed")


def run_batch(cluster: Cluster, groups: list[list[dict]]) -> None:
    """Submit the nightly batch twice under one id, wait for it, and check its results.

    :param groups: redemptions of each franchisee; each group becomes one task.
    """
    body = {
        "template": "reconciliation",
        "tasks": [{"input": {"items": group, "item_ms": ITEM_MS}} for group in groups],
    }
    for entry in cluster.entry_names()[:2]:
        status, response = cluster.call(entry, "PUT", f"/v1/jobs/{JOB_ID}", body)
        print(
            f"submitted {JOB_ID} through {entry}: HTTP {status} {response.get('state', response)}"
        )

    def finished() -> dict | None:
        _, job = cluster.call("entry-1", "GET", f"/v1/jobs/{JOB_ID}")
        return job if job.get("state") in ("finished", "failed") else None

    job = cluster.wait_until(finished, f"{JOB_ID} finished", BATCH_TIMEOUT_S)
    check_results(job, groups)
    check_history(cluster, len(groups))


def check_results(job: dict, groups: list[list[dict]]) -> None:
    """Compare a job's results with the submitted redemptions.

    :raises ClusterError: if a redemption is missing or counted twice.
    """
    for task, group in zip(job["tasks"], groups, strict=True):
        expected = (len(group), sum(item["amount"] for item in group))
        result = task["result"] or {}
        if (result.get("items"), result.get("total")) != expected:
            raise ClusterError(f"task {task['index']}: result {result}, expected {expected}")
    count = sum(len(group) for group in groups)
    print(f"{JOB_ID} finished: {count} redemptions in {len(groups)} tasks, each counted once")


def check_history(cluster: Cluster, tasks: int) -> None:
    """Check the runtime's history for exactly one start per task.

    :raises ClusterError: if the number of starts differs from the number of tasks.
    """
    _, history = cluster.call_stand_in("runtime", "GET", "/history")
    starts = [entry for entry in history["entries"] if entry["event"] == "start"]
    if len(starts) != tasks:
        raise ClusterError(f"{len(starts)} starts for {tasks} tasks: {starts}")
    print(f"runtime history: {len(starts)} starts for {tasks} tasks")


def run(directory: Path) -> None:
    """Run the whole demo.

    :param directory: directory for settings and logs.
    """
    groups = redemptions(_SEED.value, _REDEMPTIONS.value, _TASKS.value)
    cluster = Cluster(directory, Layout())
    with cluster:
        count = len(cluster.processes)
        print(f"{count} processes on loopback: store, runtime, targets, 2 entries, 3 workers")
        configure(cluster)
        check_configurations(cluster, directory)
        check_balance(cluster)
        run_batch(cluster, groups)
        run_operator_command(cluster, "job", "list")
        run_operator_command(cluster, "job", "show", JOB_ID)
        run_operator_command(cluster, "worker", "list")
        run_operator_command(cluster, "explain", "job", JOB_ID)
        run_operator_command(cluster, "metrics", "show")
        names = [*cluster.worker_names(), *cluster.entry_names()]
        codes = {name: cluster.processes[name].terminate() for name in names}
        print(f"\nplanned stop: exit codes {codes}")
        if any(codes.values()):
            raise ClusterError("a planned stop did not end with exit code 0")
    print("demo passed; no process is left")


def main(argv: list[str]) -> int:
    """Run the demo.

    :returns: 0 if every check passed, 1 otherwise.
    """
    with tempfile.TemporaryDirectory(prefix="mulberryslip-demo-") as name:
        try:
            run(Path(name))
        except ClusterError as exc:
            print(f"demo failed: {exc}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    app.run(main)

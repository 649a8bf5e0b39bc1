"""Measures the latency that entry and worker add to a direct request to the target."""

import tempfile
from pathlib import Path

from absl import app, flags
from tabulate import tabulate

from .clusters import LOOPBACK, Cluster, Layout
from .loads import LoadResult, run_clients

_REQUESTS = flags.DEFINE_integer("requests", 200, "Requests per client.", 1)
_RATE = flags.DEFINE_float("rate", 40.0, "Requests per second and client; 0 for no rate limit.")
_CLIENTS = flags.DEFINE_list("clients", ["1", "4", "8"], "Numbers of concurrent client processes.")

WARM_UP_REQUESTS = 100
TARGET_PATH = "/tokens/t-1"
TABLE_HEADERS = (
    "CLIENTS", "DIRECT P50 MS", "PATH P50 MS", "RATIO P50", "DIRECT P99 MS", "PATH P99 MS",
    "RATIO P99", "FAILED",
)  # fmt: skip


def configure(cluster: Cluster) -> None:
    """Create the data centres, account and template that the measurement needs."""
    for name in cluster.layout.data_centres:
        cluster.change(f"/v1/data-centres/{name}", {"state": "in"})
    cluster.change("/v1/accounts/granite-hollow", {"cpu_millis": 8000, "memory_mb": 8000})
    parameters = {"deadline_ms": 2000, "objective_ms": 50, "idempotent": True}
    template = {"class": "service", "account": "granite-hollow", "parameters": parameters}
    cluster.change("/v1/templates/balance-check", template)


def measure(url: str, clients: int) -> LoadResult:
    """Measure one URL after a warm-up."""
    run_clients(url, 1, WARM_UP_REQUESTS)
    return run_clients(url, clients, _REQUESTS.value, _RATE.value)


def row(clients: int, direct: LoadResult, path: LoadResult) -> list[str]:
    """Return the table row for one number of clients."""
    cells = [str(clients)]
    for percentile in (50.0, 99.0):
        direct_ms, path_ms = direct.percentile_ms(percentile), path.percentile_ms(percentile)
        cells += [f"{direct_ms:.2f}", f"{path_ms:.2f}", f"{path_ms / direct_ms:.1f}"]
    return [*cells, str(direct.failed + path.failed)]


def main(argv: list[str]) -> None:
    """Print the comparison for each number of clients."""
    with tempfile.TemporaryDirectory(prefix="mulberryslip-paths-") as name:
        layout = Layout(data_centres=("concord",), entries=1, workers=2)
        with Cluster(Path(name), layout) as cluster:
            configure(cluster)
            direct_url = f"http://{LOOPBACK}:{cluster.ports['target-worker-1']}{TARGET_PATH}"
            entry_url = f"http://{LOOPBACK}:{cluster.ports['entry-1.callers']}"
            path_url = f"{entry_url}/v1/services/balance-check{TARGET_PATH}"
            rows = []
            for clients in map(int, _CLIENTS.value):
                direct = measure(direct_url, clients)
                rows.append(row(clients, direct, measure(path_url, clients)))
    print(f"{_RATE.value:g} requests/s for each client, {_REQUESTS.value} requests each")
    print(tabulate(rows, TABLE_HEADERS, tablefmt="plain", disable_numparse=True))


if __name__ == "__main__":
    app.run(main)

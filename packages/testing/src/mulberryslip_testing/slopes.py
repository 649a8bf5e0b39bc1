"""Measures CPU and memory of an entry and a worker process by number of workers and tasks.

The daemons are real and run on loopback; the fleet of the entry consists of wire servers in this
process that announce themselves and reply to renewals. Prints CPU usage and memory for each size.
"""

import os
import tempfile
import threading
import time
from datetime import timedelta
from pathlib import Path

from absl import app, flags
from mulberryslip import SystemClock
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.servers import Server
from mulberryslip.wire import EntryService, WorkerService
from mulberryslip.wire import ttypes as wire
from tabulate import tabulate

from .clusters import LOOPBACK, Cluster, Layout

_WORKERS = flags.DEFINE_list("workers", ["10", "40", "120"], "Fleet sizes for the entry.")
_TASKS = flags.DEFINE_list("tasks", ["0", "4", "8"], "Running tasks for the worker process.")
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Duration of each measurement in seconds.")

CLOCK = SystemClock()
SETTLE_S = 4.0
ANNOUNCE_INTERVAL_S = 1.0
CALL_TIMEOUT = timedelta(seconds=2)
CAPACITY = wire.Resources(8000, 16000, 0, 8)


class IdleWorker:
    """Fake worker without tasks that serves the calls of its owner and of the entry.

    :param number: number of the worker, part of its name.
    """

    def __init__(self, number: int):
        self.name = f"idle-{number}"
        self._server = Server(WorkerService.Processor(self), LOOPBACK, 0, 16, CLOCK)
        self._server.start()

    def ping(self, token: int) -> int:
        """Return the token."""
        return token

    def renew(self, req: wire.RenewRequest) -> wire.RenewReply:
        """Accept the renewal and report no tasks."""
        clock_ms = int(time.monotonic() * 1000)
        return wire.RenewReply(
            wire.Outcome.OK, "", req.epoch, [], self.load(), 1, "1", clock_ms=clock_ms
        )

    def load(self) -> wire.Load:
        """Return the load of an idle worker."""
        return wire.Load(0, 0, 1000, CAPACITY, False, 0)

    def announcement(self) -> wire.AnnounceRequest:
        """Return the announcement of this worker."""
        header = wire.Header(self.name, 1000, 1, self.name, "1")
        description = wire.WorkerDescription(
            self.name, "1", "concord", "r", LOOPBACK, self._server.port, CAPACITY, ["balance-check"]
        )
        return wire.AnnounceRequest(header, description, self.load())

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timedelta())


def announce_periodically(workers: list[IdleWorker], entry: Address, stop: threading.Event) -> None:
    """Announce each worker once a second until stopped."""
    pool = ChannelPool(EntryService.Client, CLOCK)
    while not stop.wait(ANNOUNCE_INTERVAL_S):
        for worker in workers:
            pool.call(entry, "announce", worker.announcement(), CALL_TIMEOUT)
    pool.close()


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(pid: int) -> tuple[float, float]:
    """Return the CPU usage in percent of a core and the resident memory in MiB."""
    cpu_before_s, started = cpu_s(pid), time.monotonic()
    time.sleep(_SECONDS.value)
    cpu_percent = 100 * (cpu_s(pid) - cpu_before_s) / (time.monotonic() - started)
    return cpu_percent, memory_mb(pid)


def store_calls(cluster: Cluster) -> int:
    """Return the number of calls that the store has counted."""
    return sum(cluster.call_stand_in("store", "GET", "/v1/counters")[1]["calls"].values())


def measure_entry(count: int) -> list[str]:
    """Measure an entry that owns every shard and knows a number of idle workers."""
    with tempfile.TemporaryDirectory(prefix="mulberryslip-slopes-") as name:
        layout = Layout(data_centres=("concord",), entries=1, workers=0)
        with Cluster(Path(name), layout) as cluster:
            cluster.put_config_change("/v1/data-centres/concord", {"state": "in"})
            workers = [IdleWorker(number) for number in range(count)]
            stop = threading.Event()
            entry = Address(LOOPBACK, cluster.ports["entry-1.wire"])
            thread = threading.Thread(target=announce_periodically, args=(workers, entry, stop))
            thread.start()
            time.sleep(SETTLE_S)
            calls_before = store_calls(cluster)
            cpu_percent, resident_mb = measure(cluster.processes["entry-1"].popen.pid)
            calls_per_s = (store_calls(cluster) - calls_before) / _SECONDS.value
            stop.set()
            thread.join()
            for worker in workers:
                worker.stop()
    return [
        f"entry, {count} idle workers",
        f"{cpu_percent:.1f}",
        f"{resident_mb:.0f}",
        f"{calls_per_s:.1f}",
    ]


def measure_worker(count: int) -> list[str]:
    """Measure a worker process with a number of running tasks and no requests."""
    with tempfile.TemporaryDirectory(prefix="mulberryslip-slopes-") as name:
        layout = Layout(data_centres=("concord",), entries=1, workers=1)
        with Cluster(Path(name), layout) as cluster:
            configure(cluster)
            if count:
                task = {"input": {"items": [], "never_finishes": True}}
                body = {"template": "reconciliation", "tasks": [task] * count}
                cluster.call("entry-1", "PUT", "/v1/jobs/job-1", body)
            time.sleep(SETTLE_S)
            cpu_percent, resident_mb = measure(cluster.processes["worker-1"].popen.pid)
    return [f"worker, {count} tasks", f"{cpu_percent:.1f}", f"{resident_mb:.0f}", "-"]


def configure(cluster: Cluster) -> None:
    """Create the data centre, account and template for small tasks."""
    cluster.put_config_change("/v1/data-centres/concord", {"state": "in"})
    cluster.put_config_change(
        "/v1/accounts/granite-hollow", {"cpu_millis": 8000, "memory_mb": 8000}
    )
    parameters = {"cpu_millis": 500, "memory_mb": 64}
    template = {"class": "batch", "account": "granite-hollow", "parameters": parameters}
    cluster.put_config_change("/v1/templates/reconciliation", template)


def main(argv: list[str]) -> None:
    """Print the measurements for each size."""
    rows = [measure_entry(int(count)) for count in _WORKERS.value]
    rows += [measure_worker(int(count)) for count in _TASKS.value]
    headers = ("PROCESS", "% OF A CORE", "MiB", "STORE CALLS/S")
    print(tabulate(rows, headers, tablefmt="plain", disable_numparse=True))


if __name__ == "__main__":
    app.run(main)

"""Measures what an entry and a worker process cost as the fleet and the tasks grow.

Real daemons on loopback; the fleet of the entry is a number of wire servers in this process that
announce themselves and answer renewals. Prints processor share and memory for each size.
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
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Time of each measurement.")

CLOCK = SystemClock()
SETTLE_S = 4.0
ANNOUNCE_S = 1.0
CALL_TIMEOUT = timedelta(seconds=2)
FREE = wire.Resources(8000, 16000, 0, 8)


class IdleWorker:
    """A worker without tasks, as its owner and the entry see it.

    :param number: number of the worker.
    """

    def __init__(self, number: int):
        self.name = f"idle-{number}"
        self._server = Server(WorkerService.Processor(self), LOOPBACK, 0, 16, CLOCK)
        self._server.start()

    def ping(self, token: int) -> int:
        """Return the token."""
        return token

    def renew(self, req: wire.RenewRequest) -> wire.RenewReply:
        """Return no tasks."""
        clock_ms = int(time.monotonic() * 1000)
        return wire.RenewReply(
            wire.Outcome.OK, "", req.epoch, [], self.load(), 1, "1", clock_ms=clock_ms
        )

    def load(self) -> wire.Load:
        """Return the load of an idle worker."""
        return wire.Load(0, 0, 1000, FREE, False, 0)

    def announcement(self) -> wire.AnnounceRequest:
        """Return what the worker announces."""
        header = wire.Header(self.name, 1000, 1, self.name, "1")
        description = wire.WorkerDescription(
            self.name, "1", "concord", "r", LOOPBACK, self._server.port, FREE, ["balance-check"]
        )
        return wire.AnnounceRequest(header, description, self.load())

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timedelta())


def announce_all(workers: list[IdleWorker], entry: Address, stop: threading.Event) -> None:
    """Announce each worker once a second until stopped."""
    pool = ChannelPool(EntryService.Client, CLOCK)
    while not stop.wait(ANNOUNCE_S):
        for worker in workers:
            pool.call(entry, "announce", worker.announcement(), CALL_TIMEOUT)
    pool.close()


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(pid: int) -> tuple[float, float]:
    """Return the processor share in percent of a core and the memory in megabytes."""
    before, started = cpu_s(pid), time.monotonic()
    time.sleep(_SECONDS.value)
    share = 100 * (cpu_s(pid) - before) / (time.monotonic() - started)
    return share, memory_mb(pid)


def store_calls(cluster: Cluster) -> int:
    """Return the number of calls that the store has counted."""
    return sum(cluster.stand_in("store", "GET", "/v1/counters")[1]["calls"].values())


def measure_entry(count: int) -> list[str]:
    """Measure an entry that owns every shard and knows a number of idle workers."""
    with tempfile.TemporaryDirectory(prefix="mulberryslip-slopes-") as name:
        layout = Layout(data_centres=("concord",), entries=1, workers=0)
        with Cluster(Path(name), layout) as cluster:
            cluster.change("/v1/data-centres/concord", {"state": "in"})
            workers = [IdleWorker(number) for number in range(count)]
            stop = threading.Event()
            entry = Address(LOOPBACK, cluster.ports["entry-1.wire"])
            thread = threading.Thread(target=announce_all, args=(workers, entry, stop))
            thread.start()
            time.sleep(SETTLE_S)
            before = store_calls(cluster)
            share, memory = measure(cluster.processes["entry-1"].popen.pid)
            rate = (store_calls(cluster) - before) / _SECONDS.value
            stop.set()
            thread.join()
            for worker in workers:
                worker.stop()
    return [f"entry, {count} idle workers", f"{share:.1f}", f"{memory:.0f}", f"{rate:.1f}"]


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
            share, memory = measure(cluster.processes["worker-1"].popen.pid)
    return [f"worker, {count} tasks", f"{share:.1f}", f"{memory:.0f}", "-"]


def configure(cluster: Cluster) -> None:
    """Accept a template for small tasks."""
    cluster.change("/v1/data-centres/concord", {"state": "in"})
    cluster.change("/v1/accounts/granite-hollow", {"cpu_millis": 8000, "memory_mb": 8000})
    parameters = {"cpu_millis": 500, "memory_mb": 64}
    template = {"class": "batch", "account": "granite-hollow", "parameters": parameters}
    cluster.change("/v1/templates/reconciliation", template)


def main(argv: list[str]) -> None:
    """Print the cost of each size."""
    rows = [measure_entry(int(count)) for count in _WORKERS.value]
    rows += [measure_worker(int(count)) for count in _TASKS.value]
    headings = ("PROCESS", "% OF A CORE", "MB", "STORE CALLS/S")
    print(tabulate(rows, headings, tablefmt="plain", disable_numparse=True))


if __name__ == "__main__":
    app.run(main)

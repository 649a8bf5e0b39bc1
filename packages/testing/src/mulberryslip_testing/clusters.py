"""Run daemons and stand-ins as real processes on loopback."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import urllib3

from .proxies import Proxy

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Below the ephemeral port range of the system: an outgoing connection could otherwise take a port
# between its selection and its use.
PORT_RANGE = range(15_000, 32_000)
MAX_PORT_SAMPLES = 100
STOP_TIMEOUT_S = 15.0


class ClusterError(Exception):
    """A process of the cluster did not behave as expected."""


@attrs.define
class Process:
    """One child process.

    :param name: name in error messages and log output.
    :param argv: command line.
    :param log_path: file to which its output is appended.
    :param popen: running or ended process; None before the first start.
    """

    name: str
    argv: Sequence[str]
    log_path: Path
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or restart it after it has ended; one that runs is kept."""
        if self.running():
            return
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(self.argv, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number: int) -> None:
        """Send a signal, such as `signal.SIGSTOP`, unless the process has ended."""
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> int:
        """Request a planned stop with SIGTERM and wait for the exit.

        :returns: the exit code.
        :raises ClusterError: if the process does not exit within `STOP_TIMEOUT_S`.
        """
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as exc:
            raise ClusterError(f"{self.name} did not exit within {STOP_TIMEOUT_S} s") from exc

    def running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.popen is not None and self.popen.poll() is None


@attrs.frozen
class Layout:
    """Size and timing of a cluster.

    :param data_centres: names; workers and entries are assigned to them round-robin.
    :param entries: number of entries.
    :param workers: number of workers, each with its own target.
    :param service: template of the service that the targets provide.
    :param timing: overrides of the `[timing]` table, in milliseconds.
    :param store: overrides of the `[store]` table.
    :param entry: overrides of the `[entry]` table.
    :param worker: overrides of the `[worker]` table.
    """

    data_centres: tuple[str, ...] = ("concord", "keene")
    entries: int = 2
    workers: int = 3
    service: str = "balance-check"
    timing: dict[str, int] = attrs.field(factory=dict)
    store: dict[str, Any] = attrs.field(factory=dict)
    entry: dict[str, Any] = attrs.field(factory=dict)
    worker: dict[str, Any] = attrs.field(factory=dict)


class Cluster:
    """Entries and workers on a platform of stand-ins, for one test or demo.

    :param directory: directory for settings and logs.
    :param layout: size and timing.
    """

    def __init__(self, directory: Path, layout: Layout | None = None):
        self.directory = directory
        self.layout = layout or Layout()
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.http = urllib3.PoolManager(timeout=urllib3.Timeout(5.0), retries=False, maxsize=16)
        self._add_stand_in("store", "stores")
        self._add_stand_in("runtime", "runtimes")
        for name in self.worker_names():
            self._add_stand_in(f"target-{name}", "targets")
        for name in self.entry_names():
            self._allocate(f"{name}.wire", f"{name}.callers", f"{name}.operators")
        for name in self.worker_names():
            self._allocate(f"{name}.wire")
        for name in (*self.entry_names(), *self.worker_names()):
            self._add_daemon(name)

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry-{i + 1}" for i in range(self.layout.entries)]

    def worker_names(self) -> list[str]:
        """Return the names of the workers."""
        return [f"worker-{i + 1}" for i in range(self.layout.workers)]

    def data_centre(self, name: str) -> str:
        """Return the data centre of an entry or worker."""
        number = int(name.rpartition("-")[2]) - 1
        return self.layout.data_centres[number % len(self.layout.data_centres)]

    def store_url(self, name: str) -> str:
        """Return the store URL for a daemon; overridden in `ProxiedCluster`."""
        return f"http://{LOOPBACK}:{self.ports['store']}"

    def advertised_host(self, name: str) -> str:
        """Return the IP address that a daemon advertises; overridden in `ProxiedCluster`."""
        return LOOPBACK

    def start(self) -> None:
        """Start the stand-ins, then the daemons, and wait until every entry lists all workers."""
        stand_ins = [n for n in self.processes if n in ("store", "runtime") or "target" in n]
        for name in stand_ins:
            self.processes[name].start()
        for name in stand_ins:
            self.wait_for_port(name, self.ports[name])
        for name in (*self.entry_names(), *self.worker_names()):
            self.processes[name].start()
        for name in self.entry_names():
            self.wait_for_port(name, self.ports[f"{name}.operators"])
        self.wait_until(self._all_workers_listed, "all workers announced")

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()

    def __enter__(self) -> "Cluster":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def operators_address(self, entry: str = "entry-1") -> str:
        """Return the operator API address of an entry as `IP:PORT`."""
        return f"{LOOPBACK}:{self.ports[f'{entry}.operators']}"

    def call(
        self, entry: str, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Send a request to the callers' API of an entry.

        :param body: bytes, or an object to encode as JSON; None sends no body.
        :param headers: underscores in names become hyphens.
        :returns: HTTP status, and the decoded JSON body or the text if it is not JSON.
        """
        url = f"http://{LOOPBACK}:{self.ports[f'{entry}.callers']}{path}"
        return self._request(method, url, body, headers)

    def call_operator_api(
        self, method: str, path: str, body: Any = None, entry: str = "entry-1", **headers: str
    ) -> tuple[int, Any]:
        """Send a request to the operator API of an entry; see `call`."""
        return self._request(method, f"http://{self.operators_address(entry)}{path}", body, headers)

    def call_stand_in(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request to a stand-in, given its process name; see `call`."""
        return self._request(method, f"http://{LOOPBACK}:{self.ports[name]}{path}", body, {})

    def put_config_change(self, path: str, body: Any, entry: str = "entry-1") -> int:
        """Put one configuration change, based on the current revision.

        :returns: the revision of the changed configuration.
        :raises ClusterError: if the entry rejects the change.
        """
        _, current = self.call_operator_api("GET", "/v1/config", entry=entry)
        status, response = self.call_operator_api(
            "PUT", path, body, entry=entry, If_Revision=str(current["revision"])
        )
        if status >= 400:
            raise ClusterError(f"PUT {path}: {status} {response}")
        return response["revision"]

    def wait_until(self, condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
        """Poll a condition until it returns a true value.

        HTTP errors and `ClusterError` raised by the condition count as false.

        :param condition: callable without arguments.
        :param what: description of the condition for the error message.
        :param timeout_s: timeout in seconds.
        :returns: the value that the condition returned.
        :raises ClusterError: if the timeout expires.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                value = condition()
            except (urllib3.exceptions.HTTPError, ClusterError):
                value = None
            if value:
                return value
            time.sleep(POLL_INTERVAL_S)
        raise ClusterError(f"timed out after {timeout_s} s: {what}\n{self.logs()}")

    def wait_for_port(self, name: str, port: int) -> None:
        """Wait until a process listens on a loopback port."""

        def listening() -> bool:
            if not self.processes[name].running():
                raise RuntimeError(f"{name} has exited\n{self.logs(name)}")
            with socket.socket() as sock:
                return sock.connect_ex((LOOPBACK, port)) == 0

        self.wait_until(listening, f"{name} listens on port {port}")

    def logs(self, name: str = "", lines: int = 15) -> str:
        """Return the last lines of the log of one process, or of all if no name is given."""
        parts = []
        for process in self.processes.values():
            if name in ("", process.name) and process.log_path.exists():
                tail = process.log_path.read_text(errors="replace").splitlines()[-lines:]
                parts.append(f"--- {process.name}\n" + "\n".join(tail))
        return "\n".join(parts)

    def _all_workers_listed(self) -> bool:
        for entry in self.entry_names():
            status, response = self.call_operator_api("GET", "/v1/workers", entry=entry)
            if status != 200 or len(response["workers"]) < self.layout.workers:
                return False
        return True

    def _request(self, method: str, url: str, body: Any, headers: dict) -> tuple[int, Any]:
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        data = None
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            names.setdefault("Content-Type", "application/json")
        resp = self.http.request(method, url, body=data, headers=names)
        text = resp.data.decode(errors="replace")
        try:
            return resp.status, json.loads(text)
        except ValueError:
            return resp.status, text

    def _allocate(self, *names: str) -> None:
        for name in names:
            self.ports[name] = free_port(set(self.ports.values()))

    def _add_stand_in(self, name: str, module: str) -> None:
        self._allocate(name)
        argv = [
            sys.executable,
            "-m",
            f"mulberryslip_testing.{module}",
            f"--port={self.ports[name]}",
        ]
        self.processes[name] = Process(name, argv, self.directory / f"{name}.log")

    def _add_daemon(self, name: str) -> None:
        path = self.directory / f"{name}.toml"
        role = "entry" if name in self.entry_names() else "worker"
        tables = {
            "process": {
                "role": role,
                "id": name,
                "data_centre": self.data_centre(name),
                "rack": f"{self.data_centre(name)}-rack-1",
                "host": self.advertised_host(name),
                "listen_host": LOOPBACK,
            },
            "timing": self.layout.timing,
            role: self._entry_table(name) if role == "entry" else self._worker_table(name),
        }
        if role == "entry":
            tables["store"] = {"url": self.store_url(name), **self.layout.store}
        path.write_text(to_toml(tables))
        daemon = os.path.join(os.path.dirname(sys.executable), "mulberryslipd")
        argv = [daemon, f"--config={path}"]
        self.processes[name] = Process(name, argv, self.directory / f"{name}.log")

    def _entry_table(self, name: str) -> dict[str, Any]:
        ports = {f"{kind}_port": self.ports[f"{name}.{kind}"] for kind in ("wire", "callers")}
        return {**ports, "operators_port": self.ports[f"{name}.operators"], **self.layout.entry}

    def _worker_table(self, name: str) -> dict[str, Any]:
        entries = [
            f"{self.advertised_host(entry)}:{self.ports[f'{entry}.wire']}"
            for entry in self.entry_names()
        ]
        return {
            "wire_port": self.ports[f"{name}.wire"],
            "target_url": f"http://{LOOPBACK}:{self.ports[f'target-{name}']}",
            "runtime_url": f"http://{LOOPBACK}:{self.ports['runtime']}/workers/{name}",
            "services": [self.layout.service],
            "entries": entries,
            "cpu_millis": 8000,
            "memory_mb": 16000,
            **self.layout.worker,
        }


def free_port(taken: set[int]) -> int:
    """Return a random TCP port on which nothing listens.

    :param taken: ports to exclude.
    :raises ClusterError: if no free port is found.
    """
    for port in random.sample(PORT_RANGE, MAX_PORT_SAMPLES):
        with socket.socket() as sock:
            if port not in taken and sock.connect_ex((LOOPBACK, port)) != 0:
                return port
    raise ClusterError(f"no free port among {MAX_PORT_SAMPLES} samples of {PORT_RANGE}")


class ProxiedCluster(Cluster):
    """A cluster whose daemons reach each other and the store through fault-injecting proxies.

    Each daemon advertises a loopback IP address of its own, on which its proxy listens on the
    daemon's port. `daemon_proxies` maps daemon names to the proxies in front of the daemons;
    `store_proxies` maps entry names to the proxies between the entries and the store.
    """

    def __init__(self, directory: Path, layout: Layout | None = None):
        self.daemon_proxies: dict[str, Proxy] = {}
        self.store_proxies: dict[str, Proxy] = {}
        super().__init__(directory, layout)

    def store_url(self, name: str) -> str:
        """Return the URL of the entry's proxy to the store."""
        if name not in self.store_proxies:
            self.store_proxies[name] = Proxy(LOOPBACK, self.ports["store"])
        return f"http://{LOOPBACK}:{self.store_proxies[name].port}"

    def advertised_host(self, name: str) -> str:
        """Return the IP address of the daemon's proxy."""
        kind, _, number = name.rpartition("-")
        network = 1 if kind == "entry" else 2
        return f"127.0.{network}.{number}"

    def start(self) -> None:
        """Start the proxies, then the processes as in `Cluster.start`."""
        for name in (*self.entry_names(), *self.worker_names()):
            port = self.ports[f"{name}.wire"]
            host = self.advertised_host(name)
            self.daemon_proxies[name] = Proxy(LOOPBACK, port, listen_port=port, listen_host=host)
        super().start()

    def stop(self) -> None:
        """Kill every process and stop the proxies."""
        super().stop()
        for proxy in (*self.daemon_proxies.values(), *self.store_proxies.values()):
            proxy.stop()


def to_toml(tables: dict[str, dict[str, Any]]) -> str:
    """Serialize tables of strings, numbers, booleans and lists as TOML."""
    lines = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        lines.append("")
    return "\n".join(lines)

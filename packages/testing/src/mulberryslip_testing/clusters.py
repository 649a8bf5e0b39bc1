"""Starts the daemons and the stand-ins as real processes on loopback."""

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
POLL_S = 0.05
# Below the range that the system gives to outgoing connections, which could take a port between
# its choice and its use.
PORTS = range(15_000, 32_000)
PORT_TRIES = 100
STOP_TIMEOUT_S = 15.0


class ClusterError(Exception):
    """A process of the cluster did not behave as expected."""


@attrs.define
class Process:
    """One child process.

    :param name: name for messages and for its log file.
    :param argv: command line.
    :param log_path: file that receives its output.
    """

    name: str
    argv: Sequence[str]
    log_path: Path
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, again if it has ended."""
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(self.argv, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number: int) -> None:
        """Send a signal, such as `signal.SIGSTOP`, unless the process has ended."""
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> int:
        """Ask for a planned stop.

        :returns: the exit code.
        :raises ClusterError: when the process does not end in time.
        """
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as exc:
            raise ClusterError(f"{self.name} did not end within {STOP_TIMEOUT_S} s") from exc

    def running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.popen is not None and self.popen.poll() is None


@attrs.frozen
class Layout:
    """Size and timing of a cluster.

    :param data_centres: names; workers and entries are spread over them in turn.
    :param entries: number of entries.
    :param workers: number of workers, each with its own target.
    :param service: template that the targets answer.
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
    """A platform of stand-ins with entries and workers, for one test or demo.

    :param directory: receives settings and logs.
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
        """Return the store's address as seen by a daemon; a proxied cluster overrides this."""
        return f"http://{LOOPBACK}:{self.ports['store']}"

    def advertised_host(self, name: str) -> str:
        """Return the IP address told to peers; a proxied cluster overrides this."""
        return LOOPBACK

    def start(self) -> None:
        """Start the stand-ins, then the daemons, and wait until every entry knows every worker."""
        stand_ins = [n for n in self.processes if n in ("store", "runtime") or "target" in n]
        for name in stand_ins:
            self.processes[name].start()
        for name in stand_ins:
            self.wait_for_port(name, self.ports[name])
        for name in (*self.entry_names(), *self.worker_names()):
            self.processes[name].start()
        for name in self.entry_names():
            self.wait_for_port(name, self.ports[f"{name}.operators"])
        self.wait_until(self._workers_known, "all workers announced")

    def stop(self) -> None:
        """Kill every process that still runs."""
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
        """Return `IP:PORT` of an entry's operators' interface."""
        return f"{LOOPBACK}:{self.ports[f'{entry}.operators']}"

    def call(
        self, entry: str, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Call an entry's callers' interface.

        :param headers: underscores in names become hyphens.
        :returns: HTTP status and decoded JSON, or the text where the answer is no JSON.
        """
        url = f"http://{LOOPBACK}:{self.ports[f'{entry}.callers']}{path}"
        return self._request(method, url, body, headers)

    def operate(
        self, method: str, path: str, body: Any = None, entry: str = "entry-1", **headers: str
    ) -> tuple[int, Any]:
        """Call an entry's operators' interface; see `call`."""
        return self._request(method, f"http://{self.operators_address(entry)}{path}", body, headers)

    def stand_in(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call a stand-in by its process name; see `call`."""
        return self._request(method, f"http://{LOOPBACK}:{self.ports[name]}{path}", body, {})

    def change(self, path: str, body: Any, entry: str = "entry-1") -> int:
        """Put one configuration change on top of the newest revision.

        :returns: the revision that it got.
        :raises ClusterError: when it is refused.
        """
        _, current = self.operate("GET", "/v1/config", entry=entry)
        status, answer = self.operate(
            "PUT", path, body, entry=entry, If_Revision=str(current["revision"])
        )
        if status >= 400:
            raise ClusterError(f"PUT {path}: {status} {answer}")
        return answer["revision"]

    def wait_until(self, condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
        """Wait until a condition returns something true.

        :returns: what the condition returned.
        :raises ClusterError: when it stays false.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                value = condition()
            except (urllib3.exceptions.HTTPError, ClusterError):
                value = None
            if value:
                return value
            time.sleep(POLL_S)
        raise ClusterError(f"not within {timeout_s} s: {what}\n{self.logs()}")

    def wait_for_port(self, name: str, port: int) -> None:
        """Wait until a process listens on a port of loopback."""

        def listening() -> bool:
            if not self.processes[name].running():
                raise RuntimeError(f"{name} has ended\n{self.logs(name)}")
            with socket.socket() as sock:
                return sock.connect_ex((LOOPBACK, port)) == 0

        self.wait_until(listening, f"{name} listens on port {port}")

    def logs(self, name: str = "", lines: int = 15) -> str:
        """Return the last lines of the log of one process or of all."""
        parts = []
        for process in self.processes.values():
            if name in ("", process.name) and process.log_path.exists():
                tail = process.log_path.read_text(errors="replace").splitlines()[-lines:]
                parts.append(f"--- {process.name}\n" + "\n".join(tail))
        return "\n".join(parts)

    def _workers_known(self) -> bool:
        for entry in self.entry_names():
            status, answer = self.operate("GET", "/v1/workers", entry=entry)
            if status != 200 or len(answer["workers"]) < self.layout.workers:
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
    """Return a TCP port on which nothing listens.

    :param taken: ports that are not to be returned.
    :raises ClusterError: when none is found.
    """
    for port in random.sample(PORTS, PORT_TRIES):
        with socket.socket() as sock:
            if port not in taken and sock.connect_ex((LOOPBACK, port)) != 0:
                return port
    raise ClusterError(f"no free port among {PORT_TRIES} of {PORTS}")


class ProxiedCluster(Cluster):
    """A cluster whose daemons reach each other and the store through fault-injecting proxies.

    Each daemon has an IP address of its own on loopback; its proxy listens there on the daemon's
    port. `wires` holds the proxy in front of each daemon, `store_links` that of each entry to the
    store, both by the daemon's name.
    """

    def __init__(self, directory: Path, layout: Layout | None = None):
        self.wires: dict[str, Proxy] = {}
        self.store_links: dict[str, Proxy] = {}
        super().__init__(directory, layout)

    def store_url(self, name: str) -> str:
        """Return the address of the entry's own proxy to the store."""
        if name not in self.store_links:
            self.store_links[name] = Proxy(LOOPBACK, self.ports["store"])
        return f"http://{LOOPBACK}:{self.store_links[name].port}"

    def advertised_host(self, name: str) -> str:
        """Return the IP address of the daemon's proxy."""
        kind, _, number = name.rpartition("-")
        network = 1 if kind == "entry" else 2
        return f"127.0.{network}.{number}"

    def start(self) -> None:
        """Start the proxies, then as `Cluster.start`."""
        for name in (*self.entry_names(), *self.worker_names()):
            port = self.ports[f"{name}.wire"]
            host = self.advertised_host(name)
            self.wires[name] = Proxy(LOOPBACK, port, listen_port=port, listen_host=host)
        super().start()

    def stop(self) -> None:
        """Kill every process and stop the proxies."""
        super().stop()
        for proxy in (*self.wires.values(), *self.store_links.values()):
            proxy.stop()


def to_toml(tables: dict[str, dict[str, Any]]) -> str:
    """Return tables of strings, numbers, booleans and lists as TOML text."""
    lines = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        lines.append("")
    return "\n".join(lines)

"""Starts gateways and agents with the command of the deploy file, beside the stand-ins."""

import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .histories import History
from .stores import Store
from .workers import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
READY_S = 25.0
PORTS = range(15000, 30000)

# Renders what deploy/gateway.toml and deploy/agent.toml set, with the small sites' figures.
COMMON_SETTINGS = """\
[process]
role = "{role}"
id = "{name}"
data_centre = "{zone}"
host = "127.0.0.1"

[adapter]
module = "mulberryslip_platform"

[store]
url = "http://{store}"
timeout_ms = 600
lease_ttl_ms = 3000
writes_per_s = 400

[pool]
lease_ms = 6000
"""
GATEWAY_SETTINGS = """
[timing]
stop_grace_ms = 3000

[gateway]
callers = "127.0.0.1:{callers}"
health = "127.0.0.1:{health}"
metrics = "127.0.0.1:{metrics}"
"""
AGENT_SETTINGS = """
[agent]
wire = "127.0.0.1:{wire}"
announcements = "127.0.0.1:{announcements}"
metrics = "127.0.0.1:{metrics}"
worker_url = "http://{worker}"
"""


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Process:
    """One process of the system; started again under the same settings after `kill`."""

    def __init__(self, name, settings, role, directory):
        self.name = name
        path = directory / f"{name}.toml"
        path.write_text(settings)
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]["run"]
        words = command.replace("/etc/mulberryslip/node.toml", str(path))
        self._argv = [sys.executable, *shlex.split(words)[1:]]
        self._log = directory / f"{name}.log"
        self._popen = None

    def start(self):
        """Start the process."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MULBERRYSLIP_SETTINGS"] = self._argv[-1]
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                self._argv, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number):
        """Send a signal, if the process runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._popen is not None:
            self.signal(signal.SIGKILL)
            self._popen.wait()

    def is_running(self):
        """Return whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def resident_mb(self):
        """Return the memory that the process uses."""
        try:
            text = Path(f"/proc/{self._popen.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def log_text(self):
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Deployment:
    """A small deployment: gateways, and agents with a worker each.

    :param seconds_of: maps a task's name to the length of its work.
    """

    def __init__(self, agents, gateways, seconds_of, capacity=None, attempts=2, zones=("z1",)):
        self.history = History()
        self.store = Store()
        self.zones = zones
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        directory = Path(self._directory.name)
        self.store.operate("op/config", self._config(attempts))
        ports = _free_ports(3 * (agents + gateways))
        self.workers, self.agents, self.gateways, self.fronts = [], [], [], []
        self.wire_ports, announcements = {}, []
        for number in range(agents):
            name, zone = f"side-{zones[number % len(zones)]}-{number + 1}", zones[0]
            zone = zones[number % len(zones)]
            room = capacity or {"Cpu": 64000, "MemMb": 256000, "Gpu": 0}
            worker = Worker(f"i-{number + 1:08x}", zone, SERVICE, room, seconds_of, self.history)
            self.workers.append(worker)
            own = {"wire": ports.pop(), "announcements": ports.pop(), "metrics": ports.pop()}
            self.wire_ports[name] = own["wire"]
            announcements.append(f"127.0.0.1:{own['announcements']}")
            settings = COMMON_SETTINGS + AGENT_SETTINGS
            text = settings.format(
                role="agent", name=name, zone=zone, worker=worker.address,
                store=self.store.port_for(name), **own,
            )  # fmt: skip
            self.agents.append(Process(name, text, "agent", directory))
        for number in range(gateways):
            zone = zones[number % len(zones)]
            name = f"front-{zone}-{number + 1}"
            own = {"callers": ports.pop(), "health": ports.pop(), "metrics": ports.pop()}
            text = (COMMON_SETTINGS + GATEWAY_SETTINGS).format(
                role="gateway", name=name, zone=zone, store=self.store.port_for(name), **own
            )
            self.gateways.append(Process(name, text, "gateway", directory))
            self.fronts.append(f"127.0.0.1:{own['callers']}")
        self._announcements = announcements

    def _config(self, attempts):
        route = {
            "Name": "r-1",
            "Host": HOST,
            "Prefix": PREFIX,
            "Service": SERVICE,
            "Priority": 0,
            "Attempts": attempts,
            "Stretch": 1.5,
            "SloMs": 300,
        }
        return {"Version": 1, "Routes": [route], "Services": [{"Name": SERVICE}], "Limits": {}}

    def __enter__(self):
        for process in (*self.agents, *self.gateways):
            process.start()
        for worker, address in zip(self.workers, self._announcements, strict=True):
            worker.announce_to(address)
        return self

    def __exit__(self, kind, *_):
        if kind is CannotRunError:
            for process in (*self.gateways, *self.agents):
                print(f"{process.name}: {process.log_text()[-600:]}")
        for process in (*self.gateways, *self.agents):
            process.signal(signal.SIGCONT)
            process.kill()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self._directory.cleanup()

    def wait_until_ready(self):
        """Wait until every gateway has a task of its own done.

        :raises CannotRunError: this took too long.
        """
        expires = time.monotonic() + READY_S
        for number, front in enumerate(self.fronts):
            name = f"{number + 1:016x}"
            steps = [{"Count": len(self.workers), "Cpu": 100, "MemMb": 10, "EstimateMs": 100}]
            while self.request("POST", front, name, {"Spec": "w", "Steps": steps})[0] != 200:
                _check_time(expires)
            while self.request("GET", front, name)[1].get("State") != "completed":
                _check_time(expires)

    def owner(self):
        """Return the name of the agent that owns the pool by the store, or an empty string."""
        value = self.store.value("pools/0/owner")
        return json.loads(value)["entry_id"] if value else ""

    def process(self, name):
        """Return a process by name."""
        return next(p for p in (*self.agents, *self.gateways) if p.name == name)

    def request(self, method, front, name="", document=None, wait_s=3.0, conn=None):
        """Send a client's request on a channel of its own; return the status and the document.

        The status is 0 if no answer came in time.
        """
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        body = None
        if document is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(document)
        own = conn or http.client.HTTPConnection(front, timeout=wait_s)
        self.history.add("sent", front, name, method=method)
        try:
            own.request(method, PREFIX + name, body, headers)
            resp = own.getresponse()
            data = resp.read()
            status, answer = resp.status, json.loads(data) if data else {}
        except (OSError, http.client.HTTPException, ValueError) as exc:
            own.close()
            status, answer = 0, {"error": repr(exc)}
        finally:
            if conn is None:
                own.close()
        self.history.add("answered", front, name, method=method, status=status, answer=str(answer))
        return status, answer


def _check_time(expires):
    if time.monotonic() > expires:
        raise CannotRunError("the deployment did not become ready")
    time.sleep(0.1)


def _free_ports(count):
    """Return free ports below those that the system gives to outgoing connections."""
    ports = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("too few free ports")

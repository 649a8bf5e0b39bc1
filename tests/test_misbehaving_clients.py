"""Tests of the real processes beside clients that stall, flood or do not read their responses.

Each test starts the processes with lowered limits, connects a small set of such clients and checks
that the process lives, that its peak memory and its open descriptors stay within bounds, and that
one ordinary request is answered. There are no bounds on times; `ANSWER_TIMEOUT_S` only ends a test
whose process hangs.
"""

import contextlib
import json
import os
import socket
import sys
import threading
import time
from datetime import timedelta
from pathlib import Path

import pytest
import urllib3
from mulberryslip import settings
from mulberryslip.steps import StepSpec
from mulberryslip_testing.clusters import Cluster, Layout, Process, free_port, to_toml
from mulberryslip_testing.waits import wait_until
from platform_doubles import PlatformStoreServer, PlatformWorkerServer
from pool_doubles import History

ROOT = Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"
ANSWER_TIMEOUT_S = 15.0
SETTLE_S = 3.0
"""Time in which all clients have connected and sent what they send at once."""

CLIENTS = 16
CONNECTIONS = 300
"""Connections of the clients that only open connections."""

FIELD_CLIENTS = 24
FIELD_DOCUMENTS = 3
"""Documents that each of the clients with many fields sends."""

PIPELINED = 20_000
PIECE_INTERVAL_S = 0.5

THREADS = 4
"""Threads of the doors of callers; those of the other doors are not a setting."""

LIMITS = {
    "memory_mb": 16,
    "transfer_timeout_ms": 3000,
    "connections": 64,
    "connections_per_address": 48,
}
MAX_MEMORY_MB = 100
"""Bound on the peak of the resident memory: an idle process takes 35 to 50 MB, the budget 16 MB."""

MAX_DESCRIPTORS = 200
"""Bound on open descriptors: 64 connections at each of two doors and about 40 of the process."""

BODY_BYTES = 400_000
ID = "5c0e7a21d94b36f8"
HOST = "nony24.example"
ROUTE = {"Name": "r-1", "Host": HOST, "Prefix": "/checks/", "Service": "ledger", "SloMs": 300}
CONFIG = {"Version": 7, "Routes": [ROUTE], "Services": [{"Name": "ledger"}], "Limits": {}}
SUBMISSION = {"Spec": "text", "Steps": [{"Count": 2, "Cpu": 100}, {"After": [0], "Cpu": 100}]}


# Clients


def head(path, *lines, method="POST"):
    rows = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def send_in_pieces(conn, pieces, stop):
    for piece in pieces:
        conn.sendall(piece)
        if stop.wait(PIECE_INTERVAL_S):
            return


def stall_body(conn, path, stop):
    """Send a body in one piece up to its last byte."""
    conn.sendall(head(path, f"Content-Length: {BODY_BYTES}") + b" " * (BODY_BYTES - 1))
    conn.settimeout(ANSWER_TIMEOUT_S)
    conn.recv(1)


def trickle_body(conn, path, stop):
    """Send most of a body at once and the rest byte by byte."""
    conn.sendall(head(path, f"Content-Length: {BODY_BYTES}") + b" " * (BODY_BYTES - 1000))
    send_in_pieces(conn, [b" "] * 999, stop)


def trickle_chunks(conn, path, stop):
    """Send a body in many small chunks, the last ones slowly."""
    chunks = b"3e8\r\n" + b" " * 1000 + b"\r\n"
    conn.sendall(head(path, "Transfer-Encoding: chunked") + chunks * (BODY_BYTES // 1000))
    send_in_pieces(conn, [b"1\r\n \r\n"] * 999, stop)


def trickle_head(conn, path, stop):
    """Send the header fields byte by byte."""
    conn.sendall(f"POST {path} HTTP/1.1\r\nX: ".encode())
    send_in_pieces(conn, [b"a"] * 999, stop)


def send_too_much(conn, path, stop):
    """Announce a body far over the limit and send it."""
    conn.sendall(head(path, "Content-Length: 50000000"))
    for _ in range(500):
        conn.sendall(b" " * 100_000)


def send_endless_chunks(conn, path, stop):
    """Send chunks far over the limit."""
    conn.sendall(head(path, "Transfer-Encoding: chunked"))
    for _ in range(500):
        conn.sendall(b"186a0\r\n" + b" " * 100_000 + b"\r\n")


def read_nothing(conn, path, stop):
    """Send many requests without reading a response."""
    conn.settimeout(2)
    with contextlib.suppress(TimeoutError):
        conn.sendall(head(path, method="GET") * PIPELINED)
    stop.wait(ANSWER_TIMEOUT_S)


class Crowd:
    """Clients that behave alike and reconnect whenever their connection is closed."""

    def __init__(self, port, path, behaviour, clients=CLIENTS):
        self._address = (LOOPBACK, port)
        self._path = path
        self._behaviour = behaviour
        self._stop = threading.Event()
        self._connections = set()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(clients)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        time.sleep(SETTLE_S)
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        for conn in list(self._connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(ANSWER_TIMEOUT_S)

    def _run(self):
        while not self._stop.is_set():
            with contextlib.suppress(OSError), socket.socket() as conn:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                conn.settimeout(ANSWER_TIMEOUT_S)
                conn.connect(self._address)
                self._connections.add(conn)
                self._behaviour(conn, self._path, self._stop)
            self._connections.discard(conn)
            self._stop.wait(0.05)


# Processes


def peak_memory_mb(process):
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) // 1024


def descriptors(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def check_bounds(process):
    assert process.running()
    assert peak_memory_mb(process) <= MAX_MEMORY_MB
    assert descriptors(process) <= MAX_DESCRIPTORS


def request(port, method, path, body=None):
    http = urllib3.PoolManager(retries=False, timeout=ANSWER_TIMEOUT_S)
    return http.request(
        method, f"http://{LOOPBACK}:{port}{path}", json=body, headers={"Host": HOST}
    )


def lowered_limits(role):
    """Return the table of limits, or none for a version that does not know it."""
    return {"http": LIMITS} if "http" in settings.ROLE_TABLES[role] else {}


class PoolProcesses:
    """A gateway and an agent as real processes, on doubles of the platform in this process."""

    def __init__(self, directory):
        self._directory = directory
        self._stop = threading.Event()
        self.store = PlatformStoreServer()
        self.store.operate("op/config", CONFIG)
        self.history = History()
        self.worker = PlatformWorkerServer(0, self.history)
        self.history.specs[ID] = type("Spec", (), {"steps": [StepSpec(), StepSpec(after=(0,))]})
        self.ports = {}
        self.processes = {}
        self._add("gateway", ("callers", "health", "metrics"), threads=THREADS)
        self._add("agent", ("wire", "announcements", "metrics"), worker_url=self.worker.url)

    def _add(self, role, addresses, **own):
        for name in addresses:
            self.ports[f"{role}.{name}"] = free_port(set(self.ports.values()))
        own |= {name: f"{LOOPBACK}:{self.ports[f'{role}.{name}']}" for name in addresses}
        tables = {
            "process": {"role": role, "id": f"{role}-1", "data_centre": "east", "host": LOOPBACK},
            "adapter": {"module": "mulberryslip_platform"},
            "store": {"url": self.store.url},
            "pool": {"count": 1},
            role: own,
            **lowered_limits(role),
        }
        path = self._directory / f"{role}.toml"
        path.write_text(to_toml(tables))
        daemon = os.path.join(os.path.dirname(sys.executable), "mulberryslipd")
        python_path = os.pathsep.join([str(ROOT / "platform"), os.environ.get("PYTHONPATH", "")])
        argv = ["env", f"PYTHONPATH={python_path}", daemon, f"--config={path}"]
        self.processes[role] = Process(role, argv, self._directory / f"{role}.log")

    def announce(self):
        path = f"/-/instances/{self.worker.worker.id}"
        return request(self.ports["agent.announcements"], "PUT", path, self.worker.beat()).status

    def submit(self):
        path = f"/checks/{ID}"
        return request(self.ports["gateway.callers"], "POST", path, SUBMISSION).status

    def state(self):
        resp = request(self.ports["gateway.callers"], "GET", f"/checks/{ID}")
        return resp.json().get("State") if resp.status == 200 else resp.status

    def _send_announcements(self):
        while not self._stop.wait(0.2):
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self.announce()

    def __enter__(self):
        for process in self.processes.values():
            process.start()
        threading.Thread(target=self._send_announcements, daemon=True).start()
        ready = wait_until(self._is_ready, timedelta(seconds=ANSWER_TIMEOUT_S))
        assert ready, [p.log_path.read_text()[-2000:] for p in self.processes.values()]
        return self

    def _is_ready(self):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return request(self.ports["gateway.health"], "GET", "/").status == 200
        return False

    def __exit__(self, *exc_info):
        self._stop.set()
        for process in self.processes.values():
            process.kill()
        self.store.stop()
        self.worker.stop()


@pytest.fixture
def pool(tmp_path):
    with PoolProcesses(tmp_path) as running:
        yield running


ORDINARY = {
    "gateway.callers": ("GET", "/unknown", None),
    "gateway.health": ("GET", "/", None),
    "gateway.metrics": ("GET", "/metrics", None),
    "agent.metrics": ("GET", "/metrics", None),
    "agent.announcements": ("DELETE", "/-/instances/w9", None),
    "entry.callers": ("GET", "/v1/health", None),
    "entry.operators": ("GET", "/v1/health", None),
}


def check_door(process, door, port, path, behaviour):
    """Check one process while the clients are connected and once they are gone."""
    with Crowd(port, path, behaviour):
        assert request(port, *ORDINARY[door]).status in (200, 404)
        check_bounds(process)
    assert request(port, *ORDINARY[door]).status in (200, 404)
    check_bounds(process)


@pytest.mark.parametrize("path", [f"/checks/{ID}", "/unknown"])
@pytest.mark.parametrize(
    "behaviour",
    [
        stall_body,
        trickle_body,
        trickle_chunks,
        trickle_head,
        send_too_much,
        send_endless_chunks,
        read_nothing,
    ],
)
def test_gateway_serves_beside_misbehaving_clients(pool, behaviour, path):
    """Guards against clients that occupy all threads or the memory of a gateway."""
    door = "gateway.callers"
    check_door(pool.processes["gateway"], door, pool.ports[door], path, behaviour)


@pytest.mark.parametrize("behaviour", [trickle_body, trickle_chunks, trickle_head, read_nothing])
@pytest.mark.parametrize(
    "door", ["gateway.health", "gateway.metrics", "agent.metrics", "agent.announcements"]
)
def test_auxiliary_doors_serve_beside_misbehaving_clients(pool, door, behaviour):
    """Guards against clients that block health checks, announcements or metrics."""
    path = "/-/instances/w9" if door == "agent.announcements" else "/metrics"
    check_door(pool.processes[door.partition(".")[0]], door, pool.ports[door], path, behaviour)


@pytest.mark.parametrize("behaviour", [trickle_body, trickle_chunks, trickle_head, read_nothing])
@pytest.mark.parametrize("door", ["entry.callers", "entry.operators"])
def test_entry_serves_beside_misbehaving_clients(tmp_path, door, behaviour):
    """Guards against clients that occupy all threads of an entry."""
    layout = Layout(entries=1, workers=0, entry={"threads": THREADS})
    cluster = Cluster(tmp_path, layout)
    settings_path = tmp_path / "entry-1.toml"
    settings_path.write_text(settings_path.read_text() + "\n" + to_toml(lowered_limits("entry")))
    with cluster:
        port = cluster.ports[f"entry-1.{door.partition('.')[2]}"]
        process = cluster.processes["entry-1"]
        # Without a configuration, the health path of callers would answer 503.
        cluster.put_config_change("/v1/data-centres/concord", {"state": "in"})
        check_door(process, door, port, "/v1/jobs/job-1", behaviour)


def documents_of_many_fields():
    """Return bodies within the size limit that consist of very many short values."""
    lists = b"[" + b"[]," * 290_000 + b"0]"
    objects = b"[" + b'{"":0},' * 125_000 + b"0]"
    steps = json.dumps({**SUBMISSION, "Steps": []}).encode()
    return [lists, objects, steps.replace(b"[]", objects)]


@pytest.mark.parametrize("number", range(3))
def test_documents_of_many_fields_stay_within_the_memory(pool, number):
    """Guards against bodies whose parsed form takes many times their size, many at a time."""
    body = documents_of_many_fields()[number]
    data = head(f"/checks/{ID}", f"Content-Length: {len(body)}") + body

    def send_documents(conn, path, stop):
        for _ in range(FIELD_DOCUMENTS):
            conn.sendall(data)
            conn.recv(65536)
        stop.wait(ANSWER_TIMEOUT_S)

    with Crowd(pool.ports["gateway.callers"], "", send_documents, FIELD_CLIENTS):
        assert request(pool.ports["gateway.callers"], "GET", "/unknown").status == 404
        check_bounds(pool.processes["gateway"])
    assert request(pool.ports["gateway.callers"], "GET", "/unknown").status == 404
    check_bounds(pool.processes["gateway"])


@pytest.mark.parametrize("sent", [b"", b"POST /checks/1 HTTP/1.1\r\nX: "])
@pytest.mark.parametrize("door", ["gateway.callers", "agent.announcements"])
def test_open_connections_are_bounded(pool, door, sent):
    """Guards against clients that use up the descriptors with connections they do not use."""
    process = pool.processes[door.partition(".")[0]]
    connections = []
    try:
        for _ in range(CONNECTIONS):
            with contextlib.suppress(OSError):
                connections.append(socket.create_connection((LOOPBACK, pool.ports[door]), 5))
                connections[-1].sendall(sent)
        time.sleep(SETTLE_S)
        check_bounds(process)
        assert request(pool.ports[door], *ORDINARY[door]).status in (200, 404)
    finally:
        for conn in connections:
            conn.close()
    check_bounds(process)


@pytest.mark.parametrize("behaviour", [trickle_body, read_nothing])
def test_accepted_work_runs_beside_misbehaving_clients(pool, behaviour):
    """Guards against accepted work that is not run since clients occupy the processes."""
    seconds = timedelta(seconds=ANSWER_TIMEOUT_S)
    assert wait_until(lambda: pool.submit() == 200, seconds)
    with (
        Crowd(pool.ports["gateway.callers"], "/checks/", behaviour),
        Crowd(pool.ports["agent.announcements"], "/-/instances/w9", behaviour),
        Crowd(pool.ports["agent.metrics"], "/metrics", behaviour),
    ):
        assert wait_until(lambda: pool.state() == "completed", seconds)
        for process in pool.processes.values():
            check_bounds(process)
    assert pool.history.violations == []


def test_single_large_request_within_the_limits_is_served(pool):
    """Guards against a limit that one request of the largest size meets by itself."""
    steps = [{"Count": 1, "Cpu": 1, "After": list(range(number))} for number in range(64)]
    body = {"Spec": "a" * 64 * 1024, "Steps": steps, "Note": " " * 800_000}
    assert 850_000 < len(json.dumps(body)) <= 900_000
    path = f"/checks/{ID}"
    http = urllib3.PoolManager(retries=False, timeout=ANSWER_TIMEOUT_S)
    url = f"http://{LOOPBACK}:{pool.ports['gateway.callers']}{path}"

    def submit():
        return http.request("POST", url, body=json.dumps(body).encode(), headers={"Host": HOST})

    assert wait_until(lambda: submit().status == 200, timedelta(seconds=ANSWER_TIMEOUT_S))

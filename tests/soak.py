"""Seeded soak of the pool: real gateways and agents, faults from outside, checks while it runs.

`python tests/soak.py --seed=N --seconds=S [--workers=W] [--gateways=G]` prints the faults and every
broken promise. The processes are those of a deployment; the platform is met through the stand-ins
of the tests. Links to the store and from callers go through proxies. Only processes that the soak
has started are signalled, by their ids.
"""

import collections
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time
from datetime import timedelta
from pathlib import Path

import attrs
import urllib3
from absl import app, flags
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip_testing.clusters import PORTS, Process
from mulberryslip_testing.proxies import Direction, Proxy
from platform_doubles import PlatformStoreServer, PlatformWorkerServer
from pool_doubles import History

ROOT = Path(__file__).parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
CONFIG = {
    "Version": 1,
    "Routes": [{"Name": "r-1", "Host": HOST, "Prefix": PREFIX, "Service": "ledger", "Attempts": 3}],
}
LEASE_MS = 3000
STORE_LEASE_MS = 1500
CALL_TIMEOUT_S = 3.0
"""Callers' time limit of both users."""

SETTLE_S = 40.0
"""Longest time until accepted work is done after the last fault: a store lease, a worker's lease,
and some runs one after the other on few workers."""

FAULT_S = (0.5, 4.0)
READY_S = 20.0


def free_ports(rng, count):
    return rng.sample(PORTS, count)


class SoakWorker(PlatformWorkerServer):
    """A worker that answers a listing when a run has ended, as the platform's workers do."""

    def answer(self, method, path, query, body):
        expires = time.monotonic() + body.get("WaitMs", 0) / 1000
        while True:
            status, document = super().answer(method, path, query, body)
            if not path.endswith("hold") or document.get("Ended") or time.monotonic() >= expires:
                return status, document
            time.sleep(0.05)


@attrs.define(eq=False)
class Sent:
    """A workflow that a caller has handed in.

    :param answers: status of each send; 0 for no answer.
    """

    name: str
    spec: WorkflowSpec
    answers: list[int] = attrs.field(factory=list)
    is_cancelled: bool = False
    shown: str = ""

    @property
    def is_accepted(self):
        return 200 in self.answers

    @property
    def is_refused(self):
        return bool(self.answers) and all(status in (429, 503) for status in self.answers)


class Soak:
    """One run.

    :param directory: receives settings and logs.
    """

    def __init__(self, directory, seed, seconds, workers=3, gateways=2):
        self.rng = random.Random(seed)
        self.directory = directory
        self.seconds = seconds
        self.faults = []
        self.sent = {}
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.history = History()
        self.store = PlatformStoreServer(page=100)
        self.store.operate("op/config", CONFIG)
        shared = threading.RLock()
        self.workers = [SoakWorker(n, self.history) for n in range(workers)]
        for worker in self.workers:
            # Promises are about several workers, so their state changes under one lock.
            worker.lock = shared
            worker.worker.run_ms = lambda name: 300 + hash(name) % 700
        ports = free_ports(self.rng, 3 * (workers + gateways))
        self.processes, self.proxies, self.entries, self.beats = {}, {}, [], []
        for number, worker in enumerate(self.workers):
            self._add_agent(number, worker, ports)
        for number in range(gateways):
            self._add_gateway(number, ports)

    def _store_url(self, name):
        proxy = Proxy("127.0.0.1", int(self.store.url.rpartition(":")[2]))
        self.proxies[f"{name} to the store"] = proxy
        return f"http://127.0.0.1:{proxy.port}"

    def _add_agent(self, number, worker, ports):
        addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(3)]
        own = dict(zip(("wire", "announcements", "metrics"), addresses, strict=True))
        self._add("agent", f"agent-{number}", {**own, "worker_url": worker.url})
        self.beats.append((own["announcements"], worker))

    def _add_gateway(self, number, ports):
        addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(3)]
        own = dict(zip(("callers", "health", "metrics"), addresses, strict=True))
        name = f"gateway-{number}"
        self._add("gateway", name, own)
        proxy = Proxy("127.0.0.1", int(own["callers"].rpartition(":")[2]))
        self.proxies[f"callers to {name}"] = proxy
        self.entries.append(f"http://127.0.0.1:{proxy.port}{PREFIX}")

    def _add(self, role, name, own):
        tables = {
            "process": {"role": role, "id": name, "data_centre": "east", "host": "127.0.0.1"},
            "adapter": {"module": "mulberryslip_platform"},
            "store": {
                "url": self._store_url(name),
                "timeout_ms": 600,
                "lease_ttl_ms": STORE_LEASE_MS,
            },
            "pool": {"lease_ms": LEASE_MS},
            "timing": {"stop_grace_ms": 300},
            role: own,
        }
        text = "".join(
            f"[{table}]\n" + "".join(f"{key} = {json.dumps(v)}\n" for key, v in rows.items())
            for table, rows in tables.items()
        )
        path = self.directory / f"{name}.toml"
        path.write_text(text)
        argv = [sys.executable, "-m", "mulberryslipd", "--config", str(path)]
        self.processes[name] = Process(name, argv, self.directory / f"{name}.log")

    # Running

    def run(self):
        """Play all faults; return the broken promises."""
        threads = [
            threading.Thread(target=self._beat, args=beat, daemon=True) for beat in self.beats
        ]
        try:
            for process in self.processes.values():
                process.start()
            for thread in threads:
                thread.start()
            if not self._is_ready():
                return ["no gateway accepted anything without a fault"]
            callers = [
                threading.Thread(target=self._call, args=(self.rng.random(),)) for _ in range(4)
            ]
            for caller in callers:
                caller.start()
            self._disturb()
            self.stop.set()
            for caller in callers:
                caller.join()
            self._settle()
            return self._check()
        finally:
            self.stop.set()
            for process in self.processes.values():
                process.signal(signal.SIGCONT)
                process.kill()
            for proxy in self.proxies.values():
                proxy.stop()
            for worker in self.workers:
                worker.stop()
            self.store.stop()

    def _say(self, text):
        line = f"{time.time():.3f} {text}"
        self.faults.append(line)
        print(line, flush=True)

    def _beat(self, address, worker):
        http = urllib3.PoolManager(retries=False, timeout=1)
        while True:
            try:
                url = f"http://{address}/-/instances/{worker.worker.id}"
                http.request("PUT", url, json=worker.beat())
            except urllib3.exceptions.HTTPError:
                pass  # The process beside the worker is down; the next beat follows.
            time.sleep(0.3)

    def _is_ready(self):
        deadline = time.monotonic() + READY_S
        http = urllib3.PoolManager(retries=False, timeout=1, headers={"Host": HOST})
        while time.monotonic() < deadline:
            if self._hand_in(http, self._new_workflow(random.Random(0))).is_accepted:
                return True
            time.sleep(0.3)
        return False

    # Callers

    def _new_workflow(self, rng):
        name = f"{rng.getrandbits(64):016x}"
        steps = [StepSpec(rng.randint(1, 4), rng.choice((500, 1500)), 500, checkpoints=True)]
        if rng.random() < 0.4:
            steps.append(StepSpec(rng.randint(1, 3), 1000, 500, after=(0,)))
        sent = Sent(name, WorkflowSpec("text", tuple(steps)))
        with self.lock:
            sent = self.sent.setdefault(name, sent)
            self.history.specs[name] = sent.spec
        return sent

    def _hand_in(self, http, sent, entry=None):
        steps = [
            {
                "Count": step.count,
                "Cpu": step.cpu_millis,
                "MemMb": step.memory_mb,
                "After": list(step.after),
                "Checkpoints": step.checkpoints,
            }
            for step in sent.spec.steps
        ]
        status = self._request(
            http, "POST", entry or self.entries[0], sent.name, {"Spec": "text", "Steps": steps}
        )[0]
        sent.answers.append(status)
        return sent

    def _request(self, http, method, entry, name, document=None):
        try:
            resp = http.request(method, entry + name, json=document)
            return resp.status, resp.json() if resp.data else {}
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}

    def _call(self, seed):
        """Hand in workflows, repeat what has no answer, read states and cancel some."""
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, headers={"Host": HOST})
        while not self.stop.wait(rng.uniform(0.05, 0.5)):
            sent = self._new_workflow(rng)
            for _ in range(4):
                self._hand_in(http, sent, rng.choice(self.entries))
                if sent.answers[-1] not in (0, 502, 504):
                    break
                time.sleep(rng.uniform(0.1, 0.6))
            if sent.is_accepted and rng.random() < 0.1:
                status, _ = self._request(http, "DELETE", rng.choice(self.entries), sent.name)
                sent.is_cancelled = sent.is_cancelled or status in (0, 200, 504)
            self._read(http, rng)

    def _read(self, http, rng):
        with self.lock:
            sent = rng.choice(list(self.sent.values()))
        self._observe(http, sent, rng.choice(self.entries))

    def _observe(self, http, sent, entry):
        """Read the state of a workflow and check it."""
        was_accepted = sent.is_accepted
        status, document = self._request(http, "GET", entry, sent.name)
        if status == 410 and was_accepted:
            self._say(f"BROKEN {sent.name} was accepted and is said not to exist")
        if status == 200:
            self._note_shown(sent, document["State"])

    def _note_shown(self, sent, shown):
        if sent.shown in ("completed", "cancelled", "failed") and shown != sent.shown:
            self._say(f"BROKEN {sent.name} is shown as {shown} after {sent.shown}")
        if shown == "completed":
            names = {
                f"{sent.name}/0/{number}/{index}"
                for number, step in enumerate(sent.spec.steps)
                for index in range(step.count)
            }
            if not names <= self.history.ended_done:
                self._say(f"BROKEN {sent.name} is shown as completed before its tasks are done")
        sent.shown = shown

    # Faults

    def _disturb(self):
        ends = time.monotonic() + self.seconds
        healers = []
        while time.monotonic() < ends:
            fault = self.rng.choice(FAULTS)
            heal, text = fault(self)
            self._say(f"begin {text}")
            healers.append((heal, text))
            time.sleep(self.rng.uniform(*FAULT_S))
            # Some faults go on beside the next one.
            if self.rng.random() < 0.7 or len(healers) > 2:
                self._heal(healers)
        self._heal(healers)

    def _heal(self, healers):
        for heal, text in healers:
            heal()
            self._say(f"end {text}")
        healers.clear()

    def _some(self):
        return self.processes[self.rng.choice(list(self.processes))]

    def _some_link(self):
        name = self.rng.choice(list(self.proxies))
        return name, self.proxies[name]

    def _settle(self):
        deadline = time.monotonic() + SETTLE_S
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, headers={"Host": HOST})
        open_ones = [sent for sent in self.sent.values() if sent.is_accepted]
        while open_ones and time.monotonic() < deadline:
            for sent in open_ones:
                self._observe(http, sent, self.entries[0])
            open_ones = [s for s in open_ones if s.shown not in ("completed", "cancelled")]
            time.sleep(0.3)

    def _check(self):
        broken = [line for line in self.faults if " BROKEN " in line]
        broken += self.history.faults
        started = {task.split("/")[0] for task, _ in self.history.resumed}
        for sent in self.sent.values():
            if sent.is_refused and sent.name in started:
                broken.append(f"{sent.name} was refused {sent.answers} and has run")
            if sent.is_accepted and sent.shown not in ("completed", "cancelled"):
                broken.append(f"{sent.name} was accepted and is {sent.shown or 'not shown'}")
            if sent.shown == "cancelled" and not sent.is_cancelled:
                broken.append(f"{sent.name} is cancelled, which nobody asked for")
        counts = collections.Counter(sent.shown for sent in self.sent.values())
        print(f"{len(self.sent)} workflows, {self.history.starts} starts, {dict(counts)}")
        return broken


def kill(soak):
    process = soak._some()
    process.kill()
    return process.start, f"kill {process.name}"


def kill_all_agents(soak):
    agents = [p for name, p in soak.processes.items() if name.startswith("agent")]
    for process in agents:
        process.kill()
    return lambda: [process.start() for process in agents], "kill all agents"


def stop_planned(soak):
    process = soak._some()
    process.signal(signal.SIGTERM)

    def heal():
        process.popen.wait(10)
        process.start()

    return heal, f"stop {process.name}"


def pause(soak):
    process = soak._some()
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT), f"pause {process.name}"


def reload_settings(soak):
    process = soak._some()
    process.signal(signal.SIGHUP)
    return lambda: None, f"reload {process.name}"


def cut(soak):
    name, link = soak._some_link()
    link.cut()
    return link.restore, f"cut {name}"


def reset(soak):
    name, link = soak._some_link()
    link.drop()
    return lambda: None, f"reset {name}"


def silence(soak):
    name, link = soak._some_link()
    direction = soak.rng.choice(list(Direction))
    link.silence(direction)
    return link.restore, f"silence {name} {direction.value}"


def silence_open(soak):
    name, link = soak._some_link()
    link.silence_open()
    return link.drop, f"silence open connections {name}"


def delay(soak):
    name, link = soak._some_link()
    held = timedelta(milliseconds=soak.rng.randint(50, 400))
    link.delay(held, held)
    return link.restore, f"delay {name} by {held}"


def lose_history(soak):
    soak.store.history_is_lost = True

    def heal():
        soak.store.history_is_lost = False

    return heal, "drop the store's history"


def store_away(soak):
    links = [proxy for name, proxy in soak.proxies.items() if name.endswith("the store")]
    for proxy in links:
        proxy.cut()
    return lambda: [proxy.restore() for proxy in links], "cut the store from all"


def restart_worker(soak):
    worker = soak.rng.choice(soak.workers).worker
    # Its open calls break off when its process ends.
    worker.is_dark = True
    time.sleep(0.2)
    worker.begin_life()

    def heal():
        worker.is_dark = False

    return heal, f"restart {worker.id}"


def lose_orders(soak):
    worker = soak.rng.choice(soak.workers).worker
    rng = random.Random(soak.rng.random())
    worker.loses_answer = lambda: rng.random() < 0.3

    def heal():
        worker.loses_answer = lambda: False
        worker.run_late()

    return heal, f"lose orders of {worker.id}"


def change_config(soak):
    CONFIG["Version"] += 1
    soak.store.operate("op/config", CONFIG)
    return lambda: None, f"configuration {CONFIG['Version']}"


FAULTS = [
    kill,
    kill_all_agents,
    stop_planned,
    pause,
    reload_settings,
    cut,
    reset,
    silence,
    silence_open,
    delay,
    lose_history,
    store_away,
    restart_worker,
    lose_orders,
    change_config,
]


def soak(seed, seconds, workers=3, gateways=2, directory=None):
    """Run a soak; return the broken promises."""
    os.environ["PYTHONPATH"] = str(ROOT / "platform")
    CONFIG["Version"] = 1
    if directory is not None:
        return Soak(Path(directory), seed, seconds, workers, gateways).run()
    with tempfile.TemporaryDirectory() as temporary:
        return Soak(Path(temporary), seed, seconds, workers, gateways).run()


def main(argv):
    del argv
    broken = soak(
        flags.FLAGS.seed,
        flags.FLAGS.seconds,
        flags.FLAGS.workers,
        flags.FLAGS.gateways,
        flags.FLAGS.logs or None,
    )
    for line in broken:
        print(f"BROKEN {line}")
    print(f"seed {flags.FLAGS.seed}: {'failed' if broken else 'passed'}")
    return 1 if broken else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the faults and the load.")
    flags.DEFINE_integer("seconds", 30, "Time in which faults are injected, in seconds.", 1)
    flags.DEFINE_integer("workers", 3, "Workers, each with an agent.", 1)
    flags.DEFINE_integer("gateways", 2, "Gateways.", 1)
    flags.DEFINE_string(
        "logs", "", "Folder that keeps settings and logs; a temporary one if empty."
    )
    app.run(main)

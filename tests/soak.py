"""Seeded soak test of the pool: real gateways and agents, injected faults and continuous checks.

`python tests/soak.py --seed=N --seconds=S [--workers=W] [--gateways=G] [--pools=P]` prints the
faults and every violated guarantee. The processes are those of a deployment; test doubles replace
the platform. `--late_calls=hold --late_calls=run-start` adds workers that restart under their
ids and then execute such calls for their earlier incarnations.
Links to the store and from callers go through proxies. Only processes that the soak test has
started are signalled, by their process ids.
"""

import collections
import contextlib
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time
import zlib
from datetime import timedelta
from pathlib import Path

import attrs
import urllib3
from absl import app, flags
from mulberryslip.models import Resources
from mulberryslip.runners import RunnerError
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip_testing.clusters import PORT_RANGE, Process, free_port
from mulberryslip_testing.proxies import Direction, Proxy
from platform_doubles import PlatformStoreServer, PlatformWorkerServer
from pool_doubles import CAPACITY, History

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
"""Call time limit that the callers of both users set."""

SETTLE_TIMEOUT_S = 40.0
"""Longest time until accepted workflows are done after the last fault: a store lease, a worker's
lease, and some consecutive runs on few workers."""

FAULT_INTERVAL_S = (0.5, 4.0)
ANNOUNCEMENT_INTERVAL_S = 0.3
FOREIGN_ANNOUNCEMENT_PERIOD = 10
"""Number of announcements of which another writer sends one more."""

MAX_RESPONSE_DELAY_S = 0.1
"""Longest time between the lists of a worker's response and the clock in it."""

MAX_WORKER_LEASE_MS = 5000
"""Longest lease of the workers in soaks with late calls; it exceeds that of the pool."""

CALLS_TO_KEEP = ("hold", "run-start")
KEPT_PART = 0.8
KEPT_FOR_S = (1.0, 2.5)
UNANSWERED_FOR_S = (0.0, 2.0)
"""Times after which the connection of a kept call is closed; agents wait less than 2 s."""

WORKER_DOWN_S = (0.2, 0.8)
LATE_BY_S = (0.0, 1.5)
"""Time between a restart and a kept call, which comes before or after the first listing."""

ISOLATED_AFTER_S = (0.5, 3.0)
ISOLATED_FOR_S = (8.0, 10.0)
LONG_RUN_MS = (10_000, 13_000)
LONG_WORKFLOW_INTERVAL_S = (0.5, 1.5)

LOWER_CAPACITIES = (Resources(1500, 16000), Resources(8000, 1000), Resources())
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


def free_ports(rng, count):
    """Return ports on which nothing listens, which another soak of the same seed may do."""
    rng.sample(PORT_RANGE, count)  # The faults of a seed depend on the draws before them.
    ports = set()
    while len(ports) < count:
        ports.add(free_port(ports))
    return list(ports)


class SoakHistory(History):
    """A history that also logs what is known of each violation when it occurs.

    :param log_line: called with a line of text.
    """

    def __init__(self, log_line):
        super().__init__()
        self._log_line = log_line
        self.late_runs = set()

    def record_start(self, worker, command):
        """Check a start; log the runs of its task if it violates a guarantee."""
        known = len(self.violations)
        spec = super().record_start(worker, command)
        for violation in self.violations[known:]:
            runs = [
                f"run {run.run}{self._lateness(other, run)} on {other.incarnation} from"
                f" {run.started_at} ms, clock {other.clock_ms()}, lease until {other.lease_until}"
                for other in self.workers
                if (run := other.runs.get(command.task)) is not None
            ]
            start = f"run {command.run}{self._lateness(worker, command)}"
            self._log_line(f"violation {violation}: {start} starts beside {runs}")
        return spec

    def _lateness(self, worker, run):
        is_late = (worker.incarnation, run.task, run.run) in self.late_runs
        return " (started by a late call)" if is_late else ""


class SoakWorker(PlatformWorkerServer):
    """A worker that delays its response to a hold call until a run has ended or the wait expires.

    The platform's workers do the same. It may keep calls without a response and execute them later.
    """

    def __init__(self, number, history, **options):
        self.kept_calls = []
        self.keeps_call = lambda path, body: False
        super().__init__(number, history, **options)

    def execute_late(self, path, body):
        """Execute a kept call; return a text about its effect, with the worker's clock."""
        worker = self.worker
        with self.lock:
            if path.endswith("run-start"):
                task = body["Task"].replace(".", "/")
                self.history.late_runs.add((worker.incarnation, task, body["Run"]))
            try:
                status, document = super().respond("POST", path, {}, body)
            except RunnerError as exc:
                return f"{path} {body}: {exc}"
            effect = document.get("Reason", f"lease until {worker.lease_until}")
            return f"{path} {body}: {worker.incarnation} at {worker.clock_ms()}: {status}, {effect}"

    def hold(self, body):
        status, document = super().hold(body)
        for row in document.get("Running", ()):
            run = self.worker.runs[row[0].replace(".", "/")]
            if run.ends_at - run.started_at >= LONG_RUN_MS[0]:
                # The owner stops a run whose progress stands still.
                row[3] = self.worker._percent(run)
        return status, document

    def respond(self, method, path, query, body):
        if self.keeps_call(path, body):
            self.kept_calls.append((path, body))
            time.sleep(random.choice(UNANSWERED_FOR_S))
            raise ConnectionAbortedError("kept without a response")
        expires = time.monotonic() + body.get("WaitMs", 0) / 1000
        while True:
            status, document = super().respond(method, path, query, body)
            if not path.endswith("hold") or document.get("Ended") or time.monotonic() >= expires:
                break
            time.sleep(0.05)
        # Other calls are handled between the lists and the clock, as on a busy machine.
        time.sleep(random.uniform(0, MAX_RESPONSE_DELAY_S))
        return status, {**document, "ClockMs": self.worker.clock_ms()}


@attrs.define(eq=False)
class SubmittedWorkflow:
    """A workflow that a caller has submitted.

    :param statuses: HTTP status of each submission; 0 for no response.
    """

    name: str
    spec: WorkflowSpec
    statuses: list[int] = attrs.field(factory=list)
    is_cancelled: bool = False
    shown: str = ""

    @property
    def is_accepted(self):
        return 200 in self.statuses

    @property
    def is_refused(self):
        return bool(self.statuses) and all(status in (429, 503) for status in self.statuses)


class Soak:
    """One soak test.

    :param directory: where settings and logs are written.
    :param seed: seed of the faults and the load.
    :param seconds: time in which faults are injected.
    :param workers: number of workers, each with an agent.
    :param gateways: number of gateways.
    :param pools: number of pools that the workers are divided into.
    :param late_calls: those of `CALLS_TO_KEEP` that workers execute after a restart.
    :param max_worker_lease_ms: longest lease of a worker that the agents are told; 0 for none.
    """

    def __init__(
        self,
        directory,
        seed,
        seconds,
        workers=3,
        gateways=2,
        pools=1,
        late_calls=(),
        max_worker_lease_ms=0,
    ):
        self.rng = random.Random(seed)
        self.directory = directory
        self.seconds = seconds
        self.pool_settings = {"lease_ms": LEASE_MS}
        if pools > 1:
            # Earlier builds, which `mixed-builds` also starts, do not know this key.
            self.pool_settings["count"] = pools
        if max_worker_lease_ms:
            self.pool_settings["max_worker_lease_ms"] = max_worker_lease_ms
        self.late_calls = tuple(late_calls)
        self.fault_kinds = FAULTS + (LATE_CALL_FAULTS if late_calls else [])
        self.long_workflows, self.background_faults = set(), {}
        self.faults = []
        self.workflows = {}
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.history = SoakHistory(self._log)
        self.store = PlatformStoreServer(page=100)
        self.store.operate("op/config", CONFIG)
        shared = threading.RLock()
        max_lease = timedelta(milliseconds=MAX_WORKER_LEASE_MS)
        options = {"max_lease": max_lease} if late_calls else {}
        self.workers = [SoakWorker(n, self.history, **options) for n in range(workers)]
        for worker in self.workers:
            # The guarantees involve several workers, so all their state changes under one lock.
            worker.lock = shared
            worker.worker.run_ms = self._run_ms
            worker.worker.announcement_interval = timedelta(seconds=ANNOUNCEMENT_INTERVAL_S)
        ports = free_ports(self.rng, 3 * (workers + gateways))
        self.processes, self.proxies, self.entries, self.announcers = {}, {}, [], []
        self.worker_links = {}
        for number, worker in enumerate(self.workers):
            self._add_agent(number, worker, ports)
        for number in range(gateways):
            self._add_gateway(number, ports)

    def _run_ms(self, name):
        if name.split("/")[0] in self.long_workflows:
            shortest, longest = LONG_RUN_MS
            return shortest + zlib.crc32(name.encode()) % (longest - shortest)
        return 300 + hash(name) % 700

    def _worker_url(self, worker):
        if not self.late_calls:
            return worker.url
        # Connections are refused while the worker's process is gone.
        proxy = Proxy("127.0.0.1", int(worker.url.rpartition(":")[2]))
        self.worker_links[worker] = proxy
        return f"http://127.0.0.1:{proxy.port}"

    def _store_url(self, name):
        proxy = Proxy("127.0.0.1", int(self.store.url.rpartition(":")[2]))
        self.proxies[f"{name} to the store"] = proxy
        return f"http://127.0.0.1:{proxy.port}"

    def _add_agent(self, number, worker, ports):
        addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(3)]
        role_settings = dict(zip(("wire", "announcements", "metrics"), addresses, strict=True))
        worker_url = self._worker_url(worker)
        self._add("agent", f"agent-{number}", {**role_settings, "worker_url": worker_url})
        self.announcers.append((role_settings["announcements"], worker))

    def _add_gateway(self, number, ports):
        addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(3)]
        role_settings = dict(zip(("callers", "health", "metrics"), addresses, strict=True))
        name = f"gateway-{number}"
        self._add("gateway", name, role_settings)
        proxy = Proxy("127.0.0.1", int(role_settings["callers"].rpartition(":")[2]))
        self.proxies[f"callers to {name}"] = proxy
        self.entries.append(f"http://127.0.0.1:{proxy.port}{PREFIX}")

    def _add(self, role, name, role_settings):
        tables = {
            "process": {"role": role, "id": name, "data_centre": "east", "host": "127.0.0.1"},
            "adapter": {"module": "mulberryslip_platform"},
            "store": {
                "url": self._store_url(name),
                "timeout_ms": 600,
                "lease_ttl_ms": STORE_LEASE_MS,
            },
            "pool": self.pool_settings,
            "timing": {"stop_grace_ms": 300},
            role: role_settings,
        }
        text = "".join(
            f"[{table}]\n" + "".join(f"{key} = {json.dumps(v)}\n" for key, v in rows.items())
            for table, rows in tables.items()
        )
        path = self.directory / f"{name}.toml"
        path.write_text(text)
        argv = [sys.executable, "-m", "mulberryslipd", "--config", str(path)]
        self.processes[name] = Process(name, argv, self.directory / f"{name}.log")

    # Execution

    def run(self):
        """Inject faults under load; return the violated guarantees."""
        threads = [
            threading.Thread(target=self._announce, args=announcer, daemon=True)
            for announcer in self.announcers
        ]
        try:
            for process in self.processes.values():
                process.start()
            for thread in threads:
                thread.start()
            if not self._is_ready():
                return ["no gateway accepted a workflow before the first fault"]
            callers = [
                threading.Thread(target=self._run_caller, args=(self.rng.random(),))
                for _ in range(4)
            ]
            if self.late_calls:
                args = (self.rng.random(),)
                callers.append(threading.Thread(target=self._submit_long_workflows, args=args))
            for caller in callers:
                caller.start()
            self._inject_faults()
            self.stop.set()
            for caller in callers:
                caller.join()
            self._wait_until_done()
            return self._check()
        finally:
            self.stop.set()
            for process in self.processes.values():
                process.signal(signal.SIGCONT)
                process.kill()
            for proxy in (*self.proxies.values(), *self.worker_links.values()):
                proxy.stop()
            for worker in self.workers:
                worker.stop()
            self.store.stop()

    def _log(self, text):
        line = f"{time.time():.3f} {text}"
        self.faults.append(line)
        print(line, flush=True)

    def _announce(self, address, worker):
        http = urllib3.PoolManager(retries=False, timeout=1)
        for number in itertools.count():
            try:
                if worker.worker.is_down:
                    continue
                beat = worker.beat()
                if number % FOREIGN_ANNOUNCEMENT_PERIOD == 0:
                    foreign = {**beat, "born": beat["born"] + 1000, "Service": "not-named"}
                    http.request("PUT", f"http://{address}/-/instances/foreign", json=foreign)
                http.request("PUT", f"http://{address}/-/instances/{worker.worker.id}", json=beat)
            except urllib3.exceptions.HTTPError:
                pass  # The worker's agent is down; the next announcement follows.
            finally:
                time.sleep(ANNOUNCEMENT_INTERVAL_S)

    def _is_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        http = urllib3.PoolManager(retries=False, timeout=1, headers={"Host": HOST})
        while time.monotonic() < deadline:
            if self._submit(http, self._new_workflow(random.Random(0))).is_accepted:
                return True
            time.sleep(0.3)
        return False

    # Callers

    def _new_workflow(self, rng):
        name = f"{rng.getrandbits(64):016x}"
        steps = [StepSpec(rng.randint(1, 4), rng.choice((500, 1500)), 500, checkpoints=True)]
        if rng.random() < 0.4:
            steps.append(StepSpec(rng.randint(1, 3), 1000, 500, after=(0,)))
        workflow = SubmittedWorkflow(name, WorkflowSpec("text", tuple(steps)))
        with self.lock:
            workflow = self.workflows.setdefault(name, workflow)
            self.history.specs[name] = workflow.spec
        return workflow

    def _submit(self, http, workflow, entry=None):
        steps = [
            {
                "Count": step.count,
                "Cpu": step.cpu_millis,
                "MemMb": step.memory_mb,
                "After": list(step.after),
                "Checkpoints": step.checkpoints,
            }
            for step in workflow.spec.steps
        ]
        status = self._request(
            http, "POST", entry or self.entries[0], workflow.name, {"Spec": "text", "Steps": steps}
        )[0]
        workflow.statuses.append(status)
        return workflow

    def _request(self, http, method, entry, name, document=None):
        try:
            resp = http.request(method, entry + name, json=document)
            return resp.status, resp.json() if resp.data else {}
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}

    def _run_caller(self, seed):
        """Submit workflows, resubmit those without a response, read states and cancel some."""
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, headers={"Host": HOST})
        while not self.stop.wait(rng.uniform(0.05, 0.5)):
            workflow = self._new_workflow(rng)
            for _ in range(4):
                self._submit(http, workflow, rng.choice(self.entries))
                if workflow.statuses[-1] not in (0, 502, 504):
                    break
                time.sleep(rng.uniform(0.1, 0.6))
            if workflow.is_accepted and rng.random() < 0.1:
                status, _ = self._request(http, "DELETE", rng.choice(self.entries), workflow.name)
                workflow.is_cancelled = workflow.is_cancelled or status in (0, 200, 504)
            self._read(http, rng)

    def _submit_long_workflows(self, seed):
        """Submit workflows whose tasks outlast every lease."""
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, headers={"Host": HOST})
        while not self.stop.wait(rng.uniform(*LONG_WORKFLOW_INTERVAL_S)):
            name = f"{rng.getrandbits(64):016x}"
            workflow = SubmittedWorkflow(
                name, WorkflowSpec("text", (StepSpec(rng.randint(1, 3), 500, 500),))
            )
            self.long_workflows.add(name)
            with self.lock:
                self.workflows[name] = workflow
                self.history.specs[name] = workflow.spec
            self._submit(http, workflow, rng.choice(self.entries))

    def _read(self, http, rng):
        with self.lock:
            workflow = rng.choice(list(self.workflows.values()))
        self._observe(http, workflow, rng.choice(self.entries))

    def _observe(self, http, workflow, entry):
        """Read the state of a workflow and check its consistency."""
        was_accepted = workflow.is_accepted
        status, document = self._request(http, "GET", entry, workflow.name)
        if status == 410 and was_accepted:
            self._log(f"BROKEN {workflow.name} was accepted and is reported as unknown")
        if status == 200:
            self._check_shown_state(workflow, document["State"])

    def _check_shown_state(self, workflow, shown):
        if workflow.shown in ("completed", "cancelled", "failed") and shown != workflow.shown:
            self._log(f"BROKEN {workflow.name} is shown as {shown} after {workflow.shown}")
        if shown == "completed":
            names = {
                f"{workflow.name}/0/{number}/{index}"
                for number, step in enumerate(workflow.spec.steps)
                for index in range(step.count)
            }
            if not names <= self.history.done_tasks:
                self._log(f"BROKEN {workflow.name} is shown as completed before its tasks are done")
        workflow.shown = shown

    # Faults

    def _inject_faults(self):
        ends = time.monotonic() + self.seconds
        active_faults = []
        while time.monotonic() < ends:
            fault = self.rng.choice(self.fault_kinds)
            recover, text = fault(self)
            self._log(f"begin {text}")
            active_faults.append((recover, text))
            time.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            # Some faults overlap with the next one.
            if self.rng.random() < 0.7 or len(active_faults) > 2:
                self._end_faults(active_faults)
        for thread in list(self.background_faults.values()):
            thread.join()
        self._end_faults(active_faults)

    def _end_faults(self, active_faults):
        for recover, text in active_faults:
            recover()
            self._log(f"end {text}")
        active_faults.clear()

    def _random_process(self):
        return self.processes[self.rng.choice(list(self.processes))]

    def _random_link(self):
        name = self.rng.choice(list(self.proxies))
        return name, self.proxies[name]

    def _wait_until_done(self):
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, headers={"Host": HOST})
        pending = [workflow for workflow in self.workflows.values() if workflow.is_accepted]
        while pending and time.monotonic() < deadline:
            for workflow in pending:
                self._observe(http, workflow, self.entries[0])
            pending = [
                submitted
                for submitted in pending
                if submitted.shown not in ("completed", "cancelled")
            ]
            time.sleep(0.3)

    def _check(self):
        found_violations = [line for line in self.faults if " BROKEN " in line]
        found_violations += self.history.violations
        started = {task.split("/")[0] for task, _ in self.history.resumed_from}
        for workflow in self.workflows.values():
            if workflow.is_refused and workflow.name in started:
                found_violations.append(
                    f"{workflow.name} was refused {workflow.statuses} and has run"
                )
            if workflow.is_accepted and workflow.shown not in ("completed", "cancelled"):
                found_violations.append(
                    f"{workflow.name} was accepted and is {workflow.shown or 'not shown'}"
                )
            if workflow.shown == "cancelled" and not workflow.is_cancelled:
                found_violations.append(f"{workflow.name} is cancelled, but no caller cancelled it")
        counts = collections.Counter(workflow.shown for workflow in self.workflows.values())
        print(f"{len(self.workflows)} workflows, {self.history.starts} starts, {dict(counts)}")
        return found_violations


def kill(soak):
    process = soak._random_process()
    process.kill()
    return process.start, f"kill {process.name}"


def kill_all_agents(soak):
    agents = [p for name, p in soak.processes.items() if name.startswith("agent")]
    for process in agents:
        process.kill()
    return lambda: [process.start() for process in agents], "kill all agents"


def stop_gracefully(soak):
    process = soak._random_process()
    process.signal(signal.SIGTERM)

    def recover():
        timeout = STOP_TIMEOUT_S
        if soak.late_calls:
            # `restart_with_late_calls` may have paused the process, or may do so now.
            process.signal(signal.SIGCONT)
            timeout += max(ISOLATED_FOR_S)
        process.popen.wait(timeout)
        process.start()

    return recover, f"stop {process.name}"


def pause(soak):
    process = soak._random_process()
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT), f"pause {process.name}"


def reload_settings(soak):
    process = soak._random_process()
    process.signal(signal.SIGHUP)
    return lambda: None, f"reload {process.name}"


def cut(soak):
    name, link = soak._random_link()
    link.disconnect()
    return link.restore, f"cut {name}"


def reset_link(soak):
    name, link = soak._random_link()
    link.reset_connections()
    return lambda: None, f"reset {name}"


def silence(soak):
    name, link = soak._random_link()
    direction = soak.rng.choice(list(Direction))
    link.blackhole(direction)
    return link.restore, f"silence {name} {direction.value}"


def silence_open(soak):
    name, link = soak._random_link()
    link.blackhole_open_connections()
    return link.reset_connections, f"silence open connections {name}"


def delay(soak):
    name, link = soak._random_link()
    duration = timedelta(milliseconds=soak.rng.randint(50, 400))
    link.delay(duration, duration)
    return link.restore, f"delay {name} by {duration}"


def lose_history(soak):
    soak.store.history_is_lost = True

    def recover():
        soak.store.history_is_lost = False

    return recover, "drop the store's history"


def cut_store(soak):
    links = [proxy for name, proxy in soak.proxies.items() if name.endswith("the store")]
    for proxy in links:
        proxy.disconnect()
    return lambda: [proxy.restore() for proxy in links], "cut the store from all"


def restart_worker(soak):
    worker = soak.rng.choice(soak.workers).worker
    # Its open calls are aborted when its process ends.
    worker.is_unreachable = True
    time.sleep(0.2)
    worker.restart()

    def recover():
        worker.is_unreachable = False

    return recover, f"restart {worker.id}"


def lose_start_replies(soak):
    worker = soak.rng.choice(soak.workers).worker
    rng = random.Random(soak.rng.random())
    worker.loses_reply = lambda: rng.random() < 0.3

    def recover():
        worker.loses_reply = lambda: False
        worker.run_delayed_starts()

    return recover, f"lose start replies of {worker.id}"


def lower_capacity(soak):
    worker = soak.rng.choice(soak.workers).worker
    worker.capacity = soak.rng.choice(LOWER_CAPACITIES)

    def recover():
        worker.capacity = CAPACITY

    return recover, f"lower the capacity of {worker.id} to {worker.capacity.amounts()}"


def change_config(soak):
    CONFIG["Version"] += 1
    soak.store.operate("op/config", CONFIG)
    return lambda: None, f"configuration {CONFIG['Version']}"


def restart_with_late_calls(soak, isolates=False):
    """Restart a worker under its id and execute calls for its earlier incarnation in the next one.

    Runs beside the faults that follow, on at most half of the workers at a time.
    """
    # On the next clock, the times in calls for such an incarnation are beyond the longest lease.
    candidates = [
        worker
        for worker in soak.workers
        if worker not in soak.background_faults
        and worker.worker.clock_ms() > 2 * MAX_WORKER_LEASE_MS
    ]
    rng = random.Random(soak.rng.random())
    if not candidates or 2 * len(soak.background_faults) + 2 > len(soak.workers):
        return lambda: None, "no restart with late calls, as too few workers are left"
    worker = rng.choice(candidates)
    thread = threading.Thread(target=_run_late_calls, args=(soak, worker, rng, isolates))
    soak.background_faults[worker] = thread
    thread.start()
    text = f"restart {worker.worker.id} with late calls"
    return lambda: None, text + (", then isolate it" if isolates else "")


def restart_and_isolate(soak):
    return restart_with_late_calls(soak, isolates=True)


def _run_late_calls(soak, worker, rng, isolates):
    number = soak.workers.index(worker)
    process, link = soak.processes[f"agent-{number}"], soak.worker_links[worker]
    # Agents send no lease after a call without a response, until the worker has responded again.
    worker.keeps_call = lambda path, body: (
        path.removeprefix("/-/") in soak.late_calls
        and "DeadlineMs" in body
        and rng.random() < KEPT_PART
    )
    time.sleep(rng.uniform(*KEPT_FOR_S))
    worker.keeps_call = lambda path, body: False
    link.disconnect()
    with worker.lock:
        worker.worker.crash()
        worker.worker.back_at = None
    time.sleep(rng.uniform(*WORKER_DOWN_S))
    with worker.lock:
        worker.worker.restart()
        worker.worker.is_down = False
    link.restore()
    restarted_at = time.monotonic()
    soak._log(f"restarted {worker.worker.incarnation}, {len(worker.kept_calls)} late calls")
    calls, worker.kept_calls = worker.kept_calls, []
    actions = [(rng.uniform(*LATE_BY_S), "call", call) for call in calls]
    if isolates:
        isolated_after = rng.triangular(*ISOLATED_AFTER_S)
        actions.append((isolated_after, "pause", None))
        actions.append((isolated_after + rng.uniform(*ISOLATED_FOR_S), "continue", None))
    for after, action, call in sorted(actions, key=lambda action: action[0]):
        time.sleep(max(0, restarted_at + after - time.monotonic()))
        if action == "call":
            soak._log(f"late {worker.execute_late(*call)}")
        else:
            # The worker's agent is silent, to the store and to other agents, while it is paused.
            process.signal(signal.SIGSTOP if action == "pause" else signal.SIGCONT)
            soak._log(f"{action} {process.name}")
    del soak.background_faults[worker]


FAULTS = [
    kill,
    kill_all_agents,
    stop_gracefully,
    pause,
    reload_settings,
    cut,
    reset_link,
    silence,
    silence_open,
    delay,
    lose_history,
    cut_store,
    restart_worker,
    lose_start_replies,
    lower_capacity,
    change_config,
]
LATE_CALL_FAULTS = [restart_with_late_calls] * 3 + [restart_and_isolate] * 12


def soak(seed, seconds, workers=3, gateways=2, pools=1, directory=None, **options):
    """Run a soak test; return the violated guarantees.

    :param options: further arguments of `Soak`.
    """
    os.environ["PYTHONPATH"] = str(ROOT / "platform")
    CONFIG["Version"] = 1
    with contextlib.ExitStack() as stack:
        if directory is None:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
        return Soak(Path(directory), seed, seconds, workers, gateways, pools, **options).run()


def main(argv):
    del argv
    violations = soak(
        flags.FLAGS.seed,
        flags.FLAGS.seconds,
        flags.FLAGS.workers,
        flags.FLAGS.gateways,
        flags.FLAGS.pools,
        flags.FLAGS.logs or None,
        late_calls=flags.FLAGS.late_calls,
        max_worker_lease_ms=flags.FLAGS.max_worker_lease_ms,
    )
    for line in violations:
        print(f"BROKEN {line}")
    print(f"seed {flags.FLAGS.seed}: {'failed' if violations else 'passed'}")
    return 1 if violations else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the faults and the load.")
    flags.DEFINE_integer("seconds", 30, "Time in which faults are injected, in seconds.", 1)
    flags.DEFINE_integer("workers", 3, "Workers, each with an agent.", 1)
    flags.DEFINE_integer("gateways", 2, "Gateways.", 1)
    flags.DEFINE_integer("pools", 1, "Pools that the workers are divided into.", 1)
    flags.DEFINE_multi_enum(
        "late_calls", [], CALLS_TO_KEEP, "Calls that workers execute late, after a restart."
    )
    flags.DEFINE_integer(
        "max_worker_lease_ms",
        0,
        f"Longest lease of a worker that the agents are told; {MAX_WORKER_LEASE_MS} is true with"
        " late calls. 0 for builds that do not know the setting.",
        0,
    )
    flags.DEFINE_string(
        "logs", "", "Folder that keeps settings and logs; a temporary one if empty."
    )
    app.run(main)

"""Faults that a chaos run injects. Each is injected, stays active for a while and is reverted."""

import random
import signal
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
import urllib3

from .clusters import ClusterError, ProxiedCluster
from .proxies import Direction

CLEARED_STORE_FAULTS = {
    "outage": "",
    "delay_ms": 0,
    "delay_jitter_ms": 0,
    "lost_answer_probability": 0,
    "lost_call_probability": 0,
}
JOBS_PER_CANCEL_WAVE = 4


@attrs.define
class FaultContext:
    """State that the faults of one chaos run share.

    :param cluster: processes and proxies that the faults act on.
    :param rng: seeded random choices.
    :param trace: appends one line to the trace.
    :param outages: each data centre that was taken out, with the times in seconds at which it was
        taken out and brought back.
    :param undo: functions that revert the active faults, by the fault's name.
    :param wave_count: number of cancellation waves so far.
    """

    cluster: ProxiedCluster
    rng: random.Random
    trace: Callable[[str], None]
    outages: list[tuple[str, float, float]] = attrs.field(factory=list)
    undo: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    wave_count: int = 0

    def revert_all(self) -> None:
        """Revert all active faults and restart the processes that are not running."""
        for revert in list(self.undo.values()):
            revert()
        self.undo.clear()
        for proxy in (*self.cluster.daemon_proxies.values(), *self.cluster.store_proxies.values()):
            proxy.restore()
        for process in self.cluster.processes.values():
            process.signal(signal.SIGCONT)
            if not process.running():
                process.start()

    def change(self, path: str, body: Any) -> float:
        """Make a configuration change, retrying until an entry accepts it.

        :param path: path of the change in the operator API.
        :param body: JSON body.
        :returns: time in seconds, read after the change was accepted.
        """

        def accepted() -> bool:
            for entry in self.cluster.entry_names():
                try:
                    return bool(self.cluster.change(path, body, entry))
                except (ClusterError, urllib3.exceptions.HTTPError, TypeError, KeyError):
                    continue
            return False

        self.cluster.wait_until(accepted, f"{path} accepted", 30.0)
        return time.time()


@attrs.frozen
class Fault:
    """One kind of fault.

    :param name: name in the trace.
    :param action: injects the fault and returns the function that reverts it.
    """

    name: str
    action: Callable[[FaultContext], Callable[[], None]]

    def inject(self, context: FaultContext) -> None:
        """Inject the fault."""
        context.trace(f"begin {self.name}")
        context.undo[self.name] = self.action(context)

    def revert(self, context: FaultContext) -> None:
        """Revert the fault."""
        context.undo.pop(self.name)()
        context.trace(f"end {self.name}")


def _choose_entry(context: FaultContext) -> str:
    return context.rng.choice(context.cluster.entry_names())


def _choose_worker(context: FaultContext) -> str:
    return context.rng.choice(context.cluster.worker_names())


def _kill_process(context: FaultContext, name: str) -> Callable[[], None]:
    process = context.cluster.processes[name]
    context.trace(f"  kill {name}")
    process.kill()

    def restart() -> None:
        if not process.running():
            process.start()

    return restart


def _freeze_process(context: FaultContext, name: str) -> Callable[[], None]:
    process = context.cluster.processes[name]
    context.trace(f"  freeze {name}")
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def kill_entry(context: FaultContext) -> Callable[[], None]:
    """Kill and later restart an entry."""
    return _kill_process(context, _choose_entry(context))


def kill_worker(context: FaultContext) -> Callable[[], None]:
    """Kill a worker process; its VM and the tasks on it keep running."""
    return _kill_process(context, _choose_worker(context))


def lose_vm(context: FaultContext) -> Callable[[], None]:
    """Kill a worker process and its VM with the tasks on it."""
    name = _choose_worker(context)
    restart = _kill_process(context, name)
    context.cluster.stand_in("runtime", "POST", f"/admin/workers/{name}/kill")

    def replace() -> None:
        context.cluster.stand_in("runtime", "POST", f"/admin/workers/{name}/restore")
        restart()

    return replace


def freeze_entry(context: FaultContext) -> Callable[[], None]:
    """Suspend an entry with SIGSTOP."""
    return _freeze_process(context, _choose_entry(context))


def freeze_worker(context: FaultContext) -> Callable[[], None]:
    """Suspend a worker process with SIGSTOP."""
    return _freeze_process(context, _choose_worker(context))


def stop_worker(context: FaultContext) -> Callable[[], None]:
    """Begin a planned stop of a worker with SIGTERM."""
    name = _choose_worker(context)
    process = context.cluster.processes[name]
    context.trace(f"  stop {name}")
    process.signal(signal.SIGTERM)

    def restart() -> None:
        code = process.terminate()
        context.trace(f"  {name} ended with exit code {code}")
        process.start()

    return restart


def _inject_store_faults(context: FaultContext, **faults: Any) -> Callable[[], None]:
    faults = {"seed": context.rng.randrange(1000), **faults}
    context.cluster.stand_in("store", "PUT", "/admin/faults", faults)
    return lambda: (
        context.cluster.stand_in("store", "PUT", "/admin/faults", CLEARED_STORE_FAULTS) and None
    )


def store_down(context: FaultContext) -> Callable[[], None]:
    """Make the store unavailable: it refuses or drops all calls."""
    return _inject_store_faults(context, outage=context.rng.choice(("refuse", "drop")))


def store_slow(context: FaultContext) -> Callable[[], None]:
    """Delay the store's replies, sometimes beyond the timeout of the callers."""
    return _inject_store_faults(context, delay_ms=100, delay_jitter_ms=600)


def store_loses_answers(context: FaultContext) -> Callable[[], None]:
    """Lose replies to writes that took effect, and lose some writes without effect."""
    return _inject_store_faults(context, lost_answer_probability=0.4, lost_call_probability=0.1)


def silence_worker(context: FaultContext) -> Callable[[], None]:
    """Discard all bytes on the open connections to a worker; new connections work."""
    proxy = context.cluster.daemon_proxies[_choose_worker(context)]
    proxy.silence_open()
    return proxy.restore


def silence_replies(context: FaultContext) -> Callable[[], None]:
    """Deliver calls to a worker but discard its replies."""
    proxy = context.cluster.daemon_proxies[_choose_worker(context)]
    proxy.silence(Direction.TO_CLIENT)
    return proxy.restore


def cut_worker(context: FaultContext) -> Callable[[], None]:
    """Close and refuse connections to a worker; the worker can still call the entries."""
    proxy = context.cluster.daemon_proxies[_choose_worker(context)]
    proxy.cut()
    return proxy.restore


def cut_data_centre(context: FaultContext) -> Callable[[], None]:
    """Close and refuse connections to all workers of a data centre."""
    cluster = context.cluster
    name = context.rng.choice(cluster.layout.data_centres)
    proxies = [
        cluster.daemon_proxies[w] for w in cluster.worker_names() if cluster.data_centre(w) == name
    ]
    for proxy in proxies:
        proxy.cut()
    return lambda: [proxy.restore() for proxy in proxies] and None


def cut_entry_from_store(context: FaultContext) -> Callable[[], None]:
    """Close and refuse connections from an entry to the store; it still reaches the workers."""
    proxy = context.cluster.store_proxies[_choose_entry(context)]
    proxy.cut()
    return proxy.restore


def delay_entry(context: FaultContext) -> Callable[[], None]:
    """Delay all traffic to and from one entry through its proxy."""
    proxy = context.cluster.daemon_proxies[_choose_entry(context)]
    proxy.delay(timedelta(milliseconds=50), timedelta(milliseconds=200))
    return proxy.restore


def data_centre_out(context: FaultContext) -> Callable[[], None]:
    """Take a data centre out of service and bring it back."""
    name = context.rng.choice(context.cluster.layout.data_centres)
    out_at = context.change(f"/v1/data-centres/{name}", {"state": "out"})
    context.trace(f"  {name} is out")

    def bring_back() -> None:
        in_at = time.time()
        context.change(f"/v1/data-centres/{name}", {"state": "in"})
        context.outages.append((name, out_at, in_at))

    return bring_back


def cancel_wave(context: FaultContext) -> Callable[[], None]:
    """Submit jobs and cancel them immediately, through random entries."""
    context.wave_count += 1
    body = {
        "template": "reconciliation",
        "tasks": [{"input": {"items": [], "never_finishes": True}}] * 3,
    }
    names = [f"cancelled-{context.wave_count}-{number}" for number in range(JOBS_PER_CANCEL_WAVE)]
    submitted = [name for name in names if _call_job_api(context, "PUT", name, body) in (200, 201)]
    for name in submitted:
        threading.Thread(target=_cancel_job, args=(context, name), daemon=True).start()
    return lambda: None


def _cancel_job(context: FaultContext, name: str) -> None:
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline and _call_job_api(context, "DELETE", name) not in (200, 202):
        time.sleep(0.2)


def _call_job_api(context: FaultContext, method: str, job: str, body: Any = None) -> int:
    entry = random.choice(context.cluster.entry_names())
    try:
        return context.cluster.call(entry, method, f"/v1/jobs/{job}", body)[0]
    except urllib3.exceptions.HTTPError:
        return 0


FAULTS = tuple(
    Fault(action.__name__, action)
    for action in (
        kill_entry,
        kill_worker,
        lose_vm,
        freeze_entry,
        freeze_worker,
        stop_worker,
        store_down,
        store_slow,
        store_loses_answers,
        silence_worker,
        silence_replies,
        cut_worker,
        cut_data_centre,
        cut_entry_from_store,
        delay_entry,
        data_centre_out,
        cancel_wave,
    )
)

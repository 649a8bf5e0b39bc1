"""Faults of a failure run. Each begins, lasts a while, and ends with the damage repaired."""

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

NO_STORE_FAULTS = {
    "outage": "",
    "delay_ms": 0,
    "delay_jitter_ms": 0,
    "lost_answer_probability": 0,
    "lost_call_probability": 0,
}
CANCELLED_JOBS = 4


@attrs.define
class Scene:
    """What faults act on.

    :param cluster: the processes.
    :param rng: seeded choices.
    :param say: records one line of the trace.
    :param outages: name of each data centre taken out, when, and when it was brought back.
    """

    cluster: ProxiedCluster
    rng: random.Random
    say: Callable[[str], None]
    outages: list[tuple[str, float, float]] = attrs.field(factory=list)
    undo: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    counter: int = 0

    def heal(self) -> None:
        """End everything that is still going on and start what is not running."""
        for end in list(self.undo.values()):
            end()
        self.undo.clear()
        for proxy in (*self.cluster.wires.values(), *self.cluster.store_links.values()):
            proxy.restore()
        for process in self.cluster.processes.values():
            process.signal(signal.SIGCONT)
            if not process.running():
                process.start()

    def change(self, path: str, body: Any) -> float:
        """Make a configuration change, trying until it is accepted.

        :returns: time in seconds after its acceptance.
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
    :param act: makes the fault and returns what ends it.
    """

    name: str
    act: Callable[[Scene], Callable[[], None]]

    def begin(self, scene: Scene) -> None:
        """Make the fault."""
        scene.say(f"begin {self.name}")
        scene.undo[self.name] = self.act(scene)

    def end(self, scene: Scene) -> None:
        """End the fault."""
        scene.undo.pop(self.name)()
        scene.say(f"end {self.name}")


def _entry(scene: Scene) -> str:
    return scene.rng.choice(scene.cluster.entry_names())


def _worker(scene: Scene) -> str:
    return scene.rng.choice(scene.cluster.worker_names())


def _kill(scene: Scene, name: str) -> Callable[[], None]:
    process = scene.cluster.processes[name]
    scene.say(f"  kill {name}")
    process.kill()

    def restart() -> None:
        if not process.running():
            process.start()

    return restart


def _freeze(scene: Scene, name: str) -> Callable[[], None]:
    process = scene.cluster.processes[name]
    scene.say(f"  freeze {name}")
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def kill_entry(scene: Scene) -> Callable[[], None]:
    """Kill an entry."""
    return _kill(scene, _entry(scene))


def kill_worker(scene: Scene) -> Callable[[], None]:
    """Kill a worker process; its VM goes on."""
    return _kill(scene, _worker(scene))


def lose_vm(scene: Scene) -> Callable[[], None]:
    """Lose a VM with its tasks."""
    name = _worker(scene)
    restart = _kill(scene, name)
    scene.cluster.stand_in("runtime", "POST", f"/admin/workers/{name}/kill")

    def replace() -> None:
        scene.cluster.stand_in("runtime", "POST", f"/admin/workers/{name}/restore")
        restart()

    return replace


def freeze_entry(scene: Scene) -> Callable[[], None]:
    """Suspend an entry."""
    return _freeze(scene, _entry(scene))


def freeze_worker(scene: Scene) -> Callable[[], None]:
    """Suspend a worker process."""
    return _freeze(scene, _worker(scene))


def stop_worker(scene: Scene) -> Callable[[], None]:
    """Stop a worker as planned, in the background."""
    name = _worker(scene)
    process = scene.cluster.processes[name]
    scene.say(f"  stop {name}")
    process.signal(signal.SIGTERM)

    def restart() -> None:
        code = process.terminate()
        scene.say(f"  {name} ended with exit code {code}")
        process.start()

    return restart


def _store(scene: Scene, **faults: Any) -> Callable[[], None]:
    faults = {"seed": scene.rng.randrange(1000), **faults}
    scene.cluster.stand_in("store", "PUT", "/admin/faults", faults)
    return lambda: scene.cluster.stand_in("store", "PUT", "/admin/faults", NO_STORE_FAULTS) and None


def store_down(scene: Scene) -> Callable[[], None]:
    """Take the store down."""
    return _store(scene, outage=scene.rng.choice(("refuse", "drop")))


def store_slow(scene: Scene) -> Callable[[], None]:
    """Slow the store down, at times beyond the timeout."""
    return _store(scene, delay_ms=100, delay_jitter_ms=600)


def store_loses_answers(scene: Scene) -> Callable[[], None]:
    """Lose answers of writes that took effect, and some writes."""
    return _store(scene, lost_answer_probability=0.4, lost_call_probability=0.1)


def silence_worker(scene: Scene) -> Callable[[], None]:
    """Silence the open connections to a worker; new ones work."""
    proxy = scene.cluster.wires[_worker(scene)]
    proxy.silence_open()
    return proxy.restore


def silence_replies(scene: Scene) -> Callable[[], None]:
    """Let calls reach a worker while its replies vanish."""
    proxy = scene.cluster.wires[_worker(scene)]
    proxy.silence(Direction.TO_CLIENT)
    return proxy.restore


def cut_worker(scene: Scene) -> Callable[[], None]:
    """Cut a worker off from calls of the entries; it can still call them."""
    proxy = scene.cluster.wires[_worker(scene)]
    proxy.cut()
    return proxy.restore


def cut_data_centre(scene: Scene) -> Callable[[], None]:
    """Cut all workers of a data centre off."""
    cluster = scene.cluster
    name = scene.rng.choice(cluster.layout.data_centres)
    proxies = [cluster.wires[w] for w in cluster.worker_names() if cluster.data_centre(w) == name]
    for proxy in proxies:
        proxy.cut()
    return lambda: [proxy.restore() for proxy in proxies] and None


def cut_entry_from_store(scene: Scene) -> Callable[[], None]:
    """Cut one entry off from the store; it still reaches the workers."""
    proxy = scene.cluster.store_links[_entry(scene)]
    proxy.cut()
    return proxy.restore


def delay_entry(scene: Scene) -> Callable[[], None]:
    """Delay everything to one entry."""
    proxy = scene.cluster.wires[_entry(scene)]
    proxy.delay(timedelta(milliseconds=50), timedelta(milliseconds=200))
    return proxy.restore


def data_centre_out(scene: Scene) -> Callable[[], None]:
    """Take a data centre out and bring it back."""
    name = scene.rng.choice(scene.cluster.layout.data_centres)
    out_at = scene.change(f"/v1/data-centres/{name}", {"state": "out"})
    scene.say(f"  {name} is out")

    def bring_back() -> None:
        in_at = time.time()
        scene.change(f"/v1/data-centres/{name}", {"state": "in"})
        scene.outages.append((name, out_at, in_at))

    return bring_back


def cancel_wave(scene: Scene) -> Callable[[], None]:
    """Submit jobs and cancel them at once, through random entries."""
    scene.counter += 1
    body = {
        "template": "reconciliation",
        "tasks": [{"input": {"items": [], "never_finishes": True}}] * 3,
    }
    names = [f"cancelled-{scene.counter}-{number}" for number in range(CANCELLED_JOBS)]
    submitted = [name for name in names if _call(scene, "PUT", name, body) in (200, 201)]
    for name in submitted:
        threading.Thread(target=_cancel, args=(scene, name), daemon=True).start()
    return lambda: None


def _cancel(scene: Scene, name: str) -> None:
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline and _call(scene, "DELETE", name) not in (200, 202):
        time.sleep(0.2)


def _call(scene: Scene, method: str, job: str, body: Any = None) -> int:
    entry = random.choice(scene.cluster.entry_names())
    try:
        return scene.cluster.call(entry, method, f"/v1/jobs/{job}", body)[0]
    except urllib3.exceptions.HTTPError:
        return 0


FAULTS = tuple(
    Fault(act.__name__, act)
    for act in (
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

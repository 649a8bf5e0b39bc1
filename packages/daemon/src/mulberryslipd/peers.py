"""Threads that talk to the workers: one for each worker, up to a limit."""

import queue
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait
from datetime import timedelta
from typing import Any, Protocol

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log

MAX_THREADS = 64
"""With more workers, several share a thread. At 1 renewal/s and about 10 ms each, a thread serves
tens of workers."""


class Peers(Protocol):
    """Runs calls to workers."""

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call after the earlier ones to the same worker."""

    def gather(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Wait until all calls are done, at most for a while."""

    def stop(self) -> None:
        """Drop the calls that have not begun."""


class PeerThreads:
    """One thread for each worker that is called, up to a limit.

    :param name: prefix of the thread names.
    :param max_threads: with more workers, several share a thread.
    """

    def __init__(self, name: str, max_threads: int = MAX_THREADS):
        self._name = name
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._queues: list[queue.SimpleQueue] = []
        self._assigned: dict[str, queue.SimpleQueue] = {}
        self._stopped = False

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call after the earlier ones to the same worker."""
        fut: Future = Future()
        with self._lock:
            if self._stopped:
                fut.cancel()
                return fut
            calls = self._assigned.get(worker_id) or self._assign(worker_id)
        calls.put((fut, call))
        return fut

    def gather(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Wait until all calls are done, at most for a while."""
        wait(futures, timeout.total_seconds())

    def stop(self) -> None:
        """End the threads after the calls that have begun; drop the others."""
        with self._lock:
            self._stopped = True
            queues = list(self._queues)
        for calls in queues:
            calls.put(None)

    def _assign(self, worker_id: str) -> queue.SimpleQueue:
        if len(self._queues) < self._max_threads:
            calls: queue.SimpleQueue = queue.SimpleQueue()
            self._queues.append(calls)
            name = f"{self._name}-{len(self._queues)}"
            threading.Thread(target=self._run, args=(calls,), name=name, daemon=True).start()
        else:
            calls = self._queues[len(self._assigned) % self._max_threads]
        self._assigned[worker_id] = calls
        return calls

    def _run(self, calls: queue.SimpleQueue) -> None:
        while (item := calls.get()) is not None:
            fut, call = item
            if self._stopped:
                fut.cancel()
            elif fut.set_running_or_notify_cancel():
                run_call(fut, call)


class InlinePeers:
    """Runs each call at once in the calling thread; for tests.

    :param clock: not advanced by waiting, since nothing is left to wait for.
    """

    def __init__(self, clock: Clock | None = None):
        self._clock = clock

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call."""
        fut: Future = Future()
        run_call(fut, call)
        return fut

    def gather(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Return; all calls are done."""

    def stop(self) -> None:
        """Do nothing."""


def run_call(fut: Future, call: Callable[[], Any]) -> None:
    """Run a call and keep its result or exception."""
    try:
        fut.set_result(call())
    except Exception as exc:
        log(Event.INTERNAL_ERROR, method="peer call", error=repr(exc))
        fut.set_exception(exc)

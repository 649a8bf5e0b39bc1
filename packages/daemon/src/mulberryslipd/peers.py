"""Threads that run the calls to workers: one per worker, up to a limit."""

import queue
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait
from datetime import timedelta
from typing import Any, Protocol

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log

MAX_THREADS = 64
"""With more workers, several share a thread. At 1 renewal/s of about 10 ms per worker, a thread can
serve tens of workers."""


class WorkerExecutor(Protocol):
    """Runs calls to workers, in order for each worker."""

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call after the earlier ones to the same worker."""

    def wait_all(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Wait until all calls are done or the timeout has passed."""

    def stop(self) -> None:
        """Cancel the calls that have not started."""


class WorkerThreadPool:
    """Run the calls in one thread per worker, up to a limit.

    :param name: prefix of the thread names.
    :param max_threads: with more workers, several share a thread.
    """

    def __init__(self, name: str, max_threads: int = MAX_THREADS):
        self._name = name
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._queues: list[queue.SimpleQueue] = []
        self._queue_by_worker: dict[str, queue.SimpleQueue] = {}
        self._stopped = False

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call after the earlier ones to the same worker."""
        fut: Future = Future()
        with self._lock:
            if self._stopped:
                fut.cancel()
                return fut
            try:
                calls = self._queue_by_worker.get(worker_id) or self._assign_queue(worker_id)
            except RuntimeError as exc:
                log(Event.INTERNAL_ERROR, method="start a thread for calls", error=repr(exc))
                fut.set_exception(exc)
                return fut
        calls.put((fut, call))
        return fut

    def wait_all(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Wait until all calls are done or the timeout has passed."""
        wait(futures, timeout.total_seconds())

    def stop(self) -> None:
        """End the threads after their current calls and cancel the others."""
        with self._lock:
            self._stopped = True
            queues = list(self._queues)
        for calls in queues:
            calls.put(None)

    def _assign_queue(self, worker_id: str) -> queue.SimpleQueue:
        """Return a queue for a worker: one with a new thread, or else one that is shared.

        :raises RuntimeError: no thread can be started and there is none to share.
        """
        calls = None
        if len(self._queues) < self._max_threads:
            try:
                calls = self._start_thread()
            except RuntimeError:
                if not self._queues:
                    raise
        if calls is None:
            calls = self._queues[len(self._queue_by_worker) % len(self._queues)]
        self._queue_by_worker[worker_id] = calls
        return calls

    def _start_thread(self) -> queue.SimpleQueue:
        """Start a thread and return its queue; a queue without a thread would keep its calls."""
        calls: queue.SimpleQueue = queue.SimpleQueue()
        name = f"{self._name}-{len(self._queues) + 1}"
        threading.Thread(target=self._run, args=(calls,), name=name, daemon=True).start()
        self._queues.append(calls)
        return calls

    def _run(self, calls: queue.SimpleQueue) -> None:
        while (item := calls.get()) is not None:
            fut, call = item
            if self._stopped:
                fut.cancel()
            elif fut.set_running_or_notify_cancel():
                run_call(fut, call)


class InlineExecutor:
    """Run each call immediately in the calling thread; for tests.

    :param clock: not advanced, because every call is done when `wait_all` is called.
    """

    def __init__(self, clock: Clock | None = None):
        self._clock = clock

    def submit(self, worker_id: str, call: Callable[[], Any]) -> Future:
        """Run a call."""
        fut: Future = Future()
        run_call(fut, call)
        return fut

    def wait_all(self, futures: Iterable[Future], timeout: timedelta) -> None:
        """Return at once, because all calls are done."""

    def stop(self) -> None:
        """Do nothing."""


def run_call(fut: Future, call: Callable[[], Any]) -> None:
    """Run a call and store its result or exception in the future."""
    try:
        fut.set_result(call())
    except Exception as exc:
        log(Event.INTERNAL_ERROR, method="peer call", error=repr(exc))
        fut.set_exception(exc)

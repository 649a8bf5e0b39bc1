"""Signals of a process, received by its main thread."""

import queue
import signal

CHECK_INTERVAL_S = 0.2
"""The main thread wakes up at this interval. Python runs handlers only in it, and the system may
deliver a signal to another thread."""


class SignalQueue:
    """Queue of the signals that the process has received.

    A handler runs in the main thread between any two of its instructions, also while that thread
    holds a lock. So a handler must take no lock, such as that of a `threading.Event`. A
    `queue.SimpleQueue` is safe to use in a handler.

    :param signums: signals to receive; this replaces their handlers.
    """

    def __init__(self, *signums: signal.Signals):
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()
        for signum in signums:
            signal.signal(signum, lambda received, _: self._received.put(received))

    def get(self) -> int:
        """Return the next signal, waiting for it; only the main thread may call this."""
        while True:
            try:
                return self._received.get(timeout=CHECK_INTERVAL_S)
            except queue.Empty:
                continue

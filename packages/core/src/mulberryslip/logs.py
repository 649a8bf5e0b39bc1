"""Where log events go: a bounded queue that a thread writes out, so that logging never blocks."""

import json
import threading
from collections import deque
from datetime import timedelta
from typing import TextIO

import eliot

from .clocks import Clock

MAX_QUEUED = 5000
"""Messages of about 300 bytes; a queue of 1.5 MB spans a pause of the reader of some seconds."""

MAX_LINES_PER_S = 400
"""A busy owner writes about 150 lines a second; more would cost more than the work they tell of."""

FLUSH_INTERVAL = timedelta(milliseconds=250)
_DROPPED = "log_lines_dropped"
_HIDDEN = ("task_uuid", "task_level")


class LogWriter:
    """Destination of `eliot` messages that drops lines instead of blocking.

    Dropped lines are counted, and the count is written as a line of its own.

    :param stream: where the lines go.
    """

    def __init__(self, stream: TextIO, clock: Clock):
        self._stream = stream
        self._clock = clock
        self._lock = threading.Lock()
        self._messages: deque[dict] = deque()
        self._dropped = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def __call__(self, message: dict) -> None:
        """Take in one message."""
        with self._lock:
            if len(self._messages) < MAX_QUEUED:
                self._messages.append(message)
            else:
                self._dropped += 1

    def start(self) -> None:
        """Take in all messages of the process and write them in a thread."""
        eliot.add_destinations(self)
        self._thread.start()

    def stop(self) -> None:
        """Write what is queued and end the thread."""
        self._stopping.set()
        self._thread.join()
        eliot.remove_destination(self)

    def flush(self) -> None:
        """Write what is queued, up to the rate."""
        limit = int(MAX_LINES_PER_S * FLUSH_INTERVAL.total_seconds())
        with self._lock:
            messages = list(self._messages)
            self._messages.clear()
            dropped, self._dropped = self._dropped, 0
        dropped += max(0, len(messages) - limit)
        # The oldest lines of a burst tell what began it.
        lines = [_line(message) for message in messages[:limit]]
        if dropped:
            lines.append(json.dumps({"message_type": _DROPPED, "count": dropped}))
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()

    def _run(self) -> None:
        while not self._clock.wait(self._stopping, FLUSH_INTERVAL):
            self.flush()
        self.flush()


def _line(message: dict) -> str:
    shown = {key: value for key, value in message.items() if key not in _HIDDEN}
    return json.dumps(shown, separators=(",", ":"), default=str)

"""Non-blocking log output: a bounded queue that a background thread writes to a stream."""

import json
import threading
from collections import deque
from datetime import timedelta
from typing import TextIO

import eliot

from .clocks import Clock

MAX_QUEUED_MESSAGES = 5000
"""A message has about 300 bytes, so a full queue takes 1.5 MB. It covers a pause of several seconds
in reading the log."""

MAX_LINES_PER_S = 400
"""A busy owner writes about 150 lines per second. Writing more than the limit would cost more
processor time than the logged work itself."""

FLUSH_INTERVAL = timedelta(milliseconds=250)
_DROPPED_MESSAGE_TYPE = "log_lines_dropped"
_OMITTED_FIELDS = ("task_uuid", "task_level")


class LogWriter:
    """Destination of `eliot` messages that drops lines instead of blocking.

    Dropped lines are counted, and the count is written as a separate line.

    :param stream: text stream that the lines are written to.
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
        """Queue one message, or count it as dropped when the queue is full."""
        with self._lock:
            if len(self._messages) < MAX_QUEUED_MESSAGES:
                self._messages.append(message)
            else:
                self._dropped += 1

    def start(self) -> None:
        """Register as an `eliot` destination and start the writer thread."""
        eliot.add_destinations(self)
        self._thread.start()

    def stop(self) -> None:
        """Stop the writer thread after it has written the queued messages."""
        self._stopping.set()
        self._thread.join()
        eliot.remove_destination(self)

    def flush(self) -> None:
        """Write the queued messages, up to the rate limit; the rest are dropped."""
        max_lines = int(MAX_LINES_PER_S * FLUSH_INTERVAL.total_seconds())
        with self._lock:
            messages = list(self._messages)
            self._messages.clear()
            dropped, self._dropped = self._dropped, 0
        dropped += max(0, len(messages) - max_lines)
        lines = []
        # The oldest lines of a burst are kept, because they show what caused it.
        for message in messages[:max_lines]:
            try:
                lines.append(_format_message(message))
            except (ValueError, TypeError, RecursionError):
                dropped += 1
        written = len(lines)
        if dropped:
            lines.append(json.dumps({"message_type": _DROPPED_MESSAGE_TYPE, "count": dropped}))
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # A full file system, for example, may take lines again later.
            with self._lock:
                self._dropped += written + dropped

    def _run(self) -> None:
        while not self._clock.wait(self._stopping, FLUSH_INTERVAL):
            self.flush()
        self.flush()


def _format_message(message: dict) -> str:
    fields = {key: value for key, value in message.items() if key not in _OMITTED_FIELDS}
    return json.dumps(fields, separators=(",", ":"), default=str)

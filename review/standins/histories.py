"""What was sent, answered and run, in order, with times since the start of the case."""

import json
import threading
import time


class History:
    """Events of a case. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._started_s = time.monotonic()
        self.events = []

    def add(self, kind, where, task="", run=0, **details):
        """Add an event, with the current time in seconds."""
        with self._lock:
            now = round(time.monotonic() - self._started_s, 3)
            self.events.append({"t": now, "kind": kind, "where": where, "task": task, "run": run})
            self.events[-1] |= details

    def of(self, *kinds):
        """Return the events of some kinds, in order."""
        with self._lock:
            return [event for event in self.events if event["kind"] in kinds]

    def write(self, path, limit_chars=120):
        """Write all events, one JSON object a line; long texts are cut."""
        with self._lock, open(path, "w", encoding="utf-8") as file:
            for event in self.events:
                shown = {
                    key: value[:limit_chars] if isinstance(value, str) else value
                    for key, value in event.items()
                    if value != ""
                }
                file.write(json.dumps(shown, separators=(",", ":")) + "\n")

"""Most recent reasons for the scheduling decisions on each task, in bounded memory."""

import threading
from collections import OrderedDict, deque
from datetime import datetime

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.models import TaskKey

MAX_TASKS = 10_000
MAX_REASONS = 8
MAX_REASON_CHARS = 200


@attrs.frozen
class Reason:
    """Reason for a scheduling decision on a task.

    :param at: when the reason was last recorded.
    :param text: one short sentence.
    """

    at: datetime
    text: str


class Explanations:
    """Keep the most recent reasons per task; least recently updated tasks are dropped. Thread-safe.

    :param clock: clock for the timestamps.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._reasons: OrderedDict[TaskKey, deque[Reason]] = OrderedDict()

    def add(self, key: TaskKey, text: str) -> None:
        """Add a reason; a repetition of the newest one only updates its timestamp."""
        reason = Reason(self._clock.now(), text[:MAX_REASON_CHARS])
        with self._lock:
            reasons = self._reasons.setdefault(key, deque(maxlen=MAX_REASONS))
            if reasons and reasons[-1].text == reason.text:
                reasons.pop()
            reasons.append(reason)
            self._reasons.move_to_end(key)
            if len(self._reasons) > MAX_TASKS:
                self._reasons.popitem(last=False)

    def reasons_for(self, key: TaskKey) -> list[Reason]:
        """Return the reasons of a task, oldest first."""
        with self._lock:
            return list(self._reasons.get(key, ()))

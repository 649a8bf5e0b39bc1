"""Rate limits on evictions, for the fleet and for each task."""

from collections import deque
from datetime import timedelta

import attrs

from .models import TaskKey

WINDOW = timedelta(minutes=1)
"""Sliding window of the fleet limit."""

FLEET_SHARE = 0.02
"""Share of the running tasks that may be evicted per minute because of interference."""

MIN_FLEET_LIMIT = 2
"""Evictions per minute allowed in a fleet of any size."""

TASK_INTERVAL = timedelta(minutes=5)
"""Least time between two evictions of one task, so that it makes progress in between."""


@attrs.define
class EvictionLimit:
    """Count evictions against the fleet limit and the task limit.

    :param share: share of the fleet limit that this process may use, in (0, 1].
    """

    share: float = 1.0
    _recent_evictions: deque[timedelta] = attrs.field(factory=deque, init=False)
    _last_evictions: dict[TaskKey, timedelta] = attrs.field(factory=dict, init=False)

    def refusal_reason(self, now: timedelta, task: TaskKey, running: int) -> str:
        """Return the reason why the task may not be evicted now, or an empty string.

        :param now: monotonic time.
        :param task: the task.
        :param running: number of running tasks in the fleet.
        """
        while self._recent_evictions and now - self._recent_evictions[0] >= WINDOW:
            self._recent_evictions.popleft()
        if len(self._recent_evictions) >= self.limit(running):
            return "fleet limit of evictions reached"
        last = self._last_evictions.get(task)
        if last is not None and now - last < TASK_INTERVAL:
            return "task was evicted recently"
        return ""

    def limit(self, running: int) -> int:
        """Return the evictions per minute allowed for the given number of running tasks."""
        return max(1, int(self.share * max(MIN_FLEET_LIMIT, FLEET_SHARE * running)))

    def count(self, now: timedelta, task: TaskKey) -> None:
        """Count one eviction and drop the record of tasks evicted long ago."""
        self._recent_evictions.append(now)
        self._last_evictions[task] = now
        if len(self._last_evictions) > 1000:
            self._last_evictions = {
                key: at for key, at in self._last_evictions.items() if now - at < TASK_INTERVAL
            }

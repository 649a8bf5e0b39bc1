"""Limits on evictions, for the fleet and for each task."""

from collections import deque
from datetime import timedelta

import attrs

from .models import TaskKey

WINDOW = timedelta(minutes=1)
"""Period of the fleet limit."""

FLEET_SHARE = 0.02
"""Share of the running tasks that may be evicted per minute because of interference."""

MIN_FLEET_LIMIT = 2
"""Evictions per minute that even a small fleet may use."""

TASK_INTERVAL = timedelta(minutes=5)
"""Least time between two evictions of one task; it must make progress in between."""


@attrs.define
class EvictionLimit:
    """Counts evictions against both limits.

    :param share: share of the fleet limit that this process may use, in (0, 1].
    """

    share: float = 1.0
    _recent: deque[timedelta] = attrs.field(factory=deque, init=False)
    _tasks: dict[TaskKey, timedelta] = attrs.field(factory=dict, init=False)

    def refusal(self, now: timedelta, task: TaskKey, running: int) -> str:
        """Return why the task may not be evicted now, or an empty string.

        :param now: monotonic time.
        :param task: the task.
        :param running: number of running tasks in the fleet.
        """
        while self._recent and now - self._recent[0] >= WINDOW:
            self._recent.popleft()
        if len(self._recent) >= self.limit(running):
            return "fleet limit of evictions reached"
        last = self._tasks.get(task)
        if last is not None and now - last < TASK_INTERVAL:
            return "task was evicted recently"
        return ""

    def limit(self, running: int) -> int:
        """Return the evictions per minute allowed for the given number of running tasks."""
        return max(1, int(self.share * max(MIN_FLEET_LIMIT, FLEET_SHARE * running)))

    def count(self, now: timedelta, task: TaskKey) -> None:
        """Count one eviction and forget tasks evicted long ago."""
        self._recent.append(now)
        self._tasks[task] = now
        if len(self._tasks) > 1000:
            self._tasks = {key: at for key, at in self._tasks.items() if now - at < TASK_INTERVAL}

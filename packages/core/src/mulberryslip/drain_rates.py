"""Measures how fast a pool finishes best-effort work. This module performs no I/O.

It is designed for this load pattern: best-effort workflows arrive in bursts of 1.3 to 2.6 times the
mean rate for 4 to 6 s, the load of services takes processors away within seconds, and half of the
fleet may be lost and return.

Work is counted in core-seconds by the callers' estimates, as is the backlog that the rate is
compared with, so a bias that all estimates share cancels out. The rate is only known from times
when work waited all the time: at other times it shows the demand, not the capacity. Where in doubt
the highest plausible rate is returned, since a rate that is too low rejects work that would end in
time.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

from .dispatches import estimated_run_time
from .workflows import StepTask

BUCKET = timedelta(seconds=1)

WINDOW_BUCKETS = 10
"""Buckets over which a rate is measured. A run takes 3 to 5 s, so with shorter ones the rate varies
with the ends of single steps."""

MAX_RUN_TIME = timedelta(seconds=6)
"""Longest mean run time with which a rate is known. Of longer runs too few end within a window: in
replays with runs of 20 s, the rate was far too low until the first of them had ended."""

HISTORY_BUCKETS = 30
"""Buckets that are remembered; the highest rate of any window among them counts. It outlasts a loss
of half of the fleet for some seconds."""


def core_seconds(task: StepTask) -> float:
    """Return the work of a task by its caller's estimate, or by the default without one."""
    return task.spec.cpu_millis / 1000 * estimated_run_time(task).total_seconds()


@attrs.define
class _Bucket:
    done: float = 0.0
    observations: int = 0
    is_short: bool = True
    cores: float = 0.0
    run_time: timedelta = timedelta()


class DrainRate:
    """Measures the best-effort work that a pool finishes per second. Not thread-safe.

    State is kept in memory only: a new owner knows no rate until it has measured one.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, _Bucket] = {}

    def record_done(self, task: StepTask, now: timedelta) -> None:
        """Record that a best-effort task is done.

        :param now: time on the process's clock.
        """
        self._bucket(now).done += core_seconds(task)

    def observe(
        self, now: timedelta, is_short: bool, cores: float, running: Collection[StepTask]
    ) -> None:
        """Record the state of the pool; called several times per second.

        :param now: time on the process's clock.
        :param is_short: whether best-effort work waits for capacity.
        :param cores: cores of the workers that are up.
        :param running: the best-effort tasks that run.
        """
        bucket = self._bucket(now)
        bucket.observations += 1
        bucket.is_short &= is_short
        bucket.cores = max(bucket.cores, cores)
        if running:
            total = sum((estimated_run_time(task) for task in running), timedelta())
            bucket.run_time = max(bucket.run_time, total / len(running))

    def recent(self, now: timedelta) -> float:
        """Return the core-seconds finished per second over the last window, whatever waited."""
        current = now // BUCKET
        window = range(current - WINDOW_BUCKETS, current)
        done = sum(self._buckets[n].done for n in window if n in self._buckets)
        return done / (WINDOW_BUCKETS * BUCKET.total_seconds())

    def rate(self, now: timedelta) -> float | None:
        """Return the core-seconds that the pool can finish per second; None if that is not known.

        It is known while work has waited for the whole last window. The work finished per core that
        was up then is applied to the highest number of cores that were up lately, so a fleet that
        is gone for a second or has just returned does not count as slow.
        """
        current = now // BUCKET
        if not self._is_short_window(current):
            return None
        first = current - HISTORY_BUCKETS + WINDOW_BUCKETS
        per_core = max(
            self._per_core(end) for end in range(first, current + 1) if self._is_short_window(end)
        )
        recent = range(current - HISTORY_BUCKETS, current + 1)
        cores = max(self._buckets[n].cores for n in recent if n in self._buckets)
        return per_core * cores or None

    def _per_core(self, end: int) -> float:
        window = [self._buckets[n] for n in range(end - WINDOW_BUCKETS, end)]
        core_time = sum(bucket.cores for bucket in window) * BUCKET.total_seconds()
        return sum(bucket.done for bucket in window) / core_time if core_time else 0.0

    def _is_short_window(self, end: int) -> bool:
        """Return whether work waited, and runs were short, in the window before a bucket."""
        window = (self._buckets.get(n) for n in range(end - WINDOW_BUCKETS, end))
        return all(
            bucket is not None
            and bucket.observations > 0
            and bucket.is_short
            and bucket.run_time <= MAX_RUN_TIME
            for bucket in window
        )

    def _bucket(self, now: timedelta) -> _Bucket:
        number = now // BUCKET
        if number not in self._buckets:
            oldest = number - HISTORY_BUCKETS
            self._buckets = {n: b for n, b in self._buckets.items() if n >= oldest}
            self._buckets[number] = _Bucket()
        return self._buckets[number]

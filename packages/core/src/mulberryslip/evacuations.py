"""Order and pace of work that leaves a data centre and returns to it."""

import math
import threading
from collections import defaultdict
from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import singledispatch

import attrs

from .actions import Action, ActionKind, RunningTask
from .clocks import Clock
from .durations import DurationBook
from .models import TaskKey, WorkerView
from .profiles import BatchProfile, WatchProfile, profile_of

NOTICE = timedelta(seconds=60)
"""Time after which a data centre that was taken out may lose power."""

WAITING_SHARE = 0.5
"""Share of the notice in which tasks go on where they are.

In a full fleet a task that leaves early only waits in the queue, and more tasks finish by then.
"""

MOVING_SHARE = 0.8
"""Share of the notice after which all moves are ordered; the rest covers slow checkpoints."""

FINISH_MARGIN = timedelta(seconds=5)
"""Time before the end of the notice by which a task must be expected to finish to be left."""

MAX_MOVES_PER_ROUND = 40
"""Moves per round of one shard owner, so that a large data centre does not flood the store."""

RETURN_TIME = timedelta(seconds=15)
"""Time over which a data centre that returned is filled again."""

RETRY_AFTER = timedelta(seconds=20)
"""A task that still runs this long after its move was ordered is ordered again."""


@attrs.define
class _DataCentre:
    is_in: bool
    changed: timedelta | None = None


class Evacuations:
    """Plans the moves out of data centres and paces the return. Safe for several threads.

    :param clock: source of time.
    :param durations: learned run times.
    :param notice: time from the operators' change until the data centre may be gone.
    :param return_time: time over which a returned data centre is filled.
    """

    def __init__(
        self,
        clock: Clock,
        durations: DurationBook | None = None,
        notice: timedelta = NOTICE,
        return_time: timedelta = RETURN_TIME,
    ):
        self.durations = durations or DurationBook()
        self._clock = clock
        self._notice = notice
        self._return_time = return_time
        self._lock = threading.RLock()
        self._data_centres: dict[str, _DataCentre] = {}
        self._ordered: dict[TaskKey, timedelta] = {}

    def observe(self, workers: Sequence[WorkerView]) -> None:
        """Note which data centres are in service; called each second.

        A data centre that was in service when it was first seen has not returned, so its pace
        is not limited.
        """
        with self._lock:
            now = self._clock.monotonic()
            for view in workers:
                self._note(view.description.data_centre, view.data_centre_in, now)

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Iterable[RunningTask]
    ) -> list[Action]:
        """Decide which tasks leave now; called each second.

        :param now: monotonic time of the clock that was passed in.
        :param workers: all known workers.
        :param running: the caller's running tasks.
        :returns: moves, in the order in which to carry them out.
        """
        with self._lock:
            self.observe(workers)
            homes = {view.description.worker_id: view.description.data_centre for view in workers}
            leaving: dict[str, list[RunningTask]] = defaultdict(list)
            for task in running:
                name = homes.get(task.worker_id)
                if name is not None and not self._data_centres[name].is_in:
                    leaving[name].append(task)
            if not leaving:
                self._ordered.clear()
                return []
            actions: list[Action] = []
            for name, tasks in leaving.items():
                actions += self._leave(now, name, tasks)
            return actions[:MAX_MOVES_PER_ROUND]

    def admits(self, view: WorkerView) -> bool:
        """Return whether the pace of return lets a worker take another task."""
        with self._lock:
            known = self._data_centres.get(view.description.data_centre)
            if known is None or known.changed is None or not known.is_in:
                return True
            elapsed = self._clock.monotonic() - known.changed
            if elapsed >= self._return_time:
                return True
            slots = view.description.capacity.slots
            used = slots - view.load.free.slots
            return used < max(1, math.ceil(slots * (elapsed / self._return_time)))

    def _note(self, name: str, is_in: bool, now: timedelta) -> None:
        known = self._data_centres.get(name)
        if known is None:
            changed = None if is_in else now
            self._data_centres[name] = _DataCentre(is_in, changed)
        elif known.is_in != is_in:
            known.is_in = is_in
            known.changed = now

    def _leave(self, now: timedelta, name: str, tasks: list[RunningTask]) -> list[Action]:
        changed = self._data_centres[name].changed
        elapsed = now - changed if changed is not None else timedelta()
        left = self._notice - elapsed
        if elapsed < self._notice * WAITING_SHARE:
            return []
        movable = [task for task in tasks if not self._may_finish(task, left)]
        movable.sort(key=self._urgency, reverse=True)
        by_worker: dict[str, list[RunningTask]] = defaultdict(list)
        for task in movable:
            by_worker[task.worker_id].append(task)
        due = []
        # The worker with the most tasks takes longest, since it writes one checkpoint at a time.
        for held in sorted(by_worker.values(), key=len, reverse=True):
            due += self._next(now, held)
        actions = []
        for task in due[: self._pace(len(movable), elapsed)]:
            self._ordered[task.key] = now
            reason = f"data centre {name} is out; {left.total_seconds():.0f} s of notice left"
            actions.append(Action(ActionKind.MOVE, task.key, task.worker_id, reason))
        return actions

    def _next(self, now: timedelta, tasks: list[RunningTask]) -> list[RunningTask]:
        """Return the next task of a worker, one checkpoint at a time.

        Checkpoints that share the worker's rate would all be late; one after the other, the
        first ones are safe even when the notice is shorter than assumed.
        """
        if any(self._is_ordered(now, task) for task in tasks):
            return []
        return tasks[:1]

    def _pace(self, count: int, elapsed: timedelta) -> int:
        """Return how many tasks leave in this round, so that all have left in the moving time."""
        rounds = (self._notice * MOVING_SHARE - elapsed).total_seconds()
        return math.ceil(count / max(1.0, rounds))

    def _may_finish(self, task: RunningTask, left: timedelta) -> bool:
        remaining = self.durations.remaining(task.template, task.run_time)
        if remaining is None:
            return False
        return may_finish(profile_of(task.task_class), remaining, left - FINISH_MARGIN)

    def _urgency(self, task: RunningTask) -> float:
        return work_at_risk(profile_of(task.task_class), task) / checkpoint_cost(task)

    def _is_ordered(self, now: timedelta, task: RunningTask) -> bool:
        at = self._ordered.get(task.key)
        return at is not None and now - at < RETRY_AFTER


@singledispatch
def may_finish(profile: object, remaining: timedelta, left: timedelta) -> bool:
    """Return whether a task of a class may finish where it is.

    :param profile: class of the task.
    :param remaining: expected remaining run time.
    :param left: time left.
    """
    return False


@may_finish.register
def _batch_may_finish(profile: BatchProfile, remaining: timedelta, left: timedelta) -> bool:
    return remaining <= left


@singledispatch
def work_at_risk(profile: object, task: RunningTask) -> float:
    """Return the seconds of work that would be lost with the data centre."""
    return task.unsaved.total_seconds()


@work_at_risk.register
def _watch_at_risk(profile: WatchProfile, task: RunningTask) -> float:
    # A watch moves first, while the calm workers still have room: it stays there, and is
    # interrupted once and not again by a second move.
    return task.run_time.total_seconds() + 24 * 3600.0


@work_at_risk.register
def _batch_at_risk(profile: BatchProfile, task: RunningTask) -> float:
    return task.run_time.total_seconds() + task.unsaved.total_seconds()


def checkpoint_cost(task: RunningTask) -> float:
    """Return the relative cost of a checkpoint: it grows with the memory to be saved."""
    return 256.0 + _memory_mb(task)


def _memory_mb(task: RunningTask) -> int:
    return task.usage.memory_mb or task.resources.memory_mb

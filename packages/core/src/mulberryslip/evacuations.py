"""Evacuation of data centres: order and rate of moves out, and rate of starts on return."""

import math
import threading
from collections import defaultdict
from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import singledispatch

import attrs

from .actions import Action, ActionKind, RunningTask
from .clocks import Clock
from .durations import DurationEstimator
from .models import TaskKey, WorkerView
from .profiles import BatchProfile, WatchProfile, profile_of

NOTICE = timedelta(seconds=60)
"""Time from taking a data centre out until it may lose power."""

DELAY_SHARE = 0.5
"""Share of the notice before the first move.

In a full fleet a task that is moved early only waits in the queue, and more tasks finish in place.
"""

MOVING_SHARE = 0.8
"""Share of the notice by which all moves have been decided; the rest covers slow checkpoints."""

FINISH_MARGIN = timedelta(seconds=5)
"""A task may stay if it is expected to finish this long before the end of the notice."""

MAX_MOVES_PER_ROUND = 40
"""Limit on moves per round and shard owner; large data centres must not overload the store."""

RETURN_RAMP = timedelta(seconds=15)
"""Time over which the limit on tasks in a returned data centre rises to its full capacity."""

RETRY_AFTER = timedelta(seconds=20)
"""Time after which the move of a task that still runs is decided again."""


@attrs.define
class _DataCentre:
    is_in: bool
    changed: timedelta | None = None


class EvacuationPlanner:
    """Plan the moves out of data centres and limit starts on their return. Thread-safe.

    :param clock: source of monotonic time.
    :param durations: learned run times.
    :param notice: time from the operators' change until the data centre may lose power.
    :param return_time: time over which the limit in a returned data centre rises to full capacity.
    """

    def __init__(
        self,
        clock: Clock,
        durations: DurationEstimator | None = None,
        notice: timedelta = NOTICE,
        return_time: timedelta = RETURN_RAMP,
    ):
        self.durations = durations or DurationEstimator()
        self._clock = clock
        self._notice = notice
        self._return_time = return_time
        self._lock = threading.RLock()
        self._data_centres: dict[str, _DataCentre] = {}
        self._moves_decided: dict[TaskKey, timedelta] = {}

    def observe(self, workers: Sequence[WorkerView]) -> None:
        """Record which data centres are in service; call it once a second.

        A data centre that was in service when first seen has not returned, so starts there are
        not limited.
        """
        with self._lock:
            now = self._clock.monotonic()
            for view in workers:
                self._record_state(view.description.data_centre, view.data_centre_in, now)

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Iterable[RunningTask]
    ) -> list[Action]:
        """Decide which tasks to move now; call it once a second.

        :param now: monotonic time of the clock passed to the constructor.
        :param workers: all known workers.
        :param running: the caller's running tasks.
        :returns: moves, in the order in which to carry them out.
        """
        with self._lock:
            self.observe(workers)
            data_centres = {
                view.description.worker_id: view.description.data_centre for view in workers
            }
            leaving: dict[str, list[RunningTask]] = defaultdict(list)
            for task in running:
                name = data_centres.get(task.worker_id)
                if name is not None and not self._data_centres[name].is_in:
                    leaving[name].append(task)
            if not leaving:
                self._moves_decided.clear()
                return []
            actions: list[Action] = []
            for name, tasks in leaving.items():
                actions += self._plan_moves(now, name, tasks)
            return actions[:MAX_MOVES_PER_ROUND]

    def admits(self, view: WorkerView) -> bool:
        """Return whether the limit on a returned data centre lets a worker take another task."""
        with self._lock:
            record = self._data_centres.get(view.description.data_centre)
            if record is None or record.changed is None or not record.is_in:
                return True
            elapsed = self._clock.monotonic() - record.changed
            if elapsed >= self._return_time:
                return True
            slots = view.description.capacity.slots
            used = slots - view.load.free.slots
            return used < max(1, math.ceil(slots * (elapsed / self._return_time)))

    def _record_state(self, name: str, is_in: bool, now: timedelta) -> None:
        record = self._data_centres.get(name)
        if record is None:
            changed = None if is_in else now
            self._data_centres[name] = _DataCentre(is_in, changed)
        elif record.is_in != is_in:
            record.is_in = is_in
            record.changed = now

    def _plan_moves(self, now: timedelta, name: str, tasks: list[RunningTask]) -> list[Action]:
        changed = self._data_centres[name].changed
        elapsed = now - changed if changed is not None else timedelta()
        left = self._notice - elapsed
        if elapsed < self._notice * DELAY_SHARE:
            return []
        movable = [task for task in tasks if not self._may_finish(task, left)]
        movable.sort(key=self._move_priority, reverse=True)
        by_worker: dict[str, list[RunningTask]] = defaultdict(list)
        for task in movable:
            by_worker[task.worker_id].append(task)
        due = []
        # Workers write one checkpoint at a time, so the one with the most tasks takes longest.
        for worker_tasks in sorted(by_worker.values(), key=len, reverse=True):
            due += self._next_move(now, worker_tasks)
        actions = []
        for task in due[: self._move_count(len(movable), elapsed)]:
            self._moves_decided[task.key] = now
            reason = f"data centre {name} is out; {left.total_seconds():.0f} s of notice left"
            actions.append(Action(ActionKind.MOVE, task.key, task.worker_id, reason))
        return actions

    def _next_move(self, now: timedelta, tasks: list[RunningTask]) -> list[RunningTask]:
        """Return the next task to move off a worker, or nothing while a move is in progress.

        Concurrent checkpoints share the worker's bandwidth and would all finish late; in
        sequence, the first ones are saved even when the notice is shorter than assumed.
        """
        if any(self._is_moving(now, task) for task in tasks):
            return []
        return tasks[:1]

    def _move_count(self, count: int, elapsed: timedelta) -> int:
        """Return the moves for this round that spread the rest evenly until `MOVING_SHARE`."""
        rounds = (self._notice * MOVING_SHARE - elapsed).total_seconds()
        return math.ceil(count / max(1.0, rounds))

    def _may_finish(self, task: RunningTask, left: timedelta) -> bool:
        remaining = self.durations.remaining(task.template, task.run_time)
        if remaining is None:
            return False
        return may_finish(profile_of(task.task_class), remaining, left - FINISH_MARGIN)

    def _move_priority(self, task: RunningTask) -> float:
        return work_at_risk(profile_of(task.task_class), task) / checkpoint_cost(task)

    def _is_moving(self, now: timedelta, task: RunningTask) -> bool:
        decided_at = self._moves_decided.get(task.key)
        return decided_at is not None and now - decided_at < RETRY_AFTER


@singledispatch
def may_finish(profile: object, remaining: timedelta, left: timedelta) -> bool:
    """Return whether a task of a class may stay and finish instead of being moved.

    :param profile: profile of the task class.
    :param remaining: expected remaining run time.
    :param left: time left to finish in.
    """
    return False


@may_finish.register
def _batch_may_finish(profile: BatchProfile, remaining: timedelta, left: timedelta) -> bool:
    return remaining <= left


@singledispatch
def work_at_risk(profile: object, task: RunningTask) -> float:
    """Return a weight in seconds for the work that would be lost with the data centre."""
    return task.time_since_checkpoint.total_seconds()


@work_at_risk.register
def _watch_at_risk(profile: WatchProfile, task: RunningTask) -> float:
    # Watches move first, while workers with low pressure still have capacity; a watch can then
    # stay there and is interrupted only once.
    return task.run_time.total_seconds() + 24 * 3600.0


@work_at_risk.register
def _batch_at_risk(profile: BatchProfile, task: RunningTask) -> float:
    return task.run_time.total_seconds() + task.time_since_checkpoint.total_seconds()


def checkpoint_cost(task: RunningTask) -> float:
    """Return the relative cost of a checkpoint, which grows with the memory to save."""
    return 256.0 + _memory_mb(task)


def _memory_mb(task: RunningTask) -> int:
    return task.usage.memory_mb or task.resources.memory_mb

"""Reserves capacity for large tasks that wait for long. This module performs no I/O.

Load pattern: small tasks fill every gap as soon as it opens, so that a task which needs several
cores or much memory fits nowhere, however long it waits. Reservations for long-running tasks are
made by `Dispatcher.reserve_workers` and precede those made here.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from datetime import timedelta

import attrs

from .capacities import WorkerCapacity
from .health import EXCLUSION_PENALTY
from .holds import Hold
from .models import Resources
from .run_times import RunTimes
from .workflows import StepTask

HOLD_WAIT_MS = 1000
"""Waiting time after which a large task gets capacity reserved. The checks' objective is 2.4 times
a run of 1.4 s, so a check that has waited for longer than that misses it."""

LARGE_SHARE = 0.06
"""Share of one of a worker's resources from which on a task counts as large. Smaller tasks fit into
the gap that one or two typical runs leave."""

MAX_HELD_SHARE = 0.125
MIN_WORKERS = 4
"""Largest part of the workers that is reserved, and number of workers from which on at least one
is. Each of them is reserved for one task, and the others remain to all tasks."""

MAX_HOLDS = 8
"""Maximum number of reservations: of the tasks with the longest wait."""

MAX_COMPARED_STEPS = 24
"""Maximum number of steps that are compared with all workers in one round."""

MAX_AWAITED = timedelta(seconds=8)
"""Longest time after which capacity is expected to be free at the worker that is chosen. It is
about three runs of the first deployment."""

MAX_OVERDUE_FACTOR = 2
"""Multiple of the expected time after which a reservation is given up, or a run not awaited."""

MIN_GIVE_UP = timedelta(seconds=1)
"""Shortest time after which a reservation is given up. Reports and starts take up to 0.7 s."""

RETRY_MS = 2000
"""Time without a reservation after one was given up, in which others use the capacity."""

PLAN_INTERVAL_MS = 250
"""Time between two comparisons with all workers, which take longer than the rest of a round."""

_MS = timedelta(milliseconds=1)
ActiveRuns = Callable[[str], Iterable[tuple[StepTask, timedelta]]]
"""Returns the active tasks of a worker by its id, each with the time since its assignment."""


@attrs.frozen
class Reservation:
    """Reservation of a worker for a waiting task; times are in milliseconds since 1970.

    :param made_ms: when it was made.
    :param expected_ms: when the task was expected to fit at that time.
    """

    task: str
    worker_id: str
    made_ms: int
    expected_ms: int

    @property
    def give_up_ms(self) -> int:
        """Return when the reservation is given up."""
        awaited_ms = (self.expected_ms - self.made_ms) * MAX_OVERDUE_FACTOR
        return self.made_ms + max(MIN_GIVE_UP // _MS, awaited_ms)


@attrs.frozen
class Change:
    """A reservation that was made or has ended.

    :param outcome: `reserved`, `started` (anywhere, or no longer waiting), `overdue` or `worker
        unavailable`.
    """

    reservation: Reservation
    outcome: str


class Backfills:
    """Reservations of capacity for large waiting tasks.

    Not thread-safe. State is kept in memory only: a new owner reserves anew, in its first round, as
    waiting times are in the journal.

    :param run_times: expected run times.
    """

    def __init__(self, run_times: RunTimes):
        self._run_times = run_times
        self._reservations: dict[str, Reservation] = {}
        self._retry_ms: dict[str, int] = {}
        self._next_plan_ms = 0

    @property
    def count(self) -> int:
        """Return the number of reservations."""
        return len(self._reservations)

    def holds(self, task: str) -> bool:
        """Return whether capacity is reserved for a task."""
        return task in self._reservations

    def clear(self) -> None:
        """Discard all reservations."""
        self._reservations.clear()
        self._retry_ms.clear()
        self._next_plan_ms = 0

    def update(
        self,
        waiting: Sequence[StepTask],
        workers: Sequence[WorkerCapacity],
        active_runs: ActiveRuns,
        reserved: Collection[str],
        now_ms: int,
    ) -> list[Change]:
        """End and make reservations, and set the holds of the workers.

        :param waiting: short and best-effort tasks that are ready to start.
        :param workers: candidate workers; `hold` is set on those that are reserved.
        :param reserved: ids of the workers that are reserved for long-running tasks.
        :param now_ms: current time, in milliseconds since 1970.
        """
        self._retry_ms = {key: until for key, until in self._retry_ms.items() if until > now_ms}
        by_id = {worker.worker_id: worker for worker in workers}
        by_id = {key: worker for key, worker in by_id.items() if key not in reserved}
        changes: list[Change] = []
        if self._reservations:
            changes = self._end_reservations(waiting, by_id, active_runs, now_ms)
        if now_ms >= self._next_plan_ms or self._next_plan_ms > now_ms + PLAN_INTERVAL_MS:
            # The second condition holds after the time of day was set back.
            self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
            changes += self._reserve(waiting, workers, by_id, active_runs, now_ms)
        return changes

    def _end_reservations(
        self,
        waiting: Sequence[StepTask],
        workers: Mapping[str, WorkerCapacity],
        active_runs: ActiveRuns,
        now_ms: int,
    ) -> list[Change]:
        """End the reservations that are over, and set the holds of the others."""
        changes: list[Change] = []
        tasks = {task.name: task for task in waiting if task.name in self._reservations}
        for name, reservation in list(self._reservations.items()):
            task, worker = tasks.get(name), workers.get(reservation.worker_id)
            outcome, until_start = "", None
            if task is None:
                outcome = "started"
            elif worker is None or not worker.may_run(task):
                outcome = "worker unavailable"
            elif now_ms >= reservation.give_up_ms or now_ms < reservation.made_ms:
                outcome = "overdue"
            else:
                runs = list(active_runs(worker.worker_id))
                until_start = self._until_fit(task, worker, runs)
                outcome = "overdue" if until_start is None else ""
            if outcome:
                del self._reservations[name]
                changes.append(Change(reservation, outcome))
                if outcome == "overdue":
                    self._retry_ms[name] = now_ms + RETRY_MS
            else:
                worker.hold = self._hold(task, worker, runs, until_start)
        return changes

    def _reserve(
        self,
        waiting: Sequence[StepTask],
        workers: Sequence[WorkerCapacity],
        usable: Mapping[str, WorkerCapacity],
        active_runs: ActiveRuns,
        now_ms: int,
    ) -> list[Change]:
        """Reserve workers for the large tasks that have waited longest and fit nowhere."""
        limit = int(MAX_HELD_SHARE * len(workers)) or (len(workers) >= MIN_WORKERS)
        limit = min(MAX_HOLDS, limit)
        if len(self._reservations) >= limit:
            return []
        changes: list[Change] = []
        runs: dict[str, list[tuple[StepTask, timedelta]]] = {}
        for tasks in self._candidate_steps(waiting, workers, now_ms):
            if any(worker.admits(tasks[0]) for worker in workers if worker.hold is None):
                continue
            for task in tasks:
                if len(self._reservations) >= limit:
                    return changes
                best: tuple[timedelta, str] | None = None
                for worker in usable.values():
                    if worker.hold is not None or not _is_suitable(task, worker):
                        continue
                    if worker.worker_id not in runs:
                        runs[worker.worker_id] = list(active_runs(worker.worker_id))
                    until = self._until_fit(task, worker, runs[worker.worker_id])
                    if until is not None and until <= MAX_AWAITED:
                        best = min(best or (until, worker.worker_id), (until, worker.worker_id))
                if best is None:
                    break
                until_start, worker_id = best
                worker = usable[worker_id]
                reservation = Reservation(
                    task.name, worker_id, now_ms, now_ms + math.ceil(until_start / _MS)
                )
                self._reservations[task.name] = reservation
                worker.hold = self._hold(task, worker, runs[worker_id], until_start)
                changes.append(Change(reservation, "reserved"))
        return changes

    def _candidate_steps(
        self, waiting: Sequence[StepTask], workers: Sequence[WorkerCapacity], now_ms: int
    ) -> list[list[StepTask]]:
        """Return the tasks that may get capacity reserved by step, the longest wait first."""
        steps: dict[tuple[str, int], list[StepTask]] = {}
        for task in waiting:
            if now_ms - task.waiting_since_ms >= HOLD_WAIT_MS:
                steps.setdefault((task.workflow.workflow_id, task.step), []).append(task)
        kinds = {
            (worker.service, worker.capacity, worker.labels): worker for worker in workers
        }.values()
        candidates = []
        for tasks in steps.values():
            spec, service = tasks[0].spec, tasks[0].workflow.queue.service
            # A task that fits on no idle worker must not keep others from a reservation.
            hosts = [
                worker
                for worker in kinds
                if worker.service == service
                and spec.demand.fits(worker.capacity)
                and (not spec.required_label or spec.required_label in worker.labels)
            ]
            if not any(_is_large(spec.demand, worker.capacity) for worker in hosts):
                continue
            tasks = [
                task
                for task in tasks
                if task.name not in self._reservations and task.name not in self._retry_ms
            ]
            if tasks:
                candidates.append(sorted(tasks, key=lambda t: (t.waiting_since_ms, t.name)))
        candidates.sort(key=lambda tasks: (tasks[0].waiting_since_ms, tasks[0].name))
        return candidates[:MAX_COMPARED_STEPS]

    def _until_fit(
        self,
        task: StepTask,
        worker: WorkerCapacity,
        runs: Iterable[tuple[StepTask, timedelta]],
    ) -> timedelta | None:
        """Return the time until a task is expected to fit; None if it will not."""
        demand, free = task.spec.demand, worker.free
        if demand.fits(free):
            return timedelta()
        ends = sorted(
            (
                (remaining, run.name, run.spec.demand)
                for run, age in runs
                if (remaining := self._remaining(run, age)) is not None
            ),
            key=lambda end: end[:2],
        )
        for remaining, _, freed in ends:
            free += freed
            if demand.fits(free):
                return remaining
        return None

    def _remaining(self, run: StepTask, age: timedelta) -> timedelta | None:
        """Return the expected time until a run ends; None if it cannot be awaited.

        A run that overruns is expected to last for as long again as it has overrun.
        """
        if run.spec.lasting:
            return None
        expected = self._run_times.expected(run)
        if age > MAX_OVERDUE_FACTOR * expected:
            return None
        return abs(expected - age)

    def _hold(
        self,
        task: StepTask,
        worker: WorkerCapacity,
        runs: Iterable[tuple[StepTask, timedelta]],
        until_start: timedelta,
    ) -> Hold:
        """Return the hold for a task that is expected to fit after a time."""
        at_start = worker.free
        for run, age in runs:
            remaining = self._remaining(run, age)
            if remaining is not None and remaining <= until_start:
                at_start += run.spec.demand
        return Hold(task, until_start, at_start - task.spec.demand, self._run_times)


def _is_large(demand: Resources, capacity: Resources) -> bool:
    """Return whether a task takes up much of a worker."""
    amounts = zip(demand.amounts(), capacity.amounts(), strict=True)
    return any(needed and needed >= LARGE_SHARE * total for needed, total in amounts)


def _is_suitable(task: StepTask, worker: WorkerCapacity) -> bool:
    """Return whether a task would start on a worker that had enough room."""
    return (
        worker.penalty < EXCLUSION_PENALTY
        and not worker.is_probed
        and worker.worker_id not in task.failed_on
        and task.spec.demand.fits(worker.capacity)
        and worker.may_run(task)
    )

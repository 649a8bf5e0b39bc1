"""Reserves capacity for large tasks that wait for long. This module performs no I/O.

Load pattern: small tasks fill every gap as soon as it opens, so that a task which needs several
cores or much memory fits nowhere, however long it waits. Reservations for long-running tasks are
made by `Dispatcher.reserve_workers` and precede those made here.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from datetime import timedelta

import attrs

from .capacities import WorkerCapacity
from .health import EXCLUSION_PENALTY
from .holds import Hold
from .models import Resources
from .run_times import RunTimes
from .workflows import StepTask, Workflow

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

MAX_COMPARED_SHAPES = 32
"""Maximum number of different demands that are compared with all workers in one round."""

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
ActiveRuns = Callable[[str], Iterable[tuple[StepTask, int]]]
"""Returns the active tasks of a worker by its id, with the milliseconds since their assignment."""


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

    def worker_of(self, task: str) -> str:
        """Return the id of the worker that is reserved for a task; empty if there is none."""
        reservation = self._reservations.get(task)
        return "" if reservation is None else reservation.worker_id

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
            outcome, until_start_ms = "", None
            if task is None:
                outcome = "started"
            elif worker is None or not worker.may_run(task):
                outcome = "worker unavailable"
            elif now_ms >= reservation.give_up_ms or now_ms < reservation.made_ms:
                outcome = "overdue"
            else:
                ends = self._ends(active_runs(worker.worker_id), {})
                until_start_ms = _until_fit(task.spec.demand, worker.free, ends)
                outcome = "overdue" if until_start_ms is None else ""
            if outcome:
                del self._reservations[name]
                changes.append(Change(reservation, outcome))
                if outcome == "overdue":
                    self._retry_ms[name] = now_ms + RETRY_MS
            else:
                worker.hold = self._hold(task, worker, ends, until_start_ms)
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
        ends: dict[str, Ends] = {}
        expected_by_step: dict[tuple[Workflow, int], int] = {}
        hosts: dict[tuple, list[tuple[int, str]]] = {}
        for tasks in self._waiting_steps(waiting, now_ms):
            shape = _shape(tasks[0])
            if shape not in hosts:
                if len(hosts) == MAX_COMPARED_SHAPES:
                    continue
                is_needed = _needs_hold(tasks[0], workers)
                hosts[shape] = (
                    self._hosts(tasks[0], usable, active_runs, ends, expected_by_step)
                    if is_needed
                    else []
                )
            for task in sorted(tasks, key=_wait_rank) if hosts[shape] else ():
                until_start_ms, worker = next(
                    (
                        (until_start_ms, usable[worker_id])
                        for until_start_ms, worker_id in hosts[shape]
                        if usable[worker_id].hold is None and worker_id not in task.failed_on
                    ),
                    (0, None),
                )
                if worker is None:
                    break
                reservation = Reservation(
                    task.name, worker.worker_id, now_ms, now_ms + until_start_ms
                )
                self._reservations[task.name] = reservation
                worker.hold = self._hold(task, worker, ends[worker.worker_id], until_start_ms)
                changes.append(Change(reservation, "reserved"))
                if len(self._reservations) >= limit:
                    return changes
        return changes

    def _hosts(
        self,
        task: StepTask,
        workers: Mapping[str, WorkerCapacity],
        active_runs: ActiveRuns,
        ends: dict[str, "Ends"],
        expected_by_step: dict[tuple[Workflow, int], int],
    ) -> list[tuple[int, str]]:
        """Return the workers where a task is expected to fit, with the milliseconds until then.

        :param ends: expected ends of runs by worker id; updated.
        :param expected_by_step: expected run times in milliseconds; updated.
        """
        found = []
        for worker in workers.values():
            if worker.hold is not None or not _is_suitable(task, worker):
                continue
            if worker.worker_id not in ends:
                ends[worker.worker_id] = self._ends(active_runs(worker.worker_id), expected_by_step)
            until_ms = _until_fit(task.spec.demand, worker.free, ends[worker.worker_id])
            if until_ms is not None and until_ms <= MAX_AWAITED // _MS:
                found.append((until_ms, worker.worker_id))
        return sorted(found)

    def _waiting_steps(self, waiting: Sequence[StepTask], now_ms: int) -> list[list[StepTask]]:
        """Return the tasks that may get capacity reserved by step, the longest wait first."""
        steps: dict[tuple[str, int], list[StepTask]] = {}
        for task in waiting:
            if (
                now_ms - task.waiting_since_ms >= HOLD_WAIT_MS
                and task.name not in self._reservations
                and task.name not in self._retry_ms
            ):
                steps.setdefault((task.workflow.workflow_id, task.step), []).append(task)
        return sorted(
            steps.values(),
            key=lambda tasks: (min(task.waiting_since_ms for task in tasks), tasks[0].name),
        )

    def _ends(
        self,
        runs: Iterable[tuple[StepTask, int]],
        expected_by_step: dict[tuple[Workflow, int], int],
    ) -> "Ends":
        """Return the milliseconds until each run is expected to end, with its demand, in order.

        Runs that cannot be awaited are left out. A run that overruns is expected to last for as
        long again as it has overrun.

        :param expected_by_step: expected run times in milliseconds; updated.
        """
        ends: Ends = []
        for run, age_ms in runs:
            spec = run.spec
            if spec.lasting:
                continue
            step = (run.workflow, run.step)
            expected = expected_by_step.get(step)
            if expected is None:
                expected = expected_by_step[step] = self._run_times.expected(run) // _MS
            if age_ms <= MAX_OVERDUE_FACTOR * expected:
                ends.append((abs(expected - age_ms), spec.demand))
        ends.sort(key=lambda end: end[0])
        return ends

    def _hold(
        self, task: StepTask, worker: WorkerCapacity, ends: "Ends", until_start_ms: int
    ) -> Hold:
        """Return the hold for a task that is expected to fit after a time."""
        at_start = worker.free
        for remaining_ms, demand in ends:
            if remaining_ms <= until_start_ms:
                at_start += demand
        return Hold(task, until_start_ms * _MS, at_start - task.spec.demand, self._run_times)


Ends = list[tuple[int, Resources]]


def _until_fit(demand: Resources, free: Resources, ends: Ends) -> int | None:
    """Return the milliseconds until a task is expected to fit; None if it will not."""
    # Amounts one by one: a sum of `Resources` for each run takes several times as long.
    lacks_cpu = demand.cpu_millis - free.cpu_millis
    lacks_memory = demand.memory_mb - free.memory_mb
    lacks_accelerators = demand.accelerators - free.accelerators
    lacks_slots = demand.slots - free.slots
    until_ms = 0
    for remaining_ms, freed in ends:
        if max(lacks_cpu, lacks_memory, lacks_accelerators, lacks_slots) <= 0:
            break
        lacks_cpu -= freed.cpu_millis
        lacks_memory -= freed.memory_mb
        lacks_accelerators -= freed.accelerators
        lacks_slots -= freed.slots
        until_ms = remaining_ms
    return until_ms if max(lacks_cpu, lacks_memory, lacks_accelerators, lacks_slots) <= 0 else None


def _wait_rank(task: StepTask) -> tuple[int, str]:
    return (task.waiting_since_ms, task.name)


def _shape(task: StepTask) -> tuple:
    """Return what decides where a task fits; steps with a spread limit are distinct."""
    spec = task.spec
    step = (task.workflow.workflow_id, task.step) if spec.max_per_worker else ()
    return (task.workflow.queue.service, spec.demand, spec.required_label, step)


def _needs_hold(task: StepTask, workers: Iterable[WorkerCapacity]) -> bool:
    """Return whether a task is large and fits on no worker now, but on an idle one."""
    is_large = False
    for worker in workers:
        if worker.penalty >= EXCLUSION_PENALTY:
            continue
        if worker.hold is None and worker.admits(task):
            return False
        demand = task.spec.demand
        is_large |= (
            demand.fits(worker.capacity)
            and _is_large(demand, worker.capacity)
            and worker.may_run(task)
        )
    return is_large


def _is_large(demand: Resources, capacity: Resources) -> bool:
    """Return whether a task takes up much of a worker."""
    amounts = zip(demand.amounts(), capacity.amounts(), strict=True)
    return any(needed and needed >= LARGE_SHARE * total for needed, total in amounts)


def _is_suitable(task: StepTask, worker: WorkerCapacity) -> bool:
    """Return whether a task would start on a worker that had enough room."""
    return (
        worker.penalty < EXCLUSION_PENALTY
        and not worker.is_probed
        and task.spec.demand.cpu_millis <= worker.capacity.cpu_millis - worker.long_running_millis
        and task.spec.demand.fits(worker.capacity)
        and worker.may_run(task)
    )

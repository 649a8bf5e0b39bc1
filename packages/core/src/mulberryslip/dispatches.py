"""Scheduling policy: assigns waiting tasks to workers. This module performs no I/O.

It is designed for these load patterns:

- Short checks arrive all day while long-running services hold most processors and best-effort
  tasks use the rest. Long-running services leave `SHORT_TASK_RESERVE` of the fleet to checks as
  long as any wait; the checks precede best-effort tasks.
- Services reserve most of the processors, and best-effort tasks interfere with half of them.
  Services with the same image are packed together, and best-effort tasks go to the workers where
  they achieve the highest throughput.
- More best-effort tasks are waiting than fit. Workflows that can still meet their deadline are
  scheduled first, earliest deadline first; a started workflow precedes one that has not started.
"""

import functools
import heapq
import itertools
import math
from collections import Counter
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterable,
    Mapping,
    MutableMapping,
    Sequence,
)
from datetime import timedelta

import attrs

from .backfills import ActiveRuns, Backfills, Change
from .capacities import WorkerCapacity
from .crashes import (
    CRASHES_BEFORE_GUILT,
    MAX_TRIALS_IN_SERIES,
    MAX_TRIALS_PER_WORKFLOW,
    SUSPICION_WINDOW_MS,
)
from .critical_paths import CriticalPaths
from .duty_cycles import RESERVED_HEADROOM
from .fair_shares import order_by_share
from .headrooms import (
    NEGLIGIBLE_INTERFERENCE,
    Demand,
    InterferenceModel,
    allocate_headroom,
    max_budget_fraction,
)
from .health import EXCLUSION_PENALTY, UNSTARTED_PENALTY
from .models import Resources
from .pair_estimates import IndependentEstimates, JointEstimates
from .refusals import Preference, Requirement
from .run_times import RunTimes
from .service_packing import placement_cost
from .work_estimates import WorkEstimates
from .workflows import Phase, StepTask, Workflow

SHORT_TASK_RESERVE = 0.1
"""Share of the processors that long-running tasks leave to short tasks. The short checks of both
users need 5 to 6 % of the fleet on average and arrive in bursts."""

LAST_RESORT_WAIT_MS = 1000
"""Waiting time after which a long-running task may use excluded workers and what no waiting short
task needs of the reserve, because its users have no service until it starts. Its attempts are not
limited, so a failure costs little."""

START_DEADLINE_MS = 4000
"""Waiting time after which a long-running task starts in this round on any worker that no
`Requirement` excludes. Each `Preference` has a bound of its own, but their sum has none."""

RESERVATION_WAIT_MS = 2000
"""Waiting time after which a long-running task gets a worker reserved. Trials of other tasks and
short runs would otherwise take the worker again and again, since they need less room."""

SPREAD_FIRST_MS = 1000
"""Period within which the waits of services count as equally long when services are packed. Then
those with a spread limit go first, as after an outage, because they need room on many workers."""

MAX_RESERVATIONS = 16
MAX_COMPARED_SERVICES = 48
"""Maximum number of tasks that get a worker reserved in one round, those with the longest wait, and
of tasks that are compared against all workers for it."""

MAX_SHORT_RUN = timedelta(seconds=4)
MAX_OVERRUN_FACTOR = 2
"""Longest expected time of a run that a reservation awaits, and multiple of its expected time after
which it is not awaited any more: it may last for any time."""

MAX_TRIAL_WAIT_MS = 3000
"""Longest time for which a task waits for a trial, unless a worker has crashed again under a task
of its workflow. When all workers lose power at once, many tasks are suspected, and their trials
would take long."""

SERVICE_TRIALS_FACTOR = 2
"""Trials of long-running tasks, relative to those of others: their users have no service until
they run again."""

DEFAULT_HEADROOM = 2.0
"""Headroom assumed for a service without measurements. A latency objective is about five times the
tail latency of an idle service, and services run at about half load."""

MIN_MARGINAL_THROUGHPUT = 0.25
"""Minimum throughput that a best-effort task must add to a worker, as a share of the task's full
speed. Below this, the task waits for a better worker."""

ANY_WORKER_WAIT_MS = 10_000
"""Waiting time after which a best-effort task starts on any worker where it fits: it makes progress
whenever the load of the services there is low."""

FAILED_HERE_PENALTY = 10.0
"""Score penalty of a worker on which the task has failed before. It outweighs the advantage of a
worker with services of the same image, or the task would fail there again and again."""

CRASHED_HERE_PENALTY = 5.0
"""Score penalty of a worker on a VM where a worker has crashed under the task: the VM may be what
crashes, and crashes on one VM are no evidence against the task. For a long-running task,
`PACKING_WEIGHT` comes on top. A worker that has lost a start is worse for short tasks, and for
long-running ones that have lost a start."""

PENDING_START_PENALTY = 1.0
"""Score penalty of a worker for each start that it has not confirmed, for a service of which a
start was lost: if the next worker loses starts, too, not all tasks of the service wait for it."""

OBJECTIVE_VIOLATION_PENALTY = 5.0
"""Score penalty for violating a service's latency objective for some tenths of a second."""

MIN_MOVE_GAIN = 0.4
"""Minimum increase in speed, as a share of full speed, for which a best-effort run is moved; a
move costs the run a stop and a start."""

TIER_DELAY_MS = 24 * 3600 * 1000
"""By how much later the tasks of a workflow that is late count as due, for each tier: they get only
headroom that workflows which can still be in time leave."""

MAX_ESTIMATE_MS = 31 * 24 * 3600 * 1000
"""Longest run time that is assumed for a task, whatever its caller estimates."""

DEFAULT_ESTIMATE_MS = 2000
"""Run time assumed for a task without an estimate from its caller and without a measurement."""

LATE_FACTOR = 3
"""Multiple of its completion objective after which a workflow has no value to its caller."""

HOPELESS_TIER = 3
"""Tier of workflows that are too late to have any value."""

THROUGHPUT_WEIGHT = 3.0
HEADROOM_WEIGHT = 2.0
INTERFERENCE_WEIGHT = 0.5
OTHER_IMAGE_WEIGHT = 0.5
SAME_IMAGE_WEIGHT = 1.0
PACKING_WEIGHT = 4.0
"""Score weights, relative to 100 free cores: added throughput, share of a service's headroom that
a best-effort run takes up (only with wide steps), reduction of a service's headroom, each other
latency-critical image on the worker, the same image on the worker, and the presence of any service
on the worker."""

SERVICE_PACKING_WEIGHT = 5.0
"""Score weight of `service_packing.placement_cost`. Times the maximum cost it is less than the
penalties of a worker where the task failed, crashed a worker or a start was lost."""

MAX_MOVES = 4
"""Maximum number of runs moved in one round, which limits the cost of a wrong decision."""

MAX_MOVE_CANDIDATES = 12
"""Maximum number of best-effort runs considered for a move in one round; each is compared
against all workers."""

MAX_PENDING_STARTS = 24
"""Maximum number of pending starts per worker. An agent starts about 200 tasks per second."""

MAX_PENDING_STARTS_WITH_SERVICES = 32
"""The same for long-running tasks: a flood of short tasks must not keep them from free capacity."""


MAX_TRIALS_PER_ROUND = 8
"""Maximum number of suspected tasks placed in one round; each is compared against all workers."""


@attrs.frozen
class PlacementDecision:
    """A placement decision: a waiting task and the worker to run it on."""

    task: StepTask
    worker: WorkerCapacity


@attrs.frozen
class Reservations:
    """Workers that are reserved for long-running tasks, by worker id.

    :param without_trials: workers on which no suspected task may start.
    :param service_trials: workers on which no suspected task may start unless it is long-running.
    :param withheld: capacity that no other task may get, on workers where a task fits once some of
        the short runs have ended.
    """

    without_trials: set[str] = attrs.field(factory=set)
    service_trials: set[str] = attrs.field(factory=set)
    withheld: dict[str, Resources] = attrs.field(factory=dict)


@attrs.frozen
class Urgency:
    """Scheduling priority of a workflow; lower values are scheduled first.

    :param tier: 0 for long-running workflows, 1 if the workflow can still meet its deadline (also
        the worst tier of a workflow without best-effort steps), 2 if it is late but its result
        still has some value, 3 if it is too late to have any.
    :param priority: priority of the queue; 0 comes first.
    :param is_unstarted: whether no task of the workflow has been started; False for long-running
        workflows.
    :param due_ms: deadline, in milliseconds since 1970.
    """

    tier: int
    priority: int
    is_unstarted: bool
    due_ms: int

    def key(self) -> tuple[int, int, bool, int]:
        """Return the sort key."""
        return (self.tier, self.priority, self.is_unstarted, self.due_ms)


def estimated_run_time(task: StepTask) -> timedelta:
    """Return the run time that the caller estimated for a task, or the default."""
    return timedelta(
        milliseconds=min(task.spec.estimate_ms or DEFAULT_ESTIMATE_MS, MAX_ESTIMATE_MS)
    )


def tasks_to_try(
    waiting: Iterable[StepTask], crashed: Iterable[StepTask], now_ms: int
) -> list[StepTask]:
    """Return the waiting tasks that must start apart from others, because they may crash workers.

    :param crashed: all tasks under which workers have crashed.
    :param now_ms: current time, in milliseconds since 1970.
    """
    suspects = [task for task in waiting if task.is_suspected]
    if not suspects:
        return []
    repeated = {task.workflow.workflow_id for task in crashed if task.crashes.count > 1}
    return [
        task
        for task in suspects
        if task.workflow.workflow_id in repeated
        or now_ms - task.waiting_since_ms < MAX_TRIAL_WAIT_MS
    ]


def max_trials_of(workflow: Workflow, step: int) -> int:
    """Return on how many workers suspected tasks of a workflow may run to start those of a step.

    The number follows that of the step's tasks that are cleared, so that a workflow whose tasks all
    crash their workers ends few of these, and a harmless one is soon tried on many.
    """
    return MAX_TRIALS_PER_WORKFLOW + sum(map(_is_cleared, workflow.steps[step]))


def _is_cleared(task: StepTask) -> bool:
    """Return whether a task is done or runs without suspicion."""
    return task.phase is Phase.DONE or (task.phase is Phase.HELD and not task.is_suspected)


def _awaits_trials(task: StepTask) -> bool:
    """Return whether all started tasks of a task's step are suspected, so it may be like them."""
    step = task.workflow.steps[task.step]
    return any(other.is_suspected for other in step) and not any(map(_is_cleared, step))


class Dispatcher:
    """Assigns waiting tasks to workers.

    :param run_time: returns the expected run time of a task.
    :param model: model of the interference between images.
    :param packs_services: whether long-running tasks are placed by `service_packing`, which keeps
        more of the fleet harmless to best-effort work. It may change between two rounds.
    :param reserves_for_large_tasks: whether large tasks that have waited for long get capacity
        reserved while the decisions for wide steps apply, see `backfills`.
    """

    def __init__(
        self,
        run_time: Callable[[StepTask], timedelta],
        model: InterferenceModel,
        packs_services: bool = False,
        reserves_for_large_tasks: bool = False,
    ):
        self.reserves_for_large_tasks = reserves_for_large_tasks
        self._run_time = run_time
        self.model = model
        self.is_wide = False
        self.estimates = WorkEstimates()
        self._paths = CriticalPaths(run_time, self.estimates)
        self.packs_services = packs_services
        self.run_times = RunTimes(run_time)
        self.backfills = Backfills(self.run_times)
        self._throughputs: dict[str, float] = {}
        self._marginal_throughputs: dict[str, dict[tuple[str, int], float]] = {}

    @property
    def awaits_large_tasks(self) -> bool:
        """Return whether large tasks get capacity reserved now."""
        return self.is_wide and self.reserves_for_large_tasks

    def set_wide(self, is_wide: bool, now: timedelta) -> None:
        """Switch the decisions for wide best-effort steps on or off, see `WideStepGate`.

        :param now: monotonic time.
        """
        if is_wide != self.is_wide:
            self.is_wide = self.packs_services = is_wide
            self.backfills.clear()
            self.model.use(JointEstimates() if is_wide else IndependentEstimates(), now)

    def observe_progress(
        self, task: StepTask, run: int, percent: int, gauge: int, at: timedelta
    ) -> None:
        """Learn the work of a best-effort task from a listing of its run.

        :param percent: progress of the run.
        :param gauge: processors in use, in thousandths of a core.
        :param at: monotonic time of the listing.
        """
        if self.is_wide and task.spec.fills:
            speed = gauge / max(1, task.spec.cpu_millis)
            self.estimates.observe(task.name, run, percent, speed, self._run_time(task), at)

    def observe_end(self, task: StepTask, run_time: timedelta) -> None:
        """Learn the run time of a task from its run that is done.

        :param run_time: time since the run was assigned to its worker.
        """
        if self.is_wide and not task.spec.lasting and not task.checkpoint:
            self.run_times.observe(task, run_time)

    def reserve_capacity(
        self,
        waiting: Sequence[StepTask],
        workers: Sequence[WorkerCapacity],
        active_runs: ActiveRuns,
        reservations: Reservations,
        now_ms: int,
    ) -> list[Change]:
        """Reserve capacity for large tasks that have waited for long, in a pool with wide steps.

        :param waiting: tasks that are ready to start, without long-running and suspected ones.
        :param workers: candidate workers; updated with what they leave to other tasks.
        :param active_runs: returns the active runs of a worker.
        :param reservations: workers that are reserved for long-running tasks; these precede.
        :param now_ms: current time, in milliseconds since 1970.
        """
        if not self.is_wide:
            return []
        taken = (
            reservations.without_trials | reservations.service_trials | reservations.withheld.keys()
        )
        return self.backfills.update(waiting, workers, active_runs, taken, now_ms)

    def retain(self, workflow_ids: Container[str]) -> None:
        """Discard what was learned of all workflows but the given ones."""
        self._paths.retain(workflow_ids)

    def schedule(
        self,
        waiting: Iterable[StepTask],
        workers: Sequence[WorkerCapacity],
        now_ms: int,
        passed_over: MutableMapping[str, Preference] | None = None,
        held_millis: Mapping[str, int] | None = None,
    ) -> list[PlacementDecision]:
        """Return the runs to start now.

        With C processors in all, of which U are reserved and L by long-running tasks, and
        S = `SHORT_TASK_RESERVE`, a long-running task of d processors that has waited for t starts

        - at its turn if `U + d <= (1 - S) * C`;
        - at its turn if `t >= LAST_RESORT_WAIT_MS` and `L + d <= (1 - S) * C`;
        - after all other tasks of the round if only `t >= LAST_RESORT_WAIT_MS` holds.

        So services take no part of the reserve that a short task could start in now, short tasks do
        not take more than the reserve from services that have waited, and after
        `LAST_RESORT_WAIT_MS` the reserve keeps no service waiting beside room for it.

        VMs where a worker has crashed under a task come after others that are well.

        :param waiting: tasks that are ready to start.
        :param workers: candidate workers; updated with the chosen runs.
        :param now_ms: current time, in milliseconds since 1970.
        :param passed_over: updated with the tasks that a limit keeps from workers with room, with
            the limit.
        :param held_millis: see `order`.
        """
        passed_over = {} if passed_over is None else passed_over
        self._clear_caches()
        decisions: list[PlacementDecision] = []
        capacity_millis = sum(worker.capacity.cpu_millis for worker in workers)
        max_long_running_millis = (1 - SHORT_TASK_RESERVE) * capacity_millis
        used_millis = capacity_millis - sum(max(0, worker.free.cpu_millis) for worker in workers)
        long_running_millis = sum(worker.long_running_millis for worker in workers)
        ranking: _Ranking | None = None
        ordered = self.order(waiting, now_ms, held_millis)
        deferred: list[StepTask] = []
        for position, task in enumerate(itertools.chain(ordered, deferred)):
            spec = task.spec
            wait_ms = now_ms - task.waiting_since_ms
            # The tasks of a step have the same requirements, so they share one ranking.
            key = (
                task.workflow.workflow_id,
                task.step,
                task.failed_on,
                task.has_lost_start,
                task.is_suspected,
                _is_long_wait(wait_ms),
                _needs_last_resort(task, wait_ms),
            )
            if spec.lasting:
                is_last_resort = _needs_last_resort(task, wait_ms)
                taken_millis = long_running_millis if is_last_resort else used_millis
                if taken_millis + spec.cpu_millis > max_long_running_millis:
                    if not is_last_resort:
                        passed_over[task.name] = Preference.SHORT_TASKS
                        continue
                    if position < len(ordered):
                        deferred.append(task)  # Waiting short tasks use the reserve first.
                        continue
            held_id = self.backfills.worker_of(task.name)
            held = next((w for w in workers if w.worker_id == held_id), None) if held_id else None
            if held is not None and self._score(task, held, wait_ms=wait_ms) is not None:
                self._reserve(task, held)
                used_millis += spec.demand.cpu_millis
                decisions.append(PlacementDecision(task, held))
                ranking = None  # The worker's score for the other tasks of the step has changed.
                continue
            if ranking is None or ranking.key != key:
                score = functools.partial(self._score, task, wait_ms=wait_ms)
                ranking = _Ranking(key, score, workers)
            worker = ranking.best(task)
            if worker is None:
                continue
            self._reserve(task, worker)
            used_millis += spec.demand.cpu_millis
            if spec.lasting:
                long_running_millis += spec.demand.cpu_millis
            ranking.update_best()
            decisions.append(PlacementDecision(task, worker))
        return decisions

    def schedule_overdue(
        self,
        services: Iterable[StepTask],
        workers: Sequence[WorkerCapacity],
        on_trial: Sequence[WorkerCapacity],
        now_ms: int,
        passed_over: MutableMapping[str, Preference] | None = None,
        last_resort: Collection[str] = (),
    ) -> list[PlacementDecision]:
        """Return the runs of long-running tasks to start now, wherever there is room.

        A `Preference` only decides between workers. A start beside a trial proves nothing, neither
        against the task nor against the one on trial, see `Pool`.

        :param services: tasks that have waited for `START_DEADLINE_MS`.
        :param workers: candidate workers; updated with the chosen runs.
        :param on_trial: workers that run suspected tasks; updated as well.
        :param now_ms: current time, in milliseconds since 1970.
        :param passed_over: updated with the tasks that would start in the reserve for short tasks,
            for which these have to be asked first. If it is None, they start.
        :param last_resort: ids of workers on trial where one more crash may give a task up.
        """
        self._clear_caches()
        decisions: list[PlacementDecision] = []
        usable = [*workers, *on_trial]
        trial_ids = {worker.worker_id for worker in on_trial}
        long_running_millis = sum(worker.long_running_millis for worker in usable)
        capacity_millis = sum(worker.capacity.cpu_millis for worker in usable)
        max_long_running_millis = (1 - SHORT_TASK_RESERVE) * capacity_millis
        # The tasks of a step have the same requirements.
        unplaceable: set[tuple[str, int]] = set()
        for task in sorted(services, key=lambda task: (task.waiting_since_ms, task.name)):
            step = (task.workflow.workflow_id, task.step)
            if step in unplaceable:
                continue
            wait_ms = now_ms - task.waiting_since_ms
            fitting = [worker for worker in usable if worker.admits(task)]
            worker = min(
                fitting,
                key=lambda worker: (
                    worker.worker_id in last_resort,
                    worker.worker_id in trial_ids,
                    _refusal(task, worker, wait_ms) is not None,
                    worker.worker_id in task.failed_on,
                    task.has_lost_start and worker.has_lost_starts,
                    worker.penalty,
                    worker.machine in _crashed_vms(task),
                    worker.pending_starts if task.has_lost_start else 0,
                    worker.runs if task.is_suspected else 0,
                    -worker.free.cpu_millis,
                ),
                default=None,
            )
            if worker is None:
                unplaceable.add(step)
                continue
            millis = task.spec.demand.cpu_millis
            if passed_over is not None and long_running_millis + millis > max_long_running_millis:
                passed_over[task.name] = Preference.SHORT_TASKS
                continue
            self._reserve(task, worker)
            long_running_millis += millis
            decisions.append(PlacementDecision(task, worker))
        return decisions

    def ends_soon(self, task: StepTask, age: timedelta) -> bool:
        """Return whether a run is expected to end so soon that a service may wait for its room.

        :param age: time since the run was assigned to its worker.
        """
        expected = self._run_time(task)
        is_short = not task.spec.lasting and expected <= MAX_SHORT_RUN
        return is_short and age <= MAX_OVERRUN_FACTOR * expected

    def reserve_workers(
        self,
        services: Iterable[StepTask],
        suspects: Collection[str],
        workers: Sequence[WorkerCapacity],
        on_trial: Iterable[WorkerCapacity],
        now_ms: int,
    ) -> Reservations:
        """Reserve workers for the long-running tasks that have waited longest.

        A task gets the worker where it is expected to fit soonest: one with room; one that has room
        and runs a trial, which is short while services wait; one where short runs take up the room.
        Room of the latter is withheld only from what long-running tasks may reserve, or short tasks
        would get none on a fleet that is full of services. A task that is not suspected itself, but
        whose step has only suspected ones, awaits their trials.

        :param services: long-running tasks that are ready to start.
        :param suspects: names of those that start apart from others.
        :param workers: candidate workers, with what is expected to end soon.
        :param on_trial: workers that only await the end of a trial to be candidates.
        :param now_ms: current time, in milliseconds since 1970.
        """
        reservations = Reservations()
        overdue = [
            task
            for task in services
            if now_ms - task.waiting_since_ms >= RESERVATION_WAIT_MS
            and (task.name in suspects or not _awaits_trials(task))
        ]
        if not overdue:
            return reservations
        self._clear_caches()
        overdue.sort(key=lambda task: (task.waiting_since_ms, task.name))
        free = [worker.copy() for worker in workers]
        for copy, worker in zip(free, workers, strict=True):
            copy.penalty = worker.penalty
            copy.has_lost_starts = worker.has_lost_starts
        busy = [worker.copy() for worker in on_trial]
        everything = free + busy
        long_running_millis = sum(worker.long_running_millis for worker in everything)
        max_long_running_millis = (1 - SHORT_TASK_RESERVE) * sum(
            worker.capacity.cpu_millis for worker in everything
        )
        trial_steps: dict[str, tuple[str, int]] = {}
        # The tasks of a step have the same requirements.
        unplaceable: set[tuple[str, int]] = set()
        reserved = compared = 0
        for task in overdue:
            step = (task.workflow.workflow_id, task.step)
            if step in unplaceable:
                continue
            if reserved == MAX_RESERVATIONS or compared == MAX_COMPARED_SERVICES:
                break
            compared += 1
            demand = task.spec.demand
            wait_ms = now_ms - task.waiting_since_ms
            usable = [w for w in free if w.worker_id not in reservations.service_trials]
            if task.name in suspects:
                worker = self._trial_worker(task, free, trial_steps, reservations, wait_ms)
            else:
                worker = self._best_worker(task, usable, wait_ms)
                if worker is not None:
                    reservations.without_trials.add(worker.worker_id)
            if worker is None:
                worker = next((worker for worker in busy if worker.admits(task)), None)
            if worker is not None:
                reserved += 1
                self._reserve(task, worker)
                long_running_millis += demand.cpu_millis
                continue
            if long_running_millis + demand.cpu_millis <= max_long_running_millis:
                # What one service awaits must not be room that another one has, or awaits, too.
                unreserved = [w for w in usable if w.worker_id not in reservations.without_trials]
                worker = self._soonest_worker(task, unreserved)
            if worker is None:
                unplaceable.add(step)
                continue
            reserved += 1
            worker.withhold(demand)
            reservations.without_trials.add(worker.worker_id)
            reservations.withheld[worker.worker_id] = demand
            long_running_millis += demand.cpu_millis
        return reservations

    def _trial_worker(
        self,
        task: StepTask,
        workers: Iterable[WorkerCapacity],
        steps: MutableMapping[str, tuple[str, int]],
        reservations: Reservations,
        wait_ms: int,
    ) -> WorkerCapacity | None:
        """Return a worker with room for the trial of a long-running task, and reserve it.

        :param steps: step whose tasks are tried on a worker, by worker id; updated.
        """
        step = (task.workflow.workflow_id, task.step)
        usable = [
            worker
            for worker in workers
            if worker.worker_id not in reservations.without_trials
            and steps.get(worker.worker_id, step) == step
            and not _refusal(task, worker, wait_ms)
        ]
        worker = min(usable, key=lambda w: (w.worker_id not in steps, w.runs), default=None)
        if worker is not None:
            steps[worker.worker_id] = step
            reservations.service_trials.add(worker.worker_id)
        return worker

    def _soonest_worker(
        self, task: StepTask, workers: Iterable[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Return the worker where the smallest part of the short runs has to end for a task."""
        shares = (
            (worker.share_to_end(task.spec.demand), worker.worker_id, worker)
            for worker in workers
            if worker.may_run(task)
        )
        share, _, worker = min(shares, default=(math.inf, "", None))
        return None if math.isinf(share) else worker

    def schedule_trials(
        self,
        suspects: Collection[StepTask],
        workers: Iterable[WorkerCapacity],
        last_starts: Mapping[str, int],
        running: Collection[StepTask],
        limit: int,
        now_ms: int,
        passed_over: MutableMapping[str, Preference] | None = None,
        overdue_limit: int | None = None,
        reservations: Reservations | None = None,
    ) -> tuple[list[PlacementDecision], set[str]]:
        """Return the runs of suspected tasks to start now, apart from other tasks.

        Long-running tasks of one step start together on as few workers as have room for them: they
        do similar work, and end together once one of them is given up. Others do so while too many
        wait to be tried one by one. Long-running tasks of several steps share a worker if no other
        one is left for them after `MAX_TRIAL_WAIT_MS`; a task of which one more crash can be the
        last does not, as a crash beside others is no proof.

        Workers with few runs go first, since a crash would end these, but those that do not carry
        out their starts after the others, and VMs where the task has crashed a worker last.
        A task with one crash less than a verdict needs waits for another VM, for
        `MAX_TRIAL_WAIT_MS` at most. Without a worker where nothing has started lately, one is kept
        free of other starts until that is so.

        :param suspects: suspected tasks that are ready to start.
        :param workers: candidate workers, none of which runs a suspected task.
        :param last_starts: how long ago the last of a worker's runs started, in milliseconds;
            without an entry, it runs nothing.
        :param running: suspected tasks that are running.
        :param limit: maximum number of workers that may run suspected tasks at the same time.
            Long-running tasks may use `SERVICE_TRIALS_FACTOR` times as many, and any number once
            they have waited for `MAX_TRIAL_WAIT_MS`.
        :param now_ms: current time, in milliseconds since 1970.
        :param passed_over: updated with the tasks that a limit keeps from workers with room, with
            the limit.
        :param overdue_limit: the limit for other tasks that have waited for `MAX_TRIAL_WAIT_MS`;
            `limit` if None.
        :param reservations: workers that are reserved for long-running tasks; none if None.
        :returns: the decisions, and the ids of the workers that must not get other runs.
        """
        passed_over = {} if passed_over is None else passed_over
        overdue_limit = limit if overdue_limit is None else overdue_limit
        reservations = Reservations() if reservations is None else reservations
        self._clear_caches()
        decisions: list[PlacementDecision] = []
        kept: set[str] = set()
        pending: set[tuple[str, int]] = set()
        unplaceable: set[tuple[str, int, tuple[str, ...]]] = set()
        running_on = {(task.workflow.workflow_id, task.worker_id) for task in running}
        trials = Counter(workflow_id for workflow_id, _ in running_on)
        taken = len({worker_id for _, worker_id in running_on})
        max_by_step: dict[tuple[str, int], int] = {}
        short = [task for task in suspects if not task.spec.lasting]
        tries_steps = len(short) > MAX_TRIALS_IN_SERIES * limit
        hosts: dict[tuple[str, int], WorkerCapacity] = {}

        def preference(worker: WorkerCapacity) -> tuple:
            idle_ms = last_starts.get(worker.worker_id)
            if idle_ms is None or idle_ms > SUSPICION_WINDOW_MS:
                return (False, worker.runs, worker.worker_id)
            return (True, -idle_ms, worker.worker_id)

        def wait_rank(task: StepTask) -> tuple[bool, int]:
            # Services that have waited longest go first, or the same ones would wait after each
            # crash of a series.
            is_service = task.spec.lasting
            return (not is_service, task.waiting_since_ms if is_service else 0)

        shared: dict[str, WorkerCapacity] = {}
        joined: set[str] = set()

        def join(task: StepTask, wait_ms: int) -> bool:
            """Start a task on a worker that it shares with tasks of other steps."""
            worker = next(
                (w for w in shared.values() if self._score(task, w, wait_ms=wait_ms) is not None),
                None,
            )
            if worker is None:
                return False
            self._reserve(task, worker)
            decisions.append(PlacementDecision(task, worker))
            hosts[task.workflow.workflow_id, task.step] = worker
            joined.add(worker.worker_id)
            return True

        ranked = sorted(
            (w for w in workers if w.worker_id not in reservations.without_trials), key=preference
        )
        for task in sorted(self.order(suspects, now_ms), key=wait_rank):
            workflow_id = task.workflow.workflow_id
            step = (workflow_id, task.step)
            wait_ms = now_ms - task.waiting_since_ms
            is_overdue = wait_ms >= MAX_TRIAL_WAIT_MS
            is_overdue_service = task.spec.lasting and is_overdue
            may_join = is_overdue_service and task.crashes.survives_unproved_crash
            host = hosts.get(step)
            if (
                host is not None
                and (may_join or host.worker_id not in joined)
                and self._score(task, host, wait_ms=wait_ms) is not None
            ):
                self._reserve(task, host)
                decisions.append(PlacementDecision(task, host))
                if not may_join:
                    shared.pop(host.worker_id, None)
                continue
            if task.spec.lasting:
                max_workers = limit * SERVICE_TRIALS_FACTOR
            else:
                max_workers = overdue_limit if is_overdue else limit
            if step not in max_by_step:
                max_by_step[step] = max_trials_of(task.workflow, task.step)
            if step in pending:
                passed_over[task.name] = Preference.KEEPS_WORKER
                continue
            if len(kept) >= MAX_TRIALS_PER_ROUND:
                passed_over[task.name] = Preference.TRIALS_OF_ROUND
                continue
            if taken + len(kept) >= max_workers and not is_overdue_service:
                passed_over[task.name] = Preference.TRIALS_OF_FLEET
                continue
            if trials[workflow_id] >= max_by_step[step]:
                passed_over[task.name] = Preference.TRIALS_OF_WORKFLOW
                continue
            crashed = task.crashes.machines
            # A verdict needs crashes on different VMs.
            needs_other_vm = (
                task.crashes.count >= CRASHES_BEFORE_GUILT - 1 and wait_ms < MAX_TRIAL_WAIT_MS
            )
            unsuitable = (*step, crashed if needs_other_vm else ())
            if unsuitable in unplaceable:
                if may_join and join(task, wait_ms):
                    trials[workflow_id] += 1
                elif needs_other_vm:
                    passed_over[task.name] = Preference.OTHER_VM
                continue
            suitable = sorted(
                ranked,
                key=lambda worker: (
                    worker.machine in crashed,
                    worker.penalty >= UNSTARTED_PENALTY,
                ),
            )
            worker = next(
                (
                    worker
                    for worker in suitable
                    if (task.spec.lasting or worker.worker_id not in reservations.service_trials)
                    and not (needs_other_vm and worker.machine in crashed)
                    and self._score(task, worker, wait_ms=wait_ms) is not None
                ),
                None,
            )
            if worker is None:
                # The tasks of a step have the same requirements.
                unplaceable.add(unsuitable)
                if may_join and join(task, wait_ms):
                    trials[workflow_id] += 1
                elif needs_other_vm:
                    passed_over[task.name] = Preference.OTHER_VM
                continue
            ranked.remove(worker)
            kept.add(worker.worker_id)
            trials[workflow_id] += 1
            starts_together = task.spec.lasting or tries_steps
            must_wait, *_ = preference(worker)
            if must_wait:
                passed_over[task.name] = Preference.KEEPS_WORKER
                if starts_together:
                    # The others need no worker of their own.
                    pending.add(step)
                continue
            self._reserve(task, worker)
            decisions.append(PlacementDecision(task, worker))
            if starts_together:
                hosts[step] = worker
            if may_join:
                shared[worker.worker_id] = worker
        return decisions, kept

    def select_moves(
        self, runs: Iterable[tuple[StepTask, float]], workers: Sequence[WorkerCapacity]
    ) -> list[StepTask]:
        """Return best-effort runs to move because they would run faster on another worker.

        :param runs: runs that lose little progress when stopped, each with its current speed
            as a share of full speed.
        :param workers: candidate workers; updated with the chosen runs.
        """
        self._clear_caches()
        moved = []
        slow = [(task, speed) for task, speed in runs if speed + MIN_MOVE_GAIN <= 1]
        slow.sort(key=lambda item: (self.due_ms(item[0].workflow), item[0].name))
        for task, speed in slow[:MAX_MOVE_CANDIDATES]:
            if len(moved) >= MAX_MOVES:
                break
            worker = self._best_other_worker(task, workers)
            if (
                worker is not None
                and self.marginal_throughput(task, worker) >= speed + MIN_MOVE_GAIN
            ):
                self._reserve(task, worker)
                moved.append(task)
        return moved

    def select_stalled_moves(
        self, runs: Iterable[StepTask], workers: Sequence[WorkerCapacity]
    ) -> list[StepTask]:
        """Return stalled runs to move to another worker.

        :param runs: stalled runs; they may lose their progress.
        :param workers: candidate workers; updated with the chosen runs.
        """
        self._clear_caches()
        moved = []
        for task in runs:
            if len(moved) >= MAX_MOVES:
                break
            worker = self._best_other_worker(task, workers)
            if worker is not None:
                self._reserve(task, worker)
                moved.append(task)
        return moved

    def wait_reasons(
        self,
        task: StepTask,
        workers: Iterable[WorkerCapacity],
        wait_ms: int,
        limit: str = Preference.NOT_CHOSEN,
    ) -> Counter[str]:
        """Return why workers do not get a waiting task, with the number of workers.

        :param wait_ms: how long the task has been waiting, in milliseconds.
        :param limit: why the task was passed over for workers with room.
        """
        return Counter(_refusal(task, worker, wait_ms) or limit for worker in workers)

    def order(
        self,
        waiting: Iterable[StepTask],
        now_ms: int,
        held_millis: Mapping[str, int] | None = None,
    ) -> list[StepTask]:
        """Return waiting tasks in scheduling order.

        Workflows go by `urgency`, but long-running ones of equal priority by the longest wait of
        their tasks. The steps of a workflow go by their number, and the tasks of a step by their
        wait; of those that began to wait together the one with fewest runs goes first. A wait
        begins when the step is ready or the last run of the task has ended, so a service that got
        no worker before an outage precedes those that lost theirs. With `packs_services`, a
        difference within `SPREAD_FIRST_MS` does not count, and spread limits decide.

        Suspected short tasks of a step go last and by their index: trials in turn would crash more
        workers before one of the tasks is found guilty. Suspected services start together.

        :param held_millis: thousandths of a core that the running best-effort tasks of each queue
            hold. If given, queues of one tier and priority get fair shares, see `fair_shares`.
        """
        first_waits: dict[str, int] = {}
        for task in (waiting := list(waiting)):
            workflow_id = task.workflow.workflow_id
            first_ms = first_waits.get(workflow_id, task.waiting_since_ms)
            first_waits[workflow_id] = min(first_ms, task.waiting_since_ms)
        urgencies: dict[str, tuple] = {}
        for task in waiting:
            workflow_id = task.workflow.workflow_id
            if workflow_id not in urgencies:
                *key, due_ms = self.urgency(task.workflow, now_ms).key()
                is_long_running = any(step.lasting for step in task.workflow.spec.steps)
                first_ms = first_waits[workflow_id] if is_long_running else 0
                if self.packs_services and is_long_running:
                    steps = task.workflow.spec.steps
                    is_unlimited = not any(step.max_per_worker for step in steps)
                    # With the id, the tasks of a step follow each other and share a ranking.
                    rest = (first_ms // SPREAD_FIRST_MS, is_unlimited, due_ms, workflow_id)
                else:
                    rest = (first_ms, due_ms)
                urgencies[workflow_id] = (*key, *rest)

        def rank(task: StepTask) -> tuple:
            is_short_suspect = task.is_suspected and not task.spec.lasting
            wait = (0, 0) if is_short_suspect else (task.waiting_since_ms, task.run)
            urgency = urgencies[task.workflow.workflow_id]
            return (urgency, task.step, is_short_suspect, wait, task.index)

        ordered = sorted(waiting, key=rank)
        if held_millis is None:
            return ordered
        classes = {workflow_id: key[:2] for workflow_id, key in urgencies.items()}
        return order_by_share(ordered, classes, held_millis)

    def urgency(self, workflow: Workflow, now_ms: int) -> Urgency:
        """Return the scheduling priority of a workflow."""
        if self._has_learned_path(workflow):
            self._paths.refresh(workflow, now_ms)
        due_ms = self.due_ms(workflow)
        if any(step.lasting for step in workflow.spec.steps):
            return Urgency(0, workflow.queue.priority, False, due_ms)
        ready_ms = now_ms + _ms(self.critical_path(workflow, include_done=False))
        last_ms = workflow.accepted_ms + LATE_FACTOR * (due_ms - workflow.accepted_ms)
        is_unstarted = not any(task.run for task in workflow.tasks())
        tier = 1 if ready_ms <= due_ms else 2 if ready_ms <= last_ms else HOPELESS_TIER
        if not any(step.fills for step in workflow.spec.steps):
            tier = min(tier, 1)
        return Urgency(tier, workflow.queue.priority, is_unstarted, due_ms)

    def objective(self, workflow: Workflow) -> timedelta:
        """Return the time within which a workflow should complete after it was accepted."""
        critical_path = self.critical_path(workflow, include_done=True)
        return workflow.queue.stretched(critical_path) + workflow.queue.slack

    def due_ms(self, workflow: Workflow) -> int:
        """Return the deadline of a workflow, in milliseconds since 1970."""
        return workflow.accepted_ms + _ms(self.objective(workflow))

    def latest_start_ms(self, task: StepTask, now_ms: int) -> int:
        """Return when a task has to begin at full speed so that its workflow is in time.

        Agents allocate headroom in this order, so the tasks that others wait for come first.

        :param now_ms: current time, in milliseconds since 1970.
        :returns: milliseconds since 1970; the deadline of the workflow if its path is not learned.
        """
        workflow = task.workflow
        if not self._has_learned_path(workflow):
            return self.due_ms(workflow)
        urgency = self.urgency(workflow, now_ms)
        path = self._paths.refresh(workflow, now_ms)
        late_ms = max(0, urgency.tier - 1) * TIER_DELAY_MS
        return urgency.due_ms + late_ms - _ms(path.after[task.step]) - _ms(self._paths.work(task))

    def _has_learned_path(self, workflow: Workflow) -> bool:
        """Return whether the critical path follows from the progress of the workflow's runs."""
        return (
            self.is_wide
            and bool(workflow.steps)
            and any(step.fills for step in workflow.spec.steps)
        )

    def critical_path(self, workflow: Workflow, include_done: bool) -> timedelta:
        """Return the expected run time of the critical path of a workflow.

        :param include_done: whether to count steps that are already done.
        """
        path = self._paths.path(workflow) if self._has_learned_path(workflow) else None
        if path is not None:
            return path.total if include_done else path.remaining
        ends: list[timedelta] = []
        for number, step in enumerate(workflow.spec.steps):
            before = max((ends[earlier] for earlier in step.after), default=timedelta())
            own = timedelta()
            if workflow.steps and (include_done or workflow.unfinished_counts[number]):
                own = self._run_time(workflow.steps[number][0])
            ends.append(before + own)
        return max(ends, default=timedelta())

    def marginal_throughput(self, task: StepTask, worker: WorkerCapacity) -> float:
        """Return the throughput that a best-effort task adds, as a share of its full speed."""
        # Cached by image and size until the worker gets another run: the result depends only on
        # these and on the worker.
        cached = self._marginal_throughputs.setdefault(worker.worker_id, {})
        image_and_size = (task.spec.image, task.spec.cpu_millis)
        if image_and_size not in cached:
            cached[image_and_size] = self._compute_marginal_throughput(task, worker)
        return cached[image_and_size]

    def _compute_marginal_throughput(self, task: StepTask, worker: WorkerCapacity) -> float:
        share = worker.cpu_share(task.spec.cpu_millis)
        if not share:
            return 1.0
        wanted = worker.best_effort_shares()
        before = self._throughputs.get(worker.worker_id)
        if before is None:
            before = self._throughputs[worker.worker_id] = self._throughput(worker, wanted)
        upper_bound = (worker.best_effort_available_share - before) / share
        if upper_bound < MIN_MARGINAL_THROUGHPUT:
            # On a full fleet this holds for most workers and spares the division of headroom.
            return max(0.0, upper_bound)
        wanted[task.spec.image] = wanted.get(task.spec.image, 0.0) + share
        return (self._throughput(worker, wanted) - before) / share

    def _reserve(self, task: StepTask, worker: WorkerCapacity) -> None:
        """Reserve capacity on a worker for a run that is to start there."""
        worker.reserve(task)
        self._deduct_interference(task, worker)
        self._throughputs.pop(worker.worker_id, None)
        self._marginal_throughputs.pop(worker.worker_id, None)

    def _clear_caches(self) -> None:
        self._throughputs.clear()
        self._marginal_throughputs.clear()

    def _throughput(self, worker: WorkerCapacity, wanted: Mapping[str, float]) -> float:
        """Return the share of a worker's processors that its best-effort runs can usually use.

        :param wanted: share of the processors that the runs of each image could use.
        """
        budgets = [
            (image, worker.baseline_headrooms.get(image, DEFAULT_HEADROOM) - RESERVED_HEADROOM)
            for image in worker.latency_critical_runs
        ]
        if not budgets:
            return min(worker.best_effort_available_share, sum(wanted.values()))
        images = sorted(wanted, key=lambda image: max_budget_fraction(image, budgets, self.model))
        demands = [Demand(image, wanted[image]) for image in images]
        shares, _ = allocate_headroom(demands, budgets, self.model)
        return min(worker.best_effort_available_share, sum(shares))

    def _deduct_interference(self, task: StepTask, worker: WorkerCapacity) -> None:
        """Deduct the interference of a run that starts now, until its duty cycle is adjusted."""
        if task.spec.fills:
            share = worker.cpu_share(task.spec.cpu_millis)
            for image in worker.lowest_headrooms:
                worker.lowest_headrooms[image] -= (
                    self.model.interference(task.spec.image, image) * share
                )

    def _headroom_share(self, task: StepTask, worker: WorkerCapacity) -> float:
        """Return which part of a service's headroom a best-effort run takes up, at most 1.

        The lower of the usual and the current headroom counts. Tasks last for a few seconds, a
        quarter of a cycle of the services' load.
        """
        share = worker.cpu_share(task.spec.cpu_millis)
        taken = 0.0
        for image in worker.latency_critical_runs:
            interference = self.model.interference(task.spec.image, image)
            if interference > NEGLIGIBLE_INTERFERENCE:
                headroom = min(
                    worker.baseline_headrooms.get(image, DEFAULT_HEADROOM),
                    worker.lowest_headrooms.get(image, DEFAULT_HEADROOM),
                )
                taken = max(taken, interference * share / max(0.01, headroom - RESERVED_HEADROOM))
        return min(1.0, taken)

    def _would_violate_objective(self, task: StepTask, worker: WorkerCapacity) -> bool:
        """Return whether a run violates a latency objective before its duty cycle can be set."""
        share = worker.cpu_share(task.spec.cpu_millis)
        return any(
            (interference := self.model.interference(task.spec.image, image))
            > NEGLIGIBLE_INTERFERENCE
            and headroom - interference * share < 1
            for image, headroom in worker.lowest_headrooms.items()
        )

    def _best_other_worker(
        self, task: StepTask, workers: Sequence[WorkerCapacity]
    ) -> WorkerCapacity | None:
        return self._best_worker(
            task, [worker for worker in workers if worker.worker_id != task.worker_id], 0
        )

    def _best_worker(
        self, task: StepTask, workers: Sequence[WorkerCapacity], wait_ms: int
    ) -> WorkerCapacity | None:
        ranking = _Ranking((), functools.partial(self._score, task, wait_ms=wait_ms), workers)
        return ranking.best(task)

    def _score(self, task: StepTask, worker: WorkerCapacity, wait_ms: int) -> float | None:
        """Return the score of a worker for a task, or None if the task may not start there.

        The crashes under the task do not count; see `_Ranking.best`.
        """
        if _refusal(task, worker, wait_ms):
            return None
        spec = task.spec
        score = -10.0 * worker.penalty
        if worker.worker_id in task.failed_on and not _needs_last_resort(task, wait_ms):
            score -= FAILED_HERE_PENALTY
        if spec.rack and spec.rack not in worker.labels:
            score -= 2.0
        if spec.fills:
            needs_good_worker = not (_is_long_wait(wait_ms) or _needs_last_resort(task, wait_ms))
            violates_objective = self._would_violate_objective(task, worker)
            if violates_objective and needs_good_worker:
                return None
            throughput_gain = self.marginal_throughput(task, worker)
            if throughput_gain < MIN_MARGINAL_THROUGHPUT and needs_good_worker:
                return None
            score -= OBJECTIVE_VIOLATION_PENALTY * violates_objective
            if self.is_wide:
                score -= HEADROOM_WEIGHT * self._headroom_share(task, worker)
            return score + worker.unused_millis / 100_000 + THROUGHPUT_WEIGHT * throughput_gain
        if spec.lasting:
            if task.has_lost_start:
                # One worker after the other may lose the start, for longer than each is avoided.
                score -= 10.0 * UNSTARTED_PENALTY * worker.has_lost_starts
                if not task.is_suspected:
                    score -= PENDING_START_PENALTY * worker.pending_starts
            if self.packs_services:
                score -= SERVICE_PACKING_WEIGHT * placement_cost(task, worker)
                if worker.best_effort_millis:
                    score -= INTERFERENCE_WEIGHT * self.model.total_interference(
                        worker.best_effort_shares(), spec.image
                    )
                return score
            # Pack services onto few workers, grouped by image. This leaves the other workers to
            # best-effort tasks, which interfere with most services.
            others = len(worker.latency_critical_runs) - (
                spec.image in worker.latency_critical_runs
            )
            score += (
                PACKING_WEIGHT * bool(worker.latency_critical_runs) - OTHER_IMAGE_WEIGHT * others
            )
            score -= INTERFERENCE_WEIGHT * self.model.total_interference(
                worker.best_effort_shares(), spec.image
            )
            return (
                score
                + SAME_IMAGE_WEIGHT * (spec.image in worker.latency_critical_runs)
                - worker.free.cpu_millis / 1e5
            )
        return score + worker.unused_millis / 100_000


class _Ranking:
    """Workers by their score for tasks that are alike.

    All workers are scored once. Afterwards, only the score of a worker that gets a run changes.

    :param key: identifies the tasks that are alike.
    :param score: returns the score of a worker, or None if the tasks may not start there.
    """

    def __init__(
        self,
        key: tuple,
        score: Callable[[WorkerCapacity], float | None],
        workers: Sequence[WorkerCapacity],
    ):
        self.key = key
        self._score = score
        self._workers = workers
        scored = ((score(worker), position) for position, worker in enumerate(workers))
        self._heap = [(-value, position) for value, position in scored if value is not None]
        heapq.heapify(self._heap)
        self._best: tuple[float, int] | None = None

    def best(self, task: StepTask) -> WorkerCapacity | None:
        """Return the first worker with the highest score, or None if no worker is suitable.

        :param task: one of the tasks that are alike. The VMs where workers have crashed under it
            are its own, and scoring all workers again for each task would take long after an
            outage.
        """
        crashed_vms = _crashed_vms(task)
        penalty = CRASHED_HERE_PENALTY + PACKING_WEIGHT * task.spec.lasting
        if not self._heap:
            return None
        if not crashed_vms:
            self._best = self._heap[0]
            return self._workers[self._best[1]]
        best: tuple[float, int] | None = None
        passed: list[tuple[float, int]] = []
        while self._heap and (best is None or self._heap[0] < best):
            value, position = entry = heapq.heappop(self._heap)
            passed.append(entry)
            if self._workers[position].machine in crashed_vms:
                value += penalty
            if best is None or (value, position) < best:
                best, self._best = (value, position), entry
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return self._workers[self._best[1]]

    def update_best(self) -> None:
        """Score the best worker again, because it got a run."""
        _, position = self._best
        value = self._score(self._workers[position])
        if self._heap[0] != self._best:
            self._heap.remove(self._best)
            if value is not None:
                self._heap.append((-value, position))
            heapq.heapify(self._heap)
        elif value is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (-value, position))


def _crashed_vms(task: StepTask) -> tuple[str, ...]:
    """Return the VMs of workers that have crashed under a task."""
    return task.crashes.machines if task.crashes else ()


def _refusal(
    task: StepTask, worker: WorkerCapacity, wait_ms: int
) -> Requirement | Preference | None:
    """Return why a task does not start on a worker; None if it may."""
    is_probe = worker.is_probed and not task.spec.lasting
    max_pending = MAX_PENDING_STARTS_WITH_SERVICES if task.spec.lasting else MAX_PENDING_STARTS
    if worker.pending_starts >= (1 if is_probe else max_pending):
        return Preference.PENDING_STARTS
    if worker.penalty >= EXCLUSION_PENALTY and not _needs_last_resort(task, wait_ms):
        return Preference.EXCLUDED
    refusal = worker.refusal(task)
    if refusal is None and worker.hold is not None and not worker.hold.admits(task):
        return Preference.LARGE_TASK
    return refusal


def _needs_last_resort(task: StepTask, wait_ms: int) -> bool:
    """Return whether a task has waited so long for its users that any room will do."""
    return task.spec.lasting and wait_ms >= LAST_RESORT_WAIT_MS


def _is_long_wait(wait_ms: int) -> bool:
    """Return whether a best-effort task has waited so long that any worker will do."""
    return wait_ms >= ANY_WORKER_WAIT_MS


def _ms(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)

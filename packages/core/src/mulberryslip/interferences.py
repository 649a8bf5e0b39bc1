"""Interference of batch tasks with services: cost for placement, response on workers."""

import enum
import random
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from functools import singledispatch

import attrs

from .actions import Action, ActionKind, RunningTask
from .evictions import EvictionLimit
from .models import WorkerView
from .profiles import BatchProfile, WatchProfile, profile_of
from .slowdowns import Observation, SlowdownModel

__all__ = ["Action", "ActionKind", "Interferences", "RunningTask"]

SMOOTHING = 0.35
"""Weight of the newest pressure; a time constant of about 3 s at one round per second."""

HIGH_TIME = timedelta(seconds=3)
"""Time above the high threshold before the response escalates; shorter bursts are noise."""

LOW_TIME = timedelta(seconds=10)
"""Time below the low threshold before a throttle is relaxed."""

COOLDOWN = timedelta(seconds=8)
"""Cooldown between two responses on a worker: lag of the measurement plus smoothing."""

THROTTLE_STEPS = (500, 250)
"""Duty cycles in permille to which a task is throttled, in turn, before it is moved."""

EXPLORATION_RATE = 0.01
"""Probability of admitting a start despite the estimate, so that wrong estimates get corrected."""

MAX_UNKNOWN_TASKS = 1
"""Tasks of a template allowed per worker while its slowdown of the services there is unknown."""


@attrs.frozen
class Thresholds:
    """Thresholds of the smoothed pressure of a worker; 1.0 meets the objective.

    They are above 1.0 because the router already sends requests to workers with lower pressure,
    so a single worker above its objective does not slow callers. The gap between `low` and
    `high` is the hysteresis.

    :param low: below it throttles are relaxed.
    :param admit: predicted pressure up to which another task may start.
    :param high: above it tasks are throttled and moved.
    :param critical: above it a task that cannot be moved is stopped.
    :param min_relief: least expected pressure reduction for an action; throttling for less
        cost a third of the batch throughput and changed the tail latency by a fifth.
    """

    low: float = 2.5
    admit: float = 3.0
    high: float = 4.0
    critical: float = 8.0
    min_relief: float = 0.3


class Step(enum.IntEnum):
    """Escalation level of the response on a worker."""

    NORMAL = 0
    THROTTLED = 1
    MOVING = 2


@attrs.define
class _WorkerState:
    pressure: float
    step: Step = Step.NORMAL
    high_since: timedelta | None = None
    low_since: timedelta | None = None
    cooldown_until: timedelta | None = None


@attrs.frozen
class Contribution:
    """Estimated pressure that a running task causes.

    :param task: the task.
    :param relief: expected pressure reduction without the task.
    """

    task: RunningTask
    relief: float


Selection = Callable[[Sequence[Contribution], float], list[Contribution]]
"""Selects the tasks to throttle or move, given the contributions and the excess pressure."""


def largest_relief_first(
    contributions: Sequence[Contribution], excess: float
) -> list[Contribution]:
    """Select tasks by descending relief until the excess is covered.

    This needs fewer moves than starting with small tasks (Shen and Liu, CORP).
    """
    chosen = []
    for contribution in sorted(contributions, key=lambda contribution: -contribution.relief):
        if excess <= 0.0:
            break
        chosen.append(contribution)
        excess -= contribution.relief
    return chosen


class Interferences:
    """Learn interference and decide on actions against it. Thread-safe.

    :param seed: seed for exploration.
    :param fleet_share: share of the fleet's eviction limit that this process may use.
    :param selection: selects the tasks to throttle or move.
    :param thresholds: pressure thresholds.
    """

    def __init__(
        self,
        seed: int = 0,
        fleet_share: float = 1.0,
        selection: Selection = largest_relief_first,
        thresholds: Thresholds | None = None,
    ):
        self._thresholds = thresholds or Thresholds()
        self.model = SlowdownModel()
        self.limit = EvictionLimit(fleet_share)
        self._selection = selection
        self._random = random.Random(seed)
        self._states: dict[str, _WorkerState] = {}
        self._lock = threading.RLock()

    def cost(self, template: str, view: WorkerView) -> float:
        """Return the interference cost of one more task on a worker.

        The cost is the expected slowdown of the services there plus the predicted pressure above
        the `low` threshold, since slowdown matters near the objective.
        """
        with self._lock:
            added = self._added_pressure(template, view)
            return added + max(0.0, self._pressure(view) + added - self._thresholds.low)

    def admits(self, template: str, view: WorkerView) -> bool:
        """Return whether a task of the template may start on a worker."""
        with self._lock:
            unknown = any(
                not self.model.known(service, template) for service in view.description.services
            )
            if unknown and view.running.count(template) >= MAX_UNKNOWN_TASKS:
                return False
            if self._is_responding(view):
                return False
            if (
                self._pressure(view) + self._added_pressure(template, view)
                <= self._thresholds.admit
            ):
                return True
            return self._random.random() < EXPLORATION_RATE

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Iterable[RunningTask]
    ) -> list[Action]:
        """Learn from the newest measurements and decide on actions; call it once a second.

        :param now: monotonic time of the caller's clock.
        :param workers: all known workers.
        :param running: the caller's running tasks.
        :returns: actions, workers with the highest pressure first.
        """
        with self._lock:
            tasks: dict[str, list[RunningTask]] = defaultdict(list)
            for task in running:
                tasks[task.worker_id].append(task)
            self._forget_removed(workers)
            observations = [
                _observation(view, tasks[view.description.worker_id]) for view in workers
            ]
            self.model.observe(now, observations)
            running_count = sum(len(view.running) for view in workers)
            actions: list[Action] = []
            for view in sorted(workers, key=lambda view: -view.load.pressure_permille):
                tasks_here = tasks[view.description.worker_id]
                actions += self._respond(now, view, tasks_here, workers, running_count)
            return actions

    def _respond(
        self,
        now: timedelta,
        view: WorkerView,
        tasks: list[RunningTask],
        workers: Sequence[WorkerView],
        running_count: int,
    ) -> list[Action]:
        state = self._update_state(now, view)
        if not view.data_centre_in:
            return _end_throttles(tasks)
        if state.cooldown_until is not None and now < state.cooldown_until:
            return []
        if state.high_since is not None and now - state.high_since >= HIGH_TIME:
            actions = self._reduce_pressure(now, view, state, tasks, workers, running_count)
        elif state.low_since is not None and now - state.low_since >= LOW_TIME:
            actions = self._relax_throttle(view, state, tasks)
        else:
            return []
        if actions:
            state.cooldown_until = now + COOLDOWN
        return actions

    def _update_state(self, now: timedelta, view: WorkerView) -> _WorkerState:
        measured = view.load.pressure_permille / 1000.0
        state = self._states.setdefault(view.description.worker_id, _WorkerState(measured))
        state.pressure += SMOOTHING * (measured - state.pressure)
        high = state.pressure >= self._thresholds.high
        low = state.pressure <= self._thresholds.low
        state.high_since = _condition_since(state.high_since, high, now)
        state.low_since = _condition_since(state.low_since, low, now)
        return state

    def _reduce_pressure(
        self,
        now: timedelta,
        view: WorkerView,
        state: _WorkerState,
        tasks: list[RunningTask],
        workers: Sequence[WorkerView],
        running_count: int,
    ) -> list[Action]:
        least_relief = self._thresholds.min_relief
        contributions = [
            contribution
            for contribution in self._contributions(view, tasks)
            if contribution.relief >= least_relief
        ]
        chosen = self._selection(contributions, state.pressure - self._thresholds.low)
        throttles = [
            action
            for contribution in chosen
            if (action := _throttle_action(contribution, state.pressure)) is not None
        ]
        if throttles:
            state.step = Step.THROTTLED
            return throttles
        actions = self._evict_tasks(now, view, state, chosen, workers, running_count)
        if actions:
            state.step = Step.MOVING
        return actions

    def _evict_tasks(
        self,
        now: timedelta,
        view: WorkerView,
        state: _WorkerState,
        chosen: list[Contribution],
        workers: Sequence[WorkerView],
        running_count: int,
    ) -> list[Action]:
        actions = []
        for contribution in chosen:
            task = contribution.task
            if not may_move(profile_of(task.task_class)):
                continue
            if self.limit.refusal_reason(now, task.key, running_count):
                continue
            destination = self._move_destination(task, view, workers)
            action = self._eviction_action(task, contribution.relief, state.pressure, destination)
            if action is None:
                continue
            self.limit.count(now, task.key)
            actions.append(action)
        return actions

    def _eviction_action(
        self, task: RunningTask, relief: float, pressure: float, destination: str
    ) -> Action | None:
        reason = f"pressure {pressure:.2f} though throttled, expected relief {relief:.2f}"
        if destination:
            return Action(
                ActionKind.MOVE, task.key, task.worker_id, reason, destination=destination
            )
        if pressure >= self._thresholds.critical:
            reason += ", no worker has room"
            return Action(ActionKind.STOP, task.key, task.worker_id, reason)
        return None

    def _relax_throttle(
        self, view: WorkerView, state: _WorkerState, tasks: list[RunningTask]
    ) -> list[Action]:
        """Relax the throttle of one task at a time, the one that adds the least pressure first."""
        throttled = [task for task in tasks if task.throttle_permille < 1000]
        if not throttled:
            state.step = Step.NORMAL
            return []
        task = min(throttled, key=lambda task: self._added_pressure(task.template, view))
        permille = _relaxed_permille(task.throttle_permille)
        reason = f"pressure {state.pressure:.2f} is low again"
        return [Action(ActionKind.THROTTLE, task.key, task.worker_id, reason, permille)]

    def _move_destination(
        self, task: RunningTask, origin: WorkerView, workers: Sequence[WorkerView]
    ) -> str:
        """Return the id of the nearest worker with capacity for the task, or an empty string."""
        fitting = [
            view
            for view in workers
            if view.description.worker_id != origin.description.worker_id
            and view.data_centre_in
            and not view.quarantined
            and not view.load.leaving
            and task.resources.fits(view.load.free)
            and self._pressure(view) + self._added_pressure(task.template, view)
            <= self._thresholds.admit
        ]
        if not fitting:
            return ""
        best = min(
            fitting, key=lambda view: (_distance(origin, view), self.cost(task.template, view))
        )
        return best.description.worker_id

    def _contributions(self, view: WorkerView, tasks: list[RunningTask]) -> list[Contribution]:
        return [
            Contribution(
                task, self._added_pressure(task.template, view) * task.throttle_permille / 1000.0
            )
            for task in tasks
        ]

    def _added_pressure(self, template: str, view: WorkerView) -> float:
        services = view.description.services
        return max((self.model.slowdown(service, template) for service in services), default=0.0)

    def _pressure(self, view: WorkerView) -> float:
        state = self._states.get(view.description.worker_id)
        measured = view.load.pressure_permille / 1000.0
        return state.pressure if state is not None else measured

    def _is_responding(self, view: WorkerView) -> bool:
        state = self._states.get(view.description.worker_id)
        return state is not None and state.step is not Step.NORMAL

    def _forget_removed(self, workers: Sequence[WorkerView]) -> None:
        removed = set(self._states) - {view.description.worker_id for view in workers}
        for worker_id in removed:
            del self._states[worker_id]
        self.model.forget(removed)


@singledispatch
def may_move(profile: object) -> bool:
    """Return whether interference may move tasks of a class; only batch tasks are moved."""
    return False


@may_move.register
def _batch_may_move(profile: BatchProfile) -> bool:
    return True


@singledispatch
def throttle_floor(profile: object) -> int:
    """Return the lowest duty cycle in permille to which tasks of a class are throttled."""
    return 1000


@throttle_floor.register
def _batch_floor(profile: BatchProfile) -> int:
    return THROTTLE_STEPS[-1]


@throttle_floor.register
def _watch_floor(profile: WatchProfile) -> int:
    # A watch is throttled by one step at most and never interrupted to protect a service.
    return THROTTLE_STEPS[0]


def _throttle_action(contribution: Contribution, pressure: float) -> Action | None:
    """Return the action for the next throttle step, or None at the lowest duty cycle."""
    task = contribution.task
    floor = throttle_floor(profile_of(task.task_class))
    permille = next((step for step in THROTTLE_STEPS if step < task.throttle_permille), 1000)
    if permille < floor or permille >= task.throttle_permille:
        return None
    reason = f"pressure {pressure:.2f}, expected relief {contribution.relief:.2f}"
    return Action(ActionKind.THROTTLE, task.key, task.worker_id, reason, permille)


def _end_throttles(tasks: list[RunningTask]) -> list[Action]:
    """End all throttles in a data centre that gets no requests, so more tasks finish in time."""
    reason = "data centre is out, no service to protect"
    return [
        Action(ActionKind.THROTTLE, task.key, task.worker_id, reason)
        for task in tasks
        if task.throttle_permille < 1000
    ]


def _condition_since(since: timedelta | None, is_met: bool, now: timedelta) -> timedelta | None:
    if not is_met:
        return None
    return now if since is None else since


def _relaxed_permille(permille: int) -> int:
    return min((step for step in (*THROTTLE_STEPS, 1000) if step > permille), default=1000)


def _distance(one: WorkerView, other: WorkerView) -> int:
    a, b = one.description, other.description
    if a.data_centre != b.data_centre:
        return 2
    return 0 if a.rack == b.rack else 1


def _observation(view: WorkerView, tasks: list[RunningTask]) -> Observation:
    """Build the observation of a worker for the slowdown model.

    Tasks of other shards count at full duty cycle, since their throttle is not known.
    """
    exposure: dict[str, float] = {}
    for template in view.running:
        exposure[template] = exposure.get(template, 0.0) + 1.0
    for task in tasks:
        if task.template in exposure:
            reduction = 1.0 - task.throttle_permille / 1000.0
            exposure[task.template] = max(0.0, exposure[task.template] - reduction)
    description = view.description
    pressure = view.load.pressure_permille / 1000.0
    return Observation(description.worker_id, description.services, exposure, pressure)

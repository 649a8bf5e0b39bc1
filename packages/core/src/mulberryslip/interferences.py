"""Interference between services and batch tasks: price for placement, response on workers."""

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
"""Weight of the newest pressure; about three seconds of memory at one round per second."""

HIGH_TIME = timedelta(seconds=3)
"""Time above the high threshold before a step; shorter bursts are noise."""

LOW_TIME = timedelta(seconds=10)
"""Time below the low threshold before a throttle is eased."""

SETTLE_TIME = timedelta(seconds=8)
"""Time between two steps on a worker: lag of the measurement plus smoothing."""

THROTTLE_STEPS = (500, 250)
"""Speeds of a throttled task in permille, before it is moved."""

EXPLORATION = 0.01
"""Share of the refused starts that are tried anyway, so that a wrong estimate is corrected."""

MAX_UNKNOWN = 1
"""Tasks of a template per worker while its effect on the services there is unknown."""


@attrs.frozen
class Thresholds:
    """Smoothed pressures of a worker at which something is done; 1.0 meets the objective.

    They are above 1.0 because the router sends requests to calmer workers before that, so a
    worker above its objective alone does not slow callers. The gap between `low` and `high` is
    the hysteresis.

    :param low: below it throttles are eased.
    :param admit: predicted pressure up to which another task may start.
    :param high: above it tasks are throttled and moved.
    :param critical: above it a task that cannot be moved is stopped.
    :param min_relief: least pressure that an action must be expected to take away; throttles
        for less cost a third of the batch throughput and changed the tail by a fifth.
    """

    low: float = 2.5
    admit: float = 3.0
    high: float = 4.0
    critical: float = 8.0
    min_relief: float = 0.3


class Step(enum.IntEnum):
    """How far the response on a worker has gone."""

    NORMAL = 0
    THROTTLED = 1
    MOVING = 2


@attrs.define
class _WorkerState:
    pressure: float
    step: Step = Step.NORMAL
    high_since: timedelta | None = None
    low_since: timedelta | None = None
    settled_at: timedelta | None = None


@attrs.frozen
class Contribution:
    """Pressure that a running task is estimated to cause.

    :param task: the task.
    :param relief: pressure that goes away with it.
    """

    task: RunningTask
    relief: float


Selection = Callable[[Sequence[Contribution], float], list[Contribution]]
"""Chooses which tasks leave a worker, given the excess pressure."""


def heaviest_first(contributions: Sequence[Contribution], excess: float) -> list[Contribution]:
    """Choose the tasks with the highest relief first until the excess is covered.

    Fewer moves release more load than with small tasks first (Shen and Liu, CORP).
    """
    chosen = []
    for contribution in sorted(contributions, key=lambda contribution: -contribution.relief):
        if excess <= 0.0:
            break
        chosen.append(contribution)
        excess -= contribution.relief
    return chosen


class Interferences:
    """Learns interference and decides what to do about it. Safe for use by several threads.

    :param seed: seed of the exploration.
    :param fleet_share: share of the fleet's eviction limit that this process may use.
    :param selection: which tasks leave a worker.
    :param thresholds: pressures at which something is done.
    """

    def __init__(
        self,
        seed: int = 0,
        fleet_share: float = 1.0,
        selection: Selection = heaviest_first,
        thresholds: Thresholds | None = None,
    ):
        self._thresholds = thresholds or Thresholds()
        self.model = SlowdownModel()
        self.limit = EvictionLimit(fleet_share)
        self._selection = selection
        self._random = random.Random(seed)
        self._states: dict[str, _WorkerState] = {}
        self._lock = threading.RLock()

    def price(self, template: str, view: WorkerView) -> float:
        """Return the expected slowdown of the services on a worker by one more task.

        The price grows with the predicted pressure, since slowdown matters near the objective.
        """
        with self._lock:
            added = self._added(template, view)
            return added + max(0.0, self._pressure(view) + added - self._thresholds.low)

    def admits(self, template: str, view: WorkerView) -> bool:
        """Return whether a task of the template may start on a worker."""
        with self._lock:
            unknown = any(
                not self.model.known(service, template) for service in view.description.services
            )
            if unknown and view.running.count(template) >= MAX_UNKNOWN:
                return False
            if self._is_responding(view):
                return False
            if self._pressure(view) + self._added(template, view) <= self._thresholds.admit:
                return True
            return self._random.random() < EXPLORATION

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Iterable[RunningTask]
    ) -> list[Action]:
        """Learn from the newest measurements and decide on actions; called each second.

        :param now: monotonic time of the caller's clock.
        :param workers: all known workers.
        :param running: the caller's running tasks.
        :returns: actions, workers with the highest pressure first.
        """
        with self._lock:
            tasks: dict[str, list[RunningTask]] = defaultdict(list)
            for task in running:
                tasks[task.worker_id].append(task)
            self._forget_gone(workers)
            observations = [
                _observation(view, tasks[view.description.worker_id]) for view in workers
            ]
            self.model.observe(now, observations)
            count = sum(len(view.running) for view in workers)
            actions: list[Action] = []
            for view in sorted(workers, key=lambda view: -view.load.pressure_permille):
                held = tasks[view.description.worker_id]
                actions += self._respond(now, view, held, workers, count)
            return actions

    def _respond(
        self,
        now: timedelta,
        view: WorkerView,
        tasks: list[RunningTask],
        workers: Sequence[WorkerView],
        count: int,
    ) -> list[Action]:
        state = self._follow(now, view)
        if not view.data_centre_in:
            return _full_speed(tasks)
        if state.settled_at is not None and now < state.settled_at:
            return []
        if state.high_since is not None and now - state.high_since >= HIGH_TIME:
            actions = self._relieve(now, view, state, tasks, workers, count)
        elif state.low_since is not None and now - state.low_since >= LOW_TIME:
            actions = self._ease(view, state, tasks)
        else:
            return []
        if actions:
            state.settled_at = now + SETTLE_TIME
        return actions

    def _follow(self, now: timedelta, view: WorkerView) -> _WorkerState:
        measured = view.load.pressure_permille / 1000.0
        state = self._states.setdefault(view.description.worker_id, _WorkerState(measured))
        state.pressure += SMOOTHING * (measured - state.pressure)
        high = state.pressure >= self._thresholds.high
        low = state.pressure <= self._thresholds.low
        state.high_since = _since(state.high_since, high, now)
        state.low_since = _since(state.low_since, low, now)
        return state

    def _relieve(
        self,
        now: timedelta,
        view: WorkerView,
        state: _WorkerState,
        tasks: list[RunningTask],
        workers: Sequence[WorkerView],
        count: int,
    ) -> list[Action]:
        least = self._thresholds.min_relief
        contributions = [
            contribution
            for contribution in self._contributions(view, tasks)
            if contribution.relief >= least
        ]
        chosen = self._selection(contributions, state.pressure - self._thresholds.low)
        throttles = [
            action
            for contribution in chosen
            if (action := _throttle(contribution, state.pressure)) is not None
        ]
        if throttles:
            state.step = Step.THROTTLED
            return throttles
        actions = self._evict(now, view, state, chosen, workers, count)
        if actions:
            state.step = Step.MOVING
        return actions

    def _evict(
        self,
        now: timedelta,
        view: WorkerView,
        state: _WorkerState,
        chosen: list[Contribution],
        workers: Sequence[WorkerView],
        count: int,
    ) -> list[Action]:
        actions = []
        for contribution in chosen:
            task = contribution.task
            if not may_move(profile_of(task.task_class)):
                continue
            if self.limit.refusal(now, task.key, count):
                continue
            target = self._target(task, view, workers)
            action = self._eviction(task, contribution.relief, state.pressure, target)
            if action is None:
                continue
            self.limit.count(now, task.key)
            actions.append(action)
        return actions

    def _eviction(
        self, task: RunningTask, relief: float, pressure: float, target: str
    ) -> Action | None:
        reason = f"pressure {pressure:.2f} though throttled, expected relief {relief:.2f}"
        if target:
            return Action(ActionKind.MOVE, task.key, task.worker_id, reason, target=target)
        if pressure >= self._thresholds.critical:
            reason += ", no worker has room"
            return Action(ActionKind.STOP, task.key, task.worker_id, reason)
        return None

    def _ease(
        self, view: WorkerView, state: _WorkerState, tasks: list[RunningTask]
    ) -> list[Action]:
        """Give speed back to one task at a time, the least harmful first."""
        throttled = [task for task in tasks if task.throttle_permille < 1000]
        if not throttled:
            state.step = Step.NORMAL
            return []
        task = min(throttled, key=lambda task: self._added(task.template, view))
        speed = _next_speed(task.throttle_permille)
        reason = f"pressure {state.pressure:.2f} is low again"
        return [Action(ActionKind.THROTTLE, task.key, task.worker_id, reason, speed)]

    def _target(self, task: RunningTask, origin: WorkerView, workers: Sequence[WorkerView]) -> str:
        """Return the nearest worker with room for the whole task, or an empty string."""
        fitting = [
            view
            for view in workers
            if view.description.worker_id != origin.description.worker_id
            and view.data_centre_in
            and not view.quarantined
            and not view.load.leaving
            and task.resources.fits(view.load.free)
            and self._pressure(view) + self._added(task.template, view) <= self._thresholds.admit
        ]
        if not fitting:
            return ""
        best = min(
            fitting, key=lambda view: (_distance(origin, view), self.price(task.template, view))
        )
        return best.description.worker_id

    def _contributions(self, view: WorkerView, tasks: list[RunningTask]) -> list[Contribution]:
        return [
            Contribution(task, self._added(task.template, view) * task.throttle_permille / 1000.0)
            for task in tasks
        ]

    def _added(self, template: str, view: WorkerView) -> float:
        services = view.description.services
        return max((self.model.slowdown(service, template) for service in services), default=0.0)

    def _pressure(self, view: WorkerView) -> float:
        state = self._states.get(view.description.worker_id)
        measured = view.load.pressure_permille / 1000.0
        return state.pressure if state is not None else measured

    def _is_responding(self, view: WorkerView) -> bool:
        state = self._states.get(view.description.worker_id)
        return state is not None and state.step is not Step.NORMAL

    def _forget_gone(self, workers: Sequence[WorkerView]) -> None:
        gone = set(self._states) - {view.description.worker_id for view in workers}
        for worker_id in gone:
            del self._states[worker_id]
        self.model.forget(gone)


@singledispatch
def may_move(profile: object) -> bool:
    """Return whether interference may move a task of a class; services are never moved."""
    return False


@may_move.register
def _batch_may_move(profile: BatchProfile) -> bool:
    return True


@singledispatch
def throttle_floor(profile: object) -> int:
    """Return the lowest speed in permille to which a task of a class is throttled."""
    return 1000


@throttle_floor.register
def _batch_floor(profile: BatchProfile) -> int:
    return THROTTLE_STEPS[-1]


@throttle_floor.register
def _watch_floor(profile: WatchProfile) -> int:
    # A watch is slowed a little but not interrupted for the sake of a service.
    return THROTTLE_STEPS[0]


def _throttle(contribution: Contribution, pressure: float) -> Action | None:
    """Return the next throttle of a task, or None at its lowest speed."""
    task = contribution.task
    floor = throttle_floor(profile_of(task.task_class))
    speed = next((step for step in THROTTLE_STEPS if step < task.throttle_permille), 1000)
    if speed < floor or speed >= task.throttle_permille:
        return None
    reason = f"pressure {pressure:.2f}, expected relief {contribution.relief:.2f}"
    return Action(ActionKind.THROTTLE, task.key, task.worker_id, reason, speed)


def _full_speed(tasks: list[RunningTask]) -> list[Action]:
    """End all throttles where no requests are sent any more, so that more tasks finish in time."""
    reason = "data centre is out, no service to protect"
    return [
        Action(ActionKind.THROTTLE, task.key, task.worker_id, reason)
        for task in tasks
        if task.throttle_permille < 1000
    ]


def _since(since: timedelta | None, holds: bool, now: timedelta) -> timedelta | None:
    if not holds:
        return None
    return now if since is None else since


def _next_speed(permille: int) -> int:
    return min((step for step in (*THROTTLE_STEPS, 1000) if step > permille), default=1000)


def _distance(one: WorkerView, other: WorkerView) -> int:
    a, b = one.description, other.description
    if a.data_centre != b.data_centre:
        return 2
    return 0 if a.rack == b.rack else 1


def _observation(view: WorkerView, tasks: list[RunningTask]) -> Observation:
    """Count tasks of other shards at full speed, since their throttle is not known."""
    exposure: dict[str, float] = {}
    for template in view.running:
        exposure[template] = exposure.get(template, 0.0) + 1.0
    for task in tasks:
        if task.template in exposure:
            lost = 1.0 - task.throttle_permille / 1000.0
            exposure[task.template] = max(0.0, exposure[task.template] - lost)
    description = view.description
    pressure = view.load.pressure_permille / 1000.0
    return Observation(description.worker_id, description.services, exposure, pressure)

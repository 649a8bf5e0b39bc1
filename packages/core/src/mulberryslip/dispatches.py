"""Decides which waiting tasks start where. Nothing here reads or writes.

Load patterns that this answers:

- Quick checks arrive all day while lasting services hold most processors and batch work fills the
  rest: checks come first, and lasting services leave them `CHECK_RESERVE` of the fleet.
- Services take most of the processors by their reservations, and batch work presses on half of
  them: services of one image are packed together, and batch work goes where it can work fastest.
- More batch work waits than fits: workflows that can still meet their objective go first, the one
  with the earliest objective in front; a workflow that has begun goes before one that has not.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import attrs

from .headrooms import LIGHT, Demand, PressureModel, allot, press_cost
from .paces import KEPT_HEADROOM
from .rooms import WorkerRoom
from .soundness import EXCLUDED
from .workflows import StepTask, Workflow

CHECK_RESERVE = 0.1
"""Share of the processors that lasting tasks leave to short ones. Quick checks of both
users take 5 to 6 % of the fleet on average and arrive in waves."""

LASTING_PATIENCE_MS = 1000
"""Wait after which a lasting task may use the reserve: its users are without a service."""

USUAL_HEADROOM = 2.0
"""Headroom of a service that has not been measured yet: a target is about five times the tail of an
idle service, and services are half loaded."""

MIN_GAIN = 0.25
"""Share of a filling task's full speed that its worker must gain by it; with less, the task rather
waits for a better worker."""

GAIN_PATIENCE_MS = 10_000
"""Wait after which a filling task starts wherever it fits: it works while the services are calm."""

ABRUPT_PENALTY = 5.0
"""Weight of a service that is over its target for some tenths of a second, as of a failed run."""

MOVE_GAIN = 0.4
"""Share of full speed that a filling run must win by a move, which costs it a stop and a start."""

DEFAULT_ESTIMATE_MS = 2000
"""Run time of a task whose caller gave no estimate and of which none has been measured."""

LATE_FACTOR = 3
"""A workflow that ends after this many times its objective brings its caller nothing more."""

GAIN_WEIGHT = 3.0
PRESS_WEIGHT = 0.5
SPLIT_WEIGHT = 0.5
SAME_WEIGHT = 1.0
OPEN_WEIGHT = 4.0
"""Weights of the work that is gained, of the fall of a service's headroom, of each further serving
image on a worker, of the same image there, and of any service there, against 100 free cores."""

MAX_MOVES = 4
"""Filling runs that are moved in one round, so that a wrong conclusion costs little."""

MAX_CANDIDATES = 12
"""Filling runs that are looked at for a move in one round, each by comparing all workers."""

MAX_STARTING = 24
"""Starts on their way to one worker. An agent starts about 200 tasks a second."""


@attrs.frozen
class Placed:
    """A decision: a waiting task and the worker that is to run it."""

    task: StepTask
    room: WorkerRoom


@attrs.frozen
class Urgency:
    """Place of a workflow in the queue; lower ones come first.

    :param kind: 0 lasting or quick work, 1 work that can still be in time, 2 late work that still
        has some value, 3 work that is too late.
    """

    kind: int
    priority: int
    fresh: bool
    due_ms: int

    def key(self) -> tuple[int, int, bool, int]:
        """Return the sorting key."""
        return (self.kind, self.priority, self.fresh, self.due_ms)


def estimated_run_time(task: StepTask) -> timedelta:
    """Return the run time of a task as its caller estimates it."""
    return timedelta(milliseconds=task.spec.estimate_ms or DEFAULT_ESTIMATE_MS)


class Dispatcher:
    """Chooses workers for waiting tasks.

    :param run_time: returns the expected run time of a task.
    :param model: how much images press on each other.
    """

    def __init__(self, run_time: Callable[[StepTask], timedelta], model: PressureModel):
        self._run_time = run_time
        self.model = model
        self._works: dict[str, float] = {}
        self._gains: dict[str, dict[tuple[str, int], float]] = {}

    def choose(
        self, waiting: Iterable[StepTask], rooms: Sequence[WorkerRoom], now_ms: int
    ) -> list[Placed]:
        """Return the runs to start now; `rooms` is changed accordingly."""
        self._forget_gains()
        placed: list[Placed] = []
        reserve = CHECK_RESERVE * sum(room.capacity.cpu_millis for room in rooms)
        blocked: set[tuple[str, int, tuple[str, ...]]] = set()
        for task in self.order(waiting, now_ms):
            kind = (task.workflow.workflow_id, task.step, task.failed_on)
            if kind in blocked:
                # Tasks of a step are alike: where one finds no room, the next does not either.
                continue
            waited_ms = now_ms - task.waiting_since_ms
            if task.spec.lasting and waited_ms < LASTING_PATIENCE_MS:
                free = sum(room.free.cpu_millis for room in rooms)
                if free - task.spec.cpu_millis < reserve:
                    continue
            room = self._best(task, rooms, waited_ms)
            if room is None:
                blocked.add(kind)
                continue
            self._take(task, room)
            placed.append(Placed(task, room))
        return placed

    def misplaced(
        self, filling: Iterable[tuple[StepTask, float]], rooms: Sequence[WorkerRoom]
    ) -> list[StepTask]:
        """Return filling runs to move: services slow them down that would not do so elsewhere.

        :param filling: runs that lose little by a stop, with the share of their full speed at
            which they work.
        :param rooms: changed accordingly.
        """
        self._forget_gains()
        moved = []
        slow = [(task, speed) for task, speed in filling if speed + MOVE_GAIN <= 1]
        slow.sort(key=lambda item: (self.due_ms(item[0].workflow), item[0].name))
        for task, speed in slow[:MAX_CANDIDATES]:
            if len(moved) >= MAX_MOVES:
                break
            room = self._best_elsewhere(task, rooms)
            if room is not None and self.gain(task, room) >= speed + MOVE_GAIN:
                self._take(task, room)
                moved.append(task)
        return moved

    def stranded(self, runs: Iterable[StepTask], rooms: Sequence[WorkerRoom]) -> list[StepTask]:
        """Return runs to move away from workers on which they stand still.

        :param runs: such runs; they may lose their progress.
        :param rooms: changed accordingly.
        """
        self._forget_gains()
        moved = []
        for task in runs:
            if len(moved) >= MAX_MOVES:
                break
            room = self._best_elsewhere(task, rooms)
            if room is not None:
                self._take(task, room)
                moved.append(task)
        return moved

    def order(self, waiting: Iterable[StepTask], now_ms: int) -> list[StepTask]:
        """Return waiting tasks in the order in which they get room."""
        urgencies: dict[str, tuple] = {}
        for task in (waiting := list(waiting)):
            workflow = task.workflow
            if workflow.workflow_id not in urgencies:
                urgencies[workflow.workflow_id] = self.urgency(workflow, now_ms).key()
        return sorted(
            waiting, key=lambda task: (urgencies[task.workflow.workflow_id], task.step, task.index)
        )

    def urgency(self, workflow: Workflow, now_ms: int) -> Urgency:
        """Return the place of a workflow in the queue."""
        due_ms = self.due_ms(workflow)
        if any(step.lasting for step in workflow.spec.steps):
            return Urgency(0, workflow.queue.priority, False, due_ms)
        ready_ms = now_ms + _ms(self.chain(workflow, whole=False))
        last_ms = workflow.accepted_ms + LATE_FACTOR * (due_ms - workflow.accepted_ms)
        fresh = not any(task.run for task in workflow.tasks())
        kind = 1 if ready_ms <= due_ms else 2 if ready_ms <= last_ms else 3
        if not any(step.fills for step in workflow.spec.steps):
            kind = min(kind, 1)
        return Urgency(kind, workflow.queue.priority, fresh, due_ms)

    def objective(self, workflow: Workflow) -> timedelta:
        """Return the time in which a workflow is to be done."""
        chain = self.chain(workflow, whole=True)
        return chain * workflow.queue.stretch_permille // 1000 + workflow.queue.slack

    def due_ms(self, workflow: Workflow) -> int:
        """Return when a workflow is to be done, in milliseconds since 1970."""
        return workflow.accepted_ms + _ms(self.objective(workflow))

    def chain(self, workflow: Workflow, whole: bool) -> timedelta:
        """Return the longest chain of work of a workflow.

        :param whole: whether steps that are done count too.
        """
        ends: list[timedelta] = []
        for number, step in enumerate(workflow.spec.steps):
            before = max((ends[earlier] for earlier in step.after), default=timedelta())
            own = timedelta()
            if workflow.steps and (whole or workflow.undone[number]):
                own = self._run_time(workflow.steps[number][0])
            ends.append(before + own)
        return max(ends, default=timedelta())

    def gain(self, task: StepTask, room: WorkerRoom) -> float:
        """Return the work that a worker gains by a filling task, as a share of its full speed."""
        # Tasks of a step are alike, and a worker stays as it is until it gets a run.
        known = self._gains.setdefault(room.worker_id, {})
        kind = (task.spec.image, task.spec.cpu_millis)
        if kind not in known:
            known[kind] = self._gain(task, room)
        return known[kind]

    def _gain(self, task: StepTask, room: WorkerRoom) -> float:
        own = room.share(task.spec.cpu_millis)
        wanted = room.fill_shares()
        before = self._works.get(room.worker_id)
        if before is None:
            before = self._works[room.worker_id] = self._work(room, wanted)
        wanted[task.spec.image] = wanted.get(task.spec.image, 0.0) + own
        return (self._work(room, wanted) - before) / own if own else 1.0

    def _take(self, task: StepTask, room: WorkerRoom) -> None:
        """Account for a run that is to start on a worker."""
        room.take(task)
        self._press_on(task, room)
        self._works.pop(room.worker_id, None)
        self._gains.pop(room.worker_id, None)

    def _forget_gains(self) -> None:
        self._works.clear()
        self._gains.clear()

    def _work(self, room: WorkerRoom, wanted: Mapping[str, float]) -> float:
        """Return the share of a worker's processors that its filling runs usually use."""
        budgets = [
            (image, room.headrooms.get(image, USUAL_HEADROOM) - KEPT_HEADROOM)
            for image in room.serving
        ]
        images = sorted(wanted, key=lambda image: press_cost(image, budgets, self.model))
        demands = [Demand(image, wanted[image]) for image in images]
        shares, _ = allot(demands, budgets, self.model)
        return min(room.share(max(0, room.fill_free_millis)), sum(shares))

    def _press_on(self, task: StepTask, room: WorkerRoom) -> None:
        """Account for what a run that starts now takes from the headrooms before it is paced."""
        if task.spec.fills:
            own = room.share(task.spec.cpu_millis)
            for image in room.lows:
                room.lows[image] -= self.model.pressure(task.spec.image, image) * own

    def _is_abrupt(self, task: StepTask, room: WorkerRoom) -> bool:
        """Return whether a run takes a service over its target before its pace can be set."""
        own = room.share(task.spec.cpu_millis)
        return any(
            (pressure := self.model.pressure(task.spec.image, image)) > LIGHT
            and low - pressure * own < 1
            for image, low in room.lows.items()
        )

    def _best_elsewhere(self, task: StepTask, rooms: Sequence[WorkerRoom]) -> WorkerRoom | None:
        return self._best(task, [room for room in rooms if room.worker_id != task.worker_id], 0)

    def _best(
        self, task: StepTask, rooms: Sequence[WorkerRoom], waited_ms: int
    ) -> WorkerRoom | None:
        best = None
        best_score = 0.0
        for room in rooms:
            score = self._score(task, room, waited_ms)
            if score is not None and (best is None or score > best_score):
                best, best_score = room, score
        return best

    def _score(self, task: StepTask, room: WorkerRoom, waited_ms: int) -> float | None:
        """Return how well a worker suits a task, or None when it may not run there."""
        if not room.admits(task) or room.starting >= MAX_STARTING or room.penalty >= EXCLUDED:
            return None
        spec = task.spec
        score = -10.0 * room.penalty
        if room.worker_id in task.failed_on:
            score -= 5.0
        if spec.rack and spec.rack not in room.labels:
            score -= 2.0
        if spec.fills:
            is_abrupt = self._is_abrupt(task, room)
            gain = self.gain(task, room)
            if (is_abrupt or gain < MIN_GAIN) and waited_ms < GAIN_PATIENCE_MS:
                return None
            score -= ABRUPT_PENALTY * is_abrupt
            return score + room.unused_millis / 100_000 + GAIN_WEIGHT * gain
        if spec.lasting:
            # Services fill one worker after the other, those of one image together, and leave the
            # other workers to batch work, which disturbs most services.
            others = len(room.serving) - (spec.image in room.serving)
            score += OPEN_WEIGHT * bool(room.serving) - SPLIT_WEIGHT * others
            score -= PRESS_WEIGHT * self.model.press(room.fill_shares(), spec.image)
            return score + SAME_WEIGHT * (spec.image in room.serving) - room.free.cpu_millis / 1e5
        return score + room.unused_millis / 100_000


def _ms(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)

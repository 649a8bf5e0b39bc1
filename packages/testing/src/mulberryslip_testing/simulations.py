"""Discrete-time fake of workers and tasks for the bench; one step is one second."""

import random
from collections import Counter, deque
from datetime import timedelta

import attrs
from mulberryslip import (
    ManualClock,
    Priority,
    Resources,
    TaskClass,
    TaskKey,
    WorkerDescription,
    WorkerLoad,
)
from mulberryslip.actions import RunningTask
from mulberryslip.models import WorkerView

from .scenarios import Scenario, ServiceShape, TaskShape

WORKERS_PER_RACK = 3
OVERLOAD_SLOWDOWN = 2.0
MAX_UTILISATION = 0.9
FIRST_MEMORY = 0.3
SERVERS = 1
OUT_OF_MEMORY = "out of memory"
P99_SIGMAS = 2.326
SECOND = timedelta(seconds=1)
MILLISECONDS = 1000.0
"""Milliseconds per second."""


@attrs.define(eq=False)
class FakeTask:
    """A task with its true needs, times in seconds."""

    key: TaskKey
    shape: TaskShape
    cpu_millis: int
    memory_mb: int
    work_s: float
    progress_s: float = 0.0
    saved_s: float = 0.0
    run_s: float = 0.0
    unsaved_s: float = 0.0
    attempt_s: float = 0.0
    held_mb: int = 0
    setup_s: float = 0.0
    checkpoint_mb: float = 0.0
    permille: int = 1000
    committed: Resources = Resources()
    worker: "FakeWorker | None" = None
    evictions: int = 0

    @property
    def cores(self) -> float:
        """Return the true cores, the weight of its work."""
        return self.cpu_millis / 1000.0


@attrs.define(eq=False)
class FakeWorker:
    """A VM with its tasks and its lagging measurements."""

    description: WorkerDescription
    alive: bool = True
    tasks: list[FakeTask] = attrs.field(factory=list)
    pressures: deque[float] = attrs.field(factory=deque)
    reported: float = 0.0
    requests: Counter[str] = attrs.field(factory=Counter)
    rate: dict[str, float] = attrs.field(factory=dict)
    factors: dict[str, float] = attrs.field(factory=dict)

    free: Resources = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.free = self.description.capacity

    def hold(self, task: FakeTask, size: Resources) -> None:
        """Commit capacity to a task."""
        self.tasks.append(task)
        task.worker = self
        task.committed = size
        self.free -= size

    def release(self, task: FakeTask) -> None:
        """Free the capacity of a task."""
        self.tasks.remove(task)
        task.worker = None
        self.free += task.committed


@attrs.define
class Tally:
    """What the world counts, in core-seconds and numbers."""

    finished_work: float = 0.0
    finished: int = 0
    departure_work: float = 0.0
    evictions: Counter[str] = attrs.field(factory=Counter)
    urgent_wait_s: list[float] = attrs.field(factory=list)


class World:
    """Workers, queue and running tasks of one scenario.

    All randomness comes from the seed and the step, never from what a strategy does.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.clock = ManualClock()
        self.second = 0
        self.tally = Tally()
        self._seed = seed
        self.workers = _workers(scenario)
        self.by_id = {worker.description.worker_id: worker for worker in self.workers}
        self.out: set[str] = set()
        self.queue: list[FakeTask] = _backlog(scenario, random.Random(f"{seed}/tasks"))
        self._queued_at: dict[TaskKey, int] = {}
        self._backing_off: list[tuple[int, FakeTask]] = []
        self._measure()

    def random(self, purpose: str) -> random.Random:
        """Return the random source of a purpose in this step."""
        return random.Random(f"{self._seed}/{purpose}/{self.second}")

    def views(self) -> list[WorkerView]:
        """Return what a scheduler knows about the workers."""
        return [_view(worker, self.out) for worker in self.workers if worker.alive]

    def running(self) -> list[RunningTask]:
        """Return the running tasks as an owner knows them; usage lags."""
        return [
            self._known(task) for worker in self.workers for task in worker.tasks if worker.alive
        ]

    def start(self, task: FakeTask, worker_id: str, size: Resources) -> bool:
        """Start a queued task; the worker refuses what it has no committed room for."""
        worker = self.by_id[worker_id]
        is_out = worker.description.data_centre in self.out
        if is_out or not worker.alive or not size.fits(worker.free):
            return False
        self.queue.remove(task)
        worker.hold(task, size)
        task.setup_s = float(self.scenario.setup_s)
        task.unsaved_s = 0.0
        task.attempt_s = 0.0
        task.held_mb = int(task.memory_mb * FIRST_MEMORY)
        if task.shape.priority is Priority.URGENT and task.key in self._queued_at:
            self.tally.urgent_wait_s.append(self.second - self._queued_at.pop(task.key))
        return True

    def throttle(self, task: FakeTask, permille: int) -> None:
        """Change the speed of a running task."""
        task.permille = permille

    def move(self, task: FakeTask) -> None:
        """Begin a checkpoint; the task is queued again when it is written."""
        if task.checkpoint_mb <= 0.0:
            task.checkpoint_mb = float(task.held_mb)

    def stop(self, task: FakeTask, cause: str) -> None:
        """End a task without a checkpoint and queue it again."""
        lost = task.progress_s - task.saved_s
        task.progress_s = task.saved_s
        self._count_work(task, -lost)
        self._requeue(task, cause)

    def find(self, key: TaskKey) -> FakeTask | None:
        """Return a running task."""
        for worker in self.workers:
            for task in worker.tasks:
                if task.key == key:
                    return task
        return None

    def step(self) -> list[FakeTask]:
        """Advance by one second and return the tasks that finished."""
        self._change_data_centre()
        self._kill_over_memory()
        finished = [task for worker in self.workers for task in self._run(worker)]
        self.second += 1
        self.clock.advance(SECOND)
        self._end_backoff()
        self._add_urgent()
        self._measure()
        return finished

    def factor(self, worker: FakeWorker, service: ServiceShape) -> float:
        """Return how many times slower than idle a service answers on a worker now."""
        return worker.factors[service.name]

    def _known(self, task: FakeTask) -> RunningTask:
        usage = Resources()
        if task.attempt_s >= self.scenario.lag_s + self.scenario.setup_s:
            usage = Resources(task.cpu_millis * task.permille // 1000, task.held_mb)
        return RunningTask(
            key=task.key,
            template=task.shape.name,
            task_class=task.shape.task_class,
            worker_id=task.worker.description.worker_id,
            resources=task.committed,
            usage=usage,
            run_time=SECOND * task.run_s,
            unsaved=SECOND * task.unsaved_s,
            throttle_permille=task.permille,
            priority=task.shape.priority,
        )

    def _change_data_centre(self) -> None:
        departure = self.scenario.departure
        if self.second == departure.out_s:
            self.out.add(departure.data_centre)
        if self.second == departure.gone_s:
            for worker in self._departing():
                for task in list(worker.tasks):
                    self.stop(task, "data centre gone")
                worker.alive = False
        if self.second == departure.back_s:
            self.out.discard(departure.data_centre)
            for worker in self._departing():
                worker.alive = True

    def _departing(self) -> list[FakeWorker]:
        name = self.scenario.departure.data_centre
        return [worker for worker in self.workers if worker.description.data_centre == name]

    def _kill_over_memory(self) -> None:
        """Kill the largest task while a VM needs more memory than it has."""
        for worker in self.workers:
            capacity = worker.description.capacity.memory_mb
            while sum(task.held_mb for task in worker.tasks) > capacity:
                self.stop(max(worker.tasks, key=lambda task: task.held_mb), OUT_OF_MEMORY)

    def _run(self, worker: FakeWorker) -> list[FakeTask]:
        finished = []
        saving = [task for task in worker.tasks if task.checkpoint_mb > 0.0]
        for task in saving:
            task.checkpoint_mb -= self.scenario.checkpoint_mb_per_s / len(saving)
            if task.checkpoint_mb <= 0.0:
                task.saved_s = task.progress_s
                self._requeue(task, "moved")
        demand = sum(task.cpu_millis * task.permille / 1000 for task in worker.tasks)
        share = min(1.0, worker.description.capacity.cpu_millis / max(1.0, demand))
        for task in list(worker.tasks):
            if task.checkpoint_mb <= 0.0 and self._advance(task, share):
                finished.append(task)
        return finished

    def _advance(self, task: FakeTask, share: float) -> bool:
        """Run a task for a second and return whether it finished."""
        task.run_s += 1.0
        task.attempt_s += 1.0
        ramp = min(1.0, FIRST_MEMORY + task.attempt_s / self.scenario.memory_ramp_s)
        task.held_mb = int(task.memory_mb * ramp)
        if task.setup_s > 0.0:
            task.setup_s -= 1.0
            return False
        contention = self.scenario.contention
        others = [other for other in task.worker.tasks if other is not task]
        slowed = 1.0 + sum(contention.get(other.shape.name, 0.0) for other in others)
        done = min(share * task.permille / 1000.0 / slowed, task.work_s - task.progress_s)
        task.progress_s += done
        task.unsaved_s += 1.0
        self._count_work(task, done)
        if task.unsaved_s >= self.scenario.checkpoint_every_s:
            task.saved_s = task.progress_s
            task.unsaved_s = 0.0
        if task.progress_s < task.work_s:
            return False
        self.tally.finished += 1
        if task.shape.task_class is TaskClass.BATCH:
            self.tally.finished_work += task.work_s * task.cores
        task.worker.release(task)
        return True

    def _count_work(self, task: FakeTask, done_s: float) -> None:
        departure = self.scenario.departure
        if departure.out_s <= self.second < departure.until_s:
            self.tally.departure_work += done_s * task.cores

    def _requeue(self, task: FakeTask, cause: str) -> None:
        self.tally.evictions[cause] += 1
        task.evictions += 1
        task.worker.release(task)
        task.permille = 1000
        task.checkpoint_mb = 0.0
        if cause == OUT_OF_MEMORY:
            self._backing_off.append((self.second + self.scenario.kill_backoff_s, task))
        else:
            self.queue.insert(0, task)

    def _end_backoff(self) -> None:
        due = [task for at, task in self._backing_off if at <= self.second]
        self._backing_off = [entry for entry in self._backing_off if entry[0] > self.second]
        self.queue[:0] = due

    def _add_urgent(self) -> None:
        if self.second % self.scenario.urgent_every_s:
            return
        shape = next(s for s in self.scenario.tasks if s.priority is Priority.URGENT)
        task = _task(f"urgent-{self.second}", shape, self.random("urgent"))
        self._queued_at[task.key] = self.second
        self.queue.append(task)

    def _measure(self) -> None:
        noise = self.random("noise")
        for worker in self.workers:
            slowed = self._wave(worker)
            worker.factors = {
                service.name: self._factor(worker, service, slowed)
                for service in self.scenario.services
            }
            pressure = max(
                worker.factors[service.name]
                * service.median_ms
                * 2.718281828 ** (service.sigma * P99_SIGMAS)
                / service.objective_ms
                for service in self.scenario.services
            )
            worker.pressures.append(pressure * noise.lognormvariate(0.0, 0.15))
            if len(worker.pressures) > self.scenario.lag_s:
                lagging = worker.pressures.popleft()
                if noise.random() >= self.scenario.missing_share:
                    worker.reported = lagging

    def _wave(self, worker: FakeWorker) -> float:
        waves = self.scenario.waves
        number, at = divmod(self.second, waves.period_s)
        if at >= waves.length_s:
            return 0.0
        draw = random.Random(f"{self._seed}/wave/{number}/{worker.description.worker_id}")
        return waves.slowdown if draw.random() < waves.share else 0.0

    def _factor(self, worker: FakeWorker, service: ServiceShape, slowed: float) -> float:
        demand = 0.0
        for task in worker.tasks:
            speed = task.permille / 1000.0 if task.checkpoint_mb <= 0.0 else 0.0
            demand += task.cpu_millis * speed
            slowed += speed * self._pair(service.name, task.shape.name)
        overload = demand / worker.description.capacity.cpu_millis - 1.0
        slowed += OVERLOAD_SLOWDOWN * max(0.0, overload)
        seen = worker.requests.pop(service.name, 0)
        rate = 0.5 * worker.rate.get(service.name, 0.0) + 0.5 * seen
        worker.rate[service.name] = rate
        busy = rate * service.represents * service.median_ms / 1000.0 * (1.0 + slowed) / SERVERS
        return (1.0 + slowed) / (1.0 - min(MAX_UTILISATION, busy))

    def _pair(self, service: str, template: str) -> float:
        pair = (service, template)
        if self.second >= self.scenario.duration_s // 2 and pair in self.scenario.shifted:
            return self.scenario.shifted[pair]
        return self.scenario.slowdown.get(pair, 0.0)


def _workers(scenario: Scenario) -> list[FakeWorker]:
    services = tuple(service.name for service in scenario.services)
    workers = []
    for data_centre, count in scenario.workers.items():
        for number in range(count):
            description = WorkerDescription(
                worker_id=f"{data_centre}-{number}",
                incarnation="1",
                data_centre=data_centre,
                rack=f"{data_centre}-r{number // WORKERS_PER_RACK}",
                host="127.0.0.1",
                port=1,
                capacity=scenario.capacity,
                services=services,
            )
            workers.append(FakeWorker(description))
    return workers


def _task(job_id: str, shape: TaskShape, draws: random.Random) -> FakeTask:
    return FakeTask(
        TaskKey(job_id, 0),
        shape,
        cpu_millis=int(shape.cpu_millis * draws.uniform(0.85, 1.15)),
        memory_mb=int(shape.memory_mb * draws.uniform(0.85, 1.15)),
        work_s=shape.work_s * draws.uniform(0.6, 1.4) if shape.work_s else float("inf"),
    )


def _backlog(scenario: Scenario, draws: random.Random) -> list[FakeTask]:
    watch = next(shape for shape in scenario.tasks if shape.task_class is TaskClass.WATCH)
    watches = [_task(f"watch-{n}", watch, draws) for n in range(scenario.watches)]
    shapes = draws.choices(
        scenario.tasks, [shape.share for shape in scenario.tasks], k=scenario.backlog
    )
    return watches + [_task(f"job-{n}", shape, draws) for n, shape in enumerate(shapes)]


def _view(worker: FakeWorker, out: set[str]) -> WorkerView:
    load = WorkerLoad(
        in_flight=int(sum(worker.rate.values())),
        service_time_us=int(1000 * 8.0 * max(worker.factors.values())),
        free=worker.free,
        pressure_permille=int(1000 * worker.reported),
    )
    is_in = worker.description.data_centre not in out
    running = tuple(task.shape.name for task in worker.tasks)
    return WorkerView(worker.description, load, data_centre_in=is_in, running=running)

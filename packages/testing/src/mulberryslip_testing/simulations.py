"""Discrete-time simulation of workers and tasks for the benchmark; one step is one second."""

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

from .scenarios import Scenario, ServiceProfile, TaskProfile

WORKERS_PER_RACK = 3
OVERLOAD_SLOWDOWN = 2.0
MAX_UTILISATION = 0.9
INITIAL_MEMORY_SHARE = 0.3
SERVERS_PER_SERVICE = 1
OUT_OF_MEMORY = "out of memory"
P99_Z_SCORE = 2.326
SECOND = timedelta(seconds=1)
MS_PER_SECOND = 1000.0


@attrs.define(eq=False)
class FakeTask:
    """A task with its actual resource usage; times in seconds."""

    key: TaskKey
    profile: TaskProfile
    cpu_millis: int
    memory_mb: int
    work_s: float
    progress_s: float = 0.0
    checkpointed_s: float = 0.0
    total_run_s: float = 0.0
    since_checkpoint_s: float = 0.0
    attempt_s: float = 0.0
    used_mb: int = 0
    setup_s: float = 0.0
    checkpoint_mb: float = 0.0
    duty_cycle_permille: int = 1000
    allocated: Resources = Resources()
    worker: "FakeWorker | None" = None
    evictions: int = 0

    @property
    def cores(self) -> float:
        """Return the actual CPU usage in cores, the weight of the work of this task."""
        return self.cpu_millis / 1000.0


@attrs.define(eq=False)
class FakeWorker:
    """A VM with its tasks and its delayed measurements."""

    description: WorkerDescription
    alive: bool = True
    tasks: list[FakeTask] = attrs.field(factory=list)
    pressures: deque[float] = attrs.field(factory=deque)
    reported_pressure: float = 0.0
    requests: Counter[str] = attrs.field(factory=Counter)
    request_rate_hz: dict[str, float] = attrs.field(factory=dict)
    slowdown_factors: dict[str, float] = attrs.field(factory=dict)

    free: Resources = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.free = self.description.capacity

    def allocate(self, task: FakeTask, size: Resources) -> None:
        """Allocate capacity to a task."""
        self.tasks.append(task)
        task.worker = self
        task.allocated = size
        self.free -= size

    def release(self, task: FakeTask) -> None:
        """Free the capacity of a task."""
        self.tasks.remove(task)
        task.worker = None
        self.free += task.allocated


@attrs.define
class Totals:
    """Totals of a simulation; work in core-seconds."""

    finished_work: float = 0.0
    finished: int = 0
    departure_work: float = 0.0
    evictions: Counter[str] = attrs.field(factory=Counter)
    urgent_wait_s: list[float] = attrs.field(factory=list)


class Simulation:
    """Workers, queue and running tasks of one scenario.

    All randomness is derived from the seed and the step, never from what a strategy does.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.clock = ManualClock()
        self.second = 0
        self.totals = Totals()
        self._seed = seed
        self.workers = _make_workers(scenario)
        self.by_id = {worker.description.worker_id: worker for worker in self.workers}
        self.data_centres_out: set[str] = set()
        self.queue: list[FakeTask] = _make_backlog(scenario, random.Random(f"{seed}/tasks"))
        self._queued_at: dict[TaskKey, int] = {}
        self._backoff_queue: list[tuple[int, FakeTask]] = []
        self._measure()

    def make_rng(self, purpose: str) -> random.Random:
        """Return the random number generator for one purpose in this step."""
        return random.Random(f"{self._seed}/{purpose}/{self.second}")

    def views(self) -> list[WorkerView]:
        """Return the state of the workers as a scheduler knows it."""
        return [
            _worker_view(worker, self.data_centres_out) for worker in self.workers if worker.alive
        ]

    def running(self) -> list[RunningTask]:
        """Return the running tasks as an owner knows them, with delayed usage."""
        return [
            self._to_running_task(task)
            for worker in self.workers
            for task in worker.tasks
            if worker.alive
        ]

    def start(self, task: FakeTask, worker_id: str, size: Resources) -> bool:
        """Start a queued task; return False when the worker is unavailable or lacks capacity."""
        worker = self.by_id[worker_id]
        is_out_of_service = worker.description.data_centre in self.data_centres_out
        if is_out_of_service or not worker.alive or not size.fits(worker.free):
            return False
        self.queue.remove(task)
        worker.allocate(task, size)
        task.setup_s = float(self.scenario.setup_s)
        task.since_checkpoint_s = 0.0
        task.attempt_s = 0.0
        task.used_mb = int(task.memory_mb * INITIAL_MEMORY_SHARE)
        if task.profile.priority is Priority.URGENT and task.key in self._queued_at:
            self.totals.urgent_wait_s.append(self.second - self._queued_at.pop(task.key))
        return True

    def throttle(self, task: FakeTask, duty_cycle_permille: int) -> None:
        """Change the duty cycle of a running task."""
        task.duty_cycle_permille = duty_cycle_permille

    def move(self, task: FakeTask) -> None:
        """Begin a checkpoint; the task is queued again once the checkpoint is written."""
        if task.checkpoint_mb <= 0.0:
            task.checkpoint_mb = float(task.used_mb)

    def stop(self, task: FakeTask, cause: str) -> None:
        """Stop a task without a checkpoint and queue it again."""
        lost_s = task.progress_s - task.checkpointed_s
        task.progress_s = task.checkpointed_s
        self._count_departure_work(task, -lost_s)
        self._requeue(task, cause)

    def find(self, key: TaskKey) -> FakeTask | None:
        """Return a running task, or None."""
        for worker in self.workers:
            for task in worker.tasks:
                if task.key == key:
                    return task
        return None

    def step(self) -> list[FakeTask]:
        """Advance by one second and return the tasks that finished."""
        self._change_data_centre()
        self._kill_over_memory()
        finished = [task for worker in self.workers for task in self._run_worker(worker)]
        self.second += 1
        self.clock.advance(SECOND)
        self._end_backoff()
        self._add_urgent()
        self._measure()
        return finished

    def slowdown_factor(self, worker: FakeWorker, service: ServiceProfile) -> float:
        """Return the current slowdown of a service on a worker relative to an idle worker."""
        return worker.slowdown_factors[service.name]

    def _to_running_task(self, task: FakeTask) -> RunningTask:
        usage = Resources()
        if task.attempt_s >= self.scenario.measurement_lag_s + self.scenario.setup_s:
            usage = Resources(task.cpu_millis * task.duty_cycle_permille // 1000, task.used_mb)
        return RunningTask(
            key=task.key,
            template=task.profile.name,
            task_class=task.profile.task_class,
            worker_id=task.worker.description.worker_id,
            resources=task.allocated,
            usage=usage,
            run_time=SECOND * task.total_run_s,
            unsaved=SECOND * task.since_checkpoint_s,
            throttle_permille=task.duty_cycle_permille,
            priority=task.profile.priority,
        )

    def _change_data_centre(self) -> None:
        departure = self.scenario.departure
        if self.second == departure.out_s:
            self.data_centres_out.add(departure.data_centre)
        if self.second == departure.gone_s:
            for worker in self._departing_workers():
                for task in list(worker.tasks):
                    self.stop(task, "data centre gone")
                worker.alive = False
        if self.second == departure.back_s:
            self.data_centres_out.discard(departure.data_centre)
            for worker in self._departing_workers():
                worker.alive = True

    def _departing_workers(self) -> list[FakeWorker]:
        name = self.scenario.departure.data_centre
        return [worker for worker in self.workers if worker.description.data_centre == name]

    def _kill_over_memory(self) -> None:
        """Kill the largest task of a VM until the memory in use fits its capacity."""
        for worker in self.workers:
            capacity = worker.description.capacity.memory_mb
            while sum(task.used_mb for task in worker.tasks) > capacity:
                self.stop(max(worker.tasks, key=lambda task: task.used_mb), OUT_OF_MEMORY)

    def _run_worker(self, worker: FakeWorker) -> list[FakeTask]:
        finished = []
        checkpointing = [task for task in worker.tasks if task.checkpoint_mb > 0.0]
        for task in checkpointing:
            task.checkpoint_mb -= self.scenario.checkpoint_mb_per_s / len(checkpointing)
            if task.checkpoint_mb <= 0.0:
                task.checkpointed_s = task.progress_s
                self._requeue(task, "moved")
        demand = sum(task.cpu_millis * task.duty_cycle_permille / 1000 for task in worker.tasks)
        cpu_share = min(1.0, worker.description.capacity.cpu_millis / max(1.0, demand))
        for task in list(worker.tasks):
            if task.checkpoint_mb <= 0.0 and self._advance_task(task, cpu_share):
                finished.append(task)
        return finished

    def _advance_task(self, task: FakeTask, cpu_share: float) -> bool:
        """Run a task for one second and return whether it finished."""
        task.total_run_s += 1.0
        task.attempt_s += 1.0
        ramp = min(1.0, INITIAL_MEMORY_SHARE + task.attempt_s / self.scenario.memory_ramp_s)
        task.used_mb = int(task.memory_mb * ramp)
        if task.setup_s > 0.0:
            task.setup_s -= 1.0
            return False
        contention = self.scenario.contention
        others = [other for other in task.worker.tasks if other is not task]
        slowdown = 1.0 + sum(contention.get(other.profile.name, 0.0) for other in others)
        done_s = min(
            cpu_share * task.duty_cycle_permille / 1000.0 / slowdown, task.work_s - task.progress_s
        )
        task.progress_s += done_s
        task.since_checkpoint_s += 1.0
        self._count_departure_work(task, done_s)
        if task.since_checkpoint_s >= self.scenario.checkpoint_every_s:
            task.checkpointed_s = task.progress_s
            task.since_checkpoint_s = 0.0
        if task.progress_s < task.work_s:
            return False
        self.totals.finished += 1
        if task.profile.task_class is TaskClass.BATCH:
            self.totals.finished_work += task.work_s * task.cores
        task.worker.release(task)
        return True

    def _count_departure_work(self, task: FakeTask, done_s: float) -> None:
        departure = self.scenario.departure
        if departure.out_s <= self.second < departure.until_s:
            self.totals.departure_work += done_s * task.cores

    def _requeue(self, task: FakeTask, cause: str) -> None:
        self.totals.evictions[cause] += 1
        task.evictions += 1
        task.worker.release(task)
        task.duty_cycle_permille = 1000
        task.checkpoint_mb = 0.0
        if cause == OUT_OF_MEMORY:
            self._backoff_queue.append((self.second + self.scenario.kill_backoff_s, task))
        else:
            self.queue.insert(0, task)

    def _end_backoff(self) -> None:
        due = [task for retry_at, task in self._backoff_queue if retry_at <= self.second]
        self._backoff_queue = [entry for entry in self._backoff_queue if entry[0] > self.second]
        self.queue[:0] = due

    def _add_urgent(self) -> None:
        if self.second % self.scenario.urgent_every_s:
            return
        profile = next(s for s in self.scenario.tasks if s.priority is Priority.URGENT)
        task = _make_task(f"urgent-{self.second}", profile, self.make_rng("urgent"))
        self._queued_at[task.key] = self.second
        self.queue.append(task)

    def _measure(self) -> None:
        noise = self.make_rng("noise")
        for worker in self.workers:
            slowdown = self._external_slowdown(worker)
            worker.slowdown_factors = {
                service.name: self._compute_slowdown(worker, service, slowdown)
                for service in self.scenario.services
            }
            pressure = max(
                worker.slowdown_factors[service.name]
                * service.median_ms
                * 2.718281828 ** (service.sigma * P99_Z_SCORE)
                / service.objective_ms
                for service in self.scenario.services
            )
            worker.pressures.append(pressure * noise.lognormvariate(0.0, 0.15))
            if len(worker.pressures) > self.scenario.measurement_lag_s:
                delayed_pressure = worker.pressures.popleft()
                if noise.random() >= self.scenario.missing_report_share:
                    worker.reported_pressure = delayed_pressure

    def _external_slowdown(self, worker: FakeWorker) -> float:
        external_noise = self.scenario.external_noise
        burst, offset_s = divmod(self.second, external_noise.period_s)
        if offset_s >= external_noise.length_s:
            return 0.0
        rng = random.Random(f"{self._seed}/wave/{burst}/{worker.description.worker_id}")
        return external_noise.slowdown if rng.random() < external_noise.worker_share else 0.0

    def _compute_slowdown(
        self, worker: FakeWorker, service: ServiceProfile, slowdown: float
    ) -> float:
        demand = 0.0
        for task in worker.tasks:
            speed = task.duty_cycle_permille / 1000.0 if task.checkpoint_mb <= 0.0 else 0.0
            demand += task.cpu_millis * speed
            slowdown += speed * self._task_slowdown(service.name, task.profile.name)
        overload = demand / worker.description.capacity.cpu_millis - 1.0
        slowdown += OVERLOAD_SLOWDOWN * max(0.0, overload)
        arrivals = worker.requests.pop(service.name, 0)
        request_rate_hz = 0.5 * worker.request_rate_hz.get(service.name, 0.0) + 0.5 * arrivals
        worker.request_rate_hz[service.name] = request_rate_hz
        utilisation = (
            request_rate_hz
            * service.load_multiplier
            * service.median_ms
            / 1000.0
            * (1.0 + slowdown)
            / SERVERS_PER_SERVICE
        )
        return (1.0 + slowdown) / (1.0 - min(MAX_UTILISATION, utilisation))

    def _task_slowdown(self, service: str, template: str) -> float:
        pair = (service, template)
        if self.second >= self.scenario.duration_s // 2 and pair in self.scenario.shifted_slowdown:
            return self.scenario.shifted_slowdown[pair]
        return self.scenario.slowdown.get(pair, 0.0)


def _make_workers(scenario: Scenario) -> list[FakeWorker]:
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


def _make_task(job_id: str, profile: TaskProfile, rng: random.Random) -> FakeTask:
    return FakeTask(
        TaskKey(job_id, 0),
        profile,
        cpu_millis=int(profile.cpu_millis * rng.uniform(0.85, 1.15)),
        memory_mb=int(profile.memory_mb * rng.uniform(0.85, 1.15)),
        work_s=profile.work_s * rng.uniform(0.6, 1.4) if profile.work_s else float("inf"),
    )


def _make_backlog(scenario: Scenario, rng: random.Random) -> list[FakeTask]:
    watch_profile = next(
        profile for profile in scenario.tasks if profile.task_class is TaskClass.WATCH
    )
    watches = [_make_task(f"watch-{n}", watch_profile, rng) for n in range(scenario.watches)]
    profiles = rng.choices(
        scenario.tasks, [profile.backlog_weight for profile in scenario.tasks], k=scenario.backlog
    )
    return watches + [_make_task(f"job-{n}", profile, rng) for n, profile in enumerate(profiles)]


def _worker_view(worker: FakeWorker, data_centres_out: set[str]) -> WorkerView:
    load = WorkerLoad(
        in_flight=int(sum(worker.request_rate_hz.values())),
        service_time_us=int(1000 * 8.0 * max(worker.slowdown_factors.values())),
        free=worker.free,
        pressure_permille=int(1000 * worker.reported_pressure),
    )
    is_in_service = worker.description.data_centre not in data_centres_out
    running = tuple(task.profile.name for task in worker.tasks)
    return WorkerView(worker.description, load, data_centre_in=is_in_service, running=running)

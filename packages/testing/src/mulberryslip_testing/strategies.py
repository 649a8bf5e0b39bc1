"""The two versions that the bench compares: a naive one, and the project's policy."""

import heapq
import random
from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import attrs
from mulberryslip import Priority, Resources, TaskClass, TaskKey
from mulberryslip.actions import Action, ActionKind
from mulberryslip.configs import ServiceParameters, Template
from mulberryslip.evacuations import Evacuations
from mulberryslip.interferences import Interferences
from mulberryslip.models import WorkerView
from mulberryslip.placements import Placement, PlacementItem
from mulberryslip.quotas import AccountQuota, AccountUse, Quotas
from mulberryslip.retries import RetryBudget
from mulberryslip.routings import Links, Router

from .scenarios import ServiceShape
from .simulations import SECOND, FakeTask, World

MILLISECOND = timedelta(milliseconds=1)

QUEUE_WINDOW = 100
"""Waiting tasks that one pass looks at."""


class Strategy(Protocol):
    """What the bench drives once per second, and for each request."""

    def schedule(self) -> None:
        """Place queued tasks and act on running ones."""

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Learn from tasks that finished."""

    def begin_requests(self) -> None:
        """Take in the workers for the requests of the coming second."""

    def route(self, service: ServiceShape, source: str) -> tuple[str, float]:
        """Return the worker for a request, and the hedge delay in ms (0: none)."""

    def second_route(self, service: ServiceShape, source: str, first: str) -> str:
        """Return another worker for a hedge, or an empty string."""

    def answered(self, service: ServiceShape, worker_id: str, at: float, latency_ms: float) -> None:
        """Take in when a request will be answered, in seconds from the start."""


class Naive:
    """First fit by declared size, round robin over all workers in service, no feedback."""

    def __init__(self, world: World, seed: int):
        self._world = world
        self._turn = 0
        self._targets: list[str] = []

    def schedule(self) -> None:
        """Start each queued task on the first worker with room, urgent tasks first."""
        queue = sorted(
            self._world.queue, key=lambda task: task.shape.priority is not Priority.URGENT
        )
        targets = [view.description.worker_id for view in self._world.views()]
        refused: set[str] = set()
        for task in queue:
            if task.shape.name in refused:
                continue
            if not any(
                self._world.start(task, worker_id, task.shape.declared) for worker_id in targets
            ):
                refused.add(task.shape.name)

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Learn nothing."""

    def begin_requests(self) -> None:
        """Note the workers in service."""
        views = self._world.views()
        self._targets = [v.description.worker_id for v in views if v.data_centre_in]

    def route(self, service: ServiceShape, source: str) -> tuple[str, float]:
        """Return the next worker in turn."""
        self._turn += 1
        return self._targets[self._turn % len(self._targets)], 0.0

    def second_route(self, service: ServiceShape, source: str, first: str) -> str:
        """Return no second worker."""
        return ""

    def answered(self, service: ServiceShape, worker_id: str, at: float, latency_ms: float) -> None:
        """Learn nothing."""


@attrs.frozen(order=True)
class _Answer:
    at: float
    number: int
    worker_id: str = attrs.field(order=False)
    service: str = attrs.field(order=False)
    latency_ms: float = attrs.field(order=False)


class Feedback:
    """The project's policy: the same aggregates that the daemon uses."""

    def __init__(self, world: World, seed: int):
        self._world = world
        scenario = world.scenario
        clock = world.clock
        self.interferences = Interferences(seed)
        self.evacuations = Evacuations(clock)
        self.quotas = _quotas(world)
        self.placement = Placement(
            clock,
            quotas=self.quotas,
            interferences=self.interferences,
            pace=self.evacuations,
            seed=seed,
        )
        links = Links({}, default=MILLISECOND * scenario.link_ms)
        self.router = Router(clock, random.Random(seed), links)
        self._budget = RetryBudget()
        self._templates = {service.name: _template(service) for service in scenario.services}
        self._views: list[WorkerView] = []
        self._by_id: dict[str, WorkerView] = {}
        self._answers: list[_Answer] = []
        self._count = 0

    def schedule(self) -> None:
        """Act on running tasks, then place queued ones."""
        world = self._world
        views = world.views()
        running = world.running()
        for task in running:
            if task.throttle_permille == 1000:
                self.placement.observe(task.template, task.usage)
        now = world.clock.monotonic()
        for action in self.evacuations.decide(now, views, running):
            self._apply(action)
        for action in self.interferences.decide(now, views, running):
            self._apply(action)
        self._report_use()
        self._place()

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Learn run times."""
        for task in tasks:
            self.evacuations.durations.observe(task.shape.name, SECOND * task.run_s)

    def begin_requests(self) -> None:
        """Take in the newest loads."""
        self._views = [view for view in self._world.views() if view.data_centre_in]
        self._by_id = {view.description.worker_id: view for view in self._views}

    def route(self, service: ServiceShape, source: str) -> tuple[str, float]:
        """Ask the router."""
        self._deliver()
        self._budget.earn()
        choice = self.router.choose(
            self._templates[service.name], source, self._views, MILLISECOND * service.deadline_ms
        )
        hedge = choice.hedge_after
        return choice.worker_id, hedge / MILLISECOND if hedge is not None else 0.0

    def second_route(self, service: ServiceShape, source: str, first: str) -> str:
        """Ask the router for another worker within the retry budget."""
        if not self._budget.take():
            return ""
        choice = self.router.choose(
            self._templates[service.name],
            source,
            self._views,
            MILLISECOND * service.deadline_ms,
            frozenset({first}),
        )
        return choice.worker_id

    def answered(self, service: ServiceShape, worker_id: str, at: float, latency_ms: float) -> None:
        """Count the request as sent, and note when its reply arrives."""
        self.router.sent(worker_id)
        self._count += 1
        heapq.heappush(self._answers, _Answer(at, self._count, worker_id, service.name, latency_ms))

    def _deliver(self) -> None:
        now = self._world.clock.monotonic() / SECOND
        while self._answers and self._answers[0].at <= now:
            reply = heapq.heappop(self._answers)
            view = self._by_id.get(reply.worker_id)
            self.router.answered(
                reply.worker_id,
                reply.service,
                MILLISECOND * reply.latency_ms,
                view.load if view else None,
            )

    def _apply(self, action: Action) -> None:
        task = self._world.find(action.task)
        if task is None:
            return
        if action.kind is ActionKind.THROTTLE:
            self._world.throttle(task, action.throttle_permille)
        elif action.kind is ActionKind.MOVE:
            self._world.move(task)
        else:
            self._world.stop(task, "stopped")

    def _report_use(self) -> None:
        used: dict[str, list[FakeTask]] = defaultdict(list)
        waiting: dict[str, list[FakeTask]] = defaultdict(list)
        for worker in self._world.workers:
            for task in worker.tasks:
                used[task.shape.account].append(task)
        for task in self._queued():
            waiting[task.shape.account].append(task)
        uses = {
            name: AccountUse(
                sum((task.committed for task in used[name]), Resources()),
                sum((task.shape.declared for task in waiting[name]), Resources()),
            )
            for name in set(used) | set(waiting)
        }
        self.quotas.report("", uses)

    def _queued(self) -> list[FakeTask]:
        """Return the urgent tasks and the oldest others, which bounds the cost of a pass."""
        queue = self._world.queue
        urgent = [task for task in queue if task.shape.priority is Priority.URGENT]
        normal = [task for task in queue if task.shape.priority is not Priority.URGENT]
        return urgent + normal[:QUEUE_WINDOW]

    def _place(self) -> None:
        views = self._world.views()
        tasks = {task.key: task for task in self._queued()}
        refused: set[tuple[str, frozenset[str]]] = set()
        for item in self.placement.order([_item(task) for task in tasks.values()]):
            # Tasks of one template that may run on the same workers get the same answer.
            shape = (item.template, item.avoid)
            if shape in refused:
                continue
            if self._start(item, tasks[item.key], views):
                views = self._world.views()
            else:
                refused.add(shape)

    def _start(self, item: PlacementItem, task: FakeTask, views: list[WorkerView]) -> bool:
        for ranked in self.placement.rank(item, views):
            if self._world.start(task, ranked.worker_id, ranked.resources):
                self.placement.started(item, ranked.worker_id)
                return True
        return False


def _item(task: FakeTask) -> PlacementItem:
    shape = task.shape
    return PlacementItem(
        TaskKey(task.key.job_id, task.key.index),
        shape.name,
        shape.account,
        shape.task_class,
        shape.priority,
        shape.declared,
    )


def _quotas(world: World) -> Quotas:
    """Give each account an equal share of the fleet."""
    accounts = sorted({shape.account for shape in world.scenario.tasks})
    capacity = world.scenario.capacity
    count = len(world.workers)
    total = [amount * count for amount in capacity.amounts()]
    quotas = Quotas(world.clock)
    share = AccountQuota(total[0] // len(accounts), total[1] // len(accounts))
    whole = attrs.evolve(capacity, cpu_millis=total[0], memory_mb=total[1], slots=total[3])
    quotas.configure(dict.fromkeys(accounts, share), whole)
    return quotas


def _template(service: ServiceShape) -> Template:
    parameters = ServiceParameters(
        deadline_ms=service.deadline_ms,
        objective_ms=service.objective_ms,
        idempotent=service.idempotent,
        hedge_after_ms=service.hedge_after_ms,
    )
    return Template(service.name, TaskClass.SERVICE, "", parameters)

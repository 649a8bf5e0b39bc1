"""The two strategies that the benchmark compares: a naive one, and the project's policy."""

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

from .scenarios import ServiceProfile
from .simulations import SECOND, FakeTask, Simulation

MILLISECOND = timedelta(milliseconds=1)

QUEUE_WINDOW = 100
"""Maximum number of non-urgent waiting tasks that one scheduling pass considers."""


class Strategy(Protocol):
    """Scheduling and routing, called by the benchmark once per second and for each request."""

    def schedule(self) -> None:
        """Place queued tasks and act on running ones."""

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Observe tasks that finished."""

    def refresh_workers(self) -> None:
        """Update the known workers before the requests of the next second."""

    def route(self, service: ServiceProfile, source: str) -> tuple[str, float]:
        """Return the worker for a request, and the hedge delay in milliseconds (0: no hedge)."""

    def hedge_route(self, service: ServiceProfile, source: str, first_worker_id: str) -> str:
        """Return another worker for a hedged request, or an empty string."""

    def record_response(
        self, service: ServiceProfile, worker_id: str, at_s: float, latency_ms: float
    ) -> None:
        """Record when the response to a request arrives, in seconds from the start."""


class NaiveStrategy:
    """First-fit placement by declared size, round-robin routing, no feedback."""

    def __init__(self, simulation: Simulation, seed: int):
        self._simulation = simulation
        self._request_count = 0
        self._worker_ids: list[str] = []

    def schedule(self) -> None:
        """Start each queued task on the first worker with capacity, urgent tasks first."""
        queue = sorted(
            self._simulation.queue, key=lambda task: task.profile.priority is not Priority.URGENT
        )
        worker_ids = [view.description.worker_id for view in self._simulation.views()]
        unplaceable: set[str] = set()
        for task in queue:
            if task.profile.name in unplaceable:
                continue
            if not any(
                self._simulation.start(task, worker_id, task.profile.declared)
                for worker_id in worker_ids
            ):
                unplaceable.add(task.profile.name)

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Ignore finished tasks."""

    def refresh_workers(self) -> None:
        """Store the workers whose data centre is in service."""
        views = self._simulation.views()
        self._worker_ids = [v.description.worker_id for v in views if v.data_centre_in]

    def route(self, service: ServiceProfile, source: str) -> tuple[str, float]:
        """Return the next worker in round-robin order."""
        self._request_count += 1
        return self._worker_ids[self._request_count % len(self._worker_ids)], 0.0

    def hedge_route(self, service: ServiceProfile, source: str, first_worker_id: str) -> str:
        """Return an empty string: the naive strategy does not hedge."""
        return ""

    def record_response(
        self, service: ServiceProfile, worker_id: str, at_s: float, latency_ms: float
    ) -> None:
        """Ignore the response."""


@attrs.frozen(order=True)
class _PendingResponse:
    at_s: float
    number: int
    worker_id: str = attrs.field(order=False)
    service: str = attrs.field(order=False)
    latency_ms: float = attrs.field(order=False)


class PolicyStrategy:
    """The project's policy, built from the same classes that the daemon uses."""

    def __init__(self, simulation: Simulation, seed: int):
        self._simulation = simulation
        scenario = simulation.scenario
        clock = simulation.clock
        self.interferences = Interferences(seed)
        self.evacuations = Evacuations(clock)
        self.quotas = _make_quotas(simulation)
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
        self._templates = {service.name: _make_template(service) for service in scenario.services}
        self._views: list[WorkerView] = []
        self._view_by_id: dict[str, WorkerView] = {}
        self._pending_responses: list[_PendingResponse] = []
        self._response_count = 0

    def schedule(self) -> None:
        """Act on running tasks, then place queued ones."""
        simulation = self._simulation
        views = simulation.views()
        running = simulation.running()
        for task in running:
            if task.throttle_permille == 1000:
                self.placement.observe(task.template, task.usage)
        now = simulation.clock.monotonic()
        for action in self.evacuations.decide(now, views, running):
            self._apply(action)
        for action in self.interferences.decide(now, views, running):
            self._apply(action)
        self._report_usage()
        self._place_tasks()

    def finished(self, tasks: Sequence[FakeTask]) -> None:
        """Record the run times of finished tasks."""
        for task in tasks:
            self.evacuations.durations.observe(task.profile.name, SECOND * task.total_run_s)

    def refresh_workers(self) -> None:
        """Fetch the latest worker loads."""
        self._views = [view for view in self._simulation.views() if view.data_centre_in]
        self._view_by_id = {view.description.worker_id: view for view in self._views}

    def route(self, service: ServiceProfile, source: str) -> tuple[str, float]:
        """Choose a worker with the router."""
        self._deliver_responses()
        self._budget.earn()
        choice = self.router.choose(
            self._templates[service.name], source, self._views, MILLISECOND * service.deadline_ms
        )
        hedge = choice.hedge_after
        return choice.worker_id, hedge / MILLISECOND if hedge is not None else 0.0

    def hedge_route(self, service: ServiceProfile, source: str, first_worker_id: str) -> str:
        """Choose another worker with the router, within the retry budget."""
        if not self._budget.take():
            return ""
        choice = self.router.choose(
            self._templates[service.name],
            source,
            self._views,
            MILLISECOND * service.deadline_ms,
            frozenset({first_worker_id}),
        )
        return choice.worker_id

    def record_response(
        self, service: ServiceProfile, worker_id: str, at_s: float, latency_ms: float
    ) -> None:
        """Count the request as sent, and schedule the arrival of its response."""
        self.router.sent(worker_id)
        self._response_count += 1
        heapq.heappush(
            self._pending_responses,
            _PendingResponse(at_s, self._response_count, worker_id, service.name, latency_ms),
        )

    def _deliver_responses(self) -> None:
        now = self._simulation.clock.monotonic() / SECOND
        while self._pending_responses and self._pending_responses[0].at_s <= now:
            response = heapq.heappop(self._pending_responses)
            view = self._view_by_id.get(response.worker_id)
            self.router.answered(
                response.worker_id,
                response.service,
                MILLISECOND * response.latency_ms,
                view.load if view else None,
            )

    def _apply(self, action: Action) -> None:
        task = self._simulation.find(action.task)
        if task is None:
            return
        if action.kind is ActionKind.THROTTLE:
            self._simulation.throttle(task, action.throttle_permille)
        elif action.kind is ActionKind.MOVE:
            self._simulation.move(task)
        else:
            self._simulation.stop(task, "stopped")

    def _report_usage(self) -> None:
        used: dict[str, list[FakeTask]] = defaultdict(list)
        waiting: dict[str, list[FakeTask]] = defaultdict(list)
        for worker in self._simulation.workers:
            for task in worker.tasks:
                used[task.profile.account].append(task)
        for task in self._schedulable_tasks():
            waiting[task.profile.account].append(task)
        uses = {
            name: AccountUse(
                sum((task.allocated for task in used[name]), Resources()),
                sum((task.profile.declared for task in waiting[name]), Resources()),
            )
            for name in set(used) | set(waiting)
        }
        self.quotas.report("", uses)

    def _schedulable_tasks(self) -> list[FakeTask]:
        """Return the urgent tasks and the first `QUEUE_WINDOW` others.

        The window bounds the cost of a scheduling pass.
        """
        queue = self._simulation.queue
        urgent = [task for task in queue if task.profile.priority is Priority.URGENT]
        normal = [task for task in queue if task.profile.priority is not Priority.URGENT]
        return urgent + normal[:QUEUE_WINDOW]

    def _place_tasks(self) -> None:
        views = self._simulation.views()
        tasks = {task.key: task for task in self._schedulable_tasks()}
        unplaceable: set[tuple[str, frozenset[str]]] = set()
        for item in self.placement.order([_placement_item(task) for task in tasks.values()]):
            # Tasks of one template that may run on the same workers get the same result.
            group = (item.template, item.avoid)
            if group in unplaceable:
                continue
            if self._start_task(item, tasks[item.key], views):
                views = self._simulation.views()
            else:
                unplaceable.add(group)

    def _start_task(self, item: PlacementItem, task: FakeTask, views: list[WorkerView]) -> bool:
        for ranked in self.placement.rank(item, views):
            if self._simulation.start(task, ranked.worker_id, ranked.resources):
                self.placement.started(item, ranked.worker_id)
                return True
        return False


def _placement_item(task: FakeTask) -> PlacementItem:
    profile = task.profile
    return PlacementItem(
        TaskKey(task.key.job_id, task.key.index),
        profile.name,
        profile.account,
        profile.task_class,
        profile.priority,
        profile.declared,
    )


def _make_quotas(simulation: Simulation) -> Quotas:
    """Give each account an equal share of the fleet."""
    accounts = sorted({profile.account for profile in simulation.scenario.tasks})
    capacity = simulation.scenario.capacity
    count = len(simulation.workers)
    total = [amount * count for amount in capacity.amounts()]
    quotas = Quotas(simulation.clock)
    quota = AccountQuota(total[0] // len(accounts), total[1] // len(accounts))
    fleet_capacity = attrs.evolve(capacity, cpu_millis=total[0], memory_mb=total[1], slots=total[3])
    quotas.configure(dict.fromkeys(accounts, quota), fleet_capacity)
    return quotas


def _make_template(service: ServiceProfile) -> Template:
    parameters = ServiceParameters(
        deadline_ms=service.deadline_ms,
        objective_ms=service.objective_ms,
        idempotent=service.idempotent,
        hedge_after_ms=service.hedge_after_ms,
    )
    return Template(service.name, TaskClass.SERVICE, "", parameters)

"""Placement of tasks: ranks the workers on which a task may start."""

import functools
import heapq
import random
import threading
import zlib
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import singledispatch
from typing import Protocol

import attrs

from .clocks import Clock
from .models import Priority, Resources, TaskClass, TaskKey, WorkerView
from .profiles import BatchProfile, ServiceProfile, WatchProfile, profile_of
from .quotas import Quotas
from .sizes import SizeEstimator

MAX_RANKED = 4
"""Maximum number of workers returned for one task.

A task that all of them refuse is ranked again with newer load reports.
"""

SAMPLE_THRESHOLD = 24
"""Fleets of at most this many workers are ranked in full, without sampling."""

SAMPLE_SIZE = 16
"""Workers sampled from a larger fleet, so that the cost of a start does not grow with its size."""

LARGE_WAIT = timedelta(seconds=5)
"""Waiting time after which a task that fits on no worker counts as large and may reserve one."""

RESERVATION_LIFETIME = timedelta(seconds=120)
"""Time after which an unused reservation is released, so that it cannot leave a worker idle."""

SIZE_HEAD_START = 60
"""Queue positions by which the largest task may move ahead; smaller tasks in proportion.

Slots are scarce, so each should get as much work as fits; the bound keeps small tasks from
starving.
"""

HEADROOM_MODULUS = 4
"""One worker in this many keeps headroom, so that urgent tasks start within 1 s in a full fleet."""

HEADROOM_SHARE = 0.05
"""Share of the processors and memory kept free on such a worker, in addition to one slot."""

LOAD_COST = 0.3
"""Cost of a full worker relative to an empty one."""

RACK_COST = 0.1
"""Cost of running all tasks of the template in one rack."""

DATA_CENTRE_COST = 0.1
"""Cost of running all tasks of the template in one data centre."""

MAX_JITTER_COST = 0.02
"""Upper bound of a random cost that breaks ties, so that shard owners choose different workers."""

MAX_EXPLAINED = 10_000
"""Maximum number of explanations and waiting times kept; the oldest are dropped."""


@attrs.frozen
class PlacementItem:
    """A task that waits for placement.

    :param key: the task.
    :param template: name of its template.
    :param account: client account that is charged for it.
    :param task_class: class of the template.
    :param priority: priority of the template.
    :param resources: declared size.
    :param avoid: workers on which the task failed.
    """

    key: TaskKey
    template: str
    account: str
    task_class: TaskClass
    priority: Priority
    resources: Resources
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class RankedWorker:
    """A worker on which a reservation may be tried.

    :param worker_id: the worker.
    :param cost: lower is better; 1.0 is about a slowdown of 100 %.
    :param resources: size to reserve.
    :param reason: explanation of the cost.
    """

    worker_id: str
    cost: float
    resources: Resources
    reason: str


class InterferenceCost(Protocol):
    """Interface of `Interferences` that placement depends on."""

    def cost(self, template: str, view: WorkerView) -> float:
        """Return the expected slowdown caused by one more task of the template."""

    def admits(self, template: str, view: WorkerView) -> bool:
        """Return whether a task of the template may start beside the tasks on the worker."""


class ReturnLimit(Protocol):
    """Interface of `EvacuationPlanner` that placement depends on."""

    def admits(self, view: WorkerView) -> bool:
        """Return whether a worker in a returning data centre may take another task."""


@attrs.frozen
class _Reservation:
    key: TaskKey
    worker_id: str
    until: timedelta


@attrs.frozen
class _PendingStarts:
    """Starts that the last load report of a worker does not include yet."""

    reported: Resources
    unreported: Resources


class Placement:
    """Rank workers for tasks. Thread-safe.

    :param clock: source of monotonic time.
    :param sizes: learned task sizes; observed usage is recorded there.
    :param quotas: account quotas; accounts are not limited when omitted.
    :param interferences: interference costs; the cost is 0 when omitted.
    :param return_limit: limit on starts in a returning data centre; unlimited when omitted.
    :param source: name of the shard to which starts are charged.
    :param seed: seed for tie breaking and sampling.
    """

    def __init__(
        self,
        clock: Clock,
        sizes: SizeEstimator | None = None,
        quotas: Quotas | None = None,
        interferences: InterferenceCost | None = None,
        return_limit: ReturnLimit | None = None,
        source: str = "",
        seed: int = 0,
    ):
        self.sizes = sizes or SizeEstimator()
        self._clock = clock
        self._quotas = quotas
        self._interferences = interferences
        self._return_limit = return_limit
        self._source = source
        self._random = random.Random(seed)
        self._lock = threading.RLock()
        self._explanations: OrderedDict[TaskKey, str] = OrderedDict()
        self._waiting_since: OrderedDict[TaskKey, timedelta] = OrderedDict()
        self._reservation: _Reservation | None = None
        self._pending_starts: dict[str, _PendingStarts] = {}

    def observe(self, template: str, usage: Resources) -> None:
        """Record reported usage of a running task."""
        with self._lock:
            self.sizes.observe(template, usage)

    def order(self, items: Iterable[PlacementItem]) -> list[PlacementItem]:
        """Sort waiting tasks into the order in which to place them.

        Urgent tasks come first, then the task that holds the reservation, then tasks of the
        accounts with the lowest used share of their quota, then the oldest tasks. Larger tasks
        get a bounded head start.
        """
        items = list(items)
        with self._lock:
            used_shares: dict[str, float] = {}
            for item in items:
                if item.account not in used_shares and self._quotas is not None:
                    used_shares[item.account] = self._quotas.used_share(item.account)
            holder = self._reservation.key if self._reservation else None
            largest = max((self._cpu_millis(item) for item in items), default=0) or 1

            def sort_key(indexed: tuple[int, PlacementItem]) -> tuple[bool, bool, float, float]:
                position, item = indexed
                head_start = SIZE_HEAD_START * self._cpu_millis(item) / largest
                return (
                    item.priority is not Priority.URGENT,
                    item.key != holder,
                    used_shares.get(item.account, 0.0),
                    position - head_start,
                )

            return [item for _, item in sorted(enumerate(items), key=sort_key)]

    def _cpu_millis(self, item: PlacementItem) -> int:
        return self.sizes.size(item.template, item.resources).cpu_millis

    def rank(self, item: PlacementItem, workers: Sequence[WorkerView]) -> list[RankedWorker]:
        """Rank the workers on which to try a reservation, best first.

        :param item: the task.
        :param workers: all known workers.
        :returns: at most `MAX_RANKED` workers; when empty, `explain` returns the reason.
        """
        with self._lock:
            size = self.sizes.size(item.template, item.resources)
            # Only operators can make a template urgent, so urgent tasks may exceed the quota.
            if self._quotas is not None and item.priority is not Priority.URGENT:
                decision = self._quotas.decide(item.account, size)
                if not decision.allowed:
                    self._record_explanation(item.key, f"waits: {decision.reason}")
                    return []
            ranked = self._rank(item, size, self._sample_workers(workers))
            if not ranked and len(workers) > SAMPLE_THRESHOLD:
                ranked = self._rank(item, size, workers)
            if ranked:
                self._record_explanation(item.key, f"{ranked[0].worker_id}: {ranked[0].reason}")
                return ranked
            self._record_wait(item, size, workers)
            return []

    def record_start(
        self, item: PlacementItem, worker_id: str, free: Resources | None = None
    ) -> None:
        """Account for a start until the next load and quota reports include it.

        :param item: the task.
        :param worker_id: worker that granted the reservation.
        :param free: reported free capacity at the time of the ranking; the size is subtracted
            from it until the worker reports another amount.
        """
        with self._lock:
            size = self.sizes.size(item.template, item.resources)
            self._forget(item.key)
            if self._quotas is not None:
                self._quotas.charge(self._source, item.account, size)
            if free is None:
                return
            pending = self._pending_starts.get(worker_id)
            unreported = pending.unreported if pending and pending.reported == free else Resources()
            self._pending_starts[worker_id] = _PendingStarts(free, unreported + size)

    def forget_task(self, key: TaskKey) -> None:
        """Drop the state of a waiting task, including its reservation and explanation."""
        with self._lock:
            self._forget(key)
            self._explanations.pop(key, None)

    def explain(self, key: TaskKey) -> str:
        """Return why the task was placed on its worker, or why it waits."""
        with self._lock:
            return self._explanations.get(key, "not ranked yet")

    def reserved_worker(self) -> str:
        """Return the id of the worker reserved for a large task, or an empty string."""
        with self._lock:
            self._expire()
            return self._reservation.worker_id if self._reservation else ""

    def _sample_workers(self, workers: Sequence[WorkerView]) -> Sequence[WorkerView]:
        if len(workers) <= SAMPLE_THRESHOLD:
            return workers
        return self._random.sample(workers, SAMPLE_SIZE)

    def _rank(
        self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView]
    ) -> list[RankedWorker]:
        feasible = [view for view in workers if not self._infeasible_reason(item, size, view)]
        if not feasible:
            return []
        distribution = _Distribution(item.template, workers)
        costed = [self._candidate(item, size, view, distribution) for view in feasible]
        return heapq.nsmallest(MAX_RANKED, costed, key=lambda ranked: ranked.cost)

    def _infeasible_reason(self, item: PlacementItem, size: Resources, view: WorkerView) -> str:
        """Return the reason why the task may not start on the worker, or an empty string."""
        worker_id = view.description.worker_id
        if not view.data_centre_in:
            return "data centre is out"
        if view.load.leaving:
            return "worker is leaving"
        if view.quarantined:
            return "worker is quarantined"
        if worker_id in item.avoid:
            return "task failed there"
        if not size.fits(self._free(view)):
            return "no room"
        if item.priority is Priority.URGENT:
            return ""
        if self._is_reserved(item, worker_id):
            return "worker is reserved for a large task"
        if _keeps_headroom(worker_id) and not size.fits(self._free(view) - _urgent_headroom(view)):
            return "room is kept for urgent tasks"
        if self._return_limit is not None and not self._return_limit.admits(view):
            return "data centre is returning"
        if self._interferences is not None and not self._interferences.admits(item.template, view):
            return "interference"
        return ""

    def _free(self, view: WorkerView) -> Resources:
        worker_id = view.description.worker_id
        pending = self._pending_starts.get(worker_id)
        if pending is None:
            return view.load.free
        if pending.reported != view.load.free:
            del self._pending_starts[worker_id]
            return view.load.free
        return view.load.free - pending.unreported

    def _candidate(
        self, item: PlacementItem, size: Resources, view: WorkerView, distribution: "_Distribution"
    ) -> RankedWorker:
        interference = 0.0
        if self._interferences is not None:
            interference = self._interferences.cost(item.template, view)
        load = _load_after(view.description.capacity, self._free(view), size)
        concentration = distribution.cost(view)
        cost = class_cost(profile_of(item.task_class), interference, load, concentration)
        cost += self._random.random() * MAX_JITTER_COST
        reason = f"interference {interference:.2f}, load {load:.2f}, spread {concentration:.2f}"
        return RankedWorker(view.description.worker_id, cost, size, reason)

    def _is_reserved(self, item: PlacementItem, worker_id: str) -> bool:
        self._expire()
        active = self._reservation
        return active is not None and active.worker_id == worker_id and active.key != item.key

    def _expire(self) -> None:
        if self._reservation and self._clock.monotonic() >= self._reservation.until:
            key = self._reservation.key
            self._reservation = None
            # Restart the wait of this task, so that the next oldest large task can reserve.
            if key in self._waiting_since:
                self._waiting_since[key] = self._clock.monotonic()
                self._waiting_since.move_to_end(key)

    def _record_wait(
        self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView]
    ) -> None:
        now = self._clock.monotonic()
        reasons = Counter(self._infeasible_reason(item, size, view) for view in workers)
        summary = ", ".join(f"{reason} ({count})" for reason, count in reasons.most_common())
        self._record_explanation(item.key, f"waits: {summary or 'no workers known'}")
        if not reasons["no room"] and not reasons["room is kept for urgent tasks"]:
            return
        since = self._waiting_since.setdefault(item.key, now)
        if len(self._waiting_since) > MAX_EXPLAINED:
            self._waiting_since.popitem(last=False)
        if self._reservation is None and now - since >= LARGE_WAIT:
            self._reserve(item, size, workers, now)

    def _reserve(
        self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView], now: timedelta
    ) -> None:
        """Reserve the worker that has to free the least capacity, for the oldest large task."""
        if next(iter(self._waiting_since)) != item.key:
            return
        usable = [
            view
            for view in workers
            if view.data_centre_in
            and not view.load.leaving
            and not view.quarantined
            and view.description.worker_id not in item.avoid
            and size.fits(view.description.capacity)
        ]
        if not usable:
            return
        best = min(usable, key=lambda view: _shortfall(size, view))
        worker_id = best.description.worker_id
        self._reservation = _Reservation(item.key, worker_id, now + RESERVATION_LIFETIME)
        self._record_explanation(item.key, f"waits: {worker_id} is reserved until the task fits")

    def _forget(self, key: TaskKey) -> None:
        self._waiting_since.pop(key, None)
        if self._reservation and self._reservation.key == key:
            self._reservation = None

    def _record_explanation(self, key: TaskKey, reason: str) -> None:
        self._explanations[key] = reason
        self._explanations.move_to_end(key)
        if len(self._explanations) > MAX_EXPLAINED:
            self._explanations.popitem(last=False)


class _Distribution:
    """Distribution of the running tasks of a template over racks and data centres."""

    def __init__(self, template: str, workers: Sequence[WorkerView]):
        self._racks: Counter[tuple[str, str]] = Counter()
        self._data_centres: Counter[str] = Counter()
        self._total = 0
        for view in workers:
            count = view.running.count(template)
            if not count:
                continue
            description = view.description
            self._racks[description.data_centre, description.rack] += count
            self._data_centres[description.data_centre] += count
            self._total += count

    def cost(self, view: WorkerView) -> float:
        if not self._total:
            return 0.0
        description = view.description
        rack = self._racks[description.data_centre, description.rack]
        data_centre = self._data_centres[description.data_centre]
        return (RACK_COST * rack + DATA_CENTRE_COST * data_centre) / self._total


@singledispatch
def class_cost(profile: object, interference: float, load: float, concentration: float) -> float:
    """Return the placement cost of a worker for a task of a class.

    :param profile: profile of the task class.
    :param interference: expected slowdown; 1.0 is 100 %.
    :param load: share of the worker in use after the start, from 0 to 1.
    :param concentration: cost of concentration in one rack and data centre.
    :returns: cost; lower is better.
    """
    raise TypeError(f"no placement cost is defined for {type(profile).__name__}")


@class_cost.register
def _batch_cost(
    profile: BatchProfile, interference: float, load: float, concentration: float
) -> float:
    return interference + LOAD_COST * load + concentration


@class_cost.register
def _watch_cost(
    profile: WatchProfile, interference: float, load: float, concentration: float
) -> float:
    # A watch runs for days, so concentration matters more than the current load.
    return interference + 0.5 * LOAD_COST * load + 3.0 * concentration


@class_cost.register
def _service_cost(
    profile: ServiceProfile, interference: float, load: float, concentration: float
) -> float:
    # A service is slowed by colocated tasks itself, and must survive the loss of a rack.
    return 2.0 * interference + 2.0 * LOAD_COST * load + 3.0 * concentration


@functools.lru_cache(maxsize=4096)
def _keeps_headroom(worker_id: str) -> bool:
    return zlib.crc32(worker_id.encode()) % HEADROOM_MODULUS == 0


def _urgent_headroom(view: WorkerView) -> Resources:
    """Return the capacity that normal tasks leave free on a worker that keeps headroom."""
    capacity = view.description.capacity
    return Resources(
        int(capacity.cpu_millis * HEADROOM_SHARE), int(capacity.memory_mb * HEADROOM_SHARE), 0, 1
    )


def _load_after(capacity: Resources, free: Resources, size: Resources) -> float:
    remaining = (free - size).amounts()
    return max(
        (
            1.0 - left / total
            for left, total in zip(remaining, capacity.amounts(), strict=True)
            if total
        ),
        default=0.0,
    )


def _shortfall(size: Resources, view: WorkerView) -> float:
    """Return the free capacity that the size lacks, as a sum of shares of the worker's capacity."""
    amounts = zip(
        size.amounts(),
        view.load.free.amounts(),
        view.description.capacity.amounts(),
        strict=True,
    )
    return sum(max(0, needed - free) / total for needed, free, total in amounts if total)

"""Choice of worker for a task."""

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
from .sizes import SizeBook

MAX_RANKED = 4
"""Workers offered for one task; a task refused by all of them is ranked again with fresh loads."""

SAMPLE_THRESHOLD = 24
"""Fleets up to this size are ranked whole."""

SAMPLE_SIZE = 16
"""Workers looked at in a larger fleet, so that the cost of a start does not grow with the fleet."""

LARGE_WAIT = timedelta(seconds=5)
"""A task that fitted nowhere for this long is large and may reserve a worker."""

RESERVATION_LIFETIME = timedelta(seconds=120)
"""A reservation that has not brought room by then is released, so it cannot idle a worker."""

SIZE_HEAD_START = 60
"""Positions in the queue that the largest task may overtake, smaller ones in proportion.

Slots are scarce, so a slot should get as much work as fits; the bound keeps small tasks from
starving.
"""

HEADROOM_MODULUS = 4
"""One worker in so many keeps room for urgent tasks, which start within 1 s in a full fleet."""

HEADROOM_SHARE = 0.05
"""Share of the processors and memory of such a worker that is kept, besides one slot."""

LOAD_PRICE = 0.3
"""Price of a full worker against an empty one."""

RACK_PRICE = 0.1
"""Price of having all tasks of the template in one rack."""

DATA_CENTRE_PRICE = 0.1
"""Price of having all tasks of the template in one data centre."""

JITTER_PRICE = 0.02
"""Breaks ties at random, so that shard owners do not all choose the same worker."""

MAX_EXPLAINED = 10_000
"""Explanations kept; the oldest are dropped."""


@attrs.frozen
class PlacementItem:
    """A task to be placed.

    :param key: the task.
    :param template: name of its template.
    :param account: client account that pays for it.
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
class Ranked:
    """A worker on which to try a reservation.

    :param worker_id: the worker.
    :param price: lower is better; 1.0 is about a slowdown of 100 %.
    :param resources: size to reserve.
    :param reason: one short sentence.
    """

    worker_id: str
    price: float
    resources: Resources
    reason: str


class InterferencePrice(Protocol):
    """Part of `Interferences` that the placement uses."""

    def price(self, template: str, view: WorkerView) -> float:
        """Return the expected slowdown caused by one more task of the template."""

    def admits(self, template: str, view: WorkerView) -> bool:
        """Return whether a task of the template may start next to what runs there."""


class ReturnPace(Protocol):
    """Part of `Evacuations` that the placement uses."""

    def admits(self, view: WorkerView) -> bool:
        """Return whether a worker of a returning data centre may take another task."""


@attrs.frozen
class _Reservation:
    key: TaskKey
    worker_id: str
    until: timedelta


@attrs.frozen
class _Assumed:
    seen: Resources
    taken: Resources


class Placement:
    """Ranks workers for tasks. Safe for use by several threads.

    :param clock: source of time.
    :param sizes: learned sizes; usage is recorded there.
    :param quotas: quotas of the accounts; without them accounts are not limited.
    :param interferences: price of interference; without it the price is 0.
    :param pace: pace of a returning data centre; without it there is none.
    :param source: name of the shard for which starts are charged.
    :param seed: seed of tie breaks and samples.
    """

    def __init__(
        self,
        clock: Clock,
        sizes: SizeBook | None = None,
        quotas: Quotas | None = None,
        interferences: InterferencePrice | None = None,
        pace: ReturnPace | None = None,
        source: str = "",
        seed: int = 0,
    ):
        self.sizes = sizes or SizeBook()
        self._clock = clock
        self._quotas = quotas
        self._interferences = interferences
        self._pace = pace
        self._source = source
        self._random = random.Random(seed)
        self._lock = threading.RLock()
        self._explained: OrderedDict[TaskKey, str] = OrderedDict()
        self._waiting_since: OrderedDict[TaskKey, timedelta] = OrderedDict()
        self._reservation: _Reservation | None = None
        self._assumed: dict[str, _Assumed] = {}

    def observe(self, template: str, usage: Resources) -> None:
        """Record reported usage of a running task."""
        with self._lock:
            self.sizes.observe(template, usage)

    def order(self, items: Iterable[PlacementItem]) -> list[PlacementItem]:
        """Return waiting tasks in the order to place them.

        Urgent tasks come first, then the holder of the reservation, then accounts by used share
        of their quota, then the oldest; larger tasks have a bounded head start.
        """
        items = list(items)
        with self._lock:
            shares: dict[str, float] = {}
            for item in items:
                if item.account not in shares and self._quotas is not None:
                    shares[item.account] = self._quotas.deficit(item.account)
            holder = self._reservation.key if self._reservation else None
            largest = max((self._cpu_millis(item) for item in items), default=0) or 1

            def sort_key(entry: tuple[int, PlacementItem]) -> tuple[bool, bool, float, float]:
                position, item = entry
                head_start = SIZE_HEAD_START * self._cpu_millis(item) / largest
                return (
                    item.priority is not Priority.URGENT,
                    item.key != holder,
                    shares.get(item.account, 0.0),
                    position - head_start,
                )

            return [item for _, item in sorted(enumerate(items), key=sort_key)]

    def _cpu_millis(self, item: PlacementItem) -> int:
        return self.sizes.size(item.template, item.resources).cpu_millis

    def rank(self, item: PlacementItem, workers: Sequence[WorkerView]) -> list[Ranked]:
        """Order workers on which to try a reservation, best first.

        :param item: the task.
        :param workers: all known workers.
        :returns: at most `MAX_RANKED` workers; empty when there is none, with the reason in
            `explain`.
        """
        with self._lock:
            size = self.sizes.size(item.template, item.resources)
            # Operators decide which templates are urgent, so urgent work may exceed a quota.
            if self._quotas is not None and item.priority is not Priority.URGENT:
                verdict = self._quotas.decide(item.account, size)
                if not verdict.allowed:
                    self._explain(item.key, f"waits: {verdict.reason}")
                    return []
            ranked = self._rank(item, size, self._sample(workers))
            if not ranked and len(workers) > SAMPLE_THRESHOLD:
                ranked = self._rank(item, size, workers)
            if ranked:
                self._explain(item.key, f"{ranked[0].worker_id}: {ranked[0].reason}")
                return ranked
            self._wait(item, size, workers)
            return []

    def started(self, item: PlacementItem, worker_id: str, free: Resources | None = None) -> None:
        """Count a start before the next load report and the next quota report.

        :param item: the task.
        :param worker_id: worker that granted the reservation.
        :param free: free capacity seen when the task was ranked; the size is subtracted from it
            until another amount is reported.
        """
        with self._lock:
            size = self.sizes.size(item.template, item.resources)
            self._forget(item.key)
            if self._quotas is not None:
                self._quotas.charge(self._source, item.account, size)
            if free is None:
                return
            known = self._assumed.get(worker_id)
            taken = known.taken if known and known.seen == free else Resources()
            self._assumed[worker_id] = _Assumed(free, taken + size)

    def cancelled(self, key: TaskKey) -> None:
        """Drop what is known about a waiting task, including its reservation."""
        with self._lock:
            self._forget(key)
            self._explained.pop(key, None)

    def explain(self, key: TaskKey) -> str:
        """Return why the task was placed where it is, or why it waits."""
        with self._lock:
            return self._explained.get(key, "not ranked yet")

    def reserved_worker(self) -> str:
        """Return the worker reserved for the oldest large task, or an empty string."""
        with self._lock:
            self._expire()
            return self._reservation.worker_id if self._reservation else ""

    def _sample(self, workers: Sequence[WorkerView]) -> Sequence[WorkerView]:
        if len(workers) <= SAMPLE_THRESHOLD:
            return workers
        return self._random.sample(workers, SAMPLE_SIZE)

    def _rank(
        self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView]
    ) -> list[Ranked]:
        feasible = [view for view in workers if not self._obstacle(item, size, view)]
        if not feasible:
            return []
        spread = _Spread(item.template, workers)
        priced = [self._price(item, size, view, spread) for view in feasible]
        return heapq.nsmallest(MAX_RANKED, priced, key=lambda ranked: ranked.price)

    def _obstacle(self, item: PlacementItem, size: Resources, view: WorkerView) -> str:
        """Return why the task may not start on the worker, or an empty string."""
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
        if self._pace is not None and not self._pace.admits(view):
            return "data centre is returning"
        if self._interferences is not None and not self._interferences.admits(item.template, view):
            return "interference"
        return ""

    def _free(self, view: WorkerView) -> Resources:
        worker_id = view.description.worker_id
        assumed = self._assumed.get(worker_id)
        if assumed is None:
            return view.load.free
        if assumed.seen != view.load.free:
            del self._assumed[worker_id]
            return view.load.free
        return view.load.free - assumed.taken

    def _price(
        self, item: PlacementItem, size: Resources, view: WorkerView, spread: "_Spread"
    ) -> Ranked:
        interference = 0.0
        if self._interferences is not None:
            interference = self._interferences.price(item.template, view)
        load = _load_after(view.description.capacity, self._free(view), size)
        place = spread.price(view)
        price = class_price(profile_of(item.task_class), interference, load, place)
        price += self._random.random() * JITTER_PRICE
        reason = f"interference {interference:.2f}, load {load:.2f}, spread {place:.2f}"
        return Ranked(view.description.worker_id, price, size, reason)

    def _is_reserved(self, item: PlacementItem, worker_id: str) -> bool:
        self._expire()
        held = self._reservation
        return held is not None and held.worker_id == worker_id and held.key != item.key

    def _expire(self) -> None:
        if self._reservation and self._clock.monotonic() >= self._reservation.until:
            key = self._reservation.key
            self._reservation = None
            # The wait starts anew, so that the next oldest large task gets its turn.
            if key in self._waiting_since:
                self._waiting_since[key] = self._clock.monotonic()
                self._waiting_since.move_to_end(key)

    def _wait(self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView]) -> None:
        now = self._clock.monotonic()
        obstacles = Counter(self._obstacle(item, size, view) for view in workers)
        text = ", ".join(f"{reason} ({count})" for reason, count in obstacles.most_common())
        self._explain(item.key, f"waits: {text or 'no workers known'}")
        if not obstacles["no room"] and not obstacles["room is kept for urgent tasks"]:
            return
        since = self._waiting_since.setdefault(item.key, now)
        if len(self._waiting_since) > MAX_EXPLAINED:
            self._waiting_since.popitem(last=False)
        if self._reservation is None and now - since >= LARGE_WAIT:
            self._reserve(item, size, workers, now)

    def _reserve(
        self, item: PlacementItem, size: Resources, workers: Sequence[WorkerView], now: timedelta
    ) -> None:
        """Reserve the worker with the least to drain for the oldest waiting large task."""
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
        best = min(usable, key=lambda view: _missing(size, view))
        worker_id = best.description.worker_id
        self._reservation = _Reservation(item.key, worker_id, now + RESERVATION_LIFETIME)
        self._explain(item.key, f"waits: {worker_id} is reserved until the task fits")

    def _forget(self, key: TaskKey) -> None:
        self._waiting_since.pop(key, None)
        if self._reservation and self._reservation.key == key:
            self._reservation = None

    def _explain(self, key: TaskKey, reason: str) -> None:
        self._explained[key] = reason
        self._explained.move_to_end(key)
        if len(self._explained) > MAX_EXPLAINED:
            self._explained.popitem(last=False)


class _Spread:
    """Shares of the running tasks of a template by rack and data centre."""

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

    def price(self, view: WorkerView) -> float:
        if not self._total:
            return 0.0
        description = view.description
        rack = self._racks[description.data_centre, description.rack]
        data_centre = self._data_centres[description.data_centre]
        return (RACK_PRICE * rack + DATA_CENTRE_PRICE * data_centre) / self._total


@singledispatch
def class_price(profile: object, interference: float, load: float, spread: float) -> float:
    """Return the price of a worker for a task of a class.

    :param profile: class of the task.
    :param interference: expected slowdown.
    :param load: share of the worker in use after the start.
    :param spread: price of concentration in one rack and data centre.
    :returns: price; lower is better.
    """
    raise TypeError(f"no price for {type(profile).__name__}")


@class_price.register
def _batch_price(profile: BatchProfile, interference: float, load: float, spread: float) -> float:
    return interference + LOAD_PRICE * load + spread


@class_price.register
def _watch_price(profile: WatchProfile, interference: float, load: float, spread: float) -> float:
    # A watch stays for days: concentration hurts more than today's load.
    return interference + 0.5 * LOAD_PRICE * load + 3.0 * spread


@class_price.register
def _service_price(
    profile: ServiceProfile, interference: float, load: float, spread: float
) -> float:
    # A service suffers from its neighbours itself, and must survive a rack.
    return 2.0 * interference + 2.0 * LOAD_PRICE * load + 3.0 * spread


@functools.lru_cache(maxsize=4096)
def _keeps_headroom(worker_id: str) -> bool:
    return zlib.crc32(worker_id.encode()) % HEADROOM_MODULUS == 0


def _urgent_headroom(view: WorkerView) -> Resources:
    """Return the room that normal tasks leave free on a worker that keeps some."""
    capacity = view.description.capacity
    return Resources(
        int(capacity.cpu_millis * HEADROOM_SHARE), int(capacity.memory_mb * HEADROOM_SHARE), 0, 1
    )


def _load_after(capacity: Resources, free: Resources, size: Resources) -> float:
    rest = (free - size).amounts()
    return max(
        (1.0 - left / whole for left, whole in zip(rest, capacity.amounts(), strict=True) if whole),
        default=0.0,
    )


def _missing(size: Resources, view: WorkerView) -> float:
    """Return how much of the size is missing, as a sum of shares of the worker's capacity."""
    amounts = zip(
        size.amounts(),
        view.load.free.amounts(),
        view.description.capacity.amounts(),
        strict=True,
    )
    return sum(max(0, need - free) / whole for need, free, whole in amounts if whole)

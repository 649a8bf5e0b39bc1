"""Choice of a worker for a request to a service.

A request goes to the worker with the smaller expected completion time of a few that are drawn at
random. The estimate is made from the newest load report of the worker, the requests that this
process has in flight there, and the link. Drawing at random keeps several entries with the same
stale reports from sending all their requests to one worker that looks idle.
"""

import random
import threading
from collections import deque
from collections.abc import Mapping, Sequence
from datetime import timedelta

import attrs

from .clocks import Clock
from .configs import ServiceParameters, Template
from .models import WorkerLoad, WorkerView

LINK_PRICE_FACTOR = 2.0
"""A link counts as this many times its round trip, since links between data centres lose packets
and are paid for: a far worker must be faster by more than the delay alone."""

DEFAULT_LINK = timedelta(milliseconds=5)
"""One-way delay between two data centres that the settings do not name."""

REPORT_HALF_LIFE = timedelta(seconds=1)
"""Workers announce every second, so a report that is older by half is at least one message late."""

DRAWN = 2
DRAWN_REMOTE = 1
DRAWN_PER_CANDIDATE = 4

POOL_KEPT = timedelta(milliseconds=50)
"""Looking at all workers takes 1 ms with 800 of them; reports arrive once a second."""

UNKNOWN_SERVICE_TIME = timedelta(milliseconds=20)
"""Assumed where no worker has reported a service time yet."""

CAUTION_FACTOR = 1.5
"""A worker without a recent report is assumed to be slower than the average by this factor."""

MAX_PRESSURE = 4.0

PROBE_INTERVAL = timedelta(milliseconds=250)
"""A service whose workers all look too slow still gets a request this often. Service times are
measured on requests, so without any the estimate would never recover."""

AVOID_BASE = timedelta(milliseconds=50)
AVOID_LIMIT = timedelta(seconds=5)

LATENCY_WINDOW = 256
LATENCY_REFRESH = 32
HEDGE_PERCENTILE = 0.95

REASONS_KEPT = 20

STATE_KEPT = timedelta(minutes=5)
PRUNE_INTERVAL = timedelta(seconds=30)

_MS = timedelta(milliseconds=1)
_US = timedelta(microseconds=1)
_US_PER_MS = 1000


@attrs.frozen
class RouteChoice:
    """Result of a choice.

    :param worker_id: the chosen worker, or empty when the request is refused.
    :param hedge_after: time after which the request may be sent to a second worker, or None.
    :param reason: why, in words, for `explain` and for the refusal.
    :param expected: expected completion time of the chosen worker.
    """

    worker_id: str
    hedge_after: timedelta | None
    reason: str
    expected: timedelta = timedelta()


class Links:
    """Delays between data centres.

    :param one_way_ms: milliseconds by `"a/b"`, valid in both directions.
    :param default: one-way delay of a pair that is not named.
    """

    def __init__(self, one_way_ms: Mapping[str, float], default: timedelta = DEFAULT_LINK):
        self._default_us = default / _US
        self._one_way_us: dict[tuple[str, str], float] = {}
        for pair, delay_ms in one_way_ms.items():
            first, _, second = pair.partition("/")
            self._one_way_us[first, second] = delay_ms * _US_PER_MS
            self._one_way_us.setdefault((second, first), delay_ms * _US_PER_MS)

    def round_trip_us(self, source: str, target: str) -> float:
        """Return the delay there and back in microseconds; zero within a data centre."""
        if source == target:
            return 0.0
        return 2 * self._one_way_us.get((source, target), self._default_us)


@attrs.define
class _WorkerState:
    """What the router knows about one worker.

    :param load: newest report.
    :param seen_at: when the report arrived.
    :param view_load: report in the last view. Views may be older than the last reply, so only a
        view that carries another report than the view before counts as news.
    :param own: requests that this process has in flight there.
    :param others: requests of other entries by the newest report.
    :param failures: refusals and lost replies since the last answer.
    """

    load: WorkerLoad
    seen_at: timedelta
    view_load: WorkerLoad
    own: int = 0
    others: int = 0
    failures: int = 0
    avoid_until: timedelta = timedelta()

    def report(self, load: WorkerLoad, now: timedelta) -> None:
        self.load = load
        self.seen_at = now
        # The report counts the requests of this process too, which are known exactly.
        self.others = max(0, load.in_flight + load.queued - self.own)


@attrs.define
class _Service:
    """What the router knows about one service."""

    latencies: deque = attrs.field(factory=lambda: deque(maxlen=LATENCY_WINDOW))
    unsorted: int = 0
    hedge_us: float = 0.0
    reasons: deque = attrs.field(factory=lambda: deque(maxlen=REASONS_KEPT))
    last_probe: timedelta = -PROBE_INTERVAL


@attrs.frozen
class _Candidate:
    """Estimate for one worker, in microseconds."""

    view: WorkerView
    state: _WorkerState
    completion_us: float
    price_us: float
    age: timedelta

    @property
    def cost_us(self) -> float:
        return self.completion_us + self.price_us


@attrs.frozen
class _Average:
    """Means over the workers with recent reports, for workers without one."""

    service_us: float
    others: float


@attrs.frozen
class _Pool:
    """Workers that answer a service, as seen from one data centre.

    :param built_at: when the reports were taken in and the average was made.
    """

    workers: Sequence[WorkerView]
    source: str
    built_at: timedelta
    nearest: list[WorkerView]
    remote: list[WorkerView]
    average: _Average


class Router:
    """Chooses workers for the requests of one entry; safe for use by several threads.

    :param clock: source of monotonic time, for the age of reports.
    :param rng: seeded source of randomness.
    :param links: delays between data centres.
    :param half_life: age at which a report counts half.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        links: Links,
        half_life: timedelta = REPORT_HALF_LIFE,
    ):
        self._clock = clock
        self._rng = rng
        self._links = links
        self._half_life = half_life
        self._lock = threading.Lock()
        self._workers: dict[str, _WorkerState] = {}
        self._services: dict[str, _Service] = {}
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._next_prune = clock.monotonic() + PRUNE_INTERVAL

    def choose(
        self,
        service: Template,
        source_data_centre: str,
        workers: Sequence[WorkerView],
        deadline: timedelta,
        avoid: frozenset[str] = frozenset(),
    ) -> RouteChoice:
        """Choose a worker for one request.

        :param service: template of class `service`.
        :param source_data_centre: where the request is.
        :param workers: workers that answer the service and may receive requests; the same object
            may be passed again for a while, and must not be changed.
        :param deadline: time left.
        :param avoid: workers that this request has been sent to already.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._prune(now)
            pool = self._pool(service, source_data_centre, workers, now)
            drawn = self._draw(pool, avoid, now)
            if not drawn:
                tried = f"; {len(avoid)} were tried" if avoid else ""
                choice = _refusal(f"no worker in service answers {service.name}{tried}")
            else:
                choice = self._compare(service, pool, drawn, deadline, avoid, now)
            self._service(service.name).reasons.append(choice.reason)
            return choice

    def sent(self, worker_id: str) -> None:
        """Count a request that is about to be sent to a worker."""
        with self._lock:
            state = self._workers.get(worker_id)
            if state is not None:
                state.own += 1

    def answered(
        self, worker_id: str, service: str, latency: timedelta, load: WorkerLoad | None
    ) -> None:
        """Take in the answer to a request.

        :param worker_id: where it was sent.
        :param service: name of the template.
        :param latency: time from sending to the answer.
        :param load: load carried on the reply, or None.
        """
        with self._lock:
            state = self._ended(worker_id, load)
            if state is not None:
                state.failures = 0
                state.avoid_until = timedelta()
            self._record_latency(service, latency)

    def failed(self, worker_id: str, load: WorkerLoad | None = None) -> None:
        """Take in a refusal or a lost reply; the worker is avoided for a growing time."""
        with self._lock:
            state = self._ended(worker_id, load)
            if state is None:
                return
            pause = min(AVOID_BASE * 2 ** min(state.failures, 20), AVOID_LIMIT)
            # Jitter keeps the requests of all entries from returning at the same moment.
            state.avoid_until = self._clock.monotonic() + pause * self._rng.uniform(0.5, 1.0)
            state.failures += 1

    def in_flight(self, worker_id: str) -> int:
        """Return the requests of this process at a worker."""
        with self._lock:
            state = self._workers.get(worker_id)
            return state.own if state is not None else 0

    def explain(self, service: str) -> list[str]:
        """Return the reasons of the newest choices for a service, oldest first."""
        with self._lock:
            known = self._services.get(service)
            return list(known.reasons) if known is not None else []

    def _compare(
        self,
        service: Template,
        pool: _Pool,
        drawn: Sequence[WorkerView],
        deadline: timedelta,
        avoid: frozenset[str],
        now: timedelta,
    ) -> RouteChoice:
        def estimate(view: WorkerView) -> _Candidate:
            return self._estimate(view, service.parameters, pool, now)

        candidates = [estimate(view) for view in drawn]
        best = min(candidates, key=lambda candidate: candidate.cost_us)
        if best.completion_us * _US <= deadline:
            return self._chosen(service, best, candidates, deadline, "")
        every = [estimate(view) for view in self._usable(pool.workers, avoid, now)] or candidates
        best = min(every, key=lambda candidate: candidate.completion_us)
        if best.completion_us * _US <= deadline:
            return self._chosen(service, best, every, deadline, ", as those drawn were too slow")
        state = self._service(service.name)
        if deadline > timedelta() and now - state.last_probe >= PROBE_INTERVAL:
            state.last_probe = now
            return self._chosen(service, best, every, deadline, ", as a probe")
        return _refusal(
            f"{deadline / _MS:.0f} ms are left and the best of {len(every)} workers, "
            f"{best.view.description.worker_id}, is expected to take "
            f"{best.completion_us / _US_PER_MS:.0f} ms"
        )

    def _pool(
        self, service: Template, source: str, workers: Sequence[WorkerView], now: timedelta
    ) -> _Pool:
        """Return the workers by distance; kept for a moment, since it looks at all of them."""
        key = (service.name, source)
        pool = self._pools.get(key)
        if pool is None or pool.workers is not workers or now - pool.built_at > POOL_KEPT:
            pool = self._pools[key] = self._build_pool(source, workers, now)
        return pool

    def _build_pool(self, source: str, workers: Sequence[WorkerView], now: timedelta) -> _Pool:
        by_distance: dict[float, list[WorkerView]] = {}
        for view in workers:
            self._take_report(view, now)
            distance = self._links.round_trip_us(source, view.description.data_centre)
            by_distance.setdefault(distance, []).append(view)
        nearest = by_distance.pop(min(by_distance)) if by_distance else []
        remote = [view for views in by_distance.values() for view in views]
        return _Pool(workers, source, now, nearest, remote, self._average(workers, now))

    def _take_report(self, view: WorkerView, now: timedelta) -> None:
        worker_id = view.description.worker_id
        state = self._workers.get(worker_id)
        if state is None:
            state = self._workers[worker_id] = _WorkerState(view.load, now, view.load)
            state.report(view.load, now)
        elif view.load is not state.view_load:
            state.view_load = view.load
            if view.load is not state.load:
                state.report(view.load, now)

    def _state(self, view: WorkerView) -> _WorkerState:
        return self._workers[view.description.worker_id]

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())

    def _draw(self, pool: _Pool, avoid: frozenset[str], now: timedelta) -> list[WorkerView]:
        """Draw from the nearest data centre, and from all others to notice when it is full."""
        drawn = self._sample(pool.nearest, DRAWN, avoid, now)
        drawn += self._sample(pool.remote, DRAWN_REMOTE, avoid, now)
        return drawn or [v for v in pool.workers if v.description.worker_id not in avoid]

    def _sample(
        self, views: Sequence[WorkerView], count: int, avoid: frozenset[str], now: timedelta
    ) -> list[WorkerView]:
        # Some of those drawn may have been tried or be in back-off, so more are drawn.
        size = min(len(views), DRAWN_PER_CANDIDATE * count + len(avoid))
        return self._usable(self._rng.sample(views, size), avoid, now)[:count]

    def _usable(
        self, views: Sequence[WorkerView], avoid: frozenset[str], now: timedelta
    ) -> list[WorkerView]:
        return [
            view
            for view in views
            if view.description.worker_id not in avoid and self._state(view).avoid_until <= now
        ]

    def _average(self, views: Sequence[WorkerView], now: timedelta) -> _Average:
        fresh = [s for s in map(self._state, views) if now - s.seen_at <= 2 * self._half_life]
        times = [s.load.service_time_us for s in fresh if s.load.service_time_us > 0]
        service_us = sum(times) / len(times) if times else UNKNOWN_SERVICE_TIME / _US
        others = sum(s.others for s in fresh) / len(fresh) if fresh else 1.0
        return _Average(service_us, others)

    def _estimate(
        self,
        view: WorkerView,
        parameters: ServiceParameters,
        pool: _Pool,
        now: timedelta,
    ) -> _Candidate:
        state = self._state(view)
        average = pool.average
        age = now - state.seen_at
        weight = 0.5 ** (age / self._half_life)
        cautious_us = CAUTION_FACTOR * average.service_us
        reported_us = state.load.service_time_us or cautious_us
        service_us = weight * reported_us + (1 - weight) * max(cautious_us, reported_us)
        cautious_others = max(state.others, CAUTION_FACTOR * average.others + 1)
        others = weight * state.others + (1 - weight) * cautious_others
        pressure = min(max(state.load.pressure_permille / 1000, 1.0), MAX_PRESSURE)
        rounds = 1 + (others + state.own) / parameters.max_in_flight
        link_us = self._links.round_trip_us(pool.source, view.description.data_centre)
        return _Candidate(
            view=view,
            state=state,
            completion_us=link_us + service_us * pressure * rounds,
            price_us=link_us * (LINK_PRICE_FACTOR - 1),
            age=age,
        )

    def _chosen(
        self,
        service: Template,
        best: _Candidate,
        compared: list[_Candidate],
        deadline: timedelta,
        note: str,
    ) -> RouteChoice:
        reason = f"best of {len(compared)}{note}: " + _words(best)
        others = [candidate for candidate in compared if candidate is not best][:2]
        if others:
            reason += "; not " + "; not ".join(map(_words, others))
        return RouteChoice(
            worker_id=best.view.description.worker_id,
            hedge_after=self._hedge_after(service, deadline),
            reason=reason,
            expected=best.completion_us * _US,
        )

    def _hedge_after(self, service: Template, deadline: timedelta) -> timedelta | None:
        parameters = service.parameters
        if not parameters.idempotent or parameters.hedge_after_ms == 0:
            return None
        usual_us = self._service(service.name).hedge_us
        delay = max(parameters.hedge_after_ms * _MS, usual_us * _US)
        # A hedge that starts in the last half of the time left would rarely be in time.
        return delay if delay <= deadline / 2 else None

    def _record_latency(self, name: str, latency: timedelta) -> None:
        service = self._service(name)
        service.latencies.append(latency / _US)
        service.unsorted += 1
        if service.unsorted >= LATENCY_REFRESH:
            service.unsorted = 0
            ordered = sorted(service.latencies)
            service.hedge_us = ordered[int(HEDGE_PERCENTILE * (len(ordered) - 1))]

    def _ended(self, worker_id: str, load: WorkerLoad | None) -> _WorkerState | None:
        state = self._workers.get(worker_id)
        if state is None:
            return None
        state.own = max(0, state.own - 1)
        if load is not None:
            state.report(load, self._clock.monotonic())
        return state

    def _prune(self, now: timedelta) -> None:
        if now < self._next_prune:
            return
        self._next_prune = now + PRUNE_INTERVAL
        self._pools = {}
        self._workers = {
            worker_id: state
            for worker_id, state in self._workers.items()
            if state.own or now - state.seen_at < STATE_KEPT
        }


def _refusal(reason: str) -> RouteChoice:
    return RouteChoice("", None, reason)


def _words(candidate: _Candidate) -> str:
    description = candidate.view.description
    text = (
        f"{description.worker_id} in {description.data_centre}, expected "
        f"{candidate.completion_us / _US_PER_MS:.1f} ms, "
        f"{candidate.state.own} own and {candidate.state.others} other requests, "
        f"report {candidate.age / _MS:.0f} ms old"
    )
    if candidate.price_us:
        text += f", link price {candidate.price_us / _US_PER_MS:.1f} ms"
    return text

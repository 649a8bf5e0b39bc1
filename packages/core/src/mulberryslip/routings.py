"""Routing of service requests to workers.

Of a few workers sampled at random, a request goes to the one with the lowest expected completion
time. The estimate uses the newest load report of the worker, the requests that this process has in
flight there, and the link. Sampling keeps several entries with the same stale reports from sending
all their requests to one worker that looks idle.
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

LINK_COST_FACTOR = 2.0
"""Weight of the round trip of a link in the cost of a worker.

Links between data centres lose packets and are paid for, so a remote worker must be faster by
more than the delay alone.
"""

DEFAULT_LINK = timedelta(milliseconds=5)
"""One-way delay between two data centres that the settings do not name."""

REPORT_HALF_LIFE = timedelta(seconds=1)
"""Age at which a report counts half.

Workers announce every second, so a report that is older by half is at least one message late.
"""

NEAREST_SAMPLE_SIZE = 2
REMOTE_SAMPLE_SIZE = 1
OVERSAMPLING_FACTOR = 4

CANDIDATES_TTL = timedelta(milliseconds=50)
"""Time for which a set of candidates is cached.

Building it takes 1 ms with 800 workers, and reports arrive once a second.
"""

UNKNOWN_SERVICE_TIME = timedelta(milliseconds=20)
"""Service time assumed while no worker has reported one."""

STALE_REPORT_FACTOR = 1.5
"""Factor by which a worker without a recent report is assumed to be slower than the average."""

MAX_PRESSURE = 4.0

PROBE_INTERVAL = timedelta(milliseconds=250)
"""Interval of requests to a service whose workers are all expected to miss the deadline.

Service times are measured on requests, so without any the estimate would never recover.
"""

BACKOFF_BASE = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=5)

COMMON_OUTAGE_SHARE = 2 / 3
"""Share of a service's workers without any answer that shows a cause outside of them.

Once one of them answers again, the others are no longer in backoff. One that refuses a request has
a reason of its own.
"""

LATENCY_WINDOW = 256
LATENCY_REFRESH = 32
HEDGE_PERCENTILE = 0.95

MAX_REASONS = 20

WORKER_STATE_TTL = timedelta(minutes=5)
PRUNE_INTERVAL = timedelta(seconds=30)

_MS = timedelta(milliseconds=1)
_US = timedelta(microseconds=1)
_US_PER_MS = 1000


@attrs.frozen
class RouteChoice:
    """Routing decision for one request.

    :param worker_id: the chosen worker, or empty when the request is refused.
    :param hedge_after: time after which the request may be sent to a second worker, or None.
    :param reason: explanation of the decision, for `explain` and for the refusal.
    :param expected: expected completion time at the chosen worker.
    """

    worker_id: str
    hedge_after: timedelta | None
    reason: str
    expected: timedelta = timedelta()


class LinkDelays:
    """Network delays between data centres.

    :param one_way_ms: one-way delay in milliseconds by `"a/b"`, valid in both directions.
    :param default: one-way delay of a pair that is not named.
    """

    def __init__(self, one_way_ms: Mapping[str, float], default: timedelta = DEFAULT_LINK):
        self._default_us = default / _US
        self._one_way_us: dict[tuple[str, str], float] = {}
        for pair, delay_ms in one_way_ms.items():
            first, _, second = pair.partition("/")
            self._one_way_us[first, second] = delay_ms * _US_PER_MS
            self._one_way_us.setdefault((second, first), delay_ms * _US_PER_MS)

    def round_trip_us(self, source: str, destination: str) -> float:
        """Return the round-trip delay in microseconds; 0 within a data centre."""
        if source == destination:
            return 0.0
        return 2 * self._one_way_us.get((source, destination), self._default_us)


@attrs.define
class _WorkerState:
    """State of one worker in the router.

    :param load: newest load report.
    :param seen_at: monotonic time at which the report arrived.
    :param view_load: report in the last view. Views may be older than the last reply, so a view
        counts as a new report only when its load differs from that of the previous view.
    :param own_requests: requests that this process has in flight there.
    :param other_requests: requests of other entries according to the newest report.
    :param failures: refusals and lost replies since the last response.
    :param is_unreachable: whether the last failure came without an answer.
    :param backoff_until: monotonic time until which the worker is in backoff.
    """

    load: WorkerLoad
    seen_at: timedelta
    view_load: WorkerLoad
    own_requests: int = 0
    other_requests: int = 0
    failures: int = 0
    is_unreachable: bool = False
    backoff_until: timedelta = timedelta()

    def report(self, load: WorkerLoad, now: timedelta) -> None:
        self.load = load
        self.seen_at = now
        # The report includes the requests of this process, whose number is known exactly.
        self.other_requests = max(0, load.in_flight + load.queued - self.own_requests)


@attrs.define
class _Service:
    """Latencies, decisions and probes of one service."""

    latencies: deque = attrs.field(factory=lambda: deque(maxlen=LATENCY_WINDOW))
    new_latencies: int = 0
    hedge_after_us: float = 0.0
    reasons: deque = attrs.field(factory=lambda: deque(maxlen=MAX_REASONS))
    last_probe: timedelta = -PROBE_INTERVAL


@attrs.frozen
class _Candidate:
    """Estimate for one worker.

    :param completion_us: expected completion time in microseconds.
    :param link_cost_us: cost of the link in addition to its delay, in microseconds.
    :param age: age of the load report.
    """

    view: WorkerView
    state: _WorkerState
    completion_us: float
    link_cost_us: float
    age: timedelta

    @property
    def cost_us(self) -> float:
        return self.completion_us + self.link_cost_us


@attrs.frozen
class _Average:
    """Means over the workers with recent reports, used for workers without one.

    :param service_us: service time in microseconds.
    :param other_requests: requests of other entries.
    """

    service_us: float
    other_requests: float


@attrs.frozen
class _CandidateSet:
    """Workers that answer a service, grouped by distance from one data centre.

    :param built_at: monotonic time at which reports were recorded and the average was computed.
    """

    workers: Sequence[WorkerView]
    source: str
    built_at: timedelta
    nearest: list[WorkerView]
    remote: list[WorkerView]
    average: _Average


class Router:
    """Choose workers for the requests of one entry. Thread-safe.

    :param clock: source of monotonic time, for the age of reports.
    :param rng: seeded random number generator.
    :param links: delays between data centres.
    :param half_life: age at which a report counts half.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        links: LinkDelays,
        half_life: timedelta = REPORT_HALF_LIFE,
    ):
        self._clock = clock
        self._rng = rng
        self._links = links
        self._half_life = half_life
        self._lock = threading.Lock()
        self._workers: dict[str, _WorkerState] = {}
        self._services: dict[str, _Service] = {}
        self._candidate_sets: dict[tuple[str, str], _CandidateSet] = {}
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
        :param source_data_centre: data centre from which the request is sent.
        :param workers: workers that answer the service and may receive requests; the set of
            candidates is cached while the same object is passed, so it must not be modified.
        :param deadline: time left until the deadline.
        :param avoid: workers to which this request has already been sent.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._prune(now)
            candidate_set = self._candidate_set(service, source_data_centre, workers, now)
            sampled = self._sample_candidates(candidate_set, avoid, now)
            if not sampled:
                tried = f"; {len(avoid)} were tried" if avoid else ""
                choice = _refusal(f"no worker in service answers {service.name}{tried}")
            else:
                choice = self._choose_from(service, candidate_set, sampled, deadline, avoid, now)
            self._service(service.name).reasons.append(choice.reason)
            return choice

    def record_sent(self, worker_id: str) -> None:
        """Record that a request is about to be sent to a worker."""
        with self._lock:
            state = self._workers.get(worker_id)
            if state is not None:
                state.own_requests += 1

    def record_response(
        self, worker_id: str, service: str, latency: timedelta, load: WorkerLoad | None
    ) -> None:
        """Record the response to a request.

        :param worker_id: worker to which it was sent.
        :param service: name of the template.
        :param latency: time from sending to the response.
        :param load: load report in the reply, or None.
        """
        with self._lock:
            state = self._record_end(worker_id, load)
            if state is not None:
                if state.is_unreachable:
                    self._end_common_outage(service)
                state.failures = 0
                state.is_unreachable = False
                state.backoff_until = timedelta()
            self._record_latency(service, latency)

    def record_failure(self, worker_id: str, load: WorkerLoad | None = None) -> None:
        """Record a refusal or a lost reply; the worker is avoided with exponential backoff."""
        with self._lock:
            state = self._record_end(worker_id, load)
            if state is None:
                return
            backoff = min(BACKOFF_BASE * 2 ** min(state.failures, 20), MAX_BACKOFF)
            # Jitter keeps the entries from sending requests to the worker again at the same moment.
            state.backoff_until = self._clock.monotonic() + backoff * self._rng.uniform(0.5, 1.0)
            state.failures += 1
            state.is_unreachable = load is None

    def in_flight(self, worker_id: str) -> int:
        """Return the number of requests that this process has in flight at a worker."""
        with self._lock:
            state = self._workers.get(worker_id)
            return state.own_requests if state is not None else 0

    def explain(self, service: str) -> list[str]:
        """Return the reasons of the latest decisions for a service, oldest first."""
        with self._lock:
            known = self._services.get(service)
            return list(known.reasons) if known is not None else []

    def _choose_from(
        self,
        service: Template,
        candidate_set: _CandidateSet,
        sampled: Sequence[WorkerView],
        deadline: timedelta,
        avoid: frozenset[str],
        now: timedelta,
    ) -> RouteChoice:
        def estimate(view: WorkerView) -> _Candidate:
            return self._estimate(view, service.parameters, candidate_set, now)

        candidates = [estimate(view) for view in sampled]
        best = min(candidates, key=lambda candidate: candidate.cost_us)
        if best.completion_us * _US <= deadline:
            return self._route_choice(service, best, candidates, deadline, "")
        all_candidates = [
            estimate(view) for view in self._usable(candidate_set.workers, avoid, now)
        ] or candidates
        best = min(all_candidates, key=lambda candidate: candidate.completion_us)
        if best.completion_us * _US <= deadline:
            return self._route_choice(
                service, best, all_candidates, deadline, ", as those drawn were too slow"
            )
        state = self._service(service.name)
        if deadline > timedelta() and now - state.last_probe >= PROBE_INTERVAL:
            state.last_probe = now
            return self._route_choice(service, best, all_candidates, deadline, ", as a probe")
        return _refusal(
            f"{deadline / _MS:.0f} ms are left and the best of {len(all_candidates)} workers, "
            f"{best.view.description.worker_id}, is expected to take "
            f"{best.completion_us / _US_PER_MS:.0f} ms"
        )

    def _candidate_set(
        self, service: Template, source: str, workers: Sequence[WorkerView], now: timedelta
    ) -> _CandidateSet:
        """Return the candidates for a service and data centre, cached for `CANDIDATES_TTL`."""
        key = (service.name, source)
        candidate_set = self._candidate_sets.get(key)
        if (
            candidate_set is None
            or candidate_set.workers is not workers
            or now - candidate_set.built_at > CANDIDATES_TTL
        ):
            candidate_set = self._candidate_sets[key] = self._build_candidate_set(
                source, workers, now
            )
        return candidate_set

    def _build_candidate_set(
        self, source: str, workers: Sequence[WorkerView], now: timedelta
    ) -> _CandidateSet:
        by_distance: dict[float, list[WorkerView]] = {}
        for view in workers:
            self._record_view_load(view, now)
            distance = self._links.round_trip_us(source, view.description.data_centre)
            by_distance.setdefault(distance, []).append(view)
        nearest = by_distance.pop(min(by_distance)) if by_distance else []
        remote = [view for views in by_distance.values() for view in views]
        return _CandidateSet(workers, source, now, nearest, remote, self._average(workers, now))

    def _record_view_load(self, view: WorkerView, now: timedelta) -> None:
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

    def _sample_candidates(
        self, candidate_set: _CandidateSet, avoid: frozenset[str], now: timedelta
    ) -> list[WorkerView]:
        """Sample the nearest data centre, and all others to detect when it is full."""
        sampled = self._sample_usable(candidate_set.nearest, NEAREST_SAMPLE_SIZE, avoid, now)
        sampled += self._sample_usable(candidate_set.remote, REMOTE_SAMPLE_SIZE, avoid, now)
        return sampled or [v for v in candidate_set.workers if v.description.worker_id not in avoid]

    def _sample_usable(
        self, views: Sequence[WorkerView], count: int, avoid: frozenset[str], now: timedelta
    ) -> list[WorkerView]:
        # Sampled workers may have been tried or be in backoff, so sample more than needed.
        size = min(len(views), OVERSAMPLING_FACTOR * count + len(avoid))
        return self._usable(self._rng.sample(views, size), avoid, now)[:count]

    def _usable(
        self, views: Sequence[WorkerView], avoid: frozenset[str], now: timedelta
    ) -> list[WorkerView]:
        return [
            view
            for view in views
            if view.description.worker_id not in avoid and self._state(view).backoff_until <= now
        ]

    def _average(self, views: Sequence[WorkerView], now: timedelta) -> _Average:
        fresh = [s for s in map(self._state, views) if now - s.seen_at <= 2 * self._half_life]
        times = [s.load.service_time_us for s in fresh if s.load.service_time_us > 0]
        service_us = sum(times) / len(times) if times else UNKNOWN_SERVICE_TIME / _US
        other_requests = sum(s.other_requests for s in fresh) / len(fresh) if fresh else 1.0
        return _Average(service_us, other_requests)

    def _estimate(
        self,
        view: WorkerView,
        parameters: ServiceParameters,
        candidate_set: _CandidateSet,
        now: timedelta,
    ) -> _Candidate:
        state = self._state(view)
        average = candidate_set.average
        age = now - state.seen_at
        weight = 0.5 ** (age / self._half_life)
        pessimistic_us = STALE_REPORT_FACTOR * average.service_us
        reported_us = state.load.service_time_us or pessimistic_us
        service_us = weight * reported_us + (1 - weight) * max(pessimistic_us, reported_us)
        pessimistic_requests = max(
            state.other_requests, STALE_REPORT_FACTOR * average.other_requests + 1
        )
        other_requests = weight * state.other_requests + (1 - weight) * pessimistic_requests
        pressure = min(max(state.load.pressure_permille / 1000, 1.0), MAX_PRESSURE)
        service_rounds = 1 + (other_requests + state.own_requests) / parameters.max_in_flight
        link_us = self._links.round_trip_us(candidate_set.source, view.description.data_centre)
        return _Candidate(
            view=view,
            state=state,
            completion_us=link_us + service_us * pressure * service_rounds,
            link_cost_us=link_us * (LINK_COST_FACTOR - 1),
            age=age,
        )

    def _route_choice(
        self,
        service: Template,
        best: _Candidate,
        compared: list[_Candidate],
        deadline: timedelta,
        note: str,
    ) -> RouteChoice:
        reason = f"best of {len(compared)}{note}: " + _describe(best)
        rejected = [candidate for candidate in compared if candidate is not best][:2]
        if rejected:
            reason += "; not " + "; not ".join(map(_describe, rejected))
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
        percentile_us = self._service(service.name).hedge_after_us
        delay = max(parameters.hedge_after_ms * _MS, percentile_us * _US)
        # A hedge sent in the last half of the time left would rarely meet the deadline.
        return delay if delay <= deadline / 2 else None

    def _end_common_outage(self, service: str) -> None:
        """End the backoff of the workers that were unreachable if these are most of a service's.

        Their failures stay counted, so one that fails again is in backoff for as long as before.
        """
        for (name, _), candidate_set in self._candidate_sets.items():
            if name != service:
                continue
            states = [self._state(view) for view in candidate_set.workers]
            unreachable = [state for state in states if state.is_unreachable]
            if len(unreachable) >= COMMON_OUTAGE_SHARE * len(states):
                for state in unreachable:
                    state.backoff_until = timedelta()

    def _record_latency(self, name: str, latency: timedelta) -> None:
        service = self._service(name)
        service.latencies.append(latency / _US)
        service.new_latencies += 1
        if service.new_latencies >= LATENCY_REFRESH:
            service.new_latencies = 0
            ordered = sorted(service.latencies)
            service.hedge_after_us = ordered[int(HEDGE_PERCENTILE * (len(ordered) - 1))]

    def _record_end(self, worker_id: str, load: WorkerLoad | None) -> _WorkerState | None:
        state = self._workers.get(worker_id)
        if state is None:
            return None
        state.own_requests = max(0, state.own_requests - 1)
        if load is not None:
            state.report(load, self._clock.monotonic())
        return state

    def _prune(self, now: timedelta) -> None:
        if now < self._next_prune:
            return
        self._next_prune = now + PRUNE_INTERVAL
        self._candidate_sets = {}
        self._workers = {
            worker_id: state
            for worker_id, state in self._workers.items()
            if state.own_requests or now - state.seen_at < WORKER_STATE_TTL
        }


def _refusal(reason: str) -> RouteChoice:
    return RouteChoice("", None, reason)


def _describe(candidate: _Candidate) -> str:
    description = candidate.view.description
    text = (
        f"{description.worker_id} in {description.data_centre}, expected "
        f"{candidate.completion_us / _US_PER_MS:.1f} ms, "
        f"{candidate.state.own_requests} own and {candidate.state.other_requests} other requests, "
        f"report {candidate.age / _MS:.0f} ms old"
    )
    if candidate.link_cost_us:
        text += f", link price {candidate.link_cost_us / _US_PER_MS:.1f} ms"
    return text

"""Start of queued tasks: reserve capacity, read the configuration, commit, call the workers."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.configs import ConfigView, TaskParameters
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    ConfigError,
    JournalError,
    NotSentError,
    StoreError,
    WireError,
)
from mulberryslip.fleets import Fleet
from mulberryslip.jobs import Job
from mulberryslip.models import Attempt, Priority, Resources, TaskClass, TaskKey, WorkerView
from mulberryslip.placements import PlacementItem, RankedWorker
from mulberryslip.tasks import Task
from mulberryslip.transitions import (
    MAX_REASON_CHARS,
    AttemptStarted,
    AttemptSuspended,
    AttemptUnstarted,
    JobFailed,
)
from mulberryslip.wire.ttypes import (
    Outcome,
    ReserveItem,
    ReserveRequest,
    StartItem,
    StartRequest,
)
from mulberryslip.wire.ttypes import Resources as WireResources

from .explanations import Explanations
from .peers import WorkerExecutor
from .requests import load_from_wire
from .terms import (
    AttemptInfo,
    Channels,
    ShardTerm,
    address_of,
    attempt_of,
    ref_of,
)

MAX_STARTS_PER_ROUND = 128
"""Starts per scheduling round; a round takes about 40 ms at a latency of 4 ms to the workers."""

MAX_TASKS_PER_JOB_AND_ROUND = 64
"""Tasks of one job considered in one round, so that a large job does not starve the others."""

RESERVE_TIMEOUT = timedelta(milliseconds=400)
"""Longest wait for reservations in one round. An unresponsive worker must not delay an urgent start
beyond 1 s."""

UNANSWERED_AVOIDANCE = timedelta(seconds=2)
"""How long a worker that did not answer a reservation in time gets no tasks, unless no other worker
is available. Each round with a reservation on it would again wait until the timeout."""

FLEET_DISCOVERY_TIME = timedelta(seconds=30)
"""Time after which every live worker is assumed to have announced itself to this process."""

REFUSED_WORKER_AVOIDANCE = timedelta(milliseconds=500)
"""How long a task avoids a worker that refused to start it."""

CHECKPOINT_CONSUMED = "checkpoint_consumed"
"""Error code of the runtime for a checkpoint from which another attempt was already started."""


class TaskPlacement(Protocol):
    """The part of `placements.Placement` that `TaskStarter` needs."""

    def order(self, items: Iterable[PlacementItem]) -> list[PlacementItem]:
        """Return the items in placement order."""

    def rank(self, item: PlacementItem, workers: Sequence[WorkerView]) -> list[RankedWorker]:
        """Return the workers on which to try a reservation, best first."""

    def record_start(
        self, item: PlacementItem, worker_id: str, free: Resources | None = None
    ) -> None:
        """Record that a task was started on a worker."""

    def explain(self, key: TaskKey) -> str:
        """Return why a task waits."""

    def forget_task(self, key: TaskKey) -> None:
        """Drop the state of a waiting task, including its reservation."""


class ConfigProvider(Protocol):
    """The part of `sources.ConfigSource` that an owner needs."""

    def view(self) -> ConfigView | None:
        """Return the newest known configuration."""

    def refresh(self) -> ConfigView:
        """Read the configuration from the store."""

    def revision(self) -> int:
        """Return the newest known revision."""


@attrs.define
class _Candidate:
    item: PlacementItem
    attempt: Attempt
    ranked: RankedWorker
    requested_at: timedelta
    reservation_id: str = ""
    refusal: str = ""


class TaskStarter:
    """Start queued tasks during one ownership term; used by the scheduling thread.

    :param executor: runs the calls to workers.
    :param placement: chooses workers.
    :param source: the operators' configuration.
    :param record_possible_grant: called with the id of a worker that may just have received a
        start, which grants a lease.
    """

    def __init__(
        self,
        term: ShardTerm,
        fleet: Fleet,
        source: ConfigProvider,
        placement: TaskPlacement,
        channels: Channels,
        executor: WorkerExecutor,
        explanations: Explanations,
        clock: Clock,
        record_possible_grant: Callable[[str], None],
    ):
        self._record_possible_grant = record_possible_grant
        self._term = term
        self._fleet = fleet
        self._source = source
        self._placement = placement
        self._channels = channels
        self._executor = executor
        self._explanations = explanations
        self._clock = clock
        self._reservation_calls: dict[str, Future] = {}
        # End of the avoidance of each worker that did not answer a reservation in time.
        self._unresponsive: dict[str, timedelta] = {}
        # Expiry time of each (task, worker) pair that placement should avoid.
        self._avoided: dict[tuple[TaskKey, str], timedelta] = {}

    def step(self) -> int:
        """Run one scheduling round: start a batch of queued tasks.

        :returns: number of tasks whose start was committed.
        :raises JournalError: the commit failed; `unresolved` tells whether it may take effect.
        """
        candidates = self._select_candidates()
        if not candidates:
            return 0
        granted = self._reserve(candidates)
        allowed = self._check_data_centres(granted)
        started = self._commit(allowed)
        self._start(started)
        return len(started)

    def avoid(self, key: TaskKey, worker_id: str, duration: timedelta) -> None:
        """Keep a task off a worker for a while, unless no other worker is available.

        :param duration: how long the worker is avoided.
        """
        with self._term.lock:
            self._avoided[key, worker_id] = self._clock.monotonic() + duration

    # Choosing

    def _select_candidates(self) -> list[_Candidate]:
        views = self._candidate_views()
        config = self._source.view()
        items = self._queued_items(config)
        if not items:
            return []
        by_id = {view.description.worker_id: view for view in views}
        with self._term.lock:
            recent = self._recently_avoided()
        blocked: set[tuple[str, frozenset[str], frozenset[str]]] = set()
        candidates: list[_Candidate] = []
        for item in self._placement.order(items):
            if len(candidates) == MAX_STARTS_PER_ROUND:
                break
            # Tasks of a job have equal requirements: once one cannot be placed, the others with the
            # same workers to avoid are skipped.
            avoided_workers = recent.get(item.key, frozenset())
            placement_key = (item.key.job_id, item.avoid, avoided_workers)
            if placement_key in blocked:
                continue
            candidate = self._select_worker(item, by_id, avoided_workers)
            if candidate is None:
                blocked.add(placement_key)
            else:
                candidates.append(candidate)
        return candidates

    def _candidate_views(self) -> list[WorkerView]:
        # When no worker accepts tasks, rank all of them so that the reasons are recorded.
        views = self._fleet.placement_views() or self._fleet.workers()
        views = [view for view in views if not self._is_busy(view.description.worker_id)]
        now = self._clock.monotonic()
        self._unresponsive = {name: end for name, end in self._unresponsive.items() if end > now}
        responsive = [v for v in views if v.description.worker_id not in self._unresponsive]
        return responsive or views

    def _is_busy(self, worker_id: str) -> bool:
        """Return whether an earlier reservation call to a worker is still in progress."""
        fut = self._reservation_calls.get(worker_id)
        return fut is not None and not fut.done()

    def _queued_items(self, config: ConfigView | None) -> list[PlacementItem]:
        items = []
        per_job: dict[str, int] = defaultdict(int)
        with self._term.lock:
            for job, task in self._term.shard.queued():
                per_job[job.job_id] += 1
                if per_job[job.job_id] <= MAX_TASKS_PER_JOB_AND_ROUND:
                    items.append(_placement_item(job, task, config))
        return items

    def _recently_avoided(self) -> dict[TaskKey, frozenset[str]]:
        now = self._clock.monotonic()
        self._avoided = {pair: until for pair, until in self._avoided.items() if until > now}
        recent: dict[TaskKey, frozenset[str]] = {}
        for key, worker_id in self._avoided:
            recent[key] = recent.get(key, frozenset()) | {worker_id}
        return recent

    def _select_worker(
        self, item: PlacementItem, by_id: dict[str, WorkerView], avoided_workers: frozenset[str]
    ) -> _Candidate | None:
        views = [view for worker_id, view in by_id.items() if worker_id not in avoided_workers]
        views = views or list(by_id.values())
        if item.avoid and item.avoid.issuperset(by_id):
            # The task has failed on every available worker: allow all of them again.
            item = attrs.evolve(item, avoid=frozenset())
        ranked = self._placement.rank(item, views)
        if not ranked:
            self._explain_wait(item)
            return None
        best = ranked[0]
        view = by_id[best.worker_id]
        # Deduct the resources so that later tasks of this round do not use the same capacity.
        free = view.load.free - best.resources
        by_id[best.worker_id] = attrs.evolve(view, load=attrs.evolve(view.load, free=free))
        with self._term.lock:
            task = self._term.shard.task(item.key)
            number = task.attempt + 1 if task else 0
        return _Candidate(item, Attempt(item.key, number), best, self._clock.monotonic())

    def _explain_wait(self, item: PlacementItem) -> None:
        self._explanations.add(item.key, self._placement.explain(item.key))
        if self._fleet.time_since_first_announcement() < FLEET_DISCOVERY_TIME:
            return
        if self._fleet.fits_any_worker(item.resources):
            return
        reason = f"never_fits: no worker has {_format_resources(item.resources)}"
        at_ms = int(self._clock.now().timestamp() * 1000)
        self._term.commit([JobFailed(item.key.job_id, reason, at_ms)])
        log(Event.JOB_FAILED, job=item.key.job_id, reason=reason)

    # Reserving

    def _reserve(self, candidates: list[_Candidate]) -> list[_Candidate]:
        groups: dict[str, list[_Candidate]] = defaultdict(list)
        for candidate in candidates:
            groups[candidate.ranked.worker_id].append(candidate)
        futures = {
            worker_id: self._executor.submit(worker_id, self._make_reserve_call(worker_id, group))
            for worker_id, group in groups.items()
        }
        self._reservation_calls.update(futures)
        self._executor.wait_all(futures.values(), RESERVE_TIMEOUT)
        granted = []
        for worker_id, fut in futures.items():
            if fut.cancel() or not fut.done():
                self._record_refusals(groups[worker_id], f"{worker_id} did not answer in time")
                self._unresponsive[worker_id] = self._clock.monotonic() + UNANSWERED_AVOIDANCE
                continue
            granted += [c for c in groups[worker_id] if c.reservation_id]
            for candidate in groups[worker_id]:
                if not candidate.reservation_id:
                    self._record_refusals([candidate], candidate.refusal)
                    self.avoid(candidate.item.key, worker_id, REFUSED_WORKER_AVOIDANCE)
        return granted

    def _record_refusals(self, candidates: list[_Candidate], reason: str) -> None:
        for candidate in candidates:
            worker_id = candidate.ranked.worker_id
            self._explanations.add(candidate.item.key, f"{worker_id} refused: {reason}")
            log(
                Event.START_REFUSED,
                job=candidate.item.key.job_id,
                index=candidate.item.key.index,
                worker=worker_id,
                reason=reason,
            )

    def _make_reserve_call(self, worker_id: str, group: list[_Candidate]) -> Any:
        def run() -> None:
            try:
                self._reserve_on(worker_id, group)
            except WireError as exc:
                for candidate in group:
                    candidate.refusal = str(exc)

        return run

    def _reserve_on(self, worker_id: str, group: list[_Candidate]) -> None:
        timeout = self._term.timeout()
        items = [
            ReserveItem(
                ref_of(candidate.attempt),
                WireResources(*candidate.ranked.resources.amounts()),
                candidate.item.template,
                candidate.item.task_class.value,
            )
            for candidate in group
        ]
        req = ReserveRequest(self._term.header(timeout), self._term.number, self._term.epoch, items)
        reply = self._channels.call(address_of(self._fleet, worker_id), "reserve", req, timeout)
        self._fleet.record_reply(worker_id, reply.incarnation, load_from_wire(reply.load))
        by_attempt = {
            attempt_of(reservation.task): reservation for reservation in reply.reservations
        }
        for candidate in group:
            reservation = by_attempt.get(candidate.attempt)
            if reply.outcome != Outcome.OK or reservation is None:
                candidate.refusal = reply.reason or "no answer for this task"
            elif reservation.granted:
                candidate.reservation_id = reservation.reservation_id
            else:
                candidate.refusal = reservation.reason

    # Committing

    def _check_data_centres(self, granted: list[_Candidate]) -> list[_Candidate]:
        """Return the candidates whose data centre is in service; record the others as refused.

        The configuration is read after the reservations were made. Because a reservation expires
        after 3 s, a start cannot happen much later than this read.
        """
        if not granted:
            return []
        try:
            config = self._source.refresh()
        except (StoreError, ConfigError) as exc:
            self._record_refusals(granted, f"the configuration cannot be read: {exc}")
            return []
        self._fleet.apply_config(config)
        allowed = []
        for candidate in granted:
            view = self._fleet.worker(candidate.ranked.worker_id)
            if view is not None and config.data_centre_in(view.description.data_centre):
                allowed.append(candidate)
            else:
                self._record_refusals([candidate], "its data centre is out")
        return allowed

    def _commit(self, candidates: list[_Candidate]) -> list[_Candidate]:
        events = []
        chosen = []
        with self._term.lock:
            for candidate in candidates:
                assigned = self._term.shard.assign(candidate.item.key, candidate.ranked.worker_id)
                if not assigned or assigned[0].attempt != candidate.attempt.number:
                    continue
                events += assigned
                chosen.append(candidate)
                # Recorded before the commit; otherwise a concurrent renewal would treat the attempt
                # as one that an earlier owner started.
                info = AttemptInfo(candidate.requested_at, resources=candidate.ranked.resources)
                self._term.attempt_infos[candidate.attempt] = info
        changed = self._term.commit(events)
        started = [c for c, applied in zip(chosen, changed, strict=True) if applied]
        for candidate in started:
            self._placement.record_start(candidate.item, candidate.ranked.worker_id)
            reason = f"placed on {candidate.ranked.worker_id}: {candidate.ranked.reason}"
            self._explanations.add(candidate.item.key, reason)
        return started

    # Starting

    def _start(self, candidates: list[_Candidate]) -> None:
        groups: dict[str, list[_Candidate]] = defaultdict(list)
        for candidate in candidates:
            groups[candidate.ranked.worker_id].append(candidate)
        for worker_id, group in groups.items():
            self._executor.submit(worker_id, self._make_start_call(worker_id, group))

    def _make_start_call(self, worker_id: str, group: list[_Candidate]) -> Any:
        def run() -> None:
            try:
                self._start_on(worker_id, group)
            except NotSentError as exc:
                self._requeue_refused([(c, f"not sent: {exc}") for c in group])
            except WireError as exc:
                # The reply to a later renewal lists the tasks that were started.
                self._record_possible_grant(worker_id)
                for candidate in group:
                    self._explanations.add(candidate.item.key, f"start without reply: {exc}")

        return run

    def _start_on(self, worker_id: str, group: list[_Candidate]) -> None:
        timeout = self._term.timeout()
        items = [item for item in (self._start_item(c) for c in group) if item is not None]
        if not items:
            return
        req = StartRequest(self._term.header(timeout), self._term.number, self._term.epoch, items)
        reply = self._channels.call(address_of(self._fleet, worker_id), "start", req, timeout)
        self._record_possible_grant(worker_id)
        self._fleet.record_reply(worker_id, "", load_from_wire(reply.load))
        results = {attempt_of(result.task): result for result in reply.results}
        refused = []
        for candidate in group:
            result = results.get(candidate.attempt)
            outcome = reply.outcome if result is None else result.outcome
            reason = reply.reason if result is None else result.reason
            if outcome == Outcome.OK and result is not None:
                self._confirm(candidate)
            elif outcome not in (Outcome.OK, Outcome.OUTCOME_UNKNOWN):
                refused.append((candidate, reason))
        self._requeue_refused(refused)

    def _start_item(self, candidate: _Candidate) -> StartItem | None:
        with self._term.lock:
            task = self._term.shard.task(candidate.attempt.key)
            if task is None or not task.is_current(candidate.attempt.number):
                return None
            return StartItem(
                ref_of(candidate.attempt),
                candidate.reservation_id,
                candidate.item.account,
                task.input,
                task.consumed,
            )

    def _confirm(self, candidate: _Candidate) -> None:
        attempt = candidate.attempt
        with self._term.lock:
            self._term.info(attempt).confirmed_at = self._clock.monotonic()
        at_ms = int(self._clock.now().timestamp() * 1000)
        started = AttemptStarted(attempt.key.job_id, attempt.key.index, attempt.number, at_ms)
        self._term.commit_later([started])
        log(
            Event.TASK_STARTED,
            job=attempt.key.job_id,
            index=attempt.key.index,
            attempt=attempt.number,
            worker=candidate.ranked.worker_id,
        )

    def _requeue_refused(self, refused: list[tuple[_Candidate, str]]) -> None:
        """Queue tasks again whose start is known to have been refused."""
        events = []
        for candidate, reason in refused:
            events.append(_refused_event(candidate.attempt, reason[:MAX_REASON_CHARS]))
            self.avoid(candidate.item.key, candidate.ranked.worker_id, REFUSED_WORKER_AVOIDANCE)
            self._record_refusals([candidate], reason)
        try:
            self._term.commit(events)
        except JournalError as exc:
            # A later renewal reports the attempt as missing, which leads to the same commit.
            log(Event.STORE_UNAVAILABLE, call="commit refused starts", reason=str(exc))


def _placement_item(job: Job, task: Task, config: ConfigView | None) -> PlacementItem:
    """Return the placement item of a queued task, with the current parameters of its template."""
    resources = job.resources
    priority = Priority(job.priority)
    template = config.template(job.template) if config else None
    if template is not None and isinstance(template.parameters, TaskParameters):
        resources = template.parameters.resources()
        priority = template.parameters.priority
    return PlacementItem(
        key=task.key(job.job_id),
        template=job.template,
        account=job.account,
        task_class=TaskClass(job.task_class),
        priority=priority,
        resources=resources,
        avoid=frozenset(task.failed_on),
    )


def _refused_event(attempt: Attempt, reason: str) -> Any:
    key = attempt.key
    if reason.startswith(CHECKPOINT_CONSUMED):
        # Discard the checkpoint: the runtime would refuse it on every further attempt.
        return AttemptSuspended(key.job_id, key.index, attempt.number, "", reason)
    return AttemptUnstarted(key.job_id, key.index, attempt.number, reason)


def _format_resources(resources: Resources) -> str:
    return (
        f"{resources.cpu_millis} cpu_millis, {resources.memory_mb} memory_mb and "
        f"{resources.accelerators} accelerators"
    )

"""Starts queued tasks: reserve, read the configuration, commit, start."""

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
from mulberryslip.placements import PlacementItem, Ranked
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
from .peers import Peers
from .requests import load_from_wire
from .tenures import (
    AttemptInfo,
    Channels,
    Tenure,
    address_of,
    attempt_of,
    ref_of,
)

MAX_GROUP = 128
"""Starts per round; a round takes about 40 ms with workers 4 ms away."""

MAX_TASKS_PER_JOB = 64
"""Tasks of one job that are looked at in one round, so that a large job does not crowd out the
others."""

RESERVE_TIMEOUT = timedelta(milliseconds=400)
"""A silent worker must not delay an urgent start beyond 1 s."""

FLEET_KNOWN_AFTER = timedelta(seconds=30)
"""Time by which every live worker has announced itself."""

REFUSED_PAUSE = timedelta(milliseconds=500)
"""Pause before a task tries again a worker that refused to start it."""


CHECKPOINT_CONSUMED = "checkpoint_consumed"
"""Code with which the runtime refuses a checkpoint that another attempt was started from."""


class TaskPlacement(Protocol):
    """The part of `placements.Placement` that starting needs."""

    def order(self, items: Iterable[PlacementItem]) -> list[PlacementItem]:
        """Return the items in the order to place them."""

    def rank(self, item: PlacementItem, workers: Sequence[WorkerView]) -> list[Ranked]:
        """Return workers on which to try a reservation."""

    def started(self, item: PlacementItem, worker_id: str, free: Resources | None = None) -> None:
        """Count a start."""

    def explain(self, key: TaskKey) -> str:
        """Return why a task waits."""


class Source(Protocol):
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
    ranked: Ranked
    requested_at: timedelta
    reservation_id: str = ""
    refusal: str = ""


class Starter:
    """Starts queued tasks of one tenure; used by the scheduling thread.

    :param peers: runs the calls to workers.
    :param placement: chooses workers.
    :param source: the operators' configuration.
    :param touch: notes that a worker may have received a start until now.
    """

    def __init__(
        self,
        tenure: Tenure,
        fleet: Fleet,
        source: Source,
        placement: TaskPlacement,
        channels: Channels,
        peers: Peers,
        explanations: Explanations,
        clock: Clock,
        touch: Callable[[str], None],
    ):
        self._touch = touch
        self._tenure = tenure
        self._fleet = fleet
        self._source = source
        self._placement = placement
        self._channels = channels
        self._peers = peers
        self._explanations = explanations
        self._clock = clock
        self._reserving: dict[str, Future] = {}
        # Workers that a task should not try for a while, with the time until then.
        self._avoided: dict[tuple[TaskKey, str], timedelta] = {}

    def step(self) -> int:
        """Start one group of queued tasks.

        :returns: number of tasks whose start was committed.
        :raises JournalError: the commit failed; `unresolved` tells whether it may take effect.
        """
        candidates = self._choose()
        if not candidates:
            return 0
        granted = self._reserve(candidates)
        allowed = self._check_data_centres(granted)
        started = self._commit(allowed)
        self._start(started)
        return len(started)

    def avoid(self, key: TaskKey, worker_id: str, duration: timedelta) -> None:
        """Let a task avoid a worker for a while, unless no other worker is there."""
        with self._tenure.lock:
            self._avoided[key, worker_id] = self._clock.monotonic() + duration

    # Choosing

    def _choose(self) -> list[_Candidate]:
        views = self._views()
        config = self._source.view()
        items = self._items(config)
        if not items:
            return []
        by_id = {view.description.worker_id: view for view in views}
        with self._tenure.lock:
            recent = self._recently_avoided()
        blocked: set[tuple[str, frozenset[str], frozenset[str]]] = set()
        candidates: list[_Candidate] = []
        for item in self._placement.order(items):
            if len(candidates) == MAX_GROUP:
                break
            # Tasks of a job are alike: where one finds no room, the next does not either.
            shunned = recent.get(item.key, frozenset())
            kind = (item.key.job_id, item.avoid, shunned)
            if kind in blocked:
                continue
            candidate = self._candidate(item, by_id, shunned)
            if candidate is None:
                blocked.add(kind)
            else:
                candidates.append(candidate)
        return candidates

    def _views(self) -> list[WorkerView]:
        # Without a placeable worker the others explain why.
        views = self._fleet.placement_views() or self._fleet.workers()
        return [view for view in views if not self._is_busy(view.description.worker_id)]

    def _is_busy(self, worker_id: str) -> bool:
        """Return whether an earlier reservation call to a worker has not ended."""
        fut = self._reserving.get(worker_id)
        return fut is not None and not fut.done()

    def _items(self, config: ConfigView | None) -> list[PlacementItem]:
        items = []
        per_job: dict[str, int] = defaultdict(int)
        with self._tenure.lock:
            for job, task in self._tenure.shard.queued():
                per_job[job.job_id] += 1
                if per_job[job.job_id] <= MAX_TASKS_PER_JOB:
                    items.append(_item(job, task, config))
        return items

    def _recently_avoided(self) -> dict[TaskKey, frozenset[str]]:
        now = self._clock.monotonic()
        self._avoided = {pair: until for pair, until in self._avoided.items() if until > now}
        recent: dict[TaskKey, frozenset[str]] = {}
        for key, worker_id in self._avoided:
            recent[key] = recent.get(key, frozenset()) | {worker_id}
        return recent

    def _candidate(
        self, item: PlacementItem, by_id: dict[str, WorkerView], shunned: frozenset[str]
    ) -> _Candidate | None:
        views = [view for worker_id, view in by_id.items() if worker_id not in shunned]
        views = views or list(by_id.values())
        if item.avoid and item.avoid.issuperset(by_id):
            # With fewer workers than tries, a worker where the task failed is tried again.
            item = attrs.evolve(item, avoid=frozenset())
        ranked = self._placement.rank(item, views)
        if not ranked:
            self._explain_wait(item)
            return None
        best = ranked[0]
        view = by_id[best.worker_id]
        # Later tasks of this group must not count on the same room.
        free = view.load.free - best.resources
        by_id[best.worker_id] = attrs.evolve(view, load=attrs.evolve(view.load, free=free))
        with self._tenure.lock:
            task = self._tenure.shard.task(item.key)
            number = task.attempt + 1 if task else 0
        return _Candidate(item, Attempt(item.key, number), best, self._clock.monotonic())

    def _explain_wait(self, item: PlacementItem) -> None:
        self._explanations.add(item.key, self._placement.explain(item.key))
        if self._fleet.known_for() < FLEET_KNOWN_AFTER:
            return
        if self._fleet.fits_somewhere(item.resources):
            return
        reason = f"never_fits: no worker has {_shown(item.resources)}"
        at_ms = int(self._clock.now().timestamp() * 1000)
        self._tenure.commit([JobFailed(item.key.job_id, reason, at_ms)])
        log(Event.JOB_FAILED, job=item.key.job_id, reason=reason)

    # Reserving

    def _reserve(self, candidates: list[_Candidate]) -> list[_Candidate]:
        groups: dict[str, list[_Candidate]] = defaultdict(list)
        for candidate in candidates:
            groups[candidate.ranked.worker_id].append(candidate)
        futures = {
            worker_id: self._peers.submit(worker_id, self._reserve_call(worker_id, group))
            for worker_id, group in groups.items()
        }
        self._reserving.update(futures)
        self._peers.gather(futures.values(), RESERVE_TIMEOUT)
        granted = []
        for worker_id, fut in futures.items():
            if fut.cancel() or not fut.done():
                self._refused(groups[worker_id], f"{worker_id} did not answer in time")
                continue
            granted += [c for c in groups[worker_id] if c.reservation_id]
            for candidate in groups[worker_id]:
                if not candidate.reservation_id:
                    self._refused([candidate], candidate.refusal)
                    self.avoid(candidate.item.key, worker_id, REFUSED_PAUSE)
        return granted

    def _refused(self, candidates: list[_Candidate], reason: str) -> None:
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

    def _reserve_call(self, worker_id: str, group: list[_Candidate]) -> Any:
        def run() -> None:
            try:
                self._reserve_on(worker_id, group)
            except WireError as exc:
                for candidate in group:
                    candidate.refusal = str(exc)

        return run

    def _reserve_on(self, worker_id: str, group: list[_Candidate]) -> None:
        timeout = self._tenure.timeout()
        items = [
            ReserveItem(
                ref_of(candidate.attempt),
                WireResources(*candidate.ranked.resources.amounts()),
                candidate.item.template,
                candidate.item.task_class.value,
            )
            for candidate in group
        ]
        req = ReserveRequest(
            self._tenure.header(timeout), self._tenure.number, self._tenure.epoch, items
        )
        reply = self._channels.call(address_of(self._fleet, worker_id), "reserve", req, timeout)
        self._fleet.observe(worker_id, reply.incarnation, load_from_wire(reply.load))
        answers = {attempt_of(answer.task): answer for answer in reply.reservations}
        for candidate in group:
            answer = answers.get(candidate.attempt)
            if reply.outcome != Outcome.OK or answer is None:
                candidate.refusal = reply.reason or "no answer for this task"
            elif answer.granted:
                candidate.reservation_id = answer.reservation_id
            else:
                candidate.refusal = answer.reason

    # Committing

    def _check_data_centres(self, granted: list[_Candidate]) -> list[_Candidate]:
        """Drop candidates whose data centre is out.

        The configuration is read after the reservations were made. A reservation lives for 3 s,
        so a start cannot happen much later than this read.
        """
        if not granted:
            return []
        try:
            config = self._source.refresh()
        except (StoreError, ConfigError) as exc:
            self._refused(granted, f"the configuration cannot be read: {exc}")
            return []
        self._fleet.apply_config(config)
        allowed = []
        for candidate in granted:
            view = self._fleet.worker(candidate.ranked.worker_id)
            if view is not None and config.data_centre_in(view.description.data_centre):
                allowed.append(candidate)
            else:
                self._refused([candidate], "its data centre is out")
        return allowed

    def _commit(self, candidates: list[_Candidate]) -> list[_Candidate]:
        events = []
        chosen = []
        with self._tenure.lock:
            for candidate in candidates:
                assigned = self._tenure.shard.assign(candidate.item.key, candidate.ranked.worker_id)
                if not assigned or assigned[0].attempt != candidate.attempt.number:
                    continue
                events += assigned
                chosen.append(candidate)
                # Entered before the commit, so that a renewal that runs meanwhile does not take
                # the attempt for one of an earlier owner.
                info = AttemptInfo(candidate.requested_at, resources=candidate.ranked.resources)
                self._tenure.infos[candidate.attempt] = info
        changed = self._tenure.commit(events)
        started = [c for c, applied in zip(chosen, changed, strict=True) if applied]
        for candidate in started:
            self._placement.started(candidate.item, candidate.ranked.worker_id)
            reason = f"placed on {candidate.ranked.worker_id}: {candidate.ranked.reason}"
            self._explanations.add(candidate.item.key, reason)
        return started

    # Starting

    def _start(self, candidates: list[_Candidate]) -> None:
        groups: dict[str, list[_Candidate]] = defaultdict(list)
        for candidate in candidates:
            groups[candidate.ranked.worker_id].append(candidate)
        for worker_id, group in groups.items():
            self._peers.submit(worker_id, self._start_call(worker_id, group))

    def _start_call(self, worker_id: str, group: list[_Candidate]) -> Any:
        def run() -> None:
            try:
                self._start_on(worker_id, group)
            except NotSentError as exc:
                self._unstarted([(c, f"not sent: {exc}") for c in group])
            except WireError as exc:
                # The worker's list in a later renewal tells whether the tasks run.
                self._touch(worker_id)
                for candidate in group:
                    self._explanations.add(candidate.item.key, f"start without reply: {exc}")

        return run

    def _start_on(self, worker_id: str, group: list[_Candidate]) -> None:
        timeout = self._tenure.timeout()
        items = [item for item in (self._start_item(c) for c in group) if item is not None]
        if not items:
            return
        req = StartRequest(
            self._tenure.header(timeout), self._tenure.number, self._tenure.epoch, items
        )
        reply = self._channels.call(address_of(self._fleet, worker_id), "start", req, timeout)
        self._touch(worker_id)
        self._fleet.observe(worker_id, "", load_from_wire(reply.load))
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
        self._unstarted(refused)

    def _start_item(self, candidate: _Candidate) -> StartItem | None:
        with self._tenure.lock:
            task = self._tenure.shard.task(candidate.attempt.key)
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
        with self._tenure.lock:
            self._tenure.info(attempt).confirmed_at = self._clock.monotonic()
        at_ms = int(self._clock.now().timestamp() * 1000)
        started = AttemptStarted(attempt.key.job_id, attempt.key.index, attempt.number, at_ms)
        self._tenure.commit_later([started])
        log(
            Event.TASK_STARTED,
            job=attempt.key.job_id,
            index=attempt.key.index,
            attempt=attempt.number,
            worker=candidate.ranked.worker_id,
        )

    def _unstarted(self, refused: list[tuple[_Candidate, str]]) -> None:
        """Queue tasks again whose start was certainly refused."""
        events = []
        for candidate, reason in refused:
            events.append(_refused_event(candidate.attempt, reason[:MAX_REASON_CHARS]))
            self.avoid(candidate.item.key, candidate.ranked.worker_id, REFUSED_PAUSE)
            self._refused([candidate], reason)
        try:
            self._tenure.commit(events)
        except JournalError as exc:
            # A later renewal finds the attempt missing and commits the same.
            log(Event.STORE_UNAVAILABLE, call="commit refused starts", reason=str(exc))


def _item(job: Job, task: Task, config: ConfigView | None) -> PlacementItem:
    """Return a queued task for the placement, with the template's current parameters."""
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
        # Offering the same checkpoint again would be refused for ever.
        return AttemptSuspended(key.job_id, key.index, attempt.number, "", reason)
    return AttemptUnstarted(key.job_id, key.index, attempt.number, reason)


def _shown(resources: Resources) -> str:
    return (
        f"{resources.cpu_millis} cpu_millis, {resources.memory_mb} memory_mb and "
        f"{resources.accelerators} accelerators"
    )

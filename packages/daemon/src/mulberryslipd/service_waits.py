"""How long each long-running task has waited for its next run, and for what. Performs no I/O.

It is designed for this fault: a service does not run for several seconds although workers have
room. Each precaution on the way to its next run is bounded, but several of them in series add up.
So a wait is divided into parts that do not overlap, one for each reason, and their sum is the time
since the last run of the task was known to be active.
"""

import enum
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.capacities import WorkerCapacity, step_key
from mulberryslip.refusals import Preference, Requirement
from mulberryslip.workflows import Phase, RunOutcome, StepTask

LONG_WAIT = timedelta(seconds=5)
"""Wait from which on a task is logged. The users' rule allows 9 s."""

SAMPLE_INTERVAL = timedelta(seconds=1)
"""Shortest time between two comparisons of waiting tasks with all workers."""

MAX_SAMPLE_AGE = 2 * SAMPLE_INTERVAL
"""Age of a sample from which on it is unknown whether there was room on end since then."""

MAX_SAMPLED_STEPS = 8
"""Maximum number of steps whose tasks are compared with the workers of a sample."""

MAX_WAIT_LINES = 4
MAX_START_LINES = 8
"""Maximum number of waiting tasks and of starts that are logged per `SAMPLE_INTERVAL`."""

MAX_ROUND_GAP = timedelta(seconds=1)
"""Time between two rounds from which on their absence counts as the reason of a wait."""

AMPLE_ROOM = 2
"""Number of times that a task must fit on the workers for the users' rule to apply."""

MAX_ROOM = 10
"""Number up to which it is counted how often a task fits."""


class WaitReason(enum.StrEnum):
    """Reasons for a wait that concern no single worker; `refusals` has the others."""

    EARLIER_OWNER = "before this owner's claim"
    RECOVERY = "owner's recovery"
    SILENT = "worker silent"
    IN_FLIGHT = "start on its way to a silent worker"
    VERDICT = "verdict on the crash of its worker"
    PENDING_START = "start may be pending"
    STARTING = "start not confirmed"
    CONFIG_TOO_OLD = "configuration too old"
    NOT_CONFIRMED = "ownership not confirmed"
    NO_ROUND = "no decision round"
    NO_WORKER = "no worker chosen"


@attrs.frozen
class RunEnd:
    """The end of a run under this owner.

    :param reason: evidence of the end; empty if the worker listed it.
    :param at: when the owner decided that the run has ended.
    """

    run: int
    outcome: RunOutcome
    reason: str
    at: timedelta


@attrs.frozen
class WorkerSample:
    """The workers at one time, before the starts of the round.

    :param candidates: capacity of the workers that may get runs.
    :param on_trial: capacity of the workers that run a suspected task.
    :param unavailable: number of the other workers by reason.
    """

    at: timedelta
    candidates: Collection[WorkerCapacity]
    on_trial: Collection[WorkerCapacity]
    unavailable: Counter[str]

    def room(self, task: StepTask) -> int:
        """Return how often a task fits on the workers that are up, at most `MAX_ROOM`."""
        room = 0
        for workers in (self.candidates, self.on_trial):
            for worker in workers:
                room += _times_fits(task, worker)
                if room >= MAX_ROOM:
                    return MAX_ROOM
        return room


@attrs.define(eq=False)
class ServiceWait:
    """The wait of one task.

    :param since: when its last run was last known to be active. When it became ready if it has not
        run, when an earlier owner ended the run, or when this owner claimed the pool if it has
        never heard the worker of the run.
    :param reason: why it does not run now.
    :param reason_since: since when that has been the reason on end.
    :param end: the end of its last run; None if it has not run, or ended under an earlier owner.
    :param lost_start: the end of the latest run since then, which no worker has listed as active.
    :param lost_starts: number of such runs.
    :param is_starting: whether it is assigned to a worker that has not listed the run yet.
    :param worker_reason: what prevented a start on the workers at the last sample.
    :param workers: the reasons by which it does not start on workers, with their number, then.
    :param room: how often it fitted on the workers then; None before the first sample.
    :param room_since: since when it has fitted `AMPLE_ROOM` times in each sample; None if it did
        not in the last one.
    """

    task: StepTask
    since: timedelta
    reason: str
    reason_since: timedelta
    end: RunEnd | None = None
    lost_start: RunEnd | None = None
    lost_starts: int = 0
    is_starting: bool = False
    worker_reason: str = WaitReason.NO_WORKER
    workers: Mapping[str, int] = attrs.field(factory=dict)
    room: int | None = None
    room_since: timedelta | None = None
    sampled_at: timedelta | None = None
    _parts: dict[str, timedelta] = attrs.field(factory=dict)
    _divided_until: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._divided_until = self.since

    @property
    def divided_until(self) -> timedelta:
        """Return up to when the wait is divided into parts."""
        return self._divided_until

    def change_reason(self, reason: str, at: timedelta) -> None:
        """Count the time up to a moment for the reason up to now; another one holds from then on.

        A moment before the last change counts as that of the last change.
        """
        at = max(at, self._divided_until)
        part = self._parts.get(self.reason, timedelta()) + at - self._divided_until
        if part:
            self._parts[self.reason] = part
        self._divided_until = at
        if reason != self.reason:
            self.reason, self.reason_since = reason, at

    def record_sample(
        self, sample: WorkerSample, room: int, workers: Mapping[str, int], now: timedelta
    ) -> None:
        """Record how a comparison with all workers turned out."""
        is_on_end = self.sampled_at is not None and now - self.sampled_at <= MAX_SAMPLE_AGE
        if room < AMPLE_ROOM:
            self.room_since = None
        elif self.room_since is None or not is_on_end:
            self.room_since = sample.at
        self.room, self.sampled_at, self.workers = room, now, workers
        self.worker_reason = decisive_reason(workers)

    def fields(self, now: timedelta) -> dict[str, Any]:
        """Return the log fields that describe the wait up to now."""
        parts = dict(self._parts)
        parts[self.reason] = parts.get(self.reason, timedelta()) + now - self._divided_until
        parts_ms = {reason: _ms(part) for reason, part in parts.items() if _ms(part)}
        found: dict[str, Any] = {
            "task": self.task.name,
            "waited_ms": sum(parts_ms.values()),
            "parts_ms": parts_ms,
            "reason": self.reason,
            "reason_ms": _ms(now - self.reason_since),
            "outcome": "unknown" if self.task.run else "never ran",
        }
        if self.end is not None:
            found |= {
                "run": self.end.run,
                "outcome": self.end.outcome.value,
                "evidence": self.end.reason or "listed by the worker",
                "ended_ms": _ms(now - self.end.at),
            }
        if self.lost_start is not None:
            found |= {
                "lost_starts": self.lost_starts,
                "lost_start": self.lost_start.reason,
                "lost_start_ms": _ms(now - self.lost_start.at),
            }
        if self.room is not None:
            room_ms = 0 if self.room_since is None else _ms(now - self.room_since)
            found |= {"room": self.room, "room_ms": room_ms, "workers": dict(self.workers)}
        return found


class ServiceWaits:
    """The waits of one ownership term, by task. Not thread-safe.

    A wait is kept until a worker lists the next run of its task.

    :param claimed_at: when this owner claimed the pool.
    """

    def __init__(self, claimed_at: timedelta) -> None:
        self._claimed_at = claimed_at
        self._waits: dict[str, ServiceWait] = {}
        self._crashes: dict[str, tuple[StepTask, int, timedelta]] = {}
        self._observed_at = claimed_at
        self._sample: WorkerSample | None = None
        self._starts_since = claimed_at
        self._starts_logged = 0

    def __len__(self) -> int:
        return len(self._waits) + len(self._crashes)

    def find(self, task_name: str) -> ServiceWait | None:
        """Return the wait of a task, or None."""
        return self._waits.get(task_name)

    def record_crash(self, task: StepTask, at: timedelta, alive_at: timedelta | None) -> None:
        """Record that the worker of an active run has crashed, which awaits a verdict.

        Only the first call for a crash counts.

        :param alive_at: when the worker last listed its runs; None if this owner does not know.
        """
        if not task.spec.lasting:
            return
        _, run, known_at = self._crashes.get(task.name, (task, 0, at))
        if run != task.run or (alive_at is not None and known_at < alive_at):
            self._crashes[task.name] = (task, task.run, at)

    def record_end(
        self,
        task: StepTask,
        outcome: RunOutcome,
        reason: str,
        alive_at: timedelta | None,
        now: timedelta,
        in_flight_since: timedelta | None = None,
    ) -> None:
        """Record the end of the active run of a long-running task.

        :param reason: evidence of the end; empty if the worker listed it.
        :param alive_at: when the worker last listed its runs; None if this owner does not know.
        :param in_flight_since: when the worker's lease had ended, if the run was kept longer since
            its start was on its way.
        """
        _, crashed_run, crashed_at = self._crashes.pop(task.name, (task, 0, now))
        if crashed_run != task.run or (alive_at is not None and crashed_at < alive_at):
            crashed_at = now
        end = RunEnd(task.run, outcome, reason, now)
        wait = self._waits.get(task.name)
        is_unstarted = outcome is RunOutcome.UNSTARTED
        if wait is not None and wait.is_starting and (reason or is_unstarted):
            # No worker has listed the run, so the wait goes on.
            wait.lost_start, wait.is_starting = end, False
            wait.lost_starts += 1
            if not is_unstarted:
                silent_from = wait.divided_until if alive_at is None else alive_at
                wait.change_reason(WaitReason.SILENT, silent_from)
        elif is_unstarted:
            # An earlier owner has assigned the run; `observe` knows when the wait began.
            return
        else:
            if alive_at is None:
                wait = ServiceWait(
                    task, self._claimed_at, WaitReason.RECOVERY, self._claimed_at, end
                )
            else:
                wait = ServiceWait(task, alive_at, WaitReason.SILENT, alive_at, end)
            self._waits[task.name] = wait
        if in_flight_since is not None and in_flight_since < crashed_at:
            wait.change_reason(WaitReason.IN_FLIGHT, in_flight_since)
        if crashed_at < now:
            wait.change_reason(WaitReason.VERDICT, crashed_at)
        wait.change_reason(wait.worker_reason, now)

    def observe(
        self, tasks: Iterable[StepTask], limits: Mapping[str, str], now: timedelta, now_ms: int
    ) -> None:
        """Record the reasons why tasks are not started in a round.

        :param tasks: long-running tasks that wait, also those that start in this round.
        :param limits: by task, a reason that holds whatever worker there is.
        :param now_ms: current time, in milliseconds since 1970.
        """
        last_at, self._observed_at = self._observed_at, now
        has_paused = now - last_at > MAX_ROUND_GAP
        for task in tasks:
            wait = self._waits.get(task.name)
            if wait is None:
                wait = self._waits[task.name] = self._begin(task, now, now_ms)
            wait.is_starting = False
            paused_at = max(last_at, wait.divided_until)
            if has_paused and now - paused_at > MAX_ROUND_GAP:
                wait.change_reason(WaitReason.NO_ROUND, paused_at)
            reason = limits.get(task.name, wait.worker_reason)
            if reason != wait.reason:
                wait.change_reason(reason, now)

    def record_assignment(self, task_name: str, now: timedelta) -> None:
        """Record that a task is assigned to a worker."""
        wait = self._waits[task_name]
        wait.is_starting = True
        wait.change_reason(WaitReason.STARTING, now)

    def forget(self, is_listed: Callable[[StepTask], bool]) -> None:
        """Drop the waits of tasks that run or whose workflow has ended.

        :param is_listed: whether a worker lists the latest run of a task.
        """
        self._waits = {
            name: wait
            for name, wait in self._waits.items()
            if not _is_over(wait.task)
            and not (wait.task.has_active_run(wait.task.run) and is_listed(wait.task))
        }
        self._crashes = {
            name: (task, run, at)
            for name, (task, run, at) in self._crashes.items()
            if not _is_over(task) and task.has_active_run(run)
        }

    def long_waits(self, now: timedelta) -> list[ServiceWait]:
        """Return the waits of tasks without a run that exceed `LONG_WAIT`, the longest first."""
        found = [
            wait
            for wait in self._waits.values()
            if wait.task.phase is Phase.WAITING
            and not wait.is_starting
            and now - wait.since > LONG_WAIT
        ]
        return sorted(found, key=_longest_first)

    def starts_to_log(self, task_names: Iterable[str], now: timedelta) -> list[ServiceWait]:
        """Return the waits that a start ends after `LONG_WAIT`, the longest first.

        At most `MAX_START_LINES` are returned per `SAMPLE_INTERVAL`.
        """
        found = (self._waits[name] for name in task_names)
        ended = [wait for wait in found if now - wait.since >= LONG_WAIT]
        if not ended:
            return []
        if now - self._starts_since >= SAMPLE_INTERVAL:
            self._starts_since, self._starts_logged = now, 0
        ended.sort(key=_longest_first)
        logged = ended[: MAX_START_LINES - self._starts_logged]
        self._starts_logged += len(logged)
        return logged

    def sample(self, take: Callable[[], WorkerSample], now: timedelta) -> WorkerSample:
        """Return a sample of the workers, at most `SAMPLE_INTERVAL` old.

        :param take: compares the workers.
        """
        if self._sample is None or now - self._sample.at >= SAMPLE_INTERVAL:
            self._sample = take()
        return self._sample

    def _begin(self, task: StepTask, now: timedelta, now_ms: int) -> ServiceWait:
        """Return the wait of a task that no run under this owner precedes."""
        waited = timedelta(milliseconds=max(0, now_ms - task.waiting_since_ms))
        since = now - waited
        if since >= self._claimed_at:
            return ServiceWait(task, since, WaitReason.NO_WORKER, since)
        wait = ServiceWait(task, since, WaitReason.EARLIER_OWNER, since)
        wait.change_reason(WaitReason.RECOVERY, self._claimed_at)
        return wait


def waits_to_sample(waits: Iterable[ServiceWait]) -> list[ServiceWait]:
    """Return the waits of the first `MAX_SAMPLED_STEPS` steps; the tasks of a step fit alike."""
    by_step: dict[str, list[ServiceWait]] = {}
    for wait in waits:
        by_step.setdefault(step_key(wait.task), []).append(wait)
    return [wait for waits in list(by_step.values())[:MAX_SAMPLED_STEPS] for wait in waits]


def waits_to_log(waits: Iterable[ServiceWait]) -> list[ServiceWait]:
    """Return the longest waits, those with room before the others, which nothing bounds."""
    ranked = sorted(waits, key=lambda wait: (wait.room_since is None, *_longest_first(wait)))
    return ranked[:MAX_WAIT_LINES]


def decisive_reason(workers: Mapping[str, int]) -> str:
    """Return the reason why none of the workers gets a task.

    Preferences come first, since they concern workers with room that may run the task. Next are
    the spread limit, which concerns workers with room as well, and the lack of room.

    :param workers: number of workers by reason.
    """
    preferences = {reason: count for reason, count in workers.items() if reason in _PREFERENCES}
    if preferences:
        return str(max(preferences, key=lambda reason: (preferences[reason], reason)))
    for requirement in (Requirement.SPREAD_LIMIT, Requirement.NO_ROOM):
        if requirement in workers:
            return str(requirement)
    return str(max(workers, key=lambda reason: (workers[reason], reason), default="no worker"))


_PREFERENCES = frozenset(map(str, Preference))


def _longest_first(wait: ServiceWait) -> tuple[timedelta, str]:
    return wait.since, wait.task.name


def _times_fits(task: StepTask, worker: WorkerCapacity) -> int:
    """Return how often a task fits on a worker and may run there, at most `MAX_ROOM`."""
    if not worker.admits(task):
        return 0
    spec = task.spec
    amounts = zip(spec.demand.amounts(), worker.free.amounts(), strict=True)
    fits = [free // needed for needed, free in amounts if needed]
    if spec.max_per_worker:
        fits.append(spec.max_per_worker - worker.steps.get(step_key(task), 0))
    return min(fits, default=MAX_ROOM)


def _is_over(task: StepTask) -> bool:
    return task.workflow.is_ended or task.phase not in (Phase.WAITING, Phase.HELD)


def _ms(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)

"""State of a pool's workflows and the events that change it.

State changes only in `Pool.apply`, in journal order. The owner applies events before they are
committed, so that its next decision sees them. Callers see the new state only after
`Pool.publish`, which follows the commit.
"""

import enum
import json
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from functools import singledispatchmethod
from types import MappingProxyType
from typing import Any

import attrs

from . import records
from .crashes import FULL_PROOF, MAX_LAPSED_RUNS, CrashRecord, Excuse, Proof, recent_runs
from .exceptions import InvalidMessageError
from .queues import Queue
from .runners import EndKind, RunProfile
from .steps import MAX_CHECKPOINT_CHARS, MAX_NAME_CHARS, StepSpec, WorkflowSpec
from .wide_steps import StepWidths

MAX_SPEC_CHARS = 700_000
"""Keeps an accepted workflow within the 900 KB that a journal record may have."""

RETENTION_MS = 600_000
"""How long an ended workflow stays readable; callers rely on at least 2 minutes."""

MAX_FAILED_WORKERS = 8


class RunOutcome(enum.Enum):
    """How a run ended, as determined by the owner.

    `UNSTARTED`: the worker never started the run. `LOST`: the worker's process has ended under the
    run. `LAPSED`: the worker's lease expired, or the worker left as it had announced.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    UNSTARTED = "unstarted"
    LOST = "lost"


OUTCOME_BY_END_KIND = MappingProxyType(
    {
        EndKind.DONE: RunOutcome.DONE,
        EndKind.FAILED: RunOutcome.FAILED,
        EndKind.STOPPED: RunOutcome.STOPPED,
        EndKind.LAPSED: RunOutcome.LAPSED,
        EndKind.BROKEN: RunOutcome.STOPPED,
        EndKind.ALONE: RunOutcome.STOPPED,
    }
)

_OUTCOMES_OF_STARTED_RUNS = frozenset({RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.STOPPED})
"""Outcomes that only a started run has. A run that lapsed or was lost may never have started."""

_OUTCOME_NAMES = tuple(outcome.value for outcome in RunOutcome)


@attrs.frozen
class WorkflowAccepted:
    """A workflow was accepted.

    :param queue: JSON of the queue's configuration at that time.
    :param spec: JSON of the submission.
    :param at_ms: when it was accepted, in milliseconds since 1970.
    """

    workflow_id: str = records.text("j", MAX_NAME_CHARS)
    queue: str = records.text("q", MAX_SPEC_CHARS)
    spec: str = records.text("s", MAX_SPEC_CHARS)
    at_ms: int = records.number("at")


@attrs.frozen
class RunAssigned:
    """A run was assigned to a worker.

    :param incarnation: incarnation of the worker.
    :param machine: VM of the worker; another worker id on this VM means that the worker is gone.
    :param start_by_ms: latest start on the worker's clock, in milliseconds; the worker refuses a
        later one.
    """

    task: str = records.text("t", MAX_NAME_CHARS)
    run: int = records.number("r")
    worker_id: str = records.text("w", MAX_NAME_CHARS)
    incarnation: str = records.text("i", MAX_NAME_CHARS)
    machine: str = records.text("m", MAX_NAME_CHARS)
    start_by_ms: int = records.number("b")


@attrs.frozen
class RunEnded:
    """A run has ended, or is known not to be running any more.

    :param outcome: value of a `RunOutcome`.
    :param checkpoint: latest checkpoint; empty when there is no new one.
    """

    task: str = records.text("t", MAX_NAME_CHARS)
    run: int = records.number("r")
    outcome: str = records.choice("o", _OUTCOME_NAMES)
    at_ms: int = records.number("at")
    checkpoint: str = records.text("c", MAX_CHECKPOINT_CHARS, "")


@attrs.frozen
class RunCheckpointed:
    """A run in progress wrote a new checkpoint.

    A record that repeats the last checkpoint tells that the run has outlived the probation of its
    task, or the longest one if no worker has crashed under the task. If the task was no longer
    suspected, its crashes do not count any more; but if the next event is that the run was lost,
    that crash is excused, and the earlier ones go on counting. A long-running task under which no
    crash counts is proven then, and a second such record in a run renews its proof in full.
    """

    task: str = records.text("t", MAX_NAME_CHARS)
    run: int = records.number("r")
    checkpoint: str = records.text("c", MAX_CHECKPOINT_CHARS)


@attrs.frozen
class WorkflowCancelled:
    """A caller cancelled a workflow."""

    workflow_id: str = records.text("j", MAX_NAME_CHARS)
    at_ms: int = records.number("at")


@attrs.frozen
class WorkflowsExpired:
    """Workflows that ended more than `RETENTION_MS` ago were deleted."""

    workflow_ids: tuple[str, ...] = records.texts("js", MAX_NAME_CHARS)


@attrs.frozen
class InterferenceEstimated:
    """New estimate of a best-effort image's interference with a latency-critical image.

    See `headrooms.InterferenceEstimate`.

    :param filling: the best-effort image.
    :param serving: the latency-critical image.
    :param mean_milli: mean of the estimate, in thousandths.
    :param deviation_milli: standard deviation of the estimate, in thousandths.
    """

    filling: str = records.text("f", MAX_NAME_CHARS)
    serving: str = records.text("s", MAX_NAME_CHARS)
    mean_milli: int = records.number("m")
    deviation_milli: int = records.number("d")


EVENT_TYPE_BY_CODE = MappingProxyType(
    {
        "accepted": WorkflowAccepted,
        "assigned": RunAssigned,
        "over": RunEnded,
        "saved": RunCheckpointed,
        "cancelled": WorkflowCancelled,
        "expired": WorkflowsExpired,
        "pressure": InterferenceEstimated,
    }
)
_CODE_BY_TYPE = {kind: code for code, kind in EVENT_TYPE_BY_CODE.items()}


def encode_event(event: Any) -> dict[str, object]:
    """Return the JSON-serialisable form of an event."""
    return {"e": _CODE_BY_TYPE[type(event)], **records.encode(event)}


def decode_event(raw: dict[str, object]) -> Any:
    """Decode an event from its JSON form.

    :raises InvalidMessageError: when the event is malformed or from a newer version.
    """
    kind = EVENT_TYPE_BY_CODE.get(raw.get("e")) if isinstance(raw.get("e"), str) else None
    if kind is None:
        raise InvalidMessageError(f"unknown pool event {str(raw.get('e'))[:60]!r}")
    return records.decode(kind, {key: value for key, value in raw.items() if key != "e"})


class Phase(enum.Enum):
    """Phase of a task; in `HELD`, one of its runs takes up capacity on a worker."""

    WAITING = "waiting"
    HELD = "held"
    DONE = "done"
    ABANDONED = "abandoned"


@attrs.define(eq=False)
class StepTask:
    """One task of a step.

    :param step: number of the step in the workflow.
    :param index: number of the task in the step.
    :param name: `workflow/occurrence/step/index`.
    :param run: number of the latest run; 0 before the first.
    :param worker_id: worker of the latest run.
    :param incarnation: incarnation of that worker.
    :param machine: VM of that worker.
    :param start_by_ms: latest start of the run on that worker's clock, in milliseconds; the worker
        refuses a later one.
    :param failures: number of runs that failed.
    :param checkpoint: checkpoint from which the next run resumes; empty when there is none.
    :param failed_on: the last `MAX_FAILED_WORKERS` workers on which runs failed.
    :param waiting_since_ms: when the task last began to wait for a worker, in milliseconds since
        1970; 0 before the first time. A run that was not started does not end the wait.
    :param crashes: worker crashes under the task; None if there are none that count.
    :param outlived_run: number of the run that has lasted longer than any probation, or has proven
        a long-running task, while no crashes counted; 0 for none. A crash then does not make the
        task suspected just because nothing was started on its worker later.
    :param proof: what a long-running task that has run for long may lose without evidence against
        it; None if it has not run for long.
    :param delivered_run: number of the run of which this process knows that its start reached the
        worker's agent, see `Pool.record_delivery`; 0 for none.
    :param excused_starts: number of crashes that this process took for an outage although the task
        had just started or was suspected; some count for a part.
    :param lost_run: number of the latest run of which this process knows that its worker lost the
        start, see `Pool.record_lost_start`; 0 for none.
    """

    workflow: "Workflow"
    step: int
    index: int
    name: str
    phase: Phase = Phase.WAITING
    run: int = 0
    worker_id: str = ""
    incarnation: str = ""
    machine: str = ""
    start_by_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    waiting_since_ms: int = 0
    crashes: CrashRecord | None = None
    outlived_run: int = 0
    proof: Proof | None = None
    delivered_run: int = 0
    excused_starts: float = 0.0
    lost_run: int = 0

    @property
    def is_suspected(self) -> bool:
        """Return whether the task may crash workers and must start apart from others."""
        return self.crashes is not None and self.crashes.is_suspected

    @property
    def is_proven(self) -> bool:
        """Return whether the task has run for long and has lost few runs since."""
        return bool(self.proof)

    @property
    def has_lost_start(self) -> bool:
        """Return whether the start of the latest run was lost."""
        return 0 < self.run == self.lost_run

    @property
    def spec(self) -> StepSpec:
        """Return the spec of the task's step."""
        return self.workflow.spec.steps[self.step]

    def awaits_run_after(self, run: int) -> bool:
        """Return whether the given run is the latest one, and the task waits for the next."""
        return self.phase is Phase.WAITING and self.run == run > 0

    def has_active_run(self, run: int) -> bool:
        """Return whether the given run is the latest one and has not ended."""
        return self.phase is Phase.HELD and self.run == run


@attrs.define(eq=False)
class Workflow:
    """One workflow.

    :param steps: the tasks of each step; empty once the workflow has ended and holds no capacity.
    :param unfinished_counts: number of tasks of each step that are not done.
    :param is_started: whether a worker is known to have started a task. An assignment does not
        count, since its run may never start.
    :param ended_ms: when the workflow ended, in milliseconds since 1970; 0 before.
    :param shown: state that callers see; `Pool.publish` updates it after each commit.
    :param given_up: the task that was given up because it crashed its workers, if this process has
        applied the event.
    """

    workflow_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_ms: int
    steps: list[list[StepTask]] = attrs.field(factory=list)
    unfinished_counts: list[int] = attrs.field(factory=list)
    is_started: bool = False
    is_failed: bool = False
    is_cancelled: bool = False
    ended_ms: int = 0
    shown: str = ""
    given_up: StepTask | None = None

    @property
    def is_ended(self) -> bool:
        """Return whether the workflow has ended; none of its tasks may start any more."""
        return self.ended_ms > 0

    @property
    def state(self) -> str:
        """Return the state in the form that callers see."""
        if self.is_cancelled:
            return "cancelled"
        if self.is_failed:
            return "failed"
        if self.is_ended:
            return "completed"
        return "running" if self.is_started else "queued"

    def is_ready(self, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(self.unfinished_counts[earlier] == 0 for earlier in self.spec.steps[step].after)

    def tasks(self) -> Iterator[StepTask]:
        """Yield the tasks of all steps."""
        for tasks in self.steps:
            yield from tasks


class Pool:
    """All workflows of one pool. Not thread-safe; callers must hold the owner's lock."""

    def __init__(self) -> None:
        self.workflows: dict[str, Workflow] = {}
        self.unended: dict[str, Workflow] = {}
        """The workflows that have not ended; `workflows` keeps the others for `RETENTION_MS`."""
        self.best_effort_widths = StepWidths()
        """Widths of the best-effort steps of these workflows."""
        self.interferences: dict[tuple[str, str], InterferenceEstimated] = {}
        self._tasks: dict[str, StepTask] = {}
        self._ready: dict[str, StepTask] = {}
        self._active_by_worker: dict[str, dict[str, StepTask]] = {}
        self._allocation_versions: dict[str, int] = {}
        self._last_allocation_version = 0
        self._workers_to_stop_runs_on: set[str] = set()
        self._crashed: dict[str, StepTask] = {}
        self._lapsed: dict[str, int] = {}
        self._last_forgotten: tuple[str, CrashRecord, Proof | None] | None = None
        self._recent_runs: dict[tuple[str, str], frozenset[str]] = {}
        self._newly_suspected: list[StepTask] = []
        self._ended: dict[str, None] = {}
        self._changed: dict[str, Workflow] = {}

    # Reading

    def task(self, name: str) -> StepTask | None:
        """Return a task by name, or None when it is unknown or was dropped with its workflow."""
        return self._tasks.get(name)

    def ready(self) -> list[StepTask]:
        """Return the tasks that are waiting for a worker."""
        return list(self._ready.values())

    def bound_waits(self, now_ms: int) -> None:
        """Let waits that seem to begin later begin now.

        They do after the time of day was set back, or under an owner whose clock is behind.

        :param now_ms: current time, in milliseconds since 1970.
        """
        for task in self._ready.values():
            task.waiting_since_ms = min(task.waiting_since_ms, now_ms)

    def active_tasks(self, worker_id: str) -> list[StepTask]:
        """Return the tasks whose runs take up capacity on a worker."""
        return list(self._active_by_worker.get(worker_id, {}).values())

    def allocation_version(self, worker_id: str) -> int:
        """Return a number that changes whenever `active_tasks` of a worker changes."""
        return self._allocation_versions.get(worker_id, 0)

    def workers_with_runs(self) -> list[str]:
        """Return the ids of the workers on which runs take up capacity."""
        return list(self._active_by_worker)

    def take_workers_to_stop_runs_on(self) -> set[str]:
        """Return the workers with runs of workflows that have ended since the last call."""
        taken, self._workers_to_stop_runs_on = self._workers_to_stop_runs_on, set()
        return taken

    def crashed_tasks(self) -> list[StepTask]:
        """Return the tasks with worker crashes that count."""
        return list(self._crashed.values())

    def trials(self) -> list[StepTask]:
        """Return the suspected tasks whose runs take up capacity."""
        return [
            task
            for task in self._crashed.values()
            if task.is_suspected and task.phase is Phase.HELD
        ]

    def take_newly_suspected(self) -> list[StepTask]:
        """Return the tasks that have become suspected since the last call."""
        taken, self._newly_suspected = self._newly_suspected, []
        return taken

    def waiting(self, queue: str) -> int:
        """Return the number of a queue's workflows of which no task is known to have started."""
        return sum(
            workflow.shown == "queued" and workflow.queue.name == queue
            for workflow in self.workflows.values()
        )

    def expired(self, now_ms: int) -> tuple[str, ...]:
        """Return the workflows that ended more than `RETENTION_MS` ago and hold no capacity."""
        oldest = now_ms - RETENTION_MS
        return tuple(name for name in self._ended if self.workflows[name].ended_ms < oldest)

    # Changing

    @singledispatchmethod
    def apply(self, event: Any) -> bool:
        """Apply an event.

        :returns: whether the state changed; a repeated or outdated event is ignored.
        :raises InvalidMessageError: when the type of the event is unknown.
        """
        raise InvalidMessageError(f"{type(event).__name__} is not a pool event")

    @apply.register
    def _(self, event: WorkflowAccepted) -> bool:
        if event.workflow_id in self.workflows:
            return False
        queue = records.decode(Queue, json.loads(event.queue))
        spec = WorkflowSpec.from_json(event.spec)
        workflow = Workflow(event.workflow_id, queue, spec, event.at_ms)
        for number, step in enumerate(spec.steps):
            prefix = f"{event.workflow_id}/0/{number}/"
            tasks = [
                StepTask(workflow, number, index, f"{prefix}{index}") for index in range(step.count)
            ]
            workflow.steps.append(tasks)
            workflow.unfinished_counts.append(step.count)
            self._tasks.update((task.name, task) for task in tasks)
        self.workflows[event.workflow_id] = workflow
        self.unended[event.workflow_id] = workflow
        self.best_effort_widths.add(spec)
        self._changed[event.workflow_id] = workflow
        self._queue_ready(workflow, event.at_ms)
        return True

    @apply.register
    def _(self, event: RunAssigned) -> bool:
        task = self._ready.get(event.task)
        if task is None or event.run != task.run + 1:
            return False
        self._last_forgotten = None
        del self._ready[task.name]
        task.phase = Phase.HELD
        task.run = event.run
        task.worker_id = event.worker_id
        task.incarnation = event.incarnation
        task.machine = event.machine
        task.start_by_ms = event.start_by_ms
        self._allocate_capacity(task)
        return True

    @apply.register
    def _(self, event: RunEnded) -> bool:
        task = self._tasks.get(event.task)
        if task is None:
            return False
        outcome = RunOutcome(event.outcome)
        if outcome is RunOutcome.DONE and task.awaits_run_after(event.run):
            return self._finish_late(task, event.at_ms)
        if not task.has_active_run(event.run):
            return False
        if outcome in _OUTCOMES_OF_STARTED_RUNS:
            self.record_start(task)
        is_given_up = self._record_crash_evidence(task, outcome)
        self._last_forgotten = None
        self._release_capacity(task)
        if event.checkpoint:
            task.checkpoint = event.checkpoint
        if outcome is RunOutcome.DONE and not task.spec.lasting:
            self._mark_done(task, event.at_ms)
        elif is_given_up and not task.workflow.is_ended:
            self._give_up(task, event.at_ms)
        else:
            self._retry_or_abandon(task, outcome, event.at_ms)
        self._forget_tasks(task.workflow)
        return True

    @apply.register
    def _(self, event: RunCheckpointed) -> bool:
        task = self._tasks.get(event.task)
        if task is None or not task.has_active_run(event.run):
            return False
        self.record_start(task)
        if task.checkpoint == event.checkpoint:
            return self._record_survival(task)
        task.checkpoint = event.checkpoint
        return True

    @apply.register
    def _(self, event: WorkflowCancelled) -> bool:
        workflow = self.workflows.get(event.workflow_id)
        if workflow is None or workflow.is_ended:
            return False
        workflow.is_cancelled = True
        self._end(workflow, event.at_ms)
        return True

    @apply.register
    def _(self, event: WorkflowsExpired) -> bool:
        expired = [name for name in event.workflow_ids if name in self._ended]
        for name in expired:
            del self._ended[name]
            del self.workflows[name]
        return bool(expired)

    @apply.register
    def _(self, event: InterferenceEstimated) -> bool:
        self.interferences[event.filling, event.serving] = event
        return True

    def record_start(self, task: StepTask) -> None:
        """Record that a worker has started a task.

        This is an observation, not an event: the next owner learns it from the snapshot, from the
        events of ended runs, or from the first reports of workers.
        """
        workflow = task.workflow
        if not workflow.is_started:
            workflow.is_started = True
            self._changed[workflow.workflow_id] = workflow

    def record_delivery(self, task_name: str, run: int) -> None:
        """Record that the start of a run has reached its worker's agent, or that the run is listed.

        This is an observation, not an event. Without it nobody knows whether the run has started,
        so the end of its worker is no evidence against its task.
        """
        task = self._tasks.get(task_name)
        if task is not None and task.has_active_run(run):
            task.delivered_run = run

    def record_lost_start(self, task: StepTask) -> None:
        """Record that a worker has not started the latest run of a task, and has not refused it.

        This is an observation, not an event. A start that is refused costs little time, and a
        worker that is gone refuses it.
        """
        task.lost_run = task.run

    def publish(self) -> list[Workflow]:
        """Make the current states visible to callers, once all applied events are committed.

        :returns: the workflows whose visible state has changed.
        """
        changed = [
            workflow for workflow in self._changed.values() if workflow.shown != workflow.state
        ]
        for workflow in changed:
            workflow.shown = workflow.state
        self._changed = {}
        return changed

    def _queue_ready(self, workflow: Workflow, at_ms: int) -> None:
        for number, tasks in enumerate(workflow.steps):
            if not workflow.unfinished_counts[number] or not workflow.is_ready(number):
                continue
            for task in tasks:
                if task.phase is Phase.WAITING and task.name not in self._ready:
                    task.waiting_since_ms = at_ms
                    self._ready[task.name] = task

    def _finish_late(self, task: StepTask, at_ms: int) -> bool:
        """Mark a task as done whose latest run had been given up, but was executed late."""
        if task.spec.lasting or task.workflow.is_ended:
            return False
        self.record_start(task)
        self._record_crash_evidence(task, RunOutcome.DONE)
        self._last_forgotten = None
        del self._ready[task.name]
        self._mark_done(task, at_ms)
        self._forget_tasks(task.workflow)
        return True

    def _mark_done(self, task: StepTask, at_ms: int) -> None:
        workflow = task.workflow
        task.phase = Phase.DONE
        workflow.unfinished_counts[task.step] -= 1
        if workflow.is_ended:
            return
        if not any(workflow.unfinished_counts):
            self._end(workflow, at_ms)
        elif not workflow.unfinished_counts[task.step]:
            self._queue_ready(workflow, at_ms)

    def _retry_or_abandon(self, task: StepTask, outcome: RunOutcome, at_ms: int) -> None:
        workflow = task.workflow
        if outcome is RunOutcome.FAILED:
            task.failures += 1
            others = [worker for worker in task.failed_on if worker != task.worker_id]
            task.failed_on = (*others, task.worker_id)[-MAX_FAILED_WORKERS:]
        if workflow.is_ended:
            task.phase = Phase.ABANDONED
        elif task.failures >= workflow.queue.max_attempts and not task.spec.lasting:
            task.phase = Phase.ABANDONED
            workflow.is_failed = True
            self._end(workflow, at_ms)
        else:
            task.phase = Phase.WAITING
            if outcome is not RunOutcome.UNSTARTED:
                task.waiting_since_ms = at_ms
            self._ready[task.name] = task

    def _give_up(self, task: StepTask, at_ms: int) -> None:
        workflow = task.workflow
        task.phase = Phase.ABANDONED
        workflow.is_failed = True
        workflow.given_up = task
        self._end(workflow, at_ms)

    def _record_crash_evidence(self, task: StepTask, outcome: RunOutcome) -> bool:
        """Update the crashes of a task whose run has ended; return whether to give the task up."""
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self._forget_crashes(task)
            return False
        is_guilty = False
        if outcome is RunOutcome.LOST and self._last_forgotten is not None:
            name, record, proof = self._last_forgotten
            if name == task.name:
                task.proof = proof
                record.excuse, record.is_suspected = Excuse.PENDING, True
                task.crashes, self._crashed[task.name] = record, task
                return False
        if outcome is RunOutcome.LAPSED and task.is_proven:
            task.proof = task.proof.after_loss()
            return False
        if outcome is RunOutcome.LAPSED and task.crashes is None:
            self._lapsed[task.name] = self._lapsed.get(task.name, 0) + 1
        if outcome is RunOutcome.LOST:
            if task.crashes is None:
                # A run that lapsed may have ended in a crash that no owner learned of.
                task.crashes = CrashRecord(
                    uncleared_runs=min(self._lapsed.get(task.name, 0), MAX_LAPSED_RUNS),
                    is_late=task.spec.lasting
                    and (task.outlived_run == task.run or task.proof is not None),
                )
                self._crashed[task.name] = task
            was_suspected = task.is_suspected
            recent = self._recent_runs_at_crash(task)
            if task.outlived_run == task.run:
                recent -= {task.name}
            is_guilty = task.crashes.record_crash(task.machine or task.worker_id, recent, task.name)
            if task.is_suspected and not was_suspected:
                self._newly_suspected.append(task)
                task.proof = task.proof and task.proof.revoked()
        if task.crashes is None:
            return False
        if outcome is not RunOutcome.UNSTARTED:
            task.crashes.uncleared_runs += 1
        return is_guilty or task.crashes.is_exhausted

    def _recent_runs_at_crash(self, task: StepTask) -> frozenset[str]:
        """Return the tasks that a crashed worker had started shortly before.

        The first of the crash's events determines them, since each event releases its run.
        """
        key = (task.worker_id, task.incarnation)
        start_by_ms = {
            other.name: other.start_by_ms
            for other in self._active_by_worker[task.worker_id].values()
            if other.incarnation == task.incarnation
        }
        recent = self._recent_runs.pop(key, None)
        if recent is None:
            recent = recent_runs(start_by_ms)
            has_service = any(self._tasks[name].spec.lasting for name in recent)
            if has_service and self._has_earlier_trial(task, recent):
                # An overdue service started beside a trial: the crash proves nothing.
                recent = frozenset()
        if len(start_by_ms) > 1:
            self._recent_runs[key] = recent
        return recent

    def _has_earlier_trial(self, task: StepTask, recent: Collection[str]) -> bool:
        """Return whether a suspected run on the worker of a task began before some recent ones."""
        return any(
            other.is_suspected and other.name not in recent
            for other in self._active_by_worker[task.worker_id].values()
            if other.incarnation == task.incarnation
        )

    def _record_survival(self, task: StepTask) -> bool:
        if task.crashes is not None and task.crashes.is_suspected:
            task.crashes.is_suspected = False
            return True
        before = (task.crashes, task.proof, task.outlived_run)
        if task.crashes is not None:
            is_full = task.crashes.is_late
            self._last_forgotten = task.name, task.crashes, task.proof
            self._forget_crashes(task)
        else:
            is_full = task.outlived_run == task.run
        task.outlived_run = task.run
        if task.spec.lasting:
            is_full = is_full or task.proof is None
            task.proof = FULL_PROOF if is_full else task.proof.renewed()
        return (task.crashes, task.proof, task.outlived_run) != before

    def _forget_crashes(self, task: StepTask) -> None:
        task.crashes = None
        self._crashed.pop(task.name, None)
        self._lapsed.pop(task.name, None)

    def _end(self, workflow: Workflow, at_ms: int) -> None:
        workflow.ended_ms = max(1, at_ms)
        self._remove_unended(workflow)
        self._changed[workflow.workflow_id] = workflow
        for task in workflow.tasks():
            if task.phase is Phase.WAITING:
                task.phase = Phase.ABANDONED
                self._ready.pop(task.name, None)
            elif task.phase is Phase.HELD:
                self._workers_to_stop_runs_on.add(task.worker_id)
        self._forget_tasks(workflow)

    def _remove_unended(self, workflow: Workflow) -> None:
        del self.unended[workflow.workflow_id]
        self.best_effort_widths.remove(workflow.spec)

    def _allocate_capacity(self, task: StepTask) -> None:
        self._active_by_worker.setdefault(task.worker_id, {})[task.name] = task
        self._change_allocation(task.worker_id)

    def _release_capacity(self, task: StepTask) -> None:
        active_tasks = self._active_by_worker[task.worker_id]
        del active_tasks[task.name]
        self._change_allocation(task.worker_id)
        if not active_tasks:
            del self._active_by_worker[task.worker_id]
            del self._allocation_versions[task.worker_id]
            self._recent_runs.pop((task.worker_id, task.incarnation), None)

    def _change_allocation(self, worker_id: str) -> None:
        self._last_allocation_version += 1
        self._allocation_versions[worker_id] = self._last_allocation_version

    def _forget_tasks(self, workflow: Workflow) -> None:
        """Drop the tasks of an ended workflow once none of them takes up capacity."""
        if not workflow.is_ended or workflow.workflow_id in self._ended:
            return
        if any(task.phase is Phase.HELD for task in workflow.tasks()):
            return
        for task in workflow.tasks():
            del self._tasks[task.name]
            self._crashed.pop(task.name, None)
            self._lapsed.pop(task.name, None)
        workflow.steps = []
        self._ended[workflow.workflow_id] = None

    # Snapshots

    def to_snapshot(self) -> dict[str, object]:
        """Return the state as a JSON-serialisable object."""
        return {
            "workflows": [
                _active_row(workflow)
                for name, workflow in self.workflows.items()
                if name not in self._ended
            ],
            "started": [
                name
                for name, workflow in self.workflows.items()
                if workflow.is_started and name not in self._ended
            ],
            "ended": [_ended_row(self.workflows[name]) for name in self._ended],
            "pressures": [records.encode(estimate) for estimate in self.interferences.values()],
            "crashes": [_crash_row(task) for task in self._crashed.values()],
            "excuses": [
                [task.name, task.crashes.excuse.value]
                for task in self._crashed.values()
                if task.crashes.excuse is not Excuse.NONE
            ],
            # Earlier builds read each name once.
            "lapsed": [
                name
                for name, runs in self._lapsed.items()
                for _ in range(min(runs, MAX_LAPSED_RUNS))
            ],
            "proven": [
                [name, _proof_rows(workflow)]
                for name, workflow in self.workflows.items()
                if any(task.proof is not None for task in workflow.tasks())
            ],
            "late_crashes": [task.name for task in self._crashed.values() if task.crashes.is_late],
            "outlived": [
                [task.name, task.run]
                for tasks in self._active_by_worker.values()
                for task in tasks.values()
                if task.outlived_run == task.run
            ],
        }

    @classmethod
    def from_snapshot(cls, raw: object) -> "Pool":
        """Restore a pool from a snapshot.

        :raises InvalidMessageError: when the snapshot is malformed or from a newer version.
        """
        pool = cls()
        try:
            for row in raw["workflows"]:
                pool._restore_active(*row)
            if "started" in raw:
                pool._restore_started(raw["started"])
            for row in raw["ended"]:
                pool._restore_ended(*row)
            for row in raw["pressures"]:
                pool.apply(records.decode(InterferenceEstimated, row))
            # Earlier builds write no crashes.
            for row in raw.get("crashes", ()):
                pool._restore_crashes(*row)
            for name, excuse in raw.get("excuses", ()):
                if name in pool._crashed:
                    pool._crashed[name].crashes.excuse = Excuse(excuse)
            pool._lapsed = dict(Counter(pool._tasks[name].name for name in raw.get("lapsed", ())))
            for name, run in raw.get("outlived", ()):
                _check_types((name, run), (str, int))
                pool._tasks[name].outlived_run = run
            for name, rows in raw.get("proven", ()):
                tasks = list(pool.workflows[name].tasks())
                for row in rows:
                    _check_types(row, (int, int, int))
                    tasks[row[0]].proof = Proof(*row[1:])
            for name in raw.get("late_crashes", ()):
                pool._crashed[name].crashes.is_late = True
            pool.publish()
        except (TypeError, KeyError, ValueError, IndexError) as exc:
            raise InvalidMessageError(f"invalid pool snapshot: {exc!r}") from exc
        return pool

    def _restore_active(
        self,
        accepted: dict,
        assigned: bool,
        failed: bool,
        cancelled: bool,
        ended_ms: int,
        rows: list,
    ) -> None:
        _check_types((assigned, failed, cancelled, ended_ms), (bool, bool, bool, int))
        self.apply(records.decode(WorkflowAccepted, accepted))
        workflow = self.workflows[accepted["j"]]
        workflow.is_failed, workflow.is_cancelled = failed, cancelled
        workflow.ended_ms = ended_ms
        if workflow.is_ended:
            self._remove_unended(workflow)
        for task, row in zip(workflow.tasks(), rows, strict=True):
            _check_types(row, _TASK_ROW_TYPES)
            phase, task.run, task.worker_id, task.incarnation, task.machine = row[:5]
            task.start_by_ms, task.failures, task.checkpoint = row[5:8]
            failed_on, task.waiting_since_ms = row[8:]
            task.phase = Phase(phase)
            task.failed_on = tuple(failed_on)
            self._ready.pop(task.name, None)
            if task.phase is Phase.HELD:
                self._allocate_capacity(task)
            if task.phase is Phase.DONE or task.failures or task.checkpoint:
                # Snapshots of earlier builds do not tell which workflows have started.
                workflow.is_started = True
        for number, tasks in enumerate(workflow.steps):
            workflow.unfinished_counts[number] = sum(task.phase is not Phase.DONE for task in tasks)
        if not workflow.is_ended:
            for number, tasks in enumerate(workflow.steps):
                if workflow.is_ready(number):
                    waiting = (task for task in tasks if task.phase is Phase.WAITING)
                    self._ready.update((task.name, task) for task in waiting)

    def _restore_started(self, names: list[str]) -> None:
        for workflow in self.workflows.values():
            workflow.is_started = False
        for name in names:
            self.workflows[name].is_started = True

    def _restore_crashes(
        self, name: str, count: int, suspected: bool, uncleared_runs: int, machines: list
    ) -> None:
        _check_types((name, count, suspected, uncleared_runs, machines), _CRASH_ROW_TYPES)
        task = self._tasks[name]
        task.crashes = CrashRecord(count, suspected, uncleared_runs, tuple(machines))
        self._crashed[name] = task

    def _restore_ended(self, workflow_id: str, queue: str, shown: str, ended_ms: int) -> None:
        _check_types((workflow_id, queue, shown, ended_ms), (str, str, str, int))
        workflow = Workflow(workflow_id, Queue(queue), WorkflowSpec("", ()), 0)
        workflow.is_failed = shown == "failed"
        workflow.is_cancelled = shown == "cancelled"
        workflow.ended_ms = ended_ms
        self.workflows[workflow_id] = workflow
        self._ended[workflow_id] = None
        self._changed[workflow_id] = workflow


def accepted_event(
    workflow_id: str, queue: Queue, spec: WorkflowSpec, at_ms: int
) -> WorkflowAccepted:
    """Return the event that accepts a workflow into a queue."""
    queue_json = json.dumps(records.encode(queue), separators=(",", ":"))
    return WorkflowAccepted(workflow_id, queue_json, spec.to_json(), at_ms)


def run_profile(task: StepTask) -> RunProfile:
    """Return the profile that an agent needs for the runs of a task."""
    spec = task.spec
    return RunProfile(task.name, spec.image, spec.fills, spec.cpu_millis, spec.target_ms)


def _active_row(workflow: Workflow) -> list[object]:
    accepted = accepted_event(
        workflow.workflow_id, workflow.queue, workflow.spec, workflow.accepted_ms
    )
    tasks = [
        [
            task.phase.value,
            task.run,
            task.worker_id,
            task.incarnation,
            task.machine,
            task.start_by_ms,
            task.failures,
            task.checkpoint,
            list(task.failed_on),
            task.waiting_since_ms,
        ]
        for task in workflow.tasks()
    ]
    # Earlier builds count a workflow as started once a run is assigned.
    is_assigned = any(task.run for task in workflow.tasks())
    flags = [is_assigned, workflow.is_failed, workflow.is_cancelled]
    return [records.encode(accepted), *flags, workflow.ended_ms, tasks]


def _crash_row(task: StepTask) -> list[object]:
    crashes = task.crashes
    return [
        task.name,
        crashes.count,
        crashes.is_suspected,
        crashes.uncleared_runs,
        list(crashes.machines),
    ]


def _proof_rows(workflow: Workflow) -> list[list[int]]:
    return [
        [position, *attrs.astuple(task.proof)]
        for position, task in enumerate(workflow.tasks())
        if task.proof is not None
    ]


_CRASH_ROW_TYPES = (str, int, bool, int, list)
_TASK_ROW_TYPES = (str, int, str, str, str, int, int, str, list, int)


def _check_types(row: Sequence[object], types: Sequence[type]) -> None:
    """Check the types of the fields of a snapshot's row.

    :raises TypeError: when one of them is wrong.
    """
    for value, expected in zip(row, types, strict=True):
        if type(value) is not expected:
            raise TypeError(f"{value!r:.60} is not of type {expected.__name__}")


def _ended_row(workflow: Workflow) -> list[object]:
    return [workflow.workflow_id, workflow.queue.name, workflow.state, workflow.ended_ms]

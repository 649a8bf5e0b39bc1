"""Scheduling decisions of a pool's owner: run ends, placement, moves, starts and stops.

The decision thread calls all methods, with the lock of the ownership term held.
"""

import threading
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.capacities import (
    WorkerCapacity,
    step_key,
    total_demand,
    worker_capacity_of,
)
from mulberryslip.clocks import Clock
from mulberryslip.crashes import (
    CLEARED_AFTER_MS,
    CRASHED_TRIALS_WINDOW_MS,
    FIRST_PROBATION_MS,
    FULL_PROOF,
    MAX_EXCUSED_STARTS,
    MAX_PROBATION_MS,
    MIN_CRASHED_TRIALS,
    PROVEN_AFTER_MS,
    Excuse,
    max_backlog_trials,
    max_trials,
    recent_runs,
)
from mulberryslip.dispatches import (
    LAST_RESORT_WAIT_MS,
    MAX_ESTIMATE_MS,
    RESERVATION_WAIT_MS,
    START_DEADLINE_MS,
    Dispatcher,
    PlacementDecision,
    Reservations,
    tasks_to_try,
)
from mulberryslip.events import Event, log
from mulberryslip.headrooms import ColocatedRun, InterferenceEstimate
from mulberryslip.health import RunProgress, WorkerHealth
from mulberryslip.metrics import Metrics
from mulberryslip.models import Resources
from mulberryslip.outages import Survivor, WorkerCrash
from mulberryslip.queues import PoolConfig
from mulberryslip.refusals import Preference, Requirement
from mulberryslip.runners import EndedRun, RunningRun
from mulberryslip.vms import Silence
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.wire import ttypes as wire
from mulberryslip.workflows import (
    OUTCOME_BY_END_KIND,
    InterferenceEstimated,
    Pool,
    RunAssigned,
    RunCheckpointed,
    RunEnded,
    RunOutcome,
    StepTask,
    WorkflowsExpired,
    run_profile,
)

from .members import CAPACITY_SHRANK, Member, ended_of, newest_members
from .ownerships import PoolLeaseTimes, PoolTerm
from .pending_starts import LATE_CALL_TIMEOUT, is_in_flight
from .service_waits import (
    ServiceWait,
    WaitReason,
    WorkerSample,
    waits_to_log,
    waits_to_sample,
)

START_WINDOW = timedelta(milliseconds=1500)
"""Time within which a start command must reach the worker. It bounds how long a start without a
reply can still take effect, so a shorter window frees the task sooner."""

MAX_REPORT_AGE = timedelta(milliseconds=2200)
"""Maximum age of the last report of a worker that gets new runs; agents report at least every
0.7 s."""

MAX_FIRST_REPORT_DELAY = timedelta(seconds=1)
"""Time after a claim from which a worker that has not reported to the new owner counts as silent
when VMs are listed. Agents watch the owner key, and report at once to a new owner."""

CONFIG_MAX_AGE = timedelta(milliseconds=2500)
"""Maximum age of the configuration with which runs are started. Together with `START_WINDOW` it
stays below the 5 s after which a data centre that was taken out must not get any new run."""

STOP_RETRY_INTERVAL = timedelta(seconds=1)

MEMBER_EXPIRY = timedelta(minutes=1)
"""Time without a report after which a worker that holds no task is removed from memory. Worker ids
change with each incarnation, so the table would grow without bound."""

EXPIRY_INTERVAL = timedelta(seconds=10)

CHECKPOINT_RECORD_INTERVAL = timedelta(seconds=1)
"""Time between journal records of checkpoints. Workers save about once a second, so more frequent
records would hold the same checkpoints."""

SHARED_BLAME = 0.5
MIN_SHARED_STARTS = 4
"""Part of an excuse that an outage of the whole fleet takes up for a task that had just started,
and number of such runs on its worker from which on they share the blame. Two excused runs and
`CRASHES_BEFORE_GUILT` crashes are `MAX_UNCLEARED_RUNS`."""

INTERFERENCE_RECORD_INTERVAL = timedelta(seconds=3)
"""Time between journal records of interference estimates; a new owner learns later changes
itself."""

MIN_INTERFERENCE_CHANGE_MILLI = 700
"""Smallest change of an interference estimate that is recorded, in thousandths: a third of the
weakest interference between heavy pairs of images."""

MIN_LATEST_START_CHANGE_MS = 400
"""Smallest change of a run's latest start that its agent is told: the time between two listings."""

RESEND_INTERVAL = timedelta(seconds=2)
"""Time after which an agent is told all latest starts again; it lists its runs five times as
often."""

MOVE_INTERVAL = timedelta(milliseconds=500)

SURVIVAL_INTERVAL = timedelta(milliseconds=100)
"""Time between two checks for suspected tasks that have outlived their probation."""

PROOF_INTERVAL = timedelta(milliseconds=500)
"""Time between two checks for long-running tasks that have proven themselves, of all runs."""

UNLISTED_INTERVAL = timedelta(milliseconds=200)
"""Time between two notes of the services whose starts are on their way, which look at all runs."""

LOST_RUNS_INTERVAL = timedelta(milliseconds=100)
"""Time between two checks for lost workers, which compare all workers."""

BEST_EFFORT_INTERVAL = timedelta(milliseconds=250)
"""Time between two rounds that place best-effort tasks. Their placement compares all workers, which
would delay quick checks, and a quarter of a second matters little to tasks of several seconds."""

URGENT_BURST = 32
"""Starts of services and checks in one round after which best-effort tasks wait for the next round.
When all workers return at once, placing hundreds of best-effort tasks would delay these starts,
which are sent after the round."""

LONG_WAIT_MS = 2000
"""Time after which it is logged why a service or a check has not been started."""

WAIT_LOG_INTERVAL = timedelta(seconds=1)

SERVICE_WAIT_GAUGE = "service_wait_with_room_ms"
LARGE_TASKS_GAUGE = "reserved_for_large_tasks"
OVERDUE_COUNTER = "large_task_reservations_overdue"

MIN_TIME_BEFORE_MOVE = timedelta(seconds=2)
"""Shortest time that a run must have spent on a worker before it may be moved; before that, its
measured speed is not meaningful."""

MOVE_BELOW_PERCENT = 80
"""Progress below which a best-effort run with checkpoints may be moved. A run that is almost done
ends sooner than it could be moved."""

RESTART_BELOW_PERCENT = 20
"""Progress below which a run without checkpoints may be restarted on another worker."""


class ConfigSource(Protocol):
    """The part of `intents.PoolConfigSource` that the owner needs."""

    def config(self) -> PoolConfig | None:
        """Return the newest configuration."""

    def age(self) -> timedelta:
        """Return the time since the configuration was last confirmed to be the newest."""

    def refresh(self) -> PoolConfig | None:
        """Read all changes up to now."""

    def run(self, stop: threading.Event) -> None:
        """Watch for changes until stopped."""


@attrs.define
class _Timer:
    """Tells when a periodic action is due."""

    interval: timedelta
    next_at: timedelta

    def is_due(self, now: timedelta) -> bool:
        """Return whether the action is due; if so, schedule the next one after the interval."""
        if now < self.next_at:
            return False
        self.next_at = now + self.interval
        return True


@attrs.frozen
class _Waits:
    """The tasks that wait for long after a round.

    :param overdue: services, checks and suspected tasks that have waited for `LONG_WAIT_MS`.
    :param candidates: workers that could get runs.
    :param kept: number of workers that were kept for suspected tasks.
    :param passed_over: tasks that a limit kept from workers with room, with the limit.
    :param now_ms: current time, in milliseconds since 1970.
    """

    overdue: list[StepTask]
    candidates: list[WorkerCapacity]
    kept: int
    passed_over: dict[str, Preference]
    now_ms: int


@attrs.define
class _Round:
    """What a round has found out about the long-running tasks that wait.

    :param services: the tasks that wait, also those that start in this round.
    :param limits: by task, a reason that kept it from workers with room, or from all.
    :param candidates: workers that could get runs, after the starts of the round; None if they were
        not compared.
    :param kept: number of workers that were kept for suspected tasks.
    """

    services: list[StepTask] = attrs.field(factory=list)
    limits: dict[str, str] = attrs.field(factory=dict)
    candidates: list[WorkerCapacity] | None = None
    kept: int = 0


@attrs.frozen
class _OccupiedWorker:
    """A worker that is up, and what parts of its runs take up.

    :param is_on_trial: whether it runs a suspected task.
    :param parts: capacity that the runs of each part take up.
    """

    capacity: WorkerCapacity
    is_on_trial: bool
    parts: dict[str, Resources]


class PoolScheduler:
    """Makes the scheduling decisions of a pool's owner.

    :param source: the operators' configuration.
    :param dispatcher: chooses workers for tasks.
    :param times: lease times that decide when a run has certainly ended.
    :param wide_steps: tells whether the decisions for wide best-effort steps apply to the pool.
    """

    def __init__(
        self,
        source: ConfigSource,
        dispatcher: Dispatcher,
        times: PoolLeaseTimes,
        metrics: Metrics,
        clock: Clock,
        wide_steps: WideStepGate,
    ):
        self._wide_steps = wide_steps
        self._source = source
        self._dispatcher = dispatcher
        self._times = times
        self._metrics = metrics
        self._clock = clock
        self._health = WorkerHealth()
        now = clock.monotonic()
        self._expiry_timer = _Timer(EXPIRY_INTERVAL, now)
        self._checkpoint_timer = _Timer(CHECKPOINT_RECORD_INTERVAL, now)
        self._interference_timer = _Timer(INTERFERENCE_RECORD_INTERVAL, now)
        self._best_effort_timer = _Timer(BEST_EFFORT_INTERVAL, now)
        self._move_timer = _Timer(MOVE_INTERVAL, now)
        self._lost_runs_timer = _Timer(LOST_RUNS_INTERVAL, now)
        self._unlisted_timer = _Timer(UNLISTED_INTERVAL, now)
        self._wait_log_timer = _Timer(WAIT_LOG_INTERVAL, now)
        self._survival_timer = _Timer(SURVIVAL_INTERVAL, now)
        self._proof_timer = _Timer(PROOF_INTERVAL, now)
        self._service_wait_timer = _Timer(WAIT_LOG_INTERVAL, now)

    def restore_interference(self, term: PoolTerm) -> None:
        """Restore the interference estimates that earlier owners recorded.

        Reservations for large tasks of an earlier term of this process are discarded.
        """
        self._dispatcher.backfills.clear()
        self._dispatcher.model.restore(
            [
                InterferenceEstimate(
                    estimate.filling,
                    estimate.serving,
                    estimate.mean_milli / 1000,
                    estimate.deviation_milli / 1000,
                )
                for estimate in term.pool.interferences.values()
            ],
            self._clock.monotonic(),
        )

    # Runs that have ended

    def reconcile(
        self, term: PoolTerm, member: Member, report: wire.WorkerReport, requested_ms: int
    ) -> list[Any]:
        """Return events for the runs that have ended according to a report.

        :param requested_ms: a value that the worker's clock had reached when the reported listing
            was requested. The worker may have read its clock after it made the lists.
        """
        if report.worker.incarnation != member.incarnation:
            return []
        now_ms = self._now_ms()
        events: list[Any] = []
        if report.unreachable and member.left != member.incarnation:
            self._record_crash(
                term, member.worker_id, member.incarnation, member.machine, member.received_at
            )
        ended = {(run_end.task, run_end.run): ended_of(run_end) for run_end in report.ended}
        refused = {
            (refusal.task, refusal.run): refusal.reason
            for refusal in report.refused
            if refusal.certain
        }
        refused |= member.withdrawn
        member.withdrawn.clear()
        running = {(status.task, status.run) for status in report.running}
        lists_all_runs = _lists_all_runs(report)
        for task in term.pool.active_tasks(member.worker_id):
            key = (task.name, task.run)
            if key in ended or key in running:
                term.pool.record_start(task)
                term.pool.record_delivery(*key)
            if key in member.first_listed_at:
                self._health.record_start(member.worker_id, member.first_listed_at[key])
            if key in ended:
                end = ended[key]
                if OUTCOME_BY_END_KIND[end.kind] is RunOutcome.DONE:
                    run_time = _time_since_assignment(task, member, member.received_at)
                    self._dispatcher.observe_end(task, run_time)
                events.append(
                    self._run_ended_event(
                        term, task, OUTCOME_BY_END_KIND[end.kind], now_ms, "", end.checkpoint
                    )
                )
            elif key in running:
                # A listed run is active, even if it was assigned to an earlier incarnation: a new
                # one executes commands for the earlier one until it has seen its fencing token.
                continue
            elif task.incarnation > member.incarnation:
                # A late report of an earlier incarnation says nothing about this run.
                continue
            elif key in refused:
                reason = refused[key]
                events.append(
                    self._run_ended_event(term, task, RunOutcome.UNSTARTED, now_ms, reason)
                )
            elif not lists_all_runs:
                # The run may have ended, or be active, without being listed.
                continue
            elif task.incarnation != member.incarnation and report.epoch < term.epoch:
                # It may be a late report of an earlier incarnation whose name sorts last, since the
                # VM's clock was set back. The agent's next one knows this owner.
                continue
            elif task.incarnation != member.incarnation or report.unreachable:
                reason = "the worker's process has ended or restarted"
                events += self._end_crashed_run(term, task, now_ms, reason, member.received_at)
            elif requested_ms > task.start_by_ms:
                reason = "the worker did not start the run by its deadline"
                term.pool.record_lost_start(task)
                events.append(
                    self._run_ended_event(term, task, RunOutcome.UNSTARTED, now_ms, reason)
                )
        events += self._late_ends(term, member, ended, now_ms)
        if report.listed and report.epoch == term.epoch:
            member.reconciled_incarnation = member.incarnation
        self._observe_report(term, member)
        term.unchecked_workers.add(member.worker_id)
        if report.ended:
            member.reconciled_through = max(run_end.number for run_end in report.ended)
        return events

    def end_refused_runs(
        self, term: PoolTerm, member: Member, report: wire.WorkerReport
    ) -> list[RunEnded]:
        """Return events for refused starts of a report without a new listing.

        An agent sends each start once, so a certain refusal holds in whichever order reports
        arrive. It tells nothing else about the worker.
        """
        now_ms = self._now_ms()
        events = []
        for refusal in report.refused:
            task = term.pool.task(refusal.task)
            if (
                refusal.certain
                and task is not None
                and task.worker_id == member.worker_id
                and task.has_active_run(refusal.run)
                and not member.lists(task)
            ):
                events.append(
                    self._run_ended_event(term, task, RunOutcome.UNSTARTED, now_ms, refusal.reason)
                )
        return events

    def _late_ends(
        self,
        term: PoolTerm,
        member: Member,
        ended: Mapping[tuple[str, int], EndedRun],
        now_ms: int,
    ) -> list[RunEnded]:
        """Return events for runs that are done although they counted as lost or not started.

        Their tasks must not run again once these ends are acknowledged.
        """
        events = []
        for (name, run), end in ended.items():
            task = term.pool.task(name)
            if (
                task is not None
                and task.worker_id == member.worker_id
                and task.awaits_run_after(run)
                and OUTCOME_BY_END_KIND[end.kind] is RunOutcome.DONE
            ):
                reason = "it was done although it counted as lost"
                events.append(
                    self._run_ended_event(
                        term, task, RunOutcome.DONE, now_ms, reason, end.checkpoint
                    )
                )
        return events

    def _observe_report(self, term: PoolTerm, member: Member) -> None:
        colocated_runs = []
        for name, status in member.running.items():
            task = term.pool.task(name)
            if task is not None and (task.spec.fills or task.spec.target_ms):
                profile = run_profile(task)
                colocated_runs.append(ColocatedRun(status, profile))
        if member.capacity.cpu_millis:
            # Without processors there are no shares of them to learn from.
            self._dispatcher.model.observe(
                member.worker_id, member.received_at, colocated_runs, member.capacity.cpu_millis
            )
        for name, status in member.running.items():
            task = term.pool.task(name)
            if task is not None and task.has_active_run(status.run):
                self._dispatcher.observe_progress(
                    task, status.run, status.progress_percent, status.gauge, member.received_at
                )
        progress = [
            RunProgress(
                name,
                status.run,
                step_key(task),
                status.progress_percent,
                timedelta(milliseconds=min(task.spec.estimate_ms, MAX_ESTIMATE_MS)),
            )
            for name, status in member.running.items()
            if (task := term.pool.task(name)) is not None
            and not task.spec.fills
            and not task.spec.lasting
        ]
        self._health.record_progress(
            member.worker_id,
            progress,
            timedelta(milliseconds=member.clock_ms),
            self._clock.monotonic(),
        )

    def note_unlisted_services(self, term: PoolTerm) -> None:
        """Note which services no worker has listed, for the next confirmations of the term."""
        if self._unlisted_timer.is_due(self._clock.monotonic()):
            term.note_unlisted_services()

    def lost_runs(self, term: PoolTerm) -> list[Any]:
        """Return events for runs that have certainly ended because their worker is lost.

        The lease of such a worker has expired, a newer worker has listed its runs on its machine,
        or the list of VMs shows that it has ended.
        """
        now = self._clock.monotonic()
        if not self._lost_runs_timer.is_due(now):
            return []
        newest = newest_members(term.members.values())
        events: list[Any] = []
        silences: list[Silence] = []
        for worker_id in term.pool.workers_with_runs():
            member = term.members.get(worker_id)
            last_grant_at = self._last_grant_at(term, worker_id)
            worker_tasks = term.pool.active_tasks(worker_id)
            last_heard_at = term.started_at if member is None else member.received_at
            silence = Silence(worker_id, worker_tasks[0].machine, last_heard_at)
            max_age = MAX_FIRST_REPORT_DELAY if member is None else MAX_REPORT_AGE
            if now - last_heard_at > max_age and silence.vm:
                silences.append(silence)
            is_silent = now - last_grant_at > self._times.max_silence
            has_ended = term.absences.has_ended(silence)
            has_lapsed = is_silent
            if is_silent:
                reason = f"no report from the worker for {now - last_heard_at}"
                worker_tasks = [
                    task
                    for task in worker_tasks
                    if has_ended or not self._may_run_later(term, task, now)
                ]
            elif has_ended:
                reason = "its VM does not run the worker any more"
            elif self._leases_have_ended(term, worker_id, now):
                reason = "no earlier owner can have granted a lease that lasts until now"
                worker_tasks = [
                    task
                    for task in worker_tasks
                    if (task.name, task.run) in term.confirmed_leases.listed
                ]
                has_lapsed = True
            else:
                worker_tasks = [task for task in worker_tasks if _is_replaced(task, member, newest)]
                reason = "a newer worker runs on its machine"
            if not worker_tasks:
                continue
            now_ms = self._now_ms()
            for task in worker_tasks:
                if not has_lapsed:
                    events += self._end_crashed_run(term, task, now_ms, reason, now)
                    continue
                # Silence has many causes, so it tells nothing about the tasks.
                events.append(self._run_ended_event(term, task, RunOutcome.LAPSED, now_ms, reason))
            log(
                Event.WORKER_LOST,
                worker=worker_id,
                reason=reason,
                epoch=term.epoch,
                incarnation=worker_tasks[0].incarnation,
                machine=worker_tasks[0].machine,
                **self._listing_evidence(term, worker_id),
            )
        term.set_silences(silences)
        return events

    def _last_grant_at(self, term: PoolTerm, worker_id: str) -> timedelta:
        """Return when a worker can have got its last lease, if all its leases were equally long.

        That can be in the future: the lease from a call that was meant for its earlier incarnation
        ends as late as one that is granted then.
        """
        member = term.members.get(worker_id)
        if member is not None and member.fenced_at is not None:
            return max(member.received_at, member.fenced_at + self._times.unfenced_excess)
        if member is not None:
            granted_until, incarnation = member.received_at, member.incarnation
        else:
            granted_until = term.earlier_grants_until(worker_id)
            incarnation = max(task.incarnation for task in term.pool.active_tasks(worker_id))
            if term.has_recorded_grant(worker_id):
                return granted_until
        if term.settlements.is_settled(worker_id, incarnation):
            return granted_until
        return granted_until + self._times.unfenced_excess

    def _leases_have_ended(self, term: PoolTerm, worker_id: str, now: timedelta) -> bool:
        """Return whether a worker that this owner has not heard holds no lease of an earlier one.

        That bounds the leases of settled incarnations only: another one may execute a late call.
        """
        ended_at = term.confirmed_leases.ended_at
        if ended_at is None or now <= ended_at:
            return False
        member = term.members.get(worker_id)
        if member is not None and member.has_listed:
            return False
        incarnation = max(task.incarnation for task in term.pool.active_tasks(worker_id))
        return term.settlements.is_settled(worker_id, incarnation)

    def settled_incarnations(self, term: PoolTerm) -> dict[str, str]:
        """Return, by worker, the newest incarnation whose leases all come from an owner.

        The others may hold a longer lease from a call that was meant for an earlier incarnation.
        """
        now = self._clock.monotonic()
        holders = term.pool.workers_with_runs()
        # A worker that this owner has not heard yet may be back, or needed by the next owner.
        keeps_all = now - term.started_at <= MEMBER_EXPIRY
        settled = {
            worker_id: incarnation
            for worker_id, incarnation in term.settlements.incarnations().items()
            if worker_id not in term.members and (keeps_all or worker_id in holders)
        }
        fenced_before = now - self._times.unfenced_excess
        for worker_id, member in term.members.items():
            is_fenced = member.fenced_at is not None and member.fenced_at <= fenced_before
            if is_fenced or term.settlements.is_settled(worker_id, member.incarnation):
                settled[worker_id] = member.incarnation
        return settled

    def grant_ages(self, term: PoolTerm) -> dict[str, timedelta]:
        """Return, by worker with runs, the time since any owner can have granted it a lease last.

        Workers that an earlier owner may still grant leases, and those with a start on its way, are
        left out.
        """
        now = self._clock.monotonic()
        ages: dict[str, timedelta] = {}
        for worker_id in term.pool.workers_with_runs():
            last_grant_at = self._last_grant_at(term, worker_id)
            has_pending_start = any(
                self._may_run_later(term, task, now) for task in term.pool.active_tasks(worker_id)
            )
            if last_grant_at < now and not has_pending_start:
                ages[worker_id] = now - last_grant_at
        return ages

    def silent_workers(self, term: PoolTerm) -> dict[str, timedelta]:
        """Return the workers of `grant_ages` that have been silent for long."""
        min_silence = self._times.lease / 2
        is_long_term = self._clock.monotonic() - term.started_at > min_silence
        return {
            worker_id: age
            for worker_id, age in self.grant_ages(term).items()
            if age > min_silence
            or (worker_id not in term.members and (is_long_term or term.silences.lists(worker_id)))
        }

    def _run_ended_event(
        self,
        term: PoolTerm,
        task: StepTask,
        outcome: RunOutcome,
        now_ms: int,
        reason: str,
        checkpoint: str = "",
    ) -> RunEnded:
        member = term.members.get(task.worker_id)
        status = member.running.get(task.name) if member else None
        if not checkpoint and status is not None and status.run == task.run:
            checkpoint = status.checkpoint
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED) and not task.spec.lasting:
            is_done = outcome is RunOutcome.DONE
            now = self._clock.monotonic()
            suitable = self._suitable_workers(term, task, now)
            if self._health.record_run_end(task.worker_id, is_done, now, suitable):
                log(Event.WORKER_SUSPECTED, worker=task.worker_id, reason="consecutive runs failed")
        if outcome is RunOutcome.UNSTARTED:
            self._health.record_unstarted(task.worker_id, self._clock.monotonic())
        if task.spec.lasting and task.has_active_run(task.run):
            self._record_service_end(term, task, outcome, reason)
        log(
            Event.RUN_ENDED,
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            outcome=outcome.value,
            reason=reason,
            **(self._evidence(term, task) if reason else {}),
        )
        return RunEnded(task.name, task.run, outcome.value, now_ms, checkpoint)

    def _record_service_end(
        self, term: PoolTerm, task: StepTask, outcome: RunOutcome, reason: str
    ) -> None:
        """Record what kept a service from its next run until its last one was ended."""
        member = term.members.get(task.worker_id)
        alive_at = in_flight_since = None
        if member is not None:
            alive_at = member.last_alive_at(task.incarnation)
            if is_in_flight(task, member):
                last_grant_at = self._last_grant_at(term, task.worker_id)
                in_flight_since = last_grant_at + self._times.max_silence
        now = self._clock.monotonic()
        term.service_waits.record_end(task, outcome, reason, alive_at, now, in_flight_since)

    def _evidence(self, term: PoolTerm, task: StepTask) -> dict[str, Any]:
        """Return the log fields that show why a run counts as over although no end was listed."""
        return {
            "epoch": term.epoch,
            "incarnation": task.incarnation,
            "machine": task.machine,
            "start_by_ms": task.start_by_ms,
            **self._listing_evidence(term, task.worker_id),
        }

    def _listing_evidence(self, term: PoolTerm, worker_id: str) -> dict[str, Any]:
        """Return the log fields that show what this owner knows of a worker's last listing."""
        member = term.members.get(worker_id)
        if member is None:
            return {}
        now = self._clock.monotonic()
        evidence = {
            "fence": member.fence(term.epoch),
            "reported": member.incarnation,
            "report_age_ms": (now - member.received_at) // timedelta(milliseconds=1),
            "listed_ms": member.clock_ms,
            "requested_ms": member.requested_ms,
        }
        if member.fenced_at is not None:
            evidence["fenced_age_ms"] = (now - member.fenced_at) // timedelta(milliseconds=1)
        return evidence

    def _suitable_workers(self, term: PoolTerm, task: StepTask, now: timedelta) -> list[str]:
        """Return the ids of the workers that report, do not leave and may run a task at all."""
        config = self._source.config()
        data_centres_out = config.data_centres_out if config is not None else ()
        service, label = task.workflow.queue.service, task.spec.required_label
        return [
            member.worker_id
            for member in self._reporting_members(term, now)
            if member.service == service
            and (not label or label in member.labels)
            and member.data_centre not in data_centres_out
        ]

    def _reporting_members(self, term: PoolTerm, now: timedelta) -> list[Member]:
        """Return the workers that report and do not leave."""
        return [
            member
            for member in term.members.values()
            if not member.leaving
            and not member.is_absent
            and now - member.received_at <= MAX_REPORT_AGE
        ]

    def _end_crashed_run(
        self,
        term: PoolTerm,
        task: StepTask,
        now_ms: int,
        reason: str,
        at: timedelta,
    ) -> list[Any]:
        """Return the event of a run whose worker's process has ended as announced.

        If it was not announced, the events follow once it is known how many workers have ended, see
        `crashed_runs`.

        :param at: when this process learned of the end.
        """
        member = term.members.get(task.worker_id)
        if member is not None and member.left == task.incarnation:
            return [self._crashed_run_event(term, task, RunOutcome.LAPSED, now_ms, reason)]
        crash = self._record_crash(term, task.worker_id, task.incarnation, task.machine, at, reason)
        crash.lost_runs[task.name, task.run] = task
        alive_at = None if member is None else member.last_alive_at(task.incarnation)
        term.service_waits.record_crash(task, at, alive_at)
        return []

    def _record_crash(
        self,
        term: PoolTerm,
        worker_id: str,
        incarnation: str,
        machine: str,
        at: timedelta,
        reason: str = "connection refused",
    ) -> WorkerCrash:
        is_trial = any(
            task.is_suspected and task.incarnation == incarnation
            for task in term.pool.active_tasks(worker_id)
        )
        vm = machine or worker_id
        member = term.members.get(worker_id)
        domains = frozenset() if member is None else _failure_domains(member)
        alive_at = None if member is None else member.last_alive_at(incarnation)
        return term.crashes.record(
            worker_id, incarnation, vm, is_trial, reason, at, domains, alive_at
        )

    def crashed_runs(self, term: PoolTerm) -> list[Any]:
        """Return events for the runs of crashed workers.

        The end of many workers at once is an outage and tells nothing about their runs. Neither
        does the end of a worker that a run may never have reached, because an earlier owner
        assigned it.
        """
        now = self._clock.monotonic()
        now_ms = self._now_ms()
        events: list[Any] = []
        reporting = self._reporting_members(term, now)
        trials = defaultdict(set)
        for task in term.pool.trials():
            trials[task.worker_id].add(task.workflow.workflow_id)
        survivors = {
            member.machine or member.worker_id: Survivor(
                member.received_at,
                frozenset(trials.get(member.worker_id, ())),
                _failure_domains(member),
            )
            for member in reporting
        }
        unheard = {
            task.machine or worker_id
            for worker_id in term.pool.workers_with_runs()
            if worker_id not in term.members
            for task in term.pool.active_tasks(worker_id)
        }

        def running_workflows() -> set[str]:
            names = (name for member in reporting for name in member.running)
            tasks = (term.pool.task(name) for name in names)
            return {
                task.workflow.workflow_id
                for task in tasks
                if task is not None and not task.is_suspected
            }

        for crash in term.crashes.settle(now, survivors, unheard, running_workflows):
            lost = [
                task
                for (_, run), task in crash.lost_runs.items()
                if task.has_active_run(run) and not self._is_listed_since(term, task, crash.at)
            ]
            crash.lost_runs = {}
            excused = self._excused(term, lost, crash)
            on_trial = _recent_trials([task for task in lost if task not in excused])
            for task in lost:
                # The first of these events determines which runs were recent.
                if task not in excused:
                    events += self._survived_probation(term, task, on_trial)
                    events.append(
                        self._crashed_run_event(term, task, RunOutcome.LOST, now_ms, crash.reason)
                    )
            for task in excused:
                events.append(
                    self._crashed_run_event(term, task, RunOutcome.LAPSED, now_ms, crash.reason)
                )
            if lost:
                log(
                    Event.WORKER_CRASHED,
                    worker=lost[0].worker_id,
                    machine=crash.machine,
                    runs=len(lost),
                    excused=len(excused),
                    outage=crash.is_outage,
                    trial=crash.is_trial,
                    together=crash.together,
                    fleet=crash.fleet,
                )
        return events

    def _crashed_run_event(
        self, term: PoolTerm, task: StepTask, outcome: RunOutcome, now_ms: int, reason: str
    ) -> RunEnded:
        """Return the event of a run whose worker has ended."""
        member = term.members.get(task.worker_id)
        if member is not None:
            term.pending_starts.record(task, member, term.started_at)
        return self._run_ended_event(term, task, outcome, now_ms, reason)

    def _may_run_later(self, term: PoolTerm, task: StepTask, now: timedelta) -> bool:
        """Return whether a later incarnation of a silent worker may run a task.

        If its start was on its way when the worker was heard last, the next incarnation may execute
        it, and then takes the longest lease for it.
        """
        member = term.members.get(task.worker_id)
        if member is None or not is_in_flight(task, member):
            return False
        wait = LATE_CALL_TIMEOUT + self._times.max_silence + self._times.unfenced_excess
        return now - member.received_at <= wait

    def _is_listed_since(self, term: PoolTerm, task: StepTask, at: timedelta) -> bool:
        """Return whether the worker of a task has listed its run since a time."""
        member = term.members.get(task.worker_id)
        if member is None or member.received_at <= at:
            return False
        status = member.running.get(task.name)
        return status is not None and status.run == task.run

    def _excused(
        self, term: PoolTerm, lost: Collection[StepTask], crash: WorkerCrash
    ) -> list[StepTask]:
        """Return the tasks for which the crash of their worker is no evidence.

        A task that starts at the same time as others, and crashes its worker like these, is excused
        `MAX_EXCUSED_STARTS` times only, also while it is suspected. When the whole fleet has ended,
        each worker had to have such a task. So the end takes up `SHARED_BLAME` of an excuse where
        several runs had just started, and none of a suspected task: others that nobody suspected
        have ended together with it.

        A proven task is excused for a run that ended early, which can only be its fault if it has
        changed since, and for one beside runs that started later and that nothing proves. `Proof`
        bounds how often.
        """
        has_young = any(self._is_young(term, task) for task in _recent_tasks(lost))
        excused = [
            task
            for task in lost
            if task.delivered_run != task.run
            or (
                task.is_proven
                and not task.is_suspected
                and (has_young or not self._has_proven(term, task))
            )
        ]
        if not crash.is_outage:
            return excused
        recent = {
            task.name for task in lost if not task.is_suspected and not self._has_lasted(term, task)
        }
        is_shared = crash.is_fleet_outage and len(recent) >= MIN_SHARED_STARTS
        for task in lost:
            if task in excused:
                continue
            if task.is_suspected:
                blame = 0 if crash.is_fleet_outage else 1
            elif task.name not in recent:
                blame = 0
            elif is_shared and task.workflow.workflow_id not in crash.suspected_workflows:
                blame = SHARED_BLAME
            else:
                blame = 1
            task.excused_starts += blame
            if not blame or task.excused_starts <= MAX_EXCUSED_STARTS:
                excused.append(task)
        return excused

    def _has_lasted(self, term: PoolTerm, task: StepTask) -> bool:
        """Return whether a run had certainly outlived the shortest probation."""
        member = term.members.get(task.worker_id)
        is_known = member is not None and member.incarnation == task.incarnation
        return is_known and _age_ms(task, member) >= FIRST_PROBATION_MS

    def _is_young(self, term: PoolTerm, task: StepTask) -> bool:
        """Return whether neither the run of a task nor an earlier one has lasted."""
        return not task.is_proven and not self._has_proven(term, task)

    def _has_proven(self, term: PoolTerm, task: StepTask) -> bool:
        """Return whether a run is known to have lasted for `PROVEN_AFTER_MS`."""
        member = term.members.get(task.worker_id)
        is_known = member is not None and member.incarnation == task.incarnation
        return task.outlived_run == task.run or (
            is_known and _age_ms(task, member) >= PROVEN_AFTER_MS
        )

    def _survived_probation(
        self, term: PoolTerm, task: StepTask, on_trial: Collection[str]
    ) -> list[Any]:
        """Return the event that keeps a run that has lasted for long from being suspected.

        Its task must not wait for a trial after its worker's crash. One that has been suspected and
        has outlived its trial is excused once for the crash of a later trial beside it; the event
        must directly precede the one that the run was lost, see `RunCheckpointed`.

        :param on_trial: suspected tasks that the worker had started shortly before.
        """
        member = term.members.get(task.worker_id)
        if member is None or member.incarnation != task.incarnation or task.is_suspected:
            return []
        if task.outlived_run == task.run:
            # A second record would renew the proof of the task.
            return []
        is_cleared = (
            task.crashes is not None
            and task.crashes.excuse is Excuse.NONE
            and on_trial
            and task.name not in on_trial
        )
        if is_cleared:
            required_ms = FIRST_PROBATION_MS
        else:
            required_ms = PROVEN_AFTER_MS if task.spec.lasting else MAX_PROBATION_MS
        if (task.crashes is None or is_cleared) and _age_ms(task, member) >= required_ms:
            return [RunCheckpointed(task.name, task.run, task.checkpoint)]
        return []

    def expire(self, term: PoolTerm) -> list[Any]:
        """Remove workers that are gone; return the event that drops expired workflows."""
        now = self._clock.monotonic()
        if not self._expiry_timer.is_due(now):
            return []
        holders = set(term.pool.workers_with_runs())
        for worker_id, member in list(term.members.items()):
            if now - member.received_at > MEMBER_EXPIRY and worker_id not in holders:
                term.remove_member(worker_id)
                self._dispatcher.model.forget(worker_id)
        incarnations = {name: member.incarnation for name, member in term.members.items()}
        term.crashes.forget(incarnations, now)
        self._dispatcher.retain(term.pool.unended)
        expired = term.pool.expired(self._now_ms())
        return [WorkflowsExpired(expired)] if expired else []

    def new_checkpoints(self, term: PoolTerm) -> list[Any]:
        """Return events for new checkpoints of active runs, when the next record is due.

        Without these records, a task restarts from its beginning when its worker and the owner are
        lost at the same time.
        """
        if not self._checkpoint_timer.is_due(self._clock.monotonic()):
            return []
        return [
            RunCheckpointed(name, status.run, status.checkpoint)
            for member in term.members.values()
            for name, status in member.running.items()
            if status.checkpoint
            and (task := term.pool.task(name)) is not None
            and task.has_active_run(status.run)
            and task.checkpoint != status.checkpoint
        ]

    def survived_probations(self, term: PoolTerm) -> list[Any]:
        """Return events for runs that lasted long enough to clear their tasks of earlier crashes.

        The events repeat the last checkpoint, see `RunCheckpointed`.
        """
        if not self._survival_timer.is_due(self._clock.monotonic()):
            return []
        events = []
        ready = term.pool.ready()
        has_backlog = any(task.is_suspected for task in ready)
        now_ms = self._now_ms()
        # The tasks of a step have the same requirements.
        services = {
            step_key(task): task
            for task in ready
            if task.spec.lasting and now_ms - task.waiting_since_ms >= LAST_RESORT_WAIT_MS
        }.values()
        for task in term.pool.crashed_tasks():
            member = term.members.get(task.worker_id)
            status = member.running.get(task.name) if member is not None else None
            if status is None or not task.has_active_run(status.run):
                continue
            if not task.is_suspected:
                is_early = task.spec.lasting and not task.crashes.is_late
                required_ms = PROVEN_AFTER_MS if is_early else CLEARED_AFTER_MS
            elif has_backlog or self._admits_any(term, member, services):
                # Others wait for the worker.
                required_ms = FIRST_PROBATION_MS
            else:
                required_ms = task.crashes.probation_ms
            if _age_ms(task, member) >= required_ms:
                events.append(RunCheckpointed(task.name, task.run, task.checkpoint))
        return events

    def proven_runs(self, term: PoolTerm) -> list[Any]:
        """Return events for runs that have lasted so long that their services are proven.

        The events repeat the last checkpoint, see `RunCheckpointed`.
        """
        if not self._proof_timer.is_due(self._clock.monotonic()):
            return []
        events = []
        for member in term.members.values():
            for name, status in member.running.items():
                task = term.pool.task(name)
                if task is None or not task.spec.lasting or task.crashes is not None:
                    continue
                if not task.has_active_run(status.run) or task.proof == FULL_PROOF:
                    continue
                is_renewal = task.outlived_run == status.run
                required_ms = CLEARED_AFTER_MS if is_renewal else PROVEN_AFTER_MS
                if _age_ms(task, member) >= required_ms:
                    events.append(RunCheckpointed(name, status.run, task.checkpoint))
        return events

    def _admits_any(self, term: PoolTerm, member: Member, tasks: Iterable[StepTask]) -> bool:
        """Return whether a worker has room for one of some tasks, apart from trials."""
        return any(self._allocated_capacity(term, member).admits(task) for task in tasks)

    def learned_interference(self, term: PoolTerm) -> list[Any]:
        """Return changed interference estimates for the next owner, when the record is due."""
        if not self._interference_timer.is_due(self._clock.monotonic()):
            return []
        learned = [
            InterferenceEstimated(
                estimate.best_effort_image,
                estimate.latency_critical_image,
                round(estimate.mean * 1000),
                round(estimate.deviation * 1000),
            )
            for estimate in self._dispatcher.model.estimates()
        ]
        changed = [pair for pair in learned if _is_significant_change(term.pool, pair)]
        if changed:
            pairs = [[pair.filling, pair.serving, pair.mean_milli] for pair in changed]
            log(Event.PRESSURES_LEARNED, pairs=pairs)
        return changed

    # Starts and stops

    def place(self, term: PoolTerm) -> list[PlacementDecision]:
        """Choose workers for ready tasks; return the placements to commit and start."""
        self._apply_gate(term)
        found = _Round()
        decisions = self._choose_workers(term, found)
        try:
            self._track_service_waits(term, found, decisions)
        except Exception as exc:
            # Starts must not depend on what is logged about them.
            log(Event.INTERNAL_ERROR, what="track service waits", reason=repr(exc))
        now = self._clock.monotonic()
        for decision in decisions:
            if decision.worker.is_probed and not decision.task.spec.lasting:
                self._health.record_probe(decision.worker.worker_id, now)
        return decisions

    def _apply_gate(self, term: PoolTerm) -> None:
        """Switch the decisions for wide best-effort steps on or off."""
        is_wide = self._wide_steps.applies_to(term.pool)
        if is_wide != self._dispatcher.is_wide:
            self._dispatcher.set_wide(is_wide, self._clock.monotonic())
            widths = term.pool.best_effort_widths
            log(Event.WIDE_STEPS, is_wide=is_wide, steps=widths.steps, tasks=widths.tasks)
            self._metrics.set_gauge("wide_steps", int(is_wide))
            self._metrics.set_gauge(LARGE_TASKS_GAUGE, 0)

    def _choose_workers(self, term: PoolTerm, found: _Round) -> list[PlacementDecision]:
        """Return the placements of a round.

        :param found: updated with what the round finds out about services that wait.
        """
        pending = term.pending_starts.update(term.members, self._clock.monotonic())
        waiting = [task for task in term.pool.ready() if task.name not in pending]
        services = [task for task in waiting if task.spec.lasting]
        delayed = [task for name in pending if (task := term.pool.task(name)) is not None]
        found.services = services + [task for task in delayed if task.spec.lasting]
        found.limits.update((name, WaitReason.PENDING_START) for name in pending)
        config = self._source.config()
        if not waiting:
            self._metrics.set_gauge(SERVICE_WAIT_GAUGE, 0)
            if self._dispatcher.backfills.count:
                self._reserve_capacity(term, [], [], Reservations())
        if not waiting:
            return []
        if config is None or self._source.age() > CONFIG_MAX_AGE:
            found.limits.update((task.name, WaitReason.CONFIG_TOO_OLD) for task in services)
            return []
        if not term.is_live():
            found.limits.update((task.name, WaitReason.NOT_CONFIRMED) for task in services)
            return []
        now_ms = self._now_ms()
        term.pool.bound_waits(now_ms)
        candidates: list[WorkerCapacity] | None = None
        decisions: list[PlacementDecision] = []
        passed_over: dict[str, Preference] = {}
        overdue_services = [
            task for task in services if now_ms - task.waiting_since_ms >= START_DEADLINE_MS
        ]
        if overdue_services:
            candidates = self._candidates(term, config)
            on_trial = self._trial_workers(term, config)
            decisions = self._dispatcher.schedule_overdue(
                overdue_services, candidates, on_trial, now_ms, passed_over, _last_trials(term.pool)
            )
            placed = {decision.task.name for decision in decisions}
            waiting = [task for task in waiting if task.name not in placed]
            services = [task for task in services if task.name not in placed]
        left_to_short_tasks = [task for task in overdue_services if task.name in passed_over]
        suspects = tasks_to_try(waiting, term.pool.crashed_tasks(), now_ms)
        others = waiting
        if suspects:
            names = {task.name for task in suspects}
            others = [task for task in waiting if task.name not in names]
        urgent = [task for task in others if not task.spec.fills]
        best_effort = [task for task in others if task.spec.fills]
        kept: set[str] = set()
        reservations = Reservations()
        if _has_waited(services, now_ms):
            candidates = self._candidates(term, config) if candidates is None else candidates
            reservations = self._reserve_workers(term, config, services, suspects, candidates)
        if suspects:
            candidates = self._candidates(term, config) if candidates is None else candidates
            taken = {decision.worker.worker_id for decision in decisions}
            untaken = [worker for worker in candidates if worker.worker_id not in taken]
            trials, kept = self._place_trials(
                term, suspects, untaken, bool(urgent), passed_over, reservations
            )
            decisions += trials
            candidates = [worker for worker in candidates if worker.worker_id not in kept]
        short = [task for task in others if not task.spec.lasting]
        if urgent:
            candidates = self._candidates(term, config) if candidates is None else candidates
            if self._dispatcher.awaits_large_tasks:
                self._reserve_capacity(term, short, candidates, reservations)
            decisions += self._dispatcher.schedule(urgent, candidates, now_ms, passed_over)
        if left_to_short_tasks:
            decisions += self._place_in_reserve(
                term, config, left_to_short_tasks, candidates, decisions
            )
        found.limits.update(passed_over)
        found.candidates, found.kept = candidates, len(kept)
        if self._wait_log_timer.is_due(self._clock.monotonic()):
            placed = {decision.task.name for decision in decisions}
            overdue = [
                task
                for task in suspects + urgent
                if now_ms - task.waiting_since_ms >= LONG_WAIT_MS and task.name not in placed
            ]
            waits = _Waits(overdue, candidates or [], len(kept), passed_over, now_ms)
            self._log_long_waits(term, config, waits)
            self._record_service_wait(term, config, waits)
        if len(decisions) >= URGENT_BURST or not best_effort:
            return decisions
        if self._best_effort_timer.is_due(self._clock.monotonic()):
            candidates = self._candidates(term, config) if candidates is None else candidates
            if self._dispatcher.awaits_large_tasks and not urgent:
                self._reserve_capacity(term, short, candidates, reservations)
            decisions += self._dispatcher.schedule(
                best_effort, candidates, now_ms, None, self._held_millis(term)
            )
        return decisions

    def _held_millis(self, term: PoolTerm) -> dict[str, int] | None:
        """Return what the best-effort runs of each queue hold; None if queues get no shares."""
        if not self._wide_steps.applies_to(term.pool):
            return None
        held: Counter[str] = Counter()
        for worker_id in term.pool.workers_with_runs():
            for task in term.pool.active_tasks(worker_id):
                if task.spec.fills:
                    held[task.workflow.queue.name] += task.spec.cpu_millis
        return held

    def cores_up(self, term: PoolTerm) -> float:
        """Return the cores of the workers that report."""
        oldest = self._clock.monotonic() - MAX_REPORT_AGE
        up = (member for member in term.members.values() if member.received_at >= oldest)
        return sum(member.capacity.cpu_millis for member in up) / 1000

    def _trial_workers(self, term: PoolTerm, config: PoolConfig) -> list[WorkerCapacity]:
        """Return the workers that would be candidates if they ran no suspected task."""
        return [
            self._allocated_capacity(term, member).copy()
            for member, reason in self._availability(term, config)
            if reason is Preference.ON_TRIAL
        ]

    def _place_in_reserve(
        self,
        term: PoolTerm,
        config: PoolConfig,
        services: Iterable[StepTask],
        candidates: Iterable[WorkerCapacity],
        decisions: Iterable[PlacementDecision],
    ) -> list[PlacementDecision]:
        """Choose workers for overdue services in what this round's short tasks have left.

        :param candidates: updated with the chosen runs.
        :param decisions: the earlier decisions of the round.
        """
        placed = {decision.task.name for decision in decisions}
        # What was withheld or kept for others does not bind overdue services.
        workers = self._candidates(term, config)
        on_trial = self._trial_workers(term, config)
        by_id = {worker.worker_id: worker for worker in (*workers, *on_trial)}
        for decision in decisions:
            # A worker's last report may have become too old since the decision.
            if decision.worker.worker_id in by_id:
                by_id[decision.worker.worker_id].reserve(decision.task)
        chosen = self._dispatcher.schedule_overdue(
            [task for task in services if task.name not in placed],
            workers,
            on_trial,
            self._now_ms(),
            last_resort=_last_trials(term.pool),
        )
        candidates_by_id = {worker.worker_id: worker for worker in candidates}
        for decision in chosen:
            if decision.worker.worker_id in candidates_by_id:
                candidates_by_id[decision.worker.worker_id].reserve(decision.task)
        return chosen

    def _reserve_workers(
        self,
        term: PoolTerm,
        config: PoolConfig,
        services: list[StepTask],
        suspects: list[StepTask],
        candidates: list[WorkerCapacity],
    ) -> Reservations:
        """Reserve workers for services, and withhold from the candidates what others must leave."""
        on_trial = self._trial_workers(term, config)
        now = self._clock.monotonic()
        for candidate in candidates:
            member = term.members[candidate.worker_id]
            candidate.ending_soon = total_demand(
                task
                for task in term.pool.active_tasks(candidate.worker_id)
                if self._dispatcher.ends_soon(task, _time_since_assignment(task, member, now))
            )
        names = {task.name for task in suspects}
        reservations = self._dispatcher.reserve_workers(
            services, names, candidates, on_trial, self._now_ms()
        )
        for candidate in candidates:
            if candidate.worker_id in reservations.withheld:
                candidate.withhold(reservations.withheld[candidate.worker_id])
        return reservations

    def _reserve_capacity(
        self,
        term: PoolTerm,
        waiting: list[StepTask],
        candidates: list[WorkerCapacity],
        reservations: Reservations,
    ) -> None:
        """Reserve capacity of the candidates for large tasks that have waited for long."""
        now = self._clock.monotonic()
        now_ms = self._now_ms()

        def active_runs(worker_id: str) -> list[tuple[StepTask, int]]:
            clock_ms = term.members[worker_id].clock_at(now) + START_WINDOW // timedelta(
                milliseconds=1
            )
            return [
                (task, clock_ms - task.start_by_ms) for task in term.pool.active_tasks(worker_id)
            ]

        changes = self._dispatcher.reserve_capacity(
            waiting, candidates, active_runs, reservations, now_ms
        )
        for change in changes:
            reservation = change.reservation
            if change.outcome == "overdue":
                self._metrics.count(OVERDUE_COUNTER)
            log(
                Event.CAPACITY_RESERVED,
                task=reservation.task,
                worker=reservation.worker_id,
                outcome=change.outcome,
                expected_ms=reservation.expected_ms - reservation.made_ms,
                held_ms=now_ms - reservation.made_ms,
            )
        self._metrics.set_gauge(LARGE_TASKS_GAUGE, self._dispatcher.backfills.count)

    def _place_trials(
        self,
        term: PoolTerm,
        suspects: list[StepTask],
        candidates: list[WorkerCapacity],
        others_wait: bool,
        passed_over: dict[str, Preference],
        reservations: Reservations,
    ) -> tuple[list[PlacementDecision], set[str]]:
        """Choose workers on which suspected tasks start apart from others.

        :param others_wait: whether services or checks wait that nobody suspects. Suspected checks
            then get no more workers once they have waited long.
        :param passed_over: updated with the tasks that a limit keeps from workers with room.
        :param reservations: workers that are reserved for services.
        """
        undecided = term.crashes.undecided_trials()
        if undecided:
            # The next crash may be one too many if the last one is evidence.
            held = {task.name for task in suspects if task.workflow.workflow_id in undecided}
            passed_over.update((name, Preference.UNDECIDED_CRASH) for name in held)
            suspects = [task for task in suspects if task.name not in held]
        trials = term.pool.trials()
        taken = len({task.worker_id for task in trials})
        waiting_steps = {(task.workflow.workflow_id, task.step) for task in suspects}
        limit = max_trials(len(candidates) + taken, len(waiting_steps) + taken)
        overdue_limit = limit if others_wait else max_backlog_trials(len(candidates) + taken)
        window = timedelta(milliseconds=CRASHED_TRIALS_WINDOW_MS)
        since = self._clock.monotonic() - window
        if term.crashes.crashed_trials(since) >= MIN_CRASHED_TRIALS:
            limit = overdue_limit = max_trials(len(candidates) + taken)
        if taken >= overdue_limit and not any(task.spec.lasting for task in suspects):
            passed_over.update((task.name, Preference.TRIALS_OF_FLEET) for task in suspects)
            return [], set()
        now = self._clock.monotonic()
        last_starts = {}
        for candidate in candidates:
            active = term.pool.active_tasks(candidate.worker_id)
            if active:
                member = term.members[candidate.worker_id]
                age = min(_time_since_assignment(task, member, now) for task in active)
                last_starts[candidate.worker_id] = age // timedelta(milliseconds=1)
        return self._dispatcher.schedule_trials(
            suspects,
            candidates,
            last_starts,
            trials,
            limit,
            self._now_ms(),
            passed_over,
            overdue_limit,
            reservations,
        )

    def move_runs(self, term: PoolTerm) -> None:
        """Mark runs to stop that are expected to progress faster on another worker."""
        now = self._clock.monotonic()
        config = self._source.config()
        if config is None or not term.is_live() or not self._move_timer.is_due(now):
            return
        best_effort = [
            (task, status.gauge / max(1, task.spec.cpu_millis))
            for member in term.members.values()
            for name, status in member.running.items()
            if (task := term.pool.task(name)) is not None
            and task.spec.fills
            and task.has_active_run(status.run)
            and now - member.first_listed_at[name, status.run] >= MIN_TIME_BEFORE_MOVE
            and is_cheap_to_stop(task, status)
        ]
        stalled = [
            task
            for member in term.members.values()
            for name, run in self._health.stalled_runs(member.worker_id)
            if (task := term.pool.task(name)) is not None and task.has_active_run(run)
        ]
        # Moves would use up the runs that are left to a task under which workers have crashed.
        best_effort = [(task, speed) for task, speed in best_effort if task.crashes is None]
        stalled = [task for task in stalled if task.crashes is None]
        if not best_effort and not stalled:
            return
        candidates = self._candidates(term, config)
        for candidate in candidates:
            # A run that moves loses progress, so no worker with stalled runs gets it.
            candidate.penalty = self._health.penalty(candidate.worker_id, now)
        moved = [
            (task, "works faster elsewhere")
            for task in self._dispatcher.select_moves(best_effort, candidates)
        ]
        moved += [
            (task, "stands still")
            for task in self._dispatcher.select_stalled_moves(stalled, candidates)
        ]
        for task, reason in moved:
            term.members[task.worker_id].stop_reasons[task.name, task.run] = reason
            term.unchecked_workers.add(task.worker_id)

    def _candidates(self, term: PoolTerm, config: PoolConfig) -> list[WorkerCapacity]:
        """Return the workers that may get new runs, with their free resources."""
        now = self._clock.monotonic()
        candidates = [
            self._allocated_capacity(term, member).copy()
            for member, reason in self._availability(term, config)
            if not reason
        ]
        worker_ids = [candidate.worker_id for candidate in candidates]
        penalties = self._health.penalties(worker_ids, now)
        for candidate in candidates:
            candidate.penalty = penalties[candidate.worker_id]
            candidate.is_probed = self._health.is_probed(candidate.worker_id)
            candidate.has_lost_starts = self._health.has_lost_starts(candidate.worker_id)
            candidate.baseline_headrooms = {
                image: level
                for image in candidate.latency_critical_runs
                if (level := self._dispatcher.model.baseline_headroom(candidate.worker_id, image))
                is not None
            }
            candidate.lowest_headrooms = self._dispatcher.model.lowest_headrooms(
                candidate.worker_id
            )
        return candidates

    def _availability(
        self, term: PoolTerm, config: PoolConfig
    ) -> Iterator[tuple[Member, Requirement | Preference | None]]:
        """Yield each worker with the reason why it does not get runs; None if it may."""
        now = self._clock.monotonic()
        newest = newest_members(term.members.values())
        trial_workers = {task.worker_id for task in term.pool.trials()}
        for member in term.members.values():
            if not member.clock_ms:
                reason = Requirement.NO_LISTING
            elif member.leaving:
                reason = Requirement.LEAVING
            elif member.is_absent:
                reason = Requirement.PROCESS_ENDED
            elif _is_newer(newest.get(member.machine), member):
                reason = Requirement.REPLACED
            elif member.data_centre in config.data_centres_out:
                reason = Requirement.DATA_CENTRE_OUT
            elif now - member.received_at > MAX_REPORT_AGE:
                reason = Requirement.NO_REPORT
            elif term.silences.lists(member.worker_id):
                # A start renews the worker's lease.
                reason = Requirement.SILENT
            elif member.worker_id in trial_workers:
                reason = Preference.ON_TRIAL
            else:
                reason = None
            yield member, reason

    def _log_long_waits(self, term: PoolTerm, config: PoolConfig, waits: "_Waits") -> None:
        """Log why overdue tasks are not started: of each kind, the one that waits longest."""
        if not waits.overdue:
            return
        unavailable = Counter(reason for _, reason in self._availability(term, config) if reason)
        trials = len({task.worker_id for task in term.pool.trials()})
        workers = self._occupied_workers(term, config)
        on_trial = [worker for worker in workers if worker.is_on_trial]
        others = [worker for worker in workers if not worker.is_on_trial]
        by_wait = sorted(waits.overdue, key=lambda task: task.waiting_since_ms, reverse=True)
        longest_by_kind = {(task.spec.lasting, task.is_suspected): task for task in by_wait}
        for longest in longest_by_kind.values():
            wait_ms = waits.now_ms - longest.waiting_since_ms
            reasons = self._dispatcher.wait_reasons(
                longest,
                waits.candidates,
                wait_ms,
                waits.passed_over.get(longest.name, Preference.NOT_CHOSEN),
            )
            if waits.kept:
                reasons[Preference.KEPT] = waits.kept
            log(
                Event.RUN_WAITING,
                task=longest.name,
                lasting=longest.spec.lasting,
                is_suspected=longest.is_suspected,
                waited_ms=wait_ms,
                overdue=len(waits.overdue),
                suspected=sum(task.is_suspected for task in waits.overdue),
                trials=trials,
                reasons=dict(reasons + unavailable),
                room_without=_room_without(longest, others),
                trial_room_without=_room_without(longest, on_trial),
                lacking=Counter(
                    name
                    for worker in others
                    if worker.capacity.refusal(longest) is Requirement.NO_ROOM
                    for name in worker.capacity.lacking(longest)
                ),
            )

    def _track_service_waits(
        self, term: PoolTerm, found: _Round, decisions: Iterable[PlacementDecision]
    ) -> None:
        """Record why services wait after a round, and log the waits that are long."""
        waits = term.service_waits
        if not found.services and not waits:
            return
        now = self._clock.monotonic()
        waits.forget(
            lambda task: (
                (member := term.members.get(task.worker_id)) is not None and member.lists(task)
            )
        )
        waits.observe(found.services, found.limits, now, self._now_ms())
        starts = {
            decision.task.name: decision.worker.worker_id
            for decision in decisions
            if decision.task.spec.lasting
        }
        ended_waits = waits.starts_to_log(starts, now)
        self._sample_service_waits(term, found, ended_waits)
        for wait in ended_waits:
            log(Event.SERVICE_WAITED, worker=starts[wait.task.name], **wait.fields(now))
        for name in starts:
            waits.record_assignment(name, now)
        if self._service_wait_timer.is_due(now):
            long_waits = waits.long_waits(now)
            self._sample_service_waits(term, found, waits_to_sample(long_waits))
            for wait in waits_to_log(long_waits):
                log(Event.SERVICE_WAITED, waiting=len(long_waits), **wait.fields(now))

    def _sample_service_waits(
        self, term: PoolTerm, found: _Round, waits: Iterable[ServiceWait]
    ) -> None:
        """Record for long waits where their tasks have room, and what prevents starts there."""
        config = self._source.config()
        if config is None:
            return
        now = self._clock.monotonic()
        now_ms = self._now_ms()
        sample: WorkerSample | None = None
        rooms: dict[str, int] = {}
        reasons: dict[tuple[str, str], Counter[str]] = {}
        for wait in waits:
            sample = sample or term.service_waits.sample(
                lambda: self._worker_sample(term, config), now
            )
            task = wait.task
            step = step_key(task)
            limit = found.limits.get(task.name, Preference.NOT_CHOSEN)
            # The tasks of a step have the same requirements.
            if step not in rooms:
                rooms[step] = sample.room(task)
            if (step, limit) not in reasons:
                candidates = sample.candidates if found.candidates is None else found.candidates
                reasons[step, limit] = self._refusals(
                    task, candidates, now_ms - task.waiting_since_ms, limit
                )
                reasons[step, limit].update(
                    worker.refusal(task) or Preference.ON_TRIAL for worker in sample.on_trial
                )
                reasons[step, limit].update(sample.unavailable)
                if found.kept:
                    reasons[step, limit][Preference.KEPT] = found.kept
            wait.record_sample(sample, rooms[step], reasons[step, limit], now)

    def _refusals(
        self, task: StepTask, candidates: Iterable[WorkerCapacity], wait_ms: int, limit: str
    ) -> Counter[str]:
        """Return why candidates do not get a task; a requirement goes before a preference."""
        refusals: Counter[str] = Counter()
        usable = []
        for worker in candidates:
            refusal = worker.refusal(task)
            if refusal is None:
                usable.append(worker)
            else:
                refusals[refusal] += 1
        return refusals + self._dispatcher.wait_reasons(task, usable, wait_ms, limit)

    def _worker_sample(self, term: PoolTerm, config: PoolConfig) -> WorkerSample:
        candidates, on_trial = [], []
        unavailable: Counter[str] = Counter()
        for member, reason in self._availability(term, config):
            if reason is None:
                candidates.append(self._allocated_capacity(term, member))
            elif reason is Preference.ON_TRIAL:
                on_trial.append(self._allocated_capacity(term, member))
            else:
                unavailable[reason] += 1
        return WorkerSample(self._clock.monotonic(), candidates, on_trial, unavailable)

    def _occupied_workers(self, term: PoolTerm, config: PoolConfig) -> list[_OccupiedWorker]:
        """Return the workers that are up, before the starts of this round."""
        workers = []
        for member, reason in self._availability(term, config):
            if reason not in (None, Preference.ON_TRIAL):
                continue
            capacity = self._allocated_capacity(term, member)
            active = term.pool.active_tasks(member.worker_id)
            taken = capacity.capacity - capacity.free
            parts = {
                "none": Resources(),
                "best-effort": total_demand(task for task in active if task.spec.fills),
                "short": total_demand(task for task in active if not task.spec.lasting),
                "unlisted": total_demand(task for task in active if not member.lists(task)),
                "stopping": taken - total_demand(active),
                "all": taken,
            }
            workers.append(_OccupiedWorker(capacity, reason is Preference.ON_TRIAL, parts))
        return workers

    def _record_service_wait(self, term: PoolTerm, config: PoolConfig, waits: "_Waits") -> None:
        """Record the longest wait of a service that a worker has room for.

        Workers that run a suspected task count, too: it is the owner that lets nothing start there.
        """
        longest_ms = 0
        # The tasks of a step have the same requirements.
        services = {
            step_key(task): task
            for task in sorted(waits.overdue, key=lambda task: task.waiting_since_ms, reverse=True)
            if task.spec.lasting
        }.values()
        if services:
            workers = [
                self._allocated_capacity(term, member)
                for member, reason in self._availability(term, config)
                if reason in (None, Preference.ON_TRIAL)
            ]
            admitted = (task for task in services if any(worker.admits(task) for worker in workers))
            longest_ms = max((waits.now_ms - task.waiting_since_ms for task in admitted), default=0)
        self._metrics.set_gauge(SERVICE_WAIT_GAUGE, longest_ms)

    def _allocated_capacity(self, term: PoolTerm, member: Member) -> WorkerCapacity:
        """Return the capacity of a worker, computed again only after its allocation changed."""
        assigned_version = term.pool.allocation_version(member.worker_id)
        listing_version = (assigned_version, member.incarnation, member.clock_ms)
        if member.unassigned_version != listing_version:
            member.unassigned = _unassigned_runs(term.pool, member)
            member.unassigned_version = listing_version
        version = (
            assigned_version,
            member.unassigned,
            member.incarnation,
            member.machine,
            member.service,
            member.data_centre,
            member.labels,
            member.capacity,
        )
        if member.allocation is None or member.allocation_version != version:
            member.allocation = worker_capacity_of(
                member.worker_id,
                member.incarnation,
                member.machine,
                member.service,
                member.data_centre,
                member.labels,
                member.capacity,
                [
                    *term.pool.active_tasks(member.worker_id),
                    *(task for task in member.unassigned if task is not None),
                ],
            )
            if None in member.unassigned:
                # A run of unknown needs may take up the whole worker.
                member.allocation.free -= member.capacity
            member.allocation_version = version
        return member.allocation

    def assignment(
        self, term: PoolTerm, decision: PlacementDecision, decided_at: timedelta
    ) -> RunAssigned:
        """Return the event that assigns a run to its chosen worker.

        :param decided_at: time before the placement was decided, on this process's clock. The start
            window begins then, so a round that was slow or paused does not extend it: a start also
            renews the worker's lease, which must not outlast the lease that reports grant.
        """
        task, candidate = decision.task, decision.worker
        member = term.members[candidate.worker_id]
        start_by_ms = member.clock_at(decided_at) + START_WINDOW // timedelta(milliseconds=1)
        return RunAssigned(
            task.name,
            task.run + 1,
            candidate.worker_id,
            candidate.incarnation,
            candidate.machine,
            start_by_ms,
        )

    def queue_start_commands(self, term: PoolTerm, decisions: list[PlacementDecision]) -> None:
        """Queue start commands for committed assignments."""
        if not term.is_live():
            # The runs count as not started once their start deadline has passed on the workers.
            return
        now = self._clock.monotonic()
        for decision in decisions:
            task = decision.task
            member = term.members[task.worker_id]
            if member.incarnation != task.incarnation or not task.has_active_run(task.run):
                continue
            if not decision.worker.capacity.fits(member.capacity):
                member.withdrawn[task.name, task.run] = CAPACITY_SHRANK
                continue
            member.starts.append(
                wire.RunStart(
                    task.name,
                    task.run,
                    task.workflow.spec.payload,
                    task.checkpoint,
                    task.start_by_ms,
                    self.profile(task),
                )
            )
            member.has_commands.set()
            log(
                Event.RUN_PLACED,
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                fence=member.fence(term.epoch),
                report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
                start_by_ms=task.start_by_ms,
                resumed=bool(task.checkpoint),
                demand=list(task.spec.demand.amounts()),
                lasting=task.spec.lasting,
            )

    def queue_stop_commands(self, term: PoolTerm) -> None:
        """Queue stop commands for listed runs that must not continue.

        These are runs of unknown tasks or ended workflows, runs that are no longer their task's
        active run, and runs marked to stop. Only workers are checked that have listed their runs
        or got such runs since the last call; a stop that has no effect is repeated after a listing.
        """
        unchecked = term.unchecked_workers | term.pool.take_workers_to_stop_runs_on()
        term.unchecked_workers = set()
        for worker_id in sorted(unchecked):
            member = term.members.get(worker_id)
            if member is not None:
                self._queue_stop_commands_of(term, member)

    def _queue_stop_commands_of(self, term: PoolTerm, member: Member) -> None:
        now = self._clock.monotonic()
        for task_name, status in member.running.items():
            task = term.pool.task(task_name)
            key = (task_name, status.run)
            is_wanted = task is not None and task.has_active_run(status.run)
            if is_wanted and not task.workflow.is_ended and key not in member.stop_reasons:
                continue
            sent_at = member.stop_sent_at.get(key)
            if sent_at is not None and now - sent_at < STOP_RETRY_INTERVAL:
                continue
            member.stop_sent_at[key] = now
            reason = member.stop_reasons.get(key, "not wanted")
            member.stops.append(wire.RunStop(task_name, status.run, reason))
            member.has_commands.set()
            log(
                Event.RUN_STOPPED,
                task=task_name,
                run=status.run,
                worker=member.worker_id,
                reason=reason,
                report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
            )
        for key in [key for key in member.stop_sent_at if key[0] not in member.running]:
            del member.stop_sent_at[key]
            member.stop_reasons.pop(key, None)

    def changed_profiles(self, term: PoolTerm, member: Member) -> list[wire.RunProfile]:
        """Return the profiles of listed best-effort runs whose place in the order has changed.

        All are sent again after `RESEND_INTERVAL`, as a reply may be lost. Until then the order is
        stale, which delays runs but breaks no limit.
        """
        if not self._dispatcher.is_wide:
            return []
        now, now_ms = self._clock.monotonic(), self._now_ms()
        sent = member.sent_latest_starts
        if now - member.resent_at >= RESEND_INTERVAL:
            sent, member.resent_at = {}, now
        changed = []
        member.sent_latest_starts = {}
        for name, status in member.running.items():
            task = term.pool.task(name)
            if task is None or not task.spec.fills or not task.has_active_run(status.run):
                continue
            start_ms = self._dispatcher.latest_start_ms(task, now_ms)
            sent_ms = sent.get(name)
            if sent_ms is None or abs(start_ms - sent_ms) >= MIN_LATEST_START_CHANGE_MS:
                sent_ms = start_ms
                changed.append(self.profile(task))
            member.sent_latest_starts[name] = sent_ms
        return changed

    def profile(self, task: StepTask) -> wire.RunProfile:
        """Return the profile of a run that its agent needs, as a wire message."""
        profile = run_profile(task)
        return wire.RunProfile(
            profile.task,
            profile.image,
            profile.fills,
            profile.cpu_millis,
            profile.target_ms,
            self._dispatcher.latest_start_ms(task, self._now_ms()),
        )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _room_without(task: StepTask, workers: Iterable[_OccupiedWorker]) -> Counter[str]:
    """Return on how many workers a task would fit if a part of their runs took up nothing."""
    return Counter(
        part
        for worker in workers
        for part, demand in worker.parts.items()
        if worker.capacity.admits_with(task, demand)
    )


def _is_significant_change(pool: Pool, learned: InterferenceEstimated) -> bool:
    known = pool.interferences.get((learned.filling, learned.serving))
    return (
        known is None or abs(known.mean_milli - learned.mean_milli) >= MIN_INTERFERENCE_CHANGE_MILLI
    )


def _has_waited(services: Iterable[StepTask], now_ms: int) -> bool:
    """Return whether a service has waited so long that it gets a worker reserved."""
    return any(now_ms - task.waiting_since_ms >= RESERVATION_WAIT_MS for task in services)


def _last_trials(pool: Pool) -> set[str]:
    """Return the workers that run a suspected task which one more crash may give up."""
    return {task.worker_id for task in pool.trials() if not task.crashes.survives_unproved_crash}


def _failure_domains(member: Member) -> frozenset[str]:
    """Return what a worker shares with others that may fail together: data centre and labels."""
    return frozenset({f"data centre {member.data_centre}", *member.labels})


def _lists_all_runs(report: wire.WorkerReport) -> bool:
    """Return whether a run that a report does not list has certainly not been started, or is lost.

    Agents of earlier builds do not tell whether the worker's list of ends was cut off; without any
    end it was not.
    """
    if report.unreachable:
        return True
    return not report.ended if report.complete is None else report.complete


def _unassigned_runs(pool: Pool, member: Member) -> tuple[StepTask | None, ...]:
    """Return the tasks of listed runs that are not active; None for an unknown task.

    These runs are being stopped, and take up capacity until they are no longer listed.
    """
    return tuple(
        task
        for name, status in member.running.items()
        if (task := pool.task(name)) is None or not task.has_active_run(status.run)
    )


def _time_since_assignment(task: StepTask, member: Member, now: timedelta) -> timedelta:
    """Return the time since a run was assigned to its worker, on the worker's clock."""
    return timedelta(milliseconds=member.clock_at(now) - task.start_by_ms) + START_WINDOW


def _age_ms(task: StepTask, member: Member) -> int:
    """Return how long a task's run had lasted when its worker last listed its runs, at least.

    The run has begun by its first listing, and by its start deadline if it has begun at all.
    """
    listed_ms = member.first_listed_ms.get((task.name, task.run), task.start_by_ms)
    return member.clock_ms - min(task.start_by_ms, listed_ms)


def _recent_trials(lost: Collection[StepTask]) -> set[str]:
    """Return the suspected tasks that a crashed worker had started shortly before.

    :param lost: tasks whose runs it lost.
    """
    return {task.name for task in _recent_tasks(lost) if task.is_suspected}


def _recent_tasks(lost: Collection[StepTask]) -> list[StepTask]:
    """Return the tasks that a crashed worker had started last.

    :param lost: tasks whose runs it lost.
    """
    if not lost:
        return []
    recent = recent_runs({task.name: task.start_by_ms for task in lost})
    return [task for task in lost if task.name in recent]


def is_cheap_to_stop(task: StepTask, status: RunningRun) -> bool:
    """Return whether a run loses little progress when it is stopped now."""
    limit = MOVE_BELOW_PERCENT if task.spec.checkpoints else RESTART_BELOW_PERCENT
    return status.progress_percent < limit


def _is_newer(newest: Member | None, member: Member) -> bool:
    """Return whether a worker runs on the VM of an earlier one.

    It has listed its runs since the earlier one did: if the VM's clock was set back, the name of
    the earlier one sorts last.
    """
    if newest is None or newest.incarnation <= member.incarnation:
        return False
    return member.listed_at is None or newest.listed_at > member.listed_at


def _is_replaced(task: StepTask, member: Member | None, newest: Mapping[str, Member]) -> bool:
    """Return whether a newer worker runs on the VM of a task's run.

    A later incarnation under the same id reports the runs that it has started itself.

    :param member: the worker of the run; None if it has not reported.
    """
    found = newest.get(task.machine)
    if found is None or found.incarnation <= task.incarnation:
        return False
    return member is None or _is_newer(found, member)

"""Periodic decisions of a shard owner on its running tasks, about once a second."""

from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

from mulberryslip.actions import Action, ActionKind, RunningTask
from mulberryslip.clocks import Clock
from mulberryslip.configs import ConfigView, TaskParameters
from mulberryslip.events import Event, log
from mulberryslip.fleets import Fleet
from mulberryslip.jobs import Job
from mulberryslip.models import Attempt, Priority, Resources, TaskClass, WorkerView
from mulberryslip.quotas import AccountQuota, AccountUsage, Quotas
from mulberryslip.tasks import Task, TaskPhase

from .attempts import AttemptTracker
from .starters import ConfigProvider, TaskStarter
from .terms import ShardTerm

MOVED_TASK_AVOIDANCE = timedelta(seconds=60)
"""How long a task avoids the worker that it was moved away from: long enough for the interference
there to change."""

DECISION_INTERVAL = timedelta(seconds=1)
"""Shortest time between two rounds of decisions."""


class TaskSupervisor:
    """Apply policies and limits to running tasks.

    :param attempts: sends the stop calls.
    :param starter: keeps moved tasks off the workers that they left.
    :param quotas: receives the shard's usage per account.
    """

    def __init__(
        self,
        term: ShardTerm,
        fleet: Fleet,
        source: ConfigProvider,
        attempts: AttemptTracker,
        starter: TaskStarter,
        clock: Clock,
        quotas: Quotas | None = None,
    ):
        self._quotas = quotas
        self._term = term
        self._fleet = fleet
        self._source = source
        self._attempts = attempts
        self._starter = starter
        self._clock = clock
        self._decided_at: timedelta | None = None

    def run(self, policies: Sequence[Any]) -> None:
        """Stop attempts that exceed their time limit and apply the actions of the policies."""
        now = self._clock.monotonic()
        if self._decided_at is not None and now - self._decided_at < DECISION_INTERVAL:
            return
        self._decided_at = now
        self._fleet.expire()
        config = self._source.view()
        if config is None:
            # Without a configuration every data centre would be treated as taken out of service.
            return
        self._fleet.apply_config(config)
        self._report_account_usage(config)
        running = self._running()
        self._stop_overdue(running, config)
        tasks = [task for _, task in running]
        workers = self._fleet.workers()
        for policy in policies:
            for action in _decide(policy, now, workers, tasks):
                self.apply_action(action)

    def apply_action(self, action: Action) -> None:
        """Apply one action to a running task; do nothing if the task has left that worker."""
        with self._term.lock:
            task = self._term.shard.task(action.task)
            if task is None or task.worker_id != action.worker_id:
                return
            if task.phase is not TaskPhase.RUNNING:
                return
            attempt = Attempt(action.task, task.attempt)
            if action.kind is ActionKind.THROTTLE:
                self._term.info(attempt).requested_permille = action.throttle_permille
        if action.kind is ActionKind.THROTTLE:
            log(
                Event.TASK_THROTTLED,
                job=action.task.job_id,
                index=action.task.index,
                worker=action.worker_id,
                permille=action.throttle_permille,
                reason=action.reason,
            )
            return
        checkpoint = action.kind is ActionKind.MOVE
        self._starter.avoid(action.task, action.worker_id, MOVED_TASK_AVOIDANCE)
        self._attempts.stop(action.worker_id, [attempt], action.reason, checkpoint, overdue=False)

    def _report_account_usage(self, config: ConfigView) -> None:
        if self._quotas is None:
            return
        quotas = {
            name: AccountQuota(a.cpu_millis, a.memory_mb, a.accelerators, a.weight)
            for name, a in config.accounts.items()
        }
        capacities = (view.description.capacity for view in self._fleet.placement_views())
        self._quotas.configure(quotas, sum(capacities, Resources()))
        self._quotas.report(f"shard-{self._term.number}", self._account_usages())

    def _account_usages(self) -> dict[str, AccountUsage]:
        used_by_account: dict[str, Resources] = defaultdict(Resources)
        waiting_by_account: dict[str, Resources] = defaultdict(Resources)
        with self._term.lock:
            shard = self._term.shard
            for job, _ in shard.queued():
                waiting_by_account[job.account] += job.resources
            for worker_id in shard.workers_with_attempts():
                for attempt, _ in shard.current_attempts(worker_id):
                    job = shard.jobs[attempt.key.job_id]
                    reserved = self._term.info(attempt).resources
                    used_by_account[job.account] += reserved if reserved.slots else job.resources
        return {
            account: AccountUsage(used_by_account[account], waiting_by_account[account])
            for account in [*{*used_by_account, *waiting_by_account}]
        }

    def _running(self) -> list[tuple[Attempt, RunningTask]]:
        running = []
        with self._term.lock:
            shard = self._term.shard
            for worker_id in shard.workers_with_attempts():
                for attempt, task in shard.current_attempts(worker_id):
                    if task.phase is TaskPhase.RUNNING:
                        job = shard.jobs[attempt.key.job_id]
                        running.append((attempt, self._running_task(attempt, task, job)))
        return running

    def _running_task(self, attempt: Attempt, task: Task, job: Job) -> RunningTask:
        info = self._term.info(attempt)
        now = self._clock.monotonic()
        now_ms = int(self._clock.now().timestamp() * 1000)
        run_time = timedelta(milliseconds=max(0, now_ms - task.started_ms))
        return RunningTask(
            key=attempt.key,
            template=job.template,
            task_class=TaskClass(job.task_class),
            worker_id=task.worker_id,
            resources=info.resources if info.resources.slots else job.resources,
            usage=info.usage,
            run_time=run_time,
            time_since_checkpoint=run_time
            if info.checkpointed_at is None
            else now - info.checkpointed_at,
            throttle_permille=info.throttle_permille,
            priority=Priority(job.priority),
        )

    def _stop_overdue(self, running: list[tuple[Attempt, RunningTask]], config: ConfigView) -> None:
        overdue: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for attempt, task in running:
            template = config.template(task.template)
            if template is None or not isinstance(template.parameters, TaskParameters):
                continue
            limit = template.parameters.max_run_s
            if template.task_class is TaskClass.BATCH and task.run_time.total_seconds() > limit:
                overdue[task.worker_id, f"ran longer than max_run_s = {limit}"].append(attempt)
        for (worker_id, reason), attempts in overdue.items():
            self._attempts.stop(worker_id, attempts, reason, checkpoint=False, overdue=True)


def _decide(
    policy: Any, now: timedelta, workers: Sequence[WorkerView], tasks: Sequence[RunningTask]
) -> list[Action]:
    """Return the actions of a policy; none if it fails."""
    try:
        return list(policy.decide(now, workers, tasks))
    except Exception as exc:
        # The error would end the ownership, then that of each next owner, and nothing would start.
        log(Event.INTERNAL_ERROR, what=type(policy).__name__, reason=repr(exc))
        return []

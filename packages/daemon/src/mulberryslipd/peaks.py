"""Admission control of a pool's owner at peak load, and what operators see of the backlog.

The decision thread calls all methods, with the lock of the ownership term held.
"""

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from mulberryslip.clocks import Clock
from mulberryslip.dispatches import HOPELESS_TIER, Dispatcher
from mulberryslip.drain_rates import DrainRate
from mulberryslip.events import Event, log
from mulberryslip.exceptions import PoolOverloadedError
from mulberryslip.metrics import Metrics
from mulberryslip.peak_admissions import (
    PendingWorkflow,
    excess_wait,
    may_be_rejected,
    pending_workflows,
    retry_after,
)
from mulberryslip.queue_backlogs import backlogs_by_queue, most_waiting
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.workflows import Pool, RunEnded, RunOutcome, WorkflowAccepted

OBSERVATION_INTERVAL = timedelta(milliseconds=250)
"""Time between two looks at what waits: best-effort tasks are placed as often."""

MIN_WAIT_MS = 500
"""Wait of a best-effort task from which on capacity is short; tasks wait up to 250 ms for the next
placement, and some 100 ms for the round."""

MIN_WAITING_WORKFLOWS = 2
"""Number of workflows that must wait: a single one may wait for a worker that suits it alone."""

REPORT_INTERVAL = timedelta(seconds=5)
"""Time between two reports of the backlog; it bounds the log lines."""


class PeakControl:
    """Measures the backlog of one ownership term and rejects what cannot end in time.

    :param gate: tells in which pools workflows may be rejected.
    :param pool: state of the pool.
    """

    def __init__(
        self,
        gate: WideStepGate,
        pool: Pool,
        dispatcher: Dispatcher,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ):
        self._gate = gate
        self._pool = pool
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._drain = DrainRate()
        self._rejected: Counter[str] = Counter()
        self._pending: list[PendingWorkflow] = []
        self._observe_at = self._report_at = self._pending_until = clock.monotonic()

    def check(self, accepted: WorkflowAccepted) -> None:
        """Check whether a new workflow may end in time.

        :raises PoolOverloadedError: it certainly ends too late to have any value.
        """
        if not self._gate.applies_to(self._pool):
            return
        rate = self._drain.rate(self._clock.monotonic())
        if rate is None:
            return
        candidate = Pool()
        candidate.apply(accepted)
        workflow = candidate.workflows[accepted.workflow_id]
        if not may_be_rejected(workflow):
            return
        excess = excess_wait(workflow, self._dispatcher, self._recent_pending(), rate)
        if not excess:
            return
        self._rejected[workflow.queue.name] += 1
        self._metrics.count("workflows_overloaded")
        raise PoolOverloadedError(
            f"the workflow would start {excess.total_seconds():.1f} s too late to end in time",
            retry_after(excess, self._rng.random()),
        )

    def record(self, event: Any) -> None:
        """Record an event that is about to be applied, if a best-effort task is done with it."""
        if not self._gate.min_tasks or not isinstance(event, RunEnded):
            return
        task = self._pool.task(event.task)
        is_done = event.outcome == RunOutcome.DONE.value
        if is_done and task is not None and task.spec.fills and task.has_active_run(event.run):
            self._drain.record_done(task, self._clock.monotonic())

    def observe(self, cores_up: Callable[[], float]) -> None:
        """Record whether capacity is short, and report the backlog when it is due.

        :param cores_up: returns the cores of the workers that are up; called when it is due.
        """
        now = self._clock.monotonic()
        if now < self._observe_at or not self._gate.applies_to(self._pool):
            return
        self._observe_at = now + OBSERVATION_INTERVAL
        running = [
            task
            for worker_id in self._pool.workers_with_runs()
            for task in self._pool.active_tasks(worker_id)
            if task.spec.fills
        ]
        self._drain.observe(now, self._is_short(), cores_up(), running)
        if now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL
            self._report(now)

    def _recent_pending(self) -> list[PendingWorkflow]:
        """Return the accepted best-effort workflows, computed at most once in a while.

        With 2,000 waiting tasks this takes 5 ms, and many callers may retry at a time.
        """
        now = self._clock.monotonic()
        if now >= self._pending_until:
            self._pending = pending_workflows(self._pool, self._dispatcher)
            self._pending_until = now + OBSERVATION_INTERVAL
        return self._pending

    def _is_short(self) -> bool:
        now_ms = self._now_ms()
        waiting = {
            task.workflow.workflow_id: task.workflow
            for task in self._pool.ready()
            if task.spec.fills and now_ms - task.waiting_since_ms >= MIN_WAIT_MS
        }
        # New work precedes what can have no value any more.
        counted = sum(
            self._dispatcher.urgency(workflow, now_ms).tier != HOPELESS_TIER
            for workflow in waiting.values()
        )
        return counted >= MIN_WAITING_WORKFLOWS

    def _report(self, now: timedelta) -> None:
        rejected, self._rejected = self._rejected, Counter()
        backlogs = backlogs_by_queue(self._pool, self._dispatcher, self._now_ms(), rejected)
        total = backlogs.values()
        drained = self._drain.recent(now)
        self._metrics.set_gauge("best_effort_waiting_core_s", round(sum(b.waiting for b in total)))
        self._metrics.set_gauge("best_effort_running_core_s", round(sum(b.running for b in total)))
        self._metrics.set_gauge("best_effort_hopeless", sum(b.hopeless for b in total))
        self._metrics.set_gauge("best_effort_drained_cores", round(drained))
        for queue, backlog in most_waiting(backlogs):
            log(
                Event.QUEUE_BACKLOG,
                queue=queue,
                workflows=backlog.workflows,
                hopeless=backlog.hopeless,
                rejected=backlog.rejected,
                waiting_core_s=round(backlog.waiting),
                running_core_s=round(backlog.running),
                drained_cores=round(drained),
                queues=len(backlogs),
            )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

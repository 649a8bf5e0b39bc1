"""Rejects best-effort workflows that cannot end in time at peak load. This module performs no I/O.

It is designed for this load pattern: more best-effort work arrives than the fleet can finish, for
longer than the objectives of the workflows allow, and estimates of callers are off by up to a
factor of two. A workflow that certainly ends after `LATE_FACTOR` times its objective has no value,
and its caller learns at once that it was not run.

The decision is a lower bound of the wait: what precedes the new workflow in scheduling order is
served at the measured drain rate, without anything that arrives later and without the steps that
are not ready. Work that becomes late or hopeless during this wait no longer precedes it. Without a
measured rate everything is accepted.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from .dispatches import LATE_FACTOR, Dispatcher
from .drain_rates import core_seconds
from .workflows import Phase, Pool, Workflow

ESTIMATE_ERROR = 2
"""Factor by which estimates may be off. That of the new workflow may be too low, and its objective
grows with its true run time; those of the backlog may be too high, compared with those of the work
that the drain rate was measured with."""

MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=3)
"""Shortest and longest retry time. Callers retry four times and wait 3 s for a response: four
retries after 1 to 3 s each outlast most bursts of 4 to 6 s, and longer waits would use up the
objective."""

MIN_SPREAD = timedelta(seconds=1)
"""Smallest range of retry times. Callers get them in whole seconds."""


@attrs.frozen
class PendingWorkflow:
    """A best-effort workflow that competes for capacity; times in milliseconds.

    :param is_started: whether a task of the workflow has been started.
    :param due_ms: deadline, in milliseconds since 1970.
    :param last_ms: time after which the workflow has no value, in milliseconds since 1970.
    :param path_ms: expected run time of what is left of the critical path.
    :param waiting_work: core-seconds of the tasks that are ready and wait. Later steps count
        nothing: while they wait for the last task of a step, other workflows get the capacity.
    """

    queue: str
    priority: int
    is_started: bool
    due_ms: int
    last_ms: int
    path_ms: int
    waiting_work: float

    def key(self) -> tuple[int, bool, int]:
        """Return the sort key within a tier, see `dispatches.Urgency`."""
        return (self.priority, not self.is_started, self.due_ms)


def pending_workflow(workflow: Workflow, dispatcher: Dispatcher) -> PendingWorkflow:
    """Return what the decision needs to know about a workflow."""
    due_ms = dispatcher.due_ms(workflow)
    path = dispatcher.critical_path(workflow, include_done=False)
    ready = [number for number in range(len(workflow.steps)) if workflow.is_ready(number)]
    return PendingWorkflow(
        workflow.queue.name,
        workflow.queue.priority,
        any(task.run for task in workflow.tasks()),
        due_ms,
        workflow.accepted_ms + LATE_FACTOR * (due_ms - workflow.accepted_ms),
        path // timedelta(milliseconds=1),
        # Tasks without an estimate count nothing: too small a backlog rejects nothing.
        sum(
            core_seconds(task)
            for number in ready
            for task in workflow.steps[number]
            if task.phase is Phase.WAITING and task.spec.fills and task.spec.estimate_ms
        ),
    )


def pending_workflows(pool: Pool, dispatcher: Dispatcher) -> list[PendingWorkflow]:
    """Return the best-effort workflows of a pool that have not ended."""
    return [
        pending_workflow(workflow, dispatcher)
        for workflow in pool.unended.values()
        if any(step.fills for step in workflow.spec.steps)
    ]


def may_be_rejected(workflow: Workflow) -> bool:
    """Return whether a workflow consists of best-effort steps with estimates only."""
    return all(step.fills and step.estimate_ms for step in workflow.spec.steps)


def excess_wait(
    workflow: Workflow,
    dispatcher: Dispatcher,
    pending: Iterable[PendingWorkflow],
    rate: float | None,
) -> timedelta:
    """Return by how much a new workflow certainly starts too late to have any value.

    :param workflow: the workflow as it would be accepted now.
    :param pending: the best-effort workflows that have been accepted.
    :param rate: core-seconds finished per second; None if that is not known.
    :returns: zero if the workflow may end in time, so that it is accepted.
    """
    if rate is None or not may_be_rejected(workflow):
        return timedelta()
    own = pending_workflow(workflow, dispatcher)
    now_ms = workflow.accepted_ms
    longest_path = ESTIMATE_ERROR * dispatcher.critical_path(workflow, include_done=True)
    objective = workflow.queue.stretched(longest_path) + workflow.queue.slack
    last_start_ms = (LATE_FACTOR * objective - longest_path) // timedelta(milliseconds=1)
    # Other queues of its priority may get no more than their share, so they do not count.
    ahead = sorted(
        (
            other
            for other in pending
            if other.priority < own.priority
            or (other.queue == own.queue and other.key() <= own.key())
        ),
        key=PendingWorkflow.key,
    )
    start_ms = _earliest_start_ms(own, ahead, rate * ESTIMATE_ERROR, now_ms)
    return timedelta(milliseconds=max(0.0, start_ms - last_start_ms))


def retry_after(excess: timedelta, random_share: float) -> timedelta:
    """Return when the caller of a rejected workflow should retry.

    The backlog has drained by then as far as the bounds allow, and callers that are rejected
    together return at different times.

    :param excess: result of `excess_wait`.
    :param random_share: a random number from 0 to 1.
    """
    longest = min(max(excess, MIN_RETRY_AFTER + MIN_SPREAD), MAX_RETRY_AFTER)
    shortest = max(MIN_RETRY_AFTER, min(longest / 2, longest - MIN_SPREAD))
    return shortest + (longest - shortest) * random_share


def _earliest_start_ms(
    own: PendingWorkflow, ahead: Iterable[PendingWorkflow], rate: float, now_ms: int
) -> float:
    """Return how long a new workflow waits at least, in milliseconds.

    :param ahead: the workflows that precede it in its tier, in scheduling order.
    """
    wait_ms = 0.0
    own_late_ms = own.due_ms - own.path_ms - now_ms
    late: list[tuple[PendingWorkflow, float]] = []
    for other in ahead:
        work_ms = 1000 * other.waiting_work / rate
        # It precedes the new workflow only while both can still meet their deadlines.
        until_ms = min(other.due_ms - other.path_ms - now_ms, own_late_ms)
        served_ms = max(0.0, min(work_ms, until_ms - wait_ms))
        wait_ms += served_ms
        if served_ms < work_ms:
            late.append((other, work_ms - served_ms))
    if wait_ms < own_late_ms:
        return wait_ms
    for other, work_ms in late:
        until_ms = other.last_ms - other.path_ms - now_ms
        wait_ms += max(0.0, min(work_ms, until_ms - wait_ms))
    return wait_ms

"""Summarises the best-effort work of a pool by queue, for operators. This module performs no I/O.

It shows these load patterns: a burst of one queue, work that waits although it can have no value
any more, and queues whose callers are rejected.
"""

from collections import Counter
from collections.abc import Mapping

import attrs

from .dispatches import HOPELESS_TIER, Dispatcher
from .drain_rates import core_seconds
from .workflows import Phase, Pool

MAX_LOGGED_QUEUES = 16
"""Maximum number of queues in one report; those with the most waiting work."""


@attrs.define
class QueueBacklog:
    """Best-effort work of one queue.

    :param workflows: number of workflows with waiting or running tasks.
    :param hopeless: number of those that can have no value any more; their tasks start last.
    :param waiting: core-seconds of tasks that have not started.
    :param running: core-seconds of tasks that run, counted in full.
    :param rejected: number of workflows that were rejected since the last report.
    """

    workflows: int = 0
    hopeless: int = 0
    waiting: float = 0.0
    running: float = 0.0
    rejected: int = 0


def backlogs_by_queue(
    pool: Pool, dispatcher: Dispatcher, now_ms: int, rejected: Mapping[str, int]
) -> dict[str, QueueBacklog]:
    """Return the backlog of each queue that has one or had workflows rejected.

    :param now_ms: current time, in milliseconds since 1970.
    :param rejected: number of rejected workflows by queue.
    """
    found: dict[str, QueueBacklog] = {}
    for workflow in pool.unended.values():
        work: Counter[Phase] = Counter()
        for task in workflow.tasks():
            if task.spec.fills:
                work[task.phase] += core_seconds(task)
        if not work:
            continue
        backlog = found.setdefault(workflow.queue.name, QueueBacklog())
        backlog.workflows += 1
        backlog.hopeless += dispatcher.urgency(workflow, now_ms).tier == HOPELESS_TIER
        backlog.waiting += work[Phase.WAITING]
        backlog.running += work[Phase.HELD]
    for queue, count in rejected.items():
        found.setdefault(queue, QueueBacklog()).rejected = count
    return found


def most_waiting(backlogs: Mapping[str, QueueBacklog]) -> list[tuple[str, QueueBacklog]]:
    """Return the queues to log: those with rejected workflows, then by their waiting work."""

    def rank(item: tuple[str, QueueBacklog]) -> tuple[bool, float, str]:
        queue, backlog = item
        return (not backlog.rejected, -backlog.waiting, queue)

    return sorted(backlogs.items(), key=rank)[:MAX_LOGGED_QUEUES]

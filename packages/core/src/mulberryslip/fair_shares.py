"""Divides scarce best-effort capacity fairly among queues. This module performs no I/O.

It is designed for this load pattern: two to twelve queues of one priority submit best-effort
workflows, and a burst of one queue, whose deadlines come before those of later workflows of the
others, would keep these waiting until it is served.

A queue that holds more cores than the mean of the queues that wait goes after those that hold less.
What queues hold follows from the state in the journal: there is no credit for the past, so nothing
has to be bounded or handed over, and a new owner decides alike.
"""

from collections.abc import Hashable, Mapping, Sequence

from .workflows import StepTask


def order_by_share(
    ordered: Sequence[StepTask],
    classes: Mapping[str, Hashable],
    held_millis: Mapping[str, int],
) -> list[StepTask]:
    """Return waiting best-effort tasks with the queues in an order that gives each its fair share.

    The order within a queue does not change, nor that of workflows of different classes. If tasks
    of a single queue wait, the order stays the same.

    :param ordered: waiting tasks in scheduling order.
    :param classes: by workflow id, what queues must have in common to share capacity: workflows of
        one class are next to each other in `ordered`.
    :param held_millis: processors that running best-effort tasks of each queue hold, in thousandths
        of a core.
    """
    queues = {task.workflow.queue.name for task in ordered}
    if len(queues) < 2:
        return list(ordered)
    held = {queue: held_millis.get(queue, 0) for queue in queues}
    arranged: list[StepTask] = []
    group: list[list[StepTask]] = []
    group_class: Hashable = None
    for batch in _batches(ordered):
        batch_class = classes[batch[0].workflow.workflow_id]
        if group and batch_class != group_class:
            arranged += _arrange(group, held)
            group = []
        group_class = batch_class
        group.append(batch)
    return arranged + _arrange(group, held)


def _batches(ordered: Sequence[StepTask]) -> list[list[StepTask]]:
    """Return the tasks grouped by workflow, which are next to each other."""
    batches: list[list[StepTask]] = []
    for task in ordered:
        if not batches or batches[-1][0].workflow is not task.workflow:
            batches.append([])
        batches[-1].append(task)
    return batches


def _arrange(batches: list[list[StepTask]], held: dict[str, int]) -> list[StepTask]:
    """Return the tasks of one class in the order of their start.

    :param held: processors that each waiting queue holds; updated with what the tasks take up.
    """
    by_queue: dict[str, list[tuple[int, list[StepTask]]]] = {}
    for position, batch in enumerate(batches):
        by_queue.setdefault(batch[0].workflow.queue.name, []).append((position, batch))
    for waiting in by_queue.values():
        waiting.reverse()
    arranged: list[StepTask] = []
    while by_queue:
        share = sum(held.values()) / len(held)
        queue = min(by_queue, key=lambda name: (held[name] > share, by_queue[name][-1][0]))
        _, batch = by_queue[queue].pop()
        if not by_queue[queue]:
            del by_queue[queue]
        held[queue] += sum(task.spec.cpu_millis for task in batch)
        arranged += batch
    return arranged

"""Actions on running tasks, and what a policy must know about a running task."""

import enum
from datetime import timedelta

import attrs

from .models import Priority, Resources, TaskClass, TaskKey


class ActionKind(enum.Enum):
    """What to do with a running task.

    `MOVE` checkpoints the task and queues it for another worker. `STOP` ends it without a new
    checkpoint, so work since the last one is lost.
    """

    THROTTLE = "throttle"
    MOVE = "move"
    STOP = "stop"


@attrs.frozen
class Action:
    """One action on a running task.

    :param kind: what to do.
    :param task: the task.
    :param worker_id: worker on which it runs.
    :param reason: one short sentence.
    :param throttle_permille: share of its speed that a throttled task keeps; 1000 ends a throttle.
    :param target: worker that had room for a moved task, as a hint; may be empty.
    """

    kind: ActionKind
    task: TaskKey
    worker_id: str
    reason: str
    throttle_permille: int = 1000
    target: str = ""


@attrs.frozen
class RunningTask:
    """A running task as its shard owner knows it.

    :param key: the task.
    :param template: name of its template.
    :param task_class: class of the template.
    :param worker_id: worker on which it runs.
    :param resources: committed size.
    :param usage: last reported usage; zero amounts when none was reported yet.
    :param run_time: time that it has run so far, over all attempts.
    :param unsaved: time since its last checkpoint or, without one, since its start.
    :param throttle_permille: share of its speed that it has now.
    :param priority: priority of the template.
    """

    key: TaskKey
    template: str
    task_class: TaskClass
    worker_id: str
    resources: Resources
    usage: Resources = Resources()
    run_time: timedelta = timedelta()
    unsaved: timedelta = timedelta()
    throttle_permille: int = 1000
    priority: Priority = Priority.NORMAL

"""Actions on running tasks, and the state of a running task on which policies decide."""

import enum
from datetime import timedelta

import attrs

from .models import Priority, Resources, TaskClass, TaskKey


class ActionKind(enum.Enum):
    """Kind of action on a running task.

    `THROTTLE` sets its duty cycle. `MOVE` checkpoints the task and queues it for another worker.
    `STOP` ends it without a new checkpoint, so work since the last one is lost.
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
    :param reason: explanation of the action.
    :param throttle_permille: duty cycle of a throttled task in permille; 1000 ends the throttle.
    :param destination: worker suggested for a moved task; may be empty.
    """

    kind: ActionKind
    task: TaskKey
    worker_id: str
    reason: str
    throttle_permille: int = 1000
    destination: str = ""


@attrs.frozen
class RunningTask:
    """State of a running task as known to its shard owner.

    :param key: the task.
    :param template: name of its template.
    :param task_class: class of the template.
    :param worker_id: worker on which it runs.
    :param resources: committed size.
    :param usage: last reported usage; zero amounts when none was reported yet.
    :param run_time: total run time so far, over all attempts.
    :param time_since_checkpoint: time since its last checkpoint or, without one, since its start.
    :param throttle_permille: current duty cycle in permille.
    :param priority: priority of the template.
    """

    key: TaskKey
    template: str
    task_class: TaskClass
    worker_id: str
    resources: Resources
    usage: Resources = Resources()
    run_time: timedelta = timedelta()
    time_since_checkpoint: timedelta = timedelta()
    throttle_permille: int = 1000
    priority: Priority = Priority.NORMAL

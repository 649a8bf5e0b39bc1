"""Room of one worker: what its runs take, as the owner of the pool accounts for it."""

from collections import Counter
from collections.abc import Iterable

import attrs

from .models import Resources
from .workflows import StepTask


@attrs.define(eq=False)
class WorkerRoom:
    """What is free on a worker while a round of placement is decided.

    :param free: capacity that no held run takes; the processors that filling runs use are not
        counted, since these runs get only what others leave.
    :param fill_free_millis: processors that other than filling runs are not expected to use.
    :param steps: held runs by step, as `workflow/step`.
    :param serving: serving runs by image.
    :param starting: runs that were assigned in this round or have not been seen at work yet.
    :param fill_millis: processors that filling runs can use, by image, in thousandths of a core.
    :param headrooms: usual headroom of the serving runs without filling ones, by image.
    :param lows: lowest headroom of the serving runs now, by image.
    :param penalty: reasons to avoid the worker, from 0; placement prefers lower ones.
    """

    worker_id: str
    incarnation: str
    machine: str
    service: str
    data_centre: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    fill_free_millis: int
    steps: Counter = attrs.field(factory=Counter)
    serving: Counter = attrs.field(factory=Counter)
    starting: int = 0
    fill_millis: Counter = attrs.field(factory=Counter)
    headrooms: dict[str, float] = attrs.field(factory=dict)
    lows: dict[str, float] = attrs.field(factory=dict)
    penalty: float = 0.0

    @property
    def unused_millis(self) -> int:
        """Return the processors that no run is expected to use; filling runs may ask for more."""
        return self.fill_free_millis - sum(self.fill_millis.values())

    def share(self, cpu_millis: int) -> float:
        """Return processors as a share of the worker's."""
        return cpu_millis / max(1, self.capacity.cpu_millis)

    def fill_shares(self) -> dict[str, float]:
        """Return the shares of the worker's processors that filling runs can use, by image."""
        return {image: self.share(millis) for image, millis in self.fill_millis.items()}

    def take(self, task: StepTask) -> None:
        """Account for one more run."""
        spec = task.spec
        self.free -= spec.room
        if not spec.fills:
            self.fill_free_millis -= expected_millis(task)
        self.steps[step_key(task)] += 1
        if spec.target_ms:
            self.serving[spec.image] += 1
        elif spec.fills:
            self.fill_millis[spec.image] += spec.cpu_millis
        self.starting += 1

    def admits(self, task: StepTask) -> bool:
        """Return whether a run fits and its step allows this worker."""
        spec = task.spec
        if not spec.room.fits(self.free):
            return False
        if spec.required_label and spec.required_label not in self.labels:
            return False
        if spec.max_per_worker and self.steps[step_key(task)] >= spec.max_per_worker:
            return False
        return self.service == task.workflow.queue.service


SERVING_USE = 0.5
"""Share of its processors that a lasting task is expected to use over a whole wave of its load."""


def expected_millis(task: StepTask) -> int:
    """Return the processors that a run is expected to use, in thousandths of a core."""
    spec = task.spec
    return int(spec.cpu_millis * SERVING_USE) if spec.lasting else spec.cpu_millis


def step_key(task: StepTask) -> str:
    """Return the name of a task's step."""
    return f"{task.workflow.workflow_id}/{task.step}"


def room_of(
    worker_id: str,
    incarnation: str,
    machine: str,
    service: str,
    data_centre: str,
    labels: Iterable[str],
    capacity: Resources,
    held: Iterable[StepTask],
) -> WorkerRoom:
    """Return the room that held runs leave on a worker."""
    room = WorkerRoom(
        worker_id,
        incarnation,
        machine,
        service,
        data_centre,
        frozenset(labels),
        capacity,
        capacity,
        capacity.cpu_millis,
    )
    for task in held:
        room.take(task)
    room.starting = 0
    return room

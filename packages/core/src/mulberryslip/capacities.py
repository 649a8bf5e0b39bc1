"""Capacity accounting for one worker, as done by the owner of the pool."""

import math
from collections.abc import Iterable

import attrs

from .holds import Hold
from .models import Resources
from .refusals import Requirement
from .workflows import StepTask


@attrs.define(eq=False)
class WorkerCapacity:
    """Allocated and free capacity of a worker during a placement round.

    :param free: capacity not reserved by assigned runs. Best-effort runs reserve no processors,
        since they use only those that others leave unused.
    :param best_effort_available_millis: processors that runs other than best-effort ones are not
        expected to use, in thousandths of a core.
    :param long_running_millis: processors reserved by long-running runs, in thousandths of a core.
    :param ending_soon: capacity reserved by runs that are expected to end soon.
    :param steps: number of assigned runs by step, as `workflow/step`.
    :param latency_critical_runs: number of latency-critical runs by image.
    :param pending_starts: runs assigned in this round or not yet reported as running.
    :param best_effort_millis: processors that best-effort runs can use, by image, in thousandths
        of a core.
    :param baseline_headrooms: usual headroom of the latency-critical runs without best-effort runs,
        by image.
    :param lowest_headrooms: lowest current headroom of the latency-critical runs, by image.
    :param penalty: penalty for using the worker, at least 0; placement prefers lower values.
    :param is_probed: whether the worker may get only one run in this round, not counting
        long-running ones.
    :param has_lost_starts: whether the worker has carried out no start since the last one that it
        refused or did not carry out in time.
    :param hold: reservation for a large task; None if there is none.
    """

    worker_id: str
    incarnation: str
    machine: str
    service: str
    data_centre: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    best_effort_available_millis: int
    long_running_millis: int = 0
    ending_soon: Resources = Resources()
    steps: dict[str, int] = attrs.field(factory=dict)
    latency_critical_runs: dict[str, int] = attrs.field(factory=dict)
    pending_starts: int = 0
    best_effort_millis: dict[str, int] = attrs.field(factory=dict)
    baseline_headrooms: dict[str, float] = attrs.field(factory=dict)
    lowest_headrooms: dict[str, float] = attrs.field(factory=dict)
    penalty: float = 0.0
    is_probed: bool = False
    has_lost_starts: bool = False
    hold: Hold | None = None

    @property
    def runs(self) -> int:
        """Return the number of assigned runs."""
        return sum(self.steps.values())

    @property
    def unused_millis(self) -> int:
        """Return the processors that no run is expected to use, in thousandths of a core.

        Negative if best-effort runs could use more than is available.
        """
        return self.best_effort_available_millis - sum(self.best_effort_millis.values())

    @property
    def best_effort_available_share(self) -> float:
        """Return the share of the processors that best-effort runs can use, at least 0."""
        return self.cpu_share(max(0, self.best_effort_available_millis))

    def cpu_share(self, cpu_millis: int) -> float:
        """Convert thousandths of a core to a share of the worker's processors."""
        return cpu_millis / max(1, self.capacity.cpu_millis)

    def best_effort_shares(self) -> dict[str, float]:
        """Return the share of the worker's processors that best-effort runs can use, by image."""
        return {image: self.cpu_share(millis) for image, millis in self.best_effort_millis.items()}

    def copy(self) -> "WorkerCapacity":
        """Return a copy for one placement round, which reserves capacity of its own."""
        return WorkerCapacity(
            self.worker_id,
            self.incarnation,
            self.machine,
            self.service,
            self.data_centre,
            self.labels,
            self.capacity,
            self.free,
            self.best_effort_available_millis,
            self.long_running_millis,
            self.ending_soon,
            self.steps.copy(),
            self.latency_critical_runs.copy(),
            self.pending_starts,
            self.best_effort_millis.copy(),
        )

    def reserve(self, task: StepTask) -> None:
        """Reserve the capacity for one more run."""
        spec = task.spec
        self.free -= spec.demand
        if not spec.fills:
            self.best_effort_available_millis -= expected_cpu_millis(task)
        if spec.lasting:
            self.long_running_millis += spec.demand.cpu_millis
        _add(self.steps, step_key(task), 1)
        if spec.target_ms:
            _add(self.latency_critical_runs, spec.image, 1)
        elif spec.fills:
            _add(self.best_effort_millis, spec.image, spec.cpu_millis)
        self.pending_starts += 1
        if self.hold is not None and not self.hold.record(task):
            self.hold = None

    def withhold(self, demand: Resources) -> None:
        """Keep other runs from the free part of what a task gets once enough runs have ended."""
        self.free -= Resources(
            *(
                min(wanted, max(0, free))
                for free, wanted in zip(self.free.amounts(), demand.amounts(), strict=True)
            )
        )

    def share_to_end(self, demand: Resources) -> float:
        """Return the part of the runs that end soon after which a task would fit.

        0 if it fits now, and infinity if these runs do not take up what it lacks.
        """
        if not demand.fits(self.free + self.ending_soon):
            return math.inf
        return max(
            (wanted - free) / ending if wanted > free else 0.0
            for free, wanted, ending in zip(
                self.free.amounts(), demand.amounts(), self.ending_soon.amounts(), strict=True
            )
        )

    def admits(self, task: StepTask) -> bool:
        """Return whether a run fits on this worker and its step may run here."""
        return not self.refusal(task)

    def refusal(self, task: StepTask) -> Requirement | None:
        """Return why a run may not start on this worker; None if it fits and may run here."""
        if self.service != task.workflow.queue.service:
            return Requirement.OTHER_SERVICE
        if not task.spec.demand.fits(self.free):
            return Requirement.NO_ROOM
        return self._placement_refusal(task)

    def may_run(self, task: StepTask) -> bool:
        """Return whether a run may start on this worker if it fits."""
        return self.service == task.workflow.queue.service and not self._placement_refusal(task)

    def _placement_refusal(self, task: StepTask) -> Requirement | None:
        spec = task.spec
        if spec.required_label and spec.required_label not in self.labels:
            return Requirement.LABEL_MISSING
        if spec.max_per_worker and self.steps.get(step_key(task), 0) >= spec.max_per_worker:
            return Requirement.SPREAD_LIMIT
        return None

    def admits_with(self, task: StepTask, freed: Resources) -> bool:
        """Return whether a run fits on this worker, and may run here, once more is free."""
        return attrs.evolve(self, free=self.free + freed).admits(task)

    def lacking(self, task: StepTask) -> list[str]:
        """Return the names of the resources of which too little is free for a run."""
        amounts = zip(task.spec.demand.amounts(), self.free.amounts(), strict=True)
        names = (field.name for field in attrs.fields(Resources))
        return [name for name, (needed, free) in zip(names, amounts, strict=True) if needed > free]


def _add(amounts: dict[str, int], key: str, amount: int) -> None:
    # A `Counter` takes several times as long to copy, which each round does for each worker.
    amounts[key] = amounts.get(key, 0) + amount


LONG_RUNNING_UTILIZATION = 0.5
"""Expected processor utilization of a long-running task, averaged over a full cycle of its load."""


def expected_cpu_millis(task: StepTask) -> int:
    """Return the processors that a run is expected to use, in thousandths of a core."""
    spec = task.spec
    return int(spec.cpu_millis * LONG_RUNNING_UTILIZATION) if spec.lasting else spec.cpu_millis


def total_demand(tasks: Iterable[StepTask]) -> Resources:
    """Return the capacity that runs of the tasks take up together."""
    return sum((task.spec.demand for task in tasks), Resources())


def step_key(task: StepTask) -> str:
    """Return the key of a task's step, as `workflow/step`."""
    return f"{task.workflow.workflow_id}/{task.step}"


def worker_capacity_of(
    worker_id: str,
    incarnation: str,
    machine: str,
    service: str,
    data_centre: str,
    labels: Iterable[str],
    capacity: Resources,
    active_tasks: Iterable[StepTask],
) -> WorkerCapacity:
    """Return the capacity of a worker after reserving what its assigned runs need.

    :param capacity: total capacity of the worker.
    :param active_tasks: runs assigned to the worker.
    """
    worker = WorkerCapacity(
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
    for task in active_tasks:
        worker.reserve(task)
    worker.pending_starts = 0
    return worker

"""Placement cost of long-running tasks in the capacity that best-effort work loses. No I/O.

It is designed for this load pattern: services reserve most of the processors, come in many images
and often limit how many tasks of a step share a worker, while wide best-effort steps interfere
strongly with some of the pairs of images. A worker without services is harmless to all best-effort
images, and one with few images to most of them.

The cost of a placement is what the best-effort work is expected to lose by it. It is computed for
the worker filled with such tasks, and divided by the processors that they take: a new worker costs
much for its first service, but little for each of those that fill it.

Tight packing leaves room on few workers, and a step with a spread limit needs room on many. So the
last room of a worker costs more.
"""

from .capacities import LONG_RUNNING_UTILIZATION, WorkerCapacity
from .workflows import StepTask

HARMLESS_SHARE = 0.75
"""Share of the best-effort images with which a service's image does not interfere strongly.
Listings of a deployment show strong interference in about a quarter of the pairs."""

IDLE_WEIGHT = 0.25
"""Value of processors that services reserve but do not use, relative to free ones: best-effort
work can use them, but less of them when the load of the services rises."""

TAKEN_SHARE = 1 - IDLE_WEIGHT * (1 - LONG_RUNNING_UTILIZATION)
"""Value that a service takes from a worker, relative to free processors of its size."""

MIXING_COST = 0.1
"""Additional cost of an image on a worker with services of other images only, for tasks without a
spread limit. Those with one have to share workers with other images. With 0.3, about two fewer
of 54 workers stay free of services."""

CLOSING_COST = 0.1
"""Additional cost of the last room of a worker. With 0.3, half as many of 54 workers stay free of
services after later arrivals; with 0, more services with a spread limit wait."""

MAX_COST = 1.1
"""Upper bound of the cost, so that no worker is too expensive to precede an unhealthy one."""


def placement_cost(task: StepTask, worker: WorkerCapacity) -> float:
    """Return the cost of a long-running task on a worker with room, from 0 to `MAX_COST`.

    The unit is one free processor of a worker without services for each processor of the task.
    """
    # Called for each step and worker with room, so it avoids calls such as `min`.
    spec = task.spec
    images = worker.latency_critical_runs
    cpu_millis = spec.cpu_millis or 1
    free_millis = worker.free.cpu_millis
    count = free_millis // cpu_millis
    if spec.memory_mb and count * spec.memory_mb > worker.free.memory_mb:
        count = worker.free.memory_mb // spec.memory_mb
    if count < 1:
        count = 1
    idle_millis = worker.best_effort_available_millis - free_millis
    usable_millis = free_millis + IDLE_WEIGHT * idle_millis if idle_millis > 0 else free_millis
    left_millis = usable_millis - count * cpu_millis * TAKEN_SHARE
    cost = CLOSING_COST if count == 1 else 0.0
    if spec.target_ms and spec.image not in images:
        left_millis *= HARMLESS_SHARE
        if images and not spec.max_per_worker:
            cost += MIXING_COST
    harmless = HARMLESS_SHARE ** len(images)
    cost += harmless * (usable_millis - left_millis) / (count * cpu_millis)
    return cost if cost < MAX_COST else MAX_COST

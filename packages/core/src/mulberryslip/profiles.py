"""Types for the task classes, used to dispatch class-dependent functions by `singledispatch`."""

import attrs

from .models import TaskClass


@attrs.frozen
class ServiceProfile:
    """A latency-critical service."""


@attrs.frozen
class BatchProfile:
    """A batch task, which may be throttled, moved and resumed."""


@attrs.frozen
class WatchProfile:
    """A long-running task that is interrupted as rarely as possible."""


Profile = ServiceProfile | BatchProfile | WatchProfile

_PROFILES: dict[TaskClass, Profile] = {
    TaskClass.SERVICE: ServiceProfile(),
    TaskClass.BATCH: BatchProfile(),
    TaskClass.WATCH: WatchProfile(),
}


def profile_of(task_class: TaskClass) -> Profile:
    """Return the profile of a task class, on whose type functions dispatch."""
    return _PROFILES[task_class]

"""Types for the task classes, so that class-dependent behaviour uses `singledispatch`."""

import attrs

from .models import TaskClass


@attrs.frozen
class ServiceProfile:
    """A latency-critical service."""


@attrs.frozen
class BatchProfile:
    """Work that may be throttled, moved and resumed."""


@attrs.frozen
class WatchProfile:
    """A long-running task that should be interrupted as rarely as possible."""


Profile = ServiceProfile | BatchProfile | WatchProfile

_PROFILES: dict[TaskClass, Profile] = {
    TaskClass.SERVICE: ServiceProfile(),
    TaskClass.BATCH: BatchProfile(),
    TaskClass.WATCH: WatchProfile(),
}


def profile_of(task_class: TaskClass) -> Profile:
    """Return the type on which class-dependent functions dispatch."""
    return _PROFILES[task_class]

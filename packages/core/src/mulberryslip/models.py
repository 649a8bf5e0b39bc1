"""Values shared by all parts: resources, tasks, workers and their load."""

import enum

import attrs


class TaskClass(enum.Enum):
    """How a template's work is treated."""

    SERVICE = "service"
    BATCH = "batch"
    WATCH = "watch"


class Priority(enum.Enum):
    """Urgent tasks are placed before normal ones and start within 1 s."""

    NORMAL = "normal"
    URGENT = "urgent"


@attrs.frozen(order=False)
class Resources:
    """Amounts of a worker's resources.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    :param slots: task slots.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(*(a + b for a, b in zip(self.amounts(), other.amounts(), strict=True)))

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(*(a - b for a, b in zip(self.amounts(), other.amounts(), strict=True)))

    def fits(self, capacity: "Resources") -> bool:
        """Return whether no amount exceeds the capacity's."""
        return all(a <= b for a, b in zip(self.amounts(), capacity.amounts(), strict=True))

    def amounts(self) -> tuple[int, int, int, int]:
        """Return the amounts in the order of the fields."""
        return (self.cpu_millis, self.memory_mb, self.accelerators, self.slots)


@attrs.frozen(order=True)
class TaskKey:
    """Identity of a task within its job.

    :param job_id: identifier chosen by the caller.
    :param index: position of the task in the job, from 0.
    """

    job_id: str
    index: int


@attrs.frozen(order=True)
class Attempt:
    """One try at running a task.

    :param key: the task.
    :param number: counts up from 1; a lower number than the newest is stale.
    """

    key: TaskKey
    number: int


@attrs.frozen
class WorkerLoad:
    """Load of a worker as carried on its replies.

    :param in_flight: requests at the target.
    :param queued: requests waiting for a connection to the target.
    :param service_time_us: moving average of the target's answer time in microseconds.
    :param free: capacity that is neither reserved nor committed.
    :param leaving: whether the worker takes no new work.
    :param pressure_permille: tail latency against its objective; 1000 meets it exactly.
    """

    in_flight: int = 0
    queued: int = 0
    service_time_us: int = 0
    free: Resources = Resources()
    leaving: bool = False
    pressure_permille: int = 0


@attrs.frozen
class WorkerDescription:
    """What a worker announces about itself.

    :param worker_id: name from its settings.
    :param incarnation: changes with each start of the process.
    :param data_centre: name of the data centre.
    :param rack: name of the rack.
    :param host: IP address of its thrift server.
    :param port: TCP port of its thrift server.
    :param capacity: whole capacity for tasks.
    :param services: templates that the local target answers.
    """

    worker_id: str
    incarnation: str
    data_centre: str
    rack: str
    host: str
    port: int
    capacity: Resources
    services: tuple[str, ...] = ()


@attrs.frozen
class WorkerView:
    """A worker as placement and routing see it at one moment.

    :param description: what the worker announced.
    :param load: its newest known load.
    :param data_centre_in: whether its data centre is in service.
    :param quarantined: whether it takes no tasks because it failed several jobs in a row.
    :param running: template names of the tasks known to run there, one for each task.
    """

    description: WorkerDescription
    load: WorkerLoad
    data_centre_in: bool = True
    quarantined: bool = False
    running: tuple[str, ...] = ()

"""Value types shared by all modules: resources, tasks, workers and their load."""

import enum

import attrs


class TaskClass(enum.Enum):
    """Class of a template, which decides how its tasks are scheduled."""

    SERVICE = "service"
    BATCH = "batch"
    WATCH = "watch"


class Priority(enum.Enum):
    """Priority of a template; urgent tasks are placed before normal ones and start within 1 s."""

    NORMAL = "normal"
    URGENT = "urgent"


@attrs.frozen(order=False)
class Resources:
    """Amounts of resources, as a capacity or a size.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    :param slots: task slots.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    # Placement compares every waiting task with many workers: the fields are named one by one
    # because loops over `amounts` take several times as long.

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits(self, capacity: "Resources") -> bool:
        """Return whether no amount exceeds that of the capacity."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
            and self.slots <= capacity.slots
        )

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
    """One execution attempt of a task.

    :param key: the task.
    :param number: sequence number from 1; numbers below the newest are stale.
    """

    key: TaskKey
    number: int


@attrs.frozen
class WorkerLoad:
    """Load of a worker as reported in its replies.

    :param in_flight: requests in flight at the target.
    :param queued: requests waiting for a connection to the target.
    :param service_time_us: moving average of the target's response time in microseconds.
    :param free: capacity that is neither reserved nor committed.
    :param leaving: whether the worker is leaving and takes no new work.
    :param pressure_permille: tail latency relative to its objective in permille; 1000 meets it.
    """

    in_flight: int = 0
    queued: int = 0
    service_time_us: int = 0
    free: Resources = Resources()
    leaving: bool = False
    pressure_permille: int = 0


@attrs.frozen
class WorkerDescription:
    """Description that a worker announces.

    :param worker_id: name from its settings.
    :param incarnation: identifier that changes with each start of the process.
    :param data_centre: name of the data centre.
    :param rack: name of the rack.
    :param host: IP address of its thrift server.
    :param port: TCP port of its thrift server.
    :param capacity: total capacity for tasks.
    :param services: service templates that the local target answers.
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
    """Snapshot of a worker for placement and routing.

    :param description: announced description.
    :param load: newest known load.
    :param data_centre_in: whether its data centre is in service.
    :param quarantined: whether it takes no tasks because several jobs in a row failed there.
    :param running: template names of the tasks known to run there, one for each task.
    """

    description: WorkerDescription
    load: WorkerLoad
    data_centre_in: bool = True
    quarantined: bool = False
    running: tuple[str, ...] = ()

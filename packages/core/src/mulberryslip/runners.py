"""Interface of a worker that runs tasks under one lease and one fencing token."""

import enum
from datetime import timedelta
from typing import Protocol

import attrs

from .exceptions import MulberryslipError
from .models import Resources

MAX_TIME_MS = 10**13
"""Latest time on a worker's clock or since 1970, in milliseconds: the year 2286. A later one would
make all further announcements and listings look older than it."""


class RunnerError(MulberryslipError):
    """The worker did not reply as expected."""


class RunnerUnavailableError(RunnerError):
    """The worker did not reply; a start or stop may still take effect later."""


class RunnerDisconnectedError(RunnerUnavailableError):
    """The worker's process closed the connection before it replied.

    It may have executed the call. No later process gets it, since it was sent on that connection.
    """


class RunnerFencedError(RunnerError):
    """The worker has seen a higher fencing token and ignored the call."""


class RunnerReplacedError(RunnerError):
    """Another worker than the one called has replied, and has done nothing."""


class RunnerNotConnectedError(RunnerUnavailableError):
    """No connection to the worker was made, so the call was not sent."""


class RunnerExitedError(RunnerNotConnectedError):
    """The worker refuses connections, so its process has ended and runs nothing."""


class EndKind(enum.Enum):
    """How a run ended.

    `LAPSED`: the worker's lease expired. `BROKEN`: another member of the gang ended. `ALONE`: the
    other members of the gang did not start.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartRefusal(enum.Enum):
    """Why a worker refuses to start a run; every refusal is final for that run."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@attrs.frozen
class StartCommand:
    """Command to start a run.

    :param task: name of the task.
    :param run: number of the run; a worker refuses a number that is not higher than those of the
        task's runs that it stopped or that ended on it.
    :param payload: input for the task, as submitted by the caller.
    :param checkpoint: checkpoint to resume from; empty to start from the beginning.
    :param start_by_ms: latest start on the worker's clock, in milliseconds; a later one is refused.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    start_by_ms: int


@attrs.frozen
class RunProfile:
    """Resource needs and objectives of a run.

    :param task: name of the task.
    :param image: image of the run; runs of one image are expected to behave alike.
    :param fills: whether the run is best-effort: it uses only processors that others leave unused.
    :param cpu_millis: processors that the run can use, in thousandths of a core.
    :param target_ms: latency objective for the tail latency, in milliseconds; 0 when the run is
        not latency-critical.
    :param due_ms: when its workflow is due to be done, in milliseconds since 1970.
    """

    task: str
    image: str
    fills: bool
    cpu_millis: int
    target_ms: int
    due_ms: int = 0


@attrs.frozen
class RunningRun:
    """A run that has not ended.

    :param checkpoint: latest checkpoint; empty when there is none.
    :param progress_percent: share of the work that is done; 100 when a long-running task is ready
        to serve.
    :param gauge: measurement over the last half second: tail latency in milliseconds for a
        latency-critical run, otherwise processor use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    gauge: int = 0


@attrs.frozen
class EndedRun:
    """A run that has ended; the worker lists it until the end is acknowledged.

    :param number: sequence number of the end, counted from 1 in each incarnation of the worker.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class RunListing:
    """Runs of a worker at one point in time.

    :param clock_ms: the worker's monotonic clock at that time, in milliseconds.
    :param incarnation: incarnation of the worker.
    :param running: runs that have not ended.
    :param ended: runs whose end is not acknowledged yet, those that ended first if there are too
        many for one listing.
    :param is_complete: whether each run of the worker is in one of the two lists. Only then has a
        run that is in neither of them not been started.
    """

    clock_ms: int
    incarnation: str
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    is_complete: bool = True


@attrs.frozen
class WorkerAnnouncement:
    """Description of a worker, sent by the worker itself.

    :param worker_id: id of the worker; a later incarnation may use it again.
    :param incarnation: changes with each restart; on one VM, a later incarnation sorts after an
        earlier one as text, unless the VM's clock was set back (`incarnations`).
    :param service: name of the worker's service.
    :param data_centre: data centre of the worker.
    :param machine: id of the VM, which stays the same over all incarnations.
    :param labels: type of the VM and its rack.
    :param capacity: total capacity for tasks; the number of slots is not limited.
    :param leaving: whether the worker is about to shut down.
    :param remaining: minimum time until a leaving worker shuts down.
    :param sequence: increases with each announcement of one incarnation.
    :param clock_ms: the worker's monotonic clock at that time, in milliseconds; 0 if unknown.
    """

    worker_id: str
    incarnation: str
    service: str
    data_centre: str
    machine: str
    labels: tuple[str, ...]
    capacity: Resources
    leaving: bool
    remaining: timedelta
    sequence: int
    clock_ms: int = 0


class Runner(Protocol):
    """The worker that an agent controls on the same VM.

    Every method raises `RunnerUnavailableError` when the worker does not reply, and `RunnerError`
    for a reply that the protocol does not allow. `extend_lease` raises `RunnerReplacedError` when
    a worker with another id replies, and `RunnerFencedError` when the token is outdated.
    """

    def start(self, worker_id: str, command: StartCommand, fence: int) -> StartRefusal | None:
        """Start a run.

        :returns: None when the run was started, else why it was refused.
        """

    def stop(self, worker_id: str, task: str, run: int, fence: int) -> None:
        """Stop a run; its end is listed once its capacity is free."""

    def set_duty_cycle(self, worker_id: str, task: str, run: int, percent: int, fence: int) -> None:
        """Set the duty cycle of a run.

        :param percent: share of the time during which the run may work.
        """

    def extend_lease(
        self, worker_id: str, fence: int, lease_until_ms: int, ended_through: int, wait: timedelta
    ) -> RunListing:
        """Extend the lease and list the runs.

        :param lease_until_ms: new end of the lease on the worker's clock, in milliseconds; 0 leaves
            the lease unchanged.
        :param ended_through: acknowledges ended runs up to this number; the worker may drop them.
        :param wait: how long the worker may wait for a run to end before it replies.
        """

"""Interface of a worker that runs tasks under one lease and one fencing token."""

import enum
from datetime import timedelta
from typing import Protocol

import attrs

from .exceptions import MulberryslipError
from .models import Resources


class RunnerError(MulberryslipError):
    """The worker did not answer as expected."""


class RunnerUnavailableError(RunnerError):
    """No answer came; a start or stop may still take effect later."""


class RunnerFencedError(RunnerError):
    """The worker has seen a higher fencing token and did nothing."""


class RunnerAbsentError(RunnerUnavailableError):
    """The worker refuses connections, so its process has ended and runs nothing."""


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartRefusal(enum.Enum):
    """Why a worker refuses a start; every refusal is final for that run."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@attrs.frozen
class RunOrder:
    """A run to start.

    :param task: text form of the task's name.
    :param run: number of the run; a worker refuses numbers that are not above those that it
        stopped or that ended there.
    :param payload: the caller's description of the work.
    :param checkpoint: where to resume; empty for the beginning.
    :param start_by_ms: on the worker's clock; a later start is refused.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    start_by_ms: int


@attrs.frozen
class RunProfile:
    """What kind of run it is.

    :param image: runs of the same image behave alike.
    :param fills: whether it uses only what others leave of the processors.
    :param cpu_millis: processors that it can use, in thousandths of a core.
    :param target_ms: tail latency that it must stay below; 0 when it serves nobody.
    :param due_ms: when its workflow is to be done, in milliseconds since 1970.
    """

    task: str
    image: str
    fills: bool
    cpu_millis: int
    target_ms: int
    due_ms: int = 0


@attrs.frozen
class RunningRun:
    """A run at work.

    :param checkpoint: newest checkpoint; empty when there is none.
    :param progress_percent: share of the work that is done; 100 when a lasting task serves.
    :param gauge: tail latency in milliseconds of a serving task, else thousandths of a core in
        use, over the last half second.
    """

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    gauge: int = 0


@attrs.frozen
class EndedRun:
    """A run that has ended and that the worker lists until it is acknowledged.

    :param number: counts up from 1 in each life of the worker.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class RunListing:
    """All runs of a worker at one moment.

    :param clock_ms: the worker's steady clock at that moment.
    :param incarnation: life of the worker.
    """

    clock_ms: int
    incarnation: str
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@attrs.frozen
class WorkerAnnouncement:
    """What a worker says about itself.

    :param worker_id: its id; it may be used again in a later life.
    :param incarnation: changes with each life; the text of a later life on the same VM sorts after
        that of an earlier one.
    :param service: name of its service.
    :param data_centre: where it runs.
    :param machine: the VM, which keeps its identity over the lives.
    :param labels: kind of the VM and its rack.
    :param capacity: room for tasks; slots are not limited.
    :param leaving: whether it is about to end.
    :param remaining: shortest time until a leaving worker ends.
    :param sequence: rises with each announcement in one life.
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


class Runner(Protocol):
    """The worker beside an agent.

    Every method raises `RunnerUnavailableError` when no answer came and `RunnerError` for an
    answer that the protocol does not allow.
    """

    def start(self, worker_id: str, order: RunOrder, fence: int) -> StartRefusal | None:
        """Start a run.

        :returns: None when it runs, else why it does not.
        """

    def stop(self, worker_id: str, task: str, run: int, fence: int) -> None:
        """Stop a run; its end is listed when its room is free."""

    def pace(self, worker_id: str, task: str, run: int, percent: int, fence: int) -> None:
        """Let a run work only for a share of the time."""

    def hold(
        self, worker_id: str, fence: int, lease_until_ms: int, ended_through: int, wait: timedelta
    ) -> RunListing:
        """Extend the lease and list the runs.

        :param lease_until_ms: on the worker's clock; 0 leaves the lease as it is.
        :param ended_through: ends up to this number may be forgotten.
        :param wait: how long the worker may wait for an end before it answers.
        """

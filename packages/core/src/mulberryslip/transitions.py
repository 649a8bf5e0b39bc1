"""Journal events of a shard: state transitions of its jobs, attempts and request claims.

Times are milliseconds since the epoch on the owner's clock. Events carry them so that replaying
the journal later gives the same state.
"""

from types import MappingProxyType
from typing import Any

import attrs

from . import records
from .exceptions import InvalidMessageError
from .models import Priority, TaskClass

MAX_ID_CHARS = 256
MAX_CHECKPOINT_CHARS = 256
MAX_REASON_CHARS = 512
MAX_INPUT_CHARS = 64 * 1024
MAX_RESULT_CHARS = 16 * 1024
"""Results are kept for 7 days in a snapshot limited to 900 KB, so a result must be a summary rather
than bulk data."""

_CLASSES = tuple(member.value for member in TaskClass)
_PRIORITIES = tuple(member.value for member in Priority)


def _job_id() -> Any:
    return records.text("j", MAX_ID_CHARS)


def _reason() -> Any:
    return records.text("r", MAX_REASON_CHARS)


def _checkpoint() -> Any:
    return records.text("c", MAX_CHECKPOINT_CHARS)


@attrs.frozen
class JobSubmitted:
    """A job was accepted.

    :param digest: digest of the body, which tells a resubmission from a different job.
    :param inputs: JSON text of each task's input.
    """

    job_id: str = _job_id()
    digest: str = records.text("d", 64)
    template: str = records.text("t", MAX_ID_CHARS)
    account: str = records.text("ac", MAX_ID_CHARS)
    task_class: str = records.choice("k", _CLASSES)
    priority: str = records.choice("p", _PRIORITIES)
    cpu_millis: int = records.number("cpu")
    memory_mb: int = records.number("mem")
    accelerators: int = records.number("acc")
    max_attempts: int = records.number("m")
    inputs: tuple[str, ...] = records.texts("in", MAX_INPUT_CHARS)
    at_ms: int = records.number("at")


@attrs.frozen
class AttemptAssigned:
    """The attempt was assigned to a worker with a reservation, and consumes the checkpoint."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    worker_id: str = records.text("w", MAX_ID_CHARS)
    checkpoint: str = _checkpoint()


@attrs.frozen
class AttemptUnstarted:
    """The worker is known not to have started the attempt and will never start it."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    reason: str = _reason()


@attrs.frozen
class AttemptStarted:
    """The worker reported that the attempt is running."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    at_ms: int = records.number("at")


@attrs.frozen
class AttemptCheckpointed:
    """The attempt wrote a checkpoint and continues to run."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    checkpoint: str = _checkpoint()


@attrs.frozen
class AttemptEvicted:
    """The attempt was stopped at the owner's request and can be resumed."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    checkpoint: str = _checkpoint()
    reason: str = _reason()


@attrs.frozen
class AttemptSuspended:
    """The attempt was stopped without the owner's request, for example by an expired lease."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    checkpoint: str = _checkpoint()
    reason: str = _reason()


@attrs.frozen
class AttemptLost:
    """The worker was lost, or was unreachable until all its leases expired."""

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    reason: str = _reason()
    at_ms: int = records.number("at")


@attrs.frozen
class AttemptFinished:
    """The attempt ended with a result, which becomes the task's result.

    :param result: JSON text of the result.
    """

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    result: str = records.text("o", MAX_RESULT_CHARS)
    at_ms: int = records.number("at")


@attrs.frozen
class AttemptFailed:
    """The attempt ended without a result.

    :param counted: whether it counts towards the task's `max_attempts`.
    """

    job_id: str = _job_id()
    index: int = records.number("i")
    attempt: int = records.number("a")
    reason: str = _reason()
    counted: bool = records.flag("n")
    at_ms: int = records.number("at")


@attrs.frozen
class JobFailed:
    """The job's queued tasks can never run."""

    job_id: str = _job_id()
    reason: str = _reason()
    at_ms: int = records.number("at")


@attrs.frozen
class JobCancelled:
    """The job's unfinished tasks were cancelled."""

    job_id: str = _job_id()
    reason: str = _reason()
    at_ms: int = records.number("at")


@attrs.frozen
class JobsExpired:
    """Ended jobs were dropped after their retention, or earlier to limit the snapshot size."""

    job_ids: tuple[str, ...] = records.texts("js", MAX_ID_CHARS)


@attrs.frozen
class RequestClaimed:
    """A request that must run at most once is about to be sent to a worker."""

    claim_id: str = records.text("q", MAX_ID_CHARS)
    worker_id: str = records.text("w", MAX_ID_CHARS)
    at_ms: int = records.number("at")


@attrs.frozen
class ClaimReleased:
    """A claimed request is known not to have run and may be claimed again."""

    claim_id: str = records.text("q", MAX_ID_CHARS)


EVENT_TYPE_BY_CODE = MappingProxyType(
    {
        "submitted": JobSubmitted,
        "assigned": AttemptAssigned,
        "unstarted": AttemptUnstarted,
        "started": AttemptStarted,
        "checkpointed": AttemptCheckpointed,
        "evicted": AttemptEvicted,
        "suspended": AttemptSuspended,
        "lost": AttemptLost,
        "finished": AttemptFinished,
        "failed": AttemptFailed,
        "job_failed": JobFailed,
        "cancelled": JobCancelled,
        "expired": JobsExpired,
        "claimed": RequestClaimed,
        "claim_released": ClaimReleased,
    }
)
_CODE_BY_TYPE = {event_type: code for code, event_type in EVENT_TYPE_BY_CODE.items()}


def encode_event(event: Any) -> dict[str, object]:
    """Return the JSON-serialisable form of an event."""
    return {"e": _CODE_BY_TYPE[type(event)], **records.encode(event)}


def decode_event(raw: object) -> Any:
    """Decode an event from its JSON form.

    :raises InvalidMessageError: when it is damaged or from a newer version.
    """
    if not isinstance(raw, dict):
        raise InvalidMessageError("a journal event must be an object")
    code = raw.get("e")
    event_type = EVENT_TYPE_BY_CODE.get(code) if isinstance(code, str) else None
    if event_type is None:
        raise InvalidMessageError(f"unknown journal event {str(code)[:60]!r}")
    return records.decode(event_type, {key: value for key, value in raw.items() if key != "e"})

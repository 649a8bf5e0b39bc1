"""Outcomes of store writes and requests, one class per case that a caller must handle."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Committed:
    """A store write took effect.

    :param version: version of the key after the write.
    """

    version: int


@dataclass(frozen=True)
class Conflict:
    """A store write did not take effect because the key has another version than expected.

    :param version: current version of the key; 0 when the key is absent.
    """

    version: int


@dataclass(frozen=True)
class Unknown:
    """The response to a store write was lost; the write may have taken effect.

    :param reason: why no valid response arrived.
    """

    reason: str


WriteOutcome = Committed | Conflict | Unknown


@dataclass(frozen=True)
class Answered:
    """The target responded.

    :param status: HTTP status of the response.
    :param headers: HTTP headers of the response.
    :param body: whole body of the response.
    :param worker_id: worker whose target responded.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    worker_id: str = ""


@dataclass(frozen=True)
class NotRun:
    """No target received the request; it is safe to send it again.

    :param reason: why it was not sent.
    """

    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """A target may have processed the request, but its response was lost.

    :param reason: what went wrong after the request may have reached the target.
    """

    reason: str


@dataclass(frozen=True)
class NotClaimed:
    """The send reached no target, but an earlier send with the same request id may have.

    It is safe to send the request again with the same id.

    :param reason: why the claim on the request id could not be made or checked.
    """

    reason: str


RequestOutcome = Answered | NotRun | NotClaimed | OutcomeUnknown

"""Tagged outcomes: results that a caller must tell apart to decide what to do next."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Committed:
    """A store write took effect.

    :param version: version of the key after the write.
    """

    version: int


@dataclass(frozen=True)
class Conflict:
    """A store write did not take effect because the key's version differs.

    :param version: version found; 0 when the key is absent.
    """

    version: int


@dataclass(frozen=True)
class Unknown:
    """The answer to a store write was lost; it may have taken effect.

    :param reason: what happened to the call.
    """

    reason: str


WriteOutcome = Committed | Conflict | Unknown


@dataclass(frozen=True)
class Answered:
    """The target answered.

    :param status: HTTP status of the target.
    :param headers: HTTP headers of the target.
    :param body: whole body.
    :param worker_id: worker whose target answered.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    worker_id: str = ""


@dataclass(frozen=True)
class NotRun:
    """No target received the request; it is safe to send it again.

    :param reason: why it was refused.
    """

    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run.

    :param reason: what happened after the target may have received it.
    """

    reason: str


@dataclass(frozen=True)
class NotClaimed:
    """The send reached no target, but an earlier send under the same request id may have.

    Sending the request again under the same id is safe.

    :param reason: why the claim of the request id could not be made or checked.
    """

    reason: str


RequestOutcome = Answered | NotRun | NotClaimed | OutcomeUnknown

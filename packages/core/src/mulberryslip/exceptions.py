"""Exception hierarchy. Each layer raises its own subclasses and translates lower-level errors."""

from datetime import timedelta


class MulberryslipError(Exception):
    """Base class of all exceptions that mulberryslip raises."""


class SettingsError(MulberryslipError):
    """The settings file is invalid.

    :param faults: one line per error, with the key, its value and what is allowed.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class StoreError(MulberryslipError):
    """The platform's store failed or violated its protocol."""


class StoreUnavailableError(StoreError):
    """The store was unreachable, timed out, was out of service or rate-limited the call."""


class LeaseExpiredError(StoreError):
    """A write named a store lease that has expired; nothing was written."""


class ValueTooLargeError(StoreError):
    """A value exceeds the store's limit; nothing was written."""


class RuntimeAdapterError(MulberryslipError):
    """The platform's worker runtime failed or violated its protocol."""


class RuntimeRefusedError(RuntimeAdapterError):
    """The runtime responded that it did not perform the call.

    :param code: the runtime's error code, such as `session_expired` or `checkpoint_consumed`.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class WireError(MulberryslipError):
    """A call between two mulberryslip processes failed."""


class NotSentError(WireError):
    """The call was not sent; the peer cannot have received it."""


class ReplyLostError(WireError):
    """The peer may have received the call, but no complete, valid reply arrived."""


class ConfigError(MulberryslipError):
    """A configuration document, or a change to it, is invalid.

    :param message: place, value and what is allowed.
    :param place: entry or field of the document that is invalid; the message begins with it. Empty
        when there is no single place.
    """

    def __init__(self, message: str, place: str = ""):
        super().__init__(message)
        self.place = place

    @property
    def reason(self) -> str:
        """Return the message without the place."""
        return str(self).removeprefix(self.place).lstrip(": ")


class JournalError(MulberryslipError):
    """A shard's journal cannot be read or written.

    :param message: what failed.
    :param unresolved: whether the batch may have been committed; False means that it was not.
    """

    def __init__(self, message: str, unresolved: bool = False):
        super().__init__(message)
        self.unresolved = unresolved


class FencedError(JournalError):
    """Another process owns the shard; this process must release it."""


class SnapshotTooLargeError(JournalError):
    """A snapshot exceeds what the store holds or a new owner reads; nothing was written."""


class PoolFullError(MulberryslipError):
    """The pool accepts no more workflows until others have ended."""


class PoolOverloadedError(MulberryslipError):
    """The workflow certainly ends too late to have any value.

    :param retry_after: delay after which the caller should retry.
    """

    def __init__(self, message: str, retry_after: timedelta):
        super().__init__(message)
        self.retry_after = retry_after


class JobError(MulberryslipError):
    """A job submission is invalid or violates a constraint of the job."""


class InventoryError(MulberryslipError):
    """The platform's list of VMs could not be read."""


class AdmissionError(MulberryslipError):
    """A worker rejected a reservation or a start."""


class InvalidMessageError(MulberryslipError):
    """A message or a stored value is malformed, incomplete or from a newer version."""


class JobConflictError(JobError):
    """The job id is in use for a job with another body."""


class ShardFullError(JobError):
    """The shard accepts no more jobs or claims until older ones are removed."""

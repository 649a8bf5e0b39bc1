"""The exception tree. Each layer raises its own branch and translates errors from below."""


class MulberryslipError(Exception):
    """Base of all errors that this project raises."""


class SettingsError(MulberryslipError):
    """The settings file is invalid.

    :param faults: one line for each fault: key, value, what is allowed.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class StoreError(MulberryslipError):
    """The platform's store did not answer as expected."""


class StoreUnavailableError(StoreError):
    """The store could not be reached, timed out, or refused a call for its rate."""


class LeaseExpiredError(StoreError):
    """A write named a store lease that has expired; nothing was written."""


class ValueTooLargeError(StoreError):
    """A value exceeds the store's limit; nothing was written."""


class RuntimeAdapterError(MulberryslipError):
    """The platform's worker runtime did not answer as expected."""


class RuntimeRefusedError(RuntimeAdapterError):
    """The runtime answered that it did not carry out the call.

    :param code: the runtime's error code, such as `session_expired` or `checkpoint_consumed`.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class WireError(MulberryslipError):
    """A connection between two of our processes failed."""


class NotSentError(WireError):
    """The call was not sent; the peer cannot have received it."""


class ReplyLostError(WireError):
    """The call may have been received, but no whole reply came back."""


class ConfigError(MulberryslipError):
    """A configuration document or a change to it is invalid."""


class JournalError(MulberryslipError):
    """A shard's journal cannot be read or written.

    :param message: what failed.
    :param unresolved: whether the batch may have been committed; False means that it was not.
    """

    def __init__(self, message: str, unresolved: bool = False):
        super().__init__(message)
        self.unresolved = unresolved


class FencedError(JournalError):
    """Another process owns the shard; this one must give it up."""


class JobError(MulberryslipError):
    """A job submission is invalid or breaks a rule of the job."""


class AdmissionError(MulberryslipError):
    """A worker refuses a reservation or a start."""


class InvalidMessageError(MulberryslipError):
    """A message or a stored value is damaged, incomplete, or from a newer version."""


class JobConflictError(JobError):
    """The job id is in use for a job with another body."""


class ShardFullError(JobError):
    """The shard takes no more jobs or claims until older ones are dropped."""

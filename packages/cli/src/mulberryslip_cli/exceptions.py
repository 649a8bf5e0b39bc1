"""Errors of the command-line client, each with its exit code."""

from mulberryslip import MulberryslipError


class CommandError(MulberryslipError):
    """A command failed.

    :cvar exit_code: exit code of the process.
    """

    exit_code = 1


class UsageError(CommandError):
    """The command line is invalid."""

    exit_code = 2


class ConflictError(CommandError):
    """The configuration has changed since the revision that the change is based on."""

    exit_code = 3


class UnavailableError(CommandError):
    """No entry could serve the command; nothing was changed."""

    exit_code = 4


class UnknownOutcomeError(CommandError):
    """A change may or may not have been accepted."""

    exit_code = 5

"""Core of mulberryslip: the scheduling logic and the clients of the platform's services."""

from .clocks import Clock, ManualClock, SystemClock
from .exceptions import MulberryslipError
from .models import Attempt, Priority, Resources, TaskClass, TaskKey, WorkerDescription, WorkerLoad
from .outcomes import (
    Answered,
    Committed,
    Conflict,
    NotClaimed,
    NotRun,
    OutcomeUnknown,
    Unknown,
)

__all__ = [
    "Answered",
    "Attempt",
    "Clock",
    "Committed",
    "Conflict",
    "ManualClock",
    "MulberryslipError",
    "NotClaimed",
    "NotRun",
    "OutcomeUnknown",
    "Priority",
    "Resources",
    "SystemClock",
    "TaskClass",
    "TaskKey",
    "Unknown",
    "WorkerDescription",
    "WorkerLoad",
]

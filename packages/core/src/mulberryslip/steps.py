"""Specification of a workflow that a caller submits: steps of tasks and their order."""

import functools
import json
from typing import Any

import attrs

from . import records
from .exceptions import InvalidMessageError, JobError
from .models import Resources

MAX_PAYLOAD_CHARS = 64 * 1024
MAX_STEPS = 64
MAX_STEP_TASKS = 4096
MAX_NAME_CHARS = 256

MAX_CHECKPOINT_CHARS = 4096
"""Longest checkpoint of a task that the journal holds."""

MAX_AMOUNT = 2**31 - 1
"""Largest amount of a resource, and largest latency objective in milliseconds, that messages to
agents can hold."""


@attrs.frozen
class StepSpec:
    """A step: a number of identical tasks.

    :param count: number of tasks.
    :param cpu_millis: processors that one task needs, in thousandths of a core.
    :param memory_mb: memory that one task needs, in megabytes.
    :param accelerators: number of accelerators that one task needs.
    :param estimate_ms: the caller's rough estimate of the run time of one task, in milliseconds;
        0 when there is none.
    :param after: earlier steps whose tasks must all be done first, counted from 0.
    :param checkpoints: whether tasks write checkpoints.
    :param gang: whether the tasks only make progress when all of them run.
    :param same_rack: whether a gang runs slower when it is spread over several racks.
    :param required_label: label that a worker must have; empty for none.
    :param rack: rack that holds the input data, where tasks run faster; empty for none.
    :param max_per_worker: maximum number of the step's tasks on one worker; 0 for no limit.
    :param speculative: whether several copies of a task may run at the same time.
    :param lasting: whether the tasks are long-running: they run until the workflow is cancelled.
    :param image: image of the tasks; tasks of one image are expected to behave alike.
    :param target_ms: latency objective of a long-running task: its tail latency must stay below
        this many milliseconds; 0 for none.
    :param fills: whether the tasks are best-effort: they use only processors that others leave
        unused.
    :param may_miss: maximum number of long-running tasks that the system may stop at the same time;
        never negative.
    """

    count: int = records.number("count", 1)
    cpu_millis: int = records.number("cpu_millis", 0)
    memory_mb: int = records.number("memory_mb", 0)
    accelerators: int = records.number("accelerators", 0)
    estimate_ms: int = records.number("estimate_ms", 0)
    after: tuple[int, ...] = records.numbers("after", ())
    checkpoints: bool = records.flag("checkpoints", False)
    gang: bool = records.flag("gang", False)
    same_rack: bool = records.flag("same_rack", False)
    required_label: str = records.text("required_label", MAX_NAME_CHARS, "")
    rack: str = records.text("rack", MAX_NAME_CHARS, "")
    max_per_worker: int = records.number("max_per_worker", 0)
    speculative: bool = records.flag("speculative", False)
    lasting: bool = records.flag("lasting", False)
    image: str = records.text("image", MAX_NAME_CHARS, "")
    target_ms: int = records.number("target_ms", 0)
    fills: bool = records.flag("fills", False)
    may_miss: int = records.number("may_miss", 0)

    @functools.cached_property
    def demand(self) -> Resources:
        """Return the capacity that one task takes up on a worker."""
        cpu_millis = 0 if self.fills else self.cpu_millis
        return Resources(cpu_millis, self.memory_mb, self.accelerators)


@attrs.frozen
class WorkflowSpec:
    """A submitted workflow.

    :param payload: input for the tasks; the system passes it on without interpreting it.
    :param steps: the steps; `StepSpec.after` refers to them by position.
    :param occurrences: number of scheduled occurrences; 0 runs the steps once, immediately.
    :param first_ms: time of the first occurrence, in milliseconds since 1970.
    :param interval_ms: time between two occurrences, in milliseconds.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_ms: int = 0
    interval_ms: int = 0

    def to_json(self) -> str:
        """Return the JSON text of the submission."""
        raw: dict[str, Any] = {"payload": self.payload}
        raw["steps"] = [records.encode(step) for step in self.steps]
        if self.occurrences:
            raw |= {
                "occurrences": self.occurrences,
                "first_ms": self.first_ms,
                "interval_ms": self.interval_ms,
            }
        return json.dumps(raw, separators=(",", ":"))

    @classmethod
    def from_json(cls, text: str | bytes) -> "WorkflowSpec":
        """Parse and check a submission.

        :raises JobError: when it is invalid; the message says what is wrong and what is allowed.
        """
        try:
            raw = json.loads(text)
            steps = tuple(records.decode(StepSpec, item) for item in raw["steps"])
            spec = cls(
                raw["payload"],
                steps,
                raw.get("occurrences", 0),
                raw.get("first_ms", 0),
                raw.get("interval_ms", 0),
            )
        except (ValueError, KeyError, TypeError, RecursionError, InvalidMessageError) as exc:
            raise JobError(f"the submission is invalid: {exc}") from exc
        spec.check()
        return spec

    def check(self) -> None:
        """Check limits, and constraints that involve several fields.

        :raises JobError: when one is violated; the message says what is wrong and what is allowed.
        """
        is_valid = isinstance(self.payload, str) and records.is_unicode(self.payload)
        if not is_valid or len(self.payload) > MAX_PAYLOAD_CHARS:
            raise JobError(f"payload must be a text of at most {MAX_PAYLOAD_CHARS} characters")
        if not 0 < len(self.steps) <= MAX_STEPS:
            raise JobError(f"a workflow has 1 to {MAX_STEPS} steps, not {len(self.steps)}")
        for number, step in enumerate(self.steps):
            if not 0 < step.count <= MAX_STEP_TASKS:
                raise JobError(f"step {number}: a step has 1 to {MAX_STEP_TASKS} tasks")
            if any(earlier >= number for earlier in step.after):
                raise JobError(f"step {number}: after may only name earlier steps")
        for name in ("occurrences", "first_ms", "interval_ms"):
            value = getattr(self, name)
            if type(value) is not int or value < 0:
                raise JobError(f"{name} must be a whole number that is not negative")

    def unsupported_reason(self) -> str:
        """Return why no pool can run the submission; empty when pools support all of it."""
        if any(step.gang for step in self.steps):
            return "gangs are not supported"
        if self.occurrences:
            return "set times are not supported"
        for number, step in enumerate(self.steps):
            for name in ("cpu_millis", "memory_mb", "accelerators", "target_ms"):
                if getattr(step, name) > MAX_AMOUNT:
                    return f"step {number}: {name} over {MAX_AMOUNT} is not supported"
        return ""

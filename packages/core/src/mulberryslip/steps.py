"""What a caller submits as a workflow: steps of tasks and their order."""

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


@attrs.frozen
class StepSpec:
    """A step: tasks that are alike.

    :param count: number of tasks.
    :param cpu_millis: room of one task in thousandths of a core.
    :param memory_mb: room of one task in megabytes.
    :param accelerators: room of one task in whole accelerators.
    :param estimate_ms: the caller's rough estimate of the run time of one task; 0 when there is
        none.
    :param after: earlier steps whose tasks must all be done first, counted from 0.
    :param checkpoints: whether tasks save their progress.
    :param gang: whether the tasks work only together.
    :param same_rack: whether a gang is slower on more than one rack.
    :param required_label: label that a worker must have; empty for none.
    :param rack: rack of the data, on which tasks are faster; empty for none.
    :param max_per_worker: most tasks of the step on one worker; 0 for no limit.
    :param speculative: whether copies of a task may run at the same time.
    :param lasting: whether tasks run until the workflow is cancelled.
    :param image: tasks of the same image behave alike.
    :param target_ms: tail latency that a lasting task must stay below; 0 for none.
    :param fills: whether the tasks use only what others leave of a worker's processors.
    :param may_miss: lasting tasks that the system may take away at the same time; -1 in no step.
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

    @property
    def room(self) -> Resources:
        """Return what one task takes of a worker's capacity."""
        cpu_millis = 0 if self.fills else self.cpu_millis
        return Resources(cpu_millis, self.memory_mb, self.accelerators)


@attrs.frozen
class WorkflowSpec:
    """A whole submission.

    :param payload: what the tasks get, which the system only passes on.
    :param steps: the steps in the order in which `StepSpec.after` counts them.
    :param occurrences: how often the steps run at set times; 0 runs them once, at once.
    :param first_ms: Unix milliseconds of the first time.
    :param interval_ms: from one time to the next.
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
        """Read a submission.

        :raises JobError: naming what is wrong and what is allowed.
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
        """Check the rules that hold between the fields.

        :raises JobError: naming what is wrong and what is allowed.
        """
        valid = isinstance(self.payload, str) and records.is_unicode(self.payload)
        if not valid or len(self.payload) > MAX_PAYLOAD_CHARS:
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

    def unsupported(self) -> str:
        """Return what the submission asks for that no pool can do, or an empty text."""
        if any(step.gang for step in self.steps):
            return "gangs are not supported"
        if self.occurrences:
            return "set times are not supported"
        return ""

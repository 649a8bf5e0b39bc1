"""Parsing and validation of job submissions, and the form in which callers read task results."""

import hashlib
import json

import attrs

from .exceptions import JobError
from .records import is_unicode
from .transitions import MAX_ID_CHARS, MAX_INPUT_CHARS

MAX_TASKS = 1000
MAX_BODY_BYTES = 512 * 1024
"""A body is committed in a single journal record, which holds less than 900 KB."""


@attrs.frozen
class Submission:
    """A valid submission.

    :param template: name of the template.
    :param inputs: JSON text of each task's input.
    :param digest: digest of the canonical JSON, which ignores white space and key order.
    """

    template: str
    inputs: tuple[str, ...]
    digest: str

    @classmethod
    def from_json(cls, body: bytes) -> "Submission":
        """Parse and validate the body of a submission.

        :raises JobError: naming the error and what is allowed.
        """
        if len(body) > MAX_BODY_BYTES:
            raise JobError(f"the body has {len(body)} bytes; at most {MAX_BODY_BYTES} are allowed")
        raw = _parse_body(body)
        _check_fields("the body", raw, {"template", "tasks"})
        if not isinstance(raw["template"], str) or not 0 < len(raw["template"]) <= MAX_ID_CHARS:
            raise JobError("template must be a non-empty text")
        tasks = raw["tasks"]
        if not isinstance(tasks, list) or not 0 < len(tasks) <= MAX_TASKS:
            raise JobError(f"tasks must be a list of 1 to {MAX_TASKS} objects")
        inputs = tuple(_canonical_input(index, task) for index, task in enumerate(tasks))
        digest = hashlib.sha256(_canonical_json(raw).encode()).hexdigest()[:32]
        return cls(raw["template"], inputs, digest)


def check_job_id(job_id: str) -> None:
    """Check a job id.

    :raises JobError: when it is empty, too long, or not usable as part of a runtime task id.
    """
    is_valid = 0 < len(job_id) <= MAX_ID_CHARS and job_id.isprintable() and is_unicode(job_id)
    if not is_valid or "/" in job_id:
        raise JobError(f"a job id has 1 to {MAX_ID_CHARS} printable characters without '/'")


def parse_result(result: str) -> object:
    """Return a task's result as parsed JSON, or as text when it is not valid JSON."""
    if not result:
        return None
    try:
        return json.loads(result)
    except (ValueError, RecursionError):
        return result


def _parse_body(body: bytes) -> object:
    try:
        raw = json.loads(body, parse_constant=_reject_constant)
        text = json.dumps(raw, ensure_ascii=False)
    except (ValueError, RecursionError) as exc:
        raise JobError(f"the body is not valid JSON: {exc}") from exc
    if not is_unicode(text):
        raise JobError("the body holds half of a surrogate pair")
    return raw


def _canonical_input(index: int, task: object) -> str:
    _check_fields(f"task {index}", task, {"input"})
    text = _canonical_json(task["input"])
    if len(text) > MAX_INPUT_CHARS:
        raise JobError(f"task {index}: the input exceeds {MAX_INPUT_CHARS} characters")
    return text


def _check_fields(where: str, raw: object, fields: set[str]) -> None:
    if not isinstance(raw, dict) or raw.keys() != fields:
        raise JobError(f"{where} must be an object with exactly {', '.join(sorted(fields))}")


def _canonical_json(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not a JSON number")

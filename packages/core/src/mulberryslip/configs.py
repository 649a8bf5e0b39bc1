"""The operators' configuration document: its parts, its validation and its read-only view.

Changes to the document and the handling of revisions are in `changes`.
"""

import enum
import functools
import itertools
import json
import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

import attrs

from .exceptions import ConfigError
from .models import Priority, Resources, TaskClass

CONFIG_KEY = "config/current"
"""Key of the document in the store."""

MAX_DOCUMENT_BYTES = 900_000
"""The store accepts values of up to 1 MB; the difference is left for the store's own framing."""

MAX_CHANGES_KEPT = 64

MAX_NESTING_DEPTH = 64
"""Deepest nesting of objects and lists in JSON text; a document has six levels."""

MAX_FAULTS = 1000
"""Faults of one document that are kept, since a document of 1 MB can hold 90,000 invalid parts."""

_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
# Ends before the quote of a string without an end. Searched for strings, the text after it would
# take quadratic time, since each quote in it would be tried as the beginning of a string.
_CLOSED_TEXT = re.compile(rb'(?:[^"]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
_DEPTH_CHANGES = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
_NOT_BRACKETS = bytes(byte for byte in range(256) if byte not in _DEPTH_CHANGES)

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
"""Names appear in URL paths and log lines. They are lower case, so that two names never differ only
in case."""

_MAX_DURATION_MS = 600_000
_MAX_RUN_S = 31_536_000

_T = TypeVar("_T")


class DataCentreState(enum.Enum):
    """Whether work may run in a data centre."""

    IN = "in"
    OUT = "out"


@attrs.frozen
class _Integer:
    """Rule of an integer field with inclusive bounds."""

    minimum: int
    maximum: int

    def parse(self, where: str, raw: object) -> int:
        is_integer = isinstance(raw, int) and not isinstance(raw, bool)
        if is_integer and self.minimum <= raw <= self.maximum:
            return raw
        raise _not_allowed(where, raw, f"a whole number from {self.minimum} to {self.maximum}")


@attrs.frozen
class _Flag:
    """Rule of a boolean field."""

    def parse(self, where: str, raw: object) -> bool:
        if isinstance(raw, bool):
            return raw
        raise _not_allowed(where, raw, "true or false")


@attrs.frozen
class _Choice:
    """Rule of a field whose value is one of an enumeration."""

    enumeration: type[enum.Enum]

    def parse(self, where: str, raw: object) -> enum.Enum:
        for member in self.enumeration:
            if raw == member.value:
                return member
        raise _not_allowed(
            where, raw, "one of " + ", ".join(str(member.value) for member in self.enumeration)
        )


@attrs.frozen
class _Text:
    """Rule of a free-text field with a maximum length in characters."""

    maximum: int

    def parse(self, where: str, raw: object) -> str:
        if isinstance(raw, str) and len(raw) <= self.maximum:
            return raw
        raise _not_allowed(where, raw, f"text of at most {self.maximum} characters")


def _field(rule: object, default: object = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={"rule": rule})


def _integer(minimum: int, maximum: int, default: object = attrs.NOTHING) -> Any:
    return _field(_Integer(minimum, maximum), default)


@attrs.frozen
class DataCentre:
    """State of one data centre."""

    state: DataCentreState = _field(_Choice(DataCentreState))


@attrs.frozen
class ClientAccount:
    """Quota of one client account.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    :param weight: share of idle capacity relative to other accounts.
    """

    cpu_millis: int = _integer(0, 1_000_000_000)
    memory_mb: int = _integer(0, 1_000_000_000)
    accelerators: int = _integer(0, 1_000_000, 0)
    weight: int = _integer(1, 1000, 1)


@attrs.frozen
class ServiceParameters:
    """Parameters of a template of class `service`.

    :param deadline_ms: default deadline of a request in milliseconds, if the caller sets none.
    :param objective_ms: latency objective for the 99th percentile in milliseconds.
    :param idempotent: whether a request that one worker may have received can be sent to another.
    :param max_in_flight: maximum number of concurrent requests at one worker's target.
    :param hedge_after_ms: minimum delay in milliseconds before an idempotent request is hedged to a
        second worker; 0 disables hedging.
    """

    deadline_ms: int = _integer(1, _MAX_DURATION_MS, 500)
    objective_ms: int = _integer(1, _MAX_DURATION_MS, 50)
    idempotent: bool = _field(_Flag(), False)
    max_in_flight: int = _integer(1, 10_000, 32)
    hedge_after_ms: int = _integer(0, _MAX_DURATION_MS, 50)

    def check(self, where: str) -> None:
        """Check rules between fields.

        :raises ConfigError: naming the field, its value and what is allowed.
        """
        if self.objective_ms > self.deadline_ms:
            allowed = f"at most deadline_ms, which is {self.deadline_ms}"
            raise _not_allowed(f"{where}.objective_ms", self.objective_ms, allowed)


@attrs.frozen
class TaskParameters:
    """Parameters of a template of class `batch` or `watch`.

    :param cpu_millis: declared processor share in thousandths of a core.
    :param memory_mb: declared memory in megabytes.
    :param accelerators: declared whole accelerators.
    :param priority: urgent tasks are placed first.
    :param max_attempts: number of failed attempts after which the task fails.
    :param max_run_s: maximum duration of one attempt in seconds.
    :param checkpoint_s: time between checkpoints in seconds.
    """

    cpu_millis: int = _integer(1, 1_000_000, 1000)
    memory_mb: int = _integer(1, 16_000_000, 512)
    accelerators: int = _integer(0, 1000, 0)
    priority: Priority = _field(_Choice(Priority), Priority.NORMAL)
    max_attempts: int = _integer(1, 100, 4)
    max_run_s: int = _integer(1, _MAX_RUN_S, 3600)
    checkpoint_s: int = _integer(1, 86_400, 60)

    def check(self, where: str) -> None:
        """Check rules between fields; there are none."""

    def resources(self) -> Resources:
        """Return the declared size of one task; each task takes one slot."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators, 1)


_PARAMETERS: Mapping[TaskClass, type] = MappingProxyType(
    {
        TaskClass.SERVICE: ServiceParameters,
        TaskClass.BATCH: TaskParameters,
        TaskClass.WATCH: TaskParameters,
    }
)


@attrs.frozen
class Template:
    """Definition that many requests or tasks share, set by operators.

    :param name: name of the template.
    :param task_class: class of its work.
    :param account: client account whose quota its work counts against.
    :param parameters: `ServiceParameters` for a service, otherwise `TaskParameters`.
    """

    name: str
    task_class: TaskClass
    account: str
    parameters: ServiceParameters | TaskParameters


@attrs.frozen
class ChangeRecord:
    """Record of one accepted change, kept in the document.

    :param id: the operator's `Change-Id`, or an empty string.
    :param revision: revision that the change produced.
    :param operator: who made the change.
    :param what: text that describes the difference.
    :param digest: digest of the change, which tells a resend from a reused id.
    """

    id: str = _field(_Text(128))
    revision: int = _integer(1, 2**62)
    operator: str = _field(_Text(128))
    what: str = _field(_Text(4096))
    digest: str = _field(_Text(64), "")


@attrs.frozen
class InspectedDocument:
    """Result of the validation of a whole document.

    :param view: the valid parts of the document.
    :param faults: why parts were left out, one for each of them; empty for a valid document.
    """

    view: "ConfigView"
    faults: tuple[ConfigError, ...] = ()


@attrs.frozen
class ConfigView:
    """Immutable view of one revision of the document.

    :param revision: 0 before the first accepted change; it increases by one per change.
    :param changes: the most recent changes, oldest first.
    """

    revision: int = 0
    changes: tuple[ChangeRecord, ...] = ()
    data_centres: Mapping[str, DataCentre] = MappingProxyType({})
    accounts: Mapping[str, ClientAccount] = MappingProxyType({})
    templates: Mapping[str, Template] = MappingProxyType({})

    def data_centre_in(self, name: str) -> bool:
        """Return whether work may run in a data centre.

        A data centre that is not listed is out, so a worker whose settings misspell its data centre
        receives no work.
        """
        data_centre = self.data_centres.get(name)
        return data_centre is not None and data_centre.state is DataCentreState.IN

    def template(self, name: str) -> Template | None:
        """Return a template, or None when it is unknown."""
        return self.templates.get(name)

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account, or None when it is unknown."""
        return self.accounts.get(name)

    def to_json(self) -> bytes:
        """Return the document in the form in which it is stored and sent.

        :raises ConfigError: when it exceeds the size limit of the store.
        """
        body = self._encoded
        if len(body) > MAX_DOCUMENT_BYTES:
            raise _not_allowed(
                "document", f"{len(body)} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes"
            )
        return body

    @functools.cached_property
    def _encoded(self) -> bytes:
        # Cached, because a change is sent to every worker and encoding 160 KB takes 10 ms.
        return json.dumps(to_document(self), separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, body: bytes) -> "ConfigView":
        """Parse and validate a stored or received document.

        :raises ConfigError: when it is damaged or breaks a rule.
        """
        return parse_document(parse_json("document", body))


def parse_json(where: str, body: bytes) -> object:
    """Parse JSON text.

    :param where: name of the text for error messages.
    :raises ConfigError: when it is not JSON, repeats a name in an object, or nests too deeply.
    """
    if _nesting_depth(body) > MAX_NESTING_DEPTH:
        message = f"{where} is not valid JSON: nested deeper than {MAX_NESTING_DEPTH}"
        raise ConfigError(message, where)
    try:
        return json.loads(
            body, object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as exc:
        raise ConfigError(f"{where} is not valid JSON: {exc}", where) from exc


def _nesting_depth(body: bytes) -> int:
    """Return how deeply objects and lists are nested in JSON text, without parsing it."""
    end = _CLOSED_TEXT.match(body).end()
    unquoted = _STRING.sub(b"", body[:end]) + body[end:]
    brackets = unquoted.translate(None, delete=_NOT_BRACKETS)
    return max(itertools.accumulate(_DEPTH_CHANGES[bracket] for bracket in brackets), default=0)


def parse_document(raw: object) -> ConfigView:
    """Validate a whole document.

    :raises ConfigError: naming the field, its value and what is allowed.
    """
    inspected = inspect_document(raw, max_faults=1)
    if inspected.faults:
        raise inspected.faults[0]
    return inspected.view


def inspect_document(raw: object, max_faults: int = MAX_FAULTS) -> InspectedDocument:
    """Validate a whole document and collect the faults of its parts.

    :param max_faults: number of faults after which the other parts are not validated.
    """
    try:
        fields = _check_fields(
            "document", raw, ("revision", "changes", "data_centres", "accounts", "templates")
        )
    except ConfigError as exc:
        return InspectedDocument(ConfigView(), (exc,))
    faults = _Faults(max_faults)
    raw_accounts = fields.get("accounts", {})
    view = ConfigView(
        revision=_collect(
            faults, 0, lambda: _Integer(0, 2**62).parse("revision", fields.get("revision", 0))
        ),
        changes=_collect(faults, (), lambda: _parse_changes(fields.get("changes", []))),
        data_centres=_parse_named(
            "data_centres", fields.get("data_centres", {}), parse_data_centre, faults
        ),
        accounts=_parse_named("accounts", raw_accounts, parse_account, faults),
        templates=_parse_named("templates", fields.get("templates", {}), parse_template, faults),
    )
    for template in view.templates.values():
        # A template of an invalid account is not reported a second time.
        if faults.is_full:
            break
        if not isinstance(raw_accounts, dict) or template.account in raw_accounts:
            continue
        _collect(faults, None, lambda template=template: check_account(template, view))
    return InspectedDocument(view, tuple(faults.kept))


def parse_data_centre(name: str, raw: object) -> DataCentre:
    """Validate the body of a data centre; raises `ConfigError`."""
    return _parse(DataCentre, f"data centre {check_name('data centre', name)}", raw)


def parse_account(name: str, raw: object) -> ClientAccount:
    """Validate the body of a client account; raises `ConfigError`."""
    return _parse(ClientAccount, f"account {check_name('account', name)}", raw)


def parse_template(name: str, raw: object) -> Template:
    """Validate the body of a template, but not whether its account exists; raises `ConfigError`."""
    where = f"template {check_name('template', name)}"
    fields = _check_fields(where, raw, ("class", "account", "parameters"))
    task_class = _Choice(TaskClass).parse(f"{where}.class", fields.get("class"))
    account = check_name(f"{where}.account", fields.get("account"))
    parameters_type = _PARAMETERS[task_class]
    parameters = _parse(parameters_type, f"{where}.parameters", fields.get("parameters", {}))
    parameters.check(f"{where}.parameters")
    return Template(name, task_class, account, parameters)


def check_account(template: Template, view: ConfigView) -> None:
    """Check that a template's account exists.

    :raises ConfigError: naming the known accounts.
    """
    if template.account not in view.accounts:
        allowed = "a known account: " + known_names(view.accounts)
        raise _not_allowed(f"template {template.name}.account", template.account, allowed)


def check_name(what: str, name: object) -> str:
    """Validate and return a name.

    :param what: name of the field for error messages.
    :raises ConfigError: when it is not a valid name.
    """
    if isinstance(name, str) and NAME_PATTERN.fullmatch(name):
        return name
    allowed = "1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"
    raise _not_allowed(what, name, allowed)


def known_names(parts: Mapping[str, object]) -> str:
    """Return a list of the parts' names for an error message, limited to 20 of them."""
    names = sorted(parts)
    shown = ", ".join(names[:20]) or "none yet"
    return shown + (f" and {len(names) - 20} more" if len(names) > 20 else "")


def to_document(view: ConfigView) -> dict[str, object]:
    """Return a view as JSON-serialisable values."""
    return {
        "revision": view.revision,
        "changes": [part_to_dict(change) for change in view.changes],
        "data_centres": {name: part_to_dict(part) for name, part in view.data_centres.items()},
        "accounts": {name: part_to_dict(part) for name, part in view.accounts.items()},
        "templates": {name: template_to_dict(part) for name, part in view.templates.items()},
    }


def part_to_dict(part: object) -> dict[str, object]:
    """Return a part of the document as JSON-serialisable values."""
    values = {field.name: getattr(part, field.name) for field in attrs.fields(type(part))}
    return {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in values.items()
    }


def template_to_dict(template: Template) -> dict[str, object]:
    """Return a template as JSON-serialisable values."""
    return {
        "class": template.task_class.value,
        "account": template.account,
        "parameters": part_to_dict(template.parameters),
    }


def _not_allowed(where: str, value: object, allowed: str) -> ConfigError:
    shown = repr(value)
    if len(shown) > 80:
        shown = shown[:77] + "..."
    return ConfigError(f"{where}: {shown} is not allowed; allowed: {allowed}", where)


def _reject_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError("a name is repeated in one object")
    return fields


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not a JSON number")


def _check_fields(where: str, raw: object, allowed: tuple[str, ...]) -> dict[str, object]:
    names = ", ".join(allowed)
    if not isinstance(raw, dict):
        raise _not_allowed(where, raw, f"an object with the fields {names}")
    for name in raw:
        if name not in allowed:
            raise _not_allowed(f"field of {where}", name, names)
    return raw


def _parse(part_type: type[_T], where: str, raw: object) -> _T:
    attributes = {field.name: field for field in attrs.fields(part_type)}
    fields = _check_fields(where, raw, tuple(attributes))
    for name, field in attributes.items():
        if name not in fields and field.default is attrs.NOTHING:
            raise ConfigError(f"{where}.{name} is missing", f"{where}.{name}")
    values = {
        name: attributes[name].metadata["rule"].parse(f"{where}.{name}", value)
        for name, value in fields.items()
    }
    return part_type(**values)


def _parse_named(
    where: str, raw: object, parse: Callable[[str, object], Any], faults: "_Faults"
) -> Mapping[str, Any]:
    if not isinstance(raw, dict):
        faults.add(_not_allowed(where, raw, "an object from names to values"))
        return MappingProxyType({})
    parts = {}
    for name, value in raw.items():
        if faults.is_full:
            break
        try:
            parts[name] = parse(name, value)
        except ConfigError as exc:
            faults.add(exc)
    return MappingProxyType(parts)


@attrs.define
class _Faults:
    """Faults found in a document.

    :param limit: number of faults that are kept.
    """

    limit: int
    kept: list[ConfigError] = attrs.field(factory=list)

    @property
    def is_full(self) -> bool:
        return len(self.kept) >= self.limit

    def add(self, fault: ConfigError) -> None:
        if not self.is_full:
            # The frames of the traceback would keep the parsed values alive.
            self.kept.append(fault.with_traceback(None))


def _collect(faults: _Faults, default: _T, parse: Callable[[], _T]) -> _T:
    """Return the parsed value; if it is invalid, add the fault and return the default."""
    try:
        return parse()
    except ConfigError as exc:
        faults.add(exc)
        return default


def _parse_changes(raw: object) -> tuple[ChangeRecord, ...]:
    if not isinstance(raw, list) or len(raw) > MAX_CHANGES_KEPT:
        raise _not_allowed("changes", raw, f"a list of at most {MAX_CHANGES_KEPT} changes")
    return tuple(_parse(ChangeRecord, f"changes[{i}]", item) for i, item in enumerate(raw))

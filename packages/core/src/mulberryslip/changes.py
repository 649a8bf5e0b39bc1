"""Operators' changes to the configuration document and optimistic concurrency by revisions."""

import functools
import hashlib
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import attrs

from .configs import (
    MAX_CHANGES_KEPT,
    ChangeRecord,
    ClientAccount,
    ConfigView,
    DataCentre,
    DataCentreState,
    Template,
    check_account,
    known_names,
    part_to_dict,
    template_to_dict,
)
from .exceptions import ConfigError

MAX_DESCRIPTION_CHARS = 400
"""Longest description of a change, in characters, which keeps the stored changes under 64 KB."""


class UnknownNameError(ConfigError):
    """A change names a part that does not exist in the document."""


class ReusedChangeIdError(ConfigError):
    """A `Change-Id` was already used for a different change."""


@attrs.frozen
class SetTemplate:
    """Add a template or replace its account and parameters."""

    template: Template


@attrs.frozen
class DeleteTemplate:
    """Remove a template. Its jobs keep the parameters they were submitted with."""

    name: str


@attrs.frozen
class SetAccount:
    """Add a client account or replace its quota."""

    name: str
    account: ClientAccount


@attrs.frozen
class SetDataCentre:
    """Add a data centre, or set whether work may run in it."""

    name: str
    data_centre: DataCentre


Change = SetTemplate | DeleteTemplate | SetAccount | SetDataCentre


@dataclass(frozen=True)
class Accepted:
    """The change is allowed.

    :param view: the document to store, with the next revision.
    """

    view: ConfigView


@dataclass(frozen=True)
class AlreadyAccepted:
    """The request is a resend of a change that was already accepted.

    :param revision: the revision that the first request received.
    """

    revision: int


@dataclass(frozen=True)
class Stale:
    """The change was based on an older revision.

    :param revision: the current revision.
    :param changed: descriptions of the changes since then, oldest first.
    """

    revision: int
    changed: tuple[str, ...]


Decision = Accepted | AlreadyAccepted | Stale


@functools.singledispatch
def apply(change: object, view: ConfigView) -> ConfigView:
    """Return the document with a change applied and its revision unchanged.

    :param change: one of the change classes.
    :raises ConfigError: when the change breaks a rule of the document.
    """
    raise ConfigError(f"{type(change).__name__} is not a change to the configuration")


@apply.register
def _(change: SetTemplate, view: ConfigView) -> ConfigView:
    template = change.template
    check_account(template, view)
    previous = view.template(template.name)
    if previous is not None and previous.task_class is not template.task_class:
        raise ConfigError(
            f"template {template.name}.class: {template.task_class.value!r} is not allowed; "
            f"allowed: {previous.task_class.value}, as the class of a template never changes; "
            "delete the template first"
        )
    return attrs.evolve(view, templates=_with_part(view.templates, template.name, template))


@apply.register
def _(change: DeleteTemplate, view: ConfigView) -> ConfigView:
    if change.name not in view.templates:
        raise _unknown_name("template", change.name, view.templates)
    templates = {name: part for name, part in view.templates.items() if name != change.name}
    return attrs.evolve(view, templates=MappingProxyType(templates))


@apply.register
def _(change: SetAccount, view: ConfigView) -> ConfigView:
    return attrs.evolve(view, accounts=_with_part(view.accounts, change.name, change.account))


@apply.register
def _(change: SetDataCentre, view: ConfigView) -> ConfigView:
    # Without this check, a misspelt name would be accepted and the data centre would stay in.
    if change.data_centre.state is DataCentreState.OUT and change.name not in view.data_centres:
        raise _unknown_name("data centre", change.name, view.data_centres)
    centres = _with_part(view.data_centres, change.name, change.data_centre)
    return attrs.evolve(view, data_centres=centres)


def decide(
    view: ConfigView, change: Change, based_on: int, change_id: str = "", operator: str = ""
) -> Decision:
    """Decide on a change against the current document.

    :param view: the current document as just read from the store.
    :param based_on: revision that the operator based the change on.
    :param change_id: idempotency key chosen by the operator, or an empty string.
    :param operator: who makes the change.
    :raises ConfigError: when the change breaks a rule of the document.
    :raises ReusedChangeIdError: when the id was used for a different change.
    """
    digest = change_digest(change)
    earlier = find_change(view, change_id)
    if earlier is not None:
        return _check_resend(earlier, digest)
    if based_on > view.revision:
        raise ConfigError(
            f"If-Revision: {based_on} is not allowed; allowed: the current revision {view.revision}"
        )
    if based_on < view.revision:
        return Stale(view.revision, changes_since(view, based_on))
    changed = apply(change, view)
    what = _truncate(
        "; ".join(differences(view, changed)) or f"no difference: {describe_subject(change)}"
    )
    record = ChangeRecord(change_id, view.revision + 1, operator, what, digest)
    changes = (*view.changes, record)[-MAX_CHANGES_KEPT:]
    return Accepted(attrs.evolve(changed, revision=record.revision, changes=changes))


def find_change(view: ConfigView, change_id: str) -> ChangeRecord | None:
    """Return the stored change with an id, or None."""
    if not change_id:
        return None
    return next((record for record in view.changes if record.id == change_id), None)


def changes_since(view: ConfigView, revision: int) -> tuple[str, ...]:
    """Return descriptions of the changes after a revision, oldest first."""
    records = [record for record in view.changes if record.revision > revision]
    lines = [_describe_record(record) for record in records]
    missing = view.revision - revision - len(records)
    if missing > 0:
        lines.insert(0, f"{missing} earlier changes after revision {revision} are no longer kept")
    return tuple(lines)


@attrs.frozen
class PartDifference:
    """A part in which two documents differ.

    :param kind: `data centre`, `account` or `template`.
    :param name: name of the part.
    :param text: kind and name, and how it differs.
    """

    kind: str
    name: str
    text: str


def differences(old: ConfigView, new: ConfigView) -> tuple[str, ...]:
    """Describe the difference between two documents, one line for each part that differs."""
    return tuple(difference.text for difference in part_differences(old, new))


def part_differences(old: ConfigView, new: ConfigView) -> Iterator[PartDifference]:
    """Return the parts in which two documents differ."""
    yield from _describe_parts("data centre", old.data_centres, new.data_centres)
    yield from _describe_parts("account", old.accounts, new.accounts)
    yield from _describe_parts("template", old.templates, new.templates)


def changes_between(old: ConfigView, new: ConfigView) -> Iterator[Change]:
    """Return the changes that make one document into another.

    Accounts and data centres that are only in the old document are skipped: no change removes them.
    """
    for name, account in new.accounts.items():
        if old.accounts.get(name) != account:
            yield SetAccount(name, account)
    for name, data_centre in new.data_centres.items():
        if old.data_centres.get(name) != data_centre:
            yield SetDataCentre(name, data_centre)
    for name in old.templates:
        if name not in new.templates:
            yield DeleteTemplate(name)
    for name, template in new.templates.items():
        if old.templates.get(name) != template:
            yield SetTemplate(template)


def latest_view(current: ConfigView | None, candidate: ConfigView) -> ConfigView:
    """Return the view with the higher revision; `current` wins a tie."""
    if current is None or candidate.revision > current.revision:
        return candidate
    return current


@functools.singledispatch
def describe_subject(change: object) -> str:
    """Return a short description of what a change applies to."""
    raise ConfigError(f"{type(change).__name__} is not a change to the configuration")


@describe_subject.register
def _(change: SetTemplate) -> str:
    return f"template {change.template.name}"


@describe_subject.register
def _(change: DeleteTemplate) -> str:
    return f"removal of template {change.name}"


@describe_subject.register
def _(change: SetAccount) -> str:
    return f"account {change.name}"


@describe_subject.register
def _(change: SetDataCentre) -> str:
    return f"data centre {change.name}"


def change_digest(change: Change) -> str:
    """Return a digest of the content of a change."""
    values = attrs.asdict(
        change, value_serializer=lambda _i, _f, value: getattr(value, "value", value)
    )
    text = json.dumps([type(change).__name__, values], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _check_resend(earlier: ChangeRecord, digest: str) -> AlreadyAccepted:
    if earlier.digest != digest:
        raise ReusedChangeIdError(
            f"Change-Id: {earlier.id!r} is not allowed; it was used for another change, "
            f"revision {earlier.revision}: {earlier.what}"
        )
    return AlreadyAccepted(earlier.revision)


def _with_part(parts: Mapping[str, object], name: str, part: object) -> Mapping[str, object]:
    return MappingProxyType({**parts, name: part})


def _unknown_name(kind: str, name: str, parts: Mapping[str, object]) -> UnknownNameError:
    return UnknownNameError(
        f"{kind}: {name!r} is not allowed; allowed: a known {kind}: {known_names(parts)}"
    )


def _describe_record(record: ChangeRecord) -> str:
    operator = f" by {record.operator}" if record.operator else ""
    return f"revision {record.revision}{operator}: {record.what}"


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_DESCRIPTION_CHARS else text[: MAX_DESCRIPTION_CHARS - 3] + "..."


def _parts_to_dicts(parts: Mapping[str, object]) -> dict[str, dict[str, object]]:
    return {
        name: _flatten_template(template_to_dict(part))
        if isinstance(part, Template)
        else part_to_dict(part)
        for name, part in parts.items()
    }


def _flatten_template(template: dict[str, object]) -> dict[str, object]:
    return {"class": template["class"], "account": template["account"], **template["parameters"]}


def _describe_parts(
    kind: str, old_parts: Mapping[str, object], new_parts: Mapping[str, object]
) -> Iterator[PartDifference]:
    old, new = _parts_to_dicts(old_parts), _parts_to_dicts(new_parts)
    for name in sorted(old.keys() | new.keys()):
        text = describe_difference(f"{kind} {name}", old.get(name), new.get(name))
        if text:
            yield PartDifference(kind, name, text)


def describe_difference(
    subject: str, old: dict[str, object] | None, new: dict[str, object] | None
) -> str:
    """Describe how a part differs; empty if it does not.

    :param subject: kind and name of the part.
    :param old: fields of the part; None where it does not exist.
    """
    if old == new:
        return ""
    if new is None:
        return f"{subject} removed"
    if old is None:
        return f"{subject} added: " + ", ".join(_format_fields(new))
    return f"{subject}: " + ", ".join(_format_changed_fields(old, new))


def _format_fields(fields: dict[str, object]) -> Iterator[str]:
    return (f"{name} {_format_value(value)}" for name, value in fields.items())


def _format_changed_fields(old: dict[str, object], new: dict[str, object]) -> Iterator[str]:
    for name in new:
        if old.get(name) != new[name]:
            yield f"{name} from {_format_value(old.get(name))} to {_format_value(new[name])}"


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)

"""Judges a configuration document before it is submitted. Performs no I/O.

Two kinds of document are judged: the operators' document of data centres, accounts and templates
(`configs`), and the pools' document of queues, which the platform's adapter decodes (`queues`).
Errors are what the daemon's own validation refuses or leaves out; nothing is validated here a
second time. Warnings are what the daemon accepts although it probably is not meant.
"""

import enum
import functools
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from .changes import apply, changes_between, changes_since, describe_difference, part_differences
from .configs import (
    ConfigView,
    ServiceParameters,
    TaskParameters,
    Template,
    inspect_document,
    parse_json,
    part_to_dict,
)
from .exceptions import ConfigError
from .models import Priority, Resources
from .queues import MAX_SLACK_MS, MAX_STRETCH_PERMILLE, PoolConfig, PoolDocument, Queue
from .stores import MAX_VALUE_BYTES

MAX_INPUT_BYTES = MAX_VALUE_BYTES
"""Largest document that is read: no store holds a larger one."""

MAX_FINDINGS = 500
"""Errors, warnings and differences that a report lists, of each kind; the others are counted."""

DOCUMENT = "document"
"""Place of a finding about the whole document."""

EXIT_WARNINGS = 1
EXIT_ERRORS = 2

NO_COMPARISON = "differences from the configuration in force: it was not compared"
NO_VALID_DOCUMENT = "differences from the configuration in force: the document has errors"
NO_FLEET = (
    "whether tasks fit a worker, services have a worker and quotas fit the fleet: the workers are"
    " not known"
)
NO_SERVICES = "services: the document does not list them"
NO_POOL_FLEET = (
    "labels and sizes: callers state them with each step, and the store lists no workers of pools"
)


class Severity(enum.Enum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """Something wrong with a document.

    :param place: entry or field, in the terms of the document.
    :param reason: what is wrong, and what is allowed or what follows.
    """

    severity: Severity
    place: str
    reason: str


@attrs.frozen
class Difference:
    """A difference from the configuration in force.

    :param text: the part and how it differs.
    :param affected: client accounts or queues whose work it affects.
    """

    text: str
    affected: tuple[str, ...]


@attrs.frozen
class FleetWorker:
    """A worker as far as a configuration is judged by it.

    :param services: templates that its target answers.
    """

    data_centre: str
    capacity: Resources
    services: frozenset[str] = frozenset()


@attrs.frozen
class CheckReport:
    """Result of a check.

    :param findings: errors and warnings in the order of the document.
    :param differences: None without a comparison.
    :param not_judged: what was not checked, and why.
    """

    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] | None = None
    not_judged: tuple[str, ...] = ()

    def of(self, severity: Severity) -> tuple[Finding, ...]:
        """Return the findings of one severity."""
        return tuple(finding for finding in self.findings if finding.severity is severity)

    def with_error(self, place: str, reason: str) -> "CheckReport":
        """Return the report with one more error."""
        return attrs.evolve(self, findings=(*self.findings, _error(place, reason)))

    def with_warning(self, place: str, reason: str) -> "CheckReport":
        """Return the report with one more warning."""
        return attrs.evolve(self, findings=(*self.findings, _warning(place, reason)))

    def exit_code(self, strict: bool) -> int:
        """Return the exit code of the command.

        :param strict: whether warnings count.
        """
        if self.of(Severity.ERROR):
            return EXIT_ERRORS
        return EXIT_WARNINGS if strict and self.findings else 0

    def to_document(self) -> dict[str, object]:
        """Return the report as JSON-serialisable values."""
        errors, warnings = self.of(Severity.ERROR), self.of(Severity.WARNING)
        differences = self.differences
        return {
            "valid": not errors,
            "errors": [_finding_to_dict(finding) for finding in errors[:MAX_FINDINGS]],
            "warnings": [_finding_to_dict(finding) for finding in warnings[:MAX_FINDINGS]],
            "differences": None
            if differences is None
            else [attrs.asdict(difference) for difference in differences[:MAX_FINDINGS]],
            "not_judged": list(self.not_judged),
            "counts": {
                "errors": len(errors),
                "warnings": len(warnings),
                "differences": len(differences or ()),
            },
        }

    def to_text(self) -> str:
        """Return the report as lines of text."""
        errors, warnings = self.of(Severity.ERROR), self.of(Severity.WARNING)
        lines = [f"{_count(errors, 'error')}, {_count(warnings, 'warning')}"]
        lines += _limited([f"error: {f.place}: {f.reason}" for f in errors], "errors")
        lines += _limited([f"warning: {f.place}: {f.reason}" for f in warnings], "warnings")
        if self.differences is not None:
            texts = [
                f"difference: {difference.text} (affects {', '.join(difference.affected) or '-'})"
                for difference in self.differences
            ]
            lines += _limited(texts, "differences") or ["no difference from what is in force"]
        lines += [f"not judged: {text}" for text in self.not_judged]
        return "\n".join(map(_printable, lines))


def check_document(
    body: bytes,
    current: ConfigView | None = None,
    workers: Sequence[FleetWorker] | None = None,
) -> CheckReport:
    """Check an operators' document of data centres, accounts and templates.

    :param body: JSON text, at most `MAX_INPUT_BYTES`.
    :param current: configuration in force to compare with; None for no comparison.
    :param workers: the fleet; None or empty if it is not known.
    """
    try:
        check_size(body)
        inspected = inspect_document(parse_json(DOCUMENT, body))
    except ConfigError as exc:
        return CheckReport((_error_of(exc),))
    view = inspected.view
    findings = [_error_of(fault) for fault in inspected.faults]
    if findings and view == ConfigView():
        return CheckReport(tuple(findings))
    if not findings:
        try:
            view.to_json()
        except ConfigError as exc:
            findings.append(_error_of(exc))
    not_judged = [] if workers else [NO_FLEET]
    findings += _view_warnings(view)
    findings += _fleet_warnings(view, workers) if workers else ()
    if current is None:
        return CheckReport(tuple(findings), None, (NO_COMPARISON, *not_judged))
    findings += _revision_findings(view, current)
    if inspected.faults:
        # Parts that are left out as invalid would be taken for removed ones.
        return CheckReport(tuple(findings), None, (NO_VALID_DOCUMENT, *not_judged))
    findings += _change_findings(view, current)
    return CheckReport(tuple(findings), tuple(_differences(current, view)), tuple(not_judged))


def check_pool_document(
    body: bytes, decode: Callable[[bytes], PoolDocument], current: PoolConfig | None = None
) -> CheckReport:
    """Check the operators' document for pools.

    :param body: text of the document, at most `MAX_INPUT_BYTES`.
    :param decode: the adapter's decoder; it raises `ConfigError` for a malformed document.
    :param current: configuration in force to compare with; None for no comparison.
    """
    try:
        check_size(body)
        document = decode(body)
    except ConfigError as exc:
        return CheckReport((_error_of(exc),))
    config = document.config(() if current is None else current.data_centres_out)
    findings = [_error_of(fault) for fault in document.faults]
    findings += _pool_warnings(document, config)
    not_judged = (NO_POOL_FLEET, *([NO_SERVICES] if document.services is None else ()))
    if current is None:
        return CheckReport(tuple(findings), None, (NO_COMPARISON, *not_judged))
    findings += _pool_revision_findings(config, current)
    return CheckReport(
        tuple(findings), tuple(_pool_differences(current, config)), tuple(not_judged)
    )


def check_size(body: bytes) -> None:
    """Check the size of a document before it is parsed.

    :raises ConfigError: when it exceeds `MAX_INPUT_BYTES`.
    """
    if len(body) > MAX_INPUT_BYTES:
        message = f"{DOCUMENT} is larger than {MAX_INPUT_BYTES} bytes, which no store holds"
        raise ConfigError(message, DOCUMENT)


# The operators' document


def _view_warnings(view: ConfigView) -> Iterator[Finding]:
    if not any(view.data_centre_in(name) for name in view.data_centres):
        yield _warning("data_centres", "no data centre is in, so nothing runs")
    for template in view.templates.values():
        yield from _parameter_warnings(template.parameters, template, view)


@functools.singledispatch
def _parameter_warnings(
    parameters: object, template: Template, view: ConfigView
) -> Iterator[Finding]:
    """Return warnings about limits of a template that contradict each other."""
    raise TypeError(f"{type(parameters).__name__} are not parameters of a template")


@_parameter_warnings.register
def _(parameters: ServiceParameters, template: Template, view: ConfigView) -> Iterator[Finding]:
    hedge_ms, deadline_ms = parameters.hedge_after_ms, parameters.deadline_ms
    if parameters.idempotent and hedge_ms >= deadline_ms:
        yield _warning(
            f"template {template.name}.parameters.hedge_after_ms",
            f"{hedge_ms} is not below deadline_ms, which is {deadline_ms}: no request is hedged",
        )


@_parameter_warnings.register
def _(parameters: TaskParameters, template: Template, view: ConfigView) -> Iterator[Finding]:
    where = f"template {template.name}.parameters"
    if parameters.checkpoint_s >= parameters.max_run_s:
        yield _warning(
            f"{where}.checkpoint_s",
            f"{parameters.checkpoint_s} is not below max_run_s, which is {parameters.max_run_s}:"
            " an attempt ends before its first checkpoint",
        )
    account = view.account(template.account)
    # Urgent tasks may exceed the quota.
    if account is None or parameters.priority is Priority.URGENT:
        return
    for name in ("cpu_millis", "memory_mb", "accelerators"):
        size, quota = getattr(parameters, name), getattr(account, name)
        if size > quota:
            yield _warning(
                f"{where}.{name}",
                f"{size} is over the quota of account {template.account}, which is {quota}: tasks"
                " only start on capacity that other accounts leave idle",
            )


def _fleet_warnings(view: ConfigView, workers: Sequence[FleetWorker]) -> Iterator[Finding]:
    for name in sorted({worker.data_centre for worker in workers} - view.data_centres.keys()):
        yield _warning("data_centres", f"{name} is not listed, so its workers get no work")
    occupied = {worker.data_centre for worker in workers}
    for name in view.data_centres:
        if name not in occupied:
            yield _warning(f"data centre {name}", "it has no known worker")
    usable = [worker for worker in workers if view.data_centre_in(worker.data_centre)]
    offer = _Offer(
        frozenset(worker.capacity for worker in usable),
        frozenset(name for worker in usable for name in worker.services),
    )
    for template in view.templates.values():
        reason = _unmet_need(template.parameters, template.name, offer)
        if reason:
            yield _warning(f"template {template.name}", reason)
    total = sum((worker.capacity for worker in usable), Resources())
    for name in ("cpu_millis", "memory_mb", "accelerators"):
        quotas = sum(getattr(account, name) for account in view.accounts.values())
        if quotas > getattr(total, name):
            yield _warning(
                "accounts",
                f"the quotas for {name} add up to {quotas}, but the workers in service have"
                f" {getattr(total, name)}: not all accounts can use theirs at once",
            )


@attrs.frozen
class _Offer:
    """What the workers in service offer, without repetitions: many workers are alike."""

    capacities: frozenset[Resources]
    services: frozenset[str]


@functools.singledispatch
def _unmet_need(parameters: object, name: str, offer: _Offer) -> str:
    """Return what a template needs and no worker in service offers; empty if there is nothing."""
    raise TypeError(f"{type(parameters).__name__} are not parameters of a template")


@_unmet_need.register
def _(parameters: ServiceParameters, name: str, offer: _Offer) -> str:
    return "" if name in offer.services else "no worker in service answers this service"


@_unmet_need.register
def _(parameters: TaskParameters, name: str, offer: _Offer) -> str:
    size = parameters.resources()
    if any(size.fits(capacity) for capacity in offer.capacities):
        return ""
    return "its tasks fit no worker in service"


def _revision_findings(view: ConfigView, current: ConfigView) -> Iterator[Finding]:
    if view.revision > current.revision:
        reason = f"{view.revision} is not allowed; allowed: at most {current.revision}, in force"
        yield _error("revision", reason)
    elif 0 < view.revision < current.revision:
        since = "; ".join(changes_since(current, view.revision))
        reason = f"the document is based on {view.revision}, in force is {current.revision}"
        yield _warning("revision", f"{reason}; changes since then: {since}")


def _change_findings(view: ConfigView, current: ConfigView) -> Iterator[Finding]:
    """Apply the changes from the configuration in force as the daemon would."""
    changed = current
    for change in changes_between(current, view):
        try:
            changed = apply(change, changed)
        except ConfigError as exc:
            place, _, reason = str(exc).partition(": ")
            yield _error(place, reason)
    for kind, old, new in (
        ("account", current.accounts, view.accounts),
        ("data centre", current.data_centres, view.data_centres),
    ):
        for name in old.keys() - new.keys():
            yield _warning(f"{kind} {name}", "it is missing here, but no change removes it")


def _differences(current: ConfigView, view: ConfigView) -> Iterator[Difference]:
    everyone = tuple(sorted(current.accounts.keys() | view.accounts.keys()))
    for part in part_differences(current, view):
        affected = everyone
        if part.kind == "account":
            affected = (part.name,)
        elif part.kind == "template":
            templates = (current.template(part.name), view.template(part.name))
            affected = tuple(sorted({template.account for template in templates if template}))
        yield Difference(part.text, affected)


# The document for pools


def _pool_warnings(document: PoolDocument, config: PoolConfig) -> Iterator[Finding]:
    if not config.queues:
        yield _warning(DOCUMENT, "it has no queue, so every request is rejected")
    if document.repeated_names:
        names = ", ".join(_shown(name) for name in sorted(document.repeated_names)[:10])
        yield _warning(DOCUMENT, f"one object has several values of {names}; only the last counts")
    hidden = config.hidden_queues()
    last_entries = {entry.queue.name: entry for entry in document.entries}
    for entry in document.entries:
        queue, last = entry.queue, last_entries[entry.queue.name]
        if last is not entry:
            reason = f"queue {_shown(queue.name)} never matches: {last.place} has the same name"
            yield _warning(entry.place, reason)
            continue
        if queue.name in hidden:
            hiding = hidden[queue.name]
            yield _warning(
                entry.place,
                f"queue {_shown(queue.name)} never matches: queue {_shown(hiding.name)} before it"
                f" has the same prefix and {'the same host' if hiding.host else 'any host'}",
            )
        for reason in _queue_faults(queue, document.services):
            yield _warning(entry.place, f"queue {_shown(queue.name)}: {reason}")


def _queue_faults(queue: Queue, services: frozenset[str] | None) -> Iterator[str]:
    """Return what keeps a queue from being of use."""
    prefix = _shown(queue.prefix)
    if not queue.prefix.startswith("/"):
        yield f"no path has an id after the prefix {prefix}; paths begin with '/'"
    elif not queue.prefix.endswith("/"):
        yield f"the prefix {prefix} does not end with '/': ids follow it without a separator"
    if not queue.service:
        yield "it names no service, so no worker runs its tasks"
    elif services is not None and queue.service not in services:
        yield f"its service {_shown(queue.service)} is not listed, so no worker runs its tasks"
    if queue.unsupported_reason:
        yield f"all its submissions are refused: {queue.unsupported_reason}"
    if queue.stretch_permille < 1000 and queue.slack_ms == 0:
        yield "its objective is shorter than the critical path, so no workflow meets it"
    if queue.stretch_permille > MAX_STRETCH_PERMILLE:
        yield f"its stretch is reduced to {MAX_STRETCH_PERMILLE // 1000}"
    if queue.slack_ms > MAX_SLACK_MS:
        yield f"its slack is reduced to {MAX_SLACK_MS} ms"


def _pool_revision_findings(config: PoolConfig, current: PoolConfig) -> Iterator[Finding]:
    if config.revision < current.revision:
        reason = f"revision {config.revision} never replaces the newer {current.revision} in force"
        yield _error(DOCUMENT, reason)
    elif config.revision == current.revision and config.queues != current.queues:
        reason = (
            f"it differs from what is in force under the same revision {config.revision}, so logs"
            " do not show which of the two a process uses"
        )
        yield _warning(DOCUMENT, reason)


def _pool_differences(current: PoolConfig, config: PoolConfig) -> Iterator[Difference]:
    old_paths, new_paths = PathIndex(current), PathIndex(config)
    for name in sorted(current.queues.keys() | config.queues.keys()):
        old, new = current.queues.get(name), config.queues.get(name)
        text = describe_difference(
            f"queue {_shown(name)}",
            None if old is None else part_to_dict(old),
            None if new is None else part_to_dict(new),
        )
        if not text:
            continue
        affected = {name}
        if old is not None and _moves(old, new):
            taker = new_paths.match(old.host, old.prefix)
            text += (
                "; no queue takes its requests any more"
                if taker is None
                else f"; its requests go to queue {_shown(taker.name)}"
            )
            affected |= {taker.name} if taker else set()
        if new is not None and _moves(new, old):
            giver = old_paths.match(new.host, new.prefix)
            if giver is not None and giver.name != name:
                text += f"; it takes requests from queue {_shown(giver.name)}"
                affected.add(giver.name)
        yield Difference(text, tuple(_shown(queue) for queue in sorted(affected)))


def _moves(queue: Queue, other: Queue | None) -> bool:
    """Return whether the requests of a queue are not those of its other version."""
    return other is None or (queue.host, queue.prefix) != (other.host, other.prefix)


class PathIndex:
    """Finds the queue of a path without comparing all queues.

    It gives the results of `PoolConfig.match`, which takes 0.1 ms with 1,400 queues; a comparison
    needs up to two results for each queue.
    """

    def __init__(self, config: PoolConfig):
        self._queues: dict[tuple[str, str], Queue] = {}
        self._positions: dict[str, int] = {}
        for position, queue in enumerate(config.queues.values()):
            self._queues.setdefault((queue.host, queue.prefix), queue)
            self._positions[queue.name] = position
        self._lengths = sorted({len(prefix) for _, prefix in self._queues}, reverse=True)

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue that `PoolConfig.match` returns."""
        for length in self._lengths:
            if length > len(path):
                continue
            found = {
                queue.name: queue
                for key in (("", path[:length]), (host, path[:length]))
                if (queue := self._queues.get(key)) is not None
            }
            if found:
                return found[min(found, key=self._positions.__getitem__)]
        return None


def _error_of(exc: ConfigError) -> Finding:
    return _error(exc.place or DOCUMENT, exc.reason)


def _error(place: str, reason: str) -> Finding:
    return Finding(Severity.ERROR, place, reason)


def _warning(place: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, place, reason)


def _finding_to_dict(finding: Finding) -> dict[str, str]:
    return {"place": finding.place, "reason": finding.reason}


def _count(items: Sequence[object], name: str) -> str:
    return f"{len(items)} {name}{'' if len(items) == 1 else 's'}"


def _limited(lines: Sequence[str], kind: str) -> Iterable[str]:
    left_out = len(lines) - MAX_FINDINGS
    return lines if left_out <= 0 else [*lines[:MAX_FINDINGS], f"{left_out} more {kind}"]


def _printable(text: str) -> str:
    """Escape control characters, with which a document could change what a terminal shows."""
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode() for char in text
    )


def _shown(name: str) -> str:
    return name if name.isprintable() and 0 < len(name) <= 60 else f"{name[:60]!r}"

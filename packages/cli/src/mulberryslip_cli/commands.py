"""The commands. Each takes the client and its arguments, and returns an `Output`."""

import getpass
import json
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import attrs

from .checks import check_file, check_pool_file, load_adapter, open_store
from .clients import OperatorClient, quote_segment
from .exceptions import UsageError
from .tables import format_table

TEMPLATE_COLUMNS = ("name", "class", "account", "parameters")
ACCOUNT_COLUMNS = ("name", "cpu_millis", "memory_mb", "accelerators", "weight")
WORKER_COLUMNS = ("worker_id", "data_centre", "rack", "state", "in_flight", "free", "running")
JOB_COLUMNS = ("job_id", "template", "account", "state", "finished", "tasks", "reason")
TASK_COLUMNS = ("index", "state", "attempts", "worker", "result", "reason")
METRIC_COLUMNS = (
    "account", "class", "template", "count", "p50_ms", "p99_ms", "p99_9_ms", "max_ms",
)  # fmt: skip


@attrs.frozen
class Output:
    """Result of a command.

    :param document: JSON document that `--json` prints.
    :param text: text that is printed by default.
    :param exit_code: exit code of the process.
    """

    document: Any
    text: str
    exit_code: int = 0


@attrs.frozen
class Options:
    """Flags of the command line that commands read.

    :param if_revision: revision that a change is based on; None for the current one.
    :param against: `current` to compare a checked document with the one in force, or None.
    :param strict: whether warnings of a check count as a failure.
    :param adapter: module of the platform's adapter for a check of the pools' document, or empty.
    :param store: URL of the platform's store that the adapter reads, or empty.
    :param timeout: longest wait for one call to the store.
    """

    if_revision: int | None = None
    against: str | None = None
    strict: bool = False
    adapter: str = ""
    store: str = ""
    timeout: timedelta = timedelta(seconds=5)


@attrs.frozen
class Command:
    """A command of the command line.

    :param words: leading words that select it, such as `("template", "set")`.
    :param arguments: placeholders of its arguments in the help text.
    :param summary: one-line description in the help text.
    :param run: function that executes it; its parameters are the client, the arguments and the
        flags.
    """

    words: tuple[str, ...]
    arguments: str
    summary: str
    run: Callable[[OperatorClient, Sequence[str], Options], Output]


def config_show(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Show the whole accepted configuration."""
    document = client.config().document
    return Output(document, json.dumps(document, indent=2))


def config_check(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Check a configuration document before it is submitted."""
    path = _single_argument(args, "FILE")
    is_compared = options.against is not None
    if options.adapter:
        adapter = load_adapter(options.adapter)
        store = open_store(adapter, options.store, options.timeout) if is_compared else None
        report = check_pool_file(path, adapter, store)
    else:
        report = check_file(path, client if is_compared else None)
    return Output(report.to_document(), report.to_text(), report.exit_code(options.strict))


def template_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the templates with their parameters."""
    return _list_section(client, "templates", TEMPLATE_COLUMNS)


def template_set(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Create a template or update some of its parameters."""
    if len(args) < 2:
        raise UsageError("template set needs a NAME and at least one KEY=VALUE")
    current = client.config()
    name, pairs = args[0], _parse_pairs(args[1:])
    template = dict(current.document["templates"].get(name, {}))
    parameters = dict(template.get("parameters", {}))
    for key, value in pairs.items():
        (template if key in ("class", "account") else parameters)[key] = value
    template["parameters"] = parameters
    return _submit_change(
        client,
        "PUT",
        f"/v1/templates/{quote_segment(name)}",
        template,
        options.if_revision or current.revision,
    )


def template_delete(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Delete a template."""
    name = _single_argument(args, "NAME")
    return _submit_change(
        client,
        "DELETE",
        f"/v1/templates/{quote_segment(name)}",
        {},
        options.if_revision or client.config().revision,
    )


def account_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the client accounts with their quotas."""
    return _list_section(client, "accounts", ACCOUNT_COLUMNS)


def account_set(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Create a client account or update its quota."""
    if len(args) < 2:
        raise UsageError("account set needs a NAME and at least one KEY=VALUE")
    current = client.config()
    account = dict(current.document["accounts"].get(args[0], {})) | _parse_pairs(args[1:])
    path = f"/v1/accounts/{quote_segment(args[0])}"
    return _submit_change(client, "PUT", path, account, options.if_revision or current.revision)


def data_centre_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the data centres and whether they are in or out."""
    return _list_section(client, "data_centres", ("name", "state"))


def data_centre_out(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Take a data centre out of service."""
    return _set_data_centre_state(client, args, options, "out")


def data_centre_in(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Bring a data centre back into service."""
    return _set_data_centre_state(client, args, options, "in")


def worker_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the workers that have announced themselves."""
    rows = client.get("/v1/workers")["workers"]
    return Output(rows, format_table(rows, WORKER_COLUMNS))


def job_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the jobs."""
    rows = client.get("/v1/jobs")["jobs"]
    return Output(rows, format_table(rows, JOB_COLUMNS))


def job_show(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Show one job with its tasks."""
    job = client.get(f"/v1/jobs/{quote_segment(_single_argument(args, 'JOB'))}")
    heading = f"{job['job_id']}: {job['state']} {job.get('reason') or ''}".rstrip()
    return Output(job, heading + "\n" + format_table(job["tasks"], TASK_COLUMNS))


def shard_list(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """List the shards and their owners."""
    rows = client.get("/v1/shards")["shards"]
    return Output(rows, format_table(rows, ("shard", "owner", "address")))


def metrics_show(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Show latency histograms by client account, class and template."""
    document = client.get("/v1/metrics")
    counters = [{"counter": k, "value": v} for k, v in sorted(document["counters"].items())]
    text = format_table(document["histograms"], METRIC_COLUMNS)
    return Output(document, text + "\n\n" + format_table(counters, ("counter", "value")))


def explain_job(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Explain why a job's tasks wait, run where they do, or were moved."""
    return _explain(client, "job", _single_argument(args, "JOB"))


def explain_worker(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Explain what a worker runs and why it is or is not assigned work."""
    return _explain(client, "worker", _single_argument(args, "WORKER"))


def explain_service(client: OperatorClient, args: Sequence[str], options: Options) -> Output:
    """Explain to which workers the entry routed its most recent requests, and why."""
    return _explain(client, "service", _single_argument(args, "TEMPLATE"))


COMMANDS = (
    Command(("config", "show"), "", "print the accepted configuration", config_show),
    Command(
        ("config", "check"),
        "FILE",
        "check a configuration document before it is submitted; - reads standard input",
        config_check,
    ),
    Command(("template", "list"), "", "list templates", template_list),
    Command(
        ("template", "set"),
        "NAME KEY=VALUE ...",
        "create a template or change its class, account or parameters",
        template_set,
    ),
    Command(("template", "delete"), "NAME", "delete a template", template_delete),
    Command(("account", "list"), "", "list client accounts and quotas", account_list),
    Command(
        ("account", "set"), "NAME KEY=VALUE ...", "create an account or change it", account_set
    ),
    Command(("data-centre", "list"), "", "list data centres", data_centre_list),
    Command(("data-centre", "out"), "NAME", "take a data centre out of service", data_centre_out),
    Command(("data-centre", "in"), "NAME", "bring a data centre back", data_centre_in),
    Command(("worker", "list"), "", "list workers with their load", worker_list),
    Command(("job", "list"), "", "list jobs", job_list),
    Command(("job", "show"), "JOB", "show a job and its tasks", job_show),
    Command(("shard", "list"), "", "list shards and the entries that own them", shard_list),
    Command(
        ("metrics", "show"), "", "show latencies by account and class, and counters", metrics_show
    ),
    Command(
        ("explain", "job"), "JOB", "explain why its tasks wait, run or were moved", explain_job
    ),
    Command(
        ("explain", "worker"), "WORKER", "explain why it is or is not assigned work", explain_worker
    ),
    Command(
        ("explain", "service"),
        "TEMPLATE",
        "explain the most recent routing decisions",
        explain_service,
    ),
)


def _set_data_centre_state(
    client: OperatorClient, args: Sequence[str], options: Options, state: str
) -> Output:
    name = _single_argument(args, "NAME")
    path = f"/v1/data-centres/{quote_segment(name)}"
    base = options.if_revision or client.config().revision
    return _submit_change(client, "PUT", path, {"state": state}, base)


def _submit_change(
    client: OperatorClient, method: str, path: str, body: dict[str, Any], revision: int
) -> Output:
    response = client.change(method, path, body, revision, getpass.getuser())
    return Output(response, f"accepted as revision {response['revision']}")


def _list_section(client: OperatorClient, section: str, columns: Sequence[str]) -> Output:
    items = client.config().document.get(section, {})
    rows = [{"name": name, **item} for name, item in sorted(items.items())]
    return Output(rows, format_table(rows, columns))


def _explain(client: OperatorClient, kind: str, name: str) -> Output:
    document = client.get(f"/v1/explain/{kind}/{quote_segment(name)}")
    lines = [str(reason) for reason in document.get("reasons", [])]
    return Output(document, "\n".join(lines) or "nothing recorded")


def _single_argument(args: Sequence[str], name: str) -> str:
    if len(args) != 1:
        raise UsageError(f"expected exactly one {name}, got {len(args)} arguments")
    return args[0]


def _parse_pairs(words: Sequence[str]) -> dict[str, Any]:
    pairs = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key:
            raise UsageError(f"{word!r}: expected KEY=VALUE")
        pairs[key] = _parse_value(value)
    return pairs


def _parse_value(text: str) -> Any:
    try:
        value = json.loads(text)
    except ValueError:
        return text
    return value if isinstance(value, bool | int | float) else text

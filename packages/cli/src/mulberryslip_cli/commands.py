"""The commands. Each takes the client and its words, and returns an `Output`."""

import getpass
import json
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from .clients import OperatorClient, quoted
from .exceptions import UsageError
from .tables import table

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

    :param document: what `--json` prints.
    :param text: what is printed by default.
    """

    document: Any
    text: str


@attrs.frozen
class Command:
    """A command of the command line.

    :param words: the words that select it, such as `("template", "set")`.
    :param arguments: what follows the words, for the help.
    :param summary: one line for the help.
    :param run: the function that carries it out.
    """

    words: tuple[str, ...]
    arguments: str
    summary: str
    run: Callable[[OperatorClient, Sequence[str], int | None], Output]


def config_show(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Show the whole accepted configuration."""
    document = client.config().document
    return Output(document, json.dumps(document, indent=2))


def template_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the templates with their parameters."""
    return _listing(client, "templates", TEMPLATE_COLUMNS)


def template_set(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Create a template or change some of its parameters."""
    if len(args) < 2:
        raise UsageError("template set needs a NAME and at least one KEY=VALUE")
    current = client.config()
    name, pairs = args[0], _pairs(args[1:])
    template = dict(current.document["templates"].get(name, {}))
    parameters = dict(template.get("parameters", {}))
    for key, value in pairs.items():
        (template if key in ("class", "account") else parameters)[key] = value
    template["parameters"] = parameters
    return _change(
        client, "PUT", f"/v1/templates/{quoted(name)}", template, revision or current.revision
    )


def template_delete(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Delete a template."""
    name = _only(args, "NAME")
    return _change(
        client,
        "DELETE",
        f"/v1/templates/{quoted(name)}",
        {},
        revision or client.config().revision,
    )


def account_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the client accounts with their quotas."""
    return _listing(client, "accounts", ACCOUNT_COLUMNS)


def account_set(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Create a client account or change its quota."""
    if len(args) < 2:
        raise UsageError("account set needs a NAME and at least one KEY=VALUE")
    current = client.config()
    account = dict(current.document["accounts"].get(args[0], {})) | _pairs(args[1:])
    path = f"/v1/accounts/{quoted(args[0])}"
    return _change(client, "PUT", path, account, revision or current.revision)


def data_centre_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the data centres and whether they are in or out."""
    return _listing(client, "data_centres", ("name", "state"))


def data_centre_out(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Take a data centre out of service."""
    return _data_centre(client, args, revision, "out")


def data_centre_in(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Bring a data centre back into service."""
    return _data_centre(client, args, revision, "in")


def worker_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the workers that have announced themselves."""
    rows = client.get("/v1/workers")["workers"]
    return Output(rows, table(rows, WORKER_COLUMNS))


def job_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the jobs."""
    rows = client.get("/v1/jobs")["jobs"]
    return Output(rows, table(rows, JOB_COLUMNS))


def job_show(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Show one job with its tasks."""
    job = client.get(f"/v1/jobs/{quoted(_only(args, 'JOB'))}")
    heading = f"{job['job_id']}: {job['state']} {job.get('reason') or ''}".rstrip()
    return Output(job, heading + "\n" + table(job["tasks"], TASK_COLUMNS))


def shard_list(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """List the shards and their owners."""
    rows = client.get("/v1/shards")["shards"]
    return Output(rows, table(rows, ("shard", "owner", "address")))


def metrics_show(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Show latency histograms by client account, class and template."""
    document = client.get("/v1/metrics")
    counters = [{"counter": k, "value": v} for k, v in sorted(document["counters"].items())]
    text = table(document["histograms"], METRIC_COLUMNS)
    return Output(document, text + "\n\n" + table(counters, ("counter", "value")))


def explain_job(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Say why a job's tasks wait, run where they do, or were moved."""
    return _explain(client, "job", _only(args, "JOB"))


def explain_worker(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Say what a worker runs and why it is or is not given work."""
    return _explain(client, "worker", _only(args, "WORKER"))


def explain_service(client: OperatorClient, args: Sequence[str], revision: int | None) -> Output:
    """Say to which workers the entry sent its newest requests, and why."""
    return _explain(client, "service", _only(args, "TEMPLATE"))


COMMANDS = (
    Command(("config", "show"), "", "print the accepted configuration", config_show),
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
    Command(("metrics", "show"), "", "latencies by account and class, and counters", metrics_show),
    Command(("explain", "job"), "JOB", "why its tasks wait, run or moved", explain_job),
    Command(("explain", "worker"), "WORKER", "why it is given work or not", explain_worker),
    Command(("explain", "service"), "TEMPLATE", "newest choices of workers", explain_service),
)


def _data_centre(
    client: OperatorClient, args: Sequence[str], revision: int | None, state: str
) -> Output:
    name = _only(args, "NAME")
    path = f"/v1/data-centres/{quoted(name)}"
    base = revision or client.config().revision
    return _change(client, "PUT", path, {"state": state}, base)


def _change(
    client: OperatorClient, method: str, path: str, body: dict[str, Any], revision: int
) -> Output:
    answer = client.change(method, path, body, revision, getpass.getuser())
    return Output(answer, f"accepted as revision {answer['revision']}")


def _listing(client: OperatorClient, section: str, columns: Sequence[str]) -> Output:
    items = client.config().document.get(section, {})
    rows = [{"name": name, **item} for name, item in sorted(items.items())]
    return Output(rows, table(rows, columns))


def _explain(client: OperatorClient, kind: str, name: str) -> Output:
    document = client.get(f"/v1/explain/{kind}/{quoted(name)}")
    lines = [str(reason) for reason in document.get("reasons", [])]
    return Output(document, "\n".join(lines) or "nothing recorded")


def _only(args: Sequence[str], name: str) -> str:
    if len(args) != 1:
        raise UsageError(f"expected exactly one {name}, got {len(args)} arguments")
    return args[0]


def _pairs(words: Sequence[str]) -> dict[str, Any]:
    pairs = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key:
            raise UsageError(f"{word!r}: expected KEY=VALUE")
        pairs[key] = _value(value)
    return pairs


def _value(text: str) -> Any:
    try:
        value = json.loads(text)
    except ValueError:
        return text
    return value if isinstance(value, bool | int | float) else text

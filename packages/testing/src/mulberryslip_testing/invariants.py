"""Invariant checks on the records of the stand-ins.

Each check returns one line per violation. The history entries come from the runtime stand-in, the
request records from the target stand-ins.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs
from mulberryslip import Resources

END_EVENTS = frozenset({"finished", "failed", "stopped", "lapsed"})


@attrs.frozen
class Run:
    """One uninterrupted execution of an attempt.

    :param task: job id and index.
    :param attempt: number of the attempt.
    :param worker: VM that ran it.
    :param started: start time in seconds.
    :param ended: end time in seconds; infinity while it runs.
    :param resources: resources that it holds on the VM.
    """

    task: tuple[str, str]
    attempt: int
    worker: str
    started: float
    ended: float
    resources: Resources


def parse_runs(history: Iterable[Mapping[str, Any]]) -> list[Run]:
    """Return the executions that a history records, in the order of their starts."""
    started: dict[str, Mapping[str, Any]] = {}
    ended: dict[str, float] = {}
    for entry in history:
        if entry["event"] == "start":
            started[entry["task_id"]] = entry
        elif entry["event"] in END_EVENTS:
            ended[entry["task_id"]] = entry["at"]
    return [
        _parse_run(entry, ended.get(task_id, float("inf"))) for task_id, entry in started.items()
    ]


def _parse_run(entry: Mapping[str, Any], ended: float) -> Run:
    job_id, index, attempt = entry["task_id"].rsplit("/", 2)
    return Run(
        (job_id, index),
        int(attempt),
        entry["worker"],
        entry["at"],
        ended,
        Resources(**entry["resources"]),
    )


def check_capacity(
    history: Sequence[Mapping[str, Any]], capacities: Mapping[str, Resources]
) -> list[str]:
    """Check that the resources held on a VM never exceed its capacity.

    :param history: history entries in chronological order.
    :param capacities: capacity of each worker.
    """
    changes = []
    for run in parse_runs(history):
        changes.append((run.started, 1, run))
        changes.append((run.ended, 0, run))
    used: dict[str, Resources] = defaultdict(Resources)
    violations = []
    for at, is_start, run in sorted(changes, key=lambda change: change[:2]):
        if not is_start:
            used[run.worker] -= run.resources
            continue
        used[run.worker] += run.resources
        if not used[run.worker].fits(capacities[run.worker]):
            violations.append(f"{run.worker} holds {used[run.worker]} at {at:.3f}: over capacity")
    return violations


def check_single_run(history: Sequence[Mapping[str, Any]]) -> list[str]:
    """Check that executions of a task never overlap and that attempt numbers increase."""
    by_task: dict[tuple[str, str], list[Run]] = defaultdict(list)
    for run in parse_runs(history):
        by_task[run.task].append(run)
    violations = []
    for task, executions in by_task.items():
        executions.sort(key=lambda run: run.started)
        for earlier, later in zip(executions, executions[1:], strict=False):
            if later.started < earlier.ended:
                violations.append(f"{task}: {later} overlaps {earlier}")
            if later.attempt <= earlier.attempt:
                violations.append(f"{task}: attempt {later.attempt} after {earlier.attempt}")
    return violations


def check_resumes(history: Sequence[Mapping[str, Any]]) -> list[str]:
    """Check that a checkpoint is resumed at most once and with the progress it saved."""
    saved = {e["checkpoint"]: e["items_done"] for e in history if e["event"] == "checkpoint"}
    resumed = [e for e in history if e["event"] == "start" and e["checkpoint"]]
    counts = Counter(entry["checkpoint"] for entry in resumed)
    violations = [f"checkpoint {c} resumed {n} times" for c, n in counts.items() if n > 1]
    for entry in resumed:
        if saved.get(entry["checkpoint"]) != entry["items_done"]:
            violations.append(
                f"{entry['task_id']} resumed at other progress than {entry['checkpoint']}"
            )
    return violations


def check_results(job: Mapping[str, Any], expected: Sequence[tuple[int, int]]) -> list[str]:
    """Check that a job has finished and counted every item exactly once.

    :param job: job state as returned by the entry.
    :param expected: number of items and sum of their amounts for each task.
    """
    if job.get("state") != "finished":
        return [f"job {job.get('job_id')} is {job.get('state')}: {job.get('reason')}"]
    violations = []
    for task, (items, total) in zip(job["tasks"], expected, strict=True):
        result = task["result"] or {}
        if (result.get("items"), result.get("total")) != (items, total):
            violations.append(f"task {task['index']}: {result}, expected {items} and {total}")
    return violations


def check_data_centre_out(
    history: Sequence[Mapping[str, Any]], workers: Iterable[str], out_at: float, in_at: float
) -> list[str]:
    """Check that no task starts in a data centre while it is out of service.

    :param workers: workers of the data centre.
    :param out_at: time in seconds after which no start is allowed.
    :param in_at: time in seconds at which the data centre was brought back; infinity if it was not.
    """
    excluded = set(workers)
    return [
        f"{e['task_id']} started on {e['worker']} {e['at'] - out_at:.3f} s after the bound"
        for e in history
        if e["event"] == "start" and e["worker"] in excluded and out_at < e["at"] < in_at
    ]


def check_at_most_once(records: Sequence[Mapping[str, Any]]) -> list[str]:
    """Check that no non-idempotent request ran more than once.

    :param records: request records of all targets.
    """
    counts = Counter(r["request_id"] for r in records if r["method"] not in ("GET", "HEAD"))
    return [f"request {rid} ran {n} times" for rid, n in counts.items() if rid and n > 1]


def check_not_run(
    records: Sequence[Mapping[str, Any]],
    refused: Iterable[tuple[str, float]],
    sent_again: Iterable[str] = (),
) -> list[str]:
    """Check that a request that was refused as not run ran neither before nor after the refusal.

    :param refused: request id and time in seconds of each refusal.
    :param sent_again: ids that were sent again and had another outcome; they may run after the
        refusal of the first send, but not before any refusal.
    """
    started: dict[str, float] = {}
    for record in records:
        rid = record["request_id"]
        started[rid] = min(record["started"], started.get(rid, float("inf")))
    allowed_later = set(sent_again)
    return [
        f"request {rid} was refused as not run at {at:.3f}, but ran at {started[rid]:.3f}"
        for rid, at in refused
        if rid in started and (started[rid] < at or rid not in allowed_later)
    ]


def check_no_new_work(records: Sequence[Mapping[str, Any]], after: float) -> list[str]:
    """Check that a target received no request after a time in seconds."""
    return [
        f"request {r['request_id']} started {r['started'] - after:.3f} s after the bound"
        for r in records
        if r["started"] > after
    ]


def check_revisions(observed: Sequence[tuple[float, str, int]]) -> list[str]:
    """Check that the revision that a process returns never decreases.

    :param observed: time in seconds, process and revision of each read.
    """
    highest: dict[str, int] = {}
    violations = []
    for at, name, revision in sorted(observed):
        if revision < highest.get(name, 0):
            violations.append(f"{name} went from {highest[name]} back to {revision} at {at:.3f}")
        highest[name] = max(revision, highest.get(name, 0))
    return violations

"""Tests that each invariant check detects its violation."""

import pytest
from mulberryslip import Resources
from mulberryslip_testing import invariants

TASK_RESOURCES = {"cpu_millis": 1000, "memory_mb": 100, "accelerators": 0, "slots": 1}


def entry(event, task_id, at, worker="worker-1", checkpoint="", done=0):
    return {
        "event": event,
        "task_id": task_id,
        "at": at,
        "worker": worker,
        "checkpoint": checkpoint,
        "items_done": done,
        "resources": TASK_RESOURCES,
    }


def request(request_id, method="POST", started=0.0):
    return {"request_id": request_id, "method": method, "started": started}


VALID_HISTORY = [
    entry("start", "j/0/1", 1.0),
    entry("checkpoint", "j/0/1", 2.0, checkpoint="c-1", done=5),
    entry("stopped", "j/0/1", 2.1),
    entry("start", "j/0/2", 3.0, "worker-2", "c-1", 5),
    entry("finished", "j/0/2", 4.0, "worker-2"),
]
OVERLAPPING_RUNS = [entry("start", "j/0/1", 1.0), entry("start", "j/0/2", 2.0, "worker-2")]
DECREASING_ATTEMPTS = [
    entry("start", "j/0/2", 1.0),
    entry("stopped", "j/0/2", 2.0),
    entry("start", "j/0/1", 3.0),
]
RESUMED_TWICE = [*VALID_HISTORY, entry("start", "j/0/3", 5.0, checkpoint="c-1", done=5)]
RESUMED_AT_OTHER_PROGRESS = [
    entry("checkpoint", "j/0/1", 1.0, checkpoint="c-1", done=5),
    entry("start", "j/0/2", 2.0, checkpoint="c-1", done=4),
]
OVER_CAPACITY = [entry("start", "j/0/1", 1.0), entry("start", "j/1/1", 1.0)]


@pytest.mark.parametrize(
    ("check", "history", "violations"),
    [
        (invariants.check_single_run, VALID_HISTORY, 0),
        (invariants.check_single_run, OVERLAPPING_RUNS, 1),
        (invariants.check_single_run, DECREASING_ATTEMPTS, 1),
        (invariants.check_resumes, VALID_HISTORY, 0),
        (invariants.check_resumes, RESUMED_TWICE, 1),
        (invariants.check_resumes, RESUMED_AT_OTHER_PROGRESS, 1),
        (
            lambda h: invariants.check_capacity(h, {"worker-1": Resources(**TASK_RESOURCES)}),
            OVER_CAPACITY,
            1,
        ),
        (
            lambda h: invariants.check_capacity(h, {"worker-1": Resources(**TASK_RESOURCES)}),
            DECREASING_ATTEMPTS,
            0,
        ),
        (lambda h: invariants.check_data_centre_out(h, ["worker-2"], 2.5, 9.0), VALID_HISTORY, 1),
        (lambda h: invariants.check_data_centre_out(h, ["worker-1"], 2.5, 9.0), VALID_HISTORY, 0),
    ],
)
def test_history_check_detects_its_violation(check, history, violations):
    """Guards against a check that passes for every history of the runtime."""
    assert len(check(history)) == violations


@pytest.mark.parametrize(
    ("check", "records", "violations"),
    [
        (invariants.check_at_most_once, [request("a"), request("a")], 1),
        (invariants.check_at_most_once, [request("a", "GET"), request("a", "GET")], 0),
        (lambda r: invariants.check_not_run(r, [("a", 5.0)]), [request("a", started=6.0)], 1),
        (lambda r: invariants.check_not_run(r, [("b", 5.0)]), [request("a")], 0),
        (lambda r: invariants.check_not_run(r, [("a", 5.0)], "a"), [request("a", started=6.0)], 0),
        (lambda r: invariants.check_not_run(r, [("a", 5.0)], "a"), [request("a", started=4.0)], 1),
        (lambda r: invariants.check_no_new_work(r, 5.0), [request("a", started=6.0)], 1),
    ],
)
def test_request_check_detects_its_violation(check, records, violations):
    """Guards against a check that passes for all request records of the targets."""
    assert len(check(records)) == violations


def test_result_check_detects_lost_items_and_failed_jobs():
    """Guards against a check that misses lost items or a failed job."""
    job = {"job_id": "j", "state": "finished", "tasks": [{"index": 0, "result": {"items": 2}}]}
    assert len(invariants.check_results(job, [(3, 10)])) == 1
    assert len(invariants.check_results({**job, "state": "failed"}, [(3, 10)])) == 1


def test_revision_check_detects_a_decrease():
    """Guards against a check that misses a process that returns to an older revision."""
    observed = [(1.0, "entry-1", 4), (2.0, "entry-2", 3), (3.0, "entry-1", 3)]
    assert len(invariants.check_revisions(observed)) == 1

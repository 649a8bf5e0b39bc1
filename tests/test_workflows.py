"""Tests of pool state, workflow submissions and queues."""

import json

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip.exceptions import InvalidMessageError, JobError
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.steps import MAX_STEP_TASKS, MAX_STEPS, StepSpec, WorkflowSpec
from mulberryslip.workflows import (
    InterferenceEstimated,
    Pool,
    RunAssigned,
    RunCheckpointed,
    RunEnded,
    RunOutcome,
    WorkflowCancelled,
    WorkflowsExpired,
    accepted_event,
    decode_event,
    encode_event,
)

QUEUE = Queue("q", max_attempts=2)
STEPS = (StepSpec(2), StepSpec(1, after=(0,)), StepSpec(1, lasting=True, after=(0,)))


def workflow_accepted(name, *steps):
    return accepted_event(name, QUEUE, WorkflowSpec("p", steps or (StepSpec(),)), 1000)


def run_assigned(task, run=1):
    return RunAssigned(task, run, "w", "1@w", "m", 5000)


def run_ended(task, outcome, run=1, checkpoint=""):
    return RunEnded(task, run, outcome.value, 2000, checkpoint)


def ready_names(pool):
    return [task.name for task in pool.ready()]


def replayed(pool, events):
    """Return the pool that the next owner reads from a journal of the events."""
    read = Pool()
    for event in events:
        read.apply(decode_event(json.loads(json.dumps(encode_event(event)))))
    read.publish()
    return read


def restored(pool, events):
    """Return the pool that the next owner reads from a snapshot."""
    return Pool.from_snapshot(json.loads(json.dumps(pool.to_snapshot())))


def restored_from_earlier_build(pool, events):
    """Return the pool that the next owner reads from a snapshot without the key `started`."""
    snapshot = pool.to_snapshot()
    del snapshot["started"]
    return Pool.from_snapshot(json.loads(json.dumps(snapshot)))


def test_steps_become_ready_in_order():
    """Guards against a task that becomes ready before all steps that it depends on are done."""
    pool = Pool()
    pool.apply(workflow_accepted("a", *STEPS))
    assert ready_names(pool) == ["a/0/0/0", "a/0/0/1"]
    for task in ("a/0/0/0", "a/0/0/1"):
        assert ready_names(pool) in (["a/0/0/0", "a/0/0/1"], ["a/0/0/1"])
        pool.apply(run_assigned(task))
        pool.apply(run_ended(task, RunOutcome.DONE))
    assert ready_names(pool) == ["a/0/1/0", "a/0/2/0"]


@pytest.mark.parametrize(
    ("outcome", "is_ready", "failures"),
    [
        (RunOutcome.DONE, False, 0),
        (RunOutcome.FAILED, True, 1),
        (RunOutcome.STOPPED, True, 0),
        (RunOutcome.LAPSED, True, 0),
        (RunOutcome.UNSTARTED, True, 0),
        (RunOutcome.LOST, True, 0),
    ],
)
def test_end_of_a_run(outcome, is_ready, failures):
    """Guards against counting an attempt as failed when the run ended for another reason."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    task = pool.task("a/0/0/0")
    pool.apply(run_assigned(task.name))
    assert pool.apply(run_ended(task.name, outcome, checkpoint="c1"))
    assert (task.name in ready_names(pool)) is is_ready
    assert task.failures == failures
    assert pool.workers_with_runs() == []
    if is_ready:
        assert task.checkpoint == "c1"


@pytest.mark.parametrize(
    ("outcome", "waiting_since_ms"),
    [
        (RunOutcome.FAILED, 2000),
        (RunOutcome.STOPPED, 2000),
        (RunOutcome.LAPSED, 2000),
        (RunOutcome.UNSTARTED, 1000),
        (RunOutcome.LOST, 2000),
    ],
)
def test_run_that_was_not_started_does_not_end_the_wait(outcome, waiting_since_ms):
    """Guards against limits by waiting time that begin anew with each refused start."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    task = pool.task("a/0/0/0")
    pool.apply(run_assigned(task.name))
    pool.apply(run_ended(task.name, outcome))
    assert task.waiting_since_ms == waiting_since_ms
    assert Pool.from_snapshot(pool.to_snapshot()).task(task.name).waiting_since_ms == (
        waiting_since_ms
    )


@pytest.mark.parametrize(
    "event",
    [
        run_assigned("a/0/0/0", run=2),
        run_assigned("a/0/0/9"),
        run_ended("a/0/0/0", RunOutcome.DONE),
        RunCheckpointed("a/0/0/0", 1, "c"),
        WorkflowsExpired(("a",)),
        WorkflowCancelled("b", 1),
        workflow_accepted("a"),
    ],
)
def test_outdated_event_changes_nothing(event):
    """Guards against a late or repeated event that changes the state."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    before = pool.to_snapshot()
    assert not pool.apply(event)
    assert pool.to_snapshot() == before


def test_cancelled_workflow_holds_capacity_until_its_runs_have_ended():
    """Guards against allocating the capacity of a run that is still being stopped."""
    pool = Pool()
    pool.apply(workflow_accepted("a", *STEPS))
    pool.apply(run_assigned("a/0/0/0"))
    pool.apply(WorkflowCancelled("a", 3000))
    assert (ready_names(pool), pool.workers_with_runs()) == ([], ["w"])
    pool.apply(run_ended("a/0/0/0", RunOutcome.DONE))
    assert (ready_names(pool), pool.workers_with_runs()) == ([], [])
    assert pool.workflows["a"].state == "cancelled"


def test_state_is_shown_only_after_the_commit():
    """Guards against reporting an end to a caller before it is committed to the journal."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    assert pool.workflows["a"].shown == ""
    assert [workflow.shown for workflow in pool.publish()] == ["queued"]
    pool.apply(run_assigned("a/0/0/0"))
    pool.apply(run_ended("a/0/0/0", RunOutcome.DONE))
    assert pool.workflows["a"].shown == "queued"
    assert [workflow.shown for workflow in pool.publish()] == ["completed"]
    assert pool.publish() == []


@pytest.mark.parametrize("restore", [replayed, restored, restored_from_earlier_build])
@pytest.mark.parametrize(
    ("events", "state"),
    [
        ([], "queued"),
        ([run_ended("a/0/0/0", RunOutcome.UNSTARTED)], "queued"),
        ([run_ended("a/0/0/0", RunOutcome.LOST)], "queued"),
        ([RunCheckpointed("a/0/0/0", 1, "c")], "running"),
        ([run_ended("a/0/0/0", RunOutcome.FAILED)], "running"),
        ([run_ended("a/0/0/0", RunOutcome.DONE)], "running"),
    ],
)
def test_only_started_runs_begin_a_workflow(events, state, restore):
    """Guards against a workflow that shows as running after its only run has never started."""
    events = [workflow_accepted("a", *STEPS), run_assigned("a/0/0/0"), *events]
    pool = Pool()
    for event in events:
        assert pool.apply(event)
    pool.publish()
    for known in (pool, restore(pool, events)):
        assert known.workflows["a"].shown == state
        assert known.waiting("q") == (state == "queued")


def test_observed_start_survives_in_the_snapshot():
    """Guards against a workflow that waits again under the next owner after it has begun."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    pool.apply(run_assigned("a/0/0/0"))
    pool.record_start(pool.task("a/0/0/0"))
    pool.apply(run_ended("a/0/0/0", RunOutcome.LAPSED))
    assert restored(pool, []).workflows["a"].shown == "running"


OUTCOMES = list(RunOutcome)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9), st.sampled_from(OUTCOMES))))
def test_snapshot_and_journal_give_the_same_state(operations):
    """Guards against a new owner whose state differs from that of the previous one."""
    pool, events = Pool(), []

    def record(event):
        if pool.apply(event):
            events.append(encode_event(event))

    for number in range(2):
        record(workflow_accepted(f"a{number}", *STEPS))
    for kind, number, outcome in operations:
        ready = pool.ready()
        held = pool.active_tasks("w")
        if kind < 2 and ready:
            task = ready[number % len(ready)]
            record(run_assigned(task.name, task.run + 1))
        elif kind == 2 and held:
            task = held[number % len(held)]
            record(run_ended(task.name, outcome, task.run, "c"))
        elif kind == 3 and number == 0:
            record(WorkflowCancelled("a0", 4000))
        elif kind == 3:
            record(InterferenceEstimated("x", f"p{number % 3}", 1000 * number, 500))
    state = json.loads(json.dumps(pool.to_snapshot()))
    replayed = Pool()
    for raw in json.loads(json.dumps(events)):
        replayed.apply(decode_event(raw))
    assert replayed.to_snapshot() == pool.to_snapshot()
    restored = Pool.from_snapshot(state)
    assert json.loads(json.dumps(restored.to_snapshot())) == state
    assert sorted(ready_names(restored)) == sorted(ready_names(pool))
    assert sorted(restored.workers_with_runs()) == sorted(pool.workers_with_runs())
    assert {n: w.shown for n, w in restored.workflows.items()} == {
        n: w.state for n, w in pool.workflows.items()
    }


@pytest.mark.parametrize(
    "raw",
    [
        None,
        {},
        {"workflows": [[]], "ended": [], "pressures": []},
        {"workflows": 5},
        {"workflows": [], "ended": []},
        {"workflows": [], "ended": [], "pressures": [{"f": "x"}]},
    ],
)
def test_damaged_snapshot_is_refused(raw):
    """Guards against an owner that starts with a partly restored state."""
    with pytest.raises(InvalidMessageError):
        Pool.from_snapshot(raw)


@pytest.mark.parametrize("raw", [{"e": "unknown"}, {"e": 5}, {"e": "cancelled"}, {}])
def test_damaged_event_is_refused(raw):
    """Guards against partly applying a record of a newer version."""
    with pytest.raises(InvalidMessageError):
        decode_event(raw)


@pytest.mark.parametrize(
    "change",
    [
        {"steps": ()},
        {"steps": (StepSpec(),) * (MAX_STEPS + 1)},
        {"steps": (StepSpec(0),)},
        {"steps": (StepSpec(MAX_STEP_TASKS + 1),)},
        {"steps": (StepSpec(after=(0,)),)},
        {"payload": 5},
        {"payload": "\ud800"},
        {"occurrences": -1},
    ],
)
def test_submission_is_checked(change):
    """Guards against a workflow that can never end or that exceeds the size of a record."""
    with pytest.raises(JobError):
        attrs.evolve(WorkflowSpec("p", (StepSpec(),)), **change).check()


def test_submission_survives_its_json_form():
    """Guards against a field that is lost between the gateway and the owner."""
    step = StepSpec(3, 500, 256, 1, 900, (), True, False, False, "l", "r", 2, True, image="i")
    spec = WorkflowSpec("p", (step, StepSpec(after=(0,), lasting=True, target_ms=5, may_miss=1)))
    assert WorkflowSpec.from_json(spec.to_json()) == spec


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"payload": "p", "steps": [{"colour": 1}]}'])
def test_damaged_submission_is_refused(text):
    """Guards against running a workflow that the caller did not specify."""
    with pytest.raises(JobError):
        WorkflowSpec.from_json(text)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("h", "/a/1", "short"),
        ("h", "/a/b/1", "long"),
        ("other", "/a/b/1", None),
        ("other", "/any/1", "any"),
        ("h", "/c/1", None),
    ],
)
def test_longest_prefix_selects_the_queue(host, path, expected):
    """Guards against accepting a workflow into a different queue than the caller addressed."""
    queues = [Queue("short", "h", "/a/"), Queue("long", "h", "/a/b/"), Queue("any", "", "/any/")]
    found = PoolConfig.from_queues(1, queues).match(host, path)
    assert (found.name if found else None) == expected

"""Tests of jobs, attempts and claims: random histories, a naive model, snapshots and decoding."""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import Resources, TaskKey
from mulberryslip import jobs as jobs_module
from mulberryslip.configs import ConfigView
from mulberryslip.exceptions import InvalidMessageError, JobConflictError, JobError, ShardFullError
from mulberryslip.jobs import CLAIM_RETENTION, MAX_CLAIMS, RETENTION, Shard
from mulberryslip.submissions import MAX_TASKS
from mulberryslip.tasks import MAX_WORKER_LOSSES, Task
from mulberryslip.transitions import (
    EVENT_TYPE_BY_CODE,
    AttemptAssigned,
    AttemptCheckpointed,
    AttemptEvicted,
    AttemptFailed,
    AttemptFinished,
    AttemptLost,
    AttemptStarted,
    AttemptSuspended,
    AttemptUnstarted,
    ClaimReleased,
    JobCancelled,
    JobFailed,
    RequestClaimed,
    decode_event,
    encode_event,
)

CONFIG = ConfigView.from_json(
    json.dumps(
        {
            "revision": 1,
            "accounts": {"acct": {"cpu_millis": 1, "memory_mb": 1}},
            "templates": {
                "recon": {"class": "batch", "account": "acct", "parameters": {"max_attempts": 3}},
                "check": {"class": "service", "account": "acct"},
            },
        }
    ).encode()
)
WORKERS = ("w0", "w1", "w2")


def body(tasks=1, template="recon", **more):
    tasks = [{"input": {"n": n}} for n in range(tasks)]
    return json.dumps({"template": template, "tasks": tasks, **more}).encode()


def shard_with(job_id="j", tasks=1):
    shard = Shard()
    for event in shard.submit(job_id, body(tasks), CONFIG, 0):
        assert shard.apply(event)
    return shard


def random_event(rng, shard, at_ms):
    """Return an event that may match the state or be stale."""
    job_id = rng.choice(list(shard.jobs))
    index = rng.randrange(3)
    task = shard.task(TaskKey(job_id, index))
    attempt = max(0, task.attempt + rng.choice([0, 0, 0, 0, 0, -1, 1]))
    checkpoint = rng.choice(["", f"cp-{at_ms}", task.consumed, task.checkpoint])
    attempt_id = (job_id, index, attempt)
    if rng.random() < 0.4:
        resumed_from = rng.choice([task.checkpoint] * 4 + ["cp-other"])
        return AttemptAssigned(job_id, index, attempt + 1, rng.choice(WORKERS), resumed_from)
    chosen = rng.choices(
        [
            AttemptUnstarted(*attempt_id, "refused"),
            AttemptStarted(*attempt_id, at_ms),
            AttemptCheckpointed(*attempt_id, checkpoint),
            AttemptEvicted(*attempt_id, checkpoint, "moved"),
            AttemptSuspended(*attempt_id, checkpoint, "lease"),
            AttemptLost(*attempt_id, "gone", at_ms),
            AttemptFinished(*attempt_id, f'"{at_ms}"', at_ms),
            AttemptFailed(*attempt_id, "exit 1", rng.random() < 0.7, at_ms),
            JobCancelled(job_id, "asked", at_ms),
            JobFailed(job_id, "never_fits", at_ms),
        ],
        [3, 8, 8, 5, 3, 3, 3, 3, 0.2, 0.1],
    )
    return chosen[0]


class NaiveModel:
    """Checks every applied event against the rules and records what it implies."""

    def __init__(self):
        self.current = {}
        self.newest = {}
        self.results = {}
        self.reported_checkpoints = {}
        self.consumed_checkpoints = set()

    def check(self, event, shard):
        if isinstance(event, JobCancelled | JobFailed):
            for task in shard.jobs[event.job_id].tasks:
                if task.is_terminal:
                    self.current.pop((event.job_id, task.index), None)
            return
        key = (event.job_id, event.index)
        if isinstance(event, AttemptAssigned):
            assert key not in self.current, "two current attempts"
            assert event.attempt > self.newest.get(key, 0), "the attempt number does not increase"
            assert not event.checkpoint or event.checkpoint in self.reported_checkpoints[key], (
                "the checkpoint is not from this task"
            )
            assert event.checkpoint not in self.consumed_checkpoints - {""}, (
                "a checkpoint is used twice"
            )
            self.current[key] = (event.attempt, event.worker_id, event.checkpoint)
            self.newest[key] = event.attempt
            self.consumed_checkpoints.add(event.checkpoint)
            return
        number, _, consumed = self.current[key]
        assert event.attempt == number, "the attempt is not the current one"
        self.reported_checkpoints.setdefault(key, set()).add(getattr(event, "checkpoint", ""))
        if isinstance(event, AttemptUnstarted):
            self.consumed_checkpoints.discard(consumed)
        if isinstance(event, AttemptFinished):
            assert key not in self.results, "a second result"
            self.results[key] = event.result
        if not isinstance(event, AttemptStarted | AttemptCheckpointed):
            del self.current[key]


def run_history(seed, steps=600):
    rng = random.Random(seed)
    shard = Shard()
    model = NaiveModel()
    journal = []
    for number in range(4):
        journal += shard.submit(f"j{number}", body(3), CONFIG, number)
        shard.apply(journal[-1])
    for at_ms in range(1, steps):
        event = random_event(rng, shard, at_ms)
        journal.append(event)
        if shard.apply(event):
            model.check(event, shard)
    return shard, model, journal


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_follow_the_rules(seed):
    """Guards against two current attempts, two results, or a checkpoint used twice."""
    shard, model, _ = run_history(seed)
    for job in shard.jobs.values():
        for task in job.tasks:
            expected = model.results.get((job.job_id, task.index), "")
            assert task.result == expected
    held = {
        (a.key.job_id, a.key.index)
        for w in shard.workers_with_attempts()
        for a, _ in shard.current_attempts(w)
    }
    assert held == set(model.current)


def queue_with_consumed_checkpoint(task, reason):
    task.checkpoint = task.newest or task.consumed
    task.newest = task.consumed = ""
    task._set_phase(jobs_module.TaskPhase.QUEUED, reason)


@pytest.mark.parametrize(
    ("method", "broken"),
    [
        ("is_current", lambda task, attempt: True),
        ("_enqueue", queue_with_consumed_checkpoint),
        ("finish", lambda task, attempt, result: setattr(task, "result", result) is None),
    ],
)
def test_random_histories_detect_a_broken_rule(monkeypatch, method, broken):
    """Checks that the test above fails when any of these rules is broken."""
    monkeypatch.setattr(Task, method, broken)
    with pytest.raises((AssertionError, KeyError)):
        for seed in range(40):
            test_random_histories_follow_the_rules(seed)


@pytest.mark.parametrize("seed", range(20))
def test_snapshot_and_replay_give_the_live_state(seed):
    """Guards against state that cannot be restored from the snapshot and the journal."""
    rng = random.Random(seed)
    live, _, journal = run_history(seed)
    snapshot_at = rng.randrange(4, len(journal))
    shard = Shard()
    for event in journal[:snapshot_at]:
        shard.apply(event)
    shard = Shard.from_snapshot(json.loads(json.dumps(shard.to_snapshot())))
    for event in journal[snapshot_at:]:
        shard.apply(decode_event(json.loads(json.dumps(encode_event(event)))))
    assert shard.to_snapshot() == live.to_snapshot()
    assert [key for key, _ in shard._queued.items()] == [key for key, _ in live._queued.items()]
    assert held_by_worker(shard) == held_by_worker(live)


def held_by_worker(shard):
    return {
        worker: dict(shard.current_attempts(worker)) for worker in shard.workers_with_attempts()
    }


def assign(shard, worker="w0"):
    events = shard.assign(TaskKey("j", 0), worker)
    assert shard.apply(events[0])
    return ("j", 0, events[0].attempt)


@pytest.mark.parametrize(
    ("end", "checkpoint"),
    [
        (lambda attempt_id: AttemptEvicted(*attempt_id, "new", "moved"), "new"),
        (lambda attempt_id: AttemptEvicted(*attempt_id, "", "moved"), "mid"),
        (lambda attempt_id: AttemptSuspended(*attempt_id, "new", "lease"), "new"),
        (lambda attempt_id: AttemptLost(*attempt_id, "gone", 1), "mid"),
        (lambda attempt_id: AttemptFailed(*attempt_id, "exit 1", True, 1), "mid"),
    ],
)
def test_next_attempt_resumes_from_the_newest_checkpoint(end, checkpoint):
    """Guards against losing work for which a checkpoint was reported."""
    shard = shard_with()
    attempt_id = assign(shard)
    shard.apply(AttemptCheckpointed(*attempt_id, "mid"))
    shard.apply(end(attempt_id))
    assert shard.assign(TaskKey("j", 0), "w1")[0].checkpoint == checkpoint


@pytest.mark.parametrize(
    ("end", "limit", "reason"),
    [
        (
            lambda attempt_id: AttemptFailed(*attempt_id, "exit 1", True, 9),
            3,
            "failed 3 times, last: exit 1",
        ),
        (
            lambda attempt_id: AttemptLost(*attempt_id, "gone", 9),
            MAX_WORKER_LOSSES + 1,
            "without progress: gone",
        ),
    ],
)
def test_attempts_are_bounded_and_the_failure_has_a_reason(end, limit, reason):
    """Guards against a task that is retried forever, and a failed job without a reason."""
    shard = shard_with()
    for _ in range(limit):
        assert shard.jobs["j"].state != "failed"
        shard.apply(end(assign(shard)))
    assert shard.jobs["j"].state == "failed"
    assert reason in shard.jobs["j"].reason
    assert shard.assign(TaskKey("j", 0), "w0") == []


def test_uncounted_failures_do_not_use_up_attempts():
    """Guards against a job that fails because of attempts on a quarantined worker."""
    shard = shard_with()
    for _ in range(9):
        shard.apply(AttemptFailed(*assign(shard), "exit 1", False, 1))
    assert shard.jobs["j"].state == "queued"
    assert shard.task(TaskKey("j", 0)).failed_on == ("w0",)


def test_job_is_queued_until_a_task_has_started():
    """Guards against a job that is shown as running while its tasks are only assigned."""
    shard = shard_with(tasks=2)
    assert shard.jobs["j"].state == "queued"
    attempt = assign(shard)
    assert shard.jobs["j"].state == "queued"
    shard.apply(AttemptStarted(*attempt, 5))
    assert shard.jobs["j"].state == "running"
    shard.apply(AttemptFinished(*attempt, "{}", 6))
    assert shard.jobs["j"].state == "running"


def test_job_ids_are_used_for_one_body():
    """Guards against running a resubmitted job twice, and against ignoring a different body."""
    shard = shard_with(tasks=2)
    spaced = json.dumps(json.loads(body(2)), indent=3).encode()
    assert shard.submit("j", spaced, CONFIG, 5) == []
    with pytest.raises(JobConflictError):
        shard.submit("j", body(3), CONFIG, 5)


@pytest.mark.parametrize(
    ("job_id", "raw"),
    [
        ("", body()),
        ("a/b", body()),
        ("a\n", body()),
        ("j", b""),
        ("j", b"[1]"),
        ("j", b"{"),
        ("j", b"[" * 100_000),
        ("j", body(0)),
        ("j", body(MAX_TASKS + 1)),
        ("j", body(template="")),
        ("j", body(template="none")),
        ("j", body(template="check")),
        ("j", body(more=1)),
        ("j", b'{"template":"recon","tasks":[{"input":NaN}]}'),
        ("j", b'{"template":"recon","tasks":[{"input":"\\ud800"}]}'),
        ("j", b'{"template":"recon","tasks":[{}]}'),
    ],
)
def test_invalid_submissions_are_refused(job_id, raw):
    """Guards against a caller's body that makes the journal unwritable or unreadable."""
    with pytest.raises(JobError):
        Shard().submit(job_id, raw, CONFIG, 0)


def test_ended_jobs_are_dropped_after_their_retention():
    """Guards against unbounded growth, and against dropping a job that must still be readable."""
    shard = shard_with()
    shard.apply(AttemptFinished(*assign(shard), "1", 1000))
    expiry_ms = 1000 + int(RETENTION.total_seconds() * 1000)
    assert shard.expire(expiry_ms - 1) == []
    for event in shard.expire(expiry_ms):
        shard.apply(event)
    assert shard.jobs == {}
    assert shard_with().expire(10 * expiry_ms) == []


def test_claims_are_kept_for_ten_minutes_and_bounded(monkeypatch):
    """Guards against a request that runs twice, and against memory that grows with requests."""
    monkeypatch.setattr(jobs_module, "MAX_CLAIMS", 3)
    shard = Shard()
    expiry = int(CLAIM_RETENTION.total_seconds() * 1000)
    for number in range(3):
        assert shard.apply(*shard.claim(f"q{number}", "w0", number))
    assert shard.claim("q0", "w1", expiry - 1) == []
    assert not shard.apply(RequestClaimed("q0", "w1", expiry - 1))
    with pytest.raises(ShardFullError):
        shard.claim("q3", "w0", expiry - 1)
    assert shard.apply(*shard.claim("q0", "w1", expiry))
    assert shard.find_claim("q0", expiry).worker_id == "w1"
    assert shard.apply(ClaimReleased("q1"))
    assert MAX_CLAIMS == 8192


EVENTS = [event for seed in range(3) for event in run_history(seed, 120)[2]]
SNAPSHOT = run_history(1)[0].to_snapshot()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)


@given(st.sampled_from(EVENTS), st.data())
@settings(derandomize=True, deadline=None, max_examples=400)
def test_damaged_events_are_refused_or_harmless(event, data):
    """Guards against an unexpected exception in an owner on a damaged or newer journal."""
    raw = encode_event(event)
    assert decode_event(raw) == event
    key = data.draw(st.sampled_from(sorted(raw)) | st.text(max_size=3))
    raw[key] = data.draw(JSON)
    try:
        Shard.from_snapshot(SNAPSHOT).apply(decode_event(raw))
    except InvalidMessageError:
        return
    assert decode_event(encode_event(decode_event(raw))) == decode_event(raw)


@given(st.data())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_damaged_snapshots_are_refused_or_usable(data):
    """Guards against a shard that starts from a partial state."""
    raw = json.loads(json.dumps(SNAPSHOT))
    place = raw
    for _ in range(data.draw(st.integers(0, 4))):
        if not isinstance(place, dict | list) or not place:
            break
        key = data.draw(
            st.sampled_from(sorted(place) if isinstance(place, dict) else range(len(place)))
        )
        parent, place = place, place[key]
        if data.draw(st.booleans()):
            parent[key] = data.draw(JSON)
            break
    try:
        shard = Shard.from_snapshot(raw)
    except InvalidMessageError:
        return
    assert Shard.from_snapshot(shard.to_snapshot()).to_snapshot() == shard.to_snapshot()


@pytest.mark.parametrize(
    "raw", [None, [], "x", {}, {"e": "newer"}, {"e": 1}, {"e": ["x"]}, {"e": "lost"}]
)
def test_unknown_events_are_refused(raw):
    """Guards against skipping an event of a newer version."""
    with pytest.raises(InvalidMessageError):
        decode_event(raw)
    assert len(EVENT_TYPE_BY_CODE) == 15
    with pytest.raises(InvalidMessageError):
        Shard().apply(Resources())

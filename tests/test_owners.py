"""The shard owner against workers in memory: starts, takeovers, losses, moves."""

import contextlib
import json
import random
import threading
import time

import attrs
import pytest
from mulberryslip import SystemClock
from mulberryslip.actions import Action, ActionKind
from mulberryslip.evacuations import Evacuations
from mulberryslip.exceptions import FencedError, NotSentError, ReplyLostError
from mulberryslip.jobs import Shard
from mulberryslip.quotas import Quotas
from mulberryslip.wire import ttypes as wire
from mulberryslipd.sources import ConfigSource
from mulberryslipd.tenures import LeaseTimes
from shard_doubles import (
    SECOND,
    Cluster,
    CrashError,
    FakeChannels,
    FakeWorker,
    header,
    status,
    submit,
)


def test_job_runs_to_its_result():
    """Guards against any break in the way from submission to result."""
    cluster = Cluster()
    owner = cluster.owner()
    assert submit(owner, tasks=5).outcome == wire.Outcome.OK
    cluster.run(owner, 2)
    assert len(cluster.running()) == 5
    cluster.finish()
    cluster.run(owner, 2)
    state = status(owner)
    assert state["state"] == "finished"
    assert [task["result"] for task in state["tasks"]] == [{"sum": 1}] * 5
    assert [worker.held for worker in cluster.workers] == [{}, {}, {}]
    cluster.check_history()


def crash():
    raise CrashError


def crash_at(cluster, owner, point):
    """Run the owner until its process ends at a point of its calls to workers."""
    cluster.channels.hooks[point] = crash
    cluster.run(owner, 1)
    cluster.channels.hooks.clear()


@pytest.mark.parametrize("seconds_between", [0, 2, 30])
@pytest.mark.parametrize(
    "point", ["before reserve", "after reserve", "before start", "after start"]
)
def test_takeover_during_a_start_neither_loses_nor_doubles_a_task(point, seconds_between):
    """Guards against a task that is forgotten or started twice when its owner dies in a start."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner, tasks=6)
    crash_at(cluster, owner, point)
    cluster.clock.advance(seconds_between * SECOND)
    owner = cluster.replace_owner()
    cluster.run(owner, 10)
    assert sorted(attempt.key.index for attempt, _ in cluster.running()) == list(range(6))
    cluster.finish()
    cluster.run(owner, 2)
    assert status(owner)["state"] == "finished"
    cluster.check_history()


class ForgetfulWorker(FakeWorker):
    """Does not remember the highest epoch."""

    def call(self, method, req):
        self.epoch = 0
        return super().call(method, req)


def delayed_start(worker_class):
    """Deliver a start of an owner that was replaced, after its successor has taken over."""
    cluster = Cluster(workers=1, worker_class=worker_class)
    owner = cluster.owner()
    submit(owner)
    delayed = []

    def hold_back(method, req):
        if method == "start":
            delayed.append(req)
            raise ReplyLostError("delayed")

    cluster.channels.filter = hold_back
    cluster.run(owner, 1)
    cluster.channels.filter = None
    owner = cluster.replace_owner()
    owner.supervise()
    cluster.workers[0].call("start", delayed[0])
    return cluster, owner


def test_delayed_start_of_a_replaced_owner_is_refused():
    """Guards against a start that was under way while the shard changed its owner."""
    cluster, owner = delayed_start(FakeWorker)
    assert cluster.running() == []
    cluster.run(owner, 10)
    assert len(cluster.running()) == 1
    cluster.check_history()


def test_delayed_start_test_finds_a_worker_without_epochs():
    """Shows that the test above depends on the epoch."""
    cluster, _ = delayed_start(ForgetfulWorker)
    assert len(cluster.running()) == 1


def isolate(times=None, **state):
    """Cut the worker of a running task off, and let the owner go on."""
    cluster = Cluster()
    owner = cluster.owner(times=times)
    submit(owner)
    cluster.run(owner, 2)
    _, worker_id = cluster.running()[0]
    worker = next(w for w in cluster.workers if w.id == worker_id)
    for name, value in state.items():
        setattr(worker, name, value)
    return cluster, owner, worker


@pytest.mark.parametrize("state", [{"reachable": False}, {"answers": False}])
def test_task_of_an_unreachable_worker_waits_for_its_leases(state):
    """Guards against a second run while the first worker may still hold its leases."""
    cluster, owner, worker = isolate(**state)
    cluster.run(owner, 15)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    cluster.run(owner, 40)
    assert len(cluster.running()) == 1
    assert cluster.running()[0][1] != worker.id
    cluster.check_history()


def test_unreachable_worker_test_finds_a_wait_that_is_too_short():
    """Shows that the test above depends on the waiting time."""
    cluster, owner, _ = isolate(LeaseTimes(task_lease=5 * SECOND), reachable=False)
    cluster.workers[0].lease_until += 20 * SECOND
    cluster.workers[1].lease_until += 20 * SECOND
    cluster.workers[2].lease_until += 20 * SECOND
    cluster.run(owner, 20)
    with pytest.raises(AssertionError, match="two places"):
        cluster.check_history()


def test_takeover_waits_for_an_unreachable_worker_from_its_claim():
    """Guards against a new owner that restarts tasks which the previous owner renewed until now."""
    cluster, _, worker = isolate(reachable=False)
    owner = cluster.replace_owner()
    cluster.run(owner, 18)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    cluster.run(owner, 30)
    assert len(cluster.running()) == 1
    cluster.check_history()


def test_returning_worker_keeps_its_task():
    """Guards against moving a task whose worker was away for less than its leases."""
    cluster, owner, worker = isolate(reachable=False)
    cluster.run(owner, 12)
    worker.reachable = True
    cluster.run(owner, 40)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    assert len(cluster.history) == 1


def test_restarted_worker_without_its_task_loses_it_at_once():
    """Guards against waiting for leases when the worker itself says that the task is gone."""
    cluster, owner, worker = isolate()
    cluster.finish()
    worker.held.clear()
    cluster.run(owner, 4)
    assert len(cluster.running()) == 1
    assert cluster.running()[0][0].number == 2


class CachedSource(ConfigSource):
    """Answers from memory instead of reading the store."""

    def refresh(self):
        return self.view() or super().refresh()


@pytest.mark.parametrize(
    ("source_class", "data_centre"), [(ConfigSource, "yes"), (CachedSource, "no")]
)
def test_data_centre_taken_out_between_reserve_and_start(source_class, data_centre):
    """Guards against a start in a data centre that was taken out; shows the need for the read."""
    cluster = Cluster(workers=2, data_centres=("yes", "no"), source_class=source_class)
    owner = cluster.owner()
    cluster.workers[0].reservations = dict.fromkeys(range(8), (None, 10 * SECOND))
    submit(owner)
    cluster.channels.hooks["after reserve"] = lambda: cluster.set_config({"yes": "in", "no": "out"})
    cluster.announce()
    owner.step()
    started = [cluster.workers[int(worker[1:])] for _, worker in cluster.running()]
    assert [w.description.data_centre for w in started] == ([] if data_centre == "yes" else ["no"])


def test_poison_job_fails_on_different_workers_and_leaves_them_their_standing():
    """Guards against endless tries, and against workers that are blamed for a bad job."""
    cluster = Cluster(workers=6)
    owner = cluster.owner()
    for worker in cluster.workers:
        worker.fails = lambda key: key.job_id.startswith("bad")
    for number in range(8):
        submit(owner, f"bad{number}")
        submit(owner, f"good{number}")
    for _ in range(12):
        cluster.run(owner, 1)
        cluster.finish()
    for number in range(8):
        assert status(owner, f"good{number}")["state"] == "finished"
        bad = status(owner, f"bad{number}")
        assert bad["state"] == "failed"
        assert "failed 4 times, last: exit 1" in bad["reason"]
        tried = {w for kind, a, w, *_ in cluster.history if a.key.job_id == f"bad{number}"}
        assert len(tried) == 4
    cluster.run(owner, 40)
    assert not [view for view in cluster.fleet.workers() if view.quarantined]
    cluster.check_history()


def test_bad_worker_is_quarantined_and_fails_no_job():
    """Guards against a worker that fails everything at once and so attracts all tasks."""
    cluster = Cluster(workers=5)
    owner = cluster.owner()
    cluster.workers[0].fails = lambda key: True
    for number in range(30):
        submit(owner, f"j{number}")
    for _ in range(20):
        cluster.run(owner, 1)
        cluster.finish()
    assert {status(owner, f"j{number}")["state"] for number in range(30)} == {"finished"}
    quarantined = [v.description.worker_id for v in cluster.fleet.workers() if v.quarantined]
    assert quarantined == ["w0"]


def test_cancellation_ends_queued_and_running_tasks_at_once():
    """Guards against cancelled tasks that run on, start later, or deliver a result."""
    cluster = Cluster(workers=1)
    owner = cluster.owner()
    submit(owner, tasks=12)
    cluster.run(owner, 2)
    assert len(cluster.running()) == 8
    reply = owner.cancel(wire.JobRequest(header(), "j", b""))
    assert json.loads(reply.body)["state"] == "cancelled"
    assert cluster.running() == []
    cluster.run(owner, 5)
    assert cluster.running() == []
    assert status(owner)["reason"] == "task 0: cancelled by the caller"
    assert cluster.workers[0].held == {}


def test_result_of_a_cancelled_or_lost_attempt_is_acknowledged_but_not_kept():
    """Guards against a late result that replaces the state of a job, and endless reports of it."""
    cluster = Cluster(workers=1)
    owner = cluster.owner()
    submit(owner)
    cluster.run(owner, 2)
    cluster.workers[0].reachable = False
    owner.cancel(wire.JobRequest(header(), "j", b""))
    cluster.finish()
    cluster.workers[0].reachable = True
    cluster.run(owner, 7)
    assert status(owner)["tasks"][0]["result"] is None
    assert cluster.workers[0].held == {}


class MoveOnce:
    """Policy that moves every running task once."""

    def __init__(self, kind):
        self.kind = kind
        self.moved = set()

    def decide(self, now, workers, running):
        new = [task for task in running if task.key not in self.moved]
        self.moved.update(task.key for task in new)
        return [Action(self.kind, task.key, task.worker_id, "test") for task in new]


@pytest.mark.parametrize(("kind", "resumed"), [(ActionKind.MOVE, True), (ActionKind.STOP, False)])
def test_moved_task_resumes_elsewhere_from_its_checkpoint(kind, resumed):
    """Guards against losing the checkpoint of a moved task, and against moving it back at once."""
    cluster = Cluster()
    owner = cluster.owner(policies=[MoveOnce(kind)])
    submit(owner, tasks=4)
    cluster.run(owner, 4)
    starts = [event for event in cluster.history if event[0] == "start"]
    first = {attempt.key: worker for _, attempt, worker, _, _ in starts[:4]}
    for _, attempt, worker, _, checkpoint in starts[4:]:
        assert attempt.number == 2
        assert worker != first[attempt.key]
        assert checkpoint == (f"cp-j-{attempt.key.index}-1" if resumed else "")
    assert len(starts) == 8
    cluster.check_history()


def test_task_that_fits_no_worker_fails_once_the_fleet_is_known():
    """Guards against a job that waits for ever, and one that fails before all workers are known."""
    cluster = Cluster(templates={"recon": {"cpu_millis": 9000}})
    owner = cluster.owner()
    submit(owner, tasks=2)
    cluster.run(owner, 29)
    assert status(owner)["state"] == "queued"
    cluster.run(owner, 3)
    assert status(owner)["state"] == "failed"
    assert "never_fits" in status(owner)["reason"]


def test_attempt_that_runs_too_long_is_stopped_before_the_next_one():
    """Guards against tasks that never end, and against two attempts at a time."""
    cluster = Cluster(templates={"recon": {"max_run_s": 5, "max_attempts": 2}})
    owner = cluster.owner()
    submit(owner)
    cluster.run(owner, 20)
    assert status(owner)["state"] == "failed"
    assert "max_run_s" in status(owner)["reason"]
    assert len([event for event in cluster.history if event[0] == "start"]) == 2
    cluster.check_history()


def test_equal_resubmission_is_the_same_job_and_another_body_a_conflict():
    """Guards against running a job twice after a caller's retry."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner, tasks=2)
    assert submit(owner, tasks=2).outcome == wire.Outcome.OK
    assert submit(owner, tasks=3).outcome == wire.Outcome.CONFLICT
    assert submit(owner, "k", template="none").outcome == wire.Outcome.INVALID
    cluster.run(owner, 2)
    assert len(cluster.running()) == 2


def test_store_outage_stops_commits_and_starts_but_not_the_tasks():
    """Guards against work that is started without a commit, and tasks that end with the store."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner, tasks=26)
    cluster.run(owner, 2)
    cluster.store.set_faults(outage="refuse")
    assert submit(owner, "k").outcome == wire.Outcome.NOT_RUN
    cluster.announce()
    assert owner.step() == 0
    cluster.finish()
    cluster.run(owner, 3, quiet=True)
    assert status(owner)["state"] == "running"
    cluster.store.set_faults(outage="")
    cluster.run(owner, 3)
    cluster.finish()
    cluster.run(owner, 3)
    assert status(owner)["state"] == "finished"


@pytest.mark.parametrize("fault", ["lose_answers", "lose_calls"])
def test_lost_store_answers_neither_lose_nor_double_a_task(fault):
    """Guards against treating a write of unknown outcome as done or as not done."""
    cluster = Cluster()
    owner = cluster.owner()
    for number in range(10):
        submit(owner, f"j{number}")
        getattr(cluster.store, fault)(1)
        cluster.run(owner, 1, quiet=True)
        cluster.finish()
        getattr(cluster.store, fault)(1)
        cluster.run(owner, 1, quiet=True)
    cluster.run(owner, 8)
    cluster.finish()
    cluster.run(owner, 3)
    assert {status(owner, f"j{number}")["state"] for number in range(10)} == {"finished"}
    cluster.check_history()


def test_owner_whose_session_is_not_valid_calls_no_worker():
    """Guards against renewing leases that a new owner does not know of."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner)
    cluster.run(owner, 2)
    cluster.sessions[-1].is_valid = False
    cluster.channels.calls.clear()
    cluster.run(owner, 5, quiet=True)
    assert cluster.channels.calls == []
    assert not owner.is_owner()
    assert submit(owner, "k").outcome == wire.Outcome.NOT_OWNER


def test_replaced_owner_commits_nothing():
    """Guards against two owners that both start tasks: the journal refuses the older one."""
    cluster = Cluster()
    old = cluster.owner()
    submit(old, tasks=2)
    new = cluster.replace_owner()
    cluster.sessions[0].is_valid = True
    with pytest.raises(FencedError):
        old.step()
    assert not old.is_owner()
    cluster.run(new, 2)
    assert len(cluster.running()) == 2
    cluster.check_history()


def test_request_id_is_claimed_once_until_released():
    """Guards against running a request again that was sent through two entries."""
    owner = Cluster().owner()
    claims = [("q", "w0"), ("q", "w1"), ("q", ""), ("q", "w2")]
    replies = [owner.claim_request(wire.ClaimRequest(header(), *claim)) for claim in claims]
    assert [(reply.outcome, reply.worker_id) for reply in replies] == [
        (wire.Outcome.OK, ""),
        (wire.Outcome.CONFLICT, "w0"),
        (wire.Outcome.OK, ""),
        (wire.Outcome.OK, ""),
    ]


def test_group_of_starts_takes_one_write():
    """Guards against a store write per task, which the store cannot take at 310 starts/s."""
    cluster = Cluster(workers=16)
    owner = cluster.owner()
    for number in range(10):
        submit(owner, f"j{number}", tasks=10)
    cluster.announce()
    before = cluster.store.call_counts()
    assert owner.step() == 100
    after = cluster.store.call_counts()
    assert after["write"] - before["write"] <= 2
    assert after["read"] - before["read"] == 1


def test_throttle_is_sent_until_the_worker_reports_it():
    """Guards against a decision of the policy that never reaches the worker."""
    cluster = Cluster(workers=1)
    owner = cluster.owner()
    submit(owner)
    cluster.run(owner, 2)
    sent = []
    cluster.channels.filter = lambda method, req: sent.append(
        [(t.task.index, t.permille) for t in req.throttles] if method == "renew" else None
    )
    key = cluster.running()[0][0].key
    action = Action(ActionKind.THROTTLE, key, "w0", "test", throttle_permille=500)
    owner._supervision.carry_out(action)
    cluster.run(owner, 2)
    cluster.workers[0].held[cluster.running()[0][0]].permille = 500
    cluster.run(owner, 2)
    renewed = [item for item in sent if item is not None]
    assert renewed[0] == [(0, 500)]
    assert renewed[-1] == []


def test_tasks_leave_a_data_centre_at_a_limited_rate_and_resume():
    """Guards against tasks that stay in a data centre that is out, or that all stop at once."""
    cluster = Cluster(workers=8, data_centres=("yes", "no"))
    owner = cluster.owner(policies=[Evacuations(cluster.clock)])
    submit(owner, tasks=24)
    cluster.run(owner, 4)
    leaving = {w.id for w in cluster.workers if w.description.data_centre == "no"}
    there = [attempt for attempt, worker in cluster.running() if worker in leaving]
    assert len(there) > 4
    cluster.set_config({"yes": "in", "no": "out"})
    owner._source.refresh()
    moved = []
    for _ in range(60):
        before = len(cluster.history)
        cluster.run(owner, 1)
        moved.append(sum(event[0] == "end" for event in cluster.history[before:]))
    assert len(cluster.running()) == 24
    assert not [worker for _, worker in cluster.running() if worker in leaving]
    assert sum(moved) == len(there)
    assert max(moved) <= 2
    resumed = [event for event in cluster.history if event[0] == "start" and event[1].number == 2]
    assert all(checkpoint for *_, checkpoint in resumed)
    cluster.check_history()


def test_quotas_get_the_usage_of_each_account():
    """Guards against quotas that are never applied because nobody reports usage."""
    cluster = Cluster(workers=2)
    quotas = Quotas(cluster.clock)
    reports = []
    quotas.report = lambda source, uses: reports.append((source, uses))
    owner = cluster.owner(quotas=quotas)
    submit(owner, tasks=20)
    cluster.run(owner, 3)
    source, uses = reports[-1]
    assert source == "shard-0"
    running = len(cluster.running())
    assert running > 10
    assert (uses["acct"].used.slots, uses["acct"].waiting.slots) == (running, 20 - running)


def outgrow_snapshot():
    """Return what a shard can still do after its results exceed the size of a snapshot."""
    cluster = Cluster(workers=8)
    owner = cluster.owner()
    rng = random.Random(1)
    for number in range(30):
        assert submit(owner, f"j{number}", tasks=10).outcome == wire.Outcome.OK
    for _ in range(7):
        cluster.run(owner, 1, quiet=True)
        cluster.finish(result=lambda: json.dumps(f"{rng.getrandbits(64_000):x}"))
    assert submit(owner, "refused").outcome == wire.Outcome.NOT_RUN
    outcome = owner.claim_request(wire.ClaimRequest(header(), "q", "w0")).outcome
    return outcome, [status(owner, f"j{number}") for number in range(30)]


def test_shard_that_outgrows_its_snapshot_drops_its_oldest_results():
    """Guards against a shard that can commit nothing more because its snapshot is too large."""
    outcome, states = outgrow_snapshot()
    assert outcome == wire.Outcome.OK
    assert {state["state"] for state in states if state} == {"finished"}
    assert states[-1] is not None


def test_outgrown_snapshot_test_finds_a_shard_that_keeps_all_results(monkeypatch):
    """Shows that the test above depends on dropping results."""
    monkeypatch.setattr(Shard, "oldest_ended", lambda shard, stored_bytes: ())
    outcome, _ = outgrow_snapshot()
    assert outcome == wire.Outcome.NOT_RUN


class SilentChannels(FakeChannels):
    """Takes the whole deadline to find out that one worker is silent."""

    def call(self, address, method, request, deadline):
        if address.port == 7000:
            time.sleep(deadline.total_seconds())
            raise NotSentError("silent")
        time.sleep(0.008)
        return super().call(address, method, request, deadline)


def test_urgent_task_starts_within_a_second_next_to_a_silent_worker():
    """Guards against a silent worker that delays the starts on all others."""
    cluster = Cluster(
        workers=11,
        clock=SystemClock(),
        channels=SilentChannels(),
        templates={"recon": {}, "now": {"priority": "urgent"}},
    )
    owner = cluster.owner(claim=False, make_peers=None)
    stop = threading.Event()
    thread = threading.Thread(target=owner.run, args=(stop,), daemon=True)
    thread.start()
    try:
        while not owner.is_owner():
            time.sleep(0.01)
        submit(owner, "load", tasks=60)
        delays = []
        for number in range(20):
            cluster.announce()
            cluster.finish()
            sent = time.monotonic()
            submit(owner, f"now{number}", template="now")
            while status(owner, f"now{number}")["state"] == "queued":
                time.sleep(0.005)
            delays.append(time.monotonic() - sent)
    finally:
        stop.set()
        thread.join()
    assert max(delays) < 1
    cluster.check_history()


@pytest.mark.parametrize("point", ["before start", "after start"])
def test_start_on_a_worker_without_recent_renewals_is_not_given_up(point):
    """Guards against a second start while the first, on a worker that is back, is under way."""
    cluster = Cluster()
    owner = cluster.owner()

    def lose_renewals(method, req):
        if method == "renew":
            raise NotSentError("cut off")

    cluster.channels.filter = lose_renewals
    cluster.run(owner, 60)
    submit(owner)
    cluster.channels.hooks[point] = owner.supervise
    cluster.run(owner, 1)
    cluster.channels.hooks.clear()
    cluster.channels.filter = None
    cluster.run(owner, 10)
    assert [attempt.number for attempt, _ in cluster.running()] == [1]
    cluster.check_history()


FAULTS = (
    "cut",
    "mute",
    "restart",
    "crash",
    "store",
    "outage",
    "data centre",
    "cancel",
    "move",
    "bad",
)


def disturb(rng, cluster, owner, options):
    """Cause one random fault; return the owner, which may be a new one."""
    fault = rng.choice(FAULTS)
    worker = rng.choice(cluster.workers)
    if fault == "cut":
        worker.reachable = not worker.reachable
    elif fault == "mute":
        worker.answers = not worker.answers
    elif fault == "restart":
        restart(worker)
    elif fault == "crash":
        methods = ("reserve", "start", "stop", "renew")
        point = f"{rng.choice(('before', 'after'))} {rng.choice(methods)}"
        cluster.channels.hooks[point] = crash
        with contextlib.suppress(CrashError):
            cluster.run(owner, 2, quiet=True)
        return cluster.replace_owner(f"e{rng.randrange(3)}", **options)
    elif fault == "store":
        getattr(cluster.store, rng.choice(("lose_answers", "lose_calls")))(rng.randrange(1, 4))
    elif fault == "outage":
        cluster.store.set_faults(outage="refuse")
        cluster.run(owner, rng.randrange(1, 5), quiet=True)
        cluster.store.set_faults(outage="")
    elif fault == "data centre":
        cluster.set_config({"a": rng.choice(("in", "out")), "b": "in"})
        cluster.source.refresh()
    elif fault == "cancel":
        owner.cancel(wire.JobRequest(header(), f"j{rng.randrange(12)}", b""))
    elif fault == "move":
        options["policies"][0].moved.clear()
    else:
        limit = rng.randrange(3)
        worker.fails = lambda key: key.index < limit
    return owner


def restart(worker):
    """Replace a VM: its tasks and reservations are gone."""
    with worker.lock:
        for held in worker.held.values():
            if held.state == wire.TaskState.RUNNING:
                worker.end(held, wire.TaskState.STOPPED)
        worker.held.clear()
        worker.reservations.clear()
    worker.epoch = 0
    worker.incarnation += "x"
    worker.description = attrs.evolve(worker.description, incarnation=worker.incarnation)


def run_with_random_faults(seed, times=None):
    """Run jobs under random faults, then without faults until all have ended."""
    rng = random.Random(seed)
    cluster = Cluster(workers=6, data_centres=("a", "b"))
    options = {"policies": [MoveOnce(ActionKind.MOVE)], "times": times}
    owner = cluster.owner(**options)
    for number in range(12):
        submit(owner, f"j{number}", tasks=3)
        owner = disturb(rng, cluster, owner, options)
        cluster.run(owner, rng.randrange(1, 12), quiet=True)
        if rng.random() < 0.5:
            cluster.finish()
    for worker in cluster.workers:
        worker.reachable = worker.answers = True
        worker.fails = lambda key: False
    cluster.set_config({"a": "in", "b": "in"})
    for _ in range(8):
        cluster.run(owner, 10, quiet=True)
        cluster.finish()
    cluster.run(owner, 2)
    return cluster, owner


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_neither_lose_nor_double_a_task(seed):
    """Guards against combinations of faults: two places, two results, a task that never ends."""
    cluster, owner = run_with_random_faults(seed)
    cluster.check_history()
    for number in range(12):
        state = status(owner, f"j{number}")
        # A submission under a fault may have been refused.
        assert state is None or state["state"] in ("finished", "failed", "cancelled"), state
    assert sum(status(owner, f"j{number}") is not None for number in range(12)) > 6


class ImpatientTimes(LeaseTimes):
    """Gives up an unreachable worker before its leases have expired."""

    @property
    def unreachable_wait(self):
        return SECOND


def test_random_faults_find_a_wait_that_is_too_short():
    """Shows that the test above depends on the waiting time."""
    with pytest.raises(AssertionError, match="two places"):
        for seed in range(30):
            run_with_random_faults(seed, ImpatientTimes())[0].check_history()

"""Tests of the shard owner with in-memory workers: starts, takeovers, lost workers, moves."""

import contextlib
import json
import random
import string
import threading
import time
from concurrent.futures import Future

import attrs
import pytest
import shard_doubles
from mulberryslip import Resources, SystemClock, TaskKey
from mulberryslip.actions import Action, ActionKind
from mulberryslip.evacuations import EvacuationPlanner
from mulberryslip.exceptions import FencedError, NotSentError, ReplyLostError
from mulberryslip.jobs import Shard
from mulberryslip.quotas import Quotas
from mulberryslip.wire import ttypes as wire
from mulberryslipd.peers import InlineExecutor
from mulberryslipd.sources import ConfigSource
from mulberryslipd.terms import LeaseTimes
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
    """Guards against any failure between the submission of a job and its result."""
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


def raise_crash():
    raise CrashError


def run_until_crash(cluster, owner, point):
    """Run the owner until its process crashes before or after one of its calls to workers."""
    cluster.channels.hooks[point] = raise_crash
    cluster.run(owner, 1)
    cluster.channels.hooks.clear()


@pytest.mark.parametrize("seconds_between", [0, 2, 30])
@pytest.mark.parametrize(
    "point", ["before reserve", "after reserve", "before start", "after start"]
)
def test_takeover_during_a_start_neither_loses_nor_doubles_a_task(point, seconds_between):
    """Guards against losing a task or starting it twice when its owner crashes during the start."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner, tasks=6)
    run_until_crash(cluster, owner, point)
    cluster.clock.advance(seconds_between * SECOND)
    owner = cluster.replace_owner()
    cluster.run(owner, 10)
    assert sorted(attempt.key.index for attempt, _ in cluster.running()) == list(range(6))
    cluster.finish()
    cluster.run(owner, 2)
    assert status(owner)["state"] == "finished"
    cluster.check_history()


class WorkerWithoutEpochs(FakeWorker):
    """Worker that does not remember the highest epoch."""

    def call(self, method, req):
        self.epoch = 0
        return super().call(method, req)


def delayed_start(worker_class):
    """Deliver the start call of a replaced owner after the new owner has taken over."""
    cluster = Cluster(workers=1, worker_class=worker_class)
    owner = cluster.owner()
    submit(owner)
    delayed_calls = []

    def delay_start(method, req):
        if method == "start":
            delayed_calls.append(req)
            raise ReplyLostError("delayed")

    cluster.channels.filter = delay_start
    cluster.run(owner, 1)
    cluster.channels.filter = None
    owner = cluster.replace_owner()
    owner.supervise()
    cluster.workers[0].call("start", delayed_calls[0])
    return cluster, owner


def test_delayed_start_of_a_replaced_owner_is_refused():
    """Guards against executing a start that was in transit while the shard changed its owner."""
    cluster, owner = delayed_start(FakeWorker)
    assert cluster.running() == []
    cluster.run(owner, 10)
    assert len(cluster.running()) == 1
    cluster.check_history()


def test_delayed_start_test_finds_a_worker_without_epochs():
    """Checks that the test above fails when a worker ignores epochs."""
    cluster, _ = delayed_start(WorkerWithoutEpochs)
    assert len(cluster.running()) == 1


def run_task_and_set_worker_state(times=None, **state):
    """Start a task, then set attributes of the worker that runs it.

    :param times: lifetimes of leases for the owner.
    :param state: attributes to set, such as `reachable=False`.
    :returns: the cluster, the owner and the worker.
    """
    cluster = Cluster()
    owner = cluster.owner(times=times)
    submit(owner)
    cluster.run(owner, 2)
    _, worker_id = cluster.running()[0]
    worker = next(w for w in cluster.workers if w.id == worker_id)
    for name, value in state.items():
        setattr(worker, name, value)
    return cluster, owner, worker


@pytest.mark.parametrize("state", [{"reachable": False}, {"sends_replies": False}])
def test_task_of_an_unreachable_worker_waits_for_its_leases(state):
    """Guards against starting a task elsewhere while the first worker may still hold its leases."""
    cluster, owner, worker = run_task_and_set_worker_state(**state)
    cluster.run(owner, 15)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    cluster.run(owner, 40)
    assert len(cluster.running()) == 1
    assert cluster.running()[0][1] != worker.id
    cluster.check_history()


def test_unreachable_worker_test_finds_a_wait_that_is_too_short():
    """Checks that the test above fails when the wait is too short."""
    cluster, owner, _ = run_task_and_set_worker_state(
        LeaseTimes(task_lease=5 * SECOND), reachable=False
    )
    cluster.workers[0].lease_until += 20 * SECOND
    cluster.workers[1].lease_until += 20 * SECOND
    cluster.workers[2].lease_until += 20 * SECOND
    cluster.run(owner, 20)
    with pytest.raises(AssertionError, match="two places"):
        cluster.check_history()


def test_takeover_waits_for_an_unreachable_worker_from_its_claim():
    """Guards against a new owner that restarts tasks whose leases were renewed recently."""
    cluster, _, worker = run_task_and_set_worker_state(reachable=False)
    owner = cluster.replace_owner()
    cluster.run(owner, 18)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    cluster.run(owner, 30)
    assert len(cluster.running()) == 1
    cluster.check_history()


def test_returning_worker_keeps_its_task():
    """Guards against moving a task whose worker was unreachable for less than its leases."""
    cluster, owner, worker = run_task_and_set_worker_state(reachable=False)
    cluster.run(owner, 12)
    worker.reachable = True
    cluster.run(owner, 40)
    assert [worker_id for _, worker_id in cluster.running()] == [worker.id]
    assert len(cluster.history) == 1


def test_restarted_worker_without_its_task_loses_it_at_once():
    """Guards against waiting for leases when the worker itself reports that it lost the task."""
    cluster, owner, worker = run_task_and_set_worker_state()
    cluster.finish()
    worker.held.clear()
    cluster.run(owner, 4)
    assert len(cluster.running()) == 1
    assert cluster.running()[0][0].number == 2


class CachedSource(ConfigSource):
    """Returns the cached configuration instead of reading the store."""

    def refresh(self):
        return self.view() or super().refresh()


@pytest.mark.parametrize(
    ("source_class", "data_centre"), [(ConfigSource, "yes"), (CachedSource, "no")]
)
def test_data_centre_taken_out_between_reserve_and_start(source_class, data_centre):
    """Guards against a start in a data centre that was taken out of service after the reservation.

    The second case uses a cached configuration and shows that the read from the store is needed.
    """
    cluster = Cluster(workers=2, data_centres=("yes", "no"), source_class=source_class)
    owner = cluster.owner()
    cluster.workers[0].reservations = dict.fromkeys(range(8), (None, 10 * SECOND))
    submit(owner)
    cluster.channels.hooks["after reserve"] = lambda: cluster.set_config({"yes": "in", "no": "out"})
    cluster.announce()
    owner.step()
    started = [cluster.workers[int(worker[1:])] for _, worker in cluster.running()]
    assert [w.description.data_centre for w in started] == ([] if data_centre == "yes" else ["no"])


def test_failing_job_tries_different_workers_and_quarantines_none():
    """Guards against endless retries, and against quarantining workers because of a bad job."""
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
    """Guards against a worker that fails every task at once and, being free, attracts them all."""
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


@pytest.mark.parametrize("size", [1000, 16_000])
def test_results_that_no_record_can_hold_together_are_committed(monkeypatch, size):
    """Guards against finished tasks that are never committed since they end at the same time."""
    monkeypatch.setattr(shard_doubles, "CAPACITY", Resources(80_000, 160_000, 0, 80))
    rng = random.Random(1)
    letters = string.ascii_letters + string.digits
    cluster = Cluster(workers=1)
    owner = cluster.owner()
    for number in range(10):
        submit(owner, f"j{number}", tasks=8)
    cluster.run(owner, 12)
    assert len(cluster.running()) == 80
    cluster.finish(result=lambda: json.dumps("".join(rng.choices(letters, k=size))))
    cluster.run(owner, 5, ignore_errors=True)
    assert cluster.workers[0].held == {}
    listed = json.loads(owner.list_jobs(wire.ShardRequest(header(), 0)).body)
    # The oldest results are dropped if the shard cannot hold them all.
    assert {job["state"] for job in listed} == {"finished"}


def test_cancellation_ends_queued_and_running_tasks_at_once():
    """Guards against cancelled tasks that keep running, start later or deliver a result."""
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


def test_cancelled_task_keeps_no_reservation():
    """Guards against capacity that stays reserved for a task which is not going to start."""
    cluster = Cluster(workers=1)
    owner = cluster.owner()
    submit(owner, tasks=12)
    cluster.run(owner, 2)
    waiting = [TaskKey("j", index) for index in range(8, 12)]
    assert any(owner._placement.explain(key) != "not ranked yet" for key in waiting)
    owner.cancel(wire.JobRequest(header(), "j", b""))
    assert all(owner._placement.explain(key) == "not ranked yet" for key in waiting)


def test_result_of_a_cancelled_or_lost_attempt_is_acknowledged_but_not_kept():
    """Guards against a late result that overwrites a job's state or is reported endlessly."""
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
    """Policy that acts once on every running task."""

    def __init__(self, kind):
        self.kind = kind
        self.moved = set()

    def decide(self, now, workers, running):
        unseen = [task for task in running if task.key not in self.moved]
        self.moved.update(task.key for task in unseen)
        return [Action(self.kind, task.key, task.worker_id, "test") for task in unseen]


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
    """Guards against a job that waits for ever, or that fails before all workers are known."""
    cluster = Cluster(templates={"recon": {"cpu_millis": 9000}})
    owner = cluster.owner()
    submit(owner, tasks=2)
    cluster.run(owner, 29)
    assert status(owner)["state"] == "queued"
    cluster.run(owner, 3)
    assert status(owner)["state"] == "failed"
    assert "never_fits" in status(owner)["reason"]


def test_attempt_that_runs_too_long_is_stopped_before_the_next_one():
    """Guards against tasks that never end, and against two concurrent attempts of a task."""
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
    """Guards against starts without a commit, and against losing tasks during a store outage."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner, tasks=26)
    cluster.run(owner, 2)
    cluster.store.set_faults(outage="refuse")
    assert submit(owner, "k").outcome == wire.Outcome.NOT_RUN
    cluster.announce()
    assert owner.step() == 0
    cluster.finish()
    cluster.run(owner, 3, ignore_errors=True)
    assert status(owner)["state"] == "running"
    cluster.store.set_faults(outage="")
    cluster.run(owner, 3)
    cluster.finish()
    cluster.run(owner, 3)
    assert status(owner)["state"] == "finished"


@pytest.mark.parametrize("fault", ["lose_responses", "lose_writes"])
def test_lost_store_responses_neither_lose_nor_double_a_task(fault):
    """Guards against treating a write of unknown outcome as either committed or not committed."""
    cluster = Cluster()
    owner = cluster.owner()
    for number in range(10):
        submit(owner, f"j{number}")
        getattr(cluster.store, fault)(1)
        cluster.run(owner, 1, ignore_errors=True)
        cluster.finish()
        getattr(cluster.store, fault)(1)
        cluster.run(owner, 1, ignore_errors=True)
    cluster.run(owner, 8)
    cluster.finish()
    cluster.run(owner, 3)
    assert {status(owner, f"j{number}")["state"] for number in range(10)} == {"finished"}
    cluster.check_history()


def test_owner_whose_session_is_not_valid_calls_no_worker():
    """Guards against renewing leases after the session expired, when a new owner may exist."""
    cluster = Cluster()
    owner = cluster.owner()
    submit(owner)
    cluster.run(owner, 2)
    cluster.sessions[-1].is_valid = False
    cluster.channels.calls.clear()
    cluster.run(owner, 5, ignore_errors=True)
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
    """Guards against running a request twice that was sent through two entries."""
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
    """Guards against one store write per task, which the store cannot sustain at 310 starts/s."""
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
    """Guards against a throttle decision of a policy that never reaches the worker."""
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
    owner._supervisor.apply_action(action)
    cluster.run(owner, 2)
    cluster.workers[0].held[cluster.running()[0][0]].permille = 500
    cluster.run(owner, 2)
    renewed = [item for item in sent if item is not None]
    assert renewed[0] == [(0, 500)]
    assert renewed[-1] == []


def test_tasks_leave_a_data_centre_at_a_limited_rate_and_resume():
    """Guards against tasks that stay in a data centre out of service, or that all stop at once."""
    cluster = Cluster(workers=8, data_centres=("yes", "no"))
    owner = cluster.owner(policies=[EvacuationPlanner(cluster.clock)])
    submit(owner, tasks=24)
    cluster.run(owner, 4)
    leaving = {w.id for w in cluster.workers if w.description.data_centre == "no"}
    attempts_to_move = [attempt for attempt, worker in cluster.running() if worker in leaving]
    assert len(attempts_to_move) > 4
    cluster.set_config({"yes": "in", "no": "out"})
    owner._source.refresh()
    moved = []
    for _ in range(60):
        before = len(cluster.history)
        cluster.run(owner, 1)
        moved.append(sum(event[0] == "end" for event in cluster.history[before:]))
    assert len(cluster.running()) == 24
    assert not [worker for _, worker in cluster.running() if worker in leaving]
    assert sum(moved) == len(attempts_to_move)
    assert max(moved) <= 2
    resumed = [event for event in cluster.history if event[0] == "start" and event[1].number == 2]
    assert all(checkpoint for *_, checkpoint in resumed)
    cluster.check_history()


class FailingPolicy:
    """Policy with a fault; sets an event at the last of some decisions."""

    def __init__(self, stop):
        self.stop = stop
        self.decisions = 0

    def decide(self, now, workers, running):
        self.decisions += 1
        if self.decisions == 5:
            self.stop.set()
        raise ZeroDivisionError("division by zero")


def test_unexpected_error_of_a_policy_does_not_end_the_ownership():
    """Guards against a shard on which nothing starts at any entry for a fault in one policy."""
    cluster = Cluster()
    stop = threading.Event()
    owner = cluster.owner(policies=[FailingPolicy(stop)])
    submit(owner, tasks=3)
    owner._end_term("claimed by its thread")
    owner.run(stop)
    assert len(cluster.running()) == 3
    assert len({worker.epoch for worker in cluster.workers}) == 1


def test_unexpected_error_of_a_policy_leaves_the_others_in_force():
    """Guards against tasks that stay in a data centre out of service for a fault in a policy."""
    cluster = Cluster(workers=2, data_centres=("yes", "no"))
    policies = [FailingPolicy(threading.Event()), EvacuationPlanner(cluster.clock)]
    owner = cluster.owner(policies=policies)
    submit(owner, tasks=4)
    cluster.run(owner, 4)
    cluster.set_config({"yes": "in", "no": "out"})
    owner._source.refresh()
    cluster.run(owner, 60)
    assert [worker for _, worker in cluster.running()] == ["w0"] * 4


def test_quotas_get_the_usage_of_each_account():
    """Guards against quotas that are never applied because usage is not reported."""
    cluster = Cluster(workers=2)
    quotas = Quotas(cluster.clock)
    reports = []
    quotas.report = lambda source, usages: reports.append((source, usages))
    owner = cluster.owner(quotas=quotas)
    submit(owner, tasks=20)
    cluster.run(owner, 3)
    source, uses = reports[-1]
    assert source == "shard-0"
    running = len(cluster.running())
    assert running > 10
    assert (uses["acct"].used.slots, uses["acct"].waiting.slots) == (running, 20 - running)


def fill_beyond_snapshot_size():
    """Fill a shard with results until they exceed the size of a snapshot.

    :returns: the outcome of claiming a request id afterwards, and the states of the jobs.
    """
    cluster = Cluster(workers=8)
    owner = cluster.owner()
    rng = random.Random(1)
    for number in range(30):
        assert submit(owner, f"j{number}", tasks=10).outcome == wire.Outcome.OK
    for _ in range(7):
        cluster.run(owner, 1, ignore_errors=True)
        cluster.finish(result=lambda: json.dumps(f"{rng.getrandbits(64_000):x}"))
    assert submit(owner, "refused").outcome == wire.Outcome.NOT_RUN
    outcome = owner.claim_request(wire.ClaimRequest(header(), "q", "w0")).outcome
    return outcome, [status(owner, f"j{number}") for number in range(30)]


def test_shard_that_outgrows_its_snapshot_drops_its_oldest_results():
    """Guards against a shard that can commit nothing more because its snapshot is too large."""
    outcome, states = fill_beyond_snapshot_size()
    assert outcome == wire.Outcome.OK
    assert {state["state"] for state in states if state} == {"finished"}
    assert states[-1] is not None


def test_outgrown_snapshot_test_finds_a_shard_that_keeps_all_results(monkeypatch):
    """Checks that the test above fails when no results are dropped."""
    monkeypatch.setattr(Shard, "oldest_ended", lambda shard, stored_bytes: ())
    outcome, _ = fill_beyond_snapshot_size()
    assert outcome == wire.Outcome.NOT_RUN


class UnresponsiveWorkerChannels(FakeChannels):
    """Channels on which calls to one worker time out only after the whole deadline."""

    def call(self, address, method, request, deadline):
        if address.port == 7000:
            time.sleep(deadline.total_seconds())
            raise NotSentError("no reply in time")
        time.sleep(0.008)
        return super().call(address, method, request, deadline)


class UnresponsiveWorkerExecutor(InlineExecutor):
    """Executor whose calls to one worker wait behind an earlier call to it.

    :param on_wait: called in the first wait.
    """

    def __init__(self, clock, on_wait):
        super().__init__(clock)
        self._clock = clock
        self._on_wait = on_wait

    def submit(self, worker_id, call):
        return Future() if worker_id == "w0" else super().submit(worker_id, call)

    def wait_all(self, futures, timeout):
        on_wait, self._on_wait = self._on_wait, lambda: None
        on_wait()
        if not all(fut.done() for fut in futures):
            self._clock.advance(timeout)


@pytest.mark.parametrize("tasks", [20, 40, 60])
def test_urgent_task_waits_once_for_an_unresponsive_worker(tasks):
    """Guards against rounds that wait for the same worker until an urgent start is late.

    Its reservations are cancelled before they are sent, since its thread is in another call.
    """
    cluster = Cluster(workers=11, templates={"recon": {}, "now": {"priority": "urgent"}})
    clock = cluster.clock
    sent = []

    def submit_urgent():
        sent.append(clock.monotonic())
        submit(owner, "urgent", template="now")

    executor = UnresponsiveWorkerExecutor(clock, submit_urgent)
    owner = cluster.owner(make_executor=lambda: executor)
    submit(owner, "load", tasks=tasks)
    for _ in range(20):
        owner.step()
    started_at = {attempt.key: at for _, attempt, _, at, _ in cluster.history}
    assert len(started_at) == tasks + 1
    assert started_at[TaskKey("urgent", 0)] - sent[0] < SECOND
    cluster.check_history()


def test_urgent_task_starts_within_a_second_next_to_an_unresponsive_worker():
    """Guards against an unresponsive worker that delays the starts on all others."""
    cluster = Cluster(
        workers=11,
        clock=SystemClock(),
        channels=UnresponsiveWorkerChannels(),
        templates={"recon": {}, "now": {"priority": "urgent"}},
    )
    owner = cluster.owner(claim=False, make_executor=None)
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
    """Guards against a second start while the first is in transit to a worker that came back."""
    cluster = Cluster()
    owner = cluster.owner()

    def drop_renewals(method, req):
        if method == "renew":
            raise NotSentError("cut off")

    cluster.channels.filter = drop_renewals
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
    "disconnect",
    "lose replies",
    "restart",
    "crash",
    "store",
    "outage",
    "data centre",
    "cancel",
    "move",
    "fail tasks",
)


def inject_random_fault(rng, cluster, owner, options):
    """Inject one random fault; return the current owner, which may be a new one."""
    fault = rng.choice(FAULTS)
    worker = rng.choice(cluster.workers)
    if fault == "disconnect":
        worker.reachable = not worker.reachable
    elif fault == "lose replies":
        worker.sends_replies = not worker.sends_replies
    elif fault == "restart":
        restart(worker)
    elif fault == "crash":
        methods = ("reserve", "start", "stop", "renew")
        point = f"{rng.choice(('before', 'after'))} {rng.choice(methods)}"
        cluster.channels.hooks[point] = raise_crash
        with contextlib.suppress(CrashError):
            cluster.run(owner, 2, ignore_errors=True)
        return cluster.replace_owner(f"e{rng.randrange(3)}", **options)
    elif fault == "store":
        getattr(cluster.store, rng.choice(("lose_responses", "lose_writes")))(rng.randrange(1, 4))
    elif fault == "outage":
        cluster.store.set_faults(outage="refuse")
        cluster.run(owner, rng.randrange(1, 5), ignore_errors=True)
        cluster.store.set_faults(outage="")
    elif fault == "data centre":
        cluster.set_config({"a": rng.choice(("in", "out")), "b": "in"})
        cluster.source.refresh()
    elif fault == "cancel":
        owner.cancel(wire.JobRequest(header(), f"j{rng.randrange(12)}", b""))
    elif fault == "move":
        options["policies"][0].moved.clear()
    else:
        failing_below = rng.randrange(3)
        worker.fails = lambda key: key.index < failing_below
    return owner


def restart(worker):
    """Simulate the replacement of a VM: its tasks and reservations are lost."""
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
    """Run jobs while injecting random faults, then without faults until all jobs have ended."""
    rng = random.Random(seed)
    cluster = Cluster(workers=6, data_centres=("a", "b"))
    options = {"policies": [MoveOnce(ActionKind.MOVE)], "times": times}
    owner = cluster.owner(**options)
    for number in range(12):
        submit(owner, f"j{number}", tasks=3)
        owner = inject_random_fault(rng, cluster, owner, options)
        cluster.run(owner, rng.randrange(1, 12), ignore_errors=True)
        if rng.random() < 0.5:
            cluster.finish()
    for worker in cluster.workers:
        worker.reachable = worker.sends_replies = True
        worker.fails = lambda key: False
    cluster.set_config({"a": "in", "b": "in"})
    for _ in range(8):
        cluster.run(owner, 10, ignore_errors=True)
        cluster.finish()
    cluster.run(owner, 2)
    return cluster, owner


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_neither_lose_nor_double_a_task(seed):
    """Guards against combinations of faults that make a task run twice at a time or never end."""
    cluster, owner = run_with_random_faults(seed)
    cluster.check_history()
    for number in range(12):
        state = status(owner, f"j{number}")
        # A submission during a fault may have been refused.
        assert state is None or state["state"] in ("finished", "failed", "cancelled"), state
    assert sum(status(owner, f"j{number}") is not None for number in range(12)) > 6


class TooShortWaitTimes(LeaseTimes):
    """Lease times that give up an unreachable worker before its leases have expired."""

    @property
    def unreachable_wait(self):
        return SECOND


def test_random_faults_find_a_wait_that_is_too_short():
    """Checks that the test above fails when the wait is too short."""
    with pytest.raises(AssertionError, match="two places"):
        for seed in range(30):
            run_with_random_faults(seed, TooShortWaitTimes())[0].check_history()

"""Tests of a pool's owner with simulated workers on a manual clock."""

import itertools
import zlib
from datetime import timedelta

import attrs
import pytest
from mulberryslip.exceptions import JournalError, StoreError
from mulberryslip.headrooms import InterferenceEstimate
from mulberryslip.health import INITIAL_EXCLUSION
from mulberryslip.models import Resources
from mulberryslip.queues import PoolConfig
from mulberryslip.runners import EndKind, RunningRun
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import accepted_event
from mulberryslipd.members import FENCES_PER_EPOCH
from mulberryslipd.ownerships import PoolLeaseTimes
from mulberryslipd.schedulers import (
    MAX_REPORT_AGE,
    START_WINDOW,
    URGENT_BURST,
    is_cheap_to_stop,
)
from pool_doubles import (
    CAPACITY,
    MAX_CALL_DELAY,
    MAX_LEASE_TIMES,
    MS,
    QUEUE,
    SECOND,
    DirectChannels,
    PoolWorld,
)

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
CAPACITIES = [CAPACITY, Resources(4000, 16000), Resources(8000, 4000), Resources(3000, 500)]
STORE_LEASE = PoolLeaseTimes().store_lease
OWNER_KEY = "pools/0/owner"
ROUNDS_PER_SECOND = 5
MAX_LISTED_ENDS = 5


@pytest.fixture
def world():
    world = PoolWorld()
    world.elect()
    world.run(3)
    return world


def test_workflow_runs_to_its_end(world):
    """Guards against an accepted task that never runs."""
    assert world.submit("a").outcome == Outcome.OK
    assert world.shown("a") == "queued"
    world.run(2)
    assert world.shown("a") == "running"
    world.run(6)
    assert world.shown("a") == "completed"
    assert world.history.violations == []


def test_steps_wait_for_earlier_ones(world):
    """Guards against a start before all tasks of the earlier steps are done."""
    world.submit("a", TASK, attrs.evolve(TASK, count=3, after=(0,)), attrs.evolve(TASK, after=(1,)))
    world.run(5)
    assert world.held_tasks("a") == ["a/0/0/0"]
    world.run(30)
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (5, [])


def test_resubmission_is_one_workflow(world):
    """Guards against running a workflow twice when it is resubmitted after a lost reply."""
    assert world.submit("a").outcome == Outcome.OK
    assert world.submit("a").outcome == Outcome.OK
    world.run(12)
    assert world.submit("a").shown == "completed"
    assert world.history.starts == 1


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (TASK, Outcome.OK),
        (attrs.evolve(TASK, gang=True), Outcome.INVALID),
        (attrs.evolve(TASK, count=0), Outcome.INVALID),
    ],
)
def test_unsupported_steps_are_refused(world, step, outcome):
    """Guards against running steps that the pool does not support."""
    assert world.submit("a", step).outcome == outcome


def test_capacity_is_never_exceeded(world):
    """Guards against assigning more to a worker than its capacity."""
    world.submit("a", attrs.evolve(TASK, count=60, cpu_millis=3000))
    world.run(100)
    assert world.shown("a") == "completed"
    assert world.history.violations == []


def test_task_fails_after_max_attempts(world):
    """Guards against endless attempts of a task, and against giving up too early."""
    for worker in world.workers:
        worker.end_kind_of = lambda name: EndKind.FAILED
    world.submit("a")
    world.run(30)
    assert world.shown("a") == "failed"
    assert world.history.starts == QUEUE.max_attempts


def test_failure_is_retried_on_another_worker(world):
    """Guards against spending both attempts of a task on a worker where every run fails."""
    world.workers[0].end_kind_of = lambda name: EndKind.FAILED
    for number in range(6):
        world.submit(f"a{number}")
    world.run(40)
    assert [world.shown(f"a{number}") for number in range(6)] == ["completed"] * 6


@pytest.mark.parametrize("owner_changes", [False, True])
@pytest.mark.parametrize("fault", ["refused", "without reply", "cut off"])
def test_workflow_waits_until_a_worker_has_started_a_task(world, fault, owner_changes):
    """Guards against workflows that count as started when their runs have only been assigned."""
    for worker in world.workers:
        worker.run_ms = lambda name: 30_000
        worker.is_unhealthy = fault == "refused"
        worker.loses_reply = lambda: fault == "without reply"
    names = [f"a{number}" for number in range(5)]
    for name in names:
        world.submit(name)
    if fault == "cut off":
        for worker in world.workers:
            worker.is_unreachable = True
    for turn in range(10 * ROUNDS_PER_SECOND):
        if owner_changes and turn % 15 == 14:
            world.owner().resign("test")
            world.elect(world.workers[turn // 15 % 3])
        world.round()
        assert [world.shown(name) for name in names] == ["queued"] * 5, turn
        assert world.call("waiting", "").waiting == 5, turn
    for worker in world.workers:
        worker.is_unhealthy = worker.is_unreachable = False
        worker.loses_reply = lambda: False
    world.run(10 * ROUNDS_PER_SECOND)
    assert [world.shown(name) for name in names] == ["running"] * 5
    assert world.call("waiting", "").waiting == 0
    world.owner().resign("test")
    world.elect(world.workers[0])
    world.run(2)
    assert world.call("waiting", "").waiting == 0


def test_long_running_task_is_restarted(world):
    """Guards against a service that is not restarted after its run has ended."""
    world.submit("a", attrs.evolve(TASK, lasting=True))
    world.run(20)
    assert world.shown("a") == "running"
    assert world.history.starts >= 3


def test_cancelled_workflow_stops_and_keeps_its_capacity_until_then(world):
    """Guards against runs after a cancellation, and against releasing their capacity too early."""
    world.submit("a", attrs.evolve(TASK, lasting=True, cpu_millis=CAPACITY.cpu_millis // 2))
    world.run(3)
    assert world.call("cancel", "a").outcome == Outcome.OK
    assert world.shown("a") == "cancelled"
    assert world.held_tasks("a") == ["a/0/0/0"]
    world.run(4)
    assert not any(worker.runs for worker in world.workers)
    assert world.owner()._term.pool.workers_with_runs() == []
    assert world.call("cancel", "a").outcome == Outcome.OK


@pytest.mark.parametrize("method", ["status", "cancel"])
def test_unknown_workflow_is_missing(world, method):
    """Guards against reporting a state for a workflow that was never submitted."""
    assert world.call(method, "b").outcome == Outcome.NOT_FOUND


def test_start_without_reply_is_repeated_only_after_its_deadline(world):
    """Guards against two runs of a task when the worker executes its first start late."""
    for worker in world.workers:
        worker.loses_reply = lambda: world.history.starts == 0
    world.submit("a")
    world.run(3)
    assert world.history.starts == 0
    for worker in world.workers:
        worker.run_delayed_starts()
    world.run(12)
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (1, [])


@pytest.mark.parametrize("delay_s", [1, 4, 9])
def test_slow_round_does_not_extend_a_lease(world, monkeypatch, delay_s):
    """Guards against starts that renew a lease after the owner has given up the worker's runs.

    The owner is paused while it decides, or its round takes seconds on a large fleet.
    """
    dispatcher = world.owner()._dispatcher
    schedule = dispatcher.schedule

    def schedule_slowly(*args):
        placed = schedule(*args)
        for _ in range(delay_s):
            world.clock.advance(SECOND)
            world.renew_sessions()
        return placed

    monkeypatch.setattr(dispatcher, "schedule", schedule_slowly)
    listed_ms = {name: member.clock_ms for name, member in world.owner()._term.members.items()}
    world.submit("a")
    task = world.owner()._term.pool.task("a/0/0/0")
    latest_ms = listed_ms[task.worker_id] + (MAX_REPORT_AGE + START_WINDOW) // MS
    assert task.start_by_ms <= latest_ms


class SlowLock:
    """A lock that other threads hold for some seconds before it can be taken."""

    def __init__(self, clock):
        self._clock = clock

    def __enter__(self):
        self._clock.advance(2 * SECOND)

    def __exit__(self, *exc_info):
        pass


def test_age_of_a_report_includes_its_wait_for_the_lock(world):
    """Guards against starts that reach their worker after their deadline.

    An owner behind with its work would take a report for new that has waited for seconds.
    """
    term = world.owner()._term
    agent, _ = world.agents["w0"]
    listing = world.workers[0].extend_lease("w0", agent._grant.fence, 0, 0, SECOND)
    req = agent._report_request(agent._announcement, listing, [], False)
    term.lock, lock = SlowLock(world.clock), term.lock
    world.owner().report(req)
    term.lock = lock
    member = term.members["w0"]
    assert member.clock_at(world.clock.monotonic()) == world.workers[0].clock_ms()


def test_lost_start_is_repeated(world):
    """Guards against a task that waits forever after its start command was lost."""
    lost = []
    for worker in world.workers:
        worker.loses_reply = lambda: not lost and lost.append(1) is None
    world.submit("a")
    world.run(20)
    assert world.shown("a") == "completed"


def test_silent_worker_keeps_its_tasks_until_its_lease_is_over(world):
    """Guards against a second run while the first may still be active."""
    for worker in world.workers:
        worker.run_ms = lambda name: 60_000
    world.submit("a")
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    world.cut.add(holder.id)
    world.run(25)
    assert world.history.starts == 1
    world.run(15)
    assert world.history.starts == 2
    assert world.history.violations == []


def test_new_owner_waits_for_leases_that_the_previous_owner_still_grants(world):
    """Guards against a second run while the first has a lease from an owner whose key was revoked.

    The store deletes the key at once. The previous owner cannot reach the store, so it grants
    leases until its own store lease has expired.
    """
    for worker in world.workers:
        worker.run_ms = lambda name: 60_000
    world.submit("a")
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    previous = world.owner()
    world.renew_sessions()
    world.store.revoke_lease(world.sessions["w0"][-1].session_id)
    world.frozen.update(("w0", holder.id))
    agent, directory = world.agents[holder.id]
    known = directory.owner()
    world.elect(next(w for w in world.workers if w.id not in world.frozen))
    while previous.is_owner():
        agent.renew_and_report(known)
        world.round()
    world.run(50)
    assert world.history.violations == []
    assert world.history.starts == 2


@pytest.mark.parametrize("owners_lost", [0, 1, 2])
def test_service_of_a_vm_lost_with_owners_of_its_pool_restarts_soon(world, owners_lost):
    """Guards against a new owner that waits for leases of a worker whose VM is gone.

    A lease ends 6 s after the loss at the latest; 3 s more are allowed.
    """
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.submit("a", attrs.evolve(TASK, lasting=True))
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    owner = holder if owners_lost else next(w for w in world.workers if w is not holder)
    world.owner().resign("test")
    world.elect(owner)
    world.run(2 * ROUNDS_PER_SECOND)
    world.switch_off(holder)
    for _ in range(9 * ROUNDS_PER_SECOND):
        world.round()
        if world.history.starts > 1:
            break
        if world.owner() is None:
            world.claim_if_free()
            owners_lost -= 1
            if owners_lost > 0:
                world.switch_off(next(w for w in world.workers if world.owners[w.id].is_owner()))
    assert world.history.starts == 2
    assert world.history.violations == []


def test_service_waits_for_its_lease_when_the_list_of_vms_is_not_available(world):
    """Guards against a second run while nothing shows that the first has ended."""
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.inventory.is_down = True
    world.submit("a", attrs.evolve(TASK, lasting=True))
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    world.cut.add(holder.id)
    world.run(6 * ROUNDS_PER_SECOND)
    assert world.history.starts == 1
    world.run(2 * ROUNDS_PER_SECOND)
    assert world.history.starts == 2
    assert world.history.violations == []


def test_listing_requested_before_the_last_report_does_not_end_later_runs(world):
    """Guards against a second run because of a listing that is older than the last report.

    The second listing is requested while the worker is down; before its answer is handled the
    worker is back, has reported, got a run, and the owner's process was paused for 2.3 s.
    """
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    w2 = world.workers[2]
    world.submit("a", attrs.evolve(TASK, lasting=True, required_label="rack-w2"))
    world.run(ROUNDS_PER_SECOND)
    assert w2.runs
    w2.restart()
    w2.is_vm_off = w2.is_unreachable = True
    world.cut |= {w2.id, world.address(w2)}
    for other in world.workers[:2]:
        other.leaving = True
    # Else the worker would first try this task again, apart from others.
    world.call("cancel", "a")
    world.submit("s", attrs.evolve(TASK, lasting=True))
    answers = []

    def listing():
        rows = {worker.machine: "" if worker.is_vm_off else worker.id for worker in world.workers}
        answers.append(rows)
        if len(answers) == 2:
            # Lost workers are looked for once in 100 ms.
            world.step_owners()
            w2.is_vm_off = w2.is_unreachable = False
            world.cut -= {w2.id, world.address(w2)}
            world.announce_workers()
            for _ in range(4):
                world.run_agent(w2)
                world.step_owners()
            assert "s/0/0/0" in w2.runs
            world.cut |= {w2.id, world.address(w2)}
            for other in world.workers[:2]:
                other.restart()
            world.announce_workers()
            world.clock.advance(2300 * MS)
        return rows

    world.inventory.workers_by_vm = listing
    world.run(6 * ROUNDS_PER_SECOND)
    assert len(answers) >= 2
    assert world.history.violations == []


def test_worker_without_listing_keeps_its_tasks(world):
    """Guards against losing tasks at a takeover, before their worker has listed its runs.

    An agent that has just started reports without a listing to get its fencing token.
    """
    for worker in world.workers:
        worker.run_ms = lambda name: 4000
    world.submit("a", attrs.evolve(TASK, count=6))
    world.run(3)
    for worker in world.workers:
        world.start_process(worker)
    world.elect()
    world.run(30)
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (6, [])


def test_restarted_agent_learns_the_fencing_token(world):
    """Guards against agents that can neither list runs nor report after a restart.

    Their worker has seen a fencing token that they do not know.
    """
    for worker in world.workers:
        world.start_process(worker)
    world.elect()
    world.run(3)
    world.submit("b")
    world.run(10)
    assert world.shown("b") == "completed"


def test_restart_of_a_worker_frees_its_tasks_and_raises_its_token(world):
    """Guards against waiting for tasks whose worker has restarted."""
    for worker in world.workers:
        worker.run_ms = lambda name: 3000
    world.submit("a")
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    fence = holder.fence
    holder.restart()
    world.run(3)
    assert holder.fence == fence + 1 < (world.owner()._term.epoch + 1) * FENCES_PER_EPOCH
    world.run(20)
    assert world.shown("a") == "completed"
    assert world.history.violations == []


def test_worker_with_a_new_id_runs_tasks_after_restarts_under_the_previous_id(world):
    """Guards against starts that are all refused because their fencing token is too low."""
    worker = world.workers[0]
    for _ in range(3):
        worker.restart()
        world.run(2 * ROUNDS_PER_SECOND)
    worker.id = f"{worker.id}-b"
    world.update_worker_id(worker)
    worker.restart()
    world.run(2 * ROUNDS_PER_SECOND)
    world.submit("s", attrs.evolve(TASK, lasting=True, required_label=f"rack-{worker.id}"))
    world.run(2 * ROUNDS_PER_SECOND)
    assert list(worker.runs) == ["s/0/0/0"]


@pytest.mark.parametrize("run_ms", [100, 5000])
def test_start_command_run_by_a_later_incarnation_counts(run_ms):
    """Guards against repeating a task whose run in a later incarnation has already ended.

    A worker that restarts under the same id executes a command for its earlier incarnation until
    it has seen the fencing token of the new one.
    """
    world = PoolWorld(workers=1, run_ms=lambda name: run_ms)
    world.elect()
    world.run(3)
    (worker,) = world.workers
    agent, directory = world.agents[worker.id]
    world.submit("a", TASK)
    world.step_owners()
    agent.fetch_commands(directory.owner())
    worker.restart()
    agent.execute_next_command()
    assert worker.runs
    world.run(5 + run_ms // 100)
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (1, [])


@pytest.mark.parametrize("is_unreachable", [False, True])
def test_late_report_of_an_earlier_incarnation_ends_no_runs(is_unreachable):
    """Guards against a second run after a new owner has got such a report first."""
    world = PoolWorld(workers=2, run_ms=lambda name: 60_000)
    world.elect()
    world.run(3)
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    listing = None if is_unreachable else worker.extend_lease(worker.id, worker.fence, 0, 0, 0 * MS)
    late = agent._report_request(agent._announcement, listing, [], is_unreachable)
    worker.restart()
    world.run(3)
    world.submit("a", attrs.evolve(TASK, count=2, max_per_worker=1))
    world.run(3)
    world.owner().resign("test")
    world.run(1)
    world.elect(world.workers[1])
    world.owner().report(late)
    world.run(10)
    assert [len(worker.runs) for worker in world.workers] == [1, 1]
    assert (world.history.starts, world.history.violations) == (2, [])


def test_worker_that_refuses_connections_runs_nothing(world):
    """Guards against waiting a whole lease for a worker whose process has ended."""
    world.submit("a")
    world.run(2)
    holder = next(worker for worker in world.workers if worker.runs)
    holder.is_down = True
    holder.runs = {}
    world.run(2)
    assert world.history.starts == 2


def test_service_restarts_after_its_route_was_removed(world):
    """Guards against an accepted service that has no worker because its route is gone."""
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.submit("s", attrs.evolve(TASK, lasting=True))
    world.run(3)
    holder = next(worker for worker in world.workers if worker.runs)
    for source in world.sources.values():
        source.value = PoolConfig.from_queues(2, [attrs.evolve(QUEUE, name="q", service="other")])
    world.run(3)
    holder.restart()
    world.run(3 * ROUNDS_PER_SECOND)
    assert [task for worker in world.workers for task in worker.runs] == ["s/0/0/0"]


def test_new_worker_on_a_machine_frees_the_tasks_of_the_previous_one(world):
    """Guards against waiting a whole lease after machines lost power and restarted.

    Their workers then have new ids.
    """
    world.submit("a", attrs.evolve(TASK, lasting=True))
    world.run(2)
    holder = next(worker for worker in world.workers if worker.runs)
    holder.restart()
    holder.id = f"{holder.id}-new"
    world.update_worker_id(holder)
    world.run(4)
    assert world.history.starts == 2
    assert world.history.violations == []


def test_long_running_task_uses_the_reserve_when_nothing_else_is_free():
    """Guards against a service that does not start although a worker has capacity for it."""
    world = PoolWorld(workers=1)
    world.elect()
    world.run(3)
    world.submit("a", attrs.evolve(TASK, lasting=True, cpu_millis=CAPACITY.cpu_millis))
    world.run(12)
    assert world.history.starts >= 1


@pytest.mark.parametrize("back_s", [0, 2, 30])
def test_service_uses_the_reserve_although_the_time_of_day_was_set_back(back_s):
    """Guards against a service that waits for the time by which a clock was set back."""
    world = PoolWorld(workers=1)
    world.elect()
    world.run(3)
    world.submit("a", attrs.evolve(TASK, lasting=True, cpu_millis=CAPACITY.cpu_millis))
    now = world.clock.now
    world.clock.now = lambda: now() - back_s * SECOND
    world.run(3 * ROUNDS_PER_SECOND)
    assert world.history.starts >= 1


def test_ends_are_acknowledged_only_after_their_commit(world):
    """Guards against a run end that the worker has dropped and the next owner does not know."""
    world.submit("a")
    world.run(4)
    world.store.set_faults(outage="refuse")
    attempts = []

    def expire_session():
        attempts.append(1)
        if len(attempts) > 5:
            world.sessions["w0"][-1]._session_id = "another"

    world.clock.on_sleep = expire_session
    world.run(2)
    assert world.history.acknowledged_tasks == set()
    world.store.set_faults(outage="")
    world.run(20)
    world.elect(world.workers[1])
    world.run(5)
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (1, [])


def test_state_survives_the_owner(world):
    """Guards against losing accepted workflows with the process that accepted them."""
    for number in range(5):
        world.submit(f"a{number}", attrs.evolve(TASK, count=4))
    world.run(2)
    world.call("cancel", "a4")
    world.owner().resign("test")
    world.run(2)
    world.elect(world.workers[2])
    world.run(25)
    shown = [world.shown(f"a{number}") for number in range(5)]
    assert shown == ["completed"] * 4 + ["cancelled"]
    assert world.history.violations == []


def test_checkpoint_survives_owner_and_worker_together(world):
    """Guards against losing all progress of tasks after all machines lost power at once."""
    for worker in world.workers:
        worker.run_ms = lambda name: 8000
    world.submit("a", attrs.evolve(TASK, checkpoints=True))
    world.run(20)
    world.owner().resign("test")
    for worker in world.workers:
        worker.restart()
    world.elect(world.workers[1])
    world.run(6)
    assert world.history.resumed_from["a/0/0/0", 1] == ""
    assert world.history.resumed_from["a/0/0/0", 2].startswith("a/0/0/0:1:")


def test_best_effort_tasks_are_placed_a_few_times_a_second(world):
    """Guards against placing best-effort tasks so often that the owner delays quick checks."""
    seen = record_scheduled_kinds(world)
    world.submit("a", attrs.evolve(TASK, count=3, cpu_millis=9000))
    world.submit("b", attrs.evolve(TASK, fills=True, cpu_millis=9000, memory_mb=20_000))
    rounds = []
    for _ in range(20):
        seen.clear()
        world.owner().step()
        rounds.append(set(seen))
        world.clock.advance(SECOND / 20)
    assert all(False in kinds for kinds in rounds[-15:])
    assert 3 <= sum(True in kinds for kinds in rounds) <= 6


def record_scheduled_kinds(world):
    """Record for each task that is scheduled whether it is a best-effort task."""
    dispatcher = world.owner()._dispatcher
    seen = []
    schedule = dispatcher.schedule

    def record(tasks, *args):
        seen.extend(task.spec.fills for task in tasks)
        return schedule(tasks, *args)

    dispatcher.schedule = record
    return seen


@pytest.mark.parametrize(("services", "is_delayed"), [(URGENT_BURST, True), (3, False)])
def test_burst_of_services_and_checks_starts_before_best_effort_tasks(world, services, is_delayed):
    """Guards against services that wait until hundreds of best-effort tasks are placed.

    Load: all VMs return at once, and everything that ran has to start again.
    """
    seen = record_scheduled_kinds(world)
    world.clock.on_wait = lambda: None
    for number in range(services):
        world.owner()._term.pool.apply(accepted(f"s{number}", attrs.evolve(TASK, cpu_millis=100)))
    world.owner()._term.pool.apply(accepted("b", attrs.evolve(TASK, count=9, fills=True)))
    rounds = []
    for _ in range(2):
        seen.clear()
        world.owner().step()
        rounds.append(set(seen))
    assert (True in rounds[0]) is not is_delayed
    assert True in rounds[0] | rounds[1]


def accepted(workflow_id, step):
    return accepted_event(workflow_id, QUEUE, WorkflowSpec("payload", (step,)), 1)


def test_interference_estimates_survive_the_owner(world):
    """Guards against interference with services while each new owner learns the estimates again."""
    first = world.owner()
    model = first._dispatcher.model
    model.restore([InterferenceEstimate("x", "p", 6.0, 0.5)], world.clock.monotonic())
    world.run(20)
    first.resign("test")
    world.run(2)
    world.elect(world.workers[1])
    known = world.owner()._dispatcher.model.estimates()
    assert [(row.best_effort_image, row.latency_critical_image, row.mean) for row in known] == [
        ("x", "p", 6.0)
    ]


def test_superseded_owner_commits_nothing_and_sends_no_commands(world):
    """Guards against two processes that act as the owner at the same time."""
    first = world.owner()
    world.frozen.add("w0")
    world.clock.advance(10 * SECOND)
    second = world.elect(world.workers[1])
    world.frozen.discard("w0")
    assert not first.is_owner()
    world.submit("a")
    world.run(12)
    assert second.is_owner()
    assert world.shown("a") == "completed"
    assert world.history.violations == []


def test_owner_whose_key_was_deleted_stops_granting_leases(world):
    """Guards against an idle owner that extends leases after a successor has counted them out.

    Its store lease goes on, so renewals succeed; only its key is gone.
    """
    first = world.owner()
    world.store.delete("pools/0/owner", first._term.epoch)
    world.run(STORE_LEASE // (200 * MS) + 1)
    assert not first.is_owner()


def run_others_while_the_owner_waits(world):
    """Let all processes but the owner go on while its record cannot be written."""

    def go_on():
        world.renew_sessions()
        for worker in world.workers[1:]:
            world.run_agent(worker)
        world.run_takeovers()
        if world.store.state.get(OWNER_KEY) is None:
            world.elect(world.workers[1])
            # The first owner reaches the store again, and finds that it has been replaced.
            world.store_cut.clear()

    world.clock.on_sleep = go_on


def test_peer_takes_the_pool_over_from_an_owner_that_has_lost_the_store(world):
    """Guards against work that waits for a store lease while other VMs reach the store."""
    cut_at = world.clock.monotonic()
    world.store_cut.add("w0")
    run_others_while_the_owner_waits(world)
    world.submit("a")
    assert world.clock.monotonic() - cut_at < STORE_LEASE / 2
    world.clock.on_sleep = lambda: None
    assert not world.owners["w0"].is_owner()
    assert world.submit("b").outcome == Outcome.OK
    world.run(20)
    assert world.shown("b") == "completed"
    assert world.history.violations == []


def test_owner_accepts_work_as_soon_as_its_journal_is_written_after_an_outage(world):
    """Guards against refusals by the owner until its next renewal, although the store is back."""
    session, owner = world.sessions["w0"][-1], world.owners["w0"]
    world.store.set_faults(delay_ms=1000)
    session.renew()
    lease_id, outage_at = session.session_id, world.clock.monotonic()
    world.store.set_faults(delay_ms=0, outage="refuse")

    def end_the_outage():
        session.renew()
        if not owner.is_owner():
            world.store.set_faults(outage="")

    world.clock.on_sleep = end_the_outage
    world.submit("a")
    assert world.clock.monotonic() - outage_at < STORE_LEASE
    assert session.session_id == lease_id
    assert owner.is_owner()
    assert session.failing_since is None
    assert world.submit("b").outcome == Outcome.OK


def ask(owner, method, workflow_id="b"):
    """Return the reply of an owner to a gateway's call."""
    header = wire.Header("r1", 1000, 1, "gateway", "g")
    return getattr(owner, method)(wire.WorkflowRequest(header, workflow_id, "checks", b""))


@pytest.mark.parametrize("is_cut", [True, False], ids=["during the cut", "after the cut"])
@pytest.mark.parametrize("method", ["status", "cancel"])
def test_replaced_owner_denies_no_workflow_that_its_successor_has_accepted(world, method, is_cut):
    """Guards against 410, after which the workflow that was to be cancelled runs."""
    first = world.owner()
    world.store_cut.add("w0")
    world.clock.advance(200 * MS)
    world.store.delete(OWNER_KEY, first._term.epoch)
    world.elect(world.workers[1])
    accepted = world.owners["w1"].submit(
        wire.WorkflowRequest(
            wire.Header("r1", 1000, 1, "gateway", "g"),
            "b",
            "checks",
            WorkflowSpec("payload", (TASK,)).to_json().encode(),
        )
    )
    assert accepted.outcome == Outcome.OK
    if not is_cut:
        world.store_cut.clear()
    assert first.is_owner()
    assert ask(first, method).outcome == Outcome.NOT_OWNER
    assert ask(world.owners["w1"], method).outcome == Outcome.OK


@pytest.mark.parametrize("method", ["status", "cancel"])
def test_owner_with_a_confirmed_key_says_that_a_workflow_is_unknown(world, method):
    """Guards against callers that never learn that a workflow does not exist."""
    world.clock.advance(200 * MS)
    assert ask(world.owner(), method).outcome == Outcome.NOT_FOUND
    world.store_cut.add("w0")
    world.clock.advance(200 * MS)
    assert ask(world.owner(), method).outcome == Outcome.NOT_OWNER
    world.store_cut.clear()
    world.renew_sessions()
    assert ask(world.owner(), method).outcome == Outcome.NOT_FOUND


def test_owner_that_has_asked_for_a_hand_over_does_not_count_waiting_workflows(world):
    """Guards against a number without the workflows that its successor has accepted."""
    first = world.owner()
    world.store_cut.add("w0")
    while not first._term.handover.is_store_lost(
        world.clock.monotonic(), first._term.session.failing_since
    ):
        world.renew_sessions()
        world.clock.advance(200 * MS)
    world.run_agent(world.workers[1])
    assert ask(first, "waiting").outcome == Outcome.NOT_OWNER
    assert first.is_owner()
    world.store_cut.clear()
    world.renew_sessions()
    assert ask(first, "waiting").outcome == Outcome.OK


def test_outage_of_the_store_for_all_does_not_change_the_owner(world):
    """Guards against a hand-over that no process can complete, and that takes effect later."""
    epoch = world.owner()._term.epoch
    world.store.set_faults(outage="refuse")
    run_others_while_the_owner_waits(world)
    go_on = world.clock.on_sleep
    outage_ends = world.clock.monotonic() + STORE_LEASE / 2

    def end_outage():
        if world.clock.monotonic() > outage_ends:
            world.store.set_faults(outage="")
        go_on()

    world.clock.on_sleep = end_outage
    world.submit("a")
    assert world.owner()._term.epoch == epoch
    assert world.shown("a")


@pytest.mark.parametrize("agents_tell", [True, False])
@pytest.mark.parametrize("count", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS, 5 * MAX_LISTED_ENDS])
@pytest.mark.parametrize(
    ("end_kind", "shown", "runs"),
    [(EndKind.DONE, "completed", 1), (EndKind.FAILED, "failed", QUEUE.max_attempts)],
)
def test_runs_that_a_cut_off_list_of_ends_leaves_out_are_not_repeated(
    monkeypatch, end_kind, shown, runs, count, agents_tell
):
    """Guards against repeated runs, and uncounted attempts, of ends missing from a full listing.

    :param agents_tell: whether agents tell that a listing may be cut off; earlier builds do not.
    """
    world = PoolWorld(workers=1, max_listed_ends=MAX_LISTED_ENDS)
    (worker,) = world.workers
    worker.capacity = Resources(64000, 250000)
    worker.end_kind_of = lambda name: end_kind
    if not agents_tell:
        forget_completeness(world, monkeypatch)
    world.elect()
    world.run(3)
    for number in range(count):
        world.submit(f"a{number}", attrs.evolve(TASK, cpu_millis=100))
    world.run(2)
    assert len(worker.runs) == count
    for _ in range(10):
        # The runs end, but their ends cannot be committed.
        world.clock.advance(200 * MS)
        world.agents[worker.id][0].renew_and_report(None)
    assert len(worker.ended) == count
    world.run(80)
    assert [world.shown(f"a{number}") for number in range(count)] == [shown] * count
    assert world.history.starts == runs * count
    assert world.history.violations == []


def forget_completeness(world, monkeypatch):
    """Let reports arrive as from agents of a build without the field `complete`."""
    call = DirectChannels.call

    def call_without_field(channels, address, method, req, timeout):
        if method == "report":
            req.complete = None
        return call(channels, address, method, req, timeout)

    monkeypatch.setattr(DirectChannels, "call", call_without_field)


@pytest.mark.parametrize("is_frozen", [False, True])
def test_nothing_starts_in_a_data_centre_that_was_taken_out(world, is_frozen):
    """Guards against starts in a data centre taken out, or with an outdated configuration."""
    for source in world.sources.values():
        if is_frozen:
            source.is_frozen = True
            source.confirmed_at = world.clock.monotonic() - timedelta(seconds=3)
        else:
            source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    world.submit("a")
    world.run(10)
    assert world.history.starts == 0


def test_leaving_worker_gets_no_runs(world):
    """Guards against starts on a worker that has announced that it is leaving."""
    for worker in world.workers[1:]:
        worker.leaving = True
    world.run(1)
    world.submit("a", attrs.evolve(TASK, count=8))
    world.run(3)
    assert not any(worker.runs for worker in world.workers[1:])


def test_leaving_worker_stays_out_when_its_agent_restarts(world):
    """Guards against starts on a worker that has said that it leaves.

    Its agent is restarted, and then gets an announcement that was sent before and delayed.
    """
    delayed = {worker.id: worker.announcement() for worker in world.workers}
    for worker in world.workers:
        worker.leaving = True
    world.run(2)
    for worker in world.workers[1:]:
        world.start_process(worker)
        world.agents[worker.id][0].announce(delayed[worker.id])
        world.run_agent(worker)
    world.submit("a", attrs.evolve(TASK, count=8))
    world.step_owners()
    assert world.owner()._term.pool.workers_with_runs() == []


def test_uncommitted_submission_is_refused_as_not_run(world):
    """Guards against a wrong or late refusal during a store outage."""
    world.clock.on_wait = lambda: None
    reply = world.submit("a")
    assert reply.outcome == Outcome.NOT_RUN
    assert reply.retry_after_ms > 0
    world.clock.on_wait = world.step_owners
    world.run(5)
    assert world.call("status", "a").outcome == Outcome.NOT_FOUND


@pytest.mark.parametrize("method", ["submit", "cancel"])
@pytest.mark.parametrize(
    "reject",
    [
        lambda owner, term: None,
        lambda owner, term: owner._reject_queued(term),
        lambda owner, term: owner.resign("planned stop"),
    ],
    ids=["timeout", "store outage", "hand-over"],
)
def test_repeated_call_during_an_unfinished_commit_is_not_refused_as_not_run(world, reject, method):
    """Guards against "not run" for a call whose record may already be in the journal.

    The answer to the first send is lost, and the caller sends the call again while the owner still
    tries to write its record.
    """
    owner, term = world.owner(), world.owner()._term
    send = {
        "submit": lambda: world.submit("a"),
        "cancel": lambda: world.call("cancel", "a"),
    }[method]
    if method == "cancel":
        world.submit("a", attrs.evolve(TASK, lasting=True))
    outcomes = []

    def repeat():
        if outcomes:
            return
        world.clock.on_wait = lambda: reject(owner, term)
        outcomes.append(None)
        outcomes[0] = send().outcome
        world.store.set_faults(outage="")

    is_decided = {
        "submit": lambda: "a" in term.pool.workflows,
        "cancel": lambda: term.pool.workflows["a"].is_cancelled,
    }[method]
    world.clock.on_sleep = lambda: is_decided() and repeat()
    world.store.set_faults(outage="drop")
    send()
    assert outcomes == [Outcome.OUTCOME_UNKNOWN]


@pytest.mark.parametrize("silent", ["renewals", "confirmations"])
def test_report_whose_commit_gets_no_answer_extends_the_lease(world, monkeypatch, silent):
    """Guards against running work that is lost in an outage of the store shorter than its lease.

    The store gets lost while the report waits for the commit of an ended run. A reply that comes
    after the owner's permission has ended extends no lease.
    """
    for worker in world.workers:
        worker.run_ms = lambda name: 1000 if name.startswith("short") else 100_000
    task = attrs.evolve(TASK, cpu_millis=CAPACITY.cpu_millis // 2)
    world.submit("long", attrs.evolve(task, count=3))
    world.submit("short", attrs.evolve(task, count=3))
    world.run(3)
    holder = next(
        worker
        for worker in world.workers
        if {name.split("/")[0] for name in worker.runs} == {"long", "short"}
    )
    world.clock.advance(STORE_LEASE / 3)
    holder.end_due_runs()
    assert [end.task.split("/")[0] for end in holder.ended] == ["short"]
    listed_ms = holder.clock_ms()
    outage_at = world.clock.monotonic()
    owner, term = world.owner(), world.owner()._term
    session = world.sessions["w0"][-1]

    def wait_without_commits(event, timeout):
        world.clock.advance(timeout)
        if silent == "renewals":
            world.store.set_faults(outage="refuse")
        session.renew()
        return event.is_set()

    monkeypatch.setattr(world.clock, "wait", wait_without_commits)
    agent, directory = world.agents[holder.id]
    assert agent.renew_and_report(directory.owner())
    assert owner.is_owner()
    assert agent._grant.lease_until_ms == listed_ms + PoolLeaseTimes().lease // MS
    assert agent._grant.ended_through == 0
    assert world.clock.monotonic() - outage_at > SECOND
    assert not term.pool.task(holder.ended[0].task).workflow.is_ended


def test_runs_of_a_worker_that_is_slow_to_report_continue(world, monkeypatch):
    """Guards against running work that is stopped because its worker's reports are delayed."""
    for worker in world.workers:
        worker.run_ms = lambda name: 20_000
    world.submit("a")
    world.run(4)
    holder = next(worker for worker in world.workers if worker.runs)
    monkeypatch.setattr(world.agents[holder.id][0], "renew_and_report", lambda owner: True)
    world.run(20)
    monkeypatch.undo()
    world.run(10)
    assert world.history.starts == 1
    assert [run.run for run in holder.runs.values()] == [1]


def test_runs_of_a_suspended_vm_continue(world):
    """Guards against running work that is moved because its VM was suspended for some seconds."""
    for worker in world.workers:
        worker.run_ms = lambda name: 100_000
    world.workers[0].leaving = True
    world.run(1)
    world.submit("a")
    world.run(7)
    holder = next(worker for worker in world.workers if worker.runs)
    world.frozen.add(holder.id)
    suspended_at = world.clock.monotonic()
    world.run(20)
    holder.incarnation_began_at += world.clock.monotonic() - suspended_at
    world.frozen.discard(holder.id)
    world.run(10)
    assert world.history.starts == 1
    assert [run.run for run in holder.runs.values()] == [1]


def test_stalled_runs_are_moved(world):
    """Guards against tasks stuck on a worker that reports normally but makes no progress."""
    world.workers[0].is_hung = True
    world.submit("a", attrs.evolve(TASK, count=6))
    world.run(30)
    assert world.shown("a") == "completed"
    assert world.history.violations == []


@pytest.mark.parametrize(
    ("checkpoints", "percent", "expected"),
    [(True, 60, True), (True, 90, False), (False, 10, True), (False, 30, False)],
)
def test_only_runs_that_are_cheap_to_stop_are_moved(world, checkpoints, percent, expected):
    """Guards against discarding progress to protect a service when a lower duty cycle would do."""
    world.submit("a", attrs.evolve(TASK, checkpoints=checkpoints))
    world.run(1)
    task = world.owner()._term.pool.task("a/0/0/0")
    assert is_cheap_to_stop(task, RunningRun("a/0/0/0", 1, "", percent)) is expected


def test_worker_with_consecutive_failures_gets_no_runs_for_a_while(world):
    """Guards against tasks that use up their attempts on a worker where every run fails."""
    world.workers[0].end_kind_of = lambda name: EndKind.FAILED
    for number in range(3):
        world.submit(f"a{number}", attrs.evolve(TASK, count=2))
    world.run(8)
    placed = world.history.starts
    world.submit("b", attrs.evolve(TASK, count=12, cpu_millis=500))
    world.run(1)
    assert world.history.starts > placed
    assert not world.workers[0].runs


@pytest.mark.parametrize("fault_s", [5, 11, 20])
def test_service_starts_soon_after_all_workers_have_failed_their_runs(world, fault_s):
    """Guards against a long-running task that waits because every worker is excluded."""
    fail_all_runs(world, fault_s)
    world.submit("s", attrs.evolve(TASK, lasting=True))
    world.run(3 * ROUNDS_PER_SECOND)
    assert world.held_tasks("s")


@pytest.mark.parametrize("fault_s", [5, 11, 20])
def test_checks_run_soon_after_all_workers_have_failed_their_runs(world, fault_s):
    """Guards against exclusions that keep the whole pool idle long after a fault has ended."""
    fail_all_runs(world, fault_s)
    world.submit("c")
    world.run(7 * ROUNDS_PER_SECOND)
    assert world.shown("c") == "completed"


def test_failing_workers_are_probed_with_single_runs(world):
    """Guards against tasks that use up their attempts on workers that keep failing."""
    fail_all_runs(world, 10)
    started = world.history.starts
    fail_all_runs(world, 20, first=1000)
    probes = 20 * SECOND // INITIAL_EXCLUSION + 1
    assert 0 < world.history.starts - started <= probes * len(world.workers)


def fail_all_runs(world, seconds, first=0):
    """Let all runs fail for some seconds, while five checks arrive each second."""
    for worker in world.workers:
        worker.end_kind_of = lambda name: EndKind.FAILED
    for number in range(first, first + seconds * ROUNDS_PER_SECOND):
        world.submit(f"f{number}", attrs.evolve(TASK, cpu_millis=100))
        world.round()
    for worker in world.workers:
        worker.end_kind_of = lambda name: EndKind.DONE


def test_queue_unknown_to_the_owner_is_a_retryable_refusal(world):
    """Guards against a final refusal of a new queue that the owner has not read yet."""
    reply = world.submit("a", queue="added-just-now")
    assert reply.outcome == Outcome.NOT_RUN
    assert reply.retry_after_ms > 0


def test_spread_limit_holds(world):
    """Guards against more tasks of a step on one worker than `max_per_worker` allows."""
    world.submit("a", attrs.evolve(TASK, count=6, max_per_worker=1))
    world.run(2)
    assert [len(worker.runs) for worker in world.workers] == [1, 1, 1]
    world.run(20)
    assert world.shown("a") == "completed"


def test_required_label_holds(world):
    """Guards against a start on a worker without the required label."""
    world.submit("a", attrs.evolve(TASK, count=3, required_label="rack-w2"))
    world.run(2)
    assert [len(worker.runs) for worker in world.workers] == [0, 0, 3]


@pytest.mark.parametrize(
    ("seed", "deadly_share", "max_listed_ends"),
    [
        *itertools.product([*range(12), 3001], [0.0, 0.03], [500, 2]),
        (4047, 0.03, 500),
        (4075, 0.03, 500),
        (4094, 0.0, 500),
        (4094, 0.03, 500),
        (4140, 0.03, 2),
        (5016, 0.03, 500),
        (9034, 0.03, 500),
        (9058, 0.03, 500),
        (9095, 0.03, 500),
    ],
)
def test_guarantees_hold_under_random_faults(seed, deadly_share, max_listed_ends):
    """Guards against duplicate runs, early steps and overcommitted workers under mixed faults.

    Some tasks crash the workers that start them, and must not start too often.
    """
    _play_random_faults(seed, deadly_share, max_listed_ends=max_listed_ends)


@pytest.mark.parametrize(
    ("seed", "deadly_share"), [(seed, 0.0) for seed in range(30)] + [(1, 0.03), (2, 0.03)]
)
def test_guarantees_hold_under_random_faults_and_calls_to_earlier_incarnations(seed, deadly_share):
    """Guards against the same where a start without a response reaches the next incarnation."""
    _play_random_faults(
        seed,
        deadly_share,
        times=MAX_LEASE_TIMES,
        max_lease=MAX_LEASE_TIMES.max_lease,
        max_call_delay=MAX_CALL_DELAY,
    )


def _play_random_faults(seed, deadly_share, **options):
    world = PoolWorld(workers=4, seed=seed, run_ms=_run_ms, **options)
    rng = world.rng
    crash_ms = {}
    for worker in world.workers:
        worker.crash_ms_of = lambda name: crash_ms.get(name.split("/")[0])
    world.elect()
    world.run(3)
    expected = {}
    delayed_announcements = []

    def end_outage():
        world.renew_sessions()
        if rng.random() < 0.2:
            world.store.set_faults(outage="")
            world.store_cut.clear()

    world.clock.on_sleep = end_outage
    for turn in range(250):
        if turn % 5 == 0 and world.owner() is not None:
            steps = [_random_step(rng)]
            lasting = rng.random() < 0.1
            steps.append(attrs.evolve(TASK, after=(0,), lasting=lasting))
            if world.submit(f"a{turn}", *steps).outcome == Outcome.OK:
                expected[f"a{turn}"] = "running" if lasting else "completed"
        if deadly_share and rng.random() < deadly_share and world.owner() is not None:
            crash_ms[f"deadly{turn}"] = rng.choice([0, 10, 100, 300])
            if world.submit(f"deadly{turn}", TASK).outcome == Outcome.OK:
                expected[f"deadly{turn}"] = "failed"
        _inject_fault(world, rng, delayed_announcements)
        world.round(timedelta(milliseconds=rng.randint(20, 400)))
        world.run_takeovers()
        if world.owner() is None or world.store.state.get(OWNER_KEY) is None:
            _claim(world, rng)
        assert world.history.violations == [], (seed, turn)
    _end_all_faults(world)
    for _ in range(500 if deadly_share else 120):
        world.round()
        if world.owner() is None:
            # The last owner may release the pool because other agents could not reach it.
            _claim(world, rng)
    for task, losses in world.history.losses_by_task.items():
        workflow = task.split("/")[0]
        # A task under which workers crash again and again may be given up, whatever the cause.
        if deadly_share and losses >= 3 and world.shown(workflow) == "failed":
            expected[workflow] = "failed"
    assert {name: world.shown(name) for name in expected} == expected
    assert world.history.violations == []


def _random_step(rng):
    step = attrs.evolve(TASK, count=rng.randint(1, 5), cpu_millis=rng.choice([500, 3000]))
    if rng.random() < 0.3:
        return attrs.evolve(step, fills=True, memory_mb=rng.choice([1000, 5000]))
    return step


def _run_ms(name):
    return 300 + zlib.crc32(name.encode()) % 2500


def _inject_fault(world, rng, delayed_announcements):
    worker = rng.choice(world.workers)
    draw = rng.random()
    if draw < 0.02:
        worker.restart()
    elif draw < 0.05:
        world.start_process(worker)
    elif draw < 0.08:
        world.cut.add(worker.id)
    elif draw < 0.14:
        world.cut.discard(worker.id)
    elif draw < 0.17:
        world.frozen.add(worker.id)
    elif draw < 0.25:
        world.frozen.discard(worker.id)
    elif draw < 0.27:
        world.store.set_faults(outage="refuse")
    elif draw < 0.37:
        world.store.set_faults(outage="")
    elif draw < 0.42:
        worker.loses_reply = lambda: rng.random() < 0.5
    elif draw < 0.47:
        worker.loses_reply = lambda: False
    elif draw < 0.57:
        worker.run_delayed_starts()
    elif draw < 0.60:
        world.store_cut.add(worker.id)
    elif draw < 0.68:
        world.store_cut.discard(worker.id)
    elif draw < 0.76:
        worker.capacity = rng.choice(CAPACITIES)
    elif draw < 0.80:
        world.deliver_delayed_reports()
    elif draw < 0.84:
        delayed_announcements.append((worker, worker.incarnation, worker.announcement()))
    elif draw < 0.88 and delayed_announcements:
        sender, incarnation, announcement = delayed_announcements.pop()
        if sender.incarnation == incarnation:
            world.agents[sender.id][0].announce(announcement)
    world.reply_loss_rate = rng.choice([0.0, 0.0, 0.1])
    world.report_delay_rate = rng.choice([0.0, 0.0, 0.1])


def _claim(world, rng):
    worker = rng.choice(world.workers)
    if worker.id in world.frozen:
        return
    try:
        world.owners[worker.id].acquire()
    except (StoreError, JournalError):
        return


def _end_all_faults(world):
    world.store.set_faults(outage="")
    world.cut.clear()
    world.store_cut.clear()
    world.frozen.clear()
    world.reply_loss_rate = 0.0
    world.report_delay_rate = 0.0
    for worker in world.workers:
        worker.loses_reply = lambda: False
        worker.capacity = CAPACITY
    for _ in range(40):
        world.run_takeovers()
        if world.owner() is not None and world.store.state.get(OWNER_KEY) is not None:
            return
        world.round()
        _claim(world, world.rng)

"""Starts without an answer that are executed late, by a later incarnation of their worker."""

import pytest
from mulberryslip.runners import EndKind, RunnerUnavailableError
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Phase
from mulberryslipd.ownerships import QueuedCall
from pool_doubles import MAX_CALL_DELAY, MAX_LEASE_TIMES, MS, QUEUE, TIMES, PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
SERVICE = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
ROUNDS_PER_SECOND = 5
RUN_MS = 60_000


def new_world(times=MAX_LEASE_TIMES, run_ms=RUN_MS):
    """Return a world whose owner is beside the last worker, which gets no runs."""
    world = PoolWorld(
        4,
        times=times,
        run_ms=lambda name: run_ms,
        max_lease=max(times.lease, times.max_lease),
        max_call_delay=MAX_CALL_DELAY,
    )
    world.elect(world.workers[3])
    world.run(12 * ROUNDS_PER_SECOND)
    world.owner()._term.members["w3"].leaving = True
    return world


def test_task_is_not_kept_for_long_by_a_late_run_of_a_worker_that_is_cut_off():
    """Guards against a last listing that names the late run and is taken for true for a minute."""
    world = new_world()
    worker = world.submit_without_answer(TASK)
    world.crash_and_start_late(worker, 1000 * MS)
    assert worker.runs
    while "a/0/0/0" not in world.owner()._term.members[worker.id].running:
        world.round()
    world.isolate(worker)
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


def test_start_is_not_repeated_if_the_next_incarnation_ends_before_it_lists_its_runs():
    """Guards against an absence report of the second incarnation, which lacks the first's start."""
    world = new_world()
    worker = world.submit_without_answer(TASK)
    agent, directory = world.agents[worker.id]
    worker.restart()
    agent.announce(worker.announcement())
    assert agent.renew_and_report(directory.owner())
    world.crash_and_start_late(worker, 2000 * MS)
    world.run(8 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert len([worker for worker in world.workers if worker.runs]) == 1


def test_start_is_not_repeated_if_the_agent_that_sent_it_has_restarted():
    """Guards against an absence report by an agent that does not know of the start."""
    world = new_world()
    worker = world.submit_without_answer(TASK)
    world.start_process(worker)
    world.announce_workers()
    agent, directory = world.agents[worker.id]
    directory.refresh()
    agent.renew_and_report(directory.owner())
    world.crash_and_start_late(worker, 2000 * MS)
    world.run(8 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert len([worker for worker in world.workers if worker.runs]) == 1


@pytest.mark.parametrize("times", [TIMES, MAX_LEASE_TIMES])
def test_pending_start_is_not_repeated_by_the_next_owner(times):
    """Guards against an owner that does not know which starts its predecessor waited for."""
    world = new_world(times)
    worker = world.submit_without_answer(TASK)
    worker.outage = 4000 * MS
    worker.crash()
    task = world.owner()._term.pool.task("a/0/0/0")
    while task.phase is not Phase.WAITING:
        world.round()
    assert worker.is_down
    world.owner().resign("planned stop")
    while worker.is_down:
        world.run_with_claims(1)
        worker.crash_if_due()
    worker.run_delayed_starts()
    world.run_with_claims(8 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert len([worker for worker in world.workers if worker.runs]) == 1


@pytest.mark.parametrize("times", [TIMES, MAX_LEASE_TIMES])
@pytest.mark.parametrize("is_planned", [True, False])
@pytest.mark.parametrize("rounds_until_start", [5, 15, 25])
def test_late_start_of_a_worker_that_is_cut_off_is_not_repeated_by_the_next_owner(
    times, is_planned, rounds_until_start
):
    """Guards against a next owner that counts only the last lease from its predecessor."""
    world = new_world(times)
    worker = world.submit_without_answer(TASK)
    worker.outage = 200 * MS
    worker.crash()
    world.isolate(worker)
    if is_planned:
        world.owner().resign("planned stop")
    else:
        world.frozen.add("w3")
    world.run_with_claims(rounds_until_start)
    worker.run_delayed_starts()
    assert worker.runs
    world.run_with_claims(30 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


@pytest.mark.parametrize("times", [TIMES, MAX_LEASE_TIMES])
def test_vm_that_is_off_ends_the_wait_for_a_late_start(times):
    """Guards against services that wait on although the list of VMs shows the worker's end."""
    world = new_world(times)
    world.inventory.is_down = True
    worker = world.submit_without_answer(SERVICE)
    world.switch_off(worker)
    world.run(7 * ROUNDS_PER_SECOND)
    world.inventory.is_down = False
    world.run(2 * ROUNDS_PER_SECOND)
    assert world.history.starts == 1


class _SlowRunner:
    """A worker that ends while a start is being sent."""

    def __init__(self, agent_of, worker):
        self._agent_of = agent_of
        self._worker = worker
        self.rows = None

    def __getattr__(self, name):
        return getattr(self._worker, name)

    def start(self, worker_id, command, fence):
        agent = self._agent_of()
        if command.run == 1:
            self._worker.start(worker_id, command, fence)
            raise RunnerUnavailableError("no reply")
        with agent._lock:
            self.rows = agent._starts_in_flight(agent._announcement)
        return self._worker.start(worker_id, command, fence)


def test_start_that_is_being_sent_is_reported_beside_an_unanswered_earlier_run():
    """Guards against a row of an earlier run that hides the start of the next one."""
    world = PoolWorld(1, run_ms=lambda name: 200)
    world.elect(world.workers[0])
    world.run(5)
    worker = world.workers[0]
    worker.end_kind_of = lambda name: EndKind.FAILED
    agent, _ = world.agents[worker.id]
    agent._runner = runner = _SlowRunner(lambda: agent, worker)
    world.submit("a", TASK)
    for _ in range(7):
        world.round()
        if runner.rows is not None:
            break
    assert runner.rows is not None
    assert [(row.task, row.run) for row in runner.rows if row.run == 2] == [("a/0/0/0", 2)]


def test_crashes_of_a_task_that_is_done_late_are_forgotten():
    """Guards against evidence of crashes that stays with a task that is done."""
    world = new_world(run_ms=100)
    for worker in world.workers:
        worker.loses_reply = lambda: True
    world.submit("a", TASK, StepSpec(cpu_millis=9000, memory_mb=100, after=(0,)))
    while not any(worker.delayed_starts for worker in world.workers):
        world.round()
    for worker in world.workers:
        worker.loses_reply = lambda: False
    worker = next(worker for worker in world.workers if worker.delayed_starts)
    worker.outage = 3000 * MS
    worker.crash()
    pool = world.owner()._term.pool
    task = pool.task("a/0/0/0")
    while task.phase is not Phase.WAITING:
        world.round()
    crashed = [task.name for task in pool.crashed_tasks()]
    world.run_until_back(worker)
    worker.run_delayed_starts()
    world.run(2 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert task.phase is Phase.DONE
    assert crashed == [task.name]
    assert pool.crashed_tasks() == []


def test_late_run_that_has_failed_counts_as_an_attempt():
    """Guards against more starts than attempts (BUDGET), since the late end is acknowledged."""
    world = new_world(run_ms=100)
    for worker in world.workers:
        worker.end_kind_of = lambda name: EndKind.FAILED
    worker = world.submit_without_answer(TASK)
    world.crash_and_start_late(worker, 1000 * MS)
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.shown("a") == "failed"
    assert world.history.starts == QUEUE.max_attempts


@pytest.mark.parametrize("has_snapshot", [False, True])
def test_next_owner_accepts_the_end_of_a_late_run(has_snapshot):
    """Guards against a task that runs again although its done run is acknowledged."""
    world = new_world(run_ms=100)
    worker = world.submit_without_answer(TASK)
    worker.outage = 3000 * MS
    worker.crash()
    owner = world.owner()
    task = owner._term.pool.task("a/0/0/0")
    while task.phase is not Phase.WAITING:
        world.round()
    world.run_until_back(worker)
    worker.run_delayed_starts()
    world.clock.advance(200 * MS)
    worker.end_due_runs()
    assert worker.ended
    if has_snapshot:
        owner._write_snapshot(owner._term)
    owner.resign("planned stop")
    isolated = {name for name in world.agents if name != worker.id}
    world.frozen |= isolated
    world.owners[worker.id].acquire()
    world.run_with_claims(10)
    world.frozen -= isolated
    world.run_with_claims(40)
    assert world.history.violations == []
    assert world.history.starts == 1
    assert world.shown("a") == "completed"


def test_task_does_not_start_before_the_listing_that_settles_it_is_reconciled():
    """Guards against a report that is observed at once, but waits behind large submissions."""
    world = new_world(run_ms=100)
    worker = world.submit_without_answer(TASK)
    worker.outage = 3000 * MS
    worker.crash()
    owner = world.owner()
    term = owner._term
    task = term.pool.task("a/0/0/0")
    while task.phase is not Phase.WAITING:
        world.round()
    world.run_until_back(worker)
    worker.run_delayed_starts()
    world.clock.advance(200 * MS)
    worker.end_due_runs()
    assert worker.ended
    world.announce_workers()
    agent, directory = world.agents[worker.id]
    agent.renew_and_report(directory.owner())
    world.step_owners()
    term.inbox.extend(QueuedCall(list, 200 * 1024) for _ in range(2))
    agent.renew_and_report(directory.owner())
    world.run(4 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 1


@pytest.mark.parametrize("times", [TIMES, MAX_LEASE_TIMES])
def test_late_start_is_not_repeated_by_a_next_owner_that_has_heard_the_worker(times):
    """Guards against an owner that takes starts of its predecessor for never delivered."""
    world = new_world(times)
    worker = world.submit_without_answer(TASK)
    world.owner().resign("planned stop")
    world.owners["w3"].acquire()
    agent, directory = world.agents[worker.id]
    for _ in range(2):
        directory.refresh()
        agent.renew_and_report(directory.owner())
    assert world.owner()._term.members[worker.id].fenced_at is not None
    worker.outage = 200 * MS
    worker.crash()
    world.isolate(worker)
    world.run(25)
    worker.run_delayed_starts()
    assert worker.runs
    world.run(30 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


def test_next_owner_adds_the_longest_lease_to_the_record_of_an_earlier_build():
    """Guards against a planned end of a build before, which states ages without the excess."""
    world = new_world()
    grants = {worker.id: world.agents[worker.id][0]._grant for worker in world.workers[:3]}
    for worker in world.workers[:3]:
        worker.restart()
        grant = grants[worker.id]
        worker.extend_lease(worker.id, grant.fence, grant.lease_until_ms, 0, 0 * MS)
    world.submit("a", TASK)
    while not world.history.starts:
        world.round()
    owner = world.owner()
    worker = next(worker for worker in world.workers if worker.runs)
    world.isolate(worker)
    # The build before has no settlements and adds no excess.
    owner._scheduler._times = TIMES
    owner.resign("planned stop")
    world.run_with_claims(25 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2

"""Announcements of other writers: only a worker that replies under its id is used."""

import attrs
import pytest
from mulberryslip.steps import StepSpec
from mulberryslip.wire import ttypes as wire
from mulberryslipd.agents import MAX_SUCCESSORS
from pool_doubles import PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
ROUNDS_PER_SECOND = 5
LATER, EARLIER = "9999@i-foreign", "0000@i-foreign"


@pytest.fixture
def world():
    """Return a world with a run that lasts on its first worker; the owner is beside another."""
    world = PoolWorld(workers=3)
    for worker in world.workers:
        worker.run_ms = lambda name: 600_000
    world.elect(world.workers[2])
    world.run(2 * ROUNDS_PER_SECOND)
    submit_beside(world.workers[0], world, "a")
    assert world.workers[0].runs["a/0/0/0"].run == 1
    return world


def submit_beside(worker, world, name):
    """Submit a workflow that only one worker may run."""
    rack = f"rack-{worker.id}"
    world.submit(name, attrs.evolve(TASK, lasting=True, required_label=rack))
    world.run(2 * ROUNDS_PER_SECOND)


def foreign_announcement(worker, incarnation=LATER, **change):
    return attrs.evolve(
        worker.announcement(),
        worker_id="i-foreign",
        incarnation=incarnation,
        service="not-named",
        **change,
    )


@pytest.mark.parametrize("incarnation", [LATER, EARLIER])
@pytest.mark.parametrize("service", ["not-named", "ledger"])
@pytest.mark.parametrize("machine", ["m0", "m1", "elsewhere", ""])
def test_announcement_of_another_writer_changes_nothing(world, incarnation, service, machine):
    """Guards against runs that start a second time, and a worker that is not used any more."""
    worker = world.workers[0]
    agent = world.agents["w0"][0]
    for _ in range(3 * ROUNDS_PER_SECOND):
        announcement = foreign_announcement(worker, incarnation, machine=machine)
        agent.announce(attrs.evolve(announcement, service=service))
        world.round()
    assert worker.runs["a/0/0/0"].run == 1
    assert agent._announcement.worker_id == "w0"
    submit_beside(worker, world, "b")
    assert worker.runs["b/0/0/0"].run == 1
    assert world.history.violations == []


@pytest.mark.parametrize("incarnation", ["9999@w0", "0000@w0"])
@pytest.mark.parametrize("sequence", [1, 10**6])
def test_announcement_under_the_workers_id_ends_no_run(world, incarnation, sequence):
    """Guards against runs that start a second time after an announcement of another start time."""
    worker = world.workers[0]
    announcement = foreign_announcement(worker, incarnation, sequence=sequence)
    world.agents["w0"][0].announce(attrs.evolve(announcement, worker_id="w0"))
    world.run(3 * ROUNDS_PER_SECOND)
    assert worker.runs["a/0/0/0"].run == 1
    submit_beside(worker, world, "b")
    assert worker.runs["b/0/0/0"].run == 1
    assert world.history.violations == []


@pytest.mark.parametrize("incarnation", [LATER, EARLIER])
def test_worker_is_found_after_an_announcement_of_another_writer(world, incarnation):
    """Guards against an agent that holds the first announcement it gets for its worker's."""
    worker = world.workers[0]
    world.start_process(worker)
    agent = world.agents["w0"][0]
    agent.announce(foreign_announcement(worker, incarnation))
    world.run(2 * ROUNDS_PER_SECOND)
    assert agent._announcement.worker_id == "w0"
    submit_beside(worker, world, "b")
    assert sorted(worker.runs) == ["a/0/0/0", "b/0/0/0"]
    assert worker.runs["a/0/0/0"].run == 1
    assert world.history.violations == []


def test_unconfirmed_worker_ends_no_run(world):
    """Guards against an owner that believes an agent of an earlier build."""
    worker = world.workers[0]
    announcement = foreign_announcement(worker)
    agent = world.agents["w0"][0]
    req = agent._report_request(announcement, None, [], False)
    assert world.owner().report(req).outcome == wire.Outcome.OK
    world.run(ROUNDS_PER_SECOND)
    assert worker.runs["a/0/0/0"].run == 1
    assert world.history.violations == []


@pytest.mark.parametrize("is_clock_set_back", [False, True])
def test_next_worker_on_the_vm_is_used(world, is_clock_set_back):
    """Guards against a worker under a new id that is not used, or whose runs are started again."""
    worker = world.workers[0]
    if is_clock_set_back:
        worker.incarnation_number -= 2
    world.history.losses_by_task.clear()
    worker.restart()
    worker.id = "w0-2"
    world.update_worker_id(worker)
    world.run(2 * ROUNDS_PER_SECOND)
    submit_beside(worker, world, "b")
    first = worker.runs["b/0/0/0"].run
    world.run(10 * ROUNDS_PER_SECOND)
    assert worker.runs["b/0/0/0"].run == first == 1
    assert world.history.violations == []


def test_announced_workers_are_bounded(world):
    """Guards against an agent whose memory grows with the announcements of another writer."""
    worker = world.workers[0]
    agent = world.agents["w0"][0]
    for number in range(1000):
        announcement = foreign_announcement(worker)
        agent.announce(attrs.evolve(announcement, worker_id=f"i-foreign-{number}"))
    assert len(agent._successors) <= MAX_SUCCESSORS


def test_agent_asks_a_successor_only_while_its_worker_does_not_reply(world):
    """Guards against calls to the worker for each announcement of another writer."""
    worker = world.workers[0]
    agent, directory = world.agents["w0"]
    asked = []
    extend_lease = worker.extend_lease

    def record_call(worker_id, *args):
        asked.append(worker_id)
        return extend_lease(worker_id, *args)

    worker.extend_lease = record_call
    for _ in range(2):
        agent.announce(foreign_announcement(worker))
        agent.renew_and_report(directory.owner())
    assert asked == ["w0", "w0"]


def test_call_for_another_worker_has_no_effect(world):
    """Guards against a lease or an acknowledgement that reaches a worker meant for another one."""
    worker = world.workers[0]
    worker.ended = []
    lease_until, fence = worker.lease_until, worker.fence
    agent = world.agents["w0"][0]
    agent._is_incarnation_confirmed = False
    agent.announce(foreign_announcement(worker))
    agent._find_successor()
    assert (worker.lease_until, worker.fence) == (lease_until, fence)
    assert not agent._successors


def test_worker_that_does_not_reply_keeps_its_announcement(world):
    """Guards against a successor that is dropped because its worker is not ready to reply yet."""
    worker = world.workers[0]
    agent, directory = world.agents["w0"]
    worker.is_down = True
    agent.renew_and_report(directory.owner())
    worker.restart()
    worker.id = "w0-2"
    agent.announce(worker.announcement())
    agent.renew_and_report(directory.owner())
    assert list(agent._successors) == ["w0-2"]
    worker.is_down = False
    agent.renew_and_report(directory.owner())
    assert agent._announcement.worker_id == "w0-2"


@pytest.mark.parametrize("is_gone", [False, True])
def test_worker_that_leaves_while_it_is_asked_gets_no_start(world, is_gone):
    """Guards against a start after the agent acknowledged that the worker is leaving."""
    worker = world.workers[0]
    agent, directory = world.agents["w0"]
    worker.is_down = True
    agent.renew_and_report(directory.owner())
    worker.restart()
    worker.id = "w0-2"
    worker.is_down = False
    agent.announce(worker.announcement())
    extend_lease = worker.extend_lease

    def leave_during_call(*args):
        worker.extend_lease = extend_lease
        if is_gone:
            agent.mark_leaving(worker.id)
        else:
            worker.leaving = True
            agent.announce(worker.announcement())
        return extend_lease(*args)

    worker.extend_lease = leave_during_call
    agent.renew_and_report(directory.owner())
    assert agent._announcement.leaving or agent._announcement.worker_id == "w0"

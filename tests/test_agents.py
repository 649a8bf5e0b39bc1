"""Tests of the agent beside a worker: refusals, reports and leases."""

import threading
from datetime import timedelta

import attrs
import pytest
from mulberryslip.runners import EndedRun, EndKind
from mulberryslip.steps import StepSpec
from mulberryslip.wire import ttypes as wire
from mulberryslipd.agents import REPORT_INTERVAL, RETRY_PAUSE
from pool_doubles import SECOND, PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100)


@pytest.fixture
def world():
    world = PoolWorld(workers=1)
    world.elect()
    world.run(3)
    return world


def agent_of(world):
    return world.agents["w0"][0]


def start_command(name="a/0/0/0"):
    profile = wire.RunProfile(name, "", False, 1000, 0, 0)
    return wire.RunStart(name, 1, "payload", "", 10**9, profile)


def test_leaving_worker_gets_no_start_whatever_the_owner_knows(world):
    """Guards against a start after the agent acknowledged that the worker is leaving."""
    worker = world.workers[0]
    world.submit("a", attrs.evolve(TASK, count=2))
    worker.leaving = True
    agent_of(world).announce(worker.announcement())
    world.run_agent(worker)
    assert world.history.starts == 0
    world.run(3)
    assert world.held_tasks("a") == []


def test_agent_pauses_between_reports_while_its_worker_is_down(world, monkeypatch):
    """Guards against an owner that is kept busy by reports of workers that are down."""
    (worker,) = world.workers
    stop, calls, pauses = threading.Event(), [], []
    wait = world.clock.wait

    def refuse(*args):
        calls.append(args)
        if len(calls) == 3:
            stop.set()
        worker._require_reachable()

    def record_pause(event, timeout):
        if event is stop:
            pauses.append(timeout)
        return wait(event, timeout)

    worker.is_down = True
    worker.extend_lease = refuse
    monkeypatch.setattr(world.clock, "wait", record_pause)
    agent_of(world)._run_holder(stop)
    assert pauses == [RETRY_PAUSE] * 3


def test_announcement_is_answered_without_waiting_for_the_owner(world):
    """Guards against a late acknowledgement of leaving, which waits for an unreachable owner."""
    worker = world.workers[0]
    world.cut.add(world.address(worker))
    calls = []
    worker.extend_lease = lambda *args: calls.append(args)
    agent_of(world).announce(attrs.evolve(worker.announcement(), leaving=True))
    assert calls == []


def test_ended_worker_is_reported_at_once_and_then_seldom(world):
    """Guards against a loop of calls and reports as fast as the processor allows."""
    agent, directory = world.agents["w0"]
    owner = directory.owner()
    world.workers[0].is_down = True
    reports = []
    report = agent._channels.call
    agent._channels.call = lambda *args: reports.append(args) or report(*args)
    for _ in range(20):
        # The holder pauses after a call that returns False.
        assert not agent.renew_and_report(owner)
        world.clock.advance(RETRY_PAUSE)
    assert 1 <= len(reports) <= 1 + 20 * RETRY_PAUSE // REPORT_INTERVAL


def test_next_owner_hears_at_once_that_a_worker_has_ended(world):
    """Guards against a new owner that waits for a worker whose end the previous one knew."""
    agent, directory = world.agents["w0"]
    world.workers[0].is_down = True
    agent.renew_and_report(directory.owner())
    reports = []
    report = agent._channels.call
    agent._channels.call = lambda *args: reports.append(args) or report(*args)
    agent.renew_and_report(attrs.evolve(directory.owner(), epoch=directory.owner().epoch + 1))
    assert len(reports) == 1


@pytest.mark.parametrize(
    ("change", "is_taken"),
    [
        ({"sequence": 10**6, "leaving": True}, True),
        ({"sequence": 1, "leaving": True}, False),
        ({"incarnation": "0000@w0", "leaving": True}, False),
        ({"incarnation": "0009@w0", "sequence": 1, "leaving": True}, True),
    ],
)
def test_late_announcement_changes_nothing(world, change, is_taken):
    """Guards against a delayed call that replaces a newer announcement or incarnation."""
    agent = agent_of(world)
    agent.announce(attrs.evolve(world.workers[0].announcement(), **change))
    assert agent._announcement.leaving is is_taken


@pytest.mark.parametrize(("worker_id", "is_leaving"), [("w0", True), ("other", False)])
def test_departing_worker_counts_as_leaving(world, worker_id, is_leaving):
    """Guards against starts on a worker that has said that it is exiting."""
    agent_of(world).mark_leaving(worker_id)
    assert agent_of(world)._announcement.leaving is is_leaving


def test_command_for_an_earlier_incarnation_is_refused(world):
    """Guards against a start that was meant for an earlier incarnation."""
    agent = agent_of(world)
    earlier = agent._announcement
    world.workers[0].restart()
    agent.announce(world.workers[0].announcement())
    agent._commands.put((earlier, start_command(), 10**9))
    agent.execute_next_command()
    assert world.history.starts == 0


def test_ends_of_an_unannounced_incarnation_are_not_dropped(world):
    """Guards against losing the end of a run because an earlier incarnation had as many ends.

    The worker drops a call, restarts under its id, and a run ends before it announces itself.
    """
    worker = world.workers[0]
    agent = agent_of(world)
    world.submit("a", attrs.evolve(TASK, count=3))
    world.run(15)
    assert agent._grant.ended_through == 3
    worker.is_unreachable = True
    world.run_agent(worker)
    worker.is_unreachable = False
    worker.restart()
    worker.ended = [EndedRun(1, "b/0/0/0", 1, EndKind.DONE, "")]
    world.run_agent(worker)
    assert [end.task for end in worker.ended] == ["b/0/0/0"]


def test_nothing_starts_after_a_dropped_call(world):
    """Guards against a command for an earlier incarnation that reaches a restarted worker.

    The new incarnation has no fencing token yet that would refuse it.
    """
    worker = world.workers[0]
    agent = agent_of(world)
    worker.is_unreachable = True
    world.run_agent(worker)
    worker.is_unreachable = False
    agent._commands.put((agent._announcement, start_command(), 10**9))
    agent.execute_next_command()
    assert world.history.starts == 0
    assert [refusal.certain for refusal in agent._pending_refusals] == [True]


def test_lease_is_extended_only_by_the_owner(world):
    """Guards against runs that continue without an owner, beside those of the next owner."""
    worker = world.workers[0]
    worker.run_ms = lambda name: 60_000
    world.submit("a", TASK)
    world.run(3)
    lease = worker.lease_until
    world.cut.add(worker.id)
    for _ in range(10):
        world.run_agent(worker)
        world.clock.advance(SECOND / 2)
    assert worker.lease_until <= lease + 500
    world.clock.advance(timedelta(seconds=3))
    worker.end_due_runs()
    assert not worker.runs


def test_lost_members_are_removed(world):
    """Guards against memory that grows with each incarnation of a worker."""
    world.run(1)
    world.clock.advance(timedelta(minutes=2))
    world.renew_sessions()
    term = world.owner()._term if world.owner() else None
    if term is None:
        world.elect()
        world.run(2)
        term = world.owner()._term
        term.members["gone"] = attrs.evolve(term.members["w0"], worker_id="gone")
        term.members["gone"].received_at -= timedelta(minutes=2)
        world.clock.advance(timedelta(seconds=11))
        world.renew_sessions()
    world.step_owners()
    assert "gone" not in term.members

"""The agent beside a worker: what it refuses, reports and holds."""

from datetime import timedelta

import attrs
import pytest
from mulberryslip.runners import EndedRun, EndKind
from mulberryslip.steps import StepSpec
from mulberryslip.wire import ttypes as wire
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


def start_order(name="a/0/0/0"):
    profile = wire.RunProfile(name, "", False, 1000, 0, 0)
    return wire.RunStart(name, 1, "payload", "", 10**9, profile)


def test_leaving_worker_gets_no_start_whatever_the_owner_knows(world):
    """Guards against a start after the worker was told that its leaving is known."""
    worker = world.workers[0]
    world.submit("a", attrs.evolve(TASK, count=2))
    worker.leaving = True
    agent_of(world).announce(worker.announcement())
    world.exchange(worker)
    assert world.history.starts == 0
    world.run(3)
    assert world.held("a") == []


def test_announcement_is_answered_without_waiting_for_the_owner(world):
    """Guards against an acknowledgement of leaving that comes too late to count."""
    worker = world.workers[0]
    world.cut.add(world.address(worker))
    calls = []
    worker.hold = lambda *args: calls.append(args)
    agent_of(world).announce(attrs.evolve(worker.announcement(), leaving=True))
    assert calls == []


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
    """Guards against a delayed call of an earlier life that replaces what is known of this one."""
    agent = agent_of(world)
    agent.announce(attrs.evolve(world.workers[0].announcement(), **change))
    assert agent._announcement.leaving is is_taken


@pytest.mark.parametrize(("worker_id", "is_leaving"), [("w0", True), ("other", False)])
def test_departing_worker_counts_as_leaving(world, worker_id, is_leaving):
    """Guards against starts on a worker that has said that it ends now."""
    agent_of(world).depart(worker_id)
    assert agent_of(world)._announcement.leaving is is_leaving


def test_order_for_an_earlier_life_is_refused(world):
    """Guards against a start that was meant for a life that has ended."""
    agent = agent_of(world)
    earlier = agent._announcement
    world.workers[0].begin_life()
    agent.announce(world.workers[0].announcement())
    agent._orders.put((earlier, start_order(), 10**9))
    agent.carry_out()
    assert world.history.starts == 0


def test_ends_of_an_unseen_life_are_not_forgotten(world):
    """Guards against the end of a run that is lost since an earlier life had as many ends.

    The worker breaks a call off, starts anew under its id, and has an end before it announces that.
    """
    worker = world.workers[0]
    agent = agent_of(world)
    world.submit("a", attrs.evolve(TASK, count=3))
    world.run(15)
    assert agent._grant.ended_through == 3
    worker.is_dark = True
    world.exchange(worker)
    worker.is_dark = False
    worker.begin_life()
    worker.ended = [EndedRun(1, "b/0/0/0", 1, EndKind.DONE, "")]
    world.exchange(worker)
    assert [end.task for end in worker.ended] == ["b/0/0/0"]


def test_nothing_starts_after_a_call_that_was_broken_off(world):
    """Guards against an order for an earlier life that reaches the next one before its token."""
    worker = world.workers[0]
    agent = agent_of(world)
    worker.is_dark = True
    world.exchange(worker)
    worker.is_dark = False
    agent._orders.put((agent._announcement, start_order(), 10**9))
    agent.carry_out()
    assert world.history.starts == 0
    assert [refusal.certain for refusal in agent._refused] == [True]


def test_lease_is_extended_only_on_the_word_of_the_owner(world):
    """Guards against runs that go on without an owner, beside those of the next one."""
    worker = world.workers[0]
    worker.run_ms = lambda name: 60_000
    world.submit("a", TASK)
    world.run(3)
    lease = worker.lease_until
    world.cut.add(worker.id)
    for _ in range(10):
        world.exchange(worker)
        world.clock.advance(SECOND / 2)
    assert worker.lease_until <= lease + 500
    world.clock.advance(timedelta(seconds=3))
    worker.tick()
    assert not worker.runs


def test_members_that_are_gone_are_forgotten(world):
    """Guards against memory that grows with each life of a worker."""
    world.run(1)
    world.clock.advance(timedelta(minutes=2))
    world.renew_sessions()
    tenure = world.owner()._tenure if world.owner() else None
    if tenure is None:
        world.elect()
        world.run(2)
        tenure = world.owner()._tenure
        tenure.members["gone"] = attrs.evolve(tenure.members["w0"], worker_id="gone")
        tenure.members["gone"].received_at -= timedelta(minutes=2)
        world.clock.advance(timedelta(seconds=11))
        world.renew_sessions()
    world.step_owners()
    assert "gone" not in tenure.members

"""Tests that agents learn which best-effort runs get headroom first, also after failures."""

from datetime import timedelta

import pytest
from mulberryslip.steps import StepSpec
from mulberryslipd.schedulers import RESEND_INTERVAL
from pool_doubles import PoolWorld

STEP = StepSpec(count=6, cpu_millis=1000, memory_mb=10, estimate_ms=2000, fills=True, image="b")
STRAGGLER = "w/0/0/0"


@pytest.fixture
def world():
    """Return a pool in which one task of a wide step takes seven times as long as the others."""
    world = PoolWorld(wide_step_tasks=2, run_ms=lambda name: 28_000 if name == STRAGGLER else 4000)
    for worker in world.workers:
        worker.gauge_of = lambda name: 1000
    world.elect()
    world.run(3)
    world.submit("w", STEP)
    return world


def places(world):
    """Return what the agents know of the latest start of each run, by task."""
    profiles = {}
    for agent, _ in world.agents.values():
        profiles.update(agent._profiles)
    return {name: profile.due_ms for name, profile in profiles.items() if profile.fills}


def straggler_is_first(world):
    known = places(world)
    return all(known[STRAGGLER] < start for name, start in known.items() if name != STRAGGLER)


def run_until(world, condition, rounds):
    """Run rounds until a condition holds; return whether it does."""
    return any(world.round() or condition(world) for _ in range(rounds))


def test_agents_learn_the_straggler_from_its_progress(world):
    """Guards against agents that keep the order of the time when the runs were started."""
    world.run(1)
    assert not straggler_is_first(world)
    assert run_until(world, straggler_is_first, 40)


def test_lost_replies_are_made_up_for(world):
    """Guards against a stale order that lasts because the owner believes that it was sent."""
    world.run(1)
    world.reply_loss_rate = 1.0
    began_at = world.clock.monotonic()
    while world.clock.monotonic() - began_at < RESEND_INTERVAL:
        world.round()
    assert not straggler_is_first(world)
    world.reply_loss_rate = 0.0
    assert run_until(world, straggler_is_first, 40)


def test_new_owner_tells_the_order(world):
    """Guards against a straggler that loses its place when the owner changes."""
    assert run_until(world, straggler_is_first, 45)
    world.owner().resign("test")
    world.elect(world.workers[1])
    for agent, _ in world.agents.values():
        agent._profiles.clear()
    world.run(3)
    assert run_until(
        world, lambda world: STRAGGLER in places(world) and straggler_is_first(world), 60
    )
    assert world.owner()._scheduler._dispatcher.is_wide


def test_narrow_pool_sends_no_changes():
    """Guards against messages that deployments with narrow steps did not get before."""
    world = PoolWorld(run_ms=lambda name: 28_000)
    world.elect()
    world.run(3)
    world.submit("w", STEP)
    world.run(10)
    owner = world.owner()
    assert not any(member.sent_latest_starts for member in owner._term.members.values())
    assert owner._term.members
    assert timedelta() == max(member.resent_at for member in owner._term.members.values())

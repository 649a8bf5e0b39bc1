"""Bounds on the trials of suspected tasks, whatever is suspected and guilty."""

import functools
import random

import attrs
import pytest
from pool_doubles import SECOND
from test_crashes import MAX_SERVICE_OUTAGE
from test_outages import FINISH_S
from trials import Parameters, Play

SECONDS = 25
"""Simulated time, longer than the longest wait that is allowed."""

SUSPECTS_PER_WORKER = 20
"""Maximum number of suspected tasks, so that half of the workers have room for all of them."""

SEEDS = range(1, 6)


@attrs.frozen
class Outcome:
    """What a play showed.

    :param late: tasks that waited too long for their start although there was room, or for the end
        of their workflow, with their wait in seconds.
    :param excess_starts: guilty tasks that started although they had to be given up before.
    :param innocent_given_up: workflows that were given up without a guilty task.
    :param violations: other guarantees that were violated.
    """

    late: dict[str, float]
    excess_starts: list[str]
    innocent_given_up: list[str]
    violations: list[str]


def drawn_parameters(rng, guilty, seed):
    workers = rng.choice((6, 11, 16))
    return Parameters(
        suspects=rng.randint(20, SUSPECTS_PER_WORKER * workers),
        guilty=guilty,
        workers=workers,
        crashes=tuple(sorted(rng.sample(range(1, 5), rng.randint(1, 4)))),
        seed=seed,
        services=rng.choice((0.0, 0.3, 0.7, 1.0)),
        crash_ms=rng.choice((0, 10, 800)),
        seconds=SECONDS,
    )


@functools.cache
def play(guilty, seed):
    """Play drawn parameters with planned changes of the owner; return the outcome."""
    rng = random.Random(100 * seed + guilty)
    played = Play(drawn_parameters(rng, guilty, seed), excludes_outages=guilty > 0)
    world = played.world
    rounds_per_owner = rng.choice((0, 10, 25, 50))
    turn = 0
    while played.elapsed < SECONDS * SECOND and not played.is_through():
        played.round()
        turn += 1
        if rounds_per_owner and turn % rounds_per_owner == 0:
            world.owner().resign("planned stop")
            world.elect(rng.choice(world.workers))
    waits = {
        name: wait
        for group in (played.suspect_waits, played.guilty_waits, played.background_waits)
        for name, wait in group.longest(played.now()).items()
    }
    late = {name: wait / SECOND for name, wait in waits.items() if wait > max_wait(name)}
    return Outcome(late, played.excess_starts, played.innocent_given_up(), world.history.violations)


def max_wait(name):
    """Return the longest time that a task with room may wait."""
    return MAX_SERVICE_OUTAGE if name.startswith("service") else FINISH_S * SECOND


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("guilty", [0, 1, 2, 3])
def test_suspected_tasks_with_room_start_soon(guilty, seed):
    """Guards against suspected tasks that wait for one another's trials."""
    outcome = play(guilty, seed)
    assert outcome.late == {}
    assert outcome.violations == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("guilty", [1, 2, 3])
def test_guilty_tasks_do_not_start_after_five_runs_with_three_crashes(guilty, seed):
    """Guards against a task that crashes worker after worker although it had to be given up."""
    assert play(guilty, seed).excess_starts == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("guilty", [0, 1])
def test_harmless_workflows_are_not_given_up(guilty, seed):
    """Guards against harmless tasks that are blamed for the crashes of at most one other."""
    assert play(guilty, seed).innocent_given_up == []

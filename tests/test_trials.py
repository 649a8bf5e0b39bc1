"""Bounds on the trials of suspected tasks, whatever is suspected and guilty."""

import functools
import math
import random

import attrs
import pytest
import trials
from mulberryslip.crashes import (
    CRASHED_TRIALS_WINDOW_MS,
    FIRST_PROBATION_MS,
    MAX_UNCLEARED_RUNS,
    SUSPICION_WINDOW_MS,
    CrashRecord,
    max_backlog_trials,
    max_trials,
)
from mulberryslip.dispatches import MAX_TRIAL_WAIT_MS
from mulberryslip.queues import PoolConfig
from mulberryslip.steps import StepSpec
from pool_doubles import MS, QUEUE, SECOND, PoolWorld
from test_crashes import MAX_SERVICE_OUTAGE
from test_outages import FINISH_S
from trials import Parameters, Play

SECONDS = 25
"""Simulated time, longer than the longest wait that is allowed."""

SUSPECTS_PER_WORKER = 20
"""Maximum number of suspected tasks, so that half of the workers have room for all of them."""

SEEDS = range(1, 6)

ROUND = 200 * MS
"""Time between two rounds of the agents and the owner."""


TRIAL = (FIRST_PROBATION_MS + SUSPICION_WINDOW_MS) * MS + 2 * ROUND
"""Time that one trial takes: the time in which nothing else starts on the worker before it, the
probation, and a round each until its start and until its end is noted."""


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


def worst_wait(steps, workers, guilty):
    """Return the longest wait of a suspected task.

    The steps are tried one after another on each of the workers that run trials; a guilty task adds
    a trial for each of its runs and takes a worker away.

    :param steps: number of steps with suspected tasks, each of which has room on one worker.
    """
    trials = steps + MAX_UNCLEARED_RUNS * guilty
    parallel = max(1, max_trials(workers, steps) - guilty)
    return TRIAL * (math.ceil(trials / parallel) + 1)


@pytest.mark.parametrize("guilty", [0, 2])
@pytest.mark.parametrize(
    ("workers", "suspects"), [(4, 60), (11, 100), (11, 500), (40, 400), (160, 600)]
)
def test_wait_for_trials_follows_the_number_of_suspected_steps(workers, suspects, guilty):
    """Guards against a rate of trials that has no relation to the work behind them."""
    parameters = Parameters(suspects, guilty, workers, crashes=(2,), services=0.0)
    played = Play(parameters, excludes_outages=True)
    bound = worst_wait(len(played.tasks), workers, guilty)
    while played.elapsed < bound and played.suspect_waits.waiting():
        played.round()
    assert played.suspect_waits.waiting() == set()
    assert played.innocent_given_up() == []
    assert played.world.history.violations == []


def suspected_checks(world, checks):
    """Submit suspected checks that have waited long; nothing starts before the next round."""
    source = next(iter(world.sources.values()))
    source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    pool = world.owner()._term.pool
    now_ms = int(world.clock.now().timestamp() * 1000)
    for number in range(checks):
        world.submit(f"check{number}", StepSpec(cpu_millis=1000, memory_mb=100))
        world.round()
        (task,) = pool.workflows[f"check{number}"].tasks()
        # The second crash keeps it suspected, however long it waits.
        task.crashes = CrashRecord(2, True, 2, ("m11", "m12"))
        task.waiting_since_ms = now_ms - MAX_TRIAL_WAIT_MS
        pool._crashed[task.name] = task
    source.value = PoolConfig.from_queues(3, [QUEUE])


@pytest.mark.parametrize(
    ("crashes", "is_trial", "age_ms", "is_limited"),
    [
        (2, True, 0, True),
        (1, True, 0, False),
        (2, False, 0, False),
        (2, True, CRASHED_TRIALS_WINDOW_MS + 1000, False),
    ],
)
def test_trials_that_crash_do_not_take_most_workers(crashes, is_trial, age_ms, is_limited):
    """Guards against a backlog of deadly checks that ends the services on most workers."""
    world = PoolWorld(11, run_ms=lambda name: 5000)
    world.elect()
    world.run(3)
    suspected_checks(world, 8)
    crashed_at = world.clock.monotonic() - age_ms * MS
    for number in range(crashes):
        world.owner()._term.crashes.record(
            f"gone{number}", "1", f"gone{number}", is_trial, "refused", crashed_at
        )
    world.round()
    on_trial = {task.worker_id for task in world.owner()._term.pool.trials()}
    assert len(on_trial) == (max_trials(11) if is_limited else 8)


@pytest.mark.parametrize("others_wait", [False, True])
@pytest.mark.parametrize("checks", [3, 6, 8, 12])
def test_suspected_checks_that_have_waited_long_use_most_workers(checks, others_wait):
    """Guards against the last suspects of a backlog that go by twos while other workers idle.

    They must not take the workers from a task that waits and that nobody suspects.
    """
    world = PoolWorld(11, run_ms=lambda name: 5000)
    world.elect()
    world.run(3)
    source = next(iter(world.sources.values()))
    # Nothing may start before the crashes are recorded.
    source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    pool = world.owner()._term.pool
    names = [f"check{number}" for number in range(checks)]
    for name in names:
        world.submit(name, StepSpec(cpu_millis=1000, memory_mb=100))
        world.round()
    now_ms = int(world.clock.now().timestamp() * 1000)
    for name in names:
        (task,) = pool.workflows[name].tasks()
        # The second crash keeps it suspected, however long it waits.
        task.crashes = CrashRecord(2, True, 2, ("m11", "m12"))
        task.waiting_since_ms = now_ms - MAX_TRIAL_WAIT_MS
        pool._crashed[task.name] = task
    if others_wait:
        world.submit("other", StepSpec(cpu_millis=9000, memory_mb=100))
    source.value = PoolConfig.from_queues(3, [QUEUE])
    world.round()
    on_trial = {task.worker_id for task in world.owner()._term.pool.trials()}
    limit = max_trials(11, checks) if others_wait else max_backlog_trials(11)
    assert len(on_trial) == min(checks, limit)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("share", [0.5, 1.0])
def test_suspected_services_of_one_task_a_step_start_soon(share, seed, monkeypatch):
    """Guards against services of many steps, none of them guilty, that are tried one by one."""
    monkeypatch.setattr(trials, "SERVICE", attrs.evolve(trials.SERVICE, count=1))
    played = Play(Parameters(100, 0, 11, (2,), seed, services=share))
    while played.elapsed < SECONDS * SECOND and not played.is_through():
        played.round()
    waits = played.suspect_waits.longest(played.now()) | played.background_waits.longest(
        played.now()
    )
    late = {name: wait / SECOND for name, wait in waits.items() if wait > max_wait(name)}
    assert late == {}
    assert played.innocent_given_up() == []


def test_suspected_service_with_a_spread_limit_runs_again_soon():
    """Guards against a service whose tasks are tried one by one on workers of their own."""
    world = PoolWorld(30, run_ms=lambda name: 600_000)
    world.elect()
    world.run(3)
    step = StepSpec(count=24, cpu_millis=1000, memory_mb=100, lasting=True, max_per_worker=1)
    source = next(iter(world.sources.values()))
    # Nothing may start before the crashes are recorded.
    source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    world.submit("service", step)
    pool = world.owner()._term.pool
    for task in pool.workflows["service"].tasks():
        task.crashes = CrashRecord(2, True, 2, ("m28", "m29"))
        pool._crashed[task.name] = task
    source.value = PoolConfig.from_queues(3, [QUEUE])
    began_at = world.clock.monotonic()
    while world.clock.monotonic() - began_at < MAX_SERVICE_OUTAGE:
        world.round()
    assert sum(len(worker.runs) for worker in world.workers) == step.count
    assert world.history.violations == []


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

"""Waits of harmless tasks after their workers have ended, and of tasks suspected of crashes."""

import random

import attrs
import pytest
from mulberryslip.models import Resources
from mulberryslip.steps import StepSpec
from pool_doubles import PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
SERVICE = attrs.evolve(TASK, lasting=True, count=6)
ROUNDS_PER_SECOND = 5
FINISH_S = 14
"""Time after the end of the load at which no task may wait that has room."""


def make_world(workers=11, run_ms=900):
    world = PoolWorld(
        workers=workers, run_ms=lambda name: 600_000 if name.startswith("service") else run_ms
    )
    for worker in world.workers:
        worker.capacity = Resources(64_000, 250_000)
    world.elect()
    world.run(3)
    return world


def shown_counts(world, names):
    shown = [world.shown(name) for name in names]
    return {state: shown.count(state) for state in shown}


@pytest.mark.parametrize("crashes", [2, 6])
@pytest.mark.parametrize("gap_s", [3, 5, 8])
@pytest.mark.parametrize("share", [0.4, 1.0])
def test_harmless_work_goes_on_after_many_workers_crash_together(share, gap_s, crashes):
    """Guards against tasks that wait for trials, or are given up, after power cuts in series."""
    world = make_world()
    rng = random.Random(1)
    checks, services = [], []
    gap = gap_s * ROUNDS_PER_SECOND
    for turn in range((crashes + 1) * gap):
        for _ in range(2):
            checks.append(f"check{len(checks)}")
            steps = [attrs.evolve(TASK, count=rng.randint(2, 10)), attrs.evolve(TASK, after=(0,))]
            world.submit(checks[-1], *steps)
        if turn % 10 == 0:
            services.append(f"service{turn}")
            world.submit(services[-1], SERVICE)
        if turn and turn % gap == 0:
            for worker in rng.sample(world.workers, round(share * len(world.workers))):
                if not worker.is_down:
                    worker.crash()
        world.round()
    world.run(FINISH_S * ROUNDS_PER_SECOND)
    assert shown_counts(world, checks) == {"completed": len(checks)}
    assert shown_counts(world, services) == {"running": len(services)}
    running = [name for worker in world.workers for name in worker.runs]
    assert len(running) == len(services) * SERVICE.count
    assert world.history.violations == []

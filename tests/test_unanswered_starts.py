"""Starts that a worker does not answer: when their runs count as never started."""

import pytest
from log_events import logged_messages
from pool_doubles import PoolWorld

ROUNDS_PER_SECOND = 5


@pytest.fixture
def world():
    world = PoolWorld()
    world.elect()
    world.run(3)
    return world


def lose_first_start(world):
    """Submit a workflow whose first start is not answered; return the worker that got it."""
    for worker in world.workers:
        worker.loses_reply = lambda: world.history.starts == 0
    world.submit("a")
    while not any(worker.delayed_starts for worker in world.workers):
        world.round()
    return next(worker for worker in world.workers if worker.delayed_starts)


def test_log_shows_why_a_run_counts_as_over(world):
    """Guards against two runs of a task whose log does not tell what the owner relied on."""
    with logged_messages() as messages:
        worker = lose_first_start(world)
        worker.delayed_starts.clear()
        world.run(4 * ROUNDS_PER_SECOND)
    by_type = {}
    for message in messages:
        by_type.setdefault(message["message_type"], []).append(message)
    ended = next(row for row in by_type["run_ended"] if row["outcome"] == "unstarted")
    placed = next(row for row in by_type["run_placed"] if row["run"] == ended["run"])
    unanswered = by_type["run_refused"][0]
    assert ended["worker"] == placed["worker"] == worker.id
    assert ended["fence"] == placed["fence"] == unanswered["fence"]
    assert ended["start_by_ms"] == placed["start_by_ms"] == unanswered["start_by_ms"]
    assert ended["incarnation"] == ended["reported"] == worker.incarnation
    assert ended["machine"] == worker.machine
    assert unanswered["listed_ms"] < ended["start_by_ms"] < ended["listed_ms"]
    assert ended["report_age_ms"] < 1000
    assert ended["epoch"] == world.owner()._term.epoch

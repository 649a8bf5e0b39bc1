"""Starts that a worker does not answer: when their runs count as never started."""

import attrs
import pytest
from log_events import logged_messages
from mulberryslipd.agents import COLOCATED_REPORT_INTERVAL, REPORT_INTERVAL
from pool_doubles import MS, SECOND, PoolWorld

ROUNDS_PER_SECOND = 5


@pytest.fixture
def world():
    world = PoolWorld()
    world.elect(world.workers[-1])
    world.run(3)
    return world


def lose_first_start(world):
    """Submit a workflow whose first start is not answered; return the worker that got it."""
    for worker in world.workers:
        worker.loses_reply = lambda: world.history.starts == 0
    world.submit("a")
    while not any(worker.delayed_starts for worker in world.workers):
        world.round()
    found = next(worker for worker in world.workers if worker.delayed_starts)
    assert found is not world.workers[-1], "the owner is beside another worker"
    return found


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


def read_clock_after_lists(world, worker, on_late_clock):
    """Let a worker carry out a delayed start, and read its clock, after it has made its lists.

    The start is in time; the clock is read after its deadline.
    """
    extend_lease = worker.extend_lease

    def extend(*args):
        listing = extend_lease(*args)
        if not worker.delayed_starts:
            return listing
        left_ms = worker.delayed_starts[0][0].start_by_ms - worker.clock_ms()
        if left_ms > 200:
            return listing
        worker.run_delayed_starts()
        world.clock.advance((left_ms + 100) * MS)
        on_late_clock()
        return attrs.evolve(listing, clock_ms=worker.clock_ms())

    worker.extend_lease = extend


def restart_agent(world, worker):
    world.start_process(worker)


def change_owner(world, worker):
    next(owner for owner in world.owners.values() if owner.is_owner()).resign("planned stop")
    world.elect(next(other for other in world.workers if other is not worker))


def change_nothing(world, worker):
    pass


@pytest.mark.parametrize("change", [change_nothing, restart_agent, change_owner])
def test_start_that_a_listing_of_a_later_time_lacks_is_not_repeated(world, change):
    """Guards against two runs of a task on workers that read their clock after making the lists.

    The agent or the owner may change while the start is on its way.
    """
    worker = lose_first_start(world)
    seen = []
    read_clock_after_lists(world, worker, lambda: seen.append(worker.clock_ms()))
    change(world, worker)
    world.run(10 * ROUNDS_PER_SECOND)
    assert seen
    assert world.shown("a") == "completed"
    assert (world.history.starts, world.history.violations) == (1, [])


def test_reports_that_are_processed_together_count_one_by_one(world):
    """Guards against an older listing that is judged by the time of a later one."""
    worker = lose_first_start(world)
    agent, directory = world.agents[worker.id]
    start_by_ms = worker.delayed_starts[0][0].start_by_ms
    owner = world.owner()

    def report(listing):
        req = agent._report_request(agent._announcement, listing, [], False)
        assert owner.report(req).epoch == directory.owner().epoch

    def list_runs():
        return worker.extend_lease(worker.id, worker.fence, 0, 0, 0 * MS)

    without_run = list_runs()
    worker.run_delayed_starts()
    report(attrs.evolve(without_run, clock_ms=start_by_ms + 1))
    world.clock.advance((start_by_ms + 100 - worker.clock_ms()) * MS)
    report(list_runs())
    owner.step()
    world.run(10 * ROUNDS_PER_SECOND)
    assert (world.history.starts, world.history.violations) == (1, [])


def test_task_does_not_wait_for_the_next_ordinary_listing(world):
    """Guards against a task that waits for another report interval after each lost start."""
    worker = lose_first_start(world)
    agent, directory = world.agents[worker.id]
    start_by_ms = worker.delayed_starts.pop(0)[0].start_by_ms
    while worker.clock_ms() <= start_by_ms:
        assert agent._listing_interval() in (REPORT_INTERVAL, COLOCATED_REPORT_INTERVAL)
        world.round(100 * MS)
    waits = []
    extend_lease = worker.extend_lease

    def record_wait(*args):
        waits.append(args[-1])
        return extend_lease(*args)

    worker.extend_lease = record_wait
    for _ in range(3):
        agent.renew_and_report(directory.owner())
        world.clock.advance(MS)
    assert waits[1:] == [0 * MS, REPORT_INTERVAL]
    world.step_owners()
    assert world.owner()._term.pool.task("a/0/0/0").run == 2
    assert world.clock.monotonic() < (start_by_ms + 1000) * MS + SECOND

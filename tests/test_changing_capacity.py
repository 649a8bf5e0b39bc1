"""Tests of workers whose capacity shrinks and grows while they run."""

import attrs
import pytest
from mulberryslip.models import Resources
from mulberryslip.runners import StartCommand
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.workflows import RunEnded, accepted_event
from pool_doubles import CAPACITY, CONTACT, MS, QUEUE, SECOND, PoolWorld

TASK = StepSpec(cpu_millis=1000, memory_mb=1000)
LONG_MS = 60_000
LOWER = Resources(2000, 2500, 0)
LATEST_USE = CONTACT + 200 * MS
"""Time after which a lower capacity counts: `CONTACT` and one announcement."""


def make_world(workers=1):
    world = PoolWorld(workers=workers, run_ms=lambda name: LONG_MS)
    world.elect()
    world.run(3)
    return world


@pytest.fixture
def world():
    return make_world()


def accepted(workflow_id, step):
    return accepted_event(workflow_id, QUEUE, WorkflowSpec("payload", (step,)), 1)


def lower_capacity(world, capacity=LOWER):
    """Lower the capacity of the first worker and wait until the lower one counts."""
    worker = world.workers[0]
    worker.capacity = capacity
    world.run(2 + LATEST_USE // (200 * MS))
    assert worker.counted_capacity() == capacity
    return worker


@pytest.mark.parametrize(
    ("capacities", "elapsed_ms", "expected"),
    [
        ([Resources(8000)], 0, Resources(8000)),
        ([Resources(8000), Resources(4000)], 3200, Resources(8000)),
        ([Resources(8000), Resources(4000)], 3201, Resources(4000)),
        ([Resources(4000), Resources(8000)], 0, Resources(8000)),
        ([Resources(8000, 100), Resources(4000, 200)], 0, Resources(8000, 200)),
        ([Resources(8000), Resources(6000), Resources(4000)], 3150, Resources(6000)),
        ([Resources(8000), Resources(6000), Resources(4000)], 3050, Resources(8000)),
    ],
)
def test_simulated_worker_counts_capacity_as_the_rule_says(world, capacities, elapsed_ms, expected):
    """Guards against a check of the capacity that is less strict than the rule."""
    worker = world.workers[0]
    worker.announced_capacities = []
    for capacity in capacities:
        world.clock.advance(100 * MS)
        worker.capacity = capacity
        worker.announcement()
    world.clock.advance(elapsed_ms * MS)
    assert worker.counted_capacity() == expected


@pytest.mark.parametrize(
    ("running", "starting", "is_allowed"),
    [
        (TASK, TASK, True),
        (TASK, attrs.evolve(TASK, cpu_millis=1001), False),
        (TASK, attrs.evolve(TASK, memory_mb=1501), False),
        (TASK, attrs.evolve(TASK, cpu_millis=9000, fills=True), True),
        (TASK, attrs.evolve(TASK, memory_mb=1501, fills=True), False),
        (attrs.evolve(TASK, cpu_millis=9000, fills=True), TASK, True),
        (attrs.evolve(TASK, cpu_millis=2001), attrs.evolve(TASK, cpu_millis=0), False),
    ],
)
@pytest.mark.parametrize("is_stopping", [False, True])
def test_simulated_worker_finds_starts_over_its_capacity(
    running, starting, is_allowed, is_stopping
):
    """Guards against a check that misses stopping runs, or the memory of best-effort runs."""
    world = make_world()
    worker = world.workers[0]
    world.history.specs["a"] = WorkflowSpec("payload", (running, starting))
    worker.start(worker.id, StartCommand("a/0/0/0", 1, "", "", 10**6), 10**9)
    if is_stopping:
        worker.stop(worker.id, "a/0/0/0", 1, 10**9)
    worker.announced_capacities = [(LOWER, world.clock.monotonic())]
    worker.start(worker.id, StartCommand("a/0/1/0", 1, "", "", 10**6), 10**9)
    assert (world.history.violations == []) is is_allowed


@pytest.mark.parametrize(
    "step",
    [
        TASK,
        attrs.evolve(TASK, fills=True),
        attrs.evolve(TASK, lasting=True),
        attrs.evolve(TASK, cpu_millis=0),
        attrs.evolve(TASK, cpu_millis=0, memory_mb=0),
    ],
)
def test_worker_over_its_capacity_gets_no_runs_and_keeps_those_it_has(world, step):
    """Guards against starts on a worker that has less room than its runs need.

    The rule does not say whether a run may start that needs nothing of what is short.
    """
    world.submit("a", attrs.evolve(TASK, count=4))
    world.run(3)
    worker = lower_capacity(world)
    world.submit("b", step)
    world.run(60)
    assert sorted(worker.runs) == [f"a/0/0/{index}" for index in range(4)]
    assert (world.history.starts, world.history.violations) == (4, [])


def test_grown_capacity_is_used_at_once(world):
    """Guards against room that stays unused after a worker has grown back."""
    worker = lower_capacity(world)
    world.submit("a", attrs.evolve(TASK, count=8))
    world.run(5)
    assert len(worker.runs) == 2
    worker.capacity = CAPACITY
    world.run(2)
    assert len(worker.runs) == 8
    assert world.history.violations == []


@pytest.mark.parametrize("is_agent_new", [False, True])
def test_new_owner_places_by_the_lower_capacity(is_agent_new):
    """Guards against an owner that starts runs by the capacity which its predecessor knew first."""
    world = make_world(workers=2)
    world.submit("a", attrs.evolve(TASK, count=16))
    world.run(2)
    world.workers[1].capacity = Resources()
    lower_capacity(world)
    world.owner().resign("test")
    for worker in world.workers if is_agent_new else []:
        world.start_process(worker)
    world.run(2)
    world.elect(world.workers[1])
    for worker in world.workers:
        worker.runs = dict(list(worker.runs.items())[:1])
    world.run(20)
    assert [len(worker.runs) for worker in world.workers] == [2, 1]
    assert world.history.violations == []


@pytest.mark.parametrize("is_listed", [False, True])
def test_late_report_does_not_bring_back_an_older_capacity(world, is_listed):
    """Guards against starts by the capacity in a report that was overtaken by newer ones."""
    worker = world.workers[0]
    agent, _ = world.agents[worker.id]
    listing = worker.extend_lease(worker.id, worker.fence, 0, 0, 0 * MS) if is_listed else None
    late = agent._report_request(agent._announcement, listing, [], False)
    lower_capacity(world)
    world.owner().report(late)
    world.submit("a", attrs.evolve(TASK, count=8))
    world.run(1)
    assert world.history.violations == []
    assert len(worker.runs) == 2


@pytest.mark.parametrize("capacity", [LOWER, Resources(16000, 32000)])
@pytest.mark.parametrize("is_during_listing", [False, True])
def test_changed_capacity_is_reported_at_once(world, capacity, is_during_listing):
    """Guards against an owner that uses an outdated capacity until the next regular report.

    A listing takes up to 0.7 s, since the worker waits for a run to end.
    """
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    agent._report_interval.observe(10 * SECOND)
    agent.renew_and_report(directory.owner())
    worker.capacity = capacity
    extend_lease = worker.extend_lease

    def announce_and_list(*args):
        agent.announce(worker.announcement())
        return extend_lease(*args)

    if is_during_listing:
        worker.extend_lease = announce_and_list
    else:
        agent.announce(worker.announcement())
    agent.renew_and_report(directory.owner())
    assert world.owner()._term.members[worker.id].capacity == capacity


def test_leaving_is_reported_although_the_listing_began_before(world):
    """Guards against an owner that learns a listing later than needed that a worker leaves."""
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    extend_lease = worker.extend_lease

    def announce_and_list(*args):
        worker.leaving = True
        agent.announce(worker.announcement())
        return extend_lease(*args)

    worker.extend_lease = announce_and_list
    agent.renew_and_report(directory.owner())
    assert world.owner()._term.members[worker.id].leaving


def start_later(world, worker):
    """Execute the agent's pending commands after some time; return what the worker then runs."""
    agent, _ = world.agents[worker.id]
    world.clock.advance(1300 * MS)
    while agent.has_pending_commands():
        agent.execute_next_command()
    return sorted(worker.runs)


@pytest.mark.parametrize("is_lower", [True, False])
def test_start_that_waits_is_refused_after_the_capacity_has_shrunk(world, is_lower):
    """Guards against starts by an older capacity that wait in the agent, or are on their way.

    The agent's reports are delayed, and its calls to the worker take long.
    """
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    capacity = LOWER if is_lower else Resources(16000, 32000)
    worker.capacity = capacity
    agent.announce(worker.announcement())
    world.clock.advance(2000 * MS)
    world.renew_sessions()
    agent.announce(worker.announcement())
    world.submit("a", attrs.evolve(TASK, count=8))
    world.step_owners()
    assert agent.fetch_commands(directory.owner())
    started = start_later(world, worker)
    assert world.history.violations == []
    assert len(started) == (0 if is_lower else 8)
    world.run(5)
    assert len(worker.runs) == (2 if is_lower else 8)
    assert world.history.violations == []


def test_report_with_unknown_outcome_counts_as_accepted(world):
    """Guards against starts by a capacity that the owner knows from a report without a reply."""
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]
    lower_capacity(world)
    worker.capacity = CAPACITY
    agent.announce(worker.announcement())
    world.reply_loss_rate = 1.0
    agent.renew_and_report(directory.owner())
    world.reply_loss_rate = 0.0
    worker.capacity = LOWER
    agent.announce(worker.announcement())
    world.submit("a", attrs.evolve(TASK, count=8))
    world.step_owners()
    directory.refresh()
    agent.fetch_commands(directory.owner())
    assert start_later(world, worker) == []


@pytest.mark.parametrize("is_committing", [False, True])
def test_unsent_starts_are_taken_back_after_the_capacity_has_shrunk(world, is_committing):
    """Guards against starts by an older capacity that wait at the owner, or for their commit."""
    worker = world.workers[0]
    agent, directory = world.agents[worker.id]

    def shrink():
        worker.capacity = LOWER
        agent.announce(worker.announcement())
        agent.renew_and_report(directory.owner())

    journal = world.owner()._term.journal
    append = journal.append

    def shrink_and_append(events):
        journal.append = append
        shrink()
        append(events)

    if is_committing:
        journal.append = shrink_and_append
    world.history.specs["a"] = WorkflowSpec("payload", (TASK,))
    world.owner()._term.pool.apply(accepted("a", attrs.evolve(TASK, count=8)))
    world.owner().step()
    if not is_committing:
        shrink()
    agent.fetch_commands(directory.owner())
    assert len(start_later(world, worker)) <= 2
    world.run(3)
    assert len(worker.runs) == 2
    assert world.history.violations == []


@pytest.mark.parametrize("is_owner_new", [False, True])
def test_announcement_from_before_a_restart_of_the_agent_starts_nothing(is_owner_new):
    """Guards against starts by an older capacity that reaches a restarted agent late.

    The agent does not know that the worker has announced a lower one since.
    """
    world = make_world(workers=2)
    world.owner().resign("test")
    world.elect(world.workers[1])
    worker = world.workers[0]
    delayed = worker.announcement()
    lower_capacity(world)
    world.start_process(worker)
    if is_owner_new:
        world.start_process(world.workers[1])
        world.elect(world.workers[1])
    agent, _ = world.agents[worker.id]
    agent.announce(delayed)
    world.submit("a", attrs.evolve(TASK, count=24, cpu_millis=500))
    for _ in range(10):
        world.run_agent(worker)
        world.clock.advance(100 * MS)
        world.renew_sessions()
        world.step_owners()
    assert world.history.violations == []
    assert not worker.runs
    world.run(20)
    assert len(worker.runs) == 2
    assert world.history.violations == []


@pytest.mark.parametrize("capacity", [LOWER, Resources(0, 2500)])
def test_worker_without_processors_teaches_no_interference(world, monkeypatch, capacity):
    """Guards against estimates derived from shares of a capacity that has shrunk to nothing."""
    seen = []
    model = world.owner()._dispatcher.model
    monkeypatch.setattr(model, "observe", lambda *args: seen.append(args[-1]))
    world.workers[0].capacity = capacity
    world.run(3)
    assert seen == [capacity.cpu_millis] * len(seen)
    assert bool(seen) is bool(capacity.cpu_millis)


def test_worker_whose_announcements_stay_away_keeps_its_runs(world):
    """Guards against runs that end, or assignments without end, while announcements are missing."""
    worker = world.workers[0]
    world.submit("a", TASK)
    world.run(3)
    starts = world.history.starts
    for _ in range(50):
        world.renew_sessions()
        world.run_agent(worker)
        world.step_owners()
        world.clock.advance(200 * MS)
        if world.clock.monotonic() > 5 * SECOND and "b" not in world.history.specs:
            world.submit("b", TASK)
    assert list(worker.runs) == ["a/0/0/0"]
    assert world.history.starts == starts
    assert world.owner()._term.pool.task("b/0/0/0").run == 0
    world.run(3)
    assert len(worker.runs) == 2


def over_capacity(world):
    return [violation for violation in world.history.violations if "capacity" in violation]


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize(
    "step", [attrs.evolve(TASK, cpu_millis=5000), attrs.evolve(TASK, memory_mb=9000, fills=True)]
)
def test_listed_run_that_is_not_assigned_takes_up_capacity(world, step, is_known):
    """Guards against starts in the room of a run that the pool gave up and that still runs.

    The task of such a run has another run, or was dropped with its workflow.
    """
    worker = world.workers[0]
    world.submit("a", step)
    world.run(3)
    assert world.owner()._term.pool.apply(RunEnded("a/0/0/0", 1, "lost", 1))
    if not is_known:
        world.call("cancel", "a")
        assert world.owner()._term.pool.task("a/0/0/0") is None
    worker.stop = lambda *args: None
    world.submit("b", step)
    world.run(10)
    assert over_capacity(world) == []
    assert [(run.task, run.run) for run in worker.runs.values()] == [("a/0/0/0", 1)]
    del worker.stop
    world.run(15)
    assert [(run.task, run.run) for run in worker.runs.values()] in (
        [("a/0/0/0", 2)],
        [("b/0/0/0", 1)],
    )
    assert over_capacity(world) == []


def test_worker_that_lists_a_run_with_known_needs_is_filled_beside_it(world):
    """Guards against capacity that stays unused beside a run that is being stopped."""
    worker = world.workers[0]
    world.submit("a", attrs.evolve(TASK, cpu_millis=5000))
    world.run(3)
    world.owner()._term.pool.apply(RunEnded("a/0/0/0", 1, "lost", 1))
    worker.stop = lambda *args: None
    world.submit("b", attrs.evolve(TASK, count=5))
    world.run(10)
    assert len([task for task in worker.runs if task.startswith("b")]) == 3
    assert over_capacity(world) == []


def test_listed_run_that_is_not_assigned_counts_for_the_spread_limit(world):
    """Guards against more tasks of a step on one worker than `max_per_worker` allows."""
    worker = world.workers[0]
    world.submit("a", attrs.evolve(TASK, count=2, max_per_worker=1))
    world.run(3)
    (running,) = worker.runs
    world.owner()._term.pool.apply(RunEnded(running, 1, "lost", 1))
    worker.stop = lambda *args: None
    world.run(10)
    assert list(worker.runs) == [running]
    assert worker.runs[running].run == 1


def test_worker_over_its_capacity_does_not_delay_services_on_others():
    """Guards against a service that waits because of a worker that has shrunk below its runs.

    Processors that one worker lacks are no reserve that others have to keep free.
    """
    world = make_world(workers=2)
    world.workers[1].leaving = True
    world.run(2)
    world.submit("a", attrs.evolve(TASK, count=8))
    world.run(2)
    lower_capacity(world, Resources(500, 16000))
    world.workers[1].restart()
    world.run(3)
    world.submit("b", attrs.evolve(TASK, lasting=True))
    world.run(1)
    assert list(world.workers[1].runs) == ["b/0/0/0"]

"""Tests of admission control and fair shares at peak load; replays without workers or a network."""

import random
from datetime import timedelta

import attrs
import pytest
from log_events import logged_messages
from mulberryslip.dispatches import Dispatcher, estimated_run_time
from mulberryslip.drain_rates import HISTORY_BUCKETS, WINDOW_BUCKETS, DrainRate
from mulberryslip.events import Event
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.peak_admissions import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    PendingWorkflow,
    excess_wait,
    retry_after,
)
from mulberryslip.queues import PoolConfig, Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import Pool, accepted_event
from peak_replays import Burst, Load, Replay
from pool_doubles import QUEUE, PoolWorld

NOW_MS = 1_000_000
SECOND = timedelta(seconds=1)
STEP = StepSpec(10, 1000, 100, estimate_ms=1000, fills=True)
DISPATCHER = Dispatcher(estimated_run_time, InterferenceModel())
TWO = {"a": 0.6, "b": 0.6}
TWELVE = {f"q{number}": 0.1 for number in range(12)}
AHEAD = PendingWorkflow("q", 1, True, NOW_MS + 60_000, NOW_MS + 180_000, 20_000, 1000.0)


def submitted(step=STEP, queue="q", at_ms=NOW_MS):
    """Return a new workflow; with `STEP`, it has to start within 13 s if its estimate is low."""
    pool = Pool()
    queue = Queue(queue, priority=1, stretch_permille=2000, slack_ms=1000)
    pool.apply(accepted_event("new", queue, WorkflowSpec("p", (step,)), at_ms))
    return pool.workflows["new"]


@pytest.mark.parametrize(
    ("step", "ahead", "rate", "rejected"),
    [
        (STEP, AHEAD, 10.0, True),
        (STEP, AHEAD, None, False),
        (STEP, AHEAD, 100.0, False),
        (STEP, attrs.evolve(AHEAD, priority=0, is_started=False), 10.0, True),
        (STEP, attrs.evolve(AHEAD, priority=2), 10.0, False),
        (STEP, attrs.evolve(AHEAD, is_started=False), 10.0, False),
        (STEP, attrs.evolve(AHEAD, last_ms=NOW_MS, due_ms=NOW_MS), 10.0, False),
        (STEP, attrs.evolve(AHEAD, due_ms=NOW_MS, last_ms=NOW_MS + 25_000), 10.0, False),
        (STEP, attrs.evolve(AHEAD, queue="other"), 10.0, False),
        (attrs.evolve(STEP, estimate_ms=0), AHEAD, 10.0, False),
        (attrs.evolve(STEP, fills=False), AHEAD, 10.0, False),
        (attrs.evolve(STEP, fills=False, lasting=True), AHEAD, 10.0, False),
    ],
)
def test_only_what_certainly_ends_too_late_is_rejected(step, ahead, rate, rejected):
    """Guards against rejecting checks, services, the unknown, or what precedes the backlog."""
    assert bool(excess_wait(submitted(step), DISPATCHER, [ahead], rate)) is rejected


@pytest.mark.parametrize("excess_s", [0.1, 2, 1000])
def test_retry_times_are_bounded_and_spread(excess_s):
    """Guards against callers that return together, or after they have given up."""
    rng = random.Random(1)
    times = [retry_after(excess_s * SECOND, rng.random()) for _ in range(100)]
    assert MIN_RETRY_AFTER <= min(times) <= max(times) <= MAX_RETRY_AFTER
    assert max(times) - min(times) > 0.8 * SECOND


def observed_rate(seconds, is_short=lambda s: True, cores=lambda s: 100, estimate_ms=1000):
    drain = DrainRate()
    task = next(submitted(attrs.evolve(STEP, estimate_ms=estimate_ms)).tasks())
    for second in range(seconds):
        drain.observe(second * SECOND, is_short(second), cores(second), [task])
        for _ in range(50 * bool(cores(second))):
            drain.record_done(task, second * SECOND)
    return drain.rate(seconds * SECOND)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ({"seconds": WINDOW_BUCKETS - 1}, None),
        ({"seconds": WINDOW_BUCKETS}, 50),
        ({"seconds": 100}, 50),
        ({"seconds": 30, "is_short": lambda s: False}, None),
        ({"seconds": 30, "is_short": lambda s: s != 25}, None),
        ({"seconds": 30, "cores": lambda s: 0 if s == 25 else 100}, 50),
        ({"seconds": 30, "cores": lambda s: 50 if s < 29 else 100}, 100),
        ({"seconds": 30, "estimate_ms": 20_000}, None),
    ],
)
def test_drain_rate_is_known_only_while_capacity_is_short(arguments, expected):
    """Guards against a low demand, an outage or long runs that are taken for low capacity."""
    assert observed_rate(**arguments) == (expected and pytest.approx(expected))


def test_drain_rate_is_forgotten_after_a_gap():
    """Guards against rejections by a rate that was measured long ago."""
    drain = DrainRate()
    for second in (*range(20), *range(20 + HISTORY_BUCKETS, 25 + HISTORY_BUCKETS)):
        drain.observe(second * SECOND, True, 100, [])
    assert drain.rate((25 + HISTORY_BUCKETS) * SECOND) is None


SHORT = {"duration_ms": 30_000, "drain_ms": 40_000}
HALF_GONE = ((0, 1300), (10_000, 650), (20_000, 1300))


@pytest.mark.parametrize(
    "load",
    [
        Load({"a": 1.2}, (Burst("a", 1.3, 10_000, 14_000),), error=2, **SHORT),
        Load({"a": 1.2}, (Burst("a", 2.6, 10_000, 16_000),), error=2, **SHORT),
        Load(TWELVE, tuple(Burst(q, 2.6, 10_000, 16_000) for q in TWELVE), error=2, **SHORT),
        Load(TWO, error=2, cores=HALF_GONE, **SHORT),
        Load(TWO, error=2, biased=frozenset("a"), cores=HALF_GONE, **SHORT),
        Load({"a": 3}, error=2, task_ms=(500, 5000), cores=((0, 700),), **SHORT),
        Load({"a": 1}, error=2, task_ms=(800, 20_000), cores=((0, 700),), **SHORT),
    ],
    ids=["burst 1.3", "burst 2.6", "twelve", "half gone", "biased", "overload", "long runs"],
)
def test_nothing_is_rejected_that_the_present_policy_finishes_in_time(load):
    """Guards against rejections because of estimates that are off or of a slow moment."""
    present = {item.name: item for item in Replay(load).run()}
    submissions = Replay(load, admits=True).run()
    rejected = [item for item in submissions if item.is_rejected]
    assert [item.name for item in rejected if present[item.name].is_in_time] == []
    recovered_ms = load.cores[-1][0] + 5000
    if len(load.cores) > 1:
        assert not any(item.is_rejected for item in submissions if item.at_ms >= recovered_ms)


def test_workflows_behind_a_flood_of_better_priority_are_rejected():
    """Guards against a rule that rejects nothing, or more than what ends without value anyway."""
    load = Load(
        {"a": 1, "first": 14},
        error=2,
        cores=((0, 600),),
        task_ms=(1000,),
        slack_ms={"first": 200_000},
        duration_ms=25_000,
        drain_ms=60_000,
    )
    present = {item.name: item for item in Replay(load).run()}
    rejected = [item for item in Replay(load, admits=True).run() if item.is_rejected]
    assert {item.queue for item in rejected} == {"a"}
    assert not any(present[item.name].is_in_time for item in rejected)


def mean_wait_of_others(load, seeds, shares):
    """Return the mean wait of the queues without a burst around the burst, in milliseconds."""
    waits = [
        min(item.wait_ms, 60_000)
        for seed in range(1, seeds + 1)
        for item in Replay(load, seed, shares=shares).run()
        if item.queue not in ("a", "q0") and 15_000 <= item.at_ms < 27_000
    ]
    return sum(waits) / len(waits)


@pytest.mark.parametrize(("rates", "queue", "factor"), [(TWO, "a", 4.2), (TWELVE, "q0", 20)])
def test_burst_of_one_queue_does_not_starve_the_others(rates, queue, factor):
    """Guards against queues that wait more than twice as long because of a burst of another.

    The burst is 2.6 times the total mean rate.
    """
    times = {"duration_ms": 30_000, "drain_ms": 20_000}
    quiet = Load(rates, **times)
    burst = Load(rates, (Burst(queue, factor, 15_000, 21_000),), **times)
    without_burst = mean_wait_of_others(quiet, 8, shares=True)
    assert mean_wait_of_others(burst, 8, shares=True) <= 2 * without_burst
    assert mean_wait_of_others(burst, 8, shares=True) < mean_wait_of_others(burst, 8, shares=False)


def waiting_pool(*workflows):
    """Return a pool with workflows, each given by queue, time of acceptance and priority."""
    pool = Pool()
    for number, (name, at_ms, priority) in enumerate(workflows):
        queue = Queue(name, priority=priority, stretch_permille=2000, slack_ms=1000)
        pool.apply(accepted_event(f"w{number}", queue, WorkflowSpec("p", (STEP,)), at_ms))
    return pool


@pytest.mark.parametrize(
    ("workflows", "held", "expected"),
    [
        ([("a", 0, 1), ("a", 1, 1), ("a", 2, 1)], {"a": 9, "b": 0}, "0 1 2"),
        ([("a", 0, 1), ("a", 1, 1), ("b", 2, 1)], {}, "0 2 1"),
        ([("a", 0, 1), ("a", 1, 1), ("b", 2, 1), ("b", 3, 1)], {"a": 50_000}, "2 3 0 1"),
        ([("a", 0, 1), ("a", 1, 1), ("b", 2, 2)], {"a": 50_000}, "0 1 2"),
        ([("a", -90_000, 1), ("b", 0, 1), ("b", 1, 1)], {"b": 50_000}, "1 2 0"),
    ],
    ids=["one queue", "two queues", "one holds more", "priorities", "hopeless last"],
)
def test_order_of_queues(workflows, held, expected):
    """Guards against a changed order of one queue, of priorities, or of hopeless work."""
    pool = waiting_pool(*workflows)
    ordered = DISPATCHER.order(pool.ready(), 1000, held)
    names = dict.fromkeys(task.workflow.workflow_id[1:] for task in ordered)
    assert " ".join(names) == expected
    if len({name for name, *_ in workflows}) == 1:
        assert ordered == DISPATCHER.order(pool.ready(), 1000)


BIG = StepSpec(10, 1000, 9000, estimate_ms=60_000, fills=True)
SMALL = StepSpec(2, 1000, 100, estimate_ms=100, fills=True)


@pytest.fixture
def busy_world():
    """Return a wide pool in which a workflow of long runs keeps tasks waiting."""
    world = PoolWorld(wide_step_tasks=2, run_ms=lambda name: 60_000)
    for source in world.sources.values():
        source.value = PoolConfig.from_queues(1, [attrs.evolve(QUEUE, stretch_permille=2000)])
    world.elect()
    world.run(3)
    assert world.submit("big", BIG).outcome == Outcome.OK
    world.run(3)
    assert 0 < len(world.held_tasks("big")) < BIG.count
    return world


def set_drain_rate(world, rate):
    world.owner()._term.peaks._drain.rate = lambda now: rate


def test_rejected_workflow_was_not_stored_and_can_be_submitted_again(busy_world):
    """Guards against a "not run" that is wrong, or that keeps the caller from a retry."""
    set_drain_rate(busy_world, 0.1)
    reply = busy_world.submit("small", SMALL)
    assert reply.outcome == Outcome.NOT_RUN
    assert MIN_RETRY_AFTER <= timedelta(milliseconds=reply.retry_after_ms) <= MAX_RETRY_AFTER
    assert busy_world.call("status", "small").outcome == Outcome.NOT_FOUND
    for step in (attrs.evolve(SMALL, fills=False), attrs.evolve(SMALL, fills=False, lasting=True)):
        assert busy_world.submit(f"urgent-{step.lasting}", step).outcome == Outcome.OK
    assert busy_world.submit("big", BIG).outcome == Outcome.OK
    set_drain_rate(busy_world, 1000.0)
    assert busy_world.submit("small", SMALL).outcome == Outcome.OK
    assert busy_world.call("status", "small").shown == "queued"


def test_new_owner_with_a_backlog_rejects_nothing_before_it_knows_a_rate(busy_world):
    """Guards against rejections by a rate that nobody has measured."""
    set_drain_rate(busy_world, 0.1)
    assert busy_world.submit("small", SMALL).outcome == Outcome.NOT_RUN
    busy_world.owner().resign("test")
    busy_world.elect(busy_world.workers[1])
    assert busy_world.submit("small", SMALL).outcome == Outcome.OK


def test_operators_see_waiting_rejected_and_hopeless_work(busy_world):
    """Guards against rejections and hopeless work that no metric and no log line shows."""
    set_drain_rate(busy_world, 0.1)
    owner = busy_world.owner()
    assert busy_world.submit("small", SMALL).outcome == Outcome.NOT_RUN
    with logged_messages() as messages:
        busy_world.run(60 * 5)
        busy_world.clock.advance(300 * SECOND)
        busy_world.round()
    lines = [item for item in messages if item["event"] == Event.QUEUE_BACKLOG.value]
    assert 60 / 5 <= len(lines) <= 60 / 5 + 2
    assert [sum(line[name] for line in lines) for name in ("rejected", "hopeless")] == [1, 1]
    assert all(line["waiting_core_s"] + line["running_core_s"] <= 600 for line in lines)
    metrics = owner._metrics.snapshot()
    assert metrics.counters["workflows_overloaded"] == 1
    assert metrics.gauges["best_effort_hopeless"] == 1


def test_pool_with_narrow_steps_rejects_nothing(busy_world):
    """Guards against decisions for wide steps in other pools."""
    set_drain_rate(busy_world, 0.1)
    assert busy_world.submit("small", SMALL).outcome == Outcome.NOT_RUN
    busy_world.owner()._term.peaks._gate = WideStepGate(BIG.count + 1, min_steps=1)
    assert busy_world.submit("small", SMALL).outcome == Outcome.OK

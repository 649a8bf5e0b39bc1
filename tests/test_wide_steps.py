"""Tests of the gate for the decisions about wide best-effort steps."""

import pytest
from mulberryslip.queues import Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.workflows import Pool, WorkflowCancelled, accepted_event

QUEUE = Queue("q")


def step(count, fills=True):
    return StepSpec(count=count, cpu_millis=1000, fills=fills)


def pool_with(*workflows):
    pool = Pool()
    for number, steps in enumerate(workflows):
        pool.apply(accepted_event(f"a{number}", QUEUE, WorkflowSpec("p", tuple(steps)), 1))
    return pool


@pytest.mark.parametrize(
    ("min_tasks", "workflows", "expected"),
    [
        (0, [[step(80)]], False),
        (8, [], False),
        (8, [[step(80, fills=False)]], False),
        (8, [[step(8)]], True),
        (8, [[step(7)]], False),
        (8, [[step(20), step(20)], [step(1)], [step(1, fills=False)]], True),
        (8, [[step(20)], [step(1)], [step(1)], [step(1)]], False),
    ],
)
def test_mean_width_decides(min_tasks, workflows, expected):
    """Guards against pools that are scheduled as wide although it is off or steps are narrow."""
    assert WideStepGate(min_tasks, 1).applies_to(pool_with(*workflows)) is expected


@pytest.mark.parametrize(
    ("widths", "expected"),
    [
        ([20] * 5, [False] * 5),
        ([20] * 7, [False] * 5 + [True] * 2),
        ([20] * 6 + [4] * 7, [False] * 5 + [True] * 7 + [False]),
    ],
)
def test_few_steps_decide_nothing(widths, expected):
    """Guards against a pool that changes between both ways of scheduling with each workflow."""
    gate = WideStepGate(12)
    pool = Pool()
    decisions = []
    for number, width in enumerate(widths):
        spec = WorkflowSpec("p", (step(width),))
        pool.apply(accepted_event(f"a{number}", QUEUE, spec, 1))
        decisions.append(gate.applies_to(pool))
    assert decisions == expected
    for number in range(len(widths)):
        pool.apply(WorkflowCancelled(f"a{number}", 2))
    assert gate.applies_to(pool) is expected[-1]


def test_ended_workflows_do_not_count_and_a_snapshot_keeps_the_decision():
    """Guards against a new owner that decides differently from the one before."""
    pool = pool_with([step(20)], [step(1)], [step(30)])
    gate = WideStepGate(8, 1)
    pool.apply(WorkflowCancelled("a0", 2))
    pool.apply(WorkflowCancelled("a2", 2))
    restored = Pool.from_snapshot(pool.to_snapshot())
    assert pool.best_effort_widths == restored.best_effort_widths
    assert (gate.applies_to(pool), gate.applies_to(restored)) == (False, False)
    assert list(restored.unended) == list(pool.unended) == ["a1"]

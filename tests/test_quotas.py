"""Tests of quotas and of borrowing."""

from datetime import timedelta

import attrs
import pytest
from mulberryslip import (
    ManualClock,
    Priority,
    Resources,
    TaskClass,
    TaskKey,
    WorkerDescription,
    WorkerLoad,
)
from mulberryslip.models import WorkerView
from mulberryslip.placements import Placement, PlacementItem
from mulberryslip.quotas import REPORT_LIFETIME, AccountQuota, AccountUsage, Quotas

FLEET = Resources(10_000, 10_000, 0, 80)
HALF = AccountQuota(5000, 5000)
SIZE = Resources(1000, 1000, 0, 1)


def quotas_with(clock=None, **usages):
    quotas = Quotas(clock or ManualClock())
    quotas.configure({"a": HALF, "b": HALF}, FLEET)
    quotas.report(
        "0",
        {
            name: AccountUsage(Resources(used, used), Resources(waiting, waiting))
            for name, (used, waiting) in usages.items()
        },
    )
    return quotas


@pytest.mark.parametrize(
    ("usages", "allowed", "borrowed"),
    [
        ({"a": (4000, 9000)}, True, False),
        ({"a": (5000, 9000)}, True, True),
        ({"a": (8000, 9000)}, True, True),
        ({"a": (9000, 9000)}, False, False),
        ({"a": (5000, 9000), "b": (0, 1000)}, False, False),
        ({"a": (5000, 9000), "b": (5000, 1000)}, False, False),
    ],
    ids=["within", "borrows", "borrows more", "headroom", "lender waits", "fleet is full"],
)
def test_borrowing(usages, allowed, borrowed):
    """Guards against idle capacity left unused, and borrowing while the lender waits for it."""
    decision = quotas_with(**usages).decide("a", SIZE)
    assert (decision.allowed, decision.borrowed) == (allowed, borrowed)
    assert decision.reason


def test_borrowed_capacity_is_returned_as_tasks_end():
    """Guards against a borrower that keeps the lender's capacity by starting new tasks."""
    used = {"a": 9, "b": 0}
    for _ in range(20):
        waiting = {"a": 50, "b": 50}
        usages = {name: (used[name] * 1000, waiting[name] * 1000) for name in used}
        quotas = quotas_with(**usages)
        for name in ("a", "b"):
            if sum(used.values()) < 10 and quotas.decide(name, SIZE).allowed:
                used[name] += 1
        if used["a"] > 5:
            used["a"] -= 1
    assert used == {"a": 5, "b": 5}


def test_usage_of_all_shards_counts_until_it_expires():
    """Guards against a quota per shard, and against usage of a failed owner that never expires."""
    clock = ManualClock()
    quotas = quotas_with(clock, a=(3000, 0))
    quotas.report("1", {"a": AccountUsage(Resources(2000, 2000)), "b": AccountUsage(waiting=SIZE)})
    assert not quotas.decide("a", SIZE).allowed
    clock.advance(REPORT_LIFETIME + timedelta(seconds=1))
    assert quotas.decide("a", SIZE).allowed


def test_placement_waits_for_quota_with_the_reason():
    """Guards against a start beyond the quota between two usage reports."""
    quotas = quotas_with(a=(4000, 0), b=(0, 1000))
    placement = Placement(ManualClock(), quotas=quotas, source="0")
    worker = WorkerDescription("w1", "1", "dc", "r", "127.0.0.1", 1, FLEET)
    views = [WorkerView(worker, WorkerLoad(free=FLEET))]
    key = TaskKey("job", 0)
    task = PlacementItem(key, "plan", "a", TaskClass.BATCH, Priority.NORMAL, SIZE)
    placement.record_start(task, "w1")
    assert placement.rank(task, views) == []
    assert "claims its share back" in placement.explain(key)
    assert placement.rank(attrs.evolve(task, priority=Priority.URGENT), views)

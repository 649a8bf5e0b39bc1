"""The bench itself: deterministic, fair to both versions, and fast on a small scenario."""

import attrs
import pytest
from mulberryslip import Resources
from mulberryslip_testing import bench, capacity
from mulberryslip_testing.scenarios import GRANITE_HOLLOW, SCENARIOS, Departure
from mulberryslip_testing.simulations import World
from mulberryslip_testing.strategies import Feedback, Naive

SMALL = attrs.evolve(
    GRANITE_HOLLOW,
    duration_s=90,
    workers={"granite": 2, "hollow": 2},
    backlog=60,
    departure=Departure("hollow", 30, 45, 60, 90),
)


@pytest.mark.parametrize("strategy", [Naive, Feedback])
def test_same_seed_gives_the_same_figures(strategy):
    """Guards against figures that cannot be reproduced."""
    first, second = (bench.run(SMALL, strategy, [3]).measures() for _ in range(2))
    assert first == second
    assert bench.run(SMALL, strategy, [4]).measures() != first


def test_both_versions_get_the_same_load():
    """Guards against a version that looks better because it was sent fewer requests."""
    naive, ours = (bench.run(SMALL, strategy, [3]) for strategy in (Naive, Feedback))
    for service in SMALL.services:
        expected = service.rate_hz * SMALL.duration_s
        assert len(naive.latencies_ms[service.name]) == expected
        assert len(ours.latencies_ms[service.name]) == expected


@pytest.mark.parametrize("strategy", [Naive, Feedback])
def test_no_version_commits_more_than_a_worker_has_or_starts_where_it_must_not(strategy):
    """Guards against a fake that lets a version break the rules and gain by it."""
    world = World(SMALL, 3)
    version = strategy(world, 3)
    for _ in range(SMALL.duration_s):
        before = {task.key for worker in world.workers for task in worker.tasks}
        version.schedule()
        version.begin_requests()
        for worker in world.workers:
            committed = sum((task.committed for task in worker.tasks), Resources())
            assert committed.fits(worker.description.capacity)
            if worker.description.data_centre in world.out:
                assert {task.key for task in worker.tasks} <= before
        world.step()


def test_report_names_every_measure_and_target(capsys):
    """Guards against a table that leaves out a measure that got worse."""
    result = bench.compare(SMALL, [3])
    assert {row["measure"] for row in result["rows"]} == {
        target.measure for target in bench.targets(SMALL)
    }
    assert len(result["rows"]) == 9
    bench._print_table(result)
    printed = capsys.readouterr().out
    assert all(row["measure"] in printed for row in result["rows"])


def test_scenarios_match_the_deployments_of_the_design():
    """Guards against a scenario that drifts from the deployments that it stands for."""
    assert [len(scenario.workers) for scenario in SCENARIOS] == [4, 3]
    for scenario in SCENARIOS:
        assert sum(scenario.workers.values()) == 11
        assert scenario.capacity.slots == 8


def test_capacity_measures_every_operation_at_three_sizes_or_more(monkeypatch):
    """Guards against capacity sums that rest on an operation that is no longer measured."""
    monkeypatch.setattr(capacity, "ROUNDS", 1)
    monkeypatch.setattr(capacity, "cost_us", lambda operation, repeats: operation() and 0 or 1.0)
    rows = capacity.placement_rows() + capacity.decision_rows() + capacity.heartbeat_rows()
    kinds = [row[0].split(",")[0] for row in rows]
    assert len(set(kinds)) == 4
    assert all(kinds.count(kind) >= 3 for kind in kinds)
    assert all(row[1] > 0 for row in capacity.memory_rows())

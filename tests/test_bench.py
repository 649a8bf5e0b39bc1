"""Tests of the benchmark: deterministic, equal load for both strategies, fast when small."""

import attrs
import mulberryslip_platform
import pytest
from mulberryslip import Resources
from mulberryslip_testing import bench, capacity, config_checks
from mulberryslip_testing.scenarios import GRANITE_HOLLOW, SCENARIOS, Departure
from mulberryslip_testing.simulations import Simulation
from mulberryslip_testing.strategies import NaiveStrategy, PolicyStrategy

SMALL = attrs.evolve(
    GRANITE_HOLLOW,
    duration_s=90,
    workers={"granite": 2, "hollow": 2},
    backlog=60,
    departure=Departure("hollow", 30, 45, 60, 90),
)


@pytest.mark.parametrize("strategy_class", [NaiveStrategy, PolicyStrategy])
def test_same_seed_gives_the_same_measurements(strategy_class):
    """Guards against benchmark results that cannot be reproduced."""
    first, second = (bench.run(SMALL, strategy_class, [3]).measures() for _ in range(2))
    assert first == second
    assert bench.run(SMALL, strategy_class, [4]).measures() != first


def test_both_strategies_get_the_same_load():
    """Guards against a strategy that looks better because it was sent fewer requests."""
    naive, policy = (
        bench.run(SMALL, strategy_class, [3]) for strategy_class in (NaiveStrategy, PolicyStrategy)
    )
    for service in SMALL.services:
        expected = service.rate_hz * SMALL.duration_s
        assert len(naive.latencies_ms[service.name]) == expected
        assert len(policy.latencies_ms[service.name]) == expected


@pytest.mark.parametrize("strategy_class", [NaiveStrategy, PolicyStrategy])
def test_strategies_stay_within_capacity_and_start_nothing_in_removed_data_centres(strategy_class):
    """Guards against a simulation in which a strategy gains by exceeding limits of the platform.

    The limits are the capacity of a worker and the ban on starts in a data centre that is out.
    """
    simulation = Simulation(SMALL, 3)
    strategy = strategy_class(simulation, 3)
    for _ in range(SMALL.duration_s):
        before = {task.key for worker in simulation.workers for task in worker.tasks}
        strategy.schedule()
        strategy.refresh_workers()
        for worker in simulation.workers:
            allocated = sum((task.allocated for task in worker.tasks), Resources())
            assert allocated.fits(worker.description.capacity)
            if worker.description.data_centre in simulation.data_centres_out:
                assert {task.key for task in worker.tasks} <= before
        simulation.step()


def test_report_names_every_measure_and_requirement(capsys):
    """Guards against a table that omits a measure that got worse."""
    result = bench.compare(SMALL, [3])
    assert {row["measure"] for row in result["rows"]} == {
        requirement.measure for requirement in bench.requirements(SMALL)
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
    """Guards against capacity estimates based on an operation that is no longer measured."""
    monkeypatch.setattr(capacity, "ROUNDS", 1)
    monkeypatch.setattr(capacity, "cost_us", lambda operation, repeats: operation() and 0 or 1.0)
    rows = capacity.placement_rows() + capacity.decision_rows() + capacity.heartbeat_rows()
    kinds = [row[0].split(",")[0] for row in rows]
    assert len(set(kinds)) == 4
    assert all(kinds.count(kind) >= 3 for kind in kinds)
    assert all(row[1] > 0 for row in capacity.memory_rows())


def test_checks_of_the_bench_compare_every_entry(monkeypatch):
    """Guards against a bench of checks that find the document invalid or unchanged."""
    monkeypatch.setattr(config_checks, "ENTRIES", 20)
    for check in (
        config_checks.pool_check(mulberryslip_platform),
        config_checks.document_check(),
    ):
        report = check()
        assert report.exit_code(strict=False) == 0
        assert len(report.differences) == 20
    assert [row[1] for row in config_checks.rows(mulberryslip_platform)] == [20, 20]

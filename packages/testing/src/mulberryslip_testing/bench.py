"""Compares the policy with a naive strategy: `make bench`, or `python -m` with `--json`."""

import json
import random
from collections.abc import Callable, Iterable

import attrs
from absl import app, flags
from tabulate import tabulate

from .scenarios import SCENARIOS, Scenario, ServiceProfile
from .simulations import MS_PER_SECOND, Simulation
from .strategies import NaiveStrategy, PolicyStrategy, Strategy

_JSON = flags.DEFINE_bool("json", False, "Print the results as JSON.")
_SEEDS = flags.DEFINE_list("seeds", ["1"], "Seeds; the results are aggregated over all of them.")

CLIENT_MS = 2.0
"""Round-trip time between a caller and the entry of its data centre, in milliseconds."""

RETRANSMIT_MS = 40.0
"""Added latency of a request that loses a packet between data centres, in milliseconds."""

PERCENTILES = (50.0, 99.0, 99.9)


@attrs.frozen
class Requirement:
    """Required ratio of a measure, set before the first measurement.

    :param measure: name of the measure.
    :param ratio: bound of the policy's value relative to that of the naive strategy.
    :param is_upper_bound: whether the ratio is an upper bound; otherwise it is a lower bound.
    """

    measure: str
    ratio: float
    is_upper_bound: bool

    def met(self, naive: float, policy: float) -> bool:
        """Return whether the policy's value satisfies the bound."""
        if self.is_upper_bound:
            return policy <= self.ratio * naive
        return policy >= self.ratio * naive


@attrs.define
class Measurements:
    """Measurements of one strategy in one scenario.

    :param latencies_ms: latencies of all requests by service.
    :param throughput: finished batch work in core-seconds.
    :param evictions: number of times that a task was ended before it finished.
    :param departure_work: work in core-seconds while the data centre leaves and returns.
    :param finished: number of finished tasks.
    :param causes: evictions by cause.
    :param urgent_wait_s: queueing times of urgent tasks.
    """

    latencies_ms: dict[str, list[float]] = attrs.field(factory=dict)
    throughput: float = 0.0
    evictions: int = 0
    departure_work: float = 0.0
    finished: int = 0
    causes: dict[str, int] = attrs.field(factory=dict)
    urgent_wait_s: list[float] = attrs.field(factory=list)

    def measures(self) -> dict[str, float]:
        """Return the measures by name, in the order in which they are printed."""
        result = {}
        for service, latencies in self.latencies_ms.items():
            ordered = sorted(latencies)
            for percentile in PERCENTILES:
                name = f"{service} p{percentile:g} ms"
                result[name] = round(_percentile(ordered, percentile), 1)
        result["batch throughput core-s"] = round(self.throughput)
        result["evictions"] = self.evictions
        result["departure work core-s"] = round(self.departure_work)
        return result


def run(
    scenario: Scenario, make_strategy: Callable[[Simulation, int], Strategy], seeds: Iterable[int]
) -> Measurements:
    """Run one strategy through a scenario with each seed and aggregate the measurements."""
    measurements = Measurements({service.name: [] for service in scenario.services})
    for seed in seeds:
        simulation = Simulation(scenario, seed)
        strategy = make_strategy(simulation, seed)
        for _ in range(scenario.duration_s):
            strategy.schedule()
            _simulate_requests(simulation, strategy, measurements)
            strategy.finished(simulation.step())
        totals = simulation.totals
        measurements.throughput += totals.finished_work
        measurements.finished += totals.finished
        measurements.departure_work += totals.departure_work
        measurements.evictions += sum(totals.evictions.values())
        measurements.urgent_wait_s += totals.urgent_wait_s
        for cause, count in totals.evictions.items():
            measurements.causes[cause] = measurements.causes.get(cause, 0) + count
    return measurements


def requirements(scenario: Scenario) -> list[Requirement]:
    """Return the requirements: the preset ratios; no other measure may be worse than naive."""
    primary_service = scenario.services[0].name
    preset = {
        f"{primary_service} p99 ms": Requirement(f"{primary_service} p99 ms", 0.5, True),
        "batch throughput core-s": Requirement("batch throughput core-s", 1.2, False),
        "evictions": Requirement("evictions", 0.5, True),
        "departure work core-s": Requirement("departure work core-s", 1.5, False),
    }
    names = Measurements({service.name: [] for service in scenario.services}).measures()
    return [preset.get(name, Requirement(name, 1.0, True)) for name in names]


def compare(scenario: Scenario, seeds: Iterable[int]) -> dict[str, object]:
    """Run both strategies and return their measures and the requirements as JSON values."""
    seeds = list(seeds)
    naive = run(scenario, NaiveStrategy, seeds)
    policy = run(scenario, PolicyStrategy, seeds)
    naive_measures, policy_measures = naive.measures(), policy.measures()
    rows = [
        {
            "measure": requirement.measure,
            "naive": naive_measures[requirement.measure],
            "ours": policy_measures[requirement.measure],
            "target": f"{'<=' if requirement.is_upper_bound else '>='} {requirement.ratio:g} x",
            "met": requirement.met(
                naive_measures[requirement.measure], policy_measures[requirement.measure]
            ),
        }
        for requirement in requirements(scenario)
    ]
    return {
        "scenario": scenario.name,
        "seeds": seeds,
        "rows": rows,
        "evictions by cause": {"naive": naive.causes, "ours": policy.causes},
        "tasks finished": {"naive": naive.finished, "ours": policy.finished},
        "longest wait of urgent tasks s": {
            "naive": max(naive.urgent_wait_s, default=0),
            "ours": max(policy.urgent_wait_s, default=0),
        },
    }


def _simulate_requests(
    simulation: Simulation, strategy: Strategy, measurements: Measurements
) -> None:
    """Simulate the requests of one second in the order of their random start times."""
    rng = simulation.make_rng("requests")
    scenario = simulation.scenario
    sources = [name for name in scenario.workers if name not in simulation.data_centres_out]
    calls = sorted(
        (rng.random(), number, service)
        for number, service in enumerate(scenario.services)
        for _ in range(service.rate_hz)
    )
    strategy.refresh_workers()
    for offset_s, _, service in calls:
        latency = _simulate_request(
            simulation, strategy, service, rng, rng.choice(sources), simulation.second + offset_s
        )
        measurements.latencies_ms[service.name].append(min(latency, service.deadline_ms))


def _simulate_request(
    simulation: Simulation,
    strategy: Strategy,
    service: ServiceProfile,
    rng: random.Random,
    source: str,
    at_s: float,
) -> float:
    """Simulate one request and return its latency in milliseconds."""
    first_sample, second_sample = (
        _RequestSample.draw(rng, service),
        _RequestSample.draw(rng, service),
    )
    worker_id, hedge_ms = strategy.route(service, source)
    if not worker_id:
        return float(service.deadline_ms)
    latency = _latency(simulation, service, source, worker_id, first_sample)
    strategy.record_response(service, worker_id, at_s + latency / MS_PER_SECOND, latency)
    if hedge_ms and latency > hedge_ms:
        hedge_worker_id = strategy.hedge_route(service, source, worker_id)
        if hedge_worker_id:
            hedge_latency = _latency(simulation, service, source, hedge_worker_id, second_sample)
            strategy.record_response(
                service,
                hedge_worker_id,
                at_s + (hedge_ms + hedge_latency) / MS_PER_SECOND,
                hedge_latency,
            )
            latency = min(latency, hedge_ms + hedge_latency)
    return CLIENT_MS + latency


@attrs.frozen
class _RequestSample:
    """Random values of one attempt.

    They are drawn before any routing decision, so that both strategies get the same values.
    """

    service_ms: float
    jitter: float
    loss_draw: float

    @classmethod
    def draw(cls, rng: random.Random, service: ServiceProfile) -> "_RequestSample":
        service_ms = service.median_ms * rng.lognormvariate(0.0, service.sigma)
        return cls(service_ms, rng.expovariate(1.0), rng.random())


def _latency(
    simulation: Simulation,
    service: ServiceProfile,
    source: str,
    worker_id: str,
    sample: _RequestSample,
) -> float:
    worker = simulation.by_id[worker_id]
    worker.requests[service.name] += 1
    latency = sample.service_ms * simulation.slowdown_factor(worker, service)
    if worker.description.data_centre != source:
        latency += 2.0 * simulation.scenario.link_ms * (1.0 + 0.2 * sample.jitter)
        if sample.loss_draw < simulation.scenario.packet_loss_share:
            latency += RETRANSMIT_MS
    return latency


def _percentile(ordered: list[float], percentile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percentile / 100.0))]


def _print_table(result: dict[str, object]) -> None:
    print(f"\n{result['scenario']}, seeds {result['seeds']}")
    rows = [
        [
            row["measure"],
            row["naive"],
            row["ours"],
            f"{row['ours'] / row['naive']:.2f}" if row["naive"] else "-",
            row["target"],
            "yes" if row["met"] else "NO",
        ]
        for row in result["rows"]
    ]
    print(tabulate(rows, ["measure", "naive", "ours", "ratio", "target", "met"]))
    for name in ("evictions by cause", "tasks finished", "longest wait of urgent tasks s"):
        print(f"{name}: {result[name]}")


def main(argv: list[str]) -> None:
    """Run all scenarios and print the results."""
    del argv
    seeds = [int(seed) for seed in _SEEDS.value]
    results = [compare(scenario, seeds) for scenario in SCENARIOS]
    if _JSON.value:
        print(json.dumps(results, indent=2))
        return
    for result in results:
        _print_table(result)


if __name__ == "__main__":
    app.run(main)

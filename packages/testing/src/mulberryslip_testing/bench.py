"""Compares the policy with a naive version: `make bench`, or `python -m` with `--json`."""

import json
import random
from collections.abc import Callable, Iterable

import attrs
from absl import app, flags
from tabulate import tabulate

from .scenarios import SCENARIOS, Scenario, ServiceShape
from .simulations import MILLISECONDS, World
from .strategies import Feedback, Naive, Strategy

_JSON = flags.DEFINE_bool("json", False, "Print the figures as JSON.")
_SEEDS = flags.DEFINE_list("seeds", ["1"], "Seeds; the figures are taken over all of them.")

CLIENT_MS = 2.0
"""Round trip between a caller and the entry of its data centre."""

RETRANSMIT_MS = 40.0
"""Delay of a request whose packet was lost between data centres."""

PERCENTILES = (50.0, 99.0, 99.9)


@attrs.frozen
class Target:
    """A figure to reach, set before the first measurement.

    :param measure: name of the measure.
    :param ratio: ours against naive.
    :param at_most: whether the ratio is an upper bound.
    """

    measure: str
    ratio: float
    at_most: bool

    def met(self, naive: float, ours: float) -> bool:
        """Return whether the target is met."""
        if self.at_most:
            return ours <= self.ratio * naive
        return ours >= self.ratio * naive


@attrs.define
class Figures:
    """Figures of one version in one scenario.

    :param latencies_ms: latencies by service.
    :param throughput: finished batch work in core-seconds.
    :param evictions: tasks that were ended before they finished.
    :param departure_work: work in core-seconds while the data centre leaves and returns.
    :param causes: evictions by cause.
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
    scenario: Scenario, strategy: Callable[[World, int], Strategy], seeds: Iterable[int]
) -> Figures:
    """Run one version through a scenario with each seed and add up its figures."""
    figures = Figures({service.name: [] for service in scenario.services})
    for seed in seeds:
        world = World(scenario, seed)
        version = strategy(world, seed)
        for _ in range(scenario.duration_s):
            version.schedule()
            _requests(world, version, figures)
            version.finished(world.step())
        tally = world.tally
        figures.throughput += tally.finished_work
        figures.finished += tally.finished
        figures.departure_work += tally.departure_work
        figures.evictions += sum(tally.evictions.values())
        figures.urgent_wait_s += tally.urgent_wait_s
        for cause, count in tally.evictions.items():
            figures.causes[cause] = figures.causes.get(cause, 0) + count
    return figures


def targets(scenario: Scenario) -> list[Target]:
    """Return the targets: the ratios that were set, and no other measure worse than naive."""
    quick = scenario.services[0].name
    set_ratios = {
        f"{quick} p99 ms": Target(f"{quick} p99 ms", 0.5, True),
        "batch throughput core-s": Target("batch throughput core-s", 1.2, False),
        "evictions": Target("evictions", 0.5, True),
        "departure work core-s": Target("departure work core-s", 1.5, False),
    }
    names = Figures({service.name: [] for service in scenario.services}).measures()
    return [set_ratios.get(name, Target(name, 1.0, True)) for name in names]


def compare(scenario: Scenario, seeds: Iterable[int]) -> dict[str, object]:
    """Run both versions and return their measures and the targets as plain data."""
    seeds = list(seeds)
    naive = run(scenario, Naive, seeds)
    ours = run(scenario, Feedback, seeds)
    before, after = naive.measures(), ours.measures()
    rows = [
        {
            "measure": target.measure,
            "naive": before[target.measure],
            "ours": after[target.measure],
            "target": f"{'<=' if target.at_most else '>='} {target.ratio:g} x",
            "met": target.met(before[target.measure], after[target.measure]),
        }
        for target in targets(scenario)
    ]
    return {
        "scenario": scenario.name,
        "seeds": seeds,
        "rows": rows,
        "evictions by cause": {"naive": naive.causes, "ours": ours.causes},
        "tasks finished": {"naive": naive.finished, "ours": ours.finished},
        "longest wait of urgent tasks s": {
            "naive": max(naive.urgent_wait_s, default=0),
            "ours": max(ours.urgent_wait_s, default=0),
        },
    }


def _requests(world: World, version: Strategy, figures: Figures) -> None:
    """Send the requests of one second, spread over it in order."""
    draws = world.random("requests")
    scenario = world.scenario
    sources = [name for name in scenario.workers if name not in world.out]
    calls = sorted(
        (draws.random(), number, service)
        for number, service in enumerate(scenario.services)
        for _ in range(service.rate_hz)
    )
    version.begin_requests()
    for at, _, service in calls:
        latency = _request(world, version, service, draws, draws.choice(sources), world.second + at)
        figures.latencies_ms[service.name].append(min(latency, service.deadline_ms))


def _request(
    world: World,
    version: Strategy,
    service: ServiceShape,
    draws: random.Random,
    source: str,
    at: float,
) -> float:
    """Send one request and return its latency in milliseconds."""
    first_draw, second_draw = _Draw.make(draws, service), _Draw.make(draws, service)
    worker_id, hedge_ms = version.route(service, source)
    if not worker_id:
        return float(service.deadline_ms)
    latency = _latency(world, service, source, worker_id, first_draw)
    version.answered(service, worker_id, at + latency / MILLISECONDS, latency)
    if hedge_ms and latency > hedge_ms:
        other = version.second_route(service, source, worker_id)
        if other:
            hedged = _latency(world, service, source, other, second_draw)
            version.answered(service, other, at + (hedge_ms + hedged) / MILLISECONDS, hedged)
            latency = min(latency, hedge_ms + hedged)
    return CLIENT_MS + latency


@attrs.frozen
class _Draw:
    """Randomness of one try, drawn before any choice, so that both versions get the same."""

    service_ms: float
    jitter: float
    loss: float

    @classmethod
    def make(cls, draws: random.Random, service: ServiceShape) -> "_Draw":
        service_ms = service.median_ms * draws.lognormvariate(0.0, service.sigma)
        return cls(service_ms, draws.expovariate(1.0), draws.random())


def _latency(
    world: World, service: ServiceShape, source: str, worker_id: str, draw: _Draw
) -> float:
    worker = world.by_id[worker_id]
    worker.requests[service.name] += 1
    latency = draw.service_ms * world.factor(worker, service)
    if worker.description.data_centre != source:
        latency += 2.0 * world.scenario.link_ms * (1.0 + 0.2 * draw.jitter)
        if draw.loss < world.scenario.loss_share:
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
    """Run all scenarios and print the figures."""
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

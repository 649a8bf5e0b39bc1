"""Slowdown of services by batch templates, learned per pair from lagged measurements."""

import math
import statistics
from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta

import attrs

MEASUREMENT_LAG = timedelta(seconds=3)
"""Time constant of the pressure measurement: it reflects the tasks that ran over this time."""

HALF_LIFE = timedelta(minutes=15)
"""Age at which evidence counts half, since interference changes with the load over the day."""

PRIOR = 0.08
"""Slowdown per task assumed for an unknown pair; conservative, as most pairs are below it."""

PRIOR_WEIGHT = 8.0
"""Task-seconds of evidence that weigh as much as the prior."""

KNOWN_WEIGHT = 20.0
"""Task-seconds of evidence at which a pair counts as known."""

INITIAL_LEARNING_RATE = 0.2
"""Learning rate of the normalised least-mean-squares update for a pair without evidence."""

MIN_LEARNING_RATE = 0.02
"""Lowest learning rate; noise of tens of seconds on one worker hardly changes a known pair."""

MAX_ERROR = 0.3
"""Bound of the error in one update, so that a peak on one worker is not attributed to its tasks."""

LEAK_TIME = timedelta(minutes=15)
"""Time constant with which estimates shrink while they are learned.

Where all workers run a similar mix of tasks, the base level and the slowdowns are not identifiable.
Without the leak the slowdowns absorb the whole pressure and batch tasks starve.
"""

MAX_SLOWDOWN = 3.0
"""Upper bound of an estimate, so that one outlier cannot exclude a pair for long."""


@attrs.frozen
class Observation:
    """One measurement of a worker.

    :param worker_id: the worker.
    :param services: service templates that it answers.
    :param exposure: running tasks by batch template, each weighted by its duty cycle.
    :param pressure: tail latency relative to its objective; 1.0 meets it, 0 means no report.
    """

    worker_id: str
    services: tuple[str, ...]
    exposure: Mapping[str, float]
    pressure: float


@attrs.define
class _Pair:
    slowdown: float = PRIOR
    weight: float = 0.0
    updated: timedelta = timedelta()

    def decay(self, now: timedelta) -> None:
        """Halve the weight of the evidence for each half-life elapsed."""
        age = max(0.0, (now - self.updated) / HALF_LIFE)
        self.weight *= 0.5**age
        self.updated = now

    def rate(self) -> float:
        """Return the learning rate, which falls as evidence grows and rises as it decays."""
        return max(MIN_LEARNING_RATE, INITIAL_LEARNING_RATE / (1.0 + self.weight / KNOWN_WEIGHT))

    def estimate(self) -> float:
        """Return the slowdown per task, weighted with the prior while there is little evidence."""
        total = self.weight + PRIOR_WEIGHT
        return (self.slowdown * self.weight + PRIOR * PRIOR_WEIGHT) / total


class SlowdownModel:
    """Additive model: pressure = base level of the service + sum of slowdowns by the tasks."""

    def __init__(self):
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._lagged: dict[str, dict[str, float]] = {}
        self._base_levels: dict[str, float] = {}
        self._observed_at: timedelta | None = None

    def observe(self, now: timedelta, observations: Sequence[Observation]) -> None:
        """Update the estimates from one round of measurements.

        :param now: monotonic time of the round.
        :param observations: one per worker; workers without a report are left out.
        """
        step = now - self._observed_at if self._observed_at is not None else timedelta(seconds=1)
        self._observed_at = now
        gain = 1.0 - math.exp(-max(0.0, step / MEASUREMENT_LAG))
        by_service: dict[str, list[tuple[Observation, dict[str, float]]]] = defaultdict(list)
        for observation in observations:
            lagged = self._update_lagged(observation, gain)
            if observation.pressure <= 0.0:
                continue
            for service in observation.services:
                by_service[service].append((observation, lagged))
        leak = math.exp(-max(0.0, step / LEAK_TIME))
        for service, rows in by_service.items():
            self._update_service(now, service, rows, leak)

    def slowdown(self, service: str, template: str) -> float:
        """Return the estimated slowdown of the service by one task of the template."""
        pair = self._pairs.get((service, template))
        return pair.estimate() if pair else PRIOR

    def known(self, service: str, template: str) -> bool:
        """Return whether there is enough evidence about the pair."""
        pair = self._pairs.get((service, template))
        return pair is not None and pair.weight >= KNOWN_WEIGHT

    def level(self, service: str) -> float:
        """Return the base level of pressure that all workers of the service have in common."""
        return self._base_levels.get(service, 0.0)

    def pairs(self) -> dict[tuple[str, str], float]:
        """Return all estimates, for operators and tests."""
        return {names: pair.estimate() for names, pair in self._pairs.items()}

    def forget(self, worker_ids: set[str]) -> None:
        """Drop the lagged exposure of workers that no longer exist."""
        for worker_id in worker_ids:
            self._lagged.pop(worker_id, None)

    def _update_lagged(self, observation: Observation, gain: float) -> dict[str, float]:
        """Update the lagged exposure with the same lag as the measured pressure."""
        lagged = self._lagged.setdefault(observation.worker_id, dict(observation.exposure))
        for template in set(lagged) | set(observation.exposure):
            before = lagged.get(template, 0.0)
            after = before + gain * (observation.exposure.get(template, 0.0) - before)
            if after < 0.01:
                lagged.pop(template, None)
            else:
                lagged[template] = after
        return lagged

    def _update_service(
        self,
        now: timedelta,
        service: str,
        rows: list[tuple[Observation, dict[str, float]]],
        leak: float,
    ) -> None:
        residuals = [
            observation.pressure
            - sum(self._pair(now, service, name).slowdown * tasks for name, tasks in lagged.items())
            for observation, lagged in rows
        ]
        # The median is the base level of all workers. Noise on all workers at once raises it and
        # is attributed to no pair. A lower quantile overestimates every slowdown
        # (0.36 for 0.30 at the 0.4 quantile).
        base = max(0.0, statistics.median(residuals))
        self._base_levels[service] = base
        for name in {name for _, lagged in rows for name in lagged}:
            self._pairs[service, name].slowdown *= leak
        for residual, (_, lagged) in zip(residuals, rows, strict=True):
            error = min(MAX_ERROR, max(-MAX_ERROR, residual - base))
            self._update_pairs(service, error, lagged)

    def _update_pairs(self, service: str, error: float, lagged: Mapping[str, float]) -> None:
        norm = 1.0 + sum(tasks * tasks for tasks in lagged.values())
        for template, tasks in lagged.items():
            pair = self._pairs[service, template]
            step = pair.rate() * error * tasks / norm
            pair.slowdown = min(MAX_SLOWDOWN, max(0.0, pair.slowdown + step))
            pair.weight += tasks

    def _pair(self, now: timedelta, service: str, template: str) -> _Pair:
        pair = self._pairs.get((service, template))
        if pair is None:
            pair = self._pairs[service, template] = _Pair(updated=now)
        elif pair.updated != now:
            pair.decay(now)
        return pair

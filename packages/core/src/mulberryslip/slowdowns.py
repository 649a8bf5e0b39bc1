"""Slowdown of services by batch templates, learned per pair from lagging measurements."""

import math
import statistics
from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta

import attrs

LAG = timedelta(seconds=3)
"""Time constant of the measurements: pressure reflects what ran over about this time."""

HALF_LIFE = timedelta(minutes=15)
"""Age at which evidence counts half; interference shifts with load over the day."""

PRIOR = 0.08
"""Assumed slowdown of an unknown pair per task: cautious, since most pairs are below it."""

PRIOR_WEIGHT = 8.0
"""Task-seconds of evidence that weigh as much as the prior."""

KNOWN_WEIGHT = 20.0
"""Task-seconds of evidence from which a pair counts as known."""

FIRST_RATE = 0.2
"""Step of the normalised least-mean-squares update for a pair without evidence."""

LAST_RATE = 0.02
"""Step for a well-known pair: noise of tens of seconds on one worker moves it little."""

MAX_ERROR = 0.3
"""Bound of the error in one update, so that a wave on one worker is not blamed on its tasks."""

LEAK_TIME = timedelta(minutes=15)
"""Time constant with which estimates shrink while they are learned.

Where all workers run a similar mix, the common level and the slowdowns cannot be told apart.
Without the leak the slowdowns take over the whole pressure and batch work starves.
"""

MAX_SLOWDOWN = 3.0
"""Bound of an estimate, so that one absurd measurement cannot exclude a pair for long."""


@attrs.frozen
class Observation:
    """One measurement of a worker.

    :param worker_id: the worker.
    :param services: service templates that it answers.
    :param exposure: running tasks by batch template, throttled tasks counted by their speed.
    :param pressure: tail latency against its objective; 1.0 meets it exactly, 0 is no report.
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
        """Halve the weight of the evidence with each half-life."""
        age = max(0.0, (now - self.updated) / HALF_LIFE)
        self.weight *= 0.5**age
        self.updated = now

    def rate(self) -> float:
        """Return the learning rate: it falls as evidence grows and rises as it decays."""
        return max(LAST_RATE, FIRST_RATE / (1.0 + self.weight / KNOWN_WEIGHT))

    def estimate(self) -> float:
        """Return the slowdown per task, drawn to the prior while there is little evidence."""
        total = self.weight + PRIOR_WEIGHT
        return (self.slowdown * self.weight + PRIOR * PRIOR_WEIGHT) / total


class SlowdownModel:
    """Additive model: pressure = common level of the service + sum of slowdowns of the tasks."""

    def __init__(self):
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._lagged: dict[str, dict[str, float]] = {}
        self._base: dict[str, float] = {}
        self._seen: timedelta | None = None

    def observe(self, now: timedelta, observations: Sequence[Observation]) -> None:
        """Learn from one round of measurements.

        :param now: monotonic time of the round.
        :param observations: one per worker; workers without a report are left out.
        """
        step = now - self._seen if self._seen is not None else timedelta(seconds=1)
        self._seen = now
        share = 1.0 - math.exp(-max(0.0, step / LAG))
        by_service: dict[str, list[tuple[Observation, dict[str, float]]]] = defaultdict(list)
        for observation in observations:
            lagged = self._follow(observation, share)
            if observation.pressure <= 0.0:
                continue
            for service in observation.services:
                by_service[service].append((observation, lagged))
        leak = math.exp(-max(0.0, step / LEAK_TIME))
        for service, rows in by_service.items():
            self._learn(now, service, rows, leak)

    def slowdown(self, service: str, template: str) -> float:
        """Return the estimated slowdown of the service by one task of the template."""
        pair = self._pairs.get((service, template))
        return pair.estimate() if pair else PRIOR

    def known(self, service: str, template: str) -> bool:
        """Return whether there is enough evidence about the pair."""
        pair = self._pairs.get((service, template))
        return pair is not None and pair.weight >= KNOWN_WEIGHT

    def level(self, service: str) -> float:
        """Return the level of pressure that all workers of the service have in common."""
        return self._base.get(service, 0.0)

    def pairs(self) -> dict[tuple[str, str], float]:
        """Return all estimates, for operators and tests."""
        return {names: pair.estimate() for names, pair in self._pairs.items()}

    def forget(self, worker_ids: set[str]) -> None:
        """Drop the lagged exposure of workers that are gone."""
        for worker_id in worker_ids:
            self._lagged.pop(worker_id, None)

    def _follow(self, observation: Observation, share: float) -> dict[str, float]:
        """Let the lagged exposure follow what runs now, as the measured pressure does."""
        lagged = self._lagged.setdefault(observation.worker_id, dict(observation.exposure))
        for template in set(lagged) | set(observation.exposure):
            before = lagged.get(template, 0.0)
            after = before + share * (observation.exposure.get(template, 0.0) - before)
            if after < 0.01:
                lagged.pop(template, None)
            else:
                lagged[template] = after
        return lagged

    def _learn(
        self,
        now: timedelta,
        service: str,
        rows: list[tuple[Observation, dict[str, float]]],
        leak: float,
    ) -> None:
        residuals = [
            observation.pressure
            - sum(self._pair(now, service, name).slowdown * x for name, x in lagged.items())
            for observation, lagged in rows
        ]
        # The median is the level that all workers share. Noise that hits all of them at once
        # raises it and is blamed on no pair. A lower quantile overestimates every slowdown
        # (0.36 for 0.30 at the 0.4 quantile).
        base = max(0.0, statistics.median(residuals))
        self._base[service] = base
        for name in {name for _, lagged in rows for name in lagged}:
            self._pairs[service, name].slowdown *= leak
        for residual, (_, lagged) in zip(residuals, rows, strict=True):
            error = min(MAX_ERROR, max(-MAX_ERROR, residual - base))
            self._correct(service, error, lagged)

    def _correct(self, service: str, error: float, lagged: Mapping[str, float]) -> None:
        norm = 1.0 + sum(x * x for x in lagged.values())
        for template, x in lagged.items():
            pair = self._pairs[service, template]
            step = pair.rate() * error * x / norm
            pair.slowdown = min(MAX_SLOWDOWN, max(0.0, pair.slowdown + step))
            pair.weight += x

    def _pair(self, now: timedelta, service: str, template: str) -> _Pair:
        pair = self._pairs.get((service, template))
        if pair is None:
            pair = self._pairs[service, template] = _Pair(updated=now)
        elif pair.updated != now:
            pair.decay(now)
        return pair

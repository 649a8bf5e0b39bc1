"""Which filling images disturb which serving images, learned from tail latencies.

The slowdown of a service by one filling run is either small or many times its target, and differs
by pair of images. So the model keeps, for each pair, how long the service was over its target and
how long it was calm while runs of the filling image worked beside it.
"""

import enum
from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta

import attrs

from .runners import RunningRun, RunProfile

HALF_LIFE = timedelta(seconds=60)
"""Age at which evidence counts half; what a pair does to each other changes with its load."""

PRIOR = 0.1
PRIOR_SECONDS = 1.0
"""Evidence that weighs as much as the prior."""

CONFLICT_RISK = 0.15
"""Share of the time over the target from which a pair is kept apart. Pairs that get along show up
to 0.08, by what other runs do at the same time."""

HARMLESS_RISK = 0.06
HARMLESS_SECONDS = 3.0
"""Risk below which, and calm time from which on, a pair is known to get along. A service comes near
its target by its own load, too, and then batch work that does not disturb it goes on."""

MAX_STEP = timedelta(seconds=1)
"""Longest time for which one measurement, a figure of the last half second, stands."""

OVER = 1.0
CALM = 0.7
"""Shares of the target above which a service counts as disturbed, and below which as calm."""

WORKING_MILLIS = 300
"""Processor use from which a filling run counts as at work; slowed down ones use less."""


class Relation(enum.Enum):
    """What is known of a filling and a serving image."""

    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    HARMLESS = "harmless"


@attrs.define
class _Evidence:
    disturbed: float = 0.0
    calm: float = 0.0
    updated: timedelta = timedelta()

    def decay(self, now: timedelta) -> None:
        factor = 0.5 ** max(0.0, (now - self.updated) / HALF_LIFE)
        self.disturbed *= factor
        self.calm *= factor
        self.updated = now

    def risk(self) -> float:
        total = self.disturbed + self.calm + PRIOR_SECONDS
        return (self.disturbed + PRIOR * PRIOR_SECONDS) / total

    def relation(self) -> Relation:
        risk = self.risk()
        if risk >= CONFLICT_RISK:
            return Relation.CONFLICT
        if risk < HARMLESS_RISK and self.calm >= HARMLESS_SECONDS:
            return Relation.HARMLESS
        return Relation.UNKNOWN


@attrs.frozen
class Neighbour:
    """A run with its profile."""

    row: RunningRun
    profile: RunProfile


class ConflictModel:
    """Learns which filling images disturb which serving images. Not thread-safe."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Evidence] = {}
        self._seen: dict[str, tuple[timedelta, frozenset[str]]] = {}
        self._given: dict[tuple[str, str], Relation] = {}

    def observe(self, worker_id: str, now: timedelta, neighbours: Sequence[Neighbour]) -> None:
        """Learn from one listing of a worker.

        :param now: monotonic time of the listing.
        :param neighbours: its runs.
        """
        working = frozenset(
            neighbour.profile.image
            for neighbour in neighbours
            if neighbour.profile.fills and neighbour.row.gauge >= WORKING_MILLIS
        )
        before, earlier = self._seen.get(worker_id, (now, frozenset()))
        self._seen[worker_id] = (now, working)
        seconds = min(MAX_STEP, now - before).total_seconds()
        for neighbour in neighbours:
            target = neighbour.profile.target_ms
            if target and seconds > 0:
                ratio = neighbour.row.gauge / target
                serving = neighbour.profile.image
                if ratio < CALM:
                    # What began just now does not show in the tail yet.
                    self._acquit(working & earlier, serving, seconds, now)
                elif ratio >= OVER:
                    # The tail still shows what ended just now.
                    self._blame(working | earlier, serving, seconds, now)

    def give(self, relations: Iterable[tuple[str, str, Relation]]) -> None:
        """Take over what another process has learned of pairs, in place of what it said before."""
        self._given = {(filling, serving): known for filling, serving, known in relations}

    def relation(self, filling: str, serving: str) -> Relation:
        """Return what is known of a pair; what another process knows goes first."""
        given = self._given.get((filling, serving), Relation.UNKNOWN)
        if given is not Relation.UNKNOWN:
            return given
        evidence = self._pairs.get((filling, serving))
        return evidence.relation() if evidence else Relation.UNKNOWN

    def relations(
        self, filling: Collection[str], serving: Collection[str]
    ) -> list[tuple[str, str, Relation]]:
        """Return what is known of the pairs of some images."""
        return [
            (*pair, evidence.relation())
            for pair, evidence in self._pairs.items()
            if pair[0] in filling and pair[1] in serving
        ]

    def risk(self, filling: str, serving: str) -> float:
        """Return the share of the time in which a pair puts the service over its target."""
        evidence = self._pairs.get((filling, serving))
        return evidence.risk() if evidence else PRIOR

    def is_conflict(self, filling: str, serving: str) -> bool:
        """Return whether a pair is to be kept apart."""
        return self.relation(filling, serving) is Relation.CONFLICT

    def conflicts(self) -> list[tuple[str, str]]:
        """Return the pairs of filling and serving image that are to be kept apart."""
        return [
            pair for pair, found in self._pairs.items() if found.relation() is Relation.CONFLICT
        ]

    def _acquit(
        self, working: frozenset[str], serving: str, seconds: float, now: timedelta
    ) -> None:
        for filling in working:
            self._evidence(filling, serving, now).calm += seconds

    def _blame(self, working: frozenset[str], serving: str, seconds: float, now: timedelta) -> None:
        pairs = [self._evidence(filling, serving, now) for filling in working]
        # The blame goes to those that are suspected already. In proportion to the risk alone,
        # what often works beside a culprit would keep a seventh of its blame.
        weights = [evidence.risk() ** 2 for evidence in pairs]
        for evidence, weight in zip(pairs, weights, strict=True):
            evidence.disturbed += seconds * weight / sum(weights)

    def _evidence(self, filling: str, serving: str, now: timedelta) -> _Evidence:
        evidence = self._pairs.setdefault((filling, serving), _Evidence(updated=now))
        evidence.decay(now)
        return evidence

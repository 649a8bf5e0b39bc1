"""Sets the duty cycles of best-effort runs colocated with services. This module performs no I/O.

Best-effort runs use the processors that services leave unused. Their interference with the services
differs by pair of images, and the load of the services changes within seconds. A service that
violates its latency objective for a few seconds harms its users, so best-effort runs get only as
much processor time as the current headroom of the services on the same worker allows.

There may be less headroom than all best-effort runs need to meet their deadlines. An equal split
would make all of them late, so headroom is allocated by earliest deadline, in the same order on
each worker.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from .headrooms import (
    NEGLIGIBLE_INTERFERENCE,
    Budget,
    ColocatedRun,
    InterferenceModel,
    LaggedShares,
    allocate_headroom,
    used_shares,
)
from .runners import RunProfile
from .stable_duty_cycles import (
    FULL_PERCENT,
    VIOLATION_BACKOFF,
    RunKey,
    StableDutyCycles,
    demand_of,
)

UNKNOWN_PERCENT = -1
"""Duty cycle of a run that an earlier process may have set, or whose last call had no reply."""

RESERVED_HEADROOM = 1.25
"""Headroom that best-effort runs must leave to a service. The service's own load may consume up to
0.4 of headroom per second, and a change of duty cycle is decided and takes effect on the tail
latency within about 0.6 s."""

MAX_INCREASE_PERCENT = 20
"""Maximum increase of a duty cycle per update, in percentage points. Small steps reveal a wrong
interference estimate before a run is at full speed."""

MIN_CHANGE_PERCENT = 10
"""Smallest change of a duty cycle that justifies a call, in percentage points. Lower duty cycles
are rounded to 0."""

INITIAL_PERCENT_TTL_MS = 2000
"""Time for which the initial duty cycle of a run is remembered until the run is listed; longer than
a start may be pending."""

HALT_AFTER_MS = 1000
HALT_ALL_AFTER_MS = 2000
"""Duration of a violation after which the best-effort runs known to interfere with the service, and
then all best-effort runs, are halted. Including the delay until a violation is seen and the halt
takes effect, this is below the 4 s for which a service may violate its objective."""


@attrs.frozen
class DutyCycleChange:
    """A new duty cycle for a run.

    :param percent: share of the time that the run may work; 0 halts it.
    """

    task: str
    run: int
    percent: int


class DutyCycleController:
    """Controls the duty cycles of the best-effort runs of one worker.

    :param model: model of the interference between images.
    :param is_stable: whether duty cycles follow filtered headrooms instead of each listing.
    """

    def __init__(self, model: InterferenceModel, is_stable: bool = False):
        self._model = model
        self._stable = StableDutyCycles(model) if is_stable else None
        self._percents: dict[RunKey, int] = {}
        self._requested: dict[RunKey, int] = {}
        self._initial_set_at: dict[RunKey, int] = {}
        self._remaining_budgets: list[Budget] = []
        self._lagged_shares = LaggedShares()
        self._now_ms = 0
        self._violated_since: dict[str, int] = {}

    def use_filters(self, is_stable: bool) -> None:
        """Set whether duty cycles follow filtered headrooms; the filters start without history."""
        if is_stable != (self._stable is not None):
            self._stable = StableDutyCycles(self._model) if is_stable else None

    def update(
        self, colocated_runs: Sequence[ColocatedRun], cpu_millis: int, now_ms: int
    ) -> list[DutyCycleChange]:
        """Recompute the duty cycles from a run listing.

        :param colocated_runs: runs of the worker whose profiles are known.
        :param cpu_millis: processors of the worker, in thousandths of a core.
        :param now_ms: time on the worker's clock, in milliseconds.
        :returns: the changes to apply.
        """
        best_effort = [
            colocated_run for colocated_run in colocated_runs if colocated_run.profile.fills
        ]
        best_effort.sort(key=lambda item: (item.profile.due_ms, item.listed_run.task))
        latency_critical = [
            colocated_run for colocated_run in colocated_runs if colocated_run.headroom is not None
        ]
        self._now_ms = now_ms
        if self._stable is not None:
            allowed = self._stable_percents(best_effort, latency_critical, cpu_millis)
        else:
            allowed = self._allowed_percents(best_effort, latency_critical, cpu_millis)
        halted = self._images_to_halt(
            {item.profile.image for item in best_effort}, latency_critical, now_ms
        )
        self._percents = {
            key: self._next_percent(key, 0 if image in halted else percent)
            for key, image, percent in allowed
        }
        return self._changes({key for key, image, _ in allowed if image in halted})

    def initial_percent(self, profile: RunProfile, run: int, cpu_millis: int) -> int:
        """Return the initial duty cycle of a run, in percent.

        Without one, the run would work at full speed until it is first listed. A run that has been
        listed already keeps its duty cycle.

        :param profile: profile of the run.
        :param run: number of the run.
        :param cpu_millis: processors of the worker, in thousandths of a core.
        """
        if not profile.fills:
            return FULL_PERCENT
        if (profile.task, run) in self._percents:
            return self._percents[profile.task, run]
        if self._stable is not None:
            percent = self._stable.initial_percent(profile, cpu_millis)
        else:
            demand = demand_of(profile, cpu_millis)
            (share,), _ = allocate_headroom([demand], self._remaining_budgets, self._model)
            percent = _rounded_percent(share, demand.share)
        self._requested[profile.task, run] = percent
        self._initial_set_at[profile.task, run] = self._now_ms
        return percent

    def mark_applied(self, change: DutyCycleChange) -> None:
        """Mark a change as applied.

        If another one for the run was decided meanwhile, either may have taken effect last, so that
        a later update repeats it.
        """
        key = (change.task, change.run)
        if self._requested.get(key, change.percent) != change.percent:
            self._requested[key] = UNKNOWN_PERCENT

    def mark_not_applied(self, change: DutyCycleChange) -> None:
        """Mark a change as not applied, so that a later update repeats it."""
        self._requested[change.task, change.run] = UNKNOWN_PERCENT

    def _previous_percent(self, key: RunKey) -> int:
        """Return the current duty cycle of a run, in percent; full speed if unknown."""
        percent = self._percents.get(key, self._requested.get(key, UNKNOWN_PERCENT))
        return FULL_PERCENT if percent == UNKNOWN_PERCENT else percent

    def _known_percent(self, key: RunKey, colocated_run: ColocatedRun) -> int:
        """Return the current duty cycle of a run, in percent; from its use if unknown."""
        percent = self._percents.get(key, self._requested.get(key, UNKNOWN_PERCENT))
        if percent != UNKNOWN_PERCENT:
            return percent
        used = colocated_run.listed_run.gauge / max(1, colocated_run.profile.cpu_millis)
        return min(FULL_PERCENT, round(FULL_PERCENT * used))

    def _next_percent(self, key: RunKey, allowed: int) -> int:
        """Return the next duty cycle of a run, in percent."""
        if self._stable is not None:
            return allowed
        return _next_percent(self._previous_percent(key), allowed)

    def _stable_percents(
        self,
        best_effort: Sequence[ColocatedRun],
        latency_critical: Sequence[ColocatedRun],
        cpu_millis: int,
    ) -> list[tuple[RunKey, str, int]]:
        """Return the same as `_allowed_percents`, according to filtered headrooms."""
        keys = [(item.listed_run.task, item.listed_run.run) for item in best_effort]
        percents = self._stable.update(
            best_effort,
            latency_critical,
            [self._known_percent(key, item) for key, item in zip(keys, best_effort, strict=True)],
            cpu_millis,
            self._now_ms * timedelta(milliseconds=1),
        )
        return [
            (key, item.profile.image, percent)
            for key, item, percent in zip(keys, best_effort, percents, strict=True)
        ]

    def _images_to_halt(
        self, images: Collection[str], latency_critical: Sequence[ColocatedRun], now_ms: int
    ) -> set[str]:
        """Return the images to halt because a service has violated its objective for too long."""
        violating = {
            service.listed_run.task: service.profile.image
            for service in latency_critical
            if service.headroom <= 1
        }
        self._violated_since = {task: self._violated_since.get(task, now_ms) for task in violating}
        halted = set()
        for task, since in self._violated_since.items():
            if now_ms - since >= HALT_ALL_AFTER_MS:
                halted.update(images)
            elif now_ms - since >= HALT_AFTER_MS:
                halted.update(
                    image
                    for image in images
                    if self._model.interference(image, violating[task]) > NEGLIGIBLE_INTERFERENCE
                )
        return halted

    def _allowed_percents(
        self,
        best_effort: Sequence[ColocatedRun],
        latency_critical: Sequence[ColocatedRun],
        cpu_millis: int,
    ) -> list[tuple[RunKey, str, int]]:
        """Return the key, image and allowed duty cycle in percent of each run in `best_effort`.

        :param best_effort: runs in the order in which headroom is allocated.
        """
        used = used_shares(best_effort, cpu_millis)
        shares = self._lagged_shares.update(used, self._now_ms * timedelta(milliseconds=1))
        demands = [demand_of(item.profile, cpu_millis) for item in best_effort]
        budgets = [
            (service.profile.image, self._budget(service, shares)) for service in latency_critical
        ]
        allowed, self._remaining_budgets = allocate_headroom(demands, budgets, self._model)
        return [
            (
                (item.listed_run.task, item.listed_run.run),
                demand.image,
                _rounded_percent(share, demand.share),
            )
            for item, demand, share in zip(best_effort, demands, allowed, strict=True)
        ]

    def _budget(self, colocated_run: ColocatedRun, shares: Mapping[str, float]) -> float:
        """Return by how much best-effort runs together may decrease the headroom of a service."""
        interference = self._model.total_interference(shares, colocated_run.profile.image)
        budget = colocated_run.headroom + interference - RESERVED_HEADROOM
        if colocated_run.headroom <= 1:
            return min(budget, VIOLATION_BACKOFF * interference)
        return budget

    def _changes(self, halted: Collection[RunKey]) -> list[DutyCycleChange]:
        """Return the duty cycles to set.

        :param halted: runs that are set at each update. A worker does not list duty cycles, and a
            call that was given up can take effect after a later one.
        """
        wanted = self._percents
        self._initial_set_at = {
            key: at
            for key, at in self._initial_set_at.items()
            if key not in wanted and self._now_ms - at < INITIAL_PERCENT_TTL_MS
        }
        self._requested = {
            key: percent
            for key, percent in self._requested.items()
            if key in wanted or key in self._initial_set_at
        }
        changes = [
            DutyCycleChange(*key, percent)
            for key, percent in wanted.items()
            if key in halted or self._requested.get(key, UNKNOWN_PERCENT) != percent
        ]
        self._requested.update({(change.task, change.run): change.percent for change in changes})
        return changes


def _rounded_percent(share: float, wanted: float) -> int:
    """Return a share as a percentage of the wanted share, with small values rounded to 0."""
    percent = int(FULL_PERCENT * share / wanted) if wanted > 0 else FULL_PERCENT
    return percent if percent >= MIN_CHANGE_PERCENT else 0


def _next_percent(percent: int, allowed: int) -> int:
    """Return the next duty cycle between the current and the allowed one, in percent."""
    if allowed == 0 or allowed <= percent - MIN_CHANGE_PERCENT:
        return allowed
    if allowed >= percent + MIN_CHANGE_PERCENT or allowed == FULL_PERCENT:
        return min(allowed, percent + MAX_INCREASE_PERCENT)
    return percent

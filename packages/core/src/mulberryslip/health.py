"""Worker health: detects workers on which tasks fail, stall or run slowly.

It covers these cases: a worker reports itself healthy but fails every task it starts, so that tasks
exhaust their attempts there; tasks on a worker make no progress; a worker is several times slower
than the others. Tasks of one step do similar work, so workers are compared by their progress on
tasks of the same step.
"""

import statistics
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta

import attrs

FAILURES_BEFORE_EXCLUSION = 2
"""Consecutive failed runs after which a worker is excluded. Tasks fail for reasons of their own in
2 to 5 of 100 runs, so two consecutive failures rarely happen by chance."""

INITIAL_EXCLUSION = timedelta(seconds=4)
MAX_EXCLUSION = timedelta(seconds=30)
"""First and longest time for which a failing worker is excluded. The time doubles with each
exclusion and is reset by a successful run, so a healthy worker is soon used again. A
worker with a stalled run is excluded for the first of these times."""

FLEET_SHARE = 3
"""At most one in this many workers is excluded for longer than `INITIAL_EXCLUSION`, or for stalled
runs. Such an exclusion moves work to other workers; if these fail or stall as well, it only keeps
the fleet idle. For failed runs, only the workers count to which such work could go.

If all the others fail at the same time, their failures have one cause. Once a run succeeds on one
of them, that cause has ended, and the earlier failures are no evidence against the rest."""

EXCLUSIONS_BEFORE_PROBES = 2
"""Consecutive exclusions after which a worker is probed with single runs until one succeeds, so
that a worker that still fails uses up few attempts."""

PROBE_INTERVAL = timedelta(seconds=2)
"""Time between two probes of a worker. Short checks end or fail sooner."""

STALLED_AFTER = timedelta(milliseconds=1500)
"""Shortest time without progress after which a run counts as stalled. A task that takes 15 s
advances by one percent every 0.15 s."""

STALLED_AFTER_SHARE = 0.05
"""Share of its estimated run time after which a run without progress counts as stalled, if that is
longer than `STALLED_AFTER`. Progress is reported in whole percent."""

SLOW_SPEED_RATIO = 0.45
"""A worker is slow if its speed relative to tasks of the same step on other workers is below this.
Tasks of a step differ by about a third."""

MIN_SPEED_SAMPLES = 3
COMPARISON_MAX_AGE = timedelta(seconds=8)
"""Number of speed comparisons before a worker may count as slow, and age of the last one after
which a slow worker counts as healthy again."""

EXCLUSION_PENALTY = 1.0
"""Penalty at or above which a worker gets no runs."""

UNSTARTED_PENALTY = 0.6
"""Penalty of a worker that has not carried out a start. The worker is not excluded: a slow store or
a burst can delay the starts of all workers."""

UNSTARTED_PENALTY_TIME = timedelta(seconds=4)
MAX_UNSTARTED_PENALTY_TIME = timedelta(seconds=32)
"""First and longest time for which such a worker is avoided. The time doubles until the worker
starts a run: a lost start takes up to 2 s to show, so several such workers would otherwise get the
same task in turn, beside others that are well."""


@attrs.define
class _WorkerState:
    failures: int = 0
    excluded_until: timedelta = timedelta()
    next_exclusion: timedelta = INITIAL_EXCLUSION
    exclusions: int = 0
    next_probe_at: timedelta = timedelta()
    speed: float = 1.0
    samples: int = 0
    compared_at: timedelta = timedelta()
    stalled_at: timedelta | None = None
    unstarted_until: timedelta = timedelta()
    unstarted_at: timedelta = timedelta()
    unstarted_time: timedelta = timedelta()

    @property
    def unavailable_until(self) -> timedelta:
        """Return when the exclusion for failed runs ends, or the time between two probes."""
        return max(self.excluded_until, self.next_probe_at)

    def forget_exclusions(self, now: timedelta) -> None:
        """Forget earlier exclusions for failed runs; one that lasts goes on."""
        self.exclusions = 0
        self.next_exclusion = INITIAL_EXCLUSION
        self.next_probe_at = now


@attrs.define
class _ProgressTrack:
    step: str
    percent: int
    stalled_after: timedelta
    progressed_at: timedelta
    seen_at: timedelta
    speed: float | None = None


@attrs.frozen
class RunProgress:
    """Progress of a run with dedicated processors.

    :param task: name of the task.
    :param run: number of the run.
    :param step: name of the step; tasks of a step do similar work.
    :param percent: share of the work that is done.
    :param estimate: run time that the caller estimated; zero if unknown.
    """

    task: str
    run: int
    step: str
    percent: int
    estimate: timedelta = timedelta()

    @property
    def stalled_after(self) -> timedelta:
        """Return the time without progress after which the run counts as stalled.

        It grows with the number of runs: an estimate may be far too short, and a task that is moved
        after the same time again and again never ends.
        """
        patience = max(STALLED_AFTER, STALLED_AFTER_SHARE * self.estimate)
        return patience * max(1, self.run - 1)


class WorkerHealth:
    """Health of the workers of a pool. Not thread-safe."""

    def __init__(self) -> None:
        self._states: dict[str, _WorkerState] = defaultdict(_WorkerState)
        self._tracks: dict[str, dict[tuple[str, int], _ProgressTrack]] = {}
        self._workers_by_step: dict[str, set[str]] = defaultdict(set)

    def record_run_end(
        self,
        worker_id: str,
        is_done: bool,
        now: timedelta,
        suitable: Collection[str] | None = None,
    ) -> bool:
        """Record the end of a run.

        :param is_done: whether the run succeeded.
        :param now: monotonic time.
        :param suitable: ids of the workers that may run such a task at all; None if unknown.
        :returns: whether the worker is newly excluded.
        """
        state = self._states[worker_id]
        if is_done:
            if suitable is not None and self._has_common_failure(worker_id, suitable):
                self._end_exclusions(suitable, now)
            state.failures = 0
            state.forget_exclusions(now)
            state.unstarted_time = timedelta()
            return False
        state.failures += 1
        if state.failures < FAILURES_BEFORE_EXCLUSION or now < state.excluded_until:
            return False
        state.exclusions += 1
        if suitable is not None and not self._may_exclude_for_long(worker_id, suitable, now):
            state.excluded_until = now + INITIAL_EXCLUSION
        else:
            state.excluded_until = now + state.next_exclusion
            state.next_exclusion = min(MAX_EXCLUSION, 2 * state.next_exclusion)
        return True

    def record_unstarted(self, worker_id: str, now: timedelta) -> None:
        """Record that a worker refused a start, or did not carry it out in time."""
        state = self._states[worker_id]
        if now >= state.unstarted_until:
            state.unstarted_time = min(MAX_UNSTARTED_PENALTY_TIME, 2 * state.unstarted_time)
        state.unstarted_time = max(UNSTARTED_PENALTY_TIME, state.unstarted_time)
        state.unstarted_at = now
        state.unstarted_until = now + state.unstarted_time

    def record_start(self, worker_id: str, listed_at: timedelta) -> None:
        """Record that a worker has carried out a start.

        :param listed_at: when the run was listed first, as monotonic time.
        """
        state = self._states.get(worker_id)
        if state is not None and listed_at > state.unstarted_at:
            state.unstarted_time = timedelta()

    def has_lost_starts(self, worker_id: str) -> bool:
        """Return whether a worker has carried out no start since the last one that it did not."""
        state = self._states.get(worker_id)
        return state is not None and state.unstarted_time > timedelta()

    def is_probed(self, worker_id: str) -> bool:
        """Return whether a worker may get single runs only, until one of them succeeds."""
        state = self._states.get(worker_id)
        return state is not None and state.exclusions >= EXCLUSIONS_BEFORE_PROBES

    def record_probe(self, worker_id: str, now: timedelta) -> None:
        """Record that a run is started on a worker that is probed."""
        self._states[worker_id].next_probe_at = now + PROBE_INTERVAL

    def record_progress(
        self,
        worker_id: str,
        rows: Iterable[RunProgress],
        listed_at: timedelta,
        now: timedelta,
    ) -> None:
        """Record the progress of a worker's runs.

        :param rows: all runs of the worker; runs that are missing are dropped.
        :param listed_at: time of the listing on the worker's clock. Progress is measured on this
            clock, so the time for which a VM is suspended or its reports are delayed does not
            count as time without progress.
        :param now: monotonic time.
        """
        before = self._tracks.get(worker_id, {})
        tracks = {}
        for row in rows:
            key = (row.task, row.run)
            track = before.get(key)
            if track is None:
                track = _ProgressTrack(
                    row.step, row.percent, row.stalled_after, listed_at, listed_at
                )
            else:
                self._update_track(track, row.percent, listed_at)
            tracks[key] = track
        self._tracks[worker_id] = tracks
        self._index_steps(worker_id, before, tracks)
        self._update_relative_speed(worker_id, now)

    def stalled_runs(self, worker_id: str) -> list[tuple[str, int]]:
        """Return the runs of a worker that its reports show without progress, by task and run.

        The time after the last listing does not count: a worker that is silent may make progress.
        """
        tracks = self._tracks.get(worker_id, {})
        return [
            key
            for key, track in tracks.items()
            if track.seen_at - track.progressed_at >= track.stalled_after
        ]

    def is_slow(self, worker_id: str, now: timedelta) -> bool:
        """Return whether a worker is much slower than the others."""
        state = self._states.get(worker_id)
        if state is None or state.samples < MIN_SPEED_SAMPLES:
            return False
        return now - state.compared_at < COMPARISON_MAX_AGE and state.speed < SLOW_SPEED_RATIO

    def penalties(self, worker_ids: Sequence[str], now: timedelta) -> dict[str, float]:
        """Return the penalties of the workers that may get runs.

        Workers with stalled runs are only avoided, not excluded, if they are too many.
        """
        penalties = {worker_id: self.penalty(worker_id, now) for worker_id in worker_ids}
        stalled = [worker_id for worker_id in worker_ids if self._has_stalled(worker_id, now)]
        if len(stalled) * FLEET_SHARE > len(worker_ids):
            for worker_id in stalled:
                if now >= self._states[worker_id].unavailable_until:
                    penalties[worker_id] = EXCLUSION_PENALTY / 2
        return penalties

    def penalty(self, worker_id: str, now: timedelta) -> float:
        """Return the penalty of a worker: 0 if healthy, `EXCLUSION_PENALTY` or more if excluded."""
        state = self._states.get(worker_id)
        if state is None:
            return 0.0
        if now < state.unavailable_until or self._has_stalled(worker_id, now):
            return EXCLUSION_PENALTY
        if now < state.unstarted_until:
            return UNSTARTED_PENALTY
        if self.is_slow(worker_id, now):
            return EXCLUSION_PENALTY / 2
        # After a failure, prefer workers whose last run succeeded.
        return 0.1 if state.failures else 0.0

    def _may_exclude_for_long(
        self, worker_id: str, suitable: Collection[str], now: timedelta
    ) -> bool:
        """Return whether few enough of the workers are excluded that work can go elsewhere."""
        excluded = 1 + sum(
            now < self._states[other].excluded_until
            for other in suitable
            if other != worker_id and other in self._states
        )
        return excluded * FLEET_SHARE <= len(suitable)

    def _is_failing(self, worker_id: str) -> bool:
        state = self._states.get(worker_id)
        return state is not None and state.failures >= FAILURES_BEFORE_EXCLUSION

    def _has_common_failure(self, worker_id: str, suitable: Collection[str]) -> bool:
        """Return whether a worker fails together with most of those that may run its tasks."""
        if not self._is_failing(worker_id):
            return False
        others = len(suitable) - sum(map(self._is_failing, suitable))
        return others * FLEET_SHARE <= len(suitable)

    def _end_exclusions(self, worker_ids: Iterable[str], now: timedelta) -> None:
        """End the exclusions of failing workers; the next failed run excludes each again."""
        for worker_id in filter(self._is_failing, worker_ids):
            state = self._states[worker_id]
            state.failures = FAILURES_BEFORE_EXCLUSION - 1
            state.forget_exclusions(now)
            state.excluded_until = min(state.excluded_until, now)

    def _has_stalled(self, worker_id: str, now: timedelta) -> bool:
        """Return whether a run of a worker stood still until shortly before."""
        state = self._states.get(worker_id)
        return (
            state is not None
            and state.stalled_at is not None
            and now - state.stalled_at < INITIAL_EXCLUSION
        )

    def _update_track(self, track: _ProgressTrack, percent: int, listed_at: timedelta) -> None:
        seconds = (listed_at - track.seen_at).total_seconds()
        if seconds > 0:
            speed = max(0, percent - track.percent) / seconds
            track.speed = speed if track.speed is None else (track.speed + speed) / 2
        if percent != track.percent:
            track.progressed_at = listed_at
        track.percent = percent
        track.seen_at = listed_at

    def _index_steps(
        self,
        worker_id: str,
        before: dict[tuple[str, int], _ProgressTrack],
        tracks: dict[tuple[str, int], _ProgressTrack],
    ) -> None:
        steps = {track.step for track in tracks.values()}
        for step in {track.step for track in before.values()} - steps:
            self._workers_by_step[step].discard(worker_id)
            if not self._workers_by_step[step]:
                del self._workers_by_step[step]
        for step in steps:
            self._workers_by_step[step].add(worker_id)

    def _update_relative_speed(self, worker_id: str, now: timedelta) -> None:
        state = self._states[worker_id]
        for step in sorted({track.step for track in self._tracks[worker_id].values()}):
            speeds = self._speeds(step, (worker_id,))
            others = self._speeds(step, self._workers_by_step[step] - {worker_id})
            if not speeds or len(others) < 2:
                continue
            median_speed = statistics.median(others)
            if median_speed <= 0:
                continue
            ratio = min(2.0, statistics.median(speeds) / median_speed)
            state.speed = 0.7 * state.speed + 0.3 * ratio
            state.samples += 1
            state.compared_at = now
        if self.stalled_runs(worker_id):
            state.stalled_at = now

    def _speeds(self, step: str, worker_ids: Iterable[str]) -> list[float]:
        """Return the measured speeds of a step's runs on some workers."""
        return [
            track.speed
            for worker_id in worker_ids
            for track in self._tracks[worker_id].values()
            if track.step == step and track.speed is not None
        ]

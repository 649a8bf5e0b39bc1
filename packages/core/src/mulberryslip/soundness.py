"""How far workers can be trusted: which of them fail, stall or delay what they run.

Load patterns that this answers: a worker looks healthy and fails everything that it starts, so that
tasks use up their attempts there; tasks on a worker stand still; a worker is several times slower
than the others. Tasks of one step are alike, so workers are compared by their progress on them.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta

import attrs

FAILURES_IN_ROW = 2
"""Failures without a success between from which on a worker is suspected. Tasks fail by themselves
in 2 to 5 of 100 runs, so two in a row are rarely by chance."""

FIRST_SUSPICION = timedelta(seconds=4)
MAX_SUSPICION = timedelta(seconds=30)
"""Suspicion doubles each time; a healthy worker is back soon."""

STALLED_AFTER = timedelta(milliseconds=1500)
"""Time without progress after which a run stands still: a task that takes 15 s gains a percent in
0.15 s."""

SLOW_BELOW = 0.45
"""Speed relative to tasks of the same step elsewhere below which a worker counts as slow. Tasks of
a step differ by about a third."""

SLOW_SAMPLES = 3
FORGET_AFTER = timedelta(seconds=8)
"""Age of the last comparison after which a worker counts as healthy again."""

EXCLUDED = 1.0
"""Penalty from which on a worker gets no runs."""


@attrs.define
class _Trust:
    failures: int = 0
    suspected_until: timedelta = timedelta()
    suspicion: timedelta = FIRST_SUSPICION
    speed: float = 1.0
    samples: int = 0
    compared_at: timedelta = timedelta()
    stalled_at: timedelta | None = None


@attrs.define
class _Track:
    step: str
    percent: int
    moved_at: timedelta
    seen_at: timedelta
    speed: float | None = None


@attrs.frozen
class Progress:
    """Progress of a run that uses processors of its own.

    :param step: name of its step; tasks of a step are alike.
    """

    task: str
    run: int
    step: str
    percent: int


class Soundness:
    """Trust in the workers of a pool. Not thread-safe."""

    def __init__(self) -> None:
        self._trust: dict[str, _Trust] = defaultdict(_Trust)
        self._tracks: dict[str, dict[tuple[str, int], _Track]] = {}

    def ended(self, worker_id: str, is_done: bool, now: timedelta) -> bool:
        """Take in the end of a run, done or failed.

        :returns: whether the worker is newly suspected.
        """
        trust = self._trust[worker_id]
        if is_done:
            trust.failures = 0
            trust.suspicion = FIRST_SUSPICION
            return False
        trust.failures += 1
        if trust.failures < FAILURES_IN_ROW or now < trust.suspected_until:
            return False
        trust.suspected_until = now + trust.suspicion
        trust.suspicion = min(MAX_SUSPICION, 2 * trust.suspicion)
        return True

    def observe(self, worker_id: str, rows: Iterable[Progress], now: timedelta) -> None:
        """Take in the progress of a worker's runs; the list is complete."""
        before = self._tracks.get(worker_id, {})
        tracks = {}
        for row in rows:
            key = (row.task, row.run)
            track = before.get(key)
            if track is None:
                track = _Track(row.step, row.percent, now, now)
            else:
                self._follow(track, row.percent, now)
            tracks[key] = track
        self._tracks[worker_id] = tracks
        self._compare(worker_id, now)

    def stalled(self, worker_id: str, now: timedelta) -> list[tuple[str, int]]:
        """Return the runs of a worker that stand still, by task and run."""
        tracks = self._tracks.get(worker_id, {})
        return [key for key, track in tracks.items() if now - track.moved_at >= STALLED_AFTER]

    def is_slow(self, worker_id: str, now: timedelta) -> bool:
        """Return whether a worker is much slower than the others."""
        trust = self._trust.get(worker_id)
        if trust is None or trust.samples < SLOW_SAMPLES:
            return False
        return now - trust.compared_at < FORGET_AFTER and trust.speed < SLOW_BELOW

    def penalty(self, worker_id: str, now: timedelta) -> float:
        """Return how much to avoid a worker: 0 healthy, `EXCLUDED` or more not to be used."""
        trust = self._trust.get(worker_id)
        if trust is None:
            return 0.0
        if now < trust.suspected_until:
            return EXCLUDED
        if trust.stalled_at is not None and now - trust.stalled_at < FIRST_SUSPICION:
            return EXCLUDED
        if self.is_slow(worker_id, now):
            return EXCLUDED / 2
        # A worker on probation comes after those whose last run was done.
        return 0.1 if trust.failures else 0.0

    def _follow(self, track: _Track, percent: int, now: timedelta) -> None:
        seconds = (now - track.seen_at).total_seconds()
        if seconds > 0:
            speed = max(0, percent - track.percent) / seconds
            track.speed = speed if track.speed is None else (track.speed + speed) / 2
        if percent != track.percent:
            track.moved_at = now
        track.percent = percent
        track.seen_at = now

    def _compare(self, worker_id: str, now: timedelta) -> None:
        own = self._speeds([worker_id])
        others = self._speeds(name for name in self._tracks if name != worker_id) if own else {}
        trust = self._trust[worker_id]
        for step, speeds in own.items():
            if len(others.get(step, ())) < 2:
                continue
            usual = statistics.median(others[step])
            if usual <= 0:
                continue
            ratio = min(2.0, statistics.median(speeds) / usual)
            trust.speed = 0.7 * trust.speed + 0.3 * ratio
            trust.samples += 1
            trust.compared_at = now
        if self.stalled(worker_id, now):
            trust.stalled_at = now

    def _speeds(self, worker_ids: Iterable[str]) -> dict[str, list[float]]:
        """Return the known speeds of the runs of some workers, by step."""
        speeds: dict[str, list[float]] = defaultdict(list)
        for worker_id in worker_ids:
            for track in self._tracks[worker_id].values():
                if track.speed is not None:
                    speeds[track.step].append(track.speed)
        return speeds

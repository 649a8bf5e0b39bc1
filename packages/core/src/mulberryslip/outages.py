"""Tells the crash of a single worker from an outage of many. This module performs no I/O.

It is designed for these load patterns:

- A task crashes the worker that starts it. One worker ends, and some time later another.
- A data centre or a rack loses power, or an operator restarts the fleet. Many workers end at the
  same moment, whatever they run.
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from .crashes import recent_runs
from .workflows import StepTask

SETTLING_TIME = timedelta(milliseconds=300)
"""Time for which the end of a worker is left open, so that reports on others can arrive. Agents
notice the end of their worker when they next renew its lease."""

OUTAGE_WINDOW = timedelta(milliseconds=500)
"""Time within which the workers of an outage are reported to have ended."""

OUTAGE_TAIL = timedelta(milliseconds=700)
"""Time after an outage in which further ends of workers belong to it. Agents report at least this
often."""

OUTAGE_SHARE = 1 / 3
"""Share of the workers that must have ended together in an outage. Deadly tasks that start at the
same time usually crash fewer."""

MIN_OUTAGE_WORKERS = 3
"""Number of workers that must have ended together in an outage, besides their share."""


@attrs.define(eq=False)
class WorkerCrash:
    """The end of a worker's process that its agent had not announced.

    :param machine: VM of the worker.
    :param at: when the owner received the report of it, on the owner's clock.
    :param is_trial: whether suspected tasks ran there, so that one of them may be the cause.
    :param reason: how the owner learned of it.
    :param lost_runs: runs of the worker that the owner has not ended yet.
    :param is_settled: whether it has been decided if the crash is part of an outage.
    :param is_outage: whether it is part of an outage, so that it tells nothing about its runs.
    :param together: number of crashes that counted towards an outage with it.
    :param fleet: number of workers to which they were compared.
    """

    machine: str
    at: timedelta
    is_trial: bool
    reason: str
    lost_runs: dict[tuple[str, int], StepTask] = attrs.field(factory=dict)
    is_settled: bool = False
    is_outage: bool = False
    together: int = 0
    fleet: int = 0

    def recent_workflows(self) -> set[str]:
        """Return the workflows whose tasks the worker had started shortly before."""
        start_by_ms = {task.name: task.start_by_ms for task in self.lost_runs.values()}
        recent = recent_runs(start_by_ms) if start_by_ms else ()
        return {
            task.workflow.workflow_id for task in self.lost_runs.values() if task.name in recent
        }


class WorkerCrashes:
    """The latest crashes of workers, as one owner knows them. Not thread-safe."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], WorkerCrash] = {}
        self._outage: tuple[timedelta, timedelta] | None = None

    def record(
        self,
        worker_id: str,
        incarnation: str,
        machine: str,
        is_trial: bool,
        reason: str,
        at: timedelta,
    ) -> WorkerCrash:
        """Record that a worker has ended; return its crash, the first one if it is known.

        :param is_trial: whether suspected tasks ran there.
        """
        key = (worker_id, incarnation)
        if key not in self._crashes:
            self._crashes[key] = WorkerCrash(machine, at, is_trial, reason)
        return self._crashes[key]

    def settle(
        self,
        now: timedelta,
        listed_at: Sequence[timedelta],
        running_workflows: Callable[[], Collection[str]],
    ) -> list[WorkerCrash]:
        """Decide which crashes are part of an outage; return those with runs to end.

        A crash is left open for `SETTLING_TIME`, or until so many other workers have reported since
        that it cannot be part of an outage.

        :param listed_at: for each worker that reports and does not leave, when it last listed its
            runs.
        :param running_workflows: returns the workflows with runs that these workers have listed.
        """
        if all(crash.is_settled and not crash.lost_runs for crash in self._crashes.values()):
            return []
        for crash in self._crashes.values():
            if crash.is_settled:
                continue
            together = [
                other
                for other in self._crashes.values()
                if not other.is_trial and abs(other.at - crash.at) <= OUTAGE_WINDOW
            ]
            fleet = len(listed_at) + len(together)
            min_workers = max(MIN_OUTAGE_WORKERS, OUTAGE_SHARE * fleet)
            if (
                len(together) >= min_workers
                and _independent_crashes(together, running_workflows()) >= min_workers
            ):
                times = [other.at for other in together]
                self._outage = (min(times), max(times) + OUTAGE_TAIL)
            is_outage = self._outage is not None and self._outage[0] <= crash.at <= self._outage[1]
            sound = sum(at >= crash.at for at in listed_at)
            if is_outage or now - crash.at >= SETTLING_TIME or fleet - sound < min_workers:
                crash.is_settled, crash.is_outage = True, is_outage
                crash.together, crash.fleet = len(together), fleet
        return [crash for crash in self._crashes.values() if crash.is_settled and crash.lost_runs]

    def forget(self, incarnations: Mapping[str, str], now: timedelta) -> None:
        """Forget old crashes of workers that are gone or have restarted since.

        :param incarnations: current incarnation of each known worker.
        """
        self._crashes = {
            (worker_id, incarnation): crash
            for (worker_id, incarnation), crash in self._crashes.items()
            if crash.lost_runs
            or now - crash.at <= OUTAGE_WINDOW
            or incarnations.get(worker_id) == incarnation
        }


def _independent_crashes(crashes: Sequence[WorkerCrash], running: Collection[str]) -> int:
    """Return the number of crashes, of which those that one workflow explains count as one.

    A workflow whose tasks all crash their workers has just started a run on each of these, and none
    of its runs continues elsewhere.

    :param running: workflows with runs that continue.
    """
    explained: Counter[str] = Counter()
    for crash in crashes:
        explained.update(crash.recent_workflows() - set(running))
    return len(crashes) - max(explained.values(), default=1) + 1

"""Tells the crash of a single worker from an outage of many. This module performs no I/O.

It is designed for these load patterns:

- A task crashes the worker that starts it. One worker ends, and some time later another.
- A data centre or a rack loses power, or an operator restarts the fleet. Many workers end at the
  same moment, whatever they run. It recurs while suspected tasks are tried on most workers.

Each crash and each surviving worker is evidence for one cause or the other. Its weight is the
logarithm of how much likelier it is in an outage than if tasks crash their workers.
"""

from collections import defaultdict
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

CRASH_WEIGHT = 2.0
TRIAL_WEIGHT = 0.2
"""Weights of crashes within `OUTAGE_WINDOW`. A suspected task is a likely cause of its worker's
crash, so such a crash says little by itself."""

SURVIVOR_WEIGHT = -1.0
"""Weight of a worker that has not ended."""

MIN_CRASH_WEIGHT = 2.0
"""Weight that the crashes of an outage must have without the survivors. A small fleet can end under
trials alone."""

MIN_OUTAGE_WORKERS = 3
"""Number of workers that must have ended together in an outage, whatever the weights."""


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
        listed_at: Mapping[str, timedelta],
        unheard: Collection[str],
        running_workflows: Callable[[], Collection[str]],
    ) -> list[WorkerCrash]:
        """Decide which crashes are part of an outage; return those with runs to end.

        A crash is left open for `SETTLING_TIME`, or until so many other workers have reported since
        that it cannot be part of an outage.

        :param listed_at: VMs of the workers that report and do not leave, with the time at which
            the worker last listed its runs.
        :param unheard: VMs of workers with runs that have not reported to this owner yet.
        :param running_workflows: returns the workflows with runs that these workers have listed.
        """
        if all(crash.is_settled and not crash.lost_runs for crash in self._crashes.values()):
            return []
        for crash in self._crashes.values():
            if crash.is_settled:
                continue
            ended = {
                other.machine: other
                for other in self._crashes.values()
                if abs(other.at - crash.at) <= OUTAGE_WINDOW
            }
            survivors = listed_at.keys() - ended.keys()
            if _is_outage(list(ended.values()), len(survivors), running_workflows):
                times = [other.at for other in ended.values()]
                self._outage = (min(times), max(times) + OUTAGE_TAIL)
            is_outage = self._outage is not None and self._outage[0] <= crash.at <= self._outage[1]
            sound = sum(listed_at[machine] >= crash.at for machine in survivors)
            fleet = {*listed_at, *ended, *unheard}
            may_become_outage = _may_be_outage(len(fleet) - sound, sound)
            if is_outage or now - crash.at >= SETTLING_TIME or not may_become_outage:
                crash.is_settled, crash.is_outage = True, is_outage
                crash.together, crash.fleet = len(ended), len(fleet)
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


def _is_outage(
    crashes: Sequence[WorkerCrash],
    survivors: int,
    running_workflows: Callable[[], Collection[str]],
) -> bool:
    """Return whether an outage is the likelier cause of crashes at the same moment.

    :param survivors: number of workers that have not ended.
    :param running_workflows: returns the workflows with runs that continue.
    """
    if not _may_be_outage(len(crashes), survivors):
        return False
    independent = _independent_crashes(crashes, running_workflows())
    weight = sum(TRIAL_WEIGHT if crash.is_trial else CRASH_WEIGHT for crash in independent)
    return (
        len(independent) >= MIN_OUTAGE_WORKERS
        and weight >= MIN_CRASH_WEIGHT
        and weight + SURVIVOR_WEIGHT * survivors >= 0
    )


def _may_be_outage(crashes: int, survivors: int) -> bool:
    """Return whether so many crashes are an outage if none of them is under trials."""
    weight = CRASH_WEIGHT * crashes + SURVIVOR_WEIGHT * survivors
    return crashes >= MIN_OUTAGE_WORKERS and weight >= 0


def _independent_crashes(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> list[WorkerCrash]:
    """Return the crashes without those that one workflow explains, except for one of these.

    A workflow whose tasks all crash their workers has just started a run on each of these, and none
    of its runs continues elsewhere.

    :param running: workflows with runs that continue.
    """
    explained: dict[str, list[WorkerCrash]] = defaultdict(list)
    for crash in crashes:
        for workflow in crash.recent_workflows() - set(running):
            explained[workflow].append(crash)
    largest = max(explained.values(), key=len, default=[])
    # A crash that is not under trials says more.
    redundant = sorted(largest, key=lambda crash: crash.is_trial)[1:]
    return [crash for crash in crashes if all(crash is not other for other in redundant)]

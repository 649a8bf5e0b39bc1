"""Tells the crash of a single worker from an outage of many. This module performs no I/O.

It is designed for these load patterns:

- A task crashes the worker that starts it. One worker ends, and some time later another.
- A data centre or a rack loses power, or an operator restarts the fleet. Many workers end at the
  same moment, whatever they run. It recurs while suspected tasks are tried on most workers.

Each crash and each surviving worker is evidence for one cause or the other. Its weight is the
logarithm of how much likelier it is in an outage than if tasks crash their workers.
"""

import functools
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta

import attrs

from .crashes import recent_runs
from .workflows import Phase, StepTask

SETTLING_TIME = timedelta(milliseconds=300)
"""Time for which the end of a worker is left open, so that reports on others can arrive. Agents
notice the end of their worker when they next renew its lease."""

OUTAGE_WINDOW = timedelta(milliseconds=500)
"""Time within which the workers of an outage are reported to have ended."""

OUTAGE_TAIL = timedelta(milliseconds=700)
"""Time after an outage in which further ends of workers belong to it. Agents report at least this
often."""

MAX_REPORT_DELAY = timedelta(milliseconds=100)
"""Time by which the report that a worker is alive can arrive later than that of another one's end
which it preceded."""

MAX_SURVIVOR_SHARE = 0.1
"""Share of the workers that may survive an outage of the whole fleet: some are not reached at the
moment, or start just then."""

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
    :param domains: failure domains of the worker: its data centre and its labels.
    :param alive_at: when the owner last heard of the worker's runs; None if it never has.
    :param lost_runs: runs of the worker that the owner has not ended yet.
    :param is_settled: whether it has been decided if the crash is part of an outage.
    :param is_outage: whether it is part of an outage, so that it tells nothing about its runs.
    :param is_fleet_outage: whether the whole fleet has ended, so that tasks would have had to crash
        each of the workers.
    :param suspected_workflow: workflow that may have crashed the whole fleet; empty if none can
        have.
    :param workflows: its `recent_workflows` once it is settled, since its runs are ended then.
    :param together: number of crashes that counted towards an outage with it.
    :param fleet: number of workers to which they were compared.
    """

    machine: str
    at: timedelta
    is_trial: bool
    reason: str
    domains: frozenset[str] = frozenset()
    alive_at: timedelta | None = None
    lost_runs: dict[tuple[str, int], StepTask] = attrs.field(factory=dict)
    is_settled: bool = False
    is_outage: bool = False
    is_fleet_outage: bool = False
    suspected_workflow: str = ""
    workflows: set[str] | None = None
    together: int = 0
    fleet: int = 0

    def may_have_ended_by(self, at: timedelta) -> bool:
        """Return whether the worker may have ended at a time or before."""
        return self.alive_at is None or self.alive_at <= at + MAX_REPORT_DELAY

    def recent_workflows(self) -> set[str]:
        """Return the workflows whose tasks the worker had started shortly before.

        Those with a task of the same step that is done are left out.
        """
        if self.workflows is not None:
            return self.workflows
        start_by_ms = {task.name: task.start_by_ms for task in self.lost_runs.values()}
        recent = recent_runs(start_by_ms) if start_by_ms else ()
        return {
            task.workflow.workflow_id
            for task in self.lost_runs.values()
            if task.name in recent and not _is_step_proven(task)
        }


@attrs.frozen
class Survivor:
    """A worker that reports and does not leave.

    :param listed_at: when it last listed its runs, on the owner's clock.
    :param trials: workflows of the suspected tasks that run there.
    :param domains: see `WorkerCrash`.
    """

    listed_at: timedelta
    trials: frozenset[str] = frozenset()
    domains: frozenset[str] = frozenset()

    def as_crash(self, machine: str) -> WorkerCrash:
        """Return the crash that would follow if the worker has ended since."""
        return WorkerCrash(
            machine,
            self.listed_at,
            bool(self.trials),
            "",
            self.domains,
            workflows=set(self.trials),
        )


@attrs.frozen
class _Outage:
    """An outage.

    :param begin: when the first worker ended.
    :param end: when the last worker can have ended that belongs to it.
    :param is_fleet: whether the whole fleet has ended.
    :param domain: failure domain to which it is confined; empty if it is not.
    :param workflow: workflow that would explain all but a few of the crashes; empty if none would.
    """

    begin: timedelta
    end: timedelta
    is_fleet: bool
    domain: str = ""
    workflow: str = ""

    def includes(self, crash: WorkerCrash) -> bool:
        """Return whether a crash belongs to the outage."""
        is_inside = not self.domain or self.domain in crash.domains
        is_in_time = self.begin <= crash.at <= self.end and crash.may_have_ended_by(self.begin)
        return is_inside and is_in_time


class WorkerCrashes:
    """The latest crashes of workers, as one owner knows them. Not thread-safe."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], WorkerCrash] = {}
        self._outage: _Outage | None = None

    def record(
        self,
        worker_id: str,
        incarnation: str,
        machine: str,
        is_trial: bool,
        reason: str,
        at: timedelta,
        domains: frozenset[str] = frozenset(),
        alive_at: timedelta | None = None,
    ) -> WorkerCrash:
        """Record that a worker has ended; return its crash, the first one if it is known.

        :param is_trial: whether suspected tasks ran there.
        :param domains: failure domains of the worker.
        :param alive_at: when the owner last heard of the worker's runs.
        """
        key = (worker_id, incarnation)
        if key not in self._crashes:
            self._crashes[key] = WorkerCrash(machine, at, is_trial, reason, domains, alive_at)
        return self._crashes[key]

    def settle(
        self,
        now: timedelta,
        reporting: Mapping[str, Survivor],
        unheard: Collection[str],
        running_workflows: Callable[[], Collection[str]],
    ) -> list[WorkerCrash]:
        """Decide which crashes are part of an outage; return those with runs to end.

        A crash is left open for `SETTLING_TIME`, or until so many other workers have reported since
        that it cannot be part of an outage.

        :param reporting: workers that report and do not leave, by VM.
        :param unheard: VMs of workers with runs that have not reported to this owner yet.
        :param running_workflows: returns the workflows with runs that these workers have listed and
            whose tasks are not suspected.
        """
        if all(crash.is_settled and not crash.lost_runs for crash in self._crashes.values()):
            return []
        running = functools.cache(running_workflows)
        for crash in self._crashes.values():
            if crash.is_settled:
                continue
            ended = {
                other.machine: other
                for other in self._crashes.values()
                if abs(other.at - crash.at) <= OUTAGE_WINDOW
                and other.may_have_ended_by(crash.at)
                and crash.may_have_ended_by(other.at)
            }
            survivors = {
                machine: worker for machine, worker in reporting.items() if machine not in ended
            }
            fleet = {*reporting, *ended, *unheard}
            crashes = list(ended.values())
            domain = _outage_domain(crashes, [], list(survivors.values()), running)
            is_fleet = len(fleet) - len(ended) <= MAX_SURVIVOR_SHARE * len(fleet)
            workflow = ""
            if domain is None and _has_fleet_ended(crashes, len(fleet)):
                domain, (workflow, _) = "", _explained_crashes(crashes, running())
            if domain is not None:
                times = [other.at for other in crashes]
                self._outage = _Outage(
                    min(times), max(times) + OUTAGE_TAIL, is_fleet, domain, workflow
                )
            outage = self._outage if self._outage and self._outage.includes(crash) else None
            sound = [worker for worker in survivors.values() if worker.listed_at >= crash.at]
            if outage is not None:
                may_change = not outage.is_fleet and len(sound) <= MAX_SURVIVOR_SHARE * len(fleet)
                settling_time = OUTAGE_TAIL
            else:
                unknown = [
                    *(
                        worker.as_crash(machine)
                        for machine, worker in survivors.items()
                        if worker.listed_at < crash.at
                    ),
                    *(Survivor(crash.at).as_crash(machine) for machine in unheard),
                ]
                may_change = _outage_domain(
                    crashes, unknown, sound, running
                ) is not None or _has_fleet_ended([*crashes, *unknown], len(fleet))
                settling_time = SETTLING_TIME
            if not may_change or now - crash.at >= settling_time:
                crash.workflows = crash.recent_workflows()
                crash.is_settled, crash.is_outage = True, outage is not None
                if outage is not None:
                    crash.is_fleet_outage = outage.is_fleet
                    crash.suspected_workflow = outage.workflow
                crash.together, crash.fleet = len(ended), len(fleet)
        return [crash for crash in self._crashes.values() if crash.is_settled and crash.lost_runs]

    def undecided_trials(self) -> set[str]:
        """Return the workflows with suspected tasks in crashes that are not settled yet."""
        return {
            task.workflow.workflow_id
            for crash in self._crashes.values()
            if not crash.is_settled
            for task in crash.lost_runs.values()
            if task.is_suspected
        }

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


def _outage_domain(
    ended: Sequence[WorkerCrash],
    unknown: Sequence[WorkerCrash],
    survivors: Sequence[Survivor],
    running_workflows: Callable[[], Collection[str]],
) -> str | None:
    """Return the failure domain of a likely outage; empty if it has none, None without an outage.

    Survivors outside a domain are no evidence against an outage of which all workers are inside,
    and in which no worker of the domain survives.

    :param ended: crashes at the same moment.
    :param unknown: further ones that may have taken place.
    :param running_workflows: see `WorkerCrashes.settle`.
    """
    if _is_outage([*ended, *unknown], len(survivors), running_workflows):
        return ""
    surviving = {domain for worker in survivors for domain in worker.domains}
    shared = frozenset.intersection(*(crash.domains for crash in ended))
    for domain in sorted(shared - surviving):
        inside = [crash for crash in unknown if domain in crash.domains]
        if _is_outage([*ended, *inside], 0, running_workflows):
            return domain
    return None


def _is_outage(
    crashes: Sequence[WorkerCrash],
    survivors: int,
    running_workflows: Callable[[], Collection[str]],
) -> bool:
    """Return whether an outage is the likelier cause of crashes at the same moment.

    :param survivors: number of workers that have not ended.
    :param running_workflows: see `WorkerCrashes.settle`.
    """
    if len(crashes) < MIN_OUTAGE_WORKERS:
        return False
    independent = _independent_crashes(crashes, running_workflows())
    weight = sum(TRIAL_WEIGHT if crash.is_trial else CRASH_WEIGHT for crash in independent)
    # Survivors show that deadly tasks on trial are enough of a cause.
    counted = [crash for crash in independent if not survivors or not crash.is_trial]
    return (
        len(counted) >= MIN_OUTAGE_WORKERS
        and weight >= MIN_CRASH_WEIGHT
        and weight + SURVIVOR_WEIGHT * survivors >= 0
    )


def _is_step_proven(task: StepTask) -> bool:
    """Return whether another task of the same step is done, so that they are likely harmless."""
    return any(other.phase is Phase.DONE for other in task.workflow.steps[task.step])


def _has_fleet_ended(crashes: Sequence[WorkerCrash], fleet: int) -> bool:
    """Return whether the whole fleet has ended, and not under trials alone.

    Each worker had to run a task that crashes it, so an outage is likelier even if the tasks of one
    workflow had just started everywhere.

    :param fleet: number of workers.
    """
    others = sum(not crash.is_trial for crash in crashes)
    return others >= MIN_OUTAGE_WORKERS and fleet - len(crashes) <= MAX_SURVIVOR_SHARE * fleet


def _independent_crashes(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> list[WorkerCrash]:
    """Return the crashes without those that one workflow explains, except for one of these.

    :param running: workflows with runs that continue.
    """
    _, explained = _explained_crashes(crashes, running)
    # A crash that is not under trials says more.
    redundant = sorted(explained, key=lambda crash: crash.is_trial)[1:]
    return [crash for crash in crashes if all(crash is not other for other in redundant)]


def _explained_crashes(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> tuple[str, list[WorkerCrash]]:
    """Return the workflow that explains most crashes, with these; empty if none does.

    A workflow whose tasks all crash their workers has just started a run on each of these, none of
    its runs continues elsewhere, and no task of the step is done.

    :param running: workflows with runs that continue.
    """
    explained: dict[str, list[WorkerCrash]] = defaultdict(list)
    for crash in crashes:
        for workflow in crash.recent_workflows() - set(running):
            explained[workflow].append(crash)
    return max(explained.items(), key=lambda item: len(item[1]), default=("", []))

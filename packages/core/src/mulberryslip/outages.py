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
        each of the workers, and not under trials alone.
    :param suspected_workflows: workflows that may have crashed the whole fleet.
    :param workflows: its `recent_workflows` when it was judged last.
    :param together: number of VMs with a crash that counted towards an outage with it.
    :param fleet: number of VMs to which they were compared.
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
    suspected_workflows: frozenset[str] = frozenset()
    workflows: set[str] = attrs.field(factory=set)
    together: int = 0
    fleet: int = 0

    def may_have_ended_by(self, at: timedelta) -> bool:
        """Return whether the worker may have ended at a time or before."""
        return self.alive_at is None or self.alive_at <= at + MAX_REPORT_DELAY

    def recent_workflows(self) -> set[str]:
        """Return the workflows whose tasks the worker had started shortly before.

        Those with a task of the same step that is done are left out.
        """
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
    :param workflows: see `WorkerCrash.suspected_workflows`.
    """

    begin: timedelta
    end: timedelta
    is_fleet: bool
    domain: str = ""
    workflows: frozenset[str] = frozenset()

    def includes(self, crash: WorkerCrash) -> bool:
        """Return whether a crash belongs to the outage."""
        is_inside = not self.domain or self.domain in crash.domains
        is_in_time = self.begin <= crash.at <= self.end and crash.may_have_ended_by(self.begin)
        return is_inside and is_in_time


@attrs.frozen
class _Group:
    """Crashes that may have taken place at the same moment.

    :param survivors: workers that have not ended with them, by VM.
    :param fleet: number of all workers.
    :param outage: the outage that is their likely cause; None without one.
    """

    crashes: list[WorkerCrash]
    survivors: dict[str, Survivor]
    fleet: int
    outage: _Outage | None

    @classmethod
    def of(
        cls,
        crashes: list[WorkerCrash],
        reporting: Mapping[str, Survivor],
        unheard: Collection[str],
        running: Callable[[], Collection[str]],
    ) -> "_Group":
        """Judge crashes; see `WorkerCrashes.settle` for the other parameters."""
        ended = {crash.machine for crash in crashes}
        survivors = {
            machine: worker for machine, worker in reporting.items() if machine not in ended
        }
        fleet = len({*reporting, *ended, *unheard})
        domain = _outage_domain(crashes, [], list(survivors.values()), running)
        is_fleet = _has_fleet_ended(crashes, fleet)
        workflows: frozenset[str] = frozenset()
        if domain is None and is_fleet:
            domain, workflows = "", _widespread_workflows(crashes, running())
        outage = None
        if domain is not None:
            times = [crash.at for crash in crashes]
            outage = _Outage(min(times), max(times) + OUTAGE_TAIL, is_fleet, domain, workflows)
        return cls(crashes, survivors, fleet, outage)

    def may_be_outage(
        self,
        at: timedelta,
        possible: Mapping[str, WorkerCrash],
        unheard: Collection[str],
        running: Callable[[], Collection[str]],
    ) -> bool:
        """Return whether it is an outage if all workers have ended that have not listed since.

        :param at: time since which a listing shows that a worker has survived.
        :param possible: the crashes of the reporting workers that would follow, by VM.
        """
        unknown = [
            possible[machine] for machine, worker in self.survivors.items() if worker.listed_at < at
        ]
        unknown += [Survivor(at).as_crash(machine) for machine in unheard]
        sound = [worker for worker in self.survivors.values() if worker.listed_at >= at]
        return _outage_domain(
            self.crashes, unknown, sound, running
        ) is not None or _has_fleet_ended([*self.crashes, *unknown], self.fleet)


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

        A crash is left open for `SETTLING_TIME`, or until the workers that have not reported since
        cannot make it part of an outage. One of an outage is left open for `OUTAGE_TAIL`, or until
        it is known whether the whole fleet has ended.

        :param reporting: workers that report and do not leave, by VM.
        :param unheard: VMs of workers with runs that have not reported to this owner yet.
        :param running_workflows: returns the workflows with runs that these workers have listed and
            whose tasks are not suspected.
        """
        if all(crash.is_settled and not crash.lost_runs for crash in self._crashes.values()):
            return []
        running = functools.cache(lambda: frozenset(running_workflows()))
        possible = {machine: worker.as_crash(machine) for machine, worker in reporting.items()}
        unsettled = [crash for crash in self._crashes.values() if not crash.is_settled]
        for crash in unsettled:
            crash.workflows = crash.recent_workflows()
        # Most crashes of an outage have the same group.
        groups: dict[frozenset[str], _Group] = {}
        may_be_outage: dict[tuple[frozenset[str], int], bool] = {}
        for crash in unsettled:
            ended = self._ended_with(crash)
            key = frozenset(ended)
            if key not in groups:
                groups[key] = _Group.of(list(ended.values()), reporting, unheard, running)
            group = groups[key]
            if group.outage is not None:
                self._outage = group.outage
            outage = self._outage if self._outage and self._outage.includes(crash) else None
            sound = sum(worker.listed_at >= crash.at for worker in group.survivors.values())
            if outage is not None:
                may_change = (
                    not outage.is_fleet
                    and len(ended) < group.fleet
                    and sound <= MAX_SURVIVOR_SHARE * group.fleet
                )
                settling_time = OUTAGE_TAIL
            else:
                if (key, sound) not in may_be_outage:
                    may_be_outage[key, sound] = group.may_be_outage(
                        crash.at, possible, unheard, running
                    )
                may_change = may_be_outage[key, sound]
                settling_time = SETTLING_TIME
            if not may_change or now - crash.at >= settling_time:
                crash.is_settled, crash.is_outage = True, outage is not None
                if outage is not None:
                    crash.is_fleet_outage = outage.is_fleet
                    crash.suspected_workflows = outage.workflows
                crash.together, crash.fleet = len(ended), group.fleet
        return [crash for crash in self._crashes.values() if crash.is_settled and crash.lost_runs]

    def _ended_with(self, crash: WorkerCrash) -> dict[str, WorkerCrash]:
        """Return the crashes that may have taken place at the same moment, by VM."""
        return {
            other.machine: other
            for other in self._crashes.values()
            if abs(other.at - crash.at) <= OUTAGE_WINDOW
            and other.may_have_ended_by(crash.at)
            and crash.may_have_ended_by(other.at)
        }

    def crashed_trials(self, since: timedelta) -> int:
        """Return how many workers have crashed under trials since a time, outages apart."""
        return sum(
            crash.is_trial and not crash.is_outage and crash.at >= since
            for crash in self._crashes.values()
        )

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
    # A workflow that has ended meanwhile has no steps any more.
    steps = task.workflow.steps
    return task.step < len(steps) and any(other.phase is Phase.DONE for other in steps[task.step])


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
    explained = _explained_crashes(crashes, running)
    # A crash that is not under trials says more.
    redundant = {id(crash) for crash in sorted(explained, key=lambda crash: crash.is_trial)[1:]}
    return [crash for crash in crashes if id(crash) not in redundant]


def _explained_crashes(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> list[WorkerCrash]:
    """Return the crashes that one workflow explains, the one that explains most.

    A workflow whose tasks all crash their workers has just started a run on each of these, none of
    its runs continues elsewhere, and no task of the step is done.

    :param running: workflows with runs that continue.
    """
    explained = _crashes_by_workflow(crashes, running)
    return max(explained.values(), key=len, default=[])


def _widespread_workflows(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> frozenset[str]:
    """Return the workflows that would each explain several of the crashes."""
    explained = _crashes_by_workflow(crashes, running)
    return frozenset(workflow for workflow, group in explained.items() if len(group) > 1)


def _crashes_by_workflow(
    crashes: Sequence[WorkerCrash], running: Collection[str]
) -> dict[str, list[WorkerCrash]]:
    explained: dict[str, list[WorkerCrash]] = defaultdict(list)
    for crash in crashes:
        for workflow in crash.workflows.difference(running):
            explained[workflow].append(crash)
    return explained

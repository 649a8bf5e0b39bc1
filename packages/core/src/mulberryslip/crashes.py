"""Tasks that crash the workers that start them. This module performs no I/O.

It is designed for these load patterns:

- One task crashes each worker that starts it, and each crash also ends the other runs there. Which
  of them is to blame can only be seen when a suspected task starts apart from others.
- A data centre loses power, so many workers crash at once under tasks that are harmless.
- Tasks crash worker after worker while long-running ones that have run well restart beside them.
"""

import enum
import math
from collections.abc import Mapping

import attrs

SUSPICION_WINDOW_MS = 600
"""Time before the last start on a crashed worker within which other starts are suspected, too. The
owner assigns runs to a worker until its agent has reported the crash."""

CRASHES_BEFORE_GUILT = 3
"""Crashes, on as many VMs, after which a task may be given up. A power cut that recurs can hit an
innocent task on two workers, and a defective VM can crash again and again."""

MAX_UNCLEARED_RUNS = 5
"""Runs of a task since its first crash after which it is given up, if `CRASHES_BEFORE_GUILT` of
them have crashed a worker. The others ended with a worker that went silent, perhaps in a crash."""

MAX_LAPSED_RUNS = 2
"""Runs that lapsed before the first crash that is known under a task, and that count as crashes of
which no owner has learned."""

MAX_EXCUSED_STARTS = 1
"""Crashes under a task that had just started, or is suspected, which are taken for outages. Some in
outages of the whole fleet count for a part. With many, a deadly task could start too often."""

FIRST_PROBATION_MS = 1000
MAX_PROBATION_MS = 8000
"""First and longest time for which a suspected task runs apart from new starts. The time doubles
with each crash."""

CLEARED_AFTER_MS = 30_000
"""Run time after which the earlier crashes of a task do not count any more."""

PROVEN_AFTER_MS = 5000
"""Run time after which a long-running task has proven itself: it does not crash the workers that
start it. It may still crash one later in a run, which counts unless a younger run is likelier."""

MAX_LOSSES_IN_SERIES = 3
MAX_LOSSES = 8
"""Runs that a proven task may lose to its workers until its crashes count like those of any task:
without a run of `PROVEN_AFTER_MS` between them, and without one of `CLEARED_AFTER_MS`. They bound
the starts of a task that has become deadly, at once or late in its runs."""

MAX_CRASHED_MACHINES = 8

MAX_TRIAL_SHARE = 0.25
"""Maximum share of the workers on which suspected tasks run while few wait, so that other work
continues. Long-running tasks may use twice as many. Once they have waited long, they may use all
that are left, and other tasks up to `MAX_BACKLOG_TRIAL_SHARE`."""

MAX_BACKLOG_TRIAL_SHARE = 0.75
"""Maximum share of the workers on which suspected tasks run while many wait or some have waited
long."""

MIN_CRASHED_TRIALS = 2
CRASHED_TRIALS_WINDOW_MS = 5000
"""Crashes under trials within a time, from which on a backlog gets no more workers than
`MAX_TRIAL_SHARE`. Trials that go on crashing would end the services on most workers."""

MAX_TRIALS_IN_SERIES = 3
"""Number of trials that a worker may have before it, above which more workers run trials. Each
takes `FIRST_PROBATION_MS` and the time until its survival is committed."""

MAX_TRIALS_PER_WORKFLOW = 2
"""Maximum number of workers on which suspected tasks of one workflow run while no other task of
their step runs without suspicion or is done. All its tasks end once one of them is given up."""


class Excuse(enum.Enum):
    """Whether a crash under a task is excused.

    `PENDING`: one is, and is not counted yet. `COUNTED`: no further one may be.
    """

    NONE = "none"
    PENDING = "pending"
    COUNTED = "counted"


@attrs.frozen
class Proof:
    """What a long-running task that has run for long may lose without evidence against it.

    :param in_series: number of runs until it has proven itself again.
    :param in_all: number of runs until one has lasted for `CLEARED_AFTER_MS`.
    """

    in_series: int
    in_all: int

    def __bool__(self) -> bool:
        """Return whether the loss of one more run is excused."""
        return self.in_series > 0

    def after_loss(self) -> "Proof":
        """Return the proof after the loss of a run."""
        return Proof(self.in_series - 1, self.in_all - 1)

    def revoked(self) -> "Proof":
        """Return the proof after the task has become suspected."""
        return Proof(0, self.in_all)

    def renewed(self) -> "Proof":
        """Return the proof after a run of `PROVEN_AFTER_MS`."""
        return Proof(min(MAX_LOSSES_IN_SERIES, self.in_all), self.in_all)


FULL_PROOF = Proof(MAX_LOSSES_IN_SERIES, MAX_LOSSES)
"""Proof after the first run of `PROVEN_AFTER_MS`, and after each of `CLEARED_AFTER_MS`."""


@attrs.define
class CrashRecord:
    """The worker crashes under one task since it last ran without one.

    :param count: number of the crashes.
    :param is_suspected: whether the task may have caused one of them, so that its next run must be
        apart from others.
    :param uncleared_runs: number of runs since the first crash that did not end by themselves, and
        of those before it that lapsed, `MAX_LAPSED_RUNS` at most.
    :param machines: VMs of the last `MAX_CRASHED_MACHINES` workers that crashed.
    :param excuse: whether one more crash is excused, because the trial of another task is the
        likelier cause. The next crash counts it, too, and no other one is excused. After a crash
        that followed a survived trial, none is.
    :param is_late: whether the task had lasted for `PROVEN_AFTER_MS` in a run before the first
        crash. Further such runs then prove nothing.
    """

    count: int = 0
    is_suspected: bool = False
    uncleared_runs: int = 0
    machines: tuple[str, ...] = ()
    excuse: Excuse = Excuse.NONE
    is_late: bool = False

    @property
    def is_exhausted(self) -> bool:
        """Return whether the task must not start again."""
        return self.count >= CRASHES_BEFORE_GUILT and self.uncleared_runs >= MAX_UNCLEARED_RUNS

    @property
    def survives_unproved_crash(self) -> bool:
        """Return whether one more crash gives the task up only if it proves its guilt."""
        crashes = 2 if self.excuse is Excuse.PENDING else 1
        after = attrs.evolve(
            self, count=self.count + crashes, uncleared_runs=self.uncleared_runs + crashes
        )
        return self.count < CRASHES_BEFORE_GUILT and not after.is_exhausted

    @property
    def probation_ms(self) -> int:
        """Return how long a run must last until the task is not suspected any more."""
        return min(FIRST_PROBATION_MS * 2 ** (self.count - 1), MAX_PROBATION_MS)

    def record_crash(self, machine: str, recent_runs: frozenset[str], task: str) -> bool:
        """Record the crash of a worker under the task.

        :param machine: VM of the worker.
        :param recent_runs: tasks that the worker had started shortly before, see `recent_runs`.
        :returns: whether the task is guilty: it was suspected, ran apart from others, and has now
            crashed workers on enough VMs.
        """
        if self.excuse is Excuse.PENDING:
            self.count += 1
            self.uncleared_runs += 1
        if self.excuse is Excuse.PENDING or (self.count and not self.is_suspected):
            # The task may crash its workers later than its trials last.
            self.excuse = Excuse.COUNTED
        self.count += 1
        self.machines = (*self.machines, machine)[-MAX_CRASHED_MACHINES:]
        is_guilty = (
            self.is_suspected
            and recent_runs == {task}
            and len(set(self.machines)) >= CRASHES_BEFORE_GUILT
        )
        self.is_suspected = (
            self.is_suspected or task in recent_runs or self.count >= CRASHES_BEFORE_GUILT
        )
        return is_guilty


def recent_runs(start_by_ms: Mapping[str, int]) -> frozenset[str]:
    """Return the tasks whose runs started within `SUSPICION_WINDOW_MS` of the last start.

    :param start_by_ms: latest start by task, for all runs of a worker and on the worker's clock.
    """
    last_ms = max(start_by_ms.values())
    return frozenset(
        task for task, at_ms in start_by_ms.items() if last_ms - at_ms <= SUSPICION_WINDOW_MS
    )


def max_trials(workers: int, trials: int = 0) -> int:
    """Return on how many workers suspected tasks may run at the same time.

    :param workers: number of workers that can run tasks.
    :param trials: number of trials that have not ended, with those that have not begun.
    """
    wanted = math.ceil(trials / MAX_TRIALS_IN_SERIES)
    return max(1, int(MAX_TRIAL_SHARE * workers), min(wanted, max_backlog_trials(workers)))


def max_backlog_trials(workers: int) -> int:
    """Return on how many workers suspected tasks may run, however many wait.

    :param workers: number of workers that can run tasks.
    """
    return max(1, int(MAX_BACKLOG_TRIAL_SHARE * workers))

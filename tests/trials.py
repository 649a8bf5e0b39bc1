"""Experiment on the doubles: many suspected tasks wait for trials, some crash their workers.

`python trials.py --suspects=S --guilty=G --workers=W --seed=N [--crashes=C]` plays the trials of S
suspected tasks and prints one JSON line. `--table` prints a table of plays instead.
"""

import json
import math
import random
import time
from datetime import timedelta

import attrs
from absl import app, flags
from mulberryslip.crashes import CrashRecord
from mulberryslip.models import Resources
from mulberryslip.queues import PoolConfig
from mulberryslip.steps import StepSpec
from pool_doubles import MS, QUEUE, SECOND, PoolWorld
from tabulate import tabulate

CAPACITY = Resources(64_000, 250_000)
CHECK = StepSpec(count=5, cpu_millis=1000, memory_mb=100)
SERVICE = attrs.evolve(CHECK, count=6, lasting=True)
CHECK_MS = 900
SERVICE_MS = 600_000
DECISION_ROUNDS = 11
"""Decision rounds in a cycle of all agents, besides those for commits. One for each agent that
fetches commands would take minutes on a large fleet."""

MAX_RUNS, MAX_CRASHES = 5, 3
"""Runs, and worker crashes among them, after which a guilty task must not start again."""

TABLE_GUILTY = (0, 1, 5, 50)
TABLE_FLEETS = ((11, 120), (160, 30))
"""Numbers of workers and longest simulated times, in seconds, of the table's plays."""


@attrs.frozen
class Parameters:
    """What is played.

    :param suspects: number of suspected tasks.
    :param guilty: number of them that crash their worker after each start.
    :param workers: number of workers.
    :param crashes: numbers of earlier crashes of which each suspected task gets one.
    :param seed: seed of all random choices.
    :param background: workflows of checks that arrive a second.
    :param services: share of the suspected tasks that are long-running.
    :param crash_ms: time from the start of a guilty task until its worker crashes, in milliseconds.
    :param seconds: longest simulated time, in seconds.
    """

    suspects: int = 500
    guilty: int = 5
    workers: int = 11
    crashes: tuple[int, ...] = (1,)
    seed: int = 1
    background: float = 4.0
    services: float = 0.3
    crash_ms: int = 10
    seconds: float = 120.0


class Waits:
    """Times that tasks spend ready to start: from the beginning, and after each lost run."""

    def __init__(self):
        self._since = {}
        self._longest = {}

    def begin(self, name, now):
        self._since.setdefault(name, now)
        self._longest.setdefault(name, timedelta())

    def end(self, name, now):
        if name in self._since:
            self._longest[name] = max(self._longest[name], now - self._since.pop(name))

    def waiting(self):
        """Return the tasks that are waiting."""
        return self._since.keys()

    def started(self):
        """Return the tasks that are not waiting any more."""
        return self._longest.keys() - self._since.keys()

    def longest(self, now):
        """Return the longest wait of each task; a wait that has not ended counts until now."""
        return {
            name: max(wait, now - self._since.get(name, now))
            for name, wait in self._longest.items()
        }


class Play:
    """Suspected tasks on a pool of workers, with background checks that arrive.

    :param excludes_outages: whether waits exclude the time in which fewer than half of the workers
        are up.
    """

    def __init__(self, parameters, excludes_outages=False):
        self.parameters = parameters
        self.rng = random.Random(parameters.seed)
        self.world = PoolWorld(
            parameters.workers,
            parameters.seed,
            run_ms=lambda name: SERVICE_MS if name.startswith("service") else CHECK_MS,
        )
        self.guilty = set()
        for worker in self.world.workers:
            worker.capacity = CAPACITY
            worker.crash_ms_of = lambda name: parameters.crash_ms if name in self.guilty else None
        self._fetches = 0
        self.world.clock.wait = self._wait
        self._excludes_outages = excludes_outages
        self.excluded = timedelta()
        self.tasks, self.crashes = {}, {}
        self.failed_at = {}
        self.suspect_waits, self.guilty_waits, self.background_waits = Waits(), Waits(), Waits()
        self.background = []
        self.starts_by_task, self.excess_starts = {}, []
        self._record_start = self.world.history.record_start
        self.world.history.record_start = self._observe_start
        self.world.elect()
        self.world.run(3)
        self._submit_suspects()
        self.began_at = self.world.clock.monotonic()

    def _wait(self, event, timeout):
        """Run a decision round for a wait, but not for each agent of a large fleet."""
        if event.is_set():
            return True
        owner = self.world.owner()
        members = owner._term.members.values() if owner else ()
        is_fetch = any(event is member.has_commands for member in members)
        self._fetches += is_fetch
        agents = math.ceil(self.parameters.workers / DECISION_ROUNDS)
        if not is_fetch or self._fetches % agents == 0:
            self.world.step_owners()
        return event.is_set()

    @property
    def elapsed(self):
        """Return the simulated time since the tasks have been ready."""
        return self.world.clock.monotonic() - self.began_at

    def now(self):
        """Return the time by which waits are measured."""
        return self.world.clock.monotonic() - self.excluded

    def _submit_suspects(self):
        world, rng = self.world, self.rng
        # Nothing may start before the crashes are recorded.
        self._set_config(2, out=[worker.data_centre for worker in world.workers])
        remaining = self.parameters.suspects
        services = round(remaining * self.parameters.services)
        while remaining > 0:
            step, kind = (SERVICE, "service") if services > 0 else (CHECK, "check")
            count = min(step.count, remaining, services if services > 0 else remaining)
            name = f"{kind}{len(self.tasks)}"
            world.submit(name, attrs.evolve(step, count=count))
            self.tasks[name] = [f"{name}/0/0/{index}" for index in range(count)]
            remaining, services = remaining - count, services - count
        workflows = rng.sample(list(self.tasks), len(self.tasks))
        for number in range(self.parameters.guilty):
            names = self.tasks[workflows[number % len(workflows)]]
            self.guilty.add(rng.choice([name for name in names if name not in self.guilty]))
        pool = world.owner()._term.pool
        now_ms = int(world.clock.now().timestamp() * 1000)
        for name in [name for names in self.tasks.values() for name in names]:
            count = self.crashes[name] = rng.choice(self.parameters.crashes)
            crashed = rng.sample(world.workers, min(count, len(world.workers)))
            task = pool.task(name)
            machines = tuple(worker.machine for worker in crashed)
            task.crashes = CrashRecord(count, True, count, machines)
            task.waiting_since_ms = now_ms
            pool._crashed[name] = task
            if name in self.guilty:
                world.history.crashes_by_task[name] = count
                self.guilty_waits.begin(name, self.now())
            else:
                self.suspect_waits.begin(name, self.now())
        # The crashes are not in the journal.
        world.owner()._write_snapshot(world.owner()._term)
        self._set_config(3)

    def _set_config(self, revision, out=()):
        for source in self.world.sources.values():
            source.value = PoolConfig.from_queues(revision, [QUEUE], out)

    def _all_waits(self):
        return self.suspect_waits, self.guilty_waits, self.background_waits

    def _observe_start(self, worker, command):
        name = command.task
        if name in self.guilty:
            runs = self.crashes[name] + self.starts_by_task.get(name, 0)
            crashes = self.world.history.crashes_by_task[name]
            if runs >= MAX_RUNS and crashes >= MAX_CRASHES:
                self.excess_starts.append(name)
        self.starts_by_task[name] = self.starts_by_task.get(name, 0) + 1
        for waits in self._all_waits():
            waits.end(name, self.now())
        return self._record_start(worker, command)

    def round(self):
        """Let background checks arrive and run one cycle of all processes."""
        due = math.floor(self.elapsed / SECOND * self.parameters.background) + 1
        while self.parameters.background and len(self.background) < due:
            name = f"background{len(self.background)}"
            self.background.append(name)
            self.world.submit(name, CHECK)
            for index in range(CHECK.count):
                self.background_waits.begin(f"{name}/0/0/{index}", self.now())
        before = self.world.clock.monotonic()
        self.world.round()
        up = sum(not worker.is_down for worker in self.world.workers)
        if self._excludes_outages and 2 * up < len(self.world.workers):
            self.excluded += self.world.clock.monotonic() - before
        self._observe()

    def _observe(self):
        history = self.world.history
        running = {name for worker in self.world.workers for name in worker.runs}
        for name in self.tasks:
            if name not in self.failed_at and self.world.shown(name) == "failed":
                self.failed_at[name] = self.elapsed
        for waits in self._all_waits():
            for name in waits.started() - running - history.done_tasks:
                if name.split("/")[0] not in self.failed_at:
                    waits.begin(name, self.now())
        for waits in (self.suspect_waits, self.guilty_waits):
            for name in [name for name in waits.waiting() if name.split("/")[0] in self.failed_at]:
                waits.end(name, self.now())

    def guilty_workflows(self):
        """Return the workflows with a task that crashes its workers."""
        return {name.split("/")[0] for name in self.guilty}

    def innocent_given_up(self):
        """Return the workflows that were given up without a guilty task."""
        return sorted(self.failed_at.keys() - self.guilty_workflows())

    def is_through(self):
        """Return whether all guilty workflows have been given up, and no other task waits."""
        return self.guilty_workflows() <= self.failed_at.keys() and not self.suspect_waits.waiting()

    def run(self):
        """Play until all suspected tasks are through; return the measured values."""
        began = time.monotonic()
        through_s = None
        while through_s is None and self.elapsed < self.parameters.seconds * SECOND:
            self.round()
            if self.is_through():
                through_s = self.elapsed / SECOND
        waits = self.suspect_waits.longest(self.now())
        given_up = self.innocent_given_up()
        lost = [name for name in waits if name.split("/")[0] in given_up]
        waits |= dict.fromkeys(lost, self.now() - self.began_at)
        waits = sorted(waits.values())
        background = self.background_waits.longest(self.now()).values()
        history = self.world.history
        return {
            **attrs.asdict(self.parameters),
            "worst_wait_s": _seconds(max(waits, default=timedelta())),
            "p95_wait_s": _seconds(_percentile(waits, 0.95)),
            "worst_background_wait_s": _seconds(max(background, default=timedelta())),
            "crashes_caused": history.crashes,
            "starts": history.starts,
            "most_crashes_of_a_guilty_task": max(
                (history.crashes_by_task[name] for name in self.guilty), default=0
            ),
            "innocent_given_up": len(self.innocent_given_up()),
            "guilty_not_given_up": len(self.guilty_workflows() - self.failed_at.keys()),
            "violations": len(history.violations),
            "through_s": through_s,
            "wall_s": round(time.monotonic() - began, 1),
        }


def _percentile(ordered, share):
    return ordered[math.ceil(share * len(ordered)) - 1] if ordered else timedelta()


def _seconds(duration):
    return duration // MS / 1000


def print_table(parameters):
    """Print a row for each play as it ends, then the table."""
    columns = ["workers", "crashes", "guilty", "seconds", "worst_wait_s", "p95_wait_s"]
    columns += ["worst_background_wait_s", "crashes_caused", "starts"]
    columns += ["most_crashes_of_a_guilty_task", "innocent_given_up", "guilty_not_given_up"]
    columns += ["violations", "through_s", "wall_s"]
    rows = []
    for workers, seconds in TABLE_FLEETS:
        for crashes in (1, 2):
            for guilty in TABLE_GUILTY:
                played = attrs.evolve(
                    parameters,
                    workers=workers,
                    crashes=(crashes,),
                    guilty=guilty,
                    seconds=min(seconds, parameters.seconds),
                )
                result = Play(played).run()
                rows.append([result[column] for column in columns])
                print(json.dumps(result), flush=True)
    headers = [column.replace("_", "\n") for column in columns]
    print(tabulate(rows, headers, missingval="-"))


def main(argv):
    del argv
    values = flags.FLAGS
    parameters = Parameters(
        values.suspects,
        values.guilty,
        values.workers,
        tuple(int(count) for count in values.crashes),
        values.seed,
        values.background,
        values.services,
        values.crash_ms,
        values.seconds,
    )
    if values.table:
        print_table(parameters)
    else:
        print(json.dumps(Play(parameters).run()))


if __name__ == "__main__":
    flags.DEFINE_integer("suspects", 500, "Suspected tasks.", 1)
    flags.DEFINE_integer("guilty", 5, "Suspected tasks that crash their workers.", 0)
    flags.DEFINE_integer("workers", 11, "Workers.", 1)
    flags.DEFINE_list("crashes", ["1"], "Earlier crashes; each suspected task gets one of them.")
    flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
    flags.DEFINE_float("background", 4.0, "Workflows of checks that arrive a second.", 0.0)
    flags.DEFINE_float("services", 0.3, "Share of suspected tasks that are long-running.", 0.0, 1.0)
    flags.DEFINE_integer("crash_ms", 10, "Time from start to crash, in milliseconds.", 0)
    flags.DEFINE_float("seconds", 120.0, "Longest simulated time, in seconds.", 0.0)
    flags.DEFINE_boolean("table", False, "Play all fleets, numbers of crashes and guilty tasks.")
    app.run(main)

"""Experiment on the doubles: services beside checks while parts of the fleet crash in series.

`python crash_series.py --first=N --plays=M` plays M seeds and prints one JSON line for each; with
`--changes`, capacities and the owner change, too.
"""

import functools
import json
import random
import time
from datetime import timedelta

import attrs
from absl import app, flags
from mulberryslip.models import Resources
from mulberryslip.steps import StepSpec
from pool_doubles import SECOND
from service_waits import CHECK_MS, MIN_ROOM_TIME, ROOM_FACTOR, ROUND, SERVICE_MS, Fleet, Play

MAX_CALM_WAIT = 6 * SECOND
"""The rule counts from 6 s after the last run of a service and the last disturbance."""

BREAK_WAIT = MAX_CALM_WAIT + MIN_ROOM_TIME

CAPACITY = Resources(64_000, 256_000)
SERVICE = StepSpec(cpu_millis=13_000, memory_mb=40_000, lasting=True)
SERVICE_CPU_MILLIS = (13_000, 13_500, 14_000)
SERVICES_PER_WORKER = 4
CHECK = StepSpec(count=6, cpu_millis=1000, memory_mb=200)
BEST_EFFORT = StepSpec(count=3, cpu_millis=4000, memory_mb=13_000, fills=True)
CALM_SECONDS = 14
"""Time that is played after the last crash of a part of the fleet and the last deadly check."""


@attrs.frozen
class Parameters:
    """What is played.

    :param workers: number of workers.
    :param free: number of services that still have room before the first crash.
    :param checks: workflows of checks that arrive a second.
    :param best_effort: workflows of best-effort tasks that arrive a second.
    :param crashes: number of crashes of parts of the fleet.
    :param share: share of the workers that crash together.
    :param pause: time from one crash to the next, in seconds.
    :param deadly_seconds: time in which deadly checks arrive, in seconds.
    :param deadly: workflows with deadly checks that arrive a second.
    """

    workers: int
    free: int
    checks: float
    best_effort: float
    crashes: int
    share: float
    pause: float
    deadly_seconds: float
    deadly: float

    @classmethod
    def of_seed(cls, seed):
        """Return parameters chosen at random."""
        rng = random.Random(seed)
        workers = rng.choice([11, 11, 11, 6, 4])
        places = workers * SERVICES_PER_WORKER
        return cls(
            workers=workers,
            free=rng.choice([2, 3, places // 2, places * 2 // 3]),
            checks=rng.uniform(2, 6),
            best_effort=rng.choice([0.0, 0.5, 1.0]),
            crashes=rng.randint(2, 6),
            share=rng.uniform(0.1, 0.5),
            pause=rng.uniform(1.2, 5.0),
            deadly_seconds=rng.choice([0.0, rng.uniform(2, 8)]),
            deadly=rng.uniform(0.2, 1.0),
        )


@attrs.frozen
class Changes:
    """What changes beside the crashes, without a disturbance for the rule.

    :param share: share of the workers whose capacity shrinks and grows by turns.
    :param lowest: smallest part of its capacity that such a worker shrinks to.
    :param turn: longest time from one change of a worker's capacity to the next, in seconds.
    :param is_together: whether these workers shrink and grow at the same time.
    :param owners: number of planned changes of the owner.
    """

    share: float
    lowest: float
    turn: float
    is_together: bool
    owners: int

    @classmethod
    def of_seed(cls, seed):
        """Return changes chosen at random."""
        rng = random.Random(f"changes {seed}")
        return cls(
            share=rng.uniform(0.2, 1.0),
            lowest=rng.choice([0.0, 0.3, 0.6]),
            turn=rng.uniform(1.5, 8.0),
            is_together=rng.random() < 0.5,
            owners=rng.choice([0, 0, 1, 2, 3]),
        )


@attrs.define
class CalmWait:
    """How long a service task has waited beside room without a disturbance.

    :param room_since: since when it has waited with room for it twice over.
    :param longest: longest time since its last run and the last disturbance, at moments at which it
        had had room for `MIN_ROOM_TIME`.
    :param longest_room: longest time for which it has waited with room.
    """

    room_since: timedelta | None = None
    longest: timedelta = timedelta()
    longest_room: timedelta = timedelta()


class SeriesPlay(Play):
    """Services, checks and best-effort tasks while parts of the fleet crash in series.

    A crash by a deadly check ends the runs beside it, but is no disturbance.

    :param changes: changes of capacities and of the owner; None for none.
    """

    def __init__(self, seed, changes=None):
        self.parameters = Parameters.of_seed(seed)
        self.changes = changes
        self.crash_ms = {}
        self.calm_waits = {}
        self.given_up = set()
        self.disturbed_until = timedelta()
        super().__init__(Fleet(self.parameters.workers, capacity=CAPACITY), SERVICE, seed)
        self._record_start = self.world.history.record_start
        self.world.history.record_start = self._observe_start
        self._schedule()
        if changes is not None:
            # The draws of the crashes and of the checks must not depend on the changes.
            self._schedule_changes(random.Random(f"times {seed}"))

    def _fill(self, fleet):
        for worker in self.workers:
            worker.run_ms = self._run_ms
            worker.crash_ms_of = self.crash_ms.get
            worker.outage = SECOND
        left = fleet.workers * SERVICES_PER_WORKER - self.parameters.free
        while left:
            count = min(left, self.rng.randint(4, 6))
            cpu_millis = self.rng.choice(SERVICE_CPU_MILLIS)
            self.submit(f"service{left}", attrs.evolve(SERVICE, count=count, cpu_millis=cpu_millis))
            left -= count
        self.advance(3)

    def _run_ms(self, name):
        if name.startswith("check"):
            return CHECK_MS + self.rng.randint(-200, 200)
        return self.rng.randint(2000, 5000) if name.startswith("batch") else SERVICE_MS

    def _schedule(self):
        parameters, rng = self.parameters, self.rng
        first = rng.uniform(1, 3)
        crashes = [first + number * parameters.pause for number in range(parameters.crashes)]
        self.seconds = max(crashes[-1], parameters.deadly_seconds) + CALM_SECONDS
        for seconds in crashes:
            self.at(seconds, self._crash_part)
        for kind, rate, end in (
            ("check", parameters.checks, self.seconds),
            ("batch", parameters.best_effort, self.seconds),
            ("check-deadly", parameters.deadly, parameters.deadly_seconds),
        ):
            seconds = rng.expovariate(rate) if rate else end
            while seconds < end:
                self.at(seconds, lambda kind=kind, seconds=seconds: self._submit(kind, seconds))
                seconds += rng.expovariate(rate)

    def _schedule_changes(self, rng):
        changes = self.changes
        changing = rng.sample(self.workers, max(1, round(len(self.workers) * changes.share)))
        groups = [changing] if changes.is_together else [[worker] for worker in changing]
        for group in groups:
            seconds = rng.uniform(0, changes.turn)
            is_lower = True
            while seconds < self.seconds:
                part = rng.uniform(changes.lowest, 0.9) if is_lower else 1.0
                self.at(seconds, functools.partial(self._set_capacity, group, part))
                seconds += rng.uniform(1, changes.turn)
                is_lower = not is_lower
        for _ in range(changes.owners):
            self.at(rng.uniform(0, self.seconds - CALM_SECONDS / 2), self.change_owner)

    def _set_capacity(self, workers, part):
        for worker in workers:
            worker.capacity = Resources(*(round(part * amount) for amount in CAPACITY.amounts()))

    def _submit(self, kind, seconds):
        if self.world.owner() is None:
            self.at(ROUND / SECOND, lambda: self._submit(kind, seconds))
            return
        name = f"{kind}{seconds}"
        self.world.submit(name, BEST_EFFORT if kind == "batch" else CHECK)
        if kind == "check-deadly":
            for index in self.rng.sample(range(CHECK.count), self.rng.randint(1, 2)):
                self.crash_ms[f"{name}/0/0/{index}"] = self.rng.randint(0, 800)

    def _crash_part(self):
        count = max(1, round(len(self.workers) * self.parameters.share))
        for worker in self.rng.sample(self.workers, count):
            outage = self.rng.choice([0.0, self.rng.uniform(0.6, 2.0)]) * SECOND
            if worker.is_down:
                continue
            self.disturbed_until = max(self.disturbed_until, self.now + outage)
            if outage:
                worker.outage = outage
                worker.crash()
                worker.outage = SECOND
            else:
                worker.restart()

    def _observe_start(self, worker, command):
        if command.task in self._watched:
            self._watched[command.task].last_run_at = self.now
        return self._record_start(worker, command)

    def _observe(self):
        super()._observe()
        running = {name for worker in self.workers for name in worker.runs}
        room = {spec: self.room(spec) for spec in {task.spec for task in self._watched.values()}}
        services = {name.split("/")[0] for name in self._watched}
        if self.world.owner() is not None:
            self.given_up |= {name for name in services if self.pool.workflows[name].is_ended}
        for task in self._watched.values():
            if task.name.split("/")[0] in self.given_up:
                continue
            wait = self.calm_waits.setdefault(task.name, CalmWait())
            is_calm = self.now >= self.disturbed_until
            if task.name in running or not is_calm or room[task.spec] < ROOM_FACTOR:
                wait.room_since = None
                continue
            wait.room_since = self.now if wait.room_since is None else wait.room_since
            with_room = self.now - wait.room_since
            wait.longest_room = max(wait.longest_room, with_room)
            if with_room >= MIN_ROOM_TIME:
                waited = self.now - max(task.last_run_at, self.disturbed_until)
                wait.longest = max(wait.longest, waited)

    def run(self):
        """Play until `CALM_SECONDS` after the last disturbance."""
        self.advance(self.seconds)

    def late(self, bound=MAX_CALM_WAIT):
        """Return the calm waits beside room that exceed a bound, by task, in seconds."""
        return {
            name: wait.longest / SECOND
            for name, wait in self.calm_waits.items()
            if wait.longest > bound
        }


def measure(seed, changes=None):
    """Play a seed; return its parameters and the measured values."""
    began = time.monotonic()
    play = SeriesPlay(seed, changes)
    play.run()
    waits = play.calm_waits.values()
    late = play.late()
    return {
        "seed": seed,
        **attrs.asdict(play.parameters),
        "changes": None if changes is None else attrs.asdict(changes),
        "worst_s": max(wait.longest for wait in waits) / SECOND,
        "worst_room_s": max(wait.longest_room for wait in waits) / SECOND,
        "late": len(late),
        "broken": len(play.late(BREAK_WAIT)),
        "worst_task": max(late, key=late.get, default=""),
        "violations": len(play.world.history.violations),
        "given_up": sorted(play.given_up),
        "crashes_by_checks": play.world.history.crashes,
        "wall_s": round(time.monotonic() - began, 1),
    }


def main(argv):
    del argv
    for seed in range(flags.FLAGS.first, flags.FLAGS.first + flags.FLAGS.plays):
        changes = Changes.of_seed(seed) if flags.FLAGS.changes else None
        print(json.dumps(measure(seed, changes)), flush=True)


if __name__ == "__main__":
    flags.DEFINE_integer("first", 0, "First seed.", 0)
    flags.DEFINE_integer("plays", 100, "Number of seeds.", 1)
    flags.DEFINE_bool("changes", False, "Whether capacities and the owner change.")
    app.run(main)

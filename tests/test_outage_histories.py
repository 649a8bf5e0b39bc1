"""Drawn histories of ends of the whole fleet, and of tasks that crash their workers.

Agents report at different times of a round, as processes on different VMs do.
"""

import contextlib
import random
from datetime import timedelta

import attrs
import pytest
from mulberryslip.crashes import CrashRecord
from mulberryslip.exceptions import StoreError
from mulberryslip.outages import MIN_OUTAGE_WORKERS
from mulberryslip.queues import PoolConfig
from mulberryslip.steps import StepSpec
from pool_doubles import MS, QUEUE, SECOND, PoolWorld

CHECK = StepSpec(cpu_millis=1000, memory_mb=100)
SERVICE = attrs.evolve(CHECK, lasting=True)
CHECK_MS = 900
LASTING_MS = 600_000
PHASES = 4
"""Parts of a round, in each of which a share of the agents reports."""

PHASE = 50 * MS
DECISION_ROUNDS = 3
"""Decision rounds of each owner in a part of a round, besides those for commits."""

MIN_GAP_MS, MAX_GAP_MS = 1000, 10_000
BACK_MS = 500, 4000
MAX_CRASH_MS = 2000
MAX_BACKLOG_LEAD_MS = 2000
"""Longest time from the arrival of a backlog to the next end of the fleet."""

MAX_CHANGE_DISTANCE_MS = 600
"""Longest time between a planned change of the owner and an end of the fleet."""

HEARD_AFTER = 400 * MS
"""Time until an owner has certainly been told of a new worker."""

MAX_CHECK_COUNT = 10
LARGE_FLEET, VERY_LARGE_FLEET = 50, 100
"""Numbers of workers from which on less happens, so that the tests are short."""

SETTLED_AFTER = 3 * SECOND
"""Time in which an owner, or the next one, has judged the last end."""

LONGEST = 40 * SECOND
KINDS = "one", "unrelated", "workflow"
OWNER_CHANGES = "", "lost", "planned"
BESIDE = "alone", "load", "outages"


@attrs.frozen
class History:
    """What is played.

    :param workers: number of workers.
    :param seed: seed of all random choices.
    :param ends: times at which the whole fleet ends, after the beginning, or later, once so many
        workers are back that an owner could tell it from crashes by tasks.
    :param back_ms: shortest and longest time until a worker is back.
    :param owner_change: what happens to the owner at an end of the fleet. Its process ends with the
        workers ("lost"), or another one is elected as planned shortly before or after ("planned").
    :param suspects: number of harmless tasks under suspicion at the beginning.
    :param deadly: number of tasks by workflow that crash their workers.
    :param crash_ms: time from their start until the crash, in milliseconds.
    :param backlog: tasks of short checks for each worker that arrive before each end of the fleet,
        and at the beginning if there is none.
    :param arrivals: workflows of checks that arrive in a round.
    """

    workers: int
    seed: int
    ends: tuple[timedelta, ...] = ()
    back_ms: tuple[int, int] = BACK_MS
    owner_change: str = ""
    suspects: int = 0
    deadly: tuple[int, ...] = ()
    crash_ms: int = 0
    backlog: int = 0
    arrivals: int = 0


class Play:
    """A history on the doubles."""

    def __init__(self, history):
        self.history = history
        self.rng = random.Random(history.seed)
        self.world = PoolWorld(history.workers, history.seed, run_ms=self._run_ms)
        for worker in self.world.workers:
            worker.crash_ms_of = self._crash_ms
        self._fetches = 0
        self.world.clock.wait = self._wait
        self.world.elect()
        self.world.run(3)
        self.began_at = self.world.clock.monotonic()
        self.harmless, self.deadly = [], []
        self.suspected = set()
        self.newly_suspected = {}
        self._ends = list(history.ends)
        self._backlogs = [
            end - self.rng.randint(0, MAX_BACKLOG_LEAD_MS) * MS for end in history.ends
        ]
        self._planned_changes = []
        if history.owner_change == "planned":
            self._planned_changes = [
                end + self.rng.randint(-MAX_CHANGE_DISTANCE_MS, MAX_CHANGE_DISTANCE_MS) * MS
                for end in history.ends
            ]
        self.up_at_ends = []
        self._submit_suspects()

    @staticmethod
    def _run_ms(name):
        return CHECK_MS if name.startswith("check") else LASTING_MS

    def _crash_ms(self, name):
        return self.history.crash_ms if name.startswith("deadly") else None

    def _wait(self, event, timeout):
        """Run a decision round for a wait, but not for each agent of a large fleet."""
        if event.is_set():
            return True
        owner = self.world.owner()
        members = owner._term.members.values() if owner else ()
        is_fetch = any(event is member.has_commands for member in members)
        self._fetches += is_fetch
        agents = max(1, self.history.workers // (PHASES * DECISION_ROUNDS))
        if not is_fetch or self._fetches % agents == 0:
            self.world.step_owners()
        return event.is_set()

    @property
    def elapsed(self):
        return self.world.clock.monotonic() - self.began_at

    def submit(self, name, step):
        self.world.submit(name, step)
        (self.deadly if name.startswith("deadly") else self.harmless).append(name)

    def _submit_suspects(self):
        """Submit harmless services and checks that have crashed one or two workers."""
        if not self.history.suspects:
            return
        # Nothing may start before the crashes are recorded.
        self._set_config(2, {worker.data_centre for worker in self.world.workers})
        pool = self.world.owner()._term.pool
        for number in range(self.history.suspects):
            step, kind = ((CHECK, "check"), (SERVICE, "service"))[number % 2]
            name = f"{kind}-suspected{number}"
            self.submit(name, step)
            task = pool.task(f"{name}/0/0/0")
            count = self.rng.choice((1, 2))
            crashed = self.rng.sample(self.world.workers, count)
            machines = tuple(worker.machine for worker in crashed)
            task.crashes = CrashRecord(count, True, count, machines)
            pool._crashed[task.name] = task
            self.suspected.add(task.name)
        # The crashes are not in the journal.
        self.world.owner()._write_snapshot(self.world.owner()._term)
        self._set_config(3)

    def _set_config(self, revision, out=()):
        for source in self.world.sources.values():
            source.value = PoolConfig.from_queues(revision, [QUEUE], out)

    def submit_load(self):
        """Submit the first load: services, deadly workflows and a backlog of checks."""
        if self.history.backlog:
            for number in range(max(1, self.history.workers // 6)):
                self.submit(f"service{number}", attrs.evolve(SERVICE, count=6))
        for number, count in enumerate(self.history.deadly):
            step = self.rng.choice((CHECK, SERVICE))
            self.submit(f"deadly{number}", attrs.evolve(step, count=count))
        if not self.history.ends:
            self._submit_checks(self.history.backlog * self.history.workers)

    def _submit_checks(self, tasks):
        while tasks > 0:
            count = min(tasks, self.rng.randint(2, MAX_CHECK_COUNT))
            self.submit(f"check{len(self.harmless)}", attrs.evolve(CHECK, count=count))
            tasks -= count

    def _submit_arrivals(self):
        for _ in range(self.history.arrivals):
            self._submit_checks(self.rng.randint(2, MAX_CHECK_COUNT))
        if self._backlogs and self.elapsed >= self._backlogs[0]:
            self._backlogs.pop(0)
            self._submit_checks(self.history.backlog * self.history.workers)

    def _up(self):
        return sum(not worker.is_down for worker in self.world.workers)

    def _heard(self):
        """Return the number of workers that have run for so long that their agents reported it."""
        now = self.world.clock.monotonic()
        return sum(
            not worker.is_down and now - worker.incarnation_began_at >= HEARD_AFTER
            for worker in self.world.workers
        )

    def end_fleet(self):
        """End all workers, and the owner's process if it is lost with them."""
        now = self.world.clock.monotonic()
        for worker in self.world.workers:
            worker.crash_if_due()
        self.up_at_ends.append(self._up())
        for worker in self.world.workers:
            if not worker.is_down:
                worker.crash()
            worker.back_at = now + self.rng.randint(*self.history.back_ms) * MS
        if self.history.owner_change == "lost":
            for worker in self.world.workers:
                if self.world.owners[worker.id].is_owner():
                    config = self.world.sources[worker.id].value
                    self.world.start_process(worker)
                    self.world.sources[worker.id].value = config

    def _inject_faults(self):
        if self._ends and self.elapsed >= self._ends[0] and self._heard() >= MIN_OUTAGE_WORKERS:
            self._ends.pop(0)
            self.end_fleet()
        if self._planned_changes and self.elapsed >= self._planned_changes[0]:
            self._planned_changes.pop(0)
            if self.world.owner() is not None:
                self.world.owner().resign("planned stop")
                self._elect()

    def round(self):
        """Run one cycle of all processes, the agents at different times."""
        world = self.world
        world.renew_sessions()
        if world.owner() is None:
            self._elect()
        if world.owner() is not None:
            self._submit_arrivals()
        for phase in range(PHASES):
            self._inject_faults()
            world.announce_workers()
            world.check_vms()
            world.step_owners()
            for worker in world.workers[phase::PHASES]:
                world.run_agent(worker)
            world.step_owners()
            world.clock.advance(PHASE)
            self._observe()

    def _elect(self):
        for worker in self.rng.sample(self.world.workers, len(self.world.workers)):
            with contextlib.suppress(StoreError):
                if self.world.owners[worker.id].acquire():
                    return

    def _observe(self):
        owner = self.world.owner()
        if owner is None:
            return
        crashed = owner._term.pool.crashed_tasks()
        suspected = {task.name for task in crashed if task.is_suspected}
        for name in suspected - self.suspected:
            self.newly_suspected.setdefault(name, self.elapsed)
        self.suspected = suspected

    def run(self, duration):
        until = self.elapsed + duration
        while self.elapsed < until:
            self.round()

    def shown(self, names):
        return {name: self.world.shown(name) for name in names}

    def has_ends(self):
        """Return whether further ends of the fleet follow."""
        return bool(self._ends)

    def is_found(self):
        """Return whether all deadly workflows have been given up."""
        return self.world.owner() is not None and set(self.shown(self.deadly).values()) == {
            "failed"
        }

    def given_up(self):
        """Return the harmless workflows that were given up."""
        return [name for name, state in self.shown(self.harmless).items() if state == "failed"]


def outages_of(workers, seed):
    """Draw a history of ends of the whole fleet in which no task is guilty."""
    rng = random.Random(f"outages {workers} {seed}")
    longest_gap_ms = rng.choice((1500, 4000, MAX_GAP_MS))
    at, ends = timedelta(), []
    for _ in range(rng.randint(2, 6) if workers < LARGE_FLEET else rng.randint(2, 3)):
        at += rng.randint(MIN_GAP_MS, longest_gap_ms) * MS
        ends.append(at)
    if workers >= VERY_LARGE_FLEET:
        ends = ends[:2]
    return History(
        workers,
        seed,
        tuple(ends),
        owner_change=rng.choice(OWNER_CHANGES),
        suspects=rng.choice((0, 0, 2, 6)),
        backlog=rng.choice((1, 6, 12)) if workers < LARGE_FLEET else 1,
        arrivals=rng.choice((0, 1, 2)),
    )


def crashes_of(workers, kind, beside, seed):
    """Draw a history of tasks that crash their workers."""
    rng = random.Random(f"crashes {workers} {kind} {beside} {seed}")
    ends = ()
    if beside == "outages":
        ends = [rng.randint(0, MAX_CRASH_MS) * MS]
        for _ in range(rng.randint(0, 2)):
            ends.append(ends[-1] + rng.randint(MIN_GAP_MS, MAX_GAP_MS) * MS)
    deadly = {
        "one": (1,),
        "unrelated": (1,) * rng.randint(2, min(workers, 12)),
        "workflow": (rng.randint(2, min(workers, 40)),),
    }[kind]
    return History(
        workers,
        seed,
        tuple(ends),
        owner_change=rng.choice(OWNER_CHANGES),
        deadly=deadly,
        crash_ms=rng.choice((0, 10, rng.randint(0, MAX_CRASH_MS))),
        backlog=0 if beside == "alone" else 4 if workers < LARGE_FLEET else 1,
        arrivals=0 if beside == "alone" else 1,
    )


def play_outages(history):
    """Play a history without deadly tasks; the owner must know the last end before it stops."""
    play = Play(history)
    play.submit_load()
    while play.has_ends():
        play.round()
    play.run(SETTLED_AFTER)
    return play


def play_crashes(history):
    """Play a history until all deadly workflows are given up, or for `LONGEST`."""
    play = Play(history)
    play.submit_load()
    while play.elapsed < LONGEST and not play.is_found():
        play.run(SECOND)
    return play


OUTAGES = [
    *((4, seed) for seed in (1, 2, 3, 8)),
    *((11, seed) for seed in (2, 3, 8, 13)),
    *((58, seed) for seed in (2, 3)),
    (160, 1),
]


@pytest.mark.parametrize(("workers", "seed"), OUTAGES)
def test_ends_of_the_whole_fleet_are_held_against_no_task(workers, seed):
    """Guards against harmless tasks that are suspected, or given up, for ends of all workers."""
    play = play_outages(outages_of(workers, seed))
    assert play.newly_suspected == {}
    assert play.given_up() == []
    assert play.world.history.violations == []


PAIRS = tuple(zip(KINDS, BESIDE, strict=True))
CRASHES = [
    *((workers, kind, beside, 1) for workers in (4, 11) for kind in KINDS for beside in BESIDE),
    *((workers, kind, beside, 1) for workers in (58, 160) for kind, beside in PAIRS),
    (4, "unrelated", "outages", 9),
    (11, "unrelated", "alone", 2),
    (11, "workflow", "load", 3),
    (11, "unrelated", "alone", 4),
    (11, "unrelated", "load", 4),
    (11, "unrelated", "outages", 4),
]


@pytest.mark.parametrize(("workers", "kind", "beside", "seed"), CRASHES)
def test_deadly_tasks_are_given_up_within_the_allowed_crashes(workers, kind, beside, seed):
    """Guards against tasks that crash worker after worker since outages excuse their crashes."""
    play = play_crashes(crashes_of(workers, kind, beside, seed))
    assert set(play.shown(play.deadly).values()) == {"failed"}
    assert play.world.history.violations == []
    if kind == "one" and beside != "outages":
        assert play.given_up() == []

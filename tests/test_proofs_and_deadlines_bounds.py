"""Tests of the bounds of proofs and of starts past the deadline."""

import json
import random
from datetime import timedelta

import attrs
import pytest
from mulberryslip.crashes import (
    CLEARED_AFTER_MS,
    CRASHES_BEFORE_GUILT,
    MAX_LOSSES,
    PROVEN_AFTER_MS,
    CrashRecord,
)
from mulberryslip.dispatches import PlacementDecision
from mulberryslip.models import Resources
from mulberryslip.snapshots import growth_reserve
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import (
    Pool,
    RunAssigned,
    RunCheckpointed,
    RunEnded,
    RunOutcome,
    decode_event,
    encode_event,
)
from mulberryslipd.schedulers import MAX_REPORT_AGE
from pool_doubles import MAX_FINAL_STARTS, PoolWorld
from test_crashes import ROUNDS_PER_SECOND, end, start
from test_start_deadlines import make_service, make_worker, schedule_overdue
from test_workflows import workflow_accepted

SERVICE = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
CHECK = StepSpec(cpu_millis=500, memory_mb=100)
SERVICE_MS = 3_600_000
MAX_DEADLY_STARTS = CRASHES_BEFORE_GUILT + MAX_FINAL_STARTS
"""The third start after three crashes breaks the rule."""

TURNS_DEADLY = (20_000, *(10,) * 40)
"""Times from the starts of a task to its crashes: it runs well once."""

SURVIVED, LOST, LAPSED = "survived", RunOutcome.LOST, RunOutcome.LAPSED


def play_deadly_service(crash_times_ms, checks, seconds=180, workers=6):
    """Play a service that crashes its workers; return its starts and its state."""
    world = PoolWorld(workers, run_ms=lambda name: 300 if "check" in name else SERVICE_MS)
    starts = []

    def crash_ms_of(name):
        if not name.startswith("deadly"):
            return None
        return crash_times_ms[(len(starts) - 1) % len(crash_times_ms)]

    record_start = world.history.record_start

    def observe_start(worker, command):
        if command.task.startswith("deadly"):
            starts.append(world.clock.monotonic())
        return record_start(worker, command)

    world.history.record_start = observe_start
    for worker in world.workers:
        worker.crash_ms_of = crash_ms_of
    world.elect()
    world.run(3)
    world.submit("deadly", SERVICE)
    for turn in range(seconds * ROUNDS_PER_SECOND):
        if checks:
            world.submit(f"check{turn}", attrs.evolve(CHECK, count=workers))
        world.round()
        if world.shown("deadly") == "failed":
            break
    return len(starts), world.shown("deadly")


@pytest.mark.parametrize("checks", [False, True])
@pytest.mark.parametrize(
    "crash_times_ms",
    [
        (10,),
        (2000,),
        (4000,),
        (5200,),
        (6000,),
        (10_000,),
        (2000, 6500),
        (4000, 6000),
        (6500, 10),
        TURNS_DEADLY,
    ],
    ids=lambda times: "-".join(map(str, times[:3])),
)
def test_deadly_service_is_given_up_within_the_budget(crash_times_ms, checks):
    """Guards against three starts or more after three crashes under a task."""
    starts, state = play_deadly_service(crash_times_ms, checks)
    assert (state, starts <= MAX_DEADLY_STARTS) == ("failed", True), starts


def test_exhausted_proof_is_not_renewed_by_a_short_run_after_a_trial():
    """Guards against a limit on lost runs that each survived trial sets back."""
    pool = Pool()
    pool.apply(workflow_accepted("a", SERVICE))
    task = pool.task("a/0/0/0")
    losses = 0
    # No run lasts for `CLEARED_AFTER_MS`, and the last one has only outlived its trial.
    for outcome in [*(SURVIVED, LAPSED) * 12, LOST, SURVIVED, LAPSED]:
        if not task.has_active_run(task.run):
            start(pool, task)
        if outcome is SURVIVED:
            pool.apply(RunCheckpointed(task.name, task.run, task.checkpoint))
        else:
            losses += outcome is LAPSED and task.is_proven
            end(pool, task, outcome)
    assert losses <= MAX_LOSSES
    assert task.crashes.is_late


@pytest.mark.parametrize(
    ("is_late", "run_s", "is_cleared"),
    [
        (False, PROVEN_AFTER_MS // 1000 + 2, True),
        (True, PROVEN_AFTER_MS // 1000 + 2, False),
        (True, CLEARED_AFTER_MS // 1000 - 2, False),
        (True, CLEARED_AFTER_MS // 1000 + 2, True),
    ],
)
def test_crashes_of_a_task_that_had_proven_itself_are_cleared_later(is_late, run_s, is_cleared):
    """Guards against a proof that each run of some seconds after a trial renews in full."""
    world = PoolWorld(1, run_ms=lambda name: SERVICE_MS)
    world.elect()
    world.run(3)
    world.submit("service", SERVICE)
    pool = world.owner()._term.pool
    task = pool.task("service/0/0/0")
    task.crashes = CrashRecord(1, False, 1, ("m9",), is_late=is_late)
    pool._crashed[task.name] = task
    while task.name not in world.workers[0].runs:
        world.round()
    world.run(run_s * ROUNDS_PER_SECOND)
    assert (task.crashes is None) is is_cleared


@pytest.mark.parametrize("gap_ms", [0, 300, 2000])
def test_harmless_service_is_not_given_up_beside_trials_of_others(gap_ms):
    """Guards against crashes that prove nothing and add up to a verdict all the same."""
    pool = Pool()
    pool.apply(workflow_accepted("service", SERVICE))
    service = pool.task("service/0/0/0")
    for number in range(6):
        pool.apply(workflow_accepted(f"trial{number}", SERVICE))
        trial = pool.task(f"trial{number}/0/0/0")
        trial.crashes = CrashRecord(2, True, 2, ("m1", "m2"))
        pool._crashed[trial.name] = trial
        start(pool, trial, f"m{number}", 5000)
        start(pool, service, f"m{number}", 5000 + gap_ms)
        end(pool, trial, LOST)
        end(pool, service, LOST)
    assert not service.workflow.is_ended


@pytest.mark.parametrize("count", [2, 3, 4])
def test_harmless_task_on_trial_is_not_given_up_for_an_overdue_service_beside_it(count):
    """Guards against a verdict on a task for the crash of a service that started beside it."""
    pool = Pool()
    for name in ("trial", "service"):
        pool.apply(workflow_accepted(name, SERVICE))
    trial, service = pool.task("trial/0/0/0"), pool.task("service/0/0/0")
    trial.crashes = CrashRecord(count, True, count, tuple(f"m{n}" for n in range(count)))
    pool._crashed[trial.name] = trial
    start(pool, trial, "m9", 5000)
    start(pool, service, "m9", 7000)
    end(pool, trial, LOST)
    end(pool, service, LOST)
    assert not trial.workflow.is_ended


def random_batches(rng, count):
    """Yield batches of events that are committed together, as an owner decides them."""
    pool = Pool()
    yield pool, [workflow_accepted(f"s{n}", attrs.evolve(SERVICE, count=2)) for n in range(2)]
    yield pool, [workflow_accepted("c", attrs.evolve(CHECK, count=2))]
    for now_ms in range(1000, 1000 + 400 * count, 400):
        kind = rng.choice(("assign", "assign", "survive", "survive", "crash", "silence", "end"))
        held = [task for w in pool.workers_with_runs() for task in pool.active_tasks(w)]
        if kind == "assign" and pool.ready():
            task, worker = rng.choice(pool.ready()), f"w{rng.randrange(3)}"
            yield (
                pool,
                [RunAssigned(task.name, task.run + 1, worker, "1", f"m{rng.randrange(4)}", now_ms)],
            )
        elif held and kind == "survive":
            task = rng.choice(held)
            yield pool, [RunCheckpointed(task.name, task.run, task.checkpoint)]
        elif held and kind == "end":
            task = rng.choice(held)
            yield pool, [RunEnded(task.name, task.run, "failed", now_ms)]
        elif held:
            lost = pool.active_tasks(rng.choice(pool.workers_with_runs()))
            excused = [task for task in lost if kind == "silence" or task.is_proven]
            counted = [task for task in lost if task not in excused]
            yield (
                pool,
                [RunEnded(task.name, task.run, "lost", now_ms) for task in counted]
                + [RunEnded(task.name, task.run, "lapsed", now_ms) for task in excused],
            )


@pytest.mark.parametrize("seed", range(40))
def test_next_owner_decides_alike_from_the_journal_and_from_a_snapshot(seed):
    """Guards against an owner that holds other tasks for proven or guilty than the one before."""
    rng = random.Random(seed)
    replayed, restored = Pool(), Pool()
    for pool, events in random_batches(rng, 80):
        for event in events:
            for copy in (pool, replayed, restored):
                copy.apply(decode_event(json.loads(json.dumps(encode_event(event)))))
        if rng.random() < 0.2:
            restored = Pool.from_snapshot(json.loads(json.dumps(restored.to_snapshot())))
        states = [
            {
                name: (task.phase, task.run, task.proof, task.crashes)
                for name, task in copy._tasks.items()
            }
            for copy in (pool, replayed, restored)
        ]
        assert states[0] == states[1]
        assert states[0] == states[2]


def test_crash_after_a_record_is_judged_alike_after_a_snapshot():
    """Guards against an owner that counts a crash which the one before had excused."""
    pool = Pool()
    pool.apply(workflow_accepted("a", SERVICE))
    task = pool.task("a/0/0/0")
    start(pool, task)
    end(pool, task, LOST)
    start(pool, task)
    for _ in range(2):
        pool.apply(RunCheckpointed(task.name, task.run, task.checkpoint))
    restored = Pool.from_snapshot(json.loads(json.dumps(pool.to_snapshot())))
    for copy in (pool, restored):
        end(copy, copy.task(task.name), LOST)
    assert restored.task(task.name).crashes == task.crashes


def test_round_continues_when_reports_grow_old_between_two_choices():
    """Guards against a round without any start because a pause fell between its choices."""
    world = PoolWorld(2, run_ms=lambda name: SERVICE_MS)
    world.elect()
    world.run(3)
    scheduler, term = world.owner()._scheduler, world.owner()._term
    config = scheduler._source.config()
    for name in ("check", "service"):
        term.pool.apply(workflow_accepted(name, CHECK if name == "check" else SERVICE))
    check, service = term.pool.task("check/0/0/0"), term.pool.task("service/0/0/0")
    candidates = scheduler._candidates(term, config)
    decisions = [PlacementDecision(check, candidates[0])]
    world.clock.sleep(MAX_REPORT_AGE + timedelta(seconds=1))
    scheduler._place_in_reserve(term, config, [service], candidates, decisions)


def test_journal_of_the_build_before_gives_up_the_same_tasks():
    """Guards against a workflow that callers saw fail and that runs again after an upgrade."""
    pool = Pool()
    for name in ("trial", "service"):
        pool.apply(workflow_accepted(name, SERVICE))
    trial, service = pool.task("trial/0/0/0"), pool.task("service/0/0/0")
    start(pool, trial, "m1", 1000)
    end(pool, trial, LOST)
    # It has waited for `MAX_TRIAL_WAIT_MS`, so it starts like the others.
    start(pool, trial, "m2", 5000)
    start(pool, service, "m2", 5000)
    end(pool, trial, LOST)
    end(pool, service, LOST)
    start(pool, service, "m3", 9000)
    pool.apply(RunCheckpointed(service.name, service.run, ""))  # It has outlived its probation.
    for machine in ("m3", "m4"):
        if not service.has_active_run(service.run):
            start(pool, service, machine, 10_000)
        end(pool, service, LOST)
    # Earlier builds suspect it after the first crash, and give it up after the third one.
    assert service.workflow.state == "failed"


def text_bytes(pool):
    return len(json.dumps(pool.to_snapshot(), separators=(",", ":")))


@pytest.mark.parametrize("name", ["0123456789abcdef", "n" * 200], ids=["short", "long"])
@pytest.mark.parametrize("checks", [0, 500])
def test_proofs_stay_within_the_reserve_of_a_snapshot(name, checks):
    """Guards against a snapshot that can no longer be handed over once services are proven."""
    steps = [attrs.evolve(SERVICE, count=500)]
    if checks:
        steps = [attrs.evolve(SERVICE, count=1), attrs.evolve(CHECK, count=checks)]
    pool = Pool()
    pool.apply(workflow_accepted(name, *steps))
    for task in pool.ready():
        start(pool, task)
    before = text_bytes(pool) + growth_reserve(pool).text_bytes
    for task in pool.workflows[name].tasks():
        if task.spec.lasting:
            pool.apply(RunCheckpointed(task.name, task.run, ""))
    assert text_bytes(pool) <= before


@pytest.mark.parametrize("seed", range(4))
def test_starts_past_the_deadline_keep_the_rules(seed):
    """Guards against starts over a capacity, twice, or too often, with all disturbances at once.

    Capacities shrink and grow, replies and reports are lost, owners change, and tasks crash their
    workers, while more services wait than the fleet has room for.
    """
    rng = random.Random(seed)
    world = PoolWorld(4, seed, run_ms=lambda name: 800 if "check" in name else SERVICE_MS)
    world.reply_loss_rate, world.report_delay_rate = rng.choice((0, 0.1)), rng.choice((0, 0.1))
    for worker in world.workers:
        worker.crash_ms_of = lambda name: 700 if "deadly" in name else None
    capacity = world.workers[0].capacity
    world.elect()
    world.run(3)
    demand = capacity.cpu_millis // 3
    for number in range(10):
        kind = "deadly" if number < 2 else "service"
        world.submit(f"{kind}{number}", attrs.evolve(SERVICE, cpu_millis=demand, count=2))
    for turn in range(30 * ROUNDS_PER_SECOND):
        if turn % 2 == 0:
            world.submit(f"check{turn}", CHECK)
        if turn % 7 == 0:
            world.submit(f"check-deadly{turn}", CHECK)
        if turn % 5 == 0:
            share = rng.choice((0.2, 0.6, 1))
            rng.choice(world.workers).capacity = Resources(
                int(capacity.cpu_millis * share), capacity.memory_mb
            )
        if turn % 40 == 39:
            if rng.random() < 0.5 and world.owner() is not None:
                world.owner()._write_snapshot(world.owner()._term)
            if world.owner() is not None:
                world.owner().resign("planned stop")
            world.elect()
        world.round()
    assert world.history.violations == []


@pytest.mark.parametrize(("runs", "free_millis"), [((3, 0), (40_000, 30_000))])
def test_overdue_suspected_service_starts_where_a_crash_ends_fewest_runs(runs, free_millis):
    """Guards against a suspected service beside others although an idle worker has room."""
    workers = [
        make_worker(number, steps={"b/0": count} if count else {}, free=Resources(free, 250_000))
        for number, (count, free) in enumerate(zip(runs, free_millis, strict=True))
    ]
    tasks = make_service(crashes=CrashRecord(3, True, 3, ("m7", "m8", "m9")))
    assert schedule_overdue(tasks, workers) == ["w1"]

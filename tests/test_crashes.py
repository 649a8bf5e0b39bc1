"""Tests of tasks that crash the workers that start them."""

import json

import attrs
import pytest
from log_events import logged_events, logged_messages
from mulberryslip.crashes import (
    CRASHES_BEFORE_GUILT,
    MAX_PROBATION_MS,
    MAX_UNCLEARED_RUNS,
    SUSPICION_WINDOW_MS,
    CrashRecord,
    max_trials,
    recent_runs,
)
from mulberryslip.dispatches import Dispatcher
from mulberryslip.events import Event
from mulberryslip.models import Resources
from mulberryslip.queues import PoolConfig
from mulberryslip.runners import RunningRun
from mulberryslip.steps import StepSpec
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import Pool, RunAssigned, RunCheckpointed, RunEnded, RunOutcome
from mulberryslipd import schedulers
from mulberryslipd.members import Member
from mulberryslipd.schedulers import _age_ms
from pool_doubles import CRASH_OUTAGE, QUEUE, SECOND, PoolWorld
from test_workflows import workflow_accepted
from trials import Parameters, Play

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
CHECK = attrs.evolve(TASK, cpu_millis=500)
BEST_EFFORT = attrs.evolve(TASK, fills=True, checkpoints=True, image="batch")
LASTING = attrs.evolve(TASK, lasting=True)
INNOCENT = [f"a{number}" for number in range(8)]
ROUNDS_PER_SECOND = 5
MAX_SERVICE_OUTAGE = 9 * SECOND
"""Time after its last run at which a long-running task must run again, if there is room."""


@pytest.fixture
def long_trials(monkeypatch):
    """Let trials last long although services wait."""
    monkeypatch.setattr(schedulers, "FIRST_PROBATION_MS", MAX_PROBATION_MS)


def make_world(crash_ms=10, workers=6, run_ms=1000):
    world = PoolWorld(workers=workers, run_ms=lambda name: run_ms)
    for number, worker in enumerate(world.workers):
        worker.crash_ms_of = lambda name: crash_ms if name.startswith("deadly") else None
        worker.data_centre = ("east", "west")[number % 2]
    world.elect()
    world.run(3)
    return world


def no_change(world, turn):
    pass


def change_owner(world, turn):
    if turn % 8 == 7:
        world.owner().resign("planned stop")
        world.elect(world.workers[turn % len(world.workers)])


def restart_all(world, turn):
    if turn % 8 == 7:
        for worker in world.workers:
            world.start_process(worker)
        world.elect()


def restart_all_after_snapshot(world, turn):
    if turn % 8 == 7:
        world.owner()._write_snapshot(world.owner()._term)
    restart_all(world, turn)


def run_until_ended(world, names, change, turns=400):
    """Run until the workflows have ended, so that innocent tasks beside them must not starve."""
    for turn in range(turns):
        world.round()
        change(world, turn)
        if all(world.shown(name) in ("completed", "failed") for name in names):
            return


@pytest.mark.parametrize(
    ("step", "crash_ms", "change", "max_crashes"),
    [
        (CHECK, 10, no_change, 3),
        (CHECK, 0, no_change, 3),
        (CHECK, 800, no_change, 5),
        (BEST_EFFORT, 10, no_change, 3),
        (BEST_EFFORT, 800, no_change, 5),
        (LASTING, 10, no_change, 3),
        (LASTING, 900, no_change, 5),
        (CHECK, 10, change_owner, 4),
        (LASTING, 10, change_owner, 4),
        (CHECK, 10, restart_all, 4),
        (BEST_EFFORT, 10, restart_all_after_snapshot, 4),
        (LASTING, 800, restart_all_after_snapshot, 5),
        (attrs.evolve(CHECK, count=5), 10, no_change, 9),
        (attrs.evolve(LASTING, count=5), 0, no_change, 9),
    ],
)
def test_task_that_crashes_its_workers_is_given_up(step, crash_ms, change, max_crashes):
    """Guards against one task that crashes worker after worker and ends the runs beside it."""
    world = make_world(crash_ms)
    for name in INNOCENT[:4]:
        world.submit(name, attrs.evolve(CHECK, count=3))
    world.submit("deadly", step)
    for name in INNOCENT[4:]:
        world.submit(name, attrs.evolve(CHECK, count=3))
    run_until_ended(world, ["deadly", *INNOCENT], change)
    assert world.shown("deadly") == "failed"
    assert [world.shown(name) for name in INNOCENT] == ["completed"] * len(INNOCENT)
    assert world.history.violations == []
    assert world.history.crashes <= max_crashes
    starts = world.history.starts
    world.run(30)
    assert world.history.starts == starts


@pytest.mark.parametrize("crash_ms", [5000, 12_000])
def test_task_that_crashes_its_workers_late_is_given_up(crash_ms):
    """Guards against a task that outlives each probation and then crashes its worker."""
    world = make_world(crash_ms, run_ms=60_000)
    world.submit("deadly", LASTING)
    run_until_ended(world, ["deadly"], no_change, turns=800)
    assert world.shown("deadly") == "failed"
    assert (world.history.violations, world.history.crashes <= 5) == ([], True)


def test_tasks_are_cleared_on_a_fleet_that_is_almost_full():
    """Guards against suspected tasks that find no worker apart from others, and starve."""
    world = make_world()
    world.submit("service", attrs.evolve(LASTING, count=6, cpu_millis=6000))
    world.run(5)
    world.submit("deadly", CHECK)
    for turn in range(60):
        world.submit(f"a{turn}", attrs.evolve(CHECK, count=2))
        world.round()
    names = ["deadly", *(f"a{turn}" for turn in range(60))]
    run_until_ended(world, names, no_change)
    assert world.shown("deadly") == "failed"
    assert {world.shown(name) for name in names[1:]} == {"completed"}
    assert world.shown("service") == "running"
    assert world.history.violations == []


def lose_zone(world, zone):
    for worker in world.workers:
        if worker.data_centre == zone:
            worker.is_down = True
            worker.runs = {}
            worker.back_at = world.clock.monotonic() + CRASH_OUTAGE


def cut_zone(world, zone):
    world.cut = {worker.id for worker in world.workers if worker.data_centre == zone}


def kill_agents(world, zone):
    for worker in world.workers:
        if worker.data_centre == zone:
            world.start_process(worker)
    if world.owner() is None:
        world.elect()


def delay_reports(world, zone):
    world.frozen = {worker.id for worker in world.workers if worker.data_centre == zone}


def shut_down_gracefully(world, zone):
    for worker in world.workers:
        if worker.data_centre == zone:
            worker.leaving = True
    world.run(2)
    lose_zone(world, zone)


@pytest.mark.parametrize("gap", [1, 4, 12])
@pytest.mark.parametrize(
    "fault", [lose_zone, cut_zone, kill_agents, delay_reports, shut_down_gracefully]
)
def test_innocent_tasks_are_not_given_up(fault, gap):
    """Guards against giving up tasks whose workers went for reasons of their own, twice."""
    world = make_world()
    for worker in world.workers:
        worker.run_ms = lambda name: 60_000 if name.startswith("service") else 3000
    world.submit("service", attrs.evolve(LASTING, count=4))
    for name in INNOCENT:
        world.submit(name, attrs.evolve(CHECK, count=3))
    for _ in range(2):
        world.run(gap)
        fault(world, "west")
        world.run(45)
        world.cut, world.frozen = set(), set()
        world.run(1)
    run_until_ended(world, INNOCENT, no_change)
    assert {world.shown(name) for name in INNOCENT} == {"completed"}
    assert world.shown("service") == "running"
    assert world.history.violations == []


def test_worker_that_crashes_by_itself_does_not_cost_its_tasks():
    """Guards against giving up the tasks that are tried on a defective VM one after another."""
    world = make_world(workers=2, run_ms=600)
    world.workers[1].crash_ms_of = lambda name: 100
    for number in range(30):
        world.submit(f"a{number}", CHECK)
        world.round()
    names = [f"a{number}" for number in range(30)]
    run_until_ended(world, names, no_change)
    assert {world.shown(name) for name in names} == {"completed"}


@pytest.mark.parametrize(("run_s", "suspects"), [(2, 3), (10, 0)])
def test_services_that_have_run_for_long_need_no_trial(run_s, suspects):
    """Guards against services that wait for one another after the crash of their worker.

    Nothing else was started there later. Only if the crash came soon after their start are they
    tried again, together.
    """
    world = make_world(run_ms=600_000)
    world.submit("service", attrs.evolve(LASTING, count=3, image="i", target_ms=100))
    world.run(run_s * ROUNDS_PER_SECOND)
    holder = next(worker for worker in world.workers if worker.runs)
    assert len(holder.runs) == 3
    holder.is_down, holder.runs = True, {}
    world.run(1)
    assert len(world.owner()._term.pool.crashed_tasks()) == 3
    world.run(4)
    assert len(world.owner()._term.pool.trials()) == suspects
    assert sorted(len(worker.runs) for worker in world.workers if worker.runs) == [3]


def test_many_services_do_not_wait_long_for_trials():
    """Guards against services that wait one after another when they lose their worker soon."""
    world = make_world(run_ms=600_000)
    service = attrs.evolve(LASTING, count=8, cpu_millis=500, image="i", target_ms=100)
    world.submit("service", service)
    world.run(2 * ROUNDS_PER_SECOND)
    for worker in world.workers:
        if worker.runs:
            worker.is_down, worker.runs = True, {}
    world.run(6 * ROUNDS_PER_SECOND)
    assert sum(len(worker.runs) for worker in world.workers) == 8


@pytest.mark.parametrize("gap_s", [1, 2, 5, 8])
@pytest.mark.parametrize(("hit", "crashes"), [(3, 2), (3, 4), (6, 3), (11, 2), (11, 3)])
def test_services_run_again_soon_after_crashes_in_series(hit, crashes, gap_s):
    """Guards against services that wait one after another although most workers have room."""
    world = make_world(workers=11, run_ms=600_000)
    for worker in world.workers:
        worker.capacity = Resources(64_000, 250_000)
    for number in range(8):
        world.submit(f"a{number}", attrs.evolve(LASTING, count=6, image="i", target_ms=100))
        world.round()
    names = [f"a{number}/0/0/{index}" for number in range(8) for index in range(6)]
    world.run(5 * ROUNDS_PER_SECOND)
    last_run_at = dict.fromkeys(names, world.clock.monotonic())
    for turn in range((crashes * gap_s + 30) * ROUNDS_PER_SECOND):
        if turn % (gap_s * ROUNDS_PER_SECOND) == 0 and crashes:
            crashes -= 1
            running = [worker for worker in world.workers if not worker.is_down]
            for worker in sorted(running, key=lambda worker: -len(worker.runs))[:hit]:
                worker.crash()
        world.round()
        now = world.clock.monotonic()
        listed = {name for worker in world.workers for name in worker.runs}
        last_run_at.update(dict.fromkeys(listed, now))
        assert now - min(last_run_at.values()) < MAX_SERVICE_OUTAGE, turn
    assert {world.shown(f"a{number}") for number in range(8)} == {"running"}
    assert world.history.violations == []


@pytest.mark.parametrize("losses", [1, 2])
def test_tasks_run_again_soon_after_all_workers_have_lost_power(losses):
    """Guards against suspected tasks that wait one after another, and work that waits for them."""
    world = make_world(run_ms=1500)
    for number in range(10):
        steps = [attrs.evolve(BEST_EFFORT, count=6), attrs.evolve(TASK, after=(0,))]
        world.submit(f"a{number}", *steps)
    for _ in range(losses):
        world.run(ROUNDS_PER_SECOND)
        for worker in world.workers:
            worker.restart()
    world.run(20 * ROUNDS_PER_SECOND)
    assert {world.shown(f"a{number}") for number in range(10)} == {"completed"}


def test_nothing_starts_beside_a_task_on_probation():
    """Guards against suspects that confuse each other, and against losing healthy runs."""
    world = make_world(run_ms=2500)
    beside = []
    record_start = world.history.record_start

    def record(worker, command):
        pool = world.owner()._term.pool
        trials = {task.name: task.worker_id for task in pool.trials()}
        others = [name for name, held_by in trials.items() if held_by == worker.id]
        if [name for name in others if name != command.task]:
            beside.append((command.task, others))
        return record_start(worker, command)

    world.history.record_start = record
    world.submit("deadly", attrs.evolve(CHECK, count=3))
    for turn in range(40):
        world.submit(f"a{turn}", attrs.evolve(CHECK, count=2))
        world.round()
        assert len(world.owner()._term.pool.trials()) <= max_trials(len(world.workers))
    assert world.shown("deadly") == "failed"
    assert beside == []


def test_suspected_tasks_of_a_step_that_fits_nowhere_are_compared_once(monkeypatch):
    """Guards against rounds that are slow while many suspected tasks wait for room."""
    world = make_world()
    world.submit("a", attrs.evolve(CHECK, count=50, cpu_millis=10**6))
    term = world.owner()._term
    for task in term.pool.ready():
        task.crashes = CrashRecord(1, True)
    compared = []
    dispatcher = world.owner()._dispatcher
    monkeypatch.setattr(dispatcher, "_score", lambda *args, **options: compared.append(args))
    world.step_owners()
    assert len(compared) == len(world.workers)


def test_long_wait_of_a_suspected_task_is_logged():
    """Guards against waits for trials that the log does not show."""
    world = make_world()
    world.submit("a", attrs.evolve(CHECK, cpu_millis=10**6))
    (task,) = world.owner()._term.pool.ready()
    task.crashes = CrashRecord(2, True)
    with logged_events() as numbers:
        world.run(3 * ROUNDS_PER_SECOND)
    assert Event.RUN_WAITING.value in numbers


def wait_events(world, seconds):
    with logged_messages() as messages:
        world.run(seconds * ROUNDS_PER_SECOND)
    return [message for message in messages if message["event"] == Event.RUN_WAITING.value]


@pytest.mark.parametrize(
    ("first_listed_ms", "clock_ms", "age_ms"),
    [(4000, 4400, 400), (2600, 3600, 1000), (4700, 4900, 900), (None, 4600, 600)],
)
def test_run_is_no_older_than_its_start_can_be(first_listed_ms, clock_ms, age_ms):
    """Guards against a deadly task that is cleared because its worker carried the start out late.

    The start deadline is 4000 on the worker's clock.
    """
    pool, task = crashed_pool(1)
    start(pool, task)
    task.start_by_ms = 4000
    member = Member("w0", clock_ms=clock_ms)
    if first_listed_ms is not None:
        member.first_listed_ms[task.name, task.run] = first_listed_ms
    assert _age_ms(task, member) == age_ms


def test_long_wait_of_each_kind_is_logged():
    """Guards against a service whose wait is hidden by a check that waits longer."""
    world = make_world()
    kinds = {(lasting, suspected) for lasting in (False, True) for suspected in (False, True)}
    for lasting, suspected in sorted(kinds):
        name = f"{lasting}{suspected}"
        world.submit(name, attrs.evolve(CHECK, cpu_millis=10**6, lasting=lasting))
        world.run(1)
        if suspected:
            world.owner()._term.pool.task(f"{name}/0/0/0").crashes = CrashRecord(2, True)
    events = wait_events(world, 4)
    assert {(event["lasting"], event["is_suspected"]) for event in events} == kinds


def suspect(world, worker):
    task = world.owner()._term.pool.task("first/0/0/0")
    task.crashes = CrashRecord(4, True)
    world.owner()._term.pool._crashed[task.name] = task


def change_listing(worker, change):
    extend_lease = worker.extend_lease
    worker.extend_lease = lambda *args: change(extend_lease(*args))


def hide_runs(world, worker):
    change_listing(worker, lambda listing: attrs.evolve(listing, running=(), is_complete=False))


def list_unknown_run(world, worker):
    unknown = RunningRun("unknown/0/0/0", 1, "", 0)
    change_listing(
        worker, lambda listing: attrs.evolve(listing, running=(*listing.running, unknown))
    )


def leave_alone(world, worker):
    pass


LARGE = attrs.evolve(LASTING, cpu_millis=6000)


@pytest.mark.parametrize(
    ("first", "change", "waiting", "room", "trial_room", "lacking"),
    [
        (
            attrs.evolve(CHECK, cpu_millis=5000),
            leave_alone,
            LARGE,
            {"short", "all"},
            set(),
            {"cpu_millis"},
        ),
        (
            attrs.evolve(BEST_EFFORT, memory_mb=12_000),
            leave_alone,
            attrs.evolve(LASTING, memory_mb=12_000),
            {"best-effort", "short", "all"},
            set(),
            {"memory_mb"},
        ),
        (LARGE, leave_alone, LARGE, {"all"}, set(), {"cpu_millis"}),
        (LARGE, hide_runs, LARGE, {"unlisted", "all"}, set(), {"cpu_millis"}),
        (
            LASTING,
            list_unknown_run,
            LARGE,
            {"stopping", "all"},
            set(),
            {"cpu_millis", "memory_mb"},
        ),
        (
            LASTING,
            suspect,
            LARGE,
            set(),
            {"none", "best-effort", "short", "unlisted", "stopping", "all"},
            set(),
        ),
        (LARGE, suspect, LARGE, set(), {"all"}, set()),
        (
            LASTING,
            leave_alone,
            attrs.evolve(LARGE, memory_mb=10**6),
            set(),
            set(),
            {"memory_mb"},
        ),
        (
            LASTING,
            leave_alone,
            attrs.evolve(LARGE, required_label="none"),
            set(),
            set(),
            set(),
        ),
    ],
)
def test_what_takes_the_room_is_logged(
    first, change, waiting, room, trial_room, lacking, long_trials
):
    """Guards against a wait whose log says `no room` and hides what takes it."""
    world = make_world(workers=1, run_ms=600_000)
    world.submit("first", first)
    world.run(2 * ROUNDS_PER_SECOND)
    change(world, world.workers[0])
    world.run(1)
    world.submit("waiting", waiting)
    event = wait_events(world, 4)[-1]
    assert event["task"] == "waiting/0/0/0"
    assert event["room_without"] == dict.fromkeys(room, 1)
    assert event["trial_room_without"] == dict.fromkeys(trial_room, 1)
    assert event["lacking"] == dict.fromkeys(lacking, 1)


def test_service_that_waits_beside_room_is_a_metric(long_trials):
    """Guards against services that wait beside room while no figure shows it."""
    world = make_world(workers=1, run_ms=60_000)
    source = next(iter(world.sources.values()))
    # Nothing may start before the crashes are recorded.
    source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    world.submit("trial", LASTING)
    pool = world.owner()._term.pool
    task = pool.task("trial/0/0/0")
    task.crashes = CrashRecord(4, True, 4, ("m1", "m2"))
    pool._crashed[task.name] = task
    source.value = PoolConfig.from_queues(3, [QUEUE])
    world.run(2)
    world.submit("waiting", LASTING)
    world.run(4 * ROUNDS_PER_SECOND)
    gauges = world.owner()._metrics.snapshot().gauges
    assert gauges["service_wait_with_room_ms"] >= 2000
    world.run(8 * ROUNDS_PER_SECOND)
    world.submit("large", attrs.evolve(LASTING, cpu_millis=10**6))
    world.run(4 * ROUNDS_PER_SECOND)
    gauges = world.owner()._metrics.snapshot().gauges
    assert gauges["service_wait_with_room_ms"] == 0


def test_gauge_of_waiting_services_falls_once_none_waits(monkeypatch):
    """Guards against an alarm that lasts after the service runs."""
    world = make_world(workers=3, run_ms=600_000)
    owner = world.owner()
    with monkeypatch.context() as patch:
        patch.setattr(Dispatcher, "schedule", lambda *args: [])
        world.submit("a", LASTING)
        world.run(28)
    world.run(60)
    assert world.shown("a") == "running"
    assert owner._metrics.snapshot().gauges["service_wait_with_room_ms"] == 0


def test_refused_start_on_a_crashed_worker_is_no_evidence():
    """Guards against blaming tasks whose start never reached the worker."""
    world = make_world(workers=1)
    (worker,) = world.workers
    agent, directory = world.agents[worker.id]
    world.submit("a", CHECK)
    world.step_owners()
    agent.fetch_commands(directory.owner())
    worker.is_down = True
    agent.execute_next_command()
    world.run(2)
    assert world.owner()._term.pool.crashed_tasks() == []


@pytest.mark.parametrize(
    ("suspected", "recent", "machines", "is_guilty", "is_suspected"),
    [
        (False, {"t"}, (), False, True),
        (False, {"u"}, (), False, False),
        (False, {"u"}, ("m1", "m2"), False, True),
        (True, {"t"}, ("m1",), False, True),
        (True, {"t"}, ("m1", "m2"), True, True),
        (True, {"t", "u"}, ("m1", "m2"), False, True),
        (True, {"u"}, ("m1", "m2"), False, True),
        (True, {"t"}, ("m9", "m2"), False, True),
        (False, {"t"}, ("m1", "m2"), False, True),
    ],
)
def test_verdict_of_a_crash(suspected, recent, machines, is_guilty, is_suspected):
    """Guards against a verdict that rests on too little evidence."""
    record = CrashRecord(len(machines), suspected, 0, machines)
    assert record.record_crash("m9", frozenset(recent), "t") is is_guilty
    assert record.is_suspected is is_suspected


def test_recent_runs_are_those_near_the_last_start():
    """Guards against suspecting every task that runs on a crashed worker."""
    start_by_ms = {"old": 1000, "near": 5000, "last": 5000 + SUSPICION_WINDOW_MS}
    assert recent_runs(start_by_ms) == {"near", "last"}


@pytest.mark.parametrize(
    ("outcome", "is_forgotten"),
    [
        (RunOutcome.DONE, True),
        (RunOutcome.FAILED, True),
        (RunOutcome.STOPPED, False),
        (RunOutcome.LAPSED, False),
        (RunOutcome.UNSTARTED, False),
        (RunOutcome.LOST, False),
    ],
)
def test_end_that_clears_a_task(outcome, is_forgotten):
    """Guards against counting crashes of long ago, and against forgetting those that count."""
    pool, task = crashed_pool(1)
    start(pool, task)
    end(pool, task, outcome)
    assert (pool.crashed_tasks() == []) is is_forgotten


def test_run_that_outlived_its_trial_is_not_blamed_for_the_next_one():
    """Guards against giving up harmless tasks for the crash of a trial that began beside them."""
    world = make_world(crash_ms=10, workers=1, run_ms=60_000)
    source = next(iter(world.sources.values()))
    # Nothing may start before the crashes are recorded.
    source.value = PoolConfig.from_queues(2, [QUEUE], ["east"])
    pool = world.owner()._term.pool
    for name, count in (("a", 4), ("b", 1)):
        world.submit(name, LASTING)
        task = pool.task(f"{name}/0/0/0")
        task.crashes = CrashRecord(count, True, count, ("m1", "m2")[:count])
        pool._crashed[task.name] = task
    source.value = PoolConfig.from_queues(3, [QUEUE])
    world.workers[0].crash_ms_of = lambda name: 10 if name.startswith("b") else None
    while not world.history.crashes:
        world.round()
    world.workers[0].crash_ms_of = lambda name: None
    world.run(5 * ROUNDS_PER_SECOND)
    assert world.shown("a") == "running"


def test_task_that_outlives_its_trials_is_found_beside_other_trials():
    """Guards against a task that is absolved again and again by the trials beside it."""
    parameters = Parameters(150, 2, 11, (1, 2), 1, services=1.0, crash_ms=1800, seconds=40)
    played = Play(parameters)
    while played.elapsed < parameters.seconds * SECOND and not played.is_through():
        played.round()
    assert played.guilty_workflows() <= played.failed_at.keys()
    assert played.excess_starts == []
    assert played.world.history.violations == []


@pytest.mark.parametrize("outcome", [RunOutcome.LAPSED, RunOutcome.STOPPED, RunOutcome.LOST])
def test_starts_after_three_crashes_are_limited(outcome):
    """Guards against further starts of a task that does not run apart from others."""
    pool, task = crashed_pool(CRASHES_BEFORE_GUILT)
    pool.apply(workflow_accepted("b"))
    start(pool, pool.task("b/0/0/0"))
    for number in range(MAX_UNCLEARED_RUNS - CRASHES_BEFORE_GUILT):
        assert not pool.workflows["a"].is_ended, number
        start(pool, task)
        end(pool, task, outcome)
    assert pool.workflows["a"].state == "failed"
    assert pool.ready() == []


def test_run_on_a_silent_worker_counts_as_a_possible_crash():
    """Guards against further starts of a task after a crash that a cut hid from the owner."""
    pool, task = crashed_pool(1)
    task.crashes.is_suspected = False
    pool.apply(workflow_accepted("b"))
    start(pool, pool.task("b/0/0/0"), start_by_ms=9000)
    for outcome in (RunOutcome.LAPSED, RunOutcome.LOST, RunOutcome.LAPSED, RunOutcome.LOST):
        assert not pool.workflows["a"].is_ended
        start(pool, task)
        end(pool, task, outcome)
    assert pool.workflows["a"].state == "failed"


@pytest.mark.parametrize("lapsed", [1, 2])
@pytest.mark.parametrize("is_restored", [False, True])
def test_run_before_the_first_known_crash_counts_as_a_possible_crash(lapsed, is_restored):
    """Guards against one start too many after crashes that took the owner along."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    task = pool.task("a/0/0/0")
    pool.apply(workflow_accepted("b"))
    start(pool, pool.task("b/0/0/0"))
    lost = MAX_UNCLEARED_RUNS - lapsed
    for number, outcome in enumerate([RunOutcome.LAPSED] * lapsed + [RunOutcome.LOST] * lost):
        assert not pool.workflows["a"].is_ended
        if is_restored and number == lapsed:
            pool = Pool.from_snapshot(json.loads(json.dumps(pool.to_snapshot())))
            task = pool.task("a/0/0/0")
        start(pool, task)
        end(pool, task, outcome)
    assert pool.workflows["a"].state == "failed"


def test_start_that_never_took_place_is_not_counted():
    """Guards against giving up a task whose workers refuse its last starts."""
    pool, task = crashed_pool(CRASHES_BEFORE_GUILT)
    for _ in range(2 * MAX_UNCLEARED_RUNS):
        start(pool, task)
        end(pool, task, RunOutcome.UNSTARTED)
    assert pool.workflows["a"].state == "queued"


def test_survived_probation_clears_a_task_step_by_step():
    """Guards against a restart apart from others, for ever, of a service that runs well."""
    pool, task = crashed_pool(1)
    start(pool, task)
    assert [suspect.name for suspect in pool.trials()] == [task.name]
    survived = RunCheckpointed(task.name, task.run, task.checkpoint)
    assert pool.apply(survived)
    assert (pool.trials(), len(pool.crashed_tasks())) == ([], 1)
    assert pool.apply(survived)
    assert pool.crashed_tasks() == []
    assert not pool.apply(survived)


def test_snapshot_of_an_earlier_build_is_read():
    """Guards against an upgrade after which no process can own the pool."""
    pool, task = crashed_pool(2)
    state = json.loads(json.dumps(pool.to_snapshot()))
    assert Pool.from_snapshot(state).task(task.name).crashes == task.crashes
    del state["crashes"]
    assert Pool.from_snapshot(state).task(task.name).crashes is None


def test_caller_learns_of_it_at_once():
    """Guards against a caller that waits for a workflow that was given up."""
    world = make_world()
    world.submit("deadly", CHECK)
    counters = {}
    for _ in range(100):
        world.round()
        counters = world.owner()._metrics.snapshot().counters
        if "tasks_given_up" in counters:
            break
    assert world.shown("deadly") == "failed"
    assert world.call("submit", "deadly", b"").shown == "failed"
    assert counters["tasks_given_up"] == 1
    assert counters["runs_lost_with_worker"] == world.history.crashes
    assert world.submit("b").outcome == Outcome.OK


def crashed_pool(crashes):
    """Return a pool with one task, and the task after some crashes of other workers."""
    pool = Pool()
    pool.apply(workflow_accepted("a"))
    task = pool.task("a/0/0/0")
    for number in range(crashes):
        # A later start on the worker makes the task no suspect.
        pool.apply(workflow_accepted(f"b{number}"))
        other = pool.task(f"b{number}/0/0/0")
        start(pool, task, f"m{number}", 1000)
        start(pool, other, f"m{number}", 9000)
        end(pool, task, RunOutcome.LOST)
        end(pool, other, RunOutcome.DONE)
    if crashes and not task.is_suspected:
        task.crashes.is_suspected = True
    return pool, task


def start(pool, task, machine="m9", start_by_ms=5000):
    worker = f"w-{machine}"
    assert pool.apply(RunAssigned(task.name, task.run + 1, worker, "1", machine, start_by_ms))


def end(pool, task, outcome):
    assert pool.apply(RunEnded(task.name, task.run, outcome.value, 2000))

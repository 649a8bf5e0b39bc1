"""Tests of services that wait past their deadline beside room."""

import attrs
import pytest
from mulberryslip.capacities import WorkerCapacity
from mulberryslip.crashes import SUSPICION_WINDOW_MS, CrashRecord
from mulberryslip.dispatches import START_DEADLINE_MS, Dispatcher, estimated_run_time
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.health import EXCLUSION_PENALTY
from mulberryslip.models import Resources
from mulberryslip.refusals import Preference, Requirement
from mulberryslip.steps import StepSpec
from mulberryslip.workflows import Pool, RunOutcome
from pool_doubles import MS, SECOND, PoolWorld
from service_waits import Fleet, Play
from test_crashes import end, long_trials, start  # noqa: F401
from test_workflows import workflow_accepted

CAPACITY = Resources(64_000, 250_000)
SERVICE = StepSpec(cpu_millis=13_000, memory_mb=1000, lasting=True)
LASTING = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True)
CHECK = StepSpec(cpu_millis=1000, memory_mb=100)
SERVICE_MS = 3_600_000
NOW_MS = 100_000
MAX_START = START_DEADLINE_MS * MS + 2 * SECOND
"""Deadline, and the rounds and reports until a start and its listing."""


def make_worker(number, service="ledger", **changes):
    worker = WorkerCapacity(
        f"w{number}", "1", f"m{number}", service, "east", frozenset(), CAPACITY, CAPACITY, 64_000
    )
    for name, value in changes.items():
        setattr(worker, name, value)
    return worker


def make_service(count=1, crashes=None, step=SERVICE, wait_ms=START_DEADLINE_MS):
    pool = Pool()
    pool.apply(workflow_accepted("a", attrs.evolve(step, count=count)))
    tasks = pool.ready()
    for task in tasks:
        task.workflow.queue = attrs.evolve(task.workflow.queue, service="ledger")
        task.waiting_since_ms = NOW_MS - wait_ms
        task.crashes = attrs.evolve(crashes) if crashes else None
    return tasks


def schedule_overdue(tasks, workers, on_trial=(), passed_over=None):
    dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
    decisions = dispatcher.schedule_overdue(tasks, workers, list(on_trial), NOW_MS, passed_over)
    return [decision.worker.worker_id for decision in decisions]


@pytest.mark.parametrize(
    "changes",
    [
        {"penalty": EXCLUSION_PENALTY},
        {"pending_starts": 1000},
        {"is_probed": True},
        {"has_lost_starts": True},
        {"lowest_headrooms": {"i": 0.1}},
    ],
    ids=str,
)
@pytest.mark.parametrize("is_on_trial", [False, True])
@pytest.mark.parametrize("count", [0, 1, 3, 4])
def test_no_preference_keeps_an_overdue_service_from_the_only_worker(changes, is_on_trial, count):
    """Guards against reasons with a bound each that keep a service waiting one after another."""
    worker = make_worker(0, **changes)
    crashes = CrashRecord(count, True, count, tuple(f"m{n}" for n in range(count)))
    tasks = make_service(crashes=crashes if count else None)
    groups = ([], [worker]) if is_on_trial else ([worker], [])
    assert schedule_overdue(tasks, *groups) == ["w0"]


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "other"},
        {"free": Resources(12_999, 250_000)},
        {"steps": {"a/0": 1}},
    ],
    ids=str,
)
def test_requirements_bind_overdue_services(changes):
    """Guards against starts that a rule forbids."""
    tasks = make_service(step=attrs.evolve(SERVICE, max_per_worker=1))
    assert schedule_overdue(tasks, [make_worker(0, **changes)]) == []


@pytest.mark.parametrize(
    ("workers", "on_trial", "expected"),
    [
        ([{}], [{}], "w0"),
        ([{"penalty": EXCLUSION_PENALTY}, {}], [{}], "w1"),
        ([{"penalty": EXCLUSION_PENALTY}], [{}], "w0"),
        ([{"free": Resources(20_000, 9000)}, {"free": Resources(40_000, 9000)}], [], "w1"),
        ([{"free": Resources(1000, 9000)}], [{}], "w1"),
        ([{"machine": "crashed"}, {"free": Resources(20_000, 9000)}], [], "w1"),
    ],
)
def test_preferences_decide_between_workers(workers, on_trial, expected):
    """Guards against an overdue service on a worker on trial although another one has room."""
    numbers = iter(range(10))
    groups = [
        [make_worker(next(numbers), **changes) for changes in group]
        for group in (workers, on_trial)
    ]
    tasks = make_service(crashes=CrashRecord(1, True, 1, ("crashed",)))
    assert schedule_overdue(tasks, *groups) == [expected]


def test_overdue_services_start_in_the_reserve_after_short_tasks():
    """Guards against services that wait beside the reserve when nothing else needs it."""
    passed_over = {}
    workers = [make_worker(0)]
    tasks = make_service(count=5, step=attrs.evolve(SERVICE, cpu_millis=12_500))
    assert schedule_overdue(tasks, workers, passed_over=passed_over) == ["w0"] * 4
    assert list(passed_over.values()) == [Preference.SHORT_TASKS]
    assert schedule_overdue(tasks[-1:], workers) == ["w0"]


def test_reasons_are_either_requirements_or_preferences():
    """Guards against a reason that nobody has weighed."""
    assert not {reason.value for reason in Requirement} & {reason.value for reason in Preference}


@pytest.mark.usefixtures("long_trials")
def test_service_starts_beside_a_trial_once_it_is_overdue():
    """Guards against a service that waits for the end of a long trial on the only worker."""
    world = PoolWorld(1, run_ms=lambda name: SERVICE_MS)
    world.elect()
    world.run(3)
    pool = world.owner()._term.pool
    world.submit("suspect", attrs.evolve(LASTING, count=1))
    task = pool.task("suspect/0/0/0")
    task.crashes = CrashRecord(3, True, 3, ("m7", "m8", "m9"))
    pool._crashed[task.name] = task
    world.run(5)
    assert pool.trials() == [task]
    world.submit("service", LASTING)
    submitted_at = world.clock.monotonic()
    while "service/0/0/0" not in world.workers[0].runs:
        world.round()
        assert world.clock.monotonic() - submitted_at < MAX_START
    assert pool.trials() == [task]


@pytest.mark.parametrize("is_suspected", [False, True])
@pytest.mark.parametrize("gap_ms", [0, 300, 2000])
@pytest.mark.parametrize("first_ended", ["trial", "service"])
def test_crash_after_a_start_beside_a_trial_proves_nothing(is_suspected, gap_ms, first_ended):
    """Guards against a verdict on either of two tasks that ran together."""
    pool = Pool()
    for name in ("trial", "service"):
        pool.apply(workflow_accepted(name, LASTING))
    trial, service = pool.task("trial/0/0/0"), pool.task("service/0/0/0")
    trial.crashes = CrashRecord(2, True, 2, ("m1", "m2"))
    pool._crashed[trial.name] = trial
    if is_suspected:
        service.crashes = CrashRecord(2, True, 2, ("m1", "m2"))
        pool._crashed[service.name] = service
    start(pool, trial, "m9", 5000)
    start(pool, service, "m9", 5000 + gap_ms)
    tasks = [trial, service] if first_ended == "trial" else [service, trial]
    for task in tasks:
        end(pool, task, RunOutcome.LOST)
    assert not trial.workflow.is_ended
    assert not service.workflow.is_ended
    # Which of two tasks that started at the same time crashed the worker is open.
    assert service.is_suspected is (is_suspected or gap_ms <= SUSPICION_WINDOW_MS)


@pytest.mark.parametrize("shrunk", [2, 3, 4])
def test_service_starts_beside_room_after_capacities_have_shrunk(shrunk):
    """Guards against a reserve for short tasks that grows as the fleet shrinks.

    The workers that have shrunk still run more services than they have room for, so services seem
    to take more than their share although the other workers have room.
    """
    play = Play(Fleet(workers=6, slots_free=8))
    host = play.hosts()[0]
    others = sorted(
        (w for w in play.workers if w is not host), key=lambda worker: -len(worker.runs)
    )
    for worker in others[:shrunk]:
        worker.capacity = Resources(1000, 2000)
    play.advance(5)
    host.restart()
    play.advance(20)
    assert play.too_long() == {}
    assert play.world.history.violations == []

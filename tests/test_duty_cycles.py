"""Duty cycles of best-effort runs as an agent applies them, with calls that overlap or get lost."""

import contextlib
import random

import pytest
from mulberryslip.duty_cycles import FULL_PERCENT, HALT_ALL_AFTER_MS, DutyCycleController
from mulberryslip.models import Resources
from mulberryslip.runners import RunnerUnavailableError
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.wire import ttypes as wire
from mulberryslip.wire.ttypes import Outcome
from mulberryslipd.schedulers import START_WINDOW
from pool_doubles import MS, SECOND, PoolWorld

RUN_MS = 60_000
LISTING_PAUSE = 400 * MS
OBJECTIVE_MS = 50
IDLE_MS, CALM_MS, BUSY_MS = 12, 25, 60
"""Tail latencies of the service: with headroom for nearly two runs, with headroom for a part of a
run, and over its objective."""

SERVICE = StepSpec(cpu_millis=1000, memory_mb=100, lasting=True, target_ms=OBJECTIVE_MS, image="s")
BATCH = StepSpec(cpu_millis=2000, memory_mb=100, fills=True, image="b")
SPEC = WorkflowSpec("payload", (SERVICE, BATCH))
SERVICE_RUN, BATCH_RUN = ("a/0/0/0", 1), ("a/0/1/0", 1)


class AgentPlay:
    """One agent whose threads are played step by step, with commands that the test makes up."""

    def __init__(self):
        self.world = PoolWorld(workers=1, run_ms=lambda name: RUN_MS)
        self.world.elect()
        self.world.run(3)
        self.world.history.specs["a"] = SPEC
        self.world.clock.on_wait = lambda: None
        (self.worker,) = self.world.workers
        self.agent, self._directory = self.world.agents["w0"]
        self.worker.lease_until = self.worker.clock_ms() + RUN_MS
        self.set_tail(CALM_MS)

    def set_tail(self, tail_ms):
        self.worker.gauge_of = lambda name: tail_ms if name == SERVICE_RUN[0] else 0

    def fetch(self, key, spec):
        """Let the agent fetch the command for a run; return the command and its fencing token."""
        task, run = key
        profile = wire.RunProfile(
            task, spec.image, spec.fills, spec.cpu_millis, spec.target_ms, due_ms=0
        )
        start_by_ms = self.worker.clock_ms() + START_WINDOW // MS
        start = wire.RunStart(task, run, "payload", "", start_by_ms, profile)
        epoch, fence = self.agent._grant.epoch, self.agent._grant.fence
        channels, self.agent._channels = self.agent._channels, self
        self._reply = wire.OrdersReply(Outcome.OK, epoch, fence, [start], [])
        assert self.agent.fetch_commands(self._directory.owner())
        self.agent._channels = channels
        return start, fence

    def call(self, address, method, req, timeout):
        """Reply to the agent's request for commands."""
        return self._reply

    def start(self, key, spec):
        """Let the agent fetch a command and execute it."""
        self.fetch(key, spec)
        self.agent.execute_next_command()

    def list_runs(self, times=1):
        """Let the agent list the runs, without an owner, and set their duty cycles."""
        for _ in range(times):
            self.world.clock.advance(LISTING_PAUSE)
            self.agent.announce(self.worker.announcement())
            self.agent.renew_and_report(None)

    def list_until_all_are_halted(self):
        """Let the service violate its objective until all best-effort runs have to be halted."""
        self.set_tail(BUSY_MS)
        self.list_runs(times=1 + HALT_ALL_AFTER_MS * MS // LISTING_PAUSE)

    def percent(self, key=BATCH_RUN):
        """Return the duty cycle at which a run works."""
        return self.worker.duty_cycles.get(key, FULL_PERCENT)


@pytest.fixture(params=[False, True], ids=["present", "stable"])
def play(request):
    play = AgentPlay()
    play.agent._duty_cycles = DutyCycleController(play.agent._interferences, request.param)
    play.start(SERVICE_RUN, SERVICE)
    play.list_runs()
    return play


@pytest.mark.parametrize("is_listed_call_last", [True, False])
def test_run_that_is_listed_before_its_start_is_answered_is_halted(play, is_listed_call_last):
    """Guards against a run that is never paced again, as two duty cycles were set at once.

    The agent kept the one decided last as applied; the worker kept the one that arrived last.
    """
    set_duty_cycle = play.worker.set_duty_cycle

    def answer_start_meanwhile(*args):
        play.worker.set_duty_cycle = set_duty_cycle
        if not is_listed_call_last:
            set_duty_cycle(*args)
        play.agent.execute_next_command()
        if is_listed_call_last:
            set_duty_cycle(*args)

    play.worker.start("w0", *play.fetch(BATCH_RUN, BATCH))
    play.worker.set_duty_cycle = answer_start_meanwhile
    play.list_runs()
    assert not play.agent.has_pending_commands()
    assert 0 < play.percent() < FULL_PERCENT
    # Too early for a halt, which is repeated with each listing.
    play.set_tail(BUSY_MS)
    play.list_runs()
    assert play.percent() == 0


def test_initial_duty_cycle_that_arrives_late_is_replaced(play):
    """Guards against a run that works on as it began, as its first call overtook the second."""
    set_duty_cycle = play.worker.set_duty_cycle

    def list_runs_meanwhile(*args):
        play.worker.set_duty_cycle = set_duty_cycle
        play.set_tail(BUSY_MS)
        play.list_runs()
        set_duty_cycle(*args)

    play.worker.set_duty_cycle = list_runs_meanwhile
    play.start(BATCH_RUN, BATCH)
    assert 0 < play.percent() < FULL_PERCENT
    play.list_runs()
    assert play.percent() == 0


@pytest.mark.parametrize("run", [1, 2])
def test_profile_outlives_a_listing_from_before_its_start(play, run):
    """Guards against a run that is not paced, as a listing from before its start came late.

    The second run of a task has the name of the first, whose profile is known.
    """
    if run == 2:
        play.set_tail(IDLE_MS)
        play.start(BATCH_RUN, BATCH)
        # Until the headroom that is left for another run is known.
        play.list_runs(times=5)
        play.worker.stop("w0", *BATCH_RUN, play.agent._grant.fence)
        play.world.clock.advance(LISTING_PAUSE)
    extend_lease = play.worker.extend_lease

    def start_meanwhile(*args):
        play.worker.extend_lease = extend_lease
        listing = extend_lease(*args)
        play.start((BATCH_RUN[0], run), BATCH)
        return listing

    play.worker.extend_lease = start_meanwhile
    play.list_runs()
    assert play.percent((BATCH_RUN[0], run)) > 0
    play.list_until_all_are_halted()
    assert play.percent((BATCH_RUN[0], run)) == 0


def test_profile_outlives_a_start_without_an_answer(play):
    """Guards against a run that is not paced, as it started after its command had been given up."""
    is_first = iter([True, False])
    play.worker.loses_reply = lambda: next(is_first)
    play.start(BATCH_RUN, BATCH)
    play.list_runs()
    play.worker.run_delayed_starts()
    play.list_until_all_are_halted()
    assert play.percent() == 0


def test_profile_of_a_start_without_an_answer_is_dropped_after_its_deadline(play):
    """Guards against memory that grows with each start that never took place."""
    play.worker.loses_reply = lambda: True
    play.start(BATCH_RUN, BATCH)
    play.list_runs(times=2 + START_WINDOW // LISTING_PAUSE)
    assert BATCH_RUN[0] not in play.agent._profiles
    assert not play.agent._unanswered_starts


def test_halt_outlasts_an_earlier_call_that_takes_effect_late(play):
    """Guards against a run that works on, as a call given up before the halt took effect after it.

    A worker that hangs may process the calls that have piled up in any order.
    """
    set_duty_cycle = play.worker.set_duty_cycle
    late = []

    def lose_reply(*args):
        late.append(args)
        raise RunnerUnavailableError("no reply")

    play.worker.set_duty_cycle = lose_reply
    play.start(BATCH_RUN, BATCH)
    play.worker.set_duty_cycle = set_duty_cycle
    play.set_tail(BUSY_MS)
    play.list_runs()
    assert play.percent() == 0
    for args in late:
        set_duty_cycle(*args)
    assert play.percent() > 0
    play.list_until_all_are_halted()
    assert play.percent() == 0


@pytest.mark.parametrize("seed", range(40))
def test_all_best_effort_runs_are_halted_whatever_overlaps(play, seed):
    """Guards against orders of starts, listings and calls in which a run keeps its duty cycle."""
    rng = random.Random(seed)
    set_duty_cycle, extend_lease = play.worker.set_duty_cycle, play.worker.extend_lease
    late = []

    def execute_some():
        while play.agent.has_pending_commands() and rng.random() < 0.5:
            play.agent.execute_next_command()

    def set_late(*args):
        execute_some()
        if rng.random() < 0.2:
            late.append(args)
            raise RunnerUnavailableError("no reply")
        set_duty_cycle(*args)
        execute_some()

    def extend_late(*args):
        listing = extend_lease(*args)
        execute_some()
        return listing

    play.worker.set_duty_cycle, play.worker.extend_lease = set_late, extend_late
    play.worker.loses_reply = lambda: rng.random() < 0.2
    for number in range(6):
        command, fence = play.fetch((f"a/0/1/{number}", 1), BATCH)
        if rng.random() < 0.3:
            with contextlib.suppress(RunnerUnavailableError):
                play.worker.start("w0", command, fence)
        play.set_tail(rng.choice([IDLE_MS, CALM_MS, BUSY_MS]))
        play.list_runs()
        play.worker.run_delayed_starts()
    while play.agent.has_pending_commands():
        play.agent.execute_next_command()
    play.worker.run_delayed_starts()
    play.worker.loses_reply = lambda: False
    play.worker.set_duty_cycle, play.worker.extend_lease = set_duty_cycle, extend_lease
    play.list_runs()
    for args in late:
        set_duty_cycle(*args)
    play.list_until_all_are_halted()
    runs = [(run.task, run.run) for run in play.worker.runs.values() if run.spec.fills]
    assert runs
    assert {key: play.percent(key) for key in runs} == dict.fromkeys(runs, 0)


def test_run_without_a_profile_is_reported_at_once():
    """Guards against a run that is not paced until a slow owner is due for a report.

    An agent that has replaced another does not know the starts that the other one sent.
    """
    world = PoolWorld(workers=2, run_ms=lambda name: RUN_MS)
    owners_worker, worker = world.workers
    owners_worker.capacity = Resources()
    world.elect()
    world.run(3)
    worker.loses_reply = lambda: True
    world.submit("a", BATCH)
    world.run(1)
    world.start_process(worker)
    world.run(3)
    agent, directory = world.agents["w1"]
    for _ in range(20):
        agent._report_interval.observe(SECOND)
    worker.run_delayed_starts()
    assert set(worker.runs) == {"a/0/0/0"}
    assert not agent._profiles
    agent.renew_and_report(directory.owner())
    assert set(agent._profiles) == {"a/0/0/0"}

"""Paths on which something of one incarnation of a worker could count for another.

A worker that is back under its id has seen no fencing token, so it executes calls that were meant
for its earlier incarnation; see `docs/incidents`.
"""

import json
import random
from datetime import timedelta

import attrs
import pytest
from mulberryslip.duty_cycles import DutyCycleController
from mulberryslip.models import Resources
from mulberryslip.runners import RunnerFencedError
from mulberryslip.steps import StepSpec
from mulberryslip.wire.ttypes import Outcome
from mulberryslipd.members import Member
from mulberryslipd.schedulers import EXPIRY_INTERVAL, MEMBER_EXPIRY
from mulberryslipd.silences import silences_key
from pool_doubles import MAX_LEASE_TIMES, MS, SECOND, TIMES, PoolWorld
from test_duty_cycles import BATCH, BATCH_RUN, CALM_MS, SERVICE, SERVICE_RUN, AgentPlay

TASK = StepSpec(cpu_millis=1000, memory_mb=100)
ROUNDS_PER_SECOND = 5
RUN_MS = 30_000


def new_world(workers=3, run_ms=RUN_MS, times=MAX_LEASE_TIMES, seed=0):
    """Return a world whose owner is beside the last worker."""
    world = PoolWorld(
        workers,
        seed=seed,
        times=times,
        run_ms=lambda name: run_ms,
        max_lease=MAX_LEASE_TIMES.max_lease,
    )
    # Only the other workers get runs.
    world.workers[-1].capacity = Resources(0, 0, 0)
    world.elect(world.workers[-1])
    world.run(12 * ROUNDS_PER_SECOND)
    return world


def restart(world, worker):
    """Restart a worker under its id, and list its new incarnation."""
    worker.restart()
    world.run(2 * ROUNDS_PER_SECOND)


def outlast_expiry(world):
    """Let the time pass after which a silent worker without runs is removed."""
    for _ in range((MEMBER_EXPIRY + EXPIRY_INTERVAL) // SECOND + 2):
        world.run(ROUNDS_PER_SECOND)


def grant_of(world, worker):
    return world.agents[worker.id][0]._grant


def late_renewal(worker, grant):
    """Execute a renewal that was sent with an earlier grant."""
    worker.extend_lease(worker.id, grant.fence, grant.lease_until_ms, grant.ended_through, 0 * MS)


def run_until(world, is_reached, limit=30 * SECOND):
    """Run the world, with claims by any process, until a condition holds."""
    for _ in range(limit // SECOND * ROUNDS_PER_SECOND):
        if is_reached():
            return
        world.run_with_claims(1)
    raise AssertionError(f"not reached in {limit}")


def record_renewals(worker):
    """Return the list that receives the arguments of all later renewals of a worker's lease."""
    calls, extend_lease = [], worker.extend_lease

    def record(*args):
        calls.append(args)
        return extend_lease(*args)

    worker.extend_lease = record
    return calls


class LateStart:
    """Keeps the first start of a task from its worker until the test executes it."""

    def __init__(self, world):
        self.worker = None
        for worker in world.workers:
            worker.loses_reply = lambda: self.worker is None
        self._world = world

    def wait(self):
        """Run the world until the start was sent; return its worker."""
        run_until(self._world, self._take)
        return self.worker

    def _take(self):
        for worker in self._world.workers:
            if worker.delayed_starts:
                self.worker, self._call = worker, worker.delayed_starts.pop()
        return self.worker is not None

    def execute(self):
        """Execute the start; return why the worker refuses it."""
        return self.worker._start(*self._call[:2])


# Fencing tokens


@pytest.mark.parametrize("is_agent_restarted", [False, True])
def test_worker_that_was_forgotten_gets_runs_again(is_agent_restarted):
    """Guards against a token below the one that the worker knows: it then refuses every call."""
    world = new_world(run_ms=1000)
    worker, other, _ = world.workers
    other.capacity = Resources(0, 0, 0)
    restart(world, worker)
    world.isolate(worker)
    outlast_expiry(world)
    if is_agent_restarted:
        world.start_process(worker)
    world.reconnect(worker)
    world.run(3 * ROUNDS_PER_SECOND)
    world.submit("a", TASK)
    world.run(10 * ROUNDS_PER_SECOND)
    assert world.shown("a") == "completed"


def test_forgotten_worker_refuses_calls_to_its_earlier_incarnation():
    """Guards against a token that an earlier incarnation has had in the same term."""
    world = new_world()
    worker = world.workers[0]
    restart(world, worker)
    earlier = attrs.evolve(grant_of(world, worker))
    world.isolate(worker)
    outlast_expiry(world)
    worker.restart()
    world.reconnect(worker)
    world.run(3 * ROUNDS_PER_SECOND)
    assert grant_of(world, worker).incarnation == worker.incarnation
    with pytest.raises(RunnerFencedError):
        late_renewal(worker, earlier)


@pytest.mark.parametrize("restarts", [3, 1025])
def test_tokens_rise_with_each_incarnation_and_epoch(restarts):
    """Guards against an incarnation whose token is lower than that of one before it."""
    member = Member("w0")
    tokens = [0]
    for number in range(restarts):
        member._begin_incarnation(f"{number:04d}@w0")
        tokens.append(member.fence(7))
    tokens.append(Member("w0", incarnations=1).fence(8))
    assert all(earlier < later for earlier, later in zip(tokens, tokens[1:], strict=False))


# Ends


@pytest.mark.parametrize("acknowledged", [0, 3])
def test_end_that_a_late_renewal_acknowledges_is_not_repeated(acknowledged):
    """Guards against ends of the next incarnation that are acknowledged before they are heard.

    A worker executes a late start, the run ends, and a late renewal carries the number of ends that
    its earlier incarnation had listed.
    """
    world = new_world(2, run_ms=400)
    for number in range(acknowledged):
        world.submit(f"before-{number}", TASK)
        world.run(2 * ROUNDS_PER_SECOND)
    renewals = {worker.id: record_renewals(worker) for worker in world.workers}
    late = LateStart(world)
    world.submit("a", TASK)
    worker = late.wait()
    assert grant_of(world, worker).ended_through == acknowledged
    world.isolate(worker)
    worker.restart()
    assert late.execute() is None
    world.clock.advance(500 * MS)
    worker.extend_lease(*renewals[worker.id][-1])
    world.reconnect(worker)
    world.run(10 * ROUNDS_PER_SECOND)
    assert world.shown("a") == "completed"
    assert world.history.violations == []


# Starts that are executed late by a later incarnation


def end_at_deadline(world, worker):
    """Let the owner hear that the worker has not started the run by its deadline."""
    wait_for_next_run(world)
    worker.restart()


def end_at_second_restart(world, worker):
    """Let the owner hear of one restart, and restart the worker again."""
    worker.restart()
    wait_for_next_run(world)
    worker.restart()


def end_by_list_of_vms(world, worker):
    """Let the list of VMs show twice that the VM runs no worker, before it is back."""
    world.isolate(worker)
    worker.is_unreachable = worker.is_vm_off = True
    wait_for_next_run(world)
    worker.is_unreachable = worker.is_vm_off = False
    worker.restart()


def end_by_silence(world, worker):
    """Pause the agent with the start in hand, until its worker is given up."""
    world.frozen.add(worker.id)
    wait_for_next_run(world)
    worker.restart()


def wait_for_next_run(world):
    """Run the world until the task runs elsewhere."""
    run_until(world, lambda: world.history.starts)


@pytest.mark.parametrize(
    "end_run", [end_at_deadline, end_at_second_restart, end_by_list_of_vms, end_by_silence]
)
def test_start_that_the_next_incarnation_executes_late_runs_beside_no_other(end_run):
    """Guards against a start without a reply that takes effect after its run has been ended."""
    world = new_world()
    late = LateStart(world)
    world.submit("a", TASK)
    worker = late.wait()
    end_run(world, worker)
    late.execute()
    for other in world.workers:
        other.end_due_runs()
    running = [other.id for other in world.workers if "a/0/0/0" in other.runs]
    assert len(running) <= 1


@pytest.mark.parametrize("delay_ms", [0, 400, 1000, 2000])
@pytest.mark.parametrize("with_renewal", [False, True])
def test_run_of_an_unheard_incarnation_is_not_repeated(delay_ms, with_renewal):
    """Guards against an owner that counts from the last listing of an earlier incarnation.

    The worker is cut off with its agent when it gets a start. It restarts, and its new incarnation
    executes the start, which gives it the longest lease from then on.
    """
    world = new_world()
    late = LateStart(world)
    world.submit("a", TASK)
    worker = late.wait()
    world.isolate(worker)
    grant = grant_of(world, worker)
    worker.restart()
    world.clock.advance(delay_ms * MS)
    if with_renewal:
        late_renewal(worker, grant)
    assert late.execute() is None
    world.run(20 * ROUNDS_PER_SECOND)
    assert world.history.starts == 2
    assert world.history.violations == []


@pytest.mark.parametrize("is_planned", [True, False])
def test_run_of_an_unheard_incarnation_is_not_repeated_by_the_next_owner(is_planned):
    """Guards against the same across a change of the owner."""
    world = new_world(4)
    late = LateStart(world)
    world.submit("a", TASK)
    worker = late.wait()
    world.isolate(worker)
    if is_planned:
        world.owner().resign("planned stop")
    else:
        world.frozen.add(world.workers[-1].id)
    worker.restart()
    world.clock.advance(SECOND)
    assert late.execute() is None
    world.run_with_claims(25 * ROUNDS_PER_SECOND)
    assert world.history.starts == 2
    assert world.history.violations == []


# Records of earlier owners


def test_record_of_an_owner_without_the_longest_lease_is_not_relied_on():
    """Guards against ages that a build before, or its settings, counted by the pool's lease."""
    world = new_world(times=TIMES)
    world.times = MAX_LEASE_TIMES
    for worker in world.workers[:2]:
        world.start_process(worker)
    world.run(2 * ROUNDS_PER_SECOND)
    for worker in world.workers[:2]:
        grant = grant_of(world, worker)
        worker.restart()
        late_renewal(worker, grant)
    world.submit("a", TASK)
    run_until(world, lambda: world.history.starts)
    world.run(2)
    world.owner().resign("planned stop")
    assert json.loads(world.store.get(silences_key(0)).value)["ended_ms"]
    world.frozen.add(world.workers[-1].id)
    world.isolate(next(worker for worker in world.workers if worker.runs))
    world.run_with_claims(25 * ROUNDS_PER_SECOND)
    assert world.history.violations == []
    assert world.history.starts == 2


@pytest.mark.parametrize("early_changes", [0, 1, 2])
def test_settled_incarnation_stays_settled_while_owners_change(early_changes):
    """Guards against owners that drop from the record whom they have not heard yet."""
    world = new_world(5)
    *_, first, second = world.workers
    first.capacity = Resources(0, 0, 0)
    world.run(ROUNDS_PER_SECOND)
    for number in range(early_changes):
        world.owner().resign("planned stop")
        world.elect((first, second)[number % 2])
        world.run(ROUNDS_PER_SECOND)
    world.submit("a", attrs.evolve(TASK, lasting=True))
    run_until(world, lambda: world.history.starts)
    world.run(ROUNDS_PER_SECOND)
    worker = next(worker for worker in world.workers if worker.runs)
    world.isolate(worker)
    waited_from = world.clock.monotonic()
    world.owner().resign("planned stop")
    world.elect((first, second)[early_changes % 2])
    run_until(world, lambda: world.history.starts == 2)
    waited = world.clock.monotonic() - waited_from
    assert waited <= 2 * TIMES.store_lease + TIMES.max_silence + 4 * SECOND / ROUNDS_PER_SECOND
    assert world.history.violations == []


@pytest.mark.parametrize("is_resigned_early", [False, True])
def test_incarnation_whose_name_sorts_first_does_not_count_as_settled(is_resigned_early):
    """Guards against a clock that is set back while the agent and the owner change."""
    world = new_world(5)
    worker, *others, first, _ = world.workers
    for other in (*others, first):
        other.capacity = Resources(0, 0, 0)
    worker.incarnation_number = 8
    restart(world, worker)
    world.run(12 * ROUNDS_PER_SECOND)
    grant = grant_of(world, worker)
    if is_resigned_early:
        world.owner().resign("planned stop")
    worker.incarnation_number = 2
    worker.restart()
    late_renewal(worker, grant)
    world.start_process(worker)
    if not is_resigned_early:
        world.owner().resign("planned stop")
    world.elect(first)
    world.submit("a", TASK)
    run_until(world, lambda: world.history.starts)
    assert worker.runs
    for other in others:
        other.capacity = worker.capacity
    world.isolate(worker)
    run_until(world, lambda: world.history.starts == 2)
    assert world.history.violations == []


# Calls, announcements and grants of earlier incarnations that do no harm


def announce_later_start(world, worker):
    """Send an announcement of another writer under the worker's id, with a later start."""
    announcement = attrs.evolve(worker.announcement(), incarnation=f"9{worker.incarnation}")
    world.agents[worker.id][0].announce(announcement)


def announce_earlier_start(world, worker):
    """Send an announcement of the incarnation before, which was delayed."""
    earlier = f"{worker.incarnation_number - 1:04d}@{worker.id}"
    announcement = attrs.evolve(worker.announcement(), incarnation=earlier, sequence=10_000)
    world.agents[worker.id][0].announce(announcement)


def restart_agent(world, worker):
    """Restart the agent; an announcement of the incarnation before reaches it first."""
    world.start_process(worker)
    announce_earlier_start(world, worker)


def stop_late(world, worker):
    """Execute a stop of an earlier run of the task."""
    worker.stop(worker.id, "a/0/0/0", 0, grant_of(world, worker).fence - 1)


def acknowledge_late(world, worker):
    """Execute a renewal of the incarnation before, with the number of its last end."""
    grant = attrs.evolve(grant_of(world, worker), fence=0, ended_through=9)
    with pytest.raises(RunnerFencedError):
        late_renewal(worker, grant)


def pause_owner(world, worker):
    """Pause the owner for less than its permission."""
    world.frozen.add(world.workers[-1].id)
    world.run(ROUNDS_PER_SECOND)
    world.frozen.discard(world.workers[-1].id)


@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize(
    "disturb",
    [
        announce_later_start,
        announce_earlier_start,
        restart_agent,
        stop_late,
        acknowledge_late,
        pause_owner,
    ],
)
def test_run_goes_on_while_something_of_another_incarnation_arrives(disturb, is_restarted):
    """Guards against runs that are ended, repeated or not heard of for another incarnation."""
    world = new_world(run_ms=5000)
    if is_restarted:
        for worker in world.workers[:2]:
            restart(world, worker)
    world.submit("a", TASK)
    run_until(world, lambda: world.history.starts)
    worker = next(worker for worker in world.workers if worker.runs)
    world.run(ROUNDS_PER_SECOND)
    for _ in range(3):
        disturb(world, worker)
        world.run(2)
    world.run(6 * ROUNDS_PER_SECOND)
    assert world.shown("a") == "completed"
    assert world.history.starts == 1
    assert world.history.violations == []


def test_cut_off_worker_is_given_up_as_late_after_an_announcement_of_another_writer():
    """Guards against a wait that an announcement shortens, or that never ends."""
    world = new_world()
    world.submit("a", TASK)
    run_until(world, lambda: world.history.starts)
    worker = next(worker for worker in world.workers if worker.runs)
    world.run(2 * ROUNDS_PER_SECOND)
    announce_later_start(world, worker)
    world.run(2)
    world.isolate(worker)
    run_until(world, lambda: world.history.starts == 2, 2 * MAX_LEASE_TIMES.max_lease)
    assert world.history.violations == []


def test_owner_that_is_paused_in_a_round_sends_no_start_to_the_next_incarnation():
    """Guards against a start that was decided before the restart and sent after it."""
    world = new_world()
    write = world.store.put
    restarted = []

    def restart_meanwhile(*args):
        owner = world.owner()
        if not restarted and owner is not None and owner._term.pool.workers_with_runs():
            for worker in world.workers[:2]:
                restarted.append(worker.id)
                worker.restart()
                world.agents[worker.id][0].announce(worker.announcement())
                world.run_agent(worker)
        return write(*args)

    world.store.put = restart_meanwhile
    world.submit("a", TASK)
    run_until(world, lambda: world.history.starts)
    world.run(5 * ROUNDS_PER_SECOND)
    assert len(restarted) == 2
    assert world.history.starts == 1
    assert world.history.violations == []


@pytest.mark.parametrize("is_stable", [False, True])
def test_runs_of_the_next_incarnation_are_paced_although_its_clock_is_lower(is_stable):
    """Guards against a violation that is timed by the clock of an earlier incarnation."""
    play = AgentPlay()
    play.agent._duty_cycles = DutyCycleController(play.agent._interferences, is_stable)
    for _ in range(2):
        play.world.clock.advance(1000 * SECOND)
        play.world.owners["w0"].resign("planned stop")
        play.world.elect()
        play.world.run(2 * ROUNDS_PER_SECOND)
        play.worker.lease_until = play.worker.clock_ms() + RUN_MS
        play.worker.duty_cycles.clear()
        play.set_tail(CALM_MS)
        play.start(SERVICE_RUN, SERVICE)
        play.list_runs()
        play.start(BATCH_RUN, BATCH)
        play.list_runs(times=2)
        assert play.percent() > 0
        play.list_until_all_are_halted()
        assert play.percent() == 0
        play.worker.restart()


# Random plays

WORKFLOWS = 10
FAULTS_FOR = 45 * SECOND
CALM_FOR = 90 * SECOND
MAX_RESTARTS = 6


class Play:
    """Random restarts, cuts and changes of the owner; earlier renewals are executed late."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = PoolWorld(
            4,
            seed=seed,
            times=MAX_LEASE_TIMES,
            run_ms=lambda name: 3000 + 4000 * int(name.split("/")[0]) % 17_000,
            max_lease=MAX_LEASE_TIMES.max_lease,
        )
        self.world.elect(self.rng.choice(self.world.workers))
        self.world.run(12 * ROUNDS_PER_SECOND)
        self.restarts, self.submitted = 0, 0
        self.late_grants, self.reconnect_at = {}, {}
        self.trace = []

    def note(self, *what):
        self.trace.append((f"{self.world.clock.monotonic().total_seconds():.1f}", *what))

    def round(self):
        """Run one round, with renewals that arrive late between its parts."""
        if self.world.owner() is None:
            self.world.claim_if_free()
        self.world.round()

    def submit(self):
        if self.world.owner() is not None and self.submitted < WORKFLOWS:
            reply = self.world.submit(str(self.submitted), TASK)
            self.submitted += reply.outcome == Outcome.OK

    def restart(self):
        worker = self.rng.choice(self.world.workers)
        grant = grant_of(self.world, worker)
        losses = self.world.history.losses_by_task
        # A task that loses a third run so is given up, as it may be the cause.
        is_blamed = any(losses[name] >= 2 for name in worker.runs)
        is_known = grant.incarnation == worker.incarnation
        if self.restarts == MAX_RESTARTS or is_blamed or not is_known:
            return
        self.restarts += 1
        self.note("restart", worker.id)
        self.late_grants[worker.id] = attrs.evolve(grant)
        worker.restart()

    def renew_late(self):
        for worker in self.world.workers:
            grant = self.late_grants.get(worker.id)
            if grant is None or self.rng.random() < 0.5:
                continue
            try:
                late_renewal(worker, attrs.evolve(grant, ended_through=0))
                self.note("late renewal", worker.id)
            except RunnerFencedError:
                del self.late_grants[worker.id]

    def cut(self):
        worker = self.rng.choice(self.world.workers)
        owner = self.world.owner()
        # An owner without the store waits for it, which this world cannot play.
        if worker.id in self.reconnect_at or self.world.owners[worker.id] is owner:
            return
        self.note("cut", worker.id)
        self.world.isolate(worker)
        duration = self.rng.uniform(2, 14) * SECOND
        self.reconnect_at[worker.id] = self.world.clock.monotonic() + duration

    def change_owner(self):
        name = next((name for name, o in self.world.owners.items() if o.is_owner()), None)
        if name is None or name in self.reconnect_at:
            return
        is_planned = self.rng.random() < 0.5
        self.note("owner leaves", name, "planned" if is_planned else "paused")
        if is_planned:
            self.world.owners[name].resign("planned stop")
            return
        self.world.frozen.add(name)
        pause = self.rng.uniform(4, 9) * SECOND
        self.reconnect_at[name] = self.world.clock.monotonic() + pause

    def reconnect(self, is_over=False):
        for worker in self.world.workers:
            if is_over or self.world.clock.monotonic() >= self.reconnect_at.get(
                worker.id, timedelta.max
            ):
                self.reconnect_at.pop(worker.id, None)
                self.world.reconnect(worker)
                self.world.frozen.discard(worker.id)

    def run(self):
        for _ in range(FAULTS_FOR // SECOND * ROUNDS_PER_SECOND):
            for chance, action in (
                (0.1, self.submit),
                (0.05, self.restart),
                (0.04, self.cut),
                (0.02, self.change_owner),
            ):
                if self.rng.random() < chance:
                    action()
            self.renew_late()
            self.reconnect()
            self.round()
        self.reconnect(is_over=True)
        for _ in range(CALM_FOR // SECOND * ROUNDS_PER_SECOND):
            self.submit()
            self.round()


@pytest.mark.parametrize("seed", range(30))
def test_no_run_is_repeated_and_all_work_ends_after_random_restarts(seed):
    """Guards against combinations of restarts, late renewals, cuts and owners not thought of."""
    play = Play(seed)
    play.run()
    assert play.world.history.violations == [], play.trace
    shown = {str(number): play.world.shown(str(number)) for number in range(WORKFLOWS)}
    assert set(shown.values()) == {"completed"}, (shown, play.trace)

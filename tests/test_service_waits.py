"""States that keep a service from a worker with room; docs/design.md lists them.

Whatever the state, a service runs again within 9 s of its last run if there is room for it twice
over. A rule that forbids the start (labels, spread limits, data centres out of use) takes the room.
"""

import random
from collections.abc import Callable
from datetime import timedelta

import attrs
import pytest
from mulberryslip.crashes import CrashRecord
from mulberryslip.intervals import MAX_REPORT_INTERVAL
from mulberryslip.models import Resources
from mulberryslip.outages import SETTLING_TIME
from mulberryslip.runners import EndKind
from mulberryslip.steps import StepSpec
from mulberryslip.vms import LISTINGS_TO_CONFIRM
from mulberryslipd.agents import REPORT_INTERVAL
from mulberryslipd.ownerships import VM_CHECK_INTERVAL, PoolLeaseTimes
from mulberryslipd.pools import IDLE_INTERVAL
from mulberryslipd.schedulers import LOST_RUNS_INTERVAL, MAX_REPORT_AGE, START_WINDOW
from pool_doubles import CAPACITY
from service_waits import SERVICE, Fleet, Play

FLEETS = {"a third taken": Fleet(), "full": Fleet(slots_free=6), "small": Fleet(4)}
PLAY_SECONDS = 24
DELAYS = (0.0, 0.4, 1.0, 2.0, 4.0)
"""Times after which a state is imposed and the service ends, in seconds."""

COMBINATIONS = 20
FAULTS_AT_ONCE = {
    "trial at workers that refuse": (
        ("starts refused on two thirds", "service on trial again"),
        "crash",
        "full",
        3178,
    ),
    "trial at workers that lose starts": (
        (
            "starts lost on a third",
            "too many starts at once",
            "replaced by a newer worker",
        ),
        "crash",
        "small",
        3356,
    ),
    "last in order": (("crashes in series",), "crash", "full", 3284),
    "owner and store": (("store silent for 4 s", "owner off"), "cut off", "full", 3149),
    "four workers lose starts": (
        ("starts lost on two thirds, packed", "workers do not answer"),
        "crash of all",
        "a third taken",
        3427,
    ),
}
"""Combinations that a hunt has found: states, end, fleet and seed."""

CHECK = StepSpec(cpu_millis=1000, memory_mb=100)


@attrs.frozen
class State:
    """A state that may keep a service waiting.

    :param impose: brings the state about, from now on or later.
    :param spec: changes of the service's step.
    """

    impose: Callable[[Play], None]
    spec: dict = attrs.field(factory=dict)


def some(play, share=1 / 3):
    """Return some of the workers, not the owner's."""
    others = play.others()
    return play.rng.sample(others, min(len(others), max(1, round(len(play.workers) * share))))


def set_attribute(name, value, restored, seconds, share=1 / 3, has_room=True):
    """Return what sets an attribute of some workers for a time.

    :param has_room: whether the room of these workers counts.
    """

    def impose(play):
        for worker in some(play, share):
            setattr(worker, name, value)
            if not has_room:
                play.unusable[worker.machine] += 1
            play.at(seconds, lambda worker=worker: restore(play, worker))

    def restore(play, worker):
        setattr(worker, name, restored)
        if not has_room:
            play.unusable.subtract([worker.machine])

    return impose


def restart_agents(play):
    for worker in play.others():
        if worker.id not in play.world.frozen:
            play.world.start_process(worker)


def leave(play):
    for worker in some(play):
        worker.leaving = True
        play.at(4, worker.restart)


def replace_workers(play):
    for worker in some(play):
        if worker.id in play.world.frozen:
            continue
        worker.restart()
        worker.id = f"{worker.id.split('-')[0]}-{worker.incarnation_number}"
        play.world.update_worker_id(worker)


def suspect_others(play, count, lasting):
    name = f"{'x' if lasting else 'check-x'}{play.now.total_seconds()}"
    if play.world.owner() is None:
        return
    play.submit(name, attrs.evolve(CHECK, count=count, cpu_millis=100, lasting=lasting))
    if play.world.owner() is None:
        return
    pool = play.pool
    for index in range(count):
        task = pool.task(f"{name}/0/0/{index}")
        if task is not None:
            task.crashes = CrashRecord(1, True, 1, (play.workers[0].machine,))
            pool._crashed[task.name] = task


def suspect_service(crashes):
    def impose(play):
        if play.world.owner() is None:
            return
        machines = tuple(worker.machine for worker in play.workers[:crashes])
        for name in play.names("service"):
            task = play.pool.task(name)
            if task is not None and task.crashes is None:
                task.crashes = CrashRecord(crashes, True, crashes, machines)
                play.pool._crashed[name] = task

    return impose


def take_out(share, seconds):
    def impose(play):
        for worker in play.workers[: round(len(play.workers) * share)]:
            worker.data_centre = "west"
        # The workers report first that they are there.
        play.at(1, lambda: play.set_config(2, ["west"]))
        play.at(1 + seconds, lambda: play.set_config(3))

    return impose


def lose_replies(rate, seconds):
    def impose(play):
        play.world.reply_loss_rate = rate
        play.at(seconds, lambda: setattr(play.world, "reply_loss_rate", 0.0))

    return impose


def cut_from_owner(seconds):
    def impose(play):
        if play.owner_worker is None:
            return
        address = play.world.address(play.owner_worker)
        pairs = {(worker.id, address) for worker in some(play, 1 / 2)}
        play.world.cut |= pairs
        play.at(seconds, lambda: play.world.cut.difference_update(pairs))

    return impose


def freeze_config(seconds):
    def impose(play):
        for source in play.world.sources.values():
            source.is_frozen = True
            play.at(seconds, lambda source=source: setattr(source, "is_frozen", False))

    return impose


def switch_off_owner(play):
    if play.owner_worker is not None and len(play.world.frozen) < 2:
        play.world.switch_off(play.owner_worker)


def fail_checks(play):
    for worker in play.workers:
        worker.end_kind_of = lambda name: (
            EndKind.FAILED if name.startswith("check") else EndKind.DONE
        )
    play.every(0.6, 12, lambda: submit_checks(play, 6))


def submit_checks(play, count, **changes):
    if play.world.owner() is not None:
        name = f"check{play.now.total_seconds()}-{count}"
        play.world.submit(name, attrs.evolve(CHECK, count=count, **changes))


def burst(play):
    play.every(0.2, 3, lambda: submit_checks(play, 300, cpu_millis=10, memory_mb=10))


def halve_capacity(seconds):
    half = Resources(CAPACITY.cpu_millis // 2, CAPACITY.memory_mb // 2)
    return set_attribute("capacity", half, CAPACITY, seconds, 1 / 2)


def vary_capacity(play):
    chosen = some(play, 1 / 2)
    for worker in chosen:
        for turn in range(20):
            millis = CAPACITY.cpu_millis if turn % 2 else 7000
            value = Resources(millis, CAPACITY.memory_mb)
            play.at(
                turn * 0.4, lambda worker=worker, value=value: setattr(worker, "capacity", value)
            )


def lose_starts(share):
    return set_attribute("loses_reply", lambda: True, lambda: False, 20, share, has_room=False)


def miss_announcements(play):
    chosen = {worker.id for worker in some(play, 1 / 2)}
    for worker in play.workers:
        if worker.id in chosen:
            agent = play.world.agents[worker.id][0]
            announce, agent.announce = agent.announce, lambda announcement: None
            play.at(6, lambda agent=agent, announce=announce: setattr(agent, "announce", announce))
            play.unusable[worker.machine] += 1
            play.at(6, lambda worker=worker: play.unusable.subtract([worker.machine]))


def many_ends(play):
    for worker in play.workers:
        worker.max_listed_ends = 2
    play.every(0.4, 10, lambda: submit_checks(play, 12, cpu_millis=100))


def cancel_other(play):
    if play.world.owner() is not None:
        play.world.call("cancel", "filler")
        for name in play.names("filler"):
            del play._watched[name]


def crash_in_series(play):
    for number, worker in enumerate(play.workers):
        play.at(1.5 * number, lambda worker=worker: crash(worker))


def crash(worker):
    if not worker.is_down and not worker.is_vm_off:
        worker.crash()


STATES = {
    "nothing else": State(lambda play: None),
    "no listing yet": State(restart_agents),
    "leaving": State(leave),
    "process ended": State(lambda play: [crash(worker) for worker in some(play)]),
    "replaced by a newer worker": State(replace_workers),
    "checks on trial": State(lambda play: suspect_others(play, 24, False)),
    "services on trial": State(lambda play: suspect_others(play, 24, True)),
    "service on trial": State(suspect_service(1)),
    "service on trial again": State(suspect_service(2)),
    "service on trial, spread": State(suspect_service(1), {"max_per_worker": 1}),
    "data centre out": State(take_out(1 / 3, 30)),
    "all data centres out": State(take_out(1, 5)),
    "replies lost": State(lose_replies(0.3, 8)),
    "no recent report": State(cut_from_owner(4)),
    "configuration 2 s old": State(freeze_config(2)),
    "configuration too old": State(freeze_config(5)),
    "store silent for 2 s": State(lambda play: play.lose_store(2)),
    "store silent for 4 s": State(lambda play: play.lose_store(4)),
    "planned change of the owner": State(lambda play: play.change_owner()),
    "planned changes of the owner": State(lambda play: play.every(3, 4, play.change_owner)),
    "owner off": State(switch_off_owner),
    "excluded": State(fail_checks),
    "too many starts at once": State(burst),
    "spread limit": State(lambda play: None, {"max_per_worker": 1}),
    "label": State(lambda play: None, {"required_label": "rack-w1", "count": 1}),
    "packed": State(lambda play: None, {"target_ms": 50, "image": "a"}),
    "large memory": State(lambda play: None, {"memory_mb": 3500}),
    "capacity shrank": State(halve_capacity(4)),
    "capacity varies": State(vary_capacity),
    "starts lost on a third": State(lose_starts(1 / 3)),
    "starts lost on two thirds": State(lose_starts(2 / 3)),
    "starts lost on two thirds, packed": State(lose_starts(2 / 3), {"target_ms": 50, "image": "a"}),
    "starts refused on two thirds": State(
        set_attribute("is_unhealthy", True, False, 20, 2 / 3, has_room=False)
    ),
    "no announcements": State(miss_announcements),
    "workers do not answer": State(set_attribute("is_unreachable", True, False, 5)),
    "ends cut off": State(many_ends),
    "runs to stop": State(cancel_other),
    "crashes in series": State(crash_in_series),
    "crashes of all workers": State(lambda play: play.every(5, 3, play.crash_all)),
}

ENDS = {
    "ends": Play.end_by_itself,
    "crash": Play.crash_hosts,
    "crash of all": Play.crash_all,
    "VM off": Play.switch_off_host,
    "cut off": Play.cut_host,
}


def id_of(name):
    """Return a name without the spaces that KNOWN-RED.txt cannot hold."""
    return name.replace(",", "").replace(" ", "-")


def play_states(fleet, states, end, seed=0):
    """Impose states, end the service's runs and return the play at its end."""
    changes = {key: value for state in states for key, value in state.spec.items()}
    play = Play(fleet, attrs.evolve(SERVICE, **changes), seed)
    for state in states:
        play.at(play.rng.choice(DELAYS), lambda state=state: state.impose(play))
    play.at(play.rng.choice(DELAYS), lambda: end(play))
    play.advance(PLAY_SECONDS)
    return play


@pytest.mark.parametrize("fleet", FLEETS, ids=id_of)
@pytest.mark.parametrize("state", STATES, ids=id_of)
def test_service_beside_room_runs_again_in_each_state(state, fleet):
    """Guards against a filter, a limit or a wait that keeps a service from workers with room."""
    number = list(STATES).index(state) + list(FLEETS).index(fleet)
    end = list(ENDS)[number % len(ENDS)]
    play = play_states(FLEETS[fleet], [STATES[state]], ENDS[end], number)
    assert play.too_long() == {}, end
    assert play.world.history.violations == []


@pytest.mark.parametrize("seed", range(COMBINATIONS))
def test_service_beside_room_runs_again_in_combined_states(seed):
    """Guards against states that each end in time, but whose waits add up."""
    rng = random.Random(seed)
    names = rng.sample(list(STATES), rng.choice([2, 3]))
    end, fleet = rng.choice(list(ENDS)), rng.choice(list(FLEETS))
    play = play_states(FLEETS[fleet], [STATES[name] for name in names], ENDS[end], seed)
    assert play.too_long() == {}, (names, end, fleet)
    assert play.world.history.violations == [], (names, end, fleet)


@pytest.mark.parametrize("case", FAULTS_AT_ONCE, ids=id_of)
def test_service_beside_room_runs_again_after_faults_at_once(case):
    """Guards against waits that were found in combined states."""
    names, end, fleet, seed = FAULTS_AT_ONCE[case]
    play = play_states(FLEETS[fleet], [STATES[name] for name in names], ENDS[end], seed)
    assert play.too_long() == {}


TIMES = PoolLeaseTimes()
SETTLED = SETTLING_TIME + LOST_RUNS_INTERVAL + IDLE_INTERVAL
VM_LISTED = MAX_REPORT_AGE + LISTINGS_TO_CONFIRM * VM_CHECK_INTERVAL
MAX_ONLY_BOOKED = {
    "start lost": START_WINDOW + MAX_REPORT_INTERVAL + IDLE_INTERVAL,
    "process ended": REPORT_INTERVAL + SETTLED,
    "VM off": VM_LISTED + SETTLED,
    "VM off, no list": TIMES.max_silence + LOST_RUNS_INTERVAL + IDLE_INTERVAL,
    "end not committed": REPORT_INTERVAL + IDLE_INTERVAL,
}
"""Longest times for which the owner counts a run that its worker does not have."""


@pytest.mark.parametrize("case", MAX_ONLY_BOOKED, ids=id_of)
def test_room_of_runs_that_workers_do_not_have_is_soon_free(case):
    """Guards against room that only the owner's book takes, while the workers are idle."""
    play = Play()
    host = next(worker for worker in play.hosts())
    if host is play.owner_worker:
        play.change_owner()
        play.advance(1)
    play.longest_only_booked = timedelta()
    if case == "start lost":
        for worker in play.workers:
            worker.loses_reply = lambda: True
        play.end_by_itself()
    elif case == "process ended":
        # So many that it is left open whether it is an outage.
        for worker in {host.id: host, **{w.id: w for w in play.others()[:3]}}.values():
            worker.crash()
    elif case == "end not committed":
        play.end_by_itself()
        play.lose_store(2)
    else:
        play.world.inventory.is_down = case == "VM off, no list"
        play.world.switch_off(host)
    play.advance(12)
    assert play.longest_only_booked <= MAX_ONLY_BOOKED[case]
    assert bool(play.waiting()) is (case == "start lost")


@pytest.mark.parametrize("agent_restarts", [False, True])
def test_worker_that_has_left_gets_no_run_from_the_next_owner(agent_restarts):
    """Guards against an owner that knows nothing of workers that left under the one before."""
    play = Play()
    left = play.others()[0]
    left.leaving = True
    play.advance(0.4)
    if agent_restarts:
        play.world.start_process(left)
    play.change_owner()
    before = set(left.highest_runs.items())
    submit_checks(play, 60, cpu_millis=100)
    play.advance(3)
    assert set(left.highest_runs.items()) == before


def test_owner_whose_key_was_withdrawn_is_not_used_after_restarts():
    """Guards against a process that acts on a key that was deleted while it was down."""
    play = Play()
    first = play.owner_worker
    epoch = play.world.owner()._term.epoch
    play.world.frozen.add(first.id)
    play.world.store.delete("pools/0/owner", epoch)
    play.world.elect(play.others()[0])
    play.world.frozen.discard(first.id)
    play.world.start_process(first)
    for worker in play.others():
        play.world.start_process(worker)
    play.advance(2)
    assert not play.world.owners[first.id].is_owner() or play.world.owner()._term.epoch > epoch
    for agent, directory in play.world.agents.values():
        assert directory.owner().epoch > epoch
        assert agent._grant.epoch > epoch
    assert play.world.history.violations == []

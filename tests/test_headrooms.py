"""Filling runs beside services: how much images press on each other, and how the pace follows."""

import math
import random
from datetime import timedelta

import pytest
from mulberryslip.headrooms import (
    NEGLIGIBLE_INTERFERENCE,
    Demand,
    Neighbour,
    Pressure,
    PressureModel,
    allocate_headroom,
)
from mulberryslip.paces import (
    FULL_PERCENT,
    HALT_AFTER_MS,
    HALT_ALL_AFTER_MS,
    VIOLATION_BACKOFF,
    PaceControl,
)
from mulberryslip.runners import RunningRun, RunProfile

SECOND = timedelta(seconds=1)
TARGET_MS = 100
IDLE_TAIL_MS = 20
CPU_MILLIS = 32_000
HARM = timedelta(seconds=4)
"""Time over its target from which on a service counts as harmed."""


def serving(image, tail, name="s"):
    return Neighbour(
        RunningRun(f"{name}-{image}", 1, "", 100, tail),
        RunProfile(f"{name}-{image}", image, False, 13_000, TARGET_MS),
    )


def filling(image, use=6000, name="f", due_ms=0):
    return Neighbour(
        RunningRun(f"{name}-{image}", 1, "", 40, use),
        RunProfile(f"{name}-{image}", image, True, 6000, 0, due_ms),
    )


def tail_of(load, press):
    """Return the tail of a service by its load and by what filling runs press on it."""
    free = max(0.02, 1 - load - press * IDLE_TAIL_MS / TARGET_MS)
    return int(IDLE_TAIL_MS / free)


def model_of(*pressures):
    model = PressureModel()
    model.give(Pressure(*row) for row in pressures)
    return model


def control_of(model, *fills):
    """Return a pace control that has started some filling runs, without services beside them."""
    control = PaceControl(model)
    for fill in fills:
        assert control.open(fill.profile, fill.row.run, CPU_MILLIS) == FULL_PERCENT
    return control


def percents(changes):
    return {change.task: change.percent for change in changes}


def test_only_the_pair_that_presses_is_slowed_down():
    """Guards against all batch work being held back for one image that disturbs a service.

    The load is that of a day on which one of three filling images presses on one of two services,
    the images run beside each other in all combinations, and the services' own load swings.
    """
    model = PressureModel()
    rng = random.Random(1)
    fills = set()
    for turn in range(400):
        now = turn * SECOND / 2
        if turn % 3 == 0:
            fills = {image for image in "xyz" if rng.random() < 0.5}
        load = 0.45 + 0.2 * math.sin(turn / 5)
        press = 6.0 * 6000 / CPU_MILLIS if "x" in fills else 0.0
        tails = {"p": tail_of(load, press), "q": tail_of(load, 0)}
        neighbours = [serving(image, tail) for image, tail in tails.items()]
        neighbours += [filling(image) for image in sorted(fills)]
        model.observe("w", now, neighbours, CPU_MILLIS)
    assert 6.0 / 2 < model.interference("x", "p") < 6.0 * 2
    others = [(f, s) for f in "xyz" for s in "pq" if (f, s) != ("x", "p")]
    assert all(model.interference(*pair) < NEGLIGIBLE_INTERFERENCE for pair in others)
    assert {(p.filling, p.serving) for p in model.known({"x"}, {"p"})} == {("x", "p")}


def observe(model, *listings, start=0):
    for number, neighbours in enumerate(listings):
        model.observe("w", (start + 0.5 * number) * SECOND, neighbours, CPU_MILLIS)


@pytest.mark.parametrize(
    ("before", "after", "rises"),
    [
        ((40, 0), (300, 6000), True),
        ((40, 0), (40, 6000), False),
        ((40, 6000), (300, 6000), None),
        ((900, 12_000), (700, 6000), None),
        ((0, 0), (300, 6000), None),
    ],
)
def test_what_two_listings_tell(before, after, rises):
    """Guards against blame without a change, and against relief by a queue that only drains."""
    model = PressureModel()
    at_first = model.interference("x", "p")
    observe(
        model,
        *[[serving("p", tail), filling("x", use)] for tail, use in (before, after)],
    )
    change = model.interference("x", "p") - at_first
    assert change == 0 if rises is None else (change > 0) is rises


def test_evidence_fades():
    """Guards against a pair kept apart for ever, although what they do changes with their load."""
    model = PressureModel()
    pairs = [[serving("p", 40), filling("x", 0)], [serving("p", 100), filling("x")]] * 10
    observe(model, *pairs)
    assert model.interference("x", "p") > NEGLIGIBLE_INTERFERENCE
    calm = [[serving("p", 40), filling("x", 0)], [serving("p", 40), filling("x")]] * 60
    observe(model, *calm, start=300)
    assert model.interference("x", "p") < NEGLIGIBLE_INTERFERENCE


def test_what_another_process_knows_goes_first_and_stays():
    """Guards against an agent that forgets everything when a new owner knows nothing yet."""
    model = model_of(("x", "p", 7.0))
    model.give([])
    assert model.interference("x", "p") == 7.0


def test_run_that_has_just_started_is_not_taken_as_harmless():
    """Guards against a pair that seems to get along since the tail follows with a delay.

    The tail shows a part of what the run presses in the first listing, and the rest in the next.
    """
    model = PressureModel()
    for turn in range(12):
        start = turn * 4.0
        for at, tail, use in ((0, 40, 0), (0.4, 50, 6000), (0.8, 65, 6000), (1.2, 70, 6000)):
            listing = [serving("p", tail), filling("x", use)]
            model.observe("w", (start + at) * SECOND, listing, CPU_MILLIS)
    # The headroom falls from 2.5 to 1.43 by a run that uses 3 / 16 of the worker.
    assert model.interference("x", "p") > 1.07 / (6000 / CPU_MILLIS)


def test_usual_headroom_leaves_the_filling_runs_out():
    """Guards against a worker that looks full for what its filling runs press at the moment."""
    model = PressureModel()
    observe(model, *[[serving("p", 50), filling("x", 6000)]] * 20)
    assert model.level("w", "p") > TARGET_MS / 50
    assert model.lows("w") == {"p": 2.0}
    model.forget("w")
    assert (model.level("w", "p"), model.lows("w")) == (None, {})


def test_what_comes_first_gets_headroom_first():
    """Guards against work that is due last and takes what the first needs."""
    model = model_of(("x", "p", 8.0), ("y", "p", 4.0), ("z", "p", 0.5))
    demands = [Demand("x", 0.1), Demand("y", 0.1), Demand("z", 0.1)]
    shares, left = allocate_headroom(demands, [("p", 1.0)], model)
    assert shares == pytest.approx([0.1, 0.05, 0.1])
    assert left == [("p", 0.0)]


def test_pace_keeps_the_headroom_of_a_service():
    """Guards against a service near its target that filling runs take over it."""
    model = model_of(("x", "p", 8.0), ("y", "p", 0.1))
    fills = [filling("x"), filling("y")]
    control = control_of(model, *fills)
    changes = control.update([serving("p", 95), *fills], CPU_MILLIS, 1000)
    (slowed,) = changes
    assert slowed.task == "f-x"
    assert 0 < slowed.percent < FULL_PERCENT


def test_work_that_is_due_first_gets_the_pace():
    """Guards against many workflows that are all late since they share the headroom alike."""
    model = model_of(("x", "p", 8.0), ("y", "p", 8.0))
    fills = [filling("x", 3000, due_ms=2000), filling("y", 3000, due_ms=1000)]
    control = control_of(model, *fills)
    paces = percents(control.update([serving("p", 70), *fills], CPU_MILLIS, 1000))
    assert paces.get("f-y", FULL_PERCENT) > paces["f-x"]


@pytest.mark.parametrize(
    ("over_ms", "halted"),
    [
        (HALT_AFTER_MS - 100, set()),
        (HALT_AFTER_MS, {"f-x"}),
        (HALT_ALL_AFTER_MS, {"f-x", "f-y"}),
    ],
)
def test_filling_runs_are_halted_when_a_service_stays_over_its_target(over_ms, halted):
    """Guards against a service that one disturber after the other keeps over its target for 4 s."""
    control = control_of(model_of(("x", "p", 8.0), ("y", "p", 0.0)), filling("x"), filling("y"))
    neighbours = [serving("p", 130), filling("x", 100), filling("y")]
    paces = percents(control.update(neighbours, CPU_MILLIS, 1000))
    paces |= percents(control.update(neighbours, CPU_MILLIS, 1000 + over_ms))
    assert {task for task, percent in paces.items() if percent == 0} >= halted
    assert (paces.get("f-y", FULL_PERCENT) == 0) is ("f-y" in halted)


def test_pace_comes_back_when_the_service_is_calm():
    """Guards against batch work that stays slow after a wave of load."""
    control = control_of(model_of(("x", "p", 6.0)), filling("x"))
    percent = control.update([serving("p", 130), filling("x")], CPU_MILLIS, 1000)[0].percent
    assert percent <= FULL_PERCENT * VIOLATION_BACKOFF
    for turn in range(10):
        calm = [serving("p", 25), filling("x", 60 * percent)]
        for change in control.update(calm, CPU_MILLIS, 2000 + turn * 400):
            percent = change.percent
    assert percent == FULL_PERCENT


@pytest.mark.parametrize("tail", [130, 25])
def test_pace_that_was_not_set_is_decided_again(tail):
    """Guards against a run that keeps a wrong pace because one call was lost."""
    control = control_of(model_of(("x", "p", 8.0)), filling("x"))
    (first,) = control.update([serving("p", 130), filling("x", 100)], CPU_MILLIS, 1000)
    control.forget(first)
    changes = []
    for turn in range(8):
        changes = control.update([serving("p", tail), filling("x", 100)], CPU_MILLIS, 1100 + turn)
        if changes:
            control.forget(changes[0])
    assert len(changes) == 1


def test_run_starts_at_the_pace_that_is_left():
    """Guards against a run that works at full speed beside a busy service until it is listed."""
    control = PaceControl(model_of(("x", "p", 8.0)))
    control.update([serving("p", 65)], CPU_MILLIS, 1000)
    profile = filling("x").profile
    percent = control.open(profile, 1, CPU_MILLIS)
    assert percent < FULL_PERCENT
    # It is listed after the next update, and then has the pace that was set at its start.
    control.update([serving("p", 65)], CPU_MILLIS, 1100)
    changes = control.update([serving("p", 20), filling("x", 0)], CPU_MILLIS, 1500)
    assert percent < percents(changes)["f-x"] < FULL_PERCENT
    assert control.open(serving("p", 65).profile, 1, CPU_MILLIS) == FULL_PERCENT


def test_pace_of_an_earlier_process_is_set_anew():
    """Guards against a run that stays halted since the agent that halted it was restarted."""
    control = PaceControl(PressureModel())
    assert percents(control.update([filling("x", 0)], CPU_MILLIS, 1000)) == {"f-x": FULL_PERCENT}
    assert control.update([filling("x", 0)], CPU_MILLIS, 1400) == []


def test_service_without_filling_runs_is_left_alone():
    """Guards against pace orders where nothing fills."""
    assert PaceControl(PressureModel()).update([serving("p", 500)], CPU_MILLIS, 1000) == []


def play(is_paced, seconds=60, step_ms=400):
    """Play a worker with two services under a swinging load and four filling runs.

    One of the filling images presses on one of the services by 6, from a half to twice that within
    seconds. Tails follow within half a second.

    :returns: longest time over the target in a row, and the work of the filling runs in core
        seconds.
    """
    rng = random.Random(5)
    model = PressureModel()
    control = PaceControl(model)
    paces = {}
    tails = {"p": 40.0, "q": 40.0}
    over_ms, longest_ms, work = {"p": 0, "q": 0}, 0, 0.0
    for turn in range(seconds * 1000 // step_ms):
        now_ms = turn * step_ms
        names = [("x", "1"), ("x", "2"), ("y", "1"), ("y", "2")]
        uses = {f"{n}-{i}": 4000 * paces.get(f"{n}-{i}", FULL_PERCENT) // 100 for i, n in names}
        work += sum(uses.values()) / 1000 * step_ms / 1000
        swing = 2 ** math.sin(turn / 9)
        press = 6.0 * swing * (uses["1-x"] + uses["2-x"]) / CPU_MILLIS
        for image, phase, pressed in (("p", 0.0, press), ("q", 2.0, 0.0)):
            load = 0.45 + 0.22 * math.sin(turn / 7 + phase)
            tails[image] += 0.6 * (tail_of(load, pressed) * rng.uniform(0.9, 1.1) - tails[image])
            over_ms[image] = over_ms[image] + step_ms if tails[image] >= TARGET_MS else 0
            longest_ms = max(longest_ms, over_ms[image])
        neighbours = [serving(image, max(1, int(tail))) for image, tail in tails.items()]
        neighbours += [filling(image, uses[f"{name}-{image}"], name) for image, name in names]
        model.observe("w", now_ms * SECOND / 1000, neighbours, CPU_MILLIS)
        if is_paced:
            paces |= percents(control.update(neighbours, CPU_MILLIS, now_ms))
    return timedelta(milliseconds=longest_ms), work


def test_services_are_not_harmed_and_batch_work_goes_on():
    """Guards against services that batch work holds over their targets, and work that stops.

    Without pace one service is over its target for longer than counts as harm. With it none is, and
    the work that does not press goes on: it is half of all.
    """
    harmed, all_work = play(is_paced=False)
    longest, work = play(is_paced=True)
    assert harmed > HARM
    assert longest < HARM / 2
    assert work > all_work / 2

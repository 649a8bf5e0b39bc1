"""Interference between images, and the duty cycles of best-effort runs that follow from it."""

import math
import random
from datetime import timedelta

import pytest
from mulberryslip.duty_cycles import (
    FULL_PERCENT,
    HALT_AFTER_MS,
    HALT_ALL_AFTER_MS,
    VIOLATION_BACKOFF,
    DutyCycleController,
)
from mulberryslip.headrooms import (
    NEGLIGIBLE_INTERFERENCE,
    ColocatedRun,
    Demand,
    ImageInterference,
    InterferenceModel,
    allocate_headroom,
)
from mulberryslip.runners import RunningRun, RunProfile

SECOND = timedelta(seconds=1)
OBJECTIVE_MS = 100
IDLE_TAIL_MS = 20
CPU_MILLIS = 32_000
HARM = timedelta(seconds=4)
"""Duration of a violation of its latency objective from which a service counts as harmed."""


def service(image, tail, name="s"):
    return ColocatedRun(
        RunningRun(f"{name}-{image}", 1, "", 100, tail),
        RunProfile(f"{name}-{image}", image, False, 13_000, OBJECTIVE_MS),
    )


def best_effort(image, use=6000, name="f", due_ms=0):
    return ColocatedRun(
        RunningRun(f"{name}-{image}", 1, "", 40, use),
        RunProfile(f"{name}-{image}", image, True, 6000, 0, due_ms),
    )


def tail_of(load, headroom_decrease):
    """Return the tail latency of a service for its load and the decrease of its headroom."""
    free = max(0.02, 1 - load - headroom_decrease * IDLE_TAIL_MS / OBJECTIVE_MS)
    return int(IDLE_TAIL_MS / free)


def model_of(*interferences):
    model = InterferenceModel()
    model.accept_estimates(ImageInterference(*row) for row in interferences)
    return model


def controller_of(model, *runs):
    """Return a controller that has started some best-effort runs on a worker without services."""
    controller = DutyCycleController(model)
    for run in runs:
        assert (
            controller.initial_percent(run.profile, run.listed_run.run, CPU_MILLIS) == FULL_PERCENT
        )
    return controller


def percents(changes):
    return {change.task: change.percent for change in changes}


def test_only_the_interfering_pair_gets_a_high_estimate():
    """Guards against slowing down all batch work because one image interferes with a service.

    One of three best-effort images interferes with one of two services. The images run together in
    all combinations, and the load of the services varies.
    """
    model = InterferenceModel()
    rng = random.Random(1)
    runs = set()
    for turn in range(400):
        now = turn * SECOND / 2
        if turn % 3 == 0:
            runs = {image for image in "xyz" if rng.random() < 0.5}
        load = 0.45 + 0.2 * math.sin(turn / 5)
        headroom_decrease = 6.0 * 6000 / CPU_MILLIS if "x" in runs else 0.0
        tails = {"p": tail_of(load, headroom_decrease), "q": tail_of(load, 0)}
        colocated_runs = [service(image, tail) for image, tail in tails.items()]
        colocated_runs += [best_effort(image) for image in sorted(runs)]
        model.observe("w", now, colocated_runs, CPU_MILLIS)
    assert 6.0 / 2 < model.interference("x", "p") < 6.0 * 2
    others = [(f, s) for f in "xyz" for s in "pq" if (f, s) != ("x", "p")]
    assert all(model.interference(*pair) < NEGLIGIBLE_INTERFERENCE for pair in others)
    assert {
        (p.best_effort_image, p.latency_critical_image)
        for p in model.known_interferences({"x"}, {"p"})
    } == {("x", "p")}


def observe(model, *listings, start=0):
    for number, colocated_runs in enumerate(listings):
        model.observe("w", (start + 0.5 * number) * SECOND, colocated_runs, CPU_MILLIS)


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
def test_estimate_changes_only_with_evidence(before, after, rises):
    """Guards against estimates raised without a change, or lowered while a queue drains."""
    model = InterferenceModel()
    at_first = model.interference("x", "p")
    observe(
        model,
        *[[service("p", tail), best_effort("x", use)] for tail, use in (before, after)],
    )
    change = model.interference("x", "p") - at_first
    assert change == 0 if rises is None else (change > 0) is rises


def test_old_evidence_loses_weight():
    """Guards against a pair kept apart forever although its interference changes with load."""
    model = InterferenceModel()
    pairs = [[service("p", 40), best_effort("x", 0)], [service("p", 100), best_effort("x")]] * 10
    observe(model, *pairs)
    assert model.interference("x", "p") > NEGLIGIBLE_INTERFERENCE
    low_load = [[service("p", 40), best_effort("x", 0)], [service("p", 40), best_effort("x")]] * 60
    observe(model, *low_load, start=300)
    assert model.interference("x", "p") < NEGLIGIBLE_INTERFERENCE


def test_received_estimates_take_precedence_and_are_kept():
    """Guards against an agent that discards its estimates when a new owner has none yet."""
    model = model_of(("x", "p", 7.0))
    model.accept_estimates([])
    assert model.interference("x", "p") == 7.0


def test_delayed_tail_latency_does_not_hide_interference():
    """Guards against an estimate that is too low because the tail latency follows with a delay.

    The tail latency shows a part of the interference in the first listing and the rest in the next.
    """
    model = InterferenceModel()
    for turn in range(12):
        start = turn * 4.0
        for at, tail, use in ((0, 40, 0), (0.4, 50, 6000), (0.8, 65, 6000), (1.2, 70, 6000)):
            listing = [service("p", tail), best_effort("x", use)]
            model.observe("w", (start + at) * SECOND, listing, CPU_MILLIS)
    # A run that uses 3 / 16 of the worker decreases the headroom from 2.5 to 1.43.
    assert model.interference("x", "p") > 1.07 / (6000 / CPU_MILLIS)


def test_baseline_headroom_excludes_best_effort_runs():
    """Guards against a worker that looks full because of its current best-effort runs."""
    model = InterferenceModel()
    observe(model, *[[service("p", 50), best_effort("x", 6000)]] * 20)
    assert model.baseline_headroom("w", "p") > OBJECTIVE_MS / 50
    assert model.lowest_headrooms("w") == {"p": 2.0}
    model.forget("w")
    assert (model.baseline_headroom("w", "p"), model.lowest_headrooms("w")) == (None, {})


def test_headroom_is_allocated_in_order():
    """Guards against runs with a later deadline that take the headroom of more urgent ones."""
    model = model_of(("x", "p", 8.0), ("y", "p", 4.0), ("z", "p", 0.5))
    demands = [Demand("x", 0.1), Demand("y", 0.1), Demand("z", 0.1)]
    shares, left = allocate_headroom(demands, [("p", 1.0)], model)
    assert shares == pytest.approx([0.1, 0.05, 0.1])
    assert left == [("p", 0.0)]


def test_duty_cycle_preserves_the_headroom_of_a_service():
    """Guards against best-effort runs that make a service near its objective violate it."""
    model = model_of(("x", "p", 8.0), ("y", "p", 0.1))
    runs = [best_effort("x"), best_effort("y")]
    controller = controller_of(model, *runs)
    changes = controller.update([service("p", 95), *runs], CPU_MILLIS, 1000)
    (slowed,) = changes
    assert slowed.task == "f-x"
    assert 0 < slowed.percent < FULL_PERCENT


def test_earliest_deadline_gets_the_highest_duty_cycle():
    """Guards against workflows that are all late because they share the headroom equally."""
    model = model_of(("x", "p", 8.0), ("y", "p", 8.0))
    runs = [best_effort("x", 3000, due_ms=2000), best_effort("y", 3000, due_ms=1000)]
    controller = controller_of(model, *runs)
    duty_cycles = percents(controller.update([service("p", 70), *runs], CPU_MILLIS, 1000))
    assert duty_cycles.get("f-y", FULL_PERCENT) > duty_cycles["f-x"]


@pytest.mark.parametrize(
    ("over_ms", "halted"),
    [
        (HALT_AFTER_MS - 100, set()),
        (HALT_AFTER_MS, {"f-x"}),
        (HALT_ALL_AFTER_MS, {"f-x", "f-y"}),
    ],
)
def test_best_effort_runs_are_halted_during_a_long_violation(over_ms, halted):
    """Guards against a violation of 4 s that one interfering run after another prolongs."""
    controller = controller_of(
        model_of(("x", "p", 8.0), ("y", "p", 0.0)), best_effort("x"), best_effort("y")
    )
    colocated_runs = [service("p", 130), best_effort("x", 100), best_effort("y")]
    duty_cycles = percents(controller.update(colocated_runs, CPU_MILLIS, 1000))
    duty_cycles |= percents(controller.update(colocated_runs, CPU_MILLIS, 1000 + over_ms))
    assert {task for task, percent in duty_cycles.items() if percent == 0} >= halted
    assert (duty_cycles.get("f-y", FULL_PERCENT) == 0) is ("f-y" in halted)


def test_duty_cycle_recovers_when_the_load_drops():
    """Guards against batch work that stays slow after a load peak."""
    controller = controller_of(model_of(("x", "p", 6.0)), best_effort("x"))
    percent = controller.update([service("p", 130), best_effort("x")], CPU_MILLIS, 1000)[0].percent
    assert percent <= FULL_PERCENT * VIOLATION_BACKOFF
    for turn in range(10):
        low_load = [service("p", 25), best_effort("x", 60 * percent)]
        for change in controller.update(low_load, CPU_MILLIS, 2000 + turn * 400):
            percent = change.percent
    assert percent == FULL_PERCENT


def increases(controller, tails):
    """Return the increases of the duty cycle of one run while the tails of a service change."""
    percent, steps = 0, []
    for turn, tail in enumerate(tails):
        colocated_runs = [service("p", tail), best_effort("x", 60 * percent)]
        for change in controller.update(colocated_runs, CPU_MILLIS, 3000 + turn * 500):
            steps.append(change.percent - percent)
            percent = change.percent
    return steps


def test_unknown_interference_is_tried_in_small_steps():
    """Guards against a run at full speed before a wrong estimate shows in the tail latency."""
    controller = controller_of(InterferenceModel(), best_effort("x"))
    controller.update([service("p", 130), best_effort("x")], CPU_MILLIS, 1000)
    controller.update([service("p", 130), best_effort("x")], CPU_MILLIS, 2500)
    steps = increases(controller, [25] * 6)
    assert sum(steps) == FULL_PERCENT
    assert max(steps) <= FULL_PERCENT / 5


@pytest.mark.parametrize("tail", [130, 25])
def test_duty_cycle_that_was_not_applied_is_sent_again(tail):
    """Guards against a run that keeps a wrong duty cycle because one call was lost."""
    controller = controller_of(model_of(("x", "p", 8.0)), best_effort("x"))
    (first,) = controller.update([service("p", 130), best_effort("x", 100)], CPU_MILLIS, 1000)
    controller.mark_not_applied(first)
    changes = []
    for turn in range(8):
        changes = controller.update(
            [service("p", tail), best_effort("x", 100)], CPU_MILLIS, 1100 + turn
        )
        if changes:
            controller.mark_not_applied(changes[0])
    assert len(changes) == 1


def test_initial_duty_cycle_fits_the_remaining_headroom():
    """Guards against a run at full speed beside a busy service until it is first listed."""
    controller = DutyCycleController(model_of(("x", "p", 8.0)))
    controller.update([service("p", 65)], CPU_MILLIS, 1000)
    profile = best_effort("x").profile
    percent = controller.initial_percent(profile, 1, CPU_MILLIS)
    assert percent < FULL_PERCENT
    # The run is listed only after the next update and then has its initial duty cycle.
    controller.update([service("p", 65)], CPU_MILLIS, 1100)
    changes = controller.update([service("p", 20), best_effort("x", 0)], CPU_MILLIS, 1500)
    assert percent < percents(changes)["f-x"] < FULL_PERCENT
    assert controller.initial_percent(service("p", 65).profile, 1, CPU_MILLIS) == FULL_PERCENT


def test_duty_cycle_set_by_an_earlier_process_is_replaced():
    """Guards against a run that stays halted because the agent that halted it restarted."""
    controller = DutyCycleController(InterferenceModel())
    assert percents(controller.update([best_effort("x", 0)], CPU_MILLIS, 1000)) == {
        "f-x": FULL_PERCENT
    }
    assert controller.update([best_effort("x", 0)], CPU_MILLIS, 1400) == []


def test_service_without_best_effort_runs_causes_no_changes():
    """Guards against duty cycle commands for workers without best-effort runs."""
    assert (
        DutyCycleController(InterferenceModel()).update([service("p", 500)], CPU_MILLIS, 1000) == []
    )


def simulate(is_controlled, seconds=60, step_ms=400, model=None):
    """Simulate a worker with two services under a varying load and four best-effort runs.

    One of the best-effort images has an interference of 6 with one of the services, which varies
    between half and twice that within seconds. Tail latencies follow within half a second.

    :param model: estimates to use instead of those that the observations give.
    :returns: longest violation of an objective, and the work of the best-effort runs in core
        seconds.
    """
    rng = random.Random(5)
    model = model or InterferenceModel()
    controller = DutyCycleController(model)
    duty_cycles = {}
    tails = {"p": 40.0, "q": 40.0}
    over_ms, longest_ms, work = {"p": 0, "q": 0}, 0, 0.0
    for turn in range(seconds * 1000 // step_ms):
        now_ms = turn * step_ms
        names = [("x", "1"), ("x", "2"), ("y", "1"), ("y", "2")]
        uses = {
            f"{n}-{i}": 4000 * duty_cycles.get(f"{n}-{i}", FULL_PERCENT) // 100 for i, n in names
        }
        work += sum(uses.values()) / 1000 * step_ms / 1000
        swing = 2 ** math.sin(turn / 9)
        headroom_decrease = 6.0 * swing * (uses["1-x"] + uses["2-x"]) / CPU_MILLIS
        for image, phase, decrease in (("p", 0.0, headroom_decrease), ("q", 2.0, 0.0)):
            load = 0.45 + 0.22 * math.sin(turn / 7 + phase)
            tails[image] += 0.6 * (tail_of(load, decrease) * rng.uniform(0.9, 1.1) - tails[image])
            over_ms[image] = over_ms[image] + step_ms if tails[image] >= OBJECTIVE_MS else 0
            longest_ms = max(longest_ms, over_ms[image])
        colocated_runs = [service(image, max(1, int(tail))) for image, tail in tails.items()]
        colocated_runs += [
            best_effort(image, uses[f"{name}-{image}"], name) for image, name in names
        ]
        model.observe("w", now_ms * SECOND / 1000, colocated_runs, CPU_MILLIS)
        if is_controlled:
            duty_cycles |= percents(controller.update(colocated_runs, CPU_MILLIS, now_ms))
    return timedelta(milliseconds=longest_ms), work


def test_services_are_not_harmed_and_batch_work_continues():
    """Guards against long violations caused by batch work, and batch work that stops.

    At full duty cycle, one service violates its objective for long enough to be harmed. With the
    controller none is, and the runs that do not interfere, half of all, continue.
    """
    harmed, all_work = simulate(is_controlled=False)
    longest, work = simulate(is_controlled=True)
    assert harmed > HARM
    assert longest < HARM / 2
    assert work > all_work / 2


@pytest.mark.parametrize("estimate", [1.5, 3.0, 6.0])
def test_services_are_not_harmed_when_an_estimate_is_too_low(estimate):
    """Guards against steps so large that a wrong estimate harms a service before it shows."""
    others = [("x", "q", 0.1), ("y", "p", 0.1), ("y", "q", 0.1)]
    longest, _ = simulate(is_controlled=True, model=model_of(("x", "p", estimate), *others))
    assert longest < HARM / 2

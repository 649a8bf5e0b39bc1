"""Filling runs beside services: what disturbs what, and how the pace follows."""

import random
from datetime import timedelta

import pytest
from mulberryslip.conflicts import ConflictModel, Neighbour, Relation
from mulberryslip.paces import FULL_PERCENT, PaceControl
from mulberryslip.runners import RunningRun, RunProfile

SECOND = timedelta(seconds=1)
TARGET_MS = 50


def serving(image, tail, name="s"):
    return Neighbour(
        RunningRun(f"{name}-{image}", 1, "", 100, tail),
        RunProfile(f"{name}-{image}", image, False, 13000, TARGET_MS),
    )


def filling(image, use=6000, name="f"):
    return Neighbour(
        RunningRun(f"{name}-{image}", 1, "", 40, use),
        RunProfile(f"{name}-{image}", image, True, 6000, 0),
    )


def learn(model, rounds, *neighbours, start=0):
    for turn in range(rounds):
        model.observe("w", (start + turn * 0.5) * SECOND, neighbours)


def test_only_the_pair_that_disturbs_is_kept_apart():
    """Guards against all batch work being held back for one image that disturbs.

    The load is that of a day on which one of three filling images puts one of two services at ten
    times its base, and the images run beside each other in all combinations.
    """
    model = ConflictModel()
    rng = random.Random(1)
    for turn in range(200):
        fills = [image for image in "xyz" if rng.random() < 0.5]
        tails = {"p": 600 if "x" in fills else rng.randint(12, 30), "q": rng.randint(12, 30)}
        neighbours = [serving(image, tail) for image, tail in tails.items()]
        neighbours += [filling(image) for image in fills]
        model.observe(f"w{turn % 3}", turn * SECOND / 2, neighbours)
    assert model.conflicts() == [("x", "p")]


@pytest.mark.parametrize(
    ("tail", "use", "is_conflict"), [(600, 6000, True), (20, 6000, False), (600, 100, False)]
)
def test_blame_needs_work_and_a_disturbed_service(tail, use, is_conflict):
    """Guards against blame on a run that is halted, or for a service that is well."""
    model = ConflictModel()
    learn(model, 6, serving("p", tail), filling("x", use))
    assert model.is_conflict("x", "p") is is_conflict


def test_evidence_fades():
    """Guards against a pair kept apart for ever, although what they do changes with their load."""
    model = ConflictModel()
    learn(model, 4, serving("p", 600), filling("x"))
    assert model.is_conflict("x", "p")
    learn(model, 60, serving("p", 15), filling("x"), start=120)
    assert not model.is_conflict("x", "p")


def test_known_conflict_is_halted_and_the_others_go_on():
    """Guards against a service over its target for seconds, and against halting harmless work."""
    model = ConflictModel()
    model.give([("x", "p", Relation.CONFLICT)])
    control = PaceControl(model)
    changes = control.update([serving("p", 60), filling("x"), filling("y")], 1000)
    assert [(change.task, change.percent) for change in changes] == [("f-x", 0)]


def test_unknown_cause_slows_all_and_each_half_second_only_once():
    """Guards against several cuts for one figure, which stands for the last half second."""
    control = PaceControl(ConflictModel())
    neighbours = [serving("p", 60), filling("x"), filling("y")]
    first = control.update(neighbours, 1000)
    assert {change.percent for change in first} == {40}
    assert control.update(neighbours, 1200) == []
    assert {change.percent for change in control.update(neighbours, 1600)} == {16}


def test_harmless_work_goes_on_beside_a_service_under_its_own_load():
    """Guards against batch work that is slowed down for hours because a service is busy."""
    model = ConflictModel()
    model.give([("x", "p", Relation.HARMLESS)])
    control = PaceControl(model)
    assert control.update([serving("p", 47), filling("x")], 1000) == []
    changes = control.update([serving("p", 47), filling("x"), filling("y")], 2000)
    assert [change.task for change in changes] == ["f-y"]


def test_time_together_makes_a_pair_harmless():
    """Guards against a pair that stays unknown for ever."""
    model = ConflictModel()
    learn(model, 20, serving("p", 20), filling("x"))
    assert model.relation("x", "p") is Relation.HARMLESS
    assert model.relations({"x"}, {"p"}) == [("x", "p", Relation.HARMLESS)]
    assert model.relations({"x"}, {"q"}) == []


def test_everything_is_halted_when_a_service_stays_over_its_target():
    """Guards against a service that one disturber after the other keeps over its target for 4 s."""
    model = ConflictModel()
    model.give([("x", "p", Relation.CONFLICT)])
    control = PaceControl(model)
    control.update([serving("p", 60), filling("x"), filling("y")], 1000)
    changes = control.update([serving("p", 60), filling("x"), filling("y")], 2000)
    assert [(change.task, change.percent) for change in changes] == [("f-y", 0)]


def test_pace_comes_back_when_the_service_is_calm():
    """Guards against batch work that stays slow after a wave of load."""
    control = PaceControl(ConflictModel())
    control.update([serving("p", 60), filling("x")], 1000)
    percent = 0
    for turn in range(10):
        for change in control.update([serving("p", 15), filling("x")], 2000 + turn * 700):
            percent = change.percent
    assert percent == FULL_PERCENT


def test_pace_that_was_not_set_is_decided_again():
    """Guards against a run that works at full speed because one call was lost."""
    control = PaceControl(ConflictModel())
    neighbours = [serving("p", 60), filling("x")]
    (change,) = control.update(neighbours, 1000)
    control.forget(change)
    assert control.update(neighbours, 1100) == [change]


def test_service_without_filling_runs_is_left_alone():
    """Guards against pace orders where nothing fills."""
    assert PaceControl(ConflictModel()).update([serving("p", 500)], 1000) == []

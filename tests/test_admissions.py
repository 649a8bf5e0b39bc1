"""Tests of the admission control of a worker, compared with a naive model."""

import random
import threading
from datetime import timedelta

import pytest
from mulberryslip import Attempt, ManualClock, Resources, TaskClass, TaskKey
from mulberryslip.admissions import Admission
from mulberryslip.exceptions import AdmissionError

CAPACITY = Resources(8000, 16000, 2, 8)
SHARE = Resources(2000, 4000, 0, 0)
SMALL = Resources(1000, 1000, 0, 1)
TTL = timedelta(seconds=3)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def admission(clock):
    admission = Admission(CAPACITY, SHARE, clock, "i-1", TTL)
    admission.open()
    admission.apply_config(1, True)
    return admission


def attempt(job="job", number=1, index=0):
    return Attempt(TaskKey(job, index), number)


def reserve(admission, what=None, epoch=1, task_class=TaskClass.BATCH, resources=SMALL, shard=0):
    return admission.reserve(shard, epoch, what or attempt(), "t", task_class, resources)


def reserve_and_commit(admission, what=None, epoch=1):
    reservation = reserve(admission, what, epoch)
    return admission.commit(0, epoch, reservation.attempt, reservation.reservation_id)


class NaiveModel:
    """Reference model that recomputes the capacity from the calls that succeeded."""

    def __init__(self):
        self.held = {}

    def expire(self, now):
        self.held = {a: h for a, h in self.held.items() if h["until"] is None or h["until"] > now}

    def total(self, services):
        kinds = [h for h in self.held.values() if services or h["class"] is not TaskClass.SERVICE]
        return [sum(h["res"].amounts()[i] for h in kinds) for i in range(4)]

    def fits(self, task_class, res):
        whole = zip(self.total(True), res.amounts(), CAPACITY.amounts(), strict=True)
        fits = all(used + more <= cap for used, more, cap in whole)
        if task_class is TaskClass.SERVICE:
            return fits
        other = zip(self.total(False), res.amounts(), (CAPACITY - SHARE).amounts(), strict=True)
        return fits and all(used + more <= cap for used, more, cap in other)


@pytest.mark.parametrize("seed", range(20))
def test_capacity_is_never_exceeded_and_model_agrees(clock, admission, seed):
    """Guards against overcommitment, and against refusals while capacity is free."""
    rng = random.Random(seed)
    model = NaiveModel()
    reservations = {}
    numbers = {}
    refused = 0
    for _ in range(600):
        clock.advance(timedelta(milliseconds=rng.randrange(400)))
        now = clock.monotonic()
        model.expire(now)
        step = rng.random()
        if step < 0.55:
            job = f"j{rng.randrange(30)}"
            what = attempt(job, numbers.get(job, 0) + 1)
            if any(a.key == what.key for a in model.held):
                continue
            kind = rng.choice(list(TaskClass))
            res = Resources(
                rng.randrange(4000), rng.randrange(6000), rng.randrange(2), rng.randrange(1, 3)
            )
            expected = model.fits(kind, res)
            try:
                reservations[what] = reserve(admission, what, 1, kind, res)
                granted = True
                numbers[job] = what.number
                model.held[what] = {"class": kind, "res": res, "until": now + TTL}
            except AdmissionError:
                granted = False
                refused += 1
            assert granted is expected
        elif step < 0.8 and reservations:
            what, reservation = reservations.popitem()
            is_live = what in model.held and model.held[what]["until"] is not None
            try:
                admission.commit(0, 1, what, reservation.reservation_id)
                assert is_live, "an expired or released reservation was committed"
                model.held[what]["until"] = None
            except AdmissionError:
                assert not is_live
        elif model.held:
            what = rng.choice(sorted(model.held))
            admission.release(what)
            del model.held[what]
        assert admission.used().fits(CAPACITY)
        assert list(admission.used().amounts()) == model.total(True)
    assert refused > 20, "the sequence never reached the limit"


@pytest.mark.parametrize("task_class", [TaskClass.BATCH, TaskClass.WATCH])
def test_share_of_services_is_kept(admission, task_class):
    """Guards against batch tasks and watches that use the capacity kept for services."""
    reserve(admission, attempt("big"), 1, task_class, Resources(6000, 12000, 0, 1))
    with pytest.raises(AdmissionError, match="services"):
        reserve(admission, attempt("more"), 1, task_class, SMALL)
    assert admission.free().cpu_millis == 0
    assert admission.free(TaskClass.SERVICE).cpu_millis == 2000
    reserve(admission, attempt("svc"), 1, TaskClass.SERVICE, SMALL)


def test_reservation_is_idempotent_and_its_lifetime_is_not_extended(clock, admission):
    """Guards against a repeated call that reserves twice or extends the lifetime of 3 s."""
    first = reserve(admission)
    clock.advance(timedelta(seconds=2))
    assert reserve(admission) == first
    assert admission.used() == SMALL
    clock.advance(timedelta(seconds=1))
    with pytest.raises(AdmissionError, match="expired"):
        admission.commit(0, 1, attempt(), first.reservation_id)
    assert admission.used() == Resources()
    assert reserve(admission).reservation_id != first.reservation_id


def test_lower_epoch_is_refused_for_its_shard_only(admission):
    """Guards against starts by an owner that has lost its shard."""
    old = reserve(admission, attempt("a"), epoch=4)
    reserve(admission, attempt("b"), epoch=5)
    with pytest.raises(AdmissionError, match="epoch 4"):
        reserve(admission, attempt("c"), epoch=4)
    with pytest.raises(AdmissionError, match="epoch 4"):
        admission.commit(0, 4, attempt("a"), old.reservation_id)
    reserve(admission, attempt("d"), epoch=1, shard=1)


@pytest.mark.parametrize(
    ("prepare", "message"),
    [
        (lambda a: a.apply_config(2, False), "data centre is out"),
        (lambda a: a.leave(), "leaving"),
    ],
)
def test_closed_worker_refuses_reservation_and_start(admission, prepare, message):
    """Guards against a start after the data centre was taken out or the worker is leaving."""
    held = reserve(admission)
    prepare(admission)
    with pytest.raises(AdmissionError, match=message):
        reserve(admission, attempt("other"))
    with pytest.raises(AdmissionError, match=message):
        admission.commit(0, 1, attempt(), held.reservation_id)


@pytest.mark.parametrize("revision", [1, 2, 3])
def test_lower_revision_is_ignored(admission, revision):
    """Guards against an old configuration that brings a data centre back in."""
    admission.apply_config(3, False)
    assert admission.apply_config(revision, True) is False
    with pytest.raises(AdmissionError, match="out"):
        reserve(admission)


@pytest.mark.parametrize("step", ["open", "config"])
def test_nothing_is_admitted_before_tasks_and_configuration_are_known(clock, step):
    """Guards against a restarted worker that admits work to capacity still in use."""
    admission = Admission(CAPACITY, SHARE, clock, "i-1", TTL)
    if step == "open":
        admission.open()
    else:
        admission.apply_config(1, True)
    with pytest.raises(AdmissionError, match="yet"):
        reserve(admission)


def test_old_attempts_are_refused(admission):
    """Guards against a delayed call for an attempt that was replaced or has ended."""
    reserve_and_commit(admission, attempt(number=2))
    with pytest.raises(AdmissionError, match="older"):
        reserve(admission, attempt(number=1))
    with pytest.raises(AdmissionError, match="held here"):
        reserve(admission, attempt(number=3))
    admission.release(attempt(number=2))
    with pytest.raises(AdmissionError, match="ended"):
        reserve(admission, attempt(number=2))
    reserve_and_commit(admission, attempt(number=3))


def test_stop_before_start_refuses_the_attempt(admission):
    """Guards against a start that arrives after the stop of the same attempt."""
    held = reserve(admission)
    admission.release(attempt())
    with pytest.raises(AdmissionError):
        admission.commit(0, 1, attempt(), held.reservation_id)
    with pytest.raises(AdmissionError, match="ended"):
        reserve(admission)


def test_newer_attempt_replaces_an_older_reservation(admission):
    """Guards against capacity that stays reserved for an abandoned attempt."""
    old = reserve(admission, attempt(number=1))
    reserve(admission, attempt(number=2))
    assert admission.used() == SMALL
    with pytest.raises(AdmissionError):
        admission.commit(0, 1, attempt(number=1), old.reservation_id)


@pytest.mark.parametrize("resources", [Resources(-1, 0, 0, 1), Resources(0, 0, 0, -1)])
def test_negative_amounts_are_refused(admission, resources):
    """Guards against an invalid size that increases the free capacity."""
    with pytest.raises(AdmissionError, match="negative"):
        reserve(admission, resources=resources)


def test_concurrent_reservations_never_exceed_capacity(admission):
    """Guards against a check and an update that are not atomic."""
    granted = []

    def run(worker):
        for number in range(20):
            try:
                granted.append(reserve(admission, attempt(f"{worker}-{number}")))
            except AdmissionError:
                continue

    threads = [threading.Thread(target=run, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(granted) == 6
    assert len({r.reservation_id for r in granted}) == 6

"""Tests of the estimates of interference when runs of several images change together."""

import random
from datetime import timedelta

import pytest
from mulberryslip.pair_estimates import (
    MAX_JOINT_IMAGES,
    HeadroomChange,
    IndependentEstimates,
    JointEstimates,
)

SECOND = timedelta(seconds=1)
INTERVAL = 0.4
HARMLESS = 2.0


def play(estimates, interferences, seed, listings, noise=0.06, drift=0.1, together=3):
    """Let an estimator observe listings in which the shares of several images change.

    :param interferences: true interference with the image `s`, by best-effort image.
    :param drift: deviation of the change of the service's own headroom between two listings.
    :param together: number of images whose shares change between two listings.
    """
    rng = random.Random(seed)
    images = sorted(interferences)
    for number in range(listings):
        shares = {image: rng.choice((-0.11, 0.11)) for image in rng.sample(images, together)}
        earlier = rng.uniform(1.5, 3.5)
        effect = sum(interferences[image] * x for image, x in shares.items())
        later = max(0.6, earlier - effect + rng.gauss(0, drift))
        measured = [value / max(0.5, rng.gauss(1, noise)) for value in (earlier, later)]
        now = number * INTERVAL * SECOND
        estimates.observe([HeadroomChange("s", *measured, shares, INTERVAL, False, now)])


def misjudged(estimates, interferences):
    """Return the images that are taken for harmless or for disturbing although they are not."""
    return {
        image
        for image, true in interferences.items()
        if (estimates.conservative((image, "s")) < HARMLESS) != (true < HARMLESS)
    }


MIXED = {"a": 9.0, "b": 0.4, "c": 0.8, "d": 13.0, "e": 0.3, "f": 0.6, "g": 6.0, "h": 0.5}


@pytest.mark.parametrize(("listings", "together"), [(20, 3), (20, 5), (40, 3), (40, 5)])
def test_images_that_change_together_are_told_apart(listings, together):
    """Guards against harmless runs that are throttled for the effect of those beside them.

    A worker lists its runs about so often within 10 and 20 s. Target: a tenth of the misjudged
    images of the independent estimates.
    """
    counts = {JointEstimates: 0, IndependentEstimates: 0}
    for kind in counts:
        for seed in range(8):
            estimates = kind()
            play(estimates, MIXED, seed, listings, together=together)
            counts[kind] += len(misjudged(estimates, MIXED))
    assert 10 * counts[JointEstimates] <= counts[IndependentEstimates]


@pytest.mark.parametrize("seed", range(5))
def test_disturbing_images_are_not_underestimated(seed):
    """Guards against starts beside services that have too little headroom for them."""
    joint = JointEstimates()
    play(joint, MIXED, seed, 60)
    for image, true in MIXED.items():
        if true > 2:
            assert joint.conservative((image, "s")) >= true


@pytest.mark.parametrize(("before", "after"), [(0.5, 10.0), (10.0, 0.5)])
def test_change_of_the_interference_is_followed(before, after):
    """Guards against an estimate that is too certain to follow a change."""
    joint = JointEstimates()
    play(joint, MIXED | {"x": before}, 1, 300)
    changed = MIXED | {"x": after}
    play(joint, changed, 2, 600)
    assert "x" not in misjudged(joint, changed)


def test_another_process_continues_from_the_known_estimates():
    """Guards against a new owner that disturbs services until it has learned anew."""
    joint = JointEstimates()
    play(joint, MIXED, 1, 150)
    successor = JointEstimates()
    for pair, (mean, deviation) in joint.known().items():
        assert mean >= 0
        successor.restore(pair, mean, deviation, SECOND)
    assert not misjudged(successor, MIXED)


def test_number_of_joint_images_is_bounded():
    """Guards against updates that take longer with each image ever seen."""
    joint = JointEstimates()
    for number in range(3 * MAX_JOINT_IMAGES):
        shares = {f"i{number}": 0.1, f"i{number + 1}": -0.1}
        joint.observe([HeadroomChange("s", 2.0, 1.5, shares, INTERVAL, False, number * SECOND)])
    assert len(joint.known()) <= MAX_JOINT_IMAGES
    assert joint.mean(("i0", "s")) == IndependentEstimates().mean(("i0", "s"))


@pytest.mark.parametrize("estimates", [IndependentEstimates(), JointEstimates()])
def test_saturated_service_only_raises_estimates(estimates):
    """Guards against a queue that shrinks slowly being taken for harmless runs."""
    before = estimates.mean(("a", "s"))
    estimates.observe([HeadroomChange("s", 0.4, 0.4, {"a": 0.2}, INTERVAL, True, SECOND)])
    assert estimates.mean(("a", "s")) == before
    estimates.observe([HeadroomChange("s", 3.0, 0.3, {"a": 0.2}, INTERVAL, True, 2 * SECOND)])
    assert estimates.mean(("a", "s")) > before

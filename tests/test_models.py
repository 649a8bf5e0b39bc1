"""Tests of the shared value types."""

import pytest
from mulberryslip import Resources


@pytest.mark.parametrize(
    ("demand", "capacity", "fits"),
    [
        (Resources(1000, 512, 0, 1), Resources(1000, 512, 0, 1), True),
        (Resources(1001, 512, 0, 1), Resources(1000, 512, 0, 1), False),
        (Resources(1, 1, 1, 1), Resources(1000, 512, 0, 1), False),
        (Resources(0, 0, 0, 2), Resources(1000, 512, 0, 1), False),
    ],
)
def test_fits_compares_every_amount(demand, capacity, fits):
    """Guards against a check that ignores one resource and overcommits a VM."""
    assert demand.fits(capacity) is fits

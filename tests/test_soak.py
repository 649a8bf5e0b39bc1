"""Short seeded soaks with real processes; `python tests/soak.py --help` runs longer ones."""

import pytest
from soak import soak

REGRESSIONS = {
    1: "ends of a later life of a worker were acknowledged with the numbers of the earlier one",
    2: "an order for an earlier life of a worker ran in the later one and counted as lost",
    17: "as seed 1, with the run on another worker",
}
"""Seeds that have failed once, with the cause."""


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_seeds_that_have_failed(seed, tmp_path):
    """Guards against the causes above coming back."""
    assert soak(seed, 20, directory=tmp_path) == []


def test_short_soak(tmp_path):
    """Guards against promises that hold with doubles only and not between real processes."""
    assert soak(5, 10, workers=4, directory=tmp_path) == []

"""Long-running tasks start soon beside room while capacities change and workers crash."""

import pytest
from crash_series import BREAK_WAIT, Changes, SeriesPlay

SEEDS = (*range(17), 23, 69, 78, 87)
"""The first ones, and those of the first 130 with the longest waits beside room."""


@pytest.fixture(scope="module")
def played():
    """Return what plays a seed once for all tests."""
    plays = {}

    def play(seed):
        if seed not in plays:
            plays[seed] = SeriesPlay(seed, Changes.of_seed(seed))
            plays[seed].run()
        return plays[seed]

    return play


@pytest.mark.parametrize("seed", SEEDS)
def test_service_starts_beside_room_of_changing_capacity_in_time(played, seed):
    """Guards against an owner that counts less room than workers announce after they have grown."""
    play = played(seed)
    assert play.late() == {}, (play.parameters, play.changes)


@pytest.mark.parametrize("seed", SEEDS)
def test_service_beside_changing_capacity_does_not_wait_until_the_rule_is_broken(played, seed):
    """Guards against waits for room that comes and goes, whose sum breaks the rule."""
    assert played(seed).late(BREAK_WAIT) == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_broken_while_capacities_and_owners_change(played, seed):
    """Guards against starts over a lower capacity, and against too many of a deadly check."""
    play = played(seed)
    assert play.world.history.violations == [], (play.parameters, play.changes)

"""Trust in workers: failures in a row, stalls, slowness."""

from datetime import timedelta

import pytest
from mulberryslip.soundness import EXCLUDED, FIRST_SUSPICION, Progress, Soundness

SECOND = timedelta(seconds=1)


@pytest.mark.parametrize(
    ("ends", "is_excluded"),
    [
        ([False], False),
        ([False, False], True),
        ([False, True, False], False),
        ([True, False, False], True),
        ([False, True, False, True, False], False),
    ],
)
def test_failures_in_a_row_exclude_a_worker(ends, is_excluded):
    """Guards against attempts used up on one worker, and against doubts by single failures."""
    soundness = Soundness()
    for is_done in ends:
        soundness.ended("w", is_done, SECOND)
    assert (soundness.penalty("w", SECOND) >= EXCLUDED) is is_excluded
    assert soundness.penalty("other", SECOND) == 0


def test_suspicion_ends_and_doubles():
    """Guards against a worker that is lost for good, and against one tried again too often."""
    soundness = Soundness()
    now = SECOND
    lengths = []
    for _ in range(3):
        while not soundness.ended("w", False, now):
            pass
        began = now
        while soundness.penalty("w", now) >= EXCLUDED:
            now += SECOND / 2
        lengths.append(now - began)
    assert lengths == [FIRST_SUSPICION, 2 * FIRST_SUSPICION, 4 * FIRST_SUSPICION]


def progress(worker, percent):
    return [Progress(f"{worker}-{index}", 1, "job/0", percent) for index in range(2)]


@pytest.mark.parametrize(
    ("rates", "slow", "stalled"),
    [
        ({"a": 20, "b": 20, "c": 20}, [], []),
        ({"a": 20, "b": 20, "c": 4}, ["c"], []),
        ({"a": 20, "b": 12, "c": 14}, [], []),
        ({"a": 20, "b": 20, "c": 0}, ["c"], ["c"]),
    ],
)
def test_progress_is_compared_with_tasks_of_the_same_step(rates, slow, stalled):
    """Guards against a worker that delays its tasks, and against one taken for slow by chance."""
    soundness = Soundness()
    now = SECOND
    for turn in range(8):
        for worker, rate in rates.items():
            soundness.observe(worker, progress(worker, turn * rate // 4), now)
        now += SECOND / 4
    assert [worker for worker in rates if soundness.is_slow(worker, now)] == slow
    assert [worker for worker in rates if soundness.stalled(worker, now)] == stalled


def test_runs_that_are_gone_are_forgotten():
    """Guards against memory that grows with each run, and stalls of runs that have ended."""
    soundness = Soundness()
    soundness.observe("a", progress("a", 5), SECOND)
    soundness.observe("a", [], 10 * SECOND)
    assert soundness.stalled("a", 20 * SECOND) == []

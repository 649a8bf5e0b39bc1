"""Worker health: consecutive failures, stalled runs, slow workers."""

from datetime import timedelta

import pytest
from mulberryslip.health import (
    EXCLUSION_PENALTY,
    FAILURES_BEFORE_EXCLUSION,
    FLEET_SHARE,
    INITIAL_EXCLUSION,
    MAX_UNSTARTED_PENALTY_TIME,
    UNSTARTED_PENALTY,
    UNSTARTED_PENALTY_TIME,
    RunProgress,
    WorkerHealth,
)

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
def test_consecutive_failures_exclude_a_worker(ends, is_excluded):
    """Guards against attempts wasted on a failing worker and exclusion after a single failure."""
    health = WorkerHealth()
    for is_done in ends:
        health.record_run_end("w", is_done, SECOND)
    assert (health.penalty("w", SECOND) >= EXCLUSION_PENALTY) is is_excluded
    assert health.penalty("other", SECOND) == 0


def test_exclusion_ends_and_doubles():
    """Guards against a worker excluded forever and against one retried too often."""
    health = WorkerHealth()
    now = SECOND
    lengths = []
    for _ in range(3):
        while not health.record_run_end("w", False, now):
            pass
        started_at = now
        while health.penalty("w", now) >= EXCLUSION_PENALTY:
            now += SECOND / 2
        lengths.append(now - started_at)
    assert lengths == [INITIAL_EXCLUSION, 2 * INITIAL_EXCLUSION, 4 * INITIAL_EXCLUSION]


@pytest.mark.parametrize(
    ("failing", "fleet_size", "longest_s"), [(1, 12, 16), (4, 12, 16), (12, 12, 4)]
)
def test_long_exclusions_are_limited_to_a_share_of_the_fleet(failing, fleet_size, longest_s):
    """Guards against a fleet that stays idle because all of its workers are excluded."""
    health = WorkerHealth()
    fleet = [f"w{number}" for number in range(fleet_size)]
    now = SECOND
    for _ in range(3):
        for number in range(failing):
            for _ in range(FAILURES_BEFORE_EXCLUSION):
                health.record_run_end(f"w{number}", False, now, fleet)
        lengths = [0] * failing
        while any(health.penalty(f"w{n}", now) >= EXCLUSION_PENALTY for n in range(failing)):
            for number in range(failing):
                lengths[number] += health.penalty(f"w{number}", now) >= EXCLUSION_PENALTY
            now += SECOND
    long = [length for length in lengths if length > INITIAL_EXCLUSION / SECOND]
    assert len(long) * FLEET_SHARE <= fleet_size
    assert lengths[-1] == longest_s


@pytest.mark.parametrize(
    ("suitable", "excluded_before", "is_long"),
    [
        (["w0"], [], False),
        (["w0", "w1"], [], False),
        (["w0", "w1", "w2"], [], True),
        (["w0", "w1", "w2"], ["w1"], False),
        (["w0", "w1", "w2"], ["w7", "w8", "w9"], True),
        (["w1", "w2", "w3"], [], True),
        (["w1", "w2", "w3"], ["w3"], False),
        ([], [], False),
        (None, ["w1", "w2"], True),
    ],
    ids=[
        "the only one",
        "one of two",
        "one of three",
        "one of three, another excluded",
        "workers excluded that may not run the task",
        "the worker itself leaves",
        "the worker itself leaves, another excluded",
        "none left",
        "unknown",
    ],
)
def test_share_of_long_exclusions_counts_the_workers_that_may_run_the_task(
    suitable, excluded_before, is_long
):
    """Guards against the exclusion of all workers that may run some tasks, and of too few."""
    health = WorkerHealth()
    now = SECOND
    for worker_id in ["w0", *excluded_before]:
        for _ in range(FAILURES_BEFORE_EXCLUSION):
            health.record_run_end(worker_id, False, now)
    now += INITIAL_EXCLUSION
    for worker_id in excluded_before:
        health.record_run_end(worker_id, False, now)
    health.record_run_end("w0", False, now, suitable)
    assert health.penalty("w0", now + INITIAL_EXCLUSION - SECOND) >= EXCLUSION_PENALTY
    penalty = health.penalty("w0", now + INITIAL_EXCLUSION)
    assert (penalty >= EXCLUSION_PENALTY) is is_long


@pytest.mark.parametrize(
    ("failing", "recovered", "is_released"),
    [(12, "w0", True), (8, "w0", True), (7, "w0", False), (11, "w11", False)],
    ids=["all", "two thirds", "fewer", "the sound one"],
)
def test_success_on_one_worker_after_a_common_failure_speaks_for_all(
    failing, recovered, is_released
):
    """Guards against an outage of what all runs need that is held against each single worker."""
    health = WorkerHealth()
    fleet = [f"w{number}" for number in range(12)]
    now = SECOND
    for _ in range(3):
        for worker_id in fleet[:failing]:
            for _ in range(FAILURES_BEFORE_EXCLUSION):
                health.record_run_end(worker_id, False, now, fleet)
        now += INITIAL_EXCLUSION
    assert all(health.is_probed(worker_id) for worker_id in fleet[:failing])
    health.record_run_end(recovered, True, now, fleet)
    for worker_id in set(fleet[:failing]) - {recovered}:
        assert health.is_probed(worker_id) is not is_released
        assert not (is_released and health.penalty(worker_id, now) >= EXCLUSION_PENALTY)
        health.record_run_end(worker_id, False, now, fleet)
        if is_released:
            assert health.penalty(worker_id, now) >= EXCLUSION_PENALTY


def test_worker_that_fails_again_is_probed_until_a_run_succeeds():
    """Guards against many attempts wasted on a worker whose exclusion has just ended."""
    health = WorkerHealth()
    now = SECOND
    for expected in (False, True):
        while not health.record_run_end("w", False, now):
            pass
        assert health.is_probed("w") is expected
        now += 10 * SECOND
    assert health.penalty("w", now) < EXCLUSION_PENALTY
    health.record_probe("w", now)
    assert health.penalty("w", now) >= EXCLUSION_PENALTY
    health.record_run_end("w", True, now)
    assert not health.is_probed("w")
    assert health.penalty("w", now) < EXCLUSION_PENALTY


def progress(worker, percent):
    return [RunProgress(f"{worker}-{index}", 1, "job/0", percent) for index in range(2)]


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
    """Guards against an undetected slow worker and a healthy one that is taken for slow."""
    health = WorkerHealth()
    now = SECOND
    for turn in range(8):
        for worker, rate in rates.items():
            health.record_progress(worker, progress(worker, turn * rate // 4), now, now)
        now += SECOND / 4
    assert [worker for worker in rates if health.is_slow(worker, now)] == slow
    assert [worker for worker in rates if health.stalled_runs(worker)] == stalled


def test_runs_of_a_silent_worker_do_not_stall():
    """Guards against running work that is stopped because its worker is slow to report."""
    health = WorkerHealth()
    health.record_progress("a", progress("a", 5), SECOND, SECOND)
    health.record_progress("b", progress("b", 5), 9 * SECOND, 9 * SECOND)
    assert health.stalled_runs("a") == []
    health.record_progress("a", progress("a", 60), 9 * SECOND, 9 * SECOND)
    assert health.stalled_runs("a") == []
    health.record_progress("a", progress("a", 60), 11 * SECOND, 11 * SECOND)
    assert len(health.stalled_runs("a")) == 2


@pytest.mark.parametrize(
    ("worker_clock", "stalled"), [([1.0, 1.7], 0), ([1.0, 9.0], 2)], ids=["suspended", "stuck"]
)
def test_suspended_worker_is_not_taken_for_a_stuck_one(worker_clock, stalled):
    """Guards against runs that are moved because their VM was suspended for some seconds.

    The runs go on when the VM is resumed; its clock has stood still meanwhile.
    """
    health = WorkerHealth()
    for listed_s, now_s in zip(worker_clock, [1, 9], strict=True):
        health.record_progress("a", progress("a", 5), listed_s * SECOND, now_s * SECOND)
    assert len(health.stalled_runs("a")) == stalled


@pytest.mark.parametrize(
    ("run", "estimate_s", "silence_s", "is_stalled"),
    [
        (1, 5, 2, True),
        (1, 600, 20, False),
        (1, 600, 31, True),
        (2, 5, 2, True),
        (9, 5, 2, False),
        (9, 5, 13, True),
    ],
)
def test_patience_with_a_run_follows_its_length(run, estimate_s, silence_s, is_stalled):
    """Guards against a long task that is moved each time before it gains one percent.

    Also where its estimate is far too short: it gets more time with each run.
    """
    health = WorkerHealth()
    rows = [RunProgress("a", run, "job/0", 0, estimate_s * SECOND)]
    for at in (SECOND, (1 + silence_s) * SECOND):
        health.record_progress("w", rows, at, at)
    assert bool(health.stalled_runs("w")) is is_stalled


def test_ended_runs_are_dropped():
    """Guards against memory that grows with each run, and ended runs reported as stalled."""
    health = WorkerHealth()
    health.record_progress("a", progress("a", 5), SECOND, SECOND)
    health.record_progress("a", [], 10 * SECOND, 10 * SECOND)
    assert health.stalled_runs("a") == []


@pytest.mark.parametrize("starts", [False, True])
def test_worker_that_loses_starts_is_avoided_longer_until_it_starts_a_run(starts):
    """Guards against a task that goes round workers that lose starts, beside a sound one."""
    health = WorkerHealth()
    now = SECOND
    lengths = []
    for _ in range(5):
        health.record_unstarted("w", now)
        began_at = now
        while health.penalty("w", now) >= UNSTARTED_PENALTY:
            now += SECOND / 2
        lengths.append(now - began_at)
        if starts:
            health.record_start("w", now)
        else:
            health.record_start("w", began_at)
    first, longest = UNSTARTED_PENALTY_TIME, MAX_UNSTARTED_PENALTY_TIME
    doubled = [min(longest, first * 2**number) for number in range(5)]
    assert lengths == ([first] * 5 if starts else doubled)


def test_starts_lost_together_count_once():
    """Guards against a worker that is avoided for long after one burst."""
    health = WorkerHealth()
    for _ in range(10):
        health.record_unstarted("w", SECOND)
    assert health.penalty("w", SECOND + UNSTARTED_PENALTY_TIME) == 0


@pytest.mark.parametrize("is_done", [False, True])
def test_start_between_two_lost_ones_does_not_end_the_penalty(is_done):
    """Guards against a worker that counts as well because it has not carried out a start again."""
    health = WorkerHealth()
    health.record_unstarted("w1", timedelta(seconds=10))
    if is_done:
        health.record_run_end("w1", True, timedelta(seconds=11))
    else:
        health.record_start("w1", timedelta(seconds=11))
    health.record_unstarted("w1", timedelta(seconds=12))
    assert health.penalty("w1", timedelta(seconds=12.1)) > 0

"""Tests of the interval between reports, with replays of an owner that has fallen behind."""

import random
from collections import deque
from datetime import timedelta

import attrs
import pytest
from mulberryslip.intervals import MAX_REPORT_INTERVAL, ReportInterval

MS = timedelta(milliseconds=1)
SHORTEST = 400 * MS


@pytest.mark.parametrize(
    ("reply_ms", "expected"),
    [(0, 0 * MS), (20, 160 * MS), (100, 800 * MS), (2000, MAX_REPORT_INTERVAL)],
)
def test_interval_follows_the_reply_times(reply_ms, expected):
    """Guards against long intervals with a fast owner, and short ones with a slow owner."""
    interval = ReportInterval()
    for _ in range(50):
        interval.observe(reply_ms * MS)
    assert abs(interval.interval() - expected) < MS


def test_interval_recovers_when_the_owner_is_fast_again():
    """Guards against intervals that stay long after the owner has caught up."""
    interval = ReportInterval()
    for reply_ms in [2000] * 10 + [5] * 15:
        interval.observe(reply_ms * MS)
    assert interval.interval() < SHORTEST


@attrs.define
class Replay:
    """An owner that serves one report at a time, and agents that report their runs.

    :param service_ms: processor time of one report.
    """

    agents: int = 300
    service_ms: float = 1.6
    seconds: int = 20
    ends_per_s: float = 250.0
    seed: int = 5

    def mean_wait_of_ends(self, make_interval):
        """Return the mean time until a report that lists an ended run is served, in ms."""
        rng = random.Random(self.seed)
        intervals = [make_interval() for _ in range(self.agents)]
        next_at = [rng.random() * 400 for _ in range(self.agents)]
        busy = [False] * self.agents
        queue, waits, free_at = deque(), [], 0.0
        for now in range(self.seconds * 1000):
            for agent in range(self.agents):
                has_end = rng.random() < self.ends_per_s / 1000 / self.agents
                if not busy[agent] and (has_end or now >= next_at[agent]):
                    busy[agent] = True
                    queue.append((now, agent, has_end))
            while queue and free_at <= now:
                sent_at, agent, has_end = queue.popleft()
                free_at = max(free_at, now) + self.service_ms
                wait = free_at - sent_at
                if has_end:
                    waits.append(wait)
                else:
                    intervals[agent].observe(wait * MS)
                busy[agent] = False
                pause = max(SHORTEST, intervals[agent].interval())
                next_at[agent] = free_at + pause / MS
        return sum(waits) / len(waits)


class FixedInterval:
    """The naive policy: all agents report at a fixed interval."""

    def observe(self, reply_time):
        pass

    def interval(self):
        return SHORTEST


def test_reports_of_ends_pass_an_owner_that_has_fallen_behind():
    """Guards against ended runs that are noticed late because unchanged workers report as often.

    The load is that of 300 workers at 1.6 ms a report: 250 ends and 750 other reports a second need
    1.6 times the owner's processor.
    """
    naive = Replay().mean_wait_of_ends(FixedInterval)
    adaptive = Replay().mean_wait_of_ends(ReportInterval)
    assert adaptive < naive / 2

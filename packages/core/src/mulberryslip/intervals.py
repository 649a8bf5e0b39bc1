"""Chooses how often a worker's runs are reported to the owner of the pool. Performs no I/O.

It is designed for this load pattern: many agents report to an owner that has fallen behind, as
after a hand-over or during a burst of short checks. Reports that say nothing new then delay those
that list ended runs and the starts of waiting tasks. Agents slow down as replies take longer, so
that the owner catches up while reports about ended runs still go out at once.
"""

from datetime import timedelta

REPLY_TIME_FACTOR = 8
"""Interval between reports, as a multiple of the time that the owner takes to reply: reports wait
for the owner in at most an eighth of the time."""

MAX_REPORT_INTERVAL = timedelta(milliseconds=1400)
"""Longest interval. The owner starts runs only on workers whose last report is at most 2.2 s old,
and a report takes some time to arrive."""

SMOOTHING_WEIGHT = 0.3
"""Weight of the latest reply time in the moving average."""


class ReportInterval:
    """Shortest time between reports that say nothing new; adapts to the owner's reply times."""

    def __init__(self) -> None:
        self._reply_time = timedelta()

    def observe(self, reply_time: timedelta) -> None:
        """Record how long the owner took to reply to a report that it answers at once."""
        self._reply_time += SMOOTHING_WEIGHT * (reply_time - self._reply_time)

    def interval(self) -> timedelta:
        """Return the shortest time between two reports that say nothing new."""
        return min(MAX_REPORT_INTERVAL, REPLY_TIME_FACTOR * self._reply_time)

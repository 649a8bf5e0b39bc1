"""Run times learned per template, as declared run times are inaccurate."""

from datetime import timedelta

from .sizes import DecayingHistogram

MIN_FINISHED = 3
"""Finished tasks required to estimate the run time of a template."""

QUANTILE = 0.75
"""Quantile of the run times of a template that a task is expected to take."""


class DurationEstimator:
    """Learn the run time of each template."""

    def __init__(self):
        self._histograms: dict[str, DecayingHistogram] = {}
        self._counts: dict[str, int] = {}

    def observe(self, template: str, run_time: timedelta) -> None:
        """Record the total run time of a finished task."""
        histogram = self._histograms.setdefault(template, DecayingHistogram())
        histogram.add(int(run_time / timedelta(milliseconds=1)))
        self._counts[template] = self._counts.get(template, 0) + 1

    def remaining(self, template: str, run_time: timedelta) -> timedelta | None:
        """Return the expected remaining run time of a task.

        :param template: template of the task.
        :param run_time: time that the task has run.
        :returns: None when unknown, or when the task has run longer than expected.
        """
        if self._counts.get(template, 0) < MIN_FINISHED:
            return None
        expected = timedelta(milliseconds=self._histograms[template].quantile(QUANTILE))
        return expected - run_time if run_time < expected else None

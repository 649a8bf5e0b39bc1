"""Run times learned per template; declared run times are far off."""

from datetime import timedelta

from .sizes import DecayingHistogram

MIN_FINISHED = 3
"""Below this many finished tasks the run time of a template is unknown."""

QUANTILE = 0.75
"""A task is expected to run as long as three of four tasks of its template."""


class DurationBook:
    """Learned run time of each template."""

    def __init__(self):
        self._templates: dict[str, DecayingHistogram] = {}
        self._counts: dict[str, int] = {}

    def observe(self, template: str, run_time: timedelta) -> None:
        """Record the whole run time of a finished task."""
        histogram = self._templates.setdefault(template, DecayingHistogram())
        histogram.add(int(run_time / timedelta(milliseconds=1)))
        self._counts[template] = self._counts.get(template, 0) + 1

    def remaining(self, template: str, run_time: timedelta) -> timedelta | None:
        """Return the expected remaining time of a task.

        :param template: template of the task.
        :param run_time: time that it has run.
        :returns: None when unknown, or when the task already runs longer than expected.
        """
        if self._counts.get(template, 0) < MIN_FINISHED:
            return None
        expected = timedelta(milliseconds=self._templates[template].quantile(QUANTILE))
        return expected - run_time if run_time < expected else None

"""Counters, gauges, and latency histograms by client account, class and template."""

import threading
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
"""Ten minutes, the longest deadline. Higher latencies are recorded as this value."""

SIGNIFICANT_DIGITS = 2
"""Two digits take 14 KB per series; a third would take about eight times as much."""

MAX_SERIES = 1000
MAX_COUNTERS = 500
OVERFLOW_LABEL = "other"

_MICROSECOND = timedelta(microseconds=1)
_US_PER_MS = 1000


@attrs.frozen(order=True)
class SeriesKey:
    """Labels that identify one histogram.

    :param account: client account.
    :param task_class: value of `TaskClass`.
    :param template: name of the template.
    """

    account: str
    task_class: str
    template: str


@attrs.frozen
class SeriesSummary:
    """Percentiles of one histogram, in milliseconds."""

    key: SeriesKey
    count: int
    p50_ms: float
    p99_ms: float
    p99_9_ms: float
    max_ms: float

    def to_json(self) -> dict[str, object]:
        """Return the summary as JSON-serialisable values."""
        return {
            "account": self.key.account,
            "class": self.key.task_class,
            "template": self.key.template,
            "count": self.count,
            "p50_ms": self.p50_ms,
            "p99_ms": self.p99_ms,
            "p99_9_ms": self.p99_9_ms,
            "max_ms": self.max_ms,
        }


@attrs.frozen
class MetricsSnapshot:
    """All histograms, counters and gauges at one point in time."""

    series: tuple[SeriesSummary, ...]
    counters: dict[str, int]
    gauges: dict[str, int] = attrs.field(factory=dict)

    def to_json(self) -> dict[str, object]:
        """Return the snapshot as JSON-serialisable values."""
        histograms = [summary.to_json() for summary in self.series]
        return {"histograms": histograms, "counters": self.counters, "gauges": self.gauges}


class Metrics:
    """Thread-safe histograms, counters and gauges of one process.

    Series and counters above their limits are combined under the name `other`, which bounds the
    memory whatever names occur.

    :param max_series: maximum number of separate histograms.
    :param max_counters: maximum number of separate counters.
    """

    def __init__(self, max_series: int = MAX_SERIES, max_counters: int = MAX_COUNTERS):
        self._max_series = max_series
        self._max_counters = max_counters
        self._lock = threading.Lock()
        self._series: dict[SeriesKey, HdrHistogram] = {}
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, int] = {}

    def record(self, account: str, task_class: str, template: str, latency: timedelta) -> None:
        """Record a latency in the histogram of its labels."""
        value = min(max(latency // _MICROSECOND, LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram(SeriesKey(account, task_class, template)).record_value(value)

    def count(self, counter: str, amount: int = 1) -> None:
        """Increment a counter by an amount."""
        with self._lock:
            if counter not in self._counters and len(self._counters) >= self._max_counters:
                counter = OVERFLOW_LABEL
            self._counters[counter] = self._counters.get(counter, 0) + amount

    def set_gauge(self, gauge: str, value: int) -> None:
        """Set the current value of a gauge; gauges have fixed names."""
        with self._lock:
            self._gauges[gauge] = value

    def snapshot(self) -> MetricsSnapshot:
        """Return all series, counters and gauges, each ordered by name."""
        with self._lock:
            series = tuple(_summarize(key, self._series[key]) for key in sorted(self._series))
            counters = dict(sorted(self._counters.items()))
            return MetricsSnapshot(series, counters, dict(sorted(self._gauges.items())))

    def to_text(self) -> list[str]:
        """Return all series, counters and gauges, one per line, as `name{label="value"} number`."""
        snapshot = self.snapshot()
        lines = [f'events{{name="{name}"}} {count}' for name, count in snapshot.counters.items()]
        lines += [f'gauge{{name="{name}"}} {value}' for name, value in snapshot.gauges.items()]
        for series in snapshot.series:
            labels = f'class="{series.key.task_class}",template="{series.key.template}"'
            if series.key.account:
                labels += f',account="{series.key.account}"'
            lines.append(f"latency_count{{{labels}}} {series.count}")
            for name in ("p50_ms", "p99_ms", "p99_9_ms", "max_ms"):
                lines.append(f"latency_{name}{{{labels}}} {getattr(series, name)}")
        return lines

    def _histogram(self, key: SeriesKey) -> HdrHistogram:
        if key not in self._series and len(self._series) >= self._max_series:
            key = SeriesKey(OVERFLOW_LABEL, OVERFLOW_LABEL, OVERFLOW_LABEL)
        if key not in self._series:
            self._series[key] = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=4)
        return self._series[key]


def _summarize(key: SeriesKey, histogram: HdrHistogram) -> SeriesSummary:
    def percentile(percent: float) -> float:
        return histogram.get_value_at_percentile(percent) / _US_PER_MS

    return SeriesSummary(
        key=key,
        count=histogram.get_total_count(),
        p50_ms=percentile(50),
        p99_ms=percentile(99),
        p99_9_ms=percentile(99.9),
        max_ms=histogram.get_max_value() / _US_PER_MS,
    )

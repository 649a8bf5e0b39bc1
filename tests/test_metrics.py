"""Tests of latency histograms and counters."""

import threading
from datetime import timedelta

import pytest
from mulberryslip.metrics import Metrics

MS = timedelta(milliseconds=1)


def test_percentiles_of_known_latencies():
    """Guards against wrong units or a percentile that hides the tail."""
    metrics = Metrics()
    for latency in range(1, 1001):
        metrics.record("ledger", "service", "check", latency * MS)
    (row,) = metrics.snapshot().to_json()["histograms"]
    assert (row["account"], row["class"], row["template"]) == ("ledger", "service", "check")
    assert row["count"] == 1000
    for name, expected in [("p50_ms", 500), ("p99_ms", 990), ("p99_9_ms", 999), ("max_ms", 1000)]:
        assert row[name] == pytest.approx(expected, rel=0.011)


@pytest.mark.parametrize("latency", [timedelta(-1), timedelta(), timedelta(days=400)])
def test_latency_out_of_range_is_recorded_at_the_limit(latency):
    """Guards against an out-of-range latency that is lost or raises an error."""
    metrics = Metrics()
    metrics.record("a", "service", "t", latency)
    assert metrics.snapshot().series[0].count == 1


def test_number_of_series_and_counters_is_bounded():
    """Guards against memory that grows with the names sent by callers."""
    metrics = Metrics(max_series=3, max_counters=3)
    for number in range(10):
        metrics.record(f"a{number}", "service", "t", MS)
        metrics.count(f"c{number}")
    snapshot = metrics.snapshot()
    assert {s.key.account: s.count for s in snapshot.series} == {
        "a0": 1, "a1": 1, "a2": 1, "other": 7
    }  # fmt: skip
    assert snapshot.counters == {"c0": 1, "c1": 1, "c2": 1, "other": 7}


def test_no_count_is_lost_between_threads():
    """Guards against lost updates when several requests end at once."""
    metrics = Metrics()

    def work():
        for _ in range(300):
            metrics.record("a", "service", "t", MS)
            metrics.count("c")

    threads = [threading.Thread(target=work) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert metrics.snapshot().counters["c"] == 1800
    assert metrics.snapshot().series[0].count == 1800

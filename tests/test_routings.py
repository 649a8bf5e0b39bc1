"""Tests of the routing of requests to workers."""

import random
from collections import Counter
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import ManualClock, Resources
from mulberryslip.configs import parse_template
from mulberryslip.models import WorkerDescription, WorkerLoad, WorkerView
from mulberryslip.routings import PROBE_INTERVAL, LinkDelays, Router

MS = timedelta(milliseconds=1)
LINKS = LinkDelays({"concord/lexington": 4, "concord/salem": 8})
CAPACITY = Resources(1000, 1000, 0, 8)


def service(**parameters):
    raw = {"class": "service", "account": "a", "parameters": {"objective_ms": 1, **parameters}}
    return parse_template("check", raw)


def view(worker_id, data_centre="concord", **load):
    load = {"service_time_us": 5000, **load}
    description = WorkerDescription(
        worker_id, "1", data_centre, "rack-0", "127.0.0.1", 1, CAPACITY, ("check",)
    )
    return WorkerView(description, WorkerLoad(**load))


class LeastLoadedRouter(Router):
    """Test double without sampling: always chooses the worker with the smallest estimate."""

    def _sample_candidates(self, candidate_set, avoid, now):
        return candidate_set.workers


class BlindRouter(LeastLoadedRouter):
    """Test double that also ignores the requests that this process has in flight."""

    def record_sent(self, worker_id):
        """Do not count the request."""


def make_router(kind=Router, seed=1):
    clock = ManualClock()
    return kind(clock, random.Random(seed), LINKS), clock


def choose(router, workers, deadline=500 * MS, template=None, avoid=frozenset()):
    return router.choose(template or service(), "concord", workers, deadline, avoid)


def burst(kind, entries=4, requests=30):
    """Send a burst through several entries with the same stale report; return the idle share."""
    workers = [view("idle", in_flight=0)]
    workers += [view(f"busy-{i}", in_flight=16, queued=2) for i in range(10)]
    routers = [make_router(kind, seed)[0] for seed in range(entries)]
    sent = Counter()
    for _ in range(requests):
        for router in routers:
            choice = choose(router, workers)
            router.record_sent(choice.worker_id)
            sent[choice.worker_id] += 1
    return sent["idle"] / (entries * requests)


def test_burst_is_not_sent_to_a_single_worker_that_looks_idle():
    """Guards against a thundering herd caused by stale reports.

    Choosing by the smallest reported load alone sends every request to the same worker.
    """
    assert burst(BlindRouter) == 1.0
    assert burst(LeastLoadedRouter) > 0.4
    assert burst(Router) < 0.3


@pytest.mark.parametrize(
    ("far_load", "near_load", "expected"),
    [
        ({}, {}, "near"),
        ({}, {"in_flight": 40}, "near"),
        ({}, {"service_time_us": 60_000}, "far"),
        ({}, {"in_flight": 200, "queued": 200}, "far"),
        ({"service_time_us": 60_000}, {"service_time_us": 60_000}, "near"),
        ({}, {"pressure_permille": 4000, "service_time_us": 10_000}, "far"),
    ],
)
def test_nearest_data_centre_unless_it_is_slower_than_the_link(far_load, near_load, expected):
    """Guards against link traffic without gain, and requests kept in an overloaded data centre."""
    router, _ = make_router()
    workers = [view("near", **near_load), view("far", "lexington", **far_load)]
    assert {choose(router, workers).worker_id for _ in range(20)} == {expected}


def test_link_cost_exceeds_its_delay():
    """Guards against requests sent to another data centre for a gain within the noise."""
    router, _ = make_router()
    # The far worker is 10 ms faster, the round trip takes 8 ms, and the link cost adds 8 ms.
    workers = [view("near", service_time_us=15_000), view("far", "lexington")]
    choice = choose(router, workers)
    assert choice.worker_id == "near"
    assert "link price 8.0 ms" in choice.reason


def test_own_requests_count_before_any_report():
    """Guards against a burst that one entry balances only after the next load report."""
    router, _ = make_router()
    workers = [view("a"), view("b")]
    sent = Counter()
    for _ in range(100):
        choice = choose(router, workers)
        router.record_sent(choice.worker_id)
        sent[choice.worker_id] += 1
    assert sent == {"a": 50, "b": 50}


def test_stale_report_loses_its_weight():
    """Guards against preferring a worker that reported low load and then stopped reporting."""
    router, clock = make_router()
    silent = view("silent", service_time_us=4000)
    assert choose(router, [silent, view("fresh")]).worker_id == "silent"
    clock.advance(timedelta(seconds=5))
    choice = choose(router, [silent, view("fresh")])
    assert choice.worker_id == "fresh"
    assert "report 5000 ms old" in choice.reason


def test_repeated_view_is_not_a_new_report():
    """Guards against an old report that counts as new each time its view is passed."""
    router, clock = make_router()
    silent = view("silent", service_time_us=4000)
    for _ in range(50):
        choose(router, [silent, view("fresh")])
        clock.advance(100 * MS)
    assert choose(router, [silent, view("fresh")]).worker_id == "fresh"


def test_report_on_a_reply_replaces_the_view():
    """Guards against a stale view that overrides the newer load in a reply."""
    router, _ = make_router()
    workers = [view("a", service_time_us=4000), view("b")]
    choice = choose(router, workers)
    router.record_sent(choice.worker_id)
    router.record_response("a", "check", 5 * MS, WorkerLoad(in_flight=300, service_time_us=9000))
    assert choose(router, workers).worker_id == "b"


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against work for a caller that has already timed out."""
    router, _ = make_router()
    workers = [view(f"w{i}", in_flight=640, service_time_us=50_000) for i in range(3)]
    assert "as a probe" in choose(router, workers, 100 * MS).reason
    choice = choose(router, workers, 100 * MS)
    assert choice.worker_id == ""
    assert "100 ms are left" in choice.reason
    assert "1050 ms" in choice.reason


def test_refusals_let_a_probe_through():
    """Guards against endless refusals, since service times are measured only on requests."""
    router, clock = make_router()
    workers = [view("w", service_time_us=900_000)]
    choices = []
    for _ in range(100):
        choices.append(choose(router, workers, 500 * MS).worker_id)
        clock.advance(PROBE_INTERVAL / 10)
    assert choices.count("w") == 10


def test_worker_in_time_is_found_among_slow_ones():
    """Guards against a refusal that considered only the sampled workers."""
    router, _ = make_router()
    workers = [view(f"slow-{i}", service_time_us=900_000) for i in range(40)] + [view("fast")]
    for _ in range(20):
        assert choose(router, workers, 100 * MS).worker_id == "fast"


def test_failing_worker_is_avoided_for_a_growing_time():
    """Guards against requests sent repeatedly to a worker that refuses all of them quickly."""
    router, clock = make_router()
    workers = [view("bad", service_time_us=100), view("good")]
    sent = Counter()
    for _ in range(200):
        worker_id = choose(router, workers).worker_id
        router.record_sent(worker_id)
        sent[worker_id] += 1
        if worker_id == "bad":
            router.record_failure("bad")
        else:
            router.record_response("good", "check", 5 * MS, None)
        clock.advance(10 * MS)
    assert sent["bad"] < 10
    assert choose(router, [workers[0]]).worker_id == "bad"


@pytest.mark.parametrize(
    ("failing", "load", "is_over"),
    [
        (6, None, True),
        (4, None, True),
        (3, None, False),
        (6, WorkerLoad(service_time_us=5000), False),
    ],
    ids=["all", "two thirds", "half", "all refuse"],
)
def test_answer_after_an_outage_of_most_workers_speaks_for_all(failing, load, is_over):
    """Guards against one worker that gets all requests, and refusals, after a network outage."""
    router, clock = make_router()
    views = [view(f"w{number}") for number in range(6)]
    unreachable = [f"w{number}" for number in range(failing)]
    choose(router, views)
    for _ in range(10):
        for worker_id in unreachable:
            router.record_sent(worker_id)
            router.record_failure(worker_id, load)
    router.record_sent("w0")
    router.record_response("w0", "check", 5 * MS, None)
    views = [view(f"w{number}") for number in range(6)]
    sent = Counter()
    for _ in range(60):
        choice = choose(router, views, 20 * MS, service(max_in_flight=8))
        sent[choice.worker_id] += 1
        router.record_sent(choice.worker_id)
    assert (sum(sent[worker_id] for worker_id in unreachable[1:]) > 0) is is_over
    assert (sent[""] == 0) is (is_over or failing < 6)
    router.record_failure("w1", load)
    clock.advance(timedelta(seconds=1))
    views = [view(f"w{number}") for number in range(6)]
    assert "w1" not in {choose(router, views).worker_id for _ in range(60)}


@pytest.mark.parametrize(
    ("parameters", "latency_ms", "deadline_ms", "expected_ms"),
    [
        ({"idempotent": True, "hedge_after_ms": 50}, 5, 500, 50),
        ({"idempotent": True, "hedge_after_ms": 50}, 80, 500, 80),
        ({"idempotent": True, "hedge_after_ms": 0}, 5, 500, None),
        ({"idempotent": False, "hedge_after_ms": 50}, 5, 500, None),
        ({"idempotent": True, "hedge_after_ms": 50}, 5, 90, None),
    ],
)
def test_hedging_delay(parameters, latency_ms, deadline_ms, expected_ms):
    """Guards against hedging non-idempotent requests, or before the usual response time."""
    router, _ = make_router()
    for _ in range(64):
        router.record_response("w", "check", latency_ms * MS, None)
    choice = choose(router, [view("w")], deadline_ms * MS, service(**parameters))
    expected = None if expected_ms is None else expected_ms * MS
    assert choice.hedge_after == expected


def test_tried_workers_are_left_out():
    """Guards against a retry on a worker that has already been tried."""
    router, _ = make_router()
    workers = [view("a"), view("b")]
    assert choose(router, workers, avoid=frozenset({"a"})).worker_id == "b"
    choice = choose(router, workers, avoid=frozenset({"a", "b"}))
    assert (choice.worker_id, "2 were tried" in choice.reason) == ("", True)


LOADS = st.builds(
    WorkerLoad,
    in_flight=st.integers(0, 1000),
    queued=st.integers(0, 1000),
    service_time_us=st.integers(0, 10**7),
    pressure_permille=st.integers(0, 10**6),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["concord", "lexington", "x"]), LOADS), max_size=12),
    st.lists(st.integers(0, 3), max_size=30),
)
def test_choice_is_a_usable_worker_or_a_reasoned_refusal(described, steps):
    """Guards against a load for which the router raises or chooses an unknown worker."""
    router, clock = make_router()
    workers = [
        attrs.evolve(view(f"w{i}", centre), load=load) for i, (centre, load) in enumerate(described)
    ]
    known = {worker.description.worker_id for worker in workers}
    for step in steps:
        choice = choose(router, workers, 300 * MS)
        assert choice.reason
        assert choice.worker_id in known | {""}
        router.record_sent(choice.worker_id)
        if step == 1:
            router.record_response(choice.worker_id, "check", 5 * MS, None)
        elif step == 2:
            router.record_failure(choice.worker_id)
        clock.advance(step * 700 * MS)

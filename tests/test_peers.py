"""Tests of the threads that run the calls to workers."""

import threading
from concurrent.futures import wait

import pytest
from mulberryslip_testing.waits import wait_until
from mulberryslipd.peers import WorkerThreadPool

WORKERS = [f"w{number}" for number in range(11)]
LIMIT_S = 5


@pytest.fixture
def pool():
    pool = WorkerThreadPool("shard-0")
    yield pool
    pool.stop()


@pytest.fixture
def may_start(pool, monkeypatch):
    """Return an event before which no thread starts, as when none gets a processor."""
    may_start = threading.Event()
    start = threading.Thread.start

    def start_late(thread):
        assert may_start.wait(LIMIT_S), "the caller waits for the start"
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_late)
    return may_start


def test_submit_does_not_wait_for_a_thread_to_start(pool, may_start):
    """Guards against a round that waits for the start of a thread for each worker."""
    done = []
    futures = [
        pool.submit(worker, lambda call=(worker, number): done.append(call))
        for worker in WORKERS
        for number in range(3)
    ]
    assert done == []
    may_start.set()
    assert not wait(futures, LIMIT_S).not_done
    for worker in WORKERS:
        assert [number for name, number in done if name == worker] == [0, 1, 2]


def test_calls_without_a_started_thread_are_cancelled_by_a_stop(pool, may_start):
    """Guards against calls of an ended term that run later."""
    done = []
    futures = [pool.submit(worker, lambda: done.append(1)) for worker in WORKERS]
    pool.stop()
    may_start.set()
    assert wait_until(lambda: all(fut.cancelled() for fut in futures))
    assert done == []

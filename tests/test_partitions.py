"""Tests of the division of a fleet into pools."""

import random
from collections import Counter

import pytest
from mulberryslip.partitions import MAX_POOLS, partition_of, pool_count, pool_of_agent

DATA_CENTRES = ("berkshire", "merrimack", "narragansett", "green-mtn", "white-mtn", "cape-cod")


@pytest.mark.parametrize(
    ("writes_per_s", "expected"),
    [(0, 1), (400, 1), (1200.0, 1), (3200, 1), (7999, 1), (8000, 2), (16_280, 4)]
    + [(10**9, MAX_POOLS)],
)
def test_number_of_pools_follows_the_write_rate(writes_per_s, expected):
    """Guards against small fleets that are divided, and large ones with a single owner."""
    assert pool_count(writes_per_s) == expected


@pytest.mark.parametrize("count", [1, 2, 4, 7])
def test_each_pool_has_its_share_of_each_data_centre(count):
    """Guards against a pool that is lost together with one data centre or rack."""
    for data_centre in DATA_CENTRES:
        pools = Counter(
            pool_of_agent(f"side-{data_centre}-{number}", data_centre, count)
            for number in range(1, 29)
        )
        assert set(pools) == set(range(count))
        assert max(pools.values()) - min(pools.values()) <= 1


def test_rack_of_adjacent_workers_is_divided_among_all_pools():
    """Guards against work for one rack that finds none of its workers in its pool."""
    for first in range(1, 17):
        rack = {pool_of_agent(f"side-east-{first + n}", "east", 4) for n in range(12)}
        assert rack == {0, 1, 2, 3}


WRITES_PER_WORKER = 20
MEAN_WORKER_CORES = 64 * 7 / 6
SERVICE_CORES = 24 * 13
SERVICE_SHARE = 0.8


@pytest.mark.parametrize("workers", [11, 70, 160, 300, 810])
def test_services_fit_into_their_pool(workers):
    """Guards against long-running tasks that wait while another pool has room for them.

    Load: services of 24 tasks with 13 cores each reserve four fifths of the processors.
    """
    count = pool_count(workers * WRITES_PER_WORKER)
    capacity = workers * MEAN_WORKER_CORES
    services = int(SERVICE_SHARE * capacity / SERVICE_CORES)
    rng = random.Random(workers)
    for _ in range(200):
        pools = Counter(partition_of(f"{rng.getrandbits(64):016x}", count) for _ in range(services))
        assert max(pools.values(), default=0) * SERVICE_CORES <= capacity / count


def test_ids_without_a_number_belong_to_some_pool():
    """Guards against an agent that cannot start under an id of another form."""
    pools = {pool_of_agent(f"agent-{letter}", "east", 4) for letter in "abcdefghijklmnop"}
    assert pools <= {0, 1, 2, 3}
    assert len(pools) > 1


def test_workflows_are_spread_equally():
    """Guards against one pool that gets most of the work while others are idle."""
    rng = random.Random(5)
    counts = Counter(partition_of(f"{rng.getrandbits(64):016x}", 4) for _ in range(4000))
    assert min(counts.values()) > 900

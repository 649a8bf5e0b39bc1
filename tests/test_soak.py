"""Short seeded soak tests with real processes.

See `python tests/soak.py --help` for longer ones.
"""

import random
import sys

import pytest
from mulberryslip_testing.clusters import Process
from soak import MAX_WORKER_LEASE_MS, free_ports, soak

REGRESSIONS = {
    1: "run ends of a worker incarnation were acknowledged with end numbers of the earlier one",
    2: "a start command for an earlier incarnation ran in the later one and counted as lost",
    17: "same cause as seed 1, with the run on another worker",
}
"""Seeds that have failed in the past, with the cause."""


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_seeds_that_have_failed(seed, tmp_path):
    """Guards against the failures listed in `REGRESSIONS`."""
    assert soak(seed, 20, directory=tmp_path) == []


@pytest.mark.parametrize("pools", [1, 2])
def test_short_soak(tmp_path, pools):
    """Guards against violations that occur only between real processes, not with test doubles."""
    assert soak(5, 10, workers=4, pools=pools, directory=tmp_path) == []


def test_short_soak_with_late_renewals(tmp_path):
    """Guards against second runs while a call for an earlier incarnation keeps the first alive."""
    violations = soak(
        11,
        25,
        workers=6,
        directory=tmp_path,
        late_calls=("hold",),
        max_worker_lease_ms=MAX_WORKER_LEASE_MS,
    )
    assert violations == []


def test_two_soaks_of_one_seed_use_different_ports():
    """Guards against processes that end because another run of the tests listens on their ports."""
    assert set(free_ports(random.Random(1), 15)) != set(free_ports(random.Random(1), 15))


def test_process_that_two_faults_restart_is_started_once(tmp_path):
    """Guards against a process that a soak loses sight of and leaves running after its end."""
    argv = [sys.executable, "-c", "import time; time.sleep(60)"]
    process = Process("sleeper", argv, tmp_path / "log")
    process.start()
    first = process.popen
    try:
        process.start()
        assert process.popen is first
    finally:
        process.kill()
        first.kill()
        first.wait()

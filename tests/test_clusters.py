"""Tests with real processes on loopback: planned stops, concurrent operators, outages, freezes."""

import random
import signal
import threading
import time

import pytest
import urllib3
from mulberryslip_testing import chaos, invariants
from mulberryslip_testing.callers import Callers
from mulberryslip_testing.clusters import Cluster

CHANGE_BOUND_S = 4.0
LEAVING_BOUND_S = 3.0
STOP_BOUND_S = 8.0
# Longer than the grace period of a planned stop, so that requests are in flight when it ends.
RESPONSE_DELAY_MS = 900
SETTLE_S = 1.0


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path, chaos.LAYOUT) as running:
        chaos.configure(running)
        yield running


def target_requests(cluster, worker):
    return cluster.stand_in(f"target-{worker}", "GET", "/admin/requests")[1]["requests"]


def history(cluster):
    return cluster.stand_in("runtime", "GET", "/history")[1]["entries"]


def wait_finished(cluster, job_id, timeout_s=40.0):
    def finished():
        job = chaos.read_job(cluster, job_id)
        return job if job and job["state"] in ("finished", "failed") else None

    return cluster.wait_until(finished, f"{job_id} ends", timeout_s)


def wait_running(cluster, count):
    def running():
        entries = history(cluster)
        return sum(e["event"] == "start" for e in entries) >= count and entries

    return cluster.wait_until(running, f"{count} tasks run")


def check_history(cluster):
    entries = history(cluster)
    capacities = dict.fromkeys(cluster.worker_names(), chaos.CAPACITY)
    violations = invariants.check_single_run(entries)
    violations += invariants.check_resumes(entries)
    violations += invariants.check_capacity(entries, capacities)
    assert violations == []


@pytest.mark.parametrize("name", ["worker-1", "entry-1"])
def test_planned_stop_cuts_off_no_request(cluster, name):
    """Guards against requests lost in a planned stop, and new requests to a leaving target."""
    chaos.submit_job(cluster, "job-1")
    for worker in cluster.worker_names():
        cluster.stand_in(
            f"target-{worker}", "PUT", "/admin/faults", {"delay_ms": RESPONSE_DELAY_MS}
        )
    callers = Callers(chaos.service_urls(cluster), seed=1, threads=12)
    callers.start()
    time.sleep(SETTLE_S)
    started = time.time()
    cluster.processes[name].signal(signal.SIGTERM)
    assert cluster.processes[name].terminate() == 0
    assert time.time() - started < STOP_BOUND_S
    time.sleep(SETTLE_S)
    record = callers.stop()
    assert record.answered
    # The resend of a completed request fails if the worker that stores its response has stopped.
    cut_off = set(record.unknown) - set(record.answered)
    assert cut_off == set(), record.reasons
    assert record.mismatched == []
    if name.startswith("worker"):
        records = target_requests(cluster, name)
        assert invariants.check_no_new_work(records, started + LEAVING_BOUND_S) == []
    job = wait_finished(cluster, "job-1")
    assert invariants.check_results(job, [chaos.expected_task_result()] * chaos.TASKS_PER_JOB) == []
    check_history(cluster)


def test_data_centre_out_is_in_force_within_the_bound_and_stays(cluster):
    """Guards against a change that takes effect in only some processes or is lost in a restart."""
    callers = Callers(chaos.service_urls(cluster), seed=2)
    callers.start()
    revision = cluster.change("/v1/data-centres/keene", {"state": "out"})
    accepted = time.time()
    cluster.processes["entry-1"].kill()
    cluster.processes["entry-1"].start()
    cluster.wait_for_port("entry-1", cluster.ports["entry-1.operators"])
    for entry in cluster.entry_names():

        def in_force(entry=entry):
            status, document = cluster.call_operator_api("GET", "/v1/config", entry=entry)
            return status == 200 and document["revision"] >= revision

        cluster.wait_until(in_force, f"{entry} has revision {revision}", CHANGE_BOUND_S)
    assert chaos.submit_job(cluster, "job-1") is None
    wait_finished(cluster, "job-1")
    time.sleep(max(0.0, accepted + CHANGE_BOUND_S + SETTLE_S - time.time()))
    callers.stop()
    for worker in ("worker-2", "worker-4"):
        records = target_requests(cluster, worker)
        assert invariants.check_no_new_work(records, accepted + CHANGE_BOUND_S) == []
    bound = accepted + chaos.LATE_START_BOUND_S
    out = ("worker-2", "worker-4")
    assert invariants.check_data_centre_out(history(cluster), out, bound, float("inf")) == []


def test_concurrent_operators_overwrite_no_accepted_change(cluster):
    """Guards against accepted changes that a concurrent change overwrites."""
    accepted, refused = [], []
    lock = threading.Lock()

    def change_accounts(number):
        rng = random.Random(number)
        for step in range(6):
            entry = rng.choice(cluster.entry_names())
            name = f"operator-{number}-{step}"
            _, current = cluster.call_operator_api("GET", "/v1/config", entry=entry)
            status, response = cluster.call_operator_api(
                "PUT",
                f"/v1/accounts/{name}",
                {"cpu_millis": 1, "memory_mb": 1},
                entry=entry,
                If_Revision=str(current["revision"]),
            )
            with lock:
                (accepted if status == 200 else refused).append((name, status, response))

    threads = [threading.Thread(target=change_accounts, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    _, final = cluster.call_operator_api("GET", "/v1/config")
    names = {name for name, _, _ in accepted}
    assert names == {name for name in final["accounts"] if name.startswith("operator")}
    assert len({response["revision"] for _, _, response in accepted}) == len(accepted)
    assert {status for _, status, _ in refused} <= {409}
    assert all(response["error"]["message"] for _, _, response in refused)


def test_store_outage_stops_starts_but_not_requests(cluster):
    """Guards against a store outage that fails service requests or makes tasks run twice."""
    chaos.submit_job(cluster, "job-1")
    wait_running(cluster, chaos.TASKS_PER_JOB)
    cluster.stand_in("store", "PUT", "/admin/faults", {"outage": "drop"})
    down = time.time()
    body = {"template": "reconciliation", "tasks": [{"input": {"items": []}}]}
    status, response = cluster.call("entry-2", "PUT", "/v1/jobs/job-2", body)
    assert (status, response["error"]["code"]) in ((503, "not_run"), (504, "outcome_unknown"))
    # By then, the leases of the entry and the shard have expired.
    time.sleep(7.0)
    status, _ = cluster.call("entry-1", "GET", "/v1/services/balance-check/tokens/t-1")
    assert status == 200
    cluster.stand_in("store", "PUT", "/admin/faults", {"outage": ""})
    job = wait_finished(cluster, "job-1")
    assert invariants.check_results(job, [chaos.expected_task_result()] * chaos.TASKS_PER_JOB) == []
    starts = [e for e in history(cluster) if e["event"] == "start" and e["at"] > down + 0.5]
    assert all(e["at"] > down + 7.0 for e in starts)
    check_history(cluster)


@pytest.mark.parametrize("name", ["worker", "entry"])
def test_frozen_process_does_not_act_on_expired_leases(cluster, name):
    """Guards against a resumed process that acts on leases that expired while it was suspended."""
    chaos.submit_job(cluster, "job-1")
    entries = wait_running(cluster, chaos.TASKS_PER_JOB)
    frozen = entries[0]["worker"] if name == "worker" else "entry-1"
    cluster.processes[frozen].signal(signal.SIGSTOP)
    time.sleep(7.0)
    cluster.processes[frozen].signal(signal.SIGCONT)
    job = wait_finished(cluster, "job-1")
    assert invariants.check_results(job, [chaos.expected_task_result()] * chaos.TASKS_PER_JOB) == []
    time.sleep(SETTLE_S)
    check_history(cluster)


def test_hanging_and_truncating_targets_give_no_wrong_response(cluster):
    """Guards against truncated responses passed on as complete, and against a second run."""
    for worker, faults in (("worker-1", {"truncate": True}), ("worker-2", {"hang": True})):
        cluster.stand_in(f"target-{worker}", "PUT", "/admin/faults", faults)
    callers = Callers(chaos.service_urls(cluster), seed=3)
    callers.start()
    time.sleep(5.0)
    record = callers.stop()
    for worker in ("worker-1", "worker-2"):
        with pytest.raises(urllib3.exceptions.HTTPError):
            cluster.http.request(
                "GET",
                f"http://127.0.0.1:{cluster.ports[f'target-{worker}']}/x",
                timeout=0.5,
            )
        cluster.stand_in(f"target-{worker}", "PUT", "/admin/faults", {})
    records = [r for worker in cluster.worker_names() for r in target_requests(cluster, worker)]
    assert record.answered
    assert record.mismatched == []
    assert invariants.check_at_most_once(records) == []
    other_outcomes = {*record.answered, *record.unknown, *record.not_claimed}
    assert invariants.check_not_run(records, record.not_run, other_outcomes) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_seeded_failure_run(seed, tmp_path):
    """Guards against violations of invariants under single faults and pairs of faults."""
    run = chaos.Run(seed, steps=5)
    violations = run.execute(tmp_path)
    assert violations == [], "\n".join([f"seed {seed}", *run.trace])

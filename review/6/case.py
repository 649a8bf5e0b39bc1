"""One liveness report of another writer reaches an agent; no task may run twice."""

import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from platform_standins import Deployment, call  # noqa: E402

WORKERS = 11
TASKS = 22
RUN_TIME_S = 8.0
NAME = "5760000000000001"
WATCHED_S = 20.0
"""Long enough for all tasks to run once, and for those of a lost worker to run again."""


def foreign_report(worker):
    """Return a report of another writer on the worker's machine, of a service that has no route."""
    report = worker.report()
    report["Service"] = "service-not-named"
    report["Address"] = "127.0.0.1:9"
    report["born"] = int(time.time() * 1000)
    report["Seq"] = 1
    return report


def runs_at_once(workers):
    """Return the tasks that run on two workers at this moment, with their runs."""
    found = {}
    for worker in workers:
        with worker.state:
            for run in worker.runs.values():
                found.setdefault(run.task, []).append(f"#{run.run} on worker {worker.number}")
    return {task: runs for task, runs in found.items() if len(runs) > 1}


def run(deployment, has_trouble):
    """Return 1 if a task ran twice at the same time, 0 if none did, 2 if nothing ran."""
    record = deployment.record
    if not deployment.start_all():
        record.write("the deployment did not become ready")
        return 2
    step = {"Count": TASKS, "Cpu": 2000, "MemMb": 256, "EstimateMs": int(RUN_TIME_S * 1000)}
    if deployment.request("POST", NAME, {"Spec": "check", "Steps": [step]})[0] != 200:
        record.write("the submission was not accepted before the trouble")
        return 2
    time.sleep(2)
    worker = next((worker for worker in deployment.workers if worker.runs), None)
    if worker is None:
        record.write("no task has started before the trouble")
        return 2
    if has_trouble:
        report = foreign_report(worker)
        answer = call(worker.agent_address, "PUT", "/-/instances/i-foreign", report)
        record.write(f"report of another writer at agent {worker.number}: {report} -> {answer}")
    ends = time.monotonic() + WATCHED_S
    while time.monotonic() < ends:
        doubled = runs_at_once(deployment.workers)
        if doubled:
            record.write(f"BROKEN these run twice at the same time: {doubled}")
            return 1
        time.sleep(0.01)
    status, answer = deployment.request("GET", NAME)
    if status != 200 or answer["State"] != "completed":
        record.write(f"the submission is not completed {WATCHED_S} s later")
        return 1
    return 0


def main():
    """Run the case; return its exit code."""
    deployment = Deployment(HERE, lambda task: RUN_TIME_S, WORKERS)
    try:
        code = run(deployment, os.environ.get("TROUBLE") != "0")
        deployment.record.write(f"exit code {code}")
        return code
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())

"""Many small tasks end on each worker while the platform's store is down."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.cases import is_troubled, main  # noqa: E402
from standins.deployments import CannotRunError, Deployment  # noqa: E402

SUBMISSION = "00000000000000a1"
TASKS = 1800
WORK_S = 9.0
OUTAGE_S = 4.5
END_S = 60.0


def play(deployment):
    """Play the case; return the breaks of the rule."""
    history = deployment.history
    steps = [{"Count": TASKS, "Cpu": 100, "MemMb": 100, "EstimateMs": int(WORK_S * 1000)}]
    front = deployment.fronts[0]
    status, _ = deployment.request("POST", front, SUBMISSION, {"Spec": "work", "Steps": steps})
    if status != 200:
        raise CannotRunError(f"the submission was answered {status}")
    expires = time.monotonic() + END_S
    while not any(SUBMISSION in event["task"] for event in history.of("end")):
        if time.monotonic() > expires:
            raise CannotRunError("no task has ended")
        time.sleep(0.02)
    started = {event["task"] for event in history.of("start") if SUBMISSION in event["task"]}
    print(f"{len(started)} of {TASKS} tasks were started before the first end")
    if is_troubled():
        history.add("disruption", "store", how="platform_down silent", for_s=OUTAGE_S)
        deployment.store.set_mode("silent")
        time.sleep(OUTAGE_S)
        deployment.store.set_mode("up")
        history.add("disruption over", "store")
    while time.monotonic() < expires:
        if deployment.request("GET", front, SUBMISSION)[1].get("State") == "completed":
            break
        time.sleep(0.5)
    time.sleep(1)
    return started_twice(history)


def started_twice(history):
    """Return the starts that followed a `done` end of the same task that was taken note of.

    An end whose worker's lease lapsed before it was taken note of does not count.
    """
    ended, noted, starts = {}, {}, []
    lapses = {}
    for event in history.of("start", "end", "noted", "lease lapsed"):
        run = (event["where"], event["task"], event["run"])
        if event["kind"] == "lease lapsed":
            lapses[event["where"]] = event["t"]
        elif event["kind"] == "start":
            starts.append(event)
        elif event["kind"] == "end" and event["how"] == "done":
            ended[run] = event["t"]
        elif run in ended and lapses.get(event["where"], -1.0) < ended[run]:
            noted.setdefault(event["task"], (ended[run], event["run"], event["t"]))
    breaks = []
    for start in starts:
        done_s, run, noted_s = noted.get(start["task"], (float("inf"), 0, 0.0))
        if start["t"] > done_s:
            text = f"TWICE {start['task']}: run {run} ended done at {done_s}, taken note of at"
            breaks.append(f"{text} {noted_s}; run {start['run']} started at {start['t']}")
    return breaks


def make_deployment():
    """Return the deployment of the case."""
    return Deployment(agents=3, gateways=2, seconds_of=seconds_of)


def seconds_of(task):
    """Return the length of a task's work, in seconds."""
    return WORK_S if SUBMISSION in task else 0.1


if __name__ == "__main__":
    main(FOLDER, make_deployment, play)

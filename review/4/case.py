"""An unhealthy worker turns starts away while clients ask how many submissions wait."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.cases import is_troubled, main  # noqa: E402
from standins.deployments import CannotRunError, Deployment  # noqa: E402

AGENTS, GATEWAYS = 7, 2
LABEL = "b"
SUBMISSIONS = 12
PER_S = 10.0
UNHEALTHY_S = 6.5
VISIBLE_S, AGE_S = 3.0, 2.0
ASK_EVERY_S = 0.2


def play(deployment):
    """Play the case; return the breaks of the rule."""
    history = deployment.history
    worker = deployment.workers[-1]
    if is_troubled():
        history.add("disruption", worker.name, how="srv_grey errors", for_s=UNHEALTHY_S)
        worker.is_unhealthy = True
    over = time.monotonic() + UNHEALTHY_S
    step = {"Count": 1, "Cpu": 960, "MemMb": 1900, "EstimateMs": 1600, "RequiredLabel": LABEL}
    accepted = {}
    for number in range(SUBMISSIONS):
        name = f"b{number:015x}"
        front = deployment.fronts[number % GATEWAYS]
        status, _ = deployment.request("POST", front, name, {"Spec": "check", "Steps": [step]})
        if status == 200:
            accepted[name] = time.monotonic()
        time.sleep(1 / PER_S)
    if len(accepted) < SUBMISSIONS / 2:
        raise CannotRunError("few submissions were accepted")
    breaks = []
    while time.monotonic() < over:
        front = deployment.fronts[len(breaks) % GATEWAYS]
        asked = time.monotonic()
        status, answer = deployment.request("GET", front)
        begun = {event["task"].partition(".")[0] for event in history.of("start")}
        due = [
            name
            for name, at in accepted.items()
            if name not in begun and asked - at > VISIBLE_S + AGE_S
        ]
        if status == 200 and due and answer["Waiting"] < len(due) / 2:
            text = f"MIXED Waiting was {answer['Waiting']}, while {len(due)} submissions that were"
            breaks.append(f"{text} accepted over {VISIBLE_S + AGE_S} s before had not begun")
        time.sleep(ASK_EVERY_S)
    worker.is_unhealthy = False
    time.sleep(3)
    states = {
        deployment.request("GET", deployment.fronts[0], name)[1]["State"] for name in accepted
    }
    turned_away = len(history.of("turned away"))
    print(
        f"{len(accepted)} accepted, {turned_away} starts turned away, states at the end: {states}"
    )
    return breaks


def make_deployment():
    """Return the deployment of the case."""
    deployment = Deployment(AGENTS, GATEWAYS, lambda task: 0.5)
    deployment.workers[-1].labels = (LABEL, "r1")
    return deployment


if __name__ == "__main__":
    main(FOLDER, make_deployment, play)

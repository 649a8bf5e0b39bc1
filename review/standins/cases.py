"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import os
import sys
import traceback
from pathlib import Path

from .deployments import CannotRunError


def is_troubled():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(directory, make_deployment, play):
    """Play a case, write `record.txt` to its folder and exit.

    :param make_deployment: returns a `Deployment`.
    :param play: plays the case on it and returns the breaks of the rule that it saw.
    """
    if not Path(__file__).resolve().parents[2].joinpath("target/deps").is_dir():
        print("target/deps is missing: run deploy/build.sh first")
        sys.exit(2)
    try:
        deployment = make_deployment()
        try:
            with deployment:
                deployment.wait_until_ready()
                breaks = play(deployment)
        finally:
            deployment.history.write(Path(directory) / "record.txt")
    except CannotRunError as exc:
        print(f"the case couldn't run: {exc}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    for text in breaks[:20]:
        print(f"BROKEN {text}")
    print(f"{len(breaks)} breaks" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)

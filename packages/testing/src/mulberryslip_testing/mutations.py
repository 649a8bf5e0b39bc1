"""Mutation tests: remove one safety mechanism at a time and check that its test then fails.

The mutations are made in a copy of the repository in a temporary directory. Prints one line for
each mechanism. A test that still passes without its mechanism does not verify it, and the exit code
is then 1.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
from absl import app
from tabulate import tabulate

ROOT = Path(__file__).resolve().parents[4]
PACKAGES = ("core", "daemon", "cli", "testing")
CORE = "packages/core/src/mulberryslip"
DAEMON = "packages/daemon/src/mulberryslipd"
TEST_TIMEOUT_S = 180
EXIT_PROCESS = '__import__("os")._exit(0)'


@attrs.frozen
class Mutation:
    """A source change that removes one mechanism.

    :param invariant: number of the invariant in the design page.
    :param mechanism: description of the mechanism that is removed.
    :param path: source file, relative to the root of the repository.
    :param old: source text that occurs exactly once in the file.
    :param new: replacement text.
    :param test: pytest id of the test that must fail.
    """

    invariant: int
    mechanism: str
    path: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        1,
        "admission checks free capacity",
        f"{CORE}/admissions.py",
        "if not (self._total_held(None) + resources).fits(self._capacity):",
        "if False:",
        "tests/test_admissions.py::test_capacity_is_never_exceeded_and_model_agrees",
    ),
    Mutation(
        2,
        "a claiming entry waits for the leases of an unreachable worker",
        f"{DAEMON}/tenures.py",
        "return (self.task_lease + 2 * self.runtime_lease) * 1.1",
        "return timedelta(0)",
        "tests/test_owners.py::test_task_of_an_unreachable_worker_waits_for_its_leases",
    ),
    Mutation(
        2,
        "the worker refuses a lower epoch",
        f"{CORE}/admissions.py",
        "if epoch < highest:",
        "if False:",
        "tests/test_workers.py::test_lower_epoch_is_refused",
    ),
    Mutation(
        2,
        "a lease is measured on the worker's clock",
        f"{DAEMON}/executions.py",
        "expires = max(expires, since + duration)",
        "expires = now + duration",
        "tests/test_workers.py::test_late_renewal_grants_no_more_than_one_in_time",
    ),
    Mutation(
        4,
        "the configuration is read after the reservations",
        f"{DAEMON}/starters.py",
        "config = self._source.refresh()",
        "config = self._source.view()",
        "tests/test_owners.py::test_data_centre_taken_out_between_reserve_and_start",
    ),
    Mutation(
        5,
        "a reply must carry the sequence number of its call",
        f"{CORE}/channels.py",
        "if self.expected is not None and (name, sequence) != self.expected:",
        "if False:",
        "tests/test_channels.py::test_duplicated_reply_reaches_no_other_caller",
    ),
    Mutation(
        6,
        "no refusal as not run without the claim",
        f"{DAEMON}/requests.py",
        "return NotClaimed(reason) if _needs_claim(req) and not claimed else NotRun(reason)",
        "return NotRun(reason)",
        "tests/test_requests.py::test_refusal_without_a_claim_does_not_say_not_run",
    ),
    Mutation(
        7,
        "a caller's request id is claimed",
        f"{DAEMON}/requests.py",
        "return req.caller_chosen and not req.template.parameters.idempotent",
        "return False",
        "tests/test_entries.py::test_resend_through_another_entry_is_not_run_again",
    ),
    Mutation(
        8,
        "requests are not routed to a leaving worker",
        f"{CORE}/fleets.py",
        "and not view.load.leaving\n        ]\n\n    def known_for",
        "]\n\n    def known_for",
        "tests/test_fleets.py",
    ),
    Mutation(
        9,
        "a stopping worker waits for its requests",
        f"{DAEMON}/workers.py",
        "self.forwarder.wait_idle(expires - self._clock.monotonic())",
        EXIT_PROCESS,
        "tests/test_clusters.py::test_planned_stop_cuts_off_no_request[worker-1]",
    ),
    Mutation(
        9,
        "a stopping entry waits for its requests",
        f"{DAEMON}/entries.py",
        "drained = self.drain.wait(expires - STOP_RESERVE - self._clock.monotonic())",
        EXIT_PROCESS,
        "tests/test_clusters.py::test_planned_stop_cuts_off_no_request[entry-1]",
    ),
    Mutation(
        10,
        "a lower revision is not adopted",
        f"{CORE}/changes.py",
        "if current is None or candidate.revision > current.revision:",
        "if True:",
        "tests/test_entries.py::test_revision_never_goes_back",
    ),
)


def run_mutated(mutation: Mutation, copy: Path) -> str:
    """Run a mutation's test without the mechanism.

    :param mutation: mutation to apply.
    :param copy: root of the copy of the repository; the file is restored afterwards.
    :returns: `fails` (expected), `passes`, or the reason why the mutation cannot be applied.
    """
    path = copy / mutation.path
    source = path.read_text()
    if source.count(mutation.old) != 1:
        return f"the text occurs {source.count(mutation.old)} times in {mutation.path}"
    path.write_text(source.replace(mutation.old, mutation.new))
    try:
        return "passes" if run_test(mutation.test, copy) else "fails"
    finally:
        path.write_text(source)


def run_test(test: str, copy: Path) -> bool:
    """Run one test with the packages of a copy.

    :param test: pytest id of the test.
    :param copy: root of the copy of the repository.
    :returns: whether the test passes.
    """
    sources = [str(copy / "packages" / name / "src") for name in PACKAGES]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
    argv = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
    result = subprocess.run(
        argv, cwd=copy, env=env, capture_output=True, check=False, timeout=TEST_TIMEOUT_S
    )
    return result.returncode == 0


def main(argv: list[str]) -> int:
    """Run every mutation and print a table of the results.

    :returns: 0 if each test passes with its mechanism and fails without it, 1 otherwise.
    """
    rows = []
    with tempfile.TemporaryDirectory(prefix="mulberryslip-mutations-") as name:
        copy = Path(name) / "copy"
        ignored = shutil.ignore_patterns(".venv", ".git", "__pycache__", ".*_cache")
        shutil.copytree(ROOT, copy, ignore=ignored)
        for mutation in MUTATIONS:
            original_result = "passes" if run_test(mutation.test, copy) else "fails"
            mutated_result = run_mutated(mutation, copy)
            rows.append(
                (
                    mutation.invariant,
                    mutation.mechanism,
                    original_result,
                    mutated_result,
                    mutation.test,
                )
            )
    headings = ("INVARIANT", "MECHANISM", "WITH IT", "WITHOUT IT", "TEST")
    print(tabulate(rows, headings, tablefmt="plain"))
    return 0 if all(row[2:4] == ("passes", "fails") for row in rows) else 1


if __name__ == "__main__":
    app.run(main)

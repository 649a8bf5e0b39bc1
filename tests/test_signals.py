"""Tests of the signals that stop a process or make it reread its settings."""

import subprocess
import sys

import pytest

LINES = 12
"""Lines of the main thread that are tried; a wait for an event holds its lock in some of these."""

PROGRAM = """
import signal
import sys
import types

from mulberryslip_testing import stores
from mulberryslipd import main

reloads = []


class Program:
    base_url = ""

    def __init__(self, signal_at):
        self._signal_at = signal_at
        self._lines = 0

    def start(self):
        sys.settrace(self._trace)

    def stop(self):
        sys.settrace(None)

    def _trace(self, frame, event, arg):
        if event == "line":
            self._lines += 1
            if self._lines in self._signal_at:
                signal.raise_signal(self._signal_at[self._lines])
        return self._trace


def run_daemon(program):
    main.build = lambda cfg, clock: program
    main.check_reloaded_settings = lambda cfg, path: reloads.append(path)
    assert main.serve(None, "path") == 0


def run_store(program):
    flags = types.SimpleNamespace(writes_per_s=1, reads_per_s=1, seed=1, port=0, threads=1)
    stores.flags = types.SimpleNamespace(FLAGS=flags)
    stores.StoreServer = lambda *args, **options: program
    stores._main([])


run, lines, is_series = globals()[sys.argv[1]], int(sys.argv[2]), sys.argv[3] == "series"
for last in range(1, lines + 1):
    signals = dict.fromkeys(range(1, last), signal.SIGHUP) if is_series else {}
    run(Program({**signals, last: signal.SIGTERM, last + 1: signal.SIGTERM}))
print(f"stopped {last} times, reloaded {len(reloads)} times", file=sys.stderr)
"""


@pytest.mark.parametrize(
    ("program", "signals"),
    [("run_daemon", "single"), ("run_daemon", "series"), ("run_store", "single")],
)
def test_signal_stops_the_process_whatever_its_main_thread_executes(program, signals):
    """Guards against a handler that waits for a lock which the interrupted main thread holds."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, program, str(LINES), signals],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0, result.stderr
    reloads = LINES * (LINES - 1) // 2 if signals == "series" else 0
    assert f"stopped {LINES} times, reloaded {reloads} times" in result.stderr

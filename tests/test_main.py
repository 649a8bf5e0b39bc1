"""Tests of the daemon's command line."""

from pathlib import Path

import pytest
from mulberryslipd.main import main

EXAMPLE = Path(__file__).parent.parent / "examples" / "token-ledger" / "entry-1.toml"


@pytest.mark.parametrize(
    ("argv", "exit_code"),
    [
        (["--help"], 0),
        (["--check", f"--config={EXAMPLE}"], 0),
        ([], 2),
        (["--config=/nonexistent.toml"], 2),
        ([f"--config={EXAMPLE}", "extra"], 2),
        (["--port=1"], 2),
    ],
)
def test_exit_code(argv, exit_code):
    """Guards against a daemon that starts with invalid arguments or settings."""
    assert main(["mulberryslipd", *argv]) == exit_code


def test_every_settings_fault_is_printed(tmp_path, capsys):
    """Guards against reporting only the first fault, which would cost a restart for each fault."""
    path = tmp_path / "bad.toml"
    path.write_text(EXAMPLE.read_text().replace("shards = 4", "shards = 0\ncolour = 1"))
    assert main(["mulberryslipd", f"--config={path}"]) == 2
    printed = capsys.readouterr().err
    assert "cluster.shards = 0" in printed
    assert "cluster.colour = 1" in printed

"""Run the daemon with `python -m mulberryslipd`."""

from .main import run

run()

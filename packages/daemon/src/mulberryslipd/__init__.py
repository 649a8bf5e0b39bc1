"""The mulberryslip daemon: entry and worker roles."""

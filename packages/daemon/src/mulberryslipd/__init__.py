"""The mulberryslip daemon: entry, worker, gateway and agent roles."""

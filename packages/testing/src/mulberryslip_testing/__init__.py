"""Stand-ins for the platform, the target and the network; demo, benchmarks, load generator."""

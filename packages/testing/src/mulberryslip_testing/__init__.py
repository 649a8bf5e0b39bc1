"""Stand-ins for the platform, the target and the network; demo, bench and load tool."""

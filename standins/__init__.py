"""Stand-ins for the systems around monsoonlug, for tests, demo and benchmarks."""

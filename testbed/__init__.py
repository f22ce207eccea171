"""Test side of pipitlink: a simulator, clusters of processes, fault injection, checks and benchmarks."""

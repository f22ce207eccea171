"""Soak runs, benchmarks and capacity measurements on clusters of real processes."""

"""Faults that are injected into simulated nodes and real processes."""

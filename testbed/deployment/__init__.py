"""Soak runs of the programs of the deploy file: their machines, stand-ins for all around them, faults and checks."""

"""Runs the nodes' own code on virtual time, over a simulated network and simulated disks."""

"""Clusters of processes on the loopback interface: complete nodes, or several lightweight nodes per process."""

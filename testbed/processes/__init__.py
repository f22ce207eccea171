"""Clusters of real processes on the loopback interface, complete or with several light nodes to a process."""

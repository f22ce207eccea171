"""Deprecated alias of the package `testbed`, kept for one release."""

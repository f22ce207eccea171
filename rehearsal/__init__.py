"""Deprecated alias of the package `testbed`, to be removed after one release."""

"""The fault plugin under its former name, for settings files that name it; deprecated, kept for one release."""

from testbed.faults.fault_plugin import make_fault_plugin

__all__ = ["make_fault_plugin"]

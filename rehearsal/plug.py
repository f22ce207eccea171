"""The fault plugin under its former name, for existing settings; deprecated, to be removed after one release."""

from testbed.faults.fault_plugin import make_fault_plugin

__all__ = ["make_fault_plugin"]

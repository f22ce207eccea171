"""Controllers: elections, the agreed log, and all that the leader decides."""

from .control_api import ControlServer
from .node import ControllerNode

__all__ = ["ControlServer", "ControllerNode"]

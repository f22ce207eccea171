"""Controllers: leader elections, the replicated log, and the decisions of the leader."""

from .control_api import ControlServer
from .node import ControllerNode

__all__ = ["ControlServer", "ControllerNode"]

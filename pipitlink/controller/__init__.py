"""Controllers: elections, the agreed log, and all that the leader decides."""

from .control import ControlFace
from .node import ControllerNode

__all__ = ["ControlFace", "ControllerNode"]

from .control import ControlFace
from .node import ControllerNode

__all__ = ["ControlFace", "ControllerNode"]

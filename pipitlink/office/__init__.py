from .control import ControlFace
from .node import OfficeNode

__all__ = ["ControlFace", "OfficeNode"]

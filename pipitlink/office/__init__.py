from .node import OfficeNode

__all__ = ["OfficeNode"]

from .follower import Setup
from .sheet import Sheet

__all__ = ["Setup", "Sheet"]

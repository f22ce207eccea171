from .roster import Roster

__all__ = ["Roster"]

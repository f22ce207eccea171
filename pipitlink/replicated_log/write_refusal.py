"""Why a storage node has not made a write."""

from enum import StrEnum

__all__ = ["WriteRefusal"]


class WriteRefusal(StrEnum):
    """The `reason` of a WriteResponse whose write was not made; its `state` says where the replica is."""

    POSITION_MISMATCH = "elsewhere"
    """The writer expected another end of the replica, or a part of a long write is missing."""

    SOURCE_UNREADABLE = "source"
    """The other replica did not show the bytes of a fetch, or not in time."""

"""The reasons for which a storage node refuses a write."""

from enum import StrEnum

__all__ = ["WriteRefusal"]


class WriteRefusal(StrEnum):
    """The `reason` of a WriteResponse that refuses the write; its `state` is the current state of the replica."""

    POSITION_MISMATCH = "elsewhere"
    """The replica's tail is not the one that the writer expected, or a part of a long write is missing."""

    SOURCE_UNREADABLE = "source"
    """The source replica of a fetch did not return the right bytes, or not in time."""

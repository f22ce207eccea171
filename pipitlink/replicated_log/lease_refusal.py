"""The reasons for which a storage node refuses a lease."""

from enum import StrEnum

__all__ = ["LeaseRefusal"]


class LeaseRefusal(StrEnum):
    """The `reason` of a LeaseResponse that grants nothing."""

    HELD = "held"
    """Another node's lease is still valid."""

    RECENTLY_STARTED = "just_started"
    """The storage node started or joined the placement group recently, and may not know of a valid lease."""

    STALE_EPOCH = "epoch"
    """The requested epoch is not higher than the granted one."""

"""The statuses that a node can assign to a member of the cluster."""

from enum import StrEnum

__all__ = ["LIVE", "MemberStatus"]


class MemberStatus(StrEnum):
    """A node's view of a member; the values appear on the wire and in responses to operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    UNKNOWN = "unknown"


LIVE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)

"""The statuses that a node can give a member of the fleet."""

from enum import StrEnum

__all__ = ["LIVE", "MemberStatus"]


class MemberStatus(StrEnum):
    """What a node believes of a member; the values stand on the wire and in answers to operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    UNKNOWN = "unknown"


LIVE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)

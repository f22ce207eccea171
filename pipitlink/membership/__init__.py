"""Fleet membership by gossip and failure detection, after SWIM."""

from .member_status import MemberStatus
from .membership import Membership

__all__ = ["MemberStatus", "Membership"]

"""Cluster membership by gossip and failure detection, based on SWIM."""

from .member_status import MemberStatus
from .membership import Membership

__all__ = ["MemberStatus", "Membership"]

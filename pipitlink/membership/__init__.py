"""Fleet membership by gossip and failure detection."""

from .membership import Membership

__all__ = ["Membership"]

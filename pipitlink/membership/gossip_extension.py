"""What other parts of a node add to gossip."""

from __future__ import annotations

from typing import Protocol

from ..wire.membership_pb2 import Gossip

__all__ = ["GossipExtension"]


class GossipExtension(Protocol):
    """A part of a node whose data is exchanged with each gossip message."""

    def extend_gossip(self, gossip: Gossip) -> None:
        """Adds this part's data to a message that is about to be sent."""

    def merge_gossip(self, gossip: Gossip) -> None:
        """Takes this part's data from a message that was received."""

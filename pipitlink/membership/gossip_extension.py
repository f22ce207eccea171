"""The interface of components that exchange data with gossip messages."""

from __future__ import annotations

from typing import Protocol

from ..wire.membership_pb2 import Gossip

__all__ = ["GossipExtension"]


class GossipExtension(Protocol):
    """A component of a node that adds its data to each gossip message."""

    def extend_gossip(self, gossip: Gossip) -> None:
        """Adds this component's data to an outgoing message."""

    def merge_gossip(self, gossip: Gossip) -> None:
        """Merges this component's data from a received message."""

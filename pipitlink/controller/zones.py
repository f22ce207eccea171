"""Looks up the zones of nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..membership import Membership

__all__ = ["count_by_zone", "zone_of"]


def zone_of(membership: Membership, node: str) -> str:
    """Returns a node's zone, or an empty string if the membership does not know the node."""
    member = membership.find(node)
    return member.zone if member is not None else ""


def count_by_zone(membership: Membership, nodes: Iterable[str]) -> Counter[str]:
    """Returns how many of these nodes are in each zone."""
    return Counter(zone_of(membership, node) for node in nodes)

"""How long the lease of a log counts: less for its holder than for the storage nodes that granted it."""

from ..timers import secs

__all__ = ["LEASE_SPAN", "HOLD_SPAN"]

LEASE_SPAN = secs(3)
HOLD_SPAN = secs(2)

"""How long the lease of a log counts: less for its holder than for the storage nodes that granted it."""

from ..timers import secs

__all__ = ["LEASE_SPAN", "LEASEHOLDER_VALIDITY"]

LEASE_SPAN = secs(3)
LEASEHOLDER_VALIDITY = secs(2)

"""Durations of log leases, which end earlier for the leaseholder than for the storage nodes that granted them."""

from __future__ import annotations

from datetime import timedelta

from ..timers import secs

__all__ = ["LEASE_DURATION", "LEASEHOLDER_VALIDITY"]

LEASE_DURATION: timedelta = secs(3)
"""How long a storage node refuses other leaseholders after granting or renewing a lease."""

LEASEHOLDER_VALIDITY: timedelta = secs(2)
"""How long a leaseholder relies on a renewal, measured from when it sent the request."""

"""The state of one row's rate and concurrency limit at its coordinator."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..timers import ZERO, secs
from .retry_after import MAX_RETRY_AFTER_S

__all__ = ["GrantedPermit", "RowLimits"]

PERMIT_LEASE = secs(5)
MAX_REFILL_SPAN = secs(1)


@attrs.frozen
class GrantedPermit:
    """A permit to run one request of a row: who holds it, until when unless renewed, and since when."""

    gateway: str
    expires_at: timedelta
    granted_at: timedelta


@attrs.define(eq=False)
class RowLimits:
    """A token bucket for the rate of a row, and the permits that are out for its concurrency."""

    tokens: float = 0.0
    refilled_at: timedelta = ZERO
    cluster_changed_at: timedelta | None = None
    last_retry_at: timedelta = ZERO
    permits: dict[str, GrantedPermit] = attrs.field(factory=dict)

    def take_token(self, rate: float, now: timedelta, cluster_changed_at: timedelta) -> timedelta:
        """Returns zero where a request may run now, else after what time to retry, later for each one rejected.

        `rate` is in requests a second. The bucket begins empty where the gateways changed since the last call.
        """
        if cluster_changed_at != self.cluster_changed_at:
            self.tokens = 0.0
            self.refilled_at = max(cluster_changed_at, now - MAX_REFILL_SPAN)
            self.cluster_changed_at = cluster_changed_at
        refill = rate * (now - self.refilled_at).total_seconds()
        self.tokens = min(max(1.0, rate), self.tokens + refill)
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return ZERO
        next_token_at = now + timedelta(seconds=(1 - self.tokens) / rate)
        after_last_retry = min(self.last_retry_at, now + secs(MAX_RETRY_AFTER_S)) + timedelta(seconds=1 / rate)
        self.last_retry_at = max(next_token_at, after_last_retry)
        return self.last_retry_at - now

    def grant_permit(self, concurrency: int, permit_id: str, gateway: str, now: timedelta) -> bool:
        """Grants a permit while fewer than `concurrency` are out; returns whether it did."""
        for other_id, permit in list(self.permits.items()):
            if permit.expires_at <= now:
                del self.permits[other_id]
        if len(self.permits) >= concurrency:
            return False
        self.record_permit(permit_id, gateway, now)
        return True

    def record_permit(self, permit_id: str, gateway: str, now: timedelta) -> None:
        """Enters a permit that a gateway holds, or renews it."""
        self.permits[permit_id] = GrantedPermit(gateway, now + PERMIT_LEASE, now)

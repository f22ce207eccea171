"""The state of a row's rate and concurrency limits at the row's coordinator."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..timers import ZERO, secs
from .retry_after import MAX_RETRY_AFTER_S

__all__ = ["GrantedPermit", "RowLimits"]

PERMIT_LEASE = secs(5)
MAX_REFILL_TIME = secs(1)


@attrs.frozen
class GrantedPermit:
    """A permit to run one request of a row: its holder, the expiry unless it is renewed, and the time of the grant."""

    gateway: str
    expires_at: timedelta
    granted_at: timedelta


@attrs.define(eq=False)
class RowLimits:
    """A token bucket for the rate of a row, and the held permits for its concurrency limit."""

    tokens: float = 0.0
    refilled_at: timedelta = ZERO
    gateways_changed_at: timedelta | None = None
    last_retry_at: timedelta = ZERO
    permits: dict[str, GrantedPermit] = attrs.field(factory=dict)

    def take_token(self, rate: float, now: timedelta, gateways_changed_at: timedelta) -> timedelta:
        """Returns zero if a request may run now, else the time to wait before a retry, which grows with each rejection.

        `rate` is in requests a second. The bucket starts empty if the gateways changed since the last call.
        """
        if gateways_changed_at != self.gateways_changed_at:
            self.tokens = 0.0
            self.refilled_at = max(gateways_changed_at, now - MAX_REFILL_TIME)
            self.gateways_changed_at = gateways_changed_at
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
        """Grants a permit if fewer than `concurrency` are held; returns whether it did."""
        for other_id, permit in list(self.permits.items()):
            if permit.expires_at <= now:
                del self.permits[other_id]
        if len(self.permits) >= concurrency:
            return False
        self.record_permit(permit_id, gateway, now)
        return True

    def record_permit(self, permit_id: str, gateway: str, now: timedelta) -> None:
        """Records or renews a permit that a gateway holds."""
        self.permits[permit_id] = GrantedPermit(gateway, now + PERMIT_LEASE, now)

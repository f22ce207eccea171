"""Proof that a node's cluster state is current: that it has every acknowledged edit."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from ..context import Context
from ..state_machines import StateMachineMixin
from ..timers import secs

__all__ = ["FOLLOWER_LEASE_DURATION", "LEADER_LEASE_DURATION", "Currency", "CurrencyState"]

# The gateway lets its lease on the cluster state expire earlier than the leader does.
LEADER_LEASE_DURATION = secs(1.5)
FOLLOWER_LEASE_DURATION = secs(1.2)
WITNESS_PROOF_VALIDITY = secs(1)


class CurrencyState(StrEnum):
    """Whether a node's cluster state is proven to be current, and by what. The values are shown to operators.

    NEW: not checked yet. LED: by a lease from the leader that is still valid. WITNESSED: by a majority of the witnesses
    (storage nodes) within the last WITNESS_PROOF_VALIDITY. LAPSED: not proven, since both proofs have expired or are
    missing.
    """

    NEW = "new"
    LED = "led"
    WITNESSED = "witnessed"
    LAPSED = "lapsed"


_EVENTS = {CurrencyState.LED: "lease", CurrencyState.WITNESSED: "witness", CurrencyState.LAPSED: "expire"}


class Currency(StateMachineMixin):
    """Records when a leader last leased the cluster state to this node, and when a majority of witnesses confirmed it.

    The state is as of the last call of `refresh`. Times are on the timers' clock, and None before the first proof.
    """

    state_machine = "currency"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.leased_at: timedelta | None = None
        self.witnessed_at: timedelta | None = None
        self._sequence = 0
        self._init_state_machine()

    def refresh(self, sequence: int) -> bool:
        """Updates the state and returns whether the cluster state at `sequence` is currently proven to be current."""
        self._sequence = sequence
        state = self._current_state()
        if self.state != state:
            self.trigger(_EVENTS[state])
        return state != CurrencyState.LAPSED

    def has_live_lease(self) -> bool:
        """Whether the lease is live: a leader recently confirmed that this node has every committed command."""
        return self._is_within(self.leased_at, FOLLOWER_LEASE_DURATION)

    def was_proven_within(self, span: timedelta) -> bool:
        """Whether there was a proof of either kind within the last `span`."""
        return self._is_within(self.leased_at, span) or self._is_within(self.witnessed_at, span)

    def _current_state(self) -> CurrencyState:
        if self.has_live_lease():
            return CurrencyState.LED
        if self._is_within(self.witnessed_at, WITNESS_PROOF_VALIDITY):
            return CurrencyState.WITNESSED
        return CurrencyState.LAPSED

    def _is_within(self, proved_at: timedelta | None, span: timedelta) -> bool:
        return proved_at is not None and self._ctx.timers.now() - proved_at < span

    def _log_state(self) -> None:
        self._ctx.logger.info("currency_changed", state=self.state, sequence=self._sequence)

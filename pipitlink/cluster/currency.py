"""The proof that a node's cluster state is the newest one that was acknowledged."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from ..context import Context
from ..state_machines import StateMachineMixin
from ..timers import secs

__all__ = ["FOLLOWER_LEASE_SPAN", "LEASE_SPAN", "Currency", "CurrencyState"]

# A gateway's lease on the cluster state ends for the leader after the one span, for the gateway after the shorter one.
LEASE_SPAN = secs(1.5)
FOLLOWER_LEASE_SPAN = secs(1.2)
WITNESS_PROOF_SPAN = secs(1)


class CurrencyState(StrEnum):
    """By what a cluster state is proved to be current; the values stand in answers to operators."""

    NEW = "new"
    LED = "led"
    WITNESSED = "witnessed"
    LAPSED = "lapsed"


_EVENTS = {CurrencyState.LED: "lease", CurrencyState.WITNESSED: "witness", CurrencyState.LAPSED: "expire"}


class Currency(StateMachineMixin):
    """When a leader last leased the cluster state to this node, when a majority of the witnesses last proved it.

    Its state is as of the last call of `refresh`; times are on the timers' clock, None before the first proof.
    """

    state_machine = "currency"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.leased_at: timedelta | None = None
        self.witnessed_at: timedelta | None = None
        self._sequence = 0
        self._init_state_machine()

    def refresh(self, sequence: int) -> bool:
        """Returns whether the cluster state at `sequence` is proved to be current now."""
        self._sequence = sequence
        state = self._current_state()
        if self.state != state:
            self.trigger(_EVENTS[state])
        return state != CurrencyState.LAPSED

    def has_live_lease(self) -> bool:
        """Whether a leader answered lately that this node has all that is agreed."""
        return self._is_within(self.leased_at, FOLLOWER_LEASE_SPAN)

    def was_proved_within(self, span: timedelta) -> bool:
        """Whether there was a proof of either kind less than a span ago."""
        return self._is_within(self.leased_at, span) or self._is_within(self.witnessed_at, span)

    def _current_state(self) -> CurrencyState:
        if self.has_live_lease():
            return CurrencyState.LED
        if self._is_within(self.witnessed_at, WITNESS_PROOF_SPAN):
            return CurrencyState.WITNESSED
        return CurrencyState.LAPSED

    def _is_within(self, proved_at: timedelta | None, span: timedelta) -> bool:
        return proved_at is not None and self._ctx.timers.now() - proved_at < span

    def _log_state(self) -> None:
        self._ctx.logger.info("currency_changed", state=self.state, sequence=self._sequence)

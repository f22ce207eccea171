"""Grants and renews leases on logs."""

from datetime import timedelta

import attrs

from ..replicated_log.lease_durations import LEASE_SPAN
from ..replicated_log.placement_group import placement_group_of
from ..timers import ZERO
from ..wire.replicated_log_pb2 import LeaseRequest, LeaseResponse, RenewRequest, RenewResponse

__all__ = ["Grants", "LEASE_SPAN"]


@attrs.define
class _Grant:
    leaseholder: str
    epoch: int
    until: timedelta


class Grants:
    """Mixin: short log leases with rising, synced epochs.

    Offers `_state`, a log's state with its leaseholder, and answers `replicated_log.lease` and `replicated_log.renew`.
    Needs of the node: `_ctx`, `log_store`, `_group_commit`, `_check_placement_group`.
    Owns `_grants` and `_quiet_until`, and `_quiet_groups`, to which Copying adds: until then a free lease is not
    granted at once.
    """

    def _open_grants(self):
        self._grants: dict[str, _Grant] = {}
        self._quiet_until = self._ctx.timers.now() + LEASE_SPAN
        self._quiet_groups: dict[int, timedelta] = {}
        d = self._ctx.rpc
        d.register_handler("replicated_log.lease", LeaseRequest, self._lease)
        d.register_handler("replicated_log.renew", RenewRequest, self._renew)

    def _live_grant(self, log: str) -> _Grant | None:
        g = self._grants.get(log)
        if g is not None and g.until > self._ctx.timers.now():
            return g
        return None

    def _state(self, log: str):
        s = self.log_store.state(log)
        g = self._live_grant(log)
        if g is not None:
            s.leaseholder = g.leaseholder
            s.lease_ms = int((g.until - self._ctx.timers.now()).total_seconds() * 1000)
        return s

    def _quiet_left(self, log: str) -> timedelta:
        """How long a lease may be live that this storage node cannot know of, since it started or joined."""
        group = placement_group_of(log, self._ctx.cluster.placement_groups)
        return max(self._quiet_until, self._quiet_groups.get(group, ZERO)) - self._ctx.timers.now()

    async def _lease(self, node, ask: LeaseRequest):
        """Grants a lease that nobody else has. Epochs alone keep a log whole; waiting for a lease only spares duels,
        so one
        whose leaseholder is gone may be asked for by its name, and one that nobody is known to hold without a wait
        (usurp).
        """
        await self._check_placement_group(ask.log, ask.placement_group_sequence)
        now = self._ctx.timers.now()
        g = self._live_grant(ask.log)
        state = self._state(ask.log)
        if g is not None and g.leaseholder not in (ask.leaseholder, ask.gone):
            return LeaseResponse(why="held", state=state)
        quiet = self._quiet_left(ask.log)
        if g is None and quiet > ZERO and state.epoch > 0 and not ask.usurp:
            state.lease_ms = int(quiet.total_seconds() * 1000)
            return LeaseResponse(why="just_started", state=state)
        if ask.epoch <= state.epoch:
            return LeaseResponse(why="epoch", state=state)
        self._grants[ask.log] = _Grant(ask.leaseholder, ask.epoch, now + LEASE_SPAN)
        await self._group_commit.submit(lambda t: self.log_store.promise(ask.log, ask.epoch, t))
        return LeaseResponse(granted=True, state=self._state(ask.log), room=self.log_store.room())

    async def _renew(self, node, ask: RenewRequest):
        until = self._ctx.timers.now() + LEASE_SPAN
        out = RenewResponse(room=self.log_store.room())
        for h in ask.held:
            g = self._grants.get(h.log)
            promised = self.log_store.state(h.log).epoch
            if promised != h.epoch:
                continue
            if ask.release:
                if g is not None and g.epoch == h.epoch:
                    del self._grants[h.log]
            else:
                self._grants[h.log] = _Grant(ask.leaseholder, h.epoch, until)
                out.kept.append(h.log)
        return out

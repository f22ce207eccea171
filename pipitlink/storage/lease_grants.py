"""Grants and renews leases on logs."""

from __future__ import annotations

from datetime import timedelta
from functools import partial

import attrs

from ..context import Context
from ..group_commit import GroupCommit
from ..replicated_log.lease_durations import LEASE_DURATION
from ..replicated_log.lease_refusal import LeaseRefusal
from ..replicated_log.placement_group import placement_group_of
from ..timers import ZERO
from ..wire.replicated_log_pb2 import HeldLease, LeaseRequest, LeaseResponse, LogState, RenewRequest, RenewResponse
from .durable import sync
from .log_store import LogStore
from .placement_check import PlacementCheck

__all__ = ["LeaseGrants"]


@attrs.frozen
class _Grant:
    leaseholder: str
    epoch: int
    expires_at: timedelta


class LeaseGrants:
    """The leases granted by this storage node, each under a new highest epoch that is synced before the response.

    A storage node that has just started, or just joined a placement group, may not know of a valid lease. Until
    any such lease would have expired, it refuses new leases on logs that had one before, unless the request sets
    `take_over`.
    """

    def __init__(
        self, ctx: Context, log_store: LogStore, group_commit: GroupCommit, placement_check: PlacementCheck
    ) -> None:
        self._ctx = ctx
        self._log_store = log_store
        self._group_commit = group_commit
        self._placement_check = placement_check
        self._grants: dict[str, _Grant] = {}
        self._no_grants_until = ZERO
        self._joined_group_no_grants_until: dict[int, timedelta] = {}

    def open(self) -> None:
        """Registers the handlers for `replicated_log.lease` and `replicated_log.renew`."""
        self._no_grants_until = self._ctx.timers.now() + LEASE_DURATION
        self._ctx.rpc.register_handler("replicated_log.lease", LeaseRequest, self._lease)
        self._ctx.rpc.register_handler("replicated_log.renew", RenewRequest, self._renew)

    def joined_placement_group(self, number: int) -> None:
        """Starts to refuse new leases on the logs of a placement group that this node has just joined.

        Ends after LEASE_DURATION: by then, any lease on them that this node does not know of has expired.
        """
        self._joined_group_no_grants_until[number] = self._ctx.timers.now() + LEASE_DURATION

    def _valid_grant(self, log: str) -> _Grant | None:
        grant = self._grants.get(log)
        if grant is not None and grant.expires_at > self._ctx.timers.now():
            return grant
        return None

    def log_state(self, log: str) -> LogState:
        """Returns the state of a log on disk, with its leaseholder if there is a valid lease."""
        state = self._log_store.state(log)
        grant = self._valid_grant(log)
        if grant is not None:
            state.leaseholder = grant.leaseholder
            state.lease_ms = _milliseconds(grant.expires_at - self._ctx.timers.now())
        return state

    def _max_unknown_lease_left(self, log: str) -> timedelta:
        """Returns how long a lease that this storage node does not know of may still be valid, at most."""
        number = placement_group_of(log, self._ctx.cluster.placement_groups)
        until = max(self._no_grants_until, self._joined_group_no_grants_until.get(number, ZERO))
        return until - self._ctx.timers.now()

    async def _lease(self, _peer: str, request: LeaseRequest) -> LeaseResponse:
        """Grants a lease unless another node holds it.

        Epochs alone keep a log consistent; waiting for a lease to expire only avoids contention. A request may
        therefore name a lost leaseholder to replace it at once, or set `take_over` if no node is known to hold the
        lease.
        """
        await self._placement_check.require_current(request.log, request.placement_group_sequence)
        now = self._ctx.timers.now()
        refusal = self._check_refusal(request)
        if refusal is not None:
            return refusal
        self._grants[request.log] = _Grant(request.leaseholder, request.epoch, now + LEASE_DURATION)
        await sync(self._group_commit, partial(self._log_store.grant_epoch, request.log, request.epoch))
        return LeaseResponse(
            granted=True,
            state=self.log_state(request.log),
            free_bytes=self._log_store.free_bytes(),
            known_ms=_milliseconds(self._known_for(request.log)),
        )

    def _known_for(self, log: str) -> timedelta:
        """Returns how long ago this process granted the first lease on a log, which now begins if it has not."""
        replica = self._log_store.logs[log]
        if replica.known_since is None:
            replica.known_since = self._ctx.timers.now()
        return self._ctx.timers.now() - replica.known_since

    def _check_refusal(self, request: LeaseRequest) -> LeaseResponse | None:
        """Returns the response that refuses a lease, or None if the lease can be granted."""
        grant = self._valid_grant(request.log)
        state = self.log_state(request.log)
        if grant is not None and grant.leaseholder not in (request.leaseholder, request.lost_leaseholder):
            return LeaseResponse(reason=LeaseRefusal.HELD, state=state)
        unknown_lease_left = self._max_unknown_lease_left(request.log)
        if grant is None and unknown_lease_left > ZERO and state.epoch > 0 and not request.take_over:
            state.lease_ms = _milliseconds(unknown_lease_left)
            return LeaseResponse(reason=LeaseRefusal.RECENTLY_STARTED, state=state)
        if request.epoch <= state.epoch:
            return LeaseResponse(reason=LeaseRefusal.STALE_EPOCH, state=state)
        return None

    async def _renew(self, _peer: str, request: RenewRequest) -> RenewResponse:
        """Renews or releases those leases whose epoch is still the highest granted one."""
        expires_at = self._ctx.timers.now() + LEASE_DURATION
        response = RenewResponse(free_bytes=self._log_store.free_bytes())
        for lease in request.leases:
            if self._log_store.state(lease.log).epoch != lease.epoch:
                continue
            if request.release:
                self._release(lease)
            else:
                self._grants[lease.log] = _Grant(request.leaseholder, lease.epoch, expires_at)
                response.renewed.append(lease.log)
        return response

    def _release(self, lease: HeldLease) -> None:
        grant = self._grants.get(lease.log)
        if grant is not None and grant.epoch == lease.epoch:
            del self._grants[lease.log]


def _milliseconds(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)

"""Delivers the cluster state to its followers, leases it, and tells when an edit is in effect."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..cluster.currency import LEASE_SPAN
from ..cluster.follower import MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT
from ..cluster.state_transfer import StateTransfer
from ..context import Context
from ..errors import DeadlineExceeded, NotLeader, StorageFull, Unconfirmed
from ..timers import ZERO, SingleFlight, ms, secs, to_ms
from ..wire.cluster_pb2 import Command, Delta, FollowRequest, FollowResponse, Outcome, StateChunk
from .consensus_state import ConsensusState
from .durable_log import DurableLog
from .log_replication import LogReplication

__all__ = ["Follower", "StateDelivery"]

QUORUM_TIMEOUT = ms(500)
"""The state is delivered only where a majority was heard within this time."""
EDIT_TIMEOUT = secs(5)
OPERATOR_EDIT_TIMEOUT = ms(900)
LEASE_MARGIN = ms(500)
CONTACT_CHECK_INTERVAL = ms(50)
EFFECT_CHECK_INTERVAL = ms(50)
FOLLOWER_RETENTION = secs(60)
DISK_USE_LIMIT = 0.9
DISK_BYTES_PER_EDIT_BYTE = 3
"""An edit is written as an entry, and may be written again in a snapshot while the one before still stands."""
MAX_DELTAS = 4096
MAX_TRANSFER_LAG = 50
MAX_TRANSFERS = 4
MEGABYTE = 1024 * 1024


@attrs.define
class Follower:
    """A process that follows the cluster state: its role, the sequence that it has, and until when it is leased."""

    role: str
    sequence: int
    leased_until: timedelta


class _Waiters:
    """Coroutines that wait until something changes, for a limited time."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._waiting: dict[defer.Deferred[None], None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def wake(self) -> None:
        """Has all that wait now look again."""
        waiting = list(self._waiting)
        self._waiting.clear()
        for woken in waiting:
            if not woken.called:
                woken.callback(None)

    async def wait(self, timeout: timedelta, condition: Callable[[], bool]) -> bool:
        """Returns True once the condition holds, which is checked on each wake, and False after the limit."""
        deadline = self._ctx.timers.now() + timeout
        while not condition():
            remaining = deadline - self._ctx.timers.now()
            if remaining <= ZERO:
                return False
            woken: defer.Deferred[None] = defer.Deferred()
            self._waiting[woken] = None
            try:
                await self._ctx.timers.wait_at_most(woken, remaining)
            finally:
                self._waiting.pop(woken, None)
        return True


class StateDelivery:
    """Delivers the cluster state, leases it to gateways, and knows when an edit is in effect everywhere.

    An edit is in effect once no live gateway can still work by an older cluster state.
    """

    def __init__(
        self, ctx: Context, consensus: ConsensusState, durable_log: DurableLog, replication: LogReplication
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._durable_log = durable_log
        self._replication = replication
        self._followers: dict[str, Follower] = {}
        self._transfers: list[StateTransfer] = []
        self.pending_requests = _Waiters(ctx)
        self._waiting_edits = _Waiters(ctx)
        self._proposals: SingleFlight[object, Outcome] = SingleFlight()

    def open(self) -> None:
        """Answers followers from now on."""
        self._consensus.when_stepped_down(self._wake_all)
        self._consensus.when_advanced(self._wake_all)
        self._ctx.rpc.register_handler("controller.follow", FollowRequest, self.follow)

    @property
    def followers(self) -> dict[str, Follower]:
        """The followers that have asked this leader, by node."""
        return self._followers

    def has_recent_quorum(self) -> bool:
        """Returns whether this controller leads, and a majority followed it a short while ago."""
        if not self._consensus.is_leader:
            return False
        return self._ctx.timers.now() - self._replication.quorum_contact_at() < QUORUM_TIMEOUT

    def _require_recent_quorum(self) -> None:
        if not self.has_recent_quorum():
            leader_id = self._consensus.leader_id
            raise NotLeader(leader_id if leader_id != self._ctx.node else "", leader_id)

    async def follow(self, _node: str, request: FollowRequest) -> FollowResponse:
        """Answers a follower once there is something newer than it has, or after the time it says.

        Raises NotLeader.
        """
        self._require_recent_quorum()
        asked_at = self._ctx.timers.now()
        self._followers[request.node] = Follower(request.role, request.sequence, asked_at + LEASE_SPAN)
        self._waiting_edits.wake()
        if request.sequence >= self._consensus.cluster_state.sequence and not request.no_wait:
            await self._wait_for_newer_state(request)
        self._require_recent_quorum()
        response = self._follow_response(request)
        response.waited_ms = self._renew_lease(request.node, asked_at)
        return response

    async def _wait_for_newer_state(self, request: FollowRequest) -> None:
        """Returns once there is something newer, or this controller leads no more, or after a while."""
        timeout = min(ms(request.max_wait_ms) or MIN_FOLLOW_WAIT, MAX_FOLLOW_WAIT)
        await self.pending_requests.wait(timeout, lambda: self._is_outdated(request))

    def _is_outdated(self, request: FollowRequest) -> bool:
        return self._consensus.cluster_state.sequence > request.sequence or not self._consensus.is_leader

    def _follow_response(self, request: FollowRequest) -> FollowResponse:
        """What follows the request's sequence; a chunk of the whole state where the log no longer reaches back."""
        newest = self._consensus.cluster_state.sequence
        response = FollowResponse(sequence=newest, leased=True, controller=self._ctx.node)
        base = request.sequence
        deltas = self._deltas_after(base)
        if base == 0 or (base < newest and not deltas):
            response.chunk.CopyFrom(self._state_chunk(request.received))
            if response.chunk.offset + len(response.chunk.data) < response.chunk.total:
                return response
            base = response.chunk.sequence
            deltas = self._deltas_after(base)
        response.deltas.extend(deltas)
        response.leased = base + len(deltas) >= newest
        return response

    def _deltas_after(self, base: int) -> list[Delta]:
        """The first committed commands after a sequence; none where the log no longer reaches back to it."""
        newest = self._consensus.cluster_state.sequence
        committed = [entry for entry in self._durable_log.entries_after(base, MAX_DELTAS) if entry.index <= newest]
        if not committed or committed[0].index != base + 1:
            return []
        return [Delta(sequence=entry.index, command=entry.command) for entry in committed]

    def _state_chunk(self, received: StateChunk) -> StateChunk:
        """The next chunk of the state that the follower has a part of, or else of one that is not far behind."""
        transfers = [transfer for transfer in self._transfers if self._is_usable(transfer)]
        continued = next((transfer for transfer in transfers if transfer.matches(received)), None)
        if continued is None:
            newest = self._consensus.cluster_state
            if not transfers or newest.sequence - transfers[-1].sequence > MAX_TRANSFER_LAG:
                transfers.append(StateTransfer.compress(newest, self._consensus.term))
            continued = transfers[-1]
        self._transfers = transfers[-MAX_TRANSFERS:]
        return continued.chunk_after(received)

    def _is_usable(self, transfer: StateTransfer) -> bool:
        """Whether the log still has all that follows this state."""
        return transfer.term == self._consensus.term and transfer.sequence >= self._durable_log.snapshot.index

    def _renew_lease(self, node: str, asked_at: timedelta) -> int:
        """Counts the lease anew from the response: both sides take it to begin after the time the request was held.

        Returns that time in whole milliseconds, rounded down, so that the node's own end of it is never the later one.
        """
        now = self._ctx.timers.now()
        follower = self._followers.get(node)
        if follower is not None:
            follower.leased_until = max(follower.leased_until, now + LEASE_SPAN)
        return to_ms(now - asked_at)

    def _wake_all(self) -> None:
        """Answers held requests, and checks edits again, as the cluster state or the role has changed."""
        self.pending_requests.wake()
        self._waiting_edits.wake()

    def is_in_effect(self, sequence: int) -> bool:
        """Returns whether no live gateway works by a cluster state older than `sequence`.

        Every gateway with a live lease has it, no lease of an earlier leader is left, and enough storage nodes have it.
        A gateway proves its cluster state by more than half of the witnesses, so half of them are enough here, once
        the last change of the witnesses is known to be with more than half.
        """
        now = self._ctx.timers.now()
        if now < self._replication.elected_at + LEASE_SPAN:
            return False
        if any(self._is_behind(follower, sequence, now) for follower in self._followers.values()):
            return False
        return self._enough_witnesses_have(sequence)

    def _is_behind(self, follower: Follower, sequence: int, now: timedelta) -> bool:
        return follower.role == "gateway" and follower.leased_until > now and follower.sequence < sequence

    def _enough_witnesses_have(self, sequence: int) -> bool:
        cluster_state = self._consensus.cluster_state
        witnesses = cluster_state.witnesses()
        confirmed = sum(self._has_sequence(witness, sequence) for witness in witnesses)
        if 2 * confirmed > len(witnesses) or not witnesses:
            return True
        change_is_confirmed: bool = cluster_state.confirmed_witness_change == cluster_state.witnesses_changed_at
        return 2 * confirmed == len(witnesses) and change_is_confirmed

    def _has_sequence(self, storage_node: str, sequence: int) -> bool:
        follower = self._followers.get(storage_node)
        return follower is not None and follower.sequence >= sequence

    def operator_edit_timeout(self) -> timedelta:
        """Returns how long an operator's edit may be held: until a former leader's leases end, else 900 ms."""
        lease_end = self._replication.elected_at + LEASE_SPAN
        return max(OPERATOR_EDIT_TIMEOUT, lease_end + LEASE_MARGIN - self._ctx.timers.now())

    async def edit(self, command: Command, timeout: timedelta = EDIT_TIMEOUT) -> Outcome:
        """Proposes an edit; returns its outcome once it is committed and in effect everywhere.

        Where no majority was heard of late it is rejected with NotLeader, not run; where none is heard any more, its
        outcome is open: Unconfirmed or DeadlineExceeded. StorageFull is raised before anything is written. A proposal
        runs to its end also where its caller has left: the leader's own disk counts for it.
        """
        if self._consensus.is_leader and not self._replication.has_contact():
            raise NotLeader("a majority of the controllers was not heard")
        deadline = self._ctx.timers.now() + timeout
        self._require_disk_space(command)
        known = self._consensus.cluster_state.recorded_outcome(command)
        outcome = known
        if outcome is None:
            outcome = await self._ctx.timers.with_timeout(timeout, self._propose(command))
        if known is not None or outcome.code != "done":
            await self._replication.confirm_leadership()
        if outcome.code == "done":
            await self._wait_for_effect(self._consensus.cluster_state.sequence, deadline)
        return outcome

    def _require_disk_space(self, command: Command) -> None:
        needed_bytes = self._durable_log.used_bytes() + DISK_BYTES_PER_EDIT_BYTE * command.ByteSize()
        if needed_bytes > self._ctx.settings.budget_mb * MEGABYTE * DISK_USE_LIMIT:
            raise StorageFull("the controller's data folder has no room for this edit", sent=False)

    async def _wait_for_effect(self, sequence: int, deadline: timedelta) -> None:
        while not self.is_in_effect(sequence):
            if not self._consensus.is_leader:
                raise Unconfirmed("the edit is agreed, but this controller no longer leads to see it in effect")
            if not self._replication.has_contact():
                raise Unconfirmed("the edit is agreed, but a majority of the controllers is not heard any more")
            if self._ctx.timers.now() >= deadline:
                raise DeadlineExceeded("the edit is agreed but not yet shown to be in effect everywhere")
            await self._waiting_edits.wait(EFFECT_CHECK_INTERVAL, lambda: self.is_in_effect(sequence))

    async def _propose(self, command: Command) -> Outcome:
        """Waits for the commit as long as a majority is heard; the entry may be committed later all the same."""
        try:
            proposed = self._proposals.run(object(), lambda: self._replication.propose(command))
            outcome: Outcome = await self._ctx.timers.run_while(
                self._replication.has_contact, CONTACT_CHECK_INTERVAL, proposed
            )
        except defer.CancelledError:
            raise Unconfirmed("a majority of the controllers was not heard before the edit was agreed") from None
        return outcome

    def remove_expired_followers(self) -> None:
        """Forgets followers that have not asked for a long time."""
        now = self._ctx.timers.now()
        for node, follower in list(self._followers.items()):
            if follower.leased_until + FOLLOWER_RETENTION < now:
                del self._followers[node]

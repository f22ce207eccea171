"""Delivers the cluster state to its followers with leases, and determines when an edit is in effect."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..cluster.currency import LEADER_LEASE_DURATION
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
"""The state is delivered only if a majority has responded within this time."""
EDIT_TIMEOUT = secs(5)
OPERATOR_EDIT_TIMEOUT = ms(900)
LEASE_MARGIN = ms(500)
CONTACT_CHECK_INTERVAL = ms(50)
EFFECT_CHECK_INTERVAL = ms(50)
FOLLOWER_RETENTION = secs(60)
MAX_DISK_USE_FRACTION = 0.9
DISK_BYTES_PER_EDIT_BYTE = 3
"""An edit is written as an entry, and may be written again in a snapshot while the previous snapshot still exists."""
MAX_DELTAS = 4096
MAX_TRANSFER_LAG_ENTRIES = 50
MAX_TRANSFERS = 4
MEGABYTE = 1024 * 1024


@attrs.define
class Follower:
    """A process that follows the cluster state: its role, its sequence, and the end of its lease."""

    role: str
    sequence: int
    leased_until: timedelta


class _Waiters:
    """Coroutines that wait for a condition with a timeout."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._waiting: dict[defer.Deferred[None], None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def wake(self) -> None:
        """Wakes all current waiters, so that they check their conditions again."""
        waiting = list(self._waiting)
        self._waiting.clear()
        for woken in waiting:
            if not woken.called:
                woken.callback(None)

    async def wait(self, timeout: timedelta, condition: Callable[[], bool]) -> bool:
        """Returns True once the condition holds, which is checked on each wake, and False after the timeout."""
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
    """Delivers the cluster state, leases it to gateways, and determines when an edit is in effect everywhere.

    An edit is in effect once no live gateway can still use an older cluster state.
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
        """Registers the callbacks and the RPC handler for followers."""
        self._consensus.when_stepped_down(self._wake_all)
        self._consensus.when_advanced(self._wake_all)
        self._ctx.rpc.register_handler("controller.follow", FollowRequest, self.follow)

    @property
    def followers(self) -> dict[str, Follower]:
        """The followers that have sent requests to this leader, by node."""
        return self._followers

    def has_recent_quorum(self) -> bool:
        """Returns whether this controller leads and has had recent contact with a majority."""
        if not self._consensus.is_leader:
            return False
        return self._ctx.timers.now() - self._replication.quorum_contact_at() < QUORUM_TIMEOUT

    def _require_recent_quorum(self) -> None:
        if not self.has_recent_quorum():
            leader_id = self._consensus.leader_id
            raise NotLeader(leader_id if leader_id != self._ctx.node else "", leader_id)

    async def follow(self, _node: str, request: FollowRequest) -> FollowResponse:
        """Responds to a follower once there is a newer state than it has, or after the wait that it requests.

        Raises NotLeader.
        """
        self._require_recent_quorum()
        requested_at = self._ctx.timers.now()
        self._followers[request.node] = Follower(request.role, request.sequence, requested_at + LEADER_LEASE_DURATION)
        self._waiting_edits.wake()
        if request.sequence >= self._consensus.cluster_state.sequence and not request.no_wait:
            await self._wait_for_newer_state(request)
        self._require_recent_quorum()
        response = self._follow_response(request)
        response.waited_ms = self._renew_lease(request.node, requested_at)
        return response

    async def _wait_for_newer_state(self, request: FollowRequest) -> None:
        """Returns once there is a newer state, this controller no longer leads, or the wait has expired."""
        timeout = min(ms(request.max_wait_ms) or MIN_FOLLOW_WAIT, MAX_FOLLOW_WAIT)
        await self.pending_requests.wait(timeout, lambda: self._is_outdated(request))

    def _is_outdated(self, request: FollowRequest) -> bool:
        return self._consensus.cluster_state.sequence > request.sequence or not self._consensus.is_leader

    def _follow_response(self, request: FollowRequest) -> FollowResponse:
        """Returns the commands after the request's sequence, or a chunk of the state if the log no longer has them."""
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
        """Returns the first committed commands after a sequence; none if the log no longer reaches back to it."""
        newest = self._consensus.cluster_state.sequence
        committed = [entry for entry in self._durable_log.entries_after(base, MAX_DELTAS) if entry.index <= newest]
        if not committed or committed[0].index != base + 1:
            return []
        return [Delta(sequence=entry.index, command=entry.command) for entry in committed]

    def _state_chunk(self, received: StateChunk) -> StateChunk:
        """Returns the next chunk of the state that the follower is receiving, or the first chunk of a recent state."""
        transfers = [transfer for transfer in self._transfers if self._is_usable(transfer)]
        continued = next((transfer for transfer in transfers if transfer.matches(received)), None)
        if continued is None:
            newest = self._consensus.cluster_state
            if not transfers or newest.sequence - transfers[-1].sequence > MAX_TRANSFER_LAG_ENTRIES:
                transfers.append(StateTransfer.compress(newest, self._consensus.term))
            continued = transfers[-1]
        self._transfers = transfers[-MAX_TRANSFERS:]
        return continued.chunk_after(received)

    def _is_usable(self, transfer: StateTransfer) -> bool:
        """Whether a follower that has received this state can continue with the commands in the log."""
        return transfer.term == self._consensus.term and transfer.sequence >= self._durable_log.snapshot.index

    def _renew_lease(self, node: str, requested_at: timedelta) -> int:
        """Renews a follower's lease from now, and returns for how many milliseconds its request was held.

        The follower starts its lease that long after it sent the request. The time is rounded down, so that the lease
        never ends later there than here.
        """
        now = self._ctx.timers.now()
        follower = self._followers.get(node)
        if follower is not None:
            follower.leased_until = max(follower.leased_until, now + LEADER_LEASE_DURATION)
        return to_ms(now - requested_at)

    def _wake_all(self) -> None:
        """Responds to held requests and checks edits again after a change of the cluster state or the role."""
        self.pending_requests.wake()
        self._waiting_edits.wake()

    def is_in_effect(self, sequence: int) -> bool:
        """Returns whether no live gateway uses a cluster state older than `sequence`.

        Every gateway with a live lease must have it, all leases of an earlier leader must have expired, and enough
        storage nodes (witnesses) must have it. Without a lease, a gateway must poll more than half of the witnesses to
        prove that its cluster state is current. Once half of them have the sequence, any such poll finds it, so half
        are enough here, provided that more than half have applied the last change of the set of witnesses.
        """
        now = self._ctx.timers.now()
        if now < self._replication.elected_at + LEADER_LEASE_DURATION:
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
        """Returns the timeout of an operator's edit: 900 ms, or longer while leases of a former leader may be live."""
        lease_end = self._replication.elected_at + LEADER_LEASE_DURATION
        return max(OPERATOR_EDIT_TIMEOUT, lease_end + LEASE_MARGIN - self._ctx.timers.now())

    async def edit(self, command: Command, timeout: timedelta = EDIT_TIMEOUT) -> Outcome:
        """Proposes an edit and returns its outcome once it is committed and in effect everywhere.

        Without running the edit, raises NotLeader if this controller does not lead or had no recent contact with a
        majority, and StorageFull if the disk has no room for the edit. Later, raises Unconfirmed if the contact or the
        leadership is lost, or DeadlineExceeded after `timeout`; the edit may still be committed in both cases.

        Cancelling this, as when the client disconnects, does not cancel the proposal: its entry is already in the log,
        and the leader must finish syncing it to count its own disk towards the majority.
        """
        if self._consensus.is_leader and not self._replication.has_contact():
            raise NotLeader("there was no recent contact with a majority of the controllers")
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
        if needed_bytes > self._ctx.settings.budget_mb * MEGABYTE * MAX_DISK_USE_FRACTION:
            raise StorageFull("the controller's data folder has no room for this edit", sent=False)

    async def _wait_for_effect(self, sequence: int, deadline: timedelta) -> None:
        while not self.is_in_effect(sequence):
            if not self._consensus.is_leader:
                raise Unconfirmed("the edit is committed, but this controller stopped leading before it was in effect")
            if not self._replication.has_contact():
                raise Unconfirmed("the edit is committed, but contact with a majority of the controllers was lost")
            if self._ctx.timers.now() >= deadline:
                raise DeadlineExceeded("the edit is committed but not yet confirmed to be in effect everywhere")
            await self._waiting_edits.wait(EFFECT_CHECK_INTERVAL, lambda: self.is_in_effect(sequence))

    async def _propose(self, command: Command) -> Outcome:
        """Waits for the commit while there is contact with a majority; the entry may still be committed later."""
        try:
            proposed = self._proposals.run(object(), lambda: self._replication.propose(command))
            outcome: Outcome = await self._ctx.timers.run_while(
                self._replication.has_contact, CONTACT_CHECK_INTERVAL, proposed
            )
        except defer.CancelledError:
            raise Unconfirmed(
                "contact with a majority of the controllers was lost before the edit was committed"
            ) from None
        return outcome

    def remove_expired_followers(self) -> None:
        """Removes followers whose leases ended more than FOLLOWER_RETENTION ago."""
        now = self._ctx.timers.now()
        for node, follower in list(self._followers.items()):
            if follower.leased_until + FOLLOWER_RETENTION < now:
                del self._followers[node]

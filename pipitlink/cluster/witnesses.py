"""Proves without a controller that a cluster state is current, by polling the storage nodes that follow it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..context import Context
from ..timers import ms
from ..wire.cluster_pb2 import FollowResponse, WitnessResponse
from ..wire.frame_pb2 import Empty

if TYPE_CHECKING:
    from .follower import ClusterFollower

__all__ = ["Witnesses"]

POLL_INTERVAL = ms(300)
POLL_TIMEOUT = ms(500)
# Witnesses are polled once the lease renewal is overdue by this time.
LEASE_OVERDUE_AFTER = ms(300)


class Witnesses:
    """Polls the storage nodes for the sequence of their cluster state, and responds to such polls.

    A leader acknowledges an edit only once a majority of the storage nodes has it. So if a majority reports no newer
    sequence, this node has every acknowledged edit.
    """

    def __init__(self, ctx: Context, follower: ClusterFollower) -> None:
        self._ctx = ctx
        self._follower = follower

    def open(self) -> None:
        """Registers the RPC handlers."""
        self._ctx.rpc.register_handler("cluster.witness", Empty, self._handle_witness)
        self._ctx.rpc.register_handler("cluster.cluster_state", Empty, self._handle_state)

    def start_polling(self) -> None:
        """Starts to poll the witnesses at intervals while the renewal of the lease is overdue."""
        self._ctx.timers.call_repeatedly(POLL_INTERVAL, self._poll, self._ctx.error_reporter("witness_poll"))

    async def _handle_witness(self, _node: str, _request: Empty) -> WitnessResponse:
        return WitnessResponse(caught_up=self._follower.caught_up, sequence=self._follower.sequence)

    async def _handle_state(self, _node: str, _request: Empty) -> FollowResponse:
        return FollowResponse(sequence=self._follower.sequence, cluster_state=self._follower.cluster_state.data())

    async def _poll(self) -> None:
        self._follower.ready()
        witnesses = self._follower.cluster_state.witnesses()
        polled_at = self._ctx.timers.now()
        if not witnesses or not self._is_lease_overdue():
            return
        responses = await self._ctx.replicated_log.call_each(
            witnesses, "cluster.witness", Empty(), WitnessResponse, POLL_TIMEOUT
        )
        sequences = {node: response.sequence for node, response in responses.items() if response.caught_up}
        await self._fetch_newer_state(sequences)
        if self._is_proof(sequences, witnesses):
            self._follower.currency.witnessed_at = polled_at
            self._follower.ready()

    def _is_lease_overdue(self) -> bool:
        leased_at = self._follower.currency.leased_at
        if leased_at is None:
            return True
        return self._ctx.timers.now() - leased_at >= self._follower.max_follow_wait() + LEASE_OVERDUE_AFTER

    async def _fetch_newer_state(self, sequences: dict[str, int]) -> None:
        """Applies the state of the witness with the highest sequence if it is newer than this node's."""
        newest = max(sequences, key=lambda node: sequences[node], default="")
        if newest and sequences[newest] > self._follower.sequence:
            response = await self._ctx.replicated_log.call(newest, "cluster.cluster_state", Empty(), FollowResponse)
            self._follower.apply_response(response)

    def _is_proof(self, sequences: dict[str, int], witnesses: list[str]) -> bool:
        """Whether a majority responded, none is newer, and the set of witnesses has not changed meanwhile."""
        if 2 * len(sequences) <= len(witnesses):
            return False
        if self._follower.sequence < max(sequences.values()):
            return False
        return witnesses == self._follower.cluster_state.witnesses()

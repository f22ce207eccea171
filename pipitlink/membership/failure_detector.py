"""Finds members that no longer answer: direct probes, indirect probes through peers, and suspicion."""

from __future__ import annotations

from ..context import Context
from ..errors import WireError
from ..timers import ms, secs, spawn
from ..wire.membership_pb2 import IndirectProbeRequest, Member, ProbeResponse
from .gossiper import PROBE_TIMEOUT, Gossiper
from .member_status import MemberStatus
from .member_table import MemberTable
from .peer import Peer

__all__ = ["FailureDetector"]

TICK_INTERVAL = ms(200)
# A large cluster probes on each second tick only.
LARGE_CLUSTER_PEERS = 40
MAX_TICKS_PER_PROBE = 2
SUSPICION_TIMEOUT = secs(1.5)
FORGET_TIMEOUT = secs(600)
# The share of the members that are gone which a round of probes includes, to find those that came back.
GONE_PROBE_SHARE = 0.2
MAX_INDIRECT_PROBES = 3
INDIRECT_PROBE_TIMEOUT = PROBE_TIMEOUT * 2


class FailureDetector:
    """Probes one other member on each tick, or on each second tick of a large cluster.

    Others probe a node as often, whatever the size of the cluster: a node that ended is found after 0.2 s on average,
    in a large cluster after 0.4 s. A member that answers neither a probe nor one through its peers is suspected; it is
    gone unless it refutes that within the suspicion timeout.
    """

    def __init__(self, ctx: Context, table: MemberTable, gossiper: Gossiper) -> None:
        self._ctx = ctx
        self._table = table
        self._gossiper = gossiper
        self._probe_round: list[str] = []
        self._ticks = 0

    def open(self) -> None:
        """Answers indirect probes from now on."""
        self._ctx.rpc.register_handler("membership.probe_for", IndirectProbeRequest, self._probe_for_peer)

    def start(self) -> None:
        """Probes the members from now on."""
        report = self._ctx.error_reporter("failure_detector_tick")
        self._ctx.timers.call_repeatedly(TICK_INTERVAL, self._tick, report)

    def _tick(self) -> None:
        self._expire_peers()
        ticks_per_probe = min(MAX_TICKS_PER_PROBE, 1 + len(self._table.peers) // LARGE_CLUSTER_PEERS)
        self._ticks = (self._ticks + 1) % ticks_per_probe
        if self._ticks != 0:
            return
        peer = self._next_peer()
        if peer is not None:
            checking = spawn(self._check(peer))
            checking.addErrback(lambda failure: self._ctx.logger.failure("probe_error", failure.value))

    def _expire_peers(self) -> None:
        """Ends suspicions that were not refuted in time, and forgets members that have been gone for long."""
        now = self._ctx.timers.now()
        for peer in list(self._table.peers.values()):
            in_status = now - peer.status_since
            if peer.state == MemberStatus.SUSPECT and in_status > SUSPICION_TIMEOUT:
                peer.transition("confirm_gone", now)
                self._table.peer_changed(peer)
            elif peer.state == MemberStatus.GONE and in_status > FORGET_TIMEOUT:
                self._table.forget(peer.member.node)

    def _next_peer(self) -> Peer | None:
        """Returns the next peer of the present round, which has all peers in random order, or None without peers."""
        while True:
            if not self._probe_round:
                self._begin_round()
                if not self._probe_round:
                    return None
            peer = self._table.peers.get(self._probe_round.pop())
            if peer is not None:
                return peer

    def _begin_round(self) -> None:
        rng = self._ctx.rng
        self._probe_round = [
            node
            for node, peer in self._table.peers.items()
            if peer.state != MemberStatus.GONE or rng.random() < GONE_PROBE_SHARE
        ]
        rng.shuffle(self._probe_round)

    async def _check(self, peer: Peer) -> None:
        """Probes a peer, and suspects it where it answers neither this node nor others."""
        incarnation = peer.member.incarnation
        responding_node = await self._gossiper.probe(peer.address)
        if responding_node == peer.member.node:
            return
        if responding_node:
            # Another node has its address, so this one cannot come back.
            peer.transition("confirm_gone", self._ctx.timers.now())
            self._table.peer_changed(peer)
            return
        if await self._responds_to_others(peer):
            return
        if peer.state == MemberStatus.ALIVE and peer.member.incarnation == incarnation:
            peer.transition("suspect", self._ctx.timers.now())
            self._table.peer_changed(peer)
            self._gossiper.broadcast()

    async def _responds_to_others(self, peer: Peer) -> bool:
        """Asks a few other members, one after the other, whether the peer answers them."""
        alive = self._table.members(None, (MemberStatus.ALIVE,), False)
        others = [member for member in alive if member.node != peer.member.node]
        for other in self._ctx.rng.sample(others, min(MAX_INDIRECT_PROBES, len(others))):
            if await self._probe_through(other, peer.member.node):
                return True
        return False

    async def _probe_through(self, other: Member, target: str) -> bool:
        try:
            response = await self._ctx.rpc.call(
                (other.host, other.port),
                "membership.probe_for",
                IndirectProbeRequest(target=target),
                ProbeResponse,
                INDIRECT_PROBE_TIMEOUT,
            )
        except WireError:
            return False
        responded: bool = response.alive
        return responded

    async def _probe_for_peer(self, _node: str, request: IndirectProbeRequest) -> ProbeResponse:
        peer = self._table.peers.get(request.target)
        alive = peer is not None and await self._gossiper.probe(peer.address) == request.target
        return ProbeResponse(alive=alive)

"""Detects failed members with direct probes, indirect probes through peers, and a suspicion timeout."""

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
# With this many peers or more, a node probes on every second tick only.
LARGE_CLUSTER_PEERS = 40
MAX_TICKS_PER_PROBE = 2
SUSPICION_TIMEOUT = secs(1.5)
GONE_RETENTION = secs(600)
# The fraction of gone members that each probe round includes, to detect those that have come back.
GONE_PROBE_FRACTION = 0.2
MAX_INDIRECT_PROBES = 3
INDIRECT_PROBE_TIMEOUT = PROBE_TIMEOUT * 2


class FailureDetector:
    """Probes one other member per tick, or every second tick in a large cluster.

    The rate at which a node is probed does not depend on the cluster size: a stopped node is detected after 0.2 s on
    average, or 0.4 s in a large cluster. A member that responds to neither a direct nor an indirect probe becomes
    suspect, and then gone unless it refutes the suspicion within the suspicion timeout.
    """

    def __init__(self, ctx: Context, table: MemberTable, gossiper: Gossiper) -> None:
        self._ctx = ctx
        self._table = table
        self._gossiper = gossiper
        self._probe_round: list[str] = []
        self._ticks = 0

    def open(self) -> None:
        """Starts to respond to indirect probes."""
        self._ctx.rpc.register_handler("membership.probe_for", IndirectProbeRequest, self._probe_for_peer)

    def start(self) -> None:
        """Starts to probe the other members."""
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
            check = spawn(self._check_peer(peer))
            check.addErrback(lambda failure: self._ctx.logger.failure("probe_error", failure.value))

    def _expire_peers(self) -> None:
        """Marks suspects as gone after the suspicion timeout, and removes members that have long been gone."""
        now = self._ctx.timers.now()
        for peer in list(self._table.peers.values()):
            time_in_status = now - peer.status_since
            if peer.state == MemberStatus.SUSPECT and time_in_status > SUSPICION_TIMEOUT:
                peer.transition("confirm_gone", now)
                self._table.peer_changed(peer)
            elif peer.state == MemberStatus.GONE and time_in_status > GONE_RETENTION:
                self._table.remove(peer.member.node)

    def _next_peer(self) -> Peer | None:
        """Returns the next peer of the current round, or None if there is none; each round is in a new random order."""
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
            if peer.state != MemberStatus.GONE or rng.random() < GONE_PROBE_FRACTION
        ]
        rng.shuffle(self._probe_round)

    async def _check_peer(self, peer: Peer) -> None:
        """Probes a peer, directly and then through others, and suspects it if all of these probes fail."""
        incarnation = peer.member.incarnation
        responder = await self._gossiper.probe(peer.address)
        if responder == peer.member.node:
            return
        if responder:
            # Another node now uses this address, so the peer cannot come back.
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
        """Asks up to MAX_INDIRECT_PROBES other members, one at a time, whether the peer responds to them."""
        alive = self._table.members(None, (MemberStatus.ALIVE,), False)
        others = [member for member in alive if member.node != peer.member.node]
        for other in self._ctx.rng.sample(others, min(MAX_INDIRECT_PROBES, len(others))):
            if await self._probe_indirectly(other, peer.member.node):
                return True
        return False

    async def _probe_indirectly(self, other: Member, target: str) -> bool:
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
        alive: bool = response.alive
        return alive

    async def _probe_for_peer(self, _node: str, request: IndirectProbeRequest) -> ProbeResponse:
        peer = self._table.peers.get(request.target)
        alive = peer is not None and await self._gossiper.probe(peer.address) == request.target
        return ProbeResponse(alive=alive)

"""Exchanges what nodes believe of the members: gossip with digests, anti-entropy and refutation."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

from ..context import Context
from ..errors import WireError
from ..timers import ms, spawn
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Gossip, Member
from .gossip_carrier import GossipCarrier
from .member_status import LIVE, MemberStatus
from .member_table import MemberTable
from .peer import Peer

__all__ = ["PROBE_TIMEOUT", "Gossiper"]

PROBE_TIMEOUT = ms(400)
MAX_GOSSIPED_PEERS = 128
# Of two reports of one incarnation, the one of the higher precedence counts.
_PRECEDENCE: dict[str, int] = {MemberStatus.ALIVE: 0, MemberStatus.SUSPECT: 1, MemberStatus.GONE: 2}


class Gossiper:
    """Sends and merges gossip.

    A message carries the members that changed lately and a digest of all. Where the digests of two nodes differ, they
    send each other all members (anti-entropy).
    """

    def __init__(self, ctx: Context, table: MemberTable) -> None:
        self._ctx = ctx
        self._table = table
        self._carriers: list[GossipCarrier] = []

    def open(self) -> None:
        """Answers gossip of peers from now on."""
        self._ctx.rpc.register_handler("membership.probe", Gossip, self._respond_to_probe)
        self._ctx.rpc.register_handler("membership.tell", Gossip, self._take_gossip)

    def add_carrier(self, carrier: GossipCarrier) -> None:
        """Has a part of this node add its data to each message and read that of each message received."""
        self._carriers.append(carrier)

    async def probe(self, address: tuple[str, int]) -> str:
        """Exchanges gossip with the node at an address; returns its id, or "" where none answers in time."""
        try:
            gossip = await self._ctx.rpc.call(address, "membership.probe", self._compose(), Gossip, PROBE_TIMEOUT)
        except WireError:
            return ""
        self._absorb(gossip)
        if gossip.digest != self._table.digest():
            self._start(self._send(address, self._compose_full()))
        sender: str = gossip.sender
        return sender

    def broadcast(self) -> list[defer.Deferred[None]]:
        """Sends the recent changes to all live peers; the Deferreds fire when each has answered or failed to."""
        gossip = self._compose()
        peers = self._table.members(None, LIVE, False)
        return [self._start(self._send((peer.host, peer.port), gossip)) for peer in peers]

    async def _respond_to_probe(self, _node: str, gossip: Gossip) -> Gossip:
        self._absorb(gossip)
        if gossip.digest != self._table.digest():
            return self._compose_full()
        return self._compose()

    async def _take_gossip(self, _node: str, gossip: Gossip) -> Empty:
        self._absorb(gossip)
        return Empty()

    async def _send(self, address: tuple[str, int], gossip: Gossip) -> None:
        await self._ctx.rpc.call(address, "membership.tell", gossip, Empty, PROBE_TIMEOUT)

    def _start(self, sending: Coroutine[Any, Any, None]) -> defer.Deferred[None]:
        """Starts to send; a message that is lost is made up for by a later exchange."""
        return spawn(sending).addErrback(lambda _: None)

    def _compose(self) -> Gossip:
        return self._message(self._table.recently_changed(), self._table.local_changed_recently())

    def _compose_full(self) -> Gossip:
        return self._message(list(self._table.peers.values()), True)

    def _message(self, peers: list[Peer], include_self: bool) -> Gossip:
        gossip = Gossip(sender=self._table.local.node, digest=self._table.digest())
        if include_self:
            gossip.members.append(self._table.local)
        gossip.members.extend(peer.member for peer in self._limited(peers))
        for carrier in self._carriers:
            carrier.fill_gossip(gossip)
        return gossip

    def _limited(self, peers: list[Peer]) -> list[Peer]:
        """Returns the peers, or of too many the half that changed last and as many at random."""
        if len(peers) <= MAX_GOSSIPED_PEERS:
            return peers
        newest = sorted(peers, key=lambda peer: -peer.changed_at)[: MAX_GOSSIPED_PEERS // 2]
        return newest + self._ctx.rng.sample(peers, MAX_GOSSIPED_PEERS // 2)

    def _absorb(self, gossip: Gossip) -> None:
        for member in gossip.members[: MAX_GOSSIPED_PEERS * 2]:
            self._merge(member)
        for carrier in self._carriers:
            carrier.absorb_gossip(gossip)

    def _merge(self, reported: Member) -> None:
        """Takes over what a peer reports of a member, where that is newer than what is known here."""
        if not reported.node or reported.status not in _PRECEDENCE:
            return
        if reported.node == self._table.local.node:
            self._refute(reported)
            return
        peer = self._table.peers.get(reported.node)
        if peer is None:
            self._add(reported)
        elif _supersedes(reported, peer):
            self._update(peer, reported)

    def _refute(self, reported: Member) -> None:
        """Raises this node's incarnation where a peer suspects it, so that the suspicion no longer holds."""
        local = self._table.local
        if local.status != MemberStatus.ALIVE or reported.status == MemberStatus.ALIVE:
            return
        if reported.incarnation < local.incarnation:
            return
        self._table.set_local_incarnation(reported.incarnation + 1)
        self._ctx.logger.info("suspicion_refuted", incarnation=local.incarnation)
        self.broadcast()

    def _add(self, reported: Member) -> None:
        if reported.status == MemberStatus.GONE:
            return
        member = Member()
        member.CopyFrom(reported)
        peer = self._table.peers[member.node] = Peer(member, self._ctx.timers.now(), self._ctx.logger)
        self._ctx.logger.info(
            "member_joined", peer=member.node, role=member.role, zone=member.zone, place=f"{member.host}:{member.port}"
        )
        self._table.peer_changed(peer)

    def _update(self, peer: Peer, reported: Member) -> None:
        now = self._ctx.timers.now()
        before = peer.state
        is_new_incarnation = reported.incarnation > peer.member.incarnation
        peer.member.CopyFrom(reported)
        peer.member.status = peer.state
        if is_new_incarnation:
            peer.transition("refute", now)
        if reported.status == MemberStatus.SUSPECT:
            peer.transition("suspect", now)
        elif reported.status == MemberStatus.GONE:
            peer.transition("confirm_gone", now)
        if peer.state != before or is_new_incarnation:
            self._table.peer_changed(peer)


def _supersedes(reported: Member, peer: Peer) -> bool:
    """Whether a report is of a later incarnation than what is known, or of the same and of a higher precedence."""
    if reported.incarnation != peer.member.incarnation:
        return reported.incarnation > peer.member.incarnation
    return _PRECEDENCE[reported.status] > _PRECEDENCE[peer.state]

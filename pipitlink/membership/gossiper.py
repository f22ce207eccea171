"""Exchanges the state of members between nodes: gossip with digests, anti-entropy, and refutation of suspicions."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

from ..context import Context
from ..errors import WireError
from ..timers import ms, spawn
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Gossip, Member
from .gossip_extension import GossipExtension
from .member_status import LIVE, MemberStatus
from .member_table import MemberTable
from .peer import Peer

__all__ = ["PROBE_TIMEOUT", "Gossiper"]

PROBE_TIMEOUT = ms(400)
MAX_GOSSIPED_PEERS = 128
# Of two reports on the same incarnation, the status with the higher precedence wins.
_PRECEDENCE: dict[str, int] = {MemberStatus.ALIVE: 0, MemberStatus.SUSPECT: 1, MemberStatus.GONE: 2}


class Gossiper:
    """Sends and merges gossip.

    A message contains the members that changed recently and a digest of all live members. If the digests of two nodes
    differ, the nodes send each other their full member lists (anti-entropy).
    """

    def __init__(self, ctx: Context, table: MemberTable) -> None:
        self._ctx = ctx
        self._table = table
        self._extensions: list[GossipExtension] = []

    def open(self) -> None:
        """Starts to handle gossip from peers."""
        self._ctx.rpc.register_handler("membership.probe", Gossip, self._handle_probe)
        self._ctx.rpc.register_handler("membership.tell", Gossip, self._handle_gossip)

    def add_extension(self, extension: GossipExtension) -> None:
        """Registers a component that adds data to each outgoing message and merges it from each received one."""
        self._extensions.append(extension)

    async def probe(self, address: tuple[str, int]) -> str:
        """Exchanges gossip with the node at an address; returns its id, or "" if no node responds in time."""
        try:
            gossip = await self._ctx.rpc.call(address, "membership.probe", self._recent_gossip(), Gossip, PROBE_TIMEOUT)
        except WireError:
            return ""
        self._merge_gossip(gossip)
        if gossip.digest != self._table.digest():
            self._send_in_background(self._send(address, self._full_gossip()))
        sender: str = gossip.sender
        return sender

    def broadcast(self) -> list[defer.Deferred[None]]:
        """Sends recent changes to all live peers; the Deferreds fire when the call to each peer has ended."""
        gossip = self._recent_gossip()
        peers = self._table.members(None, LIVE, False)
        return [self._send_in_background(self._send((peer.host, peer.port), gossip)) for peer in peers]

    async def _handle_probe(self, _node: str, gossip: Gossip) -> Gossip:
        self._merge_gossip(gossip)
        if gossip.digest != self._table.digest():
            return self._full_gossip()
        return self._recent_gossip()

    async def _handle_gossip(self, _node: str, gossip: Gossip) -> Empty:
        self._merge_gossip(gossip)
        return Empty()

    async def _send(self, address: tuple[str, int], gossip: Gossip) -> None:
        await self._ctx.rpc.call(address, "membership.tell", gossip, Empty, PROBE_TIMEOUT)

    def _send_in_background(self, sending: Coroutine[Any, Any, None]) -> defer.Deferred[None]:
        """Starts a send and ignores its failure: a later exchange makes up for a lost message."""
        return spawn(sending).addErrback(lambda _: None)

    def _recent_gossip(self) -> Gossip:
        return self._build_gossip(self._table.recently_changed(), self._table.local_changed_recently())

    def _full_gossip(self) -> Gossip:
        return self._build_gossip(list(self._table.peers.values()), True)

    def _build_gossip(self, peers: list[Peer], include_self: bool) -> Gossip:
        gossip = Gossip(sender=self._table.local.node, digest=self._table.digest())
        if include_self:
            gossip.members.append(self._table.local)
        gossip.members.extend(peer.member for peer in self._limit_peers(peers))
        for extension in self._extensions:
            extension.extend_gossip(gossip)
        return gossip

    def _limit_peers(self, peers: list[Peer]) -> list[Peer]:
        """Returns the peers; if there are too many, only the most recently changed ones and a random sample."""
        if len(peers) <= MAX_GOSSIPED_PEERS:
            return peers
        newest = sorted(peers, key=lambda peer: -peer.changed_at)[: MAX_GOSSIPED_PEERS // 2]
        return newest + self._ctx.rng.sample(peers, MAX_GOSSIPED_PEERS // 2)

    def _merge_gossip(self, gossip: Gossip) -> None:
        for member in gossip.members[: MAX_GOSSIPED_PEERS * 2]:
            self._merge_member(member)
        for extension in self._extensions:
            extension.merge_gossip(gossip)

    def _merge_member(self, reported: Member) -> None:
        """Merges a reported member if the report is newer than the local state."""
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
        """Raises this node's incarnation if a peer reports it as suspect or gone, which overrides that report."""
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
    """Returns whether a report has a later incarnation, or the same one with a status of higher precedence."""
    if reported.incarnation != peer.member.incarnation:
        return reported.incarnation > peer.member.incarnation
    return _PRECEDENCE[reported.status] > _PRECEDENCE[peer.state]

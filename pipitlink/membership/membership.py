"""The interface to cluster membership for the other components of a node."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

from twisted.internet import defer

from ..context import Context
from ..timers import secs, spawn
from ..wire.membership_pb2 import Member
from .failure_detector import FailureDetector
from .gossip_extension import GossipExtension
from .gossiper import Gossiper
from .member_status import LIVE, MemberStatus
from .member_table import MemberListener, MemberTable
from .peer_store import PeerStore

__all__ = ["Membership"]

SEED_INTERVAL = secs(1)
# With more live addresses known than this, unknown seeds are probed with SEED_PROBE_PROBABILITY only.
ENOUGH_ADDRESSES = 3
SEED_PROBE_PROBABILITY = 0.1
EVERY_STATUS = (MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.GONE)


class Membership:
    """The members of the cluster: combines failure detector, gossip and peer store on one member table."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.table = MemberTable(ctx.timers)
        self.peer_store = PeerStore(ctx, self.table)
        self.table.add_listener(self.peer_store.peer_changed)
        self._gossiper = Gossiper(ctx, self.table)
        self._failure_detector = FailureDetector(ctx, self.table, self._gossiper)

    def open(self, local_member: Member) -> None:
        """Joins the cluster as `local_member`, through the stored peers and the seeds."""
        self.table.local = local_member
        self.table.set_local_status(MemberStatus.ALIVE)
        self._gossiper.open()
        self._failure_detector.open()
        for address in self.peer_store.read():
            spawn(self._gossiper.probe(address))
        self._failure_detector.start()
        self._ctx.timers.call_repeatedly(SEED_INTERVAL, self._probe_seeds, self._ctx.error_reporter("seed_probes"))

    async def leave(self) -> None:
        """Announces to all peers that this node is leaving, and waits for their responses."""
        self.table.set_local_status(MemberStatus.GONE)
        await defer.DeferredList(self._gossiper.broadcast())

    def persist_peers_in(self, folder: Path) -> None:
        """Stores the addresses of live peers in a file in this folder. Must be called before `open`."""
        self.peer_store.open_in(folder)

    def add_listener(self, listener: MemberListener) -> None:
        """Registers a callback for changes of a peer's status or incarnation."""
        self.table.add_listener(listener)

    def add_gossip_extension(self, extension: GossipExtension) -> None:
        """Registers a component that exchanges data with each gossip message."""
        self._gossiper.add_extension(extension)

    @property
    def local_member(self) -> Member:
        """This node's own member record, as sent to its peers."""
        return self.table.local

    def members(
        self, role: str | None = None, statuses: tuple[str, ...] = LIVE, include_self: bool = True
    ) -> list[Member]:
        """Returns the members with one of the statuses, of one role or (None) of any, sorted by node id."""
        return self.table.members(role, statuses, include_self)

    def all_members(self) -> list[Member]:
        """Returns all known members, including this node and gone members, sorted by node id."""
        return self.table.members(None, EVERY_STATUS, True)

    def find(self, node: str) -> Member | None:
        """Returns the member with this id, or None if it is unknown."""
        return self.table.find(node)

    def zone_of(self, node: str) -> str:
        """Returns the zone of the member with this id, or "" if it is unknown."""
        member = self.table.find(node)
        return member.zone if member is not None else ""

    def status(self, node: str) -> MemberStatus:
        """Returns the status of a node; this node is always alive."""
        return self.table.status(node)

    def time_in_status(self, node: str) -> timedelta:
        """Returns how long a peer has had its current status; zero for an unknown node."""
        return self.table.time_in_status(node)

    def known_for(self, node: str) -> timedelta | None:
        """Returns the time since this node first heard of a peer, or None if the peer is unknown."""
        return self.table.known_for(node)

    def digest(self) -> int:
        """Returns a hash of the ids, incarnations and statuses of the live members; equal views have equal digests."""
        return self.table.digest()

    def is_replaced(self, node: str, name: str = "") -> bool:
        """Returns whether another live node has this node's address or name.

        In that case the node has lost its disk, and with it its id, and cannot come back. `name` is its name, for nodes
        that this one may not have heard of since it started.
        """
        if self.status(node) == MemberStatus.ALIVE:
            return False
        member = self.find(node)
        name = name or (member.name if member is not None else "")
        role = member.role if member is not None else None
        others = (other for other in self.members(role, (MemberStatus.ALIVE,)) if other.node != node)
        return any(_replaces(other, member, name) for other in others)

    async def _probe_seeds(self) -> None:
        """Probes the unknown seeds: each time while few peers are known, later with SEED_PROBE_PROBABILITY."""
        known = {peer.address for peer in self.table.peers.values() if peer.state == MemberStatus.ALIVE}
        known.add(self._ctx.rpc.address)
        if len(known) > ENOUGH_ADDRESSES and self._ctx.rng.random() > SEED_PROBE_PROBABILITY:
            return
        for seed in self._ctx.settings.seeds:
            host, _, port = seed.rpartition(":")
            address = (host, int(port))
            if address not in known:
                spawn(self._gossiper.probe(address))


def _replaces(other: Member, member: Member | None, name: str) -> bool:
    if member is not None and (other.host, other.port) == (member.host, member.port):
        return True
    return bool(name) and other.name == name

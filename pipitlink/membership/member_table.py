"""The members known to a node: itself and its peers."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from hashlib import blake2b
from typing import NamedTuple

from ..timers import Timers, secs
from ..wire.membership_pb2 import Member
from .member_status import LIVE, MemberStatus
from .peer import Peer

__all__ = ["MemberListener", "MemberTable"]

MemberListener = Callable[[Member], object]

RECENT_CHANGE_WINDOW = secs(3)
DIGEST_BYTES = 8


class _Selection(NamedTuple):
    role: str | None
    statuses: tuple[str, ...]
    include_self: bool


class MemberTable:
    """This node's member record and its peers by node id; lookups are cached until the next change."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self.local = Member()
        self.peers: dict[str, Peer] = {}
        self._listeners: list[MemberListener] = []
        self._digest: int | None = None
        self._selected: dict[_Selection, list[Member]] = {}
        self._changed_at = self._local_changed_at = timers.now()

    def add_listener(self, listener: MemberListener) -> None:
        """Registers a callback for peer changes; listeners are called in the order of registration."""
        self._listeners.append(listener)

    def members(self, role: str | None, statuses: tuple[str, ...], include_self: bool) -> list[Member]:
        """Returns the members with one of the statuses, of one role or (None) of any, sorted by node id."""
        selection = _Selection(role, statuses, include_self)
        selected = self._selected.get(selection)
        if selected is None:
            selected = self._selected[selection] = self.select(role, statuses, include_self)
        return list(selected)

    def select(self, role: str | None, statuses: tuple[str, ...], include_self: bool) -> list[Member]:
        """Like `members`, but does not use the cache."""
        found = [peer.member for peer in self.peers.values() if peer.state in statuses]
        if include_self:
            found.append(self.local)
        return sorted((member for member in found if role is None or member.role == role), key=_node_id)

    def find(self, node: str) -> Member | None:
        """Returns the member with this id, or None if it is unknown."""
        if node == self.local.node:
            return self.local
        peer = self.peers.get(node)
        return peer.member if peer else None

    def status(self, node: str) -> MemberStatus:
        """Returns the status of a node; this node is always alive."""
        if node == self.local.node:
            return MemberStatus.ALIVE
        peer = self.peers.get(node)
        return peer.status if peer else MemberStatus.UNKNOWN

    def digest(self) -> int:
        """Returns a hash of the ids, incarnations and statuses of the live members; equal views have equal digests."""
        if self._digest is None:
            lines = sorted(
                f"{member.node} {member.incarnation} {member.status}\n" for member in self.members(None, LIVE, True)
            )
            hashed = blake2b("".join(lines).encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = int.from_bytes(hashed, "big")
        return self._digest

    def recently_changed(self) -> list[Peer]:
        """Returns the peers that changed within RECENT_CHANGE_WINDOW, for which gossip repeats a change."""
        now = self._timers.now()
        if now - self._changed_at >= RECENT_CHANGE_WINDOW:
            return []
        return [peer for peer in self.peers.values() if now - peer.changed_at < RECENT_CHANGE_WINDOW]

    def local_changed_recently(self) -> bool:
        """Returns whether this node's own record changed within RECENT_CHANGE_WINDOW."""
        return self._timers.now() - self._local_changed_at < RECENT_CHANGE_WINDOW

    def set_local_status(self, status: MemberStatus) -> None:
        """Changes this node's status in its own record."""
        self.local.status = status
        self._local_changed()

    def set_local_incarnation(self, incarnation: int) -> None:
        """Changes this node's incarnation, which must be higher than before."""
        self.local.incarnation = incarnation
        self._local_changed()

    def peer_changed(self, peer: Peer) -> None:
        """Records the time of a change of a peer, and calls the listeners."""
        peer.changed_at = self._changed_at = self._timers.now()
        self._invalidate()
        for listener in self._listeners:
            listener(peer.member)

    def remove(self, node: str) -> None:
        """Removes a peer; the listeners are not called."""
        del self.peers[node]
        self._invalidate()

    def time_in_status(self, node: str) -> timedelta:
        """Returns how long a peer has had its current status; zero for an unknown node."""
        peer = self.peers.get(node)
        return self._timers.now() - peer.status_since if peer else timedelta(0)

    def known_for(self, node: str) -> timedelta | None:
        """Returns the time since this node first heard of a peer, or None if the peer is unknown."""
        peer = self.peers.get(node)
        return self._timers.now() - peer.first_seen_at if peer else None

    def _local_changed(self) -> None:
        self._local_changed_at = self._timers.now()
        self._invalidate()

    def _invalidate(self) -> None:
        self._digest = None
        self._selected.clear()


def _node_id(member: Member) -> str:
    return member.node

"""The members that a node knows: itself and its peers."""

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

RECENT_CHANGE_SPAN = secs(3)
DIGEST_BYTES = 8


class _Selection(NamedTuple):
    role: str | None
    statuses: tuple[str, ...]
    include_self: bool


class MemberTable:
    """This node's member record and its peers by node id, with lookups that are cached until the next change."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self.local = Member()
        self.peers: dict[str, Peer] = {}
        self._listeners: list[MemberListener] = []
        self._digest: int | None = None
        self._selected: dict[_Selection, list[Member]] = {}
        self._changed_at = self._local_changed_at = timers.now()

    def add_listener(self, listener: MemberListener) -> None:
        """Has `listener` called with each peer that changes from now on, in the order of registration."""
        self._listeners.append(listener)

    def members(self, role: str | None, statuses: tuple[str, ...], include_self: bool) -> list[Member]:
        """Returns the members of a role, or of any role, that have one of the statuses, ordered by node id."""
        selection = _Selection(role, statuses, include_self)
        selected = self._selected.get(selection)
        if selected is None:
            selected = self._selected[selection] = self.select(role, statuses, include_self)
        return list(selected)

    def select(self, role: str | None, statuses: tuple[str, ...], include_self: bool) -> list[Member]:
        """Does the same as `members` without the cache."""
        found = [peer.member for peer in self.peers.values() if peer.state in statuses]
        if include_self:
            found.append(self.local)
        return sorted((member for member in found if role is None or member.role == role), key=_node_id)

    def find(self, node: str) -> Member | None:
        """Returns the member with this id, or None where it is not known."""
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
        """Returns a hash of all that is believed of the live members: equal where two nodes believe the same."""
        if self._digest is None:
            lines = sorted(
                f"{member.node} {member.incarnation} {member.status}\n" for member in self.members(None, LIVE, True)
            )
            hashed = blake2b("".join(lines).encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = int.from_bytes(hashed, "big")
        return self._digest

    def recently_changed(self) -> list[Peer]:
        """Returns the peers that changed within the time for which gossip repeats a change."""
        now = self._timers.now()
        if now - self._changed_at >= RECENT_CHANGE_SPAN:
            return []
        return [peer for peer in self.peers.values() if now - peer.changed_at < RECENT_CHANGE_SPAN]

    def local_changed_recently(self) -> bool:
        """Whether this node's own record changed within the time for which gossip repeats a change."""
        return self._timers.now() - self._local_changed_at < RECENT_CHANGE_SPAN

    def set_local_status(self, status: MemberStatus) -> None:
        """Changes the status that this node gives itself."""
        self.local.status = status
        self._local_changed()

    def set_local_incarnation(self, incarnation: int) -> None:
        """Changes this node's incarnation, which must be higher than before."""
        self.local.incarnation = incarnation
        self._local_changed()

    def peer_changed(self, peer: Peer) -> None:
        """Notes that a peer has changed, and calls the listeners."""
        peer.changed_at = self._changed_at = self._timers.now()
        self._invalidate()
        for listener in self._listeners:
            listener(peer.member)

    def forget(self, node: str) -> None:
        """Removes a peer; the listeners are not called."""
        del self.peers[node]
        self._invalidate()

    def time_in_status(self, node: str) -> timedelta:
        """Returns for how long a peer has had its status; zero for a node that is not known."""
        peer = self.peers.get(node)
        return self._timers.now() - peer.status_since if peer else timedelta(0)

    def known_for(self, node: str) -> timedelta | None:
        """Returns how long ago a peer was first heard of, or None where it is not known."""
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

"""Checks that histories of operators' writes and of reads are linearizable.

The configuration is a versioned register, and each zone is a register of its own. A configuration write is a single
operation, from its first attempt to its definite response, however often it was sent, since it takes effect once.
Zone writes have no version, so each attempt is an operation of its own; an attempt without a response may take effect
until the write as a whole is confirmed, but not later. The state that a gateway serves may lag behind other reads, but
it must include all writes that were confirmed before, and must never go back.
"""

from enum import Enum

import attrs

__all__ = ["Response", "ConfigWrite", "ConfigRead", "ZoneWrite", "ZoneRead", "check_history"]


class Response(Enum):
    """The final response to an operator's write."""

    CONFIRMED = "taken"
    OTHER_VERSION = "refused for another version"
    REFUSED = "refused"
    UNKNOWN = "not answered clearly"


@attrs.frozen
class ConfigWrite:
    """A write of the whole configuration, which `content` identifies; it is the same in each retry."""

    content: str
    base: int
    version: int
    sent: float
    ended: float
    response: Response
    valid: bool = True

    def next_states(self, chain: tuple) -> list[tuple]:
        """Returns the states that may follow a state; empty if the write is impossible in it.

        A state is the tuple of (version, content) pairs that took effect so far.
        """
        newest = chain[-1][0] if chain else 0
        taken = any(content == self.content for _, content in chain)
        fits = self.valid and not taken and newest == self.base and self.version > newest
        if self.response in (Response.CONFIRMED, Response.UNKNOWN):
            if taken:
                return [chain]
            return [(*chain, (self.version, self.content))] if fits else []
        if self.response is Response.OTHER_VERSION:
            return [chain] if not taken and newest != self.base or not self.valid else []
        return [chain] if not fits and not taken else []


@attrs.frozen
class ConfigRead:
    """A configuration that was read back, or served by a gateway, at some time between `sent` and `ended`."""

    version: int
    content: str
    sent: float
    ended: float
    server: str = ""
    response = Response.CONFIRMED

    def next_states(self, chain: tuple) -> list[tuple]:
        newest = chain[-1] if chain else (0, "")
        return [chain] if newest == (self.version, self.content) else []


@attrs.frozen
class ZoneWrite:
    """One attempt to set the flag `empty` of a zone, which drains the zone, or to clear it."""

    zone: str
    empty: bool
    sent: float
    ended: float
    response: Response

    def next_states(self, empty: bool) -> list[bool]:
        return [self.empty] if self.response in (Response.CONFIRMED, Response.UNKNOWN) else [empty]


@attrs.frozen
class ZoneRead:
    """A zone's flag `empty` as read back, or as served by a gateway, at some time between `sent` and `ended`."""

    zone: str
    empty: bool
    sent: float
    ended: float
    server: str = ""
    response = Response.CONFIRMED

    def next_states(self, empty: bool) -> list[bool]:
        return [empty] if empty == self.empty else []


def check_history(records: list) -> list[str]:
    """Returns a message for each register whose records are not linearizable, and the record that no order explains."""
    out = _conflicting_confirmations([r for r in records if isinstance(r, ConfigWrite)])
    out += _check_register("the configuration", [r for r in records if isinstance(r, ConfigWrite | ConfigRead)], ())
    for zone in sorted({r.zone for r in records if isinstance(r, ZoneWrite | ZoneRead)}):
        of_zone = [r for r in records if isinstance(r, ZoneWrite | ZoneRead) and r.zone == zone]
        out += _check_register(f"zone {zone}", of_zone, False)
    return out


def _conflicting_confirmations(orders: list[ConfigWrite]) -> list[str]:
    """Finds two writes that were confirmed on the same base or version.

    The search would reject them too; this gives a clearer message.
    """
    out = []
    for what in ("base", "version"):
        confirmed: dict[int, str] = {}
        for r in orders:
            if r.response is Response.CONFIRMED and confirmed.setdefault(getattr(r, what), r.content) != r.content:
                out.append(f"two writes were confirmed with {what} {getattr(r, what)}")
    return out


def _check_register(what: str, records: list, state) -> list[str]:
    search = _Search(sorted(records, key=lambda r: (r.sent, r.ended)))
    if search.is_linearizable(state):
        return []
    return [f"no order explains {what}, at the latest from {search.stuck} on"]


def _is_read(record) -> bool:
    return isinstance(record, ConfigRead | ZoneRead)


def _precedes(a, b) -> bool:
    """Whether `a` must come before `b`.

    A read served by a gateway must only follow that gateway's earlier reads and the confirmed writes.
    """
    if a.ended >= b.sent:
        return False
    if not _is_read(b) or not b.server:
        return True
    return a.server == b.server if _is_read(a) else a.response is Response.CONFIRMED


class _Search:
    """Searches for an order of operations that is consistent with their times and responses.

    It uses the algorithm of Wing and Gong with memoized states. Sets of operations are bit masks.
    """

    def __init__(self, records: list):
        self._records = records
        self._required = sum(1 << i for i, r in enumerate(records) if r.response is not Response.UNKNOWN)
        self._predecessors = [
            sum(1 << i for i, a in enumerate(records) if _precedes(a, b)) & self._required for b in records
        ]
        self._successors = [sum(1 << i for i, b in enumerate(records) if _precedes(a, b)) for a in records]
        self._read_only = [self._is_read_only(r) for r in records]
        self._unknown_predecessors = [
            sum(1 << i for i, a in enumerate(records) if a.response is Response.UNKNOWN and _precedes(a, b))
            for b in records
        ]
        self._deepest = -1
        self.stuck = None

    def is_linearizable(self, state) -> bool:
        visited = set()
        branches = [(0, state)]
        while branches:
            done, state = self._apply_read_only(*branches.pop())
            if done & self._required == self._required:
                return True
            if (done, state) in visited:
                continue
            visited.add((done, state))
            self._record_progress(done)
            branches += self._next_branches(done, state)
        return False

    def _available(self, done: int):
        """Yields the operations that may come next."""
        for i, r in enumerate(self._records):
            if not (done >> i & 1 or self._predecessors[i] & ~done or self._successors[i] & done):
                yield i, r

    def _apply_read_only(self, done: int, state):
        """Applies the read-only operations that are possible now and before which no unanswered write could still come.

        Postponing such an operation can't make the search succeed.
        """
        while done & self._required != self._required:
            free = [
                i
                for i, r in self._available(done)
                if self._read_only[i] and not self._unknown_predecessors[i] & ~done and state in r.next_states(state)
            ]
            if not free:
                break
            done |= sum(1 << i for i in free)
        return done, state

    def _is_read_only(self, r) -> bool:
        return _is_read(r) or r.response in (Response.OTHER_VERSION, Response.REFUSED)

    def _next_branches(self, done: int, state) -> list:
        """Returns the next branches; the search takes the last first: answered operations by the time they ended."""
        branches = [
            (r.response is Response.UNKNOWN, r.ended, done | 1 << i, after)
            for i, r in self._available(done)
            for after in r.next_states(state)
            if r.response is not Response.UNKNOWN or after != state
        ]
        branches.sort(key=lambda w: w[:2], reverse=True)
        return [(mask, after) for _, _, mask, after in branches]

    def _record_progress(self, done: int):
        depth = (done & self._required).bit_count()
        if depth > self._deepest:
            self._deepest = depth
            left = [r for i, r in enumerate(self._records) if not done >> i & 1 and r.response is not Response.UNKNOWN]
            self.stuck = min(left, key=lambda r: r.ended)

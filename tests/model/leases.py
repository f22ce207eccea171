"""Leases and copies of one log in a placement group over a move: epochs, tails, quorums of both sets, emptied disks.

Leases have no time here: anybody may ask for one at any moment, since epochs alone must keep the log whole. A write
and its answer are one step, and what a leaseholder was told stays true of the past: it counts it at any later time.
Copying is two steps, since the source may change between the list and the read. What a storage node promised or wrote
is on its disk before it answers.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

import attrs

from pipitlink.replicated_log.placement_group import PlacementGroup

from . import properties
from .properties import Acknowledged, Copies, Settled, Tail

__all__ = ["Leases"]

LOG = "log"


class Copy(NamedTuple):
    """A storage node's copy; `granted` is the highest epoch that it was asked for as a lease."""

    seq: int = 0
    epoch: int = 0
    granted: int = 0
    tail: int = 0
    data: tuple = ()
    committed: int = 0
    lost: bool = False


class Seen(NamedTuple):
    """What a leaseholder was last told of a copy."""

    tail: int
    length: int
    committed: int


class Holder(NamedTuple):
    """A leaseholder, from its first request on; `held` once its tail is durable under its epoch."""

    state: str = "idle"
    seq: int = 0
    epoch: int = 0
    seen: tuple = ()
    data: tuple = ()
    best: Seen = Seen(0, 0, 0)
    committed: int = 0
    wanted: int = 0


class Joining(NamedTuple):
    """How far the joining node has come: what it listed, and whether it has told that it has all."""

    source: int = -1
    seen: Seen = Seen(0, 0, 0)
    promised: int = 0
    whole: bool = False


class State(NamedTuple):
    copies: tuple[Copy, ...]
    holders: tuple[Holder, ...]
    seq: int = 0
    joining: Joining = Joining()
    settled: frozenset = frozenset()
    acknowledged: frozenset = frozenset()
    moved: tuple = ()
    emptied: int = 0


@attrs.frozen
class Leases:
    """The model at a size, and the guards that a mutation takes out.

    With `begun`, the first leaseholder already holds the empty log under epoch 1, by the first majority.
    """

    copies: int = 3
    holders: int = 2
    epochs: int = 2
    appends: int = 2
    moves: bool = False
    begun: bool = False
    empties: int = 0
    promise_is_kept: bool = True
    write_checks_epoch: bool = True
    write_checks_stand: bool = True
    settles_tail: bool = True
    newest_tail: bool = True
    both_sets: bool = True
    old_placement_is_refused: bool = True
    joining_copies_first: bool = True
    copy_is_fenced: bool = True
    counts_afresh_after_move: bool = True
    emptied_is_another: bool = True
    majority: bool = True

    def group(self, seq: int) -> PlacementGroup:
        """Before, during and after the move of the last node's place to one that joins."""
        first = tuple(range(self.copies))
        joining = str(self.copies)
        names = tuple(str(n) for n in first)
        if seq == 0:
            return PlacementGroup(0, seq, names)
        if seq == 1:
            return PlacementGroup(0, seq, names, joining if self.both_sets else "", names[-1] if self.both_sets else "")
        return PlacementGroup(0, seq, (*names[:-1], joining))

    def start(self) -> State:
        nodes = self.copies + (1 if self.moves else 0)
        if not self.begun:
            return State((Copy(),) * nodes, (Holder(),) * self.holders)
        first = Holder("held", 0, 1)
        rest = (Copy(),) * (nodes - self.copies // 2 - 1)
        copies = (Copy(epoch=1, granted=1),) * (self.copies // 2 + 1) + rest
        settled = frozenset({Settled(LOG, 1, 0, ())})
        return State(copies, (first, *(Holder(),) * (self.holders - 1)), settled=settled)

    def wrong(self, s: State) -> list[str]:
        tails = [Tail(LOG, c.tail, n, c.data) for n, c in enumerate(s.copies) if not c.lost]
        held = tuple(c.data for c in s.copies if not c.lost)
        shown = [Acknowledged(LOG, t.epoch, t.data) for t in s.settled]
        return [
            *properties.one_leaseholder_an_epoch(s.settled),
            *properties.one_tail_an_epoch(tails),
            *properties.acknowledged_in_later_tails(s.acknowledged, s.settled),
            *properties.acknowledged_in_later_tails(shown, s.settled),
            *properties.copies_are_kept(s.acknowledged, (Copies(LOG, 1, held), *s.moved)),
        ]

    def steps(self, s: State) -> Iterator[tuple[str, State]]:
        for at, h in enumerate(s.holders):
            yield from self._ask(s, at, h)
            yield from self._grant(s, at, h)
            yield from self._settle(s, at, h)
            yield from self._write(s, at, h)
            yield from self._count(s, at, h)
            yield from self._append(s, at, h)
            yield from self._look_again(s, at, h)
        for n, c in enumerate(s.copies):
            yield from self._follow(s, n, c)
            yield from self._empty(s, n, c)
        if self.moves:
            yield from self._move(s)

    def _ask(self, s: State, at: int, h: Holder):
        newest = max([c.epoch for c in s.copies] + [o.epoch for o in s.holders])
        for epoch in range(max(h.epoch, newest, 1), min(newest + 1, self.epochs) + 1):
            if epoch > h.epoch and (at == 0 or s.holders[0].epoch):
                yield f"ask {at} for {epoch}", _held(s, at, Holder("asking", h.seq, epoch))

    def _grant(self, s: State, at: int, h: Holder):
        if h.state != "asking":
            return
        for n in self._reached(s, h):
            c = s.copies[n]
            if c.epoch >= h.epoch or dict(h.seen).get(n):
                continue
            promised = h.epoch if self.promise_is_kept else c.epoch
            after = _copied(s, n, c._replace(epoch=promised, granted=promised))
            yield f"grant {n} to {at}", _held(after, at, _see(h, n, c))

    def _first_of_its_like(self, s: State, n: int) -> bool:
        """False where a lower node could be put in this one's place: its steps stand for both."""
        alike = range(min(n, self.copies - 1 if self.moves else self.copies))
        if n >= (self.copies - 1 if self.moves else self.copies) or s.joining.source >= 0:
            return True
        return not any(
            s.copies[m] == s.copies[n] and all(dict(h.seen).get(m) == dict(h.seen).get(n) for h in s.holders)
            for m in alike
        )

    def _reached(self, s: State, h: Holder) -> list[int]:
        """The nodes of the placement group, as the leaseholder knows it, that take a call which rests on it."""
        return [
            int(n)
            for n in self.group(h.seq).all_nodes
            if not s.copies[int(n)].lost
            and self._first_of_its_like(s, int(n))
            and (s.copies[int(n)].seq <= h.seq or not self.old_placement_is_refused)
        ]

    def _agree(self, h: Holder, nodes) -> bool:
        if not self.majority:
            return bool(nodes)
        return self.group(h.seq).is_quorum({str(n) for n in nodes})

    def _settle(self, s: State, at: int, h: Holder):
        if h.state != "asking" or not self._agree(h, dict(h.seen)):
            return
        seen = dict(h.seen)
        best = max(seen, key=lambda n: (seen[n].tail, seen[n].length) if self.newest_tail else n)
        data = s.copies[best].data[: seen[best].length]
        if s.copies[best].lost or len(data) < seen[best].length:
            return
        committed = max(o.committed for o in seen.values())
        state = "settling" if data and self.settles_tail else "held"
        after = h._replace(state=state, data=data, best=seen[best], committed=committed, wanted=len(data))
        out = _held(s, at, after)
        if state == "held":
            out = out._replace(settled=s.settled | {Settled(LOG, h.epoch, at, data)})
        yield f"settle {at}", out

    def _write(self, s: State, at: int, h: Holder):
        """A write that found the copy where its writer expects it; a late or repeated one finds it elsewhere."""
        if h.state not in ("settling", "held"):
            return
        for n in self._reached(s, h):
            c = s.copies[n]
            known = Seen(c.tail, len(c.data), c.committed)
            if c.epoch > h.epoch and self.write_checks_epoch:
                continue
            if c.tail == h.epoch and dict(h.seen).get(n) != known:
                yield f"see {n} by {at}", _held(s, at, _see(h, n, c))
            start = self._start(h, known)
            ends = (len(h.data),) if self.write_checks_stand else range(start, len(h.data) + 1)
            starts = (start,) if self.write_checks_stand else range(start + 1)
            for start, end in ((a, b) for a in starts for b in ends):
                if (c.tail, c.data) == (h.epoch, h.data[:end]) or start < c.committed:
                    continue
                data = (*c.data[:start], *h.data[start:end])
                committed = min(max(c.committed, h.committed), len(data))
                written = c._replace(epoch=max(c.epoch, h.epoch), tail=h.epoch, data=data, committed=committed)
                yield f"write {n} by {at}", _held(_copied(s, n, written), at, _see(h, n, written))

    def _start(self, h: Holder, known: Seen) -> int:
        if known.tail == h.epoch:
            return known.length
        if known.tail == h.best.tail:
            return min(known.length, h.best.length)
        return min(known.committed, known.length)

    def _count(self, s: State, at: int, h: Holder):
        marks = {str(n): k.length for n, k in h.seen if k.tail == h.epoch}
        if h.state not in ("settling", "held") or not self._agree(h, marks):
            return
        reached = self.group(h.seq).quorum_position(marks) if self.majority else max(marks.values())
        if h.state == "settling" and reached >= h.wanted:
            after = h._replace(state="held", committed=max(h.committed, reached))
            settled = Settled(LOG, h.epoch, at, h.data)
            yield f"hold {at}", _held(s, at, after)._replace(settled=s.settled | {settled})
        elif h.state == "held" and reached > h.committed:
            told = Acknowledged(LOG, h.epoch, h.data[:reached])
            after = _held(s, at, h._replace(committed=reached))
            yield f"acknowledge {at} at {reached}", after._replace(acknowledged=s.acknowledged | {told})

    def _append(self, s: State, at: int, h: Holder):
        written = len({e for o in s.holders for e in o.data} | {e for c in s.copies for e in c.data})
        if h.state == "held" and written < self.appends:
            yield f"append {at}", _held(s, at, h._replace(data=(*h.data, (h.epoch, at, len(h.data)))))

    def _look_again(self, s: State, at: int, h: Holder):
        if h.seq < s.seq and h.state != "asking":
            everyone = {int(n) for n in self.group(s.seq).all_nodes}
            seen = () if self.counts_afresh_after_move else tuple((n, k) for n, k in h.seen if n in everyone)
            yield f"look {at} at {s.seq}", _held(s, at, h._replace(seq=s.seq, seen=seen))

    def _follow(self, s: State, n: int, c: Copy):
        if c.seq < s.seq and not c.lost and self._first_of_its_like(s, n):
            yield f"follow {n}", _copied(s, n, c._replace(seq=s.seq))

    def _empty(self, s: State, n: int, c: Copy):
        """A disk is lost: nobody answers for that identity any more, and so few may be lost at once as is borne."""
        borne = s.emptied < self.empties and n < self.copies and self._first_of_its_like(s, n)
        if borne and not c.lost and c != Copy(seq=c.seq):
            after = Copy(lost=True) if self.emptied_is_another else Copy(seq=c.seq)
            yield f"empty {n}", _copied(s, n, after)._replace(emptied=s.emptied + 1)

    def _move(self, s: State):
        if s.seq == 0:
            yield "move", s._replace(seq=1)
        if s.seq == 1 and s.copies[self.copies].seq == 1 and not s.joining.whole:
            yield from self._list(s)
            yield from self._read(s)
        if s.seq == 1 and (s.joining.whole or not self.joining_copies_first):
            group = self.group(2)
            lost = sum(s.copies[int(n)].lost for n in group.storage_nodes)
            held = tuple(s.copies[int(n)].data for n in group.storage_nodes)
            moved = Copies(LOG, self.copies // 2 + 1 - lost, held)
            wrong = properties.copies_are_kept(s.acknowledged, [moved])
            yield "end", s._replace(seq=2, moved=(moved,) if wrong else ())

    def _list(self, s: State):
        """Any majority of the old set that has heard of the move may be the one that answers."""
        there = [n for n in range(self.copies) if s.copies[n].seq >= 1 and not s.copies[n].lost]
        if s.joining.source >= 0:
            return
        for nodes in _majorities(there, self.copies):
            best = max(nodes, key=lambda n: (s.copies[n].tail, len(s.copies[n].data)))
            c = s.copies[best]
            promised = max(s.copies[n].epoch for n in nodes)
            listed = Joining(best, Seen(c.tail, len(c.data), c.committed), promised)
            yield f"list {nodes}", s._replace(joining=listed)

    def _read(self, s: State):
        j, mine = s.joining, s.copies[self.copies]
        if j.source < 0:
            return
        source = s.copies[j.source]
        data = mine.data
        if (j.seen.tail, j.seen.length) > (mine.tail, len(mine.data)):
            start = len(mine.data) if mine.tail == j.seen.tail else min(mine.committed, j.seen.length)
            data = (*mine.data[:start], *source.data[start : j.seen.length])
            fenced = mine.granted > j.seen.tail and self.copy_is_fenced
            if source.lost or len(data) < j.seen.length or fenced:
                yield "list_again", s._replace(joining=Joining())
                return
            mine = mine._replace(tail=j.seen.tail, data=data, committed=min(j.seen.committed, len(data)))
        mine = mine._replace(epoch=max(mine.epoch, j.promised, mine.tail))
        yield "copy", _copied(s, self.copies, mine)._replace(joining=Joining(whole=True))


def _majorities(nodes: list[int], copies: int):
    return combinations(nodes, copies // 2 + 1)


def _see(h: Holder, n: int, c: Copy) -> Holder:
    seen = dict(h.seen)
    seen[n] = Seen(c.tail, len(c.data), c.committed)
    return h._replace(seen=tuple(sorted(seen.items())))


def _held(s: State, at: int, h: Holder) -> State:
    return s._replace(holders=(*s.holders[:at], h, *s.holders[at + 1 :]))


def _copied(s: State, n: int, c: Copy) -> State:
    return s._replace(copies=(*s.copies[:n], c, *s.copies[n + 1 :]))

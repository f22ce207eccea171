"""The controllers' agreement: terms, ballots, the log with its snapshot, changes of the voters, crashes, emptied disks.

A message is never lost for good here: what a leader ever sent in its term may reach anybody at any later time, in any
order and any number of times, since a leader's log only grows within its term. That covers loss, delay and repeats.
Votes and synced entries are answered only from disk, so each such step is one; a leader's own entry is sent before
it is synced, as in the code, and a crash loses it. A pre-vote only forbids elections, so none is left out without it;
its waiting spans are in `proofs`.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

import attrs

from . import properties
from .properties import Committed, Counted, Elected, Vote

__all__ = ["Agreement"]

NOBODY = -1
VOTERS = "voters"


class Member(NamedTuple):
    """A controller: `snapshot` entries of its log are no longer there to be sent one by one."""

    node: int
    term: int = 0
    vote: int = NOBODY
    role: str = "follower"
    log: tuple = ()
    synced: int = 0
    commit: int = 0
    snapshot: int = 0


class Sent(NamedTuple):
    """The most that the leader of a term has ever sent."""

    term: int
    log: tuple
    commit: int
    snapshot: int


class State(NamedTuple):
    members: tuple[Member, ...]
    sent: tuple[Sent, ...] = ()
    matched: frozenset = frozenset()
    votes: frozenset = frozenset()
    elected: tuple[Elected, ...] = ()
    committed: frozenset = frozenset()
    counted: tuple[Counted, ...] = ()
    crashes: int = 0
    emptied: int = 0
    changes: int = 0


@attrs.frozen
class Agreement:
    """The model at a size, and the guards that a mutation takes out."""

    members: int = 3
    standbys: int = 0
    terms: int = 2
    entries: int = 2
    crashes: int = 0
    empties: int = 0
    changes: int = 0
    trims: bool = False
    whole_elections: bool = False
    ballot_is_synced: bool = True
    voter_compares_logs: bool = True
    follower_compares_previous: bool = True
    follower_keeps_what_matches: bool = True
    leader_counts_own_term_only: bool = True
    leader_counts_own_synced_only: bool = True
    emptied_has_new_identity: bool = True
    counts_by_identity: bool = True
    one_change_at_a_time: bool = True
    change_needs_own_term: bool = True
    snapshot_drops_conflicts: bool = True

    def start(self) -> State:
        return State(tuple(Member(n) for n in range(self.members + self.standbys)))

    def wrong(self, s: State) -> list[str]:
        return [
            *properties.one_vote_a_term(s.votes),
            *properties.one_leader_a_term(s.elected),
            *properties.committed_entries_agree(s.committed),
            *properties.leaders_are_complete(s.elected, s.committed),
            *properties.only_voters_are_counted(s.counted),
        ]

    def voters(self, m: Member) -> tuple[int, ...]:
        """The newest voters in the log count, committed or not."""
        for _, content in reversed(m.log):
            if content:
                return content
        return tuple(range(self.members))

    def steps(self, s: State) -> Iterator[tuple[str, State]]:
        for at, m in enumerate(s.members):
            if m.role != "leader" and self.whole_elections:
                yield from self._elect(s, at, m)
            elif m.role != "leader":
                yield from self._stand(s, at, m)
            if m.role == "candidate":
                yield from self._ask_votes(s, at, m)
                yield from self._win(s, at, m)
            if m.role == "leader":
                yield from self._propose(s, at, m)
                yield from self._sync(s, at, m)
                yield from self._commit(s, at, m)
                yield from self._change_voters(s, at, m)
            yield from self._receive(s, at, m)
            yield from self._trim(s, at, m)
            yield from self._crash(s, at, m)
            yield from self._empty(s, at, m)

    def _stand(self, s: State, at: int, m: Member):
        if m.term >= self.terms or m.node not in self.voters(m) or (not s.votes and at):
            return
        after = m._replace(term=m.term + 1, vote=m.node, role="candidate")
        yield f"stand {at}", _with(s, at, after)._replace(votes=s.votes | {Vote(m.term + 1, m.node, m.node)})

    def _elect(self, s: State, at: int, m: Member):
        """Stands, is voted for by just a majority, and wins, in one step: fewer states, for longer runs."""
        term, voters = m.term + 1, self.voters(m)
        if term > self.terms or m.node not in voters or (not s.votes and at):
            return
        willing = [
            n
            for n, v in enumerate(s.members)
            if n != at and v.node in voters and v.term < term and not (self.voter_compares_logs and _last(m) < _last(v))
        ]
        for others in combinations(willing, len(voters) // 2):
            members = list(s.members)
            for n in others:
                members[n] = members[n]._replace(term=term, vote=m.node, role="follower")
            members[at] = m._replace(term=term, vote=m.node, role="leader")
            votes = {Vote(term, members[n].node, m.node) for n in (at, *others)}
            after = self._send(s._replace(members=tuple(members), votes=s.votes | votes), at)
            yield f"elect {at} by {others}", after._replace(elected=(*s.elected, Elected(term, m.node, 0, m.log)))

    def _ask_votes(self, s: State, at: int, m: Member):
        for other, v in enumerate(s.members):
            if other == at or v.node not in self.voters(m) or v.term > m.term:
                continue
            if v.term == m.term and v.vote not in (NOBODY, m.node) or Vote(m.term, v.node, m.node) in s.votes:
                continue
            if self.voter_compares_logs and _last(m) < _last(v):
                continue
            role = "follower" if m.term > v.term else v.role
            after = v._replace(term=m.term, vote=m.node, role=role)
            yield (
                f"vote {other} for {at}",
                _with(s, other, after)._replace(votes=s.votes | {Vote(m.term, v.node, m.node)}),
            )

    def _win(self, s: State, at: int, m: Member):
        granted = {v.voter for v in s.votes if v.term == m.term and v.candidate == m.node}
        if not _majority(granted, self.voters(m)):
            return
        after = _with(s, at, m._replace(role="leader"))
        yield f"win {at}", self._send(after, at)._replace(elected=(*s.elected, Elected(m.term, m.node, 0, m.log)))

    def _propose(self, s: State, at: int, m: Member):
        if len(m.log) < self.entries:
            yield f"propose {at}", self._send(_with(s, at, m._replace(log=(*m.log, (m.term, ())))), at)

    def _change_voters(self, s: State, at: int, m: Member):
        if s.changes >= self.changes or len(m.log) >= self.entries:
            return
        known = [n for n, (_, content) in enumerate(m.log, 1) if content]
        if self.one_change_at_a_time and known and known[-1] > m.commit:
            return
        if self.change_needs_own_term and not (m.commit and m.log[m.commit - 1][0] == m.term):
            return
        voters = self.voters(m)
        nodes = [o.node for o in s.members if o.node not in voters]
        added = [tuple(sorted((*voters, n))) for n in nodes]
        dropped = [tuple(v for v in voters if v != n) for n in voters if n != m.node and len(voters) > 2]
        for change in (*added, *dropped):
            after = _with(s, at, m._replace(log=(*m.log, (m.term, change))))
            yield f"change {at} to {change}", self._send(after, at)._replace(changes=s.changes + 1)

    def _sync(self, s: State, at: int, m: Member):
        if m.synced < len(m.log):
            yield f"sync {at}", _with(s, at, m._replace(synced=len(m.log)))

    def _receive(self, s: State, at: int, m: Member):
        for sent in s.sent:
            if sent.term < m.term or (m.role == "leader" and m.term == sent.term):
                continue
            for end in range(len(sent.log) + 1):
                log, snapshot = self._taken(m, sent, end)
                if log is None:
                    continue
                vote = m.vote if m.term == sent.term else NOBODY
                commit = max(m.commit, min(sent.commit, end))
                after = Member(m.node, sent.term, vote, "follower", log, len(log), commit, snapshot)
                matched = self._match(s.matched, sent.term, at, m.node, end)
                if after == m and matched == s.matched:
                    continue
                known = {Committed(n, e, sent.term) for n, e in enumerate(log[:commit], 1)}
                yield (
                    f"receive {at} of {sent.term} to {end}",
                    _with(s, at, after)._replace(matched=matched, committed=_committed(s.committed, known)),
                )

    def _taken(self, m: Member, sent: Sent, end: int) -> tuple[tuple | None, int]:
        """The follower's log after it took what was sent up to `end`, or None where that does not follow on its own."""
        log, snapshot = m.log, m.snapshot
        base = _agreed(log, sent.log[:end]) if self.follower_compares_previous else max(0, min(end - 1, len(log)))
        if sent.snapshot and end >= sent.snapshot > len(log):
            kept = () if self.snapshot_drops_conflicts else log
            base = snapshot = sent.snapshot
            log = (*kept, *sent.log[len(kept) : base])
        if base < sent.snapshot and end > base:
            return None, 0
        if self.follower_keeps_what_matches and log[:end] == sent.log[:end]:
            return log, snapshot
        return (*log[:base], *sent.log[base:end]), snapshot

    def _match(self, matched: frozenset, term: int, at: int, node: int, end: int) -> frozenset:
        """Who answered, where it stands, and up to where it has the leader's log on its disk."""
        best = max((n for t, _, w, n in matched if (t, w) == (term, node)), default=0)
        return matched - {(term, at, node, best)} | {(term, at, node, end)} if end > best else matched

    def _commit(self, s: State, at: int, m: Member):
        marks = {(who if self.counts_by_identity else at): n for t, at, who, n in sorted(s.matched) if t == m.term}
        marks[m.node] = m.synced if self.leader_counts_own_synced_only else len(m.log)
        voters = self.voters(m)
        reached = sorted((marks.get(v, 0) for v in voters), reverse=True)[len(voters) // 2]
        if reached <= m.commit or (self.leader_counts_own_term_only and m.log[reached - 1][0] != m.term):
            return
        known = {Committed(n, e, m.term) for n, e in enumerate(m.log[:reached], 1)}
        after = self._send(_with(s, at, m._replace(commit=reached)), at)
        yield (
            f"commit {at} to {reached}",
            after._replace(committed=_committed(s.committed, known), counted=self._counted(s, m, voters, reached)),
        )

    def _counted(self, s: State, m: Member, voters: tuple, reached: int) -> tuple:
        """Kept only where it is wrong: who truly answered that it has the entry, by its own identity."""
        holders = {who for t, _, who, n in s.matched if t == m.term and n >= reached}
        holders |= {m.node} if m.synced >= reached else set()
        found = Counted(reached, m.term, voters, frozenset(holders))
        return (found,) if properties.only_voters_are_counted([found]) else ()

    def _trim(self, s: State, at: int, m: Member):
        if self.trims and m.commit > m.snapshot and m.synced >= m.commit:
            after = _with(s, at, m._replace(snapshot=m.commit))
            yield f"trim {at}", self._send(after, at) if m.role == "leader" else after

    def _crash(self, s: State, at: int, m: Member):
        if s.crashes >= self.crashes:
            return
        log = m.log[: m.synced]
        term, vote = (m.term, m.vote) if self.ballot_is_synced else (m.term, NOBODY)
        after = Member(m.node, term, vote, "follower", log, len(log), m.snapshot, m.snapshot)
        if after != m:
            yield f"crash {at}", _with(s, at, after)._replace(crashes=s.crashes + 1)

    def _empty(self, s: State, at: int, m: Member):
        if s.emptied >= self.empties or m == Member(m.node):
            return
        node = m.node + 10 if self.emptied_has_new_identity else m.node
        yield f"empty {at}", _with(s, at, Member(node))._replace(emptied=s.emptied + 1)

    def _send(self, s: State, at: int) -> State:
        m = s.members[at]
        rest = tuple(o for o in s.sent if o.term != m.term)
        return s._replace(sent=tuple(sorted((*rest, Sent(m.term, m.log, m.commit, m.snapshot)))))


def _with(s: State, at: int, m: Member) -> State:
    return s._replace(members=(*s.members[:at], m, *s.members[at + 1 :]))


def _last(m: Member) -> tuple[int, int]:
    return (m.log[-1][0] if m.log else 0), len(m.log)


def _majority(nodes, voters) -> bool:
    return 2 * sum(v in nodes for v in voters) > len(voters)


def _agreed(one: tuple, other: tuple) -> int:
    """Up to where two logs stand the same."""
    return next((n for n, (a, b) in enumerate(zip(one, other, strict=False)) if a != b), min(len(one), len(other)))


def _committed(before: frozenset, known: set) -> frozenset:
    """Each entry with the first term in which it was known to be committed."""
    first = {(c.index, c.entry): c for c in known}
    for c in before:
        k = c.index, c.entry
        if k not in first or c.known_in < first[k].known_in:
            first[k] = c
    return frozenset(first.values())

"""A model of the controllers' consensus: terms, votes, log and snapshot, voter changes, crashes and wiped disks.

Whatever a leader sent in its term may reach any member at any later time, in any order and any number of times, which
covers loss, delay and duplication. A log only grows within its leader's term, so the model keeps just the longest log
that was sent in each term. Members respond to vote requests and entries only after they have synced them, so that
syncing and responding are one step. A leader sends its own entry before it syncs it, as in the code, and a crash loses
an unsynced entry. Pre-votes are left out: they only prevent elections, so the model covers more elections than the
code allows. Their time-outs are in `proofs`.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

import attrs

from . import properties
from .properties import CommitQuorum, Committed, Elected, Vote

__all__ = ["Consensus"]

NO_VOTE = -1
VOTERS = "voters"


class Member(NamedTuple):
    """A controller. The first `snapshot` entries of its log are compacted and can only be sent as a snapshot."""

    node: int
    term: int = 0
    vote: int = NO_VOTE
    role: str = "follower"
    log: tuple = ()
    synced: int = 0
    commit: int = 0
    snapshot: int = 0


class Sent(NamedTuple):
    """The longest log and highest commit and snapshot index that the leader of a term has sent."""

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
    commit_quorums: tuple[CommitQuorum, ...] = ()
    crashes: int = 0
    wiped: int = 0
    changes: int = 0


@attrs.frozen
class Consensus:
    """The model: its size, and the safeguards of the protocol, which mutation tests disable."""

    members: int = 3
    standbys: int = 0
    terms: int = 2
    entries: int = 2
    crashes: int = 0
    wipes: int = 0
    changes: int = 0
    compacts: bool = False
    atomic_elections: bool = False
    vote_is_durable: bool = True
    voter_compares_logs: bool = True
    follower_compares_previous: bool = True
    follower_keeps_what_matches: bool = True
    leader_counts_own_term_only: bool = True
    leader_counts_own_synced_only: bool = True
    wiped_member_has_new_identity: bool = True
    counts_by_identity: bool = True
    one_change_at_a_time: bool = True
    change_needs_own_term: bool = True
    snapshot_drops_conflicts: bool = True

    def start(self) -> State:
        return State(tuple(Member(n) for n in range(self.members + self.standbys)))

    def violations(self, state: State) -> list[str]:
        return [
            *properties.one_vote_per_term(state.votes),
            *properties.one_leader_per_term(state.elected),
            *properties.committed_entries_agree(state.committed),
            *properties.leaders_are_complete(state.elected, state.committed),
            *properties.only_voters_are_counted(state.commit_quorums),
        ]

    def voters(self, member: Member) -> tuple[int, ...]:
        """Returns the voters of the newest voter change in the member's log, committed or not."""
        for _, content in reversed(member.log):
            if content:
                return content
        return tuple(range(self.members))

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for index, member in enumerate(state.members):
            if member.role != "leader" and self.atomic_elections:
                yield from self._win_election_at_once(state, index, member)
            elif member.role != "leader":
                yield from self._start_election(state, index, member)
            if member.role == "candidate":
                yield from self._ask_votes(state, index, member)
                yield from self._win_election(state, index, member)
            if member.role == "leader":
                yield from self._propose(state, index, member)
                yield from self._sync(state, index, member)
                yield from self._commit(state, index, member)
                yield from self._change_voters(state, index, member)
            yield from self._receive(state, index, member)
            yield from self._compact_log(state, index, member)
            yield from self._crash(state, index, member)
            yield from self._wipe(state, index, member)

    def _start_election(self, state: State, index: int, member: Member):
        if member.term >= self.terms or member.node not in self.voters(member) or (not state.votes and index):
            return
        after = member._replace(term=member.term + 1, vote=member.node, role="candidate")
        yield (
            f"stand {index}",
            _with_member(state, index, after)._replace(
                votes=state.votes | {Vote(member.term + 1, member.node, member.node)}
            ),
        )

    def _win_election_at_once(self, state: State, index: int, member: Member):
        """Runs a whole election with a minimal majority in one step, which saves states for longer runs."""
        term, voters = member.term + 1, self.voters(member)
        if term > self.terms or member.node not in voters or (not state.votes and index):
            return
        electors = [
            n
            for n, v in enumerate(state.members)
            if n != index
            and v.node in voters
            and v.term < term
            and not (self.voter_compares_logs and _last_position(member) < _last_position(v))
        ]
        for others in combinations(electors, len(voters) // 2):
            members = list(state.members)
            for n in others:
                members[n] = members[n]._replace(term=term, vote=member.node, role="follower")
            members[index] = member._replace(term=term, vote=member.node, role="leader")
            votes = {Vote(term, members[n].node, member.node) for n in (index, *others)}
            after = self._with_sent(state._replace(members=tuple(members), votes=state.votes | votes), index)
            yield (
                f"elect {index} by {others}",
                after._replace(elected=(*state.elected, Elected(term, member.node, 0, member.log))),
            )

    def _ask_votes(self, state: State, index: int, member: Member):
        for other, v in enumerate(state.members):
            if other == index or v.node not in self.voters(member) or v.term > member.term:
                continue
            if (
                v.term == member.term
                and v.vote not in (NO_VOTE, member.node)
                or Vote(member.term, v.node, member.node) in state.votes
            ):
                continue
            if self.voter_compares_logs and _last_position(member) < _last_position(v):
                continue
            role = "follower" if member.term > v.term else v.role
            after = v._replace(term=member.term, vote=member.node, role=role)
            yield (
                f"vote {other} for {index}",
                _with_member(state, other, after)._replace(
                    votes=state.votes | {Vote(member.term, v.node, member.node)}
                ),
            )

    def _win_election(self, state: State, index: int, member: Member):
        voters_for = {v.voter for v in state.votes if v.term == member.term and v.candidate == member.node}
        if not _majority(voters_for, self.voters(member)):
            return
        after = _with_member(state, index, member._replace(role="leader"))
        yield (
            f"win {index}",
            self._with_sent(after, index)._replace(
                elected=(*state.elected, Elected(member.term, member.node, 0, member.log))
            ),
        )

    def _propose(self, state: State, index: int, member: Member):
        if len(member.log) < self.entries:
            yield (
                f"propose {index}",
                self._with_sent(
                    _with_member(state, index, member._replace(log=(*member.log, (member.term, ())))), index
                ),
            )

    def _change_voters(self, state: State, index: int, member: Member):
        if state.changes >= self.changes or len(member.log) >= self.entries:
            return
        known = [n for n, (_, content) in enumerate(member.log, 1) if content]
        if self.one_change_at_a_time and known and known[-1] > member.commit:
            return
        if self.change_needs_own_term and not (member.commit and member.log[member.commit - 1][0] == member.term):
            return
        voters = self.voters(member)
        nodes = [o.node for o in state.members if o.node not in voters]
        added = [tuple(sorted((*voters, n))) for n in nodes]
        dropped = [tuple(v for v in voters if v != n) for n in voters if n != member.node and len(voters) > 2]
        for change in (*added, *dropped):
            after = _with_member(state, index, member._replace(log=(*member.log, (member.term, change))))
            yield f"change {index} to {change}", self._with_sent(after, index)._replace(changes=state.changes + 1)

    def _sync(self, state: State, index: int, member: Member):
        if member.synced < len(member.log):
            yield f"sync {index}", _with_member(state, index, member._replace(synced=len(member.log)))

    def _receive(self, state: State, index: int, member: Member):
        for sent in state.sent:
            if sent.term < member.term or (member.role == "leader" and member.term == sent.term):
                continue
            for end in range(len(sent.log) + 1):
                log, snapshot = self._log_after(member, sent, end)
                if log is None:
                    continue
                vote = member.vote if member.term == sent.term else NO_VOTE
                commit = max(member.commit, min(sent.commit, end))
                after = Member(member.node, sent.term, vote, "follower", log, len(log), commit, snapshot)
                matched = self._record_match(state.matched, sent.term, index, member.node, end)
                if after == member and matched == state.matched:
                    continue
                known = {Committed(n, e, sent.term) for n, e in enumerate(log[:commit], 1)}
                yield (
                    f"receive {index} of {sent.term} to {end}",
                    _with_member(state, index, after)._replace(
                        matched=matched, committed=_committed(state.committed, known)
                    ),
                )

    def _log_after(self, member: Member, sent: Sent, end: int) -> tuple[tuple | None, int]:
        """Returns the follower's log and snapshot index after it received the entries up to `end`.

        The log is None if entries before the leader's snapshot index are missing, which can't be sent one by one.
        """
        log, snapshot = member.log, member.snapshot
        base = (
            _common_prefix_length(log, sent.log[:end])
            if self.follower_compares_previous
            else max(0, min(end - 1, len(log)))
        )
        if sent.snapshot and end >= sent.snapshot > len(log):
            kept = () if self.snapshot_drops_conflicts else log
            base = snapshot = sent.snapshot
            log = (*kept, *sent.log[len(kept) : base])
        if base < sent.snapshot and end > base:
            return None, 0
        if self.follower_keeps_what_matches and log[:end] == sent.log[:end]:
            return log, snapshot
        return (*log[:base], *sent.log[base:end]), snapshot

    def _record_match(self, matched: frozenset, term: int, index: int, node: int, end: int) -> frozenset:
        """Records up to which end a follower, by its position and node ID, reported the leader's log as synced."""
        best = max((n for t, _, w, n in matched if (t, w) == (term, node)), default=0)
        return matched - {(term, index, node, best)} | {(term, index, node, end)} if end > best else matched

    def _commit(self, state: State, index: int, member: Member):
        match_indexes = {
            (who if self.counts_by_identity else index): n
            for t, index, who, n in sorted(state.matched)
            if t == member.term
        }
        match_indexes[member.node] = member.synced if self.leader_counts_own_synced_only else len(member.log)
        voters = self.voters(member)
        commit_index = sorted((match_indexes.get(v, 0) for v in voters), reverse=True)[len(voters) // 2]
        if commit_index <= member.commit or (
            self.leader_counts_own_term_only and member.log[commit_index - 1][0] != member.term
        ):
            return
        known = {Committed(n, e, member.term) for n, e in enumerate(member.log[:commit_index], 1)}
        after = self._with_sent(_with_member(state, index, member._replace(commit=commit_index)), index)
        yield (
            f"commit {index} to {commit_index}",
            after._replace(
                committed=_committed(state.committed, known),
                commit_quorums=self._wrong_quorums(state, member, voters, commit_index),
            ),
        )

    def _wrong_quorums(self, state: State, member: Member, voters: tuple, commit_index: int) -> tuple:
        """Returns the commit if no majority of the voters has its entry on disk, which is a violation; else nothing."""
        holders = {who for t, _, who, n in state.matched if t == member.term and n >= commit_index}
        holders |= {member.node} if member.synced >= commit_index else set()
        found = CommitQuorum(commit_index, member.term, voters, frozenset(holders))
        return (found,) if properties.only_voters_are_counted([found]) else ()

    def _compact_log(self, state: State, index: int, member: Member):
        if self.compacts and member.commit > member.snapshot and member.synced >= member.commit:
            after = _with_member(state, index, member._replace(snapshot=member.commit))
            yield f"trim {index}", self._with_sent(after, index) if member.role == "leader" else after

    def _crash(self, state: State, index: int, member: Member):
        if state.crashes >= self.crashes:
            return
        log = member.log[: member.synced]
        term, vote = (member.term, member.vote) if self.vote_is_durable else (member.term, NO_VOTE)
        after = Member(member.node, term, vote, "follower", log, len(log), member.snapshot, member.snapshot)
        if after != member:
            yield f"crash {index}", _with_member(state, index, after)._replace(crashes=state.crashes + 1)

    def _wipe(self, state: State, index: int, member: Member):
        if state.wiped >= self.wipes or member == Member(member.node):
            return
        node = member.node + 10 if self.wiped_member_has_new_identity else member.node
        yield f"empty {index}", _with_member(state, index, Member(node))._replace(wiped=state.wiped + 1)

    def _with_sent(self, state: State, index: int) -> State:
        member = state.members[index]
        rest = tuple(o for o in state.sent if o.term != member.term)
        return state._replace(
            sent=tuple(sorted((*rest, Sent(member.term, member.log, member.commit, member.snapshot))))
        )


def _with_member(state: State, index: int, member: Member) -> State:
    return state._replace(members=(*state.members[:index], member, *state.members[index + 1 :]))


def _last_position(member: Member) -> tuple[int, int]:
    return (member.log[-1][0] if member.log else 0), len(member.log)


def _majority(nodes, voters) -> bool:
    return 2 * sum(v in nodes for v in voters) > len(voters)


def _common_prefix_length(one: tuple, other: tuple) -> int:
    """Returns the number of leading entries that two logs have in common."""
    return next((n for n, (a, b) in enumerate(zip(one, other, strict=False)) if a != b), min(len(one), len(other)))


def _committed(before: frozenset, known: set) -> frozenset:
    """Returns each entry with the first term in which it was known to be committed."""
    first = {(c.index, c.entry): c for c in known}
    for c in before:
        k = c.index, c.entry
        if k not in first or c.known_in_term < first[k].known_in_term:
            first[k] = c
    return frozenset(first.values())

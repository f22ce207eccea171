"""The properties that must hold, checked on records both of the models' states and of runs of the real code.

Each property takes records and returns one message for each violation.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = [
    "Vote",
    "Elected",
    "Committed",
    "CommitQuorum",
    "Applied",
    "Tail",
    "RecoveredTail",
    "Acknowledged",
    "LogReplicas",
    "Change",
    "Admitted",
    "one_vote_per_term",
    "one_leader_per_term",
    "committed_entries_agree",
    "leaders_are_complete",
    "only_voters_are_counted",
    "one_state_per_sequence",
    "one_leaseholder_per_epoch",
    "one_tail_per_epoch",
    "acknowledged_in_later_tails",
    "enough_replicas_keep_acknowledged",
    "reads_agree",
    "no_stale_admission",
]


class Vote(NamedTuple):
    """A vote for a candidate, including the candidate's vote for itself."""

    term: int
    voter: Any
    candidate: Any


class Elected(NamedTuple):
    """A leader when it was elected, with its log entries after index `start` as (term, content)."""

    term: int
    node: Any
    start: int
    entries: tuple


class Committed(NamedTuple):
    """A log entry that a node considered committed while it was in the term `known_in_term`."""

    index: int
    entry: tuple
    known_in_term: int


class CommitQuorum(NamedTuple):
    """A leader's commit: the voters according to its log, and the IDs of all nodes that have the entry on disk."""

    index: int
    term: int
    voters: tuple
    holders: frozenset


class Applied(NamedTuple):
    """A controller's cluster state after it has applied the log up to a sequence."""

    sequence: int
    node: Any
    state: Any


class Tail(NamedTuple):
    """The data of a log that a storage node has synced under a tail epoch."""

    log: Any
    epoch: int
    node: Any
    data: Any


class RecoveredTail(NamedTuple):
    """The tail that a leaseholder recovered and made durable under its epoch."""

    log: Any
    epoch: int
    node: Any
    data: Any


class Acknowledged(NamedTuple):
    """An append that was acknowledged as durable, with the log's data up to its end."""

    log: Any
    epoch: int
    data: Any


class LogReplicas(NamedTuple):
    """The data of all replicas of a log at one time, and how many of them must hold the acknowledged appends."""

    log: Any
    needed: int
    replicas: tuple


class Change(NamedTuple):
    """An acknowledged change of the cluster state."""

    at: float
    sequence: int


class Admitted(NamedTuple):
    """An observation of a gateway that admits work, with the sequence of the cluster state it has applied."""

    at: float
    gateway: Any
    sequence: int


def one_vote_per_term(votes: Iterable[Vote]) -> list[str]:
    candidates: dict[tuple, Any] = {}
    return [
        f"{v.voter} voted for {candidates[v.term, v.voter]} and {v.candidate} in term {v.term}"
        for v in votes
        if candidates.setdefault((v.term, v.voter), v.candidate) != v.candidate
    ]


def one_leader_per_term(elected: Iterable[Elected]) -> list[str]:
    leaders: dict[int, Any] = {}
    return [
        f"{leaders[e.term]} and {e.node} lead term {e.term}"
        for e in elected
        if leaders.setdefault(e.term, e.node) != e.node
    ]


def committed_entries_agree(committed: Iterable[Committed]) -> list[str]:
    entries: dict[int, tuple] = {}
    return [
        f"entry {c.index} was committed as {entries[c.index]} and as {c.entry}"
        for c in committed
        if entries.setdefault(c.index, c.entry) != c.entry
    ]


def leaders_are_complete(elected: Iterable[Elected], committed: Iterable[Committed]) -> list[str]:
    """A leader has all entries that were committed in earlier terms."""
    newest: dict[int, Committed] = {}
    for c in committed:
        if c.index not in newest or c.known_in_term < newest[c.index].known_in_term:
            newest[c.index] = c
    return [
        f"{e.node} leads term {e.term} without entry {c.index} of {c.entry}, committed by term {c.known_in_term}"
        for e in elected
        for c in newest.values()
        if c.known_in_term < e.term
        and c.index > e.start
        and e.entries[c.index - e.start - 1 : c.index - e.start] != (c.entry,)
    ]


def only_voters_are_counted(quorums: Iterable[CommitQuorum]) -> list[str]:
    """A commit needs a majority of the voters by node ID; another node at a voter's address doesn't count."""
    return [
        f"entry {c.index} was committed in term {c.term} with {sorted(map(str, c.holders))} of {c.voters}"
        for c in quorums
        if 2 * sum(v in c.holders for v in c.voters) <= len(c.voters)
    ]


def one_state_per_sequence(applied: Iterable[Applied]) -> list[str]:
    first: dict[int, Applied] = {}
    return [
        f"{first[a.sequence].node} and {a.node} differ in the cluster state at {a.sequence}"
        for a in applied
        if first.setdefault(a.sequence, a).state != a.state
    ]


def one_leaseholder_per_epoch(recovered_tails: Iterable[RecoveredTail]) -> list[str]:
    leaseholders: dict[tuple, Any] = {}
    return [
        f"{leaseholders[s.log, s.epoch]} and {s.node} hold {s.log} under epoch {s.epoch}"
        for s in recovered_tails
        if leaseholders.setdefault((s.log, s.epoch), s.node) != s.node
    ]


def one_tail_per_epoch(tails: Iterable[Tail]) -> list[str]:
    """Of two replicas of a log with the same tail epoch, one is a prefix of the other."""
    longest: dict[tuple, Tail] = {}
    out = []
    for t in tails:
        other = longest.setdefault((t.log, t.epoch), t)
        short, long = (t, other) if len(t.data) <= len(other.data) else (other, t)
        if long.data[: len(short.data)] != short.data:
            out.append(f"{short.node} and {long.node} differ in {t.log} under epoch {t.epoch}")
        longest[t.log, t.epoch] = long
    return out


def acknowledged_in_later_tails(
    acknowledged: Iterable[Acknowledged], recovered_tails: Iterable[RecoveredTail]
) -> list[str]:
    """Each acknowledged append is in every tail recovered under a later epoch, even if that was recovered before.

    So a leaseholder whose epoch has been superseded can't acknowledge anything that its successor did not recover.
    """
    later = list(recovered_tails)
    return [
        f"{s.node} found {s.log} under epoch {s.epoch} without what epoch {a.epoch} acknowledged at {len(a.data)}"
        for a in acknowledged
        for s in later
        if s.log == a.log and s.epoch > a.epoch and s.data[: len(a.data)] != a.data
    ]


def reads_agree(reads: Iterable[Acknowledged]) -> list[str]:
    """Of two reads or acknowledged contents of a log, both from its start, one is a prefix of the other."""
    longest: dict[Any, Acknowledged] = {}
    out = []
    for read in sorted(reads, key=lambda read: len(read.data)):
        shorter = longest.get(read.log)
        if shorter is not None and read.data[: len(shorter.data)] != shorter.data:
            out.append(f"two reads of {read.log} differ below {len(shorter.data)}")
        longest[read.log] = read
    return out


def enough_replicas_keep_acknowledged(
    acknowledged: Iterable[Acknowledged], log_replicas: Iterable[LogReplicas]
) -> list[str]:
    all_log_replicas = list(log_replicas)
    return [
        f"{sum(h[: len(a.data)] == a.data for h in c.replicas)} of {c.needed} replicas of {c.log} have what"
        f" epoch {a.epoch} acknowledged at {len(a.data)}"
        for a in acknowledged
        for c in all_log_replicas
        if c.log == a.log and sum(h[: len(a.data)] == a.data for h in c.replicas) < c.needed
    ]


def no_stale_admission(changes: Iterable[Change], admitted: Iterable[Admitted], bound: float) -> list[str]:
    """A gateway that admits work has every change that was acknowledged longer than `bound` seconds ago."""
    all_changes = list(changes)
    return [
        f"{a.gateway} admits with {a.sequence}, though {c.sequence} was acknowledged {a.at - c.at:.3f} before"
        for a in admitted
        for c in all_changes
        if a.at - c.at > bound and a.sequence < c.sequence
    ]

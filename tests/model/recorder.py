"""Records what simulated runs of the real code do, in the words of the properties."""

import contextlib
from hashlib import blake2b
from unittest import mock

from pipitlink.controller.consensus_state import ConsensusState
from pipitlink.controller.elections import Elections
from pipitlink.controller.log_receiver import LogReceiver
from pipitlink.controller.log_replication import LogReplication
from pipitlink.disk import encode_frame
from pipitlink.replicated_log import Leaseholder
from pipitlink.replicated_log.placement_group import placement_group_of
from pipitlink.storage.log_store import LogStore
from testbed.simulator.simulation import Simulation

from . import properties
from .properties import (
    Acknowledged,
    Admitted,
    Applied,
    Change,
    Committed,
    Copies,
    Counted,
    Elected,
    Settled,
    Tail,
    Vote,
)

__all__ = ["Recorder"]


class Recorder:
    """One simulated run's votes, leaders, commits, tails, leases, acknowledgements and admissions."""

    def __init__(self, simulation: Simulation):
        self.simulation = simulation
        self.votes: list[Vote] = []
        self.elected: list[Elected] = []
        self.committed: dict[tuple, Committed] = {}
        self.counted: list[Counted] = []
        self.applied: dict[tuple, Applied] = {}
        self.tails: list[Tail] = []
        self.settled: list[Settled] = []
        self.acknowledged: list[Acknowledged] = []
        self.changes: list[Change] = []
        self.admitted: list[Admitted] = []
        self._synced: dict[tuple[str, int], int] = {}
        self._held: dict[tuple[str, str], bytes] = {}
        self._moved: dict[int, int] = {}
        self._copies_lost: list[str] = []

    @contextlib.contextmanager
    def recording(self):
        """While this is open, the simulated nodes tell what they do."""
        with contextlib.ExitStack() as stack:
            for owner, name, around in (
                (Elections, "_handle_vote_request", self._around_vote),
                (Elections, "_poll_voters", self._around_poll),
                (ConsensusState, "_become_leader", self._around_lead),
                (LogReceiver, "append", self._around_append),
                (LogReplication, "_advance_commit_index", self._around_advance),
                (ConsensusState, "apply_committed", self._around_apply),
                (Leaseholder, "_recover_tail", self._around_recover_tail),
                (Leaseholder, "append", self._around_log_append),
                (LogStore, "record_synced", self._around_record_synced),
            ):
                stack.enter_context(mock.patch.object(owner, name, around(getattr(owner, name))))
            yield self

    def found(self, bound: float) -> list[str]:
        """What any property finds wrong with the run."""
        committed = list(self.committed.values())
        return [
            *properties.one_vote_a_term(self.votes),
            *properties.one_leader_a_term(self.elected),
            *properties.committed_entries_agree(committed),
            *properties.leaders_are_complete(self.elected, committed),
            *properties.only_voters_are_counted(self.counted),
            *properties.one_state_a_sequence(self.applied.values()),
            *properties.one_leaseholder_an_epoch(self.settled),
            *properties.one_tail_an_epoch(self.tails),
            *properties.acknowledged_in_later_tails(self.acknowledged, self.settled),
            *properties.no_old_state_admits(self.changes, self.admitted, bound),
            *self._copies_lost,
        ]

    def _around_vote(self, plain):
        async def vote(elections, node, ask):
            r = await plain(elections, node, ask)
            if r.granted and not ask.pre_vote:
                self.votes.append(Vote(ask.term, elections._ctx.node, ask.candidate))
            return r

        return vote

    def _around_poll(self, plain):
        def poll(elections, term, *, pre_vote, full_restart):
            if not pre_vote:
                self.votes.append(Vote(term, elections._ctx.node, elections._ctx.node))
            return plain(elections, term, pre_vote=pre_vote, full_restart=full_restart)

        return poll

    def _around_lead(self, plain):
        def lead(consensus):
            durable_log = consensus._durable_log
            entries = tuple(_entry(e) for e in durable_log.entries)
            self.elected.append(Elected(consensus.term, consensus._ctx.node, durable_log.snapshot.index, entries))
            plain(consensus)

        return lead

    def _around_append(self, plain):
        async def append(receiver, node, ask):
            r = await plain(receiver, node, ask)
            if r.success:
                key = receiver._ctx.node, ask.term
                self._synced[key] = max(self._synced.get(key, 0), r.last_index)
            return r

        return append

    def _around_advance(self, plain):
        def advance(replication):
            before = replication._consensus.commit_index
            plain(replication)
            if replication._consensus.commit_index > before:
                self._count(replication)

        return advance

    def _count(self, replication):
        consensus = replication._consensus
        term, index = consensus.term, consensus.commit_index
        holders = {node for (node, synced_in), last in self._synced.items() if synced_in == term and last >= index}
        if replication.synced_index >= index:
            holders.add(replication._ctx.node)
        self.counted.append(Counted(index, term, consensus.voters(), frozenset(holders)))

    def _around_apply(self, plain):
        def apply(consensus):
            for e in consensus._durable_log.entries:
                if consensus.cluster_state.sequence < e.index <= consensus.commit_index:
                    c = Committed(e.index, _entry(e), consensus.term)
                    self.committed.setdefault((c.index, c.entry), c)
            plain(consensus)
            body = consensus.cluster_state.data().SerializeToString(deterministic=True)
            a = Applied(consensus.cluster_state.sequence, consensus._ctx.node, blake2b(body).digest())
            self.applied.setdefault((a.sequence, a.state), a)

        return apply

    def _around_recover_tail(self, plain):
        async def recover_tail(leaseholder, granted):
            await plain(leaseholder, granted)
            found = bytes(leaseholder.data)
            self.settled.append(Settled(leaseholder.log, leaseholder.epoch, leaseholder._ctx.node, found))
            self.acknowledged.append(Acknowledged(leaseholder.log, leaseholder.epoch, found))

        return recover_tail

    def _around_log_append(self, plain):
        async def append(leaseholder, records, *args, **kwargs):
            start = await plain(leaseholder, records, *args, **kwargs)
            end = start + sum(len(encode_frame(r)) for r in records)
            self.acknowledged.append(Acknowledged(leaseholder.log, leaseholder.epoch, bytes(leaseholder.data[:end])))
            return start

        return append

    def _around_record_synced(self, plain):
        def record_synced(store, log, tail_epoch, length, final):
            plain(store, log, tail_epoch, length, final)
            replica = store.logs.get(log)
            if replica is not None and (replica.tail_epoch, replica.length) == (tail_epoch, length):
                tail = Tail(log, tail_epoch, self._owner(store), _synced_bytes(store, log))
                self.tails.append(tail)
                self._held[tail.node, log] = tail.data

        return record_synced

    def _owner(self, store) -> str:
        return next((a.node for a in self.simulation.role("storage") if a.part and a.part.log_store is store), "ended")

    def sample(self):
        """The gateways that admit now, and the copies in each placement group whose move has ended since."""
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway", alive=True):
            if a.ctx.cluster.ready():
                self.admitted.append(Admitted(now, a.node, a.ctx.cluster.cluster_state.table_sequence))
        leader = self.simulation.leader()
        for g in leader.part.consensus.cluster_state.placement_groups.values() if leader else ():
            if not g.joining and self._moved.setdefault(g.number, g.sequence) < g.sequence:
                self._moved[g.number] = g.sequence
                self._look_at_copies(g)

    def _look_at_copies(self, group):
        """A move has ended: a majority of those that keep the logs now has all that was acknowledged before."""
        mine = [
            a for a in self.acknowledged if placement_group_of(a.log, self.simulation.placement_groups) == group.number
        ]
        needed = len(group.storage_nodes) // 2 + 1
        for log in {a.log for a in mine}:
            held = Copies(log, needed, tuple(self._held.get((n, log), b"") for n in group.storage_nodes))
            self._copies_lost += properties.copies_are_kept(mine, [held])


def _synced_bytes(store: LogStore, log: str) -> bytes:
    return store.read_extents(store.extents(log, 0, store.logs[log].synced.length))


def _entry(e) -> tuple[int, bytes]:
    return e.term, e.command.SerializeToString(deterministic=True)

"""Records what the real code does in a simulation, in the form that the properties check."""

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
    CommitQuorum,
    Committed,
    Elected,
    LogReplicas,
    RecoveredTail,
    Tail,
    Vote,
)

__all__ = ["Recorder"]


class Recorder:
    """The votes, leaders, commits, tails, leases, acknowledgements and admissions of one simulated run."""

    def __init__(self, simulation: Simulation):
        self.simulation = simulation
        self.votes: list[Vote] = []
        self.elected: list[Elected] = []
        self.committed: dict[tuple, Committed] = {}
        self.commit_quorums: list[CommitQuorum] = []
        self.applied: dict[tuple, Applied] = {}
        self.tails: list[Tail] = []
        self.recovered_tails: list[RecoveredTail] = []
        self.acknowledged: list[Acknowledged] = []
        self.changes: list[Change] = []
        self.admitted: list[Admitted] = []
        self._synced_indexes: dict[tuple[str, int], int] = {}
        self._replica_data: dict[tuple[str, str], bytes] = {}
        self._group_sequences: dict[int, int] = {}
        self._missing_replicas: list[str] = []

    @contextlib.contextmanager
    def recording(self):
        """Records what the simulated nodes do while the context is open."""
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

    def violations(self, bound: float) -> list[str]:
        """Returns the violations of all properties."""
        committed = list(self.committed.values())
        return [
            *properties.one_vote_per_term(self.votes),
            *properties.one_leader_per_term(self.elected),
            *properties.committed_entries_agree(committed),
            *properties.leaders_are_complete(self.elected, committed),
            *properties.only_voters_are_counted(self.commit_quorums),
            *properties.one_state_per_sequence(self.applied.values()),
            *properties.one_leaseholder_per_epoch(self.recovered_tails),
            *properties.one_tail_per_epoch(self.tails),
            *properties.acknowledged_in_later_tails(self.acknowledged, self.recovered_tails),
            *properties.no_stale_admission(self.changes, self.admitted, bound),
            *self._missing_replicas,
        ]

    def _around_vote(self, original):
        async def vote(elections, node, request):
            r = await original(elections, node, request)
            if r.granted and not request.pre_vote:
                self.votes.append(Vote(request.term, elections._ctx.node, request.candidate))
            return r

        return vote

    def _around_poll(self, original):
        def poll(elections, term, *, pre_vote, full_restart):
            if not pre_vote:
                self.votes.append(Vote(term, elections._ctx.node, elections._ctx.node))
            return original(elections, term, pre_vote=pre_vote, full_restart=full_restart)

        return poll

    def _around_lead(self, original):
        def lead(consensus):
            durable_log = consensus._durable_log
            entries = tuple(_entry(e) for e in durable_log.entries)
            self.elected.append(Elected(consensus.term, consensus._ctx.node, durable_log.snapshot.index, entries))
            original(consensus)

        return lead

    def _around_append(self, original):
        async def append(receiver, node, request):
            r = await original(receiver, node, request)
            if r.success:
                key = receiver._ctx.node, request.term
                self._synced_indexes[key] = max(self._synced_indexes.get(key, 0), r.last_index)
            return r

        return append

    def _around_advance(self, original):
        def advance(replication):
            before = replication._consensus.commit_index
            original(replication)
            if replication._consensus.commit_index > before:
                self._record_quorum(replication)

        return advance

    def _record_quorum(self, replication):
        consensus = replication._consensus
        term, index = consensus.term, consensus.commit_index
        holders = {
            node
            for (node, synced_in_term), last in self._synced_indexes.items()
            if synced_in_term == term and last >= index
        }
        if replication.synced_index >= index:
            holders.add(replication._ctx.node)
        self.commit_quorums.append(CommitQuorum(index, term, consensus.voters(), frozenset(holders)))

    def _around_apply(self, original):
        def apply(consensus):
            for e in consensus._durable_log.entries:
                if consensus.cluster_state.sequence < e.index <= consensus.commit_index:
                    c = Committed(e.index, _entry(e), consensus.term)
                    self.committed.setdefault((c.index, c.entry), c)
            original(consensus)
            body = consensus.cluster_state.data().SerializeToString(deterministic=True)
            a = Applied(consensus.cluster_state.sequence, consensus._ctx.node, blake2b(body).digest())
            self.applied.setdefault((a.sequence, a.state), a)

        return apply

    def _around_recover_tail(self, original):
        async def recover_tail(leaseholder, granted):
            await original(leaseholder, granted)
            tail = bytes(leaseholder.data)
            self.recovered_tails.append(RecoveredTail(leaseholder.log, leaseholder.epoch, leaseholder._ctx.node, tail))
            self.acknowledged.append(Acknowledged(leaseholder.log, leaseholder.epoch, tail))

        return recover_tail

    def _around_log_append(self, original):
        async def append(leaseholder, records, *args, **kwargs):
            start = await original(leaseholder, records, *args, **kwargs)
            end = start + sum(len(encode_frame(r)) for r in records)
            self.acknowledged.append(Acknowledged(leaseholder.log, leaseholder.epoch, bytes(leaseholder.data[:end])))
            return start

        return append

    def _around_record_synced(self, original):
        def record_synced(store, log, tail_epoch, length, final):
            original(store, log, tail_epoch, length, final)
            replica = store.logs.get(log)
            if replica is not None and (replica.tail_epoch, replica.length) == (tail_epoch, length):
                tail = Tail(log, tail_epoch, self._node_of(store), _synced_bytes(store, log))
                self.tails.append(tail)
                self._replica_data[tail.node, log] = tail.data

        return record_synced

    def _node_of(self, store) -> str:
        return next((a.node for a in self.simulation.role("storage") if a.part and a.part.log_store is store), "ended")

    def sample(self):
        """Records which gateways admit work now, and checks placement groups whose move ended since the last sample."""
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway", alive=True):
            if a.ctx.cluster.ready():
                self.admitted.append(Admitted(now, a.node, a.ctx.cluster.cluster_state.table_sequence))
        leader = self.simulation.leader()
        for g in leader.part.consensus.cluster_state.placement_groups.values() if leader else ():
            if not g.joining and self._group_sequences.setdefault(g.number, g.sequence) < g.sequence:
                self._group_sequences[g.number] = g.sequence
                self._check_moved_group(g)

    def _check_moved_group(self, group):
        """Checks that a majority of a moved group's storage nodes has everything that has been acknowledged."""
        acknowledged = [
            a for a in self.acknowledged if placement_group_of(a.log, self.simulation.placement_groups) == group.number
        ]
        needed = len(group.storage_nodes) // 2 + 1
        for log in {a.log for a in acknowledged}:
            replicas = LogReplicas(
                log, needed, tuple(self._replica_data.get((n, log), b"") for n in group.storage_nodes)
            )
            self._missing_replicas += properties.enough_replicas_keep_acknowledged(acknowledged, [replicas])


def _synced_bytes(store: LogStore, log: str) -> bytes:
    return store.read_extents(store.extents(log, 0, store.logs[log].synced.length))


def _entry(e) -> tuple[int, bytes]:
    return e.term, e.command.SerializeToString(deterministic=True)

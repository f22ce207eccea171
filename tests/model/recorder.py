"""Records what staged runs of the real code do, in the words of the properties."""

import contextlib
from hashlib import blake2b
from unittest import mock

from pipitlink.controller import ControllerNode
from pipitlink.controller.leading import Leading
from pipitlink.controller.voting import Voting
from pipitlink.disk import frame
from pipitlink.replicated_log import Leaseholder
from pipitlink.replicated_log.placement_group import placement_group_of
from pipitlink.storage.log_store import LogStore
from rehearsal.stage import Stage

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
    """One staged run's votes, leaders, commits, tails, leases, acknowledgements and admissions."""

    def __init__(self, stage: Stage):
        self.stage = stage
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
        """While this is open, the staged nodes tell what they do."""
        with contextlib.ExitStack() as stack:
            for owner, name, around in (
                (Voting, "_vote_by_name", self._around_vote),
                (Voting, "_poll", self._around_poll),
                (Leading, "_lead", self._around_lead),
                (Leading, "_append", self._around_append),
                (Leading, "_advance", self._around_advance),
                (ControllerNode, "apply", self._around_apply),
                (Leaseholder, "_settle_tail", self._around_settle_tail),
                (Leaseholder, "append", self._around_log_append),
                (LogStore, "settle", self._around_settle),
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
        async def vote(controller, node, ask):
            r = await plain(controller, node, ask)
            if r.granted and not ask.pre:
                self.votes.append(Vote(ask.term, controller._ctx.node, ask.candidate))
            return r

        return vote

    def _around_poll(self, plain):
        def poll(controller, term, pre, fresh=False):
            if not pre:
                self.votes.append(Vote(term, controller._ctx.node, controller._ctx.node))
            return plain(controller, term, pre, fresh)

        return poll

    def _around_lead(self, plain):
        def lead(controller):
            archive = controller.archive
            entries = tuple(_entry(e) for e in archive.entries)
            self.elected.append(Elected(controller.term, controller._ctx.node, archive.snapshot.index, entries))
            plain(controller)

        return lead

    def _around_append(self, plain):
        async def append(controller, node, ask):
            r = await plain(controller, node, ask)
            if r.done:
                key = controller._ctx.node, ask.term
                self._synced[key] = max(self._synced.get(key, 0), r.last)
            return r

        return append

    def _around_advance(self, plain):
        def advance(controller):
            before = controller.commit
            plain(controller)
            if controller.commit > before:
                self._count(controller)

        return advance

    def _count(self, controller):
        term, index = controller.term, controller.commit
        holders = {node for (node, synced_in), last in self._synced.items() if synced_in == term and last >= index}
        if controller._synced >= index:
            holders.add(controller._ctx.node)
        self.counted.append(Counted(index, term, controller.voters(), frozenset(holders)))

    def _around_apply(self, plain):
        def apply(controller):
            for e in controller.archive.entries:
                if controller.cluster_state.sequence < e.index <= controller.commit:
                    c = Committed(e.index, _entry(e), controller.term)
                    self.committed.setdefault((c.index, c.entry), c)
            plain(controller)
            body = controller.cluster_state.data().SerializeToString(deterministic=True)
            a = Applied(controller.cluster_state.sequence, controller._ctx.node, blake2b(body).digest())
            self.applied.setdefault((a.sequence, a.state), a)

        return apply

    def _around_settle_tail(self, plain):
        async def settle_tail(holder, granted):
            await plain(holder, granted)
            found = bytes(holder.data)
            self.settled.append(Settled(holder.log, holder.epoch, holder._ctx.node, found))
            self.acknowledged.append(Acknowledged(holder.log, holder.epoch, found))

        return settle_tail

    def _around_log_append(self, plain):
        async def append(holder, records, *words, **named):
            start = await plain(holder, records, *words, **named)
            end = start + sum(len(frame(r)) for r in records)
            self.acknowledged.append(Acknowledged(holder.log, holder.epoch, bytes(holder.data[:end])))
            return start

        return append

    def _around_settle(self, plain):
        def settle(store, log, tail_epoch, length, final):
            plain(store, log, tail_epoch, length, final)
            kept = store.logs.get(log)
            if kept is not None and (kept.tail_epoch, kept.length) == (tail_epoch, length):
                tail = Tail(log, tail_epoch, self._owner(store), _synced_bytes(store, log))
                self.tails.append(tail)
                self._held[tail.node, log] = tail.data

        return settle

    def _owner(self, store) -> str:
        return next((a.node for a in self.stage.role("storage") if a.part and a.part.log_store is store), "ended")

    def sample(self):
        """The gateways that admit now, and the copies in each placement group whose move has ended since."""
        now = self.stage.clock.seconds()
        for a in self.stage.role("gateway", alive=True):
            if a.ctx.cluster.ready():
                self.admitted.append(Admitted(now, a.node, a.ctx.cluster.cluster_state.table))
        leader = self.stage.leader()
        for g in leader.part.cluster_state.placement_groups.values() if leader else ():
            if not g.joining and self._moved.setdefault(g.number, g.sequence) < g.sequence:
                self._moved[g.number] = g.sequence
                self._look_at_copies(g)

    def _look_at_copies(self, group):
        """A move has ended: a majority of those that keep the logs now has all that was acknowledged before."""
        mine = [a for a in self.acknowledged if placement_group_of(a.log, self.stage.placement_groups) == group.number]
        needed = len(group.storage_nodes) // 2 + 1
        for log in {a.log for a in mine}:
            held = Copies(log, needed, tuple(self._held.get((n, log), b"") for n in group.storage_nodes))
            self._copies_lost += properties.copies_are_kept(mine, [held])


def _synced_bytes(store: LogStore, log: str) -> bytes:
    spans = store.spans(log, 0, store.logs[log].synced[1])
    return b"".join(store.segments.read_bytes(spot, n) for spot, n in spans)


def _entry(e) -> tuple[int, bytes]:
    return e.term, e.command.SerializeToString(deterministic=True)

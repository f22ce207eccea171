"""A model of one replicated log while its placement group replaces a storage node.

It covers leases, epochs, log tails, quorums in the old and the new set of nodes, repairs, readers and wiped disks.
Leases have no duration here: any gateway may request one at any time, since epochs alone must keep the log consistent.
A write and its response are one step. A leaseholder may learn the state of a replica that it wrote at any later time. A
transfer to the joining node is two steps, since the source may change between the list of tails and the read of its
data; so is the recovery of a tail. A repair is one step. A reader collects the states of replicas one by one, at any
times, and then reads from any one replica. A storage node responds only after what it granted or wrote is on its disk.
"""

from collections.abc import Collection, Iterator
from itertools import combinations
from typing import NamedTuple

import attrs

from pipitlink.replicated_log.commit_proof import merge_states
from pipitlink.replicated_log.placement_group import PlacementGroup
from pipitlink.wire.replicated_log_pb2 import LogState

from . import properties
from .properties import Acknowledged, LogReplicas, RecoveredTail, Tail

__all__ = ["Leases"]

LOG = "log"

IDLE = "idle"
REQUESTING = "requesting"
RECOVERING = "recovering"
HELD = "held"


class Replica(NamedTuple):
    """A storage node's replica of the log.

    `epoch` is the highest epoch that the node has seen; `leased_epoch` is the highest for which it granted a lease.
    `tail_epoch` is the epoch under which its data was written.
    """

    sequence: int = 0
    epoch: int = 0
    leased_epoch: int = 0
    tail_epoch: int = 0
    data: tuple = ()
    committed: int = 0
    lost: bool = False

    def reported(self) -> "Reported":
        return Reported(self.tail_epoch, len(self.data), self.committed, self.epoch)


class Reported(NamedTuple):
    """The state of a replica, as reported by its storage node."""

    tail_epoch: int
    length: int
    committed: int
    epoch: int = 0


NOTHING_REPORTED = Reported(0, 0, 0)


class Leaseholder(NamedTuple):
    """A gateway as requester or holder of the lease.

    Its phase is HELD once the tail that it recovered is durable under its own epoch.
    """

    phase: str = IDLE
    sequence: int = 0
    epoch: int = 0
    progress: tuple = ()
    data: tuple = ()
    recovered: Reported = NOTHING_REPORTED
    committed: int = 0
    recovered_length: int = 0

    def known(self, node: int) -> Reported | None:
        return dict(self.progress).get(node)

    def with_progress(self, node: int, reported: Reported) -> "Leaseholder":
        progress = dict(self.progress)
        progress[node] = reported
        return self._replace(progress=tuple(sorted(progress.items())))


class Transfer(NamedTuple):
    """The transfer to the joining node: the source, its state when it was listed, and whether all was copied."""

    source: int = -1
    listed: Reported = NOTHING_REPORTED
    granted_epoch: int = 0
    complete: bool = False


class State(NamedTuple):
    """All replicas and leaseholders, the newest placement, and the history that the properties need."""

    replicas: tuple[Replica, ...]
    leaseholders: tuple[Leaseholder, ...]
    sequence: int = 0
    transfer: Transfer = Transfer()
    recovered: frozenset = frozenset()
    acknowledged: frozenset = frozenset()
    reported_to_reader: tuple = ()
    read: frozenset = frozenset()
    moved: tuple = ()
    wiped: int = 0

    def with_leaseholder(self, index: int, leaseholder: Leaseholder) -> "State":
        return self._replace(leaseholders=_replaced(self.leaseholders, index, leaseholder))

    def with_replica(self, node: int, replica: Replica) -> "State":
        return self._replace(replicas=_replaced(self.replicas, node, replica))

    def with_recovered(self, index: int, leaseholder: Leaseholder) -> "State":
        recovered = RecoveredTail(LOG, leaseholder.epoch, index, leaseholder.data)
        return self._replace(recovered=self.recovered | {recovered})


def _replaced(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


@attrs.frozen
class Leases:
    """The model: its size, and the safeguards of the protocol, which mutation tests disable.

    With `reads`, a reader reads the log, and leaseholders tell replicas how much is committed. With `repairs`, replicas
    copy from each other at any time. With `starts_held`, the first gateway already holds the lease of the empty log,
    with epoch 1, granted by a majority.
    """

    replicas: int = 3
    leaseholders: int = 2
    epochs: int = 2
    appends: int = 2
    moves: bool = False
    starts_held: bool = False
    reads: bool = False
    repairs: bool = False
    wipes: int = 0
    grant_is_durable: bool = True
    write_checks_epoch: bool = True
    write_checks_position: bool = True
    recovers_tail: bool = True
    picks_newest_tail: bool = True
    quorum_in_both_sets: bool = True
    stale_placement_is_rejected: bool = True
    transfers_before_join: bool = True
    transfer_is_fenced: bool = True
    transfer_checks_epoch: bool = True
    recovery_checks_epoch: bool = True
    counts_current_epoch_only: bool = True
    reader_checks_epoch: bool = True
    resets_progress_after_move: bool = True
    wiped_node_has_new_identity: bool = True
    needs_majority: bool = True

    def group(self, sequence: int) -> PlacementGroup:
        """Returns the group before (0), during (1) or after (2) the replacement of its last node by a joining one."""
        joining = str(self.replicas)
        names = tuple(str(n) for n in range(self.replicas))
        if sequence == 0:
            return PlacementGroup(0, sequence, names)
        if sequence == 1 and self.quorum_in_both_sets:
            return PlacementGroup(0, sequence, names, joining, names[-1])
        if sequence == 1:
            return PlacementGroup(0, sequence, names)
        return PlacementGroup(0, sequence, (*names[:-1], joining))

    def start(self) -> State:
        nodes = self.replicas + (1 if self.moves else 0)
        if not self.starts_held:
            return State((Replica(),) * nodes, (Leaseholder(),) * self.leaseholders)
        quorum = self.replicas // 2 + 1
        replicas = (Replica(epoch=1, leased_epoch=1),) * quorum + (Replica(),) * (nodes - quorum)
        first = Leaseholder(HELD, 0, 1)
        state = State(replicas, (first, *(Leaseholder(),) * (self.leaseholders - 1)))
        return state.with_recovered(0, first)

    def violations(self, state: State) -> list[str]:
        tails = [Tail(LOG, r.tail_epoch, n, r.data) for n, r in enumerate(state.replicas) if not r.lost]
        replicas = tuple(r.data for r in state.replicas if not r.lost)
        shown = [Acknowledged(LOG, t.epoch, t.data) for t in state.recovered]
        return [
            *properties.one_leaseholder_per_epoch(state.recovered),
            *properties.one_tail_per_epoch(tails),
            *properties.acknowledged_in_later_tails(state.acknowledged, state.recovered),
            *properties.acknowledged_in_later_tails(shown, state.recovered),
            *properties.acknowledged_in_later_tails(state.read, state.recovered),
            *properties.reads_agree([*state.read, *state.acknowledged]),
            *properties.enough_replicas_keep_acknowledged(
                state.acknowledged, (LogReplicas(LOG, 1, replicas), *state.moved)
            ),
        ]

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for index, leaseholder in enumerate(state.leaseholders):
            yield from self._request(state, index, leaseholder)
            yield from self._grant(state, index, leaseholder)
            yield from self._recover(state, index, leaseholder)
            yield from self._write(state, index, leaseholder)
            yield from self._advance_commit(state, index, leaseholder)
            yield from self._append(state, index, leaseholder)
            yield from self._refresh_placement(state, index, leaseholder)
        for node, replica in enumerate(state.replicas):
            yield from self._follow(state, node, replica)
            yield from self._wipe(state, node, replica)
        if self.moves:
            yield from self._move(state)
        if self.repairs:
            yield from self._repair(state)
        if self.reads:
            yield from self._mark(state)
            yield from self._inform_reader(state)
            yield from self._read(state)

    def _request(self, state: State, index: int, leaseholder: Leaseholder):
        newest = max([r.epoch for r in state.replicas] + [other.epoch for other in state.leaseholders])
        for epoch in range(max(leaseholder.epoch, newest, 1), min(newest + 1, self.epochs) + 1):
            if epoch > leaseholder.epoch and (index == 0 or state.leaseholders[0].epoch):
                after = Leaseholder(REQUESTING, leaseholder.sequence, epoch)
                yield f"ask {index} for {epoch}", state.with_leaseholder(index, after)

    def _grant(self, state: State, index: int, leaseholder: Leaseholder):
        if leaseholder.phase != REQUESTING:
            return
        for node in self._reachable(state, leaseholder):
            replica = state.replicas[node]
            if replica.epoch >= leaseholder.epoch or leaseholder.known(node):
                continue
            epoch = leaseholder.epoch if self.grant_is_durable else replica.epoch
            after = state.with_replica(node, replica._replace(epoch=epoch, leased_epoch=epoch))
            informed = leaseholder.with_progress(node, replica.reported())
            yield f"grant {node} to {index}", after.with_leaseholder(index, informed)

    def _is_representative(self, state: State, node: int) -> bool:
        """Whether no lower node is in the same state; of such interchangeable nodes, only the lowest takes steps."""
        staying = self.replicas - 1 if self.moves else self.replicas
        if node >= staying or state.transfer.source >= 0:
            return True
        return not any(
            state.replicas[other] == state.replicas[node]
            and all(h.known(other) == h.known(node) for h in state.leaseholders)
            for other in range(min(node, staying))
        )

    def _reachable(self, state: State, leaseholder: Leaseholder) -> list[int]:
        """Returns the nodes that accept calls from the leaseholder, given the placement group it knows.

        Nodes that know a newer placement reject them. Of interchangeable nodes, only the lowest is returned.
        """
        return [
            node
            for node in map(int, self.group(leaseholder.sequence).all_nodes)
            if not state.replicas[node].lost
            and self._is_representative(state, node)
            and (state.replicas[node].sequence <= leaseholder.sequence or not self.stale_placement_is_rejected)
        ]

    def _is_quorum(self, leaseholder: Leaseholder, nodes: Collection[int]) -> bool:
        if not self.needs_majority:
            return bool(nodes)
        return self.group(leaseholder.sequence).is_quorum({str(n) for n in nodes})

    def _recover(self, state: State, index: int, leaseholder: Leaseholder):
        progress = dict(leaseholder.progress)
        if leaseholder.phase != REQUESTING or not self._is_quorum(leaseholder, progress):
            return
        source = max(
            progress, key=lambda n: (progress[n].tail_epoch, progress[n].length) if self.picks_newest_tail else n
        )
        data = state.replicas[source].data[: progress[source].length]
        if state.replicas[source].lost or len(data) < progress[source].length:
            return
        if self.recovery_checks_epoch and state.replicas[source].tail_epoch != progress[source].tail_epoch:
            return
        after = leaseholder._replace(
            phase=RECOVERING if data and self.recovers_tail else HELD,
            data=data,
            recovered=progress[source],
            committed=max(reported.committed for reported in progress.values()),
            recovered_length=len(data),
        )
        out = state.with_leaseholder(index, after)
        if after.phase == HELD:
            out = out.with_recovered(index, after)
        yield f"settle {index}", out

    def _write(self, state: State, index: int, leaseholder: Leaseholder):
        """The leaseholder writes to a replica, or learns the state of one that already holds data of its epoch.

        A write assumes the replica's present state. Late and repeated writes assume an earlier one, so that replicas
        reject them; they are modelled only if `write_checks_position` is off.
        """
        if leaseholder.phase not in (RECOVERING, HELD):
            return
        for node in self._reachable(state, leaseholder):
            replica = state.replicas[node]
            reported = replica.reported()
            if replica.tail_epoch == leaseholder.epoch and leaseholder.known(node) != reported:
                informed = leaseholder.with_progress(node, reported)
                yield f"see {node} by {index}", state.with_leaseholder(index, informed)
            if replica.epoch > leaseholder.epoch and self.write_checks_epoch:
                continue
            for start, end in self._ranges(leaseholder, reported):
                is_same = (replica.tail_epoch, replica.data) == (leaseholder.epoch, leaseholder.data[:end])
                if is_same or start < replica.committed:
                    continue
                written = _written(replica, leaseholder, start, end)
                informed = leaseholder.with_progress(node, written.reported())
                after = state.with_replica(node, written).with_leaseholder(index, informed)
                yield f"write {node} by {index}", after

    def _ranges(self, leaseholder: Leaseholder, reported: Reported) -> list[tuple[int, int]]:
        """Returns the start and end of each write that the replica accepts.

        If positions are checked, that is only the write from the first difference to the end of the leaseholder's log.
        """
        start = _first_difference(leaseholder, reported)
        if self.write_checks_position:
            return [(start, len(leaseholder.data))]
        ends = range(start, len(leaseholder.data) + 1)
        return [(first, end) for first in range(start + 1) for end in ends]

    def _advance_commit(self, state: State, index: int, leaseholder: Leaseholder):
        lengths = {
            str(n): r.length
            for n, r in leaseholder.progress
            if r.tail_epoch == leaseholder.epoch and self._counts(r, leaseholder.epoch)
        }
        if leaseholder.phase not in (RECOVERING, HELD) or not self._is_quorum(leaseholder, lengths):
            return
        group = self.group(leaseholder.sequence)
        position = group.quorum_position(lengths) if self.needs_majority else max(lengths.values())
        if leaseholder.phase == RECOVERING and position >= leaseholder.recovered_length:
            after = leaseholder._replace(phase=HELD, committed=max(leaseholder.committed, position))
            yield f"hold {index}", state.with_leaseholder(index, after).with_recovered(index, leaseholder)
        elif leaseholder.phase == HELD and position > leaseholder.committed:
            acknowledged = Acknowledged(LOG, leaseholder.epoch, leaseholder.data[:position])
            after = state.with_leaseholder(index, leaseholder._replace(committed=position))
            yield (
                f"acknowledge {index} at {position}",
                after._replace(acknowledged=state.acknowledged | {acknowledged}),
            )

    def _counts(self, reported: Reported, epoch: int) -> bool:
        """Whether the length of a replica counts towards a quorum under an epoch that is that of its tail."""
        return reported.epoch == epoch or not self.counts_current_epoch_only

    def _mark(self, state: State):
        """A leaseholder tells a replica that it has written how much is committed."""
        for index, leaseholder in enumerate(state.leaseholders):
            for node, replica in enumerate(state.replicas):
                committed = min(leaseholder.committed, len(replica.data))
                if replica.tail_epoch == leaseholder.epoch and not replica.lost and committed > replica.committed:
                    yield f"mark {node} by {index}", state.with_replica(node, replica._replace(committed=committed))

    def _inform_reader(self, state: State):
        known = dict(state.reported_to_reader)
        for node in map(int, self.group(state.sequence).all_nodes):
            replica = state.replicas[node]
            if not replica.lost and replica.tail_epoch and known.get(node) != replica.reported():
                informed = tuple(sorted({**known, node: replica.reported()}.items()))
                yield f"tell {node}", state._replace(reported_to_reader=informed)

    def _read(self, state: State):
        """The reader determines the end of the committed log, and reads it from any one replica that returns it."""
        if not state.reported_to_reader:
            return
        merged = merge_states(
            self.group(state.sequence),
            {str(node): self._log_state(reported) for node, reported in state.reported_to_reader},
        )
        for node, replica in enumerate(state.replicas):
            if merged.committed and not replica.lost and self._returns(replica, merged):
                read = Acknowledged(LOG, merged.committed_epoch, replica.data[: merged.committed])
                if read not in state.read:
                    yield f"read {node}", state._replace(read=state.read | {read})

    def _log_state(self, reported: Reported) -> LogState:
        epoch = reported.epoch if self.counts_current_epoch_only else reported.tail_epoch
        return LogState(
            log=LOG,
            epoch=epoch,
            tail_epoch=reported.tail_epoch,
            length=reported.length,
            committed=reported.committed,
        )

    def _returns(self, replica: Replica, merged: LogState) -> bool:
        """Whether a storage node returns the bytes below the reader's end."""
        if len(replica.data) < merged.committed:
            return False
        is_certain = replica.committed >= merged.committed or replica.tail_epoch >= merged.committed_epoch
        return is_certain or not self.reader_checks_epoch

    def _repair(self, state: State):
        """A replica copies the tail of one that is more up to date."""
        members = [int(node) for node in self.group(state.sequence).all_nodes if int(node) < self.replicas]
        for node in members:
            local = state.replicas[node]
            for other in members:
                source = state.replicas[other]
                if local.lost or source.lost:
                    continue
                if (source.tail_epoch, len(source.data)) <= (local.tail_epoch, len(local.data)):
                    continue
                if local.leased_epoch > source.tail_epoch and self.transfer_is_fenced:
                    continue
                yield f"repair {node} from {other}", state.with_replica(node, _copied(local, source))

    def _append(self, state: State, index: int, leaseholder: Leaseholder):
        logs = [h.data for h in state.leaseholders] + [r.data for r in state.replicas]
        written = {record for data in logs for record in data}
        if leaseholder.phase == HELD and len(written) < self.appends:
            data = (*leaseholder.data, (leaseholder.epoch, index, len(leaseholder.data)))
            yield f"append {index}", state.with_leaseholder(index, leaseholder._replace(data=data))

    def _refresh_placement(self, state: State, index: int, leaseholder: Leaseholder):
        if leaseholder.sequence < state.sequence and leaseholder.phase != REQUESTING:
            everyone = {int(n) for n in self.group(state.sequence).all_nodes}
            known = tuple((n, reported) for n, reported in leaseholder.progress if n in everyone)
            progress = () if self.resets_progress_after_move else known
            after = leaseholder._replace(sequence=state.sequence, progress=progress)
            yield f"look {index} at {state.sequence}", state.with_leaseholder(index, after)

    def _follow(self, state: State, node: int, replica: Replica):
        if replica.sequence < state.sequence and not replica.lost and self._is_representative(state, node):
            yield f"follow {node}", state.with_replica(node, replica._replace(sequence=state.sequence))

    def _wipe(self, state: State, node: int, replica: Replica):
        """A node loses its disk; allowed at most `wipes` times.

        A node without a disk restarts under a new identity, so its replica is lost for good. Without
        `wiped_node_has_new_identity` it returns under its old identity with an empty replica.
        """
        tolerated = state.wiped < self.wipes and node < self.replicas and self._is_representative(state, node)
        if tolerated and not replica.lost and replica != Replica(sequence=replica.sequence):
            wiped = Replica(lost=True) if self.wiped_node_has_new_identity else Replica(sequence=replica.sequence)
            yield f"empty {node}", state.with_replica(node, wiped)._replace(wiped=state.wiped + 1)

    def _move(self, state: State):
        if state.sequence == 0:
            yield "move", state._replace(sequence=1)
        if state.sequence == 1 and state.replicas[self.replicas].sequence == 1 and not state.transfer.complete:
            yield from self._list(state)
            yield from self._copy(state)
        if state.sequence == 1 and (state.transfer.complete or not self.transfers_before_join):
            members = [state.replicas[int(n)] for n in self.group(2).storage_nodes]
            lost = sum(r.lost for r in members)
            moved = LogReplicas(LOG, self.replicas // 2 + 1 - lost, tuple(r.data for r in members))
            violations = properties.enough_replicas_keep_acknowledged(state.acknowledged, [moved])
            yield "end", state._replace(sequence=2, moved=(moved,) if violations else ())

    def _list(self, state: State):
        """The joining node picks the newest tail of a majority of the old nodes; those must know of the move."""
        if state.transfer.source >= 0:
            return
        informed = [n for n in range(self.replicas) if state.replicas[n].sequence >= 1 and not state.replicas[n].lost]
        for nodes in _majorities(informed, self.replicas):
            source = max(nodes, key=lambda n: (state.replicas[n].tail_epoch, len(state.replicas[n].data)))
            granted_epoch = max(state.replicas[n].epoch for n in nodes)
            transfer = Transfer(source, state.replicas[source].reported(), granted_epoch)
            yield f"list {nodes}", state._replace(transfer=transfer)

    def _copy(self, state: State):
        transfer, local = state.transfer, state.replicas[self.replicas]
        if transfer.source < 0:
            return
        source, listed = state.replicas[transfer.source], transfer.listed
        if (listed.tail_epoch, listed.length) > (local.tail_epoch, len(local.data)):
            is_same_epoch = local.tail_epoch == listed.tail_epoch
            start = len(local.data) if is_same_epoch else min(local.committed, listed.length)
            data = (*local.data[:start], *source.data[start : listed.length])
            is_fenced = local.leased_epoch > listed.tail_epoch and self.transfer_is_fenced
            is_overwritten = source.tail_epoch != listed.tail_epoch and self.transfer_checks_epoch
            if source.lost or len(data) < listed.length or is_fenced or is_overwritten:
                yield "list_again", state._replace(transfer=Transfer())
                return
            committed = min(listed.committed, len(data))
            local = local._replace(tail_epoch=listed.tail_epoch, data=data, committed=committed)
        local = local._replace(epoch=max(local.epoch, transfer.granted_epoch, local.tail_epoch))
        yield "copy", state.with_replica(self.replicas, local)._replace(transfer=Transfer(complete=True))


def _first_difference(leaseholder: Leaseholder, reported: Reported) -> int:
    if reported.tail_epoch == leaseholder.epoch:
        return reported.length
    if reported.tail_epoch == leaseholder.recovered.tail_epoch:
        return min(reported.length, leaseholder.recovered.length)
    return min(reported.committed, reported.length)


def _written(replica: Replica, leaseholder: Leaseholder, start: int, end: int) -> Replica:
    data = (*replica.data[:start], *leaseholder.data[start:end])
    return replica._replace(
        epoch=max(replica.epoch, leaseholder.epoch),
        tail_epoch=leaseholder.epoch,
        data=data,
        committed=min(max(replica.committed, leaseholder.committed), len(data)),
    )


def _copied(local: Replica, source: Replica) -> Replica:
    start = len(local.data) if local.tail_epoch == source.tail_epoch else min(local.committed, len(source.data))
    return local._replace(
        epoch=max(local.epoch, source.tail_epoch),
        tail_epoch=source.tail_epoch,
        data=(*local.data[:start], *source.data[start:]),
        committed=max(local.committed, source.committed),
    )


def _majorities(nodes: list[int], replicas: int) -> Iterator[tuple[int, ...]]:
    return combinations(nodes, replicas // 2 + 1)

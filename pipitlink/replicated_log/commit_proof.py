"""What the states of a log's replicas prove: which bytes of the log are committed, and whether it has ended.

A replica may have bytes that were never committed: the tail of a writer that lost its lease before a quorum had it. A
later leaseholder may have committed other bytes at the same positions. So what one replica has, and how long it is,
proves nothing by itself. `docs/control.md`, section 6, has the rule and its proof.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..wire.replicated_log_pb2 import LogState
from .placement_group import PlacementGroup

__all__ = ["CommittedEnd", "counted_lengths", "merge_states"]


@attrs.frozen
class CommittedEnd:
    """The end of the committed bytes of a log, in bytes, and an epoch under which they are known to be committed.

    Every replica that was last written under `epoch` or a later one has these bytes, as far as it is long enough.
    `epoch` is 0 if no such epoch is known.
    """

    length: int = 0
    epoch: int = 0

    def merge(self, other: CommittedEnd) -> CommittedEnd:
        """Returns the later of two ends of one log; of equal ones that with the lower epoch, which more replicas have.

        An epoch that is not known counts as the highest.
        """
        if self.length != other.length:
            return max(self, other, key=lambda end: end.length)
        return min(self, other, key=lambda end: (not end.epoch, end.epoch))


def counted_lengths(states: Mapping[str, LogState], epoch: int) -> dict[str, int]:
    """Returns the lengths, by storage node, that count towards a quorum under an epoch.

    A replica counts only while it knows of no later epoch. One that does may have copied its tail after the later
    leaseholder had recovered the log without that tail.
    """
    return {node: state.length for node, state in states.items() if state.tail_epoch == state.epoch == epoch}


def merge_states(placement_group: PlacementGroup, states: Mapping[str, LogState]) -> LogState:
    """Merges the states of a log's replicas, given by storage node, into the state of its committed part.

    A length counts as committed if a replica reports it as committed, or if a quorum has it under one tail epoch.
    `committed_epoch` is the epoch of the `CommittedEnd`.
    """
    merged = LogState(log=next(iter(states.values())).log)
    end = _committed_end(placement_group, states)
    merged.committed = merged.length = end.length
    merged.committed_epoch = end.epoch
    merged.epoch = max(state.epoch for state in states.values())
    merged.tail_epoch = max(state.tail_epoch for state in states.values())
    merged.final = _is_final(placement_group, states)
    for state in states.values():
        if state.leaseholder and state.lease_ms >= merged.lease_ms:
            merged.leaseholder = state.leaseholder
            merged.lease_ms = state.lease_ms
    return merged


def _committed_end(placement_group: PlacementGroup, states: Mapping[str, LogState]) -> CommittedEnd:
    end = CommittedEnd()
    for state in states.values():
        end = end.merge(CommittedEnd(state.committed, state.tail_epoch))
    for epoch in {state.tail_epoch for state in states.values()}:
        lengths = counted_lengths(states, epoch)
        if placement_group.is_quorum(lengths):
            end = end.merge(CommittedEnd(placement_group.quorum_position(lengths), epoch))
    return end


def _is_final(placement_group: PlacementGroup, states: Mapping[str, LogState]) -> bool:
    """Returns whether the log is known to have ended.

    Its last record is committed if a replica that ends with it reports all its bytes as committed, or if a quorum ends
    with it under one tail epoch. Replicas whose bytes were deleted after the retention time count as well.
    """
    ended = {node: state for node, state in states.items() if state.final}
    if any(0 < state.length <= state.committed for state in ended.values()):
        return True
    return any(
        placement_group.is_quorum(counted_lengths(ended, epoch))
        for epoch in {state.tail_epoch for state in ended.values()}
    )

"""Copies the logs of a placement group from peers to this storage node."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta
from functools import partial

import attrs
from twisted.internet import defer

from ..context import Context
from ..errors import NoQuorum, ReplicatedLogError, StaleEpoch, WireError
from ..group_commit import GroupCommit
from ..replicated_log.commit_proof import merge_states
from ..replicated_log.placement_group import PlacementGroup, majority
from ..replicated_log.replica_progress import TailPosition
from ..timers import secs, spawn
from ..wire.replicated_log_pb2 import Entry, ListRequest, LogState, StatesResponse
from .durable import sync
from .log_store import LogStore
from .replica import Tail

__all__ = ["ReplicaTransfer"]

LIST_TIMEOUT: timedelta = secs(1)
MAX_BYTES_PER_SECOND = 16 * 1024 * 1024
CONCURRENT_TRANSFERS = 8


@attrs.frozen
class _PeerReplica:
    """The most up-to-date replica of a log among the peers."""

    state: LogState
    storage_node: str


@attrs.define
class _PeerReplicas:
    """The most up-to-date replicas and the granted epochs among the peers, for the logs of one placement group."""

    best: dict[str, _PeerReplica] = attrs.field(factory=dict)
    granted_epochs: dict[str, int] = attrs.field(factory=dict)

    def add(self, storage_node: str, state: LogState) -> None:
        """Adds the state of one replica."""
        log = state.log
        self.granted_epochs[log] = max(self.granted_epochs.get(log, 0), state.epoch)
        if log not in self.best or TailPosition.of(state) > TailPosition.of(self.best[log].state):
            self.best[log] = _PeerReplica(state, storage_node)


class ReplicaTransfer:
    """Makes the replicas of this storage node as up to date as those of a majority of its peers."""

    def __init__(self, ctx: Context, log_store: LogStore, group_commit: GroupCommit) -> None:
        self._ctx = ctx
        self._log_store = log_store
        self._group_commit = group_commit

    async def transfer_placement_group(self, placement_group: PlacementGroup, joining: bool) -> bool:
        """Returns True once the local replicas are as up to date as those of a majority at this placement.

        If `joining`, the node also copies the granted epochs.
        """
        peers = await self._list_peer_replicas(placement_group)
        if peers is None:
            return False
        granted_epochs = peers.granted_epochs if joining else {}
        outdated = iter(
            [
                peer
                for log, peer in peers.best.items()
                if self._is_outdated(peer.state) or granted_epochs.get(log, 0) > self._log_store.state(log).epoch
            ]
        )
        workers: list[defer.Deferred[object]] = [
            spawn(self._transfer_logs(outdated, granted_epochs)) for _ in range(CONCURRENT_TRANSFERS)
        ]
        return all(await defer.gatherResults(workers, consumeErrors=True))

    async def _list_peer_replicas(self, placement_group: PlacementGroup) -> _PeerReplicas | None:
        """Returns the peers' replicas at this placement, or None if these peers and this node are no majority."""
        has_majority = partial(self._has_majority, placement_group)
        responses: dict[str, StatesResponse] = await self._ctx.replicated_log.call_each(
            [node for node in placement_group.all_nodes if node != self._ctx.node],
            "replicated_log.list",
            ListRequest(placement_group=placement_group.number, by_placement_group=True),
            StatesResponse,
            LIST_TIMEOUT,
            enough=has_majority,
        )
        if not has_majority(responses):
            return None
        current = _at_placement(responses, placement_group.sequence)
        self._learn_commit_positions(placement_group, current)
        peers = _PeerReplicas()
        for storage_node, response in current.items():
            for state in response.states:
                peers.add(storage_node, state)
        return peers

    def _learn_commit_positions(self, placement_group: PlacementGroup, responses: Mapping[str, StatesResponse]) -> None:
        """Records what the peers' replicas and the local ones together show to be committed.

        A storage node that starts has forgotten the last commit positions that leaseholders sent to it.
        """
        states: dict[str, dict[str, LogState]] = {}
        for storage_node, response in responses.items():
            for state in response.states:
                if self._log_store.has_bytes_beyond_commit(state.log):
                    states.setdefault(state.log, {})[storage_node] = state
        for log, by_node in states.items():
            local = self._log_store.state(log)
            merged = merge_states(placement_group, {**by_node, self._ctx.node: local})
            if 0 < merged.committed_epoch <= local.tail_epoch:
                self._log_store.commit(log, local.tail_epoch, merged.committed)

    def _has_majority(self, placement_group: PlacementGroup, responses: Mapping[str, StatesResponse]) -> bool:
        """Returns whether this node and the peers that responded at this placement are a majority."""
        current = _at_placement(responses, placement_group.sequence)
        return majority([*current, self._ctx.node], placement_group.storage_nodes)

    def _is_outdated(self, peer: LogState) -> bool:
        """Returns whether the local replica is behind a peer's; one that has expired locally is not."""
        local = self._log_store.state(peer.log)
        if TailPosition.of(peer) <= TailPosition.of(local):
            return False
        return not (_is_expired(local) and local.tail_epoch >= peer.tail_epoch)

    async def _transfer_logs(self, outdated: Iterator[_PeerReplica], granted_epochs: Mapping[str, int]) -> bool:
        """Transfers logs from an iterator shared by several workers; returns whether all of them succeeded."""
        succeeded = True
        for peer in outdated:
            log = peer.state.log
            try:
                if self._is_outdated(peer.state):
                    await self._transfer_log(peer)
                epoch = granted_epochs.get(log, 0)
                if epoch > self._log_store.state(log).epoch:
                    await sync(self._group_commit, partial(self._log_store.grant_epoch, log, epoch, leased=False))
            except (ReplicatedLogError, WireError) as error:
                self._ctx.logger.debug("replica_transfer_failed", log=log, text=error)
                succeeded = False
        return succeeded

    async def _transfer_log(self, peer: _PeerReplica) -> None:
        """Makes the local replica identical to a peer's, including its uncommitted tail, with one entry."""
        log, state = peer.state.log, peer.state
        local = self._log_store.state(log)
        start = local.length if local.tail_epoch == state.tail_epoch else min(local.committed, state.length)
        data = await self._ctx.replicated_log.read_from(
            peer.storage_node, log, start, state.length - start, state.tail_epoch
        )
        if len(data) != state.length - start:
            raise NoQuorum(f"{log}: storage node {peer.storage_node} returned only {len(data)} bytes")
        expected = Tail(local.tail_epoch, local.length)
        if not await sync(
            self._group_commit, partial(self._log_store.install, _entry_of(state, start, data), expected)
        ):
            raise StaleEpoch(f"{log}: the local replica changed during the transfer")
        self._log_store.record_synced(log, state.tail_epoch, state.length, state.final)
        self._ctx.logger.info("replica_transferred", log=log, bytes=len(data), source=peer.storage_node)
        await self._ctx.timers.sleep(secs(len(data) * CONCURRENT_TRANSFERS / MAX_BYTES_PER_SECOND))


def _at_placement(responses: Mapping[str, StatesResponse], sequence: int) -> dict[str, StatesResponse]:
    return {node: response for node, response in responses.items() if response.placement_group_sequence >= sequence}


def _is_expired(state: LogState) -> bool:
    return state.final and not state.length


def _entry_of(state: LogState, start: int, data: bytes) -> Entry:
    return Entry(
        kind=Entry.WRITE,
        log=state.log,
        epoch=state.tail_epoch,
        position=start,
        data=data,
        final=state.final,
        committed=min(state.committed, state.length),
        closed_ms=state.closed_ms,
    )

"""Receives entries and snapshots from the leader."""

from __future__ import annotations

from twisted.internet import defer

from ..context import Context
from ..timers import ms
from ..wire.controller_pb2 import AppendRequest, AppendResponse
from .consensus_state import ConsensusState
from .durable_log import DurableLog, ignore_failure
from .leader_contact import LeaderContact
from .snapshot_transfer import SnapshotManager

__all__ = ["LogReceiver"]


class LogReceiver:
    """Handles the leader's append requests. Entries are synced before they are acknowledged."""

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusState,
        durable_log: DurableLog,
        contact: LeaderContact,
        snapshots: SnapshotManager,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._durable_log = durable_log
        self._contact = contact
        self._snapshots = snapshots

    def open(self) -> None:
        """Registers the RPC handler."""
        self._ctx.rpc.register_handler("controller.append", AppendRequest, self.append)

    async def append(self, _node: str, request: AppendRequest) -> AppendResponse:
        """Follows the sender unless its term is outdated, and stores its entries or its snapshot chunk."""
        if request.term < self._consensus.term:
            return AppendResponse(term=self._consensus.term)
        await self._consensus.observe_term(request.term)
        if self._consensus.is_candidate:
            self._consensus.step_down()
        if self._consensus.term != request.term or self._consensus.is_leader:
            return AppendResponse(term=self._consensus.term)
        self._contact.record_leader_message(ms(request.last_response_age_ms))
        self._consensus.leader_id = request.leader
        if request.HasField("chunk") and self._snapshots.is_needed(request.chunk):
            received_bytes = self._snapshots.receive_chunk(request)
            return AppendResponse(term=self._consensus.term, received_bytes=received_bytes)
        if self._consensus.is_newcomer or not self._matches(request):
            last_index = min(self._durable_log.last_index(), max(0, request.prev_index - 1))
            return AppendResponse(term=self._consensus.term, last_index=last_index)
        await self._write_entries(request)
        if self._consensus.term != request.term:
            return AppendResponse(term=self._consensus.term)
        return self._commit(request)

    def _matches(self, request: AppendRequest) -> bool:
        """Whether the local log has the entry that precedes the request's entries."""
        return self._durable_log.term_at(request.prev_index) == request.prev_term

    def _write_entries(self, request: AppendRequest) -> defer.Deferred[None]:
        """Writes the entries that are not in the local log; fires once they and all earlier writes are synced."""
        for entry in request.entries:
            known = self._durable_log.term_at(entry.index) == entry.term
            if not known and entry.index > self._durable_log.snapshot.index:
                self._durable_log.append(entry).addErrback(ignore_failure)
        return self._durable_log.all_synced()

    def _commit(self, request: AppendRequest) -> AppendResponse:
        last_index = request.prev_index + len(request.entries)
        commit_index = min(request.commit_index, last_index)
        if commit_index > self._consensus.commit_index:
            self._consensus.commit(commit_index)
        return AppendResponse(term=self._consensus.term, success=True, last_index=last_index)

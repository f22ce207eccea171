"""The storage node: creates its components and handles reads."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..context import Context
from ..disk import Disk
from ..group_commit import GroupCommit
from ..node_interfaces import Metrics
from ..replicated_log.placement_group import placement_group_of
from ..wire.replicated_log_pb2 import ListRequest, ReadRequest, ReadResponse, StatesRequest, StatesResponse
from .lease_grants import LeaseGrants
from .log_store import LogStore
from .placement_check import PlacementCheck
from .replica_repair import ReplicaRepair
from .replica_transfer import ReplicaTransfer
from .retention import Retention
from .write_handler import WriteHandler

__all__ = ["StorageNode"]

MAX_READ_BYTES = 8 * 1024 * 1024
MAX_STATES = 4096
MIN_RESERVE_BYTES = 1024 * 1024
RESERVE_DIVISOR = 10
"""The reserve is the budget divided by this, or MIN_RESERVE_BYTES if that is more."""


class StorageNode:
    """A storage node, which keeps replicas of logs and grants leases on them.

    All components use one log store through one group commit, so that their writes share syncs.
    """

    def __init__(self, ctx: Context, disk: Disk | None = None) -> None:
        self._ctx = ctx
        budget = ctx.settings.budget_mb * 1024 * 1024
        reserve = max(budget // RESERVE_DIVISOR, MIN_RESERVE_BYTES)
        self.log_store = LogStore(Path(ctx.settings.data) / "logs", disk or Disk(), budget, reserve)
        group_commit = GroupCommit(ctx, self.log_store.segments, self.log_store.recover)
        placement_check = PlacementCheck(ctx)
        self._lease_grants = LeaseGrants(ctx, self.log_store, group_commit, placement_check)
        transfer = ReplicaTransfer(ctx, self.log_store, group_commit)
        self._replica_repair = ReplicaRepair(ctx, self._lease_grants, transfer)
        self._retention = Retention(ctx, self.log_store, group_commit)
        self._write_handler = WriteHandler(ctx, self.log_store, group_commit, self._lease_grants, placement_check)
        self._refused_reads = 0

    def open(self) -> None:
        """Recovers the log store, starts the periodic tasks and registers the RPC handlers. Raises CorruptData."""
        self.log_store.recover()
        self._ctx.logger.info("logs_recovered", logs=len(self.log_store.logs), used=self.log_store.used_bytes())
        self._lease_grants.open()
        self._replica_repair.open()
        self._retention.open()
        self._write_handler.open()
        self._ctx.rpc.register_handler("replicated_log.read", ReadRequest, self._read)
        self._ctx.rpc.register_handler("replicated_log.states", StatesRequest, self._read_states)
        self._ctx.rpc.register_handler("replicated_log.list", ListRequest, self._list)

    async def _read(self, peer: str, request: ReadRequest) -> ReadResponse:
        """Returns bytes of one replica, and only those that the reader may take for bytes of the log.

        These are all of them while the last writer has the epoch for which the reader asks, or else what is certain to
        be committed.
        """
        if request.tail_epoch and not self.log_store.is_written_under(request.log, request.tail_epoch):
            return ReadResponse()
        length = min(request.length, MAX_READ_BYTES)
        if not request.tail_epoch:
            committed = self.log_store.committed_length(request.log, request.committed_epoch)
            if committed < request.position + length:
                self._record_refusal(peer, request, committed)
            length = max(0, min(length, committed - request.position))
        extents = self.log_store.extents(request.log, request.position, length)
        return ReadResponse(data=await self._ctx.run_in_thread(self.log_store.read_extents, extents))

    def _record_refusal(self, peer: str, request: ReadRequest, committed: int) -> None:
        """Counts and logs a read beyond `committed`, if the bytes are on disk, but may not be those of the log."""
        state = self.log_store.state(request.log)
        end = min(request.position + request.length, state.length)
        if max(request.position, committed) >= end:
            return
        self._refused_reads += 1
        self._ctx.logger.info(
            "read_refused",
            log=request.log,
            reader=peer,
            position=request.position,
            end=end,
            committed=committed,
            tail_epoch=state.tail_epoch,
            committed_epoch=request.committed_epoch,
        )

    async def _read_states(self, _peer: str, request: StatesRequest) -> StatesResponse:
        return StatesResponse(states=[self._lease_grants.log_state(log) for log in request.logs[:MAX_STATES]])

    async def _list(self, _peer: str, request: ListRequest) -> StatesResponse:
        logs = sorted(
            log
            for log, replica in self.log_store.logs.items()
            if log.startswith(request.prefix) and (not request.open_only or replica.is_open())
        )
        if not request.by_placement_group:
            return StatesResponse(states=[self._lease_grants.log_state(log) for log in logs])
        cluster = self._ctx.cluster
        number = request.placement_group
        logs = [log for log in logs if placement_group_of(log, cluster.placement_groups) == number]
        return StatesResponse(
            states=[self._lease_grants.log_state(log) for log in logs],
            placement_group_sequence=cluster.placement_group(number).sequence,
        )

    def readiness(self) -> tuple[bool, dict[str, Any]]:
        """Returns True and the usage of the data folder in bytes: a storage node is ready once it is open."""
        return True, {
            "used": self.log_store.used_bytes(),
            "room": self.log_store.free_bytes(),
            "budget": self.log_store.budget,
            "logs": len(self.log_store.logs),
        }

    def reported_state(self) -> dict[str, Any]:
        """Returns the state of each log and the valid leases, for operator requests."""
        states = [self._lease_grants.log_state(log) for log in sorted(self.log_store.logs)]
        placement_groups = self._ctx.cluster.placement_groups
        return {
            "logs": {
                f"{placement_group_of(state.log, placement_groups)}/{state.log}": (
                    f"epoch={state.tail_epoch} length={state.length} final={state.final}"
                )
                for state in states
            },
            "leases": {state.log: f"{state.leaseholder}@{state.epoch}" for state in states if state.leaseholder},
        }

    def metrics(self) -> Metrics:
        """Returns the help text and value of each metric by name."""
        return {
            "disk_used_bytes": ("Bytes of the data folder in use", self.log_store.used_bytes()),
            "disk_room_bytes": ("Bytes before the reserve is touched", self.log_store.free_bytes()),
            "logs": ("Logs kept", len(self.log_store.logs)),
            "refused_reads": ("Reads of bytes on disk that may not be committed", self._refused_reads),
        }

    async def shut_down(self) -> None:
        """Leaves the membership. The files stay open for requests in progress until the process ends."""
        await self._ctx.membership.leave()

    def close(self) -> None:
        """Closes the files."""
        self.log_store.close()

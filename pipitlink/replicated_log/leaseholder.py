"""The writer of a replicated log: lease, epoch, append, commit."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from twisted.python.failure import Failure

from ..context import Context
from ..disk import encode_frame
from ..errors import LeaseNotHeld, NoQuorum, StaleEpoch, StorageFull
from ..timers import ms, spawn, wall_ms
from ..wire.frame_pb2 import Empty
from ..wire.replicated_log_pb2 import CommitRequest, LeaseRequest, LeaseResponse
from .commit_waiters import CommitWaiters
from .fetch_planner import FetchPlanner
from .lease_refusal import LeaseRefusal
from .lease_validity import LeaseValidity
from .replica_progress import ReplicaProgress, TailPosition
from .replica_sender import WRITE_TIMEOUT, ReplicaSender
from .storage_client import StorageClient

__all__ = ["Leaseholder"]

COMMIT_TIMEOUT: timedelta = WRITE_TIMEOUT * 2
MAX_LEASE_ATTEMPTS = 4
MAX_RECORD_OVERHEAD_BYTES = 64

LeaseholderCallback = Callable[["Leaseholder"], None]


class Leaseholder:
    """The only writer of a log while its lease is valid.

    It recovers the existing tail, then appends to all replicas. `lost` is the reason why the lease was lost, or empty
    while it is held. `data` is the content of the log, and `committed` the length of its committed part.
    """

    def __init__(self, ctx: Context, client: StorageClient, log: str, on_lost: LeaseholderCallback) -> None:
        self._ctx = ctx
        self._client = client
        self._on_lost = on_lost
        self.log = log
        self.epoch = 0
        self.placement_group = client.placement_group(log)
        self.data = bytearray()
        self.committed = 0
        self.final = False
        self.closed_ms = 0
        self.lost = ""
        self.uses_reserve = False
        self.granted_epochs: dict[str, int] = {}
        self._opened_at = ctx.timers.now()
        self.progress = ReplicaProgress()
        self.fetch_planner = FetchPlanner(ctx.timers, self.progress, ctx.membership.zone_of)
        self.recovered_tail = TailPosition()
        self._validity = LeaseValidity(ctx.timers)
        self._senders: dict[str, ReplicaSender] = {}
        self._waiters = CommitWaiters()
        self._free_bytes: dict[str, int] = {}
        self._full_nodes: set[str] = set()
        self._watchers: list[LeaseholderCallback] = []

    @property
    def has_waiters(self) -> bool:
        """Whether an append is waiting for its commit."""
        return bool(self._waiters)

    def age(self) -> timedelta:
        """Returns for how long the log has existed, at least.

        It counts from the first lease that any storage node of the quorum knows of, by the monotonic clocks of these
        nodes and then of this one. Nodes that have restarted since know of later leases only.
        """
        return self._ctx.timers.now() - self._opened_at

    def is_held(self) -> bool:
        """Returns whether the lease is valid by the local clock; it ends earlier here than on the storage nodes."""
        return not self.lost and self._validity.is_valid(self.placement_group)

    def check_validity(self) -> None:
        """Updates the placement group, and ends the lease if it has expired."""
        self.refresh_placement()
        if not self.lost and not self._validity.is_valid(self.placement_group):
            self.invalidate("lease expired")

    def refresh_placement(self) -> None:
        """Updates the log's placement group if it has changed in the cluster state.

        This discards the progress that storage nodes reported before the change. A later leaseholder may have been
        granted the lease by a majority of the old set that a joining node does not know of. Since old reports do not
        count, this leaseholder must reach a quorum again, and that majority refuses it.
        """
        placement_group = self._client.placement_group(self.log)
        if placement_group.sequence <= self.placement_group.sequence:
            return
        self._validity.record_group_change(self.placement_group)
        self.placement_group = placement_group
        self.progress.clear()
        if self.data and not self.lost:
            self._replicate()

    def record_renewal(self, storage_node: str, requested_at: timedelta, free_bytes: int) -> None:
        """Records that a storage node granted or renewed the lease on a request sent at `requested_at`."""
        self._free_bytes[storage_node] = free_bytes
        self._validity.record_renewal(storage_node, requested_at)

    def invalidate(self, reason: str) -> None:
        """Ends the lease: waiting appends fail with LeaseNotHeld, and the watchers are called."""
        if self.lost:
            return
        self.lost = reason
        self._on_lost(self)
        self._ctx.logger.info("lease_lost", log=self.log, epoch=self.epoch, reason=reason)
        self._waiters.fail_all(lambda: LeaseNotHeld(f"{self.log}: {reason}"))
        self._call_watchers()

    def watch(self, callback: LeaseholderCallback) -> None:
        """Registers a callback to be called with this leaseholder after each commit and when the lease is lost."""
        self._watchers.append(callback)

    def _call_watchers(self) -> None:
        for callback in self._watchers:
            callback(self)

    async def acquire(self, lost_leaseholder: str | None = None) -> None:
        """Acquires the lease under a new epoch and recovers the tail.

        Does not wait for the lease of `lost_leaseholder` to expire; an empty string means that no node is known to hold
        the log. Raises LeaseNotHeld if another node holds the lease or may hold it, and NoQuorum.
        """
        epoch = 1
        for _ in range(MAX_LEASE_ATTEMPTS):
            requested_at = self._ctx.timers.now()
            responses = await self._request_lease(epoch, lost_leaseholder)
            granted = [node for node, response in responses.items() if response.granted]
            self.granted_epochs.update((node, epoch) for node in granted)
            if self.placement_group.is_quorum(granted):
                await self._begin_epoch(epoch, requested_at, {node: responses[node] for node in granted})
                return
            self._raise_if_lease_held(responses)
            if not self.placement_group.is_quorum(responses):
                total = len(self.placement_group.all_nodes)
                raise NoQuorum(f"{self.log}: {len(responses)} of {total} storage nodes responded")
            epoch = max(response.state.epoch for response in responses.values()) + 1
        raise LeaseNotHeld(f"{self.log}: other nodes requested higher epochs")

    async def _request_lease(self, epoch: int, lost_leaseholder: str | None) -> dict[str, LeaseResponse]:
        request = LeaseRequest(
            log=self.log,
            leaseholder=self._ctx.node,
            epoch=epoch,
            placement_group_sequence=self.placement_group.sequence,
            take_over=lost_leaseholder is not None,
            lost_leaseholder=lost_leaseholder or "",
        )
        return await self._client.call_each(
            self.placement_group.all_nodes,
            "replicated_log.lease",
            request,
            LeaseResponse,
            enough=self._is_granted,
        )

    def _is_granted(self, responses: dict[str, LeaseResponse]) -> bool:
        return self.placement_group.is_quorum([node for node, response in responses.items() if response.granted])

    def _raise_if_lease_held(self, responses: dict[str, LeaseResponse]) -> None:
        """Raises LeaseNotHeld if another node holds the lease or may hold it.

        A majority knows of every valid lease. The refusals of recently started storage nodes therefore matter only if
        the other storage nodes that responded are no quorum.
        """
        for response in responses.values():
            if response.reason == LeaseRefusal.HELD and not response.granted:
                raise LeaseNotHeld(f"{self.log} is held by another node", response.state.leaseholder)
        informed = [node for node, response in responses.items() if response.reason != LeaseRefusal.RECENTLY_STARTED]
        if not self.placement_group.is_quorum(informed) and len(informed) < len(responses):
            raise LeaseNotHeld(f"{self.log} may be held by another node: some storage nodes started recently")

    async def _begin_epoch(self, epoch: int, requested_at: timedelta, grants: Mapping[str, LeaseResponse]) -> None:
        self.epoch = epoch
        for node, response in grants.items():
            self._opened_at = min(self._opened_at, self._ctx.timers.now() - ms(response.known_ms))
            self.record_renewal(node, requested_at, response.free_bytes)
            self.progress.record(node, response.state)
        await self._recover_tail(list(grants))

    async def _recover_tail(self, granted: list[str]) -> None:
        """Reads the most up-to-date tail of the quorum that granted the lease, and commits it under the new epoch."""
        source = self.progress.most_up_to_date(granted)
        state = self.progress.known(source)
        if state.length:
            data = await self._client.read_from(source, self.log, 0, state.length, state.tail_epoch)
            self.data = bytearray(data)
            if len(self.data) != state.length:
                raise NoQuorum(f"{self.log}: could not read the tail of storage node {source}")
        self.final = state.final
        self.closed_ms = state.closed_ms
        self.recovered_tail = TailPosition.of(state)
        self.committed = self.progress.max_committed()
        if state.length:
            self._ctx.logger.info(
                "tail_recovered",
                log=self.log,
                epoch=self.epoch,
                source=source,
                tail_epoch=state.tail_epoch,
                length=state.length,
                committed=self.committed,
            )
            await self._commit(state.length)

    async def append(self, records: list[bytes], final: bool = False, reserved: bool = False) -> int:
        """Appends framed records; returns the position of the first one, once a quorum has synced all of them.

        A `final` append ends the log; a `reserved` one may use the space that storage nodes keep in reserve. Raises
        LeaseNotHeld, StaleEpoch if the log has ended, StorageFull, and DeadlineExceeded if the commit takes too long,
        in which case the records may still be committed later.
        """
        self._check_append(records, reserved)
        self.uses_reserve = reserved
        self._full_nodes.clear()
        if final:
            self.final = True
            self.closed_ms = wall_ms(self._ctx.timers.utc_now())
        start = len(self.data)
        self.data += b"".join(encode_frame(record) for record in records)
        await self.wait_durable()
        return start

    def _check_append(self, records: list[bytes], reserved: bool) -> None:
        if not self.is_held():
            self.check_validity()
            raise LeaseNotHeld(f"{self.log}: {self.lost or 'the lease is not valid'}")
        if self.final:
            raise StaleEpoch(f"{self.log} is final")
        if reserved:
            return
        size = sum(len(record) + MAX_RECORD_OVERHEAD_BYTES for record in records)
        if not self.placement_group.is_quorum([node for node, free in self._free_bytes.items() if free > size]):
            raise StorageFull(f"{self.log}: too few storage nodes have free space", sent=False)

    async def wait_durable(self) -> None:
        """Returns once everything appended so far is committed; raises the same errors as `append`."""
        end = len(self.data)
        if self.committed < end:
            await self._commit(end)

    async def _commit(self, end: int) -> None:
        """Replicates the log and waits until a quorum has synced its bytes up to `end` under the current epoch."""
        committed = self._waiters.add(end)
        self._replicate()
        await self._ctx.timers.with_timeout(COMMIT_TIMEOUT, committed)

    def _replicate(self) -> None:
        """Starts the senders, best candidates for a direct write first: known state, alive, in the same zone."""
        for node in sorted(self.placement_group.all_nodes, key=self._preference):
            if node not in self._senders:
                self._senders[node] = ReplicaSender(self._ctx, self._client, self, node)
            self._senders[node].start()

    def _preference(self, node: str) -> tuple[bool, bool, bool]:
        member = self._ctx.membership.find(node)
        is_near = member is not None and member.zone == self._ctx.settings.zone
        is_alive = self._ctx.membership.status(node) == "alive"
        return self.progress.get(node) is None, not is_alive, not is_near

    def storage_full(self, node: str) -> None:
        """Handles a write that `node` refused for lack of space; ends the lease if the other nodes are no quorum."""
        self._full_nodes.add(node)
        rest = [other for other in self.placement_group.all_nodes if other not in self._full_nodes]
        if not self.placement_group.is_quorum(rest):
            self._waiters.fail_all(lambda: StorageFull(f"{self.log}: too few storage nodes have free space"))
            self.invalidate("storage full")

    def advance_commit(self) -> None:
        """Advances the commit position to the one that a quorum of replicas has reached under the current epoch."""
        lengths = self.progress.counted_lengths(self.epoch)
        if not self.placement_group.is_quorum(lengths):
            return
        position = self.placement_group.quorum_position(lengths)
        reached = self._waiters.remove_reached(position)
        if position > self.committed or reached:
            self.committed = max(position, self.committed)
            spawn(self._announce_commit()).addErrback(_ignore_failure)
            self._call_watchers()
        for deferred in reached:
            if not deferred.called:
                deferred.callback(None)

    async def _announce_commit(self) -> None:
        """Sends the commit position to the storage nodes, so that readers can learn it without a quorum."""
        request = CommitRequest(log=self.log, epoch=self.epoch, committed=self.committed)
        await self._client.call_each(self.placement_group.all_nodes, "replicated_log.mark", request, Empty)


def _ignore_failure(_: Failure) -> None:
    """Does nothing: the next write also carries the commit position."""

"""Client access to replicated logs: leases, reads, listings, and log states."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from typing import TypeVar

from google.protobuf.message import Message
from twisted.python.failure import Failure

from ..context import Context
from ..timers import ms, spawn
from ..wire.replicated_log_pb2 import HeldLease, ListRequest, LogState, RenewRequest, RenewResponse
from .leaseholder import Leaseholder
from .log_reader import LogReader
from .log_states import LogListing, LogStates
from .placement_group import PlacementGroup
from .storage_client import CALL_TIMEOUT, StorageClient

__all__ = ["ReplicatedLog"]

Response = TypeVar("Response", bound=Message)

RENEW_INTERVAL: timedelta = ms(600)
RELEASE_TIMEOUT: timedelta = ms(400)


class ReplicatedLog:
    """The client interface to replicated logs; `leaseholders` contains the leases held by this node, by log."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._client = StorageClient(ctx)
        self._states = LogStates(ctx, self._client)
        self._reader = LogReader(ctx, self._client)
        self.leaseholders: dict[str, Leaseholder] = {}

    def open(self) -> None:
        """Starts to renew this node's leases periodically."""
        self._ctx.timers.call_repeatedly(RENEW_INTERVAL, self._renew_all, self._ctx.error_reporter("renew_leases"))

    def placement_group(self, log: str) -> PlacementGroup:
        """Returns the placement group of a log in the latest known cluster state."""
        return self._client.placement_group(log)

    async def call(
        self,
        node: str,
        method: str,
        request: Message,
        response_type: type[Response],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Response:
        """Calls one node and returns its response; raises WireError."""
        return await self._client.call(node, method, request, response_type, timeout)

    async def call_each(
        self,
        nodes: Collection[str],
        method: str,
        request: Message,
        response_type: type[Response],
        timeout: timedelta = CALL_TIMEOUT,
        enough: Callable[[dict[str, Response]], bool] | None = None,
    ) -> dict[str, Response]:
        """Calls all nodes concurrently and returns the responses by node; returns early once `enough(responses)`."""
        return await self._client.call_each(nodes, method, request, response_type, timeout, enough)

    async def acquire(self, log: str, lost_leaseholder: str | None = None) -> Leaseholder:
        """Acquires the lease of a log, recovers its tail, and returns the leaseholder, ready to append.

        `lost_leaseholder` is a leaseholder known to be gone, or empty if no node is known to hold the log; in both
        cases the call does not wait for a lease to expire. Pass it only for logs whose work may be done twice. Raises
        LeaseNotHeld and NoQuorum.
        """
        leaseholder = Leaseholder(self._ctx, self._client, log, self._remove)
        try:
            await leaseholder.acquire(lost_leaseholder)
        except BaseException:
            leaseholder.lost = "not acquired"
            self._ctx.run_in_background(self._return_grants(leaseholder), "return_lease")
            raise
        self.leaseholders[log] = leaseholder
        return leaseholder

    async def _return_grants(self, leaseholder: Leaseholder) -> None:
        """Releases the grants of a lease that was not acquired, so that no other node has to wait for it to expire."""
        for storage_node, epoch in leaseholder.granted_epochs.items():
            lease = HeldLease(log=leaseholder.log, epoch=epoch)
            self._ctx.run_in_background(self._release_at(storage_node, [lease]), "return_lease")

    async def _release_at(self, storage_node: str, leases: Iterable[HeldLease]) -> None:
        request = RenewRequest(leaseholder=self._ctx.node, leases=leases, release=True)
        await self.call_each([storage_node], "replicated_log.renew", request, RenewResponse, RELEASE_TIMEOUT)

    def _remove(self, leaseholder: Leaseholder) -> None:
        if self.leaseholders.get(leaseholder.log) is leaseholder:
            del self.leaseholders[leaseholder.log]

    async def _renew_all(self) -> None:
        by_storage_node: dict[str, list[Leaseholder]] = {}
        for leaseholder in list(self.leaseholders.values()):
            leaseholder.check_validity()
            for node in leaseholder.placement_group.all_nodes:
                by_storage_node.setdefault(node, []).append(leaseholder)
        for storage_node, leaseholders in by_storage_node.items():
            spawn(self._renew_at(storage_node, leaseholders)).addErrback(_ignore_failure)

    async def _renew_at(self, storage_node: str, leaseholders: list[Leaseholder]) -> None:
        requested_at = self._ctx.timers.now()
        request = RenewRequest(leaseholder=self._ctx.node, leases=[_held_lease(held) for held in leaseholders])
        response = await self.call(storage_node, "replicated_log.renew", request, RenewResponse)
        renewed = set(response.renewed)
        for leaseholder in leaseholders:
            if leaseholder.log in renewed:
                leaseholder.record_renewal(storage_node, requested_at, response.free_bytes)

    async def release(self, leaseholders: list[Leaseholder]) -> None:
        """Releases leases, so that other nodes can acquire them at once."""
        by_storage_node: dict[str, list[HeldLease]] = {}
        for leaseholder in leaseholders:
            leaseholder.invalidate("released")
            for node in leaseholder.placement_group.all_nodes:
                by_storage_node.setdefault(node, []).append(_held_lease(leaseholder))
        for storage_node, leases in by_storage_node.items():
            await self._release_at(storage_node, leases)

    async def states(self, logs: list[str]) -> dict[str, LogState]:
        """Returns the committed state of each log; omits logs for which no quorum responded."""
        return await self._states.read(logs)

    async def list(self, prefix: str) -> dict[str, LogState]:
        """Returns the logs whose names start with `prefix`, from the storage nodes that respond."""
        return (await self._states.list(ListRequest(prefix=prefix))).states

    async def list_open(self, prefix: str) -> LogListing:
        """Returns the logs with `prefix` that are not final on some storage node.

        Waits only for a quorum of each placement group, since every durable record is on some node of each quorum.
        """
        return await self._states.list(ListRequest(prefix=prefix, open_only=True))

    async def read(self, log: str, position: int, length: int, committed_epoch: int) -> bytes:
        """Returns a range of a log that is known to be committed; raises NoQuorum if no storage node returns all of it.

        `committed_epoch` is an epoch under which it is known to be committed, or 0 if none is known.
        """
        return await self._reader.read(log, position, length, committed_epoch)

    async def read_from(self, node: str, log: str, position: int, length: int, tail_epoch: int) -> bytes:
        """Reads a range, committed or not, from one storage node while its last writer has the epoch `tail_epoch`.

        Returns fewer bytes if the node has less, if another writer follows meanwhile, or if it cannot be reached.
        """
        return await self._client.read_from(node, log, position, length, tail_epoch)


def _held_lease(leaseholder: Leaseholder) -> HeldLease:
    return HeldLease(log=leaseholder.log, epoch=leaseholder.epoch)


def _ignore_failure(_: Failure) -> None:
    """Does nothing: the next renewal makes up for a lost one."""

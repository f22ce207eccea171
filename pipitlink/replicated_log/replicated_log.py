"""Clients' access to replicated logs: leases, reads, listings, and the state of each log."""

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
    """The replicated logs as nodes outside the storage nodes see them; `leaseholders` has the leases of this node."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._client = StorageClient(ctx)
        self._states = LogStates(ctx, self._client)
        self._reader = LogReader(ctx, self._client)
        self.leaseholders: dict[str, Leaseholder] = {}

    def open(self) -> None:
        """Starts the renewal of this node's leases."""
        self._ctx.timers.call_repeatedly(RENEW_INTERVAL, self._renew_all, self._ctx.error_reporter("renew_leases"))

    def placement_group(self, log: str) -> PlacementGroup:
        """Returns the placement group of a log as the newest known cluster state has it."""
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
        """Calls all nodes at once and returns the responses by node, early once `enough` is true of them."""
        return await self._client.call_each(nodes, method, request, response_type, timeout, enough)

    async def acquire(self, log: str, lost_leaseholder: str | None = None) -> Leaseholder:
        """Acquires the lease of a log, recovers its tail and returns the leaseholder, ready to append.

        `lost_leaseholder` names a leaseholder that is known to be gone, or is empty where nobody is known to hold the
        log: then no lease is waited for. Only for logs whose work may be done twice. Raises LeaseNotHeld and NoQuorum.
        """
        leaseholder = Leaseholder(self._ctx, self._client, log, self._remove)
        try:
            await leaseholder.acquire(lost_leaseholder)
        except BaseException:
            leaseholder.lost = "not taken"
            self._ctx.run_in_background(self._return_grants(leaseholder), "return_lease")
            raise
        self.leaseholders[log] = leaseholder
        return leaseholder

    async def _return_grants(self, leaseholder: Leaseholder) -> None:
        """Returns what some storage nodes granted of a lease that was not acquired, so that nobody waits for it."""
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
        """Gives up leases, so that others may acquire them at once."""
        by_storage_node: dict[str, list[HeldLease]] = {}
        for leaseholder in leaseholders:
            leaseholder.invalidate("released")
            for node in leaseholder.placement_group.all_nodes:
                by_storage_node.setdefault(node, []).append(_held_lease(leaseholder))
        for storage_node, leases in by_storage_node.items():
            await self._release_at(storage_node, leases)

    async def states(self, logs: list[str]) -> dict[str, LogState]:
        """Returns what is committed of each log; logs without a quorum of answers are left out."""
        return await self._states.read(logs)

    async def list(self, prefix: str) -> dict[str, LogState]:
        """Returns every log whose name starts with `prefix`, as far as the storage nodes that answer have it."""
        return (await self._states.list(ListRequest(prefix=prefix))).states

    async def list_open(self, prefix: str) -> LogListing:
        """Returns the logs with `prefix` that some storage node has as not final.

        Waits only for a quorum of each placement group: what is durable is on one of its storage nodes.
        """
        return await self._states.list(ListRequest(prefix=prefix, open_only=True))

    async def read(self, log: str, position: int, length: int) -> bytes:
        """Returns a committed range of a log; raises NoQuorum where no storage node returns all of it."""
        return await self._reader.read(log, position, length)

    async def read_from(self, node: str, log: str, position: int, length: int, tail_epoch: int = 0) -> bytes:
        """Returns the bytes of a range that one storage node has: fewer where it has less or cannot be reached.

        Where `tail_epoch` is not 0, only as the last writer of that epoch left them.
        """
        return await self._client.read_from(node, log, position, length, tail_epoch)


def _held_lease(leaseholder: Leaseholder) -> HeldLease:
    return HeldLease(log=leaseholder.log, epoch=leaseholder.epoch)


def _ignore_failure(_: Failure) -> None:
    """The next renewal makes up for one that is lost."""

"""Hedged reads of committed bytes of logs from their replicas."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from twisted.internet import defer

from ..context import Context
from ..errors import NoQuorum
from ..timers import ms
from .storage_client import READ_TIMEOUT, StorageClient

__all__ = ["LogReader"]

ReadFromNode = Callable[[str], Awaitable[bytes]]

HEDGE_DELAY: timedelta = ms(100)
"""How long to wait for one storage node before also reading from the next."""


class LogReader:
    """Reads committed ranges of logs from whichever replica returns them first."""

    def __init__(self, ctx: Context, client: StorageClient) -> None:
        self._ctx = ctx
        self._client = client

    async def read(self, log: str, position: int, length: int, committed_epoch: int) -> bytes:
        """Returns a range of a log that is known to be committed; raises NoQuorum if no storage node returns all of it.

        `committed_epoch` is an epoch under which the range is known to be committed (see `CommittedEnd`). If it is 0,
        only a storage node that knows by itself that the range is committed returns it.
        """
        nodes = list(self._client.placement_group(log).all_nodes)
        self._ctx.rng.shuffle(nodes)
        nodes.sort(key=self._preference)
        read_from_node = partial(
            self._client.read_committed_from,
            log=log,
            position=position,
            length=length,
            committed_epoch=committed_epoch,
        )
        read = _HedgedRead(self._ctx, read_from_node, length)
        for count, node in enumerate(nodes, 1):
            self._ctx.run_in_background(read.read_from(node), "read_log")
            content = await read.wait(count, HEDGE_DELAY if count < len(nodes) else READ_TIMEOUT)
            if content is not None:
                return content
        raise NoQuorum(f"{log}: no storage node returned all bytes from {position} to {position + length}")

    def _preference(self, node: str) -> tuple[bool, bool]:
        """Returns a sort key for storage nodes: live ones first, among them those in this node's zone."""
        membership = self._ctx.membership
        return membership.status(node) != "alive", membership.zone_of(node) != self._ctx.settings.zone


class _HedgedRead:
    """The read of one range of `length` bytes from several storage nodes; `read_from_node` reads it from one."""

    def __init__(self, ctx: Context, read_from_node: ReadFromNode, length: int) -> None:
        self._ctx = ctx
        self._read_from_node = read_from_node
        self._length = length
        self._results: list[bytes] = []
        self._next_result: defer.Deferred[None] | None = None

    async def read_from(self, node: str) -> None:
        """Reads the range from one storage node and wakes the waiting reader."""
        self._results.append(await self._read_from_node(node))
        if self._next_result is not None and not self._next_result.called:
            self._next_result.callback(None)

    async def wait(self, started: int, timeout: timedelta) -> bytes | None:
        """Returns the complete range, or None if the timeout passes or all `started` reads end without it."""
        timers = self._ctx.timers
        deadline = timers.now() + timeout
        while self._complete() is None and len(self._results) < started and timers.now() < deadline:
            self._next_result = defer.Deferred()
            await timers.wait_at_most(self._next_result, deadline - timers.now())
        return self._complete()

    def _complete(self) -> bytes | None:
        return next((content for content in self._results if len(content) >= self._length), None)

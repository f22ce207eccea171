"""Hedged reads of committed log content from the replicas."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet import defer

from ..context import Context
from ..errors import NoQuorum
from ..timers import ms
from .storage_client import READ_TIMEOUT, StorageClient

__all__ = ["LogReader"]

HEDGE_DELAY: timedelta = ms(100)
"""How long to wait for one storage node before also reading from the next."""


class LogReader:
    """Reads ranges of logs from whichever replica responds first."""

    def __init__(self, ctx: Context, client: StorageClient) -> None:
        self._ctx = ctx
        self._client = client

    async def read(self, log: str, position: int, length: int) -> bytes:
        """Returns a committed range of a log; raises NoQuorum if no storage node returns all of it."""
        nodes = list(self._client.placement_group(log).all_nodes)
        self._ctx.rng.shuffle(nodes)
        nodes.sort(key=self._preference)
        read = _HedgedRead(self._ctx, self._client, log, position, length)
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
    """The read of one range from several storage nodes."""

    def __init__(self, ctx: Context, client: StorageClient, log: str, position: int, length: int) -> None:
        self._ctx = ctx
        self._client = client
        self._log = log
        self._position = position
        self._length = length
        self._results: list[bytes] = []
        self._next_result: defer.Deferred[None] | None = None

    async def read_from(self, node: str) -> None:
        """Reads the range from one storage node and wakes the waiting reader."""
        self._results.append(await self._client.read_from(node, self._log, self._position, self._length))
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

"""RPC calls from any node to the storage nodes."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Generic, TypeVar

from google.protobuf.message import Message
from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..errors import WireError
from ..timers import ms, secs, spawn
from ..wire.replicated_log_pb2 import ReadRequest, ReadResponse
from ..wire.rpc import Address
from .placement_group import PlacementGroup, placement_group_of

__all__ = ["CALL_TIMEOUT", "READ_TIMEOUT", "StorageClient"]

Response = TypeVar("Response", bound=Message)
EnoughResponses = Callable[[dict[str, Response]], bool]

CALL_TIMEOUT: timedelta = ms(800)
READ_TIMEOUT: timedelta = secs(2)
MAX_READ_BYTES = 4 * 1024 * 1024


class StorageClient:
    """Looks up the placement group of a log and calls storage nodes by node id."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    def placement_group(self, log: str) -> PlacementGroup:
        """Returns the placement group of a log in the latest known cluster state."""
        group: PlacementGroup = self._ctx.cluster.placement_group(
            placement_group_of(log, self._ctx.cluster.placement_groups)
        )
        return group

    def address_of(self, node: str) -> Address | None:
        """Returns the address of a member, or None if the membership does not know it."""
        member = self._ctx.membership.find(node)
        return (member.host, member.port) if member is not None else None

    async def call(
        self,
        node: str,
        method: str,
        request: Message,
        response_type: type[Response],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Response:
        """Calls one node and returns its response; raises WireError."""
        address = self.address_of(node)
        if address is None:
            raise WireError(f"node {node} is not a known member of the cluster")
        response: Response = await self._ctx.rpc.call(address, method, request, response_type, timeout, node=node)
        return response

    async def call_each(
        self,
        nodes: Collection[str],
        method: str,
        request: Message,
        response_type: type[Response],
        timeout: timedelta = CALL_TIMEOUT,
        enough: EnoughResponses[Response] | None = None,
    ) -> dict[str, Response]:
        """Calls all nodes concurrently and returns the responses by node.

        Nodes whose calls fail are omitted. Returns early once `enough` returns True for the responses so far.
        """
        responses = _Responses[Response](len(nodes), enough)
        for node in nodes:
            spawn(self._call_one(node, method, request, response_type, timeout, responses)).addErrback(
                self._log_failure
            )
        if nodes:
            await responses.complete
        return dict(responses.by_node)

    async def _call_one(
        self,
        node: str,
        method: str,
        request: Message,
        response_type: type[Response],
        timeout: timedelta,
        responses: _Responses[Response],
    ) -> None:
        try:
            responses.by_node[node] = await self.call(node, method, request, response_type, timeout)
        except WireError as error:
            self._ctx.logger.debug("storage_node_unreachable", storage_node=node, method=method, text=error)
        finally:
            responses.call_ended()

    def _log_failure(self, failure: Failure) -> None:
        self._ctx.logger.failure("storage_call_error", failure.value)

    async def read_from(self, node: str, log: str, position: int, length: int, tail_epoch: int) -> bytes:
        """Reads a range, committed or not, from one storage node while its last writer has the epoch `tail_epoch`.

        Returns fewer bytes if the node has less, if another writer follows meanwhile, or if it cannot be reached.
        """
        return await self._read(node, ReadRequest(log=log, position=position, tail_epoch=tail_epoch), length)

    async def read_committed_from(self, node: str, log: str, position: int, length: int, committed_epoch: int) -> bytes:
        """Reads a range that is committed under the epoch `committed_epoch` from one storage node.

        Returns fewer bytes if the node cannot be reached, has less, or has bytes that may not be the committed ones.
        With `committed_epoch` 0 it returns only what it knows by itself to be committed.
        """
        return await self._read(node, ReadRequest(log=log, position=position, committed_epoch=committed_epoch), length)

    async def _read(self, node: str, first: ReadRequest, length: int) -> bytes:
        """Reads `length` bytes with as many calls as it takes; `first` has everything but the length."""
        request = ReadRequest()
        request.CopyFrom(first)
        content = b""
        while len(content) < length:
            request.position = first.position + len(content)
            request.length = min(MAX_READ_BYTES, length - len(content))
            try:
                response = await self.call(node, "replicated_log.read", request, ReadResponse, READ_TIMEOUT)
            except WireError:
                break
            if not response.data:
                break
            content += response.data
        return content


class _Responses(Generic[Response]):
    """The responses to one fan-out call; `complete` fires once all calls have ended or `enough` returns True."""

    def __init__(self, call_count: int, enough: EnoughResponses[Response] | None) -> None:
        self.by_node: dict[str, Response] = {}
        self.complete: defer.Deferred[None] = defer.Deferred()
        self._pending = call_count
        self._enough = enough

    def call_ended(self) -> None:
        """Records that one call has ended, with or without a response."""
        self._pending -= 1
        if self.complete.called:
            return
        if self._pending == 0 or (self._enough is not None and self._enough(self.by_node)):
            self.complete.callback(None)

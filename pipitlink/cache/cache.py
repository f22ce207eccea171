"""The interface to the cache: reads and writes chunks and lengths across their replicas."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from functools import partial
from typing import Any, TypeVar

import attrs
from google.protobuf.message import Message
from twisted.internet import defer

from ..context import Context
from ..errors import WireError
from ..timers import SingleFlight, ms, secs
from ..wire.cache_pb2 import Chunk, ChunkKeys, Chunks, Lengths, LengthsList, Paths
from ..wire.frame_pb2 import Empty
from .log_writer import CommittedLog, LogCacheWriter
from .poller import Poller
from .ring import Ring
from .stores import DataStore, LengthStore, durable_end
from .tail import Tail

__all__ = ["Cache"]

CALL_TIMEOUT = ms(400)
BYTES_PER_MB = 1024 * 1024

# The key of a chunk, or the path of a log.
Key = TypeVar("Key", bytes, str)
Response = TypeVar("Response", bound=Message)


def _ring_key(key: bytes | str) -> bytes:
    return key.encode() if isinstance(key, str) else key


@attrs.frozen
class _DurableSpan:
    """A part of a log that is committed under an epoch (0 if none is known).

    Concurrent readers of the same span share one read.
    """

    path: str
    start: int
    length: int
    committed_epoch: int


@attrs.define(eq=False)
class _Responses:
    """The responses of several nodes to a call; `done` fires once they are sufficient, or none is outstanding."""

    outstanding: int
    is_sufficient: Callable[[dict[str, Any]], bool]
    by_node: dict[str, Any] = attrs.field(factory=dict)
    done: defer.Deferred[None] = attrs.field(factory=defer.Deferred)

    def request_ended(self) -> None:
        """Records that a node has responded or failed to respond."""
        self.outstanding -= 1
        if not self.done.called and (self.outstanding == 0 or self.is_sufficient(self.by_node)):
            self.done.callback(None)


class Cache:
    """The volatile cache of the logs: a data cache and a metadata cache, each with three replicas among the gateways.

    `counts` has the numbers of reads by outcome, for the metrics.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        settings = ctx.settings
        ttl = secs(settings.chunk_ttl_s)
        self.chunks = DataStore(ctx.timers, ttl, settings.cache_mb * BYTES_PER_MB)
        self.lengths = LengthStore(ctx.timers, ttl)
        self.poller = Poller(ctx, self)
        self.counts: Counter[str] = Counter()
        self._ring = Ring({})
        self._durable_reads: SingleFlight[_DurableSpan, bytes] = SingleFlight()

    def open(self) -> None:
        """Starts serving other gateways, and polling the lengths of logs that have readers."""
        rpc = self._ctx.rpc
        rpc.register_handler("cache.put", Chunks, self.chunks.store_all)
        rpc.register_handler("cache.get", ChunkKeys, self.chunks.get_all)
        rpc.register_handler("cache.lengths_put", LengthsList, self.lengths.store_all)
        rpc.register_handler("cache.lengths", Paths, self.lengths.get_all)
        self.poller.open()

    def ring(self) -> Ring:
        """Returns the placement of replicas among the live gateways."""
        gateways = self._ctx.membership.members("gateway", statuses=("alive",))
        nodes = {member.node: member.zone for member in gateways}
        if nodes != self._ring.nodes:
            self._ring = Ring(nodes)
        return self._ring

    def start_log_writer(self, path: str, log: CommittedLog, uncached_prefix: bytes = b"") -> LogCacheWriter:
        """Starts copying a log into the cache, for as long as this process holds its lease.

        Chunks that lie entirely within a record whose payload begins with `uncached_prefix` are left out, if one is
        given.
        """
        return LogCacheWriter(self._ctx, self, path, log, uncached_prefix)

    def tail(self, path: str, max_lag: timedelta | None = None) -> Tail:
        """Returns a reader at the start of a log; `max_lag` is how far it may lag behind the log, 1 s by default."""
        return Tail(self._ctx, self, path, max_lag)

    async def read_durable(self, path: str, start: int, length: int, committed_epoch: int) -> bytes:
        """Returns bytes of a log that are committed under an epoch, or 0 if none is known.

        Concurrent readers of the same bytes share one read. Raises NoQuorum if no storage node returns them.
        """
        span = _DurableSpan(path, start, length, committed_epoch)
        return await self._durable_reads.run(span, partial(self._read_span, span))

    async def store_chunks(self, chunks: dict[bytes, bytes]) -> set[bytes]:
        """Writes chunks to their replicas; returns the keys of the chunks that a majority of their replicas stored."""
        requests = {
            node: Chunks(chunks=[Chunk(key=key, data=chunks[key]) for key in keys])
            for node, keys in self._keys_by_node(chunks).items()
        }
        responses = await self._call_each(requests, "cache.put", Empty, chunks)
        return self._keys_with_majority(chunks, responses)

    async def store_lengths(self, lengths: dict[str, Lengths]) -> None:
        """Writes lengths of logs, by path, to a majority of their replicas, or to as many as respond."""
        requests = {
            node: LengthsList(lengths=[lengths[path] for path in paths])
            for node, paths in self._keys_by_node(lengths).items()
        }
        await self._call_each(requests, "cache.lengths_put", Empty, lengths)

    async def get_lengths(self, paths: list[str]) -> dict[str, Lengths]:
        """Returns the highest lengths of the logs for which a majority of the replicas responded."""
        requests = {node: Paths(paths=node_paths) for node, node_paths in self._keys_by_node(paths).items()}
        responses = await self._call_each(requests, "cache.lengths", LengthsList, paths)
        highest = {path: Lengths(path=path) for path in self._keys_with_majority(paths, responses)}
        for response in responses.values():
            for lengths in response.lengths:
                found = highest.get(lengths.path)
                if found is not None:
                    durable = durable_end(found).merge(durable_end(lengths))
                    found.durable, found.durable_epoch = durable.length, durable.epoch
                    found.cached = max(found.cached, lengths.cached)
        return highest

    async def get_chunks(self, node: str, keys: list[bytes]) -> dict[bytes, bytes]:
        """Returns the chunks that one gateway has, by key. Raises WireError where it does not respond."""
        response = await self._call(node, "cache.get", ChunkKeys(keys=keys), Chunks)
        return {chunk.key: chunk.data for chunk in response.chunks}

    async def get_consistent(self, keys: list[bytes]) -> dict[bytes, bytes]:
        """Returns chunks by key, read from at least two of their three replicas where these respond.

        Where copies differ in length, the longest is the newest.
        """
        requests = {node: ChunkKeys(keys=node_keys) for node, node_keys in self._keys_by_node(keys).items()}
        responses = await self._call_each(requests, "cache.get", Chunks, keys)
        found: dict[bytes, bytes] = {}
        for response in responses.values():
            for chunk in response.chunks:
                found[chunk.key] = max(found.get(chunk.key, b""), chunk.data, key=len)
        return found

    async def _read_span(self, span: _DurableSpan) -> bytes:
        self.counts["durable_reads"] += 1
        data: bytes = await self._ctx.replicated_log.read(span.path, span.start, span.length, span.committed_epoch)
        return data

    async def _call(self, node: str, method: str, request: Message, kind: type[Response]) -> Response:
        member = self._ctx.membership.find(node)
        if member is None:
            raise WireError(f"gateway {node} is not in the membership")
        address = (member.host, member.port)
        response: Response = await self._ctx.rpc.call(address, method, request, kind, CALL_TIMEOUT)
        return response

    async def _call_each(
        self, requests: Mapping[str, Message], method: str, kind: type[Response], keys: Collection[Key]
    ) -> dict[str, Response]:
        """Sends all requests at once; returns the responses by node once a majority has responded for each key.

        Where fewer nodes respond, it returns their responses once no request is outstanding.
        """
        responses = _Responses(len(requests), partial(self._all_have_majority, keys))
        for node, request in requests.items():
            self._ctx.run_in_background(self._call_one(node, method, request, kind, responses), method)
        if requests:
            await responses.done
        return dict(responses.by_node)

    async def _call_one(
        self, node: str, method: str, request: Message, kind: type[Response], responses: _Responses
    ) -> None:
        try:
            responses.by_node[node] = await self._call(node, method, request, kind)
        except WireError:
            self.counts["unheard"] += 1
        responses.request_ended()

    def _keys_by_node(self, keys: Collection[Key]) -> dict[str, list[Key]]:
        """Groups keys by the gateways that hold their replicas."""
        by_node: dict[str, list[Key]] = {}
        ring = self.ring()
        for key in keys:
            for node in ring.replicas(_ring_key(key)):
                by_node.setdefault(node, []).append(key)
        return by_node

    def _all_have_majority(self, keys: Collection[Key], responses: Mapping[str, Any]) -> bool:
        return len(self._keys_with_majority(keys, responses)) == len(keys)

    def _keys_with_majority(self, keys: Collection[Key], responses: Mapping[str, Any]) -> set[Key]:
        """Returns the keys for which a majority of the current replicas has responded."""
        ring = self.ring()
        with_majority = set()
        for key in keys:
            replicas = ring.replicas(_ring_key(key))
            if replicas and 2 * sum(node in responses for node in replicas) > len(replicas):
                with_majority.add(key)
        return with_majority

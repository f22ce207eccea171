"""The cache as its users see it: reads and writes of chunks and lengths over the replicas."""

from collections import Counter
from datetime import timedelta

from twisted.internet import defer

from ..errors import WireError
from ..timers import SingleFlight, ms, secs
from ..wire.cache_pb2 import Chunk, ChunkKeys, Chunks, Lengths, LengthsList, Paths
from ..wire.frame_pb2 import Empty
from .poller import Poller
from .ring import Ring
from .shadow import Shadow
from .stores import DataStore, LengthStore
from .tail import Tail

__all__ = ["Cache"]

CACHE_LIMIT = ms(400)


class Cache:
    """The volatile shadow of the logs: a data cache and a metadata cache, three replicas each over the gateways."""

    def __init__(self, ctx):
        self._ctx = ctx
        p = ctx.settings
        self.chunks = DataStore(ctx.timers, secs(p.chunk_ttl_s), p.cache_mb * 1024 * 1024)
        self.lengths = LengthStore(ctx.timers, secs(p.chunk_ttl_s))
        self.poller = Poller(ctx, self)
        self.counts: Counter = Counter()
        self._ring = Ring({})
        self._spans = SingleFlight()

    async def read_durable(self, path: str, start: int, length: int) -> bytes:
        """One span of the durable log; readers that want the same one meanwhile share the read."""

        def read():
            self.counts["durable_reads"] += 1
            return self._ctx.replicated_log.read(path, start, length)

        return await self._spans.run((path, start, length), read)

    def open(self):
        d = self._ctx.rpc
        d.register_handler("cache.put", Chunks, self.chunks.put_all)
        d.register_handler("cache.get", ChunkKeys, self.chunks.get_all)
        d.register_handler("cache.lengths_put", LengthsList, self.lengths.put_all)
        d.register_handler("cache.lengths", Paths, self.lengths.get_all)
        self.poller.open()

    def ring(self) -> Ring:
        nodes = {m.node: m.zone for m in self._ctx.membership.members("gateway", statuses=("alive",))}
        if nodes != self._ring.nodes:
            self._ring = Ring(nodes)
        return self._ring

    def shadow(self, path: str, held) -> Shadow:
        return Shadow(self._ctx, self, path, held)

    def tail(self, path: str, limit: timedelta | None = None) -> Tail:
        return Tail(self._ctx, self, path, limit)

    async def _ask(self, node: str, method: str, what, kind):
        m = self._ctx.membership.find(node)
        if m is None:
            raise WireError(f"gateway {node} is not on the membership")
        return await self._ctx.rpc.call((m.host, m.port), method, what, kind, CACHE_LIMIT)

    async def _each(self, asks: dict[str, object], method: str, kind, enough) -> dict[str, object]:
        """Asks all at once and goes on as soon as the responses that are in are enough; the rest may still come."""
        got: dict[str, object] = {}
        done = defer.Deferred()
        left = len(asks)

        async def one(node, what):
            nonlocal left
            try:
                got[node] = await self._ask(node, method, what, kind)
            except WireError:
                self.counts["unheard"] += 1
            left -= 1
            if not done.called and (left == 0 or enough(got)):
                done.callback(None)

        for n, w in asks.items():
            self._ctx.run_in_background(one(n, w), method)
        if asks:
            await done
        return dict(got)

    def _spread(self, keys, wrap) -> dict[str, list]:
        by_node: dict[str, list] = {}
        ring = self.ring()
        for k in keys:
            for n in ring.replicas(wrap(k)):
                by_node.setdefault(n, []).append(k)
        return by_node

    async def store_chunks(self, chunks: dict[bytes, bytes]) -> set[bytes]:
        """Writes chunks to their replicas; returns the keys that a majority of theirs took."""
        by_node = self._spread(chunks, lambda k: k)
        asks = {n: Chunks(chunks=[Chunk(key=k, data=chunks[k]) for k in ks]) for n, ks in by_node.items()}
        got = await self._each(asks, "cache.put", Empty, self._all_by_majority(chunks, lambda k: k))
        return self._by_majority(chunks, lambda k: k, got)

    def _all_by_majority(self, keys, wrap):
        return lambda got: len(self._by_majority(keys, wrap, got)) == len(keys)

    def _by_majority(self, keys, wrap, got) -> set:
        ring = self.ring()
        out = set()
        for k in keys:
            r = ring.replicas(wrap(k))
            if r and 2 * sum(n in got for n in r) > len(r):
                out.add(k)
        return out

    async def store_lengths(self, lengths: dict[str, Lengths]):
        by_node = self._spread(lengths, str.encode)
        asks = {n: LengthsList(lengths=[lengths[p] for p in ps]) for n, ps in by_node.items()}
        await self._each(asks, "cache.lengths_put", Empty, self._all_by_majority(lengths, str.encode))

    async def get_lengths(self, paths: list[str]) -> dict[str, Lengths]:
        """Consistent bulk read: only lengths that at least a majority of the replicas were asked for."""
        by_node = self._spread(paths, str.encode)
        got = await self._each(
            {n: Paths(paths=ps) for n, ps in by_node.items()},
            "cache.lengths",
            LengthsList,
            self._all_by_majority(paths, str.encode),
        )
        heard = self._by_majority(paths, str.encode, got)
        out = {p: Lengths(path=p) for p in heard}
        for r in got.values():
            for one in r.lengths:
                if one.path in out:
                    out[one.path].durable = max(out[one.path].durable, one.durable)
                    out[one.path].cached = max(out[one.path].cached, one.cached)
        return out

    async def get_chunks(self, node: str, keys: list[bytes]) -> dict[bytes, bytes]:
        r = await self._ask(node, "cache.get", ChunkKeys(keys=keys), Chunks)
        return {c.key: c.data for c in r.chunks}

    async def get_consistent(self, keys: list[bytes]) -> dict[bytes, bytes]:
        """At least two of the three replicas; the longest value is the newest."""
        asks = {n: ChunkKeys(keys=ks) for n, ks in self._spread(keys, lambda k: k).items()}
        out: dict[bytes, bytes] = {}
        got = await self._each(asks, "cache.get", Chunks, self._all_by_majority(keys, lambda k: k))
        for r in got.values():
            for c in r.chunks:
                out[c.key] = max(out.get(c.key, b""), c.data, key=len)
        return out

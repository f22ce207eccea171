"""Reads each chunk from one replica, with a hedged request to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from ..context import Context
from ..errors import WireError
from ..timers import ms, spawn

if TYPE_CHECKING:
    from .cache import Cache

__all__ = ["HedgedRead"]


class HedgedRead:
    """One read of several chunks, each from one replica and, if still missing after a short delay, from another.

    The first replica is chosen at random among those in the reader's zone, or among all where that zone has none.
    """

    def __init__(self, ctx: Context, cache: Cache, needed: dict[bytes, int]) -> None:
        self._ctx = ctx
        self._cache = cache
        self._needed = needed
        self._found: dict[bytes, bytes] = {}
        self._outstanding = 0
        self._done: defer.Deferred[None] = defer.Deferred()

    async def run(self) -> dict[bytes, bytes]:
        """Returns the chunks that were found, by key, once all have the bytes needed or no request is outstanding.

        Responses that arrive later are still added to the returned dictionary.
        """
        first, second = self._choose_replicas()
        if not first:
            return self._found
        self._outstanding = len(first)
        hedge = self._ctx.timers.call_later(ms(self._ctx.settings.hedge_ms), self._hedge, second)
        for node, keys in first.items():
            spawn(self._fetch(node, keys))
        await self._done
        if hedge.active():
            hedge.cancel()
        return self._found

    def _choose_replicas(self) -> tuple[dict[str, list[bytes]], dict[str, list[bytes]]]:
        """Returns the keys by the node that is read first, and by the node of the hedged request."""
        ring = self._cache.ring()
        first: dict[str, list[bytes]] = {}
        second: dict[str, list[bytes]] = {}
        for key in self._needed:
            replicas = list(ring.replicas(key))
            if not replicas:
                continue
            self._ctx.rng.shuffle(replicas)
            replicas.sort(key=lambda node: ring.nodes[node] != self._ctx.settings.zone)
            first.setdefault(replicas[0], []).append(key)
            second.setdefault(replicas[-1], []).append(key)
        return first, second

    async def _fetch(self, node: str, keys: list[bytes]) -> None:
        try:
            for key, data in (await self._cache.get_chunks(node, keys)).items():
                self._found[key] = max(self._found.get(key, b""), data, key=len)
        except WireError:
            pass
        self._outstanding -= 1
        if not self._done.called and (self._outstanding == 0 or self._is_complete()):
            self._done.callback(None)

    def _is_complete(self) -> bool:
        return all(not self._is_missing(key) for key in self._needed)

    def _is_missing(self, key: bytes) -> bool:
        return len(self._found.get(key, b"")) < self._needed[key]

    def _hedge(self, keys_by_node: dict[str, list[bytes]]) -> None:
        self._cache.counts["hedged"] += 1
        missing = {node: [key for key in keys if self._is_missing(key)] for node, keys in keys_by_node.items()}
        missing = {node: keys for node, keys in missing.items() if keys}
        self._outstanding += len(missing)
        for node, keys in missing.items():
            spawn(self._fetch(node, keys))

"""Consistent hashing that places the replicas of cached chunks on gateways."""

from __future__ import annotations

import bisect
from functools import lru_cache
from hashlib import blake2b

__all__ = ["REPLICAS", "Ring"]

REPLICAS = 3
POINTS_PER_NODE = 48
POINT_BYTES = 8
PLACEMENT_CACHE_SIZE = 8192


def _point(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=POINT_BYTES).digest(), "big")


class Ring:
    """Consistent hashing over gateways; a key's replicas are in different zones where there are enough zones.

    `nodes` maps the gateways to their zones. `replicas(key)` returns the gateways that store a key, at most three.
    """

    def __init__(self, nodes: dict[str, str]) -> None:
        self.nodes = dict(nodes)
        self._ring = sorted((_point(f"{node}/{i}".encode()), node) for node in nodes for i in range(POINTS_PER_NODE))
        self._points = [point for point, _ in self._ring]
        self.replicas = lru_cache(maxsize=PLACEMENT_CACHE_SIZE)(self._replicas)

    def _replicas(self, key: bytes) -> tuple[str, ...]:
        picked: list[str] = []
        zones: set[str] = set()
        wanted = min(REPLICAS, len(self.nodes))
        for distinct_zones in (True, False):
            start = bisect.bisect(self._points, _point(key))
            for i in range(len(self._ring)):
                if len(picked) == wanted:
                    return tuple(picked)
                node = self._ring[(start + i) % len(self._ring)][1]
                if node in picked or (distinct_zones and self.nodes[node] in zones):
                    continue
                picked.append(node)
                zones.add(self.nodes[node])
        return tuple(picked)

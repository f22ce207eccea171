"""Consistent hashing that places the replicas of cached chunks on gateways."""

import bisect
from functools import lru_cache
from hashlib import blake2b

__all__ = ["Ring", "REPLICAS"]

REPLICAS = 3
_POINTS = 48


def _point(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


class Ring:
    """Consistent hashing over gateways; a key's replicas stand in different zones where there are enough."""

    def __init__(self, nodes: dict[str, str]):
        self.nodes = dict(nodes)
        self._ring = sorted((_point(f"{n}/{i}".encode()), n) for n in nodes for i in range(_POINTS))
        self._points = [p for p, _ in self._ring]
        self.replicas = lru_cache(maxsize=8192)(self._replicas)

    def _replicas(self, key: bytes) -> tuple[str, ...]:
        picked: list[str] = []
        zones: set[str] = set()
        want = min(REPLICAS, len(self.nodes))
        for distinct in (True, False):
            start = bisect.bisect(self._points, _point(key))
            for i in range(len(self._ring)):
                if len(picked) == want:
                    return tuple(picked)
                n = self._ring[(start + i) % len(self._ring)][1]
                if n in picked or (distinct and self.nodes[n] in zones):
                    continue
                picked.append(n)
                zones.add(self.nodes[n])
        return tuple(picked)

"""Which engines may serve a request, according to the table in the cluster state."""

from __future__ import annotations

from typing import NamedTuple

from ..context import Context
from ..wire.cluster_pb2 import Row
from .engine import Engine, EngineStatus
from .engine_registry import EngineRegistry

__all__ = ["Candidate", "EngineCandidates"]

DEFAULT_WEIGHT = 1.0


class Candidate(NamedTuple):
    """An engine that may serve a request, and its weight from the row for the model and the engine's pool.

    The rows are those of the table in the cluster state; without a row, the weight is DEFAULT_WEIGHT. This is a named
    tuple since tuples are cheap to create, and each choice of an engine creates many.
    """

    engine: Engine
    weight: float


class EngineCandidates:
    """Finds engines for requests by model or pool; leaves out those with weight 0 and those in emptied zones."""

    def __init__(self, ctx: Context, registry: EngineRegistry) -> None:
        self._ctx = ctx
        self._registry = registry

    def find(self, model: str, pool: str = "") -> list[Candidate]:
        """Returns the engines of a pool or, without a pool, those that serve a model, sorted by name."""
        candidates = []
        for engine in self._registry.all():
            if not _serves(engine, model, pool):
                continue
            row = self._row(model, engine.update.pool)
            weight = row.weight if row is not None else DEFAULT_WEIGHT
            if weight > 0 and not self._ctx.cluster.zone_empty(engine.update.zone):
                candidates.append(Candidate(engine, weight))
        return candidates

    def find_ready(self, model: str, pool: str = "") -> list[Candidate]:
        """Returns the candidates that may get new requests now."""
        return [
            candidate
            for candidate in self.find(model, pool)
            if self._registry.status(candidate.engine) == EngineStatus.READY
        ]

    def row_of(self, model: str, pool: str) -> Row | None:
        """Returns the first row that applies to the model at an engine that may serve it, None if there is none."""
        for candidate in self.find(model, pool):
            row = self._row(model, candidate.engine.update.pool)
            if row is not None:
                return row
        return None

    def batch_reserve(self, model: str, engine: Engine) -> float:
        """Returns the fraction of an engine's capacity that is reserved for live requests."""
        row = self._row(model, engine.update.pool)
        if row is not None and row.lot_share > 0:
            return 1 - row.lot_share
        return self._ctx.settings.lot_reserve

    def _row(self, model: str, pool: str) -> Row | None:
        row: Row | None = self._ctx.cluster.row(model, pool)
        return row


def _serves(engine: Engine, model: str, pool: str) -> bool:
    if pool:
        return engine.update.pool == pool
    return model in engine.update.models

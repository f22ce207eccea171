"""The engines' capacity as jobs may use it."""

from __future__ import annotations

from .engine_candidates import EngineCandidates
from .engine_slots import EngineSlots

__all__ = ["BatchCapacity"]


class BatchCapacity:
    """Counts the slots that jobs may take, which leave a reserve to live requests."""

    def __init__(self, slots: EngineSlots, candidates: EngineCandidates) -> None:
        self._slots = slots
        self._candidates = candidates

    def free_slots(self, model: str) -> int:
        """Returns how many items for a model could be sent to engines now."""
        return sum(
            self._slots.free_slots(candidate.engine, self._candidates.batch_reserve(model, candidate.engine))
            for candidate in self._candidates.find_ready(model)
        )

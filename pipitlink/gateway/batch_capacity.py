"""The capacity of the engines that is available to batches."""

from __future__ import annotations

from .engine_candidates import EngineCandidates
from .engine_slots import EngineSlots

__all__ = ["BatchCapacity"]


class BatchCapacity:
    """Counts the slots that are available to batches; a reserve is left to live requests."""

    def __init__(self, slots: EngineSlots, candidates: EngineCandidates) -> None:
        self._slots = slots
        self._candidates = candidates

    def free_slots(self, model: str) -> int:
        """Returns how many more items for a model may be sent to engines now."""
        return sum(
            self._slots.free_slots(candidate.engine, self._candidates.batch_reserve(model, candidate.engine))
            for candidate in self._candidates.find_ready(model)
        )

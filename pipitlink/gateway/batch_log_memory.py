"""The memory that the logs of batches take at the gateway that writes them, whether or not their batches are open."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..context import Context
from ..replicated_log.leaseholder import Leaseholder
from ..wire.lots_pb2 import Lot
from .batch_ids import BATCH_LOG_PREFIX, KEYED_LOG_PREFIX
from .open_batches import OpenBatches

__all__ = ["BatchLogMemory"]

KEYED_LOGS_FRACTION = 0.25
"""The part of the memory for clients that logs of batches with keys may fill; they are kept until the next day ends."""


def _log_bytes(leaseholders: Iterable[Leaseholder]) -> int:
    return sum(len(leaseholder.data) for leaseholder in leaseholders)


class BatchLogMemory:
    """Decides whether there is memory for a further batch, beside the logs that this gateway writes.

    `free_logs` is called when there is none for a batch without a key, and may end logs whose batches are all closed.
    """

    def __init__(self, ctx: Context, open_batches: OpenBatches) -> None:
        self._ctx = ctx
        self._open_batches = open_batches
        self.free_logs: Callable[[], object] = lambda: None

    def _leaseholders(self, *, keyed: bool) -> Iterable[Leaseholder]:
        keyed_prefix = BATCH_LOG_PREFIX + KEYED_LOG_PREFIX
        for log, leaseholder in self._ctx.replicated_log.leaseholders.items():
            if log.startswith(BATCH_LOG_PREFIX) and log.startswith(keyed_prefix) == keyed:
                yield leaseholder

    def has_room_for(self, spec: Lot) -> bool:
        """Returns whether there is memory for a further batch until its end."""
        if self._open_batches.has_room_for(spec, _log_bytes(self._leaseholders(keyed=False))):
            return True
        self.free_logs()
        return False

    def has_room_for_keyed(self, spec: Lot) -> bool:
        """Returns whether the logs of batches with keys may grow by a batch."""
        limit_bytes = self._ctx.client_memory.limit_bytes * KEYED_LOGS_FRACTION
        return _log_bytes(self._leaseholders(keyed=True)) + spec.ByteSize() <= limit_bytes

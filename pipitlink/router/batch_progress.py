"""Names and records of batch logs, and the progress of a batch as its log records it."""

from __future__ import annotations

import re

from ..wire.lots_pb2 import Batch, BatchHead, BatchItem, LogRecord, Output

__all__ = ["BATCH_RECORD_PREFIX", "LOG_PREFIX", "BatchProgress", "batch_head", "batch_log", "is_valid_batch_id"]

LOG_PREFIX = "batch/"
# The first byte of the payload of every record that holds a batch.
BATCH_RECORD_PREFIX = LogRecord(batch=Batch()).SerializeToString()[:1]
_BATCH_ID = re.compile(r"[A-Za-z0-9_-]{1,64}\Z")


def batch_log(batch_id: str) -> str:
    """Returns the name of a batch's log."""
    return LOG_PREFIX + batch_id


def is_valid_batch_id(batch_id: str) -> bool:
    """Returns whether a batch id is valid: 1 to 64 letters, digits, `-` and `_`."""
    return bool(_BATCH_ID.match(batch_id))


def batch_head(batch: Batch) -> BatchHead:
    """Returns a batch's head, which has everything except the paths, headers and bodies of the items."""
    return BatchHead(
        id=batch.id,
        host=batch.host,
        path=batch.path,
        route=batch.route,
        taken_ms=batch.taken_ms,
        items=[item.id for item in batch.items],
        tokens=[item.tokens for item in batch.items],
    )


def _batch_without_bodies(head: BatchHead) -> Batch:
    return Batch(
        id=head.id,
        host=head.host,
        path=head.path,
        route=head.route,
        taken_ms=head.taken_ms,
        items=[BatchItem(id=item_id, tokens=tokens) for item_id, tokens in zip(head.items, head.tokens, strict=True)],
    )


class BatchProgress:
    """A batch as its log records it: its head, the complete batch, then its outputs in the order of their positions.

    `head` is set once the batch is durable, and has at least the ids and tokens of its items; `batch` also has their
    bodies. `announced` is a head whose batch is not durable yet. `end_reason` is empty until the batch has ended.
    """

    def __init__(self) -> None:
        self.head: Batch | None = None
        self.batch: Batch | None = None
        self.announced: Batch | None = None
        self.outputs: list[Output] = []
        self.finished_items: set[int] = set()
        self.end_reason = ""

    def apply(self, record: LogRecord) -> None:
        """Applies the next record of the log; only the first output of each item counts."""
        kind = record.WhichOneof("of")
        if kind == "head" and self.head is None:
            self.announced = _batch_without_bodies(record.head)
        elif kind == "batch" and self.head is None:
            self.head, self.batch, self.announced = record.batch, record.batch, None
        elif kind == "output" and not self.end_reason and record.output.item not in self.finished_items:
            self.finished_items.add(record.output.item)
            self.outputs.append(record.output)
        elif kind == "ended":
            self.end_reason = self.end_reason or record.ended.reason

    def skip_batch(self) -> None:
        """Records that the batch follows its announced head in the log, and was skipped."""
        self.head, self.announced = self.announced, None

    @property
    def durable_head(self) -> Batch:
        """The batch with at least the ids and tokens of its items. Raises ValueError before it is durable."""
        if self.head is None:
            raise ValueError("the batch is not durable")
        return self.head

    @property
    def complete_batch(self) -> Batch:
        """The batch with the bodies of its items. Raises ValueError before these have been read."""
        if self.batch is None:
            raise ValueError("the bodies of the items were not read")
        return self.batch

    def is_complete(self) -> bool:
        """Returns whether no more outputs can follow."""
        if self.end_reason:
            return True
        return self.head is not None and len(self.outputs) == len(self.head.items)

    def unfinished_tokens(self) -> int:
        """Returns the tokens of the items whose output is not durable; 0 once the batch has ended."""
        if self.end_reason or self.head is None:
            return 0
        return sum(item.tokens for index, item in enumerate(self.head.items) if index not in self.finished_items)

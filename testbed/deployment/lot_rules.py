"""The part of the checker that judges lots."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from .bounds import seconds
from .engines import event_data
from .record import PROMISES, EngineRun, LotRecord, Record, RunEnd
from .touch import Touch

__all__ = ["LotRules", "is_malformed_only"]

GONE = (404, 410)


def is_malformed_only(runs: Sequence[EngineRun]) -> bool:
    """Returns whether a request ran, and each run ended with a malformed response."""
    return bool(runs) and all(run.end == RunEnd.MALFORMED for run in runs)


class LotRules:
    """Judges what clients read of their lots, and what engines ran of them."""

    def __init__(self, record: Record, runs: Mapping[str, list[EngineRun]], touch: Touch) -> None:
        self._record = record
        self._runs = runs
        self._touch = touch

    def all(self) -> Iterator[str]:
        """Yields a line for each broken rule."""
        for lot in self._record.lots:
            yield from self._lost(lot)
            yield from self._results(lot)
            yield from self._refused(lot)
            yield from self._ended(lot)

    def _lost(self, lot: LotRecord) -> Iterator[str]:
        if lot.accepted_at is None:
            return
        for read in lot.reads:
            is_settled = read.at > lot.accepted_at + seconds("settle_ms")
            if read.status in GONE and is_settled and self._touch.is_in_touch(read.gateway, read.at):
                yield f"LOST lot {lot.lot_id}: {read.gateway} says {read.status}"
        if lot.final_outputs is None:
            yield f"LOST lot {lot.lot_id}: it cannot be read at the end"
        elif len(lot.final_outputs) < len(lot.items) and lot.end_sent_at is None:
            left = len(lot.items) - len(lot.final_outputs)
            yield f"LOST lot {lot.lot_id}: {left} of {len(lot.items)} items are left lying"

    def _results(self, lot: LotRecord) -> Iterator[str]:
        """Checks each result that was read, and that each position keeps its result."""
        events = dict(lot.items)
        seen: dict[int, dict[str, object]] = {}
        pages = [(read.start, read.page) for read in lot.reads if read.page]
        for start, page in pages:
            if page["total_count"] != len(lot.items):
                yield f"MIXED lot {lot.lot_id}: it has {page['total_count']} items"
            for position, output in enumerate(page["outputs"], start):
                if seen.setdefault(position, output) != output:
                    yield f"TWICE lot {lot.lot_id}: position {position} holds another result than before"
        items = [str(output["id"]) for output in seen.values()]
        if len(set(items)) != len(items):
            yield f"TWICE lot {lot.lot_id}: an item stands at two positions"
        for output in seen.values():
            item = str(output["id"])
            if item not in events:
                yield f"MIXED lot {lot.lot_id}: an output names the item {item}"
            elif output["state"] == "complete":
                whole = "\n".join(event_data(item, number) for number in range(1, events[item] + 1))
                if is_malformed_only(self._runs.get(item, [])):
                    yield f"MIXED item {item}: all that engines sent for it was malformed"
                if output["message"] != whole:
                    yield f"MIXED item {item}: {len(str(output['message']))} of {len(whole)} characters"
            elif lot.end_sent_at is None:
                yield f"MIXED item {item}: it is {output['state']}, and nobody ended its lot"

    def _refused(self, lot: LotRecord) -> Iterator[str]:
        answers = [attempt.status if attempt.is_complete else 0 for attempt in lot.tries]
        if answers and all(status in PROMISES for status in answers):
            for item, _ in lot.items:
                if self._runs.get(item):
                    yield f"REFUSED lot {lot.lot_id}: {item} ran, the lot got {answers}"

    def _ended(self, lot: LotRecord) -> Iterator[str]:
        if lot.end_acknowledged_at is None:
            return
        for item, _ in lot.items:
            for run in self._runs.get(item, []):
                late = run.started_at - lot.end_acknowledged_at
                if late > seconds("cancel_ms"):
                    yield f"UNASKED item {item}: reached {run.engine} {late:.2f} s after the end of its lot"

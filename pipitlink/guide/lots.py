from datetime import timedelta

import attrs

from ..beats import secs
from ..faults import PipitFault
from ..wire.lots_pb2 import LogRecord, Lot, Result

__all__ = ["OpenLot", "Lots", "result_log"]

LIST_BEAT = secs(1)


def result_log(lot: str) -> str:
    return f"results/{lot}"


@attrs.define(eq=False)
class OpenLot:
    """A lot as a guide knows it: its items and, where this guide owns it, what has become of each."""

    id: str
    lot: Lot
    holder: object = None
    taking: bool = False
    try_at: timedelta = timedelta(0)
    waiting: list[int] = attrs.field(factory=list)
    again_at: dict[int, timedelta] = attrs.field(factory=dict)
    tries: dict[int, int] = attrs.field(factory=dict)
    running: dict[int, object] = attrs.field(factory=dict)
    started: set[int] = attrs.field(factory=set)
    results: dict[int, Result] = attrs.field(factory=dict)
    ended: bool = False

    def learn(self, record: LogRecord):
        what = record.WhichOneof("of")
        if what == "started":
            self.started.add(record.started.item)
        elif what == "result":
            self.results.setdefault(record.result.item, record.result)
        elif what == "ended":
            self.ended = True


class Lots:
    """Mixin: every guide reads all lot logs, so that any of them can take a lot up."""

    def _open_lots(self):
        self.open_lots: dict[str, OpenLot] = {}
        self._closed: set[str] = set()
        self._tails: dict[str, object] = {}
        self._ctx.beats.every(LIST_BEAT, self._list_logs, self._ctx.report("list_logs"))

    def _known(self, lot_id: str, lot: Lot):
        if lot_id not in self._closed and lot_id not in self.open_lots:
            self.open_lots[lot_id] = OpenLot(lot_id, lot)

    def _close(self, lot_id: str):
        self._closed.add(lot_id)
        self.open_lots.pop(lot_id, None)

    async def _list_logs(self):
        if not self._ctx.setup.ready():
            return
        for log, state in (await self._ctx.ledger.list("results/")).items():
            lot_id = log.removeprefix("results/")
            mine = self.open_lots.get(lot_id)
            if state.final and lot_id not in self._closed and not (mine and mine.holder):
                self._close(lot_id)
        for log in await self._ctx.ledger.list("lots/"):
            if log not in self._tails:
                self._tails[log] = self._ctx.cache.tail(log)
                self._ctx.spawned(self._follow(log), "follow")

    async def _follow(self, log: str):
        """One task for each lot log, reading it in order."""
        tail = self._tails[log]
        while not self._ctx.beats.ended:
            try:
                for at, body in await tail.more():
                    record = LogRecord.FromString(body)
                    if record.WhichOneof("of") == "lot":
                        self._known(f"{log.removeprefix('lots/')}.{at}", record.lot)
            except PipitFault as e:
                self._ctx.journal.fault("log_unread", e, log=log)
                await self._ctx.beats.pause(secs(1))
            await tail.wait()

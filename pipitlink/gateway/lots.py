"""Follows the lot logs of all gateways, so that each knows the open lots."""

from datetime import timedelta

import attrs

from ..errors import PipitlinkError
from ..timers import RepeatingCall, secs, wall_ms
from ..wire.lots_pb2 import Ended, LogRecord, Lot, Result

__all__ = ["OpenLot", "Lots", "result_log"]

LIST_INTERVAL = secs(1)
CLOSE_INTERVAL = secs(10)
DAY_MS = 86_400_000
MOST_ASKED = 2000


def result_log(lot: str) -> str:
    """Returns the name of the log that holds a lot's results."""
    return f"results/{lot}"


@attrs.define(eq=False)
class OpenLot:
    """A lot as a gateway knows it: its items and, where this gateway owns it, what has become of each."""

    id: str
    lot: Lot
    leaseholder: object = None
    taking: bool = False
    try_at: timedelta = timedelta(0)
    waiting: list[int] = attrs.field(factory=list)
    again_at: dict[int, timedelta] = attrs.field(factory=dict)
    tries: dict[int, int] = attrs.field(factory=dict)
    running: dict[int, object] = attrs.field(factory=dict)
    started: set[int] = attrs.field(factory=set)
    results: dict[int, Result] = attrs.field(factory=dict)

    def learn(self, record: LogRecord):
        what = record.WhichOneof("of")
        if what == "started":
            self.started.add(record.started.item)
        elif what == "result":
            self.results.setdefault(record.result.item, record.result)


class Lots:
    """Mixin: every gateway reads all lot logs, so that any of them can take a lot up.

    Offers `open_lots`, `_known` and `_close`, and wakes the timers in `_lot_timers`, which Dispatch fills.
    Needs of the node: `_ctx`; of Intake: `_lot_turn`; of Dispatch: `_owner`.
    Owns `open_lots`, `_closed`, `_tails` and `_lots_of`.
    """

    def _open_lots(self):
        self.open_lots: dict[str, OpenLot] = {}
        self._lot_timers: list[RepeatingCall] = []
        self._closed: set[str] = set()
        self._tails: dict[str, object] = {}
        self._lots_of: dict[str, set[str]] = {}
        self._ctx.timers.call_repeatedly(LIST_INTERVAL, self._list_logs, self._ctx.error_reporter("list_logs"))
        self._ctx.timers.call_repeatedly(CLOSE_INTERVAL, self._close_logs, self._ctx.error_reporter("close_logs"))

    def _known(self, lot_id: str, lot: Lot):
        if lot_id not in self._closed and lot_id not in self.open_lots:
            self.open_lots[lot_id] = OpenLot(lot_id, lot)
            for b in self._lot_timers:
                b.wake()

    def _close(self, lot_id: str):
        self._closed.add(lot_id)
        self.open_lots.pop(lot_id, None)

    async def _list_logs(self):
        if not self._ctx.cluster.ready():
            return
        await self._see_closed()
        for log, state in (await self._ctx.replicated_log.list("lots/")).items():
            tail = self._tails.get(log)
            if tail is None and not state.final:
                self._tails[log] = self._ctx.cache.tail(log)
                self._lots_of[log] = set()
                self._ctx.run_in_background(self._follow(log), "follow")
            elif tail is not None and state.final and tail.position >= state.committed:
                self._leave_log(log)

    async def _see_closed(self):
        """Lots that another gateway finished or ended are open here no longer."""
        theirs = [o.id for o in self.open_lots.values() if o.leaseholder is None and not o.taking]
        for i in range(0, len(theirs), MOST_ASKED):
            logs = [result_log(lot_id) for lot_id in theirs[i : i + MOST_ASKED]]
            for log, state in (await self._ctx.replicated_log.states(logs)).items():
                if state.final:
                    self._close(log.removeprefix("results/"))

    def _leave_log(self, log: str):
        self._tails.pop(log).close()
        self._closed -= self._lots_of.pop(log, set())

    async def _close_logs(self):
        """Ends lot logs that nobody writes to any more, once every lot in them is closed."""
        for log, tail in list(self._tails.items()):
            writer, _, turn = log.removeprefix("lots/").partition(".")
            if writer.startswith("keyed"):
                idle = int(turn) < wall_ms(self._ctx.timers.utc_now()) // DAY_MS - 1
            elif writer == self._ctx.node:
                idle = int(turn) < self._lot_turn
            else:
                idle = self._ctx.membership.status(writer) in ("gone", "unknown")
            unread = tail.lengths.confirmed_at is None or tail.position < tail.lengths.durable
            if not idle or unread or self._lots_of.get(log, set()) - self._closed or self._owner(log) != self._ctx.node:
                continue
            try:
                h = self._ctx.replicated_log.leaseholders.get(log) or await self._ctx.replicated_log.acquire(log)
                if not h.final:
                    await h.append(
                        [LogRecord(ended=Ended(reason="done")).SerializeToString()], final=True, reserved=True
                    )
                await self._ctx.replicated_log.release([h])
                self._ctx.logger.info("lot_log_ended", log=log, lots=len(self._lots_of.get(log, ())))
                self._leave_log(log)
            except PipitlinkError as e:
                self._ctx.logger.debug("lot_log_kept", log=log, text=e)

    async def _follow(self, log: str):
        """One task for each lot log, reading it in order."""
        tail = self._tails[log]
        while not self._ctx.timers.stopped and self._tails.get(log) is tail:
            try:
                for at, body in await tail.read_records():
                    record = LogRecord.FromString(body)
                    if record.WhichOneof("of") == "lot":
                        lot_id = f"{log.removeprefix('lots/')}.{at}"
                        self._lots_of.setdefault(log, set()).add(lot_id)
                        self._known(lot_id, record.lot)
            except PipitlinkError as e:
                self._ctx.logger.failure("log_unread", e, log=log)
                await self._ctx.timers.sleep(secs(1))
            await tail.wait_for_growth()

"""Synthetic load for lightweight nodes: engine announcements, edits, and reads and writes of logs."""

from pipitlink.errors import PipitlinkError
from pipitlink.gateway.owner_selection import acquire_log
from pipitlink.timers import secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from pipitlink.wire.lots_pb2 import LogRecord, Result
from pipitlink.wire.membership_pb2 import EngineUpdate

__all__ = ["SyntheticLoad"]

HEARTBEAT_INTERVAL = secs(1)
ROWS_PER_EDIT = 1000
MAX_KEPT_DURATIONS = 1000
RESULTS_PER_APPEND = 100
MAX_ACQUIRE_DELAY = secs(5)


def _result(item: int) -> bytes:
    r = Result(item=item, outcome="done", text="x" * 800, engine="engine1", run="0123456789abcdef")
    return LogRecord(result=r).SerializeToString()


class SyntheticLoad:
    """A constant load on the nodes of one host."""

    def __init__(self, host):
        self._host = host
        self._edits: list[float] = []
        self._n = 0
        self._failed = 0
        self._bursting = 0
        self._held = 0

    def counters(self) -> dict:
        edits, self._edits = self._edits, []
        return {"edits": edits, "failed": self._failed, "bursting": self._bursting, "held": self._held}

    async def start(
        self, engines=(), rows: int = 0, changes: float = 0, tails=(), held=(), items: float = 0, burst: int = 0
    ):
        gateways = [n for n in self._host.nodes if n.role == "gateway"]
        for i, name in enumerate(engines):
            n = gateways[i % len(gateways)]
            n.ctx.timers.call_later(HEARTBEAT_INTERVAL * n.ctx.rng.random(), self._announce, n, name, 0)
        for n in gateways:
            for log in tails:
                n.ctx.cache.tail(log)
        for i, log in enumerate(held):
            spawn(self._write(gateways[i % len(gateways)], log, items / len(held)))
        if burst and gateways:
            self._bursting = 1
            spawn(self._burst(gateways[0], burst))
        for n in self._host.nodes:
            if n.role == "controller" and (rows or changes):
                spawn(self._edit_on(n, rows, changes))

    def _announce(self, n, name: str, times: int):
        """Announces an engine at a gateway each second."""
        n.part.engines.announce(
            EngineUpdate(
                engine=name,
                incarnation=1,
                address="127.0.0.1:65535",
                pool="models",
                models=["pipit-small"],
                capacity=8,
                zone=n.ctx.settings.zone,
                state="ready",
            )
        )
        n.ctx.timers.call_later(HEARTBEAT_INTERVAL, self._announce, n, name, times + 1)

    async def _write(self, n, log: str, rate: float):
        """Acquires a log, retrying until that succeeds, and appends results to it, which are also cached."""
        try:
            h = None
            while h is None:
                await n.ctx.timers.sleep(MAX_ACQUIRE_DELAY * n.ctx.rng.random())
                try:
                    h = await acquire_log(n.ctx, log)
                    self._held += 1
                except PipitlinkError as e:
                    self._count_failure(e)
            k = 0
            while rate and not h.lost:
                spawn(h.append([_result(k)])).addErrback(self._count_failure)
                k += 1
                await n.ctx.timers.sleep(secs(1 / rate))
        except PipitlinkError as e:
            self._count_failure(e)

    async def _burst(self, n, size: int):
        """Appends the results of a single batch, each group as soon as the previous one is durable."""
        try:
            h = await acquire_log(n.ctx, "results/lot")
            for at in range(0, size, RESULTS_PER_APPEND):
                await h.append([_result(k) for k in range(at, min(size, at + RESULTS_PER_APPEND))])
        except PipitlinkError as e:
            self._count_failure(e)
        self._bursting = 0

    def _count_failure(self, _):
        self._failed += 1

    async def _edit_on(self, n, rows: int, changes: float):
        """While this controller leads: first adds all rows, then edits one row at a time at a constant rate."""
        timers, done, due = n.ctx.timers, 0, None
        while True:
            await timers.sleep(secs(0.05))
            if n.part.consensus.role != "leader" or not n.part.consensus.cluster_state.placement_groups:
                continue
            if done < rows:
                end = min(rows, done + ROWS_PER_EDIT)
                puts = [Row(name=f"row{i}", model=f"model{i}", weight=1) for i in range(done, end)]
                if await self._edit(n, puts):
                    done += len(puts)
                continue
            if not changes:
                return
            due = due or timers.now()
            while changes and timers.now() >= due:
                due += secs(1 / changes)
                self._n += 1
                began = timers.now()
                if await self._edit(n, [Row(name="edited", model="edited", weight=self._n % 100 + 1)]):
                    self._edits = self._edits[-MAX_KEPT_DURATIONS:] + [(timers.now() - began).total_seconds()]

    async def _edit(self, n, puts) -> bool:
        try:
            e = TableEdit(base=n.part.consensus.cluster_state.table_sequence, upserts=puts)
            out = await n.part.state_delivery.edit(Command(edit=f"{n.ctx.node}{n.ctx.timers.now()}", table=e))
        except PipitlinkError as e:
            self._count_failure(e)
            return False
        return out.code == "done"

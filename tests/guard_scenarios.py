"""Each line of "What must never happen": simulated, and without its guard the failure shows."""

from pipitlink.cluster import ClusterFollower, ClusterState
from pipitlink.controller.log_replication import LogReplication
from pipitlink.errors import PipitlinkError
from pipitlink.gateway.batch_ids import result_log
from pipitlink.gateway.batch_ownership import BatchOwnership, CancelStatus
from pipitlink.gateway.engine_registry import EngineRegistry
from pipitlink.gateway.engine_slots import EngineSlots
from pipitlink.gateway.item_dispatcher import ItemDispatcher
from pipitlink.gateway.open_batches import OpenBatch
from pipitlink.gateway.request_record import RequestRecord
from pipitlink.gateway.result_reader import ResultReader
from pipitlink.gateway.retry_policy import RetryPolicy
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit, ZoneEdit
from testbed.checks.checker import check
from testbed.faults.disks import PowerLossDisk
from testbed.simulator.simulated_clients import SimulatedClients
from testbed.simulator.simulated_engine import SimulatedEngine
from testbed.simulator.simulated_gateway import SimulatedGateway
from testbed.simulator.simulation import Simulation


class Scenario:
    """A small fleet on injected timers, its customers, and what the checker says of them."""

    def __init__(self, test, engines=2, step=0.04, capacity=4):
        self.simulation = Simulation(7, controllers=3, storage_nodes=4, gateways=3, placement_groups=2)
        test.addCleanup(self.simulation.end)
        self.simulation.with_engines(SimulatedGateway, SimulatedEngine, engines)
        for e in self.simulation.engines.values():
            e.step, e.capacity = step, capacity
        self.simulation.start()
        self.simulation.ready()
        self.c = SimulatedClients(self.simulation)
        self.capacity = capacity
        self.simulation.run(9)

    def batch(self, items=8):
        return self.simulation.until(lambda: self.simulation.do(self.c.one_batch(items)), 10, "a lot is taken")

    def runs(self, prompt=""):
        return [n for n in self.simulation.notes if n["event"] == "run" and n["prompt"].startswith(prompt)]

    def owner(self, batch):
        return next(
            (
                a
                for a in self.simulation.role("gateway", alive=True)
                if result_log(batch) in a.ctx.replicated_log.leaseholders and a.part.open_batches.get(batch)
            ),
            None,
        )

    def close(self, batch):
        self.simulation.until(
            lambda: self.simulation.do(self.c.one_read(batch), 10)["state"] in ("done", "ended"), 60, "it is done"
        )

    def live(self, n=1, repeatable=False):
        for i in range(n):
            self.c._sent += 1
            self.simulation.do(self.c._one_live(f"live{self.c._sent}", repeatable), 10)

    def edit(self, command):
        return self.simulation.do(self.simulation.leader().part.state_delivery.edit(command), 10, "an edit")

    def bad(self):
        zones = {e.name: e.zone for e in self.simulation.engines.values()}
        return check(self.c.events, self.simulation.notes, zones, capacity=self.capacity)


def owner_killed(s):
    batch = s.batch(12)
    s.simulation.until(lambda: len(s.runs("lot")) >= 3, 20, "items run")
    s.owner(batch).kill()
    s.close(batch)


def owner_frozen(s):
    batch = s.batch(12)
    s.simulation.until(lambda: len(s.runs("lot")) >= 3, 20, "items run")
    owner = s.owner(batch)
    owner.freeze()
    s.simulation.run(7)
    owner.thaw()
    s.close(batch)
    for _ in range(6):
        s.simulation.do(s.c.one_read(batch))


def batch_ended(s):
    batch = s.batch(6)
    s.simulation.until(lambda: len(s.runs("lot")) >= 2, 20, "items run")
    got, _ = s.simulation.do(s.c._request(lambda part: part.batch_api.cancel_anywhere(batch), 9.0), 10)
    s.c.note("lot_ended", lot=batch, status=200, said={"state": got})
    s.simulation.run(34)
    s.close(batch)


def engine_leaves(s):
    s.simulation.engines["engine0"].leave()
    s.simulation.run(2.5)
    s.live(6)


def zone_emptied(s):
    zone = s.simulation.engines["engine0"].zone
    s.edit(Command(edit="z", zone=ZoneEdit(zone=zone, empty=True)))
    s.c.note("zone_edit", zone=zone, empty=True, status=200)
    s.simulation.run(5.5)
    s.live(8)


def cold_engine(s):
    for e in s.simulation.engines.values():
        e.crash()
    s.simulation.run(1.5)
    for e in s.simulation.engines.values():
        e.open()
    s.simulation.run(1.2)
    batch = s.batch(40)
    s.simulation.run(2)
    s.close(batch)


def cut_after_the_first_piece(s):
    for n in range(6):
        before = len(s.runs())
        box = []
        s.c._sent += 1
        spawn(s.c._one_live(f"live{s.c._sent}", True)).addBoth(box.append)
        s.simulation.until(lambda: len(s.runs()) > before or box, 10, "it runs")
        if box:
            continue
        s.simulation.run(0.1)
        e = s.simulation.engines[s.runs()[-1]["engine"]]
        e.crash()
        s.simulation.until(lambda: box, 10, "it is told")
        e.open()
        s.simulation.run(2)


def weight_zero(s):
    """An edit that only some gateways could follow: those that cannot prove theirs admit nothing."""
    s.simulation.cut(["gateway0"], [a for a in s.simulation.simulated_nodes if a != "gateway0"])
    s.edit(
        Command(
            edit="w",
            table=TableEdit(
                base=s.simulation.leader().part.consensus.cluster_state.table_sequence,
                upserts=[Row(name="m", model="m", weight=0)],
            ),
        )
    )
    s.c.note("gate", model="m", open=False, done=True)
    s.simulation.run(2.4)
    s.live(9)


def closing_power(s):
    batch = s.batch(4)
    s.close(batch)
    for a in s.simulation.role("storage") + s.simulation.role("controller"):
        a.disk._rng = type("Whole", (), {"randrange": lambda self, n: 0})()
        a.kill(power=True)
    s.simulation.run(1)
    for a in s.simulation.role("storage") + s.simulation.role("controller"):
        a.start()
    s.simulation.run(8)
    for a in s.simulation.role("gateway"):
        a.kill()
        a.start()
    s.simulation.run(6)
    s.simulation.ready()
    s.c.events[:] = [e for e in s.c.events if e["event"] != "table_read"]
    for _ in range(3):
        s.simulation.do(s.c.one_read(batch))


def gateway_cut_off(s):
    """A gateway is cut off from all others after it read a list; meanwhile the list grows for everybody else."""
    batch, gateways = s.batch(10), s.simulation.role("gateway")
    s.simulation.do(s.c.one_read(batch, gateways[0]))
    s.simulation.cut(["gateway0"], [a for a in s.simulation.simulated_nodes if a != "gateway0"])
    s.simulation.until(
        lambda: len(s.simulation.do(s.c.one_read(batch, gateways[1]), 10)["results"] or ()) > 3, 60, "it grows"
    )
    s.simulation.run(2)
    s.simulation.do(s.c.one_read(batch, gateways[0]), 10)
    s.c.note("hurt", id=1, nodes=["gateway0"], bearable=True)
    s.c.events[-1]["at"] = 0
    s.simulation.heal()
    s.close(batch)


def operators_race(s):
    """Two edits build on one sequence; then the leader is cut off, another takes an edit, and the old one is read."""
    old = s.simulation.leader()
    base = old.part.consensus.cluster_state.table_sequence

    def edit(part, name, base):
        asked = s.simulation.clock.seconds()
        out = s.simulation.do(
            part.state_delivery.edit(
                Command(edit=name, table=TableEdit(base=base, upserts=[Row(name="r", model=name)]))
            ),
            10,
        )
        good = out.code == "done"
        s.c.note(
            "edit",
            edit=name,
            row="r",
            value={"model": name},
            base=base,
            asked=asked,
            status=200 if good else 412,
            sequence=out.sequence if good else None,
            outcome=None if good else "not_run",
        )

    edit(old.part, "first", base)
    edit(old.part, "second", base)
    rest = [a for a in s.simulation.role("controller") if a is not old]
    s.simulation.cut([old.name], [a for a in s.simulation.simulated_nodes if a != old.name])
    new = s.simulation.until(
        lambda: next((a for a in rest if a.part.consensus.role == "leader"), None), 20, "another leads"
    )
    s.simulation.run(2)
    edit(new.part, "third", new.part.consensus.cluster_state.table_sequence)
    s.simulation.run(0.1)
    for a in (new, old):
        asked = s.simulation.clock.seconds()
        try:
            s.simulation.do(a.part.log_replication.confirm_leadership(), 10)
        except PipitlinkError:
            continue
        s.c.note(
            "table_read",
            sequence=a.part.consensus.cluster_state.table_sequence,
            asked=asked,
            rows={r.name: {"model": r.model} for r in a.part.consensus.cluster_state.rows.values()},
        )


async def _nothing(*_):
    pass


def _no_record(self, o, i, item):
    return _nothing()


async def _read_on(self, batch_id):
    """Reads what is here, and asks no storage node first."""
    r = self._results.get(batch_id)
    if r is None:
        return await _read_results(self, batch_id)
    await self.read_to(r, r.tail.lengths.durable)
    return r


_read_results = ResultReader.read_results


def _any_base(self, e, sequence):
    e.base = self.table_sequence
    return _apply_table(self, e, sequence)


_apply_table = ClusterState._apply_table


async def _end_and_run_on(self, batch_id):
    o = self._open_batches.get(batch_id)
    if o is None or o.leaseholder is None:
        return CancelStatus.CLOSED if self._open_batches.is_closed(batch_id) else CancelStatus.NOT_OWNED
    h = o.leaseholder
    await self._end_log(h, "ended")
    o.pending, self.kept = [], o
    return CancelStatus.CANCELLED


GUARDS = {
    "an item's start is durable before its call": (
        owner_killed,
        {},
        ItemDispatcher,
        "_record_start",
        _no_record,
        "may not be repeated",
    ),
    "a new owner lists what was started as unknown": (
        owner_frozen,
        {},
        ItemDispatcher,
        "_record_start",
        _no_record,
        "may not be repeated",
    ),
    "an ended lot's running items are stopped": (
        batch_ended,
        {"step": 2.0},
        BatchOwnership,
        "cancel_local_batch",
        _end_and_run_on,
        "an item ran on",
    ),
    "a leaving engine is not picked": (
        engine_leaves,
        {},
        EngineRegistry,
        "status",
        lambda self, e: "ready",
        "after it said it leaves",
    ),
    "an emptied zone's engines are no candidates": (
        zone_emptied,
        {},
        ClusterFollower,
        "zone_empty",
        lambda self, zone: False,
        "was emptied",
    ),
    "a cold engine is filled step by step": (
        cold_engine,
        {"capacity": 16},
        EngineSlots,
        "capacity",
        lambda self, e: e.update.capacity,
        "was cold and flooded",
    ),
    "no second try once a piece was shown": (
        cut_after_the_first_piece,
        {},
        RetryPolicy,
        "begin_retry",
        lambda self, ask: ask.state == "lost" and (ask.trigger("retry") or True),
        "not the engine's own",
    ),
    "what was sent is unknown until the end": (
        cut_after_the_first_piece,
        {},
        RequestRecord,
        "outcome",
        property(lambda self: "not_run"),
        "told not_run",
    ),
    "a gateway that cannot prove its cluster state admits nothing": (
        weight_zero,
        {},
        ClusterFollower,
        "ready",
        lambda self: True,
        "after its weight was 0",
    ),
    "nothing is acknowledged before it is synced": (
        closing_power,
        {},
        PowerLossDisk,
        "sync",
        lambda self, fd: None,
        "lot gateway",
    ),
    "a new owner learns what is in the log": (
        owner_killed,
        {},
        OpenBatch,
        "apply",
        lambda self, record: None,
        "may not be repeated",
    ),
    "a reader asks the storage nodes how far the list is": (
        gateway_cut_off,
        {"step": 0.1},
        ResultReader,
        "read_results",
        _read_on,
        "results were shown",
    ),
    "an edit takes effect only on the base that it states": (
        operators_race,
        {},
        ClusterState,
        "_apply_table",
        _any_base,
        "edits took effect on base",
    ),
    "a table is read only after a majority answered": (
        operators_race,
        {},
        LogReplication,
        "confirm_leadership",
        _nothing,
        "was acknowledged",
    ),
}

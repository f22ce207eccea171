"""Scenarios for the failures that must never happen.

For each guard, GUARDS holds a scenario, the options of its simulation, the class and the attribute that implement the
guard, a replacement that disables it, and a text in the violation that the checker must then report.
"""

from pipitlink.cluster import ClusterFollower, ClusterState
from pipitlink.controller.log_replication import LogReplication
from pipitlink.errors import PipitlinkError
from pipitlink.gateway.batch_ids import result_log
from pipitlink.gateway.batch_ownership import BatchOwnership, CancelResult
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
    """A small simulated cluster with clients, and the violations that the checker finds."""

    def __init__(self, test, engines=2, step=0.04, capacity=4):
        self.simulation = Simulation(7, controllers=3, storage_nodes=4, gateways=3, placement_groups=2)
        test.addCleanup(self.simulation.end)
        self.simulation.add_engines(SimulatedGateway, SimulatedEngine, engines)
        for engine in self.simulation.engines.values():
            engine.step, engine.capacity = step, capacity
        self.simulation.start()
        self.simulation.ready()
        self.clients = SimulatedClients(self.simulation)
        self.capacity = capacity
        self.simulation.run(9)

    def submit_batch(self, items=8):
        return self.simulation.until(
            lambda: self.simulation.do(self.clients.submit_batch(items)), 10, "a batch is accepted"
        )

    def engine_runs(self, prompt=""):
        return [n for n in self.simulation.notes if n["event"] == "run" and n["prompt"].startswith(prompt)]

    def owner(self, batch):
        return next(
            (
                node
                for node in self.simulation.role("gateway", alive=True)
                if result_log(batch) in node.ctx.replicated_log.leaseholders and node.part.open_batches.get(batch)
            ),
            None,
        )

    def wait_until_closed(self, batch):
        self.simulation.until(
            lambda: self.simulation.do(self.clients.read_results(batch), 10)["state"] in ("done", "ended"),
            60,
            "the batch is closed",
        )

    def send_live(self, n=1, repeatable=False):
        for i in range(n):
            self.clients._sent += 1
            self.simulation.do(self.clients._send_live_request(f"live{self.clients._sent}", repeatable), 10)

    def edit(self, command):
        return self.simulation.do(self.simulation.leader().part.state_delivery.edit(command), 10, "an edit")

    def violations(self):
        zones = {engine.name: engine.zone for engine in self.simulation.engines.values()}
        return check(self.clients.events, self.simulation.notes, zones, capacity=self.capacity)


def owner_killed(scenario):
    batch = scenario.submit_batch(12)
    scenario.simulation.until(lambda: len(scenario.engine_runs("lot")) >= 3, 20, "items are running")
    scenario.owner(batch).kill()
    scenario.wait_until_closed(batch)


def owner_frozen(scenario):
    batch = scenario.submit_batch(12)
    scenario.simulation.until(lambda: len(scenario.engine_runs("lot")) >= 3, 20, "items are running")
    owner = scenario.owner(batch)
    owner.freeze()
    scenario.simulation.run(7)
    owner.thaw()
    scenario.wait_until_closed(batch)
    for _ in range(6):
        scenario.simulation.do(scenario.clients.read_results(batch))


def batch_ended(scenario):
    batch = scenario.submit_batch(6)
    scenario.simulation.until(lambda: len(scenario.engine_runs("lot")) >= 2, 20, "items are running")
    state, _ = scenario.simulation.do(
        scenario.clients._request(lambda part: part.batch_api.cancel_anywhere(batch), 9.0), 10
    )
    scenario.clients.note("lot_ended", lot=batch, status=200, said={"state": state})
    scenario.simulation.run(34)
    scenario.wait_until_closed(batch)


def engine_leaves(scenario):
    scenario.simulation.engines["engine0"].leave()
    scenario.simulation.run(2.5)
    scenario.send_live(6)


def zone_emptied(scenario):
    zone = scenario.simulation.engines["engine0"].zone
    scenario.edit(Command(edit="z", zone=ZoneEdit(zone=zone, empty=True)))
    scenario.clients.note("zone_edit", zone=zone, empty=True, status=200)
    scenario.simulation.run(5.5)
    scenario.send_live(8)


def cold_engine(scenario):
    for engine in scenario.simulation.engines.values():
        engine.crash()
    scenario.simulation.run(1.5)
    for engine in scenario.simulation.engines.values():
        engine.open()
    scenario.simulation.run(1.2)
    batch = scenario.submit_batch(40)
    scenario.simulation.run(2)
    scenario.wait_until_closed(batch)


def cut_after_the_first_piece(scenario):
    for n in range(6):
        before = len(scenario.engine_runs())
        result = []
        scenario.clients._sent += 1
        spawn(scenario.clients._send_live_request(f"live{scenario.clients._sent}", True)).addBoth(result.append)
        scenario.simulation.until(
            lambda: len(scenario.engine_runs()) > before or result, 10, "the request runs or has ended"
        )
        if result:
            continue
        scenario.simulation.run(0.1)
        engine = scenario.simulation.engines[scenario.engine_runs()[-1]["engine"]]
        engine.crash()
        scenario.simulation.until(lambda: result, 10, "the request has ended")
        engine.open()
        scenario.simulation.run(2)


def weight_zero(scenario):
    """An edit reaches only some gateways: the others cannot confirm their cluster state and must admit nothing."""
    scenario.simulation.cut(["gateway0"], [node for node in scenario.simulation.simulated_nodes if node != "gateway0"])
    scenario.edit(
        Command(
            edit="w",
            table=TableEdit(
                base=scenario.simulation.leader().part.consensus.cluster_state.table_sequence,
                upserts=[Row(name="m", model="m", weight=0)],
            ),
        )
    )
    scenario.clients.note("gate", model="m", open=False, done=True)
    scenario.simulation.run(2.4)
    scenario.send_live(9)


def closing_power(scenario):
    batch = scenario.submit_batch(4)
    scenario.wait_until_closed(batch)
    for node in scenario.simulation.role("storage") + scenario.simulation.role("controller"):
        node.disk._rng = type("Whole", (), {"randrange": lambda self, n: 0})()
        node.kill(power=True)
    scenario.simulation.run(1)
    for node in scenario.simulation.role("storage") + scenario.simulation.role("controller"):
        node.start()
    scenario.simulation.run(8)
    for node in scenario.simulation.role("gateway"):
        node.kill()
        node.start()
    scenario.simulation.run(6)
    scenario.simulation.ready()
    scenario.clients.events[:] = [event for event in scenario.clients.events if event["event"] != "table_read"]
    for _ in range(3):
        scenario.simulation.do(scenario.clients.read_results(batch))


def gateway_cut_off(scenario):
    """A gateway is partitioned off after it read the results of a batch, while more results are added."""
    batch, gateways = scenario.submit_batch(10), scenario.simulation.role("gateway")
    scenario.simulation.do(scenario.clients.read_results(batch, gateways[0]))
    scenario.simulation.cut(["gateway0"], [node for node in scenario.simulation.simulated_nodes if node != "gateway0"])
    scenario.simulation.until(
        lambda: len(scenario.simulation.do(scenario.clients.read_results(batch, gateways[1]), 10)["results"] or ()) > 3,
        60,
        "more results are readable",
    )
    scenario.simulation.run(2)
    scenario.simulation.do(scenario.clients.read_results(batch, gateways[0]), 10)
    scenario.clients.note("hurt", id=1, nodes=["gateway0"], bearable=True)
    scenario.clients.events[-1]["at"] = 0
    scenario.simulation.heal()
    scenario.wait_until_closed(batch)


def operators_race(scenario):
    """Two edits state the same base; then the leader is partitioned off, another accepts an edit, and both are read."""
    old = scenario.simulation.leader()
    base = old.part.consensus.cluster_state.table_sequence

    def edit(part, name, base):
        asked_at = scenario.simulation.clock.seconds()
        result = scenario.simulation.do(
            part.state_delivery.edit(
                Command(edit=name, table=TableEdit(base=base, upserts=[Row(name="r", model=name)]))
            ),
            10,
        )
        accepted = result.code == "done"
        scenario.clients.note(
            "edit",
            edit=name,
            row="r",
            value={"model": name},
            base=base,
            asked=asked_at,
            status=200 if accepted else 412,
            sequence=result.sequence if accepted else None,
            outcome=None if accepted else "not_run",
        )

    edit(old.part, "first", base)
    edit(old.part, "second", base)
    rest = [node for node in scenario.simulation.role("controller") if node is not old]
    scenario.simulation.cut([old.name], [node for node in scenario.simulation.simulated_nodes if node != old.name])
    new = scenario.simulation.until(
        lambda: next((node for node in rest if node.part.consensus.role == "leader"), None),
        20,
        "another controller leads",
    )
    scenario.simulation.run(2)
    edit(new.part, "third", new.part.consensus.cluster_state.table_sequence)
    scenario.simulation.run(0.1)
    for node in (new, old):
        asked_at = scenario.simulation.clock.seconds()
        try:
            scenario.simulation.do(node.part.log_replication.confirm_leadership(), 10)
        except PipitlinkError:
            continue
        scenario.clients.note(
            "table_read",
            sequence=node.part.consensus.cluster_state.table_sequence,
            asked=asked_at,
            rows={row.name: {"model": row.model} for row in node.part.consensus.cluster_state.rows.values()},
        )


async def _do_nothing(*_):
    pass


def _record_nothing(self, batch, i, item):
    return _do_nothing()


async def _read_without_confirming(self, batch_id):
    """Reads the local results without first asking the storage nodes for the end of the log."""
    results = self._results.get(batch_id)
    if results is None:
        return await _read_results(self, batch_id)
    await self.read_to(results, results.tail.lengths.durable)
    return results


_read_results = ResultReader.read_results


def _accept_any_base(self, edit, sequence):
    edit.base = self.table_sequence
    return _apply_table(self, edit, sequence)


_apply_table = ClusterState._apply_table


async def _cancel_but_keep_running(self, batch_id):
    batch = self._open_batches.get(batch_id)
    if batch is None or batch.leaseholder is None:
        return CancelResult.ALREADY_ENDED if self._open_batches.is_closed(batch_id) else CancelResult.NOT_OWNED
    leaseholder = batch.leaseholder
    await self._end_log(leaseholder, "ended")
    batch.pending, self.kept_batch = [], batch
    return CancelResult.CANCELLED


GUARDS = {
    "the start of an item is durable before the item is sent": (
        owner_killed,
        {},
        ItemDispatcher,
        "_record_start",
        _record_nothing,
        "may not be repeated",
    ),
    "a new owner records started items as unknown": (
        owner_frozen,
        {},
        ItemDispatcher,
        "_record_start",
        _record_nothing,
        "may not be repeated",
    ),
    "the running items of a cancelled batch are stopped": (
        batch_ended,
        {"step": 2.0},
        BatchOwnership,
        "cancel_local_batch",
        _cancel_but_keep_running,
        "an item ran on",
    ),
    "a leaving engine gets no new requests": (
        engine_leaves,
        {},
        EngineRegistry,
        "status",
        lambda self, engine: "ready",
        "after it said it leaves",
    ),
    "engines in an emptied zone are no candidates": (
        zone_emptied,
        {},
        ClusterFollower,
        "zone_empty",
        lambda self, zone: False,
        "was emptied",
    ),
    "a new engine gets a slow start": (
        cold_engine,
        {"capacity": 16},
        EngineSlots,
        "capacity",
        lambda self, engine: engine.update.capacity,
        "was cold and flooded",
    ),
    "a request is not retried after a chunk was sent to the client": (
        cut_after_the_first_piece,
        {},
        RetryPolicy,
        "begin_retry",
        lambda self, ask: ask.state == "lost" and (ask.trigger("retry") or True),
        "not the engine's own",
    ),
    "the outcome of a request that was sent is unknown until its end": (
        cut_after_the_first_piece,
        {},
        RequestRecord,
        "outcome",
        property(lambda self: "not_run"),
        "told not_run",
    ),
    "a gateway that cannot confirm its cluster state admits nothing": (
        weight_zero,
        {},
        ClusterFollower,
        "ready",
        lambda self: True,
        "after its weight was 0",
    ),
    "writes are synced to disk before they are acknowledged": (
        closing_power,
        {},
        PowerLossDisk,
        "sync",
        lambda self, fd: None,
        "lot gateway",
    ),
    "a new owner replays the result log": (
        owner_killed,
        {},
        OpenBatch,
        "apply",
        lambda self, record: None,
        "may not be repeated",
    ),
    "a reader asks the storage nodes for the end of the result log": (
        gateway_cut_off,
        {"step": 0.1},
        ResultReader,
        "read_results",
        _read_without_confirming,
        "results were shown",
    ),
    "an edit is applied only to the base that it states": (
        operators_race,
        {},
        ClusterState,
        "_apply_table",
        _accept_any_base,
        "edits took effect on base",
    ),
    "the table is read only after a majority confirmed the leader": (
        operators_race,
        {},
        LogReplication,
        "confirm_leadership",
        _do_nothing,
        "was acknowledged",
    ),
}

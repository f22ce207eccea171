"""Writes the data folders of a small simulated cluster, and a list of their contents, for tests of later releases.

Usage: python -m tests.stored_data FOLDER
"""

import json
import shutil
import sys
from pathlib import Path
from unittest import mock

from pipitlink import segments
from pipitlink.controller import durable_log
from pipitlink.disk import encode_frame
from pipitlink.storage import node_id, retention
from pipitlink.wire.cluster_pb2 import Bounds, Command, ConfigEdit, Pool, PoolShare, Route, Row, TableEdit, ZoneEdit
from testbed.simulator.simulation import Simulation

from .stored_state import CLUSTER_NAME, read_controller, read_peers, read_storage_node

__all__ = ["write"]

SEED = 20
RETENTION_S = 20
SMALL_SEGMENT_BYTES = 2000
SMALL_COMPACTION_ENTRIES = 20
SMALL_RETAINED_ENTRIES = 5
SMALL_TOMBSTONE_RETENTION_MS = 20_000
DELETED, TRIMMED, FINAL, LIVE = "results/forgotten", "results/trimmed", "results/final", "results/live"
ACQUIRED = "results/promised"


class _Writer:
    """Makes operators' edits and gateways' appends in a simulated cluster."""

    def __init__(self, simulation: Simulation):
        self._simulation = simulation
        self._edits = 0
        self.log_bytes: dict[str, bytes] = {}

    def edit(self, **command):
        self._edits += 1
        work = self._simulation.leader().part.state_delivery.edit(Command(edit=f"edit{self._edits}", **command))
        outcome = self._simulation.do(work)
        assert outcome.code == "done", outcome

    def put_row(self, name: str, model: str, weight: float):
        base = self._simulation.leader().part.consensus.cluster_state.table_sequence
        self.edit(table=TableEdit(base=base, upserts=[Row(name=name, model=model, pool="models", weight=weight)]))

    def drop_row(self, name: str):
        self.edit(
            table=TableEdit(
                base=self._simulation.leader().part.consensus.cluster_state.table_sequence, removed_rows=[name]
            )
        )

    def put_routes(self, base: int, version: int):
        route = Route(
            name="forms",
            host="h.example",
            prefix=f"/forms/{version}/",
            kind="idempotent",
            deadline_ms=2000,
            max_attempts=2,
        )
        route.shares.extend([PoolShare(pool="models", share=0.75), PoolShare(pool="cards", share=0.25)])
        pools = [Pool(name="models", health_path="/health", max_connections=8), Pool(name="cards", health_path="/up")]
        bounds = Bounds(max_header_bytes=8192, idle_timeout_ms=3000)
        self.edit(
            config=ConfigEdit(base=base, version=version, replace_all=True, routes=[route], pools=pools, bounds=bounds)
        )

    def append(self, log: str, records: list[bytes], final: bool = False, gateway: int = 0):
        replicated_log = self._simulation.role("gateway")[gateway].ctx.replicated_log
        leaseholder = replicated_log.leaseholders.get(log) or self._simulation.do(replicated_log.acquire(log))
        self._simulation.do(leaseholder.append(records, final=final))
        self.log_bytes[log] = self.log_bytes.get(log, b"") + b"".join(encode_frame(record) for record in records)

    def acquire(self, log: str, gateway: int = 0):
        self._simulation.do(self._simulation.role("gateway")[gateway].ctx.replicated_log.acquire(log))

    def release_all(self, gateway: int = 0):
        replicated_log = self._simulation.role("gateway")[gateway].ctx.replicated_log
        self._simulation.do(replicated_log.release(list(replicated_log.leaseholders.values())))


def _records(log: str, count: int) -> list[bytes]:
    return [f"{log} record {n} ".encode() * 6 for n in range(count)]


def _start_simulation() -> Simulation:
    settings = {"retention_s": RETENTION_S}
    simulation = Simulation(SEED, controllers=3, storage_nodes=3, gateways=2, placement_groups=2, settings=settings)
    for simulated_node in (*simulation.role("controller"), *simulation.role("storage")):
        (simulated_node.folder / "id").parent.mkdir()
        (simulated_node.folder / "id").write_text(node_id(simulated_node.folder, CLUSTER_NAME))
    simulation.start()
    simulation.ready()
    return simulation


def _run_scenario(simulation: Simulation, writer: _Writer):
    """Makes edits under two leaders, and creates a deleted, a trimmed, a final, a live and an acquired, empty log."""
    writer.append(DELETED, _records(DELETED, 3), final=True)
    for n in range(30):
        writer.put_row(f"row{n % 6}", f"model{n}", 1 + n / 4)
    writer.put_routes(base=0, version=3)
    simulation.run(RETENTION_S)
    writer.append(TRIMMED, _records(TRIMMED, 12), final=True)
    simulation.run(RETENTION_S + 10)
    _change_leader(simulation)
    writer.put_routes(base=3, version=7)
    writer.edit(zone=ZoneEdit(zone="zone-c", empty=True))
    writer.drop_row("row5")
    writer.put_row("late", "model-late", 0.5)
    writer.append(FINAL, _records(FINAL, 9), final=True)
    writer.append(LIVE, _records(LIVE, 4))
    writer.release_all()
    writer.append(LIVE, _records("second writer", 5), gateway=1)
    writer.acquire(ACQUIRED)
    simulation.run(2)


def _change_leader(simulation: Simulation):
    old = simulation.leader()
    old.kill(power=True)
    simulation.until(lambda: simulation.leader() not in (None, old), 15, "another controller is the leader")
    old.start()
    simulation.ready()
    simulation.run(2)


def _contents(folder: Path, log_bytes: dict[str, bytes]) -> dict:
    def folders_of(role):
        return sorted(path for path in folder.iterdir() if path.name.startswith(role))

    return {
        "controllers": {path.name: read_controller(path) for path in folders_of("controller")},
        "storage_nodes": {path.name: read_storage_node(path) for path in folders_of("storage")},
        "peers": {path.name: read_peers(path) for path in (*folders_of("controller"), *folders_of("storage"))},
        "log_bytes": {log: data.hex() for log, data in log_bytes.items()},
    }


def write(folder: Path):
    """Writes the data folders of the controllers and storage nodes, and their contents to `contents.json`."""
    with (
        mock.patch.object(segments, "MAX_SEGMENT_BYTES", SMALL_SEGMENT_BYTES),
        mock.patch.object(durable_log, "COMPACTION_ENTRIES", SMALL_COMPACTION_ENTRIES),
        mock.patch.object(durable_log, "RETAINED_ENTRIES", SMALL_RETAINED_ENTRIES),
        mock.patch.object(retention, "TOMBSTONE_RETENTION_MS", SMALL_TOMBSTONE_RETENTION_MS),
    ):
        simulation = _start_simulation()
        try:
            writer = _Writer(simulation)
            _run_scenario(simulation, writer)
            for simulated_node in (*simulation.role("controller"), *simulation.role("storage")):
                simulated_node.kill()
                shutil.copytree(simulated_node.folder, folder / simulated_node.name)
        finally:
            simulation.end()
    (folder / "contents.json").write_text(json.dumps(_contents(folder, writer.log_bytes), indent=1) + "\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]))

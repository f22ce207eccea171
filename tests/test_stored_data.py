"""Data folders of an earlier release are opened, compared with their recorded contents, and used by a cluster."""

import json
import shutil
import tempfile
import unittest
from pathlib import Path

from pipitlink.disk import encode_frame
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

from . import stored_data
from .stored_state import read_controller, read_peers, read_state, read_storage_node

STORED = Path(__file__).resolve().parent / "data" / "stored"
CONTENTS = json.loads((STORED / "contents.json").read_text())
LIVE, FINAL, TRIMMED, ACQUIRED = "results/live", "results/final", "results/trimmed", "results/promised"
LEASE_EXPIRED_S = 5
"""After a restart, a storage node grants no lease of a log with an epoch until earlier leases have expired."""

SEED = 31


def _copy_of_stored(case: unittest.TestCase) -> Path:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return Path(shutil.copytree(STORED, Path(folder.name) / "stored"))


class Opened(unittest.TestCase):
    def setUp(self):
        self.folder = _copy_of_stored(self)

    def test_a_controller_reads_its_vote_snapshot_entries_voters_and_state(self):
        for name, written in CONTENTS["controllers"].items():
            with self.subTest(name):
                self.assertTrue(written["entries"])
                self.assertEqual(read_controller(self.folder / name), written)

    def test_a_storage_node_reads_epochs_lengths_final_flags_and_bytes(self):
        for name, written in CONTENTS["storage_nodes"].items():
            with self.subTest(name):
                self.assertEqual(read_storage_node(self.folder / name), written)
                self.assertEqual(set(written["logs"]), {LIVE, FINAL, TRIMMED, ACQUIRED})

    def test_opening_a_folder_twice_reads_the_same_contents(self):
        """Opening runs the recovery, which must not change the contents."""
        for _ in range(2):
            self.assertEqual(read_controller(self.folder / "controller0"), CONTENTS["controllers"]["controller0"])
            self.assertEqual(read_storage_node(self.folder / "storage0"), CONTENTS["storage_nodes"]["storage0"])

    def test_the_known_peers_are_read(self):
        for name, written in CONTENTS["peers"].items():
            self.assertEqual(read_peers(self.folder / name), written, name)


class Started(unittest.TestCase):
    """A simulated cluster on copies of the folders; nodes have no seeds and read their peers from `colleagues.json`."""

    def setUp(self):
        folder = _copy_of_stored(self)
        self.simulation = Simulation(SEED, controllers=3, storage_nodes=3, gateways=2, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.stateful_nodes = (*self.simulation.role("controller"), *self.simulation.role("storage"))
        for node in self.stateful_nodes:
            shutil.copytree(folder / node.name, node.folder)
        seeds, self.simulation.seeds, self.simulation.founders = self.simulation.seeds, (), ()
        for node in self.stateful_nodes:
            node.start()
        self.simulation.until(self.simulation.leader, 5, "a leader is elected without seeds")
        self.simulation.seeds = seeds
        for node in self.simulation.role("gateway"):
            node.start()
        self.simulation.ready()
        self.simulation.run(LEASE_EXPIRED_S)

    def replicated_log(self, gateway=0):
        return self.simulation.role("gateway")[gateway].ctx.replicated_log

    def read(self, log: str) -> tuple[bytes, bool]:
        state = self.simulation.do(self.replicated_log().states([log]))[log]
        read = self.replicated_log().read(log, 0, state.committed, state.committed_epoch)
        return self.simulation.do(read), state.final

    def restart(self):
        for node in self.stateful_nodes:
            node.kill(power=True)
        self.simulation.run(1)
        for node in self.stateful_nodes:
            node.start()
        self.simulation.ready()
        self.simulation.run(LEASE_EXPIRED_S)

    def put_row(self, name: str):
        leader = self.simulation.leader().part
        edit = TableEdit(
            base=leader.consensus.cluster_state.table_sequence,
            upserts=[Row(name=name, model="new-model", pool="models")],
        )
        outcome = self.simulation.do(leader.state_delivery.edit(Command(edit=f"edit-{name}", table=edit)))
        self.assertEqual(outcome.code, "done")
        self.simulation.run(1)  # until the followers have applied it

    def states(self):
        nodes = (*self.simulation.role("controller"), *self.simulation.role("gateway"))
        return [
            read_state(
                node.part.consensus.cluster_state if node.role == "controller" else node.ctx.cluster.cluster_state
            )
            for node in nodes
        ]

    def assert_tables(self, new_rows=()):
        written = CONTENTS["controllers"]["controller0"]["state"]
        rows = {**written["rows"], **{name: ["new-model", "models", 0.0] for name in new_rows}}
        for state in self.states():
            self.assertEqual(state["rows"], rows)
            for part in ("routes", "config_version", "pools", "empty_zones", "voters", "storage_nodes"):
                self.assertEqual(state[part], written[part], part)

    def test_a_leader_is_elected_in_a_higher_term_and_all_nodes_have_the_stored_tables(self):
        self.assert_tables()
        leader = self.simulation.leader()
        self.assertGreater(leader.part.consensus.term, max(c["term"] for c in CONTENTS["controllers"].values()))
        self.assertEqual(
            {node.node for node in self.stateful_nodes},
            {contents["node"] for part in ("controllers", "storage_nodes") for contents in CONTENTS[part].values()},
        )

    def test_the_stored_logs_can_be_acquired_and_read(self):
        for log, final in ((LIVE, False), (FINAL, True)):
            leaseholder = self.simulation.do(self.replicated_log().acquire(log))
            data = bytes.fromhex(CONTENTS["log_bytes"][log])
            self.assertEqual((bytes(leaseholder.data), leaseholder.final), (data, final), log)
            self.assertEqual(self.read(log), (data, final), log)
        state = self.simulation.do(self.replicated_log().states([TRIMMED]))[TRIMMED]
        self.assertEqual((state.length, state.final), (0, True))

    def test_new_edits_and_appends_survive_a_restart(self):
        self.put_row("new1")
        epochs = {}
        for log in (LIVE, ACQUIRED):
            leaseholder = self.simulation.do(self.replicated_log().acquire(log))
            self.simulation.do(leaseholder.append([b"of a later release"]))
            epochs[log] = leaseholder.epoch
        for log, epoch in epochs.items():
            stored = max(contents["logs"][log]["epoch"] for contents in CONTENTS["storage_nodes"].values())
            self.assertGreater(epoch, stored, f"{log}: the new epoch is above all epochs granted before")
        self.restart()
        self.put_row("new2")
        self.assert_tables(("new1", "new2"))
        before = bytes.fromhex(CONTENTS["log_bytes"][LIVE])
        self.assertEqual(self.read(LIVE), (before + encode_frame(b"of a later release"), False))
        self.assertEqual(self.read(ACQUIRED), (encode_frame(b"of a later release"), False))

    def test_a_controller_that_lost_its_disk_receives_a_snapshot_and_recovers_from_it(self):
        lost = next(node for node in self.simulation.role("controller") if node is not self.simulation.leader())
        lost.kill()
        lost.wipe()
        self.simulation.run(1)
        self.simulation.seeds = tuple(
            f"{node.address[0]}:{node.address[1]}" for node in self.simulation.role("controller") if node is not lost
        )
        lost.start()
        rows = CONTENTS["controllers"]["controller0"]["state"]["rows"]
        self.simulation.until(
            lambda: read_state(lost.part.consensus.cluster_state)["rows"] == rows,
            20,
            "the controller has the stored rows",
        )
        lost.kill(power=True)
        self.assertEqual(read_controller(lost.folder)["state"]["rows"], rows)
        lost.start()
        self.put_row("new1")
        self.simulation.until(
            lambda: "new1" in read_state(lost.part.consensus.cluster_state)["rows"],
            10,
            "the controller has the new row",
        )


class Written(unittest.TestCase):
    def test_the_current_code_writes_folders_with_the_same_tables_and_logs(self):
        """The same edits and appends must give the same tables and log bytes; the files themselves may differ."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        stored_data.write(Path(folder.name))
        contents = json.loads((Path(folder.name) / "contents.json").read_text())
        self.assertEqual(contents["log_bytes"], CONTENTS["log_bytes"])
        for name, written in CONTENTS["controllers"].items():
            for part in ("rows", "routes", "pools", "empty_zones", "config_version"):
                self.assertEqual(contents["controllers"][name]["state"][part], written["state"][part])
        for name, written in CONTENTS["storage_nodes"].items():
            read = contents["storage_nodes"][name]["logs"]
            for log, expected in written["logs"].items():
                self.assertEqual((read[log]["bytes"], read[log]["final"]), (expected["bytes"], expected["final"]), log)


if __name__ == "__main__":
    unittest.main()

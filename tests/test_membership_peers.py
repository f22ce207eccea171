"""The file of known peers is written beside the event loop, however many members change at once."""

import json
import unittest
import unittest.mock

from testbed.simulator.simulation import Simulation


class KnownPeers(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(3, controllers=3, storage_nodes=3, gateways=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(3)
        self.simulated_node = self.simulation.role("controller")[1]

    def test_many_changes_at_once_wait_for_no_disk_and_are_one_write(self):
        membership, written = self.simulated_node.ctx.membership, []

        def write(path, data):
            if path == membership.peer_store.path:
                written.append(data)

        with unittest.mock.patch("pipitlink.membership.peer_store.replace_file", write):
            for peer in list(membership.table.peers.values()):
                peer.transition("suspect", self.simulated_node.ctx.timers.now())
                membership.table.peer_changed(peer)
            self.assertEqual(written, [])
            self.simulation.run(0.001, step=0.001)
        self.assertEqual(written, [b"[]"])

    def test_what_is_written_last_is_what_is_known(self):
        others = [a for a in self.simulation.simulated_nodes.values() if a is not self.simulated_node]
        others[0].kill()
        self.simulation.run(5)
        path = self.simulated_node.ctx.membership.peer_store.path
        self.assertEqual({tuple(p) for p in json.loads(path.read_text())}, {a.address for a in others[1:]})

"""The peer store writes its file in a thread, once for many changes at the same time."""

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

    def test_many_changes_at_once_do_not_block_and_cause_one_write(self):
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

    def test_the_file_contains_the_current_live_peers(self):
        others = [member for member in self.simulation.simulated_nodes.values() if member is not self.simulated_node]
        others[0].kill()
        self.simulation.run(5)
        path = self.simulated_node.ctx.membership.peer_store.path
        self.assertEqual(
            {tuple(address) for address in json.loads(path.read_text())}, {member.address for member in others[1:]}
        )

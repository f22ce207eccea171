"""The file of known peers is written beside the event loop, however many members change at once."""

import json
import unittest
import unittest.mock

from testbed.simulator.simulation import Stage


class KnownPeers(unittest.TestCase):
    def setUp(self):
        self.stage = Stage(3, controllers=3, storage_nodes=3, gateways=2)
        self.addCleanup(self.stage.end)
        self.stage.start()
        self.stage.ready()
        self.stage.run(3)
        self.actor = self.stage.role("controller")[1]

    def test_many_changes_at_once_wait_for_no_disk_and_are_one_write(self):
        membership, written = self.actor.ctx.membership, []

        def write(path, data):
            if path == membership.peer_store.path:
                written.append(data)

        with unittest.mock.patch("pipitlink.membership.peer_store.replace_file", write):
            for peer in list(membership.table.peers.values()):
                peer.transition("suspect", self.actor.ctx.timers.now())
                membership.table.peer_changed(peer)
            self.assertEqual(written, [])
            self.stage.run(0.001, step=0.001)
        self.assertEqual(written, [b"[]"])

    def test_what_is_written_last_is_what_is_known(self):
        others = [a for a in self.stage.actors.values() if a is not self.actor]
        others[0].kill()
        self.stage.run(5)
        path = self.actor.ctx.membership.peer_store.path
        self.assertEqual({tuple(p) for p in json.loads(path.read_text())}, {a.place for a in others[1:]})

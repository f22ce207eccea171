"""A short soak of a small cluster of processes: two faults at a time and a final one, judged by the checker."""

import socket
import unittest

from pipitlink.wire.frame_pb2 import Hello
from testbed.benchmarks.soak import Soak
from testbed.processes.process_cluster import ProcessCluster

FAULTS = (
    "kill_leader",
    "kill_gateway",
    "power_storage_node",
    "power_controller",
    "freeze_gateway",
    "controllers_away",
    "zone_cut",
    "engine_leaving",
    "engine_vanish",
    "engine_broken",
    "end_lot",
    "two_editors",
    "table_grows",
)


class FaultsOnRealProcesses(unittest.TestCase):
    def test_short_soak_has_no_violations(self):
        self.assertEqual(Soak("small", 4, 0.5, faults=FAULTS, quiet=4, floors=False).run(), 0)

    def test_peer_of_another_cluster_or_with_an_invalid_hello_is_refused(self):
        cluster = ProcessCluster(gateways=1, storage_nodes=3, controllers=3, engines=0, cards=0)
        self.addCleanup(cluster.stop)
        cluster.start()
        for hello in (
            Hello(fleet="other", protocol_version=1, node="x").SerializeToString(),
            Hello(fleet="pipit", protocol_version=9, node="x").SerializeToString(),
            b"\xff" * 40,
        ):
            with socket.create_connection(("127.0.0.1", cluster.programs["storage0"].ports[0]), timeout=5) as c:
                c.sendall(len(hello).to_bytes(4, "big") + hello)
                data = b""
                try:
                    while more := c.recv(4096):
                        data += more
                except ConnectionResetError:
                    pass
                self.assertLess(len(data), 200)
        self.assertEqual(cluster.call("gateway0", "GET", "/v1/ready")[0], 200)

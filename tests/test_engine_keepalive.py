"""TCP keepalive on the connections to engines."""

import socket
import unittest
from types import SimpleNamespace

from twisted.internet import tcp

from pipitlink.gateway.checked_connection import CheckedConnectionPool, CheckedEndpoint
from pipitlink.keepalive import IDLE_TIME, MAX_PROBES, PROBE_INTERVAL
from pipitlink.router.engine_connection import EngineConnection


class EngineKeepalive(unittest.TestCase):
    def test_a_connection_to_an_engine_is_probed_while_it_is_idle(self):
        """Guards against attempts that wait on a connection which the engine has reset behind a cut."""
        client = self.connected_socket()
        connection = EngineConnection(None, "127.0.0.1:80")
        connection.makeConnection(tcp.Connection(client, connection))
        self.assert_probed(client)

    def test_a_connection_of_the_models_interface_is_probed_while_it_is_idle(self):
        client = self.connected_socket()
        connection = SimpleNamespace(transport=tcp.Connection(client, None))
        pool = CheckedConnectionPool(SimpleNamespace())
        self.assertIs(pool._check(connection, CheckedEndpoint(None, lambda: None)), connection)
        self.assert_probed(client)

    def connected_socket(self):
        listener = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        self.addCleanup(listener.close)
        self.addCleanup(client.close)
        return client

    def assert_probed(self, client):
        self.assertTrue(client.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        options = [socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT]
        values = [client.getsockopt(socket.IPPROTO_TCP, option) for option in options]
        self.assertEqual(values, [IDLE_TIME.total_seconds(), PROBE_INTERVAL.total_seconds(), MAX_PROBES])


if __name__ == "__main__":
    unittest.main()

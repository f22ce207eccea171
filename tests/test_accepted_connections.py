"""The connections that other nodes have opened, and which of them give way when there are too many."""

import unittest
from datetime import timedelta

import attrs

from pipitlink.wire.accepted_connections import AcceptedConnections

MAX_CONNECTIONS = 4
MAX_CLOSING = 2


@attrs.define(eq=False)
class _Connection:
    """A connection that notes whether it was aborted."""

    is_identified: bool = True
    is_used: bool = True
    received_at_s: int = 0
    is_aborted: bool = False

    transport = True

    @property
    def last_received_at(self):
        return timedelta(seconds=self.received_at_s)

    @property
    def tcp(self):
        return self

    def abortConnection(self):
        self.is_aborted = True


class Accepted(unittest.TestCase):
    def setUp(self):
        self.accepted = AcceptedConnections(MAX_CONNECTIONS, MAX_CLOSING)

    def add(self, *connections):
        for connection in connections:
            self.accepted.add(connection)

    def test_a_peer_that_calls_outlasts_a_crowd_that_only_says_hello(self):
        peer = _Connection(received_at_s=1)
        self.add(peer)
        for second in range(2, 100):
            self.add(_Connection(is_used=False, received_at_s=second))
            for other in self.accepted:
                if other.is_aborted:
                    self.accepted.remove(other)
        self.assertFalse(peer.is_aborted)
        self.assertIn(peer, self.accepted)
        self.assertEqual(len(list(self.accepted)), MAX_CONNECTIONS)

    def test_those_that_have_not_said_who_they_are_give_way_first(self):
        identified, unidentified = _Connection(is_used=False), _Connection(False, False, received_at_s=9)
        self.add(identified, unidentified, _Connection(), _Connection(), _Connection())
        self.assertEqual((identified.is_aborted, unidentified.is_aborted), (False, True))

    def test_among_peers_the_one_that_was_silent_longest_gives_way(self):
        peers = [_Connection(received_at_s=second) for second in (5, 3, 4, 6)]
        self.add(*peers, _Connection(received_at_s=7))
        self.assertEqual([peer.is_aborted for peer in peers], [False, True, False, False])

    def test_those_that_are_not_closed_yet_bound_what_is_accepted(self):
        connections = [_Connection() for _ in range(MAX_CONNECTIONS + MAX_CLOSING)]
        self.add(*connections)
        self.assertFalse(self.accepted.may_add())
        self.accepted.remove(connections[0])
        self.assertTrue(self.accepted.may_add())

    def test_only_a_connection_without_a_hello_ends_at_its_timeout(self):
        for is_identified in (False, True):
            connection = _Connection(is_identified, is_used=False)
            self.add(connection)
            self.accepted.drop_unidentified(connection)
            self.assertEqual(connection.is_aborted, not is_identified)


if __name__ == "__main__":
    unittest.main()

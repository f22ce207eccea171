"""Crowds at the port for other nodes that name the right cluster, with lowered limits."""

import itertools
import struct
import unittest

from pipitlink.wire.connection import PROTOCOL_VERSION
from pipitlink.wire.frame_pb2 import Hello
from testbed.deployment.abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from tests.abuse_scenario import BYTES_PER_MB, AbuseCase

CLUSTER_NAME = "pipit"
FRAME_BYTES = 8 * BYTES_PER_MB
FRAME_CLIENTS = 20
FEW_DESCRIPTORS = 700

_numbers = itertools.count(1)


def framed(data, length=None):
    return struct.pack("!I", len(data) if length is None else length) + data


def hello_frame():
    """Returns the first frame of a node that nobody knows."""
    node = f"unknown{next(_numbers)}"
    hello = Hello(fleet=CLUSTER_NAME, protocol_version=PROTOCOL_VERSION, node=node, incarnation=1)
    return framed(hello.SerializeToString())


class InternalPort(AbuseCase):
    """Nodes that nobody knows, which name the right cluster."""

    def test_frames_that_stop_short_of_their_end(self):
        async def abuse(scenario):
            frame = framed(b"f" * (FRAME_BYTES - 1), FRAME_BYTES)
            clients = [
                AbusiveClient(
                    AbuseKind.RAW_INPUT, AbuseTarget(machine.internal_address, "", "", {}, hello_frame() + frame)
                )
                for machine in (scenario.gateway, scenario.controller, scenario.storage)
                for _ in range(FRAME_CLIENTS)
            ]
            await scenario.abuse_all(clients)

        self.play(abuse)

    def test_connections_to_the_internal_port_of_each_role(self):
        async def abuse(scenario):
            clients = [
                AbusiveClient(AbuseKind.RAW_INPUT, AbuseTarget(machine.internal_address, "", "", {}, hello_frame()))
                for machine in (scenario.gateway, scenario.controller, scenario.storage)
                for _ in range(1000)
            ]
            await scenario.abuse_all(clients)

        self.play(abuse, max_fds=FEW_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()

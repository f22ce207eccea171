"""Crowds at the port for other nodes that name the right cluster, with lowered limits."""

import itertools
import unittest
import zlib

from pipitlink.wire.frame_pb2 import Frame
from testbed.deployment.abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from testbed.deployment.abusive_input import framed, hello_frame
from tests.abuse_scenario import BYTES_PER_MB, AbuseCase

FRAME_BYTES = 8 * BYTES_PER_MB
FRAME_CLIENTS = 20
DECOMPRESSED_BYTES = 90 * BYTES_PER_MB
IDLE_CLIENTS = 1000
FEW_DESCRIPTORS = 700

_numbers = itertools.count(1)


class InternalPort(AbuseCase):
    """Nodes that nobody knows, which name the right cluster."""

    def abuse_roles(self, count, input_after_hello, **fields):
        """Lets clients send something to the port of each role."""

        async def abuse(scenario):
            machines = (scenario.gateway, scenario.controller, scenario.storage)
            clients = [self.client(machine, input_after_hello) for machine in machines for _ in range(count)]
            await scenario.abuse_all(clients)

        self.play(abuse, **fields)

    def client(self, machine, input_after_hello):
        hello = hello_frame(f"unknown{next(_numbers)}")
        target = AbuseTarget(machine.internal_address, "", "", {}, hello + input_after_hello)
        return AbusiveClient(AbuseKind.RAW_INPUT, target)

    def test_frames_that_stop_short_of_their_end(self):
        self.abuse_roles(FRAME_CLIENTS, framed(b"f" * (FRAME_BYTES - 1), FRAME_BYTES))

    def test_compressed_frames_that_are_large_once_decompressed(self):
        body = zlib.compress(bytes(DECOMPRESSED_BYTES))
        frame = Frame(call_id=1, method="unknown", body=body, compressed=True)
        self.abuse_roles(3, framed(frame.SerializeToString()))

    def test_connections_to_the_internal_port_of_each_role(self):
        self.abuse_roles(IDLE_CLIENTS, b"", max_fds=FEW_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()

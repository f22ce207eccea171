"""What a gateway does after a malformed response, on a simulated clock, with its bytes arriving one by one."""

import unittest
from unittest import mock

from pipitlink.gateway.request_record import RequestKind
from pipitlink.response_validator import ResponseValidator
from testbed.standins.response_cases import (
    MALFORMED_CHUNKS,
    MALFORMED_HEADS,
    REFUSED_STATUSES,
    SOUND,
    malformed_refusal,
)

from .router_builders import RouterHarness, route
from .test_first_byte import PipelineGateway

MUTATING = route("o", "/once/", kind="mutating")
IDEMPOTENT = route("f", "/f/", kind="idempotent", max_attempts=2)
REFUSALS = tuple(malformed_refusal(status, "X-Not-Executed") for status in REFUSED_STATUSES)
HEADS = (*MALFORMED_HEADS, *REFUSALS)
FIELDS = {"X-Request-Id": "c1", "X-Engine-Seal": "s1"}
BODY = b"a whole body"


def send_bytewise(receive, data: bytes):
    for at in range(len(data)):
        receive(data[at : at + 1])


class CallsByRoute(unittest.TestCase):
    def send(self, path):
        self.harness = RouterHarness([MUTATING, IDEMPOTENT])
        self.harness.announce_engine("e1")
        client = self.harness.send_request(path)
        _, connection, _ = self.harness.take_engine_request()
        self.harness.announce_engine("e2")
        return client, connection

    def check_failure(self, connection):
        self.assertTrue(connection.transport.closed)
        self.assertEqual(self.harness.node.engines.get("e1").failures, 1)
        self.assertEqual(self.harness.node.relay.counters.malformed, 1)
        lines = [line for line in self.harness.log_lines if "engine_response_malformed" in line]
        self.assertEqual(len(lines), 1)
        self.assertIn("id=c1 engine=e1 text=", lines[0])

    def test_a_malformed_head_ends_a_call_that_must_not_be_repeated_with_502(self):
        for case in HEADS:
            with self.subTest(case.name):
                client, connection = self.send("/once/x")
                send_bytewise(connection.dataReceived, case.encode(FIELDS, BODY))
                self.harness.advance_ms(100)
                self.assertEqual(self.harness.client_output(client).split(b" ")[1], b"502")
                self.assertEqual(self.harness.take_engine_requests(), [])
                self.check_failure(connection)

    def test_after_a_malformed_head_a_call_that_may_be_repeated_is_sent_to_another_engine(self):
        for case in HEADS:
            with self.subTest(case.name):
                client, connection = self.send("/f/x")
                send_bytewise(connection.dataReceived, case.encode(FIELDS, BODY))
                self.harness.advance_ms(100)
                name, other, _ = self.harness.take_engine_request()
                self.assertEqual(name, "e2")
                send_bytewise(other.dataReceived, SOUND[0].encode(FIELDS, BODY))
                output = self.harness.client_output(client)
                self.assertTrue(output.startswith(b"HTTP/1.1 200 OK\r\n") and output.endswith(BODY), output)
                self.check_failure(connection)

    def test_a_malformed_chunk_cuts_the_response_to_the_client(self):
        for case in MALFORMED_CHUNKS:
            with self.subTest(case.name):
                client, connection = self.send("/once/x")
                send_bytewise(connection.dataReceived, case.encode(FIELDS, BODY))
                self.harness.advance_ms(100)
                self.assertFalse(self.harness.client_output(client).endswith(b"0\r\n\r\n"))
                self.assertTrue(client.transport.closed)
                self.check_failure(connection)

    def test_a_sound_head_of_a_connection_lost_later_is_not_counted(self):
        client, connection = self.send("/once/x")
        connection.dataReceived(SOUND[0].encode(FIELDS, BODY)[:-1])
        connection.transport.close()
        self.harness.advance_ms(100)
        self.assertTrue(client.transport.closed)
        self.assertEqual(self.harness.node.relay.counters.malformed, 0)

    def test_without_the_check_malformed_responses_reach_clients(self):
        with mock.patch.object(ResponseValidator, "receive", lambda *_: None):
            reached = []
            for case in HEADS:
                client, connection = self.send("/once/x")
                send_bytewise(connection.dataReceived, case.encode(FIELDS, BODY))
                reached.append(not self.harness.client_output(client).startswith(b"HTTP/1.1 502"))
        self.assertEqual(reached[0], True, "status 000")
        self.assertGreater(sum(reached), 30)


class CallsByModel(unittest.TestCase):
    def lose_first(self, idempotent):
        gateway = PipelineGateway()
        gateway.advance(1, "e", "f")
        request = gateway.start_request(kind=RequestKind.LIVE)
        request.idempotent = idempotent
        self.first = request.engine
        self.other = gateway.engines.get({"e": "f", "f": "e"}[self.first.name])
        return gateway, request, gateway.connect()

    def test_a_malformed_head_counts_as_a_failure_of_the_engine(self):
        for case in HEADS:
            with self.subTest(case.name):
                gateway, request, connection = self.lose_first(idempotent=False)
                send_bytewise(connection.protocol.dataReceived, case.encode(FIELDS, BODY))
                self.assertTrue(connection.disconnecting)
                self.assertEqual((request.error.status, request.outcome), (502, "unknown"))
                self.assertEqual(gateway.engines.status(self.first), "suspect")
                self.assertEqual(len(gateway.reactor.tcpClients), 1)

    def test_a_request_that_may_have_run_gets_no_status_that_promises_that_it_did_not(self):
        def fill(gateway):
            while gateway.slots.free_slots(self.other, 0) > 0:
                gateway.slots.acquire(self.other, is_batch_item=False)

        def lapse(gateway):
            gateway.cluster.state_confirmed = False

        for change in (fill, lapse):
            with self.subTest(change.__name__):
                gateway, request, connection = self.lose_first(idempotent=True)
                change(gateway)
                send_bytewise(connection.protocol.dataReceived, HEADS[0].encode(FIELDS, BODY))
                for _ in range(40):
                    gateway.reactor.advance(0.05)
                self.assertEqual(request.error.outcome, "unknown")
                self.assertEqual(request.error.status, 502)


if __name__ == "__main__":
    unittest.main()

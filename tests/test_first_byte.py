"""The conditions of admission are checked again in the step that writes the first byte of a request.

They may change while the connection to the engine is being opened.
"""

import unittest
import unittest.mock

from twisted.internet.testing import MemoryReactorClock, StringTransport

from pipitlink.errors import LeaseNotHeld
from pipitlink.gateway.admission import Admission
from pipitlink.gateway.engine_relay import EngineRelay
from pipitlink.gateway.fetch_relay import FetchRelay
from pipitlink.gateway.request_pipeline import RequestPipeline, prepare_send
from pipitlink.gateway.request_record import RequestKind
from pipitlink.gateway.request_sender import RequestSender
from pipitlink.gateway.request_table import RequestTable
from pipitlink.gateway.retry_policy import RetryPolicy
from pipitlink.timers import secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from tests.gateway_builders import Gateway


class _Connection(StringTransport):
    def abortConnection(self):
        self.disconnected = True


class PipelineGateway(Gateway):
    """A gateway with the whole request pipeline."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        super().__init__(clock=self.reactor)
        self.settings.max_running, self.settings.engine_silence_s, self.settings.resume_hold_s = 10, 30, 5
        table = RequestTable(self)
        admission = Admission(self, self.serving, table, self.rate_limits, self.retry_after)
        sender = RequestSender(self, self.engines, self.slots, self.candidates, RetryPolicy(self.timers))
        relay = EngineRelay(self, self.engines, sender)
        steps = {
            RequestKind.LIVE: (admission.admit, self.selector.choose_engine, relay.relay),
            RequestKind.ITEM: (admission.admit, self.selector.choose_engine, prepare_send, relay.relay),
            RequestKind.FETCH: (admission.admit, self.selector.choose_engine, FetchRelay(sender).relay),
        }
        self.pipeline = RequestPipeline(self, table, steps)
        self.lease_held = True
        self.advance(10, "e")

    def start_request(self, kind=RequestKind.LIVE, limit=20):
        request = self.make_request(kind=kind)
        request.deadline = self.timers.now() + secs(limit)
        request.check_before_send = self.check_lease if kind == RequestKind.ITEM else None
        request.task = spawn(self.pipeline.run(request))
        return request

    def edit_row(self, row):
        self.cluster.cluster_state.apply(1, Command(table=TableEdit(upserts=[row])))

    def check_lease(self):
        if not self.lease_held:
            raise LeaseNotHeld("the lease is lost")

    def connect(self) -> _Connection:
        """Completes the connection attempt that was started last."""
        factory = self.reactor.tcpClients[-1][2]
        connection = _Connection()
        connection.protocol = factory.buildProtocol(None)
        connection.protocol.makeConnection(connection)
        return connection


CHANGES = {
    "the engine is leaving": lambda gateway: gateway.announce_engine("e", state="leaving"),
    "a new incarnation of the engine was announced": lambda gateway: gateway.announce_engine("e", incarnation=2),
    "its zone was emptied": lambda gateway: gateway.cluster.cluster_state.empty_zones.add("z"),
    "its row has weight 0": lambda gateway: gateway.edit_row(Row(name="r", model="m", weight=0)),
    "the cluster state is not confirmed": lambda gateway: setattr(gateway.cluster, "state_confirmed", False),
    "the gateway was suspended for longer than the engine timeout": lambda gateway: gateway.reactor.advance(3.5),
    "the gateway was suspended for less than the engine timeout": lambda gateway: gateway.reactor.advance(2),
    "the lease is lost, or the batch was cancelled": lambda gateway: setattr(gateway, "lease_held", False),
}


class FirstByte(unittest.TestCase):
    def connect_after(self, change) -> tuple:
        gateway = PipelineGateway()
        request = gateway.start_request(RequestKind.ITEM)
        self.assertEqual(len(gateway.reactor.tcpClients), 1)
        change(gateway)
        return gateway, request, gateway.connect()

    def test_nothing_is_written_after_a_condition_changed(self):
        for name, change in CHANGES.items():
            with self.subTest(name):
                gateway, request, connection = self.connect_after(change)
                self.assertEqual(connection.value(), b"")
                self.assertTrue(connection.disconnected)
                for _ in range(40):
                    gateway.reactor.advance(0.05)
                if request.error is not None:
                    self.assertEqual(request.outcome, "not_run")
                self.assertEqual(request.attempts, 1)

    def test_without_the_check_the_request_is_written_after_each_change(self):
        with unittest.mock.patch.object(RequestSender, "check_still_valid", lambda *_: None):
            for name, change in CHANGES.items():
                with self.subTest(name):
                    self.assertIn(b"POST /v1/completions", self.connect_after(change)[2].value())

    def test_without_a_change_the_whole_request_is_written_in_one_step(self):
        connection = self.connect_after(lambda gateway: None)[2]
        self.assertIn(b"POST /v1/completions", connection.value())
        self.assertIn(b'"max_tokens": 256', connection.value())

    def test_a_retry_is_admitted_again(self):
        gateway = PipelineGateway()
        gateway.advance(1, "e", "f")
        request = gateway.start_request()
        first = request.engine.name
        gateway.announce_engine(first, state="leaving")
        gateway.cluster.state_confirmed = False
        gateway.connect()
        self.assertEqual(len(gateway.reactor.tcpClients), 1)
        gateway.cluster.state_confirmed = True
        gateway.reactor.advance(0.1)
        self.assertEqual(len(gateway.reactor.tcpClients), 2)
        self.assertNotEqual(request.engine.name, first)
        self.assertIn(b"POST", gateway.connect().value())
        self.assertEqual(request.outcome, "unknown")

    def test_an_exchange_with_a_silent_engine_is_aborted_with_an_unknown_outcome(self):
        """The timeout is shorter if the engine is not announced either.

        A gateway that was suspended first reads the data that arrived during the suspension.
        """
        for announced, seconds in ((True, 30), (False, 5)):
            for response_head in (b"", b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"):
                gateway = PipelineGateway()
                request = gateway.start_request(limit=100)
                connection = gateway.connect()
                connection.protocol.dataReceived(response_head)
                for n in range(seconds):
                    self.assertIsNone(request.error)
                    gateway.advance(1, *(["e"] if announced else []))
                gateway.advance(3)
                self.assertEqual(
                    (request.error.code, request.error.status, request.outcome), ("silent", 502, "unknown")
                )
                self.assertTrue(connection.disconnected)
        gateway = PipelineGateway()
        request = gateway.start_request(limit=100)
        connection = gateway.connect()
        gateway.reactor.advance(9)
        connection.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        gateway.advance(3, "e")
        self.assertIsNone(request.error)

    def test_a_cancelled_request_closes_its_connection(self):
        gateway = PipelineGateway()
        request = gateway.start_request()
        connection = gateway.connect()
        connection.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        request.task.cancel()
        self.assertTrue(connection.disconnected)
        self.assertEqual((request.error.code, request.outcome), ("ended", "unknown"))

    def test_a_connection_attempt_past_the_deadline_is_cancelled_and_nothing_is_sent(self):
        gateway = PipelineGateway()
        request = gateway.start_request()
        connector = gateway.reactor.connectors[-1]
        self.assertFalse(connector.stoppedConnecting)
        for _ in range(30):
            gateway.reactor.advance(1)
        self.assertTrue(connector.stoppedConnecting)
        self.assertEqual((request.error.outcome, request.outcome), ("not_run", "not_run"))

"""What held at admission must hold in the step that writes the first byte: connects that take long, and what changes
then.
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


class _Wire(StringTransport):
    def abortConnection(self):
        self.disconnected = True


class Relayer(Gateway):
    """All parts that a request goes through."""

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
        self.held = True
        self.later(10, "e")

    def begin(self, kind=RequestKind.LIVE, limit=20):
        ask = self.ask(kind=kind)
        ask.deadline = self.timers.now() + secs(limit)
        ask.check_before_send = self.still if kind == RequestKind.ITEM else None
        ask.task = spawn(self.pipeline.run(ask))
        return ask

    def edit(self, row):
        self.cluster.cluster_state.apply(1, Command(table=TableEdit(upserts=[row])))

    def still(self):
        if not self.held:
            raise LeaseNotHeld("the lease is gone")

    def connect(self) -> _Wire:
        """The connect that began last comes through now."""
        factory = self.reactor.tcpClients[-1][2]
        wire = _Wire()
        wire.protocol = factory.buildProtocol(None)
        wire.protocol.makeConnection(wire)
        return wire


CHANGES = {
    "the engine is leaving": lambda g: g.news("e", state="leaving"),
    "the engine came back at another address": lambda g: g.news("e", incarnation=2),
    "its zone is emptied": lambda g: g.cluster.cluster_state.empty_zones.add("z"),
    "its weight is 0": lambda g: g.edit(Row(name="r", model="m", weight=0)),
    "the cluster state is not proved": lambda g: setattr(g.cluster, "proved", False),
    "it slept, and the engine is silent since": lambda g: g.reactor.advance(3.5),
    "it slept for less than that, and the engine may have said anything": lambda g: g.reactor.advance(2),
    "the lease is lost, or the lot ended": lambda g: setattr(g, "held", False),
}


class FirstByte(unittest.TestCase):
    def sent(self, change) -> tuple:
        g = Relayer()
        ask = g.begin(RequestKind.ITEM)
        self.assertEqual(len(g.reactor.tcpClients), 1)
        change(g)
        return g, ask, g.connect()

    def test_nothing_is_written_once_it_may_not_be(self):
        for name, change in CHANGES.items():
            with self.subTest(name):
                g, ask, wire = self.sent(change)
                self.assertEqual(wire.value(), b"")
                self.assertTrue(wire.disconnected)
                for _ in range(40):
                    g.reactor.advance(0.05)
                if ask.error is not None:
                    self.assertEqual(ask.outcome, "not_run")
                self.assertEqual(ask.attempts, 1)

    def test_without_the_check_each_would_be_written(self):
        with unittest.mock.patch.object(RequestSender, "check_still_valid", lambda *_: None):
            for name, change in CHANGES.items():
                with self.subTest(name):
                    self.assertIn(b"POST /v1/completions", self.sent(change)[2].value())

    def test_unchanged_it_is_written_whole_in_one_step(self):
        wire = self.sent(lambda g: None)[2]
        self.assertIn(b"POST /v1/completions", wire.value())
        self.assertIn(b'"max_tokens": 256', wire.value())

    def test_a_second_try_is_admitted_anew(self):
        g = Relayer()
        g.later(1, "e", "f")
        ask = g.begin()
        first = ask.engine.name
        g.news(first, state="leaving")
        g.cluster.proved = False
        g.connect()
        self.assertEqual(len(g.reactor.tcpClients), 1)
        g.cluster.proved = True
        g.reactor.advance(0.1)
        self.assertEqual(len(g.reactor.tcpClients), 2)
        self.assertNotEqual(ask.engine.name, first)
        self.assertIn(b"POST", g.connect().value())
        self.assertEqual(ask.outcome, "unknown")

    def test_an_engine_that_falls_silent_is_given_up_and_may_have_run(self):
        """Sooner where it does not announce itself either; a gateway that slept reads first what came meanwhile."""
        for heard, span in ((True, 30), (False, 5)):
            for answer in (b"", b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"):
                g = Relayer()
                ask = g.begin(limit=100)
                wire = g.connect()
                wire.protocol.dataReceived(answer)
                for n in range(span):
                    self.assertIsNone(ask.error)
                    g.later(1, *(["e"] if heard else []))
                g.later(3)
                self.assertEqual((ask.error.code, ask.error.status, ask.outcome), ("silent", 502, "unknown"))
                self.assertTrue(wire.disconnected)
        g = Relayer()
        ask = g.begin(limit=100)
        wire = g.connect()
        g.reactor.advance(9)
        wire.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        g.later(3, "e")
        self.assertIsNone(ask.error)

    def test_a_request_that_is_ended_ends_its_stream(self):
        g = Relayer()
        ask = g.begin()
        wire = g.connect()
        wire.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        ask.task.cancel()
        self.assertTrue(wire.disconnected)
        self.assertEqual((ask.error.code, ask.outcome), ("ended", "unknown"))

    def test_a_connect_that_outlasts_the_limit_is_given_up_and_never_sent(self):
        g = Relayer()
        ask = g.begin()
        connector = g.reactor.connectors[-1]
        self.assertFalse(connector.stoppedConnecting)
        for _ in range(30):
            g.reactor.advance(1)
        self.assertTrue(connector.stoppedConnecting)
        self.assertEqual((ask.error.outcome, ask.outcome), ("not_run", "not_run"))

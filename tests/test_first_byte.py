"""What held at admission must hold in the step that writes the first byte: connects that take long, and what changes
then.
"""

import unittest
import unittest.mock

from twisted.internet.testing import MemoryReactorClock, StringTransport

from pipitlink.errors import LeaseNotHeld
from pipitlink.gateway.picking import Admitting
from pipitlink.gateway.relaying import Relaying
from pipitlink.gateway.requests import RequestTable
from pipitlink.timers import secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from tests.parts import Gateway


class _Wire(StringTransport):
    def abortConnection(self):
        self.disconnected = True


class _Relayer(Gateway, Admitting, Relaying, RequestTable):
    def __init__(self):
        self.reactor = MemoryReactorClock()
        super().__init__(clock=self.reactor)
        self._opened_at = self.timers.now()
        self._hold = secs(5)
        self.asks = {}
        self.settings.max_running, self.settings.engine_silence_s = 10, 30
        self._open_table()
        self._open_relaying()
        self.held = True
        self.later(10, "e")

    def current(self):
        return self.cluster.ready()

    def begin(self, kind="live", limit=20):
        ask = self.ask(kind=kind)
        ask.limit = self.timers.now() + secs(limit)
        ask.still = self.still if kind == "item" else None
        ask.work = spawn(self.run(ask))
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
        g = _Relayer()
        ask = g.begin("item")
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
                if ask.fault is not None:
                    self.assertEqual(ask.outcome, "not_run")
                self.assertEqual(ask.tries, 1)

    def test_without_the_check_each_would_be_written(self):
        with unittest.mock.patch.object(Relaying, "_check_still", lambda *_: None):
            for name, change in CHANGES.items():
                with self.subTest(name):
                    self.assertIn(b"POST /v1/completions", self.sent(change)[2].value())

    def test_unchanged_it_is_written_whole_in_one_step(self):
        wire = self.sent(lambda g: None)[2]
        self.assertIn(b"POST /v1/completions", wire.value())
        self.assertIn(b'"max_tokens": 256', wire.value())

    def test_a_second_try_is_admitted_anew(self):
        g = _Relayer()
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
                g = _Relayer()
                ask = g.begin(limit=100)
                wire = g.connect()
                wire.protocol.dataReceived(answer)
                for n in range(span):
                    self.assertIsNone(ask.fault)
                    g.later(1, *(["e"] if heard else []))
                g.later(3)
                self.assertEqual((ask.fault.code, ask.fault.status, ask.outcome), ("silent", 502, "unknown"))
                self.assertTrue(wire.disconnected)
        g = _Relayer()
        ask = g.begin(limit=100)
        wire = g.connect()
        g.reactor.advance(9)
        wire.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        g.later(3, "e")
        self.assertIsNone(ask.fault)

    def test_a_request_that_is_ended_ends_its_stream(self):
        g = _Relayer()
        ask = g.begin()
        wire = g.connect()
        wire.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        ask.work.cancel()
        self.assertTrue(wire.disconnected)
        self.assertEqual((ask.fault.code, ask.outcome), ("ended", "unknown"))

    def test_a_connect_that_outlasts_the_limit_is_given_up_and_never_sent(self):
        g = _Relayer()
        ask = g.begin()
        connector = g.reactor.connectors[-1]
        self.assertFalse(connector.stoppedConnecting)
        for _ in range(30):
            g.reactor.advance(1)
        self.assertTrue(connector.stoppedConnecting)
        self.assertEqual((ask.fault.outcome, ask.outcome), ("not_run", "not_run"))

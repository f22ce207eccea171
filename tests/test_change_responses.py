"""What counts as the acknowledgement of a published change, over real sockets: no response that HTTP forbids."""

import unittest
from types import SimpleNamespace

from twisted.internet import defer, reactor, task

from pipitlink.changes import ChangePublisher
from pipitlink.settings import Settings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers
from testbed.standins.response_cases import CUT, MALFORMED_CHUNKS, MALFORMED_HEADS, SOUND

from .case_server import CaseServer

MALFORMED = (*MALFORMED_HEADS, *MALFORMED_CHUNKS)
MODES = ("whole", "pieces")
POLL_S = 0.001


class _Scenario:
    """Publishes one change for each case; `acknowledged` has the cases that counted as published."""

    def __init__(self, server):
        self.server = server
        self.lines: list[str] = []
        self.acknowledged: set[tuple] = set()
        logger = StructuredLogger(SimpleNamespace(log=lambda level, template, line: self.lines.append(line)))
        self.ctx = SimpleNamespace(
            node="n1",
            reactor=reactor,
            timers=Timers(reactor),
            logger=logger,
            settings=Settings(fleet="tours", zone="riga", changes_to=f"{server.address}/changes"),
            run_in_background=lambda work, what: defer.ensureDeferred(work),
        )
        self.publisher = ChangePublisher(self.ctx)

    async def run(self):
        self.publisher.open()
        for mode in MODES:
            for case in (*MALFORMED, *SOUND, CUT):
                self.server.in_pieces = mode == "pieces"
                self.server.response = case.encode({}, b"ok")
                if await self._publish(case.name):
                    self.acknowledged.add((mode, case))

    async def _publish(self, name) -> bool:
        published, dropped = self.publisher.published, self.publisher.dropped
        self.ctx.logger.info("member_joined", peer=name)
        while (self.publisher.published, self.publisher.dropped) == (published, dropped):
            await task.deferLater(reactor, POLL_S)
        return self.publisher.published > published


class ChangeResponses(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        server = CaseServer()
        cls.addClassCleanup(server.close)
        cls.scenario = _Scenario(server)
        failures = []
        reactor.callWhenRunning(
            lambda: (
                defer.ensureDeferred(cls.scenario.run()).addErrback(failures.append).addBoth(lambda _: reactor.stop())
            )
        )
        reactor.run(installSignalHandlers=False)
        assert not failures, failures[0].getTraceback()

    def test_malformed_responses_and_lost_connections_acknowledge_nothing(self):
        for mode in MODES:
            for case in (*MALFORMED, CUT):
                with self.subTest(case.name, mode=mode):
                    self.assertFalse((mode, case) in self.scenario.acknowledged)

    def test_sound_responses_acknowledge_a_change(self):
        for mode in MODES:
            for case in SOUND:
                with self.subTest(case.name, mode=mode):
                    self.assertTrue((mode, case) in self.scenario.acknowledged)

    def test_each_change_is_sent_once(self):
        self.assertEqual(len(self.scenario.server.requests), len(MODES) * len((*MALFORMED, *SOUND, CUT)))

    def test_the_log_tells_malformed_responses_from_lost_connections(self):
        lines = [line for line in self.scenario.lines if "change_not_published" in line]
        malformed = [line for line in lines if "MalformedResponse" in line]
        self.assertEqual((len(lines), len(malformed)), (len(MODES) * (len(MALFORMED) + 1), len(MODES) * len(MALFORMED)))


if __name__ == "__main__":
    unittest.main()

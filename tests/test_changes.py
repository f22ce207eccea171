"""Changes of the cluster state that are published as CloudEvents."""

import ast
import json
import unittest
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from twisted.internet import defer
from twisted.internet.task import Clock

from pipitlink import changes
from pipitlink.changes import MAX_QUEUED, PUBLISHED_TYPES, ChangePublisher
from pipitlink.settings import Settings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers

PACKAGE = Path(__file__).resolve().parent.parent / "pipitlink"
EXPECTED_TYPES = {
    "cluster",
    "status",
    "met",
    "engine",
    "lot_owned",
    "lot_done",
    "lot_ended",
    "leading",
    "currency",
    "storage_node_admitted",
    "storage_node_let_go",
    "placement_group",
    "voters",
}


def logged_events() -> set[str]:
    """Returns the events that the package logs at level info under a literal name."""
    calls = (
        node
        for path in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "info"
    )
    return {value.value for call in calls for value in ast.walk(call.args[0]) if isinstance(value, ast.Constant)}


class _Publisher(ChangePublisher):
    """Records posted events; `outcomes` holds the results of the next posts, which succeed by default."""

    def __init__(self, ctx):
        super().__init__(ctx)
        self.posted: list[dict] = []
        self.outcomes: list[defer.Deferred] = []

    async def _post(self, message):
        self.posted.append(json.loads(message.body))
        await (self.outcomes.pop(0) if self.outcomes else defer.succeed(None))


class Changes(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        timers = Timers(self.clock, seconds=self.clock.seconds)
        timers.utc_now = lambda: datetime(2026, 1, 2, 3, 4, 5, tzinfo=UTC)
        self.failures = []
        self.logger = StructuredLogger(SimpleNamespace(log=lambda level, template, line: None))
        self.ctx = SimpleNamespace(
            node="n1",
            timers=timers,
            logger=self.logger,
            settings=Settings(fleet="tours", zone="riga", changes_to="127.0.0.1:9/changes"),
            run_in_background=lambda work, what: defer.ensureDeferred(work).addErrback(self.failures.append),
        )
        self.publisher = _Publisher(self.ctx)

    def tearDown(self):
        self.assertEqual(self.failures, [])

    def test_a_listed_event_is_published_with_its_fields_and_others_are_not(self):
        self.publisher.open()
        self.logger.info("engine_status_changed", engine="e1", load=0.5, pool=None)
        self.logger.info("logs_recovered", logs=3)
        self.logger.warning("engine_status_changed", engine="e2")
        (event,) = self.publisher.posted
        self.assertEqual(
            (event["type"], event["source"], event["time"]),
            ("pipitlink.engine", "/tours/riga/n1", "2026-01-02T03:04:05Z"),
        )
        self.assertEqual(event["data"], {"engine": "e1", "load": 0.5, "pool": "None"})
        self.assertEqual((self.publisher.published, self.publisher.dropped), (1, 0))

    def test_a_renamed_event_keeps_its_published_type(self):
        with mock.patch.dict(changes.PUBLISHED_TYPES, {"leadership_taken": "leading"}):
            self.publisher.open()
            self.logger.info("leadership_taken", term=3)
        self.assertEqual([event["type"] for event in self.publisher.posted], ["pipitlink.leading"])

    def test_the_published_types_are_unchanged_and_their_events_are_logged(self):
        self.assertEqual(set(PUBLISHED_TYPES.values()), EXPECTED_TYPES)
        self.assertEqual(set(PUBLISHED_TYPES) - logged_events(), set())

    def test_the_oldest_events_are_dropped_and_counted_while_a_post_hangs(self):
        self.publisher.outcomes = [defer.Deferred()]
        self.publisher.open()
        for term in range(MAX_QUEUED + 3):
            self.logger.info("leader_elected", term=term)
        self.assertEqual(([e["data"]["term"] for e in self.publisher.posted], self.publisher.dropped), ([0], 2))
        self.clock.advance(2.1)
        self.assertEqual([e["data"]["term"] for e in self.publisher.posted[1:3]], [3, 4])
        self.assertEqual((self.publisher.published, self.publisher.dropped), (MAX_QUEUED, 3))

    def test_a_failed_post_is_counted_as_dropped_and_the_next_event_is_posted(self):
        self.publisher.outcomes = [defer.fail(ValueError("the listener answered 500"))]
        self.publisher.open()
        self.logger.info("member_joined", node="a")
        self.logger.info("member_joined", node="b")
        self.assertEqual((self.publisher.published, self.publisher.dropped), (1, 1))

    def test_nothing_is_published_if_no_listener_is_set(self):
        self.ctx.settings = Settings()
        self.publisher.open()
        self.logger.info("member_joined", node="a")
        self.assertEqual(self.publisher.posted, [])


if __name__ == "__main__":
    unittest.main()

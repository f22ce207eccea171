"""The memory that nodes keep for announced engines."""

import unittest

from twisted.internet.task import Clock

from pipitlink.client_memory import USE_FRACTIONS, ClientMemory, MemoryUse
from pipitlink.controller.engine_registry import EXPIRY, EngineRegistry
from pipitlink.dialect import Dialect
from pipitlink.engine_memory import ENGINE_BYTES, EngineMemory
from pipitlink.errors import BadRequest
from pipitlink.timers import Timers
from pipitlink.wire.membership_pb2 import EngineUpdate
from tests.router_builders import RouterHarness, route


def update(name, model_bytes=0):
    return EngineUpdate(engine=name, models=["m" * model_bytes], state="ready")


class Memory(unittest.TestCase):
    def setUp(self):
        self.memory = ClientMemory(64, 0)
        self.engines = EngineMemory(self.memory)

    def test_announcements_beyond_the_limit_are_not_kept(self):
        kept = sum(self.engines.try_keep(update(f"e{number}")) for number in range(1000))
        self.assertLessEqual(self.memory.held_bytes, self.memory.limit_bytes * USE_FRACTIONS[MemoryUse.ENGINES])
        self.assertGreater((kept + 1) * (ENGINE_BYTES + 50), self.memory.limit_bytes * USE_FRACTIONS[MemoryUse.ENGINES])

    def test_an_engine_that_is_kept_is_renewed_while_there_is_no_room(self):
        while self.engines.try_keep(update(f"e{self.memory.held_bytes}", 5000)):
            pass
        self.assertTrue(self.engines.try_keep(update("e0", 5000)))
        self.assertFalse(self.engines.try_keep(update("e0", 9000)))

    def test_what_is_forgotten_is_given_back_once(self):
        self.engines.try_keep(update("e1", 100))
        self.engines.try_keep(update("e1", 50))
        for _ in range(2):
            self.engines.forget("e1")
        self.assertEqual(self.memory.held_bytes, 0)


class Registries(unittest.TestCase):
    def test_a_controller_gives_back_the_memory_of_expired_announcements(self):
        clock, memory = Clock(), ClientMemory(64, 0)
        registry = EngineRegistry(Timers(clock, seconds=clock.seconds), EngineMemory(memory))
        self.assertTrue(registry.try_keep(update("e1")))
        registry.add("e1")
        clock.advance(2 * EXPIRY.total_seconds())
        registry.remove_expired()
        self.assertEqual(memory.held_bytes, 0)

    def test_a_gateway_ignores_engines_beyond_the_limit_and_keeps_the_others(self):
        harness = RouterHarness([route("o", "/once/", kind="mutating")])
        memory = harness.ctx.client_memory
        memory.limit_bytes = 100_000
        for number in range(20):
            harness.announce_engine(f"e{number}")
        engines = harness.node.engines.all()
        self.assertGreater(len(engines), 2)
        self.assertLess(len(engines), 20)
        self.assertLessEqual(memory.held_bytes, memory.limit_bytes * USE_FRACTIONS[MemoryUse.ENGINES])
        for engine in engines:
            harness.node.engines.remove(engine)
        self.assertEqual(memory.held_bytes, 0)

    def test_an_announcement_beyond_the_limit_is_refused(self):
        fields = b'"address": "h:1", "pool": "p", "state": "ready", "sequence": 1, "capacity": 1, "zone": "z"'
        body = b'{%b, "models": ["%b"]}' % (fields, b"m" * 20_000)
        with self.assertRaises(BadRequest) as refused:
            Dialect().parse_engine_update("e1", body)
        self.assertEqual(refused.exception.status, 413)


if __name__ == "__main__":
    unittest.main()

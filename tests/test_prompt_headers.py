"""What clients state of their prompts: the memory that a gateway keeps of it, and absurd numbers."""

import unittest

from pipitlink.client_memory import USE_FRACTIONS, ClientMemory, MemoryUse
from pipitlink.router.call import PromptPart, parse_prompt_parts, parse_whole_number
from pipitlink.router.prefix_cache import PART_BYTES, PrefixCacheMemory

from .router_builders import RouterHarness, route

ABSURD_NUMBER = "9" * 400
UNPARSABLE_NUMBER = "9" * 5000


class PrefixCaches(unittest.TestCase):
    def setUp(self):
        self.memory = ClientMemory(64, 0)
        self.caches = PrefixCacheMemory(self.memory)
        self.cache = self.caches.create(1000)

    def test_parts_without_tokens_take_no_more_than_the_limit(self):
        for number in range(20_000):
            self.cache.add([PromptPart(f"{number:x}", 0)])
        self.assertLessEqual(self.memory.held_bytes, self.memory.limit_bytes * USE_FRACTIONS[MemoryUse.PROMPT_PARTS])
        self.assertEqual(self.cache.missing_tokens([PromptPart("4e1f", 7)]), 0)
        self.assertEqual(self.cache.missing_tokens([PromptPart("0", 7)]), 7)

    def test_long_names_are_counted_with_their_length(self):
        for number in range(900):
            self.cache.add([PromptPart(f"{number}" + "n" * 14_000, 1)])
        self.assertLessEqual(self.memory.held_bytes, self.memory.limit_bytes * USE_FRACTIONS[MemoryUse.PROMPT_PARTS])

    def test_the_largest_cache_gives_way(self):
        other = self.caches.create(1000)
        other.add([PromptPart("kept", 10)])
        for number in range(20_000):
            self.cache.add([PromptPart(f"{number:x}", 0)])
        self.assertEqual(other.missing_tokens([PromptPart("kept", 10)]), 0)

    def test_what_is_evicted_for_tokens_is_given_back(self):
        for number in range(50):
            self.cache.add([PromptPart(f"{number:02}", 100)])
        self.assertEqual(self.memory.held_bytes, 10 * (PART_BYTES + 2))

    def test_a_closed_cache_holds_nothing(self):
        self.cache.add([PromptPart("a", 1)])
        self.cache.close()
        self.cache.add([PromptPart("b", 1)])
        self.assertEqual((self.memory.held_bytes, self.cache.size), (0, 0))

    def test_the_cache_of_an_engine_that_is_gone_is_given_back(self):
        harness = RouterHarness([route("o", "/once/", kind="mutating")])
        harness.announce_engine("e1")
        engine = harness.node.engines.get("e1")
        engine.prefix_cache.add([PromptPart("a", 1)])
        harness.node.engines.remove(engine)
        self.assertEqual(harness.ctx.client_memory.held_bytes, 0)


class StatedNumbers(unittest.TestCase):
    def test_absurd_numbers_count_as_malformed(self):
        for text in (ABSURD_NUMBER, UNPARSABLE_NUMBER, "\u00b2", "-1", "", None):
            self.assertIsNone(parse_whole_number(text))
        self.assertEqual(parse_whole_number(b" 12 "), 12)
        self.assertEqual(parse_prompt_parts(f"a:{ABSURD_NUMBER},b:2".encode()), [PromptPart("b", 2)])

    def test_a_prompt_of_absurd_length_does_not_keep_others_from_its_engine(self):
        harness = RouterHarness([route("o", "/once/", kind="mutating")])
        harness.announce_engine("e1", capacity=100)
        harness.send_request(call_id="c1", path="/once/x", headers=[f"X-Prompt-Parts: a:1,b:{ABSURD_NUMBER}"])
        harness.send_request(call_id="c2", path="/once/x")
        self.assertEqual(len(harness.take_engine_requests()), 2)

    def test_absurd_headers_are_no_error_of_the_gateway(self):
        for name in ("X-Prompt-Parts", "X-Token-Counts", "X-Deadline-Ms", "Last-Event-Id"):
            for number in (ABSURD_NUMBER, UNPARSABLE_NUMBER, "9" * 15):
                with self.subTest(name=name, digits=len(number)):
                    harness = RouterHarness([route("o", "/once/", kind="mutating")])
                    harness.announce_engine("e1", capacity=100)
                    harness.send_request(call_id="c1", path="/once/x", headers=[f"{name}: {number}"])
                    self.assertEqual(len(harness.take_engine_requests()), 1)


if __name__ == "__main__":
    unittest.main()

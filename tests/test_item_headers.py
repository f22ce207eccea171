"""Headers that concern one connection only are not passed on to engines, neither of live requests nor of items."""

import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

from pipitlink.dialect import Dialect
from pipitlink.router.call import HOP_BY_HOP_HEADERS, end_to_end_headers
from pipitlink.router.item_runner import ItemCall, ItemRunner
from pipitlink.timers import Timers, spawn
from pipitlink.wire.cluster_pb2 import Route

SMUGGLED = b"0\r\n\r\nPOST /x HTTP/1.1\r\nHost: h\r\n\r\n"


class ItemHeaders(unittest.TestCase):
    def call_of(self, headers):
        """Returns the call that an item with these headers makes to an engine."""
        calls = []

        async def relay(call):
            calls.append(call)

        clock = Clock()
        ctx = SimpleNamespace(timers=Timers(clock, seconds=clock.seconds), dialect=Dialect())
        item = ItemCall("i1", Route(host="h"), "/bulk/1", list(headers.items()), SMUGGLED, 3)
        spawn(ItemRunner(ctx, SimpleNamespace(relay=relay)).run(item))
        return calls[0]

    def test_an_item_cannot_choose_how_its_body_is_framed(self):
        """Guards against an item whose body becomes a request of its own at the engine."""
        call = self.call_of({"Transfer-Encoding": "chunked", "Content-Length": "0", "X-Kept": "1"})
        names = [name for name, _ in call.headers]
        self.assertEqual(HOP_BY_HOP_HEADERS & set(names), set())
        self.assertEqual(call.body, SMUGGLED)
        self.assertIn((b"x-kept", b"1"), call.headers)

    def test_each_header_of_one_connection_is_dropped_in_any_spelling(self):
        for name in HOP_BY_HOP_HEADERS:
            for spelling in (name.decode(), name.decode().title(), name.decode().upper()):
                with self.subTest(spelling):
                    call = self.call_of({spelling: "x"})
                    self.assertNotIn(name, [found for found, _ in call.headers])

    def test_headers_that_a_connection_header_names_are_dropped_but_not_host_and_id(self):
        call = self.call_of({"Connection": "X-Hop, host,X-Request-Id", "X-Hop": "1", "X-End": "2"})
        names = [name for name, _ in call.headers]
        self.assertNotIn(b"x-hop", names)
        self.assertIn(b"x-end", names)
        self.assertIn((b"host", b"h"), call.headers)
        self.assertIn((Dialect().request_id, b"i1"), call.headers)

    def test_a_live_request_follows_the_same_rule(self):
        received = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"TE", b"trailers"), (b"Host", b"h")]
        self.assertEqual(end_to_end_headers(received, kept=(b"host",)), [(b"host", b"h")])


if __name__ == "__main__":
    unittest.main()

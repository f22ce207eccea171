"""HTTP paths and JSON of batches, in the product's format and in a platform's."""

import base64
import json
import unittest
from datetime import timedelta
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path

from pipitlink.dialect import Dialect
from pipitlink.dialect.batches import CancelBatch, ReadItem, ReadOutputs
from pipitlink.errors import BadRequest
from pipitlink.wire.lots_pb2 import Output

PLATFORM = Path(__file__).resolve().parent.parent / "platform" / "batches.py"


def platform_batch_format():
    spec = spec_from_file_location("platform_batches", PLATFORM)
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.PlatformBatchFormat()


class _Format:
    def parse_request(self, method, path, headers=None, **query):
        return self.batch_format.parse_batch_request(method, path, query, (headers or {}).get)

    def item(self, **changes):
        item = {"id": "a1", "path": "/p/1", "headers": {"M": "m"}, "body": "q83vEjRWeJA=", self.tokens: 940}
        item.update(changes)
        return {k: v for k, v in item.items() if v is not ...}

    def parse_batch(self, *items):
        return self.batch_format.parse_batch(json.dumps({self.items: list(items)}).encode())

    def test_a_batch_is_parsed_as_it_was_sent(self):
        batch = self.parse_batch(self.item(), self.item(id="a2", body=""))
        first = batch.items[0]
        self.assertEqual((first.id, first.path, first.tokens), ("a1", "/p/1", 940))
        self.assertEqual(first.body, base64.b64decode("q83vEjRWeJA="))
        self.assertEqual([(h.name, h.value) for h in first.headers], [("M", "m")])
        self.assertEqual(len(self.parse_batch(*(self.item(id=f"i{n}") for n in range(200))).items), 200)

    def test_a_malformed_batch_is_refused(self):
        for raw in (
            b"",
            b"[]",
            b"{}",
            b"\xff",
            b"[" * 100_000,
            json.dumps({self.items: {}}).encode(),
            json.dumps({self.items: []}).encode(),
        ):
            with self.assertRaises(BadRequest, msg=raw[:40]):
                self.batch_format.parse_batch(raw)
        for changes in (
            {"id": ...},
            {"id": ""},
            {"id": 3},
            {"id": "a b"},
            {"path": ...},
            {"path": "p"},
            {"path": "/a b"},
            {"path": "/a\r\nB: c"},
            {"headers": []},
            {"headers": {"A": 1}},
            {"headers": {"A": "b\r\nC: d"}},
            {"headers": {"A b": "c"}},
            {"headers": {"": "c"}},
            {"body": "q83vEjRWeJA"},
            {"body": "q83v EjRWeJA="},
            {"body": 7},
            {"body": None},
            {self.tokens: ...},
            {self.tokens: -1},
            {self.tokens: 1.5},
            {self.tokens: "940"},
            {self.tokens: True},
            {self.tokens: 2**60},
        ):
            with self.assertRaises(BadRequest, msg=changes):
                self.parse_batch(self.item(id="b1"), self.item(**changes))
        with self.assertRaises(BadRequest):
            self.parse_batch(self.item(), self.item())
        with self.assertRaises(BadRequest):
            self.parse_batch(*(self.item(id=f"i{n}") for n in range(201)))
        with self.assertRaises(BadRequest):
            self.parse_batch("x")

    def test_a_response_has_at_least_one_output_and_at_most_a_megabyte(self):
        batch = self.parse_batch(*(self.item(id=f"i{n}") for n in range(6)))
        outputs = [
            Output(item=n, state="done", text=b"x" * size)
            for n, size in enumerate((10, 1_500_000, 600_000, 300_000, 300_000))
        ]
        shown, start = [], 0
        while start < len(outputs):
            raw = self.batch_format.format_outputs(batch, outputs, start)
            doc = json.loads(raw)
            self.assertEqual(doc[self.total], 6)
            self.assertGreater(doc[self.next], start)
            self.assertTrue(len(raw) <= 1_000_000 or len(doc["outputs"]) == 1)
            shown.append([o["id"] for o in doc["outputs"]])
            start = doc[self.next]
        self.assertEqual(shown, [["i0"], ["i1"], ["i2", "i3"], ["i4"]])
        self.assertEqual(
            json.loads(self.batch_format.format_outputs(batch, outputs, 9)),
            {self.total: 6, self.next: 9, "outputs": []},
        )


class ProductFormat(_Format, unittest.TestCase):
    items, tokens, total, next = "items", "tokens", "total", "next"
    batch_format = Dialect()

    def test_requests_are_parsed(self):
        self.assertEqual(
            self.parse_request(b"GET", "/v1/batches/a1/outputs", {"x-poll-wait-ms": "250"}, **{"from": "3"}),
            ReadOutputs("a1", start=3, wait=timedelta(milliseconds=250)),
        )
        self.assertEqual(self.parse_request(b"GET", "/v1/batches/a1/items/b2"), ReadItem("a1", "b2"))
        self.assertEqual(self.parse_request(b"DELETE", "/v1/batches/a1"), CancelBatch("a1"))
        for method, path in (
            (b"POST", "/v1/batches/a1"),
            (b"GET", "/v1/batches/a1"),
            (b"GET", "/v1/batches"),
            (b"GET", "/lots/a1"),
            (b"DELETE", "/v1/batches/a1/outputs"),
            (b"GET", "/"),
        ):
            self.assertIsNone(self.parse_request(method, path), path)

    def test_outputs_are_formatted(self):
        batch = self.parse_batch(self.item(), self.item(id="a2"))
        doc = json.loads(
            self.batch_format.format_outputs(
                batch, [Output(item=1, state="done", text="é\nb".encode()), Output(item=0, state="abandoned")], 0
            )
        )
        self.assertEqual(
            doc,
            {
                "total": 2,
                "next": 2,
                "outputs": [
                    {"id": "a2", "state": "done", "text": "é\nb"},
                    {"id": "a1", "state": "abandoned", "text": ""},
                ],
            },
        )


class PlatformFormat(_Format, unittest.TestCase):
    items, tokens, total, next = "requests", "token_count", "total_count", "next_token"
    batch_format = platform_batch_format()

    def test_requests_are_parsed(self):
        self.assertEqual(
            self.parse_request(b"GET", "/lots/7c41", {"pipitlink-poll-wait-ms": "1000"}, last_seen="12"),
            ReadOutputs("7c41", start=12, wait=timedelta(seconds=1)),
        )
        self.assertEqual(self.parse_request(b"GET", "/lots/7c41"), ReadOutputs("7c41", start=0, wait=timedelta(0)))
        self.assertEqual(self.parse_request(b"GET", "/items/7c41", id="e5"), ReadItem("7c41", "e5"))
        self.assertEqual(self.parse_request(b"DELETE", "/lots/7c41"), CancelBatch("7c41"))
        for method, path in (
            (b"POST", "/lots/7c41"),
            (b"GET", "/lots"),
            (b"GET", "/lots/"),
            (b"GET", "/lots/a/b"),
            (b"DELETE", "/items/7c41"),
            (b"GET", "/x/7c41"),
            (b"GET", "x/lots/a"),
        ):
            self.assertIsNone(self.parse_request(method, path), path)
        for bad in ("-1", "x", "1.5", "9" * 20):
            with self.assertRaises(BadRequest):
                self.parse_request(b"GET", "/lots/7c41", last_seen=bad)
            with self.assertRaises(BadRequest):
                self.parse_request(b"GET", "/lots/7c41", {"pipitlink-poll-wait-ms": bad})

    def test_outputs_are_formatted(self):
        batch = self.parse_batch(self.item(), self.item(id="a2"))
        doc = json.loads(
            self.batch_format.format_outputs(
                batch, [Output(item=1, state="done", text=b"a\nb"), Output(item=0, state="abandoned")], 0
            )
        )
        self.assertEqual(
            doc,
            {
                "total_count": 2,
                "next_token": 2,
                "outputs": [
                    {"id": "a2", "state": "complete", "message": "a\nb"},
                    {"id": "a1", "state": "abandoned", "message": ""},
                ],
            },
        )

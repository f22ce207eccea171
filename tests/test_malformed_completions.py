"""Malformed responses of engines reach no client of a gateway that serves by models, over real sockets.

Completions, items of batches and fetches: each case has engines of its own, which send it once and sound responses
after that.
"""

import asyncio
import http.client
import json
import re
import threading
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import attrs

from testbed.processes.process_cluster import ProcessCluster, wait_for
from testbed.standins.response_cases import (
    CUT,
    MALFORMED_CHUNKS,
    MALFORMED_HEADS,
    REFUSED_STATUSES,
    SOUND,
    ResponseCase,
    malformed_refusal,
    pieces_of,
)

REFUSALS = tuple(malformed_refusal(status, "X-Not-Executed") for status in REFUSED_STATUSES)
HEADS = (*MALFORMED_HEADS, *REFUSALS)
MALFORMED = (*HEADS, *MALFORMED_CHUNKS)
CASES = (*MALFORMED, *SOUND, CUT)
MODES = ("whole", "pieces")
ENGINES_PER_KEY = 2
# A gateway has budget for so many retries, whatever was sent before.
FIRST_RETRIES = 8
# So few that their engines, which are announced one after the other, are renewed before they count as gone.
ITEMS_PER_BATCH = 16
RENEWAL_S = 1.0
POLL_S = 0.05
TEXT = "a whole text"
FILE = b"a whole file"
GATEWAY = "gateway0"


@attrs.frozen
class Key:
    """What a request is: its kind, and the number of its case, whose response comes whole or in pieces."""

    kind: str
    mode: str
    number: int

    @property
    def name(self) -> str:
        return f"{self.kind}-{self.mode}-{self.number}"

    @property
    def case(self) -> ResponseCase:
        return CASES[self.number]


def keys(kind, cases=CASES) -> list[Key]:
    return [Key(kind, mode, CASES.index(case)) for mode in MODES for case in cases]


def _completion() -> bytes:
    choices = [{"index": 0, "text": TEXT, "finish_reason": None}]
    return b"data: %b\n\ndata: [DONE]\n\n" % json.dumps({"id": "x", "choices": choices}).encode()


class CaseEngines:
    """Serves as all engines; `runs` counts the requests by the name of their key."""

    def __init__(self):
        self.runs: Counter[str] = Counter()
        self.reused = 0
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def _run(self):
        self._server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._loop.call_soon(self._started.set)
        self._loop.run_forever()

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _serve(self, reader, writer):
        try:
            await self._answer(reader, writer)
            self.reused += bool(await reader.read())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        if length is None:
            name, body, media_type = head.split(b" ")[1].decode()[1:], FILE, "text/plain"
        else:
            name = json.loads(await reader.readexactly(int(length.group(1))))["model"]
            body, media_type = _completion(), "text/event-stream"
        kind, mode, number = name.split("-")
        key = Key(kind, mode, int(number))
        self.runs[name] += 1
        case = key.case if self.runs[name] == 1 else SOUND[0]
        response = case.encode({"Content-Type": media_type}, body)
        for piece in pieces_of(response) if mode == "pieces" else [response]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if case is CUT:
            writer.transport.abort()


class MalformedCompletions(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.engines = CaseEngines()
        cls.addClassCleanup(cls.engines.close)
        cls.cluster = ProcessCluster(gateways=1, storage_nodes=3, controllers=3, engines=0, cards=0)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        with ThreadPoolExecutor() as pool:
            once = pool.submit(cls.run_each, "once", cls.generate)
            again = pool.submit(cls.run_each, "again", cls.generate)
            fetch = pool.submit(cls.run_each, "fetch", cls.fetch)
            items = [pool.submit(cls.run_items, kind) for kind in ("itemonce", "itemagain")]
            cls.answers = {**once.result(), **again.result(), **fetch.result()}
            cls.results = {key: result for item in items for key, result in item.result().items()}
        cls.log = (cls.cluster.folder / f"{GATEWAY}.log").read_text()
        cls.metrics = cls.read_metrics()

    @classmethod
    def read_metrics(cls) -> str:
        connection = http.client.HTTPConnection(cls.cluster.operator_address(GATEWAY), timeout=5)
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    @classmethod
    def announce(cls, key):
        """Announces the engines of a key, which are later incarnations of those of other keys."""
        position = key.number + len(CASES) * MODES.index(key.mode)
        for number in range(ENGINES_PER_KEY):
            announcement = {
                "engine": f"{key.kind}-{position % ITEMS_PER_BATCH}-{number}",
                "address": cls.engines.address,
                "pool": key.name,
                "models": [key.name],
                "zone": "zone-a",
                "capacity": 4,
                "incarnation": position + 1,
            }
            status, answer, _ = cls.cluster.call(GATEWAY, "POST", "/v1/engines", announcement)
            assert status == 200, answer

    @classmethod
    def run_each(cls, kind, send):
        answers = {}
        for key in keys(kind):
            cls.announce(key)
            answers[key] = send(key)[:2]
        return answers

    @classmethod
    def generate(cls, key):
        body = {"model": key.name, "prompt": "p", "repeatable": key.kind == "again", "stream": False}
        return cls.cluster.call(GATEWAY, "POST", "/v1/generate", body)

    @classmethod
    def fetch(cls, key):
        return cls.cluster.call(GATEWAY, "GET", f"/v1/fetch/{key.name}/{key.name}")

    @classmethod
    def run_items(cls, kind):
        results, left = {}, keys(kind)
        while left:
            batch, left = left[:ITEMS_PER_BATCH], left[ITEMS_PER_BATCH:]
            for key in batch:
                cls.announce(key)
            items = [{"model": key.name, "prompt": "p", "repeatable": kind == "itemagain"} for key in batch]
            status, answer, _ = cls.cluster.call(GATEWAY, "POST", "/v1/lots", {"items": items})
            assert status == 201, answer
            path = f"/v1/lots/{answer['lot']}"
            wait_for(lambda path=path, batch=batch: cls.is_done(path, batch), 30, "a batch is done")
            rows = cls.cluster.call(GATEWAY, "GET", path + "/results")[1]["results"]
            results.update({batch[row["item"]]: row for row in rows})
        return results

    @classmethod
    def is_done(cls, path, keys_of_batch) -> bool:
        """Returns whether a batch is done, after the engines of its other items have announced themselves again."""
        rows = cls.cluster.call(GATEWAY, "GET", path + "/results")[1].get("results", ())
        finished = {row["item"] for row in rows}
        for item, key in enumerate(keys_of_batch):
            if item not in finished:
                cls.announce(key)
        until = time.monotonic() + RENEWAL_S
        while time.monotonic() < until:
            if cls.cluster.call(GATEWAY, "GET", path)[1].get("state") == "done":
                return True
            time.sleep(POLL_S)
        return False

    def check_each(self, kind, cases, check):
        """Calls `check` with each key of the cases, and the number of runs."""
        for key in keys(kind, cases):
            with self.subTest(kind=kind, mode=key.mode, case=key.case.name):
                check(key, self.engines.runs[key.name])

    def check_unknown(self, key):
        status, body = self.answers[key]
        self.assertEqual(status, 502, body)
        self.assertEqual(body["error"]["outcome"], "unknown")

    def check_text(self, key):
        status, body = self.answers[key]
        self.assertEqual((status, body.get("text")), (200, TEXT), body)

    def test_a_completion_that_must_not_be_repeated_gets_502_after_one_run(self):
        def check(key, runs):
            self.check_unknown(key)
            self.assertEqual(runs, 1)

        self.check_each("once", MALFORMED, check)

    def test_a_completion_that_may_be_repeated_is_served_by_another_engine_or_gets_502(self):
        def check(key, runs):
            if runs == 1:
                self.check_unknown(key)
            else:
                self.check_text(key)
            self.assertLessEqual(runs, 2)

        self.check_each("again", MALFORMED, check)
        self.assertEqual([self.engines.runs[key.name] for key in keys("again")[:FIRST_RETRIES]], [2] * FIRST_RETRIES)

    def test_a_fetch_is_served_by_another_engine_or_fails(self):
        def check(key, runs):
            status, body = self.answers[key]
            if status == 200:
                self.assertEqual((runs, body), (2, FILE))
            elif status:
                self.check_unknown(key)
            else:
                self.assertIn(key.case, MALFORMED_CHUNKS)

        self.check_each("fetch", MALFORMED, check)
        self.assertEqual([self.engines.runs[key.name] for key in keys("fetch")[:FIRST_RETRIES]], [2] * FIRST_RETRIES)

    def test_an_item_that_must_not_be_repeated_has_the_outcome_unknown_after_one_run(self):
        def check(key, runs):
            self.assertEqual((self.results[key]["outcome"], runs), ("unknown", 1), self.results[key])

        self.check_each("itemonce", MALFORMED, check)

    def test_an_item_that_may_be_repeated_is_done_after_a_second_run(self):
        def check(key, runs):
            result = self.results[key]
            self.assertEqual((result["outcome"], result.get("text"), runs), ("done", TEXT, 2))

        self.check_each("itemagain", MALFORMED, check)

    def test_sound_responses_are_passed_on_whole_after_one_run(self):
        for kind in ("once", "again"):
            self.check_each(kind, SOUND, lambda key, runs: (self.check_text(key), self.assertEqual(runs, 1)))
        self.check_each("fetch", SOUND, lambda key, runs: self.assertEqual((*self.answers[key], runs), (200, FILE, 1)))
        for kind in ("itemonce", "itemagain"):
            self.check_each(
                kind, SOUND, lambda key, runs: self.assertEqual((self.results[key]["text"], runs), (TEXT, 1))
            )

    def test_malformed_responses_are_counted_and_logged_and_lost_connections_are_not(self):
        sent = len(MODES) * len(MALFORMED) * len(("once", "again", "fetch", "itemonce", "itemagain"))
        counted = re.search(r"^pipitlink_calls_malformed (\S+)$", self.metrics, re.MULTILINE)
        self.assertIsNotNone(counted)
        self.assertEqual(float(counted.group(1)), sent)
        self.assertEqual(self.log.count("event=engine_response_malformed"), sent)

    def test_no_connection_is_used_again(self):
        self.assertEqual(self.engines.reused, 0)


if __name__ == "__main__":
    unittest.main()

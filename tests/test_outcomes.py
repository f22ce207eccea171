"""The outcome that a client gets for each kind of engine failure, and whether the request reached the engine."""

import json
import socket
import threading
import unittest
from random import Random

from testbed.processes.process_cluster import ProcessCluster, free_ports, wait_for
from testbed.standins.clients import Clients

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


def piece(text: str, id=None, finish=None) -> bytes:
    return chunk("data: " + json.dumps({"id": id, "choices": [{"text": text, "finish_reason": finish}]}) + "\n\n")


class _RawEngine:
    """An engine that reads a request, sends given bytes and closes; it counts the requests that reached it."""

    def __init__(self, response: bytes, read=True, hold=False):
        self.response, self.read, self.hold = response, read, hold
        self.reached = 0
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        self._kept = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                c, _ = self._sock.accept()
            except OSError:
                return
            if self.read:
                c.recv(65536)
                self.reached += 1
            c.sendall(self.response)
            if self.hold:
                self._kept.append(c)
            else:
                c.close()

    def close(self):
        self._sock.close()
        for c in self._kept:
            c.close()


class Outcomes(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = ProcessCluster(gateways=1, storage_nodes=3, controllers=3, engines=0, cards=1)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        cls.n = 0

    def announce(self, port, model, pool="models"):
        Outcomes.n += 1
        status, said, _ = self.cluster.call(
            "gateway0",
            "POST",
            "/v1/engines",
            {
                "engine": f"raw{Outcomes.n}",
                "address": f"127.0.0.1:{port}",
                "pool": pool,
                "models": [model],
                "zone": "zone-a",
                "capacity": 4,
            },
        )
        self.assertEqual(status, 200, said)

    def generate(self, model, stream=False, repeatable=False, limit_ms=1500):
        return self.cluster.call(
            "gateway0",
            "POST",
            "/v1/generate",
            {"model": model, "prompt": "p", "stream": stream, "repeatable": repeatable, "limit_ms": limit_ms},
        )

    def call_raw_engine(self, response, **more):
        raw = _RawEngine(response, **more)
        self.addCleanup(raw.close)
        model = f"model{raw.port}"
        self.announce(raw.port, model)
        status, said, headers = self.generate(model)
        return raw, status, said["error"]["outcome"], headers

    def test_outcome_of_each_invalid_or_interrupted_response(self):
        done = chunk("data: [DONE]\n\n") + b"0\r\n\r\n"
        cases = {
            "closed after the request": (b"", "unknown", 502),
            "closed in the headers": (HEAD[:30], "unknown", 502),
            "closed after the headers": (HEAD, "unknown", 502),
            "closed after a piece": (HEAD + piece("a"), "unknown", 502),
            "complete body without the end marker": (HEAD + piece("a") + b"0\r\n\r\n", "unknown", 502),
            "closed after the end marker": (HEAD + piece("a") + chunk("data: [DONE]\n\n"), "unknown", 502),
            "an invalid piece": (HEAD + chunk('data: {"choices": 3}\n\n') + done, "unknown", 502),
            "an error among the pieces": (
                HEAD + piece("a") + chunk('data: {"error": {"message": "x"}}\n\n') + done,
                "unknown",
                502,
            ),
            "a piece of another completion": (HEAD + piece("a", id="1") + piece("b", id="2") + done, "unknown", 502),
            "more after the finish reason": (HEAD + piece("a", finish="stop") + piece("b") + done, "unknown", 502),
            "a piece after the end marker": (
                HEAD + piece("a") + chunk("data: [DONE]\n\n") + piece("b") + done,
                "unknown",
                502,
            ),
            "a text that is not a string": (
                HEAD + chunk('data: {"choices": [{"text": 3}]}\n\n') + done,
                "unknown",
                502,
            ),
            "redirected": (
                b"HTTP/1.1 307 On\r\nLocation: http://127.0.0.1:1/x\r\nContent-Length: 0\r\n\r\n",
                "failed",
                502,
            ),
            "refused as busy": (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "not_run", 503),
            "refused as invalid": (b"HTTP/1.1 400 No\r\nContent-Length: 3\r\n\r\nbad", "failed", 502),
        }
        for name, (response, outcome, code) in cases.items():
            with self.subTest(name):
                raw, status, results, headers = self.call_raw_engine(response)
                self.assertEqual((status, results), (code, outcome))
                self.assertEqual(raw.reached, 1)
                self.assertEqual("Retry-After" in headers, outcome == "not_run")

    def test_refused_connection_is_not_run(self):
        (port,) = free_ports(1)
        self.announce(port, "nobody")
        status, said, headers = self.generate("nobody")
        self.assertEqual((status, said["error"]["outcome"], headers["Retry-After"]), (503, "not_run", "1"))

    def test_request_to_a_hanging_engine_ends_at_its_deadline_with_an_unknown_outcome(self):
        raw, status, results, _ = self.call_raw_engine(b"", hold=True)
        self.assertEqual((raw.reached, status, results), (1, 504, "unknown"))

    def test_only_a_repeatable_request_is_retried_at_a_second_engine(self):
        for repeatable in (False, True):
            model = f"two-{repeatable}"
            bad = _RawEngine(b"")
            good = _RawEngine(HEAD + piece("whole") + chunk("data: [DONE]\n\n") + b"0\r\n\r\n")
            self.addCleanup(bad.close)
            self.addCleanup(good.close)
            self.announce(bad.port, model)
            if not repeatable:
                got = self.generate(model)
                self.assertEqual((got[0], bad.reached), (502, 1))
                continue
            self.announce(good.port, model)
            for _ in range(40):
                got = self.generate(model, repeatable=True)
                self.assertEqual((got[0], got[1].get("text")), (200, "whole"))
                if bad.reached:
                    break
            self.assertEqual((bad.reached, good.reached > 0), (1, True))

    def test_attempt_with_an_unknown_outcome_prevails_over_a_later_refused_one(self):
        bad = _RawEngine(b"")
        busy = _RawEngine(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        for raw in (bad, busy):
            self.addCleanup(raw.close)
            self.announce(raw.port, "both")
        for _ in range(6):
            reached = bad.reached
            status, said, _ = self.generate("both", repeatable=True)
            self.assertNotEqual(status, 200)
            self.assertEqual(said["error"]["outcome"], "unknown" if bad.reached > reached else "not_run")

    def test_interrupted_stream_ends_with_a_fault_and_without_an_end_record(self):
        raw = _RawEngine(HEAD + piece("a") + piece("b"))
        self.addCleanup(raw.close)
        self.announce(raw.port, "cut")
        c = socket.create_connection(("127.0.0.1", self.cluster.programs["gateway0"].ports[1]), timeout=5)
        body = json.dumps({"model": "cut", "prompt": "p"})
        c.sendall(f"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        data = b""
        while more := c.recv(65536):
            data += more
        c.close()
        self.assertIn(b"event: fault", data)
        self.assertIn(b'"outcome": "unknown"', data)
        self.assertNotIn(b"event: end", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"), "the body ends as if it were complete")

    def test_run_resumes_at_the_given_position_and_other_positions_or_runs_are_refused(self):
        raw = _RawEngine(HEAD + piece("a") + piece("b"), hold=True)
        self.addCleanup(raw.close)
        self.announce(raw.port, "resumed")
        c = socket.create_connection(("127.0.0.1", self.cluster.programs["gateway0"].ports[1]), timeout=5)
        body = json.dumps({"model": "resumed", "prompt": "p", "limit_ms": 20000})
        c.sendall(f"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        data = b""
        while data.count(b"event: piece") < 2:
            data += c.recv(65536)
        run = json.loads(data.partition(b"event: run\ndata: ")[2].partition(b"\n")[0])["id"]
        c.close()
        for conn in raw._kept:
            conn.sendall(piece("c") + chunk("data: [DONE]\n\n") + b"0\r\n\r\n")
        status, shown, _ = self.cluster.call("gateway0", "GET", f"/v1/generate/{run}?from=1")
        self.assertEqual(status, 200)
        texts = [json.loads(e.partition("data: ")[2]) for e in shown.decode().split("\n\n") if "event: piece" in e]
        self.assertEqual(texts, [{"n": 1, "text": "b"}, {"n": 2, "text": "c"}])
        self.assertIn(b"event: end", shown)
        self.assertEqual(self.cluster.call("gateway0", "GET", f"/v1/generate/{run}?from=9")[0], 416)
        self.assertEqual(self.cluster.call("gateway0", "GET", "/v1/generate/nobody?from=0")[0], 404)

    def test_truncated_card_is_never_delivered_as_complete(self):
        wait_for(
            lambda: self.cluster.call("gateway0", "GET", "/v1/fetch/cards/cards/a")[0] == 200, 10, "cards are known"
        )
        self.cluster.call("card0", "POST", "/mode/cut")
        try:
            for n in range(5):
                status, body, _ = self.cluster.call("gateway0", "GET", f"/v1/fetch/cards/cards/{n}")
                self.assertEqual(status, 0, body)
        finally:
            self.cluster.call("card0", "POST", "/mode/well")

    def test_invalid_and_oversized_requests_are_refused(self):
        status, said, _ = self.cluster.call("gateway0", "POST", "/v1/generate", b"x" * (1024 * 1024 + 1))
        self.assertIn(status, (0, 413))
        if status:
            self.assertEqual(said["error"]["code"], "body_too_long")
        self.assertEqual(self.cluster.call("gateway0", "POST", "/v1/generate", b"[1")[1]["error"]["code"], "bad_json")
        self.assertEqual(self.cluster.call("gateway0", "GET", "/v1/lots/zz")[1]["error"]["code"], "bad_id")
        self.assertEqual(self.cluster.call("gateway0", "GET", "/v1/lots/ab.1.0")[1]["error"]["code"], "no_such_lot")
        self.assertEqual(
            self.cluster.call("gateway0", "GET", "/v1/lots/ab.1.0/results?from=x")[1]["error"]["field"], "from"
        )


class Draining(unittest.TestCase):
    def test_gateway_that_shuts_down_finishes_its_streams_and_hands_over_its_batches(self):
        cluster = ProcessCluster(gateways=2, storage_nodes=3, controllers=3, engines=2, cards=0, step=0.15)
        self.addCleanup(cluster.stop)
        cluster.start()
        clients = Clients(cluster, Random(1))
        wait_for(lambda: clients.generate("warm", gateway="gateway0")["end"], 20, "an engine is known")
        batch = cluster.call(
            "gateway0", "POST", "/v1/lots", {"items": [{"model": "pipit-small", "prompt": f"d{n}"} for n in range(20)]}
        )[1]["lot"]
        results = []
        t = threading.Thread(target=lambda: results.append(clients.generate("draining", gateway="gateway0")))
        t.start()
        wait_for(lambda: any(n["event"] == "run" and n["prompt"] == "draining" for n in cluster.notes()), 10, "it runs")
        self.assertEqual(cluster.programs["gateway0"].end(), 0)
        t.join(10)
        self.assertTrue(results[0]["end"], results)
        wait_for(
            lambda: cluster.call("gateway1", "GET", f"/v1/lots/{batch}")[1].get("state") == "done",
            30,
            "the batch is done",
        )
        listed = cluster.call("gateway1", "GET", f"/v1/lots/{batch}/results")[1]["results"]
        self.assertEqual({r["outcome"] for r in listed}, {"done"})
        self.assertEqual(len(listed), 20)

"""A cluster of processes on loopback: requests, batches, edits and change events."""

import subprocess
import sys
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from random import Random

from cloudevents.core.bindings.http import HTTPMessage, from_structured
from cloudevents.core.formats.json import JSONFormat

from testbed.checks.checker import check
from testbed.processes.process_cluster import ProcessCluster, free_ports, wait_for
from testbed.standins.clients import Clients
from testbed.standins.engine import card_bytes, response_pieces


class _Listener(BaseHTTPRequestHandler):
    """Receives CloudEvents, as an operator's endpoint would."""

    received: list = []

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.received.append(from_structured(HTTPMessage(dict(self.headers), body), JSONFormat()))
        self.send_response(204)
        self.end_headers()

    def log_message(self, *_):
        pass


class EndToEnd(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        listener = ThreadingHTTPServer(("127.0.0.1", 0), _Listener)
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        cls.addClassCleanup(listener.server_close)
        cls.addClassCleanup(listener.shutdown)
        address = f"127.0.0.1:{listener.server_address[1]}/changes"
        cls.cluster = ProcessCluster(
            gateways=3, storage_nodes=3, controllers=3, engines=2, cards=1, settings={"changes_to": address}
        )
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        wait_for(lambda: cls.generate("warm")[0] == 200, 10, "an engine is known")

    @classmethod
    def generate(cls, prompt, gateway="gateway0", **more):
        return cls.cluster.call(
            gateway, "POST", "/v1/generate", {"model": "pipit-small", "prompt": prompt, "stream": False, **more}
        )

    def test_stream_has_the_pieces_of_the_engine_and_an_end_record(self):
        status, raw, headers = self.cluster.call(
            "gateway1", "POST", "/v1/generate", {"model": "pipit-small", "prompt": "where is the ferry"}
        )
        self.assertEqual(status, 200)
        self.assertEqual(headers.get_content_type(), "text/event-stream")
        events = raw.decode().strip().split("\n\n")
        pieces = response_pieces("where is the ferry", 256)
        self.assertEqual([e.splitlines()[0] for e in events[1:-1]], [f"id: {n}" for n in range(len(pieces))])
        self.assertTrue(events[-1].startswith("event: end\n"))

    def test_client_resumes_its_stream_at_any_gateway_where_it_stopped(self):
        clients = Clients(self.cluster, Random(1))
        for then in ("gateway0", "gateway1", "gateway2"):
            prompt = f"moved to {then}"
            e = clients.generate(prompt, gateway="gateway0", leave_at=2, then=then)
            self.assertEqual((e["end"], e["fault"]), (True, None))
            self.assertEqual(e["pieces"], list(enumerate(response_pieces(prompt, 256))))
        run = e["run"]
        self.assertEqual(self.cluster.call("gateway1", "GET", f"/v1/generate/{run}?from=99")[0], 416)
        self.assertEqual(check(clients.recorded_events(), self.cluster.notes(), {}), [])
        for gone in (f"{'0' * 16}-{run[17:]}", f"{run[:16]}-{'0' * 16}"):
            status, said, _ = self.cluster.call("gateway1", "GET", f"/v1/generate/{gone}?from=0")
            self.assertEqual(
                (status, said["error"]["code"], said["error"]["outcome"]), (404, "run_not_held", "unknown")
            )

    def test_fetched_card_is_unchanged(self):
        wait_for(
            lambda: self.cluster.call("gateway0", "GET", "/v1/fetch/cards/cards/a")[0] == 200, 10, "cards are known"
        )
        self.assertEqual(self.cluster.call("gateway2", "GET", "/v1/fetch/cards/cards/delos")[1], card_bytes("delos"))

    def test_results_of_a_batch_are_shown_by_any_gateway(self):
        items = [{"model": "pipit-small", "prompt": f"brief {n}"} for n in range(12)]
        status, batch, _ = self.cluster.call("gateway0", "POST", "/v1/lots", {"items": items})
        self.assertEqual(status, 201)
        path = f"/v1/lots/{batch['lot']}"
        wait_for(lambda: self.cluster.call("gateway1", "GET", path)[1].get("state") == "done", 20, "the batch is done")
        shown = self.cluster.call("gateway2", "GET", path + "/results")[1]["results"]
        self.assertEqual(sorted(r["item"] for r in shown), list(range(12)))
        for r in shown:
            self.assertEqual(r["text"], "".join(response_pieces(f"brief {r['item']}", 256)))

    def test_changes_are_published_as_cloudevents(self):
        batch = self.cluster.call(
            "gateway0", "POST", "/v1/lots", {"items": [{"model": "pipit-small", "prompt": "told"}]}
        )[1]["lot"]

        def received(kind):
            return [e for e in _Listener.received if e.get_type() == f"pipitlink.{kind}"]

        done = wait_for(
            lambda: [e for e in received("lot_done") if e.get_data()["lot"] == batch], 20, "its end is published"
        )
        self.assertEqual(len(done), 1)
        self.assertTrue(done[0].get_source().startswith("/pipit/zone-"))
        self.assertTrue(received("engine") and received("cluster") and received("leading"))

    def test_invalid_requests_are_refused_with_the_name_of_the_field(self):
        for body, field in (
            ({"model": "m"}, "prompt"),
            ({"model": 3, "prompt": ""}, "model"),
            ({"model": "m", "prompt": "", "colour": 1}, "colour"),
        ):
            status, said, _ = self.cluster.call("gateway0", "POST", "/v1/generate", body)
            self.assertEqual((status, said["error"].get("field")), (400, field), said)

    def test_compare_succeeds_once_two_nodes_agree_and_fails_for_an_unreachable_node(self):
        at = self.cluster.operator_address

        def compare(*args):
            return subprocess.run(
                [sys.executable, "-m", "pipitlink", "compare", *args], capture_output=True, text=True, timeout=30
            )

        def until_alike(a, b):
            said = []

            def alike():
                run = compare(at(a), at(b))
                said.append(run.stdout)
                return run.returncode == 0

            try:
                wait_for(alike, 15, f"{a} and {b} agree")
            except AssertionError as e:
                raise AssertionError(f"{e}: {said[-1]}") from e

        until_alike("gateway0", "gateway1")
        until_alike("storage0", "controller0")
        (free,) = free_ports(1)
        self.assertEqual(compare(at("gateway0"), f"127.0.0.1:{free}").returncode, 2)
        until_alike("storage0", "storage1")

    def test_batch_sent_twice_with_one_key_is_accepted_once(self):
        body = {"items": [{"model": "pipit-small", "prompt": "keyed"}], "customer": "c", "idempotency_key": "k1"}
        first = self.cluster.call("gateway0", "POST", "/v1/lots", body)
        again = self.cluster.call("gateway1", "POST", "/v1/lots", body)
        self.assertEqual((first[0], again[0], again[1]["lot"]), (201, 200, first[1]["lot"]))
        other = self.cluster.call("gateway2", "POST", "/v1/lots", {**body, "items": body["items"] * 2})
        self.assertEqual((other[0], other[1]["error"]["code"]), (409, "key_in_use"))
        path = f"/v1/lots/{first[1]['lot']}"
        wait_for(lambda: self.cluster.call("gateway1", "GET", path)[1].get("state") == "done", 20, "the batch is done")
        self.assertEqual(len([n for n in self.cluster.notes() if n["event"] == "run" and n["prompt"] == "keyed"]), 1)

    def test_row_limits_the_rate_and_refusals_have_a_retry_after_header(self):
        base = self.cluster.call("controller0", "GET", "/v1/table")[1]["sequence"]
        row = {"model": "pipit-small", "pool": "models", "rate": 1.5}
        self.assertEqual(
            self.cluster.call("controller1", "PUT", "/v1/table/rows/slow", row, {"If-Match": str(base)})[0], 200
        )
        try:
            results = [self.generate(f"rate {n}") for n in range(3)]
            limited = [
                (t[0], t[1]["error"]["code"], t[1]["error"]["outcome"], int(t[2]["Retry-After"]) >= 1)
                for t in results
                if t[0] != 200
            ]
            self.assertIn((429, "rate_limited", "not_run", True), limited)
        finally:
            base = self.cluster.call("controller0", "GET", "/v1/table")[1]["sequence"]
            said = self.cluster.call("controller2", "DELETE", "/v1/table/rows/slow", None, {"If-Match": str(base)})
            self.assertEqual(said[0], 200)

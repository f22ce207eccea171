"""Measures live traffic on a healthy cluster, in alternating windows with and without batches."""

import json
import re
import threading
import time
from random import Random

from ..processes.process_cluster import ProcessCluster, wait_for
from ..standins.clients import Client, Clients
from .deployment_profiles import PROFILES, spread

__all__ = ["Bench"]

FIRST_PIECE_BUCKET = r'^pipitlink_first_piece_seconds_bucket\{le="(\S+)"\} (\S+)$'
ROW = {"model": "bench", "pool": "models", "weight": 1}


class Bench:
    def __init__(self, profile: str, seed: int, rounds: int, window: float):
        self.p = PROFILES[profile]
        self.rounds, self.window = rounds, window
        p = self.p
        self.cluster = ProcessCluster(
            gateways=p["gateways"],
            storage_nodes=p["storage_nodes"],
            controllers=p["controllers"],
            engines=p["engines"],
            cards=p["cards"],
            capacity=8,
            step=0.02,
        )
        self.clients = Clients(self.cluster, Random(seed))
        self._n = 0
        self._seen: list[float] = []

    def run(self) -> int:
        try:
            self.cluster.start(60)
            wait_for(lambda: self.clients.generate("warm")["end"], 20, "an engine is known")
            time.sleep(9)
            c = self.clients
            c.start(Client(c, "walk", 1 / self.p["live"], lambda c, n: c.generate(n, prefix=f"tour{hash(n) % 5}")))
            c.start(Client(c, "card", 1 / self.p["fetch"], lambda c, n: c.fetch(n)))
            windows = {"alone": [], "beside_lots": []}
            self.inside: dict = {k: {} for k in windows}
            for _ in range(self.rounds):
                for kind, spans in windows.items():
                    began, before = time.monotonic(), self._counts(FIRST_PIECE_BUCKET)
                    if kind == "beside_lots":
                        self._batches()
                    time.sleep(max(0.0, self.window - (time.monotonic() - began)))
                    spans.append((began, time.monotonic()))
                    for le, n in self._counts(FIRST_PIECE_BUCKET).items():
                        self.inside[kind][le] = self.inside[kind].get(le, 0) + n - before.get(le, 0)
                    if kind == "beside_lots":
                        self._drain()
            edits = [self._edit(n) for n in range(20)]
            self.clients.stop()
            self._report(windows, edits)
            return 0
        finally:
            self.clients.stop()
            self.cluster.stop()

    def _batches(self):
        for _ in range(4):
            self._n += 1
            e = self.clients.submit_batch(f"bench-{self._n}", 40, watch=False)
            threading.Thread(target=self._watch_results, args=(e["lot"],), daemon=True).start()

    def _watch_results(self, batch):
        """Records when each item is first visible at a gateway, which may not be the leaseholder of the batch."""
        start, gateway = 0, self.clients.pick_gateway()
        until = time.monotonic() + 60
        while time.monotonic() < until:
            status, said, _ = self.cluster.call(gateway, "GET", f"/v1/lots/{batch}/results?from={start}")
            now = time.monotonic()
            if status == 200:
                for r in said["results"]:
                    self.clients.note("visible", lot=batch, item=r["item"], seen=now)
                start = said["next"]
                if said["state"] == "done":
                    return
            time.sleep(0.03)

    def _drain(self):
        batches = [e["lot"] for e in self.clients.recorded_events() if e["event"] == "lot" and e["lot"]]
        gateway = self.cluster.nodes("gateway")[0]
        for batch in batches[-4:]:
            wait_for(
                lambda: self.cluster.call(gateway, "GET", f"/v1/lots/{batch}")[1].get("state") == "done", 60, "done"
            )

    def _edit(self, n) -> dict:
        """Measures the seconds from an edit request to its response, and until every gateway has the edit."""
        controller = self.cluster.nodes("controller")[n % len(self.cluster.nodes("controller"))]
        base = self.cluster.call(controller, "GET", "/v1/table")[1]["sequence"]
        began = time.monotonic()
        status, said, _ = self.cluster.call(
            controller, "PUT", "/v1/table/rows/bench", {**ROW, "weight": n + 1}, {"If-Match": str(base)}
        )
        acked = time.monotonic()
        assert status == 200, said

        def everywhere():
            return all(
                self.cluster.call(g, "GET", "/v1/ready")[1]["cluster"] >= said["sequence"]
                for g in self.cluster.nodes("gateway")
            )

        wait_for(everywhere, 5, "every gateway has the edit")
        return {"acked": acked - began, "everywhere": time.monotonic() - began}

    def _counts(self, pattern=r"^pipitlink_cache_(\w+) (\S+)$") -> dict:
        out: dict[str, float] = {}
        for g in self.cluster.nodes("gateway"):
            status, text, _ = self._metrics(g)
            for name, value in re.findall(pattern, text.decode(), re.M):
                out[name] = out.get(name, 0) + float(value)
        return out

    def _metrics(self, gateway):
        import http.client

        c = http.client.HTTPConnection("127.0.0.1", self.cluster.programs[gateway].ports[2], timeout=5)
        c.request("GET", "/metrics")
        r = c.getresponse()
        return r.status, r.read(), r.headers

    def _report(self, windows, edits):
        events, notes = self.clients.recorded_events(), self.cluster.notes()
        live_requests = [e for e in events if e["event"] == "told" and e["end"] and e["prompt"] != "warm"]
        batches = {e["lot"]: e for e in events if e["event"] == "lot" and e["lot"]}
        done = {}
        prompts = {n["run"]: n["prompt"] for n in notes if n["event"] == "run"}
        for n in notes:
            if n["event"] == "done":
                done[prompts.get(n["run"])] = n["at"]
        visible = sorted(
            e["seen"] - done[batches[e["lot"]]["prompts"][e["item"]]]
            for e in events
            if e["event"] == "visible" and batches[e["lot"]]["prompts"][e["item"]] in done
        )
        out = {"profile": self.p, "windows": self.rounds}
        for kind, spans in windows.items():
            inside = [[e for e in live_requests if a <= e["asked"] < b] for a, b in spans]
            out[f"first_piece_{kind}"] = spread(e["first"] for es in inside for e in es)
            out[f"first_piece_{kind}_p50_by_window"] = [
                spread(sorted(e["first"] for e in es)).get("p50") for es in inside
            ]
            out[f"first_piece_{kind}_in_gateways_share_within_s"] = {
                le: round(n / max(1, self.inside[kind]["+Inf"]), 4) for le, n in self.inside[kind].items()
            }
        out["lot_accept"] = spread(e["took"] for e in batches.values())
        out["result_visible_after_engine"] = spread(visible)
        out["edit_acked"] = spread(e["acked"] for e in edits)
        out["edit_everywhere"] = spread(e["everywhere"] for e in edits)
        counts = self._counts()
        read = sum(counts.get(k, 0) for k in ("relaxed", "consistent", "durable"))
        out["cache_hit_share"] = round((counts.get("relaxed", 0) + counts.get("consistent", 0)) / max(1, read), 4)
        out["cache_counts"] = counts
        print(json.dumps(out, indent=1))

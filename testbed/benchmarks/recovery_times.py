"""Measures how soon a cluster of processes recovers from faults, and how soon changes by operators take effect."""

import json
import threading
import time
from random import Random

from ..faults.final_fault import FINAL_FAULTS, RECOVERY_LIMIT_SECONDS
from ..processes.process_cluster import ZONES, wait_for
from ..standins.clients import Client
from .deployment_profiles import spread
from .soak import Soak

__all__ = ["RecoveryTimes", "LIMIT_SECONDS"]

LIMIT_SECONDS = {
    "leaving": 2.0,
    "edit": 2.0,
    "reading": 1.0,
    "result": 1.0,
    "ended": 3.0,
    "zone": 5.0,
    "back": RECOVERY_LIMIT_SECONDS,
    "repair": 30.0,
}


class RecoveryTimes(Soak):
    def __init__(self, profile: str, seed: int, names, times: int):
        super().__init__(profile, seed, 0)
        self.names, self.times = names, times
        self.rng = Random(seed)

    def run(self) -> int:
        try:
            self.cluster.start(60)
            self._began = time.monotonic()
            wait_for(lambda: self.clients.generate("warm")["end"], 20, "an engine is known")
            time.sleep(9)
            c = self.clients
            c.start(Client(c, "walk", 1 / self.profile["live"] / 2, lambda c, n: c.generate(n)))
            c.start(Client(c, "card", 1 / self.profile["fetch"], lambda c, n: c.fetch(n)))
            c.start(Client(c, "night", 6, lambda c, n: self.submit_batch(n, 40, 3_600_000)))
            for name in self.names:
                took = [v for n in range(self.times) for v in getattr(self, "_measure_" + name)(n)]
                limit = LIMIT_SECONDS[name]
                print(
                    json.dumps(
                        {"promise": name, "limit_s": limit, "missed": sum(v > limit for v in took), "ms": spread(took)}
                    ),
                    flush=True,
                )
            return 0
        finally:
            self.clients.stop()
            self.cluster.stop()

    def _last_run(self, since, engines, until=None) -> float:
        """Returns the seconds from `since` to the last start of a run at one of the engines; 0 if none started."""
        return max(
            (
                n["at"] - since
                for n in self.cluster.notes()
                if n["event"] in ("run", "card")
                and n["engine"] in engines
                and n["at"] > since
                and (until is None or n["at"] < until)
            ),
            default=0.0,
        )

    def _measure_leaving(self, n):
        name = self.cluster.engines[n % len(self.cluster.engines)]
        self.cluster.call(name, "POST", "/mode/leaving")
        notified_at = time.monotonic()
        time.sleep(3)
        until = time.monotonic()
        self.cluster.programs[name].kill()
        self.cluster.programs[name].start()
        time.sleep(1)
        return [self._last_run(notified_at, [name], until)]

    def _measure_edit(self, n):
        """Measures the time from the acknowledgement of an edit until all gateways have applied it."""
        e = self.clients.edit(
            f"row-{n % 4}",
            {"model": f"m{n}"},
            f"edit-{n}-{time.monotonic()}",
            self._random_node(self.rng, "controller"),
        )
        acked = time.monotonic()
        if e.get("status") != 200:
            return [99.0]
        wait_for(
            lambda: all(
                self.cluster.call(g, "GET", "/v1/ready")[1]["cluster"] >= e["sequence"]
                for g in self.cluster.nodes("gateway")
            ),
            10,
            "every gateway has the edit",
        )
        return [time.monotonic() - acked]

    def _measure_reading(self, n):
        """Kills or freezes a storage node right after a batch is accepted.

        Measures the time until every gateway has shown the batch.
        """
        p = self.cluster.programs[self.cluster.nodes("storage")[n % 4]]
        e = self.clients.submit_batch(f"reading-{n}", 4, watch=False)
        acked, took = time.monotonic(), []
        if not e["lot"]:
            return [99.0]
        (p.freeze if n % 2 else p.kill)()

        def read(g):
            wait_for(lambda: self.clients.read_batch(e["lot"], g)["status"] == 200, 20, f"{g} shows it")
            took.append(time.monotonic() - acked)

        threads = [threading.Thread(target=read, args=(g,)) for g in self.cluster.nodes("gateway")]
        for t in threads:
            t.start()
        for t in threads:
            t.join(25)
        (p.thaw if n % 2 else p.start)()
        time.sleep(5)
        return [max(took) if len(took) == len(threads) else 99.0]

    def _measure_result(self, n):
        """Measures the time from the end of each item's run until a gateway lists it, while another gateway is down."""
        down = self.cluster.nodes("gateway")[n % len(self.cluster.nodes("gateway"))]
        g = self.clients.pick_gateway(exclude=down)
        e = self.clients.submit_batch(f"result-{n}", 6, watch=False, gateway=g)
        self.clients.excluded_gateways.add(down)
        self.cluster.programs[down].kill()
        seen: dict[int, float] = {}

        def all_seen():
            r = self.clients.read_batch(e["lot"], g)
            for x in r["results"] or ():
                seen.setdefault(x["item"], time.monotonic())
            return len(seen) == 6

        wait_for(all_seen, 40, "all are listed")
        self.cluster.programs[down].start()
        self._wait_until_ready([down])
        self.clients.excluded_gateways.discard(down)
        notes = self.cluster.notes()
        prompts = {x["run"]: x["prompt"] for x in notes if x["event"] == "run"}
        done = {prompts.get(x["run"]): x["at"] for x in notes if x["event"] == "done"}
        return [at - done[p] for i, at in seen.items() if (p := f"result-{n}/{i}") in done]

    def _measure_ended(self, n):
        e = self.clients.submit_batch(f"ended-{n}", 120, 3_600_000, watch=False)
        time.sleep(0.8)
        self.clients.cancel_batch(e["lot"])
        acked = time.monotonic()
        time.sleep(4)
        notes = self.cluster.notes()
        mine = {x["run"] for x in notes if x["event"] == "run" and x["prompt"].startswith(f"ended-{n}/")}
        return [max((x["at"] - acked for x in notes if x.get("run") in mine and x["at"] > acked), default=0.0)]

    def _measure_zone(self, n):
        zone = ZONES[n % 4]
        if self.clients.zone(zone, True, self.leader()) != 200:
            return [99.0]
        acked = time.monotonic()
        time.sleep(6)
        until = time.monotonic()
        took = self._last_run(
            acked, [e for e in self.cluster.engines + self.cluster.cards if self.cluster.zones[e] == zone], until
        )
        self.clients.zone(zone, False, self.leader())
        time.sleep(2)
        return [took]

    def _measure_repair(self, n):
        """Restarts a storage node with an empty disk, so that it gets a new ID.

        Measures the time until its old ID is gone and every placement group has three replicas again.
        """
        name = self.cluster.nodes("storage")[n % 4]
        lost = self.storage_node_id(name)
        self.cluster.programs[name].kill()
        self.cluster.wipe(name)
        began = time.monotonic()
        self.cluster.programs[name].start()
        self._wait_for_placement(lost)
        took = time.monotonic() - began
        time.sleep(3)
        return [took]

    def _measure_back(self, n):
        """Measures the time until every kind of request succeeds again at the nodes that the fault spares.

        The fault is that of index `n` in FINAL_FAULTS, modulo its length: several nodes at once, or all of a zone. It
        ends after the measurement; returns once all placement groups are placed again.
        """
        kind = FINAL_FAULTS[n % len(FINAL_FAULTS)]
        names = (
            self.nodes_in_zone(ZONES[n % 4], True)
            if kind == "zone"
            else [self._random_node(self.rng, "gateway"), self.busiest(), self.leader()]
        )
        heal = self._inject_final_fault(kind, names, self.rng)
        took = self._wait_for_service(names, time.monotonic())
        self.log(f"service recovered after {took:.1f} s")
        heal()
        self._wait_until_ready([x for x in names if x in self.nodes()])
        self.clients.excluded_gateways.clear()
        wait_for(
            lambda: sum(d["placement_groups"] for d in self.storage_nodes().values() if d["heard"] == "alive") == 48,
            90,
            "all placement groups are placed again",
        )
        time.sleep(3)
        return [took]

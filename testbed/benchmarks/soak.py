"""Soak runs: mixed load and a seeded schedule of faults on a cluster of processes, with checks of recorded events."""

import json
import threading
import time
from random import Random

from ..checks.checker import check
from ..faults.component_failures import ComponentFailures
from ..faults.final_fault import FinalFault
from ..faults.overload import OverloadFaults
from ..processes.process_cluster import ProcessCluster, wait_for
from ..standins.clients import Client, Clients
from .deployment_profiles import PROFILES, spread

__all__ = ["Soak", "FAULTS"]

FAULTS = tuple(sorted(n[5:] for c in (ComponentFailures, OverloadFaults) for n in vars(c) if n.startswith("plan_")))
LIMITS = {"metered": (4.0, 0), "narrow": (0, 3)}
QUIET_SECONDS = 12.0


class Soak(ComponentFailures, OverloadFaults, FinalFault):
    def __init__(
        self,
        profile: str,
        seed: int,
        minutes: float,
        keep=None,
        faults=FAULTS,
        level="info",
        together=2,
        quiet=QUIET_SECONDS,
        floors=True,
    ):
        p = PROFILES[profile]
        self.quiet, self.floors = quiet, floors
        self.seed, self.minutes, self.faults, self.together = seed, minutes, faults, together
        self.cluster = ProcessCluster(
            gateways=p["gateways"],
            storage_nodes=p["storage_nodes"],
            controllers=p["controllers"],
            engines=p["engines"],
            cards=p["cards"],
            capacity=8,
            step=0.02,
            keep=keep,
            level=level,
            models="pipit-small,gated,metered,narrow",
        )
        self.clients = Clients(self.cluster, Random(seed + 1))
        self.profile = p
        self.history: list[str] = []
        self._batches: list[str] = []
        self._n = self._added_nodes = 0
        self._began = 0.0
        self._claims: dict[int, list[str]] = {}
        self._claim_released = threading.Condition()

    def log(self, text):
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        self.history.append(line)
        print(line, flush=True)

    def run(self) -> int:
        try:
            self.cluster.start(60)
            self._began = time.monotonic()
            self._limits()
            self._load()
            end = time.monotonic() + self.quiet + self.minutes * 60
            self.clients.stopped.wait(self.quiet)
            self._inject_faults(end)
            self._run_final_fault()
            return self._report()
        finally:
            self.clients.stop()
            self.cluster.stop()

    def _limits(self):
        wait_for(lambda: self.clients.generate("warm")["end"], 20, "an engine is known")
        for model, (rate, runs) in LIMITS.items():
            row = {"model": model, **({"rate": rate} if rate else {"concurrency": runs})}
            wait_for(
                lambda: (
                    self.clients.edit(model, row, f"{model}-{time.monotonic()}", self.leader()).get("status") == 200
                ),
                20,
                f"{model} is limited",
            )

    def _inject_faults(self, end):
        """Injects faults until `end`; each draws from a rng of its own, so that a seed reproduces the schedule."""
        n, running = 0, []
        while time.monotonic() < end:
            n += 1
            rng = Random(f"{self.seed}/{n}")
            names, inject = getattr(self, "plan_" + rng.choice(self.faults))(rng)
            if not self._claim(n, names, end):
                continue
            t = threading.Thread(target=self._run, args=(n, inject), daemon=True)
            t.start()
            running.append(t)
            self.clients.stopped.wait(0.2 + 2 * rng.random() if n % 4 else 8)
        for t in running:
            t.join(150)

    def _run(self, n, inject):
        try:
            inject()
        except Exception as e:
            self.clients.note("fault_failed", text=f"a fault did not heal: {e!r}")
        finally:
            with self._claim_released:
                del self._claims[n]
                self._claim_released.notify_all()

    def _claim(self, n, names, end) -> bool:
        with self._claim_released:
            while time.monotonic() < end:
                if len(self._claims) < self.together and self._is_tolerable(names):
                    self._claims[n] = names
                    return True
                self._claim_released.wait(1)
        return False

    def _is_tolerable(self, names) -> bool:
        """Whether the cluster tolerates a fault of these nodes beside the active ones.

        At most half of the gateways, of the engines and of the card servers may be affected. Controllers and storage
        nodes may be affected in one zone only, except by a single fault of the network or of placement ("core"), which
        excludes all other faults if any of them affects controllers or storage nodes.
        """
        have = [x for xs in self._claims.values() for x in xs]
        both = have + names
        kinds = {k: sum(x.startswith(k) for x in set(both)) for k in ("gateway", "engine", "card")}
        disks = [x for x in both if x.startswith(("storage", "controller"))]
        return (
            not set(have) & set(names)
            and not (have and "core" in both and disks and ("core" in have) != ("core" in names))
            and ("core" in both or len({self.cluster.zones[x] for x in disks}) <= 1)
            and kinds["gateway"] <= len(self.cluster.nodes("gateway")) / 2
            and kinds["engine"] <= len(self.cluster.engines) / 2
            and kinds["card"] <= len(self.cluster.cards) / 2
        )

    def _load(self):
        p, rng = self.profile, self.clients.rng
        c = self.clients
        c.start(Client(c, "walk", 1 / p["live"], lambda c, n: c.generate(n, prefix=f"tour{hash(n) % 5}")))
        c.start(Client(c, "again", 2 / p["live"], lambda c, n: c.generate(n, repeatable=True)))
        c.start(Client(c, "card", 1 / p["fetch"], lambda c, n: c.fetch(n)))
        c.start(Client(c, "leaver", 0.7, self._leave_and_resume))
        c.start(Client(c, "slow", 2, lambda c, n: c.generate(n, slow=0.15, limit=25)))
        c.start(Client(c, "stuck", 6, lambda c, n: c.send_without_reading(n, 4)))
        c.start(Client(c, "night", 20, lambda c, n: self.submit_batch(n, 60, 3_600_000)))
        c.start(Client(c, "brief", 1.2, lambda c, n: self.submit_batch(n, 5, 20_000, priority=5)))
        c.start(Client(c, "reader", 0.5, lambda c, n: self._batches and c.read_batch(rng.choice(self._batches[-12:]))))
        c.start(Client(c, "operator", 1.2, self._edit))
        c.start(
            Client(
                c, "gate", 6, lambda c, n: c.gate("gated", int(n[5:]) % 2 == 0, self._random_node(rng, "controller"))
            )
        )
        c.start(Client(c, "gated", 0.3, lambda c, n: c.generate(n, model="gated")))
        c.start(Client(c, "metered", 0.15, lambda c, n: c.generate(n, model="metered")))
        c.start(Client(c, "narrow", 0.15, lambda c, n: c.generate(n, model="narrow")))

    def _leave_and_resume(self, c, name):
        gateway = c.pick_gateway()
        c.generate(
            name, gateway=gateway, leave_at=2, then=gateway if int(name[7:]) % 2 else c.pick_gateway(exclude=gateway)
        )

    def submit_batch(self, name, items, limit_ms, priority=0):
        self._n += 1
        e = self.clients.submit_batch(name, items, limit_ms, repeatable=self._n % 3 == 0, priority=priority)
        if e["lot"]:
            self.remember(e["lot"])

    def remember(self, batch):
        self._batches.append(batch)

    def _edit(self, c, name):
        controller = c.rng.choice(self.cluster.nodes("controller"))
        c.resolve_unknown_edits(controller)
        row = None if int(name[9:]) % 9 == 0 else {"model": f"m-{name}", "weight": 1 + c.rng.randrange(5)}
        c.edit(f"row-{c.rng.randrange(4)}", row, name, controller)

    def leader(self):
        for n in self.cluster.nodes("controller"):
            status, said, _ = self.cluster.call(n, "GET", "/v1/ready", limit=1)
            if status == 200 and said["state"] == "leader":
                return n
        return self.cluster.nodes("controller")[0]

    def storage_nodes(self) -> dict:
        status, said, _ = self.cluster.call(self.leader(), "GET", "/v1/storage_nodes")
        return said["storage_nodes"] if status == 200 else {}

    def storage_node_id(self, name) -> str:
        return wait_for(
            lambda: next((d for d, v in self.storage_nodes().items() if v["place"] == self.cluster.address(name)), ""),
            20,
            f"{name} is known",
        )

    def busiest(self) -> str:
        used = {n: self.cluster.call(n, "GET", "/v1/ready")[1] for n in self.cluster.nodes("storage")}
        return max(used, key=lambda n: used[n]["used"] if isinstance(used[n], dict) else 0)

    def nodes(self):
        return [n for r in ("gateway", "storage", "controller") for n in self.cluster.nodes(r)]

    def nodes_in_zone(self, zone, with_engines):
        names = self.nodes() + (self.cluster.engines + self.cluster.cards if with_engines else [])
        return [n for n in names if self.cluster.zones[n] == zone]

    def _report(self) -> int:
        for batch in {e["lot"] for e in self.clients.recorded_events() if e["event"] == "lot" and e["lot"]}:
            for g in self.cluster.nodes("gateway")[:2]:
                self.clients.read_batch(batch, g)
        events, notes = self.clients.recorded_events(), self.cluster.notes()
        bad = check(
            events, notes, self.cluster.zones, floors=self.floors, capacity=self.cluster.capacity, limits=LIMITS
        )
        bad += [e["text"] for e in events if e["event"] in ("late", "fault_failed", "caller_failed")]
        live = [e for e in events if e["event"] == "told"]
        whole = [e for e in live if e["end"]]
        outcomes: dict = {}
        for e in live:
            if e["fault"]:
                key = f"{e['model']}:{e['fault'].get('code')}/{e['fault'].get('outcome')}"
                outcomes[key] = outcomes.get(key, 0) + 1
        crowds = [(e["at"], e["at"] + 3) for e in events if e["event"] == "hurt" and e["what"] == "crowd"]
        plain = [e for e in whole if not e["slow"] and not e["prompt"].startswith("crowd-")]
        beside = [e for e in plain if any(a <= e["at"] <= b for a, b in crowds)]
        of = lambda kind: [e for e in events if e["event"] == kind]  # noqa: E731
        print(
            json.dumps(
                {
                    "live": len(live),
                    "whole": len(whole),
                    "faults": outcomes,
                    "resumed": [
                        sum(bool(e["end"]) for e in live if e.get("resumed")),
                        sum("resumed" in e for e in live),
                    ],
                    "first_ms": spread(e["first"] for e in whole if e["first"]),
                    "cards": len(of("fetched")),
                    "cards_ok": sum(e["status"] == 200 for e in of("fetched")),
                    "card_ms": spread(e["took"] for e in of("fetched") if e["status"] == 200),
                    "lots": len(of("lot")),
                    "lots_taken": sum(bool(e["lot"]) for e in of("lot")),
                    "lot_ms": spread(e["took"] for e in of("lot") if e["lot"]),
                    "reads": len(of("results")),
                    "reads_ok": sum(e["status"] == 200 for e in of("results")),
                    "read_ms": spread(e["took"] for e in of("results") if e["status"] == 200),
                    "edits": len(of("edit")),
                    "edits_done": sum(e["status"] == 200 for e in of("edit")),
                    "edit_ms": spread(e["took"] for e in of("edit") if e["status"] == 200),
                    "longest_gap_ms": spread(e["gap"] for e in plain if e not in beside),
                    "longest_gap_beside_crowds_ms": spread(e["gap"] for e in beside),
                    "faults_brought": len(of("hurt")),
                    "runs": sum(n["event"] == "run" for n in notes),
                },
                indent=1,
            )
        )
        for line in bad[:200]:
            print("VIOLATION", line)
        print(f"{len(bad)} violations")
        return 1 if bad else 0

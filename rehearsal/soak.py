"""Mixed load and a seeded schedule of faults on a whole fleet, with the checker outside."""
import json
import statistics
import threading
import time
from pathlib import Path
from random import Random

from .callers import Caller, Callers
from .checker import check
from .fleet import ZONES, Fleet, wait_for

__all__ = ["Soak", "PROFILES", "FAULTS", "spread"]

PROFILES = {
    "periplous": {"guides": 8, "depots": 4, "offices": 4, "engines": 6, "cards": 4, "live": 6, "fetch": 27},
    "maizes": {"guides": 7, "depots": 4, "offices": 4, "engines": 9, "cards": 4, "live": 8, "fetch": 25},
    "small": {"guides": 4, "depots": 4, "offices": 4, "engines": 3, "cards": 2, "live": 4, "fetch": 6},
}
FAULTS = ("kill_guide", "kill_depot", "kill_office", "kill_leader", "freeze_guide", "freeze_depot", "freeze_leader",
          "engine_crash", "engine_cut", "engine_refuse", "engine_leaving", "zone", "lots_crowd", "end_lot",
          "two_editors", "guide_roll", "depot_empty", "split_offices", "offices_away", "zone_cut", "one_way",
          "crowd")


class Soak:
    def __init__(self, profile: str, seed: int, minutes: float, keep=None, faults=FAULTS, level="info"):
        p = PROFILES[profile]
        self.chance = Random(seed)
        self.minutes, self.faults = minutes, faults
        self.fleet = Fleet(guides=p["guides"], depots=p["depots"], offices=p["offices"], engines=p["engines"],
                           cards=p["cards"], capacity=8, step=0.02, keep=keep, level=level)
        self.calls = Callers(self.fleet, Random(seed + 1))
        self.profile = p
        self.told: list[str] = []
        self._lots: list[str] = []
        self._n = 0
        self._began = 0.0

    def say(self, text):
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        self.told.append(line)
        print(line, flush=True)

    def run(self) -> int:
        try:
            self.fleet.start(60)
            self._began = time.monotonic()
            self._load()
            end = self._began + self.minutes * 60
            time.sleep(4)
            while time.monotonic() < end:
                getattr(self, "_" + self.chance.choice(self.faults))()
                self.calls.over.wait(1 + 3 * self.chance.random())
            self._close()
            return self._report()
        finally:
            self.calls.stop()
            self.fleet.stop()

    def _load(self):
        p, chance = self.profile, self.chance
        c = self.calls
        c.start(Caller(c, "walk", 1 / p["live"], lambda c, n: c.generate(n, prefix=f"tour{hash(n) % 5}")))
        c.start(Caller(c, "again", 2 / p["live"], lambda c, n: c.generate(n, repeatable=True)))
        c.start(Caller(c, "card", 1 / p["fetch"], lambda c, n: c.fetch(n)))
        c.start(Caller(c, "night", 20, lambda c, n: self._lot(n, 60, 3_600_000)))
        c.start(Caller(c, "brief", 5, lambda c, n: self._lot(n, 12, 20_000, priority=5)))
        c.start(Caller(c, "reader", 0.5, lambda c, n: self._lots and c.read_lot(chance.choice(self._lots[-12:]))))
        c.start(Caller(c, "operator", 3, self._edit))

    def _lot(self, name, items, limit_ms, priority=0):
        e = self.calls.lot(name, items, limit_ms, repeatable=self._n % 3 == 0, priority=priority)
        self._n += 1
        if e["lot"]:
            self._lots.append(e["lot"])

    def _edit(self, c, name):
        office = c.chance.choice(self.fleet.nodes("office"))
        c.edit(f"row-{c.chance.randrange(4)}", {"model": f"m-{name}", "weight": 1 + c.chance.randrange(5)}, name, office)

    def _pick(self, role):
        return self.chance.choice(self.fleet.nodes(role))

    def _down(self, name, span, power=False):
        self.say(f"kill {name} for {span:.1f} s")
        if name.startswith("guide"):
            self.calls.down.add(name)
        self.fleet.programs[name].kill()
        time.sleep(span)
        self.fleet.programs[name].start()
        if name.startswith("guide"):
            wait_for(lambda: self.fleet.call(name, "GET", "/v1/ready")[0] == 200, 30, f"{name} is ready again")
            self.calls.down.discard(name)

    def _kill_guide(self):
        self._down(self._pick("guide"), 2 * self.chance.random())

    def _kill_depot(self):
        self._down(self._pick("depot"), 3 * self.chance.random())

    def _kill_office(self):
        self._down(self._pick("office"), 2 * self.chance.random())

    def _leader(self):
        for n in self.fleet.nodes("office"):
            status, said, _ = self.fleet.call(n, "GET", "/v1/ready", limit=1)
            if status == 200 and said["state"] == "leader":
                return n
        return self._pick("office")

    def _kill_leader(self):
        self._down(self._leader(), 2 * self.chance.random())

    def _freeze(self, name, span):
        self.say(f"freeze {name} for {span:.1f} s")
        self.fleet.programs[name].freeze()
        time.sleep(span)
        self.fleet.programs[name].thaw()

    def _freeze_guide(self):
        self._freeze(self._pick("guide"), 1 + 5 * self.chance.random())

    def _freeze_depot(self):
        self._freeze(self._pick("depot"), 1 + 5 * self.chance.random())

    def _freeze_leader(self):
        self._freeze(self._leader(), 1 + 5 * self.chance.random())

    def _engine_crash(self):
        self._down(self.chance.choice(self.fleet.engines), 1 + 2 * self.chance.random())

    def _mode(self, name, mode, span):
        self.say(f"{name} {mode} for {span:.1f} s")
        self.fleet.call(name, "POST", f"/mode/{mode}")
        time.sleep(span)
        self.fleet.call(name, "POST", "/mode/well")

    def _engine_cut(self):
        self._mode(self.chance.choice(self.fleet.engines + self.fleet.cards), "cut", 2)

    def _engine_refuse(self):
        self._mode(self.chance.choice(self.fleet.engines), "refuse", 2)

    def _engine_leaving(self):
        name = self.chance.choice(self.fleet.engines)
        self.say(f"{name} is leaving, then replaced")
        self.fleet.call(name, "POST", "/mode/leaving")
        time.sleep(4)
        self._down(name, 0.2)

    def _zone(self):
        zone = self.chance.choice(ZONES)
        self.say(f"empty {zone}, then fill it")
        office = self._leader()
        status, _, _ = self.fleet.call(office, "PUT", f"/v1/zones/{zone}", {"empty": True})
        if status == 200:
            self.calls.note("zone_emptied", zone=zone)
            time.sleep(7)
        while True:
            self.calls.note("zone_filling", zone=zone)
            if self.fleet.call(self._leader(), "PUT", f"/v1/zones/{zone}", {"empty": False})[0] == 200:
                return
            time.sleep(0.5)

    def _lots_crowd(self):
        self.say("many lots at once")
        for n in range(6):
            self._lot(f"crowd-{self._n}-{n}", 25, 600_000)

    def _crowd(self):
        """Far more live requests at once than the engines have room for: each gets an answer or an honest no."""
        n = 3 * self.fleet.capacity * len(self.fleet.engines)
        self.say(f"a crowd of {n}")
        began = time.monotonic()
        crowd = [threading.Thread(target=self.calls.generate, args=(f"crowd-{len(self.told)}-{i}",)) for i in range(n)]
        for t in crowd:
            t.start()
        for t in crowd:
            t.join(30)
        told = [e for e in self.calls.taken() if e["event"] == "told" and e["prompt"].startswith(f"crowd-{len(self.told)}-")]
        shed = sorted(e["at"] - e["asked"] for e in told if e["fault"])
        self.say(f"the crowd: {sum(bool(e['end']) for e in told)} whole, {len(shed)} shed, the last after "
                 f"{shed[-1] if shed else 0:.2f} s, all told after {time.monotonic() - began:.2f} s")

    def _end_lot(self):
        self.say("a lot is ended")
        e = self.calls.lot(f"ending-{self._n}-{len(self.told)}", 200, 3_600_000, watch=False)
        if e["lot"]:
            self._lots.append(e["lot"])
            time.sleep(self.chance.random() * 2)
            self.calls.end_lot(e["lot"])

    def _two_editors(self):
        self.say("two operators edit at once")
        for n in range(2):
            Caller(self.calls, f"both{len(self.told)}", 0.01, self._edit)._one(n)

    def _guide_roll(self):
        self.say("guides are replaced one by one")
        for name in self.fleet.nodes("guide")[:3]:
            self.calls.down.add(name)
            self.fleet.programs[name].end()
            self.fleet.programs[name].start()
            wait_for(lambda: self.fleet.call(name, "GET", "/v1/ready")[0] == 200, 30, f"{name} is ready again")
            self.calls.down.discard(name)

    def _depot_empty(self):
        name = self._pick("depot")
        self.say(f"{name} loses its disk and comes back empty")
        p = self.fleet.programs[name]
        place = f"127.0.0.1:{p.ports[0]}"
        lost = next((n for n, d in self._depots().items() if d["place"] == place), "")
        p.kill()
        data = Path(p.words[p.words.index("--data") + 1])
        data.rename(data.with_name(f"{name}-lost-{len(self.told)}"))
        p.start()
        self._wait_placed(lost)

    def _depots(self) -> dict:
        status, said, _ = self.fleet.call(self._leader(), "GET", "/v1/depots")
        return said["depots"] if status == 200 else {}

    def _cut(self, text, some, others, span, one_way=False):
        self.say(f"{text} for {span:.1f} s: {','.join(some)} | {','.join(others)}")
        self.fleet.cut(some, others, one_way)
        time.sleep(span)
        self.fleet.heal()

    def _nodes(self):
        return [n for r in ("guide", "depot", "office") for n in self.fleet.nodes(r)]

    def _split_offices(self):
        offices = self.fleet.nodes("office")
        self.chance.shuffle(offices)
        k = self.chance.choice((1, 2))
        self._cut("offices split", offices[:k], offices[k:], 2 + 4 * self.chance.random())

    def _offices_away(self):
        self._cut("offices away", self.fleet.nodes("office"), [n for n in self._nodes() if "office" not in n],
                  2 + 5 * self.chance.random())

    def _zone_cut(self):
        """A zone's machines hear no other zone; the platform moves its clients."""
        i = self.chance.randrange(4)
        inside = [n for n in self._nodes() if int(n.lstrip("guidepotfc")) % 4 == i]
        guides = {n for n in inside if n.startswith("guide")}
        self.calls.down |= guides
        self._cut("zone cut", inside, [n for n in self._nodes() if n not in inside], 2 + 4 * self.chance.random())
        time.sleep(2)
        self.calls.down -= guides

    def _one_way(self):
        one = self.chance.choice(self._nodes())
        self._cut("one-way cut", [one], [n for n in self._nodes() if n != one], 2 + 3 * self.chance.random(), True)

    def _wait_placed(self, lost: str):
        def placed():
            depots = self._depots()
            return len(depots) >= 4 and lost not in depots and all(d["heard"] == "alive" for d in depots.values()) \
                and sum(d["shelves"] for d in depots.values()) == 48

        began = time.monotonic()
        wait_for(placed, 90, "the shelves are placed again")
        self.say(f"shelves placed again after {time.monotonic() - began:.1f} s")

    def _close(self):
        """The closing fault: a guide, a depot and the leading office at once; then all must be served again."""
        names = [self._pick("guide"), self._pick("depot"), self._leader()]
        self.say(f"closing fault: {names} are killed")
        self.calls.down.add(names[0])
        for n in names:
            self.fleet.programs[n].kill()
        began = time.monotonic()
        rest = [g for g in self.fleet.nodes("guide") if g not in self.calls.down]

        def served():
            for g in rest:
                if self.calls.generate(f"closing-{g}-{time.monotonic()}", guide=g, limit=5)["end"] is not True:
                    return False
            e = self.calls.lot(f"closing-{time.monotonic()}", 3, watch=False)
            if not e["lot"]:
                return False
            self._lots.append(e["lot"])
            return self.calls.edit("closing", {"model": "closing"}, f"closing-{time.monotonic()}",
                                   next(n for n in self.fleet.nodes("office") if n != names[2]))["event"] == "edit"

        wait_for(served, 30, "service is back")
        took = time.monotonic() - began
        self.say(f"service back after {took:.1f} s")
        if took > 12:
            self.calls.note("late", text=f"service was back after {took:.1f} s")
        for n in names:
            self.fleet.programs[n].start()
        self.calls.down.discard(names[0])
        self.calls.stop()
        lots = {e["lot"] for e in self.calls.taken() if e["event"] == "lot" and e["lot"]}
        self.calls.over.clear()
        wait_for(lambda: all(self._done(lot) for lot in lots), 180, "every lot is done or ended")

    def _done(self, lot):
        status, said, _ = self.fleet.call(self.fleet.nodes("guide")[0], "GET", f"/v1/lots/{lot}")
        return status == 200 and said["state"] in ("done", "ended")

    def _report(self) -> int:
        for lot in {e["lot"] for e in self.calls.taken() if e["event"] == "lot" and e["lot"]}:
            for g in self.fleet.nodes("guide")[:2]:
                self.calls.read_lot(lot, g)
        events, notes = self.calls.taken(), self.fleet.notes()
        zones = {name: ZONES[i % 4] for names in (self.fleet.engines, self.fleet.cards) for i, name in enumerate(names)}
        bad = check(events, notes, zones)
        bad += [e["text"] for e in events if e["event"] == "late"]
        live = [e for e in events if e["event"] == "told"]
        whole = [e for e in live if e["end"]]
        firsts = sorted(e["first"] for e in whole if e["first"])
        fetched = [e for e in events if e["event"] == "fetched"]
        lots = [e for e in events if e["event"] == "lot"]
        edits = [e for e in events if e["event"] == "edit"]
        outcomes = {}
        for e in live:
            if e["fault"]:
                key = f"{e['fault'].get('code')}/{e['fault'].get('outcome')}"
                outcomes[key] = outcomes.get(key, 0) + 1
        print(json.dumps({
            "live": len(live), "whole": len(whole), "faults": outcomes,
            "first_ms": spread(firsts), "cards": len(fetched), "cards_ok": sum(e["status"] == 200 for e in fetched),
            "card_ms": spread(sorted(e["took"] for e in fetched if e["status"] == 200)),
            "lots": len(lots), "lots_taken": sum(bool(e["lot"]) for e in lots),
            "lot_ms": spread(sorted(e["took"] for e in lots if e["lot"])),
            "edits": len(edits), "edits_done": sum(e["status"] == 200 for e in edits),
            "edit_ms": spread(sorted(e["took"] for e in edits if e["status"] == 200)),
            "runs": sum(n["event"] == "run" for n in notes)}, indent=1))
        for line in bad:
            print("VIOLATION", line)
        print(f"{len(bad)} violations")
        return 1 if bad else 0


def spread(values: list[float]) -> dict:
    if not values:
        return {}
    at = lambda q: round(1000 * values[min(len(values) - 1, int(q * len(values)))], 1)  # noqa: E731
    return {"n": len(values), "p50": at(0.5), "p95": at(0.95), "p99": at(0.99), "max": round(1000 * values[-1], 1),
            "mean": round(1000 * statistics.mean(values), 1)}



"""The last fault of a run, of a kind drawn by its seed, and the check that all is served again."""

import threading
import time
from random import Random

from ..processes.process_cluster import ZONES, wait_for

__all__ = ["FinalFault", "CLOSINGS"]

CLOSINGS = ("kill", "power", "freeze", "emptied", "zone", "split")
PROMISE = 12.0


class FinalFault:
    """Mixin: one last fault, then service back within 12 s and nothing acknowledged lost."""

    def _close(self):
        c = Random(f"{self.seed}/closing")
        kind = c.choice(CLOSINGS)
        self.calls.settle_unknown(self.leader())
        trio = [self._any(c, "gateway"), self.busiest(), self.leader()]
        names = self.inside(c.choice(ZONES), True) if kind == "zone" else trio
        with self.calls.hurting(f"closing {kind}", names, bearable=False, settle=3):
            heal = self._closing_fault(kind, names, c)
            began = time.monotonic()
            took = self._wait_served(names, began)
            self.say(f"service back after {took:.1f} s")
            if took > PROMISE:
                self.calls.note("late", text=f"service was back after {took:.1f} s")
            heal()
            self._wait_up([n for n in names if n in self.nodes()])
        self.calls.down.clear()
        self.calls.stop()
        wait_for(self._all_known, 60, "every edit's outcome is known")
        batches = {e["lot"] for e in self.calls.taken() if e["event"] == "lot" and e["lot"]}
        self.calls.over.clear()
        wait_for(lambda: all(self._done(batch) for batch in batches), 240, "every lot is done or ended")
        for n in self.cluster.nodes("controller"):
            self.calls.read_table(n)

    def _all_known(self):
        self.calls.settle_unknown(self.leader())
        return not self.calls.unsettled()

    def _closing_fault(self, kind, names, c):
        """Returns what heals it."""
        self.say(f"closing fault: {kind} of {','.join(names)}")
        self.calls.down |= {n for n in names if n.startswith("gateway")}
        if kind == "split":
            rest = [n for n in self.nodes() if n not in names]
            self.cluster.cut(names, rest)
            return self.cluster.heal
        for n in names:
            if kind == "freeze":
                self.cluster.programs[n].freeze()
            elif kind == "power" and n.startswith(("storage", "controller")):
                self.cluster.power(n, c)
            else:
                self.cluster.programs[n].kill()
        if kind == "emptied":
            self.cluster.wipe(names[1])

        def heal():
            for n in names:
                (self.cluster.programs[n].thaw if kind == "freeze" else self.cluster.programs[n].start)()

        return heal

    def _wait_served(self, names, began) -> float:
        """Until each kind of service works at every node that is left."""
        gateways = [g for g in self.cluster.nodes("gateway") if g not in names]
        controllers = [o for o in self.cluster.nodes("controller") if o not in names]
        checks = [lambda g=g: self._streams(g) for g in gateways] + [
            lambda: self._edits(controllers),
            lambda: self._batches_again(gateways),
            self._cards,
        ]
        back: list[float] = []

        def until(check):
            while time.monotonic() < began + 40:
                if check():
                    back.append(time.monotonic() - began)
                    return
                time.sleep(0.1)

        threads = [threading.Thread(target=until, args=(c,)) for c in checks]
        for t in threads:
            t.start()
        for t in threads:
            t.join(60)
        return max(back) if len(back) == len(checks) else 99.0

    def _streams(self, g) -> bool:
        return self.calls.generate(f"closing-{g}-{time.monotonic()}", gateway=g, limit=5)["end"] is True

    def _cards(self) -> bool:
        return self.calls.fetch(f"closing-{time.monotonic()}", limit=5)["status"] == 200

    def _batches_again(self, gateways) -> bool:
        e = self.calls.batch(f"closing-{time.monotonic()}", 3, watch=False, gateway=gateways[0])
        if not e["lot"]:
            return False
        self.remember(e["lot"])
        until = time.monotonic() + 10
        while time.monotonic() < until:
            r = self.calls.read_batch(e["lot"], gateways[-1])
            if r["state"] == "done" and len(r["results"]) == 3:
                return True
            time.sleep(0.1)
        return False

    def _edits(self, controllers) -> bool:
        """An edit is acknowledged, and every controller that is left reads it back."""
        row = {"model": f"closing-{time.monotonic()}"}
        e = self.calls.edit("closing", row, row["model"], controllers[0])
        if e.get("status") != 200:
            return False
        for n in controllers:
            status, said, _ = self.cluster.call(n, "GET", "/v1/table/rows/closing", limit=3)
            if status != 200 or said["sequence"] < e["sequence"]:
                return False
        return True

    def _done(self, batch):
        status, said, _ = self.cluster.call(self.cluster.nodes("gateway")[0], "GET", f"/v1/lots/{batch}")
        return status == 200 and said["state"] in ("done", "ended")

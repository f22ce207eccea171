"""The final fault of a soak run, which may interrupt service, and the check that service recovers from it."""

import threading
import time
from random import Random

from ..processes.process_cluster import ZONES, wait_for

__all__ = ["FinalFault", "FINAL_FAULTS"]

FINAL_FAULTS = ("kill", "power", "freeze", "emptied", "zone", "split")
RECOVERY_LIMIT_SECONDS = 12.0


class FinalFault:
    """Mixin that injects a final fault of several nodes at once, or of a whole zone; its kind is drawn from the seed.

    Service must recover within 12 s, and no acknowledged data may be lost.
    """

    def _run_final_fault(self):
        rng = Random(f"{self.seed}/closing")
        kind = rng.choice(FINAL_FAULTS)
        self.clients.resolve_unknown_edits(self.leader())
        trio = [self._random_node(rng, "gateway"), self.busiest(), self.leader()]
        names = self.nodes_in_zone(rng.choice(ZONES), True) if kind == "zone" else trio
        with self.clients.record_fault(f"closing {kind}", names, bearable=False, settle=3):
            heal = self._inject_final_fault(kind, names, rng)
            began = time.monotonic()
            took = self._wait_for_service(names, began)
            self.log(f"service recovered after {took:.1f} s")
            if took > RECOVERY_LIMIT_SECONDS:
                self.clients.note("late", text=f"service recovered only after {took:.1f} s")
            heal()
            self._wait_until_ready([n for n in names if n in self.nodes()])
        self.clients.excluded_gateways.clear()
        self.clients.stop()
        wait_for(self._all_edits_resolved, 60, "every edit's outcome is known")
        self.clients.stopped.clear()
        wait_for(self._all_batches_done, 240, "every batch is done or ended")
        for n in self.cluster.nodes("controller"):
            self.clients.read_table(n)

    def _all_batches_done(self):
        """Whether all accepted batches are done, among them those that were accepted after the clients were stopped."""
        if self.clients.has_requests():
            return False
        batches = {e["lot"] for e in self.clients.recorded_events() if e["event"] == "lot" and e["lot"]}
        return all(self._is_done(batch) for batch in batches)

    def _all_edits_resolved(self):
        self.clients.resolve_unknown_edits(self.leader())
        return not self.clients.unresolved_edits()

    def _inject_final_fault(self, kind, names, rng):
        """Injects a fault of the given kind and returns a function that ends it."""
        self.log(f"final fault: {kind} of {','.join(names)}")
        self.clients.excluded_gateways |= {n for n in names if n.startswith("gateway")}
        if kind == "split":
            rest = [n for n in self.nodes() if n not in names]
            self.cluster.cut(names, rest)
            return self.cluster.heal
        for n in names:
            if kind == "freeze":
                self.cluster.programs[n].freeze()
            elif kind == "power" and n.startswith(("storage", "controller")):
                self.cluster.cut_power(n, rng)
            else:
                self.cluster.programs[n].kill()
        if kind == "emptied":
            self.cluster.wipe(names[1])

        def heal():
            for n in names:
                (self.cluster.programs[n].thaw if kind == "freeze" else self.cluster.programs[n].start)()

        return heal

    def _wait_for_service(self, names, began) -> float:
        """Waits until each kind of request succeeds at the nodes not in `names`; returns the seconds since `began`."""
        gateways = [g for g in self.cluster.nodes("gateway") if g not in names]
        controllers = [o for o in self.cluster.nodes("controller") if o not in names]
        checks = [lambda g=g: self._is_streaming(g) for g in gateways] + [
            lambda: self._is_accepting_edits(controllers),
            lambda: self._is_running_batches(gateways),
            self._is_serving_cards,
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

    def _is_streaming(self, g) -> bool:
        return self.clients.generate(f"closing-{g}-{time.monotonic()}", gateway=g, limit=5)["end"] is True

    def _is_serving_cards(self) -> bool:
        return self.clients.fetch(f"closing-{time.monotonic()}", limit=5)["status"] == 200

    def _is_running_batches(self, gateways) -> bool:
        e = self.clients.submit_batch(f"closing-{time.monotonic()}", 3, watch=False, gateway=gateways[0])
        if not e["lot"]:
            return False
        self.remember(e["lot"])
        until = time.monotonic() + 10
        while time.monotonic() < until:
            r = self.clients.read_batch(e["lot"], gateways[-1])
            if r["state"] == "done" and len(r["results"]) == 3:
                return True
            time.sleep(0.1)
        return False

    def _is_accepting_edits(self, controllers) -> bool:
        """Whether an edit is acknowledged and every remaining controller reads it back."""
        row = {"model": f"closing-{time.monotonic()}"}
        e = self.clients.edit("closing", row, row["model"], controllers[0])
        if e.get("status") != 200:
            return False
        for n in controllers:
            status, said, _ = self.cluster.call(n, "GET", "/v1/table/rows/closing", limit=3)
            if status != 200 or said["sequence"] < e["sequence"]:
                return False
        return True

    def _is_done(self, batch):
        status, said, _ = self.cluster.call(self.cluster.nodes("gateway")[0], "GET", f"/v1/lots/{batch}")
        return status == 200 and said["state"] in ("done", "ended")

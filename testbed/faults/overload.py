"""Faults of engines, load peaks, and operations that stress a cluster, each with the nodes that it affects."""

import threading
import time

from ..processes.process_cluster import ZONES, free_ports, wait_for

__all__ = ["OverloadFaults"]


BROKEN_MODES = ("mixed", "error", "unclosed", "malformed")


class OverloadFaults:
    """Mixin like `ComponentFailures`, for faults of engines and for what clients and operators do to the cluster."""

    def _switch_mode(self, name, mode, span):
        def inject():
            self.log(f"{name} {mode} for {span:.1f} s")
            with self.clients.record_fault(mode, [name]):
                self.cluster.call(name, "POST", f"/mode/{mode}")
                time.sleep(span)
                self.cluster.call(name, "POST", "/mode/well")

        return [name], inject

    def _random_engine(self, rng):
        return rng.choice(self.cluster.engines)

    def plan_engine_crash(self, rng):
        return self._stop_and_restart("kill", [self._random_engine(rng)], 1 + 2 * rng.random())

    def plan_engine_cut(self, rng):
        return self._switch_mode(rng.choice(self.cluster.engines + self.cluster.cards), "cut", 2)

    def plan_engine_refuse(self, rng):
        return self._switch_mode(self._random_engine(rng), "refuse", 2)

    def plan_engine_hang(self, rng):
        return self._switch_mode(self._random_engine(rng), "hang", 2 + 2 * rng.random())

    def plan_engine_silent(self, rng):
        """An engine sends no announcements for longer than gateways wait for them, and then resumes by itself."""
        return self._switch_mode(self._random_engine(rng), "silent", 5 + 2 * rng.random())

    def plan_engine_broken(self, rng):
        return self._switch_mode(self._random_engine(rng), rng.choice(BROKEN_MODES), 2)

    def plan_engine_vanish(self, rng):
        """An engine becomes unresponsive without closing its connections, as if its machine had failed."""
        name = self._random_engine(rng)

        def inject():
            span = 3 + 3 * rng.random()
            self.log(f"{name} is unresponsive for {span:.1f} s")
            with self.clients.record_fault("vanished", [name]):
                self.cluster.programs[name].freeze()
                time.sleep(span)
                self.cluster.programs[name].kill()
                self.cluster.programs[name].start()

        return [name], inject

    def plan_engine_moved(self, rng):
        """An engine is killed and restarts under the same name at another port."""
        name = self._random_engine(rng)

        def inject():
            p = self.cluster.programs[name]
            (port,) = free_ports(1)
            self.log(f"restart {name} at port {port}")
            with self.clients.record_fault("moved", [name]):
                p.kill()
                p.ports = (port,)
                p.command[p.command.index("--port") + 1] = str(port)
                p.start()
                time.sleep(2)

        return [name], inject

    def plan_engine_leaving(self, rng):
        name = rng.choice(self.cluster.engines + self.cluster.cards)

        def inject():
            self.log(f"{name} announces that it leaves, and is restarted")
            with self.clients.record_fault("leaving", [name]):
                self.cluster.call(name, "POST", "/mode/leaving")
                time.sleep(4)
                self.cluster.programs[name].kill()
                self.cluster.programs[name].start()

        return [name], inject

    def plan_zone(self, rng):
        zone = rng.choice(ZONES)

        def inject():
            self.log(f"empty {zone}, then fill it")
            with self.clients.record_fault(
                "zone emptied", [n for n in self.cluster.engines + self.cluster.cards if self.cluster.zones[n] == zone]
            ):
                if self.clients.zone(zone, True, self.leader()) == 200:
                    time.sleep(7)
                wait_for(lambda: self.clients.zone(zone, False, self.leader()) == 200, 30, f"{zone} is filled again")

        return [n for n in self.cluster.engines + self.cluster.cards if self.cluster.zones[n] == zone] + [
            "zones"
        ], inject

    def plan_lots_crowd(self, rng):
        def inject():
            self.log("submit many batches at once")
            with self.clients.record_fault("lots", []):
                for n in range(6):
                    self.submit_batch(f"crowd-{n}-{time.monotonic()}", 25, 600_000)

        return ["lots"], inject

    def plan_crowd(self, rng):
        """Sends far more concurrent live requests than the engines can run: each is served or refused."""

        def inject():
            n = 3 * self.cluster.capacity * len(self.cluster.engines)
            mark = f"crowd-{time.monotonic()}"
            self.log(f"send {n} live requests at once")
            began = time.monotonic()
            with self.clients.record_fault("crowd", []):
                crowd = [threading.Thread(target=self.clients.generate, args=(f"{mark}-{i}",)) for i in range(n)]
                for t in crowd:
                    t.start()
                for t in crowd:
                    t.join(30)
            live_requests = [
                e for e in self.clients.recorded_events() if e["event"] == "told" and e["prompt"].startswith(mark)
            ]
            shed = sorted(e["at"] - e["asked"] for e in live_requests if e["fault"])
            backs = sorted({int(e["retry"]) for e in live_requests if str(e["retry"] or "").isdigit()})
            self.log(
                f"load peak: {sum(bool(e['end']) for e in live_requests)} complete, {len(shed)} shed, the last after "
                f"{shed[-1] if shed else 0:.2f} s, Retry-After {backs} s, "
                f"all responses after {time.monotonic() - began:.2f} s"
            )

        return ["crowd"], inject

    def plan_backlog(self, rng):
        """Batches are paused while more are submitted, and then all resume together."""

        def inject():
            self.log("pause batches while a backlog builds up")
            row = {"model": "pipit-small", "weight": 1, "lot_share": 0.01}
            with self.clients.record_fault("backlog", []):
                self.clients.edit("pause", row, f"pause-{time.monotonic()}", self.leader())
                for n in range(5):
                    self.submit_batch(f"late-{n}-{time.monotonic()}", 20, 600_000)
                    time.sleep(1)
                wait_for(
                    lambda: (
                        self.clients.edit("pause", None, f"go-on-{time.monotonic()}", self.leader()).get("status")
                        in (200, 404)
                    ),
                    30,
                    "batches resume",
                )

        return ["lots", "table"], inject

    def plan_end_lot(self, rng):
        def inject():
            self.log("cancel a batch")
            e = self.clients.submit_batch(f"ending-{time.monotonic()}", 200, 3_600_000, watch=False)
            if e["lot"]:
                self.remember(e["lot"])
                time.sleep(rng.random() * 2)
                self.clients.cancel_batch(e["lot"])

        return ["ending"], inject

    def plan_two_editors(self, rng):
        def inject():
            self.log("two operators edit at once: one a row, the other the whole table")
            controllers = self.cluster.nodes("controller")
            args = [
                (f"row-{rng.randrange(4)}", {"model": f"m-{time.monotonic()}", "weight": 2}, None),
                ("", None, lambda rows: {**rows, "both": {"model": f"both-{time.monotonic()}"}}),
            ]
            both = [
                threading.Thread(
                    target=self.clients.edit,
                    args=(name, row, f"both-{n}-{time.monotonic()}", rng.choice(controllers), whole),
                )
                for n, (name, row, whole) in enumerate(args)
            ]
            for t in both:
                t.start()
            for t in both:
                t.join(30)

        return ["editors"], inject

    def plan_table_grows(self, rng):
        """Adds thousands of routes to the table under load, and removes them again."""
        many = 2000 + rng.randrange(2000)

        def routes(rows):
            kept = {k: v for k, v in rows.items() if not k.startswith("route-")}
            return {**kept, **{f"route-{i}": {"model": f"route-{i}", "weight": 1 + i % 9} for i in range(many)}}

        def inject():
            self.log(f"the table grows by {many} routes")
            with self.clients.record_fault("table grows", []):
                for what, whole in (
                    ("grow", routes),
                    ("shrink", lambda rows: {k: v for k, v in rows.items() if not k.startswith("route-")}),
                ):
                    wait_for(
                        lambda: (
                            self.clients.edit("", None, f"{what}-{time.monotonic()}", self.leader(), whole).get(
                                "status"
                            )
                            == 200
                        ),
                        30,
                        f"the edit to {what} the table is accepted",
                    )
                    time.sleep(3)

        return ["table"], inject

"""Faults of processes, machines, disks and the network, each with the nodes that it affects."""

import time

from ..processes.process_cluster import ZONES, wait_for

__all__ = ["ComponentFailures"]

REPAIRED = 4.0


class ComponentFailures:
    """Mixin: each `plan_` draws a fault from its own random numbers; the soak runs it once the fleet can bear it."""

    def _down(self, what, names, span, power=None, wiped=False, settle=3.0):
        """Kills nodes together, by losing power where `power` is a rng, and starts them again."""

        def do():
            gateways = {n for n in names if n.startswith("gateway")}
            self.say(f"{what} {','.join(names)} for {span:.1f} s")
            with self.calls.hurting(what, names, settle=settle):
                self.calls.down |= gateways
                for n in names:
                    if power is not None and self.cluster.zones[n] and not n.startswith(("gateway", "engine", "card")):
                        lost = self.cluster.power(n, power)
                        self.say(f"{n} lost {lost} bytes that were not synced")
                    else:
                        self.cluster.programs[n].kill()
                    if wiped:
                        self.cluster.wipe(n)
                time.sleep(span)
                for n in names:
                    self.cluster.programs[n].start()
                self._wait_up(names)
                self.calls.down -= gateways

        return names, do

    def _wait_up(self, names):
        for n in names:
            if n.startswith("gateway"):
                wait_for(lambda: self.cluster.call(n, "GET", "/v1/ready")[0] == 200, 30, f"{n} is ready again")
            elif n.startswith(("storage", "controller")):
                wait_for(lambda: self.cluster.call(n, "GET", "/v1/live")[0] == 200, 30, f"{n} lives again")
        if any(n.startswith(("storage", "controller")) for n in names):
            time.sleep(REPAIRED)

    def _any(self, rng, role):
        return rng.choice(self.cluster.nodes(role))

    def plan_kill_gateway(self, c):
        return self._down("kill", [self._any(c, "gateway")], 2 * c.random())

    def plan_kill_storage_node(self, c):
        return self._down("kill", [self._any(c, "storage")], 3 * c.random())

    def plan_kill_controller(self, c):
        return self._down("kill", [self._any(c, "controller")], 2 * c.random())

    def plan_kill_leader(self, c):
        return self._down("kill", [self.leader()], 2 * c.random())

    def plan_power_controller(self, c):
        return self._down("power", [self.leader()], 2 * c.random(), power=c)

    def plan_power_storage_node(self, c):
        """The busiest storage node loses power right after an acknowledgement."""
        names, do = self._down("power", [self.busiest()], 2 * c.random(), power=c)

        def at_once():
            e = self.calls.batch(f"power-{time.monotonic()}", 8, watch=False)
            do()
            if e["lot"]:
                self.remember(e["lot"])
                for g in self.cluster.nodes("gateway")[:2]:
                    self.calls.read_batch(e["lot"], g)

        return names, at_once

    def plan_kill_zone(self, c):
        i = c.randrange(4)
        return self._down("zone lost", self.inside(ZONES[i], True), 2 + 5 * c.random())

    def plan_power_zone(self, c):
        i = c.randrange(4)
        return self._down("zone without power", self.inside(ZONES[i], False), 2 + 5 * c.random(), power=c)

    def _freeze(self, names, span):
        def do():
            self.say(f"freeze {','.join(names)} for {span:.1f} s")
            with self.calls.hurting("freeze", names):
                for n in names:
                    self.cluster.programs[n].freeze()
                time.sleep(span)
                for n in names:
                    self.cluster.programs[n].thaw()

        return names, do

    def plan_freeze_gateway(self, c):
        return self._freeze([self._any(c, "gateway")], 1 + 5 * c.random())

    def plan_freeze_storage_node(self, c):
        return self._freeze([self._any(c, "storage")], 1 + 5 * c.random())

    def plan_freeze_leader(self, c):
        return self._freeze([self.leader()], 1 + 5 * c.random())

    def plan_gateway_roll(self, c):
        return self._roll([self._any(c, "gateway"), self._any(c, "gateway")])

    def plan_storage_node_roll(self, c):
        return self._roll(self.cluster.nodes("storage"))

    def plan_controller_roll(self, c):
        return self._roll(self.cluster.nodes("controller"))

    def _roll(self, names):
        names = sorted(set(names))

        def do():
            self.say(f"{','.join(names)} are replaced one by one")
            for name in names:
                with self.calls.hurting("roll", [name]):
                    self.calls.down.add(name)
                    self.cluster.programs[name].end()
                    self.cluster.programs[name].start()
                    self._wait_up([name])
                    self.calls.down.discard(name)

        return names if names[0].startswith("gateway") else ["core"], do

    def plan_storage_node_empty(self, c):
        name = self._any(c, "storage")

        def do():
            lost = self.storage_node_id(name)
            self._down("disk lost", [name], 0.1, wiped=True)[1]()
            self._wait_placed(lost)

        return [name, "core"], do

    def plan_replace_seeds(self, c):
        """The three machines of the seeds are swapped for empty ones at new addresses; the others keep old seeds."""
        olds = [next(n for n in self.cluster.nodes(r)) for r in ("controller", "storage", "gateway")]

        def do():
            self.say(f"{','.join(olds)} are replaced by empty machines at new addresses")
            lost = self.storage_node_id(olds[1])
            seeds = [self.cluster.address(self.cluster.nodes(r)[1]) for r in ("controller", "storage", "gateway")]
            with self.calls.hurting("replaced", olds, settle=4):
                self.calls.down.add(olds[2])
                news = []
                for old in olds:
                    role, zone = old.rstrip("0123456789"), self.cluster.zones[old]
                    self.cluster.remove(old)
                    self._fresh += 1
                    news.append(f"{role}{100 + self._fresh}")
                    self.calls.down.add(news[-1])
                    self.cluster.add_node(role, news[-1], zone, seeds).start()
                self._wait_up(news)
                self.calls.down -= set(news)
            self._wait_placed(lost)

        return [*olds, "core"], do

    def plan_retire_storage_node(self, c):
        """A storage node is added and another retired; while its placement groups move, a third one is killed for a
        while.
        """
        old, other = c.sample(self.cluster.nodes("storage"), 2)

        def do():
            self._fresh += 1
            new = f"storage{100 + self._fresh}"
            self.say(f"{new} is added, {old} is retired and {other} is killed meanwhile")
            self.cluster.add_node("storage", new, self.cluster.zones[old]).start()
            wait_for(
                lambda: any(d["place"] == self.cluster.address(new) for d in self.storage_nodes().values()),
                30,
                "it is admitted",
            )
            gone = self.storage_node_id(old)
            wait_for(
                lambda: self.cluster.call(self.leader(), "POST", f"/v1/storage_nodes/{gone}/retire", {})[0] == 200,
                30,
                "retirement is taken",
            )
            self._down("kill", [other], 1 + 2 * c.random())[1]()
            wait_for(lambda: self.storage_nodes().get(gone, {}).get("status") == "retired", 120, f"{old} is retired")
            self.say(f"{old} is retired")
            with self.calls.hurting("retired", [old]):
                self.cluster.remove(old)
            self._wait_placed(gone, retired=True)

        return [old, other, "core"], do

    def plan_disk_full(self, c):
        """One storage node's disk refuses; then two storage nodes' do, which may refuse lots but loses nothing."""
        names = c.sample(self.cluster.nodes("storage"), 2)

        def do():
            for full, bearable in ((names[:1], True), (names, False)):
                self.say(f"the disks of {','.join(full)} are full")
                with self.calls.hurting("disk full", full, bearable=bearable, settle=4):
                    self.cluster.tell(full=[self.cluster.address(n) for n in full])
                    time.sleep(3)
                    self.cluster.tell(full=[])
            time.sleep(REPAIRED)

        return [*names, "core"], do

    def _cut(self, what, some, others, span, one_way=False, hurt=None):
        def do():
            self.say(f"{what} for {span:.1f} s: {','.join(some)} | {','.join(others)}")
            with self.calls.hurting(what, hurt if hurt is not None else some, settle=3):
                self.cluster.cut(some, others, one_way)
                time.sleep(span)
                self.cluster.heal()

        return ["core", "net"], do

    def plan_split_controllers(self, c):
        controllers = self.cluster.nodes("controller")
        c.shuffle(controllers)
        k = c.choice((1, 2))
        return self._cut("controllers split", controllers[:k], controllers[k:], 2 + 4 * c.random())

    def plan_controllers_away(self, c):
        return self._cut(
            "controllers away",
            self.cluster.nodes("controller"),
            [n for n in self.nodes() if "controller" not in n],
            2 + 5 * c.random(),
        )

    def plan_zone_cut(self, c):
        """A zone's machines hear no other zone; the platform moves its clients."""
        inside = self.inside(c.choice(ZONES), False)
        names, cut = self._cut("zone cut", inside, [n for n in self.nodes() if n not in inside], 2 + 4 * c.random())
        gateways = {n for n in inside if n.startswith("gateway")}

        def do():
            self.calls.down |= gateways
            cut()
            time.sleep(2)
            self.calls.down -= gateways

        return names, do

    def plan_one_way(self, c):
        one = c.choice(self.nodes())
        return self._cut("one-way cut", [one], [n for n in self.nodes() if n != one], 2 + 3 * c.random(), True)

    def plan_slow_links(self, c):
        """Calls from and to a zone's nodes take long."""
        inside = self.inside(c.choice(ZONES), False)
        span, delay = 3 + 3 * c.random(), 0.05 + 0.1 * c.random()

        def do():
            self.say(f"links of {','.join(inside)} take {delay * 1000:.0f} ms more for {span:.1f} s")
            with self.calls.hurting("slow links", inside):
                self.cluster.tell(delays={self.cluster.address(n): delay for n in inside})
                time.sleep(span)
                self.cluster.tell(delays={})

        return ["net"], do

    def _wait_placed(self, lost: str, retired=False):
        def placed():
            storage_nodes = self.storage_nodes()
            serving = {d: v for d, v in storage_nodes.items() if v["status"] == "serving"}
            return (
                len(serving) >= 4
                and (retired or lost not in storage_nodes)
                and all(d["heard"] == "alive" for d in serving.values())
                and sum(d["placement_groups"] for d in serving.values()) == 48
            )

        began = time.monotonic()
        wait_for(placed, 120, "the placement groups are placed again")
        self.say(f"placement groups placed again after {time.monotonic() - began:.1f} s")

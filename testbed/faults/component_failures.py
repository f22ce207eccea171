"""Faults of processes, machines, disks and the network, each with the nodes that it affects."""

import time

from ..processes.process_cluster import ZONES, wait_for

__all__ = ["ComponentFailures"]

REPAIR_SECONDS = 4.0


class ComponentFailures:
    """Mixin whose `plan_` methods draw faults from the given random numbers.

    Each returns the affected nodes and a function that injects and heals the fault. The soak calls the function once
    the cluster can tolerate the fault beside those that are active.
    """

    def _stop_and_restart(self, what, names, span, power=None, wiped=False, settle=3.0):
        """Kills nodes together and restarts them; with a rng as `power`, their disks lose unsynced data."""

        def inject():
            gateways = {n for n in names if n.startswith("gateway")}
            self.log(f"{what} {','.join(names)} for {span:.1f} s")
            with self.clients.record_fault(what, names, settle=settle):
                self.clients.excluded_gateways |= gateways
                for n in names:
                    if power is not None and self.cluster.zones[n] and not n.startswith(("gateway", "engine", "card")):
                        lost = self.cluster.cut_power(n, power)
                        self.log(f"{n} lost {lost} bytes that were not synced")
                    else:
                        self.cluster.programs[n].kill()
                    if wiped:
                        self.cluster.wipe(n)
                time.sleep(span)
                for n in names:
                    self.cluster.programs[n].start()
                self._wait_until_ready(names)
                self.clients.excluded_gateways -= gateways

        return names, inject

    def _wait_until_ready(self, names):
        for n in names:
            if n.startswith("gateway"):
                wait_for(lambda: self.cluster.call(n, "GET", "/v1/ready")[0] == 200, 30, f"{n} is ready again")
            elif n.startswith(("storage", "controller")):
                wait_for(lambda: self.cluster.call(n, "GET", "/v1/live")[0] == 200, 30, f"{n} is up again")
        if any(n.startswith(("storage", "controller")) for n in names):
            time.sleep(REPAIR_SECONDS)

    def _random_node(self, rng, role):
        return rng.choice(self.cluster.nodes(role))

    def plan_kill_gateway(self, rng):
        return self._stop_and_restart("kill", [self._random_node(rng, "gateway")], 2 * rng.random())

    def plan_kill_storage_node(self, rng):
        return self._stop_and_restart("kill", [self._random_node(rng, "storage")], 3 * rng.random())

    def plan_orphaned_write(self, rng):
        """A gateway and the storage node of its zone are killed, so that one replica may have a write that is orphaned.

        The gateway returns at once. The storage node returns later, together with other gateways, whose caches are then
        empty, so that readers turn to the storage nodes.
        """
        inside = self.nodes_in_zone(rng.choice(ZONES), False)
        gateway = rng.choice([n for n in inside if n.startswith("gateway")] or self.cluster.nodes("gateway"))
        storage = rng.choice([n for n in inside if n.startswith("storage")] or self.cluster.nodes("storage"))
        gateways = [n for n in self.cluster.nodes("gateway") if n != gateway]
        others = rng.sample(gateways, max(0, len(gateways) // 2 - 1))
        span = 2 + 3 * rng.random()

        def inject():
            names = [gateway, storage, *others]
            self.log(
                f"kill {gateway} and {storage}; after {span:.1f} s start {storage}, and restart {','.join(others)}"
            )
            with self.clients.record_fault("orphaned write", names, settle=3):
                self.clients.excluded_gateways |= {gateway, *others}
                for n in (gateway, storage):
                    self.cluster.programs[n].kill()
                self.cluster.programs[gateway].start()
                time.sleep(span)
                for n in others:
                    self.cluster.programs[n].kill()
                for n in (storage, *others):
                    self.cluster.programs[n].start()
                self._wait_until_ready(names)
                self.clients.excluded_gateways -= {gateway, *others}

        return [gateway, storage, *others], inject

    def plan_kill_controller(self, rng):
        return self._stop_and_restart("kill", [self._random_node(rng, "controller")], 2 * rng.random())

    def plan_kill_leader(self, rng):
        return self._stop_and_restart("kill", [self.leader()], 2 * rng.random())

    def plan_power_controller(self, rng):
        return self._stop_and_restart("power", [self.leader()], 2 * rng.random(), power=rng)

    def plan_power_storage_node(self, rng):
        """The storage node with the most data loses power right after a batch was acknowledged."""
        names, inject = self._stop_and_restart("power", [self.busiest()], 2 * rng.random(), power=rng)

        def inject_after_batch():
            e = self.clients.submit_batch(f"power-{time.monotonic()}", 8, watch=False)
            inject()
            if e["lot"]:
                self.remember(e["lot"])
                for g in self.cluster.nodes("gateway")[:2]:
                    self.clients.read_batch(e["lot"], g)

        return names, inject_after_batch

    def plan_kill_zone(self, rng):
        i = rng.randrange(4)
        return self._stop_and_restart("zone lost", self.nodes_in_zone(ZONES[i], True), 2 + 5 * rng.random())

    def plan_power_zone(self, rng):
        i = rng.randrange(4)
        return self._stop_and_restart(
            "zone without power", self.nodes_in_zone(ZONES[i], False), 2 + 5 * rng.random(), power=rng
        )

    def _freeze(self, names, span):
        def inject():
            self.log(f"freeze {','.join(names)} for {span:.1f} s")
            with self.clients.record_fault("freeze", names):
                for n in names:
                    self.cluster.programs[n].freeze()
                time.sleep(span)
                for n in names:
                    self.cluster.programs[n].thaw()

        return names, inject

    def plan_freeze_gateway(self, rng):
        return self._freeze([self._random_node(rng, "gateway")], 1 + 5 * rng.random())

    def plan_freeze_storage_node(self, rng):
        return self._freeze([self._random_node(rng, "storage")], 1 + 5 * rng.random())

    def plan_freeze_leader(self, rng):
        return self._freeze([self.leader()], 1 + 5 * rng.random())

    def plan_gateway_roll(self, rng):
        return self._roll([self._random_node(rng, "gateway"), self._random_node(rng, "gateway")])

    def plan_storage_node_roll(self, rng):
        return self._roll(self.cluster.nodes("storage"))

    def plan_controller_roll(self, rng):
        return self._roll(self.cluster.nodes("controller"))

    def _roll(self, names):
        names = sorted(set(names))

        def inject():
            self.log(f"restart {','.join(names)} one by one")
            for name in names:
                with self.clients.record_fault("roll", [name]):
                    self.clients.excluded_gateways.add(name)
                    self.cluster.programs[name].end()
                    self.cluster.programs[name].start()
                    self._wait_until_ready([name])
                    self.clients.excluded_gateways.discard(name)

        return names if names[0].startswith("gateway") else ["core"], inject

    def plan_storage_node_empty(self, rng):
        name = self._random_node(rng, "storage")

        def inject():
            lost = self.storage_node_id(name)
            self._stop_and_restart("disk lost", [name], 0.1, wiped=True)[1]()
            self._wait_for_placement(lost)

        return [name, "core"], inject

    def plan_replace_seeds(self, rng):
        """The three seed nodes are replaced by empty ones at new addresses; the other nodes keep the old seeds."""
        old_nodes = [next(n for n in self.cluster.nodes(r)) for r in ("controller", "storage", "gateway")]

        def inject():
            self.log(f"replace {','.join(old_nodes)} by empty nodes at new addresses")
            lost = self.storage_node_id(old_nodes[1])
            seeds = [self.cluster.address(self.cluster.nodes(r)[1]) for r in ("controller", "storage", "gateway")]
            with self.clients.record_fault("replaced", old_nodes, settle=4):
                self.clients.excluded_gateways.add(old_nodes[2])
                new_nodes = []
                for old in old_nodes:
                    role, zone = old.rstrip("0123456789"), self.cluster.zones[old]
                    self.cluster.remove(old)
                    self._added_nodes += 1
                    new_nodes.append(f"{role}{100 + self._added_nodes}")
                    self.clients.excluded_gateways.add(new_nodes[-1])
                    self.cluster.add_node(role, new_nodes[-1], zone, seeds).start()
                self._wait_until_ready(new_nodes)
                self.clients.excluded_gateways -= set(new_nodes)
            self._wait_for_placement(lost)

        return [*old_nodes, "core"], inject

    def plan_retire_storage_node(self, rng):
        """A storage node is added and another is retired; a third one is down for a while as placement groups move."""
        old, other = rng.sample(self.cluster.nodes("storage"), 2)

        def inject():
            self._added_nodes += 1
            new = f"storage{100 + self._added_nodes}"
            self.log(f"add {new} and retire {old}, and kill {other} meanwhile")
            self.cluster.add_node("storage", new, self.cluster.zones[old]).start()
            wait_for(
                lambda: any(d["place"] == self.cluster.address(new) for d in self.storage_nodes().values()),
                30,
                f"{new} is admitted",
            )
            gone = self.storage_node_id(old)
            wait_for(
                lambda: self.cluster.call(self.leader(), "POST", f"/v1/storage_nodes/{gone}/retire", {})[0] == 200,
                30,
                f"the retirement of {old} is accepted",
            )
            self._stop_and_restart("kill", [other], 1 + 2 * rng.random())[1]()
            wait_for(lambda: self.storage_nodes().get(gone, {}).get("status") == "retired", 120, f"{old} is retired")
            self.log(f"{old} is retired")
            with self.clients.record_fault("retired", [old]):
                self.cluster.remove(old)
            self._wait_for_placement(gone, retired=True)

        return [old, other, "core"], inject

    def plan_disk_full(self, rng):
        """The disk of one storage node is full, then the disks of two: batches may be refused, but nothing is lost."""
        names = rng.sample(self.cluster.nodes("storage"), 2)

        def inject():
            for full, bearable in ((names[:1], True), (names, False)):
                self.log(f"fill the disks of {','.join(full)}")
                with self.clients.record_fault("disk full", full, bearable=bearable, settle=4):
                    self.cluster.inject(full=[self.cluster.address(n) for n in full])
                    time.sleep(3)
                    self.cluster.inject(full=[])
            time.sleep(REPAIR_SECONDS)

        return [*names, "core"], inject

    def _cut(self, what, some, others, span, one_way=False, affected=None):
        def inject():
            self.log(f"{what} for {span:.1f} s: {','.join(some)} | {','.join(others)}")
            with self.clients.record_fault(what, affected if affected is not None else some, settle=3):
                self.cluster.cut(some, others, one_way)
                time.sleep(span)
                self.cluster.heal()

        return ["core", "net"], inject

    def plan_split_controllers(self, rng):
        controllers = self.cluster.nodes("controller")
        rng.shuffle(controllers)
        k = rng.choice((1, 2))
        return self._cut("controllers split", controllers[:k], controllers[k:], 2 + 4 * rng.random())

    def plan_controllers_away(self, rng):
        return self._cut(
            "controllers away",
            self.cluster.nodes("controller"),
            [n for n in self.nodes() if "controller" not in n],
            2 + 5 * rng.random(),
        )

    def plan_zone_cut(self, rng):
        """A zone is partitioned from the others; its clients move to gateways in other zones."""
        inside = self.nodes_in_zone(rng.choice(ZONES), False)
        names, cut = self._cut("zone cut", inside, [n for n in self.nodes() if n not in inside], 2 + 4 * rng.random())
        gateways = {n for n in inside if n.startswith("gateway")}

        def inject():
            self.clients.excluded_gateways |= gateways
            cut()
            time.sleep(2)
            self.clients.excluded_gateways -= gateways

        return names, inject

    def plan_one_way(self, rng):
        one = rng.choice(self.nodes())
        return self._cut("one-way cut", [one], [n for n in self.nodes() if n != one], 2 + 3 * rng.random(), True)

    def plan_slow_links(self, rng):
        """Calls from and to the nodes of a zone are delayed."""
        inside = self.nodes_in_zone(rng.choice(ZONES), False)
        span, delay = 3 + 3 * rng.random(), 0.05 + 0.1 * rng.random()

        def inject():
            self.log(f"delay calls of {','.join(inside)} by {delay * 1000:.0f} ms for {span:.1f} s")
            with self.clients.record_fault("slow links", inside):
                self.cluster.inject(delays={self.cluster.address(n): delay for n in inside})
                time.sleep(span)
                self.cluster.inject(delays={})

        return ["net"], inject

    def _wait_for_placement(self, lost: str, retired=False):
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
        wait_for(placed, 120, "all placement groups are placed again")
        self.log(f"placement groups placed again after {time.monotonic() - began:.1f} s")

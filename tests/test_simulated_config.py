"""The configuration of routes and pools, edited at any controller amid concurrent edits, failures and restarts."""

import json
import unittest
from unittest import mock

from pipitlink.controller import durable_log
from pipitlink.wire.cluster_pb2 import Command
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of


class Configuration(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(17, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(2)
        self.client = ControlClient(self.simulation)
        self.controllers = self.simulation.role("controller")
        self.other = next(a for a in self.controllers if a is not self.simulation.leader())

    def versions(self, role):
        return {a.ctx.cluster.cluster_state.routes.version for a in self.simulation.role(role, alive=True)}

    def new_leader(self):
        old = self.simulation.leader()
        old.kill(power=True)
        self.simulation.until(lambda: self.simulation.leader() not in (None, old), 15, "another controller leads")
        self.simulation.run(2)
        return old

    def test_an_edit_is_acknowledged_soon_and_only_when_in_effect_at_every_gateway(self):
        for version, controller in ((3, self.simulation.leader()), (4, self.other), (9, self.controllers[3])):
            base = max(self.versions("gateway"))
            before = self.simulation.clock.seconds()
            self.assertEqual(self.client.put(controller, config_of(version), base)[0], 200)
            self.assertLess(self.simulation.clock.seconds() - before, 0.5)
            self.assertEqual(self.versions("gateway"), {version})
        self.assertIsNotNone(
            self.simulation.role("gateway")[0].ctx.cluster.cluster_state.routes.match("h.example", "/r/x")
        )

    def test_only_one_of_two_edits_on_the_same_base_succeeds(self):
        self.client.put(self.other, config_of(1), 0)
        for n in range(1, 6):
            first, second = self.simulation.rng.sample(self.controllers, 2)
            pending_calls = [
                self.client.start_call(controller, "PUT", "/v1/config", config_of(10 * n + i), {"If-Match": str(base)})
                for base in [max(self.versions("gateway"))]
                for i, controller in enumerate((first, second))
            ]
            self.simulation.until(lambda: all(pending_calls), 8, "both calls are complete")
            response = sorted(b[0][0] for b in pending_calls)
            self.assertEqual(response, [200, 412])
            winner = 10 * n + [b[0][0] for b in pending_calls].index(200)
            self.assertEqual(self.versions("gateway"), {winner})
            self.assertEqual(self.client.get(self.controllers[n % 4])[1], config_of(winner))

    def test_a_stale_base_and_an_old_version_are_rejected(self):
        self.client.put(self.other, config_of(5), 0)
        for base, version, status, code in (
            (0, 9, 412, "wrong_base"),
            (4, 9, 412, "wrong_base"),
            (5, 5, 400, "old_version"),
            (5, 4, 400, "old_version"),
        ):
            response = self.client.put(self.other, config_of(version), base)
            self.assertEqual((response[0], response[1]["error"]["code"]), (status, code))
            response = self.client.patch(self.other, {"version": version}, base)
            self.assertEqual((response[0], response[1]["error"]["code"]), (status, code))
        self.assertEqual(self.client.get(self.controllers[0])[1], config_of(5))

    def test_an_edit_without_a_base_or_with_an_invalid_one_is_rejected(self):
        for headers, status in (
            ({}, 428),
            ({"If-Match": "five"}, 400),
            ({"If-Match": "-1"}, 400),
            ({"If-Match": str(2**70)}, 400),
        ):
            self.assertEqual(self.client.call(self.other, "PUT", "/v1/config", config_of(5), headers)[0], status)
        self.assertEqual(self.client.call(self.other, "PUT", "/v1/config", config_of(5), {"If-Match": '"0"'})[0], 200)

    def test_a_malformed_or_invalid_configuration_is_not_proposed(self):
        self.client.put(self.other, config_of(5), 0)
        commit_index = self.simulation.leader().part.consensus.commit_index
        whole = json.dumps(config_of(6)).encode()

        def with_route(**more):
            return config_of(6, {**route_of("r"), **more})

        def without(field):
            return config_of(6, {k: v for k, v in route_of("r").items() if k != field})

        invalid_bodies = {
            "empty": b"",
            "truncated": whole[:-9],
            "not UTF-8": whole[:-1] + b'"\xff"}',
            "an array": b"[]",
            "a name twice in an object": whole[:-1] + b',"version":7}',
            "NaN": whole.replace(b"2500", b"NaN"),
            "an infinite number": whole.replace(b"2500", b"1e999"),
            "deep nesting": b'{"version":' + b"[" * 100_000,
            "an unknown pool": config_of(6, route_of("r", "q")),
            "a zero deadline": with_route(deadline_ms=0),
            "a negative deadline": with_route(deadline_ms=-5),
            "a boolean deadline": with_route(deadline_ms=True),
            "the same prefix": config_of(6, route_of("a", prefix="/x/"), route_of("b", prefix="/x/")),
            "a duplicate route": config_of(6, route_of("a"), route_of("a", prefix="/x/")),
            "a duplicate pool": config_of(6, pools=("p", "p")),
            "an unknown kind": with_route(kind="odd"),
            "pool and shares": with_route(shares=[{"pool": "p", "share": 1}]),
            "no weight": config_of(6, {**without("pool")["routes"][0], "shares": [{"pool": "p", "share": 0}]}),
            "negative weight": config_of(
                6, {**without("pool")["routes"][0], "shares": [{"pool": "p", "share": -1}, {"pool": "p", "share": 3}]}
            ),
            "no shares": config_of(6, {**without("pool")["routes"][0], "shares": []}),
            "a prefix without its last slash": with_route(prefix="/x"),
            "a number for sticky": with_route(sticky=1),
            "a missing kind": without("kind"),
            "a string for max_tries": with_route(max_tries="2"),
            "routes that are no list": {**config_of(6), "routes": {}},
            "no pools": {k: v for k, v in config_of(6).items() if k != "pools"},
            "no bounds": {k: v for k, v in config_of(6).items() if k != "bounds"},
            "a string version": config_of("6"),
            "no version": config_of(None),
            "a fractional version": config_of(6.5),
            "a nameless pool": {**config_of(6), "pools": [{}]},
            "a lone surrogate": with_route(host="\ud800"),
            **{f"no {f}": without(f) for f in ("name", "host", "prefix", "deadline_ms", "pool")},
        }
        for case, body in invalid_bodies.items():
            with self.subTest(case):
                self.assertEqual(self.client.put(self.other, body, 5)[0], 400)
        self.assertEqual(self.simulation.leader().part.consensus.commit_index, commit_index)
        self.assertEqual(self.client.get(self.controllers[0])[1], config_of(5))

    def test_a_patch_that_would_make_the_configuration_invalid_is_rejected(self):
        self.client.put(self.other, config_of(5, route_of("a"), route_of("b")), 0)
        for n, e in enumerate(
            (
                {"drops": {"pools": ["p"]}},
                {"puts": {"routes": [route_of("c", prefix="/a/")]}},
                {"puts": {"routes": [route_of("c", "q")]}},
                {"puts": [], "drops": {}},
                {"puts": {"routes": [{"name": "a"}]}},
                {"drops": {"routes": "a"}},
                {"puts": {"routes": [route_of("a"), route_of("a")]}},
            )
        ):
            self.assertEqual(self.client.patch(self.other, {"version": 6 + n, **e}, 5)[0], 400, e)
        self.assertEqual(self.client.get(self.controllers[0])[1], config_of(5, route_of("a"), route_of("b")))

    def test_a_patch_merges_by_name_and_fields_are_returned_as_sent(self):
        first = config_of(5, route_of("a", odd={"x": [1, 2.50, "\u00e9"]}), route_of("b"), pools=("p", "q"))
        self.client.put(self.other, first, 0)
        self.assertEqual(self.client.get(self.controllers[1])[1], first)
        changed = route_of("a", "new", sticky=True, aim_ms=2.5)
        status, _ = self.client.patch(
            self.other,
            {
                "version": 8,
                "puts": {"routes": [changed, route_of("c")], "pools": [{"name": "new", "cold_rate": 0.5}]},
                "drops": {"routes": ["b", "never"], "pools": ["q"]},
            },
            5,
        )
        self.assertEqual(status, 200)
        self.assertEqual(
            self.client.get(self.controllers[0])[1],
            {
                "version": 8,
                "routes": [changed, route_of("c")],
                "bounds": first["bounds"],
                "pools": [{"name": "p"}, {"name": "new", "cold_rate": 0.5}],
            },
        )
        self.assertEqual(self.client.patch(self.other, {"version": 9, "bounds": {"idle_timeout_ms": 5}}, 8)[0], 200)
        self.assertEqual(self.client.get(self.controllers[0])[1]["bounds"], {"idle_timeout_ms": 5})
        table = self.simulation.role("gateway")[0].ctx.cluster.cluster_state.routes
        self.assertEqual((table.routes["a"].latency_target_ms, table.bounds.idle_timeout_ms), (3, 5))

    def test_a_repeated_edit_has_the_same_outcome_at_any_controller_and_after_a_leader_change(self):
        early = config_of(9, route_of("early"))
        self.assertEqual(self.client.put(self.other, early, 5)[0], 412)
        self.assertEqual(self.client.put(self.other, config_of(5), 0)[0], 200)
        self.assertEqual(self.client.put(self.other, config_of(7, route_of("x")), 5)[0], 200)
        self.assertEqual(self.client.put(self.other, config_of(8, route_of("x"), route_of("y")), 7)[0], 200)
        for _ in range(2):
            for controller in self.simulation.role("controller", alive=True):
                self.assertEqual(self.client.put(controller, config_of(5), 0)[0], 200)
                self.assertEqual(self.client.put(controller, config_of(7, route_of("x")), 5)[0], 200)
                self.assertEqual(self.client.put(controller, early, 5)[0], 412)
                self.assertEqual(self.client.put(controller, config_of(7, route_of("z")), 5)[0], 412)
            self.assertEqual(self.versions("gateway"), {8})
            self.new_leader().start()
            self.simulation.until(
                lambda: {a.part.consensus.leader_id for a in self.controllers} == {self.simulation.leader().node},
                5,
                "all controllers follow the leader",
            )

    def test_an_interrupted_edit_retried_elsewhere_takes_effect_once(self):
        leader = self.simulation.leader()
        lost = self.client.start_call(leader, "PUT", "/v1/config", config_of(4), {"If-Match": "0"})
        self.simulation.until(
            lambda: leader.part.consensus.cluster_state.routes.version == 4, 5, "the edit is committed"
        )
        leader.kill()
        self.assertEqual(lost, [])
        self.simulation.until(lambda: self.simulation.leader(), 15, "another controller leads")
        self.assertEqual(self.client.put(self.other, config_of(4), 0)[0], 200)
        self.assertEqual(self.client.put(self.other, config_of(5), 4)[0], 200)

    def test_a_repeated_edit_adds_only_one_log_entry(self):
        self.client.put(self.other, config_of(4), 0)
        commit_index = self.simulation.leader().part.consensus.commit_index
        for _ in range(20):
            self.assertEqual(self.client.put(self.other, config_of(4), 0)[0], 200)
        self.assertEqual(self.simulation.leader().part.consensus.commit_index, commit_index)

    def test_the_configuration_survives_a_power_loss_at_every_controller(self):
        self.client.put(self.other, config_of(4), 0)
        self.client.patch(self.other, {"version": 6, "puts": {"routes": [route_of("c")]}}, 4)
        for a in self.controllers:
            a.kill(power=True)
        for a in self.controllers:
            a.start()
        self.simulation.ready()
        for a in self.controllers:
            self.assertEqual(self.client.get(a)[1], config_of(6, route_of("r"), route_of("c")))
            self.assertEqual(self.client.put(a, config_of(4), 0)[0], 200)
        self.simulation.until(lambda: self.versions("gateway") == {6}, 5, "the gateways have the configuration")

    def test_the_configuration_survives_compaction_and_reaches_a_new_controller(self):
        self.client.put(self.other, config_of(4), 0)
        leader = self.simulation.leader()

        async def append_entries():
            for n in range(2700):
                await leader.part.log_replication.propose(Command(no_op=True))

        self.simulation.do(append_entries(), 600)
        self.simulation.until(lambda: leader.part.durable_log.snapshot.index > 0, 10, "the log is compacted")
        newcomer = self.simulation.add("controller", "controller9", "zone-a", 1900)
        newcomer.start()
        self.simulation.until(
            lambda: newcomer.part.consensus.cluster_state.sequence == leader.part.consensus.cluster_state.sequence,
            10,
            "the new controller is up to date",
        )
        for a in self.simulation.role("controller"):
            a.kill(power=True)
            a.start()
        self.simulation.ready()
        for a in (leader, newcomer):
            self.simulation.until(lambda: a.part.consensus.leader_id, 2, "it knows the leader")
            self.assertEqual(self.client.get(a)[1], config_of(4))
            self.assertEqual(self.client.put(a, config_of(4), 0)[0], 200)

    def test_a_log_of_large_edits_is_compacted_by_its_size(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_BYTES", 300_000),
            mock.patch.object(durable_log, "RETAINED_BYTES", 60_000),
            mock.patch.object(durable_log, "MAX_BATCH_BYTES", 50_000),
        ):
            big = [route_of(f"r{n}", note="x" * 300) for n in range(50)]
            for n in range(1, 31):
                self.assertEqual(self.client.put(self.other, config_of(n, *big), n - 1)[0], 200)
            self.simulation.run(1)
            for a in self.controllers:
                entry_bytes = sum(e.ByteSize() for e in a.part.durable_log.entries)
                self.assertLess(entry_bytes, 400_000)
                self.assertEqual(entry_bytes, a.part.durable_log.entry_bytes)
            newcomer = self.simulation.add("controller", "controller9", "zone-a", 1900)
            newcomer.start()
            self.simulation.until(
                lambda: (
                    newcomer.part.consensus.cluster_state.sequence
                    == self.simulation.leader().part.consensus.cluster_state.sequence
                ),
                10,
                "the new controller is up to date",
            )
            for a in self.simulation.role("controller"):
                a.kill(power=True)
                a.start()
            self.simulation.ready()
            self.simulation.until(lambda: newcomer.part.consensus.leader_id, 2, "the new controller knows the leader")
            self.assertEqual(self.client.get(newcomer)[1], config_of(30, *big))

    def test_a_controller_without_a_leader_responds_with_503_at_once(self):
        others = [a.name for a in self.simulation.simulated_nodes.values() if a is not self.other]
        self.simulation.cut([self.other.name], others)
        self.simulation.run(2)
        before = self.simulation.clock.seconds()
        for response in (self.client.put(self.other, config_of(4), 0), self.client.get(self.other)):
            self.assertEqual((response[0], response[1]["error"]["outcome"]), (503, response[1]["error"]["outcome"]))
        self.assertLess(self.simulation.clock.seconds() - before, 0.1)
        self.simulation.heal()
        self.simulation.run(3)
        self.assertEqual(self.client.put(self.other, config_of(4), 0)[0], 200)

    def test_emptying_and_filling_a_zone_takes_effect_at_every_gateway(self):
        for n in range(2):
            for method, empty in (("PUT", True), ("PUT", True), ("DELETE", False), ("DELETE", False)):
                self.assertEqual(self.client.call(self.other, method, "/v1/zones/zone-b/empty")[0], 200)
                self.assertEqual({a.ctx.cluster.zone_empty("zone-b") for a in self.simulation.role("gateway")}, {empty})


class Retirement(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(23, storage_nodes=4, placement_groups=4)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.storage_node = self.simulation.role("storage")[1]
        self.name_storage_node()
        self.simulation.ready()
        self.simulation.until(
            lambda: len(self.simulation.leader().part.consensus.cluster_state.storage_nodes) == 4,
            20,
            "all storage nodes are admitted",
        )
        self.simulation.run(3)
        self.client = ControlClient(self.simulation)

    def name_storage_node(self):
        self.storage_node.ctx.membership.local_member.name = "box-1"
        self.storage_node.ctx.membership.local_member.incarnation += 1

    def ask(self, method, name, controller=None):
        return self.client.call(
            controller or self.simulation.role("controller")[2], method, f"/v1/storage_nodes/{name}/retire"
        )

    def test_a_storage_node_retired_by_name_stays_known_after_its_machine_is_gone(self):
        self.assertEqual(self.ask("GET", "box-1"), (200, {"state": "serving"}))
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        self.simulation.until(
            lambda: self.ask("GET", "box-1")[1] == {"state": "retired"}, 60, "the storage node is retired"
        )
        placement_groups = self.simulation.leader().part.consensus.cluster_state.placement_groups.values()
        self.assertFalse([s for s in placement_groups if self.storage_node.node in (*s.storage_nodes, s.joining)])
        self.storage_node.kill(power=True)
        self.storage_node.wipe()
        for a in self.simulation.role("controller"):
            a.kill(power=True)
            a.start()
        self.simulation.ready()
        self.assertEqual(self.ask("GET", "box-1"), (200, {"state": "retired"}))
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        self.assertEqual(self.ask("GET", "box-1"), (200, {"state": "retired"}))

    def test_a_retired_machine_that_returns_with_another_disk_is_not_admitted(self):
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        old = self.storage_node.node
        self.storage_node.kill(power=True)
        self.storage_node.wipe()
        self.storage_node.start()
        self.name_storage_node()
        self.assertNotEqual(self.storage_node.node, old)
        self.simulation.run(8)
        self.assertNotIn(self.storage_node.node, self.simulation.leader().part.consensus.cluster_state.storage_nodes)
        self.simulation.until(
            lambda: self.ask("GET", "box-1")[1] == {"state": "retired"}, 60, "the storage node is retired"
        )

    def test_unknown_names_and_too_few_remaining_storage_nodes_are_rejected_but_a_repeat_is_not(self):
        for method in ("POST", "GET"):
            self.assertEqual(self.ask(method, "box-9")[0], 404)
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        others = [a for a in self.simulation.role("storage") if a is not self.storage_node]
        response = self.ask("POST", others[0].node)
        self.assertEqual((response[0], response[1]["error"]["code"]), (409, "too_few_copies"))
        self.assertEqual(self.ask("POST", "box-1")[0], 200)
        self.assertEqual(self.ask("POST", self.storage_node.node)[0], 200)

"""Engines announce themselves to controllers, which notify all gateways."""

import unittest

from pipitlink.router.engine_registry import EngineRegistry
from pipitlink.router.load_exchange import LoadExchange
from pipitlink.wire.membership_pb2 import EngineList
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient


class _UpdateRecorder:
    """Replaces the engine registry of a gateway: records all updates and their times."""

    def __init__(self, simulated_node):
        self.simulated_node = simulated_node
        self.updates: list[tuple[float, object]] = []
        self.message_count = 0
        simulated_node.ctx.rpc.register_handler("engines.tell", EngineList, self._on_updates)

    async def _on_updates(self, node, message):
        self.message_count += 1
        self.updates.extend((self.simulated_node.simulation.clock.seconds(), n) for n in message.engines)

    def recorded_states(self, engine):
        return [n.state for _, n in self.updates if n.engine == engine]

    def last_update(self, engine):
        return next((n for _, n in reversed(self.updates) if n.engine == engine), None)


class EngineAnnouncements(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(5, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.gateways = [_UpdateRecorder(a) for a in self.simulation.role("gateway")]
        self.simulation.ready()
        self.client = ControlClient(self.simulation)
        self.controller, self.second = self.simulation.role("controller")[1:3]
        self.simulation.run(1)

    def announce(self, sequence, state="ready", engine="e1", controller=None, **more):
        return self.client.call(
            controller or self.controller,
            "PUT",
            f"/v1/engines/{engine}",
            {
                "pool": "p",
                "address": "10.9.0.1:80",
                "zone": "zone-a",
                "capacity": 4,
                "state": state,
                "sequence": sequence,
                **more,
            },
        )

    def remove_engine(self, engine="e1", controller=None):
        return self.client.call(controller or self.controller, "DELETE", f"/v1/engines/{engine}")

    def now(self):
        return self.simulation.clock.seconds()

    def test_a_new_engine_is_announced_to_every_gateway_immediately_without_a_leader(self):
        for a in self.simulation.role("controller"):
            if a is not self.controller:
                a.kill()
        self.simulation.run(3)
        self.assertEqual(self.announce(1), (200, {}))
        self.simulation.run(0.05)
        for g in self.gateways:
            n = g.last_update("e1")
            self.assertEqual(
                (n.pool, n.address, n.zone, n.capacity, n.state, n.sequence, n.incarnation),
                ("p", "10.9.0.1:80", "zone-a", 4, "ready", 1, 1),
            )

    def test_renewals_are_sent_in_batches_and_changes_immediately(self):
        for e in range(20):
            self.announce(1, engine=f"e{e}")
        self.simulation.run(2)
        before = self.gateways[0].message_count
        for repeat in range(3):
            for e in range(20):
                self.assertEqual(self.announce(2 + repeat, engine=f"e{e}"), (200, {}))
        self.simulation.run(2)
        self.assertLessEqual(self.gateways[0].message_count - before, 3)
        self.assertEqual({self.gateways[0].last_update(f"e{e}").sequence for e in range(20)}, {4})
        for n, more in enumerate(({"cold_ms": 500}, {"address": "10.9.0.2:80"})):
            self.announce(9 + n, engine="e3", **more)
            self.simulation.run(0.05)
            self.assertEqual(self.gateways[0].last_update("e3").sequence, 9 + n)

    def test_an_engine_known_from_another_controller_is_sent_with_the_renewals(self):
        for e in range(20):
            self.announce(1, engine=f"e{e}")
        self.simulation.run(0.05)
        before = self.gateways[0].message_count
        for e in range(20):
            self.announce(2, engine=f"e{e}", controller=self.second)
        self.simulation.run(0.9)
        self.assertLessEqual(self.gateways[0].message_count - before, 2)
        self.assertEqual({self.gateways[0].last_update(f"e{e}").sequence for e in range(20)}, {2})
        for more in ({"cold_ms": 500}, {"state": "leaving"}):
            at, before = self.now(), self.gateways[0].message_count
            self.announce(7, engine=f"f{len(more)}{at}", controller=self.second, **more)
            self.simulation.run(0.05)
            self.assertGreater(self.gateways[0].message_count, before, "the gateway is notified immediately")

    def test_a_renewal_contains_its_age(self):
        self.announce(1)
        self.simulation.run(2)
        self.announce(2)
        sent_at = self.now()
        self.simulation.run(1.5)
        at, n = next((at, n) for at, n in self.gateways[0].updates if n.sequence == 2)
        self.assertAlmostEqual(n.age_ms / 1000, at - sent_at, delta=0.05)

    def test_leaving_is_acknowledged_once_all_alive_gateways_know_it_and_is_never_reverted(self):
        self.announce(1)
        self.simulation.run(0.2)
        self.assertEqual(self.announce(2, "leaving")[0], 200)
        self.assertEqual([g.recorded_states("e1")[-1] for g in self.gateways], ["leaving"] * 3)
        self.announce(3, "ready")
        self.announce(4, "ready", cold_ms=100)
        self.announce(1, "ready")
        self.simulation.run(2)
        for g in self.gateways:
            recorded_states = g.recorded_states("e1")
            self.assertEqual(set(recorded_states[recorded_states.index("leaving") :]), {"leaving"})
            self.assertEqual(g.last_update("e1").sequence, 4)

    def test_an_announcement_after_the_removal_of_an_engine_is_ignored(self):
        self.announce(1)
        self.simulation.run(0.2)
        self.assertEqual(self.remove_engine()[0], 200)
        self.assertEqual([g.recorded_states("e1")[-1] for g in self.gateways], ["gone"] * 3)
        for sequence in (2, 50):
            self.assertEqual(self.announce(sequence)[0], 200)
            self.assertEqual(self.announce(sequence + 1, "leaving")[0], 200)
            self.simulation.run(20)
        self.assertEqual([g.recorded_states("e1")[-1] for g in self.gateways], ["gone"] * 3)
        self.assertEqual(self.remove_engine()[0], 200)

    def test_an_outdated_announcement_is_ignored(self):
        self.announce(5, address="10.9.0.5:80")
        self.announce(4, address="10.9.0.4:80")
        self.simulation.run(2)
        self.assertEqual({n.address for _, n in self.gateways[0].updates}, {"10.9.0.5:80"})

    def test_the_removal_of_an_engine_unknown_to_the_controller_is_sent_as_well(self):
        self.announce(1, controller=self.second)
        self.simulation.run(0.2)
        self.assertEqual(self.remove_engine()[0], 200)
        self.assertEqual([g.recorded_states("e1")[-1] for g in self.gateways], ["gone"] * 3)

    def test_leaving_waits_for_a_slow_gateway_and_its_notification_is_retried(self):
        self.announce(1)
        self.simulation.run(0.2)
        slow = self.gateways[1]
        self.simulation.cut([self.controller.name], [slow.simulated_node.name])
        started_at = self.now()
        responses = self.client.start_call(
            self.controller,
            "PUT",
            "/v1/engines/e1",
            {"pool": "p", "address": "10.9.0.1:80", "state": "leaving", "sequence": 2},
        )
        self.simulation.run(0.45)
        self.assertEqual(responses, [])
        self.simulation.heal()
        self.simulation.until(lambda: responses, 1, "the request is acknowledged")
        self.assertEqual(responses[0][0], 200)
        self.assertLess(self.now() - started_at, 0.75)
        self.simulation.until(lambda: slow.recorded_states("e1")[-1] == "leaving", 1, "the slow gateway is notified")

    def test_leaving_waits_for_a_limited_time_and_an_unreachable_gateway_is_notified_later(self):
        self.announce(1)
        self.simulation.run(0.2)
        slow = self.gateways[1]
        self.simulation.cut([self.controller.name], [slow.simulated_node.name])
        started_at = self.now()
        self.assertEqual(self.announce(2, "leaving")[0], 200)
        self.assertLess(self.now() - started_at, 0.75)
        self.simulation.run(1)
        self.simulation.heal()
        self.simulation.run(0.7)
        self.assertEqual(slow.recorded_states("e1")[-1], "leaving")

    def test_a_change_that_a_gateway_did_not_confirm_for_seconds_is_still_sent_to_it(self):
        self.announce(1)
        self.simulation.run(0.2)
        slow = self.gateways[1]
        self.simulation.cut([self.controller.name], [slow.simulated_node.name])
        self.assertEqual(self.announce(2, "leaving")[0], 200)
        self.simulation.run(5)
        self.assertEqual(slow.recorded_states("e1")[-1], "ready")
        self.simulation.heal()
        self.simulation.run(1.5)
        self.assertEqual(slow.recorded_states("e1")[-1], "leaving")

    def test_leaving_that_no_gateway_has_confirmed_is_not_acknowledged(self):
        self.announce(1)
        self.simulation.run(0.2)
        gateways = [g.simulated_node.name for g in self.gateways]
        self.simulation.cut([self.controller.name], gateways)
        for send in (
            lambda: self.announce(2, "leaving"),
            lambda: self.announce(2, "leaving"),
            self.remove_engine,
            self.remove_engine,
        ):
            response = send()
            self.assertEqual((response[0], response[1]["error"]["code"]), (503, "untold"))
        self.simulation.heal()
        self.simulation.until(lambda: self.remove_engine()[0] == 200, 3, "the gateways are notified")
        self.assertEqual([g.recorded_states("e1")[-1] for g in self.gateways], ["gone"] * 3)

    def test_a_controller_that_considers_all_gateways_gone_does_not_acknowledge_leaving(self):
        self.announce(1)
        self.simulation.cut(
            [self.controller.name], [a for a in self.simulation.simulated_nodes if a != self.controller.name]
        )
        self.simulation.run(12)
        self.assertEqual(self.controller.ctx.membership.members("gateway"), [])
        for send in (lambda: self.announce(2), lambda: self.announce(3, "leaving"), self.remove_engine):
            self.assertEqual(send()[0], 503)
        self.simulation.heal()
        self.simulation.until(lambda: self.remove_engine()[0] == 200, 10, "the gateways are notified")

    def test_a_gateway_that_joins_later_gets_all_engines(self):
        self.announce(1, engine="e1")
        self.announce(1, engine="e2")
        self.announce(2, "leaving", engine="e2")
        self.remove_engine("e3")
        late = self.simulation.add("gateway", "gateway9", "zone-b", 1900)
        late.start()
        recorder = _UpdateRecorder(late)
        self.simulation.until(lambda: recorder.last_update("e1"), 3, "the new gateway is notified")
        self.assertEqual([recorder.last_update(e).state for e in ("e1", "e2", "e3")], ["ready", "leaving", "gone"])

    def test_silent_engines_are_removed_and_removals_are_kept_longer(self):
        self.announce(1, engine="e1")
        self.remove_engine("e2")
        self.simulation.run(35)
        self.assertEqual(set(self.controller.part.announcements.registry.engines), {"e2"})
        self.simulation.run(30)
        self.assertEqual(set(self.controller.part.announcements.registry.engines), set())

    def test_invalid_announcements_are_refused(self):
        good = {"pool": "p", "address": "a:1", "state": "ready", "sequence": 1}
        for bad in (
            b"",
            b"{",
            [],
            {**good, "state": "odd"},
            {**good, "state": None},
            {**good, "sequence": "1"},
            {**good, "sequence": -1},
            {**good, "models": "m"},
            {**good, "capacity": True},
            *({k: v for k, v in good.items() if k != f} for f in good),
        ):
            self.assertEqual(self.client.call(self.controller, "PUT", "/v1/engines/e1", bad)[0], 400, bad)
        self.assertEqual(self.controller.part.announcements.registry.engines, {})


class DelayedAnnouncements(unittest.TestCase):
    """Delayed announcements that reach a controller late or after its restart, with the real registry of a gateway."""

    def setUp(self):
        self.simulation = Simulation(5, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.gateways = self.simulation.role("gateway")
        self.registries = {g.name: self.create_registry(g) for g in self.gateways}
        self.simulation.ready()
        self.client = ControlClient(self.simulation)
        self.controller, self.second = self.simulation.role("controller")[1:3]
        self.simulation.run(1)

    def create_registry(self, gateway):
        engines = EngineRegistry(gateway.ctx)
        engines.open()
        LoadExchange(gateway.ctx, engines).open()
        return engines

    def announce(self, sequence, state="ready", controller=None):
        announcement = {"pool": "p", "address": "10.9.0.1:80", "zone": "zone-a", "state": state, "sequence": sequence}
        return self.client.call(controller or self.controller, "PUT", "/v1/engines/e1", announcement)[0]

    def restart(self, simulated_node):
        simulated_node.kill()
        simulated_node.start()
        self.simulation.until(
            lambda: simulated_node.ctx.membership.members("gateway", statuses=("alive",)), 5, "it knows gateways"
        )
        self.simulation.run(1)

    def engine_states(self):
        return [e.status(found[0]) if (found := e.all()) else "none" for e in self.registries.values()]

    def test_a_late_announcement_to_a_restarted_controller_does_not_revive_a_leaving_engine(self):
        self.announce(0)
        self.simulation.run(0.2)
        self.assertEqual(self.engine_states(), ["ready"] * 3)
        self.assertEqual((self.announce(1), self.announce(5, "leaving")), (200, 200))
        self.restart(self.controller)
        for sequence in (3, 9):
            self.announce(sequence)
            self.simulation.run(1)
            self.assertEqual(self.engine_states(), ["leaving"] * 3)

    def test_a_late_announcement_to_a_restarted_controller_does_not_revive_a_removed_engine(self):
        self.announce(1)
        self.assertEqual(self.client.call(self.controller, "DELETE", "/v1/engines/e1")[0], 200)
        self.restart(self.controller)
        for sequence in (3, 9):
            self.announce(sequence)
            self.simulation.run(1)
            self.assertEqual(self.engine_states(), ["none"] * 3)

    def test_a_restarted_gateway_follows_the_newest_announcement_and_not_a_late_one(self):
        self.assertEqual((self.announce(1), self.announce(5, "leaving")), (200, 200))
        gateway = self.gateways[0]
        gateway.kill()
        gateway.start()
        self.registries[gateway.name] = self.create_registry(gateway)
        self.simulation.until(lambda: self.registries[gateway.name].all(), 5, "it knows the engine")
        self.announce(3, controller=self.second)
        self.simulation.run(1)
        self.assertEqual(self.engine_states(), ["leaving"] * 3)

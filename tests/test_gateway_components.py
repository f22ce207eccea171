"""Components of a gateway on a simulated clock: engine selection, row limits, batch dispatch, settings."""

import contextlib
import io
import re
import tempfile
import tomllib
import unittest
from pathlib import Path
from random import Random

import attrs
from twisted.internet import defer
from twisted.internet.task import Clock

from pipitlink.command import main
from pipitlink.controller.table_rows import parse_rows
from pipitlink.errors import InvalidRows, ServiceUnavailable, SettingsError
from pipitlink.gateway.batch_capacity import BatchCapacity
from pipitlink.gateway.item_dispatcher import ItemDispatcher
from pipitlink.gateway.open_batches import OpenBatch, OpenBatches
from pipitlink.gateway.request_record import RequestKind
from pipitlink.gateway.request_table import RequestTable
from pipitlink.gateway.retry_after import RetryAfterEstimator
from pipitlink.gateway.retry_policy import RetryBudget
from pipitlink.settings import ROLES, Settings, read_settings
from pipitlink.timers import YIELD_DELAY, Timers, secs, spawn, wall_ms
from pipitlink.wire.cluster_pb2 import Row
from pipitlink.wire.lots_pb2 import Item, Lot

from .gateway_builders import Gateway


class EngineSelection(unittest.TestCase):
    def test_each_incarnation_of_an_engine_gets_a_slow_start(self):
        gateway = Gateway()
        gateway.announce_engine("e")
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 1)
        gateway.advance(4, "e")
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 4)
        gateway.advance(6, "e")
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 5)
        gateway.advance(1, "e", incarnation=2)
        engine = gateway.engines.all()[0]
        engine.live_requests = 0
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 1)

    def test_leaving_and_silent_engines_and_emptied_zones_get_no_requests(self):
        gateway = Gateway()
        gateway.advance(10, "e")
        gateway.announce_engine("e", state="leaving")
        gateway.announce_engine("e", state="ready")
        self.assertIsNone(gateway.selector.select(gateway.make_request()))
        gateway.advance(10, "f")
        self.assertIsNotNone(gateway.selector.select(gateway.make_request()))
        gateway.clock.advance(3.5)
        self.assertIsNone(gateway.selector.select(gateway.make_request()))
        gateway.announce_engine("f")
        gateway.cluster.cluster_state.empty_zones.add("z")
        self.assertIsNone(gateway.selector.select(gateway.make_request()))

    def test_batches_leave_a_reserve_that_a_row_can_override(self):
        gateway = Gateway()
        gateway.advance(10, "e", capacity=20)
        self.assertEqual(gateway.fill_slots(gateway.make_request(kind=RequestKind.ITEM)), 15)
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 5)
        gateway = Gateway()
        gateway.advance(10, "e", capacity=20)
        gateway.cluster.cluster_state.rows["r"] = Row(name="r", model="m", weight=1, lot_share=0.5)
        self.assertEqual(gateway.fill_slots(gateway.make_request(kind=RequestKind.ITEM)), 10)

    def test_gateways_without_load_reports_fill_an_engine_exactly_to_its_capacity(self):
        for capacity in (3, 8, 10, 41):
            gateways = [Gateway(gateways=4) for _ in range(4)]
            for i, gateway in enumerate(gateways):
                gateway.node = f"g{i}"
                gateway.advance(10, "e", capacity=capacity)
            self.assertEqual(sum(gateway.fill_slots(gateway.make_request()) for gateway in gateways), capacity)

    def test_a_partition_does_not_double_the_load_of_an_engine_in_slow_start(self):
        gateways = [Gateway(gateways=4) for _ in range(4)]
        for i, gateway in enumerate(gateways):
            gateway.node = f"g{i}"
            gateway.membership.unreachable = ("g2", "g3") if i < 2 else ("g0", "g1")
            gateway.announce_engine("e", capacity=40)
            gateway.advance(4, "e", capacity=40)
        self.assertLessEqual(sum(gateway.fill_slots(gateway.make_request()) for gateway in gateways), 22)

    def test_a_single_slot_rotates_among_the_gateways(self):
        gateway = Gateway(gateways=4)
        gateway.advance(10, "e", capacity=1)
        turns = []
        for _ in range(8):
            turns.append(gateway.slots.free_slots(gateway.engines.all()[0]))
            gateway.clock.advance(0.1)
        self.assertEqual((sum(turns), turns[:4]), (2, turns[4:]))

    def test_unused_quota_of_other_gateways_is_borrowed_step_by_step(self):
        gateway = Gateway(gateways=4)
        gateway.advance(10, "e", capacity=40)
        self.assertEqual(gateway.fill_slots(gateway.make_request()), 10)
        granted = []
        for _ in range(12):
            gateway.slots.report_loads()
            granted.append(gateway.fill_slots(gateway.make_request()))
        self.assertIn(granted[0], (7, 8))
        self.assertGreater(10 + sum(granted), 34)

    def test_a_prefix_key_stays_on_one_engine_until_that_is_loaded(self):
        gateway = Gateway()
        gateway.advance(10, "a", "b", "c", capacity=8)
        first = gateway.selector.select(gateway.make_request("tour")).name
        self.assertEqual({gateway.selector.select(gateway.make_request("tour")).name for _ in range(20)}, {first})
        picked = []
        for _ in range(9):
            engine = gateway.selector.select(gateway.make_request("tour"))
            picked.append(engine.name)
            gateway.slots.acquire(engine, is_batch_item=False)
        self.assertEqual(picked[0], first)
        self.assertGreater(len(set(picked)), 1)

    def test_an_engine_whose_row_has_weight_zero_is_no_candidate(self):
        gateway = Gateway()
        gateway.advance(10, "a")
        gateway.cluster.cluster_state.rows["r"] = Row(name="r", model="m", pool="models", weight=0)
        self.assertEqual(gateway.candidates.find("m"), [])

    def test_retries_are_limited_by_a_budget(self):
        budget = RetryBudget(ratio=0.5, max_saved=2)
        self.assertEqual([budget.take() for _ in range(3)], [True, True, False])
        budget.earn()
        budget.earn()
        self.assertTrue(budget.take())


class _GatewayGroup:
    """Several gateways on one clock, with an engine that has free slots and a row with limits."""

    def __init__(self, n, **row):
        self.clock, self.network, self.rng = Clock(), {}, Random(3)
        self.gateways = [Gateway(n, i, self.clock, self.network) for i in range(n)]
        for gateway in self.gateways:
            gateway.cluster.cluster_state.rows["r"] = Row(name="r", model="m", weight=1, **row)
        self.run(12)

    def run(self, seconds, each=lambda: None):
        for _ in range(int(seconds * 20)):
            self.clock.advance(0.05)
            for gateway in self.alive():
                if round(self.clock.seconds() / 0.05) % 4 == 0:
                    gateway.announce_engine("e", capacity=100)
                    gateway.slots.report_loads()
            each()

    def alive(self):
        return [gateway for gateway in self.gateways if gateway.rpc.address in self.network]

    def remove(self, gateway):
        del self.network[gateway.rpc.address]
        for other in self.gateways:
            other.membership.unreachable = (*other.membership.unreachable, gateway.node)

    def admits(self, gateway) -> bool:
        outcomes = []
        spawn(gateway.rate_limits.check_rate(gateway.make_request())).addBoth(outcomes.append)
        return not isinstance(getattr(outcomes[0], "value", None), ServiceUnavailable)


class RowLimitsAcrossGateways(unittest.TestCase):
    def test_a_rate_limit_applies_across_gateways_and_can_be_used_up_at_one(self):
        for gateways_used in (lambda group: group.alive(), lambda group: group.alive()[:1]):
            group, admitted = _GatewayGroup(8, rate=4), []
            group.run(10, lambda: admitted.extend(gateway for gateway in gateways_used(group) if group.admits(gateway)))
            self.assertGreaterEqual(len(admitted), 36)
            self.assertLessEqual(len(admitted), 44)

    def test_gateways_together_follow_the_slow_start_of_an_engine(self):
        group = _GatewayGroup(8)
        announced_at, excess = group.clock.seconds(), []

        def each():
            for gateway in group.alive():
                gateway.announce_engine("cold", capacity=8)
                engine = next(engine for engine in gateway.engines.all() if engine.name == "cold")
                if gateway.slots.free_slots(engine) > 0:
                    gateway.slots.acquire(engine, is_batch_item=False)
            ramp = max(1, int(8 * min(1.0, 0.1 + 0.9 * (group.clock.seconds() - announced_at) / 8)))
            excess.append(
                sum(
                    engine.local_requests
                    for gateway in group.alive()
                    for engine in gateway.engines.all()
                    if engine.name == "cold"
                )
                - ramp
            )

        group.run(7, each)
        self.assertLessEqual(max(excess), 1)
        self.assertGreaterEqual(min(excess[30:]), -1)

    def test_the_loss_of_the_coordinator_causes_no_burst(self):
        group, admitted = _GatewayGroup(4, rate=2), []
        coordinator = next(
            gateway for gateway in group.gateways if gateway.rate_limits.coordinator("r") == gateway.node
        )
        group.run(3, lambda: admitted.extend(gateway for gateway in group.alive() if group.admits(gateway)))
        group.remove(coordinator)
        group.run(7, lambda: admitted.extend(gateway for gateway in group.alive() if group.admits(gateway)))
        self.assertGreaterEqual(len(admitted), 15)
        self.assertLessEqual(len(admitted), 22)

    def test_a_concurrency_limit_applies_across_gateways_when_the_coordinator_is_lost(self):
        group = _GatewayGroup(8, concurrency=3)
        held, held_counts, acquired = [], [], []

        def each():
            for gateway in group.alive():
                if group.rng.random() < 0.1:
                    request = gateway.make_request()
                    request.deadline = gateway.timers.now() + secs(5)
                    spawn(gateway.rate_limits.acquire_permit(request)).addCallbacks(
                        lambda _, request=request: (held.append(request), acquired.append(request)),
                        lambda failure: failure.trap(ServiceUnavailable) and None,
                    )
            for request in [request for request in held if group.rng.random() < 0.05]:
                held.remove(request)
                request.release()
            held_counts.append(len(held))

        group.run(8, each)
        before = len(acquired)
        group.remove(
            next(gateway for gateway in group.gateways if gateway.rate_limits.coordinator("r") == gateway.node)
        )
        group.run(10, each)
        self.assertEqual(max(held_counts), 3)
        self.assertGreater(before, 12)
        self.assertGreater(len(acquired) - before, 6)

    def test_a_coordinator_in_a_minority_or_after_a_suspension_grants_nothing(self):
        group = _GatewayGroup(8, rate=100)
        gateway = next(gateway for gateway in group.gateways if gateway.rate_limits.coordinator("r") == gateway.node)
        self.assertTrue(group.admits(gateway))
        gateway.membership.unreachable = tuple(other.node for other in group.gateways if other is not gateway)[:6]
        group.run(1)
        self.assertFalse(group.admits(gateway))
        gateway.membership.unreachable = ()
        group.run(1)
        self.assertTrue(group.admits(gateway))
        group.clock.advance(5)
        self.assertFalse(group.admits(gateway))

    def test_clients_that_obey_retry_after_are_rejected_less_often(self):
        """600 clients share 20 slots a second: counts the rejected attempts, with and without the estimated delay."""

        def rejected_attempts(derived):
            clock = Clock()
            estimator = RetryAfterEstimator(Timers(clock, seconds=clock.seconds))
            due, rejected, served = {0.0: 600}, 0, 0
            while served < 600:
                now = round(clock.seconds(), 3)
                free = 5
                for _ in range(due.pop(now, 0)):
                    if free:
                        free, served = free - 1, served + 1
                        estimator.record_release()
                    else:
                        rejected += 1
                        at = round(now + (estimator.seconds() if derived else 1), 3)
                        due[at] = due.get(at, 0) + 1
                clock.advance(0.25)
            return rejected

        self.assertLess(rejected_attempts(True), rejected_attempts(False) / 3)


class _Dispatcher(ItemDispatcher):
    """Records which items are started; each keeps its slot until the end of the test."""

    def __init__(self, gateway, *parts):
        super().__init__(gateway, gateway.serving, gateway.open_batches, None, *parts)
        self._gateway = gateway

    async def _run_item(self, batch, index, item, overdue):
        self._gateway.started.append("late" if overdue else batch.id)
        self._gateway.slots.acquire(self._gateway.engines.all()[0], is_batch_item=True)
        await defer.Deferred()


class _BatchOwner(Gateway):
    def __init__(self):
        super().__init__()
        self.settings = type("Settings", (), {"lot_reserve": 0.25, "zone": "z", "resume_hold_s": 5})
        self.open_batches, self.started = OpenBatches(), []
        capacity = BatchCapacity(self.slots, self.candidates)
        self.dispatcher = _Dispatcher(self, capacity, RequestTable(self), None)

    def dispatch(self):
        """Starts items, over as many reactor turns as needed, until no more can be started."""
        dispatched = self.dispatcher.dispatch()
        while not dispatched.called:
            self.clock.advance(YIELD_DELAY.total_seconds())

    def add_batch(self, name, customer, items, due_s, priority=0):
        wall = wall_ms(self.timers.utc_now())
        self.open_batches.add(
            name,
            Lot(customer=customer, priority=priority, limit_ms=wall + due_s * 1000, items=[Item(model="m")] * items),
        )
        batch = self.open_batches.get(name)
        batch.leaseholder = type(
            "Leaseholder", (), {"is_held": lambda self: True, "lost": "", "epoch": 1, "final": False}
        )()
        batch.pending = list(range(items))
        return batch


class BatchOrder(unittest.TestCase):
    def test_items_are_ordered_by_urgency_then_priority_then_customer_within_the_capacity(self):
        gateway = _BatchOwner()
        gateway.advance(10, "e", capacity=16)
        gateway.add_batch("night-a", "a", 20, 30_000)
        gateway.add_batch("night-b", "b", 20, 30_000)
        gateway.add_batch("raised", "a", 2, 30_000, priority=3)
        gateway.add_batch("due", "c", 2, 4)
        gateway.dispatch()
        self.assertEqual(gateway.started[:4], ["due", "due", "raised", "raised"])
        self.assertEqual(sorted(gateway.started[4:]), ["night-a"] * 3 + ["night-b"] * 5)
        gateway.dispatch()
        self.assertEqual(len(gateway.started), 12)
        gateway.engines.all()[0].batch_items = 0
        gateway.engines.all()[0].live_requests = 14
        gateway.dispatch()
        self.assertEqual(len(gateway.started), 12)

    def test_a_bounded_number_of_items_is_started_in_each_reactor_turn(self):
        gateway = _BatchOwner()
        gateway.advance(10, "e", capacity=16)
        gateway.add_batch("night", "a", 20, 30_000)
        gateway.dispatcher.dispatch()
        started = [len(gateway.started)]
        for _ in range(4):
            gateway.clock.advance(YIELD_DELAY.total_seconds())
            started.append(len(gateway.started))
        self.assertEqual(started, [4, 8, 12, 12, 12])

    def test_items_past_their_deadline_are_started_as_overdue(self):
        gateway = _BatchOwner()
        gateway.advance(10, "e", capacity=4)
        gateway.add_batch("past", "a", 2, -1)
        gateway.dispatch()
        self.assertEqual(gateway.started, ["late", "late"])


class ReportedOutcomes(unittest.TestCase):
    def test_an_item_that_may_have_run_is_never_reported_as_not_run(self):
        def reported(repeatable, attempts, epoch, outcome="not_run"):
            batch = OpenBatch("x", Lot(items=[Item(model="m", repeatable=repeatable)]))
            batch.attempts[0] = attempts
            batch.leaseholder = type("Leaseholder", (), {"epoch": epoch})
            return batch.reportable_outcome(0, outcome)

        self.assertEqual(reported(False, 0, 1), "not_run")
        self.assertEqual(reported(False, 0, 5), "not_run")
        self.assertEqual(reported(True, 0, 1), "not_run")
        self.assertEqual(reported(True, 0, 2), "unknown")
        self.assertEqual(reported(True, 2, 1), "unknown")
        self.assertEqual(reported(True, 2, 1, "failed"), "failed")


class Validation(unittest.TestCase):
    def test_each_invalid_setting_is_reported_on_one_line(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            self.assertEqual(main(["nonsense"]), 2)
            err.truncate(0)
            err.seek(0)
            self.assertEqual(main(["storage", "--port", "x", "--zone", "A B", "--seeds", "nowhere"]), 2)
        self.assertEqual([line.partition(":")[0] for line in err.getvalue().splitlines()], ["zone", "port", "seeds"])
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "p.toml"
            path.write_text("colour = 1\nport = 7\n")
            with self.assertRaises(SettingsError) as raised:
                read_settings("gateway", str(path), {})
            self.assertEqual(raised.exception.lines, ["colour: no such setting"])
            path.write_text("shelves = 4\n")
            with self.assertRaises(SettingsError) as raised:
                read_settings("gateway", str(path), {})
            self.assertEqual(raised.exception.lines, ["shelves: this setting is now called placement_groups"])
            path.write_text('port = 7\nzone = "b"\n')
            settings = read_settings("gateway", str(path), {"port": "8"})
            self.assertEqual((settings.port, settings.zone), (8, "b"))

    def test_every_setting_is_documented_and_every_documented_setting_exists(self):
        docs, documented = Path(__file__).parent.parent / "docs" / "settings", set()
        for role in ROLES:
            text = (docs / f"{role}.toml").read_text()
            self.assertEqual(read_settings(role, str(docs / f"{role}.toml"), {}).fleet, "tours")
            lines = re.findall(r"^(?:# )?([a-z_]+) = (.+?)(?:\s+#.*)?$", text, re.M)
            for name, value in lines:
                read_settings(role, None, {"data": "x", name: tomllib.loads(f"v = {value}")["v"]})
            documented |= {name for name, _ in lines}
        self.assertEqual({field.name for field in attrs.fields(Settings)} - documented, {"plug"})

    def test_invalid_table_rows_are_reported_by_row_and_field(self):
        with self.assertRaises(InvalidRows) as raised:
            parse_rows(
                {
                    "a": {"model": "m", "weight": -1},
                    "b": {},
                    "c": {"model": "m2", "rate": "fast"},
                    "d": {"model": "x", "pool": "y"},
                    "e": {"model": "x", "pool": "y"},
                }
            )
        self.assertEqual(
            [(fault["row"], fault["field"]) for fault in raised.exception.faults],
            [("a", "weight"), ("b", "model"), ("c", "rate"), ("e", "model")],
        )

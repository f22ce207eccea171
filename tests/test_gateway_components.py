"""Parts of a gateway on injected timers: engines, picks, rates, settings."""

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
from pipitlink.gateway.item_dispatcher import ItemDispatcher
from pipitlink.gateway.job_capacity import JobCapacity
from pipitlink.gateway.open_jobs import OpenJob, OpenJobs
from pipitlink.gateway.request_record import RequestKind
from pipitlink.gateway.request_table import RequestTable
from pipitlink.gateway.retry_after import RetryAfterEstimator
from pipitlink.gateway.retry_policy import RetryBudget
from pipitlink.settings import ROLES, Settings, read_settings
from pipitlink.timers import TURN_PAUSE, Timers, secs, spawn, wall_ms
from pipitlink.wire.cluster_pb2 import Row
from pipitlink.wire.lots_pb2 import Item, Lot

from .gateway_builders import Gateway


class Picks(unittest.TestCase):
    def test_a_cold_engine_is_filled_step_by_step_and_again_when_it_returns(self):
        g = Gateway()
        g.news("e")
        self.assertEqual(g.fill(g.ask()), 1)
        g.later(4, "e")
        self.assertEqual(g.fill(g.ask()), 4)
        g.later(6, "e")
        self.assertEqual(g.fill(g.ask()), 5)
        g.later(1, "e", incarnation=2)
        e = g.engines.all()[0]
        e.live_requests = 0
        self.assertEqual(g.fill(g.ask()), 1)

    def test_a_leaving_or_silent_engine_and_an_emptied_zone_get_nothing(self):
        g = Gateway()
        g.later(10, "e")
        g.news("e", state="leaving")
        g.news("e", state="ready")
        self.assertIsNone(g.selector.select(g.ask()))
        g.later(10, "f")
        self.assertIsNotNone(g.selector.select(g.ask()))
        g.clock.advance(3.5)
        self.assertIsNone(g.selector.select(g.ask()))
        g.news("f")
        g.cluster.cluster_state.empty_zones.add("z")
        self.assertIsNone(g.selector.select(g.ask()))

    def test_lots_leave_the_reserve_and_a_rows_share_goes_before_it(self):
        g = Gateway()
        g.later(10, "e", capacity=20)
        self.assertEqual(g.fill(g.ask(kind=RequestKind.ITEM)), 15)
        self.assertEqual(g.fill(g.ask()), 5)
        g = Gateway()
        g.later(10, "e", capacity=20)
        g.cluster.cluster_state.rows["r"] = Row(name="r", model="m", weight=1, lot_share=0.5)
        self.assertEqual(g.fill(g.ask(kind=RequestKind.ITEM)), 10)

    def test_gateways_with_late_news_together_fill_an_engine_and_do_not_pass_its_limit(self):
        for capacity in (3, 8, 10, 41):
            gateways = [Gateway(gateways=4) for _ in range(4)]
            for i, g in enumerate(gateways):
                g.node = f"g{i}"
                g.later(10, "e", capacity=capacity)
            self.assertEqual(sum(g.fill(g.ask()) for g in gateways), capacity)

    def test_a_cut_does_not_double_what_a_cold_engine_gets(self):
        gateways = [Gateway(gateways=4) for _ in range(4)]
        for i, g in enumerate(gateways):
            g.node = f"g{i}"
            g.membership.away = ("g2", "g3") if i < 2 else ("g0", "g1")
            g.news("e", capacity=40)
            g.later(4, "e", capacity=40)
        self.assertLessEqual(sum(g.fill(g.ask()) for g in gateways), 22)

    def test_an_odd_place_goes_round_so_that_every_gateway_can_use_it(self):
        g = Gateway(gateways=4)
        g.later(10, "e", capacity=1)
        turns = []
        for _ in range(8):
            turns.append(g.slots.free_slots(g.engines.all()[0]))
            g.clock.advance(0.1)
        self.assertEqual((sum(turns), turns[:4]), (2, turns[4:]))

    def test_what_others_leave_is_borrowed_by_parts(self):
        g = Gateway(gateways=4)
        g.later(10, "e", capacity=40)
        self.assertEqual(g.fill(g.ask()), 10)
        granted = []
        for _ in range(12):
            g.slots.report_loads()
            granted.append(g.fill(g.ask()))
        self.assertIn(granted[0], (7, 8))
        self.assertGreater(10 + sum(granted), 34)

    def test_one_prefix_keeps_to_one_engine_until_that_is_loaded(self):
        g = Gateway()
        g.later(10, "a", "b", "c", capacity=8)
        first = g.selector.select(g.ask("tour")).name
        self.assertEqual({g.selector.select(g.ask("tour")).name for _ in range(20)}, {first})
        picked = []
        for _ in range(9):
            e = g.selector.select(g.ask("tour"))
            picked.append(e.name)
            g.slots.acquire(e, job_item=False)
        self.assertEqual(picked[0], first)
        self.assertGreater(len(set(picked)), 1)

    def test_weights_from_the_table(self):
        g = Gateway()
        g.later(10, "a")
        g.cluster.cluster_state.rows["r"] = Row(name="r", model="m", pool="models", weight=0)
        self.assertEqual(g.candidates.find("m"), [])

    def test_second_tries_have_a_budget(self):
        b = RetryBudget(ratio=0.5, max_saved=2)
        self.assertEqual([b.take() for _ in range(3)], [True, True, False])
        b.earn()
        b.earn()
        self.assertTrue(b.take())


class _Cluster:
    """Several gateways on one clock, each with engines that have room, and a row with limits."""

    def __init__(self, n, **row):
        self.clock, self.bus, self.rng = Clock(), {}, Random(3)
        self.gateways = [Gateway(n, i, self.clock, self.bus) for i in range(n)]
        for g in self.gateways:
            g.cluster.cluster_state.rows["r"] = Row(name="r", model="m", weight=1, **row)
        self.run(12)

    def run(self, seconds, each=lambda: None):
        for _ in range(int(seconds * 20)):
            self.clock.advance(0.05)
            for g in self.up():
                if round(self.clock.seconds() / 0.05) % 4 == 0:
                    g.news("e", capacity=100)
                    g.slots.report_loads()
            each()

    def up(self):
        return [g for g in self.gateways if g.rpc.address in self.bus]

    def lose(self, g):
        del self.bus[g.rpc.address]
        for o in self.gateways:
            o.membership.away = (*o.membership.away, g.node)

    def passed(self, g) -> bool:
        box = []
        spawn(g.rate_limits.check_rate(g.ask())).addBoth(box.append)
        return not isinstance(getattr(box[0], "value", None), ServiceUnavailable)


class LimitsOfRows(unittest.TestCase):
    def test_a_rate_holds_over_the_fleet_and_is_usable_at_one_gateway(self):
        for callers in (lambda f: f.up(), lambda f: f.up()[:1]):
            f, passed = _Cluster(8, rate=4), []
            f.run(10, lambda: passed.extend(g for g in callers(f) if f.passed(g)))
            self.assertGreaterEqual(len(passed), 36)
            self.assertLessEqual(len(passed), 44)

    def test_gateways_by_turns_do_not_fill_a_cold_engine_beyond_its_ramp(self):
        f = _Cluster(8)
        came, over = f.clock.seconds(), []

        def each():
            for g in f.up():
                g.news("cold", capacity=8)
                e = next(e for e in g.engines.all() if e.name == "cold")
                if g.slots.free_slots(e) > 0:
                    g.slots.acquire(e, job_item=False)
            ramp = max(1, int(8 * min(1.0, 0.1 + 0.9 * (f.clock.seconds() - came) / 8)))
            over.append(sum(e.local_requests for g in f.up() for e in g.engines.all() if e.name == "cold") - ramp)

        f.run(7, each)
        self.assertLessEqual(max(over), 1)
        self.assertGreaterEqual(min(over[30:]), -1)

    def test_a_new_or_lost_gateway_brings_no_burst(self):
        f, passed = _Cluster(4, rate=2), []
        steward = next(g for g in f.gateways if g.rate_limits.coordinator("r") == g.node)
        f.run(3, lambda: passed.extend(g for g in f.up() if f.passed(g)))
        f.lose(steward)
        f.run(7, lambda: passed.extend(g for g in f.up() if f.passed(g)))
        self.assertGreaterEqual(len(passed), 15)
        self.assertLessEqual(len(passed), 22)

    def test_a_concurrency_holds_over_the_fleet_while_gateways_come_and_go(self):
        f = _Cluster(8, concurrency=3)
        out, most, began = [], [], []

        def each():
            for g in f.up():
                if f.rng.random() < 0.1:
                    a = g.ask()
                    a.deadline = g.timers.now() + secs(5)
                    spawn(g.rate_limits.acquire_permit(a)).addCallbacks(
                        lambda _, a=a: (out.append(a), began.append(a)), lambda f: f.trap(ServiceUnavailable) and None
                    )
            for a in [a for a in out if f.rng.random() < 0.05]:
                out.remove(a)
                a.release()
            most.append(len(out))

        f.run(8, each)
        before = len(began)
        f.lose(next(g for g in f.gateways if g.rate_limits.coordinator("r") == g.node))
        f.run(10, each)
        self.assertEqual(max(most), 3)
        self.assertGreater(before, 12)
        self.assertGreater(len(began) - before, 6)

    def test_the_smaller_side_of_a_cut_and_a_gateway_that_slept_grant_nothing(self):
        f = _Cluster(8, rate=100)
        g = next(g for g in f.gateways if g.rate_limits.coordinator("r") == g.node)
        self.assertTrue(f.passed(g))
        g.membership.away = tuple(o.node for o in f.gateways if o is not g)[:6]
        f.run(1)
        self.assertFalse(f.passed(g))
        g.membership.away = ()
        f.run(1)
        self.assertTrue(f.passed(g))
        f.clock.advance(5)
        self.assertFalse(f.passed(g))

    def test_a_crowd_that_obeys_comes_back_in_the_order_of_the_room(self):
        """600 callers, 20 places a second: how many of their tries are in vain, with and without the derived delay."""

        def tries(derived):
            clock = Clock()
            back = RetryAfterEstimator(Timers(clock, seconds=clock.seconds))
            due, vain, served = {0.0: 600}, 0, 0
            while served < 600:
                now = round(clock.seconds(), 3)
                free = 5
                for _ in range(due.pop(now, 0)):
                    if free:
                        free, served = free - 1, served + 1
                        back.record_release()
                    else:
                        vain += 1
                        at = round(now + (back.seconds() if derived else 1), 3)
                        due[at] = due.get(at, 0) + 1
                clock.advance(0.25)
            return vain

        self.assertLess(tries(True), tries(False) / 3)


class _Dispatcher(ItemDispatcher):
    """Notes which items are started, each of which takes a slot for good."""

    def __init__(self, gateway, *parts):
        super().__init__(gateway, gateway.serving, gateway.open_jobs, None, *parts)
        self._gateway = gateway

    async def _run_item(self, job, index, item, overdue):
        self._gateway.began.append("late" if overdue else job.id)
        self._gateway.slots.acquire(self._gateway.engines.all()[0], job_item=True)
        await defer.Deferred()


class _JobOwner(Gateway):
    def __init__(self):
        super().__init__()
        self.settings = type("Settings", (), {"lot_reserve": 0.25, "zone": "z", "resume_hold_s": 5})
        self.open_jobs, self.began = OpenJobs(), []
        capacity = JobCapacity(self.slots, self.candidates)
        self.dispatcher = _Dispatcher(self, capacity, RequestTable(self), None)

    def dispatch(self):
        """Has items started until there is no more to start, in as many turns of the reactor as that takes."""
        dispatched = self.dispatcher.dispatch()
        while not dispatched.called:
            self.clock.advance(TURN_PAUSE.total_seconds())

    def lot(self, name, customer, items, due_s, priority=0):
        wall = wall_ms(self.timers.utc_now())
        self.open_jobs.add(
            name,
            Lot(customer=customer, priority=priority, limit_ms=wall + due_s * 1000, items=[Item(model="m")] * items),
        )
        o = self.open_jobs.get(name)
        o.leaseholder = type(
            "Leaseholder", (), {"is_held": lambda self: True, "lost": "", "epoch": 1, "final": False}
        )()
        o.pending = list(range(items))
        return o


class OrderOfLots(unittest.TestCase):
    def test_soon_due_first_then_priority_then_customers_by_turns_and_only_into_the_room(self):
        g = _JobOwner()
        g.later(10, "e", capacity=16)
        g.lot("night-a", "a", 20, 30_000)
        g.lot("night-b", "b", 20, 30_000)
        g.lot("raised", "a", 2, 30_000, priority=3)
        g.lot("due", "c", 2, 4)
        g.dispatch()
        self.assertEqual(g.began[:4], ["due", "due", "raised", "raised"])
        self.assertEqual(sorted(g.began[4:]), ["night-a"] * 3 + ["night-b"] * 5)
        g.dispatch()
        self.assertEqual(len(g.began), 12)
        g.engines.all()[0].job_items = 0
        g.engines.all()[0].live_requests = 14
        g.dispatch()
        self.assertEqual(len(g.began), 12)

    def test_a_few_items_are_started_in_each_turn_of_the_reactor(self):
        g = _JobOwner()
        g.later(10, "e", capacity=16)
        g.lot("night", "a", 20, 30_000)
        g.dispatcher.dispatch()
        begun = [len(g.began)]
        for _ in range(4):
            g.clock.advance(TURN_PAUSE.total_seconds())
            begun.append(len(g.began))
        self.assertEqual(begun, [4, 8, 12, 12, 12])

    def test_what_is_past_its_limit_is_listed_and_takes_no_room(self):
        g = _JobOwner()
        g.later(10, "e", capacity=4)
        g.lot("past", "a", 2, -1)
        g.dispatch()
        self.assertEqual(g.began, ["late", "late"])


class Listed(unittest.TestCase):
    def test_an_item_that_may_have_run_is_never_listed_as_not_run(self):
        def listed(repeatable, tries, epoch, outcome="not_run"):
            o = OpenJob("x", Lot(items=[Item(model="m", repeatable=repeatable)]))
            o.attempts[0] = tries
            o.leaseholder = type("Leaseholder", (), {"epoch": epoch})
            return o.provable_outcome(0, outcome)

        self.assertEqual(listed(False, 0, 1), "not_run")
        self.assertEqual(listed(False, 0, 5), "not_run")
        self.assertEqual(listed(True, 0, 1), "not_run")
        self.assertEqual(listed(True, 0, 2), "unknown")
        self.assertEqual(listed(True, 2, 1), "unknown")
        self.assertEqual(listed(True, 2, 1, "failed"), "failed")


class Checked(unittest.TestCase):
    def test_every_bad_prop_is_told_in_one_line(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            self.assertEqual(main(["nonsense"]), 2)
            err.truncate(0)
            err.seek(0)
            self.assertEqual(main(["storage", "--port", "x", "--zone", "A B", "--seeds", "nowhere"]), 2)
        self.assertEqual([line.partition(":")[0] for line in err.getvalue().splitlines()], ["zone", "port", "seeds"])
        with tempfile.TemporaryDirectory() as d:
            path = Path(d) / "p.toml"
            path.write_text("colour = 1\nport = 7\n")
            with self.assertRaises(SettingsError) as no:
                read_settings("gateway", str(path), {})
            self.assertEqual(no.exception.lines, ["colour: no such setting"])
            path.write_text("shelves = 4\n")
            with self.assertRaises(SettingsError) as no:
                read_settings("gateway", str(path), {})
            self.assertEqual(no.exception.lines, ["shelves: this setting is now called placement_groups"])
            path.write_text('port = 7\nzone = "b"\n')
            settings = read_settings("gateway", str(path), {"port": "8"})
            self.assertEqual((settings.port, settings.zone), (8, "b"))

    def test_every_documented_prop_exists_and_every_prop_is_documented(self):
        docs, granted = Path(__file__).parent.parent / "docs" / "settings", set()
        for role in ROLES:
            text = (docs / f"{role}.toml").read_text()
            self.assertEqual(read_settings(role, str(docs / f"{role}.toml"), {}).fleet, "tours")
            lines = re.findall(r"^(?:# )?([a-z_]+) = (.+?)(?:\s+#.*)?$", text, re.M)
            for name, value in lines:
                read_settings(role, None, {"data": "x", name: tomllib.loads(f"v = {value}")["v"]})
            granted |= {name for name, _ in lines}
        self.assertEqual({a.name for a in attrs.fields(Settings)} - granted, {"plug"})

    def test_a_bad_cluster_state_names_each_row_and_field(self):
        with self.assertRaises(InvalidRows) as no:
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
            [(f["row"], f["field"]) for f in no.exception.faults],
            [("a", "weight"), ("b", "model"), ("c", "rate"), ("e", "model")],
        )

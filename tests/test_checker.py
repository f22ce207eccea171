"""The checker reports each violation that is planted in a correct history."""

import copy
import threading
import unittest
from random import Random

from testbed.checks.checker import check
from testbed.standins.clients import Client, Clients
from testbed.standins.engine import card_bytes, response_pieces

PROMPT = "tell me"
PIECES = list(enumerate(response_pieces(PROMPT, 256)))


def correct_history():
    told = {
        "at": 12,
        "event": "told",
        "kind": "live",
        "prompt": PROMPT,
        "repeatable": False,
        "pieces": list(PIECES),
        "end": True,
        "fault": None,
        "asked": 10.5,
        "status": 200,
        "gateway": "g",
        "model": "pipit-small",
    }
    batch = {
        "at": 13,
        "event": "lot",
        "name": "l",
        "lot": "x.1.0",
        "prompts": ["l/0", "l/1"],
        "repeatable": False,
        "fault": None,
        "asked": 12.9,
        "status": 201,
    }
    listed = [{"n": i, "item": i, "outcome": "done", "text": "".join(response_pieces(f"l/{i}", 256))} for i in (0, 1)]
    edit = {
        "at": 22,
        "event": "edit",
        "status": 200,
        "sequence": 7,
        "base": 0,
        "edit": "a",
        "row": "r",
        "value": {"model": "m"},
        "outcome": None,
        "asked": 21.9,
    }
    events = [
        told,
        batch,
        {
            "at": 20,
            "event": "results",
            "lot": "x.1.0",
            "status": 200,
            "asked": 19.9,
            "start": 0,
            "results": listed,
            "gateway": "g",
            "took": 0.1,
        },
        {"at": 21, "event": "fetched", "path": "c", "status": 200, "size": 1, "body": card_bytes("c"), "asked": 20.9},
        edit,
        {
            **edit,
            "at": 23,
            "status": 412,
            "sequence": None,
            "edit": "b",
            "value": {"model": "other"},
            "outcome": "not_run",
        },
        {"at": 24, "event": "table_read", "sequence": 7, "asked": 23.9, "rows": {"r": {"model": "m"}}},
        {"at": 30, "event": "zone_edit", "zone": "zone-b", "empty": True, "status": 200, "asked": 29},
        {"at": 31, "event": "zones_read", "zones": {"zone-b": True}, "asked": 30.5},
        {"at": 40, "event": "gate", "model": "gated", "open": False, "done": True, "asked": 39},
        {"at": 50, "event": "gate_asked", "model": "gated", "open": True},
        {"at": 51, "event": "gate", "model": "gated", "open": True, "done": True, "asked": 50},
    ]
    notes = [
        {"at": 11, "event": "run", "engine": "e", "run": "1", "prompt": PROMPT, "model": "pipit-small"},
        {"at": 14, "event": "run", "engine": "e", "run": "2", "prompt": "l/0", "model": "pipit-small"},
        {"at": 15, "event": "run", "engine": "e", "run": "3", "prompt": "l/1", "model": "pipit-small"},
    ]
    notes += [{"at": 17, "event": "done", "engine": "e", "run": str(i)} for i in (1, 2, 3)]
    return events, notes


class PlantedViolations(unittest.TestCase):
    def violations(self, plant, **more) -> list[str]:
        events, notes = copy.deepcopy(correct_history())
        plant(events, notes)
        return check(events, notes, {"e": "zone-a", "f": "zone-b"}, **more)

    def test_correct_history_has_no_violations(self):
        self.assertEqual(self.violations(lambda events, notes: None), [])

    def test_fault_excuses_only_the_nodes_it_affects(self):
        def unread(gateway, bearable):
            def plant(ev, no):
                ev.append({**ev[2], "status": 503, "results": None, "at": 26, "asked": 25, "fault": {"code": "x"}})
                ev.append({"at": 24.5, "event": "hurt", "id": 1, "nodes": [gateway], "bearable": bearable})
                ev.append({"at": 25.5, "event": "healed", "id": 1, "settle": 1})

            return plant

        self.assertTrue(self.violations(unread("other", True)))
        self.assertEqual(self.violations(unread("g", True)), [])
        self.assertEqual(self.violations(unread("other", False)), [])

    def test_runs_that_ended_do_not_count_as_concurrent(self):
        def short(ev, no):
            for i in range(6):
                no.append(
                    {"at": 70 + i, "event": "run", "engine": "e", "run": f"r{i}", "prompt": f"p{i}", "model": "narrow"}
                )
                no.append({"at": 70.05 + i, "event": "cut", "engine": "e", "run": f"r{i}"})

        self.assertEqual(self.violations(short, limits={"narrow": (0, 3)}), [])

    def test_success_rates_are_checked_without_faults_and_during_one_fault(self):
        def asked(n, good, hurt=False):
            def plant(ev, no):
                ev += [
                    {
                        **ev[3],
                        "at": 100 + i,
                        "asked": 99.9 + i,
                        "status": 200 if i < good else 503,
                        "body": None,
                        **({} if i >= good else {"body": card_bytes("c")}),
                    }
                    for i in range(n)
                ]
                if hurt:
                    ev.append({"at": 90, "event": "hurt", "id": 1, "nodes": ["x"], "bearable": True})

            return plant

        def about_cards(plant):
            return [line for line in self.violations(plant, floors=True) if line.startswith("card")]

        self.assertEqual(about_cards(asked(40, 40)), [])
        self.assertIn("while no fault was active", about_cards(asked(40, 30))[0])
        self.assertIn("only 1 requests were sent", about_cards(asked(40, 30, True))[0])
        self.assertEqual(len(about_cards(asked(40, 30, True))), 1)
        self.assertIn("while one fault was active", about_cards(asked(40, 10, True))[1])

    def test_each_violation_is_reported(self):
        def fault(outcome, pieces=(), **more):
            return lambda ev, no: ev[0].update(
                fault={"outcome": outcome, "code": "x"}, end=False, pieces=list(pieces), **more
            )

        def shed(**more):
            def plant(ev, no):
                no.pop(0)
                fault("not_run", status=503, **more)(ev, no)

            return plant

        def results(change):
            return lambda ev, no: change(ev[2]["results"])

        def again(at, listed, lot=True):
            return lambda ev, no: ev.append({**ev[2], "at": at, "asked": at - 0.1, "results": listed})

        def more(event, **pairs):
            return lambda ev, no: ev.append({**event, **pairs})

        def runs(model, times, engine="e"):
            return lambda ev, no: no.extend(
                {"at": t, "event": "run", "engine": engine, "run": f"r{i}", "prompt": f"p{i}", "model": model}
                for i, t in enumerate(times)
            )

        def opened(what, n):
            def plant(ev, no):
                no.append({"at": 60, "event": what, "engine": "e"})
                runs("pipit-small", [60.1 + i / 100 for i in range(n)])(ev, no)

            return plant

        events, _ = correct_history()
        read, edit, table = events[2], events[4], events[6]
        plants = {
            "ran 2 times": lambda ev, no: no.append({**no[0], "at": 11.5}),
            "told not_run": fault("not_run"),
            "not the engine's own response": lambda ev, no: ev[0]["pieces"].__setitem__(1, (1, "mixed up")),
            "reported as complete": lambda ev, no: ev[0]["pieces"].pop(),
            "out of order or repeated": lambda ev, no: ev[0]["pieces"].insert(1, ev[0]["pieces"][0]),
            "neither an end nor a fault": lambda ev, no: ev[0].update(end=False),
            "after its limit": lambda ev, no: ev[0].update(asked=-9),
            "without a Retry-After": shed(retry=None),
            "was delayed by": shed(retry="1", asked=5),
            "bytes that differ": lambda ev, no: ev[3].update(body=card_bytes("c")[:-1]),
            "are listed twice": results(lambda rs: rs[1].update(rs[0], n=1)),
            "item 1: not the engine's own": results(lambda rs: rs[1].update(text="cut")),
            "listed as not_run and ran": results(lambda rs: rs[1].update(outcome="not_run", text="")),
            "result 0 changed": again(25, [{"n": 0, "item": 1, "outcome": "unknown", "text": ""}]),
            "results were shown": again(25, []),
            "not readable (404": more(read, status=404, results=None, at=26),
            "not readable (503": more(read, status=503, results=None, at=26),
            "reading it took": more(read, at=26, took=5.0),
            "are listed at the end": results(lambda rs: rs.pop()),
            "may not be repeated": lambda ev, no: no.append({**no[1], "at": 16}),
            "without a request to cancel": lambda ev, no: ev[2].update(state="ended"),
            "s after its end": lambda ev, no: ev.append(
                {"at": 10, "event": "lot_ended", "lot": "x.1.0", "status": 200, "said": {"state": "ended"}}
            ),
            "after it said it leaves": lambda ev, no: no.insert(
                0, {"at": 8, "event": "told", "engine": "e", "state": "leaving"}
            ),
            "was emptied": runs("pipit-small", [36], "f"),
            "was cold and flooded: 4": opened("open", 4),
            "e was cold and flooded: 4": opened("heard", 4),
            "cold and flooded: 4 at once": opened("well", 4),
            "edits took effect on base": lambda ev, no: ev[5].update(status=200, sequence=8, outcome=None),
            "and took effect": more(edit, status=412, outcome="not_run", sequence=None, at=23.5),
            "took effect at 7 and at 8": more(edit, sequence=8, at=23.5),
            "was acknowledged": lambda ev, no: ev[6].update(sequence=6),
            "is not the result of its edits: r": lambda ev, no: ev[6].update(rows={"r": {"model": "other"}}),
            "is not the result of its edits: s": lambda ev, no: ev[6]["rows"].update(s={"model": "n"}),
            "which no edit made": more(table, sequence=9),
            "reads as": lambda ev, no: ev[8].update(zones={"zone-b": False}),
            "after its weight was 0": runs("gated", [43]),
            "after it was opened": lambda ev, no: ev.append(
                {
                    **ev[0],
                    "prompt": "q",
                    "model": "gated",
                    "asked": 54,
                    "at": 55,
                    "end": False,
                    "pieces": [],
                    "retry": "1",
                    "fault": {"outcome": "not_run", "code": "none_heard"},
                }
            ),
            "at a rate of": runs("metered", [70 + i / 20 for i in range(12)]),
            "4 at once where 3": runs("narrow", [70 + i / 20 for i in range(4)]),
        }
        for finding, plant in plants.items():
            with self.subTest(finding):
                violations = self.violations(plant, limits={"metered": (4.0, 0), "narrow": (0, 3)})
                self.assertTrue(any(finding in line for line in violations), violations)


class StoppedClients(unittest.TestCase):
    def test_a_request_that_outlasts_the_stop_is_known_to_be_in_progress(self):
        """Guards against a soak that lists the batches to wait for before the last one is accepted."""
        started, released, ended = threading.Event(), threading.Event(), threading.Event()

        def send(clients, name):
            started.set()
            released.wait(5)
            ended.set()

        clients = Clients(None, Random(1))
        clients.start(Client(clients, "late", 0.001, send, max_threads=1))
        self.assertTrue(started.wait(5))
        clients.stop()
        self.assertTrue(clients.has_requests())
        released.set()
        self.assertTrue(ended.wait(5))
        for thread in [thread for thread in threading.enumerate() if thread.daemon and thread.name.endswith("(_one)")]:
            thread.join(5)
        self.assertFalse(clients.has_requests())


if __name__ == "__main__":
    unittest.main()

"""The outside checker catches each violation that is planted."""
import copy
import unittest

from rehearsal.backend import answer_pieces, card_bytes
from rehearsal.checker import check

PROMPT = "tell me"
PIECES = list(enumerate(answer_pieces(PROMPT, 256)))


def good():
    told = {"at": 12, "event": "told", "kind": "live", "prompt": PROMPT, "repeatable": False, "pieces": list(PIECES),
            "end": True, "fault": None}
    lot = {"at": 13, "event": "lot", "name": "l", "lot": "x.1.0", "prompts": ["l/0", "l/1"], "repeatable": False,
           "fault": None}
    listed = [{"n": i, "item": i, "outcome": "done", "text": "".join(answer_pieces(f"l/{i}", 256))} for i in (0, 1)]
    events = [told, lot,
              {"at": 20, "event": "results", "lot": "x.1.0", "status": 200, "asked": 19.9, "start": 0, "results": listed},
              {"at": 21, "event": "fetched", "path": "c", "status": 200, "size": 1, "body": card_bytes("c")},
              {"at": 22, "event": "edit", "status": 200, "sequence": 7, "base": 0, "edit": "a", "row": "r",
               "value": {"model": "m"}, "outcome": None},
              {"at": 23, "event": "edit", "status": 412, "sequence": None, "base": 0, "edit": "b", "row": "r",
               "value": {"model": "other"}, "outcome": "not_run"},
              {"at": 24, "event": "table_read", "sequence": 7, "asked": 23.9, "rows": {"r": {"model": "m"}}}]
    notes = [{"at": 11, "event": "run", "engine": "e", "run": "1", "prompt": PROMPT},
             {"at": 14, "event": "run", "engine": "e", "run": "2", "prompt": "l/0"},
             {"at": 15, "event": "run", "engine": "e", "run": "3", "prompt": "l/1"}]
    return events, notes


class Planted(unittest.TestCase):
    def caught(self, plant) -> list[str]:
        events, notes = copy.deepcopy(good())
        plant(events, notes)
        return check(events, notes, {"e": "zone-a"})

    def test_a_good_account_has_none(self):
        self.assertEqual(self.caught(lambda events, notes: None), [])

    def test_each_violation_is_caught(self):
        def fault(outcome, pieces=()):
            return lambda ev, no: ev[0].update(fault={"outcome": outcome, "code": "x"}, end=False, pieces=list(pieces))

        def results(change):
            return lambda ev, no: change(ev[2]["results"])

        def again(at, listed, lot=True):
            return lambda ev, no: ev.append({**ev[2], "at": at, "asked": at - 0.1, "results": listed})

        plants = {
            "ran 2 times": lambda ev, no: no.append({**no[0], "at": 11.5}),
            "told not_run": fault("not_run"),
            "not the engine's own answer": lambda ev, no: ev[0]["pieces"].__setitem__(1, (1, "mixed up")),
            "ended as whole": lambda ev, no: ev[0]["pieces"].pop(),
            "out of order or repeated": lambda ev, no: ev[0]["pieces"].insert(1, ev[0]["pieces"][0]),
            "bytes that are not": lambda ev, no: ev[3].update(body=card_bytes("c")[:-1]),
            "are listed twice": results(lambda rs: rs[1].update(rs[0], n=1)),
            "item 1: not the engine's own": results(lambda rs: rs[1].update(text="cut")),
            "listed as not_run and ran": results(lambda rs: rs[1].update(outcome="not_run", text="")),
            "place 0 changed": again(25, [{"n": 0, "item": 1, "outcome": "unknown", "text": ""}]),
            "results were shown": again(25, []),
            "accepted and not found": lambda ev, no: ev.append({**ev[2], "status": 404, "results": None, "at": 26}),
            "are listed at the end": results(lambda rs: rs.pop()),
            "may not be repeated": lambda ev, no: no.append({**no[1], "at": 16}),
            "s after its end": lambda ev, no: (ev.append({"at": 10, "event": "lot_ended", "lot": "x.1.0", "status": 200,
                                                           "said": {"state": "ended"}})),
            "after it said it leaves": lambda ev, no: no.append({"at": 11.9, "event": "told", "engine": "e",
                                                                 "state": "leaving"}),
            "was emptied": lambda ev, no: ev.append({"at": 9, "event": "zone_emptied", "zone": "zone-a"}),
            "edits took effect on base": lambda ev, no: ev[5].update(status=200, sequence=8, outcome=None),
            "was acknowledged": lambda ev, no: ev[6].update(sequence=6),
            "is in the table": lambda ev, no: ev[6].update(rows={"r": {"model": "other"}}),
        }
        for words, plant in plants.items():
            with self.subTest(words):
                self.assertTrue(any(words in line for line in self.caught(plant)), self.caught(plant))

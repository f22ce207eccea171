"""The history checker accepts linearizable histories and rejects all others."""

import unittest
from math import inf
from random import Random

from testbed.checks.linearizability import ConfigRead, ConfigWrite, Response, ZoneRead, ZoneWrite, check_history

CONFIRMED, OTHER, REFUSED, UNKNOWN = Response.CONFIRMED, Response.OTHER_VERSION, Response.REFUSED, Response.UNKNOWN


def order(content, base, version, sent, ended, response=CONFIRMED, valid=True):
    return ConfigWrite(content, base, version, sent, ended, response, valid)


def seen(version, content, sent, ended, server=""):
    return ConfigRead(version, content, sent, ended, server)


def zone(empty, sent, ended, response=CONFIRMED, name="a"):
    return ZoneWrite(name, empty, sent, ended, response)


def zone_seen(empty, sent, ended, name="a", server=""):
    return ZoneRead(name, empty, sent, ended, server)


A = order("a", 0, 3, 0, 1)
B = order("b", 3, 5, 2, 3)

ACCEPTED = {
    "nothing": [],
    "one after the other": [A, B, seen(3, "a", 1, 2), seen(5, "b", 3, 4)],
    "read while it is made, old or new": [A, B, seen(3, "a", 2, 3), seen(5, "b", 2, 3)],
    "two at once, one confirmed": [A, order("b", 3, 5, 2, 3), order("c", 3, 5, 2, 3, OTHER), seen(5, "b", 4, 5)],
    "retried and confirmed again": [A, B, order("a", 0, 3, 4, 5), order("b", 3, 5, 4, 5)],
    "no response, not in effect": [A, order("b", 3, 5, 2, inf, UNKNOWN), seen(3, "a", 9, 10)],
    "no response, in effect late": [A, order("b", 3, 5, 2, inf, UNKNOWN), seen(3, "a", 9, 10), seen(5, "b", 11, 12)],
    "no response, base of another": [A, order("b", 3, 5, 2, inf, UNKNOWN), order("c", 5, 6, 9, 10)],
    "before its base, refused, retried": [
        order("b", 3, 5, 0, 1, OTHER),
        order("a", 0, 3, 2, 3),
        order("b", 3, 5, 4, 5),
    ],
    "concurrent with its base": [order("b", 3, 5, 0, 4), order("a", 0, 3, 1, 3)],
    "invalid, refused": [A, order("x", 3, 5, 2, 3, REFUSED, valid=False)],
    "an old version, refused": [A, order("x", 3, 3, 2, 3, REFUSED)],
    "a zone emptied and filled": [zone(True, 0, 1), zone_seen(True, 1, 2), zone(False, 3, 4), zone_seen(False, 5, 6)],
    "concurrent writes of one zone": [zone(True, 0, 5), zone(False, 0, 5), zone_seen(True, 6, 7)],
    "another zone": [zone(True, 0, 1), zone_seen(False, 2, 3, name="b")],
    "a zone emptied twice by two attempts of one write, before it is confirmed": [
        zone(True, 0, 8, UNKNOWN),
        zone_seen(True, 1, 2),
        zone(False, 3, 4),
        zone_seen(False, 4, 5),
        zone(True, 6, 8),
        zone_seen(True, 9, 10),
    ],
    "an attempt that takes effect before its write is confirmed": [
        zone(True, 0, 3, UNKNOWN),
        zone(True, 2, 3),
        zone_seen(True, 1, 2),
    ],
    "a gateway behind another, before it is confirmed": [
        order("a", 0, 3, 0, 9),
        seen(3, "a", 1, 2, "g"),
        seen(0, "", 4, 5, "h"),
        seen(3, "a", 6, 7, "h"),
    ],
    "a gateway behind another read, before the write is confirmed": [
        A,
        order("b", 3, 5, 2, 9),
        seen(5, "b", 3, 4),
        order("c", 3, 6, 3, 4, OTHER),
        seen(3, "a", 5, 6, "g"),
    ],
    "a zone write without a response, in effect late": [
        zone(True, 0, inf, UNKNOWN),
        zone_seen(False, 3, 4),
        zone_seen(True, 5, 6),
    ],
}

REJECTED = {
    "two confirmed on one base": [A, order("b", 3, 5, 2, 3), order("c", 3, 6, 2, 3)],
    "two confirmed under one version": [A, order("b", 3, 5, 2, 3), order("c", 3, 5, 2, 3)],
    "confirmed, and an older one read": [A, B, seen(3, "a", 4, 5)],
    "confirmed, and another content read": [A, seen(3, "z", 4, 5)],
    "confirmed, and an empty configuration read": [A, seen(0, "", 4, 5)],
    "an older version read later": [A, order("b", 3, 5, 2, inf, UNKNOWN), seen(5, "b", 4, 5), seen(3, "a", 6, 7)],
    "seen before it was sent": [A, B, seen(5, "b", 1, 1.5)],
    "refused, and in effect": [A, order("b", 3, 5, 2, 3, OTHER), seen(5, "b", 4, 5)],
    "refused before its base existed, and in effect by a delayed attempt": [
        order("b", 3, 5, 0, 1, OTHER),
        order("a", 0, 3, 2, 3),
        seen(5, "b", 4, 5),
    ],
    "a valid one refused": [A, order("b", 3, 5, 2, 3, OTHER)],
    "a valid one refused in its retry": [
        order("b", 3, 5, 0, 1, OTHER),
        order("a", 0, 3, 2, 3),
        order("b", 3, 5, 4, 5, OTHER),
    ],
    "a confirmed one retried and refused": [A, order("a", 0, 3, 4, 5, OTHER)],
    "a confirmed one retried and refused as invalid": [A, order("a", 0, 3, 4, 5, REFUSED)],
    "an invalid one confirmed": [A, order("x", 3, 5, 2, 3, valid=False)],
    "an invalid one in effect": [A, order("x", 3, 5, 2, inf, UNKNOWN, valid=False), seen(5, "x", 4, 5)],
    "confirmed on a refused base": [A, B, order("c", 3, 6, 2, 3, OTHER), order("d", 6, 9, 4, 5)],
    "a zone emptied again by a delayed attempt": [
        zone(True, 0, 2),
        zone(False, 3, 4),
        zone_seen(False, 4, 5),
        zone_seen(True, 6, 7),
    ],
    "a gateway behind a confirmed write": [A, seen(0, "", 2, 4, "g")],
    "a read behind what a gateway served": [A, order("b", 3, 5, 2, 9), seen(5, "b", 3, 4, "g"), seen(3, "a", 5, 6)],
    "a gateway that goes back to an older version": [
        order("a", 0, 3, 0, 9),
        seen(3, "a", 1, 2, "g"),
        seen(0, "", 4, 5, "g"),
    ],
    "a zone emptied again by an attempt without a response, after its write was confirmed": [
        zone(True, 0, 2, UNKNOWN),
        zone(True, 1, 2),
        zone(False, 3, 4),
        zone_seen(False, 4, 5, server="g"),
        zone_seen(True, 6, 7, server="g"),
    ],
    "a zone not emptied though confirmed": [zone(True, 0, 1), zone_seen(False, 2, 3)],
    "a zone emptied though refused": [zone(True, 0, 1, REFUSED), zone_seen(True, 2, 3)],
    "a zone emptied that nobody emptied": [zone(True, 0, 1, name="b"), zone_seen(True, 2, 3)],
}


def made(seed: int, orders: int = 12) -> list:
    """A linearizable history of overlapping writes: each takes effect at one moment between its start and end."""
    rng = Random(seed)
    now, chain, records = 0.0, [(0, "")], []
    moments = []
    for n in range(orders):
        now += rng.random()
        version, content = chain[-1]
        moments.append((now, version, content))
        goes = (version + 1 + rng.randrange(3), f"c{n}")
        sent, ended = now - rng.random(), now + rng.random()
        kind = rng.randrange(4)
        if kind == 0:
            records.append(order(f"l{n}", version + 7, version + 9, sent, ended, OTHER))
        else:
            records.append(
                order(goes[1], version, goes[0], sent, inf if kind == 1 else ended, UNKNOWN if kind == 1 else CONFIRMED)
            )
            chain.append(goes)
            moments.append((now, *goes))
        records.append(seen(*chain[-1], now - rng.random(), now + rng.random()))
        records.append(zone(n % 2 == 0, sent, ended))
        records.append(zone_seen(n % 2 == 0, now - rng.random(), now + rng.random()))
    return records


class Histories(unittest.TestCase):
    def test_linearizable_histories_are_accepted(self):
        for name, records in ACCEPTED.items():
            with self.subTest(name):
                self.assertEqual(check_history(records), [])

    def test_other_histories_are_rejected(self):
        for name, records in REJECTED.items():
            with self.subTest(name):
                self.assertNotEqual(check_history(records), [])

    def test_result_does_not_depend_on_the_order_of_the_records(self):
        rng = Random(3)
        for accounts, good in ((ACCEPTED, True), (REJECTED, False)):
            for name, records in accounts.items():
                with self.subTest(name):
                    self.assertEqual(check_history(rng.sample(records, len(records))) == [], good)

    def test_message_names_the_record_that_does_not_fit(self):
        late = zone_seen(True, 6, 7)
        found = check_history([zone(True, 0, 2), zone(False, 3, 4), late])
        self.assertEqual(found, [f"no order explains zone a, at the latest from {late} on"])

    def test_generated_histories_are_accepted_but_rejected_with_a_stale_or_wrong_final_read(self):
        for seed in range(60):
            records = made(seed)
            self.assertEqual(check_history(records), [], seed)
            end = max(r.ended for r in records if r.ended < inf)
            self.assertNotEqual(check_history([*records, seen(0, "", end + 1, end + 2)]), [], seed)
            self.assertNotEqual(check_history([*records, seen(99, "none", end + 1, end + 2)]), [], seed)

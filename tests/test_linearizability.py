"""The history checker accepts linearizable histories and rejects all others."""

import unittest
from math import inf
from random import Random

from testbed.checks.linearizability import ConfigRead, ConfigWrite, Response, ZoneRead, ZoneWrite, check_history

CONFIRMED, OTHER, REFUSED, UNKNOWN = Response.CONFIRMED, Response.OTHER_VERSION, Response.REFUSED, Response.UNKNOWN


def write(content, base, version, sent, ended, response=CONFIRMED, valid=True):
    return ConfigWrite(content, base, version, sent, ended, response, valid)


def read(version, content, sent, ended, server=""):
    return ConfigRead(version, content, sent, ended, server)


def write_zone(empty, sent, ended, response=CONFIRMED, name="a"):
    return ZoneWrite(name, empty, sent, ended, response)


def read_zone(empty, sent, ended, name="a", server=""):
    return ZoneRead(name, empty, sent, ended, server)


A = write("a", 0, 3, 0, 1)
B = write("b", 3, 5, 2, 3)

ACCEPTED = {
    "nothing": [],
    "one after the other": [A, B, read(3, "a", 1, 2), read(5, "b", 3, 4)],
    "read while it is made, old or new": [A, B, read(3, "a", 2, 3), read(5, "b", 2, 3)],
    "two at once, one confirmed": [A, write("b", 3, 5, 2, 3), write("c", 3, 5, 2, 3, OTHER), read(5, "b", 4, 5)],
    "retried and confirmed again": [A, B, write("a", 0, 3, 4, 5), write("b", 3, 5, 4, 5)],
    "no response, not in effect": [A, write("b", 3, 5, 2, inf, UNKNOWN), read(3, "a", 9, 10)],
    "no response, in effect late": [A, write("b", 3, 5, 2, inf, UNKNOWN), read(3, "a", 9, 10), read(5, "b", 11, 12)],
    "no response, base of another": [A, write("b", 3, 5, 2, inf, UNKNOWN), write("c", 5, 6, 9, 10)],
    "before its base, refused, retried": [
        write("b", 3, 5, 0, 1, OTHER),
        write("a", 0, 3, 2, 3),
        write("b", 3, 5, 4, 5),
    ],
    "concurrent with its base": [write("b", 3, 5, 0, 4), write("a", 0, 3, 1, 3)],
    "invalid, refused": [A, write("x", 3, 5, 2, 3, REFUSED, valid=False)],
    "an old version, refused": [A, write("x", 3, 3, 2, 3, REFUSED)],
    "a zone emptied and filled": [
        write_zone(True, 0, 1),
        read_zone(True, 1, 2),
        write_zone(False, 3, 4),
        read_zone(False, 5, 6),
    ],
    "concurrent writes of one zone": [write_zone(True, 0, 5), write_zone(False, 0, 5), read_zone(True, 6, 7)],
    "another zone": [write_zone(True, 0, 1), read_zone(False, 2, 3, name="b")],
    "a zone emptied twice by two attempts of one write, before it is confirmed": [
        write_zone(True, 0, 8, UNKNOWN),
        read_zone(True, 1, 2),
        write_zone(False, 3, 4),
        read_zone(False, 4, 5),
        write_zone(True, 6, 8),
        read_zone(True, 9, 10),
    ],
    "an attempt that takes effect before its write is confirmed": [
        write_zone(True, 0, 3, UNKNOWN),
        write_zone(True, 2, 3),
        read_zone(True, 1, 2),
    ],
    "a gateway behind another, before it is confirmed": [
        write("a", 0, 3, 0, 9),
        read(3, "a", 1, 2, "g"),
        read(0, "", 4, 5, "h"),
        read(3, "a", 6, 7, "h"),
    ],
    "a gateway behind another read, before the write is confirmed": [
        A,
        write("b", 3, 5, 2, 9),
        read(5, "b", 3, 4),
        write("c", 3, 6, 3, 4, OTHER),
        read(3, "a", 5, 6, "g"),
    ],
    "a zone write without a response, in effect late": [
        write_zone(True, 0, inf, UNKNOWN),
        read_zone(False, 3, 4),
        read_zone(True, 5, 6),
    ],
}

REJECTED = {
    "two confirmed on one base": [A, write("b", 3, 5, 2, 3), write("c", 3, 6, 2, 3)],
    "two confirmed under one version": [A, write("b", 3, 5, 2, 3), write("c", 3, 5, 2, 3)],
    "confirmed, and an older one read": [A, B, read(3, "a", 4, 5)],
    "confirmed, and another content read": [A, read(3, "z", 4, 5)],
    "confirmed, and an empty configuration read": [A, read(0, "", 4, 5)],
    "an older version read later": [A, write("b", 3, 5, 2, inf, UNKNOWN), read(5, "b", 4, 5), read(3, "a", 6, 7)],
    "seen before it was sent": [A, B, read(5, "b", 1, 1.5)],
    "refused, and in effect": [A, write("b", 3, 5, 2, 3, OTHER), read(5, "b", 4, 5)],
    "refused before its base existed, and in effect by a delayed attempt": [
        write("b", 3, 5, 0, 1, OTHER),
        write("a", 0, 3, 2, 3),
        read(5, "b", 4, 5),
    ],
    "a valid one refused": [A, write("b", 3, 5, 2, 3, OTHER)],
    "a valid one refused in its retry": [
        write("b", 3, 5, 0, 1, OTHER),
        write("a", 0, 3, 2, 3),
        write("b", 3, 5, 4, 5, OTHER),
    ],
    "a confirmed one retried and refused": [A, write("a", 0, 3, 4, 5, OTHER)],
    "a confirmed one retried and refused as invalid": [A, write("a", 0, 3, 4, 5, REFUSED)],
    "an invalid one confirmed": [A, write("x", 3, 5, 2, 3, valid=False)],
    "an invalid one in effect": [A, write("x", 3, 5, 2, inf, UNKNOWN, valid=False), read(5, "x", 4, 5)],
    "confirmed on a refused base": [A, B, write("c", 3, 6, 2, 3, OTHER), write("d", 6, 9, 4, 5)],
    "a zone emptied again by a delayed attempt": [
        write_zone(True, 0, 2),
        write_zone(False, 3, 4),
        read_zone(False, 4, 5),
        read_zone(True, 6, 7),
    ],
    "a gateway behind a confirmed write": [A, read(0, "", 2, 4, "g")],
    "a read behind what a gateway served": [A, write("b", 3, 5, 2, 9), read(5, "b", 3, 4, "g"), read(3, "a", 5, 6)],
    "a gateway that goes back to an older version": [
        write("a", 0, 3, 0, 9),
        read(3, "a", 1, 2, "g"),
        read(0, "", 4, 5, "g"),
    ],
    "a zone emptied again by an attempt without a response, after its write was confirmed": [
        write_zone(True, 0, 2, UNKNOWN),
        write_zone(True, 1, 2),
        write_zone(False, 3, 4),
        read_zone(False, 4, 5, server="g"),
        read_zone(True, 6, 7, server="g"),
    ],
    "a zone not emptied though confirmed": [write_zone(True, 0, 1), read_zone(False, 2, 3)],
    "a zone emptied though refused": [write_zone(True, 0, 1, REFUSED), read_zone(True, 2, 3)],
    "a zone emptied that nobody emptied": [write_zone(True, 0, 1, name="b"), read_zone(True, 2, 3)],
}


def generate_history(seed: int, orders: int = 12) -> list:
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
            records.append(write(f"l{n}", version + 7, version + 9, sent, ended, OTHER))
        else:
            records.append(
                write(goes[1], version, goes[0], sent, inf if kind == 1 else ended, UNKNOWN if kind == 1 else CONFIRMED)
            )
            chain.append(goes)
            moments.append((now, *goes))
        records.append(read(*chain[-1], now - rng.random(), now + rng.random()))
        records.append(write_zone(n % 2 == 0, sent, ended))
        records.append(read_zone(n % 2 == 0, now - rng.random(), now + rng.random()))
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
        for histories, good in ((ACCEPTED, True), (REJECTED, False)):
            for name, records in histories.items():
                with self.subTest(name):
                    self.assertEqual(check_history(rng.sample(records, len(records))) == [], good)

    def test_message_names_the_record_that_does_not_fit(self):
        late = read_zone(True, 6, 7)
        found = check_history([write_zone(True, 0, 2), write_zone(False, 3, 4), late])
        self.assertEqual(found, [f"no order explains zone a, at the latest from {late} on"])

    def test_generated_histories_are_accepted_but_rejected_with_a_stale_or_wrong_final_read(self):
        for seed in range(60):
            records = generate_history(seed)
            self.assertEqual(check_history(records), [], seed)
            end = max(r.ended for r in records if r.ended < inf)
            self.assertNotEqual(check_history([*records, read(0, "", end + 1, end + 2)]), [], seed)
            self.assertNotEqual(check_history([*records, read(99, "none", end + 1, end + 2)]), [], seed)

"""The model explored: whole at a small size, at random at a larger one; and each guard taken out must be found."""

import unittest

from .model.agreement import Agreement
from .model.explorer import Found, explore, walk
from .model.leases import Leases
from .model.proofs import Proofs

RARE = ("ask", "move", "empty", "end", "list", "elect", "crash", "change", "trim")

WHOLE = {
    "votes and appends": Agreement(terms=2, entries=2, whole_elections=True),
    "a crash, vote by vote": Agreement(terms=2, entries=1, crashes=1),
    "a crash over three terms": Agreement(terms=3, entries=1, crashes=1, whole_elections=True),
    "an emptied disk": Agreement(terms=2, entries=1, empties=1, whole_elections=True),
    "a snapshot": Agreement(terms=2, entries=2, trims=True, whole_elections=True),
    "two leaseholders": Leases(appends=1),
    "a wiped replica": Leases(appends=1, wipes=1, starts_held=True),
    "a move": Leases(leaseholders=1, epochs=1, appends=1, moves=True, starts_held=True),
    "proofs by leaders": Proofs(by_witnesses=False),
    "proofs by three witnesses": Proofs(by_leaders=False),
    "proofs by four witnesses": Proofs(by_leaders=False, witnesses=4),
}

WALKS = {
    "agreement": (Agreement(members=5, terms=5, entries=5, crashes=2, empties=2, trims=True), 400, 90),
    "voters": (Agreement(standbys=2, terms=4, entries=5, changes=3, crashes=1, whole_elections=True), 300, 80),
    "leases": (Leases(leaseholders=3, epochs=4, appends=4, moves=True, wipes=1), 300, 80),
    "leases, five replicas": (Leases(replicas=5, leaseholders=3, epochs=4, appends=4, moves=True, wipes=2), 200, 90),
    "proofs": (Proofs(witnesses=4), 500, 80),
}

AGREEMENT_GUARDS = {
    "ballot_is_synced": {"entries": 1, "crashes": 1},
    "voter_compares_logs": {"entries": 1},
    "follower_compares_previous": {"whole_elections": True},
    "follower_keeps_what_matches": {"whole_elections": True},
    "leader_counts_own_term_only": {"entries": 1, "terms": 4, "whole_elections": True},
    "leader_counts_own_synced_only": {"entries": 1, "crashes": 1, "whole_elections": True},
    "emptied_has_new_identity": {"entries": 1, "empties": 1},
    "counts_by_identity": {"entries": 1, "terms": 1, "empties": 1},
}

CHANGE_GUARDS = {
    "one_change_at_a_time": (
        {"standbys": 2, "entries": 3, "changes": 2},
        ("elect 0 by (1,)", "propose 0", "sync 0", "receive 1 of 1 to 1", "commit 0 to 1"),
    ),
    "change_needs_own_term": (
        {"members": 4, "standbys": 1, "terms": 3, "entries": 1, "changes": 2},
        ("elect 0 by (1, 2)", "change 0 to (0, 1, 2, 3, 4)"),
    ),
    "snapshot_drops_conflicts": (
        {"trims": True},
        ("elect 0 by (1,)", "propose 0", "elect 1 by (2,)", "propose 1", "propose 1", "sync 1", "receive 2 of 2 to 2"),
    ),
}

LEASE_GUARDS = {
    "grant_is_durable": {"appends": 1},
    "write_checks_epoch": {"appends": 1, "starts_held": True},
    "majority": {"appends": 1},
    "recovers_tail": {"appends": 1, "epochs": 3, "leaseholders": 1},
    "newest_tail": {"appends": 1, "leaseholders": 1, "starts_held": True},
    "transfers_before_join": {"appends": 1, "moves": True, "starts_held": True},
    "wiped_node_has_new_identity": {"appends": 1, "wipes": 1},
}

LEASE_GUARDS_BY_WALKS = {
    "write_checks_position": {"leaseholders": 1},
    "both_sets": {"moves": True},
    "stale_placement_is_rejected": {"moves": True},
    "resets_progress_after_move": {"moves": True},
}

LEADER_PROOF_GUARDS = (
    "voters_wait",
    "leader_is_heard",
    "gateways_confirm",
    "new_leader_waits",
    "counted_from_the_question",
)
WITNESS_PROOF_GUARDS = ("enough_witnesses", "half_needs_even", "counted_from_the_question", "proof_needs_majority")


class Models(unittest.TestCase):
    def test_nothing_is_wrong_in_any_state_at_the_small_size(self):
        for name, model in WHOLE.items():
            with self.subTest(name):
                found = explore(model)
                self.assertEqual(found.wrong, (), found.trace)
                self.assertTrue(found.whole)
                self.assertGreater(found.states, 1000)

    def test_nothing_is_wrong_on_random_walks_at_a_larger_size(self):
        for name, (model, walks, depth) in WALKS.items():
            with self.subTest(name):
                found = walk(model, 16, walks, depth, RARE)
                self.assertEqual(found.wrong, (), found.trace)
                self.assertGreater(found.states, 1000)


class Mutations(unittest.TestCase):
    def found(self, name: str, found: Found):
        with self.subTest(name):
            self.assertTrue(found.wrong, f"{found.states} states and nothing found")

    def test_a_guard_of_the_agreement_taken_out_is_found(self):
        for guard, size in AGREEMENT_GUARDS.items():
            self.found(guard, explore(Agreement(**size, **{guard: False}), 100_000))

    def test_a_guard_of_voter_changes_and_snapshots_taken_out_is_found(self):
        for guard, (size, begin) in CHANGE_GUARDS.items():
            self.found(guard, explore(Agreement(**size, whole_elections=True, **{guard: False}), 100_000, begin))

    def test_a_guard_of_leases_and_copies_taken_out_is_found(self):
        for guard, size in LEASE_GUARDS.items():
            self.found(guard, explore(Leases(**size, **{guard: False}), 100_000))
        for guard, size in LEASE_GUARDS_BY_WALKS.items():
            model = Leases(**size, epochs=3, appends=3, starts_held=True, **{guard: False})
            self.found(guard, walk(model, 1, 4000, 60, RARE))

    def test_a_guard_of_the_proofs_taken_out_is_found(self):
        for guard in LEADER_PROOF_GUARDS:
            self.found(guard, explore(Proofs(by_witnesses=False, **{guard: False}), 100_000))
        for guard in WITNESS_PROOF_GUARDS:
            self.found(guard, explore(Proofs(by_leaders=False, **{guard: False}), 100_000))

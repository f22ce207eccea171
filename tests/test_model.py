"""Explores the models exhaustively at small sizes and by random walks at larger ones.

Each guard is also disabled once, which must be detected as a violation.
"""

import unittest

from .model.consensus import Consensus
from .model.explorer import Exploration, explore, walk
from .model.leases import Leases
from .model.proofs import Proofs

RARE_STEPS = ("ask", "move", "empty", "end", "list", "elect", "crash", "change", "trim")

EXHAUSTIVE = {
    "votes and appends": Consensus(terms=2, entries=2, atomic_elections=True),
    "a crash, vote by vote": Consensus(terms=2, entries=1, crashes=1),
    "a crash over three terms": Consensus(terms=3, entries=1, crashes=1, atomic_elections=True),
    "a wiped disk": Consensus(terms=2, entries=1, wipes=1, atomic_elections=True),
    "a snapshot": Consensus(terms=2, entries=2, compacts=True, atomic_elections=True),
    "two leaseholders": Leases(appends=1),
    "a wiped replica": Leases(appends=1, wipes=1, starts_held=True),
    "a move": Leases(leaseholders=1, epochs=1, appends=1, moves=True, starts_held=True),
    "proofs by leaders": Proofs(by_witnesses=False),
    "proofs by three witnesses": Proofs(by_leaders=False),
    "proofs by four witnesses": Proofs(by_leaders=False, witnesses=4),
}

RANDOM_WALKS = {
    "consensus": (Consensus(members=5, terms=5, entries=5, crashes=2, wipes=2, compacts=True), 400, 90),
    "voters": (Consensus(standbys=2, terms=4, entries=5, changes=3, crashes=1, atomic_elections=True), 300, 80),
    "leases": (Leases(leaseholders=3, epochs=4, appends=4, moves=True, wipes=1), 300, 80),
    "leases, five replicas": (Leases(replicas=5, leaseholders=3, epochs=4, appends=4, moves=True, wipes=2), 200, 90),
    "readers and repairs": (
        Leases(leaseholders=3, epochs=4, appends=4, moves=True, wipes=1, reads=True, repairs=True),
        200,
        90,
    ),
    "readers, the first lease held": (
        Leases(epochs=3, appends=3, moves=True, reads=True, repairs=True, starts_held=True),
        200,
        90,
    ),
    "proofs": (Proofs(witnesses=4), 500, 80),
}

CONSENSUS_GUARDS = {
    "vote_is_durable": {"entries": 1, "crashes": 1},
    "voter_compares_logs": {"entries": 1},
    "follower_compares_previous": {"atomic_elections": True},
    "follower_keeps_what_matches": {"atomic_elections": True},
    "leader_counts_own_term_only": {"entries": 1, "terms": 4, "atomic_elections": True},
    "leader_counts_own_synced_only": {"entries": 1, "crashes": 1, "atomic_elections": True},
    "wiped_member_has_new_identity": {"entries": 1, "wipes": 1},
    "counts_by_identity": {"entries": 1, "terms": 1, "wipes": 1},
}

LOG_CHANGE_GUARDS = {
    "one_change_at_a_time": (
        {"standbys": 2, "entries": 3, "changes": 2},
        ("elect 0 by (1,)", "propose 0", "sync 0", "receive 1 of 1 to 1", "commit 0 to 1"),
    ),
    "change_needs_own_term": (
        {"members": 4, "standbys": 1, "terms": 3, "entries": 1, "changes": 2},
        ("elect 0 by (1, 2)", "change 0 to (0, 1, 2, 3, 4)"),
    ),
    "snapshot_drops_conflicts": (
        {"compacts": True},
        ("elect 0 by (1,)", "propose 0", "elect 1 by (2,)", "propose 1", "propose 1", "sync 1", "receive 2 of 2 to 2"),
    ),
}

LEASE_GUARDS = {
    "grant_is_durable": {"appends": 1},
    "write_checks_epoch": {"appends": 1, "starts_held": True},
    "needs_majority": {"appends": 1},
    "recovers_tail": {"appends": 1, "epochs": 3, "leaseholders": 1},
    "picks_newest_tail": {"appends": 1, "leaseholders": 1, "starts_held": True},
    "transfers_before_join": {"appends": 1, "moves": True, "starts_held": True},
    "wiped_node_has_new_identity": {"appends": 1, "wipes": 1},
}

LEASE_GUARDS_BY_WALKS = {
    "write_checks_position": {"leaseholders": 1},
    "quorum_in_both_sets": {"moves": True},
    "stale_placement_is_rejected": {"moves": True},
    "resets_progress_after_move": {"moves": True},
}

STALE_TAIL = ("append 0", "write 0 by 0", "ask 1 for 2", "grant 1 to 1", "grant 2 to 1", "settle 1")
COPIED_STALE_TAIL = (*STALE_TAIL, "move", "follow 0", "follow 1", "follow 3", "list (0, 1)", "copy", "end")
STALE_TAIL_OF_FIVE = (
    "append 0",
    "write 0 by 0",
    "write 1 by 0",
    "ask 1 for 2",
    "grant 2 to 1",
    "grant 3 to 1",
    "grant 4 to 1",
    "settle 1",
    "append 1",
)
LEASE_GUARDS_AFTER_STEPS = {
    "a reader that ignores epochs": ({"reads": True, "reader_checks_epoch": False}, STALE_TAIL),
    "a reader that counts under old epochs": (
        {"reads": True, "moves": True, "counts_current_epoch_only": False},
        COPIED_STALE_TAIL,
    ),
    "a leaseholder that counts fenced replicas": (
        {"moves": True, "counts_current_epoch_only": False},
        COPIED_STALE_TAIL,
    ),
    "a copy of a tail that was overwritten": (
        {"replicas": 5, "moves": True, "transfer_checks_epoch": False},
        (*STALE_TAIL_OF_FIVE, "move", *(f"follow {n}" for n in (0, 2, 3, 5)), "look 1 at 1", "list (0, 2, 3)"),
    ),
}

LEADER_PROOF_GUARDS = (
    "voters_wait",
    "leader_needs_recent_quorum",
    "gateways_confirm",
    "new_leader_waits",
    "counts_from_request",
)
WITNESS_PROOF_GUARDS = ("needs_enough_witnesses", "rounds_half_up", "counts_from_request", "proof_needs_majority")


class Models(unittest.TestCase):
    def test_no_reachable_state_at_a_small_size_has_violations(self):
        for name, model in EXHAUSTIVE.items():
            with self.subTest(name):
                exploration = explore(model)
                self.assertEqual(exploration.violations, (), exploration.trace)
                self.assertTrue(exploration.complete)
                self.assertGreater(exploration.states, 1000)

    def test_no_random_walk_at_a_larger_size_has_violations(self):
        for name, (model, walks, depth) in RANDOM_WALKS.items():
            with self.subTest(name):
                exploration = walk(model, 16, walks, depth, RARE_STEPS)
                self.assertEqual(exploration.violations, (), exploration.trace)
                self.assertGreater(exploration.states, 1000)


class Mutations(unittest.TestCase):
    def assert_found(self, name: str, exploration: Exploration):
        with self.subTest(name):
            self.assertTrue(exploration.violations, f"{exploration.states} states explored without a violation")

    def test_a_disabled_guard_of_the_consensus_is_detected(self):
        for guard, size in CONSENSUS_GUARDS.items():
            self.assert_found(guard, explore(Consensus(**size, **{guard: False}), 100_000))

    def test_a_disabled_guard_of_voter_changes_or_snapshots_is_detected(self):
        for guard, (size, first_steps) in LOG_CHANGE_GUARDS.items():
            self.assert_found(
                guard, explore(Consensus(**size, atomic_elections=True, **{guard: False}), 100_000, first_steps)
            )

    def test_a_disabled_guard_of_leases_or_replicas_is_detected(self):
        for guard, size in LEASE_GUARDS.items():
            self.assert_found(guard, explore(Leases(**size, **{guard: False}), 100_000))
        for guard, size in LEASE_GUARDS_BY_WALKS.items():
            model = Leases(**size, epochs=3, appends=3, starts_held=True, **{guard: False})
            self.assert_found(guard, walk(model, 1, 4000, 60, RARE_STEPS))

    def test_a_disabled_guard_against_stale_replicas_is_detected(self):
        """Guards against readers, leaseholders and joining nodes that take a dead writer's tail for the log."""
        for name, (options, first_steps) in LEASE_GUARDS_AFTER_STEPS.items():
            model = Leases(epochs=2, appends=2, starts_held=True, **options)
            self.assert_found(name, explore(model, 100_000, first_steps))

    def test_a_disabled_guard_of_the_proofs_is_detected(self):
        for guard in LEADER_PROOF_GUARDS:
            self.assert_found(guard, explore(Proofs(by_witnesses=False, **{guard: False}), 100_000))
        for guard in WITNESS_PROOF_GUARDS:
            self.assert_found(guard, explore(Proofs(by_leaders=False, **{guard: False}), 100_000))

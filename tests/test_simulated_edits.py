"""Checks histories of edits under network cuts, freezes, lost responses, races, kills and power losses."""

import unittest
from contextlib import ExitStack
from unittest import mock

from testbed.checks.linearizability import check_history
from testbed.simulator.random_faults import RandomFaults, seeds

from .operator_simulation import DelayingSimulation, Operators
from .test_edit_guards import GUARDS

SEEDS = seeds(3)
OPERATORS = 4
MIN_CONFIRMED_EDITS = 10
GATEWAY_DELIVERY_S = 3.0
DELAYED_COPY_GUARDS = (
    "an edit is fenced",
    "a resumed controller accepts no edit",
    "the client of an edit is still connected",
)


def run_history(seed: int, roles=("controller",), faults: int = 10) -> list[str]:
    """Runs one seed; returns the violations in its history."""
    simulation = DelayingSimulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
    try:
        return [f"seed {seed}: {line}" for line in _run(simulation, roles, faults)]
    finally:
        simulation.end()


def _run(simulation, roles, faults) -> list[str]:
    simulation.start()
    simulation.ready()
    operators = Operators(simulation)
    random_faults = RandomFaults(simulation, roles=roles)
    random_faults.run_with_faults([operators.operate() for _ in range(OPERATORS)], faults=faults)
    if simulation.seed % 3 == 0:
        _lose_power(simulation)
    simulation.run(4)
    operators.stopped = True
    simulation.run(14)
    simulation.ready()
    for a in simulation.role("controller"):
        simulation.until(lambda a=a: simulation.do(operators.read(a), 5), 10, f"{a.name} is read")
    simulation.run(GATEWAY_DELIVERY_S)
    violations = (
        operators.violations
        + [t for t in random_faults.injected if "work ended" in t]
        + check_history(operators.records)
    )
    if operators.confirmed_count() < MIN_CONFIRMED_EDITS:
        violations.append(f"only {operators.confirmed_count()} edits were confirmed")
    return violations


def _lose_power(simulation):
    """Every controller loses power at once while edits are in progress."""
    controllers = simulation.role("controller")
    for a in controllers:
        a.kill(power=True)
    simulation.run(0.5)
    for a in controllers:
        a.start()


class EditHistories(unittest.TestCase):
    def test_histories_are_valid_while_controllers_fail(self):
        self.assertEqual([line for s in SEEDS for line in run_history(s)], [])

    def test_histories_are_valid_while_all_roles_fail(self):
        roles = ("controller", "controller", "storage", "gateway")
        self.assertEqual([line for s in SEEDS for line in run_history(1000 + s, roles)], [])

    def test_without_the_guards_against_delayed_copies_some_history_is_invalid(self):
        with ExitStack() as patches:
            for name in DELAYED_COPY_GUARDS:
                _, owner, attribute, replacement = GUARDS[name]
                patches.enter_context(mock.patch.object(owner, attribute, replacement))
            self.assertTrue(any(run_history(s) for s in range(1, 13)))

"""Records what clients, operators and engines see of simulated clusters, and all messages between the nodes.

A record is text that is identical in every process for the same scenario and seed. It has two parts. The first,
`seen`, holds statuses, codes, results and sequences with the virtual time (in s, to the ms) and the name of the node
that received the request. The second, `network`, has a line for each message between nodes: virtual time, sender,
receiver, method, and the length and digest of the payload. The line for a response names the sender of the request
first, with the time at which the response arrived there. Only the code of an error is recorded, since its text may
name classes. Ids that are random in production are drawn from the simulation's seed.

Scenarios run without garbage collection, which would close abandoned coroutines at times that depend on how many
objects the code allocates. The gateway's set of calls in progress, which is iterated in the order of memory addresses,
is replaced by one that keeps insertion order. Everything else is recorded, so a record also changes when code with
the same behaviour draws random numbers in another order. Records did not depend on PYTHONHASHSEED for the seeds that
were tried.

Usage:
  behaviour_record SCENARIO SEED [--diff=FILE]
  behaviour_record --write=FILE [--seeds=A:B] [--scenario=NAME]
  behaviour_record --check=FILE [--seeds=A:B] [--scenario=NAME]

Options:
  --write=FILE     add the digests of the records to this file
  --check=FILE     compare the digests of the records with those in this file
  --diff=FILE      print the first line that differs from a record printed earlier
  --seeds=A:B      first and last seed, inclusive [default: 1:2]
  --scenario=NAME  only this scenario
"""

import gc
import json
import sys
from hashlib import sha256
from itertools import zip_longest
from pathlib import Path

import attrs
from docopt import docopt

from .behaviour_scenarios import SCENARIOS

__all__ = ["SCENARIOS", "BehaviourRecord", "run_scenario", "read_digests", "mismatches"]

PARTS = ("seen", "network")
CONTEXT_LINES = 5


@attrs.frozen
class BehaviourRecord:
    """The two parts of a record, as lines of text."""

    seen: list[str]
    network: list[str]

    def digests(self) -> dict[str, str]:
        return {part: _digest(getattr(self, part)) for part in PARTS}

    def lines(self) -> list[str]:
        return [f"{part} {line}" for part in PARTS for line in getattr(self, part)]


def _digest(lines: list[str]) -> str:
    return sha256("\n".join(lines).encode()).hexdigest()


def run_scenario(scenario: str, seed: int) -> BehaviourRecord:
    """Runs one scenario with one seed."""
    gc_was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        seen, network = SCENARIOS[scenario](seed)
    finally:
        if gc_was_enabled:
            gc.enable()
    return BehaviourRecord(seen, network)


def read_digests(path) -> dict[str, dict[str, dict[str, str]]]:
    """Returns the digests in a file, by scenario and seed, or none if the file does not exist."""
    path = Path(path)
    return json.loads(path.read_text()) if path.exists() else {}


def mismatches(expected, scenario: str, seed: int) -> list[str]:
    """Runs a scenario and returns a message for each part that differs from the expected digests."""
    digests = run_scenario(scenario, seed).digests()
    return [
        f"{scenario} {seed}: {part} differs; see `python -m tests.behaviour_record {scenario} {seed}`"
        for part in PARTS
        if digests[part] != expected[scenario][str(seed)][part]
    ]


def _write(path: str, scenarios: list[str], seeds: range):
    digests = read_digests(path)
    for scenario in scenarios:
        for seed in seeds:
            digests.setdefault(scenario, {})[str(seed)] = run_scenario(scenario, seed).digests()
            Path(path).write_text(json.dumps(digests, indent=1, sort_keys=True) + "\n")


def _check(path: str, scenarios: list[str], seeds: range) -> int:
    expected = read_digests(path)
    checked = differing = 0
    for scenario in scenarios:
        for seed in seeds:
            if str(seed) not in expected.get(scenario, {}):
                continue
            differences = mismatches(expected, scenario, seed)
            checked, differing = checked + 1, differing + bool(differences)
            for line in differences:
                print(line, flush=True)
    print(f"{checked} records checked, {differing} differ")
    return 1 if differing or not checked else 0


def _print_difference(path: str, lines: list[str]) -> int:
    """Prints the first line that differs, preceded by up to CONTEXT_LINES equal lines."""
    earlier = Path(path).read_text().splitlines()
    for n, (old, new) in enumerate(zip_longest(earlier, lines)):
        if old != new:
            print(*(f"  {line}" for line in lines[max(0, n - CONTEXT_LINES) : n]), sep="\n")
            print(f"line {n + 1}:\n- {old}\n+ {new}")
            return 1
    print("no difference")
    return 0


def main() -> int:
    arguments = docopt(__doc__)
    if arguments["SCENARIO"]:
        lines = run_scenario(arguments["SCENARIO"], int(arguments["SEED"])).lines()
        if arguments["--diff"]:
            return _print_difference(arguments["--diff"], lines)
        print("\n".join(lines))
        return 0
    first, _, last = arguments["--seeds"].partition(":")
    seeds = range(int(first), int(last) + 1)
    scenarios = [arguments["--scenario"]] if arguments["--scenario"] else list(SCENARIOS)
    if arguments["--write"]:
        _write(arguments["--write"], scenarios, seeds)
        return 0
    return _check(arguments["--check"], scenarios, seeds)


if __name__ == "__main__":
    sys.exit(main())

"""Records what clients, operators and engines see of whole clusters on virtual time, and all traffic between the nodes.

A record is text, the same for the same scenario and seed in every process. It has two parts. The first, `seen`, holds
statuses, codes, results and sequences with the virtual time (in ms) and the name of the node that was asked. The
second, `network`, has a line for each message between nodes: virtual time, sender, receiver, method, and length and
digest of the payload; a response stands with the sender of its request, at the time it arrived there. Of errors only
the code is recorded, since their text may name classes. Ids that are random in production come from the simulation's
seed.

A scenario is played without garbage collection, which would close abandoned coroutines at moments that depend on how
many objects the code allocates; and the gateway's set of calls under way, which is walked in the order of memory
addresses, is replaced by one that keeps its order. No bytes are left out but the texts of errors. Records do not
depend on PYTHONHASHSEED in the seeds that were tried. All else is recorded, so a record also changes where equal
behaviour draws random numbers in another order.

Usage:
  behaviour_record SCENARIO SEED [--diff=FILE]
  behaviour_record --write=FILE [--seeds=A:B] [--scenario=NAME]
  behaviour_record --check=FILE [--seeds=A:B] [--scenario=NAME]

Options:
  --write=FILE     add the digests of the records to a file
  --check=FILE     compare the digests with those of a file
  --diff=FILE      print the first line that differs from a record that was printed earlier
  --seeds=A:B      first and last seed [default: 1:2]
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

__all__ = ["SCENARIOS", "BehaviourRecord", "play", "read_digests", "mismatches"]

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


def play(scenario: str, seed: int) -> BehaviourRecord:
    """Plays one scenario with one seed."""
    collected = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        seen, network = SCENARIOS[scenario](seed)
    finally:
        if collected:
            gc.enable()
    return BehaviourRecord(seen, network)


def read_digests(path) -> dict[str, dict[str, dict[str, str]]]:
    """Returns the digests that a file holds, by scenario and seed; none where there is no file yet."""
    path = Path(path)
    return json.loads(path.read_text()) if path.exists() else {}


def mismatches(expected, scenario: str, seed: int) -> list[str]:
    """Plays a scenario and names the parts that differ from what is expected."""
    digests = play(scenario, seed).digests()
    return [
        f"{scenario} {seed}: {part} differs; see `python -m tests.behaviour_record {scenario} {seed}`"
        for part in PARTS
        if digests[part] != expected[scenario][str(seed)][part]
    ]


def _write(path: str, scenarios: list[str], seeds: range):
    digests = read_digests(path)
    for scenario in scenarios:
        for seed in seeds:
            digests.setdefault(scenario, {})[str(seed)] = play(scenario, seed).digests()
            Path(path).write_text(json.dumps(digests, indent=1, sort_keys=True) + "\n")


def _check(path: str, scenarios: list[str], seeds: range) -> int:
    expected = read_digests(path)
    checked = found = 0
    for scenario in scenarios:
        for seed in seeds:
            if str(seed) not in expected.get(scenario, {}):
                continue
            wrong = mismatches(expected, scenario, seed)
            checked, found = checked + 1, found + bool(wrong)
            for line in wrong:
                print(line, flush=True)
    print(f"{checked} records checked, {found} differ")
    return 1 if found or not checked else 0


def _print_difference(path: str, lines: list[str]) -> int:
    """Prints the first line that differs, after the equal ones before it."""
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
        lines = play(arguments["SCENARIO"], int(arguments["SEED"])).lines()
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

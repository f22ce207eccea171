"""The operator commands, which send HTTP requests to nodes and print the responses."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Mapping
from typing import Any

from . import cluster, comparison, configuration, weight_table
from .client import OperatorClient, UnreachableError
from .output import EXIT_FAILED

__all__ = ["run_tool"]

ADDRESSES_VARIABLE = "PIPITLINK_AT"

Command = Callable[[OperatorClient, Mapping[str, Any]], int]

_COMMANDS: dict[str, Command] = {
    "table": weight_table.run,
    "config": configuration.run,
    "zone": cluster.run_zone,
    "storage": cluster.run_storage,
    "lot": cluster.run_batch,
    "status": cluster.run_status,
}
"""The function of each command group, by its name on the command line."""


def run_tool(arguments: Mapping[str, Any]) -> int:
    """Runs one operator command, given as docopt's arguments, and returns its exit code.

    0: done. 1: refused by the cluster, or, for `compare`, the nodes differ. 2: no node responded, or a file cannot be
    read.
    """
    if arguments["compare"]:
        return comparison.compare(arguments["A"], arguments["B"], arguments["--json"])
    addresses = (arguments["--at"] or os.environ.get(ADDRESSES_VARIABLE, "")).split(",")
    client = OperatorClient([address for address in addresses if address])
    command = next(command for group, command in _COMMANDS.items() if arguments[group])
    try:
        return command(client, arguments)
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED

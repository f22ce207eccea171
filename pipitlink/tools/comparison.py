"""The `compare` command, which finds differences between the states of two nodes."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any

from .client import UnreachableError, send_request
from .output import EXIT_FAILED, EXIT_OK

__all__ = ["compare", "differences"]

STATE_PATH = "/v1/beliefs"
TOPICS = ("cluster", "membership", "status", "engines", "storage_nodes", "placement_groups", "leases", "logs")
EXIT_DIFFERENT = 1

ReportedState = Mapping[str, Any]
"""A node's state by topic, as `/v1/beliefs` returns it."""

Differences = dict[str, dict[str, list[Any]]]
"""The values of the first and second node by topic and key; None if a node has no value."""


def differences(first: ReportedState, second: ReportedState) -> Differences:
    """Returns, by topic, the keys whose values differ between two nodes, with both values."""
    found = {}
    for topic in TOPICS:
        if topic not in first or topic not in second:
            continue
        first_values, second_values = first[topic], second[topic]
        keys = sorted(_comparable_keys(topic, first, second))
        topic_differences = {
            key: [first_values.get(key), second_values.get(key)]
            for key in keys
            if first_values.get(key) != second_values.get(key)
        }
        if topic_differences:
            found[topic] = topic_differences
    return found


def _comparable_keys(topic: str, first: ReportedState, second: ReportedState) -> set[str]:
    """Returns the keys of a topic whose values must be equal on both nodes."""
    first_keys, second_keys = set(first[topic]), set(second[topic])
    if topic == "leases":
        return first_keys & second_keys
    keys = first_keys | second_keys
    if topic == "logs":
        return {log for log in keys if _is_replicated_on_both(log, first, second)}
    if topic == "status":
        return keys - {first["node"], second["node"]}
    return keys


def _is_replicated_on_both(log: str, first: ReportedState, second: ReportedState) -> bool:
    """Returns whether both nodes belong to the placement group of a log, which is given as PLACEMENT_GROUP/NAME."""
    placement_group = first["placement_groups"].get(log.partition("/")[0], "")
    storage_nodes = placement_group.split(":")[1].split(",") if placement_group else []
    return first["node"] in storage_nodes and second["node"] in storage_nodes


def compare(first_address: str, second_address: str, as_json: bool) -> int:
    """Compares the states of two nodes, given by their operator addresses HOST:PORT, and prints the differences.

    Returns the exit code: 0 if they are equal, 1 if they differ, 2 if a node did not return its state.
    """
    try:
        first = send_request(first_address, "GET", STATE_PATH)
        second = send_request(second_address, "GET", STATE_PATH)
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    for address, response in ((first_address, first), (second_address, second)):
        if response.status != 200:
            print(f"{address}: no node state at {STATE_PATH} (status {response.status})", file=sys.stderr)
            return EXIT_FAILED
    found = differences(first.body, second.body)
    if as_json:
        _print_json(first.body, second.body, found)
    else:
        _print_lines(first.body, second.body, found)
    return EXIT_DIFFERENT if found else EXIT_OK


def _print_json(first: ReportedState, second: ReportedState, found: Differences) -> None:
    nodes = [first["node"], second["node"]]
    print(json.dumps({"nodes": nodes, "alike": not found, "differences": found}, indent=2))


def _print_lines(first: ReportedState, second: ReportedState, found: Differences) -> None:
    first_name, second_name = f"{first['role']} {first['node']}", f"{second['role']} {second['node']}"
    if not found:
        print(f"alike: {first_name} and {second_name}")
        return
    print(f"A is {first_name}, B is {second_name}")
    for topic, topic_differences in found.items():
        for key, (first_value, second_value) in topic_differences.items():
            print(f"{topic} {key}: A={first_value} B={second_value}")

"""The commands for zones, storage nodes, batches and the cluster status."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .client import OperatorClient
from .output import print_response

__all__ = ["run_batch", "run_status", "run_storage", "run_zone"]


def run_zone(client: OperatorClient, arguments: Mapping[str, Any]) -> int:
    """Runs `zone show`, `zone empty` or `zone fill` and returns the exit code. Raises UnreachableError."""
    if arguments["show"]:
        return print_response(client.request("GET", "/v1/zones"))
    edit = {"empty": bool(arguments["empty"])}
    return print_response(client.request("PUT", f"/v1/zones/{arguments['ZONE']}", edit))


def run_storage(client: OperatorClient, arguments: Mapping[str, Any]) -> int:
    """Runs `storage show` or `storage retire` and returns the exit code. Raises UnreachableError."""
    if arguments["show"]:
        return print_response(client.request("GET", "/v1/storage_nodes"))
    return print_response(client.request("POST", f"/v1/storage_nodes/{arguments['STORAGE_NODE']}/retire", {}))


def run_batch(client: OperatorClient, arguments: Mapping[str, Any]) -> int:
    """Runs `lot show` or `lot end` and returns the exit code. Raises UnreachableError."""
    method = "GET" if arguments["show"] else "DELETE"
    return print_response(client.request(method, f"/v1/lots/{arguments['LOT']}"))


def run_status(client: OperatorClient, _arguments: Mapping[str, Any]) -> int:
    """Runs `status` and returns the exit code. Raises UnreachableError."""
    return print_response(client.request("GET", "/v1/status"))

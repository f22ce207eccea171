"""The `config` commands, which show and replace the configuration of routes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .client import OperatorClient, edit_headers
from .output import EXIT_FAILED, print_response, read_json_file

__all__ = ["run"]

CONFIG_PATH = "/v1/config"


def run(client: OperatorClient, arguments: Mapping[str, Any]) -> int:
    """Runs `config show` or `config put` and returns the exit code. Raises UnreachableError."""
    if arguments["show"]:
        return print_response(client.request("GET", CONFIG_PATH))
    base = arguments["--base"]
    if base is None:
        current = client.request("GET", CONFIG_PATH)
        if current.status != 200:
            return print_response(current)
        base = current.body["version"]
    config = read_json_file(arguments["FILE"])
    if config is None:
        return EXIT_FAILED
    headers = edit_headers(base, arguments["--edit"])
    return print_response(client.request("PUT", CONFIG_PATH, config, headers))

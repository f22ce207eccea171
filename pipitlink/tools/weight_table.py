"""The `table` commands, which show and edit the weight table."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from .client import OperatorClient, edit_headers
from .output import EXIT_FAILED, print_response, read_json_file

__all__ = ["run"]

TABLE_PATH = "/v1/table"
TEXT_FIELDS = ("model", "pool")
"""Row fields whose values are strings even if they look like JSON."""


def run(client: OperatorClient, arguments: Mapping[str, Any]) -> int:
    """Runs one of the `table` commands and returns the exit code. Raises UnreachableError."""
    if arguments["show"]:
        return print_response(client.request("GET", TABLE_PATH))
    base = arguments["--base"]
    if base is None:
        current = client.request("GET", TABLE_PATH)
        if current.status != 200:
            return print_response(current)
        base = current.body["sequence"]
    headers = edit_headers(base, arguments["--edit"])
    if arguments["put"]:
        return _replace_table(client, arguments["FILE"], headers)
    row_path = f"{TABLE_PATH}/rows/{arguments['ROW']}"
    if arguments["drop"]:
        return print_response(client.request("DELETE", row_path, None, headers))
    return _edit_row(client, row_path, arguments["FIELD=VALUE"], headers)


def _replace_table(client: OperatorClient, path: str, headers: Mapping[str, str]) -> int:
    table = read_json_file(path)
    if table is None:
        return EXIT_FAILED
    return print_response(client.request("PUT", TABLE_PATH, {"rows": table.get("rows", table)}, headers))


def _edit_row(client: OperatorClient, row_path: str, pairs: Iterable[str], headers: Mapping[str, str]) -> int:
    current = client.request("GET", row_path)
    row = current.body["row"] if current.status == 200 else {}
    for pair in pairs:
        name, _, text = pair.partition("=")
        row[name] = text if name in TEXT_FIELDS else _parse_value(text)
    return print_response(client.request("PUT", row_path, row, headers))


def _parse_value(text: str) -> Any:
    """Parses a string as JSON; returns the string itself if it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text

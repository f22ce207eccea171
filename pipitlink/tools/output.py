"""File input, printed output and exit codes of the operator commands."""

from __future__ import annotations

import json
import sys
from typing import Any

from .client import Response

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_REFUSED", "print_response", "read_json_file"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_FAILED = 2
"""No node responded, or a file cannot be read."""


def print_response(response: Response) -> int:
    """Prints the body of a response, or its error to stderr, and returns the exit code."""
    if response.status < 400:
        print(json.dumps(response.body, indent=2))
        return EXIT_OK
    error = response.body.get("error", {})
    code, message, outcome = error.get("code", response.status), error.get("message", ""), error.get("outcome", "?")
    print(f"{code}: {message} (outcome: {outcome})", file=sys.stderr)
    for fault in error.get("faults", ()):
        print(f"  {fault['row']}.{fault['field']}: {fault['message']}", file=sys.stderr)
    return EXIT_REFUSED


def read_json_file(path: str) -> Any:
    """Returns the JSON document in a file; if it cannot be read, prints the error to stderr and returns None."""
    try:
        with open(path) as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None

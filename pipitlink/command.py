"""The command line: starts a node or runs an operator command."""

from __future__ import annotations

import sys
from typing import Any

import attrs
from docopt import DocoptExit, docopt

from . import __version__
from .errors import SettingsError
from .settings import ROLES, Settings, read_settings

__all__ = ["main"]

EXIT_USAGE = 2
"""The exit code for an invalid command line or invalid settings."""

_HELP = """pipitlink: live model requests and batches on the same engines.

Usage:
  pipitlink (gateway | storage | controller) [--settings FILE] [options]
  pipitlink compare A B [--json]
  pipitlink table show [--at ADDRESSES]
  pipitlink table put FILE [--base N] [--edit ID] [--at ADDRESSES]
  pipitlink table set ROW FIELD=VALUE... [--base N] [--edit ID] [--at ADDRESSES]
  pipitlink table drop ROW [--base N] [--edit ID] [--at ADDRESSES]
  pipitlink config show [--at ADDRESSES]
  pipitlink config put FILE [--base N] [--edit ID] [--at ADDRESSES]
  pipitlink zone (show | (empty | fill) ZONE) [--at ADDRESSES]
  pipitlink storage (show | retire STORAGE_NODE) [--at ADDRESSES]
  pipitlink status [--at ADDRESSES]
  pipitlink lot (show | end) LOT [--at ADDRESSES]
  pipitlink -h | --help
  pipitlink --version

A and B are two nodes' operator addresses, HOST:PORT. `compare` exits with 0 if the nodes report the same state, 1 if
they differ and 2 if a node cannot be reached. The other commands exit with 1 if the cluster rejects the request and 2
if no node responds or the command line is invalid.

Options:
  --at ADDRESSES        Operator addresses of nodes, separated by commas; for `lot`, the client addresses of gateways.
                        Default: $PIPITLINK_AT.
  --base N              The table's sequence or the configuration's version that an edit is based on. Default: the
                        newest.
  --edit ID             The edit's id; an edit that is sent again with the same id returns the outcome of the first.
  --json                Print JSON.
  -h --help             Show this.
  --version             Show the version.

Settings, each of which can also be set in the settings file:
  --settings FILE          The node's settings, a TOML file.
"""


def _help_text() -> str:
    lines = [f"  {_flag(field.name)} VALUE" for field in attrs.fields(Settings)]
    return _HELP + "\n".join(lines) + "\n"


def _flag(setting: str) -> str:
    return "--" + setting.replace("_", "-")


def _role_to_run(arguments: dict[str, Any]) -> str | None:
    """Returns the role of the node to start, or None for an operator command; `storage` can be either."""
    if arguments.get("show") or arguments.get("retire"):
        return None
    return next((role for role in ROLES if arguments[role]), None)


def _run_node(role: str, arguments: dict[str, Any]) -> int:
    flags = {field.name: arguments[_flag(field.name)] for field in attrs.fields(Settings)}
    try:
        settings = read_settings(role, arguments["--settings"], flags)
        from .process import run

        return run(role, settings)
    except SettingsError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        return EXIT_USAGE


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code, which is 2 if the command line or the settings are invalid.

    `argv` is the command line without the program's name; None stands for the process's own.
    """
    try:
        arguments = docopt(_help_text(), argv=argv, version=f"pipitlink {__version__}")
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    role = _role_to_run(arguments)
    if role is not None:
        return _run_node(role, arguments)
    from .tools import run_tool

    return run_tool(arguments)

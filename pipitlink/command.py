"""The command line: starts a node, or runs one of the operators' commands."""

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
"""The exit code where the command or the settings are refused."""

_HELP = """pipitlink: live model requests, and lots on the same engines.

Usage:
  pipitlink (gateway | storage | controller) [--settings FILE] [options]
  pipitlink compare A B [--json]
  pipitlink table show [--at PLACES]
  pipitlink table put FILE [--base N] [--edit ID] [--at PLACES]
  pipitlink table set ROW FIELD=VALUE... [--base N] [--edit ID] [--at PLACES]
  pipitlink table drop ROW [--base N] [--edit ID] [--at PLACES]
  pipitlink config show [--at PLACES]
  pipitlink config put FILE [--base N] [--edit ID] [--at PLACES]
  pipitlink zone (show | (empty | fill) ZONE) [--at PLACES]
  pipitlink storage (show | retire STORAGE_NODE) [--at PLACES]
  pipitlink status [--at PLACES]
  pipitlink lot (show | end) LOT [--at PLACES]
  pipitlink -h | --help
  pipitlink --version

A and B are two nodes' operator addresses, HOST:PORT. `compare` ends with 0 where they believe alike, 1 where they
differ, 2 where one cannot be reached. The other commands end with 1 when the fleet refuses and 2 when nothing answers
or the command is not understood.

Options:
  --at PLACES           Operator addresses to ask, with commas; for `lot`, callers' addresses. Else $PIPITLINK_AT.
  --base N              What an edit builds on, the table's sequence or the configuration's version; the newest where
                        it is left out.
  --edit ID             The edit's id; sent again, it gives the edit's true outcome.
  --json                Print JSON.
  -h --help             Show this.
  --version             Show the version.

Settings, each also a line of the settings file:
  --settings FILE          The node's settings, a TOML file.
"""


def _help_text() -> str:
    lines = [f"  {_flag(field.name)} VALUE" for field in attrs.fields(Settings)]
    return _HELP + "\n".join(lines) + "\n"


def _flag(setting: str) -> str:
    return "--" + setting.replace("_", "-")


def _role_to_run(arguments: dict[str, Any]) -> str | None:
    """Returns the role of the node to start; None for operators' commands, of which `storage` is also one."""
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
    """Runs one command and returns its exit code; 2 where the command or the settings are refused.

    `argv` is the command line without the program's name; None takes the process's own.
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

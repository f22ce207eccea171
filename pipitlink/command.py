"""pipitlink: live model requests and lots on the same engines.

Usage:
  pipitlink guide [--props FILE] [--set PROP=VALUE]...
  pipitlink depot [--props FILE] [--set PROP=VALUE]...
  pipitlink office [--props FILE] [--set PROP=VALUE]...
  pipitlink -h | --help
  pipitlink --version

Options:
  --props FILE          The node's props, a TOML file.
  --set PROP=VALUE      One prop; goes before the file's.
  -h --help             Show this.
  --version             Show the version.
"""
import sys

from docopt import docopt

from . import __version__
from .faults import PropsFault
from .props import ROLES, read_props

__all__ = ["main"]


def _flags(pairs: list[str]) -> dict:
    flags = {}
    for pair in pairs:
        name, eq, value = pair.partition("=")
        if not eq:
            raise PropsFault([f"--set {pair}: must be PROP=VALUE"])
        flags[name] = value
    return flags


def main(argv: list[str] | None = None) -> int:
    words = docopt(__doc__, argv=argv, version=f"pipitlink {__version__}")
    try:
        role = next(r for r in ROLES if words[r])
        props = read_props(role, words["--props"], _flags(words["--set"]))
        from .process import run

        return run(role, props)
    except PropsFault as e:
        for line in e.lines:
            print(line, file=sys.stderr)
        return 2

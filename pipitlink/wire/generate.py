"""Generates the *_pb2.py modules and their type stubs from the .proto files; requires the extra `wire`.

Usage: python -m pipitlink.wire.generate
"""

from __future__ import annotations

import sys
from pathlib import Path

from grpc_tools import protoc

__all__ = ["generate"]


def generate() -> int:
    """Compiles all .proto files in this folder and returns the compiler's exit code."""
    folder = Path(__file__).resolve().parent
    root = folder.parent.parent
    sources = sorted(str(path.relative_to(root)) for path in folder.glob("*.proto"))
    exit_code: int = protoc.main(["protoc", f"-I{root}", f"--python_out={root}", f"--pyi_out={root}", *sources])
    return exit_code


if __name__ == "__main__":
    sys.exit(generate())

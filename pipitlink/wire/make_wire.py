"""Makes the *_pb2.py files again: python pipitlink/wire/make_wire.py (needs the 'wire' extra)."""

import sys
from pathlib import Path

from grpc_tools import protoc


def make() -> int:
    """Compiles all .proto files of this folder and returns the compiler's exit code."""
    here = Path(__file__).resolve().parent
    root = here.parent.parent
    names = sorted(str(p.relative_to(root)) for p in here.glob("*.proto"))
    return protoc.main(["protoc", f"-I{root}", f"--python_out={root}", *names])


if __name__ == "__main__":
    sys.exit(make())

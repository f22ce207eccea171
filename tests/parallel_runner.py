"""Runs test files in parallel, each in its own interpreter, and prints the total of their counts last."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

__all__ = ["FileResult", "run_files"]

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL_FILES = 4
FILES_RUN_ALONE = frozenset(f"test_abusive_{name}.py" for name in ("clients", "documents", "input", "peers"))
_COUNT = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$")


@attrs.frozen
class FileResult:
    """The output and counts of one test file; a run whose last line is no count has failed."""

    name: str
    output: str
    code: int
    passed: int = 0
    failed: int = 1
    skipped: int = 0

    @classmethod
    def of(cls, name: str, output: str, code: int) -> "FileResult":
        lines = output.rstrip().split("\n")
        count = _COUNT.match(lines[-1])
        if count is None:
            return cls(name, output, code or 1)
        passed, failed, skipped = map(int, count.groups())
        return cls(name, "\n".join(lines[:-1]), code, passed, failed, skipped)


def _run_file(name: str) -> FileResult:
    run = subprocess.run(
        [sys.executable, "-m", "tests", name], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    return FileResult.of(name, run.stdout, run.returncode)


def _runs_alone(name: str) -> bool:
    return name in FILES_RUN_ALONE


def run_files(names: list[str], out, run_file=_run_file) -> int:
    """Runs all files, prints their outputs, and returns 1 if any file failed or none was given.

    Files run in the order given; those that need the machine for themselves come last, one after the other.
    """
    results = []

    def report(result: FileResult) -> None:
        print(f"{result.name}:\n{result.output}", file=out, flush=True)
        results.append(result)

    with ThreadPoolExecutor(min(MAX_PARALLEL_FILES, os.cpu_count() or 1)) as pool:
        for result in pool.map(run_file, [name for name in names if not _runs_alone(name)]):
            report(result)
    for name in filter(_runs_alone, names):
        report(run_file(name))
    passed, failed, skipped = (sum(getattr(r, field) for r in results) for field in ("passed", "failed", "skipped"))
    for result in results:
        if result.code:
            print(f"failed: {result.name}", file=out)
    print(f"{passed} passed, {failed} failed, {skipped} skipped", file=out)
    return 1 if any(r.code for r in results) or not results else 0

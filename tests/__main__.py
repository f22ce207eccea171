"""Runs the test files that match a pattern and prints the number of passed, failed and skipped tests last."""

import gc
import sys
import unittest
from pathlib import Path

from twisted.logger import globalLogPublisher

from .parallel_runner import run_files

__all__ = ["run"]

ROOT = Path(__file__).resolve().parent.parent


def _test_id(test) -> str:
    return getattr(test, "test_case", test).id()


class _FinishedTest:
    """Represents an already finished test in the list of errors."""

    def __init__(self, name: str):
        self._name = name

    def id(self) -> str:
        return self._name

    def shortDescription(self):
        return None

    __str__ = id


class _Result(unittest.TextTestResult):
    """Also fails a test that leaves an unhandled error in a Deferred."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._unhandled: list = []
        self._last_test = ""
        self.passed: set[str] = set()

    def startTestRun(self):
        super().startTestRun()
        globalLogPublisher.addObserver(self._observe)

    def stopTestRun(self):
        self._flush()
        globalLogPublisher.removeObserver(self._observe)
        super().stopTestRun()

    def startTest(self, test):
        self._flush()
        super().startTest(test)
        self._last_test = test.id()

    def addSuccess(self, test):
        super().addSuccess(test)
        self.passed.add(_test_id(test))

    def _observe(self, event):
        if event.get("log_failure") is not None:
            self._unhandled.append(event["log_failure"])

    def _flush(self):
        """Collects garbage, so that unhandled errors are reported now and attributed to the test that ran last."""
        gc.collect()
        left, self._unhandled = self._unhandled, []
        for f in left:
            self.stream.writeln(f"{self._last_test} left an unhandled error: {f.getErrorMessage()}")
            self.errors.append((_FinishedTest(self._last_test), f.getTraceback()))

    def failed(self) -> set[str]:
        bad = [t for t, _ in self.failures + self.errors] + self.unexpectedSuccesses
        return {_test_id(t) for t in bad}

    def wasSuccessful(self):
        return not self.failed()


def _read_known_red(path: Path) -> dict[str, str]:
    """Returns the tests that fail because of a known fault, from lines of the form `test id: cause, issue`."""
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.partition(": ")[0].strip(): line.strip() for line in lines if line.strip()}


def run(suite, out, known_red: Path) -> int:
    known = _read_known_red(known_red)
    r = unittest.TextTestRunner(verbosity=2, stream=out, resultclass=_Result).run(suite)
    failed = r.failed()
    for name, line in known.items():
        print(f"known red: {line}", file=out)
        if name in r.passed - failed:
            print(f"{name} passes now: take it off the list", file=out)
    passed = len(r.passed - failed)
    print(f"{passed} passed, {len(failed)} failed, {len(r.skipped)} skipped", file=out)
    return 1 if failed - known.keys() or not r.testsRun else 0


def main() -> int:
    tests_dir = Path(__file__).resolve().parent
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    names = sorted((p.name for p in tests_dir.glob(pattern)), reverse=True)
    if len(names) > 1:
        return run_files(names, sys.stdout)
    suite = unittest.TestLoader().discover(str(tests_dir), pattern=pattern, top_level_dir=str(ROOT))
    return run(suite, sys.stdout, ROOT / "KNOWN-RED.txt")


if __name__ == "__main__":
    sys.exit(main())

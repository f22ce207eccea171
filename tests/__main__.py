"""Runs every test and closes with a plain count."""
import sys
import unittest
from pathlib import Path


def main() -> int:
    here = Path(__file__).resolve().parent
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.TestLoader().discover(str(here), pattern=pattern, top_level_dir=str(here.parent))
    r = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    failed = len(r.failures) + len(r.errors) + len(r.unexpectedSuccesses)
    print(f"{r.testsRun - failed - len(r.skipped)} passed, {failed} failed, {len(r.skipped)} skipped")
    return 1 if failed or not r.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the command `testbed` under its former name; deprecated, to be removed after one release."""

from testbed import __main__ as command

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Runs the command line and returns its exit status."""
    return command.main(argv, program="rehearsal")


if __name__ == "__main__":
    raise SystemExit(main())

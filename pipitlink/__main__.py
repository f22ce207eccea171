"""Runs the command line as `python -m pipitlink`."""

from .command import main

if __name__ == "__main__":
    raise SystemExit(main())

"""rehearsal: stand-ins, whole fleets on loopback and the faults to try on them.

Usage:
  rehearsal backend --name NAME --guides LIST [--pool POOL] [--models LIST] [--zone ZONE] [--capacity N]
                    [--port N] [--step S] [--notes FILE]
  rehearsal -h | --help

Options:
  --name NAME       The stand-in's name.
  --guides LIST     Guides to announce to, IP:PORT, with commas.
  --pool POOL       Its pool. [default: models]
  --models LIST     Models it serves. [default: ]
  --zone ZONE       Its zone. [default: zone-a]
  --capacity N      How many requests it takes at once. [default: 8]
  --port N          Its port. [default: 0]
  --step S          Seconds between pieces. [default: 0.01]
  --notes FILE      Where it notes its runs.
"""
from docopt import docopt

__all__ = ["main"]


def main(argv=None) -> int:
    words = docopt(__doc__, argv=argv)
    from .backend import run_backend

    return run_backend(words)


if __name__ == "__main__":
    raise SystemExit(main())

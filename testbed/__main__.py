"""testbed: stand-ins, whole fleets on loopback and the faults to try on them.

Usage:
  testbed backend --name NAME --gateways LIST [--pool POOL] [--models LIST] [--zone ZONE] [--capacity N]
                    [--port N] [--step S] [--notes FILE]
  testbed soak [--profile NAME] [--seed N] [--minutes M] [--keep PATH] [--faults LIST] [--level LEVEL]
                 [--together N]
  testbed bench [--profile NAME] [--seed N] [--rounds N] [--window S]
  testbed bench --promise LIST [--profile NAME] [--seed N] [--rounds N]
  testbed capacity [--series LIST] [--within M] [--cores N] [--keep PATH] [--picture FILE]
  testbed capacity --from LIST [--picture FILE]
  testbed capacity --inner
  testbed losses REPORT [--log FILE] [--worths LIST] [--picture FILE]
  testbed host
  testbed -h | --help

Options:
  --name NAME       The stand-in's name.
  --gateways LIST     Gateways to announce to, IP:PORT, with commas.
  --pool POOL       Its pool. [default: models]
  --models LIST     Models it serves. [default: ]
  --zone ZONE       Its zone. [default: zone-a]
  --capacity N      How many requests it takes at once. [default: 8]
  --port N          Its port. [default: 0]
  --step S          Seconds between pieces. [default: 0.01]
  --notes FILE      Where it notes its runs.
  --profile NAME    periplous, maizes or small. [default: small]
  --seed N          The schedule's seed. [default: 1]
  --minutes M       How long faults are brought about. [default: 2]
  --keep PATH       Keeps data and logs in this folder, or a capacity run's points in this file.
  --faults LIST     Only these faults, with commas.
  --together N      How many faults last at once. [default: 2]
  --rounds N        How many pairs of windows are measured, or how often each fault comes. [default: 5]
  --promise LIST    leaving, edit, reading, result, ended, zone, back, repair; with commas, or all.
  --window S        Seconds in a window. [default: 6]
  --within M        Minutes after which no new point is begun. [default: 20]
  --cores N         Cores that hollow fleets may keep busy. [default: 3]
  --series LIST     Series of points, with commas. [default: all]
  --inner           Times single steps of a gateway's own code at full size instead.
  --from LIST       Files of points that were kept, with commas: shows these and measures none.
  --picture FILE    Draws them there; needs the extra `capacity`.
  --log FILE        What the nodes logged on the day of the report.
  --worths LIST     The worth of one request of each kind, KIND=WORTH with commas; else 1.
  --level LEVEL     The fleet's log level. [default: info]
"""

from docopt import docopt

__all__ = ["main"]


def _usage(program: str) -> str:
    return (__doc__ or "").replace("testbed", program)


def main(argv: list[str] | None = None, program: str = "testbed") -> int:
    """Runs the command line and returns its exit status; its help shows the name of the program."""
    arguments = docopt(_usage(program), argv=argv)
    if arguments["soak"]:
        from .benchmarks.deployment_profiles import PROFILES
        from .benchmarks.soak import FAULTS, Soak

        faults = tuple(arguments["--faults"].split(",")) if arguments["--faults"] else FAULTS
        if arguments["--profile"] not in PROFILES or set(faults) - set(FAULTS):
            print(f"profiles: {', '.join(PROFILES)}; faults: {', '.join(FAULTS)}")
            return 2
        return Soak(
            arguments["--profile"],
            int(arguments["--seed"]),
            float(arguments["--minutes"]),
            arguments["--keep"],
            faults,
            arguments["--level"],
            int(arguments["--together"]),
        ).run()
    if arguments["bench"] and arguments["--promise"]:
        from .benchmarks.recovery_times import LIMIT_SECONDS, RecoveryTimes

        names = list(LIMIT_SECONDS) if arguments["--promise"] == "all" else arguments["--promise"].split(",")
        if set(names) - set(LIMIT_SECONDS):
            print(f"promises: {', '.join(LIMIT_SECONDS)}")
            return 2
        return RecoveryTimes(arguments["--profile"], int(arguments["--seed"]), names, int(arguments["--rounds"])).run()
    if arguments["bench"]:
        from .benchmarks.batch_impact import Bench

        return Bench(
            arguments["--profile"], int(arguments["--seed"]), int(arguments["--rounds"]), float(arguments["--window"])
        ).run()
    if arguments["losses"]:
        from .benchmarks.day_losses import run

        return run(arguments["REPORT"], arguments["--log"], arguments["--worths"], arguments["--picture"])
    if arguments["host"]:
        from .processes.lightweight_nodes import run_host

        return run_host()
    if arguments["capacity"]:
        return _capacity(arguments)
    from .standins.engine import run_engine

    return run_engine(arguments)


def _capacity(arguments) -> int:
    """Slopes by hollow fleets; the whole of them takes about a quarter of an hour."""
    import json
    from pathlib import Path

    from .benchmarks.capacity import SERIES, Capacity

    names = list(SERIES) if arguments["--series"] == "all" else arguments["--series"].split(",")
    if set(names) - set(SERIES):
        print(f"series: {', '.join(SERIES)}")
        return 2
    if arguments["--inner"]:
        from .benchmarks.step_timings import print_step_timings

        return print_step_timings()
    c = Capacity(
        names, float(arguments["--within"]), float(arguments["--cores"]), arguments["--keep"], arguments["--picture"]
    )
    if arguments["--from"]:
        c.points = [p for f in arguments["--from"].split(",") for p in json.loads(Path(f).read_text())]
        return c.show()
    return c.run()


if __name__ == "__main__":
    raise SystemExit(main())

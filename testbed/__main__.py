"""testbed: stand-ins, clusters on loopback, fault injection and measurements.

Usage:
  testbed backend --name NAME --gateways LIST [--pool POOL] [--models LIST] [--zone ZONE] [--capacity N]
                    [--port N] [--step S] [--notes FILE]
  testbed soak [--profile NAME] [--seed N] [--minutes M] [--keep PATH] [--faults LIST] [--level LEVEL]
                 [--together N]
  testbed soak --deployed [--seed N] [--seeds N] [--minutes M] [--keep PATH] [--machines LIST] [--root PATH]
                            [--abusive N]
  testbed bench [--profile NAME] [--seed N] [--rounds N] [--window S]
  testbed bench --promise LIST [--profile NAME] [--seed N] [--rounds N]
  testbed capacity [--series LIST] [--within M] [--cores N] [--keep PATH] [--picture FILE]
  testbed capacity --from LIST [--picture FILE]
  testbed capacity --inner
  testbed losses REPORT [--log FILE] [--worths LIST] [--picture FILE]
  testbed host
  testbed -h | --help

Options:
  --name NAME       The name of the stand-in engine.
  --gateways LIST     Gateways to announce to, as IP:PORT, separated by commas.
  --pool POOL       Its pool. [default: models]
  --models LIST     Models it serves, separated by commas. [default: ]
  --zone ZONE       Its zone. [default: zone-a]
  --capacity N      Maximum number of concurrent requests. [default: 8]
  --port N          Its port. [default: 0]
  --step S          Seconds between pieces. [default: 0.01]
  --notes FILE      File in which it records its runs.
  --profile NAME    periplous, maizes or small. [default: small]
  --seed N          Seed of the schedule of faults and of the load. [default: 1]
  --deployed        Runs the programs of the deploy file instead of gateways whose clients name a model. Seeds that are
                    divisible by 3 also kill processes and crash engines, the others have planned work only; even ones
                    have many clients, odd ones few.
  --seeds N         Number of seeds to run one after the other. [default: 1]
  --machines LIST   Numbers of controllers, storage nodes and gateways. [default: 3,3,6]
  --root PATH       Folder of the project whose programs are run, instead of this one.
  --abusive N       Number of clients at a time that use up memory and connections. [default: 12]
  --minutes M       Minutes during which faults are injected. [default: 2]
  --keep PATH       Keeps data and logs in this folder, or the points of a capacity run in this file.
  --faults LIST     Injects only these faults, separated by commas.
  --together N      Maximum number of concurrent faults. [default: 2]
  --rounds N        Number of pairs of windows to measure, or of injections of each fault. [default: 5]
  --promise LIST    leaving, edit, reading, result, ended, zone, back, repair; separated by commas, or all.
  --window S        Length of a window in seconds. [default: 6]
  --within M        Minutes after which no new point is started. [default: 20]
  --cores N         Maximum number of cores that clusters of lightweight nodes may use. [default: 3]
  --series LIST     Series of points, separated by commas. [default: all]
  --inner           Instead times single steps of gateway code at full size.
  --from LIST       Shows the points kept in these files, separated by commas, without measuring.
  --picture FILE    Draws the results into this file; needs the extra `capacity`.
  --log FILE        The log of the nodes on the day of the report.
  --worths LIST     The worth of one request by kind, as KIND=WORTH separated by commas; 1 for other kinds.
  --level LEVEL     Log level of the cluster. [default: info]
"""

from docopt import docopt

__all__ = ["main"]


def _usage(program: str) -> str:
    return (__doc__ or "").replace("testbed", program)


def main(argv: list[str] | None = None, program: str = "testbed") -> int:
    """Runs the command line and returns its exit status; its help shows the name of the program."""
    arguments = docopt(_usage(program), argv=argv)
    if arguments["--deployed"]:
        from .deployment.command import run_soaks

        return run_soaks(arguments)
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
    """Measures the cost per node with lightweight nodes; all series take about a quarter of an hour."""
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

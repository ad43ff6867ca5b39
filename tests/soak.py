"""Runs deployments under random faults, one run for each seed.

Usage:
  soak.py [--seeds=RANGE] [--seconds=S] [--jobs=N] [--times=N] [--logs=DIR]

Options:
  --seeds=RANGE  First and last seed [default: 1-10].
  --seconds=S    Duration of the faults in each run [default: 12].
  --jobs=N       Runs in parallel [default: 2].
  --times=N      Runs of each seed [default: 1].
  --logs=DIR     Where the logs of failed runs are kept [default: target/soak].
"""

import concurrent.futures
import os
import pathlib
import shutil
import sys

from docopt import docopt

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(ROOT),
    str(ROOT / "platform"),
    str(ROOT / "tests" / "features" / "steps"),
]

from soak_world import Soak  # noqa: E402


class Cleanups:
    """Collects cleanup functions in place of the scenario's context."""

    def __init__(self):
        self.cleanups = []

    def add_cleanup(self, function):
        self.cleanups.append(function)


def soak(seed, number, seconds, log_folder):
    """Run one seed; return its events, violations and outcome.

    The logs of its processes are kept if a promise was broken.
    """
    cleanups = Cleanups()
    world = Soak(cleanups, seed)
    try:
        world.run(seconds)
        if world.violations:
            shutil.copytree(
                world.folder.name,
                log_folder / f"seed-{seed}-{number}-{os.getpid()}",
            )
        return world.event_log, world.violations, world.outcome
    finally:
        for function in cleanups.cleanups:
            function()


def main():
    arguments = docopt(__doc__)
    first, _, last = arguments["--seeds"].partition("-")
    seeds = range(int(first), int(last or first) + 1)
    seconds = float(arguments["--seconds"])
    times = int(arguments["--times"])
    log_folder = pathlib.Path(arguments["--logs"])
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(
        int(arguments["--jobs"])
    ) as pool:
        runs = [
            (seed, pool.submit(soak, seed, number, seconds, log_folder))
            for seed in seeds
            for number in range(times)
        ]
        for seed, run in runs:
            event_log, violations, outcome = run.result()
            print(f"seed {seed}: {outcome}")
            failed += bool(violations)
            for line in (*event_log, *violations) if violations else ():
                print(f"  {line}")
            sys.stdout.flush()
    print(f"{len(runs) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())

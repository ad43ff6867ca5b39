"""Runs deployments under random faults, one run for each seed.

Usage:
  soak.py [--seeds=RANGE] [--seconds=S] [--jobs=N]

Options:
  --seeds=RANGE  First and last seed [default: 1-10].
  --seconds=S    Duration of the faults in each run [default: 12].
  --jobs=N       Runs in parallel [default: 2].
"""

import concurrent.futures
import os
import pathlib
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


def soak(seed, seconds):
    """Run one seed; return its events, violations and outcome."""
    cleanups = Cleanups()
    world = Soak(cleanups, seed)
    try:
        world.run(seconds)
        return world.event_log, world.violations, world.outcome
    finally:
        for function in cleanups.cleanups:
            function()


def main():
    arguments = docopt(__doc__)
    first, _, last = arguments["--seeds"].partition("-")
    seeds = range(int(first), int(last or first) + 1)
    seconds = float(arguments["--seconds"])
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(
        int(arguments["--jobs"])
    ) as pool:
        runs = {seed: pool.submit(soak, seed, seconds) for seed in seeds}
        for seed, run in runs.items():
            event_log, violations, outcome = run.result()
            print(f"seed {seed}: {outcome}")
            failed += bool(violations)
            for line in (*event_log, *violations) if violations else ():
                print(f"  {line}")
            sys.stdout.flush()
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())

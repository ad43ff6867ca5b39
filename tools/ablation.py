"""Measures what each mechanism is worth, by switching it off on its own.

Usage:
  ablation.py list
  ablation.py check
  ablation.py play --play=COMMAND --figure=REGEX --out=DIR [--seeds=LIST]
              [--jobs=COUNT] [--build=COMMAND] [MECHANISM...]

`play` copies the committed tree into DIR once for each mechanism, applies its
patch, and runs a shell command there for each seed; the tree that is not
patched is the control. It prints a table and writes it to DIR/ablation.json.
Trees and outputs stay in DIR; a play whose output is there is not repeated.

Options:
  --play=COMMAND   Shell command of one play; {seed} stands for the seed.
  --figure=REGEX   Its first group is the figure in the output of a play; the
                   last match counts.
  --out=DIR        Folder of the trees and the outputs.
  --seeds=LIST     Seeds, separated by commas [default: 1,2,3].
  --jobs=COUNT     Plays at a time [default: 1].
  --build=COMMAND  Shell command that is run once in each tree before.

A difference from the control that is smaller than the control's own spread
over the seeds is shown as none. An unknown mechanism, a command that cannot
be run and an output without a figure are errors; all other plays go on.
"""

from collections.abc import Sequence
import concurrent.futures
import dataclasses
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile

from ablation_patches import MECHANISMS
from docopt import docopt

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROL = "control"
# The tree may be of a commit that no branch has.
CLONE = ("git", "-c", "advice.detachedHead=false", "clone", "--quiet")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What is played.

    Attributes
    ----------
    command, build : str
        Shell commands of a play, and of what precedes it in each tree.
    figure : re.Pattern
    out : pathlib.Path
    """

    command: str
    build: str
    figure: re.Pattern[str]
    out: pathlib.Path

    def make_tree(self, name: str) -> pathlib.Path:
        """Return the tree without a mechanism, copied if it is not there."""
        tree = self.out / "trees" / name
        if tree.exists():
            return tree
        copy_tree(tree)
        for patch in MECHANISMS.get(name, ()):
            patch.apply(tree)
        if self.build:
            subprocess.run(self.build, shell=True, cwd=tree, check=True)
        return tree

    def play(self, name: str, seed: str) -> float | str:
        """Return the figure of one play, or what is wrong with it."""
        output = self.out / f"{name}-{seed}.txt"
        if not output.exists():
            completed = subprocess.run(
                self.command.replace("{seed}", seed),
                shell=True,
                cwd=self.make_tree(name),
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            if completed.returncode != 0:
                failed = output.with_suffix(".failed")
                failed.write_bytes(completed.stdout)
                return f"status {completed.returncode}, see {failed}"
            output.write_bytes(completed.stdout)
        text = output.read_text(errors="replace")
        found = self.figure.findall(text)
        if not found:
            return f"no figure in {output}"
        return float(found[-1])


def copy_tree(tree: pathlib.Path) -> None:
    """Clone the committed tree."""
    tree.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run([*CLONE, ROOT, tree], check=True)


def check_patches() -> int:
    """Apply all patches to the tree as it is; return how many don't fit."""
    failed = 0
    for name, patches in MECHANISMS.items():
        with tempfile.TemporaryDirectory() as folder:
            for patch in patches:
                copy = pathlib.Path(folder) / patch.path
                copy.parent.mkdir(parents=True, exist_ok=True)
                copy.write_text((ROOT / patch.path).read_text())
                try:
                    patch.apply(pathlib.Path(folder))
                except ValueError as error:
                    failed += 1
                    print(f"{name}: {error}", file=sys.stderr)
    return failed


def describe(
    name: str, figures: Sequence[float], control: Sequence[float]
) -> str:
    """Return the row of a mechanism in the table."""
    if not figures:
        return f"{name:32} no figure"
    shown = " ".join(f"{figure:8.3f}" for figure in figures)
    mean = statistics.mean(figures)
    row = f"{name:32} {shown}  mean {mean:.3f}"
    if name == CONTROL or not control:
        return row
    worth = statistics.mean(control) - mean
    spread = max(control) - min(control)
    verdict = f"{worth:+.3f}" if abs(worth) > spread else "none"
    return f"{row}  worth {worth:+.3f}, beyond the spread: {verdict}"


def play(plan: Plan, names: list[str], seeds: list[str], jobs: int) -> int:
    """Play all mechanisms and print the table; return the exit status."""
    for name in names:
        plan.make_tree(name)
    errors = 0
    figures: dict[str, list[float]] = {name: [] for name in names}
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        plays = {
            (name, seed): pool.submit(plan.play, name, seed)
            for seed in seeds
            for name in names
        }
        for (name, seed), future in plays.items():
            result = future.result()
            if isinstance(result, str):
                errors += 1
                print(f"{name}, seed {seed}: {result}", file=sys.stderr)
            else:
                figures[name].append(result)
    for name in names:
        print(describe(name, figures[name], figures[CONTROL]))
    (plan.out / "ablation.json").write_text(json.dumps(figures, indent=1))
    return 1 if errors else 0


def main() -> int:
    """Run the command line."""
    arguments = docopt(__doc__)
    if arguments["list"]:
        print("\n".join(MECHANISMS))
        return 0
    if arguments["check"]:
        return 1 if check_patches() else 0
    names = arguments["MECHANISM"] or list(MECHANISMS)
    unknown = [name for name in names if name not in MECHANISMS]
    if unknown:
        print(
            f"unknown: {', '.join(unknown)}; known: {', '.join(MECHANISMS)}",
            file=sys.stderr,
        )
        return 2
    try:
        figure = re.compile(arguments["--figure"], re.MULTILINE)
    except re.error as error:
        print(f'"{arguments["--figure"]}": {error}', file=sys.stderr)
        return 2
    plan = Plan(
        command=arguments["--play"],
        build=arguments["--build"] or "",
        figure=figure,
        out=pathlib.Path(arguments["--out"]).resolve(),
    )
    seeds = arguments["--seeds"].split(",")
    return play(plan, [CONTROL, *names], seeds, int(arguments["--jobs"]))


if __name__ == "__main__":
    sys.exit(main())

"""Runs the features in parallel and counts passed and failed scenarios.

A failed scenario that KNOWN-RED.txt lists is printed, but doesn't make the
run fail.
"""

from collections.abc import Iterable
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test:"
FEATURE_SUFFIX = ".feature"
# Scenarios start processes and wait for them; more than three features at a
# time would wait for processors on a machine with four.
PARALLEL_FEATURES = 3
LONGEST_FEATURES = (
    "safety",
    "guards",
    "direct_world",
    "takeover",
    "measures",
    "soak",
)


def known_failures() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }


def scenarios(report: pathlib.Path) -> Iterable[tuple[str, str]]:
    """Yield the name and the status of each scenario in a report."""
    features: list[dict[str, Any]] = json.loads(report.read_text())
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                yield element["name"], element["status"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FeatureRun:
    """Results of the scenarios of one feature.

    Attributes
    ----------
    output : str
        Printed output and errors of the test runner.
    results : list of (str, str)
        Name and status of each scenario.
    runner_failed : bool
        Whether the test runner failed although no scenario failed.
    """

    output: str
    results: list[tuple[str, str]]
    runner_failed: bool


def run_feature(feature: pathlib.Path) -> FeatureRun:
    """Run the scenarios of one feature in a separate process."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        # The outfile belongs to the first format; the second one has none and
        # writes to standard output.
        command = [
            sys.executable,
            "-m",
            "behave",
            "--format=json",
            f"--outfile={report}",
            "--format=progress3",
            *options(),
            str(feature),
        ]
        finished = subprocess.run(
            command, cwd=ROOT, check=False, capture_output=True, text=True
        )
        results = list(scenarios(report)) if report.exists() else []
    results = [result for result in results if is_selected(result)]
    failed = any(status != "passed" for _, status in results)
    return FeatureRun(
        output=finished.stdout + finished.stderr,
        results=results,
        runner_failed=finished.returncode != 0 and not failed,
    )


def options() -> list[str]:
    """Return the arguments that are passed on to behave."""
    return [
        argument
        for argument in sys.argv[1:]
        if not argument.endswith(FEATURE_SUFFIX)
    ]


def is_selected(result: tuple[str, str]) -> bool:
    """Whether a scenario is counted.

    A skipped scenario is left out only if behave got options, which may
    deselect it. Without options it has skipped itself and counts as failed.
    """
    return not options() or result[1] != "skipped"


def features() -> list[pathlib.Path]:
    """Return the features named as arguments, or all, longest first."""
    named = [
        argument
        for argument in sys.argv[1:]
        if argument.endswith(FEATURE_SUFFIX)
    ]
    if named:
        return [pathlib.Path(argument) for argument in named]
    found = sorted((ROOT / "tests" / "features").glob("*.feature"))
    return sorted(found, key=lambda path: path.stem not in LONGEST_FEATURES)


def main() -> int:
    """Run the tests; return 0 unless a scenario fails unexpectedly."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        runs = []
        for run in pool.map(run_feature, features()):
            print(run.output)
            sys.stdout.flush()
            runs.append(run)
    results = [result for run in runs for result in run.results]
    expected = known_failures()
    failed = [name for name, status in results if status != "passed"]
    unexpected_failures = [name for name in failed if name not in expected]
    for name in failed:
        kind = "KNOWN RED" if name in expected else "FAILED"
        print(f"{kind}: {name}")
    broken = any(run.runner_failed for run in runs)
    if broken or not results:
        print("the test runner failed or ran no scenario")
    passed = len(results) - len(failed)
    print(f"{passed} passed, {len(unexpected_failures)} failed")
    return 1 if unexpected_failures or broken or not results else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs all scenarios and closes with a line that counts them.

A failed scenario that KNOWN-RED.txt names is printed and passed over.
"""

from collections.abc import Iterable
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }


def scenarios(report: pathlib.Path) -> Iterable[tuple[str, str]]:
    """Yield the name and the status of each scenario in a report."""
    features: list[dict[str, Any]] = json.loads(report.read_text())
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                yield element["name"], element["status"]


def main() -> int:
    """Run the tests; return 0 unless a scenario fails unexpectedly."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        # The only outfile goes to the first format; the second one prints.
        command = [
            sys.executable,
            "-m",
            "behave",
            "--format=json",
            f"--outfile={report}",
            "--format=progress3",
            *sys.argv[1:],
        ]
        finished = subprocess.run(command, cwd=ROOT, check=False)
        results = list(scenarios(report)) if report.exists() else []
    expected = known_red()
    failed = [name for name, status in results if status != "passed"]
    surprises = [name for name in failed if name not in expected]
    for name in failed:
        kind = "KNOWN RED" if name in expected else "FAILED"
        print(f"{kind}: {name}")
    broken = finished.returncode != 0 and not failed
    if broken or not results:
        print("the test runner broke off")
    passed = len(results) - len(failed)
    print(f"{passed} passed, {len(surprises)} failed")
    return 1 if surprises or broken or not results else 0


if __name__ == "__main__":
    sys.exit(main())

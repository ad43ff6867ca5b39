"""Measures the system and the naive version under the same load.

Usage:
  experiment.py [--cases=NAMES] [--also=NAME=TREE] [--trial=FOLDER]
                [EXPERIMENT]

Options:
  --cases=NAMES     Only these cases, separated by commas.
  --also=NAME=TREE  Also measure the version in the checkout TREE, as NAME.
  --trial=FOLDER    Write the results to this folder instead of docs/.

The default EXPERIMENT file is tools/measures.json. The results go to
docs/measures.json, docs/measures.svg and the table in docs/measures.md.
"""

import datetime
import json
import os
import pathlib
import subprocess
import sys
import threading
import time
from typing import Any

from deployment import Deployment
from deployment import ROOT
import docopt
from measures_page import write_page

NAIVE = "naive"
SYSTEM = "egretcart"
RUN_TIMEOUT_S = 120

Document = dict[str, Any]


def commit() -> str:
    """Return the checked out commit, marked dirty if files have changed."""
    command = ["git", "describe", "--always", "--dirty"]
    found = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    return found.stdout.strip() or "unknown"


def example_name(experiment: Document, case: Document) -> str:
    """Return the name of the example that a case runs."""
    return str(case.get("example") or experiment["example"])


class Case:
    """One case of an experiment, run with one version.

    Parameters
    ----------
    experiment, case : dict
        The whole experiment file, and the entry for this case in it.
    system : str
        `NAIVE`, `SYSTEM` or the name of another version.
    checkout : pathlib.Path
        Checkout of the repository that the version's processes run from.
    """

    def __init__(
        self,
        *,
        experiment: Document,
        case: Document,
        system: str,
        checkout: pathlib.Path,
    ) -> None:
        self.experiment = experiment
        self.case = case
        self.system = system
        example = ROOT / "examples" / example_name(experiment, case)
        self.deployment = Deployment(example, checkout=checkout)

    def run(self) -> Document:
        """Start a deployment, run the load and return the load report."""
        deployment = self.deployment
        try:
            deployment.start_backends()
            if self.system == NAIVE:
                deployment.start_naive()
            else:
                deployment.start_system()
            for change in self.case.get("before", ()):
                self._apply_change(change)
            return self._load()
        finally:
            deployment.close()

    def _load(self) -> Document:
        deployment = self.deployment
        profile = (
            deployment.profile
            | self.experiment["profile"]
            | self.case.get("profile", {})
        )
        path = deployment.work_path / "profile.json"
        path.write_text(json.dumps(profile))
        with subprocess.Popen(
            [sys.executable, "-m", "egretcart", "load", path, "--json"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        ) as load:
            output, errors = self._wait(load)
        if not output:
            raise RuntimeError(errors[-2000:])
        report: Document = json.loads(output)
        return report

    def _wait(self, load: "subprocess.Popen[str]") -> tuple[str, str]:
        """Apply the case's timed changes; return output and errors of load."""
        assert load.stderr is not None
        # The first progress line is printed when the first job is due.
        first = load.stderr.readline()
        stopped = threading.Event()
        changes = threading.Thread(
            target=self._apply_changes_on_time, args=[stopped]
        )
        changes.start()
        try:
            output, errors = load.communicate(timeout=RUN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            load.kill()
            raise
        finally:
            stopped.set()
            changes.join()
        return output, first + errors

    def _apply_changes_on_time(self, stopped: threading.Event) -> None:
        began = time.monotonic()
        for change in self.case.get("during", ()):
            due = began + change["at_s"]
            if stopped.wait(max(0.0, due - time.monotonic())):
                return
            self._apply_change(change)

    def _apply_change(self, change: Document) -> None:
        """Change the behaviour of backend servers, or kill them.

        A change with "lost" set kills the whole worker: the backend server
        and its agent.
        """
        for number in change["backends"]:
            if not change.get("lost"):
                self.deployment.control(number, **change["behaviour"])
                continue
            self.deployment.backends[number].kill()
            if self.deployment.agents:
                self.deployment.agents[number].kill()


def run_case(**parameters: Any) -> Document:
    """Return the result of a case: its report, or its error if it failed."""
    load_average = os.getloadavg()[0]
    result: Document = {
        "case": parameters["case"]["name"],
        "system": parameters["system"],
        "load_average": round(load_average, 2),
    }
    try:
        result["report"] = Case(**parameters).run()
    except (OSError, RuntimeError, subprocess.TimeoutExpired) as error:
        result["error"] = str(error)
    return result


def show(result: Document) -> None:
    """Print a summary of one result on a line."""
    report = result.get("report")
    summary = result.get("error", "")
    if report is not None:
        ratio = report["ratio_large_jobs"]
        summary = (
            f"{report['outcomes']} p50 {ratio['p50']:.2f} "
            f"p99 {ratio['p99']:.2f} wasted {report['wasted_share']:.2%}"
        )
    print(f"{result['case']:<14} {result['system']:<10} {summary}", flush=True)


def main() -> int:
    """Run all cases and write the results; return 0 if none failed."""
    options = docopt.docopt(__doc__)
    file = options["EXPERIMENT"] or ROOT / "tools" / "measures.json"
    experiment = json.loads(pathlib.Path(file).read_text())
    checkout_by_system = {SYSTEM: ROOT, NAIVE: ROOT}
    if options["--also"]:
        name, _, checkout = options["--also"].partition("=")
        checkout_by_system[name] = pathlib.Path(checkout)
    selected = options["--cases"].split(",") if options["--cases"] else None
    results = []
    examples = set()
    for case in experiment["cases"]:
        if selected is not None and case["name"] not in selected:
            continue
        examples.add(example_name(experiment, case))
        for system, checkout in checkout_by_system.items():
            result = run_case(
                experiment=experiment,
                case=case,
                system=system,
                checkout=checkout,
            )
            results.append(result)
            show(result)
    document = {
        "commit": commit(),
        "date": datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d"),
        "processors": os.cpu_count(),
        "examples": sorted(examples),
        "results": results,
    }
    folder = pathlib.Path(options["--trial"] or ROOT / "docs")
    write_page(document, folder)
    return 1 if any("error" in result for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())

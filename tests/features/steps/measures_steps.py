import json
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from measures_page import BEGIN  # noqa: E402
from measures_page import END  # noqa: E402
from measures_page import results_table  # noqa: E402
from measures_page import write_page  # noqa: E402

RUN_TIMEOUT_S = 100
EXPERIMENT = {
    "example": "snapcheck",
    "profile": {"tasks": 200, "duration_s": 1, "idempotent": True},
    "cases": [
        {
            "name": "short",
            "during": [
                {
                    "at_s": 0,
                    "backends": [3],
                    "behaviour": {"black_hole": True},
                }
            ],
        }
    ],
}


@when("an experiment of one short case is run as a trial")
def run_experiment(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    path = context.folder / "experiment.json"
    path.write_text(json.dumps(EXPERIMENT))
    subprocess.run(
        [
            sys.executable,
            ROOT / "tools" / "experiment.py",
            f"--trial={context.folder}",
            path,
        ],
        cwd=ROOT,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    context.results = json.loads(
        (context.folder / "measures.json").read_text()
    )


@then("its results hold a report of each version")
def check_results(context):
    reports = {r["system"]: r["report"] for r in context.results["results"]}
    assert set(reports) == {"egretcart", "naive"}
    for report in reports.values():
        assert sum(report["outcomes"].values()) == report["jobs"]
        assert report["tasks"] == 200
    assert reports["naive"]["wasted"]["retry"] > 0
    # Only the naive version sends no control messages.
    assert reports["egretcart"]["control_messages"] > 0
    assert reports["naive"]["control_messages"] == 0


@then("the page's table has a row for each and can be written again")
def check_page(context):
    page = context.folder / "measures.md"
    plot = (context.folder / "measures.svg").read_bytes()
    first = page.read_text()
    assert first.count("| short |") == 2
    page.write_text(f"before\n{first}after\n")
    write_page(context.results, context.folder)
    assert page.read_text() == f"before\n{first}after\n"
    assert (context.folder / "measures.svg").read_bytes() == plot
    assert first.count(BEGIN) == first.count(END) == 1


@then("a case that did not run has a row that says so")
def check_broken_case(context):
    broken = {"case": "c", "system": "s", "error": "no port"}
    table = results_table({"results": [broken]})
    assert "| c | s | did not run |" in table

import json
import pathlib
import subprocess
import sys

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]


@when("the embedding example is run")
def run_example(context):
    context.output = subprocess.run(
        [sys.executable, "examples/embedding.py"],
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    ).stdout


@then("it prints the whole answer in task order")
def check_output(context):
    answer = json.loads(context.output)
    assert answer["state"] == "complete"
    assert answer["results"] == [{"length": n} for n in (1, 2, 3)]

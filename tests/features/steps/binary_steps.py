import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]
BINARY = ROOT / "dist" / "egretcart"
BUILD_TIMEOUT_S = 200
RUN_TIMEOUT_S = 60
# Runs a program and prints each process that it starts to standard error.
AUDIT_SCRIPT = """
import runpy
import sys

STARTS = ("os.exec", "os.fork", "os.posix_spawn", "os.system",
          "subprocess.Popen", "os.forkpty")

def hook(event, arguments):
    if event in STARTS:
        print(event, arguments, file=sys.stderr)

sys.addaudithook(hook)
del sys.argv[0]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def check_output(output):
    answer, _, measures = output.partition("\n}\n")
    document = json.loads(answer + "}")
    expected = [{"echo": f"page-{n}"} for n in range(24)]
    assert document["results"] == expected
    lines = dict(
        line.split(maxsplit=1) for line in measures.split("\n") if line
    )
    starts = [int(lines[f"agent-{n}"].split()[0]) for n in range(3)]
    assert sum(starts) >= 24, measures
    assert "of the ideal" in lines["response"], measures
    assert "wasted" in lines["messages"], measures


@then("the demo prints the answer of 24 tasks and measures from counters")
def check_demo(context):
    finished = subprocess.run(
        [sys.executable, "-m", "egretcart", "demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    check_output(finished.stdout)


@when("the binary is built")
def build_binary(context):
    subprocess.run(
        [sys.executable, ROOT / "tools" / "build_binary.py"],
        cwd=ROOT,
        timeout=BUILD_TIMEOUT_S,
        check=True,
    )


def run_audited(program, *arguments, cwd):
    """Return a Python program's output and the processes it started."""
    finished = subprocess.run(
        [sys.executable, "-c", AUDIT_SCRIPT, program, *arguments],
        cwd=cwd,
        env={"PATH": os.environ["PATH"], "HOME": str(cwd)},
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return finished.stdout, finished.stderr


@then("its demo shows a whole answer and starts no process")
def check_binary_demo(context):
    with tempfile.TemporaryDirectory() as folder:
        for _ in ("unpacks itself", "is unpacked"):
            output, started = run_audited(str(BINARY), "demo", cwd=folder)
            check_output(output)
            assert not started, started


@then("it prints its usage")
def check_usage(context):
    finished = subprocess.run(
        [BINARY, "--help"],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    assert "egretcart load PROFILE" in finished.stdout

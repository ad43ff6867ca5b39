"""Steps for the build of the roles' libraries, with a stand-in for pip."""

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import tomllib

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIME_LIMIT_S = 120
BUILT_FOR = "built-for.txt"
# Installs links to the libraries that run the tests.
PIP_STAND_IN = """
import os
import pathlib
import sys

arguments = sys.argv[1:]
assert arguments[0] == "install" and "--require-hashes" in arguments
target = pathlib.Path(arguments[arguments.index("--target") + 1])
fault = os.environ["PIP_FAULT"]
with open(os.environ["PIP_CALLS"], "a") as calls:
    calls.write("called\\n")
target.mkdir(parents=True)
libraries = sorted(pathlib.Path(os.environ["LIBRARIES"]).iterdir())
for number, library in enumerate(libraries):
    if fault == "fails midway" and number == len(libraries) // 2:
        sys.exit(1)
    if library.name != "__pycache__" and library.name != fault:
        (target / library.name).symlink_to(library)
"""


class Checkout:
    """A copy of what the build needs, with a stand-in for pip.

    Attributes
    ----------
    libraries : pathlib.Path
        Folder that the build puts the libraries in.
    calls : int
        How often pip had been called before the last build.
    """

    def __init__(self, folder):
        self.root = folder / "checkout"
        self.libraries = self.root / "target" / "deps"
        self.calls_file = folder / "calls"
        self.calls_file.touch()
        self.calls = 0
        self.stand_in = folder / "stand-in"
        for name in ("egretcart", "platform", "requirements", "tools"):
            shutil.copytree(
                ROOT / name,
                self.root / name,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        pip = self.stand_in / "pip"
        pip.mkdir(parents=True)
        (pip / "__init__.py").touch()
        (pip / "__main__.py").write_text(PIP_STAND_IN)

    def build(self, fault="none"):
        process = self.start_build(fault)
        output, errors = process.communicate(timeout=TIME_LIMIT_S)
        return subprocess.CompletedProcess(
            process.args, process.returncode, output, errors
        )

    def start_build(self, fault="none"):
        self.calls = self.count_calls()
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
        return subprocess.Popen(
            ["sh", "-c", system["build"]],
            cwd=self.root,
            env={
                **os.environ,
                "PATH": path,
                "PYTHONPATH": str(self.stand_in),
                "PIP_CALLS": str(self.calls_file),
                "PIP_FAULT": fault,
                "LIBRARIES": sysconfig.get_path("platlib"),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def count_calls(self):
        return len(self.calls_file.read_text().splitlines())

    @property
    def built_for(self):
        return (self.libraries / BUILT_FOR).read_text()

    def write_built_for(self, text):
        (self.libraries / BUILT_FOR).write_text(text)


@given("a checkout whose folder for libraries {state}")
def make_checkout(context, state):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.checkout = checkout = Checkout(pathlib.Path(folder.name))
    if state == "is missing":
        return
    if state == "is newer and half finished":
        (checkout.libraries / "trio").mkdir(parents=True)
        return
    if state.startswith("is a "):
        make_no_folder(checkout, state)
        return
    assert checkout.build().returncode == 0
    _digest, abi, machine = checkout.built_for.split()
    if state == "is from this machine but lacks a file":
        (checkout.libraries / "msgspec").unlink()
    elif state == "lacks a library imported on demand":
        (checkout.libraries / "prometheus_client").unlink()
    else:
        former = {
            "is newer and from another machine": (machine, "linux-other"),
            "is newer and from another Python": (abi, "cpython-310-other"),
            "is newer and from other requirements": (_digest, "0" * 64),
        }[state]
        checkout.write_built_for(checkout.built_for.replace(*former))


def make_no_folder(checkout, state):
    """Put a link or a file in the place of the folder."""
    checkout.libraries.parent.mkdir()
    if state == "is a file":
        checkout.libraries.touch()
        return
    other = checkout.root / "other"
    if state == "is a link to another folder":
        other.mkdir()
    checkout.libraries.symlink_to(other)


@when("the build command of the deploy file runs twice at a time")
def run_two_builds(context):
    builds = [context.checkout.start_build() for _ in range(2)]
    context.results = [
        (build.communicate(timeout=TIME_LIMIT_S), build.returncode)
        for build in builds
    ]


@then("both succeed, and the libraries were installed once")
def check_two_builds(context):
    assert [status for _, status in context.results] == [0, 0], context.results
    assert context.checkout.count_calls() == 1


@when("the build command of the deploy file runs")
@when("the build command of the deploy file runs again")
def run_build(context):
    context.completed = context.checkout.build()


@when("the build command of the deploy file runs and pip fails midway")
def run_failing_build(context):
    context.completed = context.checkout.build("fails midway")


@when("the build command of the deploy file runs and a library is broken")
def run_broken_build(context):
    context.completed = context.checkout.build("msgspec")


@then("it succeeds and has installed the libraries")
def check_installed(context):
    checkout = context.checkout
    assert context.completed.returncode == 0, context.completed.stderr
    assert checkout.count_calls() == checkout.calls + 1, "pip was not called"
    assert (checkout.libraries / "msgspec").exists()


@then("it succeeds and has installed nothing")
def check_nothing_installed(context):
    checkout = context.checkout
    assert context.completed.returncode == 0, context.completed.stderr
    assert checkout.count_calls() == checkout.calls


@then("it fails")
def check_failed(context):
    assert context.completed.returncode != 0, context.completed.stdout
    assert "the build failed" in context.completed.stderr

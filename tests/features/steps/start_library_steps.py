"""Steps for the libraries that a role finds at its start."""

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tempfile

from behave import given
from behave import then
from behave import when
from platform_deployment import wait_until

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIME_LIMIT_S = 60


@given("a checkout with the libraries of the build")
def make_built_checkout(context):
    libraries = make_checkout(context)
    libraries.parent.mkdir()
    libraries.symlink_to(sysconfig.get_path("platlib"))


@given("a checkout with no libraries")
def make_unbuilt_checkout(context):
    make_checkout(context)


@given("a checkout with a library that is from another machine")
def make_foreign_checkout(context):
    libraries = make_checkout(context)
    libraries.mkdir(parents=True)
    for library in pathlib.Path(sysconfig.get_path("platlib")).iterdir():
        if library.name != "msgspec":
            (libraries / library.name).symlink_to(library)
        else:
            shutil.copytree(
                library,
                libraries / library.name,
                ignore=shutil.ignore_patterns("*.so"),
            )


def make_checkout(context):
    """Copy the roles; return the folder for their libraries."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.root = pathlib.Path(folder.name)
    for name in ("egretcart", "platform"):
        shutil.copytree(ROOT / name, context.root / name)
    return context.root / "target" / "deps"


@when("the {role} role starts with no other libraries and no PYTHONPATH")
def start_role(context, role):
    settings = context.root / "settings.json"
    run_role(context, role, {"EGRETCART_CONFIG": str(settings)})


@when("the entry role starts without EGRETCART_CONFIG")
def start_without_settings(context):
    run_role(context, "entry", {})


def run_role(context, role, variables):
    """Start a role whose settings file is missing."""
    context.output = context.root / "output.txt"
    with context.output.open("w") as output:
        context.process = subprocess.Popen(
            [sys.executable, "-S", "platform", role],
            cwd=context.root,
            env={"PATH": os.environ["PATH"], **variables},
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


@then("it has imported its modules")
def check_imported(context):
    wait_until(
        lambda: "settings.json" in context.output.read_text(),
        TIME_LIMIT_S,
        "the settings file is named",
    )


@then(
    'it ends with status {status:d} and one line that names "{missing}" and'
    " the build"
)
def check_build_named(context, status, missing):
    check_line(context, status, missing)
    assert "tools/build_libraries.py" in context.output.read_text()


@then('it ends with status {status:d} and one line that names "{missing}"')
def check_line(context, status, missing):
    assert context.process.wait(TIME_LIMIT_S) == status
    (line,) = context.output.read_text().splitlines()
    assert missing in line, line

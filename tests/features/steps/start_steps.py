"""Steps for the modules that a role imports at its start."""

import os
import pathlib
import subprocess
import sys

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIME_LIMIT_S = 60
IMPORT_ROLE = """
import sys
import adapter.main
import adapter.{role}_role
print(*sys.modules, sep="\\n")
"""


@when("a fresh interpreter imports the modules of the {role} role")
def import_role(context, role):
    path = os.pathsep.join((str(ROOT / "platform"), str(ROOT)))
    output = subprocess.run(
        [sys.executable, "-c", IMPORT_ROLE.format(role=role)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
        check=True,
    ).stdout
    context.imported = output.splitlines()
    assert f"adapter.{role}_role" in context.imported


@then("no module of these is imported: {modules}")
def check_modules(context, modules):
    for name in modules.split(", "):
        found = [
            module
            for module in context.imported
            if module == name or module.startswith(f"{name}.")
        ]
        assert not found, f"imported: {', '.join(found)}"

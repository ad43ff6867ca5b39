"""Steps for the modules that a role imports at its start."""

import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import types

from behave import given
from behave import then
from behave import when
from settings_documents import SETTINGS
import trio

from egretcart.connection.http_server import HttpRequest
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.process.reload import SettingsWatcher
from egretcart.direct.process.settings import DirectEntrySettings
from egretcart.direct.process.settings import load_direct_settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.client_handlers import ClientRequestHandler  # noqa: E402

TIME_LIMIT_S = 60
IMPORT_ROLE = """
import sys
import ply.lex
ply.lex.lex = lambda: print("a parser is built", file=sys.stderr)
import adapter.main
import adapter.{role}_role
print(*sys.modules, sep="\\n")
"""
# Runs the command line with a module in place of that of the role.
RUN_STAND_IN = """
import gc
import runpy
import signal
import sys

PROCESS_EVENTS = ("subprocess.Popen", "os.fork", "os.posix_spawn", "os.exec")

def report_process(event, arguments):
    if event in PROCESS_EVENTS:
        print(event, arguments, file=sys.stderr)

sys.addaudithook(report_process)

class StandIn:
    @property
    def run_entry(self):
        print(gc.isenabled())
        signal.raise_signal(signal.SIGHUP)
        return self.run

    async def run(self, path):
        print(gc.isenabled(), gc.get_freeze_count() > 0)

sys.modules["adapter.entry_role"] = StandIn()
sys.argv = ["platform", "entry"]
runpy.run_path("platform", run_name="__main__")
"""


def run_python(program):
    path = os.pathsep.join((str(ROOT / "platform"), str(ROOT)))
    completed = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={
            **os.environ,
            "PYTHONPATH": path,
            "EGRETCART_CONFIG": "not read by a stand-in",
        },
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
    )
    assert completed.returncode == 0, completed.stderr
    return completed


@when("a fresh interpreter imports the modules of the {role} role")
def import_role(context, role):
    completed = run_python(IMPORT_ROLE.format(role=role))
    context.imported = completed.stdout.splitlines()
    context.errors = completed.stderr
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


@then("it has parsed no IDL file")
def check_parsed(context):
    assert not context.errors, context.errors


@when("the command line of the platform starts a stand-in for a role")
def start_stand_in(context):
    context.completed = run_python(RUN_STAND_IN)


@then("the garbage collector was disabled for its imports and runs with it")
def check_collector(context):
    assert context.completed.stdout.splitlines() == ["False", "True True"]


@then("a signal that the settings have changed did not end it")
def check_signal(context):
    assert context.completed.stdout.endswith("True True\n")


@given("settings that change after a role was started with them")
def change_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    started = load_direct_settings(path, DirectEntrySettings).unwrap()
    path.write_text(json.dumps(SETTINGS | {"seeds": ["127.0.0.1:9"]}))
    context.applied = []
    context.log = RecordingLog()
    context.watcher = SettingsWatcher(
        path=path,
        settings=started,
        on_change=context.applied.append,
        log=context.log,
    )


@when("the settings are checked twice")
def check_settings_twice(context):
    context.watcher.reload_if_changed()
    context.watcher.reload_if_changed()


@then("the change is applied once")
def check_applied_once(context):
    (applied,) = context.applied
    assert applied.seeds == ("127.0.0.1:9",)
    assert len(context.log.decisions) == 1


@then("no other process was started")
def check_processes(context):
    assert not context.completed.stderr, context.completed.stderr


class RecordingLog:
    def __init__(self):
        self.decisions = []

    def write(self, decision):
        self.decisions.append(decision)


@given("an entry that has started and knows no configuration")
def start_entry(context):
    context.log = RecordingLog()
    entry = DirectEntry(
        entry_id="entry-1",
        limits=DirectEntryLimits(),
        log=context.log,
        source=random.Random(1),
    )
    entry.tick(1.0)
    context.handler = ClientRequestHandler(
        process=types.SimpleNamespace(entry=entry)
    )


@when('a caller submits job "{job_id}", asks for it and cancels it')
def send_requests(context, job_id):
    context.responses = [
        trio.run(
            context.handler.handle,
            HttpRequest(
                method=method, path=f"/any/{job_id}", headers={}, body=b""
            ),
        )
        for method in ("POST", "GET", "DELETE")
    ]


@then(
    "each request gets status {status:d} and is to be repeated after"
    " {retry_s:d} s"
)
def check_responses(context, status, retry_s):
    for response in context.responses:
        assert response.status == status, response
        assert response.retry_after_s == retry_s, response


@then('the log has one line, that job "{job_id}" was refused for it')
def check_refusal(context, job_id):
    (decision,) = context.log.decisions
    assert type(decision).__name__ == "JobRefused"
    assert decision.job_id == job_id
    assert decision.cause == "no configuration is known yet"

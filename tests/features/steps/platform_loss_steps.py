"""Steps with a platform whose answers are lost, in separate processes."""

import json
import os
import pathlib
import subprocess
import sys
import time

from behave import then
from behave import when
from fault_steps import check_version
from processes import eventually
from processes import HOST
from processes import request
from processes import ROOT

APPLY_LIMIT_S = 30
EXIT_UNDECIDED = 3


def lose_answer(context):
    """Make the platform drop the answer to the next transaction.

    The transaction takes effect.
    """
    port = context.deployment.platform.ready["port"]
    body = json.dumps({"lost_replies": 1})
    assert request(port, "PUT", "/control/faults", body)[0] == 200


def check_answer_lost(context):
    """Wait until the platform has dropped the answer."""
    port = context.deployment.platform.ready["port"]

    def is_lost():
        faults = request(port, "GET", "/control/faults")[2]
        return faults["lost_replies"] == 0

    eventually(is_lost, 10)


@when("an agent joins while the platform's next answer is lost")
def join(context):
    deployment = context.deployment
    backend = deployment.start_backend("backend-new")
    assert backend.ready
    lose_answer(context)
    agent = deployment.start_agent("agent-new", backend)
    assert agent.ready
    deployment.backends.append(backend)
    deployment.agents.append(agent)
    check_answer_lost(context)


@when("a version is applied while the platform's next answer is lost")
def apply_version(context):
    deployment = context.deployment
    services = [{"name": "snapcheck"}, {"name": "service-new"}]
    document = {"version": 1, "services": services}
    path = pathlib.Path(deployment.folder.name) / "version-2.json"
    path.write_text(json.dumps(document))
    lose_answer(context)
    address = f"{HOST}:{deployment.platform.ready['port']}"
    command = [sys.executable, "-m", "egretcart", "apply", str(path)]
    options = ["--reason=test", "--yes", "--change=change-1"]
    context.applied = subprocess.run(
        [*command, *options, f"--platform={address}"],
        cwd=ROOT,
        env=dict(os.environ),
        capture_output=True,
        text=True,
        timeout=APPLY_LIMIT_S,
        check=False,
    )
    check_answer_lost(context)


@when("the platform is killed and a backend server takes its port")
def replace_platform(context):
    deployment = context.deployment
    listen = {"host": HOST, "port": deployment.platform.ready["port"]}
    deployment.platform.kill()
    deployment.platform.release()
    context.replacement = deployment.start(
        "replacement", ["standin", "backend"], {"listen": listen}
    )
    assert context.replacement.ready


@when("it was sent calls to the platform")
def wait_for_calls(context):
    deployment = context.deployment
    calls = len(deployment.entries)
    eventually(
        lambda: len(deployment.starts_at(context.replacement)) >= calls, 20
    )
    time.sleep(2)


@then("no entry has ended")
def check_running(context):
    ended = [e.name for e in context.deployment.entries if not e.runs]
    assert not ended, ended


@then("the change was accepted once")
def check_accepted(context):
    applied = context.applied
    assert applied.returncode == 0, applied.stdout + applied.stderr
    entry = context.deployment.running_entries()[0]
    path = "/v1/configuration/history"
    history = request(entry.ready["http_port"], "GET", path)[2]
    assert [item["version"] for item in history] == [2], history
    check_version(context, 2)


@then("the cell has {count:d} members")
def check_members(context, count):
    deployment = context.deployment

    def has_members():
        return any(
            cell["phase"] == "serving" and cell["members"] == count
            for entry in deployment.running_entries()
            for cell in deployment.status(entry)["leading"]
        )

    eventually(has_members, 10)

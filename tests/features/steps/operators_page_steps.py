import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
from processes import eventually
from processes import HOST
from processes import request
from processes import ROOT
from processes import RunningProcess

SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
PAGE_TIMEOUT_S = 120


@given("a platform and an entry without any configuration")
def start_empty(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    any_port = {"host": HOST, "port": 0}
    context.platform = RunningProcess(
        context.folder,
        "platform",
        ["standin", "platform"],
        {"listen": any_port},
    )
    context.add_cleanup(context.platform.kill)
    context.store = {"host": HOST, "port": context.platform.ready["port"]}
    settings = {
        "entry_id": "entry-0",
        "failure_domain": "kl-putra",
        "http": any_port,
        "peer": any_port,
        "platform": context.store,
    }
    entry = RunningProcess(context.folder, "entry", ["entry"], settings)
    context.add_cleanup(entry.kill)
    context.entry_port = entry.ready["http_port"]

    def registered():
        path = "/v1/processes"
        report = request(context.entry_port, "GET", path)[2]
        return report["platform"]["calls"] >= 6

    eventually(registered)


@when('all commands of the page "{page}" are run in order')
def run_page(context, page):
    folder = context.folder
    command = folder / "egretcart"
    command.write_text(
        f'#!/bin/sh\nexec "{sys.executable}" -m egretcart "$@"\n'
    )
    command.chmod(0o755)
    blocks = SHELL_BLOCK.findall((ROOT / page).read_text())
    script = "set -euxo pipefail\n" + "\n".join(blocks)
    environment = {
        **os.environ,
        "PATH": f"{folder}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
        "EGRETCART_PLATFORM": f"{HOST}:{context.store['port']}",
    }
    context.page_run = subprocess.run(
        ["bash", "-c", script],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=PAGE_TIMEOUT_S,
        check=False,
    )


@then("each command of the page succeeds")
def check_page(context):
    run = context.page_run
    assert run.returncode == 0, run.stdout + run.stderr


@then("the history lists the page's first document, its change and the undo")
def check_page_history(context):
    path = "/v1/configuration/history"
    history = request(context.entry_port, "GET", path)[2]
    documents = [
        request(
            context.entry_port,
            "GET",
            f"/v1/configuration/versions/{entry['version']}",
        )[2]
        for entry in history
    ]
    limits = [document["max_tasks_per_job"] for document in documents]
    assert limits[:3] == [2000, 500, 2000], limits
    assert [entry["version"] for entry in history] == [1, 2, 3, 4, 5]
    assert history[2]["why"] == "undo: jobs are fine again"
    drained = [document["drained"] for document in documents[2:]]
    assert drained == [[], ["agent-0"], []], drained


@then(
    "`check` reports invalid values of a configuration and of agents' settings"
)
def check_together(context):
    configuration = {
        "services": [{"name": "snapcheck", "backends": ["snap-*"]}],
        "teams": [{"name": "release", "slots": 9}],
    }
    # Its id matches no pattern of the service's backends.
    agent = {
        "agent_id": "muffa-1",
        "failure_domain": "kl-putra",
        "service": "snapcheck",
        "slots": 8,
        "connections": 64,
        "backend": {"host": HOST, "port": 1},
        "seeds": [{"host": HOST, "port": 2}],
    }
    # Its service is not configured, and it has no slots.
    lost = {**agent, "agent_id": "snap-1", "service": "snapchek", "slots": 0}
    files = {"c.json": configuration, "a.json": agent, "b.json": lost}
    with tempfile.TemporaryDirectory() as folder:
        for name, document in files.items():
            (pathlib.Path(folder) / name).write_text(json.dumps(document))
        done = subprocess.run(
            [sys.executable, "-m", "egretcart", "check", *files],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=PAGE_TIMEOUT_S,
            check=False,
        )
    assert done.returncode == 2, done.stdout
    for part in (
        "b.json: $.slots: found 0; accepted: Expected `int` >= 1",
        'a.json: $.agent_id: found "muffa-1"',
        "c.json: $.teams: found quotas of 9 slots in all",
    ):
        assert part in done.stdout, done.stdout + done.stderr

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from processes import eventually
from processes import HOST
from processes import ROOT
from processes import RunningProcess

from egretcart.request.identity import new_job_id

COMMAND_LIMIT_S = 60
OPERATORS_PATHS = (
    "/v1/configuration",
    "/v1/configuration/in-force",
    "/v1/configuration/history",
    "/v1/configuration/history/1",
    "/v1/configuration/versions/1",
    "/v1/processes",
    "/v1/status",
    "/metrics",
)


def status_of(port, method, path, body=None):
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


@given("a platform and an entry with an operators' address")
def start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = context.folder = pathlib.Path(folder.name)
    local = {"host": HOST, "port": 0}
    platform = RunningProcess(
        path, "platform", ["standin", "platform"], {"listen": local}
    )
    context.add_cleanup(platform.kill)
    context.store = f"{HOST}:{platform.ready['port']}"
    settings = {
        "entry_id": "entry-0",
        "failure_domain": "kl-putra",
        "http": local,
        "operators": local,
        "peer": local,
        "stop_grace_s": 0.1,
        "platform": {"host": HOST, "port": platform.ready["port"]},
    }
    context.entry = RunningProcess(path, "entry", ["entry"], settings)
    context.add_cleanup(context.entry.kill)
    context.callers = context.entry.ready["http_port"]
    context.operators = context.entry.ready["operator_port"]
    assert context.callers != context.operators


def job_path():
    return f"/v1/services/snapcheck/jobs/{new_job_id()}"


@then("the callers' address serves jobs and health alone")
def check_callers(context):
    for path in OPERATORS_PATHS:
        assert status_of(context.callers, "GET", path) == 404, path
    body = json.dumps({})
    path = "/v1/configuration"
    assert status_of(context.callers, "POST", path, body) == 404
    assert status_of(context.callers, "GET", "/healthz") == 200
    assert status_of(context.callers, "GET", "/readyz") == 503
    job = json.dumps({"tasks": [{"payload": 1}]})
    assert status_of(context.callers, "PUT", job_path(), job) == 503


@then("the operators' address serves reports, metrics and configuration alone")
def check_operators(context):
    for path in OPERATORS_PATHS:
        assert status_of(context.operators, "GET", path) == 200, path
    assert status_of(context.operators, "GET", "/healthz") == 200
    job = json.dumps({"tasks": [{"payload": 1}]})
    assert status_of(context.operators, "PUT", job_path(), job) == 404


@then("the commands find the operators' address through the store")
def check_commands(context):
    def run(*arguments):
        return subprocess.run(
            [sys.executable, "-m", "egretcart", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
            check=False,
        )

    def found():
        done = run("status", f"--platform={context.store}")
        return done.returncode == 0 and "entry entry-0" in done.stdout

    eventually(found)
    path = context.folder / "first.json"
    path.write_text(json.dumps({"services": [{"name": "snapcheck"}]}))
    done = run(
        "apply",
        str(path),
        "--reason=test",
        "--yes",
        f"--entry={HOST}:{context.operators}",
    )
    assert done.returncode == 0, done.stdout + done.stderr


@then("a planned stop ends both")
def check_stop(context):
    context.entry.signal(signal.SIGTERM)
    code, _ = context.entry.wait_stopped()
    assert code == 0, context.entry.log_path.read_text()

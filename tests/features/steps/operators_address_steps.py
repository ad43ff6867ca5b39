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

COMMAND_TIMEOUT_S = 60
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


def request_status(port, method, path, body=None):
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


@given("a platform and an entry with a separate address for operators")
def start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = context.folder = pathlib.Path(folder.name)
    any_port = {"host": HOST, "port": 0}
    platform = RunningProcess(
        path, "platform", ["standin", "platform"], {"listen": any_port}
    )
    context.add_cleanup(platform.kill)
    context.store = f"{HOST}:{platform.ready['port']}"
    settings = {
        "entry_id": "entry-0",
        "failure_domain": "kl-putra",
        "http": any_port,
        "operators": any_port,
        "peer": any_port,
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


@then("the callers' address serves only jobs and health")
def check_callers(context):
    for path in OPERATORS_PATHS:
        assert request_status(context.callers, "GET", path) == 404, path
    body = json.dumps({})
    path = "/v1/configuration"
    assert request_status(context.callers, "POST", path, body) == 404
    assert request_status(context.callers, "GET", "/healthz") == 200
    assert request_status(context.callers, "GET", "/readyz") == 503
    job = json.dumps({"tasks": [{"payload": 1}]})
    assert request_status(context.callers, "PUT", job_path(), job) == 503


@then(
    "the operators' address serves reports, metrics, configuration, not jobs"
)
def check_operators(context):
    for path in OPERATORS_PATHS:
        assert request_status(context.operators, "GET", path) == 200, path
    assert request_status(context.operators, "GET", "/healthz") == 200
    job = json.dumps({"tasks": [{"payload": 1}]})
    assert request_status(context.operators, "PUT", job_path(), job) == 404


@then("the commands read the operators' address from the store")
def check_commands(context):
    def run(*arguments):
        return subprocess.run(
            [sys.executable, "-m", "egretcart", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
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


@then("a graceful shutdown with both addresses open succeeds")
def check_stop(context):
    context.entry.signal(signal.SIGTERM)
    code, _ = context.entry.wait_stopped()
    assert code == 0, context.entry.log_path.read_text()

"""Steps for the lines that processes write when they start and end."""

import json
import os
import platform
import signal
import subprocess
import sys

from behave import given
from behave import then
from behave import when
from platform_deployment import Deployment
from platform_deployment import ROOT
from platform_deployment import wait_until

from egretcart.version.release import RELEASE

TIME_LIMIT_S = 30
START_LIMIT_S = 30
FAILING_PROCESS = """
import trio

from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.log_lines import JsonDecisionLog
from egretcart.direct.process.lifecycle import log_unhandled_errors
from egretcart.process.clock import SystemClock

log = JsonDecisionLog(process_id="entry-1", clock=SystemClock())
log_unhandled_errors(log)

async def run():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        await trio.sleep(0.05)
        for number in range({lines}):
            log.write(
                JobRefused(job_id=f"job-{{number}}", route="r", cause="test")
            )
        raise OSError(98, "Address already in use")

trio.run(run)
"""


@given("a process that logs its decisions")
def remember_process(context):
    context.program = FAILING_PROCESS


@when("it has written {lines:d} lines at once and then fails")
def run_failing(context, lines):
    context.expected = lines
    context.completed = subprocess.run(
        [sys.executable, "-c", context.program.format(lines=lines)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
    )
    assert context.completed.returncode == 1, context.completed


@then("the last line names the error and the place that has raised it")
def check_last_line(context):
    context.lines = [
        json.loads(line) for line in context.completed.stdout.splitlines()
    ]
    last = context.lines[-1]
    assert last["message_type"] == "egretcart:ProcessChanged", last
    assert last["state"] == "failed", last
    assert "[Errno 98] Address already in use at <string>:" in last["cause"]
    assert "Traceback" in context.completed.stderr


@then("no line is missing")
def check_all_lines(context):
    jobs = [line["job_id"] for line in context.lines[:-1]]
    assert jobs == [f"job-{n}" for n in range(context.expected)], jobs


@given("a deployment of the platform's roles")
def start_deployment(context):
    context.deployment = Deployment(context)
    for name in context.deployment.processes:
        wait_until(
            lambda name=name: (
                "ProcessStarted" in "".join(context.deployment.lines(name))
            ),
            START_LIMIT_S,
            f"{name} has started",
        )


@when('agent "{agent}" and entry "{entry}" are told to stop')
def stop_processes(context, agent, entry):
    context.names = (agent, entry)
    for name in context.names:
        context.deployment.processes[name].send_signal(signal.SIGTERM)


@then("each has ended with status {status:d}")
def check_status(context, status):
    for name in context.names:
        process = context.deployment.processes[name]
        assert process.wait(TIME_LIMIT_S) == status, name


@then("their first lines name release, Python, machine and process")
def check_first_lines(context):
    for name in context.names:
        started = [
            line
            for line in lines_of(context.deployment, name)
            if line["message_type"] == "egretcart:ProcessStarted"
        ]
        assert len(started) == 1, started
        assert started[0]["release"] == RELEASE
        assert started[0]["python"] == platform.python_version()
        assert started[0]["machine"] == platform.machine()
        assert started[0]["pid"] == context.deployment.processes[name].pid
        assert started[0]["cpu_ms"] > 0


@then("their last lines say that they have stopped")
def check_stopped(context):
    for name in context.names:
        last = lines_of(context.deployment, name)[-1]
        assert last["state"] == "stopped", last


def lines_of(deployment, name):
    return [json.loads(line) for line in deployment.lines(name)]

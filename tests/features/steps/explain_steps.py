import contextlib
import io
import json
import pathlib
import random
import tempfile

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from egretcart.direct.log.explain import explain
from egretcart.process.cli import main

FIRST, SECOND = "a" * 16, "b" * 16


def line(at, process, kind, job_id="", **fields):
    record = {
        "timestamp": at,
        "process": process,
        "message_type": f"egretcart:{kind}",
        **({"job_id": job_id} if job_id else {}),
        **fields,
    }
    return f" 1.2 {process} {json.dumps(record)}"


def lines():
    return [
        line(10.000, "entry-1", "JobAccepted", FIRST, tasks=1),
        line(10.001, "entry-1", "TasksPlaced", FIRST, run=1, agent="agent-1"),
        # This machine's clock is behind by two milliseconds.
        line(10.000, "agent-1", "RunStarted", FIRST, run=1),
        line(10.300, "agent-1", "BackendChanged", state="gone", cause="x"),
        line(10.310, "agent-1", "RunEnded", FIRST, run=1, ending="lost"),
        line(10.311, "entry-1", "TaskEndedAt", FIRST, run=1, ending="lost"),
        line(10.312, "entry-1", "TasksPlaced", FIRST, run=2, agent="agent-2"),
        line(10.313, "agent-2", "RunStarted", FIRST, run=2),
        line(10.900, "agent-2", "BackendChanged", state="gone", cause="y"),
        line(11.000, "entry-1", "JobRefused", FIRST, cause="waited in vain"),
        line(10.000, "entry-1", "JobAccepted", SECOND, tasks=1),
        line(10.002, "agent-1", "RunStarted", SECOND, run=1),
    ]


@given("the shuffled log lines of three processes about two jobs")
def make_lines(context):
    context.lines = lines()
    random.Random(1).shuffle(context.lines)


@then("the first job's lines are in causal order")
def check_order(context):
    context.job_history = explain(FIRST, context.lines)
    kinds = [text.split()[3] for text in context.job_history[:-1]]
    assert kinds == [
        "JobAccepted",
        "TasksPlaced",
        "RunStarted",
        "BackendChanged",
        "RunEnded",
        "TaskEndedAt",
        "TasksPlaced",
        "RunStarted",
        "JobRefused",
    ], kinds


@then("the loss of the backend server comes before the run that it ended")
def check_state_change(context):
    found = [text for text in context.job_history if "BackendChanged" in text]
    assert len(found) == 1
    assert "state=gone cause=x" in found[0]


@then("the last line names the decision that ended the job")
def check_summary(context):
    assert context.job_history[-1] == (
        "ended by JobRefused of entry-1: waited in vain"
    )


@then("the second job is reported as having no final decision")
def check_no_decision(context):
    job_history = explain(SECOND, context.lines)
    assert job_history[-1].startswith(
        "no decision ended it: the last line is Run"
    )


def run_command(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main(["explain", *arguments])
    return status, out.getvalue(), err.getvalue()


@then("the command prints the first job's history from two files")
def check_command(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    paths = []
    for number in range(2):
        path = pathlib.Path(context.folder.name) / f"{number}.log"
        path.write_text("\n".join(context.lines[number::2]) + "\n")
        paths.append(str(path))
    status, out, _ = run_command(FIRST, *paths)
    assert status == 0
    assert out.splitlines() == explain(FIRST, context.lines)
    context.paths = paths


@then("an unknown job and a missing file are errors")
def check_command_errors(context):
    status, _, err = run_command("c" * 16, *context.paths)
    assert (status, err.strip()) == (1, f'no line names job "{"c" * 16}"')
    status, _, err = run_command(FIRST, "/no/such/file")
    assert status == 2
    assert "/no/such/file" in err


@then("any texts among the log lines change nothing")
def check_noise(context):
    expected = explain(FIRST, lines())

    @hypothesis.given(strategies.lists(strategies.text(), max_size=5))
    def holds(noise):
        assert explain(FIRST, [*noise, *lines()]) == expected

    holds()

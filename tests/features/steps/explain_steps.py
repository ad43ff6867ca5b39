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
        "ended by JobRefused of entry-1: waited in vain; tasks were placed, "
        "and none was done"
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


def run_lines(placed_at, started_at, ended_at, *, number=1, waited_ms=0):
    """Return the lines of a run that ends as done, in seconds and order."""
    agent = f"agent-{number}"
    task = {"step": 0, "index": 0, "run": number}
    return [
        line(
            placed_at,
            "entry-1",
            "TasksPlaced",
            FIRST,
            step=0,
            indexes=[0],
            run=number,
            agent=agent,
        ),
        line(
            started_at, agent, "RunStarted", FIRST, **task, waited_ms=waited_ms
        ),
        line(
            ended_at,
            agent,
            "RunEnded",
            FIRST,
            **task,
            ending="done",
            run_ms=round((ended_at - started_at) * 1000),
        ),
    ]


def former_run(kind, **fields):
    """Return the lines of a run that ends at 10.15 s without a result."""
    task = {"step": 0, "index": 0, "run": 1}
    return [
        *run_lines(10.0, 10.0, 10.15)[:2],
        line(10.1, "entry-1", kind, FIRST, **task, agent="agent-1", **fields),
        line(
            10.15,
            "agent-1",
            "RunEnded",
            FIRST,
            **task,
            ending="lost",
            run_ms=1,
        ),
        *run_lines(10.15, 10.15, 10.25, number=2),
    ]


def answered(elapsed_ms):
    return line(
        10.0 + elapsed_ms / 1000,
        "entry-1",
        "JobAnswered",
        FIRST,
        state="completed",
        elapsed_ms=elapsed_ms,
        objective_ms=100,
        cause="",
    )


def refused(cause):
    return line(10.3, "entry-1", "JobRefused", FIRST, cause=cause)


def drained(process, at, *domains):
    return line(at, process, "DomainsDrained", domains=list(domains))


def backend(process, at, state):
    return line(at, process, "BackendChanged", state=state)


NOT_RUN = {"ending": "not_run", "reason": "the room was taken"}
HISTORIES = {
    "no place offered": [refused("waited in vain")],
    "a place taken by others": [
        *run_lines(10.0, 10.0, 10.1)[:1],
        line(10.1, "entry-1", "TaskEndedAt", FIRST, run=1, step=0, **NOT_RUN),
        refused("waited in vain"),
    ],
    "all domains drained": [
        drained("entry-1", 5.0, "zone-1", "zone-2"),
        drained("entry-1", 4.0),
        drained("entry-2", 6.0, "zone-1"),
        drained("entry-1", 11.0),
        refused("all failure domains are drained"),
    ],
    "a wait at the entry": [*run_lines(10.14, 10.14, 10.25), answered(250)],
    "the same, placing unkept": [
        *run_lines(10.14, 10.14, 10.25)[1:],
        answered(250),
    ],
    "a wait at the agent": [
        *run_lines(10.0, 10.14, 10.25, waited_ms=139),
        answered(250),
    ],
    "a slow agent": [*run_lines(10.0, 10.14, 10.25), answered(250)],
    "a long run": [*run_lines(10.0, 10.0, 10.24), answered(250)],
    "a leaving server": [
        *former_run("LeavingRunJudged", moved=True),
        answered(250),
    ],
    "a lost server": [
        backend("agent-1", 5.0, "draining"),
        backend("agent-2", 5.0, "draining"),
        *former_run("TaskEndedAt", ending="lost", reason="gone"),
        answered(250),
    ],
    "a late last line": [*run_lines(10.0, 10.0, 10.07), answered(250)],
    "no line of a run": [answered(250)],
    "a fast run": [*run_lines(10.0, 10.0, 10.07), answered(80)],
}


@given("the log lines of a job with {what}")
def make_history(context, what):
    accepted = line(10.0, "entry-1", "JobAccepted", FIRST, tasks=1)
    context.job_history = explain(FIRST, [accepted, *HISTORIES[what]])


@then('its history ends with "{decision}"')
def check_decision(context, decision):
    assert context.job_history[-1].endswith(decision), context.job_history[-1]


@then("its history has the {kind} of {process}, and of no other")
def check_shown(context, kind, process):
    shown = [text for text in context.job_history[:-1] if kind in text]
    assert len(shown) == 1, shown
    assert process in shown[0], shown
    assert "draining" in shown[0] or "zone-2" in shown[0], shown

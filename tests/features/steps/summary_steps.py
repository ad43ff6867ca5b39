import contextlib
import io
import json
import pathlib
import tempfile

from behave import given
from behave import then
from explain_steps import line
import hypothesis
from hypothesis import strategies

from egretcart.direct.log.summary import OUTCOMES
from egretcart.direct.log.summary import summarize
from egretcart.process.cli import main

FACTOR = 3.0


def accepted(at, entry, job_id, *, route="wide", tasks=2):
    return line(at, entry, "JobAccepted", job_id, route=route, tasks=tasks)


def answered(at, entry, job_id, *, elapsed_ms, state="completed"):
    times = {"elapsed_ms": elapsed_ms, "objective_ms": 100}
    return line(at, entry, "JobAnswered", job_id, state=state, **times)


def refused(at, entry, job_id, *, cause, tasks):
    fields = {"route": "narrow", "cause": cause, "tasks": tasks}
    return line(at, entry, "JobRefused", job_id, **fields)


def ended(at, job_id, ending, reason=""):
    return line(
        at, "agent-1", "RunEnded", job_id, ending=ending, reason=reason
    )


@given("log lines of two entries and an agent about ten jobs")
def make_lines(context):
    context.lines = [
        accepted(10.0, "entry-1", "a"),
        line(10.02, "agent-1", "RunStarted", "a"),
        line(10.08, "agent-1", "RunStarted", "a"),
        ended(10.09, "a", "done"),
        answered(10.1, "entry-1", "a", elapsed_ms=100),
        accepted(10.2, "entry-1", "b", tasks=7),
        ended(10.3, "b", "not_run", "no room came free"),
        line(10.4, "agent-1", "RunStarted", "b"),
        ended(10.45, "b", "done"),
        answered(10.5, "entry-1", "b", elapsed_ms=300),
        accepted(10.3, "entry-2", "c", tasks=16),
        # The agent's clock is behind by two milliseconds.
        line(10.298, "agent-1", "RunStarted", "c"),
        answered(10.7, "entry-2", "c", elapsed_ms=301),
        accepted(11.0, "entry-2", "d"),
        answered(11.1, "entry-2", "d", elapsed_ms=9, state="failed"),
        # Its caller asks the other entry after a refusal.
        refused(11.2, "entry-1", "e", cause="no room in time", tasks=12),
        accepted(11.3, "entry-2", "e", route="narrow", tasks=12),
        refused(11.5, "entry-2", "e", cause="the entry leaves", tasks=12),
        accepted(11.6, "entry-1", "f"),
        line(11.7, "entry-1", "JobCancelled", "f"),
        accepted(11.8, "entry-1", "g"),
        # Its acceptance was left out, and its cancellation follows.
        answered(11.9, "entry-1", "h", elapsed_ms=9, state="cancelled"),
        line(11.9, "entry-1", "JobCancelled", "h"),
        line(12.0, "entry-1", "LinesLeftOut", lines={"JobAccepted": 1}),
        refused(12.2, "entry-1", "i", cause="waited in vain", tasks=4),
    ]


def outcomes(lines):
    summary = summarize(lines, useful_latency_factor=FACTOR)
    return [(fate.entry, fate.outcome) for fate in summary.fates]


@then("each job is counted once, as what became of it")
def check_outcomes(context):
    assert outcomes(context.lines) == [
        ("entry-1", "on time"),
        ("entry-1", "late"),
        ("entry-2", "useless"),
        ("entry-2", "failed"),
        ("entry-1", "refused"),
        ("entry-2", "gave up"),
        ("entry-1", "cancelled"),
        ("entry-1", "no answer"),
        ("entry-1", "cancelled"),
        ("entry-1", "gave up"),
    ]


@then("the runs that did not begin are counted with their reasons")
def check_runs(context):
    fates = summarize(context.lines, useful_latency_factor=FACTOR).fates
    assert [fate.runs for fate in fates[:3]] == [1, 2, 0]
    assert fates[1].not_run_reasons == {"no room came free": 1}


@then("the wait until the first start is counted from the acceptance")
def check_start(context):
    fates = summarize(context.lines, useful_latency_factor=FACTOR).fates
    starts_ms = [fate.first_start_ms for fate in fates[:3]]
    assert fates[3].first_start_ms is None
    assert [round(ms) for ms in starts_ms] == [20, 200, 0]


@then("neither the order of the lines nor other texts matter")
def check_order(context):
    # Lines of one job at one moment are in the order of their writing.
    distinct = [text for text in context.lines if '"h"' not in text]
    expected = summarize(distinct, useful_latency_factor=FACTOR)

    @hypothesis.given(
        strategies.permutations(distinct),
        strategies.lists(strategies.text(), max_size=3),
    )
    def holds(shuffled, noise):
        found = summarize([*noise, *shuffled], useful_latency_factor=FACTOR)
        assert found == expected

    holds()


def run_summary(lines, *options):
    out, err = io.StringIO(), io.StringIO()
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        path = pathlib.Path(folder) / "lines.log"
        path.write_text("\n".join(lines) + "\n")
        status = main(["explain", "--summary", *options, str(path)])
    return status, out.getvalue(), err.getvalue()


@then("the command prints a table of each")
def check_tables(context):
    status, out, _ = run_summary(context.lines)
    assert status == 0
    rows = {
        text[:18].strip(): text[18:].split()[:5]
        for text in out.splitlines()
        if text
    }
    names = ["wide", "1-3 tasks", "16+ tasks", "entry-2", "0", "2"]
    assert [rows[name][:2] for name in names] == [
        ["6", "6"],
        ["4", "4"],
        ["1", "1"],
        ["3", "3"],
        ["3", "3"],
        ["1", "0"],
    ], out
    assert rows["0"][2:] == ["0.333", "0.333", "0.333"]
    assert "no room came free 1" in out
    assert "left out by the processes: 1 JobAccepted" in out


@then("a summary of lines that name no job fails")
def check_no_job(context):
    status, _, err = run_summary(["none"])
    assert (status, err.strip()) == (1, "no line names a job")


@then("the command writes a plot that names each outcome, route and entry")
def check_plot(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "summary.svg"
        status, _, errors = run_summary(context.lines, f"--plot={path}")
        assert status == 0, errors
        plot = path.read_text()
    for name in (*OUTCOMES, "wide", "narrow", "entry-1", "entry-2"):
        assert f"<!-- {name} -->" in plot, name


@then('the command fails for the plot path "{path}", after the tables')
def check_plot_error(context, path):
    status, out, errors = run_summary(context.lines, f"--plot={path}")
    assert status == 1
    assert "entry-2" in out
    assert errors.startswith(path), errors


@then("a line that was cut is counted and shown in the summary")
def check_unreadable(context):
    text = context.lines[0]
    fields = json.loads(text[text.index("{") :])
    kind = {"message_type": fields.pop("message_type")}
    whole = json.dumps(kind | fields)
    cut = whole[:-20]
    status, out, _ = run_summary([*context.lines, cut])
    assert status == 0
    assert f"unreadable lines: 1, such as\n  {cut[:60]}" in out, out
    _, merged_out, _ = run_summary([f"{cut}{whole}", *context.lines[1:]])
    assert "unreadable lines: 1" in merged_out
    assert out.splitlines()[1] == merged_out.splitlines()[1]

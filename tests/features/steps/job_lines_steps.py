"""Steps for the lines of jobs that an entry's log holds and releases."""

import collections
import contextlib
import json
import select
from unittest import mock

from behave import given
from behave import then
from behave import when
import eliot
import trio
import trio.testing

from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import TaskEndedAt
from egretcart.direct.log.decisions import TaskMoved
from egretcart.direct.log.decisions import TasksPlaced
from egretcart.direct.log.explain import explain
from egretcart.direct.log.job_lines import JobLines
from egretcart.direct.log.log_lines import JsonDecisionLog
from egretcart.testing.clock import ManualClock

OBJECTIVE_MS = 700
PLACED = 40


def accepted(job_id):
    return JobAccepted(
        job_id=job_id,
        route="r",
        version=1,
        tasks=2,
        objective_ms=OBJECTIVE_MS,
        patience_ms=None,
        expected_wait_ms=0,
    )


def placed(job_id, run=1):
    return TasksPlaced(
        job_id=job_id,
        step=0,
        indexes=(0,),
        run=run,
        agent="agent-1",
        free_cpu_milli=1000,
        queued=0,
        pace_percent=100,
        status_age_ms=10,
    )


def ended(job_id, ending="done", run_ms=100):
    return TaskEndedAt(
        job_id=job_id,
        step=0,
        index=0,
        run=1,
        agent="agent-1",
        ending=ending,
        reason="",
        failures=0,
        run_ms=run_ms,
    )


def answered(job_id, elapsed_ms=100, state="completed"):
    return JobAnswered(
        job_id=job_id,
        state=state,
        elapsed_ms=elapsed_ms,
        objective_ms=OBJECTIVE_MS,
    )


def moved(job_id):
    return TaskMoved(
        job_id=job_id,
        step=0,
        index=0,
        run=1,
        agent="agent-1",
        percent=10,
        whole_ms=-1,
        pace=1.0,
        elsewhere_pace=1.0,
    )


def decisions_of(job_id, *between_and_last):
    return [accepted(job_id), placed(job_id), *between_and_last]


ENDS = {
    "it is answered late": lambda job: [answered(job, OBJECTIVE_MS + 1)],
    "it is refused after waiting": lambda job: [
        JobRefused(job_id=job, route="r", cause="waited in vain")
    ],
    "its caller leaves": lambda job: [
        JobCancelled(job_id=job, cause="the caller has left", elapsed_ms=90)
    ],
    "it has failed": lambda job: [answered(job, state="failed")],
    "a run of it is moved": lambda job: [moved(job), answered(job)],
    "a run of it is lost": lambda job: [ended(job, "lost"), answered(job)],
}


@contextlib.contextmanager
def open_log(decisions):
    """Yield a log that gets decisions within a second."""
    clock = ManualClock()
    log = JsonDecisionLog(process_id="entry-1", clock=clock)
    try:
        for decision in decisions:
            log.write(decision)
        clock.advance(2.0)
        log.write(answered("last"))
        yield log
    finally:
        with contextlib.suppress(ValueError):
            eliot.remove_destination(log._enqueue_line)


def write_all(decisions):
    """Return the lines of a log that gets decisions within a second."""
    with open_log(decisions) as log:
        return [json.loads(line) for line in log.waiting]


def lines_by_job(lines):
    found = collections.defaultdict(list)
    for line in lines:
        if line.get("job_id", "last") != "last":
            found[line["job_id"]].append(line)
    return found


@given("an entry's log with {count:d} jobs on time in one second")
def log_good_jobs(context, count):
    context.decisions = [
        decision
        for number in range(count)
        for decision in decisions_of(
            f"job-{number}", ended(f"job-{number}"), answered(f"job-{number}")
        )
    ]
    context.lines = write_all(context.decisions)


@given("an entry's log with {count:d} late jobs in one second")
def log_late_jobs(context, count):
    context.decisions = [
        decision
        for number in range(count)
        for decision in decisions_of(
            f"job-{number}", answered(f"job-{number}", OBJECTIVE_MS + 1)
        )
    ]
    context.lines = write_all(context.decisions)


@given("an entry's log with a job that has ended")
def log_ended_job(context):
    context.decisions = decisions_of("j", answered("j"))


@when("a job is accepted, its tasks are placed {count:d} times, and {what}")
def log_wrong_job(context, count, what):
    job = [accepted("wrong")]
    job += [placed("wrong", run) for run in range(1, count + 1)]
    context.expected = [*job, *ENDS[what]("wrong")]
    middle = len(context.decisions) // 8
    context.lines = write_all(
        [
            *context.decisions[:middle],
            *context.expected,
            *context.decisions[middle:],
        ]
    )


@when("a run of it ends")
def log_late_run(context):
    context.lines = write_all([*context.decisions, ended("j", "stopped")])


@then("all its lines are written, each with the time of its decision")
def check_all_lines(context):
    lines = [line for line in context.lines if line.get("job_id") == "wrong"]
    kinds = [line["message_type"].partition(":")[2] for line in lines]
    assert sorted(kinds) == sorted(
        type(decision).__name__ for decision in context.expected
    )
    times = {
        line["run"]: line["timestamp"] for line in lines if "indexes" in line
    }
    assert sorted(times, key=times.get) == list(range(1, PLACED + 1))


@then("{ends:d} have their first and last line, and {whole:d} all lines")
def check_good_jobs(context, ends, whole):
    jobs = lines_by_job(context.lines)
    counts = collections.Counter(len(lines) for lines in jobs.values())
    assert counts == {2: ends - whole, 4: whole}, counts


@then("the volume is below that of {count:d} lines of a kind")
def check_volume(context, count):
    jobs = lines_by_job(context.lines)
    kinds = collections.Counter(
        line["message_type"] for lines in jobs.values() for line in lines
    )
    between = kinds["egretcart:TasksPlaced"] + kinds["egretcart:TaskEndedAt"]
    assert between < 2 * count, kinds


@then("{whole:d} jobs have all lines, and a line tells of {count:d} others")
def check_left_out(context, whole, count):
    jobs = lines_by_job(context.lines)
    assert sum(len(lines) == 3 for lines in jobs.values()) == whole
    [report] = [line for line in context.lines if "lines" in line]
    assert report["lines"]["jobs that went wrong"] == count, report


@then("its line is written at once")
def check_line_after_end(context):
    assert [line for line in context.lines if line.get("index") == 0]


@given("lines held of {count:d} open jobs")
def hold_lines(context, count):
    context.held = JobLines()
    for number in range(count):
        context.held.hold(accepted(f"job-{number}"), 1.0)


@then("no line of one more job is held")
def check_open_jobs(context):
    context.held.hold(accepted("more"), 1.0)
    assert not context.held.hold(placed("more"), 1.0)


@then("no more than {count:d} lines of one of them are held")
def check_job_lines(context, count):
    held = [context.held.hold(placed("job-0"), 1.0) for _ in range(2 * count)]
    assert held == [True] * count + [False] * count


@then("no write takes more than a pipe keeps together, or ends within a line")
def check_writes(context):
    written = []

    def write(_, data):
        written.append(data)
        return len(data)

    async def write_lines(log):
        with trio.move_on_after(1.0):
            await log.run()

    clock = trio.testing.MockClock(autojump_threshold=0)
    with (
        open_log(context.decisions) as log,
        mock.patch("os.write", write),
        mock.patch("os.set_blocking"),
    ):
        trio.run(write_lines, log, clock=clock)
    lines = b"".join(written).splitlines()
    assert len(lines) > len(context.lines) / 2
    assert all(len(data) <= select.PIPE_BUF for data in written)
    assert all(data.endswith(b"\n") for data in written)
    assert len(written) < len(lines) / 4


@given("the lines of an entry about a late job whose run was long")
def log_long_run(context):
    late = JobAnswered(
        job_id="late", state="completed", elapsed_ms=250, objective_ms=100
    )
    lines = write_all(decisions_of("late", ended("late", run_ms=240), late))
    context.job_history = explain("late", map(json.dumps, lines))

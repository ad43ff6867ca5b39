"""Finds the decision that made a job late from its log lines."""

from collections.abc import Iterable
import dataclasses

from egretcart.direct.log.log_line import LogLine

MS_PER_S = 1000
# What an agent and an entry say of the end of a run.
ENDED_KINDS = ("RunEnded", "TaskEndedAt")
# The kinds that say why a run did not count, the most telling first.
RUN_DECISIONS = ("TaskMoved", "LeavingRunJudged", "TaskEndedAt", "RunEnded")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delay:
    """Part of the time from a job's acceptance to its answer.

    Attributes
    ----------
    ms : float
    text : str
        What the time was spent on.
    line : LogLine
        The decision that it was spent on, or that ended it.
    """

    ms: float
    text: str
    line: LogLine

    def __str__(self) -> str:
        return (
            f"{self.ms:.0f} ms {self.text}: {self.line.kind} of "
            f"{self.line.process}"
        )


def find_longest_delay(
    job_lines: Iterable[LogLine], answered: LogLine
) -> Delay | None:
    """Return the longest part of the time that a job's answer took.

    The parts are those of the task whose logged run was the last to end: the
    time before that run, the run, and the time after it.

    Parameters
    ----------
    job_lines : iterable of LogLine
    answered : LogLine
        The job's `JobAnswered`.

    Returns
    -------
    Delay or None
        None if the ends of all its runs were left out.
    """
    lines = [line for line in job_lines if line.at <= answered.at]
    ends = [
        line
        for line in lines
        if line.kind in ENDED_KINDS and line.fields["ending"] == "done"
    ]
    if not ends:
        return None
    end = _as_seen_by_agent(max(ends, key=lambda line: line.at), ends)
    run_ms = end.fields["run_ms"]
    after_ms = max(0.0, (answered.at - end.at) * MS_PER_S)
    before_ms = answered.fields["elapsed_ms"] - run_ms - after_ms
    task_lines = [line for line in lines if _is_of_task(line, end)]
    return max(
        _delay_before(end, before_ms, task_lines),
        Delay(ms=run_ms, text="ran", line=end),
        Delay(
            ms=after_ms,
            text="passed after the last run of which a line was kept",
            line=end,
        ),
        key=lambda delay: delay.ms,
    )


def _as_seen_by_agent(end: LogLine, ends: Iterable[LogLine]) -> LogLine:
    """Return the agent's line of the same run if there is one."""
    return next(
        (
            line
            for line in ends
            if line.kind == "RunEnded"
            and _is_of_task(line, end)
            and line.fields["run"] == end.fields["run"]
        ),
        end,
    )


def _is_of_task(line: LogLine, end: LogLine) -> bool:
    """Whether a line is about the task whose run has ended."""
    if line.fields.get("step") != end.fields["step"]:
        return False
    index = end.fields["index"]
    return line.fields.get("index") == index or index in line.fields.get(
        "indexes", ()
    )


def _delay_before(
    end: LogLine, before_ms: float, task_lines: list[LogLine]
) -> Delay:
    """Return the delay before a task's last run, with its decision."""
    last_run = end.fields["run"]
    former = [
        line
        for line in task_lines
        if line.kind in RUN_DECISIONS and line.fields["run"] < last_run
    ]
    if former:
        why = min(
            former,
            key=lambda line: (RUN_DECISIONS.index(line.kind), line.at),
        )
        reason = why.fields.get("reason") or why.fields.get("ending", "")
        text = "before the run that counted, after another one"
        return Delay(
            ms=before_ms,
            text=f"{text} ({reason})" if reason else text,
            line=why,
        )
    own = {
        line.kind: line
        for line in task_lines
        if line.fields.get("run") == last_run
    }
    start = own.get("RunStarted", end)
    placed = own.get("TasksPlaced")
    waited_ms = start.fields.get("waited_ms", 0)
    sent_ms = 0.0
    if placed is not None:
        run_began_at = end.at - end.fields["run_ms"] / MS_PER_S
        since_placed_ms = (run_began_at - placed.at) * MS_PER_S
        sent_ms = max(0.0, since_placed_ms - waited_ms)
    return max(
        Delay(
            ms=before_ms - waited_ms - sent_ms,
            text="waited for capacity at the entry",
            line=placed or start,
        ),
        Delay(ms=sent_ms, text="passed until the agent saw to it", line=start),
        Delay(ms=waited_ms, text="waited at the agent", line=start),
        key=lambda delay: delay.ms,
    )

"""Explains the history of one job from log lines of several processes."""

from collections.abc import Iterable
import math

from egretcart.direct.log.delays import find_longest_delay
from egretcart.direct.log.log_line import LogLine
from egretcart.direct.log.log_line import parse_line

# The clocks of machines differ slightly. Lines of one run whose times are as
# close as CLOCK_TOLERANCE_S are sorted in this causal order instead.
CAUSAL_ORDER = (
    "JobClaimed",
    "JobJoined",
    "JobAccepted",
    "TasksPlaced",
    "RunStarted",
    "RunUnanswered",
    "TaskMoved",
    "LeavingRunJudged",
    "RunEnded",
    "TaskEndedAt",
    "JobYielded",
    "JobCancelled",
    "JobAnswered",
    "JobRefused",
)
CLOCK_TOLERANCE_S = 0.005
# State changes within this time before the abnormal end of a run are shown
# with the job's lines.
STATE_CHANGE_WINDOW_S = 1.5
STATE_CHANGE_KINDS = (
    "BackendChanged",
    "BackendCrashed",
    "PeerChanged",
    "ProcessChanged",
)
# A backend server that has said that it leaves may do so this much later.
LEAVING_WINDOW_S = 10.0
COMPLETED = "completed"
WAITED_IN_VAIN = "waited in vain"
# Any of them says that a task was sent to an agent.
PLACED_KINDS = ("TasksPlaced", "RunStarted", "RunEnded", "TaskEndedAt")
FINAL_KINDS = ("JobAnswered", "JobRefused", "JobCancelled", "JobYielded")


def explain(job_id: str, texts: Iterable[str]) -> list[str]:
    """Return the history of a job in causal order, one line per decision.

    Parameters
    ----------
    job_id : str
    texts : iterable of str
        Log lines of any processes, in any order; other texts are ignored.

    Returns
    -------
    list of str
        The last line names the decision that ended the job. Empty if no
        log line names the job.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    job_lines = [
        line for line in parsed if line.fields.get("job_id") == job_id
    ]
    if not job_lines:
        return []
    state_changes = [
        line for line in parsed if line.kind in STATE_CHANGE_KINDS
    ]
    shown = sorted(
        [
            *job_lines,
            *_preceding_state_changes(job_lines, state_changes),
            *_drains_in_force(job_lines, parsed),
        ],
        key=_sort_key,
    )
    start = min(line.at for line in job_lines)
    return [*(line.text(start) for line in shown), _summary(job_lines)]


def _sort_key(line: LogLine) -> tuple[int, float, int, float]:
    """Return the sort key of a line.

    Lines are sorted by time in units of `CLOCK_TOLERANCE_S`. Within one
    unit, they are sorted by run, then by `CAUSAL_ORDER`, then by time. A
    kind that is not in `CAUSAL_ORDER` precedes the others of its run; a line
    that ends the job follows all runs.
    """
    rank = -1
    if line.kind in CAUSAL_ORDER:
        rank = CAUSAL_ORDER.index(line.kind)
    run = math.inf if line.kind in FINAL_KINDS else line.fields.get("run", 0)
    return (int(line.at / CLOCK_TOLERANCE_S), run, rank, line.at)


def _preceding_state_changes(
    job_lines: list[LogLine], state_changes: list[LogLine]
) -> list[LogLine]:
    """Return the state changes shortly before runs ended abnormally.

    Only changes that concern a process of such a run are returned.
    """
    abnormal_ends = [
        line
        for line in job_lines
        if line.fields.get("ending", "done") not in ("done", "not_run")
    ]
    return [
        state_change
        for state_change in state_changes
        if any(
            0 <= line.at - state_change.at <= _window_s(state_change)
            and state_change.process_ids & line.process_ids
            for line in abnormal_ends
        )
    ]


def _window_s(state_change: LogLine) -> float:
    """Return how long before the end of a run a state change is shown."""
    is_leaving = state_change.fields.get("state") == "draining"
    return LEAVING_WINDOW_S if is_leaving else STATE_CHANGE_WINDOW_S


def _drains_in_force(
    job_lines: list[LogLine], parsed: list[LogLine]
) -> list[LogLine]:
    """Return the drains that an entry knew when it refused the job."""
    shown = []
    for refusal in job_lines:
        if refusal.kind != "JobRefused":
            continue
        known = [
            line
            for line in parsed
            if line.kind == "DomainsDrained"
            and line.process == refusal.process
            and line.at <= refusal.at
        ]
        last = max(known, key=lambda line: line.at, default=None)
        if last is not None and last.fields["domains"]:
            shown.append(last)
    return shown


def _summary(job_lines: list[LogLine]) -> str:
    final = [line for line in job_lines if line.kind in FINAL_KINDS]
    if not final:
        last = max(job_lines, key=lambda line: line.at)
        return (
            f"no decision ended it: the last line is {last.kind} of "
            f"{last.process}; its entry may have ended before it answered"
        )
    last = max(final, key=_sort_key)
    why = last.fields.get("cause") or last.fields.get("state", "")
    detail = ""
    if last.kind == "JobRefused":
        detail = _refusal_detail(job_lines, last)
    elif last.fields.get("state") == COMPLETED:
        detail = _lateness_detail(job_lines, last)
    return f"ended by {last.kind} of {last.process}: {why}{detail}"


def _refusal_detail(job_lines: list[LogLine], refusal: LogLine) -> str:
    """Return whether the tasks of a job that had waited were placed."""
    if refusal.fields["cause"] != WAITED_IN_VAIN:
        return ""
    if any(line.kind in PLACED_KINDS for line in job_lines):
        return "; tasks were placed, and none was done"
    return "; no line has its tasks placed: no agent offered capacity"


def _lateness_detail(job_lines: list[LogLine], answered: LogLine) -> str:
    """Return how late an answer was, and what took the longest."""
    late_ms = answered.fields["elapsed_ms"] - answered.fields["objective_ms"]
    if late_ms <= 0:
        return ""
    longest = find_longest_delay(job_lines, answered)
    what = longest or "the lines of its runs were left out"
    return f", {late_ms} ms late; longest part: {what}"

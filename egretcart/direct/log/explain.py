"""Explains the history of one job from log lines of several processes."""

from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any

MESSAGE_PREFIX = "egretcart:"
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
STATE_CHANGE_KINDS = ("BackendChanged", "PeerChanged", "ProcessChanged")
FINAL_KINDS = ("JobAnswered", "JobRefused", "JobCancelled", "JobYielded")
HIDDEN_FIELDS = (
    "timestamp",
    "process",
    "message_type",
    "task_uuid",
    "task_level",
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One log line of a process.

    Attributes
    ----------
    at : float
        Unix time in seconds, by the clock of the process's machine.
    process : str
        Name of the process that wrote the line.
    kind : str
        Class name of the decision.
    fields : dict
        All fields of the line.
    """

    at: float
    process: str
    kind: str
    fields: dict[str, Any]

    @property
    def process_ids(self) -> frozenset[str]:
        """The process that wrote the line, and those that it names."""
        found = (self.fields.get(key) for key in ("agent", "entry", "peer"))
        return frozenset((self.process, *(name for name in found if name)))

    def text(self, start: float) -> str:
        """Return the line as printed, with its time since `start`."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and name != "job_id" and value != ""
        )
        offset_ms = (self.at - start) * 1000
        return f"{offset_ms:9.1f} ms  {self.process}  {self.kind}  {shown}"


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if the text is not one."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields: dict[str, Any] = json.loads(text[start:])
        kind = fields["message_type"].removeprefix(MESSAGE_PREFIX)
        return LogLine(
            at=float(fields["timestamp"]),
            process=fields["process"],
            kind=kind,
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


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
        [*job_lines, *_preceding_state_changes(job_lines, state_changes)],
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
            0 <= line.at - state_change.at <= STATE_CHANGE_WINDOW_S
            and state_change.process_ids & line.process_ids
            for line in abnormal_ends
        )
    ]


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
    return f"ended by {last.kind} of {last.process}: {why}"

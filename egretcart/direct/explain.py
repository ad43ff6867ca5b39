"""The life of one job, from the log lines of several processes."""

from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any

MESSAGE_PREFIX = "egretcart:"
# The clocks of machines differ by little; where they contradict what must
# come first, the order of causes counts.
CAUSAL_ORDER = (
    "JobClaimed",
    "JobJoined",
    "JobAccepted",
    "TasksPlaced",
    "RunStarted",
    "RunUnanswered",
    "TaskMoved",
    "RunEnded",
    "TaskEndedAt",
    "JobYielded",
    "JobCancelled",
    "JobAnswered",
    "JobRefused",
)
SAME_MOMENT_S = 0.005
# What a process came to believe so shortly before a run ended is shown
# beside it.
NEARBY_S = 1.5
BELIEFS = ("BackendChanged", "PeerChanged", "ProcessChanged")
FINAL = ("JobAnswered", "JobRefused", "JobCancelled", "JobYielded")
HIDDEN = ("timestamp", "process", "message_type", "task_uuid", "task_level")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line of a process.

    Attributes
    ----------
    at : float
        Unix time, by the machine's clock, in seconds.
    process, kind : str
    fields : dict
    """

    at: float
    process: str
    kind: str
    fields: dict[str, Any]

    @property
    def names(self) -> frozenset[str]:
        """The processes that the line is about."""
        found = (self.fields.get(key) for key in ("agent", "entry", "peer"))
        return frozenset((self.process, *(name for name in found if name)))

    def text(self, start: float) -> str:
        """Return the line as it is shown, with its time since a start."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN and name != "job_id" and value != ""
        )
        passed_ms = (self.at - start) * 1000
        return f"{passed_ms:9.1f} ms  {self.process}  {self.kind}  {shown}"


def parse_line(text: str) -> LogLine | None:
    """Return a line of a process, or None if it is none."""
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
    """Return the life of a job in the order of causes, a line a decision.

    Parameters
    ----------
    job_id : str
    texts : iterable of str
        Lines of any processes, in any order; others are passed over.

    Returns
    -------
    list of str
        The last one names the decision that ended it. Empty if no line
        names the job.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    own = [line for line in parsed if line.fields.get("job_id") == job_id]
    if not own:
        return []
    beliefs = [line for line in parsed if line.kind in BELIEFS]
    shown = sorted([*own, *_nearby(own, beliefs)], key=_order)
    start = min(line.at for line in own)
    return [*(line.text(start) for line in shown), _verdict(own)]


def _order(line: LogLine) -> tuple[int, float, int, float]:
    """Sort by time; within a moment by run, and then by cause."""
    rank = -1
    if line.kind in CAUSAL_ORDER:
        rank = CAUSAL_ORDER.index(line.kind)
    run = math.inf if line.kind in FINAL else line.fields.get("run", 0)
    return (int(line.at / SAME_MOMENT_S), run, rank, line.at)


def _nearby(own: list[LogLine], beliefs: list[LogLine]) -> list[LogLine]:
    """Return what was believed shortly before a run ended not as done."""
    troubled = [
        line
        for line in own
        if line.fields.get("ending", "done") not in ("done", "not_run")
    ]
    return [
        belief
        for belief in beliefs
        if any(
            0 <= line.at - belief.at <= NEARBY_S and belief.names & line.names
            for line in troubled
        )
    ]


def _verdict(own: list[LogLine]) -> str:
    final = [line for line in own if line.kind in FINAL]
    if not final:
        last = max(own, key=lambda line: line.at)
        return (
            f"no decision ended it: the last line is {last.kind} of "
            f"{last.process}; its entry may have ended before it answered"
        )
    last = max(final, key=_order)
    why = last.fields.get("cause") or last.fields.get("state", "")
    return f"ended by {last.kind} of {last.process}: {why}"

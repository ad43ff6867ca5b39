"""Summarizes the fates of many jobs from log lines of several processes."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
import dataclasses
import math

import msgspec

from egretcart.direct.log.explain import CLOCK_TOLERANCE_S
from egretcart.direct.log.log_line import LINE_START
from egretcart.direct.log.log_line import MESSAGE_PREFIX

# Upper bounds of the numbers of tasks in a group of job sizes.
SIZE_BOUNDS = (3, 7, 11, 15)
UNKNOWN = "not known"
WAITED_IN_VAIN = "waited in vain"
# Refused on arrival is "refused", refused after waiting is "gave up".
OUTCOMES = (
    "on time",
    "late",
    "useless",
    "failed",
    "refused",
    "gave up",
    "cancelled",
    "no answer",
)
MAX_REASONS_SHOWN = 3
NAME_WIDTH = 18
MAX_UNREADABLE_SHOWN = 3
UNREADABLE_WIDTH = 100


class JobLine(msgspec.Struct, frozen=True):
    """The fields of log lines that are read here.

    The fields have the meaning of those of the same name in decisions.py.
    """

    message_type: str
    process: str
    timestamp: float
    job_id: str = ""
    route: str = UNKNOWN
    tasks: int = 0
    objective_ms: float = 0.0
    elapsed_ms: float = 0.0
    state: str = ""
    cause: str = ""
    ending: str = ""
    reason: str = ""
    lines: dict[str, int] = {}

    @property
    def kind(self) -> str:
        """Class name of the decision."""
        return self.message_type.removeprefix(MESSAGE_PREFIX)


@dataclasses.dataclass(kw_only=True, slots=True)
class JobFate:
    """What became of a job at one entry, from one submission of it.

    Attributes
    ----------
    entry : str
    at : float
        Unix time of the first line, in seconds.
    accepted : bool
        Whether a line says that it was accepted.
    route : str
    tasks : int
        Number of its tasks; 0 if no line tells it.
    outcome : str
        One of `OUTCOMES`.
    first_start_ms : float or None
        Time until the first start of a run; None if no line tells it.
    runs : int
        Number of runs that have ended.
    not_run_reasons : Counter of str
        Why runs came back as not run.
    """

    entry: str
    at: float
    accepted: bool = False
    route: str = UNKNOWN
    tasks: int = 0
    outcome: str = "no answer"
    first_start_ms: float | None = None
    runs: int = 0
    not_run_reasons: Counter[str] = dataclasses.field(default_factory=Counter)

    @property
    def size(self) -> str:
        """Group of the job's number of tasks."""
        if not self.tasks:
            return UNKNOWN
        lowest = 1
        for bound in SIZE_BOUNDS:
            if self.tasks <= bound:
                return f"{lowest:2d}-{bound} tasks"
            lowest = bound + 1
        return f"{lowest:2d}+ tasks"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSummary:
    """The fates of all jobs that log lines tell of.

    Attributes
    ----------
    fates : tuple of JobFate
        In the order of their first lines.
    left_out : dict of str to int
        Number of lines of each kind that were not written.
    unreadable : tuple of str
        Texts that begin like a log line and are none, such as cut ones.
    """

    fates: tuple[JobFate, ...]
    left_out: dict[str, int]
    unreadable: tuple[str, ...] = ()

    def text(self) -> list[str]:
        """Return the tables as printed, one line an element."""
        if not self.fates:
            return []
        start = self.fates[0].at
        lines = _table("all", {"": list(self.fates)})
        for title, group_of in (
            ("route", lambda fate: fate.route),
            ("size", lambda fate: fate.size),
            ("entry", lambda fate: fate.entry),
            ("second", lambda fate: f"{math.floor(fate.at - start):6d}"),
        ):
            groups = defaultdict(list)
            for fate in self.fates:
                groups[group_of(fate)].append(fate)
            lines += ["", *_table(title, groups)]
        if self.left_out:
            counts = ", ".join(
                f"{count} {kind}" for kind, count in self.left_out.items()
            )
            lines += ["", f"lines left out by the processes: {counts}"]
        if self.unreadable:
            lines += ["", f"unreadable lines: {len(self.unreadable)}, such as"]
            lines += [
                f"  {text[:UNREADABLE_WIDTH]}"
                for text in self.unreadable[:MAX_UNREADABLE_SHOWN]
            ]
        return lines


class _FateReader:
    """Collects fates from lines that are in the order of time."""

    def __init__(self, *, useful_latency_factor: float) -> None:
        self.useful_latency_factor = useful_latency_factor
        self.fates: list[JobFate] = []
        self.open: dict[tuple[str, str], JobFate] = {}
        self.latest: dict[str, JobFate] = {}
        self.left_out: Counter[str] = Counter()

    def read(self, line: JobLine) -> None:
        match line.kind:
            case "JobAccepted":
                fate = self._add(line)
                fate.accepted = True
                fate.route, fate.tasks = line.route, line.tasks
            case "JobAnswered":
                self._close(line, self._answer_outcome(line))
            case "JobCancelled":
                if (line.process, line.job_id) in self.open:
                    self._close(line, "cancelled")
            case "JobRefused":
                self._read_refusal(line)
            case "RunStarted":
                self._read_start(line)
            case "RunEnded":
                self._read_end(line)
            case "LinesLeftOut":
                self.left_out.update(line.lines)

    def _add(self, line: JobLine) -> JobFate:
        fate = JobFate(entry=line.process, at=line.timestamp)
        self.fates.append(fate)
        self.open[line.process, line.job_id] = fate
        self.latest[line.job_id] = fate
        return fate

    def _close(self, line: JobLine, outcome: str) -> JobFate:
        fate = self.open.get((line.process, line.job_id)) or self._add(line)
        del self.open[line.process, line.job_id]
        fate.outcome = outcome
        return fate

    def _answer_outcome(self, line: JobLine) -> str:
        if line.state != "completed":
            return "cancelled" if line.state == "cancelled" else "failed"
        if line.elapsed_ms <= line.objective_ms:
            return "on time"
        useful_ms = self.useful_latency_factor * line.objective_ms
        return "late" if line.elapsed_ms <= useful_ms else "useless"

    def _read_refusal(self, line: JobLine) -> None:
        waited = (
            line.cause == WAITED_IN_VAIN
            or (line.process, line.job_id) in self.open
        )
        fate = self._close(line, "gave up" if waited else "refused")
        fate.route = line.route
        fate.tasks = fate.tasks or line.tasks

    def _read_start(self, line: JobLine) -> None:
        fate = self.latest.get(line.job_id)
        if fate is not None and fate.accepted and fate.first_start_ms is None:
            # The clocks of machines differ slightly.
            fate.first_start_ms = max(0.0, line.timestamp - fate.at) * 1000

    def _read_end(self, line: JobLine) -> None:
        fate = self.latest.get(line.job_id)
        if fate is None:
            return
        fate.runs += 1
        if line.ending == "not_run":
            fate.not_run_reasons[line.reason] += 1


def summarize(
    texts: Iterable[str], *, useful_latency_factor: float
) -> JobSummary:
    """Return the fates of all jobs that log lines tell of.

    Parameters
    ----------
    texts : iterable of str
        Log lines of any processes, in any order, each with any prefix;
        other texts are ignored.
    useful_latency_factor : float
        Multiple of the latency objective up to which an answer is late,
        and beyond which it is useless.
    """
    decoder = msgspec.json.Decoder(JobLine)
    lines = []
    unreadable = []
    for text in texts:
        first = text.find(LINE_START)
        start = max(text.find("{"), text.rfind(LINE_START))
        if start < 0:
            continue
        if 0 <= first < start:
            # Two processes wrote at once, and the first line was cut.
            unreadable.append(text[first:start])
        try:
            lines.append(decoder.decode(text[start:].encode()))
        except (msgspec.DecodeError, UnicodeEncodeError):
            if first >= 0:
                unreadable.append(text[start:].rstrip())
    lines.sort(key=_sort_time)
    reader = _FateReader(useful_latency_factor=useful_latency_factor)
    for line in lines:
        reader.read(line)
    return JobSummary(
        fates=tuple(reader.fates),
        left_out=dict(reader.left_out),
        unreadable=tuple(unreadable),
    )


def _sort_time(line: JobLine) -> float:
    """Return a time that is before that of the job's runs, on any clock."""
    if line.kind == "JobAccepted":
        return line.timestamp - CLOCK_TOLERANCE_S
    return line.timestamp


def _table(title: str, groups: dict[str, list[JobFate]]) -> list[str]:
    """Return a table with one line a group, sorted by its name."""
    columns = "".join(f"{name:>10}" for name in OUTCOMES)
    lines = [
        f"{title:{NAME_WIDTH}}{'jobs':>7}{'accepted':>9}{columns}"
        f"{'start, ms':>10}{'95 %':>6}{'runs':>7}{'not run':>8}"
    ]
    for name, fates in sorted(groups.items()):
        lines.append(f"{name:{NAME_WIDTH}}{_row(fates)}")
    return lines


def _row(fates: list[JobFate]) -> str:
    accepted = sum(fate.accepted for fate in fates)
    counts = Counter(fate.outcome for fate in fates)
    shares = "".join(
        f"{counts[outcome] / len(fates):>10.3f}" for outcome in OUTCOMES
    )
    starts_ms = sorted(
        fate.first_start_ms
        for fate in fates
        if fate.first_start_ms is not None
    )
    runs = sum(fate.runs for fate in fates)
    reasons = sum((fate.not_run_reasons for fate in fates), Counter())
    not_run_share = reasons.total() / runs if runs else 0.0
    why = ", ".join(
        f"{reason or 'no reason'} {count}"
        for reason, count in reasons.most_common(MAX_REASONS_SHOWN)
    )
    return (
        f"{len(fates):>7}{accepted:>9}{shares}"
        f"{_quantile(starts_ms, 0.5):>10}{_quantile(starts_ms, 0.95):>6}"
        f"{runs:>7}{not_run_share:>8.3f}  {why}"
    ).rstrip()


def _quantile(ordered: list[float], share: float) -> str:
    """Return a quantile of sorted values by nearest rank; ``-`` if none."""
    if not ordered:
        return "-"
    return f"{ordered[math.ceil(share * len(ordered)) - 1]:.0f}"

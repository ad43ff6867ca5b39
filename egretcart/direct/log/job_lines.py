"""Chooses the jobs of which all lines are written. Free of I/O.

The first and the last line of a job are written at once. Those between are
held until the job ends: they are written if it went wrong, so that it can be
explained, and of a few of the other jobs. Lines are left out by whole jobs.
"""

from collections import deque
from collections.abc import Sequence

import msgspec

from egretcart.direct.log.decisions import Decision
from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import JobYielded
from egretcart.direct.log.decisions import LeavingRunJudged
from egretcart.direct.log.decisions import TaskEndedAt
from egretcart.direct.log.decisions import TaskMoved
from egretcart.direct.log.decisions import TasksPlaced

HELD_KINDS = (TasksPlaced, TaskEndedAt, TaskMoved, LeavingRunJudged)
LAST_KINDS = (JobAnswered, JobCancelled, JobRefused, JobYielded)
COMPLETED = "completed"
# Endings of runs that make no job late by themselves.
USUAL_ENDINGS = ("done", "not_run")
# Most jobs whose lines are all written, in any span of a second.
MAX_WRONG_JOBS = 60
MAX_SAMPLED_JOBS = 2
SPAN_S = 1.0
# More lines of a job, or of more jobs at a time, are not held.
MAX_LINES_PER_JOB = 200
MAX_OPEN_JOBS = 2000


class HeldLine(msgspec.Struct, frozen=True):
    """A decision, and when it was made in Unix time, in seconds."""

    decision: Decision
    at: float


class JobLines:
    """Holds the lines of the jobs that a process has accepted.

    Attributes
    ----------
    held : dict of str to list of HeldLine
        Lines between the first and the last one of each open job.
    wrong_at, sampled_at : deque of float
        When all lines of a job were last written, as many times as there
        may be in a span, in seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.held: dict[str, list[HeldLine]] = {}
        self.wrong_at: deque[float] = deque(maxlen=MAX_WRONG_JOBS)
        self.sampled_at: deque[float] = deque(maxlen=MAX_SAMPLED_JOBS)

    def hold(self, decision: Decision, at: float) -> bool:
        """Hold a line if it belongs to an open job; return whether it does.

        Parameters
        ----------
        decision : Decision
        at : float
            Unix time in seconds.
        """
        if isinstance(decision, JobAccepted):
            if len(self.held) < MAX_OPEN_JOBS:
                self.held[decision.job_id] = []
            return False
        if not isinstance(decision, HELD_KINDS):
            return False
        lines = self.held.get(decision.job_id)
        if lines is None or len(lines) >= MAX_LINES_PER_JOB:
            return False
        lines.append(HeldLine(decision, at))
        return True

    def release(
        self, decision: Decision, now: float
    ) -> Sequence[HeldLine] | None:
        """Return the held lines that are to be written before a line.

        Parameters
        ----------
        decision : Decision
            The line; the last one of a job releases those of this job.
        now : float
            Time in seconds on the monotonic clock.

        Returns
        -------
        sequence of HeldLine or None
            None if the job went wrong and its lines have to be left out, as
            too many jobs did.
        """
        if not isinstance(decision, LAST_KINDS):
            return ()
        lines = self.held.pop(decision.job_id, None)
        if not lines:
            return ()
        is_wrong = went_wrong(decision, lines)
        times = self.wrong_at if is_wrong else self.sampled_at
        if len(times) == times.maxlen and now - times[0] < SPAN_S:
            return None if is_wrong else ()
        times.append(now)
        return lines


def went_wrong(last: Decision, lines: Sequence[HeldLine]) -> bool:
    """Whether a job was late, refused or cut off, or a run of it was.

    Parameters
    ----------
    last : Decision
        The last line of the job.
    lines : sequence of HeldLine
        The lines before it.
    """
    is_on_time = (
        isinstance(last, JobAnswered)
        and last.state == COMPLETED
        and last.elapsed_ms <= last.objective_ms
    )
    return not is_on_time or any(_is_unusual(line.decision) for line in lines)


def _is_unusual(decision: Decision) -> bool:
    if isinstance(decision, TaskEndedAt):
        return decision.ending not in USUAL_ENDINGS
    if isinstance(decision, LeavingRunJudged):
        return decision.moved
    return isinstance(decision, TaskMoved)

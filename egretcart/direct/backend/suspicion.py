"""Suspects a backend server by its own silence. Free of I/O.

This handles servers that go down and up by turns, and servers that answer but
have stopped working. Both are noticed long before a lease expires or a single
run counts as stalled, and meanwhile such a server would be sent task after
task. Nothing that a single job does makes its server suspect: it takes polls
without an answer, or runs of several jobs that all stand still.
"""

from collections.abc import Iterable
import enum

import msgspec


class Suspicion(enum.Enum):
    """Why a server gets no tasks.

    Attributes
    ----------
    NONE
        It is not suspect.
    SILENT
        Polls in a row got no answer.
    STALLED
        All of its runs stand still.
    HELD
        It answers again, after it was silent more than once.
    """

    NONE = ""
    SILENT = "silent"
    STALLED = "stalled"
    HELD = "held"


class SuspicionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a server is suspect, and for how long.

    Attributes
    ----------
    is_on : bool
        Whether servers are suspected at all.
    failed_polls : int
        Polls in a row without an answer after which a server is silent: a
        single one may be lost with its connection.
    stalled_jobs : int
        Jobs with runs at the server that all have to stand still: a single
        job may stall for a reason of its own.
    stall_s : float
        Time for which each of these runs stands still, in seconds.
    stall_fraction : float
        The same as a fraction of the estimated run time, if that is longer:
        a slow run shows its progress in steps of one percent.
    initial_hold_s, max_hold_s : float
        First and longest time for which a server that answers again gets no
        tasks, in seconds; it doubles with each further silence. The first
        silence is followed by none.
    memory_s : float
        Time without a silence after which earlier ones are forgotten, in
        seconds.
    """

    is_on: bool = False
    failed_polls: int = 2
    stalled_jobs: int = 3
    stall_s: float = 0.15
    stall_fraction: float = 0.05
    initial_hold_s: float = 1.0
    max_hold_s: float = 2.0
    memory_s: float = 5.0


class ObservedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run at the server, as its last listing shows it.

    Attributes
    ----------
    job_id : str
    age_s : float
        Time from its start to that listing, in seconds.
    still_s : float
        Time from its last known progress, or from the last end of a run at
        the server, to that listing, in seconds; `age_s` if neither is known.
    estimate_ms : float
        The caller's estimate of the run time, in milliseconds.
    """

    job_id: str
    age_s: float
    still_s: float
    estimate_ms: float


class BackendSuspicion:
    """Whether a server is suspect, from its answers and its runs.

    Times are in seconds on the agent's monotonic clock.

    Parameters
    ----------
    limits : SuspicionLimits

    Attributes
    ----------
    failed_polls : int
        Polls without an answer since the last listing.
    silences : int
        Times that the server was silent lately.
    last_silence_at : float
        When it was last silent; 0 if never.
    held_until : float
        Until when it gets no tasks although it answers.
    is_stalled : bool
        Whether all of its runs stand still.
    worked_at : float
        When a run last ended by itself; 0 if none has.
    """

    def __init__(self, *, limits: SuspicionLimits) -> None:
        self.limits = limits
        self.failed_polls = 0
        self.silences = 0
        self.last_silence_at = 0.0
        self.held_until = 0.0
        self.is_stalled = False
        self.worked_at = 0.0

    def state(self, now: float) -> Suspicion:
        """Return why the server gets no tasks now."""
        if not self.limits.is_on:
            return Suspicion.NONE
        if self.failed_polls >= self.limits.failed_polls:
            return Suspicion.SILENT
        if self.is_stalled:
            return Suspicion.STALLED
        return Suspicion.HELD if now < self.held_until else Suspicion.NONE

    def record_failed_poll(self, now: float) -> None:
        """Record a poll that got no answer."""
        if now - self.last_silence_at > self.limits.memory_s:
            self.silences = 0
        self.failed_polls += 1
        if self.failed_polls == self.limits.failed_polls:
            self.silences += 1
        if self.failed_polls >= self.limits.failed_polls:
            self.last_silence_at = now

    def record_answer(self, now: float) -> None:
        """Record an answer to a poll."""
        if self.failed_polls >= self.limits.failed_polls > 0:
            self.held_until = now + self._hold_s()
        self.failed_polls = 0

    def _hold_s(self) -> float:
        if self.silences < 2:
            return 0.0
        doubled_s = self.limits.initial_hold_s * 2.0 ** (self.silences - 2)
        return min(self.limits.max_hold_s, doubled_s)

    def record_runs(self, runs: Iterable[ObservedRun]) -> None:
        """Judge the server by all runs that its last listing shows.

        A run that has just started and shows no progress says nothing, and
        neither does a long one that may be about to show some.
        """
        still_jobs = set()
        for run in runs:
            if run.still_s >= self._stall_s(run):
                still_jobs.add(run.job_id)
            elif run.still_s < min(run.age_s, self.limits.stall_s):
                self.is_stalled = False
                return
        self.is_stalled = len(still_jobs) >= self.limits.stalled_jobs

    def _stall_s(self, run: ObservedRun) -> float:
        fraction_s = self.limits.stall_fraction * run.estimate_ms / 1000
        return max(self.limits.stall_s, fraction_s)

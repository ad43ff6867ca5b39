"""Detects a backend server at which tasks of several jobs fail in a row.

A server at which every task fails or stalls soon has free capacity again, so
that without this module most of the tasks would be sent to it. Failures of a
single job may be caused by its own tasks and do not count against the server.
A server may fail all that it begins while what it has begun before ends well,
so that a success only tells of the time from its start on.
"""

import math

import msgspec


class HealthLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a backend server gets no tasks, and for how long.

    Attributes
    ----------
    failed_jobs : int
        Number of jobs with failures in a row after which the server is
        probed with one task at a time. Jobs are counted rather than
        tasks, as all tasks of one job may fail for the same reason.
    initial_backoff_s, max_backoff_s : float
        First and longest time without any task after that, in seconds; it
        doubles with each task that fails again.
    """

    failed_jobs: int = 3
    initial_backoff_s: float = 0.5
    max_backoff_s: float = 4.0


class BackendHealth:
    """Counts jobs that failed in a row, and backs off from the server.

    Parameters
    ----------
    limits : HealthLimits

    Attributes
    ----------
    failed_jobs : set of str
        Ids of jobs with a failed run, since the last successful run that
        was started after a failed one.
    failed_start_at : float
        Latest start of a run that has failed; before all if none has.
    probing : bool
        Whether only one task at a time may run.
    backoff_until : float
        Time before which no task may start, in seconds on the agent's
        monotonic clock.
    backoff_s : float
        Length of the next backoff, in seconds.
    """

    def __init__(self, *, limits: HealthLimits) -> None:
        self.limits = limits
        self.failed_jobs: set[str] = set()
        self.failed_start_at = -math.inf
        self.probing = False
        self.backoff_until = 0.0
        self.backoff_s = limits.initial_backoff_s

    def record_success(self, started_at: float = math.inf) -> None:
        """Record a run that succeeded, and when it was started.

        It says nothing if a run that was started later has failed.
        """
        if started_at <= self.failed_start_at:
            return
        self.failed_jobs.clear()
        self.probing = False
        self.backoff_s = self.limits.initial_backoff_s

    def record_failure(
        self, job_id: str, now: float, started_at: float = -math.inf
    ) -> None:
        """Record a run that failed, stalled or was not accepted.

        Parameters
        ----------
        job_id : str
        now : float
        started_at : float, optional
            When it was started.
        """
        self.failed_start_at = max(self.failed_start_at, started_at)
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) < self.limits.failed_jobs:
            return
        if self.probing and now < self.backoff_until:
            return
        self.backoff_until = now + self.backoff_s
        if self.probing:
            self.backoff_s = min(self.backoff_s * 2, self.limits.max_backoff_s)
        self.probing = True

    def may_start(self, running: int, now: float) -> bool:
        """Whether one more task may be started, given the number running."""
        if now < self.backoff_until:
            return False
        return not self.probing or running == 0

"""Tells a backend server that spoils its tasks from tasks that fail.

Answers the load of a server that fails or stalls all that it starts: it is
idle, so without this it would draw most of the tasks.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HealthLimits:
    """When a backend server is taken out, and for how long.

    Attributes
    ----------
    bad_jobs : int
        Jobs in a row that go wrong before it is tried with one task at a
        time; tasks of one job may all be at fault themselves.
    first_pause_s, max_pause_s : float
        Time without any task after that, doubled by each task that goes
        wrong again, in seconds.
    """

    failed_jobs: int = 3
    initial_backoff_s: float = 0.5
    max_backoff_s: float = 4.0


class BackendHealth:
    """Counts what went wrong in a row.

    Parameters
    ----------
    limits : HealthLimits

    Attributes
    ----------
    probing : bool
        Whether only one task at a time may run.
    paused_until : float
        No task may run before.
    """

    def __init__(self, *, limits: HealthLimits) -> None:
        self.limits = limits
        self.failed_jobs: set[str] = set()
        self.probing = False
        self.backoff_until = 0.0
        self.backoff_s = limits.initial_backoff_s

    def record_success(self) -> None:
        """Note a run that was done."""
        self.failed_jobs.clear()
        self.probing = False
        self.backoff_s = self.limits.initial_backoff_s

    def record_failure(self, job_id: str, now: float) -> None:
        """Note a run that failed, stood still or was not accepted."""
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
        """Whether one more task may be started beside so many."""
        if now < self.backoff_until:
            return False
        return not self.probing or running == 0

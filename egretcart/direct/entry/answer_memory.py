"""Remembers for a while how jobs have ended. Free of I/O."""

from collections import OrderedDict

from egretcart.direct.request.job import JobState


class AnswerMemory:
    """Final states of answered jobs, for callers that ask again.

    Parameters
    ----------
    retention_s : float
        Time for which a state is remembered, in seconds.

    Attributes
    ----------
    ended : OrderedDict of str to tuple
        Final states of answered jobs and when they were answered, by job
        id, the oldest first.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.ended: OrderedDict[str, tuple[JobState, float]] = OrderedDict()

    def record(self, job_id: str, state: JobState, now: float) -> None:
        """Record how a job has ended."""
        self.ended.pop(job_id, None)
        self.ended[job_id] = (state, now)

    def state_of(self, job_id: str) -> JobState | None:
        """Return how a job has ended; None if that is not known."""
        ended = self.ended.get(job_id)
        return ended[0] if ended is not None else None

    def remove_old(self, now: float) -> None:
        """Forget the states that are older than the retention time."""
        oldest = now - self.retention_s
        while self.ended and next(iter(self.ended.values()))[1] < oldest:
            self.ended.popitem(last=False)

"""Order of waiting tasks, the same at entries and agents. Free of I/O.

This handles full occupation: more tasks wait than can begin, of several
queues and entries.
"""

import msgspec

from egretcart.direct.version.configuration import MAX_USEFUL_SHARE
from egretcart.direct.version.configuration import USEFUL_LATENCY_FACTOR

# Before all tasks that can be on time.
RAISED_RANK = -1
# Rank of a late task of the first priority.
LATE_RANK = 1_000_000


class TaskOrder(msgspec.Struct, frozen=True, kw_only=True):
    """What the order of a waiting task depends on.

    Times are in seconds on the clock of the process that holds it.

    Attributes
    ----------
    priority : int
        Priority of the job's route; 0 is served first.
    due_at : float
        When the job's latency objective ends.
    latest_start_at : float
        Until when the task has to start for its job to be on time.
    objective_s : float
        The job's latency objective, in seconds; 0 if it is not known.
    """

    priority: int
    due_at: float
    latest_start_at: float
    objective_s: float = 0.0

    @property
    def raised_at(self) -> float:
        """From when the task goes before those of all queues.

        So a stream of new tasks of queues ahead does not keep it waiting
        for longer than the wait for which its job may be accepted.
        """
        share = MAX_USEFUL_SHARE * USEFUL_LATENCY_FACTOR
        return self.due_at + (share - 1) * self.objective_s

    @property
    def raised_until(self) -> float:
        """Until when it does so: its answer is of no use after that."""
        return (
            self.latest_start_at
            + (USEFUL_LATENCY_FACTOR - 1) * self.objective_s
        )

    def rank(self, now: float) -> int:
        """Return the part of the sort key that deadlines do not decide.

        Raised tasks go first, then those that can be on time, by priority. A
        task that is late in any case must not make others late.
        """
        if self.raised_at <= now <= self.raised_until:
            return RAISED_RANK
        priority = min(self.priority, LATE_RANK - 1)
        return priority + (LATE_RANK if now > self.latest_start_at else 0)

    def key(self, now: float) -> tuple[int, float]:
        """Return the sort key; the lowest goes first."""
        return (self.rank(now), self.due_at)

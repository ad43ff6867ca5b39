"""Data structures of the task queue: jobs, lanes and urgency classes.

A lane contains the jobs of one urgency class and team; a class contains its
lanes.
"""

from collections.abc import Callable
import dataclasses
import heapq

# The heap of a class is rebuilt, which removes outdated entries, once it has
# more entries than this factor times the number of lanes plus the minimum.
REBUILD_HEAP_FACTOR = 4
MIN_REBUILD_ENTRIES = 64

# Urgency class and team.
LaneKey = tuple[str, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class QueuedJob:
    """One job's waiting and running tasks.

    Attributes
    ----------
    key : bytes
        Job id.
    lane : tuple of str
        Urgency class and team.
    arrived_at : float
        Monotonic time in seconds.
    work_ms : list of float
        Expected run time of each task, in milliseconds.
    remaining_ms : float
        Sum of `work_ms` over the tasks that are not done.
    longest_ms : float
        Expected run time of the longest task, in milliseconds.
    remaining_at_rank_ms : float
        `remaining_ms` when `rank` was computed.
    rank : float
        Sort key among the jobs of a lane; the lowest comes first.
    waiting : list of (float, int)
        Expected run times, in milliseconds, and negated indices of the
        waiting tasks, in ascending order; the last one starts next. The run
        time is infinite for a task that was started before.
    waiting_ms : float
        Expected run time of the waiting tasks, in milliseconds.
    """

    key: bytes
    lane: LaneKey
    arrived_at: float
    work_ms: list[float]
    remaining_ms: float
    longest_ms: float
    remaining_at_rank_ms: float = 0.0
    rank: float = 0.0
    waiting: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    waiting_ms: float = 0.0

    @property
    def slack_ms(self) -> float:
        """How much shorter the next task is than the longest one, in ms.

        0 if the next task is one that is started again.
        """
        return max(0.0, self.longest_ms - self.waiting[-1][0])


@dataclasses.dataclass(kw_only=True, slots=True)
class LaneQueue:
    """The jobs of one urgency class and team that have waiting tasks.

    Attributes
    ----------
    waiting : int
        Number of waiting tasks.
    heap : list of (float, bytes)
        Ranks and keys of jobs; entries with former ranks may remain.
    waiting_ms : float
        Expected run time of the waiting tasks, in milliseconds.
    """

    waiting: int = 0
    heap: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    waiting_ms: float = 0.0


class ClassQueue:
    """The lanes of one urgency class, lowest quota usage first.

    Attributes
    ----------
    lanes : dict of str to LaneQueue
        By team; only teams that have waiting tasks.
    heap : list of (float, str)
        Quota usages and teams, where the usage is the number of a team's
        started tasks as a share of its quota. An outdated entry remains
        until it is first in the heap or the heap is rebuilt.
    """

    def __init__(self) -> None:
        self.lanes: dict[str, LaneQueue] = {}
        self.heap: list[tuple[float, str]] = []

    def record_usage(self, team: str, usage: float) -> None:
        """Record a team's present usage of its quota."""
        if team in self.lanes:
            heapq.heappush(self.heap, (usage, team))

    def first(self, usages: Callable[[str], float]) -> tuple[float, str]:
        """Return the lowest usage and its team.

        Parameters
        ----------
        usages : callable
            Returns a team's present usage of its quota.

        Returns
        -------
        tuple of (float, str)
        """
        if (
            len(self.heap)
            > REBUILD_HEAP_FACTOR * len(self.lanes) + MIN_REBUILD_ENTRIES
        ):
            self.heap = [(usages(team), team) for team in self.lanes]
            heapq.heapify(self.heap)
        while True:
            usage, team = self.heap[0]
            if team in self.lanes and usages(team) == usage:
                return usage, team
            heapq.heappop(self.heap)

"""Queues of an order: jobs within lanes, lanes within urgency classes."""

from collections.abc import Callable
import dataclasses
import heapq

# Entries beyond which a heap of usages is made anew.
REBUILD_HEAP_FACTOR = 4
MIN_REBUILD_ENTRIES = 64

LaneKey = tuple[str, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class QueuedJob:
    """One job's waiting and running tasks.

    Attributes
    ----------
    key : bytes
    lane : tuple of str
        Urgency class and team.
    arrived : float
        Monotonic time in seconds.
    work_ms : list of float
        Expected run time of each task.
    remaining_ms : float
        Sum over the tasks that are not done.
    longest_ms : float
        Expected run time of the longest task.
    ranked_ms : float
        The remaining work that the present rank stands for.
    rank : float
        Place among the jobs of a lane: the least comes first.
    waiting : list of (float, int)
        Sorted expected run times and negative numbers of the waiting
        tasks; the last one starts next.
    waiting_ms : float
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
        """How much shorter the next task is than the longest one.

        A task that is started again counts as the longest.
        """
        return max(0.0, self.longest_ms - self.waiting[-1][0])


@dataclasses.dataclass(kw_only=True, slots=True)
class LaneQueue:
    """The jobs of one urgency class and team that have waiting tasks.

    Attributes
    ----------
    waiting : int
    heap : list of (float, bytes)
        Ranks and keys of jobs; entries of former ranks may remain.
    waiting_ms : float
        Expected run time of the waiting tasks.
    """

    waiting: int = 0
    heap: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    waiting_ms: float = 0.0


class ClassQueue:
    """The lanes of one urgency class, the least used team's first.

    Attributes
    ----------
    lanes : dict of str to LaneQueue
        By team; only teams that have waiting tasks.
    heap : list of (float, str)
        Usages and teams; outdated entries remain until they come up.
    """

    def __init__(self) -> None:
        self.lanes: dict[str, LaneQueue] = {}
        self.heap: list[tuple[float, str]] = []

    def record_usage(self, team: str, usage: float) -> None:
        """Take in a team's present usage."""
        if team in self.lanes:
            heapq.heappush(self.heap, (usage, team))

    def first(self, usages: Callable[[str], float]) -> tuple[float, str]:
        """Return the least usage and its team."""
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

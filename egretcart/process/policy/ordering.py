"""Which waiting task starts next."""

import dataclasses
import heapq
from typing import Protocol

from egretcart.process.scheduler import TaskKey
from egretcart.version.document import Configuration

# Share of a cell's slots that quotas may take, so that work beyond the
# quotas never starves.
MAX_QUOTA_SHARE = 0.9
# Milliseconds of remaining work, spread over the cell's slots, that a
# millisecond of age makes up for.
AGEING = 0.1
MS_PER_S = 1000
# A job's rank is renewed once its remaining work has shrunk to this share.
RERANK_SHARE = 0.8

Lane = tuple[str, str]


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
    ranked_ms : float
        The remaining work that the present rank stands for.
    rank : float
        Place among the jobs of a lane: the least comes first.
    waiting : list of (float, int)
        Heap of the waiting tasks, the longest first.
    waiting_ms : float
    """

    key: bytes
    lane: Lane
    arrived: float
    work_ms: list[float]
    remaining_ms: float
    ranked_ms: float = 0.0
    rank: float = 0.0
    waiting: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    waiting_ms: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class LaneQueue:
    """The jobs of one urgency class and team.

    Attributes
    ----------
    heap : list of (float, bytes)
        Ranks and keys of jobs; entries of former ranks may remain.
    waiting_ms : float
        Expected run time of the waiting tasks.
    """

    heap: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    waiting_ms: float = 0.0


class TaskOrder(Protocol):
    """Keeps the waiting tasks and says which one starts next."""

    @property
    def waiting(self) -> int:
        """Tasks that wait."""

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Put weights and quotas in force for one of a service's cells."""

    def add_job(
        self,
        key: bytes,
        *,
        urgency: str,
        team: str,
        work_ms: list[float],
        now: float,
    ) -> None:
        """Take in a job of which nothing waits yet."""

    def push(self, key: TaskKey, *, again: bool = False) -> None:
        """Add a task that may start now."""

    def peek(self) -> TaskKey | None:
        """Return the task that starts next, or None if none waits."""

    def take(self) -> None:
        """Count the task that `peek` returned as started."""

    def skip(self) -> None:
        """Drop the task that `peek` returned."""

    def started(self, key: TaskKey) -> None:
        """Count a task as started that did not wait here."""

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count a started task as ended."""

    def remove_job(self, key: bytes) -> None:
        """Forget a job, its waiting and its started tasks."""

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks."""

    def team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks."""

    def share(self, urgency: str) -> float:
        """Return the share of the slots that a class would get now."""

    def quota(self, team: str) -> int:
        """Return the slots that a team may always use."""


class FairOrder:
    """Quotas, then weighted classes, then the least remaining work.

    Teams below their quota go first; what they leave idle is borrowed.
    Among classes the slots' time is shared by weight, among the teams of a
    class it goes to the one with the least use of its quota, and among a
    team's jobs to the one with the least remaining work, aged by its wait.

    Parameters
    ----------
    ageing : float, optional
        Milliseconds of remaining work that a millisecond of age makes up
        for.
    """

    def __init__(self, *, ageing: float = AGEING) -> None:
        self.ageing = ageing
        self.configuration = Configuration()
        self.slots = 1
        self.quotas: dict[str, int] = {}
        self.jobs: dict[bytes, QueuedJob] = {}
        self.lanes: dict[Lane, LaneQueue] = {}
        self.in_use: dict[str, int] = {}
        self.running: dict[TaskKey, str] = {}
        self.served_ms: dict[str, float] = {}
        self.virtual_ms = 0.0
        self.waiting = 0
        self.head: TaskKey | None = None

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Put weights and quotas in force for one of a service's cells."""
        self.configuration = configuration
        self.slots = max(1, slots)
        total = max(1, sum(team.slots for team in configuration.teams))
        scale = min(1 / cells, MAX_QUOTA_SHARE * self.slots / total)
        self.quotas = {
            team.name: int(team.slots * scale) for team in configuration.teams
        }
        self.head = None

    def add_job(
        self,
        key: bytes,
        *,
        urgency: str,
        team: str,
        work_ms: list[float],
        now: float,
    ) -> None:
        """Take in a job of which nothing waits yet.

        Parameters
        ----------
        key : bytes
            Job id.
        urgency, team : str
        work_ms : list of float
            Expected run time of each task, in milliseconds.
        now : float
            Monotonic time in seconds.
        """
        self.jobs[key] = QueuedJob(
            key=key,
            lane=(urgency, team),
            arrived=now,
            work_ms=work_ms,
            remaining_ms=sum(work_ms),
        )

    def push(self, key: TaskKey, *, again: bool = False) -> None:
        """Add a task that may start now.

        Parameters
        ----------
        key : TaskKey
        again : bool, optional
            The task was started before and goes first in its job.
        """
        self.stopped(key, done=False)
        job = self.jobs[key[0]]
        work_ms = job.work_ms[key[1]]
        lane = self.lanes.setdefault(job.lane, LaneQueue())
        if not job.waiting:
            self._resume_class(job.lane[0])
            self._rank(job, lane)
        priority = float("-inf") if again else -work_ms
        heapq.heappush(job.waiting, (priority, key[1]))
        job.waiting_ms += work_ms
        lane.waiting_ms += work_ms
        self.waiting += 1
        self.head = None

    def peek(self) -> TaskKey | None:
        """Return the task that starts next, or None if none waits."""
        if self.head is None and self.waiting:
            self.head = self._select()
        return self.head

    def take(self) -> None:
        """Count the task that `peek` returned as started."""
        key = self._pop()
        job = self.jobs[key[0]]
        urgency = job.lane[0]
        work_ms = job.work_ms[key[1]]
        self.virtual_ms = max(self.virtual_ms, self.served_ms[urgency])
        self.served_ms[urgency] += work_ms / self._weight(urgency)
        self.started(key)

    def skip(self) -> None:
        """Drop the task that `peek` returned."""
        self._pop()

    def _pop(self) -> TaskKey:
        key = self.peek()
        assert key is not None
        job = self.jobs[key[0]]
        heapq.heappop(job.waiting)
        work_ms = job.work_ms[key[1]]
        job.waiting_ms -= work_ms
        self.lanes[job.lane].waiting_ms -= work_ms
        self.waiting -= 1
        self.head = None
        return key

    def started(self, key: TaskKey) -> None:
        """Count a task as started that did not wait here."""
        job = self.jobs.get(key[0])
        if job is None or key in self.running:
            return
        team = job.lane[1]
        self.running[key] = team
        self.in_use[team] = self.in_use.get(team, 0) + 1
        self.head = None

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count a started task as ended.

        Parameters
        ----------
        key : TaskKey
        done : bool
            Whether its work is no longer part of the job's remaining work.
        """
        team = self.running.pop(key, None)
        if team is not None:
            self.in_use[team] -= 1
            self.head = None
        job = self.jobs.get(key[0])
        if job is None or not done:
            return
        job.remaining_ms -= job.work_ms[key[1]]
        if job.waiting and job.remaining_ms < RERANK_SHARE * job.ranked_ms:
            self._rank(job, self.lanes[job.lane])

    def remove_job(self, key: bytes) -> None:
        """Forget a job, its waiting and its started tasks."""
        job = self.jobs.pop(key, None)
        if job is None:
            return
        for index in range(len(job.work_ms)):
            self.stopped((key, index), done=False)
        self.waiting -= len(job.waiting)
        if job.waiting:
            self.lanes[job.lane].waiting_ms -= job.waiting_ms
        self.head = None

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks."""
        return sum(
            queue.waiting_ms
            for lane, queue in self.lanes.items()
            if lane[0] == urgency
        )

    def team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks."""
        return sum(
            queue.waiting_ms
            for lane, queue in self.lanes.items()
            if lane[1] == team
        )

    def share(self, urgency: str) -> float:
        """Return the share of the slots that a class would get now."""
        waiting = {lane[0] for lane in self.lanes if self._head_of(lane)}
        waiting.add(urgency)
        total = sum(self._weight(name) for name in waiting)
        return self._weight(urgency) / total

    def quota(self, team: str) -> int:
        """Return the slots that a team may always use."""
        return self.quotas.get(team, 0)

    def _weight(self, urgency: str) -> int:
        found = self.configuration.find_urgency(urgency)
        return found.weight if found is not None else 1

    def _rank(self, job: QueuedJob, lane: LaneQueue) -> None:
        job.ranked_ms = job.remaining_ms
        job.rank = (
            job.remaining_ms / self.slots
            + self.ageing * job.arrived * MS_PER_S
        )
        heapq.heappush(lane.heap, (job.rank, job.key))

    def _resume_class(self, urgency: str) -> None:
        """Let a class that was idle claim no time of the past."""
        for lane in self.lanes:
            if lane[0] == urgency and self._head_of(lane) is not None:
                return
        served = self.served_ms.get(urgency, 0.0)
        self.served_ms[urgency] = max(served, self.virtual_ms)

    def _head_of(self, lane: Lane) -> QueuedJob | None:
        """Return the first job of a lane that has a waiting task."""
        heap = self.lanes[lane].heap
        while heap:
            rank, key = heap[0]
            job = self.jobs.get(key)
            if job is not None and job.waiting and job.rank == rank:
                return job
            heapq.heappop(heap)
        return None

    def _below_quota(self, lane: Lane) -> bool:
        return self.in_use.get(lane[1], 0) < self.quotas.get(lane[1], 0)

    def _usage(self, lane: Lane) -> float:
        quota = max(1, self.quotas.get(lane[1], 0))
        return self.in_use.get(lane[1], 0) / quota

    def _select(self) -> TaskKey:
        lanes = [lane for lane in self.lanes if self._head_of(lane)]
        lanes = [lane for lane in lanes if self._below_quota(lane)] or lanes
        urgency = min(
            {lane[0] for lane in lanes},
            key=lambda name: (self.served_ms[name], name),
        )
        lane = min(
            (lane for lane in lanes if lane[0] == urgency),
            key=lambda lane: (self._usage(lane), lane),
        )
        job = self._head_of(lane)
        assert job is not None
        return job.key, job.waiting[0][1]

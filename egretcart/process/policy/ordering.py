"""Which waiting task starts next."""

import bisect
import dataclasses
import heapq
from typing import Protocol

from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.policy.lanes import ClassQueue
from egretcart.process.policy.lanes import LaneKey
from egretcart.process.policy.lanes import LaneQueue
from egretcart.process.policy.lanes import QueuedJob
from egretcart.version.document import Configuration

# Share of a cell's slots that quotas may take, so that work beyond the
# quotas never starves.
MAX_QUOTA_SHARE = 0.9
# Milliseconds of remaining work, spread over the cell's slots, that a
# millisecond of age makes up for.
AGEING_FACTOR = 0.2
MS_PER_S = 1000
# A job's rank is renewed once its remaining work has shrunk to this share.
RERANK_FRACTION = 0.8
# Entries of a lane's heap that are sorted to look beyond its first job.
MAX_SORTED_JOBS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LastTask:
    """The waiting task that is to start last in its job.

    Attributes
    ----------
    key : TaskKey
    ahead_ms : float
        Expected run time of the waiting tasks up to the end of its job.
    """

    key: TaskKey
    queued_ahead_ms: float


class TaskQueue(Protocol):
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

    def start_next(self) -> None:
        """Count the task that `peek` returned as started."""

    def drop_next(self) -> None:
        """Drop the task that `peek` returned."""

    def last_tasks(self, limit: int) -> list[LastTask]:
        """Return the last task of some jobs, the first jobs' ones first."""

    def start_last(self, job: bytes) -> None:
        """Count the last waiting task of a job as started."""

    def waiting_job_ms(self, job: bytes) -> float:
        """Return the expected run time of a job's waiting tasks."""

    def started(self, key: TaskKey) -> None:
        """Count a task as started that did not wait here."""

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count a started task as ended."""

    def remove_job(self, key: bytes) -> None:
        """Forget a job, its waiting and its started tasks."""

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks."""

    def waiting_team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks."""

    def share(self, urgency: str) -> float:
        """Return the share of the slots that a class would get now."""

    def quota(self, team: str) -> int:
        """Return the slots that a team may always use."""


class FairTaskQueue:
    """Quotas, then weighted classes, then the least remaining work.

    Teams below their quota go first; what they leave idle is borrowed.
    Among classes the slots' time is shared by weight, among the teams of a
    class it goes to the one with the least use of its quota, and among a
    team's jobs to the one with the least remaining work, aged by its wait.
    A job whose next task is shorter than its longest one may wait by the
    difference, as it ends no later for it.

    Parameters
    ----------
    ageing : float, optional
        Milliseconds of remaining work that a millisecond of age makes up
        for.
    """

    def __init__(self, *, ageing: float = AGEING_FACTOR) -> None:
        self.ageing = ageing
        self.configuration = Configuration()
        self.slots = 1
        self.quotas: dict[str, int] = {}
        self.jobs: dict[bytes, QueuedJob] = {}
        self.classes: dict[str, ClassQueue] = {}
        self.slots_in_use: dict[str, int] = {}
        self.running: dict[TaskKey, str] = {}
        self.served_ms: dict[str, float] = {}
        self.virtual_ms = 0.0
        self.waiting = 0
        self.next_task: TaskKey | None = None

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
        for queue in self.classes.values():
            queue.heap = [(self._usage(team), team) for team in queue.lanes]
            heapq.heapify(queue.heap)
        self.next_task = None

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
            arrived_at=now,
            work_ms=work_ms,
            remaining_ms=sum(work_ms),
            longest_ms=max(work_ms),
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
        if not job.waiting:
            self._resume_class(job.lane[0])
        lane = self._ensure_lane(job.lane)
        entry = (float("inf") if again else work_ms, -key[1])
        bisect.insort(job.waiting, entry)
        if job.waiting[-1] == entry:
            self._rank(job, lane)
        job.waiting_ms += work_ms
        lane.waiting_ms += work_ms
        lane.waiting += 1
        self.waiting += 1
        self.next_task = None

    def peek(self) -> TaskKey | None:
        """Return the task that starts next, or None if none waits."""
        if self.next_task is None and self.waiting:
            self.next_task = self._select()
        return self.next_task

    def start_next(self) -> None:
        """Count the task that `peek` returned as started."""
        self._charge(self._pop())

    def _charge(self, key: TaskKey) -> None:
        """Count a task's work as done for its class, and as started."""
        job = self.jobs[key[0]]
        urgency = job.lane[0]
        work_ms = job.work_ms[key[1]]
        self.virtual_ms = max(self.virtual_ms, self.served_ms[urgency])
        self.served_ms[urgency] += work_ms / self._weight(urgency)
        self.started(key)

    def drop_next(self) -> None:
        """Drop the task that `peek` returned."""
        self._pop()

    def last_tasks(self, limit: int) -> list[LastTask]:
        """Return the last task of some jobs, the first jobs' ones first.

        Parameters
        ----------
        limit : int
            Most jobs that are looked at.

        Returns
        -------
        list of LastTask
        """
        found: list[LastTask] = []
        for queue in self.classes.values():
            for lane in queue.lanes.values():
                if len(found) >= limit:
                    return found
                found += self._last_tasks_of(lane, limit - len(found))
        return found

    def _last_tasks_of(self, lane: LaneQueue, limit: int) -> list[LastTask]:
        """Return the last tasks of a lane's first and latest jobs."""
        found: list[LastTask] = []
        queued_ahead_ms = 0.0
        for job in self._jobs_of(lane):
            queued_ahead_ms += job.waiting_ms
            key = (job.key, -job.waiting[0][1])
            found.append(LastTask(key=key, queued_ahead_ms=queued_ahead_ms))
        if len(found) > limit:
            del found[limit // 2 : limit // 2 - limit]
        return found

    def _jobs_of(self, lane: LaneQueue) -> list[QueuedJob]:
        """Return jobs of a lane in their order.

        Of more than `SORTED_JOBS` some are left out; the first entries of
        a heap are among the least, but not all of the least.
        """
        jobs: dict[bytes, QueuedJob] = {}
        for rank, key in sorted(lane.heap[:MAX_SORTED_JOBS]):
            job = self.jobs.get(key)
            if job is not None and job.waiting and job.rank == rank:
                jobs[key] = job
        return list(jobs.values())

    def start_last(self, job: bytes) -> None:
        """Count the last waiting task of a job as started."""
        _, negative = self.jobs[job].waiting.pop(0)
        key = (job, -negative)
        self._remove_waiting(key)
        self._charge(key)

    def waiting_job_ms(self, job: bytes) -> float:
        """Return the expected run time of a job's waiting tasks."""
        return self.jobs[job].waiting_ms

    def _pop(self) -> TaskKey:
        key = self.peek()
        assert key is not None
        job = self.jobs[key[0]]
        work_ms, _ = job.waiting.pop()
        self._remove_waiting(key)
        if job.waiting and job.waiting[-1][0] < work_ms:
            self._rank(job, self._ensure_lane(job.lane))
        return key

    def _remove_waiting(self, key: TaskKey) -> None:
        job = self.jobs[key[0]]
        work_ms = job.work_ms[key[1]]
        job.waiting_ms -= work_ms
        self._dequeue(job.lane, 1, work_ms)

    def _dequeue(self, lane: LaneKey, tasks: int, work_ms: float) -> None:
        """Count tasks as no longer waiting; an empty lane is dropped."""
        lanes = self.classes[lane[0]].lanes
        queue = lanes[lane[1]]
        queue.waiting -= tasks
        queue.waiting_ms -= work_ms
        if not queue.waiting:
            del lanes[lane[1]]
        self.waiting -= tasks
        self.next_task = None

    def started(self, key: TaskKey) -> None:
        """Count a task as started that did not wait here."""
        job = self.jobs.get(key[0])
        if job is None or key in self.running:
            return
        team = job.lane[1]
        self.running[key] = team
        self._adjust_slots_in_use(team, 1)

    def _adjust_slots_in_use(self, team: str, change: int) -> None:
        self.slots_in_use[team] = self.slots_in_use.get(team, 0) + change
        usage = self._usage(team)
        for queue in self.classes.values():
            queue.record_usage(team, usage)
        self.next_task = None

    def _ensure_lane(self, lane: LaneKey) -> LaneQueue:
        queue = self.classes.setdefault(lane[0], ClassQueue())
        found = queue.lanes.get(lane[1])
        if found is None:
            found = queue.lanes[lane[1]] = LaneQueue()
            queue.record_usage(lane[1], self._usage(lane[1]))
        return found

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
            self._adjust_slots_in_use(team, -1)
        job = self.jobs.get(key[0])
        if job is None or not done:
            return
        job.remaining_ms -= job.work_ms[key[1]]
        if (
            job.waiting
            and job.remaining_ms < RERANK_FRACTION * job.remaining_at_rank_ms
        ):
            self._rank(job, self._ensure_lane(job.lane))

    def remove_job(self, key: bytes) -> None:
        """Forget a job, its waiting and its started tasks."""
        job = self.jobs.pop(key, None)
        if job is None:
            return
        for index in range(len(job.work_ms)):
            self.stopped((key, index), done=False)
        if job.waiting:
            self._dequeue(job.lane, len(job.waiting), job.waiting_ms)

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks."""
        queue = self.classes.get(urgency)
        if queue is None:
            return 0.0
        return sum(lane.waiting_ms for lane in queue.lanes.values())

    def waiting_team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks."""
        return sum(
            queue.lanes[team].waiting_ms
            for queue in self.classes.values()
            if team in queue.lanes
        )

    def share(self, urgency: str) -> float:
        """Return the share of the slots that a class would get now."""
        waiting = {name for name, queue in self.classes.items() if queue.lanes}
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
        job.remaining_at_rank_ms = job.remaining_ms
        job.rank = job.remaining_ms / self.slots + self.ageing * (
            job.arrived_at * MS_PER_S + job.slack_ms
        )
        heapq.heappush(lane.heap, (job.rank, job.key))

    def _resume_class(self, urgency: str) -> None:
        """Let a class that was idle claim no time of the past."""
        queue = self.classes.get(urgency)
        if queue is not None and queue.lanes:
            return
        served = self.served_ms.get(urgency, 0.0)
        self.served_ms[urgency] = max(served, self.virtual_ms)

    def _head_of(self, lane: LaneQueue) -> QueuedJob:
        """Return the first job of a lane."""
        heap = lane.heap
        while True:
            rank, key = heap[0]
            job = self.jobs.get(key)
            if job is not None and job.waiting and job.rank == rank:
                return job
            heapq.heappop(heap)

    def _usage(self, team: str) -> float:
        """Return the share of its quota that a team uses; 1 is all of it."""
        slots_in_use = self.slots_in_use.get(team, 0)
        quota = self.quotas.get(team, 0)
        return slots_in_use / quota if quota else 1.0 + slots_in_use

    def _select(self) -> TaskKey:
        firsts: list[tuple[bool, float, str, str]] = []
        for urgency, queue in self.classes.items():
            if queue.lanes:
                usage, team = queue.first(self._usage)
                served_ms = self.served_ms[urgency]
                firsts.append((usage >= 1.0, served_ms, urgency, team))
        _, _, urgency, team = min(firsts)
        job = self._head_of(self.classes[urgency].lanes[team])
        return job.key, -job.waiting[-1][1]

"""Queue of waiting tasks that decides which one starts next."""

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

# Largest share of a cell's slots that quotas may reserve, so that work beyond
# the quotas never starves.
MAX_QUOTA_SHARE = 0.9
# Weight of a job's age in its rank. Each millisecond of age counts like this
# many milliseconds less of remaining work per slot of the cell.
AGEING_FACTOR = 0.2
MS_PER_S = 1000
# A job's rank is recomputed once its remaining work has fallen below this
# share of what it was at the last ranking.
RERANK_FRACTION = 0.8
# Entries of a lane's heap that are sorted to list more than its first job.
MAX_SORTED_JOBS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LastTask:
    """The waiting task that is to start last in its job.

    Attributes
    ----------
    key : TaskKey
    queued_ahead_ms : float
        Expected run time, in milliseconds, of the waiting tasks of its lane
        up to the end of its job.
    """

    key: TaskKey
    queued_ahead_ms: float


class TaskQueue(Protocol):
    """Stores the waiting tasks and decides which one starts next."""

    @property
    def waiting(self) -> int:
        """Number of waiting tasks."""

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Apply weights and quotas to one of a service's cells."""

    def add_job(
        self,
        key: bytes,
        *,
        urgency: str,
        team: str,
        work_ms: list[float],
        now: float,
    ) -> None:
        """Add a job, none of whose tasks waits yet."""

    def push(self, key: TaskKey, *, again: bool = False) -> None:
        """Add a task that may start now."""

    def peek(self) -> TaskKey | None:
        """Return the task that starts next, or None if none waits."""

    def start_next(self) -> None:
        """Count the task that `peek` returned as started."""

    def drop_next(self) -> None:
        """Remove the task that `peek` returned without starting it."""

    def last_tasks(self, limit: int) -> list[LastTask]:
        """Return the last waiting task of some jobs, in their lanes' order.

        A slow agent may finish such a task no later than its job ends anyway.
        """

    def start_last(self, job: bytes) -> None:
        """Count the last waiting task of a job as started."""

    def waiting_job_ms(self, job: bytes) -> float:
        """Return the expected run time of a job's waiting tasks, in ms."""

    def started(self, key: TaskKey) -> None:
        """Count a task that is not in the queue as started."""

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count a started task as ended."""

    def remove_job(self, key: bytes) -> None:
        """Remove a job with its waiting and its started tasks."""

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks, in ms."""

    def waiting_team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks, in ms."""

    def share(self, urgency: str) -> float:
        """Return the share of the slots that a class would get now."""

    def quota(self, team: str) -> int:
        """Return the number of slots reserved for a team in this cell."""


class FairTaskQueue:
    """Orders by quota, then class weight, then least remaining work.

    Teams below their quota go first; other teams borrow the slots that they
    leave idle. The slots' time is shared among the urgency classes by
    weight. Within a class, the team that uses the least of its quota goes
    first. Within a team, the job with the least remaining work goes first;
    a job's age offsets part of its remaining work, so that large jobs move
    forward as they wait. A job whose next task is shorter than its longest
    task is ranked as if it had arrived later by the difference, because the
    delay of a shorter task makes the job end no later.

    Parameters
    ----------
    ageing : float, optional
        Weight of a job's age in its rank. Each millisecond of age counts
        like this many milliseconds less of remaining work per slot of the
        cell.

    Attributes
    ----------
    configuration : Configuration
    slots : int
        Slots of the cell; at least 1.
    quotas : dict of str to int
        Slots of this cell that are reserved, by team.
    jobs : dict of bytes to QueuedJob
        By job id.
    classes : dict of str to ClassQueue
        By urgency class.
    slots_in_use : dict of str to int
        Started tasks, by team.
    running : dict of TaskKey to str
        Teams of the started tasks.
    served_ms : dict of str to float
        Expected run time of the started tasks, in milliseconds, divided by
        the weight, by urgency class; the class with the least goes first.
    virtual_time_ms : float
        Virtual time of the weighted fair queueing, in milliseconds: the
        largest `served_ms` that any class had when one of its tasks
        started. A class that was idle resumes from it, so that it does not
        catch up on the time that it missed.
    waiting : int
        Number of waiting tasks.
    next_task : TaskKey or None
        Result of the next `peek`; None if it has to be selected anew.
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
        self.virtual_time_ms = 0.0
        self.waiting = 0
        self.next_task: TaskKey | None = None

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Apply weights and quotas to one of a service's cells.

        A team's quota is divided evenly among the cells. All quotas are
        reduced by the same factor if they exceed `MAX_QUOTA_SHARE` of the
        slots.

        Parameters
        ----------
        configuration : Configuration
        slots : int
            Slots of this cell.
        cells : int
            Number of cells of the service.
        """
        self.configuration = configuration
        self.slots = max(1, slots)
        total = max(1, sum(team.slots for team in configuration.teams))
        scale = min(1 / cells, MAX_QUOTA_SHARE * self.slots / total)
        self.quotas = {
            team.name: int(team.slots * scale) for team in configuration.teams
        }
        for queue in self.classes.values():
            queue.heap = [
                (self._quota_usage(team), team) for team in queue.lanes
            ]
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
        """Add a job, none of whose tasks waits yet.

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
            Whether the task was started before; it then goes first in its
            job.
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
        """Count a task as started and charge its work to its class."""
        job = self.jobs[key[0]]
        urgency = job.lane[0]
        work_ms = job.work_ms[key[1]]
        self.virtual_time_ms = max(
            self.virtual_time_ms, self.served_ms[urgency]
        )
        self.served_ms[urgency] += work_ms / self._weight(urgency)
        self.started(key)

    def drop_next(self) -> None:
        """Remove the task that `peek` returned without starting it."""
        self._pop()

    def last_tasks(self, limit: int) -> list[LastTask]:
        """Return the last waiting task of some jobs, in their lanes' order.

        A slow agent may finish such a task no later than its job ends anyway.

        Parameters
        ----------
        limit : int
            Most tasks to return.

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
        """Return the last waiting tasks of a lane's first and last jobs.

        If the lane has more jobs than the limit, those in the middle are
        left out.
        """
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

        Only the first `MAX_SORTED_JOBS` entries of the heap are sorted.
        They are among the lowest ranks, but a heap does not guarantee that
        they are all of the lowest ones.
        """
        jobs: dict[bytes, QueuedJob] = {}
        for rank, key in sorted(lane.heap[:MAX_SORTED_JOBS]):
            job = self.jobs.get(key)
            if job is not None and job.waiting and job.rank == rank:
                jobs[key] = job
        return list(jobs.values())

    def start_last(self, job: bytes) -> None:
        """Count the last waiting task of a job as started."""
        _, negative_index = self.jobs[job].waiting.pop(0)
        key = (job, -negative_index)
        self._remove_waiting(key)
        self._charge(key)

    def waiting_job_ms(self, job: bytes) -> float:
        """Return the expected run time of a job's waiting tasks, in ms."""
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
        """Count tasks as no longer waiting; remove their lane if empty."""
        lanes = self.classes[lane[0]].lanes
        queue = lanes[lane[1]]
        queue.waiting -= tasks
        queue.waiting_ms -= work_ms
        if not queue.waiting:
            del lanes[lane[1]]
        self.waiting -= tasks
        self.next_task = None

    def started(self, key: TaskKey) -> None:
        """Count a task that is not in the queue as started."""
        job = self.jobs.get(key[0])
        if job is None or key in self.running:
            return
        team = job.lane[1]
        self.running[key] = team
        self._adjust_slots_in_use(team, 1)

    def _adjust_slots_in_use(self, team: str, change: int) -> None:
        self.slots_in_use[team] = self.slots_in_use.get(team, 0) + change
        usage = self._quota_usage(team)
        for queue in self.classes.values():
            queue.record_usage(team, usage)
        self.next_task = None

    def _ensure_lane(self, lane: LaneKey) -> LaneQueue:
        queue = self.classes.setdefault(lane[0], ClassQueue())
        found = queue.lanes.get(lane[1])
        if found is None:
            found = queue.lanes[lane[1]] = LaneQueue()
            queue.record_usage(lane[1], self._quota_usage(lane[1]))
        return found

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count a started task as ended.

        Parameters
        ----------
        key : TaskKey
        done : bool
            Whether its work is to be subtracted from the job's remaining
            work.
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
        """Remove a job with its waiting and its started tasks."""
        job = self.jobs.pop(key, None)
        if job is None:
            return
        for index in range(len(job.work_ms)):
            self.stopped((key, index), done=False)
        if job.waiting:
            self._dequeue(job.lane, len(job.waiting), job.waiting_ms)

    def waiting_ms(self, urgency: str) -> float:
        """Return the expected run time of a class's waiting tasks, in ms."""
        queue = self.classes.get(urgency)
        if queue is None:
            return 0.0
        return sum(lane.waiting_ms for lane in queue.lanes.values())

    def waiting_team_ms(self, team: str) -> float:
        """Return the expected run time of a team's waiting tasks, in ms."""
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
        """Return the number of slots reserved for a team in this cell."""
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
        """Keep a class that was idle from catching up on missed time."""
        queue = self.classes.get(urgency)
        if queue is not None and queue.lanes:
            return
        served = self.served_ms.get(urgency, 0.0)
        self.served_ms[urgency] = max(served, self.virtual_time_ms)

    def _first_job(self, lane: LaneQueue) -> QueuedJob:
        """Return the first job of a lane."""
        heap = lane.heap
        while True:
            rank, key = heap[0]
            job = self.jobs.get(key)
            if job is not None and job.waiting and job.rank == rank:
                return job
            heapq.heappop(heap)

    def _quota_usage(self, team: str) -> float:
        """Return the share of its quota that a team uses.

        1 is all of the quota; without a quota the result is 1 or more.
        """
        slots_in_use = self.slots_in_use.get(team, 0)
        quota = self.quotas.get(team, 0)
        return slots_in_use / quota if quota else 1.0 + slots_in_use

    def _select(self) -> TaskKey:
        first_lanes: list[tuple[bool, float, str, str]] = []
        for urgency, queue in self.classes.items():
            if queue.lanes:
                usage, team = queue.first(self._quota_usage)
                served_ms = self.served_ms[urgency]
                first_lanes.append((usage >= 1.0, served_ms, urgency, team))
        _, _, urgency, team = min(first_lanes)
        job = self._first_job(self.classes[urgency].lanes[team])
        return job.key, -job.waiting[-1][1]

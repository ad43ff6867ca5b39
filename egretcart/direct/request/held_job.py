"""Jobs that an entry has accepted, and their tasks. Free of I/O."""

from collections.abc import Iterable
import enum
import math

import msgspec

from egretcart.direct.request.bounds import limited_span_ms
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import TaskKey
from egretcart.direct.request.ordering import TaskOrder
from egretcart.direct.version.configuration import Route


class TaskPhase(enum.Enum):
    """Phase of a task at the entry.

    Attributes
    ----------
    WAITING
        It has not been sent, or has to be sent again.
    SENT
        It was sent to an agent.
    STOPPING
        Its run is being stopped, and the end of the run is not known yet.
    DONE
        It has succeeded.
    """

    WAITING = "waiting"
    SENT = "sent"
    STOPPING = "stopping"
    DONE = "done"


class HeldTask(msgspec.Struct, kw_only=True):
    """State of one task of an accepted job, as its entry keeps it.

    The message of the same name in messages.py describes a run at an agent.

    Attributes
    ----------
    key : TaskKey
    phase : TaskPhase
    run : int
        Number of the last run.
    agent_id : str
        Agent to which that run was sent; empty if there was none.
    failures : int
        Number of runs that have failed.
    crash_score : int
        Sum of what crashes of backend servers count against the task.
    avoided_agents : set of str
        Agents at which a run has failed, was stopped or was lost.
    expires_at : float or None
        When the run at a lost agent expires, in seconds on the entry's
        monotonic clock; None if the agent is not lost.
    kept_run : int
        Number of the last run that was left at a leaving backend server
        although it may be cut off; 0 if there was none.
    has_run : bool
        Whether a run of the task may have begun.
    """

    key: TaskKey
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    agent_id: str = ""
    failures: int = 0
    crash_score: int = 0
    avoided_agents: set[str] = msgspec.field(default_factory=set)
    expires_at: float | None = None
    kept_run: int = 0
    has_run: bool = False


class HeldJob:
    """A job, its tasks and the requests that wait for its answer.

    Parameters
    ----------
    job : Job
    route : Route
    now : float
        Time of acceptance, in seconds on the entry's monotonic clock, as
        all times here without a unit in their name.
    first_run : int
        Number of the first run of each task.
    may_have_run : bool, optional
        Whether another entry may have started tasks of the job.
    wait_limit_s : float, optional
        How long its caller waits, in seconds; infinite if not given.

    Attributes
    ----------
    waiting_request_ids : set of int
        Requests that wait for the answer; empty once the job was cancelled
        or answered.
    accepted_at : float
        When the job was accepted.
    wait_deadline : float
        When its caller stops waiting.
    objective_ms : float
        Latency objective, from the caller's estimates, in milliseconds.
    critical_path_ms : float
        Run time with enough capacity for all tasks, from the caller's
        estimates, in milliseconds.
    order : TaskOrder
        In which order the tasks of jobs are sent.
    tasks : dict of TaskKey to HeldTask
        All tasks of the job.
    remaining_counts : list of int
        Number of tasks of each step that have not succeeded yet.
    waiting_count : int
        Number of tasks that wait, also for steps before theirs.
    """

    def __init__(
        self,
        *,
        job: Job,
        route: Route,
        now: float,
        first_run: int,
        may_have_run: bool = False,
        wait_limit_s: float = math.inf,
    ) -> None:
        self.job = job
        self.route = route
        self.accepted_at = now
        self.may_have_run = may_have_run
        self.wait_deadline = now + wait_limit_s
        self.waiting_request_ids: set[int] = set()
        self.objective_ms = objective_ms(job, route)
        self.critical_path_ms = estimate_critical_path_ms(job)
        self.order = TaskOrder(
            priority=route.priority,
            due_at=self.due_at,
            latest_start_at=self.due_at - self.critical_path_ms / 1000,
            objective_s=self.objective_ms / 1000,
        )
        self.tasks: dict[TaskKey, HeldTask] = {}
        self.remaining_counts = [step.count for step in job.steps]
        for number, step in enumerate(job.steps):
            for index in range(step.count):
                key = TaskKey(job.job_id, number, index)
                self.tasks[key] = HeldTask(key=key, run=first_run - 1)
        self.waiting_count = len(self.tasks)

    @property
    def has_begun(self) -> bool:
        """Whether a task may have started."""
        return any(
            task.has_run or task.phase is not TaskPhase.WAITING
            for task in self.tasks.values()
        )

    @property
    def due_at(self) -> float:
        """When the latency objective ends."""
        return self.accepted_at + self.objective_ms / 1000

    @property
    def state(self) -> JobState:
        """How far the job has come."""
        if not any(self.remaining_counts):
            return JobState.COMPLETED
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    @property
    def has_no_active_runs(self) -> bool:
        """Whether no run of the job can be left at any agent."""
        return all(
            task.phase in (TaskPhase.WAITING, TaskPhase.DONE)
            for task in self.tasks.values()
        )

    def sort_key(self, now: float) -> tuple[int, float]:
        """Return the sort key of jobs; see `TaskOrder`."""
        return self.order.key(now)

    def will_miss_objective(self, now: float) -> bool:
        """Whether the job misses its objective even if it starts now."""
        return now + self.critical_path_ms / 1000 > self.due_at

    def is_step_ready(self, step: int) -> bool:
        """Whether all tasks of the steps before have succeeded."""
        return not any(
            self.remaining_counts[before]
            for before in self.job.steps[step].after
        )

    def waiting(self) -> Iterable[HeldTask]:
        """Yield the tasks that may be sent now."""
        # Most jobs have nothing left to send, and are asked after each
        # message.
        if not self.waiting_count:
            return
        for task in self.tasks.values():
            if task.phase is TaskPhase.WAITING and self.is_step_ready(
                task.key.step
            ):
                yield task

    def set_phase(self, task: HeldTask, phase: TaskPhase) -> None:
        """Change how far one of the job's tasks has come."""
        was_waiting = task.phase is TaskPhase.WAITING
        self.waiting_count += (phase is TaskPhase.WAITING) - was_waiting
        task.phase = phase

    def mark_done(self, task: HeldTask) -> None:
        """Record that a task has succeeded."""
        if task.phase is not TaskPhase.DONE:
            self.set_phase(task, TaskPhase.DONE)
            self.remaining_counts[task.key.step] -= 1

    def step_tasks_by_agent(self, step: int) -> dict[str, int]:
        """Return how many tasks of a step were sent to each agent."""
        counts: dict[str, int] = {}
        for task in self.tasks.values():
            sent = task.phase in (TaskPhase.SENT, TaskPhase.STOPPING)
            if task.key.step == step and sent:
                counts[task.agent_id] = counts.get(task.agent_id, 0) + 1
        return counts

    def unsent_cpu_milli_ms(self) -> float:
        """Return the estimated work of the waiting tasks.

        It is in thousandths of a processor times milliseconds.
        """
        return sum(
            self.job.steps[task.key.step].estimate_ms
            * self.job.steps[task.key.step].room.cpu_milli
            for task in self.tasks.values()
            if task.phase is TaskPhase.WAITING
        )


def estimate_critical_path_ms(job: Job) -> float:
    """Return a job's run time with enough capacity, from its estimates.

    It is limited to `MAX_SPAN_MS`, as is the objective that follows from it.
    """
    path_ms: list[float] = []
    for step in job.steps:
        before = max((path_ms[number] for number in step.after), default=0.0)
        path_ms.append(before + step.estimate_ms)
    return limited_span_ms(max(path_ms, default=0.0))


def objective_ms(job: Job, route: Route) -> float:
    """Return the latency objective of a job, from its estimates."""
    path_ms = estimate_critical_path_ms(job)
    return limited_span_ms(route.stretch * path_ms + route.slack_ms)

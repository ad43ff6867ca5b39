"""Progress of jobs and their tasks, as the leader records it."""

import dataclasses
import enum

import msgspec

from egretcart.request.job import Job
from egretcart.request.verdict import combine_verdicts
from egretcart.request.verdict import Verdict


class TaskState(enum.Enum):
    """State of a task at the leader.

    A task is `WAITING` until an attempt is sent to an agent, and again when
    an attempt is to be repeated; `PLACED` while an attempt is at an agent;
    `DONE` once its answer is recorded; `FAILED` after a failed attempt, until
    that is repeated or the job ends.
    """

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeAttempt:
    """A second attempt, which runs in parallel with the newest one.

    Attributes
    ----------
    attempt : int
        Number of the attempt.
    agent_id : str
        Agent that the attempt was sent to.
    placed_at : float
        Monotonic time of the placement, in seconds.
    time_limit_s : float
        Time limit of the attempt, in seconds.
    """

    attempt: int
    agent_id: str
    placed_at: float
    time_limit_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskProgress:
    """Progress of one task at the leader.

    A hedge, though started later, does not count as the newest attempt.

    Attributes
    ----------
    state : TaskState
    attempt : int
        Number of the newest attempt; 0 before the first.
    agent_id : str or None
        Agent that the newest attempt was sent to; None before the first.
    placed_at : float
        Monotonic time of the newest placement, in seconds.
    time_limit_s : float
        Time limit of the newest attempt, in seconds; 0 if a former leader
        started the attempt.
    hedge : HedgeAttempt or None
        The second attempt that runs in parallel; None if there is none.
    last_issued_attempt : int
        Highest attempt number issued, hedges included; 0 before the first.
    failed_attempts : int
        Number of failed attempts that may have run.
    consecutive_refusals : int
        Number of attempts in a row that were refused as not run.
    failed_agent_ids : tuple of str
        Agents on which an attempt failed that may have run.
    not_before : float
        Monotonic time before which no further attempt may start, in seconds.
    verdict : Verdict
        Whether any attempt may have run.
    result : msgspec.Raw or None
        The task's answer; None until the task is done.
    """

    state: TaskState = TaskState.WAITING
    attempt: int = 0
    agent_id: str | None = None
    placed_at: float = 0.0
    time_limit_s: float = 0.0
    hedge: HedgeAttempt | None = None
    last_issued_attempt: int = 0
    failed_attempts: int = 0
    consecutive_refusals: int = 0
    failed_agent_ids: tuple[str, ...] = ()
    not_before: float = float("-inf")
    verdict: Verdict = Verdict.NOT_RUN
    result: msgspec.Raw | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class JobProgress:
    """Progress of one job at the leader.

    Attributes
    ----------
    job : Job
    arrived_at, deadline : float
        Monotonic times, in seconds, at which the job arrived and by which it
        must be answered.
    tasks : list of TaskProgress
        In the order of the job's tasks.
    unfinished_task_count : int
        Number of tasks that are not done yet.
    failed_agent_ids : set of str
        Agents on which an attempt at any task failed that may have run.
    result_bytes : int
        Size of the answers so far, in bytes.
    expected_end_at : float
        Monotonic time at which the started tasks are expected to have ended,
        in seconds; 0 if none has been started.
    """

    job: Job
    arrived_at: float
    deadline: float
    tasks: list[TaskProgress]
    unfinished_task_count: int
    failed_agent_ids: set[str] = dataclasses.field(default_factory=set)
    result_bytes: int = 0
    expected_end_at: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return self.unfinished_task_count == 0

    def finish_task(self, index: int, result: msgspec.Raw) -> None:
        """Record a task's answer."""
        task = self.tasks[index]
        task.state = TaskState.DONE
        task.verdict = Verdict.RAN
        task.result = result
        task.hedge = None
        self.result_bytes += memoryview(result).nbytes
        self.unfinished_task_count -= 1

    @property
    def has_finished_task(self) -> bool:
        """Whether any task is done, which shows that the job can run."""
        return self.unfinished_task_count < len(self.tasks)

    def results(self) -> list[msgspec.Raw]:
        """Return all answers in task order."""
        return [task.result for task in self.tasks if task.result is not None]

    def verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict per task; a placed task may have run."""
        return tuple(
            Verdict.MAY_HAVE_RUN
            if task.state is TaskState.PLACED
            else task.verdict
            for task in self.tasks
        )

    def verdict(self) -> Verdict:
        """Return the verdict of the whole job."""
        return combine_verdicts(self.verdicts())


def new_job_progress(
    job: Job, *, arrived_at: float, deadline: float
) -> JobProgress:
    """Return the progress of a job of which no task was started."""
    tasks = [TaskProgress() for _ in job.tasks]
    return JobProgress(
        job=job,
        arrived_at=arrived_at,
        deadline=deadline,
        tasks=tasks,
        unfinished_task_count=len(tasks),
    )

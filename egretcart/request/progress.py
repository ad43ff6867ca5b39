"""How far a job and its tasks have come at the leader."""

import dataclasses
import enum

import msgspec

from egretcart.request.job import Job
from egretcart.request.verdict import combine_verdicts
from egretcart.request.verdict import Verdict


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeAttempt:
    """A second attempt that runs beside the newest one.

    Attributes
    ----------
    attempt : int
    agent_id : str
    placed_at : float
        Monotonic time.
    limit_s : float
        Time limit of the attempt, in seconds.
    """

    attempt: int
    agent_id: str
    placed_at: float
    time_limit_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskProgress:
    """One task at the leader.

    Attributes
    ----------
    state : TaskState
    attempt : int
        Number of the newest attempt; 0 before the first.
    agent_id : str or None
        Agent that has the newest attempt.
    placed_at : float
        Monotonic time of the newest placement.
    limit_s : float
        Time limit of the newest attempt; 0 if a former leader made it.
    hedge : HedgeAttempt or None
    issued : int
        Highest attempt number given out.
    tries : int
        Attempts that have failed and may have run.
    refusals : int
        Attempts that were refused as not run, in a row.
    failed_on : tuple of str
        Agents on which attempts have failed that may have run.
    not_before : float
        Monotonic time before which no further attempt may start.
    verdict : Verdict
        Whether any attempt may have run.
    result : msgspec.Raw or None
        The answer once done.
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
    failed_agents_seen: tuple[str, ...] = ()
    not_before: float = float("-inf")
    verdict: Verdict = Verdict.NOT_RUN
    result: msgspec.Raw | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class JobProgress:
    """One job at the leader.

    Attributes
    ----------
    job : Job
    arrived, deadline : float
        Monotonic times.
    tasks : list of TaskProgress
    open_tasks : int
        Tasks that are not done yet.
    failed_on : set of str
        Agents on which tasks have failed.
    result_bytes : int
        Size of the answers so far.
    ends_at : float
        Monotonic time at which the started tasks are expected to have ended.
    """

    job: Job
    arrived_at: float
    deadline: float
    tasks: list[TaskProgress]
    unfinished_task_count: int
    failed_agents_seen: set[str] = dataclasses.field(default_factory=set)
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
        """Whether some task is done, so that the job can run."""
        return self.unfinished_task_count < len(self.tasks)

    def results(self) -> list[msgspec.Raw]:
        """Return all answers in task order."""
        return [task.result for task in self.tasks if task.result is not None]

    def verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict a task; a placed task may have run."""
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
    """Return the progress of a job of which nothing was begun."""
    tasks = [TaskProgress() for _ in job.tasks]
    return JobProgress(
        job=job,
        arrived_at=arrived_at,
        deadline=deadline,
        tasks=tasks,
        unfinished_task_count=len(tasks),
    )

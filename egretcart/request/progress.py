"""How far a job and its tasks have come at the leader."""

import dataclasses
import enum

import msgspec

from egretcart.request.job import Job
from egretcart.request.verdict import Verdict
from egretcart.request.verdict import widest


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


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
    """

    job: Job
    arrived: float
    deadline: float
    tasks: list[TaskProgress]
    open_tasks: int

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return self.open_tasks == 0

    def finish_task(self, index: int, result: msgspec.Raw) -> None:
        """Record a task's answer."""
        task = self.tasks[index]
        task.state = TaskState.DONE
        task.verdict = Verdict.RAN
        task.result = result
        self.open_tasks -= 1

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
        return widest(self.verdicts())


def new_progress(job: Job, *, arrived: float, deadline: float) -> JobProgress:
    """Return the progress of a job of which nothing was begun."""
    tasks = [TaskProgress() for _ in job.tasks]
    return JobProgress(
        job=job,
        arrived=arrived,
        deadline=deadline,
        tasks=tasks,
        open_tasks=len(tasks),
    )

"""Merges the records of the agents' ledgers into the leader's jobs."""

from collections.abc import Iterable
import dataclasses

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.leader_messages import FetchJob
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.cell.attempts import AttemptManager
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.job_table import JobTable
from egretcart.process.cell.known_jobs import KnownJob
from egretcart.process.cell.known_jobs import KnownJobs
from egretcart.process.cell.known_jobs import KnownTask
from egretcart.process.clock import Clock
from egretcart.process.policy.bundle import Policy
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.verdict import Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostAgent:
    """An agent whose connection was lost, with the tasks that it had.

    Attributes
    ----------
    incarnation : int
    lost_at : float
        Monotonic time of the loss, in seconds.
    in_flight : dict of TaskKey to int
        Number of the attempt at each task that the agent had.
    expiry_by_task : dict of TaskKey to float
        Monotonic time in seconds by which each attempt has expired.
    """

    incarnation: int
    lost_at: float
    in_flight: dict[TaskKey, int]
    expiry_by_task: dict[TaskKey, float]


class Adoption:
    """Adopts attempts of former terms, or fails those that were lost.

    To adopt an attempt is to track it as if this leader had sent its start.

    Parameters
    ----------
    table : JobTable
    attempts : AttemptManager
    policy : Policy
    clock : Clock

    Attributes
    ----------
    known : KnownJobs
        The jobs that the agents' ledgers have reported.
    conflicting_jobs : set of tuple of str and bytes
        Pairs of an agent id and a job id under which that agent has started
        another body.
    lost : dict of str to LostAgent
        Agents that may still reconnect, by agent id.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        attempts: AttemptManager,
        policy: Policy,
        clock: Clock,
    ) -> None:
        self.term = table.term
        self.jobs = table.jobs
        self.loads = table.loads
        self.attempts = attempts
        self.policy = policy
        self.clock = clock
        self.known = KnownJobs()
        self.conflicting_jobs: set[tuple[str, bytes]] = set()
        self.lost: dict[str, LostAgent] = {}

    def merge_records(
        self,
        load: AgentLoad,
        records: Iterable[JobRecord],
        recorded: set[TaskKey],
    ) -> list[LeaderEffect]:
        """Merge an agent's records and collect the tasks that they name.

        Parameters
        ----------
        load : AgentLoad
            Load of the agent; the tasks that it runs are added to
            `in_flight`.
        records : iterable of JobRecord
        recorded : set of TaskKey
            The tasks that the records name are added here.

        Returns
        -------
        list of LeaderEffect
        """
        effects: list[LeaderEffect] = []
        for record in records:
            known = self.known.add(load.agent_id, load.incarnation, record)
            if known.digest != record.digest:
                self.conflicting_jobs.add((load.agent_id, record.job_id))
            for task in record.tasks:
                key = (record.job_id, task.index)
                recorded.add(key)
                if task.state == RecordState.BEGUN:
                    load.in_flight[key] = task.attempt
            progress = self.jobs.get(record.job_id)
            if progress is None:
                continue
            if progress.job.digest != record.digest:
                self.conflicting_jobs.add((load.agent_id, record.job_id))
            elif known.digest == record.digest:
                effects += self.adopt_attempts(progress, known)
        return effects

    def adopt_attempts(
        self, progress: JobProgress, known: KnownJob
    ) -> list[LeaderEffect]:
        """Adopt attempts that a former leader has started."""
        job_id = progress.job.job_id.value
        fetch_from: set[str] = set()
        effects: list[LeaderEffect] = []
        _mark_as_may_have_run(progress, known)
        for index, record in known.tasks.items():
            if index >= len(progress.tasks):
                continue
            task = progress.tasks[index]
            if task.state not in (TaskState.WAITING, TaskState.PLACED):
                continue
            if not _supersedes(record, task):
                continue
            self.policy.task_queue.started((job_id, index))
            hedge = task.hedge
            if hedge is None or hedge.attempt != record.attempt:
                task.state = TaskState.PLACED
                adopted = (record.attempt, record.agent_id)
                if (task.attempt, task.agent_id) != adopted:
                    task.time_limit_s = 0.0
                task.attempt = record.attempt
                task.agent_id = record.agent_id
                task.placed_at = self.clock.monotonic()
            effects += self._adopt_attempt((job_id, index), record, fetch_from)
            if job_id not in self.jobs:
                return effects
        for agent_id in sorted(fetch_from):
            fetch = FetchJob(term=self.term, job_id=job_id)
            effects.append(SendToAgent(agent_id, fetch))
        return effects

    def _adopt_attempt(
        self, key: TaskKey, record: KnownTask, fetch_from: set[str]
    ) -> list[LeaderEffect]:
        """Count an attempt as in flight, or fail it if its agent is lost."""
        load = self.loads.get(record.agent_id)
        if load is None:
            lost = self.lost.get(record.agent_id)
            if lost is None or lost.incarnation != record.incarnation:
                return self.fail_lost_attempt(key, record.attempt)
            lost.in_flight[key] = record.attempt
            return []
        if load.incarnation != record.incarnation:
            return self.fail_lost_attempt(key, record.attempt)
        fetch_from.add(record.agent_id)
        load.in_flight[key] = record.attempt
        return []

    def requeue_unstarted(self, key: TaskKey, attempt: int) -> None:
        """Queue a task again after an attempt that was certainly not begun."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return
        task = progress.tasks[key[1]]
        if self.attempts.drop_attempt(task, attempt):
            return
        if task.state is TaskState.PLACED and task.attempt == attempt:
            task.state = TaskState.WAITING
            self.attempts.starts.enqueue(key, task)

    def fail_lost_attempt(
        self, key: TaskKey, attempt: int
    ) -> list[LeaderEffect]:
        """Handle an attempt whose end its agent will never report."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return []
        task = progress.tasks[key[1]]
        if self.attempts.drop_attempt(task, attempt):
            return []
        if task.state is not TaskState.PLACED or task.attempt != attempt:
            return []
        return self.attempts.attempt_failed(
            progress, key, Verdict.MAY_HAVE_RUN, "its agent was lost"
        )


def _mark_as_may_have_run(progress: JobProgress, known: KnownJob) -> None:
    """Raise the verdict of started tasks from not run to may have run.

    This is done for all tasks before any record is adopted: adopting one may
    end the job, and the reply then states a verdict for every task.
    """
    for index in known.tasks:
        if index >= len(progress.tasks):
            continue
        task = progress.tasks[index]
        if task.verdict is Verdict.NOT_RUN:
            task.verdict = Verdict.MAY_HAVE_RUN


def _supersedes(record: KnownTask, task: TaskProgress) -> bool:
    """Return whether a record replaces what the leader knows of a task.

    A success always does. A record of an attempt with a lower number than
    the newest known one never does. Any other does if the task waits, if it
    is the record of the hedge, or if it is from the agent that the newest
    known attempt was sent to.
    """
    if record.state is RecordState.SUCCEEDED:
        return True
    if record.attempt < task.attempt:
        return False
    if task.state is TaskState.WAITING:
        return True
    hedge = task.hedge
    if hedge is not None and hedge.attempt == record.attempt:
        return True
    return task.agent_id == record.agent_id

"""The unanswered jobs of a cell and the requests that wait for them."""

from egretcart.connection.cell_types import ALL_TASKS
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import CancelledTask
from egretcart.connection.leader_messages import CancelTasks
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.ordering import TaskQueue
from egretcart.request.problem import Problem
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.verdict import Verdict


class JobTable:
    """Jobs, the requests that wait for them, and the agents' load.

    A job is removed when it ends; its requests are then replied to.

    Parameters
    ----------
    term : Term
    answers : AnswerCache
    task_queue : TaskQueue

    Attributes
    ----------
    jobs : dict of bytes to JobProgress
        By job id.
    tokens : dict of bytes to list of RequestToken
        Requests that wait for each job's answer, by job id.
    loads : dict of str to AgentLoad
        Connected agents that promised the term, by agent id.
    cancels : dict of str to list of CancelledTask
        Tasks that each agent is to cancel, sent at the next tick.
    """

    def __init__(
        self, *, term: Term, answers: AnswerCache, task_queue: TaskQueue
    ) -> None:
        self.term = term
        self.answers = answers
        self.task_queue = task_queue
        self.jobs: dict[bytes, JobProgress] = {}
        self.tokens: dict[bytes, list[RequestToken]] = {}
        self.loads: dict[str, AgentLoad] = {}
        self.cancels: dict[str, list[CancelledTask]] = {}

    def fail(
        self, progress: JobProgress, problem: Problem
    ) -> list[LeaderEffect]:
        """End a job with a problem."""
        return self.finish(progress, problem_reply(problem))

    def finish(
        self, progress: JobProgress, reply: Reply
    ) -> list[LeaderEffect]:
        """Reply to a job's requests and cancel its attempts that still run."""
        job_id = progress.job.job_id
        del self.jobs[job_id.value]
        self.task_queue.remove_job(job_id.value)
        if progress.verdict() is not Verdict.NOT_RUN:
            self.answers.add(job_id, progress.job.digest, reply)
        busy_agents: set[str] = set()
        for task in progress.tasks:
            if task.state is TaskState.PLACED and task.agent_id:
                busy_agents.add(task.agent_id)
            if task.hedge is not None:
                busy_agents.add(task.hedge.agent_id)
        for agent_id in busy_agents:
            self.cancel(agent_id, job_id.value, ALL_TASKS)
        return [
            SendReply(token, reply) for token in self.tokens.pop(job_id.value)
        ]

    def cancel(self, agent_id: str, job_id: bytes, task: int) -> None:
        """Cancel a task, or all tasks of a job, at an agent on the next tick.

        Their slots count as occupied until the agent has reported the ends.

        Parameters
        ----------
        agent_id : str
        job_id : bytes
        task : int
            Index of the task, or `ALL_TASKS`.
        """
        cancelled = CancelledTask(job_id=job_id, task=task)
        self.cancels.setdefault(agent_id, []).append(cancelled)

    def flush_cancels(self) -> list[LeaderEffect]:
        """Return one message for each connected agent with tasks to cancel."""
        effects: list[LeaderEffect] = [
            SendToAgent(
                agent_id, CancelTasks(term=self.term, tasks=tuple(tasks))
            )
            for agent_id, tasks in sorted(self.cancels.items())
            if agent_id in self.loads
        ]
        self.cancels.clear()
        return effects

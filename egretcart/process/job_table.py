"""The unanswered jobs of a cell, and how they end."""

from egretcart.connection.messages import CancelJob
from egretcart.connection.messages import Term
from egretcart.process.answers import AnswerCache
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import RequestToken
from egretcart.process.effects import SendReply
from egretcart.process.effects import SendToAgent
from egretcart.process.scheduler import AgentLoad
from egretcart.request.problem import Problem
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.verdict import Verdict


class JobTable:
    """Jobs, the callers that wait for them, and the agents' load.

    Parameters
    ----------
    term : Term
    answers : AnswerCache

    Attributes
    ----------
    jobs : dict of bytes to JobProgress
    tokens : dict of bytes to list of RequestToken
        Requests that wait for each job's answer.
    loads : dict of str to AgentLoad
        Connected agents that promised the term.
    """

    def __init__(self, *, term: Term, answers: AnswerCache) -> None:
        self.term = term
        self.answers = answers
        self.jobs: dict[bytes, JobProgress] = {}
        self.tokens: dict[bytes, list[RequestToken]] = {}
        self.loads: dict[str, AgentLoad] = {}

    def fail(
        self, progress: JobProgress, problem: Problem
    ) -> list[LeaderEffect]:
        """End a job with a problem."""
        return self.finish(progress, problem_reply(problem))

    def finish(
        self, progress: JobProgress, reply: Reply
    ) -> list[LeaderEffect]:
        """Answer all who wait and end what still runs."""
        job_id = progress.job.job_id
        del self.jobs[job_id.value]
        if progress.verdict() is not Verdict.NOT_RUN:
            self.answers.add(job_id, progress.job.digest, reply)
        effects: list[LeaderEffect] = [
            SendReply(token, reply) for token in self.tokens.pop(job_id.value)
        ]
        busy = sorted(
            {
                task.agent_id
                for task in progress.tasks
                if task.state is TaskState.PLACED and task.agent_id
            }
        )
        cancel = CancelJob(term=self.term, job_id=job_id.value)
        for agent_id in busy:
            if agent_id in self.loads:
                effects.append(SendToAgent(agent_id, cancel))
        return effects

"""The unanswered jobs of a leader, from submission to answer.

Free of I/O. The leadership says which agents hold a lease; this module
decides what is sent to them and what the callers are answered.
"""

from collections.abc import Iterable
from collections.abc import Set
import functools
import heapq

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.attempts import AttemptManager
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.job_table import JobTable
from egretcart.process.cell.known_jobs import KnownJob
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.recovery import Recovery
from egretcart.process.clock import Clock
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.entry.answers import CachedAnswer
from egretcart.process.policy.bundle import Policy
from egretcart.request import outcomes
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.request.progress import new_job_progress
from egretcart.request.progress import TaskState
from egretcart.request.reply import problem_reply
from egretcart.request.reply import running_reply
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration

MS_PER_S = 1000


class JobManager:
    """All unanswered jobs of a cell under one term.

    Parameters
    ----------
    term : Term
    limits : LeaderLimits
    clock : Clock
    answers : AnswerCache
    policy : Policy

    Attributes
    ----------
    serving_since : float
        Monotonic time in seconds from which jobs are accepted.
    jobs : dict of bytes to JobProgress
        By job id.
    loads : dict of str to AgentLoad
        Connected agents that promised the term, by agent id.
    recovery : Recovery
    known : KnownJobs
        The jobs that the agents' ledgers have reported.
    deadlines : list of (float, bytes)
        Heap of the jobs' deadlines, as monotonic times in seconds, and job
        ids; the entry of a job that has ended remains until its deadline.
    """

    def __init__(
        self,
        *,
        term: Term,
        limits: LeaderLimits,
        clock: Clock,
        answers: AnswerCache,
        policy: Policy,
    ) -> None:
        self.term = term
        self.limits = limits
        self.clock = clock
        self.answers = answers
        self.serving_since = float("inf")
        self.policy = policy
        self.table = JobTable(
            term=term, answers=answers, task_queue=policy.task_queue
        )
        self.jobs = self.table.jobs
        self.tokens = self.table.tokens
        self.loads = self.table.loads
        self.attempts = AttemptManager(
            table=self.table, policy=policy, limits=limits, clock=clock
        )
        self.recovery = Recovery(
            table=self.table,
            attempts=self.attempts,
            policy=policy,
            limits=limits,
            clock=clock,
        )
        self.known = self.recovery.known
        self.deadlines: list[tuple[float, bytes]] = []

    def configure(self, configuration: Configuration, service: str) -> None:
        """Apply a configuration to the jobs that wait."""
        slots = sum(load.slots for load in self.loads.values())
        self.policy.configure(configuration, service, slots=slots)
        self.attempts.agent_pool.invalidate()

    # Requests.

    def submit(self, token: RequestToken, job: Job) -> list[LeaderEffect]:
        """Accept a submission, join it to an earlier one, or refuse it."""
        job_id = job.job_id
        key = job_id.value
        answer = self.answers.find(job_id)
        if answer is not None and answer.digest == job.digest:
            return [self._reply_from_cache(token, job_id, answer)]
        progress = self.jobs.get(key)
        if progress is not None and progress.job.digest == job.digest:
            self.tokens[key].append(token)
            return []
        if self.recovery.needs_ledger_query(job_id):
            resume = functools.partial(self.submit, token, job)
            return self.recovery.defer_until_reported(token, job_id, resume)
        known = self.known.find(key)
        has_other_known_body = known is not None and known.digest != job.digest
        if answer is not None or progress is not None or has_other_known_body:
            return [self._conflict_reply(token, job)]
        refusal = self._future_id_problem(job_id, known)
        if refusal is not None:
            return [_reply(token, refusal)]
        return self._accept(token, job, known)

    def _reply_from_cache(
        self, token: RequestToken, job_id: JobId, answer: CachedAnswer
    ) -> LeaderEffect:
        if answer.reply is None:
            return _reply(token, outcomes.answer_gone(job_id))
        return SendReply(token, answer.reply)

    def _conflict_reply(self, token: RequestToken, job: Job) -> LeaderEffect:
        verdict = self._verdict_of_unknown(job.job_id)
        known = self.known.find(job.job_id.value)
        if known is not None and known.may_include_body(job.digest):
            verdict = Verdict.MAY_HAVE_RUN
        return _reply(token, outcomes.conflict(job.job_id, verdict))

    def _future_id_problem(
        self, job_id: JobId, known: KnownJob | None
    ) -> outcomes.Problem | None:
        ahead_s = (job_id.created_ms - self.clock.unix_ms()) / MS_PER_S
        skew_s = self.limits.clock_skew_s
        if known is not None or ahead_s <= skew_s:
            return None
        verdict = self._verdict_of_unknown(job_id)
        return outcomes.id_in_future(job_id, ahead_s, skew_s, verdict)

    def read(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Reply with a cached answer, or with the state of the job."""
        answer = self.answers.find(job_id)
        if answer is not None:
            return [self._reply_from_cache(token, job_id, answer)]
        if job_id.value in self.jobs:
            return [SendReply(token, running_reply(job_id))]
        if self.recovery.needs_ledger_query(job_id):
            resume = functools.partial(self.read, token, job_id)
            return self.recovery.defer_until_reported(token, job_id, resume)
        if self.known.find(job_id.value):
            return [SendReply(token, running_reply(job_id))]
        verdict = self._verdict_of_unknown(job_id)
        return [_reply(token, outcomes.unknown_job(job_id, verdict))]

    def cancel(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Cancel a job: drop its waiting tasks and stop its running ones."""
        progress = self.jobs.get(job_id.value)
        if progress is not None:
            self.tokens[job_id.value].append(token)
            return self.table.fail(progress, outcomes.cancelled(progress))
        if self.answers.find(
            job_id
        ) is None and self.recovery.needs_ledger_query(job_id):
            resume = functools.partial(self.cancel, token, job_id)
            return self.recovery.defer_until_reported(token, job_id, resume)
        return self.read(token, job_id)

    def _verdict_of_unknown(self, job_id: JobId) -> Verdict:
        """Return whether a job that no ledger reports may have run."""
        oldest_ms = self.clock.unix_ms() - int(self.limits.window_s * MS_PER_S)
        if job_id.created_ms < max(
            self.recovery.uncertain_before_ms, oldest_ms
        ):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def end(self) -> list[RequestToken]:
        """Drop all jobs and deferred requests; return the requests' tokens."""
        tokens = self.recovery.ledger_queries.end()
        for waiting in self.tokens.values():
            tokens += waiting
        self.tokens.clear()
        self.jobs.clear()
        self.answers.discard_not_run()
        return tokens

    def _accept(
        self, token: RequestToken, job: Job, known: KnownJob | None
    ) -> list[LeaderEffect]:
        now = self.clock.monotonic()
        deadline = now + self.attempts.time_left_s(job)
        progress = new_job_progress(job, arrived_at=now, deadline=deadline)
        key = job.job_id.value
        if job.job_id.created_ms < self.recovery.uncertain_before_ms:
            known_tasks = known.tasks if known else {}
            unknown = len(job.tasks) - len(known_tasks)
            if unknown and not job.idempotent:
                return [_reply(token, outcomes.unresolved(job, known_tasks))]
            for task, definition in zip(
                progress.tasks, job.tasks, strict=True
            ):
                limit_s = self.attempts.max_attempt_limit_s(definition.kind)
                expiry_s = self.limits.attempt_over_s(limit_s)
                task.not_before = self.serving_since + expiry_s
                task.verdict = Verdict.MAY_HAVE_RUN
        elif known is None:
            problem = self.attempts.find_refusal(job)
            if problem is not None:
                return self.refuse(token, problem)
        self.jobs[key] = progress
        self.tokens[key] = [token]
        heapq.heappush(self.deadlines, (progress.deadline, key))
        self.attempts.add_job(progress)
        effects: list[LeaderEffect] = []
        if known is not None:
            effects += self.recovery.adoption.adopt_attempts(progress, known)
        if key in self.jobs:
            for index, task in enumerate(progress.tasks):
                if task.state is TaskState.WAITING:
                    self.attempts.starts.enqueue((key, index), task)
        return effects

    def refuse(
        self, token: RequestToken, problem: Problem
    ) -> list[LeaderEffect]:
        """Refuse a job of which no task was ever sent to an agent."""
        return [_reply(token, problem)]

    # Agents.

    def agent_fenced(
        self,
        load: AgentLoad,
        records: Iterable[JobRecord],
        *,
        by_query: bool = False,
    ) -> list[LeaderEffect]:
        """Add an agent that promised the term; see `Recovery.agent_fenced`."""
        return self.recovery.agent_fenced(load, records, by_query=by_query)

    def ledger_reply(
        self, agent_id: str, reply: LedgerReply
    ) -> list[LeaderEffect]:
        """Handle an agent's reply to a ledger query."""
        return self.recovery.ledger_reply(agent_id, reply)

    def agent_lost(self, agent_id: str) -> None:
        """Handle the loss of an agent's connection."""
        self.recovery.agent_lost(agent_id)

    # Time.

    def tick(self) -> list[LeaderEffect]:
        """Do what is due by now."""
        now = self.clock.monotonic()
        effects = self.recovery.expire_lost_agents()
        self.attempts.starts.tick(now)
        while self.deadlines and self.deadlines[0][0] <= now:
            _, job_key = heapq.heappop(self.deadlines)
            progress = self.jobs.get(job_key)
            if progress is not None:
                effects += self.table.fail(
                    progress, outcomes.deadline_passed(progress)
                )
        return effects + self.table.flush_cancels()

    # Attempts.

    @property
    def has_waiting(self) -> bool:
        """Whether any task may start now."""
        return self.attempts.starts.has_due

    def place(self, leased_agents: Set[str]) -> list[LeaderEffect]:
        """Send waiting tasks to agents that hold a lease on the term."""
        return self.attempts.starts.place(leased_agents)

    def task_result(
        self, agent_id: str, result: TaskResult
    ) -> list[LeaderEffect]:
        """Handle the end of an attempt."""
        load = self.loads.get(agent_id)
        if load is None:
            return []
        if (
            agent_id,
            result.job_id,
        ) in self.recovery.adoption.conflicting_jobs:
            load.in_flight.pop((result.job_id, result.task), None)
            return []
        self.known.record_result(agent_id, load.incarnation, result)
        return self.attempts.task_result(agent_id, result)


def _reply(token: RequestToken, problem: Problem) -> SendReply:
    return SendReply(token, problem_reply(problem))

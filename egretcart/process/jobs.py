"""The jobs of a leader: placed, retried, answered.

Free of I/O. The leadership says which agents hold a lease; this module
decides what they are sent and what the callers are told.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import heapq

from egretcart.connection.messages import FetchJob
from egretcart.connection.messages import JobRecord
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.answers import AnswerCache
from egretcart.process.attempts import Attempts
from egretcart.process.clock import Clock
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import RequestToken
from egretcart.process.effects import SendReply
from egretcart.process.effects import SendToAgent
from egretcart.process.job_table import JobTable
from egretcart.process.ledger import RecordState
from egretcart.process.limits import LeaderLimits
from egretcart.process.policy.bundle import Policy
from egretcart.process.scheduler import AgentLoad
from egretcart.process.scheduler import TaskKey
from egretcart.process.takeover import KnownJob
from egretcart.process.takeover import KnownJobs
from egretcart.process.takeover import KnownTask
from egretcart.request import outcomes
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.request.progress import JobProgress
from egretcart.request.progress import new_progress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import problem_reply
from egretcart.request.reply import running_reply
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostAgent:
    """An agent whose connection was lost, with the tasks that it had."""

    incarnation: int
    lost_at: float
    in_flight: dict[TaskKey, int]


class JobBook:
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
    barrier_ms : int
        Unknown jobs made before this Unix time may have run elsewhere.
    serving_since : float
        Monotonic time from which jobs are accepted.
    jobs : dict of bytes to JobProgress
    loads : dict of str to AgentLoad
        Connected agents that promised the term.
    lost : dict of str to LostAgent
    foreign : set of tuple of str and bytes
        Agents that have started another body under a job's id.
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
        self.barrier_ms = 0
        self.serving_since = float("inf")
        self.known = KnownJobs()
        self.policy = policy
        self.table = JobTable(term=term, answers=answers, order=policy.order)
        self.jobs = self.table.jobs
        self.tokens = self.table.tokens
        self.loads = self.table.loads
        self.lost: dict[str, LostAgent] = {}
        self.foreign: set[tuple[str, bytes]] = set()
        self.attempts = Attempts(
            table=self.table, policy=policy, limits=limits, clock=clock
        )
        self.deadlines: list[tuple[float, bytes]] = []

    def configure(self, configuration: Configuration, service: str) -> None:
        """Put a configuration in force for the jobs that wait."""
        slots = sum(load.slots for load in self.loads.values())
        self.policy.configure(configuration, service, slots=slots)
        self.attempts.fleet.invalidate()

    # Requests.

    def submit(self, token: RequestToken, job: Job) -> list[LeaderEffect]:
        """Accept a submission, join it to a former one, or refuse it."""
        key = job.job_id.value
        answer = self.answers.find(job.job_id)
        if answer is not None:
            if answer.digest != job.digest:
                return [self._conflict(token, job.job_id)]
            if answer.reply is None:
                return [_reply(token, outcomes.answer_gone(job.job_id))]
            return [SendReply(token, answer.reply)]
        progress = self.jobs.get(key)
        if progress is not None:
            if progress.job.digest != job.digest:
                return [self._conflict(token, job.job_id)]
            self.tokens[key].append(token)
            return []
        known = self.known.find(key)
        if known is not None and known.digest != job.digest:
            return [self._conflict(token, job.job_id)]
        refusal = self._future_refusal(job.job_id, known)
        if refusal is not None:
            return [_reply(token, refusal)]
        return self._accept(token, job, known)

    def _conflict(self, token: RequestToken, job_id: JobId) -> LeaderEffect:
        verdict = self._verdict_of_unknown(job_id)
        known = self.known.find(job_id.value)
        if known is not None and known.has_other_body:
            verdict = Verdict.MAY_HAVE_RUN
        return _reply(token, outcomes.conflict(job_id, verdict))

    def _future_refusal(
        self, job_id: JobId, known: KnownJob | None
    ) -> outcomes.Problem | None:
        ahead_s = (job_id.created_ms - self.clock.unix_ms()) / MS_PER_S
        skew_s = self.limits.clock_skew_s
        if known is not None or ahead_s <= skew_s:
            return None
        verdict = self._verdict_of_unknown(job_id)
        return outcomes.id_in_future(job_id, ahead_s, skew_s, verdict)

    def read(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Reply with a retained answer or with how far a job has come."""
        answer = self.answers.find(job_id)
        if answer is not None:
            if answer.reply is None:
                return [_reply(token, outcomes.answer_gone(job_id))]
            return [SendReply(token, answer.reply)]
        if job_id.value in self.jobs or self.known.find(job_id.value):
            return [SendReply(token, running_reply(job_id))]
        verdict = self._verdict_of_unknown(job_id)
        return [_reply(token, outcomes.unknown_job(job_id, verdict))]

    def cancel(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """End a job: what waits is dropped, what runs is broken off."""
        progress = self.jobs.get(job_id.value)
        if progress is None:
            return self.read(token, job_id)
        self.tokens[job_id.value].append(token)
        return self.table.fail(progress, outcomes.cancelled(progress))

    def _verdict_of_unknown(self, job_id: JobId) -> Verdict:
        if job_id.created_ms < self.barrier_ms:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _accept(
        self, token: RequestToken, job: Job, known: KnownJob | None
    ) -> list[LeaderEffect]:
        now = self.clock.monotonic()
        deadline = now + self.attempts.time_left_s(job)
        progress = new_progress(job, arrived=now, deadline=deadline)
        key = job.job_id.value
        if job.job_id.created_ms < self.barrier_ms:
            known_tasks = known.tasks if known else {}
            unknown = len(job.tasks) - len(known_tasks)
            if unknown and not job.idempotent:
                return [_reply(token, outcomes.unsettled(job, known_tasks))]
            for task, definition in zip(
                progress.tasks, job.tasks, strict=True
            ):
                limit_s = self.attempts.longest_limit_s(definition.kind)
                over_s = self.limits.attempt_over_s(limit_s)
                task.not_before = self.serving_since + over_s
                task.verdict = Verdict.MAY_HAVE_RUN
        elif known is None:
            problem = self.attempts.refusal(job)
            if problem is not None:
                return self.refuse(token, problem)
        self.jobs[key] = progress
        self.tokens[key] = [token]
        heapq.heappush(self.deadlines, (progress.deadline, key))
        self.attempts.add_job(progress)
        effects: list[LeaderEffect] = []
        if known is not None:
            effects += self._merge(progress, known)
        if key in self.jobs:
            for index, task in enumerate(progress.tasks):
                if task.state is TaskState.WAITING:
                    self.attempts.starts.queue((key, index), task)
        return effects

    def refuse(
        self, token: RequestToken, problem: Problem
    ) -> list[LeaderEffect]:
        """Refuse a job that was never placed, as not run."""
        return [_reply(token, problem)]

    # Ledgers and lost agents.

    def agent_fenced(
        self, load: AgentLoad, records: Iterable[JobRecord]
    ) -> list[LeaderEffect]:
        """Take in the ledger of an agent that promised the term."""
        self.agent_lost(load.agent_id)
        self.loads[load.agent_id] = load
        self.policy.health.connected(load.agent_id)
        self.attempts.fleet.agents_changed()
        effects: list[LeaderEffect] = []
        recorded: set[TaskKey] = set()
        self.known.drop(load.agent_id, load.incarnation)
        for record in records:
            known = self.known.add(load.agent_id, load.incarnation, record)
            if known.digest != record.digest:
                self.foreign.add((load.agent_id, record.job_id))
            for task in record.tasks:
                key = (record.job_id, task.index)
                recorded.add(key)
                if task.state == RecordState.BEGUN:
                    load.in_flight[key] = task.attempt
            progress = self.jobs.get(record.job_id)
            if progress is None:
                continue
            if progress.job.digest != record.digest:
                self.foreign.add((load.agent_id, record.job_id))
            elif known.digest == record.digest:
                effects += self._merge(progress, known)
        lost = self.lost.pop(load.agent_id, None)
        if lost is not None:
            for key, attempt in lost.in_flight.items():
                if key in recorded:
                    continue
                if lost.incarnation == load.incarnation:
                    self._not_begun(key, attempt)
                else:
                    effects += self._lost_attempt(key, attempt)
        return effects

    def agent_lost(self, agent_id: str) -> None:
        """Handle the loss of an agent's connection."""
        load = self.loads.pop(agent_id, None)
        if load is None:
            return
        self.lost[agent_id] = LostAgent(
            incarnation=load.incarnation,
            lost_at=self.clock.monotonic(),
            in_flight=load.in_flight,
        )
        self.policy.health.disconnected(agent_id, now=self.clock.monotonic())
        self.attempts.fleet.agents_changed()

    def _merge(
        self, progress: JobProgress, known: KnownJob
    ) -> list[LeaderEffect]:
        """Adopt attempts that a former leader has started."""
        key = progress.job.job_id.value
        fetch_from: set[str] = set()
        effects: list[LeaderEffect] = []
        for index, record in known.tasks.items():
            if index >= len(progress.tasks):
                continue
            task = progress.tasks[index]
            if task.state not in (TaskState.WAITING, TaskState.PLACED):
                continue
            if not _supersedes(record, task):
                continue
            if task.verdict is Verdict.NOT_RUN:
                task.verdict = Verdict.MAY_HAVE_RUN
            self.policy.order.started((key, index))
            hedge = task.hedge
            if hedge is None or hedge.attempt != record.attempt:
                task.state = TaskState.PLACED
                task.attempt = record.attempt
                task.agent_id = record.agent_id
                task.placed_at = self.clock.monotonic()
            effects += self._adopt((key, index), record, fetch_from)
            if key not in self.jobs:
                return effects
        for agent_id in sorted(fetch_from):
            fetch = FetchJob(term=self.term, job_id=key)
            effects.append(SendToAgent(agent_id, fetch))
        return effects

    def _adopt(
        self, key: TaskKey, record: KnownTask, fetch_from: set[str]
    ) -> list[LeaderEffect]:
        load = self.loads.get(record.agent_id)
        if load is None:
            lost = self.lost.get(record.agent_id)
            if lost is None or lost.incarnation != record.incarnation:
                return self._lost_attempt(key, record.attempt)
            lost.in_flight[key] = record.attempt
            return []
        if load.incarnation != record.incarnation:
            return self._lost_attempt(key, record.attempt)
        fetch_from.add(record.agent_id)
        load.in_flight[key] = record.attempt
        return []

    def _settle_lost(self, now: float) -> list[LeaderEffect]:
        """Give up on agents that have not reconnected in time."""
        effects: list[LeaderEffect] = []
        grace_s = self.limits.member_grace_s
        for agent_id, lost in list(self.lost.items()):
            if now < lost.lost_at + grace_s:
                continue
            del self.lost[agent_id]
            self.policy.run_times.forget(agent_id)
            for key, attempt in lost.in_flight.items():
                effects += self._lost_attempt(key, attempt)
        return effects

    def _not_begun(self, key: TaskKey, attempt: int) -> None:
        """Queue a task again whose attempt provably did not begin."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return
        task = progress.tasks[key[1]]
        if self.attempts.attempt_gone(task, attempt):
            return
        if task.state is TaskState.PLACED and task.attempt == attempt:
            task.state = TaskState.WAITING
            self.attempts.starts.queue(key, task)

    def _lost_attempt(self, key: TaskKey, attempt: int) -> list[LeaderEffect]:
        """Handle an attempt of which nothing more will be heard."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return []
        task = progress.tasks[key[1]]
        if self.attempts.attempt_gone(task, attempt):
            return []
        if task.state is not TaskState.PLACED or task.attempt != attempt:
            return []
        return self.attempts.attempt_failed(
            progress, key, Verdict.MAY_HAVE_RUN, "its agent was lost"
        )

    # Time.

    def tick(self) -> list[LeaderEffect]:
        """Do what is due by now."""
        now = self.clock.monotonic()
        effects = self._settle_lost(now)
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

    def place(self, usable: Set[str]) -> list[LeaderEffect]:
        """Send waiting tasks to agents that hold a lease on the term."""
        return self.attempts.starts.place(usable)

    def task_result(
        self, agent_id: str, result: TaskResult
    ) -> list[LeaderEffect]:
        """Handle the end of an attempt."""
        load = self.loads.get(agent_id)
        if load is None:
            return []
        if (agent_id, result.job_id) in self.foreign:
            load.in_flight.pop((result.job_id, result.task), None)
            return []
        self.known.settle(agent_id, load.incarnation, result)
        return self.attempts.task_result(agent_id, result)


def _supersedes(record: KnownTask, task: TaskProgress) -> bool:
    """Return whether a record tells more of a task than the leader knows."""
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


def _reply(token: RequestToken, problem: Problem) -> SendReply:
    return SendReply(token, problem_reply(problem))

"""The jobs of a leader: placed, retried, answered.

Free of I/O. The leadership says which agents hold a lease; this module
decides what they are sent and what the callers are told.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import heapq

from egretcart.connection.messages import CancelJob
from egretcart.connection.messages import FetchJob
from egretcart.connection.messages import JobRecord
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.answers import AnswerCache
from egretcart.process.clock import Clock
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import RequestToken
from egretcart.process.effects import SendReply
from egretcart.process.effects import SendToAgent
from egretcart.process.ledger import RecordState
from egretcart.process.limits import LeaderLimits
from egretcart.process.scheduler import AgentLoad
from egretcart.process.scheduler import FifoScheduler
from egretcart.process.scheduler import TaskKey
from egretcart.process.takeover import KnownJob
from egretcart.process.takeover import KnownJobs
from egretcart.process.takeover import KnownTask
from egretcart.request import outcomes
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.progress import JobProgress
from egretcart.request.progress import new_progress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import complete_reply
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.reply import result_value
from egretcart.request.reply import running_reply
from egretcart.request.verdict import Verdict

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
    ) -> None:
        self.term = term
        self.limits = limits
        self.clock = clock
        self.answers = answers
        self.barrier_ms = 0
        self.serving_since = float("inf")
        self.known = KnownJobs()
        self.jobs: dict[bytes, JobProgress] = {}
        self.tokens: dict[bytes, list[RequestToken]] = {}
        self.loads: dict[str, AgentLoad] = {}
        self.lost: dict[str, LostAgent] = {}
        self.foreign: set[tuple[str, bytes]] = set()
        self.scheduler = FifoScheduler()
        self.delayed: list[tuple[float, TaskKey]] = []
        self.deadlines: list[tuple[float, bytes]] = []

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
        return self._fail(progress, outcomes.cancelled(progress))

    def _verdict_of_unknown(self, job_id: JobId) -> Verdict:
        if job_id.created_ms < self.barrier_ms:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _accept(
        self, token: RequestToken, job: Job, known: KnownJob | None
    ) -> list[LeaderEffect]:
        now = self.clock.monotonic()
        limit_s = self.limits.default_deadline_s
        if job.deadline_ms is not None:
            limit_s = job.deadline_ms / MS_PER_S
        limit_s = min(limit_s, self.limits.max_deadline_s)
        progress = new_progress(job, arrived=now, deadline=now + limit_s)
        key = job.job_id.value
        if job.job_id.created_ms < self.barrier_ms:
            known_tasks = known.tasks if known else {}
            unknown = len(job.tasks) - len(known_tasks)
            if unknown and not job.idempotent:
                return [_reply(token, outcomes.unsettled(job, known_tasks))]
            earliest = self.serving_since + self.limits.attempt_over_s
            for task in progress.tasks:
                task.not_before = earliest
                task.verdict = Verdict.MAY_HAVE_RUN
        self.jobs[key] = progress
        self.tokens[key] = [token]
        heapq.heappush(self.deadlines, (progress.deadline, key))
        effects: list[LeaderEffect] = []
        if known is not None:
            effects += self._merge(progress, known)
        if key in self.jobs:
            for index, task in enumerate(progress.tasks):
                if task.state is TaskState.WAITING:
                    self._queue((key, index), task)
        return effects

    # Ledgers and lost agents.

    def agent_fenced(
        self, load: AgentLoad, records: Iterable[JobRecord]
    ) -> list[LeaderEffect]:
        """Take in the ledger of an agent that promised the term."""
        self.agent_lost(load.agent_id)
        self.loads[load.agent_id] = load
        effects: list[LeaderEffect] = []
        recorded: set[TaskKey] = set()
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
            else:
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
            task.state = TaskState.PLACED
            task.verdict = Verdict.MAY_HAVE_RUN
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
            for key, attempt in lost.in_flight.items():
                effects += self._lost_attempt(key, attempt)
        return effects

    def _not_begun(self, key: TaskKey, attempt: int) -> None:
        """Queue a task again whose attempt provably did not begin."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return
        task = progress.tasks[key[1]]
        if task.state is TaskState.PLACED and task.attempt == attempt:
            task.state = TaskState.WAITING
            self._queue(key, task)

    def _lost_attempt(self, key: TaskKey, attempt: int) -> list[LeaderEffect]:
        """Handle an attempt of which nothing more will be heard."""
        progress = self.jobs.get(key[0])
        if progress is None:
            return []
        task = progress.tasks[key[1]]
        if task.state is not TaskState.PLACED or task.attempt != attempt:
            return []
        return self._attempt_failed(
            progress, key, Verdict.MAY_HAVE_RUN, "its agent was lost"
        )

    # Attempts.

    def place(self, usable: Set[str]) -> list[LeaderEffect]:
        """Send waiting tasks to agents that can take them.

        Parameters
        ----------
        usable : set of str
            Agents that hold a lease on the term.

        Returns
        -------
        list of LeaderEffect
        """
        effects: list[LeaderEffect] = []
        while self.scheduler.waiting:
            key = self.scheduler.waiting[0]
            progress = self.jobs.get(key[0])
            if progress is None or not self._is_due(progress, key[1]):
                self.scheduler.waiting.popleft()
                continue
            agent_id = self.scheduler.choose(self.loads, usable)
            if agent_id is None:
                break
            self.scheduler.waiting.popleft()
            effects.append(self._start(progress, key, agent_id))
        return effects

    def _is_due(self, progress: JobProgress, index: int) -> bool:
        task = progress.tasks[index]
        return (
            task.state is TaskState.WAITING
            and task.not_before <= self.clock.monotonic()
        )

    def _start(
        self, progress: JobProgress, key: TaskKey, agent_id: str
    ) -> LeaderEffect:
        now = self.clock.monotonic()
        job = progress.job
        task = progress.tasks[key[1]]
        task.state = TaskState.PLACED
        task.attempt += 1
        task.agent_id = agent_id
        task.placed_at = now
        self.loads[agent_id].in_flight[key] = task.attempt
        time_left_s = min(self.limits.attempt_limit_s, progress.deadline - now)
        definition = job.tasks[key[1]]
        start = Start(
            term=self.term,
            job_id=key[0],
            digest=job.digest,
            task=key[1],
            attempt=task.attempt,
            kind=definition.kind,
            payload=definition.payload,
            idempotent=job.idempotent,
            time_left_ms=int(time_left_s * MS_PER_S),
        )
        return SendToAgent(agent_id, start)

    def task_result(
        self, agent_id: str, result: TaskResult
    ) -> list[LeaderEffect]:
        """Handle the end of an attempt."""
        key = (result.job_id, result.task)
        load = self.loads.get(agent_id)
        if load is None:
            return []
        if load.in_flight.get(key) == result.attempt:
            del load.in_flight[key]
        if (agent_id, result.job_id) in self.foreign:
            return []
        self.known.ended(agent_id, load.incarnation, result)
        progress = self.jobs.get(result.job_id)
        if progress is None or result.task >= len(progress.tasks):
            return []
        task = progress.tasks[result.task]
        if task.state is TaskState.DONE:
            return []
        if result.succeeded:
            return self._attempt_succeeded(progress, result)
        if task.attempt != result.attempt or task.agent_id != agent_id:
            return []
        verdict = Verdict(result.verdict)
        return self._attempt_failed(progress, key, verdict, result.error)

    def _attempt_succeeded(
        self, progress: JobProgress, result: TaskResult
    ) -> list[LeaderEffect]:
        job_id = progress.job.job_id
        if not result.retained:
            return self._fail(progress, outcomes.answer_gone(job_id))
        value = result_value(result.body, result.content_type)
        progress.finish_task(result.task, value)
        if not progress.is_complete:
            return []
        return self._finish(
            progress, complete_reply(job_id, progress.results())
        )

    def _attempt_failed(
        self,
        progress: JobProgress,
        key: TaskKey,
        verdict: Verdict,
        error: str,
    ) -> list[LeaderEffect]:
        task = progress.tasks[key[1]]
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            task.state = TaskState.WAITING
            task.not_before = now + self.limits.refusal_pause_s
            self._queue(key, task)
            return []
        task.verdict = verdict
        task.state = TaskState.FAILED
        if progress.job.idempotent and task.attempt < self.limits.max_attempts:
            task.state = TaskState.WAITING
            if verdict is Verdict.MAY_HAVE_RUN:
                task.not_before = task.placed_at + self.limits.attempt_over_s
            self._queue(key, task)
            return []
        return self._fail(
            progress, outcomes.task_failed(progress, key[1], error)
        )

    def _queue(self, key: TaskKey, task: TaskProgress) -> None:
        if task.not_before > self.clock.monotonic():
            heapq.heappush(self.delayed, (task.not_before, key))
        else:
            self.scheduler.add([key])

    # Time.

    def tick(self) -> list[LeaderEffect]:
        """Do what is due by now."""
        now = self.clock.monotonic()
        effects = self._settle_lost(now)
        while self.delayed and self.delayed[0][0] <= now:
            _, key = heapq.heappop(self.delayed)
            self.scheduler.add([key])
        while self.deadlines and self.deadlines[0][0] <= now:
            _, job_key = heapq.heappop(self.deadlines)
            progress = self.jobs.get(job_key)
            if progress is not None:
                effects += self._fail(
                    progress, outcomes.deadline_passed(progress)
                )
        return effects

    # Ends.

    def _fail(
        self, progress: JobProgress, problem: outcomes.Problem
    ) -> list[LeaderEffect]:
        return self._finish(progress, problem_reply(problem))

    def _finish(
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


def _supersedes(record: KnownTask, task: TaskProgress) -> bool:
    """Return whether a record tells more of a task than the leader knows."""
    if record.state is RecordState.SUCCEEDED:
        return True
    if record.attempt < task.attempt:
        return False
    return task.state is TaskState.WAITING or task.agent_id == record.agent_id


def _reply(token: RequestToken, problem: outcomes.Problem) -> SendReply:
    return SendReply(token, problem_reply(problem))

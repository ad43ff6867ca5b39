"""Attempts at tasks: placed, judged and made again."""

from collections.abc import Set
import heapq

from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.process.clock import Clock
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import SendToAgent
from egretcart.process.job_table import JobTable
from egretcart.process.limits import LeaderLimits
from egretcart.process.scheduler import FifoScheduler
from egretcart.process.scheduler import TaskKey
from egretcart.request import outcomes
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import complete_reply
from egretcart.request.reply import result_value
from egretcart.request.verdict import Verdict

MS_PER_S = 1000


class Attempts:
    """Starts tasks and handles the ends of their attempts.

    Parameters
    ----------
    table : JobTable
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    scheduler : FifoScheduler
        Tasks that may start now.
    delayed : list of (float, TaskKey)
        Heap of tasks that may start at a monotonic time.
    """

    def __init__(
        self, *, table: JobTable, limits: LeaderLimits, clock: Clock
    ) -> None:
        self.table = table
        self.limits = limits
        self.clock = clock
        self.scheduler = FifoScheduler()
        self.delayed: list[tuple[float, TaskKey]] = []

    def tick(self, now: float) -> None:
        """Queue the tasks whose pause has passed."""
        while self.delayed and self.delayed[0][0] <= now:
            _, key = heapq.heappop(self.delayed)
            self.scheduler.add([key])

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
            progress = self.table.jobs.get(key[0])
            if progress is None:
                self.scheduler.waiting.popleft()
                continue
            agent_id = self.scheduler.choose(self.table.loads, usable)
            if agent_id is None:
                break
            self.scheduler.waiting.popleft()
            effects.append(self._start(progress, key, agent_id))
        return effects

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
        self.table.loads[agent_id].in_flight[key] = task.attempt
        time_left_s = min(self.limits.attempt_limit_s, progress.deadline - now)
        definition = job.tasks[key[1]]
        start = Start(
            term=self.table.term,
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
        load = self.table.loads.get(agent_id)
        if load is None:
            return []
        if load.in_flight.get(key) == result.attempt:
            del load.in_flight[key]
        progress = self.table.jobs.get(result.job_id)
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
        return self.attempt_failed(progress, key, verdict, result.error)

    def _attempt_succeeded(
        self, progress: JobProgress, result: TaskResult
    ) -> list[LeaderEffect]:
        job_id = progress.job.job_id
        if not result.retained:
            return self.table.fail(progress, outcomes.answer_gone(job_id))
        value = result_value(result.body, result.content_type)
        progress.finish_task(result.task, value)
        if not progress.is_complete:
            return []
        return self.table.finish(
            progress, complete_reply(job_id, progress.results())
        )

    def attempt_failed(
        self,
        progress: JobProgress,
        key: TaskKey,
        verdict: Verdict,
        error: str,
    ) -> list[LeaderEffect]:
        """Make a failed attempt again, or end its job."""
        task = progress.tasks[key[1]]
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            task.state = TaskState.WAITING
            task.not_before = now + self.limits.refusal_pause_s
            self.queue(key, task)
            return []
        task.verdict = verdict
        task.state = TaskState.FAILED
        if progress.job.idempotent and task.attempt < self.limits.max_attempts:
            task.state = TaskState.WAITING
            if verdict is Verdict.MAY_HAVE_RUN:
                task.not_before = task.placed_at + self.limits.attempt_limit_s
            self.queue(key, task)
            return []
        return self.table.fail(
            progress, outcomes.task_failed(progress, key[1], error)
        )

    def queue(self, key: TaskKey, task: TaskProgress) -> None:
        """Let a task start once its pause has passed."""
        if task.not_before > self.clock.monotonic():
            heapq.heappush(self.delayed, (task.not_before, key))
        else:
            self.scheduler.add([key])

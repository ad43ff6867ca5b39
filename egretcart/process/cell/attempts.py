"""Handling of ended attempts at tasks, with retries of failed ones."""

from egretcart.connection.agent_messages import TaskResult
from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.cell.agent_pool import AgentPool
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.job_table import JobTable
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.starts import TaskStarter
from egretcart.process.clock import Clock
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.retries import FailedAttempt
from egretcart.request import outcomes
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import complete_reply
from egretcart.request.reply import result_value
from egretcart.request.verdict import Verdict

MS_PER_S = 1000
US_PER_MS = 1000


class AttemptManager:
    """Handles the ends of attempts and retries failed ones where allowed.

    Parameters
    ----------
    table : JobTable
    policy : Policy
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    agent_pool : AgentPool
    starts : TaskStarter
    """

    def __init__(
        self,
        *,
        table: JobTable,
        policy: Policy,
        limits: LeaderLimits,
        clock: Clock,
    ) -> None:
        self.table = table
        self.policy = policy
        self.limits = limits
        self.clock = clock
        self.agent_pool = AgentPool(loads=table.loads, policy=policy)
        self.starts = TaskStarter(
            table=table, policy=policy, agent_pool=self.agent_pool, clock=clock
        )

    def work_ms(self, job: Job) -> list[float]:
        """Return the expected run time of each task, in milliseconds."""
        expected_task_ms = self.policy.run_time_estimator.expected_task_ms
        return [
            expected_task_ms(task.kind, task.run_time_ms) for task in job.tasks
        ]

    def time_left_s(self, job: Job) -> float:
        """Return how long a job that is accepted now may take, in seconds."""
        service = self.policy.service_config.service
        limit_ms = job.deadline_ms or service.default_deadline_ms
        time_limit_s = min(limit_ms, service.max_deadline_ms) / MS_PER_S
        return min(time_limit_s, self.limits.max_deadline_s)

    def find_refusal(self, job: Job) -> Problem | None:
        """Return why a new job is refused, or None if it is accepted.

        Call it only for a job of which no task was ever sent to an agent.
        """
        now = self.clock.monotonic()
        self.agent_pool.update_agents(now)
        return self.policy.admission.find_refusal(
            job,
            work_ms=self.work_ms(job),
            time_left_s=self.time_left_s(job),
            capacity=self.agent_pool.capacity,
            now=now,
        )

    def add_job(self, progress: JobProgress) -> None:
        """Add a job to the queue, without any of its tasks yet."""
        job = progress.job
        self.policy.task_queue.add_job(
            job.job_id.value,
            urgency=job.urgency,
            team=job.team,
            work_ms=self.work_ms(job),
            now=progress.arrived_at,
        )

    def max_attempt_limit_s(self, kind: str) -> float:
        """Return the longest time limit of a former leader's attempt, in s."""
        return max(
            self.limits.attempt_limit_s,
            self.policy.service_config.attempt_limit_s(kind),
        )

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
            return self._attempt_succeeded(progress, agent_id, result)
        if not self._is_current(task, agent_id, result.attempt):
            return []
        verdict = Verdict(result.verdict)
        self._attribute_failure(progress, task, agent_id, verdict)
        if self.drop_attempt(task, result.attempt):
            task.verdict = _stronger_verdict(task.verdict, verdict)
            return []
        return self.attempt_failed(progress, key, verdict, result.error)

    @staticmethod
    def _is_current(task: TaskProgress, agent_id: str, attempt: int) -> bool:
        if task.state is not TaskState.PLACED:
            return False
        hedge = task.hedge
        if hedge is not None and hedge.attempt == attempt:
            return hedge.agent_id == agent_id
        return task.attempt == attempt and task.agent_id == agent_id

    def _attempt_succeeded(
        self, progress: JobProgress, agent_id: str, result: TaskResult
    ) -> list[LeaderEffect]:
        job_id = progress.job.job_id
        if not result.retained:
            return self.table.fail(progress, outcomes.answer_gone(job_id))
        self._record_run_time(progress.job, agent_id, result)
        self._cancel_others(progress, result.task, agent_id)
        value = result_value(result.body, result.content_type)
        progress.finish_task(result.task, value)
        key = (result.job_id, result.task)
        self.policy.task_queue.stopped(key, done=True)
        if progress.result_bytes > self.limits.max_answer_bytes:
            problem = outcomes.answer_too_large(
                progress, self.limits.max_answer_bytes
            )
            return self.table.fail(progress, problem)
        if not progress.is_complete:
            return []
        return self.table.finish(
            progress, complete_reply(job_id, progress.results())
        )

    def _record_run_time(
        self, job: Job, agent_id: str, result: TaskResult
    ) -> None:
        definition = job.tasks[result.task]
        run_time_estimator = self.policy.run_time_estimator
        declared_ms = definition.run_time_ms
        run_ms = result.run_time_us / US_PER_MS
        expected_ms = run_time_estimator.expected_task_ms(
            definition.kind, declared_ms
        )
        share = 1.0
        if run_time_estimator.has_enough_samples(definition.kind):
            share = run_ms / expected_ms
        self.policy.retries.succeeded()
        self.policy.hedging.succeeded()
        credible = self.policy.health.succeeded(
            agent_id, share=share, now=self.clock.monotonic()
        )
        if credible and run_ms > 0:
            run_time_estimator.record_run(
                agent_id, definition.kind, declared_ms, run_ms
            )

    def _cancel_others(
        self, progress: JobProgress, index: int, winner: str
    ) -> None:
        """End the other attempts at a task that has succeeded."""
        task = progress.tasks[index]
        others: set[str] = set()
        if task.state is TaskState.PLACED and task.agent_id is not None:
            others.add(task.agent_id)
        if task.hedge is not None:
            others.add(task.hedge.agent_id)
        for agent_id in others - {winner}:
            self.table.cancel(agent_id, progress.job.job_id.value, index)

    def _attribute_failure(
        self,
        progress: JobProgress,
        task: TaskProgress,
        agent_id: str,
        verdict: Verdict,
    ) -> None:
        """Record a failure, with the other agents that failed the same work.

        A failure on several healthy agents is attributed to the work, not to
        an agent. Until some task of the job has finished, failures of the
        job's other tasks count as failures of the same work.
        """
        health = self.policy.health
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            health.refused(agent_id, now=now)
            return
        others = set(task.failed_agent_ids)
        if not progress.has_finished_task:
            others |= progress.failed_agent_ids
        others = {a for a in others - {agent_id} if health.is_healthy(a)}
        task.failed_agent_ids = (*task.failed_agent_ids, agent_id)
        progress.failed_agent_ids.add(agent_id)
        health.failed(
            agent_id,
            job=progress.job.job_id.value,
            proven=progress.has_finished_task,
            others=others,
            now=now,
        )

    def attempt_failed(
        self,
        progress: JobProgress,
        key: TaskKey,
        verdict: Verdict,
        error: str,
    ) -> list[LeaderEffect]:
        """Retry a task after a failed attempt, or end its job.

        Parameters
        ----------
        progress : JobProgress
        key : TaskKey
            A task that has no other attempt running.
        verdict : Verdict
            Verdict of the failed attempt.
        error : str
            Why the attempt failed.

        Returns
        -------
        list of LeaderEffect
        """
        task = progress.tasks[key[1]]
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            task.consecutive_refusals += 1
            backoff_s = self.policy.retries.refusal_backoff_s(
                task.consecutive_refusals
            )
            self._requeue_task(key, task, now + backoff_s)
            return []
        task.consecutive_refusals = 0
        task.failed_attempts += 1
        task.verdict = _stronger_verdict(task.verdict, verdict)
        task.state = TaskState.FAILED
        earliest_at = now
        if verdict is Verdict.MAY_HAVE_RUN:
            earliest_at = max(now, self._retry_not_before(progress, key))
        failed = self._failed_attempt(progress, key, verdict, earliest_at)
        if (
            self._has_reached_shorter_limit(progress, key, now)
            and failed.can_meet_deadline
        ):
            task.failed_attempts -= 1
            self._requeue_task(key, task, earliest_at)
            return []
        if self.policy.retries.allows(failed):
            self._requeue_task(key, task, earliest_at)
            return []
        return self.table.fail(
            progress, outcomes.task_failed(progress, key[1], error)
        )

    def _has_reached_shorter_limit(
        self, progress: JobProgress, key: TaskKey, now: float
    ) -> bool:
        """Return whether an attempt ended at a limit below the configured one.

        The first attempt at an idempotent task may have such a time limit.
        """
        task = progress.tasks[key[1]]
        kind = progress.job.tasks[key[1]].kind
        configured_s = self.policy.service_config.attempt_limit_s(kind)
        if (
            not progress.job.idempotent
            or not 0 < task.time_limit_s < configured_s
        ):
            return False
        return now >= task.placed_at + task.time_limit_s

    def _retry_not_before(self, progress: JobProgress, key: TaskKey) -> float:
        """Return the monotonic time from which another attempt may start.

        It is the time by which the former attempt has expired; minus infinity
        if two attempts at the task may run at the same time, so that there is
        no need to wait for the end of the first.
        """
        if self.policy.service_config.may_hedge(progress.job, key[1]):
            return float("-inf")
        return self.attempt_expires_at(progress, key)

    def attempt_expires_at(self, progress: JobProgress, key: TaskKey) -> float:
        """Return the monotonic time by which the newest attempt has expired.

        An attempt begins within the agent's lease after its start was sent,
        or not at all, and then runs for at most its time limit.
        """
        task = progress.tasks[key[1]]
        kind = progress.job.tasks[key[1]].kind
        time_limit_s = task.time_limit_s or self.max_attempt_limit_s(kind)
        return task.placed_at + self.limits.attempt_over_s(time_limit_s)

    def _failed_attempt(
        self,
        progress: JobProgress,
        key: TaskKey,
        verdict: Verdict,
        earliest_at: float,
    ) -> FailedAttempt:
        task = progress.tasks[key[1]]
        definition = progress.job.tasks[key[1]]
        health = self.policy.health
        healthy = {
            a for a in set(task.failed_agent_ids) if health.is_healthy(a)
        }
        expected_ms = self.policy.run_time_estimator.expected_task_ms(
            definition.kind, definition.run_time_ms
        )
        return FailedAttempt(
            verdict=verdict,
            idempotent=progress.job.idempotent,
            attempts=task.failed_attempts,
            failed_agent_count=len(healthy) if verdict is Verdict.RAN else 0,
            earliest_at=earliest_at,
            expected_run_s=expected_ms
            * self.agent_pool.capacity.min_slowdown
            / MS_PER_S,
            deadline=progress.deadline,
        )

    def drop_attempt(self, task: TaskProgress, attempt: int) -> bool:
        """Remove one of two attempts; return whether the other one is left.

        Parameters
        ----------
        task : TaskProgress
        attempt : int
            The attempt that has failed or was lost.

        Returns
        -------
        bool
            False, with the task unchanged, if it has only one attempt or
            if `attempt` is neither of its two.
        """
        hedge = task.hedge
        if hedge is None or attempt not in (task.attempt, hedge.attempt):
            return False
        task.hedge = None
        if hedge.attempt == attempt:
            return True
        task.attempt = hedge.attempt
        task.agent_id = hedge.agent_id
        task.placed_at = hedge.placed_at
        task.time_limit_s = hedge.time_limit_s
        return True

    def _requeue_task(
        self, key: TaskKey, task: TaskProgress, not_before: float
    ) -> None:
        task.state = TaskState.WAITING
        task.not_before = not_before
        self.policy.task_queue.stopped(key, done=False)
        self.starts.enqueue(key, task)


def _stronger_verdict(former: Verdict, latest: Verdict) -> Verdict:
    """Return the verdict on a task from those of two of its attempts."""
    if Verdict.RAN in (former, latest):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (former, latest):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN

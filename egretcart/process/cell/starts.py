"""Sending of task starts: first attempts, retries and hedges."""

from collections import deque
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import heapq

from egretcart.connection.leader_messages import Start
from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.cell.agent_pool import AgentPool
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.job_table import JobTable
from egretcart.process.clock import Clock
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.placement import Demand
from egretcart.process.policy.retries import FailedAttempt
from egretcart.request.progress import HedgeAttempt
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.verdict import Verdict

MS_PER_S = 1000
# Delay, in seconds, of a task that has failed before and may not run on the
# agents with free capacity.
DEFERRAL_S = 0.02
# Time limit of the first attempt at an idempotent task, as a multiple of the
# longest run time of its kind, and the least value of this limit in seconds.
FIRST_ATTEMPT_LIMIT_FACTOR = 8.0
MIN_ATTEMPT_LIMIT_S = 2.0
# Number of jobs that are searched for tasks that a slow agent would finish no
# later than their job.
MAX_SEARCHED_JOBS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostAttempt:
    """An attempt that was in flight when its agent's connection was lost.

    Attributes
    ----------
    key : TaskKey
    attempt : int
        Number of the attempt.
    failure_domain : str
        Failure domain of the lost agent.
    """

    key: TaskKey
    attempt: int
    failure_domain: str


class TaskStarter:
    """Sends waiting tasks to agents that have a lease and free capacity.

    Parameters
    ----------
    table : JobTable
    policy : Policy
    agent_pool : AgentPool
    clock : Clock

    Attributes
    ----------
    delayed : list of (float, TaskKey)
        Heap of tasks that may not start yet, each with the monotonic time,
        in seconds, from which it may.
    lost_attempts : deque of LostAttempt
        Attempts that are hedged before anything else starts.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        policy: Policy,
        agent_pool: AgentPool,
        clock: Clock,
    ) -> None:
        self.table = table
        self.policy = policy
        self.agent_pool = agent_pool
        self.clock = clock
        self.delayed: list[tuple[float, TaskKey]] = []
        self.lost_attempts: deque[LostAttempt] = deque()

    def enqueue(self, key: TaskKey, task: TaskProgress) -> None:
        """Queue a task, or delay it until it may start."""
        if task.not_before > self.clock.monotonic():
            heapq.heappush(self.delayed, (task.not_before, key))
        else:
            self.policy.task_queue.push(
                key, again=task.last_issued_attempt > 0
            )

    def tick(self, now: float) -> None:
        """Queue the delayed tasks that may start by now."""
        while self.delayed and self.delayed[0][0] <= now:
            _, key = heapq.heappop(self.delayed)
            progress = self.table.jobs.get(key[0])
            if progress is None:
                continue
            task = progress.tasks[key[1]]
            if _is_due(task, now):
                self.policy.task_queue.push(
                    key, again=task.last_issued_attempt > 0
                )

    @property
    def has_due(self) -> bool:
        """Whether any task may start now."""
        if self.policy.task_queue.waiting or self.lost_attempts:
            return True
        return self.policy.hedging.has_due(self.clock.monotonic())

    def place(self, leased_agents: Set[str]) -> list[LeaderEffect]:
        """Send waiting tasks to agents with free capacity.

        Parameters
        ----------
        leased_agents : set of str
            Agents that have a valid lease on the term.

        Returns
        -------
        list of LeaderEffect
        """
        now = self.clock.monotonic()
        task_queue = self.policy.task_queue
        placement = self.policy.placement
        self.agent_pool.update_agents(now)
        placement.open_batch(
            self.agent_pool.candidates(leased_agents), now=now
        )
        effects = self._hedge_lost(now) + self._hedge_stragglers(now)
        while (key := task_queue.peek()) is not None:
            progress = self.table.jobs[key[0]]
            task = progress.tasks[key[1]]
            if not _is_due(task, now):
                task_queue.drop_next()
                continue
            exclude = self.agent_pool.probe_excluded_agents(progress.job, now)
            agent_id = placement.choose_agent(
                self._demand(
                    progress, key, task_queue.waiting_job_ms(key[0]), now
                ),
                avoid=self.agent_pool.agents_in_domains_of(
                    task.failed_agent_ids
                ),
                exclude=exclude
                | self.agent_pool.excluded_agents(task.failed_agent_ids),
            )
            if agent_id is None and task.failed_agent_ids:
                self._defer_task(key, task, now)
                continue
            if agent_id is None:
                break
            task_queue.start_next()
            effects.append(self._place_task(progress, key, agent_id, now))
            placement.record_placement(agent_id)
        if task_queue.waiting and placement.has_free_capacity:
            effects += self._place_on_slow_agents(now)
        return effects

    def _demand(
        self,
        progress: JobProgress,
        key: TaskKey,
        queued_ahead_ms: float,
        now: float,
    ) -> Demand:
        return Demand(
            run_ms=self._expected_ms(progress, key),
            queued_ahead_ms=queued_ahead_ms,
            job_remaining_ms=(progress.expected_end_at - now) * MS_PER_S,
        )

    def _expected_ms(self, progress: JobProgress, key: TaskKey) -> float:
        """Return a task's expected run time on an average agent, in ms."""
        definition = progress.job.tasks[key[1]]
        return self.policy.run_time_estimator.expected_task_ms(
            definition.kind, definition.run_time_ms
        )

    def _place_on_slow_agents(self, now: float) -> list[LeaderEffect]:
        """Send tasks to slow agents that finish them no later than the job."""
        effects: list[LeaderEffect] = []
        placement = self.policy.placement
        task_queue = self.policy.task_queue
        for last in task_queue.last_tasks(MAX_SEARCHED_JOBS):
            progress = self.table.jobs[last.key[0]]
            task = progress.tasks[last.key[1]]
            if not _is_due(task, now) or task.failed_agent_ids:
                continue
            agent_id = placement.choose_agent(
                self._demand(progress, last.key, last.queued_ahead_ms, now),
                exclude=self.agent_pool.probe_excluded_agents(
                    progress.job, now
                ),
            )
            if agent_id is None:
                continue
            task_queue.start_last(last.key[0])
            effects.append(self._place_task(progress, last.key, agent_id, now))
            placement.record_placement(agent_id)
        return effects

    def _defer_task(
        self, key: TaskKey, task: TaskProgress, now: float
    ) -> None:
        """Defer a task that only some agents may run, so that others start."""
        self.policy.task_queue.drop_next()
        task.not_before = now + DEFERRAL_S
        heapq.heappush(self.delayed, (task.not_before, key))

    def _place_task(
        self, progress: JobProgress, key: TaskKey, agent_id: str, now: float
    ) -> LeaderEffect:
        task = progress.tasks[key[1]]
        attempt = max(task.attempt, task.last_issued_attempt) + 1
        task.state = TaskState.PLACED
        task.attempt = attempt
        task.agent_id = agent_id
        task.placed_at = now
        start = self._new_start(progress, key, agent_id, now)
        task.time_limit_s = start.time_left_ms / MS_PER_S
        expected_ms = self._expected_ms(progress, key)
        self.agent_pool.task_started(expected_ms)
        run_s = (
            expected_ms * self.policy.placement.slowdown(agent_id) / MS_PER_S
        )
        progress.expected_end_at = max(progress.expected_end_at, now + run_s)
        if self.policy.service_config.may_hedge(progress.job, key[1]):
            slowdown = self.policy.run_time_estimator.slowdown(agent_id)
            self.policy.hedging.watch(
                key, attempt, expected_ms=expected_ms * slowdown, now=now
            )
        return SendToAgent(agent_id, start)

    def _new_start(
        self, progress: JobProgress, key: TaskKey, agent_id: str, now: float
    ) -> Start:
        """Return the start of a new attempt and count it as in flight."""
        job = progress.job
        task = progress.tasks[key[1]]
        task.last_issued_attempt = max(
            task.attempt, task.last_issued_attempt + 1
        )
        self.table.loads[agent_id].in_flight[key] = task.last_issued_attempt
        definition = job.tasks[key[1]]
        time_left_s = min(
            self._attempt_limit_s(progress, key, agent_id),
            progress.deadline - now,
        )
        return Start(
            term=self.table.term,
            job_id=key[0],
            digest=job.digest,
            task=key[1],
            attempt=task.last_issued_attempt,
            kind=definition.kind,
            payload=definition.payload,
            idempotent=job.idempotent,
            time_left_ms=int(time_left_s * MS_PER_S),
        )

    def _attempt_limit_s(
        self, progress: JobProgress, key: TaskKey, agent_id: str
    ) -> float:
        """Return the time limit of a new attempt, in seconds.

        An attempt that was lost with its agent can be repeated once its
        time limit has expired, so a tighter limit allows an earlier repeat.
        Only the first attempt at an idempotent task gets one; all other
        attempts have the limit that the operators configured.
        """
        kind = progress.job.tasks[key[1]].kind
        configured_limit_s = self.policy.service_config.attempt_limit_s(kind)
        longest_ms = self.policy.run_time_estimator.longest_ms(kind)
        is_first = progress.tasks[key[1]].last_issued_attempt == 1
        if longest_ms is None or not is_first or not progress.job.idempotent:
            return configured_limit_s
        slowdown = max(1.0, self.policy.run_time_estimator.slowdown(agent_id))
        derived_limit_s = (
            FIRST_ATTEMPT_LIMIT_FACTOR * longest_ms * slowdown / MS_PER_S
        )
        return min(
            configured_limit_s, max(MIN_ATTEMPT_LIMIT_S, derived_limit_s)
        )

    def agent_lost(
        self, failure_domain: str, in_flight: Mapping[TaskKey, int]
    ) -> None:
        """Record the attempts of a lost agent that may be hedged.

        Parameters
        ----------
        failure_domain : str
            Failure domain of the agent.
        in_flight : mapping of TaskKey to int
            Number of the attempt at each task that the agent had in flight.
        """
        for key, attempt in in_flight.items():
            progress = self.table.jobs.get(key[0])
            if progress is None:
                continue
            if self.policy.service_config.may_hedge(progress.job, key[1]):
                self.lost_attempts.append(
                    LostAttempt(
                        key=key,
                        attempt=attempt,
                        failure_domain=failure_domain,
                    )
                )

    def _hedge_lost(self, now: float) -> list[LeaderEffect]:
        """Hedge the attempts of lost agents, within the retry budget."""
        effects: list[LeaderEffect] = []
        while self.lost_attempts:
            lost = self.lost_attempts[0]
            progress = self.table.jobs.get(lost.key[0])
            if progress is not None and self._is_only_attempt_lost(
                progress, lost
            ):
                agent_id = self._choose_outside_domain(progress, lost, now)
                if agent_id is None:
                    break
                if self._allows_hedge(progress, lost.key, now):
                    effects.append(
                        self._send_hedge(progress, lost.key, agent_id, now)
                    )
            self.lost_attempts.popleft()
        return effects

    def _is_only_attempt_lost(
        self, progress: JobProgress, lost: LostAttempt
    ) -> bool:
        """Return whether a task's only attempt is the lost one."""
        task = progress.tasks[lost.key[1]]
        if task.state is not TaskState.PLACED or task.hedge is not None:
            return False
        if task.agent_id in self.table.loads:
            return False
        return task.attempt == lost.attempt

    def _choose_outside_domain(
        self, progress: JobProgress, lost: LostAttempt, now: float
    ) -> str | None:
        """Return an agent outside the failure domain of a lost agent.

        All agents are eligible if they share this domain.
        """
        same_domain_agents = {
            load.agent_id
            for load in self.table.loads.values()
            if load.failure_domain == lost.failure_domain
        }
        if len(same_domain_agents) == len(self.table.loads):
            same_domain_agents = set()
        demand = self._demand(progress, lost.key, 0.0, now)
        return self.policy.placement.choose_agent(
            demand, exclude=same_domain_agents
        )

    def _allows_hedge(
        self, progress: JobProgress, key: TaskKey, now: float
    ) -> bool:
        expected_ms = self._expected_ms(progress, key)
        slowdown = self.agent_pool.capacity.min_slowdown
        return self.policy.retries.allows(
            FailedAttempt(
                verdict=Verdict.MAY_HAVE_RUN,
                idempotent=progress.job.idempotent,
                attempts=progress.tasks[key[1]].failed_attempts + 1,
                failed_agent_count=0,
                earliest_at=now,
                expected_run_s=expected_ms * slowdown / MS_PER_S,
                deadline=progress.deadline,
            )
        )

    def _hedge_stragglers(self, now: float) -> list[LeaderEffect]:
        """Hedge stragglers, before any waiting task starts."""
        effects: list[LeaderEffect] = []
        for key, attempt in self.policy.hedging.pop_due(now):
            progress = self.table.jobs.get(key[0])
            if progress is None:
                continue
            task = progress.tasks[key[1]]
            if task.state is not TaskState.PLACED or task.attempt != attempt:
                continue
            if task.hedge is None and task.agent_id is not None:
                effects += self._hedge_task(progress, key, now)
        return effects

    def _hedge_task(
        self, progress: JobProgress, key: TaskKey, now: float
    ) -> list[LeaderEffect]:
        task = progress.tasks[key[1]]
        expected_ms = self._expected_ms(progress, key)
        if now + expected_ms / MS_PER_S > progress.deadline:
            return []
        used_agents = (task.agent_id or "",)
        agent_id = self.policy.placement.choose_agent(
            Demand(run_ms=expected_ms),
            avoid=self.agent_pool.agents_in_domains_of(used_agents),
            exclude=set(used_agents),
        )
        if agent_id is None:
            # Try again after a quarter of the usual time.
            self.policy.hedging.watch(
                key, task.attempt, expected_ms=expected_ms / 4, now=now
            )
            return []
        if not self.policy.hedging.try_consume():
            return []
        return [self._send_hedge(progress, key, agent_id, now)]

    def _send_hedge(
        self, progress: JobProgress, key: TaskKey, agent_id: str, now: float
    ) -> LeaderEffect:
        task = progress.tasks[key[1]]
        start = self._new_start(progress, key, agent_id, now)
        task.hedge = HedgeAttempt(
            attempt=start.attempt,
            agent_id=agent_id,
            placed_at=now,
            time_limit_s=start.time_left_ms / MS_PER_S,
        )
        self.policy.placement.record_placement(agent_id)
        return SendToAgent(agent_id, start)


def _is_due(task: TaskProgress, now: float) -> bool:
    """Return whether a task waits and its `not_before` time has passed.

    If attempts at the task must not overlap, no former attempt may still run
    after that time.
    """
    return task.state is TaskState.WAITING and task.not_before <= now

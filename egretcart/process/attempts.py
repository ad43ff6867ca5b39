"""Attempts at tasks: placed, judged, hedged and made again."""

from collections.abc import Iterator
from collections.abc import Set
import heapq

from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.process.clock import Clock
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import SendToAgent
from egretcart.process.job_table import JobTable
from egretcart.process.limits import LeaderLimits
from egretcart.process.policy.admission import Capacity
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.placement import Candidate
from egretcart.process.policy.retries import FailedAttempt
from egretcart.process.scheduler import AgentLoad
from egretcart.process.scheduler import TaskKey
from egretcart.request import outcomes
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.request.progress import HedgeAttempt
from egretcart.request.progress import JobProgress
from egretcart.request.progress import TaskProgress
from egretcart.request.progress import TaskState
from egretcart.request.reply import complete_reply
from egretcart.request.reply import result_value
from egretcart.request.verdict import Verdict

MS_PER_S = 1000
US_PER_MS = 1000
# Time between two looks at the speeds of all agents, in seconds.
SURVEY_INTERVAL_S = 0.1
MEAN_RUN_TIME_RATE = 0.02
FIRST_MEAN_RUN_TIME_MS = 200.0


class Attempts:
    """Starts tasks and handles the ends of their attempts.

    Parameters
    ----------
    table : JobTable
    policy : Policy
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    delayed : list of (float, TaskKey)
        Heap of tasks that may start at a monotonic time.
    capacity : Capacity
        What the agents can do, as of the last survey.
    mean_ms : float
        Mean expected run time of the tasks started.
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
        self.delayed: list[tuple[float, TaskKey]] = []
        self.capacity = Capacity(slots=0, rate=0.0, least_slowness=1.0)
        self.next_survey = float("-inf")
        self.mean_ms = FIRST_MEAN_RUN_TIME_MS

    # Agents.

    def agents_changed(self) -> None:
        """Take in that agents have come or gone."""
        slots = sum(load.slots for load in self.table.loads.values())
        self.policy.resize(slots)
        self.next_survey = float("-inf")

    def survey(self, now: float) -> None:
        """Take in what the agents can do, if it is time to."""
        if now < self.next_survey:
            return
        self.next_survey = now + SURVEY_INTERVAL_S
        candidates = [
            self._candidate(load, now)
            for load in self.table.loads.values()
            if not load.draining and self.policy.tables.allows(load.agent_id)
        ]
        self.policy.placement.survey(candidates, mean_ms=self.mean_ms)
        slots = 0
        rate = 0.0
        fastest = float("inf")
        for candidate in candidates:
            usable = min(candidate.limit, candidate.load.slots)
            if not usable:
                continue
            slowness = self.policy.run_times.slowness(candidate.load.agent_id)
            slots += usable
            rate += usable / slowness
            fastest = min(fastest, slowness)
        self.capacity = Capacity(
            slots=slots,
            rate=rate,
            least_slowness=fastest if slots else 1.0,
        )

    def _candidate(self, load: AgentLoad, now: float) -> Candidate:
        most = load.slots + load.queue_depth
        limit = self.policy.health.limit(load.agent_id, most, now=now)
        return Candidate(load=load, limit=limit)

    def _candidates(self, usable: Set[str], now: float) -> Iterator[Candidate]:
        """Yield the agents that may have room."""
        for agent_id, load in self.table.loads.items():
            if load.free <= 0 or load.draining or agent_id not in usable:
                continue
            if not self.policy.tables.allows(agent_id):
                continue
            candidate = self._candidate(load, now)
            if candidate.limit > 0:
                yield candidate

    # Jobs.

    def work_ms(self, job: Job) -> list[float]:
        """Return the expected run time of each task, in milliseconds."""
        task_ms = self.policy.run_times.task_ms
        return [task_ms(task.kind, task.run_time_ms) for task in job.tasks]

    def time_left_s(self, job: Job) -> float:
        """Return the time that a job has from now on, in seconds."""
        service = self.policy.tables.service
        limit_ms = job.deadline_ms or service.default_deadline_ms
        limit_s = min(limit_ms, service.max_deadline_ms) / MS_PER_S
        return min(limit_s, self.limits.max_deadline_s)

    def refusal(self, job: Job) -> Problem | None:
        """Return why a job that was never placed is refused, or None."""
        now = self.clock.monotonic()
        self.survey(now)
        return self.policy.admission.refusal(
            job,
            work_ms=self.work_ms(job),
            time_left_s=self.time_left_s(job),
            capacity=self.capacity,
            now=now,
        )

    def add_job(self, progress: JobProgress) -> None:
        """Take in a job of which nothing waits yet."""
        job = progress.job
        self.policy.order.add_job(
            job.job_id.value,
            urgency=job.urgency,
            team=job.team,
            work_ms=self.work_ms(job),
            now=progress.arrived,
        )

    # Starts.

    def limit_s(self, kind: str) -> float:
        """Return the time limit of an attempt at a task of a kind."""
        return self.policy.tables.find_kind(kind).attempt_limit_ms / MS_PER_S

    def longest_limit_s(self, kind: str) -> float:
        """Return the time limit that a former leader may have given."""
        return max(self.limits.attempt_limit_s, self.limit_s(kind))

    @property
    def has_due(self) -> bool:
        """Whether any task may start now."""
        if self.policy.order.waiting:
            return True
        return self.policy.hedging.has_due(self.clock.monotonic())

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
        now = self.clock.monotonic()
        order = self.policy.order
        placement = self.policy.placement
        self.survey(now)
        placement.open_batch(self._candidates(usable, now), now=now)
        effects: list[LeaderEffect] = []
        while (key := order.peek()) is not None:
            progress = self.table.jobs[key[0]]
            task = progress.tasks[key[1]]
            if task.state is not TaskState.WAITING:
                order.take()
                if task.state is not TaskState.PLACED:
                    order.stopped(key, done=False)
                continue
            agent_id = placement.choose(
                waiting=order.waiting,
                avoid=self._agents_to_avoid(task.failed_on),
                exclude=self._probed_agents(progress.job, now),
            )
            if agent_id is None:
                break
            order.take()
            effects.append(self._place_task(progress, key, agent_id, now))
            placement.placed(agent_id)
        if not order.waiting:
            effects += self._hedge(now)
        return effects

    def _agents_to_avoid(self, failed_on: tuple[str, ...]) -> Set[str]:
        """Return the agents of the failure domains where a task failed."""
        if not failed_on:
            return frozenset()
        loads = self.table.loads
        domains = {loads[a].failure_domain for a in failed_on if a in loads}
        return {
            load.agent_id
            for load in loads.values()
            if load.failure_domain in domains or load.agent_id in failed_on
        }

    def _probed_agents(self, job: Job, now: float) -> Set[str]:
        """Return the agents that must not be probed with a job's tasks."""
        if job.idempotent or not self.policy.health.has_ejected:
            return frozenset()
        return {
            agent_id
            for agent_id in self.table.loads
            if self.policy.health.is_probe(agent_id, now=now)
        }

    def _place_task(
        self, progress: JobProgress, key: TaskKey, agent_id: str, now: float
    ) -> LeaderEffect:
        task = progress.tasks[key[1]]
        attempt = max(task.attempt, task.issued) + 1
        task.state = TaskState.PLACED
        task.attempt = attempt
        task.agent_id = agent_id
        task.placed_at = now
        start = self._start(progress, key, agent_id, now)
        task.limit_s = start.time_left_ms / MS_PER_S
        kind = self.policy.tables.find_kind(start.kind)
        definition = progress.job.tasks[key[1]]
        expected_ms = self.policy.run_times.task_ms(
            definition.kind, definition.run_time_ms
        )
        self.mean_ms += MEAN_RUN_TIME_RATE * (expected_ms - self.mean_ms)
        if kind.hedge and progress.job.idempotent:
            slowness = self.policy.run_times.slowness(agent_id)
            self.policy.hedging.watch(
                key, attempt, expected_ms=expected_ms * slowness, now=now
            )
        return SendToAgent(agent_id, start)

    def _start(
        self, progress: JobProgress, key: TaskKey, agent_id: str, now: float
    ) -> Start:
        """Return the start of a new attempt and count it as in flight."""
        job = progress.job
        task = progress.tasks[key[1]]
        task.issued = max(task.attempt, task.issued + 1)
        self.table.loads[agent_id].in_flight[key] = task.issued
        definition = job.tasks[key[1]]
        time_left_s = min(
            self.limit_s(definition.kind), progress.deadline - now
        )
        return Start(
            term=self.table.term,
            job_id=key[0],
            digest=job.digest,
            task=key[1],
            attempt=task.issued,
            kind=definition.kind,
            payload=definition.payload,
            idempotent=job.idempotent,
            time_left_ms=int(time_left_s * MS_PER_S),
        )

    # Hedges.

    def _hedge(self, now: float) -> list[LeaderEffect]:
        """Start stragglers a second time while slots are idle."""
        effects: list[LeaderEffect] = []
        for key, attempt in self.policy.hedging.due(now):
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
        definition = progress.job.tasks[key[1]]
        expected_ms = self.policy.run_times.task_ms(
            definition.kind, definition.run_time_ms
        )
        if now + expected_ms / MS_PER_S > progress.deadline:
            return []
        used = (task.agent_id or "",)
        agent_id = self.policy.placement.choose(
            waiting=1, avoid=self._agents_to_avoid(used), exclude=set(used)
        )
        if agent_id is None or not self.policy.hedging.spend():
            return []
        start = self._start(progress, key, agent_id, now)
        task.hedge = HedgeAttempt(
            attempt=start.attempt,
            agent_id=agent_id,
            placed_at=now,
            limit_s=start.time_left_ms / MS_PER_S,
        )
        self.policy.placement.placed(agent_id)
        return [SendToAgent(agent_id, start)]

    def attempt_gone(self, task: TaskProgress, attempt: int) -> bool:
        """Forget one of two attempts; return whether one is left.

        Parameters
        ----------
        task : TaskProgress
        attempt : int
            The attempt that has failed or was lost.

        Returns
        -------
        bool
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
        task.limit_s = hedge.limit_s
        return True

    # Results.

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
        self._blame(progress, task, agent_id, verdict)
        if self.attempt_gone(task, result.attempt):
            task.verdict = _more_certain(task.verdict, verdict)
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
        self._learn(progress.job, agent_id, result)
        self._cancel_others(progress, result.task, agent_id)
        value = result_value(result.body, result.content_type)
        progress.finish_task(result.task, value)
        key = (result.job_id, result.task)
        self.policy.order.stopped(key, done=True)
        if not progress.is_complete:
            return []
        return self.table.finish(
            progress, complete_reply(job_id, progress.results())
        )

    def _learn(self, job: Job, agent_id: str, result: TaskResult) -> None:
        definition = job.tasks[result.task]
        run_times = self.policy.run_times
        declared_ms = definition.run_time_ms
        run_ms = result.run_time_us / US_PER_MS
        expected_ms = run_times.task_ms(definition.kind, declared_ms)
        share = 1.0
        if run_times.is_learned(definition.kind):
            share = run_ms / expected_ms
        self.policy.retries.succeeded()
        self.policy.hedging.succeeded()
        credible = self.policy.health.succeeded(
            agent_id, share=share, now=self.clock.monotonic()
        )
        if credible and run_ms > 0:
            run_times.observe(agent_id, definition.kind, declared_ms, run_ms)

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

    def _blame(
        self,
        progress: JobProgress,
        task: TaskProgress,
        agent_id: str,
        verdict: Verdict,
    ) -> None:
        """Tell the agent's failures from the work's by crossing them."""
        health = self.policy.health
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            health.refused(agent_id, now=now)
            return
        others = set(task.failed_on)
        if not progress.is_proven:
            others |= progress.failed_on
        others = {a for a in others - {agent_id} if health.is_healthy(a)}
        task.failed_on = (*task.failed_on, agent_id)
        progress.failed_on.add(agent_id)
        health.failed(
            agent_id,
            job=progress.job.job_id.value,
            proven=progress.is_proven,
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
        """Make a failed attempt again, or end its job.

        Parameters
        ----------
        progress : JobProgress
        key : TaskKey
            A task that has no other attempt running.
        verdict : Verdict
        error : str

        Returns
        -------
        list of LeaderEffect
        """
        task = progress.tasks[key[1]]
        now = self.clock.monotonic()
        if verdict is Verdict.NOT_RUN:
            task.refusals += 1
            pause_s = self.policy.retries.refusal_pause_s(task.refusals)
            self._again(key, task, now + pause_s)
            return []
        task.refusals = 0
        task.tries += 1
        task.verdict = _more_certain(task.verdict, verdict)
        task.state = TaskState.FAILED
        earliest = now
        if verdict is Verdict.MAY_HAVE_RUN:
            earliest = max(now, self._surely_ended(progress, key))
        failed = self._failed_attempt(progress, key, verdict, earliest)
        if self.policy.retries.allows(failed):
            self._again(key, task, earliest)
            return []
        return self.table.fail(
            progress, outcomes.task_failed(progress, key[1], error)
        )

    def _surely_ended(self, progress: JobProgress, key: TaskKey) -> float:
        """Return when the newest attempt has surely reached its limit.

        A start begins within the lease after it was sent, if at all.
        """
        task = progress.tasks[key[1]]
        kind = progress.job.tasks[key[1]].kind
        limit_s = task.limit_s or self.longest_limit_s(kind)
        return task.placed_at + limit_s + self.limits.lease_s

    def _failed_attempt(
        self,
        progress: JobProgress,
        key: TaskKey,
        verdict: Verdict,
        earliest: float,
    ) -> FailedAttempt:
        task = progress.tasks[key[1]]
        definition = progress.job.tasks[key[1]]
        health = self.policy.health
        healthy = {a for a in set(task.failed_on) if health.is_healthy(a)}
        expected_ms = self.policy.run_times.task_ms(
            definition.kind, definition.run_time_ms
        )
        return FailedAttempt(
            verdict=verdict,
            idempotent=progress.job.idempotent,
            attempts=task.tries,
            ran_on=len(healthy) if verdict is Verdict.RAN else 0,
            earliest=earliest,
            expected_s=expected_ms * self.capacity.least_slowness / MS_PER_S,
            deadline=progress.deadline,
        )

    # Queue.

    def _again(
        self, key: TaskKey, task: TaskProgress, not_before: float
    ) -> None:
        task.state = TaskState.WAITING
        task.not_before = not_before
        self.policy.order.stopped(key, done=False)
        self.queue(key, task)

    def queue(self, key: TaskKey, task: TaskProgress) -> None:
        """Let a task start once its pause has passed."""
        if task.not_before > self.clock.monotonic():
            heapq.heappush(self.delayed, (task.not_before, key))
        else:
            self.policy.order.push(key, again=task.issued > 0)

    def tick(self, now: float) -> None:
        """Queue the tasks whose pause has passed."""
        while self.delayed and self.delayed[0][0] <= now:
            _, key = heapq.heappop(self.delayed)
            progress = self.table.jobs.get(key[0])
            if progress is None:
                continue
            task = progress.tasks[key[1]]
            if task.state is TaskState.WAITING:
                self.policy.order.push(key, again=task.issued > 0)


def _more_certain(former: Verdict, latest: Verdict) -> Verdict:
    """Return what two attempts at one task tell together."""
    if Verdict.RAN in (former, latest):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (former, latest):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN

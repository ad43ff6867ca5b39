"""Discrete-event simulation of one cell: its job manager and fake agents."""

import collections
from collections import deque
import dataclasses
import heapq
import itertools
import random

from hypothesis import strategies as st
import msgspec

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import ALL_TASKS
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import CancelTasks
from egretcart.connection.leader_messages import Start
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.jobs import JobManager
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.bundle import standard_policy
from egretcart.request.identity import job_id_at
from egretcart.request.job import Job
from egretcart.request.job import Task
from egretcart.testing.clock import ManualClock
from egretcart.testing.naive_policy import naive_policy
from egretcart.version.document import Configuration
from egretcart.version.document import Kind
from egretcart.version.document import Service

SERVICE = "service"
ONE_WAY_S = 0.0005
TICK_S = 0.02


def make_configuration(*, urgency=(), teams=(), **service):
    return Configuration(
        version=1,
        services=(Service(name=SERVICE, **service),),
        urgency=urgency,
        teams=teams,
    )


CONFIGURATION = make_configuration()
SLOTS = 88
RUN_MS = st.floats(1.0, 500.0).map(lambda ms: round(ms, 1))
JOBS = st.lists(
    st.tuples(
        st.floats(0, 1), st.lists(RUN_MS, min_size=1, max_size=12),
        st.booleans(),
    ),
    min_size=1, max_size=12,
)  # fmt: skip
HEDGED = (Kind(name="default", hedge=True),)


@dataclasses.dataclass(kw_only=True)
class FakeAgent:
    """A backend server with its agent.

    `mode` is "ok", "fail" (every task fails at once), "instant" (every task
    succeeds at once), "refuse" (every start is refused) or "lost".
    """

    agent_id: str
    domain: str
    slots: int = 8
    slowdown: float = 1.0
    mode: str = "ok"
    queue: deque = dataclasses.field(default_factory=deque)
    running: dict = dataclasses.field(default_factory=dict)
    started: int = 0
    refused: int = 0
    max_in_flight: int = 0


@dataclasses.dataclass(kw_only=True)
class FakeJob:
    """A submitted job and its reply, once there is one."""

    job: Job
    submitted: float
    answered: float | None = None
    status: int | None = None
    body: dict | None = None
    retry_after_s: float | None = None

    @property
    def true_ms(self):
        return [float(task.payload.split()[0]) for task in self.job.tasks]


def make_agents(count=11, *, slow=0, slowdown=4.0, slots=8):
    return [
        FakeAgent(
            agent_id=f"agent-{index}",
            domain=f"domain-{index // 3}",
            slots=slots,
            slowdown=slowdown if index < slow else 1.0,
        )
        for index in range(count)
    ]


class World:
    """Runs jobs against fake agents under a policy, in simulated time."""

    def __init__(
        self, agents, *, policy=None, naive=False, configuration=CONFIGURATION,
        seed=1, straggler_share=0.0, straggler_factor=20.0,
    ):  # fmt: skip
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        make = naive_policy if naive else standard_policy
        self.policy = policy or make(rng=random.Random(seed))
        self.job_manager = JobManager(
            term=Term(1, 1),
            limits=LeaderLimits(),
            clock=self.clock,
            answers=AnswerCache(max_bytes=1 << 24),
            policy=self.policy,
        )
        self.job_manager.configure(configuration, SERVICE)
        self.job_manager.serving_since = 0.0
        self.agents = {agent.agent_id: agent for agent in agents}
        self.usable = set(self.agents)
        self.events = []
        self.numbers = itertools.count()
        self.jobs = []
        self.straggler_share = straggler_share
        self.straggler_factor = straggler_factor
        self.starts = 0
        self.cancels = 0
        self.begun = []
        for agent in agents:
            self.join(agent)
        self.at(TICK_S, self.tick)

    def join(self, agent, *, leased=True, records=()):
        load = AgentLoad(
            agent_id=agent.agent_id,
            incarnation=1,
            failure_domain=agent.domain,
            slots=agent.slots,
            queue_depth=2,
        )
        if leased:
            self.usable.add(agent.agent_id)
        self.apply_effects(self.job_manager.agent_fenced(load, records))

    def lose(self, agent_id):
        agent = self.agents[agent_id]
        agent.running.clear()
        agent.queue.clear()
        agent.mode = "lost"
        self.usable.discard(agent_id)
        self.job_manager.agent_lost(agent_id)

    def at(self, when, call, *arguments):
        heapq.heappush(
            self.events, (when, next(self.numbers), call, arguments)
        )

    def now(self):
        return self.clock.monotonic()

    def run(self, until):
        """Run the events up to a time and advance the clock to it."""
        while self.events and self.events[0][0] <= until:
            when, _, call, arguments = heapq.heappop(self.events)
            self.clock.advance(when - self.now())
            call(*arguments)
        self.clock.advance(max(0.0, until - self.now()))

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, SendReply):
                self.reply(effect)
            else:
                self.at(
                    self.now() + ONE_WAY_S, self.receive,
                    effect.agent_id, effect.message,
                )  # fmt: skip
        if self.job_manager.has_waiting:
            placed = self.job_manager.place(self.usable)
            if placed:
                self.apply_effects(placed)

    def tick(self):
        self.at(self.now() + TICK_S, self.tick)
        self.apply_effects(self.job_manager.tick())

    # Callers.

    def submit(
        self, run_ms, *, team="default", urgency="normal", idempotent=True,
        deadline_ms=None, kind="default", declared_ms=None, outcome="ok",
    ):  # fmt: skip
        """Submit a job now; `run_ms` holds each task's true run time."""
        number = len(self.jobs)
        declared_ms = declared_ms or [None] * len(run_ms)
        tasks = tuple(
            Task(
                kind=kind,
                payload=f"{ms} {outcome} {number}/{index}".encode(),
                run_time_ms=declared,
            )
            for index, (ms, declared) in enumerate(
                zip(run_ms, declared_ms, strict=True)
            )
        )
        job = Job(
            job_id=job_id_at(self.clock.unix_ms(), number),
            service=SERVICE,
            team=team,
            urgency=urgency,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
            tasks=tasks,
            digest=b"",
        )
        fake = FakeJob(job=job, submitted=self.now())
        self.jobs.append(fake)
        token = RequestToken("entry", number)
        self.apply_effects(self.job_manager.submit(token, job))
        return fake

    def cancel(self, fake):
        token = RequestToken("entry", self.jobs.index(fake))
        self.apply_effects(self.job_manager.cancel(token, fake.job.job_id))

    def reply(self, effect):
        fake = self.jobs[effect.token.request_id]
        if fake.status is None:
            fake.answered = self.now()
            fake.status = effect.reply.status
            fake.body = msgspec.json.decode(effect.reply.body)
            fake.retry_after_s = effect.reply.retry_after_s

    # Agents.

    def receive(self, agent_id, message):
        agent = self.agents[agent_id]
        if agent.mode == "lost":
            return
        if isinstance(message, Start):
            self.starts += 1
            if agent.mode == "refuse":
                agent.refused += 1
                self.end(agent, message, "not_run", 0.0)
                return
            agent.queue.append(message)
            in_flight = len(agent.queue) + len(agent.running)
            agent.max_in_flight = max(agent.max_in_flight, in_flight)
            self.begin(agent)
        elif isinstance(message, CancelTasks):
            self.cancels += 1
            self.cancel_at(agent, message)

    def cancel_at(self, agent, message):
        cancelled = {(task.job_id, task.task) for task in message.tasks}
        for start in [*agent.queue, *agent.running.values()]:
            is_job_cancelled = (start.job_id, ALL_TASKS) in cancelled
            if (
                not is_job_cancelled
                and (start.job_id, start.task) not in cancelled
            ):
                continue
            if start in agent.queue:
                agent.queue.remove(start)
                self.end(agent, start, "not_run", 0.0)
            else:
                del agent.running[(start.job_id, start.task)]
                self.end(agent, start, "may_have_run", 0.0)
        self.begin(agent)

    def begin(self, agent):
        while agent.queue and len(agent.running) < agent.slots:
            start = agent.queue.popleft()
            key = (start.job_id, start.task)
            assert key not in agent.running
            agent.running[key] = start
            agent.started += 1
            self.begun.append((start.job_id, start.task, agent.agent_id))
            run_s = self.run_s(agent, start)
            self.at(self.now() + run_s, self.done, agent, start, run_s)

    def run_s(self, agent, start):
        if agent.mode in ("fail", "instant"):
            return 0.001
        run_s = float(start.payload.split()[0]) / 1000 * agent.slowdown
        if self.rng.random() < self.straggler_share:
            run_s *= self.straggler_factor
        return min(run_s, start.time_left_ms / 1000)

    def done(self, agent, start, run_s):
        key = (start.job_id, start.task)
        if agent.running.get(key) is not start:
            return
        del agent.running[key]
        failed = agent.mode == "fail" or b"fail" in start.payload
        self.end(agent, start, "failed" if failed else "ran", run_s)
        self.begin(agent)

    def end(self, agent, start, verdict, run_s):
        succeeded = verdict == "ran"
        result = TaskResult(
            job_id=start.job_id,
            task=start.task,
            attempt=start.attempt,
            term=start.term,
            verdict="ran" if verdict == "failed" else verdict,
            succeeded=succeeded,
            body=start.payload if succeeded else b"",
            error="" if succeeded else verdict,
            run_time_us=int(run_s * 1e6),
            retained=True,
        )
        self.at(self.now() + ONE_WAY_S, self.result, agent.agent_id, result)

    def result(self, agent_id, result):
        if agent_id in self.usable:
            self.apply_effects(self.job_manager.task_result(agent_id, result))

    # Measurements.

    def ideal_s(self, fake):
        """Return a lower bound of a job's response time, in seconds.

        The greater of its longest task and of its work at the whole rate
        of the cell, plus the travel of a start and its result.
        """
        rate = sum(a.slots / a.slowdown for a in self.agents.values())
        work = fake.true_ms
        return max(max(work), sum(work) / rate) / 1000 + 2 * ONE_WAY_S

    def ratios(self, *, since=0.0):
        """Return response time over ideal of the complete jobs."""
        return sorted(
            (fake.answered - fake.submitted) / self.ideal_s(fake)
            for fake in self.jobs
            if fake.status == 200 and fake.submitted >= since
        )

    def load(
        self, share, seconds, *, tasks=(10, 10), mean_run_time_ms=200.0, **job
    ):
        """Schedule random arrivals that use a share of the capacity."""
        rate = sum(a.slots / a.slowdown for a in self.agents.values())
        per_s = share * rate * 1000 / mean_run_time_ms / (sum(tasks) / 2)
        when = self.now()
        while True:
            when += self.rng.expovariate(per_s)
            if when > self.now() + seconds:
                return
            count = self.rng.randint(*tasks)
            run_ms = [
                run_time_ms(self.rng, mean_run_time_ms) for _ in range(count)
            ]
            self.at(when, lambda ms=run_ms: self.submit(ms, **job))


def run_time_ms(rng, mean_run_time_ms):
    """Return a run time between a quarter and five times the mean."""
    return round(
        mean_run_time_ms * min(5.0, 0.25 + rng.expovariate(1 / 0.75)), 1
    )


def quantile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))]


def begun_times(world):
    return collections.Counter((job, task) for job, task, _ in world.begun)


def running_jobs(world):
    """Return the jobs of all tasks that run now, by their id."""
    jobs = {fake.job.job_id.value: fake.job for fake in world.jobs}
    return [jobs[key[0]] for a in world.agents.values() for key in a.running]


def submit(world, run_ms, idempotent):
    world.submit(run_ms, idempotent=idempotent)

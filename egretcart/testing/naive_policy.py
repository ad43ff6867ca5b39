"""A naive policy, against which the leader's own one is tested."""

from collections import deque
from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import random

from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.policy.admission import Capacity
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.bundle import ServiceConfigLookup
from egretcart.process.policy.hedging import BudgetedHedging
from egretcart.process.policy.ordering import LastTask
from egretcart.process.policy.placement import Candidate
from egretcart.process.policy.placement import Demand
from egretcart.process.policy.retries import FailedAttempt
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.version.document import Configuration
from egretcart.version.document import EjectionPolicy
from egretcart.version.document import HedgePolicy
from egretcart.version.document import RetryPolicy

RUN_TIME_MS = 200.0
REFUSAL_BACKOFF_S = 0.02
MAX_ATTEMPTS = 3


class ConstantEstimator:
    """Every task takes the same time on every agent."""

    def expected_task_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return a constant."""
        return RUN_TIME_MS

    def slowdown(self, agent_id: str) -> float:
        """Return 1."""
        return 1.0

    def has_enough_samples(self, kind: str) -> bool:
        """Return False."""
        return False

    def longest_ms(self, kind: str) -> float | None:
        """Return None."""
        return None

    def record_run(
        self,
        agent_id: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
    ) -> None:
        """Learn nothing."""

    def remove_agent(self, agent_id: str) -> None:
        """Forget nothing."""


class RandomPlacement:
    """Any agent with a free slot, at random."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.batch: list[Candidate] = []

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Return the candidates with no more than their slots."""
        return [
            dataclasses.replace(c, limit=min(c.limit, c.load.slots))
            for c in candidates
        ]

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that may have room."""
        self.batch = list(candidates)

    def choose_agent(
        self,
        demand: Demand,
        *,
        avoid: Set[str] = frozenset(),
        exclude: Set[str] = frozenset(),
    ) -> str | None:
        """Return any agent with a free slot."""
        free = [c.load.agent_id for c in self.batch]
        free = [agent_id for agent_id in free if agent_id not in exclude]
        return self.rng.choice(free) if free else None

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can take another task."""
        return bool(self.batch)

    def slowdown(self, agent_id: str) -> float:
        """Return 1."""
        return 1.0

    def record_placement(self, agent_id: str) -> None:
        """Take in that the chosen agent has the task in flight."""
        self.batch = [c for c in self.batch if c.has_free_capacity]


class FifoTaskQueue:
    """First come, first served."""

    def __init__(self) -> None:
        self.queue: deque[TaskKey] = deque()
        self.jobs: set[bytes] = set()

    @property
    def waiting(self) -> int:
        """Tasks that wait."""
        return len(self.queue)

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Put nothing in force."""

    def add_job(
        self,
        key: bytes,
        *,
        urgency: str,
        team: str,
        work_ms: list[float],
        now: float,
    ) -> None:
        """Take in a job of which nothing waits yet."""
        self.jobs.add(key)

    def push(self, key: TaskKey, *, again: bool = False) -> None:
        """Add a task that may start now."""
        self.queue.append(key)

    def peek(self) -> TaskKey | None:
        """Return the task that starts next, or None if none waits."""
        while self.queue and self.queue[0][0] not in self.jobs:
            self.queue.popleft()
        return self.queue[0] if self.queue else None

    def start_next(self) -> None:
        """Count the task that `peek` returned as started."""
        self.queue.popleft()

    def drop_next(self) -> None:
        """Drop the task that `peek` returned."""
        self.queue.popleft()

    def last_tasks(self, limit: int) -> list[LastTask]:
        """Return none; tasks start in their order."""
        return []

    def start_last(self, job: bytes) -> None:
        """Do nothing; `last_tasks` returns none."""

    def waiting_job_ms(self, job: bytes) -> float:
        """Return infinity, so that no task waits for a faster agent."""
        return float("inf")

    def started(self, key: TaskKey) -> None:
        """Count nothing."""

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Count nothing."""

    def remove_job(self, key: bytes) -> None:
        """Forget a job and its waiting tasks."""
        self.jobs.discard(key)

    def waiting_ms(self, urgency: str) -> float:
        """Return 0."""
        return 0.0

    def waiting_team_ms(self, team: str) -> float:
        """Return 0."""
        return 0.0

    def share(self, urgency: str) -> float:
        """Return 1."""
        return 1.0

    def quota(self, team: str) -> int:
        """Return 0."""
        return 0


class AdmitAll:
    """Takes in every job."""

    def configure(self, configuration: Configuration, service: str) -> None:
        """Put nothing in force."""

    def find_refusal(
        self,
        job: Job,
        *,
        work_ms: list[float],
        time_left_s: float,
        capacity: Capacity,
        now: float,
    ) -> Problem | None:
        """Return None."""
        return None


class UnlimitedRetries:
    """Up to three attempts at an idempotent task, anywhere."""

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Put nothing in force."""

    def succeeded(self) -> None:
        """Count nothing."""

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether the task is idempotent and has tries left."""
        return failed.idempotent and failed.attempts < MAX_ATTEMPTS

    def refusal_backoff_s(self, refusals: int) -> float:
        """Return a constant."""
        return REFUSAL_BACKOFF_S


class NoEjection:
    """Takes every agent for healthy."""

    has_ejected = False
    limits_version = 0

    def configure(self, policy: EjectionPolicy) -> None:
        """Put nothing in force."""

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return what a healthy agent may have."""
        return most

    def requires_idempotent(self, agent_id: str, *, now: float) -> bool:
        """Return False."""
        return False

    def is_healthy(self, agent_id: str) -> bool:
        """Return True."""
        return True

    def connected(self, agent_id: str) -> None:
        """Take in nothing."""

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Take in nothing."""

    def succeeded(self, agent_id: str, *, share: float, now: float) -> bool:
        """Return True."""
        return True

    def failed(
        self,
        agent_id: str,
        *,
        job: bytes,
        proven: bool,
        others: Set[str],
        now: float,
    ) -> None:
        """Take in nothing."""

    def refused(self, agent_id: str, *, now: float) -> None:
        """Take in nothing."""


class NoHedging(BudgetedHedging):
    """Never starts a task a second time."""

    def configure(self, policy: HedgePolicy) -> None:
        """Put a policy without any hedges in force."""
        super().configure(HedgePolicy(budget_share=0.0))


def naive_policy(*, rng: random.Random) -> Policy:
    """Return the naive policy: first come, first served, at random."""
    return Policy(
        service_config=ServiceConfigLookup(),
        run_time_estimator=ConstantEstimator(),
        task_queue=FifoTaskQueue(),
        placement=RandomPlacement(rng=rng),
        admission=AdmitAll(),
        retries=UnlimitedRetries(),
        hedging=NoHedging(),
        health=NoEjection(),
    )

"""Naive scheduling policy, the baseline for tests of the leader's policy.

Each class implements one part of the policy of
`egretcart.process.policy` in the simplest way.
"""

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
    """Estimates the same run time for every task on every agent."""

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
        """Ignore the run."""

    def remove_agent(self, agent_id: str) -> None:
        """Do nothing; nothing is stored for an agent."""


class RandomPlacement:
    """Chooses a random agent with a free slot."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.batch: list[Candidate] = []

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Return the candidates, limited to one start for each slot."""
        return [
            dataclasses.replace(c, limit=min(c.limit, c.load.slots))
            for c in candidates
        ]

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that have free capacity."""
        self.batch = list(candidates)

    def choose_agent(
        self,
        demand: Demand,
        *,
        avoid: Set[str] = frozenset(),
        exclude: Set[str] = frozenset(),
    ) -> str | None:
        """Return a random agent of the batch, or None if none is left.

        Agents to avoid are not treated specially.
        """
        agent_ids = [c.load.agent_id for c in self.batch]
        agent_ids = [
            agent_id for agent_id in agent_ids if agent_id not in exclude
        ]
        return self.rng.choice(agent_ids) if agent_ids else None

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can be sent another task."""
        return bool(self.batch)

    def slowdown(self, agent_id: str) -> float:
        """Return 1."""
        return 1.0

    def record_placement(self, agent_id: str) -> None:
        """Remove agents without free capacity from the batch."""
        self.batch = [c for c in self.batch if c.has_free_capacity]


class FifoTaskQueue:
    """Starts tasks in the order in which they were added."""

    def __init__(self) -> None:
        self.queue: deque[TaskKey] = deque()
        self.jobs: set[bytes] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting tasks, those of removed jobs included."""
        return len(self.queue)

    def configure(
        self, configuration: Configuration, *, slots: int, cells: int
    ) -> None:
        """Ignore the configuration."""

    def add_job(
        self,
        key: bytes,
        *,
        urgency: str,
        team: str,
        work_ms: list[float],
        now: float,
    ) -> None:
        """Add a job, none of whose tasks wait yet."""
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
        """Return none; tasks start only in their order."""
        return []

    def start_last(self, job: bytes) -> None:
        """Do nothing; `last_tasks` returns none."""

    def waiting_job_ms(self, job: bytes) -> float:
        """Return infinity, so that no task waits for a faster agent."""
        return float("inf")

    def started(self, key: TaskKey) -> None:
        """Do nothing; started tasks are not counted."""

    def stopped(self, key: TaskKey, *, done: bool) -> None:
        """Do nothing; started tasks are not counted."""

    def remove_job(self, key: bytes) -> None:
        """Remove a job; its waiting tasks are dropped in `peek`."""
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
    """Accepts every job."""

    def configure(self, configuration: Configuration, service: str) -> None:
        """Ignore the configuration."""

    def find_refusal(
        self,
        job: Job,
        *,
        work_ms: list[float],
        time_left_s: float,
        capacity: Capacity,
        now: float,
    ) -> Problem | None:
        """Return None; no job is refused."""
        return None


class UnlimitedRetries:
    """Allows up to three attempts at an idempotent task, on any agent."""

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Ignore the policy."""

    def succeeded(self) -> None:
        """Ignore the success."""

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether the task is idempotent and has attempts left."""
        return failed.idempotent and failed.attempts < MAX_ATTEMPTS

    def refusal_backoff_s(self, refusals: int) -> float:
        """Return a constant."""
        return REFUSAL_BACKOFF_S


class NoEjection:
    """Treats every agent as healthy.

    Attributes
    ----------
    has_ejected : bool
        Whether agents are ejected; never.
    limits_version : int
        Rises when the limits change; they never do.
    """

    has_ejected = False
    limits_version = 0

    def configure(self, policy: EjectionPolicy) -> None:
        """Ignore the policy."""

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return the limit of a healthy agent, `most`."""
        return most

    def requires_idempotent(self, agent_id: str, *, now: float) -> bool:
        """Return False."""
        return False

    def is_healthy(self, agent_id: str) -> bool:
        """Return True."""
        return True

    def connected(self, agent_id: str) -> None:
        """Ignore the connection."""

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Ignore the disconnection."""

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
        """Ignore the failure."""

    def refused(self, agent_id: str, *, now: float) -> None:
        """Ignore the refusal."""


class NoHedging(BudgetedHedging):
    """Never starts a second attempt at a running task."""

    def configure(self, policy: HedgePolicy) -> None:
        """Replace the policy by one with an empty hedge budget."""
        super().configure(HedgePolicy(budget_share=0.0))


def naive_policy(*, rng: random.Random) -> Policy:
    """Return the naive policy.

    Tasks start first come, first served, on a random agent with a free slot.

    Parameters
    ----------
    rng : random.Random
        Chooses the agents.
    """
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

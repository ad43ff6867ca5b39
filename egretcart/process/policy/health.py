"""Workers that fail, or finish, everything at once: left out and probed."""

from collections.abc import Set
import dataclasses
import enum
from typing import Protocol

from egretcart.version.document import EjectionPolicy

MS_PER_S = 1000
# Weight of the newest outcome in an agent's share of failures.
FAILURE_SMOOTHING_FACTOR = 0.2
# Consecutive failures eject if the other agents' share of failures would
# give as many by chance with less than this probability.
EJECTION_PROBABILITY = 2e-6
# Below that probability the agent is used for one task at a time.
SUSPECT_PROBABILITY = 1e-2
MIN_FAILURE_SHARE = 0.01
# A success within this share of the expected run time is suspicious.
SUSPICIOUS_RUN_TIME_FRACTION = 0.05
# Consecutive suspicious successes that eject, as a multiple of failures.
SUSPICIOUS_FACTOR = 3
# Successes after which a returning agent is healthy, by the same measure.
RECOVERY_FACTOR = 4
# Probe intervals after which a probe may be a task that is not idempotent.
IDEMPOTENT_PROBE_INTERVALS = 5
MAX_INTERVAL_DOUBLINGS = 3
# Lost connections within this time count together.
FLAP_WINDOW_S = 10.0
# Pauses of an agent that refuses starts or is suspected, in seconds.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class HealthState(enum.Enum):
    """How an agent is used."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclasses.dataclass(kw_only=True, slots=True)
class AgentHealth:
    """What is known of one agent's health.

    Attributes
    ----------
    state : HealthState
    limit : int
        Starts in flight allowed while returning.
    failed_jobs : dict of bytes to int
        Consecutive failures by job.
    suspect : bool
        Whether the failures are more than chance would give.
    suspicious : int
        Consecutive successes that came too fast.
    failure_share : float
        Moving average of failures among the outcomes.
    outcomes : int
    ejections : int
        Ejections since the agent was last healthy.
    probe_at : float
        Monotonic time from which an ejected agent is probed.
    paused_until, pause_s : float
        Pause after refusals, or until a suspicion is settled.
    losses : list of float
        Monotonic times of lost connections.
    """

    state: HealthState = HealthState.HEALTHY
    limit: int = 1
    failures_by_job: dict[bytes, int] = dataclasses.field(default_factory=dict)
    is_suspect: bool = False
    suspicious_successes: int = 0
    failure_rate: float = 0.0
    outcomes: int = 0
    ejections: int = 0
    probe_at: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = 0.0
    connection_lost_times: list[float] = dataclasses.field(
        default_factory=list
    )

    @property
    def failures(self) -> int:
        """Consecutive failures that no other agent shares."""
        return sum(self.failures_by_job.values())

    @property
    def is_ejected(self) -> bool:
        """Whether the agent is left out but for probes."""
        return self.state is HealthState.EJECTED

    def back_off(self, now: float) -> None:
        """Send nothing for a while, longer each time."""
        if now < self.backoff_until:
            return
        self.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        )
        self.backoff_until = now + self.backoff_s

    def clear(self) -> None:
        """Forget failures and suspicions."""
        self.failures_by_job.clear()
        self.is_suspect = False
        self.suspicious_successes = 0
        self.backoff_s = 0.0


class Health(Protocol):
    """Says how far each agent may be used."""

    @property
    def has_ejected(self) -> bool:
        """Whether any agent was ever ejected."""

    @property
    def limits_version(self) -> int:
        """Grows whenever `limit` may return something else than before."""

    def configure(self, policy: EjectionPolicy) -> None:
        """Put a policy in force."""

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return how many starts an agent may have in flight."""

    def requires_idempotent(self, agent_id: str, *, now: float) -> bool:
        """Return whether the next start there must be idempotent."""

    def is_healthy(self, agent_id: str) -> bool:
        """Return whether an agent's failures speak against the task."""

    def connected(self, agent_id: str) -> None:
        """Take in an agent."""

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Take in the loss of an agent's connection."""

    def succeeded(self, agent_id: str, *, share: float, now: float) -> bool:
        """Take in a success; return whether its run time is credible."""

    def failed(
        self,
        agent_id: str,
        *,
        job: bytes,
        proven: bool,
        others: Set[str],
        now: float,
    ) -> None:
        """Take in a failure."""

    def refused(self, agent_id: str, *, now: float) -> None:
        """Take in a start that was refused as not run."""


class OutlierEjection:
    """Ejects agents whose failures the other agents do not share.

    Attributes
    ----------
    agents : dict of str to AgentHealth
    present : set of str
        Connected agents.
    has_ejected : bool
        Whether any agent has been ejected; stays true from then on.
    changes : int
        Grows whenever `limit` may return something else than before.
    """

    def __init__(self) -> None:
        self.policy = EjectionPolicy()
        self.agents: dict[str, AgentHealth] = {}
        self.connected_agents: set[str] = set()
        self.has_ejected = False
        self.limits_version = 0

    def configure(self, policy: EjectionPolicy) -> None:
        """Put a policy in force."""
        self.policy = policy

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return how many starts an agent may have in flight.

        Parameters
        ----------
        agent_id : str
        most : int
            What a healthy agent may have.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
        """
        health = self._health(agent_id)
        if now < health.backoff_until:
            return 0
        if health.is_ejected:
            return 1 if now >= health.probe_at else 0
        if health.is_suspect:
            return 1
        if health.state is HealthState.RETURNING:
            return min(health.limit, most)
        return most

    def requires_idempotent(self, agent_id: str, *, now: float) -> bool:
        """Return whether the next start there must be idempotent."""
        health = self._health(agent_id)
        idempotent_only_s = (
            IDEMPOTENT_PROBE_INTERVALS * self._probe_interval_s(health)
        )
        return health.is_ejected and now < health.probe_at + idempotent_only_s

    def is_healthy(self, agent_id: str) -> bool:
        """Return whether an agent's failures speak against the task."""
        health = self._health(agent_id)
        return not health.is_ejected and not health.is_suspect

    def connected(self, agent_id: str) -> None:
        """Take in an agent."""
        self.connected_agents.add(agent_id)
        self._health(agent_id)

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Take in the loss of an agent's connection."""
        health = self._health(agent_id)
        health.connection_lost_times = [
            t for t in health.connection_lost_times if t > now - FLAP_WINDOW_S
        ]
        health.connection_lost_times.append(now)
        if len(health.connection_lost_times) >= self.policy.failures:
            self._eject(health, now)
        self.connected_agents.discard(agent_id)

    def succeeded(self, agent_id: str, *, share: float, now: float) -> bool:
        """Take in a success; return whether its run time is credible.

        Parameters
        ----------
        agent_id : str
        share : float
            Run time as a share of the expected one.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
        """
        health = self._health(agent_id)
        if health.is_ejected and now < health.probe_at:
            return False
        health.outcomes += 1
        health.failure_rate *= 1 - FAILURE_SMOOTHING_FACTOR
        if share < SUSPICIOUS_RUN_TIME_FRACTION and self._is_outlier(agent_id):
            health.suspicious_successes += 1
            limit = SUSPICIOUS_FACTOR * self.policy.failures
            if health.is_ejected or health.suspicious_successes >= limit:
                self._eject(health, now)
            return False
        suspicious_successes = (
            health.suspicious_successes + 1
            if share < SUSPICIOUS_RUN_TIME_FRACTION
            else 0
        )
        self.limits_version += health.is_suspect
        health.clear()
        health.suspicious_successes = suspicious_successes
        self._recover(health)
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
        """Take in a failure.

        Parameters
        ----------
        agent_id : str
        job : bytes
            Job id.
        proven : bool
            Whether other tasks of the job have succeeded.
        others : set of str
            Other healthy agents on which the same work has failed: then
            the work is at fault and none of the agents.
        now : float
            Monotonic time in seconds.
        """
        health = self._health(agent_id)
        self.limits_version += 1
        if health.is_ejected:
            if now >= health.probe_at:
                self._eject(health, now)
            return
        health.outcomes += 1
        health.failure_rate += FAILURE_SMOOTHING_FACTOR * (
            1 - health.failure_rate
        )
        if others:
            for other in others | {agent_id}:
                self._discard_job_failures(other, job)
            return
        health.failures_by_job[job] = health.failures_by_job.get(job, 0) + 1
        chance = self._failure_probability(agent_id, health)
        enough = health.failures >= self.policy.failures
        health.is_suspect = enough and chance < SUSPECT_PROBABILITY
        if not health.is_suspect:
            return
        several = proven or len(health.failures_by_job) > 1
        if not several or not self._has_enough_outcomes(agent_id):
            health.back_off(now)
        elif chance < EJECTION_PROBABILITY:
            self._eject(health, now)

    def refused(self, agent_id: str, *, now: float) -> None:
        """Take in a start that was refused as not run."""
        self.limits_version += 1
        self._health(agent_id).back_off(now)

    def ejected(self) -> set[str]:
        """Return the connected agents that are left out now."""
        return {
            agent_id
            for agent_id in self.connected_agents
            if self._health(agent_id).is_ejected
        }

    def _health(self, agent_id: str) -> AgentHealth:
        health = self.agents.get(agent_id)
        if health is None:
            health = self.agents[agent_id] = AgentHealth()
        return health

    def _discard_job_failures(self, agent_id: str, job: bytes) -> None:
        health = self._health(agent_id)
        health.failures_by_job.pop(job, None)
        if health.failures < self.policy.failures:
            health.is_suspect = False

    def _probe_interval_s(self, health: AgentHealth) -> float:
        doublings = min(MAX_INTERVAL_DOUBLINGS, max(0, health.ejections - 1))
        interval_ms = self.policy.probe_interval_ms * 2.0**doublings
        return interval_ms / MS_PER_S

    def _other_agents(self, agent_id: str) -> list[AgentHealth]:
        return [
            self._health(other)
            for other in self.connected_agents
            if other != agent_id and not self._health(other).is_ejected
        ]

    def _has_enough_outcomes(self, agent_id: str) -> bool:
        """Return whether the other agents have ended tasks as well."""
        outcomes = sum(
            other.outcomes for other in self._other_agents(agent_id)
        )
        return outcomes >= self.policy.failures

    def _failure_probability(
        self, agent_id: str, health: AgentHealth
    ) -> float:
        """Return how likely the failures are on a healthy agent."""
        shares = [o.failure_rate for o in self._other_agents(agent_id)]
        if not shares:
            return 1.0
        share = max(MIN_FAILURE_SHARE, sum(shares) / len(shares))
        return share**health.failures

    def _is_outlier(self, agent_id: str) -> bool:
        """Return whether most other agents take the expected time."""
        others = self._other_agents(agent_id)
        limit = SUSPICIOUS_FACTOR * self.policy.failures
        usual = sum(2 * other.suspicious_successes < limit for other in others)
        return 2 * usual > len(others)

    def _recover(self, health: AgentHealth) -> None:
        """Widen the use of an agent that came back."""
        self.limits_version += health.state is not HealthState.HEALTHY
        if health.is_ejected:
            health.state = HealthState.RETURNING
            health.limit = 1
        elif health.state is HealthState.RETURNING:
            health.limit += 1
            if health.limit > RECOVERY_FACTOR * self.policy.failures:
                health.state = HealthState.HEALTHY
                health.ejections = 0

    def _eject(self, health: AgentHealth, now: float) -> None:
        """Leave an agent out, unless too many are left out already."""
        if not health.is_ejected:
            most = int(self.policy.max_share * len(self.connected_agents))
            if len(self.ejected()) >= most:
                return
        health.state = HealthState.EJECTED
        self.has_ejected = True
        self.limits_version += 1
        health.ejections += 1
        health.clear()
        health.probe_at = now + self._probe_interval_s(health)

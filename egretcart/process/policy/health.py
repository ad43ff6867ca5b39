"""Outlier ejection of agents whose tasks fail or end implausibly fast.

An ejected agent is sent only probes. A probe is an ordinary waiting task, sent
while the agent has no other one. Once a probe succeeds, the number of tasks
that the agent may have grows with each further success until it counts as
healthy again.
"""

from collections.abc import Set
import dataclasses
import enum
from typing import Protocol

from egretcart.version.document import EjectionPolicy

MS_PER_S = 1000
# Weight of the newest outcome in an agent's moving failure rate.
FAILURE_SMOOTHING_FACTOR = 0.2
# An agent is ejected if its consecutive failures would occur by chance, at the
# failure rate of the other agents, with a smaller probability than this.
EJECTION_PROBABILITY = 2e-6
# Below this probability the agent is suspect and gets one task at a time.
SUSPECT_PROBABILITY = 1e-2
# Lower bound of the other agents' failure rate in these probabilities.
MIN_FAILURE_RATE = 0.01
# A success after less than this share of the expected run time is suspicious.
SUSPICIOUS_RUN_TIME_FRACTION = 0.05
# Consecutive suspicious successes after which an agent is ejected, as a
# multiple of `EjectionPolicy.failures`.
SUSPICIOUS_FACTOR = 3
# Successes after which a returning agent counts as healthy, as a multiple of
# `EjectionPolicy.failures`.
RECOVERY_FACTOR = 4
# Number of probe intervals, from the time at which an agent may be probed,
# during which only a task of an idempotent job is sent to it as the probe.
IDEMPOTENT_PROBE_INTERVALS = 5
# The probe interval doubles with each further ejection, at most this often.
MAX_INTERVAL_DOUBLINGS = 3
# An agent is ejected once it has lost its connection `EjectionPolicy.failures`
# times within this time, in seconds.
FLAP_WINDOW_S = 10.0
# Bounds of the time, in seconds, during which no task is sent to an agent that
# refused a start or is suspect; it doubles each time.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class HealthState(enum.Enum):
    """Whether an agent gets tasks.

    An ejected agent gets single probes only, a returning one a limited
    number of tasks that grows with each success.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclasses.dataclass(kw_only=True, slots=True)
class AgentHealth:
    """Health of one agent and the outcomes that it is derived from.

    Attributes
    ----------
    state : HealthState
    limit : int
        Number of starts that may be in flight while the agent is returning.
    failures_by_job : dict of bytes to int
        Number of consecutive failures, by job id.
    is_suspect : bool
        Whether there are enough consecutive failures, and the probability
        that they occur by chance is below `SUSPECT_PROBABILITY`.
    suspicious_successes : int
        Consecutive successes that took implausibly little time.
    failure_rate : float
        Moving average of the share of failures, from 0 to 1.
    outcomes : int
        Number of successes and failures that have been counted.
    ejections : int
        Number of ejections since the agent was last healthy.
    probe_at : float
        Monotonic time, in seconds, from which an ejected agent is probed; 0
        before its first ejection.
    backoff_until : float
        Monotonic time, in seconds, before which no task is sent to the
        agent; 0 before its first backoff.
    backoff_s : float
        Length of the last backoff, in seconds; 0 if there was none since
        the last success or ejection.
    connection_lost_times : list of float
        Monotonic times of recently lost connections, in seconds.
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
        """Number of consecutive failures that other agents did not share."""
        return sum(self.failures_by_job.values())

    @property
    def is_ejected(self) -> bool:
        """Whether the agent gets nothing but probes."""
        return self.state is HealthState.EJECTED

    def back_off(self, now: float) -> None:
        """Stop sending tasks for a while, for longer each time."""
        if now < self.backoff_until:
            return
        self.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        )
        self.backoff_until = now + self.backoff_s

    def clear(self) -> None:
        """Reset the consecutive failures, the suspicions and the backoff."""
        self.failures_by_job.clear()
        self.is_suspect = False
        self.suspicious_successes = 0
        self.backoff_s = 0.0


class Health(Protocol):
    """Decides how many tasks, and which ones, each agent may get."""

    @property
    def has_ejected(self) -> bool:
        """Whether any agent was ever ejected."""

    @property
    def limits_version(self) -> int:
        """Number that grows whenever the result of `limit` may change."""

    def configure(self, policy: EjectionPolicy) -> None:
        """Apply a policy from now on."""

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return how many starts an agent may have in flight."""

    def requires_idempotent(self, agent_id: str, *, now: float) -> bool:
        """Return whether the agent's next task must be idempotent."""

    def is_healthy(self, agent_id: str) -> bool:
        """Return whether an agent is neither ejected nor suspect.

        A failure on a healthy agent counts against the task.
        """

    def connected(self, agent_id: str) -> None:
        """Record that an agent has connected."""

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Record that an agent's connection was lost."""

    def succeeded(self, agent_id: str, *, share: float, now: float) -> bool:
        """Record a success; return whether its run time is credible."""

    def failed(
        self,
        agent_id: str,
        *,
        job: bytes,
        proven: bool,
        others: Set[str],
        now: float,
    ) -> None:
        """Record a failure."""

    def refused(self, agent_id: str, *, now: float) -> None:
        """Record that an agent refused a start without running its task."""


class OutlierEjection:
    """Ejects agents whose failures the other agents do not share.

    Attributes
    ----------
    policy : EjectionPolicy
    agents : dict of str to AgentHealth
        By agent id; agents that have disconnected are kept.
    connected_agents : set of str
        Ids of the connected agents.
    has_ejected : bool
        Whether any agent has been ejected; stays true from then on.
    limits_version : int
        Grows whenever the result of `limit` may change.
    """

    def __init__(self) -> None:
        self.policy = EjectionPolicy()
        self.agents: dict[str, AgentHealth] = {}
        self.connected_agents: set[str] = set()
        self.has_ejected = False
        self.limits_version = 0

    def configure(self, policy: EjectionPolicy) -> None:
        """Apply a policy from now on."""
        self.policy = policy

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return how many starts an agent may have in flight.

        Parameters
        ----------
        agent_id : str
        most : int
            Limit of a healthy agent.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            0 while the agent may get no task.
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
        """Return whether the agent's next task must be idempotent."""
        health = self._health(agent_id)
        idempotent_only_s = (
            IDEMPOTENT_PROBE_INTERVALS * self._probe_interval_s(health)
        )
        return health.is_ejected and now < health.probe_at + idempotent_only_s

    def is_healthy(self, agent_id: str) -> bool:
        """Return whether an agent is neither ejected nor suspect.

        A failure on a healthy agent counts against the task.
        """
        health = self._health(agent_id)
        return not health.is_ejected and not health.is_suspect

    def connected(self, agent_id: str) -> None:
        """Record that an agent has connected."""
        self.connected_agents.add(agent_id)
        self._health(agent_id)

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Record that an agent's connection was lost."""
        health = self._health(agent_id)
        health.connection_lost_times = [
            t for t in health.connection_lost_times if t > now - FLAP_WINDOW_S
        ]
        health.connection_lost_times.append(now)
        if len(health.connection_lost_times) >= self.policy.failures:
            self._eject(health, now)
        self.connected_agents.discard(agent_id)

    def succeeded(self, agent_id: str, *, share: float, now: float) -> bool:
        """Record a success; return whether its run time is credible.

        Parameters
        ----------
        agent_id : str
        share : float
            Actual run time as a share of the expected run time.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the estimates must not use the run time: it is
            implausibly short, while those of most other agents are
            plausible, or the agent is ejected and not to be probed yet.
        """
        health = self._health(agent_id)
        if health.is_ejected and now < health.probe_at:
            return False
        health.outcomes += 1
        health.failure_rate *= 1 - FAILURE_SMOOTHING_FACTOR
        if share < SUSPICIOUS_RUN_TIME_FRACTION and self._has_plausible_peers(
            agent_id
        ):
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
        """Record a failure.

        Parameters
        ----------
        agent_id : str
        job : bytes
            Job id.
        proven : bool
            Whether other tasks of the job have succeeded.
        others : set of str
            Other healthy agents on which the same task has failed, or any
            task of its job while none has succeeded. If there are any, the
            failure is attributed to the job and counts against none of
            these agents.
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
        probability = self._failure_probability(agent_id, health)
        has_enough_failures = health.failures >= self.policy.failures
        health.is_suspect = (
            has_enough_failures and probability < SUSPECT_PROBABILITY
        )
        if not health.is_suspect:
            return
        is_job_ruled_out = proven or len(health.failures_by_job) > 1
        if not is_job_ruled_out or not self._has_enough_outcomes(agent_id):
            health.back_off(now)
        elif probability < EJECTION_PROBABILITY:
            self._eject(health, now)

    def refused(self, agent_id: str, *, now: float) -> None:
        """Record that an agent refused a start without running its task."""
        self.limits_version += 1
        self._health(agent_id).back_off(now)

    def ejected(self) -> set[str]:
        """Return the ids of the connected agents that are ejected now."""
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
        """Return whether the other agents have enough outcomes to compare."""
        outcomes = sum(
            other.outcomes for other in self._other_agents(agent_id)
        )
        return outcomes >= self.policy.failures

    def _failure_probability(
        self, agent_id: str, health: AgentHealth
    ) -> float:
        """Return the probability that an agent's failures occur by chance.

        It is based on the mean failure rate of the other agents; 1 if there
        is no other agent that is not ejected.
        """
        failure_rates = [o.failure_rate for o in self._other_agents(agent_id)]
        if not failure_rates:
            return 1.0
        mean_rate = max(
            MIN_FAILURE_RATE, sum(failure_rates) / len(failure_rates)
        )
        return mean_rate**health.failures

    def _has_plausible_peers(self, agent_id: str) -> bool:
        """Return whether most other agents have plausible run times."""
        others = self._other_agents(agent_id)
        limit = SUSPICIOUS_FACTOR * self.policy.failures
        plausible = sum(
            2 * other.suspicious_successes < limit for other in others
        )
        return 2 * plausible > len(others)

    def _recover(self, health: AgentHealth) -> None:
        """Raise the limit of an ejected or returning agent after a success."""
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
        """Eject an agent, unless too many are ejected already.

        An agent that is ejected already is probed after a longer interval.
        """
        if not health.is_ejected:
            max_ejected = int(
                self.policy.max_share * len(self.connected_agents)
            )
            if len(self.ejected()) >= max_ejected:
                return
        health.state = HealthState.EJECTED
        self.has_ejected = True
        self.limits_version += 1
        health.ejections += 1
        health.clear()
        health.probe_at = now + self._probe_interval_s(health)

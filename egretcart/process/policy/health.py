"""Workers that fail, or finish, everything at once: left out and probed."""

from collections.abc import Set
import dataclasses
import enum
from typing import Protocol

from egretcart.version.document import EjectionPolicy

MS_PER_S = 1000
# Weight of the newest outcome in an agent's share of failures.
OUTCOME_RATE = 0.2
# Consecutive failures eject if the other agents' share of failures would
# give as many by chance with less than this probability.
CHANCE = 2e-6
# Below that probability the agent is used for one task at a time.
SUSPECT_CHANCE = 1e-2
MIN_FAILURE_SHARE = 0.01
# A success within this share of the expected run time is suspicious.
SUSPICIOUS_SHARE = 0.05
# Consecutive suspicious successes that eject, as a multiple of failures.
SUSPICIOUS_FACTOR = 3
# Successes after which a returning agent is healthy, by the same measure.
RETURNED_FACTOR = 4
# Probe intervals after which a probe may be a task that is not idempotent.
ANY_PROBE_AFTER = 5
MAX_INTERVAL_DOUBLINGS = 3
# Lost connections within this time count together.
FLAP_WINDOW_S = 10.0
# Pauses of an agent that refuses starts or is suspected, in seconds.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


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
    failed_jobs: dict[bytes, int] = dataclasses.field(default_factory=dict)
    suspect: bool = False
    suspicious: int = 0
    failure_share: float = 0.0
    outcomes: int = 0
    ejections: int = 0
    probe_at: float = 0.0
    paused_until: float = 0.0
    pause_s: float = 0.0
    losses: list[float] = dataclasses.field(default_factory=list)

    @property
    def failures(self) -> int:
        """Consecutive failures that no other agent shares."""
        return sum(self.failed_jobs.values())

    @property
    def is_out(self) -> bool:
        """Whether the agent is left out but for probes."""
        return self.state is HealthState.EJECTED

    def pause(self, now: float) -> None:
        """Send nothing for a while, longer each time."""
        if now < self.paused_until:
            return
        self.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s))
        self.paused_until = now + self.pause_s

    def clear(self) -> None:
        """Forget failures and suspicions."""
        self.failed_jobs.clear()
        self.suspect = False
        self.suspicious = 0
        self.pause_s = 0.0


class Health(Protocol):
    """Says how far each agent may be used."""

    @property
    def has_ejected(self) -> bool:
        """Whether any agent was ever ejected."""

    @property
    def changes(self) -> int:
        """Grows whenever `limit` may return something else than before."""

    def configure(self, policy: EjectionPolicy) -> None:
        """Put a policy in force."""

    def limit(self, agent_id: str, most: int, *, now: float) -> int:
        """Return how many starts an agent may have in flight."""

    def is_probe(self, agent_id: str, *, now: float) -> bool:
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
        self.present: set[str] = set()
        self.has_ejected = False
        self.changes = 0

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
        if now < health.paused_until:
            return 0
        if health.is_out:
            return 1 if now >= health.probe_at else 0
        if health.suspect:
            return 1
        if health.state is HealthState.RETURNING:
            return min(health.limit, most)
        return most

    def is_probe(self, agent_id: str, *, now: float) -> bool:
        """Return whether the next start there must be idempotent."""
        health = self._health(agent_id)
        patience_s = ANY_PROBE_AFTER * self._interval_s(health)
        return health.is_out and now < health.probe_at + patience_s

    def is_healthy(self, agent_id: str) -> bool:
        """Return whether an agent's failures speak against the task."""
        health = self._health(agent_id)
        return not health.is_out and not health.suspect

    def connected(self, agent_id: str) -> None:
        """Take in an agent."""
        self.present.add(agent_id)
        self._health(agent_id)

    def disconnected(self, agent_id: str, *, now: float) -> None:
        """Take in the loss of an agent's connection."""
        health = self._health(agent_id)
        health.losses = [t for t in health.losses if t > now - FLAP_WINDOW_S]
        health.losses.append(now)
        if len(health.losses) >= self.policy.failures:
            self._eject(health, now)
        self.present.discard(agent_id)

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
        if health.is_out and now < health.probe_at:
            return False
        health.outcomes += 1
        health.failure_share *= 1 - OUTCOME_RATE
        if share < SUSPICIOUS_SHARE and self._is_alone_suspicious(agent_id):
            health.suspicious += 1
            limit = SUSPICIOUS_FACTOR * self.policy.failures
            if health.is_out or health.suspicious >= limit:
                self._eject(health, now)
            return False
        suspicious = health.suspicious + 1 if share < SUSPICIOUS_SHARE else 0
        self.changes += health.suspect
        health.clear()
        health.suspicious = suspicious
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
        self.changes += 1
        if health.is_out:
            if now >= health.probe_at:
                self._eject(health, now)
            return
        health.outcomes += 1
        health.failure_share += OUTCOME_RATE * (1 - health.failure_share)
        if others:
            for other in others | {agent_id}:
                self._exonerate(other, job)
            return
        health.failed_jobs[job] = health.failed_jobs.get(job, 0) + 1
        chance = self._chance(agent_id, health)
        enough = health.failures >= self.policy.failures
        health.suspect = enough and chance < SUSPECT_CHANCE
        if not health.suspect:
            return
        several = proven or len(health.failed_jobs) > 1
        if not several or not self._has_evidence(agent_id):
            health.pause(now)
        elif chance < CHANCE:
            self._eject(health, now)

    def refused(self, agent_id: str, *, now: float) -> None:
        """Take in a start that was refused as not run."""
        self.changes += 1
        self._health(agent_id).pause(now)

    def ejected(self) -> set[str]:
        """Return the connected agents that are left out now."""
        return {
            agent_id
            for agent_id in self.present
            if self._health(agent_id).is_out
        }

    def _health(self, agent_id: str) -> AgentHealth:
        health = self.agents.get(agent_id)
        if health is None:
            health = self.agents[agent_id] = AgentHealth()
        return health

    def _exonerate(self, agent_id: str, job: bytes) -> None:
        health = self._health(agent_id)
        health.failed_jobs.pop(job, None)
        if health.failures < self.policy.failures:
            health.suspect = False

    def _interval_s(self, health: AgentHealth) -> float:
        doublings = min(MAX_INTERVAL_DOUBLINGS, max(0, health.ejections - 1))
        interval_ms = self.policy.probe_interval_ms * 2.0**doublings
        return interval_ms / MS_PER_S

    def _others(self, agent_id: str) -> list[AgentHealth]:
        return [
            self._health(other)
            for other in self.present
            if other != agent_id and not self._health(other).is_out
        ]

    def _has_evidence(self, agent_id: str) -> bool:
        """Return whether the other agents have ended tasks as well."""
        outcomes = sum(other.outcomes for other in self._others(agent_id))
        return outcomes >= self.policy.failures

    def _chance(self, agent_id: str, health: AgentHealth) -> float:
        """Return how likely the failures are on a healthy agent."""
        shares = [o.failure_share for o in self._others(agent_id)]
        if not shares:
            return 1.0
        share = max(MIN_FAILURE_SHARE, sum(shares) / len(shares))
        return share**health.failures

    def _is_alone_suspicious(self, agent_id: str) -> bool:
        """Return whether most other agents take the expected time."""
        others = self._others(agent_id)
        limit = SUSPICIOUS_FACTOR * self.policy.failures
        usual = sum(2 * other.suspicious < limit for other in others)
        return 2 * usual > len(others)

    def _recover(self, health: AgentHealth) -> None:
        """Widen the use of an agent that came back."""
        self.changes += health.state is not HealthState.HEALTHY
        if health.is_out:
            health.state = HealthState.RETURNING
            health.limit = 1
        elif health.state is HealthState.RETURNING:
            health.limit += 1
            if health.limit > RETURNED_FACTOR * self.policy.failures:
                health.state = HealthState.HEALTHY
                health.ejections = 0

    def _eject(self, health: AgentHealth, now: float) -> None:
        """Leave an agent out, unless too many are left out already."""
        if not health.is_out:
            most = int(self.policy.max_share * len(self.present))
            if len(self.ejected()) >= most:
                return
        health.state = HealthState.EJECTED
        self.has_ejected = True
        self.changes += 1
        health.ejections += 1
        health.clear()
        health.probe_at = now + self._interval_s(health)

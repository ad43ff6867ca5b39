"""Run times learned per agent and kind of task."""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol

from egretcart.version.document import Kind

# Least share of a new observation's residual that each part takes over.
KIND_SMOOTHING_FACTOR = 0.05
AGENT_SMOOTHING_FACTOR = 0.02
# Mean slowness, as a logarithm, from which the scale is moved.
MAX_MEAN_LOG_SLOWDOWN = 0.05
ERROR_SMOOTHING_FACTOR = 0.1
MEAN_SMOOTHING_FACTOR = 0.05
MAX_LOG_MEAN_RESIDUAL = math.log(20.0)
# A residual beyond this factor is taken for this factor.
MAX_LOG_RESIDUAL = math.log(4.0)
# Bounds of an agent's slowness relative to the cell.
MAX_LOG_SLOWDOWN = math.log(20.0)
# Errors assumed before anything has been observed.
INITIAL_KIND_ERROR = math.log(1.5)
INITIAL_DECLARED_ERROR = math.log(8.0)
# Observations after which an estimate counts as learned.
MIN_OBSERVATIONS = 8
# Observations after which the longest run time seen says something of what
# is still to come.
MIN_OBSERVATIONS_FOR_LONGEST = 200
MIN_RUN_TIME_MS = 0.1


class RunTimeEstimator(Protocol):
    """What the policy asks about run times."""

    def expected_task_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return a task's expected run time on an average agent."""

    def slowdown(self, agent_id: str) -> float:
        """Return the factor by which an agent is slower than average."""

    def has_enough_samples(self, kind: str) -> bool:
        """Return whether enough tasks of a kind have been observed."""

    def longest_ms(self, kind: str) -> float | None:
        """Return the longest run time seen, once many have been seen."""

    def record_run(
        self,
        agent_id: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
    ) -> None:
        """Learn from a task that succeeded."""

    def remove_agent(self, agent_id: str) -> None:
        """Forget an agent that has left."""


@dataclasses.dataclass(kw_only=True, slots=True)
class KindEstimate:
    """What is known of one kind; times are natural logarithms of ms.

    Attributes
    ----------
    run_time : float
    error : float
        Mean absolute residual of the kind's own estimate.
    mean_ratio : float
        Mean of the run times over their geometric mean.
    declared_bias : float
        Mean of run time over declared run time.
    declared_error : float
        Mean absolute residual of the declared run times so corrected.
    longest_ms : float
        Longest run time observed, as on an average agent.
    observations : int
    declared_observations : int
    """

    log_run_time_ms: float
    error: float = INITIAL_KIND_ERROR
    mean_ratio: float = 1.0
    declared_bias: float = 0.0
    declared_error: float = INITIAL_DECLARED_ERROR
    longest_ms: float = 0.0
    observations: int = 0
    declared_observations: int = 0

    @property
    def declared_weight(self) -> float:
        """How far a declared run time is trusted, from 0 to 1."""
        own = self.error * self.error
        declared = self.declared_error * self.declared_error
        return own / (own + declared + 1e-9)


def _clip(value: float, bound: float) -> float:
    return max(-bound, min(bound, value))


class MovingAverageEstimator:
    """Estimates as the product of a time per kind and a factor per agent.

    Both are moving averages of clipped logarithms, so that neither a
    straggler nor an agent that answers at once moves them far.

    Parameters
    ----------
    find_kind : callable
        Returns a kind's configuration by name.
    """

    def __init__(self, *, find_kind: Callable[[str], Kind]) -> None:
        self.find_kind = find_kind
        self.kinds: dict[str, KindEstimate] = {}
        self.agents: dict[str, float] = {}
        self.observations: dict[str, int] = {}

    def expected_task_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return a task's expected run time on an average agent, in ms."""
        estimate = self._kind(kind)
        typical_ms = math.exp(self._expected(estimate, declared_ms))
        return typical_ms * estimate.mean_ratio

    def slowdown(self, agent_id: str) -> float:
        """Return the factor by which an agent is slower than average."""
        return math.exp(self.agents.get(agent_id, 0.0))

    def has_enough_samples(self, kind: str) -> bool:
        """Return whether enough tasks of a kind have been observed."""
        return self._kind(kind).observations >= MIN_OBSERVATIONS

    def longest_ms(self, kind: str) -> float | None:
        """Return the longest run time seen, once many have been seen.

        Parameters
        ----------
        kind : str

        Returns
        -------
        float or None
            In milliseconds, as on an average agent.
        """
        estimate = self._kind(kind)
        if estimate.observations < MIN_OBSERVATIONS_FOR_LONGEST:
            return None
        return estimate.longest_ms

    def record_run(
        self,
        agent_id: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
    ) -> None:
        """Learn from a task that succeeded.

        Parameters
        ----------
        agent_id, kind : str
        declared_ms : float or None
            Run time that the caller declared, in milliseconds.
        run_ms : float
            Run time observed at the agent, in milliseconds.
        """
        estimate = self._kind(kind)
        slowdown = self.agents.get(agent_id, 0.0)
        observed = math.log(max(run_ms, MIN_RUN_TIME_MS))
        expected = self._expected(estimate, declared_ms)
        residual = observed - expected - slowdown
        agent_residual = _clip(residual, MAX_LOG_RESIDUAL)
        ratio = math.exp(_clip(residual, MAX_LOG_MEAN_RESIDUAL))
        average_ms = run_ms / math.exp(slowdown)
        estimate.longest_ms = max(estimate.longest_ms, average_ms)
        estimate.mean_ratio += MEAN_SMOOTHING_FACTOR * (
            ratio - estimate.mean_ratio
        )
        count = self.observations.get(agent_id, 0) + 1
        self.observations[agent_id] = count
        rate = max(AGENT_SMOOTHING_FACTOR, 1 / (count + 1))
        self.agents[agent_id] = _clip(
            slowdown + rate * agent_residual, MAX_LOG_SLOWDOWN
        )
        self._update_kind(estimate, observed - slowdown)
        if declared_ms is not None:
            self._update_declared(estimate, observed - slowdown, declared_ms)
        self._normalize_slowdowns()

    def remove_agent(self, agent_id: str) -> None:
        """Forget an agent that has left."""
        self.agents.pop(agent_id, None)
        self.observations.pop(agent_id, None)

    def _kind(self, name: str) -> KindEstimate:
        estimate = self.kinds.get(name)
        if estimate is None:
            first_ms = self.find_kind(name).run_time_ms
            estimate = KindEstimate(log_run_time_ms=math.log(first_ms))
            self.kinds[name] = estimate
        return estimate

    @staticmethod
    def _expected(estimate: KindEstimate, declared_ms: float | None) -> float:
        if declared_ms is None:
            return estimate.log_run_time_ms
        weight = estimate.declared_weight
        declared = math.log(declared_ms) + estimate.declared_bias
        return weight * declared + (1 - weight) * estimate.log_run_time_ms

    @staticmethod
    def _update_kind(estimate: KindEstimate, observed: float) -> None:
        estimate.observations += 1
        residual = observed - estimate.log_run_time_ms
        rate = max(KIND_SMOOTHING_FACTOR, 1 / estimate.observations)
        estimate.log_run_time_ms += rate * _clip(residual, MAX_LOG_RESIDUAL)
        estimate.error += ERROR_SMOOTHING_FACTOR * (
            abs(residual) - estimate.error
        )

    @staticmethod
    def _update_declared(
        estimate: KindEstimate, observed: float, declared_ms: float
    ) -> None:
        estimate.declared_observations += 1
        residual = observed - math.log(declared_ms) - estimate.declared_bias
        rate = max(KIND_SMOOTHING_FACTOR, 1 / estimate.declared_observations)
        estimate.declared_bias += rate * _clip(residual, 2 * MAX_LOG_RESIDUAL)
        estimate.declared_error += ERROR_SMOOTHING_FACTOR * (
            abs(residual) - estimate.declared_error
        )

    def _normalize_slowdowns(self) -> None:
        """Keep the mean slowness at 1, so that kinds keep their scale."""
        mean = sum(self.agents.values()) / len(self.agents)
        if abs(mean) < MAX_MEAN_LOG_SLOWDOWN:
            return
        for agent_id in self.agents:
            self.agents[agent_id] -= mean
        for estimate in self.kinds.values():
            estimate.log_run_time_ms += mean
            estimate.declared_bias += mean

"""Run time estimates by kind of task and agent, from observed run times."""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol

from egretcart.version.document import Kind

# Least weight of a new observation in the moving averages of a kind's run time
# and of an agent's slowdown. The weight of the first observations is larger.
KIND_SMOOTHING_FACTOR = 0.05
AGENT_SMOOTHING_FACTOR = 0.02
# All slowdowns are scaled back to a geometric mean of 1 once the mean of their
# logarithms reaches this bound or its negative.
MAX_MEAN_LOG_SLOWDOWN = 0.05
# Weights of a new observation in the moving averages of the residuals and of
# the ratio of mean to geometric mean.
ERROR_SMOOTHING_FACTOR = 0.1
MEAN_SMOOTHING_FACTOR = 0.05
# Bound to which residuals are clipped for the ratio of mean to geometric mean.
MAX_LOG_MEAN_RESIDUAL = math.log(20.0)
# Bound to which residuals are clipped for the estimates of run times and
# slowdowns; twice this bound applies to the bias of declared run times.
MAX_LOG_RESIDUAL = math.log(4.0)
# Bound of the absolute logarithm of an agent's slowdown relative to the cell.
MAX_LOG_SLOWDOWN = math.log(20.0)
# Mean absolute residuals assumed before the first observation.
INITIAL_KIND_ERROR = math.log(1.5)
INITIAL_DECLARED_ERROR = math.log(8.0)
# Observations of a kind from which its estimate counts as reliable.
MIN_OBSERVATIONS = 8
# Observations of a kind from which its longest run time so far is used to
# predict later ones.
MIN_OBSERVATIONS_FOR_LONGEST = 200
# Shorter run times count as this long.
MIN_RUN_TIME_MS = 0.1


class RunTimeEstimator(Protocol):
    """Estimates the run times of tasks."""

    def expected_task_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return a task's expected run time on an average agent, in ms."""

    def slowdown(self, agent_id: str) -> float:
        """Return the factor by which an agent is slower than average."""

    def has_enough_samples(self, kind: str) -> bool:
        """Return whether enough tasks of a kind have been observed."""

    def longest_ms(self, kind: str) -> float | None:
        """Return the longest run time so far, or None if few are known."""

    def record_run(
        self,
        agent_id: str,
        kind: str,
        declared_ms: float | None,
        run_ms: float,
    ) -> None:
        """Update the estimates from a task that succeeded."""

    def remove_agent(self, agent_id: str) -> None:
        """Remove the estimates of an agent that has left the cell."""


@dataclasses.dataclass(kw_only=True, slots=True)
class KindEstimate:
    """Estimates for one kind of task, scaled to an average agent.

    Residuals are differences of natural logarithms of run times. All means
    are moving averages.

    Attributes
    ----------
    log_run_time_ms : float
        Estimated natural logarithm of the run time in milliseconds.
    error : float
        Mean absolute residual of `log_run_time_ms`.
    mean_ratio : float
        Ratio of the mean run time to the geometric mean.
    declared_bias : float
        Mean logarithm of the ratio of run time to declared run time.
    declared_error : float
        Mean absolute residual of the declared run times after correction
        by `declared_bias`.
    longest_ms : float
        Longest run time observed, in milliseconds; 0 before the first.
    observations : int
        Number of observed tasks.
    declared_observations : int
        Number of observed tasks with a declared run time.
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
        """Weight of a declared run time in an estimate, from 0 to 1."""
        own = self.error * self.error
        declared = self.declared_error * self.declared_error
        # The last term avoids a division by zero.
        return own / (own + declared + 1e-9)


def _clip(value: float, bound: float) -> float:
    return max(-bound, min(bound, value))


class MovingAverageEstimator:
    """Estimates run times as a time per kind times a slowdown per agent.

    Both are moving averages of clipped logarithms, so that neither a
    straggler nor an agent that answers immediately changes them much.

    Parameters
    ----------
    find_kind : callable
        Returns a kind's configuration by name.

    Attributes
    ----------
    kinds : dict of str to KindEstimate
        By name.
    agents : dict of str to float
        Natural logarithm of the slowdown, by agent id.
    observations : dict of str to int
        Number of observed tasks, by agent id.
    """

    def __init__(self, *, find_kind: Callable[[str], Kind]) -> None:
        self.find_kind = find_kind
        self.kinds: dict[str, KindEstimate] = {}
        self.agents: dict[str, float] = {}
        self.observations: dict[str, int] = {}

    def expected_task_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return a task's expected run time on an average agent, in ms."""
        estimate = self._kind(kind)
        typical_ms = math.exp(self._log_expected_ms(estimate, declared_ms))
        return typical_ms * estimate.mean_ratio

    def slowdown(self, agent_id: str) -> float:
        """Return the factor by which an agent is slower than average."""
        return math.exp(self.agents.get(agent_id, 0.0))

    def has_enough_samples(self, kind: str) -> bool:
        """Return whether enough tasks of a kind have been observed."""
        return self._kind(kind).observations >= MIN_OBSERVATIONS

    def longest_ms(self, kind: str) -> float | None:
        """Return the longest run time so far, or None if few are known.

        Parameters
        ----------
        kind : str

        Returns
        -------
        float or None
            In milliseconds, scaled to an average agent; None until enough
            tasks of the kind have been observed.
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
        """Update the estimates from a task that succeeded.

        Parameters
        ----------
        agent_id, kind : str
        declared_ms : float or None
            Run time that the caller declared, in milliseconds; None if it
            declared none.
        run_ms : float
            Run time observed at the agent, in milliseconds.
        """
        estimate = self._kind(kind)
        log_slowdown = self.agents.get(agent_id, 0.0)
        log_observed_ms = math.log(max(run_ms, MIN_RUN_TIME_MS))
        log_expected_ms = self._log_expected_ms(estimate, declared_ms)
        residual = log_observed_ms - log_expected_ms - log_slowdown
        agent_residual = _clip(residual, MAX_LOG_RESIDUAL)
        ratio = math.exp(_clip(residual, MAX_LOG_MEAN_RESIDUAL))
        scaled_ms = run_ms / math.exp(log_slowdown)
        estimate.longest_ms = max(estimate.longest_ms, scaled_ms)
        estimate.mean_ratio += MEAN_SMOOTHING_FACTOR * (
            ratio - estimate.mean_ratio
        )
        count = self.observations.get(agent_id, 0) + 1
        self.observations[agent_id] = count
        smoothing_factor = max(AGENT_SMOOTHING_FACTOR, 1 / (count + 1))
        self.agents[agent_id] = _clip(
            log_slowdown + smoothing_factor * agent_residual, MAX_LOG_SLOWDOWN
        )
        self._update_kind(estimate, log_observed_ms - log_slowdown)
        if declared_ms is not None:
            self._update_declared(
                estimate, log_observed_ms - log_slowdown, declared_ms
            )
        self._normalize_slowdowns()

    def remove_agent(self, agent_id: str) -> None:
        """Remove the estimates of an agent that has left the cell."""
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
    def _log_expected_ms(
        estimate: KindEstimate, declared_ms: float | None
    ) -> float:
        if declared_ms is None:
            return estimate.log_run_time_ms
        weight = estimate.declared_weight
        log_declared_ms = math.log(declared_ms) + estimate.declared_bias
        return (
            weight * log_declared_ms + (1 - weight) * estimate.log_run_time_ms
        )

    @staticmethod
    def _update_kind(estimate: KindEstimate, log_observed_ms: float) -> None:
        estimate.observations += 1
        residual = log_observed_ms - estimate.log_run_time_ms
        smoothing_factor = max(
            KIND_SMOOTHING_FACTOR, 1 / estimate.observations
        )
        estimate.log_run_time_ms += smoothing_factor * _clip(
            residual, MAX_LOG_RESIDUAL
        )
        estimate.error += ERROR_SMOOTHING_FACTOR * (
            abs(residual) - estimate.error
        )

    @staticmethod
    def _update_declared(
        estimate: KindEstimate, log_observed_ms: float, declared_ms: float
    ) -> None:
        estimate.declared_observations += 1
        residual = (
            log_observed_ms - math.log(declared_ms) - estimate.declared_bias
        )
        smoothing_factor = max(
            KIND_SMOOTHING_FACTOR, 1 / estimate.declared_observations
        )
        estimate.declared_bias += smoothing_factor * _clip(
            residual, 2 * MAX_LOG_RESIDUAL
        )
        estimate.declared_error += ERROR_SMOOTHING_FACTOR * (
            abs(residual) - estimate.declared_error
        )

    def _normalize_slowdowns(self) -> None:
        """Keep the mean slowdown near 1, so that kinds keep their scale."""
        mean_log_slowdown = sum(self.agents.values()) / len(self.agents)
        if abs(mean_log_slowdown) < MAX_MEAN_LOG_SLOWDOWN:
            return
        for agent_id in self.agents:
            self.agents[agent_id] -= mean_log_slowdown
        for estimate in self.kinds.values():
            estimate.log_run_time_ms += mean_log_slowdown
            estimate.declared_bias += mean_log_slowdown

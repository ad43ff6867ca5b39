"""Placement: the choice of an agent for each task."""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import heapq
import math
from typing import Protocol

from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.policy.estimates import RunTimeEstimator

# Slowdowns are rounded to the powers of a factor, so that agents of similar
# speed count as equal. This is the natural logarithm of the factor.
LOG_SPEED_STEP = math.log(1.25)
# Time, in milliseconds, for a start and its result to travel, including the
# delay in the event loops of both processes.
ROUND_TRIP_MS = 6.0
MS_PER_S = 1000
# A task is deferred only for agents that are faster by at least this factor.
MIN_DEFER_SPEEDUP = 1.6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An agent that may be sent starts.

    Attributes
    ----------
    load : AgentLoad
    limit : int
        Maximum number of starts in flight.
    """

    load: AgentLoad
    limit: int

    @property
    def has_free_capacity(self) -> bool:
        """Whether another start may be sent."""
        return len(self.load.in_flight) < self.limit


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Expected times, in milliseconds, that decide on a task's placement.

    Attributes
    ----------
    run_ms : float
        Run time on an average agent.
    queued_ahead_ms : float
        Run time of the waiting tasks that start before the task or belong
        to its job; 0 if they are not considered.
    job_remaining_ms : float
        Time until the started tasks of its job end; 0 if they are not
        considered.
    """

    run_ms: float
    queued_ahead_ms: float = 0.0
    job_remaining_ms: float = 0.0


class Placement(Protocol):
    """Chooses agents for successive batches of tasks."""

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Update the agents; return them with the limits to apply."""

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that have free capacity."""

    def choose_agent(
        self,
        demand: Demand,
        *,
        avoid: Set[str] = frozenset(),
        exclude: Set[str] = frozenset(),
    ) -> str | None:
        """Return the agent for a task, or None if the task should wait."""

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can take another task."""

    def slowdown(self, agent_id: str) -> float:
        """Return an agent's slowdown, rounded as `LOG_SPEED_STEP` says."""

    def record_placement(self, agent_id: str) -> None:
        """Record that the task is in flight on the chosen agent."""


class EarliestCompletionPlacement:
    """Chooses the agent that is expected to complete the task first.

    A task waits for a faster agent if its job is expected to end sooner that
    way. This estimate includes the tasks that wait before it.

    Parameters
    ----------
    run_time_estimator : RunTimeEstimator

    Attributes
    ----------
    deferred_since : float
        Monotonic time, in seconds, since which tasks wait although slots
        are free; infinity if none does.
    now : float
        Monotonic time of the current batch, in seconds.
    mean_run_time_ms : float
        Mean run time of the tasks, in milliseconds.
    steps : dict of str to float
        Cached slowdowns, rounded as `LOG_SPEED_STEP` says, by agent id.
    rates_by_slowdown : list of (float, float)
        Rounded slowdowns, ascending, each with the rate of the agents that
        have it: the sum of their slots, divided by the slowdown.
    batch : dict of str to Candidate
        Agents of the current batch, by agent id.
    heap : list of (float, float, str)
        Agents of the batch with free capacity: expected completion in mean
        run times, starts in flight per slot, agent id.
    """

    def __init__(self, *, run_time_estimator: RunTimeEstimator) -> None:
        self.run_time_estimator = run_time_estimator
        self.deferred_since = float("inf")
        self.now = 0.0
        self.mean_run_time_ms = 1.0
        self.steps: dict[str, float] = {}
        self.rates_by_slowdown: list[tuple[float, float]] = []
        self.batch: dict[str, Candidate] = {}
        self.heap: list[tuple[float, float, str]] = []

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Update the agents; return them with the limits to apply.

        It is called from time to time, not for every batch.

        Parameters
        ----------
        candidates : iterable of Candidate
            All agents that may be sent tasks, full ones included.
        mean_run_time_ms : float
            Mean run time of the tasks, in milliseconds.

        Returns
        -------
        list of Candidate
            The agents, each with the maximum number of starts that it
            should have in flight.
        """
        self.mean_run_time_ms = mean_run_time_ms
        self.steps.clear()
        rates_by_slowdown: dict[float, float] = {}
        limited: list[Candidate] = []
        for candidate in candidates:
            load = candidate.load
            slowdown = self.slowdown(load.agent_id)
            slots = min(candidate.limit, load.slots)
            if slots > 0:
                rates_by_slowdown[slowdown] = (
                    rates_by_slowdown.get(slowdown, 0.0) + slots / slowdown
                )
            limit = min(candidate.limit, load.slots + self._queue_depth(load))
            limited.append(Candidate(load=load, limit=limit))
        self.rates_by_slowdown = sorted(rates_by_slowdown.items())
        return limited

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that have free capacity.

        Parameters
        ----------
        candidates : iterable of Candidate
        now : float
            Monotonic time in seconds.
        """
        self.now = now
        self.batch = {c.load.agent_id: c for c in candidates}
        self.heap = [self._heap_entry(c) for c in self.batch.values()]
        heapq.heapify(self.heap)

    def choose_agent(
        self,
        demand: Demand,
        *,
        avoid: Set[str] = frozenset(),
        exclude: Set[str] = frozenset(),
    ) -> str | None:
        """Return the agent for a task, or None if the task should wait.

        Parameters
        ----------
        demand : Demand
        avoid : set of str
            Agents that are chosen only if no other has free capacity.
        exclude : set of str
            Agents that are never chosen.

        Returns
        -------
        str or None
        """
        entries = self.heap
        if exclude:
            entries = [e for e in entries if e[2] not in exclude]
        if not entries:
            self.deferred_since = float("inf")
            return None
        if avoid:
            entries = [e for e in entries if e[2] not in avoid] or entries
        is_heap = entries is self.heap
        relative_completion, _, agent_id = (
            entries[0] if is_heap else min(entries)
        )
        if self._should_defer(
            relative_completion, self.slowdown(agent_id), demand
        ):
            return None
        return agent_id

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can take another task."""
        return bool(self.heap)

    def record_placement(self, agent_id: str) -> None:
        """Record that the task is in flight on the chosen agent."""
        candidate = self.batch[agent_id]
        if self.heap[0][2] != agent_id:
            self.heap = [e for e in self.heap if e[2] != agent_id]
            if candidate.has_free_capacity:
                self.heap.append(self._heap_entry(candidate))
            heapq.heapify(self.heap)
        elif candidate.has_free_capacity:
            heapq.heapreplace(self.heap, self._heap_entry(candidate))
        else:
            heapq.heappop(self.heap)

    def slowdown(self, agent_id: str) -> float:
        """Return an agent's slowdown, rounded as `LOG_SPEED_STEP` says."""
        slowdown = self.steps.get(agent_id)
        if slowdown is None:
            slowdown = _quantize_slowdown(
                self.run_time_estimator.slowdown(agent_id)
            )
            self.steps[agent_id] = slowdown
        return slowdown

    def _queue_depth(self, load: AgentLoad) -> int:
        """Return how many tasks an agent should queue beyond its slots.

        It is the number of slots that are expected to become free during a
        round trip, but at most the agent's queue depth.
        """
        run_ms = self.mean_run_time_ms * self.slowdown(load.agent_id)
        freed = round(load.slots * ROUND_TRIP_MS / run_ms)
        return min(load.queue_depth, freed)

    def _heap_entry(self, candidate: Candidate) -> tuple[float, float, str]:
        """Return the heap entry of a candidate, as described for `heap`."""
        load = candidate.load
        in_flight = len(load.in_flight)
        queued = max(0, in_flight + 1 - load.slots)
        slowdown = self.slowdown(load.agent_id)
        completion = slowdown * (1 + queued / load.slots)
        return completion, in_flight / load.slots, load.agent_id

    def _should_defer(
        self, relative_completion: float, slowdown: float, demand: Demand
    ) -> bool:
        """Return whether the task should wait for a faster agent.

        It should if its job is expected to end sooner that way; tasks are
        deferred for at most the mean run time on the chosen agent.

        Parameters
        ----------
        relative_completion : float
            Expected completion on the chosen agent, in run times of the
            task on an average agent.
        slowdown : float
            Slowdown of the chosen agent.
        demand : Demand

        Returns
        -------
        bool
        """
        max_slowdown = slowdown / MIN_DEFER_SPEEDUP
        faster_rate = sum(
            rate
            for step, rate in self.rates_by_slowdown
            if step <= max_slowdown
        )
        if faster_rate <= 0.0:
            self.deferred_since = float("inf")
            return False
        fastest_ms = self.rates_by_slowdown[0][0] * demand.run_ms
        ends_ms = demand.queued_ahead_ms / faster_rate + fastest_ms
        if relative_completion * demand.run_ms <= max(
            ends_ms, demand.job_remaining_ms
        ):
            return False
        self.deferred_since = min(self.deferred_since, self.now)
        limit_s = slowdown * self.mean_run_time_ms / MS_PER_S
        return self.now < self.deferred_since + limit_s


def _quantize_slowdown(slowdown: float) -> float:
    """Return a slowdown rounded to whole steps of `LOG_SPEED_STEP`."""
    return math.exp(
        round(math.log(slowdown) / LOG_SPEED_STEP) * LOG_SPEED_STEP
    )

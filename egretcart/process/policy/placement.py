"""Which agent a task is sent to."""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import heapq
import math
from typing import Protocol

from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.policy.estimates import RunTimeEstimator

# Agents whose speed differs by less than this share count as equal.
LOG_SPEED_STEP = math.log(1.25)
# Time that a start and its result travel, with both loops' turns.
ROUND_TRIP_MS = 6.0
MS_PER_S = 1000
# Tasks wait only for agents that are faster by this factor.
MIN_DEFER_SPEEDUP = 1.6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An agent that may be sent starts.

    Attributes
    ----------
    load : AgentLoad
    limit : int
        Starts that it may have in flight.
    """

    load: AgentLoad
    limit: int

    @property
    def has_free_capacity(self) -> bool:
        """Whether another start may be sent."""
        return len(self.load.in_flight) < self.limit


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a task asks of an agent; times are expected ones.

    Attributes
    ----------
    run_ms : float
        Run time on an average agent.
    ahead_ms : float
        Run time of the waiting tasks up to the end of its job.
    job_ends_ms : float
        Time until the started tasks of its job end.
    """

    run_ms: float
    queued_ahead_ms: float = 0.0
    job_remaining_ms: float = 0.0


class Placement(Protocol):
    """Chooses agents for one batch of tasks after the other."""

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Take in the agents, now and then, and set their limits."""

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that have room."""

    def choose_agent(
        self,
        demand: Demand,
        *,
        avoid: Set[str] = frozenset(),
        exclude: Set[str] = frozenset(),
    ) -> str | None:
        """Return the agent for a task, or None to let it wait."""

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can take another task."""

    def slowdown(self, agent_id: str) -> float:
        """Return the factor by which an agent counts as slower."""

    def record_placement(self, agent_id: str) -> None:
        """Take in that the chosen agent has the task in flight."""


class EarliestCompletionPlacement:
    """The agent that is expected to finish the task first.

    A task waits for a faster agent if its job would be done sooner by that,
    the tasks that wait with it included.

    Parameters
    ----------
    run_times : RunTimes

    Attributes
    ----------
    held_since : float
        Monotonic time since which tasks wait though slots are free.
    """

    def __init__(self, *, run_time_estimator: RunTimeEstimator) -> None:
        self.run_time_estimator = run_time_estimator
        self.deferred_since = float("inf")
        self.now = 0.0
        self.mean_run_time_ms = 1.0
        self.steps: dict[str, float] = {}
        self.rates: list[tuple[float, float]] = []
        self.batch: dict[str, Candidate] = {}
        self.heap: list[tuple[float, float, str]] = []

    def update_agents(
        self, candidates: Iterable[Candidate], *, mean_run_time_ms: float
    ) -> list[Candidate]:
        """Take in the agents, now and then, and set their limits.

        Parameters
        ----------
        candidates : iterable of Candidate
            All agents that may be sent tasks, full ones included.
        mean_run_time_ms : float
            Mean run time of the tasks, in milliseconds.

        Returns
        -------
        list of Candidate
            The agents with the starts that they should hold at most.
        """
        self.mean_run_time_ms = mean_run_time_ms
        self.steps.clear()
        rates: dict[float, float] = {}
        limited: list[Candidate] = []
        for candidate in candidates:
            load = candidate.load
            slowdown = self.slowdown(load.agent_id)
            slots = min(candidate.limit, load.slots)
            if slots > 0:
                rates[slowdown] = rates.get(slowdown, 0.0) + slots / slowdown
            limit = min(candidate.limit, load.slots + self._queue_depth(load))
            limited.append(Candidate(load=load, limit=limit))
        self.rates = sorted(rates.items())
        return limited

    def open_batch(
        self, candidates: Iterable[Candidate], *, now: float
    ) -> None:
        """Begin a batch with the agents that have room.

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
        """Return the agent for a task, or None to let it wait.

        Parameters
        ----------
        demand : Demand
        avoid : set of str
            Agents that are taken only if no other is free.
        exclude : set of str
            Agents that are not taken at all.

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
        score, _, agent_id = entries[0] if is_heap else min(entries)
        if self._should_defer(score, self.slowdown(agent_id), demand):
            return None
        return agent_id

    @property
    def has_free_capacity(self) -> bool:
        """Whether an agent of the batch can take another task."""
        return bool(self.heap)

    def record_placement(self, agent_id: str) -> None:
        """Take in that the chosen agent has the task in flight."""
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
        """Return the factor by which an agent counts as slower."""
        slowdown = self.steps.get(agent_id)
        if slowdown is None:
            slowdown = _quantize_slowdown(
                self.run_time_estimator.slowdown(agent_id)
            )
            self.steps[agent_id] = slowdown
        return slowdown

    def _queue_depth(self, load: AgentLoad) -> int:
        """Return how many slots are freed during a round trip."""
        run_ms = self.mean_run_time_ms * self.slowdown(load.agent_id)
        freed = round(load.slots * ROUND_TRIP_MS / run_ms)
        return min(load.queue_depth, freed)

    def _heap_entry(self, candidate: Candidate) -> tuple[float, float, str]:
        """Return the heap entry: completion in mean run times, load, id."""
        load = candidate.load
        in_flight = len(load.in_flight)
        queued = max(0, in_flight + 1 - load.slots)
        slowdown = self.slowdown(load.agent_id)
        completion = slowdown * (1 + queued / load.slots)
        return completion, in_flight / load.slots, load.agent_id

    def _should_defer(
        self, score: float, slowdown: float, demand: Demand
    ) -> bool:
        """Return whether the task's job is done sooner if it waits."""
        enough = slowdown / MIN_DEFER_SPEEDUP
        faster_rate = sum(rate for step, rate in self.rates if step <= enough)
        if faster_rate <= 0.0:
            self.deferred_since = float("inf")
            return False
        fastest_ms = self.rates[0][0] * demand.run_ms
        ends_ms = demand.queued_ahead_ms / faster_rate + fastest_ms
        if score * demand.run_ms <= max(ends_ms, demand.job_remaining_ms):
            return False
        self.deferred_since = min(self.deferred_since, self.now)
        limit_s = slowdown * self.mean_run_time_ms / MS_PER_S
        return self.now < self.deferred_since + limit_s


def _quantize_slowdown(slowdown: float) -> float:
    """Return a slowness rounded to whole steps."""
    return math.exp(
        round(math.log(slowdown) / LOG_SPEED_STEP) * LOG_SPEED_STEP
    )

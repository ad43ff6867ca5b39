"""Agents of a cell: their capacity and which of them may run a task."""

from collections.abc import Iterable
from collections.abc import Set

from egretcart.process.agent.occupied_slots import OccupiedSlots
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.policy.admission import Capacity
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.placement import Candidate
from egretcart.request.job import Job

# Time between two updates of the candidate agents, in seconds.
AGENT_UPDATE_INTERVAL_S = 0.1
# Weight of a new value in the moving average of expected run times.
RUN_TIME_EWMA_WEIGHT = 0.02
# The moving average before the first task has started.
INITIAL_MEAN_RUN_TIME_MS = 200.0


class AgentPool:
    """Determines which agents can accept tasks, and their total capacity.

    Parameters
    ----------
    loads : dict of str to AgentLoad
        Connected agents that promised the term, by agent id; owned by the
        `JobTable`.
    policy : Policy

    Attributes
    ----------
    capacity : Capacity
        Total capacity of the agents at the last update.
    latest_candidates : list of Candidate
        Agents that may be used, as of the last update.
    next_update_at : float
        Monotonic time, in seconds, of the next update; minus infinity if it
        is due at once.
    seen_limits_version : int
        `limits_version` of the policy's health at the last update.
    mean_run_time_ms : float
        Moving average of the expected run times of the started tasks, in
        milliseconds.
    occupied_slots : OccupiedSlots
        Slots that lost incarnations of the agents may still occupy.
    """

    def __init__(self, *, loads: dict[str, AgentLoad], policy: Policy) -> None:
        self.loads = loads
        self.policy = policy
        self.capacity = Capacity(slots=0, rate=0.0, min_slowdown=1.0)
        self.latest_candidates: list[Candidate] = []
        self.next_update_at = float("-inf")
        self.seen_limits_version = 0
        self.mean_run_time_ms = INITIAL_MEAN_RUN_TIME_MS
        self.occupied_slots = OccupiedSlots()

    def task_started(self, expected_ms: float) -> None:
        """Update the mean run time from a started task."""
        self.mean_run_time_ms += RUN_TIME_EWMA_WEIGHT * (
            expected_ms - self.mean_run_time_ms
        )

    def agents_changed(self) -> None:
        """Handle that agents have connected or disconnected."""
        self.policy.resize(sum(load.slots for load in self.loads.values()))
        self.invalidate()

    def invalidate(self) -> None:
        """Make an update of the candidates due at once."""
        self.next_update_at = float("-inf")

    def update_agents(self, now: float) -> None:
        """Update the candidate agents and the capacity, if that is due.

        It is due after `AGENT_UPDATE_INTERVAL_S` or when the limits of an
        agent have changed.
        """
        limits_version = self.policy.health.limits_version
        if (
            now < self.next_update_at
            and limits_version == self.seen_limits_version
        ):
            return
        self.next_update_at = now + AGENT_UPDATE_INTERVAL_S
        self.seen_limits_version = limits_version
        candidates = [
            self._candidate(load, now)
            for load in self.loads.values()
            if not load.draining
            and self.policy.service_config.allows(load.agent_id)
        ]
        self.latest_candidates = self.policy.placement.update_agents(
            candidates, mean_run_time_ms=self.mean_run_time_ms
        )
        self.capacity = self._sum_capacity(candidates)

    def _candidate(self, load: AgentLoad, now: float) -> Candidate:
        max_in_flight = self._max_in_flight(load, now)
        limit = self.policy.health.limit(load.agent_id, max_in_flight, now=now)
        return Candidate(load=load, limit=limit)

    def _max_in_flight(self, load: AgentLoad, now: float) -> int:
        """Return how many starts a healthy agent may have in flight.

        An agent begins a start in any slot that it does not use itself. It
        does not know which slots a lost incarnation occupies. So while there
        are such slots, no start may wait at the agent, and it is sent no more
        starts than it has other slots.
        """
        occupied_slots = self.occupied_slots.count(load.agent_id, now=now)
        if occupied_slots:
            return max(0, load.slots - occupied_slots)
        return load.slots + load.queue_depth

    def _sum_capacity(self, candidates: Iterable[Candidate]) -> Capacity:
        slots = 0
        rate = 0.0
        fastest = float("inf")
        for candidate in candidates:
            usable_slots = min(candidate.limit, candidate.load.slots)
            if not usable_slots:
                continue
            slowdown = self.policy.run_time_estimator.slowdown(
                candidate.load.agent_id
            )
            slots += usable_slots
            rate += usable_slots / slowdown
            fastest = min(fastest, slowdown)
        return Capacity(
            slots=slots,
            rate=rate,
            min_slowdown=fastest if slots else 1.0,
        )

    def candidates(self, leased_agents: Set[str]) -> list[Candidate]:
        """Return the agents with a lease and free capacity."""
        return [
            candidate
            for candidate in self.latest_candidates
            if len(candidate.load.in_flight) < candidate.limit
            and not candidate.load.draining
            and candidate.load.agent_id in leased_agents
        ]

    def agents_in_domains_of(
        self, failed_agent_ids: tuple[str, ...]
    ) -> Set[str]:
        """Return all agents that share a failure domain with given agents.

        Parameters
        ----------
        failed_agent_ids : tuple of str
            Agents on which a task failed or runs; they are included while
            they are connected.

        Returns
        -------
        set of str
        """
        if not failed_agent_ids:
            return frozenset()
        domains = {
            self.loads[a].failure_domain
            for a in failed_agent_ids
            if a in self.loads
        }
        return {
            load.agent_id
            for load in self.loads.values()
            if load.failure_domain in domains
            or load.agent_id in failed_agent_ids
        }

    def excluded_agents(self, failed_agent_ids: tuple[str, ...]) -> Set[str]:
        """Return the agents on which a task failed.

        The set is empty if no other agent may be used.
        """
        if not failed_agent_ids:
            return frozenset()
        has_others = any(
            candidate.limit and candidate.load.agent_id not in failed_agent_ids
            for candidate in self.latest_candidates
        )
        return frozenset(failed_agent_ids) if has_others else frozenset()

    def probe_excluded_agents(self, job: Job, now: float) -> Set[str]:
        """Return the agents that must not be probed with a job's tasks.

        Some ejected agents are probed with idempotent tasks only.
        """
        if job.idempotent or not self.policy.health.has_ejected:
            return frozenset()
        return {
            agent_id
            for agent_id in self.loads
            if self.policy.health.requires_idempotent(agent_id, now=now)
        }

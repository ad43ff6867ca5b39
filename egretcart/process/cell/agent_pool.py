"""The agents of a cell as the policy sees them."""

from collections.abc import Iterable
from collections.abc import Set

from egretcart.process.agent.occupied_slots import OccupiedSlots
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.policy.admission import Capacity
from egretcart.process.policy.bundle import Policy
from egretcart.process.policy.placement import Candidate
from egretcart.request.job import Job

# Time between two looks at the speeds of all agents, in seconds.
SURVEY_INTERVAL_S = 0.1
RUN_TIME_EWMA_WEIGHT = 0.02
INITIAL_MEAN_RUN_TIME_MS = 200.0


class AgentPool:
    """Says which agents can take tasks, and how much they can do.

    Parameters
    ----------
    loads : dict of str to AgentLoad
        Connected agents; owned by the caller.
    policy : Policy

    Attributes
    ----------
    capacity : Capacity
        What the agents can do, as of the last survey.
    surveyed : list of Candidate
        Agents that may be used, as of the last survey.
    mean_ms : float
        Mean expected run time of the tasks started.
    occupied : OccupiedSlots
        What lost incarnations of the agents may still run.
    """

    def __init__(self, *, loads: dict[str, AgentLoad], policy: Policy) -> None:
        self.loads = loads
        self.policy = policy
        self.capacity = Capacity(slots=0, rate=0.0, min_slowdown=1.0)
        self.surveyed_candidates: list[Candidate] = []
        self.next_survey_at = float("-inf")
        self.seen_health_changes = 0
        self.mean_ms = INITIAL_MEAN_RUN_TIME_MS
        self.occupied_slots = OccupiedSlots()

    def task_started(self, expected_ms: float) -> None:
        """Take in the expected run time of a task that was started."""
        self.mean_ms += RUN_TIME_EWMA_WEIGHT * (expected_ms - self.mean_ms)

    def agents_changed(self) -> None:
        """Take in that agents have come or gone."""
        self.policy.resize(sum(load.slots for load in self.loads.values()))
        self.invalidate()

    def invalidate(self) -> None:
        """Survey the agents anew before the next decision."""
        self.next_survey_at = float("-inf")

    def update_agents(self, now: float) -> None:
        """Take in what the agents can do, if it is time to."""
        limits_version = self.policy.health.limits_version
        if (
            now < self.next_survey_at
            and limits_version == self.seen_health_changes
        ):
            return
        self.next_survey_at = now + SURVEY_INTERVAL_S
        self.seen_health_changes = limits_version
        candidates = [
            self._candidate(load, now)
            for load in self.loads.values()
            if not load.draining
            and self.policy.service_config.allows(load.agent_id)
        ]
        self.surveyed_candidates = self.policy.placement.update_agents(
            candidates, mean_ms=self.mean_ms
        )
        self.capacity = self._sum_capacity(candidates)

    def _candidate(self, load: AgentLoad, now: float) -> Candidate:
        most = self._max_in_flight(load, now)
        limit = self.policy.health.limit(load.agent_id, most, now=now)
        return Candidate(load=load, limit=limit)

    def _max_in_flight(self, load: AgentLoad, now: float) -> int:
        """Return how many starts a healthy agent may have in flight.

        An agent begins a start in any slot that it does not use itself, so
        none may wait there while a lost incarnation occupies slots.
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
            usable = min(candidate.limit, candidate.load.slots)
            if not usable:
                continue
            slowdown = self.policy.run_time_estimator.slowdown(
                candidate.load.agent_id
            )
            slots += usable
            rate += usable / slowdown
            fastest = min(fastest, slowdown)
        return Capacity(
            slots=slots,
            rate=rate,
            min_slowdown=fastest if slots else 1.0,
        )

    def candidates(self, usable: Set[str]) -> list[Candidate]:
        """Return the agents with room, of those that hold a lease."""
        return [
            candidate
            for candidate in self.surveyed_candidates
            if len(candidate.load.in_flight) < candidate.limit
            and not candidate.load.draining
            and candidate.load.agent_id in usable
        ]

    def agents_in_domains_of(
        self, failed_agents_seen: tuple[str, ...]
    ) -> Set[str]:
        """Return the agents of the failure domains where a task failed."""
        if not failed_agents_seen:
            return frozenset()
        domains = {
            self.loads[a].failure_domain
            for a in failed_agents_seen
            if a in self.loads
        }
        return {
            load.agent_id
            for load in self.loads.values()
            if load.failure_domain in domains
            or load.agent_id in failed_agents_seen
        }

    def excluded_agents(self, failed_agents_seen: tuple[str, ...]) -> Set[str]:
        """Return the agents on which a task failed, if there are others."""
        if not failed_agents_seen:
            return frozenset()
        others = any(
            candidate.limit
            and candidate.load.agent_id not in failed_agents_seen
            for candidate in self.surveyed_candidates
        )
        return frozenset(failed_agents_seen) if others else frozenset()

    def probe_excluded_agents(self, job: Job, now: float) -> Set[str]:
        """Return the agents that must not be probed with a job's tasks."""
        if job.idempotent or not self.policy.health.has_ejected:
            return frozenset()
        return {
            agent_id
            for agent_id in self.loads
            if self.policy.health.requires_idempotent(agent_id, now=now)
        }

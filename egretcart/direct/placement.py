"""Which agent a task goes to. Free of I/O.

Answers two loads: a mixture of short and long tasks on backend servers of
unequal speed, and a full fleet whose room comes free one task at a time.
"""

from collections.abc import Iterable
import dataclasses
import random

from egretcart.direct.job import Step
from egretcart.direct.views import AgentView


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementLimits:
    """How tasks are spread.

    Attributes
    ----------
    on_time_share : float
        Share of the time that is left which a task's expected run time may
        take on a slower agent; estimates are rough.
    pace_step : float
        Expected run times within this factor count as equal: paces are
        known to a quarter only, and speeds of hardware differ by more.
    max_queued : int
        Tasks that may wait at an agent, so that room that comes free there
        is used at once; more are kept at the entry, where they are free to
        go elsewhere.
    probe_queued : int
        Tasks that an agent that is being tried out may hold.
    """

    on_time_share: float = 0.85
    equal_time_factor: float = 1.5
    max_queued: int = 2
    probe_queued: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What is known of a task that is to be placed.

    Attributes
    ----------
    step : Step
    time_left_ms : float
        Until the job's latency objective.
    avoided : frozenset of str
        Agents at which the task has gone wrong.
    beside : dict of str to int
        Tasks of the same step at each agent.
    """

    step: Step
    time_left_ms: float
    avoided_agents: frozenset[str] = frozenset()
    step_tasks_by_agent: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class Placement:
    """Chooses agents.

    Parameters
    ----------
    limits : PlacementLimits
    far_factor : float
        How much longer a task takes on another rack than its data's.
    source : random.Random
        Spreads the choices of several entries.
    """

    def __init__(
        self,
        *,
        limits: PlacementLimits,
        far_factor: float,
        source: random.Random,
    ) -> None:
        self.limits = limits
        self.far_factor = far_factor
        self.source = source

    def choose(
        self, needs: PlacementRequest, views: Iterable[tuple[str, AgentView]]
    ) -> str | None:
        """Return the agent for a task; None to keep it for now."""
        usable = [
            (agent_id, view)
            for agent_id, view in views
            if self._is_usable(agent_id, view, needs)
        ]
        untried = [
            item for item in usable if item[0] not in needs.avoided_agents
        ]
        usable = untried or usable
        fitting = [
            item for item in usable if item[1].free.can_fit(needs.step.room)
        ]
        if fitting:
            return self._best_fitting(needs, fitting)
        return self._shortest_queue(needs, usable)

    def _is_usable(
        self, agent_id: str, view: AgentView, needs: PlacementRequest
    ) -> bool:
        if not view.may_run(needs.step):
            return False
        max_tasks = needs.step.max_per_agent
        if (
            max_tasks
            and needs.step_tasks_by_agent.get(agent_id, 0) >= max_tasks
        ):
            return False
        return not view.status.probing or self._may_probe(view)

    def _may_probe(self, view: AgentView) -> bool:
        return not view.sent and view.free == view.status.capacity

    def _best_fitting(
        self, needs: PlacementRequest, fitting: list[tuple[str, AgentView]]
    ) -> str:
        """Prefer the slowest that is on time, else the fastest.

        So long tasks find room on the fast ones.
        """
        limit_ms = needs.time_left_ms * self.limits.on_time_share
        times = [
            (view.run_ms(needs.step, self.far_factor), agent_id, view)
            for agent_id, view in fitting
        ]
        on_time = [item for item in times if item[0] <= limit_ms]
        if on_time:
            slowest = max(item[0] for item in on_time)
            candidates = [
                item
                for item in on_time
                if item[0] * self.limits.equal_time_factor >= slowest
            ]
        else:
            fastest = min(item[0] for item in times)
            candidates = [
                item
                for item in times
                if item[0] <= fastest * self.limits.equal_time_factor
            ]
        # Of two at random the emptier: entries that all took the emptiest
        # one would meet there.
        sampled = self.source.sample(candidates, min(2, len(candidates)))
        return max(sampled, key=lambda item: item[2].free.cpu_milli)[1]

    def _shortest_queue(
        self, needs: PlacementRequest, usable: list[tuple[str, AgentView]]
    ) -> str | None:
        open_queues = [
            (agent_id, view)
            for agent_id, view in usable
            if view.queued < self.limits.max_queued and not view.status.probing
        ]
        if not open_queues:
            return None
        return min(
            open_queues,
            key=lambda item: (
                item[1].queued,
                item[1].run_ms(needs.step, self.far_factor),
                self.source.random(),
            ),
        )[0]

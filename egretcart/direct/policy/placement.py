"""Placement: which agent a task is sent to. Free of I/O.

This handles a mixture of short and long tasks on backend servers of unequal
speed, and servers that are cold for some time after their start. On fully
occupied servers, a task goes where an agent has offered capacity; see
`egretcart.direct.policy.capacity_offers`.
"""

from collections.abc import Iterable
import random

import msgspec

from egretcart.direct.connection.views import AgentView
from egretcart.direct.request.job import Step


class PlacementLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How tasks are distributed over agents.

    Attributes
    ----------
    on_time_share : float
        Share of the time until the latency objective that the expected run
        time of a task may take on a slower agent; estimates are rough.
    equal_time_factor : float
        Expected run times within this factor count as equal: slowdowns are
        known to within 25 % only, and speeds of hardware differ by more.
    max_queued : int
        Tasks that may wait at an agent while the entry does not use offers,
        so that capacity that comes free there is used at once.
    """

    on_time_share: float = 0.85
    equal_time_factor: float = 1.5
    max_queued: int = 2


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the placement of a task depends on.

    Attributes
    ----------
    step : Step
        The step that the task belongs to.
    service : str
        Service whose backend servers run the task.
    time_left_ms : float
        Time until the job's latency objective, in milliseconds; negative
        after it.
    may_queue : bool
        Whether the task may wait at an agent that has no free capacity.
    rank : int
        `TaskOrder.rank` of the task.
    now : float
        Time in seconds, on the entry's clock.
    avoided_agents : frozenset of str
        Agents at which a run of the task has failed, was stopped or was
        lost; they are used only if there is no other.
    allowed_agents : frozenset of str or None
        The only agents that may be used; None for all.
    step_tasks_by_agent : dict of str to int
        Number of tasks of the same step at each agent; used only if the
        step limits it.
    """

    step: Step
    service: str
    time_left_ms: float
    may_queue: bool = True
    rank: int = 0
    now: float = 0.0
    avoided_agents: frozenset[str] = frozenset()
    allowed_agents: frozenset[str] | None = None
    step_tasks_by_agent: dict[str, int] = msgspec.field(default_factory=dict)


class Placement:
    """Chooses agents for tasks.

    Parameters
    ----------
    limits : PlacementLimits
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data.
    source : random.Random
        Random source, so that several entries choose different agents.
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
        self, request: PlacementRequest, views: Iterable[tuple[str, AgentView]]
    ) -> str | None:
        """Return the agent for a task; None to keep it at the entry."""
        usable = [
            (agent_id, view)
            for agent_id, view in views
            if self._is_usable(agent_id, view, request)
        ]
        untried = [
            item for item in usable if item[0] not in request.avoided_agents
        ]
        usable = untried or usable
        offered = [
            item for item in usable if self._may_use_offer(item[1], request)
        ]
        if offered:
            return self._best_fitting(request, offered)
        fitting = [
            item for item in usable if item[1].free.can_fit(request.step.room)
        ]
        # How slow a cold server is is hardly known, so it gets only tasks for
        # which there is no free capacity elsewhere.
        warm = [item for item in fitting if not item[1].status.cold_ms]
        if fitting:
            return self._best_fitting(request, warm or fitting)
        return self._shortest_queue(request, usable)

    def _is_usable(
        self, agent_id: str, view: AgentView, request: PlacementRequest
    ) -> bool:
        if not view.may_run(request.step, request.service):
            return False
        allowed = request.allowed_agents
        if allowed is not None and agent_id not in allowed:
            return False
        max_tasks = request.step.max_per_agent
        if (
            max_tasks
            and request.step_tasks_by_agent.get(agent_id, 0) >= max_tasks
        ):
            return False
        return not view.status.probing or self._may_probe(view)

    def _may_use_offer(
        self, view: AgentView, request: PlacementRequest
    ) -> bool:
        """Whether an offer of the agent may be used for a task.

        Tasks of other entries may be more urgent than one that is less
        urgent than the agent was told.
        """
        if not view.has_offer_for(request.step.room):
            return False
        notice = view.notice
        return notice is None or request.rank <= notice.order.rank(request.now)

    def _may_probe(self, view: AgentView) -> bool:
        return not view.sent and view.free == view.capacity

    def _best_fitting(
        self, request: PlacementRequest, fitting: list[tuple[str, AgentView]]
    ) -> str:
        """Return an agent among those that have free capacity.

        It is one of the slowest agents at which the task is on time, so
        that fast agents keep free capacity for long tasks. If the task is on
        time at none, it is one of the fastest.
        """
        limit_ms = request.time_left_ms * self.limits.on_time_share
        times = [
            (view.run_ms(request.step, self.far_factor), agent_id, view)
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
        # If all entries chose the emptiest agent, they would choose the same.
        return self.source.choice(candidates)[1]

    def _shortest_queue(
        self, request: PlacementRequest, usable: list[tuple[str, AgentView]]
    ) -> str | None:
        if not request.may_queue:
            return None
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
                item[1].run_ms(request.step, self.far_factor),
                self.source.random(),
            ),
        )[0]

"""Tells agents which task an entry would send next. Free of I/O.

An entry with tasks that no agent can begin tells its agents, so that each of
them offers capacity that comes free to the entry with the most urgent task.
"""

from collections import Counter
from collections.abc import Mapping
import math
import random

import msgspec

from egretcart.direct.connection.offer_messages import OfferDeclined
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.views import AgentView
from egretcart.direct.connection.views import SentNotice
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.policy.capacity_offers import NoticeLimits
from egretcart.direct.request.job import Step
from egretcart.direct.request.ordering import TaskOrder

MS_PER_S = 1000
# An agent is told of this multiple of its share of the waiting tasks, as
# capacity comes free at some agents earlier than at others.
SHARE_FACTOR = 4


class WaitingTasks(msgspec.Struct, kw_only=True):
    """The tasks of a service that no agent can begin.

    Attributes
    ----------
    order : TaskOrder
        Order of the most urgent one.
    step : Step
        Its step.
    service : str
        Service whose backend servers run them.
    count : int
        Number of tasks, up to a bound.
    """

    order: TaskOrder
    step: Step
    service: str
    count: int


class WaitingNotices:
    """Sends notices to agents, and declines offers that are not used.

    A notice that an agent was sent stands until another one is sent. If what
    waits becomes more urgent, agents are told at once; otherwise with the
    answer to the offer that rests on the notice.

    Parameters
    ----------
    limits : NoticeLimits
    agents : dict of str to AgentView
    effects : list of EntryEffect
        Where messages are added.
    source : random.Random
        Chooses the agents that are told.

    Attributes
    ----------
    service_sizes : Counter of str or None
        Number of agents of each service; None until it is counted for the
        notices of a dispatch.
    """

    def __init__(
        self,
        *,
        limits: NoticeLimits,
        agents: dict[str, AgentView],
        effects: list[EntryEffect],
        source: random.Random,
    ) -> None:
        self.limits = limits
        self.agents = agents
        self.effects = effects
        self.source = source
        self.service_sizes: Counter[str] | None = None

    def send(self, waiting: Mapping[str, WaitingTasks], now: float) -> None:
        """Send the notices that are due, and decline the offers that are left.

        Parameters
        ----------
        waiting : mapping of str to WaitingTasks
            The tasks that wait after a dispatch, of each service that has
            some.
        now : float
        """
        self.service_sizes = None
        for agent_id, view in self.agents.items():
            if view.offers or view.has_answered_offer:
                told = waiting.get(view.service)
                self._answer(agent_id, view, told, now)
        for told in waiting.values():
            self._tell(told, now)

    def _answer(
        self,
        agent_id: str,
        view: AgentView,
        waiting: WaitingTasks | None,
        now: float,
    ) -> None:
        """Correct the notice on which offers rest, and decline the others."""
        notice = view.notice
        if waiting is None or not self._may_run(view, waiting):
            if notice is not None:
                view.notice = None
                self.effects.append(SendToAgent(agent_id, TasksWaiting()))
        elif (
            notice is None
            or notice.order.rank(now) != waiting.order.rank(now)
            or notice.room != waiting.step.room
            or notice.count > 2 * self._count(waiting)
        ):
            self._send(agent_id, view, waiting, now)
        for offer in view.offers:
            declined = OfferDeclined(number=offer.number)
            self.effects.append(SendToAgent(agent_id, declined))
        view.offers.clear()
        view.has_answered_offer = False

    def _tell(self, waiting: WaitingTasks, now: float) -> None:
        """Send notices until enough agents know how urgent the tasks are."""
        rank = waiting.order.rank(now)
        told_count = 0
        others = []
        for agent_id, view in self.agents.items():
            if not self._may_run(view, waiting):
                continue
            told_rank = self._told_rank(view, now)
            if told_rank is not None and told_rank <= rank:
                told_count += 1
            else:
                others.append(agent_id)
        missing = waiting.count + self.limits.spare_agents - told_count
        if missing <= 0 or not others:
            return
        for agent_id in self.source.sample(others, min(missing, len(others))):
            self._send(agent_id, self.agents[agent_id], waiting, now)

    @staticmethod
    def _may_run(view: AgentView, waiting: WaitingTasks) -> bool:
        return view.may_run(waiting.step, waiting.service)

    def _told_rank(self, view: AgentView, now: float) -> int | None:
        """Return the rank of which an agent knows; None if of none."""
        notice = view.notice
        if notice is None or (
            now - notice.sent_at >= self.limits.repeat_interval_s
        ):
            return None
        return notice.order.rank(now)

    def _count(self, waiting: WaitingTasks) -> int:
        """Return how many tasks an agent of their service is told of."""
        if self.service_sizes is None:
            self.service_sizes = Counter(
                view.service for view in self.agents.values()
            )
        agents = self.service_sizes[waiting.service]
        share = math.ceil(SHARE_FACTOR * waiting.count / agents)
        return min(share, waiting.count, self.limits.max_count)

    def _send(
        self, agent_id: str, view: AgentView, waiting: WaitingTasks, now: float
    ) -> None:
        order = waiting.order
        room = waiting.step.room
        count = self._count(waiting)
        view.notice = SentNotice(
            order=order, room=room, count=count, sent_at=now
        )
        message = TasksWaiting(
            count=count,
            priority=order.priority,
            time_left_ms=round((order.due_at - now) * MS_PER_S),
            start_within_ms=round((order.latest_start_at - now) * MS_PER_S),
            objective_ms=round(order.objective_s * MS_PER_S),
            cpu_milli=room.cpu_milli,
            memory_mb=room.memory_mb,
            accelerators=room.accelerators,
            service_name=waiting.service,
        )
        self.effects.append(SendToAgent(agent_id, message))

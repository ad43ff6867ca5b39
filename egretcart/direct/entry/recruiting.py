"""Recruits agents of other entries when an entry's own have no capacity.

Free of I/O. Each entry sees the agents that chose it. If none of these can
begin a waiting task, the entry asks a few others, each of which asks some of
its agents with free capacity to connect to the first one as well. So a task
reaches free capacity that its entry does not see within two messages and a
connection, at a cost that does not depend on the number of machines.
"""

from collections.abc import Mapping
import random

from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import RecruitAgents
from egretcart.direct.connection.messages import ServeEntry
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import RecruitingLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import AgentsRecruited
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.request.job import Step


class AgentRecruiter:
    """Asks other entries for agents, and sends agents to those that ask.

    Parameters
    ----------
    limits : RecruitingLimits
    agents : dict of str to AgentView
        The entry's views of its agents.
    peers : mapping of str to object
        The other connected entries by id.
    effects : list of EntryEffect
        Where messages are added.
    log : DecisionLog
    source : random.Random

    Attributes
    ----------
    address : PeerAddress
        Where agents connect to this entry.
    asked_at : dict of str to float
        When other entries were last asked for agents of a service.
    """

    def __init__(
        self,
        *,
        limits: RecruitingLimits,
        agents: dict[str, AgentView],
        peers: Mapping[str, object],
        effects: list[EntryEffect],
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        self.limits = limits
        self.agents = agents
        self.peers = peers
        self.effects = effects
        self.log = log
        self.source = source
        self.address = PeerAddress()
        self.asked_at: dict[str, float] = {}

    def ask(self, step: Step, service: str, now: float) -> None:
        """Ask other entries for agents that can begin a service's task.

        Parameters
        ----------
        step : Step
            The step that the task belongs to.
        service : str
        now : float
        """
        if (
            now - self.asked_at.get(service, 0.0) < self.limits.interval_s
            or not self._has_unseen_agents()
        ):
            return
        self.asked_at[service] = now
        request = RecruitAgents(
            address=self.address,
            cpu_milli=step.room.cpu_milli,
            memory_mb=step.room.memory_mb,
            accelerators=step.room.accelerators,
            label=step.requires,
            service_name=service,
        )
        count = min(len(self.peers), self.limits.entries_asked)
        for entry_id in self.source.sample(sorted(self.peers), count):
            self.effects.append(SendToPeer(entry_id, request))

    def _has_unseen_agents(self) -> bool:
        """Whether there may be agents that are not connected here.

        If each agent serves all entries, each entry sees all agents.
        """
        entry_count = 1 + len(self.peers)
        return (
            any(
                len(view.entries) < entry_count
                for view in self.agents.values()
            )
            or not self.agents
        )

    def send_agents(self, entry_id: str, request: RecruitAgents) -> None:
        """Ask some agents with free capacity to serve another entry."""
        suitable = [
            agent_id
            for agent_id, view in self.agents.items()
            if view.can_begin(
                request.room, request.label, request.service_name
            )
            and entry_id not in view.entries
        ]
        count = min(len(suitable), self.limits.agents_sent)
        chosen = self.source.sample(suitable, count)
        if not chosen:
            return
        for agent_id in chosen:
            serve = ServeEntry(address=request.address)
            self.effects.append(SendToAgent(agent_id, serve))
        self.log.write(
            AgentsRecruited(
                entry=entry_id,
                agents=tuple(chosen),
                suitable=len(suitable),
                cpu_milli=request.cpu_milli,
                label=request.label,
                service=request.service_name,
            )
        )

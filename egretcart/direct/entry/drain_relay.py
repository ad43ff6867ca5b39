"""Passes on which failure domains are drained, and applies it. Free of I/O.

Each entry follows the store, and what it learns it tells its agents and the
other entries, once, and each process on a new link. So one process that
reaches the store is enough for all that are connected to each other, and a
process that was restarted learns it while the store is down.
"""

from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.direct.version.drained_domains import KnownDrainedDomains


class DrainRelay:
    """Keeps the newest state and marks the views of drained agents.

    Parameters
    ----------
    state : EntryState

    Attributes
    ----------
    known : KnownDrainedDomains
    """

    def __init__(self, *, state: EntryState) -> None:
        self.state = state
        self.known = KnownDrainedDomains(log=state.log)

    def covers_all_agents(self, service: str) -> bool:
        """Whether all agents of a service are drained, and there are some."""
        views = self.state.agents_of(service).values()
        return bool(views) and all(view.is_drained for view in views)

    def learn(self, drained: DrainedDomains, source: str, now: float) -> None:
        """Apply a state and pass it on if it is news.

        Parameters
        ----------
        drained : DrainedDomains
        source : str
            ``store``, or the id of the process that has sent the state. A
            process that knows less is told the newer state.
        now : float
        """
        if not self.known.learn(drained, source, now):
            if self.known.is_outdated(drained):
                self._tell(source)
            return
        for agent_id, view in self.state.agents.items():
            self._mark(view)
            if agent_id != source:
                self._tell(agent_id)
        for entry_id in self.state.peers:
            if entry_id != source:
                self._tell(entry_id)

    def agent_connected(self, agent_id: str) -> None:
        """Mark the view of a new agent, and tell it what is known."""
        self._mark(self.state.agents[agent_id])
        self._tell(agent_id)

    def peer_connected(self, entry_id: str) -> None:
        """Tell an entry on a new link what is known."""
        self._tell(entry_id)

    def _mark(self, view: AgentView) -> None:
        view.mark_drained(self.known.is_drained(view.failure_domain))

    def _tell(self, process_id: str) -> None:
        if not self.known.is_known:
            return
        if process_id in self.state.agents:
            effect = SendToAgent(process_id, self.known.state)
            self.state.effects.append(effect)
        elif process_id in self.state.peers:
            self.state.effects.append(SendToPeer(process_id, self.known.state))

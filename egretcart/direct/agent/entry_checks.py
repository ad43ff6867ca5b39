"""Gives up entries that are silent. Free of I/O."""

from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.entry_connections import EntryConnections
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import PeerChanged


class EntryChecks:
    """Stops the runs of entries that are given up, and closes their links.

    Parameters
    ----------
    limits : DirectAgentLimits
    links : EntryLinks
    connections : EntryConnections
    queue : RunQueue
    effects : list of AgentEffect
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        limits: DirectAgentLimits,
        links: EntryLinks,
        connections: EntryConnections,
        queue: RunQueue,
        effects: list[AgentEffect],
        log: DecisionLog,
    ) -> None:
        self.limits = limits
        self.links = links
        self.connections = connections
        self.queue = queue
        self.effects = effects
        self.log = log

    def check(self, now: float) -> None:
        """Stop the runs of entries that are silent."""
        for entry_id, state in list(self.links.entries.items()):
            since_message_s = now - state.last_message_at
            if (
                since_message_s
                <= self.limits.max_missed_heartbeats
                * state.heartbeat_interval_s
            ):
                continue
            self.log.write(
                PeerChanged(
                    peer=entry_id,
                    state="given up",
                    cause="silence",
                    silent_ms=round(since_message_s * 1000),
                )
            )
            del self.links.entries[entry_id]
            self.queue.stop_entry_runs(entry_id, "its entry is silent", now)
            if state.connected:
                self.effects.append(CloseEntryLink(entry_id))
            self.connections.record_silent(entry_id)
            self.links.send_entries_served()

    def close_all(self, reason: str, now: float) -> None:
        """Stop all runs and close all links."""
        for entry_id, state in self.links.entries.items():
            self.queue.stop_entry_runs(entry_id, reason, now)
            if state.connected:
                state.connected = False
                self.effects.append(CloseEntryLink(entry_id))

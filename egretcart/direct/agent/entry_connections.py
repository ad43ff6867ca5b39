"""Keeps an agent connected to the entries of its working set. Free of I/O."""

from egretcart.connection.dialler import Endpoint
from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DialEntry
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.run_table import RunTable
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.working_set import WorkingSet
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import PeerChanged


class EntryConnections:
    """Dials entries of the working set and leaves other ones.

    An entry that is left is first told to send no more tasks; its link is
    closed once its runs have ended.

    Parameters
    ----------
    limits : DirectAgentLimits
    working_set : WorkingSet
    links : EntryLinks
    runs : RunTable
    effects : list of AgentEffect
        Where effects are added.
    log : DecisionLog

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        Addresses of the entries that have introduced themselves, by id.
    """

    def __init__(
        self,
        *,
        limits: DirectAgentLimits,
        working_set: WorkingSet,
        links: EntryLinks,
        runs: RunTable,
        effects: list[AgentEffect],
        log: DecisionLog,
    ) -> None:
        self.limits = limits
        self.working_set = working_set
        self.links = links
        self.runs = runs
        self.effects = effects
        self.log = log
        self.endpoints: dict[str, Endpoint] = {}

    def record_connected(self, entry_id: str, address: PeerAddress) -> None:
        """Record that an entry has introduced itself with its address."""
        self.endpoints[entry_id] = address.endpoint
        self.working_set.add(address.endpoint, address.failure_domain)
        self.working_set.mark_reachable(address.endpoint)

    def record_silent(self, entry_id: str) -> None:
        """Record that an entry has become silent."""
        endpoint = self.endpoints.get(entry_id)
        if endpoint is not None:
            self.working_set.mark_unreachable(endpoint)

    def serve_temporarily(self, endpoint: Endpoint, now: float) -> None:
        """Connect to an entry that has too few agents."""
        if self.working_set.serve_temporarily(endpoint, now):
            self._dial_missing()

    def maintain(self, now: float) -> None:
        """Dial entries that are not connected, and leave unwanted ones."""
        for endpoint in self._endpoints_with_runs():
            if endpoint in self.working_set.temporary:
                self.working_set.serve_temporarily(endpoint, now)
        self.working_set.drop_expired(now)
        self._dial_missing()
        unwanted = {
            entry_id
            for entry_id, endpoint in self.endpoints.items()
            if not self.working_set.is_wanted(endpoint)
        }
        self.links.mark_unwanted(unwanted, now)
        notice_s = self.limits.retire_after_s + self.limits.retire_notice_s
        for entry_id, state in list(self.links.entries.items()):
            if (
                state.connected
                and state.is_retiring(notice_s, now)
                and not self.runs.runs_of_entry(entry_id)
            ):
                self._leave(entry_id)

    def _endpoints_with_runs(self) -> set[Endpoint]:
        entries = {run.entry_id for run in self.runs}
        return {
            endpoint
            for entry_id, endpoint in self.endpoints.items()
            if entry_id in entries
        }

    def _dial_missing(self) -> None:
        connected = {
            self.endpoints.get(entry_id)
            for entry_id, state in self.links.entries.items()
            if state.connected
        }
        for endpoint in self.working_set.wanted:
            if endpoint not in connected:
                self.effects.append(DialEntry(endpoint))

    def _leave(self, entry_id: str) -> None:
        self.log.write(
            PeerChanged(
                peer=entry_id,
                state="disconnected",
                cause="outside the working set",
            )
        )
        del self.links.entries[entry_id]
        self.effects.append(CloseEntryLink(entry_id))
        self.links.send_entries_served()

"""Whether the failure domain of an agent is drained. Free of I/O.

Entries pass on changes only. One that has missed a drain and its end sees no
change, while its agents may have learnt the drain from another entry that is
lost since. So an agent tells what it knows to each entry that has not told
the same: that entry passes it on, or answers with something newer.
"""

from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.log.agent_decisions import DrainApplied
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.direct.version.drained_domains import KnownDrainedDomains

DRAINED_REASON = "its failure domain is drained"
# Time in which the other entries usually tell the same, in seconds.
ENTRY_LAG_S = 0.25


class DomainDrain:
    """The newest state of the drained failure domains, for one agent.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the agent and its backend server; empty if it is
        not known, so that nothing drains it.
    links : EntryLinks
    log : DecisionLog

    Attributes
    ----------
    known : KnownDrainedDomains
    """

    def __init__(
        self, *, failure_domain: str, links: EntryLinks, log: DecisionLog
    ) -> None:
        self.failure_domain = failure_domain
        self.links = links
        self.log = log
        self.known = KnownDrainedDomains(log=log)

    @property
    def is_drained(self) -> bool:
        """Whether nothing may begin here."""
        return self.known.is_drained(self.failure_domain)

    def learn(
        self,
        drained: DrainedDomains,
        entry_id: str,
        now: float,
        *,
        queued: int,
        running: int,
    ) -> None:
        """Apply a state if it is newer.

        Parameters
        ----------
        drained : DrainedDomains
        entry_id : str
            The entry that has sent the state.
        now : float
        queued, running : int
            Numbers of queued tasks and of runs, for the log.
        """
        was_drained = self.is_drained
        self.known.learn(drained, entry_id, now)
        state = self.links.entries.get(entry_id)
        if state is not None:
            state.drained_domains = drained.domains
        if self.is_drained == was_drained:
            return
        self.log.write(
            DrainApplied(
                domain=self.failure_domain,
                drained=self.is_drained,
                revision=self.known.state.revision,
                source=entry_id,
                queued=queued,
                running=running,
            )
        )

    def tell(self, entry_id: str) -> None:
        """Tell an entry what is known."""
        state = self.links.entries.get(entry_id)
        if state is not None and self.known.is_known:
            state.drained_domains = self.known.state.domains
            self.links.send(entry_id, self.known.state)

    def tell_lagging(self, now: float) -> None:
        """Tell entries that have not told the same in the usual time."""
        if not self.known.is_known or now - self.known.learnt_at < ENTRY_LAG_S:
            return
        for entry_id, state in self.links.entries.items():
            if state.drained_domains != self.known.state.domains:
                self.tell(entry_id)

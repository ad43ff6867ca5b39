"""Whether the failure domain of an agent is drained. Free of I/O."""

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DrainApplied
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.direct.version.drained_domains import KnownDrainedDomains

DRAINED_REASON = "its failure domain is drained"


class DomainDrain:
    """The newest state of the drained failure domains, for one agent.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the agent and its backend server; empty if it is
        not known, so that nothing drains it.
    log : DecisionLog

    Attributes
    ----------
    known : KnownDrainedDomains
    """

    def __init__(self, *, failure_domain: str, log: DecisionLog) -> None:
        self.failure_domain = failure_domain
        self.log = log
        self.known = KnownDrainedDomains(log=log)

    @property
    def is_drained(self) -> bool:
        """Whether nothing may begin here."""
        return self.known.is_drained(self.failure_domain)

    def learn(
        self,
        drained: DrainedDomains,
        source: str,
        now: float,
        *,
        queued: int,
        running: int,
    ) -> None:
        """Apply a state if it is newer; log a change for this agent.

        Parameters
        ----------
        drained : DrainedDomains
        source : str
            Who has sent the state.
        now : float
        queued, running : int
            Numbers of queued tasks and of runs, for the log.
        """
        was_drained = self.is_drained
        self.known.learn(drained, source, now)
        if self.is_drained == was_drained:
            return
        self.log.write(
            DrainApplied(
                domain=self.failure_domain,
                drained=self.is_drained,
                revision=self.known.state.revision,
                source=source,
                queued=queued,
                running=running,
            )
        )

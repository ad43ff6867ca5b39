"""Failure domains that operators have drained. Free of I/O.

While a failure domain is drained, nothing begins at its backend servers; what
runs there may end. Each state carries the revision of the platform's store at
which it held, so that processes can pass states to each other in any order:
the newest revision wins, and a process never goes back to an older one.
"""

from collections.abc import Iterable

import msgspec

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DomainsDrained

STORE_SOURCE = "store"


class DrainedDomains(msgspec.Struct, frozen=True, kw_only=True):
    """All failure domains that were drained at a revision of the store.

    It is also the message with which processes tell each other.

    Attributes
    ----------
    revision : int
        Revision of the store; 0 if nothing is known.
    domains : tuple of str
        Names of the failure domains, in alphabetical order.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()

    def with_change(
        self, domain: str, revision: int, *, drained: bool
    ) -> "DrainedDomains":
        """Return the state after one failure domain was drained or not."""
        others = [known for known in self.domains if known != domain]
        changed = [*others, domain] if drained else others
        return DrainedDomains(
            revision=max(revision, self.revision),
            domains=tuple(sorted(changed)),
        )


def drained_at(revision: int, domains: Iterable[str]) -> DrainedDomains:
    """Return the state at a revision of the store."""
    return DrainedDomains(
        revision=revision, domains=tuple(sorted(set(domains)))
    )


class KnownDrainedDomains:
    """The newest state that a process has learnt, and from whom.

    Parameters
    ----------
    log : DecisionLog

    Attributes
    ----------
    state : DrainedDomains
    source : str
        ``store``, or the id of the process that has sent the state; empty
        while nothing is known.
    learnt_at : float
        When the process has learnt it, in seconds on its monotonic clock.
    """

    def __init__(self, *, log: DecisionLog) -> None:
        self.log = log
        self.state = DrainedDomains()
        self.source = ""
        self.learnt_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether any state is known, be it that nothing is drained."""
        return self.state.revision > 0

    def is_drained(self, domain: str) -> bool:
        """Whether a failure domain is drained, as far as is known."""
        return bool(domain) and domain in self.state.domains

    def age_ms(self, now: float) -> int:
        """Return the time since the state was learnt, in milliseconds."""
        return round((now - self.learnt_at) * 1000) if self.is_known else 0

    def learn(self, state: DrainedDomains, source: str, now: float) -> bool:
        """Keep a state if it is newer; return whether others must be told.

        They must if other failure domains are drained than were known. An
        unchanged state of a newer revision is not passed on: each process
        that reads the store again would make all others send one.

        Parameters
        ----------
        state : DrainedDomains
        source : str
            ``store``, or the id of the process that has sent the state.
        now : float
        """
        if state.revision <= self.state.revision:
            return False
        former, former_age_ms = self.state, self.age_ms(now)
        self.state, self.source, self.learnt_at = state, source, now
        if former.domains == state.domains:
            return False
        self.log.write(
            DomainsDrained(
                domains=state.domains,
                revision=state.revision,
                source=source,
                former=former.domains,
                former_revision=former.revision,
                former_age_ms=former_age_ms,
            )
        )
        return True

    def is_outdated(self, state: DrainedDomains) -> bool:
        """Whether the sender of a state must be told the newer one."""
        return (
            state.revision < self.state.revision
            and state.domains != self.state.domains
        )

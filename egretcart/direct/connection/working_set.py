"""The entries that an agent serves: a bounded subset of all. Free of I/O.

The links, messages and memory of an agent then depend on the size of its
working set and not on the number of entries, and those of an entry on the
number of agents that chose it. Each agent ranks all entries by a hash of its
own name and the entry's address (rendezvous hashing), so that an entry that
comes or goes changes only the sets that it belongs to.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from egretcart.connection.dialler import Endpoint


class WorkingSetLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a working set.

    Attributes
    ----------
    size : int
        Number of reachable entries that an agent serves: enough that an
        entry sees a sample of several dozen agents where there are four
        agents or more for each entry, and that the loss of a failure
        domain leaves most of them.
    max_temporary : int
        Most entries beyond `size` that are served for a time.
    temporary_s : float
        Time for which an entry is served on request, in seconds. It is
        longer than most tasks run, and shorter than a burst of load lasts.
    """

    size: int = 8
    max_temporary: int = 4
    temporary_s: float = 3.0


class WorkingSet:
    """Chooses the entries that an agent connects to.

    These are the best ranked reachable entry of each failure domain, and
    then the best ranked ones of all. An unreachable entry is replaced by the
    next one, but still dialled, so that it is served again once it is back.

    Parameters
    ----------
    agent_id : str
    limits : WorkingSetLimits
    seeds : iterable of Endpoint
        Entries that are never forgotten.

    Attributes
    ----------
    domains : dict of Endpoint to str
        Failure domain of each known entry, the best ranked one first;
        empty while it is not known.
    unreachable : set of Endpoint
        Known entries without a connection that could not be reached.
    temporary : dict of Endpoint to float
        Entries that are served on request, and until when.
    chosen : tuple of Endpoint
        The entries to connect to, without the temporary ones.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        limits: WorkingSetLimits,
        seeds: Iterable[Endpoint],
    ) -> None:
        self.agent_id = agent_id
        self.limits = limits
        self.seeds = frozenset(seeds)
        self.domains: dict[Endpoint, str] = {}
        self.unreachable: set[Endpoint] = set()
        self.temporary: dict[Endpoint, float] = {}
        self.chosen: tuple[Endpoint, ...] = ()
        for seed in self.seeds:
            self.add(seed)

    def add(self, endpoint: Endpoint, failure_domain: str = "") -> None:
        """Add a known entry, or its failure domain once that is known."""
        known_domain = self.domains.get(endpoint)
        if known_domain is not None and failure_domain in ("", known_domain):
            return
        self.domains[endpoint] = failure_domain
        self.domains = {
            known: self.domains[known]
            for known in sorted(self.domains, key=self._rank, reverse=True)
        }
        self._choose()

    def remove(self, endpoint: Endpoint) -> None:
        """Forget an entry that has been unreachable for long."""
        self.unreachable.add(endpoint)
        self.temporary.pop(endpoint, None)
        if endpoint not in self.seeds:
            self.domains.pop(endpoint, None)
            self.unreachable.discard(endpoint)
        self._choose()

    def mark_reachable(self, endpoint: Endpoint) -> None:
        """Record that an entry has introduced itself."""
        if endpoint in self.unreachable:
            self.unreachable.discard(endpoint)
            self._choose()

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Record that an entry can't be reached, or has become silent."""
        if endpoint in self.domains and endpoint not in self.unreachable:
            self.unreachable.add(endpoint)
            self._choose()

    def serve_temporarily(self, endpoint: Endpoint, now: float) -> bool:
        """Serve an entry for a time; return whether it is served."""
        self.drop_expired(now)
        is_full = len(self.temporary) >= self.limits.max_temporary
        if is_full and not self.is_wanted(endpoint):
            return False
        self.add(endpoint)
        self.temporary[endpoint] = now + self.limits.temporary_s
        return True

    @property
    def wanted(self) -> tuple[Endpoint, ...]:
        """All entries to connect to."""
        extra = [item for item in self.temporary if item not in self.chosen]
        return (*self.chosen, *extra)

    def is_wanted(self, endpoint: Endpoint) -> bool:
        """Whether to connect to an entry."""
        return endpoint in self.chosen or endpoint in self.temporary

    def drop_expired(self, now: float) -> None:
        """End temporary service whose time is over."""
        for endpoint, until in list(self.temporary.items()):
            if now > until:
                del self.temporary[endpoint]

    def _rank(self, endpoint: Endpoint) -> int:
        host, port = endpoint
        name = f"{self.agent_id} {host}:{port}"
        return xxhash.xxh3_64_intdigest(name.encode())

    def _choose(self) -> None:
        reachable = [
            endpoint
            for endpoint in self.domains
            if endpoint not in self.unreachable
        ]
        best_of_domain: dict[str, Endpoint] = {}
        for endpoint in reachable:
            best_of_domain.setdefault(self.domains[endpoint], endpoint)
        served = list(best_of_domain.values())[: self.limits.size]
        for endpoint in reachable:
            if len(served) >= self.limits.size:
                break
            if endpoint not in served:
                served.append(endpoint)
        self.chosen = (*served, *self._missed(served))

    def _missed(self, served: list[Endpoint]) -> list[Endpoint]:
        """Return unreachable entries that would be served if they were back.

        These are the ones ranked above an entry that is served, and all if
        too few are reachable.
        """
        ranked = list(self.domains)
        if len(served) == self.limits.size:
            last = max(ranked.index(endpoint) for endpoint in served)
            ranked = ranked[:last]
        return [
            endpoint for endpoint in ranked if endpoint in self.unreachable
        ]

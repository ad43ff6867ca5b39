"""Confinement: which routes may use only a part of the agents. Free of I/O.

This handles callers that submit one job after the other with a task that
crashes its backend servers. Each of these jobs is given up after few crashes,
but together they take most servers down. A route whose jobs were given up
like that is confined to a part of its service's agents. The other routes of
the service avoid that part while there are other agents. A route is never
confined if no other route of its service has jobs, as nobody would gain.
"""

from collections import Counter
from collections import OrderedDict
from collections.abc import Mapping
import math
import zlib

import msgspec


class ConfinementLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a route is confined, and to how many agents.

    Attributes
    ----------
    is_on : bool
        Whether routes are confined at all.
    given_up_jobs : int
        Jobs of a route that were given up lately from which it is confined,
        if they are more than half of all such jobs of its service: crashes
        that concern several routes alike are rather the servers' fault. It
        stays confined as long as one is remembered.
    memory_s : float
        Time for which such a job is remembered, in seconds: longer than a
        crashed server takes to return, so that a route whose agents are all
        without a server stays confined.
    agent_share : float
        Share of its service's agents that a confined route may use.
    """

    is_on: bool = False
    given_up_jobs: int = 2
    memory_s: float = 6.0
    agent_share: float = 0.25


class Confinement:
    """Tracks the jobs that were given up, and the routes that they confine.

    Parameters
    ----------
    limits : ConfinementLimits

    Attributes
    ----------
    services : dict of str to str
        Service of each route of the active configuration, or of the last
        job that a route has accepted.
    given_up : OrderedDict of str to (str, float)
        Route of each job that was given up lately as a task of it crashes
        servers, and when, by job id; the oldest first.
    accepted_at : dict of str to OrderedDict of str to float
        When a job was last accepted by each of the two routes used last, by
        service.
    routes : frozenset of str
        Routes that are confined.
    agents_of : dict of str to frozenset of str
        Agents that these routes may use, and that others avoid, by service.
    """

    def __init__(self, *, limits: ConfinementLimits) -> None:
        self.limits = limits
        self.services: dict[str, str] = {}
        self.given_up: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self.accepted_at: dict[str, OrderedDict[str, float]] = {}
        self.routes: frozenset[str] = frozenset()
        self.agents_of: dict[str, frozenset[str]] = {}

    @property
    def agents(self) -> frozenset[str]:
        """Agents that confined routes may use."""
        return frozenset().union(*self.agents_of.values())

    def record_accepted(self, route: str, service: str, now: float) -> None:
        """Record that a job was accepted by a route of a service."""
        if not self.limits.is_on:
            return
        self.services[route] = service
        used = self.accepted_at.setdefault(service, OrderedDict())
        used[route] = now
        used.move_to_end(route)
        # Two tell of any route whether another one is used.
        if len(used) > 2:
            used.popitem(last=False)

    def record(self, job_id: str, route: str, now: float) -> None:
        """Record that a job was given up, here or by another entry."""
        if self.limits.is_on and job_id not in self.given_up:
            self.given_up[job_id] = (route, now)

    def update(self, agents: Mapping[str, str], now: float) -> bool:
        """Decide which routes are confined; return whether that changed.

        Parameters
        ----------
        agents : mapping of str to str
            Service of each agent that is connected; empty if it is not known,
            so that the agent may be of any. All entries choose the same agents
            of those that they share.
        now : float
        """
        if not self.given_up and not self.routes:
            return False
        oldest = now - self.limits.memory_s
        while self.given_up and next(iter(self.given_up.values()))[1] < oldest:
            self.given_up.popitem(last=False)
        jobs = Counter(route for route, _ in self.given_up.values())
        service_jobs = Counter(
            self._service_of(route) for route, _ in self.given_up.values()
        )
        routes = frozenset(
            route
            for route, count in jobs.items()
            if self._has_neighbour(route, oldest)
            and (
                route in self.routes
                or self._begins(count, service_jobs[self._service_of(route)])
            )
        )
        changed = routes != self.routes
        self.routes = routes
        self.agents_of = {
            service: self._choose_agents(agents, service)
            for service in {self._service_of(route) for route in routes}
        }
        return changed

    def _service_of(self, route: str) -> str:
        """Return the service of a route; empty if it is not known (yet)."""
        return self.services.get(route, "")

    def _has_neighbour(self, route: str, oldest: float) -> bool:
        """Whether another route of the same service has had jobs lately."""
        used = self.accepted_at.get(self._service_of(route))
        return used is not None and any(
            at > oldest for name, at in used.items() if name != route
        )

    def _begins(self, count: int, service_count: int) -> bool:
        """Whether so many given up jobs of a route begin its confinement.

        Parameters
        ----------
        count : int
            Jobs of the route that were given up lately.
        service_count : int
            Such jobs of all routes of its service.
        """
        return count >= self.limits.given_up_jobs and 2 * count > service_count

    def _choose_agents(
        self, agents: Mapping[str, str], service: str
    ) -> frozenset[str]:
        ranked = sorted(
            (name for name, of in agents.items() if of in ("", service)),
            key=lambda name: zlib.crc32(name.encode()),
        )
        count = math.ceil(self.limits.agent_share * len(ranked))
        return frozenset(ranked[:count])

    def allowed_agents(self, route: str) -> frozenset[str] | None:
        """Return the agents that a route may use; None for all."""
        if route not in self.routes:
            return None
        return self.agents_of.get(self._service_of(route), frozenset())

    def avoided_agents(self, route: str) -> frozenset[str]:
        """Return the agents that a route uses only if there are no others."""
        if route in self.routes:
            return frozenset()
        return self.agents_of.get(self._service_of(route), frozenset())

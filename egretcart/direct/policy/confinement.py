"""Confinement: which routes may use only a part of the agents. Free of I/O.

This handles callers that submit one job after the other with a task that
crashes its backend servers. Each of these jobs is given up after few crashes,
but together they take most servers down. A route whose jobs were given up
like that is confined to a part of the agents. Other routes avoid that part
while there are other agents. A route is never confined if no other route has
jobs, as nobody would gain.
"""

from collections import Counter
from collections import OrderedDict
from collections.abc import Iterable
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
        if they are more than half of all such jobs: crashes that concern
        several routes alike are rather the servers' fault. It stays confined
        as long as one is remembered.
    memory_s : float
        Time for which such a job is remembered, in seconds: longer than a
        crashed server takes to return, so that a route whose agents are all
        without a server stays confined.
    agent_share : float
        Share of the agents that a confined route may use.
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
    given_up : OrderedDict of str to (str, float)
        Route of each job that was given up lately as a task of it crashes
        servers, and when, by job id; the oldest first.
    accepted_at : OrderedDict of str to float
        When a job was last accepted by each of the two routes used last.
    routes : frozenset of str
        Routes that are confined.
    agents : frozenset of str
        Agents that these routes may use, and that others avoid; empty if
        there are none.
    """

    def __init__(self, *, limits: ConfinementLimits) -> None:
        self.limits = limits
        self.given_up: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self.accepted_at: OrderedDict[str, float] = OrderedDict()
        self.routes: frozenset[str] = frozenset()
        self.agents: frozenset[str] = frozenset()

    def record_accepted(self, route: str, now: float) -> None:
        """Record that a job was accepted by a route."""
        if not self.limits.is_on:
            return
        self.accepted_at[route] = now
        self.accepted_at.move_to_end(route)
        # Two tell of any route whether another one is used.
        if len(self.accepted_at) > 2:
            self.accepted_at.popitem(last=False)

    def record(self, job_id: str, route: str, now: float) -> None:
        """Record that a job was given up, here or by another entry."""
        if self.limits.is_on and job_id not in self.given_up:
            self.given_up[job_id] = (route, now)

    def update(self, agent_ids: Iterable[str], now: float) -> bool:
        """Decide which routes are confined; return whether that changed.

        Parameters
        ----------
        agent_ids : iterable of str
            Agents that are connected. All entries choose the same ones of
            those that they share.
        now : float
        """
        if not self.given_up and not self.routes:
            return False
        oldest = now - self.limits.memory_s
        while self.given_up and next(iter(self.given_up.values()))[1] < oldest:
            self.given_up.popitem(last=False)
        used = {route for route, at in self.accepted_at.items() if at > oldest}
        jobs = Counter(route for route, _ in self.given_up.values())
        routes = frozenset(
            route
            for route, count in jobs.items()
            if used - {route} and (route in self.routes or self._begins(count))
        )
        changed = routes != self.routes
        self.routes = routes
        self.agents = self._choose_agents(agent_ids)
        return changed

    def _begins(self, count: int) -> bool:
        """Whether so many given up jobs of a route begin its confinement."""
        return count >= self.limits.given_up_jobs and 2 * count > len(
            self.given_up
        )

    def _choose_agents(self, agent_ids: Iterable[str]) -> frozenset[str]:
        if not self.routes:
            return frozenset()
        ranked = sorted(agent_ids, key=lambda name: zlib.crc32(name.encode()))
        count = math.ceil(self.limits.agent_share * len(ranked))
        return frozenset(ranked[:count])

    def allowed_agents(self, route: str) -> frozenset[str] | None:
        """Return the agents that a route may use; None for all."""
        return self.agents if route in self.routes else None

    def avoided_agents(self, route: str) -> frozenset[str]:
        """Return the agents that a route uses only if there are no others."""
        return frozenset() if route in self.routes else self.agents

"""The configuration document, which operators apply as a whole.

The doc strings of these classes are part of the printed JSON schema.
"""

import fnmatch
from typing import Annotated

import msgspec

from egretcart.request.job import DEFAULT_KIND
from egretcart.request.job import DEFAULT_TEAM
from egretcart.request.job import DEFAULT_URGENCY

Name = Annotated[
    str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]
AgentId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Pattern = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class DocumentBase(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all parts of the document: unknown fields are errors."""


class UrgencyClass(DocumentBase, frozen=True, kw_only=True):
    """How urgent work is treated.

    Attributes
    ----------
    name : str
    weight : int
        Share of the slots relative to other classes with waiting work.
    max_wait_ms : float
        Expected wait up to which a job is admitted.
    """

    name: Name
    weight: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    max_wait_ms: Milliseconds = 10_000.0


class Team(DocumentBase, frozen=True, kw_only=True):
    """A team with its quota.

    Attributes
    ----------
    name : str
    slots : int
        Slots that the team may always use; idle ones may be borrowed.
    """

    name: Name
    slots: Count


class Kind(DocumentBase, frozen=True, kw_only=True):
    """Tasks that take similar time.

    Attributes
    ----------
    name : str
    run_time_ms : float
        Expected run time until it has been learned.
    attempt_limit_ms : float
        Time limit of one attempt.
    hedge : bool
        Whether two attempts at a task may run at a time, if its job is
        idempotent: a straggler is started elsewhere as well, and what a lost
        agent had is started again at once.
    """

    name: Name
    run_time_ms: Milliseconds = 200.0
    attempt_limit_ms: Milliseconds = 10_000.0
    hedge: bool = False


class RetryPolicy(DocumentBase, frozen=True, kw_only=True):
    """When an attempt that may have run is made again.

    Attributes
    ----------
    max_attempts : int
    budget_share : float
        Retries as a share of the attempts that succeeded.
    """

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    budget_share: Share = 0.1


class HedgePolicy(DocumentBase, frozen=True, kw_only=True):
    """When a straggler is started a second time.

    Attributes
    ----------
    budget_share : float
        Hedges as a share of the attempts that succeeded.
    after_factor : float
        Multiple of the expected run time after which a task counts as a
        straggler.
    """

    budget_share: Share = 0.02
    after_factor: Annotated[float, msgspec.Meta(ge=1, le=100)] = 3.0


class EjectionPolicy(DocumentBase, frozen=True, kw_only=True):
    """When a worker that fails its tasks is left out.

    Attributes
    ----------
    max_share : float
        Largest share of a cell's agents left out at a time.
    failures : int
        Consecutive failures, which succeed elsewhere, that eject.
    probe_interval_ms : float
        Time between probes of an ejected worker.
    """

    max_share: Share = 0.34
    failures: Count = 3
    probe_interval_ms: Milliseconds = 2_000.0


class Service(DocumentBase, frozen=True, kw_only=True):
    """A service and how its work is treated.

    Attributes
    ----------
    name : str
    cells : int
        Groups that its agents are divided into, each with one leader.
    backends : tuple of str
        Shell patterns of the agents that the service may use.
    kinds : tuple of Kind
    retry : RetryPolicy
    hedge : HedgePolicy
    ejection : EjectionPolicy
    max_waiting_tasks : int
        Tasks that may wait in one cell.
    default_deadline_ms, max_deadline_ms : float
    """

    name: Name
    cells: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1
    backends: tuple[Pattern, ...] = ("*",)
    kinds: tuple[Kind, ...] = ()
    retry: RetryPolicy = RetryPolicy()
    hedge: HedgePolicy = HedgePolicy()
    ejection: EjectionPolicy = EjectionPolicy()
    max_waiting_tasks: Count = 100_000
    default_deadline_ms: Milliseconds = 60_000.0
    max_deadline_ms: Milliseconds = 120_000.0

    def may_use(self, agent_id: str) -> bool:
        """Return whether the service may use an agent."""
        return any(
            fnmatch.fnmatchcase(agent_id, pattern) for pattern in self.backends
        )

    def find_kind(self, name: str) -> Kind:
        """Return a kind by name, or the defaults if it is not listed."""
        for kind in self.kinds:
            if kind.name == name:
                return kind
        return Kind(name=DEFAULT_KIND)


class Configuration(DocumentBase, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        0 until a document has been accepted.
    services : tuple of Service
    urgency : tuple of UrgencyClass
        A class named "normal" is understood if none is listed.
    teams : tuple of Team
        A team named "default" without slots is understood.
    drained : tuple of str
        Agents that get no new work.
    max_tasks_per_job : int
    """

    version: Annotated[int, msgspec.Meta(ge=0)] = 0
    services: tuple[Service, ...] = ()
    urgency: tuple[UrgencyClass, ...] = ()
    teams: tuple[Team, ...] = ()
    drained: tuple[AgentId, ...] = ()
    max_tasks_per_job: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2000

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, or None if it is not configured."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def admits(self, service_name: str, agent_id: str) -> bool:
        """Return whether an agent may get new work of a service."""
        if agent_id in self.drained:
            return False
        service = self.find_service(service_name)
        # A service that was removed still finishes its accepted jobs.
        return service is None or service.may_use(agent_id)

    def find_urgency(self, name: str) -> UrgencyClass | None:
        """Return an urgency class by name, or None if it is unknown."""
        for urgency in self.urgency:
            if urgency.name == name:
                return urgency
        if name == DEFAULT_URGENCY:
            return UrgencyClass(name=DEFAULT_URGENCY)
        return None

    def find_team(self, name: str) -> Team | None:
        """Return a team by name, or None if it is not listed."""
        for team in self.teams:
            if team.name == name:
                return team
        return None

    def knows_team(self, name: str) -> bool:
        """Return whether jobs of a team are accepted."""
        return name == DEFAULT_TEAM or self.find_team(name) is not None

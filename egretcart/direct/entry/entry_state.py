"""What the parts of an entry share: agents, other entries and jobs."""

from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.policy.confinement import Confinement
from egretcart.direct.policy.crashes import crashes_servers
from egretcart.direct.request.claims import ClaimTable
from egretcart.direct.request.crash_scores import CrashScores
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration


class EntryState:
    """Agents, other entries and jobs as an entry knows them.

    Its tables are never replaced, so that parts may keep them.

    Parameters
    ----------
    entry_id : str
    limits : DirectEntryLimits
    log : DecisionLog

    Attributes
    ----------
    configuration : RoutingConfiguration or None
        Active configuration; None until one is known.
    agents : dict of str to AgentView
        Connected agents.
    lost_agents : dict of str to float
        Agents whose links have ended, and when their runs expire.
    peers : dict of str to float
        Other connected entries, and when their last heartbeat was received.
    peers_connected_at : dict of str to float
        When the link to each connected entry was opened.
    former_runs_expire_at : dict of str to float
        When the runs have expired that an entry had before its link was
        last lost, by entry id.
    jobs : dict of str to HeldJob
        Accepted jobs that are not answered yet, by job id.
    stopping_jobs : dict of str to HeldJob
        Jobs that were cancelled, yielded or answered while runs of them may
        still be active.
    claims : ClaimTable
        Jobs that this and other entries have accepted recently.
    crash_scores : CrashScores
        Tasks under which backend servers have crashed recently.
    confinement : Confinement
        Routes that may use only a part of the agents.
    claims_missing_until : float
        Until when other entries may still have to report, after this process
        was paused, which jobs they have accepted meanwhile.
    discovery_ends_at : float
        Until when agents are expected to connect and to accept tasks.
    effects : list of EntryEffect
        Effects that no method of the entry has returned yet.
    """

    def __init__(
        self, *, entry_id: str, limits: DirectEntryLimits, log: DecisionLog
    ) -> None:
        self.entry_id = entry_id
        self.limits = limits
        self.log = log
        self.configuration: RoutingConfiguration | None = None
        self.agents: dict[str, AgentView] = {}
        self.lost_agents: dict[str, float] = {}
        self.peers: dict[str, float] = {}
        self.peers_connected_at: dict[str, float] = {}
        self.former_runs_expire_at: dict[str, float] = {}
        self.jobs: dict[str, HeldJob] = {}
        self.stopping_jobs: dict[str, HeldJob] = {}
        self.claims = ClaimTable(retention_s=limits.claim_retention_s)
        self.crash_scores = CrashScores(retention_s=limits.claim_retention_s)
        self.confinement = Confinement(limits=limits.confinement)
        self.claims_missing_until = 0.0
        self.discovery_ends_at = 0.0
        self.effects: list[EntryEffect] = []

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def is_given_up(self, score: int) -> bool:
        """Whether a task of this crash score is given up."""
        return crashes_servers(score, self.limits.crashes)

    def activate(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration, also to the jobs that were accepted before.

        A job whose route it no longer has keeps that route.
        """
        self.configuration = configuration
        routes = {route.name: route for route in configuration.routes}
        self.confinement.services = {
            name: route.service for name, route in routes.items()
        }
        for held in (*self.jobs.values(), *self.stopping_jobs.values()):
            held.route = routes.get(held.route.name, held.route)

    def agents_of(self, service: str) -> dict[str, AgentView]:
        """Return the views of the agents of a service, by agent id.

        Those whose service is not known yet are among them.
        """
        return {
            agent_id: view
            for agent_id, view in self.agents.items()
            if view.may_be_of(service)
        }

    def views_for(self, route: Route) -> list[AgentView]:
        """Return the views of the agents that a route is expected to use.

        Without confined routes, agents of other services are among them.
        """
        if not self.confinement.routes:
            return list(self.agents.values())
        views = self.agents_of(route.service)
        allowed = self.confinement.allowed_agents(route.name)
        if allowed is not None:
            return [
                view for agent_id, view in views.items() if agent_id in allowed
            ]
        avoided = self.confinement.avoided_agents(route.name)
        others = [
            view for agent_id, view in views.items() if agent_id not in avoided
        ]
        return others or list(views.values())

    def free_agents_elsewhere(
        self, held: HeldJob, task: HeldTask
    ) -> list[AgentView]:
        """Return other agents with free capacity for a task.

        Those at which a run of the task has gone wrong are left out.
        """
        step = held.job.steps[task.key.step]
        allowed = self.confinement.allowed_agents(held.route.name)
        return [
            view
            for agent_id, view in self.agents.items()
            if agent_id != task.agent_id
            and (allowed is None or agent_id in allowed)
            and agent_id not in task.avoided_agents
            and view.may_run(step, held.route.service)
            and not view.status.probing
            and view.free.can_fit(step.room)
        ]

    def find_task(
        self, key: TaskKey
    ) -> tuple[HeldJob | None, HeldTask | None]:
        """Return a job and its task; None for each that is not known."""
        held = self.jobs.get(key.job_id) or self.stopping_jobs.get(key.job_id)
        return held, held.tasks.get(key) if held is not None else None
